package replication

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin/need"
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
			m := need.Of(New(Settings{Name: n, Seed: 1, Kinds: kinds()}, nil, 0))(t)
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
			m := need.Of(New(Settings{Name: "x", Seed: 1, Kinds: kinds()}, nil, 0))(t)
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
				require.NoError(t, m.Step("s", &Message{Give: &Give{
					ID: m.pull.id, Vector: Vector{{"w", 1, 1, false}, {"y", 1, 1, false}, {"z", 1, 1, false}},
					Keys: m.pull.asked.Keys, Records: []Carried{high},
				}}, 1))
			} else {
				by("w", high)
			}
			_, back := m.Get(kindText, "k")
			assert.Equal(t, uncover, back, "walk %v", walk)
		}
	}
}

// A write under a deletion that its writer has forgotten and another still holds is not acknowledged: its writer hears it, whoever passes it on.
func TestAWriteUnderAForgottenDeletionIsTold(t *testing.T) {
	for _, fault := range []bool{false, true} {
		w := newWorld(t, 3, 9)
		w.boot = func(m *Machine) { m.fault.countsFallen = fault }
		w.all()
		w.run(3)
		x, sure := w.nodes[0], Sure{Level: Majority, Within: 5}
		need.Of(w.write(x, kindText, "k", "5", true, sure))(t)
		w.run(1)
		x.m.drop(x.m.kinds[kindText].byKey["k"])
		var out []Outcome
		dot := need.Of(w.write(x, kindText, "k", "4", false, sure))(t)
		w.told = func(o Outcome) { out = append(out, o) }
		w.run(3)
		require.Len(t, out, 1)
		assert.Equal(t, dot, out[0].Dot)
		assert.Equal(t, []bool{fault, !fault}, []bool{out[0].Met, out[0].Lower})
	}
}

// One that is cut off, and starts again and again, was away since it heard the fleet last: beyond the horizon it takes all.
func TestAwaySinceItHeardTheFleet(t *testing.T) {
	for _, fault := range []bool{false, true} {
		w := newWorld(t, 3, 10)
		w.boot, w.horizon = func(m *Machine) { m.fault.savesTouch = fault }, 60
		w.all()
		w.run(100)
		x := w.nodes[2]
		w.kill(x)
		saved := x.disk.load(w.now)
		require.Less(t, saved.Away, 30.0, "it is kept although nothing is written")
		w.fill(w.nodes[0], 10, "a")
		w.cutOff[x.name] = 1
		for range 5 {
			w.start(x, x.disk.load(w.now))
			w.run(15)
			w.kill(x)
		}
		w.start(x, x.disk.load(w.now))
		w.heal()
		require.Less(t, w.settle(40), 40.0)
		assert.Equal(t, fault, x.m.Status().Wholes == 0)
		assert.Empty(t, w.verdict())
	}
}

// A kind that was full at all of them, so that none has all of it, is brought in once there is room, also after a start; then it is acknowledged again.
func TestWhatWasDroppedIsBroughtIn(t *testing.T) {
	w := newWorld(t, 3, 11)
	w.few, w.horizon = 20, 30
	w.all()
	w.run(3)
	for i, x := range w.nodes {
		w.cutOff[x.name] = i
	}
	w.fleet()
	for i, x := range w.nodes {
		w.fill(x, 15, fmt.Sprint(i))
	}
	w.heal()
	w.run(20)
	for _, x := range w.nodes {
		require.NotEmpty(t, x.m.lacked, x.name)
		w.kill(x)
	}
	w.few = 200
	for _, x := range w.nodes {
		w.start(x, x.disk.load(w.now))
		assert.NotEmpty(t, x.m.lacked, "it is kept")
	}
	require.Less(t, w.settle(60), 60.0)
	assert.Len(t, w.state(w.nodes[0]), 45)
	dot := need.Of(w.write(w.nodes[0], kindText, "k", "5", false, Sure{Level: Copies, Copies: 3, Within: 5}))(t)
	w.run(3)
	assert.Equal(t, Majority, w.writes[dot].met)
	assert.Empty(t, w.verdict())
}
