package replication

import (
	"fmt"
	"math"
	"slices"
)

// checkRecord returns what is wrong with a received or saved record. allowOmitted permits a placeholder of a dropped record, as in a delta.
func (m *Machine) checkRecord(c *ReplicatedRecord, allowOmitted bool) error {
	r := &c.Record
	s := m.kinds[r.Kind]
	if s == nil { // the kind belongs to a later version; only programs that know it can check the value
		s = &kindStore{Kind: Kind{Name: "an unknown kind", MaxRecordBytes: MaxRecordBytes}}
	}
	switch {
	case c.Omitted && allowOmitted && r.Kind > 0 && r.Key == "" && r.Value == nil && !r.Deleted && r.Dot == Dot{}:
		return nil
	case c.Omitted || r.Kind == 0:
		return fmt.Errorf("%w: invalid record of kind %d, omitted %v", errBadMessage, r.Kind, c.Omitted)
	case r.Key == "" || size(r) > s.MaxRecordBytes:
		return fmt.Errorf("%w: record of %s has %d bytes, 1 to %d are allowed", errBadMessage, s.Name, size(r), s.MaxRecordBytes)
	case r.Dot.Writer == "" || len(r.Dot.Writer) > maxNameBytes || r.Dot.WriterEpoch == 0 || r.Dot.Number == 0 || r.Dot.Number > math.MaxInt64:
		return fmt.Errorf("%w: record of %s without a valid dot", errBadMessage, s.Name)
	}
	if s.Check != nil && !r.Deleted {
		if err := s.Check(r.Key, r.Value); err != nil {
			return fmt.Errorf("%w: invalid record of %s: %w", errBadMessage, s.Name, err)
		}
	}
	return nil
}

// checkEntries returns what is wrong with received vector entries.
func checkEntries(all []VectorEntry) error {
	if len(all) > maxWriters*4 {
		return fmt.Errorf("%w: %d vector entries are too many", errBadMessage, len(all))
	}
	for _, e := range all {
		if e.Writer == "" || len(e.Writer) > maxNameBytes || e.WriterEpoch == 0 || e.Number == 0 || e.Number > math.MaxInt64 {
			return fmt.Errorf("%w: invalid vector entry: writer %q, epoch %d, number %d", errBadMessage, e.Writer, e.WriterEpoch, e.Number)
		}
	}
	return nil
}

// check returns what is wrong with a received vector exchange.
func (a *VectorExchange) check() error {
	if err := checkEntries(a.Vector); err != nil {
		return err
	}
	var in [bucketCount]bool
	for i, b := range a.Buckets {
		if in[b] = true; i > 0 && b <= a.Buckets[i-1] {
			return fmt.Errorf("%w: bucket %d is listed after bucket %d", errBadMessage, b, a.Buckets[i-1])
		}
	}
	if n := len(a.Digest); n > 0 && (n != bucketCount || len(a.Buckets) > 0 || a.IsResponse) {
		return fmt.Errorf("%w: digest of %d buckets; only a request has one, and it has %d buckets", errBadMessage, n, bucketCount)
	}
	for _, e := range a.Vector {
		if !in[bucketOf(e.Writer)] {
			return fmt.Errorf("%w: vector entry of %q, whose bucket is not listed", errBadMessage, e.Writer)
		}
	}
	return nil
}

