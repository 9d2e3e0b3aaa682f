package routing

import (
	"cmp"
	"container/list"
	"elderwall/core/routing/congestion"
	"elderwall/core/routing/grouphealth"
	"elderwall/core/routing/rendezvous"
	"elderwall/core/routing/retrybudget"
	"elderwall/core/routing/sketch"
	"elderwall/core/timerwheel"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
)

// sketchSize is the bytes of counts of objects that the table has let go: some 65,000 by turn, which a tenth of
// those that a core could be asked for in the window overfill.
const sketchSize = 1 << 21

// verdict is what a stage does with a GET: it passes it on, keeps it or ends it.
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

// item is a cacheable object in the count table; caches keep each part by itself, so each part is an item.
type item struct {
	key        itemKey
	hash       uint64 // of object and part, for the order of caches
	objectHash uint64 // for the order of parents
	demand     counter
	place      *list.Element
	again      bool    // asked for before
	used       float64 // when it was last asked for
	kb         float64 // its size as the last answer told, 0 before
	holder     *host   // the cache that returned it last
	heldTo     float64 // and until when it is thought to hold it

	caches, parents *rendezvous.Prefix // the beginnings of its orders
}

// itemKey names an item.
type itemKey struct {
	object string
	part   int
}

// table finds the items by name, and drops the least lately used beyond its size. Guards against a long day on which
// items that nobody asks for any more fill it, at 360 bytes each: of those that were last asked for so long ago that
// nothing counts any more but that they were, and their size, no more than that is kept.
type table struct {
	byName map[itemKey]*item
	byUse  *list.List
	rests  float64            // s; without a GET for so long an item rests
	rest   *sketch.BoundedMap // the items that rest, with their sizes in KB
	let    *sketch.Sketch     // what it has let go; nil until it was full
}

// newTable is empty. What was counted of an item is over a window after the last GET for it, and a holder a window after
// the last GET for it came back.
func newTable(services []DeliveryService) table {
	longest := 0.0
	for _, s := range services {
		longest = math.Max(longest, s.ViewerTimeout)
	}
	return table{byName: map[itemKey]*item{}, byUse: list.New(), rests: (buckets+1)*bucketSpan + longest, rest: sketch.NewBoundedMap(tableSize)}
}

// settle has items rest, and lets the last of those go that are beyond the size.
func (t *table) settle(now float64) {
	for last := t.byUse.Back(); last != nil && now-last.Value.(*item).used > t.rests; last = t.byUse.Back() {
		it := t.byUse.Remove(last).(*item)
		delete(t.byName, it.key)
		t.rest.Put(it.hash, it.kb)
	}
	t.rest.Trim(max(0, tableSize-t.byUse.Len()))
}

// touch gives an item that is asked for. Guards against catalogues far larger than the table, where objects that are
// asked for now and then would never be known before: what the table has let go keeps its count in a sketch.
func (t *table) touch(now float64, object string, part int, size float64) *item {
	key := itemKey{object, part}
	it := t.byName[key]
	if it != nil {
		it.again = true
		t.byUse.MoveToFront(it.place)
	} else {
		it = &item{key: key, hash: hash(fmt.Sprint(object, " ", part)), objectHash: hash(object)}
		it.place = t.byUse.PushFront(it)
		t.byName[key] = it
		if it.kb, it.again = t.rest.Take(it.hash); !it.again {
			t.recall(now, it, size)
		}
	}
	it.used = now
	t.settle(now)
	if t.let != nil {
		t.let.Add(now, it.hash)
	}
	if t.byUse.Len() > tableSize {
		delete(t.byName, t.byUse.Remove(t.byUse.Back()).(*item).key)
		if t.let == nil {
			t.let = sketch.New(buckets, bucketSpan, sketchSize)
		}
	}
	return it
}

// recall gives a new item the counts that it had when the table let it go.
func (t *table) recall(now float64, it *item, size float64) {
	if t.let == nil {
		return
	}
	var turns [buckets]float64
	if it.again = t.let.Buckets(now, it.hash, turns[:]) > 0; it.again {
		it.demand.epoch = int(now / bucketSpan)
		for i, n := range turns {
			it.demand.sums[i] = n * size
		}
	}
}

// counter sums what happened in the design's window.
type counter struct {
	sums  [buckets]float64
	epoch int
}

