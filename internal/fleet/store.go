package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"elderwall/fleet/replica"
)

// memoryStore keeps what the fleet's memory has, as records by key: "r" with kind and key, "v" with era and writer, and "m".
type memoryStore struct {
	*records
	era uint64
}

// keptMeta is what there is besides records and vector.
type keptMeta struct {
	Era uint64 `cbor:"1,keyasint"`
	At  int64  `cbor:"2,keyasint"` // Unix s of the save, by this machine's own clock
}

func recordKey(kind uint8, key string) string { return "r" + string([]byte{kind}) + key }

func entryKey(e *replica.Entry) string {
	return "v" + string(binary.BigEndian.AppendUint64(nil, e.Era)) + e.Writer
}

// openStore opens the file of a folder, or makes one, and gives what it has; nil where it has nothing.
func openStore(folder string) (*memoryStore, *replica.Saved, error) {
	r, err := openRecords(folder)
	if err != nil {
		return nil, nil, err
	}
	saved, err := readSaved(r)
	if err != nil {
		return nil, nil, errors.Join(err, r.Close())
	}
	s := &memoryStore{records: r}
	if saved != nil {
		s.era = saved.Era
	}
	return s, saved, nil
}

func readSaved(r *records) (*replica.Saved, error) {
	all, err := r.Load()
	if err != nil || len(all) == 0 {
		return nil, err
	}
	var saved replica.Saved
	for key, text := range all {
		var err error
		switch key[0] {
		case 'r':
			var c replica.Carried
			err = decoding.Unmarshal(text, &c)
			saved.Records = append(saved.Records, c)
		case 'v':
			var e replica.Entry
			err = decoding.Unmarshal(text, &e)
			saved.Vector = append(saved.Vector, e)
		case 'm':
			var m keptMeta
			err = decoding.Unmarshal(text, &m)
			saved.Era, saved.Away = m.Era, max(0, time.Since(time.Unix(m.At, 0)).Seconds())
		}
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errTorn, err)
		}
	}
	return &saved, nil
}

// save does one save, whole or not at all.
func (s *memoryStore) save(in *replica.Save) error {
	changes := map[string][]byte{}
	put := func(key string, v any) error {
		raw, err := encoding.Marshal(v)
		changes[key] = raw
		return err
	}
	if in.Era != 0 {
		s.era = in.Era
	}
	err := put("m", keptMeta{s.era, time.Now().Unix()})
	for i := range in.Records {
		r := &in.Records[i].Record
		err = errors.Join(err, put(recordKey(r.Kind, r.Key), &in.Records[i]))
	}
	for _, d := range in.Drops {
		changes[recordKey(d.Kind, d.Key)] = nil
	}
	for i := range in.Folded {
		changes[entryKey(&in.Folded[i])] = nil
	}
	for i := range in.Vector {
		err = errors.Join(err, put(entryKey(&in.Vector[i]), &in.Vector[i]))
	}
	if err != nil {
		return fmt.Errorf("memory: %w", err)
	}
	return s.Save(changes, in.Sync)
}

func (s *memoryStore) close() { _ = s.Close() }

func asideStore(folder string) error { return setAside(filepath.Join(folder, recordsFile)) }
