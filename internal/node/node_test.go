package node

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"elderwall/control"
	"elderwall/internal/call"
	"elderwall/internal/changelog"
	"elderwall/internal/clock"
	"elderwall/internal/front"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/rig"
)

// forgetful is a node whose module never hears of a GET, as if it had broken on it.
type forgetful struct {
	*Node
	taken chan bool
}

func (f forgetful) Process(c call.Call, _ call.GET) {
	f.guarded(func(now float64) {
		g := &get{id: 7, call: c, until: now}
		f.gets[g.id], f.byCall[c] = g, g
		g.expiry = f.expiries.Add(g.until, g)
		close(f.taken)
		panic("broken")
	})
}

func newNode(t *testing.T) *Node {
	return New(Config{Settings: rig.Settings(1), Clock: clock.New(), Options: rig.Options(t.Context(), &errgroup.Group{}), Connections: 9})
}

func TestAGETThatABrokenModuleLeftIsErroredInItsTime(t *testing.T) {
	n := newNode(t)
	f, o := forgetful{n, make(chan bool)}, n.Options
	server, l := &front.Server{Handler: f, Log: zerolog.Nop(), Counts: o.Counts, Room: o.Room, Most: 1}, need.Listener(t)
	life, _ := rig.Life(t)
	life.Group.Go(func() error { return server.Serve(life.Context, l) })
	c := need.Client(t, l.Addr().String())
	need.Sent(t, c)
	<-f.taken
	n.guarded(n.tick)
	assert.Equal(t, "failed", need.Of(c.Read())(t).Kind)
	assert.Empty(t, n.gets)
	_ = l.Close()
}

func TestHosts(t *testing.T) {
	entry := func(id, address, state string) changelog.Host {
		return rig.Entry(id, "127.0.0.1:"+address, state)
	}
	n := newNode(t)
	for _, tt := range []struct {
		name  string
		reset bool
		list  []changelog.Host
		want  map[string]string // of those that are not gone, by name
		share int64
	}{
		{"the whole list", true, []changelog.Host{entry("a", "1", "SERVING"), entry("b", "2", "SERVING")}, map[string]string{"a": "1", "b": "2"}, 4},
		{"one drains", false, []changelog.Host{entry("a", "1", "DRAINING")}, map[string]string{"a": "1", "b": "2"}, 4},
		{"one is gone, another has its address", false, []changelog.Host{entry("a", "", "DELETED"), entry("c", "1", "SERVING")},
			map[string]string{"b": "2", "c": "1"}, 3},
		{"one moves", false, []changelog.Host{entry("b", "3", "SERVING")}, map[string]string{"b": "3", "c": "1"}, 3},
		{"one comes back", false, []changelog.Host{entry("a", "4", "SERVING")}, map[string]string{"a": "4", "b": "3", "c": "1"}, 3},
		{"one is no longer in the whole list", true, []changelog.Host{entry("a", "4", "SERVING")}, map[string]string{"a": "4"}, 3}} {
		n.Take(changelog.Event{Fleet: &changelog.Fleet{Reset: tt.reset, Hosts: tt.list}})
		got := map[string]string{}
		for _, h := range n.hosts {
			if h.phase != control.Gone {
				got[h.name] = strings.TrimPrefix(h.address, "127.0.0.1:")
			}
		}
		assert.Equal(t, tt.want, got, tt.name)
		assert.Equal(t, tt.share, n.Options.PerHost.Load(), tt.name)
	}
	n.guarded(func(float64) { n.sweep() })
	assert.Len(t, n.hosts, 1, "what is gone is forgotten")
	assert.EqualValues(t, 9, n.Options.PerHost.Load())
	assert.True(t, n.Ready())
}

func TestAForwardWithNoPlaceIsNotItsHostsFault(t *testing.T) {
	n := newNode(t)
	n.Take(rig.Whole(rig.Entry("a", "127.0.0.1:1", "SERVING")))
	n.Options.PerHost.Store(0)
	n.gets[7] = &get{id: 7}
	wire{n}.Forward(control.Forward{GET: 7, Host: n.hostID("a"), Source: n.hostID("a")})
	assert.Equal(t, control.NotTaken, n.ended[0].Outcome)
	assert.EqualValues(t, 1, n.Options.Counts.NoPlace.Load())
}

