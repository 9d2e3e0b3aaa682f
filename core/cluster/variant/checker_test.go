package variant_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/cluster/variant"
)

// A stand-in origin that knows what each class of each object was, ever; hosts that keep copies by key and drop them some time after a purge;
// dispatchers with a module each and shards that hear of purges late, each at its own time; they tell each other facts over a network that
// loses, repeats, delays and is cut, so that facts come before their purge and after. It shares no code with the module and
// judges bytes alone.
type state struct {
	from, purge, version uint64 // from: ms
	content              [3]uint64
}

type copied struct {
	content, version, purge, until uint64
}

type mode struct {
	name      string
	versions  bool
	fresh     float64
	witnesses int
	liar      bool // host 0 tells the tag of class 0 for all, often
	room      int
	beats     bool
	spread    int // hosts that a key may go to, from the first of its order on; 0 for three
}

type event struct {
	at float64
	do func()
}
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

const (
	objects, hosts, dispatchers, shards = 8, 4, 3, 2
	lives                               = 15.0 // s that a host keeps a copy
	transit                             = 4.0  // s that an answer is under way at most
)

type world struct {
	mode
	rng     *rand.Rand
	now     float64
	queue   events
	origin  [objects][]state
	hosts   [hosts]map[uint64]copied
	modules [dispatchers]*variant.Module
	known   [dispatchers][objects]uint64         // newest purge that a dispatcher knows
	heard   [dispatchers][shards][objects]uint64 // that a shard knows: no older copy will do for it
	order   [dispatchers]uint64                  // of events
	givers  [2]*variant.Giver                    // of beats: dispatchers may hold different ones for it, and each may end and come anew
	lives   uint64
	newest  [dispatchers][shards]uint64
	line    [dispatchers][shards][]uint64
	cut     int // dispatcher that is cut off, -1 for none
	purges  uint64
	content uint64

	gets, rewritten, again, held, beside, wrong int
	first                                       string
}

func (w *world) in(s float64, do func()) { heap.Push(&w.queue, event{w.now + s, do}) }

func (w *world) object(o int) variant.Object {
	return variant.Object{Object: uint64(o) + 1, Group: o % 2}
}

func (w *world) fresh64() uint64 { w.content++; return w.content }

// change makes a new state of an object: all variants anew, or one only, or one that is made the same as another.
func (w *world) change(o int, purge bool) {
	s := w.origin[o][len(w.origin[o])-1]
	s.from = uint64(w.now * 1000)
	s.version++
	switch c := w.rng.IntN(3); w.rng.IntN(3) {
	case 0:
		x := w.fresh64()
		s.content = [3]uint64{x, x, x}
		if w.rng.IntN(2) == 0 {
			s.content[c] = w.fresh64()
		}
	case 1:
		s.content[c] = w.fresh64()
	default:
		s.content[c] = s.content[(c+1)%3]
	}
	if purge {
		w.purges = max(w.purges+1, s.from)
		s.purge = w.purges
		for h := range w.hosts {
			w.in(w.rng.Float64()*3, func() {
				for c := range 3 {
					if key := variant.KeyOf(w.object(o).Object, c); w.hosts[h][key].purge < s.purge {
						delete(w.hosts[h], key)
					}
				}
			})
		}
	}
	w.origin[o] = append(w.origin[o], s)
	if purge {
		for d := range w.modules {
			w.news(d, o, s.purge)
		}
	}
}

func (w *world) news(d, o int, purge uint64) {
	w.in(w.rng.Float64()*3, func() {
		if w.cut == d {
			w.in(1, func() { w.news(d, o, purge) })
			return
		}
		w.order[d]++
		order := w.order[d]
		first := w.rng.IntN(shards) // the others stand still for a while
		w.hear(d, first, o, purge, order)
		for s := range shards {
			if lag := w.rng.Float64() * w.rng.Float64() * 10; s != first {
				w.in(lag, func() { w.hear(d, s, o, purge, order) })
			}
		}
	})
}

func (w *world) hear(d, s, o int, purge, order uint64) {
	w.known[d][o], w.heard[d][s][o] = max(w.known[d][o], purge), max(w.heard[d][s][o], purge)
	w.modules[d].Purged(0, w.object(o).Object, -1, purge, order)
	w.line[d][s] = append(w.line[d][s], order)
	slices.Sort(w.line[d][s])
	for len(w.line[d][s]) > 0 && w.line[d][s][0] == w.newest[d][s]+1 { // a shard hears in order
		w.newest[d][s], w.line[d][s] = w.newest[d][s]+1, w.line[d][s][1:]
	}
}

