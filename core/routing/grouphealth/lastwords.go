package grouphealth

import "math"

const (
	bucketSpan = 2.0 // s; of what hosts said: the current bucket and the one before count
	buckets    = 2
)

// word is what was last heard of a host.
type word int

const (
	unheard word = iota
	answered
	lost
	words // the number of words
)

// lastWords counts hosts by their last word in the buckets that count. Invariant: a host is counted once, by
// its last word.
type lastWords struct {
	bucket int // the current one
	counts [buckets][words]int
}

// bucketOf is the bucket of a time.
func bucketOf(now float64) int {
	return int(math.Max(0, math.Min(now/bucketSpan, math.MaxInt32)))
}

// advance clears the buckets that no longer count.
func (w *lastWords) advance(bucket int) {
	if bucket-w.bucket > buckets {
		w.bucket = bucket - buckets
	}
	for w.bucket < bucket {
		w.bucket++
		w.counts[w.bucket%buckets] = [words]int{}
	}
}

// retract takes back what a host said in a bucket, if that still counts.
func (w *lastWords) retract(said word, bucket int) {
	if said != unheard && w.bucket-bucket < buckets {
		w.counts[bucket%buckets][said]--
	}
}

// add counts a word in the current bucket.
func (w *lastWords) add(said word) { w.counts[w.bucket%buckets][said]++ }

// count is the number of hosts whose last word is said.
func (w *lastWords) count(said word) int { return w.counts[0][said] + w.counts[1][said] }

// lostAndHeardOf is the number of hosts that were lost, and of all that were heard of.
func (w *lastWords) lostAndHeardOf() (lostHosts, heardOf float64) {
	lostHosts = float64(w.count(lost))
	return lostHosts, lostHosts + float64(w.count(answered))
}

// mostlyLost reports whether most of the hosts that were heard of were lost.
func (w *lastWords) mostlyLost() bool {
	lostHosts, heardOf := w.lostAndHeardOf()
	return lostHosts > silentShare*heardOf
}
