package clock_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"elderwall/internal/clock"
)

// steps is by how much a wall clock is stepped in these tests.
var steps = []time.Duration{3 * time.Second, -3 * time.Second, time.Hour, -time.Hour}

func TestAnInstantIsRealTime(t *testing.T) {
	before := time.Now()
	i := clock.InstantNow()
	time.Sleep(20 * time.Millisecond)
	assert.GreaterOrEqual(t, i.Since(), 20*time.Millisecond)
	assert.LessOrEqual(t, i.Since(), time.Since(before))
	assert.False(t, i.IsZero())
	assert.True(t, clock.Instant(0).IsZero())
	assert.InDelta(t, 0, float64(clock.InstantOf(before)-i), float64(time.Second))
}

// A Unix stamp is put on the process's own clock. Whatever steps the wall clock here makes, or that of who wrote the stamp, a host counts as no warmer
// and a purge as no older than it is, and never as younger than its arrival.
func TestWitnessed(t *testing.T) {
	for _, step := range append([]time.Duration{0}, steps...) {
		for _, tt := range []struct {
			name      string
			theirs    bool    // who wrote the stamp has a clock that steps as well
			age       float64 // s before its arrival that it was truly written
			since     float64 // s before its arrival that it can have been written at the earliest
			exactAtNo bool    // without a step the stamp itself is right
		}{
			{"as it arrives", false, 0.2, 7, true},
			{"both clocks step", true, 0.2, 7, true},
			{"some seconds old", false, 5, 7, true},
			{"both clocks step, some seconds old", true, 5, 7, true},
			{"older than can be", false, 100, 7, false},
			{"of the start", false, 100, math.Inf(1), true},
		} {
			t.Run(fmt.Sprint(step, " ", tt.name), func(t *testing.T) {
				var stepped time.Duration
				c := clock.NewWithWall(func() time.Time { return time.Now().Add(stepped) })
				written := time.Now().Add(-time.Duration(tt.age * float64(time.Second)))
				stepped = step
				if tt.theirs {
					written = written.Add(step)
				}
				now := c.Now()
				got := now - c.Witnessed(written.UnixMilli(), now-tt.since, now)
				assert.GreaterOrEqual(t, got, -1e-9, "not to come")
				if !math.IsInf(tt.since, 1) || !tt.theirs && step <= 0 {
					assert.LessOrEqual(t, got, math.Min(tt.age, tt.since)+0.01, "no older than it is")
				}
				if step == 0 && tt.exactAtNo {
					assert.InDelta(t, tt.age, got, 0.01)
				}
			})
		}
	}
}
