package endpoints

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// However time passes, new connections must not exceed one burst plus what the rate allows.
func TestConnectionsStayWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var limiter ConnectionLimiter
		now, start, opened := 1e6, 1e6, 0
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{0, 1e-4, 0.01, 0.3, -0.2}).Draw(t, "passes")
			for range rapid.IntRange(0, 700).Draw(t, "asked") {
				if limiter.Allow(now) {
					opened++
				}
			}
			start = min(start, now)
		}
		back := 50 * 0.2 * connectionRate // time that goes back and forward again is counted twice
		limit := connectionBurst + connectionRate*(now-start) + back
		require.False(t, float64(opened) > limit, "%d opened, at most %g", opened, limit)
	})
}

// An idle period, however long, must not allow more than one burst.
func TestConnectionBurst(t *testing.T) {
	var limiter ConnectionLimiter
	open := func(now float64) (n int) {
		for limiter.Allow(now) {
			n++
		}
		return n
	}
	assert.Equal(t, []int{500, 0, 400, 500}, []int{open(5), open(5), open(5.0501), open(3605)}, "an hour saves up one burst")
}

// Without a spread, all dispatchers would connect to newly listed hosts at the same moment. The delays must be
// even over the spread and differ between dispatchers.
func TestFirstConnectionDelay(t *testing.T) {
	assert.Zero(t, FirstConnectionDelay(1, 7, 500), "all fit into a burst")
	var slots [10]int
	for id := range uint32(10_000) {
		wait := FirstConnectionDelay(1, id, 100_000)
		assert.Less(t, wait, maxFirstConnectionDelay)
		slots[int(wait*5)]++
	}
	for _, n := range slots {
		assert.InDelta(t, 1000, n, 150, "delays are even over two seconds")
	}
	assert.NotEqual(t, FirstConnectionDelay(1, 7, 10_000), FirstConnectionDelay(2, 7, 10_000), "dispatchers connect at different times")
}

// Batches must contain every entry once, stay within the maximum size, and have the entries that stop work
// first.
func TestBatchesKeepAllEntriesStoppingFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.IntRange(0, 1000), 0, 300).Draw(t, "list")
		maxSize := rapid.IntRange(1, 70).Draw(t, "most")
		odd := func(i int) bool { return i%2 == 1 }
		var all []int
		batches := Batches(list, odd, maxSize)
		for _, batch := range batches {
			assert.LessOrEqual(t, len(batch), maxSize)
			all = append(all, batch...)
		}
		first := slices.IndexFunc(all, func(i int) bool { return !odd(i) })
		if first >= 0 {
			assert.False(t, slices.ContainsFunc(all[first:], odd), "entries that stop come first")
		}
		assert.ElementsMatch(t, list, all)
	})
}
