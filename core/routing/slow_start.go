package routing

import "math"

const (
	// slowStartBudgetShare is the share of the budget of a host in slow start that routers may send to it.
	// The rest allows for chance and error.
	slowStartBudgetShare = 0.75
	// savedCreditShare is the share of a host's overload window for which credit may be saved up. A full
	// window plus the saved credit, times slowStartBudgetShare, stays below the budget.
	savedCreditShare = 0.25
	// sendDelayShare is the share of a host's overload window within which an attempt must be on its way once its
	// credit is spent.
	sendDelayShare = 0.1
)

// warmUp is the slow start of one host.
type warmUp struct {
	active        bool
	cause         SlowStartCause
	statistics    slowStartStatistics
	credit        float64    // seconds; work that may be sent to the host now
	creditedUntil float64    // seconds; time up to which credit was given; 0 before the first check
	returned      slidingSum // seconds; work that the present process has returned within provenSpan
}

// slowStart keeps all routers together from sending more to a host with a cold cache than it can take. Each
// router uses its own share of the host's budget, which grows from the start of the host to the end of its
// ramp. If the shares are small because there are many routers, each router draws at random whether it sends.
type slowStart struct {
	*environment
	costs     *costModel
	warmRates warmRates
}

// begin begins the slow start of a host that has restarted, as it was told or presumed. A host that is in slow start
// already keeps its account: what it was sent before counts on.
func (s *slowStart) begin(h *host, cause SlowStartCause) {
	if s.isOver(h) {
		return
	}
	w := &h.warmUp
	if w.active && cause == PresumedRestart {
		return
	}
	if !w.active {
		*w = warmUp{active: true}
	} else if w.creditedUntil != 0 {
		w.creditedUntil = math.Max(w.creditedUntil, s.now) // the time before earns nothing for the process that has started
	}
	w.cause, w.statistics, w.returned = cause, slowStartStatistics{}, slidingSum{}
	s.report(h, SlowStartBegan)
}

// inProgress reports whether a host is in slow start now.
func (s *slowStart) inProgress(h *host) bool { return h.warmUp.active && !s.isOver(h) }

// isOver reports whether the slow start of a host would be over now. It lasts for one overload window longer than the ramp,
// so that no window that begins within the ramp holds more than the host can take.
func (s *slowStart) isOver(h *host) bool {
	ramp, limited := s.ramp(h)
	return !limited || s.age(h) >= ramp+s.OverloadWindow
}

// ramp returns the duration of a host's slow start in seconds, and whether there is one for its kind.
func (s *slowStart) ramp(h *host) (seconds float64, limited bool) {
	if h.Kind == s.ParentKind {
		return s.ParentSlowStartRamp, true
	}
	return s.SlowStartRamp, h.Kind != s.OriginKind
}

// age returns the time in seconds since a host has started.
func (s *slowStart) age(h *host) float64 { return math.Max(0, s.now-h.startedAt()) }

// hostBudget is what may be sent to a host in slow start.
type hostBudget struct {
	rate      float64 // seconds of work per second that this router may send to it
	estimated float64 // seconds of work per second; the same if the host bears what it is estimated to
	senders   float64 // number of routers and shards that share the host
	basis     RateBasis
}

// slowStartPhase is how far the slow start of a host has come.
type slowStartPhase struct {
	share float64 // of its warm rate that it may be expected to return now
	most  float64 // multiple of that rate that may be sent to it by all routers together
}

// phase returns how far the slow start of a host has come.
func (s *slowStart) phase(h *host) slowStartPhase {
	initial, ramp, multiple := s.SlowStartInitial, s.SlowStartRamp, s.OverloadMultiple
	if h.Kind == s.ParentKind {
		initial, ramp, multiple = s.ParentSlowStartInitial, s.ParentSlowStartRamp, s.ParentOverloadMultiple
	}
	return slowStartPhase{
		share: initial + (1-initial)*math.Min(1, s.age(h)/ramp),
		most:  multiple * slowStartBudgetShare,
	}
}

// budget returns what may be sent to a host in slow start, and ends its slow start when that is over. In an
// overload window all routers together send, on average, at most 1+savedCreditShare times their shares: 0.94
// of what the host can take.
func (s *slowStart) budget(h *host, work float64) hostBudget {
	senders := s.senders(h.Zone)
	if h.Kind == s.ParentKind {
		senders = s.senders(len(s.DispatchersByZone)) // parents serve all zones
	}
	phase := s.phase(h)
	s.endAfterRamp(h)
	rate, basis := s.warmRate(h, work, senders)
	estimated := rate * phase.share * phase.most
	return hostBudget{s.limitToProven(h, estimated, work, phase), estimated, senders, basis}
}

// warmRate returns the estimated rate, in seconds of work per second, at which a host will return work to this router
// once it is warm, and what that is estimated from.
func (s *slowStart) warmRate(h *host, work, senders float64) (rate float64, basis RateBasis) {
	if s.WeightsKnown {
		rate = h.Weight / senders
		if s.costs.measured() < len(s.costs.services) {
			rate *= assumedSendingTimeShare // a request may take its whole objective, of which that share is assumed
		}
		return rate, WeightRate
	}
	rate, basis = s.warmRates.estimate(h, h.Kind != s.ParentKind)
	if s.OverloadWindow > 0 { // the host can take one request in a window from all routers
		rate = math.Max(rate, work/s.OverloadWindow/senders)
	}
	return rate, basis
}

