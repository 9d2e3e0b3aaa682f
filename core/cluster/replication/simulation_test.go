package replication

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// The simulation runs machines on one clock, with a network and disks that fail as a seed determines. It derives the expected records from the writes
// that it made.

const (
	kindMaximum, kindUnordered = 1, 2 // the highest first 8 bytes win; no merge order
	kindNewVersion             = 3    // known only to the later version; no merge order
)

func testKinds() []Kind {
	mergeOrder := func(a, b []byte) int { return strings.Compare(string(a[:min(8, len(a))]), string(b[:min(8, len(b))])) }
	return []Kind{
		{ID: kindMaximum, Name: "max", MaxRecords: 200_000, MaxBytes: 1 << 26, MaxRecordBytes: 1000, Sync: true, MergeOrder: mergeOrder},
		{ID: kindUnordered, Name: "text", MaxRecords: 200_000, MaxBytes: 1 << 26, MaxRecordBytes: 1000},
	}
}

// disk is what a node has persisted.
type disk struct {
	saved       SavedState
	lastContact float64 // seconds; time of the last contact with the fleet
	records     map[RecordKey]ReplicatedRecord
	vector      map[[2]any]VectorEntry
}

func newDisk() *disk {
	return &disk{records: map[RecordKey]ReplicatedRecord{}, vector: map[[2]any]VectorEntry{}}
}

func (d *disk) apply(s *Save) {
	if s == nil {
		return
	}
	d.saved.WriterEpoch, d.saved.IncompleteKinds = s.WriterEpoch, s.IncompleteKinds
	for _, n := range s.Removed {
		delete(d.records, n)
	}
	for _, c := range s.Records {
		d.records[RecordKey{c.Record.Kind, c.Record.Key}] = c
	}
	for _, e := range s.RemovedEntries {
		delete(d.vector, [2]any{e.Writer, e.WriterEpoch})
	}
	for _, e := range s.Vector {
		d.vector[[2]any{e.Writer, e.WriterEpoch}] = e
	}
}

func (d *disk) load(now float64) *SavedState {
	s := &SavedState{WriterEpoch: d.saved.WriterEpoch, IncompleteKinds: d.saved.IncompleteKinds, SinceLastContact: now - d.lastContact}
	for _, c := range d.records {
		s.Records = append(s.Records, c)
	}
	slices.SortFunc(s.Records, func(a, b ReplicatedRecord) int { return cmp.Compare(a.Record.Key, b.Record.Key) })
	for _, e := range d.vector {
		s.Vector = append(s.Vector, e)
	}
	slices.SortFunc(s.Vector, func(a, b VectorEntry) int {
		return cmp.Or(cmp.Compare(a.Writer, b.Writer), cmp.Compare(a.WriterEpoch, b.WriterEpoch))
	})
	return s
}

func (d *disk) copy() *disk {
	c := newDisk()
	c.saved, c.lastContact = d.saved, d.lastContact
	maps.Copy(c.records, d.records)
	maps.Copy(c.vector, d.vector)
	return c
}

type node struct {
	name, zone     string
	machine        *Machine
	disk           *disk
	boots          uint64
	diskFull       bool
	newerVersion   bool    // runs the later version, which knows kindNewVersion
	unsavedBatches []*Save // saves that wait while the disk is full; lost with the process
}

type queuedMessage struct {
	deliverAt float64
	from, to  string
	raw       []byte
	sequence  int
}

type writeRecord struct {
	key           RecordKey
	value         string
	deleted       bool
	writer        string
	level         Level
	acknowledged  bool
	at            float64         // seconds
	earlierValues map[string]bool // values of the key that the writer had or that a majority had acknowledged before the write
}

