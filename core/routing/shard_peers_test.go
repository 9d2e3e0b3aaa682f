package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// otherShards is what the other shards of a process have to say.
type otherShards struct {
	credit       float64
	spent, trial bool // whether another was faster, whether this shard may try
	told         []PeerUpdate
	asked        int
}

func (o *otherShards) AccrueCredit(_ uint32, _, _, _, _ float64) float64 { return o.credit }

func (o *otherShards) SpendCredit(uint32, float64) bool { o.asked++; return !o.spent }

func (o *otherShards) ClaimProbe(float64, uint32) bool { return o.trial }

func (o *otherShards) Publish(n PeerUpdate) { o.told = append(o.told, n) }

func newShard(o *otherShards) (*Router, *recorder) {
	return newCluster(func(s *Settings) { s.Shards, s.Peers = 4, o })
}

// homeOf is the host that an object goes to.
func homeOf(d *Router, r *recorder, now float64, id uint32, object string) uint32 {
	before := len(r.forwards)
	d.HandleTimer(now)
	ask(d, now, id, object)
	if len(r.forwards) == before {
		return 0
	}
	host := r.last().Host
	answer(d, now, id, 0, Succeeded, CacheHit)
	return host
}

func TestAHostThatAnotherShardEjectedIsEjectedHereToo(t *testing.T) {
	o := &otherShards{}
	d, r := newShard(o)
	first := homeOf(d, r, 1, 1, "x")
	d.HandlePeerUpdate(1, PeerUpdate{Host: first, Ejected: true, Until: 3, Backoff: 1})
	assert.NotEqual(t, first, homeOf(d, r, 2, 2, "x"), "it is left")
	assert.NotEqual(t, first, homeOf(d, r, 3.1, 3, "x"), "another shard tries it")
	o.trial = true
	assert.Equal(t, first, homeOf(d, r, 3.2, 4, "x"), "this one may")
	d.HandlePeerUpdate(3.3, PeerUpdate{Host: first, Ejected: true, Until: 9, Backoff: 2})
	assert.NotEqual(t, first, homeOf(d, r, 4, 5, "x"))
	d.HandlePeerUpdate(4, PeerUpdate{Host: first})
	assert.Equal(t, first, homeOf(d, r, 4.1, 6, "x"), "it is trusted again")
	d.HandlePeerUpdate(4, PeerUpdate{Host: 99, Ejected: true, Until: 9}) // one that this shard does not know
	assert.Empty(t, o.told, "what is told is not passed on")
}

func TestAShardPublishesWhatItFindsOut(t *testing.T) {
	o := &otherShards{trial: true}
	d, _ := newShard(o)
	h := d.endpoints.byID[cacheA]
	d.now = 5
	for range 5 {
		d.outliers.observeFault(h, unreachableWeight)
	}
	require.Len(t, o.told, 1, "while it is left it is not told again")
	assert.Equal(t, PeerUpdate{Host: cacheA, Ejected: true, Until: h.health.ejectedUntil, Backoff: 1}, o.told[0])
	for range trialSuccesses {
		d.outliers.observeSuccess(h)
	}
	assert.Equal(t, PeerUpdate{Host: cacheA}, o.told[1])
	d.limits.caches.acquire(4)
	d.limits.observeEnd(&d.limits.caches, 4, true)
	require.Len(t, o.told, 3)
	assert.Equal(t, PeerUpdate{Limit: CacheLimit, LateShare: 1}, o.told[2])
}

func TestALimitCutElsewhereIsCutHereOnce(t *testing.T) {
	for _, n := range []LimitKind{HostLimit, CacheLimit, FillLimit, OriginLimit} {
		o := &otherShards{}
		d, _ := newShard(o)
		l := map[LimitKind]*concurrencyLimit{HostLimit: &d.endpoints.byID[cacheA].limit, CacheLimit: &d.limits.caches, FillLimit: &d.limits.fills, OriginLimit: &d.limits.origin}[n]
		l.max = 100
		d.HandlePeerUpdate(1, PeerUpdate{Host: cacheA, Limit: n, LateShare: 0.5})
		assert.EqualValues(t, 100, l.max, "%d: with nothing under it, it says nothing", n)
		l.acquire(40)
		l.ended, l.endedLate = 5, 5
		d.HandlePeerUpdate(2, PeerUpdate{Host: cacheA, Limit: n, LateShare: 0.5})
		assert.InDelta(t, 40*(1-cutFactor*0.5), l.max, 1e-9, "%d", n)
		assert.Equal(t, []float64{2, 0, 0}, []float64{l.roundStart, l.ended, l.endedLate}, "%d: the same lateness is not counted twice", n)
		assert.Empty(t, o.told)
	}
}

func TestAWarmingHostClaimedByAnotherShardIsAvoided(t *testing.T) {
	o := &otherShards{credit: 100, spent: true}
	d, r := newShard(o)
	cold, object := uint32(0), ""
	for i := 0; cold != cacheA; i++ { // an object whose home becomes cold
		object = fmt.Sprint("x", i)
		cold = homeOf(d, r, 1, uint32(100+i), object)
	}
	d.WeightsKnown = true // so that its share is large enough to be drawn soon
	e := entry(cold, 0, Ready)
	e.OnlineSince, e.OnlineSinceKnown = 2, true
	d.UpdateEndpoints(2, ListChanges, []Endpoint{e})
	now, id, before := 2.1, uint32(1000), len(r.forwards)
	ask(d, now, id, object)
	for ; o.asked == 0 && id < 1080; ask(d, now, id, object) { // until a look at it draws a GET
		answer(d, now, id, 0, Succeeded, CacheHit)
		now, id, before = now+0.1, id+1, len(r.forwards)
	}
	for _, f := range r.forwards[before:] {
		assert.NotEqual(t, cold, f.Host)
	}
	o.credit = 0 // as the pot says from then on
	tickTo(d, now, now+0.1)
	assert.Positive(t, o.asked)
	assert.NotEqual(t, cold, r.last().Host)
	assert.Len(t, r.forwards, before+1, "it goes elsewhere, once")
}
