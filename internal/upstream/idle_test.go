package upstream_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/upstream"
)

// A host closes connections sooner than any sweep comes: one that rested is not used again, and closed at the next forward.
func TestAConnectionThatItsHostMayCloseIsNotUsed(t *testing.T) {
	asked, answer := asking(func(a standin.Ask) string { return standin.Hit(a.ID, "") })
	o := options(t)
	o.IdleClose = time.Nanosecond
	o.PerHost.Store(1)
	h := host(t, o, answer)
	for i, id := range []string{"a", "b", "c"} {
		_, done := sent(t, h, id)
		assert.Equal(t, upstream.Answered, end(h, done).Stage)
		assert.EqualValues(t, i+1, o.Counts.HostConnections.Load())
		assert.Equal(t, 1, o.Places.Taken(), "those before are closed")
		need.Soon(t, func() bool { return len(asked) == i+1 })
	}
}

func TestWhereNoIdleTimeIsToldConnectionsAreKept(t *testing.T) {
	o := options(t)
	o.IdleClose = 0
	h := host(t, o, standin.Hits(""))
	for range 3 {
		answered(t, h)
		h.Sweep(time.Now().Add(time.Hour))
	}
	assert.EqualValues(t, 1, o.Counts.HostConnections.Load())
}

// Connections are closed as idle at the very time at which forwards come: none is queued on one that closes.
func TestAForwardCrossesTheCloseOfItsIdleConnection(t *testing.T) {
	o := options(t)
	o.Streams = 1
	o.PerHost.Store(1)
	h := host(t, o, standin.Hits(""))
	var all sync.WaitGroup
	var stop atomic.Bool
	all.Go(func() {
		for !stop.Load() {
			h.Sweep(time.Now().Add(time.Hour))
		}
	})
	ended := map[upstream.Stage]int{}
	for range 2000 {
		_, done := sent(t, h, "a")
		ended[end(h, done).Stage]++
	}
	stop.Store(true)
	all.Wait()
	assert.Equal(t, map[upstream.Stage]int{upstream.Answered: 2000}, ended)
}
