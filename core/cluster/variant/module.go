package variant

import (
	"math"
	"math/bits"
)

// Bounds.
const (
	MaxClasses   = 8       // of a service: a class's state is 40 bytes an object, and 8 for each further witness
	MaxWitnesses = 4       // that can be asked for
	MaxObjects   = 1 << 22 // in the table
	maxGroups    = 1 << 14 // patterns that are counted; of further groups nothing is presumed
	maxWitness   = 128     // bytes of a witness's name
	maxFacts     = 1 << 13 // that wait to be told; the oldest goes, and peers keep own keys for it
	maxNotices   = 1 << 12 // that wait
	ways         = 8       // places that an object may have: two words hold their tags
	floorsEach   = 4       // floors of purges an object, so that few objects share one
	partBits     = 4       // 16 parts of the objects: shards seldom meet
	partLeast    = 1 << 8  // objects of a part at least: few would crowd its sets

	warm        = 20.0  // s over which a growing share of GETs goes by a new key: hosts fill it once, not all at one moment
	warmLittle  = 5.0   // s of a class that few ask for here: the class that stands has just been borne out, so that a host has its copy
	little      = 10    // own answers since the join up to which it is such a class: 2 a second of one dispatcher
	hold        = 30.0  // s that a class is held apart after its first split; doubled with each further one
	holdMost    = 7200  // s at most
	forgiven    = 4.0   // times the last hold that a join must have stood for its splits to be forgotten
	checksFirst = 0.1   // share of GETs by their own class right after a join, falling with each that agreed
	checksLeast = 0.002 // share that always remains: an origin may change one variant and tell nobody
	checksRenew = 0.2   // share where evidence is past half of Fresh and would lapse
	besides     = 0.25  // share of a class's GETs that are sent beside while it lacks a witness: what is asked for once or twice pays nothing
	maxBeside   = 4     // places beside a class's own: where hosts are few, some begin at a host that is a witness already
	ticks       = 10.0  // a second: times are kept so, rounded to the past
)

// class is what is known of one class of an object in the object's generation. Two are a line of memory: what only answers need is apart.
type class struct {
	proof    uint64
	since    uint32 // tick of the last change of stands
	until    uint32 // tick up to which it is held apart
	expires  uint32 // tick at which its evidence lapses
	checks   uint16 // own answers that agreed since the join
	agreed   uint8  // classes declared before it with which it was counted for the group's pattern, a bit each
	against  uint8
	n        uint8 // witnesses
	splits   uint8
	stands   int8  // class that stands for it, itself where it stands for others; -1 for none
	last     int8  // that stood before
	from     int8  // class by which the rest of the GETs go while the key is warmed
	disputed bool  // two contents in one generation: not joined until another generation
	vain     uint8 // places beside that brought no new witness
	first    bearer
}

// bearer is a witness of a class's content.
type bearer struct{ host, at uint32 } // at: tick

// entry is an object in the table, a line of memory; its classes are m.classes[i*m.stride:].
type entry struct {
	object     Object
	generation Generation
	order      uint64 // of its floor, as of epoch
	epoch      uint32 // of the module's purges, when the generation's was last seen to be the newest; 0 for never
	ref        bool   // asked for since the hand came by
	_          [3]byte
}

// touch marks an entry as asked for since the hand came by; one that is marked already is left clean in the caches.
func (e *entry) touch() {
	if !e.ref {
		e.ref = true
	}
}

// floor is the newest purge of an object or a group that was told here. By its hash several may share one: owner is whose purge it is.
type floor struct {
	purge uint64 // Unix ms
	order uint64 // local number under which a purge was last heard
	owner uint64
}

// pattern is what the objects of a group bore out, by pair of classes.
type pattern struct {
	agreed, against [MaxClasses * (MaxClasses - 1) / 2]uint32
	stands          [MaxClasses]int8 // what is presumed to stand for each class, -1 for nothing
}

type group struct{ service, group int }

// told waits to be told to peers.
type told struct {
	fact Fact
	host uint32
}

