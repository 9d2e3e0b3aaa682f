package membership

import (
	"math"
	"slices"
)

// Link is the quality of the path to another member.
type Link uint8

// The links.
const (
	LinkClear    Link = iota
	LinkOneWay        // its messages arrive here, but ours do not reach it: a fault in one direction
	LinkIndirect      // it is reached only through other members
)

func (l Link) String() string {
	return [...]string{"clear", "deaf", "reached by others"}[min(l, LinkIndirect)]
}

// probe is the probe in progress.
type probe struct {
	target               *peer
	bootID               uint64
	seq                  uint32
	startedAt            float64
	indirectAt, deadline float64
	helpers, nacks       int  // members asked to ping the target, and how many of them reported no answer
	indirectlyAcked      bool // the target answered a ping of another member
}

// indirectPing is a ping that this member sends on behalf of another.
type indirectPing struct {
	pingSeq          uint32 // sequence number of the ping
	requester        string // address of the member that asked for the ping
	requestSeq       uint32
	target           Member
	nackAt, deadline float64
	nackSent         bool
}

const maxIndirectPings = 64 // at a time; further requests are ignored, and the requester relies on its other helpers

// waitFactor returns the factor by which the local health score lengthens timeouts.
func (m *Machine) waitFactor() float64 {
	if m.settings.PlainSWIM {
		return 1
	}
	return float64(1 + m.healthScore)
}

// silenceLimit returns after how many seconds without any message this member's own link is suspected. It rises with
// waitFactor, because longer timeouts bring fewer answers.
func (m *Machine) silenceLimit() float64 {
	return m.seconds(math.Max(silenceThreshold, 1.5*m.waitFactor()))
}

// localFaultLikely reports whether a fault of this member is more likely than a fault of others. That is so after a
// stall until a message arrives, while no message arrives at all, and while no probe is answered. Each ends after
// maxLocalFault intervals, since the others may really be gone. It is always false in plain SWIM.
func (m *Machine) localFaultLikely() bool {
	if m.settings.PlainSWIM || m.PresentCount() == 0 {
		return false
	}
	silence := m.now - m.lastContact
	return silence < m.seconds(maxLocalFault) && (m.stalled || silence > m.silenceLimit()) ||
		m.unanswered >= unansweredThreshold && m.now-m.unansweredSince < m.seconds(maxLocalFault)
}

// tickProbe advances the probe in progress and the indirect pings, and starts the next probe.
func (m *Machine) tickProbe() {
	if p := m.currentProbe; p != nil {
		if p.helpers == 0 && m.now >= p.indirectAt {
			m.requestIndirectPings(p)
		}
		if m.now >= p.deadline {
			m.currentProbe = nil
			m.finishUnansweredProbe(p)
		}
	}
	for _, f := range m.indirectPings {
		if m.now >= f.nackAt && !f.nackSent {
			f.nackSent = true
			m.send(f.requester, Message{Kind: IndirectNack, Seq: f.requestSeq, Target: f.target})
		}
	}
	m.indirectPings = slices.DeleteFunc(m.indirectPings, func(f *indirectPing) bool { return m.now >= f.deadline })
	if m.currentProbe == nil && m.now >= m.due.probe {
		m.due.probe = m.now + m.seconds(m.waitFactor())
		if p := m.nextTarget(); p != nil {
			m.lastSeq++
			m.currentProbe = &probe{target: p, bootID: p.BootID, seq: m.lastSeq, startedAt: m.now, indirectAt: m.now + m.seconds(ackTimeout*m.waitFactor()), deadline: m.due.probe}
			m.sendPing(p, m.lastSeq)
		}
	}
}

// nextTarget returns the next member to probe, or nil if there is none. Each member is probed once per round in random
// order; every crossZoneEvery-th probe goes to another zone.
func (m *Machine) nextTarget() *peer {
	m.probeCount++
	crossZone := m.probeCount%crossZoneEvery == 0
	for range 2 {
		for _, otherZones := range []bool{crossZone, !crossZone} {
			if p := m.takeFromRound(otherZones); p != nil {
				return p
			}
			if !m.hasPresentMembers(otherZones) { // there are no members of this kind, so their round cannot be refilled
				continue
			}
			m.refillRound(otherZones)
			if p := m.takeFromRound(otherZones); p != nil {
				return p
			}
		}
	}
	return nil
}

