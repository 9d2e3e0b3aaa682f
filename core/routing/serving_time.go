package routing

import "math"

// servingTime estimates the makespan of a host: how long it needs to serve what was sent to it. Source:
// "Algorithm 2" of the Tero paper (docs/design.md).
type servingTime struct {
	makespan   float64      // seconds; valid at makespanAt and decreasing with time since then
	makespanAt float64      // seconds
	learned    decayingMean // seconds; time that the host takes for one request
}

// remaining returns the part of the makespan that is left at a time, in seconds.
func (s *servingTime) remaining(now float64) float64 {
	return math.Max(0, s.makespan-(now-s.makespanAt))
}

// extend adds the time of one more request to the makespan.
func (s *servingTime) extend(now, seconds float64) {
	s.makespan, s.makespanAt = s.remaining(now)+seconds, now
}

// servingTimes estimates makespans, and learns how long each host takes for a request if bandwidths are
// unknown.
type servingTimes struct {
	*environment
	endpoints *endpointTable
	costs     *costModel
	average   float64 // seconds; mean of the caches that have answered, as of the last update
}

// updateAverage updates the mean serving time of all caches that have answered.
func (s *servingTimes) updateAverage() {
	var all decayingMean
	for _, h := range s.endpoints.caches {
		if h.serving.learned.samples > 0 {
			all.add(h.serving.learned.mean, 0)
		}
	}
	s.average = all.mean
}

// learn updates a host's serving time from an answer: the time of the answer divided by the mean number of
// attempts that the host was serving meanwhile.
func (s *servingTimes) learn(a *attempt) {
	concurrent := math.Max(1, float64(a.concurrent+a.host.inFlight+1)/2)
	a.host.serving.learned.add(a.result.Elapsed/concurrent, servingTimeWeight)
}

// perRequest returns the time in seconds that one request adds to a host's makespan. A host that has not
// answered yet counts as average.
func (s *servingTimes) perRequest(h *host) float64 {
	learned := &h.serving.learned
	if learned.samples == 0 {
		return s.average
	}
	return h.health.group.ShrinkServingTime(s.now, learned.mean, learned.samples, s.average)
}

// makespan returns the makespan of a host, in seconds, for one more request as defined by the design, with
// two differences if the host's bandwidth is unknown. It does not wait for answers that have already arrived.
// It is at least the expected time of this request, because a host that other routers congest is slow even if
// this router has nothing in flight there.
func (s *servingTimes) makespan(q *request, h *host) float64 {
	remaining, perRequest := h.serving.remaining(s.now), s.perRequest(h)
	queued := float64(h.inFlight) * perRequest
	if s.endpoints.bandwidthKB(h) > 0 {
		return math.Max(remaining, queued)
	}
	alone := s.costs.expectedTime(q) * s.costs.congestion.Slowdown(s.now, &h.link)
	if alone == 0 {
		alone = perRequest
	}
	return math.Max(math.Min(remaining, queued), alone)
}

// addToMakespan adds a request that is being sent to a host to the makespan of the host.
func (s *servingTimes) addToMakespan(q *request, h *host) {
	seconds := s.perRequest(h)
	if bandwidth := s.endpoints.bandwidthKB(h); bandwidth > 0 {
		seconds = q.SizeKB / bandwidth
	}
	h.serving.extend(s.now, seconds)
}
