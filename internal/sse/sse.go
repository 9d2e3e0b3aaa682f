// Package sse reads server-sent events from an HTTP reply, plain or in chunks. It is fed bytes and knows no socket.
package sse

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

const (
	longestHead  = 16 << 10 // bytes; of the reply's head, or of a chunk's
	longestEvent = 4 << 20  // bytes; a list of ten thousand hosts has some 2 MB
)

// AppendRequest writes the request for all events after one.
func AppendRequest(b []byte, host, path string, last int64) []byte {
	return fmt.Appendf(b, "GET %s HTTP/1.1\r\nHost: %s\r\nAccept: text/event-stream\r\nLast-Event-ID: %d\r\n\r\n",
		path, host, last)
}

// Event is one event; its data is good until Feed is called.
type Event struct {
	ID   string
	Data []byte
}

// state is the part of the reply that comes next.
type state int

const (
	atStatus state = iota
	inHead
	inPlain
	atSize
	inChunk
	behindChunk
	inTrailer
	over
)

// Reader turns the bytes of one reply into events. The zero value is ready to use.
type Reader struct {
	state   state
	chunked bool
	raw     []byte // not yet understood
	left    int    // bytes that the chunk still has
	text    []byte // of the stream of events
	read    int    // how much of text Next has taken
	scanned int    // how much of text is known to hold no further line end
	begun   bool   // the stream, behind its byte order mark if it has one
	afterCR bool   // the last line ended in CR: a LF that follows belongs to its end
	id      string // the last one told
	data    []byte
	hasData bool
	inEvent bool // a field has come, and not yet the empty line behind it
}

// Feed takes bytes in. An error means that the reply can't be read on.
func (r *Reader) Feed(b []byte) error {
	r.raw = append(r.raw, b...)
	if r.read > 0 {
		r.text = append(r.text[:0], r.text[r.read:]...)
		r.read, r.scanned = 0, max(0, r.scanned-r.read)
	}
	for {
		more, err := r.step()
		if err != nil {
			return err
		}
		if !more {
			break
		}
	}
	if len(r.text)+len(r.data) > longestEvent {
		return errors.New("event too long")
	}
	return nil
}

// Over tells whether the reply has come to its end.
func (r *Reader) Over() bool { return r.state == over }

// step understands one piece of what came in; false means that it needs more.
func (r *Reader) step() (bool, error) {
	switch r.state {
	case inPlain:
		return r.pass(len(r.raw), inPlain)
	case inChunk:
		return r.pass(min(len(r.raw), r.left), behindChunk)
	case over:
		r.raw = nil
		return false, nil
	}
	line, ok, err := r.line()
	if !ok {
		return false, err
	}
	switch r.state {
	case atStatus:
		return true, r.status(line)
	case inHead:
		r.header(line)
	case atSize:
		return true, r.size(line)
	case behindChunk:
		if line != "" {
			return false, errors.New("no line end behind a chunk")
		}
		r.state = atSize
	case inTrailer:
		if line == "" {
			r.state = over
		}
	}
	return true, nil
}

// pass moves bytes on to the stream of events.
func (r *Reader) pass(n int, then state) (bool, error) {
	r.text = append(r.text, r.raw[:n]...)
	r.raw = append(r.raw[:0], r.raw[n:]...)
	if r.state == inChunk {
		if r.left -= n; r.left > 0 {
			return false, nil
		}
	}
	r.state = then
	return then != inPlain, nil
}

func (r *Reader) line() (line string, ok bool, err error) {
	n := bytes.IndexByte(r.raw, '\n')
	if n < 0 {
		if len(r.raw) > longestHead {
			return "", false, errors.New("head too long")
		}
		return "", false, nil
	}
	line = strings.TrimSuffix(string(r.raw[:n]), "\r")
	r.raw = append(r.raw[:0], r.raw[n+1:]...)
	return line, true, nil
}

func (r *Reader) status(line string) error {
	if words := strings.Fields(line); len(words) < 2 || !strings.HasPrefix(line, "HTTP/1.") || words[1] != "200" {
		return fmt.Errorf("reply %.64q", line)
	}
	r.state = inHead
	return nil
}

// header reads one line of the head; a body that is not in chunks runs to the end of the connection.
func (r *Reader) header(line string) {
	name, value, _ := strings.Cut(line, ":")
	switch {
	case line == "" && r.chunked:
		r.state = atSize
	case line == "":
		r.state = inPlain
	case strings.EqualFold(name, "Transfer-Encoding"):
		r.chunked = strings.EqualFold(strings.TrimSpace(value), "chunked")
	}
}

func (r *Reader) size(line string) error {
	digits, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
	if err != nil {
		return fmt.Errorf("chunk size %.32q", line)
	}
	r.left, r.state = int(n), inChunk
	if n == 0 {
		r.state = inTrailer
	}
	return nil
}

// InStream tells whether the reply's head is whole and no error, and what follows are events.
func (r *Reader) InStream() bool { return r.state > inHead }

// UnderWay tells whether something has begun that is not whole: the reply's head or end, a chunk's head, a line, or an event.
// It is asked once Next has given all that it has.
func (r *Reader) UnderWay() bool {
	return r.state <= inHead || r.state == inTrailer || len(r.raw) > 0 || r.read < len(r.text) || r.inEvent
}

// Next is the next whole event, if there is one.
func (r *Reader) Next() (Event, bool) {
	for {
		line, ok := r.eventLine()
		if !ok {
			return Event{}, false
		}
		if len(line) > 0 {
			r.field(line)
			continue
		}
		r.inEvent = false
		if r.hasData {
			e := Event{ID: r.id, Data: r.data}
			r.data, r.hasData = nil, false
			return e, true
		}
	}
}

// eventLine takes the next line off the stream of events. It ends in LF, CR LF or CR, and one that ends in CR does not wait
// for what follows: the last event would be late until the next one comes.
func (r *Reader) eventLine() (line []byte, ok bool) {
	if !r.begun && !r.begin() {
		return nil, false
	}
	if r.afterCR && r.read < len(r.text) {
		if r.text[r.read] == '\n' {
			r.read++
		}
		r.afterCR = false
	}
	from := max(r.read, r.scanned)
	rest := r.text[from:]
	n := bytes.IndexByte(rest, '\n')
	if n >= 0 {
		rest = rest[:n]
	}
	if cr := bytes.IndexByte(rest, '\r'); cr >= 0 {
		n, r.afterCR = cr, true
	}
	if n < 0 {
		r.scanned = len(r.text)
		return nil, false
	}
	line = r.text[r.read : from+n]
	r.read = from + n + 1
	return line, true
}

const byteOrderMark = "\ufeff"

// begin passes over the byte order mark that a stream may begin with; false until the bytes for it are here.
func (r *Reader) begin() bool {
	if len(r.text) < len(byteOrderMark) && strings.HasPrefix(byteOrderMark, string(r.text)) {
		return false
	}
	if bytes.HasPrefix(r.text, []byte(byteOrderMark)) {
		r.read = len(byteOrderMark)
	}
	r.begun = true
	return true
}

// field reads one line of an event; comments and unknown fields are passed over, and so is an id that can't be one.
func (r *Reader) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	r.inEvent = r.inEvent || len(name) > 0
	switch string(name) {
	case "id":
		if bytes.IndexByte(value, 0) < 0 {
			r.id = string(value)
		}
	case "data":
		if r.hasData {
			r.data = append(r.data, '\n')
		}
		r.data, r.hasData = append(r.data, value...), true
	}
}
