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

// The world: machines over records that spread with losses, one ledger that a majority keeps, clients that move. Its clients keep what they
// sent and saw; what they find wrong is in faults. It shares nothing of orders with the machines.
type world struct {
	rng     *rand.Rand
	d       Declaration
	now     float64
	nodes   []*node
	ledger  *Ledger
	saved   Saved
	token   uint64
	dots    uint64
	holder  int
	log     []wire
	outs    []outcome
	post    []letter
	writers []*sender
	readers []*follower
	sent    map[string]Entry
	acked   map[string]bool
	ended   uint64 // generation of the end
	anew    bool   // and it is declared again
	lost    bool   // the voters lost their log once: what was acknowledged may be
	calm    bool
	fault   string
	faults  []string
}

type node struct {
	m           *Machine
	store       map[string]replication.Record
	up          bool
	side        int
	rate, shift float64
	boot        uint64
	real        *realReplica
}

type wire struct {
	at   float64
	from int
	c    Command
}

type outcome struct {
	at, id int
	boot   uint64
	r      replication.Record
	need   int
	until  float64
}

type sender struct {
	name  string
	at    int
	next  uint64 // to send; those below were acknowledged
	reads *follower
	wait  float64
	clock uint64
}

type follower struct {
	clock uint64
	name  string
	at    int
	boot  uint64
	id    uint64
	token string
	open  bool
	wait  float64
	// What it saw since it began anew.
	saw    []Entry
	late   []bool
	num    map[string]uint64
	gaps   map[string]bool
	anyGap bool
	gen    uint64
	over   bool // it was told the end
}

const channelName = "news"

// small: so little is kept that readers find less than all.
func (w *world) small() bool { return w.d.Entries < 1000 }

func ref(w string, n uint64) string { return fmt.Sprint(w, "/", n) }

func newWorld(seed uint64, d Declaration, nodes, writers, readers int, fault string) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), d: d, ledger: NewLedger(), token: 1, sent: map[string]Entry{}, acked: map[string]bool{}, fault: fault}
	for range nodes {
		w.nodes = append(w.nodes, &node{real: newReal(), store: map[string]replication.Record{}, rate: 0.99 + 0.02*w.rng.Float64(), shift: 100 * w.rng.Float64()})
	}
	w.saved = w.ledger.Save()
	if err := w.ledger.Apply(&Command{Declare: &d}); err != nil {
		panic(err)
	}
	for i := range w.nodes {
		w.start(i)
	}
	for i := range readers {
		w.readers = append(w.readers, &follower{name: fmt.Sprint("r", i), at: w.rng.IntN(nodes)})
		w.readers[i].anew()
	}
	for i := range writers {
		w.writers = append(w.writers, &sender{name: fmt.Sprint("w", i), at: w.rng.IntN(nodes), next: 1, reads: w.readers[i%readers]})
	}
	return w
}

func (w *world) clock(i int) float64 { return w.now*w.nodes[i].rate + w.nodes[i].shift }

func (w *world) wrong(f string, a ...any) { w.faults = append(w.faults, fmt.Sprintf(f, a...)) }

func (w *world) start(i int) {
	n := w.nodes[i]
	n.up, n.boot, n.m = true, n.boot+1, New(fmt.Sprint("n", i), uint64(i)+n.boot<<8)
	if w.fault == "real" {
		w.startReal(i)
	}
	for _, k := range slices.Sorted(maps.Keys(n.store)) {
		n.m.Learn(w.clock(i), n.store[k])
	}
	w.agree(i)
}

// agree tells a node what the voters have.
func (w *world) agree(i int) {
	m, now := w.nodes[i].m, w.clock(i)
	m.Declare(now, w.ledger.Declarations())
	silent, gone := w.ledger.Silent(m.Gone())
	if m.Forgotten(now, silent, gone); w.fault == "name without a trace" {
		clear(m.channels[channelName].gone)
	}
}

