package thrift

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Ending is how a dispatcher answered a call.
type Ending int

// The endings.
const (
	EndServed Ending = iota
	EndRefused
	EndFailed
	EndException // the method is not there
)

// Got is one reply as a client reads it. Its slices are those of the frame.
type Got struct {
	Seq    int32
	Ending Ending
	Body   []byte
	Good   bool
	Fields map[string]string // nil where there are none
}

// AppendProcess appends the frame of a GET, whose fields are names and values in turn.
func AppendProcess(b []byte, seq int32, fields []string, body []byte) []byte {
	start := len(b)
	b = appendHead(b, kindCall, "process", seq)
	b = appendMap(b, 1, fields)
	b = binary.BigEndian.AppendUint32(appendField(b, typeString, 2), uint32(len(body)))
	return seal(append(append(b, body...), typeStop), start)
}

// AppendGiveUp appends the frame that gives a call up.
func AppendGiveUp(b []byte, seq int32) []byte {
	start := len(b)
	b = appendHead(b, kindOneway, "giveUp", 0)
	b = binary.BigEndian.AppendUint32(appendField(b, typeI32, 1), uint32(seq))
	return seal(append(b, typeStop), start)
}

// AppendProbe appends the frame that asks whether GETs may come.
func AppendProbe(b []byte, seq int32) []byte {
	start := len(b)
	b = append(appendField(appendHead(b, kindCall, "probe", seq), typeBool, 1), 0)
	return seal(append(b, typeStop), start)
}

// AppendIdentify appends the frame that gives a token for the connection.
func AppendIdentify(b []byte, seq int32, token string) []byte {
	start := len(b)
	b = appendString(appendField(appendHead(b, kindCall, "identify", seq), typeString, 1), token)
	return seal(append(b, typeStop), start)
}

func appendHead(b []byte, kind uint32, method string, seq int32) []byte {
	b = binary.BigEndian.AppendUint32(append(b, 0, 0, 0, 0), version<<16|kind)
	return binary.BigEndian.AppendUint32(appendString(b, method), uint32(seq))
}

// seal writes the length of the frame that begins at start.
func seal(b []byte, start int) []byte {
	binary.BigEndian.PutUint32(b[start:], uint32(len(b)-start-4))
	return b
}

// ParseReply reads the reply in a frame. An error means that it is none.
func ParseReply(frame []byte) (Got, error) {
	r := &reader{rest: frame}
	head := uint32(r.i32())
	name, g := r.bytes(), Got{Ending: EndException}
	g.Seq = r.i32()
	kind := byte(head)
	if r.err == nil && (head>>16 != version || kind != kindReply && kind != kindException) {
		return g, fmt.Errorf("message head %#x", head)
	}
	r.fields(func(id int16, of byte) {
		if kind == kindException || of != typeStruct || id < 0 || id > 2 {
			r.skip(of, 0)
			return
		}
		g.Ending = Ending(id)
		r.fields(func(id int16, of byte) { g.field(r, id, of) })
	})
	if r.err == nil && len(r.rest) > 0 {
		r.err = errors.New("bytes behind the reply")
	}
	if r.err != nil {
		return g, fmt.Errorf("reply %.32q: %w", name, r.err)
	}
	return g, nil
}

// field reads one of an answer or of an exception, whose only one is its map.
func (g *Got) field(r *reader, id int16, of byte) {
	switch {
	case of == typeMap:
		key, value := r.byte(), r.byte()
		r.each(func() {
			if !r.want(key, typeString) || !r.want(value, typeString) {
				return
			}
			name, v := r.bytes(), r.bytes()
			if g.Fields == nil {
				g.Fields = map[string]string{}
			}
			g.Fields[string(name)] = string(v)
		})
	case of == typeString && id == 1:
		g.Body = r.bytes()
	case of == typeBool && id == 3:
		g.Good = r.byte() != 0
	default:
		r.skip(of, 0)
	}
}
