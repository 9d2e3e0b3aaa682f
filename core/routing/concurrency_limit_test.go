package routing

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// After cuts, a limit doubles in each round while it is below fastGrowthCeiling, which depends on the load
// before the cuts. Above it the limit grows slowly.
func TestLimitRecoversFastUpToEarlierLoad(t *testing.T) {
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
	l.max, l.fastGrowthCeiling = 6, 2
	r.limits.observeEnd(l, 8, false)
	assert.InDelta(t, 6*growthFactor, l.max, 1e-9, "grown slowly above it")
}

// A limit is cut before the end of a round once enough of its work is late, but not if only a few requests
// ended.
func TestLimitIsCutOnceEnoughWorkIsLate(t *testing.T) {
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

// Late or rejected fills cut the fill limit, and late hits cut the limit on all caches. Fills in time cut
// neither.
func TestLateAttemptsCutTheirLimits(t *testing.T) {
	for _, tt := range []struct {
		name    string
		elapsed float64
		outcome Outcome
		note    Note
		lookups bool // whether requests are sent as lookups without a fill
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

// The cluster's quota applies even if the router's own limit has capacity, and also if it is 0. Without a
// quota only the router's own limit applies.
func TestClusterQuotaBoundsAttempts(t *testing.T) {
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
			r.SetQuota(7, tt.quota) // an unknown host
		}
		assert.Equal(t, tt.capacity, r.limits.origin.hasCapacity(1), "%+v", tt)
		inFlight, rejections := r.QuotaUsage(0)
		assert.Equal(t, []int{tt.counted, tt.rejections}, []int{inFlight, rejections}, "%+v", tt)
	}
}
