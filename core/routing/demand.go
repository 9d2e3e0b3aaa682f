package routing

// minCountedRequests is the number of requests in the window below which the count is not significant and the
// object stays on one cache.
const minCountedRequests = 6

// demandTracker estimates the byte rates of objects and derives from them how many caches each object is
// spread over. Source: section "Algorithm 1" of the Tero paper (docs/design.md).
type demandTracker struct {
	objects objectTable
	total   windowedSum // KB; of all objects
}

// count counts a request for its object.
func (d *demandTracker) count(now float64, q *request) {
	q.object = d.objects.touch(now, q.Object, q.Part, q.demandKB())
	q.object.demand.add(now, q.demandKB())
	d.total.add(now, q.demandKB())
}

// copies returns the number of caches that the object is spread over: one, plus the object's byte rate
// divided by the mean byte rate per ready cache, rounded down.
func (d *demandTracker) copies(now float64, q *request, readyCaches int) int {
	rate := q.object.demand.sum(now)
	if rate < minCountedRequests*q.demandKB() {
		return 1
	}
	return 1 + int(rate*float64(readyCaches)/d.total.sum(now))
}
