package replication

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
)

// Settings is what a machine is told at its start.
type Settings struct {
	Name, Zone string
	Seed       uint64  // drawn anew at each start
	Interval   float64 // s between rounds; 0 for the default
	Horizon    float64 // s after which one who was away takes a whole snapshot, and tombstones go; 0 for the default
	Rate       float64 // bytes a second of catching up, and as many of serving others that do; 0 for the default
	Kinds      []Kind
}

// Figures. Times without a unit are in intervals.
const (
	MostMessage = 60_000  // bytes of one that is no stream: under a datagram's most
	MostStream  = 1 << 20 // bytes of one that is
	MostLongest = 32_000  // bytes of a key and value: one has to fit into a message

	defaultInterval = 1.0
	defaultHorizon  = 3600.0    // s
	defaultRate     = 4_000_000 // bytes a second: a hundredth of a 10 Gbit/s link is 12 MB

	fill        = 40_000  // bytes of a message by our reckoning, so that it is under MostMessage with what coding adds
	fillStream  = 400_000 // the same of a stream
	fanout      = 3       // members that new writes are sent to at once, by each who has them new: 94% by epidemics, the rest ask
	mostFanout  = 8       // of a writer that wants more copies
	acrossEach  = 4       // one question of so many goes to another zone, where they cost most
	mostLog     = 32_768  // numbers whose deltas are kept: 256 KB of pointers
	mostWriters = 4_096   // in the vector
	buckets     = 256     // of writers, by the upper byte of the hash of the name: 4 writers in each of a fleet of 1,000
	mostPast    = 4       // questions whose vector is kept for their answers: at 1,000 writers 100 KB each
	mostEras    = 32      // of a writer; older ones are folded even if some lack them
	keptEras    = 2       // of a writer that are never folded: a restart or two, at most of what is under way
	mostPending = 4_096   // writes whose outcome is open
	mostEvents  = 256     // that wait to be taken
	mostFell    = 64      // writes of one writer that fell and of which it is told with each message: under 2 KB
	touchEach   = 0.1     // of the horizon: the time when the fleet was heard is saved so often if nothing else is
	stopAfter   = 10.0    // where nobody else brings what somebody dropped, all is taken from who did
	mostNew     = 4_096   // intervals that wait to be passed on; the rest is asked for
	mostGiven   = 100_000 // items in a message from outside
	mostName    = 255     // bytes of a writer's name
	stallAfter  = 4.0     // between two ticks: who was away for longer heard nobody
	checkEach   = 30.0    // of equal vectors with unequal sums: a walk at most so often
	checkSooner = 5.0     // the same, where that was met twice with no equal sums between
	bound, of   = 7, 8    // of a kind that local writes may fill; the rest is for those that others have acknowledged
)

// Errors of a message.
var errBad = errors.New("bad message")

type trackKey struct {
	writer string
	era    uint64
}

// track is the log of a writer's era: the keys of numbers base+1, base+2 and so on.
type track struct {
	base uint64
	keys []*entry
}

type grave struct {
	e    *entry
	dot  Dot
	seen float64
}

type news struct {
	trackKey
	from uint64
	ack  bool
	by   string
}

type pending struct {
	dot   Dot
	kind  uint8
	sure  Sure
	until float64
	by    map[string]bool
	key   string
	lower bool // a deletion stands over it elsewhere
}

