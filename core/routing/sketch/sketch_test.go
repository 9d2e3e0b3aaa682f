package sketch

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"elderwall/core/routing/rendezvous"
	"elderwall/internal/standin/need"
)

const windowBuckets, span = 5, 2.0

// A sketch never counts too little, and windowBuckets that have passed count no more.
func TestNeverTooLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(windowBuckets, span, rapid.SampledFrom([]int{0, 1 << 16}).Draw(t, "bytes"))
		type asked struct {
			object uint64
			epoch  int
		}
		exact, now := map[asked]float64{}, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "GETs") {
			now += rapid.SampledFrom([]float64{0, 0, 0.01, 0.5, 3, 3600}).Draw(t, "passes")
			o := rapid.Uint64Range(0, 40).Draw(t, "object")
			s.Add(now, rendezvous.Mix(o))
			exact[asked{o, int(now / span)}]++
		}
		var got [windowBuckets]float64
		for o := range uint64(41) {
			sum, want := s.Buckets(now, rendezvous.Mix(o), got[:]), 0.0
			for e := int(now / span); e > int(now/span)-windowBuckets && e >= 0; e-- {
				one := min(maxCount, exact[asked{o, e}])
				want += one
				require.False(t, got[e%windowBuckets] < one, "object %d, turn %d: %g, asked for %g times", o, e, got[e%windowBuckets], one)
			}
			require.False(t, sum < want, "object %d: %g, asked for %g times", o, sum, want)
		}
	})
}

func TestWindow(t *testing.T) {
	s := New(windowBuckets, span, 1<<16)
	var got [windowBuckets]float64
	for range 300 {
		s.Add(1, 7)
	}
	assert.Equal(t, 255.0, s.Buckets(1, 7, got[:]), "the most that a counter holds")
	assert.Equal(t, 255.0, s.Buckets(9.9, 7, got[:]))
	assert.Zero(t, s.Buckets(10, 7, got[:]), "out of the window")
	s.Add(10, 7)
	s.Add(5, 7)
	assert.Equal(t, 2.0, s.Buckets(5, 7, got[:]), "time that goes back changes nothing")
	assert.Zero(t, s.Buckets(1e300, 7, got[:]))
	assert.LessOrEqual(t, New(windowBuckets, span, 1<<20).Bytes(), 1<<20)
}

// countTable is the plain one: exact, so many objects, the least lately used go.
type countTable struct {
	capacity   int
	byRecency  *list.List
	byName map[uint64]*list.Element
	sketch *Sketch // that gives back what a table has let go; nil for none
}

type entry struct {
	hash  uint64
	sums  [windowBuckets]float64
	epoch int
}

func (t *countTable) count(now float64, hash uint64) float64 {
	epoch := int(now / span)
	e := t.byName[hash]
	if e == nil {
		one := &entry{hash: hash, epoch: epoch}
		if t.sketch != nil {
			t.sketch.Buckets(now, hash, one.sums[:])
		}
		e = t.byRecency.PushFront(one)
		if t.byName[hash] = e; t.byRecency.Len() > t.capacity {
			delete(t.byName, t.byRecency.Remove(t.byRecency.Back()).(*entry).hash)
		}
	}
	t.byRecency.MoveToFront(e)
	if t.sketch != nil {
		t.sketch.Add(now, hash)
	}
	return e.Value.(*entry).add(epoch)
}

// add counts one in a turn, and gives the sum of the window.
func (e *entry) add(epoch int) (sum float64) {
	e.epoch = max(e.epoch, epoch-windowBuckets)
	for ; e.epoch < epoch; e.epoch++ {
		e.sums[(e.epoch+1)%windowBuckets] = 0
	}
	e.sums[epoch%windowBuckets]++
	for _, x := range e.sums {
		sum += x
	}
	return sum
}

// requestStream is GETs for ten million objects by Zipf, half of all of them in a scan: each once.
type requestStream struct {
	zipf *rand.Zipf
	r    *rand.Rand
	next uint64
}