// checkMessage checks everything in a message before any of it is used.
func (m *Machine) checkMessage(msg *Message) error {
	if err := checkEntries(msg.Acks); err != nil {
		return err
	}
	records := len(msg.Conflicting)
	recordLists := [][]ReplicatedRecord{msg.Conflicting}
	for i := range msg.Deltas {
		d := &msg.Deltas[i]
		records += len(d.Records) + len(d.Index)
		if d.Writer == "" || len(d.Writer) > maxNameBytes || d.WriterEpoch == 0 || d.From > math.MaxInt64 || len(d.Index) == 0 {
			return fmt.Errorf("%w: invalid delta: writer %q, epoch %d, after number %d, %d numbers", errBadMessage, d.Writer, d.WriterEpoch, d.From, len(d.Index))
		}
		for _, at := range d.Index {
			if int(at) >= len(d.Records) {
				return fmt.Errorf("%w: delta refers to record %d of %d", errBadMessage, at, len(d.Records))
			}
		}
		for i := range d.Records {
			if err := m.checkRecord(&d.Records[i], true); err != nil {
				return err
			}
		}
	}
	if msg.VectorExchange != nil {
		if err := msg.VectorExchange.check(); err != nil {
			return err
		}
	}
	if p := msg.PullRequest; p != nil {
		records += len(p.KeyHashes) + len(p.SumRanges) + len(p.ListRanges)
		for _, r := range append(slices.Clone(p.SumRanges), p.ListRanges...) {
			if !r.valid() {
				return fmt.Errorf("%w: invalid range: depth %d, prefix %x", errBadMessage, r.Depth, r.Prefix)
			}
		}
		if len(p.SumRanges) > maxPullRanges || len(p.ListRanges) > maxPullRanges {
			return fmt.Errorf("%w: %d ranges in one request are too many", errBadMessage, len(p.SumRanges)+len(p.ListRanges))
		}
	}
	if g := msg.PullResponse; g != nil {
		if err := checkEntries(g.Vector); err != nil {
			return err
		}
		records += len(g.Records) + len(g.KeyHashes)
		for _, s := range g.Sums {
			if !s.Range.valid() || len(s.Sums) != 16 || len(s.Counts) != 16 {
				return fmt.Errorf("%w: invalid sums of the range with depth %d, prefix %x", errBadMessage, s.Range.Depth, s.Range.Prefix)
			}
		}
		for _, l := range g.Lists {
			records += len(l.KeyHashes)
			if !l.Range.valid() || len(l.KeyHashes) != len(l.ContentSums) {
				return fmt.Errorf("%w: invalid listing of the range with depth %d, prefix %x", errBadMessage, l.Range.Depth, l.Range.Prefix)
			}
		}
		recordLists = append(recordLists, g.Records)
	}
	kinds := max(len(msg.IncompleteKinds), len(msg.UnknownKinds), len(msg.StoredUnknownKinds))
	if p := msg.PullRequest; p != nil {
		kinds = max(kinds, len(p.Kinds))
	}
	if g := msg.PullResponse; g != nil {
		kinds = max(kinds, len(g.Kinds))
	}
	if records > maxMessageItems || kinds > 256 || len(msg.OverriddenWrites) > maxOverridden {
		return fmt.Errorf("%w: too many items; %d of them are records, hashes and ranges", errBadMessage, records)
	}
	for _, rs := range recordLists {
		for i := range rs {
			if err := m.checkRecord(&rs[i], false); err != nil {
				return err
			}
		}
	}
	return nil
}

// Step handles a message from another member. now is in seconds. If any part of the message is invalid, Step returns an error and uses none of it.
func (m *Machine) Step(from string, msg *Message, now float64) error {
	m.now = max(m.now, now)
	if _, ok := m.members[from]; !ok || msg == nil {
		m.stat.badMessages++
		return fmt.Errorf("%w: sender %q is not a member", errBadMessage, from)
	}
	if err := m.checkMessage(msg); err != nil {
		m.stat.badMessages++
		return fmt.Errorf("from %s: %w", from, err)
	}
	m.kindReports[from] = kindReport{msg.IncompleteKinds, msg.UnknownKinds, msg.StoredUnknownKinds}
	m.failOverridden(msg.OverriddenWrites)
	for _, c := range msg.Conflicting {
		if m.kinds[c.Record.Kind] == nil {
			continue
		}
		if e := m.kinds[c.Record.Kind].byKey[c.Record.Key]; e != nil || !m.vec.covers(c.Record.Dot) {
			m.merge(c)
		}
	}
	grew, gap := false, false
	for i := range msg.Deltas {
		g, missing := m.applyDelta(from, &msg.Deltas[i])
		grew, gap = grew || g, gap || missing
	}
	for _, a := range msg.Acks {
		if a.Writer == m.settings.Name {
			m.noteAck(from, a.WriterEpoch, a.Number, msg.IncompleteKinds)
		}
	}
	switch {
	case msg.VectorExchange != nil:
		m.handleExchange(from, msg.VectorExchange, msg.IncompleteKinds, grew)
	case gap:
		m.startExchange(from)
	}
	if msg.PullRequest != nil {
		m.servePull(from, msg.PullRequest)
	}
	if msg.PullResponse != nil {
		m.handlePullResponse(from, msg.PullResponse, msg.IncompleteKinds)
	}
	return nil
}

// startExchange sends a member an exchange request, which states what is here and asks for what is missing here.
func (m *Machine) startExchange(to string) {
	m.send(to, Message{VectorExchange: m.newExchange(), Acks: m.acksFor(to)}, bucketCount)
}

// newExchange returns an exchange request with the sums of the current vector. It keeps a copy of the vector, so that the response can be resolved
// even if more writes arrive meanwhile.
func (m *Machine) newExchange() *VectorExchange {
	if n := len(m.pastVectors); n == 0 || m.pastVectors[n-1].sum != m.vec.sum {
		m.pastVectors = append(m.pastVectors[max(0, n+1-maxPastVectors):n:n], m.vec.clone())
	}
	salt := m.rng.Uint64()
	return &VectorExchange{VectorSum: m.vec.sum, Salt: salt, Digest: m.vec.digest(salt), ContentSum: m.contentSum()}
}

// acksFor returns acks for a writer's latest epochs. Guards against losing acks of pending writes, since a request with sums alone does not state
// which of the writer's numbers are here.
func (m *Machine) acksFor(name string) (acks []VectorEntry) {
	if w := m.vec.writers[name]; w != nil {
		for _, k := range w.marks[max(0, len(w.marks)-keptEpochs):] {
			acks = append(acks, VectorEntry{Writer: name, WriterEpoch: k.epoch, Number: k.number})
		}
	}
	return acks
}

