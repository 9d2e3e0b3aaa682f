package routing

import (
	"cmp"
	"slices"

	"elderwall/core/routing/congestion"
)

const (
	muchLargerLimitMultiple = 4.0  // the next parent is preferred if its limit is over this multiple of the first one's
	rejectionThreshold      = 0.5  // share of rejected fills from which a source may be at fault
	forgetRejectionsBelow   = 0.25 // share of rejected fills below which a source is no longer suspected
	rejectionWeight         = 0.25 // weight of one fill in the decaying share of rejected fills
	// minRejectingCaches is the number of caches that must reject fills from a source before the source may
	// be at fault. Fewer caches may simply be full themselves.
	minRejectingCaches = 3
)

// selectSource selects where a miss is filled from: the object's parent, the next parent, or the origin.
// While fills are at their limit, the request only looks up the object in the cache and is rejected on a
// miss.
func (r *Router) selectSource(q *request) verdict {
	q.source, q.cachedOnly = q.host, false
	if q.host == r.endpoints.origin && !r.limits.origin.quotaAllows() {
		return r.requests.giveUp(q)
	}
	if q.host == r.endpoints.origin || q.host.Kind == r.ParentKind {
		return proceed
	}
	work, admittedShare := r.costs.work(q)/r.costs.priority(q), r.congestion.FillShare(r.now)
	source, originHasCapacity := r.selectParent(q), r.limits.origin.hasCapacity(work)
	if o := r.endpoints.origin; o != nil && o.health.ejected {
		originHasCapacity = r.mayProbeOrigin(o)
	}
	notAdmitted := !r.limits.fills.hasCapacity(work) || admittedShare < 1 && r.uniform(q.host) > admittedShare
	noSource := source == nil || source == r.endpoints.origin && !originHasCapacity
	lookupOnly := notAdmitted || noSource || r.shouldLookUpInCacheFirst(q, source)
	if !lookupOnly {
		q.source, q.cachedOnly = source, source != r.endpoints.origin && !originHasCapacity
	}
	if lookupOnly && q.cacheMissed || q.cachedOnly && q.sourceMissed {
		return r.requests.giveUp(q)
	}
	return proceed
}

// mayProbeOrigin reports whether an ejected origin may be probed. Only one request at a time may do so,
// either directly or through a parent.
func (r *Router) mayProbeOrigin(origin *host) bool {
	return r.now >= origin.health.ejectedUntil && r.limits.origin.count == 0 && r.limits.origin.quotaAllows()
}

// shouldLookUpInCacheFirst reports whether a cache that probably has the object is first asked for a cached
// copy only. This applies where the cluster sets a quota for the origin or for the source: otherwise a cache
// that has evicted the object would fill it, and no quota would count that fill.
func (r *Router) shouldLookUpInCacheFirst(q *request, source *host) bool {
	hasQuota := r.limits.origin.hasQuota || source != nil && source.limit.hasQuota
	return hasQuota && !q.cacheMissed && q.object.cachedBy(q.host, r.now)
}

// selectParent returns the first usable parent in the object's order of all listed parents. It returns the
// next one instead if the first is at its limit or congested and the next has much more capacity. It returns
// the origin if no parent is usable.
func (r *Router) selectParent(q *request) *host {
	var first, better *host
	work, slowdown := r.costs.work(q), 0.0
	r.endpoints.parentOrder.Walk(q.object.nameHash, &q.object.parentOrder, 0, func(h *host) bool {
		if slices.Contains(q.avoided, h) || !r.available(h, work) || !h.limit.quotaAllows() {
			return true
		}
		if first == nil {
			first, slowdown = h, r.congestion.Slowdown(r.now, &h.link)
			return !h.limit.hasCapacity(work) || slowdown > congestion.CongestedSlowdown
		}
		if h.limit.hasCapacity(work) && r.hasMuchMoreCapacity(h, first, slowdown) {
			better = h
			return false
		}
		return true
	})
	return cmp.Or(better, first, r.endpoints.origin)
}

// hasMuchMoreCapacity reports whether parent h can take much more load than first, the first parent of the
// order, whose current slowdown is given.
func (r *Router) hasMuchMoreCapacity(h, first *host, slowdown float64) bool {
	if h.limit.max > muchLargerLimitMultiple*first.limit.max {
		return true
	}
	congested := slowdown > congestion.CongestedSlowdown
	return congested && r.congestion.Slowdown(r.now, &h.link) < slowdown*muchLowerShare
}

