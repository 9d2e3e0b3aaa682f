package cluster

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"path/filepath"
	"slices"
	"time"

	"elderwall/core/cluster/replication"
)

// store is the disk of the fleet's memory: what a replica machine wants saved, in records.
type store struct {
	*records
	era     uint64
	owed    map[string][]byte // changes of saves that failed; the next one has them too
	spoilt  error             // what was found at the opening and put aside; nil where nothing was
	skipped int               // records that can't be read although they are whole: of a later version
}

// stamp is the era, and when the fleet was heard last. The time is this machine's own, and compared with no other's.
type stamp struct {
	Era   uint64 `cbor:"1,keyasint"`
	Unix  int64  `cbor:"2,keyasint"`           // s; of a disk of before, when the last save was
	Lacks []byte `cbor:"3,keyasint,omitempty"` // kinds of which the vector says nothing
}

// away is how long it is since a time of this machine's clock; without end where that was set back, so that nothing tells.
func away(since, now time.Time) float64 {
	if s := now.Sub(since).Seconds(); s >= 0 {
		return s
	}
	return math.Inf(1)
}

// Beginnings of keys.
const (
	stampAt  = "s"
	vectorAt = "v" // era and writer follow
	recordAt = "r" // kind and key follow
)

// openStore opens the memory of a folder. One that is spoilt is put aside and told in spoilt, and an empty one is opened: the others have the
// rest. A folder that another process has, or that can't be written, is an error.
func openStore(folder string) (*store, *replication.SavedState, error) {
	s := &store{}
	var err error
	if s.records, err = openRecords(folder); errors.Is(err, errTorn) {
		s.spoilt = err
		if err = setAside(filepath.Join(folder, recordsFile)); err == nil {
			s.records, err = openRecords(folder)
		}
	}
	if err != nil {
		return nil, nil, err
	}
	saved, err := s.saved(time.Now())
	if err != nil {
		_ = s.close()
		return nil, nil, err
	}
	return s, saved, nil
}

func (s *store) saved(now time.Time) (*replication.SavedState, error) {
	saved := &replication.SavedState{}
	for key, value := range s.opened {
		switch key[:1] {
		case stampAt:
			var at stamp
			if err := decoding.Unmarshal(value, &at); err != nil {
				return nil, fmt.Errorf("%s: %w", s.path, err)
			}
			saved.WriterEpoch, s.era, saved.IncompleteKinds = at.Era, at.Era, append(saved.IncompleteKinds, at.Lacks...)
			saved.SinceLastContact = away(time.Unix(at.Unix, 0), now)
		case vectorAt:
			var e replication.VectorEntry
			if err := decoding.Unmarshal(value, &e); err != nil {
				return nil, fmt.Errorf("%s: %w", s.path, err)
			}
			saved.Vector = append(saved.Vector, e)
		case recordAt:
			var c replication.ReplicatedRecord
			if decoding.Unmarshal(value, &c) != nil {
				s.skipped++
				saved.IncompleteKinds = append(saved.IncompleteKinds, key[1])
				continue
			}
			saved.Records = append(saved.Records, c)
		}
	}
	s.opened = nil
	slices.SortFunc(saved.Vector, func(a, b replication.VectorEntry) int {
		return cmp.Or(cmp.Compare(a.Writer, b.Writer), cmp.Compare(a.WriterEpoch, b.WriterEpoch))
	})
	slices.SortFunc(saved.Records, func(a, b replication.ReplicatedRecord) int {
		return cmp.Or(cmp.Compare(a.Record.Kind, b.Record.Kind), cmp.Compare(a.Record.Key, b.Record.Key))
	})
	return saved, nil
}

func recordKey(kind uint8, key string) string { return recordAt + string([]byte{kind}) + key }

func entryKey(e replication.VectorEntry) string {
	return vectorAt + string(binary.BigEndian.AppendUint64(nil, e.WriterEpoch)) + e.Writer
}

// longestAway is as long as ever, in s: beyond any horizon.
const longestAway = 1e9

// mostOwedChanges is how many changes wait for the disk: what all kinds may have, about.
const mostOwedChanges = 1 << 20

var errOwed = errors.New("too much waits for the disk")

// save saves all of it, with what is owed, or nothing. Several saves of a machine are one where their driver joins them: one sync is then for
// all. What failed is owed: it is saved with the next one.
func (s *store) save(in *replication.Save) error {
	if err := s.owe(in); err != nil {
		return err
	}
	return s.pay()
}

// pay saves what is owed. It always syncs, whatever a kind asks for: a machine that loses its power during an unsynced save can spoil the whole
// file, and what was synced before with it.
func (s *store) pay() error {
	if len(s.owed) == 0 {
		return nil
	}
	if err := s.Save(s.owed, true); err != nil {
		return err
	}
	s.owed = nil
	return nil
}

// owe takes changes over those that are owed.
func (s *store) owe(in *replication.Save) error {
	if s.owed == nil {
		s.owed = make(map[string][]byte, len(in.Records)+len(in.Removed)+len(in.Vector)+len(in.RemovedEntries)+1)
	}
	changes := s.owed
	for _, e := range in.RemovedEntries { // before what replaces them
		changes[entryKey(e)] = nil
	}
	for _, n := range in.Removed {
		changes[recordKey(n.Kind, n.Key)] = nil
	}
	put := func(key string, what any) error {
		raw, err := encoding.Marshal(what)
		changes[key] = raw
		return err
	}
	era := max(s.era, in.WriterEpoch)
	heard := time.Now().Unix() - int64(min(in.SinceLastContact, longestAway))
	err := put(stampAt, stamp{era, max(heard, 0), in.IncompleteKinds})
	for i := range in.Records {
		err = errors.Join(err, put(recordKey(in.Records[i].Record.Kind, in.Records[i].Record.Key), in.Records[i]))
	}
	for _, e := range in.Vector {
		err = errors.Join(err, put(entryKey(e), e))
	}
	s.era = era
	if err == nil && len(changes) > mostOwedChanges {
		err = errOwed
	}
	return err
}

func (s *store) close() error { return s.Close() }
