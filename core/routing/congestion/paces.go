// Package congestion tells from the bytes and times of answers how crowded hosts are. It is pure: no I/O and no clock.
//
// A dispatcher among hundreds has hardly anything out at one host, and an answer's time alone tells more of its size
// than of the host. Its bytes tell the size, so one answer is enough: time over bytes is the pace at which the host's
// link let it through. The usual pace is learned from all hosts' hits together, and a host counts as so many times as
// slow as that. What is known of a host fades towards the usual pace, or a host that nothing is sent to for its
// slowness would never be asked again.
package congestion

import (
	"math"
	"slices"
)

const (
	leastKB  = 0.05  // KB; of fewer bytes an answer's time tells the way, not the pace
	leastFor = 0.005 // s; the same for shorter answers
	quantile = 0.3   // share of hits that are faster than the usual pace: most hosts are not crowded
	step     = 0.1   // share by which one hit moves the usual pace at most: some ten hits double it
	learn    = 0.5   // share; least weight of one answer in a host's pace: two that agree are believed
	holds    = 4.0   // s; after which half of what is known of a host has faded: crowds come and go in seconds
	holdsFar = 12.0  // s; the same of a source, of which one dispatcher among hundreds hears each ten seconds
	recent   = 5     // fills whose median tells of the way in: one slow source among them does not
	refused  = 4.0   // times as slow as usual that a source counts as which turned a fill away
	most     = 32.0  // times as slow as usual; one answer that stood still must not be remembered for a minute
)

// Crowded is the multiple of the usual pace from which on a link has more transfers than it carries in time: as many
// again as at full pace. Latency objectives leave room for about so much.
const CongestedSlowdown = 2.0

// Cause is what a late fill is laid on.
type Cause int

// What it can be. Unknown is the zero value.
const (
	CauseUnknown Cause = iota
	CauseSource        // it alone is slow
	CauseIngress       // fills are, whichever source they come from
)

// Link is what is known of one host. The zero value is a host of which nothing is known.
type Link struct {
	over float64 // how much slower than usual it is, 0 for as usual, as of at
	n    float64 // answers that tell it, as of at
	at   float64
	far  bool // it was a source last
}

// Tracker is what is known of all. The zero value knows nothing.
type Tracker struct {
	usual float64 // s a KB
	fills [recent]told
	next  int // place in fills
}

// told is how much slower than usual a fill was, as of a moment.
type told struct{ over, at float64 }

// ExpectedTime is the time in seconds that so many KB take at the usual pace, 0 as long as that is not known.
func (p *Tracker) ExpectedTime(kb float64) float64 { return p.usual * kb }

// Slowdown is how many times as slow as usual a host is, 1 at least; 1 where nothing is known.
func (p *Tracker) Slowdown(now float64, of *Link) float64 { return 1 + of.rest(now) }

// ObserveHit takes in that a host returned so many KB of its own in so many seconds.
func (p *Tracker) ObserveHit(now float64, of *Link, kb, took float64) {
	if kb < leastKB || took < leastFor {
		return
	}
	if x := took / kb; p.usual == 0 {
		p.usual = x
	} else if x < p.usual {
		p.usual *= 1 - step*(1-quantile)
	} else {
		p.usual *= 1 + step*quantile
	}
	of.learn(now, took/kb/p.usual)
}

// ObserveFill takes in that a host returned so many KB that it got from a source meanwhile, so many seconds after the first
// of them. What the host's own pace does not explain is its source's.
func (p *Tracker) ObserveFill(now float64, of, source *Link, kb, took float64) {
	if kb < leastKB || took < leastFor || p.usual == 0 {
		return
	}
	slow := took / kb / p.usual / p.Slowdown(now, of)
	p.fills[p.next] = told{math.Min(most, math.Max(1, slow)) - 1, now}
	p.next = (p.next + 1) % recent
	source.far = true
	source.learn(now, slow/p.IngressSlowdown(now))
}

// ObserveUnfinishedFill takes in that a fill of so many KB, as far as known, has not come in so many seconds.
func (p *Tracker) ObserveUnfinishedFill(now float64, of, source *Link, kb, took float64) {
	if p.usual > 0 && took > kb*p.usual*math.Max(p.IngressSlowdown(now), p.Slowdown(now, source)) {
		p.ObserveFill(now, of, source, kb, took)
	}
}

// IngressSlowdown is how many times as slow as usual the way in is, 1 at least: the median of the last fills, each faded.
func (p *Tracker) IngressSlowdown(now float64) float64 {
	var overs [recent]float64
	for i, f := range p.fills {
		if f.over > 0 { // most fills are as usual, and each GET asks
			overs[i] = f.over * math.Exp2(-math.Max(0, now-f.at)/holds)
		}
	}
	slices.Sort(overs[:])
	return 1 + overs[recent/2]
}

// ObserveRejection takes in that a source turned a fill away.
func (p *Tracker) ObserveRejection(now float64, source *Link) {
	source.far = true
	source.learn(now, refused)
}

func (c *Link) learn(now, slow float64) {
	over, rest := math.Min(most, math.Max(1, slow))-1, c.rest(now)
	c.n = 1 + c.n*c.kept(now)
	c.over, c.at = rest+(over-rest)*math.Max(learn, 1/c.n), now
}

// rest is what has not faded.
func (c *Link) rest(now float64) float64 {
	if c.over == 0 {
		return 0
	}
	return c.over * c.kept(now)
}

// kept is the share of what is known that has not faded.
func (c *Link) kept(now float64) float64 {
	hold := holds
	if c.far {
		hold = holdsFar
	}
	return math.Exp2(-math.Max(0, now-c.at) / hold)
}

// LateCause tells what a late fill from a source is laid on.
func (p *Tracker) LateCause(now float64, source *Link) Cause {
	switch {
	case p.IngressSlowdown(now) > CongestedSlowdown: // first: what came slowly before that was known stands with the sources
		return CauseIngress
	case p.Slowdown(now, source) > CongestedSlowdown:
		return CauseSource
	}
	return CauseUnknown
}

// IngressExcess is the share of what fills at a time that is more than the way in carries in time.
func (p *Tracker) IngressExcess(now float64) float64 {
	return math.Max(0, 1-CongestedSlowdown/p.IngressSlowdown(now))
}

// FillShare is the share of misses that may fill while the way in is crowded, 1 while it is not. Guards against many
// dispatchers that each keep to the least limit, and together fill the way in with what comes late.
func (p *Tracker) FillShare(now float64) float64 {
	part := math.Min(1, CongestedSlowdown/p.IngressSlowdown(now))
	return part * part
}

// IngressHasSpare tells whether the way in is known to carry more; where answers tell no bytes nothing is known.
func (p *Tracker) IngressHasSpare(now float64) bool {
	return p.usual > 0 && p.IngressSlowdown(now) < (1+CongestedSlowdown)/2
}
