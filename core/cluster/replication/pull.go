package replication

import (
	"math"
	"slices"
)

// Figures of a pull.
const (
	pullRanges = 64         // at once: some 13 KB of sums
	pullKeys   = 2_000      // at once
	listUnder  = 64         // a range with no more records is listed: 1 KB
	pieceBytes = fillStream // of a whole snapshot
	patience   = 4.0        // intervals until another source is asked
	mostTries  = 8          // that fail in a row; then a walk is given up. A whole snapshot goes on
)

// pull is a catch-up under way: a walk down the tree to what differs, or all in pieces by the hash of the key. All that it asks for may be asked of
// another source: who is cut off goes on elsewhere. Base is what the source had when it was asked first: every part is looked at after
// that, so that at the end all of it is here; of several sources, what all of them had.
type pull struct {
	id     uint64
	from   string
	whole  bool
	base   *vector // of this source; nil until it came
	life   uint64  // and in which life it told that
	joint  *vector // of all of them
	lacks  map[uint8]bool
	kinds  []uint8 // that are looked at
	others bool    // more sources than one
	sums   []Range
	lists  []Range
	keys   []uint64
	after  uint64
	done   bool
	asked  *Pull
	at     float64
	tries  int
	gone   []fall // here, under dots that the source has, and not there: deleted there
	odd    map[Dot]Carried
	mine   *vector  // what was here at its begin
	more   bool     // the source has what is not here: a tombstone of it may hide some (see hides)
	beats  uint64   // and how far those were counted
	before [256]int // what was dropped
}

// fall is a record that is to go at the end, and what stands in its place.
type fall struct {
	e  *entry
	by *Carried
}

// begin starts one, if none is under way.
func (m *Machine) begin(from string, whole bool) {
	if m.pull != nil {
		return
	}
	records := 0
	for _, id := range m.ids {
		records += len(m.kinds[id].byKey)
	}
	whole = whole || records == 0
	m.away = false
	p := &pull{
		id: m.chance.Uint64(), from: m.near(from, whole), whole: whole, lacks: map[uint8]bool{}, odd: map[Dot]Carried{},
		mine: m.vec.clone(), beats: m.beats,
	}
	for _, id := range m.ids {
		if !slices.Contains(m.told[p.from].strange, id) {
			p.kinds = append(p.kinds, id)
		}
		if s := m.kinds[id]; m.lacks[id] && (s.upto == nil || s.uptoAt != m.drops[id]) {
			s.upto, s.uptoAt = p.mine, m.drops[id]
		}
	}
	p.before = m.drops
	if !whole {
		p.sums = []Range{{}}
		m.stat.walks++
	} else {
		m.stat.wholes++
		m.event(Event{What: "catching up", Who: p.from})
	}
	m.pull, m.walkAt = p, m.now
	m.stat.pulls++
	m.pump()
}

// lacksKnown tells whether a member said that it lacks some of a kind that is known here.
func (m *Machine) lacksKnown(name string) bool {
	return slices.ContainsFunc(m.told[name].lacks, func(id uint8) bool { return m.kinds[id] != nil })
}

// near gives one of the own zone for a whole snapshot, and one that lacks nothing, where there is one. Guards against two of a zone that begin with
// nothing and take it from each other: after a pull that brought nothing it is whoever was heard to have more.
func (m *Machine) near(not string, whole bool) string {
	if !whole || m.barren {
		return not
	}
	best, least := []string{not}, 4
	for _, o := range m.fleet.Others {
		far := 0
		if o.Zone != m.s.Zone {
			far++
		}
		if m.lacksKnown(o.Name) {
			far += 2
		}
		switch {
		case !o.Alive && o.Name != not || far > least:
		case far < least || o.Name == not: // of several as good, whoever was heard
			best, least = []string{o.Name}, far
		case !slices.Contains(best, not):
			best = append(best, o.Name)
		}
	}
	return best[m.chance.IntN(len(best))]
}

// fetch looks for a source of kinds of which some were dropped here, and that have room now: one who dropped none; where there is none left, all
// others one after the other, as far as they know the kind, and what they have together is all that there is.
func (m *Machine) fetch() {
	if m.pull != nil || len(m.lacked) == 0 || m.now-m.walkAt <= checkSooner*m.s.Interval || m.unheard() {
		return
	}
	for _, id := range m.ids {
		s := m.kinds[id]
		if !m.lacks[id] || len(s.byKey)*of > s.Records*bound || s.bytes*of > s.Bytes*bound {
			continue
		}
		var whole, rest []string
		all := true
		for _, o := range m.fleet.Others {
			t, ok := m.told[o.Name]
			switch {
			case ok && o.Alive && !slices.Contains(t.lacks, id):
				whole = append(whole, o.Name)
			case s.seen[o.Name]:
			case ok && o.Alive && !slices.Contains(t.holds, id):
				rest = append(rest, o.Name)
			default:
				all = false
			}
		}
		switch {
		case len(whole) > 0:
			m.begin(whole[m.chance.IntN(len(whole))], false)
			return
		case len(rest) > 0:
			m.begin(rest[m.chance.IntN(len(rest))], false)
			return
		case all:
			m.lack(id, false)
		}
	}
}

