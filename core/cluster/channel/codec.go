package channel

import (
	"cmp"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"elderwall/core/cluster/replication"
)

// Errors of a token and of an entry from outside.
var (
	ErrToken = errors.New("spoilt position")
	ErrEntry = errors.New("spoilt entry")
)

// Kinds are those that replica has to be given.
func Kinds() []replication.Kind {
	return []replication.Kind{
		{ID: EntryKind, Name: "entry", MaxRecords: 400_000, MaxBytes: 256 << 20, MaxRecordBytes: replication.MaxRecordBytes, Sync: true, MergeOrder: entryLaw, Check: checkEntry},
		{ID: WriterKind, Name: "writer", MaxRecords: 2 * MostChannels * (MostWriters + 1), MaxBytes: 8 << 20, MaxRecordBytes: 512, Sync: true, MergeOrder: numberLaw, Check: checkNumber},
	}
}

// entryLaw: nothing that was let go comes back; of two the higher stamp.
func entryLaw(a, b []byte) int {
	if len(a) == 0 || len(b) == 0 {
		return cmp.Compare(min(len(b), 1), min(len(a), 1))
	}
	x, _ := binary.Uvarint(a)
	y, _ := binary.Uvarint(b)
	return cmp.Compare(x, y)
}

// numberLaw: the higher epoch, then the higher number.
func numberLaw(a, b []byte) int {
	x, y := reading{b: a}, reading{b: b}
	return cmp.Or(cmp.Compare(x.number(), y.number()), cmp.Compare(x.number(), y.number()))
}

func checkEntry(key string, value []byte) error {
	if _, err := readKey(key); err != nil {
		return err
	}
	if len(value) == 0 { // a tombstone
		return nil
	}
	e, err := unpackEntry(value)
	if err == nil && e.key() != key {
		err = fmt.Errorf("%w: under another key", ErrEntry)
	}
	return err
}

func checkNumber(key string, value []byte) error {
	parts, err := readKey(key)
	r := reading{b: value}
	r.number()
	r.number()
	if err == nil && (len(value) > 0 && r.bad || len(r.b) > 0 || parts.number != 0) {
		err = ErrEntry
	}
	return err
}

func (e *Entry) size() int { return len(e.Body) + len(e.Key) + len(e.Writer) + after(e.After) + 32 }

// Size is how many bytes an entry takes on the wire, or some more.
func (e *Entry) Size() int { return e.size() + len(e.Channel) + 40 }

// after is how many bytes of what an entry comes after there are.
func after(all map[string]uint64) (n int) {
	for w := range all {
		n += len(w) + 10
	}
	return n
}

// lane is whose numbers put the entry in order: its writer's, or the channel's places.
func (e *Entry) lane() (string, uint64) {
	if e.Place > 0 {
		return "", e.Place
	}
	return e.Writer, e.Number
}

func (e *Entry) key() string {
	w, n := e.lane()
	if w != "" {
		return makeKey(e.Channel, w, n, e.Life)
	}
	return makeKey(e.Channel, w, n, e.Epoch)
}

// check tells what is wrong with an entry that a writer sent.
func (e *Entry) check() error {
	switch {
	case e.Channel == "" || len(e.Channel) > LongestName:
		return fmt.Errorf("%w: a channel has 1 to %d bytes", ErrEntry, LongestName)
	case e.Writer == "" || len(e.Writer) > LongestName:
		return fmt.Errorf("%w: a writer has 1 to %d bytes", ErrEntry, LongestName)
	case e.Number == 0 || e.Number >= 1<<60:
		return fmt.Errorf("%w: numbers begin with 1", ErrEntry)
	case len(e.Key) > LongestKey || len(e.Body) > MostBody:
		return fmt.Errorf("%w: at most %d bytes of key and %d of body", ErrEntry, LongestKey, MostBody)
	case len(e.After) > MostWriters:
		return fmt.Errorf("%w: after more than %d writers", ErrEntry, MostWriters)
	}
	for w := range e.After {
		if len(w) > LongestName {
			return fmt.Errorf("%w: a writer has 1 to %d bytes", ErrEntry, LongestName)
		}
	}
	if n := after(e.After); n > MostAfter {
		return fmt.Errorf("%w: what it comes after has %d bytes, at most %d", ErrEntry, n, MostAfter)
	}
	return nil
}

func makeKey(channel, writer string, number, epoch uint64) string {
	b := text(text(nil, channel), writer)
	return string(binary.AppendUvarint(binary.BigEndian.AppendUint64(b, number), epoch))
}

