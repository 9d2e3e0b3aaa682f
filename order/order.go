// Package order gives hosts in the order of highest random weight (rendezvous hashing) for the hash of an object: the
// same at every dispatcher that lists the same hosts, and with a host more or less only its own objects move. It is
// pure, and gives the first hosts of an order in time that does not grow with hosts once an object has been asked for.
package order

import "cmp"

const (
	Kept  = 6  // hosts of an order that are kept with an object: copies are few, and so are hosts that can't be used
	small = 16 // hosts up to which the whole order is as cheap as looking it up
)

// Index is a set of hosts. The zero value is empty and ready to use.
type Index struct {
	keys       []uint64 // spread ids of the hosts, by place
	generation uint32
	scores     []scored // of one walk
}

type scored struct {
	score uint64
	place int32
}

// First is the beginning of an object's order, as it was for a generation of hosts.
type First struct {
	generation uint32
	n          int32
	places     [Kept]int32
}

// Set takes the hosts, whose places are those of their ids.
func (x *Index) Set(ids []uint32) {
	x.keys = x.keys[:0]
	for _, id := range ids {
		x.keys = append(x.keys, Mix(uint64(id)))
	}
	x.generation++
}

// Len is how many hosts there are.
func (x *Index) Len() int { return len(x.keys) }

// Mix spreads a hash over all its bits, which FNV alone leaves uneven for short names.
func Mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// Walk gives the places of hosts in the order of a hash until it is told to stop. What it finds of the beginning is
// kept in first, nil where nothing is to be kept. A walk must have ended before the next one of the same index.
func (x *Index) Walk(hash uint64, first **First, yield func(place int) bool) {
	if len(x.keys) <= small || first == nil {
		x.rest(hash, 0, yield)
		return
	}
	f := *first
	if f == nil {
		f = &First{}
		*first = f
	}
	if f.n == 0 || f.generation != x.generation {
		x.find(hash, f)
	}
	for _, place := range f.places[:f.n] {
		if !yield(int(place)) {
			return
		}
	}
	x.rest(hash, int(f.n), yield)
}

// find keeps the first hosts of an order: one look at each host, and hardly more for those that are not among them.
func (x *Index) find(hash uint64, f *First) {
	var best [Kept]scored
	n := 0
	for place, key := range x.keys {
		score := Mix(hash ^ key)
		if n == Kept && score <= best[n-1].score {
			continue
		}
		at := min(n, Kept-1)
		n = min(n+1, Kept)
		for ; at > 0 && best[at-1].score < score; at-- {
			best[at] = best[at-1]
		}
		best[at] = scored{score, int32(place)}
	}
	f.generation, f.n = x.generation, int32(n)
	for i := range n {
		f.places[i] = best[i].place
	}
}

// rest gives an order behind its first hosts, from a heap of all: those that are not asked for are not sorted.
func (x *Index) rest(hash uint64, skip int, yield func(place int) bool) {
	all := x.scores[:0]
	for place, key := range x.keys {
		all = append(all, scored{Mix(hash ^ key), int32(place)})
	}
	x.scores = all
	for i := len(all)/2 - 1; i >= 0; i-- {
		sift(all, i)
	}
	for len(all) > 0 {
		top := all[0]
		all[0] = all[len(all)-1]
		all = all[:len(all)-1]
		sift(all, 0)
		if skip--; skip < 0 && !yield(int(top.place)) {
			return
		}
	}
}

// sift lets the entry at a place of a heap sink to where it belongs.
func sift(heap []scored, i int) {
	for {
		most := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(heap); child++ {
			if cmp.Compare(heap[child].score, heap[most].score) > 0 {
				most = child
			}
		}
		if most == i {
			return
		}
		heap[i], heap[most] = heap[most], heap[i]
		i = most
	}
}
