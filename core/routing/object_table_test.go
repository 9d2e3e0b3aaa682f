package routing

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// heapUsedBy is the bytes that stay in use for what a function keeps alive.
func heapUsedBy(make func() any) float64 {
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
		held[objects] = heapUsedBy(func() any {
			rec := &recorder{}
			r := New(testSettings(), 0, rec)
			r.UpdateEndpoints(0, ListComplete, []Endpoint{endpoint(1<<30, 1, Ready), endpoint(1<<30+1, 2, Ready)})
			for i := range 20 {
				r.UpdateEndpoints(0, ListChanges, []Endpoint{endpoint(uint32(i+1)*7919, 0, Ready)})
			}
			for i := range objects {
				now := float64(i) * 0.05
				if i%720 == 0 {
					k := i / 720
					r.UpdateEndpoints(now, ListChanges, []Endpoint{endpoint(uint32(k+1)*7919, 0, Removed), endpoint(uint32(k+21)*7919, 0, Ready)})
				}
				r.HandleTimer(now)
				submit(r, now, uint32(i+1), fmt.Sprintf("%016x", i*7919))
				respond(r, now, uint32(i+1), 0, Succeeded, CacheHit)
				rec.attempts, rec.shed, rec.events = rec.attempts[:0], nil, nil
			}
			assert.Equal(t, min(objects, objectTableSize), r.demand.objects.byRecency.Len()+r.demand.objects.idle.Len(), "as many are remembered as before")
			return r
		})
		t.Logf("%d objects asked for: %.2f MB", objects, held[objects]/1e6)
	}
	assert.Less(t, held[16000], 2e6)
	assert.Less(t, held[64000], 3e6, "11.4 MB when each kept all that was known of it")
	assert.Less(t, held[64000], 1.3*held[32000], "level once as many are remembered as may be")
}

// An object that was not asked for in a while is known again, with its size; one that is beyond the size of all is not.
func TestAnIdleObjectIsKnownAgain(t *testing.T) {
	r, rec := newCluster(nil)
	submit(r, 0, 1, "a")
	r.HandleResult(0.1, AttemptResult{RequestID: 1, Outcome: Succeeded, Note: CacheHit, Elapsed: 0.1, SizeKB: 12, Final: true})
	submit(r, 40, 2, "b")
	require.Equal(t, 1, r.demand.objects.byRecency.Len(), "a rests")
	require.Equal(t, 1, r.demand.objects.idle.Len())
	submit(r, 41, 3, "a")
	assert.Equal(t, 2, rec.last().CachePriority, "asked for before")
	assert.Equal(t, 12.0, r.requests.byID[3].object.sizeKB)
	assert.Zero(t, r.demand.objects.idle.Len())
	for i := range objectTableSize {
		now := 100 + float64(i)*0.01
		submit(r, now, uint32(10+i), fmt.Sprint("c", i))
		respond(r, now, uint32(10+i), 0, Succeeded, CacheHit)
	}
	submit(r, 1000, 4, "a")
	assert.Equal(t, 1, rec.last().CachePriority, "forgotten")
}

// Objects that the table has let go come back with their counts.
func TestCountsOutliveEviction(t *testing.T) {
	tb := New(testSettings(), 0, &recorder{}).demand.objects
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
