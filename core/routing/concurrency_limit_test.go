package routing

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestALimitRecoversFastToWhatWasBorne(t *testing.T) {
	d, _ := newCluster(nil)
	l := &concurrencyLimit{max: 8, roundPeak: 8, work: 8}
	for range 4 {
		d.limits.observeEnd(l, 8, true)
	}
	low := l.max
	require.Less(t, low, 1.0)
	l.work = 8
	d.limits.observeEnd(l, 8, false)
	assert.InDelta(t, 2*low, l.max, 1e-9, "doubled below what was borne")
	l.max, l.borne = 6, 2
	d.limits.observeEnd(l, 8, false)
	assert.InDelta(t, 6*growthFactor, l.max, 1e-9, "grown with care above it")
}

func TestALimitIsCutOnceEnoughCameLate(t *testing.T) {
	for late, falls := range map[float64]bool{1.5: false, 2.5: true} {
		d, _ := newCluster(nil)
		l := &concurrencyLimit{max: 8, roundWork: 8, roundPeak: 8, work: 8}
		for range 2 {
			d.limits.observeEnd(l, late/2, true)
		}
		assert.Equal(t, falls, l.max < 8, "%v of a turn of 8 came late", late)
	}
	d, _ := newCluster(nil)
	d.costs.services[0].sendingTime.add(1, 1)
	l := &concurrencyLimit{max: 8, roundWork: 8, roundPeak: 8, work: 8}
	d.limits.observeEnd(l, 2.5, true)
	assert.Equal(t, 8.0, l.max, "which is fewer GETs than tell anything")
}

func TestLimitsAreCutByWhatIsLate(t *testing.T) {
	for _, tt := range []struct {
		name    string
		elapsed float64
		outcome Outcome
		note    Note
		looks   bool
	}{
		{"fills in time keep their limit open", 0.1, Succeeded, Filled, false},
		{"late fills close it", 2, Succeeded, Filled, true},
		{"refused fills close it", 0.1, Rejected, FillsExhausted, true},
		{"late hits do not, but close that on all caches", 2, Succeeded, CacheHit, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, r := newCluster(nil)
			for now := 0.0; now < 24; now += 3 {
				for id := range uint32(10) {
					ask(d, now, uint32(now)*10+id, fmt.Sprint("o", now, id))
				}
				for id := range uint32(10) {
					d.HandleResult(now+tt.elapsed, AttemptResult{RequestID: uint32(now)*10 + id, Outcome: tt.outcome, Elapsed: tt.elapsed, Final: tt.outcome == Succeeded, Note: tt.note})
				}
				tickTo(d, now+tt.elapsed, now+2.9)
			}
			assert.Equal(t, tt.looks, slices.ContainsFunc(r.forwards, func(f Attempt) bool { return f.Source == f.Host }))
			assert.Equal(t, tt.note != Filled, !math.IsInf(d.limits.caches.max, 1), "the limit on all caches")
		})
	}
}

// The cluster's quota binds also where the router's own limit has capacity, and at 0; without one nothing changes.
func TestTheClustersQuota(t *testing.T) {
	for _, tt := range []struct {
		hasQuota            bool
		quota, inFlight     int
		capacity            bool
		rejections, counted int
	}{{false, 0, 0, true, 0, 0}, {false, 0, 9, true, 0, 9}, {true, 0, 0, false, 1, 0}, {true, 2, 1, true, 0, 1}, {true, 2, 2, false, 1, 2}} {
		d := New(settings(), 0, &recorder{})
		d.limits.origin.count = tt.inFlight
		if tt.hasQuota {
			d.SetQuota(0, tt.quota)
			d.SetQuota(7, tt.quota) // a host that is not known
		}
		assert.Equal(t, tt.capacity, d.limits.origin.hasCapacity(1), "%+v", tt)
		inFlight, rejections := d.QuotaUsage(0)
		assert.Equal(t, []int{tt.counted, tt.rejections}, []int{inFlight, rejections}, "%+v", tt)
	}
}
