package routing

import (
	"cmp"
	"math"
)

const (
	overdueMultiple = 3.0  // multiple of the usual response time after which an attempt is overdue
	minOverdue      = 0.25 // s; below this, jitter and handshakes look like silence
)

// overdueAfter is the time in seconds after which an attempt without a result raises suspicion.
func (r *Router) overdueAfter(q *request) float64 {
	usual := cmp.Or(q.service.responseTime.mean, r.costs.objective(q)/overdueMultiple)
	return math.Max(minOverdue, overdueMultiple*usual)
}

// watchOverdue sets the timer after which the attempt is overdue.
func (r *Router) watchOverdue(q *request, a *attempt) {
	r.timers.Put(&a.overdue, r.now+r.overdueAfter(q), timerEvent{(*Router).handleOverdue, q, a})
}

// watchObjective sets the timer at which the attempt has missed its latency objective.
func (r *Router) watchObjective(q *request, a *attempt) {
	r.timers.Put(&a.objectiveOver, r.now+a.objective, timerEvent{(*Router).handleObjectiveMissed, q, a})
}

// handleOverdue looks at an attempt that is overdue: a host that has been silent since is ejected, and its
// requests are retried elsewhere.
func (r *Router) handleOverdue(q *request, a *attempt) {
	if a.returned || a.abandoned || q.finished {
		return
	}
	h := r.suspectOf(a)
	if h.health.silentSince(a.sentAt) {
		r.outliers.observeOverdue(h, r.othersInFlight(h))
	}
	if !h.health.ejected || q.service.Idempotency == NonIdempotent || !r.CanCancel {
		r.watchOverdue(q, a)
		return
	}
	r.actions.Cancel(q.ID, a.number)
	a.abandoned = true
	q.avoid(h)
	if r.Hedging {
		r.retries.enqueue(q)
	}
}

// suspectOf is the host whose silence an overdue attempt may show: a cache that speaks may wait for a silent
// parent.
func (r *Router) suspectOf(a *attempt) *host {
	if !a.host.health.silentSince(a.sentAt) && a.isFill && a.source.Kind == r.ParentKind {
		return a.source
	}
	return a.host
}

// othersInFlight is what other attempts in flight at a host count for beside an overdue one, which alone may
// be for a large object.
func (r *Router) othersInFlight(h *host) int {
	others := h.inFlight + h.fillsInFlight - 1
	if r.NoteDetail == FillNotes {
		others = min(others, 1) // they may wait for a parent or the origin; a note will tell
	}
	return others
}

// handleObjectiveMissed judges an attempt whose latency objective has passed.
func (r *Router) handleObjectiveMissed(q *request, a *attempt) {
	if a.isFill {
		r.observeUnfinishedFill(q, a)
		if a.source.health.silentSince(a.sentAt) {
			a.limits.late = a.limits.fill[:1]
		}
	}
	h := &a.host.health
	if !a.returned && (h.group == nil || !h.silentSince(a.sentAt)) { // one of many that is silent may be gone
		r.limits.observe(a, true, r.limits.blamed(a, true, a.limits.late))
	}
}
