package channel

import (
	"fmt"
)

// Open admits a reader and returns its ID for Take and Close. Its errors are *RetryLaterError, ErrUnknownChannel, ErrOrderNotPromised,
// ErrInvalidToken and ErrFull.
func (m *Machine) Open(now float64, a OpenRequest) (uint64, error) {
	c := m.channels[a.Channel]
	if c == nil || !c.declared {
		return 0, ErrUnknownChannel
	}
	if a.Order > c.declaration.Order {
		return 0, fmt.Errorf("%w: %s is requested, channel %s promises %s", ErrOrderNotPromised, a.Order, a.Channel, c.declaration.Order)
	}
	r := &reader{channel: c, order: a.Order, openedAt: now, incarnation: c.incarnation}
	if r.order == 0 {
		r.order = c.declaration.Order
	}
	if a.Token != "" {
		p, err := ParseToken(a.Token)
		if err != nil || p.Channel != a.Channel {
			return 0, ErrInvalidToken
		}
		if p.EndedGeneration > 0 && p.EndedGeneration <= c.incarnation {
			a.Token = "" // the reader was notified of the end of an earlier channel of this name
		}
		if r.position, r.generation, r.seen = p, p.Generation, p.Seen; a.Token == "" {
			r.position, r.seen = Position{}, nil
		} else if c.declaration.Order == Total {
			r.seen = map[string]uint64{"": p.Offset}
		} else if r.seen == nil {
			r.seen = map[string]uint64{}
		}
	}
	if len(m.readers) >= MaxReaders {
		return 0, ErrFull
	}
	m.openTokens = min(openBurst, m.openTokens+max(0, now-m.openTokensAt)*openRate)
	m.openTokensAt = max(m.openTokensAt, now)
	if m.openTokens < 1 {
		m.recentRefusals = min(maxRecentRefusals, m.recentRefusals+1)
		return 0, &RetryLaterError{Seconds: 0.1 + m.rng.Float64()*(0.4+2*m.recentRefusals/openRate)}
	}
	m.openTokens--
	if a.Token == "" {
		r.started, r.cursor, r.openedAtIndex, r.generation = true, c.firstIndex, c.endIndex(), 0
		if a.FromNow {
			r.cursor = c.endIndex()
		}
	}
	id := m.nextID
	m.nextID++
	m.readers[id] = r
	return id, nil
}

// Close removes a reader.
func (m *Machine) Close(id uint64) { delete(m.readers, id) }

// Readers returns the number of open readers.
func (m *Machine) Readers() int { return len(m.readers) }

// Take returns the next notifications for a reader. It stops after limit of them, at least 1 and at most MaxTake, but may return a few more because one
// log item can add several. A reader that gets EventReset, EventBehind, EventCutOff or EventEnded is closed.
func (m *Machine) Take(now float64, id uint64, limit int) []Notification {
	r := m.readers[id]
	if r == nil {
		return nil
	}
	if kind, lost := r.positionLost(); lost {
		return []Notification{m.closeReader(id, r, kind)}
	}
	var out []Notification
	if !r.started {
		if !r.positionReached() {
			if now-r.openedAt >= r.channel.declaration.OrderWait {
				return []Notification{m.closeReader(id, r, EventBehind)}
			}
			return nil
		}
		if r.start() {
			if !r.channel.declaration.AllowGaps {
				return []Notification{m.closeReader(id, r, EventCutOff)}
			}
			out = append(out, Notification{Kind: EventGap, From: r.position.Offset, Position: r.token()})
		}
	}
	if r.cursor < r.channel.firstIndex {
		if r.channel.declaration.DisconnectSlow || !r.channel.declaration.AllowGaps {
			return []Notification{m.closeReader(id, r, EventCutOff)}
		}
		out = append(out, r.skipEvicted())
	}
	out, open := m.takeItems(id, r, out, min(max(limit, 1), MaxTake))
	if !open {
		return out
	}
	r.updatePosition()
	if r.stale(now) && len(out) == 0 {
		return []Notification{m.closeReader(id, r, EventBehind)}
	}
	return out
}

