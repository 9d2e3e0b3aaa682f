package replication

import (
	"fmt"
	"math"
	"slices"
)

// sound tells what is wrong with a record from outside.
func (m *Machine) sound(c *Carried, hole bool) error {
	r := &c.Record
	s := m.kinds[r.Kind]
	if s == nil { // of a later version: what is wrong with it, who knows it tells
		s = &shelf{Kind: Kind{Name: "a kind that is not known", Longest: MostLongest}}
	}
	switch {
	case c.Hole && hole && r.Kind > 0 && r.Key == "" && r.Value == nil && !r.Dead && r.Dot == Dot{}:
		return nil
	case c.Hole || r.Kind == 0:
		return fmt.Errorf("%w: a record of kind %d, hole %v", errBad, r.Kind, c.Hole)
	case r.Key == "" || size(r) > s.Longest:
		return fmt.Errorf("%w: a record of %s of %d bytes, from 1 to %d are allowed", errBad, s.Name, size(r), s.Longest)
	case r.Dot.Writer == "" || len(r.Dot.Writer) > mostName || r.Dot.Era == 0 || r.Dot.Number == 0 || r.Dot.Number > math.MaxInt64:
		return fmt.Errorf("%w: a record of %s without a dot", errBad, s.Name)
	}
	if s.Check != nil && !r.Dead {
		if err := s.Check(r.Key, r.Value); err != nil {
			return fmt.Errorf("%w: a record of %s: %w", errBad, s.Name, err)
		}
	}
	return nil
}

func entries(all []Entry) error {
	if len(all) > mostWriters*4 {
		return fmt.Errorf("%w: %d entries of a vector", errBad, len(all))
	}
	for _, e := range all {
		if e.Writer == "" || len(e.Writer) > mostName || e.Era == 0 || e.Number == 0 || e.Number > math.MaxInt64 {
			return fmt.Errorf("%w: an entry of a vector of %q, %d, %d", errBad, e.Writer, e.Era, e.Number)
		}
	}
	return nil
}

func (a *Ask) check() error {
	if err := entries(a.Vector); err != nil {
		return err
	}
	var in [buckets]bool
	for i, b := range a.Shown {
		if in[b] = true; i > 0 && b <= a.Shown[i-1] {
			return fmt.Errorf("%w: bucket %d shown after %d", errBad, b, a.Shown[i-1])
		}
	}
	if n := len(a.Digest); n > 0 && (n != buckets || len(a.Shown) > 0 || a.Answer) {
		return fmt.Errorf("%w: a digest of %d buckets, %d are asked about, in a question alone", errBad, n, buckets)
	}
	for _, e := range a.Vector {
		if !in[bucketOf(e.Writer)] {
			return fmt.Errorf("%w: an entry of %q, whose bucket isn't shown", errBad, e.Writer)
		}
	}
	return nil
}

