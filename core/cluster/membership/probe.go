package membership

import (
	"math"
	"slices"
)

// Link is how another member is reached from here.
type Link uint8

// The links.
const (
	Clear  Link = iota
	Deaf        // it is heard here and does not hear us: cut one way
	Around      // it is reached by way of others alone
)

func (l Link) String() string {
	return [...]string{"clear", "deaf", "reached by others"}[min(l, Around)]
}

// probe is the one under way.
type probe struct {
	of          *peer
	boot        uint64
	seq         uint32
	at          float64
	askAt, end  float64
	asked, nack int  // helpers
	by          bool // answered by way of others
}

// favour is a ping for another member.
type favour struct {
	own         uint32 // number of the ping
	to          string // who asked
	seq         uint32
	target      Member
	nackAt, end float64
	nacked      bool
}

const mostFavours = 64 // at a time; who asks for more has the others

// stretch is how much longer waits are for the own doubt.
func (m *Machine) stretch() float64 {
	if m.s.Plain {
		return 1
	}
	return float64(1 + m.health)
}

// quiet is how long nobody is heard, in seconds, until that tells of the own link: waits that are stretched bring fewer answers.
func (m *Machine) quiet() float64 { return m.span(math.Max(quiet, 1.5*m.stretch())) }

// doubts tells whether the fault is likelier here than elsewhere: after a stall as long as nobody was heard, while nobody at
// all is, and while nobody answers. The others may be gone as well, so that this ends.
func (m *Machine) doubts() bool {
	if m.s.Plain || m.In() == 0 {
		return false
	}
	silent := m.now - m.heard
	return silent < m.span(holdMost) && (m.stalled || silent > m.quiet()) ||
		m.fails >= unheard && m.now-m.failAt < m.span(holdMost)
}

// tickProbe drives the probe under way, and begins the next.
func (m *Machine) tickProbe() {
	if p := m.probe; p != nil {
		if p.asked == 0 && m.now >= p.askAt {
			m.askHelpers(p)
		}
		if m.now >= p.end {
			m.probe = nil
			m.ended(p)
		}
	}
	for _, f := range m.asked {
		if m.now >= f.nackAt && !f.nacked {
			f.nacked = true
			m.send(f.to, Message{Kind: NackFor, Seq: f.seq, Target: f.target})
		}
	}
	m.asked = slices.DeleteFunc(m.asked, func(f *favour) bool { return m.now >= f.end })
	if m.probe == nil && m.now >= m.due.probe {
		m.due.probe = m.now + m.span(m.stretch())
		if p := m.next(); p != nil {
			m.seq++
			m.probe = &probe{of: p, boot: p.Boot, seq: m.seq, at: m.now, askAt: m.now + m.span(ackWait*m.stretch()), end: m.due.probe}
			m.ping(p, m.seq)
		}
	}
}

// next is the member to probe: each once a round in an order drawn anew, those of the own zone in all turns but some.
func (m *Machine) next() *peer {
	m.rounds++
	across := m.rounds%acrossEach == 0
	for range 2 {
		for _, want := range []bool{across, !across} {
			if p := m.draw(want); p != nil {
				return p
			}
			if !m.any(want) { // of these the round is over, not of the others
				continue
			}
			m.refill(want)
			if p := m.draw(want); p != nil {
				return p
			}
		}
	}
	return nil
}

// draw takes the first member of the own zone, or of others, out of the round; nil for none.
func (m *Machine) draw(across bool) *peer {
	for i, p := range m.round {
		if p.State.In() && m.byName[p.Name] == p && (p.Zone != m.self.Zone) == across {
			m.round = slices.Delete(m.round, i, i+1)
			return p
		}
	}
	return nil
}

// any tells whether there are members in the own zone, or in others.
func (m *Machine) any(across bool) bool {
	return slices.ContainsFunc(m.list, func(p *peer) bool { return p.State.In() && (p.Zone != m.self.Zone) == across })
}

// refill begins a round of the own zone, or of the others.
func (m *Machine) refill(across bool) {
	m.round = slices.DeleteFunc(m.round, func(p *peer) bool { return (p.Zone != m.self.Zone) == across })
	var fresh []*peer
	for _, p := range m.list {
		if p.State.In() && (p.Zone != m.self.Zone) == across {
			fresh = append(fresh, p)
		}
	}
	m.chance.Shuffle(len(fresh), func(i, j int) { fresh[i], fresh[j] = fresh[j], fresh[i] })
	m.round = append(m.round, fresh...)
}

// some draws up to so many members that fit.
func (m *Machine) some(n int, fits func(*peer) bool) (drawn []*peer) {
	seen := 0
	for _, p := range m.list {
		if !fits(p) {
			continue
		}
		seen++
		if len(drawn) < n {
			drawn = append(drawn, p)
		} else if i := m.chance.IntN(seen); i < n {
			drawn[i] = p
		}
	}
	return drawn
}

// askHelpers pings a member that has not answered once more, and has others ping it.
func (m *Machine) askHelpers(p *probe) {
	m.ping(p.of, p.seq)
	for _, h := range m.some(helpers, func(o *peer) bool { return o != p.of && o.State == Alive && o.link == Clear }) {
		p.asked++
		m.send(h.Address, Message{Kind: PingFor, Seq: p.seq, Target: p.of.Member, News: m.pack(h)})
	}
	p.asked = max(1, p.asked)
}

