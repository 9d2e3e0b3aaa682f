package emulator

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"elderwall/core/cluster/replication"
	"elderwall/core/routing/rendezvous"
	"elderwall/core/timerwheel"
)

// More kinds of trouble, of a fleet's memory: what a member that ended finds on its disk.
const (
	Emptied = "emptied" // nothing
	Older   = "older"   // what it held when the trouble before began, or at the start
)

// MemoryScenario is a fleet of replica machines alone. Times are in seconds. Who is there is known Knows seconds after it changes; members takes
// as long, and isn't played again here.
type MemoryScenario struct {
	Seed     uint64
	Members  int
	Zones    int
	Records  int // that all have to begin with
	Value    int // bytes
	Writes   float64
	Dead     float64 // share of the writes that delete
	Fresh    float64 // share of the writes to keys that were never written
	Sure     replication.WriteConcern
	Loss     float64 // of datagrams; streams come, once both ways are open
	Delay    float64 // in the mean
	Knows    float64
	Warm     float64
	Span     float64 // while writes go on
	Settle   float64 // after the writes have ended, at most
	TickEach float64
	Troubles []MemberTrouble // after Warm
	Quiet    float64         // writes of a burst at one member, at the beginning of the first trouble, in place of Writes
	Size     func(*replication.Message) int
	Checks   bool // look at every record of every member at the end
}

// MemoryDefault is a calm fleet.
func MemoryDefault() MemoryScenario {
	return MemoryScenario{
		Seed: 1, Members: 30, Zones: 3, Records: 1000, Value: 100, Writes: 10, Fresh: 0.1, Sure: replication.WriteConcern{Level: replication.LevelCopies, Copies: 2, Timeout: 5},
		Delay: 0.002, Knows: 5, Warm: 10, Span: 60, Settle: 120, TickEach: 0.1, Checks: true,
	}
}

// MemoryResult is what came of it; all of it is simulated.
type MemoryResult struct {
	Members  int            `json:"Members"`
	Agree    float64        `json:"Agree"`    // s from the end of the writes, or of the last trouble if that is later, until all hold the same; below 0 never
	Bytes    float64        `json:"Bytes"`    // sent by a member a second, from Warm until the writes end
	Busiest  float64        `json:"Busiest"`  // the same of the one that sent most
	Messages float64        `json:"Messages"` // the same, messages
	CatchUp  int            `json:"CatchUp"`  // bytes sent from the end of the last trouble until all hold the same, less what the calm fleet sends in that time
	CatchAll int            `json:"CatchAll"` // all bytes sent in that time
	Two      []float64      `json:"Two"`      // s from a write until a second member held it
	Most     []float64      `json:"Most"`     // more than half
	All      []float64      `json:"All"`      // all that were there
	Written  int            `json:"Written"`  // writes that were taken
	Met      int            `json:"Met"`      // outcomes as sure as wanted
	Fell     int            `json:"Fell"`
	Refused  map[string]int `json:"Refused"` // writes that were refused, by error
	Aside    int            `json:"Aside"`
	Wholes   uint64         `json:"Wholes"`
	Walks    uint64         `json:"Walks"`
	Pulls    uint64         `json:"Pulls"`
	Lost     int            `json:"Lost"` // acknowledged writes to which nothing that stands at the end is as high; with disks lost on purpose some may be
	Events   map[string]int `json:"Events"`
	Course   []float64      `json:"Course"` // bytes a member and second, second by second
	Calm     float64        `json:"Calm"`   // the same before writes and troubles
	Faults   []string       `json:"Faults"`
}

type written struct {
	at   float64
	have int
}

// memoryMember is one with what surrounds it.
type memoryMember struct {
	index      int
	name, zone string
	machine    *replication.Machine
	gone       bool
	side       int
	deaf, mute bool
	life       int
	disk       *memoryDisk // of those that end and start again
	older      *memoryDisk
	holds      []uint64 // by key's number: a hash of what stands
	fold       uint64   // of all of them
	sent       int
	messages   int
}

// memoryDisk is what saves have left, one upon the other.
type memoryDisk struct {
	era     uint64
	vector  map[[2]any]replication.VectorEntry
	records map[replication.RecordKey]replication.ReplicatedRecord
	lacks   []uint8
	last    float64 // when the fleet was heard
}

func (d *memoryDisk) clone() *memoryDisk {
	return &memoryDisk{d.era, maps.Clone(d.vector), maps.Clone(d.records), d.lacks, d.last}
}

