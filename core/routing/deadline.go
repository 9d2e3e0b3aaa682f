package routing

import (
	"cmp"
	"math"
)

const (
	overdueMultiple = 3.0  // multiple of the usual response time after which an attempt is overdue
	minOverdue      = 0.25 // seconds; below this, jitter and connection handshakes look like silence
)

// overdueAfter returns the time in seconds after which an attempt without a result is overdue.
func (r *Router) overdueAfter(q *request) float64 {
	usual := cmp.Or(q.service.responseTime.mean, r.costs.objective(q)/overdueMultiple)
	return math.Max(minOverdue, overdueMultiple*usual)
}

// scheduleOverdueCheck sets the timer that fires when the attempt is overdue.
func (r *Router) scheduleOverdueCheck(q *request, a *attempt) {
	r.timers.Put(&a.overdueTimer, r.now+r.overdueAfter(q), timerEvent{(*Router).handleOverdue, q, a})
}

// scheduleObjectiveCheck sets the timer that fires when the attempt has missed its latency objective.
func (r *Router) scheduleObjectiveCheck(q *request, a *attempt) {
	r.timers.Put(&a.objectiveTimer, r.now+a.objective, timerEvent{(*Router).handleObjectiveMissed, q, a})
}

// handleOverdue handles an attempt that is overdue. The silence of its host may eject the host. At an ejected
// host the attempt is canceled and the request may be retried elsewhere, provided that it may be repeated and
// that attempts can be canceled.
func (r *Router) handleOverdue(q *request, a *attempt) {
	if a.returned || a.abandoned || q.finished {
		return
	}
	h := r.suspectedHost(a)
	if h.health.silentSince(a.sentAt) {
		r.outliers.observeOverdue(h, r.othersInFlight(h))
	}
	if !h.health.ejected || q.idempotency == NonIdempotent || !r.CanCancel {
		r.scheduleOverdueCheck(q, a)
		return
	}
	r.actions.Cancel(q.ID, a.number)
	a.abandoned = true
	q.avoid(h)
	if r.Hedging {
		r.retries.enqueue(q)
	}
}

// suspectedHost returns the host whose silence an overdue attempt may show. A cache that responds to other
// attempts may be waiting for a silent parent.
func (r *Router) suspectedHost(a *attempt) *host {
	if !a.host.health.silentSince(a.sentAt) && a.isFill && a.source.Kind == r.ParentKind {
		return a.source
	}
	return a.host
}

// othersInFlight returns how many other attempts in flight at a host count as evidence together with an
// overdue one. A single overdue attempt may just be for a large object.
func (r *Router) othersInFlight(h *host) int {
	others := h.inFlight + h.fillsInFlight - 1
	if r.NoteDetail == FillNotes {
		others = min(others, 1) // they may wait for a parent or the origin, which a note will report
	}
	return others
}

// handleObjectiveMissed handles an attempt whose latency objective has passed, and counts it as late.
func (r *Router) handleObjectiveMissed(q *request, a *attempt) {
	if a.isFill {
		r.observeUnfinishedFill(q, a)
		if a.source.health.silentSince(a.sentAt) {
			a.limits.chargedIfLate = a.limits.fill[:1]
		}
	}
	h := &a.host.health
	// A silent host in a group may be down, so the lateness of its attempts does not show congestion.
	if !a.returned && (h.group == nil || !h.silentSince(a.sentAt)) {
		r.limits.observe(a, true, r.limits.limitsToBlame(a, true, a.limits.chargedIfLate))
	}
}
