package channel

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"elderwall/core/cluster/replication"
)

// simulation runs the machines of several dispatchers. Their records spread with losses, a majority keeps one ledger, and clients move between
// dispatchers. The clients remember what they sent and saw and check the declared order by themselves, without code of the machines. Violations are
// collected in faults.
type simulation struct {
	rng             *rand.Rand
	declaration     Declaration
	now             float64
	nodes           []*node
	ledger          *Ledger
	savedLedger     LedgerSnapshot // what the voters are left with after they lose their log
	fencingToken    uint64         // of the sequencer's duty
	dots            uint64         // records written so far
	sequencer       int            // node that holds the duty
	proposals       []proposal
	pendingWrites   []pendingWrite
	deliveries      []delivery
	writers         []*simWriter
	readers         []*simReader
	sent            map[string]Entry // by entryID
	acked           map[string]bool  // by entryID
	endedGeneration uint64           // generation of the withdrawal
	redeclared      bool             // the channel is declared again after the withdrawal
	logLost         bool             // the voters lost their log once, so acknowledged entries may be lost
	settling        bool             // failures have ended and no new entries are written
	fault           string           // injected fault, or "real"; see newSimulation
	faults          []string         // violations found
}

// node is one dispatcher.
type node struct {
	machine               *Machine
	store                 map[string]replication.Record // the disk
	up                    bool
	partition             int          // nodes of different partitions can't reach each other
	clockRate, clockShift float64      // the shift is in seconds
	starts                uint64       // how often the node has started
	replica               *replicaNode // used instead of store if the fault is "real"
}

// proposal is a command on the way to the voters' log.
type proposal struct {
	at      float64 // time of arrival
	from    int     // proposing node
	command Command
}

// pendingWrite is a record that a node wrote and whose copies are counted until the deadline.
type pendingWrite struct {
	node, putID int
	starts      uint64 // the node's starts at the write; a restart voids it
	record      replication.Record
	needed      int // copies
	deadline    float64
}

// simWriter is a client that writes one entry after the other and retries each until it is acknowledged.
type simWriter struct {
	name   string
	node   int        // where it writes
	next   uint64     // number of the next entry; those below it were acknowledged
	reader *simReader // what it has seen, for After and the clock
	wait   float64    // seconds until the next attempt
	clock  uint64
}

// simReader is a client that reads the channel and moves between nodes.
type simReader struct {
	clock  uint64 // highest clock seen
	name   string
	node   int
	starts uint64 // the node's starts when the reader opened
	id     uint64 // from Open
	token  string
	open   bool
	wait   float64 // seconds until the next attempt
	// What the reader saw since it last started over.
	shown      []Entry
	late       []bool
	highest    map[string]uint64
	gaps       map[string]bool
	anyGap     bool
	generation uint64
	sawEnd     bool // it was notified that the channel ended
}

const channelName = "news"

// retainsFew reports whether so few entries are retained that readers may not find all of them.
func (w *simulation) retainsFew() bool { return w.declaration.RetainedEntries < 1000 }

// entryID identifies an entry by writer and number.
func entryID(w string, n uint64) string { return fmt.Sprint(w, "/", n) }

// newSimulation starts nodes and clients. fault names an injected fault, or is "real" to use package replication instead of the simulated records.
func newSimulation(seed uint64, d Declaration, nodes, writers, readers int, fault string) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), declaration: d, ledger: NewLedger(), fencingToken: 1, sent: map[string]Entry{}, acked: map[string]bool{}, fault: fault}
	for range nodes {
		w.nodes = append(w.nodes, &node{replica: newReplicaNode(), store: map[string]replication.Record{}, clockRate: 0.99 + 0.02*w.rng.Float64(), clockShift: 100 * w.rng.Float64()})
	}
	w.savedLedger = w.ledger.Save()
	if err := w.ledger.Apply(&Command{Declare: &d}); err != nil {
		panic(err)
	}
	for i := range w.nodes {
		w.start(i)
	}
	for i := range readers {
		w.readers = append(w.readers, &simReader{name: fmt.Sprint("r", i), node: w.rng.IntN(nodes)})
		w.readers[i].reset()
	}
	for i := range writers {
		w.writers = append(w.writers, &simWriter{name: fmt.Sprint("w", i), node: w.rng.IntN(nodes), next: 1, reader: w.readers[i%readers]})
	}
	return w
}

