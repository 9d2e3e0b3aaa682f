package extproc

import (
	"context"
	crypto "crypto/rand"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	procv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"

	"elderwall/core/proxycall"
	"elderwall/internal/certs"
	"elderwall/internal/clock"
	"elderwall/internal/counters"
	"elderwall/internal/downstream"
	"elderwall/internal/memquota"
	"elderwall/internal/syserr"
)

const (
	longestMessage    = 128 << 10             // bytes; longer headers are refused in any case, and bodies come in pieces
	connectionWindow  = 256 << 10             // bytes; that a connection may bring before it is read
	handshakeIn       = 2 * time.Second       // a connection that is not up by then is closed
	speaksIn          = 5.0                   // s; a stream that has not asked for anything by then is closed
	linger            = time.Second           // for so long after its viewer timeout a stream may stay open
	keepaliveEach     = 30 * time.Second      // a proxy that says nothing is asked whether it is there
	keepaliveIn       = 10 * time.Second      // and is gone if it does not answer by then
	stopsIn           = 2 * time.Second       // streams that are open still at the end of a drain have so long
	ahead             = 4                     // messages of a stream that are read before they are done
	holdCheckInterval = 10 * time.Millisecond // how often holds are looked at: an abandoned GET's work ends within 100 ms of that
)

// Options is what the operator's file says.
type Options struct {
	Rules    Rules
	Calls    proxycall.Settings
	Decide   float64 // s; what can't be decided by then gets the operator's choice
	Open     bool    // that choice: the request goes on unrouted, else it is shed
	Metadata bool    // routes are in dynamic metadata too
	Speaks   float64 // s; a stream that has not asked for anything by then is closed; 0 for the default
	Secure   *certs.Listener
}

// Server serves proxies.
type Server struct {
	Options
	Handler downstream.EarlyHandler
	Callers downstream.Callers // nil where nobody asks who is calling
	Log     zerolog.Logger
	Counts  *counters.Counters
	Room    *memquota.Room
	Clock   clock.Clock
	// Repeatable tells whether running a GET of a service again does no harm.
	Repeatable func(service string) bool
	// Connections is how many proxies' connections may be open.
	Connections int

	closing atomic.Bool
	streams atomic.Int64
	limit   streamLimit
	health  *health.Server

	mu    sync.Mutex // guards table and asks; taken under the dispatcher's lock, and held for no call
	table *proxycall.Table
	asks  map[proxycall.ID]*ask

	queueMu sync.Mutex // guards queue
	queue   proxycall.Queue[*ask]
	wake    chan struct{}
}

// Serve serves until the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.prepare()
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(longestMessage), grpc.MaxConcurrentStreams(uint32(min(s.table.MaxOpen, s.limit.streams.MaxPerConnection()))), grpc.InTapHandle(s.tap),
		// windows of a fixed size: the library lets them grow with what comes otherwise
		grpc.StaticStreamWindowSize(streamWindow), grpc.StaticConnWindowSize(connectionWindow),
		grpc.MaxHeaderListSize(longestHeadList), grpc.ForceServerCodecV2(newBoundedCodec()), grpc.ConnectionTimeout(handshakeIn),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveEach, Timeout: keepaliveIn}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveIn, PermitWithoutStream: true}),
	}
	if s.Secure != nil {
		c := s.Secure.Config()
		c.NextProtos = []string{"h2"}
		options = append(options, grpc.Creds(credentials.NewTLS(c)))
	}
	server := grpc.NewServer(options...)
	procv3.RegisterExternalProcessorServer(server, s)
	healthpb.RegisterHealthServer(server, s.health)
	var all sync.WaitGroup
	all.Go(func() { s.handOverQueued(ctx) }) // until the context ends, as the next
	all.Go(func() { s.expireHolds(ctx) })
	all.Go(func() {
		<-ctx.Done()
		stop := time.AfterFunc(stopsIn, server.Stop)
		defer stop.Stop()
		server.GracefulStop()
	})
	err := server.Serve(newLimitedListener(syserr.Listener{Listener: l}, s.Connections, s.limit.awaitServing, func() { s.Counts.GaveWay.Add(1) }))
	all.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("external processor: %w", err)
}

// prepare makes what Serve needs.
func (s *Server) prepare() {
	var seed [32]byte
	_, _ = crypto.Read(seed[:])
	s.table, s.asks = proxycall.New(s.Calls, seed), map[proxycall.ID]*ask{}
	s.limit.streams.Max, s.limit.places = max(1, int(s.Room.Left()/streamMemory)), map[*proxycall.Stream]*streamPlace{}
	s.queue.Capacity, s.wake, s.health = s.table.MaxOpen, make(chan struct{}, 1), health.NewServer()
	s.health.SetServingStatus("", healthpb.HealthCheckResponse_SERVING)
}

// Close has all that comes from now on shed at once, and proxies told so.
func (s *Server) Close() {
	s.closing.Store(true)
	if s.health != nil {
		s.health.SetServingStatus("", healthpb.HealthCheckResponse_NOT_SERVING)
	}
}

// Quiet tells whether no GET is open.
func (s *Server) Quiet() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table == nil || s.table.Len() == 0
}

// Count is how many GETs and streams are open.
func (s *Server) Count() (gets int, streams int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len(), s.streams.Load()
}

// handOverQueued hands queued GETs to the handler, one after the other, so that a burst waits in the queue and not for the handler's lock.
func (s *Server) handOverQueued(ctx context.Context) {
	for {
		s.queueMu.Lock()
		a, ok := s.queue.Next(s.Clock.Now())
		s.queueMu.Unlock()
		if ok {
			s.handOver(a)
			continue
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
	}
}

// handOver hands a GET to the handler, unless its time was over. One that is abandoned meanwhile is given up right after.
func (s *Server) handOver(a *ask) {
	if !a.entered.CompareAndSwap(queued, handing) {
		return
	}
	s.Handler.Process(a.as, a.get)
	a.entered.Store(handed)
	if a.abandoned.Load() {
		s.Handler.GiveUp(a.as)
	}
}

// abandon gives up a GET that no answer of the router is waited for any more.
func (s *Server) abandon(a *ask) {
	a.abandoned.Store(true)
	a.drop()
	if !a.entered.CompareAndSwap(queued, skipped) && a.entered.Load() == handed {
		s.Handler.GiveUp(a.as)
	}
	s.forget(a)
}

// forget ends a GET that has its answer, or that nobody waits for.
func (s *Server) forget(a *ask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.End(a.row)
	delete(s.asks, a.row.ID)
}

// expireHolds gives up GETs whose hold is over.
func (s *Server) expireHolds(ctx context.Context) {
	each := time.NewTicker(holdCheckInterval)
	defer each.Stop()
	for {
		select {
		case <-each.C:
		case <-ctx.Done():
			return
		}
		for _, a := range s.takeExpired() {
			s.Counts.ProxyHeld.Add(1)
			s.Handler.GiveUp(a.as)
		}
	}
}

// takeExpired takes the GETs whose hold is over out of the table.
func (s *Server) takeExpired() (gone []*ask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for row, ok := s.table.NextExpired(now); ok; row, ok = s.table.NextExpired(now) {
		if a := s.asks[row.ID]; a != nil {
			gone = append(gone, a)
			delete(s.asks, row.ID)
		}
	}
	return gone
}
