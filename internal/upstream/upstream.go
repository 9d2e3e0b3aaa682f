// Package upstream keeps the connections to cache hosts, each host's by itself: a thin driver of their protocol.
// It tells how far each forward came and decides nothing.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"elderwall/internal/counters"
	"elderwall/internal/hostproto"
	"elderwall/internal/memquota"
)

const (
	wholeIn = 250 * time.Millisecond // hosts write an answer at once when it is whole: what is not in by then stays cut off
	// A read past its limit fails before it looks: guards against a process that got no processor for so long, whose system has the rest.
	lastLook = 10 * time.Millisecond
	stalled  = 5 * time.Second // a host that has not taken a whole request by then has gone

	firstByteIn = 50 * time.Millisecond // for so long the kernel may take nothing of a request before it is looked whether it may still go out
)

// Stage is how far a forward came.
type Stage int

// The stages. Up to PartlyWritten the host has not got the whole request and can't have run it.
const (
	NotConnected Stage = iota
	NotWritten
	PartlyWritten
	WrittenWhole
	AnswerBegun
	Answered
)

// Result is the end of a forward: an answer, or what broke it off and when. Whoever gets it gives back the
// room of the answer's body.
type Result struct {
	Stage  Stage
	Answer hostproto.Answer // when answered
	Err    error            // when not
}

// What breaks a forward off besides the errors of the network.
var (
	ErrGone = errors.New("connection closed")
	ErrFull = errors.New("all connections are full")
	ErrRoom = errors.New("no memory for the answer")
	ErrOwn  = errors.New("no socket of our own")

	ErrOvertaken = errors.New("overtaken by news")
)

// Forward is one request to a host. Done is called at most once, and never by Send or Stop.
type Forward struct {
	Request hostproto.Request
	Done    func(Result)
	Once    bool // it must not run twice: that nothing of it went out is to be proved where it can be
	// Previous is the forward of the same request before this one, nil for none.
	Previous *Forward
	Until    time.Time // its client's time: its first byte goes out before that or not at all; the zero time for none
	// Overtaken is asked before its first byte goes out, for whether there is news that might forbid it; nil for never. It must not block.
	Overtaken func() bool
	Before    time.Time        // the same for as long as hosts know a repeat; the zero time for none
	Alone     bool             // nothing of it goes out before the STOPs of the forwards before it have
	Proofs    hostproto.Proofs // of its answer, once Done is called

	stopping atomic.Bool          // its STOP is queued, and has not gone out
	waits    atomic.Pointer[conn] // on which a later forward of the same request waits for that

	// under the host's lock
	conn    *conn
	stage   Stage
	written time.Time
}

// Options are what all hosts share.
type Options struct {
	Log       zerolog.Logger
	Counts    *counters.Counters
	Room      *memquota.Room
	Dialer    net.Dialer    // with the time after which a connection that is not up is none
	IdleClose time.Duration // hosts close connections that were idle for so long; 0 where that is not told
	Streams   int           // forwards out on one connection
	Proofs    bool          // answers are to bring what tells whether two are the same
	PerHost   atomic.Int64  // connections to one host
	Places    *Places       // connections to all hosts; nil for any number
	Dials     *Dials        // connections begun in a time; nil for any number
	Context   context.Context
	Group     *errgroup.Group
}

// Host is one cache host.
type Host struct {
	*Options
	// Lost is called when the host has ended the last connection that was up while nothing was out on it; nil for nobody.
	// It is set before the first forward, and called under no lock.
	Lost func()
	// Up is called when a connection was established and no other one is up, before anything is written to it; nil for
	// nobody. It is set before the first forward, and called under no lock.
	Up func()
	// Failed is called with the error when a connection that Connect began was not established and no forward waited for it; nil for
	// nobody. It is set before the first forward, and called under no lock.
	Failed  func(err error)
	address string

	first time.Time // before which no connection is begun
	mu    sync.Mutex
	conns []*conn
	gone  bool
}

// New is a host at an address; its connections live in the group until the context ends. The first is not begun before a
// wait is over.
func New(address string, o *Options, wait time.Duration) *Host {
	return &Host{Options: o, address: address, first: time.Now().Add(wait)}
}

// Send queues a forward; an error means that it was not. It never blocks.
func (h *Host) Send(f *Forward) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone {
		return ErrGone
	}
	now := time.Now()
	h.closeIdle(now)
	c := h.pick(f)
	if c == nil {
		return ErrFull
	}
	f.conn = c
	if c.socket != nil {
		f.stage = NotWritten
	}
	c.queue = append(c.queue, item{forward: f, look: f.Once && c.socket != nil && len(c.open) == 0})
	c.open[f.Request.ID] = f
	c.used = now
	c.signal()
	return nil
}