type simulation struct {
	t             require.TestingT
	now           float64
	rng           *rand.Rand
	nodes         []*node
	byName        map[string]*node
	queue         []queuedMessage
	sent          int
	bytes         map[string]int // sent by each node
	partition     map[string]int // by node: the part of the network that it is in
	lossRate      float64
	delay         float64 // seconds, mean
	writes        map[Dot]*writeRecord
	writesByKey   map[RecordKey][]*writeRecord
	events        []Event
	configure     func(m *Machine)
	onOutcome     func(Outcome)
	problems      []string
	horizon       float64
	mixedVersions bool // nodes run different versions
	maxRecords    int  // limit for kindUnordered; 0 means the usual one
}

func newSimulation(t require.TestingT, n int, seed uint64) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), byName: map[string]*node{}, bytes: map[string]int{}, partition: map[string]int{},
		writes: map[Dot]*writeRecord{}, writesByKey: map[RecordKey][]*writeRecord{}, delay: 0.05, horizon: 1000,
	}
	for i := range n {
		x := &node{name: fmt.Sprintf("n%03d", i), zone: string(rune('a' + i%3)), disk: newDisk()}
		sim.nodes = append(sim.nodes, x)
		sim.byName[x.name] = x
	}
	return sim
}

func (sim *simulation) startNode(x *node, saved *SavedState) {
	x.boots++
	x.unsavedBatches = nil
	kinds := testKinds()
	if sim.maxRecords > 0 {
		kinds[1].MaxRecords = sim.maxRecords
	}
	if x.newerVersion {
		kinds = append(kinds, Kind{ID: kindNewVersion, Name: "new", MaxRecords: 200_000, MaxBytes: 1 << 26, MaxRecordBytes: 1000})
	}
	m, err := New(Settings{Name: x.name, Zone: x.zone, Seed: sim.rng.Uint64(), Interval: 1, Horizon: sim.horizon, Kinds: kinds}, saved, sim.now)
	require.NoError(sim.t, err)
	if sim.configure != nil {
		sim.configure(m)
	}
	x.machine = m
	sim.updateFleets()
	sim.drainReady(x)
}

func (sim *simulation) startAll() {
	for _, x := range sim.nodes {
		if x.machine == nil {
			sim.startNode(x, nil)
		}
	}
}

func (sim *simulation) updateFleets() {
	for _, x := range sim.nodes {
		if x.machine == nil {
			continue
		}
		f := Fleet{AgreedSize: len(sim.nodes)}
		seen := 1
		for _, o := range sim.nodes {
			if o != x {
				alive := o.machine != nil && sim.partition[o.name] == sim.partition[x.name]
				if alive {
					seen++
				}
				f.Others = append(f.Others, Member{Name: o.name, Zone: o.zone, Alive: alive, InAgreedFleet: true})
			}
		}
		f.HasQuorum = 2*seen > len(sim.nodes)
		x.machine.SetFleet(f, sim.now)
	}
}

// drainReady does what a driver does with Ready: it saves first, then sends and reports.
func (sim *simulation) drainReady(x *node) {
	r := x.machine.Ready()
	if lagging := len(x.unsavedBatches) > 0; r.Save != nil || lagging {
		if x.unsavedBatches = append(x.unsavedBatches, r.Save); !x.diskFull {
			for _, s := range x.unsavedBatches {
				if x.disk.apply(s); s != nil {
					x.disk.lastContact = sim.now - s.SinceLastContact
				}
			}
			x.unsavedBatches = nil
		} else if !lagging {
			r.Send, r.Outcomes = nil, nil
		}
		x.machine.SetUnpersisted(x.diskFull)
	}
	for _, o := range r.Outcomes {
		if sim.onOutcome != nil {
			sim.onOutcome(o)
		}
		if wr := sim.writes[o.Dot]; wr != nil && o.Copies > 0 {
			wr.acknowledged, wr.level = true, o.Achieved
		}
	}
	for _, e := range r.Events {
		e.Member = x.name + " " + e.Member
		sim.events = append(sim.events, e)
	}
	for _, e := range r.Send {
		raw, err := cbor.Marshal(e.Message)
		require.NoError(sim.t, err)
		if limit := map[bool]int{false: MaxMessageBytes, true: MaxStreamBytes}[e.Stream]; len(raw) >= limit {
			sim.problems = append(sim.problems, fmt.Sprintf("message of %d bytes is too long, stream %v", len(raw), e.Stream))
		}
		sim.bytes[x.name] += len(raw)
		sim.sent++
		if sim.rng.Float64() >= sim.lossRate {
			sim.queue = append(sim.queue, queuedMessage{sim.now + sim.delay*(0.5+sim.rng.Float64()), x.name, e.To, raw, sim.sent})
			if sim.lossRate > 0 && sim.rng.Float64() < 0.05 {
				sim.queue = append(sim.queue, queuedMessage{sim.now + 3*sim.rng.Float64(), x.name, e.To, raw, sim.sent})
			}
		}
	}
}

