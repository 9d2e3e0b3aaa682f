package routing

import (
	"cmp"
	"math"
	"slices"
)

// copies is the number of caches that the object's byte rate gives it: one more by each even share.
func (d *Router) copies(g *get, ready int) int {
	rate := g.item.demand.add(d.now, 0)
	if rate < fewestCounts*g.size() {
		return 1
	}
	return 1 + int(rate*float64(ready)/d.total.add(d.now, 0))
}

// admit ends a GET that has no time or forward left, or that may have run and must not run again.
func (d *Router) admit(g *get) verdict {
	spent := g.sent() >= d.MaxAttempts || d.now >= g.last
	if d.now >= g.repeatableUntil()-tick || spent || g.failed() && !d.retries.Spend(d.now) {
		return d.giveUp(g)
	}
	return pass
}

// finish ends a GET that was answered, and sends on one that was not.
func (d *Router) finish(g *get, f *forward) verdict {
	if f.answer.Final || f.answer.Outcome == Succeeded {
		d.cancel(g)
		return d.end(g)
	}
	if g.over || g.out > 0 {
		return ended
	}
	return d.again(g)
}

// giveUp answers a GET at once: shed where a repeat is harmless, errored elsewhere.
func (d *Router) giveUp(g *get) verdict {
	if g.over {
		return ended
	}
	ran := g.firstRan()
	d.cancel(g)
	if g.ds.Idempotency == Idempotent || ran == nil || g.ds.Idempotency == IdempotencyKeyed && g.ds.DedupScope == AllHosts {
		d.wire.Shed(g.ID, math.Min(d.MaxRetryAfter, g.ds.Objective*comeBack))
	} else {
		d.wire.Fail(g.ID)
	}
	return d.end(g)
}

// grouped tells whether a host drops repeats of what may have run already.
func (g *get) grouped(h *host) bool {
	ran := g.firstRan()
	if ran == nil || g.ds.Idempotency == Idempotent || g.ds.DedupScope == AllHosts {
		return true
	}
	return h.Zone == ran.host.Zone && (g.ds.DedupScope == SameZone || h.Cell == ran.host.Cell)
}

// choose takes the least makespan among the object's caches: as many as its demand gives it, along the order
// that all routers share. It goes further along it only while all those are over the latency objective.
func (d *Router) choose(g *get) verdict {
	n, objective, work, favour := d.copies(g, d.ready), d.objective(g), d.weigh(g), d.favour(g)
	room, some, seen, best, from := d.all.room(work/favour), false, 0, (*host)(nil), 0
	if n > sample { // the best of so many of them is hardly worse, and a look at all would grow with the fleet
		from, n = d.pick(n-sample+1), sample
	}
	d.order.Walk(g.item.hash, &g.item.caches, from, func(h *host) bool {
		if h.Phase != Ready || slices.Contains(g.bad, h) || !g.grouped(h) || !d.open(h, work) {
			return true
		}
		if some = true; !room || !h.under.room(work/favour) {
			return room
		}
		if best != nil && seen >= n && d.span(g, best) <= objective {
			return false
		}
		if best == nil || seen < n && d.span(g, h) < d.span(g, best) || d.span(g, h) < d.span(g, best)*spareUnder {
			best = h
		}
		seen++
		return true
	})
	if best == nil {
		return d.straight(g, some)
	}
	g.host = best
	return pass
}

// straight passes the caches by when none can be used, unless one is just full.
func (d *Router) straight(g *get, full bool) verdict {
	if g.host = d.parent(g); !d.BypassCaches || full || g.host == nil || !g.grouped(g.host) {
		return d.giveUp(g)
	}
	return pass
}

func (d *Router) objective(g *get) float64 {
	sending := cmp.Or(d.sending(g), d.expected(g), d.weigh(g))
	return math.Min(g.ds.Objective+g.ds.Stretch*sending, g.ds.ViewerTimeout)
}

// weigh is what a GET counts for in a budget: its delivery service's mean sending time.
func (d *Router) weigh(g *get) float64 {
	return cmp.Or(g.ds.sending.mean, g.ds.Objective*unknownSend)
}

// span is the design's makespan, drained by the clock; departing from it, what is answered is not waited for,
// and it is one learned time at least: a host that others crowd is slow with nothing of ours out at it.
func (d *Router) span(g *get, h *host) float64 {
	span, one := math.Max(0, h.makespan-(d.now-h.updated)), d.serving(h)
	if h.bandwidth(d) > 0 {
		return math.Max(span, float64(h.out)*one)
	}
	alone := cmp.Or(d.expected(g)*d.paces.Slowdown(d.now, &h.pace), one)
	return math.Max(math.Min(span, float64(h.out)*one), alone)
}

// serving is the learned time that one GET adds to a makespan; unheard caches count as average.
func (d *Router) serving(h *host) float64 {
	if h.serving.n > 0 {
		return h.belief.ShrinkServingTime(d.now, h.serving.mean, h.serving.n, d.average)
	}
	return d.average
}