// clock returns a node's clock, which has its own rate and offset.
func (w *simulation) clock(i int) float64 { return w.now*w.nodes[i].clockRate + w.nodes[i].clockShift }

// fail records a violation.
func (w *simulation) fail(f string, a ...any) { w.faults = append(w.faults, fmt.Sprintf(f, a...)) }

// start starts a node with the records that its disk still has.
func (w *simulation) start(i int) {
	n := w.nodes[i]
	n.up, n.starts, n.machine = true, n.starts+1, New(fmt.Sprint("n", i), uint64(i)+n.starts<<8)
	if w.fault == "real" {
		w.startReplica(i)
	}
	for _, k := range slices.Sorted(maps.Keys(n.store)) {
		n.machine.Learn(w.clock(i), n.store[k])
	}
	w.applyAgreed(i)
}

// applyAgreed gives a node the declarations and forgotten writers that the voters agreed on.
func (w *simulation) applyAgreed(i int) {
	m, now := w.nodes[i].machine, w.clock(i)
	m.SetDeclarations(now, w.ledger.Declarations())
	forgotten, count := w.ledger.ForgottenWriters(m.ForgottenCount())
	if m.SetForgottenWriters(now, forgotten, count); w.fault == "name without a trace" {
		clear(m.channels[channelName].forgotten)
	}
}

// compareRecords ranks two records of one key as replication does: by merge order, then tombstone, then value.
func compareRecords(a, b replication.Record) int {
	for _, k := range Kinds() {
		if k.ID == a.Kind {
			if c := k.MergeOrder(a.Value, b.Value); c != 0 {
				return c
			}
		}
	}
	if a.Deleted != b.Deleted {
		return map[bool]int{true: 1, false: -1}[a.Deleted]
	}
	return bytes.Compare(a.Value, b.Value)
}

// storeRecord stores a record at a node if it wins over the stored one, and reports whether it does.
func (w *simulation) storeRecord(i int, r replication.Record) bool {
	n := w.nodes[i]
	if was, ok := n.store[r.Key]; ok && compareRecords(r, was) <= 0 {
		return false
	}
	n.store[r.Key] = r
	if w.fault == "always sure" {
		r.Dot.Writer = "another"
	}
	n.machine.Learn(w.clock(i), r)
	return true
}

// seesMajority reports whether a node is up and shares its partition with a majority.
func (w *simulation) seesMajority(i int) bool {
	k := 0
	for _, n := range w.nodes {
		if n.up && n.partition == w.nodes[i].partition {
			k++
		}
	}
	return w.nodes[i].up && k > len(w.nodes)/2
}

// fleet returns the fleet as a node sees it.
func (w *simulation) fleet(i int) replication.Fleet {
	f := replication.Fleet{AgreedSize: len(w.nodes), HasQuorum: w.seesMajority(i)}
	for j, o := range w.nodes {
		if j != i {
			f.Others = append(f.Others, replication.Member{Name: fmt.Sprint("n", j), Zone: "z", Alive: o.up && o.partition == w.nodes[i].partition, InAgreedFleet: true})
		}
	}
	return f
}

