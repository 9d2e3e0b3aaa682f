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

// racks is so many hosts in each of some racks.
func racks(n, each int) (tracker *Tracker, members []*Member) {
	tracker = &Tracker{}
	for i := range n * each {
		members = append(members, tracker.Add(Group{Cell: i / each}))
	}
	return tracker, members
}

// unsuspected counts the members that are not doubted.
func unsuspected(members []*Member) (n int) {
	for _, m := range members {
		if !m.Suspected() {
			n++
		}
	}
	return n
}

// each has each of some members lost, or answer.
func each(do func(*Member, float64), now float64, members ...*Member) {
	for _, m := range members {
		do(m, now)
	}
}

var lose, answer = (*Member).ObserveLoss, (*Member).ObserveSuccess

func TestFewHostsSpeakForThemselves(t *testing.T) {
	tracker := &Tracker{}
	var m *Member
	tracker.Remove(m)
	m.ObserveSuccess(1)
	m.ObserveLoss(1)
	m.SpendProbe()
	tracker.CountRequest(1)
	assert.Equal(t, []any{false, true, false, 0.4, 7.0, false},
		[]any{m.Suspected(), m.ProbeAllowed(), m.RecoveredSince(0), m.LossWeight(1, 0.4, 0.5), m.ShrinkServingTime(1, 7, 1, 3), m.ObserveSilence(1)})
	assert.Zero(t, testing.AllocsPerRun(100, func() { m.ObserveSuccess(1); tracker.CountRequest(1); m.LossWeight(1, 0.4, 0.5) }))
}

func TestARackThatFallsSilentIsSeenAsOne(t *testing.T) {
	_, members := racks(10, 20)
	each(answer, 1, members...)
	each(lose, 5, members[:2]...)
	assert.Equal(t, 200, unsuspected(members), "two may be chance")
	members[2].ObserveLoss(5.1)
	assert.Equal(t, 180, unsuspected(members), "all of the rack, also those not asked")
	members[19].ObserveSuccess(5.2)
	assert.False(t, members[19].Suspected(), "its own word goes before that of its rack")
	assert.True(t, members[18].Suspected())
	each(answer, 9, members[3:5]...)
	assert.True(t, members[18].Suspected(), "two that answer may be the part that stays")
	members[5].ObserveSuccess(9)
	assert.Equal(t, 200, unsuspected(members), "believed again by trials")
	assert.True(t, members[0].RecoveredSince(5))
	assert.False(t, members[0].RecoveredSince(10), "left after that")
	assert.False(t, members[100].RecoveredSince(5))
}

func TestARackOfWhichSomeAreLostStays(t *testing.T) {
	_, members := racks(10, 20)
	each(answer, 1, members[:8]...)
	each(lose, 1.5, members[8:15]...)
	assert.Equal(t, 200, unsuspected(members), "no more lost than heard")
}

func TestARouterToWhichMostAreSilentHasLostItsOwnNetwork(t *testing.T) {
	_, members := racks(10, 20)
	for rack := range 5 {
		each(lose, 1, members[rack*20:rack*20+minLostHosts]...)
	}
	assert.Equal(t, 100, unsuspected(members))
	each(lose, 1, members[5*20:5*20+minLostHosts]...)
	assert.Equal(t, 200, unsuspected(members), "more than half: none is doubted for its rack")
	assert.Equal(t, 0.4, members[7].LossWeight(1, 0.4, 0.5), "and one loss says less of its host")
	assert.False(t, members[8].ObserveSilence(1))
}

func TestOneOfManyIsEjectedAtOnce(t *testing.T) {
	_, members := racks(10, 20)
	assert.Equal(t, 0.5, members[7].LossWeight(1, 0.4, 0.5))
	assert.True(t, members[8].ObserveSilence(1))
	each(lose, 1, members[:150]...)
	each(answer, 1, members[150:]...)
	assert.False(t, members[160].ObserveSilence(1), "where all are slow, one that is says little")
}

