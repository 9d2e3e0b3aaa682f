package variant

import (
	"math"
	"math/bits"
)

// pairIndex returns the index of an unordered pair of classes.
func pairIndex(a, b int) int {
	if a > b {
		a, b = b, a
	}
	return b*(b-1)/2 + a
}

// canExpire reports whether evidence of a generation expires. Without a version, an answer may be as old as the
// copy that it came from.
func canExpire(v *Service, g Generation) bool { return g.Version == 0 && !math.IsInf(v.EvidenceTTL, 1) }

// RecordAnswer records an answer to a forward as evidence. It ignores an answer whose sender had not received
// every purge that is known here now. now is in seconds.
func (m *Module) RecordAnswer(now float64, a Answer) {
	v := m.service(a.Object, a.Class)
	if v == nil || a.ContentHash == 0 || a.Generation.Version == 0 && v.EvidenceTTL == 0 {
		return
	}
	i := m.find(a.Object)
	if !m.isCurrentAnswer(&a, i) {
		return
	}
	i = m.claimEntry(i, a.Object, a.Generation)
	t := m.tick(now)
	if !m.advanceGeneration(i, a.Generation) {
		return
	}
	expires := canExpire(v, a.Generation)
	at, stamp := t, Stamp{}
	if expires && a.SentAt > 0 {
		at, stamp = min(t, m.tick(a.SentAt)), m.stampRequests.newestAt(a.SentAt)
	}
	d := &m.classesOf(i)[a.Class]
	if !m.hasValidEvidence(v, i, d, t) {
		d.witnessCount = 0
	}
	if d.witnessCount > 0 && d.contentHash != a.ContentHash {
		m.recordConflict(v, i, a.Class, t)
		if expires {
			d.contentHash, d.witnessCount, d.expiresAt, d.checks, d.disputed, d.exhaustedAlternate = a.ContentHash, 1, 0, 0, false, 0
			d.firstWitness = witness{a.Host, at}
		}
		m.queueFact(outgoingFact{Fact{Object: a.Object, Class: a.Class, ContentHash: a.ContentHash, Generation: a.Generation, Split: true, SplitCount: uint32(d.splitCount), Stamp: stamp}, a.Host})
	} else if !m.confirmContent(v, i, &a, at, stamp) {
		return
	}
	m.updateJoins(v, i, t, -1)
}

// confirmContent records an answer that agrees with what is known of its class. It returns false if the answer
// changes nothing.
func (m *Module) confirmContent(v *Service, i int, a *Answer, at uint32, stamp Stamp) bool {
	d, expires := &m.classesOf(i)[a.Class], canExpire(v, a.Generation)
	reconfirms := stamp.Issuer != 0 && m.needsReconfirmation(v, i, a.Class, a.Host, at)
	isNew := (stamp.Issuer == 0 || reconfirms) && m.addWitness(v, i, a.Class, a.Host, a.ContentHash, at)
	if !isNew && int(d.witnessCount) < v.Witnesses && a.Alternate > 0 && a.Alternate <= maxAlternate {
		d.exhaustedAlternate = max(d.exhaustedAlternate, uint8(a.Alternate))
	}
	if reconfirms || isNew && (d.witnessCount == 1 || !expires) {
		m.queueFact(outgoingFact{Fact{Object: a.Object, Class: a.Class, ContentHash: a.ContentHash, Generation: a.Generation, SplitCount: uint32(d.splitCount), Stamp: stamp}, a.Host})
	}
	if d.canonical >= 0 && d.checks < math.MaxUint16 {
		d.checks++
	}
	return isNew || expires || d.canonical < 0
}

// Learn records facts received from peers. It skips facts that are outdated or invalid.
func (m *Module) Learn(now float64, facts []Fact) {
	t := m.tick(now)
	for n := range facts {
		f := &facts[n]
		v := m.service(f.Object, f.Class)
		host, ok := witnessHost(f.Witness)
		if v == nil || !ok || f.ContentHash == 0 || f.Generation.Version == 0 && v.EvidenceTTL == 0 {
			continue
		}
		if of, exact := m.floorOf(f.Object); !exact || f.Generation.Purge < of.purge {
			continue
		}
		i := m.claimEntry(m.find(f.Object), f.Object, f.Generation)
		if !m.advanceGeneration(i, f.Generation) {
			continue
		}
		m.applyFact(v, i, f, host, t)
		m.updateJoins(v, i, t, int(f.Canonical)-1)
	}
}

