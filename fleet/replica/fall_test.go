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
		walk := func() {
			x.begin("s", false)
			for x.pull != nil {
				for _, e := range x.Ready().Send {
					if e.To == "s" && e.Message.Pull != nil {
						step(s, "x", &e.Message)
					}
				}
				for _, e := range s.Ready().Send {
					if g := e.Message.Give; g != nil {
						if len(g.Records) > 0 { // the deletion comes just before the answer that has the value
							step(x, "w", by("w", "3", true))
						}
						step(x, "s", &e.Message)
					}
				}
			}
		}
		walk()
		_, back := x.Get(kindText, "k")
		assert.Equal(t, uncover, back)
		step(s, "w", by("w", "3", true))
		walk() // nothing came meanwhile: the tombstone falls
		assert.Equal(t, uncover, x.kinds[kindText].tree.sums[0][0] != s.kinds[kindText].tree.sums[0][0])
	}
}

// A tombstone that is forgotten here and comes in place of a lower deletion that is not known here, by a delta or a walk, is taken again.
func TestTombstoneHidesADeletion(t *testing.T) {
	record := func(writer, value string, dead bool) Carried {
		return Carried{Record: Record{Kind: kindText, Key: "k", Value: []byte(value), Dead: dead, Dot: Dot{writer, 1, 1}}}
	}
	for _, uncover := range []bool{false, true} {
		for _, walk := range []bool{false, true} {
			m, err := New(Settings{Name: "x", Seed: 1, Kinds: kinds()}, nil, 0)
			require.NoError(t, err)
			m.fault.uncover = uncover
			m.Fleet(Fleet{Of: 5, Others: []Member{{Name: "s"}}}, 0)
			by := func(writer string, c Carried) {
				require.NoError(t, m.Step("s", &Message{Deltas: []Delta{{Writer: writer, Era: 1, Index: []uint32{0}, Records: []Carried{c}}}}, 1))
			}
			high := record("y", "5", true)
			by("y", high)
			m.drop(m.kinds[kindText].byKey["k"])
			by("z", record("z", "7", false))
			if walk { // a deletion by w is hidden under it
				m.begin("s", false)
				m.pull.asked = &Pull{Vector: true, Keys: []uint64{m.hashOf(kindText, "k")}}
				require.NoError(t, m.Step("s", &Message{Give: &Give{ID: m.pull.id, Vector: Vector{{"w", 1, 1, false}, {"y", 1, 1, false}, {"z", 1, 1, false}},
					Keys: m.pull.asked.Keys, Records: []Carried{high}}}, 1))
			} else {
				by("w", high)
			}
			_, back := m.Get(kindText, "k")
			assert.Equal(t, uncover, back, "walk %v", walk)
		}
	}
}
