package upstream_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/upstream"
)

const large = 16 << 20 // bytes; more than the system takes in for a peer that doesn't read

// A host answers a request that it has in part, and its connection ends while the rest is being written.
func TestAnswersBeforeTheRequestIsWritten(t *testing.T) {
	for _, tt := range []struct {
		name, answer string
		want         upstream.Stage
	}{
		{"none", "", upstream.PartlyWritten},
		{"half a head", "a HIT -", upstream.PartlyWritten},
		{"half a body", "a HIT - 10\r\n12345", upstream.AnswerBegun},
		{"a whole one", standin.Hit("a", ""), upstream.Answered},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l, o := need.Listener(t), options(t)
			h := upstream.New(l.Addr().String(), o, 0)
			f, done := forward("a", strings.Repeat("x", large))
			require.NoError(t, h.Send(f))
			p := accepted(t, l)
			need.Of(p.in.ReadByte())(t) // it has begun
			p.write(tt.answer)
			need.Soon(t, func() bool { return tt.want == upstream.PartlyWritten || f.Stage() == tt.want || len(done) > 0 })
			p.reset()
			r := end(h, done)
			assert.Equal(t, tt.want, r.Stage)
			assert.Equal(t, tt.want >= upstream.WrittenWhole, f.Written())
			need.Soon(t, func() bool { return o.Places.Taken() == 0 })
			assert.Empty(t, done, "one end is told")
		})
	}
}

// An answer never ends: its connection does, in time, and each request on it is told how far it came.
func TestAnAnswerThatNeverEnds(t *testing.T) {
	for name, trickles := range map[string]bool{"silent": false, "a byte at a time": true} {
		t.Run(name, func(t *testing.T) {
			l, o := need.Listener(t), options(t)
			o.Streams = 4
			o.PerHost.Store(1)
			h := upstream.New(l.Addr().String(), o, 0)
			ends := map[string]chan upstream.Result{}
			_, ends["begun"] = sent(t, h, "begun")
			p := accepted(t, l)
			p.request("begun")
			_, ends["written"] = sent(t, h, "written")
			p.request("written")
			partly, done := forward("partly", strings.Repeat("x", large))
			require.NoError(t, h.Send(partly))
			need.Of(p.in.ReadByte())(t) // it has begun, and holds up what is behind it
			ends["partly"] = done
			_, ends["queued"] = sent(t, h, "queued")
			began := time.Now()
			p.write("begun HIT - 200000\r\n")
			for trickles && len(ends["begun"]) == 0 && time.Since(began) < 5*time.Second {
				_, _ = p.Write([]byte("x"))
				time.Sleep(time.Millisecond)
			}
			got := map[string]upstream.Stage{}
			for id, done := range ends {
				got[id] = (<-done).Stage
			}
			assert.Equal(t, map[string]upstream.Stage{
				"begun": upstream.AnswerBegun, "written": upstream.WrittenWhole,
				"partly": upstream.PartlyWritten, "queued": upstream.NotWritten,
			}, got)
			assert.WithinRange(t, time.Now(), began.Add(upstream.WholeIn), began.Add(4*upstream.WholeIn))
		})
	}
}

// The process gets no processor for longer than an answer may take, while the system takes in the rest of it.
func TestAnAnswerThatTheSystemHasTakenInWhole(t *testing.T) {
	l, o := need.Listener(t), options(t)
	h := upstream.New(l.Addr().String(), o, 0)
	f, done := sent(t, h, "a")
	p := accepted(t, l)
	p.request("a")
	p.write("a HIT - 3\r\n")
	need.Soon(t, func() bool { return f.Stage() == upstream.AnswerBegun })
	before := o.Counts.HostBytesIn.Load()
	release := h.Hold()
	p.write("x")
	need.Soon(t, func() bool { return o.Counts.HostBytesIn.Load() > before }) // the reader stands still from here
	p.write("yz\r\n")
	time.Sleep(upstream.WholeIn + 50*time.Millisecond) // the time that is to pass
	release()
	assert.Equal(t, "xyz", string(end(h, done).Answer.Body))
}