// pump asks for the next part, if the rate allows, and for one that did not come of another source.
func (m *Machine) pump() {
	m.bucket = min(m.s.Rate, m.bucket+(m.now-m.filled)*m.s.Rate)
	m.filled = m.now
	p := m.pull
	if p == nil {
		return
	}
	if p.asked != nil {
		if m.now-p.at < patience*m.s.Interval {
			return
		}
		p.sums, p.lists, p.keys = append(p.sums, p.asked.Sums...), append(p.lists, p.asked.Lists...), append(p.keys, p.asked.Keys...)
		p.asked, p.base = nil, nil
		if p.tries++; p.tries >= mostTries && !p.whole {
			m.pull = nil
			return
		}
		if all := m.some(len(m.fleet.Others), func(n string) bool { return n == p.from }); len(all) > 0 {
			p.others = p.others || p.from != all[0]
			p.from = all[0]
		}
	}
	if m.bucket < 0 {
		return
	}
	ask := &Pull{ID: p.id, Vector: p.base == nil, Kinds: p.kinds}
	switch {
	case p.whole && !p.done:
		ask.Whole, ask.After = true, p.after
	case len(p.sums)+len(p.lists)+len(p.keys) > 0:
		ask.Sums, p.sums = cut(p.sums, pullRanges)
		ask.Lists, p.lists = cut(p.lists, pullRanges)
		ask.Keys, p.keys = cut(p.keys, pullKeys)
	default:
		m.finish(p)
		return
	}
	p.asked, p.at = ask, m.now
	m.send(p.from, Message{Pull: ask}, len(ask.Keys)*9+(len(ask.Sums)+len(ask.Lists))*10)
}

func cut[T any](all []T, n int) (head, tail []T) {
	n = min(n, len(all))
	return all[:n:n], all[n:]
}

// serve answers a part of another's catch-up. What is over the rate is not answered: its taker asks elsewhere. A message more than that is, so that
// one taker alone, who keeps to the same rate, is never put off by what was lost.
func (m *Machine) serve(to string, p *Pull) {
	m.serves, m.served = min(m.s.Rate, m.serves+(m.now-m.served)*m.s.Rate), m.now
	if m.serves < -fillStream {
		return
	}
	if len(p.Kinds) == 0 { // of a version before those were told. Guards against an answer of nothing: what it has would fall there
		all := *p
		all.Kinds = m.ids
		p = &all
	}
	g := &Give{ID: p.ID, Life: m.life}
	used := 0
	if p.Vector {
		g.Vector, g.Kinds = m.vec.list(nil), m.ids
		used += vectorBytes(g.Vector)
	}
	for _, r := range p.Sums {
		if r.Depth < maxDepth {
			g.Sums = append(g.Sums, m.children(p.Kinds, r))
			used += 16 * 14
		}
	}
	for _, r := range p.Lists {
		l := List{Range: r}
		m.each(p.Kinds, r, func(e *entry) { l.Keys, l.Sums = append(l.Keys, e.hash), append(l.Sums, e.sum) })
		if used += 18 * len(l.Keys); len(l.Keys) > mostGiven/2 || used > fillStream {
			break // the rest is asked for again
		}
		g.Lists = append(g.Lists, l)
	}
	for _, h := range p.Keys {
		if used > fillStream {
			break
		}
		g.Keys = append(g.Keys, h)
		m.each(p.Kinds, Range{maxDepth, h >> 4}, func(e *entry) {
			if e.hash == h {
				g.Records = append(g.Records, Carried{Record: e.rec, Aside: e.aside})
				used += weigh(&e.rec)
			}
		})
	}
	if p.Whole {
		m.piece(p, g, &used)
	}
	m.serves -= float64(used)
	m.send(to, Message{Give: g}, used)
}

// piece adds records from a hash on, those of one hash together.
func (m *Machine) piece(p *Pull, g *Give, used *int) {
	g.Whole = true
	after := p.After
	for i := after >> (64 - 4*leafDepth); i < leaves; i++ {
		leaf := m.leaf(p.Kinds, i)
		for at, e := range leaf {
			if e.hash < after {
				continue
			}
			if *used > pieceBytes && (at == 0 || leaf[at-1].hash != e.hash) {
				g.Next = e.hash
				return
			}
			g.Records = append(g.Records, Carried{Record: e.rec, Aside: e.aside})
			*used += weigh(&e.rec)
		}
	}
	g.Done = true
}