// step advances the simulation by 0.05 seconds.
func (w *simulation) step() {
	w.now += 0.05
	if w.fault == "real" {
		w.stepReplicas()
	}
	for range 2 * len(w.nodes) { // records spread; some are lost and arrive another time
		a, b := w.rng.IntN(len(w.nodes)), w.rng.IntN(len(w.nodes))
		if a == b || !w.nodes[a].up || !w.nodes[b].up || w.nodes[a].partition != w.nodes[b].partition {
			continue
		}
		keys := slices.Sorted(maps.Keys(w.nodes[a].store))
		w.rng.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
		for _, k := range keys {
			if w.rng.IntN(3) > 0 {
				w.storeRecord(b, w.nodes[a].store[k])
			}
		}
	}
	if w.declaration.Order == Total && !w.seesMajority(w.sequencer) || w.rng.IntN(200) == 0 { // the duty moves; its former holder may still believe that it has it
		was := w.sequencer
		for i := range w.nodes {
			if w.seesMajority(i) && (i != was || !w.seesMajority(was)) {
				w.sequencer = i
				w.fencingToken++
				w.nodes[i].machine.SetSequencerEpoch(w.clock(i), channelName, w.fencingToken)
				break
			}
		}
	}
	w.proposals = slices.DeleteFunc(w.proposals, func(c proposal) bool {
		if c.at > w.now {
			return false
		}
		if !w.seesMajority(c.from) {
			return true
		}
		if n := w.ledger.sequences[channelName]; w.fault == "stale epoch" && n != nil {
			n.Epoch = min(n.Epoch, c.command.Epoch)
		} else if w.fault == "number forgotten" && n != nil {
			for _, e := range c.command.Entries {
				n.Writers[e.Writer] = WriterProgress{Number: e.Number - 1}
			}
		}
		_ = w.ledger.Apply(&c.command)
		return true
	})
	for i, n := range w.nodes {
		if !n.up {
			continue
		}
		f := w.fleet(i)
		n.machine.SetFleet(f)
		if f.HasQuorum {
			w.applyAgreed(i)
			if l := w.ledger.Sequence(channelName); l != nil {
				n.machine.SetSequence(w.clock(i), l)
			}
		}
		n.machine.Tick(w.clock(i))
		r := n.machine.Ready()
		if r.Relearn && w.fault == "real" {
			for _, k := range Kinds() {
				n.replica.machine.Each(k.ID, "", func(o replication.Record) bool { n.machine.Learn(w.clock(i), o); return true })
			}
		} else if r.Relearn {
			for _, k := range slices.Sorted(maps.Keys(n.store)) {
				n.machine.Learn(w.clock(i), n.store[k])
			}
		}
		for _, p := range r.Puts {
			w.put(i, p)
		}
		for _, c := range r.Commands {
			w.proposals = append(w.proposals, proposal{w.now + 0.1 + 0.4*w.rng.Float64()*float64(w.rng.IntN(3)), i, c})
			if w.fault == "shown before commit" {
				l := w.ledger.Sequence(channelName)
				for k, e := range c.Entries {
					e.Epoch, e.EpochStart, e.Offset, e.Generation = c.Epoch, l.EpochStart, l.NextOffset+uint64(k), 1
					if l.Epoch != c.Epoch {
						e.EpochStart = l.NextOffset
					}
					n.machine.Learn(w.clock(i), replication.Record{Kind: EntryKind, Key: e.key(), Value: encodeEntry(&e)})
				}
			}
		}
		for _, a := range r.Acks {
			if a.Met && n.machine.channels[channelName].incarnation == w.incarnation() {
				w.acked[entryID(a.Writer, a.Number)] = true
				if w.rng.IntN(5) > 0 {
					w.startNextEntry(a.Writer, a.Number)
				}
			}
		}
	}
	w.pendingWrites = slices.DeleteFunc(w.pendingWrites, w.completeWrite)
	for _, s := range w.writers {
		w.write(s)
	}
	for _, r := range w.readers {
		w.read(r)
	}
}

func (w *simulation) steps(n int) {
	for range n {
		w.step()
	}
}

