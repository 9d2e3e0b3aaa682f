package shards

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"elderwall/order"
)

// traffic is GETs a second by key.
type traffic map[uint64]float64

// reports is what n shards see of traffic in a turn by a table; those in still say nothing.
func reports(t *Table, n int, of traffic, seconds float64, still ...int) []Report {
	all, tallies, turn := make([]Report, n), make([]Tally, n), uint64(0)
	for key, rate := range of {
		for range int(rate * seconds) {
			turn++
			s := t.Of(key, turn)
			all[s].Slots[key%Slots]++
			tallies[s].Add(key)
		}
	}
	for i := range all {
		all[i].Heard, all[i].Items = true, tallies[i].Take()
		if slices.Contains(still, i) {
			all[i] = Report{}
		}
	}
	return all
}

func loads(r []Report) (all []float64, most, mean float64) {
	for i := range r {
		all = append(all, r[i].Total())
		mean += r[i].Total() / float64(len(r))
	}
	return all, slices.Max(all), mean
}

func evenly(n int, rate float64) traffic {
	of := traffic{}
	for i := range n {
		of[Key(fmt.Sprint(i), 0)] = rate
	}
	return of
}

// settleFor plays turns until nothing changes, and gives the last reports.
func settleFor(m *Module, of traffic, from float64, turns int, still ...int) (r []Report, moved int) {
	for i := range turns {
		r = reports(m.Table(), m.Shards(), of, 0.25, still...)
		moved += m.Turn(from+0.25*float64(i+1), r).Moved
	}
	return reports(m.Table(), m.Shards(), of, 0.25), moved
}

func TestABusyShardIsRelievedAndLoadDoesNotFlap(t *testing.T) {
	m, of := New(4, ByItem), evenly(3000, 4)
	times := func(factor float64, shard int) {
		for key := range of {
			if m.Table().Of(key, 0) == shard {
				of[key] *= factor
			}
		}
	}
	times(5, 0)
	r, moved := settleFor(m, of, 0, 40)
	_, most, mean := loads(r)
	assert.Less(t, most, 1.3*mean)
	assert.Positive(t, moved)
	_, moved = settleFor(m, of, 10, 200)
	assert.Zero(t, moved, "it stays")
	times(2, 1)
	_, moved = settleFor(m, of, 60, 1)
	assert.Zero(t, moved, "a burst of one turn moves nothing")
}

func TestAnItemThatIsHotIsSpreadAndComesBack(t *testing.T) {
	for _, share := range []float64{0.1, 0.2, 0.6, 0.95} {
		m, of, hot := New(8, ByItem), evenly(1000, 400*(1-share)), Key("hot", 0)
		of[hot] = 400000 * share
		r, _ := settleFor(m, of, 0, 15)
		all, most, mean := loads(r)
		over := m.Table().hot[hot]
		assert.Less(t, most, 1.6*mean, "%v: %v", share, all)
		assert.Equal(t, math.Min(8, math.Ceil(share*8/hotPart)), float64(len(over)), "%v", share)
		of[hot] = 400
		settleFor(m, of, 10, 4)
		assert.Empty(t, m.Table().hot, "%v: it is one shard's again", share)
	}
	m, of, key := New(8, ByItem), evenly(1000, 8), Key("near", 0)
	for i := range 40 { // about what makes it hot, back and forth
		of[key] = []float64{700, 400}[i%2] // of 1000 that are one shard's
		m.Turn(float64(i+1), reports(m.Table(), 8, of, 1))
		assert.Contains(t, m.Table().hot, key, "it does not flap")
	}
}

func TestAShardThatIsNotHeardOfGetsNothingNew(t *testing.T) {
	m, of := New(4, ByItem), evenly(1000, 8)
	before := m.Table()
	settleFor(m, of, 0, 1, 2)
	for key := range of {
		assert.NotEqual(t, 2, m.Table().Of(key, 1))
		if before.Of(key, 1) != 2 {
			assert.Equal(t, before.Of(key, 1), m.Table().Of(key, 1), "the others keep theirs")
		}
	}
	for i, still := range [][]int{nil, {0, 1, 2, 3}} { // it has its own again, and if none is heard of nothing changes
		settleFor(m, of, float64(i+1), 1, still...)
		for key := range of {
			assert.Equal(t, before.Of(key, 1), m.Table().Of(key, 1), "%v", still)
		}
	}
}

