package membership

import (
	"cmp"
	"math"
	"slices"
)

// queuedUpdate is a record to be gossiped, with the number of times that it has been sent.
type queuedUpdate struct {
	Member
	sends int
}

const (
	maxQueuedUpdates  = 1 << 10 // queued at a time; a record that is displaced arrives with the next table exchange
	maxTextBytes      = 255     // limit of a name, an address or a zone, in bytes
	maxRejoinContacts = 8       // addresses that an ousted member keeps
	maxFormerRecords  = 3       // records of this name and address that are taken for earlier processes of this member; if more arrive, a live process shares both
)

// send queues a message for sending in a datagram.
func (m *Machine) send(to string, out Message) {
	m.enqueue(Envelope{To: to, Message: out})
}

// enqueue completes a message with the fields that all messages carry and adds it to the outbox.
func (m *Machine) enqueue(e Envelope) {
	e.From, e.Digest, e.SeesMajority = m.self, m.view.Digest, m.view.seesMajority()
	e.From.InAgreedFleet = m.inAgreedFleet
	m.outbox = append(m.outbox, e)
}

// sendPing sends a ping. The local record of the receiver comes first, so that a suspected member learns of the
// suspicion from the probe.
func (m *Machine) sendPing(p *peer, seq uint32) {
	m.send(p.Address, Message{Kind: Ping, Seq: seq, Target: Member{Name: p.Name, BootID: p.BootID}, Updates: m.packUpdates(p)})
}

// queueUpdate queues a record for gossip and replaces an older record of the same name. If the queue is full, the record
// that was sent most often is dropped.
func (m *Machine) queueUpdate(r Member) {
	r.InAgreedFleet = false
	for _, n := range m.updates {
		if n.Name == r.Name {
			n.Member, n.sends = r, 0
			return
		}
	}
	if len(m.updates) >= maxQueuedUpdates {
		mostSent := slices.MaxFunc(m.updates, func(a, b *queuedUpdate) int { return cmp.Compare(a.sends, b.sends) })
		*mostSent = queuedUpdate{Member: r}
		return
	}
	m.updates = append(m.updates, &queuedUpdate{Member: r})
}

// packUpdates selects records for a datagram: first the record of its receiver if that is not alive, then the records
// that were sent least often.
func (m *Machine) packUpdates(to *peer) (all []Member) {
	remaining := MaxUpdateBytes
	if to != nil && to.State != Alive {
		all, remaining = append(all, to.Member), remaining-to.ApproxBytes()
	}
	maxSends := int(retransmitFactor*math.Ceil(math.Log10(float64(m.PresentCount()+2)))) + 1
	slices.SortStableFunc(m.updates, func(a, b *queuedUpdate) int { return cmp.Compare(a.sends, b.sends) })
	for _, n := range m.updates {
		if remaining < 60 {
			break
		}
		if size := n.ApproxBytes(); size <= remaining && (to == nil || n.Name != to.Name || to.State == Alive) {
			all, remaining = append(all, n.Member), remaining-size
			n.sends++
		}
	}
	m.updates = slices.DeleteFunc(m.updates, func(n *queuedUpdate) bool { return n.sends >= maxSends })
	return all
}

// applyRecord merges a received record of a member. fromTable is true for records of a Table.
func (m *Machine) applyRecord(r Member, fromTable bool) {
	if !r.valid() {
		return
	}
	if r.Name == m.self.Name {
		m.handleSelfRecord(r)
		return
	}
	r.InAgreedFleet = false
	p := m.byName[r.Name]
	if p == nil {
		m.addPeer(r)
		return
	}
	same := r.Incarnation == p.Incarnation && r.BootID == p.BootID
	if same && r.State == Failed && p.State.Present() && (fromTable || m.now-p.lastContact < m.seconds(silenceThreshold)) && !m.settings.PlainSWIM {
		// The sender of a table may have been cut off, and a member that was heard from recently may still refute its
		// failure.
		r.State = Suspect
	}
	if same && r.Version > p.Version {
		m.applyVersion(p, &r)
	}
	if same && r.State == Suspect {
		m.suspect(p, r.AccusedBy)
		return
	}
	if !r.supersedes(&p.Member) {
		if !same && r.State.Present() && p.State.Present() { // the sender does not have the record that is known here
			m.queueUpdate(p.Member)
		}
		return
	}
	m.replaceRecord(p, r)
}

