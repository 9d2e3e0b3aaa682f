package quota

import (
	"maps"
	"math"
	"slices"
)

// Request is a dispatcher's message to the allocator: who it is and what it demands of all budgets.
type Request struct {
	ID      uint64   `cbor:"ID"` // increases with each request
	Name    string   `cbor:"Name"`
	BootID  uint64   `cbor:"Boot"`
	Zone    string   `cbor:"Zone"`
	Address string   `cbor:"Address"`
	Token   uint64   `cbor:"Token"`  // fencing token of the allocator that last answered it
	Leaving bool     `cbor:"Leaves"` // the dispatcher uses nothing any more and gives everything up, including floors
	Demands []Demand `cbor:"Asks"`
}

// Demand is the part of a request about one budget.
type Demand struct {
	Budget       string `cbor:"Budget"`
	CurrentLimit int64  `cbor:"Keep"`  // limit that the dispatcher keeps to until it gets a response
	Floor        int64  `cbor:"Floor"` // units that it keeps using without contact to the allocator
	Used         int64  `cbor:"Used"`  // units of an amount that it has used so far, over all windows
	Need         int64  `cbor:"Need"`  // units that it would use
}

// Response tells a dispatcher what it may use.
type Response struct {
	ID     uint64  `cbor:"ID"`    // of the request
	Token  uint64  `cbor:"Token"` // fencing token of the allocator
	Grants []Grant `cbor:"Gives"`
}

// Grant is the part of a response about one budget.
type Grant struct {
	Budget string `cbor:"Budget"`
	Kind   Kind   `cbor:"Kind"`
	Size   int64  `cbor:"Size"`  // units; for an amount, the total that the holder may have used
	Floor  int64  `cbor:"Floor"` // units that may be used without contact to the allocator
	Burst  int64  `cbor:"Burst"` // units of a rate that the bucket may hold
}

// Holder holds one dispatcher's grants and decides whether a unit may be used now. It is not safe for concurrent use.
type Holder struct {
	name          string
	bootID        uint64
	zone          string
	address       string
	budgets       map[string]*budgetState
	lastRequestID uint64
	requestedAt   float64 // time of the last request
	answeredID    uint64  // last request that was answered
	token         uint64  // highest fencing token seen in a response
	leaseEnd      float64 // time until which grants are valid
	floorEnd      float64 // time until which floors are valid
	nextRequest   float64 // time at which the next request is due
	leaving       bool
	unanswered    int // consecutive requests without a response
}

// budgetState is the state of one budget at this dispatcher: its grant and its use.
type budgetState struct {
	Grant
	inUse         int64   // units in flight or reserved by another component
	reservedOnly  int64   // units in inUse that another component has reserved but not in flight
	usageIntegral float64 // unit-seconds in flight since the last request
	integratedAt  float64 // time up to which usageIntegral is counted
	used          int64   // units of an amount used so far
	tokens        float64 // in a rate's bucket
	filledAt      float64 // time at which the bucket was last refilled
	taken         float64 // units since the last request
	rejected      float64 // units since the last request
	rate          float64 // units taken and rejected per second before the last request
	countedSince  float64 // time from which taken and rejected are counted
	unused        bool    // no longer used here; dropped once nothing is in flight
	reportedNeed  int64   // need that the last request reported
}

// NewHolder returns a holder for one run of a dispatcher. It has no budgets and no grants.
func NewHolder(name string, bootID uint64, zone, address string) *Holder {
	return &Holder{name: name, bootID: bootID, zone: zone, address: address, budgets: map[string]*budgetState{}, lastRequestID: bootID * 0x9e3779b97f4a7c15 >> 1}
}

// AddBudget registers a budget that is used here. It does nothing beyond MaxBudgets.
func (h *Holder) AddBudget(budget string, kind Kind, now float64) {
	if h.budgets[budget] == nil && len(h.budgets) < MaxBudgets {
		h.budgets[budget] = &budgetState{Grant: Grant{Budget: budget, Kind: kind}, filledAt: now, countedSince: now, integratedAt: now}
		h.nextRequest = now
	}
}

// RetainBudgets keeps only the budgets for which used returns true. Others are dropped once nothing of them is in
// flight and the allocator has answered a request sent since.
func (h *Holder) RetainBudgets(used func(budget string) bool, now float64) {
	for name, s := range h.budgets {
		if s.unused = !used(name); s.unused {
			s.Size, s.Floor, h.nextRequest = min(s.Size, s.used), 0, now
			if s.Kind != Amount {
				s.Size = 0
			}
		}
	}
}

