package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Hosts that are draining, removed or missing in a complete list get no new attempts and serve no fills.
func TestDrainingAndRemovedHostsGetNoAttempts(t *testing.T) {
	for _, tt := range []struct {
		name    string
		kind    ListKind
		entries []Endpoint
		unused  []uint32
	}{
		{"draining cache", ListChanges, []Endpoint{endpoint(cacheA, 0, Draining)}, []uint32{cacheA}},
		{"removed parent", ListChanges, []Endpoint{endpoint(parentA, 1, Removed)}, []uint32{parentA}},
		{
			"draining parents leave the origin", ListChanges,
			[]Endpoint{endpoint(parentA, 1, Draining), endpoint(parentB, 1, Draining)},
			[]uint32{parentA, parentB},
		},
		{
			"absent from a complete list", ListComplete,
			[]Endpoint{endpoint(cacheB, 0, Ready), endpoint(parentB, 1, Ready)},
			[]uint32{cacheA, cacheC, parentA, origin},
		},
		{"a failed poll changes nothing", ListFailed, nil, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, rec := newCluster(nil)
			r.UpdateEndpoints(1, tt.kind, tt.entries)
			used := map[uint32]bool{}
			for i := range uint32(40) {
				submit(r, 1, i, fmt.Sprint("object", i))
			}
			for _, a := range rec.attempts {
				used[a.Host], used[a.Source] = true, true
			}
			require.Len(t, rec.attempts, 40)
			for _, id := range tt.unused {
				assert.False(t, used[id], "host %d must get no attempts", id)
			}
			if tt.unused == nil {
				assert.Len(t, used, 5, "all caches and parents are used")
			}
		})
	}
}

// Guards against a table that grows with each replaced host: a removed host is kept only while an attempt is
// in flight there.
func TestRemovedHostsAreForgotten(t *testing.T) {
	r, rec := newCluster(nil)
	submit(r, 1, 7, "a")
	for id := uint32(100); id < 200; id++ {
		r.UpdateEndpoints(2, ListChanges, []Endpoint{endpoint(id, 0, Ready)})
		r.UpdateEndpoints(2, ListChanges, []Endpoint{endpoint(id, 0, Removed), endpoint(rec.last().Host, 0, Removed)})
	}
	assert.Len(t, r.endpoints.byID, 6, "a removed host with an attempt in flight is kept")
	respond(r, 3, 7, 0, Succeeded, CacheHit)
	r.UpdateEndpoints(3, ListChanges, nil)
	assert.Len(t, r.endpoints.byID, 5, "it is forgotten once the attempt is back")
}
