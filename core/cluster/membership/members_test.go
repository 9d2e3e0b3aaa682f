package membership

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"elderwall/internal/contract"
	"elderwall/internal/standin/need"
)

const tickEach = 0.25 // intervals, which are seconds here

// net is some members and what is between them, with no chance in it but the members' own.
type net struct {
	now     float64
	all     []*one
	pending []sent
	boots   uint64
	spoil   func(*Message) // a fault in every message that is put in on purpose
	memory  Agreed         // of who is started
	last    map[string]string
	back    []string // who was heard to have left, and came back without a start
}

type one struct {
	*Machine
	name, address string
	gone, left    bool
}

type sent struct {
	from, to int
	Envelope
}

// phase is what holds between members for some time.
type phase struct {
	name  string
	loses func(from, to int) bool
	twice bool
	late  bool // by a tick
	stall int  // who stands still, below 0 for none
	begin func(*net)
}

func newNet(n int) *net {
	w := &net{last: map[string]string{}}
	for i := range n {
		o := &one{name: fmt.Sprintf("n%d", i), address: fmt.Sprintf("127.0.0.1:%d", i)}
		w.all = append(w.all, o)
		w.start(o)
	}
	return w
}

func (w *net) start(o *one) {
	w.boots++
	for _, other := range w.all {
		delete(w.last, other.name+" of "+o.name)
		delete(w.last, o.name+" of "+other.name)
	}
	o.gone, o.left = false, false
	o.Machine = New(Settings{
		Name: o.name, Address: o.address, Peers: []string{"127.0.0.1:0", "127.0.0.1:1"}, Interval: 1,
		Boot: w.boots * 7919 % 1009, Seed: w.boots, Remembered: w.memory,
	}, w.now)
}

func (w *net) collect(i int) {
	send, tell := w.all[i].Ready()
	for _, e := range tell {
		key := w.all[i].name + " of " + e.Name
		if w.last[key] == "left" && (e.What == "alive" || e.What == "joined" || e.What == "suspect") {
			w.back = append(w.back, key)
		}
		w.last[key] = e.What
	}
	for _, e := range send {
		for to, o := range w.all {
			if o.address == e.To {
				w.pending = append(w.pending, sent{i, to, e})
			}
		}
	}
}

// play plays a phase for some time.
func (w *net) play(p phase, span float64) {
	if p.begin != nil {
		p.begin(w)
	}
	for end := w.now + span; w.now < end; {
		w.now += tickEach
		for i, o := range w.all {
			if !o.gone && i != p.stall {
				o.Tick(w.now)
				w.collect(i)
			}
		}
		for rounds := 0; len(w.pending) > 0 && rounds < 6; rounds++ {
			batch := w.pending
			w.pending = nil
			for _, s := range batch {
				w.deliver(p, s)
			}
			if p.late {
				break
			}
		}
	}
}

// deliver gives one message to whom it goes, unless it is lost in the phase.
func (w *net) deliver(p phase, s sent) {
	o := w.all[s.to]
	lost := p.loses != nil && (p.loses(s.from, s.to) || s.Stream && p.loses(s.to, s.from))
	if o.gone || s.to == p.stall || lost {
		return
	}
	m := s.Message
	m.News = append([]Member(nil), m.News...)
	if w.spoil != nil {
		w.spoil(&m)
	}
	o.Step(m, w.now)
	if p.twice {
		o.Step(m, w.now)
	}
	w.collect(s.to)
}

// check holds what all think against what is: the checker knows no rule of the protocol.
func (w *net) check() error {
	var wrong []string
	live := 0
	for _, o := range w.all {
		if !o.gone && !o.left {
			live++
		}
	}
	for _, o := range w.all {
		if o.gone || o.left {
			continue
		}
		wrong = append(wrong, w.checkMembers(o)...)
		if v := o.View(); v.Seen != live || live > 1 && v.Level < Majority {
			wrong = append(wrong, fmt.Sprintf("%s sees %d of %d, %v; %d live", o.name, v.Seen, v.Of, v.Level, live))
		}
	}
	for _, key := range w.back {
		wrong = append(wrong, "back without a start: "+key)
	}
	if len(wrong) > 0 {
		return errors.New(strings.Join(wrong, "; "))
	}
	return nil
}