// Connect begins a connection, unless there is one. An error means that none is up or on its way. It never blocks.
func (h *Host) Connect() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone {
		return ErrGone
	}
	now := time.Now()
	h.closeIdle(now)
	if len(h.conns) > 0 {
		return nil
	}
	c := h.dial()
	if c == nil {
		return ErrFull
	}
	c.used = now
	return nil
}

// pick is the connection on which the id was stopped, and no other, as the host must hear of that first; else one
// with nothing out, a new one, or the one with least out: what breaks a connection breaks off all that is out on it. One that
// brought an answer to the request before may bring a second one, which would be taken for this one's: it comes last, and not at
// all for what must not run twice.
func (h *Host) pick(f *Forward) (best *conn) {
	var answered *conn
	id := f.Request.ID
	for _, c := range h.conns {
		free := len(c.open) < h.Streams && c.open[id] == nil && !c.unanswering() && c.idle.Load() != endedIdle
		if c.stopped[id] != "" {
			if free && c.claim() {
				return c
			}
			return nil
		}
		if free && !c.doubted && f.wasOn(c) {
			answered = c
		} else if free && !c.doubted && (best == nil || len(c.open) < len(best.open)) {
			best = c
		}
	}
	if best != nil && len(best.open) == 0 && best.claim() {
		return best
	}
	if len(h.conns) < int(h.PerHost.Load()) {
		if c := h.dial(); c != nil {
			return c
		}
	}
	if best == nil && !f.Once {
		best = answered
	}
	if best != nil && !best.claim() { // it has given way meanwhile
		return nil
	}
	return best
}

// wasOn tells whether the request went out on a connection before.
func (f *Forward) wasOn(c *conn) bool {
	for p := f.Previous; p != nil; p = p.Previous {
		if p.conn == c && p.stage > NotWritten {
			return true
		}
	}
	return false
}

// dial starts a new connection, on which forwards may be queued at once; nil if there is no place for one.
func (h *Host) dial() *conn {
	if h.Dials != nil && (time.Now().Before(h.first) || !h.Dials.begin()) {
		h.Counts.DialsHeld.Add(1)
		return nil
	}
	dialling, stop := context.WithCancel(h.Context)
	c := &conn{host: h, wake: make(chan struct{}, 1), open: map[string]*Forward{}, stopped: map[string]string{}, stop: stop}
	if h.Places != nil {
		givesWay, ok := h.Places.take(c)
		if !ok {
			stop()
			return nil
		}
		if givesWay != nil { // by its own host's lock
			h.Counts.HostGaveWay.Add(1)
			h.Group.Go(func() error { givesWay.end(ErrGone); return nil })
		}
	}
	h.conns = append(h.conns, c)
	h.Counts.HostConnections.Add(1)
	h.Group.Go(func() error { c.guard(func() error { return c.run(dialling) }); return nil })
	return c
}

// Stop gives a forward up: it is taken back, or the host is told, with a question behind. What comes under its
// id before the question is answered is for what was stopped.
func (f *Forward) Stop() {
	c := f.conn
	if c == nil {
		return
	}
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	id := f.Request.ID
	if c.open[id] != f {
		return
	}
	delete(c.open, id)
	c.used = time.Now()
	defer c.rest()
	if c.unqueue(f) {
		return
	}
	c.questions++
	tag := fmt.Sprint("q", c.questions)
	c.stopped[id] = tag
	c.doubted = c.doubted || !c.heard.After(f.written)
	f.stopping.Store(true)
	c.queue = append(c.queue, item{text: hostproto.AppendHello(hostproto.AppendStop(nil, id), tag), stops: f})
	c.signal()
}

// TakeBack takes back a forward of which nothing has gone out; false for any other.
func (f *Forward) TakeBack() bool {
	c := f.conn
	if c == nil {
		return false
	}
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	if c.open[f.Request.ID] != f || !c.unqueue(f) {
		return false
	}
	delete(c.open, f.Request.ID)
	c.used = time.Now()
	c.rest()
	return true
}

// unqueue takes a forward off the queue; false if it is not there any more.
func (c *conn) unqueue(f *Forward) bool {
	i := slices.IndexFunc(c.queue, func(it item) bool { return it.forward == f })
	if i < 0 {
		return false
	}
	c.queue = slices.Delete(c.queue, i, i+1)
	return true
}

// ConnectedAt is when the connection that it went out on was established; the zero time for none.
func (f *Forward) ConnectedAt() time.Time {
	if f.conn == nil {
		return time.Time{}
	}
	f.conn.host.mu.Lock()
	defer f.conn.host.mu.Unlock()
	return f.conn.up
}

// Written tells whether the request was written whole.
func (f *Forward) Written() bool {
	if f.conn == nil {
		return false
	}
	f.conn.host.mu.Lock()
	defer f.conn.host.mu.Unlock()
	return f.stage >= WrittenWhole
}