// observeFill learns from a result how healthy the source of the fill is and how much load the links into the
// zone can take. An origin that fails behind parents is ejected like any other host. Otherwise the fast
// failures of many routers, which no limit bounds, would keep it down.
func (r *Router) observeFill(q *request, a *attempt) verdict {
	r.observeLinks(q, a) // must run first: the blame for a late fill also depends on this result
	note, outcome := a.result.Note, a.result.Outcome
	if !a.hasFillSource() {
		if outcome == NotCached && !q.finished {
			q.cacheMissed = true
			return r.retries.enqueue(q)
		}
		return proceed
	}
	q.sourceMissed = a.cachedOnly && outcome == NotCached
	q.cacheMissed = q.cacheMissed || note.blamesSource()
	if r.informsAboutFills(q, a) {
		r.observeFillInLimits(a)
	}
	r.observeSource(q, a)
	return proceed
}

// informsAboutFills reports whether a result carries information about fills. A result does not if the client
// canceled the request early, or if the attempt was canceled at an ejected host that belongs to a group.
func (r *Router) informsAboutFills(q *request, a *attempt) bool {
	note, outcome := a.result.Note, a.result.Outcome
	if outcome == Canceled {
		canceledEarly := q.finished && a.result.Elapsed <= a.objective
		silentHost := a.host.health.ejected && a.host.health.group != nil
		if canceledEarly || silentHost {
			return false
		}
	}
	if !a.reachedHost() {
		return false
	}
	switch {
	case note.filledFromSource(),
		outcome == Canceled && a.isFill,
		note >= SourceRejected && note != SourceNotCached:
		return true
	case r.NoteDetail != FillNotes:
		return a.isFill && note != CacheHit || outcome == Rejected
	}
	return false
}

// observeFillInLimits counts the end of a fill in the limits that it carries information about.
func (r *Router) observeFillInLimits(a *attempt) {
	limits := a.limits.fill
	if a.sourceRejected {
		limits = limits[:1]
	}
	switch a.result.Note {
	case FilledByOrigin, OriginFailed:
		limits = []*concurrencyLimit{&r.limits.origin}
	case SourceFailed:
		limits = a.limits.fill[:1] // the result says something about the source only
	}
	late := a.result.Outcome != Succeeded ||
		a.result.Elapsed > a.objective ||
		a.result.IngressLoad > overloadedIngressLoad
	r.limits.observe(a, late, r.limits.limitsToBlame(a, late, limits))
}

// observeSource learns how healthy the source of a fill is, and the origin behind it.
func (r *Router) observeSource(q *request, a *attempt) {
	note, source, origin := a.result.Note, a.source, r.endpoints.origin
	succeeded := a.result.Outcome == Succeeded
	switch {
	case succeeded && note != CacheHit && note != FillCoalesced && note != StaleHit:
		source.returned.add(r.now, q.Service)
		r.slowStart.countReturned(source, a.work)
		source.health.recordContact(r.now)
		if r.NoteDetail == FillNotes || a.isFill {
			r.outliers.observeSuccess(source)
		}
	case note == SourceFailed:
		q.avoid(source)
		waitedForOrigin := !source.health.silentSince(a.sentAt) && a.result.Elapsed >= r.overdueAfter(q)
		if !waitedForOrigin {
			r.outliers.observeFault(source, faultWeight)
		}
	case note.blamesSource():
		q.avoid(source)
		source.health.recordContact(r.now)
		if note == OriginFailed && origin != nil {
			r.outliers.observeFault(origin, faultWeight)
		}
	}
	if note == FilledByOrigin && succeeded && origin != nil && source != origin {
		r.outliers.observeSuccess(origin)
	}
}

