package channel

import (
	"maps"
	"slices"

	"elderwall/core/cluster/replication"
)

// SetForgottenWriters applies the forgotten writers that the voters agreed on. The list holds those after ForgottenCount and count is the ledger's number
// of them. Callers pass it together with the declarations, so that no reader opens before it is applied.
func (m *Machine) SetForgottenWriters(now float64, all []ForgottenWriters, count uint64) {
	for i := range all {
		s := &all[i]
		c := m.channels[s.Channel]
		if c == nil || !c.declared || c.declaration.Order >= Causal || c.endedGeneration > 0 {
			continue
		}
		for _, g := range s.Writers {
			if g.Sequence <= c.forgottenThrough {
				continue
			}
			firstLoad := !c.forgottenLoaded
			c.reviveWriter(now, g.Writer, g.Number)
			c.forgottenThrough, c.forgotten[g.Writer] = g.Sequence, g
			if _, ok := c.logged[g.Writer]; !ok && firstLoad { // entries with which the writer came back may have arrived before this list
				for n := range c.held[g.Writer] {
					if c.reviveWriter(now, g.Writer, n); n <= g.Number {
						delete(c.held[g.Writer], n)
					}
				}
				if len(c.held[g.Writer]) == 0 {
					delete(c.held, g.Writer)
				}
			}
			if _, ok := c.logged[g.Writer]; (ok || !firstLoad) && c.logged[g.Writer] < g.Number { // the writer was forgotten before its entries arrived here: they become a gap
				c.evictedElsewhere[g.Writer] = max(c.evictedElsewhere[g.Writer], g.Number)
				for n := range c.held[g.Writer] {
					if n <= g.Number {
						c.discardUnreplicated(g.Writer, n)
					}
				}
			}
		}
		if s.EvictedThrough > c.evictedThrough {
			c.evictedThrough, c.evictedClock, c.forgottenThrough = s.EvictedThrough, max(c.evictedClock, s.EvictedClock), max(c.forgottenThrough, s.EvictedThrough)
			for w, g := range c.forgotten {
				if g.Sequence <= s.EvictedThrough {
					delete(c.forgotten, w)
					delete(c.pendingTombstones, makeKey(s.Channel, w, 0, c.incarnation))
				}
			}
		}
		m.advance(now, c)
		m.dropForgotten(s.Channel, c)
	}
	for _, c := range m.channels {
		c.forgottenLoaded = c.forgottenLoaded || c.declared
	}
	m.forgottenCount = max(m.forgottenCount, count)
}

// ForgottenCount returns how many writers of all channels this dispatcher knows to be forgotten. Ledger.ForgottenWriters takes it as its argument.
func (m *Machine) ForgottenCount() uint64 { return m.forgottenCount }

// nothingKept reports whether no entry of a writer is retained, held back or in flight here.
func (c *channel) nothingKept(w string) bool {
	return c.logged[w] == c.evicted[w] && c.evictedElsewhere[w] <= c.logged[w] && len(c.held[w]) == 0 && len(c.inFlight[w]) == 0
}

// dropForgotten deletes the state of forgotten writers once none of their entries is kept here. A dispatcher that accepted more entries of a writer
// than the agreed number keeps the writer.
func (m *Machine) dropForgotten(name string, c *channel) {
	for w, g := range c.forgotten {
		if n, ok := c.logged[w]; ok && n == g.Number && c.nothingKept(w) {
			delete(c.logged, w)
			delete(c.evicted, w)
			delete(c.lastClock, w)
			delete(c.evictedElsewhere, w)
			delete(c.tombstonedThrough, w)
			delete(c.lastActive, w)
			delete(c.pendingEvictions, w)
			c.pendingTombstones[makeKey(name, w, 0, c.incarnation)] = 0
		}
	}
}

// reviveWriter restores a forgotten writer that sends an entry after its last number, so that its numbers continue from there.
func (c *channel) reviveWriter(now float64, w string, number uint64) {
	if _, ok := c.logged[w]; ok {
		return
	}
	if g, ok := c.forgotten[w]; ok && number > g.Number {
		c.logged[w], c.evicted[w], c.lastClock[w], c.lastActive[w] = g.Number, g.Number, g.Clock, now
		delete(c.pendingTombstones, makeKey(c.declaration.Name, w, 0, c.incarnation))
	}
}

// discardUnreplicated drops a held entry that other dispatchers have already deleted before one of them was known to have it from here. It would
// otherwise wait for replication forever.
func (c *channel) discardUnreplicated(w string, n uint64) {
	if h, ok := c.held[w][n]; ok && !h.replicated {
		if delete(c.held[w], n); len(c.held[w]) == 0 {
			delete(c.held, w)
		}
	}
}

// isForgotten reports whether a writer is forgotten, has not come back here, and number is not above its last number.
func (c *channel) isForgotten(w string, number uint64) bool {
	if _, ok := c.logged[w]; ok {
		return false
	}
	g, ok := c.forgotten[w]
	return ok && number <= g.Number
}

// maybeForgotten reports whether an entry's writer is unknown here and may be a forgotten one that is no longer listed. The answer is also true for a
// new writer whose earlier entries have not arrived here yet, if any writer was forgotten; such a writer also tries other dispatchers.
func (c *channel) maybeForgotten(e *Entry) bool {
	_, ok := c.logged[e.Writer]
	if ok || len(c.held[e.Writer]) > 0 || len(c.inFlight[e.Writer]) > 0 {
		return false
	}
	return e.Number > 1 && (c.evictedThrough > 0 || c.incarnation > 0) || c.evictedThrough > 0 && e.Clock <= c.evictedClock
}

