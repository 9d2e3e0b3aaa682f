package routing

import "math"

// retryQueue holds the requests that wait for another attempt. RunRetries sends them after all first attempts
// of the same moment.
type retryQueue struct{ waiting []*request }

// enqueue adds a request to the queue, unless it is already queued or finished.
func (t *retryQueue) enqueue(q *request) verdict {
	if !q.finished && !q.queued {
		q.queued = true
		t.waiting = append(t.waiting, q)
	}
	return pending
}

// take empties the queue and returns its contents.
func (t *retryQueue) take() (waiting []*request) {
	waiting, t.waiting = t.waiting, nil
	return waiting
}

// admit gives up a request that has no time or no attempt left, that the retry budget does not cover, or that
// may have been executed and must not be repeated.
func (r *Router) admit(q *request) verdict {
	switch {
	case r.now >= q.repeatableUntil()-tickInterval,
		q.attemptsSent() >= r.MaxAttempts,
		r.now >= q.giveUpAt,
		!q.admitted && q.lastAttemptFailed() && !r.budget.Spend(r.now):
		return r.requests.giveUp(q)
	}
	return proceed
}

// repeatableUntil returns the time, in seconds, by which the first byte of a retry must be sent, because
// hosts recognize repeats only until then. It is +Inf if nothing can have been executed yet or if a repeat is
// harmless, and -Inf if no host recognizes repeats. Guards against a retry that is decided in time but then
// waits for its connection.
func (q *request) repeatableUntil() float64 {
	executed := q.firstPossiblyExecuted()
	switch {
	case executed == nil || q.idempotency == Idempotent:
		return math.Inf(1)
	case q.idempotency == IdempotencyKeyed:
		return executed.sentAt + q.service.DedupWindow
	}
	return math.Inf(-1)
}

// safeToRepeatAnywhere reports whether the request may be repeated at any host.
func (q *request) safeToRepeatAnywhere() bool {
	return q.idempotency == Idempotent || q.idempotency == IdempotencyKeyed && q.service.DedupScope == AllHosts
}

// safeToRepeatAt reports whether the request may be repeated at a host: nothing can have been executed yet, a
// repeat is harmless, or the host recognizes the repeat and drops it. A host whose process is doubted may be another one that
// has come up at its address, in another cell or zone.
func (q *request) safeToRepeatAt(h *host) bool {
	executed := q.firstPossiblyExecuted()
	if executed == nil || q.safeToRepeatAnywhere() {
		return true
	}
	if q.idempotency == NonIdempotent || h.Zone != executed.host.Zone || h.process.doubted {
		return false
	}
	return q.service.DedupScope == SameZone || h.Cell == executed.host.Cell
}