// Module is the state of one dispatcher. It is not safe for concurrent use.
type Module struct {
	s      Settings
	stride int
	// An object has its place among the ways of one set, by its hash: a look takes two words of tags, which caches hold, and what is evicted is
	// of that set. All else of a place is found by its number, so that memory is waited for once.
	ways    int
	each    int                // witnesses of a class besides its first: the most that a service asks for
	tags    [][ways / 4]uint64 // of each set: 16 bits a place, 0 where it is free
	hands   []uint8            // of each set
	used    int
	latest  int // place that was found last, -1 for none: a GET's answer is looked up more than once. Places once taken are never free again
	entries []entry
	classes []class
	bearers []bearer
	zero    float64
	started bool
	// Floors of purges: of all, of services, and by hash of groups and objects. One that two share is higher than need be for one of
	// them: it voids too much, never too little. So nothing that is forgotten lets an older generation in. What facts of peers tell of
	// later purges stands with the object's evidence alone: it is not known here what else they are of.
	all      floor
	services []floor
	floors   []floor
	epoch    uint32 // rises with each purge
	patterns map[group]*pattern
	facts    line[told]
	notices  line[Notice]
	dropped  uint64
	peers    int // dispatchers that share their facts, this one too
	rounds   rounds
}

// New makes a module, or names all that is wrong with the settings.
func New(s Settings) (*Module, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	m := &Module{s: s, services: make([]floor, len(s.Services)), patterns: map[group]*pattern{}, epoch: 1}
	for _, v := range s.Services {
		m.stride = max(m.stride, len(v.Classes))
		if len(v.Classes) > 0 {
			m.each = max(m.each, v.Witnesses-1)
		}
	}
	if m.stride == 0 {
		m.floors = make([]floor, 1)
		return m, nil
	}
	m.ways, m.latest = min(ways, s.Objects), -1
	m.hands = make([]uint8, s.Objects/m.ways)
	places := len(m.hands) * m.ways
	m.tags = make([][ways / 4]uint64, len(m.hands))
	m.entries = make([]entry, places)
	m.classes = make([]class, places*m.stride)
	m.bearers = make([]bearer, places*m.stride*m.each)
	n := 1
	for n < s.Objects*floorsEach {
		n *= 2
	}
	m.floors = make([]floor, n)
	return m, nil
}

func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// KeyOf is the key by which hosts, their order, byte rates and joint forwards know an object of a class; the object's own for class 0 and
// where there is none.
func KeyOf(object uint64, class int) uint64 {
	if class <= 0 {
		return object
	}
	return mix(object ^ uint64(class)*0xd6e8feb86659fd93)
}

// PlaceOf is KeyOf by a place beside the class's own. Only the order of hosts, and what is counted by name, goes by it: a host is asked for the class.
func PlaceOf(object uint64, class, beside int) uint64 { return KeyOf(object, class+MaxClasses*beside) }

// Places is up to which place names of a service's objects are in use.
func (v *Service) Places() int {
	if v.Witnesses < 2 {
		return 0
	}
	return maxBeside
}

func id(o Object) uint64 { return mix(o.Object ^ uint64(o.Service)*0x9e3779b97f4a7c15) }

// set is an object's set, and its tag, which is never 0.
func (m *Module) set(o Object) (int, uint64) {
	tag := mix(id(o)^uint64(o.Part)*0xd6e8feb86659fd93) | 1
	high, _ := bits.Mul64(tag, uint64(len(m.hands)))
	return int(high), tag & 0xffff
}

// low is all bits of a word's four tags but their highest.
const low = 0x7fff7fff7fff7fff

// alike marks the highest bit of each of a word's four tags that is the one looked for.
func alike(word, tag uint64) uint64 {
	x := word ^ tag*0x0001000100010001
	return ^(x&low + low | x | low)
}

func groupID(service, g int) uint64 { return mix(uint64(g)<<20 ^ uint64(service) ^ 0xa0761d6478bd642f) }

