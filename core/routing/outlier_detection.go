package routing

import (
	"math"

	"elderwall/core/routing/grouphealth"
)

const (
	// faultWeight is the weight of one outcome in a fault rate. Three faults in a row exceed
	// ejectionThreshold.
	faultWeight = 0.25
	// unreachableWeight is the weight of a request that a host never received or never answered. Two in a row
	// exceed ejectionThreshold.
	unreachableWeight = 0.4375
	ejectionThreshold = 0.5 // fault rate from which a host is ejected, because it fails more often than not
	minEjection       = 1.0 // seconds; duration of the first ejection, doubled after each failed probe
	// ejectionJitter is the share of an ejection over which its end is spread at random, so that routers do
	// not probe at the same time.
	ejectionJitter    = 0.5
	maxEjection       = 8.0 // seconds; maximum ejection before jitter, so that a recovered host is found again
	recoverySuccesses = 3   // successful answers in a row after which an ejected host has recovered
	// maxOverdueScore is the overdue score at which a silent host is ejected. Each overdue attempt adds the
	// number of other attempts in flight there. A lower score may come from large objects.
	maxOverdueScore = 3
)

// health is what is known about the faults of a host.
//
// A host is healthy; or ejected until ejectedUntil, during which it receives no requests; or being probed
// after that, when it is still ejected but receives one request at a time. A failed probe ejects it for twice
// as long; recoverySuccesses successful answers in a row make it healthy.
type health struct {
	faultRate     float64 // decaying share of outcomes that were faults
	ejected       bool
	ejectedAt     float64             // seconds
	ejectedUntil  float64             // seconds
	backoff       float64             // seconds; duration of the last ejection before jitter
	successStreak int                 // successful answers in a row
	lastContact   float64             // seconds; when it last responded or had nothing in flight
	overdueScore  int                 // other attempts in flight, summed over overdue attempts since the last contact
	group         *grouphealth.Member // what is known about its group; nil if there are too few hosts for groups
}

// recordContact records a response of the host.
func (h *health) recordContact(now float64) { h.lastContact, h.overdueScore = now, 0 }

// silentSince reports whether the host has not responded after a given time, in seconds.
func (h *health) silentSince(at float64) bool { return h.lastContact <= at }

// markRecovered makes the host healthy.
func (h *health) markRecovered() { h.ejected, h.backoff, h.faultRate = false, 0, 0 }

// reset discards the faults of a host that has restarted.
func (h *health) reset() {
	h.markRecovered()
	h.successStreak = 0
}

// suspected reports whether the host is ejected or its group has become silent.
func (h *health) suspected() bool { return h.ejected || h.group.Suspected() }

// outlierDetector ejects hosts that fail or are silent, and probes them with single requests until they have
// recovered. Guards against a host that quickly answers with errors, looks idle for that reason, and attracts
// ever more requests.
type outlierDetector struct {
	*environment
	slowStart *slowStart
	restarts  *restartDetector
}

// permits reports whether the health of a host allows a request to be sent to it. A suspected host only
// receives single probes.
func (d *outlierDetector) permits(h *host) bool {
	if !h.health.suspected() {
		return true
	}
	if h.health.ejected && d.now < h.health.ejectedUntil {
		return false
	}
	return !h.busy() && d.mayProbe(h)
}

// mayProbe reports whether the group's budget allows a probe of a host and no other shard is probing it.
func (d *outlierDetector) mayProbe(h *host) bool {
	return h.health.group.ProbeAllowed() && (d.Peers == nil || d.Peers.ClaimProbe(d.now, h.ID))
}

// countProbe counts a request that is sent to a host. Only requests to suspected hosts are probes.
func (d *outlierDetector) countProbe(h *host) {
	if h.health.suspected() {
		h.health.group.SpendProbe()
	}
}

// observeSuccess counts a successful answer of a host.
func (d *outlierDetector) observeSuccess(h *host) {
	s := &h.health
	s.faultRate *= 1 - faultWeight
	s.group.ObserveSuccess(d.now)
	s.successStreak++
	if !s.ejected || s.successStreak < recoverySuccesses && !s.group.RecoveredSince(s.ejectedAt) {
		return
	}
	s.markRecovered()
	d.restarts.observeRecovery(h)
	d.actions.HostRecovered(h.ID)
	d.publish(PeerUpdate{Host: h.ID})
}

// observeFault counts a fault of a host with a given weight, and ejects a host that mostly fails.
func (d *outlierDetector) observeFault(h *host, weight float64) {
	h.health.faultRate += (1 - h.health.faultRate) * weight
	if h.health.ejected || h.health.faultRate >= ejectionThreshold {
		d.eject(h)
	}
}

// observeUnreachable counts a request that a host never received or never answered.
func (d *outlierDetector) observeUnreachable(h *host) {
	d.restarts.observeLoss(h)
	d.observeFault(h, h.health.group.LossWeight(d.now, unreachableWeight, ejectionThreshold))
}

// observeOverdue counts an overdue attempt at a host that has been silent since the attempt was sent. others
// is the number of other attempts there.
func (d *outlierDetector) observeOverdue(h *host, others int) {
	s := &h.health
	s.overdueScore += others
	if s.ejected || s.overdueScore >= maxOverdueScore || s.group.ObserveSilence(d.now) {
		d.restarts.observeLoss(h)
		d.eject(h)
	}
}

// eject ejects a host, unless it is still within an ejection. The duration doubles with each failed probe.
func (d *outlierDetector) eject(h *host) {
	s := &h.health
	if s.ejected && d.now < s.ejectedUntil {
		return
	}
	if !s.ejected {
		s.ejectedAt = d.now
		d.actions.HostEjected(h.ID)
		d.reportSlowStart(h)
	}
	s.ejected, s.successStreak = true, 0
	s.backoff = math.Min(maxEjection, math.Max(minEjection, 2*s.backoff))
	s.ejectedUntil = d.now + s.backoff*(1+ejectionJitter*(d.uniform(h)-0.5))
	d.publish(PeerUpdate{Host: h.ID, Ejected: true, Until: s.ejectedUntil, Backoff: s.backoff})
}

// reportSlowStart reports the ejection of a host in slow start, which may have been overloaded.
func (d *outlierDetector) reportSlowStart(h *host) {
	if h.warmUp.active {
		d.slowStart.report(h, SlowStartEjected)
	}
}

// apply applies what another shard has published about the health of a host.
func (d *outlierDetector) apply(h *host, u PeerUpdate) {
	s := &h.health
	s.successStreak = 0
	if !u.Ejected {
		s.markRecovered()
		return
	}
	d.restarts.observeLoss(h)
	s.ejected, s.ejectedAt = true, d.now
	s.ejectedUntil, s.backoff = math.Max(s.ejectedUntil, u.Until), math.Max(s.backoff, u.Backoff)
}
