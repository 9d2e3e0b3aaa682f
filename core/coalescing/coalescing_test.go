package coalescing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var key = Key{Object: "a"}

// fixture is a test with a table whose waiters are identified by names.
type fixture struct {
	*testing.T
	*Table[string]
}

// newFixture returns a fixture with an empty table.
func newFixture(t *testing.T) fixture { return fixture{t, New[string]()} }

// join adds a GET for an object with the given deadline, in seconds, and checks the role that it gets.
func (f fixture) join(now float64, object string, deadline float64, name string, want Role) *Waiter[string] {
	w, role := f.Join(now, Key{Object: object}, deadline, name)
	assert.Equal(f, want, role, name)
	return w
}

// leave lets the client of a GET leave, and checks which leader must be stopped as a result ("" for none).
func (f fixture) leave(w *Waiter[string], want string) {
	leader, stopLeader := f.Leave(w)
	assert.Equal(f, []any{want, want != ""}, []any{leader, stopLeader}, w.Value)
}

// All followers of an object must be answered by its leader, and GETs for other objects or after the answer
// must lead flights of their own.
func TestFollowersShareLeadersAnswer(t *testing.T) {
	f := newFixture(t)
	leader := f.join(0, "a", 1, "lead", Leader)
	f.join(0, "b", 1, "another object's", Leader)
	for i := range 3 {
		f.join(0.1, "a", 1, fmt.Sprint(i), Follower)
	}
	assert.True(t, leader.HasFollowers())
	answered, next := f.FinishLeader(0.2, leader, Served)
	assert.Equal(t, []string{"0", "1", "2"}, answered)
	assert.Nil(t, next)
	f.join(0.3, "a", 1, "new", Leader)
	assert.Zero(t, f.Followers())
}

// A leader whose client leaves must not be stopped as long as followers need its work, and must be stopped
// once the last one has left.
func TestLeaderWithFollowersIsNotStopped(t *testing.T) {
	f := newFixture(t)
	leader, a, b := f.join(0, "a", 1, "lead", Leader), f.join(0, "a", 1, "a", Follower), f.join(0, "a", 2, "b", Follower)
	f.leave(leader, "") // followers need it
	f.leave(a, "")
	f.leave(b, "lead") // the last follower has left
	f.leave(b, "")     // leaving twice has no effect
}

// If a leader fails, only one of its followers must try again, or a failure would multiply the forwards. After
// maxLeaders failures, or if the leader was shed, all followers are answered.
func TestFailurePromotesOneFollower(t *testing.T) {
	f := newFixture(t)
	leader, leaders := f.join(0, "a", 1, "lead", Leader), 1
	for i := range 1000 {
		f.join(0, "a", 1+float64(i)/1000, fmt.Sprint(i), Follower)
	}
	answered, next := f.FinishLeader(0.1, leader, Failed)
	assert.Equal(t, "999", next.Value, "the follower with the most remaining time")
	for ; next != nil; leaders++ {
		answered, next = f.FinishLeader(0.1, next, Failed)
	}
	assert.Equal(t, []int{maxLeaders, 1000 - maxLeaders + 1}, []int{leaders, len(answered)})
	leader = f.join(0, "a", 1, "lead", Leader)
	f.join(0, "a", 2, "a", Follower)
	answered, next = f.FinishLeader(0.1, leader, Shed)
	assert.Equal(t, []string{"a"}, answered, "a shed leader's followers are answered at once")
	assert.Nil(t, next)
}

// A GET must not follow if its time ends before the usual duration of a flight, and a follower must be
// answered before its viewer timeout.
func TestFollowerTimeouts(t *testing.T) {
	f := newFixture(t)
	f.FinishLeader(2, f.join(0, "a", 1, "lead", Leader), Served) // the usual duration of flights becomes 0.2 seconds
	leader := f.join(5, "a", 6, "lead", Leader)
	f.join(5.1, "a", 5.12, "20 ms left", Alone)
	f.join(5.1, "a", 5.4, "short", Follower)
	_, ok := f.NextTimedOut(5.34)
	assert.False(t, ok)
	late, ok := f.NextTimedOut(5.36)
	assert.Equal(t, []any{"short", false, true}, []any{late.Follower, late.StopLeader, ok}, "before its viewer timeout")
	f.join(5.4, "a", 9, "long", Follower)
	_, next := f.FinishLeader(5.95, leader, DeadlineExceeded)
	assert.Equal(t, "long", next.Value)
}

// A GET that arrives after a purge must not get an answer that was requested before it. GETs that joined
// before the purge still do.
func TestPurgeClosesFlights(t *testing.T) {
	f := newFixture(t)
	before := f.join(0, "a", 1, "before", Leader)
	f.join(0, "a", 1, "with it", Follower)
	f.Purge("a", 0)
	f.join(0.1, "a", 1, "after", Leader)
	answered, _ := f.FinishLeader(0.2, before, Served)
	assert.Equal(t, []string{"with it"}, answered)
	f.join(0.2, "a", 1, "after too", Follower)
	f.Purge("", 3)
	f.join(0.2, "a", 1, "another group's", Follower)
	f.Purge("", 0)
	f.join(0.2, "a", 1, "its group's", Leader)
}

// The followers of one flight and of all flights together must stay within their limits.
func TestFollowerLimits(t *testing.T) {
	table := New[int]()
	join := func(n int) map[Role]int {
		roles := map[Role]int{}
		for i := range n {
			_, role := table.Join(0, key, 1, i)
			roles[role]++
		}
		return roles
	}
	assert.Equal(t, map[Role]int{Leader: 3, Follower: 2998}, join(3001), "three flights for 3,001")
	roles := join(3 * maxFollowers)
	assert.LessOrEqual(t, roles[Follower]+2998, maxFollowers)
	assert.Greater(t, roles[Alone], maxFollowers)
}

