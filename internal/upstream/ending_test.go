package upstream_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"elderwall/internal/standin/rig"
	"elderwall/internal/upstream"
)

// Whoever waits for the end of all connections has been told of the end of every forward by then.
func TestTheEndOfAllConnectionsWaitsForWhoIsTold(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	o := rig.Options(ctx, group)
	o.PerHost.Store(1)
	asked, answer := asking(silent)
	h := host(t, o, answer)
	f, _ := forward("a", "")
	told, goOn := make(chan upstream.Result, 1), make(chan bool)
	f.Done = func(r upstream.Result) { told <- r; <-goOn }
	require.NoError(t, h.Send(f))
	<-asked
	cancel()
	assert.Equal(t, upstream.WrittenWhole, (<-told).Stage)
	over := make(chan bool)
	go func() { _ = group.Wait(); close(over) }()
	select {
	case <-over:
		t.Error("the wait is over while a forward's end is being told")
	case <-time.After(50 * time.Millisecond): // in which goroutines that nothing holds have long ended
	}
	close(goOn)
	<-over
}