// takeFromRound removes and returns the first member of the round that is in this member's zone or, if otherZones is
// true, in another zone; nil if there is none.
func (m *Machine) takeFromRound(otherZones bool) *peer {
	for i, p := range m.probeRound {
		if p.State.Present() && m.byName[p.Name] == p && (p.Zone != m.self.Zone) == otherZones {
			m.probeRound = slices.Delete(m.probeRound, i, i+1)
			return p
		}
	}
	return nil
}

// hasPresentMembers reports whether there are present members in this member's zone or, if otherZones is true, in other
// zones.
func (m *Machine) hasPresentMembers(otherZones bool) bool {
	return slices.ContainsFunc(m.peers, func(p *peer) bool { return p.State.Present() && (p.Zone != m.self.Zone) == otherZones })
}

// refillRound starts a new round, in random order, for this member's zone or, if otherZones is true, for the other
// zones.
func (m *Machine) refillRound(otherZones bool) {
	m.probeRound = slices.DeleteFunc(m.probeRound, func(p *peer) bool { return (p.Zone != m.self.Zone) == otherZones })
	var fresh []*peer
	for _, p := range m.peers {
		if p.State.Present() && (p.Zone != m.self.Zone) == otherZones {
			fresh = append(fresh, p)
		}
	}
	m.rng.Shuffle(len(fresh), func(i, j int) { fresh[i], fresh[j] = fresh[j], fresh[i] })
	m.probeRound = append(m.probeRound, fresh...)
}

// randomPeers returns up to n random members that match, by reservoir sampling.
func (m *Machine) randomPeers(n int, matches func(*peer) bool) (drawn []*peer) {
	seen := 0
	for _, p := range m.peers {
		if !matches(p) {
			continue
		}
		seen++
		if len(drawn) < n {
			drawn = append(drawn, p)
		} else if i := m.rng.IntN(seen); i < n {
			drawn[i] = p
		}
	}
	return drawn
}

// requestIndirectPings pings the target of a probe once more and asks other members to ping it.
func (m *Machine) requestIndirectPings(p *probe) {
	m.sendPing(p.target, p.seq)
	for _, h := range m.randomPeers(indirectProbes, func(o *peer) bool { return o != p.target && o.State == Alive && o.link == LinkClear }) {
		p.helpers++
		m.send(h.Address, Message{Kind: PingRequest, Seq: p.seq, Target: p.target.Member, Updates: m.packUpdates(h)})
	}
	p.helpers = max(1, p.helpers)
}

// handlePing answers a ping, whichever process it was meant for: the record in the answer identifies the process that
// runs here now.
func (m *Machine) handlePing(in Message) {
	if m.ackBucket.take(m.now, ackRate) {
		m.send(in.From.Address, Message{Kind: Ack, Seq: in.Seq, Updates: m.packUpdates(m.byName[in.From.Name])})
	}
}

// handlePingRequest pings a member on behalf of another.
func (m *Machine) handlePingRequest(in Message) {
	if len(m.indirectPings) >= maxIndirectPings || in.Target.Address == "" || !m.ackBucket.take(m.now, ackRate) {
		return
	}
	m.lastSeq++
	m.indirectPings = append(m.indirectPings, &indirectPing{pingSeq: m.lastSeq, requester: in.From.Address, requestSeq: in.Seq, target: in.Target, nackAt: m.now + m.seconds(ackTimeout), deadline: m.now + m.seconds(1)})
	m.send(in.Target.Address, Message{Kind: Ping, Seq: m.lastSeq, Target: in.Target, Updates: m.packUpdates(m.byName[in.Target.Name])})
}

// handleAck handles the answer to a ping from this member, and forwards it if the ping was sent on behalf of another.
func (m *Machine) handleAck(in Message) {
	if i := slices.IndexFunc(m.indirectPings, func(f *indirectPing) bool { return f.pingSeq == in.Seq }); i >= 0 {
		f := m.indirectPings[i]
		m.indirectPings = slices.Delete(m.indirectPings, i, i+1)
		if in.From.Name == f.target.Name {
			m.send(f.requester, Message{Kind: IndirectAck, Seq: f.requestSeq, Target: in.From})
		}
		return
	}
	p := m.currentProbe
	if p == nil || p.seq != in.Seq || in.From.Name != p.target.Name {
		return
	}
	m.currentProbe, m.unanswered = nil, 0
	p.target.missed = 0
	m.healthScore = max(0, m.healthScore-1)
	m.setLink(p.target, LinkClear)
}