func (c *counter) add(now, x float64) float64 {
	epoch := int(now / bucketSpan)
	for ; c.epoch < epoch; c.epoch++ {
		if epoch-c.epoch > buckets {
			c.epoch = epoch - buckets
		}
		c.sums[(c.epoch+1)%buckets] = 0
	}
	c.sums[epoch%buckets] += x
	total := 0.0
	for _, s := range c.sums {
		total += s
	}
	return total
}

// learned is a mean that forgets.
type learned struct {
	mean float64
	n    int
}

func (l *learned) add(x, share float64) {
	l.n++
	l.mean += (x - l.mean) * math.Max(share, 1/float64(l.n))
}

type service struct {
	DeliveryService
	kb             learned // of answers
	sending, usual learned // s; sending time of a GET, and time from forward to answer
}

type host struct {
	Endpoint
	out, fills  int     // forwards out to it, and forwards out that name it as source
	makespan    float64 // s; the design's estimate, as of updated
	updated     float64
	serving     learned             // s; what one GET adds to the makespan where no bandwidth is told
	heard       float64             // when it last answered, or had nothing out
	silent      int                 // forwards found overdue since
	fault       float64             // share of late outcomes that were faults
	refuses     float64             // share of late fills from it that were turned away, where no note tells by whom
	refusers    []*host             // some of those that did
	refused     float64             // when the first of them did
	gave        float64             // when a fill from it last came back
	belief      *grouphealth.Member // what its group tells of it; nil where hosts are few
	left        bool                // left until a trial
	leftAt      float64
	listing     int // the last look over the list that had it as a cache
	until, wait float64
	streak      int
	cold        bool
	pace        congestion.Link
	taken       counter // s; sending time returned by it or filled from it
	under       allowance
	credit      float64 // s; what may be sent to it while it is cold
	credited    float64 // until when that was given; 0 before the first look
}

// allowance limits the sending time of what is under way, judged turn by turn.
type allowance struct {
	name       LimitKind
	host       uint32  // of a host's limit
	out, most  float64 // s
	held       int     // forwards that out sums
	bears      float64 // share of late ends that is borne beyond the usual
	known      float64 // s; half of what it was before late cuts, to which it grows back fast
	turn       float64 // start of the turn
	start      float64 // s; what was under way at its start: a turn's worth
	peak       float64 // s; most that was under way in it
	full       bool    // turned a GET away in it
	bound      int     // forwards that the fleet lets this dispatcher have under way
	bounded    bool    // by the fleet
	refused    int     // looks that found that bound reached
	seen, late float64 // s; what of this turn has ended, and what came late or not at all
}

func (l *allowance) add(work float64) {
	l.held++
	l.out += work
	l.peak = math.Max(l.peak, l.out)
}

// allowed tells whether the fleet lets one more go. Guards against dispatchers that each stay within their own limit and
// together push the origin over.
func (l *allowance) allowed() bool {
	if !l.bounded || l.held < l.bound {
		return true
	}
	l.refused++
	return false
}

// needs tells whether a forward may need the origin, where the fleet bounds those.
func (d *Router) needs(f *forward) bool {
	return d.origins.bounded && (f.host == d.origin || f.miss && !f.heldOnly)
}

// looksFirst tells whether a host that should have a copy is asked for that alone, where the fleet bounds what may need the origin: else it
// would fill one that it has dropped, and that would count nowhere.
func (d *Router) looksFirst(g *get, source *host) bool {
	return (d.origins.bounded || source != nil && source.under.bounded) && !g.looked && g.item.holder == g.host && d.now < g.item.heldTo
}

// bounds is the allowance that a bound of the fleet is for: a host's, or for 0 that of what may need the origin; nil for none known.
func (d *Router) bounds(host uint32) *allowance {
	if host == 0 {
		return &d.origins
	}
	if h := d.hosts[host]; h != nil {
		return &h.under
	}
	return nil
}

// SetQuota says how many forwards this dispatcher may have under way at a host, itself or as a source, or with 0 for the host of those that may
// need the origin, by what the fleet shares out.
func (d *Router) SetQuota(host uint32, most int) {
	if l := d.bounds(host); l != nil {
		l.bound, l.bounded = most, true
	}
}

// QuotaUsage is how many of those are under way, and how many looks have found the bound reached.
func (d *Router) QuotaUsage(host uint32) (held, refused int) {
	if l := d.bounds(host); l != nil {
		return l.held, l.refused
	}
	return 0, 0
}

func (l *allowance) drop(work float64) {
	l.held--
	l.out -= work
}

