package membership

import (
	"hash/fnv"
)

// Level is how much of the last agreed fleet is seen.
type Level uint8

// The levels.
const (
	Alone    Level = iota // nobody else is heard
	Minority              // half or less
	Majority              // more than half
	Whole
)

func (l Level) String() string {
	return [...]string{"alone", "minority", "majority", "whole"}[min(l, Whole)]
}

// View is what a member believes of the fleet.
type View struct {
	Level   Level   `json:"Level"`
	Seen    int     `json:"Seen"`    // of the last agreed fleet, oneself with it; who did not answer when last asked is not seen
	Of      int     `json:"Of"`      // how many belong to it
	Sure    float64 `json:"Sure"`    // 0 to 1; the share of Of that nothing is said against, 0 while the fault is likelier here
	Doubt   bool    `json:"Doubt"`   // the fault is likelier here
	Differs int     `json:"Differs"` // members that have had another view for long
	Digest  uint64  `json:"Digest"`  // of the names that are in
}

func (v View) sees() bool { return 2*v.Seen > v.Of }

// reference names the last agreed fleet: which, and how often a majority has changed it. It is soft: members change it each
// for itself, by what all of them hear. What must never be done twice asks the log of the voters as well.
type reference struct{ fleet, generation uint64 }

const settled = 5.0 // intervals that a newcomer is there before it counts: news of it has reached all by then

// View is what is believed now.
func (m *Machine) View() View { return m.view }

// Act is something that the view has a say in.
type Act uint8

// The acts.
const (
	AnswerGETs Act = iota // by one's own knowledge
	Narrow                // by what peers tell
	Widen                 // a limit, or the use of a host, by what peers tell
	Accuse                // others of having failed
	Count                 // newcomers into the last agreed fleet
	Forget                // members of it that are gone
	Decide                // what needs a majority: duties, shares of budgets, changes
)

// Acts names them, as docs/members.md does.
var Acts = [...]string{
	"GETs are answered by own knowledge", "peers' word narrows what is done", "peers' word widens a limit or makes a host usable",
	"others are held to have failed", "newcomers count", "those long gone are let go of", "what needs a majority goes on",
}

// Allowed tells what may be done in a view; doubt is that the fault is likelier here.
func Allowed(a Act, l Level, doubt bool) bool {
	switch a {
	case AnswerGETs:
		return true
	case Narrow:
		return l > Alone && !doubt
	case Accuse:
		return !doubt
	case Count, Forget, Decide:
		return l >= Majority && !doubt
	}
	return false
}

// May tells whether it may be done now.
func (m *Machine) May(a Act) bool {
	if m.standing != Belongs {
		return a == AnswerGETs
	}
	return Allowed(a, m.view.Level, m.view.Doubt)
}

// look works out what is seen, and tells when that has changed.
func (m *Machine) look() {
	doubt := m.doubts()
	if !m.dirty && doubt == m.view.Doubt {
		return
	}
	m.dirty = false
	silent := m.now-m.heard > m.quiet() && m.In() > 0
	c := m.census(silent)
	v := c.View
	v.Doubt = doubt
	switch {
	case m.standing != Belongs, silent, c.others == 0 && (len(m.s.Peers) > 0 || len(m.list) > 0):
		v.Level = Alone
	case v.Seen == v.Of:
		v.Level = Whole
	case v.sees():
		v.Level = Majority
	default:
		v.Level = Minority
	}
	if !doubt && v.Of > 0 {
		v.Sure = 1 - float64(c.suspects)/float64(v.Of)
	}
	was := m.view
	if m.view = v; was.Level != v.Level || was.Of == 0 {
		m.event(Event{Name: m.self.Name, What: v.Level.String(), Zone: m.self.Zone, Seen: v.Seen, Of: v.Of})
	}
	if was.Doubt != doubt {
		m.event(Event{Name: m.self.Name, What: map[bool]string{true: "doubt", false: "sure"}[doubt], Zone: m.self.Zone})
	}
}

// census is a view in the making.
type census struct {
	View
	suspects int // of those that count
	others   int // members but this one
}

// census counts the members; silent tells whether nothing is heard of any.
func (m *Machine) census(silent bool) (c census) {
	c.add(m.counted, true, false)
	c.Digest = hash(m.self.Name)
	for _, p := range m.list {
		c.add(p.counted, p.State == Alive && !p.silent && !silent, p.State == Suspect || p.silent)
		if p.State.In() {
			c.others++
			c.Digest ^= hash(p.Name)
		}
		if p.differs > 0 && p.toldOf {
			c.Differs++
		}
	}
	return c
}

// add counts one member, if it counts for a majority.
func (c *census) add(counted, seen, suspect bool) {
	if !counted {
		return
	}
	c.Of++
	if seen {
		c.Seen++
	}
	if suspect {
		c.suspects++
	}
}

// settle counts newcomers that have been there for long enough.
func (m *Machine) settle() {
	if !m.May(Count) && len(m.list) > 0 && m.view.Of > 0 {
		return
	}
	changed := false
	for _, p := range m.list {
		if p.State == Alive && !p.counted && m.now-p.since >= m.span(settled) {
			p.counted, changed = true, true
		}
	}
	if !m.counted && m.May(Count) {
		m.counted, changed = true, true
	}
	if changed {
		m.reference.generation++
		m.dirty = true
	}
}

// merge takes another's last agreed fleet in place of the own one where that counts: of one fleet the later; of two that came
// up apart that which has lost its majority, as it may yet be cut off from the rest; else the larger.
func (m *Machine) merge(in Message) {
	mine, theirs := m.reference, reference{in.Fleet, in.Reference}
	takes := theirs.generation > mine.generation
	if mine.fleet != theirs.fleet {
		sees, of := m.view.sees(), uint32(m.view.Of)
		switch {
		case sees != in.Sees:
			takes = sees
		case of != in.Of:
			takes = in.Of > of
		default:
			takes = theirs.fleet < mine.fleet
		}
	}
	if !takes {
		return
	}
	m.reference, m.dirty, m.counted = theirs, true, false
	for _, p := range m.list {
		p.counted = p.Name == in.From.Name && in.From.Counted
	}
	for _, r := range in.News {
		if r.Name == m.self.Name {
			m.counted = r.Counted
		} else if p := m.byName[r.Name]; p != nil && p.State != Left {
			p.counted = r.Counted
		}
	}
}

// compare holds another's view against the own one. Those that differ for long are told, and tables are exchanged.
func (m *Machine) compare(in Message) {
	p := m.byName[in.From.Name]
	if p == nil || in.Digest == 0 {
		return
	}
	switch {
	case in.Digest == m.view.Digest:
		if p.toldOf {
			m.event(Event{Name: p.Name, What: "agrees", Zone: p.Zone})
			m.dirty = true
		}
		p.differs, p.toldOf = 0, false
	case p.differs == 0:
		p.differs = m.now
	case m.now-p.differs > m.span(differsFor) && !p.toldOf:
		p.toldOf, m.dirty = true, true
		m.event(Event{Name: p.Name, What: "differs", Zone: p.Zone})
		fallthrough
	case m.now-p.differs > m.span(differsFor)/4 && m.tables.take(m.now, tablesAtOne/4):
		m.sendTable(p.Address, 0, true)
	}
}

func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
