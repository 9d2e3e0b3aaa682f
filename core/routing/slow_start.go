package routing

import "math"

const (
	// share of the budget of a host in slow start that is sent to it: the rest is for chance and error
	slowStartShare = 0.75
	// share of a host's overload window whose credit may be saved up: with slowStartShare under one
	savedShare      = 0.25
	minMeasuredSpan = bucketSpan
)

// warmUp is the slow start of one host.
type warmUp struct {
	active        bool
	credit        float64 // s; work that may be sent to it now
	creditedUntil float64 // s; up to when credit was given; 0 before the first look
}

// slowStart keeps hosts with cold caches from being sent more than they bear, by all routers together. Each
// router takes its own share of a host's budget, which grows from the start of the host to the end of its
// ramp; many routers with small shares draw by chance which of them sends.
type slowStart struct {
	*environment
	warmCacheRate  float64 // s/s; what a warm cache returned to this router, as of the last survey
	warmParentRate float64 // s/s; the same for a warm parent
	lastCacheRate  float64 // s/s; the last warmCacheRate that was not 0, for when no cache is warm
}

// survey measures what warm hosts return to this router.
func (s *slowStart) survey(caches, parents []*host) {
	s.warmCacheRate, s.warmParentRate = s.warmRate(caches), s.warmRate(parents)
	if s.warmCacheRate != 0 {
		s.lastCacheRate = s.warmCacheRate
	}
}

// warmRate is the mean work per second that warm hosts among these return to this router.
func (s *slowStart) warmRate(hosts []*host) float64 {
	var all decayingMean
	for _, h := range hosts {
		if h.Phase == Ready && !h.warmUp.active && !h.health.ejected {
			all.add(h.returned.sum(s.now), 0)
		}
	}
	return all.mean / math.Max(minMeasuredSpan, math.Min(s.now, windowSpan))
}

// hostBudget is what a host in slow start may be sent.
type hostBudget struct {
	rate    float64 // s/s; work that this router may send to it
	senders float64 // routers and shards that share the host
}

// budget returns what a host in slow start may be sent, and ends its slow start after the ramp. In an
// overload window all routers send 1+savedShare times their shares at most, as a mean: 0.94 of what the host
// bears.
func (s *slowStart) budget(h *host, work float64) hostBudget {
	initial, ramp, multiple := s.SlowStartInitial, s.SlowStartRamp, s.OverloadMultiple
	rate, senders := s.warmCacheRate, s.senders(h.Zone)
	if h.Kind == s.ParentKind {
		initial, ramp, multiple = s.ParentSlowStartInitial, s.ParentSlowStartRamp, s.ParentOverloadMultiple
		rate, senders = s.warmParentRate, s.senders(len(s.DispatchersByZone)) // of all zones
	}
	age := math.Max(0, s.now-h.OnlineSince)
	h.warmUp.active = h.warmUp.active && age < ramp && h.Kind != s.OriginKind
	if s.WeightsKnown {
		rate = h.Weight / senders
	} else if rate == 0 {
		// it can do one request in a window at least
		rate = math.Max(s.lastCacheRate, work/s.OverloadWindow/senders)
	}
	return hostBudget{(initial + (1-initial)*age/ramp) * rate * multiple * slowStartShare, senders}
}

// permits reports whether a host may be sent work now, as far as its slow start goes.
func (s *slowStart) permits(h *host, work float64) bool {
	budget := s.budget(h, work)
	if !h.warmUp.active {
		return true
	}
	savable := budget.rate * s.OverloadWindow * savedShare * math.Max(1, float64(s.Shards))
	if s.savesAreWithinChance(budget, work) {
		savable = math.Max(savable, work)
	}
	if savable >= work {
		return s.accrue(h, budget, work, savable) >= work
	}
	return s.draw(h, budget, work)
}

// savesAreWithinChance reports whether one request saved up by each router is within what the host's budget
// leaves for chance.
func (s *slowStart) savesAreWithinChance(budget hostBudget, work float64) bool {
	if s.OverloadWindow <= 0 {
		return true
	}
	// that the host bears in a window
	requests := budget.rate * s.OverloadWindow * budget.senders / slowStartShare / work
	return budget.senders <= requests*(1-slowStartShare)+2*math.Sqrt(requests)+2
}

// accrue adds the credit of the time that has passed, up to savable, and returns the credit. The first look
// draws what is there at the start.
func (s *slowStart) accrue(h *host, budget hostBudget, work, savable float64) float64 {
	w := &h.warmUp
	earned, initial := budget.rate*math.Max(0, s.now-w.creditedUntil), 0.0
	if w.creditedUntil == 0 {
		initial = s.uniform(h) * work
		w.creditedUntil, w.credit, earned = s.now, initial, 0
	} else {
		w.creditedUntil = math.Max(s.now, w.creditedUntil)
	}
	return s.addCredit(h, initial, earned, savable)
}

// draw decides by chance, once in an interval, whether this router may send one request. Guards against many
// routers that save up one request each while it is quiet, and then send all at once.
func (s *slowStart) draw(h *host, budget hostBudget, work float64) bool {
	w := &h.warmUp
	window := s.OverloadWindow * (1 + savedShare)
	interval := window / math.Max(1, math.Ceil(budget.rate*window/work))
	if s.now < w.creditedUntil { // what was drawn is kept for as long as a larger share would be
		return w.credit >= work && s.now < w.creditedUntil-interval+s.OverloadWindow*savedShare
	}
	w.credit, w.creditedUntil = 0, s.now+interval
	if s.uniform(h)*work >= budget.rate*interval {
		return false
	}
	return s.addCredit(h, 0, work, work) >= work
}

// addCredit adds credit up to most, and returns what there is: for all shards in one account, as each with
// its own could send a request at once.
func (s *slowStart) addCredit(h *host, initial, earned, most float64) float64 {
	w := &h.warmUp
	if s.Peers != nil {
		w.credit = s.Peers.AccrueCredit(h.ID, h.OnlineSince, initial, earned, most)
	} else {
		w.credit = math.Min(w.credit+earned, most)
	}
	return w.credit
}

// claim takes work out of what all shards may send to a host in slow start; false if another shard was
// faster.
func (s *slowStart) claim(h *host, work float64) bool {
	return s.Peers == nil || !h.warmUp.active || s.Peers.SpendCredit(h.ID, work)
}
