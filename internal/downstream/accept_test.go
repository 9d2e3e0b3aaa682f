package downstream_test

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
	"elderwall/internal/downstream"
	"elderwall/internal/standin"
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
		"anything else":                 {errors.New("else"), false},
	} {
		t.Run(name, func(t *testing.T) {
			h := &handler{calls: make(chan call.Call, 9), givenUp: make(chan call.Call, 9)}
			l := &lacking{counting: counting{Listener: need.Listener(t)}, most: 2, err: tt.err}
			s := &downstream.Server{Handler: h, Most: 16}
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
			assert.LessOrEqual(t, int64(l.failures.Load()), int64(time.Since(began)/downstream.AcceptAgain)+1, "it does not spin")
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
	s := &downstream.Server{Handler: h, Most: 16}
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
	s := &downstream.Server{Handler: h, Most: 16}
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

// failing is a listener whose first accepts fail.
type failing struct {
	net.Listener
	err  error
	left atomic.Int32
}

func (l *failing) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", l.err)}
	}
	return l.Listener.Accept()
}

// Whatever accept(2) fails with for a moment, the server goes on; what is wrong with one connection alone costs the next no wait, and nothing spins.
func TestAnAcceptThatFailsForAMomentEndsNothing(t *testing.T) {
	for _, tt := range []struct {
		err    syscall.Errno
		times  int32
		atOnce bool
	}{
		{syscall.ECONNABORTED, 20, true},
		{syscall.EPROTO, 20, true},
		{syscall.ENETDOWN, 20, true},
		{syscall.ENOPROTOOPT, 20, true},
		{syscall.EHOSTDOWN, 20, true},
		{syscall.ENONET, 20, true},
		{syscall.EHOSTUNREACH, 20, true},
		{syscall.EOPNOTSUPP, 20, true},
		{syscall.ENETUNREACH, 20, true},
		{syscall.EPERM, 20, true},
		{syscall.EINTR, 20, true},
		{syscall.EAGAIN, 20, true},
		{syscall.ETIMEDOUT, 20, true},
		{syscall.EMFILE, 3, false},
		{syscall.ENFILE, 3, false},
		{syscall.ENOBUFS, 3, false},
		{syscall.ENOMEM, 3, false},
		{syscall.EINVAL, 3, false},
		{syscall.ECONNABORTED, downstream.FailsAtOnce + 2, false},
	} {
		t.Run(tt.err.Error(), func(t *testing.T) {
			t.Parallel()
			l := &failing{Listener: need.Listener(t), err: tt.err}
			l.left.Store(tt.times)
			began := time.Now()
			serveOn(t, &downstream.Server{Handler: &handler{}, Most: 16}, l)
			assert.True(t, need.Ready(l.Addr().String()))
			took := time.Since(began)
			if tt.atOnce {
				assert.Less(t, took, 4*downstream.AcceptAgain, "%d waits would take much longer", tt.times)
			} else {
				assert.GreaterOrEqual(t, took, 2*downstream.AcceptAgain, "it does not spin")
			}
		})
	}
}

// held is a listener whose connections' writes return only when the test lets them, although the client has their bytes.
type held struct {
	net.Listener
	goOn     chan bool
	failsNow atomic.Bool
	failed   chan bool
}

func (l *held) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if l.failsNow.Load() {
		_ = c.Close()
		l.failed <- true
		return nil, os.NewSyscallError("accept4", syscall.ENOMEM)
	}
	return &heldConn{c.(*net.TCPConn), l}, nil
}

type heldConn struct {
	net.Conn // so that its writes are seen one by one
	by       *held
}

func (c *heldConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	<-c.by.goOn
	return n, err
}

func (c *heldConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// A connection whose answer is just being written when an accept fails gives way once it is, and no further accept need fail for that.
func TestAConnectionGivesWayOnceItsAnswerIsWritten(t *testing.T) {
	l := &held{Listener: need.Listener(t), goOn: make(chan bool), failed: make(chan bool, 1)}
	s := &downstream.Server{Handler: &handler{}, Most: 16}
	serveOn(t, s, l)
	idle := need.Client(t, l.Addr().String())
	need.Of(idle.Conn.Write(standin.Call("probe", 1, 1, []byte{2, 0, 1, 0})))(t)
	l.goOn <- true // its head is written, and of its body or tail it is not known
	l.failsNow.Store(true)
	need.Client(t, l.Addr().String())
	<-l.failed
	time.Sleep(2 * downstream.AcceptAgain)
	assert.Zero(t, s.Counts.GaveWay.Load(), "an answer is under way")
	close(l.goOn)
	need.Of(idle.Read())(t)
	require.NoError(t, idle.Conn.SetReadDeadline(time.Now().Add(time.Second))) // long before it counts as idle
	_, err := idle.Read()
	assert.ErrorIs(t, err, io.EOF)
	assert.EqualValues(t, 1, s.Counts.GaveWay.Load())
}
