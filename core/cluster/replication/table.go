package replication

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// entry holds the current record of a key, or the last one of a key that was removed.
type entry struct {
	record              Record
	conflicting         bool
	removed             bool // no longer in the table: a forgotten tombstone, or a record found deleted elsewhere
	omitted             bool // placeholder in the log for a dropped record of this kind
	dirty               bool
	contestedAt         uint64 // value of Machine.contested when another write of the key last arrived
	keyHash, contentSum uint64 // hash of the key; hash of the whole content
}

// kindStore is a kind with its records.
type kindStore struct {
	Kind
	byKey        map[string]*entry
	tree         *hashTree
	bytes        int
	tombstones   int
	conflicting  int
	refused      int
	fullReported bool // the event "full" was reported
	// While the kind is incomplete: the members whose records of it were all pulled since the last drop.
	pulledFrom      map[string]bool
	requiredVector  *vector // a vector that covers all dropped records; a pull from a source that has it completes the kind
	requiredAtDrops int     // value of Machine.dropCounts when requiredVector was taken
}

// Shape of the hash tree of a kind. The tree keeps the sums of the records by the upper bits of the key hash; the sums of several kinds are added.
// Sums of ranges below the leaves are computed on request.
const (
	leafDepth = 3 // levels of 4 bits each, so 4,096 leaves in 128 KB
	leaves    = 1 << (4 * leafDepth)
	maxDepth  = 15
)

type hashTree struct {
	leaf       [leaves][]*entry // in ascending order of key hash
	sums       [leafDepth + 1][]uint64
	counts     [leafDepth + 1][]uint32
	contentSum uint64 // sum over the records that are not tombstones
}

func newHashTree() *hashTree {
	t := &hashTree{}
	for d := range t.sums {
		t.sums[d], t.counts[d] = make([]uint64, 1<<(4*d)), make([]uint32, 1<<(4*d))
	}
	return t
}

func (t *hashTree) add(e *entry, sign int) {
	v, n := e.contentSum, uint32(1)
	if sign < 0 {
		v, n = -v, ^uint32(0)
	}
	for d := range t.sums {
		at := e.keyHash >> (64 - 4*d) // a shift by 64 gives 0
		t.sums[d][at] += v
		t.counts[d][at] += n
	}
	if !e.record.Deleted {
		t.contentSum += v
	}
}

func (t *hashTree) insert(e *entry) {
	l := &t.leaf[e.keyHash>>(64-4*leafDepth)]
	i, _ := slices.BinarySearchFunc(*l, e.keyHash, func(o *entry, h uint64) int { return cmp.Compare(o.keyHash, h) })
	*l = slices.Insert(*l, i, e)
}

func (t *hashTree) remove(e *entry) {
	l := &t.leaf[e.keyHash>>(64-4*leafDepth)]
	if i := slices.Index(*l, e); i >= 0 {
		*l = slices.Delete(*l, i, i+1)
	}
}

// contains reports whether a key hash belongs to the range.
func (r Range) contains(hash uint64) bool { return hash>>(64-4*uint(r.Depth)) == r.Prefix }

func (r Range) valid() bool {
	return r.Depth <= maxDepth && (r.Depth == 0 && r.Prefix == 0 || r.Depth > 0 && r.Prefix>>(4*uint(r.Depth)) == 0)
}

func (r Range) child(i int) Range { return Range{r.Depth + 1, r.Prefix<<4 | uint64(i)} }

// each calls f for the entries of a range in ascending order of key hash.
func (t *hashTree) each(r Range, f func(*entry)) {
	if r.Depth <= leafDepth {
		n := uint64(1) << (4 * (leafDepth - uint(r.Depth)))
		for i := r.Prefix * n; i < (r.Prefix+1)*n; i++ {
			for _, e := range t.leaf[i] {
				f(e)
			}
		}
		return
	}
	for _, e := range t.leaf[r.Prefix>>(4*(uint(r.Depth)-leafDepth))] {
		if r.contains(e.keyHash) {
			f(e)
		}
	}
}

// Scan calls f for the current records of a kind from fromHash on, leaf by leaf in the order of their key hashes. It stops at the end of the leaf
// at which limit entries were visited, and returns the hash to continue from, or 0 at the end.
func (m *Machine) Scan(kind uint8, fromHash uint64, limit int, f func(Record)) (next uint64) {
	const shift = 64 - 4*leafDepth
	s := m.kinds[kind]
	for i := fromHash >> shift; s != nil && i < leaves; i++ {
		if limit <= 0 {
			return i << shift
		}
		for _, e := range s.tree.leaf[i] {
			if !e.record.Deleted && !e.conflicting {
				f(e.record)
			}
		}
		limit -= 1 + len(s.tree.leaf[i])
	}
	return 0
}

