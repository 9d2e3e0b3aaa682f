package replication

import (
	"math"
	"slices"
)

// Limits of a pull.
const (
	maxPullRanges      = 64           // ranges in one request; their sums take about 13 KB
	maxPullKeys        = 2_000        // key hashes in one request
	listThreshold      = 64           // a range with at most this many records is listed, in 1 KB
	snapshotPieceBytes = streamBudget // estimated bytes of a piece of a snapshot
	sourceTimeout      = 4.0          // intervals without a response until another source is tried
	maxTries           = 8            // failed requests in a row after which a digest walk is given up; a snapshot is never given up
)

// pull is a catch-up in progress. It is either a digest walk down the hash tree to the records that differ, or a snapshot, which is read in pieces by
// key hash. Every request may go to any source, so a pull continues at another member if its source is cut off.
//
// sourceVector is the vector of the source at its first request. Every part is read after that, so at the end all that it covers is here. After
// several sources, the pull covers only what all of them had, which is commonVector.
type pull struct {
	id             uint64
	source         string
	snapshot       bool
	sourceVector   *vector        // vector of the current source; nil until it is received
	sourceBootID   uint64         // boot ID of the source when it sent sourceVector
	commonVector   *vector        // what all sources so far had
	incomplete     map[uint8]bool // kinds that are incomplete at a source
	kinds          []uint8        // kinds that are pulled
	severalSources bool           // more than one source was used
	sumRanges      []Range        // still to be requested: ranges for whose children the sums are needed
	listRanges     []Range        // still to be requested: ranges whose records are to be listed
	keyHashes      []uint64       // still to be requested: key hashes of records that differ
	nextHash       uint64         // where the next piece of a snapshot begins
	done           bool           // the last piece of a snapshot was received
	pendingRequest *PullRequest   // waits for its response
	requestedAt    float64        // seconds
	failedTries    int
	deletions      []deletion               // records here whose dots the source covers and that it no longer has, so they were deleted there
	superseded     map[Dot]ReplicatedRecord // records of the source that were not merged, see isSuperseded
	startVector    *vector                  // vector of this member at the start of the pull
	sourceAhead    bool                     // a source covers writes that are missing here, and its tombstones may hide some of them (see coversOtherWrite)
	contested      uint64                   // value of Machine.contested at the start
	dropsAtStart   [256]int                 // value of Machine.dropCounts at the start
}

// deletion is an entry to be removed at the end of a pull, or to be replaced by a lower record of the source.
type deletion struct {
	entry       *entry
	replacement *ReplicatedRecord
}

// startPull starts a pull if none is in progress. It pulls a snapshot if that is wanted or if there are no records here.
func (m *Machine) startPull(source string, snapshot bool) {
	if m.pull != nil {
		return
	}
	records := 0
	for _, id := range m.kindIDs {
		records += len(m.kinds[id].byKey)
	}
	snapshot = snapshot || records == 0
	m.beyondHorizon = false
	p := &pull{
		id: m.rng.Uint64(), source: m.chooseSource(source, snapshot), snapshot: snapshot, incomplete: map[uint8]bool{}, superseded: map[Dot]ReplicatedRecord{},
		startVector: m.vec.clone(), contested: m.contested,
	}
	for _, id := range m.kindIDs {
		if !slices.Contains(m.kindReports[p.source].unknown, id) {
			p.kinds = append(p.kinds, id)
		}
		if s := m.kinds[id]; m.incomplete[id] && (s.requiredVector == nil || s.requiredAtDrops != m.dropCounts[id]) {
			s.requiredVector, s.requiredAtDrops = p.startVector, m.dropCounts[id]
		}
	}
	p.dropsAtStart = m.dropCounts
	if !snapshot {
		p.sumRanges = []Range{{}}
		m.stat.walks++
	} else {
		m.stat.snapshots++
		m.addEvent(Event{Type: "catching up", Member: p.source})
	}
	m.pull, m.lastPullStart = p, m.now
	m.stat.pulls++
	m.advancePull()
}

// hasIncompleteKnownKind reports whether a kind that is known here is incomplete at a member.
func (m *Machine) hasIncompleteKnownKind(name string) bool {
	return slices.ContainsFunc(m.kindReports[name].incomplete, func(id uint8) bool { return m.kinds[id] != nil })
}