func TestGETsGivenUpLateWithNothingWrittenAreCounted(t *testing.T) {
	for name, tt := range map[string]struct {
		until    float64 // seconds from when it came, an hour ago
		forwards []*forward
		want     int64
	}{
		"late, nothing sent":         {3601, nil, 1},
		"late, nothing written":      {3601, []*forward{{}}, 1},
		"within the first half":      {9000, nil, 0},
		"by its viewer timeout past": {1, nil, 1},
	} {
		n := newNode(t)
		n.unsent(&get{from: n.Clock.Now() - 3600, until: n.Clock.Now() - 3600 + tt.until, forwards: tt.forwards})
		assert.Equal(t, tt.want, n.Options.Counts.Unsent.Load(), name)
	}
}

func TestEntries(t *testing.T) {
	n := newNode(t)
	started := changelog.Host{ID: "a", Address: "127.0.0.1:1", Zone: "z", Kind: "std", Cell: 2, State: "DRAINING", Weight: 4, StartedAtMs: 1764576000123}
	e, err := n.entry(started, 1)
	require.NoError(t, err)
	assert.Equal(t, control.HostEntry{ID: n.hostID("a"), Cell: 2, Phase: control.Draining, Weight: 4,
		OnlineSince: n.Clock.AtUnixMs(1764576000123), OnlineSinceIsTold: true}, e)
	assert.InDelta(t, 1.5, n.Clock.AtUnixMs(1764576001623)-e.OnlineSince, 1e-6)
	for name, change := range map[string]func(*changelog.Host){
		"no id":                     func(h *changelog.Host) { h.ID = "" },
		"an id that splits a field": func(h *changelog.Host) { h.ID = "a,b" },
		"an unknown state":          func(h *changelog.Host) { h.State = "SLEEPING" },
		"an unknown zone":           func(h *changelog.Host) { h.Zone = "y" },
		"an unknown kind":           func(h *changelog.Host) { h.Kind = "" },
		"no address":                func(h *changelog.Host) { h.Address = "" },
		"a name for an address":     func(h *changelog.Host) { h.Address = "localhost:1" },
	} {
		h := started
		change(&h)
		_, err := n.entry(h, 1)
		assert.Error(t, err, name)
	}
}

// Looking whether a shard can go must not leave a task in line that found the lock taken meanwhile.
func TestNoTaskIsLeftInLineByALookWhetherAShardCanGo(t *testing.T) {
	n := newNode(t)
	n.Shard = &Shard{Together: NewTogether()}
	var stop atomic.Bool
	var all sync.WaitGroup
	all.Go(func() {
		for !stop.Load() {
			n.Close()
		}
	})
	for range 20_000 {
		done := make(chan bool)
		n.Within(func() { close(done) })
		select {
		case <-done:
		case <-time.After(time.Second):
			t.Fatal("a task was left in line")
		}
	}
	stop.Store(true)
	all.Wait()
	for !n.Close() {
	}
	assert.False(t, n.offer(func(float64) {}), "one that is closed takes nothing new")
}

// A long list is taken in by steps: what stops work comes first, hosts that it does not name are gone, and what it says
// twice, or of two hosts at one address, changes nothing else.
func TestALongList(t *testing.T) {
	n := newNode(t)
	list := func(state string, from, to int) (hosts []changelog.Host) {
		for i := from; i < to; i++ {
			hosts = append(hosts, rig.Entry(fmt.Sprint("h", i), fmt.Sprint("127.0.0.1:", 10000+i%200), state))
		}
		return hosts
	}
	take := func(reset bool, hosts ...changelog.Host) {
		n.Take(changelog.Event{Fleet: &changelog.Fleet{Reset: reset, Hosts: hosts}})
	}
	phases := func() map[control.Phase]int {
		by := map[control.Phase]int{}
		for _, h := range n.hosts {
			by[h.phase]++
		}
		return by
	}
	take(true, list("SERVING", 0, 300)...)
	assert.True(t, n.Ready())
	assert.Equal(t, map[control.Phase]int{control.Ready: 300}, phases())
	before := n.hosts[n.hostID("h250")].Host
	take(true, append(list("SERVING", 200, 400), list("DRAINING", 100, 200)...)...)
	assert.Equal(t, map[control.Phase]int{control.Ready: 200, control.Draining: 100, control.Gone: 100}, phases())
	assert.Same(t, before, n.hosts[n.hostID("h250")].Host, "what stays keeps its connections")
	take(false, append(list("SERVING", 0, 90), list("DRAINING", 0, 90)...)...)
	assert.Equal(t, map[control.Phase]int{control.Ready: 200, control.Draining: 190, control.Gone: 10}, phases(), "draining goes first, and the list ends with that")
	assert.EqualValues(t, 3, n.Options.Counts.Lists.Load())
}