func (w *world) answer(host, o, c int, bound uint64) copied {
	key := variant.KeyOf(w.object(o).Object, c)
	s := w.origin[o][len(w.origin[o])-1]
	x, ok := w.hosts[host][key]
	if !ok || float64(x.until) < w.now*1000 || x.purge < bound {
		x = copied{s.content[c], s.version, s.purge, uint64((w.now + lives*w.rng.Float64()) * 1000)}
		w.hosts[host][key] = x
	}
	return x
}

// forward asks a host for an object by a class, and gives what came, with the generation that it is labelled by.
func (w *world) forward(d, o, c, beside int, then func(a variant.Answer, x copied)) {
	s, began := w.rng.IntN(shards), w.now
	label, known, bound := w.modules[d].Told(w.object(o)), w.newest[d][s], w.heard[d][s][o]
	host := int((variant.PlaceOf(uint64(o), c, beside)%hosts + uint64(w.rng.IntN(w.spread))) % hosts)
	w.in(w.rng.Float64()*transit/2, func() {
		x := w.answer(host, o, c, bound)
		proof := x.content
		if w.liar && host == 0 && w.rng.IntN(3) > 0 {
			s := w.origin[o][len(w.origin[o])-1]
			proof = s.content[0]
			if s.version != x.version { // lies about what it has a copy of
				proof = x.content
			}
		}
		a := variant.Answer{Object: w.object(o), Class: c, Beside: beside, Host: uint32(host), Proof: proof, Generation: variant.Generation{Purge: label}, Known: known, Sent: began}
		if w.versions {
			a.Generation.Version = x.version
		}
		back := w.rng.Float64() * transit / 2
		if w.beats && w.rng.IntN(6) == 0 { // its reader stands still
			back += 100
		}
		w.in(back, func() {
			w.modules[d].Answered(w.now, a)
			for other := range 3 { // it may be for who waits for it with another class
				if other != c && w.modules[d].Fits(w.now, other, variant.Key{Class: c}, &a) && !w.right(d, o, other, x) {
					w.judge("%.1f s: dispatcher %d, object %d, class %d by class %d: content %d of version %d", w.now, d, o, other, c, x.content, x.version)
				}
			}
			then(a, x)
		})
	})
}

func (w *world) judge(f string, a ...any) {
	if w.wrong++; w.first == "" {
		w.first = fmt.Sprintf(f, a...)
	}
}

func (w *world) get(d, o, c int) {
	w.gets++
	k := w.modules[d].Key(w.now, w.object(o), c)
	if k.Beside > 0 {
		w.beside++
	}
	w.forward(d, o, k.Class, k.Beside, func(a variant.Answer, x copied) {
		if k.Class == c {
			return
		}
		if !w.modules[d].Fits(w.now, c, k, &a) {
			w.again++
			if !w.right(d, o, c, x) {
				w.held++
			}
			w.forward(d, o, c, 0, func(variant.Answer, copied) {})
			return
		}
		w.rewritten++
		if !w.right(d, o, c, x) {
			w.judge("%.1f s: dispatcher %d, object %d, class %d by key %+v: content %d of version %d", w.now, d, o, c, k, x.content, x.version)
		}
	})
}

// right tells whether bytes that came by another class's key were a client's own class's: with versions, in that very version; else at
// some time since the newest purge that this dispatcher knows, and no longer ago than evidence and a host's copy may live.
func (w *world) right(d, o, c int, x copied) bool {
	for n, s := range w.origin[o] {
		ended := math.Inf(1)
		if n+1 < len(w.origin[o]) {
			ended = float64(w.origin[o][n+1].from) / 1000
		}
		if s.content[c] != x.content || s.purge < w.known[d][o] {
			continue
		}
		if w.versions && s.version == x.version || !w.versions && ended >= w.now-w.fresh-lives-2*transit {
			return true
		}
	}
	return false
}