func (d *memoryDisk) save(now float64, s *replication.Save) {
	d.last, d.era, d.lacks = now-s.SinceLastContact, max(d.era, s.WriterEpoch), s.IncompleteKinds
	for _, c := range s.Records {
		d.records[replication.RecordKey{Kind: c.Record.Kind, Key: c.Record.Key}] = c
	}
	for _, n := range s.Removed {
		delete(d.records, n)
	}
	for _, e := range s.Vector {
		d.vector[[2]any{e.Writer, e.WriterEpoch}] = e
	}
	for _, e := range s.RemovedEntries {
		delete(d.vector, [2]any{e.Writer, e.WriterEpoch})
	}
}

func (d *memoryDisk) saved(now float64) *replication.SavedState {
	s := &replication.SavedState{WriterEpoch: d.era, IncompleteKinds: d.lacks, SinceLastContact: now - d.last}
	for _, e := range d.vector {
		s.Vector = append(s.Vector, e)
	}
	slices.SortFunc(s.Vector, func(a, b replication.VectorEntry) int {
		return replication.Dot{Writer: a.Writer, WriterEpoch: a.WriterEpoch}.Compare(replication.Dot{Writer: b.Writer, WriterEpoch: b.WriterEpoch})
	})
	for _, c := range d.records {
		s.Records = append(s.Records, c)
	}
	slices.SortFunc(s.Records, func(a, b replication.ReplicatedRecord) int {
		return bytes.Compare([]byte(a.Record.Key), []byte(b.Record.Key))
	})
	return s
}

type memoryWorld struct {
	MemoryScenario
	now     float64
	acts    timerwheel.Wheel[func()]
	chance  *rand.Rand
	all     []*memoryMember
	byName  map[string]*memoryMember
	out     *MemoryResult
	kind    replication.Kind
	initial *replication.SavedState
	dots    map[replication.Dot]*written
	best    map[int]replication.Record // by key's number: the highest of what was acknowledged, by a law written anew here
	acked   map[replication.Dot]replication.Record
	deleted map[int]replication.Record // by key's number: the highest that deletes, whatever its outcome
	order   map[replication.Dot]int    // in which they were written, from 1
	keys    int
	tally   map[uint64]int // members by fold
	last    float64        // end of the last trouble
	healed  bool
	total   int
	at      int     // bytes at the end of the last trouble
	calm    float64 // bytes a member and second before all troubles
	counted int
}

const memoryKind = 1

func memoryKey(i int) string { return fmt.Sprintf("k%07d", i) }

// memoryLaw orders by the number that a value begins with.
func memoryLaw(a, b []byte) int { return bytes.Compare(a[:min(8, len(a))], b[:min(8, len(b))]) }

