package cluster

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

const (
	lockTime   = time.Second // another process that has the file
	pageHead   = 16          // bytes before what a page of the library's holds
	metaLength = 56          // of what the library sums up in each of its two first pages
)

// file is a bbolt file that is told when it was spoilt: the voter's log and the replica's records are kept in one each. Its records bear
// sums of their own (sealed), as the library has none for them.
type file struct {
	path string

	mu    sync.RWMutex // guards db, which is replaced when the file is written anew
	db    *bbolt.DB
	under *os.File
}

// doubted has the paths of files of which a write or sync has failed, by any opening of this process. Guards against pages that a failed sync has left
// marked as written (fsync(2)): neither a later sync nor what is read of them tells whether the disk has them.
var doubted sync.Map

var errTorn = errors.New("a record is torn")

// openFile opens a file, or makes one, and has it read. A file that is torn, cut short or flipped is errTorn; one that another process
// has is an error within lockTime. One that is doubted is written anew before it is read.
func openFile(path string, read func(f *file) error) (f *file, err error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
	if f, err = openWhole(path); err != nil {
		return nil, err
	}
	if _, is := doubted.Load(path); is {
		err = f.renew()
	}
	if err == nil {
		err = f.guarded(func() error { return read(f) })
	}
	if err != nil {
		f.close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// guarded turns what a file that was cut short does to whoever maps it into errTorn.
func (f *file) guarded(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if what := recover(); what != nil {
			_ = f.under.Close() // the lock goes with it
			err = fmt.Errorf("%w: %v", errTorn, what)
		}
	}()
	return do()
}

// openWhole opens a file that bears what the library wants of it.
func openWhole(path string) (f *file, err error) {
	var under *os.File
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // what a file that was cut short does to whoever maps it
	defer func() {
		if what := recover(); what != nil {
			_ = under.Close() // the lock goes with it
			f, err = nil, fmt.Errorf("%s: %w: %v", path, errTorn, what)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTime, OpenFile: func(name string, flag int, mode os.FileMode) (*os.File, error) {
		var err error
		under, err = os.OpenFile(name, flag, mode)
		return under, err
	}})
	if errors.Is(err, bbolterrors.ErrInvalid) ||
		errors.Is(err, bbolterrors.ErrChecksum) ||
		errors.Is(err, bbolterrors.ErrVersionMismatch) ||
		err != nil && strings.Contains(err.Error(), "file size too small") {
		err = fmt.Errorf("%w: %w", errTorn, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	f = &file{db: db, path: path, under: under}
	if err = whole(under, int64(db.Info().PageSize)); err != nil {
		f.close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// whole looks at both of the library's first pages. Guards against the last change being lost in silence: where the newer page is spoilt, the
// library goes by the other one, which is a change older. Guards too against a file that is shorter than it says.
func whole(f *os.File, page int64) error {
	info, err := f.Stat()
	if err != nil {
		return err
	}
	for at := range int64(2) {
		b := make([]byte, metaLength+8)
		if _, err := f.ReadAt(b, at*page+pageHead); err != nil {
			return fmt.Errorf("%w: %w", errTorn, err)
		}
		sum := fnv.New64a()
		_, _ = sum.Write(b[:metaLength])
		if sum.Sum64() != binary.NativeEndian.Uint64(b[metaLength:]) {
			return fmt.Errorf("%w: page %d", errTorn, at)
		}
		if pages := binary.NativeEndian.Uint64(b[40:]); pages > uint64(info.Size()/page) {
			return fmt.Errorf("%w: %d bytes of %d pages", errTorn, info.Size(), pages)
		}
	}
	return nil
}

// fresh tells whether nothing was ever written: else a bucket that isn't there is lost.
func fresh(tx *bbolt.Tx) error {
	if tx.ID() > 1 {
		return fmt.Errorf("%w: a table is missing", errTorn)
	}
	return nil
}

// update does a change, whole or not at all. Once one has failed at the disk, the file is written anew before the next.
func (f *file) update(synced bool, do func(tx *bbolt.Tx) error) error {
	if _, is := doubted.Load(f.path); is {
		if err := f.renew(); err != nil {
			return fmt.Errorf("%s: written anew: %w", f.path, err)
		}
	}
	if synced {
		awaitSync()
	}
	f.db.NoSync = !synced // whoever changes a file is one goroutine
	var refused error     // by do, which is not the disk's fault
	err := f.db.Update(func(tx *bbolt.Tx) error {
		refused = do(tx)
		return refused
	})
	if err != nil && refused == nil {
		doubted.Store(f.path, true)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", f.path, err)
	}
	return nil
}

// sync has all that was saved outlive the machine.
func (f *file) sync() error {
	awaitSync()
	if err := f.db.Sync(); err != nil {
		doubted.Store(f.path, true)
		return fmt.Errorf("%s: %w", f.path, err)
	}
	return nil
}

// view reads.
func (f *file) view(do func(tx *bbolt.Tx) error) error {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.db.View(do)
}

// renew writes all that is in the file into another one, has that on the disk, and takes it in the place of the first. It is trusted again then.
func (f *file) renew() error {
	anew := f.path + ".new"
	if err := f.copyTo(anew); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := os.Rename(anew, f.path); err != nil {
		return err
	}
	if err := syncFolder(filepath.Dir(f.path)); err != nil {
		return err
	}
	_ = f.db.Close()
	opened, err := openWhole(f.path)
	if err != nil {
		return err
	}
	f.db, f.under = opened.db, opened.under
	doubted.Delete(f.path)
	return nil
}

func (f *file) copyTo(path string) error {
	out, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	err = f.db.View(func(tx *bbolt.Tx) error {
		_, err := tx.WriteTo(out)
		return err
	})
	return errors.Join(err, out.Sync(), out.Close())
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// close closes it; what was saved stays.
func (f *file) close() { _ = f.db.Close() }

// aside puts the file aside: it counts no more, and may be looked at.
func (f *file) aside() error {
	f.close()
	return setAside(f.path)
}

func setAside(path string) error {
	if err := os.Rename(path, fmt.Sprintf("%s.old-%d", path, time.Now().UnixNano())); err != nil {
		return fmt.Errorf("put aside: %w", err)
	}
	return nil
}

// sealed gives a text with its sum behind it.
func sealed(b []byte) []byte {
	return binary.BigEndian.AppendUint64(append([]byte(nil), b...), xxhash.Sum64(b))
}

func unsealed(b []byte) ([]byte, error) {
	n := len(b) - 8
	if n < 0 || xxhash.Sum64(b[:n]) != binary.BigEndian.Uint64(b[n:]) {
		return nil, errTorn
	}
	return append([]byte(nil), b[:n]...), nil
}
