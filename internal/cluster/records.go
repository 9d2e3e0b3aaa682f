package cluster

import (
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"path/filepath"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
)

const recordsFile = "replica.db"

var (
	recordBucket = []byte("records")
	tallyKey     = []byte("tally") // in the bucket of meta: how many there are, all their sums in one, and how many saves made them
)

// records keeps what the fleet's memory has, by key, in a bbolt file. Each bears a sum over key and value, and the tally has all of them, so
// that none is lost, changed or moved in silence. One goroutine saves, any may load meanwhile.
type records struct {
	*file
	age      uint64            // saves at its opening: an older copy has fewer
	opened   map[string][]byte // what was there then, for who takes it first
	unsynced bool
}

// openRecords opens the file of a folder, or makes one.
func openRecords(folder string) (*records, error) {
	r := &records{}
	_, err := openFile(filepath.Join(folder, recordsFile), func(f *file) (err error) {
		r.file = f
		r.opened, r.age, err = r.load()
		return err
	})
	if err != nil {
		return nil, err
	}
	return r, nil
}

type tally struct{ count, sums, saves uint64 }

func (t *tally) book(sum uint64, by int) { t.count, t.sums = t.count+uint64(by), t.sums^sum }

func sumOf(key string, value []byte) uint64 {
	d := xxhash.New()
	_, _ = d.Write(binary.BigEndian.AppendUint32(nil, uint32(len(key))))
	_, _ = d.WriteString(key)
	_, _ = d.Write(value)
	return d.Sum64()
}

// readTally reads what there should be.
func readTally(b *bbolt.Bucket) (t tally, err error) {
	raw, err := unsealed(b.Get(tallyKey))
	if err != nil || len(raw) != 24 {
		return t, errTorn
	}
	return tally{binary.BigEndian.Uint64(raw), binary.BigEndian.Uint64(raw[8:]), binary.BigEndian.Uint64(raw[16:])}, nil
}

func (t *tally) raw() []byte {
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, t.count), t.sums)
	return binary.BigEndian.AppendUint64(b, t.saves)
}

// Load gives all that is kept, as of one save; errTorn where it isn't whole.
func (r *records) Load() (map[string][]byte, error) {
	all, _, err := r.load()
	return all, err
}

func (r *records) load() (all map[string][]byte, saves uint64, err error) {
	all = map[string][]byte{}
	err = r.view(func(tx *bbolt.Tx) error {
		meta, in := tx.Bucket(metaBucket), tx.Bucket(recordBucket)
		if meta == nil && in == nil {
			return fresh(tx)
		}
		if meta == nil || in == nil {
			return errTorn
		}
		should, err := readTally(meta)
		if err != nil {
			return err
		}
		saves = should.saves
		is := tally{saves: saves}
		if err := in.ForEach(func(k, v []byte) error {
			n := len(v) - 8
			if n < 0 || sumOf(string(k), v[:n]) != binary.BigEndian.Uint64(v[n:]) {
				return errTorn
			}
			is.book(binary.BigEndian.Uint64(v[n:]), 1)
			all[string(k)] = append([]byte{}, v[:n]...)
			return nil
		}); err != nil {
			return err
		}
		if is != should {
			return fmt.Errorf("%w: %d records, not %d", errTorn, is.count, should.count)
		}
		return nil
	})
	if err != nil {
		return nil, 0, err
	}
	return all, saves, nil
}

// Save does changes, all or none; a nil value takes a record out. Synced, they outlive the machine; else this process alone, until a Sync or
// the next synced save: a machine that loses its power meanwhile can spoil the file, which is told, and what was synced before with it. So
// kinds whose acknowledgements are to outlive the machine have a folder of their own beside those that need not, or all is synced.
func (r *records) Save(changes map[string][]byte, sync bool) error {
	if err := r.update(sync, func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		in, err := tx.CreateBucketIfNotExists(recordBucket)
		if err != nil {
			return err
		}
		var t tally
		if meta.Get(tallyKey) != nil {
			if t, err = readTally(meta); err != nil {
				return err
			}
		}
		for _, key := range slices.Sorted(maps.Keys(changes)) {
			k, v := []byte(key), changes[key]
			if was := in.Get(k); len(was) >= 8 {
				t.book(binary.BigEndian.Uint64(was[len(was)-8:]), -1)
			}
			if v == nil {
				err = in.Delete(k)
			} else {
				sum := sumOf(key, v)
				t.book(sum, 1)
				err = in.Put(k, binary.BigEndian.AppendUint64(slices.Clone(v), sum))
			}
			if err != nil {
				return err
			}
		}
		t.saves++
		return meta.Put(tallyKey, sealed(t.raw()))
	}); err != nil {
		return err
	}
	r.unsynced = !sync
	return nil
}

// Sync has all that was saved outlive the machine.
func (r *records) Sync() error {
	if !r.unsynced {
		return nil
	}
	if err := r.sync(); err != nil {
		return err
	}
	r.unsynced = false
	return nil
}

// Close closes it; what was saved is synced.
func (r *records) Close() error { return errors.Join(r.Sync(), r.db.Close()) }
