package sketch

// queueSlack is the number of stale entries of the queue that may be left beside as many as there are live
// ones.
const queueSlack = 64

// BoundedMap remembers a value by hash, in some 50 bytes each; beyond its size the entries that were put
// first are dropped. Two things with one hash pass for one, which 64 bits make as good as never.
type BoundedMap struct {
	size     int
	lastPut  uint32 // number of the last put, which tells a live entry of the queue from a stale one
	entries  map[uint64]mapEntry
	putOrder []queuedKey // may have stale entries, of what was taken or put again since
}

type mapEntry struct {
	value float64
	put   uint32
}

type queuedKey struct {
	hash uint64
	put  uint32
}

// NewBoundedMap returns an empty map for so many entries.
func NewBoundedMap(size int) *BoundedMap {
	return &BoundedMap{size: size, entries: map[uint64]mapEntry{}}
}

// Len is the number of entries.
func (m *BoundedMap) Len() int { return len(m.entries) }

// Put adds an entry, as the last that was put, or replaces it.
func (m *BoundedMap) Put(hash uint64, value float64) {
	m.lastPut++
	m.entries[hash] = mapEntry{value, m.lastPut}
	m.putOrder = append(m.putOrder, queuedKey{hash, m.lastPut})
	m.Trim(m.size)
	if len(m.putOrder) > 2*len(m.entries)+queueSlack {
		m.dropStale()
	}
}

// Trim drops the entries that were put first, until so many are left.
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

// Take removes an entry and returns its value.
func (m *BoundedMap) Take(hash uint64) (value float64, ok bool) {
	e, ok := m.entries[hash]
	delete(m.entries, hash)
	return e.value, ok
}
