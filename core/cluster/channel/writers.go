package channel

import (
	"fmt"
	"maps"
	"slices"

	"elderwall/core/cluster/replication"
)

// highestContiguous returns the highest number of a writer up to which every entry is in the log, held or in flight.
func (c *channel) highestContiguous(w string) uint64 {
	n := c.logged[w]
	for {
		if _, ok := c.held[w][n+1]; ok {
			n++
			continue
		}
		if !c.isInFlight(w, n+1) {
			return n
		}
		n++
	}
}

// isInFlight reports whether a writer's entry is being replicated and has not failed.
func (c *channel) isInFlight(w string, n uint64) bool {
	for _, f := range c.inFlight[w] {
		if f.number == n && f.err == nil {
			return true
		}
	}
	return false
}

// Write accepts an entry from a writer. Its errors are or wrap ErrInvalidEntry, ErrUnknownChannel, ErrWithdrawn, ErrWriterForgotten, ErrNumberSkipped,
// ErrMissingDependency, ErrFull, ErrTooManyWriters and ErrNoMajority. All but ErrInvalidEntry, ErrWithdrawn and ErrWriterForgotten may be temporary.
func (m *Machine) Write(now float64, e Entry) (WriteState, error) {
	if err := e.check(); err != nil {
		return 0, err
	}
	c := m.channels[e.Channel]
	if c == nil || !c.declared {
		return 0, ErrUnknownChannel
	}
	if c.declaration.Withdrawn {
		return 0, ErrWithdrawn
	}
	e.Epoch, e.EpochStart, e.Offset, e.Stamp, e.Generation, e.Incarnation = 0, 0, 0, 0, c.declaration.Generation, c.incarnation
	if c.declaration.Order == Total {
		return m.enqueue(now, c, e)
	}
	w, n := e.Writer, e.Number
	if e.After = maps.Clone(e.After); c.declaration.Order != Causal {
		e.After = nil
	}
	if c.isInFlight(w, n) {
		return WriteInFlight, nil
	}
	if c.isForgotten(w, n) { // it was acknowledged and is no longer retained
		return WriteAcknowledged, nil
	}
	c.reviveWriter(now, w, n)
	if c.maybeForgotten(&e) {
		return 0, ErrWriterForgotten
	}
	if n <= c.logged[w] {
		if i := c.findItem(w, n); i == nil || i.replicated {
			return WriteAcknowledged, nil
		}
	} else if h, ok := c.held[w][n]; ok && h.replicated {
		return WriteAcknowledged, nil
	} else if high := c.highestContiguous(w); n > high+1 {
		return 0, fmt.Errorf("%w: %d follows %d", ErrNumberSkipped, n, high)
	}
	if e.Clock < c.lastClock[w] && n > c.logged[w] {
		return 0, fmt.Errorf("%w: its clock is lower than that of the writer's last entry", ErrInvalidEntry)
	}
	if delete(e.After, w); !c.dependenciesMet(&e) {
		return 0, ErrMissingDependency
	}
	if _, ok := c.logged[w]; !ok && len(c.logged)+len(c.inFlight) >= MaxWriters {
		return 0, ErrTooManyWriters
	}
	if m.inFlight >= MaxInFlight {
		return 0, ErrFull
	}
	m.send(c, e)
	return WriteInFlight, nil
}

// send has replication write an entry. Its new stamp makes it win over any earlier record of the same entry.
func (m *Machine) send(c *channel, e Entry) {
	c.highestStamp++
	e.Stamp = c.highestStamp
	id := m.put(replication.Record{Kind: EntryKind, Key: e.key(), Value: encodeEntry(&e)}, replication.WriteConcern{Level: replication.LevelCopies, Copies: AckCopies, Timeout: AckTimeout},
		pendingPut{channel: e.Channel, writer: e.Writer, number: e.Number})
	c.inFlight[e.Writer] = append(c.inFlight[e.Writer], &inFlightWrite{number: e.Number, id: id})
	m.inFlight++
}

// put adds a Put to Ready whose result is awaited, and returns its ID.
func (m *Machine) put(r replication.Record, s replication.WriteConcern, w pendingPut) uint64 {
	id := m.nextID
	m.nextID++
	m.pendingPuts[id] = w
	m.ready.Puts = append(m.ready.Puts, Put{ID: id, Record: r, Concern: s})
	return id
}

