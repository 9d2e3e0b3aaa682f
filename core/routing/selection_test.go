package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestOrdinaryPath(t *testing.T) {
	r, rec := newCluster(nil)
	other, otherRec := newCluster(func(s *Settings) { s.Seed, s.Index = 9, 1 })
	steady := traffic{from: 0, to: 30, interval: 0.1, respond: alwaysHit}
	steady.run(r, rec)
	steady.run(other, otherRec)
	assert.Equal(t, rec.attempts, otherRec.attempts, "all routers choose the same hosts")
	sent := map[uint32]int{}
	for _, a := range rec.attempts {
		sent[a.Host]++
		sent[a.Source]++
	}
	for id, want := range map[uint32]int{cacheA: 100, cacheB: 100, cacheC: 100, parentA: 150, parentB: 150} {
		assert.InDelta(t, want, sent[id], 45, "attempts at host %d", id)
	}
}

func TestCopiesFollowDemand(t *testing.T) {
	for _, tt := range []struct {
		name string
		hot  int     // of ten requests, how many are for the one object
		idle float64 // s; before the copies are counted
		want int     // copies
	}{
		{"a fifth of the requests: one cache of three", 2, 0, 1},
		{"half of them: two caches", 5, 0, 2},
		{"nine tenths: three caches", 9, 0, 3},
		{"one cache again once the window has passed", 9, 12, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, _ := newCluster(nil)
			for i := range uint32(100) {
				object := fmt.Sprint("o", i)
				if int(i%10) < tt.hot {
					object = "hot"
				}
				submit(r, float64(i)/20, i, object)
				respond(r, float64(i)/20+0.01, i, 0, Succeeded, CacheHit)
			}
			submit(r, 5+tt.idle, 1000, "hot")
			assert.Equal(t, tt.want, r.demand.copies(r.now, r.requests.byID[1000], 3))
		})
	}
}

func TestCongestionDoesNotPassForSize(t *testing.T) {
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

func TestMovesOnOnlyToAMuchIdlerCache(t *testing.T) {
	for _, tt := range []struct {
		name       string
		known      bool    // weights are known; else serving times are learned
		own, other float64 // s; makespan of the preferred cache, and of the others
		diverted   bool
	}{
		{"preferred cache within the objective", true, 0.4, 0, false},
		{"preferred cache over it, others hardly less", true, 2, 1.5, false},
		{"preferred cache over it, others at a fraction", true, 2, 0.5, true},
		{"preferred cache congested by other routers alone", false, 3, 0.1, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, rec := newCluster(func(s *Settings) { s.WeightsKnown, s.TransferRateKB = tt.known, 100 })
			submit(r, 1, 7, "a")
			preferred := rec.last().Host
			respond(r, 1, 7, 0, Succeeded, CacheHit)
			for _, h := range r.endpoints.caches {
				h.serving.makespan = map[bool]float64{true: tt.own, false: tt.other}[h.ID == preferred]
				h.serving.makespanAt, h.serving.learned = 1, decayingMean{h.serving.makespan, 1}
			}
			submit(r, 1, 8, "a")
			assert.Equal(t, tt.diverted, rec.last().Host != preferred, "sent to another cache")
		})
	}
}
