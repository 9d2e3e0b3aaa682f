package upstream_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/rig"
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
		{"no other connection for what must not run twice", true, 1, never},
	} {
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
	l, o := need.Listener(t), options(t)
	up := rig.HoldDials(o)
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

// A connection comes up when the time of what waits for it is over, its client's or that for which hosts know a repeat: nothing of that goes out, its
// place is free, and what goes out asks for no more time than its client has left.
func TestAConnectionThatComesUpTooLate(t *testing.T) {
	for name, tt := range map[string]struct {
		bound  func(f *upstream.Forward, until time.Time)
		budget string // of what goes out, with 10 s left and 60 asked for
	}{
		"its client's time": {func(f *upstream.Forward, until time.Time) { f.Until = until }, `\d{4}`},
		"a repeat's time":   {func(f *upstream.Forward, until time.Time) { f.Before = until }, "60000"},
	} {
		t.Run(name, func(t *testing.T) {
			l, o := need.Listener(t), options(t)
			o.PerHost.Store(1)
			up := rig.HoldDials(o)
			h := upstream.New(l.Addr().String(), o, 0)
			late, done := forward("late", "")
			over := time.Now().Add(20 * time.Millisecond)
			tt.bound(late, over)
			inTime, _ := forward("intime", "")
			inTime.Request.Budget = 60_000
			tt.bound(inTime, time.Now().Add(10*time.Second))
			require.NoError(t, h.Send(late))
			require.NoError(t, h.Send(inTime))
			time.Sleep(time.Until(over)) // the time that is to pass
			close(up)
			need.Soon(t, func() bool { return len(done) == 1 })
			r := <-done
			assert.Equal(t, upstream.NotWritten, r.Stage)
			assert.ErrorIs(t, r.Err, upstream.ErrOvertaken)
			p := accepted(t, l)
			assert.Regexp(t, `^REQ intime queue=s,path=o,blk=0,budget=`+tt.budget+` 0$`, p.line())
			assert.Zero(t, p.in.Buffered(), "nothing else comes")
		})
	}
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
