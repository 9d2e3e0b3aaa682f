package routing

import "math"

// SlowStartState is what a SlowStartReport tells.
type SlowStartState int

// These are the states.
const (
	SlowStartBegan   SlowStartState = iota // the budget of a host applies from now on
	SlowStartEnded                         // its ramp is over
	SlowStartEjected                       // the host was ejected within its slow start
)

// String returns the state as it is logged.
func (s SlowStartState) String() string {
	return [...]string{"began", "ended", "ejected"}[s]
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

// SlowStartReport tells how the slow start of a host goes, for the log.
type SlowStartReport struct {
	Host  uint32
	State SlowStartState
	Cause SlowStartCause
	Age   float64 // seconds since the host has started, as told or presumed; +Inf if neither

	Attempts   int // attempts of this router that were sent to the host, or named it as their source, since the slow start began
	Refusals   int // how often the budget has ruled out the host since then
	WorstCount int // the most attempts of this router in one overload window
	// WindowBudget is the number of requests that all routers together may send to the host in an overload window
	// by the latest estimate of this router; 0 before the first one.
	WindowBudget float64
}

// windowSlots is the number of slots that an overload window is divided into for counting attempts.
const windowSlots = 8

// windowCount counts attempts over one overload window, rounded up to whole slots. The zero value is empty.
type windowCount struct {
	slots  [windowSlots + 1]int
	latest int // number of the latest slot, counted from time 0
}

// add counts an attempt and returns the number within the window that ends now. window is in seconds.
func (c *windowCount) add(now, window float64) (within int) {
	slot := int(now / math.Max(minCountedWindow, window) * windowSlots)
	for fresh := max(c.latest+1, slot-windowSlots); fresh <= slot; fresh++ {
		c.slots[fresh%len(c.slots)] = 0
		c.latest = fresh
	}
	c.slots[c.latest%len(c.slots)]++
	for _, n := range c.slots {
		within += n
	}
	return within
}

// minCountedWindow is the shortest window in seconds that attempts are counted over.
const minCountedWindow = 0.01

// slowStartStatistics is what a SlowStartReport tells of one slow start.
type slowStartStatistics struct {
	attempts, refusals, worstCount int
	windowBudget                   float64
	inWindow                       windowCount
}

// countAttempt counts an attempt to a host in slow start, or one that names it as its source.
func (s *slowStart) countAttempt(h *host) {
	if !h.warmUp.active {
		return
	}
	statistics := &h.warmUp.statistics
	statistics.attempts++
	statistics.worstCount = max(statistics.worstCount, statistics.inWindow.add(s.now, s.OverloadWindow))
}

// countRefusal counts that the budget has ruled out a host.
func (w *warmUp) countRefusal() { w.statistics.refusals++ }

// recordBudget records the number of requests that a host may be sent in an overload window by all routers.
func (s *slowStart) recordBudget(h *host, budget hostBudget, work float64) {
	if work > 0 {
		h.warmUp.statistics.windowBudget = budget.rate * budget.senders * s.OverloadWindow / work
	}
}

// report reports the slow start of a host.
func (s *slowStart) report(h *host, state SlowStartState) {
	statistics := &h.warmUp.statistics
	s.actions.ReportSlowStart(SlowStartReport{
		Host: h.ID, State: state, Cause: h.warmUp.cause, Age: s.age(h),
		Attempts: statistics.attempts, Refusals: statistics.refusals, WorstCount: statistics.worstCount,
		WindowBudget: statistics.windowBudget,
	})
}
