package replication

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin/need"
)

// With every member a writer, bytes a member and interval are flat in their number: with nothing written, and with the same writes of the fleet;
// and those are as sure as soon.
func TestCostIsFlat(t *testing.T) {
	t.Parallel()
	sizes := []int{10, 100}
	if os.Getenv("ELDERWALL_SCHEDULES") != "" {
		sizes = append(sizes, 300)
	}
	quiet, busy, late := map[int]float64{}, map[int]float64{}, map[int]float64{}
	for _, n := range sizes {
		w := newWorld(t, n, 8)
		w.all()
		w.run(4)
		for i, x := range w.nodes {
			need.Of(w.write(x, kindText, fmt.Sprint("k", i), "v", false, Sure{}))(t)
		}
		require.Less(t, w.settle(60), 60.0)
		per := func(span int, f func(int)) float64 {
			clear(w.bytes)
			for i := range span {
				f(i)
				w.run(1)
			}
			return float64(w.total()) / float64(n*span)
		}
		quiet[n] = per(10, func(int) {})
		var dots []Dot
		busy[n] = per(10, func(i int) {
			d := need.Of(w.write(w.nodes[i*7%n], kindText, fmt.Sprint("k", i), "w", false, Sure{Level: Copies, Copies: 3, Within: 20}))(t)
			dots = append(dots, d)
		})
		d := need.Of(w.write(w.nodes[0], kindText, "k", "v", false, Sure{Level: Majority, Within: 60}))(t)
		for from := w.now; !w.writes[d].acked && w.now < from+60; late[n] = w.now - from {
			w.run(0.25)
		}
		for _, d := range dots {
			assert.True(t, w.writes[d].met >= Copies, "%v", d)
		}
		require.Less(t, w.settle(60), 60.0)
		assert.Empty(t, w.verdict())
	}
	t.Logf("bytes a member and interval, quiet: %v, with a write an interval: %v; intervals to a majority: %v", quiet, busy, late)
	for _, n := range sizes[1:] {
		assert.Less(t, quiet[n], 1.2*quiet[10])
		assert.Less(t, busy[n], 2*busy[10])
		assert.Less(t, late[n], 4.0)
	}
}

// Sums that are kept up say the same as a full recount, and only equal vectors have equal ones; a digest shows what differs.
func TestSums(t *testing.T) {
	c := rand.New(rand.NewPCG(9, 9))
	v, seen := newVector(), map[uint64]string{}
	for range 2_000 {
		name := fmt.Sprint("n", c.IntN(60))
		if w := v.of[name]; w != nil && len(w.marks) > 2 && c.IntN(8) == 0 {
			v.change(w, func() { w.marks = w.marks[1:]; w.floor = w.marks[0].era })
		} else {
			v.raise(name, 1+c.Uint64N(9), 1+c.Uint64N(50))
		}
		all := v.list(nil)
		again := load(all)
		require.Equal(t, again.sums, v.sums)
		require.Equal(t, again.sum, v.sum)
		was, ok := seen[v.sum]
		require.True(t, !ok || was == fmt.Sprint(all))
		seen[v.sum] = fmt.Sprint(all)
	}
	o := v.clone()
	o.raise("n3", 99, 1)
	shown := v.differs(7, o.digest(7))
	assert.Equal(t, []byte{bucketOf("n3")}, shown)
	assert.Equal(t, o.list(nil), v.with(shown, load(o.list(shown)), o.sum).list(nil))
	assert.Nil(t, v.with(nil, newVector(), o.sum))
	assert.Len(t, v.differs(7, v.digest(7)), buckets)
}

// Of a whole snapshot's many takers one source serves no more than its rate; the others find it elsewhere.
func TestSourceKeepsToItsRate(t *testing.T) {
	w := newWorld(t, 2, 10)
	w.all()
	w.run(3)
	w.fill(w.nodes[0], 20_000, "a")
	m, served := w.nodes[0].m, 0
	m.Ready()
	m.s.Rate, m.serves, m.served = 100_000, 100_000, w.now
	for i := range 200 {
		require.NoError(t, m.Step("n001", &Message{Pull: &Pull{ID: uint64(i), Whole: true}}, w.now+float64(i)/10))
		for _, e := range m.Ready().Send {
			served += weighAll(e.Message.Give)
		}
	}
	assert.Greater(t, served, 1_900_000)
	assert.Less(t, served, 100_000*(20+1)+2*fillStream)
}

func weighAll(g *Give) (n int) {
	for i := range g.Records {
		n += weigh(&g.Records[i].Record)
	}
	return n
}
