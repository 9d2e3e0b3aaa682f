package dispatcher

import (
	"elderwall/core/coalescing"
	"elderwall/core/routing"
	"elderwall/internal/call"
)

// newJoint is an empty table, nil where no GETs share a forward.
func (n *Node) newJoint() *coalescing.Table[*get] {
	if n.Joins == nil {
		return nil
	}
	return coalescing.New[*get]()
}

// follows tells whether a GET waits for what another is at. Those that hold a copy, carry a body, are sent by a proxy, or
// must not run twice are alone.
func (n *Node) follows(now float64, g *get) bool {
	s := g.asks.Service
	if n.joint == nil || s >= len(n.Joins) || !n.Joins[s] || n.Settings.Settings.Services[s].Idempotency != routing.Idempotent ||
		g.request.Tag != "" || len(g.request.Body) > 0 {
		return false
	}
	if _, routed := g.call.(call.Router); routed {
		return false
	}
	key := coalescing.Key{Service: s, Part: g.asks.Part, Group: g.asks.Group, Object: g.asks.Object}
	if g.variant.Declared { // else the first class, whose name is the object's, would get what is sent for who names none
		key.Service = ^s
	}
	w, role := n.joint.Enter(now, key, g.until, g)
	if g.waiter = w; role == coalescing.Follows {
		n.Options.Counts.Joined.Add(1)
		return true
	}
	return false
}

// lead hands the module those that go on in the lead.
func (n *Node) lead(now float64) {
	leads := n.leads
	n.leads = nil
	for _, g := range leads {
		if !g.over || g.waiter.Needed() {
			n.module.HandleRequest(now, g.asks)
		}
	}
}

// landed hands the bytes that a leader got to those that wait for them; one that there is no room for goes by itself.
func (n *Node) landed(of *forward, body []byte) {
	g := of.get
	if g.waiter == nil {
		return
	}
	now := n.Clock.Now()
	answered, _ := n.joint.Ended(now, g.waiter, coalescing.Served)
	for _, o := range answered {
		if o.over || n.Variants != nil && n.turnedVariant(now, o, of) {
			continue
		}
		if !n.Options.Room.Take(len(body)) {
			o.waiter = nil
			n.leads = append(n.leads, o)
			continue
		}
		n.Options.Counts.Returned.Add(1)
		o.call.Serve(body, false)
		n.close(o, false)
	}
	n.forget(g)
}

// ends takes the end of a leader that got nothing: those that wait have the same, or one of them goes on.
func (n *Node) ends(g *get, how coalescing.How, answer func(*get)) {
	if g.waiter == nil || n.joint == nil {
		return
	}
	if g.waiter.Follows() { // by its own time
		if stop, stops := n.joint.Leave(g.waiter); stops {
			n.module.HandleClientGone(n.Clock.Now(), stop.id)
			n.forget(stop)
		}
		return
	}
	now := n.Clock.Now()
	answered, next := n.joint.Ended(now, g.waiter, how)
	for _, o := range answered {
		answer(o)
	}
	if next != nil {
		n.Options.Counts.TookLead.Add(1)
		n.leads = append(n.leads, next.W) // the module is at work on the one that ended
	}
	n.forget(g)
}

// leave takes word that a client no longer waits: its work stops, unless others need it.
func (n *Node) leave(now float64, g *get) {
	if g.waiter == nil || n.joint == nil {
		n.close(g, false)
		n.module.HandleClientGone(now, g.id)
		return
	}
	follows := g.waiter.Follows()
	stop, stops := n.joint.Leave(g.waiter)
	n.close(g, false)
	if stops {
		n.module.HandleClientGone(now, stop.id)
		n.forget(stop)
	} else if !follows && !g.waiter.Needed() {
		n.module.HandleClientGone(now, g.id)
	}
}

// passJoint answers those that have waited for as long as they can.
func (n *Node) passJoint(now float64) {
	if n.joint == nil {
		return
	}
	for late, ok := n.joint.Pass(now); ok; late, ok = n.joint.Pass(now) {
		n.shed(late.Over, 0)
		if late.Stops {
			n.module.HandleClientGone(now, late.Stop.id)
			n.forget(late.Stop)
		}
	}
}
