package upstream_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin/need"
	"elderwall/internal/upstream"
)

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
