package routing

import (
	"cmp"
	"elderwall/core/routing/congestion"
	"slices"
)

// fill names the source of a miss: the object's parent, the next one, or the origin. While fills are at their
// limit a GET only looks whether the cache holds the object, and is shed if not.
func (d *Router) fill(g *get) verdict {
	g.source, g.heldOnly = g.host, false
	if g.host == d.origin && !d.origins.allowed() {
		return d.giveUp(g)
	}
	if g.host == d.origin || g.host.Kind == d.ParentKind {
		return pass
	}
	work, share := d.weigh(g)/d.favour(g), d.paces.FillShare(d.now)
	source, spare := d.parent(g), d.origins.room(work)
	if o := d.origin; o != nil && o.left { // it is tried by one GET at a time, itself or behind a parent
		spare = d.now >= o.until && d.origins.held == 0 && d.origins.allowed()
	}
	look := !d.fills.room(work) || share < 1 && d.chance(g.host) > share
	look = look || source == nil || source == d.origin && !spare || d.looksFirst(g, source)
	if !look {
		g.source, g.heldOnly = source, source != d.origin && !spare
	}
	if look && g.looked || g.heldOnly && g.lacked {
		return d.giveUp(g)
	}
	return pass
}

// favour is the multiple of a limit open to a GET: by its revenue for its sending time, and if known before.
func (d *Router) favour(g *get) float64 {
	share := 1.0
	for _, ds := range d.services {
		if ds.PriorityWeight*d.weigh(g) < g.ds.PriorityWeight*ds.sending.mean {
			share = favoured
		}
	}
	if !g.item.again && d.now > buckets*bucketSpan { // before a window has passed all are new
		share *= newcomer
	}
	return share
}

// parent is the first usable one in the object's order over all listed parents, the next if it fails or holds
// its learned limit while the next bears clearly more, and the origin when none is up.
func (d *Router) parent(g *get) *host {
	home, other, work, slow := (*host)(nil), (*host)(nil), d.weigh(g), 0.0
	d.parentOrder.Walk(g.item.objectHash, &g.item.parents, 0, func(h *host) bool {
		switch {
		case slices.Contains(g.bad, h) || !d.open(h, work) || !h.under.allowed():
		case home == nil:
			home, slow = h, d.paces.Slowdown(d.now, &h.pace)
			return !h.under.room(work) || slow > congestion.CongestedSlowdown
		case h.under.room(work) && (h.under.most > clearlyMore*home.under.most ||
			slow > congestion.CongestedSlowdown && d.paces.Slowdown(d.now, &h.pace) < slow*spareUnder):
			other = h
			return false
		}
		return true
	})
	return cmp.Or(other, home, d.origin)
}

// judgeFill learns how sound the source of a fill is, and what the way in bears. An origin that fails behind
// parents is left like any host: many dispatchers' fast failures, which no limit bounds, would keep it down.
func (d *Router) judgeFill(g *get, f *forward) verdict {
	a, n, o := f.answer, f.answer.Note, f.answer.Outcome
	d.paced(g, f) // first: what is late is laid on what this answer tells of, too
	if f.source == f.host {
		if a.Outcome == NotCached && !g.over {
			g.looked = true
			return d.again(g)
		}
		return pass
	}
	g.lacked, g.looked = f.heldOnly && a.Outcome == NotCached, g.looked || sourceFault(n)
	// Its client took it back early, or one of many hosts was silent: no sign of slow fills.
	early := a.Outcome == Canceled && (g.over && a.Elapsed <= f.objective || f.host.left && f.host.belief != nil)
	if !early && f.told() && (n == Filled || n == FilledByOrigin || o == Canceled && f.miss ||
		n >= SourceRejected && n != SourceNotCached || d.NoteDetail != FillNotes && (f.miss && n != CacheHit || o == Rejected)) {
		limits := f.judgedBy()
		if n == FilledByOrigin || n == OriginFailed {
			limits = []*allowance{&d.origins}
		} else if n == SourceFailed {
			limits = f.fill[:1] // tells of the source alone
		}
		late := a.Outcome != Succeeded || a.Elapsed > f.objective || a.IngressLoad > crowded
		d.judge(f, late, d.blamed(f, late, limits))
	}
	switch {
	case a.Outcome == Succeeded && n != CacheHit && n != FillCoalesced && n != StaleHit:
		f.source.taken.add(d.now, f.work)
		if f.source.hear(d.now); d.NoteDetail == FillNotes || f.miss {
			d.sound(f.source)
		}
	case n == SourceFailed:
		g.bad = append(g.bad, f.source)
		if f.source.heard <= f.at || a.Elapsed < d.overdue(g) { // else it waited for the origin in vain
			d.fault(f.source, learnFault)
		}
	case sourceFault(n):
		g.bad = append(g.bad, f.source)
		if f.source.hear(d.now); n == OriginFailed && d.origin != nil {
			d.fault(d.origin, learnFault)
		}
	}
	if n == FilledByOrigin && a.Outcome == Succeeded && d.origin != nil && f.source != d.origin {
		d.sound(d.origin)
	}
	return pass
}

// sourceFault tells whether a note lays a failure on the source of a fill, not on the host that tells of it.
func sourceFault(n Note) bool {
	return n == SourceRejected || n == SourceFailed || n == SourceNotCached || n == OriginFailed
}
