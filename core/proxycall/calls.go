// Package proxycall keeps the life of GETs that a proxy asks about and sends itself: what an answer, a silence or a stream that
// ends proves of a forward, how long a GET waits for its proxy's further call, and how many may be open. It is pure: time
// comes in as float seconds, and chance from the seed.
//
// What holds:
//   - a call has one decision, and a GET one end;
//   - a forward that was named stays out until its proxy has told of it or has come again, or the hold is over: no stream
//     that just ends proves that a host did not get it;
//   - a further call belongs to a GET only if the same proxy brings the id that it was given.
package proxycall

import (
	"math"
	"math/rand/v2"

	"elderwall/core/timerwheel"
)

// ID is what a proxy is given for a GET, and brings for a further forward of it.
type ID uint64

const (
	graceShare = 0.5 // share of the drain's grace within which a proxy must have sent what was named
	drainGrace = 0.5 // s; the platform's
)

// SendWithin is the time in seconds within which a proxy must send a forward that it was named.
const SendWithin = graceShare * drainGrace

// Settings bound the table. The zero value of one takes its default.
type Settings struct {
	Open  int     // GETs at a time
	Share float64 // of those that one proxy may have
	Hold  float64 // s; how long a GET whose forward failed, or whose stream ended, waits for its proxy's further call
}

// Defaults of Settings.
const (
	DefaultOpen  = 4096
	DefaultShare = 0.5
	DefaultHold  = 1.0
	// DefaultDecide is how many seconds a decision may take: it takes microseconds, so what waits longer waits for the machine.
	DefaultDecide = 0.005
	// DefaultBudget is how many seconds a client waits at most where nothing is said.
	DefaultBudget = 1.5
)

// Phase is where a GET is.
type Phase int

// The phases.
const (
	Deciding Phase = iota // no answer is out
	Named                 // a forward is with the proxy, whose stream is open
	Held                  // its proxy may come again
	Over
)

// Call is one GET.
type Call struct {
	ID       ID
	Proxy    uint64
	Phase    Phase
	Until    float64 // its viewer timeout
	SendBy   float64 // the forward that is named must be sent by then
	Forward  int     // the number of that
	out      bool    // whether its end is still to be told
	held     timerwheel.Timer[*Call]
	Forwards int
}

// Table is all that are open.
type Table struct {
	Settings
	ids   *rand.ChaCha8 // ids are not to be guessed: a GET that waits would go on with another's call
	calls map[ID]*Call
	by    map[uint64]int
	due   timerwheel.Wheel[*Call]
}

// New makes a table.
func New(s Settings, seed [32]byte) *Table {
	if s.Open == 0 {
		s.Open = DefaultOpen
	}
	if s.Share == 0 {
		s.Share = DefaultShare
	}
	if s.Hold == 0 {
		s.Hold = DefaultHold
	}
	return &Table{Settings: s, ids: rand.NewChaCha8(seed), calls: map[ID]*Call{}, by: map[uint64]int{}}
}

// Len is how many are open.
func (t *Table) Len() int { return len(t.calls) }

// Begin takes a new GET of a proxy; nil where it, or all of them, have too many open.
func (t *Table) Begin(proxy uint64, until float64) *Call {
	if len(t.calls) >= t.Open || float64(t.by[proxy]) >= math.Max(1, t.Share*float64(t.Open)) {
		return nil
	}
	c := &Call{Proxy: proxy, Until: until}
	for c.ID == 0 || t.calls[c.ID] != nil {
		c.ID = ID(t.ids.Uint64())
	}
	t.calls[c.ID] = c
	t.by[proxy]++
	return c
}

// Name books that a forward is with the proxy, and by when it must be sent: a time at the latest.
func (t *Table) Name(now float64, c *Call, number int, before float64) {
	c.Phase, c.Forward, c.out = Named, number, true
	c.Forwards++
	c.SendBy = math.Min(now+SendWithin, math.Min(c.Until, before))
	t.due.Remove(&c.held)
}

// Proof is what is known of the end of a forward.
type Proof int

// The proofs.
const (
	Nothing   Proof = iota // it is out still, or its end was told before
	Returned               // the client has it
	HostError              // the host answered with an error
	Full                   // the host did not take it
	Lacks                  // it looked, and has no copy
	TooOld                 // its copy is older than a purge allows: it must not be used
	Unreached              // the proxy says that it could not send it
	Dropped                // the proxy gave it up, and it may have run
	Left                   // nobody waits any more
)

// Reply is what a proxy tells of a response.
type Reply struct {
	Status int
	Full   bool    // the host said that it is full
	Age    float64 // s; of the copy, below 0 where it was not told
}

// Lowest statuses of a kind (RFC 9110, section 15).
const (
	statusError    = 500
	statusNotFound = 404
)

// Replied takes a response's headers. oldest is the age that a copy may have after purges, 0 for any; heldOnly tells that
// the host was only to look. A copy whose age is not told passes only where any would.
func (t *Table) Replied(now float64, c *Call, r Reply, oldest float64, heldOnly bool) Proof {
	if c.Phase != Named || !c.out {
		return Nothing
	}
	c.out = false
	proof := Returned
	switch {
	case r.Full && r.Status >= statusError:
		proof = Full
	case r.Status >= statusError:
		proof = HostError
	case r.Status == statusNotFound && heldOnly:
		proof = Lacks
	case oldest > 0 && (r.Age < 0 || r.Age > oldest):
		proof = TooOld
	}
	if proof == Returned {
		t.End(c)
	} else {
		t.hold(now, c)
	}
	return proof
}

// Ended takes the end of a stream. It proves nothing of a forward that is out: the GET waits for its proxy.
func (t *Table) Ended(now float64, c *Call) Proof {
	switch c.Phase {
	case Deciding:
		t.End(c)
		return Left
	case Named:
		t.hold(now, c)
	}
	return Nothing
}

// hold waits for the proxy's further call.
func (t *Table) hold(now float64, c *Call) {
	c.Phase = Held
	t.due.Put(&c.held, math.Min(now+t.Hold, c.Until), c)
}

// Again takes a further call: the GET that it goes on with, and what it proves of the forward that was out. It is nil
// where the id is not of a GET that waits for this proxy.
func (t *Table) Again(now float64, proxy uint64, id ID, unsent bool) (*Call, Proof) {
	c := t.calls[id]
	if c == nil || c.Proxy != proxy || c.Phase != Held || now >= c.Until {
		return nil, Nothing
	}
	t.due.Remove(&c.held)
	c.Phase = Deciding
	if !c.out {
		return c, Nothing
	}
	if c.out = false; unsent {
		return c, Unreached
	}
	return c, Dropped
}

// Pass gives the next GET whose hold is over: nobody waits for it any more.
func (t *Table) Pass(now float64) (*Call, bool) {
	c, ok := t.due.Pop(now)
	if ok {
		t.End(c)
	}
	return c, ok
}

// End closes a GET's books; again does nothing.
func (t *Table) End(c *Call) {
	if c.Phase == Over {
		return
	}
	c.Phase = Over
	t.due.Remove(&c.held)
	delete(t.calls, c.ID)
	if t.by[c.Proxy]--; t.by[c.Proxy] == 0 {
		delete(t.by, c.Proxy)
	}
}
