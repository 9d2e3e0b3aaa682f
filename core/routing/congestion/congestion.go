// Package congestion tells from the bytes and times of answers how congested the links of hosts are. It is
// pure: no I/O and no clock.
//
// A router among hundreds has hardly anything in flight at one host, and an answer's time alone tells more of
// its size than of the host. Its bytes tell the size, so one answer is enough: time over bytes is the pace at
// which the host's link let it through. The usual pace is learned from the cache hits of all hosts together,
// and a host's slowdown is its own pace over that. What is known of a host fades towards no slowdown, or a
// host that nothing is sent to for its slowness would never be tried again.
package congestion

import "math"

const (
	minKB      = 0.05  // KB; of fewer bytes an answer's time tells the latency, not the pace
	minElapsed = 0.005 // s; the same for shorter answers

	usualQuantile = 0.3 // share of hits that are faster than the usual pace: most hosts are not congested
	usualStep     = 0.1 // share by which one hit moves the usual pace at most: some ten hits double it
)

// CongestedSlowdown is the slowdown from which on a link has more transfers than it carries in time: as many
// again as at full pace. Latency objectives leave headroom for about so much.
const CongestedSlowdown = 2.0

// Cause is what a late fill is blamed on.
type Cause int

// The causes.
const (
	CauseUnknown Cause = iota
	CauseSource        // its source alone is slow
	CauseIngress       // fills are slow whichever source they come from
)

// Tracker learns the usual pace and the state of the ingress, the links that all fills share. The zero value
// knows nothing. Links are kept by their owners and handed in.
type Tracker struct {
	usual   float64 // s/KB; 0 before the first hit
	ingress ingress
}

// ExpectedTime is the time in seconds that a transfer takes at the usual pace; 0 as long as that is not
// known.
func (t *Tracker) ExpectedTime(kb float64) float64 { return t.usual * kb }

// Slowdown is how many times as slow as usual a link is, 1 at least; 1 where nothing is known.
func (t *Tracker) Slowdown(now float64, link *Link) float64 { return 1 + link.excess(now) }

// ObserveHit takes in that a host answered from its cache, with kb KB in elapsed seconds.
func (t *Tracker) ObserveHit(now float64, link *Link, kb, elapsed float64) {
	if kb < minKB || elapsed < minElapsed {
		return
	}
	t.learnUsual(elapsed / kb)
	link.learn(now, elapsed/kb/t.usual)
}

// learnUsual moves the usual pace towards the usualQuantile of all paces.
func (t *Tracker) learnUsual(pace float64) {
	switch {
	case t.usual == 0:
		t.usual = pace
	case pace < t.usual:
		t.usual *= 1 - usualStep*(1-usualQuantile)
	default:
		t.usual *= 1 + usualStep*usualQuantile
	}
}

// ObserveFill takes in that a host answered with kb KB which it filled from a source meanwhile, elapsed
// seconds after the first of them. What the host's own slowdown does not explain is its source's.
func (t *Tracker) ObserveFill(now float64, link, source *Link, kb, elapsed float64) {
	if kb < minKB || elapsed < minElapsed || t.usual == 0 {
		return
	}
	slowdown := elapsed / kb / t.usual / t.Slowdown(now, link)
	t.ingress.learn(now, slowdown)
	source.isSource = true
	source.learn(now, slowdown/t.IngressSlowdown(now))
}

// ObserveUnfinishedFill takes in that a fill of kb KB, as far as known, has not come in elapsed seconds.
func (t *Tracker) ObserveUnfinishedFill(now float64, link, source *Link, kb, elapsed float64) {
	if t.usual > 0 && elapsed > kb*t.usual*math.Max(t.IngressSlowdown(now), t.Slowdown(now, source)) {
		t.ObserveFill(now, link, source, kb, elapsed)
	}
}

// ObserveRejection takes in that a source rejected a fill.
func (t *Tracker) ObserveRejection(now float64, source *Link) {
	source.isSource = true
	source.learn(now, rejectionSlowdown)
}

// IngressSlowdown is how many times as slow as usual the ingress is, 1 at least.
func (t *Tracker) IngressSlowdown(now float64) float64 { return 1 + t.ingress.medianExcess(now) }

// LateCause tells what a late fill from a source is blamed on.
func (t *Tracker) LateCause(now float64, source *Link) Cause {
	switch {
	// first: fills that were slow before it was known count against their sources
	case t.IngressSlowdown(now) > CongestedSlowdown:
		return CauseIngress
	case t.Slowdown(now, source) > CongestedSlowdown:
		return CauseSource
	}
	return CauseUnknown
}

// IngressExcess is the share of the fills in flight that is more than the ingress carries in time.
func (t *Tracker) IngressExcess(now float64) float64 {
	return math.Max(0, 1-CongestedSlowdown/t.IngressSlowdown(now))
}

// FillShare is the share of misses that may fill while the ingress is congested, 1 while it is not. Guards
// against many routers that each keep to the least limit, and together fill the ingress with transfers that
// are late.
func (t *Tracker) FillShare(now float64) float64 {
	carried := math.Min(1, CongestedSlowdown/t.IngressSlowdown(now))
	return carried * carried
}

// IngressHasSpare reports whether the ingress is known to carry more; where answers tell no bytes nothing is
// known.
func (t *Tracker) IngressHasSpare(now float64) bool {
	return t.usual > 0 && t.IngressSlowdown(now) < (1+CongestedSlowdown)/2
}
