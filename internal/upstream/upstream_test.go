package upstream_test

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"elderwall/internal/hostproto"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/rig"
	"elderwall/internal/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// options are those of a host for one test, at whose end nothing may be left of it.
func options(t *testing.T) *upstream.Options {
	o, _ := rig.Life(t)
	o.Dialer.Timeout, o.Streams, o.Places = time.Minute, 3, upstream.NewPlaces(1000)
	o.PerHost.Store(2)
	return o
}

// host is one for a stand-in, which ends before it does.
func host(t *testing.T, o *upstream.Options, answer func(standin.Ask) string) *upstream.Host {
	return upstream.New(need.Host(t, answer).Address, o, 0)
}

// asking is a stand-in that tells what it is asked, and answers nothing.
func asking(answer func(standin.Ask) string) (chan standin.Ask, func(standin.Ask) string) {
	asked := make(chan standin.Ask, 10)
	return asked, func(a standin.Ask) string { asked <- a; return answer(a) }
}

func silent(standin.Ask) string { return "" }

// fleet is so many hosts with places for so many connections.
func fleet(t *testing.T, hosts, places int, answer func(standin.Ask) string) (all []*upstream.Host, o *upstream.Options) {
	o = options(t)
	o.Streams, o.Places = 10, upstream.NewPlaces(places)
	t.Cleanup(func() { need.Soon(t, func() bool { return o.Places.Taken() == 0 }, "all places are given back") })
	for range hosts {
		all = append(all, host(t, o, answer))
	}
	return all, o
}

func forward(id, body string) (*upstream.Forward, chan upstream.Result) {
	done := make(chan upstream.Result, 2)
	return &upstream.Forward{
		Request: hostproto.Request{ID: id, Service: "s", Object: "o", Part: "0", Budget: 1, Body: []byte(body)},
		Done:    func(r upstream.Result) { done <- r },
	}, done
}

// sent is a forward that a host has taken.
func sent(t *testing.T, h *upstream.Host, id string) (*upstream.Forward, chan upstream.Result) {
	f, done := forward(id, "")
	require.NoError(t, h.Send(f))
	return f, done
}

// end waits for a forward's end, and gives its room back.
func end(h *upstream.Host, done chan upstream.Result) upstream.Result {
	r := <-done
	h.Room.Give(len(r.Answer.Body))
	return r
}

// full checks that a host takes nothing more.
func full(t *testing.T, h *upstream.Host, why string) {
	f, _ := forward("full", "")
	assert.ErrorIs(t, h.Send(f), upstream.ErrFull, why)
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
		{
			"a body with no room", func(a standin.Ask) string { return standin.Hit(a.ID, strings.Repeat("x", 2000)) },
			upstream.AnswerBegun, upstream.ErrRoom,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			o := options(t)
			o.Room.Take(1<<24 - 1000)
			defer o.Room.Give(1<<24 - 1000)
			h := host(t, o, tt.handle)
			f, done := sent(t, h, "a")
			r := end(h, done)
			assert.Equal(t, tt.want, r.Stage)
			assert.True(t, f.Written())
			assert.Equal(t, tt.want == upstream.Answered, r.Err == nil)
			if tt.err != nil {
				assert.ErrorIs(t, r.Err, tt.err)
			}
		})
	}
}

func TestWhatNeverReachedItsHost(t *testing.T) {
	closed, deaf := need.Host(t, nil), need.Listener(t) // which takes connections and reads nothing
	closed.Close()
	for _, tt := range []struct {
		name, address, body string
		timeout             time.Duration
		want                upstream.Stage
	}{
		{"a refused connection", closed.Address, "", time.Minute, upstream.NotConnected},
		{"a connection that is not up in time", deaf.Addr().String(), "", time.Nanosecond, upstream.NotConnected},
		{"a request of which only a part was written", deaf.Addr().String(), strings.Repeat("x", 64<<20), time.Minute, upstream.PartlyWritten},
	} {
		t.Run(tt.name, func(t *testing.T) {
			o := options(t)
			o.Dialer.Timeout = tt.timeout
			h := upstream.New(tt.address, o, 0)
			f, done := forward("a", tt.body)
			require.NoError(t, h.Send(f))
			if tt.want == upstream.PartlyWritten {
				c := need.Of(deaf.Accept())(t)
				need.Of(c.Read(make([]byte, 1)))(t) // it has begun
				_ = c.Close()
			}
			assert.Equal(t, tt.want, (<-done).Stage)
			assert.False(t, f.Written())
		})
	}
}

