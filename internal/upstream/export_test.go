package upstream

import "net"

// Exhaust takes all that may be begun by now.
func (d *Dials) Exhaust() {
	for d.begin() {
	}
}

// MostStopped is the bound of ids that a connection keeps as stopped.
const MostStopped = mostStopped

// WholeIn is the time within which an answer must be whole.
const WholeIn = wholeIn

// Hold keeps all that goes on at a host from going on until it is released.
func (h *Host) Hold() (release func()) {
	h.mu.Lock()
	return h.mu.Unlock
}

// Stage is how far a forward has come by now.
func (f *Forward) Stage() Stage {
	f.conn.host.mu.Lock()
	defer f.conn.host.mu.Unlock()
	return f.stage
}

// Ended is one look whether the peer of a connection has ended it, made once for many looks.
func Ended(c net.Conn) func() bool {
	var l endLook
	return func() bool { return l.ended(c) }
}

// Stopping tells whether the STOP of a forward is queued and has not gone out.
func (f *Forward) Stopping() bool { return f.stopping.Load() }

// StopIn is for how long a forward waits for the STOP of the one before it.
const StopIn = stopIn