// given takes a part.
func (m *Machine) given(from string, g *Give, lacks []uint8) {
	p := m.pull
	if p == nil || p.asked == nil || g.ID != p.id || from != p.from || g.Whole != p.asked.Whole || p.base == nil && g.Vector == nil && !p.asked.Vector {
		return
	}
	asked := p.asked
	p.asked, p.tries = nil, 0
	if !asked.Vector && g.Life != p.life && !m.fault.oneLife { // it was killed, and may lack what it had told before
		p.sums, p.lists, p.keys = append(p.sums, asked.Sums...), append(p.lists, asked.Lists...), append(p.keys, asked.Keys...)
		p.base, p.others = nil, true
		m.pump()
		return
	}
	if asked.Vector {
		p.base, p.life = load(g.Vector), g.Life
		p.more = p.more || !m.vec.reaches(p.base)
		m.hear(from, p.base, lacks, !g.Unkept)
		if p.joint == nil {
			p.joint = load(g.Vector)
		} else {
			p.joint = meet(p.joint, p.base)
		}
	}
	for _, k := range lacks {
		p.lacks[k] = true
	}
	for _, k := range g.Kinds {
		p.lacks[k] = p.lacks[k] || m.kinds[k] == nil // not asked for
	}
	used := vectorBytes(g.Vector)
	for _, s := range g.Sums {
		if !slices.Contains(asked.Sums, s.Range) {
			continue
		}
		asked.Sums = slices.DeleteFunc(asked.Sums, func(r Range) bool { return r == s.Range })
		used += 16 * 14
		mine := m.children(p.kinds, s.Range)
		for i := range 16 {
			switch c := s.Range.child(i); {
			case mine.Sums[i] == s.Sums[i] && mine.Count[i] == s.Count[i]:
			case s.Count[i]+mine.Count[i] <= listUnder || c.Depth >= maxDepth:
				p.lists = append(p.lists, c)
			default:
				p.sums = append(p.sums, c)
			}
		}
	}
	for _, l := range g.Lists {
		if !slices.Contains(asked.Lists, l.Range) {
			continue
		}
		asked.Lists = slices.DeleteFunc(asked.Lists, func(r Range) bool { return r == l.Range })
		used += 18 * len(l.Keys)
		mine, theirs := map[uint64]uint64{}, map[uint64]bool{}
		m.each(p.kinds, l.Range, func(e *entry) { mine[e.hash] += e.sum })
		sums := map[uint64]uint64{}
		for i, h := range l.Keys {
			theirs[h] = true
			sums[h] += l.Sums[i]
		}
		for _, h := range l.Keys {
			if l.Range.in(h) && theirs[h] && mine[h] != sums[h] {
				p.keys = append(p.keys, h)
			}
			theirs[h] = false // asked once
		}
		m.each(p.kinds, l.Range, func(e *entry) {
			if _, ok := theirs[e.hash]; !ok {
				m.absent(p, e)
			}
		})
	}
	for i := range g.Records {
		used += weigh(&g.Records[i].Record)
		m.pulled(p, g.Records[i])
	}
	asked.Keys = slices.DeleteFunc(asked.Keys, func(h uint64) bool { return slices.Contains(g.Keys, h) })
	if g.Whole {
		end := uint64(math.MaxUint64)
		if !g.Done {
			end = g.Next
		}
		there := map[uint64]bool{}
		for _, c := range g.Records {
			there[m.hashOf(c.Record.Kind, c.Record.Key)] = true
		}
		for i := asked.After >> (64 - 4*leafDepth); i < leaves; i++ {
			for _, e := range m.leaf(p.kinds, i) {
				if e.hash >= asked.After && (e.hash < end || g.Done) && !there[e.hash] {
					m.absent(p, e)
				}
			}
		}
		p.after, p.done = g.Next, g.Done || g.Next <= asked.After
	}
	// What was not answered is asked for again.
	p.sums, p.lists, p.keys = append(p.sums, asked.Sums...), append(p.lists, asked.Lists...), append(p.keys, asked.Keys...)
	m.stat.pulled += uint64(used)
	m.bucket -= float64(used)
	m.pump()
}

// absent books a record that is here and not at the source: under a dot that the source has, it was deleted there.
func (m *Machine) absent(p *pull, e *entry) {
	if p.base.covers(e.rec.Dot) && !p.lacks[e.rec.Kind] || m.fault.dropAll {
		p.gone = append(p.gone, fall{e: e})
	}
}

