package upstream_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"elderwall/internal/counters"
	"elderwall/internal/lines"
	"elderwall/internal/room"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const bytesOfRoom = 1000

// options are those of a host for one test, at whose end nothing may be left of it.
func options(t *testing.T) *upstream.Options {
	ctx, cancel := context.WithCancel(context.Background())
	group := &errgroup.Group{}
	o := &upstream.Options{Log: zerolog.Nop(), Counts: &counters.Counters{}, Room: room.New(bytesOfRoom),
		Dialer: net.Dialer{Timeout: time.Minute}, IdleClose: time.Minute, Streams: 3, Context: ctx, Group: group}
	o.PerHost.Store(2)
	t.Cleanup(func() {
		cancel()
		require.NoError(t, group.Wait())
		assert.EqualValues(t, bytesOfRoom, o.Room.Left(), "all room is given back")
	})
	return o
}

// listen starts a stand-in host that ends before the options do.
func listen(t *testing.T, handle func(standin.Ask) string) *standin.Host {
	h := need.Of(standin.Listen("127.0.0.1:0", handle))(t)
	t.Cleanup(h.Close)
	return h
}

func forward(id, body string) (*upstream.Forward, chan upstream.Result) {
	done := make(chan upstream.Result, 2)
	return &upstream.Forward{Request: lines.Request{ID: id, Service: "s", Object: "o", Part: "0", Budget: 1, Body: []byte(body)},
		Done: func(r upstream.Result) { done <- r }}, done
}

func TestHowFarAForwardCame(t *testing.T) {
	closing := func(first string) func(standin.Ask) string {
		return func(a standin.Ask) string { _, _ = a.Conn.Write([]byte(first)); _ = a.Conn.Close(); return "" }
	}
	for _, tt := range []struct {
		name   string
		handle func(standin.Ask) string
		want   upstream.Stage
		err    error
	}{
		{"answered", func(a standin.Ask) string { return standin.Hit(a.ID, "x") }, upstream.Answered, nil},
		{"no answer before the end", closing(""), upstream.WrittenWhole, nil},
		{"an answer to another before the end", closing(standin.Hit("b", "x")), upstream.WrittenWhole, nil},
		{"half a head before the end", closing("a HIT -"), upstream.WrittenWhole, nil},
		{"half a body before the end", closing("a HIT - 10\r\n12345"), upstream.AnswerBegun, nil},
		{"a malformed answer", func(standin.Ask) string { return "a WHAT - 0\r\n\r\n" }, upstream.WrittenWhole, nil},
		{"a body with no room", func(a standin.Ask) string { return standin.Hit(a.ID, strings.Repeat("x", 2000)) },
			upstream.AnswerBegun, upstream.ErrRoom}} {
		t.Run(tt.name, func(t *testing.T) {
			o := options(t)
			h := upstream.New(listen(t, tt.handle).Address, o, 0)
			f, done := forward("a", "")
			require.NoError(t, h.Send(f))
			r := <-done
			assert.Equal(t, tt.want, r.Stage)
			assert.True(t, f.Written())
			assert.Equal(t, tt.want == upstream.Answered, r.Err == nil)
			if tt.err != nil {
				assert.ErrorIs(t, r.Err, tt.err)
			}
			o.Room.Give(len(r.Answer.Body))
		})
	}
}

func TestWhatNeverReachedItsHost(t *testing.T) {
	closed := listen(t, nil)
	closed.Close()
	deaf, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and reads nothing
	require.NoError(t, err)
	t.Cleanup(func() { _ = deaf.Close() })
	for _, tt := range []struct {
		name, address, body string
		timeout             time.Duration
		want                upstream.Stage
	}{
		{"a refused connection", closed.Address, "", time.Minute, upstream.NotConnected},
		{"a connection that is not up in time", deaf.Addr().String(), "", time.Nanosecond, upstream.NotConnected},
		{"a request of which only a part was written", deaf.Addr().String(), strings.Repeat("x", 64<<20), time.Minute, upstream.PartlyWritten}} {
		t.Run(tt.name, func(t *testing.T) {
			o := options(t)
			o.Dialer.Timeout = tt.timeout
			h := upstream.New(tt.address, o, 0)
			f, done := forward("a", tt.body)
			require.NoError(t, h.Send(f))
			if tt.want == upstream.PartlyWritten {
				c, err := deaf.Accept()
				require.NoError(t, err)
				one := make([]byte, 1)
				_, err = c.Read(one) // it has begun
				require.NoError(t, err)
				_ = c.Close()
			}
			assert.Equal(t, tt.want, (<-done).Stage)
			assert.False(t, f.Written())
		})
	}
}

