package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"elderwall/core/cluster/variant"
	"elderwall/core/routing/rendezvous"
	"elderwall/core/timerwheel"
)

// Ways by which GETs of device classes may be looked for, side by side.
const (
	ByClass  = "keys by class"    // as without variants
	OneKey   = "one key"          // for all classes: wrong
	Alone    = "each alone"       // the program's, no facts from other dispatchers
	Fleet    = "fleet"            // the program's
	Beats    = "beats"            // the program's, with beats that bound how old facts are
	Presumed = "presume"          // the program's, sameness of new objects presumed
	Knowing  = "ideal"            // knows the truth at once
	AtOnce   = "evidence at once" // knows at once what any dispatcher's answer bore and no more: what is left of the ideal's saving is inherent
)

// VariantsScenario is dispatchers, cache hosts and an origin that answers by device class. Times are in seconds.
// Facts reach each other dispatcher after a delay by chance (FactDelay in the mean), as RunMemory measures it for records: there is no replica in it.
type VariantsScenario struct {
	Seed         uint64
	Way          string
	Dispatchers  int
	Hosts        int
	Holds        int // answers that a host holds
	Objects      int
	Skew         float64 // of Zipf, over the objects
	Same         []int   // by class: classes with one number get the same bytes
	Odd          float64 // share of the objects whose classes all differ
	Rate         float64 // GETs a second, all together
	Lasts        float64 // an answer at a host
	Lapses       float64 // evidence of no version, where changes are silent
	Changes      float64 // of an object's bytes a second, of all objects together
	One          float64 // share of those that change one class only
	Silent       float64 // share of those with no version that are not purged either
	Fresh        float64 // objects a second that are new: an old one's place and popularity
	PurgeDelay   float64 // until a dispatcher hears of a purge, in the mean
	FactDelay    float64
	OriginRate   float64 // fills a second that the origin takes; what is over is shed
	Witnesses    int
	Liars        int // hosts that give one proof for all classes
	Checks       float64
	Warm, Span   float64
	Cut, CutFor  float64 // s after Warm: half of the dispatchers hear no facts of the other half
	TablesHold   int     // objects in a dispatcher's table
	OfOneService bool
}

// VariantsDefault is 300 dispatchers and 100 hosts.
func VariantsDefault() VariantsScenario {
	return VariantsScenario{
		Seed: 1, Way: Fleet, Dispatchers: 300, Hosts: 100, Holds: 100, Objects: 4000, Skew: 0.9, Same: []int{0, 0, 0, 1, 1}, Odd: 0.05, Rate: 10_000, Lasts: 60, Lapses: 60,
		Changes: 1, One: 0.5, Silent: 0, PurgeDelay: 0.1, FactDelay: 0.5, OriginRate: 700, Witnesses: 1, Checks: 0.01, Warm: 200, Span: 200, TablesHold: 8000,
	}
}

// The delivery services of a scenario, object by object: of ten objects six, three and one.
const (
	named    = iota // the origin names versions, hosts a strong tag
	bodies          // no versions; the body is digested here
	tokened         // never rewritten
	services        // so many
)

// VariantsResult is what came of it; all of it is simulated. Shares are of the GETs that counted.
type VariantsResult struct {
	GETs    int       `json:"GETs"`
	Hits    float64   `json:"Hits"`    // share of the GETs
	Fills   float64   `json:"Fills"`   // at the origin, a second
	Again   float64   `json:"Again"`   // share of the GETs that were sent once more, by their own class
	Checked float64   `json:"Checked"` // share of the GETs that were sent by their own class to check
	Apart   float64   `json:"Apart"`   // share of the GETs that were sent by another class's key than the ideal would have sent them by, not to check
	Shed    float64   `json:"Shed"`    // by the origin's rate
	Missed  float64   `json:"Missed"`  // GETs a second that no host could answer from what it held: filled or shed
	Revenue float64   `json:"Revenue"` // share of what all GETs are worth: services pay 1, 2 and 4; wrong bytes nothing
	Copies  float64   `json:"Copies"`  // held at the end
	Spare   float64   `json:"Spare"`   // of them with the bytes of another one at the same host or another's, of one object
	Wrong   int       `json:"Wrong"`   // GETs with bytes that never were their class's since the last purge that their dispatcher had heard of
	Older   int       `json:"Older"`   // GETs with bytes that were their class's before
	Facts   float64   `json:"Facts"`   // a second, all dispatchers together
	Objects float64   `json:"Objects"` // in a dispatcher's table, in the mean
	Course  []float64 `json:"Course"`
	Faults  []string  `json:"Faults"` // the first wrong ones
}

