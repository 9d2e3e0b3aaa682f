// Package clock is the system's Unix clock in seconds from a base.
package clock

import "time"

// Clock counts seconds from its base.
type Clock struct{ base time.Time }

// New is a clock whose base is now.
func New() Clock { return Clock{base: time.Now()} }

// Now is the present in seconds from the base.
func (c Clock) Now() float64 { return time.Since(c.base).Seconds() }

// AtUnixMs is a Unix millisecond in seconds from the base.
func (c Clock) AtUnixMs(ms int64) float64 { return float64(ms-c.base.UnixMilli()) / 1e3 }

// Time is when so many seconds from the base have passed, as the standard library has it.
func (c Clock) Time(at float64) time.Time { return c.base.Add(Duration(at)) }

// Duration is a time in seconds as the standard library has it.
func Duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
