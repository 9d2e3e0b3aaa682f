package due

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

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
