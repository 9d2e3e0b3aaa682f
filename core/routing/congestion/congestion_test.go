package congestion_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"elderwall/core/routing/congestion"
)

// warmedUp is what a dispatcher knows after hits of many sizes at the usual pace of 0.2 s a KB.
func warmedUp() (tracker congestion.Tracker, cache congestion.Link) {
	for i := range 50 {
		kb := float64(1 + i%7)
		tracker.ObserveHit(float64(i)*0.1, &cache, kb, 0.2*kb)
	}
	return tracker, cache
}

// One answer tells that a host is crowded, whatever its size: large objects are no crowd, which their times alone would be.
func TestOneAnswerTellsThatAHostIsCongested(t *testing.T) {
	for _, kb := range []float64{0.3, 3, 200} {
		tracker, _ := warmedUp()
		var host, other congestion.Link
		assert.InDelta(t, 0.2*kb, tracker.ExpectedTime(kb), 0.02*kb)
		assert.Equal(t, 1.0, tracker.Slowdown(5, &host), "nothing is known")
		tracker.ObserveHit(5, &other, kb, 0.2*kb)
		assert.InDelta(t, 1, tracker.Slowdown(5, &other), 0.1)
		tracker.ObserveHit(5, &host, kb, 0.2*kb*4)
		assert.InDelta(t, 4, tracker.Slowdown(5, &host), 0.4)
		tracker.ObserveHit(5.1, &host, kb, 0.2*kb)
		assert.Less(t, tracker.Slowdown(5.1, &host), 2.7, "another that was as usual halves it")
		assert.Less(t, tracker.Slowdown(30, &host), 1.1, "and it fades")
	}
}

func TestLateFillsAreBlamedOnWhatIsSlow(t *testing.T) {
	const u, s, w = congestion.CauseUnknown, congestion.CauseSource, congestion.CauseIngress
	for _, tt := range []struct {
		name  string
		slow  [4]float64 // of each source; 0 for fills that do not come, negative for refusals
		blame [4]congestion.Cause
		in    float64
	}{
		{"nothing", [4]float64{1, 1, 1, 1}, [4]congestion.Cause{u, u, u, u}, 1},
		{"one source of four", [4]float64{5, 1, 1, 1}, [4]congestion.Cause{s, u, u, u}, 1},
		{"a source that refuses", [4]float64{1, -1, 1, 1}, [4]congestion.Cause{u, s, u, u}, 1},
		{"the way in", [4]float64{8, 8, 8, 8}, [4]congestion.Cause{w, w, w, w}, 8},
		{"fills that do not come", [4]float64{}, [4]congestion.Cause{w, w, w, w}, 8}, // only quick ones would tell else
	} {
		t.Run(tt.name, func(t *testing.T) {
			tracker, cache := warmedUp()
			assert.Equal(t, 1.0, tracker.FillShare(5))
			assert.Zero(t, tracker.IngressExcess(5))
			var sources [4]congestion.Link
			now := 5.0
			for i := range 40 {
				now += 0.5
				switch slow, source := tt.slow[i%4], &sources[i%4]; {
				case slow < 0:
					tracker.ObserveRejection(now, source)
				case slow == 0:
					tracker.ObserveUnfinishedFill(now, &cache, source, 3, 0.5) // which is not late yet
					tracker.ObserveUnfinishedFill(now, &cache, source, 3, 0.6*8)
				default:
					tracker.ObserveFill(now, &cache, source, 3, 0.6*slow)
				}
			}
			for i := range sources {
				assert.Equal(t, tt.blame[i], tracker.LateCause(now, &sources[i]), "source %d", i)
			}
			assert.InDelta(t, tt.in, tracker.IngressSlowdown(now), tt.in/4)
			assert.InDelta(t, math.Min(1, 4/tt.in/tt.in), tracker.FillShare(now), 0.05)
			assert.InDelta(t, math.Max(0, 1-2/tt.in), tracker.IngressExcess(now), 0.1)
			assert.Equal(t, tt.in == 1, tracker.IngressHasSpare(now))
			assert.Equal(t, 1.0, tracker.FillShare(now+20), "with no fill to tell of it, it fades")
		})
	}
}

// Whatever answers tell, times, shares and multiples stay finite and in their ranges.
func TestRangesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker congestion.Tracker
		hosts, now := make([]congestion.Link, 3), 0.0
		for range rapid.IntRange(1, 60).Draw(t, "answers") {
			now += rapid.Float64Range(-1, 30).Draw(t, "later")
			kb, took := rapid.Float64Range(0, 240).Draw(t, "kb"), rapid.Float64Range(-1, 100).Draw(t, "took")
			host, source := &hosts[rapid.IntRange(0, 2).Draw(t, "host")], &hosts[rapid.IntRange(0, 2).Draw(t, "source")]
			[]func(){
				func() { tracker.ObserveHit(now, host, kb, took) }, func() { tracker.ObserveFill(now, host, source, kb, took) },
				func() { tracker.ObserveUnfinishedFill(now, host, source, kb, took) }, func() { tracker.ObserveRejection(now, source) },
			}[rapid.IntRange(0, 3).Draw(t, "kind")]()
			slow, in, share, excess := tracker.Slowdown(now, host), tracker.IngressSlowdown(now), tracker.FillShare(now), tracker.IngressExcess(now)
			if !(slow >= 1 && slow <= 33 && in >= 1 && in <= 33 && share > 0 && share <= 1 && excess >= 0 && excess < 1) ||
				math.IsInf(tracker.ExpectedTime(kb), 0) {
				t.Fatalf("%g and %g times as slow, share %g, excess %g, expected %g", slow, in, share, excess, tracker.ExpectedTime(kb))
			}
		}
	})
}
