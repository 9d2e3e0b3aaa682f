package channel

import (
	"fmt"
	"maps"
	"slices"

	"elderwall/core/cluster/replication"
)

// highest is the highest number of a writer that is here or on its way here, with none missing.
func (c *channel) highest(w string) uint64 {
	n := c.vec[w]
	for {
		if _, ok := c.held[w][n+1]; ok {
			n++
			continue
		}
		if !c.flies(w, n+1) {
			return n
		}
		n++
	}
}

func (c *channel) flies(w string, n uint64) bool {
	for _, f := range c.flight[w] {
		if f.number == n && f.err == nil {
			return true
		}
	}
	return false
}

// Write takes an entry of a writer. Errors: ErrEntry, ErrChannel, ErrSkips, ErrAfter, ErrFull, ErrWriters, ErrCut; the last but ErrEntry may pass.
func (m *Machine) Write(now float64, e Entry) (State, error) {
	if err := e.check(); err != nil {
		return 0, err
	}
	c := m.channels[e.Channel]
	if c == nil || !c.known {
		return 0, ErrChannel
	}
	if c.d.End {
		return 0, ErrEnded
	}
	e.Epoch, e.Since, e.Place, e.Stamp, e.Generation, e.Life = 0, 0, 0, 0, c.d.Generation, c.life
	if c.d.Order == Total {
		return m.queue(now, c, e)
	}
	w, n := e.Writer, e.Number
	if e.After = maps.Clone(e.After); c.d.Order != Causal {
		e.After = nil
	}
	if c.flies(w, n) {
		return OnWay, nil
	}
	if c.forgot(w, n) { // it was acknowledged, and has fallen out of what is kept
		return Known, nil
	}
	c.wake(now, w, n)
	if c.lost(&e) {
		return 0, ErrForgotten
	}
	if n <= c.vec[w] {
		if i := c.find(w, n); i == nil || i.sure {
			return Known, nil
		}
	} else if h, ok := c.held[w][n]; ok && h.sure {
		return Known, nil
	} else if high := c.highest(w); n > high+1 {
		return 0, fmt.Errorf("%w: %d follows %d", ErrSkips, n, high)
	}
	if e.Clock < c.clock[w] && n > c.vec[w] {
		return 0, fmt.Errorf("%w: its clock falls", ErrEntry)
	}
	if delete(e.After, w); !c.free(&e) {
		return 0, ErrAfter
	}
	if _, ok := c.vec[w]; !ok && len(c.vec)+len(c.flight) >= MostWriters {
		return 0, ErrWriters
	}
	if m.flights >= MostFlight {
		return 0, ErrFull
	}
	m.send(c, e)
	return OnWay, nil
}

// send has replica spread an entry, over whatever it has of it.
func (m *Machine) send(c *channel, e Entry) {
	c.stamp++
	e.Stamp = c.stamp
	id := m.put(replication.Record{Kind: EntryKind, Key: e.key(), Value: packEntry(&e)}, replication.WriteConcern{Level: replication.LevelCopies, Copies: Copies, Timeout: Within},
		wait{channel: e.Channel, writer: e.Writer, number: e.Number})
	c.flight[e.Writer] = append(c.flight[e.Writer], &flight{number: e.Number, id: id})
	m.flights++
}

func (m *Machine) put(r replication.Record, s replication.WriteConcern, w wait) uint64 {
	id := m.next
	m.next++
	m.waits[id] = w
	m.ready.Puts = append(m.ready.Puts, Put{ID: id, Record: r, Sure: s})
	return id
}

// Written tells how a Put with an ID ended: refused by replica, or by its outcome.
func (m *Machine) Written(now float64, id uint64, o replication.Outcome, err error) {
	w, ok := m.waits[id]
	if !ok {
		return
	}
	delete(m.waits, id)
	c := m.channels[w.channel]
	if w.place > 0 {
		if _, ok := c.spread[w.place]; ok && err == nil && o.Met {
			c.spread[w.place] = true
		} else if ok {
			delete(c.spread, w.place)
		}
		return
	}
	for _, f := range c.flight[w.writer] {
		if f.id == id {
			f.done, f.outcome, f.err = true, o, err
		}
	}
	// In the writer's order: none is acknowledged before those before it are.
	all := c.flight[w.writer]
	for len(all) > 0 && all[0].done {
		f := all[0]
		all = all[1:]
		m.flights--
		met := f.err == nil && f.outcome.Met
		if met {
			if i := c.find(w.writer, f.number); i != nil {
				i.sure = true
			} else if h, ok := c.held[w.writer][f.number]; ok {
				h.sure = true
				c.held[w.writer][f.number] = h
			}
		}
		m.ready.Acks = append(m.ready.Acks, Ack{Channel: w.channel, Writer: w.writer, Number: f.number, Met: met, Copies: f.outcome.Copies, Err: f.err})
	}
	if c.flight[w.writer] = all; len(all) == 0 {
		delete(c.flight, w.writer)
	}
	m.advance(now, c)
}

