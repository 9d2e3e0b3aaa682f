// Package rig has what tests of nodes share: settings of a small fleet, options of connections, entries of a list, hosts
// that keep what they are asked, dispatchers that run for a test, and clients that ask them.
package rig

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"golang.org/x/sync/errgroup"

	"elderwall/core/routing"
	"elderwall/core/settings"
	"elderwall/internal/changelog"
	"elderwall/internal/counters"
	"elderwall/internal/memquota"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/upstream"
)

// Object is the one that GETs of a rig are for, as those of standin.Fields.
const Object = "7f3a9c21e0b4d655"

const roomOf = 1 << 24 // bytes

// Settings is one zone with caches, parents and an origin, and one idempotent delivery service.
func Settings(held int) settings.Settings {
	return settings.Settings{
		Zones: []string{"z"}, Kinds: []string{"std", "parent", "origin"}, Services: []string{"segment"}, MaxHeldRequests: held,
		Settings: routing.Settings{
			ParentKind: 1, OriginKind: 2, CanCancel: true, MaxAttempts: 6, PurgeGrace: 60, CoalesceFills: true,
			SlowStartInitial: 0.2, SlowStartRamp: 9, OverloadMultiple: 2, OverloadWindow: 1, DispatchersByZone: []int{1}, Dispatchers: 1,
			Services: []routing.DeliveryService{{Objective: 5, ViewerTimeout: 60, PriorityWeight: 1, Idempotency: routing.Idempotent, DedupScope: routing.AllHosts}},
		},
	}
}

// Options is connections that live in a group, with 16 MiB of room.
func Options(ctx context.Context, group *errgroup.Group) *upstream.Options {
	return &upstream.Options{
		Log: zerolog.Nop(), Counts: &counters.Counters{}, Room: memquota.New(roomOf), Context: ctx, Group: group,
		IdleClose: time.Minute, Streams: 1000, Dialer: net.Dialer{Timeout: time.Second},
	}
}

// Life is Options of a group that ends with the test, or with end before that: all room must be given back then.
func Life(t testing.TB) (o *upstream.Options, end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	o = Options(ctx, group)
	end = sync.OnceFunc(func() {
		cancel()
		assert.NoError(t, group.Wait())
		assert.EqualValues(t, roomOf, o.Room.Left(), "all room is given back")
	})
	t.Cleanup(end)
	return o, end
}

// HoldDials has connections to hosts come up only once the channel is closed.
func HoldDials(o *upstream.Options) (up chan bool) {
	up = make(chan bool)
	o.Dialer.Control = func(string, string, syscall.RawConn) error { <-up; return nil }
	return up
}

// Entry is a cache of a list.
func Entry(id, address, state string) changelog.Host {
	return changelog.Host{ID: id, Address: address, Zone: "z", Kind: "std", State: state, Weight: 1}
}

// Changes is an event that tells of hosts.
func Changes(hosts ...changelog.Host) changelog.Event {
	return changelog.Event{Fleet: &changelog.Fleet{Hosts: hosts}}
}

// Whole is an event that has all hosts.
func Whole(hosts ...changelog.Host) changelog.Event {
	return changelog.Event{Fleet: &changelog.Fleet{Reset: true, Hosts: hosts}}
}

// Purge is an event that purges an object now, or its whole group for "".
func Purge(object string) changelog.Event {
	return changelog.Event{Purge: &changelog.Purge{Object: object, Time: time.Now().UnixMilli()}}
}

// Hosts are stand-in caches that have all copies, keep what they are asked, and can be held up.
type Hosts struct {
	All     []*standin.Host
	Entries []changelog.Host // s-0, s-1, …

	mu      sync.Mutex
	asked   []standin.Ask
	count   atomic.Int64
	stopped atomic.Int64
	answer  atomic.Pointer[func(standin.Ask) string]
	wait    atomic.Pointer[chan bool]
}

// NewHosts starts so many, which end with the test.
func NewHosts(t testing.TB, n int) *Hosts {
	h := &Hosts{}
	h.Answer(standin.Hits("bytes"))
	for i := range n {
		one := need.Host(t, h.handle)
		h.All, h.Entries = append(h.All, one), append(h.Entries, Entry(fmt.Sprint("s-", i), one.Address, "SERVING"))
	}
	return h
}

// Answer has them answer otherwise.
func (h *Hosts) Answer(answer func(standin.Ask) string) { h.answer.Store(&answer) }

// Hold has them wait with what they are asked from now on, until the channel is closed.
func (h *Hosts) Hold() chan bool { wait := make(chan bool); h.wait.Store(&wait); return wait }

// Free has them wait with nothing new.
func (h *Hosts) Free() { h.wait.Store(nil) }