func TestAnIdThatWasStoppedGoesOutAgainBehindItsStop(t *testing.T) {
	asked, answer := asking(func(a standin.Ask) string {
		switch {
		case a.Stop:
			return standin.Hit(a.ID, "to the first") // it crosses the stop
		case a.Fields["up"] == "other":
			return standin.Hit(a.ID, "to the second")
		}
		return ""
	})
	h := host(t, options(t), answer)
	first, done := sent(t, h, "a")
	out := <-asked
	first.Stop()
	first.Stop() // once is enough
	again, doneAgain := forward("a", "")
	again.Request.Source = "other"
	require.NoError(t, h.Send(again))
	stopped, resent := <-asked, <-asked
	assert.Equal(t, []any{"a", true, false}, []any{stopped.ID, stopped.Stop, resent.Stop})
	assert.Same(t, out.Conn, stopped.Conn)
	assert.Same(t, out.Conn, resent.Conn, "on another connection it could overtake the stop, which would end it")
	assert.Equal(t, "to the second", string(end(h, doneAgain).Answer.Body))
	assert.Empty(t, done, "nothing is told of what was stopped")
}

func TestConnectionsAreBounded(t *testing.T) {
	asked, answer := asking(silent)
	h, conns := host(t, options(t), answer), map[net.Conn]int{}
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		sent(t, h, id)
		conns[(<-asked).Conn]++
	}
	require.Len(t, conns, 2)
	for _, n := range conns {
		assert.Equal(t, 3, n, "all are used alike, as all that is out on one ends with it")
	}
	full(t, h, "all are")
}

func TestAConnectionThatBreaksEndsItsForwardsAlone(t *testing.T) {
	for name, spoilt := range map[string]string{
		"noise": "\xd3:\xec\r\n", "a line with no end": "a HIT -", "a body that stops": "a HIT - 10\r\n12345",
		"a length that is too long": "a HIT - 10\r\n12345\r\n", "3 GB": "a HIT - 3000000000\r\n12345",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan bool)
			asked, answer := asking(func(a standin.Ask) string {
				if a.ID == "a" {
					return spoilt
				}
				<-release
				return standin.Answer("x", "HIT", "-", "for nobody") + standin.Hit("b", "bytes") + standin.Hit("b", "twice")
			})
			h := host(t, options(t), answer)
			_, doneB := sent(t, h, "b")
			<-asked
			_, doneA := sent(t, h, "a")
			assert.NotEqual(t, upstream.Answered, (<-doneA).Stage)
			close(release)
			assert.Equal(t, "bytes", string(end(h, doneB).Answer.Body))
		})
	}
}

func TestAnIdThatWasStoppedWaitsForNoOtherConnection(t *testing.T) {
	o := options(t)
	o.Streams = 1
	asked, answer := asking(silent)
	h := host(t, o, answer)
	first, _ := sent(t, h, "a")
	<-asked
	first.Stop()
	sent(t, h, "a")
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
		{"at once when their host is gone", 0, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := host(t, options(t), standin.Hits(""))
			f, done := sent(t, h, "a")
			<-done
			if tt.leave {
				assert.True(t, h.Leave())
				assert.ErrorIs(t, h.Send(f), upstream.ErrGone)
			}
			h.Sweep(time.Now().Add(tt.after))
			if !tt.leave {
				_, again := sent(t, h, "b")
				<-again
			}
			assert.Equal(t, map[bool]int64{true: 2, false: 1}[tt.closed && !tt.leave], h.Counts.HostConnections.Load())
		})
	}
}

func TestAHostThatIsGoneAnswersWhatIsOut(t *testing.T) {
	release := make(chan bool)
	h := host(t, options(t), func(a standin.Ask) string { <-release; return standin.Hit(a.ID, "") })
	_, done := sent(t, h, "a")
	assert.False(t, h.Leave())
	close(release)
	assert.Equal(t, upstream.Answered, (<-done).Stage)
	assert.True(t, h.Leave())
}

