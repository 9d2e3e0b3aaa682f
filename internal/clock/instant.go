package clock

import "time"

// Instant is a moment on the monotonic clock, in nanoseconds from the start of the process; the zero value is no moment. It fits an atomic,
// and a step of the wall clock moves none: a span between two of them is real time. Unix nanoseconds in its place would lose the monotonic reading.
type Instant int64

var processStart = time.Now()

// InstantNow is the present.
func InstantNow() Instant { return InstantOf(time.Now()) }

// InstantOf is a time that was taken from the system's clock in this process, and so has a monotonic reading.
func InstantOf(t time.Time) Instant { return Instant(t.Sub(processStart)) | 1 }

// IsZero tells whether it is no moment.
func (i Instant) IsZero() bool { return i == 0 }

// Since is how long ago it was.
func (i Instant) Since() time.Duration { return time.Since(processStart) - time.Duration(i) }
