package variant

import (
	"math"
	"math/bits"
)

// pair numbers the pairs of classes.
func pair(a, b int) int {
	if a > b {
		a, b = b, a
	}
	return b*(b-1)/2 + a
}

// timed tells whether evidence of a generation lapses: without a version it is as good as the copies that it came from.
func timed(v *Service, g Generation) bool { return g.Version == 0 && !math.IsInf(v.Fresh, 1) }

// Answered takes an answer to a forward as evidence, unless whoever sent it had not heard of a purge that was told here by now.
func (m *Module) Answered(now float64, a Answer) {
	v := m.service(a.Object, a.Class)
	if v == nil || a.Proof == 0 || a.Generation.Version == 0 && v.Fresh == 0 {
		return
	}
	i := m.find(a.Object)
	if !m.heard(&a, i) {
		return
	}
	i = m.place(i, a.Object, a.Generation)
	t := m.tick(now)
	if !m.advance(i, a.Generation) {
		return
	}
	lapses := timed(v, a.Generation)
	at, beat := t, Beat{}
	if lapses && a.Sent > 0 {
		at, beat = min(t, m.tick(a.Sent)), m.rounds.label(a.Sent)
	}
	d := &m.of(i)[a.Class]
	if !m.timely(v, i, d, t) {
		d.n = 0
	}
	if d.n > 0 && d.proof != a.Proof {
		m.contrary(v, i, a.Class, t)
		if lapses {
			d.proof, d.n, d.expires, d.checks, d.disputed, d.vain = a.Proof, 1, 0, 0, false, 0
			d.first = bearer{a.Host, at}
		}
		m.tell(told{Fact{Object: a.Object, Class: a.Class, Proof: a.Proof, Generation: a.Generation, Split: true, Splits: uint32(d.splits), Beat: beat}, a.Host})
	} else if !m.confirm(v, i, &a, at, beat) {
		return
	}
	m.settle(v, i, t, -1)
}

// confirm takes an answer that does not contradict what is known of its class; false if it brings nothing new.
func (m *Module) confirm(v *Service, i int, a *Answer, at uint32, beat Beat) bool {
	d, lapses := &m.of(i)[a.Class], timed(v, a.Generation)
	tells := beat.Giver != 0 && m.due(v, i, a.Class, a.Host, at)
	fresh := (beat.Giver == 0 || tells) && m.bear(v, i, a.Class, a.Host, a.Proof, at)
	if !fresh && int(d.n) < v.Witnesses && a.Beside > 0 && a.Beside <= maxBeside {
		d.vain = max(d.vain, uint8(a.Beside))
	}
	if tells || fresh && (d.n == 1 || !lapses) {
		m.tell(told{Fact{Object: a.Object, Class: a.Class, Proof: a.Proof, Generation: a.Generation, Splits: uint32(d.splits), Beat: beat}, a.Host})
	}
	if d.stands >= 0 && d.checks < math.MaxUint16 {
		d.checks++
	}
	return fresh || lapses || d.stands < 0
}

// Learn takes facts from peers. What is of no use or makes no sense is passed over.
func (m *Module) Learn(now float64, facts []Fact) {
	t := m.tick(now)
	for n := range facts {
		f := &facts[n]
		v := m.service(f.Object, f.Class)
		host, ok := hostOf(f.Witness)
		if v == nil || !ok || f.Proof == 0 || f.Generation.Version == 0 && v.Fresh == 0 {
			continue
		}
		if of, exact := m.told(f.Object); !exact || f.Generation.Purge < of.purge {
			continue
		}
		i := m.place(m.find(f.Object), f.Object, f.Generation)
		if !m.advance(i, f.Generation) {
			continue
		}
		m.weigh(v, i, f, host, t)
		m.settle(v, i, t, int(f.Stands)-1)
	}
}

// weigh takes a peer's fact as evidence of its class.
func (m *Module) weigh(v *Service, i int, f *Fact, host, t uint32) {
	d := &m.of(i)[f.Class]
	if f.Split && f.Splits > 0 { // the split below is the teller's last
		d.splits = max(d.splits, uint8(min(f.Splits-1, math.MaxUint8)))
	}
	lapses, at, known := timed(v, f.Generation), t, true
	if lapses {
		if at, known = m.since(f.Beat); !m.timely(v, i, d, t) {
			d.n = 0
		}
	}
	differs := d.n > 0 && d.proof != f.Proof
	if f.Split || differs && !lapses {
		m.contrary(v, i, f.Class, t)
	}
	if lapses && (f.Split || differs) { // evidence is asked for anew; where nobody knows which is newer nothing is held against the class
		for j := range int(d.n) {
			known = known && at >= m.borne(i, f.Class, j).at
		}
		d.n = 0
	}
	if known && (lapses || !f.Split && !differs) {
		m.bear(v, i, f.Class, host, f.Proof, at)
	}
}

