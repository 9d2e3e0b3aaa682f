package replica

import (
	"cmp"
	"math"
	"slices"
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

func (v vector) list() Vector {
	all := make(Vector, 0, len(v))
	for name, w := range v {
		for i, m := range w.marks {
			all = append(all, Entry{name, m.era, m.number, i == 0 && w.floor == m.era && w.floor > 0})
		}
	}
	slices.SortFunc(all, func(a, b Entry) int { return cmp.Or(cmp.Compare(a.Writer, b.Writer), cmp.Compare(a.Era, b.Era)) })
	return all
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