func (m *Module) slot(owner uint64) *floor { return &m.floors[owner&uint64(len(m.floors)-1)] }

// told is the floor that counts for an object: the time of its newest purge, and the number under which one was last heard. It is exact
// where that purge is not another's with which it shares a floor: only then do others mean the same by it.
func (m *Module) told(o Object) (f floor, exact bool) {
	f = m.all
	if o.Service >= 0 && o.Service < len(m.services) {
		f = f.over(m.services[o.Service])
	}
	own, g := id(o), groupID(o.Service, o.Group)
	x, y := m.slot(own), m.slot(g)
	f = f.over(*x).over(*y)
	return f, (x.purge < f.purge || f.purge == 0 || x.owner == own || x.owner == g) && (y.purge < f.purge || f.purge == 0 || y.owner == g || y.owner == own)
}

func (f floor) over(o floor) floor {
	return floor{purge: max(f.purge, o.purge), order: max(f.order, o.order)}
}

// hear takes a purge: later ones stand. That it was heard counts whatever its time: who has not heard it may have older copies.
func (f *floor) hear(purge, order, owner uint64) {
	if f.order = max(f.order, order); purge > f.purge {
		f.purge, f.owner = purge, owner
	}
}

// Told is the time of the newest purge that counts for an object, of those told here; 0 for none. An answer bears the one of when its
// forward began.
func (m *Module) Told(o Object) uint64 {
	f, _ := m.told(o)
	return f.purge
}

// heard tells whether an answer is of the generation at hand: whoever sent it had heard each purge that was told here for its object, whose
// place is i.
func (m *Module) heard(a *Answer, i int) bool {
	var f floor
	if i >= 0 && m.entries[i].object.Group == a.Object.Group && m.current(&m.entries[i]) {
		f.purge, f.order = m.entries[i].generation.Purge, m.entries[i].order
	} else {
		f, _ = m.told(a.Object)
	}
	return f.order <= a.Known && f.purge == a.Generation.Purge
}

// Purged takes a purge that was told here, by its time (Unix ms) and the number under which it was heard, which rises from event to event.
// One of no time is later than those before, and means nothing to others. It voids all evidence of generations before: of all (service -1), of a group, of an object (group -1), of a service (group -1, object 0).
func (m *Module) Purged(service int, object uint64, g int, purge, order uint64) {
	of := func(k group) bool { return true }
	f, owner := &m.all, uint64(0)
	switch {
	case service < 0:
	case service >= len(m.services):
		return
	case g >= 0:
		owner = groupID(service, g)
		f = m.slot(owner)
		of = func(k group) bool { return k == group{service, g} }
	case object == 0:
		f = &m.services[service]
		of = func(k group) bool { return k.service == service }
	default:
		owner = id(Object{Service: service, Object: object})
		f, of = m.slot(owner), nil
	}
	if purge == 0 && order > f.order {
		purge, owner = f.purge+1, 0
	}
	news := purge > f.purge || order > f.order
	f.hear(purge, order, owner)
	if !news {
		return // another shard told of it
	}
	if m.epoch++; m.epoch == 0 {
		m.epoch = 1
		for i := range m.entries {
			m.entries[i].epoch = 0
		}
	}
	if of == nil {
		return
	}
	for k := range m.patterns {
		if of(k) {
			delete(m.patterns, k)
		}
	}
}

// current tells whether an entry's generation is of the newest purge that was told here: not of one before, nor of one that facts alone told.
func (m *Module) current(e *entry) bool {
	if e.epoch == m.epoch {
		return true
	}
	f, _ := m.told(e.object)
	if e.generation.Purge != f.purge {
		return false
	}
	e.epoch, e.order = m.epoch, f.order
	return true
}

func (m *Module) tick(now float64) uint32 {
	if !m.started {
		m.zero, m.started = now-1, true // tick 0 is before all
	}
	return uint32(min(max(0, (now-m.zero)*ticks), math.MaxUint32-1))
}

