package downstream_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
	"weak"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"elderwall/internal/call"
	"elderwall/internal/counters"
	"elderwall/internal/downstream"
	"elderwall/internal/memquota"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const bytesOfRoom = 1 << 25 // more than any test takes

// handler hands calls to the test.
type handler struct{ calls, givenUp chan call.Call }

func (h *handler) Process(c call.Call, g call.GET) {
	if g.Object == "boom" {
		panic("boom")
	}
	h.calls <- c
}
func (h *handler) GiveUp(c call.Call) { h.givenUp <- c }
func (h *handler) Ready() bool        { return true }

func server(h *handler, most int) *downstream.Server {
	return &downstream.Server{Handler: h, Log: zerolog.Nop(), Counts: &counters.Counters{}, Room: memquota.New(bytesOfRoom), Most: most}
}

// serve starts a server; what it returns ends it and checks that nothing is left of it.
func serve(t *testing.T, most int) (h *handler, s *downstream.Server, address string) {
	h = &handler{calls: make(chan call.Call, 100), givenUp: make(chan call.Call, 100)}
	s = server(h, most)
	l := need.Listener(t)
	ctx, cancel := context.WithCancel(context.Background())
	var server sync.WaitGroup
	server.Go(func() { assert.NoError(t, s.Serve(ctx, l)) })
	t.Cleanup(func() {
		_ = l.Close()
		cancel()
		server.Wait()
		assert.True(t, s.Quiet())
		assert.EqualValues(t, bytesOfRoom, s.Room.Left(), "all room is given back")
	})
	return h, s, l.Addr().String()
}

// body is an answer's bytes that have taken their room.
func body(s *downstream.Server, text string) []byte { s.Room.Take(len(text)); return []byte(text) }

func TestAnswersGoOutInAnyOrder(t *testing.T) {
	h, s, address := serve(t, 4)
	c := need.Client(t, address)
	assert.True(t, need.Of(c.Probe())(t))
	var open []call.Call
	for range 5 {
		need.Sent(t, c)
		open = append(open, <-h.calls)
	}
	assert.False(t, s.Quiet())
	open[3].Serve(body(s, "bytes"), false)
	open[1].Refuse(125)
	open[1].Fail("") // it is answered already
	open[1].Serve(body(s, "dropped"), false)
	open[0].Fail("")
	open[2].Serve(nil, true)
	require.NoError(t, c.GiveUp(6)) // the fifth GET
	assert.Same(t, open[4], <-h.givenUp)
	open[4].Fail("") // nothing is owed
	for _, w := range []standin.Reply{
		{Seq: 5, Method: "process", Kind: "served", Body: "bytes", Fields: map[string]string{}, Good: true},
		{Seq: 3, Method: "process", Kind: "refused", Fields: map[string]string{"backoff": "125"}},
		{Seq: 2, Method: "process", Kind: "failed", Fields: map[string]string{}},
		{Seq: 4, Method: "process", Kind: "served", Fields: map[string]string{"ok304": "1"}, Good: true},
	} {
		assert.Equal(t, w, need.Of(c.Read())(t))
	}
	assert.True(t, need.Of(c.Probe())(t), "and nothing came in between")
}

// Whatever a client sends behind them, calls that came whole are answered: served where their answer comes, else rejected. What can't be read ends its
// connection in order once they are.
func TestBadInputTakesNoCallWithIt(t *testing.T) {
	calls := func(n int) (b []byte) {
		for seq := range int32(n) {
			b = append(b, whole(seq+1)...)
		}
		return b
	}
	broken := standin.Call("process", 1, 3, standin.ProcessArguments(standin.Fields("obj", "boom"), ""))
	cut := whole(9)
	cut = append(binary.BigEndian.AppendUint32(nil, uint32(len(cut)-4-7)), cut[4:len(cut)-7]...)
	for name, tt := range map[string]struct {
		bytes    []byte
		open     int              // calls that reach the handler, and are served
		rejected map[int32]string // others, each with its answer
		stays    bool             // the connection does
	}{
		"a frame that is too long":       {append(calls(3), 0x7f, 0, 0, 0), 3, nil, false},
		"an old version":                 {append(calls(3), 0, 0, 0, 5, 0, 0, 0, 1, 0), 3, nil, false},
		"arguments that are cut":         {append(calls(3), cut...), 3, nil, false},
		"nothing before it":              {cut, 0, nil, false},
		"a number that is open":          {append(calls(2), whole(2)...), 2, nil, false},
		"a call that breaks the handler": {append(calls(2), broken...), 2, map[int32]string{3: "failed"}, true},
		"too many open calls": {calls(40), 32, map[int32]string{
			33: "refused", 34: "refused", 35: "refused", 36: "refused",
			37: "refused", 38: "refused", 39: "refused", 40: "refused",
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			h, s, address := serve(t, 4)
			other, c := need.Client(t, address), need.Client(t, address)
			need.Of(c.Conn.Write(tt.bytes))(t)
			need.Soon(t, func() bool { return s.Counts.ClientBytesIn.Load() == int64(len(tt.bytes)) })
			want, got := map[int32]string{}, map[int32]string{}
			for seq, kind := range tt.rejected {
				want[seq] = kind
			}
			for range tt.rejected {
				r := need.Of(c.Read())(t)
				got[r.Seq] = r.Kind
			}
			for seq := range int32(tt.open) {
				want[seq+1] = "served"
				(<-h.calls).Serve(body(s, "bytes"), false)
			}
			for range tt.open {
				r := need.Of(c.Read())(t)
				got[r.Seq] = r.Kind
			}
			assert.Equal(t, want, got)
			if tt.stays {
				assert.True(t, need.Of(c.Probe())(t))
			} else {
				_, err := c.Read()
				assert.ErrorIs(t, err, io.EOF, "the end is one in order")
			}
			assert.Empty(t, h.calls)
			assert.True(t, need.Of(other.Probe())(t))
		})
	}
}