// startNextEntry lets a writer whose entry n was acknowledged go on with entry n+1.
func (w *simulation) startNextEntry(name string, n uint64) {
	for _, s := range w.writers {
		if s.name == name && s.next == n {
			s.next, s.wait = n+1, 0
		}
	}
}

// put writes the record of a Put at a node.
func (w *simulation) put(i int, p Put) {
	if w.fault == "real" {
		w.putReplica(i, p)
		return
	}
	p.Record.Dot = replication.Dot{Writer: fmt.Sprint("n", i), WriterEpoch: w.nodes[i].starts, Number: w.dots}
	w.dots++
	ok := w.storeRecord(i, p.Record)
	if p.ID == 0 {
		return
	}
	if !ok {
		w.nodes[i].machine.PutCompleted(w.clock(i), p.ID, replication.Outcome{}, replication.ErrSuperseded)
		return
	}
	need := p.Concern.Copies
	if p.Concern.Level == replication.LevelMajority {
		need = len(w.nodes)/2 + 1
	}
	w.pendingWrites = append(w.pendingWrites, pendingWrite{i, int(p.ID), w.nodes[i].starts, p.Record, need, w.now + p.Concern.Timeout})
}

// completeWrite reports the outcome of a write to its node once the write has enough copies or its deadline has passed. It returns true if the write is
// done with.
func (w *simulation) completeWrite(o pendingWrite) bool {
	n, has := w.nodes[o.node], 0
	if !n.up || n.starts != o.starts {
		return true
	}
	for _, x := range w.nodes {
		if r, ok := x.store[o.record.Key]; ok && x.up && x.partition == n.partition && compareRecords(r, o.record) >= 0 {
			has++
		}
	}
	if has < o.needed && w.now < o.deadline {
		return false
	}
	n.machine.PutCompleted(w.clock(o.node), uint64(o.putID), replication.Outcome{Met: has >= o.needed, Copies: has}, nil)
	return true
}

// write has a writer send its next entry, or send it again.
func (w *simulation) write(s *simWriter) {
	if s.wait -= 0.05; s.wait > 0 || w.settling && s.next > 1 && w.acked[entryID(s.name, s.next-1)] && w.sent[entryID(s.name, s.next)].Number == 0 {
		return
	}
	s.wait = 0.3 * w.rng.Float64()
	if w.rng.IntN(6) == 0 {
		s.node = w.rng.IntN(len(w.nodes))
	}
	e, ok := w.sent[entryID(s.name, s.next)]
	if !ok {
		e = Entry{Channel: channelName, Writer: s.name, Number: s.next, Key: fmt.Sprint("k", w.rng.IntN(3)), Body: []byte(entryID(s.name, s.next))}
		s.clock = max(s.clock, s.reader.clock) + uint64(w.rng.IntN(2))
		e.Clock = s.clock
		if e.After = maps.Clone(s.reader.highest); e.After == nil || w.declaration.Order != Causal {
			e.After = map[string]uint64{}
		}
		w.sent[entryID(s.name, s.next)] = e
	}
	n := w.nodes[s.node]
	if !n.up {
		return
	}
	if w.fault == "after ignored" {
		e.After = nil
	}
	state, err := n.machine.Write(w.clock(s.node), e)
	if err == nil && state == WriteNotSequencer && w.nodes[w.sequencer].up && w.nodes[w.sequencer].partition == n.partition {
		state, _ = w.nodes[w.sequencer].machine.Write(w.clock(w.sequencer), e)
	}
	if state == WriteAcknowledged && w.nodes[s.node].machine.channels[channelName].incarnation == w.incarnation() {
		w.acked[entryID(s.name, s.next)] = true
		s.next++
	}
}

// incarnation returns the generation of the withdrawal before the current declaration, 0 if there was none.
func (w *simulation) incarnation() uint64 {
	return map[bool]uint64{true: w.endedGeneration}[w.redeclared]
}

