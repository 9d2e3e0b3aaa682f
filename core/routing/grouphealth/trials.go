package grouphealth

import "math"

const (
	trialsPerRequest = 0.02 // what a lost trial costs is a request's time, so few of them show in a percentile
	trialsPerSecond  = 1.0  // whatever is requested
	maxSavedTrials   = 8.0  // trials that may be saved up
	// trials that one which is answered allows besides: those of a recovering cluster double
	trialsPerAnswer = 2.0
	maxEarnedTrials = 256.0 // trials that may be allowed by that
)

// trialBudget rations trials of suspected and ejected hosts.
type trialBudget struct {
	available float64
	filledAt  float64 // s; up to when trialsPerSecond is counted
}

// earn adds trials for a request and for the time that has passed. Time that goes back earns none, and a jump
// no more than may be saved up.
func (b *trialBudget) earn(now float64) {
	earned := trialsPerRequest + trialsPerSecond*math.Max(0, now-b.filledAt)
	b.filledAt = now
	if b.available < maxSavedTrials {
		b.available = math.Min(maxSavedTrials, b.available+earned)
	}
}

// reward adds the trials that an answered one allows.
func (b *trialBudget) reward() {
	b.available = math.Min(maxEarnedTrials, b.available+trialsPerAnswer)
}

func (b *trialBudget) allowed() bool { return b.available >= 1 }

func (b *trialBudget) spend() { b.available-- }
