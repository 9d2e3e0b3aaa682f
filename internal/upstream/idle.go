package upstream

import (
	"slices"
	"time"
)

const (
	idlePart    = 0.75 // of the time after which hosts close idle connections: none is written to that a host closes
	mostStopped = 256  // ids on one connection, some 100 bytes each: a host that works answers the question behind a STOP in one round trip
)

// Sweep closes connections that nothing is out on and that a host would soon close, that are in doubt, or
// whose host is gone.
func (h *Host) Sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closeIdle(now)
}

// Connected tells whether a connection to the host is up.
func (h *Host) Connected() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isUp()
}

// isUp is Connected under the host's lock.
func (h *Host) isUp() bool {
	return slices.ContainsFunc(h.conns, func(c *conn) bool { return c.socket != nil && !c.hostEnded })
}

// closeIdle is Sweep under the host's lock, which is not let go between the look and the close. Guards against a forward
// that is queued on a connection between the two, and against one on a connection that was idle for too long since the last sweep.
func (h *Host) closeIdle(now time.Time) {
	for i := len(h.conns) - 1; i >= 0; i-- { // closing takes it off the list
		if c := h.conns[i]; len(c.open) == 0 && c.pastUse(now) {
			c.closeLocked()
		}
	}
}

// pastUse tells whether a connection that nothing is out on is to be closed.
func (c *conn) pastUse(now time.Time) bool {
	unused := now.Sub(c.used)
	doubted := c.doubted && unused > c.host.Dialer.Timeout
	rested := c.host.IdleClose > 0 && unused > time.Duration(idlePart*float64(c.host.IdleClose))
	return c.host.gone || doubted || rested || c.unanswering()
}

// unanswering tells whether too many questions have no answer: nothing new goes out on the connection, which closes once nothing is out.
// Guards against a host that answers requests but no questions, whose connection would keep all ids that were ever stopped on it.
func (c *conn) unanswering() bool { return len(c.stopped) >= mostStopped }

// Leave takes word that the host is gone: nothing new goes to it, and its connections close when nothing is out.
// It returns true once none is left.
func (h *Host) Leave() bool {
	h.mu.Lock()
	h.gone = true
	h.mu.Unlock()
	h.Sweep(time.Now())
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.conns) == 0
}
