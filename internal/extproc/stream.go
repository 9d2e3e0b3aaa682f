package extproc

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"io"
	"math"
	"net/netip"
	"time"

	procv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"elderwall/core/admission"
	"elderwall/core/proxycall"
	"elderwall/core/routing"
	"elderwall/internal/certs"
	"elderwall/internal/clock"
)

// stream is one stream of a proxy: the headers of a request, then those of the response that the proxy got for it. Its messages are handled by one
// goroutine, that of Process.
type stream struct {
	*Server
	grpc      procv3.ExternalProcessor_ProcessServer
	proxy     uint64          // which proxy it is of
	conn      *admission.Conn // what is known of its connection; nil where nobody asks who is calling
	ask       *ask            // the GET that it is about; nil before the request, once that has its answer, and where it went on unrouted
	asked     bool            // the request headers have come
	responded bool            // the response headers have come
	closes    time.Time       // when it is closed, whatever its proxy does
	place     *streamPlace
}

// Process serves one stream until its proxy ends it, breaks the protocol, or has had its time.
func (s *Server) Process(g procv3.ExternalProcessor_ProcessServer) error {
	place, ok := g.Context().Value(placeKey{}).(*streamPlace)
	if !ok {
		return errStreams
	}
	s.limit.serve(place)
	s.streams.Add(1)
	defer s.streams.Add(-1)
	st := &stream{Server: s, grpc: g, closes: time.Now().Add(clock.Duration(cmp.Or(s.Speaks, speaksIn))), place: place}
	st.proxy, st.conn = s.identify(g.Context())
	defer st.close()
	messages, failed := make(chan *procv3.ProcessingRequest, ahead), make(chan error, 1)
	go receive(g, messages, failed) // ends with the stream's context, at the latest when Process returns
	for {
		timer := time.NewTimer(time.Until(st.closes))
		select {
		case m := <-messages:
			timer.Stop()
			if err := st.handleMessage(m); err != nil {
				return err
			}
		case err := <-failed:
			timer.Stop()
			return st.handleBuffered(messages, err)
		case <-place.gaveWay:
			timer.Stop()
			s.Counts.ProxyRefused.Add(1)
			return errStreams
		case <-timer.C:
			return status.Error(codes.DeadlineExceeded, "nothing came in its time")
		}
	}
}

// receive hands on the messages of a stream until it ends.
func receive(g procv3.ExternalProcessor_ProcessServer, messages chan<- *procv3.ProcessingRequest, failed chan<- error) {
	for {
		m, err := g.Recv()
		if err != nil {
			failed <- err
			return
		}
		select {
		case messages <- m:
		case <-g.Context().Done(): // the buffer is full, and nobody hears the answers
			failed <- g.Context().Err()
			return
		}
	}
}

