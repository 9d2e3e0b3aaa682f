package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"elderwall/internal/counters"
	"elderwall/internal/lines"
	"elderwall/internal/room"
	"elderwall/internal/standin"
)

// fleet is so many hosts with places for so many connections.
func fleet(t *testing.T, hosts, places int, answer func(standin.Ask) string) ([]*Host, *Options) {
	ctx, cancel := context.WithCancel(context.Background())
	group := &errgroup.Group{}
	o := &Options{Log: zerolog.Nop(), Counts: &counters.Counters{}, Room: room.New(1 << 24), Dialer: net.Dialer{Timeout: time.Second},
		IdleClose: time.Minute, Streams: 10, Places: NewPlaces(places), Context: ctx, Group: group}
	o.PerHost.Store(2)
	var all []*Host
	for range hosts {
		s, err := standin.Listen("127.0.0.1:0", answer)
		require.NoError(t, err)
		t.Cleanup(s.Close)
		all = append(all, New(s.Address, o, 0))
	}
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, group.Wait())
		assert.Zero(t, o.Places.Taken(), "all places are given back")
	})
	return all, o
}

func forward(id int, done func(Result)) *Forward {
	return &Forward{Request: lines.Request{ID: fmt.Sprintf("%016x", id), Service: "segment", Object: "7f3a9c21e0b4d655", Part: "0", Budget: 1000}, Done: done}
}

func TestMoreHostsThanPlaces(t *testing.T) {
	hosts, o := fleet(t, 120, 16, func(a standin.Ask) string {
		if a.Stop {
			return ""
		}
		return standin.Hit(a.ID, "x")
	})
	var mu sync.Mutex
	ended, full := map[Stage]int{}, 0
	for round := range 60 { // more hosts than places are asked at a time, some of them often
		var all sync.WaitGroup
		for i := range 24 {
			h := hosts[(round*17+i*5)%len(hosts)]
			if i%3 == 0 {
				h = hosts[i%4]
			}
			all.Add(1)
			err := h.Send(forward(round*100+i, func(r Result) {
				mu.Lock()
				ended[r.Stage]++
				mu.Unlock()
				o.Room.Give(len(r.Answer.Body))
				all.Done()
			}))
			if err != nil {
				assert.ErrorIs(t, err, ErrFull)
				full++
				all.Done()
			}
			assert.LessOrEqual(t, o.Places.Taken(), 16)
		}
		all.Wait()
	}
	assert.Equal(t, map[Stage]int{Answered: 60*24 - full}, ended, "no host is blamed: all that was sent was answered")
	assert.Less(t, full, 60*24/2)
	assert.Greater(t, o.Counts.HostGaveWay.Load(), int64(100))
}

func TestAConnectionThatSomethingIsOutOnDoesNotGiveWay(t *testing.T) {
	release := make(chan bool)
	hosts, o := fleet(t, 3, 2, func(a standin.Ask) string { <-release; return standin.Hit(a.ID, "x") })
	done := make(chan Result, 3)
	for i, h := range hosts[:2] {
		require.NoError(t, h.Send(forward(i, func(r Result) { done <- r })))
	}
	assert.ErrorIs(t, hosts[2].Send(forward(3, func(Result) {})), ErrFull)
	close(release)
	for range 2 {
		assert.Equal(t, Answered, (<-done).Stage)
	}
	require.NoError(t, hosts[2].Send(forward(4, func(r Result) { done <- r })), "now one of them is idle")
	assert.Equal(t, Answered, (<-done).Stage)
	assert.EqualValues(t, 1, o.Counts.HostGaveWay.Load())
	o.Room.Give(3)
}

// Connections that fail for want of something of ours are told apart: no host is to blame for them.
func TestOurOwnLimitIsToldApart(t *testing.T) {
	for _, tt := range []struct {
		err error
		own bool
	}{{syscall.EMFILE, true}, {syscall.ENFILE, true}, {syscall.EADDRNOTAVAIL, true}, {syscall.ECONNREFUSED, false}, {syscall.EHOSTUNREACH, false}} {
		hosts, o := fleet(t, 1, 4, func(standin.Ask) string { return "" })
		o.Dialer.Control = func(string, string, syscall.RawConn) error { return tt.err }
		ended := make(chan Result, 1)
		require.NoError(t, hosts[0].Send(forward(1, func(r Result) { ended <- r })))
		r := <-ended
		assert.Equal(t, NotConnected, r.Stage)
		assert.Equal(t, tt.own, errors.Is(r.Err, ErrOwn), "%v", r.Err)
	}
}

func TestAHostWithAnAddressInIPv6(t *testing.T) {
	s, err := standin.Listen("[::1]:0", func(a standin.Ask) string { return standin.Hit(a.ID, "x") })
	if err != nil {
		t.Skip("this machine has no IPv6 loopback")
	}
	t.Cleanup(s.Close)
	_, o := fleet(t, 0, 4, nil)
	ended := make(chan Result, 1)
	require.NoError(t, New(s.Address, o, 0).Send(forward(1, func(r Result) { ended <- r })))
	assert.Equal(t, Answered, (<-ended).Stage)
}

// Connections that would be too many in a time are not begun: their forwards find no place, and go elsewhere.
func TestConnectionsAreBegunAtAPace(t *testing.T) {
	hosts, o := fleet(t, 3, 1000, func(a standin.Ask) string { return standin.Hit(a.ID, "x") })
	o.Dials = NewDials()
	for o.Dials.begin() {
	}
	var all sync.WaitGroup
	all.Add(1)
	err := hosts[0].Send(forward(1, func(Result) { all.Done() }))
	if err == nil { // the pace had given one more by then
		all.Wait()
	} else {
		assert.ErrorIs(t, err, ErrFull)
		assert.Positive(t, o.Counts.DialsHeld.Load())
	}
	late := New(hosts[1].address, o, time.Hour)
	assert.ErrorIs(t, late.Send(forward(2, nil)), ErrFull, "its first connection waits")
	time.Sleep(20 * time.Millisecond)
	ended := make(chan Result, 1)
	require.NoError(t, hosts[2].Send(forward(3, func(r Result) { ended <- r })))
	assert.Equal(t, Answered, (<-ended).Stage)
}
