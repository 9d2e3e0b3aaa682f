package proxycall

// Queue holds GETs that wait for their decision. It returns first forwards before further ones, and the oldest
// first among each of these. Capacity limits its length. A GET whose deadline has passed is skipped, because
// it has already been handled as the operator configured for that case.
type Queue[T any] struct {
	Capacity int
	queues   [2][]waiting[T] // first forwards, then further ones
}

// waiting is an item and the time in seconds by which it must be decided.
type waiting[T any] struct {
	deadline float64
	item     T
}

// Put appends an item that must be decided by deadline, in seconds. It returns false if the queue is full.
func (q *Queue[T]) Put(further bool, deadline float64, item T) bool {
	if q.Len() >= q.Capacity {
		return false
	}
	class := 0
	if further {
		class = 1
	}
	q.queues[class] = append(q.queues[class], waiting[T]{deadline, item})
	return true
}

// Len returns the number of items, including those whose deadline has passed.
func (q *Queue[T]) Len() int { return len(q.queues[0]) + len(q.queues[1]) }

// Next removes and returns the next item whose deadline is after now, in seconds. ok is false if there is
// none.
func (q *Queue[T]) Next(now float64) (item T, ok bool) {
	for class := range q.queues {
		for len(q.queues[class]) > 0 {
			w := q.queues[class][0]
			q.queues[class][0] = waiting[T]{}
			if q.queues[class] = q.queues[class][1:]; len(q.queues[class]) == 0 {
				q.queues[class] = nil
			}
			if w.deadline > now {
				return w.item, true
			}
		}
	}
	return item, false
}
