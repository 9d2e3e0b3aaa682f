package routing

import (
	"elderwall/core/routing/congestion"
	"math"
)

// room tells whether more may go; where nothing is under way something always may, or nothing is learned.
func (l *allowance) room(work float64) bool {
	room := (l.held == 0 || l.out+work <= l.most) && l.allowed()
	l.full = l.full || !room
	return room
}

// judge moves the limit of what may be out to a cache, to all, or as fills: up when it comes back in time,
// down when not. It guards against collapse whatever the cause; it could shed where fewer are not faster.
func (d *Router) judge(f *forward, late bool, limits []*allowance) {
	if f.judged == limits[0] {
		return
	}
	f.judged = limits[0]
	for _, l := range limits {
		if f.at >= l.turn {
			d.move(l, f.work, late)
		}
	}
}

// move counts one end of a forward into a limit, and at the end of a turn moves it.
func (d *Router) move(l *allowance, work float64, late bool) {
	if l.seen += work; late {
		l.late += work
	}
	few, turn := leastTurn*d.least(), math.Min(l.most, l.start)
	if l.seen < math.Max(few, turn) && l.late < math.Max(few, turn*lateEnough) {
		return
	}
	switch share := l.late / l.seen; {
	case share > lateShare+l.bears:
		d.cut(l, share)
		d.tell(PeerUpdate{Host: l.host, Limit: l.name, LateShare: share})
		return
	case l.out > l.most*inUse || l.full && l.most <= few: // a limit at its least is never half in use
		if l.most *= growth; l.known == 0 || l.most < l.known { // never cut, or borne before
			l.most *= regrowth / growth
		}
	}
	d.turn(l)
}

// least is the sending time that a limit always leaves room for.
func (d *Router) least() (least float64) {
	for _, ds := range d.services {
		least = math.Max(least, leastUnder*ds.sending.mean)
	}
	return least
}

// cut lets a limit fall by the share that came late, and begins a turn.
func (d *Router) cut(l *allowance, share float64) {
	l.known = math.Max(l.known/growth, math.Min(l.most, l.peak)/regrowth)
	l.most = math.Max(d.least(), math.Min(l.most, l.peak)*(1-lateCut*share))
	d.turn(l)
}

// passed judges a forward whose latency objective has passed.
func (d *Router) passed(g *get, f *forward) {
	if f.miss {
		d.unfinished(g, f)
	}
	if f.miss && f.source.heard <= f.at {
		f.judges = f.fill[:1]
	}
	if !f.back && (f.host.belief == nil || f.host.heard > f.at) { // one of many that says nothing may be gone
		d.judge(f, true, d.blamed(f, true, f.judges))
	}
}

// blamed is the limits that a late fill counts against: that of a source alone which is known to be slow, or
// that of the way in where all sources look slow, which falls at once: its turns take longer than a burst.
func (d *Router) blamed(f *forward, late bool, limits []*allowance) []*allowance {
	l, blame := &d.fills, d.paces.LateCause(d.now, &f.source.pace)
	switch {
	case !f.miss:
	case !late && l.full && d.paces.IngressHasSpare(d.now): // it grows back as it fell, with each fill
		l.most += f.work * math.Min(1, l.known/l.most)
	case blame == congestion.CauseSource:
		return f.fill[:1]
	case blame == congestion.CauseIngress && f.at >= l.turn:
		d.cut(l, d.paces.IngressExcess(d.now)/lateCut)
		fallthrough
	case blame == congestion.CauseIngress:
		return f.fill[1:]
	}
	return limits
}
