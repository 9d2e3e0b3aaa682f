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

// TestIdleClientsLeaveRoomForAllElse is a dispatcher with few descriptors, of which idle clients take all that they get: the change log is followed
// anew, hosts are reached, new clients are served, the configuration is read again, and SIGTERM ends it.
func TestIdleClientsLeaveRoomForAllElse(t *testing.T) {
	const descriptors, idlers = 64, 200
	first, second := changeLog(t), changeLog(t)
	host := need.Host(t, standin.Hits("bytes"))
	for _, l := range []*standin.ChangeLog{first, second} {
		l.Push(standin.List(1, true, "s-1 "+host.Address+" std SERVING", source))
	}
	listen, file := standin.Free(), filepath.Join(t.TempDir(), "config.json")
	write := func(changes string) {
		text := standin.Platform(listen, changes, "", 20000, 1, 64, descriptors)
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	}
	write(first.Address)
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), "PROXY_CONFIG="+file, fmt.Sprint(limitEnv, "=", descriptors))
	var log bytes.Buffer
	child.Stderr = &log
	require.NoError(t, child.Start())
	t.Cleanup(func() { _ = child.Process.Kill() })
	require.Eventually(t, func() bool { return need.Ready(listen) }, 10*time.Second, 10*time.Millisecond)
	for range idlers { // each is accepted, says nothing and never closes
		c := need.Of(net.Dial("tcp", listen))(t)
		defer func() { _ = c.Close() }()
	}
	assert.Equal(t, "served", need.Asked(t, need.Client(t, listen)).Kind, "a new client that has a GET")
	first.Close()
	write(second.Address)
	require.NoError(t, child.Process.Signal(syscall.SIGHUP))
	need.Soon(t, func() bool { return len(second.Asked()) > 0 }, "the change log is followed at its new address")
	for range idlers {
		c := need.Of(net.Dial("tcp", listen))(t)
		defer func() { _ = c.Close() }()
	}
	host.Reset()
	assert.Equal(t, "served", need.Asked(t, need.Client(t, listen), "rid", "9b1f03aa5c7e2d42").Kind, "over a new connection to the host")
	require.NoError(t, child.Process.Signal(syscall.SIGTERM))
	require.NoError(t, child.Wait())
	assert.NotContains(t, log.String(), "too many open files")
	assert.Contains(t, log.String(), `"quiet":true`)
}
