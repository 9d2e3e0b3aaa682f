// Package proxycall tracks GETs that a proxy asks the dispatcher about but sends itself. It decides what a
// response, a missing response or a closed stream shows about a forward, how long a GET waits for its proxy to
// call again, and how many GETs may be open. It does no I/O: the caller passes times as seconds on its
// monotonic clock, and IDs are drawn from the seed.
//
// Invariants:
//   - A call gets one decision, and a GET ends exactly once.
//   - An assigned forward counts as outstanding until its proxy has reported its end or called again, or until
//     the hold has expired. The mere end of a stream never shows that a host did not get the forward.
//   - A further call belongs to a GET only if the same proxy passes the ID that it was given for this GET.
//   - A further call that continues no GET begins a new one only if a repeat is harmless.
package proxycall

import (
	"math"
	"math/rand/v2"

	"elderwall/core/timerwheel"
)

// ID identifies a GET. A proxy gets it with the first decision and passes it to ask for a further forward.
type ID uint64

const (
	sendGraceShare = 0.5 // share of the platform's drain grace within which a proxy must have sent a forward
	drainGrace     = 0.5 // seconds; set by the platform
)

// SendTimeout is the time in seconds within which a proxy must send a forward that was assigned to it.
const SendTimeout = sendGraceShare * drainGrace

// Settings limit a table. A field that is zero gets its default.
type Settings struct {
	MaxOpen       int     // maximum number of open GETs
	MaxProxyShare float64 // maximum share of MaxOpen that one proxy may use
	// HoldTime is how long, in seconds, a GET waits for its proxy to call again after its forward failed or
	// its stream ended.
	HoldTime float64
}

// These are the defaults of Settings, and of the operator's further settings for proxies.
const (
	DefaultMaxOpen       = 4096
	DefaultMaxProxyShare = 0.5
	DefaultHoldTime      = 1.0
	// DefaultDecisionTimeout is the time in seconds that a decision may take. Decisions take microseconds, so
	// a longer delay means that the machine is overloaded.
	DefaultDecisionTimeout = 0.005
	// AnswerTimeout is the time in seconds for which the router's answer to a GET is waited for whose decision
	// is late. It takes microseconds, so a longer delay means that the shard is stalled.
	AnswerTimeout = 0.025
	// DefaultViewerTimeout is the maximum time in seconds that a client waits if none is configured.
	DefaultViewerTimeout = 1.5
)

// Phase is the state of a GET.
type Phase int

// These are the phases.
const (
	Deciding        Phase = iota // no decision has been sent
	ForwardAssigned              // a forward was assigned to the proxy, whose stream is open
	Held                         // the GET waits for its proxy to call again
	Ended
)

// Call is one GET.
type Call struct {
	ID            ID
	Proxy         uint64
	Phase         Phase
	Deadline      float64                 // seconds; when the client stops waiting
	SendBy        float64                 // seconds; time by which the proxy must have sent the assigned forward
	ForwardNumber int                     // number of the assigned forward
	unresolved    bool                    // whether the outcome of the assigned forward is still unknown
	holdTimer     timerwheel.Timer[*Call] // fires when the hold expires
	ForwardCount  int                     // number of forwards that were assigned
}

// Table holds all open GETs. It is not safe for concurrent use.
type Table struct {
	Settings
	// ids draws IDs that are hard to guess. Otherwise a held GET could be continued by another client's call.
	ids         *rand.ChaCha8
	calls       map[ID]*Call
	openByProxy map[uint64]int
	holds       timerwheel.Wheel[*Call] // held GETs by the time at which their hold expires
}

// New returns an empty table. IDs are derived from the seed.
func New(s Settings, seed [32]byte) *Table {
	if s.MaxOpen == 0 {
		s.MaxOpen = DefaultMaxOpen
	}
	if s.MaxProxyShare == 0 {
		s.MaxProxyShare = DefaultMaxProxyShare
	}
	if s.HoldTime == 0 {
		s.HoldTime = DefaultHoldTime
	}
	return &Table{Settings: s, ids: rand.NewChaCha8(seed), calls: map[ID]*Call{}, openByProxy: map[uint64]int{}}
}

// Len returns the number of open GETs.
func (t *Table) Len() int { return len(t.calls) }

// Begin opens a GET of a proxy with a deadline in seconds. It returns nil if the proxy, or all proxies
// together, have too many open.
func (t *Table) Begin(proxy uint64, deadline float64) *Call {
	if len(t.calls) >= t.MaxOpen || float64(t.openByProxy[proxy]) >= math.Max(1, t.MaxProxyShare*float64(t.MaxOpen)) {
		return nil
	}
	c := &Call{Proxy: proxy, Deadline: deadline}
	for c.ID == 0 || t.calls[c.ID] != nil {
		c.ID = ID(t.ids.Uint64())
	}
	t.calls[c.ID] = c
	t.openByProxy[proxy]++
	return c
}

// AssignForward records that a forward is assigned to the proxy, and sets the time by which it must be sent,
// which is sendBy at the latest.
func (t *Table) AssignForward(now float64, c *Call, number int, sendBy float64) {
	c.Phase, c.ForwardNumber, c.unresolved = ForwardAssigned, number, true
	c.ForwardCount++
	c.SendBy = math.Min(now+SendTimeout, math.Min(c.Deadline, sendBy))
	t.holds.Remove(&c.holdTimer)
}

