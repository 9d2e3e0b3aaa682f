// Package control decides, for each GET of one dispatcher, which cache host answers it and where a miss is
// filled from. It is pure: no I/O, clock or global. Settle ends the calls of one moment; answers go out by
// Wire. The design (docs/design.md) decides the ordinary path; what departs from it says so where it stands.
package control

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"elderwall/control/paces"
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

// Hosts takes in a list of hosts or changes to it.
func (d *Dispatcher) Hosts(now float64, form ListForm, entries []HostEntry) {
	d.now = now
	if form == FailedCall {
		// Only who asks for lists is told of this.
		d.due.Add(now+leaveFor, event{do: func(d *Dispatcher, _ *get, _ *forward) { d.wire.Subscribe() }})
		return
	}
	if form != Changes {
		for _, h := range d.hosts {
			h.Phase = Gone
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

func (d *Dispatcher) list(e HostEntry) {
	h := d.hosts[e.ID]
	if h == nil {
		h = &host{HostEntry: HostEntry{ID: e.ID, OnlineSince: math.Inf(-1)}, heard: d.now,
			under: allowance{name: HostLimit, host: e.ID, most: math.Inf(1)}}
		d.hosts[e.ID], d.fresh = h, append(d.fresh, h)
	}
	if h.Phase = e.Phase; e.Phase == Gone {
		return
	}
	since := h.OnlineSince
	if h.HostEntry = e; !e.OnlineSinceIsTold || e.OnlineSince <= since {
		h.OnlineSince = since
		return
	}
	h.cold, h.left, h.fault, h.streak, h.wait, h.makespan, h.credited = true, false, 0, 0, 0, 0, 0
}

// regroup tells which of the listed hosts may be used: the own zone's caches, all parents, a ready origin.
func (d *Dispatcher) regroup() {
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

// GET takes a client's GET; it is answered through the wire, now or later, exactly once.
func (d *Dispatcher) GET(now float64, in GET) {
	d.now = now
	g := &get{GET: in, ds: d.services[in.Service]}
	d.gets[in.ID] = g
	g.last = g.ViewerTimeout - math.Min(lastMoment, lastShare*(g.ViewerTimeout-now))
	d.due.Put(&g.timeout, g.last, event{func(d *Dispatcher, g *get, _ *forward) { d.giveUp(g) }, g, nil})
	d.beliefs.GET(now)
	d.count(g)
	d.run(g)
}

// Answer takes the end of a forward; false means that no such forward is out.
func (d *Dispatcher) Answer(now float64, a Answer) bool {
	d.now = now
	g := d.gets[a.GET]
	if g == nil || a.Forward < 0 || a.Forward >= len(g.forwards) || g.forwards[a.Forward].back {
		return false
	}
	f := g.forwards[a.Forward]
	f.answer, f.back = a, true
	for i := len(d.chain) - 1; i >= 0 && d.chain[i].back(g, f) == pass; i-- {
	}
	return true
}

// Streaming takes word that the answer to a forward has started: the client owns the GET from now on.
func (d *Dispatcher) Streaming(now float64, id uint32, number int) {
	d.now = now
	if g := d.gets[id]; g != nil && number >= 0 && number < len(g.forwards) {
		g.forwards[number].moot = d.end(g) == ended
	}
}

// Left takes word that a client has gone; its GET is over.
func (d *Dispatcher) Left(now float64, id uint32) {
	d.now = now
	if g := d.gets[id]; g != nil && !g.over {
		d.cancel(g)
		d.end(g)
	}
}

// Purged takes word of a purge of an object, or of a whole group where object is empty.
func (d *Dispatcher) Purged(now float64, object string, group int, age float64) {
	d.now = now
	name, at := purgeName(object, group), now-age
	d.purges[name] = math.Max(at, cmp.Or(d.purges[name], at))
	d.due.Add(at+d.OldCopies+tick, event{do: func(d *Dispatcher, _ *get, _ *forward) {
		if d.purges[name] <= at {
			delete(d.purges, name)
		}
	}})
}

// Timer takes the periodic timer.
func (d *Dispatcher) Timer(now float64) {
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

// Settle serves the line of further forwards, after all first ones of the moment.
func (d *Dispatcher) Settle(now float64) {
	d.now = now
	for _, g := range d.line() {
		if g.lined = false; !g.over {
			d.run(g)
		}
	}
}

// count bumps the object's count in the bounded, aged table.
func (d *Dispatcher) count(g *get) {
	g.item = d.items.touch(d.now, g.Object, g.Part, g.size())
	if told := d.sending(g); told > 0 {
		g.ds.sending.add(told, learnSize)
	}
	g.item.demand.add(d.now, g.size())
	d.total.add(d.now, g.size())
}

// copies is the number of caches that the object's byte rate gives it: one more by each even share.
func (d *Dispatcher) copies(g *get, ready int) int {
	rate := g.item.demand.add(d.now, 0)
	if rate < fewestCounts*g.size() {
		return 1
	}
	return 1 + int(rate*float64(ready)/d.total.add(d.now, 0))
}

// admit ends a GET that has no time or forward left, or that may have run and must not run again.
func (d *Dispatcher) admit(g *get) verdict {
	ran := g.firstRan()
	repeatable := ran == nil || g.ds.Effect == Idempotent ||
		g.ds.Effect == Tokened && d.now < ran.at+g.ds.RepeatWindow-tick
	spent := g.sent() >= d.MaxForwards || d.now >= g.last
	if !repeatable || spent || g.failed() && !d.retries.Spend(d.now) {
		return d.giveUp(g)
	}
	return pass
}

// finish ends a GET that was answered, and sends on one that was not.
func (d *Dispatcher) finish(g *get, f *forward) verdict {
	if f.answer.Last || f.answer.Outcome == Returned {
		d.cancel(g)
		return d.end(g)
	}
	if g.over || g.out > 0 {
		return ended
	}
	return d.again(g)
}

// giveUp answers a GET at once: shed where a repeat is harmless, errored elsewhere.
func (d *Dispatcher) giveUp(g *get) verdict {
	if g.over {
		return ended
	}
	ran := g.firstRan()
	d.cancel(g)
	if g.ds.Effect == Idempotent || ran == nil || g.ds.Effect == Tokened && g.ds.Scope == AllHosts {
		d.wire.Shed(g.ID, math.Min(d.MaxRetryAfter, g.ds.Objective*comeBack))
	} else {
		d.wire.Error(g.ID)
	}
	return d.end(g)
}

// cancel ends the wait for all forwards that are still out.
func (d *Dispatcher) cancel(g *get) {
	for _, f := range g.forwards {
		if !f.back && !f.moot && d.MayCancel {
			d.wire.Cancel(g.ID, f.number)
		}
		f.moot = true
	}
}

// grouped tells whether a host drops repeats of what may have run already.
func (g *get) grouped(h *host) bool {
	ran := g.firstRan()
	if ran == nil || g.ds.Effect == Idempotent || g.ds.Scope == AllHosts {
		return true
	}
	return h.Zone == ran.host.Zone && (g.ds.Scope == SameZone || h.Cell == ran.host.Cell)
}

// choose takes the least makespan among the object's caches: as many as its demand gives it, along the order
// that all routers share. It goes further along it only while all those are over the latency objective.
func (d *Dispatcher) choose(g *get) verdict {
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
func (d *Dispatcher) straight(g *get, full bool) verdict {
	if g.host = d.parent(g); !d.Straight || full || g.host == nil || !g.grouped(g.host) {
		return d.giveUp(g)
	}
	return pass
}

func (d *Dispatcher) objective(g *get) float64 {
	sending := cmp.Or(d.sending(g), d.expected(g), d.weigh(g))
	return math.Min(g.ds.Objective+g.ds.Stretch*sending, g.ds.ViewerTimeout)
}

// weigh is what a GET counts for in a budget: its delivery service's mean sending time.
func (d *Dispatcher) weigh(g *get) float64 {
	return cmp.Or(g.ds.sending.mean, g.ds.Objective*unknownSend)
}

// span is the design's makespan, drained by the clock; departing from it, what is answered is not waited for,
// and it is one learned time at least: a host that others crowd is slow with nothing of ours out at it.
func (d *Dispatcher) span(g *get, h *host) float64 {
	span, one := math.Max(0, h.makespan-(d.now-h.updated)), d.serving(h)
	if h.bandwidth(d) > 0 {
		return math.Max(span, float64(h.out)*one)
	}
	alone := cmp.Or(d.expected(g)*d.paces.Slow(d.now, &h.pace), one)
	return math.Max(math.Min(span, float64(h.out)*one), alone)
}

// serving is the learned time that one GET adds to a makespan; unheard caches count as average.
func (d *Dispatcher) serving(h *host) float64 {
	if h.serving.n > 0 {
		return h.belief.Shrink(d.now, h.serving.mean, h.serving.n, d.average)
	}
	return d.average
}

// judgeHost learns from an answer how fast and how sound its host is.
func (d *Dispatcher) judgeHost(g *get, f *forward) verdict {
	h, a := f.host, f.answer
	switch a.Outcome {
	case Returned:
		d.retries.Earn()
		h.taken.add(d.now, f.work)
		h.serving.add(a.Elapsed/math.Max(1, float64(f.crowd+h.out+1)/2), learnServing)
		g.ds.usual.add(a.Elapsed, learn)
		if d.sending(g) == 0 && (a.Note == Hit || d.Detail == Silent) && f.crowd <= uncrowded {
			// Crowding must not pass for size: the objective would grow with it, and nothing look late.
			g.ds.sending.add(math.Min(a.Elapsed, g.ds.Objective), learnSize)
		}
		g.item.holder, g.item.heldTo = h, d.now+buckets*bucketSpan
		if a.Note == Hit || d.Detail == Silent && !f.miss {
			d.judge(f, a.Elapsed > f.objective, f.under[:2])
		}
		d.sound(h)
		for _, o := range g.accused {
			d.fault(o, learnFault)
		}
	case HostError, Dropped, Unreached, Expired:
		switch {
		case sourceFault(a.Note) || a.Outcome == Expired && h.heard > f.at:
		case a.Outcome == HostError && g.ds.Effect == Idempotent: // no host can use some GETs: others tell
			g.accused = append(g.accused, h)
		case a.Outcome == HostError || a.Outcome == Dropped: // connections break at sound hosts too
			d.fault(h, learnFault)
		default:
			d.fault(h, h.belief.Loss(d.now, learnLost, faulty))
		}
		if a.Outcome != Dropped || g.ds.Effect != Idempotent || g.asked(h) > 1 { // it may hold the object
			g.bad = append(g.bad, h)
		}
	case NotTaken, Empty:
		if !sourceFault(a.Note) && !(a.Outcome == Empty && f.source != h) {
			g.bad = append(g.bad, h)
		}
		if g.turned++; g.turned > turnedMost && !g.over && g.out == 0 {
			return d.giveUp(g)
		}
	}
	return pass
}

func (d *Dispatcher) sound(h *host) {
	h.fault *= 1 - learnFault
	h.belief.Heard(d.now)
	if h.streak++; h.left && (h.streak >= trialsPassed || h.belief.Vouched(h.leftAt)) {
		h.left, h.wait, h.fault = false, 0, 0
		d.wire.Log(fmt.Sprintf("host %d trusted again", h.ID))
		d.tell(News{Host: h.ID})
	}
}

// fault counts a failure against a host; one that mostly fails is left.
func (d *Dispatcher) fault(h *host, weight float64) {
	h.fault += (1 - h.fault) * weight
	if h.left || h.fault >= faulty {
		d.leave(h)
	}
}

// leave stays away from a host, and tries it again with single GETs after a while that grows.
func (d *Dispatcher) leave(h *host) {
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
	d.tell(News{Host: h.ID, Left: true, Until: h.until, Wait: h.wait})
}

// Told takes what another shard of the process has found out: a host that it left is left here too, a limit
// that fell falls. Guards against each shard finding out by forwards of its own.
func (d *Dispatcher) Told(now float64, n News) {
	d.now = now
	h := d.hosts[n.Host]
	l := map[Limit]*allowance{AllLimit: &d.all, FillLimit: &d.fills, OriginLimit: &d.origins}[n.Limit]
	if h != nil && n.Limit == HostLimit {
		l = &h.under
	}
	switch {
	case l != nil && l.peak > 0: // one that nothing was under says nothing of how far to fall
		d.cut(l, n.Late)
	case n.Limit != NoLimit || h == nil:
	case n.Left:
		h.left, h.leftAt, h.streak = true, d.now, 0
		h.until, h.wait = math.Max(h.until, n.Until), math.Max(h.wait, n.Wait)
	default:
		h.left, h.wait, h.fault, h.streak = false, 0, 0, 0
	}
}

// open tells whether a host may be sent work now, as a cache or as a source.
func (d *Dispatcher) open(h *host, work float64) bool {
	doubted := h.left || h.belief.Doubted() // for what is known of its group, or by its own fault
	if h.Phase != Ready || doubted && (h.left && d.now < h.until || h.out+h.fills > 0 || !d.mayTry(h)) {
		return false
	}
	pace := d.pace(h, work)
	if !h.cold {
		return true
	}
	first := 0.0
	if h.credited == 0 {
		first = d.chance(h) * work
		h.credited, h.credit = d.now, first
	}
	add, most := pace*(d.now-h.credited), math.Max(work, pace*d.Fall*saved*math.Max(1, float64(d.Shards)))
	if h.credited = d.now; d.Peers != nil { // one pot for all shards: each with its own could send a GET at once
		h.credit = d.Peers.Credit(h.ID, h.OnlineSince, first, add, most)
	} else {
		h.credit = math.Min(h.credit+add, most)
	}
	return h.credit >= work
}

// mayTry tells whether a trial is left for a host, and none of the other shards tries it.
func (d *Dispatcher) mayTry(h *host) bool {
	return h.belief.MayTry() && (d.Peers == nil || d.Peers.Trial(d.now, h.ID))
}

// spend takes a GET out of what all shards may send to a cold host; false tells that another was faster.
func (d *Dispatcher) spend(h *host, work float64) bool {
	return d.Peers == nil || !h.cold || d.Peers.Spend(h.ID, work)
}

// pace is the sending time a second that a cold host may be sent; too little for a GET is saved up, from a
// chance part of one on. Guards against many dispatchers that send one GET each right after a start.
func (d *Dispatcher) pace(h *host, work float64) float64 {
	from, ramp, tip, rate, sharers := d.ColdFrom, d.RampTime, d.TipMultiple, d.warmCaches, d.sharers(h.Zone)
	if h.Kind == d.ParentKind {
		from, ramp, tip, rate = d.ParentColdFrom, d.ParentRamp, d.ParentTip, d.warmParents
		sharers = d.sharers(len(d.Seats)) // all
	}
	age := math.Max(0, d.now-h.OnlineSince)
	h.cold = h.cold && age < ramp && h.Kind != d.OriginKind
	if !h.cold {
		return 0
	}
	if d.WeightsTold {
		rate = h.Weight / sharers
	} else if rate == 0 {
		rate = math.Max(d.warm, work/d.Fall/sharers) // it can do one GET in a window at least
	}
	return (from + (1-from)*age/ramp) * rate * tip * coldPart
}

// warmRate is the mean sending time a second that warm hosts among these return to this dispatcher.
func (d *Dispatcher) warmRate(hosts []*host) float64 {
	var all learned
	for _, h := range hosts {
		if h.Phase == Ready && !h.cold && !h.left {
			all.add(h.taken.add(d.now, 0), 0)
		}
	}
	return all.mean / math.Max(bucketSpan, math.Min(d.now, buckets*bucketSpan))
}

// fill names the source of a miss: the object's parent, the next one, or the origin. While fills are at their
// limit a GET only looks whether the cache holds the object, and is shed if not.
func (d *Dispatcher) fill(g *get) verdict {
	g.source, g.heldOnly = g.host, false
	if g.host == d.origin && !d.origins.allowed() {
		return d.giveUp(g)
	}
	if g.host == d.origin || g.host.Kind == d.ParentKind {
		return pass
	}
	work, share := d.weigh(g)/d.favour(g), d.paces.Share(d.now)
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
func (d *Dispatcher) favour(g *get) float64 {
	share := 1.0
	for _, ds := range d.services {
		if ds.Revenue*d.weigh(g) < g.ds.Revenue*ds.sending.mean {
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
func (d *Dispatcher) parent(g *get) *host {
	home, other, work, slow := (*host)(nil), (*host)(nil), d.weigh(g), 0.0
	d.parentOrder.Walk(g.item.objectHash, &g.item.parents, 0, func(h *host) bool {
		switch {
		case slices.Contains(g.bad, h) || !d.open(h, work) || !h.under.allowed():
		case home == nil:
			home, slow = h, d.paces.Slow(d.now, &h.pace)
			return !h.under.room(work) || slow > paces.Crowded
		case h.under.room(work) && (h.under.most > clearlyMore*home.under.most ||
			slow > paces.Crowded && d.paces.Slow(d.now, &h.pace) < slow*spareUnder):
			other = h
			return false
		}
		return true
	})
	return cmp.Or(other, home, d.origin)
}

// judgeFill learns how sound the source of a fill is, and what the way in bears. An origin that fails behind
// parents is left like any host: many dispatchers' fast failures, which no limit bounds, would keep it down.
func (d *Dispatcher) judgeFill(g *get, f *forward) verdict {
	a, n, o := f.answer, f.answer.Note, f.answer.Outcome
	d.paced(g, f) // first: what is late is laid on what this answer tells of, too
	if f.source == f.host {
		if a.Outcome == Empty && !g.over {
			g.looked = true
			return d.again(g)
		}
		return pass
	}
	g.lacked, g.looked = f.heldOnly && a.Outcome == Empty, g.looked || sourceFault(n)
	// Its client took it back early, or one of many hosts was silent: no sign of slow fills.
	early := a.Outcome == Revoked && (g.over && a.Elapsed <= f.objective || f.host.left && f.host.belief != nil)
	if !early && o != Recalled && (n == Filled || n == FilledByOrigin || o == Revoked && f.miss ||
		n >= SourceRefused && n != SourceLacks || d.Detail != Full && (f.miss && n != Hit || o == NotTaken)) {
		limits := f.judgedBy()
		if n == FilledByOrigin || n == OriginFailed {
			limits = []*allowance{&d.origins}
		} else if n == SourceFailed {
			limits = f.fill[:1] // tells of the source alone
		}
		late := a.Outcome != Returned || a.Elapsed > f.objective || a.Crowding > crowded
		d.judge(f, late, d.blamed(f, late, limits))
	}
	switch {
	case a.Outcome == Returned && n != Hit && n != Joined && n != Aged:
		f.source.taken.add(d.now, f.work)
		if f.source.hear(d.now); d.Detail == Full || f.miss {
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
	if n == FilledByOrigin && a.Outcome == Returned && d.origin != nil && f.source != d.origin {
		d.sound(d.origin)
	}
	return pass
}

// sourceFault tells whether a note lays a failure on the source of a fill, not on the host that tells of it.
func sourceFault(n Note) bool {
	return n == SourceRefused || n == SourceFailed || n == SourceLacks || n == OriginFailed
}

// room tells whether more may go; where nothing is under way something always may, or nothing is learned.
func (l *allowance) room(work float64) bool {
	room := (l.held == 0 || l.out+work <= l.most) && l.allowed()
	l.full = l.full || !room
	return room
}

// judge moves the limit of what may be out to a cache, to all, or as fills: up when it comes back in time,
// down when not. It guards against collapse whatever the cause; it could shed where fewer are not faster.
func (d *Dispatcher) judge(f *forward, late bool, limits []*allowance) {
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
func (d *Dispatcher) move(l *allowance, work float64, late bool) {
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
		d.tell(News{Host: l.host, Limit: l.name, Late: share})
		return
	case l.out > l.most*inUse || l.full && l.most <= few: // a limit at its least is never half in use
		if l.most *= growth; l.known == 0 || l.most < l.known { // never cut, or borne before
			l.most *= regrowth / growth
		}
	}
	d.turn(l)
}

// least is the sending time that a limit always leaves room for.
func (d *Dispatcher) least() (least float64) {
	for _, ds := range d.services {
		least = math.Max(least, leastUnder*ds.sending.mean)
	}
	return least
}

// cut lets a limit fall by the share that came late, and begins a turn.
func (d *Dispatcher) cut(l *allowance, share float64) {
	l.known = math.Max(l.known/growth, math.Min(l.most, l.peak)/regrowth)
	l.most = math.Max(d.least(), math.Min(l.most, l.peak)*(1-lateCut*share))
	d.turn(l)
}

func (d *Dispatcher) turn(l *allowance) {
	l.turn, l.start, l.seen, l.late, l.peak, l.full = d.now, l.out, 0, 0, l.out, false
}

// send hands the GET to its host and counts it there.
func (d *Dispatcher) send(g *get) verdict {
	h, s := g.host, g.source
	if !d.spend(h, d.weigh(g)) || s != h && !d.spend(s, d.weigh(g)) {
		return d.again(g)
	}
	h.tried()
	s.tried()
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
	if f.heldOnly = g.heldOnly; f.miss && d.Detail == Full && !f.heldOnly || d.needs(f) {
		f.under = append(f.under, &d.origins)
		f.judges = f.under[len(f.under)-1:]
	}
	for _, l := range f.under {
		l.add(f.work)
	}
	d.due.Put(&f.objectiveIn, d.now+f.objective, event{(*Dispatcher).passed, g, f})
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
	d.due.Put(&f.limit, d.now+d.overdue(g), event{(*Dispatcher).late, g, f})
	d.wire.Forward(Forward{GET: g.ID, Host: h.ID, Source: s.ID, MaxAge: d.maxAge(g), Join: d.Joins,
		Rank: map[bool]int{false: 1, true: 2}[g.item.again], Renew: g.ds.FreshFor > 0, HeldOnly: f.heldOnly})
	return kept
}

// passed judges a forward whose latency objective has passed.
func (d *Dispatcher) passed(g *get, f *forward) {
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
func (d *Dispatcher) blamed(f *forward, late bool, limits []*allowance) []*allowance {
	l, blame := &d.fills, d.paces.Blame(d.now, &f.source.pace)
	switch {
	case !f.miss:
	case !late && l.full && d.paces.Spare(d.now): // it grows back as it fell, with each fill
		l.most += f.work * math.Min(1, l.known/l.most)
	case blame == paces.Source:
		return f.fill[:1]
	case blame == paces.WayIn && f.at >= l.turn:
		d.cut(l, d.paces.Excess(d.now)/lateCut)
		fallthrough
	case blame == paces.WayIn:
		return f.fill[1:]
	}
	return limits
}

// maxAge is the oldest copy that will do after the purges of the object and its group; 0 for any fresh one.
func (d *Dispatcher) maxAge(g *get) float64 {
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

// overdue is the time after which a forward without an answer raises suspicion.
func (d *Dispatcher) overdue(g *get) float64 {
	return math.Max(overdueLeast, overdueTimes*cmp.Or(g.ds.usual.mean, d.objective(g)/overdueTimes))
}

// late looks at a forward that is overdue: a host that has been silent since is left, and its GETs move on.
func (d *Dispatcher) late(g *get, f *forward) {
	if f.back || f.moot || g.over {
		return
	}
	h := f.host
	if h.heard > f.at && f.miss && f.source.Kind == d.ParentKind {
		h = f.source // the cache speaks, so it may wait for a silent parent
	}
	others := h.out + h.fills - 1 // one forward alone may be of a large object
	if d.Detail == Full {
		others = min(others, 1) // they may wait for a parent or the origin; a note will tell
	}
	if h.heard <= f.at {
		if h.silent += others; h.left || h.silent >= silentCount || h.belief.Silent(d.now) {
			d.leave(h)
		}
	}
	if !h.left || g.ds.Effect == NonIdempotent || !d.MayCancel {
		d.due.Put(&f.limit, d.now+d.overdue(g), event{(*Dispatcher).late, g, f})
		return
	}
	d.wire.Cancel(g.ID, f.number)
	f.moot = true
	g.bad = append(g.bad, h)
	if d.SecondCopies {
		d.again(g)
	}
}

// release takes a forward that came back off what its host and source hold.
func (d *Dispatcher) release(g *get, f *forward) verdict {
	d.due.Remove(&f.limit)
	d.due.Remove(&f.objectiveIn)
	f.ran = f.answer.Outcome < NotTaken
	g.out--
	f.host.out--
	for _, l := range f.under {
		l.drop(f.work)
	}
	if o := f.answer.Outcome; o != Revoked && o != Unused && o != Expired && o != Recalled {
		f.host.hear(d.now)
	}
	if f.source != f.host {
		f.source.fills--
	}
	d.forget(g)
	return pass
}
