// Package grouphealth tracks the health of hosts that a router contacts seldom, by groups that fail together:
// a rack, or all hosts of a kind and zone. With thousands of caches each one gets a request only every few
// seconds, so the results of a single host arrive too late. The results of its group stand in for them, and
// the host's own results replace those of the group as far as there are any. The package only restricts what
// routing may do, and has no effect where hosts are few. It does no I/O and reads no clock.
//
// A group is either responsive or silent. It becomes silent when most of its recently observed hosts were
// lost. A silent group becomes responsive again only when its hosts answer probes, never through time alone.
//
// Invariants:
//   - A host that has answered since its group became silent is never suspected because of its group.
//   - At most half of all hosts are suspected because of their groups. A router that loses contact with more
//     of them has lost its own network.
//   - All suspected or ejected hosts together get a bounded share of requests as probes.
package grouphealth

import "math"

// MinHosts is the minimum number of hosts for grouping them. With fewer hosts, each host is contacted often
// enough to be judged by its own results.
const MinHosts = 64

const (
	minLostHosts      = 3   // minimum number of lost hosts for a silent group; fewer may be lost by chance
	silentLossShare   = 0.5 // share of lost hosts among the observed ones above which a group is silent
	minRecoveredHosts = 3   // hosts that must answer before a group is responsive again
	maxSuspectShare   = 0.5 // maximum share of all hosts that may be suspected because of their groups
	// widespreadLossShare is the share of lost hosts among all observed ones above which a single loss says
	// little about its host.
	widespreadLossShare = 0.25
	priorAnswers        = 2.0  // weight of the mean of all hosts, as a number of a host's own answers
	maxEvidenceAnswers  = 5.0  // number of answers that determine a learned time; it forgets earlier ones
	evidenceLifetime    = 30.0 // seconds; time constant with which a host's own answers lose weight
)

// Group identifies hosts that may fail together.
type Group struct{ Kind, Zone, Cell int }

// Tracker holds the health of all groups. The zero value is empty and ready to use. It is not safe for
// concurrent use.
type Tracker struct {
	hosts          int
	groups         map[Group]*group
	allOutcomes    outcomeCounts // of all hosts
	suspectedHosts int           // number of hosts in silent groups
	probes         probeBudget
}

// group is the state of one group. It is in Tracker.groups as long as it has hosts.
type group struct {
	name        Group
	hosts       int
	outcomes    outcomeCounts // of its hosts
	silent      bool
	silentSince float64 // seconds
	recoveredAt float64 // seconds; -1 for never
}

// Member is a host of a group. All methods accept a nil Member, which changes no decision, so that a cluster
// with few hosts pays nothing.
type Member struct {
	tracker       *Tracker
	group         *group
	lastOutcome   hostOutcome
	outcomeBucket int     // bucket in which lastOutcome was recorded
	lastContact   float64 // seconds; time of the last answer, -1 for never
}

// Add adds a host to a group.
func (t *Tracker) Add(name Group) *Member {
	g := t.group(name)
	g.hosts++
	t.hosts++
	if g.silent {
		t.suspectedHosts++
	}
	return &Member{tracker: t, group: g, lastContact: -1}
}

// Remove removes a host from its group. It does nothing if m is nil.
func (t *Tracker) Remove(m *Member) {
	if m == nil {
		return
	}
	g := m.group
	g.hosts--
	t.hosts--
	if g.silent {
		t.suspectedHosts--
	}
	if g.hosts == 0 {
		delete(t.groups, g.name)
	}
}

// group returns the group with the given name and creates it if necessary.
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

// CountRequest counts a request, which adds a share of a probe to the budget. now is in seconds.
func (t *Tracker) CountRequest(now float64) {
	if t.hosts > 0 {
		t.probes.earn(now)
	}
}

// BelongsTo reports whether a host is in a group.
func (m *Member) BelongsTo(name Group) bool { return m != nil && m.group.name == name }