func stands(a, b replication.Record) int {
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

func (w *world) give(i int, r replication.Record) bool {
	n := w.nodes[i]
	if was, ok := n.store[r.Key]; ok && stands(r, was) <= 0 {
		return false
	}
	n.store[r.Key] = r
	if w.fault == "always sure" {
		r.Dot.Writer = "another"
	}
	n.m.Learn(w.clock(i), r)
	return true
}

func (w *world) majority(i int) bool {
	k := 0
	for _, n := range w.nodes {
		if n.up && n.side == w.nodes[i].side {
			k++
		}
	}
	return w.nodes[i].up && k > len(w.nodes)/2
}

func (w *world) fleet(i int) replication.Fleet {
	f := replication.Fleet{AgreedSize: len(w.nodes), HasQuorum: w.majority(i)}
	for j, o := range w.nodes {
		if j != i {
			f.Others = append(f.Others, replication.Member{Name: fmt.Sprint("n", j), Zone: "z", Alive: o.up && o.side == w.nodes[i].side, InAgreedFleet: true})
		}
	}
	return f
}

func (w *world) step() {
	w.now += 0.05
	if w.fault == "real" {
		w.spreadReal()
	}
	for range 2 * len(w.nodes) { // records spread, some are lost and come another time
		a, b := w.rng.IntN(len(w.nodes)), w.rng.IntN(len(w.nodes))
		if a == b || !w.nodes[a].up || !w.nodes[b].up || w.nodes[a].side != w.nodes[b].side {
			continue
		}
		keys := slices.Sorted(maps.Keys(w.nodes[a].store))
		w.rng.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
		for _, k := range keys {
			if w.rng.IntN(3) > 0 {
				w.give(b, w.nodes[a].store[k])
			}
		}
	}
	if w.d.Order == Total && !w.majority(w.holder) || w.rng.IntN(200) == 0 { // the duty goes on; who had it may believe that it still has
		was := w.holder
		for i := range w.nodes {
			if w.majority(i) && (i != was || !w.majority(was)) {
				w.holder = i
				w.token++
				w.nodes[i].m.Hold(w.clock(i), channelName, w.token)
				break
			}
		}
	}
	w.log = slices.DeleteFunc(w.log, func(c wire) bool {
		if c.at > w.now {
			return false
		}
		if !w.majority(c.from) {
			return true
		}
		if n := w.ledger.lines[channelName]; w.fault == "stale epoch" && n != nil {
			n.Epoch = min(n.Epoch, c.c.Epoch)
		} else if w.fault == "number forgotten" && n != nil {
			for _, e := range c.c.Entries {
				n.Writers[e.Writer] = Taken{Number: e.Number - 1}
			}
		}
		_ = w.ledger.Apply(&c.c)
		return true
	})
	for i, n := range w.nodes {
		if !n.up {
			continue
		}
		f := w.fleet(i)
		n.m.Fleet(f)
		if f.HasQuorum {
			w.agree(i)
			if l := w.ledger.Line(channelName); l != nil {
				n.m.Agreed(w.clock(i), l)
			}
		}
		n.m.Tick(w.clock(i))
		r := n.m.Ready()
		if r.Relearn && w.fault == "real" {
			for _, k := range Kinds() {
				n.real.m.Each(k.ID, "", func(o replication.Record) bool { n.m.Learn(w.clock(i), o); return true })
			}
		} else if r.Relearn {
			for _, k := range slices.Sorted(maps.Keys(n.store)) {
				n.m.Learn(w.clock(i), n.store[k])
			}
		}
		for _, p := range r.Puts {
			w.put(i, p)
		}
		for _, c := range r.Commands {
			w.log = append(w.log, wire{w.now + 0.1 + 0.4*w.rng.Float64()*float64(w.rng.IntN(3)), i, c})
			if w.fault == "shown before commit" {
				l := w.ledger.Line(channelName)
				for k, e := range c.Entries {
					e.Epoch, e.Since, e.Place, e.Generation = c.Epoch, l.Since, l.Next+uint64(k), 1
					if l.Epoch != c.Epoch {
						e.Since = l.Next
					}
					n.m.Learn(w.clock(i), replication.Record{Kind: EntryKind, Key: e.key(), Value: packEntry(&e)})
				}
			}
		}
		for _, a := range r.Acks {
			if a.Met && n.m.channels[channelName].life == w.life() {
				w.acked[ref(a.Writer, a.Number)] = true
				if w.rng.IntN(5) > 0 {
					w.heard(a.Writer, a.Number)
				}
			}
		}
	}
	w.outs = slices.DeleteFunc(w.outs, w.settle)
	for _, s := range w.writers {
		w.write(s)
	}
	for _, r := range w.readers {
		w.read(r)
	}
}

func (w *world) steps(n int) {
	for range n {
		w.step()
	}
}

func (w *world) heard(name string, n uint64) {
	for _, s := range w.writers {
		if s.name == name && s.next == n {
			s.next, s.wait = n+1, 0
		}
	}
}

func (w *world) put(i int, p Put) {
	if w.fault == "real" {
		w.putReal(i, p)
		return
	}
	p.Record.Dot = replication.Dot{Writer: fmt.Sprint("n", i), WriterEpoch: w.nodes[i].boot, Number: w.dots}
	w.dots++
	ok := w.give(i, p.Record)
	if p.ID == 0 {
		return
	}
	if !ok {
		w.nodes[i].m.Written(w.clock(i), p.ID, replication.Outcome{}, replication.ErrSuperseded)
		return
	}
	need := p.Sure.Copies
	if p.Sure.Level == replication.LevelMajority {
		need = len(w.nodes)/2 + 1
	}
	w.outs = append(w.outs, outcome{i, int(p.ID), w.nodes[i].boot, p.Record, need, w.now + p.Sure.Timeout})
}

func (w *world) settle(o outcome) bool {
	n, has := w.nodes[o.at], 0
	if !n.up || n.boot != o.boot {
		return true
	}
	for _, x := range w.nodes {
		if r, ok := x.store[o.r.Key]; ok && x.up && x.side == n.side && stands(r, o.r) >= 0 {
			has++
		}
	}
	if has < o.need && w.now < o.until {
		return false
	}
	n.m.Written(w.clock(o.at), uint64(o.id), replication.Outcome{Met: has >= o.need, Copies: has}, nil)
	return true
}

func (w *world) write(s *sender) {
	if s.wait -= 0.05; s.wait > 0 || w.calm && s.next > 1 && w.acked[ref(s.name, s.next-1)] && w.sent[ref(s.name, s.next)].Number == 0 {
		return
	}
	s.wait = 0.3 * w.rng.Float64()
	if w.rng.IntN(6) == 0 {
		s.at = w.rng.IntN(len(w.nodes))
	}
	e, ok := w.sent[ref(s.name, s.next)]
	if !ok {
		e = Entry{Channel: channelName, Writer: s.name, Number: s.next, Key: fmt.Sprint("k", w.rng.IntN(3)), Body: []byte(ref(s.name, s.next))}
		s.clock = max(s.clock, s.reads.clock) + uint64(w.rng.IntN(2))
		e.Clock = s.clock
		if e.After = maps.Clone(s.reads.num); e.After == nil || w.d.Order != Causal {
			e.After = map[string]uint64{}
		}
		w.sent[ref(s.name, s.next)] = e
	}
	n := w.nodes[s.at]
	if !n.up {
		return
	}
	if w.fault == "after ignored" {
		e.After = nil
	}
	state, err := n.m.Write(w.clock(s.at), e)
	if err == nil && state == Elsewhere && w.nodes[w.holder].up && w.nodes[w.holder].side == n.side {
		state, _ = w.nodes[w.holder].m.Write(w.clock(w.holder), e)
	}
	if state == Known && w.nodes[s.at].m.channels[channelName].life == w.life() {
		w.acked[ref(s.name, s.next)] = true
		s.next++
	}
}

// life is the generation that the channel last ended with before what it is now.
func (w *world) life() uint64 { return map[bool]uint64{true: w.ended}[w.anew] }

func (r *follower) anew() {
	r.token, r.open, r.saw, r.late, r.num, r.gaps, r.anyGap, r.gen = "", false, nil, nil, map[string]uint64{}, map[string]bool{}, false, 0
}

func (w *world) read(r *follower) {
	n := w.nodes[r.at]
	if r.wait -= 0.05; r.wait > 0 {
		return
	}
	if w.rng.IntN(30) == 0 || !n.up || r.open && r.boot != n.boot {
		if n.up && r.open {
			n.m.Close(r.id)
		}
		r.open, r.at = false, w.rng.IntN(len(w.nodes))
		return
	}
	if !r.open {
		if w.fault == "token without epoch" && r.token != "" {
			p, _ := ReadToken(r.token)
			p.Epoch = n.m.channels[channelName].epochAt(p.Place)
			r.token = p.Token()
		}
		id, err := n.m.Open(w.clock(r.at), Ask{Channel: channelName, Token: r.token})
		if err != nil {
			r.wait = 0.2
			return
		}
		r.id, r.open, r.boot = id, true, n.boot
	}
	for _, note := range n.m.Take(w.clock(r.at), r.id, 1+w.rng.IntN(20)) {
		if note.Position != "" {
			r.token = note.Position
		}
		switch note.Word {
		case Shown:
			w.shown(r, note)
		case Gap:
			if w.fault == "gap untold" {
				continue
			}
			if note.From == 0 || w.d.Order == Total {
				r.anyGap = true
			}
			for k := note.From; k <= note.To && note.From > 0; k++ {
				r.gaps[ref(note.Writer, k)] = true
			}
			if !w.d.Told {
				w.wrong("%s: a gap, but none are declared", r.name)
			}
		case Turned:
			if note.Generation <= r.gen {
				w.wrong("%s: turned to %d after %d", r.name, note.Generation, r.gen)
			}
			r.gen = note.Generation
		case Behind:
			r.open, r.at = false, w.rng.IntN(len(w.nodes))
		case Ended:
			if w.ended == 0 || note.Generation != w.ended {
				w.wrong("%s: ended with %d, it did with %d", r.name, note.Generation, w.ended)
			}
			r.anew()
			r.over, r.token = true, note.Position
		case Reset, Cut:
			r.anew()
		}
	}
}

// shown checks what can be seen at once.
func (w *world) shown(r *follower, note Note) {
	e := *note.Entry
	sent, ok := w.sent[ref(e.Writer, e.Number)]
	if !ok || !bytes.Equal(sent.Body, e.Body) || sent.Key != e.Key {
		w.wrong("%s: %s was never sent so", r.name, ref(e.Writer, e.Number))
	}
	if old := e.Generation <= w.ended; w.ended > 0 && (old && r.over || len(r.saw) > 0 && old != (r.saw[0].Generation <= w.ended)) {
		w.wrong("%s at n%d: %s of generation %d, the channel ended with %d", r.name, r.at, ref(e.Writer, e.Number), e.Generation, w.ended)
	}
	going := w.ended > 0 && e.Generation <= w.ended // who begins then is given what is left
	last := r.num[e.Writer]
	if e.Number <= last {
		w.wrong("%s at n%d: %s after %d", r.name, r.at, ref(e.Writer, e.Number), last)
	}
	if w.d.Order > Latest {
		for k := last + 1; k < e.Number && (last != 0 || !w.small() && !going); k++ {
			if !r.gaps[ref(e.Writer, k)] && !r.anyGap {
				w.wrong("%s at n%d: %s came, %d is missing", r.name, r.at, ref(e.Writer, e.Number), k)
			}
		}
	}
	if w.d.Order == Causal {
		for v, n := range sent.After {
			for k := r.num[v] + 1; k <= n && v != e.Writer && (r.num[v] != 0 || !w.small() && !going); k++ {
				if !r.gaps[ref(v, k)] && !r.anyGap {
					w.wrong("%s: %s came before %s", r.name, ref(e.Writer, e.Number), ref(v, k))
				}
			}
		}
	}
	if k := len(r.saw); w.d.Order == Total && k > 0 {
		if o := r.saw[k-1]; e.Place <= o.Place || e.Epoch < o.Epoch {
			w.wrong("%s: place %d of epoch %d after %d of %d", r.name, e.Place, e.Epoch, o.Place, o.Epoch)
		}
	}
	r.num[e.Writer], r.clock = max(last, e.Number), max(r.clock, e.Clock)
	r.saw, r.late = append(r.saw, e), append(r.late, note.Late)
}

// finish heals all and checks what must hold in the end.
func (w *world) finish() {
	w.calm = true
	for i, n := range w.nodes {
		if n.side = 0; !n.up {
			w.start(i)
		}
	}
	w.steps(600)
	for _, s := range w.writers {
		if _, ok := w.sent[ref(s.name, s.next)]; ok && w.d.Forget > 0 {
			w.wrong("%s is never taken", ref(s.name, s.next))
		}
	}
	for i, n := range w.nodes {
		for _, r := range n.store {
			if key, err := readKey(r.Key); err == nil && key.writer != "" && !r.Deleted && key.epoch != w.life() {
				w.wrong("n%d: a record of %s is left of a channel that ended", i, key.writer)
			}
		}
		if w.d.Forget > 0 && n.m.Gone() < w.ledger.gone {
			w.wrong("n%d: %d names were let go, it has %d", i, w.ledger.gone, n.m.Gone())
		}
	}
	places, first := map[uint64]string{}, map[string]string{}
	for _, r := range w.readers {
		final := map[string]string{}
		saw, began := map[string]bool{}, map[string]uint64{}
		for k, e := range r.saw {
			began[e.Writer] = cmp.Or(began[e.Writer], e.Number)
			id := ref(e.Writer, e.Number)
			if saw[id] = true; !r.late[k] {
				final[e.Key] = id
			}
			if was, ok := places[e.Place]; w.d.Order == Total && ok && was != id {
				w.wrong("%s: %s at place %d, another saw %s", r.name, id, e.Place, was)
			}
			places[e.Place] = id
		}
		if len(first) == 0 {
			first = final
		}
		for id := range w.acked {
			sent := w.sent[id]
			if w.small() && (sent.Number < cmp.Or(began[sent.Writer], math.MaxUint64) || w.acked[ref(sent.Writer, sent.Number+1)]) {
				continue // may have fallen out; those from the first that came on are checked as they come
			}
			if !saw[id] && !r.gaps[id] && !r.anyGap && !w.lost && w.d.Order > Latest {
				w.wrong("%s: %s was acknowledged and never came", r.name, id)
			}
		}
		if !w.lost && !w.small() && !r.anyGap && len(r.gaps) == 0 && !maps.Equal(first, final) {
			w.wrong("%s: newest by key %v, another has %v", r.name, final, first)
		}
	}
}

// play runs one schedule of cuts, kills and, if asked for, loss of the voters' log.
func play(seed uint64, d Declaration, lose bool, fault string) *world {
	w := newWorld(seed, d, 3+int(seed%3), 3, 4, fault)
	emptied := false
	for k := range 500 {
		switch w.rng.IntN(60) {
		case 0:
			for _, n := range w.nodes {
				n.side = w.rng.IntN(2)
			}
		case 1:
			for _, n := range w.nodes {
				n.side = 0
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
			if n := w.nodes[w.rng.IntN(len(w.nodes))]; !emptied && k > 100 { // one disk is lost: of what was acknowledged another has it
				emptied, n.up, n.store, n.real = true, false, map[string]replication.Record{}, newReal()
				if s := w.writers[w.rng.IntN(len(w.writers))]; k%2 == 0 { // and who might have sent again never does
					s.name, s.next = s.name+"'", 1
				}
			}
		case 8, 9:
			if s := w.writers[w.rng.IntN(len(w.writers))]; d.Forget > 0 && k%4 == 0 {
				s.name, s.next = s.name+"'", 1
			} else if d.Forget > 0 {
				s.wait = 4 + 6*w.rng.Float64()
			}
		case 6:
			if k%5 == 0 { // all at once
				for i := range w.nodes {
					w.nodes[i].up = false
				}
			}
		}
		if g := w.ledger.declared[channelName]; lose && ends(d) && (k == 200 || k == 280) {
			g.Generation, g.End = g.Generation+1, k == 200
			if err := w.ledger.Apply(&Command{Declare: &g}); err != nil {
				panic(err)
			}
			if w.anew = !g.End; g.End {
				w.ended = g.Generation
			} else if w.fault == "the old comes back" {
				g.Since = 0
				w.ledger.declared[channelName] = g
			}
			clear(w.acked)
			for _, s := range w.writers {
				s.name, s.next = s.name+"+", 1
			}
		}
		if !ends(d) && lose && k == 150 {
			w.saved = w.ledger.Save()
		}
		if !ends(d) && lose && k == 300 {
			w.lost, w.log, w.ledger, w.token = true, nil, Restore(w.saved), w.token+1000
			w.holder = 0
			for i, n := range w.nodes {
				n.side = 0
				w.start(i)
			}
			w.nodes[0].m.Hold(w.clock(0), channelName, w.token)
			for _, s := range w.writers { // what was acknowledged is lost: each goes on under another name
				s.name, s.next = s.name+"'", 1
			}
		}
		w.step()
		if len(w.faults) > 0 {
			return w
		}
	}
	w.finish()
	return w
}

func declared(o Order, told bool) Declaration {
	return Declaration{Name: channelName, Generation: 1, Order: o, Told: told, Entries: 50_000, Bytes: 16 << 20, Seconds: 3600, Wait: 2, Slow: !told}
}

// fickle lets names of writers go soon.
func fickle(d Declaration) Declaration {
	d.Seconds, d.Forget = 2, 2.5
	return d
}

// ends: the world withdraws the channel, where it loses something, and not the voters' log.
func ends(d Declaration) bool { return d.Entries%2 == 1 }

func ended(d Declaration) Declaration {
	d.Entries++
	return d
}

func hasty(o Order) Declaration {
	d := declared(o, true)
	d.Wait = 0.3
	return d
}

func few(d Declaration) Declaration {
	d.Entries = 10 // and 64 at least
	return d
}

func schedules() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("ELDERWALL_SCHEDULES"), 10, 32); err == nil {
		return n
	}
	return 4
}

