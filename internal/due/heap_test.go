package due

import "container/heap"

// Queue is the plain way, a heap, against which the wheel is held: it holds items by due time; items due at one time come out in the order in which they were added.
// The zero Queue is empty and ready to use.
type Queue[T any] struct {
	entries entries[T]
	added   uint64
}

// Entry is one item's place in a Queue.
type Entry[T any] struct {
	at    float64
	order uint64
	index int
	item  T
}

// Add puts an item into the queue, due at the given time.
func (q *Queue[T]) Add(at float64, item T) *Entry[T] {
	q.added++
	e := &Entry[T]{at: at, order: q.added, item: item}
	heap.Push(&q.entries, e)
	return e
}

// Remove takes an entry out; one that is nil or already out is passed over.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if e != nil && e.index >= 0 {
		heap.Remove(&q.entries, e.index)
	}
}

// Pop takes out the first item that is due at the given time or before it.
func (q *Queue[T]) Pop(now float64) (item T, ok bool) {
	if len(q.entries) == 0 || q.entries[0].at > now {
		return item, false
	}
	return heap.Pop(&q.entries).(*Entry[T]).item, true
}

// PopAt is Pop with the time at which the item was due.
func (q *Queue[T]) PopAt(now float64) (d Due[T], ok bool) {
	if len(q.entries) == 0 || q.entries[0].at > now {
		return d, false
	}
	e := heap.Pop(&q.entries).(*Entry[T])
	return Due[T]{e.at, e.item}, true
}

type entries[T any] []*Entry[T]

func (s entries[T]) Len() int { return len(s) }

func (s entries[T]) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].order < s[j].order
}

func (s entries[T]) Swap(i, j int) { s[i], s[j] = s[j], s[i]; s[i].index, s[j].index = i, j }

func (s *entries[T]) Push(x any) { e := x.(*Entry[T]); e.index = len(*s); *s = append(*s, e) }

func (s *entries[T]) Pop() any {
	last := len(*s) - 1
	e := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	e.index = -1
	return e
}
