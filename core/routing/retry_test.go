package routing

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/routing/retrybudget"
)

// Guards against a retry that arrives after hosts have stopped recognizing repeats. If hosts recognize
// repeats only within a window, the retry must be sent before the window ends. Any other attempt must be sent
// before the request is given up, because a host would drop it later.
func TestRetryCarriesSendByTime(t *testing.T) {
	for name, tt := range map[string]struct {
		idempotency Idempotency
		first       Outcome
		want        float64 // seconds; SendBy of the retry
		attempts    int
	}{
		"with an idempotency key, may have run":    {IdempotencyKeyed, HostFailed, 1 + 2 - tickInterval, 2},
		"with an idempotency key, connection lost": {IdempotencyKeyed, ConnectionLost, 1 + 2 - tickInterval, 2},
		"with an idempotency key, never ran":       {IdempotencyKeyed, Unreachable, math.Inf(1), 2},
		"idempotent":                               {Idempotent, HostFailed, math.Inf(1), 2},
		"non-idempotent, never ran":                {NonIdempotent, Unreachable, math.Inf(1), 2},
		"non-idempotent, may have run":             {NonIdempotent, ConnectionLost, math.Inf(1), 1},
	} {
		r, rec := newCluster(func(s *Settings) { s.Services[0].Idempotency = tt.idempotency })
		submit(r, 1, 1, "o")
		respond(r, 1.5, 1, 0, tt.first, NoNote)
		require.Len(t, rec.attempts, tt.attempts, name)
		givenUpAt := rec.attempts[0].SendBy
		assert.InDelta(t, 1+r.Services[0].ViewerTimeout-answerMargin, givenUpAt, 1e-9, name)
		assert.InDelta(t, math.Min(tt.want, givenUpAt), rec.last().SendBy, 1e-9, name)
	}
}

// A request whose attempt failed is retried only where a repeat is harmless or is dropped by the host.
// Otherwise it is failed, or shed if the client may safely repeat it.
func TestFailedAttemptIsRetriedOnlyWhereSafe(t *testing.T) {
	for _, tt := range []struct {
		name        string
		idempotency Idempotency
		scope       DedupScope
		outcome     Outcome
		after       float64
		want        string
	}{
		{"idempotent: retried", Idempotent, AllHosts, HostFailed, 0.1, "retried"},
		{"non-idempotent that may have run: failed", NonIdempotent, AllHosts, HostFailed, 0.1, "failed"},
		{"non-idempotent that was not executed: retried", NonIdempotent, AllHosts, Unreachable, 0.1, "retried"},
		{"keyed, within its dedup window: retried", IdempotencyKeyed, AllHosts, ConnectionLost, 0.1, "retried"},
		{"keyed, past its window, all hosts deduplicate: shed", IdempotencyKeyed, AllHosts, ConnectionLost, 2.5, "shed"},
		{"keyed, past its window, its zone deduplicates: failed", IdempotencyKeyed, SameZone, ConnectionLost, 2.5, "failed"},
		{"keyed, its zone deduplicates: retried there", IdempotencyKeyed, SameZone, ConnectionLost, 0.1, "retried"},
		{"keyed, alone in the cell that deduplicates: failed", IdempotencyKeyed, SameCell, ConnectionLost, 0.1, "failed"},
		{"keyed, not executed: retried in any cell", IdempotencyKeyed, SameCell, Unreachable, 0.1, "retried"},
		{"idempotent, answered by an unusable copy: retried", Idempotent, AllHosts, UnusableCopy, 0.1, "retried"},
		{"non-idempotent, answered by an unusable copy: failed", NonIdempotent, AllHosts, UnusableCopy, 0.1, "failed"},
		{"keyed, answered by an unusable copy, its zone deduplicates: retried there", IdempotencyKeyed, SameZone, UnusableCopy, 0.1, "retried"},
		{"keyed, answered by an unusable copy, alone in the cell that deduplicates: failed", IdempotencyKeyed, SameCell, UnusableCopy, 0.1, "failed"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, rec := newCluster(func(s *Settings) {
				s.Services[0].Idempotency, s.Services[0].DedupScope = tt.idempotency, tt.scope
			})
			submit(r, 1, 7, "a")
			require.Len(t, rec.attempts, 1)
			respond(r, 1+tt.after, 7, 0, tt.outcome, NoNote)
			got := map[string]int{"retried": len(rec.attempts) - 1, "failed": len(rec.failed), "shed": len(rec.shed)}
			want := map[string]int{"retried": 0, "failed": 0, "shed": 0}
			want[tt.want] = 1
			assert.Equal(t, want, got)
			if tt.want == "retried" {
				assert.NotEqual(t, rec.attempts[0].Host, rec.attempts[1].Host)
			}
		})
	}
}

