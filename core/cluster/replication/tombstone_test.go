package replication

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin/need"
)

// Guards against a pull that restores a deleted record because the deletion arrived between the source's response and its handling. Member x holds a
// high tombstone that the source s has forgotten. Then a value is written that loses to it at x, and the deletion of that value also loses to the
// tombstone of x. If the pull removed the tombstone, the deleted value would come back.
func TestPullDoesNotRestoreDeletedRecord(t *testing.T) {
	for _, uncoverDeleted := range []bool{false, true} {
		others := Fleet{AgreedSize: 5}
		for _, n := range []string{"s", "x", "y", "z", "w"} {
			others.Others = append(others.Others, Member{Name: n, Alive: true})
		}
		machines, deltaFrom := map[string]*Machine{}, func(writer, value string, deleted bool) *Message {
			r := Record{Kind: kindUnordered, Key: "k", Value: []byte(value), Deleted: deleted, Dot: Dot{writer, 1, 1}}
			return &Message{Deltas: []Delta{{Writer: writer, WriterEpoch: 1, Index: []uint32{0}, Records: []ReplicatedRecord{{Record: r}}}}}
		}
		step := func(m *Machine, from string, msg *Message) { require.NoError(t, m.Step(from, msg, 1)) }
		for _, n := range []string{"s", "x"} {
			m := need.Of(New(Settings{Name: n, Seed: 1, Kinds: testKinds()}, nil, 0))(t)
			m.SetFleet(others, 0)
			step(m, "y", deltaFrom("y", "5", true))
			machines[n] = m
		}
		x, s := machines["x"], machines["s"]
		x.fault.uncoverDeleted = uncoverDeleted
		s.remove(s.kinds[kindUnordered].byKey["k"])
		for _, m := range machines {
			step(m, "z", deltaFrom("z", "7", false))
			m.Ready()
		}
		runPull := func() {
			x.startPull("s", false)
			for x.pull != nil {
				for _, e := range x.Ready().Send {
					if e.To == "s" && e.Message.PullRequest != nil {
						step(s, "x", &e.Message)
					}
				}
				for _, e := range s.Ready().Send {
					if g := e.Message.PullResponse; g != nil {
						if len(g.Records) > 0 { // the deletion arrives just before the response that contains the value
							step(x, "w", deltaFrom("w", "3", true))
						}
						step(x, "s", &e.Message)
					}
				}
			}
		}
		runPull()
		_, restored := x.Get(kindUnordered, "k")
		assert.Equal(t, uncoverDeleted, restored)
		step(s, "w", deltaFrom("w", "3", true))
		runPull() // nothing arrives meanwhile, so the tombstone is removed
		assert.Equal(t, uncoverDeleted, x.kinds[kindUnordered].tree.sums[0][0] != s.kinds[kindUnordered].tree.sums[0][0])
	}
}

// A tombstone that was forgotten here must be merged again if a delta or a pull sends it as the current record of another write. That write is a
// lower deletion, which is not known here, and the record that it deleted would otherwise stay.
func TestForgottenTombstoneIsMergedAgainOverHiddenDeletion(t *testing.T) {
	record := func(writer, value string, deleted bool) ReplicatedRecord {
		return ReplicatedRecord{Record: Record{Kind: kindUnordered, Key: "k", Value: []byte(value), Deleted: deleted, Dot: Dot{writer, 1, 1}}}
	}
	for _, uncoverDeleted := range []bool{false, true} {
		for _, byPull := range []bool{false, true} {
			m := need.Of(New(Settings{Name: "x", Seed: 1, Kinds: testKinds()}, nil, 0))(t)
			m.fault.uncoverDeleted = uncoverDeleted
			m.SetFleet(Fleet{AgreedSize: 5, Others: []Member{{Name: "s"}}}, 0)
			applyFrom := func(writer string, c ReplicatedRecord) {
				require.NoError(t, m.Step("s", &Message{Deltas: []Delta{{Writer: writer, WriterEpoch: 1, Index: []uint32{0}, Records: []ReplicatedRecord{c}}}}, 1))
			}
			high := record("y", "5", true)
			applyFrom("y", high)
			m.remove(m.kinds[kindUnordered].byKey["k"])
			applyFrom("z", record("z", "7", false))
			if byPull { // the tombstone hides a deletion by w
				m.startPull("s", false)
				m.pull.pendingRequest = &PullRequest{WantVector: true, KeyHashes: []uint64{m.hashOf(kindUnordered, "k")}}
				require.NoError(t, m.Step("s", &Message{PullResponse: &PullResponse{
					ID: m.pull.id, Vector: Vector{{"w", 1, 1, false}, {"y", 1, 1, false}, {"z", 1, 1, false}},
					KeyHashes: m.pull.pendingRequest.KeyHashes, Records: []ReplicatedRecord{high},
				}}, 1))
			} else {
				applyFrom("w", high)
			}
			_, restored := m.Get(kindUnordered, "k")
			assert.Equal(t, uncoverDeleted, restored, "by pull: %v", byPull)
		}
	}
}

