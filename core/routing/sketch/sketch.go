// Package sketch counts how often objects are requested, in memory that does not grow with their number: a
// count-min sketch with conservative update (Cormode and Muthukrishnan; Estan and Varghese) over the buckets
// of a window, and a bounded map. A count is never too low within its window, and too high by what falls on
// the same counters. It is pure.
package sketch

import "math"

const (
	// counters of an object in a bucket: the least counts, and one in 2^4 is wrong if half are taken
	rows = 4
	// a counter stands still there: what is requested that often stands in the table of objects
	maxCount     = 255
	secondFactor = 0x9e3779b97f4a7c15
	minWidth     = 1 << 10 // counters of a row
)

// Sketch counts what was requested in a window of buckets.
type Sketch struct {
	buckets  int
	span     float64 // s; of a bucket
	width    uint64  // counters of a row
	epoch    int     // number of the current bucket, counted from time 0
	counters []uint8 // by bucket, row and column
}

// New returns a sketch of a window of so many buckets of span seconds each, in at most so many bytes.
func New(buckets int, span float64, bytes int) *Sketch {
	width := minWidth
	for width*2*rows*buckets <= bytes {
		width *= 2
	}
	return &Sketch{
		buckets:  buckets,
		span:     span,
		width:    uint64(width),
		counters: make([]uint8, width*rows*buckets),
	}
}

// Bytes is the memory that the counters take.
func (s *Sketch) Bytes() int { return len(s.counters) }

// advance clears the buckets that have left the window. Time that stands still or goes back changes nothing.
func (s *Sketch) advance(now float64) {
	epoch := int(math.Min(now/s.span, math.MaxInt32))
	if epoch-s.epoch > s.buckets {
		s.epoch = epoch - s.buckets
	}
	for s.epoch < epoch {
		s.epoch++
		clear(s.bucket(s.epoch % s.buckets))
	}
}

// bucket is the counters of one bucket by its place.
func (s *Sketch) bucket(place int) []uint8 {
	size := rows * int(s.width)
	return s.counters[place*size : (place+1)*size]
}

// index is where an object's counter of a row stands in a bucket: two hashes from one, as Kirsch and
// Mitzenmacher have it.
func (s *Sketch) index(hash, row uint64) uint64 {
	mixed := hash + row*(hash*secondFactor|1)
	return row*s.width + mixed>>17&(s.width-1)
}

// Add counts a request for an object. Only the lowest of its counters go up, as the others count more than it
// for sure.
func (s *Sketch) Add(now float64, hash uint64) {
	s.advance(now)
	bucket := s.bucket(s.epoch % s.buckets)
	least := uint8(maxCount)
	var indexes [rows]uint64
	for row := range indexes {
		indexes[row] = s.index(hash, uint64(row))
		least = min(least, bucket[indexes[row]])
	}
	if least == maxCount {
		return
	}
	for _, i := range indexes {
		bucket[i] = max(bucket[i], least+1)
	}
}

// Buckets writes how often an object was requested in each bucket of the window into counts, at the bucket's
// number modulo the number of buckets, and returns the sum. It is never less than it was, but for the most
// that a counter holds.
func (s *Sketch) Buckets(now float64, hash uint64, counts []float64) (sum float64) {
	s.advance(now)
	for place := range s.buckets {
		bucket := s.bucket(place)
		least := uint8(maxCount)
		for row := range uint64(rows) {
			least = min(least, bucket[s.index(hash, row)])
		}
		counts[place] = float64(least)
		sum += float64(least)
	}
	return sum
}
