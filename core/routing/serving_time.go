package routing

import "math"

// servingTime is a host's estimated makespan: how long it needs for what was sent to it.
// Source: "Algorithm 2" of the Tero paper (docs/design.md).
type servingTime struct {
	makespan   float64 // s; as of makespanAt, drained by the clock since
	makespanAt float64 // s
	learned    decayingMean
}

// remaining is what is left of the makespan.
func (s *servingTime) remaining(now float64) float64 {
	return math.Max(0, s.makespan-(now-s.makespanAt))
}

// extend adds the time of one more request.
func (s *servingTime) extend(now, seconds float64) {
	s.makespan, s.makespanAt = s.remaining(now)+seconds, now
}

// servingTimes learns how long hosts need for a request where their bandwidth is not told.
type servingTimes struct {
	*environment
	endpoints *endpointTable
	costs     *costModel
	average   float64 // s; of the caches that have answered, as of the last survey
}

// survey takes the average of all caches.
func (s *servingTimes) survey() {
	var all decayingMean
	for _, h := range s.endpoints.caches {
		if h.serving.learned.samples > 0 {
			all.add(h.serving.learned.mean, 0)
		}
	}
	s.average = all.mean
}

// learn learns from an answer: the time of one request is that of the answer, by the attempts that the host
// had beside it.
func (s *servingTimes) learn(a *attempt) {
	concurrent := math.Max(1, float64(a.concurrent+a.host.inFlight+1)/2)
	a.host.serving.learned.add(a.result.Elapsed/concurrent, servingTimeWeight)
}

// perRequest is the learned time in seconds that one request adds to a host's makespan; a host that has not
// answered yet counts as average.
func (s *servingTimes) perRequest(h *host) float64 {
	learned := &h.serving.learned
	if learned.samples == 0 {
		return s.average
	}
	return h.health.group.ShrinkServingTime(s.now, learned.mean, learned.samples, s.average)
}

// makespan is the design's makespan for one more request. It departs from the design in two ways: an answer
// that has come is not waited for, and it is at least one learned time, as a host that others congest is slow
// with nothing of ours in flight.
func (s *servingTimes) makespan(q *request, h *host) float64 {
	remaining, one := h.serving.remaining(s.now), s.perRequest(h)
	queued := float64(h.inFlight) * one
	if s.endpoints.bandwidthKB(h) > 0 {
		return math.Max(remaining, queued)
	}
	alone := s.costs.expectedTime(q) * s.costs.congestion.Slowdown(s.now, &h.link)
	if alone == 0 {
		alone = one
	}
	return math.Max(math.Min(remaining, queued), alone)
}

// book adds a request that is sent to a host's makespan.
func (s *servingTimes) book(q *request, h *host) {
	seconds := s.perRequest(h)
	if bandwidth := s.endpoints.bandwidthKB(h); bandwidth > 0 {
		seconds = q.SizeKB / bandwidth
	}
	h.serving.extend(s.now, seconds)
}
