package dispatcher

import (
	"sync/atomic"

	"elderwall/core/routing"
	"elderwall/internal/call"
)

// sendByProxy has an attempt sent by the proxy that asked.
func (d *Dispatcher) sendByProxy(a *attempt, out routing.Attempt) {
	h := a.host
	r := call.Route{
		Number: a.number, Host: h.name, Address: h.address, Rank: out.CachePriority, MaxAge: out.MaxAge, Join: out.Coalesce,
		Renew: out.Revalidate, HeldOnly: out.CachedOnly, Budget: a.request.deadline - a.sentAt,
		Repeatable: d.repeatable(a.request),
	}
	if out.Source != out.Host {
		r.Source, r.SourceAddress = a.source.name, a.source.address
	}
	r.Before = sendDeadline(a.request, out)
	r.Overtaken = func() bool { return d.eventsPending() || d.Clock.Now() >= r.Before }
	r.End = func(proof func(oldest float64) (routing.Outcome, routing.Note, bool)) {
		d.callRouter(func(now float64) { d.handleProxyResult(now, a, proof) })
	}
	if d.Variants != nil {
		d.routeVariantByProxy(a, &r)
	}
	a.proxy.Route(r)
}

// handleProxyResult takes the end of an attempt that a proxy sent.
func (d *Dispatcher) handleProxyResult(now float64, a *attempt, proof func(oldest float64) (routing.Outcome, routing.Note, bool)) {
	q := a.request
	if q.finished {
		return
	}
	outcome, note, ok := proof(d.router.MaxAge(now, q.id))
	if a.returned { // not waited for any more, and here all the same: the client gets it
		if ok && outcome == routing.Succeeded {
			d.Options.Counts.Returned.Add(1)
			d.finish(q, false)
			d.router.HandleClientGone(now, q.id)
		}
		return
	}
	if !ok {
		return
	}
	d.proxyCounter(outcome).Add(1)
	if outcome == routing.Succeeded && !q.finished {
		d.Options.Counts.Returned.Add(1)
		d.finish(q, false)
	}
	d.handleReturned(a, routing.AttemptResult{Outcome: outcome, Note: note})
}

// proxyCounter is the counter of how a routed attempt ended.
func (d *Dispatcher) proxyCounter(o routing.Outcome) *atomic.Int64 {
	c := d.Options.Counts
	switch o {
	case routing.Succeeded:
		return &c.Hit
	case routing.HostFailed:
		return &c.Fault
	case routing.UnusableCopy:
		return &c.OldCopy
	case routing.Rejected:
		return &c.Full
	case routing.NotCached:
		return &c.None
	case routing.Unreachable:
		return &c.Unreached
	}
	return &c.Unanswered
}
