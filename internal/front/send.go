package front

import (
	"net"
	"time"

	"elderwall/internal/thrift"
)

// send queues a message, of a call if that is open still; a client that leaves too many unread has its
// connection closed.
func (c *conn) send(r thrift.Reply, of *Call) {
	c.mu.Lock()
	owed := of == nil || c.open[of.seq] == of
	full := len(c.queue) >= mostQueue
	if owed && !full && !c.written && !(of == nil && c.closed.Load()) {
		c.queue = append(c.queue, r)
	} else {
		c.server.Room.Give(len(r.Body))
	}
	if of != nil && owed {
		delete(c.open, of.seq)
		c.used = time.Now()
	}
	c.mu.Unlock()
	if full {
		c.abort()
	}
	c.signal()
}

// next is the next message to be written; false means that there is none now, and ended that there will be none: the connection is closed, and all
// that was open on it is answered or given up.
func (c *conn) next() (r thrift.Reply, ok, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes = len(c.queue) > 0 && !c.aborted; c.writes {
		r = c.queue[0]
		c.queue[0] = thrift.Reply{} // the array behind the queue must not keep the body
		c.queue = c.queue[1:]
		return r, true, false
	}
	c.written = c.aborted || c.closed.Load() && len(c.open) == 0
	return r, false, c.written
}

// write writes the queued messages, each whole; a client sees one that is not whole by the connection's end.
func (c *conn) write() error {
	for {
		r, ok, ended := c.next()
		if ended {
			return nil
		}
		if !ok {
			<-c.wake
			continue
		}
		_ = c.net.SetWriteDeadline(time.Now().Add(stalled))
		parts := net.Buffers{r.Head, r.Body, r.Tail}
		n, err := parts.WriteTo(c.net)
		c.server.Room.Give(len(r.Body))
		c.server.Counts.ClientBytesOut.Add(n)
		if err != nil {
			c.abort()
			return nil
		}
	}
}
