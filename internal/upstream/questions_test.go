package upstream_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/assert"

	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/upstream"
)

// A host answers requests but no questions: its connection closes with nothing out once it keeps as many stopped ids as it may.
func TestAHostThatAnswersNoQuestions(t *testing.T) {
	l, o := need.Listener(t), options(t)
	o.PerHost.Store(1)
	h := upstream.New(l.Addr().String(), o, 0)
	var p *peer
	for i := range 2*upstream.MostStopped + 1 {
		id := fmt.Sprint("stopped", i)
		f, _ := sent(t, h, id)
		if i%upstream.MostStopped == 0 {
			before := p
			if p = accepted(t, l); before != nil {
				_, err := before.in.ReadByte()
				assert.ErrorIs(t, err, io.EOF, "the one before is closed")
			}
		}
		p.request(id)
		_, done := sent(t, h, "answered")
		p.request("answered")
		p.write(standin.Hit("answered", ""))
		assert.Equal(t, upstream.Answered, end(h, done).Stage)
		f.Stop()
		assert.Equal(t, "STOP "+id, p.line())
		assert.Contains(t, p.line(), "HELO ")
	}
	assert.EqualValues(t, 3, o.Counts.HostConnections.Load())
}

// Something is out on a connection that keeps as many stopped ids as it may: nothing new goes out there until questions are answered.
func TestAConnectionWithTooManyQuestionsTakesNoMore(t *testing.T) {
	l, o := need.Listener(t), options(t)
	o.PerHost.Store(1)
	o.Streams = upstream.MostStopped + 1
	h := upstream.New(l.Addr().String(), o, 0)
	_, last := sent(t, h, "out")
	p, tag := accepted(t, l), ""
	p.request("out")
	var all []*upstream.Forward
	for i := range upstream.MostStopped {
		f, _ := sent(t, h, fmt.Sprint(i))
		p.request(fmt.Sprint(i))
		all = append(all, f)
	}
	p.write("nobody PONG\r\n") // so that it isn't in doubt
	need.Soon(t, func() bool { return o.Counts.HostBytesIn.Load() > 0 })
	for i, f := range all {
		f.Stop()
		assert.Equal(t, fmt.Sprint("STOP ", i), p.line())
		tag = p.line()[len("HELO "):]
	}
	full(t, h, "no question is answered")
	p.write(tag + " PONG\r\n" + standin.Hit("out", ""))
	assert.Equal(t, upstream.Answered, end(h, last).Stage)
	sent(t, h, "new")
	p.request("new")
}
