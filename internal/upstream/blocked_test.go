package upstream

import (
	"context"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/counters"
	"elderwall/internal/hostproto"
	"elderwall/internal/memquota"
)

// fullBuffer is a connection whose kernel takes nothing for some writes, and then all.
type fullBuffer struct {
	net.Conn
	limit   time.Time
	blocked int
	each    func() // with each write that is blocked
	written strings.Builder
}

func (c *fullBuffer) SetWriteDeadline(t time.Time) error { c.limit = t; return nil }

func (c *fullBuffer) Write(b []byte) (int, error) {
	if c.blocked--; c.blocked >= 0 {
		c.each()
		time.Sleep(time.Until(c.limit))
		return 0, os.ErrDeadlineExceeded
	}
	return c.written.Write(b)
}

// While the kernel takes nothing of a request it may be stopped or overtaken, and goes out with the budget that is left then.
func TestARequestWaitsForAFullWriteBuffer(t *testing.T) {
	const blocked, budget = 4, 800 // writes, and ms
	for _, tt := range []struct {
		name    string
		each    func(c *conn, f *Forward, left *bool)
		written bool
		err     error
	}{
		{"it goes out at last", func(*conn, *Forward, *bool) {}, true, nil},
		{"its client leaves", func(_ *conn, _ *Forward, left *bool) { *left = true }, false, ErrOvertaken},
		{"it is stopped", func(_ *conn, f *Forward, _ *bool) { f.Stop() }, false, nil},
		{"its time is over", func(_ *conn, f *Forward, _ *bool) { f.Until = time.Now() }, false, ErrOvertaken},
	} {
		t.Run(tt.name, func(t *testing.T) {
			o := &Options{Log: zerolog.Nop(), Counts: &counters.Counters{}, Room: memquota.New(1 << 20), Context: context.Background()}
			h, left, done := New("127.0.0.1:1", o, 0), false, make(chan Result, 1)
			began := time.Now()
			f := &Forward{
				Request: hostproto.Request{ID: "a", Service: "s", Object: "o", Part: "0", Budget: 60_000}, Until: began.Add(budget * time.Millisecond),
				Overtaken: func() bool { return left }, Done: func(r Result) { done <- r },
			}
			c := &conn{host: h, wake: make(chan struct{}, 1), open: map[string]*Forward{"a": f}, stopped: map[string]string{}, writing: f, stop: func() {}}
			f.conn, f.stage, f.written = c, NotWritten, began
			socket := &fullBuffer{blocked: blocked, each: func() { tt.each(c, f, &left) }}
			_, err := c.writeForward(socket, f, nil)
			require.NoError(t, err)
			text := socket.written.String()
			assert.Equal(t, tt.written, text != "")
			assert.Nil(t, c.writing)
			if tt.err != nil {
				r := <-done
				assert.Equal(t, NotWritten, r.Stage)
				assert.ErrorIs(t, r.Err, tt.err)
				assert.Empty(t, c.open)
			}
			assert.Empty(t, done)
			if tt.written {
				_, after, _ := strings.Cut(text, "budget=")
				digits := after[:strings.IndexFunc(after, func(r rune) bool { return r < '0' || r > '9' })]
				sent, err := strconv.Atoi(digits)
				require.NoError(t, err)
				assert.LessOrEqual(t, sent, budget-int(blocked*firstByteIn/time.Millisecond))
				assert.GreaterOrEqual(t, sent, budget/2)
				assert.True(t, f.Written())
			}
		})
	}
}
