// Package service is the life of one dispatcher: its configuration, its signals, its drain, and the parts that it puts
// together.
package service

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"elderwall/core/routing/retrybudget"
	"elderwall/core/sharding"
	"elderwall/internal/changelog"
	"elderwall/internal/clock"
	"elderwall/internal/counters"
	"elderwall/internal/dispatcher"
	"elderwall/internal/downstream"
	"elderwall/internal/memquota"
	"elderwall/internal/multicore"
	"elderwall/internal/upstream"
)

const (
	clientShare = 3                      // clients hold at most a third of the descriptors
	ownSockets  = 16                     // descriptors: listener, log, change log, the runtime's own, and some to spare
	heapShare   = 0.6                    // of the memory limit, from which on the runtime collects harder
	collectAt   = 300                    // percent of growth, of several shards: collecting takes their cores, and heapShare bounds it all the same
	bodyShare   = 0.25                   // of it for long calls and the bodies of answers under way
	waiting     = 16                     // signals that may wait until they are taken
	warnings    = 10                     // a second that are logged; bad input could bring any number
	reviewEach  = 250 * time.Millisecond // how often connections are looked over for callers that may not stay
)

// Extension is what an operator's own file adds to a service.
type Extension interface {
	// Open opens the listeners that stand beside the platform's, and gives the stage that asks who is calling, nil
	// where nobody does.
	Open(log zerolog.Logger, counts *counters.Counters) ([]net.Listener, Gate, error)
	// Read reads the file again. What it gives puts all of it in force; an error leaves the old one in force.
	Read() (take func(log zerolog.Logger) error, err error)
	// Joins is the delivery services, by their place, whose GETs for the same part share a forward; none for nil.
	Joins() []bool
	// Retries bounds forwards after failed ones; the zero value does not.
	Retries() retrybudget.Settings
	// Origins makes a module's part in what the fleet lets all dispatchers have at the origin; nil where nothing is shared out.
	Origins() func() dispatcher.QuotaSource
	// Changes is given what takes the change log's events, and gives what takes them from the follower: itself, or one around it that
	// learns more. After gone seconds no copy is left that is older than a purge.
	Changes(take func(changelog.Event), gone float64) func(changelog.Event)
	// Variants makes the stage that names the variant of an object that a GET is sent for, and tells what names the class of a client's
	// device; nil where none are declared.
	Variants() (dispatcher.Variants, downstream.Devices, error)
	// Beside opens fronts of other protocols, which hand their GETs to the same handler.
	Beside(to Handling) ([]Beside, error)
	// FrontsBeside is how many of them have connections of their own.
	FrontsBeside() int
	// LogKeyNotices logs what becomes of GETs without an idempotency key, where delivery services of these names need one.
	LogKeyNotices(log zerolog.Logger, keyed []string)
	// Cores tells how many cores are used and how GETs are divided among shards; the zero value is one of each.
	Cores() Cores
}

// Handling is what a front needs of the service.
type Handling struct {
	downstream.EarlyHandler
	Callers downstream.Callers // nil where nobody asks who is calling
	Log     zerolog.Logger
	Counts  *counters.Counters
	Room    *memquota.Room
	Clock   clock.Clock
	// Repeatable tells whether running a GET of a service again does no harm.
	Repeatable func(service string) bool
	// Connections is how many connections a front may have open.
	Connections int
}

// Beside is a front with its listener.
type Beside interface {
	// Serve serves until the context ends.
	Serve(ctx context.Context) error
	// Close has all that comes from now on refused at once.
	Close()
	// Quiet tells whether nothing is open.
	Quiet() bool
}

// Cores is what a process has for its work.
type Cores struct {
	Count  int // cores, 0 for what the platform's configuration says
	Shards int // modules among which GETs are divided; below 2 there is one, as on the platform
	Way    sharding.Mode
}

// core is what GETs are handed to: one node, or several as shards.
type core interface {
	downstream.EarlyHandler
	Run(ctx context.Context) error
	Take(e changelog.Event)
	Drain()
	GiveUpAll()
	LogSlowStarts()
}