// chooseSource returns the source of a pull. For a snapshot it prefers a member with no incomplete kind, then one of the own zone. Guards against two
// members of a zone that start empty and pull from each other: after a pull that raised no vector entry, the source is the preferred member, which
// reported to have more.
func (m *Machine) chooseSource(preferred string, snapshot bool) string {
	if !snapshot || m.lastPullUseless {
		return preferred
	}
	best, bestRank := []string{preferred}, 4
	for _, o := range m.fleet.Others {
		rank := 0
		if o.Zone != m.settings.Zone {
			rank++
		}
		if m.hasIncompleteKnownKind(o.Name) {
			rank += 2
		}
		switch {
		case !o.Alive && o.Name != preferred || rank > bestRank:
		case rank < bestRank || o.Name == preferred: // among equally good members the preferred one wins
			best, bestRank = []string{o.Name}, rank
		case !slices.Contains(best, preferred):
			best = append(best, o.Name)
		}
	}
	return best[m.rng.IntN(len(best))]
}

// pullIncomplete starts a pull to complete a kind of which records were dropped and which has room now. It prefers a source where the kind is
// complete. If there is none, it pulls from all other members that know the kind, one after the other; together they have all that exists.
func (m *Machine) pullIncomplete() {
	if m.pull != nil || len(m.incompleteIDs) == 0 || m.now-m.lastPullStart <= repeatedMismatchPullInterval*m.settings.Interval || m.awaitingFirstContact() {
		return
	}
	for _, id := range m.kindIDs {
		s := m.kinds[id]
		if !m.incomplete[id] || len(s.byKey)*localFillDenominator > s.MaxRecords*localFillNumerator || s.bytes*localFillDenominator > s.MaxBytes*localFillNumerator {
			continue
		}
		var complete, partial []string
		exhausted := true
		for _, o := range m.fleet.Others {
			t, ok := m.kindReports[o.Name]
			switch {
			case ok && o.Alive && !slices.Contains(t.incomplete, id):
				complete = append(complete, o.Name)
			case s.pulledFrom[o.Name]:
			case ok && o.Alive && !slices.Contains(t.stored, id):
				partial = append(partial, o.Name)
			default:
				exhausted = false
			}
		}
		switch {
		case len(complete) > 0:
			m.startPull(complete[m.rng.IntN(len(complete))], false)
			return
		case len(partial) > 0:
			m.startPull(partial[m.rng.IntN(len(partial))], false)
			return
		case exhausted:
			m.setIncomplete(id, false)
		}
	}
}

// advancePull requests the next part of the pull if the rate allows it. If a response is overdue, it repeats the request at another source.
func (m *Machine) advancePull() {
	m.pullTokens = min(m.settings.CatchUpRate, m.pullTokens+(m.now-m.pullRefilledAt)*m.settings.CatchUpRate)
	m.pullRefilledAt = m.now
	p := m.pull
	if p == nil {
		return
	}
	if p.pendingRequest != nil {
		if m.now-p.requestedAt < sourceTimeout*m.settings.Interval {
			return
		}
		p.sumRanges, p.listRanges, p.keyHashes = append(p.sumRanges, p.pendingRequest.SumRanges...), append(p.listRanges, p.pendingRequest.ListRanges...), append(p.keyHashes, p.pendingRequest.KeyHashes...)
		p.pendingRequest, p.sourceVector = nil, nil
		if p.failedTries++; p.failedTries >= maxTries && !p.snapshot {
			m.pull = nil
			return
		}
		if all := m.sampleMembers(len(m.fleet.Others), func(n string) bool { return n == p.source }); len(all) > 0 {
			p.severalSources = p.severalSources || p.source != all[0]
			p.source = all[0]
		}
	}
	if m.pullTokens < 0 {
		return
	}
	request := &PullRequest{ID: p.id, WantVector: p.sourceVector == nil, Kinds: p.kinds}
	switch {
	case p.snapshot && !p.done:
		request.Snapshot, request.FromHash = true, p.nextHash
	case len(p.sumRanges)+len(p.listRanges)+len(p.keyHashes) > 0:
		request.SumRanges, p.sumRanges = splitAt(p.sumRanges, maxPullRanges)
		request.ListRanges, p.listRanges = splitAt(p.listRanges, maxPullRanges)
		request.KeyHashes, p.keyHashes = splitAt(p.keyHashes, maxPullKeys)
	default:
		m.finishPull(p)
		return
	}
	p.pendingRequest, p.requestedAt = request, m.now
	m.send(p.source, Message{PullRequest: request}, len(request.KeyHashes)*9+(len(request.SumRanges)+len(request.ListRanges))*10)
}

// splitAt splits off the first n elements of a slice.
func splitAt[T any](all []T, n int) (head, tail []T) {
	n = min(n, len(all))
	return all[:n:n], all[n:]
}

