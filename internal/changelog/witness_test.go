package changelog_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"elderwall/internal/changelog"
	"elderwall/internal/clock"
)

// A host's start and a purge are put on the process's clock once, by what was seen of the stream; a wall clock that is stepped makes no host warmer, no
// purge older, and has none start again that is listed again.
func TestStampsAreWitnessed(t *testing.T) {
	for _, step := range []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			var stepped time.Duration
			c := clock.NewWithWall(func() time.Time { return time.Now().Add(stepped) })
			w := changelog.Witness{Clock: c}
			ago := func(d time.Duration) int64 { return time.Now().Add(stepped - d).UnixMilli() }
			listed := func(reset bool, upToDate clock.Instant, hosts ...changelog.Host) []changelog.Host {
				return w.Take(changelog.Event{Fleet: &changelog.Fleet{Reset: reset, Hosts: hosts}}, upToDate).Fleet.Hosts
			}
			age := func(at float64) float64 { return c.Now() - at }

			old := changelog.Host{ID: "old", State: "SERVING", StartedAtMs: ago(50 * time.Second)}
			ever := changelog.Host{ID: "ever", State: "SERVING"}
			first := listed(true, 0, old, ever)
			assert.InDelta(t, 50, age(first[0].StartedAt), 0.1, "of the start, with the clock that was then")
			assert.False(t, first[1].Witnessed, "no start is told")

			stepped = step // of this machine and of the change log, as where they are one
			fresh := changelog.Host{ID: "fresh", State: "SERVING", StartedAtMs: ago(100 * time.Millisecond)}
			upToDate := clock.InstantNow()
			second := listed(false, upToDate, fresh)
			assert.LessOrEqual(t, age(second[0].StartedAt), 0.2, "no warmer than it is")
			assert.GreaterOrEqual(t, age(second[0].StartedAt), 0.0)
			purge := w.Take(changelog.Event{Purge: &changelog.Purge{Time: ago(100 * time.Millisecond)}}, upToDate).Purge
			assert.True(t, purge.Witnessed)
			assert.LessOrEqual(t, age(purge.At), 0.2, "no older than it is")

			again := listed(true, upToDate, old, fresh)
			assert.Equal(t, first[0].StartedAt, again[0].StartedAt, "what is listed again has not started again")
			assert.Equal(t, second[0].StartedAt, again[1].StartedAt)
			anew := fresh
			anew.StartedAtMs = ago(0)
			third := listed(false, clock.InstantNow(), anew)
			assert.GreaterOrEqual(t, third[0].StartedAt, second[0].StartedAt, "it has started again")
		})
	}
}