func TestTrialsAreRationed(t *testing.T) {
	tracker, members := racks(10, 20)
	tried := func() (n int) {
		for members[0].ProbeAllowed() {
			members[0].SpendProbe()
			n++
		}
		return n
	}
	tracker.CountRequest(1)
	tried()
	for i := range 1000 {
		tracker.CountRequest(1 + float64(i)*1e-6)
		members[0].ProbeAllowed()
	}
	assert.Equal(t, int(maxSavedTrials), tried(), "no more are saved up")
	tracker.CountRequest(1e6)
	assert.Equal(t, int(maxSavedTrials), tried(), "nor by a jump of time")
	tracker.CountRequest(5)
	assert.Zero(t, tried(), "time that goes back gives none")
	each(lose, 6, members[:minLostHosts]...)
	assert.True(t, members[10].Suspected())
	members[10].ObserveSuccess(7)
	assert.Equal(t, int(trialsPerAnswer), tried(), "one that is answered allows more")
	members[10].ObserveSuccess(7.1)
	assert.Zero(t, tried(), "once")
}

func TestShrinkServingTime(t *testing.T) {
	_, members := racks(10, 20)
	members[0].ObserveSuccess(10)
	assert.InDelta(t, 1.0, members[0].ShrinkServingTime(10, 1, 0, 1), 1e-9)
	few, some := members[0].ShrinkServingTime(10, 3, 1, 1), members[0].ShrinkServingTime(10, 3, 100, 1)
	assert.True(t, 1 < few && few < some && some < 3, "%g %g", few, some)
	assert.InDelta(t, 1.0, members[0].ShrinkServingTime(1000, 3, 100, 1), 1e-3, "what it said long ago says nothing")
	assert.Equal(t, 3.0, members[0].ShrinkServingTime(10, 3, 100, 0), "nothing is known of all")
}

// Whatever is heard, lost, listed and tried, at whatever times: no host is doubted that has answered since, no more than
// half are, the books of groups are those of their members, and trials stay within their share.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := &Tracker{}
		cells := rapid.IntRange(1, 6).Draw(t, "cells")
		var members []*Member
		for i := range rapid.IntRange(MinHosts, 100).Draw(t, "hosts") {
			members = append(members, tracker.Add(Group{Cell: i % cells}))
		}
		now, gets, tried, passed, start := 10.0, 0.0, 0.0, 0.0, 10.0
		lately := map[*Member]float64{}
		tracker.CountRequest(now)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{0, 0, 0.001, 0.1, 1, 5, 3600, -1}).Draw(t, "passes")
			i := rapid.IntRange(0, len(members)-1).Draw(t, "host")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				if members[i].Suspected() {
					passed += trialsPerAnswer
				}
				members[i].ObserveSuccess(now)
				lately[members[i]] = now
			case 1, 2:
				for k := range rapid.IntRange(1, 12).Draw(t, "lost") {
					members[(i+k*cells)%len(members)].ObserveLoss(now)
				}
			case 3:
				tracker.CountRequest(now)
				gets++
			case 4:
				if members[i].ProbeAllowed() {
					members[i].SpendProbe()
					tried++
				}
			case 5:
				tracker.Remove(members[i])
				if members = append(members[:i:i], members[i+1:]...); len(members) < MinHosts {
					members = append(members, tracker.Add(Group{Cell: cells}))
				}
			}
			groups := map[*group]int{}
			for _, one := range members {
				if groups[one.group]++; one.Suspected() && lately[one] >= one.group.silentSince && lately[one] > 0 {
					t.Fatalf("a host is doubted that has answered since")
				}
			}
			doubted := 0
			for g, n := range groups {
				require.Equal(t, n, g.hosts, "a group of %d counts %d", n, g.hosts)
				if g.silent {
					doubted += n
				}
				for _, said := range g.words.counts {
					if said[answered] < 0 || said[lost] < 0 {
						t.Fatal("fewer than none said so")
					}
				}
			}
			require.Equal(t, tracker.suspected, doubted, "%d are doubted by their groups, counted as %d", doubted, tracker.suspected)
			n := unsuspected(members)
			require.False(t, 2*n < len(members), "only %d of %d are believed", n, len(members))
			back := 200.0 * trialsPerSecond // time that goes back passes twice
			most := maxSavedTrials + trialsPerRequest*gets + trialsPerSecond*math.Max(0, now-start) + passed + back
			require.False(t, tried > most, "%g trials, at most %g", tried, most)
		}
	})
}

// BenchmarkObserveSuccess is what an answer costs a dispatcher of many hosts, and a loss.
func BenchmarkObserveSuccess(b *testing.B) {
	for _, n := range []int{1000, 10_000} {
		all, members := racks(n/20, 20)
		need.Bench(b, fmt.Sprint(n), func(i int) {
			now := float64(i) * 1e-4
			all.CountRequest(now)
			if members[i%n].ObserveSuccess(now); i%100 == 0 {
				members[i%n].ObserveLoss(now)
			}
		})
	}
}