// checkMessage looks through all that a message holds before any of it is used.
func (m *Machine) checkMessage(msg *Message) error {
	if err := entries(msg.Acks); err != nil {
		return err
	}
	records := len(msg.Aside)
	all := [][]Carried{msg.Aside}
	for i := range msg.Deltas {
		d := &msg.Deltas[i]
		records += len(d.Records) + len(d.Index)
		if d.Writer == "" || len(d.Writer) > mostName || d.Era == 0 || d.From > math.MaxInt64 || len(d.Index) == 0 {
			return fmt.Errorf("%w: a delta of %q, %d, from %d with %d", errBad, d.Writer, d.Era, d.From, len(d.Index))
		}
		for _, at := range d.Index {
			if int(at) >= len(d.Records) {
				return fmt.Errorf("%w: a delta names record %d of %d", errBad, at, len(d.Records))
			}
		}
		for i := range d.Records {
			if err := m.sound(&d.Records[i], true); err != nil {
				return err
			}
		}
	}
	if msg.Ask != nil {
		if err := msg.Ask.check(); err != nil {
			return err
		}
	}
	if p := msg.Pull; p != nil {
		records += len(p.Keys) + len(p.Sums) + len(p.Lists)
		for _, r := range append(slices.Clone(p.Sums), p.Lists...) {
			if !r.valid() {
				return fmt.Errorf("%w: range %d, %x", errBad, r.Depth, r.Prefix)
			}
		}
		if len(p.Sums) > pullRanges || len(p.Lists) > pullRanges {
			return fmt.Errorf("%w: %d ranges at once", errBad, len(p.Sums)+len(p.Lists))
		}
	}
	if g := msg.Give; g != nil {
		if err := entries(g.Vector); err != nil {
			return err
		}
		records += len(g.Records) + len(g.Keys)
		for _, s := range g.Sums {
			if !s.Range.valid() || len(s.Sums) != 16 || len(s.Count) != 16 {
				return fmt.Errorf("%w: sums of range %d, %x", errBad, s.Range.Depth, s.Range.Prefix)
			}
		}
		for _, l := range g.Lists {
			records += len(l.Keys)
			if !l.Range.valid() || len(l.Keys) != len(l.Sums) {
				return fmt.Errorf("%w: a list of range %d, %x", errBad, l.Range.Depth, l.Range.Prefix)
			}
		}
		all = append(all, g.Records)
	}
	kinds := max(len(msg.Lacks), len(msg.Strange), len(msg.Holds))
	if p := msg.Pull; p != nil {
		kinds = max(kinds, len(p.Kinds))
	}
	if g := msg.Give; g != nil {
		kinds = max(kinds, len(g.Kinds))
	}
	if records > mostGiven || kinds > 256 || len(msg.Fell) > mostFell {
		return fmt.Errorf("%w: %d items", errBad, records)
	}
	for _, rs := range all {
		for i := range rs {
			if err := m.sound(&rs[i], false); err != nil {
				return err
			}
		}
	}
	return nil
}

// Step takes a message. It fails where anything in it isn't as it has to be, and uses none of it then.
func (m *Machine) Step(from string, msg *Message, now float64) error {
	m.now = max(m.now, now)
	if _, ok := m.byName[from]; !ok || msg == nil {
		m.stat.bad++
		return fmt.Errorf("%w: from %q, who is no member", errBad, from)
	}
	if err := m.checkMessage(msg); err != nil {
		m.stat.bad++
		return fmt.Errorf("from %s: %w", from, err)
	}
	m.told[from] = told{msg.Lacks, msg.Strange, msg.Holds}
	m.lower(msg.Fell)
	for _, c := range msg.Aside {
		if m.kinds[c.Record.Kind] == nil {
			continue
		}
		if e := m.kinds[c.Record.Kind].byKey[c.Record.Key]; e != nil || !m.vec.covers(c.Record.Dot) {
			m.merge(c)
		}
	}
	grew, gap := false, false
	for i := range msg.Deltas {
		g, missing := m.take(from, &msg.Deltas[i])
		grew, gap = grew || g, gap || missing
	}
	for _, a := range msg.Acks {
		if a.Writer == m.s.Name {
			m.acked(from, a.Era, a.Number, msg.Lacks)
		}
	}
	switch {
	case msg.Ask != nil:
		m.asked(from, msg.Ask, msg.Lacks, grew)
	case gap:
		m.ask(from)
	}
	if msg.Pull != nil {
		m.serve(from, msg.Pull)
	}
	if msg.Give != nil {
		m.given(from, msg.Give, msg.Lacks)
	}
	return nil
}

// ask tells a member what is here, and asks for what lacks.
func (m *Machine) ask(to string) {
	m.send(to, Message{Ask: m.question(), Acks: m.acksFor(to)}, buckets)
}

// question is of the sums of what is here. Its vector is kept: so the answer is understood when more has come meanwhile.
func (m *Machine) question() *Ask {
	if n := len(m.past); n == 0 || m.past[n-1].sum != m.vec.sum {
		m.past = append(m.past[max(0, n+1-mostPast):n:n], m.vec.clone())
	}
	salt := m.chance.Uint64()
	return &Ask{Sum: m.vec.sum, Salt: salt, Digest: m.vec.digest(salt), Live: m.live()}
}

