package channel

import (
	"maps"
	"slices"

	"elderwall/core/cluster/replication"
)

// Forgotten takes in who was let go, as agreed: of all after what was asked for. It comes with the declarations, so that no reader is let in before it.
func (m *Machine) Forgotten(now float64, all []Silent, gone uint64) {
	for i := range all {
		s := &all[i]
		c := m.channels[s.Channel]
		if c == nil || !c.known || c.d.Order >= Causal || c.ended > 0 {
			continue
		}
		for _, g := range s.Gone {
			if g.At <= c.silent {
				continue
			}
			first := !c.heard
			c.wake(now, g.Writer, g.Number)
			c.silent, c.gone[g.Writer] = g.At, g
			if _, ok := c.vec[g.Writer]; !ok && first { // it has come back, and that came before
				for n := range c.held[g.Writer] {
					if c.wake(now, g.Writer, n); n <= g.Number {
						delete(c.held[g.Writer], n)
					}
				}
				if len(c.held[g.Writer]) == 0 {
					delete(c.held, g.Writer)
				}
			}
			if _, ok := c.vec[g.Writer]; (ok || !first) && c.vec[g.Writer] < g.Number { // it was let go before it came here: a gap
				c.floor[g.Writer] = max(c.floor[g.Writer], g.Number)
				for n := range c.held[g.Writer] {
					if n <= g.Number {
						c.unhold(g.Writer, n)
					}
				}
			}
		}
		if s.Rolled > c.rolled {
			c.rolled, c.rolledClock, c.silent = s.Rolled, max(c.rolledClock, s.Clock), max(c.silent, s.Rolled)
			for w, g := range c.gone {
				if g.At <= s.Rolled {
					delete(c.gone, w)
					delete(c.loose, makeKey(s.Channel, w, 0, c.life))
				}
			}
		}
		m.advance(now, c)
		m.drop(s.Channel, c)
	}
	for _, c := range m.channels {
		c.heard = c.heard || c.known
	}
	m.gone = max(m.gone, gone)
}

// Gone is how many names this dispatcher knows to have been let go, in all channels.
func (m *Machine) Gone() uint64 { return m.gone }

// quiet: nothing of a writer is kept here, or on its way.
func (c *channel) quiet(w string) bool {
	return c.vec[w] == c.base[w] && c.floor[w] <= c.vec[w] && len(c.held[w]) == 0 && len(c.flight[w]) == 0
}

// drop lets names go that are agreed to: of each once nothing of it is kept here. Who has taken more of a writer than was let go keeps it.
func (m *Machine) drop(name string, c *channel) {
	for w, g := range c.gone {
		if n, ok := c.vec[w]; ok && n == g.Number && c.quiet(w) {
			delete(c.vec, w)
			delete(c.base, w)
			delete(c.clock, w)
			delete(c.floor, w)
			delete(c.dead, w)
			delete(c.idle, w)
			delete(c.marks, w)
			c.loose[makeKey(name, w, 0, c.life)] = 0
		}
	}
}

// wake brings a writer back that was let go and has more to say: from its last number on.
func (c *channel) wake(now float64, w string, number uint64) {
	if _, ok := c.vec[w]; ok {
		return
	}
	if g, ok := c.gone[w]; ok && number > g.Number {
		c.vec[w], c.base[w], c.clock[w], c.idle[w] = g.Number, g.Number, g.Clock, now
		delete(c.loose, makeKey(c.d.Name, w, 0, c.life))
	}
}

// unhold lets an entry go that others have let go before any of them was known to have it from here: it would wait for ever.
func (c *channel) unhold(w string, n uint64) {
	if h, ok := c.held[w][n]; ok && !h.sure {
		if delete(c.held[w], n); len(c.held[w]) == 0 {
			delete(c.held, w)
		}
	}
}

// forgot: all up to a number of a writer that is not known here now was let go.
func (c *channel) forgot(w string, number uint64) bool {
	if _, ok := c.vec[w]; ok {
		return false
	}
	g, ok := c.gone[w]
	return ok && number <= g.Number
}

// lost: an entry of a name that is not known here, and may be one that was let go and is remembered no more. It may also be one that has not come
// here yet, where something was let go: its writer asks others, too.
func (c *channel) lost(e *Entry) bool {
	_, ok := c.vec[e.Writer]
	if ok || len(c.held[e.Writer]) > 0 || len(c.flight[e.Writer]) > 0 {
		return false
	}
	return e.Number > 1 && (c.rolled > 0 || c.life > 0) || c.rolled > 0 && e.Clock <= c.rolledClock
}

