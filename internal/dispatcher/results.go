package dispatcher

import (
	"errors"
	"sync/atomic"

	"elderwall/core/routing"
	"elderwall/internal/clock"
	"elderwall/internal/hostproto"
	"elderwall/internal/upstream"
)

// handleReturned ends an attempt; the router gets the result as soon as its current call has returned.
func (d *Dispatcher) handleReturned(f *attempt, a routing.AttemptResult) {
	f.returned, f.ran = true, a.Outcome.MayHaveRun() && !f.unsent
	f.request.outstanding--
	a.RequestID, a.Attempt, a.Elapsed = f.request.id, f.number, d.Clock.Now()-f.sentAt
	a.Final = f.request.finished && !f.request.waiter.HasFollowers() || a.Outcome == routing.Succeeded
	d.pendingResults = append(d.pendingResults, a)
	d.forget(f.request)
}

// handleResult takes the end of an attempt from its connection.
func (d *Dispatcher) handleResult(a *attempt, r upstream.Result) {
	d.callRouter(func(now float64) {
		body := r.Answer.Body
		defer func() { d.Options.Room.Give(len(body)) }()
		if a.returned {
			return
		}
		size := float64(len(body)) / 1e3
		outcome, counter := d.outcome(r, a.request.hostRequest.Tag)
		counter.Add(1)
		if outcome == routing.Withdrawn && d.withdrawnByClient(now, a) {
			return
		}
		if outcome == routing.Succeeded && d.Variants != nil {
			outcome = d.shareVariantAnswer(a, a.Proofs, body)
		} else if outcome == routing.Succeeded {
			d.shareAnswer(a, body)
		}
		if q := a.request; outcome == routing.Succeeded && !q.finished {
			d.Options.Counts.Returned.Add(1)
			same := r.Answer.Word == hostproto.Valid
			if same {
				d.Options.Counts.Unchanged.Add(1)
			}
			q.call.Serve(body, same)
			body = nil // with the room that it holds
			d.finish(q, false)
		}
		result := routing.AttemptResult{Outcome: outcome, Note: r.Answer.Note, FillWait: r.Answer.Waited, SizeKB: size}
		if at := a.ConnectedAt(); r.Stage == upstream.Answered && !at.IsZero() {
			result.ConnectedAt = d.Clock.At(clock.InstantOf(at))
		}
		d.handleReturned(a, result)
	})
}

// outcome names how an attempt ended, never better than what is proven, and its counter. That the client's
// copy, by its tag, is current counts only where the host names that very copy: guards against VALID for a
// request that came with none, which would have its client, and all that share the attempt, go on with a copy
// that nobody vouched for.
func (d *Dispatcher) outcome(r upstream.Result, tag string) (routing.Outcome, *atomic.Int64) {
	c := d.Options.Counts
	switch r.Stage {
	case upstream.NotConnected, upstream.NotWritten:
		if errors.Is(r.Err, upstream.ErrOvertaken) {
			return routing.Withdrawn, &c.Recalled
		}
		if errors.Is(r.Err, upstream.ErrOwn) { // the host had no part in it
			return routing.Rejected, &c.NoPlace
		}
		return routing.Unreachable, &c.Unreached
	case upstream.PartlyWritten: // an incomplete request can't be executed
		return routing.Unreachable, &c.PartlyWritten
	case upstream.WrittenWhole:
		return routing.ConnectionLost, &c.Unanswered
	case upstream.AnswerBegun:
		return routing.ConnectionLost, &c.AnswerCut
	}
	switch r.Answer.Word {
	case hostproto.Hit:
		return routing.Succeeded, &c.Hit
	case hostproto.Valid:
		if tag == "" || r.Answer.Tag != tag {
			return routing.HostFailed, &c.Unnamed
		}
		return routing.Succeeded, &c.Valid
	case hostproto.None:
		return routing.NotCached, &c.None
	case hostproto.Shed:
		return routing.Rejected, &c.Full
	case hostproto.Late:
		return routing.ArrivedLate, &c.Late
	}
	return routing.HostFailed, &c.Fault
}
