// Package front is the listener and the connections of clients: a thin driver of the client protocol.
package front

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"elderwall/internal/call"
	"elderwall/internal/counters"
	"elderwall/internal/room"
	"elderwall/internal/thrift"
	"elderwall/stages/callers"
)

const (
	mostOpen  = 32                     // calls; that many may be open on one connection
	mostQueue = 4 * mostOpen           // replies; probes too are answered, and a client may leave that many unread
	stalled   = 5 * time.Second        // a client that has not taken a whole reply by then has gone
	idle      = 5 * time.Second        // clients close idle connections after 4 s; one that does not is closed then
	wholeIn   = 2 * time.Second        // a message that is not whole by then is no sign any more that its connection is needed; from its start, the first from connecting
	often     = 2                      // uses; a connection with so many is one that its client comes back on
	closing   = -1                     // uses; a connection that is closed already goes before all others
	speaksIn  = 250 * time.Millisecond // within so long of connecting, saying nothing yet is no sign
	spare     = 8                      // connections; one that gives way may hold its place until its goroutines have ended

	acceptAgain = 50 * time.Millisecond // wait after a failed accept: it lacks descriptors, which take time to free
)

// Handler takes what clients send.
type Handler interface {
	// Process takes a call, which is answered once, now or later.
	Process(c call.Call, get call.GET)
	// GiveUp takes word that a client no longer waits for a call; no answer is owed then.
	GiveUp(c call.Call)
	// Ready tells whether GETs may come.
	Ready() bool
}

// Callers tells who is calling; without one nobody asks, and the service lacks the method identify.
type Callers interface {
	// Connected takes a connection, whose handshake is done, and says what is known of it.
	Connected(remote netip.Addr, socket net.Conn) *callers.Conn
	// Identify takes a token for all GETs of a connection that bring none; a reason tells that it names nobody.
	Identify(c *callers.Conn, token string) (reason string)
	// Standing tells whether a connection may stay.
	Standing(c *callers.Conn) callers.Standing
}

// Devices tells in which field the class of a client's device stands.
type Devices struct {
	Fields []string          // names, thrift.MostAlso at most; nil for none
	By     map[string]Device // by delivery service
}

// Device is what tells the class in one delivery service.
type Device struct {
	Field   int               // of the names
	Classes map[string]string // each by its own name; others count as none
}

// of is what a message tells of its client's device.
func (d *Devices) of(m thrift.Call) string {
	one := d.By[string(m.Service)]
	return one.Classes[string(m.Also[one.Field])]
}

// secured is a connection with a handshake and one beneath it, as crypto/tls has it.
type secured interface {
	net.Conn
	Handshake() error
	NetConn() net.Conn
}

// Call is one open call of a client.
type Call struct {
	conn *conn
	seq  int32

	stage atomic.Int32 // handing, handed or abandoned
	mark  atomic.Int32 // its handler's
	until atomic.Int64 // Unix ns, 0 where its handler told of none
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
	c.until.Store(until.UnixNano())
}

// Origin is the number of its connection.
func (c *Call) Origin() uint64 { return c.conn.number }

// Marked is the number that its handler keeps with it.
func (c *Call) Marked() int { return int(c.mark.Load()) }

// Server serves clients until its context ends.
type Server struct {
	Handler Handler
	Callers Callers // nil where nobody asks who is calling
	Log     zerolog.Logger
	Counts  *counters.Counters
	Room    *room.Room    // what long calls and the bodies of answers hold
	Most    int           // connections at a time
	Longest time.Duration // that a client waits for an answer: a message may take as long to be whole, and wholeIn at least
	Devices Devices       // where the class of a client's device stands; nothing of it is looked for by the zero value

	refusing atomic.Bool  // what comes now is refused
	stopping atomic.Int64 // Unix ns since when only what the kernel holds is accepted; 0 before

	mu       sync.Mutex
	listener net.Listener  // nil before it serves
	accepted chan struct{} // closed once nothing more is accepted
	conns    []*conn
	leaving  []*conn // closed, longest first, and waiting for their clients to close
}

type conn struct {
	server *Server
	net    net.Conn
	raw    net.Conn      // beneath net where that is TLS, whose own close waits for the client
	caller *callers.Conn // nil where nobody asks who is calling
	wake   chan struct{} // tells the writer of a change
	number uint64        // by which it is told from all others

	closed  atomic.Bool  // no call is taken any more; set under the lock
	begun   atomic.Int64 // Unix ns at which a message began that is not whole, 0 for none
	gone    bool         // the client has closed, or can't be read from; its reader's own
	mu      sync.Mutex
	open    map[int32]*Call
	queue   []thrift.Reply
	writes  bool        // the writer is at work on a reply
	written bool        // the writer has ended, and what is queued now is dropped
	aborted bool        // the socket is closed
	bound   *time.Timer // of an orderly close; nil before
	uses    int         // what it sent that could be used, counted up to often
	used    time.Time   // when it was accepted, or last sent or was answered something
}

