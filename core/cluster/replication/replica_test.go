package replication

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin/need"
)

func scheduleCount(minimum int) uint64 {
	n, _ := strconv.Atoi(os.Getenv("ELDERWALL_SCHEDULES"))
	return uint64(max(n, minimum))
}

// After any seeded schedule of partitions, losses, restarts and full disks the members must agree again, with nothing lost or restored.
func TestRandomFaultSchedules(t *testing.T) {
	for seed := range scheduleCount(36) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			assert.Empty(t, runSchedule(t, seed, nil))
		})
	}
}

// The checks of the simulation must detect each fault that is injected into the machine, or they would prove nothing.
func TestInjectedFaultsAreDetected(t *testing.T) {
	for name, configure := range map[string]func(*Machine){
		"the vector is joined before the records":                              func(m *Machine) { m.fault.vectorBeforeRecords = true },
		"tombstones are forgotten at once and superseded records are accepted": func(m *Machine) { m.fault.forgetEarly, m.fault.acceptSuperseded = true, true },
		"no merge order": func(m *Machine) { m.fault.noMergeOrder = true },
		"writes are acknowledged before they are saved":     func(m *Machine) { m.fault.ackEarly = true },
		"a pull removes records that only its member has":   func(m *Machine) { m.fault.dropAll = true },
		"writes are acknowledged while the disk is full":    func(m *Machine) { m.fault.ackUnpersisted = true },
		"superseded records are accepted":                   func(m *Machine) { m.fault.acceptSuperseded = true },
		"records of an unknown kind are dropped unreported": func(m *Machine) { m.fault.hideDrops = true },
		"incomplete kinds are not saved":                    func(m *Machine) { m.fault.loseIncomplete = true },
		"a source that is behind completes a kind":          func(m *Machine) { m.fault.clearEarly = true },
		"a restart of a source is ignored":                  func(m *Machine) { m.fault.ignoreBootID = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			firstSeed := map[string]uint64{"superseded records are accepted": 60, "a restart of a source is ignored": 225}[name] // few seeds detect these
			for seed := firstSeed; seed < firstSeed+300; seed++ {
				if bad := runSchedule(t, seed, configure); len(bad) > 0 {
					t.Logf("detected by schedule %d: %s", seed, strings.SplitN(bad[0], "\n", 2)[0])
					return
				}
			}
			t.Error("the fault was not detected")
		})
	}
}

// Three writes of one key must give the same record in every order of arrival. Guards against a merge that is not commutative or not associative.
func TestMergeConvergesInEveryOrder(t *testing.T) {
	orders := [][3]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}}
	writes := [][2]any{{"00000005 a", false}, {"00000005 b", false}, {"00000005 a", true}, {"00000007 c", false}, {"00000003 d", true}}
	cases := 0
	for i := range 125 {
		pick, first := [3]int{i / 25, i / 5 % 5, i % 5}, ""
		for o, order := range orders { // the result of a replica depends only on its own order, so all triples of orders agree if all single orders do
			m := need.Of(New(Settings{Name: "r", Kinds: testKinds()}, nil, 0))(t)
			m.SetFleet(Fleet{Others: []Member{{Name: "w0"}, {Name: "w1"}, {Name: "w2"}}}, 0)
			for _, at := range order {
				w, name := writes[pick[at]], fmt.Sprintf("w%d", at)
				rec := Record{Kind: kindMaximum, Key: "k", Value: []byte(w[0].(string)), Deleted: w[1].(bool), Dot: Dot{name, 1, 1}}
				require.NoError(t, m.Step(name, &Message{Deltas: []Delta{{Writer: name, WriterEpoch: 1, Index: []uint32{0}, Records: []ReplicatedRecord{{Record: rec}}}}}, 1))
			}
			got := fmt.Sprintf("%v", m.kinds[kindMaximum].byKey["k"].record)
			if o == 0 {
				first = got
			}
			require.Equal(t, first, got, "%v in order %v", pick, order)
			cases += 36
		}
	}
	t.Log(cases, "cases")
}

func (sim *simulation) writeMany(x *node, n int, prefix string) {
	for i := range n {
		_, err := sim.write(x, kindUnordered, fmt.Sprintf("%s%06d", prefix, i), fmt.Sprintf("%08d some eighty bytes of a fact about an object, its classes and what stood for them", i), false, WriteConcern{})
		require.NoError(sim.t, err)
		if i%100 == 99 {
			sim.run(0.25)
		}
	}
	sim.drainReady(x)
}

