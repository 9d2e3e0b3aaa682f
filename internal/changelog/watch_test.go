package changelog_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/changelog"
	"elderwall/internal/standin/need"
)

const (
	head  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	slack = 700 * time.Millisecond // of a busy machine
)

// run has a follower follow until the test ends.
func run(t *testing.T, f *changelog.Follower, known int64) {
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { assert.NoError(t, f.Follow(ctx, changelog.Known{Seq: known})) })
	t.Cleanup(func() { cancel(); all.Wait() })
}

// watch takes the next connection of a follower with its request, and gives the last event that it names.
func watch(t *testing.T, l net.Listener, within time.Duration) (c net.Conn, last string) {
	t.Helper()
	require.NoError(t, l.(*net.TCPListener).SetDeadline(time.Now().Add(within)))
	c = need.Of(l.Accept())(t)
	t.Cleanup(func() { _ = c.Close() })
	return c, need.Of(http.ReadRequest(bufio.NewReader(c)))(t).Header.Get("Last-Event-ID")
}

// repeat writes a text over and over, until that fails or the test ends.
func repeat(t *testing.T, c net.Conn, each time.Duration, text string) {
	ended := make(chan bool)
	var all sync.WaitGroup
	all.Go(func() {
		for {
			select {
			case <-time.After(each):
			case <-ended:
				return
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	})
	t.Cleanup(func() { close(ended); _ = c.Close(); all.Wait() })
}

func event(seq int64) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", seq, purge(seq)) }

// A watch that stays open and brings nothing whole any more is left in time for another one before what it had to say counts as told.
func TestAWatchThatBringsNothingIsLeft(t *testing.T) {
	for _, tt := range []struct {
		name, first, text string // what comes once, and then over and over
		most              time.Duration
	}{
		{"no byte ever", "", "", changelog.Silence},
		{"half a head", "HTTP/1.1 200 OK\r\nContent", "", changelog.Silence},
		{"a head that trickles", "HTTP/1.1 200 OK\r\n", "x", changelog.WholeIn},
		{"headers without end", "HTTP/1.1 200 OK\r\n", "X: y\r\n", changelog.WholeIn},
		{"silent behind the head", head, "", changelog.Silence},
		{"silent behind an event", head + event(2), "", changelog.Silence},
		{"silent within an event", head + "id: 2\ndata: {", "", changelog.Silence},
		{"an event that trickles", head + event(2) + "data: {", " ", changelog.WholeIn},
		{"an event that trickles, with comments between", head + "data: {\n", ": here\ndata: \n", changelog.WholeIn},
		{"a comment that trickles", head + ":", " ", changelog.WholeIn},
		{"a chunk's head that trickles", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0", changelog.WholeIn},
		{"a trailer without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", changelog.WholeIn},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			l := need.Listener(t)
			follow(t, l.Addr().String())
			c, _ := watch(t, l, time.Second)
			need.Of(io.WriteString(c, tt.first))(t)
			start := time.Now()
			if tt.text != "" {
				repeat(t, c, 300*time.Millisecond, tt.text)
			}
			watch(t, l, tt.most+2*changelog.RetryMin+slack)
			assert.Greater(t, time.Since(start), tt.most-slack, "and not before")
		})
	}
}

// Comments alone are a sound watch: whether events should have come can't be known.
func TestAWatchWithCommentsAloneIsKept(t *testing.T) {
	t.Parallel()
	l := need.Listener(t)
	got := follow(t, l.Addr().String())
	c, _ := watch(t, l, time.Second)
	need.Of(io.WriteString(c, head))(t)
	ended := time.After(changelog.WholeIn + slack)
	for {
		need.Of(io.WriteString(c, ": here\n\n"))(t)
		select {
		case <-time.After(time.Second):
			continue
		case <-ended:
		}
		break
	}
	need.Of(io.WriteString(c, event(2)))(t)
	assert.EqualValues(t, 2, (<-got).Seq)
}

// A change log that needs longer for its first byte than a silent one is given, as under the load of a whole fleet that starts, is heard.
func TestASlowChangeLogIsHeard(t *testing.T) {
	t.Parallel()
	l := need.Listener(t)
	got := follow(t, l.Addr().String())
	var all sync.WaitGroup
	t.Cleanup(all.Wait)
	t.Cleanup(func() { _ = l.Close() })
	all.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			all.Go(func() {
				defer func() { _ = c.Close() }()
				time.Sleep(changelog.Silence + 500*time.Millisecond)
				_, _ = io.WriteString(c, head+event(2))
				_, _ = io.Copy(io.Discard, c)
			})
		}
	})
	select {
	case e := <-got:
		assert.EqualValues(t, 2, e.Seq)
	case <-time.After(2*changelog.Silence + changelog.RetryMax + slack):
		assert.Fail(t, "never heard")
	}
}

