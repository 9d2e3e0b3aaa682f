package endpoints

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever passes of time, no more are begun than a burst and what the rate gives.
func TestNeverMoreThanTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p Pace
		now, start, begun := 1e6, 1e6, 0
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{0, 1e-4, 0.01, 0.3, -0.2}).Draw(t, "passes")
			for range rapid.IntRange(0, 700).Draw(t, "asked") {
				if p.Begin(now) {
					begun++
				}
			}
			start = min(start, now)
		}
		back := 50 * 0.2 * rate // time that went back and on again counts again
		most := burst + rate*(now-start) + back
		require.False(t, float64(begun) > most, "%d begun, at most %g", begun, most)
	})
}

func TestPace(t *testing.T) {
	var p Pace
	begin := func(now float64) (n int) {
		for p.Begin(now) {
			n++
		}
		return n
	}
	assert.Equal(t, []int{500, 0, 400, 500}, []int{begin(5), begin(5), begin(5.0501), begin(3605)}, "an hour saves up one burst")
}

func TestFirst(t *testing.T) {
	assert.Zero(t, First(1, 7, 500), "all fit into a burst")
	var slots [10]int
	for id := range uint32(10_000) {
		wait := First(1, id, 100_000)
		assert.Less(t, wait, longer)
		slots[int(wait*5)]++
	}
	for _, n := range slots {
		assert.InDelta(t, 1000, n, 150, "even over two seconds")
	}
	assert.NotEqual(t, First(1, 7, 10_000), First(2, 7, 10_000), "dispatchers do not come together")
}

func TestStepsHaveAllAndWhatStopsFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.IntRange(0, 1000), 0, 300).Draw(t, "list")
		most := rapid.IntRange(1, 70).Draw(t, "most")
		odd := func(i int) bool { return i%2 == 1 }
		var all []int
		parts := Steps(list, odd, most)
		for _, part := range parts {
			assert.LessOrEqual(t, len(part), most)
			all = append(all, part...)
		}
		first := slices.IndexFunc(all, func(i int) bool { return !odd(i) })
		if first >= 0 {
			assert.False(t, slices.ContainsFunc(all[first:], odd), "what stops comes first")
		}
		assert.ElementsMatch(t, list, all)
	})
}
