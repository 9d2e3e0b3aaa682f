package retrybudget

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The budget must start full, refill by answers and by time up to its capacity, and ignore time that goes
// back.
func TestBudget(t *testing.T) {
	budget := New(Settings{Share: 0.1, Floor: 2}, 0)
	spend := func(now float64) (n int) {
		for budget.Spend(now) {
			n++
		}
		return n
	}
	assert.Equal(t, 9, spend(0), "two seconds of the floor and a tenth of fifty successes")
	assert.Equal(t, 1, spend(0.5))
	for range 30 {
		budget.Earn()
	}
	assert.Equal(t, 3, spend(0.5))
	assert.Equal(t, 9, spend(3600), "an hour saves up no more")
	assert.Equal(t, 0, spend(5))
	unlimited := Budget{}
	assert.True(t, unlimited.Spend(1), "the zero value has no limit")
}

// Retries must never exceed the capacity, the share of the successful answers and the floor over time
// together.
func TestSpentRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{
			Share: rapid.Float64Range(0.01, 1).Draw(t, "share"),
			Floor: rapid.Float64Range(0, 10).Draw(t, "floor"),
		}
		budget, now, earned := New(s, 0), 0.0, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				now += rapid.SampledFrom([]float64{0, 0.01, 1}).Draw(t, "elapsed")
			case 1:
				budget.Earn()
				earned += s.Share
			case 2:
				budget.Spend(now)
			}
		}
		limit := s.capacity() + earned + s.Floor*now + 1e-6
		require.False(t, float64(budget.Spent) > limit, "%d spent, at most %g", budget.Spent, limit)
	})
}

// A retry needs both the router's own budget and the cluster's quota. The quota must be asked only if the own
// budget allows the retry.
func TestFleetQuotaLimitsRetries(t *testing.T) {
	for _, tt := range []struct {
		settings              Settings
		quota, retries, calls int // calls is the number of calls of the cluster's quota
	}{
		{Settings{}, 2, 2, 5},
		{Settings{Floor: 1}, 9, 2, 2},
		{Settings{Floor: 1}, 1, 1, 5},
	} {
		retries, calls, quota := 0, 0, tt.quota
		tt.settings.FleetQuota = func() bool {
			calls++
			quota--
			return quota >= 0
		}
		budget := New(tt.settings, 0)
		for range 5 {
			if budget.Spend(0) {
				retries++
			}
		}
		assert.Equal(t, []int{tt.retries, tt.calls}, []int{retries, calls}, "%+v", tt)
	}
}
