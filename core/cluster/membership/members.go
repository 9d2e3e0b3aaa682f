// Package membership tracks which dispatchers exist, which have failed, and how much of the fleet is seen from this one.
// It implements SWIM (Das, Gupta, Motivala) with suspicion and incarnations, and the local health awareness of Lifeguard
// (Dadgar and others). Machine is a state machine without I/O, clock or goroutines: Step takes messages, Tick takes the
// time, and Ready returns the messages to send and the events to report. internal/cluster drives it over sockets,
// emulator without them.
//
// The tests check these invariants. Records of one name are totally ordered, so all members end with the same record
// whatever the order of arrival. Only a member itself raises its incarnation, so outdated updates never bring back a
// member that left. A member that was stalled or hears nobody does not suspect others. If the fleet is partitioned, at
// most one partition has a majority.
package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// State is the state of a member as others see it. Of two records with the same incarnation the one with the higher
// state wins.
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

// Present reports whether a member in this state counts as part of the fleet.
func (s State) Present() bool { return s <= Suspect }

// Load is the load that a member reports about itself.
type Load struct {
	GETs   uint16 `json:"GETs"`   // GETs per second
	Shed   uint8  `json:"Shed"`   // share of GETs that are shed, in units of 1/255
	Memory uint8  `json:"Memory"` // used share of the memory limit, in units of 1/255
}

// Vote is what a member reports about itself as a voter of the log. The zero value means that it is not a voter.
type Vote struct {
	ID         uint64 `json:"ID"`       // of the member's disk
	ClusterID  uint64 `json:"Council"`  // of the log in which it votes, 0 if it has not joined one yet
	DiskEpoch  uint32 `json:"Era"`      // rises with each start from the disk, so that an old copy that was put back has a lower one
	Recoveries uint32 `json:"Recovery"` // how often the log has been recovered
}

// Member is a record of one member: what it reported about itself and the state in which others see it.
type Member struct {
	Name               string `json:"Name"`
	Address            string `json:"Address"`
	Zone               string `json:"Zone"`
	BootID             uint64 `json:"Boot"`        // random number drawn at the start of the process; tells two processes of one name apart
	Incarnation        uint64 `json:"Incarnation"` // raised only by the member itself; the upper half counts starts that found a record of the same name
	Version            uint32 `json:"Version"`     // of SettingsGeneration, Load and Vote within the incarnation
	WireVersion        uint8  `json:"Wire"`
	SettingsGeneration uint32 `json:"Generation"` // of the member's settings
	Load               Load   `json:"Load"`
	Vote               Vote   `json:"Vote"`
	State              State  `json:"State"`
	AccusedBy          string `json:"By"`      // name of the member that suspected it
	InAgreedFleet      bool   `json:"Counted"` // the sender counts it in the last agreed fleet
}

const incarnationsPerStart = 1 << 32 // the upper 32 bits of an incarnation count starts

// supersedes reports whether record m wins over another record of the same name. If two processes of one name started
// separately and have the same incarnation, the lower BootID wins.
func (m *Member) supersedes(o *Member) bool {
	switch {
	case m.Incarnation != o.Incarnation:
		return m.Incarnation > o.Incarnation
	case m.BootID != o.BootID:
		return m.BootID < o.BootID
	}
	return m.State > o.State
}

// ApproxBytes returns the approximate size of the record in a datagram, in bytes.
func (m *Member) ApproxBytes() int {
	vote := 0
	if m.Vote.ID != 0 {
		vote = 32
	}
	return 48 + vote + len(m.Name) + len(m.Address) + len(m.Zone) + len(m.AccusedBy)
}

// MessageKind is the purpose of a message.
type MessageKind uint8

// The message kinds.
const (
	Ping         MessageKind = 1 + iota // answered by Ack
	PingRequest                         // asks the receiver to ping Target; answered by IndirectAck or IndirectNack
	Ack                                 // answers Ping
	IndirectAck                         // answers PingRequest: Target answered
	IndirectNack                        // answers PingRequest: Target has not answered yet
	Join                                // asks to be admitted to the fleet and to get the table
	Table                               // all records that the sender knows; not answered unless WantsTable is set
	Refused                             // answers Join: a live member already has the name
)