// With hedging, a further attempt is sent as soon as the first one has been canceled at an ejected host.
// Without it, the retry waits until the first attempt has returned.
func TestHedgingOnlyWhereAllowed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		r, rec := newCluster(func(s *Settings) { s.Hedging = allowed })
		submit(r, 1, 7, "a")
		r.outliers.eject(r.endpoints.byID[rec.last().Host])
		runTimers(r, 1, 3)
		assert.Len(t, rec.cancelled, 1)
		assert.Equal(t, allowed, len(rec.attempts) > 1, "a hedged request is sent if allowed")
		respond(r, 3.1, 7, 0, Canceled, NoNote)
		assert.Len(t, rec.attempts, 2, "once the first attempt is back the request is retried in any case")
	}
}

// A host whose copies a purge has made too old must not be ejected for them, and a retry after one must not be
// charged to the retry budget: the host did not fail.
func TestUnusableCopyIsNoFailureOfItsHost(t *testing.T) {
	r, rec := newCluster(func(s *Settings) { s.Retries = retrybudget.Settings{Share: 0.001, Floor: 0.001} })
	for id := range uint32(20) {
		now := 1 + float64(id)
		submit(r, now, id, "a")
		first := rec.last()
		respond(r, now+0.1, id, 0, UnusableCopy, CacheHit)
		require.NotEqual(t, first.Host, rec.last().Host, "request %d is retried at another host", id)
		respond(r, now+0.2, id, 1, Succeeded, CacheHit)
	}
	assert.Empty(t, rec.events, "no host is ejected")
	assert.Empty(t, rec.shed)
	assert.Empty(t, rec.failed)
}

// A front that can't wait any longer must not be told that a repeat is harmless while an attempt may be executed.
func TestGiveUpTellsWhatMayHaveRun(t *testing.T) {
	for _, tt := range []struct {
		name        string
		idempotency Idempotency
		scope       DedupScope
		first       Outcome
		shed        bool
	}{
		{"idempotent, outstanding: shed", Idempotent, AllHosts, noResponse, true},
		{"non-idempotent, outstanding: failed", NonIdempotent, AllHosts, noResponse, false},
		{"non-idempotent, never ran, its retry outstanding: failed", NonIdempotent, AllHosts, Unreachable, false},
		{"keyed, all hosts deduplicate: shed", IdempotencyKeyed, AllHosts, noResponse, true},
		{"keyed, its zone deduplicates: failed", IdempotencyKeyed, SameZone, noResponse, false},
	} {
		r, rec := newCluster(func(s *Settings) {
			s.Services[0].Idempotency, s.Services[0].DedupScope = tt.idempotency, tt.scope
		})
		submit(r, 1, 7, "a")
		if tt.first != noResponse {
			respond(r, 1.1, 7, 0, tt.first, NoNote)
		}
		assert.True(t, r.GiveUp(1.2, 7), tt.name)
		answers := map[bool][]uint32{true: rec.shed, false: rec.failed}
		assert.Equal(t, []uint32{7}, answers[tt.shed], tt.name)
		assert.Empty(t, answers[!tt.shed], tt.name)
		assert.False(t, r.GiveUp(1.3, 7), "%s: it has its answer", tt.name)
		assert.False(t, r.GiveUp(1.3, 8), "%s: an unknown request", tt.name)
	}
}

// submitWithoutKey submits request 7 at second 1, as submit does, but without its key.
func submitWithoutKey(r *Router) {
	r.HandleRequest(1, Request{ID: 7, Object: "a", Deadline: 6}.WithoutKey())
	r.RunRetries(1)
}

