package replica

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// What was deleted does not come back by a catch-up whose answer was under way while the deletion came: x holds a high tombstone that s has forgotten,
// a lower value was written after it, and then a lower deletion of that, which falls at x to its tombstone.
func TestFallUncoversNothing(t *testing.T) {
	for _, uncover := range []bool{false, true} {
		others := Fleet{Of: 5}
		for _, n := range []string{"s", "x", "y", "z", "w"} {
			others.Others = append(others.Others, Member{Name: n, Alive: true})
		}
		at, by := map[string]*Machine{}, func(writer, value string, dead bool) *Message {
			r := Record{Kind: kindText, Key: "k", Value: []byte(value), Dead: dead, Dot: Dot{writer, 1, 1}}
			return &Message{Deltas: []Delta{{Writer: writer, Era: 1, Index: []uint32{0}, Records: []Carried{{Record: r}}}}}
		}
		step := func(m *Machine, from string, msg *Message) { require.NoError(t, m.Step(from, msg, 1)) }
		for _, n := range []string{"s", "x"} {
			m, err := New(Settings{Name: n, Seed: 1, Kinds: kinds()}, nil, 0)
			require.NoError(t, err)
			m.Fleet(others, 0)
			step(m, "y", by("y", "5", true))
			at[n] = m
		}
		x, s := at["x"], at["s"]
		x.fault.uncover = uncover
		s.drop(s.kinds[kindText].byKey["k"])
		for _, m := range at {
			step(m, "z", by("z", "7", false))
			m.Ready()
		}
		x.begin("s", false)
		for range 9 { // parts of the walk; the deletion comes just before the answer that has the value
			for _, e := range x.Ready().Send {
				if e.To == "s" && e.Message.Pull != nil {
					step(s, "x", &e.Message)
				}
			}
			for _, e := range s.Ready().Send {
				if g := e.Message.Give; g != nil {
					if len(g.Records) > 0 {
						step(x, "w", by("w", "3", true))
					}
					step(x, "s", &e.Message)
				}
			}
		}
		require.Nil(t, x.pull)
		_, back := x.Get(kindText, "k")
		assert.Equal(t, uncover, back)
		step(s, "w", by("w", "3", true))
		x.begin("s", false) // nothing came meanwhile: the tombstone falls
		for range 9 {
			for _, e := range x.Ready().Send {
				if e.To == "s" && e.Message.Pull != nil {
					step(s, "x", &e.Message)
				}
			}
			for _, e := range s.Ready().Send {
				if e.Message.Give != nil {
					step(x, "s", &e.Message)
				}
			}
		}
		assert.Equal(t, uncover, x.tree.sums[0][0] != s.tree.sums[0][0])
	}
}