// keys is a dispatcher's way to find keys.
type keys interface {
	key(now float64, o *item, class int) (stands, beside int, checks bool)
	// answered takes what came for a GET; false where the bytes may not go to it, and it has to be sent by its own class.
	answered(now float64, o *item, class int, r response) bool
	purged(now float64, o *item, purge uint64)
	facts() []variantFact
	learn(now float64, f variantFact)
	objects() int
}

// item is an object as the origin knows it: its contents by state and class.
type item struct {
	index   int
	id      uint64
	service int
	purge   uint64
	states  [][]uint64
	floors  map[uint64]int // by purge: the state at which it came
}

// copyOf is an answer as a host holds it.
type copyOf struct {
	content, proof uint64
	class, state   int
	purge, version uint64
	at             float64
}

type hostKey struct {
	id    uint64
	class int
}

// response is what a fetch from a host gave.
type response struct {
	asked, beside int // class and place beside it that were asked for
	copyOf
	hit  bool
	host uint32
	ok   bool // false where the origin had no capacity for it
}

type placeKey struct {
	hostKey
	beside int
}

type variantsWorld struct {
	VariantsScenario
	chance *rand.Rand
	now    float64
	acts   timerwheel.Wheel[func()]
	items  []*item
	upTo   []float64 // popularity, summed up
	hosts  []*simplelru.LRU[hostKey, copyOf]
	index  rendezvous.Index[uint32]
	first  map[placeKey]*rendezvous.Prefix
	all    []keys
	heard  [][]uint64 // by dispatcher and item: the highest purge
	next   uint64
	known  map[*item]*borne // AtOnce's
	purges uint64
	room   float64 // of the origin, as a bucket
	roomAt float64
	out    *VariantsResult
	fills  int
	facts  int
	paid   float64
	worth  float64
	bins   []int
}

// RunVariants plays one.
func RunVariants(s VariantsScenario) (*VariantsResult, error) {
	if s.Dispatchers < 1 || s.Hosts < 1 || s.Objects < 1 || s.Rate <= 0 || len(s.Same) < 1 || s.Holds < 1 || s.Span <= 0 {
		return nil, fmt.Errorf("variants: %d dispatchers, %d hosts, %d objects of %d classes: out of range", s.Dispatchers, s.Hosts, s.Objects, len(s.Same))
	}
	w := &variantsWorld{VariantsScenario: s, chance: rand.New(rand.NewPCG(s.Seed, 47)), first: map[placeKey]*rendezvous.Prefix{}, known: map[*item]*borne{}, out: &VariantsResult{}, bins: make([]int, int(s.Warm+s.Span)+1)}
	sum := 0.0
	for i := range s.Objects {
		w.items = append(w.items, w.item(i))
		sum += math.Pow(float64(i+1), -s.Skew)
		w.upTo = append(w.upTo, sum)
	}
	ids := make([]uint32, s.Hosts)
	for i := range ids {
		ids[i] = uint32(i + 1)
		l, _ := simplelru.NewLRU[hostKey, copyOf](s.Holds, nil)
		w.hosts = append(w.hosts, l)
	}
	w.index.Set(ids, ids)
	for i := range s.Dispatchers {
		w.all = append(w.all, w.keys(i))
		w.heard = append(w.heard, make([]uint64, s.Objects))
	}
	if s.Way == Beats {
		giver := variant.NewStampIssuer(s.Seed)
		for i := range w.all {
			w.acts.Add(w.chance.Float64()*variant.StampInterval, func() { w.ask(giver, i) })
		}
	}
	w.every(s.Changes, w.change)
	w.every(s.Fresh, w.fresh)
	end := s.Warm + s.Span
	for w.now < end {
		w.now += w.chance.ExpFloat64() / s.Rate
		for e, ok := w.acts.PopAt(w.now); ok; e, ok = w.acts.PopAt(w.now) {
			at := w.now
			w.now = e.At
			e.Item()
			w.now = at
		}
		w.get()
	}
	w.sum()
	return w.out, nil
}