// limit returns what may be used now: the grant during its lease, then the floor, then nothing.
func (h *Holder) limit(now float64, s *budgetState) int64 {
	switch {
	case h.leaving:
		return 0
	case now < h.leaseEnd:
		return s.Size
	case s.Kind == Amount:
		return s.used // the allocator counts unused units as spent
	case now < h.floorEnd:
		return min(s.Floor, s.Size)
	}
	return 0
}

// Limit returns how many units of a budget may be used now.
func (h *Holder) Limit(now float64, budget string) int64 {
	if s := h.budgets[budget]; s != nil {
		return h.limit(now, s)
	}
	return 0
}

// InUse returns how many units of a budget are in flight or reserved by another component.
func (h *Holder) InUse(budget string) int64 {
	if s := h.budgets[budget]; s != nil {
		return s.inUse
	}
	return 0
}

// burst returns how many units the bucket of a rate may hold now.
func (h *Holder) burst(now float64, s *budgetState) float64 {
	if limit := h.limit(now, s); s.Size > 0 {
		return float64(s.Burst) * float64(min(limit, s.Size)) / float64(s.Size)
	}
	return 0
}

// Take takes n units of a budget and reports whether they were available. Units in flight are returned by Done.
// Callers must call it right before each use, so that a process that was paused notices an expired grant.
func (h *Holder) Take(now float64, budget string, n int64) bool {
	s := h.budgets[budget]
	if s == nil || n < 0 {
		return false
	}
	limit, ok := h.limit(now, s), false
	switch s.Kind {
	case InFlight:
		if ok = s.inUse+n <= limit; ok {
			s.changeInUse(now, n)
		}
	case Rate:
		h.refill(now, s)
		if ok = s.tokens >= float64(n); ok {
			s.tokens -= float64(n)
		}
	case Amount:
		if ok = s.used+n <= limit; ok {
			s.used += n
		}
	}
	if ok {
		s.taken += float64(n)
	} else {
		s.rejected += float64(n)
		if h.needsMore(s) && h.answeredID == h.lastRequestID {
			h.nextRequest = math.Min(h.nextRequest, h.requestedAt+minRequestInterval)
		}
	}
	return ok
}

// needsMore reports whether demand is well above what was granted: rejected units exceed a tenth of those taken.
func (h *Holder) needsMore(s *budgetState) bool { return s.rejected > 0.1*s.taken }

// refill adds tokens to a rate's bucket for the time since the last refill. Guards against a repeated burst: a grant
// that arrives late starts with an empty bucket, because its previous holder may have used the burst already.
func (h *Holder) refill(now float64, s *budgetState) {
	elapsed := math.Max(0, now-s.filledAt)
	rate := float64(h.limit(now, s)) / float64(RateUnits)
	if s.filledAt < h.leaseEnd && now > h.leaseEnd { // part of the time is after the end of the lease
		rate = 0
	}
	s.filledAt = now
	s.tokens = math.Min(h.burst(now, s), s.tokens+elapsed*rate)
}

// RecordRejected counts units that another component rejected because of this budget's limit.
func (h *Holder) RecordRejected(budget string, count int64) {
	if s := h.budgets[budget]; s != nil && count > 0 {
		if s.rejected += float64(count); h.needsMore(s) && h.answeredID == h.lastRequestID {
			h.nextRequest = math.Min(h.nextRequest, h.requestedAt+minRequestInterval)
		}
	}
}

// Reserve records how many units another component may have in flight under this budget's limit, in place of the
// previous number. Of the current number, held are in flight; started have begun since the last call.
func (h *Holder) Reserve(now float64, budget string, previous, current, held, started int64) {
	if s := h.budgets[budget]; s != nil && s.Kind == InFlight {
		s.changeInUse(now, current-previous)
		s.taken += float64(started)
		s.reservedOnly = current - held
	}
}

// Done returns n units that were in flight.
func (h *Holder) Done(now float64, budget string, n int64) {
	if s := h.budgets[budget]; s != nil && s.Kind == InFlight {
		s.changeInUse(now, -n)
	}
}

// changeInUse adds n to inUse, after adding the time since the last change to the integral of use.
func (s *budgetState) changeInUse(now float64, n int64) {
	s.usageIntegral += float64(s.inUse-s.reservedOnly) * math.Max(0, now-s.integratedAt)
	s.integratedAt = now
	s.inUse = max(0, s.inUse+n)
}

