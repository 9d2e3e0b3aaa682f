package service

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"elderwall/internal/standin/need"
)

func TestNoBurstOfSignalsKeepsTheEndOut(t *testing.T) {
	got, stop := notify()
	defer stop()
	need.Soon(t, func() bool {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		return len(got) == cap(got)
	})
	seen := make(chan os.Signal, 1)
	signal.Notify(seen, syscall.SIGTERM)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-seen
	signal.Stop(seen) // waits until it was told to all
	for {
		select {
		case which := <-got:
			if which == syscall.SIGTERM {
				return
			}
		case <-time.After(5 * time.Second):
			require.Fail(t, "SIGTERM is lost")
		}
	}
}
