// Package control decides, for each GET of one dispatcher, which cache host answers it and where a miss is
// filled from. It is pure: no I/O, clock, goroutine or global. Make a Dispatcher with New, then call Hosts,
// GET, Answer, Left, Purged and Timer as things happen, and Settle once after all that came together. Its
// answers go out through Wire; that interface and all data handed in are in api.go.
//
// The design (docs/design.md) decides the ordinary path; what departs from it says so where it stands.
package control

import (
	"container/list"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"sort"

	"elderwall/internal/due"
)

const (
	bucketSpan   = 2.0     // s; the design's: one bucket of the count table
	buckets      = 5       // count; the design's: 5 buckets of 2 s are its window of 10 s
	tableSize    = 1 << 15 // objects; bounds the count table to a few MB
	fewestCounts = 6       // GETs; below so many a count says nothing of demand, and the object keeps one cache
	tick         = 0.010   // s; the periodic timer, finer than any latency objective in use
	lastMoment   = 0.012   // s; answers this long before the viewer timeout, over a tick so as not to miss it
	learn        = 0.1     // share; weight of one answer in a learned time: about the last ten count
	learnSize    = 0.002   // share; weight of one GET in a mean sending time: sizes vary widely, so hundreds count
	learnFault   = 0.25    // share; weight of one outcome in a fault rate: three faults in a row pass half
	faulty       = 0.5     // share; a host that faults more often than not is left
	overdueTimes = 3.0     // multiple of the usual time after which a forward is overdue
	overdueLeast = 0.25    // s; below this jitter and handshakes look like silence
	silentCount  = 4       // forwards overdue at a host that has said nothing since: one may be a large object
	leaveFor     = 1.0     // s; first stay away from a host that was left, doubled each time a trial fails
	leaveMost    = 8.0     // s; longest stay away, so that a host that came back is found
	trialsPassed = 3       // answers in a row after which a host on trial is trusted again
	coldPart     = 0.5     // share of the budget that a cold host is sent: the rest is for chance and error
	manyTimes    = 3.0     // multiple of the mean held by all parents beyond which one holds many
	manyLeast    = 24      // GETs; no parent holds many below this
	favoured     = 1.5     // multiple of the limit open to delivery services that earn more for their sending time
	turnedMost   = 1       // times; a GET turned away more often finds all ways full, and trying on fills them more
	fillsLate    = 0.15    // share of late or failed fills at which the limit of fills under way rests
	fillGain     = 0.5     // multiple of a fill's sending time by which the limit moves: a third of it in one turn
	fillLeast    = 0.5     // s; the limit never falls below some small fills, or nothing would be learned
	shedBeyond   = 2.0     // multiple of the latency objective that the least makespan may reach
)

type verdict int

const (
	pass verdict = iota
	kept
	ended
)

// stage is one link of the chain that each GET passes; what comes back runs the chain the other way.
type stage struct {
	out  func(g *get) verdict
	back func(g *get, f *forward) verdict
}

// item is a cacheable object in the count table; caches keep each part by itself, so a part is an item.
type item struct {
	name          string
	hash, keyHash uint64
	object        string
	group         int
	counts        counter
	place         *list.Element
	again         bool    // asked for before
	holder        *host   // the cache that returned it last
	held          float64 // and when
}

// counter sums what happened in the last buckets.
type counter struct {
	sums  [buckets]float64
	epoch int64
}

func (c *counter) age(now float64) {
	epoch := int64(math.Floor(now / bucketSpan))
	if epoch-c.epoch >= buckets {
		c.sums = [buckets]float64{}
	} else {
		for e := c.epoch + 1; e <= epoch; e++ {
			c.sums[(e%buckets+buckets)%buckets] = 0
		}
	}
	c.epoch = epoch
}

func (c *counter) add(now, x float64) {
	c.age(now)
	c.sums[(c.epoch%buckets+buckets)%buckets] += x
}

func (c *counter) sum(now float64) (total float64) {
	c.age(now)
	for _, x := range c.sums {
		total += x
	}
	return total
}

