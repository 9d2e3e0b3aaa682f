package routing

import (
	"maps"
	"math"
	"slices"

	"elderwall/core/timerwheel"
)

const (
	// answerMargin is the time in seconds before its deadline at which a request is answered. It allows for a
	// timer tick and a delayed acknowledgement (0.04 s).
	answerMargin      = 0.050
	answerMarginShare = 0.25 // maximum margin as a share of a request's time, for short deadlines
	// retryAfterShare is the share of the latency objective after which a rejected request may be retried and
	// still be answered in time.
	retryAfterShare = 0.25
)

// request is the state of one client request, from HandleRequest until the request is finished and its last
// attempt has returned.
type request struct {
	Request
	service     *service
	idempotency Idempotency // its own, which may be less than its service promises
	object      *object
	attempts    []*attempt
	outstanding int     // attempts that have not returned
	rejections  int     // number of times that a host rejected it
	finished    bool    // its final answer has been sent, or its client has left
	queued      bool    // it is in the retry queue
	giveUpAt    float64 // seconds; when it is given up at the latest
	timeout     timer
	wait        timer // fires when a cache that it waits for is looked at again
	admitted    bool  // its next attempt has been admitted, and waits for a cache

	firstAttempt attempt     // stored here because most requests need only one attempt
	attemptStore [2]*attempt // backs attempts, so that most requests allocate nothing

	host, source *host   // selected for the next attempt
	avoided      []*host // hosts and sources that must not be used for it again
	failedHosts  []*host // hosts that answered it with an error
	cachedOnly   bool    // the next attempt asks its source only for a cached copy
	sourceMissed bool    // a source was asked for a cached copy only, and had none
	cacheMissed  bool    // the cache was asked and has no copy
}

// timer is the entry of a request or an attempt in the timer wheel.
type timer = timerwheel.Timer[timerEvent]

// timers is the timer wheel of a router.
type timers = timerwheel.Wheel[timerEvent]

// timerEvent is what happens when a timer fires: a method of the router and its arguments. It is a value so
// that setting a timer allocates nothing.
type timerEvent struct {
	handle  func(r *Router, q *request, a *attempt)
	request *request
	attempt *attempt
}

// firstPossiblyExecuted returns the first attempt that is outstanding or may have been executed, or nil if
// there is none.
func (q *request) firstPossiblyExecuted() *attempt {
	for _, a := range q.attempts {
		if !a.returned || a.mayHaveRun {
			return a
		}
	}
	return nil
}

// lastAttemptFailed reports whether the last attempt failed at a host. An attempt that was rejected, or that
// only looked up the object in a cache, does not count, as it used no resources of the host, nor does one whose
// copy could not be used, as that is no failure of the host.
func (q *request) lastAttemptFailed() bool {
	if len(q.attempts) == 0 {
		return false
	}
	a := q.attempts[len(q.attempts)-1]
	if a.abandoned {
		return true
	}
	return a.returned && !a.result.Outcome.costsNothing() && a.result.Outcome != UnusableCopy
}

// attemptsSent returns the number of attempts, without those that were withdrawn.
func (q *request) attemptsSent() (n int) {
	for _, a := range q.attempts {
		if !a.returned || a.result.Outcome != Withdrawn {
			n++
		}
	}
	return n
}

// attemptsAt returns the number of attempts that were sent to a host.
func (q *request) attemptsAt(h *host) (n int) {
	for _, a := range q.attempts {
		if a.host == h {
			n++
		}
	}
	return n
}

// demandKB returns what one request adds to a byte rate, in KB. Without a known size it returns 1, so that
// rates count requests.
func (q *request) demandKB() float64 {
	if q.SizeKB > 0 {
		return q.SizeKB
	}
	return 1
}

// newAttempt appends an attempt to the request. The first one needs no allocation.
func (q *request) newAttempt() *attempt {
	a := &q.firstAttempt
	if len(q.attempts) > 0 {
		a = &attempt{}
	} else {
		q.attempts = q.attemptStore[:0]
	}
	a.number = len(q.attempts)
	q.attempts = append(q.attempts, a)
	return a
}

// avoid keeps later attempts of the request away from a host.
func (q *request) avoid(h *host) { q.avoided = append(q.avoided, h) }

// requestTable holds the open requests and finishes them. Invariant: a request is in the table until it is
// finished and none of its attempts is outstanding.
type requestTable struct {
	*environment
	timers *timers
	byID   map[uint32]*request
}

// open adds a request, and sets the timer that gives it up shortly before its deadline.
func (t *requestTable) open(in Request, s *service) *request {
	q := &request{Request: in, service: s, idempotency: s.IdempotencyOf(in)}
	t.byID[in.ID] = q
	q.giveUpAt = q.Deadline - math.Min(answerMargin, answerMarginShare*(q.Deadline-t.now))
	t.timers.Put(&q.timeout, q.giveUpAt, timerEvent{handle: giveUpAtDeadline, request: q})
	return q
}

func giveUpAtDeadline(r *Router, q *request, _ *attempt) { r.requests.giveUp(q) }

// attempt returns an attempt and its request by request ID and attempt number, or nil if there is none.
func (t *requestTable) attempt(id uint32, number int) (*request, *attempt) {
	q := t.byID[id]
	if q == nil || number < 0 || number >= len(q.attempts) {
		return nil, nil
	}
	return q, q.attempts[number]
}

// giveUp answers a request immediately: as rejected if it is safe to repeat, otherwise as failed.
func (t *requestTable) giveUp(q *request) verdict {
	if q.finished {
		return ended
	}
	safeToRepeat := q.firstPossiblyExecuted() == nil || q.safeToRepeatAnywhere()
	t.cancelAttempts(q)
	if safeToRepeat {
		t.actions.Shed(q.ID, math.Min(t.MaxRetryAfter, q.service.Objective*retryAfterShare))
	} else {
		t.actions.Fail(q.ID)
	}
	return t.finish(q)
}

// giveUpAll gives up all open requests in the order of their IDs, which is the order of arrival.
func (t *requestTable) giveUpAll() {
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		if q := t.byID[id]; q != nil {
			t.giveUp(q)
		}
	}
}

// cancelAttempts abandons all attempts of a request, and cancels the outstanding ones if that is possible.
func (t *requestTable) cancelAttempts(q *request) {
	for _, a := range q.attempts {
		if !a.returned && !a.abandoned && t.CanCancel {
			t.actions.Cancel(q.ID, a.number)
		}
		a.abandoned = true
	}
}

// finish marks a request as finished. It is forgotten once its last attempt has returned.
func (t *requestTable) finish(q *request) verdict {
	q.finished = true
	t.timers.Remove(&q.timeout)
	t.timers.Remove(&q.wait)
	t.forget(q)
	return ended
}

// forget removes a request that is finished and has no outstanding attempt.
func (t *requestTable) forget(q *request) {
	if q.finished && q.outstanding == 0 {
		delete(t.byID, q.ID)
	}
}
