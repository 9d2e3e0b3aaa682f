package congestion_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"elderwall/core/routing/congestion"
)

// newTrained returns a tracker and its cache after hits of many sizes at the usual 0.2 s/KB.
func newTrained() (tracker congestion.Tracker, cache congestion.Link) {
	for i := range 50 {
		kb := float64(1 + i%7)
		tracker.ObserveHit(float64(i)*0.1, &cache, kb, 0.2*kb)
	}
	return tracker, cache
}

// One result shows that a host is congested, whatever the size: large objects do not look like congestion.
func TestOneAnswerTellsThatAHostIsCongested(t *testing.T) {
	for _, kb := range []float64{0.3, 3, 200} {
		tracker, _ := newTrained()
		var host, other congestion.Link
		assert.InDelta(t, 0.2*kb, tracker.ExpectedTime(kb), 0.02*kb)
		assert.Equal(t, 1.0, tracker.Slowdown(5, &host), "nothing is known of it")
		tracker.ObserveHit(5, &other, kb, 0.2*kb)
		assert.InDelta(t, 1, tracker.Slowdown(5, &other), 0.1)
		tracker.ObserveHit(5, &host, kb, 0.2*kb*4)
		assert.InDelta(t, 4, tracker.Slowdown(5, &host), 0.4)
		tracker.ObserveHit(5.1, &host, kb, 0.2*kb)
		assert.Less(t, tracker.Slowdown(5.1, &host), 2.7, "a result as usual halves it")
		assert.Less(t, tracker.Slowdown(30, &host), 1.1, "it fades")
	}
}

// observeFill observes a fill of 3 KB, which usually takes 0.6 s. A slowdown of 0 is a fill that never ends, a negative one a
// rejection.
func observeFill(tracker *congestion.Tracker, now float64, cache, source *congestion.Link, slowdown float64) {
	const sizeKB, usual = 3, 0.6 // s
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

func TestLateFillsAreBlamedOnWhatIsSlow(t *testing.T) {
	const unknown, source, ingress = congestion.CauseUnknown, congestion.CauseSource, congestion.CauseIngress
	for _, tt := range []struct {
		name     string
		slowdown [4]float64 // by source, as for observeFill
		causes   [4]congestion.Cause
		ingress  float64 // slowdown
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
		{ // only fills in time would tell otherwise
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
			assert.Equal(t, 1.0, tracker.FillShare(now+20), "with no more fills it fades")
		})
	}
}

// Whatever is observed, times, shares and slowdowns stay finite and in their ranges.
func TestRangesHold(t *testing.T) {
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
				t.Fatalf("slowdown %g, of the ingress %g, share %g, excess %g, expected %g s",
					slowdown, ingress, share, excess, expected)
			}
		}
	})
}
