package routing

import (
	"cmp"
	"math"

	"elderwall/core/routing/congestion"
)

const (
	// share of one answer in a learned response time or size: about the last ten count
	responseTimeWeight = 0.1
	sendingTimeWeight  = 0.002 // share of one request in a mean sending time: sizes vary, so hundreds count
	// share of one answer in a serving time: about five, as a router sees few of one host
	servingTimeWeight   = 0.2
	uncongestedAttempts = 1   // attempts in flight beside one whose response time still tells of its size
	unknownSendingTime  = 0.5 // share of the latency objective taken for a sending time before any is known
	// multiple of a limit open to services that are worth more for their sending time
	highPriority = 3.0
	lowPriority  = 0.5 // multiple of it open to objects that were not requested before
)

// service is a delivery service with what is learned of its requests.
type service struct {
	DeliveryService
	sizeKB       decayingMean // of answers
	sendingTime  decayingMean // s; of one request at full pace
	responseTime decayingMean // s; from sending an attempt to its answer
}

// costModel tells what a request costs: its sending time, its work in a concurrency limit, its latency
// objective.
type costModel struct {
	*environment
	services   []*service
	congestion *congestion.Tracker
}

// sendingTime is the request's sending time in seconds by its size; 0 where that is not known.
func (c *costModel) sendingTime(q *request) float64 {
	if q.SizeKB <= 0 || c.TransferRateKB <= 0 {
		return 0
	}
	return q.SizeKB / c.TransferRateKB
}

// sizeKB is the size of the answer as far as it is known; 0 where nothing is.
func (c *costModel) sizeKB(q *request) float64 { return cmp.Or(q.object.sizeKB, q.service.sizeKB.mean) }

// expectedTime is the time in seconds that the answer takes at the usual pace; 0 as long as that is not
// known.
func (c *costModel) expectedTime(q *request) float64 { return c.congestion.ExpectedTime(c.sizeKB(q)) }

// work is what a request counts for in a limit: the mean sending time of its service, in seconds.
func (c *costModel) work(q *request) float64 {
	return cmp.Or(q.service.sendingTime.mean, q.service.Objective*unknownSendingTime)
}

// objective is the latency objective of a request in seconds, which grows with its size.
func (c *costModel) objective(q *request) float64 {
	sending := cmp.Or(c.sendingTime(q), c.expectedTime(q), c.work(q))
	return math.Min(q.service.Objective+q.service.Stretch*sending, q.service.ViewerTimeout)
}

// priority is the multiple of a limit open to a request: by its service's priority weight for its sending
// time, and by whether its object was requested before.
func (c *costModel) priority(q *request) float64 {
	multiple := 1.0
	for _, s := range c.services {
		if s.PriorityWeight*c.work(q) < q.service.PriorityWeight*s.sendingTime.mean {
			multiple = highPriority
		}
	}
	if !q.object.requestedBefore && c.now > windowSpan { // before a window has passed all objects are new
		multiple *= lowPriority
	}
	return multiple
}

// learnRequest learns from a request's size, where it is known.
func (c *costModel) learnRequest(q *request) {
	if sending := c.sendingTime(q); sending > 0 {
		q.service.sendingTime.add(sending, sendingTimeWeight)
	}
}

// learnResponse learns from the time of a successful answer.
func (c *costModel) learnResponse(q *request, a *attempt) {
	elapsed := a.result.Elapsed
	q.service.responseTime.add(elapsed, responseTimeWeight)
	tellsSize := a.result.Note == CacheHit || c.NoteDetail == NoNotes
	if c.sendingTime(q) == 0 && tellsSize && a.concurrent <= uncongestedAttempts {
		// Congestion must not pass for size: the objective would grow with it, and nothing would look late.
		q.service.sendingTime.add(math.Min(elapsed, q.service.Objective), sendingTimeWeight)
	}
}

// learnSize learns the size of an answer.
func (c *costModel) learnSize(q *request, sizeKB float64) {
	q.object.sizeKB = sizeKB
	q.service.sizeKB.add(sizeKB, responseTimeWeight)
}