// RunMemory plays one.
func RunMemory(s MemoryScenario) (*MemoryResult, error) {
	if s.Members < 1 || s.Zones < 1 || s.Records < 1 || s.Value < 8 || s.TickEach <= 0 || s.Size == nil || s.Loss < 0 || s.Loss >= 1 {
		return nil, fmt.Errorf("memory: %d members, %d records of %d bytes, loss %g: out of range", s.Members, s.Records, s.Value, s.Loss)
	}
	w := &memoryWorld{
		MemoryScenario: s, chance: rand.New(rand.NewPCG(s.Seed, 49)), byName: map[string]*memoryMember{}, dots: map[replication.Dot]*written{},
		best: map[int]replication.Record{}, acked: map[replication.Dot]replication.Record{}, order: map[replication.Dot]int{}, deleted: map[int]replication.Record{}, tally: map[uint64]int{}, keys: s.Records,
		out: &MemoryResult{Members: s.Members, Agree: -1, Refused: map[string]int{}, Events: map[string]int{}},
	}
	w.kind = replication.Kind{ID: memoryKind, Name: "played", MaxRecords: 4*s.Records + 100_000, MaxBytes: 1 << 30, MaxRecordBytes: s.Value + 100, Sync: true, MergeOrder: memoryLaw}
	w.begin()
	hits := make([][]int, len(s.Troubles))
	for i, t := range s.Troubles { // who ends is known from the start: only those need a disk
		n := t.Number
		if n == 0 {
			n = int(math.Round(t.Share * float64(s.Members)))
		}
		hits[i] = w.chance.Perm(s.Members)[:min(n, s.Members)]
		if t.Kind == Die || t.Kind == Emptied || t.Kind == Older {
			for _, m := range hits[i] {
				w.keepDisk(w.all[m])
			}
		}
	}
	for _, m := range w.all {
		w.start(m, w.savedOf(m))
		w.act(w.chance.Float64()*s.TickEach, func() { w.tick(m) })
	}
	w.know()
	for i, t := range s.Troubles {
		w.act(s.Warm+t.At, func() { w.trouble(t, hits[i]) })
		w.last = max(w.last, s.Warm+t.At+t.For)
	}
	if s.Quiet > 0 {
		w.act(s.Warm+s.Troubles[0].At+1, func() {
			for range int(s.Quiet) {
				w.write(w.all[hits[0][0]+1-2*min(1, hits[0][0])]) // one of the rest
			}
		})
	}
	if s.Writes > 0 {
		w.act(s.Warm, w.writes)
	}
	half := 0
	w.act(s.Warm/2, func() { half = w.total })
	w.act(s.Warm, func() {
		w.calm = float64(w.total-half) / (s.Warm / 2 * float64(s.Members))
		for _, m := range w.all {
			m.sent, m.messages = 0, 0
		}
	})
	writesEnd := s.Warm + s.Span
	w.act(writesEnd, w.measure)
	w.last = max(w.last, writesEnd)
	w.act(w.last, func() { w.at, w.healed = w.total, true })
	w.act(1, w.second)
	end := w.last + s.Settle
	for e, ok := w.acts.PopAt(end); ok; e, ok = w.acts.PopAt(end) {
		w.now = e.At
		e.Item()
		if w.healed && w.agreed() {
			w.out.Agree, w.out.CatchAll = w.now-w.last, w.total-w.at
			w.out.CatchUp = w.out.CatchAll - int(w.calm*w.out.Agree*float64(s.Members))
			break
		}
	}
	w.finish()
	return w.out, nil
}

func (w *memoryWorld) act(in float64, do func()) { w.acts.Add(w.now+in, do) }

// begin makes the members, and what all of them hold to begin with.
func (w *memoryWorld) begin() {
	w.initial = &replication.SavedState{WriterEpoch: 1}
	numbers := make([]uint64, w.Members)
	names := func(i int) string { return fmt.Sprintf("n%04d", i) }
	for i := range w.Records {
		by := i % w.Members
		numbers[by]++
		r := replication.Record{Kind: memoryKind, Key: memoryKey(i), Value: w.value(), Dot: replication.Dot{Writer: names(by), WriterEpoch: 1, Number: numbers[by]}}
		w.initial.Records = append(w.initial.Records, replication.ReplicatedRecord{Record: r})
		w.best[i] = r
	}
	for i, n := range numbers {
		if n > 0 {
			w.initial.Vector = append(w.initial.Vector, replication.VectorEntry{Writer: names(i), WriterEpoch: 1, Number: n})
		}
	}
	for i := range w.Members {
		m := &memoryMember{index: i, name: names(i), zone: fmt.Sprint("z", i%w.Zones), holds: make([]uint64, w.Records)}
		for k, c := range w.initial.Records {
			m.hold(k, hashOf(&c.Record))
		}
		w.all, w.byName[m.name] = append(w.all, m), m
		w.tally[m.fold]++
	}
}

func (w *memoryWorld) value() []byte {
	v := make([]byte, w.Value)
	binary.BigEndian.PutUint64(v, w.chance.Uint64()>>40) // so that writes meet lower and equal ones, too
	for i := 8; i < len(v); i++ {
		v[i] = byte(w.chance.Uint64())
	}
	return v
}

func (w *memoryWorld) keepDisk(m *memoryMember) {
	if m.disk != nil {
		return
	}
	m.disk = &memoryDisk{era: 1, vector: map[[2]any]replication.VectorEntry{}, records: map[replication.RecordKey]replication.ReplicatedRecord{}}
	m.disk.save(0, &replication.Save{WriterEpoch: 1, Records: w.initial.Records, Vector: w.initial.Vector})
	m.older = m.disk.clone()
}

func (w *memoryWorld) savedOf(m *memoryMember) *replication.SavedState {
	if m.disk == nil {
		return w.initial
	}
	return m.disk.saved(w.now)
}

