package sketch

// BoundedMap remembers things by their hash with a figure each, in some 50 bytes a thing; beyond its size those that were put
// first are let go. Two things with one hash pass for one, which 64 bits make as good as never.
type BoundedMap struct {
	most  int
	turn  uint32
	held  map[uint64]known
	queue []queued // in the order of putting; what was taken since stands there until it comes up
}

type known struct {
	figure float64
	turn   uint32
}

type queued struct {
	hash uint64
	turn uint32
}

const (
	slack = 64 // places of the queue that may be left behind before it is made anew
)

// NewBoundedMap remembers so many.
func NewBoundedMap(most int) *BoundedMap { return &BoundedMap{most: most, held: map[uint64]known{}} }

// Len is how many are remembered.
func (k *BoundedMap) Len() int { return len(k.held) }

// Put remembers a thing, as the last that was put.
func (k *BoundedMap) Put(hash uint64, figure float64) {
	k.turn++
	k.held[hash] = known{figure, k.turn}
	k.queue = append(k.queue, queued{hash, k.turn})
	k.Trim(k.most)
	if len(k.queue) > 2*len(k.held)+slack {
		k.sweep()
	}
}

// Trim lets those go that were put first, until so many are left.
func (k *BoundedMap) Trim(most int) {
	for len(k.held) > most {
		first := k.queue[0]
		k.queue = k.queue[1:]
		if k.held[first.hash].turn == first.turn {
			delete(k.held, first.hash)
		}
	}
}

// sweep takes out of the queue what has been taken, or put again since.
func (k *BoundedMap) sweep() {
	left := make([]queued, 0, len(k.held)+slack)
	for _, q := range k.queue {
		if k.held[q.hash].turn == q.turn {
			left = append(left, q)
		}
	}
	k.queue = left
}

// Take gives what is known of a thing, and forgets it.
func (k *BoundedMap) Take(hash uint64) (figure float64, ok bool) {
	e, ok := k.held[hash]
	delete(k.held, hash)
	return e.figure, ok
}
