package grouphealth

import "math"

const (
	probesPerRequest = 0.02 // a lost probe costs the duration of one request, so few of them show in a percentile
	probesPerSecond  = 1.0  // regardless of the number of requests
	maxSavedProbes   = 8.0  // limit on probes that are saved up from requests and time
	// probesPerSuccess is the number of further probes that a successful one allows. The number of probes of a
	// recovering cluster therefore doubles.
	probesPerSuccess = 2.0
	maxEarnedProbes  = 256.0 // limit on probes that are saved up from successful ones
)

// probeBudget limits the probes of suspected and ejected hosts.
type probeBudget struct {
	available float64 // number of probes
	filledAt  float64 // seconds; time up to which probesPerSecond has been added
}

// earn adds the probes that one request and the elapsed time allow. Time that goes back adds none, and after a
// jump of time the budget holds no more than maxSavedProbes.
func (b *probeBudget) earn(now float64) {
	earned := probesPerRequest + probesPerSecond*math.Max(0, now-b.filledAt)
	b.filledAt = now
	if b.available < maxSavedProbes {
		b.available = math.Min(maxSavedProbes, b.available+earned)
	}
}

// reward adds the probes that a successful one allows.
func (b *probeBudget) reward() {
	b.available = math.Min(maxEarnedProbes, b.available+probesPerSuccess)
}

// allowed reports whether a probe is available.
func (b *probeBudget) allowed() bool { return b.available >= 1 }

// spend takes a probe out.
func (b *probeBudget) spend() { b.available-- }
