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

// The world plays machines on one clock, with a network and disks that fail by seed. What is right is worked out from what it wrote itself.

const (
	kindMax, kindText = 1, 2 // the greatest first 8 bytes stand; no law
	kindNew           = 3    // of a later version: no law
)

func kinds() []Kind {
	law := func(a, b []byte) int { return strings.Compare(string(a[:min(8, len(a))]), string(b[:min(8, len(b))])) }
	return []Kind{
		{ID: kindMax, Name: "max", Records: 200_000, Bytes: 1 << 26, Longest: 1000, Sync: true, Law: law},
		{ID: kindText, Name: "text", Records: 200_000, Bytes: 1 << 26, Longest: 1000},
	}
}

type disk struct {
	saved Saved
	at    float64 // when the fleet was heard last
	recs  map[Name]Carried
	vec   map[[2]any]Entry
}

func newDisk() *disk { return &disk{recs: map[Name]Carried{}, vec: map[[2]any]Entry{}} }

func (d *disk) put(s *Save) {
	if s == nil {
		return
	}
	d.saved.Era, d.saved.Lacks = s.Era, s.Lacks
	for _, n := range s.Drops {
		delete(d.recs, n)
	}
	for _, c := range s.Records {
		d.recs[Name{c.Record.Kind, c.Record.Key}] = c
	}
	for _, e := range s.Folded {
		delete(d.vec, [2]any{e.Writer, e.Era})
	}
	for _, e := range s.Vector {
		d.vec[[2]any{e.Writer, e.Era}] = e
	}
}

func (d *disk) load(now float64) *Saved {
	s := &Saved{Era: d.saved.Era, Lacks: d.saved.Lacks, Away: now - d.at}
	for _, c := range d.recs {
		s.Records = append(s.Records, c)
	}
	slices.SortFunc(s.Records, func(a, b Carried) int { return cmp.Compare(a.Record.Key, b.Record.Key) })
	for _, e := range d.vec {
		s.Vector = append(s.Vector, e)
	}
	slices.SortFunc(s.Vector, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Writer, b.Writer), cmp.Compare(a.Era, b.Era)) })
	return s
}

func (d *disk) copy() *disk {
	c := newDisk()
	c.saved, c.at = d.saved, d.at
	maps.Copy(c.recs, d.recs)
	maps.Copy(c.vec, d.vec)
	return c
}

type node struct {
	name, zone string
	m          *Machine
	disk       *disk
	boots      uint64
	full       bool
	newer      bool    // of the later version
	owed       []*Save // lost with the process
}

type letter struct {
	at       float64
	from, to string
	raw      []byte
	order    int
}

type written struct {
	name  Name
	value string
	dead  bool
	by    string
	met   Level
	acked bool
	at    float64
	seen  map[string]bool // values of the key that stood at the writer, or were acknowledged, before: those it deleted
}

type world struct {
	t       require.TestingT
	now     float64
	chance  *rand.Rand
	nodes   []*node
	by      map[string]*node
	post    []letter
	sent    int
	bytes   map[string]int
	cutOff  map[string]int // part of the net that one is in
	loss    float64
	delay   float64
	writes  map[Dot]*written
	of      map[Name][]*written
	events  []Event
	boot    func(m *Machine)
	told    func(Outcome)
	problem []string
	horizon float64
	mixed   bool // versions
	few     int  // records of a kind, at most
}

func newWorld(t require.TestingT, n int, seed uint64) *world {
	w := &world{
		t: t, chance: rand.New(rand.NewPCG(seed, 7)), by: map[string]*node{}, bytes: map[string]int{}, cutOff: map[string]int{},
		writes: map[Dot]*written{}, of: map[Name][]*written{}, delay: 0.05, horizon: 1000,
	}
	for i := range n {
		x := &node{name: fmt.Sprintf("n%03d", i), zone: string(rune('a' + i%3)), disk: newDisk()}
		w.nodes = append(w.nodes, x)
		w.by[x.name] = x
	}
	return w
}