func TestOrdersHold(t *testing.T) {
	for _, d := range []Declaration{
		declared(Latest, true), declared(ByKey, false), declared(BySender, true), declared(BySender, false), declared(Causal, true),
		declared(Causal, false), declared(Total, false), declared(Total, true),
		hasty(BySender), hasty(Causal), few(declared(BySender, true)), few(declared(Causal, false)), few(declared(Total, false)), few(declared(Total, true)),
		fickle(few(declared(BySender, false))), fickle(few(declared(ByKey, true))), ended(declared(ByKey, false)), ended(declared(Causal, false)), ended(declared(Total, false)),
		ended(fickle(few(declared(BySender, false)))),
	} {
		t.Run(fmt.Sprint(d.Order, " told ", d.Told, " kept ", d.Entries, " wait ", d.Wait), func(t *testing.T) {
			t.Parallel()
			shown := 0
			for seed := range schedules() {
				w := play(seed, d, ends(d) || d.Order == Total && seed%4 == 3, "")
				require.Empty(t, w.faults, "seed %d", seed)
				for _, r := range w.readers {
					shown += len(r.saw)
				}
			}
			require.Greater(t, shown, int(schedules())*map[bool]int{true: 40, false: 100}[ends(d)], "the world goes on")
		})
	}
}

func TestFaultsAreFound(t *testing.T) {
	for fault, d := range map[string]Declaration{
		"stale epoch": declared(Total, false), "shown before commit": declared(Total, false),
		"token without epoch": declared(Total, false), "gap untold": hasty(Causal), "number forgotten": declared(Total, false), "after ignored": declared(Causal, false),
		"always sure": declared(Causal, false), "name without a trace": fickle(few(declared(BySender, false))),
		"the old comes back": ended(declared(BySender, false)),
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(60) {
				if w := play(seed, d, ends(d) || fault == "token without epoch", fault); len(w.faults) > 0 {
					t.Log(seed, w.faults[0])
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