func TestResizingMovesNoMoreThanItMust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(rapid.IntRange(1, 16).Draw(t, "first"), ByItem)
		for range 4 {
			before, was, n := m.Table(), m.Shards(), rapid.IntRange(1, 16).Draw(t, "shards")
			m.Resize(n)
			count, moved := make([]int, n), 0
			for slot, s := range m.Table().slots {
				count[s]++
				if before.slots[slot] != s {
					moved++
				}
			}
			if most, least := slices.Max(count), slices.Min(count); most-least > Slots/n+1 || least == 0 {
				t.Fatalf("%d shards have %v", n, count)
			}
			if most := Slots - Slots*min(n, was)/max(n, was) + 17; moved > most {
				t.Fatalf("from %d to %d: %d slots moved, at most %d must", was, n, moved, most)
			}
		}
	})
}

func TestTheTallyFindsWhatIsAskedForMost(t *testing.T) {
	chance := rand.New(rand.NewPCG(1, 2))
	zipf := rand.NewZipf(chance, 1.1, 1, 1<<20)
	var tally Tally
	exact := map[uint64]uint32{}
	const n = 200000
	for range n {
		key := zipf.Uint64()
		exact[key]++
		tally.Add(key)
	}
	found := map[uint64]uint32{}
	assert.LessOrEqual(t, len(tally.by), watched)
	for _, c := range tally.Take() {
		found[c.Key] = c.N
	}
	for key, asked := range exact {
		if asked > n/shown {
			assert.Equal(t, asked, found[key], "%d", key)
		}
	}
	assert.LessOrEqual(t, len(found), shown)
	assert.Empty(t, tally.Take())
}

func TestPotsAreOnePotForAll(t *testing.T) {
	var p Pots
	assert.InDelta(t, 0.5, p.Add(7, 10, 0.5, 0, 2), 1e-9)
	assert.InDelta(t, 1.0, p.Add(7, 10, 0.5, 0.5, 2), 1e-9, "what it begins with is there once")
	assert.InDelta(t, 2.0, p.Add(7, 10, 0.5, 5, 2), 1e-9)
	spent := 0
	for range 10 {
		if p.Spend(7, 1) {
			spent++
		}
	}
	assert.Equal(t, 2, spent)
	assert.InDelta(t, 0.25, p.Add(7, 20, 0.25, 0, 2), 1e-9, "another start, another pot")
	assert.False(t, p.Spend(8, 1))
	assert.True(t, p.Trial(0, 7, 1))
	assert.False(t, p.Trial(1, 7, 2), "one at a time")
	assert.True(t, p.Trial(1, 7, 1))
	assert.True(t, p.Trial(4, 7, 2), "who asks no more loses it")
	p.Done(7)
	assert.True(t, p.Trial(4, 7, 1))
	for host := range uint32(3 * mostPots) {
		p.Add(host, 0, 0, 0, 1)
		p.Trial(0, host, 0)
	}
	assert.LessOrEqual(t, len(p.cold), mostPots)
	assert.LessOrEqual(t, len(p.trials), mostPots)
}

func TestMemoryIsWhatCounts(t *testing.T) {
	m := Memory{Keep: 6}
	assert.False(t, m.Listed())
	m.Reset()
	m.Host("b", 2)
	m.Host("a", 1)
	m.Host("c", 3)
	m.Gone("c")
	m.Purge(0, "x", 0, "old")
	m.Purge(5, "", 17, "group")
	m.Purge(6, "y", 0, "first")
	m.Purge(7, "y", 0, "last")
	hosts, purges := m.All(7)
	assert.Equal(t, []any{1, 2}, hosts)
	assert.Equal(t, []any{"group", "last"}, purges)
	for i := range 2 * mostPurges {
		m.Purge(100+float64(i)/1000, fmt.Sprint(i), 0, i)
	}
	assert.LessOrEqual(t, len(m.purges), mostPurges)
	m.Reset()
	hosts, _ = m.All(7)
	require.Empty(t, hosts)
}

func BenchmarkOf(b *testing.B) {
	m := New(8, ByItem)
	t := m.next()
	t.hot = map[uint64][]uint16{1: {1, 2}}
	for _, way := range []struct {
		name string
		t    *Table
	}{{"none-hot", m.Table()}, {"some-hot", t}} {
		b.Run(way.name, func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				way.t.Of(Key("7f3a9c21e0b4d655", i&7), uint64(i))
			}
		})
	}
}

func BenchmarkTally(b *testing.B) {
	zipf, keys := rand.NewZipf(rand.New(rand.NewPCG(1, 2)), 1.1, 1, 1<<20), make([]uint64, 1<<16)
	for i := range keys {
		keys[i] = order.Mix(zipf.Uint64())
	}
	var t Tally
	b.ReportAllocs()
	for i := range b.N {
		if t.Add(keys[i&(1<<16-1)]); i%5000 == 4999 { // a turn
			t.Take()
		}
	}
}
