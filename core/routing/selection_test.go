package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestOrdinaryPath(t *testing.T) {
	d, r := newCluster(nil)
	other, s := newCluster(func(s *Settings) { s.Seed, s.Index = 9, 1 })
	play(d, r, 0, 30, 0.1, 0, hit)
	play(other, s, 0, 30, 0.1, 0, hit)
	assert.Equal(t, r.forwards, s.forwards, "all routers share the orders")
	sent := map[uint32]int{}
	for _, f := range r.forwards {
		sent[f.Host]++
		sent[f.Source]++
	}
	for id, n := range map[uint32]int{cacheA: 100, cacheB: 100, cacheC: 100, parentA: 150, parentB: 150} {
		assert.InDelta(t, n, sent[id], 45, "host %d", id)
	}
}

func TestCopiesFollowDemand(t *testing.T) {
	for _, tt := range []struct {
		name  string
		hot   int // of ten GETs, how many are for the one object
		after float64
		want  int
	}{
		{"a fifth of the bytes: one cache of three", 2, 0, 1},
		{"half of them: two", 5, 0, 2},
		{"nine tenths: three", 9, 0, 3},
		{"and one again once the window has passed", 9, 12, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, _ := newCluster(nil)
			for i := range uint32(100) {
				object := fmt.Sprint("o", i)
				if int(i%10) < tt.hot {
					object = "hot"
				}
				ask(d, float64(i)/20, i, object)
				answer(d, float64(i)/20+0.01, i, 0, Succeeded, CacheHit)
			}
			ask(d, 5+tt.after, 1000, "hot")
			assert.Equal(t, tt.want, d.demand.copies(d.now, d.requests.byID[1000], 3))
		})
	}
}

func TestCongestionDoesNotPassForSize(t *testing.T) {
	d, _ := newCluster(nil)
	for i := range uint32(50) {
		ask(d, 1, i, "hot")
	}
	for i := range uint32(50) {
		d.HandleResult(5, AttemptResult{RequestID: i, Outcome: Succeeded, Note: CacheHit, Elapsed: 4, Final: true})
	}
	d.HandleRequest(5, Request{ID: 99, Object: "hot", Deadline: 10})
	assert.LessOrEqual(t, d.costs.objective(d.requests.byID[99]), 1.0)
}

func TestMovesOnOnlyToAMuchIdlerCache(t *testing.T) {
	for _, tt := range []struct {
		name       string
		told       bool // bandwidth; else serving times are learned
		own, other float64
		moves      bool
	}{
		{"own cache within the objective", true, 0.4, 0, false},
		{"own cache over it, others hardly less", true, 2, 1.5, false},
		{"own cache over it, others at a fraction", true, 2, 0.5, true},
		{"own cache crowded by others alone", false, 3, 0.1, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, r := newCluster(func(s *Settings) { s.WeightsKnown, s.TransferRateKB = tt.told, 100 })
			ask(d, 1, 7, "a")
			own := r.last().Host
			answer(d, 1, 7, 0, Succeeded, CacheHit)
			for _, h := range d.endpoints.caches {
				h.serving.makespan = map[bool]float64{true: tt.own, false: tt.other}[h.ID == own]
				h.serving.makespanAt, h.serving.learned = 1, decayingMean{h.serving.makespan, 1}
			}
			ask(d, 1, 8, "a")
			assert.Equal(t, tt.moves, r.last().Host != own)
		})
	}
}
