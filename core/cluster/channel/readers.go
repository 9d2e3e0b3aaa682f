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
	if word, lost := r.lost(); lost {
		return []Note{m.end(id, r, word)}
	}
	var out []Note
	if !r.started {
		if !r.covered() {
			if now-r.opened >= r.c.d.Wait {
				return []Note{m.end(id, r, Behind)}
			}
			return nil
		}
		if r.start() {
			if !r.c.d.Told {
				return []Note{m.end(id, r, Cut)}
			}
			out = append(out, Note{Word: Gap, From: r.place.Place, Position: r.token()})
		}
	}
	if r.cursor < r.c.first {
		if r.c.d.Slow || !r.c.d.Told {
			return []Note{m.end(id, r, Cut)}
		}
		out = append(out, r.skip())
	}
	out, open := m.takeItems(id, r, out, min(max(most, 1), MostTake))
	if !open {
		return out
	}
	r.keepPlace()
	if r.stale(now) && len(out) == 0 {
		return []Note{m.end(id, r, Behind)}
	}
	return out
}

// end closes a reader, and gives the note that tells it why.
func (m *Machine) end(id uint64, r *reader, why Word) Note {
	delete(m.readers, id)
	n := Note{Word: why}
	switch why {
	case Behind:
		n.Where = m.others
	case Ended:
		n.Generation = max(r.c.life, r.c.ended)
		p := Position{Channel: r.c.d.Name, Generation: n.Generation, Ended: n.Generation}
		n.Position = p.Token()
	}
	return n
}

// lost tells whether the reader's place is of a channel that ended, or one that the log does not have, and how it is told.
func (r *reader) lost() (why Word, lost bool) {
	c, of := r.c, r.place.Generation
	switch {
	case r.life != c.life,
		!r.started && of > 0 && (of <= c.life || of == c.ended),
		c.ended > 0 && len(c.items) == 0:
		return Ended, true
	case r.started && r.cursor > c.end(),
		c.d.Order == Total && !c.valid(r.place.Epoch, r.place.Place):
		return Reset, true
	}
	return 0, false
}

// start has a reader with a token begin at the log's first item. It tells whether some of what it has not seen is no longer there.
func (r *reader) start() (behind bool) {
	c := r.c
	r.started, r.cursor = true, c.first
	r.had = map[string]*Entry{}
	for k := range c.items {
		e := c.items[k].e
		if e == nil || e.Place != 0 || e.Number > r.seen[e.Writer] {
			continue
		}
		if r.had[e.Key] == nil || law(e, r.had[e.Key]) > 0 {
			r.had[e.Key] = e
		}
	}
	behind = !r.since()
	for w, n := range c.base {
		behind = behind || r.seen[w] < n
		if n > r.seen[w] {
			r.seen[w] = n
		}
	}
	return behind
}

// skip moves a slow reader to the log's first item, and gives the gap's note.
func (r *reader) skip() Note {
	r.cursor = r.c.first
	n := Note{Word: Gap, Position: r.c.basis}
	if r.seen != nil {
		for w, b := range r.c.base {
			r.seen[w] = max(r.seen[w], b)
		}
		n.Position = r.token()
	}
	return n
}

// takeItems appends the notes of the next items up to a number of notes; open is false where the last one closed the reader.
func (m *Machine) takeItems(id uint64, r *reader, out []Note, most int) (all []Note, open bool) {
	c := r.c
	size := 0
	for len(out) < most && size < takeBytes && r.cursor < c.end() {
		i := &c.items[r.cursor-c.first]
		r.cursor++
		before := len(out)
		if out, open = m.takeItem(id, r, i, out); !open {
			return out, false
		}
		if before < len(out) {
			size += r.locate(out[before:], i)
		}
	}
	return out, true
}

// takeItem appends what an item is to a reader; open is false where that closed the reader.
func (m *Machine) takeItem(id uint64, r *reader, i *item, out []Note) (all []Note, open bool) {
	c := r.c
	w, from, to := i.writer, i.from, i.to
	if i.e != nil {
		w, to = i.e.lane()
		from = to
	}
	seen := r.see(w, to)
	if i.over {
		return append(out, m.end(id, r, Ended)), false
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
		late := i.late || had != nil && law(had, i.e) > 0
		out = append(out, Note{Word: Shown, Entry: i.e, Late: late, Generation: i.generation})
	case to > 0 && !i.mark && (from != 1 || r.cursor > r.fresh): // what was before a new reader came is no gap
		if !c.d.Told {
			return append(out, m.end(id, r, Cut)), false
		}
		out = append(out, Note{Word: Gap, Writer: w, From: from, To: to})
	}
	return out, true
}

// see tells whether the reader had a writer's number before, and marks it as had.
func (r *reader) see(writer string, number uint64) (before bool) {
	if r.seen == nil || number == 0 {
		return false
	}
	before = number <= r.seen[writer]
	r.seen[writer] = max(r.seen[writer], number)
	return before
}

// locate puts the position after an item into its notes, and gives the bytes that they count for.
func (r *reader) locate(notes []Note, i *item) (size int) {
	position := i.pos
	if r.seen != nil {
		position = r.token()
	}
	for k := range notes { // of two notes of one item the first is before it: it stands where the last one stood
		notes[k].Position = ""
	}
	notes[len(notes)-1].Position = position
	size = len(position)
	if i.e != nil {
		size += i.e.Size()
	}
	return size
}

// keepPlace notes where the reader stands in the log.
func (r *reader) keepPlace() {
	c := r.c
	switch {
	case r.cursor == c.end():
		r.seen, r.had = nil, nil // from here on the log's own positions hold
		if c.d.Order == Total {
			r.place = Position{Epoch: c.epoch, Place: c.vec[""]}
		}
	case c.d.Order == Total && r.cursor > c.first:
		r.place = c.placeAt(r.cursor - 1 - c.first)
	}
}

// stale tells whether a reader that has all of the log waits for too long for what the log itself waits for.
func (r *reader) stale(now float64) bool {
	c := r.c
	return r.cursor == c.end() && c.oldest > 0 && now-c.oldest >= c.d.Wait && now-r.opened >= c.d.Wait
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
