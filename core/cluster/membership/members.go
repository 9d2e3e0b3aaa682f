// Package membership knows which dispatchers there are, which have failed, and how much of the fleet is seen from here: SWIM
// (Das, Gupta, Motivala) with suspicion and incarnations, and with the own doubt of Lifeguard (Dadgar and others). It is a
// state machine with no I/O, no clock and no goroutine: messages come by Step, time by Tick, and what is to be sent and told
// is taken by Ready. internal/cluster drives it over sockets, emulator without any.
//
// Invariants, held by tests: of two records of a name one always says more, whatever the order in which they come, so that
// all end with the same; only a member itself raises its incarnation, so that old news never brings one back that left; who
// has been stalled, or hears nobody, accuses nobody; a fleet that is cut in parts has a majority in one of them at most.
package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// State is what is thought of a member. Of two records of one incarnation the higher one counts.
type State uint8

// The states.
const (
	Alive State = iota
	Suspect
	Failed
	Left
)

func (s State) String() string {
	return [...]string{"alive", "suspect", "failed", "left"}[min(s, Left)]
}

// In tells whether it counts as there.
func (s State) In() bool { return s <= Suspect }

// Load is what a member tells of its work.
type Load struct {
	GETs   uint16 `json:"GETs"`   // a second
	Shed   uint8  `json:"Shed"`   // of 255, of them
	Memory uint8  `json:"Memory"` // of 255, of its limit
}

// Vote is what a member tells of itself as a voter of the log; the zero value is none.
type Vote struct {
	ID       uint64 `json:"ID"`       // of its disk
	Council  uint64 `json:"Council"`  // of the log that it votes in, 0 for none yet
	Era      uint32 `json:"Era"`      // of the disk
	Recovery uint32 `json:"Recovery"` // how often the log was recovered
}

// Member is a record of one: what it told of itself, and what is thought of it.
type Member struct {
	Name        string `json:"Name"`
	Address     string `json:"Address"`
	Zone        string `json:"Zone"`
	Boot        uint64 `json:"Boot"`        // drawn at its start: two processes of one name differ in it
	Incarnation uint64 `json:"Incarnation"` // raised by itself alone; the upper half by each start that finds a record of its name
	Version     uint32 `json:"Version"`     // of what follows, within the incarnation
	Wire        uint8  `json:"Wire"`
	Generation  uint32 `json:"Generation"` // of its settings
	Load        Load   `json:"Load"`
	Vote        Vote   `json:"Vote"`
	State       State  `json:"State"`
	By          string `json:"By"`      // who accused it
	Counted     bool   `json:"Counted"` // to whoever tells, it belongs to the last agreed fleet
}

const epoch = 1 << 32 // an incarnation's upper half counts starts

// beats tells whether a record says more than another of the same name. Of twins, which came up apart with the same
// incarnation, the lower boot counts.
func (m *Member) beats(o *Member) bool {
	switch {
	case m.Incarnation != o.Incarnation:
		return m.Incarnation > o.Incarnation
	case m.Boot != o.Boot:
		return m.Boot < o.Boot
	}
	return m.State > o.State
}

// Bytes is about what a record takes in a datagram.
func (m *Member) Bytes() int {
	vote := 0
	if m.Vote.ID != 0 {
		vote = 32
	}
	return 48 + vote + len(m.Name) + len(m.Address) + len(m.Zone) + len(m.By)
}

// Kind is what a message is for.
type Kind uint8

// The kinds.
const (
	Ping    Kind = 1 + iota // answered by Ack
	PingFor                 // asks another to ping Target; answered by AckFor, or NackFor where that did not answer
	Ack
	AckFor
	NackFor
	Join    // asks to be taken in, and for the table
	Table   // all that is known; answered by nothing
	Refused // a live member has the name already
)

// Message goes between two members.
type Message struct {
	Kind   Kind
	From   Member // as it is now
	Seq    uint32
	Target Member   // whom a Ping is for, or who is asked about
	News   []Member // of others; all of them in a Table
	Digest uint64   // of the names that are in, as the sender sees it
	Sees   bool     // the sender sees a majority
	Wants  bool     // of a Table: the receiver's is wanted too

	Fleet, Reference uint64 // of a Table or a Join: the last agreed fleet
	Of               uint32 // and how many belong to it
}

// Envelope is a message on its way out.
type Envelope struct {
	To     string // address
	Stream bool   // longer than a datagram may be
	Message
}

