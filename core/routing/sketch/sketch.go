// Package sketch counts how often objects are requested, in memory that does not grow with the number of
// objects. It has a count-min sketch with conservative update (Cormode and Muthukrishnan; Estan and Varghese)
// over the buckets of a sliding window, and a bounded map. A count within the window is never too low, except
// that a counter saturates; it is too high by what other objects add to the same counters. The package does no
// I/O and reads no clock.
package sketch

import "math"

const (
	// rowCount is the number of counters of an object in a bucket, of which the lowest is used. If half of the
	// counters are in use, one object in 2^4 gets a wrong count.
	rowCount = 4
	// maxCount is the value at which a counter saturates. Objects that are requested more often are
	// in the table of objects anyway.
	maxCount = 255
	// secondFactor derives the second hash from the first.
	secondFactor = 0x9e3779b97f4a7c15
	minRowWidth  = 1 << 10 // minimum number of counters in a row
)

// Sketch counts requests per object in a sliding window of buckets. It is not safe for concurrent use.
type Sketch struct {
	bucketCount int
	bucketSpan  float64 // seconds; duration of a bucket
	width       uint64  // number of counters in a row
	epoch       int     // number of the current bucket, counted from time 0
	counters    []uint8 // indexed by bucket, row and column
}

// New returns a sketch with a window of the given number of buckets, each span seconds long. It uses at most
// the given number of bytes, but rows never have fewer than minRowWidth counters.
func New(buckets int, span float64, bytes int) *Sketch {
	width := minRowWidth
	for width*2*rowCount*buckets <= bytes {
		width *= 2
	}
	return &Sketch{
		bucketCount: buckets,
		bucketSpan:  span,
		width:       uint64(width),
		counters:    make([]uint8, width*rowCount*buckets),
	}
}

// Bytes returns the size of the counters in bytes.
func (s *Sketch) Bytes() int { return len(s.counters) }

// advance clears the buckets that have left the window. It does nothing if time stands still or goes back.
func (s *Sketch) advance(now float64) {
	epoch := int(math.Min(now/s.bucketSpan, math.MaxInt32))
	if epoch-s.epoch > s.bucketCount {
		s.epoch = epoch - s.bucketCount
	}
	for s.epoch < epoch {
		s.epoch++
		clear(s.bucket(s.epoch % s.bucketCount))
	}
}

// bucket returns the counters of the bucket at the given position.
func (s *Sketch) bucket(position int) []uint8 {
	size := rowCount * int(s.width)
	return s.counters[position*size : (position+1)*size]
}

// index returns the position of an object's counter within a bucket, for one row. It derives two hashes from
// one, as Kirsch and Mitzenmacher describe.
func (s *Sketch) index(hash, row uint64) uint64 {
	mixed := hash + row*(hash*secondFactor|1)
	return row*s.width + mixed>>17&(s.width-1)
}

// Add counts a request for an object. It raises only the lowest of the object's counters, because the others
// already count too much.
func (s *Sketch) Add(now float64, hash uint64) {
	s.advance(now)
	bucket := s.bucket(s.epoch % s.bucketCount)
	lowest := uint8(maxCount)
	var indexes [rowCount]uint64
	for row := range indexes {
		indexes[row] = s.index(hash, uint64(row))
		lowest = min(lowest, bucket[indexes[row]])
	}
	if lowest == maxCount {
		return
	}
	for _, i := range indexes {
		bucket[i] = max(bucket[i], lowest+1)
	}
}

// Buckets writes the number of requests for an object in each bucket of the window to counts, indexed by
// bucket number modulo the number of buckets, and returns their sum. A count is never too low unless its
// counter is saturated.
func (s *Sketch) Buckets(now float64, hash uint64, counts []float64) (sum float64) {
	s.advance(now)
	for position := range s.bucketCount {
		bucket := s.bucket(position)
		lowest := uint8(maxCount)
		for row := range uint64(rowCount) {
			lowest = min(lowest, bucket[s.index(hash, row)])
		}
		counts[position] = float64(lowest)
		sum += float64(lowest)
	}
	return sum
}
