package dispatcher

import (
	"elderwall/core/routing"
	"elderwall/internal/call"
	"sync/atomic"
)

// route has a forward sent by the proxy that asked.
func (n *Node) route(f *forward, out routing.Attempt) {
	h := f.to
	r := call.Route{
		Number: f.number, Host: h.name, Address: h.address, Rank: out.CachePriority, MaxAge: out.MaxAge, Join: out.Coalesce,
		Renew: out.Revalidate, HeldOnly: out.CachedOnly, Budget: f.get.until - f.at,
	}
	if out.Source != out.Host {
		r.Source, r.SourceAddress = f.from.name, f.from.address
	}
	r.Before = latest(f.get, out)
	r.Overtaken = func() bool { return n.behind() || n.Clock.Now() >= r.Before }
	r.End = func(proof func(oldest float64) (routing.Outcome, routing.Note, bool)) {
		n.call(func(now float64) { n.routed(now, f, proof) })
	}
	if n.Variants != nil {
		n.routeVariant(f, &r)
	}
	f.router.Route(r)
}

// routed takes the end of a forward that a proxy sent.
func (n *Node) routed(now float64, f *forward, proof func(oldest float64) (routing.Outcome, routing.Note, bool)) {
	g := f.get
	if g.over {
		return
	}
	outcome, note, ok := proof(n.module.MaxAge(now, g.id))
	if f.back { // not waited for any more, and here all the same: the client gets it
		if ok && outcome == routing.Succeeded {
			n.Options.Counts.Returned.Add(1)
			n.close(g, false)
			n.module.HandleClientGone(now, g.id)
		}
		return
	}
	if !ok {
		return
	}
	n.ending(outcome).Add(1)
	if outcome == routing.Succeeded && !g.over {
		n.Options.Counts.Returned.Add(1)
		n.close(g, false)
	}
	n.back(f, routing.AttemptResult{Outcome: outcome, Note: note})
}

// ending is the counter of how a routed forward ended.
func (n *Node) ending(o routing.Outcome) *atomic.Int64 {
	c := n.Options.Counts
	switch o {
	case routing.Succeeded:
		return &c.Hit
	case routing.HostFailed:
		return &c.Fault
	case routing.Rejected:
		return &c.Full
	case routing.NotCached:
		return &c.None
	case routing.Unreachable:
		return &c.Unreached
	}
	return &c.Unanswered
}