// applyFact records a peer's fact as evidence about its class.
func (m *Module) applyFact(v *Service, i int, f *Fact, host, t uint32) {
	d := &m.classesOf(i)[f.Class]
	if f.Split && f.SplitCount > 0 { // take the count before the split that this fact reports, because recordConflict below adds that one
		d.splitCount = max(d.splitCount, uint8(min(f.SplitCount-1, math.MaxUint8)))
	}
	expires, at, known := canExpire(v, f.Generation), t, true
	if expires {
		if at, known = m.notBefore(f.Stamp); !m.hasValidEvidence(v, i, d, t) {
			d.witnessCount = 0
		}
	}
	differs := d.witnessCount > 0 && d.contentHash != f.ContentHash
	if f.Split || differs && !expires {
		m.recordConflict(v, i, f.Class, t)
	}
	if expires && (f.Split || differs) { // evidence starts over; if the order of the contents is unknown, neither counts against the class
		for j := range int(d.witnessCount) {
			known = known && at >= m.witnessAt(i, f.Class, j).seenAt
		}
		d.witnessCount = 0
	}
	if known && (expires || !f.Split && !differs) {
		m.addWitness(v, i, f.Class, host, f.ContentHash, at)
	}
}

// claimEntry returns the object's entry in the table, which is i if that is not negative. Otherwise it takes a
// free entry of the object's set, or evicts one that was not requested since the CLOCK hand last passed it. Facts
// of peers may evict as well: if they could only take free entries, a full table would never hold the newest
// objects, about which everything is still to be learned.
func (m *Module) claimEntry(i int, o Object, g Generation) int {
	if i >= 0 {
		m.entries[i].touch()
		return i
	}
	s, tag := m.setOf(o)
	first := s * m.ways
	for w := range m.ways {
		if m.tags[s][w/4]>>(w%4*16)&0xffff == 0 {
			i = first + w
			m.usedEntries++
			break
		}
	}
	for i < 0 {
		e := &m.entries[first+int(m.hands[s])]
		if !e.referenced {
			i = first + int(m.hands[s])
		}
		e.referenced = false
		m.hands[s] = (m.hands[s] + 1) % uint8(m.ways)
	}
	word, shift := &m.tags[s][(i-first)/4], (i-first)%4*16
	*word = *word&^(0xffff<<shift) | tag<<shift
	m.entries[i] = entry{object: o, generation: g, referenced: true}
	for j := range m.classesOf(i) {
		m.classesOf(i)[j] = class{canonical: -1, lastCanonical: -1, warmFrom: -1}
	}
	return i
}

// advanceGeneration discards evidence of an older generation. It returns false if g itself is older than the
// entry's generation.
func (m *Module) advanceGeneration(i int, g Generation) bool {
	e := &m.entries[i]
	switch c := g.compare(e.generation); {
	case c < 0:
		return false
	case c > 0:
		e.generation, e.checkedEpoch = g, 0
		k := m.classesOf(i)
		for j := range k {
			k[j].witnessCount, k[j].disputed, k[j].canonical, k[j].warmFrom, k[j].checks, k[j].exhaustedAlternate = 0, false, -1, -1, 0, 0
		}
	}
	return true
}

// hasValidEvidence reports whether the evidence about a class has not expired.
func (m *Module) hasValidEvidence(v *Service, i int, d *class, t uint32) bool {
	return d.witnessCount == 0 || !canExpire(v, m.entries[i].generation) || t < d.expiresAt
}

// addWitness records that a host confirmed a content, and reports whether the host is a new witness.
func (m *Module) addWitness(v *Service, i, c int, host uint32, proof uint64, t uint32) bool {
	d := &m.classes[i*m.stride+c]
	if d.witnessCount == 0 {
		d.contentHash = proof
	}
	oldest := &d.firstWitness
	for n := range int(d.witnessCount) {
		by := m.witnessAt(i, c, n)
		if by.host == host {
			if by.seenAt < t {
				by.seenAt = t
			}
			return false
		}
		if by.seenAt < oldest.seenAt {
			oldest = by
		}
	}
	if int(d.witnessCount) < v.Witnesses {
		*m.witnessAt(i, c, int(d.witnessCount)) = witness{host, t}
		d.witnessCount++
		return true
	}
	if t >= oldest.seenAt {
		*oldest = witness{host, t}
	}
	return false
}

