// Package purgefloor defines the kind of replicated records that hold purge floors. A record states when an object or a group was last purged,
// according to the operator's change log. A dispatcher that receives nothing from its change log learns of purges from the floors of the others.
// The time is taken from the change log, so it is the same at every dispatcher, and no dispatcher's clock is involved.
//
// Invariant: a floor only rises, so what is learned from other dispatchers can only restrict which copies may be used.
package purgefloor

import (
	"cmp"
	"encoding/binary"
	"errors"
	"strconv"
	"strings"

	"elderwall/core/cluster/replication"
)

// Limits of the kind.
const (
	KindID       = 1        // ID of the record kind
	maxRecords   = 200_000  // purges that are kept; this is 100 per second for half an hour
	maxBytes     = 64 << 20 // bytes of all keys and values
	maxNameBytes = 256      // bytes of an object's name; purges of longer names are not replicated, and each dispatcher learns them from its change log
	valueBytes   = 8        // bytes of a value, which is a time in Unix ms
	maxTime      = 1 << 46  // Unix ms that a purge time must be below; this is beyond the year 4000, so that a corrupted time is rejected
)

// Floor states when an object was last purged, or a whole group if Object is "".
type Floor struct {
	Object string
	Group  int
	Time   int64 // Unix ms, from the change log
}

var (
	errKey   = errors.New("floors: key names neither an object nor a group")
	errValue = errors.New("floors: value is not a valid purge time of 8 bytes")
)

// Kind returns the description of the kind for package replication. Writes are not synced to the disk before they are acknowledged, since the change
// log and the other dispatchers have all of them.
func Kind() replication.Kind {
	return replication.Kind{ID: KindID, Name: "floors", MaxRecords: maxRecords, MaxBytes: maxBytes, MaxRecordBytes: 1 + maxNameBytes + 20 + valueBytes, MergeOrder: MergeOrder, Check: ValidateRecord}
}

// MergeOrder compares two values so that the later purge wins.
func MergeOrder(a, b []byte) int { return cmp.Compare(timeOf(a), timeOf(b)) }

func timeOf(value []byte) uint64 {
	if len(value) != valueBytes {
		return 0
	}
	return binary.BigEndian.Uint64(value)
}

// ValidateRecord returns an error if a key or its value is invalid.
func ValidateRecord(key string, value []byte) error {
	_, err := ParseRecord(key, value)
	return err
}

// EncodeRecord returns the key and value of a floor. ok is false for a floor that is not replicated.
func EncodeRecord(f Floor) (key string, value []byte, ok bool) {
	if f.Time <= 0 || f.Time >= maxTime || len(f.Object) > maxNameBytes {
		return "", nil, false
	}
	if key = "o" + f.Object; f.Object == "" {
		key = "g" + strconv.Itoa(f.Group)
	}
	return key, binary.BigEndian.AppendUint64(nil, uint64(f.Time)), true
}

// ParseRecord returns the floor of a record. It returns an error if the key or the value is invalid.
func ParseRecord(key string, value []byte) (f Floor, err error) {
	name, isObject := strings.CutPrefix(key, "o")
	group, isGroup := strings.CutPrefix(key, "g")
	switch {
	case len(value) != valueBytes || timeOf(value) == 0 || timeOf(value) >= maxTime:
		return f, errValue
	case isObject && name != "" && len(name) <= maxNameBytes:
		f.Object = name
	case isGroup:
		if f.Group, err = strconv.Atoi(group); err != nil || strconv.Itoa(f.Group) != group {
			return f, errKey
		}
	default:
		return f, errKey
	}
	f.Time = int64(timeOf(value))
	return f, nil
}
