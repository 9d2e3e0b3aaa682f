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

const tickInterval = 0.25 // intervals; an interval is one second here

// simNetwork simulates members and the network between them. Apart from the members' own random draws it is
// deterministic.
type simNetwork struct {
	now         float64
	members     []*simMember
	inFlight    []delivery
	starts      uint64
	corrupt     func(*Message) // if set, injects a fault into every message
	remembered  AgreedFleet    // the agreed fleet given to members that are started
	lastEvents  map[string]string
	resurrected []string // entries "x of y": x saw y leave and then return, although y was not restarted
}

// simMember is one member of the simulated network.
type simMember struct {
	*Machine
	name, address    string
	stopped, hasLeft bool
}

// delivery is a message in flight between two members, given by their indexes.
type delivery struct {
	from, to int
	Envelope
}

// condition is a fault, or the absence of one, that affects the network or a member for some time.
type condition struct {
	name      string
	drops     func(from, to int) bool
	duplicate bool
	delay     bool // deliver messages one tick later
	stalled   int  // index of a member that does not run, below 0 for none
	onStart   func(*simNetwork)
}

func newSimNetwork(n int) *simNetwork {
	w := &simNetwork{lastEvents: map[string]string{}}
	for i := range n {
		o := &simMember{name: fmt.Sprintf("n%d", i), address: fmt.Sprintf("127.0.0.1:%d", i)}
		w.members = append(w.members, o)
		w.start(o)
	}
	return w
}

// start starts or restarts a member.
func (w *simNetwork) start(o *simMember) {
	w.starts++
	for _, other := range w.members {
		delete(w.lastEvents, other.name+" of "+o.name)
		delete(w.lastEvents, o.name+" of "+other.name)
	}
	o.stopped, o.hasLeft = false, false
	o.Machine = New(Settings{
		Name: o.name, Address: o.address, Peers: []string{"127.0.0.1:0", "127.0.0.1:1"}, Interval: 1,
		BootID: w.starts * 7919 % 1009, Seed: w.starts, Remembered: w.remembered,
	}, w.now)
}

// collect takes the messages and events of member i, and records members that reappear after they left.
func (w *simNetwork) collect(i int) {
	send, events := w.members[i].Ready()
	for _, e := range events {
		key := w.members[i].name + " of " + e.Name
		if w.lastEvents[key] == "left" && (e.Kind == "alive" || e.Kind == "joined" || e.Kind == "suspect") {
			w.resurrected = append(w.resurrected, key)
		}
		w.lastEvents[key] = e.Kind
	}
	for _, e := range send {
		for to, o := range w.members {
			if o.address == e.To {
				w.inFlight = append(w.inFlight, delivery{i, to, e})
			}
		}
	}
}

// run simulates the network under a condition for span seconds.
func (w *simNetwork) run(p condition, span float64) {
	if p.onStart != nil {
		p.onStart(w)
	}
	for end := w.now + span; w.now < end; {
		w.now += tickInterval
		for i, o := range w.members {
			if !o.stopped && i != p.stalled {
				o.Tick(w.now)
				w.collect(i)
			}
		}
		for rounds := 0; len(w.inFlight) > 0 && rounds < 6; rounds++ {
			batch := w.inFlight
			w.inFlight = nil
			for _, s := range batch {
				w.deliver(p, s)
			}
			if p.delay {
				break
			}
		}
	}
}

// deliver hands a message to its receiver, unless the condition drops it.
func (w *simNetwork) deliver(p condition, s delivery) {
	o := w.members[s.to]
	lost := p.drops != nil && (p.drops(s.from, s.to) || s.Stream && p.drops(s.to, s.from))
	if o.stopped || s.to == p.stalled || lost {
		return
	}
	m := s.Message
	m.Updates = append([]Member(nil), m.Updates...)
	if w.corrupt != nil {
		w.corrupt(&m)
	}
	o.Step(m, w.now)
	if p.duplicate {
		o.Step(m, w.now)
	}
	w.collect(s.to)
}

