package syserr_test

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"elderwall/internal/standin/need"
	"elderwall/internal/syserr"
)

// failing is a listener whose first accepts fail.
type failing struct {
	net.Listener
	err   syscall.Errno
	times int
}

func (l *failing) Accept() (net.Conn, error) {
	if l.times--; l.times >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.err)}
	}
	return l.Listener.Accept()
}

func TestAListenerGoesOnAfterWhatPasses(t *testing.T) {
	for _, tt := range []struct {
		err    syscall.Errno
		times  int
		atOnce bool
	}{{syscall.ECONNABORTED, 20, true}, {syscall.EPROTO, 20, true}, {syscall.EMFILE, 2, false}, {syscall.ENOBUFS, 2, false}, {syscall.EINVAL, 2, false}, {syscall.EPROTO, 70, false}} {
		t.Run(tt.err.Error(), func(t *testing.T) {
			t.Parallel()
			under := &failing{need.Listener(t), tt.err, tt.times}
			l := syserr.Listener{Listener: under}
			client := need.Of(net.Dial("tcp", l.Addr().String()))(t)
			began := time.Now()
			c := need.Of(l.Accept())(t)
			assert.Equal(t, tt.atOnce, time.Since(began) < 50*time.Millisecond)
			assert.NoError(t, c.Close())
			assert.NoError(t, client.Close())
			assert.NoError(t, l.Close())
			_, err := l.Accept()
			assert.ErrorIs(t, err, net.ErrClosed)
		})
	}
}
