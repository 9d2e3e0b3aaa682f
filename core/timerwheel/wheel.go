// Package timerwheel returns items in the order of the times at which they are due. Times are in seconds on
// the caller's monotonic clock.
package timerwheel

import (
	"container/heap"
	"math/bits"
)

const (
	ticksPerSecond = 1024.0 // finer than the timer of the driver; a heap orders the items within a tick
	levelBits      = 6      // number of bits of a tick that one level covers
	slotsPerLevel  = 1 << levelBits
	levelCount     = 64/levelBits + 1
	maxTick        = 1 << 53 // last tick; items that are due later, or never, wait there
)

// Wheel is a hierarchical timing wheel. It returns items in the order of their times, and items with the same
// time in the order in which they were added. Items whose tick has passed are in a small heap, all others in
// lists by level. Adding and removing take the same time however many items there are. The zero Wheel is empty
// and ready to use. It is not safe for concurrent use.
type Wheel[T any] struct {
	currentTick  uint64 // all items up to this tick are in ready
	lastSequence uint64 // number of items that were ever added
	count        int
	ready        timerHeap[T]
	level        [levelCount]struct {
		occupied uint64 // bit set of the slots whose lists are not empty
		lists    [slotsPerLevel]*Timer[T]
	}
}

// Timer is the position of one item in a Wheel.
type Timer[T any] struct {
	at         float64 // seconds; due time
	sequence   uint64  // orders timers with the same due time; 0 if the timer was never in a wheel
	index      int     // index in ready; -1 if it is not in the wheel, and -2 or less encodes its list
	item       T
	next, prev *Timer[T]
}

// Due is an item and the time in seconds at which it was due.
type Due[T any] struct {
	At   float64
	Item T
}

// Len returns the number of items.
func (w *Wheel[T]) Len() int { return w.count }

// Add adds an item that is due at the given time, in seconds.
func (w *Wheel[T]) Add(at float64, item T) *Timer[T] {
	t := &Timer[T]{}
	w.Put(t, at, item)
	return t
}

// Put is like Add, but with a timer that the caller keeps. A timer that is already in the wheel is removed
// first.
func (w *Wheel[T]) Put(t *Timer[T], at float64, item T) {
	w.Remove(t)
	w.lastSequence++
	*t = Timer[T]{at: at, sequence: w.lastSequence, item: item}
	w.count++
	w.place(t)
}

// tickOf returns the tick of a time in seconds.
func tickOf(at float64) uint64 {
	switch {
	case !(at > 0):
		return 0
	case at >= maxTick/ticksPerSecond:
		return maxTick
	}
	return uint64(at * ticksPerSecond)
}

// place puts a timer into ready or into a list, relative to the current tick. The level of the list is that of
// the highest bits in which the timer's tick differs from the current one.
func (w *Wheel[T]) place(t *Timer[T]) {
	tick := tickOf(t.at)
	if tick <= w.currentTick {
		heap.Push(&w.ready, t)
		return
	}
	level := (bits.Len64(tick^w.currentTick) - 1) / levelBits
	slot := tick >> (level * levelBits) & (slotsPerLevel - 1)
	l := &w.level[level]
	t.index = -2 - level*slotsPerLevel - int(slot)
	if t.next = l.lists[slot]; t.next != nil {
		t.next.prev = t
	}
	l.lists[slot] = t
	l.occupied |= 1 << slot
}

// Remove removes a timer. It does nothing if the timer is nil, has already been removed or was never in the
// wheel.
func (w *Wheel[T]) Remove(t *Timer[T]) {
	switch {
	case t == nil || t.sequence == 0 || t.index == -1:
		return
	case t.index >= 0:
		heap.Remove(&w.ready, t.index)
	default:
		list := -2 - t.index
		l := &w.level[list/slotsPerLevel]
		switch {
		case t.prev != nil:
			t.prev.next = t.next
		case t.next != nil:
			l.lists[list%slotsPerLevel] = t.next
		default:
			l.lists[list%slotsPerLevel] = nil
			l.occupied &^= 1 << (list % slotsPerLevel)
		}
		if t.next != nil {
			t.next.prev = t.prev
		}
		t.next, t.prev, t.index = nil, nil, -1
	}
	w.count--
}

// Pop removes and returns the first item that is due at or before the given time, in seconds. ok is false if
// there is none.
func (w *Wheel[T]) Pop(now float64) (item T, ok bool) {
	d, ok := w.PopAt(now)
	return d.Item, ok
}

// PopAt is like Pop but also returns the time at which the item was due.
func (w *Wheel[T]) PopAt(now float64) (d Due[T], ok bool) {
	if len(w.ready) == 0 || w.ready[0].at > now {
		w.advance(tickOf(now))
	}
	if len(w.ready) == 0 || w.ready[0].at > now {
		return d, false
	}
	t := heap.Pop(&w.ready).(*Timer[T])
	w.count--
	return Due[T]{t.at, t.item}, true
}

// advance moves the current tick to the given tick, or only to the first one at which an item is due. ready
// must be empty before. It visits only lists that are not empty, so a jump of an hour costs no more than one
// tick.
func (w *Wheel[T]) advance(to uint64) {
	for len(w.ready) == 0 {
		next, ok := w.firstList()
		if !ok || next.start > to {
			w.currentTick = max(w.currentTick, to)
			return
		}
		w.currentTick = max(w.currentTick, next.start)
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

// position is the position of a list in the wheel and the tick at which the list starts.
type position struct {
	level, slot int
	start       uint64
}

// firstList returns the position of the first list that is not empty, and false if there is none. Lists of
// lower levels always come first, because their ticks share more bits with the current tick.
func (w *Wheel[T]) firstList() (position, bool) {
	for level := range w.level {
		occupied := w.level[level].occupied
		if occupied == 0 {
			continue
		}
		// No occupied slot is before the current one, because its timers would be at a higher level.
		slot := bits.TrailingZeros64(occupied)
		shift := level * levelBits
		start := w.currentTick&^(1<<(shift+levelBits)-1) | uint64(slot)<<shift
		return position{level: level, slot: slot, start: start}, true
	}
	return position{}, false
}

// timerHeap implements heap.Interface, ordered by due time and then by sequence.
type timerHeap[T any] []*Timer[T]

func (s timerHeap[T]) Len() int { return len(s) }

func (s timerHeap[T]) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].sequence < s[j].sequence
}

func (s timerHeap[T]) Swap(i, j int) {
	s[i], s[j] = s[j], s[i]
	s[i].index, s[j].index = i, j
}

func (s *timerHeap[T]) Push(x any) {
	t := x.(*Timer[T])
	t.index = len(*s)
	*s = append(*s, t)
}

func (s *timerHeap[T]) Pop() any {
	last := len(*s) - 1
	t := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	t.index = -1
	return t
}
