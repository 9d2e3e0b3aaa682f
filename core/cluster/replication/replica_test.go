package replication

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin/need"
)

func schedules(least int) uint64 {
	n, _ := strconv.Atoi(os.Getenv("ELDERWALL_SCHEDULES"))
	return uint64(max(n, least))
}

func TestSchedules(t *testing.T) {
	for seed := range schedules(36) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			assert.Empty(t, schedule(t, seed, nil))
		})
	}
}

// Each fault that is put in on purpose is to be found by the checker.
func TestFaults(t *testing.T) {
	for name, boot := range map[string]func(*Machine){
		"a vector is joined before its records":    func(m *Machine) { m.fault.joinFirst = true },
		"forgotten at once, and nothing fell":      func(m *Machine) { m.fault.forgetEarly, m.fault.noRule = true, true },
		"no law":                                   func(m *Machine) { m.fault.noLaw = true },
		"acknowledged before it is saved":          func(m *Machine) { m.fault.ackEarly = true },
		"a catch-up drops what is here alone":      func(m *Machine) { m.fault.dropAll = true },
		"acknowledged while the disk is full":      func(m *Machine) { m.fault.ackUnkept = true },
		"what fell is taken again":                 func(m *Machine) { m.fault.noRule = true },
		"a kind not known is dropped in silence":   func(m *Machine) { m.fault.claims = true },
		"what was dropped is not kept on the disk": func(m *Machine) { m.fault.forgets = true },
		"a source that is behind ends a lack":      func(m *Machine) { m.fault.clears = true },
		"a source's two lives are one":             func(m *Machine) { m.fault.oneLife = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			from := map[string]uint64{"what fell is taken again": 60, "a source's two lives are one": 225}[name] // few find it
			for seed := from; seed < from+300; seed++ {
				if bad := schedule(t, seed, boot); len(bad) > 0 {
					t.Logf("found by schedule %d: %s", seed, strings.SplitN(bad[0], "\n", 2)[0])
					return
				}
			}
			t.Error("not found")
		})
	}
}

// Every order of three writes at three replicas, each taken as a whole state or as a delta, ends with the same.
func TestEveryOrder(t *testing.T) {
	orders := [][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}
	writes := [][2]any{{"00000005 a", false}, {"00000005 b", false}, {"00000005 a", true}, {"00000007 c", false}, {"00000003 d", true}}
	cases := 0
	for i := range 125 {
		pick, first := [3]int{i / 25, i / 5 % 5, i % 5}, ""
		for o, order := range orders { // what a replica ends with depends on its own order alone: all triples of orders agree if all orders do
			m := need.Of(New(Settings{Name: "r", Kinds: kinds()}, nil, 0))(t)
			m.Fleet(Fleet{Others: []Member{{Name: "w0"}, {Name: "w1"}, {Name: "w2"}}}, 0)
			for _, at := range order {
				w, name := writes[pick[at]], fmt.Sprintf("w%d", at)
				rec := Record{Kind: kindMax, Key: "k", Value: []byte(w[0].(string)), Dead: w[1].(bool), Dot: Dot{name, 1, 1}}
				require.NoError(t, m.Step(name, &Message{Deltas: []Delta{{Writer: name, Era: 1, Index: []uint32{0}, Records: []Carried{{Record: rec}}}}}, 1))
			}
			got := fmt.Sprintf("%v", m.kinds[kindMax].byKey["k"].rec)
			if o == 0 {
				first = got
			}
			require.Equal(t, first, got, "%v in order %v", pick, order)
			cases += 36
		}
	}
	t.Log(cases, "cases")
}

func (w *world) fill(x *node, n int, prefix string) {
	for i := range n {
		_, err := w.write(x, kindText, fmt.Sprintf("%s%06d", prefix, i), fmt.Sprintf("%08d some eighty bytes of a fact about an object, its classes and what stood for them", i), false, Sure{})
		require.NoError(w.t, err)
		if i%100 == 99 {
			w.run(0.25)
		}
	}
	w.drain(x)
}

