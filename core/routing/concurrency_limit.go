package routing

import (
	"math"

	"elderwall/core/routing/congestion"
)

const (
	toleratedLateShare = 0.1 // share of a round's work that came late above which the limit is cut
	// so much more must be late for the limit on all caches, as one may be congested
	toleratedCacheLateShare = 0.15
	// share of a round's work that came late after which its rest is not waited for
	earlyCutShare = 0.25
	// share of the limit that is cut when all of a round are late; less in proportion
	cutFactor    = 0.7
	growthFactor = 1.25 // multiple of the limit after a round in time: doubled in about three rounds
	// the same up to what was borne before the last cuts, less by this: faults pass
	recoveryFactor = 2.0
	// share of a limit that must be in flight for a round in time to say that it is too low
	usedShare          = 0.5
	minRequestsUnder   = 2.0 // requests of the largest service that a limit always leaves capacity for
	minRequestsInRound = 2.0 // multiple of that which a round must see end, or chance would move the limit
	// requests; fills in flight at first for each cache: fewer are rejected in calm, more are late
	initialFillsPerCache = 16.0
	// transfers into the zone over those that fit at full pace, at which a fill counts as late
	overloadedIngress = 2.0
)

// concurrencyLimit bounds the work in flight somewhere, and adapts to what comes back in time. It is judged
// round by round: a round is over once as much work has ended as was in flight at its start.
//
// Invariants: work and count are those of the attempts that are in flight under it; max never falls under
// what minRequestsUnder asks for.
type concurrencyLimit struct {
	kind LimitKind
	host uint32 // of a HostLimit

	max           float64 // s; the limit
	borne         float64 // s; half of what was in flight before the last cuts: up to it the limit recovers fast
	toleratedMore float64 // share of late work that is tolerated beyond toleratedLateShare

	work  float64 // s; in flight
	count int     // attempts in flight

	roundStart float64 // s; when the round began
	roundWork  float64 // s; in flight at its start
	roundPeak  float64 // s; the most that was in flight during it
	roundFull  bool    // a request found no capacity during it
	ended      float64 // s; work of this round that has ended
	endedLate  float64 // s; and of that, what came late or not at all

	quota           int  // attempts that the cluster lets this router have in flight
	hasQuota        bool // the cluster sets one
	quotaRejections int  // requests that found the quota used up
}

// acquire counts an attempt in.
func (l *concurrencyLimit) acquire(work float64) {
	l.count++
	l.work += work
	l.roundPeak = math.Max(l.roundPeak, l.work)
}

// release counts an attempt out.
func (l *concurrencyLimit) release(work float64) {
	l.count--
	l.work -= work
}

// quotaAllows reports whether the cluster lets one more attempt go. Guards against routers that each stay
// within their own limit and together overload the origin.
func (l *concurrencyLimit) quotaAllows() bool {
	if !l.hasQuota || l.count < l.quota {
		return true
	}
	l.quotaRejections++
	return false
}

// hasCapacity reports whether more work may go. Where nothing is in flight something always may, or nothing
// would be learned.
func (l *concurrencyLimit) hasCapacity(work float64) bool {
	fits := (l.count == 0 || l.work+work <= l.max) && l.quotaAllows()
	l.roundFull = l.roundFull || !fits
	return fits
}

func (l *concurrencyLimit) beginRound(now float64) {
	l.roundStart, l.roundWork, l.roundPeak = now, l.work, l.work
	l.ended, l.endedLate, l.roundFull = 0, 0, false
}

// limiter has the limits that are not a single host's, and moves all limits.
type limiter struct {
	*environment
	costs      *costModel
	congestion *congestion.Tracker
	caches     concurrencyLimit // on all that is in flight to caches
	fills      concurrencyLimit // on the fills in flight, as far as they are known
	origin     concurrencyLimit // on the attempts that may need the origin
}

