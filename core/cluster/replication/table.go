package replication

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// entry is what stands for a key, or stood.
type entry struct {
	rec       Record
	aside     bool
	gone      bool // out of the table: forgotten, or found deleted
	hole      bool // of the log alone: a record of its kind that was dropped
	dirty     bool
	beat      uint64 // when it last stood over another's write that came: by the machine's count of those
	hash, sum uint64 // of the key; of all
}

// shelf is a kind with what it has.
type shelf struct {
	Kind
	byKey   map[string]*entry
	tree    *tree
	bytes   int
	dead    int
	aside   int
	refused int
	full    bool // and that was told
	// While some of it were dropped: members whose records were all looked at since the last was.
	seen   map[string]bool
	upto   *vector // what was covered when the last was, or more
	uptoAt int     // drops then
}

// The tree of a kind: sums of its records by the upper bits of the hash of the key; those of several kinds are added up. Under the leaves it is
// worked out when asked for.
const (
	leafDepth = 3 // of 4 bits each: 4,096 leaves, 128 KB
	leaves    = 1 << (4 * leafDepth)
	maxDepth  = 15
)

type tree struct {
	leaf  [leaves][]*entry // by hash
	sums  [leafDepth + 1][]uint64
	count [leafDepth + 1][]uint32
	live  uint64
}

func newTree() *tree {
	t := &tree{}
	for d := range t.sums {
		t.sums[d], t.count[d] = make([]uint64, 1<<(4*d)), make([]uint32, 1<<(4*d))
	}
	return t
}

func (t *tree) add(e *entry, sign int) {
	v, n := e.sum, uint32(1)
	if sign < 0 {
		v, n = -v, ^uint32(0)
	}
	for d := range t.sums {
		at := e.hash >> (64 - 4*d) // a shift by 64 gives 0
		t.sums[d][at] += v
		t.count[d][at] += n
	}
	if !e.rec.Dead {
		t.live += v
	}
}

func (t *tree) place(e *entry) {
	l := &t.leaf[e.hash>>(64-4*leafDepth)]
	i, _ := slices.BinarySearchFunc(*l, e.hash, func(o *entry, h uint64) int { return cmp.Compare(o.hash, h) })
	*l = slices.Insert(*l, i, e)
}

func (t *tree) take(e *entry) {
	l := &t.leaf[e.hash>>(64-4*leafDepth)]
	if i := slices.Index(*l, e); i >= 0 {
		*l = slices.Delete(*l, i, i+1)
	}
}

// in tells whether a hash belongs to a range.
func (r Range) in(hash uint64) bool { return hash>>(64-4*uint(r.Depth)) == r.Prefix }

func (r Range) valid() bool {
	return r.Depth <= maxDepth && (r.Depth == 0 && r.Prefix == 0 || r.Depth > 0 && r.Prefix>>(4*uint(r.Depth)) == 0)
}

func (r Range) child(i int) Range { return Range{r.Depth + 1, r.Prefix<<4 | uint64(i)} }

// each goes through a range by hash.
func (t *tree) each(r Range, f func(*entry)) {
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
		if r.in(e.hash) {
			f(e)
		}
	}
}

// Scan goes through what stands of a kind by the hash of the key, from a place on: so many of its records at least, and more only to the
// end of a leaf. It gives the next place; 0 at the end.
func (m *Machine) Scan(kind uint8, from uint64, most int, f func(Record)) (next uint64) {
	const shift = 64 - 4*leafDepth
	s := m.kinds[kind]
	for i := from >> shift; s != nil && i < leaves; i++ {
		if most <= 0 {
			return i << shift
		}
		for _, e := range s.tree.leaf[i] {
			if !e.rec.Dead && !e.aside {
				f(e.rec)
			}
		}
		most -= 1 + len(s.tree.leaf[i])
	}
	return 0
}