// checkMembers holds what one thinks of each other against what is.
func (w *net) checkMembers(o *one) (wrong []string) {
	known := map[string]Known{}
	for _, k := range o.Members() {
		known[k.Name] = k
	}
	for _, x := range w.all {
		if x == o {
			continue
		}
		k, ok := known[x.name]
		switch in := ok && k.State == Alive; {
		case x.gone || x.left:
			if ok && k.State != Left && k.State != Failed {
				wrong = append(wrong, fmt.Sprintf("%s holds %s, which is gone, to be %v", o.name, x.name, k.State))
			}
		case !in:
			wrong = append(wrong, fmt.Sprintf("%s holds %s to be %v", o.name, x.name, k.State))
		case k.Boot != x.self.Boot:
			wrong = append(wrong, fmt.Sprintf("%s has an older %s", o.name, x.name))
		}
	}
	return wrong
}

func phases() []phase {
	apart := func(i int) func(a, b int) bool { return func(a, b int) bool { return (a == i) != (b == i) } }
	restart := func(i int) func(*net) { return func(w *net) { w.start(w.all[i]) } }
	return []phase{
		{name: "calm", stall: -1},
		{name: "all is lost", stall: -1, loses: func(int, int) bool { return true }},
		{name: "0 apart", stall: -1, loses: apart(0)},
		{name: "1 apart", stall: -1, loses: apart(1)},
		{name: "0 does not reach 1", stall: -1, loses: func(a, b int) bool { return a == 0 && b == 1 }},
		{name: "2 is heard by nobody", stall: -1, loses: func(a, _ int) bool { return a == 2 }},
		{name: "2 hears nobody", stall: -1, loses: func(_, b int) bool { return b == 2 }},
		{name: "all comes twice and late", stall: -1, twice: true, late: true},
		{name: "0 stands still", stall: 0},
		{name: "1 is restarted", stall: -1, begin: restart(1)},
		{name: "1 is restarted and apart", stall: -1, loses: apart(1), begin: restart(1)},
		{name: "2 leaves", stall: -1, begin: func(w *net) {
			if o := w.all[2]; !o.left {
				o.Leave(w.now)
				w.collect(2)
				o.left = true
			}
		}},
		{name: "2 leaves and is lost", stall: -1, loses: apart(2), begin: func(w *net) { w.all[2].Leave(w.now); w.all[2].left = true }},
	}
}

// Three members, every order of three troubles (ELDERWALL_DEPTH for more): once the network is whole no live member stays
// failed, and one that left does not come back by old news.
func TestEveryOrderOfTroubles(t *testing.T) {
	depth := 3
	if d := os.Getenv("ELDERWALL_DEPTH"); d != "" {
		need.Of(fmt.Sscan(d, &depth))(t)
	}
	all := phases()
	const parts = 8
	orders := int(math.Pow(float64(len(all)), float64(depth)))
	for part := range parts {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for n := part; n < orders; n += parts {
				w := newNet(3)
				w.play(all[0], 12)
				names := []string{}
				for k, rest := 0, n; k < depth; k, rest = k+1, rest/len(all) {
					p := all[rest%len(all)]
					names = append(names, p.name)
					w.play(p, 7)
				}
				w.play(all[0], 80)
				if err := w.check(); err != nil {
					t.Fatalf("%q: %v", names, err)
				}
			}
		})
	}
}

// More members, and troubles of any length.
func TestTroublesByChance(t *testing.T) {
	all := phases()
	rapid.Check(t, func(t *rapid.T) {
		w := newNet(rapid.IntRange(3, 7).Draw(t, "members"))
		w.play(all[0], 12)
		for range rapid.IntRange(1, 6).Draw(t, "troubles") {
			w.play(all[rapid.IntRange(0, len(all)-1).Draw(t, "trouble")], rapid.Float64Range(0.3, 20).Draw(t, "span"))
		}
		w.play(all[0], 100)
		assert.NoError(t, w.check())
	})
}

// A fleet is cut in parts; members start anew in it, with what they remember, and new ones come. Once that has lasted, no two
// parts have a majority, and once it is healed all know all.
func TestOnlyOnePartHasAMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, fresh := rapid.IntRange(3, 7).Draw(t, "members"), rapid.IntRange(0, 3).Draw(t, "new")
		w := newNet(n + fresh)
		for _, o := range w.all[n:] {
			o.gone = true
		}
		calm := phase{stall: -1}
		w.play(calm, 20)
		part := make([]int, n+fresh)
		for i := range part {
			part[i] = rapid.IntRange(0, 2).Draw(t, "part")
		}
		cut := phase{stall: -1, loses: func(a, b int) bool { return part[a] != part[b] }}
		for i, o := range w.all {
			if i >= n && rapid.Bool().Draw(t, "comes") || i < n && rapid.IntRange(0, 3).Draw(t, "starts anew") == 0 {
				w.again(o)
			}
			w.play(cut, rapid.Float64Range(0, 12).Draw(t, "span"))
		}
		w.play(cut, 70)
		assert.LessOrEqual(t, w.deciding(part), 1, "parts with a majority")
		w.play(calm, 120)
		for _, o := range w.all {
			if !o.gone {
				assert.Equal(t, Whole, o.View().Level, "%s: %+v", o.name, o.View())
			}
		}
	})
}

