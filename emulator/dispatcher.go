package emulator

import (
	"maps"
	"slices"

	"elderwall/core/routing"
	"elderwall/core/timerwheel"
)

// dispatcher is one module, or one of several that a dispatcher has, with what an adapter keeps for it.
type dispatcher struct {
	*world
	module *routing.Router
	gets   map[uint32]*get
	lastID uint32
	ended  []routing.AttemptResult
	used   map[*host]float64 // when something last came from a host: a connection is up
	told   map[*host]float64 // since when it knows that a host drains
	index  int
	group  *group
	dead   bool
	timer  *timerwheel.Timer[func()]
}

// get is a GET of a client.
type get struct {
	d        *dispatcher
	id       uint32
	object   *object
	from     float64
	again    int
	forwards []*forward
	out      int
	answers  int
	expiry   *timerwheel.Timer[func()]
}

// forward is one that went to a host.
type forward struct {
	out           routing.Attempt
	get           *get
	number        int
	at            float64
	host, source  *host
	back, stopped bool
	arrived       bool
	flow          *flow // of its own, or that fills for it; nil for none
	fills         bool  // that one
	waited        float64
}

// begins is the first byte of a fill for it at its cache: bytes are passed on as they come.
func (f *forward) begins(at *host, pipes []*pipe, done func()) {
	w := f.get.d.world
	f.waited = w.now - f.at
	if at.kind != 0 { // the origin's bytes come to a parent by a link of their own
		pipes = []*pipe{w.origin.out}
	}
	f.flow, f.fills = w.carry(f.get.object.kb, done, pipes...), true
}

// stop has a host drop what nobody waits for any more.
func (f *forward) stop() {
	f.stopped = true
	o := f.get.object
	if f.flow == nil || f.fills && len(f.host.filling[o]) > 1 {
		return
	}
	if f.flow.halt(); f.fills {
		delete(f.host.filling, o)
	}
}

var _ routing.Actions = (*dispatcher)(nil)

func newDispatcher(w *world, index int, together *group) *dispatcher {
	d := &dispatcher{world: w, index: index, group: together}
	together.members = append(together.members, d)
	d.begin()
	return d
}

// zone is the location that a dispatcher stands in.
func (w *world) zone(dispatcher int) int { return dispatcher / w.Shards * w.Zones / w.Dispatchers }

// kill ends it with all that it holds; hosts hear of that by its connections.
func (d *dispatcher) kill() {
	d.dead = true
	d.events.Remove(d.timer)
	for _, id := range slices.Sorted(maps.Keys(d.gets)) {
		g := d.gets[id]
		d.events.Remove(g.expiry)
		if g.answers == 0 {
			g.answers++
			d.world.out.tally(d.world).Died++
			d.comeAgain(g, 0)
		}
		for _, f := range g.forwards {
			if !f.back {
				f.back = true
				f.stop()
			}
		}
	}
	d.gets = nil
}

// begin starts it, knowing nothing but its settings and the list.
func (d *dispatcher) begin() {
	w := d.world
	d.dead, d.gets, d.used, d.told = false, map[uint32]*get{}, map[*host]float64{}, map[*host]float64{}
	var common routing.ShardPeers
	if w.Shards > 1 {
		common = &peers{d.group, d, len(d.group.members) - 1}
	}
	seats := make([]int, w.Zones)
	for i := range w.Dispatchers {
		seats[w.zone(i*w.Shards)]++
	}
	d.module = routing.New(routing.Settings{
		Index: d.index, Dispatchers: w.Dispatchers, Seed: w.Seed, Zone: w.zone(d.index), DispatchersByZone: seats,
		Services:   []routing.DeliveryService{{Objective: w.Objective, ViewerTimeout: w.ViewerTimeout, PriorityWeight: 1, Idempotency: routing.Idempotent}},
		ParentKind: 1, OriginKind: 2, BypassCaches: true, CoalesceFills: true, NoteDetail: routing.FillNotes, MaxAttempts: w.MaxForwards, CanCancel: true,
		Hedging: true, MaxRetryAfter: 1, SlowStartInitial: coldFrom, SlowStartRamp: ramp, OverloadMultiple: tip, OverloadWindow: fall,
		ParentSlowStartInitial: coldFrom, ParentSlowStartRamp: ramp, ParentOverloadMultiple: tip, PurgeGrace: oldCopies, Retries: w.Retries, Shards: w.Shards, Peers: common,
	}, w.now, d)
	var entries []routing.Endpoint
	for _, h := range w.hosts {
		entries = append(entries, h.entry())
	}
	d.list(routing.ListComplete, entries, nil)
	for _, o := range w.items {
		if o.purged > 0 && w.now < o.purged+oldCopies {
			d.module.HandlePurge(w.now, o.name, 0, w.now-o.purged)
		}
	}
}

