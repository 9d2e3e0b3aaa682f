package cluster

import (
	"encoding/base64"
	"maps"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"

	"go.etcd.io/bbolt"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"elderwall/core/cluster/membership"
	"elderwall/internal/contract"
)

// All that keeps something on a disk, behind the seam that the contract needs.
var stores = []contract.Stores{
	{Name: "replica's records", File: inFolder(recordsFile), Longest: bbolt.MaxKeySize, Open: func(folder string) (contract.Store, uint64, error) {
		r, err := openRecords(folder)
		if err != nil {
			return nil, 0, err
		}
		return r, r.age, nil
	}},
	{Name: "voter's log", File: inFolder(logFile), Any: "its keys are numbers", Open: func(folder string) (contract.Store, uint64, error) {
		d, err := openDisk(folder)
		if err != nil {
			return nil, 0, err
		}
		return &logStore{d}, uint64(d.kept.Era), nil
	}},
	{
		Name: "remembered fleet", File: inFolder("fleet.json"), Shared: "its file is replaced whole: who reads it sees one or the other", Any: "members bounds what it is handed",
		Open: func(folder string) (contract.Store, uint64, error) {
			a, err := recall(filepath.Join(folder, "fleet.json"))
			r := &rememberedStore{path: filepath.Join(folder, "fleet.json")}
			r.generation.Store(a.Generation)
			return r, a.Generation, err
		},
	},
}

func inFolder(file string) func(string) string {
	return func(folder string) string { return filepath.Join(folder, file) }
}

func TestStores(t *testing.T) {
	for _, s := range stores {
		t.Run(s.Name, func(t *testing.T) { t.Parallel(); s.Hold(t) })
	}
}

// logStore has an entry for each save, and a snapshot now and then.
type logStore struct{ *disk }

func (l *logStore) Load() (map[string][]byte, error) { all, _, err := l.load(); return all, err }

func (l *logStore) load() (all map[string][]byte, index uint64, err error) {
	all = map[string][]byte{}
	k, err := l.read()
	if err == nil && k.Snapshot != nil {
		err = decoding.Unmarshal(k.Snapshot.GetData(), &all)
	}
	for _, e := range k.Entries {
		c := map[string][]byte{}
		if err == nil {
			err = told.Unmarshal(e.GetData(), &c)
		}
		for key, v := range c {
			if all[key] = v; v == nil {
				delete(all, key)
			}
		}
	}
	return all, k.Snapshot.GetMetadata().GetIndex() + uint64(len(k.Entries)), err
}

func (l *logStore) Save(changes map[string][]byte, _ bool) error {
	all, at, err := l.load()
	if err != nil {
		return err
	}
	at++
	data := must(encoding.Marshal(changes))
	err = l.disk.Save(&pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(1), Commit: proto.Uint64(at - 1)},
		[]*pb.Entry{{Index: proto.Uint64(at), Term: proto.Uint64(1), Data: data}}, nil)
	if err == nil && at%16 == 0 {
		for key, v := range changes {
			if all[key] = v; v == nil {
				delete(all, key)
			}
		}
		err = l.Compact(&pb.Snapshot{Data: must(encoding.Marshal(all)), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(at), Term: proto.Uint64(1)}}, at-4)
	}
	return err
}

func (l *logStore) Sync() error  { return nil }
func (l *logStore) Close() error { return l.db.Close() }

// rememberedStore has a member for each value.
type rememberedStore struct {
	path       string
	generation atomic.Uint64
}

func (r *rememberedStore) Load() (map[string][]byte, error) {
	a, err := recall(r.path)
	all := map[string][]byte{}
	for _, o := range a.Others {
		all[o.Name] = must(base64.StdEncoding.DecodeString(o.Address))
	}
	return all, err
}

func (r *rememberedStore) Save(changes map[string][]byte, _ bool) error {
	all, err := r.Load()
	if err != nil {
		return err
	}
	maps.Copy(all, changes)
	a := membership.AgreedFleet{Generation: r.generation.Add(1)}
	for _, key := range slices.Sorted(maps.Keys(all)) {
		if v := all[key]; v != nil {
			a.Others = append(a.Others, membership.AgreedMember{Name: key, Address: base64.StdEncoding.EncodeToString(v)})
		}
	}
	return keep(r.path, a)
}

func (r *rememberedStore) Sync() error  { return nil }
func (r *rememberedStore) Close() error { return nil }
