package variant

import (
	"math"
	"math/bits"
)

// Limits and tuning constants. Times are in seconds unless another unit is given.
const (
	MaxClasses          = 8       // classes of a service; the state of a class is 40 bytes per object, plus 8 for each further witness
	MaxWitnesses        = 4       // highest number of witnesses that a service may ask for
	MaxObjects          = 1 << 22 // entries in the table
	maxGroups           = 1 << 14 // groups whose patterns are counted; nothing is presumed for further groups
	maxWitnessName      = 128     // bytes of a witness's name
	maxFacts            = 1 << 13 // facts that wait to be sent; the oldest is dropped, and peers keep using the class's own key in its place
	maxNotices          = 1 << 12 // notices that wait to be taken
	ways                = 8       // entries in which an object may be stored; their tags fit into two words
	floorsPerObject     = 4       // purge floors per object, so that few objects share one
	partitionBits       = 4       // 16 partitions, so that the shards rarely contend
	minPartitionObjects = 1 << 8  // least number of objects per partition; with fewer, the sets of the table would be crowded

	warmUp            = 20.0  // time over which a growing share of GETs goes by a new key, so that hosts do not all fill it at the same moment
	shortWarmUp       = 5.0   // the same for a class with few requests here: the canonical class has just been confirmed, so a host already has its copy
	fewAnswers        = 10    // answers since the join below which a class has few requests: 2 per second at one dispatcher
	firstSplitHold    = 30.0  // time that a class is held apart after its first split; each further split doubles it
	maxSplitHold      = 7200  // upper limit of that time
	splitForgetFactor = 4.0   // a class's splits are forgotten after a join that lasted this multiple of the last hold
	initialCheckShare = 0.1   // share of GETs that check a new join by their own class; it falls with each answer that agrees
	minCheckShare     = 0.002 // share of checks that always remains, because an origin may change one variant without notice
	renewalCheckShare = 0.2   // share of checks once more than half of EvidenceTTL has passed, so that the evidence is renewed before it expires
	alternateShare    = 0.25  // share of a class's GETs sent by an alternate placement while it lacks a witness; an object requested only once or twice rarely costs an extra fill
	maxAlternate      = 4     // alternate placements of a class; with few hosts, some of them begin at a host that is already a witness
	ticksPerSecond    = 10.0  // resolution of stored times, which are rounded down
)

// class is what is known about one class of an object in its current generation. It is kept small for
// the CPU caches: further witnesses, which only answers need, are stored elsewhere.
type class struct {
	contentHash        uint64
	canonicalSince     uint32 // tick of the last change of canonical
	apartUntil         uint32 // tick until which the class is held apart
	expiresAt          uint32 // tick at which the evidence expires
	checks             uint16 // answers by its own class that agreed since the join
	agreedWith         uint8  // bitmask of the earlier-declared classes that were counted as agreeing with it in the group's pattern
	differedFrom       uint8  // the same for those that were counted as differing
	witnessCount       uint8
	splitCount         uint8
	canonical          int8  // class that it is joined to; the class itself if it is the canonical one; -1 for none
	lastCanonical      int8  // the last value of canonical; -1 after a split
	warmFrom           int8  // class by which the remaining GETs go while the new key is warmed up; -1 for none
	disputed           bool  // it had two contents in this generation and is not joined again before the next one
	exhaustedAlternate uint8 // highest alternate placement that brought no new witness
	firstWitness       witness
}

// witness is a host that confirmed the content of a class.
type witness struct{ host, seenAt uint32 } // seenAt is a tick

// entry is one object in the table and fills a cache line. Its classes begin at m.classes[i*m.stride].
type entry struct {
	object       Object
	generation   Generation
	purgeEvent   uint64 // event of the object's floor, as of checkedEpoch
	checkedEpoch uint32 // purgeEpoch at which the generation's purge was last found to be the newest; 0 for never
	referenced   bool   // requested since the CLOCK hand last passed
	_            [3]byte
}

// touch marks an entry as requested since the hand last passed. It writes only if necessary, so that the cache
// line stays clean.
func (e *entry) touch() {
	if !e.referenced {
		e.referenced = true
	}
}

// floor is the newest purge of an object or a group that is known here. Several of them may share a floor if their
// hashes collide; owner is the one that was purged.
type floor struct {
	purge uint64 // Unix ms
	event uint64 // local number of the newest event that reported a purge
	owner uint64
}

// pattern counts, for each pair of classes, the objects of a group that showed them equal or different.
type pattern struct {
	agreed, differed [MaxClasses * (MaxClasses - 1) / 2]uint32
	presumed         [MaxClasses]int8 // class that is presumed to have the same content as each class, -1 for none
}

