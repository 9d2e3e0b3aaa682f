package replica

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
	floor uint64
	marks []mark // by era, rising
}

type vector map[string]*writer

func (v vector) at(name string, era uint64) uint64 {
	w := v[name]
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

func (v vector) covers(d Dot) bool { return v.at(d.Writer, d.Era) >= d.Number }

// raise gives whether it rose.
func (v vector) raise(name string, era, number uint64) bool {
	if number == 0 || v.at(name, era) >= number {
		return false
	}
	w := v[name]
	if w == nil {
		w = &writer{}
		v[name] = w
	}
	i, found := slices.BinarySearchFunc(w.marks, era, func(m mark, e uint64) int { return cmp.Compare(m.era, e) })
	if found {
		w.marks[i].number = number
	} else {
		w.marks = slices.Insert(w.marks, i, mark{era, number})
	}
	return true
}

func (v vector) list() Vector { return v.above(vector{}) }

// above lists what v has and o has not.
func (v vector) above(o vector) Vector {
	var all Vector
	for name, w := range v {
		for i, m := range w.marks {
			if o.at(name, m.era) < m.number {
				all = append(all, Entry{name, m.era, m.number, i == 0 && w.floor == m.era && w.floor > 0})
			}
		}
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Writer, b.Writer), cmp.Compare(a.Era, b.Era)) })
	return all
}

// set takes a number as it is, lower ones too; 0 for none.
func (v vector) set(name string, era, number uint64) {
	w := v[name]
	if w == nil {
		v.raise(name, era, number)
		return
	}
	i, found := slices.BinarySearchFunc(w.marks, era, func(m mark, e uint64) int { return cmp.Compare(m.era, e) })
	switch {
	case !found:
		v.raise(name, era, number)
	case number > 0:
		w.marks[i].number = number
	case len(w.marks) == 1 && w.floor == 0:
		delete(v, name)
	default:
		w.marks = slices.Delete(w.marks, i, i+1)
	}
}

// sum is one number for all of it, whatever the order.
func (v vector) sum() (s uint64) {
	for name, w := range v {
		h := xxhash.Sum64String(name)
		for _, m := range w.marks {
			s += scramble(h ^ scramble(m.era^scramble(m.number)))
		}
		s += scramble(h ^ scramble(^w.floor))
	}
	return s
}

func scramble(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (v vector) clone() vector {
	c := make(vector, len(v))
	for name, w := range v {
		c[name] = &writer{w.floor, slices.Clone(w.marks)}
	}
	return c
}

// rise is one that was lately: a mark's number before it.
type rise struct {
	trackKey
	before uint64
	at     float64
}

// note keeps that a mark is about to rise to a number.
func (m *Machine) note(k trackKey, number uint64) {
	at := m.vec.at(k.writer, k.era)
	if at >= number {
		return
	}
	if m.rises = append(m.rises, rise{k, at, m.now}); len(m.rises) > 2*mostRises {
		m.rises = slices.Delete(m.rises, 0, mostRises)
		m.risesFrom = m.now
	}
}

// lately is what marks had before all that rose within so many intervals; false where more rose than is remembered.
func (m *Machine) lately(window float64) (map[trackKey]uint64, bool) {
	n, from := 0, m.now-2*lately*m.s.Interval
	for n < len(m.rises) && m.rises[n].at < from {
		n++
	}
	m.rises = m.rises[n:]
	from = m.now - window*m.s.Interval
	before := map[trackKey]uint64{}
	for _, r := range m.rises {
		if r.at < from {
			continue
		}
		if _, ok := before[r.trackKey]; !ok {
			before[r.trackKey] = r.before
		}
	}
	return before, m.risesFrom < from && len(before) <= mostRises
}

// mine is what is told of the own vector: what rose lately (twice as long as theirs takes back, so that what rose here a moment earlier is told), where that is less than half of it; else all.
func (m *Machine) mine(whole bool) *Ask {
	if before, ok := m.lately(2 * lately); !whole && ok && m.heard && 2*len(before) < len(m.vec) {
		a := &Ask{Part: true, Sum: m.vec.sum(), Live: m.tree.live}
		for k := range before {
			if w := m.vec[k.writer]; w != nil {
				if n := m.vec.at(k.writer, k.era); n > 0 && n < math.MaxUint64 {
					a.Vector = append(a.Vector, Entry{k.writer, k.era, n, false})
				}
			}
		}
		slices.SortFunc(a.Vector, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Writer, b.Writer), cmp.Compare(a.Era, b.Era)) })
		return a
	}
	m.stat.vectors++
	return &Ask{Vector: m.vec.list(), Live: m.tree.live}
}

// theirs works out a vector of which a part was told: what is here, without what rose here lately, and with that part. Nil where it is another.
func (m *Machine) theirs(a *Ask) vector {
	if !a.Part {
		return load(a.Vector)
	}
	v := m.vec.clone()
	before, _ := m.lately(lately)
	for k, n := range before {
		v.set(k.writer, k.era, n)
	}
	for _, e := range a.Vector {
		v.set(e.Writer, e.Era, e.Number)
	}
	if v.sum() != a.Sum {
		return nil
	}
	return v
}

// load makes one of a list.
func load(all Vector) vector {
	v := vector{}
	for _, e := range all {
		v.raise(e.Writer, e.Era, e.Number)
		if w := v[e.Writer]; e.Floor && w != nil {
			w.floor = max(w.floor, e.Era)
		}
	}
	return v
}

// reaches tells whether v has all that o has.
func (v vector) reaches(o vector) bool {
	for name, w := range o {
		for _, m := range w.marks {
			if v.at(name, m.era) < m.number {
				return false
			}
		}
	}
	return true
}

// meet is what both have.
func meet(a, b vector) vector {
	c := vector{}
	for name, w := range a {
		for _, m := range w.marks {
			if n := min(m.number, b.at(name, m.era)); n > 0 {
				c.raise(name, m.era, n)
			}
		}
		if o := b[name]; o != nil {
			for _, m := range o.marks {
				if a.at(name, m.era) == math.MaxUint64 { // folded in a
					c.raise(name, m.era, m.number)
				}
			}
			if k := c[name]; k != nil {
				k.floor = min(w.floor, o.floor)
			}
		}
	}
	return c
}