// Hold tells that this dispatcher got the duty of a channel, its token the epoch; 0: that it lost it.
func (m *Machine) Hold(now float64, name string, epoch uint64) {
	c := m.channel(name)
	if c == nil || c.holds == epoch {
		return
	}
	c.holds, c.line, c.proposed, c.again = epoch, nil, 0, 0
	m.unqueue(c)
	clear(c.spread)
}

// unqueue says that nothing is known to come of what is queued: who sends it again learns whether it was put in order after all.
func (m *Machine) unqueue(c *channel) {
	for _, e := range c.queue {
		m.ready.Acks = append(m.ready.Acks, Ack{Channel: e.Channel, Writer: e.Writer, Number: e.Number, Err: ErrCut})
	}
	c.queue, c.proposed = nil, 0
}

// Agreed tells a holder what the ledger has of its channel: when it got the duty, having read the log to its end, and after each command.
func (m *Machine) Agreed(now float64, l *Line) {
	c := m.channel(l.Channel)
	if c == nil || c.holds == 0 || l.Epoch > c.holds {
		return
	}
	if o := c.line; o == nil || o.Next != l.Next || o.Spread != l.Spread {
		c.proposed = 0
	}
	c.line = l
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
	m.order(now, l.Channel, c)
}

// queue takes an entry of Total at the holder; elsewhere it is known only once it came back.
func (m *Machine) queue(now float64, c *channel, e Entry) (State, error) {
	e.After = nil
	if e.Number <= c.taken[e.Writer] {
		return Known, nil
	}
	if c.holds == 0 || c.line == nil {
		return Elsewhere, nil
	}
	if !m.decides {
		return 0, ErrCut
	}
	high := c.line.Writers[e.Writer].Number
	if e.Number <= high {
		return Known, nil
	}
	for i := range c.queue {
		if c.queue[i].Writer == e.Writer {
			high = max(high, c.queue[i].Number)
		}
	}
	switch {
	case e.Number <= high:
		return OnWay, nil
	case e.Number > high+1:
		return 0, fmt.Errorf("%w: %d follows %d", ErrSkips, e.Number, high)
	case len(c.queue) >= MostPending:
		return 0, ErrFull
	}
	c.queue = append(c.queue, e)
	m.order(now, e.Channel, c) // at once, if no command is on its way: what comes meanwhile goes with the next
	return OnWay, nil
}

// order is what the holder does: it proposes what is queued, one command at a time, writes what stands, and lets go of what is spread.
func (m *Machine) order(now float64, name string, c *channel) {
	if c.holds == 0 || c.line == nil {
		return
	}
	spread := c.line.Spread
	for i := range c.line.Pending {
		e := c.line.Pending[i]
		done, ok := c.spread[e.Place]
		if done && e.Place == spread+1 {
			spread = e.Place
		}
		if !ok {
			c.again = min(c.again+1, attempts-1)
			c.spread[e.Place] = false
			e.Stamp = c.holds*attempts + c.again // above what an earlier holder wrote: so its outcome is one's own
			m.put(replication.Record{Kind: EntryKind, Key: e.key(), Value: packEntry(&e)}, replication.WriteConcern{Level: replication.LevelMajority, Timeout: Within},
				wait{channel: name, place: e.Place})
		}
	}
	if c.proposed > 0 && now-c.proposed < againAfter {
		return
	}
	cmd := Command{Channel: name, Epoch: c.holds, Life: c.life}
	if spread > c.line.Spread {
		cmd.Spread = spread
	}
	size := 0
	for i := range c.queue {
		if size += c.queue[i].size(); i >= batch || i > 0 && size > batchBytes {
			break
		}
		cmd.Entries = append(cmd.Entries, c.queue[i])
	}
	if !m.decides || cmd.Spread == 0 && len(cmd.Entries) == 0 {
		return
	}
	for p := range c.spread {
		if p <= c.line.Spread {
			delete(c.spread, p)
		}
	}
	c.proposed = now
	m.ready.Commands = append(m.ready.Commands, cmd)
}

// Order has a holder propose what is queued at once, and not only with the next Tick: after entries were taken.
func (m *Machine) Order(now float64) {
	for _, name := range slices.Sorted(maps.Keys(m.channels)) {
		m.order(now, name, m.channels[name])
	}
}

// Last is the highest number of a writer that is known here or on its way.
func (m *Machine) Last(channel, writer string) uint64 {
	c := m.channels[channel]
	if c == nil {
		return 0
	}
	n := max(c.highest(writer), c.floor[writer], c.dead[writer], c.taken[writer], c.gone[writer].Number)
	for k := range c.held[writer] {
		n = max(n, k)
	}
	return n
}

// Newest is the newest entry of a key, nil for none, and the highest clock of the channel's writers. Who gets it does not change it.
func (m *Machine) Newest(channel, key string) (*Entry, uint64) {
	c := m.channels[channel]
	if c == nil {
		return nil, 0
	}
	clock := c.rolledClock
	for _, g := range c.gone {
		clock = max(clock, g.Clock)
	}
	for _, n := range c.clock {
		clock = max(clock, n)
	}
	return c.newest[key], clock
}
