package downstream

import (
	"sync/atomic"
	"time"

	"elderwall/internal/clock"
	"elderwall/internal/thrift"
)

// Call is one open call of a client.
type Call struct {
	conn     *conn
	seq      int32
	deadline time.Time // by which its client wants the whole answer; the zero time where it did not say

	refused bool // its reader answers it at once and no handler gets it; guarded by its connection's lock

	stage atomic.Int32 // handing, handed or abandoned
	mark  atomic.Int32 // its handler's
	until atomic.Int64 // a clock.Instant, 0 where its handler told of none
}

// What a call's stage tells.
const (
	handing   = iota // its handler has not got it yet
	handed           // its handler has it
	abandoned        // nobody waits for it any more, and its handler has not got it yet
)

// Mark keeps a number of its handler's with the call, with the moment by which it must be answered.
func (c *Call) Mark(number int, until time.Time) {
	c.mark.Store(int32(number))
	c.until.Store(int64(clock.InstantOf(until)))
}

// Origin is the number of its connection.
func (c *Call) Origin() uint64 { return c.conn.number }

// Marked is the number that its handler keeps with it.
func (c *Call) Marked() int { return int(c.mark.Load()) }

// Serve answers with the bytes of the part, or, for same, that the client's copy is the one. The room that
// the bytes hold is given back once they are written or the client has gone.
func (c *Call) Serve(body []byte, same bool) {
	c.conn.prove()
	c.reply(thrift.Served(c.seq, body, same))
}

// Refuse answers that trying again is harmless, after so many milliseconds if over 0.
func (c *Call) Refuse(wait int64) {
	c.conn.prove()
	c.reply(thrift.Refused(c.seq, wait))
}

// Fail answers that it failed, for a reason unless that is "".
func (c *Call) Fail(reason string) { c.reply(thrift.Failed(c.seq, reason)) }

// reply queues the answer of a call that is still open. The call is open until its answer is in the queue, so
// that the connection is never quiet between.
func (c *Call) reply(r thrift.Reply) { c.conn.send(r, c) }

// Open tells whether an answer is owed still. Guards against an attempt that begins for a client that has left while the goroutine that reads its
// connection is held up in the handler: the connection itself is asked then.
func (c *Call) Open() bool {
	return c.isOpen() && (!c.conn.handing.Load() || !hungUp(c.conn.raw))
}

func (c *Call) isOpen() bool {
	c.conn.mu.Lock()
	defer c.conn.mu.Unlock()
	return !c.conn.aborted && c.conn.open[c.seq] == c
}
