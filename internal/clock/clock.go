// Package clock owns the two clocks of the process. Spans, deadlines and waits go by the monotonic one, as an Instant or in seconds from a Clock's base:
// a step of the wall clock moves none of them. The wall clock is asked for what is a calendar time by its protocol alone: the validity of tokens and
// certificates, log lines, and the Unix stamps of other machines (Clock.Witnessed).
package clock

import (
	"math"
	"time"
)

// Clock counts seconds of the monotonic clock from its base.
type Clock struct {
	base   time.Time
	baseMs int64 // Unix ms that the wall clock told at the base
	wall   Wall
}

// Wall is the wall clock, which may be stepped at any time.
type Wall func() time.Time

// New is a clock whose base is now.
func New() Clock { return NewWithWall(time.Now) }

// NewWithWall is a clock whose base is now, beside a wall clock.
func NewWithWall(wall Wall) Clock {
	return Clock{base: time.Now(), baseMs: wall().UnixMilli(), wall: wall}
}

// Now is the present in seconds from the base.
func (c Clock) Now() float64 { return time.Since(c.base).Seconds() }

// At is an Instant in seconds from the base.
func (c Clock) At(i Instant) float64 { return (time.Duration(i) - c.base.Sub(processStart)).Seconds() }

// Time is when so many seconds from the base have passed, as the standard library has it.
func (c Clock) Time(at float64) time.Time { return c.base.Add(Duration(at)) }

// Witnessed is a Unix millisecond that another machine wrote, in seconds from the base, given between which moments this process knows it to lie;
// earliest is -Inf where that is not known. Guards against a wall clock that was stepped, here or there: the stamp would make a host that has just
// started one that is warm, or a purge older than the copies that it is for. Where the clock as it was at the base and as it is now differ the later
// moment counts, and where a stamp can't be true the latest one does: of a start or a purge the later moment breaks no rule.
func (c Clock) Witnessed(ms int64, earliest, latest float64) float64 {
	byBase := float64(ms-c.baseMs) / 1e3
	byNow := c.Now() - float64(c.wall().UnixMilli()-ms)/1e3
	at := math.Max(byBase, byNow)
	if at < earliest || at > latest {
		return latest
	}
	return at
}

// Duration is a time in seconds as the standard library has it.
func Duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