// deciding is the number of parts in which somebody sees a majority.
func (w *net) deciding(part []int) int {
	has := map[int]bool{}
	for i, o := range w.all {
		if !o.gone && o.May(Decide) {
			has[part[i]] = true
		}
	}
	return len(has)
}

// again starts one anew with what it remembers.
func (w *net) again(o *one) { w.memory = o.Agreed(); w.start(o); w.memory = Agreed{} }

// The checker finds what is put in on purpose.
func TestTheCheckerFindsFaults(t *testing.T) {
	all := phases()
	for name, spoil := range map[string]func(*Message){
		"who left is brought back": func(m *Message) {
			for i := range m.News {
				if m.News[i].State == Left {
					m.News[i].State, m.News[i].Incarnation = Alive, m.News[i].Incarnation+1
				}
			}
		},
		"refutations are lost": func(m *Message) {
			m.From.Incarnation &^= epoch - 1
			for i := range m.News {
				m.News[i].Incarnation &^= epoch - 1
			}
		},
		"a start's number is lost": func(m *Message) {
			m.From.Incarnation = min(m.From.Incarnation, epoch)
			for i := range m.News {
				m.News[i].Incarnation = min(m.News[i].Incarnation, epoch)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			found := 0
			for _, p := range all {
				w := newNet(3)
				w.spoil = spoil
				w.play(all[0], 12)
				w.play(p, 12)
				w.play(all[0], 80)
				if w.check() != nil {
					found++
				}
			}
			assert.Positive(t, found)
		})
	}
}

// Of two records of a name one always says more, and of three the same one whatever the order.
func TestRecordsAreInOneOrder(t *testing.T) {
	contract.Kind[Member]{
		Draw: func(c *rand.Rand) Member {
			return Member{Name: "a", Incarnation: c.Uint64N(3), Boot: c.Uint64N(3), State: State(c.IntN(int(Left) + 1))}
		},
		Same:    func(a, b Member) bool { return a == b },
		Compare: func(a, b Member) int { return map[bool]int{true: 1}[a.beats(&b)] - map[bool]int{true: 1}[b.beats(&a)] },
	}.Hold(t)
}

// docs/members.md has the table of what is done in each view; it says what the program does.
func TestTheTableInTheDocsIsTrue(t *testing.T) {
	raw := need.Of(os.ReadFile("../../../docs/members.md"))(t)
	for a, name := range Acts {
		row := "| " + name + " |"
		for _, l := range []Level{Whole, Majority, Minority, Alone} {
			row += map[bool]string{true: " yes |", false: " no |"}[Allowed(Act(a), l, false)]
		}
		row += map[bool]string{true: " yes |", false: " no |"}[Allowed(Act(a), Whole, true)]
		assert.Contains(t, string(raw), row+"\n")
	}
}

// Nothing that a message says can make a table, a queue or a datagram grow without bound.
func TestBounds(t *testing.T) {
	m := New(Settings{Name: "a", Address: "127.0.0.1:1", Boot: 1}, 0)
	for i := range 3 * Most {
		m.Step(Message{Kind: Ping, Seq: uint32(i), From: Member{Name: fmt.Sprint("n", i), Address: "127.0.0.1:2", Boot: uint64(i + 2), Incarnation: epoch}}, 0.001*float64(i))
		m.Step(Message{
			Kind: PingFor, Seq: uint32(i), From: Member{Name: "n1", Address: "127.0.0.1:2", Boot: 3, Incarnation: epoch},
			Target: Member{Name: "n2", Address: "127.0.0.1:3"},
		}, 0.001*float64(i))
	}
	assert.LessOrEqual(t, len(m.list), Most)
	assert.LessOrEqual(t, len(m.news), mostNews)
	assert.LessOrEqual(t, len(m.asked), mostFavours)
	send, tell := m.Ready()
	assert.LessOrEqual(t, len(tell), mostEvents)
	assert.Positive(t, m.Dropped())
	assert.Less(t, float64(len(send)), 6*(acksAtOne*2)+1, "answers are rationed")
	for _, e := range send {
		bytes := 0
		for i := range e.News {
			bytes += e.News[i].Bytes()
		}
		assert.True(t, e.Stream || bytes <= NewsBytes)
	}
	long := strings.Repeat("x", longWord+1)
	m.Step(Message{Kind: Ping, From: Member{Name: long, Address: "127.0.0.1:2", Boot: 9}}, 100)
	assert.False(t, m.Holds(long))
}
