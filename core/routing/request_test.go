package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestOneFinalAnswer(t *testing.T) {
	for _, tt := range []struct {
		name          string
		effect        Idempotency
		shed, errored int
	}{
		{"idempotent is shed at its viewer timeout", Idempotent, 1, 0},
		{"non-idempotent still out is errored at it", NonIdempotent, 0, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, r := newCluster(func(s *Settings) { s.Services[0].Idempotency = tt.effect })
			ask(d, 1, 7, "a")
			tickTo(d, 1, 5.93)
			assert.Empty(t, append(r.shed, r.errored...))
			tickTo(d, 5.94, 5.96) // a delayed acknowledgement before the client leaves
			assert.Equal(t, []int{tt.shed, tt.errored}, []int{len(r.shed), len(r.errored)})
			forwards := len(r.forwards)
			for i := range r.forwards {
				answer(d, 6.1, 7, i, Canceled, NoNote)
			}
			tickTo(d, 6.1, 8)
			assert.Len(t, r.forwards, forwards, "nothing is sent after the final answer")
			assert.Equal(t, 1, len(r.shed)+len(r.errored))
			assert.Empty(t, d.requests.byID)
			assert.False(t, d.HandleResult(8, AttemptResult{RequestID: 7}), "the GET is forgotten")
		})
	}
}

func TestShedsAtOnceWithRetryAfter(t *testing.T) {
	for honoured, want := range map[float64]float64{0: 0, 0.1: 0.1, 3: 0.125} {
		d, r := newCluster(func(s *Settings) { s.MaxRetryAfter = honoured })
		d.UpdateEndpoints(1, ListChanges, []Endpoint{entry(cacheA, 0, Removed), entry(cacheB, 0, Draining), entry(cacheC, 0, Removed)})
		ask(d, 1, 7, "a")
		assert.Equal(t, []uint32{7}, r.shed)
		assert.Equal(t, want, r.retryAfter)
		assert.Empty(t, r.forwards)
	}
}

func TestARequestWithLittleTimeKeepsMostOfIt(t *testing.T) {
	for budget, last := range map[float64]float64{5: 4.95, 0.2: 0.15, 0.1: 0.075} {
		d, r := newCluster(nil)
		d.HandleRequest(1, Request{ID: 7, Object: "a", Deadline: 1 + budget})
		tickTo(d, 1, 1+last-0.001)
		assert.Empty(t, r.shed, "%v s", budget)
		tickTo(d, 1+last, 1+last+tickInterval)
		assert.Equal(t, []uint32{7}, r.shed, "%v s", budget)
	}
}
