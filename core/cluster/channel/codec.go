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

// Errors for invalid input from outside.
var (
	// ErrInvalidToken is returned for a position token that cannot be decoded or belongs to another channel.
	ErrInvalidToken = errors.New("spoilt position")
	// ErrInvalidEntry is returned for an entry or a record that breaks the format or the limits.
	ErrInvalidEntry = errors.New("spoilt entry")
)

// Kinds returns the kinds of records that the replication machine has to be set up with.
func Kinds() []replication.Kind {
	return []replication.Kind{
		{ID: EntryKind, Name: "entry", MaxRecords: 400_000, MaxBytes: 256 << 20, MaxRecordBytes: replication.MaxRecordBytes, Sync: true, MergeOrder: entryMergeOrder, Check: checkEntry},
		{ID: WriterKind, Name: "writer", MaxRecords: 2 * MaxChannels * (MaxWriters + 1), MaxBytes: 8 << 20, MaxRecordBytes: 512, Sync: true, MergeOrder: numberMergeOrder, Check: checkNumber},
	}
}

// entryMergeOrder ranks the values of an entry's record. An empty value, a tombstone, wins over any other, so that nothing deleted comes back; of
// two entries the one with the higher stamp wins.
func entryMergeOrder(a, b []byte) int {
	if len(a) == 0 || len(b) == 0 {
		return cmp.Compare(min(len(b), 1), min(len(a), 1))
	}
	x, _ := binary.Uvarint(a)
	y, _ := binary.Uvarint(b)
	return cmp.Compare(x, y)
}

// numberMergeOrder ranks the values of a writer's record: the higher epoch wins, then the higher number.
func numberMergeOrder(a, b []byte) int {
	x, y := decoder{rest: a}, decoder{rest: b}
	return cmp.Or(cmp.Compare(x.number(), y.number()), cmp.Compare(x.number(), y.number()))
}

// checkEntry validates a record of EntryKind that came from outside.
func checkEntry(key string, value []byte) error {
	if _, err := parseKey(key); err != nil {
		return err
	}
	if len(value) == 0 { // a tombstone
		return nil
	}
	e, err := decodeEntry(value)
	if err == nil && e.key() != key {
		err = fmt.Errorf("%w: the record has another entry's key", ErrInvalidEntry)
	}
	return err
}

// checkNumber validates a record of WriterKind that came from outside.
func checkNumber(key string, value []byte) error {
	parts, err := parseKey(key)
	r := decoder{rest: value}
	r.number()
	r.number()
	if err == nil && (len(value) > 0 && r.failed || len(r.rest) > 0 || parts.number != 0) {
		err = ErrInvalidEntry
	}
	return err
}

// size returns the bytes that an entry counts for in limits and retention.
func (e *Entry) size() int {
	return len(e.Body) + len(e.Key) + len(e.Writer) + dependencyBytes(e.After) + 32
}

// Size returns an upper bound for the bytes that an entry takes on the wire.
func (e *Entry) Size() int { return e.size() + len(e.Channel) + 40 }

// dependencyBytes returns the bytes that an entry's After counts for: each writer's name and 10 more for its number.
func dependencyBytes(all map[string]uint64) (n int) {
	for w := range all {
		n += len(w) + 10
	}
	return n
}

// substream returns the part of the channel in which the entry is numbered, and its number there. In total order the only substream is "" and the
// number is the offset. In the other orders the entries of each writer are a substream, named after the writer.
func (e *Entry) substream() (string, uint64) {
	if e.Offset > 0 {
		return "", e.Offset
	}
	return e.Writer, e.Number
}

// key returns the key of the entry's record.
func (e *Entry) key() string {
	w, n := e.substream()
	if w != "" {
		return makeKey(e.Channel, w, n, e.Incarnation)
	}
	return makeKey(e.Channel, w, n, e.Epoch)
}

// check validates an entry that a writer sent. Its error wraps ErrInvalidEntry.
func (e *Entry) check() error {
	switch {
	case e.Channel == "" || len(e.Channel) > MaxNameBytes:
		return fmt.Errorf("%w: the channel's name has to have 1 to %d bytes", ErrInvalidEntry, MaxNameBytes)
	case e.Writer == "" || len(e.Writer) > MaxNameBytes:
		return fmt.Errorf("%w: a writer's name has to have 1 to %d bytes", ErrInvalidEntry, MaxNameBytes)
	case e.Number == 0 || e.Number >= 1<<60:
		return fmt.Errorf("%w: the number has to be from 1 to 2^60-1", ErrInvalidEntry)
	case len(e.Key) > MaxKeyBytes || len(e.Body) > MaxBodyBytes:
		return fmt.Errorf("%w: the key may have %d bytes and the body %d", ErrInvalidEntry, MaxKeyBytes, MaxBodyBytes)
	case len(e.After) > MaxWriters:
		return fmt.Errorf("%w: it depends on more than %d writers", ErrInvalidEntry, MaxWriters)
	}
	for w := range e.After {
		if len(w) > MaxNameBytes {
			return fmt.Errorf("%w: a writer's name has to have 1 to %d bytes", ErrInvalidEntry, MaxNameBytes)
		}
	}
	if n := dependencyBytes(e.After); n > MaxAfterBytes {
		return fmt.Errorf("%w: its dependencies have %d bytes, the limit is %d", ErrInvalidEntry, n, MaxAfterBytes)
	}
	return nil
}

// makeKey returns the key of a record.
func makeKey(channel, writer string, number, epoch uint64) string {
	b := appendText(appendText(nil, channel), writer)
	return string(binary.AppendUvarint(binary.BigEndian.AppendUint64(b, number), epoch))
}

