package joint

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var key = Key{Object: "a"}

func TestOneLeadsAndOthersFollow(t *testing.T) {
	table := New[string]()
	lead, role := table.Enter(0, key, 1, "lead")
	assert.Equal(t, Leads, role)
	_, role = table.Enter(0, Key{Object: "b"}, 1, "other")
	assert.Equal(t, Leads, role, "another object")
	for i := range 3 {
		_, role = table.Enter(0.1, key, 1, fmt.Sprint(i))
		assert.Equal(t, Follows, role)
	}
	assert.True(t, lead.Needed())
	answered, next := table.Ended(0.2, lead, Served)
	assert.Equal(t, []string{"0", "1", "2"}, answered)
	assert.Nil(t, next)
	_, role = table.Enter(0.3, key, 1, "new")
	assert.Equal(t, Leads, role)
	assert.Zero(t, table.Followers())
}

func TestALeaderWhoLeavesIsNeededOn(t *testing.T) {
	table := New[string]()
	lead, _ := table.Enter(0, key, 1, "lead")
	a, _ := table.Enter(0, key, 1, "a")
	b, _ := table.Enter(0, key, 2, "b")
	_, stops := table.Leave(lead)
	assert.False(t, stops, "others need it")
	_, stops = table.Leave(a)
	assert.False(t, stops)
	stop, stops := table.Leave(b)
	assert.True(t, stops, "the last has left")
	assert.Equal(t, "lead", stop)
	_, stops = table.Leave(b)
	assert.False(t, stops, "once")
}

func TestAFailureIsGoneOnWithByOne(t *testing.T) {
	table := New[string]()
	lead, _ := table.Enter(0, key, 1, "lead")
	for i := range 1000 {
		table.Enter(0, key, 1+float64(i)/1000, fmt.Sprint(i))
	}
	leads := 1
	for {
		answered, next := table.Ended(0.1, lead, Failed)
		if next == nil {
			assert.Len(t, answered, 1000-leads+1)
			break
		}
		if leads == 1 {
			assert.Equal(t, "999", next.W, "the one with the longest rest")
		}
		leads++
		lead = next
	}
	assert.Equal(t, mostLeads, leads)
	lead, _ = table.Enter(0, key, 1, "lead")
	table.Enter(0, key, 2, "a")
	answered, next := table.Ended(0.1, lead, Shed)
	assert.Equal(t, []string{"a"}, answered, "what is shed is shed for all at once")
	assert.Nil(t, next)
}

func TestTimes(t *testing.T) {
	table := New[string]()
	lead, _ := table.Enter(0, key, 1, "lead")
	table.Ended(2, lead, Served) // flights take 0.2 s by then
	lead, _ = table.Enter(5, key, 6, "lead")
	_, role := table.Enter(5.1, key, 5.12, "20 ms left")
	assert.Equal(t, Alone, role)
	table.Enter(5.1, key, 5.4, "short")
	_, _, _, ok := table.Pass(5.34)
	assert.False(t, ok)
	over, _, stops, ok := table.Pass(5.36)
	assert.Equal(t, []any{"short", false, true}, []any{over, stops, ok}, "before its viewer timeout")
	_, _ = table.Enter(5.4, key, 9, "long")
	_, next := table.Ended(5.95, lead, TimeOver)
	assert.Equal(t, "long", next.W)
}

func TestAPurge(t *testing.T) {
	table := New[string]()
	before, _ := table.Enter(0, key, 1, "before")
	table.Enter(0, key, 1, "with it")
	table.Purged("a", 0)
	_, role := table.Enter(0.1, key, 1, "after")
	assert.Equal(t, Leads, role)
	answered, _ := table.Ended(0.2, before, Served)
	assert.Equal(t, []string{"with it"}, answered)
	_, role = table.Enter(0.2, key, 1, "after too")
	assert.Equal(t, Follows, role)
	table.Purged("", 3)
	_, role = table.Enter(0.2, key, 1, "another group's")
	assert.Equal(t, Follows, role)
	table.Purged("", 0)
	_, role = table.Enter(0.2, key, 1, "its group's")
	assert.Equal(t, Leads, role)
}

func TestBounds(t *testing.T) {
	table := New[int]()
	table.Enter(0, key, 1, -1)
	roles := map[Role]int{}
	for i := range 3000 {
		_, role := table.Enter(0, key, 1, i)
		roles[role]++
	}
	assert.Equal(t, map[Role]int{Leads: 2, Follows: 2998}, roles, "three flights for 3,001")
	clear(roles)
	for i := range 3 * mostInAll {
		_, role := table.Enter(0, key, 1, i)
		roles[role]++
	}
	assert.LessOrEqual(t, roles[Follows]+2998, mostInAll)
	assert.Greater(t, roles[Alone], mostInAll)
}

// world plays a table with up to three GETs, and keeps what must hold.
type world struct {
	table   *Table[int]
	now     float64
	waiters map[int]*Waiter[int]
	purges  int
	entered map[int]int // purges before it entered
	begun   map[int]int // of a GET that leads: purges before its forward
	state   map[int]string
	works   map[int]bool // leaders whose work is under way
	n       int
}

func newWorld() *world {
	return &world{table: New[int](), waiters: map[int]*Waiter[int]{}, entered: map[int]int{}, begun: map[int]int{}, state: map[int]string{}, works: map[int]bool{}}
}

// do does one step; what it does not fit is passed over.
func (w *world) do(step, who int) error {
	switch step {
	case 0:
		if w.n == 3 {
			return nil
		}
		id := w.n
		w.n++
		one, role := w.table.Enter(w.now, key, w.now+1+float64(id%2), id)
		w.waiters[id], w.entered[id], w.state[id] = one, w.purges, "open"
		if role != Follows {
			w.works[id], w.begun[id] = true, w.purges
		}
	case 1: // its client leaves
		if w.state[who] != "open" {
			return nil
		}
		w.state[who] = "left"
		if w.waiters[who] == nil {
			delete(w.works, who)
		} else if stop, ok := w.table.Leave(w.waiters[who]); ok {
			if !w.works[stop] {
				return fmt.Errorf("stopped what was not at work")
			}
			delete(w.works, stop)
		}
	case 2, 3, 4, 5: // its work ends
		if w.works[who] {
			return w.ended(who, How(step-2))
		}
	case 6:
		w.purges++
		w.table.Purged("a", 0)
	case 7:
		w.now += 0.97
		for over, stop, stops, ok := w.table.Pass(w.now); ok; over, stop, stops, ok = w.table.Pass(w.now) {
			if w.state[over] != "open" {
				return fmt.Errorf("%d is over twice", over)
			}
			if w.state[over] = "answered"; stops {
				delete(w.works, stop)
			}
		}
	}
	return w.check()
}

func (w *world) ended(who int, how How) error {
	delete(w.works, who)
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
		w := newWorld()
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
		w := newWorld()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if err := w.do(rapid.IntRange(0, 7).Draw(t, "step"), rapid.IntRange(0, 2).Draw(t, "who")); err != nil {
				t.Fatal(err)
			}
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