// vectorBytes estimates the bytes that a vector takes in a message.
func vectorBytes(v Vector) (n int) {
	for _, e := range v {
		n += len(e.Writer) + 24
	}
	return n
}

// applyDelta merges an interval if it continues what is here. grew reports whether new numbers were added, and gap whether the interval begins later.
func (m *Machine) applyDelta(from string, d *Delta) (grew, gap bool) {
	k := epochKey{d.Writer, d.WriterEpoch}
	known, upTo := m.vec.numberAt(d.Writer, d.WriterEpoch), d.From+uint64(len(d.Index))
	if d.AckRequested && d.Writer != m.settings.Name {
		if m.acksDue[d.Writer] == nil {
			m.acksDue[d.Writer] = map[uint64]bool{}
			m.acksDueOrder = append(m.acksDueOrder, d.Writer)
		}
		m.acksDue[d.Writer][d.WriterEpoch] = true
	}
	m.checkDuplicateDots(k, d, known)
	defer m.noteOverridden(k, d)
	if n := m.firstOmitted(d, known); n < len(d.Index) {
		prefix := *d
		prefix.Index = d.Index[:n]
		d, upTo = &prefix, d.From+uint64(n)
		defer m.noteBlocked(from, k)
	}
	if known < d.From && !m.fault.vectorBeforeRecords {
		return false, true
	}
	if upTo <= known || m.vec.writers[d.Writer] == nil && len(m.vec.writers) >= maxWriters {
		return false, false
	}
	merged := make([]*entry, len(d.Records))
	if !m.fault.vectorBeforeRecords || m.rng.Float64() < 0.8 {
		for i, c := range d.Records {
			switch {
			case m.kinds[c.Record.Kind] == nil:
				merged[i] = m.noteDropped(c.Record.Kind)
			case c.Omitted: // lies beyond the number at which the delta was cut off
			case !m.isSuperseded(&c.Record) || c.Record.Deleted && !m.fault.uncoverDeleted && d.coversOtherWrite(uint32(i), known):
				merged[i] = m.merge(c)
			}
		}
	}
	skip := known - min(known, d.From)
	keys := make([]*entry, 0, len(d.Index))
	for _, i := range d.Index[skip:] {
		keys = append(keys, merged[i])
	}
	m.advance(k, d.From+skip, keys)
	m.queueFresh(freshInterval{k, d.From + skip, d.AckRequested, from})
	if d.Writer == m.settings.Name {
		m.noteOwnNumber(d.WriterEpoch, upTo)
	}
	return true, false
}

// firstOmitted returns the position at which a delta ends for this member: the first number that is not here and whose record the sender dropped
// although its kind is known here.
func (m *Machine) firstOmitted(d *Delta, known uint64) int {
	for i, at := range d.Index {
		if c := &d.Records[at]; c.Omitted && d.From+uint64(i) >= known && m.kinds[c.Record.Kind] != nil {
			return i
		}
	}
	return len(d.Index)
}

// noteBlocked records that deltas of a writer's epoch end at an omitted record. The usual exchanges with other members go on. If none of them
// supplies the record in time, everything is pulled from the source that dropped it, and the kind becomes incomplete here too. Guards against
// waiting forever for a record whose writer is gone for good.
func (m *Machine) noteBlocked(source string, k epochKey) {
	at, ok := m.blockedSince[k]
	switch {
	case !ok && len(m.blockedSince) < maxWriters:
		m.blockedSince[k] = m.now
	case ok && m.now-at > blockedTimeout*m.settings.Interval && m.pull == nil:
		delete(m.blockedSince, k)
		m.startPull(source, false)
	}
}

// noteOverridden records the writes of a delta over which a tombstone wins here. Their writer is informed, since it may have forgotten that
// tombstone.
func (m *Machine) noteOverridden(k epochKey, d *Delta) {
	if k.writer == m.settings.Name {
		return
	}
	for i, at := range d.Index {
		r, dot := &d.Records[at].Record, Dot{k.writer, k.epoch, d.From + uint64(i) + 1}
		s := m.kinds[r.Kind]
		if s == nil || d.Records[at].Omitted || !m.vec.covers(dot) || r.Deleted && r.Dot == dot {
			continue
		}
		if e := s.byKey[r.Key]; e == nil || !e.record.Deleted || e.record.Dot == dot {
			continue
		}
		if all := m.overridden[k.writer]; !slices.Contains(all, dot) {
			if all == nil && len(m.overridden) >= maxWriters {
				clear(m.overridden)
			}
			m.overridden[k.writer] = append(all[max(0, len(all)+1-maxOverridden):len(all):len(all)], dot)
			m.overriddenAt = m.now
		}
	}
}

