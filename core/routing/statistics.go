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

// slidingSlots is the number of slots that the span of a slidingSum is divided into.
const slidingSlots = 8

// slidingSum sums values over a short span that ends now, rounded up to whole slots. All calls for one sum name the same
// span. The zero value is empty.
type slidingSum struct {
	slots  [slidingSlots + 1]float64
	latest int // number of the latest slot, counted from time 0
}

// add adds x to the present slot and returns the sum over a span in seconds.
func (s *slidingSum) add(now, span, x float64) (total float64) {
	slot := int(now / span * slidingSlots)
	for fresh := max(s.latest+1, slot-slidingSlots); fresh <= slot; fresh++ {
		s.slots[fresh%len(s.slots)] = 0
		s.latest = fresh
	}
	s.slots[s.latest%len(s.slots)] += x
	for _, sum := range s.slots {
		total += sum
	}
	return total
}

// sum returns the sum over a span in seconds.
func (s *slidingSum) sum(now, span float64) float64 { return s.add(now, span, 0) }

// covered returns the time in seconds that the sum over a span covers: the span and the present slot.
func (s *slidingSum) covered(now, span float64) float64 {
	return span + math.Mod(now, span/slidingSlots)
}