// What was read of a change log that was left is not taken; the new one is asked for it.
func TestNothingIsTakenOfAChangeLogThatWasLeft(t *testing.T) {
	l, next := need.Listener(t), need.Listener(t)
	got, held, moves := make(chan int64, 10), make(chan bool), make(chan string)
	run(t, &changelog.Follower{Address: l.Addr().String(), Moves: moves, Log: zerolog.Nop(), Take: func(e changelog.Event) {
		got <- e.Seq
		if e.Seq == 2 {
			<-held
		}
	}}, 1)
	c, _ := watch(t, l, time.Second)
	need.Of(io.WriteString(c, head+event(2)+event(3)+event(4)))(t)
	require.EqualValues(t, 2, <-got)
	moves <- next.Addr().String()
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err, "the old one is left")
	close(held)
	c, last := watch(t, next, time.Second)
	assert.Equal(t, "2", last)
	need.Of(io.WriteString(c, head+event(3)))(t)
	assert.EqualValues(t, 3, <-got)
	assert.Empty(t, got)
}

// Moves in quick succession, by way of one that never answers and one that nobody listens at, end at the last one at once.
func TestMovesInQuickSuccession(t *testing.T) {
	l, deaf, closed := need.Listener(t), need.Listener(t), need.Listener(t)
	_ = closed.Close()
	got, moves := make(chan int64, 10), make(chan string)
	run(t, &changelog.Follower{Address: l.Addr().String(), Moves: moves, Log: zerolog.Nop(), Take: func(e changelog.Event) { got <- e.Seq }}, 1)
	for seq := int64(2); seq < 6; seq++ {
		c, last := watch(t, l, 2*changelog.RetryMin+slack)
		assert.Equal(t, fmt.Sprint(seq-1), last)
		need.Of(io.WriteString(c, head+event(seq)))(t)
		require.Equal(t, seq, <-got)
		for _, address := range []net.Listener{deaf, closed, l} {
			moves <- address.Addr().String()
		}
		_, err := c.Read(make([]byte, 1))
		require.Error(t, err, "the old one is left")
	}
}

// The first event, which is the whole list, is asked for again like any other that is missing.
func TestTheFirstEventIsAskedForAgain(t *testing.T) {
	l := need.Listener(t)
	got := make(chan int64, 10)
	run(t, &changelog.Follower{Address: l.Addr().String(), Log: zerolog.Nop(), Take: func(e changelog.Event) { got <- e.Seq }}, 0)
	c, _ := watch(t, l, time.Second)
	need.Of(io.WriteString(c, head+event(2)))(t)
	c, last := watch(t, l, 2*changelog.RetryMin+slack)
	assert.Equal(t, "0", last)
	need.Of(io.WriteString(c, head+event(1)+event(2)))(t)
	assert.Equal(t, []int64{1, 2}, []int64{<-got, <-got})
}

