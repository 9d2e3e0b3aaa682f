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
	"elderwall/internal/room"
	"elderwall/internal/upstream"
)

const (
	clientShare  = 3                      // clients hold at most a third of the descriptors
	ownSockets   = 16                     // descriptors: listener, log, change log, the runtime's own, and some to spare
	heapShare    = 0.6                    // of the memory limit, from which on the runtime collects harder
	bodyShare    = 0.25                   // of it for long calls and the bodies of answers under way
	stillComing  = 700 * time.Millisecond // for so long after SIGTERM clients may still come
	unread       = time.Second            // for so long after the last viewer timeout clients may read
	warnings     = 10                     // a second that are logged; bad input could bring any number
	lookForQuiet = 10 * time.Millisecond  // how often a drain looks whether all is answered
)

func main() {
	got := make(chan os.Signal, 16)
	signal.Notify(got, syscall.SIGUSR1, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	log := zerolog.New(os.Stderr).With().Timestamp().Logger().
		Sample(zerolog.LevelSampler{WarnSampler: &zerolog.BurstSampler{Burst: warnings, Period: time.Second}})
	c, err := readConfig(os.Getenv)
	if err == nil {
		err = run(c, log.With().Str("name", c.Name).Logger(), got, func() (*config, error) { return readConfig(os.Getenv) })
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "elderwall:", err)
		os.Exit(1)
	}
}

// run serves until a signal ends it; SIGHUP has it read the configuration again.
func run(c *config, log zerolog.Logger, got <-chan os.Signal, read func() (*config, error)) error {
	memory := float64(c.Limits.MemoryMB << 20)
	debug.SetMemoryLimit(int64(heapShare * memory))
	runtime.GOMAXPROCS(max(1, int(c.Limits.Cores)))
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	clients := max(1, c.Limits.Sockets/clientShare)
	o := &upstream.Options{Log: log, Counts: &counters.Counters{}, Room: room.New(int64(bodyShare * memory)),
		Dialer:    net.Dialer{Timeout: clock.Duration(c.settings.ConnectTimeout)},
		IdleClose: clock.Duration(c.settings.IdleClose), Streams: c.settings.MaxStreams, Context: ctx, Group: group}
	n := node.New(node.Config{Settings: c.settings, Clock: clock.New(), Options: o,
		Connections: c.Limits.Sockets - clients - ownSockets})
	for _, e := range c.Known.Events {
		n.Take(e)
	}
	server := &front.Server{Handler: n, Log: log, Counts: o.Counts, Room: o.Room, Most: clients}
	moves := make(chan string, 1)
	follower := &changelog.Follower{Address: c.Changelog, Moves: moves, Log: log, Take: n.Take}
	group.Go(func() error { return n.Run(ctx) })
	group.Go(func() error { return follower.Follow(ctx, c.Known) })
	group.Go(func() error { return server.Serve(ctx, listener) })
	group.Go(func() error {
		defer cancel()
		defer func() { _ = listener.Close() }()
		if signals(ctx, got, func() { o.Counts.Log(log) }, func() { reload(c, log, read, moves) }) {
			drain(log, n.Drain, server, listener, c.longest()+unread)
		}
		return nil
	})
	log.Info().Str("listen", listener.Addr().String()).Msg("started")
	err = group.Wait()
	o.Counts.Log(log)
	return err
}

// signals prints the counters on SIGUSR1 and reloads on SIGHUP; it returns true on a signal to end, and false when
// all has ended.
func signals(ctx context.Context, got <-chan os.Signal, count, reload func()) bool {
	for {
		select {
		case which := <-got:
			switch which {
			case syscall.SIGUSR1:
				count()
			case syscall.SIGHUP:
				reload()
			default:
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
}

// reload reads the configuration again and hands on what changed; with an unusable one the old one serves on.
func reload(c *config, log zerolog.Logger, read func() (*config, error), moves chan string) {
	to, err := read()
	if err != nil {
		log.Warn().Err(err).Msg("new configuration can't be used, the old one stays")
		return
	}
	moved, kept := c.reload(to)
	log.Info().Bool("changelogMoved", moved).Strs("needsRestart", kept).Msg("configuration read again")
	if !moved {
		return
	}
	select {
	case <-moves: // not taken up yet, and overtaken
	default:
	}
	moves <- c.Changelog
}

// quieting is what a drain needs of the server.
type quieting interface {
	Close()
	Quiet() bool
}

// drain goes on for as long as clients may still come, and then until all is answered and read, or can't be any
// more: clients that do not read hold it up for no longer.
func drain(log zerolog.Logger, unready func(), s quieting, l net.Listener, most time.Duration) {
	log.Info().Msg("draining")
	unready()
	time.Sleep(stillComing)
	end := time.Now().Add(most)
	_ = l.Close()
	s.Close()
	for !s.Quiet() && time.Now().Before(end) {
		time.Sleep(lookForQuiet)
	}
	log.Info().Bool("quiet", s.Quiet()).Msg("drained")
}
