package emulate

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/fleet/budgets"
)

// Chance troubles: what all may use by their own reckoning is never over the whole, and what is at the host neither.
func TestBudgetsThroughTrouble(t *testing.T) {
	for seed := range uint64(150) {
		chance, s := rand.New(rand.NewPCG(seed, 5)), BudgetDefault()
		s.Seed, s.Dispatchers, s.Span, s.Warm, s.Loss, s.Restarts = seed, 3+chance.IntN(10), 60, 5, 0.2*chance.Float64(), chance.Float64()*20
		s.Kind = budgets.Kind(1 + seed%2)
		s.Whole, s.Burst = float64([]int{0, 1, 3, 20, 200}[chance.IntN(5)]), float64(chance.IntN(20))
		s.Demand = 0.5 + 2*chance.Float64()
		kinds := []string{Cut, Stall, Die, NoDivider, NoDivider, Whole, Surge, Moving}
		for range 5 {
			s.Troubles = append(s.Troubles, BudgetTrouble{Kind: kinds[chance.IntN(len(kinds))], At: chance.Float64() * 40, For: chance.ExpFloat64() * 8, Share: chance.Float64()})
		}
		s.Watch = func(at BudgetSight) {
			sum := int64(0)
			for _, l := range at.Limits {
				sum += l
			}
			whole := int64(at.Whole)
			if s.Kind == budgets.Rate {
				whole = int64(at.Whole * 1000)
			}
			if sum > whole {
				t.Fatalf("seed %d at %.2f s: %d may be used of %d\n%+v", seed, at.At, sum, whole, s)
			}
			if s.Kind == budgets.UnderWay && int64(at.InUse) > whole {
				t.Fatalf("seed %d at %.2f s: %d are in use of %d\n%+v", seed, at.At, at.InUse, whole, s)
			}
		}
		r, err := RunBudgets(s)
		require.NoError(t, err)
		assert.Zero(t, r.Overfull, "seed %d", seed)
		if s.Kind == budgets.Rate {
			within(t, seed, r.Events, s)
		}
	}
}

// within looks over every window that begins at an event: what came in it is no more than its length lets through, and the burst.
func within(t *testing.T, seed uint64, events []float64, s BudgetScenario) {
	t.Helper()
	most, whole := s.Whole, s.Whole
	for _, o := range s.Troubles {
		if o.Kind == Whole {
			whole *= o.Share
			most = max(most, whole)
		}
	}
	for _, span := range []float64{0.1, 1, 10, 60} {
		first := 0
		for i, at := range events {
			for at-events[first] > span {
				first++
			}
			if n := float64(i - first + 1); n > s.Burst+float64(s.Dispatchers)+most*span*(1+2*budgets.Drift)+1 {
				t.Fatalf("seed %d: %g events in %g s before %.2f, of %g and %g a second", seed, n, span, at, s.Burst, most)
			}
		}
	}
}