// failOverridden ends pending writes over which another member holds a tombstone that is not here.
func (m *Machine) failOverridden(dots []Dot) {
	if len(dots) == 0 || m.fault.countOverridden {
		return
	}
	for _, p := range m.pending {
		if e := m.kinds[p.kind].byKey[p.key]; slices.Contains(dots, p.dot) && e != nil && !e.record.Deleted {
			p.overridden = true
		}
	}
	m.settlePending(false)
}

// coversOtherWrite reports whether the record at a position of Records is the current record of another write above a number. A tombstone that was
// forgotten here is then merged again, because it may hide a lower deletion that is not known here and whose deleted record still is here.
func (d *Delta) coversOtherWrite(at uint32, above uint64) bool {
	for i, o := range d.Index {
		if n := d.From + uint64(i) + 1; !d.Records[at].Omitted && o == at && n > above && d.Records[at].Record.Dot != (Dot{d.Writer, d.WriterEpoch, n}) {
			return true
		}
	}
	return false
}

// checkDuplicateDots compares the records of a delta with the records here that have the same dots, and marks those that differ as conflicting.
func (m *Machine) checkDuplicateDots(k epochKey, d *Delta, known uint64) {
	t := m.logs[k]
	for i, at := range d.Index {
		n := d.From + uint64(i) + 1
		if n > known || t == nil {
			return
		}
		r := &d.Records[at].Record
		if n <= t.base || r.Dot != (Dot{k.writer, k.epoch, n}) {
			continue
		}
		e := t.entries[n-t.base-1]
		if e == nil || e.removed || e.record.Dot != r.Dot {
			continue
		}
		if e.record.Key != r.Key || e.record.Kind != r.Kind {
			m.markConflicting(e)
			m.merge(ReplicatedRecord{Record: *r, Conflicting: true})
			if o := m.kinds[r.Kind].byKey[r.Key]; o != nil && o.record.Dot == r.Dot {
				m.markConflicting(o)
			}
		} else {
			m.merge(d.Records[at])
		}
	}
}

// noteOwnNumber records that another member has numbers of this dispatcher. If it did not give them itself and they are of its
// current epoch or a later one, it moves on to a still later epoch. So no two writes get the same number after a restart with an old copy of the
// disk or an empty one, or while another process runs under the same name.
func (m *Machine) noteOwnNumber(epoch, number uint64) {
	known := m.vec.numberAt(m.settings.Name, epoch)
	if epoch >= m.epoch && (!m.wroteInEpoch || epoch > m.epoch || number > known) {
		if m.wroteInEpoch {
			m.addEvent(Event{Type: "twin", Member: m.settings.Name, Dot: Dot{m.settings.Name, epoch, number}})
		}
		m.epoch, m.wroteInEpoch, m.headerDirty = epoch+1, false, true
	}
	if number > known && len(m.reportedOwn) < 4*maxEpochs {
		m.reportedOwn[epoch] = max(m.reportedOwn[epoch], number)
		m.reportedOwnAt = m.now
	}
}

// handleExchange handles a vector exchange of another member.
func (m *Machine) handleExchange(from string, a *VectorExchange, incomplete []uint8, grew bool) {
	switch {
	case len(a.Digest) > 0 && a.VectorSum != m.vec.sum:
		m.sendBuckets(from, a.Salt, a.Digest)
		return
	case len(a.Digest) > 0:
		m.send(from, Message{VectorExchange: &VectorExchange{VectorSum: m.vec.sum, ContentSum: m.contentSum(), IsResponse: true}}, 0)
	case len(a.Buckets) == 0 && a.PullNeeded:
		m.startPull(from, false)
		return
	}
	theirs, complete := m.resolveVector(a)
	if !complete && len(a.Buckets) == 0 {
		return // the response belongs to a request whose vector is no longer kept
	}
	m.noteVector(from, theirs, incomplete, !a.Unpersisted)
	if len(a.Buckets) == 0 {
		m.compareContentSums(from, a, incomplete, theirs.sum == m.vec.sum)
		return
	}
	var msg Message
	budget, used, pullNeeded, truncated := streamBudget, 0, false, false
	buckets := a.Buckets
	if complete {
		buckets = nil
	}
	for _, e := range m.vec.entries(buckets) {
		theirNumber := theirs.numberAt(e.Writer, e.WriterEpoch)
		pullNeeded = pullNeeded || e.EarlierComplete && !theirs.hasEarlierEpochs(e.Writer, e.WriterEpoch)
		if theirNumber >= e.Number {
			continue
		}
		d, bytes, belowLog := m.buildDelta(epochKey{e.Writer, e.WriterEpoch}, theirNumber, budget-used)
		if pullNeeded = pullNeeded || belowLog; d != nil {
			d.AckRequested = d.Writer == m.settings.Name && len(m.pending) > 0
			msg.Deltas = append(msg.Deltas, *d)
		}
		if used += bytes; used >= budget-maxNameBytes-40 {
			truncated = true
			break
		}
	}
	behind := !m.vec.dominates(theirs)
	equal := complete && !behind && theirs.dominates(m.vec)
	switch {
	case !a.IsResponse:
		msg.VectorExchange = &VectorExchange{Vector: m.vec.entries(a.Buckets), Buckets: a.Buckets, VectorSum: m.vec.sum, ContentSum: m.contentSum(), IsResponse: true, PullNeeded: pullNeeded}
		used += vectorBytes(msg.VectorExchange.Vector)
	case pullNeeded:
		msg.VectorExchange = &VectorExchange{IsResponse: true, PullNeeded: true}
	case truncated:
		msg.VectorExchange = m.newExchange() // request the rest at once
	}
	if len(msg.Deltas) > 0 || msg.VectorExchange != nil {
		m.send(from, msg, used)
	}
	switch {
	case m.beyondHorizon && !equal:
		m.startPull(from, true)
	case a.PullNeeded && behind:
		m.startPull(from, false)
	case a.IsResponse && behind && grew:
		m.startExchange(from)
	default:
		m.compareContentSums(from, a, incomplete, equal)
	}
}