// closeReader closes a reader and returns the notification with the reason.
func (m *Machine) closeReader(id uint64, r *reader, why EventKind) Notification {
	delete(m.readers, id)
	n := Notification{Kind: why}
	switch why {
	case EventBehind:
		n.Dispatchers = m.liveOthers
	case EventEnded:
		n.Generation = max(r.channel.incarnation, r.channel.endedGeneration)
		p := Position{Channel: r.channel.declaration.Name, Generation: n.Generation, EndedGeneration: n.Generation}
		n.Position = p.Token()
	}
	return n
}

// positionLost reports whether the reader's position belongs to a channel that has ended or to entries that became void, and by which event the
// reader is notified.
func (r *reader) positionLost() (why EventKind, lost bool) {
	c, generation := r.channel, r.position.Generation
	switch {
	case r.incarnation != c.incarnation,
		!r.started && generation > 0 && (generation <= c.incarnation || generation == c.endedGeneration),
		c.endedGeneration > 0 && len(c.items) == 0:
		return EventEnded, true
	case r.started && r.cursor > c.endIndex(),
		c.declaration.Order == Total && !c.offsetValid(r.position.Epoch, r.position.Offset):
		return EventReset, true
	}
	return 0, false
}

// start places a reader with a token at the first item of the log. It reports whether the reader missed entries that are no longer retained.
func (r *reader) start() (missed bool) {
	c := r.channel
	r.started, r.cursor = true, c.firstIndex
	r.newestSeen = map[string]*Entry{}
	for k := range c.items {
		e := c.items[k].entry
		if e == nil || e.Offset != 0 || e.Number > r.seen[e.Writer] {
			continue
		}
		if r.newestSeen[e.Key] == nil || mergeOrder(e, r.newestSeen[e.Key]) > 0 {
			r.newestSeen[e.Key] = e
		}
	}
	missed = !r.catchUpForgotten()
	for w, n := range c.evicted {
		missed = missed || r.seen[w] < n
		if n > r.seen[w] {
			r.seen[w] = n
		}
	}
	return missed
}

// skipEvicted moves a slow reader to the first item of the log and returns the notification of the gap.
func (r *reader) skipEvicted() Notification {
	r.cursor = r.channel.firstIndex
	n := Notification{Kind: EventGap, Position: r.channel.startToken}
	if r.seen != nil {
		for w, b := range r.channel.evicted {
			r.seen[w] = max(r.seen[w], b)
		}
		n.Position = r.token()
	}
	return n
}

// takeItems appends the notifications for the next log items until there are limit of them or maxTakeBytes is reached. open is false if the last one
// closed the reader.
func (m *Machine) takeItems(id uint64, r *reader, out []Notification, limit int) (all []Notification, open bool) {
	c := r.channel
	size := 0
	for len(out) < limit && size < maxTakeBytes && r.cursor < c.endIndex() {
		i := &c.items[r.cursor-c.firstIndex]
		r.cursor++
		before := len(out)
		if out, open = m.takeItem(id, r, i, out); !open {
			return out, false
		}
		if before < len(out) {
			size += r.setPositions(out[before:], i)
		}
	}
	return out, true
}

// takeItem appends the notifications for one log item, if there are any for this reader. open is false if the last one closed the reader.
func (m *Machine) takeItem(id uint64, r *reader, i *logItem, out []Notification) (all []Notification, open bool) {
	c := r.channel
	w, from, to := i.writer, i.from, i.to
	if i.entry != nil {
		w, to = i.entry.substream()
		from = to
	}
	seen := r.markSeen(w, to)
	if i.end {
		return append(out, m.closeReader(id, r, EventEnded)), false
	}
	if i.generation > r.generation && (r.generation != 0 || i.declarationChange) {
		out = append(out, Notification{Kind: EventDeclarationChanged, Generation: i.generation})
	}
	r.generation = max(r.generation, i.generation)
	switch {
	case seen:
	case i.entry != nil && r.order == Latest && c.newestByKey[i.entry.Key] != i.entry: // a newer entry of the key follows
	case i.entry != nil:
		newest := r.newestSeen[i.entry.Key]
		late := i.late || newest != nil && mergeOrder(newest, i.entry) > 0
		out = append(out, Notification{Kind: EventEntry, Entry: i.entry, Late: late, Generation: i.generation})
	case to > 0 && !i.declarationChange && (from != 1 || r.cursor > r.openedAtIndex): // for a new reader, entries missing from before it opened are no gap
		if !c.declaration.AllowGaps {
			return append(out, m.closeReader(id, r, EventCutOff)), false
		}
		out = append(out, Notification{Kind: EventGap, Writer: w, From: from, To: to})
	}
	return out, true
}