// A client that leaves while its calls are open on a connection that is closing is noticed, although nothing is read any more.
func TestAClientThatLeavesAfterBadInputGivesUpItsCalls(t *testing.T) {
	h, _, address := serve(t, 4)
	c := need.Client(t, address)
	need.Of(c.Conn.Write(append(whole(1), 0x7f, 0, 0, 0)))(t)
	open := <-h.calls
	_ = c.Conn.Close()
	assert.Same(t, open, <-h.givenUp)
}

// A client that has shut its writes alone still reads: what was open gets an answer before the connection ends, and nothing new begins for it.
func TestACallBeforeAHalfCloseIsAnswered(t *testing.T) {
	h, _, address := serve(t, 4)
	c := need.Client(t, address)
	need.Sent(t, c)
	open := <-h.calls
	require.NoError(t, c.Conn.(*net.TCPConn).CloseWrite())
	assert.Same(t, open, <-h.givenUp)
	assert.False(t, open.Open())
	assert.Equal(t, "failed", need.Of(c.Read())(t).Kind, "it may have run")
	_, err := c.Read()
	assert.ErrorIs(t, err, io.EOF)
}

// A client that sends faster than it reads loses no answer: what it sends waits in the kernel.
func TestAClientThatReadsLateGetsEveryAnswer(t *testing.T) {
	const probes = 5000
	_, _, address := serve(t, 4)
	c := need.Client(t, address)
	var writer sync.WaitGroup
	defer writer.Wait()
	writer.Go(func() {
		for seq := range int32(probes) {
			_, err := c.Conn.Write(standin.Call("probe", 1, seq, []byte{2, 0, 1, 0}))
			assert.NoError(t, err)
		}
	})
	time.Sleep(100 * time.Millisecond)
	for seq := range int32(probes) {
		require.Equal(t, seq, need.Of(c.Read())(t).Seq)
	}
}

func TestAnUnknownMethodIsAnException(t *testing.T) {
	_, _, address := serve(t, 4)
	c := need.Client(t, address)
	for _, method := range []string{"else", "identify"} { // where nobody asks who is calling
		need.Of(c.Conn.Write(standin.Call(method, 1, 9, nil)))(t)
		assert.Equal(t, standin.Reply{Seq: 9, Method: method, Kind: "exception", Fields: map[string]string{}}, need.Of(c.Read())(t))
	}
}

func TestASlowClientHoldsUpNoOther(t *testing.T) {
	h, s, address := serve(t, 4)
	slow, other := need.Client(t, address), need.Client(t, address)
	long := strings.Repeat("x", 200000)
	for range 32 {
		need.Sent(t, slow)
		(<-h.calls).Serve(body(s, long), false) // more than the kernel keeps for one that does not read
	}
	assert.True(t, need.Of(other.Probe())(t))
	_ = slow.Conn.Close()
	for !s.Quiet() { // the unwritten replies go with it
	}
}

func TestAClientThatLeavesGivesUpItsCalls(t *testing.T) {
	h, _, address := serve(t, 1)
	c := need.Client(t, address)
	need.Sent(t, c)
	call := <-h.calls
	_ = c.Conn.Close()
	assert.Same(t, call, <-h.givenUp)
	need.Of(need.Client(t, address).Probe())(t) // in the one place that is free again
}

