package routing

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"elderwall/core/routing/grouphealth"
)

// scheduledResult is the result of an attempt that is due at a time.
type scheduledResult struct {
	at     float64 // seconds
	result AttemptResult
}

// largeCluster is a router with racks of simulated caches.
type largeCluster struct {
	*testing.T
	router         *Router
	rec            *recorder
	now            float64
	lastID         uint32
	hosts          []Endpoint
	unreachable    map[uint32]bool // by host ID
	failedAttempts int             // attempts at unreachable hosts
	attempts       map[uint32]int  // number sent so far, by request ID
	pending        []scheduledResult
}

func newLargeCluster(t *testing.T, racks, cachesPerRack int) *largeCluster {
	c := &largeCluster{T: t, rec: &recorder{}, unreachable: map[uint32]bool{}, attempts: map[uint32]int{}}
	settings := testSettings()
	settings.Services[0].Objective = 0.2
	c.router = New(settings, 0, c.rec)
	c.hosts = []Endpoint{endpoint(1<<30, 1, Ready), endpoint(1<<30+1, 1, Ready), endpoint(1<<30+2, 2, Ready)}
	for i := range racks * cachesPerRack {
		e := endpoint(uint32(i+1)*7919, 0, Ready)
		e.Cell = i / cachesPerRack
		c.hosts = append(c.hosts, e)
	}
	c.router.UpdateEndpoints(0, ListComplete, c.hosts)
	return c
}

// rack returns the IDs of the caches in a rack.
func (c *largeCluster) rack(cell int) (ids []uint32) {
	for _, h := range c.hosts {
		if h.Kind == 0 && h.Cell == cell {
			ids = append(ids, h.ID)
		}
	}
	return ids
}

// run submits one request per millisecond, and returns how many attempts succeeded. An attempt at an
// unreachable host fails after 0.1 s.
func (c *largeCluster) run(requests int) (succeeded int) {
	for range requests {
		c.now += 0.001
		c.lastID++
		submit(c.router, c.now, c.lastID, fmt.Sprint("o", c.lastID%3000))
		if c.lastID%10 == 0 {
			runTimer(c.router, c.now)
		}
		succeeded += c.serve()
		c.returnPending()
	}
	return succeeded
}

// serve has hosts serve the attempts that were sent, and returns how many succeeded.
func (c *largeCluster) serve() (succeeded int) {
	for len(c.rec.attempts) > 0 {
		a, number := c.nextAttempt()
		if !c.unreachable[a.Host] {
			succeeded++
			respond(c.router, c.now, a.RequestID, number, Succeeded, CacheHit)
			continue
		}
		c.failedAttempts++
		result := AttemptResult{RequestID: a.RequestID, Attempt: number, Outcome: Unreachable, Elapsed: 0.1}
		c.pending = append(c.pending, scheduledResult{c.now + 0.1, result})
	}
	return succeeded
}

// nextAttempt removes and returns the next attempt that was sent, with its number.
func (c *largeCluster) nextAttempt() (a Attempt, number int) {
	a, c.rec.attempts = c.rec.attempts[0], c.rec.attempts[1:]
	number = c.attempts[a.RequestID]
	c.attempts[a.RequestID]++
	return a, number
}

// returnPending returns the results that are due. It requires that results are pending in order of time.
func (c *largeCluster) returnPending() {
	for len(c.pending) > 0 && c.pending[0].at <= c.now {
		c.router.HandleResult(c.now, c.pending[0].result)
		c.router.RunRetries(c.now)
		c.pending = c.pending[1:]
	}
}

// When whole racks become unreachable, their hosts are suspected as a group. They receive only probes, within
// the probe budget, and are used again after some of them have responded.
func TestUnreachableRackIsDetectedAsGroup(t *testing.T) {
	c := newLargeCluster(t, 10, 30)
	c.run(3000)
	assert.Zero(t, c.failedAttempts)
	for _, id := range append(c.rack(2), c.rack(5)...) {
		c.unreachable[id] = true
	}
	c.run(300)
	undetected := c.failedAttempts
	c.failedAttempts = 0
	c.run(5000)
	assert.Less(t, undetected, 100, "failed attempts before the first failures are reported")
	assert.Less(t, c.failedAttempts, 5000/20, "probes stay within their budget")
	assert.Greater(t, c.failedAttempts, 20, "some probes are sent")
	clear(c.unreachable)
	c.failedAttempts = 0
	c.run(9000)
	assert.Zero(t, c.failedAttempts)
	unused := 0
	for _, h := range c.router.endpoints.caches {
		if h.health.ejected || h.health.group.Suspected() {
			unused++
		}
	}
	assert.Less(t, unused, 6, "hosts that are reachable and still ejected or suspected")
}

// Attempts at unreachable hosts show nothing about fills. Guards against their failures cutting the fill
// limit.
func TestUnreachableHostsDoNotCutFillLimit(t *testing.T) {
	c := newLargeCluster(t, 10, 30)
	c.run(1000)
	before := c.router.limits.fills.max
	for _, id := range c.rack(4) {
		c.unreachable[id] = true
	}
	c.run(6000)
	assert.Equal(t, before, c.router.limits.fills.max, "the fill limit")
}

// With few hosts there are no groups, and each host is judged by itself.
func TestFewHostsHaveNoGroups(t *testing.T) {
	c := newLargeCluster(t, 2, 6)
	for _, h := range c.router.endpoints.caches {
		assert.Nil(t, h.health.group)
	}
	c.unreachable[c.rack(0)[0]] = true
	c.run(500)
	assert.Greater(t, c.failedAttempts, 1, "one failure does not eject a host of few")
}