type forward struct {
	number       int
	host, source *host
	at, work     float64
	objective    float64
	crowd        int                     // forwards out at the host when this one went
	limit        timerwheel.Timer[event] // when it is overdue
	objectiveIn  timerwheel.Timer[event] // when it is late
	judges       []*allowance            // that its lateness counts against
	underOf      [5]*allowance           // the room of under
	fillOf       [2]*allowance           // and of fill
	answer       AttemptResult
	back         bool         // answered
	moot         bool         // given up on
	ran          bool         // may have run
	miss         bool         // counts as a fill under way
	under, fill  []*allowance // that it counts in, its host's first; that judge it as a fill
	judged       *allowance   // that counted its end
	heldOnly     bool         // the source was to give only what it holds
	cutOff       bool         // it was turned away, and that is the source's fault
}

// event is what falls due: a function of the dispatcher, with what it is about. None is made anew for a GET.
type event struct {
	do func(d *Router, g *get, f *forward)
	g  *get
	f  *forward
}

type get struct {
	Request
	ds           *service
	item         *item
	forwards     []*forward
	out, turned  int // forwards out, and times it was turned away
	over, lined  bool
	last         float64 // when it is given up at the latest
	timeout      timerwheel.Timer[event]
	first        forward     // most have no other
	forwardsOf   [2]*forward // the room of forwards
	host, source *host
	bad          []*host // that failed it, as host or as source
	accused      []*host // that answered it with an error
	heldOnly     bool    // the source is to give only what it holds
	lacked       bool    // and it did not
	looked       bool    // the host was asked and lacks the object
}

// Router decides for one instance.
type Router struct {
	Settings
	wire     Actions
	now      float64
	chain    []stage
	services []*service
	gets     map[uint32]*get
	hosts    map[uint32]*host
	caches   []*host // of the own zone, by id
	parents  []*host // all listed, by id
	ready    int     // caches that are
	origin   *host
	items    table
	total    counter
	purges   map[string]float64
	due      timerwheel.Wheel[event]
	further  []*get
	chances  uint64
	warm     float64   // s/s; what a warm cache returned to us, for when none is warm
	looked   float64   // when all hosts were looked over
	average  float64   // s; serving time of the caches that were heard
	fills    allowance // of the fills under way, as far as known
	all      allowance // of all that is under way to caches
	origins  allowance // of those that may need the origin

	order, parentOrder      rendezvous.Index[*host]
	beliefs                 grouphealth.Tracker
	retries                 retrybudget.Budget
	paces                   congestion.Tracker
	sorted, fresh           []*host // all of hosts by id, and those that are not among them yet
	listing                 int
	warmCaches, warmParents float64 // s/s; what warm ones return to us, as of the last tick
}

// New makes a dispatcher that knows its settings alone.
func New(s Settings, now float64, w Actions) *Router {
	d := &Router{
		Settings: s, wire: w, now: now, gets: map[uint32]*get{}, hosts: map[uint32]*host{},
		items: newTable(s.Services), purges: map[string]float64{},
		fills:   allowance{name: FillLimit, most: math.Inf(1)},
		origins: allowance{name: OriginLimit, most: math.Inf(1)},
		all:     allowance{name: CacheLimit, most: math.Inf(1), bears: oneCrowded},
	}
	d.retries = retrybudget.New(s.Retries, now)
	for _, ds := range s.Services {
		d.services = append(d.services, &service{DeliveryService: ds})
	}
	d.chain = []stage{{d.admit, d.finish}, {d.choose, d.judgeHost}, {d.fill, d.judgeFill}, {d.send, d.release}}
	if s.PollEndpoints {
		w.PollEndpoints()
	}
	w.Schedule(tick, "tick")
	return d
}

// FinishAll answers everything that is held, in the order in which it came, as giveUp answers one of them: for a process that is about to end,
// after which no answer could be passed on.
func (d *Router) FinishAll(now float64) {
	d.now = now
	for _, id := range slices.Sorted(maps.Keys(d.gets)) {
		if g := d.gets[id]; g != nil {
			d.giveUp(g)
		}
	}
}