func (sim *simulation) deliver(l queuedMessage) {
	x := sim.byName[l.to]
	if x == nil || x.machine == nil || sim.partition[l.from] != sim.partition[l.to] {
		return
	}
	var msg Message
	require.NoError(sim.t, cbor.Unmarshal(l.raw, &msg))
	if err := x.machine.Step(l.from, &msg, sim.now); err != nil {
		sim.problems = append(sim.problems, err.Error())
	}
}

func (sim *simulation) run(span float64) {
	for end := sim.now + span; sim.now < end; {
		sim.now += 0.25
		slices.SortFunc(sim.queue, func(a, b queuedMessage) int {
			return cmp.Or(cmp.Compare(a.deliverAt, b.deliverAt), cmp.Compare(a.sequence, b.sequence))
		})
		i := 0
		for i < len(sim.queue) && sim.queue[i].deliverAt <= sim.now {
			i++
		}
		due := sim.queue[:i:i]
		sim.queue = slices.Clone(sim.queue[i:])
		for _, l := range due {
			sim.deliver(l)
			if x := sim.byName[l.to]; x != nil && x.machine != nil && sim.rng.Float64() < 0.7 { // otherwise changes accumulate, as with a group commit
				sim.drainReady(x)
			}
		}
		for _, x := range sim.nodes {
			if x.machine != nil {
				x.machine.Tick(sim.now)
				sim.drainReady(x)
			}
		}
	}
}

func (sim *simulation) write(x *node, kind uint8, key, value string, deleted bool, concern WriteConcern) (Dot, error) {
	earlier := map[string]bool{}
	if r, ok := x.machine.Get(kind, key); ok {
		earlier[string(r.Value)] = true
	}
	for _, o := range sim.writesByKey[RecordKey{kind, key}] {
		if !o.deleted && o.acknowledged && o.level == LevelMajority {
			earlier[o.value] = true
		}
	}
	d, err := x.machine.Write(sim.now, kind, key, []byte(value), deleted, concern)
	if err == nil {
		if sim.writes[d] != nil && sim.writes[d].writer != x.name+fmt.Sprint(x.boots) {
			sim.problems = append(sim.problems, fmt.Sprintf("dot %v was given to two writes", d))
		}
		sim.writes[d] = &writeRecord{key: RecordKey{kind, key}, value: value, deleted: deleted, writer: x.name + fmt.Sprint(x.boots), at: sim.now, earlierValues: earlier}
		sim.writesByKey[RecordKey{kind, key}] = append(sim.writesByKey[RecordKey{kind, key}], sim.writes[d])
	}
	return d, err
}

func (sim *simulation) killNode(x *node) {
	x.machine = nil
	sim.updateFleets()
}

// totalBytes returns the bytes that all nodes have sent.
func (sim *simulation) totalBytes() (n int) {
	for _, b := range sim.bytes {
		n += b
	}
	return n
}

// clearLogs removes the logs of nodes, so that they have no deltas to send.
func clearLogs(nodes ...*node) {
	for _, n := range nodes {
		n.machine.logs, n.machine.logOrder = map[epochKey]*writeLog{}, nil
	}
}

