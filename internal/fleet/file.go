package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
)

const (
	lockTime   = time.Second // another process that has the file
	pageHead   = 16          // bytes before what a page of the library's holds
	metaLength = 56          // of what the library sums up in each of its two first pages
)

// file is a bbolt file that is told when it was spoilt: the voter's log and the replica's records are kept in one each. Its records bear
// sums of their own (sealed), as the library has none for them.
type file struct {
	db   *bbolt.DB
	path string
}

var errTorn = errors.New("a record is torn")

// openFile opens a file, or makes one, and has it read. A file that is torn, cut short or flipped is errTorn; one that another process
// has is an error within lockTime.
func openFile(path string, read func(f *file) error) (f *file, err error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return nil, fmt.Errorf("folder: %w", err)
	}
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
	if errors.Is(err, bbolt.ErrInvalid) || errors.Is(err, bbolt.ErrChecksum) || errors.Is(err, bbolt.ErrVersionMismatch) ||
		err != nil && strings.Contains(err.Error(), "file size too small") {
		err = fmt.Errorf("%w: %w", errTorn, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	f = &file{db: db, path: path}
	if err = whole(under, int64(db.Info().PageSize)); err == nil {
		err = read(f)
	}
	if err != nil {
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

// update does a change, whole or not at all.
func (f *file) update(sync bool, do func(tx *bbolt.Tx) error) error {
	if sync {
		awaitSync()
	}
	f.db.NoSync = !sync // whoever changes a file is one goroutine
	if err := f.db.Update(do); err != nil {
		return fmt.Errorf("%s: %w", f.path, err)
	}
	return nil
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