// reset has a reader start over without a position.
func (r *simReader) reset() {
	r.token, r.open, r.shown, r.late, r.highest, r.gaps, r.anyGap, r.generation = "", false, nil, nil, map[string]uint64{}, map[string]bool{}, false, 0
}

// read has a reader move, open, or take notifications.
func (w *simulation) read(r *simReader) {
	n := w.nodes[r.node]
	if r.wait -= 0.05; r.wait > 0 {
		return
	}
	if w.rng.IntN(30) == 0 || !n.up || r.open && r.starts != n.starts {
		if n.up && r.open {
			n.machine.Close(r.id)
		}
		r.open, r.node = false, w.rng.IntN(len(w.nodes))
		return
	}
	if !r.open {
		if w.fault == "token without epoch" && r.token != "" {
			p, _ := ParseToken(r.token)
			p.Epoch = n.machine.channels[channelName].epochAt(p.Offset)
			r.token = p.Token()
		}
		id, err := n.machine.Open(w.clock(r.node), OpenRequest{Channel: channelName, Token: r.token})
		if err != nil {
			r.wait = 0.2
			return
		}
		r.id, r.open, r.starts = id, true, n.starts
	}
	for _, note := range n.machine.Take(w.clock(r.node), r.id, 1+w.rng.IntN(20)) {
		if note.Position != "" {
			r.token = note.Position
		}
		switch note.Kind {
		case EventEntry:
			w.checkShown(r, note)
		case EventGap:
			if w.fault == "gap untold" {
				continue
			}
			if note.From == 0 || w.declaration.Order == Total {
				r.anyGap = true
			}
			for k := note.From; k <= note.To && note.From > 0; k++ {
				r.gaps[entryID(note.Writer, k)] = true
			}
			if !w.declaration.AllowGaps {
				w.fail("%s: got a gap, but gaps are not allowed", r.name)
			}
		case EventDeclarationChanged:
			if note.Generation <= r.generation {
				w.fail("%s: notified of generation %d after %d", r.name, note.Generation, r.generation)
			}
			r.generation = note.Generation
		case EventBehind:
			r.open, r.node = false, w.rng.IntN(len(w.nodes))
		case EventEnded:
			if w.endedGeneration == 0 || note.Generation != w.endedGeneration {
				w.fail("%s: notified of an end in generation %d, it was in %d", r.name, note.Generation, w.endedGeneration)
			}
			r.reset()
			r.sawEnd, r.token = true, note.Position
		case EventReset, EventCutOff:
			r.reset()
		}
	}
}

// checkShown checks what can be checked when an entry is delivered.
func (w *simulation) checkShown(r *simReader, note Notification) {
	e := *note.Entry
	sent, ok := w.sent[entryID(e.Writer, e.Number)]
	if !ok || !bytes.Equal(sent.Body, e.Body) || sent.Key != e.Key {
		w.fail("%s: %s was never sent with this content", r.name, entryID(e.Writer, e.Number))
	}
	if old := e.Generation <= w.endedGeneration; w.endedGeneration > 0 && (old && r.sawEnd || len(r.shown) > 0 && old != (r.shown[0].Generation <= w.endedGeneration)) {
		w.fail("%s at n%d: %s of generation %d, the channel ended in generation %d", r.name, r.node, entryID(e.Writer, e.Number), e.Generation, w.endedGeneration)
	}
	withdrawn := w.endedGeneration > 0 && e.Generation <= w.endedGeneration // a reader that starts after the withdrawal is given only what is left
	last := r.highest[e.Writer]
	if e.Number <= last {
		w.fail("%s at n%d: %s after %d", r.name, r.node, entryID(e.Writer, e.Number), last)
	}
	if w.declaration.Order > Latest {
		for k := last + 1; k < e.Number && (last != 0 || !w.retainsFew() && !withdrawn); k++ {
			if !r.gaps[entryID(e.Writer, k)] && !r.anyGap {
				w.fail("%s at n%d: %s was delivered, but %d is missing", r.name, r.node, entryID(e.Writer, e.Number), k)
			}
		}
	}
	if w.declaration.Order == Causal {
		for v, n := range sent.After {
			for k := r.highest[v] + 1; k <= n && v != e.Writer && (r.highest[v] != 0 || !w.retainsFew() && !withdrawn); k++ {
				if !r.gaps[entryID(v, k)] && !r.anyGap {
					w.fail("%s: %s was delivered before its dependency %s", r.name, entryID(e.Writer, e.Number), entryID(v, k))
				}
			}
		}
	}
	if k := len(r.shown); w.declaration.Order == Total && k > 0 {
		if o := r.shown[k-1]; e.Offset <= o.Offset || e.Epoch < o.Epoch {
			w.fail("%s: offset %d of epoch %d after offset %d of epoch %d", r.name, e.Offset, e.Epoch, o.Offset, o.Epoch)
		}
	}
	r.highest[e.Writer], r.clock = max(last, e.Number), max(r.clock, e.Clock)
	r.shown, r.late = append(r.shown, e), append(r.late, note.Late)
}

