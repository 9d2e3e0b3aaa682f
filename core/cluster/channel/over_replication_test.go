package channel

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"elderwall/core/cluster/replication"
)

// replicaNode is a dispatcher's replication machine with its disk. It is used in simulations where package replication carries the records.
type replicaNode struct {
	machine     *replication.Machine
	writerEpoch uint64 // this and the records and vector are on the disk
	records     map[replication.RecordKey]replication.ReplicatedRecord
	vector      map[[2]any]replication.VectorEntry // by writer and the writer's epoch
	putIDs      map[replication.Dot]uint64         // of Puts whose outcome is awaited
}

// delivery is a message on the way to another node.
type delivery struct {
	at       float64 // time of arrival
	from, to int     // nodes
	raw      []byte  // the encoded message
}

func newReplicaNode() *replicaNode {
	return &replicaNode{records: map[replication.RecordKey]replication.ReplicatedRecord{}, vector: map[[2]any]replication.VectorEntry{}}
}

// startReplica starts a node's replication machine from its disk and has the channel machine learn its records.
func (w *simulation) startReplica(i int) {
	r := w.nodes[i].replica
	var saved *replication.SavedState
	if len(r.records) > 0 {
		saved = &replication.SavedState{WriterEpoch: r.writerEpoch}
		for _, c := range r.records {
			saved.Records = append(saved.Records, c)
		}
		for _, e := range r.vector {
			saved.Vector = append(saved.Vector, e)
		}
		slices.SortFunc(saved.Records, func(a, b replication.ReplicatedRecord) int { return cmp.Compare(a.Record.Key, b.Record.Key) })
		slices.SortFunc(saved.Vector, func(a, b replication.VectorEntry) int {
			return cmp.Or(cmp.Compare(a.Writer, b.Writer), cmp.Compare(a.WriterEpoch, b.WriterEpoch))
		})
	}
	var err error
	if r.machine, err = replication.New(replication.Settings{Name: fmt.Sprint("n", i), Zone: "z", Seed: w.rng.Uint64(), Interval: 0.2, Kinds: Kinds()}, saved, w.clock(i)); err != nil {
		panic(err)
	}
	r.machine.SetFleet(w.fleet(i), w.clock(i))
	r.putIDs = map[replication.Dot]uint64{}
	for _, k := range Kinds() {
		r.machine.Each(k.ID, "", func(o replication.Record) bool { w.nodes[i].machine.Learn(w.clock(i), o); return true })
	}
}

// stepReplicas does the work of the replication machines' driver: it delivers messages, saves to disk, then sends and reports outcomes.
func (w *simulation) stepReplicas() {
	w.deliveries = slices.DeleteFunc(w.deliveries, func(l delivery) bool {
		n := w.nodes[l.to]
		if l.at > w.now {
			return false
		}
		var msg replication.Message
		if err := cbor.Unmarshal(l.raw, &msg); err != nil {
			w.fail("%v", err)
		}
		if n.up && n.partition == w.nodes[l.from].partition {
			if err := n.replica.machine.Step(fmt.Sprint("n", l.from), &msg, w.clock(l.to)); err != nil {
				w.fail("%v", err)
			}
		}
		return true
	})
	for i, n := range w.nodes {
		if !n.up {
			continue
		}
		r := n.replica
		r.machine.SetFleet(w.fleet(i), w.clock(i))
		r.machine.Tick(w.clock(i))
		do := r.machine.Ready()
		if s := do.Save; s != nil {
			r.writerEpoch = s.WriterEpoch
			for _, x := range s.Removed {
				delete(r.records, x)
			}
			for _, c := range s.Records {
				r.records[replication.RecordKey{Kind: c.Record.Kind, Key: c.Record.Key}] = c
			}
			for _, e := range s.RemovedEntries {
				delete(r.vector, [2]any{e.Writer, e.WriterEpoch})
			}
			for _, e := range s.Vector {
				r.vector[[2]any{e.Writer, e.WriterEpoch}] = e
			}
		}
		for _, e := range do.Send {
			raw, err := cbor.Marshal(e.Message)
			if err != nil {
				panic(err)
			}
			if w.settling || w.rng.IntN(10) > 0 {
				w.deliveries = append(w.deliveries, delivery{w.now + 0.1*w.rng.Float64(), i, int(e.To[1] - '0'), raw})
			}
		}
		for _, o := range do.Changed {
			n.machine.Learn(w.clock(i), o)
		}
		for _, o := range do.Outcomes {
			if id := r.putIDs[o.Dot]; id > 0 {
				n.machine.PutCompleted(w.clock(i), id, o, nil)
			}
			delete(r.putIDs, o.Dot)
		}
	}
}

// putReplica has a node's replication machine write the record of a Put.
func (w *simulation) putReplica(i int, p Put) {
	n, o := w.nodes[i], p.Record
	dot, err := n.replica.machine.Write(w.clock(i), o.Kind, o.Key, o.Value, o.Deleted, p.Concern)
	if err == nil {
		n.replica.putIDs[dot] = p.ID
	} else if p.ID > 0 {
		n.machine.PutCompleted(w.clock(i), p.ID, replication.Outcome{}, err)
	}
}

// Runs the channels over package replication, with disks that survive or are lost. Every declared order must hold, and evicted entries must be deleted
// everywhere.
func TestOrdersHoldOverReplication(t *testing.T) {
	for _, d := range []Declaration{
		newDeclaration(ByKey, false), newDeclaration(Causal, false), newDeclaration(Total, false), withFewRetained(newDeclaration(BySender, false)), withFewRetained(newDeclaration(Causal, false)),
		withWriterExpiry(withFewRetained(newDeclaration(BySender, false))), withWithdrawal(newDeclaration(ByKey, false)),
	} {
		t.Run(fmt.Sprint(d.Order, " retained ", d.RetainedEntries), func(t *testing.T) {
			t.Parallel()
			shown := 0
			for k := range scheduleCount() {
				w := play(3*k, d, hasWithdrawal(d), "real")
				require.Empty(t, w.faults, "seed %d", 3*k)
				for _, r := range w.readers {
					shown += len(r.shown)
				}
				for _, n := range w.nodes {
					left := 0
					n.replica.machine.Each(EntryKind, "", func(replication.Record) bool { left++; return true })
					require.True(t, !w.retainsFew() || left <= 2*minRetainedEntries, "seed %d: %d entries are left", 3*k, left)
				}
			}
			require.Greater(t, shown, int(scheduleCount())*map[bool]int{true: 40, false: 100}[hasWithdrawal(d)], "the simulation has to make progress")
		})
	}
}

// Two dispatchers write at once, one an entry with a high stamp and the other its tombstone. The tombstone must win at both, so that a deleted entry does
// not come back.
func TestTombstoneWinsOverConcurrentWrite(t *testing.T) {
	w := newSimulation(1, newDeclaration(BySender, false), 2, 0, 0, "real")
	e := testEntry("a", 1, 1)
	w.steps(20)
	e.Stamp = 1
	_, err := w.nodes[0].replica.machine.Write(w.clock(0), EntryKind, e.key(), nil, true, replication.WriteConcern{})
	require.NoError(t, err)
	e.Stamp = 1 << 40
	_, err = w.nodes[1].replica.machine.Write(w.clock(1), EntryKind, e.key(), encodeEntry(&e), false, replication.WriteConcern{})
	require.NoError(t, err)
	w.steps(100)
	for _, n := range w.nodes {
		_, ok := n.replica.machine.Get(EntryKind, e.key())
		require.False(t, ok)
	}
}