// place takes an object's place in the table for evidence of a generation, also of a peer's, unless it was found to have place i: what has not
// been asked for since the hand came by goes. Places for facts only where one is free leave the newest objects, of which all is yet to be
// learned, out of a full table.
func (m *Module) place(i int, o Object, g Generation) int {
	if i >= 0 {
		m.entries[i].touch()
		return i
	}
	s, tag := m.set(o)
	first := s * m.ways
	for w := range m.ways {
		if m.tags[s][w/4]>>(w%4*16)&0xffff == 0 {
			i = first + w
			m.used++
			break
		}
	}
	for i < 0 {
		e := &m.entries[first+int(m.hands[s])]
		if !e.ref {
			i = first + int(m.hands[s])
		}
		e.ref = false
		m.hands[s] = (m.hands[s] + 1) % uint8(m.ways)
	}
	word, shift := &m.tags[s][(i-first)/4], (i-first)%4*16
	*word = *word&^(0xffff<<shift) | tag<<shift
	m.entries[i] = entry{object: o, generation: g, ref: true}
	for j := range m.of(i) {
		m.of(i)[j] = class{stands: -1, last: -1, from: -1}
	}
	return i
}

// advance voids what is of an older generation; false where g is older itself.
func (m *Module) advance(i int, g Generation) bool {
	e := &m.entries[i]
	switch c := g.compare(e.generation); {
	case c < 0:
		return false
	case c > 0:
		e.generation, e.epoch = g, 0
		k := m.of(i)
		for j := range k {
			k[j].n, k[j].disputed, k[j].stands, k[j].from, k[j].checks, k[j].vain = 0, false, -1, -1, 0, 0
		}
	}
	return true
}

// timely tells whether a class's evidence has not lapsed.
func (m *Module) timely(v *Service, i int, d *class, t uint32) bool {
	return d.n == 0 || !timed(v, m.entries[i].generation) || t < d.expires
}

// bear takes a witness; it tells whether it is a new one.
func (m *Module) bear(v *Service, i, c int, host uint32, proof uint64, t uint32) bool {
	d := &m.classes[i*m.stride+c]
	if d.n == 0 {
		d.proof = proof
	}
	oldest := &d.first
	for n := range int(d.n) {
		by := m.borne(i, c, n)
		if by.host == host {
			if by.at < t {
				by.at = t
			}
			return false
		}
		if by.at < oldest.at {
			oldest = by
		}
	}
	if int(d.n) < v.Witnesses {
		*m.borne(i, c, int(d.n)) = bearer{host, t}
		d.n++
		return true
	}
	if t >= oldest.at {
		*oldest = bearer{host, t}
	}
	return false
}

// contrary takes that a class had two contents in one generation.
func (m *Module) contrary(v *Service, i, c int, t uint32) {
	k, e := m.of(i), &m.entries[i]
	joined := k[c].stands >= 0
	for j := range k {
		if j != c {
			m.count(v, i, j, c, false)
		}
	}
	if !timed(v, e.generation) {
		k[c].disputed = true
	}
	for j := range k {
		if j != c && int(k[j].last) == c {
			k[j].last = -1 // its own content is not in question
		}
	}
	if joined {
		m.split(i, c, t)
	}
}

// apart is for how long a class is held apart, in ticks.
func (d *class) apart() float64 {
	return min(holdMost, hold*math.Pow(2, float64(max(d.splits, 1)-1))) * ticks
}

// split holds a class apart, for longer with each time.
func (m *Module) split(i, c int, t uint32) {
	d := &m.of(i)[c]
	if d.last >= 0 && float64(t-d.since) > forgiven*d.apart() {
		d.splits = 0
	}
	if d.splits < math.MaxUint8 {
		d.splits++
	}
	d.until = max(d.until, t+uint32(d.apart()))
	d.stands, d.last, d.from, d.checks = -1, -1, -1, 0
	m.notice(Notice{Object: m.entries[i].object, Class: c, Standing: c, Split: true, Generation: m.entries[i].generation})
}

// classSet is a set of an object's classes, a bit each.
type classSet uint32

func (s classSet) has(c int) bool { return s&(1<<c) != 0 }

// several tells whether there is more than one.
func (s classSet) several() bool { return s&(s-1) != 0 }