type service struct {
	DeliveryService
	sending learned // s; sending time of one GET
	usual   learned // s; time from forward to answer
}

type learned struct {
	mean float64
	n    int
}

func (l *learned) add(x, share float64) {
	l.n++
	l.mean += (x - l.mean) * math.Max(share, 1/float64(l.n))
}

type host struct {
	HostEntry
	out, fills  int     // forwards out to it, and forwards out that name it as source
	makespan    float64 // s; the design's estimate, as of updated
	updated     float64
	serving     learned // s; what one GET adds to the makespan where no bandwidth is told
	heard       float64 // when it last answered, or had nothing out
	fault       float64 // share of late outcomes that were faults
	left        bool    // left until a trial
	until, wait float64
	streak      int
	coldSince   float64 // when it last started, as far as known
	cold        bool
	taken       counter // s; sending time returned by it or filled from it
	recent      []sent  // what went to it within the last window of the cold budget
}

type sent struct{ at, work float64 }

type forward struct {
	number       int
	host, source *host
	at, work     float64
	crowd        int // forwards out at the host when this one went
	limit        *due.Entry[func()]
	answer       Answer
	back, moot   bool // answered; given up on
	miss, look   bool // counts as a fill under way; only looks
	ran          bool // may have run
}

type get struct {
	GET
	ds          *service
	item        *item
	forwards    []*forward
	out         int
	over        bool
	counted     bool
	timeout     *due.Entry[func()]
	host        *host
	source      *host
	badHosts    []*host
	badSources  []*host
	waitingLine bool
	turned      int  // times it was turned away
	miss        bool // the host likely lacks the object
	looked      bool // and it does: it was asked
}

// Dispatcher decides for one instance.
type Dispatcher struct {
	Settings
	wire     Wire
	now      float64
	chain    []stage
	services []*service
	gets     map[uint32]*get
	hosts    map[uint32]*host
	listed   []*host // ordered by id
	items    map[string]*item
	byUse    *list.List
	total    counter
	purges   map[string]float64
	due      due.Queue[func()]
	further  []*get
	chances  uint64
	fillOut  float64 // s; sending time of the fills under way, as far as known
	fillMax  float64 // s; their limit
	usual    float64 // s/s; what a warm cache of ours returned, for when none is warm
}

// New makes a dispatcher that knows its settings alone.
func New(s Settings, now float64, w Wire) *Dispatcher {
	d := &Dispatcher{Settings: s, wire: w, now: now, gets: map[uint32]*get{}, hosts: map[uint32]*host{},
		items: map[string]*item{}, byUse: list.New(), purges: map[string]float64{}, fillMax: math.Inf(1)}
	for _, ds := range s.Services {
		d.services = append(d.services, &service{DeliveryService: ds})
	}
	d.chain = []stage{{d.meet, d.finish}, {d.count, nil}, {d.restrict, d.effects}, {d.choose, d.judgeHost},
		{d.fill, d.judgeSource}, {d.send, d.release}}
	if s.OnRequest {
		w.Subscribe()
	}
	w.Schedule(tick, "tick")
	return d
}

// Hosts takes in a list of hosts or changes to it.
func (d *Dispatcher) Hosts(now float64, form ListForm, entries []HostEntry) {
	d.now = now
	if form == FailedCall {
		if d.OnRequest {
			d.due.Add(now+leaveFor, d.wire.Subscribe)
		}
		return
	}
	if form != Changes {
		named := map[uint32]bool{}
		for _, e := range entries {
			named[e.ID] = true
		}
		for _, h := range d.listed {
			if !named[h.ID] {
				h.Phase = Gone
			}
		}
	}
	for _, e := range entries {
		d.list(e)
	}
	d.listed = d.listed[:0]
	for _, h := range d.hosts {
		if h.Phase != Gone {
			d.listed = append(d.listed, h)
		}
	}
	sort.Slice(d.listed, func(i, j int) bool { return d.listed[i].ID < d.listed[j].ID })
}

