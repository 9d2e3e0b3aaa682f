package thrift

import (
	"encoding/binary"
	"strconv"
)

// Reply is a whole message in parts, to be written one after another; the body is the caller's own slice.
type Reply struct{ Head, Body, Tail []byte }

// Len is the length of the message in bytes.
func (r Reply) Len() int { return len(r.Head) + len(r.Body) + len(r.Tail) }

// Served is the answer with the bytes of the part; same tells that the client's copy is the one.
func Served(seq int32, body []byte, same bool) Reply { return answer("process", seq, body, same, true) }

// Ready answers a probe.
func Ready(seq int32, good bool) Reply { return answer("probe", seq, nil, false, good) }

// Refused is the exception which tells that trying again is harmless, and after how many milliseconds if over 0.
func Refused(seq int32, wait int64) Reply {
	var told []string
	if wait > 0 {
		told = []string{"backoff", strconv.FormatInt(wait, 10)}
	}
	return exception("process", seq, 1, told)
}

// Failed is the exception that promises nothing, with a reason unless that is "".
func Failed(seq int32, reason string) Reply { return exception("process", seq, 2, because(reason)) }

// Identified answers a token that was given for a connection: it names a caller now, or, with a reason, does not.
func Identified(seq int32, reason string) Reply {
	if reason != "" {
		return exception("identify", seq, 2, because(reason))
	}
	return answer("identify", seq, nil, false, true)
}

func because(reason string) []string {
	if reason == "" {
		return nil
	}
	return []string{"reason", reason}
}

// NoSuchMethod is the application exception for a method that the service lacks.
func NoSuchMethod(name []byte, seq int32) Reply {
	b := begin(kindException, string(name), seq)
	b = appendString(appendField(b, typeString, 1), "unknown method")
	b = binary.BigEndian.AppendUint32(appendField(b, typeI32, 2), unknownMethod)
	return finish(Reply{Head: append(b, typeStop)})
}

func answer(method string, seq int32, body []byte, same, good bool) Reply {
	b := appendField(begin(kindReply, method, seq), typeStruct, 0)
	b = binary.BigEndian.AppendUint32(appendField(b, typeString, 1), uint32(len(body)))
	var told []string
	if same {
		told = []string{"ok304", "1"}
	}
	tail := appendMap(nil, 2, told)
	tail = append(appendField(tail, typeBool, 3), map[bool]byte{true: 1}[good], typeStop, typeStop)
	return finish(Reply{Head: b, Body: body, Tail: tail})
}

func exception(method string, seq int32, id int16, told []string) Reply {
	b := appendField(begin(kindReply, method, seq), typeStruct, id)
	return finish(Reply{Head: append(appendMap(b, 1, told), typeStop, typeStop)})
}

// begin leaves room for the length of the frame.
func begin(kind uint32, method string, seq int32) []byte {
	b := make([]byte, 4, 64)
	b = appendString(binary.BigEndian.AppendUint32(b, version<<16|kind), method)
	return binary.BigEndian.AppendUint32(b, uint32(seq))
}

func finish(r Reply) Reply {
	binary.BigEndian.PutUint32(r.Head, uint32(r.Len()-4))
	return r
}

func appendField(b []byte, kind byte, id int16) []byte {
	return binary.BigEndian.AppendUint16(append(b, kind), uint16(id))
}

func appendString(b []byte, s string) []byte {
	return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...)
}

func appendMap(b []byte, id int16, told []string) []byte {
	b = append(appendField(b, typeMap, id), typeString, typeString)
	b = binary.BigEndian.AppendUint32(b, uint32(len(told)/2))
	for _, s := range told {
		b = appendString(b, s)
	}
	return b
}