// acksFor tells a writer of its last eras. Guards against a question with sums telling less of pending writes than one with entries.
func (m *Machine) acksFor(name string) (acks []Entry) {
	if w := m.vec.of[name]; w != nil {
		for _, k := range w.marks[max(0, len(w.marks)-keptEras):] {
			acks = append(acks, Entry{Writer: name, Era: k.era, Number: k.number})
		}
	}
	return acks
}

func vectorBytes(v Vector) (n int) {
	for _, e := range v {
		n += len(e.Writer) + 24
	}
	return n
}

// take joins an interval if it goes on from what is here. Gap tells that it begins later.
func (m *Machine) take(from string, d *Delta) (grew, gap bool) {
	k := trackKey{d.Writer, d.Era}
	have, to := m.vec.at(d.Writer, d.Era), d.From+uint64(len(d.Index))
	if d.Ack && d.Writer != m.s.Name {
		if m.acks[d.Writer] == nil {
			m.acks[d.Writer] = map[uint64]bool{}
			m.ackTo = append(m.ackTo, d.Writer)
		}
		m.acks[d.Writer][d.Era] = true
	}
	m.twins(k, d, have)
	defer m.falls(k, d)
	if n := m.hole(d, have); n < len(d.Index) {
		whole := *d
		whole.Index = d.Index[:n]
		d, to = &whole, d.From+uint64(n)
		defer m.stop(from, k)
	}
	if have < d.From && !m.fault.joinFirst {
		return false, true
	}
	if to <= have || m.vec.of[d.Writer] == nil && len(m.vec.of) >= mostWriters {
		return false, false
	}
	at := make([]*entry, len(d.Records))
	if !m.fault.joinFirst || m.chance.Float64() < 0.8 {
		for i, c := range d.Records {
			switch {
			case m.kinds[c.Record.Kind] == nil:
				at[i] = m.dropped(c.Record.Kind)
			case c.Hole: // beyond where it stops
			case !m.fallen(&c.Record) || c.Record.Dead && !m.fault.uncover && d.hides(uint32(i), have):
				at[i] = m.merge(c)
			}
		}
	}
	skip := have - min(have, d.From)
	keys := make([]*entry, 0, len(d.Index))
	for _, i := range d.Index[skip:] {
		keys = append(keys, at[i])
	}
	m.advance(k, d.From+skip, keys)
	m.renew(news{k, d.From + skip, d.Ack, from})
	if d.Writer == m.s.Name {
		m.own(d.Era, to)
	}
	return true, false
}

// hole gives where a delta ends for this member: at a number that is not here, of a kind that is known here, and that the sender dropped.
func (m *Machine) hole(d *Delta, have uint64) int {
	for i, at := range d.Index {
		if c := &d.Records[at]; c.Hole && d.From+uint64(i) >= have && m.kinds[c.Record.Kind] != nil {
			return i
		}
	}
	return len(d.Index)
}

// stop books that a writer's era doesn't go on for a hole. Others are asked as ever; where none of them has it in time, all is taken from who dropped
// it, and the kind is lacked here too. Guards against standing still where whoever wrote it is gone for good.
func (m *Machine) stop(from string, k trackKey) {
	at, ok := m.stopped[k]
	switch {
	case !ok && len(m.stopped) < mostWriters:
		m.stopped[k] = m.now
	case ok && m.now-at > stopAfter*m.s.Interval && m.pull == nil:
		delete(m.stopped, k)
		m.begin(from, false)
	}
}

// falls books writes of a delta over which a deletion stands here, for their writer: it may have forgotten that deletion.
func (m *Machine) falls(k trackKey, d *Delta) {
	if k.writer == m.s.Name {
		return
	}
	for i, at := range d.Index {
		r, dot := &d.Records[at].Record, Dot{k.writer, k.era, d.From + uint64(i) + 1}
		s := m.kinds[r.Kind]
		if s == nil || d.Records[at].Hole || !m.vec.covers(dot) || r.Dead && r.Dot == dot {
			continue
		}
		if e := s.byKey[r.Key]; e == nil || !e.rec.Dead || e.rec.Dot == dot {
			continue
		}
		if all := m.fell[k.writer]; !slices.Contains(all, dot) {
			if all == nil && len(m.fell) >= mostWriters {
				clear(m.fell)
			}
			m.fell[k.writer] = append(all[max(0, len(all)+1-mostFell):len(all):len(all)], dot)
			m.fellAt = m.now
		}
	}
}

