package routing

import "math"

// SlowStartState is what a SlowStartReport tells.
type SlowStartState int

// These are the states.
const (
	SlowStartBegan       SlowStartState = iota // the budget of a host applies from now on
	SlowStartEnded                             // its ramp is over
	SlowStartEjected                           // the host was ejected within its slow start
	SlowStartLimited                           // its budget has ruled it out for a request
	SlowStartInterrupted                       // it was unreachable, lost a connection or fell silent within its slow start
	SlowStartInProgress                        // it goes on: the answer to ReportSlowStarts
)

// String returns the state as it is logged.
func (s SlowStartState) String() string {
	return [...]string{"began", "ended", "ejected", "limited", "interrupted", "in progress"}[s]
}

// SlowStartCause tells why a host is in slow start.
type SlowStartCause int

// These are the causes.
const (
	ToldStart       SlowStartCause = iota // an endpoint list told when the host has started
	PresumedRestart                       // the host may have restarted, and no list has told that or ruled it out
)

// String returns the cause as it is logged.
func (c SlowStartCause) String() string { return [...]string{"told", "presumed"}[c] }

// RateBasis is what the warm rate of a host in slow start is estimated from.
type RateBasis int

// These are the bases.
const (
	NoRate       RateBasis = iota // nothing is known of hosts of its kind: one request in a window from all routers
	WeightRate                    // its weight in the list
	MeanRate                      // the mean of the warm hosts of its kind
	LastMeanRate                  // the last mean of warm hosts of its kind, of which there are none now
	OwnPeakRate                   // the most that it returned to this router itself before it restarted
	LowestPeak                    // the lowest peak rate of the warm hosts of its kind
)

// String returns the basis as it is logged.
func (b RateBasis) String() string {
	return [...]string{"none", "weight", "mean", "last mean", "own peak", "lowest peak"}[b]
}

// SlowStartReport tells how the slow start of a host goes, for the log.
type SlowStartReport struct {
	Host  uint32
	State SlowStartState
	Cause SlowStartCause
	Age   float64 // seconds since the host has started, as told or presumed; +Inf if neither

	Attempts   int // attempts of this router that were sent to the host, or named it as their source, since the slow start began
	Refusals   int // how often the budget has ruled out the host since then
	WorstCount int // the most attempts of this router in one overload window
	InWindow   int // attempts of this router in the overload window that ends now
	InFlight   int // attempts of this router that have not returned, and fills that name the host
	// WindowBudget is the number of requests that all routers together may send to the host in an overload window
	// by the latest estimate of this router; 0 before the first one.
	WindowBudget float64
	OwnBudget    float64   // the part of it that this router may send now, by what the host has proven to bear
	Basis        RateBasis // of WindowBudget
}

const (
	// minCountedWindow is the shortest window in seconds that attempts are counted over.
	minCountedWindow = 0.01
	// limitedReportsPerRamp is the number of reports of one slow start, at the most, that its budget has ruled the host out.
	limitedReportsPerRamp = 8
	// interruptionInterval is the time in seconds between two reports of one slow start that the host was interrupted. All
	// attempts that are out at a host end together when it dies.
	interruptionInterval = 1.0
)

// slowStartStatistics is what a SlowStartReport tells of one slow start.
type slowStartStatistics struct {
	attempts, refusals, worstCount int
	windowBudget, ownBudget        float64
	basis                          RateBasis
	inWindow                       slidingSum // of 1 for each attempt
	limitedReportDue               float64    // seconds; before it no other refusal is reported
	interruptionDue                float64    // seconds; before it no other interruption is reported
}

// countedWindow returns the time in seconds that attempts are counted over.
func (s *slowStart) countedWindow() float64 { return math.Max(minCountedWindow, s.OverloadWindow) }

// countAttempt counts an attempt to a host in slow start, or one that names it as its source.
func (s *slowStart) countAttempt(h *host) {
	if !h.warmUp.active {
		return
	}
	statistics := &h.warmUp.statistics
	statistics.attempts++
	statistics.worstCount = max(statistics.worstCount, int(statistics.inWindow.add(s.now, s.countedWindow(), 1)))
}

// countRefusal counts that the budget has ruled out a host, and reports it from time to time.
func (s *slowStart) countRefusal(h *host) {
	statistics := &h.warmUp.statistics
	statistics.refusals++
	if s.now < statistics.limitedReportDue {
		return
	}
	ramp, _ := s.ramp(h)
	statistics.limitedReportDue = s.now + ramp/limitedReportsPerRamp
	s.report(h, SlowStartLimited)
}

// reportInterruption reports that a host in slow start was unreachable, lost a connection or fell silent.
func (s *slowStart) reportInterruption(h *host) {
	statistics := &h.warmUp.statistics
	if !h.warmUp.active || s.now < statistics.interruptionDue {
		return
	}
	statistics.interruptionDue = s.now + interruptionInterval
	s.report(h, SlowStartInterrupted)
}

// recordBudget records the number of requests that a host may be sent in an overload window by all routers.
func (s *slowStart) recordBudget(h *host, budget hostBudget, work float64) {
	if work > 0 {
		h.warmUp.statistics.windowBudget = budget.estimated * budget.senders * s.OverloadWindow / work
		h.warmUp.statistics.ownBudget = budget.rate * s.OverloadWindow / work
		h.warmUp.statistics.basis = budget.basis
	}
}

// report reports the slow start of a host.
func (s *slowStart) report(h *host, state SlowStartState) {
	statistics := &h.warmUp.statistics
	s.actions.ReportSlowStart(SlowStartReport{
		Host: h.ID, State: state, Cause: h.warmUp.cause, Age: s.age(h),
		Attempts: statistics.attempts, Refusals: statistics.refusals, WorstCount: statistics.worstCount,
		InWindow: int(statistics.inWindow.sum(s.now, s.countedWindow())), InFlight: h.inFlight + h.fillsInFlight,
		WindowBudget: statistics.windowBudget, OwnBudget: statistics.ownBudget, Basis: statistics.basis,
	})
}
