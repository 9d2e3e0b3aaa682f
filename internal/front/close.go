package front

import (
	"io"
	"net"
	"slices"
	"time"
)

const (
	// An orderly close is over by then: clients whose call crosses a close within 50 ms send it again and close theirs, and the rest is for the
	// way there and back on a crowded machine. A client that does not close holds its place for no longer.
	closeIn       = 250 * time.Millisecond
	mostDiscarded = 1 << 20 // bytes after a close that are read for nothing; four of the longest calls, or over 1,000 usual ones
)

// halfCloser is a socket whose writes can be shut alone. A TLS connection tells its client so, but leaves the socket beneath as it is.
type halfCloser interface{ CloseWrite() error }

// shut closes the connection in order: it takes no call from now on, what is queued is written, writes are shut, and what comes is read and discarded
// until the client closes as well. A close over unread bytes would reset the connection, and take answers with it that are written but not yet read.
func (c *conn) shut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
}

// shutQuiet shuts the connection unless something is open on it, in one step: no call is entered between the look and the close.
func (c *conn) shutQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isQuiet() {
		return false
	}
	c.end()
	return true
}

// end is called under the connection's lock. The goroutines of the connection do the rest of the orderly close, and a timer bounds it.
func (c *conn) end() {
	if c.closed.Swap(true) {
		return
	}
	if _, ok := c.raw.(halfCloser); !ok {
		c.cutOff()
		return
	}
	c.bound = time.AfterFunc(closeIn, c.abort)
	c.signal()
}

// finish ends a connection that its reader has done with; true if nothing more is to be waited for, as the client has gone and nothing is unwritten.
func (c *conn) finish() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone && len(c.queue) == 0 && !c.writes {
		c.closed.Store(true)
		c.cutOff()
	}
	c.end()
	return c.aborted
}

// abort closes the socket at once, whatever is unwritten or unread.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed.Store(true)
	c.cutOff()
}

// cutOff is called under the connection's lock.
func (c *conn) cutOff() {
	if c.aborted {
		return
	}
	c.aborted = true
	if c.bound != nil {
		c.bound.Stop()
	}
	_ = c.raw.Close()
	c.signal()
}

// shutWrites tells the client that nothing more comes.
func (c *conn) shutWrites() {
	if over, ok := c.net.(halfCloser); ok && c.net != c.raw {
		_ = over.CloseWrite() // the alert, so that a TLS client does not take the end for a cut
	}
	if socket, ok := c.raw.(halfCloser); ok {
		_ = socket.CloseWrite()
	}
}

// discard reads what comes after the close, until the client has closed. Bytes of TLS are not even deciphered.
func (c *conn) discard() {
	_ = c.raw.SetReadDeadline(time.Time{}) // the bound of the close is its own
	_, _ = io.CopyN(io.Discard, c.raw, mostDiscarded)
}

// leaves takes a connection off those that may have calls. One that waits for its client to close holds its place for as long as nobody needs it;
// called under the server's lock.
func (s *Server) leaves(c *conn) {
	is := func(o *conn) bool { return o == c }
	if s.conns = slices.DeleteFunc(s.conns, is); !slices.Contains(s.leaving, c) {
		s.leaving = append(s.leaving, c)
	}
}

// left forgets a connection.
func (s *Server) left(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	is := func(o *conn) bool { return o == c }
	s.conns, s.leaving = slices.DeleteFunc(s.conns, is), slices.DeleteFunc(s.leaving, is)
}

// cutShort ends the connection that has waited for longest for its client to close, if there is one. Guards against clients that are closed in
// numbers and do not close theirs: they keep nobody out.
func (s *Server) cutShort() bool {
	s.mu.Lock()
	if len(s.leaving) == 0 {
		s.mu.Unlock()
		return false
	}
	longest := s.leaving[0]
	s.leaving = slices.Delete(s.leaving, 0, 1)
	s.mu.Unlock()
	longest.abort()
	return true
}

var _ halfCloser = (*net.TCPConn)(nil)
