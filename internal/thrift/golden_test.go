package thrift_test

import (
	"fmt"
	"strings"
	"testing"

	"elderwall/internal/goldentest"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/thrift"
)

// wholeInput is more than any of the inputs here has: they are read in one piece.
const wholeInput = 1 << 20

type wireCase struct {
	name  string
	bytes []byte
}

// everyType is the arguments of a call that has a field of each type.
var everyType = []byte{
	2, 0, 1, 1, 3, 0, 2, 9, 6, 0, 3, 0, 1,
	8, 0, 4, 0, 0, 0, 1, 10, 0, 5, 0, 0, 0, 0, 0, 0, 0, 1, 4, 0, 6, 0, 0, 0, 0, 0, 0, 0, 1, 12, 0, 7, 2, 0, 1, 0, 0,
	15, 0, 8, 2, 0, 0, 0, 2, 1, 1, 14, 0, 9, 3, 0, 0, 0, 1, 1, 13, 0, 10, 11, 2, 0, 0, 0, 1, 0, 0, 0, 1, 'k', 1,
}

var callCases = []wireCase{
	{"all fields and an unknown one", process("b", "got", "4be0c1927d55a6f3", "token", "t", "other", "x")},
	{"no tag and no body", process("")},
	{"empty fields", process("b", "obj", "", "budget", "")},
	{"two calls and a cancellation", append(append(process("a"), process("b")...),
		standin.Call("giveUp", 4, 9, standin.GiveUpArguments(7))...)},
	{"health check", standin.Call("probe", 1, 10, []byte{2, 0, 1, 0})},
	{"token of the connection", standin.Call("identify", 1, 8, []byte{11, 0, 1, 0, 0, 0, 1, 't'})},
	{"identify without a token", standin.Call("identify", 1, 8, nil)},
	{"process without arguments", standin.Call("process", 1, 1, nil)},
	{"negative sequence", standin.Call("process", 1, -1, nil)},
	{"process sent oneway", standin.Call("process", 4, 1, nil)},
	{"unknown method with every type", standin.Call("else", 1, 3, everyType)},
	{"nesting at the limit", standin.Call("else", 1, 1, nested(17))},
	{"nesting beyond the limit", standin.Call("else", 1, 1, nested(18))},
	{"frame too long", []byte{0, 4, 0, 1, 0x80}},
	{"frame of negative length", []byte{0xff, 0xff, 0xff, 0xff}},
	{"empty frame", []byte{0, 0, 0, 0}},
	{"old form", append([]byte{0, 0, 0, 17, 0, 0, 0, 7}, "process\x01\x00\x00\x00\x01\x00"...)},
	{"a reply", standin.Call("process", 2, 1, nil)},
	{"an exception", standin.Call("process", 3, 1, nil)},
	{"name longer than the frame", []byte{0, 0, 0, 8, 0x80, 1, 0, 1, 0, 0, 0, 9}},
	{"name of negative length", []byte{0, 0, 0, 8, 0x80, 1, 0, 1, 0xff, 0xff, 0xff, 0xff}},
	{"map of the wrong type", standin.Call("process", 1, 1, []byte{13, 0, 1, 8, 8, 0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, 1})},
	{"empty map of the wrong type", standin.Call("process", 1, 1, []byte{13, 0, 1, 8, 8, 0, 0, 0, 0})},
	{"body of the wrong type", standin.Call("process", 1, 1, []byte{8, 0, 2, 0, 0, 0, 1})},
	{"token of the wrong type", standin.Call("identify", 1, 1, []byte{8, 0, 1, 0, 0, 0, 1})},
	{"unknown type", standin.Call("else", 1, 1, []byte{5, 0, 1, 0})},
	{"list of negative length", standin.Call("else", 1, 1, []byte{15, 0, 1, 2, 0xff, 0xff, 0xff, 0xff})},
	{"list longer than the frame", standin.Call("else", 1, 1, []byte{15, 0, 1, 12, 0x7f, 0xff, 0xff, 0xff})},
	{"no end of the arguments", []byte{0, 0, 0, 13, 0x80, 1, 0, 1, 0, 0, 0, 1, 'p', 0, 0, 0, 1}},
	{"bytes behind the call", []byte{0, 0, 0, 15, 0x80, 1, 0, 1, 0, 0, 0, 1, 'p', 0, 0, 0, 1, 0, 0}},
	{"a sound call before a bad frame", append(process("a"), 0, 0, 0, 0)},
	{"frame cut short", process("a")[:40]},
}

// nested is a field of structs within structs.
func nested(depth int) []byte {
	return []byte(strings.Repeat("\x0c\x00\x01", depth) + strings.Repeat("\x00", depth))
}

