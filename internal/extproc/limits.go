package extproc

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	procv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/grpc/tap"

	"elderwall/core/proxycall"
	"elderwall/internal/clock"
)

const (
	// streamWindow is the bytes that a stream may bring before it is read: the fewest that the library takes.
	streamWindow = 64 << 10
	// streamMemory is the bytes that a stream may hold: its longest message, which may come past its window once it has begun.
	streamMemory = longestMessage
	// longestHeadList is the bytes of the head of a stream, in which proxies send a few fields (RFC 9113, section 6.5.2).
	longestHeadList = 8 << 10
	// fullReads is the number of reads in a row, each as long as it could be, after which a connection pauses.
	fullReads = 4
	// readPause is the pause of a connection that brings more than is read, in which others have their turn.
	readPause = time.Millisecond
	// mostPaces is the number of pauses for streams to be served, after which a connection is read all the same.
	mostPaces = 100
)

// errStreams is what a stream ends with that there is no memory for.
var errStreams = status.Error(codes.ResourceExhausted, "too many streams")

// streamLimit holds the streams that are open, and tells those that are evicted.
type streamLimit struct {
	mu      sync.Mutex // guards what follows
	streams proxycall.Streams
	places  map[*proxycall.Stream]*streamPlace
}

// streamPlace is the place of one stream.
type streamPlace struct {
	*proxycall.Stream
	gaveWay chan struct{} // closed when the stream is evicted
}

// placeKey is where the context of a stream has its place.
type placeKey struct{}

// tap takes a place for a stream before anything that it brings is kept. The place is given back when the stream ends.
func (s *Server) tap(ctx context.Context, info *tap.Info) (context.Context, error) {
	if info.FullMethodName != procv3.ExternalProcessor_Process_FullMethodName {
		return ctx, nil
	}
	place := s.limit.begin(s.Clock.Now())
	if place == nil {
		s.Counts.ProxyRefused.Add(1)
		return ctx, errStreams
	}
	context.AfterFunc(ctx, func() { s.limit.end(place) })
	return context.WithValue(ctx, placeKey{}, place), nil
}

// begin takes a place at a time in seconds; nil if there is none.
func (l *streamLimit) begin(now float64) *streamPlace {
	l.mu.Lock()
	defer l.mu.Unlock()
	begun, evicted := l.streams.Begin(now)
	if evicted != nil {
		close(l.places[evicted].gaveWay)
	}
	if begun == nil {
		return nil
	}
	p := &streamPlace{Stream: begun, gaveWay: make(chan struct{})}
	l.places[begun] = p
	return p
}

// serve books that a stream is read.
func (l *streamLimit) serve(p *streamPlace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams.Serve(p.Stream)
}

// hear books that the first message of a stream has come; false if the stream was evicted before.
func (l *streamLimit) hear(p *streamPlace) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.streams.Hear(p.Stream)
}

// end gives a place back.
func (l *streamLimit) end(p *streamPlace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams.End(p.Stream)
	delete(l.places, p.Stream)
}

// awaitServing waits for a while where streams are crowded.
func (l *streamLimit) awaitServing() {
	for range mostPaces {
		l.mu.Lock()
		crowded := l.streams.Crowded()
		l.mu.Unlock()
		if !crowded {
			return
		}
		time.Sleep(readPause)
	}
}

// limitedListener bounds the connections that are open. Where there are too many, the one is closed that has brought nothing for
// longest.
type limitedListener struct {
	net.Listener
	most    int
	onEvict func()
	pace    func() // is called before a read that follows one that was as long as it could be

	mu   sync.Mutex // guards open
	open map[*limitedConn]bool
}

func newLimitedListener(l net.Listener, most int, pace, onEvict func()) *limitedListener {
	return &limitedListener{Listener: l, most: max(1, most), pace: pace, onEvict: onEvict, open: map[*limitedConn]bool{}}
}

// Accept gives the next connection, and closes another one where there are too many.
func (l *limitedListener) Accept() (net.Conn, error) {
	socket, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // the listener's own error
	}
	c := &limitedConn{Conn: socket, listener: l}
	c.heard.Store(int64(clock.InstantNow()))
	if least := l.enter(c); least != nil {
		l.onEvict()
		_ = least.Close()
	}
	return c, nil
}

// enter books a connection, and returns the one that is to be closed for it, nil for none.
func (l *limitedListener) enter(c *limitedConn) (least *limitedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.most {
		for o := range l.open {
			if least == nil || o.heard.Load() < least.heard.Load() {
				least = o
			}
		}
	}
	l.open[c] = true
	return least
}

// limitedConn is a connection that has a place at its listener until it is closed.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	heard    atomic.Int64 // a clock.Instant at which it last brought something
	full     int          // reads in a row that were as long as they could be; of the one goroutine that reads
}

// Read reads what came. A connection that brings more than is read, without end, pauses now and then: the runtime hears of other
// connections only when it has nothing to run, or some time later.
func (c *limitedConn) Read(b []byte) (int, error) {
	if c.full > 0 { // others have their turn also while streams are crowded
		c.listener.pace()
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(int64(clock.InstantNow()))
	}
	if n < len(b) {
		c.full = 0
	} else if c.full++; c.full >= fullReads {
		c.full = 0
		time.Sleep(readPause)
	}
	return n, err //nolint:wrapcheck // the connection's own error
}

// Close ends the connection, and gives its place back.
func (c *limitedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close() //nolint:wrapcheck // the connection's own error
}