// recordConflict records that a class had two contents in one generation.
func (m *Module) recordConflict(v *Service, i, c int, t uint32) {
	k, e := m.classesOf(i), &m.entries[i]
	joined := k[c].canonical >= 0
	for j := range k {
		if j != c {
			m.countPair(v, i, j, c, false)
		}
	}
	if !canExpire(v, e.generation) {
		k[c].disputed = true
	}
	for j := range k {
		if j != c && int(k[j].lastCanonical) == c {
			k[j].lastCanonical = -1 // the class's own content is not in question
		}
	}
	if joined {
		m.split(i, c, t)
	}
}

// holdTicks returns for how many ticks a class is held apart.
func (d *class) holdTicks() float64 {
	return min(maxSplitHold, firstSplitHold*math.Pow(2, float64(max(d.splitCount, 1)-1))) * ticksPerSecond
}

// split splits a class off and holds it apart, for longer each time.
func (m *Module) split(i, c int, t uint32) {
	d := &m.classesOf(i)[c]
	if d.lastCanonical >= 0 && float64(t-d.canonicalSince) > splitForgetFactor*d.holdTicks() {
		d.splitCount = 0
	}
	if d.splitCount < math.MaxUint8 {
		d.splitCount++
	}
	d.apartUntil = max(d.apartUntil, t+uint32(d.holdTicks()))
	d.canonical, d.lastCanonical, d.warmFrom, d.checks = -1, -1, -1, 0
	m.queueNotice(Notice{Object: m.entries[i].object, Class: c, Canonical: c, Split: true, Generation: m.entries[i].generation})
}

// classSet is a set of an object's classes, one bit each.
type classSet uint32

func (s classSet) has(c int) bool { return s&(1<<c) != 0 }

// multiple reports whether the set has more than one class.
func (s classSet) multiple() bool { return s&(s-1) != 0 }

// updateJoins recomputes which classes have the same content and which class is canonical: the current canonical
// class, otherwise the last one, otherwise the one declared first. hint is a peer's canonical class, or -1. It
// replaces the chosen class if it was declared earlier, so that all dispatchers converge on one class.
func (m *Module) updateJoins(v *Service, i int, t uint32, hint int) {
	k := m.classesOf(i)
	m.updateExpiry(v, i)
	before := m.splitDiffering(i, t)
	m.countPairs(v, i, t)
	var done classSet
	for j := range k {
		if done.has(j) {
			continue
		}
		set := m.sameContent(v, k, j, t)
		done |= set
		if !set.multiple() {
			k[j].canonical, k[j].warmFrom = -1, -1
			continue
		}
		canonical := chooseCanonical(k, &before, set)
		if hint >= 0 && set.has(hint) && hint < int(canonical) {
			canonical = int8(hint)
		}
		m.joinSet(i, set, canonical, &before, t)
	}
	e := &m.entries[i]
	for j := range k {
		if b := before[j]; b >= 0 && int(b) != j && k[j].canonical < 0 {
			m.queueNotice(Notice{Object: e.object, Class: j, Canonical: j, Split: true, Generation: e.generation})
		}
	}
}

// updateExpiry recomputes when the evidence about each class expires.
func (m *Module) updateExpiry(v *Service, i int) {
	k := m.classesOf(i)
	for j := range k {
		d := &k[j]
		d.expiresAt = math.MaxUint32
		if canExpire(v, m.entries[i].generation) {
			for w := range int(d.witnessCount) {
				d.expiresAt = min(d.expiresAt, m.witnessAt(i, j, w).seenAt+uint32(min(v.EvidenceTTL*ticksPerSecond, math.MaxUint32/2)))
			}
		}
	}
}