// recordKey holds the parts of a record's key.
type recordKey struct {
	channel, writer string // the writer is "" for a record of a channel in total order
	number          uint64
	epoch           uint64 // the channel's incarnation where there is a writer, otherwise the sequencer's epoch
}

// parseKey splits a key that makeKey built. Its error is ErrInvalidEntry.
func parseKey(key string) (recordKey, error) {
	r := decoder{rest: []byte(key)}
	channel, writer := r.text(MaxNameBytes), r.text(MaxNameBytes)
	if len(r.rest) < 8 {
		return recordKey{}, ErrInvalidEntry
	}
	number := binary.BigEndian.Uint64(r.rest)
	r.rest = r.rest[8:]
	epoch := r.number()
	if r.failed || len(r.rest) > 0 || channel == "" {
		return recordKey{}, ErrInvalidEntry
	}
	return recordKey{channel: channel, writer: writer, number: number, epoch: epoch}, nil
}

// appendText appends the length of a string and the string.
func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// appendVector appends numbers by writer, sorted by writer so that the encoding is unique.
func appendVector(b []byte, v map[string]uint64) []byte {
	b = binary.AppendUvarint(b, uint64(len(v)))
	for _, w := range slices.Sorted(maps.Keys(v)) {
		b = binary.AppendUvarint(appendText(b, w), v[w])
	}
	return b
}

// decoder decodes input from outside. After the first fault, failed is set and the result must not be used.
type decoder struct {
	rest   []byte // the bytes not yet decoded
	failed bool
}

// number decodes an unsigned varint.
func (r *decoder) number() uint64 {
	x, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.rest, r.failed = nil, true
		return 0
	}
	r.rest = r.rest[n:]
	return x
}

// text decodes a string of at most limit bytes.
func (r *decoder) text(limit int) string {
	n := r.number()
	if n > uint64(min(limit, len(r.rest))) {
		r.rest, r.failed = nil, true
		return ""
	}
	s := string(r.rest[:n])
	r.rest = r.rest[n:]
	return s
}

// vector decodes numbers by writer.
func (r *decoder) vector() map[string]uint64 {
	n := r.number()
	if n > MaxWriters*2 {
		r.failed = true
	}
	if n == 0 || r.failed {
		return nil
	}
	v := map[string]uint64{}
	for range n {
		w := r.text(MaxNameBytes)
		v[w] = r.number()
	}
	return v
}

// encodeEntry encodes an entry as a record's value. The stamp comes first, since the merge order reads only that.
func encodeEntry(e *Entry) []byte {
	b := make([]byte, 0, e.size()+len(e.Channel)+24*len(e.After)+16)
	b = appendText(appendText(appendText(binary.AppendUvarint(b, e.Stamp), e.Channel), e.Key), e.Writer)
	for _, x := range []uint64{e.Number, e.Epoch, e.Offset, e.Generation, e.EpochStart, e.Clock, e.Incarnation} {
		b = binary.AppendUvarint(b, x)
	}
	return append(appendVector(b, e.After), e.Body...)
}

// decodeEntry decodes and validates a value of encodeEntry. Its error is or wraps ErrInvalidEntry.
func decodeEntry(b []byte) (*Entry, error) {
	r := decoder{rest: b}
	e := &Entry{Stamp: r.number(), Channel: r.text(MaxNameBytes), Key: r.text(MaxKeyBytes), Writer: r.text(MaxNameBytes)}
	for _, x := range []*uint64{&e.Number, &e.Epoch, &e.Offset, &e.Generation, &e.EpochStart, &e.Clock, &e.Incarnation} {
		*x = r.number()
	}
	e.After = r.vector()
	if e.Body = r.rest; r.failed {
		return nil, ErrInvalidEntry
	}
	if e.Writer == "" && e.Offset > 0 { // a change of the declaration
		return e, nil
	}
	return e, e.check()
}

// Token encodes a position with a checksum for a reader to keep.
func (p *Position) Token() string {
	b := appendText(make([]byte, 0, 64+24*len(p.Seen)), p.Channel)
	for _, x := range []uint64{p.Generation, p.Epoch, p.Offset, p.ForgottenThrough, p.EndedGeneration} {
		b = binary.AppendUvarint(b, x)
	}
	b = appendVector(b, p.Seen)
	return base64.RawURLEncoding.EncodeToString(binary.BigEndian.AppendUint64(b, xxhash.Sum64(b)))
}

// ParseToken decodes a token that Token built. Its error is ErrInvalidToken.
func ParseToken(s string) (Position, error) {
	if len(s) > MaxTokenBytes {
		return Position{}, ErrInvalidToken
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(s)
	if err != nil || len(b) < 8 || xxhash.Sum64(b[:len(b)-8]) != binary.BigEndian.Uint64(b[len(b)-8:]) {
		return Position{}, ErrInvalidToken
	}
	r := decoder{rest: b[:len(b)-8]}
	p := Position{Channel: r.text(MaxNameBytes), Generation: r.number(), Epoch: r.number(), Offset: r.number(), ForgottenThrough: r.number(), EndedGeneration: r.number()}
	if p.Seen = r.vector(); r.failed || len(r.rest) > 0 {
		return Position{}, ErrInvalidToken
	}
	return p, nil
}

// encodeNumber encodes the value of a writer's record: an epoch and a number.
func encodeNumber(ep, n uint64) []byte { return binary.AppendUvarint(binary.AppendUvarint(nil, ep), n) }