// The bytes of a catch-up must grow with the number of records that differ and not with the number of all records. Within
// Settings.Horizon, only a member with an empty disk may pull a whole snapshot.
func TestCatchUpCostGrowsWithDifference(t *testing.T) {
	for _, c := range []struct {
		name                      string
		missedWrites              int // writes while the member is down
		keepLogs, expectsSnapshot bool
		emptyDisk                 bool
		maxBytes                  int
	}{
		{"deltas", 300, true, false, false, 300_000},
		{"digests", 300, false, false, false, 300_000},
		{"digests of few", 10, false, false, false, 60_000},
		{"whole", 10, false, true, true, 3_000_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 3, 1)
			sim.startAll()
			sim.run(3)
			sim.writeMany(sim.nodes[0], 10_000, "a")
			require.Less(t, sim.runUntilEqual(60), 60.0)
			x := sim.nodes[2]
			sim.killNode(x)
			sim.writeMany(sim.nodes[1], c.missedWrites, "b")
			sim.run(3)
			if !c.keepLogs {
				clearLogs(sim.nodes[:2]...)
			}
			before := sim.totalBytes()
			saved := x.disk.load(sim.now)
			if c.emptyDisk {
				x.disk, saved = newDisk(), nil
			}
			sim.startNode(x, saved)
			took := sim.runUntilEqual(100)
			after := sim.totalBytes() - before
			s := x.machine.Status()
			t.Logf("%d of %d records differ: %d bytes, %.1f intervals, %d digest walks, %d snapshots", c.missedWrites, 10_000+c.missedWrites, after, took, s.DigestWalks, s.Snapshots)
			assert.Less(t, after, c.maxBytes)
			assert.Less(t, took, 100.0)
			assert.Equal(t, c.expectsSnapshot, s.Snapshots > 0)
			assert.Equal(t, !c.keepLogs && !c.expectsSnapshot, s.DigestWalks > 0)
			assert.Empty(t, sim.violations())
		})
	}
}

// A snapshot whose source is killed must continue from another source. Records that only the pulling member has must stay, and records that were
// deleted meanwhile must go.
func TestSnapshotContinuesFromAnotherSource(t *testing.T) {
	t.Parallel()
	sim := newSimulation(t, 4, 2)
	sim.configure = func(m *Machine) { m.settings.CatchUpRate = 100_000 }
	sim.startAll()
	sim.run(3)
	sim.writeMany(sim.nodes[0], 10_000, "a")
	require.Less(t, sim.runUntilEqual(60), 60.0)
	x := sim.nodes[3]
	for _, n := range sim.nodes {
		n.machine.SetFleet(Fleet{}, sim.now) // no member sees any other
	}
	need.Of(sim.write(x, kindUnordered, "alone", "known to one", false, WriteConcern{}))(t)
	sim.drainReady(x)
	sim.killNode(x)
	need.Of(sim.write(sim.nodes[0], kindUnordered, "a000007", "", true, WriteConcern{Level: LevelMajority, Timeout: 9}))(t)
	sim.run(5)
	clearLogs(sim.nodes[:3]...)
	saved := x.disk.load(sim.now)
	saved.SinceLastContact = 2 * sim.horizon
	sim.startNode(x, saved)
	sim.run(6)
	require.NotNil(t, x.machine.pull)
	assert.True(t, x.machine.Status().CatchingUp)
	first, at := x.machine.pull.source, x.machine.pull.nextHash
	assert.NotZero(t, at)
	sim.killNode(sim.byName[first])
	sim.run(10)
	require.NotNil(t, x.machine.pull)
	assert.NotEqual(t, first, x.machine.pull.source)
	assert.Greater(t, x.machine.pull.nextHash, at)
	sim.heal()
	require.Less(t, sim.runUntilEqual(200), 200.0)
	for _, n := range sim.nodes {
		_, ok := n.machine.Get(kindUnordered, "alone")
		assert.True(t, ok)
		_, ok = n.machine.Get(kindUnordered, "a000007")
		assert.False(t, ok)
	}
	assert.Empty(t, sim.violations())
}

