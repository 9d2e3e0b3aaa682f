package sketch

// queueSlack is the number of stale queue entries that are tolerated in addition to as many as there are live
// ones.
const queueSlack = 64

// BoundedMap maps hashes to values in about 50 bytes per entry. When it is full, it drops the entries that
// were put first. Two objects with the same 64-bit hash share an entry, which almost never happens. It is not
// safe for concurrent use.
type BoundedMap struct {
	size     int
	lastPut  uint32 // number of the last put; distinguishes live queue entries from stale ones
	entries  map[uint64]mapEntry
	putOrder []queuedKey // queue of puts; entries are stale once their hash was taken or put again
}

// mapEntry is a value with the number of its put.
type mapEntry struct {
	value float64
	put   uint32
}

// queuedKey is a hash with the number of its put.
type queuedKey struct {
	hash uint64
	put  uint32
}

// NewBoundedMap returns an empty map that holds at most size entries.
func NewBoundedMap(size int) *BoundedMap {
	return &BoundedMap{size: size, entries: map[uint64]mapEntry{}}
}

// Len returns the number of entries.
func (m *BoundedMap) Len() int { return len(m.entries) }

// Put adds or replaces an entry and makes it the newest.
func (m *BoundedMap) Put(hash uint64, value float64) {
	m.lastPut++
	m.entries[hash] = mapEntry{value, m.lastPut}
	m.putOrder = append(m.putOrder, queuedKey{hash, m.lastPut})
	m.Trim(m.size)
	if len(m.putOrder) > 2*len(m.entries)+queueSlack {
		m.dropStale()
	}
}

// Trim drops the oldest entries until at most size are left.
func (m *BoundedMap) Trim(size int) {
	for len(m.entries) > size {
		first := m.putOrder[0]
		m.putOrder = m.putOrder[1:]
		if m.entries[first.hash].put == first.put {
			delete(m.entries, first.hash)
		}
	}
}

// dropStale rebuilds the queue without stale entries.
func (m *BoundedMap) dropStale() {
	live := make([]queuedKey, 0, len(m.entries)+queueSlack)
	for _, q := range m.putOrder {
		if m.entries[q.hash].put == q.put {
			live = append(live, q)
		}
	}
	m.putOrder = live
}

// Take removes an entry and returns its value; ok is false if there is none.
func (m *BoundedMap) Take(hash uint64) (value float64, ok bool) {
	e, ok := m.entries[hash]
	delete(m.entries, hash)
	return e.value, ok
}
