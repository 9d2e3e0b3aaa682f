// Package purgefloor is the kind of records that remember purges: by object, or by group, when it was last purged, as the operator's change
// log tells it. A dispatcher whose change log is silent learns purges from the others' floors. The time is the change log's own word, the
// same to all who heard it; no dispatcher's clock comes into it.
//
// The invariant: a floor only rises, so what is learned from others only narrows which copies will do.
package purgefloor

import (
	"cmp"
	"encoding/binary"
	"errors"
	"strconv"
	"strings"

	"elderwall/core/cluster/replication"
)

// Figures.
const (
	ID          = 1        // of the kind
	records     = 200_000  // purges that are remembered; a hundred a second for half an hour
	bytes       = 64 << 20 // of keys and values
	longestName = 256      // bytes of an object's name; longer ones are not told, and each dispatcher hears them from the change log
	length      = 8        // bytes of a value: Unix ms
	most        = 1 << 46  // Unix ms of a purge at most: beyond the year 4000, so that a spoilt one is refused
)

// Floor is when an object, or a whole group where Object is "", was last purged.
type Floor struct {
	Object string
	Group  int
	Time   int64 // Unix ms, as the change log has it
}

var (
	errKey   = errors.New("floors: a key is an object's or a group's")
	errValue = errors.New("floors: a value is a time of a purge in 8 bytes")
)

// Kind is what replica is told of it. Acknowledged is not synced: the change log has all of it, and so have the others.
func Kind() replication.Kind {
	return replication.Kind{ID: ID, Name: "floors", Records: records, Bytes: bytes, Longest: 1 + longestName + 20 + length, Law: Law, Check: Check}
}

// Law has the later purge stand.
func Law(a, b []byte) int { return cmp.Compare(timeOf(a), timeOf(b)) }

func timeOf(value []byte) uint64 {
	if len(value) != length {
		return 0
	}
	return binary.BigEndian.Uint64(value)
}

// Check tells what is wrong with a record.
func Check(key string, value []byte) error {
	_, err := Read(key, value)
	return err
}

// Record gives the key and value of a floor; ok is false for one that is not told.
func Record(f Floor) (key string, value []byte, ok bool) {
	if f.Time <= 0 || f.Time >= most || len(f.Object) > longestName {
		return "", nil, false
	}
	if key = "o" + f.Object; f.Object == "" {
		key = "g" + strconv.Itoa(f.Group)
	}
	return key, binary.BigEndian.AppendUint64(nil, uint64(f.Time)), true
}

// Read reads a record.
func Read(key string, value []byte) (f Floor, err error) {
	name, object := strings.CutPrefix(key, "o")
	group, grouped := strings.CutPrefix(key, "g")
	switch {
	case len(value) != length || timeOf(value) == 0 || timeOf(value) >= most:
		return f, errValue
	case object && name != "" && len(name) <= longestName:
		f.Object = name
	case grouped:
		if f.Group, err = strconv.Atoi(group); err != nil || strconv.Itoa(f.Group) != group {
			return f, errKey
		}
	default:
		return f, errKey
	}
	f.Time = int64(timeOf(value))
	return f, nil
}
