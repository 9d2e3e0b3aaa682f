package membership

import (
	"hash/fnv"
)

// Level says how much of the last agreed fleet a member sees.
type Level uint8

// The levels.
const (
	Alone    Level = iota // no other member is heard from
	Minority              // at most half of the last agreed fleet
	Majority              // more than half
	Whole                 // all of it
)

func (l Level) String() string {
	return [...]string{"alone", "minority", "majority", "whole"}[min(l, Whole)]
}

// View is a member's picture of the fleet.
type View struct {
	Level Level `json:"Level"`
	// Seen is the number of members of the last agreed fleet that are seen, including this one. A member that did not
	// answer its last probe is not seen.
	Seen             int     `json:"Seen"`
	AgreedSize       int     `json:"Of"`      // number of members in the last agreed fleet
	Confidence       float64 `json:"Sure"`    // share of the last agreed fleet that is neither suspected nor unresponsive, 0 to 1; 0 while LocalFaultLikely is set
	LocalFaultLikely bool    `json:"Doubt"`   // a fault of this member explains the symptoms better than a fault of others
	DifferingViews   int     `json:"Differs"` // number of members whose digest has differed from this one for long
	Digest           uint64  `json:"Digest"`  // hash of the names of all present members
}

// seesMajority reports whether more than half of the last agreed fleet is seen.
func (v View) seesMajority() bool { return 2*v.Seen > v.AgreedSize }

// agreedVersion identifies the last agreed fleet by the ID of the fleet and the number of changes that a majority has
// made to it. Agreement is weak: each member makes these changes itself, based on the gossip that all receive. An
// operation that must never happen twice also needs a decision of the voters of the log.
type agreedVersion struct{ fleetID, generation uint64 }

// countAfter is how many intervals a new member must be present before it counts in the agreed fleet. All members have
// received its record by then.
const countAfter = 5.0

// View returns the current view.
func (m *Machine) View() View { return m.view }

// Action is something that is allowed or forbidden depending on the view.
type Action uint8

// The actions.
const (
	AnswerGETs         Action = iota // answer GETs from this member's own knowledge
	AcceptRestrictions               // accept reports of peers that restrict what this member does
	AcceptRelaxations                // accept reports of peers that raise a limit or make a host usable; never allowed
	DeclareFailures                  // declare other members failed
	CountNewcomers                   // count new members into the last agreed fleet
	ForgetMembers                    // remove members that are gone from the last agreed fleet
	DecideByMajority                 // make decisions that need a majority: duties, budget allocations, configuration changes
)

// ActionNames names the actions as the table in docs/members.md does, indexed by Action.
var ActionNames = [...]string{
	"GETs are answered by own knowledge", "peers' word narrows what is done", "peers' word widens a limit or makes a host usable",
	"others are held to have failed", "newcomers count", "those long gone are let go of", "what needs a majority goes on",
}

// Allowed reports whether an action is allowed at a level; localFaultLikely has the meaning of View.LocalFaultLikely.
func Allowed(a Action, l Level, localFaultLikely bool) bool {
	switch a {
	case AnswerGETs:
		return true
	case AcceptRestrictions:
		return l > Alone && !localFaultLikely
	case DeclareFailures:
		return !localFaultLikely
	case CountNewcomers, ForgetMembers, DecideByMajority:
		return l >= Majority && !localFaultLikely
	}
	return false
}

// May reports whether an action is allowed now.
func (m *Machine) May(a Action) bool {
	if m.standing != IsMember {
		return a == AnswerGETs
	}
	return Allowed(a, m.view.Level, m.view.LocalFaultLikely)
}

// updateView recomputes the view if it is stale, and emits an event if the level or the suspicion of a local fault
// changed.
func (m *Machine) updateView() {
	localFaultLikely := m.localFaultLikely()
	if !m.viewStale && localFaultLikely == m.view.LocalFaultLikely {
		return
	}
	m.viewStale = false
	noContact := m.now-m.lastContact > m.silenceLimit() && m.PresentCount() > 0
	tally := m.tally(noContact)
	v := tally.View
	v.LocalFaultLikely = localFaultLikely
	switch {
	case m.standing != IsMember, noContact, tally.others == 0 && (len(m.settings.Peers) > 0 || len(m.peers) > 0):
		v.Level = Alone
	case v.Seen == v.AgreedSize:
		v.Level = Whole
	case v.seesMajority():
		v.Level = Majority
	default:
		v.Level = Minority
	}
	if !localFaultLikely && v.AgreedSize > 0 {
		v.Confidence = 1 - float64(tally.suspects)/float64(v.AgreedSize)
	}
	previous := m.view
	if m.view = v; previous.Level != v.Level || previous.AgreedSize == 0 {
		m.emit(Event{Name: m.self.Name, Kind: v.Level.String(), Zone: m.self.Zone, Seen: v.Seen, AgreedSize: v.AgreedSize})
	}
	if previous.LocalFaultLikely != localFaultLikely {
		m.emit(Event{Name: m.self.Name, Kind: map[bool]string{true: "doubt", false: "sure"}[localFaultLikely], Zone: m.self.Zone})
	}
}

