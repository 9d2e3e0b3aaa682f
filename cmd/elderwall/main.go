// Command elderwall is one dispatcher on sockets.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"elderwall/internal/changelog"
	"elderwall/internal/clock"
	"elderwall/internal/counters"
	"elderwall/internal/front"
	"elderwall/internal/node"
	"elderwall/internal/upstream"
)

const (
	clientShare  = 3                      // clients hold at most a third of the descriptors
	hostConns    = 100                    // connections to one host
	memoryShare  = 0.6                    // of the limit; where the runtime starts to collect harder
	stillComing  = 700 * time.Millisecond // after SIGTERM, until which clients may still come
	lookForQuiet = 10 * time.Millisecond  // how often a drain looks whether all is answered
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "elderwall:", err)
		os.Exit(1)
	}
}

func run() error {
	c, err := readConfig()
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Str("name", c.Name).Logger()
	if c.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(c.Limits.MemoryMB<<20)))
	}
	runtime.GOMAXPROCS(max(1, int(c.Limits.Cores)))
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	counts := &counters.Counters{}
	n := node.New(ctx, group, c.settings, clock.New(), &upstream.Options{Log: log, Counts: counts,
		ConnectTimeout: clock.Duration(c.settings.ConnectTimeout), IdleClose: clock.Duration(c.settings.IdleClose),
		Streams: c.settings.MaxStreams, Connections: hostConns})
	for _, e := range c.Known.Events {
		n.Take(e)
	}
	server := &front.Server{Handler: n, Log: log, Counts: counts, Most: max(1, c.Limits.Sockets/clientShare)}
	follower := &changelog.Follower{Address: c.Changelog, Log: log, Take: n.Take}
	group.Go(n.Run)
	group.Go(func() error { return follower.Follow(ctx, c.Known) })
	group.Go(func() error { return server.Serve(ctx, listener) })
	group.Go(func() error { signals(ctx, cancel, listener, n, server, counts, log); return nil })
	log.Info().Str("listen", c.Listen).Msg("started")
	err = group.Wait()
	counts.Log(log)
	return err
}

// signals prints the counters on SIGUSR1, and on SIGTERM drains and then ends everything.
func signals(ctx context.Context, cancel func(), l net.Listener, n *node.Node, s *front.Server, c *counters.Counters, log zerolog.Logger) {
	got := make(chan os.Signal, 4)
	signal.Notify(got, syscall.SIGUSR1, syscall.SIGTERM, syscall.SIGINT)
	for {
		select {
		case which := <-got:
			if which == syscall.SIGUSR1 {
				c.Log(log)
				continue
			}
			log.Info().Stringer("signal", which).Msg("draining")
			n.Drain()
			time.Sleep(stillComing)
			_ = l.Close()
			for !s.Quiet() {
				time.Sleep(lookForQuiet)
			}
			log.Info().Msg("drained")
			cancel()
			return
		case <-ctx.Done():
			_ = l.Close()
			return
		}
	}
}
