// Package dispatcher is the adapter between the routing module and sockets: it turns what was read into calls
// on the module, and the module's actions into messages on connections. It decides nothing.
//
// All state of a Dispatcher is under one lock, under which nothing waits for I/O. What the module's actions
// bring about at once (an attempt that could not be sent, a follower that takes the lead) is kept aside and
// handed to the module when its call has returned, still under the lock. One of several shards queues its
// calls instead of waiting for the lock (task_queue.go).
package dispatcher

import (
	"context"
	"fmt"
	"math"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"elderwall/core/admission"
	"elderwall/core/coalescing"
	"elderwall/core/routing"
	"elderwall/core/settings"
	"elderwall/core/timerwheel"
	"elderwall/internal/call"
	"elderwall/internal/clock"
	"elderwall/internal/upstream"
)

const sweepInterval = 1.0 // s; how often connections are looked over for idle ones, which hosts keep for many

// Config is what a dispatcher is made of.
type Config struct {
	Settings    settings.Settings
	Clock       clock.Clock
	Options     *upstream.Options
	Connections int // to all hosts; shared evenly among those that are listed

	Coalesce []bool // by delivery service, whether requests for the same part share an attempt; nil for none

	// ListHeard is a clock.Instant at which the change log last said something, or the start before that; nil where that is
	// not known.
	ListHeard *atomic.Int64

	Admission Admission // the stage that asks who is calling; nil where nobody does
	Shard     *Shard    // of several in one process; nil for one alone

	Variants Variants // the stage that names the variant that is looked for; nil where none are declared

	// of the cluster's budget at the origin, one for each module; nil where there is none
	Quotas func() QuotaSource
}

// QuotaSource gives the quotas of attempts in flight at the hosts whose totals the cluster divides.
type QuotaSource interface {
	// Hosts is the names of these hosts, and "" for the origin, itself or behind others. A host stays once it
	// is there.
	Hosts() []string
	// Exchange reports how many attempts are in flight at a host and how many requests have found its quota
	// used up so far, and returns the quota; acts is true before the router acts and false after it has.
	Exchange(host string, inFlight, rejections int, acts bool) (quota int)
}

// Admission is the stage before the module that asks who is calling.
type Admission interface {
	// Admit says whether a request is passed on, and for how many seconds its client is to stay away if not.
	Admit(in call.GET, service int) (t admission.Ticket, r admission.Rejection, wait float64)
	// End settles a request that was passed on: whether a host may have worked on it, and whether it was
	// shed.
	End(t admission.Ticket, ran, shed bool)
}

// Dispatcher runs one dispatcher on sockets.
type Dispatcher struct {
	Config
	timer *time.Timer

	mu             sync.Mutex // guards what follows, but for atomics and queue
	router         *routing.Router
	quotas         QuotaSource // nil where there is none
	requests       map[uint32]*request
	byCall         map[call.Call]*request
	lastID         uint32
	hosts          map[uint32]*host
	pendingResults []routing.AttemptResult // for the router, once its call has returned
	expiries       timerwheel.Wheel[*request]
	sweptAt        float64
	bulkUpdate     bool        // the list at hand changes more hosts than are logged one by one
	endpointsKnown atomic.Bool // the endpoint list is known
	draining       atomic.Bool
	coalescer      *coalescing.Table[*request] // nil where none share an attempt
	newLeaders     []*request                  // followers that lead now; for the router, once its call has returned
	lastEvent      uint64                      // the number of the newest event that the router knows
	ownIDs         *requestIDs                 // of a dispatcher that is no shard
	queue          taskQueue                   // of calls, where there are several shards
	keyless        []bool                      // by delivery service, whether a request without the key that it needs was logged
}

// New makes a dispatcher and its module.
func New(c Config) *Dispatcher {
	d := &Dispatcher{
		Config: c, timer: time.NewTimer(time.Hour), requests: map[uint32]*request{},
		byCall: map[call.Call]*request{}, ownIDs: newRequestIDs(1), hosts: map[uint32]*host{},
		keyless: make([]bool, len(c.Settings.Settings.Services)),
	}
	if d.Quotas != nil {
		d.quotas = d.Quotas()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.router = d.newRouter(d.Clock.Now())
	if d.ListHeard != nil {
		d.router.HandleListAsked(d.Clock.Now(), d.Clock.At(clock.Instant(d.ListHeard.Load())))
	}
	d.coalescer = d.newCoalescer()
	return d
}

// newRouter makes a router.
func (d *Dispatcher) newRouter(now float64) *routing.Router {
	r := routing.New(d.settings(), now, actions{d})
	r.ExpectConnectionTimes()
	return r
}

// settings is the configuration of the router, which shares with those of other shards, if there are any.
func (d *Dispatcher) settings() routing.Settings {
	s := d.Settings.Settings
	if d.Shard != nil {
		s.Shards, s.Peers = d.Shard.Shards, d.Shard.Peers
	}
	return s
}

// Run drives the timer until the context ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	for {
		select {
		case <-d.timer.C:
			d.callRecovering(d.tick)
		case <-ctx.Done():
			return nil
		}
	}
}