// tires proposes names that are to go: of writers that were silent for as long as is declared, and of whom nothing is kept. One dispatcher of the
// majority does; what another has taken meanwhile holds the name there, and brings it back here.
func (m *Machine) tires(now float64, name string, c *channel) {
	if !m.trims || !m.decides || c.d.Forget == 0 || c.d.End || c.d.Order >= Causal {
		return
	}
	cmd := Command{Channel: name, Life: c.life}
	for _, w := range slices.Sorted(maps.Keys(c.vec)) {
		if w != "" && now-c.idle[w] >= c.d.Forget && c.vec[w] > 0 && c.quiet(w) && !c.marks[w] && c.gone[w].Number < c.vec[w] && len(cmd.Forget) < MostForget {
			cmd.Forget = append(cmd.Forget, Gone{Writer: w, Number: c.vec[w], Clock: c.clock[w]})
		}
	}
	if len(cmd.Forget) > 0 {
		m.ready.Commands = append(m.ready.Commands, cmd)
	}
}

// since brings a reader's position up to who was let go; false where it was away while more was let go than it had seen.
func (r *reader) since() bool {
	c, had := r.c, r.place.Gone
	if r.gone = c.silent; c.d.Order >= Causal {
		return true
	}
	all := had >= c.rolled
	if !all {
		for w := range r.seen {
			if _, ok := c.vec[w]; !ok && c.gone[w].Number == 0 {
				delete(r.seen, w)
			}
		}
	}
	for w, g := range c.gone {
		n, named := r.seen[w]
		if _, ok := c.vec[w]; ok {
			if !named && had >= g.At {
				r.seen[w] = g.Number
			}
			continue
		}
		all = all && (named && n >= g.Number || !named && had >= g.At)
		delete(r.seen, w)
	}
	return all
}

// finish has a withdrawn channel end here: all that follows its last entry is void.
func (m *Machine) finish(now float64, c *channel) {
	if c.ended == 0 {
		c.ended, c.endedAt = c.d.Generation, now
		c.turned = max(c.turned, c.d.Generation)
		if k := len(c.items); k == 0 || !c.items[k-1].over {
			c.append(item{generation: c.d.Generation, at: now, mark: true, over: true})
		}
	}
}

// clear lets all go that was kept under a life that is over, and begins another; or none, where the channel has ended.
func (m *Machine) clear(c *channel, life uint64) {
	void := func(e *Entry) {
		if e.Place > 0 && e.Generation <= max(life, c.ended) || e.Place == 0 && (c.ended > 0 || e.Life != life) {
			c.loose[e.key()] = 0
		}
	}
	for k := range c.items {
		if e := c.items[k].e; e != nil {
			void(e)
		}
	}
	for _, of := range c.held {
		for _, h := range of {
			void(h.e)
		}
	}
	if c.d.Order == Total {
		if n := c.vec[""]; n > 0 { // places go on
			c.base[""], c.marks[""] = n, true
		}
	} else {
		for w := range c.vec {
			c.loose[makeKey(c.d.Name, w, 0, c.life)] = 0
		}
		c.vec, c.base = map[string]uint64{}, map[string]uint64{}
		clear(c.floor)
		clear(c.marks)
		clear(c.dead)
	}
	if life != c.life {
		for w, all := range c.flight {
			for _, f := range all {
				m.flights--
				m.ready.Acks = append(m.ready.Acks, Ack{Channel: c.d.Name, Writer: w, Number: f.number, Err: ErrEnded})
			}
		}
		clear(c.flight)
	}
	clear(c.clock)
	clear(c.held)
	clear(c.newest)
	clear(c.taken)
	clear(c.gone)
	clear(c.idle)
	c.first += uint64(len(c.items))
	c.items, c.bytes, c.rolled, c.rolledClock, c.oldest = nil, 0, 0, 0, 0
	c.life = life
}

// void: a record of a writer under a life that is over, which goes; or under one that is not known here yet, and is learned anew once it is.
func (m *Machine) void(c *channel, r replication.Record, life uint64) bool {
	if life == c.life && (c.ended == 0 || r.Deleted) {
		return false
	}
	if life <= c.life && !r.Deleted {
		c.loose[r.Key] = 0
	}
	return true
}
