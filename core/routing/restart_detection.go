package routing

import "math"

// maxListSilence is the time in seconds without a word of the endpoint list's source after which a restart may have
// been told without being heard. The source says something each second.
const maxListSilence = 1.5

// processContinuity is what is known about whether a host still runs the process that answered before.
//
// The process is proven, or doubted. A connection that broke, could not be made, or fell silent makes it doubted: the
// host may have restarted with a cold cache, and the endpoint list may tell that late or not at all. While it is
// doubted, the host counts as started at the latest moment at which it may have restarted: the last failure, or the
// establishment of the connection that brought the first answer after it. An answer over a connection that is older
// than the doubt proves that the process has not restarted. The zero value is proven.
type processContinuity struct {
	doubted    bool
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
	slowStart   *slowStart
	listHeardAt float64 // seconds; when the source of the endpoint list last said something
	listKnown   bool    // whether listHeardAt is known

	connectionsKnown bool // answers come with the time at which their connections were established
}

// hearList records when the source of the endpoint list last said something, in seconds.
func (d *restartDetector) hearList(at float64) { d.listHeardAt, d.listKnown = at, true }

// listSilent reports whether a restart may have been told without being heard.
func (d *restartDetector) listSilent() bool {
	return d.listKnown && d.now-d.listHeardAt > maxListSilence
}

// observeLoss records that a host was unreachable, lost a connection, or fell silent.
func (d *restartDetector) observeLoss(h *host) {
	if !d.mayHaveRestarted(h) {
		return
	}
	c := &h.process
	if !c.doubted {
		*c = processContinuity{doubted: true, answeredAt: c.answeredAt, provenAt: c.answeredAt, fallback: math.Inf(-1)}
	} else if c.answered { // the process that is doubted now is the one that answered since the doubt before
		c.answered, c.provenAt, c.fallback = false, c.answeredAt, c.startedAt
	}
	d.presume(h, d.now)
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
	case !c.doubted && c.answeredAt > 0 && connectedAt > c.answeredAt && d.listSilent():
		*c = processContinuity{doubted: true, answered: true, provenAt: c.answeredAt, fallback: math.Inf(-1)}
		d.presume(h, connectedAt)
	}
	c.answeredAt = d.now
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
	return d.connectionsKnown && (h.Kind != d.ParentKind || d.listSilent())
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
	c.answered, c.provenAt = true, 0
	d.slowStart.endAfterRamp(h)
}

// startedAt returns when a host has started, as far as slow start is concerned: as told, or as presumed.
func (h *host) startedAt() float64 {
	if h.process.doubted {
		return math.Max(h.OnlineSince, h.process.startedAt)
	}
	return h.OnlineSince
}