// check compares the views of all members with the actual state. It uses no rule of the protocol.
func (w *simNetwork) check() error {
	var wrong []string
	live := 0
	for _, o := range w.members {
		if !o.stopped && !o.hasLeft {
			live++
		}
	}
	for _, o := range w.members {
		if o.stopped || o.hasLeft {
			continue
		}
		wrong = append(wrong, w.checkMembers(o)...)
		if v := o.View(); v.Seen != live || live > 1 && v.Level < Majority {
			wrong = append(wrong, fmt.Sprintf("%s sees %d of %d members, level %v; %d are live", o.name, v.Seen, v.AgreedSize, v.Level, live))
		}
	}
	for _, key := range w.resurrected {
		wrong = append(wrong, "present again without a restart: "+key)
	}
	if len(wrong) > 0 {
		return errors.New(strings.Join(wrong, "; "))
	}
	return nil
}

// checkMembers compares what one member knows about the others with the actual state.
func (w *simNetwork) checkMembers(o *simMember) (wrong []string) {
	known := map[string]KnownMember{}
	for _, k := range o.Members() {
		known[k.Name] = k
	}
	for _, x := range w.members {
		if x == o {
			continue
		}
		k, ok := known[x.name]
		switch alive := ok && k.State == Alive; {
		case x.stopped || x.hasLeft:
			if ok && k.State != Left && k.State != Failed {
				wrong = append(wrong, fmt.Sprintf("%s considers %s, which is gone, to be %v", o.name, x.name, k.State))
			}
		case !alive:
			wrong = append(wrong, fmt.Sprintf("%s considers %s to be %v", o.name, x.name, k.State))
		case k.BootID != x.self.BootID:
			wrong = append(wrong, fmt.Sprintf("%s has a record of an earlier process of %s", o.name, x.name))
		}
	}
	return wrong
}

// conditions returns the conditions that the tests combine; the first one is without a fault.
func conditions() []condition {
	isolate := func(i int) func(a, b int) bool { return func(a, b int) bool { return (a == i) != (b == i) } }
	restart := func(i int) func(*simNetwork) { return func(w *simNetwork) { w.start(w.members[i]) } }
	return []condition{
		{name: "no fault", stalled: -1},
		{name: "all messages are lost", stalled: -1, drops: func(int, int) bool { return true }},
		{name: "0 is isolated", stalled: -1, drops: isolate(0)},
		{name: "1 is isolated", stalled: -1, drops: isolate(1)},
		{name: "messages from 0 to 1 are lost", stalled: -1, drops: func(a, b int) bool { return a == 0 && b == 1 }},
		{name: "all messages from 2 are lost", stalled: -1, drops: func(a, _ int) bool { return a == 2 }},
		{name: "all messages to 2 are lost", stalled: -1, drops: func(_, b int) bool { return b == 2 }},
		{name: "all messages are duplicated and delayed", stalled: -1, duplicate: true, delay: true},
		{name: "0 is stalled", stalled: 0},
		{name: "1 is restarted", stalled: -1, onStart: restart(1)},
		{name: "1 is restarted while isolated", stalled: -1, drops: isolate(1), onStart: restart(1)},
		{name: "2 leaves", stalled: -1, onStart: func(w *simNetwork) {
			if o := w.members[2]; !o.hasLeft {
				o.Leave(w.now)
				w.collect(2)
				o.hasLeft = true
			}
		}},
		{name: "2 leaves while isolated", stalled: -1, drops: isolate(2), onStart: func(w *simNetwork) { w.members[2].Leave(w.now); w.members[2].hasLeft = true }},
	}
}

