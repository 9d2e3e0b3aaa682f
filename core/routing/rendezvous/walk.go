package rendezvous

import (
	"cmp"
	"slices"
)

// Walk yields the hosts in the order for a hash, starting at position from, until yield returns false. It
// caches the beginning of the order in *cached; a nil cached disables this. A walk must end before the next
// walk of the same index begins.
func (x *Index[V]) Walk(hash uint64, cached **Prefix, from int, yield func(host V) bool) {
	if x.hostCount <= smallIndex || cached == nil {
		x.walkSorted(hash, from, yield)
		return
	}
	p := *cached
	if p == nil {
		p = &Prefix{}
		p.slots = p.slotStorage[:0]
		*cached = p
	}
	if !x.catchUp(hash, &p.prefix, PrefixLength) {
		x.find(hash, p)
	}
	for ; from < len(p.slots); from++ {
		if !yield(x.values[p.slots[from]]) {
			return
		}
	}
	x.walkLong(hash, from, yield)
}

// walkLong yields the part of an order behind its Prefix, using the cache of long prefixes.
func (x *Index[V]) walkLong(hash uint64, from int, yield func(host V) bool) {
	if x.longPrefixes == nil {
		x.longPrefixes = &longPrefixes{}
	}
	p := &x.longPrefixes.entries[hash%longPrefixCount]
	if p.hash != hash || !x.catchUp(hash, &p.prefix, cap(p.slots)) {
		p.hash, p.slots = hash, p.slots[:0]
	}
	for {
		for ; from < len(p.slots); from++ {
			if !yield(x.values[p.slots[from]]) {
				return
			}
		}
		if from >= x.hostCount {
			return
		}
		x.findLong(hash, p, max(longPrefixStart, longPrefixGrowth*len(p.slots), from+longPrefixStart))
	}
}

// findLong computes a long prefix with the given number of hosts.
func (x *Index[V]) findLong(hash uint64, p *longPrefix, hosts int) {
	hosts = min(hosts, x.hostCount)
	x.longPrefixes.reserve(p, hosts)
	p.hash, p.version, p.slots = hash, x.version(), slices.Grow(p.slots[:0], hosts)
	x.sorted(hash, func(slot int32) bool {
		p.slots = append(p.slots, slot)
		return len(p.slots) < hosts
	})
}

// walkSorted yields the hosts of an order from position from on, without using known prefixes.
func (x *Index[V]) walkSorted(hash uint64, from int, yield func(host V) bool) {
	x.sorted(hash, func(slot int32) bool {
		from--
		return from >= 0 || yield(x.values[slot])
	})
}

// scored is a slot with its score for a hash.
type scored struct {
	score uint64
	slot  int32
}

// sorted yields all slots in the order for a hash. It uses a heap, so that slots that are not requested are
// not sorted.
func (x *Index[V]) sorted(hash uint64, yield func(slot int32) bool) {
	heap := x.scratch[:0]
	for slot, key := range x.keys {
		if x.used[slot] {
			heap = append(heap, scored{Mix(hash ^ key), int32(slot)})
		}
	}
	x.scratch = heap
	for i := len(heap)/2 - 1; i >= 0; i-- {
		siftDown(heap, i)
	}
	for len(heap) > 0 {
		top := heap[0]
		heap[0] = heap[len(heap)-1]
		heap = heap[:len(heap)-1]
		siftDown(heap, 0)
		if !yield(top.slot) {
			return
		}
	}
}

// siftDown moves entry i of a max-heap down until no child has a higher score.
func siftDown(heap []scored, i int) {
	for {
		largest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(heap); child++ {
			if cmp.Compare(heap[child].score, heap[largest].score) > 0 {
				largest = child
			}
		}
		if largest == i {
			return
		}
		heap[i], heap[largest] = heap[largest], heap[i]
		i = largest
	}
}