// Leave gives up all grants and floors; the next request says so.
func (h *Holder) Leave(now float64) { h.leaving, h.nextRequest = true, now }

// LeaveAcknowledged reports whether the allocator has answered the request that gave everything up.
func (h *Holder) LeaveAcknowledged() bool { return h.leaving && h.answeredID == h.lastRequestID }

// currentLimit returns the limit that this dispatcher keeps to until it gets a response. Units in flight count until
// they end.
func (h *Holder) currentLimit(now float64, s *budgetState) int64 {
	limit := h.limit(now, s)
	if s.Kind == InFlight {
		limit = max(limit, s.inUse)
	}
	return limit
}

// need returns how many units would be used, estimated from those taken and rejected since the last request.
func (s *budgetState) need(now float64) int64 {
	span := math.Max(minRequestInterval, now-s.countedSince)
	rate := (s.taken + s.rejected) / span
	if s.rate = rate; s.Kind == Rate {
		return int64(math.Ceil(rate * float64(RateUnits)))
	}
	if s.Kind == Amount {
		return int64(math.Ceil(rate * 2 * Lease))
	}
	s.changeInUse(now, 0)
	n := s.usageIntegral / span // the mean, because a peak would reserve far more than is used at dispatchers with little traffic
	if s.rejected > 0 {
		n = math.Max(n*(s.taken+s.rejected)/math.Max(1, s.taken), 1)
	}
	return int64(math.Ceil(n))
}

// Tick returns the next request if one is due.
func (h *Holder) Tick(now float64) (req Request, due bool) {
	if now < h.nextRequest || len(h.budgets) == 0 {
		return req, false
	}
	if h.answeredID != h.lastRequestID {
		h.unanswered++
	}
	h.lastRequestID++
	h.requestedAt = now
	h.nextRequest = now + math.Min(requestInterval, minRequestInterval*math.Pow(2, float64(min(h.unanswered, 3)))) // a response postpones it further
	req = Request{ID: h.lastRequestID, Name: h.name, BootID: h.bootID, Zone: h.zone, Address: h.address, Token: h.token, Leaving: h.leaving}
	for _, name := range slices.Sorted(maps.Keys(h.budgets)) {
		s := h.budgets[name]
		if s.Kind == Rate {
			h.refill(now, s)
		}
		s.reportedNeed = s.need(now)
		// The reported limit is in force from now on: a response to an earlier request cannot raise it.
		s.Size = h.limit(now, s)
		req.Demands = append(req.Demands, Demand{Budget: name, CurrentLimit: h.currentLimit(now, s), Floor: min(s.Floor, s.Size), Used: s.used, Need: s.reportedNeed})
		s.usageIntegral, s.taken, s.rejected, s.countedSince = 0, 0, 0, now
	}
	return req, true
}

// HandleResponse applies a response and reports whether it was accepted. It accepts only a response to the last
// request, and none from an older allocator: a response reflects the limits at the time of its request, and later
// requests have bound this dispatcher to lower ones.
func (h *Holder) HandleResponse(now float64, resp Response) bool {
	if resp.ID != h.lastRequestID || resp.ID == h.answeredID || resp.Token < h.token {
		return false
	}
	h.answeredID, h.token, h.unanswered = resp.ID, resp.Token, 0
	h.leaseEnd, h.floorEnd = h.requestedAt+Lease*(1-Drift), h.requestedAt+FloorLease*(1-Drift)
	interval, soon := requestInterval, len(resp.Grants) == 0 // no grants: this dispatcher has not joined yet
	for name, s := range h.budgets {
		i := slices.IndexFunc(resp.Grants, func(g Grant) bool { return g.Budget == name && g.Kind == s.Kind })
		g := Grant{Budget: name, Kind: s.Kind}
		if i >= 0 {
			g = resp.Grants[i]
		}
		if s.unused {
			if s.inUse == 0 {
				delete(h.budgets, name)
			}
			continue
		}
		if s.Kind == Rate {
			h.refill(now, s)
		}
		soon = soon || g.Size < s.Size && s.Kind != Amount
		s.Grant = g
		if s.Kind == Rate {
			s.tokens = math.Min(s.tokens, h.burst(now, s))
		}
	}
	if soon { // another dispatcher gets the returned units once the next request confirms the lower limit
		interval = minRequestInterval
	}
	h.nextRequest = math.Max(now, h.requestedAt+interval)
	return true
}
