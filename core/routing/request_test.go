package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A request without any result is answered exactly once, shortly before its viewer timeout, and no attempt
// follows. Only a request that is safe to repeat is shed; any other fails.
func TestRequestHasExactlyOneFinalAnswer(t *testing.T) {
	for _, tt := range []struct {
		name         string
		idempotency  Idempotency
		shed, failed int
	}{
		{"idempotent: shed at its viewer timeout", Idempotent, 1, 0},
		{"non-idempotent in flight: failed at its viewer timeout", NonIdempotent, 0, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, rec := newCluster(func(s *Settings) { s.Services[0].Idempotency = tt.idempotency })
			submit(r, 1, 7, "a")
			runTimers(r, 1, 5.93)
			assert.Empty(t, append(rec.shed, rec.failed...), "no answer before the viewer timeout")
			// The request is answered at 5.95 s. That is answerMargin before its viewer timeout, and the margin
			// allows for a delayed acknowledgement.
			runTimers(r, 5.94, 5.96)
			assert.Equal(t, []int{tt.shed, tt.failed}, []int{len(rec.shed), len(rec.failed)})
			attempts := len(rec.attempts)
			for i := range rec.attempts {
				respond(r, 6.1, 7, i, Canceled, NoNote)
			}
			runTimers(r, 6.1, 8)
			assert.Len(t, rec.attempts, attempts, "no attempt is sent after the final answer")
			assert.Equal(t, 1, len(rec.shed)+len(rec.failed), "exactly one answer")
			assert.Empty(t, r.requests.byID)
			assert.False(t, r.HandleResult(8, AttemptResult{RequestID: 7}), "the request is forgotten")
		})
	}
}

// A request is shed immediately if no cache can be used, with a Retry-After of at most MaxRetryAfter.
func TestShedRequestCarriesRetryAfter(t *testing.T) {
	for maxRetryAfter, want := range map[float64]float64{0: 0, 0.1: 0.1, 3: 0.125} {
		r, rec := newCluster(func(s *Settings) { s.MaxRetryAfter = maxRetryAfter })
		r.UpdateEndpoints(1, ListChanges, []Endpoint{
			endpoint(cacheA, 0, Removed), endpoint(cacheB, 0, Draining), endpoint(cacheC, 0, Removed),
		})
		submit(r, 1, 7, "a")
		assert.Equal(t, []uint32{7}, rec.shed)
		assert.Equal(t, want, rec.retryAfter, "Retry-After of at most %v s", maxRetryAfter)
		assert.Empty(t, rec.attempts)
	}
}