// A forward waits for a connection that comes up late, and news comes before that: what forbids it has it decided anew.
func TestNewsBeforeTheFirstByte(t *testing.T) {
	state := func(h *host, state string) changelog.Event {
		told := h.told
		told.State = state
		return rig.Changes(told)
	}
	moved := func(h *host) changelog.Event {
		told := h.told
		told.Address = "127.0.0.1:1"
		return rig.Changes(told)
	}
	whole := func(all []changelog.Host, but *host) changelog.Event {
		return rig.Whole(slices.DeleteFunc(slices.Clone(all), func(h changelog.Host) bool { return h.ID == but.name })...)
	}
	to, from := func(f *forward) string { return f.to.address }, func(f *forward) string { return f.from.name }
	for name, tt := range map[string]struct {
		news   func(f *forward, all []changelog.Host) changelog.Event
		never  func(f *forward) string // where it must not go to, or be filled from; nil for anywhere
		purged bool
	}{
		"its source drains":         {func(f *forward, _ []changelog.Host) changelog.Event { return state(f.from, "DRAINING") }, from, false},
		"its source is gone":        {func(f *forward, _ []changelog.Host) changelog.Event { return state(f.from, "DELETED") }, from, false},
		"a whole list lacks it":     {func(f *forward, all []changelog.Host) changelog.Event { return whole(all, f.from) }, from, false},
		"its host drains":           {func(f *forward, _ []changelog.Host) changelog.Event { return state(f.to, "DRAINING") }, to, false},
		"its host is gone":          {func(f *forward, _ []changelog.Host) changelog.Event { return state(f.to, "DELETED") }, to, false},
		"its host moves":            {func(f *forward, _ []changelog.Host) changelog.Event { return moved(f.to) }, to, false},
		"its object is purged":      {func(*forward, []changelog.Host) changelog.Event { return rig.Purge(rig.Object) }, nil, true},
		"its group is purged":       {func(*forward, []changelog.Host) changelog.Event { return rig.Purge("") }, nil, true},
		"another object is purged":  {func(*forward, []changelog.Host) changelog.Event { return rig.Purge("other") }, nil, false},
		"its host is told of again": {func(f *forward, _ []changelog.Host) changelog.Event { return rig.Changes(f.to.told) }, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hosts, up := rig.NewHosts(t, 4), make(chan bool)
			o, end := rig.Life(t)
			o.Dialer.Timeout = time.Minute
			o.Dialer.Control = func(string, string, syscall.RawConn) error { <-up; return nil }
			n, all := New(Config{Settings: rig.Settings(100), Clock: clock.New(), Options: o, Connections: 100}), hosts.Entries
			all[2].Kind, all[3].Kind = "parent", "parent"
			n.Take(rig.Whole(all...))
			c := rig.NewCall(o.Room)
			n.Process(c, call.GET{Service: "segment", ID: "9b1f03aa5c7e2d41", Object: rig.Object, PartText: "0", Budget: 20})
			n.mu.Lock()
			f := n.byID["9b1f03aa5c7e2d41"].forwards[0]
			n.mu.Unlock()
			n.Take(tt.news(f, all))
			close(up)
			assert.Equal(t, "served bytes", <-c.Got)
			end()
			asked := hosts.Asked()
			require.Len(t, asked, 1, "what was taken back never went out")
			if tt.never != nil {
				assert.NotContains(t, []string{asked[0].Fields["up"], asked[0].Conn.LocalAddr().String()}, tt.never(f))
			}
			assert.Equal(t, tt.purged, asked[0].Fields["cap"] != "")
			assert.EqualValues(t, map[bool]int{true: 1}[tt.never != nil || tt.purged], o.Counts.Recalled.Load())
		})
	}
}