// ask has a dispatcher ask for a beat: any giver, over any time.
func (w *world) ask(d int) {
	sent, g, slow := w.now, min(w.rng.IntN(3), 1), 1+79*float64(w.rng.IntN(3)/2)
	w.in(w.rng.Float64()*slow, func() {
		if w.givers[g] == nil || w.rng.IntN(40) == 0 {
			w.lives++
			w.givers[g] = variant.NewGiver(w.lives)
		}
		for range 1 + w.rng.IntN(1+g*20) { // one of them has told much more
			w.givers[g].Next()
		}
		b := w.givers[g].Next()
		w.in(w.rng.Float64()*slow, func() { w.modules[d].Beat(sent, w.now, b) })
	})
}

// tell spreads what a dispatcher has to tell.
func (w *world) tell(d int) {
	late := 30.0
	if w.beats {
		late = 90
	}
	for _, f := range w.modules[d].Facts(16) {
		b := variant.EncodeFact(&f)
		for p := range w.modules {
			for copies := w.rng.IntN(3); p != d && copies > 0; copies-- {
				w.in(w.rng.Float64()*w.rng.Float64()*late, func() { w.deliver(d, p, b) })
			}
		}
	}
}

// deliver has a dispatcher learn another's fact, unless one of them is cut off.
func (w *world) deliver(from, to int, fact []byte) {
	if w.cut == from || w.cut == to {
		return
	}
	f, err := variant.DecodeFact(fact)
	if err == nil {
		w.modules[to].Learn(w.now, []variant.Fact{f})
	}
}

func play(t *testing.T, m mode, seed uint64) *world {
	w := &world{mode: m, now: 1, rng: rand.New(rand.NewPCG(seed, 1)), cut: -1} // a forward that began at 0 has no time
	if w.spread == 0 {
		w.spread = 3
	}
	for o := range w.origin {
		x := w.fresh64()
		w.origin[o] = []state{{version: 1, content: [3]uint64{x, x, x + 1000000*uint64(o%2)}}}
	}
	for h := range w.hosts {
		w.hosts[h] = map[uint64]copied{}
	}
	for d := range w.modules {
		s := variant.Settings{Objects: m.room, Seed: seed + uint64(d), Self: strconv.Itoa(d), Services: []variant.Service{{
			Classes: []string{"a", "b", "c"}, Proof: variant.ByTag, Witnesses: m.witnesses, Repeats: true, Fresh: m.fresh,
		}}}
		var err error
		w.modules[d], err = variant.New(s)
		require.NoError(t, err)
	}
	var gets, changes, facts, cuts func()
	gets = func() {
		w.get(w.rng.IntN(dispatchers), min(w.rng.IntN(objects), w.rng.IntN(objects)), w.rng.IntN(3))
		w.in(w.rng.ExpFloat64()*0.05, gets)
	}
	changes = func() {
		// With Fresh without end the operator says that contents change with purges only.
		w.change(w.rng.IntN(objects), math.IsInf(m.fresh, 1) || w.rng.IntN(3) == 0)
		w.in(w.rng.ExpFloat64()*8, changes)
	}
	facts = func() { w.tell(w.rng.IntN(dispatchers)); w.in(w.rng.ExpFloat64()*0.3, facts) }
	cuts = func() { w.cut = w.rng.IntN(dispatchers+2) - 2; w.in(5+w.rng.Float64()*30, cuts) }
	beats := func() {}
	if m.beats {
		beats = func() { w.ask(w.rng.IntN(dispatchers)); w.in(w.rng.ExpFloat64(), beats) }
	}
	for _, f := range []func(){gets, changes, facts, cuts, beats} {
		f()
	}
	for w.now < 200 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	return w
}

var modes = []mode{
	{name: "versions", versions: true, witnesses: 1, room: 64},
	{name: "versions, two witnesses, one lies", versions: true, witnesses: 2, liar: true, room: 64},
	{name: "versions, few remembered", versions: true, witnesses: 1, room: 6},
	{name: "purges only", fresh: math.Inf(1), witnesses: 1, room: 64},
	{name: "purges only, few remembered", fresh: math.Inf(1), witnesses: 1, room: 6},
	{name: "purges only, two witnesses", fresh: math.Inf(1), witnesses: 2, room: 64},
	{name: "versions, two witnesses, a key at one host, one lies", versions: true, witnesses: 2, liar: true, room: 64, spread: 1},
	{name: "purges only, three witnesses, a key at one host", fresh: math.Inf(1), witnesses: 3, room: 64, spread: 1},
	{name: "unannounced, two witnesses, a key at one host", fresh: 20, witnesses: 2, room: 64, spread: 1},
	{name: "unannounced, beats", fresh: 8, witnesses: 1, room: 64, beats: true},
	{name: "unannounced, beats, two witnesses, a key at one host", fresh: 20, witnesses: 2, room: 64, spread: 1, beats: true},
	{name: "changes unannounced", fresh: 20, witnesses: 1, room: 64},
}

