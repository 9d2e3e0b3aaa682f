package node

import (
	"context"
	"fmt"
	"net"
	"strings"
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
	"elderwall/internal/counters"
	"elderwall/internal/front"
	"elderwall/internal/room"
	"elderwall/internal/standin"
	"elderwall/internal/upstream"
	"elderwall/settings"
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
	o := &upstream.Options{Log: zerolog.Nop(), Counts: &counters.Counters{}, Room: room.New(1 << 20), Context: t.Context(),
		Group: &errgroup.Group{}}
	s := settings.Settings{Zones: []string{"z"}, Kinds: []string{"std"}, MostHeld: 1,
		Settings: control.Settings{ParentKind: -1, OriginKind: -1}}
	return New(Config{Settings: s, Clock: clock.New(), Options: o, Connections: 9})
}

func TestAGETThatABrokenModuleLeftIsErroredInItsTime(t *testing.T) {
	n := newNode(t)
	f := forgetful{n, make(chan bool)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	server := &front.Server{Handler: f, Log: zerolog.Nop(), Counts: n.Options.Counts, Room: n.Options.Room, Most: 1}
	ended := make(chan error)
	go func() { ended <- server.Serve(ctx, l) }()
	c, err := standin.Dial(l.Addr().String())
	require.NoError(t, err)
	_, err = c.Process(standin.Fields(), "")
	require.NoError(t, err)
	<-f.taken
	n.guarded(n.tick)
	r, err := c.Read()
	require.NoError(t, err)
	assert.Equal(t, "failed", r.Kind)
	assert.Empty(t, n.gets)
	cancel()
	_ = l.Close()
	assert.NoError(t, <-ended)
}

func TestHosts(t *testing.T) {
	entry := func(id, address, state string) changelog.Host {
		return changelog.Host{ID: id, Address: "127.0.0.1:" + address, Zone: "z", Kind: "std", State: state}
	}
	tests := []struct {
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
		{"one is no longer in the whole list", true, []changelog.Host{entry("a", "4", "SERVING")}, map[string]string{"a": "4"}, 3},
	}
	n := newNode(t)
	for _, tt := range tests {
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
	n.Take(changelog.Event{Fleet: &changelog.Fleet{Reset: true, Hosts: []changelog.Host{{ID: "a", Address: "127.0.0.1:1", Zone: "z",
		Kind: "std", State: "SERVING"}}}})
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
	stop, stopped := make(chan bool), make(chan bool)
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				n.Close()
			}
		}
	}()
	for range 20_000 {
		done := make(chan bool)
		n.Within(func() { close(done) })
		select {
		case <-done:
		case <-time.After(time.Second):
			t.Fatal("a task was left in line")
		}
	}
	close(stop)
	<-stopped
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
			hosts = append(hosts, changelog.Host{ID: fmt.Sprint("h", i), Address: fmt.Sprint("127.0.0.1:", 10000+i%200), Zone: "z", Kind: "std", State: state})
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