// observeLinks learns the object's size from a result, and how congested the links of the host and of the
// source and the ingress of the zone are.
func (r *Router) observeLinks(q *request, a *attempt) {
	result := a.result
	if r.NoteDetail != FillNotes && a.hasFillSource() {
		r.observeFillWithoutNote(q, a)
	}
	if result.Note == SourceRejected && a.hasFillSource() {
		r.congestion.ObserveRejection(r.now, &a.source.link)
	}
	if a.isFill && result.Outcome == Canceled {
		r.observeUnfinishedFill(q, a)
	}
	if result.SizeKB <= 0 || result.Outcome != Succeeded { // the body of an error is not the object
		return
	}
	r.costs.learnSize(q, result.SizeKB)
	note := result.Note
	// Without notes an attempt that is probably not a fill is taken for a cache hit. Otherwise no answer
	// would count as a hit, and the usual transfer time per KB would never be learned.
	if r.NoteDetail == NoNotes && !a.isFill {
		note = CacheHit
	}
	switch note {
	case CacheHit:
		r.congestion.ObserveHit(r.now, &a.host.link, result.SizeKB, result.Elapsed)
	case Filled, FilledByOrigin:
		r.congestion.ObserveFill(r.now, &a.host.link, &a.source.link, result.SizeKB, result.Elapsed-result.FillWait)
	}
}

// observeUnfinishedFill learns from a fill that has not finished yet. It does nothing if results carry no
// notes, as finished fills would then go unnoticed and the ingress would look as congested as its latest
// fills.
func (r *Router) observeUnfinishedFill(q *request, a *attempt) {
	if r.NoteDetail == NoNotes {
		return
	}
	r.congestion.ObserveUnfinishedFill(r.now, &a.host.link, &a.source.link, r.costs.sizeKB(q), r.now-a.sentAt)
}

// sourceHealth is what results without notes show about a host as a source of fills.
type sourceHealth struct {
	rejectionRate float64 // decaying share of the fills from this source that were rejected
	rejectedAt    []*host // the first caches at which fills were rejected, up to minRejectingCaches
	rejectedSince float64 // seconds; time of the first of these rejections
	lastFill      float64 // seconds; time of the last fill that succeeded
}

// observeSuccess counts a fill that succeeded.
func (s *sourceHealth) observeSuccess(now float64) {
	s.lastFill = now
	s.rejectionRate *= 1 - rejectionWeight
	if s.rejectionRate < forgetRejectionsBelow {
		s.rejectedAt = nil
	}
}

// observeRejection counts a fill that was rejected at a cache.
func (s *sourceHealth) observeRejection(now float64, cache *host) {
	s.rejectionRate += (1 - s.rejectionRate) * rejectionWeight
	if len(s.rejectedAt) == 0 {
		s.rejectedSince = now
	}
	if len(s.rejectedAt) < minRejectingCaches && !slices.Contains(s.rejectedAt, cache) {
		s.rejectedAt = append(s.rejectedAt, cache)
	}
}

// mostlyRejected reports whether most fills from the source are rejected, and by several caches.
func (s *sourceHealth) mostlyRejected() bool {
	return s.rejectionRate >= rejectionThreshold && len(s.rejectedAt) >= minRejectingCaches
}

// servesInsteadOf reports whether this source has served fills since those of another source began to be
// rejected, and has a much lower share of rejected fills.
func (s *sourceHealth) servesInsteadOf(rejected *sourceHealth) bool {
	return s.lastFill > rejected.rejectedSince && s.rejectionRate < rejected.rejectionRate*muchLowerShare
}

// observeFillWithoutNote decides, for results without notes about fills, whether a fill was rejected because
// of its source: most fills from it are rejected by several caches while another source serves. Guards
// against a source that is down before the endpoint list says so: its rejections would look like a congested
// ingress and stop all fills. Caches that are full reject fills from any source.
func (r *Router) observeFillWithoutNote(q *request, a *attempt) {
	source := a.source
	switch outcome := a.result.Outcome; {
	case outcome == Succeeded && a.isFill:
		source.sourceHealth.observeSuccess(r.now)
		return
	case outcome != Rejected:
		return
	}
	source.sourceHealth.observeRejection(r.now, a.host)
	if source.sourceHealth.mostlyRejected() && r.anotherSourceServes(source) {
		a.sourceRejected = true
		q.avoid(source)
		r.outliers.eject(source)
	}
}

func (r *Router) anotherSourceServes(rejected *host) bool {
	serves := func(h *host) bool {
		return h != nil && h != rejected && h.sourceHealth.servesInsteadOf(&rejected.sourceHealth)
	}
	return serves(r.endpoints.origin) || slices.ContainsFunc(r.endpoints.parents, serves)
}
