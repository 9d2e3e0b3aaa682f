package routing

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"elderwall/core/routing/grouphealth"
)

// scheduledResult is how a forward ends at a moment.
type scheduledResult struct {
	at     float64
	result AttemptResult
}

// largeCluster is a dispatcher with racks of caches, and what they do.
type largeCluster struct {
	*testing.T
	router         *Router
	rec            *recorder
	now            float64
	id             uint32
	unreachable    map[uint32]bool
	hosts          []Endpoint
	failedAttempts int

	attempts map[uint32]int // forwards of each GET
	pending  []scheduledResult
}

func newLargeCluster(t *testing.T, racks, each int) *largeCluster {
	c := &largeCluster{T: t, rec: &recorder{}, unreachable: map[uint32]bool{}, attempts: map[uint32]int{}}
	s := testSettings()
	s.Services[0].Objective = 0.2
	c.router = New(s, 0, c.rec)
	c.hosts = []Endpoint{endpoint(1<<30, 1, Ready), endpoint(1<<30+1, 1, Ready), endpoint(1<<30+2, 2, Ready)}
	for i := range racks * each {
		e := endpoint(uint32(i+1)*7919, 0, Ready)
		e.Cell = i / each
		c.hosts = append(c.hosts, e)
	}
	c.router.UpdateEndpoints(0, ListComplete, c.hosts)
	return c
}

