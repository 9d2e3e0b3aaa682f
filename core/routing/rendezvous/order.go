// Package rendezvous gives hosts in the order of highest random weight (rendezvous hashing) for the hash of an object: the
// same at every dispatcher that lists the same hosts, and with a host more or less only its own objects move. It is
// pure, and gives the first hosts of an order in time that does not grow with hosts once an object has been asked for.
package rendezvous

import (
	"cmp"
	"slices"
)

const (
	PrefixLength = 6       // hosts of an order that are kept with an object: copies are few, and so are hosts that can't be used
	small        = 16      // hosts up to which the whole order is as cheap as looking it up
	news         = 1 << 13 // changes that are remembered: those of a list of 10,000 hosts of which 1% change each second, for a minute
	long         = 256     // orders that are kept further: those of the hottest objects, which have many copies
	first        = 32      // hosts of such an order that are kept at first
	total        = 1 << 18 // and of all of them together: 1 MB
	catch        = 8       // hosts a change: what is kept is found anew where it lags by so much that a look at all is as cheap
)

// Index is a set of hosts, each with a value. The zero one is empty and ready to use.
type Index[V any] struct {
	keys   []uint64 // spread ids of the hosts, by slot; slots stay as they are while a host is listed
	values []V
	used   []bool
	marks  []uint32 // the Set that named a slot last
	sets   uint32
	bySlot map[uint32]int32 // by id; nil for few
	free   []int32
	ids    []uint32 // of few
	n      int

	long *[long]named // by hash; nil until a walk goes so far
	held int          // hosts that are kept there

	changes []int32 // slots that came (positive) and went (negative), each plus one
	since   uint64  // changes before those
	scores  []scored
}

type scored struct {
	score uint64
	place int32
}

// list is the beginning of an order, as it was after so many changes of the hosts.
type list struct {
	changes uint64
	places  []int32
}

// named is one that is kept further.
type named struct {
	hash uint64
	list
}

// Prefix is the beginning of an object's order.
type Prefix struct {
	list
	room [PrefixLength]int32
}

// Set takes the hosts and their values. What is kept of orders catches up with the hosts that came or went.
func (x *Index[V]) Set(ids []uint32, values []V) {
	if x.sets++; len(ids) <= small || x.bySlot == nil || 2*len(ids) < len(x.keys) {
		x.anew(ids, values)
		return
	}
	var fresh []int
	for i, id := range ids {
		if slot, ok := x.bySlot[id]; ok {
			x.marks[slot], x.values[slot] = x.sets, values[i]
		} else {
			fresh = append(fresh, i)
		}
	}
	for id := range x.gone(len(ids) - len(fresh)) {
		x.Remove(id)
	}
	for _, i := range fresh {
		x.Add(ids[i], values[i])
	}
}

// Add takes one more host, which must not be there. It takes the same time however many there are.
func (x *Index[V]) Add(id uint32, value V) {
	if x.bySlot == nil {
		x.anew(append(x.ids, id), append(slices.Clone(x.values), value))
		return
	}
	slot := int32(len(x.keys))
	if last := len(x.free) - 1; last >= 0 {
		slot, x.free = x.free[last], x.free[:last]
	} else {
		x.keys, x.values = append(x.keys, 0), append(x.values, value)
		x.used, x.marks = append(x.used, true), append(x.marks, 0)
	}
	x.keys[slot], x.values[slot], x.used[slot], x.marks[slot] = Mix(uint64(id)), value, true, x.sets
	x.bySlot[id] = slot
	x.n++
	x.remember(slot + 1)
}

// Remove takes a host out; one that is not there is passed over.
func (x *Index[V]) Remove(id uint32) {
	if x.bySlot == nil {
		if i := slices.Index(x.ids, id); i >= 0 {
			x.anew(slices.Delete(x.ids, i, i+1), slices.Delete(slices.Clone(x.values), i, i+1))
		}
		return
	}
	slot, ok := x.bySlot[id]
	if !ok {
		return
	}
	delete(x.bySlot, id)
	var none V
	x.free, x.used[slot], x.values[slot] = append(x.free, slot), false, none
	x.n--
	x.remember(-slot - 1)
}

// remember keeps a change, for what is kept of orders to catch up with.
func (x *Index[V]) remember(change int32) {
	if x.changes = append(x.changes, change); len(x.changes) > news {
		drop := len(x.changes) - news/2
		x.changes, x.since = slices.Delete(x.changes, 0, drop), x.since+uint64(drop)
	}
}

// gone is the hosts that the last Set did not name, when so many stay.
func (x *Index[V]) gone(stay int) map[uint32]int32 {
	gone := map[uint32]int32{}
	if stay == x.n {
		return gone
	}
	for id, slot := range x.bySlot {
		if x.marks[slot] != x.sets {
			gone[id] = slot
		}
	}
	return gone
}

// anew takes all hosts as new: nothing that is kept of orders counts any more.
func (x *Index[V]) anew(ids []uint32, values []V) {
	x.keys, x.values, x.used, x.marks, x.free = x.keys[:0], append(x.values[:0], values...), x.used[:0], x.marks[:0], nil
	for _, id := range ids {
		x.keys, x.used, x.marks = append(x.keys, Mix(uint64(id))), append(x.used, true), append(x.marks, x.sets)
	}
	x.since += uint64(len(x.changes)) + 1
	x.ids = append([]uint32(nil), ids...)
	if x.n, x.changes, x.bySlot = len(ids), nil, nil; len(ids) > small {
		x.ids = nil
		x.bySlot = make(map[uint32]int32, len(ids))
		for i, id := range ids {
			x.bySlot[id] = int32(i)
		}
	}
}