// The cost of catching up grows with what differs, and not with the state; beyond a horizon, and with an empty disk, all is taken.
func TestCatchUpCost(t *testing.T) {
	for _, c := range []struct {
		name        string
		away        int // writes meanwhile
		log, wholes bool
		empty       bool
		most        int // bytes
	}{
		{"deltas", 300, true, false, false, 300_000},
		{"digests", 300, false, false, false, 300_000},
		{"digests of few", 10, false, false, false, 60_000},
		{"whole", 10, false, true, true, 3_000_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 3, 1)
			w.all()
			w.run(3)
			w.fill(w.nodes[0], 10_000, "a")
			require.Less(t, w.settle(60), 60.0)
			x := w.nodes[2]
			w.kill(x)
			w.fill(w.nodes[1], c.away, "b")
			w.run(3)
			if !c.log {
				unlogged(w.nodes[:2]...)
			}
			before := w.total()
			saved := x.disk.load(w.now)
			if c.empty {
				x.disk, saved = newDisk(), nil
			}
			w.start(x, saved)
			took := w.settle(100)
			after := w.total() - before
			s := x.m.Status()
			t.Logf("%d of %d records differ: %d bytes, %.1f intervals, %d walks, %d wholes", c.away, 10_000+c.away, after, took, s.Walks, s.Wholes)
			assert.Less(t, after, c.most)
			assert.Less(t, took, 100.0)
			assert.Equal(t, c.wholes, s.Wholes > 0)
			assert.Equal(t, !c.log && !c.wholes, s.Walks > 0)
			assert.Empty(t, w.verdict())
		})
	}
}

// A snapshot whose source is killed goes on at another; what the taker alone knows is kept, what was deleted is not.
func TestWholeGoesOn(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 4, 2)
	w.boot = func(m *Machine) { m.s.Rate = 100_000 }
	w.all()
	w.run(3)
	w.fill(w.nodes[0], 10_000, "a")
	require.Less(t, w.settle(60), 60.0)
	x := w.nodes[3]
	for _, n := range w.nodes {
		n.m.Fleet(Fleet{}, w.now) // nobody hears anybody
	}
	need.Of(w.write(x, kindText, "alone", "known to one", false, Sure{}))(t)
	w.drain(x)
	w.kill(x)
	need.Of(w.write(w.nodes[0], kindText, "a000007", "", true, Sure{Level: Majority, Within: 9}))(t)
	w.run(5)
	unlogged(w.nodes[:3]...)
	saved := x.disk.load(w.now)
	saved.Away = 2 * w.horizon
	w.start(x, saved)
	w.run(6)
	require.NotNil(t, x.m.pull)
	assert.True(t, x.m.Status().CatchingUp)
	first, at := x.m.pull.from, x.m.pull.after
	assert.NotZero(t, at)
	w.kill(w.by[first])
	w.run(10)
	require.NotNil(t, x.m.pull)
	assert.NotEqual(t, first, x.m.pull.from)
	assert.Greater(t, x.m.pull.after, at)
	w.heal()
	require.Less(t, w.settle(200), 200.0)
	for _, n := range w.nodes {
		_, ok := n.m.Get(kindText, "alone")
		assert.True(t, ok)
		_, ok = n.m.Get(kindText, "a000007")
		assert.False(t, ok)
	}
	assert.Empty(t, w.verdict())
}

// One dot with two contents is found, set aside everywhere, and stands again once it is written anew: by deltas and by walks, with one key and with two.
func TestAside(t *testing.T) {
	for _, c := range []struct {
		name, other string
		log         bool
	}{{"one key, deltas", "k", true}, {"one key, walk", "k", false}, {"two keys, deltas", "other", true}, {"two keys, walk", "other", false}} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, 3, 3)
			w.all()
			w.run(5)
			x, y := w.nodes[0], w.nodes[1]
			for at, n := range []*node{x, y} { // each part was told another content
				key := []string{"k", c.other}[at]
				rec := Record{Kind: kindText, Key: key, Value: []byte{byte('x' + at)}, Dot: Dot{"gone", 9, 1}}
				n.m.Fleet(Fleet{Others: []Member{{Name: "gone"}}}, w.now)
				require.NoError(t, n.m.Step("gone", &Message{Deltas: []Delta{{Writer: "gone", Era: 9, Index: []uint32{0}, Records: []Carried{{Record: rec}}}}}, w.now))
				n.m.fresh = nil
				if !c.log {
					unlogged(n)
				}
			}
			w.fleet()
			w.run(80)
			assert.True(t, slices.ContainsFunc(w.events, func(e Event) bool { return e.What == "aside" }))
			for _, n := range w.nodes {
				for _, key := range []string{"k", c.other} {
					_, ok := n.m.Get(kindText, key)
					assert.False(t, ok, "%s %s", n.name, key)
				}
				assert.NotZero(t, n.m.Status().Kinds[1].Aside)
			}
			for _, key := range []string{"k", c.other} {
				_, _ = w.write(w.nodes[2], kindText, key, "zz", false, Sure{})
			}
			w.run(10)
			for _, n := range w.nodes {
				r, ok := n.m.Get(kindText, "k")
				assert.True(t, ok && string(r.Value) == "zz")
				assert.Zero(t, n.m.Status().Kinds[1].Aside)
			}
		})
	}
}

