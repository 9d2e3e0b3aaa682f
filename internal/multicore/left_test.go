package multicore

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/sharding"
	"elderwall/internal/dispatcher"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/upstream"
)

// ways in which a client leaves.
var ways = map[string]func(t *testing.T, c *standin.Client, seq int32){
	"gives up": func(t *testing.T, c *standin.Client, seq int32) { require.NoError(t, c.GiveUp(seq)) },
	"closes":   func(_ *testing.T, c *standin.Client, _ int32) { _ = c.Conn.Close() },
	"resets": func(_ *testing.T, c *standin.Client, _ int32) {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		_ = c.Conn.Close()
	},
}

// leaver is a client that leaves while its GET waits somewhere.
type leaver struct {
	*rig
	*standin.Client
	seq int32
	way func(t *testing.T, c *standin.Client, seq int32)
}

// asks sends its GET, which belongs to the first shard unless that is changed.
func (l *leaver) asks(changes ...string) {
	l.seq = need.Sent(l, l.Client, append([]string{"rid", leavers, "obj", l.of(0), "nth", "0"}, changes...)...)
}

// goes has it leave, and waits until its dispatcher's front knows.
func (l *leaver) goes() {
	before := l.gaveUp.Load()
	l.way(l.T, l.Client, l.seq)
	need.Soon(l, func() bool { return l.gaveUp.Load() > before })
}

// hasDecided waits until one forward was decided on.
func (l *leaver) hasDecided() {
	need.Soon(l, func() bool { return l.sum().Forwards.Load() == 1 })
}

// stalls holds the first shard up by another goroutine than that which reads from the client: a probe is answered once that reads again.
func (l *leaver) stalls() (goOn func()) {
	need.Of(probe(l.Client))(l)
	return l.stallFirst()
}

// hold has connections to hosts wait until they are let up.
func (l *leaver) hold() (up func()) {
	wait := make(chan bool)
	l.late.Store(&wait)
	return func() { close(wait) }
}

// nothing checks that nothing goes out for a while in which whatever may go out does.
func (l *leaver) nothing() {
	assert.Never(l, func() bool { n, _ := l.hosts.Count(); return n > 0 }, 60*time.Millisecond, time.Millisecond)
}

const leavers = "ffffffffffffffaa" // the id of its GET, which no other has

// A client that has left is gone: nothing of its GET begins at a host, wherever that waited. Those who wait with it are served.
func TestNothingBeginsForAClientThatHasLeft(t *testing.T) {
	joins := func(c *dispatcher.Config) { c.Coalesce = []bool{true} }
	for name, tt := range map[string]struct {
		change func(*dispatcher.Config)
		waits  func(l *leaver)
		begins bool // a forward under its id, which others need
	}{
		"for a connection": {nil, func(l *leaver) {
			up := l.hold()
			l.asks()
			l.hasDecided()
			l.goes()
			up()
		}, false},
		"for a connection to hosts that can't be told to stop": {func(c *dispatcher.Config) { c.Settings.CanCancel = false }, func(l *leaver) {
			up := l.hold()
			l.asks()
			l.hasDecided()
			l.goes()
			l.settled(0)
			up()
			l.nothing()
		}, false},
		"for a connection, while its shard stands still": {nil, func(l *leaver) {
			up := l.hold()
			l.asks()
			l.hasDecided()
			goOn := l.stalls()
			l.goes()
			up()
			l.nothing()
			goOn()
		}, false},
		"in the line of a shard that stands still": {nil, func(l *leaver) {
			goOn := l.stallFirst()
			l.asks()
			need.Soon(l, func() bool { return l.sum().GETs.Load() == 1 })
			l.goes()
			goOn()
		}, false},
		"for a further forward, while its shard stands still": {func(c *dispatcher.Config) { c.Options.Places = upstream.NewPlaces(100) }, func(l *leaver) {
			wait := l.hosts.Hold()
			l.asks()
			need.Soon(l, func() bool { n, _ := l.hosts.Count(); return n == 1 })
			goOn := l.stalls()
			for _, h := range l.hosts.All { // its end is in line before its client's
				h.Reset()
			}
			l.hosts.Asked()
			need.Soon(l, func() bool { return l.config.Options.Places.Taken() == 0 })
			l.goes()
			l.hosts.Free()
			goOn()
			close(wait)
		}, false},
		"for a connection, in a shard that goes": {nil, func(l *leaver) {
			up := l.hold()
			l.asks("obj", l.of(1))
			l.hasDecided()
			l.Resize(1)
			l.goes()
			up()
		}, false},
		"for a connection, in a shard that breaks": {nil, func(l *leaver) {
			up := l.hold()
			l.asks()
			l.hasDecided()
			goOn := l.stalls()
			l.goes()
			go l.places.Load().nodes[0].QueueTask(func() { panic("broken") })
			goOn()
			need.Soon(l, func() bool { return l.sum().Rebuilt.Load() == 1 })
			up()
		}, false},
		"behind the forward of another": {joins, func(l *leaver) {
			wait, lead := l.hosts.Hold(), l.dial()
			l.send(lead, "obj", l.of(0), "nth", "0")
			l.hasDecided()
			l.asks()
			need.Soon(l, func() bool { return l.sum().Joined.Load() == 1 })
			l.goes()
			close(wait)
			assert.Equal(l, "served", l.read(lead).Kind)
		}, false},
		"behind a forward for a connection, whose own client has left": {joins, func(l *leaver) {
			up, lead := l.hold(), l.dial()
			seq := l.send(lead, "obj", l.of(0), "nth", "0")
			l.hasDecided()
			l.asks()
			need.Soon(l, func() bool { return l.sum().Joined.Load() == 1 })
			l.leave(lead, seq)
			l.goes()
			up()
		}, false},
		"with a forward for a connection that another waits for, while its shard stands still": {joins, func(l *leaver) {
			up, follows := l.hold(), l.dial()
			l.asks()
			l.hasDecided()
			l.send(follows, "obj", l.of(0), "nth", "0")
			need.Soon(l, func() bool { return l.sum().Joined.Load() == 1 })
			goOn := l.stalls()
			l.goes()
			up()
			l.nothing()
			goOn()
			assert.Equal(l, "served", l.read(follows).Kind)
		}, true},
	} {
		for how, way := range ways {
			t.Run(name+"/"+how, func(t *testing.T) {
				changes := []func(*dispatcher.Config){}
				if tt.change != nil {
					changes = append(changes, tt.change)
				}
				r := newRig(t, 2, sharding.ByItem, 2, changes...)
				l := &leaver{rig: r, Client: r.dial(), way: way}
				tt.waits(l)
				r.held(0)
				for range 2 { // whatever was to go out went out before these
					r.ask(r.dial(), "obj", r.of(0), "nth", "0")
				}
				begun := false
				for _, ask := range r.hosts.Asked() {
					begun = begun || ask.ID == leavers && !ask.Stop
				}
				assert.Equal(t, tt.begins, begun)
				assert.EqualValues(t, 1, r.sum().GivenUp.Load()-leftWith[name], "it is counted once")
			})
		}
	}
}

// leftWith is how many others leave.
var leftWith = map[string]int64{"behind a forward for a connection, whose own client has left": 1}