// learnAll takes what all hosts have in common, now and then: no GET looks over all of them.
func (d *Router) learnAll() {
	var all learned
	for _, o := range d.caches {
		if o.serving.n > 0 {
			all.add(o.serving.mean, 0)
		}
	}
	d.average = all.mean
	d.warmCaches, d.warmParents = d.warmRate(d.caches), d.warmRate(d.parents)
	d.warm = cmp.Or(d.warmCaches, d.warm)
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

// repeatableUntil is when the first byte of a further forward must be out, as hosts know a repeat for no longer: +Inf where nothing can have run
// yet or a repeat does no harm, -Inf where no host knows repeats. Guards against a forward that is decided on in time and waits for its connection.
func (g *get) repeatableUntil() float64 {
	ran := g.firstRan()
	switch {
	case ran == nil || g.ds.Idempotency == Idempotent:
		return math.Inf(1)
	case g.ds.Idempotency == IdempotencyKeyed:
		return ran.at + g.ds.DedupWindow
	}
	return math.Inf(-1)
}

// failed tells whether the last forward failed at a host: one that was turned away, or only looked, cost it nothing.
func (g *get) failed() bool {
	if len(g.forwards) == 0 {
		return false
	}
	f := g.forwards[len(g.forwards)-1]
	o := f.answer.Outcome
	return f.moot || f.back && o != Rejected && o != NotCached && o != ArrivedLate && o != Withdrawn
}

// sent is its forwards but those that were recalled.
func (g *get) sent() (n int) {
	for _, f := range g.forwards {
		if !f.back || f.answer.Outcome != Withdrawn {
			n++
		}
	}
	return n
}

// asked is how often the GET went to a host.
func (g *get) asked(h *host) (n int) {
	for _, f := range g.forwards {
		if f.host == h {
			n++
		}
	}
	return n
}

// size is what one GET adds to a byte rate: count alone where no size is told.
func (g *get) size() float64 {
	if g.SizeKB > 0 {
		return g.SizeKB
	}
	return 1
}

// idsOf is the ids of hosts, in their order.
func idsOf(hosts []*host) (ids []uint32) {
	for _, h := range hosts {
		ids = append(ids, h.ID)
	}
	return ids
}

// hash places a name in the shared orders.
func hash(s string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(s))
	return rendezvous.Mix(sum.Sum64())
}

// listed is the hosts that the list has not taken out, by id; those it has are forgotten once nothing is out.
func (d *Router) listed() []*host {
	if len(d.fresh) > 0 {
		byID := func(a, b *host) int { return cmp.Compare(a.ID, b.ID) }
		slices.SortFunc(d.fresh, byID)
		d.sorted, d.fresh = merge(d.sorted, d.fresh, byID), nil
	}
	hosts := make([]*host, 0, len(d.sorted))
	d.sorted = slices.DeleteFunc(d.sorted, func(h *host) bool {
		if h.Phase != Removed {
			hosts = append(hosts, h)
			return false
		}
		if h.out+h.fills > 0 {
			return false
		}
		delete(d.hosts, h.ID)
		return true
	})
	return hosts
}

// merge is two sorted lists in one.
func merge[T any](a, b []T, order func(x, y T) int) []T {
	all := make([]T, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		from := &a
		if order(b[0], a[0]) < 0 {
			from = &b
		}
		all, *from = append(all, (*from)[0]), (*from)[1:]
	}
	return append(append(all, a...), b...)
}

// sharers is the number of dispatchers, and of shards of them, that send into a zone.
func (d *Router) sharers(zone int) float64 {
	shards := math.Max(1, float64(d.Shards))
	if zone < len(d.DispatchersByZone) && d.DispatchersByZone[zone] > 0 {
		return float64(d.DispatchersByZone[zone]) * shards
	}
	return math.Max(1, float64(d.Dispatchers)) * shards
}

// tell passes news on to the other shards of the process, if there are any.
func (d *Router) tell(n PeerUpdate) {
	if d.Peers != nil {
		d.Peers.Publish(n)
	}
}

// credit books what may be sent to a cold host, up to most, and gives what there is: in one pot for all shards, as each with
// its own could send a GET at once.
func (d *Router) credit(h *host, first, add, most float64) float64 {
	if d.Peers != nil {
		h.credit = d.Peers.AccrueCredit(h.ID, h.OnlineSince, first, add, most)
	} else {
		h.credit = math.Min(h.credit+add, most)
	}
	return h.credit
}

// mayTry tells whether a trial is left for a host, and none of the other shards tries it.
func (d *Router) mayTry(h *host) bool {
	return h.belief.ProbeAllowed() && (d.Peers == nil || d.Peers.ClaimProbe(d.now, h.ID))
}

// spend takes a GET out of what all shards may send to a cold host; false tells that another was faster.
func (d *Router) spend(h *host, work float64) bool {
	return d.Peers == nil || !h.cold || d.Peers.SpendCredit(h.ID, work)
}