func (sim *simulation) heal() {
	clear(sim.partition)
	sim.lossRate = 0
	for _, x := range sim.nodes {
		if x.diskFull = false; sim.mixedVersions && !x.newerVersion { // the later version is now rolled out everywhere
			x.machine, x.newerVersion = nil, true
		}
	}
	for _, x := range sim.nodes {
		if x.machine == nil {
			sim.startNode(x, x.disk.load(sim.now))
		}
	}
	sim.updateFleets()
}

// isHigher is the order of contents that the checks use, independent of the machine's.
func isHigher(kind uint8, aValue string, aDeleted bool, bValue string, bDeleted bool) bool {
	if kind == kindMaximum {
		if x, y := aValue[:min(8, len(aValue))], bValue[:min(8, len(bValue))]; x != y {
			return x > y
		}
	}
	if aDeleted != bDeleted {
		return aDeleted
	}
	return aValue > bValue
}

// visibleState returns all current records of a node as a reader sees them.
func (sim *simulation) visibleState(x *node) map[RecordKey]string {
	state := map[RecordKey]string{}
	for _, k := range []uint8{kindMaximum, kindUnordered, kindNewVersion} {
		x.machine.Each(k, "", func(r Record) bool { state[RecordKey{k, r.Key}] = string(r.Value); return true })
	}
	return state
}

// violations returns what is wrong after healing: nodes that disagree, acknowledged writes that are lost, and deleted records that are back.
func (sim *simulation) violations() []string {
	bad := sim.problems
	first := sim.visibleState(sim.nodes[0])
	for _, x := range sim.nodes[1:] {
		s := sim.visibleState(x)
		for n, v := range s {
			if o, ok := first[n]; !ok || o != v {
				bad = append(bad, fmt.Sprintf("%s has %v %q, but the first node has %q, found %v", x.name, n, v, o, ok))
			}
		}
		for n, v := range first {
			if _, ok := s[n]; !ok {
				bad = append(bad, fmt.Sprintf("%s has no record %v, the first node has %q", x.name, n, v))
			}
		}
	}
	for d, o := range sim.writes {
		v, ok := first[o.key]
		// A value that a deletion replaced must not come back. A value that the deletion did not know may, once the tombstone is forgotten.
		if o.deleted && o.acknowledged && o.level == LevelMajority && ok && isHigher(o.key.Kind, o.value, true, v, false) && o.earlierValues[v] {
			bad = append(bad, fmt.Sprintf("%v was deleted by %v and has come back as %q", o.key, d, v))
		}
		if !o.deleted && o.acknowledged && (o.level == LevelMajority || d.Writer != "n004") && (!ok || isHigher(o.key.Kind, o.value, false, v, false)) && !sim.coveredByDeletion(o) {
			bad = append(bad, fmt.Sprintf("acknowledged write %v %q by %v is lost, current value %q", o.key, o.value, d, v))
		}
		if ok && v == "" {
			bad = append(bad, fmt.Sprintf("%v has an empty value", o.key))
		}
	}
	for n, v := range first {
		if !slices.ContainsFunc(sim.writesByKey[n], func(o *writeRecord) bool { return o.value == v && !o.deleted }) {
			bad = append(bad, fmt.Sprintf("%v %q was never written", n, v))
		}
	}
	slices.Sort(bad)
	return slices.Compact(bad)
}

// coveredByDeletion reports whether a deletion that wins over a write was written, acknowledged or not.
func (sim *simulation) coveredByDeletion(o *writeRecord) bool {
	return slices.ContainsFunc(sim.writesByKey[o.key], func(x *writeRecord) bool { return x.deleted && isHigher(o.key.Kind, x.value, true, o.value, false) })
}

// runUntilEqual runs until all nodes agree, but for at most limit seconds, and returns the seconds that it took.
func (sim *simulation) runUntilEqual(limit float64) float64 {
	start := sim.now
	for sim.now-start < limit {
		sim.run(1)
		if sim.allEqual() {
			return sim.now - start
		}
	}
	return limit
}

