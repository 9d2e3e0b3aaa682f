package dispatcher

import (
	"math"

	"elderwall/core/endpoints"
	"elderwall/core/routing"
	"elderwall/internal/changelog"
)

// Take takes an event of the change log; a long list in steps, between which requests go on.
func (d *Dispatcher) Take(e changelog.Event) {
	if e.Fleet == nil || len(e.Fleet.Hosts) <= endpoints.MaxBatch || d.Shard != nil || !d.endpointsKnown.Load() {
		d.callRecovering(func(now float64) { d.handleEvent(now, e) })
		return
	}
	var changes []changelog.Host
	d.callRecovering(func(float64) {
		d.Options.Counts.Lists.Add(1)
		changes = d.changedHosts(*e.Fleet)
	})
	e.Fleet = nil
	for _, step := range endpoints.Batches(changes, func(h changelog.Host) bool { return h.State != "SERVING" }, endpoints.MaxBatch) {
		d.callRecovering(func(now float64) { d.updateEndpoints(now, changelog.Fleet{Hosts: step}) })
	}
	d.callRecovering(func(now float64) { d.handleEvent(now, e) })
}

// handleEvent handles an event of the change log: an endpoint list, a purge, or both.
func (d *Dispatcher) handleEvent(now float64, e changelog.Event) {
	if e.Fleet != nil {
		d.Options.Counts.Lists.Add(1)
		d.updateEndpoints(now, *e.Fleet)
	}
	if p := e.Purge; p != nil {
		if p.Learned {
			d.Options.Counts.PurgesLearned.Add(1)
		} else {
			d.Options.Counts.Purges.Add(1)
		}
		d.applyPurge(now, p.Object, p.Group, d.purgeTime(now, p))
	}
	if d.Variants != nil {
		d.handleVariantEvent(now, e)
	}
}

// purgeTime is when a purge was, on the dispatcher's clock.
func (d *Dispatcher) purgeTime(now float64, p *changelog.Purge) float64 {
	if p.Witnessed {
		return p.At
	}
	return d.Clock.Witnessed(p.Time, math.Inf(-1), now)
}

// applyPurge applies a purge, at a time on the dispatcher's clock, of an object by one of its names, or of a
// group.
func (d *Dispatcher) applyPurge(now float64, object string, group int, at float64) {
	d.router.HandlePurge(now, object, group, now-at)
	if d.coalescer != nil {
		d.coalescer.Purge(object, group)
	}
	d.withdrawUnsent(func(a *attempt) bool {
		asks := a.request.routed
		return asks.Object == object || object == "" && asks.Group == group
	})
}

// withdrawUnsent withdraws attempts of which nothing was sent, where an event forbids them; the router
// decides anew. Guards against one that waits for its connection, or for its proxy to come again, for longer
// than the grace.
func (d *Dispatcher) withdrawUnsent(forbidden func(a *attempt) bool) {
	for _, q := range d.requests {
		for _, a := range q.attempts {
			if !a.returned && forbidden(a) && a.withdraw() {
				d.Options.Counts.Recalled.Add(1)
				d.handleReturned(a, routing.AttemptResult{Outcome: routing.Withdrawn})
			}
		}
	}
}
