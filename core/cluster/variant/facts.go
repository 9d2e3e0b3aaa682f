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

var errFact = errors.New("not a fact: spoilt, or of another version")

// factHead is the bytes of a fact before its witness: version, service, group, object, class, proof, purge, version, split, splits, stands, part.
const factHead = 1 + 4 + 4 + 8 + 1 + 8 + 8 + 8 + 1 + 4 + 1 + 4

// factBeat is the bytes of a beat, before the witness.
const factBeat = 8 + 8

// Forms of a fact's bytes.
const (
	factForm = 2
	beatForm = 3 // with a beat
)

// The kind of records that facts are.
const (
	ID      = 2         // of the kind
	records = 200_000   // facts; of what a purge voided they are deleted
	size    = 64 << 20  // bytes of keys and values
	longKey = 4 * 16    // bytes of a key before its witness
	latest  = 1<<46 - 1 // Unix ms of a purge at most: beyond the year 4000, so that a spoilt one bars no object for good
)

// Kind is what replica is told of facts. Acknowledged is not synced: evidence comes anew with the next answers.
func Kind() replication.Kind {
	return replication.Kind{ID: ID, Name: "variants", MaxRecords: records, MaxBytes: size, MaxRecordBytes: longKey + factHead + factBeat + 2*maxWitness, MergeOrder: FactLaw, Check: CheckFact}
}

// CheckFact tells what is wrong with a record from outside.
func CheckFact(key string, value []byte) error {
	f, err := DecodeFact(value)
	if err == nil && FactKey(&f) != key {
		err = errFact
	}
	return err
}

// FactKey is the key of a fact's record: of one object, part, class and witness.
func FactKey(f *Fact) string {
	return fmt.Sprintf("%d/%016x/%d/%d/%s", f.Object.Service, f.Object.Object, f.Object.Part, f.Class, f.Witness)
}

// EncodeFact gives a fact's bytes: the same for the same fact.
func EncodeFact(f *Fact) []byte {
	b := make([]byte, 0, factHead+factBeat+len(f.Witness))
	form := byte(factForm)
	if f.Beat.Giver != 0 {
		form = beatForm
	}
	b = append(b, form)
	b = binary.BigEndian.AppendUint32(b, uint32(f.Object.Service))
	b = binary.BigEndian.AppendUint32(b, uint32(f.Object.Group))
	b = binary.BigEndian.AppendUint64(b, f.Object.Object)
	b = append(b, byte(f.Class))
	b = binary.BigEndian.AppendUint64(b, f.Proof)
	b = binary.BigEndian.AppendUint64(b, f.Generation.Purge)
	b = binary.BigEndian.AppendUint64(b, f.Generation.Version)
	split := byte(0)
	if f.Split {
		split = 1
	}
	b = append(b, split)
	b = binary.BigEndian.AppendUint32(b, f.Splits)
	b = append(b, f.Stands)
	b = binary.BigEndian.AppendUint32(b, uint32(f.Object.Part))
	if form == beatForm {
		b = binary.BigEndian.AppendUint64(b, f.Beat.Giver)
		b = binary.BigEndian.AppendUint64(b, f.Beat.Number)
	}
	return append(b, f.Witness...)
}

// DecodeFact reads what EncodeFact wrote; whatever else is refused.
func DecodeFact(b []byte) (Fact, error) {
	head := factHead
	if len(b) > 0 && b[0] == beatForm {
		head += factBeat
	}
	if len(b) <= head || len(b) > head+maxWitness || b[0] != factForm && b[0] != beatForm || b[42] > 1 {
		return Fact{}, errFact
	}
	f := Fact{
		Object: Object{
			Service: int(int32(binary.BigEndian.Uint32(b[1:]))), Group: int(int32(binary.BigEndian.Uint32(b[5:]))),
			Object: binary.BigEndian.Uint64(b[9:]), Part: int(int32(binary.BigEndian.Uint32(b[48:]))),
		},
		Class:      int(b[17]),
		Proof:      binary.BigEndian.Uint64(b[18:]),
		Generation: Generation{binary.BigEndian.Uint64(b[26:]), binary.BigEndian.Uint64(b[34:])},
		Split:      b[42] == 1,
		Splits:     binary.BigEndian.Uint32(b[43:]),
		Stands:     b[47],
		Witness:    string(b[head:]),
	}
	if head > factHead {
		f.Beat = Beat{binary.BigEndian.Uint64(b[factHead:]), binary.BigEndian.Uint64(b[factHead+8:])}
		if f.Beat.Giver == 0 {
			return Fact{}, errFact
		}
	}
	if _, ok := hostOf(f.Witness); !ok || f.Class >= MaxClasses || f.Stands > MaxClasses || f.Object.Service < 0 || f.Object.Part < 0 || f.Proof == 0 ||
		f.Generation.Purge > latest {
		return Fact{}, errFact
	}
	return f, nil
}