// lower ends writes over which a deletion stands elsewhere that is not here.
func (m *Machine) lower(fell []Dot) {
	if len(fell) == 0 || m.fault.countsFallen {
		return
	}
	for _, p := range m.pending {
		if e := m.kinds[p.kind].byKey[p.key]; slices.Contains(fell, p.dot) && e != nil && !e.rec.Dead {
			p.lower = true
		}
	}
	m.settle(false)
}

// hides tells whether a record stands for other writes over a number. A tombstone that is forgotten here is taken again then: under it a lower deletion
// may be hidden that is not known here, and what that deleted.
func (d *Delta) hides(at uint32, over uint64) bool {
	for i, o := range d.Index {
		if n := d.From + uint64(i) + 1; !d.Records[at].Hole && o == at && n > over && d.Records[at].Record.Dot != (Dot{d.Writer, d.Era, n}) {
			return true
		}
	}
	return false
}

// twins compares what is here under the dots of a delta that were taken before.
func (m *Machine) twins(k trackKey, d *Delta, have uint64) {
	t := m.logs[k]
	for i, at := range d.Index {
		n := d.From + uint64(i) + 1
		if n > have || t == nil {
			return
		}
		r := &d.Records[at].Record
		if n <= t.base || r.Dot != (Dot{k.writer, k.era, n}) {
			continue
		}
		e := t.keys[n-t.base-1]
		if e == nil || e.gone || e.rec.Dot != r.Dot {
			continue
		}
		if e.rec.Key != r.Key || e.rec.Kind != r.Kind {
			m.setAside(e)
			m.merge(Carried{Record: *r, Aside: true})
			if o := m.kinds[r.Kind].byKey[r.Key]; o != nil && o.rec.Dot == r.Dot {
				m.setAside(o)
			}
		} else {
			m.merge(d.Records[at])
		}
	}
}

// own books that somebody has own numbers that may not be here. Guards against an old disk, a lost one, and a twin: no number is given twice.
func (m *Machine) own(era, number uint64) {
	mine := m.vec.at(m.s.Name, era)
	if era >= m.era && (!m.wrote || era > m.era || number > mine) {
		if m.wrote {
			m.event(Event{What: "twin", Who: m.s.Name, Dot: Dot{m.s.Name, era, number}})
		}
		m.era, m.wrote, m.eraDirty = era+1, false, true
	}
	if number > mine && len(m.aims) < 4*mostEras {
		m.aims[era] = max(m.aims[era], number)
		m.aimsAt = m.now
	}
}

// asked takes what another has.
func (m *Machine) asked(from string, a *Ask, lacks []uint8, grew bool) {
	switch {
	case len(a.Digest) > 0 && a.Sum != m.vec.sum:
		m.show(from, a.Salt, a.Digest)
		return
	case len(a.Digest) > 0:
		m.send(from, Message{Ask: &Ask{Sum: m.vec.sum, Live: m.live(), Answer: true}}, 0)
	case len(a.Shown) == 0 && a.Below:
		m.begin(from, false)
		return
	}
	theirs, whole := m.resolve(a)
	if !whole && len(a.Shown) == 0 {
		return // an answer to a question of long ago
	}
	m.hear(from, theirs, lacks, !a.Unkept)
	if len(a.Shown) == 0 {
		m.compare(from, a, lacks, theirs.sum == m.vec.sum)
		return
	}
	var msg Message
	room, used, below, over := fillStream, 0, false, false
	shown := a.Shown
	if whole {
		shown = nil
	}
	for _, e := range m.vec.list(shown) {
		at := theirs.at(e.Writer, e.Era)
		below = below || e.Floor && !theirs.rooted(e.Writer, e.Era)
		if at >= e.Number {
			continue
		}
		d, took, low := m.delta(trackKey{e.Writer, e.Era}, at, room-used)
		if below = below || low; d != nil {
			d.Ack = d.Writer == m.s.Name && len(m.pending) > 0
			msg.Deltas = append(msg.Deltas, *d)
		}
		if used += took; used >= room-mostName-40 {
			over = true
			break
		}
	}
	lower := !m.vec.reaches(theirs)
	equal := whole && !lower && theirs.reaches(m.vec)
	switch {
	case !a.Answer:
		msg.Ask = &Ask{Vector: m.vec.list(a.Shown), Shown: a.Shown, Sum: m.vec.sum, Live: m.live(), Answer: true, Below: below}
		used += vectorBytes(msg.Ask.Vector)
	case below:
		msg.Ask = &Ask{Answer: true, Below: true}
	case over:
		msg.Ask = m.question() // so that it goes on at once
	}
	if len(msg.Deltas) > 0 || msg.Ask != nil {
		m.send(from, msg, used)
	}
	switch {
	case m.away && !equal:
		m.begin(from, true)
	case a.Below && lower:
		m.begin(from, false)
	case a.Answer && lower && grew:
		m.ask(from)
	default:
		m.compare(from, a, lacks, equal)
	}
}

