// Package upstream keeps the connections to one cache host: a thin driver of the protocol of cache hosts. It
// tells how far each forward came and decides nothing.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"elderwall/internal/counters"
	"elderwall/internal/lines"
)

// Stage is how far a forward came.
type Stage int

// The stages. Up to PartlyWritten the host can't have run it.
const (
	NotConnected Stage = iota
	NotWritten
	PartlyWritten
	WrittenWhole
	AnswerBegun
	Answered
)

// Result is the end of a forward: an answer, or what broke it off and when.
type Result struct {
	Stage  Stage
	Answer lines.Answer // when answered
	Err    error        // when not
}

// Forward is one request to a host. Done is called once, unless the forward was stopped before.
type Forward struct {
	Request lines.Request
	Done    func(Result)

	conn  *conn
	stage Stage
}

// Options are what all hosts share.
type Options struct {
	Log            zerolog.Logger
	Counts         *counters.Counters
	ConnectTimeout time.Duration // a connection not up by then is none
	IdleClose      time.Duration // hosts close connections that were idle for so long
	Streams        int           // forwards out on one connection
	Connections    int           // to one host
}

// Host is one cache host.
type Host struct {
	*Options
	address string
	group   *errgroup.Group
	ctx     context.Context

	mu    sync.Mutex
	conns []*conn
	gone  bool
}

type conn struct {
	host *Host
	net  net.Conn
	wake chan struct{}

	// under the host's lock
	open    map[string]*Forward // by id of the request
	queue   []item
	stopped []string // ids of late, whose answers may still come
	up      bool
	closed  bool
	doubted bool      // nothing has come since a forward was stopped
	heard   time.Time // when bytes last came
	used    time.Time // when it last had a forward
}

// item is what is to be written: a forward's request, or text.
type item struct {
	forward *Forward
	text    []byte
	at      time.Time
}

// New is a host at an address; its connections live as long as the group and the context.
func New(ctx context.Context, group *errgroup.Group, address string, o *Options) *Host {
	return &Host{Options: o, address: address, group: group, ctx: ctx}
}

var (
	errGone = errors.New("host is gone")
	errFull = errors.New("all connections are full")
)

// Send queues a forward; false means that there is no place for it. It never blocks.
func (h *Host) Send(f *Forward) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone {
		return errGone
	}
	c := h.pick(f.Request.ID)
	if c == nil {
		return errFull
	}
	f.conn = c
	c.open[f.Request.ID] = f
	c.queue = append(c.queue, item{forward: f})
	c.used = time.Now()
	c.signal()
	return nil
}

// pick is the connection with the fewest forwards out, a new one while all have some and there is room.
func (h *Host) pick(id string) (best *conn) {
	for _, c := range h.conns {
		if c.usable(id) && (best == nil || len(c.open) < len(best.open)) {
			best = c
		}
	}
	if (best == nil || len(best.open) > 0) && len(h.conns) < h.Connections {
		best = h.dial()
	}
	return best
}

func (c *conn) usable(id string) bool {
	if c.closed || c.doubted || len(c.open) >= c.host.Streams || c.open[id] != nil {
		return false
	}
	for _, s := range c.stopped {
		if s == id {
			return false
		}
	}
	return true
}

// dial starts a new connection, on which forwards may be queued at once.
func (h *Host) dial() *conn {
	c := &conn{host: h, wake: make(chan struct{}, 1), open: map[string]*Forward{}}
	h.conns = append(h.conns, c)
	h.Counts.HostConnections.Add(1)
	h.group.Go(func() error { c.guard(c.run); return nil })
	return c
}

// guard ends the connection, and it alone, when what runs on it panics.
func (c *conn) guard(run func() error) {
	err := errors.New("panic")
	defer func() {
		if broken := recover(); broken != nil {
			c.host.Log.Error().Str("panic", fmt.Sprint(broken)).Bytes("stack", debug.Stack()).Msg("host connection broke")
		}
		c.end(err)
	}()
	err = run()
}

// run connects, then writes until the connection ends; reading has a goroutine of its own.
func (c *conn) run() error {
	dialer := net.Dialer{Timeout: c.host.ConnectTimeout}
	socket, err := dialer.DialContext(c.host.ctx, "tcp", c.host.address)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	if !c.connected(socket) {
		_ = socket.Close()
		return errGone
	}
	stop := context.AfterFunc(c.host.ctx, func() { c.end(errGone) })
	defer stop()
	c.host.group.Go(func() error { c.guard(c.read); return nil })
	return c.write()
}

