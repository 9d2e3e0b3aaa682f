package routing

import "math"

// retryQueue has the requests that are to be sent on, until RunRetries, after all first attempts of the
// moment.
type retryQueue struct{ waiting []*request }

// enqueue puts a request into the queue, unless it is there already or finished.
func (t *retryQueue) enqueue(q *request) verdict {
	if !q.finished && !q.queued {
		q.queued = true
		t.waiting = append(t.waiting, q)
	}
	return pending
}

// take empties the queue and returns what was in it.
func (t *retryQueue) take() (waiting []*request) {
	waiting, t.waiting = t.waiting, nil
	return waiting
}

// admit gives up a request that has no time or attempt left, or that may have been executed and must not be
// repeated.
func (r *Router) admit(q *request) verdict {
	switch {
	case r.now >= q.repeatableUntil()-tickInterval,
		q.attemptsSent() >= r.MaxAttempts,
		r.now >= q.giveUpAt,
		q.lastFailed() && !r.budget.Spend(r.now):
		return r.requests.giveUp(q)
	}
	return proceed
}

// repeatableUntil is when the first byte of a retry must be out, as hosts recognize a repeat for no longer:
// +Inf where nothing can have been executed yet or a repeat does no harm, -Inf where no host recognizes
// repeats. Guards against a retry that is decided on in time and waits for its connection.
func (q *request) repeatableUntil() float64 {
	executed := q.firstExecuted()
	switch {
	case executed == nil || q.service.Idempotency == Idempotent:
		return math.Inf(1)
	case q.service.Idempotency == IdempotencyKeyed:
		return executed.sentAt + q.service.DedupWindow
	}
	return math.Inf(-1)
}

// repeatsAnywhere reports whether a repeat does no harm at any host.
func (q *request) repeatsAnywhere() bool {
	s := q.service
	return s.Idempotency == Idempotent || s.Idempotency == IdempotencyKeyed && s.DedupScope == AllHosts
}

// mayRepeatAt reports whether a host drops a repeat of what may have been executed already, or it does no
// harm.
func (q *request) mayRepeatAt(h *host) bool {
	executed := q.firstExecuted()
	if executed == nil || q.service.Idempotency == Idempotent || q.service.DedupScope == AllHosts {
		return true
	}
	if h.Zone != executed.host.Zone {
		return false
	}
	return q.service.DedupScope == SameZone || h.Cell == executed.host.Cell
}