// Guards against a request that lacks its key being sent again by what its delivery service promises: no host recognizes the
// repeat, so it is retried only if it has not been executed, and is otherwise failed, never shed.
func TestKeyedRequestWithoutItsKeyIsNeverRepeated(t *testing.T) {
	for _, scope := range []DedupScope{AllHosts, SameZone, SameCell} {
		for outcome := Succeeded + 1; outcome <= UnusableCopy; outcome++ {
			r, rec := newCluster(func(s *Settings) {
				s.Services[0].Idempotency, s.Services[0].DedupScope = IdempotencyKeyed, scope
			})
			submitWithoutKey(r)
			respond(r, 1.1, 7, 0, outcome, NoNote)
			got := []int{len(rec.attempts), len(rec.failed), len(rec.shed)}
			if outcome.MayHaveRun() {
				assert.Equal(t, []int{1, 1, 0}, got, "scope %d, outcome %d", scope, outcome)
				continue
			}
			assert.Equal(t, []int{2, 0, 0}, got, "scope %d, outcome %d", scope, outcome)
			respond(r, 1.2, 7, 1, ConnectionLost, NoNote)
			got = []int{len(rec.attempts), len(rec.failed), len(rec.shed)}
			assert.Equal(t, []int{2, 1, 0}, got, "scope %d, its retry may have been executed", scope)
		}
	}
}

// Guards against a failed fill being taken for proof that a request without its key was not executed.
func TestFailedFillWithoutItsKeyIsNotRepeated(t *testing.T) {
	for note := NoNote; note <= OriginFailed; note++ {
		r, rec := newCluster(func(s *Settings) { s.Services[0].Idempotency = IdempotencyKeyed })
		submitWithoutKey(r)
		respond(r, 1.1, 7, 0, HostFailed, note)
		assert.Equal(t, []int{1, 1, 0}, []int{len(rec.attempts), len(rec.failed), len(rec.shed)}, "note %d", note)
	}
}

// Guards against a rejection, which tells the client that a repeat is harmless, while an attempt without a key may be executed.
func TestGivenUpRequestWithoutItsKeyIsFailed(t *testing.T) {
	for name, giveUp := range map[string]func(r *Router){
		"its front can't wait":  func(r *Router) { r.GiveUp(1.2, 7) },
		"its time is over":      func(r *Router) { runTimers(r, 1, 7) },
		"its process will exit": func(r *Router) { r.FinishAll(1.2) },
	} {
		r, rec := newCluster(func(s *Settings) { s.Services[0].Idempotency = IdempotencyKeyed })
		submitWithoutKey(r)
		giveUp(r)
		assert.Equal(t, []uint32{7}, rec.failed, name)
		assert.Empty(t, rec.shed, name)
	}
}

// Guards against an attempt without a key being canceled at an ejected host, after which another one would be sent.
func TestAttemptWithoutItsKeyIsNotCanceledAtAnEjectedHost(t *testing.T) {
	for _, keyMissing := range []bool{true, false} {
		r, rec := newCluster(func(s *Settings) { s.Services[0].Idempotency = IdempotencyKeyed })
		if keyMissing {
			submitWithoutKey(r)
		} else {
			submit(r, 1, 7, "a")
		}
		r.outliers.eject(r.endpoints.byID[rec.last().Host])
		runTimers(r, 1, 3)
		assert.Equal(t, keyMissing, len(rec.cancelled) == 0)
		assert.Equal(t, keyMissing, len(rec.attempts) == 1)
	}
}

// Guards against a key that is missing changing what becomes of requests whose delivery service promises none.
func TestMissingKeyMattersToKeyedServicesAlone(t *testing.T) {
	for promised, want := range map[Idempotency]Idempotency{NonIdempotent: NonIdempotent, IdempotencyKeyed: NonIdempotent, Idempotent: Idempotent} {
		s := DeliveryService{Idempotency: promised}
		assert.Equal(t, want, s.IdempotencyOf(Request{}.WithoutKey()))
		assert.Equal(t, promised, s.IdempotencyOf(Request{}))
	}
}
