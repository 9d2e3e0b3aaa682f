package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDrainingHostsGetNothing(t *testing.T) {
	for _, tt := range []struct {
		name    string
		form    ListKind
		entries []Endpoint
		gone    []uint32
	}{
		{"draining cache", ListChanges, []Endpoint{entry(cacheA, 0, Draining)}, []uint32{cacheA}},
		{"parent that is gone", ListChanges, []Endpoint{entry(parentA, 1, Removed)}, []uint32{parentA}},
		{
			"draining parents leave the origin", ListChanges,
			[]Endpoint{entry(parentA, 1, Draining), entry(parentB, 1, Draining)},
			[]uint32{parentA, parentB},
		},
		{
			"absent from a complete list", ListComplete,
			[]Endpoint{entry(cacheB, 0, Ready), entry(parentB, 1, Ready)},
			[]uint32{cacheA, cacheC, parentA, origin},
		},
		{"a failed call changes nothing", ListFailed, nil, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, r := newCluster(nil)
			d.UpdateEndpoints(1, tt.form, tt.entries)
			used := map[uint32]bool{}
			for i := range uint32(40) {
				ask(d, 1, i, fmt.Sprint("object", i))
			}
			for _, f := range r.forwards {
				used[f.Host], used[f.Source] = true, true
			}
			require.Len(t, r.forwards, 40)
			for _, id := range tt.gone {
				assert.False(t, used[id], "host %d is used", id)
			}
			if tt.gone == nil {
				assert.Len(t, used, 5, "all caches and parents")
			}
		})
	}
}

func TestRemovedHostsAreForgotten(t *testing.T) {
	d, r := newCluster(nil)
	ask(d, 1, 7, "a")
	for id := uint32(100); id < 200; id++ {
		d.UpdateEndpoints(2, ListChanges, []Endpoint{entry(id, 0, Ready)})
		d.UpdateEndpoints(2, ListChanges, []Endpoint{entry(id, 0, Removed), entry(r.last().Host, 0, Removed)})
	}
	assert.Len(t, d.endpoints.byID, 6, "that which a GET is out at stays")
	answer(d, 3, 7, 0, Succeeded, CacheHit)
	d.UpdateEndpoints(3, ListChanges, nil)
	assert.Len(t, d.endpoints.byID, 5)
}