// FactLaw orders two values of one key, totally: what can't be read is lowest; then the higher generation, the later beat (only of
// what lapses: its writer's newest word), a contrary one over an agreeing
// one, more splits, the class that stands and was declared first, and the bytes.
func FactLaw(a, b []byte) int {
	f, e := DecodeFact(a)
	g, h := DecodeFact(b)
	if e != nil || h != nil {
		return cmp.Or(boolean(e == nil)-boolean(h == nil), bytes.Compare(a, b))
	}
	stands := func(x uint8) int { return (MaxClasses + 1 - int(x)) % (MaxClasses + 1) } // 0 for none, else the lower the class the higher
	return cmp.Or(f.Generation.compare(g.Generation), cmp.Compare(f.Beat.Giver, g.Beat.Giver), cmp.Compare(f.Beat.Number, g.Beat.Number), boolean(f.Split)-boolean(g.Split), cmp.Compare(f.Splits, g.Splits),
		cmp.Compare(stands(f.Stands), stands(g.Stands)), bytes.Compare(a, b))
}

func (g Generation) compare(o Generation) int {
	return cmp.Or(cmp.Compare(g.Purge, o.Purge), cmp.Compare(g.Version, o.Version))
}

func boolean(b bool) int {
	if b {
		return 1
	}
	return 0
}

func witness(self string, host uint32) string {
	return self + "/" + strconv.FormatUint(uint64(host), 16)
}

// hostOf reads the host: two dispatchers that heard one host are one witness.
func hostOf(w string) (uint32, bool) {
	i := strings.LastIndexByte(w, '/')
	if i < 0 || len(w) > maxWitness {
		return 0, false
	}
	h, err := strconv.ParseUint(w[i+1:], 16, 32)
	return uint32(h), err == nil
}

// faultList is what is wrong with settings, in the order in which it was found.
type faultList []error

func (f *faultList) add(format string, a ...any) { *f = append(*f, fmt.Errorf(format, a...)) }

// check names all that is wrong with settings.
func (s *Settings) check() error {
	var all faultList
	declared := false
	for i := range s.Services {
		if len(s.Services[i].Classes) > 0 {
			declared = true
			s.Services[i].check(i, &all)
		}
	}
	if declared && (s.Objects < 1 || s.Objects > MaxObjects) {
		all.add("%d objects, 1 to %d", s.Objects, MaxObjects)
	}
	if s.Parts < 0 || s.Parts > maxNotices {
		all.add("%d parts, up to %d", s.Parts, maxNotices)
	}
	if declared && (s.Self == "" || len(s.Self) > maxWitness-9) {
		all.add("the dispatcher's name %q is empty or longer than %d bytes", s.Self, maxWitness-9)
	}
	return errors.Join(all...)
}

// check adds what is wrong with a service that declares classes.
func (v *Service) check(i int, all *faultList) {
	if len(v.Classes) > MaxClasses {
		all.add("service %d: %d classes, %d at most", i, len(v.Classes), MaxClasses)
	}
	seen := map[string]bool{}
	for _, c := range v.Classes {
		if c == "" || seen[c] {
			all.add("service %d: class %q is empty or named twice", i, c)
		}
		seen[c] = true
	}
	if v.Proof < ByTag || v.Proof > ByBody {
		all.add("service %d: no proof of sameness is named", i)
	}
	if v.Witnesses < 1 || v.Witnesses > MaxWitnesses {
		all.add("service %d: %d witnesses, 1 to %d", i, v.Witnesses, MaxWitnesses)
	}
	if math.IsNaN(v.Fresh) || v.Fresh < 0 {
		all.add("service %d: fresh %v s, 0 at least", i, v.Fresh)
	}
	if p := v.Presume; p != nil && (p.Objects < 1 || !(p.Checks > 0 && p.Checks <= 1)) {
		all.add("service %d: presumes after %d objects with checks %v: 1 object at least, and a share over 0 up to 1", i, p.Objects, p.Checks)
	}
}
