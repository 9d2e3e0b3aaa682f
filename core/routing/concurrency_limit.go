package routing

import (
	"math"

	"elderwall/core/routing/congestion"
)

const (
	toleratedLateShare = 0.1 // a limit is cut if more than this share of a round's work is late
	// extraCacheLateShare is added to toleratedLateShare for the limit on all caches, because one of them may
	// be congested.
	extraCacheLateShare = 0.15
	// earlyCutShare is the late share of a round's work that ends the round early.
	earlyCutShare = 0.25
	// cutFactor is the share by which a limit is cut if all work of a round is late. The cut is proportional
	// to the late share.
	cutFactor    = 0.7
	growthFactor = 1.25 // growth of a limit after a round in time; it doubles in about three rounds
	// recoveryFactor is the growth of a limit after a round in time while the limit is below
	// fastGrowthCeiling. Fast growth is safe there because that load was sustained before, and faults pass.
	recoveryFactor = 2.0
	// minUsedShare is the share of a limit that must be in flight for a round in time to show that the limit
	// is too low.
	minUsedShare        = 0.5
	minRequestsPerLimit = 2.0 // a limit always admits this many requests of the costliest service
	minRequestsInRound  = 2.0 // multiple of that work that must end before a round is judged, to exclude chance
	// initialFillsPerCache is the initial number of fills in flight for each cache. A smaller number rejects
	// more requests under normal load; a larger one makes more fills late.
	initialFillsPerCache = 16.0
	// overloadedIngressLoad is the reported ingress load above which a fill counts as late: transfers into
	// the zone divided by the number that fits at full rate.
	overloadedIngressLoad = 2.0
)

// concurrencyLimit bounds the work in flight at one place and adapts to the share of work that ends in time.
// It is evaluated in rounds: a round is over once as much work has ended as was in flight at its start.
//
// Invariants: work and count are the totals of the attempts in flight under the limit; a cut never takes max
// below limiter.minimum.
type concurrencyLimit struct {
	kind LimitKind
	host uint32 // set for a HostLimit only

	max float64 // seconds of work; the limit
	// fastGrowthCeiling is the limit, in seconds of work, up to which growth is fast: the load before the
	// last cuts divided by recoveryFactor.
	fastGrowthCeiling float64 // seconds
	extraLateShare    float64 // share of late work that is tolerated in addition to toleratedLateShare

	work  float64 // seconds; work in flight
	count int     // attempts in flight

	roundStart     float64 // seconds; when the round began
	roundWork      float64 // seconds; work in flight at the start of the round
	roundPeak      float64 // seconds; maximum work in flight during the round
	roundSaturated bool    // a request found no capacity during the round
	endedWork      float64 // seconds; work that has ended in this round
	endedLateWork  float64 // seconds; the part of endedWork that was late or failed

	quota           int  // maximum number of attempts in flight that the cluster allows this router
	hasQuota        bool // whether the cluster has set a quota
	quotaRejections int  // number of checks that found the quota used up
}

// acquire counts an attempt as in flight.
func (l *concurrencyLimit) acquire(work float64) {
	l.count++
	l.work += work
	l.roundPeak = math.Max(l.roundPeak, l.work)
}

// release stops counting an attempt as in flight.
func (l *concurrencyLimit) release(work float64) {
	l.count--
	l.work -= work
}

// quotaAllows reports whether the cluster's quota allows one more attempt. Guards against routers that each
// stay within their own limit and together overload the origin.
func (l *concurrencyLimit) quotaAllows() bool {
	if !l.hasQuota || l.count < l.quota {
		return true
	}
	l.quotaRejections++
	return false
}

// hasCapacity reports whether more work may be sent. If nothing is in flight, the limit itself always allows
// one attempt, because otherwise nothing could be learned; a quota still applies.
func (l *concurrencyLimit) hasCapacity(work float64) bool {
	fits := (l.count == 0 || l.work+work <= l.max) && l.quotaAllows()
	l.roundSaturated = l.roundSaturated || !fits
	return fits
}

func (l *concurrencyLimit) beginRound(now float64) {
	l.roundStart, l.roundWork, l.roundPeak = now, l.work, l.work
	l.endedWork, l.endedLateWork, l.roundSaturated = 0, 0, false
}

// limiter holds the limits that are not specific to one host, and adjusts all limits.
type limiter struct {
	*environment
	costs      *costModel
	congestion *congestion.Tracker
	caches     concurrencyLimit // on all attempts in flight at caches
	fills      concurrencyLimit // on all fills in flight, as far as the router can tell
	origin     concurrencyLimit // on all attempts that may need the origin
}

func newLimiter(env *environment, costs *costModel, tracker *congestion.Tracker) limiter {
	return limiter{
		environment: env,
		costs:       costs,
		congestion:  tracker,
		caches:      concurrencyLimit{kind: CacheLimit, max: math.Inf(1), extraLateShare: extraCacheLateShare},
		fills:       concurrencyLimit{kind: FillLimit, max: math.Inf(1)},
		origin:      concurrencyLimit{kind: OriginLimit, max: math.Inf(1)},
	}
}