// settleAndCheck ends all failures, lets the simulation settle, and checks what must hold in the end.
func (w *simulation) settleAndCheck() {
	w.settling = true
	for i, n := range w.nodes {
		if n.partition = 0; !n.up {
			w.start(i)
		}
	}
	w.steps(600)
	for _, s := range w.writers {
		if _, ok := w.sent[entryID(s.name, s.next)]; ok && w.declaration.WriterExpiry > 0 {
			w.fail("%s is never accepted", entryID(s.name, s.next))
		}
	}
	for i, n := range w.nodes {
		for _, r := range n.store {
			if key, err := parseKey(r.Key); err == nil && key.writer != "" && !r.Deleted && key.epoch != w.incarnation() {
				w.fail("n%d: a record of writer %s is left of a channel that was withdrawn", i, key.writer)
			}
		}
		if w.declaration.WriterExpiry > 0 && n.machine.ForgottenCount() < w.ledger.forgottenCount {
			w.fail("n%d: %d writers were forgotten, it knows of %d", i, w.ledger.forgottenCount, n.machine.ForgottenCount())
		}
	}
	offsets, first := map[uint64]string{}, map[string]string{}
	for _, r := range w.readers {
		final := map[string]string{}
		delivered, firstNumber := map[string]bool{}, map[string]uint64{}
		for k, e := range r.shown {
			firstNumber[e.Writer] = cmp.Or(firstNumber[e.Writer], e.Number)
			id := entryID(e.Writer, e.Number)
			if delivered[id] = true; !r.late[k] {
				final[e.Key] = id
			}
			if was, ok := offsets[e.Offset]; w.declaration.Order == Total && ok && was != id {
				w.fail("%s: %s at offset %d, another reader saw %s", r.name, id, e.Offset, was)
			}
			offsets[e.Offset] = id
		}
		if len(first) == 0 {
			first = final
		}
		for id := range w.acked {
			sent := w.sent[id]
			if w.retainsFew() && (sent.Number < cmp.Or(firstNumber[sent.Writer], math.MaxUint64) || w.acked[entryID(sent.Writer, sent.Number+1)]) {
				continue // it may no longer be retained; entries after the first delivered one are checked at delivery
			}
			if !delivered[id] && !r.gaps[id] && !r.anyGap && !w.logLost && w.declaration.Order > Latest {
				w.fail("%s: %s was acknowledged and never delivered", r.name, id)
			}
		}
		if !w.logLost && !w.retainsFew() && !r.anyGap && len(r.gaps) == 0 && !maps.Equal(first, final) {
			w.fail("%s: newest by key %v, another reader has %v", r.name, final, first)
		}
	}
}

