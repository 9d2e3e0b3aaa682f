// Package routing decides, for each GET of one dispatcher, which cache host answers it and where a miss is
// filled from. It is pure: no I/O, clock or global. Settle ends the calls of one moment; answers go out by
// Wire. The design (docs/design.md) decides the ordinary path; what departs from it says so where it stands.
package routing

import (
	"cmp"
	"math"
	"slices"
)

const (
	bucketSpan   = 2.0     // s; the design's: one bucket of the count table
	buckets      = 5       // count; the design's: 5 buckets of 2 s are its window of 10 s
	tableSize    = 1 << 15 // objects; bounds the count table to a few MB
	fewestCounts = 6       // GETs; below so many a count says nothing, and the object keeps one cache
	tick         = 0.010   // s; the periodic timer, finer than any latency objective in use
	lookEach     = 1e-5    // s by host between looks over all: each takes 70 ns a host, so under 1% of a core
	lastMoment   = 0.050   // s; answers this long before the viewer timeout: a tick, and a delayed ack (0.04 s)
	lastShare    = 0.25    // share of a GET's time, for those that have so little that lastMoment is much of it
	learn        = 0.1     // share; weight of one answer in a learned time: about the last ten count
	learnServing = 0.2     // share; the same for a serving time: about five, as a dispatcher sees few a host
	learnSize    = 0.002   // share; weight of one GET in a mean sending time: sizes vary, so hundreds count
	uncrowded    = 1       // forwards out beside one whose time still tells of its size
	unknownSend  = 0.5     // share of the latency objective taken for a sending time before any is known
	learnFault   = 0.25    // share; weight of one outcome in a fault rate: three faults in a row pass half
	learnLost    = 0.4375  // share; the same for one that a host never got or never answered: two in a row
	faulty       = 0.5     // share; a host that faults more often than not is left
	leastAge     = 1e-6    // s; the least age that can be asked for: none would mean any
	overdueTimes = 3.0     // multiple of the usual time after which a forward is overdue
	overdueLeast = 0.25    // s; below this jitter and handshakes look like silence
	silentCount  = 3       // overdue forwards at a silent host, not alone there: fewer may be large objects
	leaveFor     = 1.0     // s; first stay away from a host that was left, doubled each time a trial fails
	leaveSpread  = 0.5     // share of the stay by which chance spreads it: dispatchers should not try at once
	leaveMost    = 8.0     // s; longest stay away, so that a host that came back is found
	trialsPassed = 3       // answers in a row after which a host on trial is trusted again
	coldPart     = 0.75    // share of the budget that a cold host is sent: the rest is for chance and error
	saved        = 0.25    // share of a cold host's window that may be saved up: with coldPart under one
	clearlyMore  = 4.0     // multiple of the own parent's limit that makes the next one the better
	comeBack     = 0.25    // share of the latency objective after which a shed GET may come back in time
	sample       = 64      // caches of an object that are looked at for one GET
	spareUnder   = 0.5     // share of the least makespan under which a cache not the object's is worth a miss
	turnedMost   = 1       // times; a GET turned away more often finds all ways full
	lateShare    = 0.1     // share of a turn's GETs that came late or not at all above which their limit falls
	oneCrowded   = 0.15    // share; so many more must be late for the limit on all caches, as one may be crowded
	lateEnough   = 0.25    // share of a turn's worth that came late after which its rest is not waited for
	lateCut      = 0.7     // share of the limit that falls when all of a turn are late; less in proportion
	opening      = 16.0    // GETs; fills out at first a cache of its share: fewer shed in calm, more come late
	growth       = 1.25    // multiple of the limit after a turn in time: doubled in about three turns
	inUse        = 0.5     // share of a limit that must be under way for a turn in time to say it is too low
	regrowth     = 2.0     // the same up to what was borne before late cuts, less by this: troubles pass
	leastUnder   = 2.0     // GETs of the largest delivery service that a limit always leaves room for
	leastTurn    = 2.0     // multiple of that which a turn must see end, or chance would move the limit
	crowded      = 2.0     // transfers on the way in over those that fit at full pace: fills halve theirs
	favoured     = 3.0     // multiple of a limit open to delivery services that earn more for their sending time
	newcomer     = 0.5     // multiple of it open to objects not asked for before
)

