package downstream

import (
	"context"
	"errors"
	"maps"
	"net"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"elderwall/core/admission"
	"elderwall/internal/clock"
	"elderwall/internal/counters"
	"elderwall/internal/memquota"
	"elderwall/internal/syserr"
)

// Server serves clients until its context ends.
type Server struct {
	Handler Handler
	Callers Callers // nil where nobody asks who is calling
	Log     zerolog.Logger
	Counts  *counters.Counters
	Room    *memquota.Room // what long calls and the bodies of answers hold
	Most    int            // connections at a time
	Longest time.Duration  // that a client waits for an answer: a message may take as long to be whole, and wholeIn at least
	Devices Devices        // where the class of a client's device stands; nothing of it is looked for by the zero value

	refusing  atomic.Bool  // what comes now is refused
	ending    atomic.Bool  // connections are told to end with the server
	stopping  atomic.Int64 // a clock.Instant since when only what the kernel holds is accepted; 0 before
	lacksRoom atomic.Bool  // an accept failed for want of what the end of a connection frees, and none has ended since

	mu       sync.Mutex
	listener net.Listener  // nil before it serves
	accepted chan struct{} // closed once nothing more is accepted
	conns    []*conn
	leaving  []*conn // closed, longest first, and waiting for their clients to close
}

// Serve accepts connections until the listener is closed, and returns when all of them have ended. Places never
// wait for clients: where all are taken, a connection that nothing is open on gives way.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	places := make(chan struct{}, s.Most)
	accepted := s.listens(l)
	failed := 0 // accepts in a row that cost no wait
	for ctx.Err() == nil && s.accepts(l) {
		if !s.takePlace(ctx, places) {
			break
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
			if failed++; syserr.OfPeer(err) && failed < failsAtOnce { // that connection alone has failed
				continue
			}
			s.Log.Warn().Err(err).Msg("accept failed")
			s.makeRoom(err)
			time.Sleep(acceptAgain)
			continue
		}
		failed = 0
		s.lacksRoom.Store(false)
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

// takePlace takes a place for a connection. Where all are taken, one that waits for its client's close alone is cut short; else a place is waited
// for, and who connects waits in the kernel. False tells that the server ends.
func (s *Server) takePlace(ctx context.Context, places chan struct{}) bool {
	for {
		select {
		case places <- struct{}{}:
			return true
		default:
		}
		s.cutShort()
		select {
		case places <- struct{}{}:
			return true
		case <-ctx.Done():
			return false
		case <-time.After(cutAgain):
		}
	}
}

var connections atomic.Uint64 // of all servers

// enter books a new connection, and has another one give way where there are too many, or itself if all have
// something open: a connection with a GET under way is no place for who comes later. What has come on it by then is refused.
func (s *Server) enter(socket net.Conn) *conn {
	c := &conn{
		server: s, net: socket, raw: socket, wake: make(chan struct{}, 1), drained: make(chan struct{}, 1),
		open: map[int32]*Call{}, used: time.Now(), looks: firstLook,
	}
	if over, ok := socket.(secured); ok {
		c.raw = over.NetConn()
	}
	c.number = connections.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= max(1, s.Most-min(spare, s.Most/4)) {
		s.Counts.GaveWay.Add(1)
		if !s.giveWay() {
			c.turnAway()
			s.movesOut(c)
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
			s.movesOut(first)
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

// turnAway shuts a new connection that there is no place for. One that would need a handshake first is closed unread.
func (c *conn) turnAway() {
	if c.net != c.raw {
		c.abort()
		return
	}
	c.shut()
}

// serve runs one connection to its end.
func (s *Server) serve(ctx context.Context, c *conn) {
	defer s.left(c)
	defer c.abort()
	defer context.AfterFunc(ctx, c.terminate)()
	if !c.closed.Load() {
		c.guard(c.greet)
	}
	var writer sync.WaitGroup
	writer.Go(func() { c.guard(c.write); c.finish() })
	c.guard(c.read)
	c.awaitEnd(&writer)
	c.drop()
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
		case admission.Draining:
			c.shutQuiet()
		case admission.CloseNow:
			c.failAll(admission.BadCertificate.String())
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
			if until := call.until.Load(); until != 0 && until <= int64(clock.InstantOf(by)) && call.Marked() == mark {
				call.Fail("")
				n++
			}
		}
	}
	return n
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
	}) && !slices.ContainsFunc(s.leaving, func(c *conn) bool { quiet, _, _ := c.standing(); return !quiet })
}
