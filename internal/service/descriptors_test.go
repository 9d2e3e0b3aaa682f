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

// limited runs this test program as a dispatcher that has so many descriptors, and ends it with the test.
func limited(t *testing.T, listen, changes string, descriptors int) (child *exec.Cmd, log *bytes.Buffer) {
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, []byte(standin.Platform(listen, changes, "", 100, 1, 64, descriptors)), 0o600))
	child, log = exec.Command(os.Args[0]), &bytes.Buffer{}
	child.Env = append(os.Environ(), "PROXY_CONFIG="+file, fmt.Sprint(limitEnv, "=", descriptors))
	child.Stderr = log
	require.NoError(t, child.Start())
	t.Cleanup(func() { _ = child.Process.Kill() })
	return child, log
}

// Idle clients hold all that they may while the change log is down: it gets its connection all the same once it is back, and so do a
// host and a new client.
func TestTheChangeLogHasADescriptor(t *testing.T) {
	for _, descriptors := range []int{40, 96} {
		t.Run(fmt.Sprint(descriptors), func(t *testing.T) {
			t.Parallel()
			_, asked, s1 := host(t, 1, hit)
			listen, changes := standin.Free(), standin.Free()
			child, log := limited(t, listen, changes, descriptors)
			var idle []net.Conn
			need.Soon(t, func() bool {
				c, err := net.Dial("tcp", listen)
				if err != nil {
					return false
				}
				t.Cleanup(func() { _ = c.Close() })
				idle = append(idle, c)
				return len(idle) > descriptors // more than there are, beside those that wait to be accepted
			})
			back := need.Of(standin.ListenChangeLog(changes))(t)
			t.Cleanup(back.Close)
			back.Push(standin.List(1, true, s1, source))
			need.Soon(t, func() bool { return need.Ready(listen) }, "the list is taken")
			assert.Equal(t, "served", need.Asked(t, need.Client(t, listen)).Kind)
			assert.Len(t, asked, 1)
			require.NoError(t, child.Process.Signal(syscall.SIGTERM))
			ended := make(chan error, 1)
			go func() { ended <- child.Wait() }()
			select {
			case err := <-ended:
				assert.NoError(t, err)
				assert.NotContains(t, log.String(), "accept failed")
			case <-time.After(10 * time.Second):
				assert.Fail(t, "it does not end")
				_ = child.Process.Kill()
				<-ended
			}
		})
	}
}