// show sends entries of the buckets that differ.
func (m *Machine) show(to string, salt uint64, digest []byte) {
	shown := m.vec.differs(salt, digest)
	v := m.vec.list(shown)
	m.send(to, Message{Ask: &Ask{Vector: v, Shown: shown, Sum: m.vec.sum, Live: m.live()}}, vectorBytes(v)+len(shown))
}

// resolve gives another's vector: what it shows in place of what is here, or was here when it was asked, if the sums prove that the rest is
// equal. Otherwise it gives what is shown alone, and not that it is whole.
func (m *Machine) resolve(a *Ask) (theirs *vector, whole bool) {
	theirs = load(a.Vector)
	for _, v := range append([]*vector{m.vec}, m.past...) {
		if len(a.Shown) == 0 && v.sum == a.Sum {
			return v, true
		}
		if c := v.with(a.Shown, theirs, a.Sum); len(a.Shown) > 0 && c != nil {
			return c, true
		}
	}
	return theirs, false
}

// compare looks at whether the same stands where the vectors are equal.
func (m *Machine) compare(from string, a *Ask, lacks []uint8, equal bool) {
	if !equal {
		return
	}
	m.away = false
	mine := uint64(0)
	for _, id := range m.ids {
		if !slices.Contains(lacks, id) {
			if m.lacks[id] {
				return // its sum has what is not here
			}
			mine += m.kinds[id].tree.live
		}
	}
	if a.Live == mine {
		m.unlike = 0
		return
	}
	m.unlike++
	each := checkEach
	if m.unlike > 1 {
		each = checkSooner
	}
	if m.now-m.walkAt > each*m.s.Interval {
		m.begin(from, false)
	}
}

// hear books a vector, which its sender has on its disk where it is kept.
func (m *Machine) hear(from string, v *vector, lacks []uint8, kept bool) {
	m.away = m.away || m.now-m.heardAt > m.s.Horizon
	m.heard, m.heardAt = true, m.now
	if w := v.of[m.s.Name]; w != nil {
		for _, k := range w.marks {
			m.own(k.era, k.number)
			if kept {
				m.acked(from, k.era, k.number, lacks)
			}
		}
	}
	m.behind = 0
	for name, w := range v.of {
		for _, k := range w.marks {
			if at := m.vec.at(name, k.era); at < k.number {
				m.behind += int(min(k.number-at, math.MaxInt32))
			}
		}
	}
	if m.check == nil {
		return
	}
	if kept && v.reaches(m.check) {
		m.checked[from] = true
		for _, id := range lacks {
			m.checkLacks[id] = true
		}
	}
	// Guards against folding an era whose last numbers a counted member has and this one lacks, and over eras that it lacks whole.
	for name, w := range m.check.of {
		if o := v.of[name]; o != nil && len(w.marks) > keptEras {
			if !m.vec.rooted(name, o.floor) {
				m.more[name] = true
			}
			floor := w.marks[len(w.marks)-keptEras].era
			for _, k := range o.marks {
				if k.era < floor && k.number > m.check.at(name, k.era) {
					m.more[name] = true
				}
			}
		}
	}
}

