package cluster

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"elderwall/core/cluster/membership"
	"elderwall/core/cluster/replication"
	"elderwall/internal/goldentest"
	"elderwall/internal/standin/need"
)

// goldenWire adds the bytes of a value that has every field, and of one that has none, and checks that both are read back.
func goldenWire[T any](t *testing.T, tr *goldentest.Transcript, name string, reader cbor.DecMode) {
	var full, empty T
	goldentest.Fill(&full)
	raw := need.Of(encoding.Marshal(full))(t)
	tr.Bytes(name, raw)
	var read T
	require.NoError(t, reader.Unmarshal(raw, &read), name)
	assert.Equal(t, full, read, name)
	tr.Values(name+", as read", read)
	raw = need.Of(encoding.Marshal(empty))(t)
	tr.Bytes(name+" without a field set", raw)
	var readEmpty T
	require.NoError(t, reader.Unmarshal(raw, &readEmpty), name)
	tr.Values(name+", as read", readEmpty)
}

func TestGoldenMessagesOfMembers(t *testing.T) {
	var tr goldentest.Transcript
	for kind := membership.Ping; kind <= membership.Refused; kind++ {
		for _, wire := range []uint8{Wire1, Wire2} {
			var full membership.Message
			goldentest.Fill(&full)
			full.Kind = kind
			full.From.State, full.Target.State = membership.Alive, membership.Suspect
			full.Updates[0].State, full.Updates[1].State = membership.Failed, membership.Left
			bare := membership.Message{Kind: kind, From: membership.Member{Name: "n", Address: "a"}}
			for _, message := range []membership.Message{full, bare} {
				raw := need.Of(encode(&message, wire))(t)
				tr.Bytes(fmt.Sprintf("kind %d, wire %d", kind, wire), raw)
				tr.Values("as read", need.Of(decode(raw))(t))
			}
		}
	}
	tr.Check(t, "members.golden")
}

func TestGoldenOddMessagesOfMembers(t *testing.T) {
	var tr goldentest.Transcript
	for _, m := range []message{
		{},
		{Wire: 2, Kind: 1},
		{Kind: 1, From: record{Name: "n", Address: "a"}},
		{Wire: 2, From: record{Name: "n", Address: "a"}},
		{Wire: 2, Kind: 9, From: record{Name: "n", Address: "a"}},
		{Wire: 2, Kind: 1, From: record{Name: "n"}},
		{Wire: 200, Kind: 1, From: record{Name: "n", Address: "a", State: 200}},
	} {
		raw := need.Of(encoding.Marshal(m))(t)
		read, err := decode(raw)
		tr.Bytes("odd message", raw)
		tr.Values("as read", read)
		tr.Rejected(err)
	}
	for _, raw := range []string{"", "\xa0", "\xff", "\xa1\x18\x63\x01"} {
		_, err := decode([]byte(raw))
		tr.Bytes("no message", []byte(raw))
		tr.Rejected(err)
	}
	tr.Check(t, "members-odd.golden")
}

func TestGoldenMessagesBetweenDispatchers(t *testing.T) {
	for name, add := range map[string]func(tr *goldentest.Transcript, name string){
		"lease-question": func(tr *goldentest.Transcript, name string) { goldenWire[turnMessage](t, tr, name, decoding) },
		"lease-answer":   func(tr *goldentest.Transcript, name string) { goldenWire[answerMessage](t, tr, name, decoding) },
		"quota-question": func(tr *goldentest.Transcript, name string) { goldenWire[spendMessage](t, tr, name, decoding) },
		"quota-answer":   func(tr *goldentest.Transcript, name string) { goldenWire[giveMessage](t, tr, name, decoding) },
		"replication": func(tr *goldentest.Transcript, name string) {
			goldenWire[replication.Message](t, tr, name, memoryDecoding)
		},
		"question":          func(tr *goldentest.Transcript, name string) { goldenWire[ask](t, tr, name, told) },
		"answer":            func(tr *goldentest.Transcript, name string) { goldenWire[Told](t, tr, name, told) },
		"notes-of-channels": func(tr *goldentest.Transcript, name string) { goldenWire[[]wireNote](t, tr, name, told) },
	} {
		var tr goldentest.Transcript
		add(&tr, name)
		tr.Check(t, "messages/"+name+".golden")
	}
}