func (m *Module) service(o Object, c int) *Service {
	if o.Service < 0 || o.Service >= len(m.s.Services) {
		return nil
	}
	if v := &m.s.Services[o.Service]; v.Repeats && c >= 0 && c < len(v.Classes) {
		return v
	}
	return nil
}

// find gives an object's place in the table, -1 where it isn't there.
func (m *Module) find(o Object) int {
	if len(m.hands) == 0 {
		return -1
	}
	if i := m.latest; i >= 0 && m.entries[i].is(&o) {
		return i
	}
	s, tag := m.set(o)
	for w, word := range m.tags[s] {
		for marks := alike(word, tag); marks != 0; marks &= marks - 1 {
			if i := s*m.ways + w*4 + bits.TrailingZeros64(marks)/16; m.entries[i].is(&o) {
				m.latest = i
				return i
			}
		}
	}
	return -1
}

func (e *entry) is(o *Object) bool {
	return e.object.Object == o.Object && e.object.Service == o.Service && e.object.Part == o.Part
}

func (m *Module) of(i int) []class {
	return m.classes[i*m.stride : i*m.stride+len(m.s.Services[m.entries[i].object.Service].Classes)]
}

// borne is the nth witness of a class's content.
func (m *Module) borne(i, c, n int) *bearer {
	if n == 0 {
		return &m.classes[i*m.stride+c].first
	}
	return &m.bearers[(i*m.stride+c)*m.each+n-1]
}

// Key says by which class a GET of a class is looked for.
func (m *Module) Key(now float64, o Object, c int) Key {
	own := Key{Class: c, Own: true}
	v := m.service(o, c)
	if v == nil {
		return own
	}
	i := m.find(o)
	current := i >= 0 && m.current(&m.entries[i])
	if current {
		own.Told = m.entries[i].generation.Purge
	} else {
		own.Told = m.Told(o)
	}
	if i < 0 && v.Presume == nil {
		return own
	}
	t := m.tick(now)
	draw := mix(math.Float64bits(now) ^ m.s.Seed ^ mix(o.Object) ^ uint64(c)<<56)
	low, high := float64(draw&0xffffffff)/(1<<32), float64(draw>>32)/(1<<32)
	if i >= 0 {
		m.entries[i].touch()
		k := m.of(i)
		if d := &k[c]; d.stands >= 0 && t < d.expires && current {
			stands := d.standing(c, t, low)
			if stands == c {
				return own
			}
			if high < m.share(v, d, t) {
				return Key{Class: c, Own: true, Checks: true, Told: own.Told, Beside: m.renews(v, d, draw)}
			}
			return Key{Class: stands, Told: own.Told}
		}
		if v.Witnesses > 1 && current && high < besides {
			own.Beside = m.beside(v, k, c, t)
		}
	}
	return m.presume(v, o, i, t, high, own)
}

// standing is the class by which a GET of class c is looked for where one stands for it: part of them, by a draw, go by the one before while
// the key is warmed.
func (d *class) standing(c int, t uint32, draw float64) int {
	if d.from >= 0 && t-d.since < warm*ticks && draw*d.warms(c)*ticks >= float64(t-d.since) {
		return int(d.from)
	}
	return int(d.stands)
}

// presume gives the key of an object whose evidence is not there, by the pattern of its group; own where there is no such pattern.
func (m *Module) presume(v *Service, o Object, i int, t uint32, draw float64, own Key) Key {
	c := own.Class
	if v.Presume == nil {
		return own
	}
	p := m.patterns[group{o.Service, o.Group}]
	if p == nil || p.stands[c] < 0 {
		return own
	}
	d := int(p.stands[c])
	if i >= 0 && !m.presumable(i, d, c, t) {
		return own
	}
	if draw < max(v.Presume.Checks, checksFirst*float64(v.Presume.Objects)/float64(max(1, p.agreed[pair(d, c)]))) {
		return Key{Class: c, Own: true, Checks: true, Presume: true, Told: own.Told}
	}
	return Key{Class: d, Presume: true, Told: own.Told}
}