// Two contents under one dot must be detected and marked as conflicting everywhere, and a new write of the key must replace them. The contents meet by
// deltas or by digest walks, and have the same key or different keys.
func TestConflictingRecordsAreNotUsed(t *testing.T) {
	for _, c := range []struct {
		name, other string
		log         bool
	}{{"one key, deltas", "k", true}, {"one key, digest walk", "k", false}, {"two keys, deltas", "other", true}, {"two keys, digest walk", "other", false}} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 3, 3)
			sim.startAll()
			sim.run(5)
			x, y := sim.nodes[0], sim.nodes[1]
			for at, n := range []*node{x, y} { // each half of the fleet receives another content
				key := []string{"k", c.other}[at]
				rec := Record{Kind: kindUnordered, Key: key, Value: []byte{byte('x' + at)}, Dot: Dot{"gone", 9, 1}}
				n.machine.SetFleet(Fleet{Others: []Member{{Name: "gone"}}}, sim.now)
				require.NoError(t, n.machine.Step("gone", &Message{Deltas: []Delta{{Writer: "gone", WriterEpoch: 9, Index: []uint32{0}, Records: []ReplicatedRecord{{Record: rec}}}}}, sim.now))
				n.machine.fresh = nil
				if !c.log {
					clearLogs(n)
				}
			}
			sim.updateFleets()
			sim.run(80)
			assert.True(t, slices.ContainsFunc(sim.events, func(e Event) bool { return e.Type == "aside" }))
			for _, n := range sim.nodes {
				for _, key := range []string{"k", c.other} {
					_, ok := n.machine.Get(kindUnordered, key)
					assert.False(t, ok, "%s %s", n.name, key)
				}
				assert.NotZero(t, n.machine.Status().Kinds[1].Conflicting)
			}
			for _, key := range []string{"k", c.other} {
				_, _ = sim.write(sim.nodes[2], kindUnordered, key, "zz", false, WriteConcern{})
			}
			sim.run(10)
			for _, n := range sim.nodes {
				r, ok := n.machine.Get(kindUnordered, "k")
				assert.True(t, ok && string(r.Value) == "zz")
				assert.Zero(t, n.machine.Status().Kinds[1].Conflicting)
			}
		})
	}
}

// After a restart with an older copy of the disk or an empty one, no new write may get the number of an earlier write. Writes must be rejected until
// some member's vector was received.
func TestDotsAreNeverReused(t *testing.T) {
	sim := newSimulation(t, 3, 4)
	sim.startAll()
	_, err := sim.write(sim.nodes[0], kindUnordered, "k", "v", false, WriteConcern{})
	assert.ErrorIs(t, err, ErrCatchingUp)
	sim.run(3)
	x := sim.nodes[0]
	sim.writeMany(x, 50, "a")
	old := x.disk.copy()
	for range 3 {
		sim.killNode(x)
		sim.startNode(x, x.disk.load(sim.now))
		sim.run(3)
		sim.writeMany(x, 20, fmt.Sprint(x.boots))
	}
	require.Less(t, sim.runUntilEqual(60), 60.0) // a write that only this member has would be lost with its disk
	for _, d := range []*disk{old, newDisk()} {
		sim.killNode(x)
		x.disk = d
		saved := d.load(d.lastContact)
		if d.saved.WriterEpoch == 0 {
			saved = nil
		}
		sim.startNode(x, saved)
		sim.run(10)
		sim.writeMany(x, 20, fmt.Sprint(x.boots))
	}
	require.Less(t, sim.runUntilEqual(60), 60.0)
	assert.Empty(t, sim.violations())
}

// The outcome of a write must be reported once, when enough members acknowledged it or at its timeout. A write that wants a majority must be rejected
// if no majority is reachable.
func TestWriteOutcomes(t *testing.T) {
	sim := newSimulation(t, 5, 5)
	sim.startAll()
	sim.run(5)
	x := sim.nodes[0]
	concerns := []WriteConcern{{Level: LevelLocal}, {Level: LevelCopies, Copies: 3, Timeout: 5}, {Level: LevelMajority, Timeout: 5}}
	for i, s := range concerns {
		d := need.Of(sim.write(x, kindMaximum, fmt.Sprint("k", i), "00000001", false, s))(t)
		sim.run(3)
		assert.True(t, sim.writes[d].acknowledged && sim.writes[d].level >= s.Level, "%v", s)
	}
	for _, n := range sim.nodes[1:] {
		sim.partition[n.name] = 1
	}
	sim.updateFleets()
	_, err := sim.write(x, kindMaximum, "cut", "00000001", false, concerns[2])
	assert.ErrorIs(t, err, ErrNoQuorum)
	d := need.Of(sim.write(x, kindMaximum, "cut", "00000001", false, concerns[1]))(t)
	sim.run(4)
	assert.False(t, sim.writes[d].acknowledged)
	x.machine.Tick(sim.now + 300) // after a stall the timeout settles the write
	sim.drainReady(x)
	assert.True(t, sim.writes[d].acknowledged && sim.writes[d].level == LevelLocal)
}