func (w *world) start(x *node, saved *Saved) {
	x.boots++
	x.owed = nil
	all := kinds()
	if w.few > 0 {
		all[1].Records = w.few
	}
	if x.newer {
		all = append(all, Kind{ID: kindNew, Name: "new", Records: 200_000, Bytes: 1 << 26, Longest: 1000})
	}
	m, err := New(Settings{Name: x.name, Zone: x.zone, Seed: w.chance.Uint64(), Interval: 1, Horizon: w.horizon, Kinds: all}, saved, w.now)
	require.NoError(w.t, err)
	if w.boot != nil {
		w.boot(m)
	}
	x.m = m
	w.fleet()
	w.drain(x)
}

func (w *world) all() {
	for _, x := range w.nodes {
		if x.m == nil {
			w.start(x, nil)
		}
	}
}

func (w *world) fleet() {
	for _, x := range w.nodes {
		if x.m == nil {
			continue
		}
		f := Fleet{Of: len(w.nodes)}
		seen := 1
		for _, o := range w.nodes {
			if o != x {
				alive := o.m != nil && w.cutOff[o.name] == w.cutOff[x.name]
				if alive {
					seen++
				}
				f.Others = append(f.Others, Member{Name: o.name, Zone: o.zone, Alive: alive, Counted: true})
			}
		}
		f.Decides = 2*seen > len(w.nodes)
		x.m.Fleet(f, w.now)
	}
}

// drain does what a driver does: save, then send and tell.
func (w *world) drain(x *node) {
	r := x.m.Ready()
	if unkept := len(x.owed) > 0; r.Save != nil || unkept {
		if x.owed = append(x.owed, r.Save); !x.full {
			for _, s := range x.owed {
				if x.disk.put(s); s != nil {
					x.disk.at = w.now - s.Away
				}
			}
			x.owed = nil
		} else if !unkept {
			r.Send, r.Outcomes = nil, nil
		}
		x.m.Unkept(x.full)
	}
	for _, o := range r.Outcomes {
		if w.told != nil {
			w.told(o)
		}
		if wr := w.writes[o.Dot]; wr != nil && o.Copies > 0 {
			wr.acked, wr.met = true, o.Got
		}
	}
	for _, e := range r.Events {
		e.Who = x.name + " " + e.Who
		w.events = append(w.events, e)
	}
	for _, e := range r.Send {
		raw, err := cbor.Marshal(e.Message)
		require.NoError(w.t, err)
		if limit := map[bool]int{false: MostMessage, true: MostStream}[e.Stream]; len(raw) >= limit {
			w.problem = append(w.problem, fmt.Sprintf("a message of %d bytes, stream %v", len(raw), e.Stream))
		}
		w.bytes[x.name] += len(raw)
		w.sent++
		if w.chance.Float64() >= w.loss {
			w.post = append(w.post, letter{w.now + w.delay*(0.5+w.chance.Float64()), x.name, e.To, raw, w.sent})
			if w.loss > 0 && w.chance.Float64() < 0.05 {
				w.post = append(w.post, letter{w.now + 3*w.chance.Float64(), x.name, e.To, raw, w.sent})
			}
		}
	}
}

func (w *world) deliver(l letter) {
	x := w.by[l.to]
	if x == nil || x.m == nil || w.cutOff[l.from] != w.cutOff[l.to] {
		return
	}
	var msg Message
	require.NoError(w.t, cbor.Unmarshal(l.raw, &msg))
	if err := x.m.Step(l.from, &msg, w.now); err != nil {
		w.problem = append(w.problem, err.Error())
	}
}

func (w *world) run(span float64) {
	for end := w.now + span; w.now < end; {
		w.now += 0.25
		slices.SortFunc(w.post, func(a, b letter) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order)) })
		i := 0
		for i < len(w.post) && w.post[i].at <= w.now {
			i++
		}
		now := w.post[:i:i]
		w.post = slices.Clone(w.post[i:])
		for _, l := range now {
			w.deliver(l)
			if x := w.by[l.to]; x != nil && x.m != nil && w.chance.Float64() < 0.7 { // else they pile up: group commit
				w.drain(x)
			}
		}
		for _, x := range w.nodes {
			if x.m != nil {
				x.m.Tick(w.now)
				w.drain(x)
			}
		}
	}
}