// proposeExpired proposes to forget writers that were silent for WriterExpiry and of whom nothing is kept. One dispatcher of the majority does so. If
// another dispatcher accepted an entry of such a writer meanwhile, that one keeps the writer, and the entry restores the writer here.
func (m *Machine) proposeExpired(now float64, name string, c *channel) {
	if !m.writesTombstones || !m.hasQuorum || c.declaration.WriterExpiry == 0 || c.declaration.Withdrawn || c.declaration.Order >= Causal {
		return
	}
	cmd := Command{Channel: name, Incarnation: c.incarnation}
	for _, w := range slices.Sorted(maps.Keys(c.logged)) {
		if w != "" && now-c.lastActive[w] >= c.declaration.WriterExpiry && c.logged[w] > 0 && c.nothingKept(w) && !c.pendingEvictions[w] && c.forgotten[w].Number < c.logged[w] && len(cmd.Forget) < MaxForgetBatch {
			cmd.Forget = append(cmd.Forget, ForgottenWriter{Writer: w, Number: c.logged[w], Clock: c.lastClock[w]})
		}
	}
	if len(cmd.Forget) > 0 {
		m.ready.Commands = append(m.ready.Commands, cmd)
	}
}

// catchUpForgotten updates a reader's position for the writers that were forgotten since. It returns false if the reader may have missed entries of a
// forgotten writer.
func (r *reader) catchUpForgotten() bool {
	c, through := r.channel, r.position.ForgottenThrough
	if r.forgottenThrough = c.forgottenThrough; c.declaration.Order >= Causal {
		return true
	}
	complete := through >= c.evictedThrough
	if !complete {
		for w := range r.seen {
			if _, ok := c.logged[w]; !ok && c.forgotten[w].Number == 0 {
				delete(r.seen, w)
			}
		}
	}
	for w, g := range c.forgotten {
		n, named := r.seen[w]
		if _, ok := c.logged[w]; ok {
			if !named && through >= g.Sequence {
				r.seen[w] = g.Number
			}
			continue
		}
		complete = complete && (named && n >= g.Number || !named && through >= g.Sequence)
		delete(r.seen, w)
	}
	return complete
}

// endChannel ends a withdrawn channel at this dispatcher. Every entry after this point is void.
func (m *Machine) endChannel(now float64, c *channel) {
	if c.endedGeneration == 0 {
		c.endedGeneration, c.endedAt = c.declaration.Generation, now
		c.logGeneration = max(c.logGeneration, c.declaration.Generation)
		if k := len(c.items); k == 0 || !c.items[k-1].end {
			c.append(logItem{generation: c.declaration.Generation, appendedAt: now, declarationChange: true, end: true})
		}
	}
}

// discardEntries discards what was kept of the current incarnation and switches to the given one. After the channel has ended, the given one is the
// current one: the entries are discarded and no incarnation begins.
func (m *Machine) discardEntries(c *channel, incarnation uint64) {
	discardIfStale := func(e *Entry) {
		if e.Offset > 0 && e.Generation <= max(incarnation, c.endedGeneration) || e.Offset == 0 && (c.endedGeneration > 0 || e.Incarnation != incarnation) {
			c.pendingTombstones[e.key()] = 0
		}
	}
	for k := range c.items {
		if e := c.items[k].entry; e != nil {
			discardIfStale(e)
		}
	}
	for _, of := range c.held {
		for _, h := range of {
			discardIfStale(h.entry)
		}
	}
	if c.declaration.Order == Total {
		if n := c.logged[""]; n > 0 { // offsets continue
			c.evicted[""], c.pendingEvictions[""] = n, true
		}
	} else {
		for w := range c.logged {
			c.pendingTombstones[makeKey(c.declaration.Name, w, 0, c.incarnation)] = 0
		}
		c.logged, c.evicted = map[string]uint64{}, map[string]uint64{}
		clear(c.evictedElsewhere)
		clear(c.pendingEvictions)
		clear(c.tombstonedThrough)
	}
	if incarnation != c.incarnation {
		for w, all := range c.inFlight {
			for _, f := range all {
				m.inFlight--
				m.ready.Acks = append(m.ready.Acks, Ack{Channel: c.declaration.Name, Writer: w, Number: f.number, Err: ErrWithdrawn})
			}
		}
		clear(c.inFlight)
	}
	clear(c.lastClock)
	clear(c.held)
	clear(c.newestByKey)
	clear(c.sequencedNumbers)
	clear(c.forgotten)
	clear(c.lastActive)
	c.firstIndex += uint64(len(c.items))
	c.items, c.bytes, c.evictedThrough, c.evictedClock, c.oldestHeldAt = nil, 0, 0, 0, 0
	c.incarnation = incarnation
}

// discardStale reports whether a writer's record must be ignored because it is not of the channel's current incarnation or the channel has ended. A
// record of the current or an earlier incarnation is deleted; one of a later incarnation is passed to Learn again once this dispatcher knows the
// declaration.
func (m *Machine) discardStale(c *channel, r replication.Record, incarnation uint64) bool {
	if incarnation == c.incarnation && (c.endedGeneration == 0 || r.Deleted) {
		return false
	}
	if incarnation <= c.incarnation && !r.Deleted {
		c.pendingTombstones[r.Key] = 0
	}
	return true
}