// tick ends requests whose time is over, has the router run its timers, and now and then closes idle
// connections.
func (d *Dispatcher) tick(now float64) {
	for q, ok := d.expiries.Pop(now); ok; q, ok = d.expiries.Pop(now) {
		d.expire(q)
	}
	d.hearList(now)
	d.router.HandleTimer(now)
	d.Options.Counts.ConnectionWaits.Add(int64(d.router.TakeConnectionWaits()))
	d.expireFollowers(now)
	if now-d.sweptAt >= sweepInterval {
		d.sweptAt = now
		d.sweep(now)
	}
}

// hearList tells the router when the change log last said something.
func (d *Dispatcher) hearList(now float64) {
	if d.ListHeard == nil {
		return
	}
	if pause := d.router.HandleListHeard(now, d.Clock.At(clock.Instant(d.ListHeard.Load()))); pause > 0 {
		d.Options.Counts.ChangeLogPauses.Add(1)
		d.Options.Log.Warn().Int64("pause_ms", int64(math.Round(pause*1e3))).Msg("change log is taken to be late")
	}
}

// callRecovering calls the router on behalf of no connection that could contain a panic, and contains it
// here.
func (d *Dispatcher) callRecovering(what func(now float64)) {
	if d.Shard != nil {
		d.enqueue(what)
		return
	}
	defer func() {
		if broken := recover(); broken != nil {
			d.Options.Log.Error().Str("panic", fmt.Sprint(broken)).Bytes("stack", debug.Stack()).Msg("module broke")
		}
	}()
	d.callRouter(what)
}

// callRouter makes one call on the router, under the lock; a shard queues it instead of waiting for the lock.
func (d *Dispatcher) callRouter(what func(now float64)) {
	if d.Shard != nil {
		d.enqueue(what)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callLocked(what)
}

// callLocked makes one call on the router, hands it the results that this brought about, and has it run
// retries.
func (d *Dispatcher) callLocked(what func(now float64)) {
	d.exchangeQuotas(true)
	defer d.exchangeQuotas(false)
	now := d.Clock.Now()
	what(now)
	d.router.RunRetries(now)
	for len(d.pendingResults)+len(d.newLeaders) > 0 {
		d.startLeaders(now)
		ended := d.pendingResults
		d.pendingResults = nil
		d.handleQueuedEvents(now)
		for _, a := range ended {
			d.router.HandleResult(now, a)
		}
		d.router.RunRetries(now)
	}
}

// exchangeQuotas sets the quotas of the cluster for as long as the router acts, and reports what they are
// used for. Guards against a process that was stopped: it acts by no quota that it had before.
func (d *Dispatcher) exchangeQuotas(acts bool) {
	if d.quotas == nil {
		return
	}
	for _, name := range d.quotas.Hosts() {
		id := uint32(0)
		if name != "" {
			if id = d.hostID(name); d.hosts[id] == nil {
				continue
			}
		}
		inFlight, rejections := d.router.QuotaUsage(id)
		d.router.SetQuota(id, d.quotas.Exchange(name, inFlight, rejections, acts))
	}
}

// Ready reports whether requests may come.
func (d *Dispatcher) Ready() bool { return d.endpointsKnown.Load() && !d.draining.Load() }

// Drain makes the dispatcher not ready; it goes on with what comes.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

// LogSlowStarts has the slow starts that go on logged soon.
func (d *Dispatcher) LogSlowStarts() {
	d.callRecovering(func(now float64) { d.router.ReportSlowStarts(now) })
}

// GiveUpAll has the module answer everything that is held, before the process ends.
func (d *Dispatcher) GiveUpAll() {
	d.callRecovering(func(now float64) { d.router.FinishAll(now) })
}
