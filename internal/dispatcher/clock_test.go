package dispatcher

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/call"
	"elderwall/internal/changelog"
	"elderwall/internal/clock"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/rig"
)

// The wall clock of the machine, and with it that of the change log, is stepped before a purge and a host's start are told: hosts are asked for no copy
// that is older than the purge, and the host counts as cold.
func TestStampsHoldOverAStepOfTheWallClock(t *testing.T) {
	for _, step := range []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			var stepped atomic.Int64
			wall := func() time.Time { return time.Now().Add(time.Duration(stepped.Load())) }
			hosts := rig.NewHosts(t, 1)
			o, _ := rig.Life(t)
			d := New(Config{Settings: rig.Settings(100), Clock: clock.NewWithWall(wall), Options: o, Connections: 100})
			w := changelog.Witness{Clock: d.Clock}
			d.Take(w.Take(rig.Whole(hosts.Entries...), 0))
			upToDate := clock.InstantNow()
			stepped.Store(int64(step))
			began := time.Now()
			d.Take(w.Take(changelog.Event{Purge: &changelog.Purge{Object: rig.Object, Time: wall().UnixMilli()}}, upToDate))
			fresh := rig.Entry("fresh", "127.0.0.1:1", "DRAINING")
			fresh.StartedAtMs = wall().UnixMilli()
			e, err := d.endpoint(w.Take(rig.Changes(fresh), upToDate).Fleet.Hosts[0], 1)
			require.NoError(t, err)
			assert.InDelta(t, d.Clock.Now(), e.OnlineSince, 0.2, "it has just started")
			time.Sleep(20 * time.Millisecond)
			c := rig.NewCall(o.Room)
			d.Process(c, call.GET{Service: "segment", ID: rig.Fresh()[1], Object: rig.Object, PartText: "0", Budget: 20})
			assert.Equal(t, "served bytes", <-c.Got)
			oldest := need.Of(strconv.Atoi(hosts.Asked()[0].Fields["cap"]))(t)
			assert.Positive(t, oldest)
			assert.LessOrEqual(t, int64(oldest), time.Since(began).Milliseconds())
		})
	}
}
