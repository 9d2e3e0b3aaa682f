package raftvoter

import (
	"io"
	"log"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"elderwall/core/cluster/channel"
	"elderwall/core/cluster/lease"
	"elderwall/core/cluster/quota"
	"elderwall/internal/goldentest"
	"elderwall/internal/standin/need"
)

func TestGoldenEntriesOfTheLog(t *testing.T) {
	var tr goldentest.Transcript
	var full, empty entry
	goldentest.Fill(&full)
	for _, e := range []entry{full, empty} {
		raw := need.Of(encoding.Marshal(e))(t)
		tr.Bytes("entry", raw)
		var read entry
		require.NoError(t, decoding.Unmarshal(raw, &read))
		assert.Equal(t, e, read)
		tr.Values("as read", read)
	}
	tr.Check(t, "entries.golden")
}

func TestGoldenContentOfASnapshot(t *testing.T) {
	var full kept
	goldentest.Fill(&full)
	raw := need.Of(encoding.Marshal(full))(t)
	var read kept
	require.NoError(t, decoding.Unmarshal(raw, &read))
	assert.Equal(t, full, read)
	var tr goldentest.Transcript
	tr.Bytes("every field", raw)
	tr.Values("as read", read)
	tr.Check(t, "kept.golden")
}

// goldenState is what some commands of each kind come to.
func goldenState(t *testing.T) (*lease.State, *quota.Ledger, *channel.Ledger) {
	state := lease.NewState()
	for _, c := range []lease.Command{
		{Kind: lease.Declare, Duty: "purger", LeaseLength: 5, Zone: "east"},
		{Kind: lease.Declare, Duty: "reporter", LeaseLength: 6},
		{Kind: lease.Register, Duties: []string{"purger", "reporter"}, LeaseLength: 5, Zone: "east", Name: "n1", BootID: 11, Priority: 2},
		{Kind: lease.Register, Duties: []string{"purger"}, LeaseLength: 5, Zone: "west", Name: "n2", BootID: 12},
		{Kind: lease.Started, Duty: "purger", Token: 1, Number: 4, Name: "n1", BootID: 11},
		{Kind: lease.RegisterVoter, Token: 77, Name: "n1", DiskEpoch: 3},
		{Kind: lease.Transfer, Duty: "purger", Name: "n2"},
	} {
		state.Apply(c)
	}
	ledger := quota.NewLedger()
	assert.True(t, ledger.Apply(&quota.Command{
		Token: 1, Seq: 1, Generation: 2, Join: []quota.Participant{{Name: "n1", BootID: 11, Zone: "east", Address: "127.0.0.1:1"}},
		Budgets: []quota.Budget{{Name: "fills", Kind: quota.InFlight, Total: 40, Floor: 1, Ceiling: 9}, {Name: "a", Kind: quota.Rate, Total: 2500}},
	}))
	assert.True(t, ledger.Apply(&quota.Command{
		Token: 1, Seq: 2, Generation: 2, Updates: []quota.AllocationUpdate{{Budget: "fills", ID: 1, Allocation: quota.Allocation{Reserved: 8, Floor: 1}}},
	}))
	streams := channel.NewLedger()
	for _, d := range []channel.Declaration{
		{Name: "orders", Generation: 1, Order: channel.Total, RetainedEntries: 10, RetainedBytes: 1 << 20, RetainedSeconds: 60, OrderWait: 1, DisconnectSlow: true},
		{Name: "keyed", Generation: 1, Order: channel.ByKey, AllowGaps: true, RetainedEntries: 10, RetainedBytes: 1 << 20, RetainedSeconds: 60, OrderWait: 1, WriterExpiry: 60},
	} {
		require.NoError(t, streams.Apply(&channel.Command{Declare: &d, NoReuse: true}))
	}
	require.NoError(t, streams.Apply(&channel.Command{
		Channel: "orders", Epoch: 5, Entries: []channel.Entry{{Channel: "orders", Writer: "w", Number: 1, Body: []byte("b"), Generation: 1}},
	}))
	return state, ledger, streams
}

// savingDisk keeps nothing: what a machine wants saved is not looked at here.
type savingDisk struct{}

func (savingDisk) Save(*pb.HardState, []*pb.Entry, *pb.Snapshot) error { return nil }
func (savingDisk) Compact(*pb.Snapshot, uint64) error                  { return nil }

func TestGoldenFirstSnapshot(t *testing.T) {
	state, ledger, streams := goldenState(t)
	hard, snapshot, err := Found(77, state, ledger, streams, 3, 10)
	require.NoError(t, err)
	var tr goldentest.Transcript
	tr.Bytes("hard state", need.Of(proto.Marshal(hard))(t))
	tr.Bytes("snapshot", need.Of(proto.Marshal(snapshot))(t))
	quiet := &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}
	m := need.Of(New(Kept{ID: 77, Era: 2, Hard: hard, Snapshot: snapshot}, savingDisk{}, 0, quiet))(t)
	tr.Values("restored", m.State().Save(), m.Ledger().Save(), m.Channels().Save(), m.Applied())
	tr.Check(t, "snapshot.golden")
}
