package front

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

	"elderwall/internal/call"
	"elderwall/internal/thrift"
	"elderwall/stages/callers"
)

type conn struct {
	server *Server
	net    net.Conn
	raw    net.Conn      // beneath net where that is TLS, whose own close waits for the client
	caller *callers.Conn // nil where nobody asks who is calling
	wake   chan struct{} // tells the writer of a change
	number uint64        // by which it is told from all others

	closed  atomic.Bool  // no call is taken any more; set under the lock
	begun   atomic.Int64 // Unix ns at which a message began that is not whole, 0 for none
	gone    bool         // the client has closed, or can't be read from; its reader's own
	mu      sync.Mutex
	open    map[int32]*Call
	queue   []thrift.Reply
	writes  bool        // the writer is at work on a reply
	written bool        // the writer has ended, and what is queued now is dropped
	aborted bool        // the socket is closed
	bound   *time.Timer // of an orderly close; nil before
	uses    int         // what it sent that could be used, counted up to often
	used    time.Time   // when it was accepted, or last sent or was answered something
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

// fail answers all that is open; work for it stops.
func (c *conn) fail() error {
	c.mu.Lock()
	open := slices.Collect(maps.Values(c.open))
	c.mu.Unlock()
	for _, call := range open {
		c.giveUp(call)
		call.Fail(callers.BadCertificate.String())
	}
	return nil
}

// hand gives a call to the handler, unless it was abandoned before. One that is abandoned meanwhile is given up behind: a handler passes over word
// of a call that it has not got, and would go on with it although it is answered.
func (c *conn) hand(open *Call, get call.GET) {
	if open.stage.Load() == abandoned {
		return
	}
	c.server.Handler.Process(open, get)
	if !open.stage.CompareAndSwap(handing, handed) {
		c.server.Handler.GiveUp(open)
	}
}

// giveUp tells the handler that nobody waits for a call any more, or leaves that to hand where the handler has not got the call.
func (c *conn) giveUp(open *Call) {
	if !open.stage.CompareAndSwap(handing, abandoned) {
		c.server.Handler.GiveUp(open)
	}
}

func (c *conn) quiet() bool {
	quiet, _, _ := c.standing()
	return quiet
}

// standing is what speaks for a connection: nothing open or unwritten, how often it was of use, and when last.
func (c *conn) standing() (quiet bool, uses int, used time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isQuiet(), c.uses, c.used
}

// isQuiet is called under the connection's lock.
func (c *conn) isQuiet() bool { return c.written || len(c.open)+len(c.queue) == 0 && !c.writes }

// guard ends the connection, and it alone, when what runs on it panics or fails.
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

func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// giveUpAll takes all open calls off a closed connection.
func (c *conn) giveUpAll() (open []*Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	open = slices.Collect(maps.Values(c.open))
	clear(c.open)
	c.signal() // the writer need not wait for them
	return open
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