// Three members go through every sequence of three conditions (ELDERWALL_DEPTH sets another length). After the network
// is whole again, no live member may remain failed, and outdated gossip must not bring back a member that left.
func TestMembershipConvergesAfterEveryFaultSequence(t *testing.T) {
	depth := 3
	if d := os.Getenv("ELDERWALL_DEPTH"); d != "" {
		need.Of(fmt.Sscan(d, &depth))(t)
	}
	all := conditions()
	const shards = 8
	sequences := int(math.Pow(float64(len(all)), float64(depth)))
	for shard := range shards {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			for n := shard; n < sequences; n += shards {
				w := newSimNetwork(3)
				w.run(all[0], 12)
				names := []string{}
				for k, rest := 0, n; k < depth; k, rest = k+1, rest/len(all) {
					p := all[rest%len(all)]
					names = append(names, p.name)
					w.run(p, 7)
				}
				w.run(all[0], 80)
				if err := w.check(); err != nil {
					t.Fatalf("%q: %v", names, err)
				}
			}
		})
	}
}

// Three to seven members go through random sequences of conditions of random length, and must agree on the actual state
// afterwards.
func TestMembershipConvergesAfterRandomFaults(t *testing.T) {
	all := conditions()
	rapid.Check(t, func(t *rapid.T) {
		w := newSimNetwork(rapid.IntRange(3, 7).Draw(t, "members"))
		w.run(all[0], 12)
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			w.run(all[rapid.IntRange(0, len(all)-1).Draw(t, "fault")], rapid.Float64Range(0.3, 20).Draw(t, "span"))
		}
		w.run(all[0], 100)
		assert.NoError(t, w.check())
	})
}

// A fleet is partitioned while members restart with the agreed fleet that they stored, and new members start. Each part
// could then take itself for the whole fleet. After a while at most one partition may have a majority, and after the
// partitions have healed every member must see the whole fleet.
func TestOnlyOnePartitionHasMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, newcomers := rapid.IntRange(3, 7).Draw(t, "members"), rapid.IntRange(0, 3).Draw(t, "new")
		w := newSimNetwork(n + newcomers)
		for _, o := range w.members[n:] {
			o.stopped = true
		}
		connected := condition{stalled: -1}
		w.run(connected, 20)
		partition := make([]int, n+newcomers)
		for i := range partition {
			partition[i] = rapid.IntRange(0, 2).Draw(t, "partition")
		}
		partitioned := condition{stalled: -1, drops: func(a, b int) bool { return partition[a] != partition[b] }}
		for i, o := range w.members {
			if i >= n && rapid.Bool().Draw(t, "newcomer starts") || i < n && rapid.IntRange(0, 3).Draw(t, "restarts") == 0 {
				w.restartRemembering(o)
			}
			w.run(partitioned, rapid.Float64Range(0, 12).Draw(t, "span"))
		}
		w.run(partitioned, 70)
		assert.LessOrEqual(t, w.partitionsWithMajority(partition), 1, "partitions with a majority")
		w.run(connected, 120)
		for _, o := range w.members {
			if !o.stopped {
				assert.Equal(t, Whole, o.View().Level, "%s: %+v", o.name, o.View())
			}
		}
	})
}

// partitionsWithMajority returns the number of partitions in which a member sees a majority.
func (w *simNetwork) partitionsWithMajority(partition []int) int {
	has := map[int]bool{}
	for i, o := range w.members {
		if !o.stopped && o.May(DecideByMajority) {
			has[partition[i]] = true
		}
	}
	return len(has)
}

// restartRemembering restarts a member with the agreed fleet that it stored.
func (w *simNetwork) restartRemembering(o *simMember) {
	w.remembered = o.AgreedFleet()
	w.start(o)
	w.remembered = AgreedFleet{}
}