// Len is how many hosts there are.
func (x *Index[V]) Len() int { return x.n }

// Mix spreads a hash over all its bits, which FNV alone leaves uneven for short names.
func Mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// Walk gives the hosts in the order of a hash, from one of its places on, until it is told to stop. What it finds of the beginning is kept,
// nil where nothing is to be kept. A walk must have ended before the next one of the same index.
func (x *Index[V]) Walk(hash uint64, kept **Prefix, from int, yield func(host V) bool) {
	if x.n <= small || kept == nil {
		x.rest(hash, from, yield)
		return
	}
	f := *kept
	if f == nil {
		f = &Prefix{}
		f.places = f.room[:0]
		*kept = f
	}
	if !x.follow(hash, &f.list, PrefixLength) {
		x.find(hash, f)
	}
	for ; from < len(f.places); from++ {
		if !yield(x.values[f.places[from]]) {
			return
		}
	}
	x.further(hash, from, yield)
}

// further gives an order behind its first hosts, from those that are kept further.
func (x *Index[V]) further(hash uint64, skip int, yield func(host V) bool) {
	if x.long == nil {
		x.long = new([long]named)
	}
	l := &x.long[hash%long]
	if l.hash != hash || !x.follow(hash, &l.list, cap(l.places)) {
		l.hash, l.places = hash, l.places[:0]
	}
	for {
		for ; skip < len(l.places); skip++ {
			if !yield(x.values[l.places[skip]]) {
				return
			}
		}
		if skip >= x.n {
			return
		}
		x.keep(hash, l, max(first, 4*len(l.places), skip+first))
	}
}

// keep finds so many first hosts of an order.
func (x *Index[V]) keep(hash uint64, l *named, n int) {
	n = min(n, x.n)
	if x.held += max(0, n-cap(l.places)); x.held > total {
		*x.long, x.held = [long]named{}, n
	}
	l.hash, l.changes, l.places = hash, x.since+uint64(len(x.changes)), slices.Grow(l.places[:0], n)
	x.heap(hash, func(place int32) bool {
		l.places = append(l.places, place)
		return len(l.places) < n
	})
}

// follow lets the beginning of an order catch up with the hosts that came and went since it was found: it stays one,
// though it may become shorter. False tells that it must be found anew.
func (x *Index[V]) follow(hash uint64, f *list, most int) bool {
	to := x.since + uint64(len(x.changes))
	if f.changes == to || len(f.places) == 0 {
		return len(f.places) > 0
	}
	if f.changes < x.since || (to-f.changes)*catch*uint64(max(1, most/PrefixLength)) > uint64(x.n) {
		return false
	}
	changes := x.changes[f.changes-x.since:]
	for _, change := range changes { // first, as a slot may have another host now, which would stand in the wrong place
		if change < 0 {
			f.drop(-change - 1)
		}
	}
	for _, change := range changes {
		if slot := change - 1; change > 0 && x.used[slot] && !slices.Contains(f.places, slot) {
			f.take(hash, slot, x.keys, most)
		}
	}
	f.changes = to
	return len(f.places) > 0
}

// drop takes a host out.
func (f *list) drop(slot int32) {
	if i := slices.Index(f.places, slot); i >= 0 {
		f.places = slices.Delete(f.places, i, i+1)
	}
}

// take puts a host where it belongs; what would stand behind the last that is kept is not known to be next.
func (f *list) take(hash uint64, slot int32, keys []uint64, most int) {
	score := Mix(hash ^ keys[slot])
	for i, place := range f.places {
		if score > Mix(hash^keys[place]) {
			if len(f.places) >= most {
				f.places = f.places[:most-1]
			}
			f.places = slices.Insert(f.places, min(i, len(f.places)), slot)
			return
		}
	}
}

// find keeps the first hosts of an order: one look at each host, and hardly more for those that are not among them.
func (x *Index[V]) find(hash uint64, f *Prefix) {
	var best [PrefixLength]scored
	n := 0
	for place, key := range x.keys {
		score := Mix(hash ^ key)
		if n == PrefixLength && score <= best[n-1].score || !x.used[place] {
			continue
		}
		at := min(n, PrefixLength-1)
		n = min(n+1, PrefixLength)
		for ; at > 0 && best[at-1].score < score; at-- {
			best[at] = best[at-1]
		}
		best[at] = scored{score, int32(place)}
	}
	f.changes, f.places = x.since+uint64(len(x.changes)), f.room[:n]
	for i := range n {
		f.places[i] = best[i].place
	}
}

// rest gives an order behind its first hosts.
func (x *Index[V]) rest(hash uint64, skip int, yield func(host V) bool) {
	x.heap(hash, func(place int32) bool {
		skip--
		return skip >= 0 || yield(x.values[place])
	})
}

// heap gives an order from a heap of all: those that are not asked for are not sorted.
func (x *Index[V]) heap(hash uint64, yield func(place int32) bool) {
	all := x.scores[:0]
	for place, key := range x.keys {
		if x.used[place] {
			all = append(all, scored{Mix(hash ^ key), int32(place)})
		}
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
		if !yield(top.place) {
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