// Message is sent from one member to another.
type Message struct {
	Kind         MessageKind
	From         Member // the sender's current record
	Seq          uint32
	Target       Member   // the intended receiver of a Ping, or the member that the message is about
	Updates      []Member // records of other members; in a Table, of all that the sender knows
	Digest       uint64   // View.Digest of the sender
	SeesMajority bool     // the sender sees a majority of the last agreed fleet
	WantsTable   bool     // in a Table: the receiver is to answer with its own table

	AgreedFleetID, AgreedGeneration uint64 // in a Table: ID and generation of the sender's last agreed fleet; a Join has only the ID
	AgreedSize                      uint32 // number of members in that fleet
}

// Envelope is an outgoing message.
type Envelope struct {
	To     string // address
	Stream bool   // to be sent over a stream, since it may be longer than a datagram
	Message
}

// Event is a change that is reported to the owner of the Machine.
type Event struct {
	At   float64 // seconds on the caller's clock
	Name string
	// Kind is the name of a State, a Link or a Level, or one of "joined", "ousted", "doubt", "sure", "differs" and
	// "agrees". "doubt" and "sure" report the begin and the end of a suspected local fault. "differs" reports that the
	// digest of the member Name has differed from the local one for differenceReportAfter, and "agrees" that they are
	// equal again.
	Kind             string
	By               string // name or address of the member that caused the change, if any
	Zone             string
	Seen, AgreedSize int // set for a change of the level
}

// Settings are the parameters of a Machine.
type Settings struct {
	Name, Address, Zone string
	Peers               []string // addresses of members to contact first
	BootID, Seed        uint64
	WireVersion         uint8
	SettingsGeneration  uint32
	Interval            float64     // seconds between probes; 0 for DefaultInterval
	PlainSWIM           bool        // disables Lifeguard's local health awareness, for comparison
	Remembered          AgreedFleet // the agreed fleet stored before the restart; the zero value if there is none
}

// AgreedFleet is the last agreed fleet in the form that a member stores across restarts. Guards against several members
// that restart while they are cut off from the rest and would take themselves for the whole fleet.
type AgreedFleet struct {
	FleetID      uint64         `json:"Fleet"`
	Generation   uint64         `json:"Generation"`
	IncludesSelf bool           `json:"Counted"` // this member belongs to the fleet
	Others       []AgreedMember `json:"Others"`
}

// AgreedMember is the last known address and zone of a member of the agreed fleet.
type AgreedMember struct {
	Name    string `json:"Name"`
	Address string `json:"Address"`
	Zone    string `json:"Zone"`
}

// Parameters of the protocol. Times without a unit are in probe intervals.
const (
	DefaultInterval = 1.0  // seconds; one probe per interval, as in the SWIM paper
	MaxMembers      = 2000 // a table of that many members takes about 200 KB
	MaxUpdateBytes  = 900  // bytes of a 1,400-byte datagram; the rest is for the sender, the target and the encryption overhead

	ackTimeout            = 0.4   // after that time without an answer a probe is tried indirectly; LAN answers take about a thousandth of it
	indirectProbes        = 3     // number of members asked to ping a target: k in SWIM
	crossZoneEvery        = 5     // every fifth probe goes to another zone, since probes across zones cost the most
	retransmitFactor      = 4     // an update is sent this many times the logarithm of the fleet size: value of memberlist
	suspicionFactor       = 4.0   // shortest suspicion timeout, times the logarithm of the fleet size: value of memberlist
	suspicionMaxFactor    = 6.0   // longest suspicion timeout, as a multiple of the shortest: value of Lifeguard
	maxConfirmations      = 3     // number of further accusers that shorten the suspicion timeout to the minimum: value of Lifeguard
	maxHealthScore        = 8     // limit of the local health score, which lengthens timeouts: value of Lifeguard
	stallThreshold        = 2.0   // a longer time between two ticks means that this process was stalled
	silenceThreshold      = 4.0   // after that time without any message this member is probably cut off itself
	maxLocalFault         = 60.0  // a suspected local fault is ignored after that time, since the others may really be gone
	syncInterval          = 30.0  // between full table exchanges with one member, which replace lost updates
	syncScaleMembers      = 50.0  // members; in a larger fleet exchanges are rarer, so that the longer tables take the same bytes per second
	reconnectInterval     = 4.0   // between attempts to reach a failed member or an unknown peer, so that partitions heal
	joinInterval          = 2.0   // between join requests until one is answered
	forgetAfter           = 600.0 // how long a failed or left member is remembered, so that all hear of it and it can refute its failure
	differenceReportAfter = 40.0  // how long a member's view must differ before that is reported
	linkFaultProbes       = 3     // consecutive direct probes lost while other members reach the target, after which a link fault is reported
	sweepInterval         = 0.25  // between checks of all members
	unansweredThreshold   = 4     // consecutive probes without any answer, after which this member is probably not heard itself
	tableRate             = 8.0   // tables per second, and largest burst; members that join at once are served in turn
	ackRate               = 400.0 // acks per second, and largest burst, since any sender with the key can ask for them
	maxEvents             = 256   // events that wait for Ready; further ones are dropped
)

