package dispatcher

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/call"
	"elderwall/internal/clock"
	"elderwall/internal/standin/rig"
)

// A connection comes up when the GET that waits for it is over, or its client has left: nothing of that GET comes to the host.
func TestAConnectionThatComesUpTooLate(t *testing.T) {
	for name, tt := range map[string]struct {
		late    time.Duration
		givesUp bool
	}{
		"past its time":               {500 * time.Millisecond, false},
		"1.5 s late":                  {1500 * time.Millisecond, false},
		"its client has left":         {0, true},
		"its client left 1.5 s ago":   {1500 * time.Millisecond, true},
		"its client left a while ago": {100 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hosts := rig.NewHosts(t, 1)
			o, _ := rig.Life(t)
			o.Dialer.Timeout = time.Minute
			up := rig.HoldDials(o)
			d := New(Config{Settings: rig.Settings(100), Clock: clock.New(), Options: o, Connections: 1})
			o.Group.Go(func() error { return d.Run(o.Context) })
			d.Take(rig.Whole(hosts.Entries...))
			get := func(id string, budget float64) *rig.Call {
				c := rig.NewCall(o.Room)
				d.Process(c, call.GET{Service: "segment", ID: id, Object: rig.Object, PartText: "0", Budget: budget})
				return c
			}
			began := time.Now()
			c := get("00000000000000a1", map[bool]float64{true: 20, false: 0.3}[tt.givesUp])
			if tt.givesUp {
				d.GiveUp(c)
			} else {
				assert.Equal(t, "refused", <-c.Got)
			}
			time.Sleep(time.Until(began.Add(tt.late))) // the time by which it is late
			close(up)
			other := get("00000000000000b2", 20)
			assert.Equal(t, "served bytes", <-other.Got)
			asked := hosts.Asked()
			require.Len(t, asked, 1)
			assert.Equal(t, "00000000000000b2", asked[0].ID)
			assert.EqualValues(t, 1, o.Counts.HostConnections.Load(), "on the connection that came up late")
			d.mu.Lock()
			defer d.mu.Unlock()
			assert.Empty(t, d.requests)
		})
	}
}