func (d *Dispatcher) list(e HostEntry) {
	h := d.hosts[e.ID]
	if h == nil {
		h = &host{HostEntry: e, heard: d.now, updated: d.now, coldSince: math.Inf(-1)}
		d.hosts[e.ID] = h
	}
	if e.Phase == Gone {
		h.Phase = Gone
		return
	}
	restarted := e.OnlineSinceIsTold && e.OnlineSince > h.coldSince
	h.HostEntry = e
	if restarted {
		h.coldSince, h.cold = e.OnlineSince, true
		h.left, h.fault, h.streak, h.wait, h.makespan = false, 0, 0, 0, 0
	}
}

// GET takes a client's GET; it is answered through the wire, now or later, exactly once.
func (d *Dispatcher) GET(now float64, in GET) {
	d.now = now
	g := &get{GET: in, ds: d.services[in.Service]}
	d.gets[in.ID] = g
	d.run(g)
}

func (d *Dispatcher) run(g *get) {
	for _, s := range d.chain {
		if s.out(g) != pass {
			return
		}
	}
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
	for i := len(d.chain) - 1; i >= 0; i-- {
		if back := d.chain[i].back; back != nil && back(g, f) != pass {
			break
		}
	}
	return true
}

// Streaming takes word that the answer to a forward has started: the client owns the GET from now on.
func (d *Dispatcher) Streaming(now float64, id uint32, number int) {
	d.now = now
	if g := d.gets[id]; g != nil && number >= 0 && number < len(g.forwards) {
		d.due.Remove(g.forwards[number].limit)
		d.end(g)
	}
}

// Left takes word that a client has gone; its GET is over.
func (d *Dispatcher) Left(now float64, id uint32) {
	d.now = now
	if g := d.gets[id]; g != nil && !g.over {
		d.cancel(g, nil)
		d.end(g)
	}
}

// Purged takes word of a purge of an object, or of a whole group where object is empty.
func (d *Dispatcher) Purged(now float64, object string, group int, age float64) {
	d.now = now
	name := purgeName(object, group)
	if at, known := d.purges[name]; !known || now-age > at {
		d.purges[name] = now - age
	}
	d.due.Add(now-age+d.OldCopies+tick, func() {
		if d.purges[name]+d.OldCopies <= d.now {
			delete(d.purges, name)
		}
	})
}

func purgeName(object string, group int) string {
	if object != "" {
		return object
	}
	return fmt.Sprint(" ", group)
}

// Timer takes the periodic timer.
func (d *Dispatcher) Timer(now float64) {
	d.now = now
	d.wire.Schedule(tick, "tick")
	for act, ok := d.due.Pop(now); ok; act, ok = d.due.Pop(now) {
		act()
	}
	d.learnUsual()
}

// Settle serves the line of further forwards, after all first ones of the moment.
func (d *Dispatcher) Settle(now float64) {
	d.now = now
	line := d.further
	d.further = nil
	for _, g := range line {
		if g.waitingLine = false; !g.over {
			d.run(g)
		}
	}
}

// again puts a GET into the line of further forwards.
func (d *Dispatcher) again(g *get) verdict {
	if !g.over && !g.waitingLine {
		g.waitingLine = true
		d.further = append(d.further, g)
	}
	return kept
}

// meet guards the viewer timeout and the number of forwards.
func (d *Dispatcher) meet(g *get) verdict {
	if g.timeout == nil {
		g.timeout = d.due.Add(g.ViewerTimeout-lastMoment, func() { d.giveUp(g) })
	}
	if len(g.forwards) >= d.MaxForwards || d.now >= g.ViewerTimeout-lastMoment {
		return d.giveUp(g)
	}
	return pass
}