func schedules(n int) int {
	if s, err := strconv.Atoi(os.Getenv("ELDERWALL_SCHEDULES")); err == nil {
		return s
	}
	return n
}

func TestNeverWrongBytes(t *testing.T) {
	for _, m := range modes {
		t.Run(m.name, func(t *testing.T) {
			var gets, rewritten, again, held int
			for seed := range uint64(schedules(12)) {
				w := play(t, m, seed)
				require.Zero(t, w.wrong, "wrong bytes in schedule %d: %s", seed, w.first)
				gets, rewritten, again, held = gets+w.gets, rewritten+w.rewritten, again+w.again, held+w.held
			}
			assert.Greater(t, float64(rewritten)/float64(gets), 0.01)
			t.Logf("of %d GETs %.3f got another class's bytes, rightly; %.4f were asked anew, of which %.4f would have been wrong",
				gets, float64(rewritten)/float64(gets), float64(again)/float64(gets), float64(held)/float64(gets))
		})
	}
	t.Run("one lies and one witness is enough", func(t *testing.T) { // not survived: why more than one can be asked for
		wrong := 0
		for seed := range uint64(12) {
			wrong += play(t, mode{versions: true, witnesses: 1, liar: true, room: 64}, seed).wrong
		}
		assert.NotZero(t, wrong)
	})
}

var faults = []struct{ name, file, was, is string }{
	{"evidence of an older generation is kept", "evidence.go", "k[j].n, k[j].disputed, k[j].stands, k[j].from, k[j].checks, k[j].vain = 0, false, -1, -1, 0, 0", "k[j].checks = 0"},
	{"any version fits", "module.go", "return m.entries[i].generation == a.Generation && ", "return "},
	{"what is asked by its own class alone is looked at", "module.go", " && m.sure(v, by, t) && by.proof == a.Proof", " && by != nil"},
	{"a contrary answer is passed over", "evidence.go", "if d.n > 0 && d.proof != a.Proof {", "if false {"},
	{"a late answer counts for the new generation", "evidence.go", "if !m.heard(&a, i) {", "if a.Generation.Purge = m.Told(a.Object); false {"},
	{
		"facts of before a purge count", "evidence.go", "!exact || f.Generation.Purge < of.purge {\n\t\t\tcontinue\n\t\t}\n\t\ti := m.place(m",
		"!exact || of.order == math.MaxUint64 {\n\t\t\tcontinue\n\t\t}\n\t\tf.Generation.Purge = max(f.Generation.Purge, m.Told(f.Object))\n\t\ti := m.place(m",
	},
	{"a witness counts twice", "evidence.go", "if by.host == host {", "if false {"},
	{"what took a forgotten object's place has its evidence", "evidence.go", "m.of(i)[j] = class{stands: -1, last: -1, from: -1}", "_ = j"},
	{"a forgotten object's purges are forgotten", "module.go", "		f, of = m.slot(owner), nil\n", "		if m.find(Object{Service: service, Object: object}) < 0 {\n\t\t\treturn\n\t\t}\n\t\tf, of = m.slot(owner), nil\n"},
	{
		"answers are labelled by what facts told", "evidence.go", "i = m.place(i, a.Object,",
		"if j := m.find(a.Object); j >= 0 {\n\t\ta.Generation.Purge = max(a.Generation.Purge, m.entries[j].generation.Purge)\n\t}\n\ti = m.place(i, a.Object,",
	},
	{"what a shard had not heard of counts", "module.go", "return f.order <= a.Known && f.purge", "return f.purge"},
	{"who shares a floor tells facts", "module.go", "(x.purge < f.purge || f.purge == 0 || x.owner == own || x.owner == g) && (y.purge < f.purge || f.purge == 0 || y.owner == g || y.owner == own)", "own != 1 || g != 1"},
	{"evidence never lapses", "evidence.go", "if timed(v, m.entries[i].generation) {\n\t\t\tfor w", "if false {\n\t\t\tfor w"},
	{"a place beside counts as a witness by itself", "evidence.go", "m.bear(v, i, a.Class, a.Host, a.Proof, at)", "m.bear(v, i, a.Class, a.Host+uint32(a.Beside)<<8, a.Proof, at)"},
	{"facts of no known age join", "evidence.go", "if at, known = m.since(f.Beat); !m.timely", "if !m.timely"},
	{"beats of two givers are compared", "beats.go", "x.beat.Giver == b.Giver && ", ""},
	{"a fact is as old as the question's answer", "beats.go", "at, known = x.sent, true", "at, known = x.heard, true"},
	{"any beat of the giver bounds a fact's age", "beats.go", " && x.beat.Number < b.Number", ""},
	{"an answer bears the beat of when it came", "evidence.go", "m.rounds.label(a.Sent)", "m.rounds.label(now)"},
	{"an answer's proof is not looked at", "module.go", " && d.proof == a.Proof && m.sure(v, by", " && m.sure(v, by"},
}