// rack is the caches of one.
func (c *largeCluster) rack(cell int) (ids []uint32) {
	for _, h := range c.hosts {
		if h.Kind == 0 && h.Cell == cell {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

// run asks for objects, one each millisecond; hosts that are gone can't be reached, which is known after a tenth of a second.
func (c *largeCluster) run(gets int) (returned int) {
	for range gets {
		c.now += 0.001
		c.id++
		submit(c.router, c.now, c.id, fmt.Sprint("o", c.id%3000))
		if c.id%10 == 0 {
			runTimer(c.router, c.now)
		}
		for len(c.rec.attempts) > 0 {
			a := c.rec.attempts[0]
			c.rec.attempts = c.rec.attempts[1:]
			number := c.attempts[a.RequestID]
			c.attempts[a.RequestID]++
			if c.unreachable[a.Host] {
				c.failedAttempts++
				c.pending = append(c.pending, scheduledResult{c.now + 0.1, AttemptResult{RequestID: a.RequestID, Attempt: number, Outcome: Unreachable, Elapsed: 0.1}})
				continue
			}
			returned++
			respond(c.router, c.now, a.RequestID, number, Succeeded, CacheHit)
		}
		for len(c.pending) > 0 && c.pending[0].at <= c.now {
			c.router.HandleResult(c.now, c.pending[0].result)
			c.router.RunRetries(c.now)
			c.pending = c.pending[1:]
		}
	}
	return returned
}

// A rack that vanishes is seen as one: its hosts are asked for trials alone, as few as the ration allows, and believed again once some answer.
func TestARackThatVanishes(t *testing.T) {
	c := newLargeCluster(t, 10, 30)
	c.run(3000)
	assert.Zero(t, c.failedAttempts)
	for _, id := range append(c.rack(2), c.rack(5)...) {
		c.unreachable[id] = true
	}
	c.run(300)
	first := c.failedAttempts
	c.failedAttempts = 0
	c.run(5000)
	assert.Less(t, first, 100, "until the first losses have come back")
	assert.Less(t, c.failedAttempts, 5000/20, "trials")
	assert.Greater(t, c.failedAttempts, 20, "but some")
	clear(c.unreachable)
	c.failedAttempts = 0
	c.run(9000)
	assert.Zero(t, c.failedAttempts)
	left := 0
	for _, h := range c.router.endpoints.caches {
		if h.health.ejected || h.health.group.Suspected() {
			left++
		}
	}
	assert.Less(t, left, 6, "hosts that are back and still left")
}

// What forwards to hosts that are gone cost says nothing of fills: their limit stays.
func TestLostHostsDoNotCutTheFillLimit(t *testing.T) {
	c := newLargeCluster(t, 10, 30)
	c.run(1000)
	before := c.router.limits.fills.max
	for _, id := range c.rack(4) {
		c.unreachable[id] = true
	}
	c.run(6000)
	assert.Equal(t, before, c.router.limits.fills.max)
}

// A few hosts are judged by themselves alone, as they always were.
func TestFewHostsHaveNoGroup(t *testing.T) {
	c := newLargeCluster(t, 2, 6)
	for _, h := range c.router.endpoints.caches {
		assert.Nil(t, h.health.group)
	}
	c.unreachable[c.rack(0)[0]] = true
	c.run(500)
	assert.Greater(t, c.failedAttempts, 1, "one loss is not enough there")
}

// Objects that somebody chose because one cache comes first for all of them: others take over what it can't serve in the latency objective.
func TestAFloodOfObjectsForOneHost(t *testing.T) {
	c := newLargeCluster(t, 10, 30)
	var chosen []string
	for i := 0; len(chosen) < 200; i++ {
		name := fmt.Sprintf("%016x", i)
		c.router.endpoints.cacheOrder.Walk(hashName(name+" 0"), nil, 0, func(h *host) bool {
			if h.ID == 7919 {
				chosen = append(chosen, name)
			}
			return false
		})
	}
	free, to, late := map[uint32]float64{}, map[uint32]int{}, 0
	const takes, gets = 0.005, 6000 // a host does 200 a second, and is asked for 1,000
	for range gets {
		c.now += 0.001
		c.id++
		submit(c.router, c.now, c.id, chosen[int(c.id)%len(chosen)])
		for ; len(c.rec.attempts) > 0; c.rec.attempts = c.rec.attempts[1:] {
			a := c.rec.attempts[0]
			number := c.attempts[a.RequestID]
			c.attempts[a.RequestID]++
			to[a.Host]++
			free[a.Host] = max(free[a.Host], c.now) + takes
			took := free[a.Host] - c.now
			if took > 0.2 {
				late++
			}
			c.pending = append(c.pending, scheduledResult{free[a.Host], AttemptResult{RequestID: a.RequestID, Attempt: number, Outcome: Succeeded, Note: CacheHit, Elapsed: took, Final: true}})
		}
		if c.id%10 == 0 {
			runTimer(c.router, c.now)
		}
		c.pending = slices.DeleteFunc(c.pending, func(e scheduledResult) bool {
			if e.at > c.now {
				return false
			}
			c.router.HandleResult(c.now, e.result)
			c.router.RunRetries(c.now)
			return true
		})
	}
	assert.Less(t, to[7919], gets/2, "others take over")
	assert.Less(t, late, gets/8)
	assert.Less(t, len(c.rec.shed)+len(c.rec.failed), gets/20)
}

// Time that stands still, goes back, or jumps by an hour: every GET has one answer, and the next ones go on.
func TestTimeThatStandsStillOrJumps(t *testing.T) {
	c := newLargeCluster(t, 10, 30)
	c.run(200)
	for range 50 {
		c.id++
		submit(c.router, c.now, c.id, fmt.Sprint("p", c.id))
		c.router.HandleTimer(c.now)
	}
	open := len(c.router.requests.byID)
	runTimer(c.router, c.now-5)
	assert.Len(t, c.router.requests.byID, open)
	c.now += 3600
	runTimer(c.router, c.now)
	assert.Equal(t, 50, len(c.rec.shed)+len(c.rec.failed), "those under way are over at once")
	for id := c.id - 49; id <= c.id; id++ {
		for number := range c.attempts[id] + 1 {
			c.router.HandleResult(c.now, AttemptResult{RequestID: id, Attempt: number, Outcome: Canceled})
		}
	}
	assert.Empty(t, c.router.requests.byID)
	c.rec.attempts = nil
	assert.Equal(t, 200, c.run(200))
}

// A host of many that comes, goes, moves to another rack or comes back is in its group and in the order, or in none.
func TestCachesThatAreAddedAndRemoved(t *testing.T) {
	c := newLargeCluster(t, 10, 30)
	first := func() (id uint32) {
		c.router.endpoints.cacheOrder.Walk(12345, nil, 0, func(h *host) bool { id = h.ID; return false })
		return id
	}
	id := first()
	e, other := c.router.endpoints.byID[id].Endpoint, c.router.endpoints.byID[id]
	e.Phase = Removed
	c.router.UpdateEndpoints(1, ListChanges, []Endpoint{e})
	assert.NotEqual(t, id, first())
	assert.Nil(t, other.health.group)
	assert.Len(t, c.router.endpoints.caches, 299)
	e.Phase, e.Cell = Ready, 77
	c.router.UpdateEndpoints(2, ListChanges, []Endpoint{e, e})
	assert.Equal(t, id, first())
	assert.Len(t, c.router.endpoints.caches, 300, "named twice, it is there once")
	assert.True(t, c.router.endpoints.byID[id].health.group.In(grouphealth.Group{Cell: 77}))
	e.Cell = 78
	c.router.UpdateEndpoints(3, ListChanges, []Endpoint{e})
	assert.True(t, c.router.endpoints.byID[id].health.group.In(grouphealth.Group{Cell: 78}))
	c.router.UpdateEndpoints(4, ListComplete, c.hosts[:3+grouphealth.MinHosts-1])
	for _, h := range c.router.endpoints.caches {
		assert.Nil(t, h.health.group, "they are few now")
	}
}