func TestAnIdThatWasStoppedGoesOutAgainBehindItsStop(t *testing.T) {
	asked := make(chan standin.Ask, 10)
	host := listen(t, func(a standin.Ask) string {
		asked <- a
		switch {
		case a.Stop:
			return standin.Hit(a.ID, "to the first") // it crosses the stop
		case a.Fields["up"] == "other":
			return standin.Hit(a.ID, "to the second")
		}
		return ""
	})
	o := options(t)
	h := upstream.New(host.Address, o, 0)
	first, done := forward("a", "")
	require.NoError(t, h.Send(first))
	sent := <-asked
	first.Stop()
	first.Stop() // once is enough
	again, doneAgain := forward("a", "")
	again.Request.Source = "other"
	require.NoError(t, h.Send(again))
	stopped, resent := <-asked, <-asked
	assert.Equal(t, []any{"a", true, false}, []any{stopped.ID, stopped.Stop, resent.Stop})
	assert.Same(t, sent.Conn, stopped.Conn)
	assert.Same(t, sent.Conn, resent.Conn, "on another connection it could overtake the stop, which would end it")
	r := <-doneAgain
	assert.Equal(t, "to the second", string(r.Answer.Body))
	o.Room.Give(len(r.Answer.Body))
	assert.Empty(t, done, "nothing is told of what was stopped")
}

func TestConnectionsAreBounded(t *testing.T) {
	asked := make(chan standin.Ask, 10)
	h := upstream.New(listen(t, func(a standin.Ask) string { asked <- a; return "" }).Address, options(t), 0)
	conns := map[net.Conn]int{}
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		f, _ := forward(id, "")
		require.NoError(t, h.Send(f))
		conns[(<-asked).Conn]++
	}
	require.Len(t, conns, 2)
	for _, n := range conns {
		assert.Equal(t, 3, n, "all are used alike, as all that is out on one ends with it")
	}
	f, _ := forward("g", "")
	assert.ErrorIs(t, h.Send(f), upstream.ErrFull)
}

func TestAConnectionThatBreaksEndsItsForwardsAlone(t *testing.T) {
	for name, spoilt := range map[string]string{
		"noise": "\xd3:\xec\r\n", "a line with no end": "a HIT -", "a body that stops": "a HIT - 10\r\n12345",
		"a length that is too long": "a HIT - 10\r\n12345\r\n", "3 GB": "a HIT - 3000000000\r\n12345"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			asked, release, o := make(chan bool, 2), make(chan bool), options(t)
			h := upstream.New(listen(t, func(a standin.Ask) string {
				asked <- true
				if a.ID == "a" {
					return spoilt
				}
				<-release
				return standin.Answer("x", "HIT", "-", "for nobody") + standin.Hit("b", "bytes") + standin.Hit("b", "twice")
			}).Address, o, 0)
			b, doneB := forward("b", "")
			require.NoError(t, h.Send(b))
			<-asked
			a, doneA := forward("a", "")
			require.NoError(t, h.Send(a))
			assert.NotEqual(t, upstream.Answered, (<-doneA).Stage)
			close(release)
			r := <-doneB
			assert.Equal(t, "bytes", string(r.Answer.Body))
			o.Room.Give(len(r.Answer.Body))
		})
	}
}

