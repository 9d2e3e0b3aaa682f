package downstream

import (
	"errors"
	"net"
	"os"
	"time"

	"elderwall/internal/thrift"
)

// outgoing is a message to be written, and by when its client wants it whole; the zero time where that is not known.
type outgoing struct {
	thrift.Reply
	deadline time.Time
}

// send queues a message, of a call if that is open still.
func (c *conn) send(r thrift.Reply, of *Call) {
	c.mu.Lock()
	owed := of == nil || c.open[of.seq] == of
	full := len(c.queue) >= mostQueue
	if owed && !full && !c.written {
		c.queue = append(c.queue, outgoing{Reply: r, deadline: of.wanted()})
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

// wanted is by when a call's client wants the answer; the zero time where there is no call, or it did not say.
func (c *Call) wanted() (deadline time.Time) {
	if c != nil {
		deadline = c.deadline
	}
	return deadline
}

// awaitQueue waits while a client leaves so many answers unread that those of what is open might have no place. Guards against losing answers of one
// that sends faster than it reads: what it sends stays in the kernel meanwhile.
func (c *conn) awaitQueue() {
	for {
		c.mu.Lock()
		waits := len(c.queue) > mostQueue-2*mostOpen && !c.aborted && !c.written
		c.mu.Unlock()
		if !waits {
			return
		}
		<-c.drained
	}
}

// next is the next message to be written; false means that there is none now, and ended that there will be none: nothing is read any more, and all
// that was open is answered or given up.
func (c *conn) next() (r outgoing, ok, ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer notify(c.drained)
	if c.writes = len(c.queue) > 0 && !c.aborted; c.writes {
		r = c.queue[0]
		c.queue[0] = outgoing{} // the array behind the queue must not keep the body
		c.queue = c.queue[1:]
		return r, true, false
	}
	c.written = c.aborted || c.readEnded && len(c.open) == 0
	if !c.written {
		c.hurryReader()
	}
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
			c.server.lookForRoom()
			<-c.wake
			continue
		}
		n, err := c.writeWhole(r)
		c.server.Room.Give(len(r.Body))
		c.server.Counts.ClientBytesOut.Add(n)
		if err != nil {
			c.abort()
			return nil
		}
	}
}

// writeWhole writes a message for as long as its client takes some of it now and then, and can still want it. Guards against a client that reads
// slowly, whose answer is under way, and against one that reads nothing, which would hold its place for good.
func (c *conn) writeWhole(r outgoing) (written int64, err error) {
	parts := net.Buffers{r.Head, r.Body, r.Tail}
	end := time.Now().Add(stalled)
	if late := r.deadline.Add(readsLate); late.After(end) {
		end = late
	}
	_, secure := c.net.(secured) // whose write can't go on after one that was cut off
	for {
		limit := end
		if step := time.Now().Add(stalled); step.Before(end) && !secure {
			limit = step
		}
		_ = c.net.SetWriteDeadline(limit)
		n, err := parts.WriteTo(c.net)
		written += n
		progress := n > 0 && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(end) && !secure
		if err == nil || !progress {
			return written, err
		}
	}
}
