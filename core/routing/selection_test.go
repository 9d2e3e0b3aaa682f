package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Routers with different seeds choose the same hosts for the same requests, and spread the load over all
// hosts.
func TestRoutersChooseSameHosts(t *testing.T) {
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

// A request leaves its preferred cache only if that cache exceeds the latency objective and another cache has
// a much lower makespan.
func TestRequestMovesOnlyToMuchIdlerCache(t *testing.T) {
	for _, tt := range []struct {
		name                             string
		weightsKnown                     bool    // whether weights are known; otherwise serving times are learned
		preferredMakespan, otherMakespan float64 // seconds; of the preferred cache, and of the other caches
		diverted                         bool
	}{
		{"preferred cache within the objective", true, 0.4, 0, false},
		{"preferred cache over it, others hardly less", true, 2, 1.5, false},
		{"preferred cache over it, others at a fraction", true, 2, 0.5, true},
		{"preferred cache congested by other routers alone", false, 3, 0.1, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, rec := newCluster(func(s *Settings) { s.WeightsKnown, s.TransferRateKB = tt.weightsKnown, 100 })
			submit(r, 1, 7, "a")
			preferred := rec.last().Host
			respond(r, 1, 7, 0, Succeeded, CacheHit)
			for _, h := range r.endpoints.caches {
				h.serving.makespan = map[bool]float64{true: tt.preferredMakespan, false: tt.otherMakespan}[h.ID == preferred]
				h.serving.makespanAt, h.serving.learned = 1, decayingMean{h.serving.makespan, 1}
			}
			submit(r, 1, 8, "a")
			assert.Equal(t, tt.diverted, rec.last().Host != preferred, "sent to another cache")
		})
	}
}
