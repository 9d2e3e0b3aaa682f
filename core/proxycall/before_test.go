package proxycall

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A forward must be sent by the earliest of three: the platform's grace, its client's end, and the time that its own dispatcher gives it.
func TestByWhenAForwardMustBeSent(t *testing.T) {
	for name, tt := range map[string]struct{ until, before, want float64 }{
		"nothing else ends sooner": {10, 10, 1 + SendWithin},
		"its client leaves":        {1.1, 10, 1.1},
		"it must be out by then":   {10, 1.2, 1.2},
	} {
		table := New(Settings{}, [32]byte{7})
		c := table.Begin(1, tt.until)
		table.Name(1, c, 0, tt.before)
		assert.InDelta(t, tt.want, c.SendBy, 1e-9, name)
	}
}