// Machine is the protocol state of one member. It is not safe for concurrent use. All times are seconds on the caller's
// monotonic clock.
type Machine struct {
	settings Settings
	self     Member
	now      float64
	rng      *rand.Rand
	byName   map[string]*peer
	peers    []*peer // in order of arrival
	outbox   []Envelope
	events   []Event
	dropped  int // events lost because Ready was not called in time

	standing            Standing
	inAgreedFleet       bool // this member belongs to the last agreed fleet
	updates             []*queuedUpdate
	lastSeq             uint32
	currentProbe        *probe
	indirectPings       []*indirectPing
	unanswered          int     // consecutive probes without any answer
	unansweredSince     float64 // time of the first of them
	presentCount        int     // number of other present members; below 0 if it must be recounted
	probeRound          []*peer // members still to be probed in this round, in this member's zone and in others
	probeCount          int
	healthScore         int
	lastContact         float64 // when any member was last heard from
	lastTick            float64
	stalled             bool // this process was stalled and has not heard from anybody since
	due                 struct{ probe, sync, reconnect, join, sweep float64 }
	tableBucket         tokenBucket
	ackBucket           tokenBucket
	joined              bool // a join request was answered, or another member has joined here
	joinSeq             uint32
	view                View
	viewStale           bool
	joinCursor          int
	suspicionsCheckedAt float64  // when suspicion timeouts were last checked
	formerRecords       int      // records of former processes of this name that were seen with this address or as gone
	rejoinAddresses     []string // addresses to ask for admission while this member is ousted

	agreed agreedVersion
}

// Standing is the relation of this process to the fleet.
type Standing uint8

// The standings.
const (
	IsMember Standing = iota // a member of the fleet
	Ousted                   // another process has this one's name
	HasLeft                  // left the fleet on request
)

func (s Standing) String() string { return [...]string{"member", "ousted", "left"}[s] }

// peer is the local record of another member.
type peer struct {
	Member
	stateSince         float64 // when the state last changed
	lastContact        float64 // when a message last came from it directly
	missed             int     // consecutive direct probes without an answer
	missedSince        float64 // time of the first of them
	unresponsive       bool    // the last probe was answered neither directly nor indirectly
	link               Link
	accusers           []string // names of the members that suspect it, each once
	suspectUntil       float64  // end of the suspicion timeout
	inAgreedFleet      bool     // belongs to the last agreed fleet
	differsSince       float64  // since when its digest has differed from the local one, 0 if it does not
	differenceReported bool     // the difference has been reported
}

// tokenBucket limits a rate per second. Its largest burst is what the rate allows in one second.
type tokenBucket struct{ tokens, updatedAt float64 }

