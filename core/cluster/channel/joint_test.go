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

// realReplica is a dispatcher's replica with its disk, where the world's own spreading of records is not used.
type realReplica struct {
	m    *replication.Machine
	era  uint64
	recs map[replication.RecordKey]replication.ReplicatedRecord
	vec  map[[2]any]replication.VectorEntry
	ids  map[replication.Dot]uint64
}

type letter struct {
	at       float64
	from, to int
	raw      []byte
}

func newReal() *realReplica {
	return &realReplica{recs: map[replication.RecordKey]replication.ReplicatedRecord{}, vec: map[[2]any]replication.VectorEntry{}}
}

func (w *world) startReal(i int) {
	r := w.nodes[i].real
	var saved *replication.SavedState
	if len(r.recs) > 0 {
		saved = &replication.SavedState{WriterEpoch: r.era}
		for _, c := range r.recs {
			saved.Records = append(saved.Records, c)
		}
		for _, e := range r.vec {
			saved.Vector = append(saved.Vector, e)
		}
		slices.SortFunc(saved.Records, func(a, b replication.ReplicatedRecord) int { return cmp.Compare(a.Record.Key, b.Record.Key) })
		slices.SortFunc(saved.Vector, func(a, b replication.VectorEntry) int {
			return cmp.Or(cmp.Compare(a.Writer, b.Writer), cmp.Compare(a.WriterEpoch, b.WriterEpoch))
		})
	}
	var err error
	if r.m, err = replication.New(replication.Settings{Name: fmt.Sprint("n", i), Zone: "z", Seed: w.rng.Uint64(), Interval: 0.2, Kinds: Kinds()}, saved, w.clock(i)); err != nil {
		panic(err)
	}
	r.m.SetFleet(w.fleet(i), w.clock(i))
	r.ids = map[replication.Dot]uint64{}
	for _, k := range Kinds() {
		r.m.Each(k.ID, "", func(o replication.Record) bool { w.nodes[i].m.Learn(w.clock(i), o); return true })
	}
}

// spreadReal does what a driver does: takes what came, saves, then sends and tells.
func (w *world) spreadReal() {
	w.post = slices.DeleteFunc(w.post, func(l letter) bool {
		n := w.nodes[l.to]
		if l.at > w.now {
			return false
		}
		var msg replication.Message
		if err := cbor.Unmarshal(l.raw, &msg); err != nil {
			w.wrong("%v", err)
		}
		if n.up && n.side == w.nodes[l.from].side {
			if err := n.real.m.Step(fmt.Sprint("n", l.from), &msg, w.clock(l.to)); err != nil {
				w.wrong("%v", err)
			}
		}
		return true
	})
	for i, n := range w.nodes {
		if !n.up {
			continue
		}
		r := n.real
		r.m.SetFleet(w.fleet(i), w.clock(i))
		r.m.Tick(w.clock(i))
		do := r.m.Ready()
		if s := do.Save; s != nil {
			r.era = s.WriterEpoch
			for _, x := range s.Removed {
				delete(r.recs, x)
			}
			for _, c := range s.Records {
				r.recs[replication.RecordKey{Kind: c.Record.Kind, Key: c.Record.Key}] = c
			}
			for _, e := range s.RemovedEntries {
				delete(r.vec, [2]any{e.Writer, e.WriterEpoch})
			}
			for _, e := range s.Vector {
				r.vec[[2]any{e.Writer, e.WriterEpoch}] = e
			}
		}
		for _, e := range do.Send {
			raw, err := cbor.Marshal(e.Message)
			if err != nil {
				panic(err)
			}
			if w.calm || w.rng.IntN(10) > 0 {
				w.post = append(w.post, letter{w.now + 0.1*w.rng.Float64(), i, int(e.To[1] - '0'), raw})
			}
		}
		for _, o := range do.Changed {
			n.m.Learn(w.clock(i), o)
		}
		for _, o := range do.Outcomes {
			if id := r.ids[o.Dot]; id > 0 {
				n.m.Written(w.clock(i), id, o, nil)
			}
			delete(r.ids, o.Dot)
		}
	}
}

func (w *world) putReal(i int, p Put) {
	n, o := w.nodes[i], p.Record
	dot, err := n.real.m.Write(w.clock(i), o.Kind, o.Key, o.Value, o.Deleted, p.Sure)
	if err == nil {
		n.real.ids[dot] = p.ID
	} else if p.ID > 0 {
		n.m.Written(w.clock(i), p.ID, replication.Outcome{}, err)
	}
}

// The two machines together: replica carries, its order is law, its disk stays or is lost, and each order holds; what was let go is gone everywhere.
func TestOverReplica(t *testing.T) {
	for _, d := range []Declaration{
		declared(ByKey, false), declared(Causal, false), declared(Total, false), few(declared(BySender, false)), few(declared(Causal, false)),
		fickle(few(declared(BySender, false))), ended(declared(ByKey, false)),
	} {
		t.Run(fmt.Sprint(d.Order, " kept ", d.Entries), func(t *testing.T) {
			t.Parallel()
			shown := 0
			for k := range schedules() {
				w := play(3*k, d, ends(d), "real")
				require.Empty(t, w.faults, "seed %d", 3*k)
				for _, r := range w.readers {
					shown += len(r.saw)
				}
				for _, n := range w.nodes {
					stand := 0
					n.real.m.Each(EntryKind, "", func(replication.Record) bool { stand++; return true })
					require.True(t, !w.small() || stand <= 2*leastKept, "seed %d: %d stand", 3*k, stand)
				}
			}
			require.Greater(t, shown, int(schedules())*map[bool]int{true: 40, false: 100}[ends(d)], "the world goes on")
		})
	}
}

// A tombstone stands over any value of its key, whatever its stamp, for both of two that wrote at once.
func TestNothingComesBack(t *testing.T) {
	w := newWorld(1, declared(BySender, false), 2, 0, 0, "real")
	e := entry("a", 1, 1)
	w.steps(20)
	e.Stamp = 1
	_, err := w.nodes[0].real.m.Write(w.clock(0), EntryKind, e.key(), nil, true, replication.WriteConcern{})
	require.NoError(t, err)
	e.Stamp = 1 << 40
	_, err = w.nodes[1].real.m.Write(w.clock(1), EntryKind, e.key(), packEntry(&e), false, replication.WriteConcern{})
	require.NoError(t, err)
	w.steps(100)
	for _, n := range w.nodes {
		_, ok := n.real.m.Get(EntryKind, e.key())
		require.False(t, ok)
	}
}
