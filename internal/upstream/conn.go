package upstream

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"elderwall/internal/hostproto"
	"elderwall/internal/syserr"
)

// conn is one connection to a host.
type conn struct {
	host *Host
	wake chan struct{} // tells the writer of a change
	idle atomic.Int64  // a clock.Instant since when nothing is out on it, or busy, or endedIdle
	stop func()        // ends a dial that is under way
	look endLook       // the writer's

	// under the host's lock
	socket    net.Conn            // nil until it is up
	open      map[string]*Forward // by id of the request
	queue     []item
	stopped   map[string]string // ids that were stopped, with the tag of the question behind
	questions int
	closed    bool
	writing   *Forward  // whose request is being written
	doubted   bool      // nothing came between a forward and its stop; no new one goes out until something does
	heard     time.Time // when bytes last came
	used      time.Time // when a forward last went out or ended
	up        time.Time // when it was established; the zero time before that
	hostEnded bool      // the host has ended it, and it is not closed here yet
}

// item is what is to be written: a forward's request, or text.
type item struct {
	forward   *Forward
	text      []byte
	stops     *Forward // that the text stops
	overtaken bool     // by news, or by its time: it is taken back instead
	look      bool     // whether the host has ended the connection, before it is written
}

// guard ends the connection, and it alone, when what runs on it ends or panics; no descriptor of it is open then.
func (c *conn) guard(run func() error) {
	err := errors.New("panic")
	defer func() {
		if broken := recover(); broken != nil {
			c.host.Log.Error().Str("panic", fmt.Sprint(broken)).Bytes("stack", debug.Stack()).Msg("host connection broke")
		}
		c.end(err)
		c.givePlace()
	}()
	err = run()
}

// run connects, then writes until the connection ends; reading has a goroutine of its own.
func (c *conn) run(dialling context.Context) error {
	socket, err := c.host.Dialer.DialContext(dialling, "tcp", c.host.address)
	c.stop()
	if err != nil {
		c.givePlace()
		if syserr.Connecting(err) == syserr.Local {
			err = fmt.Errorf("%w: %w", ErrOwn, err)
		}
		err = fmt.Errorf("connect: %w", err)
		c.tellFailed(err)
		return err
	}
	used, only := c.connected(socket)
	if !used {
		_ = socket.Close()
		return ErrGone
	}
	if only && c.host.Up != nil {
		c.host.Up()
	}
	// The socket alone: what is open is told by what reads it, which the group waits for. Guards against a new forward, and a new goroutine
	// of the group, from one that the group does not know, once its wait is over.
	defer context.AfterFunc(c.host.Context, func() { _ = socket.Close() })()
	c.host.Group.Go(func() error { c.guard(func() error { return c.read(socket) }); return nil })
	return c.write(socket)
}

// connected takes a socket into use that is up; only tells whether none of the host's others is. It is not used where the
// connection was closed meanwhile.
func (c *conn) connected(socket net.Conn) (used, only bool) {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	if c.closed {
		return false, false
	}
	only = !c.host.isUp()
	now := time.Now()
	c.socket, c.used, c.up = socket, now, now
	for _, f := range c.open {
		f.stage = NotWritten
	}
	c.rest() // it may have been begun for no forward
	return true, only
}

func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// tellFailed tells that a connection was not established, unless a forward waits for it, which tells by its result, or it was ended here.
func (c *conn) tellFailed(err error) {
	if c.closeUnused() && c.host.Failed != nil {
		c.host.Failed(err)
	}
}

// closeUnused closes a connection that no forward waits for, before anybody is told that it failed, so that what is sent then does not
// fail with it; false for one that was ended here, or that a forward waits for.
func (c *conn) closeUnused() bool {
	h := c.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.closed || len(c.open) > 0 || h.gone || h.Context.Err() != nil {
		return false
	}
	c.closeLocked()
	return true
}

