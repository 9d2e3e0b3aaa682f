// Package hostproto speaks the protocol of the cache hosts: lines of words, with bodies of a told length. It is
// fed bytes and knows no socket.
package hostproto

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"elderwall/core/routing"
)

const (
	longestLine = 4 << 10 // bytes; a head is a few hundred
	longestBody = 1 << 18 // bytes; an object has at most 240,000
	longestWait = 1e6     // ms; longer than any viewer timeout, and no figure to go by

	// LineEnd ends each line, and each body.
	LineEnd = "\r\n"
)

// Word is the kind of an answer.
type Word int

// The words.
const (
	Hit   Word = iota // the bytes
	Valid             // the client's copy is the one
	None              // nothing held; it never ran
	Shed              // full; it never ran
	Fault             // it may have run
	Late              // over already; it never ran
	Pong              // the connection works
)

var words = map[string]Word{
	"HIT": Hit, "VALID": Valid, "NONE": None, "SHED": Shed, "FAULT": Fault, "LATE": Late, "PONG": Pong,
}

// notes are the values of the field that tells of a hit or a fill.
var notes = map[string]routing.Note{
	"mem": routing.CacheHit, "parent": routing.Filled, "origin": routing.FilledByOrigin, "shared": routing.FillCoalesced,
	"old": routing.StaleHit, "denied": routing.SourceRejected, "unreached": routing.SourceFailed,
	"absent": routing.SourceNotCached, "crowded": routing.FillsExhausted, "behind": routing.OriginFailed,
}

// Answer is one answer. Its ID is good until Space is called; the body is the caller's to keep.
type Answer struct {
	ID     []byte
	Word   Word
	Note   routing.Note
	Waited float64 // s; how long the fill waited for its source, 0 where that is not told
	Tag    string  // of the copy that the host calls current, for Valid alone
	Body   []byte
	Cut    bool // there was no room for the body, which was drained
}

// Proofs are hashes of what tells whether the contents of two answers are the same; 0 for what is not told.
type Proofs struct {
	Tag     uint64 // of the copy
	Digest  uint64 // that the origin gave (RFC 9530, Repr-Digest)
	Version uint64 // that the origin gave, as a number
}

// Hash is that of a proof's text; 0 for none.
func Hash(text []byte) uint64 {
	if len(text) == 0 {
		return 0
	}
	return max(1, xxhash.Sum64(text))
}

// Reader cuts a stream of bytes into answers.
type Reader struct {
	Room   func(n int) bool // asked before a body takes memory
	Keep   bool             // keep Proofs
	Proofs Proofs           // of the answer that Next gave last

	buf        []byte
	start, end int
	head       Answer
	begun      bool   // the head is read, the body is under way
	body       []byte // its place; nil while it is drained
	size, got  int    // of the body with its line end
	whole      int    // answers that were
}

// Space is where the next bytes are to be read into: a body's own place once it is under way.
func (r *Reader) Space() []byte {
	if r.body != nil {
		return r.body[r.got:]
	}
	if r.buf == nil {
		r.buf = make([]byte, longestLine)
	}
	if r.start > 0 {
		r.end = copy(r.buf, r.buf[r.start:r.end])
		r.start = 0
	}
	return r.buf[r.end:]
}

// Fed takes word that so many bytes were read into Space.
func (r *Reader) Fed(n int) {
	if r.body != nil {
		r.got += n
	} else {
		r.end += n
	}
}

// Begun is the id of the answer that has begun and is not whole, nil where none is.
func (r *Reader) Begun() []byte {
	if r.begun {
		return r.head.ID
	}
	return nil
}

// Under is the number of the answer that has begun and is not whole, from 1; 0 where none has.
func (r *Reader) Under() int {
	if r.begun || r.end > r.start {
		return r.whole + 1
	}
	return 0
}

// Held is the room that the answer under way has taken.
func (r *Reader) Held() int { return max(0, len(r.body)-len(LineEnd)) }

// Next is the next whole answer, if there is one.
func (r *Reader) Next() (Answer, bool, error) {
	if !r.begun {
		line, ok, err := r.line()
		if !ok {
			return Answer{}, false, err
		}
		size, err := r.parse(line)
		if err != nil {
			return Answer{}, false, fmt.Errorf("answer %.64q: %w", line, err)
		}
		if size < 0 {
			r.whole++
			return r.head, true, nil
		}
		r.begin(size)
	}
	r.fill()
	if r.got < r.size {
		return Answer{}, false, nil
	}
	return r.finish()
}

// begin makes a place for a body, or drains it where there is no room.
func (r *Reader) begin(size int) {
	r.head.ID = bytes.Clone(r.head.ID)
	r.begun, r.size, r.got = true, size+len(LineEnd), 0
	if r.head.Cut = !r.Room(size); !r.head.Cut {
		r.body = make([]byte, r.size)
	}
}

// fill moves what of the body came with other bytes to its place.
func (r *Reader) fill() {
	n := min(r.size-r.got, r.end-r.start)
	if r.body != nil {
		copy(r.body[r.got:], r.buf[r.start:r.start+n])
	}
	r.got += n
	r.start += n
}

func (r *Reader) finish() (Answer, bool, error) {
	a := r.head
	if r.body != nil {
		if !bytes.HasSuffix(r.body, []byte(LineEnd)) {
			return Answer{}, false, errors.New("no line end behind a body")
		}
		a.Body = r.body[:r.size-len(LineEnd)]
	}
	r.begun, r.body = false, nil
	r.whole++
	return a, true, nil
}

