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
	assert.Equal(t, 9, spend(0), "two seconds of the floor and a tenth of fifty answers")
	assert.Equal(t, 1, spend(0.5))
	for range 30 {
		budget.Earn()
	}
	assert.Equal(t, 3, spend(0.5))
	assert.Equal(t, 9, spend(3600), "an hour saves up no more")
	assert.Equal(t, 0, spend(5))
	none := Budget{}
	assert.True(t, none.Spend(1))
}

// Never more than what was full at first, the share of what succeeded and the floor.
func TestNeverMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{Share: rapid.Float64Range(0.01, 1).Draw(t, "share"), Floor: rapid.Float64Range(0, 10).Draw(t, "floor")}
		budget, now, earned := New(s, 0), 0.0, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				now += rapid.SampledFrom([]float64{0, 0.01, 1}).Draw(t, "passes")
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

// What the fleet shares out comes on top: a further forward goes where both have one, and is asked of the fleet only where the own budget has.
func TestTheClustersQuota(t *testing.T) {
	for _, tt := range []struct {
		own               Settings
		left, went, asked int
	}{{Settings{}, 2, 2, 5}, {Settings{Floor: 1}, 9, 2, 2}, {Settings{Floor: 1}, 1, 1, 5}} {
		went, asked, left := 0, 0, tt.left
		tt.own.Fleet = func() bool { asked++; left--; return left >= 0 }
		budget := New(tt.own, 0)
		for range 5 {
			if budget.Spend(0) {
				went++
			}
		}
		assert.Equal(t, []int{tt.went, tt.asked}, []int{went, asked}, "%+v", tt)
	}
}
