package cores

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"elderwall/internal/call"
	"elderwall/internal/changelog"
	"elderwall/internal/clock"
	"elderwall/internal/counters"
	"elderwall/internal/front"
	"elderwall/internal/node"
	"elderwall/internal/room"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	rigs "elderwall/internal/standin/rig"
	"elderwall/stages/shards"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rig is a group behind a front, between stand-in hosts.
type rig struct {
	*testing.T
	*Group
	server  *front.Server
	address string
	counts  *counters.Counters

	mu    sync.Mutex
	asked []standin.Ask
	slow  atomic.Pointer[chan bool] // that hosts wait for
	late  atomic.Pointer[chan bool] // that connections to them wait for
	hosts []*standin.Host
}

const object = "7f3a9c21e0b4d655"

func newRig(t *testing.T, n int, way shards.Way, hosts int) *rig {
	r := &rig{T: t}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	o, s := rigs.Options(ctx, group), rigs.Settings(1000)
	o.Streams, r.counts = 100, o.Counts
	o.Dialer.Control = func(string, string, syscall.RawConn) error {
		if wait := r.late.Load(); wait != nil {
			<-*wait
		}
		return nil
	}
	r.Group = New(node.Config{Settings: s, Clock: clock.New(), Options: o, Connections: 400}, n, way,
		func(shard int, by time.Time) int { return r.server.FailOverdue(shard, by) })
	r.server = &front.Server{Handler: r.Group, Log: zerolog.Nop(), Counts: r.counts, Room: o.Room, Most: 100}
	l := need.Of(net.Listen("tcp", "127.0.0.1:0"))(t)
	r.address = l.Addr().String()
	group.Go(func() error { return r.Group.Run(ctx) })
	group.Go(func() error { return r.server.Serve(ctx, l) })
	var entries []changelog.Host
	for i := range hosts {
		h := need.Of(standin.Listen("127.0.0.1:0", r.answer))(t)
		r.hosts = append(r.hosts, h)
		entries = append(entries, entry(fmt.Sprint("s-", i), h.Address, "SERVING"))
	}
	r.Take(changelog.Event{Fleet: &changelog.Fleet{Reset: true, Hosts: entries}})
	t.Cleanup(func() {
		_ = l.Close()
		cancel()
		assert.NoError(t, group.Wait())
		for _, h := range r.hosts {
			h.Close()
		}
		assert.EqualValues(t, 1<<24, o.Room.Left(), "all room is given back")
	})
	require.Eventually(t, r.Ready, time.Second, time.Millisecond)
	return r
}

func entry(id, address, state string) changelog.Host { return rigs.Entry(id, address, state) }

func (r *rig) answer(a standin.Ask) string {
	if a.Stop {
		return ""
	}
	r.mu.Lock()
	r.asked = append(r.asked, a)
	r.mu.Unlock()
	if wait := r.slow.Load(); wait != nil {
		<-*wait
	}
	return standin.Hit(a.ID, "bytes")
}

// askedFor is what hosts were asked since the last time.
func (r *rig) askedFor() (all []standin.Ask) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all, r.asked = r.asked, nil
	return all
}

func (r *rig) byShard() map[int]*counters.Counters { by, _ := r.Counts(); return by }

func (r *rig) sum() *counters.Counters {
	by, past := r.Counts()
	return counters.Sum(append(slices.Collect(maps.Values(by)), past)...)
}

var ids atomic.Int64

func fields(changes ...string) map[string]string {
	return standin.Fields(append([]string{"rid", fmt.Sprintf("%016x", ids.Add(1))}, changes...)...)
}

func (r *rig) dial() *standin.Client { return need.Client(r, r.address) }

func (r *rig) send(c *standin.Client, changes ...string) int32 {
	return need.Of(c.Process(fields(changes...), ""))(r)
}

func (r *rig) read(c *standin.Client) standin.Reply { got := need.Of(c.Read())(r); return got }

// of is an object whose first part belongs to a shard.
func (r *rig) of(shard int) string {
	for i := 0; ; i++ {
		name := fmt.Sprintf("%016x", i)
		if r.places.Load().table.Of(shards.Key(name, 0), 0) == shard {
			return name
		}
	}
}

// stall holds a shard up, and gives what lets it go on.
func (r *rig) stall(shard int) (goOn func()) {
	held, on := make(chan bool), make(chan bool)
	go r.places.Load().nodes[shard].Within(func() { close(held); <-on })
	<-held
	return func() { close(on) }
}

