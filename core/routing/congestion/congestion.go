// Package congestion estimates how congested the links of hosts are from the sizes and durations of their
// answers. It does no I/O and reads no clock.
//
// A router that is one of hundreds has few requests in flight at any host, and the duration of an answer says
// more about its size than about the host. Dividing the duration by the size gives the pace of the link, so
// one answer is enough. The usual pace is learned from the cache hits of all hosts together, and the slowdown
// of a host is its own pace divided by the usual pace. What is known of a host decays towards no slowdown.
// Otherwise a host that gets no requests because it was slow would never be tried again.
package congestion

import "math"

const (
	minKB      = 0.05  // KB; the duration of a smaller answer shows its latency rather than the pace
	minElapsed = 0.005 // seconds; shorter durations also show the latency rather than the pace

	usualPaceQuantile = 0.3 // share of hits that are faster than the usual pace; most hosts are not congested
	usualPaceStep     = 0.1 // maximum relative change of the usual pace by one hit; about ten hits can double it
)

// CongestedSlowdown is the slowdown above which a link has more transfers than it can carry in time: twice as
// many as at full pace. Latency objectives leave about this much headroom.
const CongestedSlowdown = 2.0

// Cause tells what is responsible for a late fill.
type Cause int

// These are the causes.
const (
	CauseUnknown Cause = iota
	CauseSource        // only its source is slow
	CauseIngress       // fills are slow from every source
)

// Tracker learns the usual pace and the state of the ingress, the links that all fills share. The zero value
// knows nothing. Callers own the links and pass them to its methods. It is not safe for concurrent use.
type Tracker struct {
	usualPace float64 // seconds per KB; 0 before the first hit
	ingress   ingress
}

// ExpectedTime returns the duration in seconds of a transfer at the usual pace, or 0 while that pace is
// unknown.
func (t *Tracker) ExpectedTime(kb float64) float64 { return t.usualPace * kb }

// Slowdown returns how many times slower than usual a link is. It is at least 1, and 1 if nothing is known.
func (t *Tracker) Slowdown(now float64, link *Link) float64 { return 1 + link.excess(now) }

// ObserveHit records that a host answered from its cache with kb KB in elapsed seconds.
func (t *Tracker) ObserveHit(now float64, link *Link, kb, elapsed float64) {
	if kb < minKB || elapsed < minElapsed {
		return
	}
	t.learnUsual(elapsed / kb)
	link.learn(now, elapsed/kb/t.usualPace)
}

// learnUsual moves the usual pace towards the usualPaceQuantile quantile of all paces.
func (t *Tracker) learnUsual(pace float64) {
	switch {
	case t.usualPace == 0:
		t.usualPace = pace
	case pace < t.usualPace:
		t.usualPace *= 1 - usualPaceStep*(1-usualPaceQuantile)
	default:
		t.usualPace *= 1 + usualPaceStep*usualPaceQuantile
	}
}

// ObserveFill records that a host answered with kb KB that it filled from a source at the same time. elapsed
// is the time in seconds since the first byte of the fill. The source and the ingress are charged with what
// the slowdown of the host does not explain.
func (t *Tracker) ObserveFill(now float64, link, source *Link, kb, elapsed float64) {
	if kb < minKB || elapsed < minElapsed || t.usualPace == 0 {
		return
	}
	slowdown := elapsed / kb / t.usualPace / t.Slowdown(now, link)
	t.ingress.learn(now, slowdown)
	source.isSource = true
	source.learn(now, slowdown/t.IngressSlowdown(now))
}

// ObserveUnfinishedFill records that a fill of kb KB, as far as its size is known, has not finished within
// elapsed seconds. It has no effect as long as the known slowdown of the ingress or of the source explains
// that.
func (t *Tracker) ObserveUnfinishedFill(now float64, link, source *Link, kb, elapsed float64) {
	if t.usualPace > 0 && elapsed > kb*t.usualPace*math.Max(t.IngressSlowdown(now), t.Slowdown(now, source)) {
		t.ObserveFill(now, link, source, kb, elapsed)
	}
}

// ObserveRejection records that a source rejected a fill.
func (t *Tracker) ObserveRejection(now float64, source *Link) {
	source.isSource = true
	source.learn(now, rejectionSlowdown)
}

// IngressSlowdown returns how many times slower than usual the ingress is. It is at least 1.
func (t *Tracker) IngressSlowdown(now float64) float64 { return 1 + t.ingress.medianExcess(now) }

// LateCause returns the cause of a late fill from a source.
func (t *Tracker) LateCause(now float64, source *Link) Cause {
	switch {
	// The ingress is checked first: fills that were slow before its congestion was known count against their
	// sources.
	case t.IngressSlowdown(now) > CongestedSlowdown:
		return CauseIngress
	case t.Slowdown(now, source) > CongestedSlowdown:
		return CauseSource
	}
	return CauseUnknown
}

// IngressExcess returns the share of the fills in flight that exceeds what the ingress can carry in time.
func (t *Tracker) IngressExcess(now float64) float64 {
	return math.Max(0, 1-CongestedSlowdown/t.IngressSlowdown(now))
}

// FillShare returns the share of misses that may fill while the ingress is congested; it is 1 while it is not.
// Guards against many routers that each stay within their minimum limit but together fill the ingress with
// late transfers.
func (t *Tracker) FillShare(now float64) float64 {
	carried := math.Min(1, CongestedSlowdown/t.IngressSlowdown(now))
	return carried * carried
}

// IngressHasSpare reports whether the ingress is known to have spare capacity. It is false if answers report
// no sizes, because nothing is known then.
func (t *Tracker) IngressHasSpare(now float64) bool {
	return t.usualPace > 0 && t.IngressSlowdown(now) < (1+CongestedSlowdown)/2
}