// line takes the next line off the buffer, without its end.
func (r *Reader) line() (line []byte, ok bool, err error) {
	n := bytes.IndexByte(r.buf[r.start:r.end], '\n')
	if n < 0 {
		if r.end-r.start >= longestLine {
			return nil, false, errors.New("line too long")
		}
		return nil, false, nil
	}
	line = r.buf[r.start : r.start+n]
	r.start += n + 1
	if n == 0 || line[n-1] != '\r' {
		return nil, false, errors.New("line without CR")
	}
	return line[:n-1], true, nil
}

// parse reads the head of an answer, and the length of its body, -1 where there is none to come.
func (r *Reader) parse(line []byte) (int, error) {
	parts := bytes.Split(line, []byte(" "))
	if len(parts) < 2 || len(parts[0]) == 0 {
		return 0, errors.New("too few words")
	}
	word, known := words[string(parts[1])]
	if !known {
		return 0, errors.New("unknown word")
	}
	r.head = Answer{ID: parts[0], Word: word}
	if word == Pong && len(parts) == 2 {
		return -1, nil
	}
	if len(parts) != 4 {
		return 0, errors.New("not four words")
	}
	if err := r.fields(parts[2]); err != nil {
		return 0, err
	}
	size, err := strconv.ParseUint(string(parts[3]), 10, 32)
	if err != nil || size > longestBody {
		return 0, errors.New("unusable length")
	}
	return int(size), nil
}

func (r *Reader) fields(list []byte) error {
	a := &r.head
	r.Proofs = Proofs{}
	if string(list) == "-" {
		return nil
	}
	for pair := range bytes.SplitSeq(list, []byte(",")) {
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok {
			return errors.New("field without value")
		}
		if r.Keep {
			r.proof(name, value)
		}
		switch string(name) {
		case "rev":
			if a.Word == Valid {
				a.Tag = string(value)
			}
		case "detail":
			a.Note = notes[string(value)]
		case "fill":
			if ms, err := strconv.ParseFloat(string(value), 64); err == nil && ms > 0 && ms <= longestWait {
				a.Waited = ms / 1e3
			}
		}
	}
	return nil
}

// proof keeps a field that tells of the content.
func (r *Reader) proof(name, value []byte) {
	switch string(name) {
	case "rev":
		r.Proofs.Tag = Hash(value)
	case "digest":
		r.Proofs.Digest = Hash(value)
	case "version":
		r.Proofs.Version, _ = strconv.ParseUint(string(value), 10, 64)
	}
}

// Request is what a cache host is asked.
type Request struct {
	ID, Service, Object, Part string
	Budget                    int64  // ms
	Source                    string // "" for no fill
	Rank                      int
	MaxAge                    int64 // ms, 0 for what the delivery service allows
	Join, HeldOnly, Renew     bool
	Tag                       string // of the client's copy, "" for none
	Body                      []byte
	IdempotencyKey            string // by which hosts tell a repeat, "" for none
	Variant                   string // field and value that name the variant that is wanted, "" for none
}

// Known tells whether a field of a request has a meaning of its own.
func Known(field string) bool { return slices.Contains(fields, field) }

var fields = []string{"queue", "path", "blk", "budget", "up", "store", "cap", "do", "inm", "uniq"}

// AppendHead writes the line of the request behind b; its body and a line end follow.
func (q Request) AppendHead(b []byte) []byte {
	b = append(append(b, "REQ "...), q.ID...)
	b = append(append(b, " queue="...), q.Service...)
	b = append(append(b, ",path="...), q.Object...)
	b = append(append(b, ",blk="...), q.Part...)
	b = strconv.AppendInt(append(b, ",budget="...), q.Budget, 10)
	if q.Source != "" {
		b = append(append(b, ",up="...), q.Source...)
	}
	if q.Rank > 0 {
		b = strconv.AppendInt(append(b, ",store="...), int64(q.Rank), 10)
	}
	if q.MaxAge > 0 {
		b = strconv.AppendInt(append(b, ",cap="...), q.MaxAge, 10)
	}
	b = q.appendHow(b)
	if q.Variant != "" {
		b = append(append(b, ','), q.Variant...)
	}
	if q.Tag != "" {
		b = append(append(b, ",inm="...), q.Tag...)
	}
	if q.IdempotencyKey != "" {
		b = append(append(b, ",uniq="...), q.IdempotencyKey...)
	}
	b = strconv.AppendInt(append(b, ' '), int64(len(q.Body)), 10)
	return append(b, LineEnd...)
}

func (q Request) appendHow(b []byte) []byte {
	lead := ",do="
	for _, how := range []struct {
		set  bool
		word string
	}{{q.Join, "share"}, {q.HeldOnly, "peek"}, {q.Renew, "swr"}} {
		if how.set {
			b = append(append(b, lead...), how.word...)
			lead = "+"
		}
	}
	return b
}

// AppendStop writes that a request is given up.
func AppendStop(b []byte, id string) []byte {
	return append(append(append(b, "STOP "...), id...), "\r\n"...)
}

// AppendHello writes the question whether the connection works.
func AppendHello(b []byte, tag string) []byte {
	return append(append(append(b, "HELO "...), tag...), "\r\n"...)
}