// play runs one random schedule of network partitions and crashes. With lose it also withdraws and redeclares the channel, or has the voters lose their
// log, as hasWithdrawal says.
func play(seed uint64, d Declaration, lose bool, fault string) *simulation {
	w := newSimulation(seed, d, 3+int(seed%3), 3, 4, fault)
	diskLost := false
	for k := range 500 {
		switch w.rng.IntN(60) {
		case 0:
			for _, n := range w.nodes {
				n.partition = w.rng.IntN(2)
			}
		case 1:
			for _, n := range w.nodes {
				n.partition = 0
			}
		case 2:
			w.nodes[w.rng.IntN(len(w.nodes))].up = false
		case 3, 4:
			for i, n := range w.nodes {
				if !n.up {
					w.start(i)
				}
			}
		case 5:
			if g := w.ledger.declared[channelName]; k > 250 && g.Generation < 3 {
				g.Generation++
				_ = w.ledger.Apply(&Command{Declare: &g})
			}
		case 7:
			if n := w.nodes[w.rng.IntN(len(w.nodes))]; !diskLost && k > 100 { // one disk is lost; another node has every acknowledged entry
				diskLost, n.up, n.store, n.replica = true, false, map[string]replication.Record{}, newReplicaNode()
				if s := w.writers[w.rng.IntN(len(w.writers))]; k%2 == 0 { // and a writer that might have sent its entry again never does
					s.name, s.next = s.name+"'", 1
				}
			}
		case 8, 9:
			if s := w.writers[w.rng.IntN(len(w.writers))]; d.WriterExpiry > 0 && k%4 == 0 {
				s.name, s.next = s.name+"'", 1
			} else if d.WriterExpiry > 0 {
				s.wait = 4 + 6*w.rng.Float64()
			}
		case 6:
			if k%5 == 0 { // all nodes crash at once
				for i := range w.nodes {
					w.nodes[i].up = false
				}
			}
		}
		if g := w.ledger.declared[channelName]; lose && hasWithdrawal(d) && (k == 200 || k == 280) {
			g.Generation, g.Withdrawn = g.Generation+1, k == 200
			if err := w.ledger.Apply(&Command{Declare: &g}); err != nil {
				panic(err)
			}
			if w.redeclared = !g.Withdrawn; g.Withdrawn {
				w.endedGeneration = g.Generation
			} else if w.fault == "the old comes back" {
				g.WithdrawnGeneration = 0
				w.ledger.declared[channelName] = g
			}
			clear(w.acked)
			for _, s := range w.writers {
				s.name, s.next = s.name+"+", 1
			}
		}
		if !hasWithdrawal(d) && lose && k == 150 {
			w.savedLedger = w.ledger.Save()
		}
		if !hasWithdrawal(d) && lose && k == 300 {
			w.logLost, w.proposals, w.ledger, w.fencingToken = true, nil, Restore(w.savedLedger), w.fencingToken+1000
			w.sequencer = 0
			for i, n := range w.nodes {
				n.partition = 0
				w.start(i)
			}
			w.nodes[0].machine.SetSequencerEpoch(w.clock(0), channelName, w.fencingToken)
			for _, s := range w.writers { // acknowledged entries are lost, so each writer continues under another name
				s.name, s.next = s.name+"'", 1
			}
		}
		w.step()
		if len(w.faults) > 0 {
			return w
		}
	}
	w.settleAndCheck()
	return w
}

// newDeclaration returns a declaration that retains enough for a whole schedule.
func newDeclaration(o Order, allowGaps bool) Declaration {
	return Declaration{Name: channelName, Generation: 1, Order: o, AllowGaps: allowGaps, RetainedEntries: 50_000, RetainedBytes: 16 << 20, RetainedSeconds: 3600, OrderWait: 2, DisconnectSlow: !allowGaps}
}

// withWriterExpiry has writers forgotten after 2.5 seconds of silence.
func withWriterExpiry(d Declaration) Declaration {
	d.RetainedSeconds, d.WriterExpiry = 2, 2.5
	return d
}