// contentsDiffer reports whether two classes have valid evidence of different contents at a tick.
func contentsDiffer(x, y *class, t uint32) bool {
	return x.witnessCount > 0 && y.witnessCount > 0 && x.contentHash != y.contentHash && t < min(x.expiresAt, y.expiresAt) && !x.disputed && !y.disputed
}

// splitDiffering splits off each class that differs from its last canonical class. It returns the canonical class
// of each class before the call, or -1 for those split off.
func (m *Module) splitDiffering(i int, t uint32) (before [MaxClasses]int8) {
	k := m.classesOf(i)
	for j := range k {
		before[j] = k[j].canonical
		if l := int(k[j].lastCanonical); l >= 0 && contentsDiffer(&k[j], &k[l], t) {
			before[j] = -1
			m.split(i, j, t)
		}
	}
	return before
}

// countPairs counts each pair of classes with sufficient evidence as agreeing or differing in the pattern of the
// object's group.
func (m *Module) countPairs(v *Service, i int, t uint32) {
	k := m.classesOf(i)
	for j := range k {
		for l := range j {
			if contentsDiffer(&k[j], &k[l], t) {
				m.countPair(v, i, l, j, false)
			} else if k[j].contentHash == k[l].contentHash && m.confirmed(v, &k[j], t) && m.confirmed(v, &k[l], t) {
				m.countPair(v, i, l, j, true)
			}
		}
	}
}

// sameContent returns class j and the classes declared after it that are confirmed to have its content. The set is
// empty if class j itself is not confirmed.
func (m *Module) sameContent(v *Service, k []class, j int, t uint32) (set classSet) {
	if !m.confirmed(v, &k[j], t) {
		return 0
	}
	for l := j; l < len(k); l++ {
		if m.confirmed(v, &k[l], t) && k[l].contentHash == k[j].contentHash {
			set |= 1 << l
		}
	}
	return set
}

// chooseCanonical returns the class of a set that is canonical, otherwise one that was last canonical, otherwise
// the one declared first.
func chooseCanonical(k []class, before *[MaxClasses]int8, set classSet) int8 {
	for l := range k {
		if set.has(l) && before[l] == int8(l) {
			return int8(l)
		}
	}
	for l := range k {
		if set.has(l) && k[l].lastCanonical == int8(l) {
			return int8(l)
		}
	}
	return int8(bits.TrailingZeros32(uint32(set)))
}

// joinSet makes one class the canonical class of all classes of a set.
func (m *Module) joinSet(i int, set classSet, canonical int8, before *[MaxClasses]int8, t uint32) {
	e, k := &m.entries[i], m.classesOf(i)
	for l := range k {
		if !set.has(l) {
			continue
		}
		d := &k[l]
		if d.warmFrom >= 0 && !set.has(int(d.warmFrom)) {
			d.warmFrom = -1
		}
		if d.canonical == canonical {
			continue
		}
		d.warmFrom = int8(l)
		if b := before[l]; b >= 0 && set.has(int(b)) {
			d.warmFrom = b
		}
		d.canonical, d.lastCanonical, d.canonicalSince, d.checks = canonical, canonical, t, 0
		if int8(l) != canonical {
			m.queueNotice(Notice{Object: e.object, Class: l, Canonical: int(canonical), Generation: e.generation})
		}
	}
}

// countPair counts an object as agreeing or differing in the pattern of its group, at most once for each pair of
// classes.
func (m *Module) countPair(v *Service, i, a, b int, agrees bool) {
	d, bit, e := &m.classesOf(i)[max(a, b)], uint8(1)<<min(a, b), &m.entries[i]
	if agrees && d.agreedWith&bit != 0 || !agrees && d.differedFrom&bit != 0 {
		return
	}
	if agrees {
		d.agreedWith |= bit
	} else {
		d.differedFrom |= bit
	}
	if v.Presumption == nil {
		return
	}
	p := m.patternOf(groupKey{e.object.Service, e.object.Group})
	if p == nil {
		return
	}
	if agrees {
		p.agreed[pairIndex(a, b)]++
	} else {
		p.differed[pairIndex(a, b)]++
	}
	for c := range v.Classes {
		p.presumed[c] = -1
		for d := range c {
			if x := pairIndex(d, c); p.differed[x] == 0 && int(p.agreed[x]) >= v.Presumption.MinObjects {
				p.presumed[c] = int8(d)
				break
			}
		}
	}
}

