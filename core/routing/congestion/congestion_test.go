package congestion_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"elderwall/core/routing/congestion"
)

// newTrained returns a tracker and its cache after hits of several sizes at the usual pace of 0.2 seconds per
// KB.
func newTrained() (tracker congestion.Tracker, cache congestion.Link) {
	for i := range 50 {
		kb := float64(1 + i%7)
		tracker.ObserveHit(float64(i)*0.1, &cache, kb, 0.2*kb)
	}
	return tracker, cache
}

// One answer must show that a host is congested whatever its size, and the slow transfer of a large object
// must not look like congestion.
func TestOneAnswerShowsCongestion(t *testing.T) {
	for _, kb := range []float64{0.3, 3, 200} {
		tracker, _ := newTrained()
		var host, other congestion.Link
		assert.InDelta(t, 0.2*kb, tracker.ExpectedTime(kb), 0.02*kb)
		assert.Equal(t, 1.0, tracker.Slowdown(5, &host), "nothing is known of the host")
		tracker.ObserveHit(5, &other, kb, 0.2*kb)
		assert.InDelta(t, 1, tracker.Slowdown(5, &other), 0.1)
		tracker.ObserveHit(5, &host, kb, 0.2*kb*4)
		assert.InDelta(t, 4, tracker.Slowdown(5, &host), 0.4)
		tracker.ObserveHit(5.1, &host, kb, 0.2*kb)
		assert.Less(t, tracker.Slowdown(5.1, &host), 2.7, "an answer at the usual pace halves it")
		assert.Less(t, tracker.Slowdown(30, &host), 1.1, "the slowdown decays")
	}
}

// observeFill records a fill of 3 KB, which usually takes 0.6 seconds. A slowdown of 0 means a fill that never
// ends, and a negative one means a rejection.
func observeFill(tracker *congestion.Tracker, now float64, cache, source *congestion.Link, slowdown float64) {
	const sizeKB, usual = 3, 0.6 // KB; seconds
	switch {
	case slowdown < 0:
		tracker.ObserveRejection(now, source)
	case slowdown == 0:
		tracker.ObserveUnfinishedFill(now, cache, source, sizeKB, 0.5) // not late yet
		tracker.ObserveUnfinishedFill(now, cache, source, sizeKB, usual*8)
	default:
		tracker.ObserveFill(now, cache, source, sizeKB, usual*slowdown)
	}
}

// A late fill must be charged to its source only if that source alone is slow, and to the ingress if fills from
// all sources are slow.
func TestLateFillCauses(t *testing.T) {
	const unknown, source, ingress = congestion.CauseUnknown, congestion.CauseSource, congestion.CauseIngress
	for _, tt := range []struct {
		name     string
		slowdown [4]float64 // by source, as for observeFill
		causes   [4]congestion.Cause
		ingress  float64 // expected slowdown of the ingress
	}{
		{
			"nothing",
			[4]float64{1, 1, 1, 1},
			[4]congestion.Cause{unknown, unknown, unknown, unknown},
			1,
		},
		{
			"one source of four",
			[4]float64{5, 1, 1, 1},
			[4]congestion.Cause{source, unknown, unknown, unknown},
			1,
		},
		{
			"a source that rejects",
			[4]float64{1, -1, 1, 1},
			[4]congestion.Cause{unknown, source, unknown, unknown},
			1,
		},
		{
			"the ingress",
			[4]float64{8, 8, 8, 8},
			[4]congestion.Cause{ingress, ingress, ingress, ingress},
			8,
		},
		{ // fills that finish in time would show another cause
			"fills that never end",
			[4]float64{},
			[4]congestion.Cause{ingress, ingress, ingress, ingress},
			8,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tracker, cache := newTrained()
			assert.Equal(t, 1.0, tracker.FillShare(5))
			assert.Zero(t, tracker.IngressExcess(5))
			var sources [4]congestion.Link
			now := 5.0
			for i := range 40 {
				now += 0.5
				observeFill(&tracker, now, &cache, &sources[i%4], tt.slowdown[i%4])
			}
			for i := range sources {
				assert.Equal(t, tt.causes[i], tracker.LateCause(now, &sources[i]), "cause of late fills from source %d", i)
			}
			assert.InDelta(t, tt.ingress, tracker.IngressSlowdown(now), tt.ingress/4)
			assert.InDelta(t, math.Min(1, 4/tt.ingress/tt.ingress), tracker.FillShare(now), 0.05)
			assert.InDelta(t, math.Max(0, 1-2/tt.ingress), tracker.IngressExcess(now), 0.1)
			assert.Equal(t, tt.ingress == 1, tracker.IngressHasSpare(now))
			assert.Equal(t, 1.0, tracker.FillShare(now+20), "without further fills the slowdown decays")
		})
	}
}

// Durations, shares and slowdowns must stay finite and within their ranges, whatever is observed.
func TestEstimatesStayInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker congestion.Tracker
		hosts, now := make([]congestion.Link, 3), 0.0
		for range rapid.IntRange(1, 60).Draw(t, "answers") {
			now += rapid.Float64Range(-1, 30).Draw(t, "later")
			kb, elapsed := rapid.Float64Range(0, 240).Draw(t, "kb"), rapid.Float64Range(-1, 100).Draw(t, "took")
			host, source := &hosts[rapid.IntRange(0, 2).Draw(t, "host")], &hosts[rapid.IntRange(0, 2).Draw(t, "source")]
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				tracker.ObserveHit(now, host, kb, elapsed)
			case 1:
				tracker.ObserveFill(now, host, source, kb, elapsed)
			case 2:
				tracker.ObserveUnfinishedFill(now, host, source, kb, elapsed)
			case 3:
				tracker.ObserveRejection(now, source)
			}
			slowdown, ingress := tracker.Slowdown(now, host), tracker.IngressSlowdown(now)
			share, excess, expected := tracker.FillShare(now), tracker.IngressExcess(now), tracker.ExpectedTime(kb)
			inRange := slowdown >= 1 && slowdown <= 33 && ingress >= 1 && ingress <= 33 &&
				share > 0 && share <= 1 && excess >= 0 && excess < 1
			if !inRange || math.IsInf(expected, 0) {
				t.Fatalf("slowdown %g, ingress slowdown %g, fill share %g, excess %g, expected %g s",
					slowdown, ingress, share, excess, expected)
			}
		}
	})
}