// every does something at a rate, by chance.
func (w *variantsWorld) every(rate float64, do func()) {
	if rate > 0 {
		w.acts.Add(w.now+w.chance.ExpFloat64()/rate, func() { do(); w.every(rate, do) })
	}
}

// item is a new object at a place of the popularity.
func (w *variantsWorld) item(place int) *item {
	w.next++
	service := []int{named, bodies, named, named, bodies, named, tokened, named, bodies, named}[w.next%10]
	if w.OfOneService {
		service = named
	}
	o := &item{index: place, id: rendezvous.Mix(w.next), service: service, floors: map[uint64]int{}}
	same := w.Same
	if w.chance.Float64() < w.Odd {
		same = make([]int, len(w.Same))
		for c := range same {
			same[c] = c
		}
	}
	contents := make([]uint64, len(same))
	for c := range contents {
		if first := slices.Index(same, same[c]); first < c {
			contents[c] = contents[first]
		} else {
			contents[c] = w.chance.Uint64() | 1
		}
	}
	o.states = [][]uint64{contents}
	return o
}

// change changes an object's bytes: of one class, or of all as they were the same before. Where no version names it, a purge follows.
func (w *variantsWorld) change() {
	o := w.items[w.pick()]
	last := o.states[len(o.states)-1]
	contents := slices.Clone(last)
	if w.chance.Float64() < w.One {
		contents[w.chance.IntN(len(contents))] = w.chance.Uint64() | 1
	} else {
		anew := map[uint64]uint64{}
		for c, x := range last {
			if anew[x] == 0 {
				anew[x] = w.chance.Uint64() | 1
			}
			contents[c] = anew[x]
		}
	}
	o.states = append(o.states, contents)
	if o.service != named && w.chance.Float64() >= w.Silent || w.chance.Float64() < 0.1 {
		w.purge(o)
	}
}

// ask has a dispatcher ask for a beat, over a way and back as long as facts take.
func (w *variantsWorld) ask(g *variant.StampIssuer, i int) {
	sent := w.now
	w.acts.Add(w.now+w.FactDelay*w.chance.ExpFloat64(), func() {
		b := g.Next()
		w.acts.Add(w.now+w.FactDelay*w.chance.ExpFloat64(), func() { w.all[i].(*program).RecordStamp(sent, w.now, b) })
	})
	w.acts.Add(w.now+variant.StampInterval, func() { w.ask(g, i) })
}

// purge empties the hosts of an object at once; dispatchers hear of it one by one.
func (w *variantsWorld) purge(o *item) {
	w.purges++ // numbers are of one log, for all objects
	o.purge = w.purges
	o.floors[o.purge] = len(o.states) - 1
	for c := range w.Same {
		for _, h := range w.hosts {
			h.Remove(hostKey{o.id, c})
		}
	}
	purge := o.purge
	for i, k := range w.all {
		w.acts.Add(w.now+w.PurgeDelay*w.chance.ExpFloat64(), func() {
			if w.items[o.index] == o {
				w.heard[i][o.index] = max(w.heard[i][o.index], purge)
			}
			if k != nil {
				k.purged(w.now, o, purge)
			}
		})
	}
}

