package service

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
)

// limited is this test program as a dispatcher of its own that has so many descriptors.
type limited struct {
	*exec.Cmd
	t            *testing.T
	listen, file string
	descriptors  int
	log          bytes.Buffer
}

// startLimited starts one that follows a change log; it ends with the test.
func startLimited(t *testing.T, changes string, descriptors int) *limited {
	l := &limited{Cmd: exec.Command(os.Args[0]), t: t, listen: standin.Free(), file: filepath.Join(t.TempDir(), "config.json"), descriptors: descriptors}
	l.configure(changes)
	l.Env = append(os.Environ(), "PROXY_CONFIG="+l.file, fmt.Sprint(limitEnv, "=", descriptors))
	l.Stderr = &l.log
	require.NoError(t, l.Start())
	t.Cleanup(func() { _ = l.Process.Kill() })
	return l
}

// configure writes its configuration, with a change log to follow.
func (l *limited) configure(changes string) {
	text := standin.Platform(l.listen, changes, "", 20000, standin.Limits{Cores: 1, MemoryMB: 64, Sockets: l.descriptors})
	require.NoError(l.t, os.WriteFile(l.file, []byte(text), 0o600))
}

// ready waits until it takes GETs.
func (l *limited) ready() {
	require.Eventually(l.t, func() bool { return need.Ready(l.listen) }, 10*time.Second, 10*time.Millisecond)
}

// served asks it for something on a new connection.
func (l *limited) served(why string, changes ...string) {
	assert.Equal(l.t, "served", need.Asked(l.t, need.Client(l.t, l.listen), changes...).Kind, why)
}

// idlers connects so many clients that say nothing and stay until the test ends.
func (l *limited) idlers(n int) {
	for connected := 0; connected < n; {
		need.Soon(l.t, func() bool {
			c, err := net.Dial("tcp", l.listen)
			if err != nil {
				return false
			}
			l.t.Cleanup(func() { _ = c.Close() })
			connected++
			return true
		})
	}
}

// end tells it to end, which it does by itself.
func (l *limited) end() {
	require.NoError(l.t, l.Process.Signal(syscall.SIGTERM))
	ended := make(chan error, 1)
	go func() { ended <- l.Wait() }()
	select {
	case err := <-ended:
		assert.NoError(l.t, err)
	case <-time.After(10 * time.Second):
		_ = l.Process.Kill()
		assert.Fail(l.t, "it does not end", "killed: %v", <-ended)
	}
}

// Idle clients hold all that they may while the change log is down: it gets its connection all the same once it is back, and so do a
// host and a new client.
func TestTheChangeLogHasADescriptor(t *testing.T) {
	for _, descriptors := range []int{40, 96} {
		t.Run(fmt.Sprint(descriptors), func(t *testing.T) {
			t.Parallel()
			_, asked, s1 := host(t, 1, hit)
			changes := standin.Free()
			l := startLimited(t, changes, descriptors)
			l.idlers(descriptors + 1) // more than there are, beside those that wait to be accepted
			back := need.Of(standin.ListenChangeLog(changes))(t)
			t.Cleanup(back.Close)
			back.Push(standin.List(1, true, s1, source))
			need.Soon(t, func() bool { return need.Ready(l.listen) }, "the list is taken")
			l.served("a new client")
			assert.Len(t, asked, 1)
			l.end()
			assert.NotContains(t, l.log.String(), "accept failed")
		})
	}
}

// Idle clients take all descriptors that they get: the change log is followed anew, hosts are reached, new clients are served, the configuration is
// read again, and SIGTERM ends it.
func TestIdleClientsLeaveRoomForAllElse(t *testing.T) {
	const descriptors, idlers = 64, 200
	first, second := changeLog(t), changeLog(t)
	host := need.Host(t, standin.Hits("bytes"))
	for _, l := range []*standin.ChangeLog{first, second} {
		l.Push(standin.List(1, true, "s-1 "+host.Address+" std SERVING", source))
	}
	l := startLimited(t, first.Address, descriptors)
	l.ready()
	l.idlers(idlers)
	l.served("a new client that has a GET")
	first.Close()
	l.configure(second.Address)
	require.NoError(t, l.Process.Signal(syscall.SIGHUP))
	need.Soon(t, func() bool { return len(second.Asked()) > 0 }, "the change log is followed at its new address")
	l.idlers(idlers)
	host.Reset()
	l.served("over a new connection to the host", "rid", "9b1f03aa5c7e2d42")
	l.end()
	assert.NotContains(t, l.log.String(), "too many open files")
	assert.Contains(t, l.log.String(), `"quiet":true`)
}
