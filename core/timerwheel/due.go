// Package timerwheel keeps things in the order of the times at which they fall due.
package timerwheel

import (
	"container/heap"
	"math/bits"
)

const (
	ticks  = 1024.0 // a second; of the wheel, finer than the module's timer: order within a tick comes from a heap
	fan    = 6      // bits of a level
	slots  = 1 << fan
	levels = 64/fan + 1
	far    = 1 << 53 // ticks; what is due later, or never, waits there
)

// Wheel is a hierarchical timing wheel that gives items in the order of their times, and of adding at one time: those of the ticks that have passed
// stand in a small heap, all others in lists by level. Adding and removing take the same time however many there are.
// The zero Wheel is empty and ready to use.
type Wheel[T any] struct {
	now   uint64 // the tick up to which all stand in ready
	added uint64
	n     int
	ready timers[T]
	level [levels]struct {
		occupied uint64
		lists    [slots]*Timer[T]
	}
}

// Timer is one item's place in a Wheel.
type Timer[T any] struct {
	at         float64
	order      uint64
	index      int // in ready; -1 out; below that in a list
	item       T
	next, prev *Timer[T]
}

// Due is an item with the time at which it was due.
type Due[T any] struct {
	At   float64
	Item T
}

// Len is how many items there are.
func (w *Wheel[T]) Len() int { return w.n }

// Add puts an item into the wheel, due at the given time.
func (w *Wheel[T]) Add(at float64, item T) *Timer[T] {
	t := &Timer[T]{}
	w.Put(t, at, item)
	return t
}

// Put is Add with a timer that its owner keeps; one that is in the wheel already is taken out first.
func (w *Wheel[T]) Put(t *Timer[T], at float64, item T) {
	w.Remove(t)
	w.added++
	*t = Timer[T]{at: at, order: w.added, item: item}
	w.n++
	w.place(t)
}

// tickOf is the tick of a time.
func tickOf(at float64) uint64 {
	switch {
	case !(at > 0):
		return 0
	case at >= far/ticks:
		return far
	}
	return uint64(at * ticks)
}

// place puts a timer where it belongs as of now: the level is that of the highest bits in which its tick differs.
func (w *Wheel[T]) place(t *Timer[T]) {
	tick := tickOf(t.at)
	if tick <= w.now {
		heap.Push(&w.ready, t)
		return
	}
	level := (bits.Len64(tick^w.now) - 1) / fan
	slot := tick >> (level * fan) & (slots - 1)
	l := &w.level[level]
	t.index = -2 - level*slots - int(slot)
	if t.next = l.lists[slot]; t.next != nil {
		t.next.prev = t
	}
	l.lists[slot] = t
	l.occupied |= 1 << slot
}

// Remove takes a timer out; one that is nil, already out or never was in is passed over.
func (w *Wheel[T]) Remove(t *Timer[T]) {
	switch {
	case t == nil || t.order == 0 || t.index == -1:
		return
	case t.index >= 0:
		heap.Remove(&w.ready, t.index)
	default:
		where := -2 - t.index
		l := &w.level[where/slots]
		switch {
		case t.prev != nil:
			t.prev.next = t.next
		case t.next != nil:
			l.lists[where%slots] = t.next
		default:
			l.lists[where%slots] = nil
			l.occupied &^= 1 << (where % slots)
		}
		if t.next != nil {
			t.next.prev = t.prev
		}
		t.next, t.prev, t.index = nil, nil, -1
	}
	w.n--
}

// Pop takes out the first item that is due at the given time or before it.
func (w *Wheel[T]) Pop(now float64) (item T, ok bool) {
	d, ok := w.PopAt(now)
	return d.Item, ok
}

// PopAt is Pop with the time at which the item was due.
func (w *Wheel[T]) PopAt(now float64) (d Due[T], ok bool) {
	if len(w.ready) == 0 || w.ready[0].at > now {
		w.advance(tickOf(now))
	}
	if len(w.ready) == 0 || w.ready[0].at > now {
		return d, false
	}
	t := heap.Pop(&w.ready).(*Timer[T])
	w.n--
	return Due[T]{t.at, t.item}, true
}

// advance lets time pass up to a tick, or up to the first at which anything is due: what was before it is out by then.
// It looks at lists that hold something alone, so that an hour costs no more than a tick.
func (w *Wheel[T]) advance(to uint64) {
	for len(w.ready) == 0 {
		next, ok := w.first()
		if !ok || next.start > to {
			w.now = max(w.now, to)
			return
		}
		w.now = max(w.now, next.start)
		l := &w.level[next.level]
		t := l.lists[next.slot]
		l.lists[next.slot] = nil
		l.occupied &^= 1 << next.slot
		for t != nil {
			after := t.next
			t.next, t.prev = nil, nil
			w.place(t)
			t = after
		}
	}
}

// position is the place of a list in the wheel, and the tick at which it starts.
type position struct {
	level, slot int
	start       uint64
}

// first is the first list that holds something; false for none. Lower levels always come first, as their ticks share
// more bits with now.
func (w *Wheel[T]) first() (position, bool) {
	for level := range w.level {
		occupied := w.level[level].occupied
		if occupied == 0 {
			continue
		}
		slot := bits.TrailingZeros64(occupied) // none is behind now's: their timers would differ at a higher level
		shift := level * fan
		start := w.now&^(1<<(shift+fan)-1) | uint64(slot)<<shift
		return position{level: level, slot: slot, start: start}, true
	}
	return position{}, false
}

type timers[T any] []*Timer[T]

func (s timers[T]) Len() int { return len(s) }

func (s timers[T]) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].order < s[j].order
}

func (s timers[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}

func (s *timers[T]) Push(x any) {
	t := x.(*Timer[T])
	t.index = len(*s)
	*s = append(*s, t)
}

func (s *timers[T]) Pop() any {
	last := len(*s) - 1
	t := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	t.index = -1
	return t
}
