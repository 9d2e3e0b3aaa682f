// Package downstream is the listener and the connections of clients: a thin driver of the client protocol.
package downstream

import (
	"net"
	"net/netip"
	"time"

	"elderwall/core/admission"
	"elderwall/internal/call"
	"elderwall/internal/thrift"
)

const (
	mostOpen  = 32                     // calls; that many may be open on one connection
	mostQueue = 4 * mostOpen           // replies; probes too are answered, and a client may leave that many unread
	stalled   = 5 * time.Second        // a client that has not taken a byte of a reply for so long has gone
	readsLate = time.Second            // for so long past its time a client may read its answer, if that takes longer than stalled
	idle      = 5 * time.Second        // clients close idle connections after 4 s; one that does not is closed then
	wholeIn   = 2 * time.Second        // a message that is not whole by then is no sign any more that its connection is needed; from its start, the first from connecting
	often     = 2                      // uses; a connection with so many is one that its client comes back on
	closing   = -1                     // uses; a connection that is closed already goes before all others
	speaksIn  = 250 * time.Millisecond // within so long of connecting, saying nothing yet is no sign
	spare     = 8                      // connections; one that gives way may hold its place until its goroutines have ended

	fullReads = 4                // reads in a row, each as long as it could be, after which a connection pauses
	readPause = time.Millisecond // in which others have their turn

	acceptAgain = 50 * time.Millisecond // wait after a failed accept: it lacks descriptors, which take time to free
	failsAtOnce = 64                    // accepts in a row that may fail for their own connections with no wait: no more can be, or the process spins
	cutAgain    = 5 * time.Millisecond  // between two looks for a place where all are taken
)

// Handler takes what clients send.
type Handler interface {
	// Process takes a call, which is answered once, now or later.
	Process(c call.Call, get call.GET)
	// GiveUp takes word that a client no longer waits for a call; no answer is owed then.
	GiveUp(c call.Call)
	// Ready tells whether GETs may come.
	Ready() bool
}

// EarlyHandler is a Handler for fronts that may have to answer ahead of a call's deadline.
type EarlyHandler interface {
	Handler
	// AnswerNow has a call answered that its front can't wait for any longer: as shed only if trying again is harmless, else as failed. The answer may
	// come after AnswerNow has returned, and later still where a shard is stalled.
	AnswerNow(c call.Call)
}

// Callers tells who is calling; without one nobody asks, and the service lacks the method identify.
type Callers interface {
	// Connected takes a connection, whose handshake is done, and says what is known of it.
	Connected(remote netip.Addr, socket net.Conn) *admission.Conn
	// Identify takes a token for all GETs of a connection that bring none; a reason tells that it names nobody.
	Identify(c *admission.Conn, token string) (reason string)
	// Standing tells whether a connection may stay.
	Standing(c *admission.Conn) admission.ConnState
}

// Devices tells in which field the class of a client's device stands.
type Devices struct {
	Fields []string          // names, thrift.MostAlso at most; nil for none
	By     map[string]Device // by delivery service
}

// Device is what tells the class in one delivery service.
type Device struct {
	Field   int               // of the names
	Classes map[string]string // each by its own name; others count as none
}

// of is what a message tells of its client's device.
func (d *Devices) of(m thrift.Call) string {
	one := d.By[string(m.Service)]
	return one.Classes[string(m.Also[one.Field])]
}

// secured is a connection with a handshake and one beneath it, as crypto/tls has it.
type secured interface {
	net.Conn
	Handshake() error
	NetConn() net.Conn
}