// Each fault put into the module's source must be found by the schedules.
func TestFaultsAreFound(t *testing.T) {
	if os.Getenv("ELDERWALL_FAULT") != "" {
		t.Skip("within a fault")
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			here, err := filepath.Abs(f.file)
			require.NoError(t, err)
			b, err := os.ReadFile(here)
			require.NoError(t, err)
			require.Equal(t, 1, strings.Count(string(b), f.was), "the fault's place")
			dir := t.TempDir()
			spoilt, overlay := filepath.Join(dir, "spoilt.go"), filepath.Join(dir, "overlay.json")
			require.NoError(t, os.WriteFile(spoilt, []byte(strings.Replace(string(b), f.was, f.is, 1)), 0o600))
			require.NoError(t, os.WriteFile(overlay, fmt.Appendf(nil, `{"Replace":{%q:%q}}`, here, spoilt), 0o600))
			run := exec.Command("go", "test", "-vet=off", "-count=1", "-failfast", "-overlay", overlay, "-run", "TestNeverWrongBytes|TestSmallScope|TestForgotten|TestFloors|TestBeats", ".")
			run.Env = append(os.Environ(), "ELDERWALL_FAULT=1", "ELDERWALL_SCHEDULES=12")
			out, err := run.CombinedOutput()
			assert.Error(t, err, "not found")
			assert.Contains(t, string(out), "--- FAIL: Test", "%s", out)
			for l := range strings.Lines(string(out)) {
				if strings.Contains(l, "wrong bytes") {
					t.Log(strings.TrimSpace(l))
				}
			}
		})
	}
}

// orders gives every order of so many events.
func orders(events int, done []int, do func(order []int)) {
	if len(done) == events {
		do(done)
		return
	}
	for e := range events {
		if !slices.Contains(done, e) {
			orders(events, append(done[:len(done):len(done)], e), do)
		}
	}
}

// two is two dispatchers that ask for one object of two classes.
type two struct {
	m              [2]*variant.Module
	o              variant.Object
	versions       bool
	content        [2]uint64
	version, purge uint64
	known          [2]uint64
	facts          []variant.Fact
}

func newTwo(versions bool) *two {
	w := &two{o: variant.Object{Object: 5}, versions: versions, content: [2]uint64{1, 1}, version: 1}
	for d := range w.m {
		w.m[d], _ = variant.New(variant.Settings{Objects: 4, Self: strconv.Itoa(d), Services: []variant.Service{{
			Classes: []string{"a", "b"}, Proof: variant.ByTag, Witnesses: 1, Repeats: true, Fresh: math.Inf(1),
		}}})
	}
	return w
}

func (w *two) ask(d, c int) variant.Answer {
	g := variant.Generation{Purge: w.m[d].Told(w.o)}
	if w.versions {
		g.Version = w.version
	}
	return variant.Answer{Object: w.o, Class: c, Host: uint32(c), Proof: w.content[c], Generation: g, Known: w.known[d]}
}