// Guards against a checker that accepts everything: it must detect each injected fault under at least one condition.
func TestCheckerDetectsInjectedFaults(t *testing.T) {
	all := conditions()
	for name, corrupt := range map[string]func(*Message){
		"members that left are brought back": func(m *Message) {
			for i := range m.Updates {
				if m.Updates[i].State == Left {
					m.Updates[i].State, m.Updates[i].Incarnation = Alive, m.Updates[i].Incarnation+1
				}
			}
		},
		"refutations are lost": func(m *Message) {
			m.From.Incarnation &^= incarnationsPerStart - 1
			for i := range m.Updates {
				m.Updates[i].Incarnation &^= incarnationsPerStart - 1
			}
		},
		"the number of starts is lost": func(m *Message) {
			m.From.Incarnation = min(m.From.Incarnation, incarnationsPerStart)
			for i := range m.Updates {
				m.Updates[i].Incarnation = min(m.Updates[i].Incarnation, incarnationsPerStart)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			found := 0
			for _, p := range all {
				w := newSimNetwork(3)
				w.corrupt = corrupt
				w.run(all[0], 12)
				w.run(p, 12)
				w.run(all[0], 80)
				if w.check() != nil {
					found++
				}
			}
			assert.Positive(t, found)
		})
	}
}

// Records of one name must be totally ordered: otherwise members that receive them in different orders would end with
// different records.
func TestRecordOrderIsTotal(t *testing.T) {
	contract.Kind[Member]{
		Draw: func(c *rand.Rand) Member {
			return Member{Name: "a", Incarnation: c.Uint64N(3), BootID: c.Uint64N(3), State: State(c.IntN(int(Left) + 1))}
		},
		Same: func(a, b Member) bool { return a == b },
		Compare: func(a, b Member) int {
			return map[bool]int{true: 1}[a.supersedes(&b)] - map[bool]int{true: 1}[b.supersedes(&a)]
		},
	}.Hold(t)
}

// Guards against a table in docs/members.md that differs from what the program allows at each level.
func TestAllowedMatchesDocsTable(t *testing.T) {
	raw := need.Of(os.ReadFile("../../../docs/members.md"))(t)
	for a, name := range ActionNames {
		row := "| " + name + " |"
		for _, l := range []Level{Whole, Majority, Minority, Alone} {
			row += map[bool]string{true: " yes |", false: " no |"}[Allowed(Action(a), l, false)]
		}
		row += map[bool]string{true: " yes |", false: " no |"}[Allowed(Action(a), Whole, true)]
		assert.Contains(t, string(raw), row+"\n")
	}
}

// A sender must not be able to make a table, a queue or a datagram grow without bound, whatever its messages contain.
func TestTablesAndQueuesAreBounded(t *testing.T) {
	m := New(Settings{Name: "a", Address: "127.0.0.1:1", BootID: 1}, 0)
	for i := range 3 * MaxMembers {
		m.Step(Message{Kind: Ping, Seq: uint32(i), From: Member{Name: fmt.Sprint("n", i), Address: "127.0.0.1:2", BootID: uint64(i + 2), Incarnation: incarnationsPerStart}}, 0.001*float64(i))
		m.Step(Message{
			Kind: PingRequest, Seq: uint32(i), From: Member{Name: "n1", Address: "127.0.0.1:2", BootID: 3, Incarnation: incarnationsPerStart},
			Target: Member{Name: "n2", Address: "127.0.0.1:3"},
		}, 0.001*float64(i))
	}
	assert.LessOrEqual(t, len(m.peers), MaxMembers)
	assert.LessOrEqual(t, len(m.updates), maxQueuedUpdates)
	assert.LessOrEqual(t, len(m.indirectPings), maxIndirectPings)
	send, events := m.Ready()
	assert.LessOrEqual(t, len(events), maxEvents)
	assert.Positive(t, m.DroppedEvents())
	assert.Less(t, float64(len(send)), 6*(ackRate*2)+1, "the rate of answers is limited")
	for _, e := range send {
		bytes := 0
		for i := range e.Updates {
			bytes += e.Updates[i].ApproxBytes()
		}
		assert.True(t, e.Stream || bytes <= MaxUpdateBytes)
	}
	long := strings.Repeat("x", maxTextBytes+1)
	m.Step(Message{Kind: Ping, From: Member{Name: long, Address: "127.0.0.1:2", BootID: 9}}, 100)
	assert.False(t, m.IsPresent(long))
}
