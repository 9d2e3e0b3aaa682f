package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fakePeers stands in for the other shards of a process.
type fakePeers struct {
	credit       float64
	creditTaken  bool // another shard has spent the credit
	probeAllowed bool // this shard may claim a probe
	published    []PeerUpdate
	spendCalls   int
}

func (peers *fakePeers) AccrueCredit(_ uint32, _, _, _, _ float64) float64 { return peers.credit }

func (peers *fakePeers) SpendCredit(uint32, float64) bool {
	peers.spendCalls++
	return !peers.creditTaken
}

func (peers *fakePeers) ClaimProbe(float64, uint32) bool { return peers.probeAllowed }

func (peers *fakePeers) Publish(u PeerUpdate) { peers.published = append(peers.published, u) }

func newShard(peers *fakePeers) (*Router, *recorder) {
	return newCluster(func(s *Settings) { s.Shards, s.Peers = 4, peers })
}

// hostFor submits a request for an object and returns the host that it is sent to, or 0 if it is not sent.
func hostFor(r *Router, rec *recorder, now float64, id uint32, object string) uint32 {
	before := len(rec.attempts)
	r.HandleTimer(now)
	submit(r, now, id, object)
	if len(rec.attempts) == before {
		return 0
	}
	host := rec.last().Host
	respond(r, now, id, 0, Succeeded, CacheHit)
	return host
}

// A host that another shard has ejected is not used in this shard either, until this shard may claim a probe
// or the host has recovered.
func TestEjectionByAnotherShardIsApplied(t *testing.T) {
	peers := &fakePeers{}
	r, rec := newShard(peers)
	first := hostFor(r, rec, 1, 1, "x")
	r.HandlePeerUpdate(1, PeerUpdate{Host: first, Ejected: true, Until: 3, Backoff: 1})
	assert.NotEqual(t, first, hostFor(r, rec, 2, 2, "x"), "it is not used while it is ejected")
	assert.NotEqual(t, first, hostFor(r, rec, 3.1, 3, "x"), "another shard has claimed the probe")
	peers.probeAllowed = true
	assert.Equal(t, first, hostFor(r, rec, 3.2, 4, "x"), "this shard claims the probe")
	r.HandlePeerUpdate(3.3, PeerUpdate{Host: first, Ejected: true, Until: 9, Backoff: 2})
	assert.NotEqual(t, first, hostFor(r, rec, 4, 5, "x"), "it is ejected again")
	r.HandlePeerUpdate(4, PeerUpdate{Host: first})
	assert.Equal(t, first, hostFor(r, rec, 4.1, 6, "x"), "it has recovered")
	r.HandlePeerUpdate(4, PeerUpdate{Host: 99, Ejected: true, Until: 9}) // a host that this shard does not know
	assert.Empty(t, peers.published, "updates from peers are not published again")
}

// A shard publishes each ejection, recovery and cut of a limit exactly once.
func TestShardPublishesEjectionsRecoveriesAndCuts(t *testing.T) {
	peers := &fakePeers{probeAllowed: true}
	r, _ := newShard(peers)
	h := r.endpoints.byID[cacheA]
	r.now = 5
	for range 5 {
		r.outliers.observeFault(h, unreachableWeight)
	}
	require.Len(t, peers.published, 1, "an ejection is published once")
	assert.Equal(t, PeerUpdate{Host: cacheA, Ejected: true, Until: h.health.ejectedUntil, Backoff: 1}, peers.published[0])
	for range recoverySuccesses {
		r.outliers.observeSuccess(h)
	}
	assert.Equal(t, PeerUpdate{Host: cacheA}, peers.published[1])
	r.limits.caches.acquire(4)
	r.limits.observeEnd(&r.limits.caches, 4, true)
	require.Len(t, peers.published, 3)
	assert.Equal(t, PeerUpdate{Limit: CacheLimit, LateShare: 1}, peers.published[2])
}

// A cut that another shard publishes is applied if work is in flight here. Guards against a second cut for
// the same lateness: the cut begins a new round.
func TestLimitCutByAnotherShardIsAppliedOnce(t *testing.T) {
	for _, kind := range []LimitKind{HostLimit, CacheLimit, FillLimit, OriginLimit} {
		peers := &fakePeers{}
		r, _ := newShard(peers)
		l := map[LimitKind]*concurrencyLimit{
			HostLimit:   &r.endpoints.byID[cacheA].limit,
			CacheLimit:  &r.limits.caches,
			FillLimit:   &r.limits.fills,
			OriginLimit: &r.limits.origin,
		}[kind]
		l.max = 100
		r.HandlePeerUpdate(1, PeerUpdate{Host: cacheA, Limit: kind, LateShare: 0.5})
		assert.EqualValues(t, 100, l.max, "limit %d: with nothing in flight it is not cut", kind)
		l.acquire(40)
		l.endedWork, l.endedLateWork = 5, 5
		r.HandlePeerUpdate(2, PeerUpdate{Host: cacheA, Limit: kind, LateShare: 0.5})
		assert.InDelta(t, 40*(1-cutFactor*0.5), l.max, 1e-9, "limit %d is cut", kind)
		round := []float64{l.roundStart, l.endedWork, l.endedLateWork}
		assert.Equal(t, []float64{2, 0, 0}, round, "limit %d: the same lateness is not counted twice", kind)
		assert.Empty(t, peers.published)
	}
}

// If another shard has spent the shared credit for a host in slow start, the request is sent to another host,
// once.
func TestSlowStartHostClaimedByAnotherShardIsAvoided(t *testing.T) {
	peers := &fakePeers{credit: 100, creditTaken: true}
	r, rec := newShard(peers)
	slowStartHost, object := uint32(0), ""
	for i := 0; slowStartHost != cacheA; i++ { // find an object that prefers the host that will start its slow start
		object = fmt.Sprint("x", i)
		slowStartHost = hostFor(r, rec, 1, uint32(100+i), object)
	}
	r.WeightsKnown = true // makes the host's share large enough to be drawn soon
	e := endpoint(slowStartHost, 0, Ready)
	e.OnlineSince, e.OnlineSinceKnown = 2, true
	r.UpdateEndpoints(2, ListChanges, []Endpoint{e})
	now, id, before := 2.1, uint32(1000), len(rec.attempts)
	submit(r, now, id, object)
	for peers.spendCalls == 0 && id < 1080 { // until the host is drawn for a request
		respond(r, now, id, 0, Succeeded, CacheHit)
		now, id, before = now+0.1, id+1, len(rec.attempts)
		submit(r, now, id, object)
	}
	for _, a := range rec.attempts[before:] {
		assert.NotEqual(t, slowStartHost, a.Host)
	}
	peers.credit = 0 // the shared credit stays used up from now on
	runTimers(r, now, now+0.1)
	assert.Positive(t, peers.spendCalls)
	assert.NotEqual(t, slowStartHost, rec.last().Host)
	assert.Len(t, rec.attempts, before+1, "the request is sent elsewhere, once")
}