func TestGoldenCalls(t *testing.T) {
	for _, piece := range []int{1, 7, wholeInput} {
		var tr goldentest.Transcript
		for _, c := range callCases {
			got, err := calls(c.bytes, piece)
			tr.Bytes(c.name, c.bytes)
			tr.Values("as read", got)
			tr.Rejected(err)
		}
		tr.Check(t, "calls.golden") // the same for all pieces
	}
}

func TestGoldenFurtherFields(t *testing.T) {
	var tr goldentest.Transcript
	b := process("b", "one", "1", "two", "2", "three", "3", "four", "4", "five", "5")
	asked := []string{"two", "one", "absent", "four", "five", "obj"}
	for n := range asked {
		got, err := thrift.Parse(b[4:], asked[:n]...)
		tr.Values(fmt.Sprintf("%d further fields", n), got)
		tr.Rejected(err)
	}
	tr.Check(t, "further-fields.golden")
}

func replyCases() []struct {
	name  string
	reply thrift.Reply
} {
	return []struct {
		name  string
		reply thrift.Reply
	}{
		{"served", thrift.Served(7, []byte("abc"), false)},
		{"served, empty", thrift.Served(7, nil, false)},
		{"served, negative sequence", thrift.Served(-2, []byte{0, 0xff}, false)},
		{"the client's copy is valid", thrift.Served(7, nil, true)},
		{"ready", thrift.Ready(2, true)},
		{"not ready", thrift.Ready(2, false)},
		{"rejected", thrift.Refused(7, 0)},
		{"rejected with a negative time", thrift.Refused(7, -1)},
		{"rejected with a time", thrift.Refused(7, 125)},
		{"failed", thrift.Failed(7, "")},
		{"failed with a reason", thrift.Failed(7, "denied")},
		{"identified", thrift.Identified(7, "")},
		{"not identified", thrift.Identified(7, "token")},
		{"unknown method", thrift.NoSuchMethod([]byte("else"), 7)},
		{"unknown method without a name", thrift.NoSuchMethod(nil, 7)},
	}
}

func TestGoldenReplies(t *testing.T) {
	var tr goldentest.Transcript
	for _, c := range replyCases() {
		tr.Values(c.name+", parts", c.reply.Len(), c.reply.Head, c.reply.Body, c.reply.Tail)
		tr.Bytes(c.name, append([]byte{0, 0, 0, byte(c.reply.Len() - 4)}, frame(c.reply)...))
		tr.Values(c.name+", as a client reads it", need.Of(thrift.ParseReply(frame(c.reply)))(t))
	}
	for _, c := range []wireCase{
		{"a call", standin.Call("process", 1, 1, nil)},
		{"reply without a field", standin.Call("process", 2, 1, nil)},
		{"reply with an unknown field", standin.Call("process", 2, 1, []byte{12, 0, 3, 0})},
		{"reply with an unknown field and a body in it", standin.Call("process", 2, 1, []byte{12, 0, 3, 11, 0, 1, 0, 0, 0, 1, 'x', 0})},
		{"reply with a field below all", standin.Call("process", 2, 1, []byte{12, 0xff, 0xff, 11, 0, 1, 0, 0, 0, 1, 'x', 0})},
		{"reply with two fields", standin.Call("process", 2, 1, []byte{12, 0, 1, 0, 12, 0, 2, 0})},
		{"reply with fields of every type", standin.Call("process", 2, 1, everyType)},
		{"bytes behind the reply", append(standin.Call("process", 2, 1, nil), 0)},
	} {
		got, err := thrift.ParseReply(c.bytes[4:])
		tr.Bytes(c.name, c.bytes)
		tr.Values("as read", got)
		tr.Rejected(err)
	}
	tr.Check(t, "replies.golden")
}

func TestGoldenClientFrames(t *testing.T) {
	var tr goldentest.Transcript
	tr.Bytes("process", thrift.AppendProcess(nil, 7, []string{"method", "segment", "obj", "7f3a"}, []byte("b")))
	tr.Bytes("process without fields", thrift.AppendProcess(nil, 7, nil, nil))
	tr.Bytes("process behind others", thrift.AppendProcess([]byte("before"), -7, []string{"a", ""}, nil))
	tr.Bytes("cancellation", thrift.AppendGiveUp(nil, 7))
	tr.Bytes("health check", thrift.AppendProbe(nil, 8))
	tr.Bytes("identify", thrift.AppendIdentify(nil, 9, "t"))
	tr.Check(t, "client-frames.golden")
}
