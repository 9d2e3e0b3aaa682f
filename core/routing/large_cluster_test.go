package routing

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"elderwall/core/routing/grouphealth"
)

// end is how a forward ends at a moment.
type end struct {
	at float64
	a  AttemptResult
}

// largeCluster is a dispatcher with racks of caches, and what they do.
type largeCluster struct {
	*testing.T
	d     *Router
	r     *recorder
	now   float64
	id    uint32
	gone  map[uint32]bool
	hosts []Endpoint
	lost  int

	number map[uint32]int // forwards of each GET
	open   []end
}

func newLargeCluster(t *testing.T, racks, each int) *largeCluster {
	l := &largeCluster{T: t, r: &recorder{}, gone: map[uint32]bool{}, number: map[uint32]int{}}
	s := settings()
	s.Services[0].Objective = 0.2
	l.d = New(s, 0, l.r)
	l.hosts = []Endpoint{entry(1<<30, 1, Ready), entry(1<<30+1, 1, Ready), entry(1<<30+2, 2, Ready)}
	for i := range racks * each {
		e := entry(uint32(i+1)*7919, 0, Ready)
		e.Cell = i / each
		l.hosts = append(l.hosts, e)
	}
	l.d.UpdateEndpoints(0, ListComplete, l.hosts)
	return l
}

