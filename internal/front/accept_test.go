package front_test

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/call"
	"elderwall/internal/front"
	"elderwall/internal/standin/need"
)

// lacking is a listener of a process with so few descriptors that only so many sockets can be open.
type lacking struct {
	counting
	most     int32
	failures atomic.Int32
	err      error
}

func (l *lacking) Accept() (net.Conn, error) {
	c, err := l.counting.Accept()
	if err != nil || l.open.Load() <= l.most {
		return c, err
	}
	_ = c.Close() // as if it were not accepted: its client comes again
	l.failures.Add(1)
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.err)}
}

func TestAFailedAcceptHasAnIdleClientGiveWay(t *testing.T) {
	for name, tt := range map[string]struct {
		err  error
		want bool // the idle one gives way
	}{
		"the process lacks descriptors": {syscall.EMFILE, true},
		"the machine lacks descriptors": {syscall.ENFILE, true},
		"lacks memory":                  {syscall.ENOMEM, true},
		"lacks buffers":                 {syscall.ENOBUFS, true},
		"anything else":                 {errors.New("else"), false}} {
		t.Run(name, func(t *testing.T) {
			h := &handler{calls: make(chan call.Call, 9), givenUp: make(chan call.Call, 9)}
			l := &lacking{counting: counting{Listener: need.Listener(t)}, most: 2, err: tt.err}
			s := &front.Server{Handler: h, Most: 16}
			serveOn(t, s, l)
			address := l.Addr().String()
			busy, idle := need.Client(t, address), need.Client(t, address)
			need.Sent(t, busy)
			open := <-h.calls
			need.Of(idle.Probe())(t)
			need.Soon(t, func() bool { return l.open.Load() == 2 })
			began := time.Now()
			refused := need.Client(t, address)
			_, err := refused.Read()
			assert.Error(t, err)
			if tt.want {
				require.NoError(t, idle.Conn.SetReadDeadline(time.Now().Add(time.Second))) // long before it counts as idle
				_, err = idle.Read()
				assert.ErrorIs(t, err, io.EOF, "the idle one has given way")
				_ = idle.Conn.Close()
				need.Soon(t, func() bool { return l.open.Load() == 1 })
			}
			assert.Equal(t, tt.want, need.Ready(address), "there is room for one more")
			assert.LessOrEqual(t, int64(l.failures.Load()), int64(time.Since(began)/front.AcceptAgain)+1, "it does not spin")
			open.Refuse(0)
			assert.Equal(t, "refused", need.Of(busy.Read())(t).Kind, "the one with a call under way has stayed")
		})
	}
}

// behind is a listener whose accept loop comes to nothing until the test lets it.
type behind struct {
	*net.TCPListener
	goOn chan bool
}

func (l behind) Accept() (net.Conn, error) { <-l.goOn; return l.TCPListener.Accept() }

func TestADrainAcceptsWhatTheKernelHolds(t *testing.T) {
	h := &handler{calls: make(chan call.Call, 9), givenUp: make(chan call.Call, 9)}
	l := behind{need.Listener(t).(*net.TCPListener), make(chan bool)}
	s := &front.Server{Handler: h, Most: 16}
	serveOn(t, s, l)
	address := l.Addr().String()
	clients := need.Clients(t, address, 5)
	stopped := make(chan bool)
	go func() { s.StopAccepting(); close(stopped) }()
	need.Soon(t, s.Stopping)
	s.Close()
	for _, c := range clients {
		need.Sent(t, c)
	}
	close(l.goOn)
	<-stopped
	for _, c := range clients {
		assert.Equal(t, "refused", need.Of(c.Read())(t).Kind)
	}
	assert.Empty(t, h.calls)
	_, err := net.Dial("tcp", address)
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
}

func TestADrainWakesAnAcceptThatWaits(t *testing.T) {
	h, l := &handler{calls: make(chan call.Call, 9), givenUp: make(chan call.Call, 9)}, need.Listener(t)
	s := &front.Server{Handler: h, Most: 16}
	serveOn(t, s, l)
	c := need.Client(t, l.Addr().String())
	need.Of(c.Probe())(t)
	s.StopAccepting()
	_, err := net.Dial("tcp", l.Addr().String())
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.True(t, need.Of(c.Probe())(t), "what is open goes on")
}

func TestANewConnectionIsNotQuietBeforeItCouldSpeak(t *testing.T) {
	_, s, address := serve(t, 4)
	c := need.Client(t, address)
	need.Soon(t, func() bool { return !s.Quiet() })
	need.Of(c.Probe())(t)
	need.Soon(t, s.Quiet)
	need.Client(t, address)
	need.Soon(t, func() bool { return !s.Quiet() })
	need.Soon(t, s.Quiet, "it says nothing")
}