func TestASilentConnectionTakesNoMore(t *testing.T) {
	asked, answer := asking(func(a standin.Ask) string { return map[bool]string{true: standin.Hit(a.ID, "")}[a.ID == "b"] })
	h := host(t, options(t), answer)
	h.PerHost.Store(1)
	f, _ := sent(t, h, "a")
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
	deaf, o := need.Listener(t), options(t)
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

func TestMoreHostsThanPlaces(t *testing.T) {
	hosts, o := fleet(t, 120, 16, standin.Hits("x"))
	ended, full := map[upstream.Stage]int{}, 0
	for round := range 60 { // more hosts than places are asked at a time, some of them often
		out := []chan upstream.Result{}
		for i := range 24 {
			h := hosts[(round*17+i*5)%len(hosts)]
			if i%3 == 0 {
				h = hosts[i%4]
			}
			f, done := forward(fmt.Sprintf("%016x", round*100+i), "")
			if err := h.Send(f); err == nil {
				out = append(out, done)
			} else {
				assert.ErrorIs(t, err, upstream.ErrFull)
				full++
			}
			assert.LessOrEqual(t, o.Places.Taken(), 16)
		}
		for _, done := range out {
			ended[end(hosts[0], done).Stage]++
		}
	}
	assert.Equal(t, map[upstream.Stage]int{upstream.Answered: 60*24 - full}, ended, "no host is blamed: all that was sent was answered")
	assert.Less(t, full, 60*24/2)
	assert.Greater(t, o.Counts.HostGaveWay.Load(), int64(100))
}

func TestAConnectionThatSomethingIsOutOnDoesNotGiveWay(t *testing.T) {
	release := make(chan bool)
	hosts, o := fleet(t, 3, 2, func(a standin.Ask) string { <-release; return standin.Hit(a.ID, "x") })
	_, a := sent(t, hosts[0], "a")
	_, b := sent(t, hosts[1], "b")
	full(t, hosts[2], "both are in use")
	close(release)
	for i, done := range []chan upstream.Result{a, b} {
		assert.Equal(t, upstream.Answered, end(hosts[i], done).Stage)
	}
	answered(t, hosts[2])
	assert.EqualValues(t, 1, o.Counts.HostGaveWay.Load())
}

// Connections that fail for want of something of ours are told apart: no host is to blame for them.
func TestOurOwnLimitIsToldApart(t *testing.T) {
	for _, tt := range []struct {
		err error
		own bool
	}{
		{syscall.EMFILE, true},
		{syscall.ENFILE, true},
		{syscall.ENOBUFS, true},
		{syscall.ENOMEM, true},
		{syscall.EADDRNOTAVAIL, true},
		{syscall.EAGAIN, true},
		{syscall.ENETUNREACH, true},
		{syscall.ENETDOWN, true},
		{syscall.EPERM, true},
		{syscall.EINTR, true},
		{syscall.ECONNREFUSED, false},
		{syscall.EHOSTUNREACH, false},
		{syscall.ETIMEDOUT, false},
		{syscall.ECONNRESET, false},
	} {
		hosts, o := fleet(t, 1, 4, silent)
		o.Dialer.Control = func(string, string, syscall.RawConn) error { return tt.err }
		_, done := sent(t, hosts[0], "a")
		r := <-done
		assert.Equal(t, []any{upstream.NotConnected, tt.own}, []any{r.Stage, errors.Is(r.Err, upstream.ErrOwn)}, "%v", r.Err)
	}
}

func TestAHostWithAnAddressInIPv6(t *testing.T) {
	s, err := standin.Listen("[::1]:0", standin.Hits("x"))
	if err != nil {
		t.Skip("this machine has no IPv6 loopback")
	}
	t.Cleanup(s.Close)
	answered(t, upstream.New(s.Address, options(t), 0))
}

// answered sends a forward that must be answered.
func answered(t *testing.T, h *upstream.Host) {
	_, done := sent(t, h, "a")
	assert.Equal(t, upstream.Answered, end(h, done).Stage)
}

// Connections that would be too many in a time are not begun: their forwards find no place, and go elsewhere.
func TestConnectionsAreBegunAtAPace(t *testing.T) {
	hosts, o := fleet(t, 2, 1000, standin.Hits("x"))
	o.Dials = upstream.NewDials()
	o.Dials.Exhaust()
	f, done := forward("a", "")
	if err := hosts[0].Send(f); err == nil { // the pace had given one more by then
		end(hosts[0], done)
	} else {
		assert.ErrorIs(t, err, upstream.ErrFull)
		assert.Positive(t, o.Counts.DialsHeld.Load())
	}
	full(t, upstream.New("127.0.0.1:1", o, time.Hour), "its first connection waits")
	time.Sleep(20 * time.Millisecond)
	answered(t, hosts[1])
}
