package dispatcher

import (
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"elderwall/core/routing"
	"elderwall/internal/call"
	"elderwall/internal/clock"
	"elderwall/internal/standin"
	"elderwall/internal/standin/rig"
)

// One host faults, and the connection to the next comes up after a while: a repeat goes out only where hosts know it for longer than that.
func TestARepeatGoesOutInItsWindow(t *testing.T) {
	for name, tt := range map[string]struct {
		window float64 // s
		want   string
		asked  int
	}{
		"known for less": {0.1, "refused", 1},
		"known for more": {30, "served bytes", 2},
	} {
		t.Run(name, func(t *testing.T) {
			hosts, up := rig.NewHosts(t, 2), make(chan bool)
			hosts.Answer(func(a standin.Ask) string {
				if n, _ := hosts.Count(); n == 1 {
					return standin.Answer(a.ID, "FAULT", "-", "")
				}
				return standin.Hit(a.ID, "bytes")
			})
			o, _ := rig.Life(t)
			o.Dialer.Timeout = time.Minute
			var dials atomic.Int32
			o.Dialer.Control = func(string, string, syscall.RawConn) error {
				if dials.Add(1) > 1 {
					<-up
				}
				return nil
			}
			s := rig.Settings(100)
			s.Settings.Services[0].Idempotency, s.Settings.Services[0].DedupWindow = routing.IdempotencyKeyed, tt.window
			d := New(Config{Settings: s, Clock: clock.New(), Options: o, Connections: 100})
			d.Take(rig.Whole(hosts.Entries...))
			c := rig.NewCall(o.Room)
			began := time.Now()
			d.Process(c, call.GET{Service: "segment", ID: rig.Fresh()[1], Object: rig.Object, PartText: "0", Budget: 20, IdempotencyKey: "k"})
			for dials.Load() < 2 && time.Since(began) < 5*time.Second {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(time.Until(began.Add(150 * time.Millisecond))) // past the shorter window
			close(up)
			assert.Equal(t, tt.want, <-c.Got)
			assert.Len(t, hosts.Asked(), tt.asked)
			assert.EqualValues(t, 1, c.N.Load())
		})
	}
}
