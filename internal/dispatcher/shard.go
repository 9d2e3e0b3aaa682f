package dispatcher

import (
	"elderwall/core/admission"
	"elderwall/core/routing"
	"elderwall/core/sharding"
	"elderwall/core/timerwheel"
	"elderwall/internal/call"
	"elderwall/internal/changelog"
	"elderwall/internal/clock"
	"fmt"
	"hash/maphash"
	"math"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"
)

const (
	stripes  = 64              // of the ids that are open: hardly two cores meet at one
	longLine = 4096            // tasks; a shard whose line is as long stands still, and what comes is shed
	lead     = 2 * lastMoments // ahead of a GET's end that it is answered in place of a shard that stands still

	lastMoments = 25 * time.Millisecond // the longest between two looks for shards that stand still
)

// Shard is what makes a node one of several in a process.
type Shard struct {
	Index, Shards int
	Peers         routing.ShardPeers
	Together      *Together
	// Known is the whole list of hosts and the purges that still count, for a module that is made anew.
	Known func() []changelog.Event
}

// Together is what all shards of a process have: the ids that are open and the GETs that are held.
type Together struct {
	Held atomic.Int64
	seed maphash.Seed
	ids  [stripes]struct {
		mu   sync.Mutex
		open map[string]bool
	}
}

// task is what is to be done, and when it was put in line.
type task struct {
	do    func(now float64)
	since clock.Instant
}

// NewTogether is empty.
func NewTogether() *Together {
	t := &Together{seed: maphash.MakeSeed()}
	for i := range t.ids {
		t.ids[i].open = map[string]bool{}
	}
	return t
}

// line is what is to be done in a shard. Whoever finds the lock free does all of it; nobody waits for it, so that a
// shard that stands still holds up no connection of clients or hosts.
type line struct {
	mu      sync.Mutex
	notices []func(now float64)  // come before all else, also in the middle of what is done
	found   []routing.PeerUpdate // by other shards; heard with the next task, within a tick of the timer
	tasks   []task
	closed  bool          // nothing new is taken in
	told    atomic.Uint64 // notices put in line
	heard   atomic.Uint64 // and done
	since   atomic.Int64  // a clock.Instant at which the task under way was put in line, 0 while none is

	slots [sharding.Slots]uint32 // GETs since the last report; under the node's lock
	tally sharding.Tally
}

// put puts a task in line, whatever its length: what ends or gives up what the shard holds must not be lost, and there
// is no more of it than of that.
func (n *Node) put(do func(now float64)) { n.line.add(do, math.MaxInt); n.Serve() }

// offer puts a task in line unless that is too long already.
func (n *Node) offer(do func(now float64)) bool {
	if !n.line.add(do, longLine) {
		return false
	}
	n.Serve()
	return true
}

func (l *line) add(do func(now float64), most int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.tasks) >= most || l.closed && most < math.MaxInt {
		return false
	}
	l.tasks = append(l.tasks, task{do, clock.InstantNow()})
	return true
}

// Notice puts in line what goes before all else; nothing is done yet.
func (n *Node) Notice(e changelog.Event) {
	l := &n.line
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notices = append(l.notices, func(now float64) { n.notice(now, e) })
	l.told.Add(1)
}

// Told puts in line what another shard has found out; nothing is done yet.
func (n *Node) Told(news routing.PeerUpdate) {
	l := &n.line
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.found) < longLine {
		l.found = append(l.found, news)
	}
}

// Close ends a shard that has nothing in line or held, and tells whether it has: what is still offered to it is shed.
// Guards against a task that found the lock taken by this look alone, and would be left in line for good: the timer's
// own among them, after which nothing would ever be done.
func (n *Node) Close() bool {
	if !n.mu.TryLock() {
		return false
	}
	l := &n.line
	l.mu.Lock()
	l.closed = len(n.gets)+len(l.tasks)+len(l.notices) == 0
	closed := l.closed
	l.mu.Unlock()
	n.mu.Unlock()
	n.Serve()
	return closed
}

// Turn puts in line a report of what the shard saw since the last one.
func (n *Node) Turn(to chan<- sharding.Report) {
	n.offer(func(float64) {
		r := sharding.Report{Heard: true, Slots: n.line.slots, Items: n.line.tally.Take()}
		n.line.slots = [sharding.Slots]uint32{}
		to <- r
	})
}

// Within puts a task in line that the node does not count; tests hold a shard up by it.
func (n *Node) Within(task func()) { n.put(func(float64) { task() }) }

// Serve does what is in line, unless somebody does already.
func (n *Node) Serve() {
	l := &n.line
	for n.mu.TryLock() {
		for t := n.next(); t.do != nil; t = n.next() {
			n.do(t)
		}
		l.since.Store(0)
		n.mu.Unlock()
		if !n.waiting() {
			return
		}
	}
}

func (n *Node) waiting() bool {
	l := &n.line
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.tasks)+len(l.notices) > 0
}