func (sim *simulation) allEqual() bool {
	first := sim.nodes[0].machine
	return !slices.ContainsFunc(sim.nodes, func(x *node) bool {
		return x.machine == nil || x.machine.contentSum() != first.contentSum() || x.machine.pull != nil || len(x.machine.incompleteIDs) > 0 || !x.machine.vec.dominates(first.vec) || !first.vec.dominates(x.machine.vec)
	})
}

// runSchedule injects faults as the seed determines, heals the simulation and returns the violations.
func runSchedule(t *testing.T, seed uint64, configure func(*Machine)) []string {
	sim := newSimulation(t, 5, seed)
	sim.configure = configure
	sim.horizon = 60
	if sim.mixedVersions = seed%2 == 1; sim.mixedVersions {
		for _, x := range sim.nodes {
			x.newerVersion = sim.rng.IntN(2) == 0
		}
	}
	sim.startAll()
	sim.run(3)
	c := sim.rng
	for range 60 {
		switch c.IntN(14) {
		case 0:
			sim.partition[sim.nodes[c.IntN(5)].name] = c.IntN(2)
			sim.updateFleets()
		case 1:
			clear(sim.partition)
			sim.updateFleets()
		case 2:
			sim.lossRate = []float64{0, 0, 0.1, 0.3}[c.IntN(4)]
		case 3, 4:
			down := slices.ContainsFunc(sim.nodes, func(x *node) bool { return x.machine == nil })
			if x := sim.nodes[c.IntN(5)]; x.machine != nil && !down {
				sim.killNode(x)
			}
		case 5, 6:
			for _, x := range sim.nodes {
				if x.machine == nil {
					saved := x.disk.load(sim.now)
					if sim.mixedVersions && c.IntN(3) == 0 { // upgrade or downgrade
						x.newerVersion = !x.newerVersion
					}
					if c.IntN(6) == 0 && len(sim.partition) == 0 && x.name == "n004" { // only one disk may be lost, so that a majority keeps all acknowledged writes
						x.disk, saved = newDisk(), nil
					}
					sim.startNode(x, saved)
					break
				}
			}
		case 8: // restart all nodes at once, right after a write was acknowledged
			if x := sim.nodes[c.IntN(4)]; x.machine != nil {
				_, _ = sim.write(x, kindUnordered, fmt.Sprintf("last%d", sim.sent), "00000001 last", false, WriteConcern{})
				sim.drainReady(x)
			}
			sim.queue = nil
			for _, x := range sim.nodes {
				x.machine = nil
			}
			for _, x := range sim.nodes {
				sim.startNode(x, x.disk.load(sim.now))
			}
		case 9, 10:
			x := sim.nodes[c.IntN(5)]
			x.diskFull = !x.diskFull
		case 7:
			sim.run(5 + 20*c.Float64())
		}
		for range 1 + c.IntN(4) {
			x := sim.nodes[c.IntN(5)]
			if x.machine == nil {
				continue
			}
			kinds := 2
			if x.newerVersion {
				kinds++
			}
			kind, key := uint8(1+c.IntN(kinds)), fmt.Sprintf("k%02d", c.IntN(20))
			value := fmt.Sprintf("%08d %d", c.IntN(1000), sim.sent)
			deleted := c.IntN(4) == 0
			concern := WriteConcern{Level: []Level{LevelLocal, LevelCopies, LevelMajority}[c.IntN(3)], Copies: 2 + c.IntN(2), Timeout: 5}
			_, _ = sim.write(x, kind, key, value, deleted, concern)
			sim.drainReady(x)
		}
		sim.run(0.5 + c.Float64())
	}
	sim.heal()
	if took := sim.runUntilEqual(40); took >= 40 {
		var s []string
		for _, x := range sim.nodes {
			s = append(s, fmt.Sprintf("%s %+v %x %v", x.name, x.machine.Status(), x.machine.contentSum(), x.machine.incompleteIDs))
		}
		sim.problems = append(sim.problems, "the nodes still differ after 40 intervals:\n"+strings.Join(s, "\n"))
	}
	sim.run(100)
	return sim.violations()
}