// finish ends a GET that was answered, and sends on one that was not.
func (d *Dispatcher) finish(g *get, f *forward) verdict {
	if f.answer.Last || f.answer.Outcome == Returned {
		d.cancel(g, f)
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
	d.cancel(g, nil)
	if d.mayShed(g) {
		comeBack := 0.0
		if d.TellRetry {
			comeBack = math.Min(d.MaxRetryAfter, g.ds.Objective)
		}
		d.wire.Shed(g.ID, comeBack)
	} else {
		d.wire.Error(g.ID)
	}
	return d.end(g)
}

func (d *Dispatcher) mayShed(g *get) bool {
	return g.ds.Effect == Idempotent || g.firstRan() == nil || g.ds.Effect == Tokened && g.ds.Scope == AllHosts
}

// firstRan is the first forward that may have run or is still out.
func (g *get) firstRan() *forward {
	for _, f := range g.forwards {
		if !f.back || f.ran {
			return f
		}
	}
	return nil
}

// cancel ends the wait for all forwards of a GET but one.
func (d *Dispatcher) cancel(g *get, but *forward) {
	for _, f := range g.forwards {
		if !f.back && f != but && !f.moot && d.MayCancel {
			d.wire.Cancel(g.ID, f.number)
		}
		f.moot = f.moot || !f.back
	}
}

func (d *Dispatcher) end(g *get) verdict {
	g.over = true
	d.due.Remove(g.timeout)
	if g.out == 0 {
		delete(d.gets, g.ID)
	}
	return ended
}

// count bumps the object's count in the bounded, aged table.
func (d *Dispatcher) count(g *get) verdict {
	if g.counted {
		return pass
	}
	g.counted = true
	name := fmt.Sprint(g.Object, " ", g.Part)
	it := d.items[name]
	if it == nil {
		it = &item{name: name, hash: hash(name), keyHash: hash(g.Object), object: g.Object, group: g.Group}
		it.place = d.byUse.PushFront(it)
		d.items[name] = it
		if d.byUse.Len() > tableSize {
			last := d.byUse.Remove(d.byUse.Back()).(*item)
			delete(d.items, last.name)
		}
	} else {
		it.again = true
		d.byUse.MoveToFront(it.place)
	}
	size := g.SizeKB
	if size <= 0 {
		size = 1
	} else if d.FlowKB > 0 {
		g.ds.sending.add(size/d.FlowKB, learnSize)
	}
	it.counts.add(d.now, size)
	d.total.add(d.now, size)
	g.item = it
	return pass
}

// copies is the number of caches that the object's byte rate gives it among n ready ones.
func (d *Dispatcher) copies(g *get, n int) int {
	size := math.Max(g.SizeKB, 0)
	if size == 0 {
		size = 1
	}
	rate, total := g.item.counts.sum(d.now), d.total.sum(d.now)
	if rate < fewestCounts*size || total <= 0 {
		return 1
	}
	return 1 + int(rate*float64(n)/total)
}

// restrict keeps a GET that may have run from a further forward that could run it twice.
func (d *Dispatcher) restrict(g *get) verdict {
	ran := g.firstRan()
	if ran == nil || g.ds.Effect == Idempotent {
		return pass
	}
	if g.ds.Effect == NonIdempotent || d.now >= ran.at+g.ds.RepeatWindow-tick {
		return d.giveUp(g)
	}
	return pass
}

// effects marks a forward that may have run.
func (d *Dispatcher) effects(g *get, f *forward) verdict {
	f.ran = f.answer.Outcome < NotTaken
	return pass
}

// grouped tells whether a host drops repeats of what may have run already.
func (g *get) grouped(h *host) bool {
	ran := g.firstRan()
	if ran == nil || g.ds.Effect == Idempotent || g.ds.Scope == AllHosts {
		return true
	}
	return h.Zone == ran.host.Zone && (g.ds.Scope == SameZone || h.Cell == ran.host.Cell)
}

// choose takes the least makespan among the object's caches.
func (d *Dispatcher) choose(g *get) verdict {
	ready := d.order(g)
	var usable []*host
	for _, h := range ready {
		if !contains(g.badHosts, h) && g.grouped(h) && d.open(h, d.work(g), d.Fall) {
			usable = append(usable, h)
		}
	}
	if len(usable) == 0 {
		return d.straight(g)
	}
	n := min(d.copies(g, len(ready)), len(usable))
	objective := d.objective(g)
	best := usable[0]
	for i, h := range usable {
		if i >= n && d.span(best) <= objective {
			break
		}
		if d.span(h) < d.span(best) {
			best = h
		}
	}
	if d.span(best) > shedBeyond*objective {
		return d.giveUp(g)
	}
	g.host = best
	return pass
}

// straight passes the caches by when none can be used.
func (d *Dispatcher) straight(g *get) verdict {
	g.host = nil
	if d.Straight {
		g.host = d.parent(g)
	}
	if g.host == nil || contains(g.badHosts, g.host) || !g.grouped(g.host) {
		return d.giveUp(g)
	}
	return pass
}

func (d *Dispatcher) objective(g *get) float64 {
	return math.Min(g.ds.Objective+g.ds.Stretch*d.work(g), g.ds.ViewerTimeout)
}

// work is the GET's sending time, by its size or else as learned of its delivery service.
func (d *Dispatcher) work(g *get) float64 {
	if g.SizeKB > 0 && d.FlowKB > 0 {
		return g.SizeKB / d.FlowKB
	}
	if g.ds.sending.n == 0 {
		return g.ds.Objective
	}
	return g.ds.sending.mean
}

// weigh is what a GET counts for in the budget of a cold host: its delivery service's mean sending time.
func (d *Dispatcher) weigh(g *get) float64 {
	if g.ds.sending.n == 0 {
		return g.ds.Objective
	}
	return g.ds.sending.mean
}

// order is the shared order of the object's caches: all ready ones of the zone, by highest random weight.
func (d *Dispatcher) order(g *get) []*host {
	var ready []*host
	for _, h := range d.listed {
		if h.Phase == Ready && h.Zone == d.Zone && h.Kind != d.ParentKind && h.Kind != d.OriginKind {
			ready = append(ready, h)
		}
	}
	byWeight(ready, g.item.hash)
	return ready
}

func byWeight(hosts []*host, hash uint64) {
	sort.Slice(hosts, func(i, j int) bool {
		return mix(hash^mix(uint64(hosts[i].ID))) > mix(hash^mix(uint64(hosts[j].ID)))
	})
}

// span is the design's makespan: drained by the clock. It departs in two points: what is answered is no longer
// waited for, and a host that owes answers and is silent does not look idle.
func (d *Dispatcher) span(h *host) float64 {
	if h.out == 0 {
		return 0
	}
	span := math.Max(0, h.makespan-(d.now-h.updated))
	if !d.WeightsTold || d.FlowKB <= 0 {
		span = math.Min(span, float64(h.out)*d.serving(h))
	}
	return span
}

// serving is the time that one GET adds to a makespan; unheard caches count as average.
func (d *Dispatcher) serving(h *host) float64 {
	if h.serving.n > 0 {
		return h.serving.mean
	}
	sum, n := 0.0, 0.0
	for _, o := range d.listed {
		if o.serving.n > 0 && o.Kind != d.ParentKind && o.Kind != d.OriginKind {
			sum, n = sum+o.serving.mean, n+1
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n
}

// judgeHost learns from an answer how fast and how sound its host is.
func (d *Dispatcher) judgeHost(g *get, f *forward) verdict {
	h, a := f.host, f.answer
	switch a.Outcome {
	case Returned:
		work := d.weigh(g)
		h.taken.add(d.now, work)
		h.serving.add(a.Elapsed/math.Max(1, float64(f.crowd+h.out+1)/2), learn)
		g.ds.usual.add(a.Elapsed, learn)
		if (g.SizeKB <= 0 || d.FlowKB <= 0) && (a.Note == Hit || d.Detail == Silent) {
			g.ds.sending.add(a.Elapsed, learnSize)
		}
		d.sound(h)
	case HostError, Dropped, Unreached, Expired:
		if !d.sourceFault(a.Note) && !(a.Outcome == Expired && h.heard > f.at) {
			d.fault(h, a.Outcome != HostError)
		}
		g.badHosts = append(g.badHosts, h)
	case NotTaken, Empty:
		if !d.sourceFault(a.Note) {
			g.badHosts = append(g.badHosts, h)
		}
		if g.turned++; g.turned > turnedMost && !g.over && g.out == 0 {
			return d.giveUp(g)
		}
	}
	return pass
}

// sourceFault tells whether a note lays a failure on the source of a fill rather than on the host that told of it.
func (d *Dispatcher) sourceFault(n Note) bool {
	return n == SourceRefused || n == SourceFailed || n == SourceLacks || n == OriginFailed
}

func (d *Dispatcher) sound(h *host) {
	h.fault *= 1 - learnFault
	if h.left {
		if h.streak++; h.streak >= trialsPassed {
			h.left, h.wait, h.fault = false, 0, 0
			d.wire.Log(fmt.Sprintf("host %d trusted again", h.ID))
		}
	}
}

// fault counts a failure against a host; one that mostly fails, or fails on trial, is left for a while.
func (d *Dispatcher) fault(h *host, lost bool) {
	h.fault += (1 - h.fault) * learnFault
	if lost {
		h.fault += (1 - h.fault) * learnFault
	}
	if h.left || h.fault >= faulty {
		d.leave(h)
	}
}

func (d *Dispatcher) leave(h *host) {
	if h.left && d.now < h.until {
		return
	}
	if !h.left {
		d.wire.Log(fmt.Sprintf("host %d left: it fails or is silent", h.ID))
	}
	h.left, h.streak = true, 0
	h.wait = math.Min(leaveMost, math.Max(leaveFor, 2*h.wait))
	h.until = d.now + h.wait*(0.75+0.5*d.chance(h))
}

// chance draws a number from 0 to 1.
func (d *Dispatcher) chance(h *host) float64 {
	d.chances++
	sum := fnv.New64a()
	for _, x := range []uint64{d.Seed, uint64(d.Index), uint64(h.ID), d.chances} {
		_ = binary.Write(sum, binary.LittleEndian, x)
	}
	return float64(mix(sum.Sum64())>>11) / (1 << 53)
}

// open tells whether a host may be sent work now, as a cache or as a source.
func (d *Dispatcher) open(h *host, work, window float64) bool {
	if h.Phase != Ready || h.left && (d.now < h.until || h.out+h.fills > 0) {
		return false
	}
	budget, limited := d.budget(h)
	if !limited || len(h.recent) == 0 {
		return true
	}
	used := 0.0
	for _, s := range h.recent {
		if s.at > d.now-window {
			used += s.work
		}
	}
	return used == 0 || used+work <= budget
}

// budget is the sending time that a cold host may be sent by this dispatcher in one window.
func (d *Dispatcher) budget(h *host) (budget float64, limited bool) {
	from, ramp, tip, sharers := d.ColdFrom, d.RampTime, d.TipMultiple, d.Dispatchers
	if h.Kind == d.ParentKind {
		from, ramp, tip = d.ParentColdFrom, d.ParentRamp, d.ParentTip
	} else if h.Kind == d.OriginKind {
		return 0, false
	} else if h.Zone < len(d.Seats) && d.Seats[h.Zone] > 0 {
		sharers = d.Seats[h.Zone]
	}
	age := d.now - h.coldSince
	if !h.cold || age >= ramp || ramp <= 0 {
		h.cold, h.recent = false, nil
		return 0, false
	}
	share := from + (1-from)*math.Max(0, age)/ramp
	rate := d.usual
	if d.WeightsTold {
		rate = h.Weight / float64(max(1, sharers))
	} else if h.Kind == d.ParentKind {
		rate = d.warmRate(h.Kind)
	}
	return share * rate * tip * coldPart * d.Fall, true
}

// warmRate is the mean sending time a second that warm hosts like this one return to this dispatcher.
func (d *Dispatcher) warmRate(kind int) float64 {
	sum, n := 0.0, 0.0
	for _, h := range d.listed {
		alike := h.Kind == kind || kind != d.ParentKind && h.Kind != d.ParentKind && h.Kind != d.OriginKind && h.Zone == d.Zone
		if alike && h.Phase == Ready && !h.cold && !h.left {
			sum, n = sum+h.taken.sum(d.now), n+1
		}
	}
	if n == 0 {
		return 0
	}
	return sum / n / math.Max(bucketSpan, math.Min(d.now, buckets*bucketSpan))
}

func (d *Dispatcher) learnUsual() {
	if rate := d.warmRate(-1); rate > 0 {
		d.usual = rate
	}
}

// fill names the source of a miss: the object's parent, the next one, or the origin. While the fills under way
// are at their limit a GET only looks whether the cache holds the object.
func (d *Dispatcher) fill(g *get) verdict {
	g.source, g.miss = g.host, false
	if g.host.Kind == d.OriginKind {
		return pass
	}
	g.miss = g.item.holder != g.host || d.now-g.item.held > buckets*bucketSpan || g.looked
	if d.fillOut+d.weigh(g) > d.fillMax*d.favour(g) {
		if g.looked {
			return d.giveUp(g)
		}
		return pass
	}
	if source := d.parent(g); source != nil {
		g.source = source
	}
	return pass
}

// favour lets delivery services that earn more for their sending time use more of the limit.
func (d *Dispatcher) favour(g *get) float64 {
	for _, ds := range d.services {
		if ds.Revenue*d.weigh(g) < g.ds.Revenue*ds.sending.mean {
			return favoured
		}
	}
	return 1
}

// parent is the first usable one in the object's order over all listed parents, or else the origin.
func (d *Dispatcher) parent(g *get) *host {
	var parents []*host
	var origin *host
	held := 0
	for _, h := range d.listed {
		if h.Kind == d.ParentKind {
			parents = append(parents, h)
			held += h.fills
		} else if h.Kind == d.OriginKind && h.Phase == Ready {
			origin = h
		}
	}
	byWeight(parents, g.item.keyHash)
	many := math.Max(manyLeast, manyTimes*float64(held)/math.Max(1, float64(len(parents))))
	for _, h := range parents {
		if float64(h.fills) < many && !contains(g.badSources, h) && d.open(h, d.weigh(g), d.Fall) {
			return h
		}
	}
	return origin
}

// judgeSource learns from an answer how sound the source of its fill is, and how many fills the way in bears.
func (d *Dispatcher) judgeSource(g *get, f *forward) verdict {
	a, n := f.answer, f.answer.Note
	if f.miss {
		d.fillOut -= f.work
	}
	if a.Outcome == Returned {
		g.item.holder, g.item.held = f.host, d.now
	}
	if f.source == f.host {
		if a.Outcome == Empty && !g.over {
			g.looked = true
			return d.again(g)
		}
		return pass
	}
	if d.Detail == Silent && (f.miss || a.Outcome == NotTaken) || n == Filled || n == FilledByOrigin || n >= SourceRefused || a.Outcome == Revoked && f.miss {
		d.learnFills(a.Outcome == Returned && a.Elapsed <= d.objective(g), f.work)
	}
	switch {
	case a.Outcome == Returned && n != Hit && n != Joined && n != Aged:
		f.source.taken.add(d.now, d.weigh(g))
		if d.Detail == Full {
			d.sound(f.source)
		}
	case d.sourceFault(n):
		g.badSources = append(g.badSources, f.source)
		if n == SourceFailed {
			d.fault(f.source, false)
		}
	}
	return pass
}

// learnFills moves the limit of the fills under way: up while they come in time, down when they do not.
func (d *Dispatcher) learnFills(inTime bool, work float64) {
	switch {
	case inTime && d.fillOut > d.fillMax/2:
		d.fillMax += fillGain * fillsLate * work
	case !inTime:
		d.fillMax = math.Max(fillLeast, math.Min(d.fillMax, 2*(d.fillOut+work))-fillGain*(1-fillsLate)*work)
	}
}

// send hands the GET to its host and counts it there.
func (d *Dispatcher) send(g *get) verdict {
	h, s, work := g.host, g.source, d.weigh(g)
	f := &forward{number: len(g.forwards), host: h, source: s, at: d.now, work: work, crowd: h.out}
	g.forwards = append(g.forwards, f)
	g.out++
	if f.miss = g.miss && s != h; f.miss {
		d.fillOut += work
	}
	if h.out == 0 {
		h.heard = d.now
	}
	added := d.serving(h)
	if d.WeightsTold && d.FlowKB > 0 && h.Weight > 0 {
		added = d.work(g) / h.Weight
	}
	h.makespan, h.updated = math.Max(0, h.makespan-(d.now-h.updated))+added, d.now
	h.out++
	d.spend(h, work)
	if s != h {
		s.fills++
		d.spend(s, work)
	}
	f.limit = d.due.Add(d.now+d.overdue(g), func() { d.late(g, f) })
	rank := 1
	if g.item.again {
		rank = 2
	}
	if g.ds.Write {
		rank = 0
	}
	d.wire.Forward(Forward{GET: g.ID, Host: h.ID, Source: s.ID, Rank: rank, MaxAge: d.maxAge(g),
		Renew: g.ds.FreshFor > 0})
	return kept
}

func (d *Dispatcher) spend(h *host, work float64) {
	if !h.cold {
		return
	}
	for len(h.recent) > 0 && h.recent[0].at <= d.now-d.Fall {
		h.recent = h.recent[1:]
	}
	h.recent = append(h.recent, sent{d.now, work})
}

// maxAge is the oldest copy that will do after the purges of the object and its group; 0 for any fresh one.
func (d *Dispatcher) maxAge(g *get) float64 {
	age := math.Inf(1)
	for _, name := range []string{purgeName(g.Object, g.Group), purgeName("", g.Group)} {
		if at, purged := d.purges[name]; purged {
			age = math.Min(age, d.now-at)
		}
	}
	if math.IsInf(age, 1) {
		return 0
	}
	return math.Max(age, 1e-6)
}

// overdue is the time after which a forward without an answer raises suspicion.
func (d *Dispatcher) overdue(g *get) float64 {
	if g.ds.usual.n == 0 {
		return math.Max(overdueLeast, d.objective(g))
	}
	return math.Max(overdueLeast, overdueTimes*g.ds.usual.mean)
}

// late looks at a forward that is overdue: a host that has been silent since is left, and its GETs move on.
func (d *Dispatcher) late(g *get, f *forward) {
	if f.back || f.moot || g.over {
		return
	}
	h := f.host
	if h.heard <= f.at && (h.left || h.out >= silentCount) {
		d.leave(h)
	}
	if !h.left || g.ds.Effect == NonIdempotent {
		f.limit = d.due.Add(d.now+d.overdue(g), func() { d.late(g, f) })
		return
	}
	if d.MayCancel {
		d.wire.Cancel(g.ID, f.number)
	} else if !d.SecondCopies {
		return
	}
	f.moot = true
	g.badHosts = append(g.badHosts, h)
	if d.SecondCopies {
		d.again(g)
	}
}

// release takes a forward that came back off what its host and source hold.
func (d *Dispatcher) release(g *get, f *forward) verdict {
	d.due.Remove(f.limit)
	g.out--
	f.host.out--
	if f.answer.Outcome != Revoked && f.answer.Outcome != Unused && f.answer.Outcome != Expired {
		f.host.heard = d.now
	}
	if f.source != f.host {
		f.source.fills--
	}
	if g.over && g.out == 0 {
		delete(d.gets, g.ID)
	}
	return pass
}

func contains(hosts []*host, h *host) bool {
	for _, o := range hosts {
		if o == h {
			return true
		}
	}
	return false
}

func hash(s string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(s))
	return mix(sum.Sum64())
}

// mix spreads a hash over all its bits, which FNV alone leaves uneven for short names.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
