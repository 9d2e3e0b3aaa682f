// Package grouphealth is what a dispatcher believes of hosts of which it hears seldom. With thousands of caches each gets a GET
// in seconds, so that a host's own record comes too late: what is known of its group (the rack, or all of its kind and
// zone) speaks for it, and the host's own word departs from that as far as it has any. It only narrows what control may
// do, and says nothing where hosts are few. It is pure.
//
// What holds:
//   - a host that has answered since its group fell silent is never doubted for its group;
//   - doubt by group never takes more than half of the hosts: a dispatcher to which most are silent has lost its own way;
//   - hosts that are doubted or were left get a bounded share of GETs as trials, all of them together;
//   - a group that answers trials is believed again by that, and never by time alone.
package grouphealth

import "math"

const (
	MinHosts = 64 // hosts; fewer are heard of often enough to speak for themselves

	span       = 2.0   // s; a turn of what a group's hosts said: the last two count
	silent     = 3     // hosts of a group that were lost in that time: fewer may be chance
	most       = 0.5   // share of those heard of that were lost, above which a group has fallen silent
	sure       = 3     // hosts of it that must answer before it is believed again
	atMost     = 0.5   // share of all hosts that may be doubted for their group
	general    = 0.25  // share of all heard of that were lost, above which one lost GET says little of its host
	trialShare = 0.02  // trials for each GET: what a lost one costs is a GET's time, so few of them show in a percentile
	trialFloor = 1.0   // trials a second, whatever is asked
	trialsKept = 8.0   // trials that may be saved up
	passedOn   = 2.0   // trials that one which is answered allows besides: those of a fleet that comes back double
	passedMost = 256.0 // trials that may be allowed by that
	prior      = 2.0   // answers that the word of all counts for beside a host's own
	remembers  = 5.0   // answers that a learned time is made of: it forgets those before
	stale      = 30.0  // s; in which a host's own word loses most of its weight
)

// Group names hosts that may fail together.
type Group struct{ Kind, Zone, Cell int }

// Tracker is all of it. The zero value is empty and ready to use.
type Tracker struct {
	size    int
	groups  map[Group]*group
	whole   group // all of them
	doubted int   // hosts of groups that have fallen silent
	now     float64
	trials  float64 // that may go
	filled  float64 // up to when they are counted
}

// Member is a host of many. A nil one has no opinion, so that few hosts cost nothing.
type Member struct {
	all   *Tracker
	group *group
	word  word
	turn  int     // in which it said so
	heard float64 // when it answered last, below 0 for never
}

// word is what was last heard of a host.
type word int

const (
	none word = iota
	good
	lost
)

type group struct {
	name   Group
	size   int
	turn   int
	said   [2][3]int // in this turn and the one before, hosts by their word
	fell   float64   // since when it is silent
	silent bool
	up     float64 // when it was believed again
}

// Add takes one more host among many.
func (b *Tracker) Add(name Group) *Member {
	g := b.group(name)
	if g.size++; g.silent {
		b.doubted++
	}
	b.size++
	return &Member{all: b, group: g, heard: -1}
}

// Remove lets a host go; nil is passed over.
func (b *Tracker) Remove(m *Member) {
	if m == nil {
		return
	}
	g := m.group
	if g.size--; g.silent {
		b.doubted--
	}
	if b.size--; g.size == 0 {
		delete(b.groups, g.name)
	}
}

// In tells whether a host is in a group still.
func (m *Member) In(name Group) bool { return m != nil && m.group.name == name }

func (b *Tracker) group(name Group) *group {
	if b.groups == nil {
		b.groups = map[Group]*group{}
	}
	g := b.groups[name]
	if g == nil {
		g = &group{name: name, up: -1}
		b.groups[name] = g
	}
	return g
}

// CountRequest counts one that came, of which trials are a share.
func (b *Tracker) CountRequest(now float64) {
	if b.size == 0 {
		return
	}
	b.fill(now, trialShare)
}

// fill lets trials come by time and by GETs. Time that goes back allows none, and a jump no more than are kept.
func (b *Tracker) fill(now, more float64) {
	more += trialFloor * math.Max(0, now-b.filled)
	b.filled, b.now = now, now
	if b.trials < trialsKept {
		b.trials = math.Min(trialsKept, b.trials+more)
	}
}

