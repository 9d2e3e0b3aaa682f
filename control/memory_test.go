package control

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
			d.Hosts(0, Complete, []HostEntry{entry(1<<30, 1, Ready), entry(1<<30+1, 2, Ready)})
			for i := range 20 {
				d.Hosts(0, Changes, []HostEntry{entry(uint32(i+1)*7919, 0, Ready)})
			}
			for i := range objects {
				now := float64(i) * 0.05
				if i%720 == 0 {
					k := i / 720
					d.Hosts(now, Changes, []HostEntry{entry(uint32(k+1)*7919, 0, Gone), entry(uint32(k+21)*7919, 0, Ready)})
				}
				d.Timer(now)
				ask(d, now, uint32(i+1), fmt.Sprintf("%016x", i*7919))
				answer(d, now, uint32(i+1), 0, Returned, Hit)
				r.forwards, r.shed, r.calls = r.forwards[:0], nil, nil
			}
			assert.Equal(t, min(objects, tableSize), d.items.byUse.Len()+d.items.rest.Len(), "as many are remembered as before")
			return d
		})
		t.Logf("%d objects asked for: %.2f MB", objects, held[objects]/1e6)
	}
	assert.Less(t, held[16000], 2e6)
	assert.Less(t, held[64000], 3e6, "11.4 MB when each kept all that was known of it")
	assert.Less(t, held[64000], 1.3*held[32000], "level once as many are remembered as may be")
}

// An object that was not asked for in a while is known again, with its size; one that is beyond the size of all is not.
func TestAnItemThatRestedIsKnownAgain(t *testing.T) {
	d, r := fleet(nil)
	ask(d, 0, 1, "a")
	d.Answer(0.1, Answer{GET: 1, Outcome: Returned, Note: Hit, Elapsed: 0.1, SizeKB: 12, Last: true})
	ask(d, 40, 2, "b")
	require.Equal(t, 1, d.items.byUse.Len(), "a rests")
	require.Equal(t, 1, d.items.rest.Len())
	ask(d, 41, 3, "a")
	assert.Equal(t, 2, r.last().Rank, "asked for before")
	it := d.gets[3].item
	assert.Equal(t, 12.0, it.kb)
	assert.Zero(t, d.items.rest.Len())
	for i := range tableSize {
		now := 100 + float64(i)*0.01
		ask(d, now, uint32(10+i), fmt.Sprint("c", i))
		answer(d, now, uint32(10+i), 0, Returned, Hit)
	}
	ask(d, 1000, 4, "a")
	assert.Equal(t, 1, r.last().Rank, "forgotten")
}
