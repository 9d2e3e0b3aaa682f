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

// A sketch must never underestimate, and buckets that have left the window must no longer count.
func TestSketchNeverUndercounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(windowBuckets, span, rapid.SampledFrom([]int{0, 1 << 16}).Draw(t, "bytes"))
		type bucket struct {
			object uint64
			epoch  int
		}
		exact, now := map[bucket]float64{}, 0.0
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now += rapid.SampledFrom([]float64{0, 0, 0.01, 0.5, 3, 3600}).Draw(t, "elapsed")
			object := rapid.Uint64Range(0, 40).Draw(t, "object")
			s.Add(now, rendezvous.Mix(object))
			exact[bucket{object, int(now / span)}]++
		}
		var got [windowBuckets]float64
		for object := range uint64(41) {
			sum, want := s.Buckets(now, rendezvous.Mix(object), got[:]), 0.0
			for epoch := int(now / span); epoch > int(now/span)-windowBuckets && epoch >= 0; epoch-- {
				count := min(maxCount, exact[bucket{object, epoch}])
				want += count
				estimate := got[epoch%windowBuckets]
				require.False(t, estimate < count, "object %d, epoch %d: %g, requested %g times", object, epoch, estimate, count)
			}
			require.False(t, sum < want, "object %d: %g, requested %g times", object, sum, want)
		}
	})
}

// Counters must saturate, leave the window at its end, and stay unchanged when time goes back.
func TestSketchWindowAndSaturation(t *testing.T) {
	s := New(windowBuckets, span, 1<<16)
	var got [windowBuckets]float64
	for range 300 {
		s.Add(1, 7)
	}
	assert.Equal(t, 255.0, s.Buckets(1, 7, got[:]), "a counter is saturated")
	assert.Equal(t, 255.0, s.Buckets(9.9, 7, got[:]))
	assert.Zero(t, s.Buckets(10, 7, got[:]), "out of the window")
	s.Add(10, 7)
	s.Add(5, 7)
	assert.Equal(t, 2.0, s.Buckets(5, 7, got[:]), "time that goes back changes nothing")
	assert.Zero(t, s.Buckets(1e300, 7, got[:]))
	assert.LessOrEqual(t, New(windowBuckets, span, 1<<20).Bytes(), 1<<20)
}

// countTable counts exactly for a bounded number of objects and evicts the least recently used one.
type countTable struct {
	capacity  int
	byRecency *list.List
	byHash    map[uint64]*list.Element
	sketch    *Sketch // keeps the counts of evicted objects; nil for none
}

// entry holds the counts of one object by epoch.
type entry struct {
	hash  uint64
	sums  [windowBuckets]float64
	epoch int
}

// count counts a request and returns the object's count in the window.
func (t *countTable) count(now float64, hash uint64) float64 {
	epoch := int(now / span)
	e := t.byHash[hash]
	if e == nil {
		added := &entry{hash: hash, epoch: epoch}
		if t.sketch != nil {
			t.sketch.Buckets(now, hash, added.sums[:])
		}
		e = t.byRecency.PushFront(added)
		if t.byHash[hash] = e; t.byRecency.Len() > t.capacity {
			delete(t.byHash, t.byRecency.Remove(t.byRecency.Back()).(*entry).hash)
		}
	}
	t.byRecency.MoveToFront(e)
	if t.sketch != nil {
		t.sketch.Add(now, hash)
	}
	return e.Value.(*entry).add(epoch)
}

// add counts one request in an epoch and returns the sum of the window.
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

// requestStream generates requests. Half of them follow a Zipf distribution over ten million objects, and half
// are a scan that requests each object once.
type requestStream struct {
	zipf        *rand.Zipf
	random      *rand.Rand
	lastScanned uint64
}

func newStream() *requestStream {
	random := rand.New(rand.NewPCG(1, 2))
	return &requestStream{zipf: rand.NewZipf(random, 1.1, 1, 10_000_000-1), random: random, lastScanned: 1 << 40}
}

func (s *requestStream) nextRequest() (rank, hash uint64) {
	if s.random.IntN(2) == 0 {
		s.lastScanned++
		return s.lastScanned, rendezvous.Mix(s.lastScanned)
	}
	rank = s.zipf.Uint64()
	return rank, rendezvous.Mix(rank)
}

// relativeErrors returns the mean relative error of counts by decade of the object's rank, for 20,000 requests
// per second over three windows. It ignores objects that are requested fewer than six times in the window,
// because those are never stored at a second cache.
func relativeErrors(count func(now float64, hash uint64) float64) (errors [6]float64) {
	s, exact := newStream(), map[uint64]*entry{}
	var samples [6]float64
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
		decade := min(5, len(fmt.Sprint(rank))-1)
		samples[decade]++
		errors[decade] += max(got-want, want-got) / want
	}
	for decade := range errors {
		errors[decade] /= max(1, samples[decade])
	}
	return errors
}

func newCountTable(capacity int, sketch *Sketch) *countTable {
	return &countTable{capacity: capacity, byRecency: list.New(), byHash: map[uint64]*list.Element{}, sketch: sketch}
}

// A scan evicts objects from a bounded table, which then loses their counts. With a sketch behind the table
// the objects must keep them.
func TestScanKeepsCountsOfOtherObjects(t *testing.T) {
	alone := relativeErrors(newCountTable(1<<15, nil).count)
	withSketch := relativeErrors(newCountTable(1<<15, New(windowBuckets, span, 1<<21)).count)
	t.Logf("error by decade of rank: table %.3f, with sketch %.3f", alone, withSketch)
	assert.Less(t, slices.Max(withSketch[:]), 0.1, "worst error with the sketch")
	assert.Greater(t, slices.Max(alone[:]), 2*slices.Max(withSketch[:]), "worst error of the table alone")
}

// BenchmarkCount measures counting a request with and without the sketch.
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