// Event is a change that is worth telling.
type Event struct {
	At       float64
	Name     string
	What     string // "alive", "suspect", "failed", "left", "joined", "ousted", "doubt", "deaf", "reached by others", "clear", "differs", or a view
	By       string
	Zone     string
	Seen, Of int // of a view
}

// Settings is what a member is told at its start.
type Settings struct {
	Name, Address, Zone string
	Peers               []string // addresses of some to begin with
	Boot, Seed          uint64
	Wire                uint8
	Generation          uint32
	Interval            float64 // s between probes; 0 for the default
	Plain               bool    // SWIM without own doubt, to compare with
	Remembered          Agreed  // from before its start; the zero value where nothing is
}

// Agreed is the last agreed fleet, as a member keeps it over a restart. Guards against several that start anew while they are
// cut off, and would take themselves for a whole fleet.
type Agreed struct {
	Fleet      uint64  `json:"Fleet"`
	Generation uint64  `json:"Generation"`
	Counted    bool    `json:"Counted"` // oneself
	Others     []Place `json:"Others"`
}

// Place is where a member of it was.
type Place struct {
	Name    string `json:"Name"`
	Address string `json:"Address"`
	Zone    string `json:"Zone"`
}

// Figures of the protocol. Times without a unit are in intervals.
const (
	DefaultInterval = 1.0  // s; a probe each: SWIM's own period
	Most            = 2000 // members: a table of them all is some 200 KB
	NewsBytes       = 900  // of a datagram of 1,400: the rest is the sender, the target, and the seal

	ackWait     = 0.4 // a probe that is not answered by then is tried by way of others; LAN answers take a thousandth of it
	helpers     = 3   // asked to ping another: SWIM's k
	acrossEach  = 5   // one probe of so many goes to another zone, where they cost most
	spread      = 4   // times the logarithm of the fleet that news is passed on: memberlist's
	suspicion   = 4.0 // times the logarithm of the fleet, the shortest suspicion: memberlist's
	patience    = 6.0 // times that, the longest: Lifeguard's
	confirmed   = 3   // accusers that make it shortest: Lifeguard's
	health      = 8   // the most by which own doubt stretches waits: Lifeguard's
	pause       = 2.0 // between two ticks: who was away for longer was stalled
	quiet       = 4.0 // with nothing heard from anybody: likely it is oneself who is cut off
	holdMost    = 60.0
	syncEach    = 30.0  // a full exchange with one member, should news have been lost
	syncFew     = 50.0  // members; with more, tables are longer and exchanged more seldom, at the same bytes a second
	healEach    = 4.0   // one that failed, or a peer that is not known, is tried: cuts heal
	joinEach    = 2.0   // until somebody answered
	keep        = 600.0 // a member that failed or left is remembered: long enough for all to hear it, or to refute it
	differsFor  = 40.0  // views that differ for so long are told
	oneWay      = 3     // direct probes in a row that are lost while others reach it tell of a link
	lookEach    = 0.25  // all members are looked over
	unheard     = 4     // probes in a row that nobody answers: likely it is oneself who is not heard
	tablesAtOne = 8.0   // tables that are sent at once, and an interval: joining fleets take turns
	acksAtOne   = 400.0 // answers at once, and an interval, to whoever holds the key
	mostEvents  = 256   // that wait to be taken
)

// Machine is one member.
type Machine struct {
	s       Settings
	self    Member
	now     float64
	chance  *rand.Rand
	byName  map[string]*peer
	list    []*peer // in the order of coming
	out     []Envelope
	events  []Event
	dropped int // events that nobody took

	standing Standing
	counted  bool // oneself belongs to the last agreed fleet
	news     []*rumour
	seq      uint32
	probe    *probe
	asked    []*favour
	fails    int     // probes in a row that nobody answered
	failAt   float64 // the first of them
	ins      int     // others that are in; below 0 it is to be counted anew
	round    []*peer // still to be probed in this round, near ones and others
	rounds   int
	health   int
	heard    float64 // when anybody was
	ticked   float64
	stalled  bool // and has not heard anybody since
	due      struct{ probe, sync, heal, join, look float64 }
	tables   bucket
	acks     bucket
	joined   bool // somebody answered, or came
	joinSeq  uint32
	view     View
	dirty    bool
	peerAt   int
	expired  float64  // when suspicions were last looked over
	selves   int      // former selves that were met at the own address
	known    []string // addresses, of one who is ousted

	reference reference
}

// Standing is what a process is to the fleet.
type Standing uint8

// The standings.
const (
	Belongs Standing = iota // one of it
	Ousted                  // another process has its name
	Away                    // it left
)