// Machine keeps the records of one dispatcher.
type Machine struct {
	s      Settings
	now    float64
	ticked float64
	chance *rand.Rand
	kinds  [256]*shelf
	ids    []uint8
	vec    *vector
	past   []*vector // that questions were of, the last ones: what answers are about
	names  map[string]string
	fleet  Fleet
	byName map[string]Member

	era     uint64
	wrote   bool // in this era
	heard   bool // anybody's vector
	heardAt float64
	aims    map[uint64]uint64 // own numbers, by era, that others were heard to have
	aimsAt  float64

	logs   map[trackKey]*track
	fifo   []*track // as numbers came
	fresh  []news
	acks   map[string]map[uint64]bool // by writer, eras to be acknowledged
	ackTo  []string
	graves []grave

	pending []*pending
	out     []Envelope
	events  []Event
	outs    []Outcome

	dirty     []*entry
	tellAside []*entry
	raised    []trackKey // vector entries to be saved
	folded    []Entry
	eraDirty  bool

	round   []string
	rounds  int
	due     float64
	check   *vector // what all counted members are waited for to have
	checked map[string]bool
	more    map[string]bool // writers of whom somebody has more of an older era than check: not to be folded
	stable  *vector         // what all had

	// Of kinds, known here or not: of which some were dropped, so that the vector says nothing of them; how often; those that this program
	// doesn't know, and of these the ones that its disk has some of.
	lacks, strange, holds [256]bool
	lacked                []uint8 // those of lacks
	lacksDirty            bool
	drops                 [256]int
	holes                 [256]*entry
	stopped               map[trackKey]float64 // since when deltas of a writer's era end at a hole
	told                  map[string]told      // by member
	fell                  map[string][]Dot     // by writer, the last ones: writes that a deletion stands over
	fellAt                float64
	checkLacks            [256]bool // kinds that somebody lacks some of
	stableLacks           [256]bool

	pull    *pull
	away    bool
	life    uint64
	touched float64 // when the fleet was heard last, before this start too; as was saved
	walkAt  float64
	barren  bool // the last pull brought no vector further
	unlike  int  // times in a row that equal vectors had unequal sums
	beats   uint64
	behind  int
	bucket  float64 // bytes that may be pulled
	serves  float64 // bytes that may be served
	served  float64 // when that was counted
	filled  float64
	stat    struct{ pulled, pulls, wholes, walks, bad uint64 }
	scratch []byte
	held    *Save // of the fault
	unkept  bool

	fault struct{ joinFirst, forgetEarly, noLaw, ackEarly, dropAll, noRule, ackUnkept, uncover, claims, clears, oneLife, forgets, countsFallen, savesTouch bool } // put in by tests
}

// New makes a machine of what its disk held. It fails where settings contradict, or the disk holds what they don't allow.
func New(s Settings, saved *Saved, now float64) (*Machine, error) {
	s.Interval, s.Horizon, s.Rate = cmp.Or(s.Interval, defaultInterval), cmp.Or(s.Horizon, defaultHorizon), cmp.Or(s.Rate, defaultRate)
	if s.Name == "" || len(s.Name) > mostName {
		return nil, fmt.Errorf("replica: a name of 1 to %d bytes is needed", mostName)
	}
	m := &Machine{
		s: s, now: now, ticked: now, heardAt: now, chance: rand.New(rand.NewPCG(s.Seed, 0x7265706c)), vec: newVector(),
		names: map[string]string{}, byName: map[string]Member{}, aims: map[uint64]uint64{}, logs: map[trackKey]*track{},
		acks: map[string]map[uint64]bool{}, stopped: map[trackKey]float64{}, told: map[string]told{}, fell: map[string][]Dot{}, era: 1, eraDirty: true, due: now, filled: now, walkAt: now - 1e9,
	}
	m.bucket, m.serves, m.served, m.life = s.Rate, s.Rate, now, m.chance.Uint64()|1
	for _, k := range s.Kinds {
		if k.ID == 0 || m.kinds[k.ID] != nil || k.Records <= 0 || k.Bytes <= 0 || k.Longest <= 0 || k.Longest > MostLongest {
			return nil, fmt.Errorf("replica: kind %d %q: its number has to be its own and over 0, its bounds over 0, the longest up to %d", k.ID, k.Name, MostLongest)
		}
		m.kinds[k.ID] = &shelf{Kind: k, byKey: map[string]*entry{}, tree: newTree()}
		m.ids = append(m.ids, k.ID)
	}
	slices.Sort(m.ids)
	if saved == nil || saved.Era == 0 { // none, or an empty one
		// Guards against a lost disk whose last writes only some know: those eras are not given twice.
		m.era = 1 + uint64(m.chance.Uint32()>>1)
		return m, nil
	}
	m.era, m.vec, m.away = saved.Era+1, load(saved.Vector), saved.Away > s.Horizon
	m.heardAt = now - saved.Away
	for _, id := range saved.Lacks {
		if m.lack(id, true); m.kinds[id] == nil {
			m.strange[id] = true
		}
	}
	m.lacksDirty = false
	for _, c := range saved.Records {
		if id := c.Record.Kind; m.kinds[id] == nil { // of a later version, and kept for it on the disk
			m.dropped(id)
			m.holds[id] = true
			continue
		}
		if err := m.sound(&c, false); err != nil {
			return nil, fmt.Errorf("replica: saved record: %w", err)
		}
		m.merge(c)
	}
	for _, e := range m.dirty {
		e.dirty = false
	}
	m.dirty, m.tellAside = nil, nil
	if w := m.vec.of[s.Name]; w != nil {
		for _, k := range w.marks {
			m.era = max(m.era, k.era+1)
		}
	}
	return m, nil
}

