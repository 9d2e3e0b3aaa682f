package extproc

import (
	"cmp"
	"context"
	crypto "crypto/rand"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	procv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"elderwall/core/admission"
	"elderwall/core/proxycall"
	"elderwall/core/routing"
	"elderwall/internal/certs"
	"elderwall/internal/clock"
	"elderwall/internal/counters"
	"elderwall/internal/downstream"
	"elderwall/internal/memquota"
	"elderwall/internal/syserr"
)

const (
	longestMessage = 256 << 10             // bytes; longer headers are refused in any case, and bodies come in pieces
	speaksIn       = 5.0                   // s; a stream that has not asked for anything by then is closed
	linger         = time.Second           // for so long after its viewer timeout a stream may stay open
	keepaliveEach  = 30 * time.Second      // a proxy that says nothing is asked whether it is there
	keepaliveIn    = 10 * time.Second      // and is gone if it does not answer by then
	stopsIn        = 2 * time.Second       // streams that are open still at the end of a drain have so long
	ahead          = 4                     // messages of a stream that are read before they are done
	passEach       = 10 * time.Millisecond // how often holds are looked at: an abandoned GET's work ends within 100 ms of that
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

	closing atomic.Bool
	streams atomic.Int64
	health  *health.Server

	mu    sync.Mutex // of what follows; taken under the node's lock, and held for no call
	table *proxycall.Table
	asks  map[proxycall.ID]*ask

	lineMu sync.Mutex
	line   proxycall.Queue[*ask]
	wake   chan struct{}
}

// Serve serves until the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	s.begin()
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(longestMessage), grpc.MaxConcurrentStreams(uint32(s.table.MaxOpen)),
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
	all.Go(func() { s.decide(ctx) })
	all.Go(func() { s.pass(ctx) })
	all.Go(func() {
		<-ctx.Done()
		stop := time.AfterFunc(stopsIn, server.Stop)
		defer stop.Stop()
		server.GracefulStop()
	})
	err := server.Serve(syserr.Listener{Listener: l})
	all.Wait()
	if ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("external processor: %w", err)
}

