package retrybudget

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

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

// No more is spent than the capacity, the share of successes and the floor over time.
func TestNeverMore(t *testing.T) {
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
		most := s.capacity() + earned + s.Floor*now + 1e-6
		require.False(t, float64(budget.Spent) > most, "%d spent, at most %g", budget.Spent, most)
	})
}

// The cluster's quota applies besides the own budget: a retry needs both, and the quota is checked only where the own budget
// allows the retry.
func TestTheClustersQuota(t *testing.T) {
	for _, tt := range []struct {
		settings              Settings
		quota, retries, calls int // calls of the cluster's quota
	}{
		{Settings{}, 2, 2, 5},
		{Settings{Floor: 1}, 9, 2, 2},
		{Settings{Floor: 1}, 1, 1, 5},
	} {
		retries, calls, quota := 0, 0, tt.quota
		tt.settings.Fleet = func() bool {
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