// No number is given twice: neither with an older copy of the disk nor with none; and nothing is written before anybody was heard.
func TestOwnPast(t *testing.T) {
	w := newWorld(t, 3, 4)
	w.all()
	_, err := w.write(w.nodes[0], kindText, "k", "v", false, Sure{})
	assert.ErrorIs(t, err, ErrCatches)
	w.run(3)
	x := w.nodes[0]
	w.fill(x, 50, "a")
	old := x.disk.copy()
	for range 3 {
		w.kill(x)
		w.start(x, x.disk.load(w.now))
		w.run(3)
		w.fill(x, 20, fmt.Sprint(x.boots))
	}
	require.Less(t, w.settle(60), 60.0) // what one alone has is lost with its disk
	for _, d := range []*disk{old, newDisk()} {
		w.kill(x)
		x.disk = d
		saved := d.load(d.at)
		if d.saved.Era == 0 {
			saved = nil
		}
		w.start(x, saved)
		w.run(10)
		w.fill(x, 20, fmt.Sprint(x.boots))
	}
	require.Less(t, w.settle(60), 60.0)
	assert.Empty(t, w.verdict())
}

// Outcomes come once: when enough acknowledged, or in time with what was got. A majority is not promised where none is seen.
func TestOutcomes(t *testing.T) {
	w := newWorld(t, 5, 5)
	w.all()
	w.run(5)
	x := w.nodes[0]
	sures := []Sure{{Level: Here}, {Level: Copies, Copies: 3, Within: 5}, {Level: Majority, Within: 5}}
	for i, s := range sures {
		d := need.Of(w.write(x, kindMax, fmt.Sprint("k", i), "00000001", false, s))(t)
		w.run(3)
		assert.True(t, w.writes[d].acked && w.writes[d].met >= s.Level, "%v", s)
	}
	for _, n := range w.nodes[1:] {
		w.cutOff[n.name] = 1
	}
	w.fleet()
	_, err := w.write(x, kindMax, "cut", "00000001", false, sures[2])
	assert.ErrorIs(t, err, ErrCut)
	d := need.Of(w.write(x, kindMax, "cut", "00000001", false, sures[1]))(t)
	w.run(4)
	assert.False(t, w.writes[d].acked)
	x.m.Tick(w.now + 300) // a stall: time settles it
	w.drain(x)
	assert.True(t, w.writes[d].acked && w.writes[d].met == Here)
}

func TestBoundsAndBadInput(t *testing.T) {
	k := []Kind{{ID: 1, Name: "few", Records: 8, Bytes: 1000, Longest: 100, Check: func(_ string, v []byte) error {
		if bytes.Contains(v, []byte("bad")) {
			return assert.AnError
		}
		return nil
	}}}
	_, err := New(Settings{Name: "x", Kinds: append(k, k...)}, nil, 0)
	assert.Error(t, err)
	m := need.Of(New(Settings{Name: "x", Kinds: k}, nil, 0))(t)
	for _, f := range []*Fleet{nil, {}, {Others: []Member{{Name: "y"}}, Decides: true}} { // an older disk's numbers would be given twice
		if f != nil {
			m.Fleet(*f, 0)
		}
		_, err := m.Write(0, 1, "k", []byte("v"), false, Sure{})
		require.ErrorIs(t, err, ErrCatches)
	}
	m.Fleet(Fleet{Of: 1, Decides: true}, 0)
	for i := range 7 {
		need.Of(m.Write(0, 1, fmt.Sprint(i), []byte("v"), false, Sure{}))(t)
	}
	for _, c := range []struct {
		kind       uint8
		key, value string
		err        error
	}{{1, "7", "v", ErrFull}, {9, "k", "", ErrKind}, {1, "", "", ErrLong}, {1, "k", strings.Repeat("x", 100), ErrLong}, {1, "0", "a", ErrLower}, {1, "k", "bad", assert.AnError}} {
		_, err := m.Write(0, c.kind, c.key, []byte(c.value), false, Sure{})
		assert.ErrorIs(t, err, c.err)
	}
	m.Fleet(Fleet{Others: []Member{{Name: "y", Alive: true}}}, 0)
	good := func() *Delta {
		return &Delta{Writer: "y", Era: 1, Index: []uint32{0}, Records: []Carried{{Record: Record{Kind: 1, Key: "z1", Value: []byte("v"), Dot: Dot{"y", 1, 1}}}}}
	}
	for name, spoil := range map[string]func(d *Delta){
		"kind": func(d *Delta) { d.Records[0].Record.Kind = 0 }, "hole": func(d *Delta) { d.Records[0].Hole = true }, "long": func(d *Delta) { d.Records[0].Record.Value = make([]byte, 200) },
		"check": func(d *Delta) { d.Records[0].Record.Value = []byte("bad") }, "index": func(d *Delta) { d.Index[0] = 3 },
		"dot": func(d *Delta) { d.Records[0].Record.Dot = Dot{} }, "era": func(d *Delta) { d.Era = 0 }, "from": func(d *Delta) { d.From = 1 << 63 },
	} {
		d := good()
		spoil(d)
		assert.Error(t, m.Step("y", &Message{Deltas: []Delta{*d}}, 0), name)
	}
	assert.Error(t, m.Step("stranger", &Message{}, 0))
	entry := Vector{{Writer: "y", Era: 1, Number: 1}}
	for _, msg := range []Message{
		{Ask: &Ask{Vector: Vector{{}}}},
		{Ask: &Ask{Vector: entry, Shown: []byte{bucketOf("y") + 1}}},
		{Ask: &Ask{Vector: entry}},
		{Ask: &Ask{Shown: []byte{2, 2}}},
		{Ask: &Ask{Digest: make([]byte, buckets-1)}},
		{Ask: &Ask{Digest: make([]byte, buckets), Shown: []byte{1}}},
		{Pull: &Pull{Sums: []Range{{200, 1}}}},
		{Give: &Give{Lists: []List{{Keys: []uint64{1}}}}},
		{Give: &Give{Sums: []Sums{{}}}},
	} {
		assert.Error(t, m.Step("y", &msg, 0))
	}
	require.NoError(t, m.Step("y", &Message{Deltas: []Delta{*good()}}, 0))
	d := good()
	d.From, d.Records[0].Record.Key, d.Records[0].Record.Dot.Number = 1, "z2", 2
	require.NoError(t, m.Step("y", &Message{Deltas: []Delta{*d}}, 0))
	s := m.Status().Kinds[0]
	assert.Equal(t, []int{8, 1}, []int{s.Records, s.Refused})
	assert.Equal(t, []uint8{1}, m.lacked)
}