// valid reports whether a received record has a name, an address and values within their limits.
func (r *Member) valid() bool {
	named := r.Name != "" && r.Address != ""
	return named && len(r.Name) <= maxTextBytes && len(r.Address) <= maxTextBytes && len(r.Zone) <= maxTextBytes && r.State <= Left
}

// applyVersion takes the wire version, the settings generation, the load and the report as a voter of the log from a
// record of the same incarnation with a later Version.
func (m *Machine) applyVersion(p *peer, r *Member) {
	p.Version, p.WireVersion, p.Load = r.Version, r.WireVersion, r.Load
	if p.SettingsGeneration != r.SettingsGeneration || p.Vote != r.Vote {
		p.SettingsGeneration, p.Vote = r.SettingsGeneration, r.Vote
		m.queueUpdate(p.Member)
	}
}

// replaceRecord replaces a known record by one that supersedes it.
func (m *Machine) replaceRecord(p *peer, r Member) {
	accused := r.State == Suspect
	if accused {
		r.State = Alive
	}
	former := p.Member
	p.Member = r
	if former.State != r.State || former.BootID != r.BootID || former.Address != r.Address {
		p.missed, p.link, p.unresponsive = 0, LinkClear, false
	}
	if p.accusers = nil; former.State != r.State || former.BootID != r.BootID {
		m.stateChanged(p, r.AccusedBy)
	} else {
		m.queueUpdate(r)
	}
	if accused {
		m.suspect(p, r.AccusedBy)
	}
}

// stateChanged records the time of a state change, gossips the record and emits an event.
func (m *Machine) stateChanged(p *peer, by string) {
	p.stateSince, p.AccusedBy = m.now, by
	m.markViewStale()
	if p.State == Left {
		p.inAgreedFleet = false // leaving is a decision that all members accept
	}
	m.queueUpdate(p.Member)
	m.emit(Event{Name: p.Name, Kind: p.State.String(), By: by, Zone: p.Zone})
}

// addPeer adds a record of a new name. If the table is full, the oldest failed or left member outside the agreed fleet
// is removed to make room.
func (m *Machine) addPeer(r Member) {
	if len(m.peers) >= MaxMembers-1 {
		var oldest *peer
		for _, p := range m.peers {
			if !p.State.Present() && !p.inAgreedFleet && (oldest == nil || p.stateSince < oldest.stateSince) {
				oldest = p
			}
		}
		if oldest == nil {
			return
		}
		m.removePeer(oldest)
	}
	accused := r.State == Suspect
	if accused {
		r.State = Alive
	}
	p := &peer{Member: r, stateSince: m.now, lastContact: math.Inf(-1)}
	m.byName[r.Name] = p
	m.peers = append(m.peers, p)
	m.markViewStale()
	m.queueUpdate(r)
	if r.State.Present() {
		m.emit(Event{Name: r.Name, Kind: "joined", Zone: r.Zone})
	}
	if accused {
		m.suspect(p, r.AccusedBy)
	}
}

// removePeer deletes all local knowledge of a member.
func (m *Machine) removePeer(p *peer) {
	delete(m.byName, p.Name)
	m.peers = slices.DeleteFunc(m.peers, func(o *peer) bool { return o == p })
	m.markViewStale()
}