// acked books that a member has own writes up to a number on its disk.
func (m *Machine) acked(from string, era, number uint64, lacks []uint8) {
	for _, p := range m.pending {
		if p.dot.Era == era && p.dot.Number <= number && !slices.Contains(lacks, p.kind) {
			p.by[from] = true
		}
	}
	m.settle(false)
}

// got is how sure a write is by now.
func (m *Machine) got(p *pending) (o Outcome) {
	zones, all, counted := map[string]bool{m.s.Zone: true}, map[string]bool{m.s.Zone: true}, 1
	for _, f := range m.fleet.Others {
		if f.Alive {
			all[f.Zone] = true
		}
		if p.by[f.Name] {
			if zones[f.Zone] = true; f.Counted {
				counted++
			}
		}
	}
	o = Outcome{Dot: p.dot, Got: Here, Copies: 1 + len(p.by), Zones: len(zones), Lower: p.lower}
	k := max(p.sure.Copies, 1)
	if o.Copies >= k && (k > 1 || p.sure.Level == Copies) && o.Zones >= min(k, len(all)) {
		o.Got = Copies
	}
	if 2*counted > max(m.fleet.Of, 1) {
		o.Got = Majority
	}
	switch p.sure.Level {
	case Here:
		o.Met = true
	case Copies:
		o.Met = o.Copies >= k && o.Zones >= min(k, len(all))
	default:
		o.Met = o.Got == Majority
	}
	o.Met = o.Met && !p.lower
	return o
}

// settle tells outcomes that are met, or whose time is over.
func (m *Machine) settle(late bool) {
	m.pending = slices.DeleteFunc(m.pending, func(p *pending) bool {
		o := m.got(p)
		if !o.Met && !o.Lower && (!late || m.now < p.until) {
			return false
		}
		m.outs = append(m.outs, o)
		return true
	})
}

// Tick is to be called a few times an interval.
func (m *Machine) Tick(now float64) {
	m.now = max(m.now, now)
	stalled := m.now-m.ticked > stallAfter*m.s.Interval
	if m.now-max(m.heardAt, m.ticked) > m.s.Horizon || m.now-m.heardAt > m.s.Horizon && len(m.fleet.Others) > 0 {
		m.away = m.away || m.heard
	}
	m.ticked = m.now
	if len(m.fleet.Others) == 0 && m.fleet.Decides {
		m.heardAt = m.now
	}
	if m.heardAt-m.touched > touchEach*m.s.Horizon {
		m.eraDirty = true
	}
	if len(m.fell) > 0 && m.now-m.fellAt > m.s.Horizon {
		clear(m.fell)
	}
	m.settle(true)
	if len(m.aims) > 0 && m.now-m.aimsAt > m.s.Horizon {
		clear(m.aims) // nobody has them any more
	}
	m.pump()
	if m.now < m.due && !stalled {
		return
	}
	m.due = m.now + m.s.Interval*(0.8+0.4*m.chance.Float64())
	if !m.heard {
		for range fanout - 1 {
			m.askNext()
		}
	}
	m.askNext()
	m.pushPending()
	m.forget()
	m.fetch()
}

// askNext asks the next member of the round, one of another zone now and then.
func (m *Machine) askNext() {
	m.round = slices.DeleteFunc(m.round, func(n string) bool { return !m.byName[n].Alive })
	if len(m.round) == 0 {
		for _, o := range m.fleet.Others {
			if o.Alive {
				m.round = append(m.round, o.Name)
			}
		}
		m.chance.Shuffle(len(m.round), func(i, j int) { m.round[i], m.round[j] = m.round[j], m.round[i] })
	}
	if len(m.round) == 0 {
		return
	}
	m.rounds++
	near := m.rounds%acrossEach != 0
	at := max(0, slices.IndexFunc(m.round, func(n string) bool { return (m.byName[n].Zone == m.s.Zone) == near }))
	to := m.round[at]
	m.round = slices.Delete(m.round, at, at+1)
	m.ask(to)
}

