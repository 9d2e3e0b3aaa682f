package downstream_test

import (
	"context"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"elderwall/internal/call"
	"elderwall/internal/downstream"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
)

// half writes half a probe, and waits until the server has read it; rest is what it lacks.
func half(t *testing.T, s *downstream.Server, c *standin.Client) (rest []byte) {
	probe := standin.Call("probe", 1, 9, []byte{2, 0, 1, 0})
	before := s.Counts.ClientBytesIn.Load()
	need.Of(c.Conn.Write(probe[:7]))(t)
	need.Soon(t, func() bool { return s.Counts.ClientBytesIn.Load() == before+7 })
	return probe[7:]
}

func TestAMessageUnderWayIsNoReasonToGiveWay(t *testing.T) {
	h, l := &handler{calls: make(chan call.Call, 9), givenUp: make(chan call.Call, 9)}, need.Listener(t)
	s := &downstream.Server{Handler: h, Most: 4}
	serveOn(t, s, l)
	address := l.Addr().String()
	c, idle := need.Client(t, address), need.Client(t, address)
	rest := half(t, s, c)
	need.Of(idle.Probe())(t) // the other has sent nothing of use
	time.Sleep(downstream.SpeaksIn)
	for range 2 {
		need.Of(need.Client(t, address).Probe())(t)
	}
	_, err := idle.Read()
	assert.Error(t, err, "the one with nothing under way gave way")
	need.Of(c.Conn.Write(rest))(t)
	assert.True(t, need.Of(c.Read())(t).Good)
}

func TestADrainWaitsForAMessageUnderWay(t *testing.T) {
	_, s, address := serve(t, 4)
	c := need.Client(t, address)
	need.Of(c.Probe())(t)
	need.Soon(t, s.Quiet)
	rest := half(t, s, c)
	need.Soon(t, func() bool { return !s.Quiet() })
	need.Of(c.Conn.Write(rest))(t)
	assert.True(t, need.Of(c.Read())(t).Good)
	need.Soon(t, s.Quiet)
}

func TestALateMessageTakesNoOpenCallWithIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, ended := &handler{calls: make(chan call.Call, 9), givenUp: make(chan call.Call, 9)}, make(chan error)
		s, l := server(h, 4), pipes{accepted: make(chan net.Conn)}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { ended <- s.Serve(ctx, l) }()
		client, server := net.Pipe()
		l.accepted <- server
		c := &standin.Client{Conn: client}
		need.Sent(t, c)
		open, second := <-h.calls, whole(2)
		need.Of(client.Write(second[:9]))(t)
		time.Sleep(10 * time.Second) // a slow writer, whose first call still waits
		need.Of(client.Write(second[9:20]))(t)
		open.Refuse(0)
		assert.Equal(t, "refused", need.Of(c.Read())(t).Kind)
		began := time.Now()
		_, err := c.Read()
		assert.Error(t, err, "with nothing open a message that is late ends its connection")
		assert.LessOrEqual(t, time.Since(began), 4*time.Second)
		cancel()
		close(l.accepted)
		assert.NoError(t, <-ended)
	})
}

// A client that writes slowly is heard for as long as it would wait for an answer; the settings tell for how long that is.
func TestAMessageMayTakeAsLongAsItsClientWaits(t *testing.T) {
	for _, tt := range []struct {
		name           string
		longest, takes time.Duration
		heard          bool
	}{
		{"clients wait for longer", 6 * time.Second, 5 * time.Second, true},
		{"it takes longer than clients wait", 6 * time.Second, 7 * time.Second, false},
		{"clients wait for less than a message may take anyway", 100 * time.Millisecond, time.Second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h, ended := &handler{calls: make(chan call.Call, 9), givenUp: make(chan call.Call, 9)}, make(chan error)
				s, l := server(h, 4), pipes{accepted: make(chan net.Conn)}
				s.Longest = tt.longest
				ctx, cancel := context.WithCancel(t.Context())
				go func() { ended <- s.Serve(ctx, l) }()
				client, server := net.Pipe()
				l.accepted <- server
				probe := standin.Call("probe", 1, 9, []byte{2, 0, 1, 0})
				need.Of(client.Write(probe[:7]))(t)
				time.Sleep(tt.takes)
				_, err := client.Write(probe[7:])
				assert.Equal(t, tt.heard, err == nil)
				if tt.heard {
					assert.True(t, need.Of((&standin.Client{Conn: client}).Read())(t).Good)
				}
				_ = client.Close()
				cancel()
				close(l.accepted)
				assert.NoError(t, <-ended)
			})
		})
	}
}

// A message that was begun and left keeps its connection no longer than two seconds where others want a place.
func TestAMessageThatWasLeftGivesWay(t *testing.T) {
	h, l := &handler{calls: make(chan call.Call, 9), givenUp: make(chan call.Call, 9)}, need.Listener(t)
	s := &downstream.Server{Handler: h, Most: 4, Longest: time.Minute}
	serveOn(t, s, l)
	address := l.Addr().String()
	left := need.Client(t, address)
	half(t, s, left)
	time.Sleep(downstream.WholeIn)
	used := need.Client(t, address)
	need.Of(used.Probe())(t)
	for range 2 {
		need.Of(need.Client(t, address).Probe())(t)
	}
	_ = left.Conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := left.Read()
	assert.Error(t, err)
	assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "it sent nothing of use, and gave way")
	assert.True(t, need.Of(used.Probe())(t), "one that was used stays")
}