// write writes what is queued, each whole.
func (c *conn) write(socket net.Conn) error {
	var buf []byte
	for {
		it, ok, closed := c.next()
		if closed {
			return ErrGone
		}
		if !ok {
			<-c.wake
			continue
		}
		var err error
		switch f := it.forward; {
		case f == nil:
			_ = socket.SetWriteDeadline(time.Now().Add(stalled))
			if _, err = socket.Write(it.text); err == nil && it.stops != nil {
				it.stops.stopped()
			}
		case it.overtaken:
			f.Done(Result{Stage: NotWritten, Err: ErrOvertaken})
		case it.look && c.look.ended(socket):
			c.wrote(f, 0, 1, ErrGone)
			return fmt.Errorf("%w by its host", ErrGone)
		default:
			buf, err = c.writeForward(socket, f, buf)
		}
		if err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
}

// writeForward writes a request whole, with the budget that is left when its first byte goes out. While the kernel takes none of it, as the host does
// not read what it has, it is looked again and again whether it may still go out. Guards against a request whose client has left meanwhile, and
// against a budget that is more than its client has left.
func (c *conn) writeForward(socket net.Conn, f *Forward, buf []byte) ([]byte, error) {
	end := time.Now().Add(stalled)
	for {
		buf = f.head(buf[:0])
		enough := len(buf) + len(f.Request.Body)
		parts := net.Buffers{buf, f.Request.Body, []byte(hostproto.LineEnd)}
		_ = socket.SetWriteDeadline(time.Now().Add(firstByteIn))
		n, err := parts.WriteTo(socket)
		blocked := errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(end)
		if blocked && n > 0 {
			_ = socket.SetWriteDeadline(end)
			var more int64
			more, err = parts.WriteTo(socket)
			n += more
		} else if blocked {
			switch c.stillGoesOut(f) {
			case goesOut:
				continue
			case overtaken:
				f.Done(Result{Stage: NotWritten, Err: ErrOvertaken})
			}
			return buf, nil
		}
		if syserr.Open(err) == syserr.Local {
			err = fmt.Errorf("%w: %w", ErrOwn, err)
		}
		c.wrote(f, int(n), enough, err)
		return buf, err
	}
}

// fate is what becomes of a request of which the kernel has taken nothing yet.
type fate int

const (
	goesOut   fate = iota
	overtaken      // by news or by its time: whoever sent it is told
	stopped        // whoever sent it has taken it back
)

func (c *conn) stillGoesOut(f *Forward) fate {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	now := time.Now()
	switch {
	case c.open[f.Request.ID] != f:
		c.writing = nil
		return stopped
	case f.overtaken(now):
		c.writing = nil
		delete(c.open, f.Request.ID)
		c.used = now
		c.rest()
		return overtaken
	}
	f.written = now
	return goesOut
}

// next takes an item off the queue.
func (c *conn) next() (it item, ok, closed bool) {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	i := slices.IndexFunc(c.queue, func(it item) bool { return it.forward == nil || !it.forward.awaitsStop(c) })
	if c.closed || i < 0 {
		return it, false, c.closed
	}
	it = c.queue[i]
	c.queue = slices.Delete(c.queue, i, i+1) // which clears the place behind: the array must not keep the request
	f := it.forward
	if f == nil {
		return it, true, false
	}
	now := time.Now()
	if it.overtaken = f.overtaken(now); it.overtaken {
		delete(c.open, f.Request.ID)
		c.used = now
		c.rest()
		return it, true, false
	}
	c.writing, f.written = f, now
	return it, true, false
}

// head writes the line of its request behind b, with the budget that is left: it may have waited for its connection.
func (f *Forward) head(b []byte) []byte {
	q := f.Request
	if !f.Until.IsZero() {
		q.Budget = max(1, min(q.Budget, f.Until.Sub(f.written).Milliseconds()))
	}
	return q.AppendHead(b)
}

// wrote books how much of a request is written. If the connection was closed meanwhile, its end is told here,
// as only the write knows how far it came. A host could run a request that lacks but the last line end.
func (c *conn) wrote(f *Forward, n, enough int, err error) {
	c.host.mu.Lock()
	c.writing = nil
	switch {
	case n >= enough:
		f.stage = max(f.stage, WrittenWhole)
	case n > 0: // guards against a host that has begun to answer what it has in part: it may have run that
		f.stage = max(f.stage, PartlyWritten)
	}
	late := c.closed && c.open[f.Request.ID] == f
	if late {
		delete(c.open, f.Request.ID)
		c.rest()
	}
	c.host.mu.Unlock()
	if late {
		f.Done(Result{Stage: f.stage, Err: cmp.Or(err, ErrGone)})
	}
}

// read takes answers off the connection until it ends.
func (c *conn) read(socket net.Conn) error {
	r := hostproto.Reader{Room: c.host.Room.Take, Keep: c.host.Proofs}
	defer func() { c.host.Room.Give(r.Held()) }()
	under, looked := 0, false
	for {
		if now := r.Under(); now != under { // the limit runs from the start of each answer
			under, looked = now, false
			_ = socket.SetReadDeadline(map[bool]time.Time{true: time.Now().Add(wholeIn)}[under > 0])
		}
		n, err := socket.Read(r.Space())
		if errors.Is(err, os.ErrDeadlineExceeded) && !looked {
			looked = true
			_ = socket.SetReadDeadline(time.Now().Add(lastLook))
			continue
		}
		if err != nil {
			c.tellLost()
			return fmt.Errorf("read: %w", err)
		}
		c.host.Counts.HostBytesIn.Add(int64(n))
		r.Fed(n)
		c.hear()
		if err := c.answers(&r); err != nil {
			c.host.Log.Warn().Err(err).Str("address", c.host.address).Msg("host connection closed")
			return err
		}
		c.begun(r.Begun())
	}
}

// tellLost tells of the end of the last connection that was up, unless something is out on it, which tells by its result, or the end is our own doing.
func (c *conn) tellLost() {
	if c.host.Lost != nil && c.isLastAndIdle() {
		c.host.Lost()
	}
}

// isLastAndIdle reports whether a connection that its host has ended was the last one, with nothing out on it.
func (c *conn) isLastAndIdle() bool {
	h := c.host
	h.mu.Lock()
	defer h.mu.Unlock()
	c.hostEnded = true // the ends of several connections may cross: the last one to look is the last one
	isOther := func(o *conn) bool { return o.socket != nil && !o.hostEnded }
	return !c.closed && len(c.open) == 0 && !h.gone && h.Context.Err() == nil && !slices.ContainsFunc(h.conns, isOther)
}

// answers passes on all that is whole; an answer to a stopped or unknown id is dropped.
func (c *conn) answers(r *hostproto.Reader) error {
	for {
		a, ok, err := r.Next()
		if !ok || err != nil {
			return err
		}
		f := c.leave(a)
		if f != nil && r.Keep {
			f.Proofs = r.Proofs
		}
		switch {
		case f == nil:
			c.host.Room.Give(len(a.Body))
		case a.Cut:
			f.Done(Result{Stage: AnswerBegun, Err: ErrRoom})
		default:
			f.Done(Result{Stage: Answered, Answer: a})
		}
	}
}

// hear books that bytes came.
func (c *conn) hear() {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	c.heard, c.doubted = time.Now(), false
}

// begun books that the answer to a request has begun.
func (c *conn) begun(id []byte) {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	if f := c.open[string(id)]; f != nil && c.stopped[string(id)] == "" {
		f.stage = AnswerBegun
	}
}

// leave takes the forward that an answer is for off the connection; nil means that it is for none.
func (c *conn) leave(a hostproto.Answer) *Forward {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	id := string(a.ID)
	if a.Word == hostproto.Pong {
		maps.DeleteFunc(c.stopped, func(_, tag string) bool { return tag == id })
		return nil
	}
	if c.stopped[id] != "" {
		return nil
	}
	f := c.open[id]
	delete(c.open, id)
	c.used = time.Now()
	c.rest()
	if f != nil { // the answer proves it, and may come before the write has told
		f.stage = max(f.stage, WrittenWhole)
	}
	return f
}

// end closes the connection and ends what is open on it, each with how far it came.
func (c *conn) end(err error) {
	for _, f := range c.close() {
		f.Done(Result{Stage: f.stage, Err: err})
	}
}

// close takes the connection off its host, and all forwards off the connection but one that is being written.
func (c *conn) close() []*Forward {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	return c.closeLocked()
}

// closeLocked is close under the host's lock.
func (c *conn) closeLocked() (open []*Forward) {
	if c.closed {
		return nil
	}
	c.closed = true
	for id, f := range c.open {
		if f != c.writing {
			open = append(open, f)
			delete(c.open, id)
		}
	}
	queue := c.queue
	c.queue = nil
	if c.socket != nil {
		_ = c.socket.Close()
		c.givePlace()
	}
	for _, it := range queue { // the close gives up all that was out
		if it.stops != nil {
			it.stops.stopped()
		}
	}
	c.stop() // guards against a dial that keeps a descriptor for what needs it no more; its place is given back once that is closed
	c.signal()
	c.host.conns = slices.DeleteFunc(c.host.conns, func(o *conn) bool { return o == c })
	return open
}