// Guards against a write that counts as durable although another member holds a tombstone that wins over it. This happens if the writer has
// forgotten the tombstone. Its outcome must be overridden, whichever member forwarded the write.
func TestWriteUnderForgottenTombstoneIsReported(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		sim := newSimulation(t, 3, 9)
		sim.configure = func(m *Machine) { m.fault.countOverridden = faulty }
		sim.startAll()
		sim.run(3)
		x, concern := sim.nodes[0], WriteConcern{Level: LevelMajority, Timeout: 5}
		need.Of(sim.write(x, kindUnordered, "k", "5", true, concern))(t)
		sim.run(1)
		x.machine.remove(x.machine.kinds[kindUnordered].byKey["k"])
		var outcomes []Outcome
		dot := need.Of(sim.write(x, kindUnordered, "k", "4", false, concern))(t)
		sim.onOutcome = func(o Outcome) { outcomes = append(outcomes, o) }
		sim.run(3)
		require.Len(t, outcomes, 1)
		assert.Equal(t, dot, outcomes[0].Dot)
		assert.Equal(t, []bool{faulty, !faulty}, []bool{outcomes[0].Met, outcomes[0].Overridden})
	}
}

// Guards against a restart that resets the time since the last contact. A member that is cut off and restarts several times was away since its last
// contact with the fleet, and after longer than Settings.Horizon it must pull a snapshot.
func TestTimeSinceLastContactSurvivesRestarts(t *testing.T) {
	for _, faulty := range []bool{false, true} {
		sim := newSimulation(t, 3, 10)
		sim.configure, sim.horizon = func(m *Machine) { m.fault.saveZeroContact = faulty }, 60
		sim.startAll()
		sim.run(100)
		x := sim.nodes[2]
		sim.killNode(x)
		saved := x.disk.load(sim.now)
		require.Less(t, saved.SinceLastContact, 30.0, "the time of the last contact must be saved although nothing is written")
		sim.writeMany(sim.nodes[0], 10, "a")
		sim.partition[x.name] = 1
		for range 5 {
			sim.startNode(x, x.disk.load(sim.now))
			sim.run(15)
			sim.killNode(x)
		}
		sim.startNode(x, x.disk.load(sim.now))
		sim.heal()
		require.Less(t, sim.runUntilEqual(40), 40.0)
		assert.Equal(t, faulty, x.machine.Status().Snapshots == 0)
		assert.Empty(t, sim.violations())
	}
}

// A kind was full at all members, so that none has all of its records. Once there is room, also after a restart, the members must pull the rest from
// each other and acknowledge writes of the kind again.
func TestDroppedRecordsArePulledOnceThereIsRoom(t *testing.T) {
	sim := newSimulation(t, 3, 11)
	sim.maxRecords, sim.horizon = 20, 30
	sim.startAll()
	sim.run(3)
	for i, x := range sim.nodes {
		sim.partition[x.name] = i
	}
	sim.updateFleets()
	for i, x := range sim.nodes {
		sim.writeMany(x, 15, fmt.Sprint(i))
	}
	sim.heal()
	sim.run(20)
	for _, x := range sim.nodes {
		require.NotEmpty(t, x.machine.incompleteIDs, x.name)
		sim.killNode(x)
	}
	sim.maxRecords = 200
	for _, x := range sim.nodes {
		sim.startNode(x, x.disk.load(sim.now))
		assert.NotEmpty(t, x.machine.incompleteIDs, "the incomplete kinds must be saved")
	}
	require.Less(t, sim.runUntilEqual(60), 60.0)
	assert.Len(t, sim.visibleState(sim.nodes[0]), 45)
	dot := need.Of(sim.write(sim.nodes[0], kindUnordered, "k", "5", false, WriteConcern{Level: LevelCopies, Copies: 3, Timeout: 5}))(t)
	sim.run(3)
	assert.Equal(t, LevelMajority, sim.writes[dot].level)
	assert.Empty(t, sim.violations())
}