// Asked is what they were asked since the last time.
func (h *Hosts) Asked() (all []standin.Ask) {
	h.mu.Lock()
	defer h.mu.Unlock()
	all, h.asked = h.asked, nil
	return all
}

// Count is how many GETs and how many STOPs there ever were.
func (h *Hosts) Count() (asked, stopped int64) { return h.count.Load(), h.stopped.Load() }

func (h *Hosts) handle(a standin.Ask) string {
	if a.Stop {
		h.stopped.Add(1)
		return ""
	}
	h.mu.Lock()
	h.asked = append(h.asked, a)
	h.mu.Unlock()
	h.count.Add(1)
	if wait := h.wait.Load(); wait != nil {
		<-*wait
	}
	return (*h.answer.Load())(a)
}

// Call is a call of no connection, which keeps its answers by their words.
type Call struct {
	Got  chan string
	N    atomic.Int32 // answers that it had
	Left atomic.Bool  // its client no longer waits, whether that was told or not

	room *memquota.Room
}

// NewCall is one whose bytes have taken their room there.
func NewCall(room *memquota.Room) *Call { return &Call{room: room, Got: make(chan string, 4)} }

func (c *Call) answer(word string) { c.N.Add(1); c.Got <- word }

// Serve keeps a body, and gives its room back.
func (c *Call) Serve(body []byte, _ bool) {
	c.room.Give(len(body))
	c.answer("served " + string(body))
}

// Refuse keeps that it was rejected.
func (c *Call) Refuse(int64) { c.answer("refused") }

// Fail keeps that it failed.
func (c *Call) Fail(string) { c.answer("failed") }

// Open tells whether an answer is owed still.
func (c *Call) Open() bool { return c.N.Load() == 0 && !c.Left.Load() }

// Mark does nothing: the call is of no connection that a mark could matter to.
func (c *Call) Mark(int, time.Time) {}

// Marked is 0, as nothing is ever marked.
func (c *Call) Marked() int { return 0 }

// Origin is 0, as the call is of no connection.
func (c *Call) Origin() uint64 { return 0 }

// Log is a log that is read while it is written.
type Log struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// Dispatcher is one that runs for a test as its program does, and is ended by SIGTERM.
type Dispatcher struct {
	testing.TB
	Address string
	Signals chan os.Signal
	Ended   chan error
	Out     Log

	program func(log io.Writer, signals <-chan os.Signal) error
}

// Start runs a program that listens at an address until it takes GETs; it ends with the test at the latest.
func Start(t testing.TB, address string, program func(log io.Writer, signals <-chan os.Signal) error) *Dispatcher {
	d := &Dispatcher{TB: t, Address: address, program: program}
	d.Run()
	t.Cleanup(d.End)
	return d
}

// Run runs it, once more if it has ended.
func (d *Dispatcher) Run() {
	d.Signals, d.Ended = make(chan os.Signal, 4), make(chan error, 1)
	signals, ended := d.Signals, d.Ended
	go func() { ended <- d.program(&d.Out, signals) }()
	need.Soon(d, d.Ready)
}

// Ready says whether it takes GETs.
func (d *Dispatcher) Ready() bool { return need.Ready(d.Address) }

// End sends SIGTERM and waits for the end, once.
func (d *Dispatcher) End() {
	if d.Ended != nil {
		d.Signals <- syscall.SIGTERM
		d.Over()
	}
}

// Over waits for the end of one that is ending.
func (d *Dispatcher) Over() { assert.NoError(d, <-d.Ended); d.Ended = nil }

// Dial connects a client.
func (d *Dispatcher) Dial() *standin.Client { return need.Client(d, d.Address) }

var ids atomic.Int64

// Fresh is changes to the usual fields, with an id that no other GET of this process has.
func Fresh(changes ...string) []string {
	return append([]string{"rid", fmt.Sprintf("%016x", ids.Add(1))}, changes...)
}

// Load has clients ask steadily, each one GET at a time with changes to the usual fields, until it is ended; end gives the
// answers by kind and reason.
func Load(clients []*standin.Client, changes func(client, n int) []string) (end func() map[string]int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	var stop atomic.Bool
	seen := map[string]int{}
	for i, c := range clients {
		all.Go(func() {
			for n := 0; !stop.Load(); n++ {
				seq, err := c.Process(standin.Fields(Fresh(changes(i, n)...)...), "")
				var got standin.Reply
				if err == nil {
					got, err = c.Read()
				}
				word := got.Kind + got.Fields["reason"]
				if err != nil {
					word = "broken"
				} else if got.Seq != seq {
					word = "answer of another GET"
				}
				mu.Lock()
				seen[word]++
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	return func() map[string]int { stop.Store(true); all.Wait(); return seen }
}
