package proxycall

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A forward must be sent by the earliest of three times: the end of SendTimeout, the client's deadline, and
// the time that its dispatcher allows.
func TestSendByIsEarliestLimit(t *testing.T) {
	for name, tt := range map[string]struct{ deadline, sendBy, want float64 }{
		"the send timeout ends first":     {10, 10, 1 + SendTimeout},
		"the client's deadline is first":  {1.1, 10, 1.1},
		"the dispatcher's limit is first": {10, 1.2, 1.2},
	} {
		table := New(Settings{}, [32]byte{7})
		c := table.Begin(1, tt.deadline)
		table.AssignForward(1, c, 0, tt.sendBy)
		assert.InDelta(t, tt.want, c.SendBy, 1e-9, name)
	}
}