// handleBuffered handles what came before the end of a stream: a response that was told still proves what it does.
func (st *stream) handleBuffered(messages <-chan *procv3.ProcessingRequest, end error) error {
	for {
		select {
		case m := <-messages:
			if err := st.handleMessage(m); err != nil {
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

// handleMessage handles a message, and sends the answer that it wants.
func (st *stream) handleMessage(m *procv3.ProcessingRequest) error {
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
		if !st.limit.hear(st.place) {
			return errStreams
		}
		out = st.handleRequest(r.RequestHeaders)
	case *procv3.ProcessingRequest_ResponseHeaders:
		if !st.asked || st.responded {
			return status.Error(codes.InvalidArgument, "response headers before the request's, or twice")
		}
		st.responded = true
		out, err = st.handleResponse(r.ResponseHeaders)
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

// handleRequest begins a GET, or goes on with one, and waits for what its proxy is to do.
func (st *stream) handleRequest(h *procv3.HttpHeaders) *procv3.ProcessingResponse {
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
	if asked.Again != 0 {
		switch st.resume(asked) {
		case proxycall.Continued: // it is open, also while the dispatcher drains
			return st.awaitDecision(st.decidedBy())
		case proxycall.BegunAnew:
		default:
			return st.refuseUnknown(asked)
		}
	}
	by := st.decidedBy()
	switch {
	case st.closing.Load():
		return st.refuse(asked, 1)
	case !st.begin(asked):
		return st.refuse(asked, 0)
	}
	return st.awaitDecision(by)
}

// decidedBy is when a decision that begins now is late.
func (st *stream) decidedBy() time.Time { return time.Now().Add(clock.Duration(st.Decide)) }

// refuseUnknown answers a further call that continues no GET and must not begin one.
func (st *stream) refuseUnknown(asked Asked) *procv3.ProcessingResponse {
	st.Counts.ProxyUnknown.Add(1)
	st.Log.Warn().Str("get", idText(asked.Again)).Str("service", asked.Service).Msg("further call continues no GET")
	return st.refuse(asked, 0)
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

// begin puts a new GET in the queue; false if there is no place for it.
func (st *stream) begin(asked Asked) bool {
	st.mu.Lock()
	now := st.Clock.Now()
	row := st.table.Begin(st.proxy, now+asked.Budget)
	if row == nil {
		st.mu.Unlock()
		return false
	}
	a := &ask{row: row, room: st.Room, get: asked.GET, origin: st.proxy, wake: make(chan struct{}, 1)}
	a.get.ID, a.get.Conn = idText(row.ID), st.conn
	if a.as = a; st.Rules.Routing {
		a.as = routed{a}
	}
	st.asks[row.ID] = a
	st.mu.Unlock()
	st.ask, st.closes = a, time.Now().Add(clock.Duration(asked.Budget)+linger)
	st.queueMu.Lock()
	in := st.queue.Put(false, now+st.Decide, a)
	st.queueMu.Unlock()
	if !in {
		a.entered.Store(skipped)
		st.forget(a)
		st.ask = nil
		return false
	}
	select {
	case st.wake <- struct{}{}:
	default:
	}
	return true
}

// resume goes on with a GET of this proxy that waits for it. One whose stream before has not ended yet is waited for, for as long
// as a decision may take: the ends of streams and their successors cross.
func (st *stream) resume(asked Asked) proxycall.Continuation {
	for by := st.decidedBy(); ; {
		how := st.continueGET(asked)
		if how != proxycall.StreamOpen || time.Now().After(by) {
			return how
		}
		time.Sleep(lookAgain)
	}
}

// continueGET is resume without the wait.
func (st *stream) continueGET(asked Asked) proxycall.Continuation {
	repeatable := st.Repeatable(asked.Service)
	st.mu.Lock()
	row, proof, how := st.table.Continue(st.Clock.Now(), st.proxy, asked.Again, asked.Unsent, repeatable)
	a := st.asks[asked.Again]
	st.mu.Unlock()
	if how != proxycall.Continued {
		return how
	}
	st.Counts.ProxyAgain.Add(1)
	st.ask, st.closes = a, time.Now().Add(clock.Duration(row.Deadline-st.Clock.Now())+linger)
	if route := a.current(); route != nil && proof != proxycall.Unknown {
		route.End(func(float64) (routing.Outcome, routing.Note, bool) { return outcomes[proof], routing.NoNote, true })
	}
	return how
}

// awaitDecision waits for the route or the final answer of a GET, by a time at the latest.
func (st *stream) awaitDecision(by time.Time) *procv3.ProcessingResponse {
	a := st.ask
	route, f, ok := a.wait(by)
	switch {
	case !ok:
		return st.answerLate(a)
	case f != nil:
		return st.finish(a, f)
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

// answerLate answers a GET that was not decided in its time: what the operator has chosen where that does no harm, else what the router says.
func (st *stream) answerLate(a *ask) *procv3.ProcessingResponse {
	st.Counts.ProxyLate.Add(1)
	if !a.withdraw() {
		return st.answerWith(a, st.routerAnswer(a))
	}
	st.abandon(a)
	st.ask = nil
	if st.Open {
		return continueRequest(nil)
	}
	return st.Rules.immediate(&final{status: statusShed, wait: 1})
}

// routerAnswer has the router answer a GET; nil if it does not in its time.
func (st *stream) routerAnswer(a *ask) *final {
	st.Handler.AnswerNow(a.as)
	return a.answer(time.Now().Add(clock.Duration(proxycall.AnswerTimeout)))
}

// answerWith says the router's answer to a GET; without one, nil, the GET has failed, as a forward of it may have run.
func (st *stream) answerWith(a *ask, f *final) *procv3.ProcessingResponse {
	if f == nil {
		st.abandon(a)
		f = &final{status: statusFailed}
	}
	return st.finish(a, f)
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

// handleResponse takes how a forward went, and says what the client gets.
func (st *stream) handleResponse(h *procv3.HttpHeaders) (*procv3.ProcessingResponse, error) {
	a := st.ask
	if a == nil || a.current() == nil { // it went on unrouted
		return continueResponse(nil), nil
	}
	got, err := st.Rules.response(h.GetHeaders())
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	if _, f := a.more(); f != nil {
		return st.finish(a, f), nil
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
	by := st.decidedBy()
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	select {
	case proof := <-proofs:
		return st.answerJudged(a, proof, by), nil
	case <-timer.C:
		return st.answerUnjudged(a, proofs), nil
	}
}

// answerUnjudged says what the client gets of a response that was not judged in its time, as the GET is over or the processor is slow: the copy may be too
// old, and its host has run the GET.
func (st *stream) answerUnjudged(a *ask, proofs <-chan proxycall.Outcome) *procv3.ProcessingResponse {
	if _, f := a.more(); f != nil {
		return st.finish(a, f)
	}
	st.Counts.ProxyLate.Add(1)
	if a.withdraw() {
		st.abandon(a)
		st.ask = nil
		return st.Rules.immediate(&final{status: statusShed, wait: 1})
	}
	f := st.routerAnswer(a)
	select {
	case proof := <-proofs: // it was judged meanwhile
		return st.answerJudged(a, proof, time.Now())
	default:
		return st.answerWith(a, f)
	}
}

// answerJudged says what the client gets of a response: the copy, the answer that the proxy may come again on, or the final one. A shard hands out the proof
// before its router has dealt with it, which is waited for by a time at the latest.
func (st *stream) answerJudged(a *ask, proof proxycall.Outcome, by time.Time) *procv3.ProcessingResponse {
	if proof == proxycall.Returned {
		st.forget(a)
		st.ask = nil
		return continueResponse(mutation(nil, st.Rules.Prefix+"again"))
	}
	st.ask = nil // a further call's stream has it from now on, or the hold
	waits, f := a.settled(by)
	switch {
	case f != nil:
		return st.finish(a, f)
	case waits && proof == proxycall.StaleCopy:
		return st.withoutCopy(a)
	case waits:
		return continueResponse(st.again(a))
	}
	return st.Rules.immediate(&final{status: statusFailed})
}

// withoutCopy answers in place of a copy that must not go out, for a proxy that may come again; a client whose proxy does not is promised no more than
// holds.
func (st *stream) withoutCopy(a *ask) *procv3.ProcessingResponse {
	f := &final{status: statusShed}
	if a.ranOnce() {
		f.status = statusFailed
	}
	out := st.Rules.immediate(f)
	out.GetImmediateResponse().Headers = st.again(a)
	return out
}

// again is the header by which a proxy may come again.
func (st *stream) again(a *ask) *procv3.HeaderMutation {
	return mutation([]pair{{st.Rules.Prefix + "again", idText(a.row.ID)}})
}

// finish ends a GET with its final answer.
func (st *stream) finish(a *ask, f *final) *procv3.ProcessingResponse {
	st.forget(a)
	st.ask = nil
	return st.Rules.immediate(f)
}

// close handles the end of the stream.
func (st *stream) close() {
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
