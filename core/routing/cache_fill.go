package routing

import (
	"cmp"
	"slices"

	"elderwall/core/routing/congestion"
)

const (
	muchLargerLimit       = 4.0  // multiple of the first parent's limit that makes the next one the better
	rejectionThreshold    = 0.5  // share of fills that are rejected from which a source may be to blame
	forgetRejectionsUnder = 0.25 // share of rejected fills under which it is not to blame any more
	rejectionWeight       = 0.25 // share of one fill in that share
	// caches that reject a source's fills before it is to blame: fewer may be full themselves
	minRejectingCaches = 3
)

// selectSource names the source of a miss: the object's parent, the next one, or the origin. While fills are
// at their limit a request only looks whether the cache has the object, and is rejected if not.
func (r *Router) selectSource(q *request) verdict {
	q.source, q.cachedOnly = q.host, false
	if q.host == r.endpoints.origin && !r.limits.origin.quotaAllows() {
		return r.requests.giveUp(q)
	}
	if q.host == r.endpoints.origin || q.host.Kind == r.ParentKind {
		return proceed
	}
	work, admitted := r.costs.work(q)/r.costs.priority(q), r.congestion.FillShare(r.now)
	source, originHasCapacity := r.selectParent(q), r.limits.origin.hasCapacity(work)
	if o := r.endpoints.origin; o != nil && o.health.ejected {
		originHasCapacity = r.mayTryOrigin(o)
	}
	notAdmitted := !r.limits.fills.hasCapacity(work) || admitted < 1 && r.uniform(q.host) > admitted
	noSource := source == nil || source == r.endpoints.origin && !originHasCapacity
	onlyLook := notAdmitted || noSource || r.looksFirst(q, source)
	if !onlyLook {
		q.source, q.cachedOnly = source, source != r.endpoints.origin && !originHasCapacity
	}
	if onlyLook && q.cacheMissed || q.cachedOnly && q.sourceMissed {
		return r.requests.giveUp(q)
	}
	return proceed
}

// mayTryOrigin reports whether an ejected origin may be tried: by one request at a time, itself or behind a
// parent.
func (r *Router) mayTryOrigin(origin *host) bool {
	return r.now >= origin.health.ejectedUntil && r.limits.origin.count == 0 && r.limits.origin.quotaAllows()
}

// looksFirst reports whether a cache that is thought to have the object is asked for that alone, where the
// cluster sets quotas for what may need the origin or the source: else a cache that has evicted the object
// would fill it, and that would count nowhere.
func (r *Router) looksFirst(q *request, source *host) bool {
	hasQuota := r.limits.origin.hasQuota || source != nil && source.limit.hasQuota
	return hasQuota && !q.cacheMissed && q.object.cachedBy(q.host, r.now)
}

// selectParent returns the first usable parent in the object's order over all listed parents, the next one if
// that fails or is at its limit while the next bears clearly more, and the origin when none is usable.
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
		if h.limit.hasCapacity(work) && r.bearsMore(h, first, slowdown) {
			better = h
			return false
		}
		return true
	})
	return cmp.Or(better, first, r.endpoints.origin)
}

// bearsMore reports whether a parent bears clearly more than the first one of an order, which has a slowdown.
func (r *Router) bearsMore(h, first *host, slowdown float64) bool {
	if h.limit.max > muchLargerLimit*first.limit.max {
		return true
	}
	congested := slowdown > congestion.CongestedSlowdown
	return congested && r.congestion.Slowdown(r.now, &h.link) < slowdown*muchLowerShare
}