type groupKey struct{ service, group int }

// outgoingFact is a fact that waits to be sent to peers.
type outgoingFact struct {
	fact Fact
	host uint32
}

// Module is the state of one dispatcher, or of one partition of it. It is not safe for concurrent use.
type Module struct {
	settings Settings
	stride   int
	// The table is set-associative: an object's hash selects the set, and any of its ways may hold the object. A
	// lookup reads two words of tags, which stay in the CPU caches, and eviction is within the set. The other
	// arrays are indexed by the entry's number, so that a lookup waits for main memory only once.
	ways           int
	extraWitnesses int                // witnesses of a class besides its first: the maximum over the services
	tags           [][ways / 4]uint64 // tags of each set, 16 bits per entry, 0 if the entry is free
	hands          []uint8            // CLOCK hand of each set
	usedEntries    int
	lastFound      int // entry that was found last, -1 for none; a GET's answer is looked up more than once. A used entry never becomes free again
	entries        []entry
	classes        []class
	witnesses      []witness
	tickZero       float64
	started        bool
	// Purge floors: one for everything, one for each service, and an array indexed by the hash of groups and
	// objects. If two share a floor, it may be too high for one of them, which discards too much evidence but
	// never too little. So an object that was evicted from the table cannot accept an older generation. A later
	// purge that is known only from a peer's fact is stored only in the object's generation, because it is unknown
	// here what else that purge covers.
	allFloor      floor
	serviceFloors []floor
	floors        []floor
	purgeEpoch    uint32 // rises with each purge
	patterns      map[groupKey]*pattern
	facts         ring[outgoingFact]
	notices       ring[Notice]
	droppedCount  uint64
	dispatchers   int // dispatchers that share their facts, including this one
	stampRequests stampRequests
}

