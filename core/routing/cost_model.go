package routing

import (
	"cmp"
	"math"

	"elderwall/core/routing/congestion"
)

const (
	// responseTimeWeight is the weight of one answer in a mean response time or size: about the last ten
	// answers count.
	responseTimeWeight = 0.1
	sendingTimeWeight  = 0.002 // weight of one request in a mean sending time; hundreds count, as sizes vary
	// servingTimeWeight is the weight of one answer in a serving time: about five answers count, as a router
	// sees few answers of one host.
	servingTimeWeight = 0.2
	// maxUncongestedAttempts is the number of attempts in flight at a host up to which a response time still
	// reflects the size of the object.
	maxUncongestedAttempts  = 1
	assumedSendingTimeShare = 0.5 // share of the latency objective assumed as sending time until one has been measured
	// highPriorityMultiple is the multiple of a limit that is open to requests whose service has a higher
	// priority weight per sending time than another service.
	highPriorityMultiple = 3.0
	newObjectMultiple    = 0.5 // further multiple of a limit that applies to objects that were not requested before
)

// service is a delivery service with what the router has learned about its requests.
type service struct {
	DeliveryService
	sizeKB       decayingMean // KB; size of answers
	sendingTime  decayingMean // seconds; sending time of one request at full rate
	responseTime decayingMean // seconds; from sending an attempt to its answer
}

// costModel estimates what a request costs: its sending time, its work in a concurrency limit, and its
// latency objective.
type costModel struct {
	*environment
	services   []*service
	congestion *congestion.Tracker
	allWorks   []float64 // backs the result of works
}

// sendingTime returns the request's sending time in seconds, calculated from its size, or 0 if that is
// unknown.
func (c *costModel) sendingTime(q *request) float64 {
	if q.SizeKB <= 0 || c.TransferRateKB <= 0 {
		return 0
	}
	return q.SizeKB / c.TransferRateKB
}

// sizeKB returns the expected size of the answer in KB: the object's last known size, else the mean of its
// service, or 0 if both are unknown.
func (c *costModel) sizeKB(q *request) float64 { return cmp.Or(q.object.sizeKB, q.service.sizeKB.mean) }

// expectedTime returns the time in seconds that the answer takes at the usual rate, or 0 if that is not known
// yet.
func (c *costModel) expectedTime(q *request) float64 { return c.congestion.ExpectedTime(c.sizeKB(q)) }

// work returns what a request counts for in a limit: the mean sending time of its service, in seconds.
func (c *costModel) work(q *request) float64 { return q.service.work() }

// work returns the mean sending time of the service in seconds, or an assumption until one has been measured.
func (s *service) work() float64 {
	return cmp.Or(s.sendingTime.mean, s.Objective*assumedSendingTimeShare)
}

// works returns the work of one request of each service in seconds, valid until the next call.
func (c *costModel) works() []float64 {
	c.allWorks = c.allWorks[:0]
	for _, s := range c.services {
		c.allWorks = append(c.allWorks, s.work())
	}
	return c.allWorks
}

// measured returns the number of services whose sending time has been measured.
func (c *costModel) measured() (n int) {
	for _, s := range c.services {
		n += min(1, s.sendingTime.samples)
	}
	return n
}

// objective returns the latency objective of a request in seconds. It grows with the expected sending time
// and is at most the viewer timeout.
func (c *costModel) objective(q *request) float64 {
	sending := cmp.Or(c.sendingTime(q), c.expectedTime(q), c.work(q))
	return math.Min(q.service.Objective+q.service.Stretch*sending, q.service.ViewerTimeout)
}

// priority returns the multiple of a limit that is open to a request. It depends on the priority weight of
// the request's service per sending time, and on whether the object was requested before.
func (c *costModel) priority(q *request) float64 {
	multiple := 1.0
	for _, s := range c.services {
		if s.PriorityWeight*c.work(q) < q.service.PriorityWeight*s.sendingTime.mean {
			multiple = highPriorityMultiple
		}
	}
	if !q.object.requestedBefore && c.now > windowSpan { // all objects are new until one window has passed
		multiple *= newObjectMultiple
	}
	return multiple
}

// learnRequest updates the service's mean sending time from the size of a request, if that is known.
func (c *costModel) learnRequest(q *request) {
	if sending := c.sendingTime(q); sending > 0 {
		q.service.sendingTime.add(sending, sendingTimeWeight)
	}
}

// learnResponse updates the service's mean times from a successful answer.
func (c *costModel) learnResponse(q *request, a *attempt) {
	elapsed := a.result.Elapsed
	q.service.responseTime.add(elapsed, responseTimeWeight)
	reflectsSize := a.result.Note == CacheHit || c.NoteDetail == NoNotes
	if c.sendingTime(q) == 0 && reflectsSize && a.concurrent <= maxUncongestedAttempts {
		// The time is capped so that congestion is not mistaken for size: the objective would grow with it,
		// and nothing would count as late.
		q.service.sendingTime.add(math.Min(elapsed, q.service.Objective), sendingTimeWeight)
	}
}

// learnSize records the size of an answer in KB for its object and its service.
func (c *costModel) learnSize(q *request, sizeKB float64) {
	q.object.sizeKB = sizeKB
	q.service.sizeKB.add(sizeKB, responseTimeWeight)
}
