// Package rendezvous gives hosts in the order of highest random weight (rendezvous hashing, Thaler and
// Ravishankar) for the hash of an object: the same at every router that lists the same hosts, and with one
// host more or less only its own objects move. It is pure, and gives the first hosts of an order in time that
// does not grow with their number once the object was requested.
//
// An Index has its hosts in slots, which stay as they are while a host is listed, and a log of the latest
// changes. Known beginnings of orders (a Prefix with each object, and a cache of longer ones) catch up with
// that log instead of being found anew.
package rendezvous

import "slices"

const (
	smallIndex = 16 // hosts up to which sorting all is as cheap as looking an order up
	// logged changes: those of a list of 10,000 hosts of which 1% change each second, for a minute
	maxChanges   = 1 << 13
	maxSlotRatio = 2 // slots for each host above which an index is rebuilt
)

// Index is a set of hosts, each with a value. The zero value is empty and ready to use. It is not safe for
// concurrent use.
type Index[V any] struct {
	// By slot. Each has a slice of its own, as a search looks at all keys and at hardly anything else.
	keys    []uint64 // mixed ids of the hosts
	values  []V
	used    []bool
	namedBy []uint32 // the Set that named the host last

	slotByID map[uint32]int32 // nil for a small index, whose slots are in the order of ids
	free     []int32          // slots that have no host
	ids      []uint32         // of a small index
	hosts    int
	setCount uint32 // number of the latest Set

	changes        []change // the latest changes, oldest first
	changesDropped uint64   // changes before those

	longPrefixes *longPrefixes // nil until a walk goes so far
	scratch      []scored      // for sorting
}

// change is a host that was added to a slot, or removed from it.
type change struct {
	slot  int32
	added bool
}

// Set replaces the hosts and their values; ids and values are parallel. Known beginnings of orders catch up
// with the hosts that were added or removed.
func (x *Index[V]) Set(ids []uint32, values []V) {
	x.setCount++
	if len(ids) <= smallIndex || x.slotByID == nil || maxSlotRatio*len(ids) < len(x.keys) {
		x.rebuild(ids, values)
		return
	}
	var added []int
	for i, id := range ids {
		if slot, ok := x.slotByID[id]; ok {
			x.namedBy[slot], x.values[slot] = x.setCount, values[i]
		} else {
			added = append(added, i)
		}
	}
	for _, id := range x.unnamed(len(ids) - len(added)) {
		x.Remove(id)
	}
	for _, i := range added {
		x.Add(ids[i], values[i])
	}
}

// unnamed returns the hosts that the latest Set did not name, where it named so many known ones.
func (x *Index[V]) unnamed(named int) (ids []uint32) {
	if named == x.hosts {
		return nil
	}
	for id, slot := range x.slotByID {
		if x.namedBy[slot] != x.setCount {
			ids = append(ids, id)
		}
	}
	return ids
}

// Add adds a host, which must not be there. It takes the same time however many there are.
func (x *Index[V]) Add(id uint32, value V) {
	if x.slotByID == nil {
		x.rebuild(append(x.ids, id), append(slices.Clone(x.values), value))
		return
	}
	slot := x.takeSlot()
	x.keys[slot], x.values[slot], x.used[slot], x.namedBy[slot] = Mix(uint64(id)), value, true, x.setCount
	x.slotByID[id] = slot
	x.hosts++
	x.log(change{slot, true})
}

// takeSlot returns a free slot, or a new one.
func (x *Index[V]) takeSlot() int32 {
	if last := len(x.free) - 1; last >= 0 {
		slot := x.free[last]
		x.free = x.free[:last]
		return slot
	}
	var none V
	x.keys = append(x.keys, 0)
	x.values = append(x.values, none)
	x.used = append(x.used, false)
	x.namedBy = append(x.namedBy, 0)
	return int32(len(x.keys) - 1)
}

// Remove removes a host; one that is not there is passed over.
func (x *Index[V]) Remove(id uint32) {
	if x.slotByID == nil {
		if i := slices.Index(x.ids, id); i >= 0 {
			x.rebuild(slices.Delete(x.ids, i, i+1), slices.Delete(slices.Clone(x.values), i, i+1))
		}
		return
	}
	slot, ok := x.slotByID[id]
	if !ok {
		return
	}
	delete(x.slotByID, id)
	var none V
	x.used[slot], x.values[slot] = false, none
	x.free = append(x.free, slot)
	x.hosts--
	x.log(change{slot, false})
}

// log appends a change to the log, and drops the older half of a full one.
func (x *Index[V]) log(c change) {
	x.changes = append(x.changes, c)
	if len(x.changes) > maxChanges {
		drop := len(x.changes) - maxChanges/2
		x.changes = slices.Delete(x.changes, 0, drop)
		x.changesDropped += uint64(drop)
	}
}

// version is the number of changes so far.
func (x *Index[V]) version() uint64 { return x.changesDropped + uint64(len(x.changes)) }

// rebuild takes all hosts as new: what is known of orders is out of date.
func (x *Index[V]) rebuild(ids []uint32, values []V) {
	x.keys, x.used, x.namedBy, x.free = x.keys[:0], x.used[:0], x.namedBy[:0], nil
	x.values = append(x.values[:0], values...)
	for _, id := range ids {
		x.keys = append(x.keys, Mix(uint64(id)))
		x.used = append(x.used, true)
		x.namedBy = append(x.namedBy, x.setCount)
	}
	x.changesDropped = x.version() + 1
	x.changes, x.slotByID, x.hosts = nil, nil, len(ids)
	if len(ids) <= smallIndex {
		x.ids = append([]uint32(nil), ids...)
		return
	}
	x.ids = nil
	x.slotByID = make(map[uint32]int32, len(ids))
	for i, id := range ids {
		x.slotByID[id] = int32(i)
	}
}

// Len is the number of hosts.
func (x *Index[V]) Len() int { return x.hosts }

// Mix spreads a hash over all its bits, which FNV alone leaves uneven for short names. It is the finalizer of
// SplitMix64.
func Mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