// hasWithdrawal reports whether play withdraws the channel instead of losing the voters' log. An odd number of retained entries marks this.
func hasWithdrawal(d Declaration) bool { return d.RetainedEntries%2 == 1 }

// withWithdrawal marks a declaration for hasWithdrawal.
func withWithdrawal(d Declaration) Declaration {
	d.RetainedEntries++
	return d
}

// withShortWait returns a declaration that allows gaps and waits only 0.3 seconds for order.
func withShortWait(o Order) Declaration {
	d := newDeclaration(o, true)
	d.OrderWait = 0.3
	return d
}

// withFewRetained has a declaration retain few entries.
func withFewRetained(d Declaration) Declaration {
	d.RetainedEntries = 10 // the log keeps at least minRetainedEntries
	return d
}

// scheduleCount returns the number of schedules to run; ELDERWALL_SCHEDULES sets it.
func scheduleCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("ELDERWALL_SCHEDULES"), 10, 32); err == nil {
		return n
	}
	return 4
}

// Random schedules of partitions, crashes, lost disks, changed declarations, withdrawals and forgotten writers. No reader may see an entry out of the
// declared order, twice or after an unreported gap. No acknowledged entry may get lost unless the voters lose their log.
func TestOrdersHoldInSimulation(t *testing.T) {
	for _, d := range []Declaration{
		newDeclaration(Latest, true), newDeclaration(ByKey, false), newDeclaration(BySender, true), newDeclaration(BySender, false), newDeclaration(Causal, true),
		newDeclaration(Causal, false), newDeclaration(Total, false), newDeclaration(Total, true),
		withShortWait(BySender), withShortWait(Causal), withFewRetained(newDeclaration(BySender, true)), withFewRetained(newDeclaration(Causal, false)), withFewRetained(newDeclaration(Total, false)), withFewRetained(newDeclaration(Total, true)),
		withWriterExpiry(withFewRetained(newDeclaration(BySender, false))), withWriterExpiry(withFewRetained(newDeclaration(ByKey, true))), withWithdrawal(newDeclaration(ByKey, false)), withWithdrawal(newDeclaration(Causal, false)), withWithdrawal(newDeclaration(Total, false)),
		withWithdrawal(withWriterExpiry(withFewRetained(newDeclaration(BySender, false)))),
	} {
		t.Run(fmt.Sprint(d.Order, " gaps ", d.AllowGaps, " retained ", d.RetainedEntries, " wait ", d.OrderWait), func(t *testing.T) {
			t.Parallel()
			shown := 0
			for seed := range scheduleCount() {
				w := play(seed, d, hasWithdrawal(d) || d.Order == Total && seed%4 == 3, "")
				require.Empty(t, w.faults, "seed %d", seed)
				for _, r := range w.readers {
					shown += len(r.shown)
				}
			}
			require.Greater(t, shown, int(scheduleCount())*map[bool]int{true: 40, false: 100}[hasWithdrawal(d)], "the simulation has to make progress")
		})
	}
}

// Guards against a simulation that checks nothing: each injected fault has to be detected within 60 schedules.
func TestSimulationDetectsInjectedFaults(t *testing.T) {
	for fault, d := range map[string]Declaration{
		"stale epoch": newDeclaration(Total, false), "shown before commit": newDeclaration(Total, false),
		"token without epoch": newDeclaration(Total, false), "gap untold": withShortWait(Causal), "number forgotten": newDeclaration(Total, false), "after ignored": newDeclaration(Causal, false),
		"always sure": newDeclaration(Causal, false), "name without a trace": withWriterExpiry(withFewRetained(newDeclaration(BySender, false))),
		"the old comes back": withWithdrawal(newDeclaration(BySender, false)),
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(60) {
				if w := play(seed, d, hasWithdrawal(d) || fault == "token without epoch", fault); len(w.faults) > 0 {
					t.Log(seed, w.faults[0])
					return
				}
			}
			t.Fatal("the fault was not detected")
		})
	}
}
