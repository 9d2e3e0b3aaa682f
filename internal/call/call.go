// Package call is a GET as every front hands it on, and the one answer that is owed for it.
package call

import (
	"time"

	"elderwall/core/admission"
)

// Call is one open call of a client. One answer goes out for it; whatever comes after that is dropped.
type Call interface {
	// Serve answers with the bytes of the part, or, for same, that the client's copy is the one.
	Serve(body []byte, same bool)
	// Refuse answers that trying again is harmless, after so many milliseconds if over 0.
	Refuse(wait int64)
	// Fail answers that it failed, for a reason that the client may know; "" names none.
	Fail(reason string)
	// Open tells whether an answer is owed still: none has gone out, and the client has not left. Any goroutine may ask, and is not held up.
	Open() bool
	// Mark keeps a number of its handler's with the call, with the moment by which it must be answered; Marked gives
	// the number back.
	Mark(number int, until time.Time)
	Marked() int
	// Origin is the number of its connection.
	Origin() uint64
}

// Committer is a Call whose front may answer by itself for as long as nothing of it has been sent. Calls that a proxy sends (Router) are committed by
// the front, when it hands a route to the proxy.
type Committer interface {
	Call
	// Commit asks whether an attempt may go out, just before its first byte. Once it has been true the front answers as the router decides, unless
	// repeatable tells that a repeat does no harm. It is false once the front has answered. Any goroutine may ask, and is not held up.
	Commit(repeatable bool) bool
}

// GET is what a front has read, in strings of its own.
type GET struct {
	Service, ID, Object string
	PartText            string // the part as it came
	Part, Group         int
	Budget              float64 // s; how long the client waits
	Tag                 string  // of the copy that the client holds, "" for none
	Body                []byte
	Device              string // class of the client's device, where the operator names what tells it; "" for none
	Err                 error  // what is wrong with it; the rest can't be used then

	IdempotencyKey string // by which hosts tell a repeat, "" for none

	Token string          // that came with it and names its caller, "" for none
	Conn  *admission.Conn // what is known of its connection; nil where nobody asks who is calling

	tokenFitsKey bool // set by SetTokenOrKey
}

// SetTokenOrKey sets the token to what came in a field that may hold an idempotency key in its place. fitsKey tells that it has the
// form of one.
func (g *GET) SetTokenOrKey(text string, fitsKey bool) { g.Token, g.tokenFitsKey = text, fitsKey }

// TokenFitsKey reports whether the token may be an idempotency key, by its form and by the field that it came in.
func (g *GET) TokenFitsKey() bool { return g.tokenFitsKey }