// PutCompleted reports the result of a Put with an ID: err if replication refused the record, otherwise the outcome of the write.
func (m *Machine) PutCompleted(now float64, id uint64, o replication.Outcome, err error) {
	w, ok := m.pendingPuts[id]
	if !ok {
		return
	}
	delete(m.pendingPuts, id)
	c := m.channels[w.channel]
	if w.offset > 0 {
		if _, ok := c.offsetsReplicated[w.offset]; ok && err == nil && o.Met {
			c.offsetsReplicated[w.offset] = true
		} else if ok {
			delete(c.offsetsReplicated, w.offset)
		}
		return
	}
	for _, f := range c.inFlight[w.writer] {
		if f.id == id {
			f.done, f.outcome, f.err = true, o, err
		}
	}
	// Acknowledge in the writer's order: an entry is acknowledged only after all entries before it.
	all := c.inFlight[w.writer]
	for len(all) > 0 && all[0].done {
		f := all[0]
		all = all[1:]
		m.inFlight--
		met := f.err == nil && f.outcome.Met
		if met {
			if i := c.findItem(w.writer, f.number); i != nil {
				i.replicated = true
			} else if h, ok := c.held[w.writer][f.number]; ok {
				h.replicated = true
				c.held[w.writer][f.number] = h
			}
		}
		m.ready.Acks = append(m.ready.Acks, Ack{Channel: w.channel, Writer: w.writer, Number: f.number, Met: met, Copies: f.outcome.Copies, Err: f.err})
	}
	if c.inFlight[w.writer] = all; len(all) == 0 {
		delete(c.inFlight, w.writer)
	}
	m.advance(now, c)
}

// SetSequencerEpoch makes this dispatcher the sequencer of a channel after it obtained the duty. The epoch is the duty's fencing token, or 0 after it
// lost the duty.
func (m *Machine) SetSequencerEpoch(now float64, name string, epoch uint64) {
	c := m.channelFor(name)
	if c == nil || c.sequencerEpoch == epoch {
		return
	}
	c.sequencerEpoch, c.sequence, c.proposedAt, c.replicationAttempt = epoch, nil, 0, 0
	m.refuseQueued(c)
	clear(c.offsetsReplicated)
}

// refuseQueued refuses the queued entries, since it is unknown whether they will be sequenced. A writer that sends one again learns whether it was.
func (m *Machine) refuseQueued(c *channel) {
	for _, e := range c.queue {
		m.ready.Acks = append(m.ready.Acks, Ack{Channel: e.Channel, Writer: e.Writer, Number: e.Number, Err: ErrNoMajority})
	}
	c.queue, c.proposedAt = nil, 0
}

// SetSequence gives the sequencer the ledger's state of its channel. The caller calls it after the dispatcher obtained the duty and read the voters'
// log to its end, and after each command.
func (m *Machine) SetSequence(now float64, l *Sequence) {
	c := m.channelFor(l.Channel)
	if c == nil || c.sequencerEpoch == 0 || l.Epoch > c.sequencerEpoch {
		return
	}
	if o := c.sequence; o == nil || o.NextOffset != l.NextOffset || o.ReplicatedThrough != l.ReplicatedThrough {
		c.proposedAt = 0
	}
	c.sequence = l
	kept := c.queue[:0]
	for _, e := range c.queue {
		if e.Number > l.Writers[e.Writer].Number {
			kept = append(kept, e)
			continue
		}
		m.ready.Acks = append(m.ready.Acks, Ack{Channel: e.Channel, Writer: e.Writer, Number: e.Number, Met: true})
	}
	clear(c.queue[len(kept):])
	c.queue = kept
	m.propose(now, l.Channel, c)
}

