package routing

import (
	"math"

	"elderwall/core/routing/grouphealth"
)

const (
	// share of one outcome in a fault rate: three faults in a row pass ejectionThreshold
	faultWeight = 0.25
	// share; the same for a request that a host never got or never answered: two in a row
	unreachableWeight = 0.4375
	ejectionThreshold = 0.5 // fault rate from which a host is ejected: it fails more often than not
	minEjection       = 1.0 // s; the first ejection, doubled each time a trial fails
	// share of an ejection by which chance spreads it: routers should not try at once
	ejectionJitter = 0.5
	maxEjection    = 8.0 // s; the longest ejection, so that a host that has recovered is found
	trialSuccesses = 3   // answers in a row after which a host on trial has recovered
	// overdue attempts at a silent host, not alone there: fewer may be for large objects
	maxOverdueAttempts = 3
)

// health is what is known of a host's faults.
//
// States: healthy; ejected until ejectedUntil (it gets nothing); on trial after that (ejected still, it gets
// one request at a time). A failed trial ejects it for twice as long; trialSuccesses answers in a row make it
// healthy.
type health struct {
	faultRate     float64 // decaying share of outcomes that were faults
	ejected       bool
	ejectedAt     float64             // s
	ejectedUntil  float64             // s
	backoff       float64             // s; length of the last ejection before jitter
	successStreak int                 // answers in a row
	lastHeard     float64             // s; when it last gave a sign of life, or had nothing in flight
	overdue       int                 // attempts found overdue since then
	group         *grouphealth.Member // what its group tells of it; nil where hosts are few
}

// heard notes a sign of life.
func (h *health) heard(now float64) { h.lastHeard, h.overdue = now, 0 }

// silentSince reports whether the host has given no sign of life after a moment.
func (h *health) silentSince(at float64) bool { return h.lastHeard <= at }

// recovered makes the host healthy.
func (h *health) recovered() { h.ejected, h.backoff, h.faultRate = false, 0, 0 }

// reset forgets the faults of a host that was started anew.
func (h *health) reset() {
	h.recovered()
	h.successStreak = 0
}

// suspect reports whether the host is ejected, or its group has fallen silent.
func (h *health) suspect() bool { return h.ejected || h.group.Suspected() }

// outlierDetector ejects hosts that fail or are silent, and finds out by single requests when they have
// recovered. Guards against a host that answers fast with errors, and so looks idle and draws ever more
// requests.
type outlierDetector struct{ *environment }

// permits reports whether a host may be sent a request as far as its health goes: a suspect one gets single
// trials.
func (d *outlierDetector) permits(h *host) bool {
	if !h.health.suspect() {
		return true
	}
	if h.health.ejected && d.now < h.health.ejectedUntil {
		return false
	}
	return !h.busy() && d.mayTry(h)
}

// mayTry reports whether a trial is left for a host, and no other shard tries it.
func (d *outlierDetector) mayTry(h *host) bool {
	return h.health.group.ProbeAllowed() && (d.Peers == nil || d.Peers.ClaimProbe(d.now, h.ID))
}

// countTrial counts a request that is sent to a host; only those to suspect ones are trials.
func (d *outlierDetector) countTrial(h *host) {
	if h.health.suspect() {
		h.health.group.SpendProbe()
	}
}

// observeSuccess counts an answer of a host.
func (d *outlierDetector) observeSuccess(h *host) {
	s := &h.health
	s.faultRate *= 1 - faultWeight
	s.group.ObserveSuccess(d.now)
	s.successStreak++
	if !s.ejected || s.successStreak < trialSuccesses && !s.group.RecoveredSince(s.ejectedAt) {
		return
	}
	s.recovered()
	d.actions.HostRecovered(h.ID)
	d.publish(PeerUpdate{Host: h.ID})
}

// observeFault counts a fault of a host by a weight, and ejects one that mostly fails.
func (d *outlierDetector) observeFault(h *host, weight float64) {
	h.health.faultRate += (1 - h.health.faultRate) * weight
	if h.health.ejected || h.health.faultRate >= ejectionThreshold {
		d.eject(h)
	}
}

// observeUnreachable counts a request that a host never got or never answered.
func (d *outlierDetector) observeUnreachable(h *host) {
	d.observeFault(h, h.health.group.LossWeight(d.now, unreachableWeight, ejectionThreshold))
}

// observeOverdue counts an overdue attempt at a host that has been silent since it was sent, with the number
// of other attempts there.
func (d *outlierDetector) observeOverdue(h *host, others int) {
	s := &h.health
	s.overdue += others
	if s.ejected || s.overdue >= maxOverdueAttempts || s.group.ObserveSilence(d.now) {
		d.eject(h)
	}
}

// eject ejects a host for a time that doubles with each failed trial, unless it is ejected already.
func (d *outlierDetector) eject(h *host) {
	s := &h.health
	if s.ejected && d.now < s.ejectedUntil {
		return
	}
	if !s.ejected {
		s.ejectedAt = d.now
		d.actions.HostEjected(h.ID)
	}
	s.ejected, s.successStreak = true, 0
	s.backoff = math.Min(maxEjection, math.Max(minEjection, 2*s.backoff))
	s.ejectedUntil = d.now + s.backoff*(1+ejectionJitter*(d.uniform(h)-0.5))
	d.publish(PeerUpdate{Host: h.ID, Ejected: true, Until: s.ejectedUntil, Backoff: s.backoff})
}

// apply takes over what another shard has found out of a host.
func (d *outlierDetector) apply(h *host, u PeerUpdate) {
	s := &h.health
	s.successStreak = 0
	if !u.Ejected {
		s.recovered()
		return
	}
	s.ejected, s.ejectedAt = true, d.now
	s.ejectedUntil, s.backoff = math.Max(s.ejectedUntil, u.Until), math.Max(s.backoff, u.Backoff)
}
