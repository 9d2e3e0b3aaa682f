// Package retrybudget limits retries by the number of successful answers, so that retries do not multiply the
// load during an overload. It is a token bucket, which is refilled by successful answers and with time. It only
// restricts what routing may do, does no I/O and reads no clock.
package retrybudget

import "math"

const (
	// With defaultShare and defaultFloor the failing caches of the emulator recovered soonest
	// (docs/deadlines.md).
	defaultShare = 0.1
	defaultFloor = 5.0 // retries per second

	floorSavingTime = 2.0 // seconds; retries of the floor can be saved up for this long
	// savedSuccesses is the number of answers whose retries can be saved up. It allows all retries of a burst
	// of failures that follows normal operation.
	savedSuccesses = 50.0
)

// Settings configure a retry budget. The zero value imposes no limit.
type Settings struct {
	Share      float64     // retries that each successful answer earns
	Floor      float64     // retries per second that are allowed regardless of answers
	FleetQuota func() bool // takes a retry out of the cluster's quota; false if none is left; nil without a quota
}

// Default returns the settings for an operator who enables the budget without further values.
func Default() Settings { return Settings{Share: defaultShare, Floor: defaultFloor} }

// capacity returns the number of retries that can be saved up.
func (s Settings) capacity() float64 {
	return math.Max(1, s.Floor*floorSavingTime+s.Share*savedSuccesses)
}

// unbounded reports whether only the cluster's quota limits retries.
func (s Settings) unbounded() bool { return s.Share == 0 && s.Floor == 0 }

// quotaAllows takes one retry out of the cluster's quota and reports whether that was possible. It returns
// true if there is no quota.
func (s Settings) quotaAllows() bool { return s.FleetQuota == nil || s.FleetQuota() }

// Budget holds the retries that are currently available. It is not safe for concurrent use.
type Budget struct {
	Settings
	tokens   float64 // retries that are available
	filledAt float64 // seconds; time up to which the floor has been added
	Spent    int     // number of retries so far
}

// New returns a full budget. now is in seconds.
func New(s Settings, now float64) Budget {
	return Budget{Settings: s, tokens: s.capacity(), filledAt: now}
}

// Earn adds the share of a retry that one successful answer earns.
func (b *Budget) Earn() { b.tokens = math.Min(b.capacity(), b.tokens+b.Share) }

// Spend takes out one retry. It returns false if none is left. now is in seconds; time that goes back adds
// nothing.
func (b *Budget) Spend(now float64) bool {
	if b.unbounded() {
		return b.quotaAllows()
	}
	b.tokens = math.Min(b.capacity(), b.tokens+b.Floor*math.Max(0, now-b.filledAt))
	b.filledAt = now
	if b.tokens < 1 || !b.quotaAllows() {
		return false
	}
	b.tokens--
	b.Spent++
	return true
}
