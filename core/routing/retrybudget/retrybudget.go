// Package retrybudget bounds retries by what succeeds, so that on a bad day they do not multiply the load
// that made it bad. It is a token bucket, filled by answers and by time. It only narrows what routing may do,
// and is pure.
package retrybudget

import "math"

const (
	// and defaultFloor: what the emulator's failing caches recovered soonest with (docs/deadlines.md)
	defaultShare = 0.1
	defaultFloor = 5.0 // per second

	floorSavedFor = 2.0 // s; of the floor that may be saved up
	// answers whose share may be saved up: a burst of failures on a calm day is retried completely
	savedAnswers = 50.0
)

// Settings say how many retries may go. The zero value bounds nothing.
type Settings struct {
	Share float64     // of answers: so many retries are earned by one
	Floor float64     // retries per second that may go whatever succeeds
	Fleet func() bool // whether the cluster's quota has one for this router; nil where there is none
}

// Default is the budget where an operator asks for one and says no more.
func Default() Settings { return Settings{Share: defaultShare, Floor: defaultFloor} }

// capacity is the number of retries that may be saved up.
func (s Settings) capacity() float64 {
	return math.Max(1, s.Floor*floorSavedFor+s.Share*savedAnswers)
}

// unbounded reports whether nothing but the cluster's quota bounds retries.
func (s Settings) unbounded() bool { return s.Share == 0 && s.Floor == 0 }

// quotaAllows takes one retry out of the cluster's quota, where there is one.
func (s Settings) quotaAllows() bool { return s.Fleet == nil || s.Fleet() }

// Budget is what may be retried now.
type Budget struct {
	Settings
	tokens   float64
	filledAt float64 // s; up to when the floor is counted
	Spent    int     // retries so far
}

// New returns a full budget. now is in seconds.
func New(s Settings, now float64) Budget {
	return Budget{Settings: s, tokens: s.capacity(), filledAt: now}
}

// Earn counts an answer.
func (b *Budget) Earn() { b.tokens = math.Min(b.capacity(), b.tokens+b.Share) }

// Spend takes a retry out; false if none is left. Time that goes back gives nothing.
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