// Guards against overload of one cache by requests for objects that were chosen because they all prefer it.
// Other caches take over what it can't serve within the latency objective.
func TestObjectsThatPreferOneHostSpillOver(t *testing.T) {
	c := newLargeCluster(t, 10, 30)
	const (
		target      = 7919
		serviceTime = 0.005 // seconds; a host can serve 200 requests per second, and 1,000 are requested
		requests    = 6000
	)
	objects := c.objectsThatPrefer(target, 200)
	freeAt, sent, late := map[uint32]float64{}, map[uint32]int{}, 0
	for range requests {
		c.now += 0.001
		c.lastID++
		submit(c.router, c.now, c.lastID, objects[int(c.lastID)%len(objects)])
		for len(c.rec.attempts) > 0 {
			a, number := c.nextAttempt()
			sent[a.Host]++
			freeAt[a.Host] = max(freeAt[a.Host], c.now) + serviceTime
			elapsed := freeAt[a.Host] - c.now
			if elapsed > 0.2 {
				late++
			}
			c.pending = append(c.pending, scheduledResult{freeAt[a.Host], AttemptResult{
				RequestID: a.RequestID, Attempt: number, Outcome: Succeeded, Note: CacheHit, Elapsed: elapsed, Final: true,
			}})
		}
		if c.lastID%10 == 0 {
			runTimer(c.router, c.now)
		}
		c.returnPendingInAnyOrder()
	}
	assert.Less(t, sent[target], requests/2, "other caches take over")
	assert.Less(t, late, requests/8, "late responses")
	assert.Less(t, len(c.rec.shed)+len(c.rec.failed), requests/20, "requests that are shed or failed")
}

// objectsThatPrefer returns objects whose order of caches begins with the given cache.
func (c *largeCluster) objectsThatPrefer(cache uint32, count int) (objects []string) {
	for i := 0; len(objects) < count; i++ {
		name := fmt.Sprintf("%016x", i)
		c.router.endpoints.cacheOrder.Walk(hashName(name+" 0"), nil, 0, func(h *host) bool {
			if h.ID == cache {
				objects = append(objects, name)
			}
			return false
		})
	}
	return objects
}

// returnPendingInAnyOrder returns the results that are due when results are not pending in order of time.
func (c *largeCluster) returnPendingInAnyOrder() {
	c.pending = slices.DeleteFunc(c.pending, func(p scheduledResult) bool {
		if p.at > c.now {
			return false
		}
		c.router.HandleResult(c.now, p.result)
		c.router.RunRetries(c.now)
		return true
	})
}

// Guards against a clock that stands still, goes back, or jumps ahead by an hour. Every request still has one
// answer, and later requests are served.
func TestClockThatStandsStillOrJumps(t *testing.T) {
	c := newLargeCluster(t, 10, 30)
	c.run(200)
	for range 50 {
		c.lastID++
		submit(c.router, c.now, c.lastID, fmt.Sprint("p", c.lastID))
		c.router.HandleTimer(c.now)
	}
	open := len(c.router.requests.byID)
	runTimer(c.router, c.now-5)
	assert.Len(t, c.router.requests.byID, open, "no request ends when the clock goes back")
	c.now += 3600
	runTimer(c.router, c.now)
	assert.Equal(t, 50, len(c.rec.shed)+len(c.rec.failed), "requests in flight are shed or failed immediately")
	for id := c.lastID - 49; id <= c.lastID; id++ {
		for number := range c.attempts[id] + 1 {
			c.router.HandleResult(c.now, AttemptResult{RequestID: id, Attempt: number, Outcome: Canceled})
		}
	}
	assert.Empty(t, c.router.requests.byID)
	c.rec.attempts = nil
	assert.Equal(t, 200, c.run(200))
}

// A cache is in the order of caches and in its group exactly while it is listed. Guards against caches that
// are lost or duplicated when they are removed, added again, listed twice, or moved to another rack.
func TestCacheOrderAndGroupsFollowEndpointList(t *testing.T) {
	c := newLargeCluster(t, 10, 30)
	first := func() (id uint32) {
		c.router.endpoints.cacheOrder.Walk(12345, nil, 0, func(h *host) bool { id = h.ID; return false })
		return id
	}
	id := first()
	removed := c.router.endpoints.byID[id]
	e := removed.Endpoint
	e.Phase = Removed
	c.router.UpdateEndpoints(1, ListChanges, []Endpoint{e})
	assert.NotEqual(t, id, first())
	assert.Nil(t, removed.health.group)
	assert.Len(t, c.router.endpoints.caches, 299)
	e.Phase, e.Cell = Ready, 77
	c.router.UpdateEndpoints(2, ListChanges, []Endpoint{e, e})
	assert.Equal(t, id, first())
	assert.Len(t, c.router.endpoints.caches, 300, "a host that is listed twice is known once")
	assert.True(t, c.router.endpoints.byID[id].health.group.BelongsTo(grouphealth.Group{Cell: 77}))
	e.Cell = 78
	c.router.UpdateEndpoints(3, ListChanges, []Endpoint{e})
	assert.True(t, c.router.endpoints.byID[id].health.group.BelongsTo(grouphealth.Group{Cell: 78}))
	c.router.UpdateEndpoints(4, ListComplete, c.hosts[:3+grouphealth.MinHosts-1])
	for _, h := range c.router.endpoints.caches {
		assert.Nil(t, h.health.group, "few hosts have no groups")
	}
}