// Gate asks who is calling, for the node and for the fronts.
type Gate interface {
	dispatcher.Admission
	downstream.Callers
}

// Serve runs a dispatcher until a signal ends it, as the environment and an extension, nil for none, say. The
// extension is made once the platform's configuration is read.
func Serve(extend func(*Config) (Extension, error)) error {
	got, stop := notify()
	defer stop()
	log := zerolog.New(os.Stderr).With().Timestamp().Logger().
		Sample(zerolog.LevelSampler{WarnSampler: &zerolog.BurstSampler{Burst: warnings, Period: time.Second}})
	read := func() (*Config, error) { return ReadConfig(os.Getenv) }
	c, err := read()
	if err != nil {
		return err
	}
	var e Extension
	if extend != nil {
		if e, err = extend(c); err != nil {
			return err
		}
	}
	return Run(c, e, log.With().Str("name", c.Name).Logger(), got, read)
}

// notify gives the signals that a dispatcher takes, until it is stopped. A signal that a full channel has no place for is lost: those to end have one
// of their own, so that no burst of the others keeps them out, and wait there until they are taken.
func notify() (got chan os.Signal, stop func()) {
	got = make(chan os.Signal, waiting)
	ends, stopped := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(got, syscall.SIGUSR1, syscall.SIGHUP)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		for {
			select {
			case which := <-ends:
				select {
				case got <- which:
				case <-stopped:
				}
			case <-stopped:
				return
			}
		}
	}()
	return got, func() { signal.Stop(got); signal.Stop(ends); close(stopped) }
}

// fronts is all ways in.
type fronts []*downstream.Server

// Close has all calls that come from now on refused at once.
func (f fronts) Close() {
	for _, s := range f {
		s.Close()
	}
}

// stopAccepting has all of them accept what the kernel holds, and nothing more.
func (f fronts) stopAccepting() {
	var all sync.WaitGroup
	for _, s := range f {
		all.Go(s.StopAccepting)
	}
	all.Wait()
}

// Quiet tells whether nothing is open on any of them.
func (f fronts) Quiet() bool {
	return !slices.ContainsFunc(f, func(s *downstream.Server) bool { return !s.Quiet() })
}

// review looks over the connections for callers that may not stay.
func (f fronts) review() {
	for _, s := range f {
		s.Review()
	}
}

// service is one dispatcher at work.
type service struct {
	config    *Config
	extension Extension // nil for none
	log       zerolog.Logger
	core      core
	group     *multicore.Group // the same where there are shards, else nil
	counts    *counters.Counters
	fronts    fronts
	beside    []Beside
	moves     chan string // to the change log's new address
	listeners []net.Listener
	rereading rereading // of a configuration that could not be read

	reading fileReading // of the operator's file
}

