package routing

// minCountedRequests is the number of requests in the window below which a count says nothing: the object
// keeps one cache.
const minCountedRequests = 6

// demandTracker estimates the byte rates of objects, and by them how many caches each is spread over.
// Source: section "Algorithm 1" of the Tero paper (docs/design.md).
type demandTracker struct {
	objects objectTable
	total   windowedSum // KB; of all objects
}

// count counts a request for its object.
func (d *demandTracker) count(now float64, q *request) {
	q.object = d.objects.touch(now, q.Object, q.Part, q.bytes())
	q.object.demand.add(now, q.bytes())
	d.total.add(now, q.bytes())
}

// copies is the number of caches that the object's byte rate gives it: one more by each even share of all
// ready caches.
func (d *demandTracker) copies(now float64, q *request, readyCaches int) int {
	rate := q.object.demand.sum(now)
	if rate < minCountedRequests*q.bytes() {
		return 1
	}
	return 1 + int(rate*float64(readyCaches)/d.total.sum(now))
}