// recordKey is a record's key taken apart.
type recordKey struct {
	channel, writer string // no writer: of the whole channel
	number          uint64
	epoch           uint64 // the incarnation of the channel where there is a writer
}

// readKey takes a key of makeKey apart. Its error is ErrEntry.
func readKey(key string) (recordKey, error) {
	r := reading{b: []byte(key)}
	channel, writer := r.text(LongestName), r.text(LongestName)
	if len(r.b) < 8 {
		return recordKey{}, ErrEntry
	}
	number := binary.BigEndian.Uint64(r.b)
	r.b = r.b[8:]
	epoch := r.number()
	if r.bad || len(r.b) > 0 || channel == "" {
		return recordKey{}, ErrEntry
	}
	return recordKey{channel: channel, writer: writer, number: number, epoch: epoch}, nil
}

func text(b []byte, s string) []byte { return append(binary.AppendUvarint(b, uint64(len(s))), s...) }

func vector(b []byte, v map[string]uint64) []byte {
	b = binary.AppendUvarint(b, uint64(len(v)))
	for _, w := range slices.Sorted(maps.Keys(v)) {
		b = binary.AppendUvarint(text(b, w), v[w])
	}
	return b
}

// reading takes apart what came from outside: the first fault spoils all.
type reading struct {
	b   []byte
	bad bool
}

func (r *reading) number() uint64 {
	x, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.b, r.bad = nil, true
		return 0
	}
	r.b = r.b[n:]
	return x
}

func (r *reading) text(most int) string {
	n := r.number()
	if n > uint64(min(most, len(r.b))) {
		r.b, r.bad = nil, true
		return ""
	}
	s := string(r.b[:n])
	r.b = r.b[n:]
	return s
}

func (r *reading) vector() map[string]uint64 {
	n := r.number()
	if n > MostWriters*2 {
		r.bad = true
	}
	if n == 0 || r.bad {
		return nil
	}
	v := map[string]uint64{}
	for range n {
		w := r.text(LongestName)
		v[w] = r.number()
	}
	return v
}

// packEntry begins with the stamp: the law reads no more.
func packEntry(e *Entry) []byte {
	b := make([]byte, 0, e.size()+len(e.Channel)+24*len(e.After)+16)
	b = text(text(text(binary.AppendUvarint(b, e.Stamp), e.Channel), e.Key), e.Writer)
	for _, x := range []uint64{e.Number, e.Epoch, e.Place, e.Generation, e.Since, e.Clock, e.Life} {
		b = binary.AppendUvarint(b, x)
	}
	return append(vector(b, e.After), e.Body...)
}

func unpackEntry(b []byte) (*Entry, error) {
	r := reading{b: b}
	e := &Entry{Stamp: r.number(), Channel: r.text(LongestName), Key: r.text(LongestKey), Writer: r.text(LongestName)}
	for _, x := range []*uint64{&e.Number, &e.Epoch, &e.Place, &e.Generation, &e.Since, &e.Clock, &e.Life} {
		*x = r.number()
	}
	e.After = r.vector()
	if e.Body = r.b; r.bad {
		return nil, ErrEntry
	}
	if e.Writer == "" && e.Place > 0 { // a change of the declaration
		return e, nil
	}
	return e, e.check()
}

// Token packs a position for a reader to keep.
func (p *Position) Token() string {
	b := text(make([]byte, 0, 64+24*len(p.Seen)), p.Channel)
	for _, x := range []uint64{p.Generation, p.Epoch, p.Place, p.Gone, p.Ended} {
		b = binary.AppendUvarint(b, x)
	}
	b = vector(b, p.Seen)
	return base64.RawURLEncoding.EncodeToString(binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)))
}

// ReadToken unpacks a token; ErrToken if it is spoilt.
func ReadToken(s string) (Position, error) {
	if len(s) > MostToken {
		return Position{}, ErrToken
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(s)
	if err != nil || len(b) < 8 || xxhash.Sum64(b[:len(b)-8]) != binary.BigEndian.Uint64(b[len(b)-8:]) {
		return Position{}, ErrToken
	}
	r := reading{b: b[:len(b)-8]}
	p := Position{Channel: r.text(LongestName), Generation: r.number(), Epoch: r.number(), Place: r.number(), Gone: r.number(), Ended: r.number()}
	if p.Seen = r.vector(); r.bad || len(r.b) > 0 {
		return Position{}, ErrToken
	}
	return p, nil
}

func number(ep, n uint64) []byte { return binary.AppendUvarint(binary.AppendUvarint(nil, ep), n) }
