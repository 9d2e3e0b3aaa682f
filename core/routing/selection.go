package routing

import "slices"

const (
	maxConsidered  = 64  // caches of an object that are considered for one request
	muchLowerShare = 0.5 // share of a makespan or slowdown under which another host is worth a miss
)

// selectCache takes the cache with the least makespan among the object's caches: as many as its demand gives
// it, along the order that all routers share. It goes further along it only while all those are over the
// latency objective.
func (r *Router) selectCache(q *request) verdict {
	c := r.newCandidates(q)
	first := 0
	// the best of so many is hardly worse, and a look at all would grow with the cluster
	if c.wanted > maxConsidered {
		first, c.wanted = r.below(c.wanted-maxConsidered+1), maxConsidered
	}
	r.endpoints.cacheOrder.Walk(q.object.hash, &q.object.cacheOrder, first, c.consider)
	if c.best == nil {
		return r.bypassCaches(q, c.someUsable)
	}
	q.host = c.best
	return proceed
}

// candidates is one walk along an object's order of caches.
type candidates struct {
	router     *Router
	request    *request
	wanted     int     // caches that the object's demand gives it
	objective  float64 // s
	work       float64 // s
	scaledWork float64 // s; work as its priority has it count in limits
	capacity   bool    // the limit on all caches has capacity
	someUsable bool    // a cache could be used, but for limits
	considered int
	best       *host
}

// newCandidates returns a walk that has seen no cache yet. It returns no pointer, so that a request allocates none.
func (r *Router) newCandidates(q *request) candidates {
	c := candidates{
		router:    r,
		request:   q,
		wanted:    r.demand.copies(r.now, q, r.endpoints.readyCaches),
		objective: r.costs.objective(q),
		work:      r.costs.work(q),
	}
	c.scaledWork = c.work / r.costs.priority(q)
	c.capacity = r.limits.caches.hasCapacity(c.scaledWork)
	return c
}

// consider looks at the next cache of the order, and reports whether the walk goes on.
func (c *candidates) consider(h *host) bool {
	if !c.usable(h) {
		return true
	}
	c.someUsable = true
	if !c.capacity || !h.limit.hasCapacity(c.scaledWork) {
		return c.capacity
	}
	if c.best != nil && c.considered >= c.wanted && c.makespan(c.best) <= c.objective {
		return false
	}
	if c.better(h) {
		c.best = h
	}
	c.considered++
	return true
}

func (c *candidates) usable(h *host) bool {
	return h.Phase == Ready &&
		!slices.Contains(c.request.avoided, h) &&
		c.request.mayRepeatAt(h) &&
		c.router.available(h, c.work)
}

// better reports whether a cache is to be taken in place of the best so far: one that is not the object's own
// would miss, and has to be much better.
func (c *candidates) better(h *host) bool {
	if c.best == nil {
		return true
	}
	if c.considered < c.wanted && c.makespan(h) < c.makespan(c.best) {
		return true
	}
	return c.makespan(h) < c.makespan(c.best)*muchLowerShare
}

func (c *candidates) makespan(h *host) float64 { return c.router.serving.makespan(c.request, h) }

// bypassCaches sends the request to a parent when no cache can be used, unless one is just at its limit.
func (r *Router) bypassCaches(q *request, atLimit bool) verdict {
	q.host = r.selectParent(q)
	if !r.BypassCaches || atLimit || q.host == nil || !q.mayRepeatAt(q.host) {
		return r.requests.giveUp(q)
	}
	return proceed
}

// available reports whether a host may be sent work now, as a cache or as a source.
func (r *Router) available(h *host, work float64) bool {
	return h.Phase == Ready && r.outliers.permits(h) && r.slowStart.permits(h, work)
}