// Fleet tells who there is. Members that are not in it are not spoken to.
func (m *Machine) Fleet(f Fleet, now float64) {
	m.now = max(m.now, now)
	m.fleet = f
	maps.DeleteFunc(m.told, func(n string, _ told) bool { _, ok := m.byName[n]; return !ok })
	m.fleet.Others = slices.DeleteFunc(slices.Clone(f.Others), func(o Member) bool { return o.Name == m.s.Name })
	slices.SortFunc(m.fleet.Others, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	was, back := m.byName, false
	m.byName = make(map[string]Member, len(f.Others))
	for _, o := range m.fleet.Others {
		m.byName[o.Name] = o
		back = back || o.Alive && !was[o.Name].Alive
	}
	if back { // the turn begins anew: what a cut kept apart meets at once, not after a turn of the own part
		m.round = nil
	}
	if !m.heard {
		m.due = m.now
	}
}

// unheard tells whether others may know what is not here. Guards also against the time before anybody is known: who has an older disk would
// take itself for the whole fleet, and give numbers twice. Without others it goes by itself where it is told that it decides alone.
func (m *Machine) unheard() bool { return !m.heard && (len(m.fleet.Others) > 0 || !m.fleet.Decides) }

// writes tells whether all own former writes are known.
func (m *Machine) writes() bool {
	if m.unheard() {
		return false
	}
	for era, n := range m.aims {
		if m.vec.at(m.s.Name, era) < n {
			return false
		}
	}
	return true
}

// catching tells whether what is here may be far behind.
func (m *Machine) catching() bool {
	return m.pull != nil && m.pull.whole || m.unheard() || m.away
}

// Write has a value, or none where dead, stand for a key from here on. The outcome comes by Ready, after what is saved with it. now is in seconds.
func (m *Machine) Write(now float64, kind uint8, key string, value []byte, dead bool, sure Sure) (Dot, error) {
	m.now = max(m.now, now)
	s := m.kinds[kind]
	switch {
	case s == nil:
		return Dot{}, ErrKind
	case key == "" || len(key)+len(value) > s.Longest:
		return Dot{}, ErrLong
	case m.unkept:
		return Dot{}, ErrUnkept
	case !m.writes():
		return Dot{}, ErrCatches
	case sure.Level == Majority && !m.fleet.Decides:
		return Dot{}, ErrCut
	}
	if s.Check != nil && !dead {
		if err := s.Check(key, value); err != nil {
			return Dot{}, err
		}
	}
	r := Record{Kind: kind, Key: key, Value: slices.Clone(value), Dead: dead, Dot: Dot{m.s.Name, m.era, m.vec.at(m.s.Name, m.era) + 1}}
	e, more := s.byKey[key], size(&r)
	if e != nil {
		if m.order(s, &r, &e.rec) <= 0 {
			return Dot{}, ErrLower
		}
		more -= size(&e.rec)
	}
	if e == nil && (len(s.byKey)+1)*of > s.Records*bound || more > 0 && (s.bytes+more)*of > s.Bytes*bound || len(m.pending) >= mostPending {
		return Dot{}, ErrFull
	}
	e = m.merge(Carried{Record: r})
	m.wrote = true
	m.advance(trackKey{m.s.Name, m.era}, r.Dot.Number-1, []*entry{e})
	m.renew(news{trackKey{m.s.Name, m.era}, r.Dot.Number - 1, sure.Level != Here, ""})
	p := &pending{dot: r.Dot, kind: kind, key: key, sure: sure, until: m.now + max(sure.Within, 0), by: map[string]bool{}}
	m.pending = append(m.pending, p)
	m.settle(false)
	return r.Dot, nil
}

// advance books that a writer's numbers from from+1 on are here.
func (m *Machine) advance(k trackKey, from uint64, keys []*entry) {
	k.writer = m.intern(k.writer)
	if !m.vec.raise(k.writer, k.era, from+uint64(len(keys))) {
		return
	}
	delete(m.stopped, k)
	m.raised = append(m.raised, k)
	t := m.logs[k]
	if t == nil || t.base+uint64(len(t.keys)) != from {
		if t == nil {
			t = &track{}
			m.logs[k] = t
		}
		t.base, t.keys = from, nil
	}
	for _, e := range keys {
		t.keys = append(t.keys, e)
		m.fifo = append(m.fifo, t)
	}
	for len(m.fifo) > mostLog {
		if o := m.fifo[0]; len(o.keys) > 0 {
			o.keys, o.base = o.keys[1:], o.base+1
		}
		m.fifo = m.fifo[1:]
	}
	if w := m.vec.of[k.writer]; len(w.marks) > mostEras {
		m.fold(k.writer, w, len(w.marks)-mostEras)
	}
}

// fold forgets all but the last number of a writer's oldest eras.
func (m *Machine) fold(name string, w *writer, n int) {
	for _, o := range w.marks[:n] {
		m.folded = append(m.folded, Entry{Writer: name, Era: o.era})
		delete(m.logs, trackKey{name, o.era})
	}
	m.vec.change(w, func() {
		w.marks = slices.Clone(w.marks[n:])
		w.floor = w.marks[0].era
	})
	m.raised = append(m.raised, trackKey{name, w.floor})
}

// renew has an interval passed on.
func (m *Machine) renew(n news) {
	for i := range m.fresh {
		if f := &m.fresh[i]; f.trackKey == n.trackKey {
			f.from, f.ack = min(f.from, n.from), f.ack || n.ack
			if f.by != n.by {
				f.by = ""
			}
			return
		}
	}
	if len(m.fresh) < mostNew {
		m.fresh = append(m.fresh, n)
	}
}

// delta gives what the log has of a writer's era over a number, as much as fits. Below tells that the log does not reach down to it.
func (m *Machine) delta(k trackKey, from uint64, room int) (d *Delta, took int, below bool) {
	t := m.logs[k]
	if t == nil || from < t.base {
		return nil, 0, true
	}
	if from >= t.base+uint64(len(t.keys)) {
		return nil, 0, from < m.vec.at(k.writer, k.era)
	}
	d = &Delta{Writer: k.writer, Era: k.era, From: from}
	at, took := map[*entry]uint32{}, len(k.writer)+40
	for _, e := range t.keys[from-t.base:] {
		if e == nil || e.gone {
			if len(d.Index) == 0 {
				return nil, 0, true
			}
			break
		}
		i, ok := at[e]
		if !ok {
			n := weigh(&e.rec)
			if took+n > room && len(d.Index) > 0 {
				break
			}
			took += n
			i = uint32(len(d.Records))
			at[e] = i
			d.Records = append(d.Records, Carried{e.rec, e.aside, e.hole})
		} else if took+4 > room {
			break
		}
		took += 4
		d.Index = append(d.Index, i)
	}
	return d, took, false
}

// weigh is about what a record takes in a message.
func weigh(r *Record) int { return len(r.Key) + len(r.Value) + len(r.Dot.Writer) + 48 }

// Get gives what stands for a key; none where it is dead, or set aside.
func (m *Machine) Get(kind uint8, key string) (Record, bool) {
	if s := m.kinds[kind]; s != nil {
		if e := s.byKey[key]; e != nil && !e.rec.Dead && !e.aside {
			return e.rec, true
		}
	}
	return Record{}, false
}

// Each goes through what stands for the keys of a prefix, by key, until f gives false. It looks at all of the kind.
func (m *Machine) Each(kind uint8, prefix string, f func(Record) bool) {
	s := m.kinds[kind]
	if s == nil {
		return
	}
	var keys []string
	for k, e := range s.byKey {
		if !e.rec.Dead && !e.aside && strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		if e := s.byKey[k]; e != nil && !f(e.rec) {
			return
		}
	}
}

// Status gives figures.
func (m *Machine) Status() Status {
	s := Status{
		CatchingUp: m.catching(), Writes: m.writes(), Era: m.era, Writers: len(m.vec.of), Behind: m.behind, Pending: len(m.pending), Log: len(m.fifo),
		Pulled: m.stat.pulled, Pulls: m.stat.pulls, Wholes: m.stat.wholes, Walks: m.stat.walks, Bad: m.stat.bad,
	}
	for _, w := range m.vec.of {
		s.Entries += len(w.marks)
	}
	for _, id := range m.ids {
		k := m.kinds[id]
		s.Kinds = append(s.Kinds, KindStatus{k.Name, len(k.byKey), k.bytes, k.dead, k.aside, k.refused, m.lacks[id]})
	}
	for id, is := range m.strange {
		if is {
			s.Strange = append(s.Strange, id)
		}
	}
	return s
}

func (m *Machine) event(e Event) {
	if e.At = m.now; len(m.events) < mostEvents {
		m.events = append(m.events, e)
	}
}

// told is what a member says of its kinds with each message.
type told struct{ lacks, strange, holds []uint8 }

func (m *Machine) send(to string, msg Message, bytes int) {
	msg.Lacks, msg.Fell = m.lacked, m.fell[to]
	for _, id := range m.lacked {
		if m.strange[id] {
			msg.Strange = append(msg.Strange, id)
		}
		if m.holds[id] {
			msg.Holds = append(msg.Holds, id)
		}
	}
	if m.unkept { // it acknowledges nothing
		if msg.Acks = nil; msg.Ask != nil {
			msg.Ask.Unkept = true
		}
		if msg.Give != nil {
			msg.Give.Unkept = true
		}
	}
	m.out = append(m.out, Envelope{To: to, Stream: bytes > fill, Message: msg})
}
