package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A request is given up a margin before its deadline. Guards against a fixed margin that would use up most of
// the time of a request with a short deadline.
func TestAnswerMarginShrinksForShortDeadlines(t *testing.T) {
	for timeLeft, shedAfter := range map[float64]float64{5: 4.95, 0.2: 0.15, 0.1: 0.075} {
		r, rec := newCluster(nil)
		r.HandleRequest(1, Request{ID: 7, Object: "a", Deadline: 1 + timeLeft})
		runTimers(r, 1, 1+shedAfter-0.001)
		assert.Empty(t, rec.shed, "%v s to the deadline: shed too early", timeLeft)
		runTimers(r, 1+shedAfter, 1+shedAfter+tickInterval)
		assert.Equal(t, []uint32{7}, rec.shed, "%v s to the deadline: shed once", timeLeft)
	}
}