// fresh puts a new object in an old one's place.
func (w *variantsWorld) fresh() {
	at := w.pick()
	delete(w.known, w.items[at])
	w.items[at] = w.item(at)
	for i := range w.heard {
		w.heard[i][at] = 0
	}
}

func (w *variantsWorld) pick() int {
	i, _ := slices.BinarySearch(w.upTo, w.chance.Float64()*w.upTo[len(w.upTo)-1])
	return min(i, len(w.items)-1)
}

// get is one GET from the client to the checker.
func (w *variantsWorld) get() {
	o, class := w.items[w.pick()], w.chance.IntN(len(w.Same))
	d := w.chance.IntN(len(w.all))
	counts, worth := w.now >= w.Warm, float64(int(1)<<o.service)
	if counts {
		w.out.GETs++
		w.worth += worth
	}
	asked, beside, checks := w.choose(d, o, class)
	if truth := o.states[len(o.states)-1]; counts && o.service != tokened && slices.Index(truth, truth[class]) != asked {
		if checks {
			w.out.Checked++
		} else {
			w.out.Apart++
		}
	}
	r := w.fetch(o, asked, beside)
	if r.ok && o.service != tokened {
		r = w.settle(d, o, class, r)
	}
	if !counts {
		return
	}
	if !r.ok {
		w.out.Shed++
		return
	}
	if r.hit {
		w.out.Hits++
	}
	if w.check(d, o, class, asked, r.copyOf) {
		w.paid += worth
	}
}

// choose gives the class by which a dispatcher asks for an object, the place beside it, and whether it is a check.
func (w *variantsWorld) choose(d int, o *item, class int) (asked, beside int, checks bool) {
	switch {
	case o.service == tokened || w.Way == ByClass:
		return class, 0, false
	case w.Way == OneKey:
		return 0, 0, false
	case w.Way == AtOnce:
		return w.known[o].stands(w, o, class), 0, false
	case w.Way == Knowing:
		truth := o.states[len(o.states)-1]
		return slices.Index(truth, truth[class]), 0, false
	default:
		return w.all[d].key(w.now, o, class)
	}
}

// settle takes a response as evidence. It gives the one that goes to the client: another where the first may not.
func (w *variantsWorld) settle(d int, o *item, class int, r response) response {
	switch w.Way {
	case ByClass, OneKey:
	case AtOnce:
		if !w.bear(o, r.asked, r.copyOf) || !w.known[o].same(w, class, r.asked) {
			if r = w.fetch(o, class, 0); r.ok {
				w.bear(o, class, r.copyOf)
			}
		}
	case Knowing:
		if r.content != o.states[r.state][class] {
			r = w.fetch(o, class, 0)
		}
	default:
		if !w.all[d].answered(w.now, o, class, r) {
			if w.now >= w.Warm {
				w.out.Again++
			}
			if r = w.fetch(o, class, 0); r.ok {
				w.all[d].answered(w.now, o, class, r)
			}
		}
		w.spread(d)
	}
	return r
}

// borne is what any answer bore, by class, in the newest generation that one bore.
type borne struct {
	purge, version uint64
	content        []uint64
	at             []float64
	first          []int // classes in the order in which they were known: the first's copy is at a host already
}

// bear takes an answer as evidence; false for one of an older generation.
func (w *variantsWorld) bear(o *item, class int, a copyOf) bool {
	b := w.known[o]
	if b == nil || a.purge > b.purge || a.purge == b.purge && a.version > b.version {
		b = &borne{purge: a.purge, version: a.version, content: make([]uint64, len(w.Same)), at: make([]float64, len(w.Same))}
		w.known[o] = b
	} else if a.purge < b.purge || a.version < b.version {
		return false
	}
	if b.content[class] == 0 {
		b.first = append(b.first, class)
	}
	b.content[class], b.at[class] = a.content, w.now
	return true
}