// New returns a module, or an error that names all problems of the settings.
func New(s Settings) (*Module, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	m := &Module{settings: s, serviceFloors: make([]floor, len(s.Services)), patterns: map[groupKey]*pattern{}, purgeEpoch: 1}
	for _, v := range s.Services {
		m.stride = max(m.stride, len(v.Classes))
		if len(v.Classes) > 0 {
			m.extraWitnesses = max(m.extraWitnesses, v.Witnesses-1)
		}
	}
	if m.stride == 0 {
		m.floors = make([]floor, 1)
		return m, nil
	}
	m.ways, m.lastFound = min(ways, s.MaxObjects), -1
	m.hands = make([]uint8, s.MaxObjects/m.ways)
	entries := len(m.hands) * m.ways
	m.tags = make([][ways / 4]uint64, len(m.hands))
	m.entries = make([]entry, entries)
	m.classes = make([]class, entries*m.stride)
	m.witnesses = make([]witness, entries*m.stride*m.extraWitnesses)
	n := 1
	for n < s.MaxObjects*floorsPerObject {
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

// CacheKey returns the key of an object's variant for cache hosts, host selection, byte rates and coalesced
// forwards. It is the object's own number for class 0 and for no class.
func CacheKey(object uint64, class int) uint64 {
	if class <= 0 {
		return object
	}
	return mix(object ^ uint64(class)*0xd6e8feb86659fd93)
}

// PlacementKey returns the CacheKey for an alternate placement of a class. It determines only the order of hosts
// and the counters kept by name; the host is asked for the class itself.
func PlacementKey(object uint64, class, alternate int) uint64 {
	return CacheKey(object, class+MaxClasses*alternate)
}

// MaxAlternate returns the highest alternate placement that a service uses.
func (v *Service) MaxAlternate() int {
	if v.Witnesses < 2 {
		return 0
	}
	return maxAlternate
}

func objectHash(o Object) uint64 { return mix(o.ID ^ uint64(o.Service)*0x9e3779b97f4a7c15) }

// setOf returns an object's set and its tag, which is never 0.
func (m *Module) setOf(o Object) (int, uint64) {
	tag := mix(objectHash(o)^uint64(o.Part)*0xd6e8feb86659fd93) | 1
	high, _ := bits.Mul64(tag, uint64(len(m.hands)))
	return int(high), tag & 0xffff
}

// tagLowBits masks all but the highest bit of each of a word's four tags.
const tagLowBits = 0x7fff7fff7fff7fff

// matchTags sets the highest bit of each of a word's four tags that equals tag.
func matchTags(word, tag uint64) uint64 {
	x := word ^ tag*0x0001000100010001
	return ^(x&tagLowBits + tagLowBits | x | tagLowBits)
}

func groupHash(service, group int) uint64 {
	return mix(uint64(group)<<20 ^ uint64(service) ^ 0xa0761d6478bd642f)
}

func (m *Module) floorSlot(owner uint64) *floor { return &m.floors[owner&uint64(len(m.floors)-1)] }

// floorOf returns the purge floor that applies to an object: the time of its newest purge, and the number of the
// newest event that reported one. It is exact unless the purge belongs to another object or group that shares the
// floor; only an exact time means the same to other dispatchers.
func (m *Module) floorOf(o Object) (f floor, exact bool) {
	f = m.allFloor
	if o.Service >= 0 && o.Service < len(m.serviceFloors) {
		f = f.max(m.serviceFloors[o.Service])
	}
	byObject, byGroup := objectHash(o), groupHash(o.Service, o.Group)
	x, y := m.floorSlot(byObject), m.floorSlot(byGroup)
	f = f.max(*x).max(*y)
	return f, (x.purge < f.purge || f.purge == 0 || x.owner == byObject || x.owner == byGroup) && (y.purge < f.purge || f.purge == 0 || y.owner == byGroup || y.owner == byObject)
}

func (f floor) max(o floor) floor {
	return floor{purge: max(f.purge, o.purge), event: max(f.event, o.event)}
}

// raise records a purge; the later one wins. The event counts whatever the purge's time, because a sender that has
// not received it may accept older copies.
func (f *floor) raise(purge, event, owner uint64) {
	if f.event = max(f.event, event); purge > f.purge {
		f.purge, f.owner = purge, owner
	}
}

// PurgeFloor returns the time of the newest purge that covers an object and is known here, 0 for none. An answer
// carries the value from when its forward began.
func (m *Module) PurgeFloor(o Object) uint64 {
	f, _ := m.floorOf(o)
	return f.purge
}

// isCurrentAnswer reports whether an answer belongs to the current generation, that is, its sender had received
// each purge that is known here for the object. i is the object's entry or -1.
func (m *Module) isCurrentAnswer(a *Answer, i int) bool {
	var f floor
	if i >= 0 && m.entries[i].object.Group == a.Object.Group && m.hasNewestPurge(&m.entries[i]) {
		f.purge, f.event = m.entries[i].generation.Purge, m.entries[i].purgeEvent
	} else {
		f, _ = m.floorOf(a.Object)
	}
	return f.event <= a.KnownEvent && f.purge == a.Generation.Purge
}

// RecordPurge records a purge with its time (Unix ms) and the local number of its event, which rises from event to
// event. A purge without a time counts as later than those before it, and its time means nothing to other
// dispatchers. The purge makes evidence of earlier generations void: of everything (service -1), of a group, of an
// object (group -1), or of a service (group -1, object 0).
func (m *Module) RecordPurge(service int, object uint64, group int, purge, event uint64) {
	covers := func(k groupKey) bool { return true }
	f, owner := &m.allFloor, uint64(0)
	switch {
	case service < 0:
	case service >= len(m.serviceFloors):
		return
	case group >= 0:
		owner = groupHash(service, group)
		f = m.floorSlot(owner)
		covers = func(k groupKey) bool { return k == groupKey{service, group} }
	case object == 0:
		f = &m.serviceFloors[service]
		covers = func(k groupKey) bool { return k.service == service }
	default:
		owner = objectHash(Object{Service: service, ID: object})
		f, covers = m.floorSlot(owner), nil
	}
	if purge == 0 && event > f.event {
		purge, owner = f.purge+1, 0
	}
	isNew := purge > f.purge || event > f.event
	f.raise(purge, event, owner)
	if !isNew {
		return // another shard reported it before
	}
	if m.purgeEpoch++; m.purgeEpoch == 0 {
		m.purgeEpoch = 1
		for i := range m.entries {
			m.entries[i].checkedEpoch = 0
		}
	}
	if covers == nil {
		return
	}
	for k := range m.patterns {
		if covers(k) {
			delete(m.patterns, k)
		}
	}
}

// hasNewestPurge reports whether an entry's generation has the newest purge that is known here, and not an earlier
// one or one that is known only from facts.
func (m *Module) hasNewestPurge(e *entry) bool {
	if e.checkedEpoch == m.purgeEpoch {
		return true
	}
	f, _ := m.floorOf(e.object)
	if e.generation.Purge != f.purge {
		return false
	}
	e.checkedEpoch, e.purgeEvent = m.purgeEpoch, f.event
	return true
}

func (m *Module) tick(now float64) uint32 {
	if !m.started {
		m.tickZero, m.started = now-1, true // tick 0 is before all times
	}
	return uint32(min(max(0, (now-m.tickZero)*ticksPerSecond), math.MaxUint32-1))
}

func (m *Module) service(o Object, c int) *Service {
	if o.Service < 0 || o.Service >= len(m.settings.Services) {
		return nil
	}
	if v := &m.settings.Services[o.Service]; v.Idempotent && c >= 0 && c < len(v.Classes) {
		return v
	}
	return nil
}

// find returns an object's entry in the table, or -1.
func (m *Module) find(o Object) int {
	if len(m.hands) == 0 {
		return -1
	}
	if i := m.lastFound; i >= 0 && m.entries[i].matches(&o) {
		return i
	}
	s, tag := m.setOf(o)
	for w, word := range m.tags[s] {
		for marks := matchTags(word, tag); marks != 0; marks &= marks - 1 {
			if i := s*m.ways + w*4 + bits.TrailingZeros64(marks)/16; m.entries[i].matches(&o) {
				m.lastFound = i
				return i
			}
		}
	}
	return -1
}

func (e *entry) matches(o *Object) bool {
	return e.object.ID == o.ID && e.object.Service == o.Service && e.object.Part == o.Part
}

func (m *Module) classesOf(i int) []class {
	return m.classes[i*m.stride : i*m.stride+len(m.settings.Services[m.entries[i].object.Service].Classes)]
}

// witnessAt returns the nth witness of a class's content.
func (m *Module) witnessAt(i, c, n int) *witness {
	if n == 0 {
		return &m.classes[i*m.stride+c].firstWitness
	}
	return &m.witnesses[(i*m.stride+c)*m.extraWitnesses+n-1]
}

// Key decides by which class a GET of class c is requested. now is in seconds.
func (m *Module) Key(now float64, o Object, c int) Key {
	own := Key{Class: c, Own: true}
	v := m.service(o, c)
	if v == nil {
		return own
	}
	i := m.find(o)
	current := i >= 0 && m.hasNewestPurge(&m.entries[i])
	if current {
		own.Purge = m.entries[i].generation.Purge
	} else {
		own.Purge = m.PurgeFloor(o)
	}
	if i < 0 && v.Presumption == nil {
		return own
	}
	t := m.tick(now)
	draw := mix(math.Float64bits(now) ^ m.settings.Seed ^ mix(o.ID) ^ uint64(c)<<56)
	warmDraw, checkDraw := float64(draw&0xffffffff)/(1<<32), float64(draw>>32)/(1<<32)
	if i >= 0 {
		m.entries[i].touch()
		k := m.classesOf(i)
		if d := &k[c]; d.canonical >= 0 && t < d.expiresAt && current {
			canonical := d.keyClass(c, t, warmDraw)
			if canonical == c {
				return own
			}
			if checkDraw < m.checkShare(v, d, t) {
				return Key{Class: c, Own: true, Check: true, Purge: own.Purge, Alternate: m.renewalAlternate(v, d, draw)}
			}
			return Key{Class: canonical, Purge: own.Purge}
		}
		if v.Witnesses > 1 && current && checkDraw < alternateShare {
			own.Alternate = m.missingWitnessAlternate(v, k, c, t)
		}
	}
	return m.presume(v, o, i, t, checkDraw, own)
}

// keyClass returns the class by which a GET of class c is requested if it is joined. While the new key is warmed
// up, draw (0 to 1) selects the GETs that still go by the previous class.
func (d *class) keyClass(c int, t uint32, draw float64) int {
	if d.warmFrom >= 0 && t-d.canonicalSince < warmUp*ticksPerSecond && draw*d.warmUpTime(c)*ticksPerSecond >= float64(t-d.canonicalSince) {
		return int(d.warmFrom)
	}
	return int(d.canonical)
}

// presume returns the key for an object without sufficient evidence by the pattern of its group, or own if the
// pattern allows no presumption.
func (m *Module) presume(v *Service, o Object, i int, t uint32, draw float64, own Key) Key {
	c := own.Class
	if v.Presumption == nil {
		return own
	}
	p := m.patterns[groupKey{o.Service, o.Group}]
	if p == nil || p.presumed[c] < 0 {
		return own
	}
	d := int(p.presumed[c])
	if i >= 0 && !m.presumable(i, d, c, t) {
		return own
	}
	if draw < max(v.Presumption.MinCheckShare, initialCheckShare*float64(v.Presumption.MinObjects)/float64(max(1, p.agreed[pairIndex(d, c)]))) {
		return Key{Class: c, Own: true, Check: true, Presumed: true, Purge: own.Purge}
	}
	return Key{Class: d, Presumed: true, Purge: own.Purge}
}

// SetDispatchers sets how many dispatchers share their facts, including this one. Together they check as much as
// one alone would, because each of them shares its results. Guards against 300 dispatchers that each check for
// themselves, at the cost of the copies that the joins are meant to save.
func (m *Module) SetDispatchers(n int) { m.dispatchers = n }

// warmUpTime returns the time over which class c's new key is warmed up, in seconds. It is shorter if the class
// went by its own key until now with few requests, because the class that it is joined to has just been confirmed.
func (d *class) warmUpTime(c int) float64 {
	if int(d.warmFrom) == c && d.checks < fewAnswers {
		return shortWarmUp
	}
	return warmUp
}

// missingWitnessAlternate returns the alternate placement for a class that lacks a witness. It is 0 if a further
// witness could not lead to a join: only classes whose known contents are equal are worth another fill.
func (m *Module) missingWitnessAlternate(v *Service, k []class, c int, t uint32) int {
	open := func(d *class) bool { return d.witnessCount > 0 && !d.disputed && d.apartUntil <= t && t < d.expiresAt }
	d := &k[c]
	if !open(d) || int(d.witnessCount) >= v.Witnesses || d.exhaustedAlternate >= maxAlternate {
		return 0
	}
	for l := range k {
		if l != c && open(&k[l]) && k[l].contentHash == d.contentHash {
			return min(maxAlternate, int(max(d.witnessCount, d.exhaustedAlternate+1)))
		}
	}
	return 0
}

// renewalAlternate returns the alternate placement by which the evidence of a joined class is renewed before it
// expires. Each of its witnesses must confirm the content again.
func (m *Module) renewalAlternate(v *Service, d *class, draw uint64) int {
	if v.Witnesses < 2 || d.expiresAt == math.MaxUint32 {
		return 0
	}
	return int(draw>>16) % min(maxAlternate+1, v.Witnesses+int(d.exhaustedAlternate))
}

// checkShare returns the share of a joined class's GETs that go by their own class as a check.
func (m *Module) checkShare(v *Service, d *class, t uint32) float64 {
	s := max(minCheckShare, initialCheckShare/float64(1+d.checks)/float64(max(1, m.dispatchers)))
	if d.expiresAt != math.MaxUint32 && float64(d.expiresAt-t) < v.EvidenceTTL*ticksPerSecond/2 {
		s = max(s, renewalCheckShare)
	}
	return s
}

// presumable reports whether nothing known about an object contradicts that its class c has the content of class
// d.
func (m *Module) presumable(i, d, c int, t uint32) bool {
	e, k := &m.entries[i], m.classesOf(i)
	if a, b := min(d, c), max(d, c); k[b].differedFrom&(1<<a) != 0 || k[c].apartUntil > t || k[d].apartUntil > t || k[c].disputed || k[d].disputed {
		return false
	}
	return k[c].witnessCount == 0 || k[d].witnessCount == 0 || k[c].contentHash == k[d].contentHash || e.generation.Purge < m.PurgeFloor(e.object)
}

// MayServe reports whether an answer may be given to a client of class c. If not, the GET must be requested again
// by its own class. It is called after RecordAnswer and before the first byte is sent. Guards against a new
// version of one variant that reaches clients of another class before the change is known.
func (m *Module) MayServe(now float64, c int, k Key, a *Answer) bool {
	if a.Class == c {
		return true
	}
	v := m.service(a.Object, c)
	if v == nil || m.service(a.Object, a.Class) == nil || a.ContentHash == 0 {
		return false
	}
	i := m.find(a.Object)
	if !m.isCurrentAnswer(a, i) {
		return false
	}
	t := m.tick(now)
	if k.Presumed {
		if i < 0 {
			return true
		}
		d := &m.classesOf(i)[c]
		if m.entries[i].generation.Purge > a.Generation.Purge || !m.presumable(i, a.Class, c, t) {
			return false
		}
		return d.witnessCount == 0 || m.entries[i].generation != a.Generation || d.contentHash == a.ContentHash
	}
	if i < 0 {
		return false
	}
	d, by := &m.classesOf(i)[c], &m.classesOf(i)[a.Class] // both classes need enough witnesses, or a single host that reports a wrong tag would suffice
	return m.entries[i].generation == a.Generation && m.confirmed(v, d, t) && d.contentHash == a.ContentHash && m.confirmed(v, by, t) && by.contentHash == a.ContentHash
}

// confirmed reports whether a class has enough witnesses and is neither disputed, held apart nor expired.
func (m *Module) confirmed(v *Service, d *class, t uint32) bool {
	return !d.disputed && int(d.witnessCount) >= v.Witnesses && d.apartUntil <= t && t < d.expiresAt
}