// children returns the sums and counts of the sixteen children of a range.
func (m *Machine) children(kinds []uint8, r Range) (s RangeSums) {
	s = RangeSums{Range: r, Sums: make([]uint64, 16), Counts: make([]uint32, 16)}
	for _, t := range m.trees(kinds) {
		if r.Depth < leafDepth {
			at := r.Prefix << 4
			for i := range s.Sums {
				s.Sums[i] += t.sums[r.Depth+1][at+uint64(i)]
				s.Counts[i] += t.counts[r.Depth+1][at+uint64(i)]
			}
			continue
		}
		t.each(r, func(e *entry) {
			i := e.keyHash >> (60 - 4*uint(r.Depth)) & 15
			s.Sums[i] += e.contentSum
			s.Counts[i]++
		})
	}
	return s
}

// trees returns the trees of the given kinds that are known here.
func (m *Machine) trees(kinds []uint8) (all []*hashTree) {
	for _, id := range m.kindIDs {
		if slices.Contains(kinds, id) {
			all = append(all, m.kinds[id].tree)
		}
	}
	return all
}

// each calls f for the entries of a range in the trees of the given kinds.
func (m *Machine) each(kinds []uint8, r Range, f func(*entry)) {
	for _, t := range m.trees(kinds) {
		t.each(r, f)
	}
}

// leaf returns the entries of the given kinds in leaf i, in ascending order of key hash.
func (m *Machine) leaf(kinds []uint8, i uint64) (all []*entry) {
	trees := m.trees(kinds)
	for _, t := range trees {
		all = append(all, t.leaf[i]...)
	}
	if len(trees) > 1 {
		slices.SortStableFunc(all, func(a, b *entry) int { return cmp.Compare(a.keyHash, b.keyHash) })
	}
	return all
}

// contentSum returns the sum over the current records of all kinds that are not incomplete.
func (m *Machine) contentSum() (sum uint64) {
	for _, id := range m.kindIDs {
		if !m.incomplete[id] {
			sum += m.kinds[id].tree.contentSum
		}
	}
	return sum
}

// hashOf returns the hash of a kind and key, which is its position in the key hash space.
func (m *Machine) hashOf(kind uint8, key string) uint64 {
	m.scratch = append(append(m.scratch[:0], kind), key...)
	return xxhash.Sum64(m.scratch)
}

func (m *Machine) sumOf(e *entry) uint64 {
	b := append(append(m.scratch[:0], e.record.Kind), e.record.Key...)
	b = append(append(b, 0xff), e.record.Value...)
	b = append(append(b, 0xff), e.record.Dot.Writer...)
	for _, n := range [2]uint64{e.record.Dot.WriterEpoch, e.record.Dot.Number} {
		b = append(b, byte(n), byte(n>>8), byte(n>>16), byte(n>>24), byte(n>>32), byte(n>>40), byte(n>>48), byte(n>>56))
	}
	flags := byte(0)
	if e.record.Deleted {
		flags |= 1
	}
	if e.conflicting {
		flags |= 2
	}
	b = append(b, flags)
	m.scratch = b
	return xxhash.Sum64(m.scratch)
}

// compareContent compares two records of a key by everything except their dots.
func (m *Machine) compareContent(s *kindStore, a, b *Record) int {
	if s.MergeOrder != nil && !m.fault.noMergeOrder {
		if c := s.MergeOrder(a.Value, b.Value); c != 0 {
			return c
		}
	}
	if a.Deleted != b.Deleted {
		if a.Deleted {
			return 1
		}
		return -1
	}
	return bytes.Compare(a.Value, b.Value)
}

// compareRecords is the total order of the records of a key; the higher one wins.
func (m *Machine) compareRecords(s *kindStore, a, b *Record) int {
	return cmp.Or(m.compareContent(s, a, b), a.Dot.Compare(b.Dot))
}

func size(r *Record) int { return len(r.Key) + len(r.Value) }