func TestGoldenAnswerAsPrinted(t *testing.T) {
	var full Told
	goldentest.Fill(&full)
	goldentest.Check(t, "told.json", need.Of(json.MarshalIndent(full, "", "  "))(t))
	goldentest.Check(t, "told-bare.json", need.Of(json.MarshalIndent(Told{}, "", "  "))(t))
}

func TestGoldenNoticeOfVariants(t *testing.T) {
	var full joined
	goldentest.Fill(&full)
	goldentest.Check(t, "notice.json", need.Of(json.Marshal(full))(t))
}

// goldenKeys are two keys that are no secret.
func goldenKeys() string {
	first, second := bytes.Repeat([]byte{1}, 32), bytes.Repeat([]byte{2}, 32)
	return base64.StdEncoding.EncodeToString(first) + "\n" + base64.StdEncoding.EncodeToString(second) + "\n"
}

// What was sealed once is opened for good; its head in the clear is always the same.
func TestGoldenSeals(t *testing.T) {
	keys := need.Of(ParseKeys(goldenKeys()))(t)
	bound := boundTo([]byte("nonce"), 7)
	var heads goldentest.Transcript
	for kind := sealedMessage; kind <= sealedNotes; kind++ {
		name := fmt.Sprintf("seals/%d.sealed", kind)
		goldentest.Store(t, name, func() []byte { return keys.seal(kind, 1<<60+5, 9, []byte("text"), bound) })
		sealed := need.Of(os.ReadFile(filepath.Join("testdata", name)))(t)
		opened, err := keys.open(kind, sealed, bound)
		require.NoError(t, err)
		heads.Values("opened", opened.boot, opened.number, opened.text)
		made := keys.seal(kind, 1<<60+5, 9, []byte("text"), bound)
		assert.Len(t, made, len(sealed))
		heads.Bytes("head", made[:headLength])
		var frame bytes.Buffer
		require.NoError(t, writeFrame(&frame, made))
		heads.Bytes("frame's head", frame.Bytes()[:4])
	}
	heads.Bytes("bound to", bound)
	heads.Check(t, "seals/heads.golden")
}

// goldenBuckets adds all that a file holds.
func goldenBuckets(t *testing.T, tr *goldentest.Transcript, f *file) {
	require.NoError(t, f.view(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(key, value []byte) error {
				tr.Bytes(fmt.Sprintf("%s %q", bucket, key), value)
				return nil
			})
		})
	}))
}

// storedFile gives a folder with a file as it was written when the golden files were; made is how it is written now.
func storedFile(t *testing.T, name string, made []byte) (folder string) {
	folder = t.TempDir()
	goldentest.Store(t, "stores/"+name, func() []byte { return made })
	stored := need.Of(os.ReadFile(filepath.Join("testdata", "stores", name)))(t)
	require.NoError(t, os.WriteFile(filepath.Join(folder, name), stored, 0o600))
	return folder
}

func goldenEntries(first, last uint64) (all []*pb.Entry) {
	for i := first; i <= last; i++ {
		kind := pb.EntryType_EntryNormal
		all = append(all, &pb.Entry{Term: proto.Uint64(3), Index: proto.Uint64(i), Type: &kind, Data: fmt.Append(nil, "entry ", i)})
	}
	return all
}