// hashOf is what the checker knows a record by; what is deleted is as good as nothing.
func hashOf(r *replication.Record) uint64 {
	if r.Deleted {
		return 0
	}
	return rendezvous.Mix(xxhash.Sum64(r.Value) ^ rendezvous.Mix(xxhash.Sum64String(r.Dot.Writer)^r.Dot.WriterEpoch<<32^r.Dot.Number))
}

// hold keeps what stands for a key at a member, as the checker sees it: by what was told, no call to the machine.
func (m *memoryMember) hold(key int, hash uint64) {
	for key >= len(m.holds) {
		m.holds = append(m.holds, 0)
	}
	part := func(h uint64) uint64 {
		if h == 0 {
			return 0
		}
		return rendezvous.Mix(h ^ uint64(key+1)*0x9e3779b97f4a7c15)
	}
	m.fold += part(hash) - part(m.holds[key])
	m.holds[key] = hash
}

func (w *memoryWorld) start(m *memoryMember, saved *replication.SavedState) {
	m.life++
	m.gone = false
	machine, err := replication.New(replication.Settings{Name: m.name, Zone: m.zone, Kinds: []replication.Kind{w.kind}, Seed: w.Seed + uint64(m.index)<<20 + uint64(m.life)<<40}, saved, w.now)
	if err != nil {
		w.fault("%s does not start: %v", m.name, err)
		return
	}
	m.machine = machine
	w.tell(m)
}

// know tells all who is there, as members would by now.
func (w *memoryWorld) know() {
	for _, m := range w.all {
		if !m.gone {
			w.tell(m)
		}
	}
}

// tell tells one of them.
func (w *memoryWorld) tell(m *memoryMember) {
	there := func(o *memoryMember) bool { return !o.gone && o.side == m.side && !o.deaf && !o.mute }
	n := 0
	f := replication.Fleet{AgreedSize: len(w.all)}
	for _, o := range w.all {
		if there(o) {
			n++
		}
		if o != m {
			f.Others = append(f.Others, replication.Member{Name: o.name, Zone: o.zone, Alive: there(o) && there(m), InAgreedFleet: true})
		}
	}
	f.HasQuorum = 2*n > len(w.all)
	f.AcceptsRestrictions = f.HasQuorum
	w.step(m, func(x *replication.Machine) { x.SetFleet(f, w.now) })
}

func (w *memoryWorld) tick(m *memoryMember) {
	if !m.gone {
		w.step(m, func(x *replication.Machine) { x.Tick(w.now) })
	}
	w.act(w.TickEach, func() { w.tick(m) })
}

// step has a member act, and does what comes of it.
func (w *memoryWorld) step(m *memoryMember, do func(*replication.Machine)) {
	do(m.machine)
	r := m.machine.Ready()
	if r.Save != nil && m.disk != nil {
		m.disk.save(w.now, r.Save)
	}
	was := m.fold
	for i := range r.Changed {
		c := &r.Changed[i]
		key, err := strconv.Atoi(c.Key[1:])
		if err != nil {
			w.fault("%s holds %q, which nobody wrote", m.name, c.Key)
			continue
		}
		m.hold(key, hashOf(c))
		w.reached(c.Dot)
	}
	if m.fold != was {
		w.move(was, m.fold)
	}
	for i := range r.Send {
		w.send(m, &r.Send[i])
	}
	for _, o := range r.Outcomes {
		if rec, ok := w.acked[o.Dot]; ok {
			if o.Met {
				w.out.Met++
				w.take(rec)
			} else {
				w.out.Fell++
			}
		}
	}
	for _, e := range r.Events {
		w.out.Events[e.Type]++
	}
}

func (w *memoryWorld) move(from, to uint64) {
	if w.tally[from]--; w.tally[from] <= 0 {
		delete(w.tally, from)
	}
	w.tally[to]++
}

// agreed tells whether all that are there hold the same.
func (w *memoryWorld) agreed() bool { return len(w.tally) == 1 }

// take keeps an acknowledged write if it is the highest of its key: by number, a deletion over none, then bytes, then dot.
func (w *memoryWorld) take(r replication.Record) {
	key, _ := strconv.Atoi(r.Key[1:])
	if b, ok := w.best[key]; !ok || higher(&r, &b) {
		w.best[key] = r
	}
}

