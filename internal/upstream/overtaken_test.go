package upstream_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/upstream"
)

// Two forwards wait for a connection that comes up late: the one whose time is over by then does not go out, and its place is free.
func TestAForwardWhoseTimeIsOverDoesNotGoOut(t *testing.T) {
	o, up := options(t), make(chan bool)
	o.PerHost.Store(1)
	o.Dialer.Control = func(string, string, syscall.RawConn) error { <-up; return nil }
	asked, answer := asking(silent)
	h := host(t, o, answer)
	over, doneOver := forward("over", "")
	over.Before = time.Now().Add(10 * time.Millisecond)
	waits, _ := forward("waits", "")
	waits.Before = time.Now().Add(time.Hour)
	require.NoError(t, h.Send(over))
	require.NoError(t, h.Send(waits))
	time.Sleep(time.Until(over.Before))
	close(up)
	r := <-doneOver
	assert.Equal(t, upstream.NotWritten, r.Stage)
	assert.ErrorIs(t, r.Err, upstream.ErrOvertaken)
	assert.Equal(t, "waits", (<-asked).ID)
	assert.Empty(t, asked)
}