// settle works out anew which classes are one, and which stands: the one that stood, then the one that stood last, then the first declared.
// hint is a class that stands at a peer: it takes over if it was declared earlier, so that all dispatchers end with one.
func (m *Module) settle(v *Service, i int, t uint32, hint int) {
	k := m.of(i)
	m.expire(v, i)
	before := m.divide(i, t)
	m.compare(v, i, t)
	var done classSet
	for j := range k {
		if done.has(j) {
			continue
		}
		set := m.same(v, k, j, t)
		done |= set
		if !set.several() {
			k[j].stands, k[j].from = -1, -1
			continue
		}
		stands := standing(k, &before, set)
		if hint >= 0 && set.has(hint) && hint < int(stands) {
			stands = int8(hint)
		}
		m.join(i, set, stands, &before, t)
	}
	e := &m.entries[i]
	for j := range k {
		if b := before[j]; b >= 0 && int(b) != j && k[j].stands < 0 {
			m.notice(Notice{Object: e.object, Class: j, Standing: j, Split: true, Generation: e.generation})
		}
	}
}

// expire works out anew when the evidence of each class lapses.
func (m *Module) expire(v *Service, i int) {
	k := m.of(i)
	for j := range k {
		d := &k[j]
		d.expires = math.MaxUint32
		if timed(v, m.entries[i].generation) {
			for w := range int(d.n) {
				d.expires = min(d.expires, m.borne(i, j, w).at+uint32(min(v.Fresh*ticks, math.MaxUint32/2)))
			}
		}
	}
}

// differ tells whether the evidence of two classes is good at a tick and of two contents.
func differ(x, y *class, t uint32) bool {
	return x.n > 0 && y.n > 0 && x.proof != y.proof && t < min(x.expires, y.expires) && !x.disputed && !y.disputed
}

// divide splits the classes that differ from the one that stood for them last. It gives the classes that stood for each but for those.
func (m *Module) divide(i int, t uint32) (before [MaxClasses]int8) {
	k := m.of(i)
	for j := range k {
		before[j] = k[j].stands
		if l := int(k[j].last); l >= 0 && differ(&k[j], &k[l], t) {
			before[j] = -1
			m.split(i, j, t)
		}
	}
	return before
}

// compare counts each pair of classes whose evidence is good for or against the pattern of the object's group.
func (m *Module) compare(v *Service, i int, t uint32) {
	k := m.of(i)
	for j := range k {
		for l := range j {
			if differ(&k[j], &k[l], t) {
				m.count(v, i, l, j, false)
			} else if k[j].proof == k[l].proof && m.sure(v, &k[j], t) && m.sure(v, &k[l], t) {
				m.count(v, i, l, j, true)
			}
		}
	}
}

// same is the set of a class and those declared after it that are sure to have its content; empty where it is not sure itself.
func (m *Module) same(v *Service, k []class, j int, t uint32) (set classSet) {
	if !m.sure(v, &k[j], t) {
		return 0
	}
	for l := j; l < len(k); l++ {
		if m.sure(v, &k[l], t) && k[l].proof == k[j].proof {
			set |= 1 << l
		}
	}
	return set
}

// standing is the class of a set that stood, or else stood last, or else was declared first.
func standing(k []class, before *[MaxClasses]int8, set classSet) int8 {
	for l := range k {
		if set.has(l) && before[l] == int8(l) {
			return int8(l)
		}
	}
	for l := range k {
		if set.has(l) && k[l].last == int8(l) {
			return int8(l)
		}
	}
	return int8(bits.TrailingZeros32(uint32(set)))
}

// join has one class of a set stand for all of it.
func (m *Module) join(i int, set classSet, stands int8, before *[MaxClasses]int8, t uint32) {
	e, k := &m.entries[i], m.of(i)
	for l := range k {
		if !set.has(l) {
			continue
		}
		d := &k[l]
		if d.from >= 0 && !set.has(int(d.from)) {
			d.from = -1
		}
		if d.stands == stands {
			continue
		}
		d.from = int8(l)
		if b := before[l]; b >= 0 && set.has(int(b)) {
			d.from = b
		}
		d.stands, d.last, d.since, d.checks = stands, stands, t, 0
		if int8(l) != stands {
			m.notice(Notice{Object: e.object, Class: l, Standing: int(stands), Generation: e.generation})
		}
	}
}

