package grouphealth

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"elderwall/internal/standin/need"
)

const hostsPerRack = 20

// newRacks returns a tracker with some racks of hosts, and its members in the order of their racks.
func newRacks(racks int) (tracker *Tracker, members []*Member) {
	tracker = &Tracker{}
	for i := range racks * hostsPerRack {
		members = append(members, tracker.Add(Group{Cell: i / hostsPerRack}))
	}
	return tracker, members
}

// countUnsuspected returns the number of members that are not suspected.
func countUnsuspected(members []*Member) (n int) {
	for _, m := range members {
		if !m.Suspected() {
			n++
		}
	}
	return n
}

// succeedAll records a success of each member.
func succeedAll(now float64, members []*Member) {
	for _, m := range members {
		m.ObserveSuccess(now)
	}
}

// loseAll records a loss of each member.
func loseAll(now float64, members []*Member) {
	for _, m := range members {
		m.ObserveLoss(now)
	}
}

// A nil member, which clusters with few hosts use, must change no decision and allocate nothing.
func TestNilMemberHasNoEffect(t *testing.T) {
	tracker := &Tracker{}
	var m *Member
	tracker.Remove(m)
	m.ObserveSuccess(1)
	m.ObserveLoss(1)
	m.SpendProbe()
	tracker.CountRequest(1)
	got := []any{
		m.Suspected(), m.ProbeAllowed(), m.RecoveredSince(0),
		m.LossWeight(1, 0.4, 0.5), m.ShrinkServingTime(1, 7, 1, 3), m.ObserveSilence(1),
	}
	assert.Equal(t, []any{false, true, false, 0.4, 7.0, false}, got)
	assert.Zero(t, testing.AllocsPerRun(100, func() {
		m.ObserveSuccess(1)
		tracker.CountRequest(1)
		m.LossWeight(1, 0.4, 0.5)
	}))
}

// A whole rack fails, but a router has requests in flight at only a few of its hosts. Three losses must be
// enough to suspect all hosts of the rack, and three answers to make the rack responsive again.
func TestSilentRackIsSuspectedUntilProbesSucceed(t *testing.T) {
	_, members := newRacks(10)
	succeedAll(1, members)
	loseAll(5, members[:2])
	assert.Equal(t, 200, countUnsuspected(members), "two losses may be chance")
	members[2].ObserveLoss(5.1)
	assert.Equal(t, 180, countUnsuspected(members), "all hosts of the rack are suspected, including those without requests")
	members[19].ObserveSuccess(5.2)
	assert.False(t, members[19].Suspected(), "its own answer counts more than its rack")
	assert.True(t, members[18].Suspected())
	succeedAll(9, members[3:5])
	assert.True(t, members[18].Suspected(), "answers of two further hosts are too few")
	members[5].ObserveSuccess(9)
	assert.Equal(t, 200, countUnsuspected(members), "the rack has recovered through answers to probes")
	assert.True(t, members[0].RecoveredSince(5))
	assert.False(t, members[0].RecoveredSince(10), "ejected after the rack recovered")
	assert.False(t, members[100].RecoveredSince(5))
}

// A rack must not become silent as long as no more of its hosts are lost than answer.
func TestPartlyLostRackIsNotSuspected(t *testing.T) {
	_, members := newRacks(10)
	succeedAll(1, members[:8])
	loseAll(1.5, members[8:15])
	assert.Equal(t, 200, countUnsuspected(members), "no more hosts are lost than answer")
}

// A router that loses contact with most racks has probably lost its own network. It must then suspect no host
// because of its rack, and eject none after a single loss.
func TestRouterNetworkFailureSuspectsNoHost(t *testing.T) {
	_, members := newRacks(10)
	for rack := range 5 {
		first := rack * hostsPerRack
		loseAll(1, members[first:first+minLostHosts])
	}
	assert.Equal(t, 100, countUnsuspected(members))
	loseAll(1, members[5*hostsPerRack:5*hostsPerRack+minLostHosts])
	assert.Equal(t, 200, countUnsuspected(members), "more than half: none is suspected because of its rack")
	assert.Equal(t, 0.4, members[7].LossWeight(1, 0.4, 0.5), "a loss says less about its host")
	assert.False(t, members[8].ObserveSilence(1))
}

// With many hosts, the next request to a lost host comes seconds later. The first loss must therefore eject
// it, unless most hosts are lost.
func TestSingleLostHostIsEjectedAtOnce(t *testing.T) {
	_, members := newRacks(10)
	assert.Equal(t, 0.5, members[7].LossWeight(1, 0.4, 0.5))
	assert.True(t, members[8].ObserveSilence(1))
	loseAll(1, members[:150])
	succeedAll(1, members[150:])
	assert.False(t, members[160].ObserveSilence(1), "if most hosts are lost, a single loss says little")
}

// A host's own answers must move the estimate away from the mean of all hosts. Their weight must grow with their
// number and shrink with their age.
func TestShrinkServingTime(t *testing.T) {
	_, members := newRacks(10)
	members[0].ObserveSuccess(10)
	assert.InDelta(t, 1.0, members[0].ShrinkServingTime(10, 1, 0, 1), 1e-9)
	few, many := members[0].ShrinkServingTime(10, 3, 1, 1), members[0].ShrinkServingTime(10, 3, 100, 1)
	assert.True(t, 1 < few && few < many && many < 3, "%g after one answer, %g after 100", few, many)
	assert.InDelta(t, 1.0, members[0].ShrinkServingTime(1000, 3, 100, 1), 1e-3, "the host's own old answers have no weight")
	assert.Equal(t, 3.0, members[0].ShrinkServingTime(10, 3, 100, 0), "without a mean of all hosts its own time is used")
}