// Writes beyond the limits of a kind and invalid messages must be rejected without effect.
func TestLimitsAndInvalidInput(t *testing.T) {
	k := []Kind{{ID: 1, Name: "few", MaxRecords: 8, MaxBytes: 1000, MaxRecordBytes: 100, Check: func(_ string, v []byte) error {
		if bytes.Contains(v, []byte("bad")) {
			return assert.AnError
		}
		return nil
	}}}
	_, err := New(Settings{Name: "x", Kinds: append(k, k...)}, nil, 0)
	assert.Error(t, err)
	m := need.Of(New(Settings{Name: "x", Kinds: k}, nil, 0))(t)
	for _, f := range []*Fleet{nil, {}, {Others: []Member{{Name: "y"}}, HasQuorum: true}} { // the disk may be an old copy, so new writes could get the numbers of earlier ones before a member's vector is received
		if f != nil {
			m.SetFleet(*f, 0)
		}
		_, err := m.Write(0, 1, "k", []byte("v"), false, WriteConcern{})
		require.ErrorIs(t, err, ErrCatchingUp)
	}
	m.SetFleet(Fleet{AgreedSize: 1, HasQuorum: true}, 0)
	for i := range 7 {
		need.Of(m.Write(0, 1, fmt.Sprint(i), []byte("v"), false, WriteConcern{}))(t)
	}
	for _, c := range []struct {
		kind       uint8
		key, value string
		err        error
	}{{1, "7", "v", ErrFull}, {9, "k", "", ErrUnknownKind}, {1, "", "", ErrTooLong}, {1, "k", strings.Repeat("x", 100), ErrTooLong}, {1, "0", "a", ErrSuperseded}, {1, "k", "bad", assert.AnError}} {
		_, err := m.Write(0, c.kind, c.key, []byte(c.value), false, WriteConcern{})
		assert.ErrorIs(t, err, c.err)
	}
	m.SetFleet(Fleet{Others: []Member{{Name: "y", Alive: true}}}, 0)
	validDelta := func() *Delta {
		return &Delta{Writer: "y", WriterEpoch: 1, Index: []uint32{0}, Records: []ReplicatedRecord{{Record: Record{Kind: 1, Key: "z1", Value: []byte("v"), Dot: Dot{"y", 1, 1}}}}}
	}
	for name, corrupt := range map[string]func(d *Delta){
		"kind": func(d *Delta) { d.Records[0].Record.Kind = 0 }, "hole": func(d *Delta) { d.Records[0].Omitted = true }, "long": func(d *Delta) { d.Records[0].Record.Value = make([]byte, 200) },
		"check": func(d *Delta) { d.Records[0].Record.Value = []byte("bad") }, "index": func(d *Delta) { d.Index[0] = 3 },
		"dot": func(d *Delta) { d.Records[0].Record.Dot = Dot{} }, "era": func(d *Delta) { d.WriterEpoch = 0 }, "from": func(d *Delta) { d.From = 1 << 63 },
	} {
		d := validDelta()
		corrupt(d)
		assert.Error(t, m.Step("y", &Message{Deltas: []Delta{*d}}, 0), name)
	}
	assert.Error(t, m.Step("stranger", &Message{}, 0))
	entry := Vector{{Writer: "y", WriterEpoch: 1, Number: 1}}
	for _, msg := range []Message{
		{VectorExchange: &VectorExchange{Vector: Vector{{}}}},
		{VectorExchange: &VectorExchange{Vector: entry, Buckets: []byte{bucketOf("y") + 1}}},
		{VectorExchange: &VectorExchange{Vector: entry}},
		{VectorExchange: &VectorExchange{Buckets: []byte{2, 2}}},
		{VectorExchange: &VectorExchange{Digest: make([]byte, bucketCount-1)}},
		{VectorExchange: &VectorExchange{Digest: make([]byte, bucketCount), Buckets: []byte{1}}},
		{PullRequest: &PullRequest{SumRanges: []Range{{200, 1}}}},
		{PullResponse: &PullResponse{Lists: []RangeListing{{KeyHashes: []uint64{1}}}}},
		{PullResponse: &PullResponse{Sums: []RangeSums{{}}}},
	} {
		assert.Error(t, m.Step("y", &msg, 0))
	}
	require.NoError(t, m.Step("y", &Message{Deltas: []Delta{*validDelta()}}, 0))
	d := validDelta()
	d.From, d.Records[0].Record.Key, d.Records[0].Record.Dot.Number = 1, "z2", 2
	require.NoError(t, m.Step("y", &Message{Deltas: []Delta{*d}}, 0))
	s := m.Status().Kinds[0]
	assert.Equal(t, []int{8, 1}, []int{s.Records, s.Refused})
	assert.Equal(t, []uint8{1}, m.incompleteIDs)
}