func newStream() *requestStream {
	r := rand.New(rand.NewPCG(1, 2))
	return &requestStream{zipf: rand.NewZipf(r, 1.1, 1, 10_000_000-1), r: r, next: 1 << 40}
}

func (s *requestStream) nextRequest() (rank, hash uint64) {
	if s.r.IntN(2) == 0 {
		s.next++
		return s.next, rendezvous.Mix(s.next)
	}
	rank = s.zipf.Uint64()
	return rank, rendezvous.Mix(rank)
}

// relativeErrors tells by rank how far counts are off, for 20,000 GETs a second over three windows; only objects asked for at
// least six times in the window count, as no other ever gets a second copy.
func relativeErrors(count func(now float64, hash uint64) float64) (off [6]float64) {
	s, exact := newStream(), map[uint64]*entry{}
	var n [6]float64
	for i := range 600_000 {
		now := float64(i) / 20_000
		rank, hash := s.nextRequest()
		got, epoch := count(now, hash), int(now/span)
		if exact[hash] == nil {
			exact[hash] = &entry{epoch: epoch}
		}
		want := exact[hash].add(epoch)
		if now < 10 || want < 6 {
			continue
		}
		d := min(5, len(fmt.Sprint(rank))-1)
		n[d]++
		off[d] += max(got-want, want-got) / want
	}
	for d := range off {
		off[d] /= max(1, n[d])
	}
	return off
}

func newCountTable(most int, memory *Sketch) *countTable {
	return &countTable{capacity: most, byRecency: list.New(), byName: map[uint64]*list.Element{}, sketch: memory}
}

// The table alone forgets objects in a scan; with the sketch behind it they keep their counts.
func TestAScanLeavesTheCountsOfOthers(t *testing.T) {
	plain, behind := relativeErrors(newCountTable(1<<15, nil).count), relativeErrors(newCountTable(1<<15, New(windowBuckets, span, 1<<21)).count)
	t.Logf("off by decade of rank: table %.3f, with sketch %.3f", plain, behind)
	assert.Less(t, slices.Max(behind[:]), 0.1)
	assert.Greater(t, slices.Max(plain[:]), 2*slices.Max(behind[:]), "what it is for")
}

func BenchmarkCount(b *testing.B) {
	hashes, s := make([]uint64, 1<<20), newStream()
	for i := range hashes {
		_, hashes[i] = s.nextRequest()
	}
	for name, sketch := range map[string]*Sketch{"table": nil, "withSketch": New(windowBuckets, span, 1<<21)} {
		table := newCountTable(1<<15, sketch)
		need.Bench(b, name, func(i int) { table.count(float64(i)/20_000, hashes[i&(1<<20-1)]) })
	}
}

// Known beside the plainest list that does the same.
func TestABoundedMapDropsWhatWasPutFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 8
		k, names, figures := NewBoundedMap(most), []uint64{}, map[uint64]float64{}
		forget := func(hash uint64) {
			names = slices.DeleteFunc(names, func(h uint64) bool { return h == hash })
			delete(figures, hash)
		}
		for i := range rapid.IntRange(0, 400).Draw(t, "steps") {
			hash := rapid.Uint64Range(0, 15).Draw(t, "hash")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				want, known := figures[hash]
				got, ok := k.Take(hash)
				assert.Equal(t, known, ok)
				assert.Equal(t, want, got)
				forget(hash)
			case 1:
				k.Trim(most - 2)
				for len(names) > most-2 {
					forget(names[0])
				}
			default:
				forget(hash)
				names, figures[hash] = append(names, hash), float64(i)
				if k.Put(hash, float64(i)); len(names) > most {
					forget(names[0])
				}
			}
			assert.Equal(t, len(names), k.Len())
			assert.LessOrEqual(t, len(k.putOrder), 2*most+queueSlack+1, "what was taken does not pile up")
		}
	})
}