// model drives a table with up to three GETs and checks the invariants.
type model struct {
	table         *Table[int]
	now           float64 // seconds
	waiters       [3]*Waiter[int]
	purges        int       // number of purges so far
	purgesAtJoin  [3]int    // by GET: purges before it joined
	purgesAtStart [3]int    // by GET that is forwarded: purges before its forward started
	state         [3]string // by GET: "open", "left" or "answered"; empty before it joins
	working       [3]bool   // by GET: whether its forward is in progress
	joined        int       // number of GETs that have joined
}

// step performs one step for a GET. It does nothing if the step is not possible.
func (m *model) step(step, who int) error {
	switch step {
	case 0:
		if m.joined == 3 {
			return nil
		}
		m.join()
	case 1: // its client leaves
		if m.state[who] != "open" {
			return nil
		}
		m.state[who] = "left"
		if m.waiters[who] == nil {
			m.working[who] = false
		} else if leader, ok := m.table.Leave(m.waiters[who]); ok {
			if !m.working[leader] {
				return fmt.Errorf("stopped a leader whose forward is not in progress")
			}
			m.working[leader] = false
		}
	case 2, 3, 4, 5: // its forward ends
		if m.working[who] {
			return m.finishLeader(who, Outcome(step-2))
		}
	case 6:
		m.purges++
		m.table.Purge("a", 0)
	case 7:
		if err := m.advance(); err != nil {
			return err
		}
	}
	return m.check()
}

// join adds the next GET.
func (m *model) join() {
	id := m.joined
	m.joined++
	one, role := m.table.Join(m.now, key, m.now+1+float64(id%2), id)
	m.waiters[id], m.purgesAtJoin[id], m.state[id] = one, m.purges, "open"
	if role != Follower {
		m.working[id], m.purgesAtStart[id] = true, m.purges
	}
}

// advance advances the time and removes followers whose time has run out.
func (m *model) advance() error {
	m.now += 0.97
	for late, ok := m.table.NextTimedOut(m.now); ok; late, ok = m.table.NextTimedOut(m.now) {
		if m.state[late.Follower] != "open" {
			return fmt.Errorf("%d timed out after it had ended", late.Follower)
		}
		if m.state[late.Follower] = "answered"; late.StopLeader {
			m.working[late.Leader] = false
		}
	}
	return nil
}

// finishLeader ends the forward of a GET and checks who gets its answer.
func (m *model) finishLeader(who int, outcome Outcome) error {
	m.working[who] = false
	all := []int{}
	if m.state[who] == "open" {
		all = append(all, who)
	}
	var next *Waiter[int]
	if m.waiters[who] != nil {
		var answered []int
		answered, next = m.table.FinishLeader(m.now, m.waiters[who], outcome)
		all = append(all, answered...)
	}
	for _, id := range all {
		if m.state[id] != "open" {
			return fmt.Errorf("%d ended a second time, after %q", id, m.state[id])
		}
		if m.state[id] = "answered"; outcome == Served && m.purgesAtStart[who] < m.purgesAtJoin[id] {
			return fmt.Errorf("%d arrived after a purge and got an answer that was requested before it", id)
		}
	}
	if next != nil {
		m.working[next.Value], m.purgesAtStart[next.Value] = true, m.purges
	}
	return m.check()
}

// check checks that each open GET has a forward in progress for it, and that each forward in progress is
// needed.
func (m *model) check() error {
	for id, state := range m.state {
		one := m.waiters[id]
		if state == "open" && one.Follows() && !m.working[one.flight.leader.Value] {
			return fmt.Errorf("%d follows a leader whose forward is not in progress", id)
		}
		if state == "open" && one != nil && one.flight == nil && !m.working[id] {
			return fmt.Errorf("%d is open but belongs to no flight", id)
		}
		if m.working[id] && state != "open" && !one.HasFollowers() {
			return fmt.Errorf("the forward of %d is in progress, but nobody needs it", id)
		}
	}
	return nil
}

// The invariants must hold for every sequence of four steps after two GETs have joined. A step may also add a
// third GET.
func TestInvariantsInAllOrders(t *testing.T) {
	steps := [][2]int{{0, 0}, {6, 0}, {7, 0}}
	for who := range 3 {
		for step := 1; step <= 5; step++ {
			steps = append(steps, [2]int{step, who})
		}
	}
	orders := 0
	var try func(done [][2]int)
	try = func(done [][2]int) {
		m := &model{table: New[int]()}
		for _, s := range done {
			if err := m.step(s[0], s[1]); err != nil {
				t.Fatalf("%v: %v", done, err)
			}
		}
		orders++
		if len(done) == 6 {
			return
		}
		for _, s := range steps {
			try(append(done[:len(done):len(done)], s))
		}
	}
	try([][2]int{{0, 0}, {0, 0}})
	assert.Greater(t, orders, 100_000)
}

// The invariants must also hold for longer random sequences of steps.
func TestInvariantsInRandomOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{table: New[int]()}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			require.NoError(t, m.step(rapid.IntRange(0, 7).Draw(t, "step"), rapid.IntRange(0, 2).Draw(t, "who")))
		}
	})
}

// BenchmarkFollow measures joining a flight and finishing it, with 100 followers for each leader.
func BenchmarkFollow(b *testing.B) {
	table := New[int]()
	b.ReportAllocs()
	for i := 0; i < b.N; {
		now := float64(i) * 1e-4
		leader, _ := table.Join(now, key, now+2, i)
		for range 100 {
			table.Join(now, key, now+2, i)
			i++
		}
		table.FinishLeader(now+0.01, leader, Served)
	}
}
