package downstream

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"elderwall/internal/clock"
	"elderwall/internal/thrift"
)

var errRoom = errors.New("no memory for a call")

// read takes calls off the connection until it ends; only what the client did wrong is an error. Once the connection is closing it goes on until the
// kernel holds nothing more, so that every request that came before the end is answered.
func (c *conn) read() error {
	var frames thrift.Frames
	held, fresh, since := 0, true, time.Now() // of the message under way, or of the wait for one
	full := 0                                 // reads in a row that were as long as they could be
	defer func() { c.server.Room.Give(held) }()
	for {
		space := frames.Space()
		c.server.Room.Give(held)
		if held = frames.Held(); !c.server.Room.Take(held) {
			held = 0
			return errRoom
		}
		c.awaitQueue()
		partial := frames.Partial()
		c.limitRead(since.Add(c.patience(partial, fresh)), partial, fresh)
		n, err := c.net.Read(space)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if c.stopReading(partial) {
				return nil
			}
			since = time.Now()
			continue
		}
		if n == 0 && err != nil {
			c.lost(err)
			return nil
		}
		c.server.Counts.ClientBytesIn.Add(int64(n))
		frames.Fed(n)
		whole, err := c.calls(&frames)
		if err != nil {
			return err
		}
		full = pauseAfter(full, n == len(space))
		if fresh = fresh && whole == 0; whole > 0 || !fresh && !partial {
			since = time.Now()
		}
		c.noteBegun(frames.Partial(), since)
		if c.stopsUnpaused() {
			return nil
		}
	}
}

// pauseAfter pauses where a connection brings more than is read, without end, and returns how many reads in a row were as
// long as they could be. Guards against one client at full speed that others wait for: the runtime hears of other connections only
// when it has nothing to run, or some time later.
func pauseAfter(full int, isFull bool) int {
	if !isFull {
		return 0
	}
	if full+1 < fullReads {
		return full + 1
	}
	time.Sleep(readPause)
	return 0
}

// patience is for how long the next bytes are waited for.
func (c *conn) patience(partial, fresh bool) time.Duration {
	switch {
	case partial:
		return max(wholeIn, c.server.Longest)
	case fresh:
		return wholeIn
	}
	return idle
}

// lost books that the client has shut its side, or that the connection is broken.
func (c *conn) lost(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone = true; !errors.Is(err, io.EOF) {
		c.cutOff()
	}
}

// noteBegun keeps when the message under way began, if one is.
func (c *conn) noteBegun(partial bool, since time.Time) {
	begun := int64(clock.InstantOf(since))
	if !partial {
		begun = 0
	}
	if c.begun.Load() != begun {
		c.begun.Store(begun)
	}
}

// isWriting tells whether a message is under way that may soon be whole. Guards against clients that begin a message in numbers and leave it:
// their connections are needed no more than others.
func (c *conn) isWriting() bool {
	begun := clock.Instant(c.begun.Load())
	return !begun.IsZero() && begun.Since() < wholeIn
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
		c.awaitQueue()
	}
}

func (c *conn) take(m thrift.Call) error {
	switch m.Method {
	case thrift.Process:
		return c.process(m)
	case thrift.GiveUp:
		if call := c.leave(m.GivenUp); call != nil {
			c.tellGivenUp(call)
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

// process hands a GET to the handler, or refuses it where none is taken any more.
func (c *conn) process(m thrift.Call) error {
	get := read(m, c.caller)
	get.Device = c.server.Devices.of(m)
	call := &Call{conn: c, seq: m.Seq}
	if get.Budget > 0 {
		call.deadline = time.Now().Add(clock.Duration(get.Budget))
	}
	verdict, err := c.enter(call)
	switch {
	case err != nil:
		return err
	case verdict == callOverLimit:
		c.send(thrift.Refused(m.Seq, 0), nil)
	case verdict == callTooLate:
		call.Refuse(0)
	default:
		c.hand(call, get)
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

// callAdmission is what becomes of a call that was read.
type callAdmission int

const (
	callAdmitted  callAdmission = iota
	callTooLate                 // the connection or the server is closing: it is answered, and not sent on, as its client may send it again
	callOverLimit               // as many calls as may be open are
)

// enter books a call as open, unless there are too many. A number that is open already can't be answered apart from the call that has it: an error.
func (c *conn) enter(call *Call) (callAdmission, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[call.seq] != nil {
		return callAdmitted, fmt.Errorf("call %d is open already", call.seq)
	}
	if len(c.open) >= mostOpen {
		return callOverLimit, nil
	}
	c.open[call.seq] = call
	if call.refused = c.closed.Load() || c.server.refusing.Load(); call.refused {
		return callTooLate, nil
	}
	return callAdmitted, nil
}

// leave takes a call off the connection; nil means that it is not open.
func (c *conn) leave(seq int32) *Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	call := c.open[seq]
	delete(c.open, seq)
	return call
}
