package due

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestWheel(t *testing.T) {
	for _, tt := range []struct {
		name   string
		at     []float64
		remove []int
		now    float64
		want   []int
	}{
		{"in order of time", []float64{3, 1, 2}, nil, 5, []int{1, 2, 0}},
		{"in order of adding at one time", []float64{1, 1, 1}, nil, 1, []int{0, 1, 2}},
		{"only what is due", []float64{3, 1, 2}, nil, 2, []int{1, 2}},
		{"without what was removed, also twice", []float64{3, 1, 2}, []int{1, 1}, 5, []int{2, 0}}} {
		t.Run(tt.name, func(t *testing.T) {
			var q Wheel[int]
			var entries []*Timer[int]
			for i, at := range tt.at {
				entries = append(entries, q.Add(at, i))
			}
			for _, i := range tt.remove {
				q.Remove(entries[i])
			}
			q.Remove(nil)
			var got []int
			for item, ok := q.Pop(tt.now); ok; item, ok = q.Pop(tt.now) {
				got = append(got, item)
			}
			assert.Equal(t, tt.want, got)
		})
	}
}

// Queue is the plain way, a heap, against which the wheel is held: it holds items by due time; items due at one time come out in the order in which they were added.
// The zero Queue is empty and ready to use.
type Queue[T any] struct {
	entries entries[T]
	added   uint64
}

// Entry is one item's place in a Queue.
type Entry[T any] struct {
	at    float64
	order uint64
	index int
	item  T
}

// Add puts an item into the queue, due at the given time.
func (q *Queue[T]) Add(at float64, item T) *Entry[T] {
	q.added++
	e := &Entry[T]{at: at, order: q.added, item: item}
	heap.Push(&q.entries, e)
	return e
}

// Remove takes an entry out; one that is nil or already out is passed over.
func (q *Queue[T]) Remove(e *Entry[T]) {
	if e != nil && e.index >= 0 {
		heap.Remove(&q.entries, e.index)
	}
}

// Pop takes out the first item that is due at the given time or before it.
func (q *Queue[T]) Pop(now float64) (item T, ok bool) {
	if len(q.entries) == 0 || q.entries[0].at > now {
		return item, false
	}
	return heap.Pop(&q.entries).(*Entry[T]).item, true
}

// PopAt is Pop with the time at which the item was due.
func (q *Queue[T]) PopAt(now float64) (d Due[T], ok bool) {
	if len(q.entries) == 0 || q.entries[0].at > now {
		return d, false
	}
	e := heap.Pop(&q.entries).(*Entry[T])
	return Due[T]{e.at, e.item}, true
}

type entries[T any] []*Entry[T]

func (s entries[T]) Len() int { return len(s) }

func (s entries[T]) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].order < s[j].order
}

func (s entries[T]) Swap(i, j int) { s[i], s[j] = s[j], s[i]; s[i].index, s[j].index = i, j }
func (s *entries[T]) Push(x any)   { e := x.(*Entry[T]); e.index = len(*s); *s = append(*s, e) }

func (s *entries[T]) Pop() any {
	last := len(*s) - 1
	e := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	e.index = -1
	return e
}

// The wheel gives what the heap gives, in its order, whatever is added, removed and waited for: also when time stands
// still, jumps by an hour, or goes back.
func TestAWheelIsAQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Wheel[int]
		var q Queue[int]
		var timers []*Timer[int]
		var entries []*Entry[int]
		now := rapid.SampledFrom([]float64{0, 5, 1e6}).Draw(t, "start")
		delays := rapid.OneOf(rapid.Float64Range(-1, 0.02), rapid.Float64Range(0, 10), rapid.Float64Range(0, 1e5),
			rapid.SampledFrom([]float64{0, 0.01, math.Inf(1), 1.0 / 1024, 64.0 / 1024, 3600}))
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				at := now + delays.Draw(t, "in")
				timers, entries = append(timers, w.Add(at, i)), append(entries, q.Add(at, i))
			case 2:
				if len(timers) > 0 {
					k := rapid.IntRange(0, len(timers)-1).Draw(t, "which")
					w.Remove(timers[k])
					q.Remove(entries[k])
				}
			case 3:
				now += rapid.SampledFrom([]float64{0, 0.001, 0.01, 1, 70, 3600, -0.5}).Draw(t, "passes")
				for range rapid.IntRange(1, 100).Draw(t, "taken") {
					got, ok := w.PopAt(now)
					want, wantOK := q.PopAt(now)
					if got != want || ok != wantOK {
						t.Fatalf("%v %t, want %v %t", got, ok, want, wantOK)
					}
				}
			}
			if w.Len() != len(q.entries) {
				t.Fatalf("%d items, want %d", w.Len(), len(q.entries))
			}
		}
	})
}

func TestAnHourCostsTheWheelNoMoreThanATick(t *testing.T) {
	var w Wheel[int]
	w.Add(3600, 1)
	w.Add(7200, 2)
	_, ok := w.Pop(3599.9)
	assert.False(t, ok)
	got, ok := w.PopAt(1e9)
	assert.Equal(t, []any{Due[int]{3600, 1}, true}, []any{got, ok})
	assert.LessOrEqual(t, testing.AllocsPerRun(10, func() { w.Pop(7000) }), 0.0)
}

// BenchmarkTimers is what a GET does to the timers of a module that has so many open: it adds one some time ahead, and
// takes one out that is not due; each hundredth is waited for.
func BenchmarkTimers(b *testing.B) {
	for _, n := range []int{100, 10_000, 1_000_000} {
		ahead, r := make([]float64, 1<<16), rand.New(rand.NewPCG(1, 2))
		for i := range ahead {
			ahead[i] = 0.5 + 4.5*r.Float64()
		}
		which := make([]int, 1<<16)
		for i := range which {
			which[i] = r.IntN(n)
		}
		b.Run(fmt.Sprint("heap/", n), func(b *testing.B) {
			var q Queue[int]
			churn(b, ahead, which, make([]*Entry[int], n), q.Add, q.Remove, q.Pop)
		})
		b.Run(fmt.Sprint("wheel/", n), func(b *testing.B) {
			var w Wheel[int]
			churn(b, ahead, which, make([]*Timer[int], n), w.Add, w.Remove, w.Pop)
		})
	}
}

func churn[E any](b *testing.B, ahead []float64, which []int, open []E, add func(float64, int) E, remove func(E), pop func(float64) (int, bool)) {
	for i := range open {
		open[i] = add(ahead[i&0xffff], i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now := float64(i) * 1e-6
		k := which[i&0xffff]
		remove(open[k])
		open[k] = add(now+ahead[i&0xffff], k)
		if i%100 == 0 {
			for _, ok := pop(now); ok; _, ok = pop(now) {
			}
		}
	}
}