// do has an event happen; early is an answer that began before all.
func (w *two) do(now float64, event int, early variant.Answer) {
	switch event {
	case 0, 1, 2:
		w.m[event/2].Answered(now, w.ask(event/2, event%2))
	case 3:
		w.m[0].Answered(now, early)
	case 4: // class b alone becomes another; its purge is news at a dispatcher later
		w.content[1], w.version, w.purge = 2, 2, 1
	case 5, 6:
		if d := event - 5; w.purge > 0 {
			w.known[d] = w.purge
			w.m[d].Purged(0, w.o.Object, -1, w.purge, w.purge)
		}
	case 7:
		w.facts = append(append(w.facts, w.m[0].Facts(9)...), w.m[1].Facts(9)...)
		w.m[0].Learn(now, w.facts)
		w.m[1].Learn(now, w.facts)
	}
}

// right judges an answer that dispatcher d lets through to class c.
func (w *two) right(d, c int, a variant.Answer) bool {
	truth := map[[2]uint64]uint64{{1, 0}: 1, {1, 1}: 1, {2, 0}: 1, {2, 1}: 2} // by version and class
	right := truth[[2]uint64{w.version, uint64(c)}] == a.Proof
	if !w.versions && w.known[d] < w.purge { // it may be the older generation's
		right = right || truth[[2]uint64{1, uint64(c)}] == a.Proof
	}
	return right
}

// Small scope: every order of a few events at two dispatchers, two classes: answers that began before or after a purge, a change of one
// class, and facts delivered at any time; after each event all that Fits lets through is judged.
func TestSmallScope(t *testing.T) {
	const events = 8
	played := 0
	for _, versions := range []bool{true, false} {
		orders(events, nil, func(order []int) {
			played++
			w := newTwo(versions)
			early := w.ask(0, 1) // began before all, comes at its time
			for n, e := range order {
				now := float64(n + 1)
				w.do(now, e, early)
				for d := range w.m {
					for c := range 2 {
						a := w.ask(d, 1-c)
						if w.m[d].Fits(now, c, variant.Key{Class: 1 - c}, &a) {
							require.True(t, w.right(d, c, a), "wrong bytes in order %v at %d, dispatcher %d, class %d, versions %v", order, n, d, c, versions)
						}
					}
				}
			}
		})
	}
	assert.Equal(t, 80640, played)
}

// presumptions counts what came of GETs with presume.
type presumptions struct {
	wrong, presumed, checks, gets int
	stated                        float64 // sum of the chances that were stated
}

// play asks for both classes of many objects, a part of which differ.
func (p *presumptions) play(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 2))
	contrary := rng.Float64() // uniform: what the rule of succession supposes
	m, err := variant.New(variant.Settings{Objects: 1 << 12, Seed: seed, Self: "x", Services: []variant.Service{{
		Classes: []string{"a", "b"}, Proof: variant.ByTag, Witnesses: 1, Repeats: true, Presume: &variant.Presumed{Objects: 5, Checks: 0.05},
	}}})
	require.NoError(t, err)
	for n := range uint64(400) {
		o := variant.Object{Object: n + 1}
		differs := rng.Float64() < contrary
		if chance := m.Wrong(0, 0); chance > 0 { // each object that is presumed anew
			p.stated += chance
			p.presumed++
			if differs {
				p.wrong++
			}
		}
		for c := range 2 {
			k := m.Key(float64(n), o, c)
			p.gets++
			if k.Checks {
				p.checks++
			}
			proof := n + 1
			if k.Class == 1 && differs {
				proof += 1 << 20
			}
			m.Answered(float64(n), variant.Answer{Object: o, Class: k.Class, Proof: proof, Generation: variant.Generation{Version: 1}})
		}
	}
}

// With presume, the share of wrong presumptions is measured beside the stated chance.
func TestPresumed(t *testing.T) {
	const seeds = 1000
	var p presumptions
	for seed := range uint64(seeds) {
		p.play(t, seed)
	}
	presumed := float64(p.presumed)
	t.Logf("presumed %d, wrong %.4f, stated %.4f; checks %.3f of GETs", p.presumed, float64(p.wrong)/presumed, p.stated/presumed, float64(p.checks)/float64(p.gets))
	require.Greater(t, p.presumed, 1000)
	assert.InDelta(t, p.stated/presumed, float64(p.wrong)/presumed, 0.02)
	assert.NotZero(t, p.checks)
}
