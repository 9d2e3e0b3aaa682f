package downstream_test

import (
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/admission"
	"elderwall/internal/call"
	"elderwall/internal/downstream"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/thrift"
)

// oneCall is a listener whose first connection waits, once its second bytes were read, until the test lets it go on: what comes then is unread.
type oneCall struct {
	net.Listener
	read, goOn chan bool
	accepted   atomic.Int32
}

func (l *oneCall) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil || l.accepted.Add(1) > 1 {
		return c, err
	}
	return &oneCallConn{TCPConn: c.(*net.TCPConn), by: l}, nil
}

type oneCallConn struct {
	*net.TCPConn
	by    *oneCall
	reads int
}

func (c *oneCallConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if c.reads++; c.reads == 2 {
		c.by.read <- true
		<-c.by.goOn
	}
	return n, err
}

// whole is a call as it goes on the wire, of a number that no other call of the test has.
func whole(seq int32) []byte {
	return standin.Call("process", 1, seq, standin.ProcessArguments(standin.Fields(), ""))
}

func TestACloseTakesNoWrittenAnswerWithIt(t *testing.T) {
	const most = 16
	for name, tt := range map[string]struct {
		second []byte
		closes func(t *testing.T, s *downstream.Server, by *standing, address string, end func())
	}{
		"its caller may not stay": {whole(7), func(_ *testing.T, s *downstream.Server, by *standing, _ string, _ func()) {
			by.now.Store(admission.Draining)
			s.Review()
		}},
		"it gives way": {whole(7), func(t *testing.T, s *downstream.Server, _ *standing, address string, _ func()) {
			for range most {
				need.Of(need.Client(t, address).Probe())(t)
			}
			require.Positive(t, s.Counts.GaveWay.Load())
		}},
		"the service ends": {whole(7), func(t *testing.T, s *downstream.Server, _ *standing, address string, end func()) {
			other := need.Client(t, address)
			need.Of(other.Probe())(t)
			go end()
			_, err := other.Read()
			require.Error(t, err, "the end has come")
		}},
		"it sent what is none": {nil, func(*testing.T, *downstream.Server, *standing, string, func()) {}},
	} {
		t.Run(name, func(t *testing.T) {
			h := &handler{calls: make(chan call.Call, 9), givenUp: make(chan call.Call, 9)}
			by, l := &standing{}, &oneCall{Listener: need.Listener(t), read: make(chan bool), goOn: make(chan bool)}
			s := &downstream.Server{Handler: h, Callers: by, Most: most}
			end := serveOn(t, s, l)
			c := need.Client(t, l.Addr().String())
			need.Sent(t, c)
			(<-h.calls).Serve(body(s, "bytes"), false)
			need.Soon(t, s.Quiet, "the answer is written")
			second := append(slices.Clone(tt.second), 0x7f, 0, 0, 0)
			need.Of(c.Conn.Write(second))(t)
			<-l.read
			need.Of(c.Conn.Write(make([]byte, 1000)))(t) // unread when the connection closes
			tt.closes(t, s, by, l.Addr().String(), end)
			close(l.goOn)
			assert.Equal(t, "served", need.Of(c.Read())(t).Kind)
			if len(tt.second) > 0 {
				assert.Equal(t, "refused", need.Of(c.Read())(t).Kind, "it was read")
			}
			_, err := c.Read()
			assert.ErrorIs(t, err, io.EOF, "and the end is one in order")
			_ = c.Conn.Close()
			end()
		})
	}
}

// recorded keeps what was read.
type recorded struct {
	net.Conn
	bytes []byte
}

func (r *recorded) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	r.bytes = append(r.bytes, b[:n]...)
	return n, err
}

func TestATLSClientIsToldOfTheEnd(t *testing.T) {
	const alert, head = 21, 5 // a record's type, and the bytes before its own
	a := standin.NewAuthority("a")
	h, by, l := &handler{calls: make(chan call.Call, 9), givenUp: make(chan call.Call, 9)}, &standing{}, need.Listener(t)
	client := a.Client("server", "", time.Now().Add(time.Hour))
	client.ServerName, client.MaxVersion = "127.0.0.1", tls.VersionTLS12 // which shows the types of its records
	s := &downstream.Server{Handler: h, Callers: by, Most: 4}
	serveOn(t, s, tls.NewListener(l, &tls.Config{Certificates: client.Certificates}))
	wire := &recorded{Conn: need.Client(t, l.Addr().String()).Conn}
	c := &standin.Client{Conn: tls.Client(wire, client)}
	need.Of(c.Probe())(t)
	need.Soon(t, s.Quiet)
	by.now.Store(admission.Draining)
	s.Review()
	_, err := c.Read()
	assert.ErrorIs(t, err, io.EOF)
	var last byte
	for rest := wire.bytes; len(rest) > head; rest = rest[head+int(binary.BigEndian.Uint16(rest[3:])):] {
		last = rest[0]
	}
	assert.EqualValues(t, alert, last, "not a cut, which whoever is between could make")
}

// counting counts the sockets that are open, and the most there were.
type counting struct {
	net.Listener
	open, most atomic.Int32
}

