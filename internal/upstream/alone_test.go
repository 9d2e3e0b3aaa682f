package upstream_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/upstream"
)

// Where no second copy is allowed, a request is given up at one host before it goes out to the next: by its STOP, or, where the host takes none, by the
// end of its connection.
func TestARequestIsGivenUpBeforeItGoesElsewhere(t *testing.T) {
	for _, tt := range []struct {
		name           string
		blocked, alone bool
	}{{"the host takes the STOP", false, true}, {"the host takes nothing more", true, true}, {"second copies are allowed", true, false}} {
		t.Run(tt.name, func(t *testing.T) {
			l, o := need.Listener(t), options(t)
			o.PerHost.Store(1)
			first := upstream.New(l.Addr().String(), o, 0)
			f, _ := sent(t, first, "a")
			p := accepted(t, l)
			p.request("a")
			var large chan upstream.Result
			if tt.blocked {
				one, done := forward("large", strings.Repeat("x", 16<<20))
				require.NoError(t, first.Send(one))
				need.Of(p.in.ReadByte())(t) // it has begun, and does not end
				large = done
			}
			asked := make(chan bool, 1) // whether the first is stopped by then
			second := host(t, o, func(a standin.Ask) string { asked <- !f.Stopping(); return standin.Hit(a.ID, "x") })
			began := time.Now()
			f.Stop()
			next, done := forward("a", "")
			next.Previous, next.Alone = f, tt.alone
			require.NoError(t, second.Send(next))
			assert.Equal(t, tt.alone || !tt.blocked, <-asked)
			if tt.blocked && tt.alone {
				assert.GreaterOrEqual(t, time.Since(began), upstream.StopIn)
				assert.Less(t, (<-large).Stage, upstream.WrittenWhole, "its connection has ended")
			}
			assert.Equal(t, upstream.Answered, end(second, done).Stage)
		})
	}
}