func newLimiter(env *environment, costs *costModel, tracker *congestion.Tracker) limiter {
	return limiter{
		environment: env,
		costs:       costs,
		congestion:  tracker,
		caches:      concurrencyLimit{kind: CacheLimit, max: math.Inf(1), toleratedMore: toleratedCacheLateShare},
		fills:       concurrencyLimit{kind: FillLimit, max: math.Inf(1)},
		origin:      concurrencyLimit{kind: OriginLimit, max: math.Inf(1)},
	}
}

// initialize sets the first limit on fills, once caches are known. Guards against a first second with no
// limit, which the few answers that one router sees would close late.
func (l *limiter) initialize(caches int) {
	if !math.IsInf(l.fills.max, 1) || caches == 0 || len(l.costs.services) == 0 {
		return
	}
	longest := l.costs.services[0].Objective
	for _, s := range l.costs.services {
		longest = math.Max(longest, s.Objective)
	}
	l.fills.max = initialFillsPerCache * float64(caches) / l.senders(l.Zone) * longest * unknownSendingTime
}

// byKind is a limit that is not a single host's; nil for other kinds.
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

// observe counts the end of an attempt into limits, in time or late, unless it was judged by them before.
// Guards against congestion collapse whatever its cause; it may reject where fewer requests are not faster.
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

// observeEnd counts work that has ended into a limit, and moves the limit at the end of a round.
func (l *limiter) observeEnd(limit *concurrencyLimit, work float64, late bool) {
	limit.ended += work
	if late {
		limit.endedLate += work
	}
	fewest, round := minRequestsInRound*l.minimum(), math.Min(limit.max, limit.roundWork)
	roundOver := limit.ended >= math.Max(fewest, round)
	clearlyLate := limit.endedLate >= math.Max(fewest, round*earlyCutShare)
	if !roundOver && !clearlyLate {
		return
	}
	share := limit.endedLate / limit.ended
	if share > toleratedLateShare+limit.toleratedMore {
		l.cut(limit, share)
		l.publish(PeerUpdate{Host: limit.host, Limit: limit.kind, LateShare: share})
		return
	}
	halfUsed := limit.work > limit.max*usedShare
	minimal := limit.roundFull && limit.max <= fewest // a limit at its minimum is never half used
	if halfUsed || minimal {
		limit.grow()
	}
	limit.beginRound(l.now)
}

// grow raises the limit: fast up to what was borne before cuts, with care above it.
func (l *concurrencyLimit) grow() {
	l.max *= growthFactor
	if l.borne == 0 || l.max < l.borne { // never cut, or borne before
		l.max *= recoveryFactor / growthFactor
	}
}

// cut lowers a limit by the share that came late, and begins a round.
func (l *limiter) cut(limit *concurrencyLimit, lateShare float64) {
	limit.borne = math.Max(limit.borne/growthFactor, math.Min(limit.max, limit.roundPeak)/recoveryFactor)
	limit.max = math.Max(l.minimum(), math.Min(limit.max, limit.roundPeak)*(1-cutFactor*lateShare))
	limit.beginRound(l.now)
}

// minimum is the work that a limit always leaves capacity for, in seconds.
func (l *limiter) minimum() (work float64) {
	for _, s := range l.costs.services {
		work = math.Max(work, minRequestsUnder*s.sendingTime.mean)
	}
	return work
}

// blamed returns the limits that the end of a fill counts against, of those given: that of its source alone,
// if that is known to be slow, or that on all fills, if all sources look slow. The latter is cut at once, as
// its rounds take longer than a burst.
func (l *limiter) blamed(a *attempt, late bool, limits []*concurrencyLimit) []*concurrencyLimit {
	if !a.isFill {
		return limits
	}
	cause := l.congestion.LateCause(l.now, &a.source.link)
	// it recovers as it was cut, with each fill
	if !late && l.fills.roundFull && l.congestion.IngressHasSpare(l.now) {
		l.fills.max += a.work * math.Min(1, l.fills.borne/l.fills.max)
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

// mayNeedOrigin reports whether an attempt may need the origin, where the cluster sets a quota for that.
func (l *limiter) mayNeedOrigin(a *attempt, origin *host) bool {
	return l.origin.hasQuota && (a.host == origin || a.isFill && !a.cachedOnly)
}
