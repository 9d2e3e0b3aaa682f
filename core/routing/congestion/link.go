package congestion

import (
	"math"
	"slices"
)

const (
	// minSampleWeight is the minimum weight of one answer in the slowdown of a link, so that two answers that
	// agree dominate it.
	minSampleWeight = 0.5
	// halfLife is the time in seconds after which half of what is known of a link has decayed. Congestion
	// comes and goes within seconds.
	halfLife = 4.0
	// sourceHalfLife is the same for a source, in seconds. It is longer because one router among hundreds gets
	// an answer from a source only every ten seconds.
	sourceHalfLife    = 12.0
	rejectionSlowdown = 4.0  // slowdown that is recorded for a source that rejected a fill
	maxSlowdown       = 32.0 // limit, so that one answer that took very long is not remembered for a minute
	// recentFillCount is the number of fills whose median describes the ingress. With the median, one slow
	// source among them has no effect.
	recentFillCount = 5
)

// Link is what is known of the link of one host. The zero value means that nothing is known.
type Link struct {
	excessSlowdown float64 // slowdown minus 1, as of sampledAt
	samples        float64 // decayed number of answers behind it, as of sampledAt
	sampledAt      float64 // seconds
	isSource       bool    // whether the last sample was of a fill from this host
}

// learn records one slowdown.
func (l *Link) learn(now, slowdown float64) {
	sample, known := clampExcess(slowdown), l.excess(now)
	l.samples = 1 + l.samples*l.remaining(now)
	l.excessSlowdown, l.sampledAt = known+(sample-known)*math.Max(minSampleWeight, 1/l.samples), now
}

// excess returns the decayed slowdown minus 1.
func (l *Link) excess(now float64) float64 {
	if l.excessSlowdown == 0 {
		return 0
	}
	return l.excessSlowdown * l.remaining(now)
}

// remaining returns the share of what is known that has not decayed.
func (l *Link) remaining(now float64) float64 {
	half := halfLife
	if l.isSource {
		half = sourceHalfLife
	}
	return math.Exp2(-math.Max(0, now-l.sampledAt) / half)
}

// clampExcess returns a slowdown minus 1, limited to the range that is remembered.
func clampExcess(slowdown float64) float64 { return math.Min(maxSlowdown, math.Max(1, slowdown)) - 1 }

// ingress holds what the latest fills show about the links that all fills share.
type ingress struct {
	fills [recentFillCount]fillSample
	next  int // position of the oldest entry in fills
}

// fillSample is the slowdown of one fill minus 1, with the time in seconds at which it was recorded.
type fillSample struct{ excessSlowdown, sampledAt float64 }

// learn records the slowdown of a fill in place of the oldest one.
func (i *ingress) learn(now, slowdown float64) {
	i.fills[i.next] = fillSample{clampExcess(slowdown), now}
	i.next = (i.next + 1) % recentFillCount
}

// medianExcess returns the median of the latest fills' slowdowns minus 1, each decayed by its age.
func (i *ingress) medianExcess(now float64) float64 {
	var decayed [recentFillCount]float64
	for position, fill := range i.fills {
		if fill.excessSlowdown > 0 { // most fills are as fast as usual, and this runs for each request
			decayed[position] = fill.excessSlowdown * math.Exp2(-math.Max(0, now-fill.sampledAt)/halfLife)
		}
	}
	slices.Sort(decayed[:])
	return decayed[recentFillCount/2]
}