// markSeen marks a number of a substream as seen by the reader and reports whether it was seen before.
func (r *reader) markSeen(writer string, number uint64) (before bool) {
	if r.seen == nil || number == 0 {
		return false
	}
	before = number <= r.seen[writer]
	r.seen[writer] = max(r.seen[writer], number)
	return before
}

// setPositions sets the position after a log item in its last notification. It returns the bytes that the notifications count for.
func (r *reader) setPositions(notes []Notification, i *logItem) (size int) {
	position := i.token
	if r.seen != nil {
		position = r.token()
	}
	for k := range notes { // only the last notification of an item carries a position: after the first one the reader has not passed the item yet
		notes[k].Position = ""
	}
	notes[len(notes)-1].Position = position
	size = len(position)
	if i.entry != nil {
		size += i.entry.Size()
	}
	return size
}

// updatePosition updates the reader's position after it has taken items.
func (r *reader) updatePosition() {
	c := r.channel
	switch {
	case r.cursor == c.endIndex():
		r.seen, r.newestSeen = nil, nil // from here on the tokens of the log's items apply
		if c.declaration.Order == Total {
			r.position = Position{Epoch: c.logEpoch, Offset: c.logged[""]}
		}
	case c.declaration.Order == Total && r.cursor > c.firstIndex:
		r.position = c.positionAt(r.cursor - 1 - c.firstIndex)
	}
}

// stale reports whether a reader at the end of the log has waited for OrderWait while the log itself waits for missing entries.
func (r *reader) stale(now float64) bool {
	c := r.channel
	return r.cursor == c.endIndex() && c.oldestHeldAt > 0 && now-c.oldestHeldAt >= c.declaration.OrderWait && now-r.openedAt >= c.declaration.OrderWait
}

// positionAt returns the position after items[k], in total order.
func (c *channel) positionAt(k uint64) Position {
	i := &c.items[k]
	p := Position{Epoch: c.epochAt(i.to), Offset: i.to}
	if i.entry != nil {
		p.Epoch, p.Offset = i.entry.Epoch, i.entry.Offset
	}
	return p
}

// positionReached reports whether the log here includes everything that the reader has seen.
func (r *reader) positionReached() bool {
	if r.position.ForgottenThrough > r.channel.forgottenThrough || r.position.EndedGeneration > 0 {
		return false
	}
	if r.position.Generation > r.channel.logGeneration && r.channel.declaration.Order != Total || r.position.Generation > r.channel.declaration.Generation {
		return false
	}
	if ep := r.channel.epochs; r.channel.declaration.Order == Total && len(ep) > 0 && r.position.Epoch > max(ep[0].epoch, r.channel.epochAt(r.position.Offset)) {
		return false // the entry at its offset is of an older epoch here
	}
	for w, g := range r.channel.forgotten { // a forgotten writer that the position does not name was seen to its last number
		if n, ok := r.channel.logged[w]; ok && n < g.Number && r.seen[w] == 0 && r.position.ForgottenThrough >= g.Sequence {
			return false
		}
	}
	for w, n := range r.seen {
		if _, ok := r.channel.logged[w]; n > r.channel.logged[w] && !r.channel.isForgotten(w, n) && (ok || r.position.ForgottenThrough >= r.channel.evictedThrough) {
			return false
		}
	}
	return true
}

// token returns the token of the position of a reader that has not reached the end of the log.
func (r *reader) token() string {
	p := Position{Channel: r.channel.declaration.Name, Generation: r.generation, Seen: r.seen, ForgottenThrough: r.forgottenThrough}
	if r.channel.declaration.Order == Total {
		p.Seen, p.Offset = nil, r.seen[""]
		p.Epoch = max(r.channel.epochAt(p.Offset), r.position.Epoch)
	}
	return p.Token()
}
