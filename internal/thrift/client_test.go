package thrift_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin"
	"elderwall/internal/thrift"
)

func frame(r thrift.Reply) []byte {
	return append(append(append([]byte{}, r.Head...), r.Body...), r.Tail...)[4:]
}

func TestAClientReadsWhatADispatcherWrites(t *testing.T) {
	for name, tt := range map[string]struct {
		reply thrift.Reply
		want  thrift.Got
	}{
		"served":    {thrift.Served(7, []byte("abc"), false), thrift.Got{Seq: 7, Body: []byte("abc"), Good: true}},
		"the same":  {thrift.Served(7, nil, true), thrift.Got{Seq: 7, Body: []byte{}, Good: true, Fields: map[string]string{"ok304": "1"}}},
		"refused":   {thrift.Refused(7, 125), thrift.Got{Seq: 7, Ending: thrift.EndRefused, Fields: map[string]string{"backoff": "125"}}},
		"failed":    {thrift.Failed(7, "denied"), thrift.Got{Seq: 7, Ending: thrift.EndFailed, Fields: map[string]string{"reason": "denied"}}},
		"named":     {thrift.Identified(7, ""), thrift.Got{Seq: 7, Body: []byte{}, Good: true}},
		"not named": {thrift.Identified(7, "token"), thrift.Got{Seq: 7, Ending: thrift.EndFailed, Fields: map[string]string{"reason": "token"}}},
		"no method": {thrift.NoSuchMethod([]byte("x"), 7), thrift.Got{Seq: 7, Ending: thrift.EndException}}} {
		got, err := thrift.ParseReply(frame(tt.reply))
		require.NoError(t, err, name)
		assert.Equal(t, tt.want, got, name)
		for cut := range frame(tt.reply) {
			_, err := thrift.ParseReply(frame(tt.reply)[:cut])
			assert.Error(t, err, "%s, %d bytes of it", name, cut)
		}
	}
}

func TestAClientWritesWhatADispatcherReads(t *testing.T) {
	fields := standin.Fields()
	var told []string
	for _, name := range []string{"batch", "budget", "method", "nth", "obj", "rid"} {
		told = append(told, name, fields[name])
	}
	b := thrift.AppendProcess(nil, 7, told, []byte("b"))
	assert.Equal(t, process("b"), b)
	b = thrift.AppendIdentify(thrift.AppendProbe(thrift.AppendGiveUp(b, 7), 8), 9, "t")
	got, err := calls(b, 1<<20)
	require.NoError(t, err)
	assert.Equal(t, []thrift.Method{thrift.Process, thrift.GiveUp, thrift.Probe, thrift.Identify},
		[]thrift.Method{got[0].Method, got[1].Method, got[2].Method, got[3].Method})
	assert.Equal(t, []any{int32(7), int32(8), "t"}, []any{got[1].GivenUp, got[2].Seq, string(got[3].Token)})
}

func FuzzReplies(f *testing.F) {
	f.Add(frame(thrift.Served(7, []byte("abc"), true)))
	f.Add(frame(thrift.Refused(7, 125)))
	f.Fuzz(func(t *testing.T, b []byte) {
		if got, err := thrift.ParseReply(b); err == nil {
			assert.LessOrEqual(t, len(got.Body), len(b))
		}
	})
}
