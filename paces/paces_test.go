package paces_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"elderwall/paces"
)

// used is what a dispatcher knows after hits of many sizes at the usual pace of 0.2 s a KB.
func used() (p paces.Paces, cache paces.Pace) {
	for i := range 50 {
		kb := float64(1 + i%7)
		p.Hit(float64(i)*0.1, &cache, kb, 0.2*kb)
	}
	return p, cache
}

func TestOneAnswerTellsThatAHostIsCrowdedWhateverItsSize(t *testing.T) {
	for _, kb := range []float64{0.3, 3, 60} {
		p, _ := used()
		var host paces.Pace
		assert.InDelta(t, 0.2*kb, p.Expected(kb), 0.02*kb)
		assert.Equal(t, 1.0, p.Slow(5, &host), "nothing is known")
		p.Hit(5, &host, kb, 0.2*kb*4)
		assert.InDelta(t, 4, p.Slow(5, &host), 0.4)
		p.Hit(5.1, &host, kb, 0.2*kb)
		assert.Less(t, p.Slow(5.1, &host), 2.7, "another that was as usual halves it")
		assert.Less(t, p.Slow(30, &host), 1.1, "and it fades")
	}
}

// The answers of a host that is as usual but has large objects are no sign of a crowd, which their times alone would be.
func TestLargeObjectsAreNoCrowd(t *testing.T) {
	p, _ := used()
	var host paces.Pace
	for i := range 10 {
		p.Hit(5+float64(i), &host, 200, 40)
	}
	assert.InDelta(t, 1, p.Slow(15, &host), 0.1)
}

// answered is fills from sources in turn, each with its pace; it gives when the last came.
func answered(p *paces.Paces, cache *paces.Pace, sources []paces.Pace, slow func(source int) float64, fills int) float64 {
	now := 5.0
	for i := range fills {
		now += 0.5
		p.Fill(now, cache, &sources[i%len(sources)], 3, 0.6*slow(i%len(sources)))
	}
	return now
}

func TestLateFillsAreLaidOnWhatIsSlow(t *testing.T) {
	tests := []struct {
		name  string
		slow  func(source int) float64
		blame map[int]paces.Blame // by source
	}{
		{"nothing", func(int) float64 { return 1 }, map[int]paces.Blame{0: paces.Unknown, 1: paces.Unknown}},
		{"one source of four", func(s int) float64 { return map[bool]float64{true: 5, false: 1}[s == 0] },
			map[int]paces.Blame{0: paces.Source, 1: paces.Unknown}},
		{"the way in", func(int) float64 { return 5 }, map[int]paces.Blame{1: paces.WayIn, 2: paces.WayIn, 3: paces.WayIn}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, cache := used()
			sources := make([]paces.Pace, 4)
			now := answered(&p, &cache, sources, tt.slow, 40)
			for s, want := range tt.blame {
				assert.Equal(t, want, p.Blame(now, &sources[s]), "source %d", s)
			}
		})
	}
}

func TestTheWayInIsClosedBySharesAndOpensByItself(t *testing.T) {
	p, cache := used()
	sources := make([]paces.Pace, 4)
	assert.Equal(t, 1.0, p.Share(5))
	assert.Zero(t, p.Excess(5))
	now := answered(&p, &cache, sources, func(int) float64 { return 8 }, 12)
	assert.InDelta(t, 8, p.In(now), 2)
	assert.InDelta(t, 0.75, p.Excess(now), 0.1)
	assert.InDelta(t, 1.0/16, p.Share(now), 0.05)
	assert.Equal(t, 1.0, p.Share(now+20), "with no fill to tell of it, it fades")
}

// A fill that never comes tells as much as one that came late: those that are given up would else leave only quick ones.
func TestFillsThatDoNotComeTellToo(t *testing.T) {
	p, cache := used()
	var source paces.Pace
	p.Unfinished(6, &cache, &source, 3, 0.5)
	assert.Equal(t, 1.0, p.Slow(6, &source), "it is not late yet")
	for i := range 5 {
		p.Unfinished(6+float64(i), &cache, &source, 3, 3)
	}
	assert.Greater(t, p.In(10), 3.0)
	p, _ = used()
	var refuses paces.Pace
	p.Refused(10, &refuses)
	assert.Equal(t, paces.Source, p.Blame(10, &refuses))
}

// Whatever answers tell, times, shares and multiples stay finite and in their ranges.
func TestRangesHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p paces.Paces
		hosts := make([]paces.Pace, 3)
		now := 0.0
		for range rapid.IntRange(1, 60).Draw(t, "answers") {
			now += rapid.Float64Range(-1, 30).Draw(t, "later")
			kb, took := rapid.Float64Range(0, 240).Draw(t, "kb"), rapid.Float64Range(-1, 100).Draw(t, "took")
			host, source := &hosts[rapid.IntRange(0, 2).Draw(t, "host")], &hosts[rapid.IntRange(0, 2).Draw(t, "source")]
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				p.Hit(now, host, kb, took)
			case 1:
				p.Fill(now, host, source, kb, took)
			case 2:
				p.Unfinished(now, host, source, kb, took)
			default:
				p.Refused(now, source)
			}
			for _, x := range []float64{p.Slow(now, host), p.In(now)} {
				if !(x >= 1) || x > 33 {
					t.Fatalf("%g times as slow", x)
				}
			}
			if s := p.Share(now); !(s > 0 && s <= 1) || p.Excess(now) < 0 || p.Excess(now) >= 1 || math.IsInf(p.Expected(kb), 0) {
				t.Fatalf("share %g, excess %g, expected %g", s, p.Excess(now), p.Expected(kb))
			}
		}
	})
}
