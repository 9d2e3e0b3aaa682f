package routing

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A repeat that hosts know for a time alone is sent with the moment by which it must be out; else that is when the GET is given up, as a host would
// drop unheard what comes later.
func TestWhenARetryMustBeSent(t *testing.T) {
	for name, tt := range map[string]struct {
		effect  Idempotency
		first   Outcome
		want    float64 // of the second forward
		forward int
	}{
		"a tokened one that may have run":           {IdempotencyKeyed, HostFailed, 1 + 2 - tickInterval, 2},
		"a tokened one that was broken off":         {IdempotencyKeyed, ConnectionLost, 1 + 2 - tickInterval, 2},
		"a tokened one that never ran":              {IdempotencyKeyed, Unreachable, math.Inf(1), 2},
		"an idempotent one":                         {Idempotent, HostFailed, math.Inf(1), 2},
		"one that must not run twice, and has not":  {NonIdempotent, Unreachable, math.Inf(1), 2},
		"one that must not run twice, and may have": {NonIdempotent, ConnectionLost, math.Inf(1), 1},
	} {
		d, r := newCluster(func(s *Settings) { s.Services[0].Idempotency = tt.effect })
		ask(d, 1, 1, "o")
		answer(d, 1.5, 1, 0, tt.first, NoNote)
		require.Len(t, r.forwards, tt.forward, name)
		givenUp := r.forwards[0].SendBy
		assert.InDelta(t, 1+d.Services[0].ViewerTimeout-answerMargin, givenUp, 1e-9, name)
		assert.InDelta(t, math.Min(tt.want, givenUp), r.last().SendBy, 1e-9, name)
	}
}

func TestAfterAFailedAttempt(t *testing.T) {
	for _, tt := range []struct {
		name    string
		effect  Idempotency
		scope   DedupScope
		outcome Outcome
		after   float64
		want    string
	}{
		{"idempotent is sent on", Idempotent, AllHosts, HostFailed, 0.1, "forward"},
		{"non-idempotent that may have run is errored", NonIdempotent, AllHosts, HostFailed, 0.1, "error"},
		{"non-idempotent that was not taken is sent on", NonIdempotent, AllHosts, Unreachable, 0.1, "forward"},
		{"tokened is sent on within its window", IdempotencyKeyed, AllHosts, ConnectionLost, 0.1, "forward"},
		{"tokened past its window may be shed where all drop repeats", IdempotencyKeyed, AllHosts, ConnectionLost, 2.5, "shed"},
		{"tokened past its window is errored in a zone", IdempotencyKeyed, SameZone, ConnectionLost, 2.5, "error"},
		{"tokened stays in its zone", IdempotencyKeyed, SameZone, ConnectionLost, 0.1, "forward"},
		{"tokened alone in its cell is errored", IdempotencyKeyed, SameCell, ConnectionLost, 0.1, "error"},
		{"tokened that was not taken is free of its cell", IdempotencyKeyed, SameCell, Unreachable, 0.1, "forward"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, r := newCluster(func(s *Settings) { s.Services[0].Idempotency, s.Services[0].DedupScope = tt.effect, tt.scope })
			ask(d, 1, 7, "a")
			require.Len(t, r.forwards, 1)
			answer(d, 1+tt.after, 7, 0, tt.outcome, NoNote)
			got := map[string]int{"forward": len(r.forwards) - 1, "error": len(r.errored), "shed": len(r.shed)}
			want := map[string]int{"forward": 0, "error": 0, "shed": 0}
			want[tt.want] = 1
			assert.Equal(t, want, got)
			if tt.want == "forward" {
				assert.NotEqual(t, r.forwards[0].Host, r.forwards[1].Host)
			}
		})
	}
}

func TestHedgingOnlyWhereAllowed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		d, r := newCluster(func(s *Settings) { s.Hedging = allowed })
		ask(d, 1, 7, "a")
		d.outliers.eject(d.endpoints.byID[r.last().Host])
		tickTo(d, 1, 3)
		assert.Len(t, r.cancelled, 1)
		assert.Equal(t, allowed, len(r.forwards) > 1)
		answer(d, 3.1, 7, 0, Canceled, NoNote)
		assert.Len(t, r.forwards, 2, "once the first is back the GET goes on in any case")
	}
}