// rack is the caches of one.
func (l *largeCluster) rack(cell int) (ids []uint32) {
	for _, h := range l.hosts {
		if h.Kind == 0 && h.Cell == cell {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

// ask asks for objects, one each millisecond; hosts that are gone can't be reached, which is known after a tenth of a second.
func (l *largeCluster) ask(gets int) (returned int) {
	for range gets {
		l.now += 0.001
		l.id++
		ask(l.d, l.now, l.id, fmt.Sprint("o", l.id%3000))
		if l.id%10 == 0 {
			tickAt(l.d, l.now)
		}
		for len(l.r.forwards) > 0 {
			f := l.r.forwards[0]
			l.r.forwards = l.r.forwards[1:]
			number := l.number[f.RequestID]
			l.number[f.RequestID]++
			if l.gone[f.Host] {
				l.lost++
				l.open = append(l.open, end{l.now + 0.1, AttemptResult{RequestID: f.RequestID, Attempt: number, Outcome: Unreachable, Elapsed: 0.1}})
				continue
			}
			returned++
			answer(l.d, l.now, f.RequestID, number, Succeeded, CacheHit)
		}
		for len(l.open) > 0 && l.open[0].at <= l.now {
			l.d.HandleResult(l.now, l.open[0].a)
			l.d.RunRetries(l.now)
			l.open = l.open[1:]
		}
	}
	return returned
}

// A rack that vanishes is seen as one: its hosts are asked for trials alone, as few as the ration allows, and believed again once some answer.
func TestARackThatVanishes(t *testing.T) {
	l := newLargeCluster(t, 10, 30)
	l.ask(3000)
	assert.Zero(t, l.lost)
	for _, id := range append(l.rack(2), l.rack(5)...) {
		l.gone[id] = true
	}
	l.ask(300)
	first := l.lost
	l.lost = 0
	l.ask(5000)
	assert.Less(t, first, 100, "until the first losses have come back")
	assert.Less(t, l.lost, 5000/20, "trials")
	assert.Greater(t, l.lost, 20, "but some")
	clear(l.gone)
	l.lost = 0
	l.ask(9000)
	assert.Zero(t, l.lost)
	left := 0
	for _, h := range l.d.endpoints.caches {
		if h.health.ejected || h.health.group.Suspected() {
			left++
		}
	}
	assert.Less(t, left, 6, "hosts that are back and still left")
}

// What forwards to hosts that are gone cost says nothing of fills: their limit stays.
func TestLostHostsDoNotCutTheFillLimit(t *testing.T) {
	l := newLargeCluster(t, 10, 30)
	l.ask(1000)
	before := l.d.limits.fills.max
	for _, id := range l.rack(4) {
		l.gone[id] = true
	}
	l.ask(6000)
	assert.Equal(t, before, l.d.limits.fills.max)
}

// A few hosts are judged by themselves alone, as they always were.
func TestFewHostsHaveNoGroup(t *testing.T) {
	l := newLargeCluster(t, 2, 6)
	for _, h := range l.d.endpoints.caches {
		assert.Nil(t, h.health.group)
	}
	l.gone[l.rack(0)[0]] = true
	l.ask(500)
	assert.Greater(t, l.lost, 1, "one loss is not enough there")
}

// Objects that somebody chose because one cache comes first for all of them: others take over what it can't serve in the latency objective.
func TestAFloodOfObjectsForOneHost(t *testing.T) {
	l := newLargeCluster(t, 10, 30)
	var chosen []string
	for i := 0; len(chosen) < 200; i++ {
		name := fmt.Sprintf("%016x", i)
		l.d.endpoints.cacheOrder.Walk(hashName(name+" 0"), nil, 0, func(h *host) bool {
			if h.ID == 7919 {
				chosen = append(chosen, name)
			}
			return false
		})
	}
	free, to, late := map[uint32]float64{}, map[uint32]int{}, 0
	const takes, gets = 0.005, 6000 // a host does 200 a second, and is asked for 1,000
	for range gets {
		l.now += 0.001
		l.id++
		ask(l.d, l.now, l.id, chosen[int(l.id)%len(chosen)])
		for ; len(l.r.forwards) > 0; l.r.forwards = l.r.forwards[1:] {
			f := l.r.forwards[0]
			number := l.number[f.RequestID]
			l.number[f.RequestID]++
			to[f.Host]++
			free[f.Host] = max(free[f.Host], l.now) + takes
			took := free[f.Host] - l.now
			if took > 0.2 {
				late++
			}
			l.open = append(l.open, end{free[f.Host], AttemptResult{RequestID: f.RequestID, Attempt: number, Outcome: Succeeded, Note: CacheHit, Elapsed: took, Final: true}})
		}
		if l.id%10 == 0 {
			tickAt(l.d, l.now)
		}
		l.open = slices.DeleteFunc(l.open, func(e end) bool {
			if e.at > l.now {
				return false
			}
			l.d.HandleResult(l.now, e.a)
			l.d.RunRetries(l.now)
			return true
		})
	}
	assert.Less(t, to[7919], gets/2, "others take over")
	assert.Less(t, late, gets/8)
	assert.Less(t, len(l.r.shed)+len(l.r.errored), gets/20)
}

// Time that stands still, goes back, or jumps by an hour: every GET has one answer, and the next ones go on.
func TestTimeThatStandsStillOrJumps(t *testing.T) {
	l := newLargeCluster(t, 10, 30)
	l.ask(200)
	for range 50 {
		l.id++
		ask(l.d, l.now, l.id, fmt.Sprint("p", l.id))
		l.d.HandleTimer(l.now)
	}
	open := len(l.d.requests.byID)
	tickAt(l.d, l.now-5)
	assert.Len(t, l.d.requests.byID, open)
	l.now += 3600
	tickAt(l.d, l.now)
	assert.Equal(t, 50, len(l.r.shed)+len(l.r.errored), "those under way are over at once")
	for id := l.id - 49; id <= l.id; id++ {
		for number := range l.number[id] + 1 {
			l.d.HandleResult(l.now, AttemptResult{RequestID: id, Attempt: number, Outcome: Canceled})
		}
	}
	assert.Empty(t, l.d.requests.byID)
	l.r.forwards = nil
	assert.Equal(t, 200, l.ask(200))
}

// A host of many that comes, goes, moves to another rack or comes back is in its group and in the order, or in none.
func TestCachesThatAreAddedAndRemoved(t *testing.T) {
	l := newLargeCluster(t, 10, 30)
	first := func() (id uint32) {
		l.d.endpoints.cacheOrder.Walk(12345, nil, 0, func(h *host) bool { id = h.ID; return false })
		return id
	}
	id := first()
	e, other := l.d.endpoints.byID[id].Endpoint, l.d.endpoints.byID[id]
	e.Phase = Removed
	l.d.UpdateEndpoints(1, ListChanges, []Endpoint{e})
	assert.NotEqual(t, id, first())
	assert.Nil(t, other.health.group)
	assert.Len(t, l.d.endpoints.caches, 299)
	e.Phase, e.Cell = Ready, 77
	l.d.UpdateEndpoints(2, ListChanges, []Endpoint{e, e})
	assert.Equal(t, id, first())
	assert.Len(t, l.d.endpoints.caches, 300, "named twice, it is there once")
	assert.True(t, l.d.endpoints.byID[id].health.group.In(grouphealth.Group{Cell: 77}))
	e.Cell = 78
	l.d.UpdateEndpoints(3, ListChanges, []Endpoint{e})
	assert.True(t, l.d.endpoints.byID[id].health.group.In(grouphealth.Group{Cell: 78}))
	l.d.UpdateEndpoints(4, ListComplete, l.hosts[:3+grouphealth.MinHosts-1])
	for _, h := range l.d.endpoints.caches {
		assert.Nil(t, h.health.group, "they are few now")
	}
}