// take consumes a token; it returns false if there is none.
func (b *tokenBucket) take(now, rate float64) bool {
	b.tokens = math.Min(rate, b.tokens+(now-b.updatedAt)*rate)
	if b.updatedAt = now; b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// New returns a member that initially knows only its settings. now is in seconds.
func New(s Settings, now float64) *Machine {
	s.Interval = cmp.Or(s.Interval, DefaultInterval)
	m := &Machine{
		settings: s, now: now, lastTick: now, lastContact: now, rng: rand.New(rand.NewPCG(s.Seed, s.BootID)), byName: map[string]*peer{},
		presentCount: -1, inAgreedFleet: true, viewStale: true, suspicionsCheckedAt: now, agreed: agreedVersion{fleetID: s.BootID},
	}
	m.self = Member{Name: s.Name, Address: s.Address, Zone: s.Zone, BootID: s.BootID, WireVersion: s.WireVersion, SettingsGeneration: s.SettingsGeneration, Incarnation: incarnationsPerStart}
	m.tableBucket, m.ackBucket = tokenBucket{tableRate, now}, tokenBucket{ackRate, now}
	m.due.probe, m.due.sync = now+m.jitter(1), now+m.jitter(syncInterval)
	m.due.reconnect, m.due.join, m.joined = now+m.jitter(reconnectInterval), now, len(s.Peers) == 0
	if r := s.Remembered; r.FleetID != 0 && len(r.Others) < MaxMembers {
		m.agreed, m.inAgreedFleet = agreedVersion{r.FleetID, r.Generation}, r.IncludesSelf
		for _, o := range r.Others {
			if o.Name != s.Name && m.byName[o.Name] == nil {
				p := &peer{Member: Member{Name: o.Name, Address: o.Address, Zone: o.Zone, State: Failed}, stateSince: now, lastContact: math.Inf(-1), inAgreedFleet: true}
				m.byName[o.Name], m.peers = p, append(m.peers, p)
			}
		}
	}
	m.updateView()
	return m
}

// AgreedFleet returns the last agreed fleet, for storage across restarts.
func (m *Machine) AgreedFleet() AgreedFleet {
	a := AgreedFleet{FleetID: m.agreed.fleetID, Generation: m.agreed.generation, IncludesSelf: m.inAgreedFleet}
	for _, p := range m.peers {
		if p.inAgreedFleet {
			a.Others = append(a.Others, AgreedMember{p.Name, p.Address, p.Zone})
		}
	}
	slices.SortFunc(a.Others, func(x, y AgreedMember) int { return cmp.Compare(x.Name, y.Name) })
	return a
}

// seconds converts a number of probe intervals to seconds.
func (m *Machine) seconds(intervals float64) float64 { return intervals * m.settings.Interval }

// jitter returns a random time below the given number of intervals, in seconds, so that members started together do not
// act at the same moments.
func (m *Machine) jitter(intervals float64) float64 { return m.seconds(intervals) * m.rng.Float64() }

// Ready returns and clears the messages to send and the events to report. Envelopes may be sent in any order and may be
// lost.
func (m *Machine) Ready() (send []Envelope, events []Event) {
	send, events = m.outbox, m.events
	m.outbox, m.events = nil, nil
	return send, events
}

// Self returns this member's own record.
func (m *Machine) Self() Member { return m.self }

// Standing returns the relation of this process to the fleet.
func (m *Machine) Standing() Standing { return m.standing }

// DroppedEvents returns the number of events lost because Ready was not called in time.
func (m *Machine) DroppedEvents() int { return m.dropped }

// KnownMember is what this member knows about another one.
type KnownMember struct {
	Member
	StateSince         float64 `json:"Since"` // when its state last changed
	LastContact        float64 `json:"Heard"` // when a message last came from it directly, -1 for never
	Link               Link    `json:"Link"`
	InLocalAgreedFleet bool    `json:"Reference"` // belongs to the last agreed fleet, as this member sees it
}

// Members returns all other known members, sorted by name.
func (m *Machine) Members() []KnownMember {
	all := make([]KnownMember, 0, len(m.peers))
	for _, p := range m.peers {
		all = append(all, KnownMember{p.Member, p.stateSince, math.Max(p.lastContact, -1), p.link, p.inAgreedFleet})
	}
	slices.SortFunc(all, func(a, b KnownMember) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// PresentCount returns the number of other members that are present.
func (m *Machine) PresentCount() int {
	if m.presentCount < 0 {
		m.presentCount = 0
		for _, p := range m.peers {
			if p.State.Present() {
				m.presentCount++
			}
		}
	}
	return m.presentCount
}

// markViewStale marks the view and the number of present members for recomputation.
func (m *Machine) markViewStale() { m.viewStale, m.presentCount = true, -1 }

// recordContact records that a message from another member arrived.
func (m *Machine) recordContact() {
	if m.stalled || m.now-m.lastContact > m.silenceLimit() {
		m.markViewStale()
	}
	m.lastContact, m.stalled = m.now, false
}

// UpdateSelf changes the load, the settings generation and the report as a voter of the log in this member's own
// record.
func (m *Machine) UpdateSelf(l Load, generation uint32, v Vote) {
	if l == m.self.Load && generation == m.self.SettingsGeneration && v == m.self.Vote {
		return
	}
	m.self.Version++
	m.self.Load = l
	if generation != m.self.SettingsGeneration || v != m.self.Vote {
		m.self.SettingsGeneration, m.self.Vote = generation, v
		m.queueUpdate(m.self)
	}
}

// Leave marks this member as left and informs some members at once; the rest learn it from them.
func (m *Machine) Leave(now float64) {
	m.now = now
	if m.standing != IsMember {
		return
	}
	m.self.State, m.standing = Left, HasLeft
	m.queueUpdate(m.self)
	for _, p := range m.randomPeers(2*indirectProbes, func(p *peer) bool { return p.State.Present() }) {
		m.sendPing(p, 0)
	}
	m.updateView()
}

// emit queues an event for Ready; it counts the event as dropped if the queue is full.
func (m *Machine) emit(e Event) {
	e.At = m.now
	if len(m.events) >= maxEvents {
		m.dropped++
		return
	}
	m.events = append(m.events, e)
}

// Step handles a received message.
func (m *Machine) Step(in Message, now float64) {
	m.now = now
	if in.From.Name == "" || m.standing == HasLeft || len(in.Updates) > MaxMembers {
		return
	}
	if in.From.Name == m.self.Name && in.From.BootID == m.self.BootID {
		return // its own message, returned by the network
	}
	switch in.Kind {
	case Join:
		m.handleJoin(in)
		return
	case Refused:
		if in.Seq == m.joinSeq && in.Target.Name == m.self.Name && in.Target.BootID != m.self.BootID {
			m.oust(in.Target)
		}
		return
	case Table:
		m.handleTable(in)
		return
	}
	if m.standing == Ousted {
		return
	}
	// Guards against a second process of the same name that receives a probe before it was admitted and would answer as
	// its namesake.
	if !m.joined {
		if m.now >= m.due.join-m.seconds(joinInterval) {
			m.due.join = m.now + m.seconds(joinInterval)
			m.sendJoin(in.From.Address)
		}
		return
	}
	m.recordSender(in.From)
	for i := range in.Updates {
		m.applyRecord(in.Updates[i], false)
	}
	m.compareViews(in)
	switch in.Kind {
	case Ping:
		m.handlePing(in)
	case PingRequest:
		m.handlePingRequest(in)
	case Ack:
		m.handleAck(in)
	case IndirectAck, IndirectNack:
		m.handleIndirectAck(in)
	}
	m.updateView()
}

// recordSender records that a message came directly from a member.
func (m *Machine) recordSender(from Member) {
	m.recordContact()
	state := from.State
	if state != Left {
		from.State = Alive
	}
	m.applyRecord(from, false)
	if p := m.byName[from.Name]; p != nil && p.BootID == from.BootID {
		p.lastContact = m.now
		m.setUnresponsive(p, false)
		// A failed member that still sends does not know that it counts as failed, or its refutation was lost.
		if p.State == Failed && state != Left && m.tableBucket.take(m.now, tableRate) {
			m.sendTable(p.Address, 0, true)
		}
	}
}

// Tick advances the time. It must be called several times per interval.
func (m *Machine) Tick(now float64) {
	m.now = now
	elapsed := now - m.lastTick
	m.lastTick = now
	if m.standing == HasLeft {
		return
	}
	if elapsed > m.seconds(stallThreshold) && !m.settings.PlainSWIM {
		m.resumeAfterStall(elapsed)
	}
	if m.standing == Ousted {
		m.tryJoin()
		return
	}
	m.tryJoin()
	m.tickProbe()
	if m.now >= m.due.sweep {
		m.due.sweep = m.now + m.seconds(sweepInterval)
		m.expireSuspicions()
		m.forgetMembers()
		m.countNewcomers()
	}
	m.syncAndReconnect()
	m.updateView()
}

// resumeAfterStall resumes work after a pause of this process, since others may seem late only because this process was
// not running. Open probes are dropped and a new one is sent at once, suspicion timeouts are extended by the pause, and
// nobody is suspected until a message has arrived.
func (m *Machine) resumeAfterStall(elapsed float64) {
	m.stalled = true
	m.currentProbe, m.indirectPings, m.unanswered = nil, nil, 0
	for _, p := range m.peers {
		p.missed = 0
		if p.State == Suspect {
			p.suspectUntil += elapsed
		}
	}
	m.healthScore = min(maxHealthScore, m.healthScore+1)
	m.due.probe = m.now
}

// IsPresent reports whether the member of that name is known and present.
func (m *Machine) IsPresent(name string) bool {
	p := m.byName[name]
	return p != nil && p.State.Present()
}