func TestALongCallTakesRoom(t *testing.T) {
	h, s, address := serve(t, 4)
	long, c := strings.Repeat("x", 200000), need.Client(t, address)
	need.Of(c.Process(standin.Fields(), long))(t)
	(<-h.calls).Fail("")
	need.Of(c.Read())(t)
	need.Soon(t, func() bool { return s.Room.Take(bytesOfRoom - len(long)/2) }, "the rest, once what read the first call has given its own back")
	other := need.Client(t, address)
	need.Of(other.Process(standin.Fields(), long))(t)
	_, err := other.Read()
	assert.Error(t, err, "there is none for the second")
	s.Room.Give(bytesOfRoom - len(long)/2)
}

func TestAWrittenAnswerIsLetGo(t *testing.T) {
	h, s, address := serve(t, 4)
	c := need.Client(t, address)
	var bodies []weak.Pointer[byte]
	for range 8 {
		need.Sent(t, c)
		b := body(s, strings.Repeat("x", 1000))
		bodies = append(bodies, weak.Make(&b[0]))
		(<-h.calls).Serve(b, false)
	}
	for range 8 {
		need.Of(c.Read())(t)
	}
	for !s.Quiet() {
	}
	runtime.GC()
	for i, b := range bodies {
		assert.Nil(t, b.Value(), "answer %d", i)
	}
}

// pipes is a listener whose connections are in memory, so that time can be the test's.
type pipes struct {
	net.Listener
	accepted chan net.Conn
}

func (p pipes) Accept() (net.Conn, error) {
	if c, ok := <-p.accepted; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func TestConnectionsThatNothingIsOpenOnGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, ended := &handler{calls: make(chan call.Call, 9), givenUp: make(chan call.Call, 9)}, make(chan error)
		s, l := server(h, 4), pipes{accepted: make(chan net.Conn)}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { ended <- s.Serve(ctx, l) }()
		dial := func() *standin.Client { // there are 3 places, and one for who gives way
			client, server := net.Pipe()
			l.accepted <- server
			synctest.Wait()
			return &standin.Client{Conn: client}
		}
		works := func(c *standin.Client) { need.Of(c.Probe())(t); synctest.Wait() }
		asks := func(c *standin.Client) call.Call { need.Sent(t, c); return <-h.calls }
		usual, stays := dial(), dial()
		open := asks(usual)
		works(stays)
		works(stays) // it comes back on its connection
		silent := dial()
		time.Sleep(time.Second)
		works(dial()) // in the place of the one that said nothing
		_, err := silent.Read()
		require.Error(t, err)
		for range 3 {
			works(dial()) // in the place of one that asked once and stays
		}
		works(stays)
		fresh := dial()
		busy := []call.Call{open, asks(dial()), asks(fresh)} // the one that stays gave way: fresh ones have time to speak
		newcomer := dial()
		assert.Equal(t, "refused", need.Asked(t, newcomer).Kind, "where all have a GET under way the newcomer is closed, with what came on it refused")
		_, err = newcomer.Read()
		require.ErrorIs(t, err, io.EOF)
		assert.Empty(t, h.calls)
		for _, c := range busy {
			c.Refuse(0)
		}
		need.Of(usual.Read())(t)
		s.Close()
		assert.Equal(t, "refused", need.Asked(t, usual).Kind, "what comes after the end of a drain")
		cancel()
		close(l.accepted)
		assert.NoError(t, <-ended)
	})
}

func TestMessagesMustEnd(t *testing.T) {
	whole := standin.Call("probe", 1, 1, []byte{2, 0, 1, 0})
	for name, tt := range map[string]struct {
		first []byte
		each  time.Duration // then a byte more as often as that
		want  time.Duration // until it is closed
	}{
		"nothing":                  {nil, 0, 2 * time.Second},
		"a message that trickles":  {whole[:4], 900 * time.Millisecond, 2 * time.Second},
		"a message, and then none": {whole, 0, 5 * time.Second},
		"a part of a second one":   {append(whole, whole[:7]...), 0, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, l, ended := server(&handler{}, 1), pipes{accepted: make(chan net.Conn)}, make(chan error)
				go func() { ended <- s.Serve(t.Context(), l) }()
				client, server := net.Pipe()
				l.accepted <- server
				close(l.accepted)
				began := time.Now()
				var writer sync.WaitGroup
				defer writer.Wait()
				writer.Go(func() {
					_, err := client.Write(tt.first)
					for err == nil && tt.each > 0 {
						time.Sleep(tt.each)
						_, err = client.Write([]byte{0})
					}
				})
				_, _ = io.Copy(io.Discard, client)
				assert.Equal(t, tt.want, time.Since(began))
				assert.NoError(t, <-ended)
			})
		})
	}
}