// UpdateEndpoints takes in a list of hosts or changes to it.
func (d *Router) UpdateEndpoints(now float64, form ListKind, entries []Endpoint) {
	d.now = now
	if form == ListFailed {
		// Only who asks for lists is told of this.
		d.due.Add(now+leaveFor, event{do: func(d *Router, _ *get, _ *forward) { d.wire.PollEndpoints() }})
		return
	}
	if form != ListChanges {
		for _, h := range d.hosts {
			h.Phase = Removed
		}
	}
	for _, e := range entries {
		d.list(e)
	}
	d.regroup()
	if math.IsInf(d.fills.most, 1) && len(d.caches) > 0 && len(d.services) > 0 {
		// Guards against a first second with no limit, which few answers a dispatcher would close late.
		ds := slices.MaxFunc(d.services, func(a, b *service) int { return cmp.Compare(a.Objective, b.Objective) })
		d.fills.most = opening * float64(len(d.caches)) / d.sharers(d.Zone) * ds.Objective * unknownSend
	}
}

func (d *Router) list(e Endpoint) {
	h := d.hosts[e.ID]
	if h == nil {
		h = &host{
			Endpoint: Endpoint{ID: e.ID, OnlineSince: math.Inf(-1)}, heard: d.now,
			under: allowance{name: HostLimit, host: e.ID, most: math.Inf(1)},
		}
		d.hosts[e.ID], d.fresh = h, append(d.fresh, h)
	}
	if h.Phase = e.Phase; e.Phase == Removed {
		return
	}
	since := h.OnlineSince
	if h.Endpoint = e; !e.OnlineSinceKnown || e.OnlineSince <= since {
		h.OnlineSince = since
		return
	}
	h.cold, h.left, h.fault, h.streak, h.wait, h.makespan, h.credit, h.credited = true, false, 0, 0, 0, 0, 0, 0
}

// regroup tells which of the listed hosts may be used: the own zone's caches, all parents, a ready origin.
func (d *Router) regroup() {
	before := d.caches
	d.caches, d.parents, d.origin, d.ready = nil, nil, nil, 0
	for _, h := range d.listed() {
		switch {
		case h.Kind == d.OriginKind && h.Phase == Ready:
			d.origin = h
		case h.Kind == d.ParentKind:
			d.parents = append(d.parents, h)
		case h.Kind != d.OriginKind && h.Zone == d.Zone:
			d.caches = append(d.caches, h)
			if h.Phase == Ready {
				d.ready++
			}
		}
	}
	d.place(before)
}

// HandleRequest takes a client's GET; it is answered through the wire, now or later, exactly once.
func (d *Router) HandleRequest(now float64, in Request) {
	d.now = now
	g := &get{Request: in, ds: d.services[in.Service]}
	d.gets[in.ID] = g
	g.last = g.Deadline - math.Min(lastMoment, lastShare*(g.Deadline-now))
	d.due.Put(&g.timeout, g.last, event{func(d *Router, g *get, _ *forward) { d.giveUp(g) }, g, nil})
	d.beliefs.CountRequest(now)
	d.count(g)
	d.run(g)
}

// HandleResult takes the end of a forward; false means that no such forward is out.
func (d *Router) HandleResult(now float64, a AttemptResult) bool {
	d.now = now
	g := d.gets[a.RequestID]
	if g == nil || a.Attempt < 0 || a.Attempt >= len(g.forwards) || g.forwards[a.Attempt].back {
		return false
	}
	f := g.forwards[a.Attempt]
	f.answer, f.back = a, true
	for i := len(d.chain) - 1; i >= 0 && d.chain[i].back(g, f) == pass; i-- {
	}
	return true
}

// HandleStreaming takes word that the answer to a forward has started: the client owns the GET from now on.
func (d *Router) HandleStreaming(now float64, id uint32, number int) {
	d.now = now
	if g := d.gets[id]; g != nil && number >= 0 && number < len(g.forwards) {
		g.forwards[number].moot = d.end(g) == ended
	}
}

// HandleClientGone takes word that a client has gone; its GET is over.
func (d *Router) HandleClientGone(now float64, id uint32) {
	d.now = now
	if g := d.gets[id]; g != nil && !g.over {
		d.cancel(g)
		d.end(g)
	}
}

// HandlePurge takes word of a purge of an object, or of a whole group where object is empty.
func (d *Router) HandlePurge(now float64, object string, group int, age float64) {
	d.now = now
	name, at := purgeName(object, group), now-age
	d.purges[name] = math.Max(at, cmp.Or(d.purges[name], at))
	d.due.Add(at+d.PurgeGrace+tick, event{do: func(d *Router, _ *get, _ *forward) {
		if d.purges[name] <= at {
			delete(d.purges, name)
		}
	}})
}

