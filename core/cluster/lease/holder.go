package lease

import (
	"slices"
)

// Holder keeps the leases of one dispatcher: which duties it is registered for, which it holds, and until when by its
// own clock. It is not safe for concurrent use; all times are seconds on the caller's monotonic clock.
type Holder struct {
	name          string
	bootID        uint64
	zone          string
	priority      int
	duties        []string
	leaseLengths  []float64 // seconds; by index into duties
	held          map[string]*heldLease
	released      []Lease
	lastID        uint64
	pending       []pendingRequest // the latest requests; an answer to any of them may still arrive, late if disks are slow
	answeredID    uint64           // the latest request that was answered
	refusedID     uint64           // the latest request that was refused because the receiver is not the leader
	nextRequestAt float64
	leaving       bool
}

// pendingRequest is a request that has been sent, with the leases that it released.
type pendingRequest struct {
	id       uint64
	sentAt   float64
	released []Lease
}

// heldLease is a granted lease with its end by the holder's own clock.
type heldLease struct {
	Lease
	expiresAt float64
	ending    bool // the lease is to be released: no further action is allowed
}

const (
	requestsPerLease    = 3.0  // two requests may be lost per lease
	idleRequestInterval = 1.0  // seconds; longest time between requests, in particular while no lease is held
	refusalRetryShare   = 0.05 // of the request interval; the delay before another voter is asked after a refusal
	answerTimeoutShare  = 0.5  // of the request interval; after it an unanswered request is sent again, to another voter
	minRequestInterval  = 0.02 // seconds
	maxPending          = 8    // requests whose answers are still accepted
)

// NewHolder returns a holder that is registered for no duty.
func NewHolder(name string, bootID uint64, zone string, priority int) *Holder {
	// Guards against answers to an earlier process at the same address: its requests had other IDs.
	first := bootID * 0x9e3779b97f4a7c15 >> 1
	return &Holder{name: name, bootID: bootID, zone: zone, priority: priority, held: map[string]*heldLease{}, lastID: first, answeredID: first}
}

// Register requests a duty from now on. A duty that is not declared yet is created with the given lease length, in
// seconds.
func (h *Holder) Register(duty string, length, now float64) {
	if !slices.Contains(h.duties, duty) {
		h.duties, h.leaseLengths = append(h.duties, duty), append(h.leaseLengths, length)
		h.nextRequestAt = now
	}
}

// Leave releases all leases and withdraws all requests for duties.
func (h *Holder) Leave(now float64) {
	h.leaving, h.duties, h.leaseLengths = true, nil, nil
	for _, l := range h.held {
		h.release(l)
	}
	h.nextRequestAt = now
}

// Release gives up a duty. The caller must have finished its last action under the duty.
func (h *Holder) Release(duty string, now float64) {
	if l := h.held[duty]; l != nil {
		h.release(l)
		h.nextRequestAt = now
	}
}

// release ends a lease locally and queues its release for the next request.
func (h *Holder) release(l *heldLease) {
	h.released = append(h.released, l.Lease)
	delete(h.held, l.Duty)
}

// HeldToken returns the fencing token of a held duty; ok is false if no action is allowed under it now. It must be
// called right before each action, so that a process that was stopped in between notices that its lease has run out.
func (h *Holder) HeldToken(duty string, now float64) (token uint64, ok bool) {
	l := h.held[duty]
	if l == nil || now >= l.expiresAt || l.ending {
		return 0, false
	}
	return l.Token, true
}

// ExpiresAt returns when a lease ends by the holder's own clock, or 0 if the duty is not held.
func (h *Holder) ExpiresAt(duty string) float64 {
	if l := h.held[duty]; l != nil {
		return l.expiresAt
	}
	return 0
}

