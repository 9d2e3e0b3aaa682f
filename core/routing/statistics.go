package routing

import "math"

const (
	bucketSpan    = 2.0                        // seconds; span of one bucket of a windowed sum, as in the design
	windowBuckets = 5                          // as in the design, whose window of 10 s has 5 buckets of 2 s
	windowSpan    = windowBuckets * bucketSpan // seconds
)

// windowedSum sums values over the last windowSpan seconds. The zero value is empty.
type windowedSum struct {
	buckets [windowBuckets]float64
	epoch   int // number of the latest bucket, counted from time 0
}

// add adds x to the current bucket and returns the sum over the window.
func (s *windowedSum) add(now, x float64) float64 {
	epoch := int(now / bucketSpan)
	s.advance(epoch)
	s.buckets[epoch%windowBuckets] += x
	total := 0.0
	for _, sum := range s.buckets {
		total += sum
	}
	return total
}

// sum returns the sum over the window.
func (s *windowedSum) sum(now float64) float64 { return s.add(now, 0) }

// advance clears the buckets that have left the window.
func (s *windowedSum) advance(epoch int) {
	if epoch-s.epoch > windowBuckets {
		s.epoch = epoch - windowBuckets
	}
	for s.epoch < epoch {
		s.epoch++
		s.buckets[s.epoch%windowBuckets] = 0
	}
}

// requestCounts counts requests by service over the last windowSpan seconds. Counts rather than work are kept because
// the estimated work of a request changes. The zero value is empty.
type requestCounts []windowedSum

// add counts one request of a service.
func (c *requestCounts) add(now float64, service int) {
	for len(*c) <= service {
		*c = append(*c, windowedSum{})
	}
	(*c)[service].add(now, 1)
}

// work returns the work of the counted requests in seconds. works is the work of one request of each service.
func (c requestCounts) work(now float64, works []float64) (total float64) {
	for service := range c {
		total += c[service].sum(now) * works[service]
	}
	return total
}

// decayingMean is a mean that gradually forgets old samples: each new sample has at least a given weight. The
// zero value has no samples.
type decayingMean struct {
	mean    float64
	samples int
}

func (m *decayingMean) add(x, weight float64) {
	m.samples++
	m.mean += (x - m.mean) * math.Max(weight, 1/float64(m.samples))
}