// sendBuckets sends the vector entries of the buckets in which a digest differs.
func (m *Machine) sendBuckets(to string, salt uint64, digest []byte) {
	buckets := m.vec.differingBuckets(salt, digest)
	v := m.vec.entries(buckets)
	m.send(to, Message{VectorExchange: &VectorExchange{Vector: v, Buckets: buckets, VectorSum: m.vec.sum, ContentSum: m.contentSum()}}, vectorBytes(v)+len(buckets))
}

// resolveVector reconstructs another member's vector. It replaces the listed buckets in the vector of this member, or in the one that an earlier
// request was made of, if the sums prove that the rest is equal. Otherwise it returns only the listed entries, and complete is false.
func (m *Machine) resolveVector(a *VectorExchange) (theirs *vector, complete bool) {
	theirs = vectorFrom(a.Vector)
	for _, v := range append([]*vector{m.vec}, m.pastVectors...) {
		if len(a.Buckets) == 0 && v.sum == a.VectorSum {
			return v, true
		}
		if c := v.withBuckets(a.Buckets, theirs, a.VectorSum); len(a.Buckets) > 0 && c != nil {
			return c, true
		}
	}
	return theirs, false
}

// compareContentSums checks that equal vectors come with equal records, and starts a pull if they do not.
func (m *Machine) compareContentSums(from string, a *VectorExchange, incomplete []uint8, equal bool) {
	if !equal {
		return
	}
	m.beyondHorizon = false
	ownSum := uint64(0)
	for _, id := range m.kindIDs {
		if !slices.Contains(incomplete, id) {
			if m.incomplete[id] {
				return // the other member's sum includes records that are missing here
			}
			ownSum += m.kinds[id].tree.contentSum
		}
	}
	if a.ContentSum == ownSum {
		m.mismatches = 0
		return
	}
	m.mismatches++
	interval := mismatchPullInterval
	if m.mismatches > 1 {
		interval = repeatedMismatchPullInterval
	}
	if m.now-m.lastPullStart > interval*m.settings.Interval {
		m.startPull(from, false)
	}
}

// noteVector handles another member's vector. persisted states whether the sender has all of it on its disk.
func (m *Machine) noteVector(from string, v *vector, incomplete []uint8, persisted bool) {
	m.beyondHorizon = m.beyondHorizon || m.now-m.lastContact > m.settings.Horizon
	m.heardVector, m.lastContact = true, m.now
	if w := v.writers[m.settings.Name]; w != nil {
		for _, k := range w.marks {
			m.noteOwnNumber(k.epoch, k.number)
			if persisted {
				m.noteAck(from, k.epoch, k.number, incomplete)
			}
		}
	}
	m.behind = 0
	for name, w := range v.writers {
		for _, k := range w.marks {
			if at := m.vec.numberAt(name, k.epoch); at < k.number {
				m.behind += int(min(k.number-at, math.MaxInt32))
			}
		}
	}
	if m.stableCandidate == nil {
		return
	}
	if persisted && v.dominates(m.stableCandidate) {
		m.confirmed[from] = true
		for _, id := range incomplete {
			m.candidateIncomplete[id] = true
		}
	}
	// Guards against removing an epoch whose last numbers another member has and this one lacks, and against raising the floor over epochs that are
	// missing here entirely.
	for name, w := range m.stableCandidate.writers {
		if o := v.writers[name]; o != nil && len(w.marks) > keptEpochs {
			if !m.vec.hasEarlierEpochs(name, o.floor) {
				m.keepEpochs[name] = true
			}
			floor := w.marks[len(w.marks)-keptEpochs].epoch
			for _, k := range o.marks {
				if k.epoch < floor && k.number > m.stableCandidate.numberAt(name, k.epoch) {
					m.keepEpochs[name] = true
				}
			}
		}
	}
}

