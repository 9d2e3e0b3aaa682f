package routing

import (
	"cmp"
	"fmt"
	"math"
)

// judgeHost learns from an answer how fast and how sound its host is.
func (d *Router) judgeHost(g *get, f *forward) verdict {
	h, a := f.host, f.answer
	switch a.Outcome {
	case Succeeded:
		d.retries.Earn()
		h.taken.add(d.now, f.work)
		h.serving.add(a.Elapsed/math.Max(1, float64(f.crowd+h.out+1)/2), learnServing)
		g.ds.usual.add(a.Elapsed, learn)
		if d.sending(g) == 0 && (a.Note == CacheHit || d.NoteDetail == NoNotes) && f.crowd <= uncrowded {
			// Crowding must not pass for size: the objective would grow with it, and nothing look late.
			g.ds.sending.add(math.Min(a.Elapsed, g.ds.Objective), learnSize)
		}
		g.item.holder, g.item.heldTo = h, d.now+buckets*bucketSpan
		if a.Note == CacheHit || d.NoteDetail == NoNotes && !f.miss {
			d.judge(f, a.Elapsed > f.objective, f.under[:2])
		}
		d.sound(h)
		for _, o := range g.accused {
			d.fault(o, learnFault)
		}
	case HostFailed, ConnectionLost, Unreachable, TimedOut:
		switch {
		case sourceFault(a.Note) || a.Outcome == TimedOut && h.heard > f.at:
		case a.Outcome == HostFailed && g.ds.Idempotency == Idempotent: // no host can use some GETs: others tell
			g.accused = append(g.accused, h)
		case a.Outcome == HostFailed || a.Outcome == ConnectionLost: // connections break at sound hosts too
			d.fault(h, learnFault)
		default:
			d.fault(h, h.belief.LossWeight(d.now, learnLost, faulty))
		}
		if a.Outcome != ConnectionLost || g.ds.Idempotency != Idempotent || g.asked(h) > 1 { // it may hold the object
			g.bad = append(g.bad, h)
		}
	case Rejected, NotCached:
		if !sourceFault(a.Note) && !(a.Outcome == NotCached && f.source != h) {
			g.bad = append(g.bad, h)
		}
		if g.turned++; g.turned > turnedMost && !g.over && g.out == 0 {
			return d.giveUp(g)
		}
	}
	return pass
}

func (d *Router) sound(h *host) {
	h.fault *= 1 - learnFault
	h.belief.ObserveSuccess(d.now)
	if h.streak++; h.left && (h.streak >= trialsPassed || h.belief.RecoveredSince(h.leftAt)) {
		h.left, h.wait, h.fault = false, 0, 0
		d.wire.Log(fmt.Sprintf("host %d trusted again", h.ID))
		d.tell(PeerUpdate{Host: h.ID})
	}
}

// fault counts a failure against a host; one that mostly fails is left.
func (d *Router) fault(h *host, weight float64) {
	h.fault += (1 - h.fault) * weight
	if h.left || h.fault >= faulty {
		d.leave(h)
	}
}

// leave stays away from a host, and tries it again with single GETs after a while that grows.
func (d *Router) leave(h *host) {
	if h.left && d.now < h.until {
		return
	}
	if !h.left {
		h.leftAt = d.now
		d.wire.Log(fmt.Sprintf("host %d left: it fails or is silent", h.ID))
	}
	h.left, h.streak = true, 0
	h.wait = math.Min(leaveMost, math.Max(leaveFor, 2*h.wait))
	h.until = d.now + h.wait*(1+leaveSpread*(d.chance(h)-0.5))
	d.tell(PeerUpdate{Host: h.ID, Ejected: true, Until: h.until, Backoff: h.wait})
}

// HandlePeerUpdate takes what another shard of the process has found out: a host that it left is left here too, a limit
// that fell falls. Guards against each shard finding out by forwards of its own.
func (d *Router) HandlePeerUpdate(now float64, n PeerUpdate) {
	d.now = now
	h := d.hosts[n.Host]
	l := map[LimitKind]*allowance{CacheLimit: &d.all, FillLimit: &d.fills, OriginLimit: &d.origins}[n.Limit]
	if h != nil && n.Limit == HostLimit {
		l = &h.under
	}
	switch {
	case l != nil && l.peak > 0: // one that nothing was under says nothing of how far to fall
		d.cut(l, n.LateShare)
	case n.Limit != NoLimit || h == nil:
	case n.Ejected:
		h.left, h.leftAt, h.streak = true, d.now, 0
		h.until, h.wait = math.Max(h.until, n.Until), math.Max(h.wait, n.Backoff)
	default:
		h.left, h.wait, h.fault, h.streak = false, 0, 0, 0
	}
}

