// Package extensions puts what an operator's own file says into a running service: the stage that asks who is calling and
// the listener for TLS. A reload swaps all of it at once or nothing.
package extensions

import (
	"context"
	"errors"
	"fmt"
	"net"
	"reflect"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"elderwall/core/cluster/purgefloor"
	"elderwall/core/cluster/quota"
	"elderwall/core/routing/retrybudget"
	"elderwall/internal/authn"
	"elderwall/internal/certs"
	"elderwall/internal/changelog"
	"elderwall/internal/clock"
	"elderwall/internal/cluster"
	"elderwall/internal/counters"
	"elderwall/internal/dispatcher"
	"elderwall/internal/downstream"
	"elderwall/internal/extproc"
	"elderwall/internal/operator"
	"elderwall/internal/service"
	"elderwall/internal/variantfilter"
)

// Extras is an operator's file in force.
type Extras struct {
	path     string
	name     string // the dispatcher's
	services []string
	told     *operator.Config
	gate     *authn.Gate // nil where nobody asks who is calling
	secure   certs.Listener
	proxies  certs.Listener
	fleet    atomic.Pointer[cluster.Fleet] // nil where the dispatcher is by itself, and before it is opened
	early    early                         // purges told before the fleet was opened
	purged   func(purgefloor.Floor)        // takes what others learned of purges; nil where the fleet remembers nothing
	gone     float64                       // s after which a purge needs no memory
	variants *variantfilter.Stage          // nil where none are declared
	cores    int                           // that the command line says, before the file; 0 where it says none
}

// Alone is what holds with no file, on so many cores.
func Alone(cores int) *Extras {
	return &Extras{told: &operator.Config{Cores: service.Cores{Count: cores, Shards: cores}}}
}

// Read reads the file that a path names, for a dispatcher of a name; services are the delivery services by their place,
// repeats which of them have GETs that may be repeated.
func Read(path, name string, services []string, repeats []bool, cores int) (*Extras, error) {
	told, err := operator.Load(path, services)
	if err == nil && told.Variants != nil {
		err = told.Variants.Repeatable(services, repeats)
	}
	if err != nil {
		return nil, err
	}
	if cores > 0 {
		told.Cores.Count, told.Cores.Shards = cores, cores
	}
	return &Extras{path: path, name: name, services: services, told: told, cores: cores}, nil
}

// Open opens the listener for TLS and makes the stage that asks who is calling.
func (e *Extras) Open(log zerolog.Logger, counts *counters.Counters) (all []net.Listener, asks service.Gate, err error) {
	if t := e.told.TLS; t != nil {
		e.secure.Take(&t.Material)
		l, err := net.Listen("tcp", t.Listen)
		if err != nil {
			return nil, nil, fmt.Errorf("listen for TLS: %w", err)
		}
		all = append(all, e.secure.Over(l.(*net.TCPListener)))
		log.Info().Str("listen", t.Listen).Msg("listens for TLS")
		stale(log, t)
	}
	if e.told.Callers == nil {
		return all, nil, nil
	}
	e.gate = &authn.Gate{Clock: clock.New(), Log: log, Counts: counts}
	if e.divides() {
		e.gate.Fleet = spender{e}
	}
	return all, e.gate, e.gate.Take(*e.told.Callers, e.told.Keys)
}

// beside is the front for proxies, with its listener.
type beside struct {
	*extproc.Server
	listener net.Listener
}

// Serve serves until the context ends.
func (b beside) Serve(ctx context.Context) error { return b.Server.Serve(ctx, b.listener) }

// Joins is the delivery services whose GETs share forwards.
func (e *Extras) Joins() []bool { return e.told.Joins }

// Retries bounds forwards after failed ones.
func (e *Extras) Retries() retrybudget.Settings {
	s := e.told.Retries
	if e.divides() {
		s.FleetQuota = func() bool {
			_, ok := spender{e}.Spend(quota.UseRetries) // a rate: nothing is to be given back
			return ok
		}
	}
	return s
}

// divides tells whether wholes are divided among the fleet.
func (e *Extras) divides() bool { return e.told.Fleet != nil && e.told.Fleet.Budgets != nil }

// spender spends from the fleet's budgets; before the fleet is opened there are none.
type spender struct{ *Extras }

// Spend takes one of each budget that a use has.
func (s spender) Spend(use string) (of []string, ok bool) {
	if f := s.fleet.Load(); f != nil {
		return f.Spend(use)
	}
	return nil, false
}

