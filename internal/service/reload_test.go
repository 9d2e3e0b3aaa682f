package service

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/rig"
)

// A signal that comes while the file is being written has it read again until it is whole.
func TestAConfigurationThatIsBeingWritten(t *testing.T) {
	_, _, s1 := host(t, 1, hit)
	for name, half := range map[string]string{"empty": "", "half": "{", "whole but for its end": "all"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d, moved := start(t, 1000, s1), changeLog(t)
			whole := standin.Config(d.Address, moved.Address, "", 1000)
			if half == "all" {
				half = strings.TrimSuffix(whole, "}")
			}
			var text atomic.Pointer[string]
			text.Store(&half)
			reads := make(chan bool, 10)
			d.reread = func() (*Config, error) {
				defer func() { reads <- true }()
				return read(t, *text.Load())
			}
			d.Signals <- syscall.SIGHUP
			<-reads // which found it half written
			text.Store(&whole)
			need.Soon(t, func() bool { return len(moved.Asked()) > 0 })
			d.End()
			assert.NotContains(t, d.Out.String(), "the old one stays")
			assert.Equal(t, 1, strings.Count(d.Out.String(), "configuration read again"))
			assert.Len(t, reads, 1, "it is read no more once it is whole")
		})
	}
}

// SIGHUP and SIGTERM together: what is moved is followed for as long as the drain goes on, and the drain ends as always.
func TestAReloadAgainstADrain(t *testing.T) {
	for name, signals := range map[string][]os.Signal{
		"reload first": {syscall.SIGHUP, syscall.SIGTERM}, "drain first": {syscall.SIGTERM, syscall.SIGHUP},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			arrived, release := make(chan bool, 10), make(chan bool)
			a, _, s1 := host(t, 1, func(a standin.Ask) string { arrived <- true; <-release; return hit(a) })
			free := sync.OnceFunc(func() { close(release) })
			t.Cleanup(free)
			_, askedB, s3 := host(t, 3, hit)
			d, moved := start(t, 1000, s1), changeLog(t)
			moved.Push(standin.List(1, true, s1, source))
			moved.Push(standin.List(2, false, "s-1 "+a.Address+" std DRAINING", s3))
			d.reread = func() (*Config, error) { return read(t, standin.Config(d.Address, moved.Address, "", 1000)) }
			c := d.Dial()
			need.Sent(t, c, rig.Fresh()...)
			<-arrived
			for _, s := range signals {
				d.Signals <- s
			}
			need.Soon(t, func() bool { return strings.Contains(d.Out.String(), `"host":"s-3"`) })
			assert.Equal(t, "served", need.Asked(t, c, rig.Fresh()...).Kind)
			assert.Len(t, askedB, 1, "while it drains it asks the host that the new change log told of")
			free()
			assert.Equal(t, "served", need.Of(c.Read())(t).Kind)
			d.Over()
		})
	}
}

// watched is a dispatcher whose change log the test plays byte by byte; it has answered the first watch with a list.
func watched(t *testing.T, list string) (*rig.Dispatcher, net.Listener) {
	l := need.Listener(t)
	go func() {
		c, _ := l.Accept()
		told(t, c, 1, list)
	}()
	c := need.Of(read(t, standin.Config(standin.Free(), l.Addr().String(), "", 1000)))(t)
	return rig.Start(t, c.Listen, func(log io.Writer, signals <-chan os.Signal) error {
		return Run(c, nil, zerolog.New(log), signals, func() (*Config, error) { return c, nil })
	}), l
}

// told answers a watch with an event, and says nothing from then on.
func told(t *testing.T, c net.Conn, seq int, event string) (last string) {
	t.Cleanup(func() { _ = c.Close() })
	asked, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return err.Error()
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\nid: %d\ndata: %s\n\n", seq, event)
	return asked.Header.Get("Last-Event-ID")
}

// full is an address at which connections don't come up: its listener's line is full.
func full(t *testing.T) string {
	fd := need.Of(syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0))(t)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	address := fmt.Sprint("127.0.0.1:", need.Of(syscall.Getsockname(fd))(t).(*syscall.SockaddrInet4).Port)
	for range 4 {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
	require.Fail(t, "the line is never full")
	return ""
}

// A host began to drain while the watch was silent: once it is told, a GET that still waits for a connection there goes elsewhere.
func TestADrainThatWasToldWhileTheWatchWasSilent(t *testing.T) {
	t.Parallel()
	deaf := full(t)
	_, asked, s3 := host(t, 3, hit)
	d, l := watched(t, standin.List(1, true, "s-1 "+deaf+" std SERVING", source))
	c := d.Dial()
	need.Sent(t, c)
	again := need.Of(l.Accept())(t) // 2.5 s later
	assert.Equal(t, "1", told(t, again, 2, standin.List(2, false, "s-1 "+deaf+" std DRAINING", s3)))
	assert.Equal(t, "served", need.Of(c.Read())(t).Kind)
	assert.Len(t, asked, 1)
	d.End()
	assert.Contains(t, d.Out.String(), `"Recalled":1,`)
}