// servePull responds to a pull request. Requests beyond the rate get no response, and the requester tries another source. One message beyond the
// rate is still sent, so that a single requester that keeps to the same rate is not turned away after a message was lost.
func (m *Machine) servePull(to string, p *PullRequest) {
	m.serveTokens, m.serveRefilledAt = min(m.settings.CatchUpRate, m.serveTokens+(m.now-m.serveRefilledAt)*m.settings.CatchUpRate), m.now
	if m.serveTokens < -streamBudget {
		return
	}
	if len(p.Kinds) == 0 { // earlier versions do not send the kinds. Guards against an empty response, after which the requester would delete its records
		all := *p
		all.Kinds = m.kindIDs
		p = &all
	}
	g := &PullResponse{ID: p.ID, BootID: m.bootID}
	used := 0
	if p.WantVector {
		g.Vector, g.Kinds = m.vec.entries(nil), m.kindIDs
		used += vectorBytes(g.Vector)
	}
	for _, r := range p.SumRanges {
		if r.Depth < maxDepth {
			g.Sums = append(g.Sums, m.children(p.Kinds, r))
			used += 16 * 14
		}
	}
	for _, r := range p.ListRanges {
		l := RangeListing{Range: r}
		m.each(p.Kinds, r, func(e *entry) {
			l.KeyHashes, l.ContentSums = append(l.KeyHashes, e.keyHash), append(l.ContentSums, e.contentSum)
		})
		if used += 18 * len(l.KeyHashes); len(l.KeyHashes) > maxMessageItems/2 || used > streamBudget {
			break // the requester asks for the rest again
		}
		g.Lists = append(g.Lists, l)
	}
	for _, h := range p.KeyHashes {
		if used > streamBudget {
			break
		}
		g.KeyHashes = append(g.KeyHashes, h)
		m.each(p.Kinds, Range{maxDepth, h >> 4}, func(e *entry) {
			if e.keyHash == h {
				g.Records = append(g.Records, ReplicatedRecord{Record: e.record, Conflicting: e.conflicting})
				used += messageSize(&e.record)
			}
		})
	}
	if p.Snapshot {
		m.addSnapshotPiece(p, g, &used)
	}
	m.serveTokens -= float64(used)
	m.send(to, Message{PullResponse: g}, used)
}

// addSnapshotPiece adds the records from p.FromHash on up to the size of a piece. Records of one key hash stay in one piece.
func (m *Machine) addSnapshotPiece(p *PullRequest, g *PullResponse, used *int) {
	g.Snapshot = true
	fromHash := p.FromHash
	for i := fromHash >> (64 - 4*leafDepth); i < leaves; i++ {
		leaf := m.leaf(p.Kinds, i)
		for at, e := range leaf {
			if e.keyHash < fromHash {
				continue
			}
			if *used > snapshotPieceBytes && (at == 0 || leaf[at-1].keyHash != e.keyHash) {
				g.NextHash = e.keyHash
				return
			}
			g.Records = append(g.Records, ReplicatedRecord{Record: e.record, Conflicting: e.conflicting})
			*used += messageSize(&e.record)
		}
	}
	g.Done = true
}