func (s Standing) String() string { return [...]string{"member", "ousted", "left"}[s] }

// peer is another member.
type peer struct {
	Member
	since   float64 // of its state
	heard   float64 // when it last spoke to us itself
	missed  int     // direct probes in a row
	missAt  float64 // the first of them
	silent  bool    // the last probe was answered neither by it nor by way of others
	link    Link
	accuser []string // of a suspect, each once
	until   float64  // a suspicion's end
	counted bool     // belongs to the last agreed fleet
	differs float64  // since when its digest is another, 0 while it is not
	toldOf  bool     // and that was told
}

// bucket bounds a rate.
type bucket struct{ left, at float64 }

func (b *bucket) take(now, rate float64) bool {
	b.left = math.Min(rate, b.left+(now-b.at)*rate)
	if b.at = now; b.left < 1 {
		return false
	}
	b.left--
	return true
}

// New makes a member that knows its settings alone.
func New(s Settings, now float64) *Machine {
	s.Interval = cmp.Or(s.Interval, DefaultInterval)
	m := &Machine{
		s: s, now: now, ticked: now, heard: now, chance: rand.New(rand.NewPCG(s.Seed, s.Boot)), byName: map[string]*peer{},
		ins: -1, counted: true, dirty: true, expired: now, reference: reference{fleet: s.Boot},
	}
	m.self = Member{Name: s.Name, Address: s.Address, Zone: s.Zone, Boot: s.Boot, Wire: s.Wire, Generation: s.Generation, Incarnation: epoch}
	m.tables, m.acks = bucket{tablesAtOne, now}, bucket{acksAtOne, now}
	m.due.probe, m.due.sync = now+m.jitter(1), now+m.jitter(syncEach)
	m.due.heal, m.due.join, m.joined = now+m.jitter(healEach), now, len(s.Peers) == 0
	if r := s.Remembered; r.Fleet != 0 && len(r.Others) < Most {
		m.reference, m.counted = reference{r.Fleet, r.Generation}, r.Counted
		for _, o := range r.Others {
			if o.Name != s.Name && m.byName[o.Name] == nil {
				p := &peer{Member: Member{Name: o.Name, Address: o.Address, Zone: o.Zone, State: Failed}, since: now, heard: math.Inf(-1), counted: true}
				m.byName[o.Name], m.list = p, append(m.list, p)
			}
		}
	}
	m.look()
	return m
}

// Agreed is the last agreed fleet as it stands.
func (m *Machine) Agreed() Agreed {
	a := Agreed{Fleet: m.reference.fleet, Generation: m.reference.generation, Counted: m.counted}
	for _, p := range m.list {
		if p.counted {
			a.Others = append(a.Others, Place{p.Name, p.Address, p.Zone})
		}
	}
	slices.SortFunc(a.Others, func(x, y Place) int { return cmp.Compare(x.Name, y.Name) })
	return a
}

// span is a time in intervals as seconds.
func (m *Machine) span(intervals float64) float64 { return intervals * m.s.Interval }

// jitter is a random part of a time in intervals, in seconds: members started at once do not act at once.
func (m *Machine) jitter(intervals float64) float64 { return m.span(intervals) * m.chance.Float64() }

// Ready takes what is to be sent and told. Envelopes may be sent in any order, or be lost.
func (m *Machine) Ready() (send []Envelope, tell []Event) {
	send, tell = m.out, m.events
	m.out, m.events = nil, nil
	return send, tell
}

// Self is the own record.
func (m *Machine) Self() Member { return m.self }

// Standing is what this process is to the fleet.
func (m *Machine) Standing() Standing { return m.standing }

// Dropped is the events that nobody took in time.
func (m *Machine) Dropped() int { return m.dropped }

// Known is what is thought of another member.
type Known struct {
	Member
	Since     float64 `json:"Since"` // of its state
	Heard     float64 `json:"Heard"` // when it last spoke to us itself, below 0 for never
	Link      Link    `json:"Link"`
	Reference bool    `json:"Reference"` // it belongs to the last agreed fleet
}

