package upstream_test

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/upstream"
)

const finWait2 = 5 // the state of a connection whose half-close the other system has taken in

// halfClose ends what the peer sends, and waits until that has come to the other system.
func (p *peer) halfClose() {
	c := p.Conn.(*net.TCPConn)
	require.NoError(p, c.CloseWrite())
	raw := need.Of(c.SyscallConn())(p)
	need.Soon(p, func() (there bool) {
		require.NoError(p, raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			there = err == nil && info.State == finWait2
		}))
		return there
	})
}

// A host ends a connection that rests, and the next forward comes before the end has been read: the reader stands still.
func TestAConnectionThatItsHostHasEnded(t *testing.T) {
	for _, tt := range []struct {
		name string
		once bool
		end  func(p *peer)
		want upstream.Stage
	}{
		{"by a half-close", true, (*peer).halfClose, upstream.NotWritten},
		{"by a half-close behind bytes", true, func(p *peer) { p.write(standin.Hit("nobody", "")); p.halfClose() }, upstream.NotWritten},
		{"by a reset", true, (*peer).reset, upstream.NotWritten},
		{"not at all", true, func(*peer) {}, upstream.Answered},
		{"by a half-close, where a repeat does no harm", false, (*peer).halfClose, upstream.WrittenWhole},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l, o := need.Listener(t), options(t)
			h := upstream.New(l.Addr().String(), o, 0)
			stands, goes := make(chan bool), make(chan bool)
			goOn := sync.OnceFunc(func() { close(goes) })
			t.Cleanup(goOn)
			first, _ := forward("first", "")
			first.Done = func(upstream.Result) { close(stands); <-goes }
			require.NoError(t, h.Send(first))
			p := accepted(t, l)
			p.request("first")
			p.write(standin.Hit("first", ""))
			<-stands
			tt.end(p)
			f, done := forward("a", "")
			f.Once = tt.once
			require.NoError(t, h.Send(f))
			if tt.want == upstream.NotWritten {
				need.Soon(t, func() bool { return len(done) == 1 })
			} else {
				p.request("a")
				goOn()
			}
			if tt.want == upstream.Answered {
				p.write(standin.Hit("a", ""))
			}
			assert.Equal(t, tt.want, end(h, done).Stage)
			assert.EqualValues(t, 1, o.Counts.HostConnections.Load())
		})
	}
}

// A reset long after a request went out proves nothing: it may have run.
func TestAResetLongAfterARequest(t *testing.T) {
	l := need.Listener(t)
	h := upstream.New(l.Addr().String(), options(t), 0)
	f, done := forward("a", "")
	f.Once = true
	require.NoError(t, h.Send(f))
	p := accepted(t, l)
	p.request("a")
	p.reset()
	assert.Equal(t, upstream.WrittenWhole, (<-done).Stage)
}

// BenchmarkEnded is one look on a connection that rests.
func BenchmarkEnded(b *testing.B) {
	l := need.Listener(b)
	c := need.Of(net.Dial("tcp", l.Addr().String()))(b)
	b.Cleanup(func() { _ = c.Close() })
	ended := upstream.Ended(c)
	need.Bench(b, "rests", func(int) { _ = ended() })
}