// patternOf returns the pattern of a group and creates it if necessary. It returns nil if there are too many
// groups.
func (m *Module) patternOf(g groupKey) *pattern {
	p := m.patterns[g]
	if p != nil || len(m.patterns) >= maxGroups {
		return p
	}
	p = &pattern{}
	for j := range p.presumed {
		p.presumed[j] = -1
	}
	m.patterns[g] = p
	return p
}

// PresumptionRisk estimates the probability that a presumption for a new object of a group is wrong, for the least
// certain class. The estimate is the rule of succession, 1/(n+2) after n agreeing objects and no differing one. It
// is 0 if nothing is presumed.
func (m *Module) PresumptionRisk(service, group int) float64 {
	p := m.patterns[groupKey{service, group}]
	if p == nil {
		return 0
	}
	worst := 0.0
	for c, d := range p.presumed {
		if d >= 0 {
			worst = max(worst, 1/float64(p.agreed[pairIndex(int(d), c)]+2))
		}
	}
	return worst
}

func (m *Module) queueFact(f outgoingFact) {
	if m.facts.push(f, maxFacts/max(1, m.settings.Partitions)) {
		m.droppedCount++
	}
}

func (m *Module) queueNotice(n Notice) {
	if m.notices.push(n, maxNotices/max(1, m.settings.Partitions)) {
		m.droppedCount++
	}
}

// ring is a bounded queue. If nothing is taken from a full queue, adding an item costs no more than overwriting
// one.
type ring[T any] struct {
	items       []T
	head, count int
}

// push adds an item and reports whether the oldest item was dropped to make room.
func (l *ring[T]) push(x T, limit int) (full bool) {
	if full = l.count >= limit; full {
		l.pop()
	}
	if l.count == len(l.items) {
		items := make([]T, min(limit, max(16, 2*l.count)))
		copy(items[copy(items, l.items[l.head:]):], l.items[:l.head])
		l.items, l.head = items, 0
	}
	l.items[(l.head+l.count)%len(l.items)] = x
	l.count++
	return full
}

// pop removes and returns the oldest item. The queue must not be empty.
func (l *ring[T]) pop() (x T) {
	x = l.items[l.head]
	l.head = (l.head + 1) % len(l.items)
	l.count--
	return x
}

// IsUsefulFact reports whether a sent fact is still useful; a writer deletes its facts that are not. For facts of
// other writers own is false, and only those made void by a purge that is known here are not useful.
func (m *Module) IsUsefulFact(f *Fact, own bool) bool {
	of, exact := m.floorOf(f.Object)
	if f.Generation.Purge < of.purge {
		return !exact && !own
	}
	i := m.find(f.Object)
	if !own || i < 0 || m.service(f.Object, f.Class) == nil {
		return !own
	}
	d := &m.classesOf(i)[f.Class]
	return m.entries[i].generation == f.Generation && (f.Split || d.witnessCount > 0 && d.contentHash == f.ContentHash)
}

// Facts removes and returns up to limit facts to send to peers, oldest first. It drops those that a purge has made
// void meanwhile.
func (m *Module) Facts(limit int) []Fact {
	var out []Fact
	for m.facts.count > 0 && len(out) < limit {
		f := m.facts.pop()
		i := m.find(f.fact.Object)
		if of, exact := m.floorOf(f.fact.Object); i < 0 || !exact || f.fact.Generation.Purge < of.purge {
			continue
		}
		if m.entries[i].generation == f.fact.Generation {
			f.fact.Canonical = uint8(m.classesOf(i)[f.fact.Class].canonical + 1)
		}
		f.fact.Witness = witnessName(m.settings.Self, f.host)
		out = append(out, f.fact)
	}
	return out
}

// Notices removes and returns the joins and splits since the last call.
func (m *Module) Notices() []Notice {
	var out []Notice
	for m.notices.count > 0 {
		out = append(out, m.notices.pop())
	}
	return out
}

// DroppedCount returns the number of facts and notices that were dropped because the queue was full.
func (m *Module) DroppedCount() uint64 { return m.droppedCount }

// ObjectCount returns the number of entries in use.
func (m *Module) ObjectCount() int { return m.usedEntries }