// handleSelfRecord handles a record that has this member's name: what others believe of this process, or a record of
// another process of the name.
func (m *Machine) handleSelfRecord(r Member) {
	if m.standing != IsMember {
		return
	}
	if r.BootID == m.self.BootID {
		if r.State != Alive && r.Incarnation >= m.self.Incarnation {
			m.self.Incarnation = r.Incarnation + 1
			m.healthScore = min(maxHealthScore, m.healthScore+1)
			m.queueUpdate(m.self)
		}
		return
	}
	gone := !r.State.Present()
	if fromFormerProcess := gone || r.Address == m.self.Address; fromFormerProcess && r.Incarnation >= m.self.Incarnation&^(incarnationsPerStart-1) {
		if m.formerRecords++; gone || m.formerRecords <= maxFormerRecords {
			m.self.Incarnation = (r.Incarnation/incarnationsPerStart + 1) * incarnationsPerStart
			m.queueUpdate(m.self)
			return
		}
	}
	switch {
	case r.supersedes(&m.self):
		m.oust(r)
	case !gone:
		m.queueUpdate(m.self)
		m.send(r.Address, Message{Kind: Ping, Target: r, Updates: []Member{m.self}})
	}
}

// oust ends this process's membership, because another process has its name. The process continues to serve alone and
// asks at intervals whether the name is free again.
func (m *Machine) oust(by Member) {
	if m.standing != IsMember {
		return
	}
	m.standing = Ousted
	m.emit(Event{Name: m.self.Name, Kind: "ousted", By: by.Address, Zone: by.Zone})
	m.rejoinAddresses = []string{by.Address}
	for _, p := range m.randomPeers(maxRejoinContacts, func(p *peer) bool { return p.State.Present() }) {
		m.rejoinAddresses = append(m.rejoinAddresses, p.Address)
	}
	m.peers, m.updates, m.probeRound, m.currentProbe, m.indirectPings, m.joined, m.inAgreedFleet = nil, nil, nil, nil, nil, false, true
	m.agreed = agreedVersion{fleetID: m.self.BootID}
	clear(m.byName)
	m.due.join = m.now + m.seconds(joinInterval)
	m.markViewStale()
	m.updateView()
}

// tryJoin sends join requests at intervals until one is answered, and again while no other member is present.
func (m *Machine) tryJoin() {
	ousted := m.standing == Ousted
	if m.now < m.due.join || !ousted && m.joined && m.PresentCount() > 0 {
		return
	}
	m.due.join = m.now + m.seconds(joinInterval) + m.jitter(joinInterval)
	to := slices.DeleteFunc(slices.Concat(m.settings.Peers, m.rejoinAddresses), func(a string) bool { return a == m.self.Address })
	if len(to) > 0 {
		m.joinCursor++
		m.sendJoin(to[(m.joinCursor+int(m.settings.BootID%64))%len(to)])
	}
}

// sendJoin asks for admission to the fleet. The answer carries the sequence number of the request.
func (m *Machine) sendJoin(to string) {
	m.lastSeq++
	m.joinSeq = m.lastSeq
	m.enqueue(Envelope{To: to, Stream: true, Message: Message{Kind: Join, Seq: m.lastSeq, AgreedFleetID: m.agreed.fleetID, AgreedSize: uint32(m.view.AgreedSize)}})
}

// handleJoin answers a request for admission. A name belongs to its current holder until that is known to be gone.
func (m *Machine) handleJoin(in Message) {
	if m.standing != IsMember || len(in.From.Name) > maxTextBytes || len(in.From.Address) > maxTextBytes {
		return
	}
	m.recordContact()
	holder, taken := m.self, in.From.Name == m.self.Name
	if p := m.byName[in.From.Name]; p != nil && p.State.Present() {
		holder, taken = p.Member, p.BootID != in.From.BootID && p.Address != in.From.Address
		if taken { // probe the current holder next, to learn soon if it is gone
			m.probeRound = slices.Insert(m.probeRound, 0, p)
		}
	}
	if !m.tableBucket.take(m.now, tableRate) {
		return // the requester will ask again
	}
	if taken {
		m.enqueue(Envelope{To: in.From.Address, Stream: true, Message: Message{Kind: Refused, Seq: in.Seq, Target: holder}})
		return
	}
	if p := m.byName[in.From.Name]; p == nil || in.From.supersedes(&p.Member) {
		m.applyRecord(in.From, false)
	}
	m.joined = true
	// A member that already belongs to a fleet is asked for its table too. Guards against a member that started while it
	// was cut off, is then contacted by the members of the existing fleet, and would count itself and them as a
	// different fleet.
	m.sendTable(in.From.Address, in.Seq, in.AgreedFleetID != m.agreed.fleetID && in.AgreedSize > 1)
	m.updateView()
}