func (w *world) write(x *node, kind uint8, key, value string, dead bool, sure Sure) (Dot, error) {
	seen := map[string]bool{}
	if r, ok := x.m.Get(kind, key); ok {
		seen[string(r.Value)] = true
	}
	for _, o := range w.of[Name{kind, key}] {
		if !o.dead && o.acked && o.met == Majority {
			seen[o.value] = true
		}
	}
	d, err := x.m.Write(w.now, kind, key, []byte(value), dead, sure)
	if err == nil {
		if w.writes[d] != nil && w.writes[d].by != x.name+fmt.Sprint(x.boots) {
			w.problem = append(w.problem, fmt.Sprintf("dot %v was given twice", d))
		}
		w.writes[d] = &written{name: Name{kind, key}, value: value, dead: dead, by: x.name + fmt.Sprint(x.boots), at: w.now, seen: seen}
		w.of[Name{kind, key}] = append(w.of[Name{kind, key}], w.writes[d])
	}
	return d, err
}

func (w *world) kill(x *node) {
	x.m = nil
	w.fleet()
}

// total is the bytes that all have sent.
func (w *world) total() (n int) {
	for _, b := range w.bytes {
		n += b
	}
	return n
}

// unlogged has some remember no deltas.
func unlogged(some ...*node) {
	for _, n := range some {
		n.m.logs, n.m.fifo = map[trackKey]*track{}, nil
	}
}

func (w *world) heal() {
	clear(w.cutOff)
	w.loss = 0
	for _, x := range w.nodes {
		if x.full = false; w.mixed && !x.newer { // rolled out to all
			x.m, x.newer = nil, true
		}
	}
	for _, x := range w.nodes {
		if x.m == nil {
			w.start(x, x.disk.load(w.now))
		}
	}
	w.fleet()
}

// higher is the checker's own order of contents.
func higher(kind uint8, av string, ad bool, bv string, bd bool) bool {
	if kind == kindMax {
		if x, y := av[:min(8, len(av))], bv[:min(8, len(bv))]; x != y {
			return x > y
		}
	}
	if ad != bd {
		return ad
	}
	return av > bv
}

// state is all that stands at a node, as its reader sees it.
func (w *world) state(x *node) map[Name]string {
	all := map[Name]string{}
	for _, k := range []uint8{kindMax, kindText, kindNew} {
		x.m.Each(k, "", func(r Record) bool { all[Name{k, r.Key}] = string(r.Value); return true })
	}
	return all
}

// verdict tells what is wrong after healing: disagreement, something acknowledged that is lost, something deleted that is back.
func (w *world) verdict() []string {
	bad := w.problem
	first := w.state(w.nodes[0])
	for _, x := range w.nodes[1:] {
		s := w.state(x)
		for n, v := range s {
			if o, ok := first[n]; !ok || o != v {
				bad = append(bad, fmt.Sprintf("%s has %v %q, the first %q %v", x.name, n, v, o, ok))
			}
		}
		for n, v := range first {
			if _, ok := s[n]; !ok {
				bad = append(bad, fmt.Sprintf("%s lacks %v %q", x.name, n, v))
			}
		}
	}
	for d, o := range w.writes {
		v, ok := first[o.name]
		// What a deletion was above is not to stand again. What it knew nothing of may, once it is forgotten.
		if o.dead && o.acked && o.met == Majority && ok && higher(o.name.Kind, o.value, true, v, false) && o.seen[v] {
			bad = append(bad, fmt.Sprintf("%v was deleted by %v and is back as %q", o.name, d, v))
		}
		if !o.dead && o.acked && (o.met == Majority || d.Writer != "n004") && (!ok || higher(o.name.Kind, o.value, false, v, false)) && !w.deleted(o) {
			bad = append(bad, fmt.Sprintf("%v %q by %v, acknowledged, is lost: %q", o.name, o.value, d, v))
		}
		if ok && v == "" {
			bad = append(bad, fmt.Sprintf("%v is empty", o.name))
		}
	}
	for n, v := range first {
		if !slices.ContainsFunc(w.of[n], func(o *written) bool { return o.value == v && !o.dead }) {
			bad = append(bad, fmt.Sprintf("%v %q was never written", n, v))
		}
	}
	slices.Sort(bad)
	return slices.Compact(bad)
}

