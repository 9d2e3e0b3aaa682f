package routing

const (
	// heardWithin is the time in seconds within which a change of the endpoint list is heard, unless the list is late.
	heardWithin = 0.1
	// maxFirstRequests is the number of requests that a router sends to a host until a restart of the host, after which its
	// first connection was established, would have been heard. Where more than maxFirstSenders routers and shards share the
	// host, they send none and only connect to it.
	maxFirstRequests = 1
	// maxFirstSenders is the number of requests that a host takes in an overload window however small and cold it is.
	maxFirstSenders = 3
)

// firstConnection is what is known about the first of the connections that a host has now. The zero value is a host
// without connections.
type firstConnection struct {
	up           bool
	since        float64 // seconds; when it was established; valid while it is up
	sent         int     // attempts sent to the host before the connection was settled
	blockedUntil float64 // seconds; until then this process lacks what it needs to connect without sending anything
}

// settled reports whether a restart of the host before the connection was established would have been heard.
func (c *firstConnection) settled(now float64) bool { return c.up && now >= c.since+heardWithin }

// connectionTracker bounds what is sent to hosts that may have restarted while no connection to them was up, whose end
// would have told. Guards against a host that has just restarted getting requests like a warm one until its start is
// heard: until then few routers send it one request each, many only connect to it, and the other requests wait.
type connectionTracker struct {
	*environment
	timers   *timers
	restarts *restartDetector
	outliers *outlierDetector
	waits    int // requests that have begun to wait since they were last taken
}

// observeUp records that the first connection to a host is up.
func (t *connectionTracker) observeUp(h *host) {
	h.connection.up, h.connection.since = true, t.now
	if h.Kind != t.ParentKind {
		t.restarts.observeFirstConnection(h)
	}
}

// observeDown records that a host has no connection any more.
func (t *connectionTracker) observeDown(h *host) {
	h.connection = firstConnection{sent: h.inFlight, blockedUntil: h.connection.blockedUntil}
	t.restarts.forgetConnections(h)
}

// observeFailed records that a connection to a host could not be established, and that no attempt waited for it, which
// would tell by its result. ownFault is set if this process lacked resources.
func (t *connectionTracker) observeFailed(h *host, ownFault bool) {
	switch {
	case h.connection.up:
	case ownFault:
		h.connection.blockedUntil = t.now + heardWithin
	default:
		t.outliers.observeUnreachable(h)
	}
}

// countSent counts an attempt to a host.
func (t *connectionTracker) countSent(h *host) {
	if !h.connection.settled(t.now) {
		h.connection.sent++
	}
}

// countReturned counts the end of an attempt to a host. One that ends while no connection is up has not reached the host,
// or has lost its connection.
func (t *connectionTracker) countReturned(h *host) {
	if !h.connection.up {
		h.connection.sent = min(h.connection.sent, h.inFlight)
	}
}

// settlesAt returns the time in seconds at which a host may be sent more than it is sent now, as far as its connections are
// concerned: 0 if it may be sent a request now. While no connection is up, it has the host connected to, and returns the time at
// which to look again.
func (t *connectionTracker) settlesAt(h *host, q *request) float64 {
	c := &h.connection
	if q.ConnectionsUnknown || c.settled(t.now) || !t.restarts.connectionsKnown || h.warmUp.active || h.health.suspected() {
		return 0
	}
	if !c.up && c.sent >= t.maxSent(h, q.giveUpAt) && !t.actions.OpenConnection(h.ID) {
		c.blockedUntil = t.now + heardWithin
	}
	switch {
	case c.sent < t.maxSent(h, q.giveUpAt):
		return 0
	case c.up:
		return c.since + heardWithin
	}
	return t.now + tickInterval
}

// maxSent returns the number of requests that this router sends to a host before its first connection is settled. A process
// that can't connect to the host now sends a request all the same, whose result tells why, and so does one whose requests are
// given up before the connection could be settled.
func (t *connectionTracker) maxSent(h *host, giveUpAt float64) int {
	c := &h.connection
	settled := t.now + heardWithin
	if c.up {
		settled = c.since + heardWithin
	}
	if t.senders(h.Zone) > maxFirstSenders && t.now >= c.blockedUntil && giveUpAt > settled {
		return 0
	}
	return maxFirstRequests
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
