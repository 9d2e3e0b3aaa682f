// Package thrift speaks the client protocol: framed, strict binary messages of the service Front, as seen by
// the side that is called. It is fed bytes and knows no socket.
package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

const (
	longestFrame = 1 << 18 // bytes; an object's 240,000, and room for names and fields
	firstBuffer  = 4 << 10 // bytes; holds a few calls with no body
	deepest      = 16      // levels; nesting that no message of the service comes near
	mostFields   = 256     // fields of a request; each takes time to look up
	version      = 0x8001  // the strict form's mark
)

// MostAlso is how many further fields can be asked for; they are looked for in each message.
const MostAlso = 4

// The kinds of message and the types of field that the service uses.
const (
	kindCall, kindReply, kindException, kindOneway                      = 1, 2, 3, 4
	typeStop, typeBool, typeByte, typeDouble, typeI16, typeI32, typeI64 = 0, 2, 3, 4, 6, 8, 10
	typeString, typeStruct, typeMap, typeSet, typeList                  = 11, 12, 13, 14, 15
	unknownMethod                                                       = 1 // kind of application exception
)

// Method is a function of the service.
type Method int

// The methods.
const (
	Unknown Method = iota
	Process
	GiveUp
	Probe
	Identify
)

var methods = map[string]Method{"process": Process, "giveUp": GiveUp, "probe": Probe, "identify": Identify}

// Call is one call of a client. Its slices are those of the frame.
type Call struct {
	Method  Method
	Name    []byte
	Seq     int32
	GivenUp int32 // giveUp: the call that is given up
	Body    []byte

	Service, ID, Budget, Object, Part, Group, Tag []byte // process: the fields, nil where absent
	Token                                         []byte // process, identify: who is calling, nil where absent

	Also  [MostAlso][]byte // process: further fields that were asked for, nil where absent
	asked []string
}

// places tells where each named field of process goes; others are skipped.
var places = map[string]func(*Call) *[]byte{
	"method": func(c *Call) *[]byte { return &c.Service },
	"rid":    func(c *Call) *[]byte { return &c.ID },
	"budget": func(c *Call) *[]byte { return &c.Budget },
	"obj":    func(c *Call) *[]byte { return &c.Object },
	"nth":    func(c *Call) *[]byte { return &c.Part },
	"batch":  func(c *Call) *[]byte { return &c.Group },
	"got":    func(c *Call) *[]byte { return &c.Tag },
	"token":  func(c *Call) *[]byte { return &c.Token },
}

// Known tells whether a field of process has a meaning of its own.
func Known(field string) bool { return places[field] != nil }

// Frames cuts a stream of bytes into frames. The zero value is ready to use.
type Frames struct {
	buf        []byte
	start, end int
}

// Space is where the next bytes are to be read into; it ends what Next gave out.
func (f *Frames) Space() []byte {
	if f.start == f.end && len(f.buf) != firstBuffer { // at first, and after a long frame
		f.buf, f.start, f.end = make([]byte, firstBuffer), 0, 0
	}
	if f.start > 0 {
		f.end = copy(f.buf, f.buf[f.start:f.end])
		f.start = 0
	}
	if f.end == len(f.buf) {
		f.buf = append(f.buf, make([]byte, len(f.buf))...)
	}
	return f.buf[f.end:]
}

// Held is the memory that a long frame takes beyond the ordinary.
func (f *Frames) Held() int { return max(0, len(f.buf)-firstBuffer) }

// Partial tells whether a message has begun and is not whole.
func (f *Frames) Partial() bool { return f.end > f.start }

// Fed takes word that so many bytes were read into Space.
func (f *Frames) Fed(n int) { f.end += n }

// Next is the next whole frame, if there is one.
func (f *Frames) Next() (frame []byte, ok bool, err error) {
	if f.end-f.start < 4 {
		return nil, false, nil
	}
	size := int(int32(binary.BigEndian.Uint32(f.buf[f.start:])))
	if size <= 0 || size > longestFrame {
		return nil, false, fmt.Errorf("frame of %d bytes", size)
	}
	if f.end-f.start < 4+size {
		return nil, false, nil
	}
	frame = f.buf[f.start+4 : f.start+4+size]
	f.start += 4 + size
	return frame, true, nil
}

var (
	errShort = errors.New("frame ends within a value")
	errType  = errors.New("wrong type")
	errDeep  = errors.New("nested too deep")
	errMany  = errors.New("too many fields")
)

