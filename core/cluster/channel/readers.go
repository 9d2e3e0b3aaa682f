package channel

import (
	"fmt"
)

// Open lets a reader in. Errors: *Later (come again), ErrChannel, ErrMore, ErrToken, ErrFull.
func (m *Machine) Open(now float64, a Ask) (uint64, error) {
	c := m.channels[a.Channel]
	if c == nil || !c.known {
		return 0, ErrChannel
	}
	if a.Order > c.d.Order {
		return 0, fmt.Errorf("%w: %s is asked for, channel %s promises %s", ErrMore, a.Order, a.Channel, c.d.Order)
	}
	r := &reader{c: c, wish: a.Order, opened: now, life: c.life}
	if r.wish == 0 {
		r.wish = c.d.Order
	}
	if a.Token != "" {
		p, err := ReadToken(a.Token)
		if err != nil || p.Channel != a.Channel {
			return 0, ErrToken
		}
		if p.Ended > 0 && p.Ended <= c.life {
			a.Token = "" // it was told the end of what was before
		}
		if r.place, r.gen, r.seen = p, p.Generation, p.Seen; a.Token == "" {
			r.place, r.seen = Position{}, nil
		} else if c.d.Order == Total {
			r.seen = map[string]uint64{"": p.Place}
		} else if r.seen == nil {
			r.seen = map[string]uint64{}
		}
	}
	if len(m.readers) >= MostReaders {
		return 0, ErrFull
	}
	m.room = min(opensBurst, m.room+max(0, now-m.roomAt)*opensEach)
	m.roomAt = max(m.roomAt, now)
	if m.room < 1 {
		m.refused = min(mostWaiting, m.refused+1)
		return 0, &Later{Seconds: 0.1 + m.rng.Float64()*(0.4+2*m.refused/opensEach)}
	}
	m.room--
	if a.Token == "" {
		r.started, r.cursor, r.fresh, r.gen = true, c.first, c.end(), 0
		if a.Now {
			r.cursor = c.end()
		}
	}
	id := m.next
	m.next++
	m.readers[id] = r
	return id, nil
}

// Close lets a reader go.
func (m *Machine) Close(id uint64) { delete(m.readers, id) }

// Readers is how many there are.
func (m *Machine) Readers() int { return len(m.readers) }

