package downstream_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/admission"
	"elderwall/internal/call"
	"elderwall/internal/counters"
	"elderwall/internal/downstream"
	"elderwall/internal/memquota"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
)

// standing is callers that all stand the same way.
type standing struct{ now atomic.Value }

func (s *standing) Connected(netip.Addr, net.Conn) *admission.Conn { return &admission.Conn{} }
func (s *standing) Identify(*admission.Conn, string) string        { return "" }
func (s *standing) Standing(*admission.Conn) admission.ConnState {
	now, _ := s.now.Load().(admission.ConnState)
	return now
}

// paused has its connections wait, once bytes were read, until the test lets them go on.
type paused struct {
	net.Listener
	read, goOn chan bool
}

func (p paused) Accept() (net.Conn, error) {
	c, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausedConn{TCPConn: c.(*net.TCPConn), by: p}, nil
}

type pausedConn struct {
	*net.TCPConn
	by paused
}

func (c *pausedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.by.read <- true
		<-c.by.goOn
	}
	return n, err
}

// serveOn starts a server on a listener with a handler of the test's; it ends with the test, or with end before that.
func serveOn(t *testing.T, s *downstream.Server, l net.Listener) (end func()) {
	s.Log, s.Counts, s.Room = zerolog.Nop(), &counters.Counters{}, memquota.New(bytesOfRoom)
	ctx, cancel := context.WithCancel(context.Background())
	var server sync.WaitGroup
	server.Go(func() { assert.NoError(t, s.Serve(ctx, l)) })
	end = sync.OnceFunc(func() {
		_ = l.Close()
		cancel()
		server.Wait()
		assert.EqualValues(t, bytesOfRoom, s.Room.Left(), "all room is given back")
	})
	t.Cleanup(end)
	return end
}

// What is read on a connection that is closing is answered and not sent on: its client may have seen the close, and sends it again.
func TestACallThatIsReadAfterTheCloseIsRefused(t *testing.T) {
	for name, closes := range map[string]func(t *testing.T, s *downstream.Server, by *standing, address string){
		"its caller may not stay": func(_ *testing.T, s *downstream.Server, by *standing, _ string) {
			by.now.Store(admission.Draining)
			s.Review()
		},
		"it gives way": func(t *testing.T, s *downstream.Server, _ *standing, address string) {
			for range 3 {
				need.Client(t, address)
			}
			need.Soon(t, func() bool { return s.Counts.GaveWay.Load() > 0 })
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := &handler{calls: make(chan call.Call, 9), givenUp: make(chan call.Call, 9)}
			by, l := &standing{}, paused{need.Listener(t), make(chan bool), make(chan bool)}
			s := &downstream.Server{Handler: h, Callers: by, Most: 4}
			end := serveOn(t, s, l)
			c := need.Client(t, l.Addr().String())
			need.Sent(t, c)
			<-l.read
			time.Sleep(downstream.SpeaksIn) // from then on it counts as one that says nothing
			closes(t, s, by, l.Addr().String())
			close(l.goOn)
			assert.Equal(t, "refused", need.Of(c.Read())(t).Kind)
			_, err := c.Read()
			require.ErrorIs(t, err, io.EOF)
			end()
			assert.Empty(t, h.calls)
		})
	}
}

// slow is a handler that has a call only once the test lets it.
type slow struct {
	mu     sync.Mutex
	told   []string
	begun  chan bool
	taking chan bool
}

func (h *slow) tell(word string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told = append(h.told, word)
}
func (h *slow) Process(call.Call, call.GET) { h.begun <- true; <-h.taking; h.tell("taken") }
func (h *slow) GiveUp(call.Call)            { h.tell("given up") }
func (h *slow) Ready() bool                 { return true }

func TestACallIsGivenUpBehindItsHandingOver(t *testing.T) {
	h, by, l := &slow{begun: make(chan bool), taking: make(chan bool)}, &standing{}, need.Listener(t)
	s := &downstream.Server{Handler: h, Callers: by, Most: 4}
	end := serveOn(t, s, l)
	c := need.Client(t, l.Addr().String())
	need.Sent(t, c)
	<-h.begun
	by.now.Store(admission.CloseNow)
	s.Review()
	close(h.taking)
	assert.Equal(t, standin.Reply{Seq: 1, Method: "process", Kind: "failed", Fields: map[string]string{"reason": admission.BadCertificate.String()}}, need.Of(c.Read())(t))
	need.Soon(t, func() bool { h.mu.Lock(); defer h.mu.Unlock(); return len(h.told) == 2 })
	end()
	assert.Equal(t, []string{"taken", "given up"}, h.told, "the handler passes over word of a call that it has not got")
}
