// Package retrybudget bounds repeated attempts by what succeeds, so that on a bad day they do not multiply the load that made it
// bad. It only narrows what control may do, and is pure.
package retrybudget

import "math"

// Settings say how many further forwards may go. The zero value bounds nothing.
type Settings struct {
	Share float64     // of answers that were returned: so many further forwards are earned by one
	Floor float64     // further forwards a second that may go whatever succeeds
	Fleet func() bool // whether the fleet has one for this dispatcher; nil where it shares none out
}

const (
	share = 0.1 // and floor: what the emulator's failing caches came back soonest with (docs/deadlines.md)
	floor = 5.0 // a second

	keepFor   = 2.0  // s; of the floor that may be saved up
	keepTimes = 50.0 // answers whose share may be saved up: a burst of failures on a calm day is retried whole
)

// Budget is what may go now.
type Budget struct {
	Settings
	tokens, at float64
	Spent      int
}

// Default is the bound where an operator asks for one and says no more.
func Default() Settings { return Settings{Share: share, Floor: floor} }

// New is a full one.
func New(s Settings, now float64) Budget { return Budget{Settings: s, tokens: most(s), at: now} }

func most(s Settings) float64 { return math.Max(1, s.Floor*keepFor+s.Share*keepTimes) }

// Earn books an answer that was returned.
func (b *Budget) Earn() { b.tokens = math.Min(most(b.Settings), b.tokens+b.Share) }

// Spend takes a further forward out; false if none is left. Time that goes back gives nothing.
func (b *Budget) Spend(now float64) bool {
	if b.Share == 0 && b.Floor == 0 {
		return b.Fleet == nil || b.Fleet()
	}
	b.tokens = math.Min(most(b.Settings), b.tokens+b.Floor*math.Max(0, now-b.at))
	b.at = now
	if b.tokens < 1 || b.Fleet != nil && !b.Fleet() {
		return false
	}
	b.tokens--
	b.Spent++
	return true
}