// ObserveSuccess takes word that a host answered.
func (m *Member) ObserveSuccess(now float64) {
	if m == nil {
		return
	}
	if m.doubted() { // a trial that was answered
		m.all.trials = math.Min(passedMost, m.all.trials+passedOn)
	}
	m.heard = now
	m.say(now, good)
	g := m.group
	if g.silent && g.count(good) >= sure && !g.mostLost() {
		g.silent, g.up = false, now
		m.all.doubted -= g.size
	}
}

// ObserveLoss takes word that a host was out of reach, or silent.
func (m *Member) ObserveLoss(now float64) {
	if m == nil {
		return
	}
	m.say(now, lost)
	g := m.group
	if !g.silent && g.count(lost) >= silent && g.mostLost() {
		g.silent, g.fell = true, now
		m.all.doubted += g.size
	}
}

// say books a host's last word with its group, in place of what it said before in the time that counts.
func (m *Member) say(now float64, w word) {
	turn := int(math.Max(0, math.Min(now/span, math.MaxInt32)))
	turn = max(turn, m.all.whole.turn) // time that goes back
	for _, g := range []*group{m.group, &m.all.whole} {
		g.pass(turn)
		if m.word != none && turn-m.turn < len(g.said) {
			g.said[m.turn%2][m.word]--
		}
		g.said[turn%2][w]++
	}
	m.word, m.turn = w, turn
}

// pass lets turns go that do not count any more.
func (g *group) pass(turn int) {
	if turn-g.turn > len(g.said) {
		g.turn = turn - len(g.said)
	}
	for g.turn < turn {
		g.turn++
		g.said[g.turn%2] = [3]int{}
	}
}

func (g *group) count(w word) int { return g.said[0][w] + g.said[1][w] }

func (g *group) mostLost() bool {
	gone := float64(g.count(lost))
	return gone > most*(gone+float64(g.count(good)))
}

// Suspected tells whether a host is doubted for its group: it has not answered since that fell silent.
func (m *Member) Suspected() bool { return m != nil && m.doubted() }

func (m *Member) doubted() bool {
	return m.group.silent && m.heard < m.group.fell && float64(m.all.doubted) <= atMost*float64(m.all.size)
}

// ProbeAllowed tells whether a host that is doubted, or was left, may get a GET as a trial.
func (m *Member) ProbeAllowed() bool { return m == nil || m.all.trials >= 1 }

// SpendProbe takes a trial out of what may go.
func (m *Member) SpendProbe() {
	if m != nil {
		m.all.trials--
	}
}

// RecoveredSince tells whether a host that was left at a moment is believed again after one answer: its group had fallen silent
// with it, and is believed again since.
func (m *Member) RecoveredSince(left float64) bool { return m != nil && m.group.up >= left }

// LossWeight books a host that was out of reach, and is what that counts for in its fault rate: one of many is left at once, as
// the next GET that would confirm it comes seconds later and is lost too.
func (m *Member) LossWeight(now, own, leaves float64) float64 {
	if m.ObserveLoss(now); !m.alone() {
		return own
	}
	return math.Max(own, leaves)
}

// ObserveSilence books a host that lets a GET wait, and tells whether that one is enough to leave it.
func (m *Member) ObserveSilence(now float64) bool {
	m.ObserveLoss(now)
	return m.alone()
}

// alone tells whether a host of many is lost by itself or with its group. Guards against a dispatcher that leaves host
// after host because all have become slow, or because its own link has gone.
func (m *Member) alone() bool {
	if m == nil {
		return false
	}
	w := &m.all.whole
	gone := float64(w.count(lost))
	return m.Suspected() || gone <= general*(gone+float64(w.count(good))) || gone <= silent
}

// ShrinkServingTime is a host's learned time, as far as it has enough of its own: what all have stands in for the rest.
func (m *Member) ShrinkServingTime(now, own float64, n int, all float64) float64 {
	if m == nil || all == 0 {
		return own
	}
	evidence := math.Min(float64(n), remembers) * math.Exp(-math.Max(0, now-m.heard)/stale)
	return (evidence*own + prior*all) / (evidence + prior)
}
