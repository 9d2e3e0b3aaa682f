package variant

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"elderwall/core/cluster/replication"
)

var errInvalidFact = errors.New("invalid fact: corrupt or in an unknown format")

// factHeaderSize is the number of bytes of a fact before its witness: format, service, group, object, class,
// content hash, purge, version, split, split count, canonical class, part.
const factHeaderSize = 1 + 4 + 4 + 8 + 1 + 8 + 8 + 8 + 1 + 4 + 1 + 4

// stampSize is the number of bytes of a stamp, which follows the header and precedes the witness.
const stampSize = 8 + 8

// Formats of an encoded fact, stored in its first byte.
const (
	formatPlain   = 2
	formatStamped = 3 // with a stamp
)

// Settings of the kind of records that facts are stored as.
const (
	KindID         = 2         // number of the record kind
	maxRecords     = 200_000   // facts; those that a purge made void are deleted
	maxRecordBytes = 64 << 20  // bytes of all keys and values
	maxKeyPrefix   = 4 * 16    // bytes of a key before its witness
	maxPurge       = 1<<46 - 1 // highest time of a purge that is accepted, in Unix ms; it is beyond the year 4000, so that a corrupt fact cannot block an object forever
)

// Kind describes facts to the replication package. A write is acknowledged before it is synced to disk, because
// the next answers bring lost evidence again.
func Kind() replication.Kind {
	return replication.Kind{ID: KindID, Name: "variants", MaxRecords: maxRecords, MaxBytes: maxRecordBytes, MaxRecordBytes: maxKeyPrefix + factHeaderSize + stampSize + 2*maxWitnessName, MergeOrder: FactMergeOrder, Check: CheckFact}
}

// CheckFact returns an error if a record received from outside is not a valid fact under its key.
func CheckFact(key string, value []byte) error {
	f, err := DecodeFact(value)
	if err == nil && FactKey(&f) != key {
		err = errInvalidFact
	}
	return err
}

// FactKey returns the key of a fact's record, which names the object, part, class and witness.
func FactKey(f *Fact) string {
	return fmt.Sprintf("%d/%016x/%d/%d/%s", f.Object.Service, f.Object.ID, f.Object.Part, f.Class, f.Witness)
}

// EncodeFact encodes a fact deterministically.
func EncodeFact(f *Fact) []byte {
	b := make([]byte, 0, factHeaderSize+stampSize+len(f.Witness))
	form := byte(formatPlain)
	if f.Stamp.Issuer != 0 {
		form = formatStamped
	}
	b = append(b, form)
	b = binary.BigEndian.AppendUint32(b, uint32(f.Object.Service))
	b = binary.BigEndian.AppendUint32(b, uint32(f.Object.Group))
	b = binary.BigEndian.AppendUint64(b, f.Object.ID)
	b = append(b, byte(f.Class))
	b = binary.BigEndian.AppendUint64(b, f.ContentHash)
	b = binary.BigEndian.AppendUint64(b, f.Generation.Purge)
	b = binary.BigEndian.AppendUint64(b, f.Generation.Version)
	split := byte(0)
	if f.Split {
		split = 1
	}
	b = append(b, split)
	b = binary.BigEndian.AppendUint32(b, f.SplitCount)
	b = append(b, f.Canonical)
	b = binary.BigEndian.AppendUint32(b, uint32(f.Object.Part))
	if form == formatStamped {
		b = binary.BigEndian.AppendUint64(b, f.Stamp.Issuer)
		b = binary.BigEndian.AppendUint64(b, f.Stamp.Number)
	}
	return append(b, f.Witness...)
}

// DecodeFact decodes the output of EncodeFact and returns an error for any other input.
func DecodeFact(b []byte) (Fact, error) {
	head := factHeaderSize
	if len(b) > 0 && b[0] == formatStamped {
		head += stampSize
	}
	if len(b) <= head || len(b) > head+maxWitnessName || b[0] != formatPlain && b[0] != formatStamped || b[42] > 1 {
		return Fact{}, errInvalidFact
	}
	f := Fact{
		Object: Object{
			Service: int(int32(binary.BigEndian.Uint32(b[1:]))), Group: int(int32(binary.BigEndian.Uint32(b[5:]))),
			ID: binary.BigEndian.Uint64(b[9:]), Part: int(int32(binary.BigEndian.Uint32(b[48:]))),
		},
		Class:       int(b[17]),
		ContentHash: binary.BigEndian.Uint64(b[18:]),
		Generation:  Generation{binary.BigEndian.Uint64(b[26:]), binary.BigEndian.Uint64(b[34:])},
		Split:       b[42] == 1,
		SplitCount:  binary.BigEndian.Uint32(b[43:]),
		Canonical:   b[47],
		Witness:     string(b[head:]),
	}
	if head > factHeaderSize {
		f.Stamp = Stamp{binary.BigEndian.Uint64(b[factHeaderSize:]), binary.BigEndian.Uint64(b[factHeaderSize+8:])}
		if f.Stamp.Issuer == 0 {
			return Fact{}, errInvalidFact
		}
	}
	if _, ok := witnessHost(f.Witness); !ok || f.Class >= MaxClasses || f.Canonical > MaxClasses || f.Object.Service < 0 || f.Object.Part < 0 || f.ContentHash == 0 ||
		f.Generation.Purge > maxPurge {
		return Fact{}, errInvalidFact
	}
	return f, nil
}

