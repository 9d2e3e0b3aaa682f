package shards

import "container/heap"

const watched = 64 // items that a shard keeps count of: those over a 64th of its GETs are surely among them

// Count is an item with how often it was asked for: at most Most times, and at least Most-Off.
type Count struct {
	Key       uint64
	Most, Off uint32
	place     int
}

// Least is how often it was asked for at the least.
func (c *Count) Least() uint32 { return c.Most - c.Off }

// Sketch finds the items that are asked for most, in a place of its own size however many there are (Metwally, Agrawal
// and El Abbadi's space saving). The zero value is ready to use.
type Sketch struct {
	by   map[uint64]*Count
	heap least
}

type least []*Count

func (l least) Len() int           { return len(l) }
func (l least) Less(i, j int) bool { return l[i].Most < l[j].Most }
func (l least) Swap(i, j int)      { l[i], l[j] = l[j], l[i]; l[i].place, l[j].place = i, j }
func (l *least) Push(x any)        { c := x.(*Count); c.place = len(*l); *l = append(*l, c) }
func (l *least) Pop() any          { c := (*l)[len(*l)-1]; *l = (*l)[:len(*l)-1]; return c }

// Add books that an item was asked for.
func (s *Sketch) Add(key uint64) {
	if c := s.by[key]; c != nil {
		c.Most++
		heap.Fix(&s.heap, c.place)
		return
	}
	if s.by == nil {
		s.by = make(map[uint64]*Count, watched)
	}
	if len(s.heap) < watched {
		c := &Count{Key: key, Most: 1}
		s.by[key] = c
		heap.Push(&s.heap, c)
		return
	}
	c := s.heap[0] // the newcomer may have been asked for as often as the one it displaces
	delete(s.by, c.Key)
	c.Key, c.Off = key, c.Most
	c.Most++
	s.by[key] = c
	heap.Fix(&s.heap, 0)
}

// Take gives the counts and begins anew.
func (s *Sketch) Take() []Count {
	all := make([]Count, 0, len(s.heap))
	for _, c := range s.heap {
		all = append(all, *c)
	}
	clear(s.by)
	s.heap = s.heap[:0]
	return all
}