// merge keeps the higher of the received and the current record of a key. It returns the key's entry, or a placeholder if the kind is full.
func (m *Machine) merge(c ReplicatedRecord) *entry {
	r, s := c.Record, m.kinds[c.Record.Kind]
	e := s.byKey[r.Key]
	if e == nil {
		if len(s.byKey) >= s.MaxRecords || s.bytes+size(&r) > s.MaxBytes {
			return m.refuse(s, &r)
		}
		r.Dot.Writer = m.intern(r.Dot.Writer)
		e = &entry{record: r, conflicting: c.Conflicting, keyHash: m.hashOf(r.Kind, r.Key)}
		s.byKey[r.Key] = e
		s.addCounts(e, 1)
		e.contentSum = m.sumOf(e)
		s.tree.insert(e)
		s.tree.add(e, 1)
		m.markDirty(e)
		return e
	}
	comparison := m.compareContent(s, &r, &e.record)
	if r.Dot != e.record.Dot && !m.vec.covers(r.Dot) {
		m.contested++
		e.contestedAt = m.contested
	}
	var conflicting bool
	switch {
	case r.Dot == e.record.Dot:
		conflicting = e.conflicting || c.Conflicting || comparison != 0
		if conflicting != e.conflicting && comparison != 0 {
			m.addEvent(Event{Type: "aside", Kind: r.Kind, Key: r.Key, Dot: r.Dot})
		}
	case cmp.Or(comparison, r.Dot.Compare(e.record.Dot)) > 0:
		comparison, conflicting = 1, c.Conflicting
	default:
		return e
	}
	if comparison <= 0 && conflicting == e.conflicting {
		return e
	}
	if comparison > 0 && s.bytes+len(r.Value)-len(e.record.Value) > s.MaxBytes {
		return m.refuse(s, &r)
	}
	m.update(s, e, func() {
		if comparison > 0 {
			r.Key, r.Dot.Writer = e.record.Key, m.intern(r.Dot.Writer)
			e.record = r
		}
		e.conflicting = conflicting
	})
	return e
}

// update applies f, which changes the content of an entry, and adjusts the counts, sums and pending saves that depend on it.
func (m *Machine) update(s *kindStore, e *entry, f func()) {
	wasConflicting := e.conflicting
	s.addCounts(e, -1)
	s.tree.add(e, -1)
	f()
	s.addCounts(e, 1)
	e.contentSum = m.sumOf(e)
	s.tree.add(e, 1)
	m.markDirty(e)
	if e.conflicting && !wasConflicting {
		m.newConflicts = append(m.newConflicts, e)
	}
}

func (s *kindStore) addCounts(e *entry, sign int) {
	s.bytes += sign * size(&e.record)
	if e.record.Deleted {
		s.tombstones += sign
	}
	if e.conflicting {
		s.conflicting += sign
	}
}

// markConflicting marks an entry because another content was found under its dot.
func (m *Machine) markConflicting(e *entry) {
	if e.removed || e.conflicting {
		return
	}
	m.addEvent(Event{Type: "aside", Kind: e.record.Kind, Key: e.record.Key, Dot: e.record.Dot})
	m.update(m.kinds[e.record.Kind], e, func() { e.conflicting = true })
}

// remove takes an entry out of the table because it was deleted elsewhere or because its tombstone is forgotten.
func (m *Machine) remove(e *entry) {
	if e.removed {
		return
	}
	s := m.kinds[e.record.Kind]
	s.addCounts(e, -1)
	s.tree.add(e, -1)
	s.tree.remove(e)
	delete(s.byKey, e.record.Key)
	e.removed = true
	m.markDirty(e)
}

func (m *Machine) refuse(s *kindStore, r *Record) *entry {
	s.refused++
	if !s.fullReported {
		s.fullReported = true
		m.addEvent(Event{Type: "full", Kind: s.ID, Key: r.Key, Dot: r.Dot})
	}
	return m.noteDropped(s.ID)
}

// noteDropped records that a record of a kind is dropped although the vector is about to cover its number. The kind counts as incomplete until all
// of it has been pulled again. The returned placeholder takes the record's place in the log.
func (m *Machine) noteDropped(kind uint8) *entry {
	m.setIncomplete(kind, true)
	m.dropCounts[kind]++
	if s := m.kinds[kind]; s != nil {
		s.pulledFrom = nil
	} else if !m.unknown[kind] {
		m.unknown[kind] = true
		m.addEvent(Event{Type: "strange", Kind: kind})
	}
	if m.omittedEntries[kind] == nil {
		m.omittedEntries[kind] = &entry{record: Record{Kind: kind}, omitted: true}
	}
	return m.omittedEntries[kind]
}

// setIncomplete records whether a kind is incomplete. This is saved with the vector, so that the next start knows which kinds the vector does not
// cover.
func (m *Machine) setIncomplete(kind uint8, is bool) {
	if m.fault.hideDrops || m.incomplete[kind] == is {
		return
	}
	m.incomplete[kind], m.incompleteDirty, m.incompleteIDs = is, true, nil
	for id, is := range m.incomplete {
		if is {
			m.incompleteIDs = append(m.incompleteIDs, uint8(id))
		}
	}
}

func (m *Machine) markDirty(e *entry) {
	if !e.dirty {
		e.dirty = true
		m.dirty = append(m.dirty, e)
	}
	if e.record.Deleted && !e.removed {
		m.tombstones = append(m.tombstones, trackedTombstone{e, e.record.Dot, m.now})
	}
}

// intern returns a shared copy of a writer's name, so that all its dots use one string.
func (m *Machine) intern(name string) string {
	if s, ok := m.internedNames[name]; ok {
		return s
	}
	if len(m.internedNames) < 2*maxWriters {
		m.internedNames[name] = name
	}
	return name
}
