package routing

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// heldBy is the bytes that stay in use for what a function keeps alive.
func heldBy(make func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// A long day asks for ever more objects, few of them at a time, while hosts are replaced: what is kept is level, and small,
// long before as many were asked for as are remembered.
func TestMemoryLevelsOffOnALongDay(t *testing.T) {
	held := map[int]float64{}
	for _, objects := range []int{8000, 16000, 32000, 64000} {
		held[objects] = heldBy(func() any {
			r := &recorder{}
			d := New(settings(), 0, r)
			d.UpdateEndpoints(0, ListComplete, []Endpoint{entry(1<<30, 1, Ready), entry(1<<30+1, 2, Ready)})
			for i := range 20 {
				d.UpdateEndpoints(0, ListChanges, []Endpoint{entry(uint32(i+1)*7919, 0, Ready)})
			}
			for i := range objects {
				now := float64(i) * 0.05
				if i%720 == 0 {
					k := i / 720
					d.UpdateEndpoints(now, ListChanges, []Endpoint{entry(uint32(k+1)*7919, 0, Removed), entry(uint32(k+21)*7919, 0, Ready)})
				}
				d.HandleTimer(now)
				ask(d, now, uint32(i+1), fmt.Sprintf("%016x", i*7919))
				answer(d, now, uint32(i+1), 0, Succeeded, CacheHit)
				r.forwards, r.shed, r.calls = r.forwards[:0], nil, nil
			}
			assert.Equal(t, min(objects, objectTableSize), d.demand.objects.byRecency.Len()+d.demand.objects.idle.Len(), "as many are remembered as before")
			return d
		})
		t.Logf("%d objects asked for: %.2f MB", objects, held[objects]/1e6)
	}
	assert.Less(t, held[16000], 2e6)
	assert.Less(t, held[64000], 3e6, "11.4 MB when each kept all that was known of it")
	assert.Less(t, held[64000], 1.3*held[32000], "level once as many are remembered as may be")
}

// An object that was not asked for in a while is known again, with its size; one that is beyond the size of all is not.
func TestAnIdleObjectIsKnownAgain(t *testing.T) {
	d, r := newCluster(nil)
	ask(d, 0, 1, "a")
	d.HandleResult(0.1, AttemptResult{RequestID: 1, Outcome: Succeeded, Note: CacheHit, Elapsed: 0.1, SizeKB: 12, Final: true})
	ask(d, 40, 2, "b")
	require.Equal(t, 1, d.demand.objects.byRecency.Len(), "a rests")
	require.Equal(t, 1, d.demand.objects.idle.Len())
	ask(d, 41, 3, "a")
	assert.Equal(t, 2, r.last().CachePriority, "asked for before")
	assert.Equal(t, 12.0, d.requests.byID[3].object.sizeKB)
	assert.Zero(t, d.demand.objects.idle.Len())
	for i := range objectTableSize {
		now := 100 + float64(i)*0.01
		ask(d, now, uint32(10+i), fmt.Sprint("c", i))
		answer(d, now, uint32(10+i), 0, Succeeded, CacheHit)
	}
	ask(d, 1000, 4, "a")
	assert.Equal(t, 1, r.last().CachePriority, "forgotten")
}

// Objects that the table has let go come back with their counts.
func TestCountsOutliveEviction(t *testing.T) {
	tb := New(settings(), 0, &recorder{}).demand.objects
	for range 20 {
		tb.touch(1, "hot", 0, 1)
	}
	for i := range objectTableSize + 1 {
		tb.touch(1.5, fmt.Sprint("scan", i), 0, 1)
	}
	assert.NotNil(t, tb.evictedCount)
	for range 20 {
		tb.touch(2.5, "hot", 0, 1)
	}
	for i := range objectTableSize + 1 {
		tb.touch(3, fmt.Sprint("more", i), 0, 1)
	}
	it := tb.touch(3.5, "hot", 0, 1)
	assert.True(t, it.requestedBefore)
	assert.InDelta(t, 20, it.demand.add(3.5, 0), 2)
	assert.InDelta(t, 0, it.demand.add(14, 0), 0, "out of the window")
	assert.False(t, tb.touch(3.5, "never", 0, 1).requestedBefore)
	assert.Len(t, tb.byKey, objectTableSize)
}