// Tombstones go once all of the last agreed fleet have them; and bytes a member are flat in the number of members at the same writes.
func TestForgettingAndFlat(t *testing.T) {
	per := map[int]float64{}
	for _, n := range []int{10, 30} {
		w := newWorld(t, n, 6)
		w.horizon = 1e6
		w.all()
		w.run(10)
		for i := range 20 {
			need.Of(w.write(w.nodes[i%3], kindText, fmt.Sprint("k", i), "v", false, Sure{}))(t)
			w.run(1)
			need.Of(w.write(w.nodes[i%5], kindText, fmt.Sprint("k", i), "", true, Sure{}))(t)
		}
		per[n] = float64(w.total()) / float64(n)
		w.run(6 * float64(n))
		for _, x := range w.nodes {
			assert.Zero(t, x.m.Status().Kinds[1].Records, x.name)
		}
		assert.Empty(t, w.verdict())
	}
	t.Logf("bytes a member: %v", per)
	assert.Less(t, per[30], 1.5*per[10])
}

func BenchmarkMachine(b *testing.B) {
	m, _ := New(Settings{Name: "x", Kinds: kinds()}, nil, 0)
	m.Fleet(Fleet{Of: 1, Decides: true}, 0)
	for i := range 100_000 {
		_, _ = m.Write(0, kindText, fmt.Sprintf("object/%08d", i), []byte("00000000 forty bytes of a fact, more or less"), false, Sure{})
		if i%1000 == 0 {
			m.Ready()
		}
	}
	m.Ready()
	b.Run("get", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			m.Get(kindText, "object/00004242")
			_ = i
		}
	})
	b.Run("merge", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			m.merge(Carried{Record: Record{Kind: kindMax, Key: "k", Value: fmt.Appendf(nil, "%08d", i), Dot: Dot{"y", 1, uint64(i + 1)}}})
		}
	})
	b.Run("write", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			_, _ = m.Write(0, kindMax, "w", fmt.Appendf(nil, "%08d", i), false, Sure{})
			m.Ready()
		}
	})
}

// A scan in parts sees each record once, and holds the machine for a part alone: each sorts all of a kind.
func TestAScanInParts(t *testing.T) {
	m := need.Of(New(Settings{Name: "a", Kinds: kinds()}, nil, 0))(t)
	m.Fleet(Fleet{Of: 1, Decides: true}, 0)
	n := 60_000
	for i := range n {
		need.Of(m.Write(0, kindMax, fmt.Sprintf("o%024d", i), []byte("00000001"), false, Sure{}))(t)
		if i%1000 == 0 {
			m.Ready()
		}
	}
	seen, longest, start := map[string]bool{}, time.Duration(0), time.Now()
	m.Each(kindMax, "", func(Record) bool { return true })
	whole := time.Since(start)
	for at, more := uint64(0), true; more; more = at != 0 {
		start, part := time.Now(), 0
		at = m.Scan(kindMax, at, 4096, func(r Record) { seen[r.Key] = true; part++ })
		longest = max(longest, time.Since(start))
		require.Less(t, part, 4200)
	}
	assert.Len(t, seen, n)
	t.Logf("%d records: each holds the machine for %v, a part for %v", n, whole, longest)
}
