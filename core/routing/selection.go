package routing

import (
	"math"
	"slices"
)

const (
	maxConsidered  = 64  // maximum number of an object's caches that are considered for one request
	muchLowerShare = 0.5 // a makespan, slowdown or rejection rate is much lower than another if below this share of it
)

// selectCache selects the cache with the least makespan among the object's caches. These are the first caches
// in the object's rendezvous order, as many as its demand calls for. It considers further caches of the order
// only while all of these exceed the latency objective.
func (r *Router) selectCache(q *request) verdict {
	c := r.newCandidates(q)
	first := 0
	// The best of maxConsidered caches is hardly worse than the best of all. Visiting all would take time
	// proportional to the size of the cluster.
	if c.copies > maxConsidered {
		first, c.copies = r.uniformInt(c.copies-maxConsidered+1), maxConsidered
	}
	r.endpoints.cacheOrder.Walk(q.object.hash, &q.object.cacheOrder, first, c.consider)
	if c.best == nil && c.settlesAt > 0 {
		return r.connections.await(q, c.settlesAt)
	}
	if c.best == nil {
		return r.bypassCaches(q, c.someUsable)
	}
	q.host = c.best
	return proceed
}

// candidates is the state of one walk along an object's order of caches.
type candidates struct {
	router             *Router
	request            *request
	copies             int     // number of caches that the object is spread over
	objective          float64 // seconds
	work               float64 // seconds
	scaledWork         float64 // seconds; work divided by the request's priority, as it counts in limits
	cachesHaveCapacity bool    // the limit on all caches has capacity
	someUsable         bool    // at least one cache could be used apart from limits
	considered         int
	best               *host
	settlesAt          float64 // seconds; when the first of the caches that only lack a settled connection has one; 0 for none
}

// newCandidates returns a walk that has not considered any cache yet. It returns a value rather than a
// pointer so that a request allocates nothing for it.
func (r *Router) newCandidates(q *request) candidates {
	c := candidates{
		router:    r,
		request:   q,
		copies:    r.demand.copies(r.now, q, r.endpoints.readyCaches),
		objective: r.costs.objective(q),
		work:      r.costs.work(q),
	}
	c.scaledWork = c.work / r.costs.priority(q)
	c.cachesHaveCapacity = r.limits.caches.hasCapacity(c.scaledWork)
	return c
}

// consider considers the next cache of the order, and reports whether the walk continues.
func (c *candidates) consider(h *host) bool {
	if !c.usable(h) {
		return true
	}
	c.someUsable = true
	if !c.cachesHaveCapacity || !h.limit.hasCapacity(c.scaledWork) {
		return c.cachesHaveCapacity
	}
	if c.best != nil && c.considered >= c.copies && c.makespan(c.best) <= c.objective {
		return false
	}
	if settlesAt := c.router.connections.settlesAt(h, c.request); settlesAt > 0 {
		return c.passOver(settlesAt)
	}
	if c.improves(h) {
		c.best = h
	}
	c.considered++
	return true
}

// passOver passes over a cache whose connection is not settled before a time in seconds, and reports whether the walk
// continues: a short wait for one of the object's own caches is better than a miss at another one.
func (c *candidates) passOver(settlesAt float64) bool {
	if c.settlesAt == 0 {
		c.settlesAt = settlesAt
	}
	c.settlesAt = math.Min(c.settlesAt, settlesAt)
	c.considered++
	return c.best != nil || c.considered < c.copies
}

func (c *candidates) usable(h *host) bool {
	return h.Phase == Ready &&
		!slices.Contains(c.request.avoided, h) &&
		c.request.safeToRepeatAt(h) &&
		c.router.available(h, c.work)
}

// improves reports whether a cache is to be preferred to the best one so far. A cache that is not among the
// object's own would have a miss, so its makespan must be much lower.
func (c *candidates) improves(h *host) bool {
	if c.best == nil {
		return true
	}
	if c.considered < c.copies && c.makespan(h) < c.makespan(c.best) {
		return true
	}
	return c.makespan(h) < c.makespan(c.best)*muchLowerShare
}

func (c *candidates) makespan(h *host) float64 { return c.router.serving.makespan(c.request, h) }

// bypassCaches sends the request to a parent if no cache can be used, unless a cache is only at its limit.
func (r *Router) bypassCaches(q *request, atLimit bool) verdict {
	q.host = r.selectParent(q)
	if !r.BypassCaches || atLimit || q.host == nil || !q.safeToRepeatAt(q.host) {
		return r.requests.giveUp(q)
	}
	return proceed
}

// available reports whether work may be sent to a host now, as a cache or as a source.
func (r *Router) available(h *host, work float64) bool {
	return h.Phase == Ready && r.outliers.permits(h) && r.slowStart.permits(h, work)
}