func TestGETsOfAllShards(t *testing.T) {
	for _, way := range []shards.Way{shards.ByItem, shards.ByConnection} {
		r := newRig(t, 4, way, 3)
		c := r.dial()
		for i := range 200 {
			for range 5 {
				r.send(c, "obj", fmt.Sprintf("%016x", i))
			}
			for range 5 {
				require.Equal(t, "served", r.read(c).Kind)
			}
		}
		var gets, at []int64
		for _, counts := range r.byShard() {
			gets = append(gets, counts.GETs.Load())
			if counts.GETs.Load() > 0 {
				at = append(at, 1)
			}
		}
		assert.Len(t, at, map[shards.Way]int{shards.ByItem: 4, shards.ByConnection: 1}[way], "%v", gets)
		assert.EqualValues(t, 1000, r.sum().Returned.Load())
	}
}

// A purge and a drain with one shard standing still for a second: the others act as told at once, and that one sends
// nothing against them once it goes on; what it owes is answered in its clients' time.
func TestAPurgeAndADrainWhileAShardStandsStill(t *testing.T) {
	r := newRig(t, 2, shards.ByItem, 2)
	still, other, a, b := r.of(0), r.of(1), r.dial(), r.dial()
	for _, name := range []string{still, other} {
		r.send(a, "obj", name, "nth", "0")
		require.Equal(t, "served", r.read(a).Kind)
	}
	r.askedFor()
	goOn := r.stall(0)
	time.Sleep(10 * time.Millisecond)
	late := r.send(a, "obj", still, "nth", "0", "budget", "300") // waits in line
	r.send(a, "obj", still, "nth", "0", "budget", "30000")
	began := time.Now()
	for _, name := range []string{still, other} {
		r.Take(changelog.Event{Purge: &changelog.Purge{Object: name, Time: time.Now().UnixMilli()}})
	}
	r.Take(changelog.Event{Fleet: &changelog.Fleet{Hosts: []changelog.Host{entry("s-0", r.hosts[0].Address, "DRAINING")}}})
	for range 20 {
		r.send(b, "obj", other, "nth", "0")
		require.Equal(t, "served", r.read(b).Kind)
	}
	assert.Less(t, time.Since(began), 250*time.Millisecond, "the other shard goes on")
	for _, ask := range r.askedFor() {
		assert.NotEmpty(t, ask.Fields["cap"], "as told of the purge")
		assert.Equal(t, r.hosts[1].Address, ask.Conn.LocalAddr().String(), "as told of the drain")
	}
	got := r.read(a)
	assert.Equal(t, []any{late, "failed"}, []any{got.Seq, got.Kind})
	assert.Less(t, time.Since(began), 300*time.Millisecond, "before its client has gone")
	time.Sleep(time.Until(began.Add(time.Second)))
	goOn()
	got = r.read(a)
	assert.Equal(t, []any{late + 1, "served"}, []any{got.Seq, got.Kind}, "what still had time is answered")
	for _, ask := range r.askedFor() {
		assert.NotEmpty(t, ask.Fields["cap"])
		assert.Equal(t, r.hosts[1].Address, ask.Conn.LocalAddr().String())
	}
	assert.EqualValues(t, 1, r.counts.Overdue.Load())
	require.Eventually(t, func() bool { return r.together.Held.Load() == 0 }, time.Second, time.Millisecond)
}

// A notice that comes while a shard decides is heard before what was decided goes out.
func TestAForwardThatANoticeOvertookIsKeptBack(t *testing.T) {
	r := newRig(t, 2, shards.ByItem, 1)
	name, n, done := r.of(0), r.places.Load().nodes[0], make(chan bool)
	n.Within(func() { // as if in the middle of a decision
		r.Take(changelog.Event{Purge: &changelog.Purge{Object: name, Time: time.Now().UnixMilli()}})
		n.Process(&lone{room: r.config.Options.Room, done: done}, call.GET{Service: "segment", ID: "9b1f03aa5c7e2d41", Object: name, PartText: "0", Budget: 1})
	})
	<-done
	require.NotEmpty(t, r.askedFor()[0].Fields["cap"])
}

// The same where the shard stands still by then, and the forward waits for its connection: that comes up, and nothing goes out.
func TestAForwardThatWaitsWhileAShardStandsStill(t *testing.T) {
	r, up := newRig(t, 2, shards.ByItem, 2), make(chan bool)
	r.late.Store(&up)
	name, c := r.of(0), r.dial()
	r.send(c, "obj", name, "nth", "0", "budget", "30000")
	require.Eventually(t, func() bool { return r.sum().Forwards.Load() == 1 }, time.Second, time.Millisecond)
	goOn := r.stall(0)
	r.Take(changelog.Event{Purge: &changelog.Purge{Object: name, Time: time.Now().UnixMilli()}})
	close(up)
	time.Sleep(20 * time.Millisecond) // for the connection; whatever comes first, nothing may go out as it was decided
	goOn()
	assert.Equal(t, "served", r.read(c).Kind)
	for _, ask := range r.askedFor() {
		assert.NotEmpty(t, ask.Fields["cap"])
	}
	assert.EqualValues(t, 1, r.sum().Recalled.Load())
}

