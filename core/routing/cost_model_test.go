package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against congestion being mistaken for large objects: slow answers would raise the latency objective,
// and nothing would count as late.
func TestCongestionDoesNotRaiseObjective(t *testing.T) {
	r, _ := newCluster(nil)
	for i := range uint32(50) {
		submit(r, 1, i, "hot")
	}
	for i := range uint32(50) {
		r.HandleResult(5, AttemptResult{RequestID: i, Outcome: Succeeded, Note: CacheHit, Elapsed: 4, Final: true})
	}
	r.HandleRequest(5, Request{ID: 99, Object: "hot", Deadline: 10})
	assert.LessOrEqual(t, r.costs.objective(r.requests.byID[99]), 1.0)
}