// Members lists all others, by name.
func (m *Machine) Members() []Known {
	all := make([]Known, 0, len(m.list))
	for _, p := range m.list {
		all = append(all, Known{p.Member, p.since, math.Max(p.heard, -1), p.link, p.counted})
	}
	slices.SortFunc(all, func(a, b Known) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// In is how many others are in, as far as known.
func (m *Machine) In() int {
	if m.ins < 0 {
		m.ins = 0
		for _, p := range m.list {
			if p.State.In() {
				m.ins++
			}
		}
	}
	return m.ins
}

// touched books that the view is to be worked out anew.
func (m *Machine) touched() { m.dirty, m.ins = true, -1 }

// listen books that somebody was heard.
func (m *Machine) listen() {
	if m.stalled || m.now-m.heard > m.quiet() {
		m.touched()
	}
	m.heard, m.stalled = m.now, false
}

// Tell changes what is told of the own load, settings and vote.
func (m *Machine) Tell(l Load, generation uint32, v Vote) {
	if l == m.self.Load && generation == m.self.Generation && v == m.self.Vote {
		return
	}
	m.self.Version++
	m.self.Load = l
	if generation != m.self.Generation || v != m.self.Vote {
		m.self.Generation, m.self.Vote = generation, v
		m.spread(m.self)
	}
}

// Leave has the member tell that it goes, to some at once; the rest hear it from them.
func (m *Machine) Leave(now float64) {
	m.now = now
	if m.standing != Belongs {
		return
	}
	m.self.State, m.standing = Left, Away
	m.spread(m.self)
	for _, p := range m.some(2*helpers, func(p *peer) bool { return p.State.In() }) {
		m.ping(p, 0)
	}
	m.look()
}

// event keeps one to be told.
func (m *Machine) event(e Event) {
	e.At = m.now
	if len(m.events) >= mostEvents {
		m.dropped++
		return
	}
	m.events = append(m.events, e)
}

// Step takes a message.
func (m *Machine) Step(in Message, now float64) {
	m.now = now
	if in.From.Name == "" || m.standing == Away || len(in.News) > Most {
		return
	}
	if in.From.Name == m.self.Name && in.From.Boot == m.self.Boot {
		return // one's own, sent around
	}
	switch in.Kind {
	case Join:
		m.takeIn(in)
		return
	case Refused:
		if in.Seq == m.joinSeq && in.Target.Name == m.self.Name && in.Target.Boot != m.self.Boot {
			m.oust(in.Target)
		}
		return
	case Table:
		m.takeTable(in)
		return
	}
	if m.standing == Ousted {
		return
	}
	if !m.joined { // guards against a twin that is asked something before it was taken in, and would pass for its namesake
		if m.now >= m.due.join-m.span(joinEach) {
			m.due.join = m.now + m.span(joinEach)
			m.ask(in.From.Address)
		}
		return
	}
	m.hear(in.From)
	for i := range in.News {
		m.learn(in.News[i], false)
	}
	m.compare(in)
	switch in.Kind {
	case Ping:
		m.answer(in)
	case PingFor:
		m.favour(in)
	case Ack:
		m.acked(in)
	case AckFor, NackFor:
		m.ackedFor(in)
	}
	m.look()
}

// hear takes that a member spoke to us itself.
func (m *Machine) hear(from Member) {
	m.listen()
	state := from.State
	if state != Left {
		from.State = Alive
	}
	m.learn(from, false)
	if p := m.byName[from.Name]; p != nil && p.Boot == from.Boot {
		p.heard = m.now
		m.silence(p, false)
		if p.State == Failed && state != Left && m.tables.take(m.now, tablesAtOne) { // it does not know, or its refutation is lost
			m.sendTable(p.Address, 0, true)
		}
	}
}

// Tick takes the time; to be called several times an interval.
func (m *Machine) Tick(now float64) {
	m.now = now
	away := now - m.ticked
	m.ticked = now
	if m.standing == Away {
		return
	}
	if away > m.span(pause) && !m.s.Plain {
		m.wake(away)
	}
	if m.standing == Ousted {
		m.join()
		return
	}
	m.join()
	m.tickProbe()
	if m.now >= m.due.look {
		m.due.look = m.now + m.span(lookEach)
		m.expire()
		m.forget()
		m.settle()
	}
	m.exchange()
	m.look()
}

// wake goes on after a pause: whoever seems late may be late because nobody looked. What was asked is asked anew, suspicions
// stand still for as long, and nobody is accused before somebody was heard.
func (m *Machine) wake(away float64) {
	m.stalled = true
	m.probe, m.asked, m.fails = nil, nil, 0
	for _, p := range m.list {
		p.missed = 0
		if p.State == Suspect {
			p.until += away
		}
	}
	m.health = min(health, m.health+1)
	m.due.probe = m.now
}

// Holds tells whether a member is thought to be in.
func (m *Machine) Holds(name string) bool {
	p := m.byName[name]
	return p != nil && p.State.In()
}
