package grouphealth

import "math"

const (
	bucketSpan  = 2.0 // seconds; only outcomes in the current bucket and the one before count
	bucketCount = 2   // number of buckets that count
)

// hostOutcome is the latest observation of a host.
type hostOutcome int

const (
	noOutcome hostOutcome = iota
	answered
	lost
	outcomeKinds // number of outcomes
)

// outcomeCounts counts hosts by their last outcome in the buckets that still count. Invariant: each host is
// counted at most once, by its last outcome.
type outcomeCounts struct {
	bucket int // number of the current bucket
	counts [bucketCount][outcomeKinds]int
}

// bucketOf returns the number of the bucket of a time in seconds.
func bucketOf(now float64) int {
	return int(math.Max(0, math.Min(now/bucketSpan, math.MaxInt32)))
}

// advance clears the buckets that no longer count.
func (c *outcomeCounts) advance(bucket int) {
	if bucket-c.bucket > bucketCount {
		c.bucket = bucket - bucketCount
	}
	for c.bucket < bucket {
		c.bucket++
		c.counts[c.bucket%bucketCount] = [outcomeKinds]int{}
	}
}

// retract subtracts a host's outcome that was recorded in a bucket, if that bucket still counts.
func (c *outcomeCounts) retract(outcome hostOutcome, bucket int) {
	if outcome != noOutcome && c.bucket-bucket < bucketCount {
		c.counts[bucket%bucketCount][outcome]--
	}
}

// add counts an outcome in the current bucket.
func (c *outcomeCounts) add(outcome hostOutcome) { c.counts[c.bucket%bucketCount][outcome]++ }

// count returns the number of hosts with the given last outcome.
func (c *outcomeCounts) count(outcome hostOutcome) int {
	return c.counts[0][outcome] + c.counts[1][outcome]
}

// lostAndObserved returns the number of hosts that were lost, and of all that were observed.
func (c *outcomeCounts) lostAndObserved() (lostHosts, observedHosts float64) {
	lostHosts = float64(c.count(lost))
	return lostHosts, lostHosts + float64(c.count(answered))
}

// mostlyLost reports whether most of the observed hosts were lost.
func (c *outcomeCounts) mostlyLost() bool {
	lostHosts, observedHosts := c.lostAndObserved()
	return lostHosts > silentLossShare*observedHosts
}