// newForward is the next one of a GET; the first needs no memory of its own.
func (g *get) newForward() *forward {
	f := &g.first
	if len(g.forwards) > 0 {
		f = &forward{}
	} else {
		g.forwards = g.forwardsOf[:0]
	}
	f.number = len(g.forwards)
	g.forwards = append(g.forwards, f)
	return f
}

// run passes a GET along the chain for as long as stages pass it on.
func (d *Router) run(g *get) {
	for _, s := range d.chain {
		if s.out(g) != pass {
			return
		}
	}
}

// again puts a GET into the line of further forwards.
func (d *Router) again(g *get) verdict {
	if !g.over && !g.lined {
		g.lined = true
		d.further = append(d.further, g)
	}
	return kept
}

// line empties the line of further forwards, and gives what was in it.
func (d *Router) line() (line []*get) {
	line, d.further = d.further, nil
	return line
}

// chance draws a number from 0 to 1.
func (d *Router) chance(h *host) float64 {
	d.chances++
	sum := fnv.New64a()
	_ = binary.Write(sum, binary.LittleEndian, []uint64{d.Seed, uint64(d.Index), uint64(h.ID), d.chances})
	return float64(rendezvous.Mix(sum.Sum64())>>11) / (1 << 53)
}

// place takes caches and parents into the shared orders, and caches into what is believed of them by their groups; of
// many those alone that came, went or are in another group now.
func (d *Router) place(before []*host) {
	d.parentOrder.Set(idsOf(d.parents), d.parents)
	d.listing++
	many := len(d.caches) >= grouphealth.MinHosts
	var came, went []*host
	for _, h := range d.caches {
		if h.listing == 0 || h.listing != d.listing-1 {
			came = append(came, h)
		}
		if h.listing = d.listing; many || h.belief != nil {
			d.believe(h, many)
		}
	}
	if len(came) > 0 || len(before) != len(d.caches) { // else none went
		for _, h := range before {
			if h.listing != d.listing {
				went = append(went, h)
				d.believe(h, false)
			}
		}
	}
	if len(came)+len(went) > len(d.caches)/4 {
		d.order.Set(idsOf(d.caches), d.caches)
		return
	}
	for _, h := range went {
		d.order.Remove(h.ID)
	}
	for _, h := range came {
		d.order.Add(h.ID, h)
	}
}

// believe has a cache in the group that it is in now, if it is one of many.
func (d *Router) believe(h *host, many bool) {
	group := grouphealth.Group{Kind: h.Kind, Zone: h.Zone, Cell: h.Cell}
	if many && h.belief.In(group) {
		return
	}
	d.beliefs.Remove(h.belief)
	if h.belief = nil; many {
		h.belief = d.beliefs.Add(group)
	}
}

// tried books a forward to a host that is doubted or was left.
func (h *host) tried() {
	if h.left || h.belief.Suspected() {
		h.belief.SpendProbe()
	}
}

// MaxAge is the oldest copy in seconds that will do for a GET after the purges known by now; 0 for any.
func (d *Router) MaxAge(now float64, id uint32) float64 {
	d.now = now
	if g := d.gets[id]; g != nil {
		return d.maxAge(g)
	}
	return 0
}

// pick draws a number below n.
func (d *Router) pick(n int) int {
	d.chances++
	return int(rendezvous.Mix(d.Seed^rendezvous.Mix(uint64(d.Index)<<32+d.chances)) % uint64(n))
}

// hear books a sign of life.
func (h *host) hear(now float64) { h.heard, h.silent = now, 0 }

// end closes a GET's books; it is forgotten when its last forward is back.
func (d *Router) end(g *get) verdict {
	g.over = true
	d.due.Remove(&g.timeout)
	d.forget(g)
	return ended
}

// forget lets a GET go that is over and has nothing out.
func (d *Router) forget(g *get) {
	if g.over && g.out == 0 {
		delete(d.gets, g.ID)
	}
}

// bandwidth is the KB a second that the host's link is told to carry, 0 where that is not told.
func (h *host) bandwidth(d *Router) float64 {
	if !d.WeightsKnown {
		return 0
	}
	return d.TransferRateKB * h.Weight
}

// purgeName is the key of a purge: the object, or the group of all, which no object can be named like.
func purgeName(object string, group int) string {
	if object != "" {
		return object
	}
	return fmt.Sprint(" ", group)
}

// sending is the GET's sending time by its size, 0 where that is not told.
func (d *Router) sending(g *get) float64 {
	if g.SizeKB <= 0 || d.TransferRateKB <= 0 {
		return 0
	}
	return g.SizeKB / d.TransferRateKB
}

