package timerwheel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"elderwall/internal/standin/need"
)

// Items must be returned in the order of their due times, and items with the same time in the order in which
// they were added. Removed items must not be returned.
func TestWheelOrderAndRemoval(t *testing.T) {
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
		{"without what was removed, also twice", []float64{3, 1, 2}, []int{1, 1}, 5, []int{2, 0}},
	} {
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
		assert.Equal(t, tt.want, got, tt.name)
	}
}

// referenceQueue is the simple implementation that the wheel is compared with: a list of all items in the
// order in which they were added.
type referenceQueue []Due[int]

// popAt removes and returns the item that is due first. Of items with the same time it takes the one that was
// added first.
func (q *referenceQueue) popAt(now float64) (d Due[int], ok bool) {
	at := -1
	for i, d := range *q {
		if d.At <= now && (at < 0 || d.At < (*q)[at].At) {
			at = i
		}
	}
	if at < 0 {
		return d, false
	}
	d = (*q)[at]
	*q = slices.Delete(*q, at, at+1)
	return d, true
}

// The wheel must return the same items in the same order as a simple queue, whatever is added and removed,
// also when time stands still, jumps by an hour or goes back.
func TestWheelMatchesReferenceQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Wheel[int]
		var reference referenceQueue
		var timers []*Timer[int]
		var added []int
		now := rapid.SampledFrom([]float64{0, 5, 1e6}).Draw(t, "start")
		delays := rapid.OneOf(rapid.Float64Range(-1, 0.02), rapid.Float64Range(0, 10), rapid.Float64Range(0, 1e5),
			rapid.SampledFrom([]float64{0, 0.01, math.Inf(1), 1.0 / 1024, 64.0 / 1024, 3600}))
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				at := now + delays.Draw(t, "in")
				timers, added, reference = append(timers, w.Add(at, i)), append(added, i), append(reference, Due[int]{at, i})
			case 2:
				if len(timers) > 0 {
					k := rapid.IntRange(0, len(timers)-1).Draw(t, "which")
					reference = slices.DeleteFunc(reference, func(d Due[int]) bool { return d.Item == added[k] })
					w.Remove(timers[k])
				}
			case 3:
				now += rapid.SampledFrom([]float64{0, 0.001, 0.01, 1, 70, 3600, -0.5}).Draw(t, "passes")
				for range rapid.IntRange(1, 100).Draw(t, "taken") {
					got, ok := w.PopAt(now)
					want, wantOK := reference.popAt(now)
					if got != want || ok != wantOK {
						t.Fatalf("%v %t, want %v %t", got, ok, want, wantOK)
					}
				}
			}
			require.Equal(t, len(reference), w.Len(), "%d items, want %d", w.Len(), len(reference))
		}
	})
}

// A wheel whose next item is an hour away must reach it without visiting each tick, and without allocating.
func TestLongJumpAllocatesNothing(t *testing.T) {
	var w Wheel[int]
	w.Add(3600, 1)
	w.Add(7200, 2)
	_, ok := w.Pop(3599.9)
	assert.False(t, ok)
	got, ok := w.PopAt(1e9)
	assert.Equal(t, []any{Due[int]{3600, 1}, true}, []any{got, ok})
	assert.LessOrEqual(t, testing.AllocsPerRun(10, func() { w.Pop(7000) }), 0.0)
}

// BenchmarkTimers measures what a GET does to the timers of a router that has n of them open: it adds one and
// removes one that is not due. Expired timers are popped on every hundredth GET.
func BenchmarkTimers(b *testing.B) {
	for _, n := range []int{100, 10_000, 1_000_000} {
		ahead, which, r := make([]float64, 1<<16), make([]int, 1<<16), rand.New(rand.NewPCG(1, 2))
		for i := range ahead {
			ahead[i], which[i] = 0.5+4.5*r.Float64(), r.IntN(n)
		}
		var w Wheel[int]
		open := make([]*Timer[int], n)
		for i := range open {
			open[i] = w.Add(ahead[i&0xffff], i)
		}
		need.Bench(b, fmt.Sprint(n), func(i int) {
			now, k := float64(i)*1e-6, which[i&0xffff]
			w.Remove(open[k])
			open[k] = w.Add(now+ahead[i&0xffff], k)
			if i%100 == 0 {
				for _, ok := w.Pop(now); ok; _, ok = w.Pop(now) {
				}
			}
		})
	}
}
