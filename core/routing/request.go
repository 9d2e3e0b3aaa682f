package routing

import (
	"maps"
	"math"
	"slices"

	"elderwall/core/timerwheel"
)

const (
	// s; a request is answered this long before its deadline: a timer tick and a delayed ack (0.04 s)
	answerMargin      = 0.050
	answerMarginShare = 0.25 // share of a request's time, where answerMargin would be much of it
	// share of the latency objective after which a rejected request may come back in time
	retryAfterShare = 0.25
)

// request is the state of one client request, from HandleRequest until it is finished and its last attempt is
// back.
type request struct {
	Request
	service     *service
	object      *object
	attempts    []*attempt
	outstanding int     // attempts that are not back
	rejections  int     // times that a host rejected it
	finished    bool    // its final answer has gone out, or its client has gone
	queued      bool    // it waits in the retry queue
	giveUpAt    float64 // s; when it is given up at the latest
	timeout     timer

	firstAttempt attempt     // most requests need no second one
	attemptStore [2]*attempt // backs attempts, so that most requests allocate nothing

	host, source *host   // selected for the next attempt
	avoided      []*host // failed it, as host or as source
	accused      []*host // answered it with an error
	cachedOnly   bool    // the next attempt asks its source only for what that has cached
	sourceMissed bool    // it asked so, and the source had nothing cached
	cacheMissed  bool    // the cache was asked, and has nothing cached
}

// timer is a request's or an attempt's place among the timers.
type timer = timerwheel.Timer[timerEvent]

// timers holds all timers of a router.
type timers = timerwheel.Wheel[timerEvent]

// timerEvent is what falls due: a method of the router and what it is about. It is a value, so that setting a
// timer allocates nothing.
type timerEvent struct {
	handle  func(r *Router, q *request, a *attempt)
	request *request
	attempt *attempt
}

// firstExecuted is the first attempt that is out or may have been executed; nil if none may have been.
func (q *request) firstExecuted() *attempt {
	for _, a := range q.attempts {
		if !a.returned || a.mayHaveRun {
			return a
		}
	}
	return nil
}

// lastFailed reports whether the last attempt failed at a host. A rejected attempt, or one that only looked
// into a cache, cost the host nothing.
func (q *request) lastFailed() bool {
	if len(q.attempts) == 0 {
		return false
	}
	a := q.attempts[len(q.attempts)-1]
	if a.abandoned {
		return true
	}
	return a.returned && !a.result.Outcome.costsNothing()
}

// attemptsSent is the number of its attempts without those that were withdrawn.
func (q *request) attemptsSent() (n int) {
	for _, a := range q.attempts {
		if !a.returned || a.result.Outcome != Withdrawn {
			n++
		}
	}
	return n
}

// attemptsAt is how often the request went to a host.
func (q *request) attemptsAt(h *host) (n int) {
	for _, a := range q.attempts {
		if a.host == h {
			n++
		}
	}
	return n
}

// bytes is what one request adds to a byte rate, in KB; where no size is known, rates count requests.
func (q *request) bytes() float64 {
	if q.SizeKB > 0 {
		return q.SizeKB
	}
	return 1
}

// newAttempt appends an attempt to the request; the first one is not allocated.
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

// avoid keeps the request away from a host.
func (q *request) avoid(h *host) { q.avoided = append(q.avoided, h) }

// requestTable has the requests that are not forgotten yet, and ends them. Invariant: a request is in it
// until it is finished and none of its attempts is out.
type requestTable struct {
	*environment
	timers *timers
	byID   map[uint32]*request
}

// open takes in a request, which is given up shortly before its deadline.
func (t *requestTable) open(in Request, s *service) *request {
	q := &request{Request: in, service: s}
	t.byID[in.ID] = q
	q.giveUpAt = q.Deadline - math.Min(answerMargin, answerMarginShare*(q.Deadline-t.now))
	t.timers.Put(&q.timeout, q.giveUpAt, timerEvent{handle: giveUpAtDeadline, request: q})
	return q
}

func giveUpAtDeadline(r *Router, q *request, _ *attempt) { r.requests.giveUp(q) }

// attempt is an outstanding attempt by its number; nil if there is none.
func (t *requestTable) attempt(id uint32, number int) (*request, *attempt) {
	q := t.byID[id]
	if q == nil || number < 0 || number >= len(q.attempts) {
		return nil, nil
	}
	return q, q.attempts[number]
}

// giveUp answers a request at once: rejected where a repeat is harmless, failed elsewhere.
func (t *requestTable) giveUp(q *request) verdict {
	if q.finished {
		return ended
	}
	harmless := q.firstExecuted() == nil || q.repeatsAnywhere()
	t.cancelAttempts(q)
	if harmless {
		t.actions.Shed(q.ID, math.Min(t.MaxRetryAfter, q.service.Objective*retryAfterShare))
	} else {
		t.actions.Fail(q.ID)
	}
	return t.finish(q)
}

// giveUpAll gives up all requests in the order in which they came.
func (t *requestTable) giveUpAll() {
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		if q := t.byID[id]; q != nil {
			t.giveUp(q)
		}
	}
}

// cancelAttempts ends the wait for all attempts that are still out.
func (t *requestTable) cancelAttempts(q *request) {
	for _, a := range q.attempts {
		if !a.returned && !a.abandoned && t.CanCancel {
			t.actions.Cancel(q.ID, a.number)
		}
		a.abandoned = true
	}
}

// finish ends a request; it is forgotten when its last attempt is back.
func (t *requestTable) finish(q *request) verdict {
	q.finished = true
	t.timers.Remove(&q.timeout)
	t.forget(q)
	return ended
}

// forget lets a request go that is finished and has no attempt out.
func (t *requestTable) forget(q *request) {
	if q.finished && q.outstanding == 0 {
		delete(t.byID, q.ID)
	}
}