// fallen tells whether a record fell here to one that is forgotten since: the vector has its dot, so that it or a higher one stood.
func (m *Machine) fallen(r *Record) bool {
	s := m.kinds[r.Kind]
	e := s.byKey[r.Key]
	return m.vec.covers(r.Dot) && !m.lacks[r.Kind] && !m.fault.noRule && (e == nil || e.rec.Dot != r.Dot && m.order(s, r, &e.rec) > 0)
}

// pulled takes a record of the source, unless it fell here. What stands here falls if the source had it and has a lower one now.
func (m *Machine) pulled(p *pull, c Carried) {
	if m.kinds[c.Record.Kind] == nil {
		m.dropped(c.Record.Kind)
		return
	}
	if m.fallen(&c.Record) && (!c.Record.Dead || !p.more || m.fault.uncover) {
		if len(p.odd) < mostGiven {
			p.odd[c.Record.Dot] = c
		}
		return
	}
	s := m.kinds[c.Record.Kind]
	if e := s.byKey[c.Record.Key]; e != nil && e.rec.Dot != c.Record.Dot && p.base.covers(e.rec.Dot) && !p.lacks[s.ID] && !m.fault.noRule &&
		m.order(s, &c.Record, &e.rec) < 0 {
		p.gone = append(p.gone, fall{e, &c})
		return
	}
	m.merge(c)
}

// finish joins what the sources had, once all of it was looked at.
func (m *Machine) finish(p *pull) {
	all := p.joint.reaches(p.mine)
	for _, f := range p.gone {
		e := f.e
		if e.gone {
			continue
		}
		// One dot under which each side has another key: neither was deleted.
		if c, ok := p.odd[e.rec.Dot]; ok && (c.Record.Key != e.rec.Key || c.Record.Kind != e.rec.Kind) {
			m.setAside(e)
			if o := m.merge(Carried{Record: c.Record, Aside: true}); o != nil && !o.aside && o.rec.Dot == c.Record.Dot {
				m.setAside(o)
			}
			continue
		}
		// Guards against a fall that uncovers what the source had not yet: a write that came and fell here to what is to fall now. It is known here
		// and would not be taken again. What stays for that goes with a later walk.
		if (e.beat > p.beats || !all && (f.by != nil || e.rec.Dead)) && !m.fault.noRule && !m.fault.uncover {
			continue
		}
		if (p.joint.covers(e.rec.Dot) && !p.lacks[e.rec.Kind]) || m.fault.dropAll {
			if s := m.kinds[e.rec.Kind]; f.by == nil {
				m.drop(e)
			} else if m.order(s, &f.by.Record, &e.rec) < 0 {
				m.change(s, e, func() { e.rec, e.aside = f.by.Record, f.by.Aside })
			}
		}
	}
	raised := false
	for name, w := range p.joint.of {
		if m.vec.of[name] == nil && len(m.vec.of) >= mostWriters {
			continue
		}
		for _, k := range w.marks {
			if m.vec.raise(name, k.era, k.number) {
				m.raised = append(m.raised, trackKey{m.intern(name), k.era})
				delete(m.logs, trackKey{name, k.era}) // it goes on from here
				delete(m.stopped, trackKey{name, k.era})
				raised = true
			}
		}
		if o := m.vec.of[name]; o != nil && w.floor > o.floor && len(o.marks) > 0 && o.marks[0].era >= w.floor {
			m.vec.ground(o, o.marks[0].era)
			m.raised = append(m.raised, trackKey{name, o.floor})
		}
	}
	m.barren = !raised
	for _, id := range m.ids { // nor was what it had of a kind looked at that it was thought not to know
		p.lacks[id] = p.lacks[id] || !slices.Contains(p.kinds, id)
	}
	for id, is := range p.lacks {
		if raised && is { // its vector covers what it had not
			m.dropped(id)
		}
	}
	for _, id := range p.kinds {
		s := m.kinds[id]
		switch {
		case !m.lacks[id] || m.drops[id] != p.before[id] && (!raised || !p.lacks[id] || m.drops[id] != p.before[id]+1):
		case !p.lacks[id] && (p.joint.reaches(s.upto) || m.fault.clears):
			s.full = false
			m.lack(id, false)
		case p.lacks[id] && !p.others:
			if s.seen == nil {
				s.seen = map[string]bool{}
			}
			s.seen[p.from] = true
		}
	}
	m.pull = nil
	if p.whole {
		m.event(Event{What: "caught up", Who: p.from})
	}
	m.ask(p.from)
}
