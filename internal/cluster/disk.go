package cluster

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"elderwall/internal/cluster/raftvoter"
)

const logFile = "log.db"

var (
	metaBucket  = []byte("meta")
	entryBucket = []byte("entries")
)

// disk keeps a voter's log and votes in a bbolt file, each record with a sum of its own: a file that is torn or was spoilt is told, not
// believed.
type disk struct {
	*file
	kept raftvoter.Kept
}

// openDisk opens the file of a folder, or makes one with an id drawn for it. Each opening is a later era.
func openDisk(folder string) (*disk, error) {
	d := &disk{}
	f, err := openFile(filepath.Join(folder, logFile), func(f *file) (err error) {
		d.file = f
		d.kept, err = d.read()
		return err
	})
	if err != nil {
		return nil, err
	}
	if d.kept.ID == 0 {
		var drawn [8]byte
		_, _ = rand.Read(drawn[:])
		d.kept.ID = binary.BigEndian.Uint64(drawn[:])>>1 | 1 // raft keeps the highest for itself
	}
	if err := d.bump(); err != nil {
		f.close()
		return nil, err
	}
	return d, nil
}

// meta is what there is besides entries.
type meta struct {
	ID       uint64 `cbor:"1,keyasint"`
	Era      uint32 `cbor:"2,keyasint"`
	Council  uint64 `cbor:"3,keyasint"`
	Recovery uint32 `cbor:"4,keyasint"`
}

// read reads all that is kept.
func (d *disk) read() (k raftvoter.Kept, err error) {
	err = d.view(func(tx *bbolt.Tx) error {
		b := tx.Bucket(metaBucket)
		if b == nil {
			return fresh(tx)
		}
		get := func(key string, into func([]byte) error) error {
			raw := b.Get([]byte(key))
			if raw == nil {
				return nil
			}
			text, err := unsealed(raw)
			if err == nil {
				err = into(text)
			}
			return err
		}
		var m meta
		last := uint64(0)
		err := errors.Join(
			get("meta", func(b []byte) error { return decoding.Unmarshal(b, &m) }),
			get("last", func(b []byte) error { last = binary.BigEndian.Uint64(b); return nil }),
			get("hard", func(b []byte) error { k.Hard = &pb.HardState{}; return proto.Unmarshal(b, k.Hard) }),
			get("snapshot", func(b []byte) error { k.Snapshot = &pb.Snapshot{}; return proto.Unmarshal(b, k.Snapshot) }))
		if err == nil && m.ID == 0 {
			err = fmt.Errorf("%w: there is no id", errTorn)
		}
		if err != nil {
			return err
		}
		if k.Hard == nil && (last > 0 || k.Snapshot != nil) {
			return fmt.Errorf("%w: the vote is missing", errTorn)
		}
		k.ID, k.Era, k.Council, k.Recovery = m.ID, m.Era, m.Council, m.Recovery
		next := k.Snapshot.GetMetadata().GetIndex() + 1
		if err := tx.Bucket(entryBucket).ForEach(func(_, v []byte) error {
			text, err := unsealed(v)
			if err != nil {
				return err
			}
			e := &pb.Entry{}
			if err := proto.Unmarshal(text, e); err != nil {
				return err
			}
			if e.GetIndex() < next { // behind the snapshot, kept for those that lag
				return nil
			}
			if e.GetIndex() != next {
				return fmt.Errorf("%w: entry %d is missing", errTorn, next)
			}
			next++
			k.Entries = append(k.Entries, e)
			return nil
		}); err != nil {
			return err
		}
		if last >= next {
			return fmt.Errorf("%w: entry %d is missing", errTorn, next)
		}
		return nil
	})
	return k, err
}

func index(i uint64) []byte { return binary.BigEndian.AppendUint64(nil, i) }

// write does a synced change.
func (d *disk) write(do func(meta, entries *bbolt.Bucket) error) error {
	return d.update(true, func(tx *bbolt.Tx) error {
		m, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		e, err := tx.CreateBucketIfNotExists(entryBucket)
		if err != nil {
			return err
		}
		return do(m, e)
	})
}

func put(b *bbolt.Bucket, key []byte, m proto.Message) error {
	raw, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return b.Put(key, sealed(raw))
}

// bump makes it a later era.
func (d *disk) bump() error {
	d.kept.Era++
	return d.tell()
}

func (d *disk) tell() error {
	raw, err := encoding.Marshal(meta{d.kept.ID, d.kept.Era, d.kept.Council, d.kept.Recovery})
	if err != nil {
		return err
	}
	return d.write(func(m, _ *bbolt.Bucket) error { return m.Put([]byte("meta"), sealed(raw)) })
}

// Save keeps votes, entries in place of those that had their numbers or higher ones, and a snapshot in place of all.
func (d *disk) Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	return d.write(func(m, e *bbolt.Bucket) error {
		if hard != nil {
			if err := put(m, []byte("hard"), hard); err != nil {
				return err
			}
		}
		if snapshot != nil && !raft.IsEmptySnap(snapshot) {
			if err := put(m, []byte("snapshot"), snapshot); err != nil {
				return err
			}
			if err := errors.Join(cut(e, nil), mark(m, snapshot.GetMetadata().GetIndex())); err != nil {
				return err
			}
		}
		if len(entries) > 0 {
			if err := errors.Join(cut(e, index(entries[0].GetIndex())), mark(m, entries[len(entries)-1].GetIndex())); err != nil {
				return err
			}
		}
		for _, one := range entries {
			if err := put(e, index(one.GetIndex()), one); err != nil {
				return err
			}
		}
		return nil
	})
}

// mark keeps the highest index. Guards against a log whose end is gone without a gap.
func mark(m *bbolt.Bucket, last uint64) error { return m.Put([]byte("last"), sealed(index(last))) }

// cut takes out all entries from a key on.
func cut(b *bbolt.Bucket, from []byte) error {
	c := b.Cursor()
	for k, _ := c.Seek(from); k != nil; k, _ = c.Seek(from) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// Compact keeps a snapshot, and lets the entries go up to an index.
func (d *disk) Compact(snapshot *pb.Snapshot, before uint64) error {
	return d.write(func(m, e *bbolt.Bucket) error {
		if err := put(m, []byte("snapshot"), snapshot); err != nil {
			return err
		}
		c := e.Cursor()
		for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= before; k, _ = c.First() {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
}
