package emulator

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func smallVariants() VariantsScenario {
	s := VariantsDefault()
	s.Dispatchers, s.Hosts, s.Objects, s.Rate, s.Warm, s.Span, s.OriginRate, s.Changes = 12, 6, 200, 500, 60, 60, 1000, 0.5
	return s
}

// No client gets another class's bytes, whatever changes, with facts that come late and hosts that lie about nothing; and copies are saved.
func TestVariantsGiveNoWrongBytes(t *testing.T) {
	for seed := range uint64(schedules(1)) {
		for name, change := range map[string]func(*VariantsScenario){
			"as it is":              func(*VariantsScenario) {},
			"each alone":            func(s *VariantsScenario) { s.Way = Alone },
			"changes that are told": func(s *VariantsScenario) { s.Changes, s.One = 10, 1 },
			"changes that nobody tells of": func(s *VariantsScenario) {
				s.Changes, s.One, s.Silent, s.Lasts = 5, 1, 1, 10
			},
			"cut, then healed": func(s *VariantsScenario) { s.Cut, s.CutFor, s.Changes, s.One = 5, 30, 5, 1 },
			"new objects":      func(s *VariantsScenario) { s.Fresh = 5 },
			"a small table":    func(s *VariantsScenario) { s.TablesHold = 50 },
			"two witnesses":    func(s *VariantsScenario) { s.Witnesses = 2 },
		} {
			s := smallVariants()
			s.Seed = seed
			change(&s)
			r, err := RunVariants(s)
			require.NoError(t, err)
			assert.Zero(t, r.Wrong, "%s, seed %d: %v", name, seed, r.Faults)
		}
	}
}

// The checker finds ways that are wrong, and what is saved is nearly all that the ideal saves.
func TestVariantsSaveAndTheCheckerSees(t *testing.T) {
	by := map[string]*VariantsResult{}
	for _, way := range []string{ByClass, OneKey, Fleet, Knowing} {
		s := smallVariants()
		s.Way, s.Changes, s.Warm, s.Span = way, 0.05, 150, 50
		r, err := RunVariants(s)
		require.NoError(t, err)
		by[way] = r
	}
	assert.Greater(t, by[OneKey].Wrong, by[OneKey].GETs/10)
	assert.Zero(t, by[ByClass].Wrong+by[Knowing].Wrong+by[Fleet].Wrong)
	assert.Greater(t, by[ByClass].Missed-by[Fleet].Missed, 0.8*(by[ByClass].Missed-by[Knowing].Missed))
	s := smallVariants()
	s.Liars = s.Hosts
	r, err := RunVariants(s)
	require.NoError(t, err)
	assert.Positive(t, r.Wrong, "hosts that lie are found by the checker, and believed by the program")
}