// lone is a call with no connection.
type lone struct {
	room *room.Room
	done chan bool
}

func (l *lone) Serve(body []byte, _ bool) { l.room.Give(len(body)); close(l.done) }
func (l *lone) Refuse(int64)              { close(l.done) }
func (l *lone) Fail(string)               { close(l.done) }
func (l *lone) Mark(int, time.Time)       {}
func (l *lone) Marked() int               { return 0 }
func (l *lone) Origin() uint64            { return 0 }

func TestACancelThatComesWithTheAnswer(t *testing.T) {
	r := newRig(t, 4, shards.ByItem, 2)
	c := r.dial()
	for i := range 300 {
		seq := r.send(c, "obj", fmt.Sprintf("%016x", i%40))
		if i%3 == 0 {
			time.Sleep(time.Duration(i%7) * 50 * time.Microsecond)
		}
		require.NoError(t, c.GiveUp(seq))
		good, err := probe(c) // whatever was answered before it is over
		require.NoError(t, err)
		require.True(t, good)
	}
	require.Eventually(t, func() bool { return r.together.Held.Load() == 0 }, time.Second, time.Millisecond)
	ended := func() int64 { sum := r.sum(); return sum.Returned.Load() + sum.GivenUp.Load() + sum.Shed.Load() }
	assert.Eventually(t, func() bool { return ended() == 300 }, time.Second, time.Millisecond, "%d", ended())
}

// probe asks whether the dispatcher is there, and passes over answers to what was given up.
func probe(c *standin.Client) (bool, error) {
	for good, err := c.Probe(); ; {
		if good || err != nil {
			return good, err
		}
		got, err2 := c.Read()
		good, err = got.Good && got.Method == "probe", err2
	}
}

func TestAnIDThatIsOpenInAnotherShard(t *testing.T) {
	r, wait := newRig(t, 2, shards.ByItem, 1), make(chan bool)
	r.slow.Store(&wait)
	a, b := r.dial(), r.dial()
	need.Of(a.Process(standin.Fields("obj", r.of(0), "nth", "0"), ""))(t)
	require.Eventually(t, func() bool { return r.together.Held.Load() == 1 }, time.Second, time.Millisecond)
	need.Of(b.Process(standin.Fields("obj", r.of(1), "nth", "0"), ""))(t)
	assert.Equal(t, "failed", r.read(b).Kind)
	close(wait)
	assert.Equal(t, "served", r.read(a).Kind)
	need.Of(b.Process(standin.Fields("obj", r.of(1), "nth", "0"), ""))(t)
	assert.Equal(t, "served", r.read(b).Kind, "once it is free")
}

// A shard whose module breaks answers what it held, and goes on as told before.
func TestAShardThatPanics(t *testing.T) {
	r := newRig(t, 2, shards.ByItem, 2)
	name, other := r.of(0), r.of(1)
	r.Take(changelog.Event{Purge: &changelog.Purge{Object: name, Time: time.Now().UnixMilli()}})
	r.Take(changelog.Event{Fleet: &changelog.Fleet{Hosts: []changelog.Host{entry("s-0", r.hosts[0].Address, "DELETED")}}})
	wait := make(chan bool)
	r.slow.Store(&wait)
	a, b := r.dial(), r.dial()
	r.send(a, "obj", name, "nth", "0")
	r.send(b, "obj", other, "nth", "0")
	require.Eventually(t, func() bool { return len(r.askedFor()) > 0 }, time.Second, time.Millisecond)
	r.places.Load().nodes[0].Within(func() { panic("broken") })
	assert.Equal(t, "failed", r.read(a).Kind)
	close(wait)
	assert.Equal(t, "served", r.read(b).Kind, "the other goes on")
	r.askedFor()
	r.send(a, "obj", name, "nth", "0")
	assert.Equal(t, "served", r.read(a).Kind)
	ask := r.askedFor()[0]
	assert.NotEmpty(t, ask.Fields["cap"], "it knows the purge")
	assert.Equal(t, r.hosts[1].Address, ask.Conn.LocalAddr().String(), "and the list")
	assert.EqualValues(t, 1, r.sum().Rebuilt.Load())
}