// An event whose taker panics is asked for once more, and passed over if it panics again: the process goes on.
func TestATakerThatPanics(t *testing.T) {
	l := need.Listener(t)
	got, times := make(chan int64, 10), map[int64]int{}
	run(t, &changelog.Follower{Address: l.Addr().String(), Log: zerolog.Nop(), Take: func(e changelog.Event) {
		if times[e.Seq]++; e.Seq == 3 && times[3] == 1 || e.Seq == 5 {
			panic("broken")
		}
		got <- e.Seq
	}}, 1)
	for _, want := range []string{"1", "2", "4"} {
		c, last := watch(t, l, 2*changelog.RetryMin+slack)
		assert.Equal(t, want, last)
		need.Of(io.WriteString(c, head+event(2)+event(3)+event(4)+event(5)+event(6)))(t)
	}
	assert.Equal(t, []int64{2, 3, 4, 6}, []int64{<-got, <-got, <-got, <-got})
}

// A change log that answers, and ends before it says anything of use, is not asked without a pause.
func TestAChangeLogThatEndsAtOnceIsLeftInPeace(t *testing.T) {
	t.Parallel()
	l := need.Listener(t)
	follow(t, l.Addr().String())
	end, asked := time.Now().Add(3*time.Second), 0
	for ; ; asked++ {
		require.NoError(t, l.(*net.TCPListener).SetDeadline(end))
		c, err := l.Accept()
		if err != nil {
			break
		}
		need.Of(http.ReadRequest(bufio.NewReader(c)))(t)
		need.Of(io.WriteString(c, head+": here\n\n"))(t)
		_ = c.Close()
	}
	assert.Less(t, asked, 12, "from 25 ms to a second between")
	assert.Greater(t, asked, 3)
}

// Of a fleet whose change log was down all come back within a second of its return, and not at once.
func TestTheHerdComesBackSpread(t *testing.T) {
	chance := rand.New(rand.NewPCG(1, 2))
	const fleet, down = 1000, 8 * time.Second
	var back [20]int // by 50 ms
	for range fleet {
		at, wait := time.Duration(0), changelog.RetryMin
		for at < down {
			pause := changelog.Spread(wait, chance.Float64())
			require.LessOrEqual(t, pause, changelog.RetryMax)
			require.GreaterOrEqual(t, pause, changelog.RetryMin/2)
			at, wait = at+pause, min(2*wait, changelog.RetryMax)
		}
		back[(at-down)/(50*time.Millisecond)]++
	}
	for _, n := range back {
		assert.Less(t, n, fleet/8, "in any 50 ms")
	}
	longest := changelog.ConnectIn + changelog.RetryMax // one attempt was lost in the last moment
	assert.Less(t, changelog.WholeIn+2*changelog.RetryMin, 7*time.Second, "an event that trickles")
	assert.Less(t, changelog.Silence+longest+2*changelog.RetryMin, 7*time.Second, "silence, and an attempt that is lost")
	assert.Less(t, changelog.Silence*5/2+2*changelog.RetryMax/5, 7*time.Second, "silence, and a log that takes the next one and is silent too")
}

// A change log that was down from the start on is followed soon after it is there.
func TestAChangeLogThatComesLate(t *testing.T) {
	t.Parallel()
	l := need.Listener(t)
	address := l.Addr().String()
	_ = l.Close()
	var lost atomic.Int64
	log := zerolog.New(io.Discard).Hook(zerolog.HookFunc(func(_ *zerolog.Event, _ zerolog.Level, text string) {
		if strings.Contains(text, "lost") {
			lost.Add(1)
		}
	}))
	got := make(chan int64, 10)
	run(t, &changelog.Follower{Address: address, Log: log, Take: func(e changelog.Event) { got <- e.Seq }}, 0)
	time.Sleep(2 * time.Second) // the pauses have grown to their longest
	l = need.Of(net.Listen("tcp", address))(t)
	t.Cleanup(func() { _ = l.Close() })
	c, _ := watch(t, l, changelog.RetryMax+slack)
	need.Of(io.WriteString(c, head+event(1)))(t)
	assert.EqualValues(t, 1, <-got)
	assert.EqualValues(t, 1, lost.Load(), "one line for the whole stretch")
}
