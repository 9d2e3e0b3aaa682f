package control

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A repeat that hosts know for a time alone is sent with the moment by which it must be out; nothing else is.
func TestWhenARepeatMustBeOut(t *testing.T) {
	for name, tt := range map[string]struct {
		effect  Effect
		first   Outcome
		want    float64 // of the second forward
		forward int
	}{
		"a tokened one that may have run":           {Tokened, HostError, 1 + 2 - tick, 2},
		"a tokened one that was broken off":         {Tokened, Dropped, 1 + 2 - tick, 2},
		"a tokened one that never ran":              {Tokened, Unreached, 0, 2},
		"an idempotent one":                         {Idempotent, HostError, 0, 2},
		"one that must not run twice, and has not":  {NonIdempotent, Unreached, 0, 2},
		"one that must not run twice, and may have": {NonIdempotent, Dropped, 0, 1},
	} {
		d, r := fleet(func(s *Settings) { s.Services[0].Effect = tt.effect })
		ask(d, 1, 1, "o")
		answer(d, 1.5, 1, 0, tt.first, NoNote)
		require.Len(t, r.forwards, tt.forward, name)
		assert.Zero(t, r.forwards[0].Before, name)
		assert.InDelta(t, tt.want, r.last().Before, 1e-9, name)
	}
}