// Spent ends what was taken.
func (s spender) Spent(of []string) { s.fleet.Load().Spent(of) }

// Origins gives a module its part in the budgets at the origin; nil where none is divided.
func (e *Extras) Origins() func() dispatcher.QuotaSource {
	if !e.divides() {
		return nil
	}
	return func() dispatcher.QuotaSource { return &bounder{of: e} }
}

// Changes has purges that the change log tells remembered by the fleet, and those that others tell taken here: they only narrow.
func (e *Extras) Changes(take func(changelog.Event), gone float64) func(changelog.Event) {
	if e.told.Fleet == nil || e.told.Fleet.Memory == nil {
		return take
	}
	e.purged = func(p purgefloor.Floor) {
		take(changelog.Event{Purge: &changelog.Purge{Object: p.Object, Group: p.Group, Time: p.Time, Learned: true}})
	}
	e.gone = gone
	return func(c changelog.Event) {
		take(c)
		if c.Purge != nil {
			e.early.tell(&e.fleet, purgefloor.Floor{Object: c.Purge.Object, Group: c.Purge.Group, Time: c.Purge.Time})
		}
	}
}

const mostEarly = 4096 // purges told before the fleet was opened: as many as wait to be written

// early keeps purges until there is a fleet.
type early struct {
	mu  sync.Mutex
	all []purgefloor.Floor
}

func (e *early) tell(to *atomic.Pointer[cluster.Fleet], p purgefloor.Floor) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f := to.Load(); f != nil {
		f.Purged(p)
	} else if len(e.all) < mostEarly {
		e.all = append(e.all, p)
	}
}

func (e *early) open(to *atomic.Pointer[cluster.Fleet], f *cluster.Fleet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	to.Store(f)
	for _, p := range e.all {
		f.Purged(p)
	}
	e.all = nil
}

// bounder is one module's part, once the fleet is opened.
type bounder struct {
	of *Extras
	*cluster.Bounded
}

// Exchange is dispatcher.QuotaSource.
func (b *bounder) Exchange(host string, held, refused int, acts bool) int {
	if !b.opened() {
		return 0
	}
	return b.Bound(host, held, refused, acts)
}

// Hosts is dispatcher.QuotaSource.
func (b *bounder) Hosts() []string {
	if !b.opened() {
		return b.of.told.Fleet.Budgets.Hosts()
	}
	return b.Bounded.Hosts()
}

func (b *bounder) opened() bool {
	if f := b.of.fleet.Load(); b.Bounded == nil && f != nil {
		b.Bounded = f.Bounds()
	}
	return b.Bounded != nil
}

// Variants makes the stage that names the variant of an object that a GET is sent for.
func (e *Extras) Variants() (dispatcher.Variants, downstream.Devices, error) {
	t := e.told.Variants
	if t == nil {
		return nil, downstream.Devices{}, nil
	}
	s := t.Settings
	s.Module.Self = e.name
	stage, err := variantfilter.New(s)
	if err != nil {
		return nil, downstream.Devices{}, err
	}
	e.variants = stage
	return stage, t.Devices, nil
}

// FrontsBeside is 1 where proxies may connect.
func (e *Extras) FrontsBeside() int {
	if e.told.Proxies == nil {
		return 0
	}
	return 1
}

// Beside opens the front for proxies that ask, and the door to the other dispatchers.
func (e *Extras) Beside(to service.Handling) (all []service.Beside, err error) {
	if t := e.told.Fleet; t != nil {
		s := *t
		s.Name = e.name
		f, err := cluster.Open(s, e.told.Generation, to.Log)
		if err != nil {
			return nil, err
		}
		f.GETs = func() (gets, shed int64) { return to.Counts.GETs.Load(), to.Counts.Shed.Load() }
		f.Counters = func() map[string]int64 { return to.Counts.Each() }
		if e.purged != nil {
			f.TakePurges(e.purged, e.gone)
			if e.variants != nil {
				f.TakeVariants(e.variants, to.Clock.Now)
			}
		}
		e.early.open(&e.fleet, f)
		all = append(all, f)
	}
	t := e.told.Proxies
	if t == nil {
		return all, nil
	}
	l, err := net.Listen("tcp", t.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen for proxies: %w", err)
	}
	o := t.Options
	if t.Material != nil {
		e.proxies.Take(t.Material)
		o.Secure = &e.proxies
	}
	to.Log.Info().Str("listen", t.Listen).Bool("routing", o.Rules.Routing).Msg("listens for proxies")
	return append(all, beside{&extproc.Server{
		Options: o, Handler: to.EarlyHandler, Callers: to.Callers, Log: to.Log, Counts: to.Counts,
		Room: to.Room, Clock: to.Clock, Repeatable: to.Repeatable, Connections: to.Connections,
	}, l}), nil
}