// noteAck records that a member has persisted this dispatcher's writes of an epoch up to a number.
func (m *Machine) noteAck(from string, epoch, number uint64, incomplete []uint8) {
	for _, p := range m.pending {
		if p.dot.WriterEpoch == epoch && p.dot.Number <= number && !slices.Contains(incomplete, p.kind) {
			p.ackedBy[from] = true
		}
	}
	m.settlePending(false)
}

// outcomeOf returns how durable a pending write is by now.
func (m *Machine) outcomeOf(p *pendingWrite) (o Outcome) {
	zones, allZones, agreed := map[string]bool{m.settings.Zone: true}, map[string]bool{m.settings.Zone: true}, 1
	for _, f := range m.fleet.Others {
		if f.Alive {
			allZones[f.Zone] = true
		}
		if p.ackedBy[f.Name] {
			if zones[f.Zone] = true; f.InAgreedFleet {
				agreed++
			}
		}
	}
	o = Outcome{Dot: p.dot, Achieved: LevelLocal, Copies: 1 + len(p.ackedBy), Zones: len(zones), Overridden: p.overridden}
	k := max(p.concern.Copies, 1)
	if o.Copies >= k && (k > 1 || p.concern.Level == LevelCopies) && o.Zones >= min(k, len(allZones)) {
		o.Achieved = LevelCopies
	}
	if 2*agreed > max(m.fleet.AgreedSize, 1) {
		o.Achieved = LevelMajority
	}
	switch p.concern.Level {
	case LevelLocal:
		o.Met = true
	case LevelCopies:
		o.Met = o.Copies >= k && o.Zones >= min(k, len(allZones))
	default:
		o.Met = o.Achieved == LevelMajority
	}
	o.Met = o.Met && !p.overridden
	return o
}

// settlePending reports the outcomes of writes whose concern is met or that are overridden. If expire is set, it also reports those whose deadline
// has passed.
func (m *Machine) settlePending(expire bool) {
	m.pending = slices.DeleteFunc(m.pending, func(p *pendingWrite) bool {
		o := m.outcomeOf(p)
		if !o.Met && !o.Overridden && (!expire || m.now < p.deadline) {
			return false
		}
		m.outcomes = append(m.outcomes, o)
		return true
	})
}

// Tick advances the time; now is in seconds. The driver has to call it a few times per interval.
func (m *Machine) Tick(now float64) {
	m.now = max(m.now, now)
	stalled := m.now-m.lastTick > stallThreshold*m.settings.Interval
	if m.now-max(m.lastContact, m.lastTick) > m.settings.Horizon || m.now-m.lastContact > m.settings.Horizon && len(m.fleet.Others) > 0 {
		m.beyondHorizon = m.beyondHorizon || m.heardVector
	}
	m.lastTick = m.now
	if len(m.fleet.Others) == 0 && m.fleet.HasQuorum {
		m.lastContact = m.now
	}
	if m.lastContact-m.savedContact > contactSaveShare*m.settings.Horizon {
		m.headerDirty = true
	}
	if len(m.overridden) > 0 && m.now-m.overriddenAt > m.settings.Horizon {
		clear(m.overridden)
	}
	m.settlePending(true)
	if len(m.reportedOwn) > 0 && m.now-m.reportedOwnAt > m.settings.Horizon {
		clear(m.reportedOwn) // no member has these numbers any more
	}
	m.advancePull()
	if m.now < m.nextRound && !stalled {
		return
	}
	m.nextRound = m.now + m.settings.Interval*(0.8+0.4*m.rng.Float64())
	if !m.heardVector {
		for range fanout - 1 {
			m.exchangeWithNext()
		}
	}
	m.exchangeWithNext()
	m.resendPending()
	m.forgetTombstones()
	m.pullIncomplete()
}

// exchangeWithNext starts an exchange with the next member of the round. Every crossZoneEvery-th exchange goes to a member of another zone.
func (m *Machine) exchangeWithNext() {
	m.roundMembers = slices.DeleteFunc(m.roundMembers, func(n string) bool { return !m.members[n].Alive })
	if len(m.roundMembers) == 0 {
		for _, o := range m.fleet.Others {
			if o.Alive {
				m.roundMembers = append(m.roundMembers, o.Name)
			}
		}
		m.rng.Shuffle(len(m.roundMembers), func(i, j int) { m.roundMembers[i], m.roundMembers[j] = m.roundMembers[j], m.roundMembers[i] })
	}
	if len(m.roundMembers) == 0 {
		return
	}
	m.exchanges++
	near := m.exchanges%crossZoneEvery != 0
	at := max(0, slices.IndexFunc(m.roundMembers, func(n string) bool { return (m.members[n].Zone == m.settings.Zone) == near }))
	to := m.roundMembers[at]
	m.roundMembers = slices.Delete(m.roundMembers, at, at+1)
	m.startExchange(to)
}

