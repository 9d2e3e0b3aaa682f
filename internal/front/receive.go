package front

import (
	"errors"
	"fmt"
	"os"
	"time"

	"elderwall/internal/thrift"
)

var (
	errRoom   = errors.New("no memory for a call")
	errClosed = errors.New("the connection is closed")
)

// read takes calls off the connection until it ends; only what the client did wrong is an error.
func (c *conn) read() error {
	var frames thrift.Frames
	held, fresh, since := 0, true, time.Now() // of the message under way, or of the wait for one
	defer func() { c.server.Room.Give(held) }()
	for {
		space := frames.Space()
		c.server.Room.Give(held)
		if held = frames.Held(); !c.server.Room.Take(held) {
			held = 0
			return errRoom
		}
		partial, limit := frames.Partial(), idle
		switch {
		case partial:
			limit = max(wholeIn, c.server.Longest)
		case fresh:
			limit = wholeIn
		}
		_ = c.net.SetReadDeadline(since.Add(limit))
		n, err := c.net.Read(space)
		// A message that is late ends the connection only once nothing is open on it: calls that are whole are not lost with one that is not. That is
		// bounded, as each of them has its time and no other comes behind the message.
		if errors.Is(err, os.ErrDeadlineExceeded) && !c.closed.Load() && !c.quiet() {
			since = time.Now()
			continue
		}
		if err != nil {
			c.gone = !errors.Is(err, os.ErrDeadlineExceeded)
			return nil
		}
		if c.closed.Load() { // its client sees the close
			return nil
		}
		c.server.Counts.ClientBytesIn.Add(int64(n))
		frames.Fed(n)
		whole, err := c.calls(&frames)
		if errors.Is(err, errClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		if fresh = fresh && whole == 0; whole > 0 || !fresh && !partial {
			since = time.Now()
		}
		c.noteBegun(frames.Partial(), since)
	}
}

// noteBegun keeps when the message under way began, if one is.
func (c *conn) noteBegun(partial bool, since time.Time) {
	switch begun := c.begun.Load(); {
	case !partial && begun != 0:
		c.begun.Store(0)
	case partial && begun != since.UnixNano():
		c.begun.Store(since.UnixNano())
	}
}

// isWriting tells whether a message is under way that may soon be whole. Guards against clients that begin a message in numbers and leave it:
// their connections are needed no more than others.
func (c *conn) isWriting() bool {
	begun := c.begun.Load()
	return begun != 0 && time.Since(time.Unix(0, begun)) < wholeIn
}

// calls takes all calls that are whole, and counts them.
func (c *conn) calls(frames *thrift.Frames) (whole int, err error) {
	for ; ; whole++ {
		frame, ok, err := frames.Next()
		if !ok || err != nil {
			return whole, err
		}
		message, err := thrift.Parse(frame, c.server.Devices.Fields...)
		if err != nil {
			return whole, err
		}
		if err := c.take(message); err != nil {
			return whole, err
		}
	}
}

func (c *conn) take(m thrift.Call) error {
	switch m.Method {
	case thrift.Process:
		call := &Call{conn: c, seq: m.Seq}
		if err := c.enter(call); err != nil {
			return err
		}
		if c.server.refusing.Load() {
			call.Refuse(0)
			return nil
		}
		get := read(m, c.caller)
		get.Device = c.server.Devices.of(m)
		c.hand(call, get)
	case thrift.GiveUp:
		if call := c.leave(m.GivenUp); call != nil {
			c.server.Handler.GiveUp(call)
		}
	case thrift.Identify:
		return c.identify(m)
	case thrift.Probe:
		c.prove()
		c.send(thrift.Ready(m.Seq, c.server.Handler.Ready()), nil)
	default:
		c.send(thrift.NoSuchMethod(m.Name, m.Seq), nil)
	}
	return nil
}

// identify takes a token that names the caller of all later GETs without one.
func (c *conn) identify(m thrift.Call) error {
	if c.caller == nil {
		c.send(thrift.NoSuchMethod(m.Name, m.Seq), nil)
		return nil
	}
	reason := c.server.Callers.Identify(c.caller, string(m.Token))
	if reason == "" {
		c.prove()
	}
	c.send(thrift.Identified(m.Seq, reason), nil)
	return nil
}

// enter books a call as open. None is taken on a connection that was closed since its bytes were read: its client sees the close and
// sends it again, so that it must not be sent on here.
func (c *conn) enter(call *Call) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed.Load() {
		return errClosed
	}
	if c.open[call.seq] != nil {
		return fmt.Errorf("call %d is open already", call.seq)
	}
	if len(c.open) >= mostOpen {
		return fmt.Errorf("over %d open calls", mostOpen)
	}
	c.open[call.seq] = call
	return nil
}

// leave takes a call off the connection; nil means that it is not open.
func (c *conn) leave(seq int32) *Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.open[seq]
	delete(c.open, seq)
	return call
}