// endAfterRamp ends the slow start of a host once it is over.
func (s *slowStart) endAfterRamp(h *host) {
	if !h.warmUp.active || !s.isOver(h) {
		return
	}
	h.warmUp.active = false
	if h.warmUp.statistics.attempts > 0 {
		s.report(h, SlowStartEnded)
	}
}

// permits reports whether the slow start of a host allows work to be sent to it now.
func (s *slowStart) permits(h *host, work float64) bool {
	budget := s.budget(h, work)
	if !h.warmUp.active {
		return true
	}
	s.recordBudget(h, budget, work)
	if s.hasCredit(h, budget, work) {
		return true
	}
	s.countRefusal(h)
	return false
}

// hasCredit reports whether the credit of a host in slow start, with what was earned since the last check,
// covers work.
func (s *slowStart) hasCredit(h *host, budget hostBudget, work float64) bool {
	maxCredit := budget.rate * s.OverloadWindow * savedCreditShare * math.Max(1, float64(s.Shards))
	savesOne := s.savedRequestsFitMargin(budget, work)
	if savesOne {
		maxCredit = math.Max(maxCredit, work)
	}
	if maxCredit >= work {
		return s.accrue(h, budget, work, maxCredit, savesOne) >= work
	}
	return s.drawCredit(h, budget, work)
}

// savedRequestsFitMargin reports whether the part of the host's budget that is reserved for chance covers one
// saved request from each router.
func (s *slowStart) savedRequestsFitMargin(budget hostBudget, work float64) bool {
	if s.OverloadWindow <= 0 {
		return true
	}
	// requests is the number of requests that the host can take in a window.
	requests := budget.estimated * s.OverloadWindow * budget.senders / slowStartBudgetShare / work
	return budget.senders <= requests*(1-slowStartBudgetShare)+2*math.Sqrt(requests)+2
}

// accrue adds the credit earned since the last check, up to maxCredit, and returns the credit. The first
// check gives the initial credit. savesOne tells whether each router may have saved up a request.
func (s *slowStart) accrue(h *host, budget hostBudget, work, maxCredit float64, savesOne bool) float64 {
	w := &h.warmUp
	if w.creditedUntil == 0 {
		initial := s.initialCredit(h, work, savesOne)
		w.creditedUntil, w.credit = s.now, initial
		return s.addCredit(h, initial, 0, maxCredit)
	}
	earned := budget.rate * math.Max(0, s.now-w.creditedUntil)
	w.creditedUntil = math.Max(s.now, w.creditedUntil)
	return s.addCredit(h, 0, earned, maxCredit)
}

// initialCredit returns the credit that a slow start begins with. It is drawn at random, so that routers that are told of
// a start together do not send together. Few of the hosts that are presumed to have restarted have done so, and an idle
// one should take a request at once.
func (s *slowStart) initialCredit(h *host, work float64, savesOne bool) float64 {
	if savesOne && h.warmUp.cause == PresumedRestart {
		return work
	}
	return s.uniform(h) * work
}

// drawCredit decides at random, once in each interval, whether this router may send one request. Guards
// against many routers that each save up one request during a quiet period and then send them all at once.
func (s *slowStart) drawCredit(h *host, budget hostBudget, work float64) bool {
	w := &h.warmUp
	window := s.OverloadWindow * (1 + savedCreditShare)
	interval := window / math.Max(1, math.Ceil(budget.rate*window/work))
	// Credit that was drawn stays valid for savedCreditShare of a window. Routers with a larger share may save
	// up credit for the same time.
	if s.now < w.creditedUntil {
		return w.credit >= work && s.now < w.creditedUntil-interval+s.OverloadWindow*savedCreditShare
	}
	w.credit, w.creditedUntil = 0, s.now+interval
	if s.uniform(h)*work >= budget.rate*interval {
		return false
	}
	return s.addCredit(h, 0, work, work) >= work
}

// addCredit adds credit up to maxCredit, and returns the total. All shards of a process share one account,
// because with an account each, every shard could send a request at once.
func (s *slowStart) addCredit(h *host, initial, earned, maxCredit float64) float64 {
	w := &h.warmUp
	if s.Peers != nil {
		w.credit = s.Peers.AccrueCredit(h.ID, h.startedAt(), initial, earned, maxCredit)
	} else {
		w.credit = math.Min(w.credit+earned, maxCredit)
	}
	return w.credit
}

// sendBy returns the time in seconds by which an attempt that was decided on now must be sent to a host: +Inf if it is
// not in slow start. Guards against attempts that wait, for a connection that comes up late or while the process
// stands still, and then reach the host together with those that were decided on later.
func (s *slowStart) sendBy(h *host) float64 {
	if !h.warmUp.active || s.OverloadWindow <= 0 {
		return math.Inf(1)
	}
	return s.now + s.OverloadWindow*sendDelayShare
}

// claim takes work from what all shards together may send to a host in slow start. It returns false if other
// shards have left too little.
func (s *slowStart) claim(h *host, work float64) bool {
	return s.Peers == nil || !h.warmUp.active || s.Peers.SpendCredit(h.ID, work)
}