// sampleMembers draws up to n live members that exclude does not reject. Most are of the own zone, as long as it has any left.
func (m *Machine) sampleMembers(n int, exclude func(string) bool) (all []string) {
	var near, far []string
	for _, o := range m.fleet.Others {
		if o.Alive && (exclude == nil || !exclude(o.Name)) {
			if o.Zone == m.settings.Zone {
				near = append(near, o.Name)
			} else {
				far = append(far, o.Name)
			}
		}
	}
	for _, l := range [][]string{near, far} {
		m.rng.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	}
	// Every fanout-th member is of another zone, so that messages cross zones rarely but reliably.
	for len(all) < n && len(near)+len(far) > 0 {
		if len(far) > 0 && (len(all)%fanout == fanout-1 || len(near) == 0) {
			all, far = append(all, far[0]), far[1:]
		} else if len(near) > 0 {
			all, near = append(all, near[0]), near[1:]
		}
	}
	return all
}

// resendPending sends the oldest pending write, and those after it that fit, again to some members that have not acknowledged it.
func (m *Machine) resendPending() {
	if len(m.pending) == 0 {
		return
	}
	p := m.pending[0]
	for _, to := range m.sampleMembers(maxFanout, func(n string) bool { return p.ackedBy[n] }) {
		if d, used, _ := m.buildDelta(epochKey{p.dot.Writer, p.dot.WriterEpoch}, p.dot.Number-1, messageBudget); d != nil {
			d.AckRequested = true
			m.send(to, Message{Deltas: []Delta{*d}}, used)
		}
	}
}

// forgetTombstones removes tombstones that all members of the last agreed fleet have or that are older than Settings.Horizon. It also
// removes old epochs that all of them have.
func (m *Machine) forgetTombstones() {
	allConfirmed := true
	agreed := 1
	for _, o := range m.fleet.Others {
		if o.InAgreedFleet {
			agreed++
			allConfirmed = allConfirmed && m.confirmed[o.Name]
		}
	}
	if m.stableCandidate == nil || allConfirmed && agreed >= m.fleet.AgreedSize {
		if m.stableCandidate != nil {
			m.stable, m.stableIncomplete = m.stableCandidate, m.candidateIncomplete
			for name, w := range m.stable.writers {
				if o := m.vec.writers[name]; o != nil && !m.keepEpochs[name] && len(o.marks) > keptEpochs && slices.Equal(w.marks, o.marks[:min(len(o.marks), len(w.marks))]) &&
					len(w.marks) == len(o.marks) {
					m.removeOldEpochs(name, o, len(o.marks)-keptEpochs)
				}
			}
		}
		m.stableCandidate, m.confirmed, m.keepEpochs = m.vec.clone(), map[string]bool{}, map[string]bool{}
		m.candidateIncomplete = m.incomplete
	}
	remaining := m.tombstones[:0]
	for _, g := range m.tombstones {
		switch {
		case g.entry.removed || !g.entry.record.Deleted || g.entry.record.Dot != g.dot:
		case m.stable != nil && m.stable.covers(g.dot) && !m.keepsTombstones(g.entry.record.Kind) || m.now-g.seen > m.settings.Horizon || m.fault.forgetEarly:
			m.remove(g.entry)
		default:
			remaining = append(remaining, g)
		}
	}
	clear(m.tombstones[len(remaining):])
	m.tombstones = remaining
}

// keepsTombstones reports whether tombstones of a kind are kept for the whole of Settings.Horizon. They are if some member has dropped records of the
// kind: its vector does not cover the kind, so it may still have records that the tombstones delete. If the kind is half full its tombstones are
// forgotten earlier, and a member that still has such a record removes it at a later pull.
func (m *Machine) keepsTombstones(kind uint8) bool {
	s := m.kinds[kind]
	return m.stableIncomplete[kind] && 2*len(s.byKey) < s.MaxRecords && 2*s.bytes < s.MaxBytes
}

// SetUnpersisted sets whether the disk lags behind because a Save failed and is still owed. Until it is persisted, the machine still merges and
// forwards the writes of others, but it acknowledges nothing and rejects writes. Pending writes end with an outcome that is not met. The driver
// must not send the messages of a Ready whose Save failed.
func (m *Machine) SetUnpersisted(unpersisted bool) {
	if unpersisted && !m.unpersisted {
		for _, p := range m.pending {
			m.outcomes = append(m.outcomes, Outcome{Dot: p.dot})
		}
		m.pending, m.outbox = nil, nil // the messages to be sent rely on what is not persisted
	}
	m.unpersisted = unpersisted && !m.fault.ackUnpersisted
}

