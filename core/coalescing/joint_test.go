package coalescing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var key = Key{Object: "a"}

// play is a table with what waits in it by name.
type play struct {
	*testing.T
	*Table[string]
}

func newPlay(t *testing.T) play { return play{t, New[string]()} }

// enters has one enter for an object until it is over, which must come to a role.
func (p play) enters(now float64, object string, last float64, name string, want Role) *Waiter[string] {
	w, role := p.Enter(now, Key{Object: object}, last, name)
	assert.Equal(p, want, role, name)
	return w
}

// leaves has one leave, which must stop the work of another, "" for none.
func (p play) leaves(w *Waiter[string], want string) {
	stop, stops := p.Leave(w)
	assert.Equal(p, []any{want, want != ""}, []any{stop, stops}, w.W)
}

func TestOneLeadsAndOthersFollow(t *testing.T) {
	p := newPlay(t)
	lead := p.enters(0, "a", 1, "lead", Leads)
	p.enters(0, "b", 1, "another object's", Leads)
	for i := range 3 {
		p.enters(0.1, "a", 1, fmt.Sprint(i), Follows)
	}
	assert.True(t, lead.Needed())
	answered, next := p.Ended(0.2, lead, Served)
	assert.Equal(t, []string{"0", "1", "2"}, answered)
	assert.Nil(t, next)
	p.enters(0.3, "a", 1, "new", Leads)
	assert.Zero(t, p.Followers())
}

func TestALeaderWhoLeavesIsNeededOn(t *testing.T) {
	p := newPlay(t)
	lead, a, b := p.enters(0, "a", 1, "lead", Leads), p.enters(0, "a", 1, "a", Follows), p.enters(0, "a", 2, "b", Follows)
	p.leaves(lead, "") // others need it
	p.leaves(a, "")
	p.leaves(b, "lead") // the last has left
	p.leaves(b, "")     // once
}

func TestAFailureIsGoneOnWithByOne(t *testing.T) {
	p := newPlay(t)
	lead, leads := p.enters(0, "a", 1, "lead", Leads), 1
	for i := range 1000 {
		p.enters(0, "a", 1+float64(i)/1000, fmt.Sprint(i), Follows)
	}
	answered, next := p.Ended(0.1, lead, Failed)
	assert.Equal(t, "999", next.W, "the one with the longest rest")
	for ; next != nil; leads++ {
		answered, next = p.Ended(0.1, next, Failed)
	}
	assert.Equal(t, []int{mostLeads, 1000 - mostLeads + 1}, []int{leads, len(answered)})
	lead = p.enters(0, "a", 1, "lead", Leads)
	p.enters(0, "a", 2, "a", Follows)
	answered, next = p.Ended(0.1, lead, Shed)
	assert.Equal(t, []string{"a"}, answered, "what is shed is shed for all at once")
	assert.Nil(t, next)
}

func TestTimes(t *testing.T) {
	p := newPlay(t)
	p.Ended(2, p.enters(0, "a", 1, "lead", Leads), Served) // flights take 0.2 s by then
	lead := p.enters(5, "a", 6, "lead", Leads)
	p.enters(5.1, "a", 5.12, "20 ms left", Alone)
	p.enters(5.1, "a", 5.4, "short", Follows)
	_, ok := p.Pass(5.34)
	assert.False(t, ok)
	late, ok := p.Pass(5.36)
	assert.Equal(t, []any{"short", false, true}, []any{late.Over, late.Stops, ok}, "before its viewer timeout")
	p.enters(5.4, "a", 9, "long", Follows)
	_, next := p.Ended(5.95, lead, TimeOver)
	assert.Equal(t, "long", next.W)
}

func TestAPurge(t *testing.T) {
	p := newPlay(t)
	before := p.enters(0, "a", 1, "before", Leads)
	p.enters(0, "a", 1, "with it", Follows)
	p.Purged("a", 0)
	p.enters(0.1, "a", 1, "after", Leads)
	answered, _ := p.Ended(0.2, before, Served)
	assert.Equal(t, []string{"with it"}, answered)
	p.enters(0.2, "a", 1, "after too", Follows)
	p.Purged("", 3)
	p.enters(0.2, "a", 1, "another group's", Follows)
	p.Purged("", 0)
	p.enters(0.2, "a", 1, "its group's", Leads)
}

func TestBounds(t *testing.T) {
	table := New[int]()
	enter := func(n int) map[Role]int {
		roles := map[Role]int{}
		for i := range n {
			_, role := table.Enter(0, key, 1, i)
			roles[role]++
		}
		return roles
	}
	assert.Equal(t, map[Role]int{Leads: 3, Follows: 2998}, enter(3001), "three flights for 3,001")
	roles := enter(3 * mostInAll)
	assert.LessOrEqual(t, roles[Follows]+2998, mostInAll)
	assert.Greater(t, roles[Alone], mostInAll)
}