// Outcome is what is known about the end of a forward.
type Outcome int

// These are the outcomes.
const (
	Unknown    Outcome = iota // the forward is still outstanding, or its outcome was already reported
	Returned                  // the client gets the response
	HostError                 // the host answered with an error
	HostFull                  // the host rejected the forward because it is full
	NotCached                 // the host was only to look in its cache, and has no copy
	StaleCopy                 // the host's copy is older than a purge allows and must not be used
	NotSent                   // the proxy reports that it could not send the forward
	Abandoned                 // the proxy gave up the forward, which may have been executed
	ClientLeft                // nobody waits for the GET any more
)

// Response is what a proxy reports about the response of a host.
type Response struct {
	Status int
	Full   bool    // the host reported that it is full
	Age    float64 // seconds; age of the copy, negative if it was not reported
}

// These are status codes of RFC 9110, section 15. statusError is the lowest one of a server error.
const (
	statusError    = 500
	statusNotFound = 404
)

// HandleResponse handles the headers of a response. maxAge is the age in seconds that a copy may have after
// purges, or 0 for any; cachedOnly tells that the host was only to look in its cache. With a maxAge, a copy of
// unknown age is rejected.
func (t *Table) HandleResponse(now float64, c *Call, r Response, maxAge float64, cachedOnly bool) Outcome {
	if c.Phase != ForwardAssigned || !c.unresolved {
		return Unknown
	}
	c.unresolved = false
	outcome := Returned
	switch {
	case r.Full && r.Status >= statusError:
		outcome = HostFull
	case r.Status >= statusError:
		outcome = HostError
	case r.Status == statusNotFound && cachedOnly:
		outcome = NotCached
	case maxAge > 0 && (r.Age < 0 || r.Age > maxAge):
		outcome = StaleCopy
	}
	if outcome == Returned {
		t.End(c)
	} else {
		t.startHold(now, c)
	}
	return outcome
}

// StreamEnded handles the end of a stream. A GET without a decision ends, with the outcome ClientLeft.
// For a forward that is outstanding the end of the stream shows nothing, and the GET is held until its proxy
// calls again.
func (t *Table) StreamEnded(now float64, c *Call) Outcome {
	switch c.Phase {
	case Deciding:
		t.End(c)
		return ClientLeft
	case ForwardAssigned:
		t.startHold(now, c)
	}
	return Unknown
}

// startHold makes a GET wait for its proxy to call again, at most until its deadline.
func (t *Table) startHold(now float64, c *Call) {
	c.Phase = Held
	t.holds.Put(&c.holdTimer, math.Min(now+t.HoldTime, c.Deadline), c)
}

// Continuation tells what becomes of a further call of a proxy.
type Continuation int

// These are the continuations.
const (
	Continued    Continuation = iota // it continues the GET that it names
	StreamOpen                       // the stream before it has not ended yet: it may continue the GET after that
	BegunAnew                        // it names no GET that waits for it, and is a GET of its own
	NotContinued                     // it must not be executed, as the GET that it names may have been
)

// Continue decides what becomes of a further call of a proxy whose GET is repeatable if a repeat of it is harmless. The
// end of one stream and the begin of the next may arrive in either order, so that a GET whose stream is still open may be
// about to wait for this call. unsent and the other results are those of Resume.
func (t *Table) Continue(now float64, proxy uint64, id ID, unsent, repeatable bool) (*Call, Outcome, Continuation) {
	if c, outcome := t.Resume(now, proxy, id, unsent); c != nil {
		return c, outcome, Continued
	}
	if repeatable {
		return nil, Unknown, BegunAnew
	}
	if c := t.calls[id]; c != nil && c.Proxy == proxy && c.Phase == ForwardAssigned && now < c.Deadline {
		return nil, Unknown, StreamOpen
	}
	return nil, Unknown, NotContinued
}

// Resume handles a further call of a proxy; unsent tells that the proxy could not send the forward. It returns
// the GET that the call continues, and the outcome of the forward that was outstanding. The GET is nil if the
// ID is not that of a GET that is held for this proxy.
func (t *Table) Resume(now float64, proxy uint64, id ID, unsent bool) (*Call, Outcome) {
	c := t.calls[id]
	if c == nil || c.Proxy != proxy || c.Phase != Held || now >= c.Deadline {
		return nil, Unknown
	}
	t.holds.Remove(&c.holdTimer)
	c.Phase = Deciding
	if !c.unresolved {
		return c, Unknown
	}
	if c.unresolved = false; unsent {
		return c, NotSent
	}
	return c, Abandoned
}

// NextExpired ends and returns the next GET whose hold has expired, and returns false if there is none.
func (t *Table) NextExpired(now float64) (*Call, bool) {
	c, ok := t.holds.Pop(now)
	if ok {
		t.End(c)
	}
	return c, ok
}

// End ends a GET and removes it from the table. It does nothing if the GET has already ended.
func (t *Table) End(c *Call) {
	if c.Phase == Ended {
		return
	}
	c.Phase = Ended
	t.holds.Remove(&c.holdTimer)
	delete(t.calls, c.ID)
	if t.openByProxy[c.Proxy]--; t.openByProxy[c.Proxy] == 0 {
		delete(t.openByProxy, c.Proxy)
	}
}