// LogKeyNotices logs what becomes of GETs without an idempotency key, where delivery services of these names need one.
func (e *Extras) LogKeyNotices(log zerolog.Logger, keyed []string) {
	for _, notice := range e.told.KeyNotices(keyed) {
		log.Warn().Str("section", notice.Section).Strs("services", notice.Services).Msg(notice.Text)
	}
}

// Cores tells how many cores are used and how GETs are divided.
func (e *Extras) Cores() service.Cores { return e.told.Cores }

// stale warns of revocation lists that are past their end; they still count.
func stale(log zerolog.Logger, t *operator.TLS) {
	for _, end := range t.Stale {
		if !end.IsZero() && end.Before(time.Now()) {
			log.Warn().Time("ended", end).Msg("a revocation list is past its end, and still counts")
		}
	}
}

// ErrRestart is wrapped with the keys that only a restart changes, where a file that is read again changes one.
var ErrRestart = errors.New("turned on, off or moved by a restart alone")

// restartKeys names the keys of an operator's file that differ and that only a restart changes.
func restartKeys(was, to *operator.Config) (keys []string) {
	type change struct {
		key     string
		differs bool
	}
	changes := []change{
		{"callers", (was.Callers == nil) != (to.Callers == nil)},
		{"tls", (was.TLS == nil) != (to.TLS == nil)},
		{"proxies", (was.Proxies == nil) != (to.Proxies == nil)},
		{"fleet", (was.Fleet == nil) != (to.Fleet == nil)},
		{"fleet.variants", !reflect.DeepEqual(was.Variants, to.Variants)},
	}
	if a, b := was.TLS, to.TLS; a != nil && b != nil {
		changes = append(changes, change{"tls.listen", a.Listen != b.Listen})
	}
	if a, b := was.Proxies, to.Proxies; a != nil && b != nil {
		changes = append(changes,
			change{"proxies.listen", a.Listen != b.Listen},
			change{"proxies.tls", (a.Material == nil) != (b.Material == nil)})
	}
	if a, b := was.Fleet, to.Fleet; a != nil && b != nil {
		changes = append(changes,
			change{"fleet.listen", a.Listen != b.Listen},
			change{"fleet.zone", a.Zone != b.Zone},
			change{"fleet.key", (a.Keys == nil) != (b.Keys == nil)},
			change{"fleet.budgets", (a.Budgets == nil) != (b.Budgets == nil)},
			change{"fleet.memory", !reflect.DeepEqual(a.Memory, b.Memory)},
			change{"fleet.channels", !reflect.DeepEqual(a.Channels, b.Channels)})
	}
	for _, c := range changes {
		if c.differs {
			keys = append(keys, c.key)
		}
	}
	return keys
}

// Read reads the file again, and gives what puts it in force.
func (e *Extras) Read() (take func(zerolog.Logger) error, err error) {
	if e.path == "" {
		return func(zerolog.Logger) error { return nil }, nil
	}
	to, err := operator.Load(e.path, e.services)
	if err != nil {
		return nil, err
	}
	if e.cores > 0 {
		to.Cores.Count, to.Cores.Shards = e.cores, e.cores
	}
	if keys := restartKeys(e.told, to); len(keys) > 0 {
		return nil, fmt.Errorf("%s: %s: %w", e.path, strings.Join(keys, ", "), ErrRestart)
	}
	return func(log zerolog.Logger) error { return e.take(log, to) }, nil
}

// take puts a file in force. The gate goes first: it alone can still say no.
func (e *Extras) take(log zerolog.Logger, to *operator.Config) error {
	if e.gate != nil {
		if err := e.gate.Take(*to.Callers, to.Keys); err != nil {
			return err
		}
		log.Info().Int("keys", len(to.Callers.Keys)).Int("tenants", len(to.Callers.Tenants)).Msg("callers read again")
	}
	if to.TLS != nil {
		e.secure.Take(&to.TLS.Material)
		stale(log, to.TLS)
	}
	if to.Proxies != nil && to.Proxies.Material != nil {
		e.proxies.Take(to.Proxies.Material)
	}
	if f := e.fleet.Load(); f != nil {
		f.Take(*to.Fleet, to.Generation)
	}
	e.told = to
	return nil
}