// answer answers a ping, whoever it is meant for: the record tells who stands here now.
func (m *Machine) answer(in Message) {
	if m.acks.take(m.now, acksAtOne) {
		m.send(in.From.Address, Message{Kind: Ack, Seq: in.Seq, News: m.pack(m.byName[in.From.Name])})
	}
}

// favour pings a member for another.
func (m *Machine) favour(in Message) {
	if len(m.asked) >= mostFavours || in.Target.Address == "" || !m.acks.take(m.now, acksAtOne) {
		return
	}
	m.seq++
	m.asked = append(m.asked, &favour{own: m.seq, to: in.From.Address, seq: in.Seq, target: in.Target, nackAt: m.now + m.span(ackWait), end: m.now + m.span(1)})
	m.send(in.Target.Address, Message{Kind: Ping, Seq: m.seq, Target: in.Target, News: m.pack(m.byName[in.Target.Name])})
}

// acked takes the answer to a ping of ours.
func (m *Machine) acked(in Message) {
	if i := slices.IndexFunc(m.asked, func(f *favour) bool { return f.own == in.Seq }); i >= 0 {
		f := m.asked[i]
		m.asked = slices.Delete(m.asked, i, i+1)
		if in.From.Name == f.target.Name {
			m.send(f.to, Message{Kind: AckFor, Seq: f.seq, Target: in.From})
		}
		return
	}
	p := m.probe
	if p == nil || p.seq != in.Seq || in.From.Name != p.of.Name {
		return
	}
	m.probe, m.fails = nil, 0
	p.of.missed = 0
	m.health = max(0, m.health-1)
	m.linked(p.of, Clear)
}

// ackedFor takes what a helper found.
func (m *Machine) ackedFor(in Message) {
	p := m.probe
	if p == nil || p.seq != in.Seq || in.Target.Name != p.of.Name {
		return
	}
	if in.Kind == NackFor {
		p.nack++
		return
	}
	m.learn(in.Target, false)
	p.by, m.fails = true, 0
}

// ended takes the end of a probe that its member did not answer itself.
func (m *Machine) ended(p *probe) {
	o := p.of
	if m.byName[o.Name] != o || o.Boot != p.boot || !o.State.In() {
		return
	}
	if o.missed++; o.missed == 1 {
		o.missAt = m.now
	}
	speaks := !m.s.Plain && o.heard > p.at // then it has not failed, whatever does not reach it
	if o.missed >= oneWay && (p.by || speaks) {
		m.linked(o, map[bool]Link{true: Deaf, false: Around}[o.heard > o.missAt])
	}
	if p.by {
		m.silence(o, false)
		return
	}
	if !speaks {
		m.silence(o, true)
	}
	if m.fails++; m.fails == 1 {
		m.failAt = m.now
	}
	if p.nack < p.asked { // helpers that say nothing may tell of the own link
		m.health = min(health, m.health+1)
	}
	if !m.doubts() && !speaks {
		m.suspect(o, m.self.Name)
	}
}

// silence books whether a member answered when it was asked last.
func (m *Machine) silence(p *peer, is bool) {
	if p.silent != is {
		p.silent = is
		m.touched()
	}
}

func (m *Machine) linked(p *peer, to Link) {
	if p.link != to {
		p.link = to
		m.event(Event{Name: p.Name, What: to.String(), By: m.self.Name, Zone: p.Zone})
	}
}

// suspect takes an accusation; more accusers shorten the time in which the member can refute it.
func (m *Machine) suspect(p *peer, by string) {
	switch {
	case p.State == Alive:
		p.State, p.By, p.since, p.accuser = Suspect, by, m.now, []string{by}
		m.touched()
		m.event(Event{Name: p.Name, What: Suspect.String(), By: by, Zone: p.Zone})
	case p.State != Suspect || slices.Contains(p.accuser, by) || len(p.accuser) > confirmed:
		return
	default:
		p.accuser = append(p.accuser, by)
	}
	p.until = p.since + m.suspicion(len(p.accuser)-1)
	r := p.Member
	r.By = by
	m.spread(r)
}

// suspicion is how long a member has to refute, in seconds, with so many further accusers.
func (m *Machine) suspicion(more int) float64 {
	n := m.In() + 1
	least := m.span(suspicion * math.Max(1, math.Log10(float64(n))))
	k := min(confirmed, n-2)
	if m.s.Plain || k < 1 {
		return least
	}
	return math.Max(least, patience*least-(patience-1)*least*math.Log(float64(more+1))/math.Log(float64(k+1)))
}

// expire condemns the suspects whose time is over, unless the fault is likelier here: then their time stands still.
func (m *Machine) expire() {
	doubts := !m.May(Accuse)
	for _, p := range m.list {
		if p.State != Suspect {
			continue
		}
		if doubts {
			p.until += m.now - m.expired
		} else if m.now >= p.until {
			p.State = Failed
			m.changed(p, p.By)
		}
	}
	m.expired = m.now
}