// open tells whether a host may be sent work now, as a cache or as a source.
func (d *Router) open(h *host, work float64) bool {
	doubted := h.left || h.belief.Suspected() // for what is known of its group, or by its own fault
	if h.Phase != Ready || doubted && (h.left && d.now < h.until || h.out+h.fills > 0 || !d.mayTry(h)) {
		return false
	}
	pace, sharers := d.pace(h, work)
	if !h.cold {
		return true
	}
	longer, first, bears := d.OverloadWindow*(1+saved), 0.0, pace*d.OverloadWindow*sharers/coldPart/work
	add, most := pace*math.Max(0, d.now-h.credited), pace*d.OverloadWindow*saved*math.Max(1, float64(d.Shards))
	if d.OverloadWindow <= 0 || sharers <= bears*(1-coldPart)+2*math.Sqrt(bears)+2 { // what all save up is within chance
		most = math.Max(most, work)
	}
	switch part := longer / math.Max(1, math.Ceil(pace*longer/work)); {
	case most >= work && h.credited == 0:
		first = d.chance(h) * work
		h.credited, h.credit, add = d.now, first, 0
	case most >= work:
		h.credited = math.Max(d.now, h.credited)
	case d.now < h.credited: // what was drawn is kept for as long as a larger share would be
		return h.credit >= work && d.now < h.credited-part+d.OverloadWindow*saved
	default: // this look draws: so many dispatchers would save up one GET each in quiet, and send all at once
		h.credit, h.credited = 0, d.now+part
		if d.chance(h)*work >= pace*part {
			return false
		}
		add, most = work, work
	}
	return d.credit(h, first, add, most) >= work
}

// pace is the sending time a second that a cold host may be sent, and among how many it is shared. In the
// time of Fall they draw 1+saved times their shares at most, as a mean: 0.94 of what it bears.
func (d *Router) pace(h *host, work float64) (pace, sharers float64) {
	from, ramp, tip, rate := d.SlowStartInitial, d.SlowStartRamp, d.OverloadMultiple, d.warmCaches
	sharers = d.sharers(h.Zone)
	if h.Kind == d.ParentKind {
		from, ramp, tip, rate = d.ParentSlowStartInitial, d.ParentSlowStartRamp, d.ParentOverloadMultiple, d.warmParents
		sharers = d.sharers(len(d.DispatchersByZone)) // all
	}
	age := math.Max(0, d.now-h.OnlineSince)
	h.cold = h.cold && age < ramp && h.Kind != d.OriginKind
	if d.WeightsKnown {
		rate = h.Weight / sharers
	} else if rate == 0 {
		rate = math.Max(d.warm, work/d.OverloadWindow/sharers) // it can do one GET in a window at least
	}
	return (from + (1-from)*age/ramp) * rate * tip * coldPart, sharers
}

// warmRate is the mean sending time a second that warm hosts among these return to this dispatcher.
func (d *Router) warmRate(hosts []*host) float64 {
	var all learned
	for _, h := range hosts {
		if h.Phase == Ready && !h.cold && !h.left {
			all.add(h.taken.add(d.now, 0), 0)
		}
	}
	return all.mean / math.Max(bucketSpan, math.Min(d.now, buckets*bucketSpan))
}

// overdue is the time after which a forward without an answer raises suspicion.
func (d *Router) overdue(g *get) float64 {
	return math.Max(overdueLeast, overdueTimes*cmp.Or(g.ds.usual.mean, d.objective(g)/overdueTimes))
}

// late looks at a forward that is overdue: a host that has been silent since is left, and its GETs move on.
func (d *Router) late(g *get, f *forward) {
	if f.back || f.moot || g.over {
		return
	}
	h := f.host
	if h.heard > f.at && f.miss && f.source.Kind == d.ParentKind {
		h = f.source // the cache speaks, so it may wait for a silent parent
	}
	others := h.out + h.fills - 1 // one forward alone may be of a large object
	if d.NoteDetail == FillNotes {
		others = min(others, 1) // they may wait for a parent or the origin; a note will tell
	}
	if h.heard <= f.at {
		if h.silent += others; h.left || h.silent >= silentCount || h.belief.ObserveSilence(d.now) {
			d.leave(h)
		}
	}
	if !h.left || g.ds.Idempotency == NonIdempotent || !d.CanCancel {
		d.due.Put(&f.limit, d.now+d.overdue(g), event{(*Router).late, g, f})
		return
	}
	d.wire.Cancel(g.ID, f.number)
	f.moot = true
	g.bad = append(g.bad, h)
	if d.Hedging {
		d.again(g)
	}
}