// Serve accepts connections until the listener is closed, and returns when all of them have ended. Places never
// wait for clients: where all are taken, a connection that nothing is open on gives way.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	places := make(chan struct{}, s.Most)
	accepted := s.listens(l)
	for ctx.Err() == nil && s.accepts(l) {
		select {
		case places <- struct{}{}:
		default:
			s.cutShort()
			places <- struct{}{}
		}
		socket, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			break
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // StopAccepting has woken it
			<-places
			continue
		}
		if err != nil {
			<-places
			s.Log.Warn().Err(err).Msg("accept failed")
			s.makeRoom(err)
			time.Sleep(acceptAgain)
			continue
		}
		s.Counts.ClientConnections.Add(1)
		c := s.enter(socket)
		group.Go(func() error {
			defer func() { <-places }()
			s.serve(ctx, c)
			return nil
		})
		runtime.Gosched() // in a burst those accepted before must be read before they are judged
	}
	close(accepted)
	return group.Wait()
}

var connections atomic.Uint64 // of all servers

// enter books a new connection, and has another one give way where there are too many, or itself if all have
// something open: a connection with a GET under way is no place for who comes later.
func (s *Server) enter(socket net.Conn) *conn {
	c := &conn{server: s, net: socket, raw: socket, wake: make(chan struct{}, 1), open: map[int32]*Call{}, used: time.Now()}
	if over, ok := socket.(secured); ok {
		c.raw = over.NetConn()
	}
	c.number = connections.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= max(1, s.Most-min(spare, s.Most/4)) {
		s.Counts.GaveWay.Add(1)
		if !s.giveWay() {
			c.shut()
			s.leaves(c)
			return c
		}
	}
	s.conns = append(s.conns, c)
	return c
}

// giveWay closes the connection that is needed least, if there is one; called under the server's lock. A call may come on it between the choice and
// the close: then it is needed, and another one is chosen.
func (s *Server) giveWay() bool {
	for range len(s.conns) {
		first := s.leastNeeded()
		if first == nil {
			return false
		}
		if first.shutQuiet() {
			s.leaves(first)
			return true
		}
	}
	return false
}

// leastNeeded is a connection with nothing open: one that has sent nothing of use, else one that was used once,
// else any, and of these the one that was unused for longest; those with a message under way come last. Guards against clients that connect in numbers and
// say nothing, or ask once and stay for good: those that ask again and again keep theirs.
func (s *Server) leastNeeded() (least *conn) {
	var uses int
	var used time.Time
	var begun bool
	for _, c := range s.conns {
		quiet, n, u := c.standing()
		if c.closed.Load() {
			n = closing
		} else if n == 0 && time.Since(u) < speaksIn {
			n = often // its first message may be on the way
		}
		partial := c.isWriting()
		if better := n < uses || n == uses && u.Before(used); quiet && (least == nil || begun && !partial || begun == partial && better) {
			least, uses, used, begun = c, n, u, partial
		}
	}
	return least
}

// serve runs one connection to its end.
func (s *Server) serve(ctx context.Context, c *conn) {
	defer s.left(c)
	defer c.abort()
	defer context.AfterFunc(ctx, c.shut)()
	if !c.closed.Load() {
		c.guard(c.greet)
	}
	var writer sync.WaitGroup
	writer.Go(func() { c.guard(c.write); c.shutWrites() })
	c.guard(c.read)
	if !c.finish() {
		s.mu.Lock()
		s.leaves(c)
		s.mu.Unlock()
	}
	for _, call := range c.giveUpAll() { // before what is queued is written: a client that left is told of at once
		c.guard(func() error { s.Handler.GiveUp(call); return nil })
	}
	if !c.gone {
		c.discard()
	}
	writer.Wait()
	c.drop()
}

// greet does the handshake, where there is one, and finds out what tells of the caller.
func (c *conn) greet() error {
	if over, ok := c.net.(secured); ok {
		_ = over.SetDeadline(time.Now().Add(wholeIn))
		if err := over.Handshake(); err != nil {
			c.abort()
			c.server.Counts.Handshakes.Add(1)
			return nil // a port scan or a client with no good certificate; the counter tells how many
		}
		_ = over.SetDeadline(time.Time{})
	}
	if c.server.Callers == nil {
		return nil
	}
	remote, _ := netip.ParseAddrPort(c.raw.RemoteAddr().String())
	caller := c.server.Callers.Connected(remote.Addr().Unmap(), c.net)
	c.mu.Lock()
	c.caller = caller
	c.mu.Unlock()
	return nil
}