// sendTable sends all known records. seq is the number of the join request that it answers, or 0; wantsTable asks the
// receiver for its own table.
func (m *Machine) sendTable(to string, seq uint32, wantsTable bool) {
	all := make([]Member, 0, len(m.peers))
	for _, p := range m.peers {
		r := p.Member
		r.InAgreedFleet = p.inAgreedFleet
		all = append(all, r)
	}
	m.enqueue(Envelope{To: to, Stream: true, Message: Message{
		Kind: Table, Seq: seq, Updates: all, WantsTable: wantsTable, AgreedFleetID: m.agreed.fleetID,
		AgreedGeneration: m.agreed.generation, AgreedSize: uint32(m.view.AgreedSize),
	}})
}

// handleTable merges the table of another member.
func (m *Machine) handleTable(in Message) {
	if !m.joined && in.Seq != m.joinSeq {
		return
	}
	m.recordContact()
	if m.standing == Ousted { // the name is free; the table contains the record of its last holder
		m.standing = IsMember
		m.emit(Event{Name: m.self.Name, Kind: "joined", By: in.From.Name, Zone: m.self.Zone})
	}
	m.joined = true
	m.applyRecord(in.From, false)
	if p := m.byName[in.From.Name]; p != nil && p.BootID == in.From.BootID {
		p.lastContact = m.now
		m.setUnresponsive(p, false)
	}
	for _, r := range in.Updates {
		m.applyRecord(r, true)
	}
	if m.standing != IsMember {
		return
	}
	m.mergeAgreedFleet(in)
	if in.WantsTable && m.tableBucket.take(m.now, tableRate) {
		m.sendTable(in.From.Address, 0, false)
	}
	m.queueUpdate(m.self)
	m.updateView()
}

// syncAndReconnect exchanges tables to replace lost updates, and contacts failed members and unknown peers so that
// partitions heal.
func (m *Machine) syncAndReconnect() {
	if m.now >= m.due.sync {
		m.due.sync = m.now + (m.seconds(syncInterval)/2+m.jitter(syncInterval))*math.Max(1, float64(m.PresentCount())/syncScaleMembers)
		for _, p := range m.randomPeers(1, func(p *peer) bool { return p.State == Alive }) {
			m.sendTable(p.Address, 0, true)
		}
	}
	if m.now < m.due.reconnect {
		return
	}
	m.due.reconnect = m.now + m.seconds(reconnectInterval)/2 + m.jitter(reconnectInterval)
	failed := m.randomPeers(1, func(p *peer) bool { return p.State == Failed })
	var unknown []string
	for _, a := range m.settings.Peers {
		if a != m.self.Address && !slices.ContainsFunc(m.peers, func(p *peer) bool { return p.Address == a && p.State.Present() }) {
			unknown = append(unknown, a)
		}
	}
	switch {
	case len(failed) > 0 && (len(unknown) == 0 || m.rng.IntN(2) == 0):
		m.sendPing(failed[0], 0)
	case len(unknown) > 0 && m.PresentCount() > 0:
		m.sendJoin(unknown[m.rng.IntN(len(unknown))])
	}
}

// forgetMembers removes members that failed or left long ago. Members of the last agreed fleet are removed only while
// this member sees a majority.
func (m *Machine) forgetMembers() {
	for i := 0; i < len(m.peers); i++ {
		p := m.peers[i]
		if !p.State.Present() && m.now-p.stateSince > m.seconds(forgetAfter) && (!p.inAgreedFleet || m.May(ForgetMembers)) {
			if p.inAgreedFleet {
				m.agreed.generation++
			}
			m.removePeer(p)
			i--
		}
	}
}