func TestAnIdThatWasStoppedWaitsForNoOtherConnection(t *testing.T) {
	o := options(t)
	o.Streams = 1
	asked := make(chan standin.Ask, 10)
	h := upstream.New(listen(t, func(a standin.Ask) string { asked <- a; return "" }).Address, o, 0)
	first, _ := forward("a", "")
	require.NoError(t, h.Send(first))
	<-asked
	first.Stop()
	second, _ := forward("a", "")
	require.NoError(t, h.Send(second))
	third, _ := forward("a", "")
	assert.ErrorIs(t, h.Send(third), upstream.ErrFull, "its one stream is taken")
	assert.EqualValues(t, 1, o.Counts.HostConnections.Load())
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	for _, tt := range []struct {
		name          string
		after         time.Duration
		leave, closed bool
	}{
		{"while hosts keep them", 40 * time.Second, false, false},
		{"before hosts close them", 46 * time.Second, false, true},
		{"at once when their host is gone", 0, true, true}} {
		t.Run(tt.name, func(t *testing.T) {
			host := listen(t, func(a standin.Ask) string { return standin.Hit(a.ID, "") })
			h := upstream.New(host.Address, options(t), 0)
			f, done := forward("a", "")
			require.NoError(t, h.Send(f))
			<-done
			if tt.leave {
				assert.True(t, h.Leave())
				assert.ErrorIs(t, h.Send(f), upstream.ErrGone)
			}
			h.Sweep(time.Now().Add(tt.after))
			again, doneAgain := forward("b", "")
			if !tt.leave {
				require.NoError(t, h.Send(again))
				<-doneAgain
			}
			assert.Equal(t, map[bool]int64{true: 2, false: 1}[tt.closed && !tt.leave], h.Counts.HostConnections.Load())
		})
	}
}

func TestAHostThatIsGoneAnswersWhatIsOut(t *testing.T) {
	release := make(chan bool)
	h := upstream.New(listen(t, func(a standin.Ask) string { <-release; return standin.Hit(a.ID, "") }).Address, options(t), 0)
	f, done := forward("a", "")
	require.NoError(t, h.Send(f))
	assert.False(t, h.Leave())
	close(release)
	assert.Equal(t, upstream.Answered, (<-done).Stage)
	assert.True(t, h.Leave())
}

func TestASilentConnectionTakesNoMore(t *testing.T) {
	asked := make(chan standin.Ask, 10)
	h := upstream.New(listen(t, func(a standin.Ask) string {
		asked <- a
		return map[bool]string{true: standin.Hit(a.ID, "")}[a.ID == "b"]
	}).Address, options(t), 0)
	h.PerHost.Store(1)
	f, _ := forward("a", "")
	require.NoError(t, h.Send(f))
	<-asked
	f.Stop()
	b, done := forward("b", "")
	for h.Send(b) != nil { // until the connection has answered the question whether it works
	}
	assert.Equal(t, upstream.Answered, (<-done).Stage)
	assert.EqualValues(t, 1, h.Counts.HostConnections.Load())
}

// What waits behind another can be taken back, what has begun can't; of what is taken back nothing goes out and nothing is told.
func TestWhatHasNotBegunIsTakenBack(t *testing.T) {
	deaf := need.Of(net.Listen("tcp", "127.0.0.1:0"))(t)
	t.Cleanup(func() { _ = deaf.Close() })
	o := options(t)
	o.PerHost.Store(1)
	h := upstream.New(deaf.Addr().String(), o, 0)
	begun, _ := forward("begun", strings.Repeat("x", 64<<20))
	waits, done := forward("waits", "")
	require.NoError(t, h.Send(begun))
	require.NoError(t, h.Send(waits))
	c := need.Of(deaf.Accept())(t)
	need.Of(c.Read(make([]byte, 1)))(t)
	assert.Equal(t, []bool{false, true, false}, []bool{begun.TakeBack(), waits.TakeBack(), waits.TakeBack()})
	again, _ := forward("waits", "")
	require.NoError(t, h.Send(again), "its id and its stream are free")
	_ = c.Close()
	assert.Empty(t, done)
}