// enqueue accepts an entry in total order at the sequencer. Other dispatchers know an entry only once its record has reached them.
func (m *Machine) enqueue(now float64, c *channel, e Entry) (WriteState, error) {
	e.After = nil
	if e.Number <= c.sequencedNumbers[e.Writer] {
		return WriteAcknowledged, nil
	}
	if c.sequencerEpoch == 0 || c.sequence == nil {
		return WriteNotSequencer, nil
	}
	if !m.hasQuorum {
		return 0, ErrNoMajority
	}
	high := c.sequence.Writers[e.Writer].Number
	if e.Number <= high {
		return WriteAcknowledged, nil
	}
	for i := range c.queue {
		if c.queue[i].Writer == e.Writer {
			high = max(high, c.queue[i].Number)
		}
	}
	switch {
	case e.Number <= high:
		return WriteInFlight, nil
	case e.Number > high+1:
		return 0, fmt.Errorf("%w: %d follows %d", ErrNumberSkipped, e.Number, high)
	case len(c.queue) >= MaxPending:
		return 0, ErrFull
	}
	c.queue = append(c.queue, e)
	m.propose(now, e.Channel, c) // proposes at once if no command is outstanding; entries that arrive meanwhile go with the next one
	return WriteInFlight, nil
}

// propose does the sequencer's work. It starts the replication of the ledger's pending entries, and it proposes one command at a time, with queued
// entries and the offset up to which a majority has the records.
func (m *Machine) propose(now float64, name string, c *channel) {
	if c.sequencerEpoch == 0 || c.sequence == nil {
		return
	}
	replicatedThrough := c.sequence.ReplicatedThrough
	for i := range c.sequence.Pending {
		e := c.sequence.Pending[i]
		done, ok := c.offsetsReplicated[e.Offset]
		if done && e.Offset == replicatedThrough+1 {
			replicatedThrough = e.Offset
		}
		if !ok {
			c.replicationAttempt = min(c.replicationAttempt+1, stampsPerEpoch-1)
			c.offsetsReplicated[e.Offset] = false
			e.Stamp = c.sequencerEpoch*stampsPerEpoch + c.replicationAttempt // above the stamps of earlier sequencers, so that the outcome is that of this write
			m.put(replication.Record{Kind: EntryKind, Key: e.key(), Value: encodeEntry(&e)}, replication.WriteConcern{Level: replication.LevelMajority, Timeout: AckTimeout},
				pendingPut{channel: name, offset: e.Offset})
		}
	}
	if c.proposedAt > 0 && now-c.proposedAt < reproposeAfter {
		return
	}
	cmd := Command{Channel: name, Epoch: c.sequencerEpoch, Incarnation: c.incarnation}
	if replicatedThrough > c.sequence.ReplicatedThrough {
		cmd.ReplicatedThrough = replicatedThrough
	}
	size := 0
	for i := range c.queue {
		if size += c.queue[i].size(); i >= batchEntries || i > 0 && size > batchBytes {
			break
		}
		cmd.Entries = append(cmd.Entries, c.queue[i])
	}
	if !m.hasQuorum || cmd.ReplicatedThrough == 0 && len(cmd.Entries) == 0 {
		return
	}
	for p := range c.offsetsReplicated {
		if p <= c.sequence.ReplicatedThrough {
			delete(c.offsetsReplicated, p)
		}
	}
	c.proposedAt = now
	m.ready.Commands = append(m.ready.Commands, cmd)
}

// Propose proposes the queued entries at once instead of at the next Tick. The caller calls it after Write has accepted entries.
func (m *Machine) Propose(now float64) {
	for _, name := range slices.Sorted(maps.Keys(m.channels)) {
		m.propose(now, name, m.channels[name])
	}
}

// HighestNumber returns the highest number of a writer that is known or in flight here.
func (m *Machine) HighestNumber(channel, writer string) uint64 {
	c := m.channels[channel]
	if c == nil {
		return 0
	}
	n := max(c.highestContiguous(writer), c.evictedElsewhere[writer], c.tombstonedThrough[writer], c.sequencedNumbers[writer], c.forgotten[writer].Number)
	for k := range c.held[writer] {
		n = max(n, k)
	}
	return n
}

// Newest returns the newest entry of a key, or nil if there is none, and the highest clock of the channel's writers. The caller must not modify the
// entry.
func (m *Machine) Newest(channel, key string) (*Entry, uint64) {
	c := m.channels[channel]
	if c == nil {
		return nil, 0
	}
	clock := c.evictedClock
	for _, g := range c.forgotten {
		clock = max(clock, g.Clock)
	}
	for _, n := range c.lastClock {
		clock = max(clock, n)
	}
	return c.newestByKey[key], clock
}
