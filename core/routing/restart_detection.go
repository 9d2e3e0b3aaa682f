package routing

import (
	"math"
	"slices"
)

// toldWithin is the time in seconds within which the endpoint list tells that a host has started.
const toldWithin = 1.5

// processContinuity is what is known about whether a host still runs the process that answered before.
//
// The process is proven, or doubted. A connection that broke, could not be made, or fell silent makes it doubted: the
// host may have restarted with a cold cache, and the endpoint list may tell that late or not at all. While it is
// doubted, the host counts as started at the latest moment at which it may have restarted: the last failure, or the
// establishment of the connection that brought the first answer after it. An answer over a connection that is older
// than the doubt proves that the process has not restarted. The zero value is proven.
//
// A host is doubted as well if its first answer comes over a connection established later than all changes of the endpoint
// list are known, and if it ends the last connection while nothing is in flight there. Its start may have been told and not been
// heard yet: that doubt ends once the list is known up to toldWithin after the connection that the host answers over.
type processContinuity struct {
	doubted    bool
	unheard    bool    // it is doubted only until the list would have told
	answered   bool    // since the process was doubted
	answeredAt float64 // seconds; last answer over a known connection, 0 for none
	provenAt   float64 // seconds; last answer before the process was doubted, 0 for none
	startedAt  float64 // seconds; when the host may have restarted at the latest; valid while it is doubted
	fallback   float64 // seconds; the same for an earlier doubt, which a proof leaves; -Inf for none
}

// restartDetector presumes that a host has restarted if that can't be ruled out. Guards against a host with a cold
// cache that gets requests like a warm one because the endpoint list is late, or was not heard.
type restartDetector struct {
	*environment
	slowStart *slowStart
	list      listFreshness
	unheard   []*host // hosts that are doubted until the list would have told

	connectionsKnown bool // answers come with the time at which their connections were established
}

// hearList records when the source of the endpoint list last said something, in seconds, and returns the pause that has ended
// with it, as listFreshness.hear. It ends doubts about hosts whose restart the list would have told by now.
func (d *restartDetector) hearList(at float64) (pause float64) {
	pause = d.list.hear(at)
	if len(d.unheard) == 0 {
		return pause
	}
	knownUntil := d.list.knownUntil(d.now)
	d.unheard = slices.DeleteFunc(d.unheard, func(h *host) bool {
		c := &h.process
		if h.Phase == Removed { // it may be forgotten: a doubt that remains ends with its ramp
			c.unheard = false
		}
		if c.unheard && c.answered && c.startedAt+toldWithin <= knownUntil {
			*c = processContinuity{answeredAt: c.answeredAt}
			d.slowStart.endAfterRamp(h)
		}
		return !c.unheard
	})
	return pause
}

// listLate reports whether a restart may have been told without being heard.
func (d *restartDetector) listLate() bool { return d.list.knownUntil(d.now) < d.now }

// observeLoss records that a host was unreachable, lost a connection, or fell silent.
func (d *restartDetector) observeLoss(h *host) {
	d.slowStart.reportInterruption(h)
	if !d.mayHaveRestarted(h) {
		return
	}
	c := &h.process
	if !c.doubted {
		*c = processContinuity{doubted: true, answeredAt: c.answeredAt, provenAt: c.answeredAt, fallback: math.Inf(-1)}
	} else if c.answered { // the process that is doubted now is the one that answered since the doubt before
		c.answered, c.provenAt, c.fallback = false, c.answeredAt, c.startedAt
	}
	c.unheard = false
	d.presume(h, d.now)
}

// observeIdleLoss records that a host has ended its last connection while nothing was in flight there. Hosts do so when
// they restart, and with connections that are idle for longer than this router leaves them.
func (d *restartDetector) observeIdleLoss(h *host) {
	c := &h.process
	switch {
	case !d.mayHaveRestarted(h):
	case c.doubted && !c.unheard:
		d.observeLoss(h)
	default:
		d.awaitList(h, d.now)
		c.answered = false
	}
}

// observeFirstConnection records that a host which had no connection has one now, which proves nothing about the time
// before: the process may have been started since the list was last known.
func (d *restartDetector) observeFirstConnection(h *host) {
	if !h.process.doubted && d.mayBeUnheard(h, d.now) {
		d.awaitList(h, d.now)
	}
}

// forgetConnections records that no connection to a host is left that could prove its process.
func (d *restartDetector) forgetConnections(h *host) {
	if !h.process.doubted {
		h.process.answeredAt = 0
	}
}

// observeAnswer records an answer of a host over a connection that was established at a time in seconds, 0 if that is
// unknown.
func (d *restartDetector) observeAnswer(h *host, connectedAt float64) {
	if connectedAt == 0 {
		return
	}
	c := &h.process
	switch {
	case c.doubted && connectedAt <= c.provenAt:
		d.prove(h)
	case c.doubted && !c.answered:
		c.answered = true
		d.presume(h, connectedAt)
	case (!c.doubted || c.unheard) && connectedAt > c.answeredAt && d.mayBeUnheard(h, connectedAt):
		d.awaitList(h, connectedAt)
	}
	c.answeredAt = d.now
}

// mayBeUnheard reports whether a host that answers over a connection established at a time in seconds may have been told
// to have started, without that being heard. The losses of a host that answered before are observed, so that a list which
// is only late tells nothing new of it.
func (d *restartDetector) mayBeUnheard(h *host, connectedAt float64) bool {
	if h.process.answeredAt > 0 && !d.list.silent(d.now) {
		return false
	}
	return connectedAt > d.list.knownUntil(d.now)
}

// awaitList doubts a host that may have started at a time in seconds, until the list would have told.
func (d *restartDetector) awaitList(h *host, startedAt float64) {
	c := &h.process
	if !c.unheard {
		*c = processContinuity{doubted: true, unheard: true, answered: true, answeredAt: c.answeredAt, provenAt: c.answeredAt, fallback: math.Inf(-1)}
		d.unheard = append(d.unheard, h)
	}
	d.presume(h, startedAt)
}

// observeRecovery records that an ejected host has recovered.
func (d *restartDetector) observeRecovery(h *host) {
	if h.Kind == d.ParentKind {
		d.observeLoss(h)
	}
}

// mayHaveRestarted reports whether a loss makes a host's process doubted. A parent is reached through caches, so that
// no connection proves its process: it is doubted only while its restart might be told without being heard. Where the
// age of connections is not known no doubt could be ended, so that none is raised.
func (d *restartDetector) mayHaveRestarted(h *host) bool {
	return d.connectionsKnown && (h.Kind != d.ParentKind || d.listLate())
}

// presume has a host count as started at a time, unless it counts as started later than that.
func (d *restartDetector) presume(h *host, startedAt float64) {
	h.process.startedAt = math.Max(h.process.startedAt, startedAt)
	d.slowStart.begin(h, PresumedRestart)
}

// prove ends the doubt whether a host has restarted.
func (d *restartDetector) prove(h *host) {
	c := &h.process
	c.doubted = !math.IsInf(c.fallback, -1)
	c.startedAt, c.fallback = c.fallback, math.Inf(-1)
	c.answered, c.unheard, c.provenAt = true, false, 0
	d.slowStart.endAfterRamp(h)
}

// startedAt returns when a host has started, as far as slow start is concerned: as told, or as presumed.
func (h *host) startedAt() float64 {
	if h.process.doubted {
		return math.Max(h.OnlineSince, h.process.startedAt)
	}
	return h.OnlineSince
}
