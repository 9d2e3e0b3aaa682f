package routing

const (
	// heardWithin is the time in seconds within which a change of the endpoint list is heard, unless the list is late.
	heardWithin = 0.1
	// maxFirstRequests is the number of requests in flight at a host over its first connection until a restart of the
	// host, after which the connection was established, would have been heard.
	maxFirstRequests = 1
)

// firstConnection is what is known about the first of the connections that a host has now. The zero value is a host
// without connections.
type firstConnection struct {
	up    bool
	since float64 // seconds; when it was established; valid while it is up
}

// connectionTracker bounds what is sent to hosts that may have restarted while no connection to them was up, whose end
// would have told. Guards against a host that has just restarted getting requests like a warm one until its start is
// heard: until then it gets one at a time, and the others wait.
type connectionTracker struct {
	*environment
	timers   *timers
	restarts *restartDetector
	waits    int // requests that have begun to wait since they were last taken
}

// observeUp records that the first connection to a host is up.
func (t *connectionTracker) observeUp(h *host) {
	h.connection = firstConnection{up: true, since: t.now}
	if h.Kind != t.ParentKind {
		t.restarts.observeFirstConnection(h)
	}
}

// observeDown records that a host has no connection any more.
func (t *connectionTracker) observeDown(h *host) {
	h.connection = firstConnection{}
	t.restarts.forgetConnections(h)
}

// settlesAt returns the time in seconds at which a host may be sent more than it is sent now, as far as its connections are
// concerned: 0 if it may now. While no connection is up, it returns the time at which to look again.
func (t *connectionTracker) settlesAt(h *host) float64 {
	settled := h.connection.up && t.now >= h.connection.since+heardWithin
	switch {
	case settled, !t.restarts.connectionsKnown, h.inFlight < maxFirstRequests, h.warmUp.active, h.health.suspected():
		return 0
	case !h.connection.up:
		return t.now + tickInterval
	}
	return h.connection.since + heardWithin
}

// await has a request wait for a cache until a time in seconds, and then looks for one again.
func (t *connectionTracker) await(q *request, until float64) verdict {
	if !q.admitted {
		t.waits++
	}
	q.admitted = true
	t.timers.Put(&q.wait, until, timerEvent{handle: retryAwaiting, request: q})
	return pending
}

func retryAwaiting(r *Router, q *request, _ *attempt) { r.retries.enqueue(q) }