// Peers tells how many dispatchers share their facts, this one too: all of them together then check as much as one alone would, as any of
// them tells all. Guards against 300 that each make sure anew, at the cost of the copies that were to be saved.
func (m *Module) Peers(n int) { m.peers = n }

// warms is over how long (s) class c's new key is warmed: one that went by its own until now is joined to one that has just been borne out.
func (d *class) warms(c int) float64 {
	if int(d.from) == c && d.checks < little {
		return warmLittle
	}
	return warm
}

// beside is the place by which a class that lacks a witness is asked for; 0 where none would help it to another class's key: only those whose
// known contents are equal are worth a further fill.
func (m *Module) beside(v *Service, k []class, c int, t uint32) int {
	open := func(d *class) bool { return d.n > 0 && !d.disputed && d.until <= t && t < d.expires }
	d := &k[c]
	if !open(d) || int(d.n) >= v.Witnesses || d.vain >= maxBeside {
		return 0
	}
	for l := range k {
		if l != c && open(&k[l]) && k[l].proof == d.proof {
			return min(maxBeside, int(max(d.n, d.vain+1)))
		}
	}
	return 0
}

// renews is the place by which a joined class's evidence that would lapse is asked for anew: each of its witnesses must be heard again.
func (m *Module) renews(v *Service, d *class, draw uint64) int {
	if v.Witnesses < 2 || d.expires == math.MaxUint32 {
		return 0
	}
	return int(draw>>16) % min(maxBeside+1, v.Witnesses+int(d.vain))
}

// share is that of a joined class's GETs that ask by their own class all the same.
func (m *Module) share(v *Service, d *class, t uint32) float64 {
	s := max(checksLeast, checksFirst/float64(1+d.checks)/float64(max(1, m.peers)))
	if d.expires != math.MaxUint32 && float64(d.expires-t) < v.Fresh*ticks/2 {
		s = max(s, checksRenew)
	}
	return s
}

// presumable tells whether nothing that is known of an object speaks against its class c being d's.
func (m *Module) presumable(i, d, c int, t uint32) bool {
	e, k := &m.entries[i], m.of(i)
	if a, b := min(d, c), max(d, c); k[b].against&(1<<a) != 0 || k[c].until > t || k[d].until > t || k[c].disputed || k[d].disputed {
		return false
	}
	return k[c].n == 0 || k[d].n == 0 || k[c].proof == k[d].proof || e.generation.Purge < m.Told(e.object)
}

// Fits tells whether an answer to a GET of class c may be given to its client; else it is to be asked anew by its own class. It is asked
// after Answered, before the first byte goes out. Without it a new version of one variant reaches clients of another class until it is known.
func (m *Module) Fits(now float64, c int, k Key, a *Answer) bool {
	if a.Class == c {
		return true
	}
	v := m.service(a.Object, c)
	if v == nil || m.service(a.Object, a.Class) == nil || a.Proof == 0 {
		return false
	}
	i := m.find(a.Object)
	if !m.heard(a, i) {
		return false
	}
	t := m.tick(now)
	if k.Presume {
		if i < 0 {
			return true
		}
		d := &m.of(i)[c]
		if m.entries[i].generation.Purge > a.Generation.Purge || !m.presumable(i, a.Class, c, t) {
			return false
		}
		return d.n == 0 || m.entries[i].generation != a.Generation || d.proof == a.Proof
	}
	if i < 0 {
		return false
	}
	d, by := &m.of(i)[c], &m.of(i)[a.Class] // both: so many witnesses must bear out either, or one that lies about a tag would do
	return m.entries[i].generation == a.Generation && m.sure(v, d, t) && d.proof == a.Proof && m.sure(v, by, t) && by.proof == a.Proof
}

// sure tells whether a class's content is known as well as is asked for.
func (m *Module) sure(v *Service, d *class, t uint32) bool {
	return !d.disputed && int(d.n) >= v.Witnesses && d.until <= t && t < d.expires
}