// handlePullResponse handles the response to the pending pull request.
func (m *Machine) handlePullResponse(from string, g *PullResponse, incomplete []uint8) {
	p := m.pull
	if p == nil || p.pendingRequest == nil || g.ID != p.id || from != p.source || g.Snapshot != p.pendingRequest.Snapshot || p.sourceVector == nil && g.Vector == nil && !p.pendingRequest.WantVector {
		return
	}
	request := p.pendingRequest
	p.pendingRequest, p.failedTries = nil, 0
	if !request.WantVector && g.BootID != p.sourceBootID && !m.fault.ignoreBootID { // the source was restarted and may lack what its vector covered
		p.sumRanges, p.listRanges, p.keyHashes = append(p.sumRanges, request.SumRanges...), append(p.listRanges, request.ListRanges...), append(p.keyHashes, request.KeyHashes...)
		p.sourceVector, p.severalSources = nil, true
		m.advancePull()
		return
	}
	if request.WantVector {
		p.sourceVector, p.sourceBootID = vectorFrom(g.Vector), g.BootID
		p.sourceAhead = p.sourceAhead || !m.vec.dominates(p.sourceVector)
		m.noteVector(from, p.sourceVector, incomplete, !g.Unpersisted)
		if p.commonVector == nil {
			p.commonVector = vectorFrom(g.Vector)
		} else {
			p.commonVector = intersect(p.commonVector, p.sourceVector)
		}
	}
	for _, k := range incomplete {
		p.incomplete[k] = true
	}
	for _, k := range g.Kinds {
		p.incomplete[k] = p.incomplete[k] || m.kinds[k] == nil // the kind is unknown here and was not requested
	}
	used := vectorBytes(g.Vector)
	for _, s := range g.Sums {
		if !slices.Contains(request.SumRanges, s.Range) {
			continue
		}
		request.SumRanges = slices.DeleteFunc(request.SumRanges, func(r Range) bool { return r == s.Range })
		used += 16 * 14
		mine := m.children(p.kinds, s.Range)
		for i := range 16 {
			switch c := s.Range.child(i); {
			case mine.Sums[i] == s.Sums[i] && mine.Counts[i] == s.Counts[i]:
			case s.Counts[i]+mine.Counts[i] <= listThreshold || c.Depth >= maxDepth:
				p.listRanges = append(p.listRanges, c)
			default:
				p.sumRanges = append(p.sumRanges, c)
			}
		}
	}
	for _, l := range g.Lists {
		if !slices.Contains(request.ListRanges, l.Range) {
			continue
		}
		request.ListRanges = slices.DeleteFunc(request.ListRanges, func(r Range) bool { return r == l.Range })
		used += 18 * len(l.KeyHashes)
		mine, theirs := map[uint64]uint64{}, map[uint64]bool{}
		m.each(p.kinds, l.Range, func(e *entry) { mine[e.keyHash] += e.contentSum })
		sums := map[uint64]uint64{}
		for i, h := range l.KeyHashes {
			theirs[h] = true
			sums[h] += l.ContentSums[i]
		}
		for _, h := range l.KeyHashes {
			if l.Range.contains(h) && theirs[h] && mine[h] != sums[h] {
				p.keyHashes = append(p.keyHashes, h)
			}
			theirs[h] = false // request each hash once
		}
		m.each(p.kinds, l.Range, func(e *entry) {
			if _, ok := theirs[e.keyHash]; !ok {
				m.noteAbsent(p, e)
			}
		})
	}
	for i := range g.Records {
		used += messageSize(&g.Records[i].Record)
		m.mergePulled(p, g.Records[i])
	}
	request.KeyHashes = slices.DeleteFunc(request.KeyHashes, func(h uint64) bool { return slices.Contains(g.KeyHashes, h) })
	if g.Snapshot {
		end := uint64(math.MaxUint64)
		if !g.Done {
			end = g.NextHash
		}
		present := map[uint64]bool{}
		for _, c := range g.Records {
			present[m.hashOf(c.Record.Kind, c.Record.Key)] = true
		}
		for i := request.FromHash >> (64 - 4*leafDepth); i < leaves; i++ {
			for _, e := range m.leaf(p.kinds, i) {
				if e.keyHash >= request.FromHash && (e.keyHash < end || g.Done) && !present[e.keyHash] {
					m.noteAbsent(p, e)
				}
			}
		}
		p.nextHash, p.done = g.NextHash, g.Done || g.NextHash <= request.FromHash
	}
	// Request again what was not answered.
	p.sumRanges, p.listRanges, p.keyHashes = append(p.sumRanges, request.SumRanges...), append(p.listRanges, request.ListRanges...), append(p.keyHashes, request.KeyHashes...)
	m.stat.pulled += uint64(used)
	m.pullTokens -= float64(used)
	m.advancePull()
}

// noteAbsent handles a record that is here and not at the source. If the source covers its dot, the record was deleted there.
func (m *Machine) noteAbsent(p *pull, e *entry) {
	if p.sourceVector.covers(e.record.Dot) && !p.incomplete[e.record.Kind] || m.fault.dropAll {
		p.deletions = append(p.deletions, deletion{entry: e})
	}
}

// isSuperseded reports whether a record was replaced here by one that has been forgotten since. The vector covers its dot, so the record or a higher
// one was here.
func (m *Machine) isSuperseded(r *Record) bool {
	s := m.kinds[r.Kind]
	e := s.byKey[r.Key]
	return m.vec.covers(r.Dot) && !m.incomplete[r.Kind] && !m.fault.acceptSuperseded && (e == nil || e.record.Dot != r.Dot && m.compareRecords(s, r, &e.record) > 0)
}