// some draws up to n live members, of other zones first where the first has one.
func (m *Machine) some(n int, not func(string) bool) (all []string) {
	var near, far []string
	for _, o := range m.fleet.Others {
		if o.Alive && (not == nil || !not(o.Name)) {
			if o.Zone == m.s.Zone {
				near = append(near, o.Name)
			} else {
				far = append(far, o.Name)
			}
		}
	}
	for _, l := range [][]string{near, far} {
		m.chance.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	}
	// One of another zone in so many, so that zones are crossed seldom but surely.
	for len(all) < n && len(near)+len(far) > 0 {
		if len(far) > 0 && (len(all)%fanout == fanout-1 || len(near) == 0) {
			all, far = append(all, far[0]), far[1:]
		} else if len(near) > 0 {
			all, near = append(all, near[0]), near[1:]
		}
	}
	return all
}

// pushPending sends writes whose outcome is open once more, to some who have not acknowledged them.
func (m *Machine) pushPending() {
	if len(m.pending) == 0 {
		return
	}
	p := m.pending[0]
	for _, to := range m.some(mostFanout, func(n string) bool { return p.by[n] }) {
		if d, used, _ := m.delta(trackKey{p.dot.Writer, p.dot.Era}, p.dot.Number-1, fill); d != nil {
			d.Ack = true
			m.send(to, Message{Deltas: []Delta{*d}}, used)
		}
	}
}

// forget drops tombstones that all of the last agreed fleet have, or that are old, and folds eras that all have.
func (m *Machine) forget() {
	all := true
	counted := 1
	for _, o := range m.fleet.Others {
		if o.Counted {
			counted++
			all = all && m.checked[o.Name]
		}
	}
	if m.check == nil || all && counted >= m.fleet.Of {
		if m.check != nil {
			m.stable, m.stableLacks = m.check, m.checkLacks
			for name, w := range m.stable.of {
				if o := m.vec.of[name]; o != nil && !m.more[name] && len(o.marks) > keptEras && slices.Equal(w.marks, o.marks[:min(len(o.marks), len(w.marks))]) &&
					len(w.marks) == len(o.marks) {
					m.fold(name, o, len(o.marks)-keptEras)
				}
			}
		}
		m.check, m.checked, m.more = m.vec.clone(), map[string]bool{}, map[string]bool{}
		m.checkLacks = m.lacks
	}
	kept := m.graves[:0]
	for _, g := range m.graves {
		switch {
		case g.e.gone || !g.e.rec.Dead || g.e.rec.Dot != g.dot:
		case m.stable != nil && m.stable.covers(g.dot) && !m.holdsDead(g.e.rec.Kind) || m.now-g.seen > m.s.Horizon || m.fault.forgetEarly:
			m.drop(g.e)
		default:
			kept = append(kept, g)
		}
	}
	clear(m.graves[len(kept):])
	m.graves = kept
}

// holdsDead tells whether tombstones of a kind are kept to the horizon: somebody's vector says nothing of it, who may have what was deleted. Where room
// is short they go all the same, and a later walk settles it.
func (m *Machine) holdsDead(kind uint8) bool {
	s := m.kinds[kind]
	return m.stableLacks[kind] && 2*len(s.byKey) < s.Records && 2*s.bytes < s.Bytes
}

// Unkept tells whether the disk lags behind: a Save failed, and is still owed. Until all is kept, others' news is taken and passed on, nothing
// is acknowledged, and no write is taken. What a Ready whose Save failed had to send is not to be sent. Writes that are open end as not met.
func (m *Machine) Unkept(unkept bool) {
	if unkept && !m.unkept {
		for _, p := range m.pending {
			m.outs = append(m.outs, Outcome{Dot: p.dot})
		}
		m.pending, m.out = nil, nil // what waits to be sent tells what is not kept
	}
	m.unkept = unkept && !m.fault.ackUnkept
}

