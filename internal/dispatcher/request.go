package dispatcher

import (
	"slices"
	"sync/atomic"

	"elderwall/core/admission"
	"elderwall/core/coalescing"
	"elderwall/core/routing"
	"elderwall/core/timerwheel"
	"elderwall/internal/call"
	"elderwall/internal/hostproto"
	"elderwall/internal/upstream"
)

// request is one open request: the client's call, and what the router and hosts are asked with. It is guarded
// by the dispatcher's mu, but for finishedFlag.
type request struct {
	id           uint32
	call         call.Call
	ticket       admission.Ticket  // of a request that admission passed
	hostRequest  hostproto.Request // as far as all its attempts share it
	receivedAt   float64           // when it came
	deadline     float64           // the viewer timeout
	expiry       *timerwheel.Timer[*request]
	attempts     []*attempt
	outstanding  int
	finished     bool                         // answered, or given up by the client
	finishedFlag atomic.Bool                  // the same, for those who don't hold the dispatcher's lock
	routed       routing.Request              // as the router gets it; kept for a follower that may become the leader
	waiter       *coalescing.Waiter[*request] // nil for one that is alone
	variant      Variant                      // that it is sent for, where variants are declared
}

// attempt is one attempt of a request at a host. It is guarded by the dispatcher's mu.
type attempt struct {
	upstream.Forward
	request  *request
	host     *host // that it goes to
	source   *host // that a miss is filled from; the same for none
	number   int
	sentAt   float64
	returned bool
	unsent   bool        // it was taken back, and nothing of it has gone out
	ran      bool        // it has returned, and may have been executed
	proxy    call.Router // whose proxy sends it; nil where it goes out here

	evidence Evidence // of its answer, where variants are declared
}

// cancel ends the wait for the attempt's answer.
func (a *attempt) cancel() {
	if !a.withdraw() && a.proxy == nil {
		a.Stop()
	}
}

// withdraw takes the attempt back; false if something of it was sent.
func (a *attempt) withdraw() bool {
	if a.proxy != nil {
		a.unsent = a.proxy.Withdraw(a.number)
	} else {
		a.unsent = a.TakeBack()
	}
	return a.unsent
}

// mayHaveRun reports whether an attempt that has returned may have been executed.
func mayHaveRun(a *attempt) bool { return a.ran }

// written reports whether a host may have got an attempt completely.
func written(a *attempt) bool { return a.proxy != nil || a.Written() }

// finish ends a request at the client's side, and settles it with admission.
func (d *Dispatcher) finish(q *request, shed bool) {
	q.finished = true
	q.finishedFlag.Store(true)
	delete(d.byCall, q.call)
	if d.Admission != nil {
		d.Admission.End(q.ticket, slices.ContainsFunc(q.attempts, written), shed)
	}
	d.forget(q)
}

// forget lets a request go once it is over and its last attempt is back. Guards against one that is let go
// twice, by its last attempt and again by whoever ended it: shards would count one request too few as open,
// and free an id that may be another's by then.
func (d *Dispatcher) forget(q *request) {
	if !q.finished || q.waiter.HasFollowers() || d.requests[q.id] != q {
		return
	}
	if q.outstanding > 0 {
		d.withdrawAttempts(q)
		return
	}
	delete(d.requests, q.id)
	d.releaseShared()
	d.releaseID(q)
	d.expiries.Remove(q.expiry)
	d.Options.Room.Give(len(q.hostRequest.Body))
}

// countUnsent counts a request that is given up after half its time with no attempt written completely, which
// is charged for.
func (d *Dispatcher) countUnsent(q *request) {
	if 2*d.Clock.Now() > q.receivedAt+q.deadline && !slices.ContainsFunc(q.attempts, written) {
		d.Options.Counts.Unsent.Add(1)
	}
}

// GiveUp handles that a client no longer waits.
func (d *Dispatcher) GiveUp(c call.Call) {
	d.callRouter(func(now float64) {
		if q := d.byCall[c]; q != nil {
			d.Options.Counts.GivenUp.Add(1)
			d.handleClientGone(now, q)
		}
	})
}

// AnswerNow answers a call whose front can't wait any longer, as the router decides.
func (d *Dispatcher) AnswerNow(c call.Call) {
	d.callRouter(func(now float64) {
		q := d.byCall[c]
		if q != nil && !d.router.GiveUp(now, q.id) {
			actions{d}.Shed(q.id, 0) // it waits for another's attempt, as only an idempotent request does
		}
	})
}

// idempotency is what happens if a request runs more than once.
func (d *Dispatcher) idempotency(q *request) routing.Idempotency {
	return d.Settings.Settings.Services[q.routed.Service].IdempotencyOf(q.routed)
}

// repeatable reports whether running a request again does no harm.
func (d *Dispatcher) repeatable(q *request) bool { return d.idempotency(q) == routing.Idempotent }

// expire ends all of a request at its viewer timeout. The router has answered it before, unless it broke.
func (d *Dispatcher) expire(q *request) {
	for _, a := range q.attempts {
		if !a.returned {
			a.cancel()
			d.Options.Counts.Expired.Add(1)
			d.handleReturned(a, routing.AttemptResult{Outcome: routing.TimedOut})
		}
	}
	if !q.finished {
		actions{d}.Fail(q.id)
	}
}