// higher is the rule, written anew for the checker.
func higher(a, b *replication.Record) bool {
	x, y := binary.BigEndian.Uint64(a.Value), binary.BigEndian.Uint64(b.Value)
	switch {
	case x != y:
		return x > y
	case a.Deleted != b.Deleted:
		return a.Deleted
	case string(a.Value) != string(b.Value):
		return string(a.Value) > string(b.Value)
	case a.Dot.WriterEpoch != b.Dot.WriterEpoch:
		return a.Dot.WriterEpoch > b.Dot.WriterEpoch
	case a.Dot.Number != b.Dot.Number:
		return a.Dot.Number > b.Dot.Number
	}
	return a.Dot.Writer > b.Dot.Writer
}

// reached counts a member that came to have a write.
func (w *memoryWorld) reached(d replication.Dot) {
	x := w.dots[d]
	if x == nil {
		return
	}
	x.have++
	since := w.now - x.at
	if x.have == 2 {
		w.out.Two = append(w.out.Two, since)
	}
	if x.have == len(w.all)/2+1 {
		w.out.Most = append(w.out.Most, since)
	}
	if x.have == len(w.all) {
		w.out.All = append(w.out.All, since)
		delete(w.dots, d)
	}
}

func (w *memoryWorld) reaches(from, to *memoryMember) bool {
	return from.side == to.side && !from.mute && !to.deaf && !to.gone
}

func (w *memoryWorld) send(from *memoryMember, e *replication.Envelope) {
	size := w.Size(&e.Message)
	from.sent += size
	from.messages++
	w.total += size
	to := w.byName[e.To]
	if to == nil {
		w.fault("%s sends to %q, which is nobody", from.name, e.To)
		return
	}
	if !e.Stream && w.chance.Float64() < w.Loss {
		return
	}
	life := to.life
	w.act(w.Delay*w.chance.ExpFloat64(), func() {
		if !w.reaches(from, to) || e.Stream && (!w.reaches(to, from) || life != to.life) {
			return
		}
		w.step(to, func(x *replication.Machine) {
			if err := x.Step(from.name, &e.Message, w.now); err != nil {
				w.out.Events["refused: "+err.Error()]++
			}
		})
	})
}

// writes goes on with writes at members by chance.
func (w *memoryWorld) writes() {
	if w.now >= w.Warm+w.Span {
		return
	}
	w.act(w.chance.ExpFloat64()/w.Writes, w.writes)
	if m := w.all[w.chance.IntN(len(w.all))]; !m.gone {
		w.write(m)
	}
}

func (w *memoryWorld) write(m *memoryMember) {
	key := w.chance.IntN(w.keys)
	if w.chance.Float64() < w.Fresh {
		key = w.keys
		w.keys++
	}
	v := w.value()
	if b, ok := w.best[key]; ok && w.chance.Float64() < 0.9 { // most are news
		binary.BigEndian.PutUint64(v, binary.BigEndian.Uint64(b.Value)+1)
	}
	r := replication.Record{Kind: memoryKind, Key: memoryKey(key), Value: v, Deleted: w.chance.Float64() < w.Dead}
	w.step(m, func(x *replication.Machine) {
		dot, err := x.Write(w.now, memoryKind, r.Key, r.Value, r.Deleted, w.Sure)
		if err != nil {
			w.out.Refused[err.Error()]++
			return
		}
		r.Dot = dot
		w.acked[dot] = r
		w.out.Written++
		w.order[dot] = len(w.acked)
		if d, ok := w.deleted[key]; r.Deleted && (!ok || higher(&r, &d)) {
			w.deleted[key] = r
		}
		if w.now >= w.Warm {
			w.dots[dot] = &written{at: w.now}
		}
	})
}

