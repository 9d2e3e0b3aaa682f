package downstream

import (
	"fmt"
	"maps"
	"net"
	"net/netip"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"elderwall/core/admission"
	"elderwall/internal/call"
)

type conn struct {
	server *Server
	net    net.Conn
	raw    net.Conn        // beneath net where that is TLS, whose own close waits for the client
	caller *admission.Conn // nil where nobody asks who is calling
	wake   chan struct{}   // tells the writer of a change
	number uint64          // by which it is told from all others

	drained chan struct{} // tells the reader that the queue is shorter, or that the writer has ended

	closed  atomic.Bool  // no call is sent on any more; set under the lock
	begun   atomic.Int64 // a clock.Instant at which a message began that is not whole, 0 for none
	handing atomic.Bool  // the reader is in the handler, and notices nothing of the client

	mu        sync.Mutex // guards what follows, and the read deadline
	open      map[int32]*Call
	queue     []outgoing
	gone      bool          // the client has shut its side, or can't be read from
	closedAt  time.Time     // when closed was set
	looks     time.Duration // for how long a closing connection is read once nothing is open on it
	readEnded bool          // nothing more is read
	writes    bool          // the writer is at work on a reply
	written   bool          // the writer has ended, and what is queued now is dropped
	aborted   bool          // the socket is closed
	bound     *time.Timer   // of the wait for the client's close; nil before
	uses      int           // what it sent that could be used, counted up to often
	used      time.Time     // when it was accepted, or last sent or was answered something
}

// greet does the handshake, where there is one, and finds out what tells of the caller.
func (c *conn) greet() error {
	if over, ok := c.net.(secured); ok {
		_ = over.SetDeadline(time.Now().Add(wholeIn))
		if err := over.Handshake(); err != nil {
			c.abort()
			c.server.Counts.Handshakes.Add(1)
			return nil // a port scan or a client with no good certificate; the counter tells how many
		}
		_ = over.SetDeadline(time.Time{})
	}
	if c.server.Callers == nil {
		return nil
	}
	remote, _ := netip.ParseAddrPort(c.raw.RemoteAddr().String())
	caller := c.server.Callers.Connected(remote.Addr().Unmap(), c.net)
	c.mu.Lock()
	c.caller = caller
	c.mu.Unlock()
	return nil
}

// failAll answers all that is open that it failed, for a reason unless that is ""; work for it stops. It promises nothing: a forward may have run.
// A call that its reader is about to refuse is left to it: that one has not run, and its client may send it again.
func (c *conn) failAll(reason string) {
	c.mu.Lock()
	open := slices.Collect(maps.Values(c.open))
	open = slices.DeleteFunc(open, func(call *Call) bool { return call.refused })
	c.mu.Unlock()
	for _, call := range open {
		c.giveUp(call)
		call.Fail(reason)
	}
}

// rejectAll fails all that is open on a connection that ends.
func (c *conn) rejectAll() { c.failAll("") }

// hand gives a call to the handler, unless it was abandoned before. One that is abandoned meanwhile is given up behind: a handler passes over word
// of a call that it has not got, and would go on with it although it is answered. One that breaks the handler fails, alone.
func (c *conn) hand(open *Call, get call.GET) {
	if open.stage.Load() == abandoned {
		return
	}
	c.handing.Store(true)
	broke := c.safely(func() { c.server.Handler.Process(open, get) })
	c.handing.Store(false)
	if !open.stage.CompareAndSwap(handing, handed) || broke {
		c.tellGivenUp(open)
	}
	if broke {
		open.Fail("")
	}
}

// giveUp tells the handler that nobody waits for a call any more, or leaves that to hand where the handler has not got the call.
func (c *conn) giveUp(open *Call) {
	if !open.stage.CompareAndSwap(handing, abandoned) {
		c.tellGivenUp(open)
	}
}

func (c *conn) tellGivenUp(open *Call) { c.safely(func() { c.server.Handler.GiveUp(open) }) }

// safely keeps a panic of the handler with the call that it is for.
func (c *conn) safely(what func()) (broke bool) {
	defer func() {
		if broken := recover(); broken != nil {
			broke = true
			c.server.Log.Error().Str("panic", fmt.Sprint(broken)).Bytes("stack", debug.Stack()).Msg("handler broke")
		}
	}()
	what()
	return false
}

// standing is what speaks for a connection: nothing open or unwritten, how often it was of use, and when last.
func (c *conn) standing() (quiet bool, uses int, used time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isQuiet(), c.uses, c.used
}

// isQuiet is called under the connection's lock.
func (c *conn) isQuiet() bool { return c.written || len(c.open)+len(c.queue) == 0 && !c.writes }

// guard ends the connection, and it alone, when what runs on it panics. What the client did wrong ends it once what is open is answered.
func (c *conn) guard(run func() error) {
	defer func() {
		if broken := recover(); broken != nil {
			c.abort()
			c.server.Log.Error().Str("panic", fmt.Sprint(broken)).Bytes("stack", debug.Stack()).Msg("client connection broke")
		}
	}()
	if err := run(); err != nil {
		c.shut()
		c.server.Log.Warn().Err(err).Stringer("client", c.net.RemoteAddr()).Msg("client connection closed")
	}
}

func (c *conn) signal() { notify(c.wake) }

// notify wakes whoever waits on a channel that holds one word, or is about to.
func notify(wakes chan struct{}) {
	select {
	case wakes <- struct{}{}:
	default:
	}
}

// drop takes what could not be written off a connection that has ended.
func (c *conn) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.queue {
		c.server.Room.Give(len(r.Body))
	}
	c.queue = nil
}

// prove books that a client has sent something of use.
func (c *conn) prove() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses, c.used = min(c.uses+1, often), time.Now()
}