func (b *borne) same(w *variantsWorld, class, as int) bool {
	lapsed := func(c int) bool { return b.version == 0 && w.Silent > 0 && w.now > b.at[c]+w.Lapses }
	return class == as || b.content[class] != 0 && b.content[class] == b.content[as] && !lapsed(class) && !lapsed(as)
}

func (b *borne) stands(w *variantsWorld, o *item, class int) int {
	if b == nil || b.purge < o.purge {
		return class
	}
	for _, c := range b.first {
		if b.same(w, class, c) {
			return c
		}
	}
	return class
}

// fetch gets an answer of a class from the host that its key, or a place beside, names.
func (w *variantsWorld) fetch(o *item, class, beside int) response {
	k := hostKey{o.id, class}
	at := placeKey{k, beside}
	spread, first := 1, w.first[at]
	if o.index < len(w.items)/100 {
		spread = 3
	}
	skip := w.chance.IntN(spread)
	r := response{asked: class, beside: beside}
	key := rendezvous.Mix(o.id + uint64(class+variant.MaxClasses*beside))
	w.index.Walk(key, &first, skip, func(h uint32) bool { r.host = h; return false })
	w.first[at] = first
	held := w.hosts[r.host-1]
	if cached, ok := held.Get(k); ok && w.now < cached.at+w.Lasts {
		r.copyOf, r.hit, r.ok = cached, true, true
		return r
	}
	w.room = min(w.OriginRate, w.room+w.OriginRate*(w.now-w.roomAt))
	w.roomAt = w.now
	if w.room < 1 {
		return r
	}
	w.room--
	if w.now >= w.Warm {
		w.fills++
	}
	w.bins[int(min(w.now, w.Warm+w.Span))]++
	state := len(o.states) - 1
	a := copyOf{content: o.states[state][class], class: class, state: state, purge: o.purge, at: w.now}
	a.proof = a.content
	if int(r.host) <= w.Liars {
		a.proof = o.states[state][0]
	}
	if o.service == named {
		a.version = uint64(state + 1)
	}
	held.Add(k, a)
	r.copyOf, r.ok = a, true
	return r
}

// check tells whether a GET got its own class's bytes. It knows nothing of keys.
func (w *variantsWorld) check(d int, o *item, class, asked int, a copyOf) bool {
	if a.content == o.states[a.state][class] {
		return true
	}
	for s := o.floors[w.heard[d][o.index]]; s < a.state; s++ {
		if a.content == o.states[s][class] {
			w.out.Older++
			return true
		}
	}
	if w.out.Wrong++; len(w.out.Faults) < 10 {
		w.out.Faults = append(w.out.Faults, fmt.Sprintf("%.3f s: dispatcher %d, object %x of service %d: class %d got class %d's of state %d of %d, purge %d (heard %d), version %d",
			w.now, d, o.id, o.service, class, asked, a.state, len(o.states), a.purge, w.heard[d][o.index], a.version))
	}
	return false
}

// spread takes a dispatcher's facts to the others.
func (w *variantsWorld) spread(d int) {
	for _, f := range w.all[d].facts() {
		w.facts++
		if w.Way == Alone {
			continue
		}
		for i, k := range w.all {
			if i != d {
				at := w.now + w.FactDelay*w.chance.ExpFloat64()
				if from, to := w.Warm+w.Cut, w.Warm+w.Cut+w.CutFor; w.CutFor > 0 && i%2 != d%2 && at > from && at < to {
					at = to + w.FactDelay*w.chance.ExpFloat64()
				}
				w.acts.Add(at, func() { k.learn(w.now, f) })
			}
		}
	}
}

