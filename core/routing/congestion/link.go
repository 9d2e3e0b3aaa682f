package congestion

import (
	"math"
	"slices"
)

const (
	// share; least weight of one answer in a link's slowdown: two that agree are believed
	minSampleWeight = 0.5
	// s; after which half of what is known of a link has faded: congestion comes and goes in seconds
	halfLife = 4.0
	// s; the same of a source, of which one router among hundreds hears each ten seconds
	sourceHalfLife    = 12.0
	rejectionSlowdown = 4.0  // slowdown that a source counts with which rejected a fill
	maxSlowdown       = 32.0 // one answer that stood still must not be remembered for a minute
	recentFills       = 5    // fills whose median tells of the ingress: one slow source among them does not
)

// Link is what is known of one host's link. The zero value is a link of which nothing is known.
type Link struct {
	slowerBy float64 // slowdown above 1, as of at
	samples  float64 // answers that tell it, as of at
	at       float64 // s
	isSource bool    // the last sample was of a fill from it
}

// learn takes in one slowdown.
func (l *Link) learn(now, slowdown float64) {
	sample, known := clampExcess(slowdown), l.excess(now)
	l.samples = 1 + l.samples*l.remaining(now)
	l.slowerBy, l.at = known+(sample-known)*math.Max(minSampleWeight, 1/l.samples), now
}

// excess is the slowdown above 1 that has not faded.
func (l *Link) excess(now float64) float64 {
	if l.slowerBy == 0 {
		return 0
	}
	return l.slowerBy * l.remaining(now)
}

// remaining is the share of what is known that has not faded.
func (l *Link) remaining(now float64) float64 {
	half := halfLife
	if l.isSource {
		half = sourceHalfLife
	}
	return math.Exp2(-math.Max(0, now-l.at) / half)
}

// clampExcess is a slowdown above 1, within what is remembered.
func clampExcess(slowdown float64) float64 { return math.Min(maxSlowdown, math.Max(1, slowdown)) - 1 }

// ingress is what the latest fills tell of the links that all fills share.
type ingress struct {
	fills [recentFills]fillSample
	next  int // place of the oldest in fills
}

// fillSample is the slowdown above 1 of one fill, as of a moment.
type fillSample struct{ slowerBy, at float64 }

func (i *ingress) learn(now, slowdown float64) {
	i.fills[i.next] = fillSample{clampExcess(slowdown), now}
	i.next = (i.next + 1) % recentFills
}

// medianExcess is the median of the latest fills' slowdowns above 1, each faded.
func (i *ingress) medianExcess(now float64) float64 {
	var faded [recentFills]float64
	for place, fill := range i.fills {
		if fill.slowerBy > 0 { // most fills are as usual, and each request asks
			faded[place] = fill.slowerBy * math.Exp2(-math.Max(0, now-fill.at)/halfLife)
		}
	}
	slices.Sort(faded[:])
	return faded[recentFills/2]
}