func (s *Server) begin() {
	var seed [32]byte
	_, _ = crypto.Read(seed[:])
	s.table, s.asks = proxycall.New(s.Calls, seed), map[proxycall.ID]*ask{}
	s.line.Capacity, s.wake, s.health = s.table.MaxOpen, make(chan struct{}, 1), health.NewServer()
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

// decide hands GETs to the handler, one after the other: the line is where a burst waits, not the handler's lock.
func (s *Server) decide(ctx context.Context) {
	for {
		s.lineMu.Lock()
		a, ok := s.line.Next(s.Clock.Now())
		s.lineMu.Unlock()
		if ok {
			s.enter(a)
			continue
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
	}
}

// enter hands a GET on, unless its time was over. One whose time ends meanwhile is given up behind.
func (s *Server) enter(a *ask) {
	if !a.entered.CompareAndSwap(inLine, entering) {
		return
	}
	s.Handler.Process(a.as, a.get)
	a.entered.Store(taken)
	if a.abandoned.Load() {
		s.Handler.GiveUp(a.as)
	}
}

// abandon gives up a GET that no answer of the router is waited for any more.
func (s *Server) abandon(a *ask) {
	a.abandoned.Store(true)
	a.drop()
	if !a.entered.CompareAndSwap(inLine, passedBy) && a.entered.Load() == taken {
		s.Handler.GiveUp(a.as)
	}
	s.over(a)
}

// over closes a GET's books.
func (s *Server) over(a *ask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.End(a.row)
	delete(s.asks, a.row.ID)
}

// pass gives up GETs whose hold is over.
func (s *Server) pass(ctx context.Context) {
	each := time.NewTicker(passEach)
	defer each.Stop()
	for {
		select {
		case <-each.C:
		case <-ctx.Done():
			return
		}
		for _, a := range s.passed() {
			s.Counts.ProxyHeld.Add(1)
			s.Handler.GiveUp(a.as)
		}
	}
}

func (s *Server) passed() (gone []*ask) {
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

// stream is one stream of a proxy.
type stream struct {
	*Server
	grpc   procv3.ExternalProcessor_ProcessServer
	proxy  uint64
	conn   *admission.Conn
	ask    *ask // nil before it has asked, and where it went on unrouted
	asked  bool
	told   bool // a response was told
	closes time.Time
}

// Process is one stream: a request, and how it went.
func (s *Server) Process(g procv3.ExternalProcessor_ProcessServer) error {
	s.streams.Add(1)
	defer s.streams.Add(-1)
	st := &stream{Server: s, grpc: g, closes: time.Now().Add(clock.Duration(cmp.Or(s.Speaks, speaksIn)))}
	st.proxy, st.conn = s.identify(g.Context())
	defer st.end()
	messages, failed := make(chan *procv3.ProcessingRequest, ahead), make(chan error, 1)
	go func() {
		for {
			m, err := g.Recv()
			if err != nil {
				failed <- err
				return
			}
			select {
			case messages <- m:
			case <-g.Context().Done(): // all of the line is full, and nobody hears the answers
				failed <- g.Context().Err()
				return
			}
		}
	}()
	for {
		timer := time.NewTimer(time.Until(st.closes))
		select {
		case m := <-messages:
			timer.Stop()
			if err := st.take(m); err != nil {
				return err
			}
		case err := <-failed:
			timer.Stop()
			return st.rest(messages, err)
		case <-timer.C:
			return status.Error(codes.DeadlineExceeded, "nothing came in its time")
		}
	}
}

// rest takes what came before the end of a stream: a response that was told still proves what it does.
func (st *stream) rest(messages <-chan *procv3.ProcessingRequest, end error) error {
	for {
		select {
		case m := <-messages:
			if err := st.take(m); err != nil {
				return err
			}
			continue
		default:
		}
		if errors.Is(end, io.EOF) {
			return nil
		}
		return end
	}
}

// identify tells proxies apart: by certificate where there is one, else by address.
func (s *Server) identify(ctx context.Context) (uint64, *admission.Conn) {
	sum := fnv.New64a()
	conn := &admission.Conn{}
	if p, ok := peer.FromContext(ctx); ok {
		if at, err := netip.ParseAddrPort(p.Addr.String()); err == nil {
			conn.Remote = at.Addr()
			_, _ = sum.Write(at.Addr().AsSlice())
		}
		if secured, ok := p.AuthInfo.(credentials.TLSInfo); ok {
			if conn.Certificate = certs.Facts(secured.State); conn.Certificate != nil {
				_, _ = sum.Write([]byte(conn.Certificate.Issuer + conn.Certificate.Number))
			}
		}
	}
	if s.Callers == nil {
		conn = nil
	}
	return sum.Sum64(), conn
}

// take takes a message.
func (st *stream) take(m *procv3.ProcessingRequest) error {
	if m.ObservabilityMode { // nobody hears what is said
		return nil
	}
	var out *procv3.ProcessingResponse
	var err error
	switch r := m.Request.(type) {
	case *procv3.ProcessingRequest_RequestHeaders:
		if st.asked {
			return status.Error(codes.InvalidArgument, "request headers twice")
		}
		st.asked = true
		out = st.request(r.RequestHeaders)
	case *procv3.ProcessingRequest_ResponseHeaders:
		if !st.asked || st.told {
			return status.Error(codes.InvalidArgument, "response headers before the request's, or twice")
		}
		st.told = true
		out, err = st.response(r.ResponseHeaders)
	default:
		out = passOn(m)
	}
	if err != nil || out == nil {
		return err
	}
	err = st.grpc.Send(out)
	st.Room.Give(len(out.GetImmediateResponse().GetBody())) // whether the proxy gets it or has gone
	return err
}

// request decides on a request.
func (st *stream) request(h *procv3.HttpHeaders) *procv3.ProcessingResponse {
	st.Counts.ProxyCalls.Add(1)
	asked, err := st.Rules.Read(h.GetHeaders())
	switch {
	case errors.Is(err, ErrNoRule): // not ours to decide
		st.Counts.ProxyPassed.Add(1)
		return continueRequest(nil)
	case errors.Is(err, ErrLong):
		st.Counts.Unusable.Add(1)
		return st.Rules.immediate(&final{status: statusTooLong})
	case err != nil:
		st.Counts.Unusable.Add(1)
		return st.Rules.immediate(&final{status: statusBad})
	}
	by := time.Now().Add(clock.Duration(st.Decide))
	switch {
	case asked.Again != 0 && st.again(asked): // it is open, also while the dispatcher drains
		return st.decided(by)
	case st.closing.Load():
		return st.refuse(asked, 1)
	case !st.first(asked):
		return st.refuse(asked, 0)
	}
	return st.decided(by)
}

// refuse answers a request that is not taken, whose client may come again after so many milliseconds if over 0. One that goes on with a GET which is not
// known any more has failed: a forward of that may have run.
func (st *stream) refuse(asked Asked, wait int64) *procv3.ProcessingResponse {
	if asked.Again != 0 {
		st.Counts.Errored.Add(1)
		return st.Rules.immediate(&final{status: statusFailed})
	}
	st.Counts.Shed.Add(1)
	return st.Rules.immediate(&final{status: statusShed, wait: wait})
}

// first puts a new GET in line; false if there is no place for it.
func (st *stream) first(asked Asked) bool {
	st.mu.Lock()
	now := st.Clock.Now()
	row := st.table.Begin(st.proxy, now+asked.Budget)
	if row == nil {
		st.mu.Unlock()
		return false
	}
	a := &ask{row: row, room: st.Room, get: asked.GET, origin: st.proxy, wake: make(chan struct{}, 1)}
	a.get.ID, a.get.Conn = fmt.Sprintf("%016x", uint64(row.ID)), st.conn
	if a.as = a; st.Rules.Routing {
		a.as = routed{a}
	}
	st.asks[row.ID] = a
	st.mu.Unlock()
	st.ask, st.closes = a, time.Now().Add(clock.Duration(asked.Budget)+linger)
	st.lineMu.Lock()
	in := st.line.Put(false, now+st.Decide, a)
	st.lineMu.Unlock()
	if !in {
		a.entered.Store(passedBy)
		st.over(a)
		st.ask = nil
		return false
	}
	select {
	case st.wake <- struct{}{}:
	default:
	}
	return true
}

// again goes on with a GET of this proxy that waits for it; false if there is none.
func (st *stream) again(asked Asked) bool {
	st.mu.Lock()
	row, proof := st.table.Resume(st.Clock.Now(), st.proxy, asked.Again, asked.Unsent)
	a := st.asks[asked.Again]
	st.mu.Unlock()
	if row == nil || a == nil {
		return false
	}
	st.Counts.ProxyAgain.Add(1)
	st.ask, st.closes = a, time.Now().Add(clock.Duration(row.Deadline-st.Clock.Now())+linger)
	if route := a.current(); route != nil && proof != proxycall.Unknown {
		route.End(func(float64) (routing.Outcome, routing.Note, bool) { return outcomes[proof], routing.NoNote, true })
	}
	return true
}

// decided waits for what there is to say of a GET; what does not come in its time is the operator's choice.
func (st *stream) decided(by time.Time) *procv3.ProcessingResponse {
	a := st.ask
	route, f, ok := a.wait(by)
	switch {
	case !ok:
		return st.choice(a)
	case f != nil:
		st.over(a)
		st.ask = nil
		return st.Rules.immediate(f)
	}
	st.mu.Lock()
	st.table.AssignForward(st.Clock.Now(), a.row, route.Number, route.Before)
	sendIn := a.row.SendBy - st.Clock.Now()
	st.mu.Unlock()
	var others []string
	if route.Untagged {
		others = append(others, tagName)
	}
	return st.Rules.sends(st.Rules.routeHeaders(route, a.row.ID, sendIn, time.Now()), st.Metadata, others...)
}

// choice answers a GET that was not decided in its time: what the operator has chosen where that does no harm, else what the router says.
func (st *stream) choice(a *ask) *procv3.ProcessingResponse {
	st.Counts.ProxyLate.Add(1)
	if !a.withdraw() {
		return st.answered(a, st.answerNow(a))
	}
	st.abandon(a)
	st.ask = nil
	if st.Open {
		return continueRequest(nil)
	}
	return st.Rules.immediate(&final{status: statusShed, wait: 1})
}

// answerNow has the router answer a GET; nil if it does not in its time.
func (st *stream) answerNow(a *ask) *final {
	st.Handler.AnswerNow(a.as)
	return a.answer(time.Now().Add(clock.Duration(proxycall.AnswerTimeout)))
}

// answered says the router's answer to a GET; without one, nil, the GET has failed, as a forward of it may have run.
func (st *stream) answered(a *ask, f *final) *procv3.ProcessingResponse {
	if f == nil {
		st.abandon(a)
		f = &final{status: statusFailed}
	}
	return st.last(a, f)
}

// outcomes is what the module is told of a proof.
var outcomes = map[proxycall.Outcome]routing.Outcome{
	proxycall.Returned: routing.Succeeded, proxycall.HostError: routing.HostFailed, proxycall.StaleCopy: routing.UnusableCopy,
	proxycall.HostFull: routing.Rejected, proxycall.NotCached: routing.NotCached, proxycall.NotSent: routing.Unreachable,
	proxycall.Abandoned: routing.ConnectionLost,
}

// notes is what hosts say of a hit or a fill in a header.
var notes = map[string]routing.Note{
	"hit": routing.CacheHit, "filled": routing.Filled, "origin": routing.FilledByOrigin, "joined": routing.FillCoalesced,
	"source-refused": routing.SourceRejected, "source-failed": routing.SourceFailed, "source-lacks": routing.SourceNotCached, "origin-failed": routing.OriginFailed,
}

// response takes how a forward went, and says what the client gets.
func (st *stream) response(h *procv3.HttpHeaders) (*procv3.ProcessingResponse, error) {
	a := st.ask
	if a == nil || a.current() == nil { // it went on unrouted
		return continueResponse(nil), nil
	}
	got, err := st.Rules.response(h.GetHeaders())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if _, f := a.more(); f != nil {
		return st.last(a, f), nil
	}
	route, proofs := a.current(), make(chan proxycall.Outcome, 1)
	route.End(func(oldest float64) (routing.Outcome, routing.Note, bool) {
		st.mu.Lock()
		defer st.mu.Unlock()
		if route.Good != nil && got.reply.Status < statusBad && !route.Good(got.proofs) {
			got.reply.Age, oldest = -1, math.MaxFloat64 // as one that is too old: another is to be asked for
		}
		proof := st.table.HandleResponse(st.Clock.Now(), a.row, got.reply, oldest, route.HeldOnly)
		proofs <- proof
		return outcomes[proof], notes[got.note], proof != proxycall.Unknown
	})
	by := time.Now().Add(clock.Duration(st.Decide))
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	select {
	case proof := <-proofs:
		return st.proven(a, proof, by), nil
	case <-timer.C:
		return st.unjudged(a, proofs), nil
	}
}

// unjudged says what the client gets of a response that was not judged in its time, as the GET is over or the processor is slow: the copy may be too
// old, and its host has run the GET.
func (st *stream) unjudged(a *ask, proofs <-chan proxycall.Outcome) *procv3.ProcessingResponse {
	if _, f := a.more(); f != nil {
		return st.last(a, f)
	}
	st.Counts.ProxyLate.Add(1)
	if a.withdraw() {
		st.abandon(a)
		st.ask = nil
		return st.Rules.immediate(&final{status: statusShed, wait: 1})
	}
	f := st.answerNow(a)
	select {
	case proof := <-proofs: // it was judged meanwhile
		return st.proven(a, proof, time.Now())
	default:
		return st.answered(a, f)
	}
}

// proven says what the client gets of a response: the copy, the answer that the proxy may come again on, or the final one. A shard hands out the proof
// before its router has dealt with it, which is waited for by a time at the latest.
func (st *stream) proven(a *ask, proof proxycall.Outcome, by time.Time) *procv3.ProcessingResponse {
	if proof == proxycall.Returned {
		st.over(a)
		st.ask = nil
		return continueResponse(mutation(nil, st.Rules.Prefix+"again"))
	}
	st.ask = nil // a further call's stream has it from now on, or the hold
	waits, f := a.settled(by)
	switch {
	case f != nil:
		return st.last(a, f)
	case waits && proof != proxycall.StaleCopy:
		return continueResponse(mutation([]pair{{st.Rules.Prefix + "again", fmt.Sprintf("%016x", uint64(a.row.ID))}}))
	case waits: // the copy itself must not go out
		out := st.Rules.immediate(&final{status: map[bool]int{false: statusShed, true: statusFailed}[a.ranOnce()]})
		out.GetImmediateResponse().Headers = mutation([]pair{{st.Rules.Prefix + "again", fmt.Sprintf("%016x", uint64(a.row.ID))}})
		return out
	}
	return st.Rules.immediate(&final{status: statusFailed})
}

func (st *stream) last(a *ask, f *final) *procv3.ProcessingResponse {
	st.over(a)
	st.ask = nil
	return st.Rules.immediate(f)
}

// end takes the end of the stream.
func (st *stream) end() {
	a := st.ask
	if a == nil {
		return
	}
	st.mu.Lock()
	proof := st.table.StreamEnded(st.Clock.Now(), a.row)
	if proof == proxycall.ClientLeft {
		delete(st.asks, a.row.ID)
	}
	st.mu.Unlock()
	if proof == proxycall.ClientLeft {
		st.abandon(a)
	}
}