// initialize sets the first limit on fills once caches are known. Guards against a first second without any
// limit: a single router sees so few answers that it would set a limit too late.
func (l *limiter) initialize(caches int) {
	if !math.IsInf(l.fills.max, 1) || caches == 0 || len(l.costs.services) == 0 {
		return
	}
	maxObjective := l.costs.services[0].Objective
	for _, s := range l.costs.services {
		maxObjective = math.Max(maxObjective, s.Objective)
	}
	l.fills.max = initialFillsPerCache * float64(caches) / l.senders(l.Zone) * maxObjective * assumedSendingTimeShare
}

// byKind returns the limit of a kind that is not specific to one host, or nil for other kinds.
func (l *limiter) byKind(kind LimitKind) *concurrencyLimit {
	switch kind {
	case CacheLimit:
		return &l.caches
	case FillLimit:
		return &l.fills
	case OriginLimit:
		return &l.origin
	}
	return nil
}

// observe counts the end of an attempt, in time or late, in the given limits, unless they have counted it
// before. Guards against congestion collapse from any cause. It may also reject requests when sending fewer
// of them does not make the rest faster.
func (l *limiter) observe(a *attempt, late bool, limits []*concurrencyLimit) {
	if a.limits.judgedBy == limits[0] {
		return
	}
	a.limits.judgedBy = limits[0]
	for _, limit := range limits {
		if a.sentAt >= limit.roundStart {
			l.observeEnd(limit, a.work, late)
		}
	}
}

// observeEnd counts work that has ended in a limit, and adjusts the limit at the end of a round.
func (l *limiter) observeEnd(limit *concurrencyLimit, work float64, late bool) {
	limit.endedWork += work
	if late {
		limit.endedLateWork += work
	}
	minEnded, roundSize := minRequestsInRound*l.minimum(), math.Min(limit.max, limit.roundWork)
	roundOver := limit.endedWork >= math.Max(minEnded, roundSize)
	clearlyLate := limit.endedLateWork >= math.Max(minEnded, roundSize*earlyCutShare)
	if !roundOver && !clearlyLate {
		return
	}
	share := limit.endedLateWork / limit.endedWork
	if share > toleratedLateShare+limit.extraLateShare {
		l.cut(limit, share)
		l.publish(PeerUpdate{Host: limit.host, Limit: limit.kind, LateShare: share})
		return
	}
	halfUsed := limit.work > limit.max*minUsedShare
	atMinimum := limit.roundSaturated && limit.max <= minEnded // a limit at its minimum may never be half used
	if halfUsed || atMinimum {
		limit.grow()
	}
	limit.beginRound(l.now)
}

// grow raises the limit: fast up to fastGrowthCeiling, slowly above it.
func (l *concurrencyLimit) grow() {
	l.max *= growthFactor
	if l.fastGrowthCeiling == 0 || l.max < l.fastGrowthCeiling { // never cut, or below the load sustained before
		l.max *= recoveryFactor / growthFactor
	}
}

// cut lowers a limit in proportion to the share of work that was late, and begins a new round.
func (l *limiter) cut(limit *concurrencyLimit, lateShare float64) {
	limit.fastGrowthCeiling = math.Max(limit.fastGrowthCeiling/growthFactor, math.Min(limit.max, limit.roundPeak)/recoveryFactor)
	limit.max = math.Max(l.minimum(), math.Min(limit.max, limit.roundPeak)*(1-cutFactor*lateShare))
	limit.beginRound(l.now)
}

// minimum returns the work, in seconds, that a limit always allows.
func (l *limiter) minimum() (work float64) {
	for _, s := range l.costs.services {
		work = math.Max(work, minRequestsPerLimit*s.sendingTime.mean)
	}
	return work
}

// limitsToBlame returns those of the given limits that the end of a fill counts against: only the limit of
// its source if that source is known to be slow, or only the limit on all fills if all sources look slow. The
// latter is cut immediately, because one of its rounds takes longer than a burst.
func (l *limiter) limitsToBlame(a *attempt, late bool, limits []*concurrencyLimit) []*concurrencyLimit {
	if !a.isFill {
		return limits
	}
	cause := l.congestion.LateCause(l.now, &a.source.link)
	// The limit on all fills also grows with each fill, as it is cut with each fill.
	if !late && l.fills.roundSaturated && l.congestion.IngressHasSpare(l.now) {
		l.fills.max += a.work * math.Min(1, l.fills.fastGrowthCeiling/l.fills.max)
		return limits
	}
	switch cause {
	case congestion.CauseSource:
		return a.limits.fill[:1]
	case congestion.CauseIngress:
		if a.sentAt >= l.fills.roundStart {
			l.cut(&l.fills, l.congestion.IngressExcess(l.now)/cutFactor)
		}
		return a.limits.fill[1:]
	}
	return limits
}

// mayNeedOrigin reports whether an attempt may need the origin and the cluster sets a quota for that.
func (l *limiter) mayNeedOrigin(a *attempt, origin *host) bool {
	return l.origin.hasQuota && (a.host == origin || a.isFill && !a.cachedOnly)
}