// paced takes in what an answer tells of the object's size, and of the pace of its host, its source and the way in.
func (d *Router) paced(g *get, f *forward) {
	a := f.answer
	if d.NoteDetail != FillNotes && f.source != f.host {
		d.contrast(g, f)
	}
	if a.Note == SourceRejected && f.source != f.host {
		d.paces.ObserveRejection(d.now, &f.source.pace)
	}
	if f.miss && a.Outcome == Canceled {
		d.unfinished(g, f)
	}
	if a.SizeKB <= 0 || a.Outcome != Succeeded { // an error's bytes are not the object's
		return
	}
	g.item.kb = a.SizeKB
	g.ds.kb.add(a.SizeKB, learn)
	if d.NoteDetail == NoNotes && !f.miss { // as far as is known: else no size would tell what time a GET takes
		a.Note = CacheHit
	}
	switch a.Note {
	case CacheHit:
		d.paces.ObserveHit(d.now, &f.host.pace, a.SizeKB, a.Elapsed)
	case Filled, FilledByOrigin:
		d.paces.ObserveFill(d.now, &f.host.pace, &f.source.pace, a.SizeKB, a.Elapsed-a.FillWait)
	}
}

// contrast tells, where no note does, whether a fill was turned away for its source: several caches turn most fills from it away, while another
// source gives. Guards against a source that is down before the list says so, whose refusals would pass for a crowded way in and shut all
// fills off; caches that are full turn fills away whatever the source.
func (d *Router) contrast(g *get, f *forward) {
	s := f.source
	switch o := f.answer.Outcome; {
	case o == Succeeded && f.miss:
		s.gave = d.now
		if s.refuses *= 1 - learnFault; s.refuses < learnFault {
			s.refusers = nil
		}
		return
	case o != Rejected:
		return
	}
	s.refuses += (1 - s.refuses) * learnFault
	if len(s.refusers) == 0 {
		s.refused = d.now
	}
	if len(s.refusers) < silentCount && !slices.Contains(s.refusers, f.host) {
		s.refusers = append(s.refusers, f.host)
	}
	if s.refuses < faulty || len(s.refusers) < silentCount {
		return
	}
	for _, other := range append([]*host{d.origin}, d.parents...) {
		if other != nil && other != s && other.gave > s.refused && other.refuses < s.refuses*spareUnder {
			f.cutOff, g.bad = true, append(g.bad, s)
			d.leave(s)
			return
		}
	}
}

// judgedBy is the limits that a fill's end counts against.
func (f *forward) judgedBy() []*allowance {
	if f.cutOff {
		return f.fill[:1]
	}
	return f.fill
}

// expected is the time that a GET's answer takes at the usual pace, 0 as long as that is not known.
func (d *Router) expected(g *get) float64 {
	return d.paces.ExpectedTime(cmp.Or(g.item.kb, g.ds.kb.mean))
}

// told tells whether a forward came to its host and ended there, whatever the answer. Guards against connections that do not come up,
// or break, passing for a crowded way in where no note tells of fills.
func (f *forward) told() bool {
	o := f.answer.Outcome
	return o != Withdrawn && o != Unreachable && o != ConnectionLost && o != ArrivedLate
}

// unfinished takes in what a fill that has not come tells of its source and the way in; not where no note tells of those that came: the way
// in would look as crowded as its latest fills.
func (d *Router) unfinished(g *get, f *forward) {
	if d.NoteDetail == NoNotes {
		return
	}
	d.paces.ObserveUnfinishedFill(d.now, &f.host.pace, &f.source.pace, cmp.Or(g.item.kb, g.ds.kb.mean), d.now-f.at)
}

// cancel ends the wait for all forwards that are still out.
func (d *Router) cancel(g *get) {
	for _, f := range g.forwards {
		if !f.back && !f.moot && d.CanCancel {
			d.wire.Cancel(g.ID, f.number)
		}
		f.moot = true
	}
}

// count bumps the object's count in the bounded, aged table.
func (d *Router) count(g *get) {
	g.item = d.items.touch(d.now, g.Object, g.Part, g.size())
	if told := d.sending(g); told > 0 {
		g.ds.sending.add(told, learnSize)
	}
	g.item.demand.add(d.now, g.size())
	d.total.add(d.now, g.size())
}

func (d *Router) turn(l *allowance) {
	l.turn, l.start, l.seen, l.late, l.peak, l.full = d.now, l.out, 0, 0, l.out, false
}