// handleIndirectAck handles the result of a ping that another member sent on our behalf.
func (m *Machine) handleIndirectAck(in Message) {
	p := m.currentProbe
	if p == nil || p.seq != in.Seq || in.Target.Name != p.target.Name {
		return
	}
	if in.Kind == IndirectNack {
		p.nacks++
		return
	}
	m.applyRecord(in.Target, false)
	p.indirectlyAcked, m.unanswered = true, 0
}

// finishUnansweredProbe ends a probe that its target did not answer directly.
func (m *Machine) finishUnansweredProbe(p *probe) {
	o := p.target
	if m.byName[o.Name] != o || o.BootID != p.bootID || !o.State.Present() {
		return
	}
	if o.missed++; o.missed == 1 {
		o.missedSince = m.now
	}
	// A target that sent a message during the probe has not failed, even if our messages do not reach it.
	heardDuringProbe := !m.settings.PlainSWIM && o.lastContact > p.startedAt
	if o.missed >= linkFaultProbes && (p.indirectlyAcked || heardDuringProbe) {
		m.setLink(o, map[bool]Link{true: LinkOneWay, false: LinkIndirect}[o.lastContact > o.missedSince])
	}
	if p.indirectlyAcked {
		m.setUnresponsive(o, false)
		return
	}
	if !heardDuringProbe {
		m.setUnresponsive(o, true)
	}
	if m.unanswered++; m.unanswered == 1 {
		m.unansweredSince = m.now
	}
	if p.nacks < p.helpers { // missing reports from helpers point to a fault of this member's link
		m.healthScore = min(maxHealthScore, m.healthScore+1)
	}
	if !m.localFaultLikely() && !heardDuringProbe {
		m.suspect(o, m.self.Name)
	}
}

// setUnresponsive records whether a member failed to answer its last probe.
func (m *Machine) setUnresponsive(p *peer, unresponsive bool) {
	if p.unresponsive != unresponsive {
		p.unresponsive = unresponsive
		m.markViewStale()
	}
}

// setLink records the quality of the path to a member and emits an event if it changed.
func (m *Machine) setLink(p *peer, to Link) {
	if p.link != to {
		p.link = to
		m.emit(Event{Name: p.Name, Kind: to.String(), By: m.self.Name, Zone: p.Zone})
	}
}

// suspect records a suspicion of a member. Each further accuser shortens the time in which the member can refute it.
func (m *Machine) suspect(p *peer, by string) {
	switch {
	case p.State == Alive:
		p.State, p.AccusedBy, p.stateSince, p.accusers = Suspect, by, m.now, []string{by}
		m.markViewStale()
		m.emit(Event{Name: p.Name, Kind: Suspect.String(), By: by, Zone: p.Zone})
	case p.State != Suspect || slices.Contains(p.accusers, by) || len(p.accusers) > maxConfirmations:
		return
	default:
		p.accusers = append(p.accusers, by)
	}
	p.suspectUntil = p.stateSince + m.suspicionTimeout(len(p.accusers)-1)
	r := p.Member
	r.AccusedBy = by
	m.queueUpdate(r)
}

// suspicionTimeout returns the time that a member has to refute a suspicion, in seconds, given the number of further
// accusers.
func (m *Machine) suspicionTimeout(confirmations int) float64 {
	n := m.PresentCount() + 1
	minTimeout := m.seconds(suspicionFactor * math.Max(1, math.Log10(float64(n))))
	k := min(maxConfirmations, n-2)
	if m.settings.PlainSWIM || k < 1 {
		return minTimeout
	}
	return math.Max(minTimeout, suspicionMaxFactor*minTimeout-(suspicionMaxFactor-1)*minTimeout*math.Log(float64(confirmations+1))/math.Log(float64(k+1)))
}

// expireSuspicions declares suspects failed whose timeout is over. While a local fault is likely the timeouts are
// paused.
func (m *Machine) expireSuspicions() {
	paused := !m.May(DeclareFailures)
	for _, p := range m.peers {
		if p.State != Suspect {
			continue
		}
		if paused {
			p.suspectUntil += m.now - m.suspicionsCheckedAt
		} else if m.now >= p.suspectUntil {
			p.State = Failed
			m.stateChanged(p, p.AccusedBy)
		}
	}
	m.suspicionsCheckedAt = m.now
}