// children gives sums and counts of a range's sixteen parts.
func (m *Machine) children(kinds []uint8, r Range) (s Sums) {
	s = Sums{Range: r, Sums: make([]uint64, 16), Count: make([]uint32, 16)}
	for _, t := range m.trees(kinds) {
		if r.Depth < leafDepth {
			at := r.Prefix << 4
			for i := range s.Sums {
				s.Sums[i] += t.sums[r.Depth+1][at+uint64(i)]
				s.Count[i] += t.count[r.Depth+1][at+uint64(i)]
			}
			continue
		}
		t.each(r, func(e *entry) {
			i := e.hash >> (60 - 4*uint(r.Depth)) & 15
			s.Sums[i] += e.sum
			s.Count[i]++
		})
	}
	return s
}

// trees gives those of some kinds, as far as they are known here.
func (m *Machine) trees(kinds []uint8) (all []*tree) {
	for _, id := range m.ids {
		if slices.Contains(kinds, id) {
			all = append(all, m.kinds[id].tree)
		}
	}
	return all
}

// each goes through a range of some kinds.
func (m *Machine) each(kinds []uint8, r Range, f func(*entry)) {
	for _, t := range m.trees(kinds) {
		t.each(r, f)
	}
}

// leaf gives the records of some kinds in a leaf, by hash.
func (m *Machine) leaf(kinds []uint8, i uint64) (all []*entry) {
	trees := m.trees(kinds)
	for _, t := range trees {
		all = append(all, t.leaf[i]...)
	}
	if len(trees) > 1 {
		slices.SortStableFunc(all, func(a, b *entry) int { return cmp.Compare(a.hash, b.hash) })
	}
	return all
}

// live is the sum of what stands, but for kinds that are lacked.
func (m *Machine) live() (sum uint64) {
	for _, id := range m.ids {
		if !m.lacks[id] {
			sum += m.kinds[id].tree.live
		}
	}
	return sum
}

// hashOf is the place of a key in the space.
func (m *Machine) hashOf(kind uint8, key string) uint64 {
	m.scratch = append(append(m.scratch[:0], kind), key...)
	return xxhash.Sum64(m.scratch)
}

func (m *Machine) sumOf(e *entry) uint64 {
	b := append(append(m.scratch[:0], e.rec.Kind), e.rec.Key...)
	b = append(append(b, 0xff), e.rec.Value...)
	b = append(append(b, 0xff), e.rec.Dot.Writer...)
	for _, n := range [2]uint64{e.rec.Dot.Era, e.rec.Dot.Number} {
		b = append(b, byte(n), byte(n>>8), byte(n>>16), byte(n>>24), byte(n>>32), byte(n>>40), byte(n>>48), byte(n>>56))
	}
	flags := byte(0)
	if e.rec.Dead {
		flags |= 1
	}
	if e.aside {
		flags |= 2
	}
	b = append(b, flags)
	m.scratch = b
	return xxhash.Sum64(m.scratch)
}

// content orders two records of a key but for their dots.
func (m *Machine) content(s *shelf, a, b *Record) int {
	if s.Law != nil && !m.fault.noLaw {
		if c := s.Law(a.Value, b.Value); c != 0 {
			return c
		}
	}
	if a.Dead != b.Dead {
		if a.Dead {
			return 1
		}
		return -1
	}
	return bytes.Compare(a.Value, b.Value)
}

// order is the whole order of records of a key.
func (m *Machine) order(s *shelf, a, b *Record) int {
	return cmp.Or(m.content(s, a, b), a.Dot.Compare(b.Dot))
}

func size(r *Record) int { return len(r.Key) + len(r.Value) }

// merge has the higher of what comes and what stands stand. It gives the key's entry, a hole where the kind is full.
func (m *Machine) merge(c Carried) *entry {
	r, s := c.Record, m.kinds[c.Record.Kind]
	e := s.byKey[r.Key]
	if e == nil {
		if len(s.byKey) >= s.Records || s.bytes+size(&r) > s.Bytes {
			return m.refuse(s, &r)
		}
		r.Dot.Writer = m.intern(r.Dot.Writer)
		e = &entry{rec: r, aside: c.Aside, hash: m.hashOf(r.Kind, r.Key)}
		s.byKey[r.Key] = e
		s.count(e, 1)
		e.sum = m.sumOf(e)
		s.tree.place(e)
		s.tree.add(e, 1)
		m.touch(e)
		return e
	}
	order := m.content(s, &r, &e.rec)
	if r.Dot != e.rec.Dot && !m.vec.covers(r.Dot) {
		m.beats++
		e.beat = m.beats
	}
	var aside bool
	switch {
	case r.Dot == e.rec.Dot:
		aside = e.aside || c.Aside || order != 0
		if aside != e.aside && order != 0 {
			m.event(Event{What: "aside", Kind: r.Kind, Key: r.Key, Dot: r.Dot})
		}
	case cmp.Or(order, r.Dot.Compare(e.rec.Dot)) > 0:
		order, aside = 1, c.Aside
	default:
		return e
	}
	if order <= 0 && aside == e.aside {
		return e
	}
	if order > 0 && s.bytes+len(r.Value)-len(e.rec.Value) > s.Bytes {
		return m.refuse(s, &r)
	}
	m.change(s, e, func() {
		if order > 0 {
			r.Key, r.Dot.Writer = e.rec.Key, m.intern(r.Dot.Writer)
			e.rec = r
		}
		e.aside = aside
	})
	return e
}

