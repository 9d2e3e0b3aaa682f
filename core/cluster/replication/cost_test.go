package replication

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin/need"
)

// Every member is a writer here. The bytes per member and interval must not grow with the number of members, neither without writes nor with the
// same number of writes in the whole fleet, and a write must reach a majority as quickly. Guards against messages that grow with the number of
// writers.
func TestTrafficPerMemberIsIndependentOfFleetSize(t *testing.T) {
	t.Parallel()
	sizes := []int{10, 100}
	if os.Getenv("ELDERWALL_SCHEDULES") != "" {
		sizes = append(sizes, 300)
	}
	idleBytes, busyBytes, majorityDelay := map[int]float64{}, map[int]float64{}, map[int]float64{}
	for _, n := range sizes {
		sim := newSimulation(t, n, 8)
		sim.startAll()
		sim.run(4)
		for i, x := range sim.nodes {
			need.Of(sim.write(x, kindUnordered, fmt.Sprint("k", i), "v", false, WriteConcern{}))(t)
		}
		require.Less(t, sim.runUntilEqual(60), 60.0)
		bytesPerMember := func(span int, f func(int)) float64 {
			clear(sim.bytes)
			for i := range span {
				f(i)
				sim.run(1)
			}
			return float64(sim.totalBytes()) / float64(n*span)
		}
		idleBytes[n] = bytesPerMember(10, func(int) {})
		var dots []Dot
		busyBytes[n] = bytesPerMember(10, func(i int) {
			d := need.Of(sim.write(sim.nodes[i*7%n], kindUnordered, fmt.Sprint("k", i), "w", false, WriteConcern{Level: LevelCopies, Copies: 3, Timeout: 20}))(t)
			dots = append(dots, d)
		})
		d := need.Of(sim.write(sim.nodes[0], kindUnordered, "k", "v", false, WriteConcern{Level: LevelMajority, Timeout: 60}))(t)
		for from := sim.now; !sim.writes[d].acknowledged && sim.now < from+60; majorityDelay[n] = sim.now - from {
			sim.run(0.25)
		}
		for _, d := range dots {
			assert.True(t, sim.writes[d].level >= LevelCopies, "%v", d)
		}
		require.Less(t, sim.runUntilEqual(60), 60.0)
		assert.Empty(t, sim.violations())
	}
	t.Logf("bytes per member and interval, without writes: %v, with one write per interval: %v; intervals until a majority acknowledged: %v", idleBytes, busyBytes, majorityDelay)
	for _, n := range sizes[1:] {
		assert.Less(t, idleBytes[n], 1.2*idleBytes[10])
		assert.Less(t, busyBytes[n], 2*busyBytes[10])
		assert.Less(t, majorityDelay[n], 4.0)
	}
}

// The incrementally updated sums of a vector must equal a full recount, and different vectors must have different sums. A digest must show the
// buckets that differ.
func TestVectorSumsMatchRecount(t *testing.T) {
	c := rand.New(rand.NewPCG(9, 9))
	v, seen := newVector(), map[uint64]string{}
	for range 2_000 {
		name := fmt.Sprint("n", c.IntN(60))
		if w := v.writers[name]; w != nil && len(w.marks) > 2 && c.IntN(8) == 0 {
			v.update(w, func() { w.marks = w.marks[1:]; w.floor = w.marks[0].epoch })
		} else {
			v.raise(name, 1+c.Uint64N(9), 1+c.Uint64N(50))
		}
		all := v.entries(nil)
		again := vectorFrom(all)
		require.Equal(t, again.sums, v.sums)
		require.Equal(t, again.sum, v.sum)
		was, ok := seen[v.sum]
		require.True(t, !ok || was == fmt.Sprint(all))
		seen[v.sum] = fmt.Sprint(all)
	}
	o := v.clone()
	o.raise("n3", 99, 1)
	shown := v.differingBuckets(7, o.digest(7))
	assert.Equal(t, []byte{bucketOf("n3")}, shown)
	assert.Equal(t, o.entries(nil), v.withBuckets(shown, vectorFrom(o.entries(shown)), o.sum).entries(nil))
	assert.Nil(t, v.withBuckets(nil, newVector(), o.sum))
	assert.Len(t, v.differingBuckets(7, v.digest(7)), bucketCount)
}

// Many members request snapshots from one source. The source must not send more than its rate, since the requesters can try other sources.
func TestPullSourceLimitsItsRate(t *testing.T) {
	sim := newSimulation(t, 2, 10)
	sim.startAll()
	sim.run(3)
	sim.writeMany(sim.nodes[0], 20_000, "a")
	m, served := sim.nodes[0].machine, 0
	m.Ready()
	m.settings.CatchUpRate, m.serveTokens, m.serveRefilledAt = 100_000, 100_000, sim.now
	for i := range 200 {
		require.NoError(t, m.Step("n001", &Message{PullRequest: &PullRequest{ID: uint64(i), Snapshot: true}}, sim.now+float64(i)/10))
		for _, e := range m.Ready().Send {
			served += responseSize(e.Message.PullResponse)
		}
	}
	assert.Greater(t, served, 1_900_000)
	assert.Less(t, served, 100_000*(20+1)+2*streamBudget)
}

func responseSize(g *PullResponse) (n int) {
	for i := range g.Records {
		n += messageSize(&g.Records[i].Record)
	}
	return n
}