func (c *conn) connected(socket net.Conn) bool {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	if c.closed {
		return false
	}
	c.net, c.up, c.heard = socket, true, time.Now()
	for _, f := range c.open {
		f.stage = NotWritten
	}
	return true
}

func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// write writes what is queued, each whole.
func (c *conn) write() error {
	var buf []byte
	for {
		it, ok, closed := c.next()
		if closed {
			return errGone
		}
		if !ok {
			<-c.wake
			continue
		}
		buf = append(buf[:0], it.text...)
		if it.forward != nil {
			buf = it.forward.Request.Append(buf)
		}
		n, err := c.net.Write(buf)
		c.wrote(it.forward, n, err)
		if err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
}

func (c *conn) next() (it item, ok, closed bool) {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	if ok = len(c.queue) > 0 && !c.closed; ok {
		it, c.queue = c.queue[0], c.queue[1:]
	}
	return it, ok, c.closed
}

func (c *conn) wrote(f *Forward, n int, err error) {
	if f == nil {
		return
	}
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	switch {
	case err == nil:
		f.stage = max(f.stage, WrittenWhole)
	case n > 0:
		f.stage = PartlyWritten
	}
}

// read takes answers off the connection until it ends.
func (c *conn) read() error {
	var r lines.Reader
	for {
		n, err := c.net.Read(r.Space())
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		c.host.Counts.HostBytesIn.Add(int64(n))
		r.Fed(n)
		c.hear(r.Begun())
		for {
			a, ok, err := r.Next()
			if err != nil {
				return err
			}
			if !ok {
				break
			}
			if f := c.leave(string(a.ID)); f != nil && a.Word != lines.Pong {
				f.Done(Result{Stage: Answered, Answer: a})
			}
		}
		c.hear(r.Begun())
	}
}

// hear books that bytes came, those of an answer that has begun among them.
func (c *conn) hear(begun []byte) {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	c.heard, c.doubted = time.Now(), false
	if f := c.open[string(begun)]; f != nil {
		f.stage = AnswerBegun
	}
}

// leave takes a forward off the connection; nil means that none of this id is out.
func (c *conn) leave(id string) *Forward {
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	f := c.open[id]
	delete(c.open, id)
	c.used = time.Now()
	return f
}

// Stop gives a forward up; its Done is not called any more unless it is on its way already.
func (f *Forward) Stop() {
	c := f.conn
	if c == nil {
		return
	}
	h := c.host
	h.mu.Lock()
	defer h.mu.Unlock()
	id := f.Request.ID
	if c.open[id] != f {
		return
	}
	delete(c.open, id)
	c.used = time.Now()
	for i, it := range c.queue {
		if it.forward == f {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return
		}
	}
	if c.stopped = append(c.stopped, id); len(c.stopped) > h.Streams {
		c.stopped = c.stopped[1:]
	}
	c.queue = append(c.queue, item{text: lines.AppendStop(nil, id)})
	c.signal()
}

// end closes the connection and ends what is open on it, each with how far it came.
func (c *conn) end(err error) {
	h := c.host
	h.mu.Lock()
	var open []*Forward
	if !c.closed {
		c.closed = true
		for _, f := range c.open {
			open = append(open, f)
		}
		c.open, c.queue = map[string]*Forward{}, nil
		if c.net != nil {
			_ = c.net.Close()
		}
		c.signal()
		for i, o := range h.conns {
			if o == c {
				h.conns = append(h.conns[:i], h.conns[i+1:]...)
				break
			}
		}
	}
	h.mu.Unlock()
	for _, f := range open {
		f.Done(Result{Stage: f.stage, Err: err})
	}
}

// Sweep closes connections that have been idle for most of what the host bears, and those in doubt or of a
// host that is gone with nothing open.
func (h *Host) Sweep(now time.Time) {
	h.mu.Lock()
	var ends []*conn
	for _, c := range h.conns {
		idle := now.Sub(c.used)
		if len(c.open) == 0 && c.up && (h.gone || c.doubted && idle > h.ConnectTimeout || idle > h.IdleClose*3/4) {
			ends = append(ends, c)
		}
	}
	h.mu.Unlock()
	for _, c := range ends {
		c.end(errGone)
	}
}

// Leave takes word that the host is gone: nothing new goes to it, and its connections close when nothing is out.
func (h *Host) Leave() {
	h.mu.Lock()
	h.gone = true
	h.mu.Unlock()
	h.Sweep(time.Now())
}