// Ready returns what has to be done and clears it. The driver has to persist Save before it sends or reports anything else of the same Ready. It may
// call Step meanwhile; the next Ready returns what those calls add.
func (m *Machine) Ready() (r Ready) {
	m.sendFresh()
	r.Send, r.Outcomes, r.Events = m.outbox, m.outcomes, m.events
	m.outbox, m.outcomes, m.events = nil, nil, nil
	if len(m.dirty) > 0 || len(m.changedEpochs) > 0 || len(m.removedEntries) > 0 || m.headerDirty || m.incompleteDirty {
		r.Save = m.buildSave(&r)
	}
	if m.fault.ackEarly {
		r.Save, m.delayedSave = m.delayedSave, r.Save
	}
	return r
}

// buildSave returns what has to be persisted, and adds the changed records to r.
func (m *Machine) buildSave(r *Ready) *Save {
	s := &Save{WriterEpoch: m.epoch, RemovedEntries: m.removedEntries, IncompleteKinds: slices.Clone(m.incompleteIDs), SinceLastContact: m.now - m.lastContact}
	m.removedEntries, m.headerDirty, m.incompleteDirty, m.savedContact = nil, false, false, m.lastContact
	if m.fault.loseIncomplete {
		s.IncompleteKinds = nil
	}
	if m.fault.saveZeroContact {
		s.SinceLastContact = 0
	}
	for _, e := range m.dirty {
		e.dirty = false
		k := m.kinds[e.record.Kind]
		s.Sync = s.Sync || k.Sync
		if e.removed {
			if k.byKey[e.record.Key] == nil {
				s.Removed = append(s.Removed, RecordKey{e.record.Kind, e.record.Key})
				if !e.record.Deleted {
					c := e.record
					c.Value, c.Deleted = nil, true
					r.Changed = append(r.Changed, c)
				}
			}
			continue
		}
		s.Records = append(s.Records, ReplicatedRecord{Record: e.record, Conflicting: e.conflicting})
		c := e.record
		if e.conflicting {
			c.Value, c.Deleted = nil, true
		}
		r.Changed = append(r.Changed, c)
	}
	m.dirty = nil
	seen := map[epochKey]bool{}
	for _, k := range m.changedEpochs {
		w := m.vec.writers[k.writer]
		if n := m.vec.numberAt(k.writer, k.epoch); !seen[k] && w != nil && n > 0 && n < math.MaxUint64 {
			seen[k] = true
			s.Vector = append(s.Vector, VectorEntry{k.writer, k.epoch, n, w.startsAtFloor() && w.floor == k.epoch})
		}
	}
	m.changedEpochs = nil
	return s
}

// sendFresh sends the acks that are due, new conflicts and new writes. Conflicts and writes go to a sample of the members.
func (m *Machine) sendFresh() {
	for _, w := range m.acksDueOrder {
		if _, ok := m.members[w]; ok {
			var acks []VectorEntry
			for epoch := range m.acksDue[w] {
				if n := m.vec.numberAt(w, epoch); n > 0 && n < math.MaxUint64 {
					acks = append(acks, VectorEntry{Writer: w, WriterEpoch: epoch, Number: n})
				}
			}
			slices.SortFunc(acks, func(a, b VectorEntry) int { return int(a.WriterEpoch) - int(b.WriterEpoch) })
			if len(acks) > 0 && !m.unpersisted {
				m.send(w, Message{Acks: acks}, 0)
			}
		}
	}
	m.acksDueOrder = nil
	clear(m.acksDue)
	if len(m.newConflicts) > 0 {
		var conflicts []ReplicatedRecord
		used := 0
		for _, e := range m.newConflicts {
			if used += messageSize(&e.record); used < messageBudget && !e.removed && e.conflicting {
				conflicts = append(conflicts, ReplicatedRecord{Record: e.record, Conflicting: true})
			}
		}
		m.newConflicts = nil
		for _, to := range m.sampleMembers(fanout, nil) {
			m.send(to, Message{Conflicting: conflicts}, min(used, messageBudget))
		}
	}
	if len(m.fresh) == 0 {
		return
	}
	targetCount := fanout
	for _, p := range m.pending {
		if p.concern.Level == LevelCopies {
			targetCount = max(targetCount, min(p.concern.Copies, maxFanout))
		}
	}
	targets := m.sampleMembers(targetCount, nil)
	var msg Message
	used := 0
	flush := func() {
		for _, to := range targets {
			if len(msg.Deltas) > 0 {
				m.send(to, msg, used)
			}
		}
		msg, used = Message{}, 0
	}
	for i := 0; i < len(m.fresh); {
		f := &m.fresh[i]
		d, bytes, _ := m.buildDelta(f.epochKey, f.from, messageBudget-used)
		if d == nil {
			i++
			continue
		}
		if used > 0 && used+bytes > messageBudget {
			flush()
			continue
		}
		d.AckRequested = f.ackRequested
		msg.Deltas, used = append(msg.Deltas, *d), used+bytes
		if f.from += uint64(len(d.Index)); f.from >= m.vec.numberAt(f.writer, f.epoch) {
			i++
		} else {
			flush()
		}
	}
	flush()
	m.fresh = nil
}