// next takes a task off the line.
func (n *Node) next() (t task) {
	l := &n.line
	n.hearNotices(n.Clock.Now())
	l.mu.Lock()
	defer l.mu.Unlock()
	if found := l.found; len(found) > 0 && len(l.tasks) > 0 {
		l.found = nil
		return task{func(now float64) {
			for _, news := range found {
				n.module.HandlePeerUpdate(now, news)
			}
		}, l.tasks[0].since}
	}
	if len(l.tasks) == 0 {
		l.tasks = nil
		return t
	}
	t, l.tasks[0] = l.tasks[0], task{}
	l.tasks = l.tasks[1:]
	return t
}

// hearNotices does the notices in line.
func (n *Node) hearNotices(now float64) {
	for n.behind() {
		l := &n.line
		l.mu.Lock()
		notices := l.notices
		l.notices = nil
		l.mu.Unlock()
		for _, notice := range notices {
			n.safely(now, func() { notice(now); n.module.RunRetries(now) })
			l.heard.Add(1)
		}
	}
}

// behind tells whether there are notices that the module has not heard.
func (n *Node) behind() bool { return n.Shard != nil && n.line.told.Load() != n.line.heard.Load() }

// do does a task.
func (n *Node) do(t task) {
	n.line.since.Store(int64(t.since))
	n.safely(n.Clock.Now(), func() { n.step(t.do) })
}

// safely keeps a panic in this shard: its GETs are answered, and it goes on with a module made anew.
func (n *Node) safely(now float64, what func()) {
	defer func() {
		if broken := recover(); broken != nil {
			n.Options.Log.Error().Int("shard", n.Shard.Index).Str("panic", fmt.Sprint(broken)).Bytes("stack", debug.Stack()).Msg("module broke")
			n.rebuild(now)
		}
	}()
	what()
}

// rebuild ends all that a broken module held, and makes a new one that knows the list and the purges.
func (n *Node) rebuild(now float64) {
	n.Options.Counts.Rebuilt.Add(1)
	for _, g := range n.gets {
		g.waiter = nil
		for _, f := range g.forwards {
			if !f.back {
				f.back = true
				f.stop()
			}
		}
		g.out = 0
		if !g.over {
			n.Options.Counts.Errored.Add(1)
			g.call.Fail("")
			n.close(g, false)
		} else {
			n.forget(g)
		}
	}
	n.ended, n.expiries, n.joint = nil, timerwheel.Wheel[*get]{}, n.newJoint()
	n.module = routing.New(n.settings(), now, wire{n})
	for _, e := range n.Shard.Known() {
		n.notice(now, e)
	}
}

// Stalled is how long ago the task under way was put in line, 0 while there is none: a shard that stands still again
// and again, with a little done between, stands still.
func (n *Node) Stalled() time.Duration {
	if since := clock.Instant(n.line.since.Load()); !since.IsZero() {
		return since.Since()
	}
	return 0
}

// Lead is how long ahead of a GET's end it is answered in place of a shard that stands still.
func Lead() time.Duration { return lead }

// enterShard puts a GET in line, or sheds it where the line is too long.
func (n *Node) enterShard(c call.Call, in call.GET, g routing.Request, ticket admission.Ticket, key uint64) {
	c.Mark(n.Shard.Index, time.Now().Add(time.Duration(in.Budget*float64(time.Second))))
	from := n.Clock.Now()
	if !n.offer(func(now float64) {
		n.line.slots[key%sharding.Slots]++
		n.line.tally.Add(key)
		if g.Deadline -= now - from; now-from > sharding.Waits && g.Deadline < sharding.TooLittle {
			n.Options.Counts.Shed.Add(1) // unless it has been answered in the shard's place
			n.settleGate(ticket, true)
			c.Refuse(0)
			return
		}
		n.enter(now, c, in, g, ticket)
	}) {
		n.Options.Counts.Shed.Add(1)
		n.settleGate(ticket, true)
		c.Refuse(0)
	}
}

func (n *Node) settleGate(ticket admission.Ticket, shed bool) {
	if n.Gate != nil {
		n.Gate.End(ticket, false, shed)
	}
}

// place tells whether another GET, with a body of so many bytes, may be held; in shards, by all of them together.
func (n *Node) place(body int) bool {
	if n.Shard == nil {
		return len(n.gets) < n.Settings.MostHeld && n.Options.Room.Take(body)
	}
	if n.Shard.Together.Held.Add(1) <= int64(n.Settings.MostHeld) && n.Options.Room.Take(body) {
		return true
	}
	n.Shard.Together.Held.Add(-1)
	return false
}

// leftShard gives back what a GET had of what all shards have.
func (n *Node) leftShard(g *get) {
	if n.Shard != nil {
		n.Shard.Together.Held.Add(-1)
		n.closeID(g.request.ID)
	}
}

// openID books an id; false tells that it is open in any shard.
func (n *Node) openID(id string) bool {
	if n.Shard == nil {
		return true
	}
	t := n.Shard.Together
	s := &t.ids[maphash.String(t.seed, id)%stripes]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[id] {
		return false
	}
	s.open[id] = true
	return true
}

func (n *Node) closeID(id string) {
	if n.Shard == nil {
		return
	}
	t := n.Shard.Together
	s := &t.ids[maphash.String(t.seed, id)%stripes]
	s.mu.Lock()
	delete(s.open, id)
	s.mu.Unlock()
}
