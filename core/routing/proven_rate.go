package routing

import "math"

const (
	// provenSpan is the time in seconds over which it is counted what a host in slow start returns.
	provenSpan = 2.0
	// minProvenSpan is the shortest time in seconds that a proven rate is taken over.
	minProvenSpan = 1.0
	// provenGrowth is the multiple of its proven rate that a host may be sent, so that its load can grow with its ramp.
	provenGrowth = 1.5
	// unprovenShare is the share of the rate that a host is estimated to return now which needs no proof. The process that has
	// started may bear less.
	unprovenShare = 0.5
	// presumedUnprovenShare is the same for a host that is only presumed to have restarted. Few of them have.
	presumedUnprovenShare = 1.0
	// minUnprovenRequests is the number of requests in provenSpan up to which a router can't tell what a host bears.
	minUnprovenRequests = 2.0
	// fewUnprovenShare is unprovenShare for a router that sends no more than that. Where there are many routers, all of them
	// may be such.
	fewUnprovenShare = 0.75
)

// countReturned counts work that a host in slow start has returned, in seconds.
func (s *slowStart) countReturned(h *host, work float64) {
	if h.warmUp.active {
		h.warmUp.returned.add(s.now, provenSpan, work)
	}
}

// provenRate returns the rate, in seconds of work per second, that the present process of a host in slow start has lately
// returned to this router. All routers take it over the same time, so that the sum of their rates never exceeds what
// the host has returned, whichever of them its traffic came from.
func (s *slowStart) provenRate(h *host) float64 {
	returned := h.warmUp.returned.sum(s.now, provenSpan)
	span := math.Min(s.age(h), h.warmUp.returned.covered(s.now, provenSpan))
	return returned / math.Max(span, minProvenSpan)
}

// limitToProven limits what this router may send to a host in slow start, in seconds of work per second, to what the
// present process has proven to bear, apart from a part that needs no proof. Guards against a host that bears less than
// is estimated: its capacity may be less than before its restart, and what was returned to each router at
// different times, or for other mixes of requests, may add up to more than the host ever bore. Weights that are told are
// no estimate.
func (s *slowStart) limitToProven(h *host, rate, work float64, phase slowStartPhase) float64 {
	if s.WeightsKnown {
		return rate
	}
	share := unprovenShare
	if h.warmUp.cause == PresumedRestart {
		share = presumedUnprovenShare
	}
	returned := rate / phase.most // that the host is estimated to return now
	few := math.Min(minUnprovenRequests*work/provenSpan, fewUnprovenShare*returned)
	unproven := math.Max(share*returned, few)
	return math.Min(rate, math.Max(unproven, provenGrowth*s.provenRate(h)))
}