// invariants drives a tracker and checks its invariants after each step.
type invariants struct {
	*rapid.T
	tracker     *Tracker
	cells       int
	members     []*Member
	now         float64 // seconds
	lastSuccess map[*Member]float64
	requests    float64
	probes      float64 // number of probes that were spent
	earned      float64 // probes that successes of suspected hosts allow
}

const invariantsStart = 10.0 // seconds

// newInvariants draws the hosts and their groups.
func newInvariants(t *rapid.T) *invariants {
	v := &invariants{T: t, tracker: &Tracker{}, now: invariantsStart, lastSuccess: map[*Member]float64{}}
	v.cells = rapid.IntRange(1, 6).Draw(t, "cells")
	for i := range rapid.IntRange(MinHosts, 100).Draw(t, "hosts") {
		v.members = append(v.members, v.tracker.Add(Group{Cell: i % v.cells}))
	}
	v.tracker.CountRequest(v.now)
	return v
}

// step advances the time and performs one random action.
func (v *invariants) step() {
	v.now += rapid.SampledFrom([]float64{0, 0, 0.001, 0.1, 1, 5, 3600, -1}).Draw(v.T, "elapsed")
	i := rapid.IntRange(0, len(v.members)-1).Draw(v.T, "host")
	switch rapid.IntRange(0, 5).Draw(v.T, "what") {
	case 0:
		v.succeed(v.members[i])
	case 1, 2:
		for k := range rapid.IntRange(1, 12).Draw(v.T, "lost") {
			v.members[(i+k*v.cells)%len(v.members)].ObserveLoss(v.now)
		}
	case 3:
		v.tracker.CountRequest(v.now)
		v.requests++
	case 4:
		if v.members[i].ProbeAllowed() {
			v.members[i].SpendProbe()
			v.probes++
		}
	case 5:
		v.remove(i)
	}
}

// succeed records a success of a host.
func (v *invariants) succeed(m *Member) {
	if m.Suspected() {
		v.earned += probesPerSuccess
	}
	m.ObserveSuccess(v.now)
	v.lastSuccess[m] = v.now
}

// remove removes a host. If too few hosts would remain, it adds one to a cell of its own.
func (v *invariants) remove(i int) {
	v.tracker.Remove(v.members[i])
	v.members = append(v.members[:i:i], v.members[i+1:]...)
	if len(v.members) < MinHosts {
		v.members = append(v.members, v.tracker.Add(Group{Cell: v.cells}))
	}
}

// check checks all invariants.
func (v *invariants) check() {
	v.checkGroups(v.checkMembers())
	unsuspected := countUnsuspected(v.members)
	require.False(v.T, 2*unsuspected < len(v.members), "only %d of %d are unsuspected", unsuspected, len(v.members))
	v.checkProbes()
}

// checkMembers checks that no host is suspected that has answered since its group became silent. It returns
// the number of members by group.
func (v *invariants) checkMembers() map[*group]int {
	hosts := map[*group]int{}
	for _, m := range v.members {
		hosts[m.group]++
		last := v.lastSuccess[m]
		if m.Suspected() && last >= m.group.silentSince && last > 0 {
			v.Fatalf("a host is suspected that has answered since its group became silent")
		}
	}
	return hosts
}

// checkGroups checks that the counts of groups and of suspected hosts match their members.
func (v *invariants) checkGroups(hosts map[*group]int) {
	suspected := 0
	for g, n := range hosts {
		require.Equal(v.T, n, g.hosts, "a group has %d hosts but counts %d", n, g.hosts)
		if g.silent {
			suspected += n
		}
		for _, counts := range g.outcomes.counts {
			if counts[answered] < 0 || counts[lost] < 0 {
				v.Fatal("a count of outcomes is negative")
			}
		}
	}
	require.Equal(v.T, v.tracker.suspectedHosts, suspected,
		"%d hosts are suspected because of their groups, but %d are counted", suspected, v.tracker.suspectedHosts)
}

// checkProbes checks that probes stay within their budget.
func (v *invariants) checkProbes() {
	passedTwice := 200.0 * probesPerSecond // elapsed time that went back is counted again
	elapsed := math.Max(0, v.now-invariantsStart)
	limit := maxSavedProbes + probesPerRequest*v.requests + probesPerSecond*elapsed + v.earned + passedTwice
	require.False(v.T, v.probes > limit, "%g probes, at most %g", v.probes, limit)
}

// The invariants must hold whatever hosts answer, are lost, added, removed or probed, and however time moves:
// no host is suspected that has answered since its group became silent, at most half of all hosts are
// suspected, the counts of groups match their members, and probes stay within their budget.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newInvariants(t)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			v.step()
			v.check()
		}
	})
}

// BenchmarkObserveSuccess measures recording an answer at a router of many hosts, with a loss for one in a
// hundred.
func BenchmarkObserveSuccess(b *testing.B) {
	for _, n := range []int{1000, 10_000} {
		tracker, members := newRacks(n / hostsPerRack)
		need.Bench(b, fmt.Sprint(n), func(i int) {
			now := float64(i) * 1e-4
			tracker.CountRequest(now)
			if members[i%n].ObserveSuccess(now); i%100 == 0 {
				members[i%n].ObserveLoss(now)
			}
		})
	}
}