// change books all that depends on an entry's content.
func (m *Machine) change(s *shelf, e *entry, f func()) {
	was := e.aside
	s.count(e, -1)
	s.tree.add(e, -1)
	f()
	s.count(e, 1)
	e.sum = m.sumOf(e)
	s.tree.add(e, 1)
	m.touch(e)
	if e.aside && !was {
		m.tellAside = append(m.tellAside, e)
	}
}

func (s *shelf) count(e *entry, sign int) {
	s.bytes += sign * size(&e.rec)
	if e.rec.Dead {
		s.dead += sign
	}
	if e.aside {
		s.aside += sign
	}
}

// setAside books that another content was met under a record's dot.
func (m *Machine) setAside(e *entry) {
	if e.gone || e.aside {
		return
	}
	m.event(Event{What: "aside", Kind: e.rec.Kind, Key: e.rec.Key, Dot: e.rec.Dot})
	m.change(m.kinds[e.rec.Kind], e, func() { e.aside = true })
}

// drop takes a record out: it was deleted elsewhere, or its tombstone is forgotten.
func (m *Machine) drop(e *entry) {
	if e.gone {
		return
	}
	s := m.kinds[e.rec.Kind]
	s.count(e, -1)
	s.tree.add(e, -1)
	s.tree.take(e)
	delete(s.byKey, e.rec.Key)
	e.gone = true
	m.touch(e)
}

func (m *Machine) refuse(s *shelf, r *Record) *entry {
	s.refused++
	if !s.full {
		s.full = true
		m.event(Event{What: "full", Kind: s.ID, Key: r.Key, Dot: r.Dot})
	}
	return m.dropped(s.ID)
}

// dropped books that a record of a kind is not kept, whose number the vector is about to cover: it is lacked until all of the kind was brought in
// anew. In the log its place is a hole.
func (m *Machine) dropped(kind uint8) *entry {
	m.lack(kind, true)
	m.drops[kind]++
	if s := m.kinds[kind]; s != nil {
		s.seen = nil
	} else if !m.strange[kind] {
		m.strange[kind] = true
		m.event(Event{What: "strange", Kind: kind})
	}
	if m.holes[kind] == nil {
		m.holes[kind] = &entry{rec: Record{Kind: kind}, hole: true}
	}
	return m.holes[kind]
}

// lack books whether some of a kind are lacked. It is saved with the vector: the next start is to know of what that says nothing.
func (m *Machine) lack(kind uint8, is bool) {
	if m.fault.claims || m.lacks[kind] == is {
		return
	}
	m.lacks[kind], m.lacksDirty, m.lacked = is, true, nil
	for id, is := range m.lacks {
		if is {
			m.lacked = append(m.lacked, uint8(id))
		}
	}
}

func (m *Machine) touch(e *entry) {
	if !e.dirty {
		e.dirty = true
		m.dirty = append(m.dirty, e)
	}
	if e.rec.Dead && !e.gone {
		m.graves = append(m.graves, grave{e, e.rec.Dot, m.now})
	}
}

// intern keeps one copy of a writer's name for all its dots.
func (m *Machine) intern(name string) string {
	if s, ok := m.names[name]; ok {
		return s
	}
	if len(m.names) < 2*mostWriters {
		m.names[name] = name
	}
	return name
}