// count takes an object for or against the pattern of its group, once for a pair.
func (m *Module) count(v *Service, i, a, b int, agrees bool) {
	d, bit, e := &m.of(i)[max(a, b)], uint8(1)<<min(a, b), &m.entries[i]
	if agrees && d.agreed&bit != 0 || !agrees && d.against&bit != 0 {
		return
	}
	if agrees {
		d.agreed |= bit
	} else {
		d.against |= bit
	}
	if v.Presume == nil {
		return
	}
	p := m.patternOf(group{e.object.Service, e.object.Group})
	if p == nil {
		return
	}
	if agrees {
		p.agreed[pair(a, b)]++
	} else {
		p.against[pair(a, b)]++
	}
	for c := range v.Classes {
		p.stands[c] = -1
		for d := range c {
			if x := pair(d, c); p.against[x] == 0 && int(p.agreed[x]) >= v.Presume.Objects {
				p.stands[c] = int8(d)
				break
			}
		}
	}
}

// patternOf is the pattern of a group, a new one where there was none; nil where there are too many groups.
func (m *Module) patternOf(g group) *pattern {
	p := m.patterns[g]
	if p != nil || len(m.patterns) >= maxGroups {
		return p
	}
	p = &pattern{}
	for j := range p.stands {
		p.stands[j] = -1
	}
	m.patterns[g] = p
	return p
}

// Wrong estimates the chance that what is presumed for a new object of a group is wrong, at worst over its classes: by the rule of
// succession, 1/(n+2) after n objects with none against. 0 where nothing is presumed.
func (m *Module) Wrong(service, g int) float64 {
	p := m.patterns[group{service, g}]
	if p == nil {
		return 0
	}
	worst := 0.0
	for c, d := range p.stands {
		if d >= 0 {
			worst = max(worst, 1/float64(p.agreed[pair(int(d), c)]+2))
		}
	}
	return worst
}

func (m *Module) tell(f told) {
	if m.facts.push(f, maxFacts/max(1, m.s.Parts)) {
		m.dropped++
	}
}

func (m *Module) notice(n Notice) {
	if m.notices.push(n, maxNotices/max(1, m.s.Parts)) {
		m.dropped++
	}
}

// line is what waits, the oldest first, in a ring: where nobody takes it a new one costs no more than its place.
type line[T any] struct {
	items    []T
	first, n int
}

// push adds one; it tells whether the oldest had to go for it.
func (l *line[T]) push(x T, most int) (full bool) {
	if full = l.n >= most; full {
		l.pop()
	}
	if l.n == len(l.items) {
		items := make([]T, min(most, max(16, 2*l.n)))
		copy(items[copy(items, l.items[l.first:]):], l.items[:l.first])
		l.items, l.first = items, 0
	}
	l.items[(l.first+l.n)%len(l.items)] = x
	l.n++
	return full
}

// pop takes the oldest.
func (l *line[T]) pop() (x T) {
	x = l.items[l.first]
	l.first = (l.first + 1) % len(l.items)
	l.n--
	return x
}

// Keeps tells whether a fact that was told is still of use: its writer deletes it otherwise. Of another writer's it is asked with own false,
// and only what a purge voided that was told here is of none.
func (m *Module) Keeps(f *Fact, own bool) bool {
	of, exact := m.told(f.Object)
	if f.Generation.Purge < of.purge {
		return !exact && !own
	}
	i := m.find(f.Object)
	if !own || i < 0 || m.service(f.Object, f.Class) == nil {
		return !own
	}
	d := &m.of(i)[f.Class]
	return m.entries[i].generation == f.Generation && (f.Split || d.n > 0 && d.proof == f.Proof)
}

// Facts takes what peers are to be told, the oldest first. What a purge voided meanwhile is left out.
func (m *Module) Facts(most int) []Fact {
	var out []Fact
	for m.facts.n > 0 && len(out) < most {
		f := m.facts.pop()
		i := m.find(f.fact.Object)
		if of, exact := m.told(f.fact.Object); i < 0 || !exact || f.fact.Generation.Purge < of.purge {
			continue
		}
		if m.entries[i].generation == f.fact.Generation {
			f.fact.Stands = uint8(m.of(i)[f.fact.Class].stands + 1)
		}
		f.fact.Witness = witness(m.s.Self, f.host)
		out = append(out, f.fact)
	}
	return out
}

// Notices takes the joins and splits since it was last asked.
func (m *Module) Notices() []Notice {
	var out []Notice
	for m.notices.n > 0 {
		out = append(out, m.notices.pop())
	}
	return out
}

// Dropped counts facts and notices that nobody took in time.
func (m *Module) Dropped() uint64 { return m.dropped }

// Objects counts those in the table.
func (m *Module) Objects() int { return m.used }
