package dispatcher

import (
	"elderwall/core/routing"
	"elderwall/internal/call"
)

// clientGone reports whether a request's client no longer waits, which may not have been
// handled yet: it may be queued behind a stalled task. Any goroutine may ask.
func (q *request) clientGone() bool { return !q.finishedFlag.Load() && !q.call.Open() }

// commit asks the front of a request that is not over whether an attempt may go out: with a front that may
// answer by itself, either its answer comes first or the attempt. Any goroutine may ask.
func (q *request) commit(repeatable bool) bool {
	front, answersByItself := q.call.(call.Committer)
	return !answersByItself || q.finishedFlag.Load() || front.Commit(repeatable)
}

// withdrawnByClient handles that a client no longer waits from an attempt that was kept back for it; true if
// that attempt has its end by this. Guards against further attempts for a client that has left, each of which
// would be kept back too.
func (d *Dispatcher) withdrawnByClient(now float64, a *attempt) bool {
	if !a.request.clientGone() {
		return false
	}
	d.Options.Counts.GivenUp.Add(1)
	d.handleClientGone(now, a.request)
	return a.returned
}

// withdrawAttempts withdraws what has not gone out of a request that is over. Guards against attempts that
// begin for nobody where hosts can't be told to stop: the module cancels nothing there, and what waits for
// its connection would go out once that is up.
func (d *Dispatcher) withdrawAttempts(q *request) {
	if d.Settings.CanCancel {
		return
	}
	for _, a := range q.attempts {
		if !a.returned && a.withdraw() {
			d.Options.Counts.Recalled.Add(1)
			d.handleReturned(a, routing.AttemptResult{Outcome: routing.Withdrawn})
		}
	}
}