// Tombstones must be forgotten once all members of the last agreed fleet have them. With the same writes, the bytes per member must not grow with the
// number of members.
func TestTombstonesAreForgottenAndTrafficStaysFlat(t *testing.T) {
	bytesPerMember := map[int]float64{}
	for _, n := range []int{10, 30} {
		sim := newSimulation(t, n, 6)
		sim.horizon = 1e6
		sim.startAll()
		sim.run(10)
		for i := range 20 {
			need.Of(sim.write(sim.nodes[i%3], kindUnordered, fmt.Sprint("k", i), "v", false, WriteConcern{}))(t)
			sim.run(1)
			need.Of(sim.write(sim.nodes[i%5], kindUnordered, fmt.Sprint("k", i), "", true, WriteConcern{}))(t)
		}
		bytesPerMember[n] = float64(sim.totalBytes()) / float64(n)
		sim.run(6 * float64(n))
		for _, x := range sim.nodes {
			assert.Zero(t, x.machine.Status().Kinds[1].Records, x.name)
		}
		assert.Empty(t, sim.violations())
	}
	t.Logf("bytes per member: %v", bytesPerMember)
	assert.Less(t, bytesPerMember[30], 1.5*bytesPerMember[10])
}

func BenchmarkMachine(b *testing.B) {
	m, _ := New(Settings{Name: "x", Kinds: testKinds()}, nil, 0)
	m.SetFleet(Fleet{AgreedSize: 1, HasQuorum: true}, 0)
	for i := range 100_000 {
		_, _ = m.Write(0, kindUnordered, fmt.Sprintf("object/%08d", i), []byte("00000000 forty bytes of a fact, more or less"), false, WriteConcern{})
		if i%1000 == 0 {
			m.Ready()
		}
	}
	m.Ready()
	b.Run("get", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			m.Get(kindUnordered, "object/00004242")
			_ = i
		}
	})
	b.Run("merge", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			m.merge(ReplicatedRecord{Record: Record{Kind: kindMaximum, Key: "k", Value: fmt.Appendf(nil, "%08d", i), Dot: Dot{"y", 1, uint64(i + 1)}}})
		}
	})
	b.Run("write", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			_, _ = m.Write(0, kindMaximum, "w", fmt.Appendf(nil, "%08d", i), false, WriteConcern{})
			m.Ready()
		}
	})
}

// A scan in parts must see each record once and hold the machine only for one part at a time, whereas Each visits and sorts a whole kind.
func TestScanInPartsSeesEachRecordOnce(t *testing.T) {
	m := need.Of(New(Settings{Name: "a", Kinds: testKinds()}, nil, 0))(t)
	m.SetFleet(Fleet{AgreedSize: 1, HasQuorum: true}, 0)
	n := 60_000
	for i := range n {
		need.Of(m.Write(0, kindMaximum, fmt.Sprintf("o%024d", i), []byte("00000001"), false, WriteConcern{}))(t)
		if i%1000 == 0 {
			m.Ready()
		}
	}
	seen, longestPart, start := map[string]bool{}, time.Duration(0), time.Now()
	m.Each(kindMaximum, "", func(Record) bool { return true })
	wholeTime := time.Since(start)
	for at, more := uint64(0), true; more; more = at != 0 {
		start, part := time.Now(), 0
		at = m.Scan(kindMaximum, at, 4096, func(r Record) { seen[r.Key] = true; part++ })
		longestPart = max(longestPart, time.Since(start))
		require.Less(t, part, 4200)
	}
	assert.Len(t, seen, n)
	t.Logf("%d records: Each holds the machine for %v, a part of a scan for %v", n, wholeTime, longestPart)
}