// Take gives a reader what is next for it, at most so many notes. After Reset, Behind or Cut it is closed.
func (m *Machine) Take(now float64, id uint64, most int) []Note {
	r := m.readers[id]
	if r == nil {
		return nil
	}
	c := r.c
	end := func(w Word) Note {
		delete(m.readers, id)
		n := Note{Word: w}
		switch w {
		case Behind:
			n.Where = m.others
		case Ended:
			n.Generation = max(c.life, c.ended)
			p := Position{Channel: c.d.Name, Generation: n.Generation, Ended: n.Generation}
			n.Position = p.Token()
		}
		return n
	}
	if a := r.place.Generation; r.life != c.life || !r.started && a > 0 && (a <= c.life || a == c.ended) || c.ended > 0 && len(c.items) == 0 {
		return []Note{end(Ended)}
	}
	if r.started && r.cursor > c.end() || c.d.Order == Total && !c.valid(r.place.Epoch, r.place.Place) {
		return []Note{end(Reset)}
	}
	var out []Note
	if !r.started {
		if !r.covered() {
			if now-r.opened >= c.d.Wait {
				return []Note{end(Behind)}
			}
			return nil
		}
		r.started, r.cursor = true, c.first
		r.had = map[string]*Entry{}
		for k := range c.items {
			if e := c.items[k].e; e != nil && e.Place == 0 && e.Number <= r.seen[e.Writer] && (r.had[e.Key] == nil || law(e, r.had[e.Key]) > 0) {
				r.had[e.Key] = e
			}
		}
		behind := !r.since()
		for w, n := range c.base {
			if behind = behind || r.seen[w] < n; n > r.seen[w] {
				r.seen[w] = n
			}
		}
		if behind {
			if !c.d.Told {
				return []Note{end(Cut)}
			}
			out = append(out, Note{Word: Gap, From: r.place.Place, Position: r.token()})
		}
	}
	if r.cursor < c.first {
		if c.d.Slow || !c.d.Told {
			return []Note{end(Cut)}
		}
		r.cursor = c.first
		n := Note{Word: Gap, Position: c.basis}
		if r.seen != nil {
			for w, b := range c.base {
				r.seen[w] = max(r.seen[w], b)
			}
			n.Position = r.token()
		}
		out = append(out, n)
	}
	size := 0
	for most = min(max(most, 1), MostTake); len(out) < most && size < takeBytes && r.cursor < c.end(); {
		i := &c.items[r.cursor-c.first]
		r.cursor++
		w, from, to := i.writer, i.from, i.to
		if i.e != nil {
			w, to = i.e.lane()
			from = to
		}
		seen := r.seen != nil && to > 0 && to <= r.seen[w]
		if r.seen != nil && to > 0 {
			r.seen[w] = max(r.seen[w], to)
		}
		before := len(out)
		if i.over {
			return append(out, end(Ended))
		}
		if i.generation > r.gen && (r.gen != 0 || i.mark) {
			out = append(out, Note{Word: Turned, Generation: i.generation})
		}
		r.gen = max(r.gen, i.generation)
		switch {
		case seen:
		case i.e != nil && r.wish == Latest && c.newest[i.e.Key] != i.e: // a newer one follows
		case i.e != nil:
			had := r.had[i.e.Key]
			out = append(out, Note{Word: Shown, Entry: i.e, Late: i.late || had != nil && law(had, i.e) > 0, Generation: i.generation})
		case to > 0 && !i.mark && (from != 1 || r.cursor > r.fresh): // what was before a new reader came is no gap
			if !c.d.Told {
				return append(out, end(Cut))
			}
			out = append(out, Note{Word: Gap, Writer: w, From: from, To: to})
		}
		if before == len(out) {
			continue
		}
		pos := i.pos
		if r.seen != nil {
			pos = r.token()
		}
		for k := before; k < len(out); k++ { // of two notes of one item the first is before it: it stands where the last one stood
			if out[k].Position = pos; k < len(out)-1 {
				out[k].Position = ""
			}
		}
		if size += len(pos); i.e != nil {
			size += i.e.Size()
		}
	}
	if r.cursor == c.end() {
		r.seen, r.had = nil, nil // from here on the log's own positions hold
		if c.d.Order == Total {
			r.place = Position{Epoch: c.epoch, Place: c.vec[""]}
		}
		if c.oldest > 0 && now-c.oldest >= c.d.Wait && now-r.opened >= c.d.Wait && len(out) == 0 {
			return []Note{end(Behind)}
		}
	} else if c.d.Order == Total && r.cursor > c.first {
		r.place = c.placeAt(r.cursor - 1 - c.first)
	}
	return out
}

// placeAt is the position after an item of Total.
func (c *channel) placeAt(k uint64) Position {
	i := &c.items[k]
	p := Position{Epoch: c.epochAt(i.to), Place: i.to}
	if i.e != nil {
		p.Epoch, p.Place = i.e.Epoch, i.e.Place
	}
	return p
}

// covered: all that the reader has seen is in the log here.
func (r *reader) covered() bool {
	if r.place.Gone > r.c.silent || r.place.Ended > 0 {
		return false
	}
	if r.place.Generation > r.c.turned && r.c.d.Order != Total || r.place.Generation > r.c.d.Generation {
		return false
	}
	if ep := r.c.epochs; r.c.d.Order == Total && len(ep) > 0 && r.place.Epoch > max(ep[0].epoch, r.c.epochAt(r.place.Place)) {
		return false // what stands at its place here is of an older epoch
	}
	for w, g := range r.c.gone { // not named: seen to its last
		if n, ok := r.c.vec[w]; ok && n < g.Number && r.seen[w] == 0 && r.place.Gone >= g.At {
			return false
		}
	}
	for w, n := range r.seen {
		if _, ok := r.c.vec[w]; n > r.c.vec[w] && !r.c.forgot(w, n) && (ok || r.place.Gone >= r.c.rolled) {
			return false
		}
	}
	return true
}

// token of a reader that is not in step with the log.
func (r *reader) token() string {
	p := Position{Channel: r.c.d.Name, Generation: r.gen, Seen: r.seen, Gone: r.gone}
	if r.c.d.Order == Total {
		p.Seen, p.Place = nil, r.seen[""]
		p.Epoch = max(r.c.epochAt(p.Place), r.place.Epoch)
	}
	return p.Token()
}
