package routing

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A repeat that hosts know for a time alone is sent with the moment by which it must be out; else that is when the GET is given up, as a host would
// drop unheard what comes later.
func TestWhenARepeatMustBeOut(t *testing.T) {
	for name, tt := range map[string]struct {
		effect  Idempotency
		first   Outcome
		want    float64 // of the second forward
		forward int
	}{
		"a tokened one that may have run":           {IdempotencyKeyed, HostFailed, 1 + 2 - tick, 2},
		"a tokened one that was broken off":         {IdempotencyKeyed, ConnectionLost, 1 + 2 - tick, 2},
		"a tokened one that never ran":              {IdempotencyKeyed, Unreachable, math.Inf(1), 2},
		"an idempotent one":                         {Idempotent, HostFailed, math.Inf(1), 2},
		"one that must not run twice, and has not":  {NonIdempotent, Unreachable, math.Inf(1), 2},
		"one that must not run twice, and may have": {NonIdempotent, ConnectionLost, math.Inf(1), 1},
	} {
		d, r := fleet(func(s *Settings) { s.Services[0].Idempotency = tt.effect })
		ask(d, 1, 1, "o")
		answer(d, 1.5, 1, 0, tt.first, NoNote)
		require.Len(t, r.forwards, tt.forward, name)
		givenUp := r.forwards[0].SendBy
		assert.InDelta(t, 1+d.Services[0].ViewerTimeout-lastMoment, givenUp, 1e-9, name)
		assert.InDelta(t, math.Min(tt.want, givenUp), r.last().SendBy, 1e-9, name)
	}
}