// Ready takes what is to be done. The driver keeps Save before it sends or tells anything else of it; Steps may go on meanwhile, and what they
// bring is taken together the next time.
func (m *Machine) Ready() (r Ready) {
	m.spread()
	r.Send, r.Outcomes, r.Events = m.out, m.outs, m.events
	m.out, m.outs, m.events = nil, nil, nil
	if len(m.dirty) > 0 || len(m.raised) > 0 || len(m.folded) > 0 || m.eraDirty || m.lacksDirty {
		r.Save = m.save(&r)
	}
	if m.fault.ackEarly {
		r.Save, m.held = m.held, r.Save
	}
	return r
}

func (m *Machine) save(r *Ready) *Save {
	s := &Save{Era: m.era, Folded: m.folded, Lacks: slices.Clone(m.lacked), Away: m.now - m.heardAt}
	m.folded, m.eraDirty, m.lacksDirty, m.touched = nil, false, false, m.heardAt
	if m.fault.forgets {
		s.Lacks = nil
	}
	if m.fault.savesTouch {
		s.Away = 0
	}
	for _, e := range m.dirty {
		e.dirty = false
		k := m.kinds[e.rec.Kind]
		s.Sync = s.Sync || k.Sync
		if e.gone {
			if k.byKey[e.rec.Key] == nil {
				s.Drops = append(s.Drops, Name{e.rec.Kind, e.rec.Key})
				if !e.rec.Dead {
					c := e.rec
					c.Value, c.Dead = nil, true
					r.Changed = append(r.Changed, c)
				}
			}
			continue
		}
		s.Records = append(s.Records, Carried{Record: e.rec, Aside: e.aside})
		c := e.rec
		if e.aside {
			c.Value, c.Dead = nil, true
		}
		r.Changed = append(r.Changed, c)
	}
	m.dirty = nil
	seen := map[trackKey]bool{}
	for _, k := range m.raised {
		w := m.vec.of[k.writer]
		if n := m.vec.at(k.writer, k.era); !seen[k] && w != nil && n > 0 && n < math.MaxUint64 {
			seen[k] = true
			s.Vector = append(s.Vector, Entry{k.writer, k.era, n, w.grounded() && w.floor == k.era})
		}
	}
	m.raised = nil
	return s
}

// spread sends what is new to a few, and tells writers what is here.
func (m *Machine) spread() {
	for _, w := range m.ackTo {
		if _, ok := m.byName[w]; ok {
			var acks []Entry
			for era := range m.acks[w] {
				if n := m.vec.at(w, era); n > 0 && n < math.MaxUint64 {
					acks = append(acks, Entry{Writer: w, Era: era, Number: n})
				}
			}
			slices.SortFunc(acks, func(a, b Entry) int { return int(a.Era) - int(b.Era) })
			if len(acks) > 0 && !m.unkept {
				m.send(w, Message{Acks: acks}, 0)
			}
		}
	}
	m.ackTo = nil
	clear(m.acks)
	if len(m.tellAside) > 0 {
		var all []Carried
		used := 0
		for _, e := range m.tellAside {
			if used += weigh(&e.rec); used < fill && !e.gone && e.aside {
				all = append(all, Carried{Record: e.rec, Aside: true})
			}
		}
		m.tellAside = nil
		for _, to := range m.some(fanout, nil) {
			m.send(to, Message{Aside: all}, min(used, fill))
		}
	}
	if len(m.fresh) == 0 {
		return
	}
	wide := fanout
	for _, p := range m.pending {
		if p.sure.Level == Copies {
			wide = max(wide, min(p.sure.Copies, mostFanout))
		}
	}
	targets := m.some(wide, nil)
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
		d, took, _ := m.delta(f.trackKey, f.from, fill-used)
		if d == nil {
			i++
			continue
		}
		if used > 0 && used+took > fill {
			flush()
			continue
		}
		d.Ack = f.ack
		msg.Deltas, used = append(msg.Deltas, *d), used+took
		if f.from += uint64(len(d.Index)); f.from >= m.vec.at(f.writer, f.era) {
			i++
		} else {
			flush()
		}
	}
	flush()
	m.fresh = nil
}