func TestGoldenLogOfAVoter(t *testing.T) {
	folder := t.TempDir()
	d := need.Of(openDisk(folder))(t)
	d.kept.ID, d.kept.Council, d.kept.Recovery = 0x1234567890abcdef, 0xfedcba0987654321, 3
	require.NoError(t, d.tell())
	hard := &pb.HardState{Term: proto.Uint64(3), Vote: proto.Uint64(2), Commit: proto.Uint64(12)}
	snapshot := &pb.Snapshot{Data: []byte("state"), Metadata: &pb.SnapshotMetadata{
		ConfState: &pb.ConfState{Voters: []uint64{1, 2}, Learners: []uint64{3}}, Index: proto.Uint64(10), Term: proto.Uint64(2),
	}}
	require.NoError(t, d.Save(hard, nil, snapshot))
	require.NoError(t, d.Save(nil, goldenEntries(11, 15), nil))
	require.NoError(t, d.Save(nil, goldenEntries(14, 14), nil))
	var tr goldentest.Transcript
	goldenBuckets(t, &tr, d.file)
	d.close()
	made := need.Of(os.ReadFile(filepath.Join(folder, logFile)))(t)
	d = need.Of(openDisk(storedFile(t, logFile, made)))(t)
	tr.Values("as read", d.kept)
	snapshot.Metadata.Index = proto.Uint64(12)
	require.NoError(t, d.Compact(snapshot, 11))
	goldenBuckets(t, &tr, d.file)
	d.close()
	tr.Check(t, "stores/log.golden")
}

func TestGoldenRecordsOfTheMemory(t *testing.T) {
	folder := t.TempDir()
	s, _, err := openStore(folder)
	require.NoError(t, err)
	var save replication.Save
	goldentest.Fill(&save)
	require.NoError(t, s.owe(&save))
	var at stamp
	require.NoError(t, decoding.Unmarshal(s.owed[stampAt], &at))
	at.Unix = 1764576000 // in place of now
	s.owed[stampAt] = need.Of(encoding.Marshal(at))(t)
	var tr goldentest.Transcript
	for _, key := range slices.Sorted(maps.Keys(s.owed)) {
		tr.Bytes(fmt.Sprintf("owed %q, deleted: %v", key, s.owed[key] == nil), s.owed[key])
	}
	require.NoError(t, s.pay())
	require.NoError(t, s.Save(map[string][]byte{"odd": []byte("x"), recordKey(9, "unreadable"): {0xff}}, true))
	require.NoError(t, s.Save(map[string][]byte{"odd": nil}, true))
	goldenBuckets(t, &tr, s.file)
	require.NoError(t, s.close())
	made := need.Of(os.ReadFile(filepath.Join(folder, recordsFile)))(t)
	s, saved, err := openStore(storedFile(t, recordsFile, made))
	require.NoError(t, err)
	saved.SinceLastContact = 0         // by the time of today
	slices.Sort(saved.IncompleteKinds) // a set: the store reads its keys in the random order of a map
	tr.Values("as read", s.era, s.age, s.skipped, saved)
	require.NoError(t, s.close())
	tr.Check(t, "stores/records.golden")
}

func TestGoldenStamps(t *testing.T) {
	var tr goldentest.Transcript
	goldenWire[stamp](t, &tr, "stamp", decoding)
	goldenWire[meta](t, &tr, "meta", decoding)
	goldenWire[replication.VectorEntry](t, &tr, "entry of the vector", decoding)
	goldenWire[replication.ReplicatedRecord](t, &tr, "record", decoding)
	tr.Bytes("sealed", sealed([]byte("text")))
	tr.Values("sum", sumOf("key", []byte("value")))
	tr.Check(t, "stores/parts.golden")
}

func TestGoldenRememberedFleet(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.json")
	var agreed membership.AgreedFleet
	goldentest.Fill(&agreed)
	require.NoError(t, keep(path, agreed))
	raw := need.Of(os.ReadFile(path))(t)
	goldentest.Check(t, "stores/fleet.json", raw)
	assert.Equal(t, agreed, need.Of(recall("testdata/stores/fleet.json"))(t))
	older := strings.Replace(string(raw), `,"Sum":`, `,"Other":`, 1) // of a version that has no sum
	require.NoError(t, os.WriteFile(path, []byte(older), 0o600))
	assert.Equal(t, agreed, need.Of(recall(path))(t))
}