// mergePulled merges a record of the source unless it was superseded here. If the source covers the record here and now has a lower one, the record
// here is replaced at the end of the pull.
func (m *Machine) mergePulled(p *pull, c ReplicatedRecord) {
	if m.kinds[c.Record.Kind] == nil {
		m.noteDropped(c.Record.Kind)
		return
	}
	if m.isSuperseded(&c.Record) && (!c.Record.Deleted || !p.sourceAhead || m.fault.uncoverDeleted) {
		if len(p.superseded) < maxMessageItems {
			p.superseded[c.Record.Dot] = c
		}
		return
	}
	s := m.kinds[c.Record.Kind]
	if e := s.byKey[c.Record.Key]; e != nil && e.record.Dot != c.Record.Dot && p.sourceVector.covers(e.record.Dot) && !p.incomplete[s.ID] && !m.fault.acceptSuperseded &&
		m.compareRecords(s, &c.Record, &e.record) < 0 {
		p.deletions = append(p.deletions, deletion{e, &c})
		return
	}
	m.merge(c)
}

// finishPull applies the deletions and joins the vector of the sources once everything was read.
func (m *Machine) finishPull(p *pull) {
	sourceComplete := p.commonVector.dominates(p.startVector)
	for _, f := range p.deletions {
		e := f.entry
		if e.removed {
			continue
		}
		// The same dot names different keys here and at the source, so neither record was deleted.
		if c, ok := p.superseded[e.record.Dot]; ok && (c.Record.Key != e.record.Key || c.Record.Kind != e.record.Kind) {
			m.markConflicting(e)
			if o := m.merge(ReplicatedRecord{Record: c.Record, Conflicting: true}); o != nil && !o.conflicting && o.record.Dot == c.Record.Dot {
				m.markConflicting(o)
			}
			continue
		}
		// Guards against removing an entry that won over a write which the source did not have yet: that write's dot is covered here, so it would
		// not be merged again. An entry that is kept for this reason goes with a later pull.
		if (e.contestedAt > p.contested || !sourceComplete && (f.replacement != nil || e.record.Deleted)) && !m.fault.acceptSuperseded && !m.fault.uncoverDeleted {
			continue
		}
		if (p.commonVector.covers(e.record.Dot) && !p.incomplete[e.record.Kind]) || m.fault.dropAll {
			if s := m.kinds[e.record.Kind]; f.replacement == nil {
				m.remove(e)
			} else if m.compareRecords(s, &f.replacement.Record, &e.record) < 0 {
				m.update(s, e, func() { e.record, e.conflicting = f.replacement.Record, f.replacement.Conflicting })
			}
		}
	}
	raised := false
	for name, w := range p.commonVector.writers {
		if m.vec.writers[name] == nil && len(m.vec.writers) >= maxWriters {
			continue
		}
		for _, k := range w.marks {
			if m.vec.raise(name, k.epoch, k.number) {
				m.changedEpochs = append(m.changedEpochs, epochKey{m.intern(name), k.epoch})
				delete(m.logs, epochKey{name, k.epoch}) // the log starts anew from this number
				delete(m.blockedSince, epochKey{name, k.epoch})
				raised = true
			}
		}
		if o := m.vec.writers[name]; o != nil && w.floor > o.floor && len(o.marks) > 0 && o.marks[0].epoch >= w.floor {
			m.vec.setFloor(o, o.marks[0].epoch)
			m.changedEpochs = append(m.changedEpochs, epochKey{name, o.floor})
		}
	}
	m.lastPullUseless = !raised
	for _, id := range m.kindIDs { // kinds that the source was believed not to know were not pulled either
		p.incomplete[id] = p.incomplete[id] || !slices.Contains(p.kinds, id)
	}
	for id, is := range p.incomplete {
		if raised && is { // the joined vector covers records that the source lacked
			m.noteDropped(id)
		}
	}
	for _, id := range p.kinds {
		s := m.kinds[id]
		switch {
		case !m.incomplete[id] || m.dropCounts[id] != p.dropsAtStart[id] && (!raised || !p.incomplete[id] || m.dropCounts[id] != p.dropsAtStart[id]+1):
		case !p.incomplete[id] && (p.commonVector.dominates(s.requiredVector) || m.fault.clearEarly):
			s.fullReported = false
			m.setIncomplete(id, false)
		case p.incomplete[id] && !p.severalSources:
			if s.pulledFrom == nil {
				s.pulledFrom = map[string]bool{}
			}
			s.pulledFrom[p.source] = true
		}
	}
	m.pull = nil
	if p.snapshot {
		m.addEvent(Event{Type: "caught up", Member: p.source})
	}
	m.startExchange(p.source)
}
