package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A purge of an object or of its group limits the age of the copies that a request may be answered with,
// until the grace period is over.
func TestPurgesLimitMaxAge(t *testing.T) {
	for _, tt := range []struct {
		name, object string
		group        int
		at, want     float64
	}{
		{"of the object", "a", 0, 3, 1.5},
		{"of its group", "", 4, 3, 1.5},
		{"of another object", "b", 4, 3, 0},
		{"of another group", "", 5, 3, 0},
		{"beyond the grace period", "a", 0, 9, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, rec := newCluster(nil)
			r.HandlePurge(2, tt.object, tt.group, 0.5)
			r.HandlePurge(2, tt.object, tt.group, 1) // an older purge that arrives later must not replace the newer one
			runTimers(r, 2, tt.at)
			r.HandleRequest(tt.at, Request{ID: 7, Object: "a", Group: 4, Deadline: 20})
			assert.InDelta(t, tt.want, rec.last().MaxAge, 1e-9)
		})
	}
}