// observeFill learns from a result how healthy the source of a fill is, and what the links into the zone
// bear. An origin that fails behind parents is ejected like any host: the fast failures of many routers,
// which no limit bounds, would keep it down.
func (r *Router) observeFill(q *request, a *attempt) verdict {
	r.observeLinks(q, a) // first: what is late is blamed by what this result tells, too
	note, outcome := a.result.Note, a.result.Outcome
	if !a.filled() {
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

// informsAboutFills reports whether a result tells how fills come through. One that its client took back
// early does not, nor one at one of many hosts that was silent.
func (r *Router) informsAboutFills(q *request, a *attempt) bool {
	note, outcome := a.result.Note, a.result.Outcome
	if outcome == Canceled {
		takenBackEarly := q.finished && a.result.Elapsed <= a.objective
		silentHost := a.host.health.ejected && a.host.health.group != nil
		if takenBackEarly || silentHost {
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

// observeFillInLimits counts the end of a fill into the limits that it tells of.
func (r *Router) observeFillInLimits(a *attempt) {
	limits := a.limits.fill
	if a.sourceRejected {
		limits = limits[:1]
	}
	switch a.result.Note {
	case FilledByOrigin, OriginFailed:
		limits = []*concurrencyLimit{&r.limits.origin}
	case SourceFailed:
		limits = a.limits.fill[:1] // tells of the source alone
	}
	late := a.result.Outcome != Succeeded ||
		a.result.Elapsed > a.objective ||
		a.result.IngressLoad > overloadedIngress
	r.limits.observe(a, late, r.limits.blamed(a, late, limits))
}

// observeSource learns how healthy the source of a fill is, and the origin behind it.
func (r *Router) observeSource(q *request, a *attempt) {
	note, source, origin := a.result.Note, a.source, r.endpoints.origin
	succeeded := a.result.Outcome == Succeeded
	switch {
	case succeeded && note != CacheHit && note != FillCoalesced && note != StaleHit:
		source.returned.add(r.now, a.work)
		source.health.heard(r.now)
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
		source.health.heard(r.now)
		if note == OriginFailed && origin != nil {
			r.outliers.observeFault(origin, faultWeight)
		}
	}
	if note == FilledByOrigin && succeeded && origin != nil && source != origin {
		r.outliers.observeSuccess(origin)
	}
}

// observeLinks learns from a result the object's size, and how congested the links of its host, its source
// and into the zone are.
func (r *Router) observeLinks(q *request, a *attempt) {
	result := a.result
	if r.NoteDetail != FillNotes && a.filled() {
		r.observeUnnotedFill(q, a)
	}
	if result.Note == SourceRejected && a.filled() {
		r.congestion.ObserveRejection(r.now, &a.source.link)
	}
	if a.isFill && result.Outcome == Canceled {
		r.observeUnfinishedFill(q, a)
	}
	if result.SizeKB <= 0 || result.Outcome != Succeeded { // the bytes of an error are not the object's
		return
	}
	r.costs.learnSize(q, result.SizeKB)
	note := result.Note
	// as far as is known: else no size would tell what time a request takes
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

// observeUnfinishedFill learns from a fill that has not come yet; not where no note tells of those that came:
// the links into the zone would look as congested as its latest fills.
func (r *Router) observeUnfinishedFill(q *request, a *attempt) {
	if r.NoteDetail == NoNotes {
		return
	}
	r.congestion.ObserveUnfinishedFill(r.now, &a.host.link, &a.source.link, r.costs.sizeKB(q), r.now-a.sentAt)
}

// sourceHealth is what results without notes tell of a host as the source of fills.
type sourceHealth struct {
	rejectionRate float64 // decaying share of fills from it that were rejected
	rejectedAt    []*host // the first caches at which they were
	rejectedSince float64 // s; when the first of these did
	lastFill      float64 // s; when a fill from it last succeeded
}

// observeSuccess counts a fill that succeeded.
func (s *sourceHealth) observeSuccess(now float64) {
	s.lastFill = now
	s.rejectionRate *= 1 - rejectionWeight
	if s.rejectionRate < forgetRejectionsUnder {
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

// mostlyRejected reports whether several caches reject most fills from the source.
func (s *sourceHealth) mostlyRejected() bool {
	return s.rejectionRate >= rejectionThreshold && len(s.rejectedAt) >= minRejectingCaches
}

// healthierThan reports whether this source gives while another one is rejected.
func (s *sourceHealth) healthierThan(rejected *sourceHealth) bool {
	return s.lastFill > rejected.rejectedSince && s.rejectionRate < rejected.rejectionRate*muchLowerShare
}

// observeUnnotedFill finds, where no note tells, whether a fill was rejected for its source: several caches
// reject most fills from it, while another source gives. Guards against a source that is down before the list
// says so, whose rejections would pass for congested links into the zone and stop all fills; caches that are
// full reject fills whatever their source.
func (r *Router) observeUnnotedFill(q *request, a *attempt) {
	source := a.source
	switch outcome := a.result.Outcome; {
	case outcome == Succeeded && a.isFill:
		source.sourceHealth.observeSuccess(r.now)
		return
	case outcome != Rejected:
		return
	}
	source.sourceHealth.observeRejection(r.now, a.host)
	if source.sourceHealth.mostlyRejected() && r.anotherSourceGives(source) {
		a.sourceRejected = true
		q.avoid(source)
		r.outliers.eject(source)
	}
}

func (r *Router) anotherSourceGives(rejected *host) bool {
	gives := func(h *host) bool {
		return h != nil && h != rejected && h.sourceHealth.healthierThan(&rejected.sourceHealth)
	}
	return gives(r.endpoints.origin) || slices.ContainsFunc(r.endpoints.parents, gives)
}
