package downstream

import (
	"net"
	"slices"
	"time"
)

const (
	// A client has closed its side by then after ours was shut: clients whose call crosses a close within 50 ms send it again and close theirs, and
	// the rest is for the way there and back on a crowded machine. A client that does not close holds its place for no longer.
	closeIn     = 250 * time.Millisecond
	lastCloseIn = 150 * time.Millisecond // the same when the process ends, which must be over before it is killed

	lastLook  = time.Millisecond      // for so long the kernel must hold nothing more before writes are shut
	firstLook = 50 * time.Millisecond // the same on a connection that has sent nothing yet
)

// halfCloser is a socket whose writes can be shut alone. A TLS connection tells its client so, but leaves the socket beneath as it is.
type halfCloser interface{ CloseWrite() error }

// The orderly close, in an order that leaves no request that came before it without an answer:
//
//  1. closed is set: calls that are read from now on are refused, not sent on, as their client may send them again.
//  2. The reader goes on until nothing is open or unwritten and the kernel holds nothing more (readEnded).
//  3. The writer writes what is queued and shuts the writes (written).
//  4. What comes after that crosses the end and stays in the kernel: its client sees the end and sends it again. The client's own close is waited
//     for, as a close over unread bytes resets the connection, and takes answers with it that are written but not yet read.

// shut closes the connection in order.
func (c *conn) shut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
}

// shutQuiet shuts the connection unless something is open on it, in one step: no call is handed on between the look and the close.
func (c *conn) shutQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isQuiet() {
		return false
	}
	c.end()
	return true
}

// terminate answers what is open, as its handler is about to end, and shuts the connection.
func (c *conn) terminate() {
	c.server.ending.Store(true) // before the wait for the client's close is bounded by it
	c.rejectAll()
	c.shut()
}

// end is called under the connection's lock.
func (c *conn) end() {
	if c.closed.Swap(true) {
		return
	}
	c.closedAt = time.Now()
	c.hurryReader()
	c.signal()
}

// limitRead sets by when the next read must bring something. It does so under the lock, so that a close that comes meanwhile is not overwritten.
func (c *conn) limitRead(limit time.Time, partial, fresh bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.looks = lastLook
	switch {
	case partial:
		c.looks = closeIn
	case fresh:
		c.looks = firstLook
	}
	if c.closed.Load() {
		limit = time.Time{} // until nothing is open
	}
	_ = c.net.SetReadDeadline(limit)
	c.hurryReader()
}

// hurryReader has the reader look a last time whether the kernel holds something, once the connection is closing and nothing is open or unwritten;
// called under the connection's lock.
func (c *conn) hurryReader() {
	if c.closed.Load() && !c.readEnded && c.isQuiet() {
		_ = c.net.SetReadDeadline(time.Now().Add(c.looks))
	}
}

// stopReading tells whether a read that brought nothing in its time was the last one. A message that is late ends the connection only once nothing is
// open on it: calls that are whole are not lost with one that is not. That is bounded, as each of them has its time and no other comes behind the message.
func (c *conn) stopReading(partial bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isQuiet() {
		return false
	}
	// A read past its limit fails before it looks: on a crowded machine the kernel may hold what came long before.
	if more := partial && c.closed.Load() || unread(c.raw); more && (!c.closed.Load() || time.Since(c.closedAt) < closeIn) {
		return false
	}
	c.endReading()
	return true
}

// stopsUnpaused tells whether reading ends although more may come, which the kernel keeps then. Guards against a client that goes on sending on a
// connection that is closing: it would never end.
func (c *conn) stopsUnpaused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed.Load() || len(c.open) > 0 || time.Since(c.closedAt) < closeIn {
		return false
	}
	c.endReading()
	return true
}

// endReading is called under the connection's lock; nothing more is read from now on. Where nothing is left to be written either, the writes are shut
// here and now. Guards against what comes between the last look and the end: until the writer's turn comes, that may be long on a crowded machine.
func (c *conn) endReading() {
	c.end()
	if c.readEnded {
		return
	}
	c.readEnded = true
	if !c.written && c.isQuiet() && c.net == c.raw { // over TLS an alert is to be written first, which may wait
		c.written = true
		c.shutWrites()
	}
	c.signal()
}

// awaitEnd waits, with nothing more being read, until all that is open is answered and the client has closed. A client that leaves before that is
// waited for no longer.
func (c *conn) awaitEnd(writer interface{ Wait() }) {
	c.mu.Lock()
	c.endReading()
	gone := c.gone || c.aborted
	c.mu.Unlock()
	_ = c.raw.SetReadDeadline(time.Time{})
	if !gone && !awaitHangup(c.raw) {
		writer.Wait()
	}
	c.rejectAll() // before what is queued is written: word of a client that left goes out at once
	writer.Wait()
}

// abort closes the socket at once, whatever is unwritten or unread.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cutOff()
}

// cutOff is called under the connection's lock.
func (c *conn) cutOff() {
	c.closed.Store(true)
	if c.aborted {
		return
	}
	c.aborted = true
	if c.bound != nil {
		c.bound.Stop()
	}
	_ = c.raw.Close()
	c.signal()
	notify(c.drained)
}

// shutWrites tells the client that nothing more comes, and bounds the wait for its own close. A socket that can't be shut by halves is closed. It is
// called under the connection's lock.
func (c *conn) shutWrites() {
	if c.aborted || c.bound != nil {
		return
	}
	socket, ok := c.raw.(halfCloser)
	if !ok {
		c.cutOff()
		return
	}
	_ = socket.CloseWrite()
	wait := closeIn
	if c.server.ending.Load() {
		wait = lastCloseIn
	}
	c.bound = time.AfterFunc(wait, c.abort)
}

// finish ends the connection on the server's side once its writer has ended.
func (c *conn) finish() {
	if over, ok := c.net.(halfCloser); ok && c.net != c.raw {
		_ = over.CloseWrite() // the alert, so that a TLS client does not take the end for a cut
	}
	c.mu.Lock()
	c.shutWrites()
	c.mu.Unlock()
	c.server.leaves(c)
}

// leaves takes a connection off those that may have calls. One that waits for its client to close holds its place for as long as nobody needs it.
func (s *Server) leaves(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.movesOut(c)
}

// movesOut is leaves under the server's lock.
func (s *Server) movesOut(c *conn) {
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
// numbers and do not close theirs: they keep nobody out. One that has answers to write yet is not cut.
func (s *Server) cutShort() bool {
	s.mu.Lock()
	i := slices.IndexFunc(s.leaving, (*conn).waitsForClient)
	if i < 0 {
		s.mu.Unlock()
		return false
	}
	longest := s.leaving[i]
	s.leaving = slices.Delete(s.leaving, i, i+1)
	s.mu.Unlock()
	longest.abort()
	return true
}

// waitsForClient tells whether the connection has its writes shut, and waits for its client's close alone.
func (c *conn) waitsForClient() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bound != nil && !c.aborted
}

var _ halfCloser = (*net.TCPConn)(nil)
