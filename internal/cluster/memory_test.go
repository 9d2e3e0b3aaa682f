package cluster

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/cluster/membership"
	"elderwall/core/cluster/purgefloor"
	"elderwall/core/cluster/replication"
	"elderwall/core/cluster/variant"
	"elderwall/internal/standin/need"
)

// What a machine wants saved comes back as one upon the other; a spoilt file is put aside and told.
func TestAMemoryIsSavedAndOpened(t *testing.T) {
	folder := t.TempDir()
	s, saved, err := openStore(folder)
	require.NoError(t, err)
	assert.Equal(t, &replication.SavedState{}, saved)
	record := func(key, value string, number uint64) replication.ReplicatedRecord {
		return replication.ReplicatedRecord{Record: replication.Record{Kind: 3, Key: key, Value: []byte(value), Dot: replication.Dot{Writer: "n0", WriterEpoch: 1, Number: number}}}
	}
	require.NoError(t, s.save(&replication.Save{
		WriterEpoch: 4, Sync: true, Records: []replication.ReplicatedRecord{record("a", "one", 1), record("\x80\xff", "none", 2), record("c", "", 3)},
		Vector: []replication.VectorEntry{{Writer: "n0", WriterEpoch: 1, Number: 3}, {Writer: "n0", WriterEpoch: 2, Number: 1}},
	}))
	require.NoError(t, s.save(&replication.Save{
		Records: []replication.ReplicatedRecord{record("a", "two", 4)}, Removed: []replication.RecordKey{{Kind: 3, Key: "c"}},
		Vector: []replication.VectorEntry{{Writer: "n0", WriterEpoch: 2, Number: 2, EarlierComplete: true}}, RemovedEntries: []replication.VectorEntry{{Writer: "n0", WriterEpoch: 1}},
	}))
	_, _, err = openStore(folder)
	assert.Error(t, err, "another has it")
	require.NoError(t, s.close())
	s, saved, err = openStore(folder)
	require.NoError(t, err)
	assert.Less(t, saved.SinceLastContact, 60.0)
	assert.Equal(t, &replication.SavedState{
		WriterEpoch: 4, SinceLastContact: saved.SinceLastContact, Vector: replication.Vector{{Writer: "n0", WriterEpoch: 2, Number: 2, EarlierComplete: true}},
		Records: []replication.ReplicatedRecord{record("a", "two", 4), record("\x80\xff", "none", 2)},
	}, saved)
	require.NoError(t, s.close())
	path := filepath.Join(folder, recordsFile)
	require.NoError(t, os.Truncate(path, 9000))
	s, saved, err = openStore(folder)
	require.NoError(t, err)
	assert.ErrorIs(t, s.spoilt, errTorn)
	assert.Equal(t, &replication.SavedState{}, saved)
	require.NoError(t, s.close())
	there := need.Of(filepath.Glob(path + ".old-*"))(t)
	assert.Len(t, there, 1)
}