// viewTally collects the counts for a view.
type viewTally struct {
	View
	suspects int // suspected members of the last agreed fleet
	others   int // present members other than this one
}

// tally counts the members. noContact means that this member hears from nobody, so that no other member counts as seen.
func (m *Machine) tally(noContact bool) (c viewTally) {
	c.count(m.inAgreedFleet, true, false)
	c.Digest = nameHash(m.self.Name)
	for _, p := range m.peers {
		c.count(p.inAgreedFleet, p.State == Alive && !p.unresponsive && !noContact, p.State == Suspect || p.unresponsive)
		if p.State.Present() {
			c.others++
			c.Digest ^= nameHash(p.Name)
		}
		if p.differsSince > 0 && p.differenceReported {
			c.DifferingViews++
		}
	}
	return c
}

// count adds one member to the tally if it belongs to the last agreed fleet.
func (c *viewTally) count(inAgreedFleet, seen, suspect bool) {
	if !inAgreedFleet {
		return
	}
	c.AgreedSize++
	if seen {
		c.Seen++
	}
	if suspect {
		c.suspects++
	}
}

// countNewcomers adds members that have been present for long enough to the last agreed fleet.
func (m *Machine) countNewcomers() {
	if !m.May(CountNewcomers) && len(m.peers) > 0 && m.view.AgreedSize > 0 {
		return
	}
	changed := false
	for _, p := range m.peers {
		if p.State == Alive && !p.inAgreedFleet && m.now-p.stateSince >= m.seconds(countAfter) {
			p.inAgreedFleet, changed = true, true
		}
	}
	if !m.inAgreedFleet && m.May(CountNewcomers) {
		m.inAgreedFleet, changed = true, true
	}
	if changed {
		m.agreed.generation++
		m.viewStale = true
	}
}

// mergeAgreedFleet adopts the sender's last agreed fleet if it has precedence over the local one. For the same fleet ID
// the later generation has precedence. If two fleets formed separately, the one that has lost its majority has
// precedence, since the rest of it may still be cut off; otherwise the larger one has.
func (m *Machine) mergeAgreedFleet(in Message) {
	mine, theirs := m.agreed, agreedVersion{in.AgreedFleetID, in.AgreedGeneration}
	adopt := theirs.generation > mine.generation
	if mine.fleetID != theirs.fleetID {
		seesMajority, agreedSize := m.view.seesMajority(), uint32(m.view.AgreedSize)
		switch {
		case seesMajority != in.SeesMajority:
			adopt = seesMajority
		case agreedSize != in.AgreedSize:
			adopt = in.AgreedSize > agreedSize
		default:
			adopt = theirs.fleetID < mine.fleetID
		}
	}
	if !adopt {
		return
	}
	m.agreed, m.viewStale, m.inAgreedFleet = theirs, true, false
	for _, p := range m.peers {
		p.inAgreedFleet = p.Name == in.From.Name && in.From.InAgreedFleet
	}
	for _, r := range in.Updates {
		if r.Name == m.self.Name {
			m.inAgreedFleet = r.InAgreedFleet
		} else if p := m.byName[r.Name]; p != nil && p.State != Left {
			p.inAgreedFleet = r.InAgreedFleet
		}
	}
}

// compareViews compares the digest of a message with the local one. A difference that lasts is reported as an event, and
// tables are exchanged to resolve it.
func (m *Machine) compareViews(in Message) {
	p := m.byName[in.From.Name]
	if p == nil || in.Digest == 0 {
		return
	}
	switch {
	case in.Digest == m.view.Digest:
		if p.differenceReported {
			m.emit(Event{Name: p.Name, Kind: "agrees", Zone: p.Zone})
			m.viewStale = true
		}
		p.differsSince, p.differenceReported = 0, false
	case p.differsSince == 0:
		p.differsSince = m.now
	case m.now-p.differsSince > m.seconds(differenceReportAfter) && !p.differenceReported:
		p.differenceReported, m.viewStale = true, true
		m.emit(Event{Name: p.Name, Kind: "differs", Zone: p.Zone})
		fallthrough
	case m.now-p.differsSince > m.seconds(differenceReportAfter)/4 && m.tableBucket.take(m.now, tableRate/4):
		m.sendTable(p.Address, 0, true)
	}
}

// nameHash returns the contribution of a member's name to View.Digest.
func nameHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
