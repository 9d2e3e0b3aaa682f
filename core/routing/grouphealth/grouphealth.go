// Package grouphealth tells of the health of hosts of which a router hears seldom, by the groups that fail
// together: the rack, or all hosts of a kind and zone. With thousands of caches each gets a request in
// seconds, so a host's own record comes too late; its group's speaks for it, and the host's own departs from
// that as far as it has any. It only narrows what routing may do, and tells nothing where hosts are few. It
// is pure.
//
// States of a group: heard; silent (most of the hosts heard of lately were lost). A silent group is heard
// again by answers of its hosts to trial requests, never by time alone.
//
// Invariants:
//   - a host that has answered since its group fell silent is never suspected for its group;
//   - at most half of all hosts are suspected for their groups: a router to which most are silent has lost its own
//     network;
//   - hosts that are suspected or ejected get a bounded share of requests as trials, all of them together.
package grouphealth

import "math"

// MinHosts is the number of hosts from which on they are grouped; fewer are heard of often enough to speak
// for themselves.
const MinHosts = 64

const (
	minLostHosts    = 3   // hosts of a group that were lost before it is silent: fewer may be chance
	silentShare     = 0.5 // share of its hosts heard of that were lost above which it is silent
	minAnswers      = 3   // hosts of it that must answer before it is heard again
	maxSuspectShare = 0.5 // share of all hosts that may be suspected for their groups
	// share of all hosts heard of that were lost, above which one loss tells little of its host
	widespreadLosses = 0.25
	priorWeight      = 2.0  // answers that the mean of all hosts counts for beside a host's own
	maxEvidence      = 5.0  // answers that a learned time is made of: it forgets those before
	evidenceLifetime = 30.0 // s; in which a host's own answers lose most of their weight
)

// Group names hosts that may fail together.
type Group struct{ Kind, Zone, Cell int }

// Tracker is the health of all groups. The zero value is empty and ready to use.
type Tracker struct {
	hosts     int
	groups    map[Group]*group
	all       lastWords // of all hosts
	suspected int       // hosts of silent groups
	trials    trialBudget
}

// group is the state of one group. It is in Tracker.groups as long as it has hosts.
type group struct {
	name        Group
	hosts       int
	words       lastWords
	silent      bool
	silentSince float64 // s
	recoveredAt float64 // s; -1 for never
}

// Member is a host of a group. A nil one has no opinion, so that few hosts cost nothing.
type Member struct {
	tracker   *Tracker
	group     *group
	lastWord  word
	bucket    int     // of lastWord
	lastHeard float64 // s; when it answered last, -1 for never
}

// Add adds a host to a group.
func (t *Tracker) Add(name Group) *Member {
	g := t.group(name)
	g.hosts++
	t.hosts++
	if g.silent {
		t.suspected++
	}
	return &Member{tracker: t, group: g, lastHeard: -1}
}

// Remove takes a host out of its group; nil is passed over.
func (t *Tracker) Remove(m *Member) {
	if m == nil {
		return
	}
	g := m.group
	g.hosts--
	t.hosts--
	if g.silent {
		t.suspected--
	}
	if g.hosts == 0 {
		delete(t.groups, g.name)
	}
}

func (t *Tracker) group(name Group) *group {
	if t.groups == nil {
		t.groups = map[Group]*group{}
	}
	g := t.groups[name]
	if g == nil {
		g = &group{name: name, recoveredAt: -1}
		t.groups[name] = g
	}
	return g
}

// CountRequest counts a request, of which trials are a share.
func (t *Tracker) CountRequest(now float64) {
	if t.hosts > 0 {
		t.trials.earn(now)
	}
}

// In reports whether a host is in a group.
func (m *Member) In(name Group) bool { return m != nil && m.group.name == name }

// ObserveSuccess takes in that a host answered.
func (m *Member) ObserveSuccess(now float64) {
	if m == nil {
		return
	}
	if m.Suspected() {
		m.tracker.trials.reward()
	}
	m.lastHeard = now
	m.say(now, answered)
	g := m.group
	if g.silent && g.words.count(answered) >= minAnswers && !g.words.mostlyLost() {
		g.silent, g.recoveredAt = false, now
		m.tracker.suspected -= g.hosts
	}
}

// ObserveLoss takes in that a host could not be reached, or was silent.
func (m *Member) ObserveLoss(now float64) {
	if m == nil {
		return
	}
	m.say(now, lost)
	g := m.group
	if !g.silent && g.words.count(lost) >= minLostHosts && g.words.mostlyLost() {
		g.silent, g.silentSince = true, now
		m.tracker.suspected += g.hosts
	}
}

// say replaces a host's last word, in its group and among all hosts.
func (m *Member) say(now float64, said word) {
	bucket := max(bucketOf(now), m.tracker.all.bucket) // time may go back
	for _, words := range [...]*lastWords{&m.group.words, &m.tracker.all} {
		words.advance(bucket)
		words.retract(m.lastWord, m.bucket)
		words.add(said)
	}
	m.lastWord, m.bucket = said, bucket
}

// Suspected reports whether a host is suspected for its group: it has not answered since that fell silent.
func (m *Member) Suspected() bool {
	if m == nil || !m.group.silent || m.lastHeard >= m.group.silentSince {
		return false
	}
	return float64(m.tracker.suspected) <= maxSuspectShare*float64(m.tracker.hosts)
}

// ProbeAllowed reports whether a host that is suspected or ejected may get a request as a trial.
func (m *Member) ProbeAllowed() bool { return m == nil || m.tracker.trials.allowed() }

// SpendProbe takes a trial out of the budget.
func (m *Member) SpendProbe() {
	if m != nil {
		m.tracker.trials.spend()
	}
}

// RecoveredSince reports whether a host that was ejected at a moment has recovered with one answer: its group
// has been silent with it, and is heard again since.
func (m *Member) RecoveredSince(ejectedAt float64) bool {
	return m != nil && m.group.recoveredAt >= ejectedAt
}

// LossWeight takes in that a host could not be reached, and returns what that counts for in its fault rate,
// which is own for a host that is heard of often. One of many is ejected at once, by the threshold, as the
// next request that would confirm the loss comes seconds later and is lost too.
func (m *Member) LossWeight(now, own, ejectionThreshold float64) float64 {
	m.ObserveLoss(now)
	if !m.isolated() {
		return own
	}
	return math.Max(own, ejectionThreshold)
}

// ObserveSilence takes in that a host lets a request wait, and reports whether that one is enough to eject
// it.
func (m *Member) ObserveSilence(now float64) bool {
	m.ObserveLoss(now)
	return m.isolated()
}

// isolated reports whether a host of many is lost by itself or with its group. Guards against a router that
// ejects host after host because all have become slow, or because its own network has failed.
func (m *Member) isolated() bool {
	if m == nil {
		return false
	}
	if m.Suspected() {
		return true
	}
	lostHosts, heardOf := m.tracker.all.lostAndHeardOf()
	return lostHosts <= widespreadLosses*heardOf || lostHosts <= minLostHosts
}

// ShrinkServingTime is a host's learned time as far as it has answers of its own, all standing in for the
// rest.
func (m *Member) ShrinkServingTime(now, own float64, answers int, all float64) float64 {
	if m == nil || all == 0 {
		return own
	}
	age := math.Max(0, now-m.lastHeard)
	evidence := math.Min(float64(answers), maxEvidence) * math.Exp(-age/evidenceLifetime)
	return (evidence*own + priorWeight*all) / (evidence + priorWeight)
}
