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
	r, _ := newCluster(nil)
	l := &concurrencyLimit{max: 8, roundPeak: 8, work: 8}
	for range 4 {
		r.limits.observeEnd(l, 8, true)
	}
	low := l.max
	require.Less(t, low, 1.0)
	l.work = 8
	r.limits.observeEnd(l, 8, false)
	assert.InDelta(t, 2*low, l.max, 1e-9, "doubled below the load that was borne")
	l.max, l.borne = 6, 2
	r.limits.observeEnd(l, 8, false)
	assert.InDelta(t, 6*growthFactor, l.max, 1e-9, "grown slowly above it")
}

func TestALimitIsCutOnceEnoughCameLate(t *testing.T) {
	for late, cut := range map[float64]bool{1.5: false, 2.5: true} {
		r, _ := newCluster(nil)
		l := &concurrencyLimit{max: 8, roundWork: 8, roundPeak: 8, work: 8}
		for range 2 {
			r.limits.observeEnd(l, late/2, true)
		}
		assert.Equal(t, cut, l.max < 8, "cut when %v of a round of 8 is late", late)
	}
	r, _ := newCluster(nil)
	r.costs.services[0].sendingTime.add(1, 1)
	l := &concurrencyLimit{max: 8, roundWork: 8, roundPeak: 8, work: 8}
	r.limits.observeEnd(l, 2.5, true)
	assert.Equal(t, 8.0, l.max, "too few requests to judge: no cut")
}

func TestLimitsAreCutByWhatIsLate(t *testing.T) {
	for _, tt := range []struct {
		name    string
		elapsed float64
		outcome Outcome
		note    Note
		lookups bool // requests are sent as lookups, with no fill
	}{
		{"fills in time do not cut the fill limit", 0.1, Succeeded, Filled, false},
		{"late fills cut it", 2, Succeeded, Filled, true},
		{"rejected fills cut it", 0.1, Rejected, FillsExhausted, true},
		{"late hits do not, but cut the limit on all caches", 2, Succeeded, CacheHit, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, rec := newCluster(nil)
			for now := 0.0; now < 24; now += 3 {
				for id := range uint32(10) {
					submit(r, now, uint32(now)*10+id, fmt.Sprint("o", now, id))
				}
				for id := range uint32(10) {
					r.HandleResult(now+tt.elapsed, AttemptResult{
						RequestID: uint32(now)*10 + id, Outcome: tt.outcome, Elapsed: tt.elapsed,
						Final: tt.outcome == Succeeded, Note: tt.note,
					})
				}
				runTimers(r, now+tt.elapsed, now+2.9)
			}
			isLookup := func(a Attempt) bool { return a.Source == a.Host }
			assert.Equal(t, tt.lookups, slices.ContainsFunc(rec.attempts, isLookup), "some attempt is a lookup")
			assert.Equal(t, tt.note != Filled, !math.IsInf(r.limits.caches.max, 1), "the limit on all caches is cut")
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
	}{
		{false, 0, 0, true, 0, 0},
		{false, 0, 9, true, 0, 9},
		{true, 0, 0, false, 1, 0},
		{true, 2, 1, true, 0, 1},
		{true, 2, 2, false, 1, 2},
	} {
		r := New(testSettings(), 0, &recorder{})
		r.limits.origin.count = tt.inFlight
		if tt.hasQuota {
			r.SetQuota(0, tt.quota)
			r.SetQuota(7, tt.quota) // a host that is not known
		}
		assert.Equal(t, tt.capacity, r.limits.origin.hasCapacity(1), "%+v", tt)
		inFlight, rejections := r.QuotaUsage(0)
		assert.Equal(t, []int{tt.counted, tt.rejections}, []int{inFlight, rejections}, "%+v", tt)
	}
}
