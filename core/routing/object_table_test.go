package routing

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// heapUsedBy returns the number of bytes that remain allocated for the value that create returns.
func heapUsedBy(create func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	value := create()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(value)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// Guards against memory that grows over a long day: objects are requested a few at a time, always new ones,
// while hosts are replaced. Memory use must level off, and must be small long before the table is full.
func TestMemoryLevelsOffAsObjectsAccumulate(t *testing.T) {
	used := map[int]float64{}
	for _, objects := range []int{8000, 16000, 32000, 64000} {
		used[objects] = heapUsedBy(func() any {
			r := routerAfterRequests(objects)
			remembered := r.demand.objects.byRecency.Len() + r.demand.objects.idle.Len()
			assert.Equal(t, min(objects, objectTableSize), remembered, "objects in the table")
			return r
		})
		t.Logf("%d objects requested: %.2f MB", objects, used[objects]/1e6)
	}
	assert.Less(t, used[16000], 2e6)
	assert.Less(t, used[64000], 3e6, "it would be 11.4 MB if each object kept its full state")
	assert.Less(t, used[64000], 1.3*used[32000], "memory use is level once the table is full")
}

// routerAfterRequests returns a router that has handled one request for each of the given number of objects.
// There were twenty requests per second, and one of its twenty caches was replaced every 36 seconds.
func routerAfterRequests(objects int) *Router {
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
			r.UpdateEndpoints(now, ListChanges, []Endpoint{
				endpoint(uint32(k+1)*7919, 0, Removed), endpoint(uint32(k+21)*7919, 0, Ready),
			})
		}
		r.HandleTimer(now)
		submit(r, now, uint32(i+1), fmt.Sprintf("%016x", i*7919))
		respond(r, now, uint32(i+1), 0, Succeeded, CacheHit)
		rec.attempts, rec.shed, rec.events = rec.attempts[:0], nil, nil
	}
	return r
}

// An object that was idle for a while is remembered with its size. An object that was evicted from the table
// is not.
func TestIdleObjectIsRemembered(t *testing.T) {
	r, rec := newCluster(nil)
	submit(r, 0, 1, "a")
	r.HandleResult(0.1, AttemptResult{
		RequestID: 1, Outcome: Succeeded, Note: CacheHit, Elapsed: 0.1, SizeKB: 12, Final: true,
	})
	submit(r, 40, 2, "b")
	require.Equal(t, 1, r.demand.objects.byRecency.Len(), "a is idle")
	require.Equal(t, 1, r.demand.objects.idle.Len())
	submit(r, 41, 3, "a")
	assert.Equal(t, 2, rec.last().CachePriority, "requested before")
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

// An object that was evicted from the table gets its request counts back when it is requested again. Guards
// against catalogs larger than the table, in which popular objects would otherwise look new.
func TestRequestCountsSurviveEviction(t *testing.T) {
	table := New(testSettings(), 0, &recorder{}).demand.objects
	for range 20 {
		table.touch(1, "hot", 0, 1)
	}
	for i := range objectTableSize + 1 {
		table.touch(1.5, fmt.Sprint("scan", i), 0, 1)
	}
	assert.NotNil(t, table.evictedCount)
	for range 20 {
		table.touch(2.5, "hot", 0, 1)
	}
	for i := range objectTableSize + 1 {
		table.touch(3, fmt.Sprint("more", i), 0, 1)
	}
	object := table.touch(3.5, "hot", 0, 1)
	assert.True(t, object.requestedBefore)
	assert.InDelta(t, 20, object.demand.add(3.5, 0), 2)
	assert.InDelta(t, 0, object.demand.add(14, 0), 0, "the counts have left the window")
	assert.False(t, table.touch(3.5, "never", 0, 1).requestedBefore)
	assert.Len(t, table.byKey, objectTableSize)
}