// Review closes the connections whose callers may not stay: once nothing is open on one, and when its time is over
// with what is open failed.
func (s *Server) Review() {
	s.mu.Lock()
	all := slices.Clone(s.conns)
	s.mu.Unlock()
	for _, c := range all {
		c.mu.Lock()
		caller := c.caller
		c.mu.Unlock()
		if caller == nil {
			continue
		}
		switch s.Callers.Standing(caller) {
		case callers.Leaving:
			c.shutQuiet()
		case callers.Left:
			c.guard(c.fail)
			c.shutQuiet()
		}
	}
}

// FailOverdue answers what is open with a mark, and was to be answered by a moment, in place of a handler that can't.
func (s *Server) FailOverdue(mark int, by time.Time) (n int) {
	s.mu.Lock()
	all := slices.Clone(s.conns)
	s.mu.Unlock()
	for _, c := range all {
		c.mu.Lock()
		open := slices.Collect(maps.Values(c.open))
		c.mu.Unlock()
		for _, call := range open {
			if until := call.until.Load(); until != 0 && until <= by.UnixNano() && call.Marked() == mark {
				call.Fail("")
				n++
			}
		}
	}
	return n
}

// fail answers all that is open; work for it stops.
func (c *conn) fail() error {
	c.mu.Lock()
	open := slices.Collect(maps.Values(c.open))
	c.mu.Unlock()
	for _, call := range open {
		c.giveUp(call)
		call.Fail(callers.BadCertificate.String())
	}
	return nil
}

// hand gives a call to the handler, unless it was abandoned before. One that is abandoned meanwhile is given up behind: a handler passes over word
// of a call that it has not got, and would go on with it although it is answered.
func (c *conn) hand(open *Call, get call.GET) {
	if open.stage.Load() == abandoned {
		return
	}
	c.server.Handler.Process(open, get)
	if !open.stage.CompareAndSwap(handing, handed) {
		c.server.Handler.GiveUp(open)
	}
}

// giveUp tells the handler that nobody waits for a call any more, or leaves that to hand where the handler has not got the call.
func (c *conn) giveUp(open *Call) {
	if !open.stage.CompareAndSwap(handing, abandoned) {
		c.server.Handler.GiveUp(open)
	}
}

// Close has all calls that come from now on refused at once.
func (s *Server) Close() { s.refusing.Store(true) }

// Quiet tells whether no connection has a call open, half a message read, or a reply unwritten, and none is so new that its first call may be unread.
func (s *Server) Quiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.conns, func(c *conn) bool {
		quiet, uses, used := c.standing()
		return !quiet || !c.closed.Load() && (c.isWriting() || uses == 0 && time.Since(used) < speaksIn)
	})
}

func (c *conn) quiet() bool {
	quiet, _, _ := c.standing()
	return quiet
}

// standing is what speaks for a connection: nothing open or unwritten, how often it was of use, and when last.
func (c *conn) standing() (quiet bool, uses int, used time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isQuiet(), c.uses, c.used
}

// isQuiet is called under the connection's lock.
func (c *conn) isQuiet() bool { return c.written || len(c.open)+len(c.queue) == 0 && !c.writes }

// guard ends the connection, and it alone, when what runs on it panics or fails.
func (c *conn) guard(run func() error) {
	defer func() {
		if broken := recover(); broken != nil {
			c.abort()
			c.server.Log.Error().Str("panic", fmt.Sprint(broken)).Bytes("stack", debug.Stack()).Msg("client connection broke")
		}
	}()
	if err := run(); err != nil {
		c.shut()
		c.server.Log.Warn().Err(err).Stringer("client", c.net.RemoteAddr()).Msg("client connection closed")
	}
}

func (c *conn) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// giveUpAll takes all open calls off a closed connection.
func (c *conn) giveUpAll() (open []*Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	open = slices.Collect(maps.Values(c.open))
	clear(c.open)
	c.signal() // the writer need not wait for them
	return open
}

// drop takes what could not be written off a connection that has ended.
func (c *conn) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.queue {
		c.server.Room.Give(len(r.Body))
	}
	c.queue = nil
}

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

// prove books that a client has sent something of use.
func (c *conn) prove() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses, c.used = min(c.uses+1, often), time.Now()
}

// reply queues the answer of a call that is still open. The call is open until its answer is in the queue, so
// that the connection is never quiet between.
func (c *Call) reply(r thrift.Reply) { c.conn.send(r, c) }

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