// ObserveSuccess records that a host answered. It ends the silence of the host's group if enough of its hosts
// have answered.
func (m *Member) ObserveSuccess(now float64) {
	if m == nil {
		return
	}
	if m.Suspected() {
		m.tracker.probes.reward()
	}
	m.lastContact = now
	m.recordOutcome(now, answered)
	g := m.group
	if g.silent && g.outcomes.count(answered) >= minRecoveredHosts && !g.outcomes.mostlyLost() {
		g.silent, g.recoveredAt = false, now
		m.tracker.suspectedHosts -= g.hosts
	}
}

// ObserveLoss records that a host could not be reached or did not answer in time.
func (m *Member) ObserveLoss(now float64) {
	if m == nil {
		return
	}
	m.recordOutcome(now, lost)
	g := m.group
	if !g.silent && g.outcomes.count(lost) >= minLostHosts && g.outcomes.mostlyLost() {
		g.silent, g.silentSince = true, now
		m.tracker.suspectedHosts += g.hosts
	}
}

// recordOutcome replaces the last outcome of a host, in its group and among all hosts.
func (m *Member) recordOutcome(now float64, outcome hostOutcome) {
	bucket := max(bucketOf(now), m.tracker.allOutcomes.bucket) // time may go back
	for _, counts := range [...]*outcomeCounts{&m.group.outcomes, &m.tracker.allOutcomes} {
		counts.advance(bucket)
		counts.retract(m.lastOutcome, m.outcomeBucket)
		counts.add(outcome)
	}
	m.lastOutcome, m.outcomeBucket = outcome, bucket
}

// Suspected reports whether a host is suspected because of its group: the host has not answered since the
// group became silent. No host is suspected if silent groups contain more than half of all hosts.
func (m *Member) Suspected() bool {
	if m == nil || !m.group.silent || m.lastContact >= m.group.silentSince {
		return false
	}
	return float64(m.tracker.suspectedHosts) <= maxSuspectShare*float64(m.tracker.hosts)
}

// ProbeAllowed reports whether a suspected or ejected host may get a request as a probe.
func (m *Member) ProbeAllowed() bool { return m == nil || m.tracker.probes.allowed() }

// SpendProbe takes a probe out of the budget.
func (m *Member) SpendProbe() {
	if m != nil {
		m.tracker.probes.spend()
	}
}

// RecoveredSince reports whether one answer is enough for the recovery of a host that was ejected at the given
// time, in seconds. This is the case if its group was silent as well and has become responsive since.
func (m *Member) RecoveredSince(ejectedAt float64) bool {
	return m != nil && m.group.recoveredAt >= ejectedAt
}

// LossWeight records that a host could not be reached, and returns the weight of that loss in the host's fault
// rate. The weight is own if hosts are few or many of them are lost. Otherwise it is at least
// ejectionThreshold, so that the host is ejected at once: the next request that would confirm the loss comes
// seconds later and would be lost too.
func (m *Member) LossWeight(now, own, ejectionThreshold float64) float64 {
	m.ObserveLoss(now)
	if !m.lossIsLocal() {
		return own
	}
	return math.Max(own, ejectionThreshold)
}

// ObserveSilence records that a host has not answered a request in time, and reports whether this one request
// is enough to eject the host.
func (m *Member) ObserveSilence(now float64) bool {
	m.ObserveLoss(now)
	return m.lossIsLocal()
}

// lossIsLocal reports whether a loss affects only the host or its group rather than most hosts. Guards against
// a router that ejects one host after another because all have become slow or because its own network has
// failed.
func (m *Member) lossIsLocal() bool {
	if m == nil {
		return false
	}
	if m.Suspected() {
		return true
	}
	lostHosts, observedHosts := m.tracker.allOutcomes.lostAndObserved()
	return lostHosts <= widespreadLossShare*observedHosts || lostHosts <= minLostHosts
}

// ShrinkServingTime returns a host's estimated serving time: the host's own time, weighted by the number and
// age of its answers, and the mean of all hosts for the remaining weight.
func (m *Member) ShrinkServingTime(now, own float64, answers int, mean float64) float64 {
	if m == nil || mean == 0 {
		return own
	}
	age := math.Max(0, now-m.lastContact)
	evidence := math.Min(float64(answers), maxEvidenceAnswers) * math.Exp(-age/evidenceLifetime)
	return (evidence*own + priorAnswers*mean) / (evidence + priorAnswers)
}
