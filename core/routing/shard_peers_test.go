package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fakePeers are the other shards of a process.
type fakePeers struct {
	credit       float64
	creditTaken  bool // another shard has spent the credit
	probeAllowed bool // this shard may claim a trial
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

// hostFor submits a request for an object and returns the host that it is sent to, 0 for none.
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

func TestAHostThatAnotherShardEjectedIsEjectedHereToo(t *testing.T) {
	peers := &fakePeers{}
	r, rec := newShard(peers)
	first := hostFor(r, rec, 1, 1, "x")
	r.HandlePeerUpdate(1, PeerUpdate{Host: first, Ejected: true, Until: 3, Backoff: 1})
	assert.NotEqual(t, first, hostFor(r, rec, 2, 2, "x"), "it is not used while it is ejected")
	assert.NotEqual(t, first, hostFor(r, rec, 3.1, 3, "x"), "another shard claims its trial")
	peers.probeAllowed = true
	assert.Equal(t, first, hostFor(r, rec, 3.2, 4, "x"), "this shard claims its trial")
	r.HandlePeerUpdate(3.3, PeerUpdate{Host: first, Ejected: true, Until: 9, Backoff: 2})
	assert.NotEqual(t, first, hostFor(r, rec, 4, 5, "x"), "it is ejected again")
	r.HandlePeerUpdate(4, PeerUpdate{Host: first})
	assert.Equal(t, first, hostFor(r, rec, 4.1, 6, "x"), "it has recovered")
	r.HandlePeerUpdate(4, PeerUpdate{Host: 99, Ejected: true, Until: 9}) // one that this shard does not know
	assert.Empty(t, peers.published, "updates from peers are not published again")
}

func TestAShardPublishesWhatItFindsOut(t *testing.T) {
	peers := &fakePeers{probeAllowed: true}
	r, _ := newShard(peers)
	h := r.endpoints.byID[cacheA]
	r.now = 5
	for range 5 {
		r.outliers.observeFault(h, unreachableWeight)
	}
	require.Len(t, peers.published, 1, "an ejection is published once")
	assert.Equal(t, PeerUpdate{Host: cacheA, Ejected: true, Until: h.health.ejectedUntil, Backoff: 1}, peers.published[0])
	for range trialSuccesses {
		r.outliers.observeSuccess(h)
	}
	assert.Equal(t, PeerUpdate{Host: cacheA}, peers.published[1])
	r.limits.caches.acquire(4)
	r.limits.observeEnd(&r.limits.caches, 4, true)
	require.Len(t, peers.published, 3)
	assert.Equal(t, PeerUpdate{Limit: CacheLimit, LateShare: 1}, peers.published[2])
}

func TestALimitCutElsewhereIsCutHereOnce(t *testing.T) {
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
		l.ended, l.endedLate = 5, 5
		r.HandlePeerUpdate(2, PeerUpdate{Host: cacheA, Limit: kind, LateShare: 0.5})
		assert.InDelta(t, 40*(1-cutFactor*0.5), l.max, 1e-9, "limit %d is cut", kind)
		round := []float64{l.roundStart, l.ended, l.endedLate}
		assert.Equal(t, []float64{2, 0, 0}, round, "limit %d: the same lateness is not counted twice", kind)
		assert.Empty(t, peers.published)
	}
}

func TestAWarmingHostClaimedByAnotherShardIsAvoided(t *testing.T) {
	peers := &fakePeers{credit: 100, creditTaken: true}
	r, rec := newShard(peers)
	warming, object := uint32(0), ""
	for i := 0; warming != cacheA; i++ { // an object whose host starts its slow start
		object = fmt.Sprint("x", i)
		warming = hostFor(r, rec, 1, uint32(100+i), object)
	}
	r.WeightsKnown = true // so that its share is large enough to be drawn soon
	e := endpoint(warming, 0, Ready)
	e.OnlineSince, e.OnlineSinceKnown = 2, true
	r.UpdateEndpoints(2, ListChanges, []Endpoint{e})
	now, id, before := 2.1, uint32(1000), len(rec.attempts)
	submit(r, now, id, object)
	for peers.spendCalls == 0 && id < 1080 { // until it is drawn for a request
		respond(r, now, id, 0, Succeeded, CacheHit)
		now, id, before = now+0.1, id+1, len(rec.attempts)
		submit(r, now, id, object)
	}
	for _, a := range rec.attempts[before:] {
		assert.NotEqual(t, warming, a.Host)
	}
	peers.credit = 0 // as the shared credit is from then on
	runTimers(r, now, now+0.1)
	assert.Positive(t, peers.spendCalls)
	assert.NotEqual(t, warming, rec.last().Host)
	assert.Len(t, rec.attempts, before+1, "the request is sent elsewhere, once")
}
