// Package rendezvous orders hosts for the hash of an object by highest random weight (rendezvous hashing,
// Thaler and Ravishankar). The order is the same at every router that lists the same hosts, and adding or
// removing a host moves only that host's objects. Once an object has been requested, finding its first hosts
// takes time that does not grow with the number of hosts. The package does no I/O and reads no clock.
//
// An Index keeps its hosts in slots, which do not change while a host is listed, and a log of the latest
// changes. Prefixes of orders that are already known (a Prefix with each object, and a cache of longer ones)
// apply that log instead of being computed anew.
package rendezvous

import "slices"

const (
	smallIndex = 16 // number of hosts up to which sorting all of them is as cheap as a lookup
	// maxChanges is the limit on logged changes: those of one minute in a list of 10,000 hosts of which 1%
	// change each second.
	maxChanges   = 1 << 13
	maxSlotRatio = 2 // slots per host above which an index is rebuilt
)

// Index is a set of hosts, each with a value. The zero value is empty and ready to use. It is not safe for
// concurrent use.
type Index[V any] struct {
	// The following slices are indexed by slot. They are separate because a search reads all keys and little
	// else.
	keys    []uint64 // mixed IDs of the hosts
	values  []V
	used    []bool
	lastSet []uint32 // number of the last Set that listed the host

	slotByID  map[uint32]int32 // nil for a small index, whose slots are in the order of ids
	free      []int32          // slots without a host
	ids       []uint32         // host IDs, only for a small index
	hostCount int
	setCount  uint32 // number of calls of Set so far

	changes        []change // the latest changes, oldest first
	changesDropped uint64   // number of changes that were dropped from the log

	longPrefixes *longPrefixes // nil until a walk goes beyond a Prefix
	scratch      []scored      // reused for sorting
}

// change records that a host was added to a slot or removed from it.
type change struct {
	slot  int32
	added bool
}

// Set replaces the hosts and their values; ids and values are parallel. Known prefixes catch up with the hosts
// that were added or removed.
func (x *Index[V]) Set(ids []uint32, values []V) {
	x.setCount++
	if len(ids) <= smallIndex || x.slotByID == nil || maxSlotRatio*len(ids) < len(x.keys) {
		x.rebuild(ids, values)
		return
	}
	var added []int
	for i, id := range ids {
		if slot, ok := x.slotByID[id]; ok {
			x.lastSet[slot], x.values[slot] = x.setCount, values[i]
		} else {
			added = append(added, i)
		}
	}
	for _, id := range x.missingFromLastSet(len(ids) - len(added)) {
		x.Remove(id)
	}
	for _, i := range added {
		x.Add(ids[i], values[i])
	}
}

// missingFromLastSet returns the known hosts that the latest Set did not list. listed is the number of known
// hosts that it did list.
func (x *Index[V]) missingFromLastSet(listed int) (ids []uint32) {
	if listed == x.hostCount {
		return nil
	}
	for id, slot := range x.slotByID {
		if x.lastSet[slot] != x.setCount {
			ids = append(ids, id)
		}
	}
	return ids
}

// Add adds a host, which must not be present. The time it takes does not depend on the number of hosts, except
// in a small index.
func (x *Index[V]) Add(id uint32, value V) {
	if x.slotByID == nil {
		x.rebuild(append(x.ids, id), append(slices.Clone(x.values), value))
		return
	}
	slot := x.takeSlot()
	x.keys[slot], x.values[slot], x.used[slot], x.lastSet[slot] = Mix(uint64(id)), value, true, x.setCount
	x.slotByID[id] = slot
	x.hostCount++
	x.log(change{slot, true})
}

// takeSlot returns a free slot or appends a new one.
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
	x.lastSet = append(x.lastSet, 0)
	return int32(len(x.keys) - 1)
}

// Remove removes a host. It does nothing if the host is not present.
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
	x.hostCount--
	x.log(change{slot, false})
}

// log appends a change to the log. If the log is full, it drops the older half.
func (x *Index[V]) log(c change) {
	x.changes = append(x.changes, c)
	if len(x.changes) > maxChanges {
		drop := len(x.changes) - maxChanges/2
		x.changes = slices.Delete(x.changes, 0, drop)
		x.changesDropped += uint64(drop)
	}
}

// version returns the number of changes so far.
func (x *Index[V]) version() uint64 { return x.changesDropped + uint64(len(x.changes)) }

// rebuild replaces all hosts and invalidates all known prefixes.
func (x *Index[V]) rebuild(ids []uint32, values []V) {
	x.keys, x.used, x.lastSet, x.free = x.keys[:0], x.used[:0], x.lastSet[:0], nil
	x.values = append(x.values[:0], values...)
	for _, id := range ids {
		x.keys = append(x.keys, Mix(uint64(id)))
		x.used = append(x.used, true)
		x.lastSet = append(x.lastSet, x.setCount)
	}
	x.changesDropped = x.version() + 1
	x.changes, x.slotByID, x.hostCount = nil, nil, len(ids)
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

// Len returns the number of hosts.
func (x *Index[V]) Len() int { return x.hostCount }

// Mix spreads a hash over all of its bits, because FNV alone distributes short names unevenly. It is the
// finalizer of SplitMix64.
func Mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