// docs/replica.md has the rule for copies that differ, by kind: each pair of neighbours here is settled so, whichever comes first, and each kind
// of the program has a row.
func TestTheRuleInTheDocsIsTrue(t *testing.T) {
	raw := need.Of(os.ReadFile("../../docs/replica.md"))(t)
	floor := func(at uint64) []byte { return binary.BigEndian.AppendUint64(nil, at) }
	numbers := func(all ...uint64) (b []byte) {
		for _, n := range all {
			b = binary.AppendUvarint(b, n)
		}
		return b
	}
	fact := func(purge uint64, split bool, splits uint32, stands uint8) []byte {
		return variant.EncodeFact(&variant.Fact{Witness: "d/1", ContentHash: 1, Generation: variant.Generation{Purge: purge}, Split: split, SplitCount: splits, Canonical: stands})
	}
	rules := map[string]struct {
		words  string
		rising [][]byte
	}{
		"floors": {"the later purge, by the change log's own word", [][]byte{floor(1000), floor(1001), floor(70_000)}},
		"variants": {
			"the higher generation; then contrary over agreeing; then more splits; then the class declared first",
			[][]byte{fact(1, true, 9, 1), fact(2, false, 9, 2), fact(2, false, 9, 1), fact(2, true, 1, 0), fact(2, true, 2, 0)},
		},
		"entry":  {"let go over there; then the higher stamp", [][]byte{numbers(3, 1), numbers(300, 1), nil}},
		"writer": {"the higher epoch; then the higher number", [][]byte{numbers(1, 9), numbers(2, 1), numbers(2, 300)}},
		"test":   {"the higher bytes", [][]byte{[]byte("a"), []byte("b")}},
	}
	all := newMemory(&Fleet{Settings: Settings{Memory: &Memory{}}}).kinds
	for _, k := range all {
		rule, ok := rules[k.Name]
		require.True(t, ok, "%s has no rule", k.Name)
		if k.Name != "test" {
			assert.Contains(t, string(raw), fmt.Sprintf("| `%s` | %s |\n", k.Name, rule.words))
		}
		for i := range len(rule.rising) - 1 {
			a, b := rule.rising[i], rule.rising[i+1]
			assert.Negative(t, k.MergeOrder(a, b), "%s, %d", k.Name, i)
			assert.Positive(t, k.MergeOrder(b, a), "%s, %d", k.Name, i)
		}
	}
	assert.Contains(t, string(raw), "| any, where that says nothing | deleted over there; then the higher bytes; then the dot |\n")
	assert.Contains(t, string(raw), "| any: one dot with two contents | set aside, told, used by nobody until it is written anew |\n")
	assert.Equal(t, purgefloor.Kind().Name, "floors")
}

// docs/members.md tells how sure a write gets in each view: five dispatchers in two zones, of which so many are heard.
func TestHowSureAWriteGets(t *testing.T) {
	raw := need.Of(os.ReadFile("../../docs/members.md"))(t)
	views := []struct {
		level membership.Level
		doubt bool
		live  int
	}{{membership.Whole, false, 4}, {membership.Majority, false, 2}, {membership.Minority, false, 1}, {membership.Alone, false, 0}, {membership.Whole, true, 0}}
	for _, row := range []struct {
		words string
		sure  replication.WriteConcern
	}{{"a write is kept `here`", here}, {"a write gets `copies: 2`", two}, {"a write gets a `majority`", majority}} {
		line := "| " + row.words + " |"
		for _, v := range views {
			m := need.Of(replication.New(replication.Settings{Name: "n0", Zone: "z0", Kinds: []replication.Kind{purgefloor.Kind()}}, nil, 0))(t)
			f := replication.Fleet{AgreedSize: 5, HasQuorum: membership.Allowed(membership.DecideByMajority, v.level, v.doubt)}
			for i := range 4 {
				f.Others = append(f.Others, replication.Member{Name: fmt.Sprint("n", i+1), Zone: fmt.Sprint("z", (i+1)%2), Alive: i < v.live || v.doubt, InAgreedFleet: true})
			}
			m.SetFleet(f, 0)
			require.NoError(t, m.Step("n1", &replication.Message{VectorExchange: &replication.VectorExchange{IsResponse: true}}, 0)) // before the cut
			k, value, _ := purgefloor.EncodeRecord(purgefloor.Floor{Group: 1, Time: 5})
			dot, err := m.Write(1, purgefloor.KindID, k, value, false, row.sure)
			met := false
			if err == nil {
				for i := range v.live {
					from := fmt.Sprint("n", i+1)
					require.NoError(t, m.Step(from, &replication.Message{Acks: []replication.VectorEntry{{Writer: "n0", WriterEpoch: dot.WriterEpoch, Number: dot.Number}}}, 2))
				}
				m.Tick(10)
				out := m.Ready()
				require.Len(t, out.Outcomes, 1)
				met = out.Outcomes[0].Met
			}
			line += map[bool]string{true: " yes |", false: " no |"}[met]
		}
		assert.Contains(t, string(raw), line+"\n")
	}
}