// list tells the module of hosts.
func (d *dispatcher) list(form routing.ListKind, entries []routing.Endpoint, hosts []*host) {
	if d.dead {
		return
	}
	for i, h := range hosts {
		if entries[i].Phase != routing.Ready && d.told[h] == 0 {
			d.told[h] = d.now
		}
	}
	d.step(func(now float64) { d.module.UpdateEndpoints(now, form, entries) })
}

// step makes one call on the module, tells it what ended by the way, and lets it settle.
func (d *dispatcher) step(what func(now float64)) {
	what(d.now)
	d.module.RunRetries(d.now)
	for len(d.ended) > 0 {
		ended := d.ended
		d.ended = nil
		for _, a := range ended {
			d.module.HandleResult(d.now, a)
		}
		d.module.RunRetries(d.now)
	}
}

// take takes a GET in.
func (d *dispatcher) take(o *object, again int) {
	for d.lastID++; d.gets[d.lastID] != nil; d.lastID++ {
	}
	g := &get{d: d, id: d.lastID, object: o, from: d.now, again: again}
	d.gets[g.id] = g
	if t := d.out.tally(d.world); again == 0 {
		t.GETs++
	} else {
		t.Again++
	}
	g.expiry = d.at(d.now+d.ViewerTimeout, func() { d.expire(g) })
	d.step(func(now float64) {
		d.module.HandleRequest(now, routing.Request{ID: g.id, Object: o.name, Deadline: now + d.ViewerTimeout})
	})
}

// expire is the moment at which a client leaves: by then its GET must have been answered.
func (d *dispatcher) expire(g *get) {
	if g.answers == 0 {
		d.out.Broken["a GET had no answer in time"]++
		g.answers++
	}
	d.step(func(now float64) {
		d.module.HandleClientGone(now, g.id)
		for _, f := range g.forwards {
			if !f.back {
				f.stop()
				d.back(f, routing.TimedOut, routing.NoNote)
			}
		}
	})
}

// back books the end of a forward.
func (d *dispatcher) back(f *forward, outcome routing.Outcome, note routing.Note) {
	if f.back {
		return
	}
	f.back = true
	f.get.out--
	a := routing.AttemptResult{
		RequestID: f.get.id, Attempt: f.number, Outcome: outcome, Note: note, Elapsed: d.now - f.at,
		Final: f.get.answers > 0 || outcome == routing.Succeeded,
	}
	if outcome == routing.Succeeded && d.Tells {
		a.SizeKB, a.FillWait = f.get.object.kb, f.waited
	}
	d.ended = append(d.ended, a)
	if outcome != routing.Succeeded {
		d.world.out.tally(d.world).Wasted++
	}
	d.forget(f.get)
}

func (d *dispatcher) forget(g *get) {
	if g.answers > 0 && g.out == 0 {
		d.events.Remove(g.expiry)
		delete(d.gets, g.id)
	}
}

// answer has a host's answer on its way to the dispatcher.
func (f *forward) answer(outcome routing.Outcome, note routing.Note, fetched float64) {
	d := f.get.d
	if f.stopped {
		return
	}
	d.at(d.now+d.link(), func() {
		if f.back || f.host.down {
			return
		}
		d.used[f.host] = d.now
		d.step(func(float64) {
			if outcome == routing.Succeeded && f.get.answers == 0 {
				f.get.answers++
				d.returned(f, note, fetched)
			}
			d.back(f, outcome, note)
		})
	})
}

