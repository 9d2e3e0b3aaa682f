package call

import (
	"elderwall/core/routing"
	"elderwall/internal/hostproto"
)

// Router is a Call whose forwards are sent by a proxy in front: its front is told where to, and tells how they ended.
type Router interface {
	Call
	// Route names where a forward goes. It is called under the node's lock and must only queue.
	Route(r Route)
	// Withdraw tells that a forward is not waited for any more; its end need not be told. It is true for one that has not been
	// handed to the proxy, and will not be.
	Withdraw(number int) bool
}

// Route is one forward that a proxy sends.
type Route struct {
	Number                int // of the forwards of its GET
	Host, Address         string
	Source, SourceAddress string  // "" where the host is only to look whether it has a copy
	Rank                  int     // by which the copy is kept
	Budget                float64 // s; that the forward has
	MaxAge                float64 // s; 0 for any
	Join, Renew, HeldOnly bool
	Repeatable            bool    // running it again does no harm
	Before                float64 // on the node's clock; its first byte must be out by then
	// Overtaken tells whether there is news that might forbid it, and that is to be heard first, or its time is over; nil for never.
	Overtaken func() bool
	Variant   string // device class whose variant is asked for, "" where none is named
	Untagged  bool   // the client's tag may be of another variant: a host is not to be told of it
	// End tells how it ended. What proves it is asked under the node's lock, with the age in seconds that a copy may have
	// after the purges that are known by then, 0 for any; ok false tells that it has not ended. Once the GET is
	// over nothing is asked; of a forward that was withdrawn a copy alone counts.
	End func(proof func(oldest float64) (outcome routing.Outcome, note routing.Note, ok bool))
	// Good tells whether a copy with such proofs will do for the client; nil where any does. It is asked by proof alone, before a copy counts.
	Good func(p hostproto.Proofs) bool
}