// Run serves until a signal ends it; SIGHUP has it read the configuration again.
func Run(c *Config, e Extension, log zerolog.Logger, got <-chan os.Signal, read func() (*Config, error)) error {
	memory := float64(c.Limits.MemoryMB << 20)
	debug.SetMemoryLimit(int64(heapShare * memory))
	var of Cores
	if e != nil {
		of = e.Cores()
	}
	runtime.GOMAXPROCS(max(1, cmp.Or(of.Count, int(c.Limits.Cores))))
	counts := &counters.Counters{}
	s := &service{config: c, extension: e, log: log, moves: make(chan string, 1), counts: counts}
	gate, err := s.listen(counts)
	if err != nil {
		s.closeListeners()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	clients := max(1, c.Limits.Sockets/clientShare)
	o := &upstream.Options{
		Log: log, Counts: counts, Room: memquota.New(int64(bodyShare * memory)),
		Dialer:    net.Dialer{Timeout: clock.Duration(c.settings.ConnectTimeout)},
		Places:    upstream.NewPlaces(c.Limits.Sockets - clients - ownSockets),
		Dials:     upstream.NewDials(),
		IdleClose: clock.Duration(c.settings.IdleTimeout), Streams: c.settings.MaxStreams, Context: ctx, Group: group,
	}
	heard := &atomic.Int64{}
	heard.Store(int64(clock.InstantNow()))
	n := dispatcher.Config{Settings: c.settings, Clock: clock.New(), ListHeard: heard, Options: o, Connections: c.Limits.Sockets - clients - ownSockets}
	if gate != nil {
		n.Admission = gate
	}
	if e != nil {
		n.Coalesce, n.Settings.Retries = e.Joins(), e.Retries()
		n.Quotas = e.Origins()
		e.LogKeyNotices(log, c.Keyed())
	}
	var devices downstream.Devices
	if e != nil {
		if n.Variants, devices, err = e.Variants(); err != nil {
			s.closeListeners()
			return err
		}
		o.Proofs = n.Variants != nil
	}
	if of.Shards > 1 {
		debug.SetGCPercent(collectAt)
		s.group = multicore.New(n, of.Shards, of.Way, s.failOverdue)
		s.core = s.group
	} else {
		s.core = dispatcher.New(n)
	}
	take := s.core.Take
	if e != nil {
		take = e.Changes(take, c.settings.PurgeGrace)
	}
	witness := &changelog.Witness{Clock: n.Clock}
	for _, e := range c.Known.Events {
		take(witness.Take(e, 0))
	}
	follower := &changelog.Follower{Address: c.Changelog, Moves: s.moves, Log: log, Take: take, Heard: heard, Witness: witness}
	group.Go(func() error { return s.core.Run(ctx) })
	group.Go(func() error { return follower.Follow(ctx, c.Known) })
	shared := len(s.listeners)
	if e != nil {
		shared += e.FrontsBeside()
	}
	connections := max(1, clients/shared)
	for _, l := range s.listeners {
		server := &downstream.Server{
			Handler: s.core, Log: log, Counts: counts, Room: o.Room, Most: connections,
			Longest: c.longest(), Devices: devices,
		}
		if gate != nil {
			server.Callers = gate
		}
		s.fronts = append(s.fronts, server)
		group.Go(func() error { return server.Serve(ctx, l) })
	}
	if gate != nil {
		group.Go(func() error { return s.review(ctx) })
	}
	to := Handling{EarlyHandler: s.core, Log: log, Counts: counts, Room: o.Room, Clock: n.Clock, Repeatable: c.settings.Repeatable, Connections: connections}
	if err := s.openBeside(to, gate); err != nil {
		s.closeListeners()
		cancel()
		return errors.Join(err, group.Wait())
	}
	for _, b := range s.beside {
		group.Go(func() error { return b.Serve(ctx) })
	}
	group.Go(func() error {
		defer cancel()
		defer s.closeListeners()
		s.signals(ctx, got, read)
		return nil
	})
	log.Info().Str("listen", s.listeners[0].Addr().String()).Msg("started")
	err = group.Wait()
	s.logCounts()
	return err
}

// openBeside opens the fronts of other protocols.
func (s *service) openBeside(to Handling, gate Gate) (err error) {
	if s.extension == nil {
		return nil
	}
	if gate != nil {
		to.Callers = gate
	}
	s.beside, err = s.extension.Beside(to)
	return err
}

// Close has all calls that come from now on refused at once, whichever way they come.
func (s *service) Close() {
	s.fronts.Close()
	for _, b := range s.beside {
		b.Close()
	}
}

// Quiet tells whether nothing is open, whichever way it came.
func (s *service) Quiet() bool {
	return s.fronts.Quiet() && !slices.ContainsFunc(s.beside, func(b Beside) bool { return !b.Quiet() })
}

// logCounts writes the counters: of shards each shard's, and the sum.
func (s *service) logCounts() {
	all := []*counters.Counters{s.counts}
	if s.group != nil {
		by, past := s.group.Counts()
		for _, i := range slices.Sorted(maps.Keys(by)) {
			by[i].Log(s.log.With().Int("shard", i).Logger())
			all = append(all, by[i])
		}
		all = append(all, past)
	}
	counters.Sum(all...).Log(s.log)
}

// failOverdue answers what a shard that stands still owes by a moment.
func (s *service) failOverdue(shard int, by time.Time) (n int) {
	for _, f := range s.fronts {
		n += f.FailOverdue(shard, by)
	}
	return n
}

// listen opens the platform's listener, and the operator's beside it.
func (s *service) listen(counts *counters.Counters) (gate Gate, err error) {
	l, err := net.Listen("tcp", s.config.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s.listeners = append(s.listeners, l)
	if s.extension == nil {
		return nil, nil
	}
	more, gate, err := s.extension.Open(s.log, counts)
	s.listeners = append(s.listeners, more...)
	return gate, err
}

func (s *service) closeListeners() {
	for _, l := range s.listeners {
		_ = l.Close()
	}
}

// review looks over the connections now and then: certificates end without anybody's doing.
func (s *service) review(ctx context.Context) error {
	each := time.NewTicker(reviewEach)
	defer each.Stop()
	for {
		select {
		case <-each.C:
			s.fronts.review()
		case <-ctx.Done():
			return nil
		}
	}
}

// signals prints the counters and the slow starts that go on on SIGUSR1 and reloads on SIGHUP, also while it drains, which the first signal to end
// begins; it returns once it has drained or all has ended.
func (s *service) signals(ctx context.Context, got <-chan os.Signal, read func() (*Config, error)) {
	var drained chan bool
	for {
		select {
		case which := <-got:
			switch {
			case which == syscall.SIGUSR1:
				s.logCounts()
				s.core.LogSlowStarts()
			case which == syscall.SIGHUP:
				s.rereading = rereading{}
				s.extend(s.reload(read))
			case drained == nil:
				drained = make(chan bool)
				plan := planShutdown(s.config.longest())
				defer time.AfterFunc(plan.giveUpAt, s.core.GiveUpAll).Stop()
				go func() {
					defer close(drained)
					drain(s.log, s.core.Drain, s, func() { s.fronts.stopAccepting(); s.closeListeners() }, plan)
				}()
			}
		case <-s.rereading.due:
			s.reload(read)()
		case file := <-s.reading.done:
			s.extended(file)
		case <-s.reading.slow:
			s.extendsSlowly()
		case <-drained:
			return
		case <-ctx.Done():
			if drained != nil {
				<-drained
			}
			return
		}
	}
}

// reload reads the platform's configuration again and puts what can change in force; with an unusable one the old one serves on. It gives what reports
// that. Guards against anything that SIGHUP brings besides and that keeps a change log that has moved from being followed.
func (s *service) reload(read func() (*Config, error)) (report func()) {
	to, err := read()
	if err != nil {
		s.keepConfig(err)
		return func() {}
	}
	s.rereading = rereading{}
	moved, kept := s.config.reload(to)
	if moved {
		s.followMoved()
	}
	return func() {
		s.log.Info().Bool("changelogMoved", moved).Strs("needsRestart", kept).Msg("configuration read again")
	}
}

// keepConfig has a configuration that can't be read read again soon, or goes on with the old one.
func (s *service) keepConfig(err error) {
	if s.rereading.wait() {
		s.log.Info().Err(err).Msg("new configuration can't be read, it is read again soon")
		return
	}
	s.rereading = rereading{}
	s.log.Warn().Err(err).Msg("new configuration can't be used, the old one stays")
}

// followMoved has the change log followed at its new address.
func (s *service) followMoved() {
	select {
	case <-s.moves: // not taken up yet, and overtaken
	default:
	}
	s.moves <- s.config.Changelog
}

// resize goes on with another number of shards; between one module and several only a restart changes.
func (s *service) resize(to Cores) {
	switch {
	case s.group != nil && to.Shards > 1 && to.Shards != s.group.Shards():
		s.log.Info().Int("from", s.group.Shards()).Int("to", to.Shards).Msg("shards")
		s.group.Resize(to.Shards)
	case (s.group != nil) != (to.Shards > 1):
		s.log.Warn().Msg("one module or several is changed by a restart alone")
	}
}
