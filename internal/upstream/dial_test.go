package upstream_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin/need"
	"elderwall/internal/upstream"
)

// neverUp is the address of a listener whose line of connections is full, so that none comes up.
func neverUp(t *testing.T) string {
	fd := need.Of(syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0))(t)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	at := need.Of(syscall.Getsockname(fd))(t).(*syscall.SockaddrInet4)
	address := fmt.Sprint("127.0.0.1:", at.Port)
	for range 10 {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	t.Fatal("the listener's line has no end")
	return ""
}

// sockets is how many descriptors of sockets the process holds.
func sockets(t *testing.T) (n int) {
	for _, name := range need.Of(filepath.Glob("/proc/self/fd/*"))(t) {
		if to, err := os.Readlink(name); err == nil && strings.HasPrefix(to, "socket:") {
			n++
		}
	}
	return n
}

// Hosts whose connections never come up are replaced by others of the kind, or give way to them: descriptors stay within the places.
func TestDialsThatNobodyNeedsEnd(t *testing.T) {
	for name, leave := range map[string]bool{"their host is gone": true, "they give way to other hosts": false} {
		t.Run(name, func(t *testing.T) {
			const places = 4
			address, o := neverUp(t), options(t)
			o.Places = upstream.NewPlaces(places)
			before := sockets(t)
			for i := range 40 {
				h := upstream.New(address, o, 0)
				f, done := sent(t, h, "a")
				need.Soon(t, func() bool { return sockets(t) > before }, "the dial has begun")
				f.Stop()
				if leave {
					assert.True(t, h.Leave())
				}
				need.Soon(t, func() bool { return sockets(t) <= before+places }, "host %d", i)
				assert.Empty(t, done)
			}
			if leave {
				need.Soon(t, func() bool { return o.Places.Taken() == 0 && sockets(t) <= before })
			}
		})
	}
}

// A connection of which the dial is under way holds its place until the dial has ended.
func TestADialThatWasGivenUpHoldsItsPlaceUntilItEnds(t *testing.T) {
	o, begun, goOn := options(t), make(chan bool), make(chan bool)
	o.Places = upstream.NewPlaces(1)
	o.Dialer.Control = func(string, string, syscall.RawConn) error { begun <- true; <-goOn; return nil }
	h := upstream.New(neverUp(t), o, 0)
	f, _ := sent(t, h, "a")
	<-begun
	f.Stop()
	assert.True(t, h.Leave())
	assert.Equal(t, 1, o.Places.Taken(), "its descriptor is open")
	close(goOn)
	need.Soon(t, func() bool { return o.Places.Taken() == 0 })
}