// HandleTimer takes the periodic timer.
func (d *Router) HandleTimer(now float64) {
	d.now = now
	d.wire.Schedule(tick, "tick")
	for e, ok := d.due.Pop(now); ok; e, ok = d.due.Pop(now) {
		e.do(d, e.g, e.f)
	}
	if hosts := float64(len(d.caches) + len(d.parents)); now >= d.looked+hosts*lookEach {
		d.looked = now
		d.learnAll()
	}
}

// RunRetries serves the line of further forwards, after all first ones of the moment.
func (d *Router) RunRetries(now float64) {
	d.now = now
	for _, g := range d.line() {
		if g.lined = false; !g.over {
			d.run(g)
		}
	}
}

// send hands the GET to its host and counts it there.
func (d *Router) send(g *get) verdict {
	h, s := g.host, g.source
	if !d.spend(h, d.weigh(g)) || s != h && !d.spend(s, d.weigh(g)) {
		return d.again(g)
	}
	h.tried()
	s.tried()
	before := math.Min(g.repeatableUntil()-tick, g.last) // a host would drop unheard what has less time
	f := g.newForward()
	f.host, f.source, f.at, f.work, f.crowd, f.objective = h, s, d.now, d.weigh(g), h.out, d.objective(g)
	held := g.item.holder == h && d.now < g.item.heldTo && !g.looked
	f.miss = s != h && !held
	f.under, f.fill = append(f.underOf[:0], &h.under, &d.all), append(f.fillOf[:0], &s.under, &d.fills)
	if s != h {
		f.under = append(f.under, &s.under)
		s.fills++
		s.credit -= f.work
	}
	f.judges = f.under[:2]
	if f.miss {
		f.under, f.judges = append(f.under, &d.fills), f.fill
	}
	if f.heldOnly = g.heldOnly; f.miss && d.NoteDetail == FillNotes && !f.heldOnly || d.needs(f) {
		f.under = append(f.under, &d.origins)
		f.judges = f.under[len(f.under)-1:]
	}
	for _, l := range f.under {
		l.add(f.work)
	}
	d.due.Put(&f.objectiveIn, d.now+f.objective, event{(*Router).passed, g, f})
	g.out++
	if h.out == 0 {
		h.hear(d.now)
	}
	added := d.serving(h)
	if h.bandwidth(d) > 0 {
		added = g.SizeKB / h.bandwidth(d)
	}
	h.makespan, h.updated = math.Max(0, h.makespan-(d.now-h.updated))+added, d.now
	h.out++
	h.credit -= f.work
	d.due.Put(&f.limit, d.now+d.overdue(g), event{(*Router).late, g, f})
	d.wire.Forward(Attempt{
		RequestID: g.ID, Host: h.ID, Source: s.ID, MaxAge: d.maxAge(g), Coalesce: d.CoalesceFills,
		CachePriority: map[bool]int{false: 1, true: 2}[g.item.again], Revalidate: g.ds.TTL > 0, CachedOnly: f.heldOnly,
		SendBy: before,
	})
	return kept
}

// maxAge is the oldest copy that will do after the purges of the object and its group; 0 for any fresh one.
func (d *Router) maxAge(g *get) float64 {
	age := 0.0
	if len(d.purges) == 0 {
		return age
	}
	for _, name := range []string{purgeName(g.Object, g.Group), purgeName("", g.Group)} {
		if at, purged := d.purges[name]; purged && (age == 0 || d.now-at < age) {
			age = math.Max(leastAge, d.now-at)
		}
	}
	return age
}

// release takes a forward that came back off what its host and source hold.
func (d *Router) release(g *get, f *forward) verdict {
	d.due.Remove(&f.limit)
	d.due.Remove(&f.objectiveIn)
	f.ran = f.answer.Outcome < Rejected
	g.out--
	f.host.out--
	for _, l := range f.under {
		l.drop(f.work)
	}
	if o := f.answer.Outcome; o != Canceled && o != ArrivedLate && o != TimedOut && o != Withdrawn {
		f.host.hear(d.now)
	}
	if f.source != f.host {
		f.source.fills--
	}
	d.forget(g)
	return pass
}