func (l *counting) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for n, was := l.open.Add(1), l.most.Load(); n > was && !l.most.CompareAndSwap(was, n); was = l.most.Load() {
	}
	return &countedConn{TCPConn: c.(*net.TCPConn), by: l}, nil
}

type countedConn struct {
	*net.TCPConn
	by *counting
}

func (c *countedConn) Close() error {
	defer c.by.open.Add(-1) // called once, as the server sees to
	return c.TCPConn.Close()
}

func TestClientsThatDoNotCloseKeepNobodyOut(t *testing.T) {
	const most, clients = 16, 200
	h, l := &handler{calls: make(chan call.Call, 9), givenUp: make(chan call.Call, 9)}, &counting{Listener: need.Listener(t)}
	s := &downstream.Server{Handler: h, Most: most}
	end := serveOn(t, s, l)
	began := time.Now()
	for range clients { // each stays, and closes nothing when it is closed
		need.Of(need.Client(t, l.Addr().String()).Probe())(t)
	}
	assert.Less(t, time.Since(began), clients/spareOf(most)*downstream.CloseIn/4, "a quarter of what it would take if each had its whole time to close")
	assert.LessOrEqual(t, l.most.Load(), int32(most))
	began = time.Now()
	end()
	assert.Less(t, time.Since(began), 2*downstream.CloseIn)
	assert.Zero(t, l.open.Load())
}

func spareOf(most int) time.Duration { return time.Duration(most / 4) }

func TestWhatComesAfterACloseIsBounded(t *testing.T) {
	h, by, l := &handler{calls: make(chan call.Call, 9), givenUp: make(chan call.Call, 9)}, &standing{}, need.Listener(t)
	s := &downstream.Server{Handler: h, Callers: by, Most: 4}
	serveOn(t, s, l)
	for name, each := range map[string]time.Duration{"as much as goes": 0, "a byte now and then": 10 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			c := need.Client(t, l.Addr().String())
			need.Of(c.Probe())(t)
			need.Soon(t, s.Quiet)
			by.now.Store(admission.Draining)
			s.Review()
			by.now.Store(admission.KeepOpen)
			began, chunk := time.Now(), make([]byte, map[bool]int{true: 64 << 10, false: 1}[each == 0])
			for err := error(nil); err == nil; time.Sleep(each) {
				_, err = c.Conn.Write(chunk)
				require.Less(t, time.Since(began), 4*downstream.CloseIn, "the connection is closed")
			}
		})
	}
}

// What comes once writes are shut is left in the kernel: it crosses the end, and its client sends it again. Read, it would have to be answered.
func TestNothingIsReadOnceWritesAreShut(t *testing.T) {
	h, by, l := &handler{calls: make(chan call.Call, 9), givenUp: make(chan call.Call, 9)}, &standing{}, need.Listener(t)
	s := &downstream.Server{Handler: h, Callers: by, Most: 4}
	serveOn(t, s, l)
	c := need.Client(t, l.Addr().String())
	need.Of(c.Probe())(t)
	need.Soon(t, s.Quiet)
	by.now.Store(admission.Draining)
	s.Review()
	_, err := c.Read()
	require.ErrorIs(t, err, io.EOF)
	before := s.Counts.ClientBytesIn.Load()
	need.Of(c.Conn.Write(whole(7)))(t)
	_ = c.Conn.Close()
	need.Soon(t, func() bool { return s.Connections() == 0 })
	assert.Equal(t, before, s.Counts.ClientBytesIn.Load())
}

// Guards against a call that no handler gets being told that it failed, and may have run, where the end comes before its refusal is queued.
func TestAnEndThatCrossesARefusalLeavesItARefusal(t *testing.T) {
	server, client := net.Pipe()
	t.Cleanup(func() { _ = server.Close(); _ = client.Close() })
	assert.Equal(t, []thrift.Reply{thrift.Refused(7, 0)}, downstream.RepliesWhereTheEndCrossesARefusal(server, 7))
}

// Clients that never pause do not keep a server from ending, and every call that it reads by then is answered.
func TestClientsThatNeverPauseGetAnAnswerToWhatIsRead(t *testing.T) {
	const clients = 20
	h, s, address := serve(t, 2*clients)
	s.Close()
	var all sync.WaitGroup
	var sent, answered atomic.Int64
	for range clients {
		c := need.Client(t, address)
		all.Go(func() {
			for seq := int32(1); ; seq++ {
				if _, err := c.Conn.Write(whole(seq)); err != nil {
					return
				}
				sent.Add(1)
				time.Sleep(time.Millisecond)
			}
		})
		all.Go(func() {
			for {
				r, err := c.Read()
				if err != nil {
					_ = c.Conn.Close()
					return
				}
				assert.Equal(t, "refused", r.Kind)
				answered.Add(1)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	began := time.Now()
	s.Terminate()
	all.Wait()
	assert.Less(t, time.Since(began), 2*downstream.CloseIn)
	assert.Equal(t, s.Counts.ClientBytesIn.Load()/int64(len(whole(1))), answered.Load(), "of %d sent", sent.Load())
	assert.Empty(t, h.calls)
}