// TransfersRequested returns the held duties that are to be transferred to another dispatcher, sorted. Each must be
// released after its last action.
func (h *Holder) TransfersRequested() (all []string) {
	for name, l := range h.held {
		if l.TransferRequested {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

// Held returns the leases that have not run out, sorted by duty name.
func (h *Holder) Held(now float64) (all []Lease) {
	for _, l := range h.held {
		if now < l.expiresAt {
			all = append(all, l.Lease)
		}
	}
	slices.SortFunc(all, func(a, b Lease) int { return compare(a.Duty, b.Duty) })
	return all
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// requestInterval returns the seconds between requests: a third of the shortest lease that is held or may be granted,
// within bounds.
func (h *Holder) requestInterval() float64 {
	shortest := idleRequestInterval * requestsPerLease
	for _, l := range h.leaseLengths {
		shortest = min(shortest, l)
	}
	for _, l := range h.held {
		shortest = min(shortest, l.Length)
	}
	return max(minRequestInterval, shortest/requestsPerLease)
}

// Tick returns the next request if one is due; send reports whether it is. onTime is false while the last request has
// been waiting too long for its answer: the next one must then go to another voter.
func (h *Holder) Tick(now float64) (t RenewalRequest, send, onTime bool) {
	for name, l := range h.held {
		if now >= l.expiresAt {
			delete(h.held, name)
		}
	}
	waiting := max(h.answeredID, h.refusedID) < h.lastID
	if waiting && now-h.pending[len(h.pending)-1].sentAt > answerTimeoutShare*h.requestInterval() {
		h.nextRequestAt = min(h.nextRequestAt, now)
	} else {
		onTime = true
	}
	if now < h.nextRequestAt || len(h.duties) == 0 && len(h.released) == 0 {
		return t, false, onTime
	}
	h.lastID++
	h.nextRequestAt = now + h.requestInterval()
	h.pending = append(h.pending, pendingRequest{h.lastID, now, slices.Clone(h.released)})
	if len(h.pending) > maxPending {
		h.pending = h.pending[1:]
	}
	return RenewalRequest{
		ID: h.lastID, Name: h.name, BootID: h.bootID, Zone: h.zone, Priority: h.priority, Duties: slices.Clone(h.duties), LeaseLengths: slices.Clone(h.leaseLengths),
		Released: slices.Clone(h.released),
	}, true, onTime
}

// HandleRefusal records that the receiver of a request is not the leader, and brings the next request forward. Guards
// against leases that are lost while a dispatcher asks one voter after another and waits a full interval at each.
func (h *Holder) HandleRefusal(now float64, id uint64) {
	if i := slices.IndexFunc(h.pending, func(a pendingRequest) bool { return a.id == id }); i >= 0 && id > max(h.answeredID, h.refusedID) {
		h.refusedID = id
		h.nextRequestAt = min(h.nextRequestAt, max(now, h.pending[i].sentAt+refusalRetryShare*h.requestInterval()))
	}
}

// HandleAnswer takes over the leases in the answer to a request. They are timed from when the request was sent. Answers
// to requests that are older than an answered one are ignored, since their content may be outdated.
func (h *Holder) HandleAnswer(_ float64, id uint64, all []Lease) {
	i := slices.IndexFunc(h.pending, func(a pendingRequest) bool { return a.id == id })
	if i < 0 || id <= h.answeredID {
		return
	}
	request := h.pending[i]
	h.answeredID, h.pending = id, h.pending[i+1:]
	h.released = slices.DeleteFunc(h.released, func(b Lease) bool { return slices.Contains(request.released, b) })
	if h.leaving {
		return
	}
	all = slices.DeleteFunc(slices.Clone(all), func(l Lease) bool { // released since the request was sent
		return slices.ContainsFunc(h.released, func(b Lease) bool { return b.Duty == l.Duty && b.Token == l.Token })
	})
	for _, l := range all {
		if !slices.Contains(h.duties, l.Duty) {
			continue
		}
		o := h.held[l.Duty]
		if o == nil || o.Token != l.Token {
			o = &heldLease{}
			h.held[l.Duty] = o
		}
		o.Lease, o.expiresAt = l, max(o.expiresAt, request.sentAt+l.Length*(1-MaxClockDrift))
	}
	for name := range h.held {
		if !slices.ContainsFunc(all, func(l Lease) bool { return l.Duty == name && l.Token == h.held[name].Token }) {
			delete(h.held, name) // another dispatcher holds it, or its expiry has been proposed
		}
	}
	h.nextRequestAt = min(h.nextRequestAt, request.sentAt+h.requestInterval()) // a granted lease may be shorter than the ones known when the request was sent
}

// AllReleased reports whether no lease is held and no release remains to be sent.
func (h *Holder) AllReleased() bool { return len(h.held) == 0 && len(h.released) == 0 }

// Fence protects a receiver of actions: it rejects tokens below the highest that it has seen for a duty. It is not safe
// for concurrent use.
type Fence struct{ highest map[string]uint64 }

// Accept reports whether an action with this token is allowed, and records the token.
func (f *Fence) Accept(duty string, token uint64) bool {
	if f.highest == nil {
		f.highest = map[string]uint64{}
	}
	if token == 0 || token < f.highest[duty] {
		return false
	}
	f.highest[duty] = token
	return true
}