// load asks steadily on some connections until it is ended; every GET must be returned.
func (r *rig) load(connections int, pick func(i int) string) (end func() int64) {
	var served atomic.Int64
	var stop atomic.Bool
	var all sync.WaitGroup
	for k := range connections {
		c := r.dial()
		all.Go(func() {
			for i := k; !stop.Load(); i++ {
				if _, err := c.Process(fields("obj", pick(i)), ""); err != nil {
					r.Error(err)
					return
				}
				got, err := c.Read()
				if err != nil || got.Kind != "served" {
					r.Error(got, err)
					return
				}
				served.Add(1)
			}
		})
	}
	return func() int64 { stop.Store(true); all.Wait(); return served.Load() }
}

func TestShardsComeAndGoUnderLoad(t *testing.T) {
	r, wait := newRig(t, 2, shards.ByItem, 3), make(chan bool)
	c := r.dial()
	r.slow.Store(&wait)
	for i := range 8 { // under way through all of it
		r.send(c, "obj", fmt.Sprintf("%016x", i))
	}
	require.Eventually(t, func() bool { return r.together.Held.Load() == 8 }, time.Second, time.Millisecond)
	r.slow.Store(nil)
	end := r.load(6, func(i int) string { return fmt.Sprintf("%016x", i%500) })
	for _, n := range []int{4, 8, 3, 1, 5, 2} {
		r.Resize(n)
		time.Sleep(60 * time.Millisecond)
		assert.Equal(t, n, r.Shards())
	}
	close(wait)
	for range 8 {
		assert.Equal(t, "served", r.read(c).Kind)
	}
	assert.Greater(t, end(), int64(100))
	require.Eventually(t, func() bool { return len(r.alive()) == 2 }, 3*time.Second, 10*time.Millisecond,
		"those that are too many go once they have nothing left")
	assert.Greater(t, r.sum().Returned.Load(), int64(100), "what they counted is kept")
}

func TestAHotObjectIsSpread(t *testing.T) {
	r := newRig(t, 4, shards.ByItem, 3)
	end := r.load(8, func(i int) string {
		if i%10 < 6 {
			return object
		}
		return fmt.Sprintf("%016x", i%1000)
	})
	require.Eventually(t, func() bool { return r.counts.HotItems.Load() > 0 }, 5*time.Second, 10*time.Millisecond)
	over := map[int]bool{}
	for i := range uint64(64) {
		over[r.places.Load().table.Of(shards.Key(object, 3), i)] = true
	}
	end()
	assert.Greater(t, len(over), 2, "60%% of the load is more than two shards should have")
}

func TestAllConnectionsInOneShardAreRelieved(t *testing.T) {
	r := newRig(t, 4, shards.ByConnection, 3)
	var mine []*standin.Client
	first := -1
	for len(mine) < 6 { // connections that fall to one shard
		c := r.dial()
		r.send(c)
		r.read(c)
		for i, counts := range r.byShard() {
			if n := counts.GETs.Swap(0); n > 0 {
				if first < 0 {
					first = i
				}
				if i == first {
					mine = append(mine, c)
				}
			}
		}
	}
	var stop atomic.Bool
	var all sync.WaitGroup
	for _, c := range mine {
		all.Go(func() {
			for !stop.Load() {
				if _, err := c.Process(fields(), ""); err != nil {
					return
				}
				if got, err := c.Read(); err != nil || got.Kind != "served" {
					t.Error(got, err)
					return
				}
			}
		})
	}
	busy := func() (n int) {
		for _, counts := range r.byShard() {
			if counts.GETs.Swap(0) > 50 {
				n++
			}
		}
		return n
	}
	assert.Eventually(t, func() bool { time.Sleep(100 * time.Millisecond); return busy() >= 3 }, 6*time.Second, 10*time.Millisecond)
	stop.Store(true)
	all.Wait()
}

// A shard's line that is too long sheds what comes, and loses no end of what the shard holds.
func TestALineThatIsTooLongLosesNothing(t *testing.T) {
	r, wait := newRig(t, 2, shards.ByItem, 1), make(chan bool)
	r.slow.Store(&wait)
	c, name := r.dial(), r.of(0)
	held := r.send(c, "obj", name, "nth", "0")
	require.Eventually(t, func() bool { return len(r.askedFor()) > 0 }, time.Second, time.Millisecond)
	goOn := r.stall(0)
	for range 5000 {
		r.places.Load().nodes[0].Turn(make(chan shards.Report, 1))
	}
	r.send(c, "obj", name, "nth", "0")
	assert.Equal(t, "refused", r.read(c).Kind)
	close(wait) // its answer comes behind all that
	time.Sleep(20 * time.Millisecond)
	goOn()
	got := r.read(c)
	assert.Equal(t, []any{held, "served"}, []any{got.Seq, got.Kind})
}
