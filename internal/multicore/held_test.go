package multicore

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/sharding"
	"elderwall/internal/dispatcher"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
)

// settled waits until a shard has done all that is in its line by now.
func (r *rig) settled(shard int) {
	done := make(chan bool)
	r.places.Load().nodes[shard].QueueTask(func() { close(done) })
	<-done
}

// leave gives a call up, and waits until the dispatcher knows.
func (r *rig) leave(c *standin.Client, seq int32) {
	require.NoError(r, c.GiveUp(seq))
	need.Of(probe(c))(r)
}

// over reads the answer of a GET whose time ends: failed is for one whose shard stood still just then, on a busy machine.
func (r *rig) over(c *standin.Client) {
	assert.Contains(r, []string{"refused", "failed"}, r.read(c).Kind)
}

// Whichever way a GET ends that leads others, or could, it is counted out of what is held once. Another GET is held all the while, so that
// a count that is too low shows.
func TestWhatIsHeldIsCountedOnce(t *testing.T) {
	for name, end := range map[string]func(r *rig, c *standin.Client, held func() int32){
		"a leader that nobody follows leaves": func(r *rig, c *standin.Client, held func() int32) {
			r.leave(c, held())
		},
		"the leader leaves before its follower": func(r *rig, c *standin.Client, held func() int32) {
			lead, other := held(), held()
			r.leave(c, lead)
			r.leave(c, other)
		},
		"the follower leaves before its leader": func(r *rig, c *standin.Client, held func() int32) {
			lead, other := held(), held()
			r.leave(c, other)
			r.leave(c, lead)
		},
		"a leader that nobody follows is shed": func(r *rig, c *standin.Client, held func() int32) {
			r.send(c, "obj", r.of(0), "nth", "0", "budget", "100")
			r.over(c)
		},
		"the leader leaves, and its follower's time ends": func(r *rig, c *standin.Client, held func() int32) {
			lead, follows := held(), r.dial()
			r.send(follows, "obj", r.of(0), "nth", "0", "budget", "200")
			r.leave(c, lead)
			r.over(follows)
		},
		"a leader's time ends, and its follower goes on and leaves": func(r *rig, c *standin.Client, held func() int32) {
			lead := r.dial()
			r.send(lead, "obj", r.of(0), "nth", "0", "budget", "200")
			other := held()
			r.over(lead)
			r.leave(c, other)
		},
		"the shard breaks": func(r *rig, c *standin.Client, held func() int32) {
			held()
			held()
			r.places.Load().nodes[0].QueueTask(func() { panic("broken") })
			for range 2 {
				assert.Equal(r, "failed", r.read(c).Kind)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 2, sharding.ByItem, 2, func(c *dispatcher.Config) { c.Coalesce = []bool{true} })
			wait, anchor, c := r.hosts.Hold(), r.dial(), r.dial()
			defer close(wait)
			r.send(anchor, "obj", r.of(1), "nth", "0")
			r.held(1)
			end(r, c, func() int32 {
				seq := r.send(c, "obj", r.of(0), "nth", "0")
				need.Of(probe(c))(r) // it is in line by the time that this is answered
				r.settled(0)
				return seq
			})
			r.settled(0)
			assert.EqualValues(t, 1, r.together.Open.Load())
		})
	}
}