// deleted tells whether a deletion above it was written, acknowledged or not.
func (w *world) deleted(o *written) bool {
	return slices.ContainsFunc(w.of[o.name], func(x *written) bool { return x.dead && higher(o.name.Kind, x.value, true, o.value, false) })
}

// settle runs until all agree, or a bound.
func (w *world) settle(bound float64) float64 {
	from := w.now
	for w.now-from < bound {
		w.run(1)
		if w.same() {
			return w.now - from
		}
	}
	return bound
}

func (w *world) same() bool {
	first := w.nodes[0].m
	return !slices.ContainsFunc(w.nodes, func(x *node) bool {
		return x.m == nil || x.m.live() != first.live() || x.m.pull != nil || len(x.m.lacked) > 0 || !x.m.vec.reaches(first.vec) || !first.vec.reaches(x.m.vec)
	})
}

// schedule plays faults by seed, heals, and gives the verdict.
func schedule(t *testing.T, seed uint64, boot func(*Machine)) []string {
	w := newWorld(t, 5, seed)
	w.boot = boot
	w.horizon = 60
	if w.mixed = seed%2 == 1; w.mixed {
		for _, x := range w.nodes {
			x.newer = w.chance.IntN(2) == 0
		}
	}
	w.all()
	w.run(3)
	c := w.chance
	for range 60 {
		switch c.IntN(14) {
		case 0:
			w.cutOff[w.nodes[c.IntN(5)].name] = c.IntN(2)
			w.fleet()
		case 1:
			clear(w.cutOff)
			w.fleet()
		case 2:
			w.loss = []float64{0, 0, 0.1, 0.3}[c.IntN(4)]
		case 3, 4:
			down := slices.ContainsFunc(w.nodes, func(x *node) bool { return x.m == nil })
			if x := w.nodes[c.IntN(5)]; x.m != nil && !down {
				w.kill(x)
			}
		case 5, 6:
			for _, x := range w.nodes {
				if x.m == nil {
					saved := x.disk.load(w.now)
					if w.mixed && c.IntN(3) == 0 { // up or down
						x.newer = !x.newer
					}
					if c.IntN(6) == 0 && len(w.cutOff) == 0 && x.name == "n004" { // one disk alone may be lost: a majority keeps what was acknowledged
						x.disk, saved = newDisk(), nil
					}
					w.start(x, saved)
					break
				}
			}
		case 8: // all at once, right after something was acknowledged
			if x := w.nodes[c.IntN(4)]; x.m != nil {
				_, _ = w.write(x, kindText, fmt.Sprintf("last%d", w.sent), "00000001 last", false, Sure{})
				w.drain(x)
			}
			w.post = nil
			for _, x := range w.nodes {
				x.m = nil
			}
			for _, x := range w.nodes {
				w.start(x, x.disk.load(w.now))
			}
		case 9, 10:
			x := w.nodes[c.IntN(5)]
			x.full = !x.full
		case 7:
			w.run(5 + 20*c.Float64())
		}
		for range 1 + c.IntN(4) {
			x := w.nodes[c.IntN(5)]
			if x.m == nil {
				continue
			}
			kinds := 2
			if x.newer {
				kinds++
			}
			kind, key := uint8(1+c.IntN(kinds)), fmt.Sprintf("k%02d", c.IntN(20))
			value := fmt.Sprintf("%08d %d", c.IntN(1000), w.sent)
			dead := c.IntN(4) == 0
			sure := Sure{Level: []Level{Here, Copies, Majority}[c.IntN(3)], Copies: 2 + c.IntN(2), Within: 5}
			_, _ = w.write(x, kind, key, value, dead, sure)
			w.drain(x)
		}
		w.run(0.5 + c.Float64())
	}
	w.heal()
	if took := w.settle(40); took >= 40 {
		var s []string
		for _, x := range w.nodes {
			s = append(s, fmt.Sprintf("%s %+v %x %v", x.name, x.m.Status(), x.m.live(), x.m.lacked))
		}
		w.problem = append(w.problem, "not the same after 40 intervals:\n"+strings.Join(s, "\n"))
	}
	w.run(100)
	return w.verdict()
}
