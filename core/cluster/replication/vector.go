package replication

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// mark is how far one has a writer's era.
type mark struct{ era, number uint64 }

// writer is what one has of a writer: eras under floor are whole.
type writer struct {
	hash  uint64 // of its name
	floor uint64
	marks []mark // by era, rising
}

// vector keeps sums of its entries by bucket of writers, and of all: equal ones tell equal vectors. One who has folded an era differs in them from one
// who has not yet: then entries are compared, until both have.
type vector struct {
	of   map[string]*writer
	sums [buckets]uint64
	sum  uint64
}

func newVector() *vector { return &vector{of: map[string]*writer{}} }

func bucketOf(name string) byte { return byte(xxhash.Sum64String(name) >> 56) }

// mix spreads bits (splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (w *writer) grounded() bool { return w.floor > 0 && len(w.marks) > 0 && w.floor == w.marks[0].era }

func (w *writer) sum() (s uint64) {
	for _, k := range w.marks {
		s += mix(mix(w.hash+mix(k.era)) + k.number)
	}
	if w.grounded() {
		s += mix(w.hash + mix(w.floor) + 1)
	}
	return s
}

// change keeps the sums with whatever is done to a writer.
func (v *vector) change(w *writer, f func()) {
	was := w.sum()
	f()
	d := w.sum() - was
	v.sums[w.hash>>56] += d
	v.sum += d
}

func (v *vector) at(name string, era uint64) uint64 {
	w := v.of[name]
	if w == nil {
		return 0
	}
	for i := len(w.marks) - 1; i >= 0; i-- {
		if w.marks[i].era == era {
			return w.marks[i].number
		}
	}
	if era < w.floor {
		return math.MaxUint64
	}
	return 0
}

func (v *vector) covers(d Dot) bool { return v.at(d.Writer, d.Era) >= d.Number }

// raise gives whether it rose.
func (v *vector) raise(name string, era, number uint64) bool {
	if number == 0 || v.at(name, era) >= number {
		return false
	}
	w := v.of[name]
	if w == nil {
		w = &writer{hash: xxhash.Sum64String(name)}
		v.of[name] = w
	}
	v.change(w, func() {
		i, found := slices.BinarySearchFunc(w.marks, era, func(m mark, e uint64) int { return cmp.Compare(m.era, e) })
		if found {
			w.marks[i].number = number
		} else {
			w.marks = slices.Insert(w.marks, i, mark{era, number})
		}
	})
	return true
}

// ground says that a writer's eras under one are whole.
func (v *vector) ground(w *writer, floor uint64) { v.change(w, func() { w.floor = floor }) }

// list gives the entries of some buckets; of all for nil.
func (v *vector) list(shown []byte) Vector {
	var in [buckets]bool
	for _, b := range shown {
		in[b] = true
	}
	all := make(Vector, 0, len(v.of)*(len(shown)+1)/buckets)
	for name, w := range v.of {
		if shown != nil && !in[w.hash>>56] {
			continue
		}
		for i, m := range w.marks {
			all = append(all, Entry{name, m.era, m.number, i == 0 && w.grounded()})
		}
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Writer, b.Writer), cmp.Compare(a.Era, b.Era)) })
	return all
}

// load makes one of a list.
func load(all Vector) *vector {
	v := newVector()
	v.join(all)
	return v
}

func (v *vector) join(all Vector) {
	for _, e := range all {
		v.raise(e.Writer, e.Era, e.Number)
		if w := v.of[e.Writer]; e.Floor && w != nil {
			v.ground(w, max(w.floor, e.Era))
		}
	}
}

func (v *vector) clone() *vector {
	c := *v
	c.of = make(map[string]*writer, len(v.of))
	for name, w := range v.of {
		c.of[name] = &writer{w.hash, w.floor, slices.Clone(w.marks)}
	}
	return &c
}

// digest is a byte a bucket. Salt, new with each question, has those that differ and look alike look alike once only.
func (v *vector) digest(salt uint64) []byte {
	d := make([]byte, buckets)
	for i, s := range v.sums {
		d[i] = byte(mix(s+salt) >> 56)
	}
	return d
}

// differs lists the buckets that another's digest shows to differ; all where none does.
func (v *vector) differs(salt uint64, digest []byte) (shown []byte) {
	for i, d := range v.digest(salt) {
		if d != digest[i] {
			shown = append(shown, byte(i))
		}
	}
	if shown == nil {
		for i := range buckets {
			shown = append(shown, byte(i))
		}
	}
	return shown
}

// with puts another's buckets in place of v's. It gives nil where the sums do not prove that the rest is equal.
func (v *vector) with(shown []byte, theirs *vector, sum uint64) *vector {
	rest := v.sum
	for _, b := range shown {
		rest -= v.sums[b]
	}
	if rest+theirs.sum != sum {
		return nil
	}
	c := v.clone()
	for name, w := range c.of {
		if _, ok := slices.BinarySearch(shown, byte(w.hash>>56)); ok {
			delete(c.of, name)
		}
	}
	for name, w := range theirs.of {
		c.of[name] = w
	}
	for _, b := range shown {
		c.sums[b] = theirs.sums[b]
	}
	c.sum = sum
	return c
}

// rooted tells whether what another folded of a writer is here: folded too, or not folded yet. Guards against a newcomer that is given the later
// eras alone, and then says that it has all before them.
func (v *vector) rooted(name string, floor uint64) bool {
	w := v.of[name]
	return floor == 0 || w != nil && (w.floor >= floor || len(w.marks) > 0 && w.marks[0].era < floor)
}

// reaches tells whether v has all that o has.
func (v *vector) reaches(o *vector) bool {
	for name, w := range o.of {
		if !v.rooted(name, w.floor) {
			return false
		}
		for _, m := range w.marks {
			if v.at(name, m.era) < m.number {
				return false
			}
		}
	}
	return true
}

// meet is what both have.
func meet(a, b *vector) *vector {
	c := newVector()
	for name, w := range a.of {
		for _, m := range w.marks {
			if n := min(m.number, b.at(name, m.era)); n > 0 {
				c.raise(name, m.era, n)
			}
		}
		if o := b.of[name]; o != nil {
			for _, m := range o.marks {
				if a.at(name, m.era) == math.MaxUint64 { // folded in a
					c.raise(name, m.era, m.number)
				}
			}
			if k := c.of[name]; k != nil {
				c.ground(k, min(w.floor, o.floor))
			}
		}
	}
	return c
}
