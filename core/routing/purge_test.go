package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestPurges(t *testing.T) {
	for _, tt := range []struct {
		name, object string
		group        int
		at, want     float64
	}{
		{"of the object", "a", 0, 3, 1.5},
		{"of its group", "", 4, 3, 1.5},
		{"of another object", "b", 4, 3, 0},
		{"of another group", "", 5, 3, 0},
		{"long ago: no old copy is left", "a", 0, 9, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, r := newCluster(nil)
			d.HandlePurge(2, tt.object, tt.group, 0.5)
			d.HandlePurge(2, tt.object, tt.group, 1) // an older one, told later, does not loosen
			tickTo(d, 2, tt.at)
			d.HandleRequest(tt.at, Request{ID: 7, Object: "a", Group: 4, Deadline: 20})
			assert.InDelta(t, tt.want, r.last().MaxAge, 1e-9)
		})
	}
}
