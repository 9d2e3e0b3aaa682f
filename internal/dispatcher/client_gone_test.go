package dispatcher

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"elderwall/internal/call"
	"elderwall/internal/clock"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/rig"
)

// A GET whose client left before its turn came takes nothing, and is settled with its gate.
func TestAGETWhoseClientLeftBeforeItsTurn(t *testing.T) {
	r := newJointRig(t, true)
	c := rig.NewCall(r.Options.Room)
	c.Left.Store(true)
	r.Process(c, call.GET{Service: "segment", ID: rig.Fresh()[1], Object: rig.Object, PartText: "0", Budget: 10})
	other := r.get(10)
	r.under(1)
	r.served(other)
	assert.EqualValues(t, 1, r.asked())
	assert.Zero(t, c.N.Load())
	assert.Zero(t, r.Options.Counts.Joined.Load(), "nobody waits for it")
	assert.EqualValues(t, 1, r.Options.Counts.GivenUp.Load())
}

// A client leaves while its forward waits for a connection, and that is up before word of it comes: the forward is kept back, and by that the
// GET is over. No other is decided on.
func TestAForwardFindsOutThatItsClientHasLeft(t *testing.T) {
	hosts := rig.NewHosts(t, 2)
	o, end := rig.Life(t)
	up := rig.HoldDials(o)
	d := New(Config{Settings: rig.Settings(100), Clock: clock.New(), Options: o, Connections: 100})
	d.Take(rig.Whole(hosts.Entries...))
	c := rig.NewCall(o.Room)
	d.Process(c, call.GET{Service: "segment", ID: rig.Fresh()[1], Object: rig.Object, PartText: "0", Budget: 20})
	c.Left.Store(true)
	close(up)
	need.Soon(t, func() bool { return o.Counts.GivenUp.Load() == 1 })
	d.GiveUp(c) // now it comes
	end()
	assert.Empty(t, d.requests)
	assert.Empty(t, hosts.Asked())
	assert.Equal(t, []int64{1, 1}, []int64{o.Counts.Forwards.Load(), o.Counts.GivenUp.Load()})
}
