package control

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A bound of the fleet holds also where the own limit lets one go, and at 0; without one nothing changes.
func TestTheFleetsBound(t *testing.T) {
	for _, tt := range []struct {
		bounded        bool
		bound, held    int
		room           bool
		turned, origin int
	}{{false, 0, 0, true, 0, 0}, {false, 0, 9, true, 0, 9}, {true, 0, 0, false, 1, 0}, {true, 2, 1, true, 0, 1}, {true, 2, 2, false, 1, 2}} {
		d := &Dispatcher{origins: allowance{most: math.Inf(1), held: tt.held}}
		if tt.bounded {
			d.Bound(0, tt.bound)
			d.Bound(7, tt.bound) // a host that is not known
		}
		assert.Equal(t, tt.room, d.origins.room(1), "%+v", tt)
		held, turned := d.Bounded(0)
		assert.Equal(t, []int{tt.origin, tt.turned}, []int{held, turned}, "%+v", tt)
	}
}