// FactMergeOrder is a total order of the values of one key, lowest first: unreadable values, then by generation,
// by stamp (only facts that expire have one, and the later stamp is the writer's newer statement), a split over an
// agreement, by the split count, by the canonical class (declared first ranks highest, none ranks lowest), and by
// the bytes.
func FactMergeOrder(a, b []byte) int {
	f, e := DecodeFact(a)
	g, h := DecodeFact(b)
	if e != nil || h != nil {
		return cmp.Or(boolToInt(e == nil)-boolToInt(h == nil), bytes.Compare(a, b))
	}
	rank := func(x uint8) int { return (MaxClasses + 1 - int(x)) % (MaxClasses + 1) } // 0 for no canonical class; otherwise a class declared earlier ranks higher
	return cmp.Or(f.Generation.compare(g.Generation), cmp.Compare(f.Stamp.Issuer, g.Stamp.Issuer), cmp.Compare(f.Stamp.Number, g.Stamp.Number), boolToInt(f.Split)-boolToInt(g.Split), cmp.Compare(f.SplitCount, g.SplitCount),
		cmp.Compare(rank(f.Canonical), rank(g.Canonical)), bytes.Compare(a, b))
}

func (g Generation) compare(o Generation) int {
	return cmp.Or(cmp.Compare(g.Purge, o.Purge), cmp.Compare(g.Version, o.Version))
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func witnessName(self string, host uint32) string {
	return self + "/" + strconv.FormatUint(uint64(host), 16)
}

// witnessHost returns the host number in a witness's name. One host reported by two dispatchers is one witness.
func witnessHost(w string) (uint32, bool) {
	i := strings.LastIndexByte(w, '/')
	if i < 0 || len(w) > maxWitnessName {
		return 0, false
	}
	h, err := strconv.ParseUint(w[i+1:], 16, 32)
	return uint32(h), err == nil
}

// problemList collects the problems of settings in the order in which they are found.
type problemList []error

func (f *problemList) add(format string, a ...any) { *f = append(*f, fmt.Errorf(format, a...)) }

// check returns an error that names all problems of the settings.
func (s *Settings) check() error {
	var all problemList
	declared := false
	for i := range s.Services {
		if len(s.Services[i].Classes) > 0 {
			declared = true
			s.Services[i].check(i, &all)
		}
	}
	if declared && (s.MaxObjects < 1 || s.MaxObjects > MaxObjects) {
		all.add("%d objects, must be 1 to %d", s.MaxObjects, MaxObjects)
	}
	if s.Partitions < 0 || s.Partitions > maxNotices {
		all.add("%d partitions, must be 0 to %d", s.Partitions, maxNotices)
	}
	if declared && (s.Self == "" || len(s.Self) > maxWitnessName-9) {
		all.add("the dispatcher's name %q is empty or longer than %d bytes", s.Self, maxWitnessName-9)
	}
	return errors.Join(all...)
}

// check adds the problems of a service that declares classes.
func (v *Service) check(i int, all *problemList) {
	if len(v.Classes) > MaxClasses {
		all.add("service %d: %d classes, must be at most %d", i, len(v.Classes), MaxClasses)
	}
	seen := map[string]bool{}
	for _, c := range v.Classes {
		if c == "" || seen[c] {
			all.add("service %d: class %q is empty or named twice", i, c)
		}
		seen[c] = true
	}
	if v.Proof < ProofByTag || v.Proof > ProofByBody {
		all.add("service %d: no proof of equal content is set", i)
	}
	if v.Witnesses < 1 || v.Witnesses > MaxWitnesses {
		all.add("service %d: %d witnesses, must be 1 to %d", i, v.Witnesses, MaxWitnesses)
	}
	if math.IsNaN(v.EvidenceTTL) || v.EvidenceTTL < 0 {
		all.add("service %d: fresh is %v s, must be at least 0", i, v.EvidenceTTL)
	}
	if p := v.Presumption; p != nil && (p.MinObjects < 1 || !(p.MinCheckShare > 0 && p.MinCheckShare <= 1)) {
		all.add("service %d: presumes after %d objects with a check share of %v: must be at least 1 object and a share above 0, at most 1", i, p.MinObjects, p.MinCheckShare)
	}
}