// returned is what the client gets.
func (d *dispatcher) returned(f *forward, note routing.Note, fetched float64) {
	t, o := d.out.tally(d.world), f.get.object
	took := d.now - f.get.from
	t.Returned++
	if d.out.took(d.world, took); took <= d.Objective {
		t.InTime++
	}
	if note == routing.CacheHit {
		t.Hits++
	}
	if told, ok := o.told[d]; ok && fetched < o.purged && d.now > told+purgeGrace && told >= o.purged {
		d.out.Broken["an older copy was returned after the purge grace"]++
	}
}

// Forward sends a GET to a host; one that says nothing is found out by the connection that does not come up, or by the
// time that passes.
func (d *dispatcher) Forward(out routing.Attempt) {
	g := d.gets[out.RequestID]
	f := &forward{out: out, get: g, number: len(g.forwards), at: d.now, host: d.byID[out.Host], source: d.byID[out.Source]}
	g.forwards = append(g.forwards, f)
	g.out++
	t := d.out.tally(d.world)
	t.Forwards++
	connected := d.used[f.host] > 0 && d.now-d.used[f.host] < d.IdleClose
	if f.host.down {
		t.Lost++
	}
	if !connected {
		t.Connects++
	}
	d.at(d.now+d.link(), func() {
		switch {
		case f.stopped:
		case f.host.refuses:
			d.at(d.now+d.link(), func() { d.step(func(float64) { d.back(f, routing.Unreachable, routing.NoNote) }) })
		case f.host.down && !connected:
			d.at(f.at+d.Connect, func() { d.step(func(float64) { d.back(f, routing.Unreachable, routing.NoNote) }) })
		default:
			f.host.get(f)
		}
	})
}

// Cancel ends the wait for a forward.
func (d *dispatcher) Cancel(id uint32, number int) {
	if g := d.gets[id]; g != nil && number < len(g.forwards) && !g.forwards[number].back {
		g.forwards[number].stop()
		d.back(g.forwards[number], routing.Canceled, routing.NoNote)
	}
}

// Shed answers that trying again is harmless: a client may come again.
func (d *dispatcher) Shed(id uint32, comeBack float64) {
	if g := d.final(id); g != nil {
		d.world.out.tally(d.world).Shed++
		d.comeAgain(g, comeBack)
	}
}

// comeAgain has a client ask once more.
func (d *dispatcher) comeAgain(g *get, in float64) {
	if g.again < d.Again {
		d.at(d.now+in+d.link(), func() { d.ask(g.object, g.again+1) })
	}
}

// Fail answers that a GET failed.
func (d *dispatcher) Fail(id uint32) {
	if g := d.final(id); g != nil {
		d.world.out.tally(d.world).Errored++
		d.comeAgain(g, 0)
	}
}

// final is the one answer that is not a copy.
func (d *dispatcher) final(id uint32) *get {
	g := d.gets[id]
	if g == nil {
		return nil
	}
	if g.answers++; g.answers > 1 {
		d.out.Broken["a GET was answered twice"]++
		return nil
	}
	d.forget(g)
	return g
}

// Schedule sets the one timer.
func (d *dispatcher) Schedule(delay float64, _ string) {
	d.events.Remove(d.timer)
	d.timer = d.at(d.now+delay, func() { d.step(d.module.HandleTimer) })
}

// PollEndpoints has no counterpart: the list is told.
func (d *dispatcher) PollEndpoints() {}

// OpenConnection is never called, as the module expects no connection times.
func (d *dispatcher) OpenConnection(uint32) bool { return false }

// HostEjected is passed over.
func (d *dispatcher) HostEjected(uint32) {}

// HostRecovered is passed over.
func (d *dispatcher) HostRecovered(uint32) {}

// ReportSlowStart is passed over.
func (d *dispatcher) ReportSlowStart(routing.SlowStartReport) {}
