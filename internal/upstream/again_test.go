package upstream_test

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/upstream"
)

// A host answers a request twice, and the second answer comes when the request is out once more.
func TestASecondAnswerComesForTheForwardBefore(t *testing.T) {
	const never = ""
	for _, tt := range []struct {
		name  string
		once  bool
		conns int64  // that the host may have
		want  string // whose answer the second forward gets
	}{
		{"another connection", false, 2, "HIT"},
		{"another connection for what must not run twice", true, 2, "HIT"},
		{"no other connection", false, 1, "SHED"}, // which costs a forward, and no rule
		{"no other connection for what must not run twice", true, 1, never}} {
		t.Run(tt.name, func(t *testing.T) {
			l, o := need.Listener(t), options(t)
			o.PerHost.Store(tt.conns)
			h := upstream.New(l.Addr().String(), o, 0)
			first, done := sent(t, h, "a")
			p := accepted(t, l)
			p.request("a")
			p.write(standin.Answer("a", "SHED", "-", ""))
			end(h, done)
			again, done := forward("a", "")
			again.Once, again.Previous = tt.once, first
			err := h.Send(again)
			if tt.want == never {
				assert.ErrorIs(t, err, upstream.ErrFull)
				return
			}
			require.NoError(t, err)
			second := p
			if tt.conns > 1 {
				second = accepted(t, l)
			}
			second.request("a")
			before := o.Counts.HostBytesIn.Load()
			p.write(standin.Answer("a", "SHED", "-", ""))
			need.Soon(t, func() bool { return o.Counts.HostBytesIn.Load() > before })
			second.write(standin.Answer("a", "HIT", "-", "x"))
			assert.Equal(t, map[bool]int{true: 1}[tt.want == "HIT"], len(end(h, done).Answer.Body))
		})
	}
}

// A forward of which nothing went out leaves its connection to the next one.
func TestAForwardThatWasTakenBackGoesOutOnItsConnection(t *testing.T) {
	l, o, up := need.Listener(t), options(t), make(chan bool)
	o.Dialer.Control = func(string, string, syscall.RawConn) error { <-up; return nil }
	h := upstream.New(l.Addr().String(), o, 0)
	first, _ := sent(t, h, "a")
	assert.True(t, first.TakeBack())
	again, _ := forward("a", "")
	again.Once, again.Previous = true, first
	require.NoError(t, h.Send(again))
	close(up)
	accepted(t, l).request("a")
	assert.EqualValues(t, 1, o.Counts.HostConnections.Load())
}

// A connection comes up when the time of what waits for it is over: nothing of that goes out, and what goes out asks for no more
// time than is left.
func TestAConnectionThatComesUpTooLate(t *testing.T) {
	l, o, up := need.Listener(t), options(t), make(chan bool)
	o.PerHost.Store(1)
	o.Dialer.Control = func(string, string, syscall.RawConn) error { <-up; return nil }
	h := upstream.New(l.Addr().String(), o, 0)
	late, done := forward("late", "")
	late.Until = time.Now().Add(20 * time.Millisecond)
	inTime, _ := forward("intime", "")
	inTime.Until, inTime.Request.Budget = time.Now().Add(10*time.Second), 60_000
	require.NoError(t, h.Send(late))
	require.NoError(t, h.Send(inTime))
	time.Sleep(time.Until(late.Until)) // the time that is to pass
	close(up)
	need.Soon(t, func() bool { return len(done) == 1 })
	r := <-done
	assert.Equal(t, upstream.NotWritten, r.Stage)
	assert.ErrorIs(t, r.Err, upstream.ErrOvertaken)
	assert.Regexp(t, `^REQ intime queue=s,path=o,blk=0,budget=\d{4} 0$`, accepted(t, l).line())
}

// What waits behind another is given up, by its client or as the answer to a forward before it comes first: the host never hears of it.
func TestAForwardThatIsGivenUpBeforeItsFirstByte(t *testing.T) {
	l, o := need.Listener(t), options(t)
	o.PerHost.Store(1)
	h := upstream.New(l.Addr().String(), o, 0)
	begun, _ := forward("begun", strings.Repeat("x", large))
	require.NoError(t, h.Send(begun))
	p := accepted(t, l)
	need.Of(p.in.ReadByte())(t) // it has begun
	waits, done := sent(t, h, "waits")
	sent(t, h, "next")
	waits.Stop()
	require.NoError(t, p.in.UnreadByte())
	p.request("begun")
	p.request("next")
	assert.Empty(t, done)
}