// trouble begins one, and ends it.
func (w *memoryWorld) trouble(t MemberTrouble, hit []int) {
	each := func(do func(*memoryMember)) {
		for _, i := range hit {
			do(w.all[i])
		}
		w.act(w.Knows, w.know)
	}
	begin, end := func(*memoryMember) {}, func(*memoryMember) {}
	switch t.Kind {
	case Cut:
		begin, end = func(m *memoryMember) { m.side = 1 }, func(m *memoryMember) { m.side = 0 }
	case CutIn:
		begin, end = func(m *memoryMember) { m.deaf = true }, func(m *memoryMember) { m.deaf = false }
	case CutOut:
		begin, end = func(m *memoryMember) { m.mute = true }, func(m *memoryMember) { m.mute = false }
	case Die, Emptied, Older:
		begin = func(m *memoryMember) {
			m.gone = true
			if t.Kind != Older {
				m.older = m.disk.clone()
			}
			w.move(m.fold, m.fold) // counted on: all are to agree once it is back
		}
		end = func(m *memoryMember) {
			var saved *replication.SavedState
			switch t.Kind {
			case Die:
				saved = m.disk.saved(w.now)
			case Older:
				m.disk = m.older.clone()
				saved = m.disk.saved(w.now)
			default:
				m.disk = &memoryDisk{vector: map[[2]any]replication.VectorEntry{}, records: map[replication.RecordKey]replication.ReplicatedRecord{}, last: w.now}
			}
			was := m.fold
			for k := range m.holds {
				m.hold(k, 0)
			}
			for _, c := range m.disk.records {
				key, _ := strconv.Atoi(c.Record.Key[1:])
				m.hold(key, hashOf(&c.Record))
			}
			w.move(was, m.fold)
			w.start(m, saved)
		}
	}
	each(begin)
	if t.For > 0 {
		w.act(t.For, func() { each(end) })
	}
}

// measure takes what the calm fleet sends, as the writes end.
func (w *memoryWorld) measure() {
	n := float64(len(w.all)) * w.Span
	for _, m := range w.all {
		w.out.Bytes += float64(m.sent) / n
		w.out.Busiest = max(w.out.Busiest, float64(m.sent)/w.Span)
		w.out.Messages += float64(m.messages) / n
	}
}

// second keeps the course.
func (w *memoryWorld) second() {
	w.act(1, w.second)
	w.out.Course = append(w.out.Course, float64(w.total-w.counted)/float64(len(w.all)))
	w.counted = w.total
}

func (w *memoryWorld) fault(format string, args ...any) {
	if len(w.out.Faults) < 20 {
		w.out.Faults = append(w.out.Faults, fmt.Sprintf("%.2f s: ", w.now)+fmt.Sprintf(format, args...))
	}
}

// finish looks at what all hold, by the machines' own word this time.
func (w *memoryWorld) finish() {
	r := w.out
	r.Calm = w.calm
	for _, l := range [][]float64{r.Two, r.Most, r.All} {
		slices.Sort(l)
	}
	var first map[string]uint64
	for _, m := range w.all {
		if m.gone {
			continue
		}
		s := m.machine.Status()
		r.Wholes, r.Walks, r.Pulls = r.Wholes+s.Snapshots, r.Walks+s.DigestWalks, r.Pulls+s.Pulls
		for _, k := range s.Kinds {
			r.Aside += k.Conflicting
		}
		if !w.Checks {
			continue
		}
		held := map[string]uint64{}
		m.machine.Each(memoryKind, "", func(rec replication.Record) bool {
			if !rec.Deleted {
				held[rec.Key] = hashOf(&rec)
			}
			return true
		})
		if first == nil {
			first = held
		} else if r.Agree >= 0 && !maps.Equal(first, held) {
			w.fault("%s and %s are told to agree and don't: %d and %d records", w.all[0].name, m.name, len(first), len(held))
		}
	}
	if r.Agree < 0 {
		w.fault("%d ways to see it at the end", len(w.tally))
		for k := range w.all[0].holds {
			for _, m := range w.all[1:] {
				if k < len(m.holds) && m.holds[k] != w.all[0].holds[k] {
					a, _ := w.all[0].machine.Get(memoryKind, memoryKey(k))
					b, _ := m.machine.Get(memoryKind, memoryKey(k))
					w.fault("%s: %s has %v, %s has %v", memoryKey(k), w.all[0].name, a.Dot, m.name, b.Dot)
				}
			}
		}
		return
	}
	for key, b := range w.best {
		have, ok := w.all[0].machine.Get(memoryKind, memoryKey(key))
		if b.Deleted { // it may be forgotten by all, and something lower be written since; what was there before may not come back
			if ok && !have.Deleted && higher(&b, &have) && w.order[have.Dot] < w.order[b.Dot] {
				r.Lost++
				w.fault("%s is back: %v, deleted by %v", b.Key, have.Dot, b.Dot)
			}
			continue
		}
		if d, gone := w.deleted[key]; !ok && gone && higher(&d, &b) { // by a write that fell short, which isn't taken back
			continue
		}
		if !ok || higher(&b, &have) {
			r.Lost++
			w.fault("%s of %v is lost: %v stands", b.Key, b.Dot, have.Dot)
		}
	}
}