// reader takes values off a frame; after an error it gives zeros.
type reader struct {
	rest []byte
	err  error
}

func (r *reader) take(n int) []byte {
	if r.err == nil && (n < 0 || n > len(r.rest)) {
		r.err = errShort
	}
	if r.err != nil {
		return nil
	}
	taken := r.rest[:n]
	r.rest = r.rest[n:]
	return taken
}

func (r *reader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) i16() int16 {
	if b := r.take(2); b != nil {
		return int16(binary.BigEndian.Uint16(b))
	}
	return 0
}

func (r *reader) i32() int32 {
	if b := r.take(4); b != nil {
		return int32(binary.BigEndian.Uint32(b))
	}
	return 0
}

func (r *reader) bytes() []byte { return r.take(int(r.i32())) }

func (r *reader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// fields gives each field of a struct to take, which reads it or skips it.
func (r *reader) fields(take func(id int16, kind byte)) {
	for r.err == nil {
		kind := r.byte()
		if r.err != nil || kind == typeStop {
			return
		}
		take(r.i16(), kind)
	}
}

// want fails unless a field has the type that it must have.
func (r *reader) want(kind, must byte) bool {
	if kind != must {
		r.fail(errType)
	}
	return r.err == nil
}

// skip passes over a value of any type.
func (r *reader) skip(kind byte, depth int) {
	if depth > deepest {
		r.fail(errDeep)
	}
	switch kind {
	case typeBool, typeByte:
		r.take(1)
	case typeI16:
		r.take(2)
	case typeI32:
		r.take(4)
	case typeI64, typeDouble:
		r.take(8)
	case typeString:
		r.bytes()
	case typeStruct:
		r.fields(func(_ int16, kind byte) { r.skip(kind, depth+1) })
	case typeMap:
		key, value := r.byte(), r.byte()
		r.each(func() { r.skip(key, depth+1); r.skip(value, depth+1) })
	case typeSet, typeList:
		element := r.byte()
		r.each(func() { r.skip(element, depth+1) })
	default:
		r.fail(errType)
	}
}

// each reads a count and calls that often; every element takes a byte at least, which bounds the calls.
func (r *reader) each(read func()) {
	n := r.i32()
	if n < 0 {
		r.fail(errShort)
	}
	for ; n > 0 && r.err == nil; n-- {
		read()
	}
}

// Parse reads the call in a frame, with further fields of process by name, MostAlso at most. An error means that the frame is no call.
func Parse(frame []byte, also ...string) (Call, error) {
	r := &reader{rest: frame}
	head := uint32(r.i32())
	c := Call{Name: r.bytes(), Seq: r.i32(), asked: also}
	kind := byte(head)
	if r.err == nil && (head>>16 != version || kind != kindCall && kind != kindOneway) {
		return c, fmt.Errorf("message head %#x", head)
	}
	c.Method = methods[string(c.Name)]
	r.fields(func(id int16, kind byte) { c.argument(r, id, kind) })
	if r.err == nil && len(r.rest) > 0 {
		r.err = errors.New("bytes behind the call")
	}
	if r.err != nil {
		return c, fmt.Errorf("call %.32q: %w", c.Name, r.err)
	}
	return c, nil
}

func (c *Call) argument(r *reader, id int16, kind byte) {
	switch {
	case c.Method == Process && id == 1 && r.want(kind, typeMap):
		c.process(r)
	case c.Method == Process && id == 2 && r.want(kind, typeString):
		c.Body = r.bytes()
	case c.Method == GiveUp && id == 1 && r.want(kind, typeI32):
		c.GivenUp = r.i32()
	case c.Method == Identify && id == 1 && r.want(kind, typeString):
		c.Token = r.bytes()
	default:
		r.skip(kind, 0)
	}
}

func (c *Call) process(r *reader) {
	key, value := r.byte(), r.byte()
	fields := 0
	r.each(func() {
		if fields++; fields > mostFields {
			r.fail(errMany)
			return
		}
		if !r.want(key, typeString) || !r.want(value, typeString) {
			return
		}
		name, v := r.bytes(), r.bytes()
		if place := places[string(name)]; place != nil && r.err == nil {
			*place(c) = v
		} else if c.asked != nil && r.err == nil {
			if i := slices.Index(c.asked, string(name)); i >= 0 && i < MostAlso {
				c.Also[i] = v
			}
		}
	})
}