// world plays a table with up to three GETs, and keeps what must hold.
type world struct {
	table   *Table[int]
	now     float64
	waiters [3]*Waiter[int]
	purges  int
	entered [3]int // purges before it entered
	begun   [3]int // of a GET that leads: purges before its forward
	state   [3]string
	works   [3]bool // leaders whose work is under way
	n       int
}

// do does one step; what it does not fit is passed over.
func (w *world) do(step, who int) error {
	switch step {
	case 0:
		if w.n == 3 {
			return nil
		}
		w.enter()
	case 1: // its client leaves
		if w.state[who] != "open" {
			return nil
		}
		w.state[who] = "left"
		if w.waiters[who] == nil {
			w.works[who] = false
		} else if stop, ok := w.table.Leave(w.waiters[who]); ok {
			if !w.works[stop] {
				return fmt.Errorf("stopped what was not at work")
			}
			w.works[stop] = false
		}
	case 2, 3, 4, 5: // its work ends
		if w.works[who] {
			return w.ended(who, How(step-2))
		}
	case 6:
		w.purges++
		w.table.Purged("a", 0)
	case 7:
		if err := w.pass(); err != nil {
			return err
		}
	}
	return w.check()
}

// enter has the next GET come.
func (w *world) enter() {
	id := w.n
	w.n++
	one, role := w.table.Enter(w.now, key, w.now+1+float64(id%2), id)
	w.waiters[id], w.entered[id], w.state[id] = one, w.purges, "open"
	if role != Follows {
		w.works[id], w.begun[id] = true, w.purges
	}
}

// pass lets time pass, and takes out those that have waited for too long.
func (w *world) pass() error {
	w.now += 0.97
	for late, ok := w.table.Pass(w.now); ok; late, ok = w.table.Pass(w.now) {
		if w.state[late.Over] != "open" {
			return fmt.Errorf("%d is over twice", late.Over)
		}
		if w.state[late.Over] = "answered"; late.Stops {
			w.works[late.Stop] = false
		}
	}
	return nil
}

func (w *world) ended(who int, how How) error {
	w.works[who] = false
	all := []int{}
	if w.state[who] == "open" {
		all = append(all, who)
	}
	var next *Waiter[int]
	if w.waiters[who] != nil {
		var answered []int
		answered, next = w.table.Ended(w.now, w.waiters[who], how)
		all = append(all, answered...)
	}
	for _, id := range all {
		if w.state[id] != "open" {
			return fmt.Errorf("%d has a second end, after %q", id, w.state[id])
		}
		if w.state[id] = "answered"; how == Served && w.begun[who] < w.entered[id] {
			return fmt.Errorf("%d came after a purge, and has what was begun before it", id)
		}
	}
	if next != nil {
		w.works[next.W], w.begun[next.W] = true, w.purges
	}
	return w.check()
}

// check: who is open has somebody at work for it, and whose work goes on is needed.
func (w *world) check() error {
	for id, state := range w.state {
		one := w.waiters[id]
		if state == "open" && one.Follows() && !w.works[one.flight.lead.W] {
			return fmt.Errorf("%d follows, and nobody is at work", id)
		}
		if state == "open" && one != nil && one.flight == nil && !w.works[id] {
			return fmt.Errorf("%d is open, and in no flight", id)
		}
		if w.works[id] && state != "open" && !one.Needed() {
			return fmt.Errorf("%d's work goes on for nobody", id)
		}
	}
	return nil
}

// Every order of four steps that follow on two GETs, of up to three.
func TestAllOrders(t *testing.T) {
	steps := [][2]int{{0, 0}, {6, 0}, {7, 0}}
	for who := range 3 {
		for step := 1; step <= 5; step++ {
			steps = append(steps, [2]int{step, who})
		}
	}
	orders := 0
	var try func(done [][2]int)
	try = func(done [][2]int) {
		w := &world{table: New[int]()}
		for _, s := range done {
			if err := w.do(s[0], s[1]); err != nil {
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

// Longer orders, by chance.
func TestWhatHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{table: New[int]()}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			require.NoError(t, w.do(rapid.IntRange(0, 7).Draw(t, "step"), rapid.IntRange(0, 2).Draw(t, "who")))
		}
	})
}

func BenchmarkFollow(b *testing.B) {
	table := New[int]()
	b.ReportAllocs()
	for i := 0; i < b.N; {
		now := float64(i) * 1e-4
		lead, _ := table.Enter(now, key, now+2, i)
		for range 100 {
			table.Enter(now, key, now+2, i)
			i++
		}
		table.Ended(now+0.01, lead, Served)
	}
}