func (w *variantsWorld) sum() {
	r, n := w.out, float64(max(1, w.out.GETs))
	r.Hits, r.Again, r.Shed, r.Checked, r.Apart = r.Hits/n, r.Again/n, r.Shed/n, r.Checked/n, r.Apart/n
	r.Revenue = w.paid / max(1, w.worth)
	r.Missed = (1 - r.Hits) * n / w.Span
	r.Fills, r.Facts = float64(w.fills)/w.Span, float64(w.facts)/(w.Warm+w.Span)
	for _, h := range w.hosts {
		r.Copies += float64(h.Len())
	}
	type one struct{ id, content uint64 }
	seen := map[one]map[uint32]int{}
	for i, h := range w.hosts {
		for _, k := range h.Keys() {
			if a, ok := h.Peek(k); ok {
				x := one{k.id, a.content}
				if seen[x] == nil {
					seen[x] = map[uint32]int{}
				}
				seen[x][uint32(a.class)]++
				_ = i
			}
		}
	}
	for _, by := range seen { // copies of one class at several hosts are meant
		most, all := 0, 0
		for _, k := range by {
			most, all = max(most, k), all+k
		}
		r.Spare += float64(all - most)
	}
	for _, k := range w.all {
		if k == nil {
			break
		}
		r.Objects += float64(k.objects()) / float64(len(w.all))
	}
	for _, b := range w.bins {
		r.Course = append(r.Course, float64(b))
	}
}

// variantFact is what one dispatcher tells the others.
type variantFact = variant.Fact

// program is the product's module at one dispatcher.
type program struct {
	*variant.Module
	floor uint64
	key1  variant.Key
	order uint64 // of purges that were heard
	known uint64 // of them when the key was given
}

func (w *variantsWorld) keys(i int) keys {
	if w.Way == ByClass || w.Way == OneKey || w.Way == Knowing || w.Way == AtOnce {
		return nil
	}
	var classes []string
	for c := range w.Same {
		classes = append(classes, fmt.Sprint("c", c))
	}
	all := make([]variant.Service, services)
	for s := range all {
		all[s] = variant.Service{Classes: classes, Proof: variant.ProofByTag, Witnesses: w.Witnesses, Idempotent: s != tokened, EvidenceTTL: math.Inf(1)}
		if w.Silent > 0 {
			all[s].EvidenceTTL = w.Lapses
		}
		if w.Way == Presumed {
			all[s].Presumption = &variant.Presumption{MinObjects: 20, MinCheckShare: w.Checks}
		}
	}
	m, err := variant.New(variant.Settings{Services: all, MaxObjects: w.TablesHold, Seed: w.Seed + uint64(i)<<16, Self: fmt.Sprint("n", i)})
	if err != nil {
		panic(err) // the settings stand above
	}
	if w.Way != Alone {
		m.SetDispatchers(w.Dispatchers)
	}
	return &program{Module: m}
}

func named1(o *item) variant.Object {
	return variant.Object{Service: o.service, ID: o.id, Group: o.service}
}

func (p *program) key(now float64, o *item, class int) (stands, beside int, checks bool) {
	p.floor, p.known = p.PurgeFloor(named1(o)), p.order
	p.key1 = p.Key(now, named1(o), class)
	return p.key1.Class, p.key1.Alternate, p.key1.Check
}

func (p *program) answered(now float64, o *item, class int, r response) bool {
	answer := variant.Answer{
		Object: named1(o), Class: r.asked, Alternate: r.beside, Host: r.host, ContentHash: r.proof,
		Generation: variant.Generation{Purge: p.floor, Version: r.version}, KnownEvent: p.known, SentAt: now,
	}
	p.RecordAnswer(now, answer)
	k := p.key1
	if r.asked == class {
		k = variant.Key{Class: class, Own: true}
	}
	return p.MayServe(now, class, k, &answer)
}

func (p *program) purged(now float64, o *item, purge uint64) {
	p.order++
	p.RecordPurge(o.service, o.id, -1, purge, p.order)
}
func (p *program) facts() []variantFact             { return p.Facts(1000) }
func (p *program) learn(now float64, f variantFact) { p.Learn(now, []variant.Fact{f}) }
func (p *program) objects() int                     { return p.ObjectCount() }
