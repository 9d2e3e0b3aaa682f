// Package multicore is several dispatchers in one process, each a shard with a module, a lock and connections to hosts of its own:
// it hands each GET to the shard that the module core/sharding names, each notice to all, and answers in place of a shard that
// stands still. It decides nothing.
package multicore

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"elderwall/core/routing"
	"elderwall/core/routing/rendezvous"
	"elderwall/core/sharding"
	"elderwall/internal/call"
	"elderwall/internal/changelog"
	"elderwall/internal/counters"
	"elderwall/internal/dispatcher"
	"elderwall/internal/upstream"
)

const (
	turn    = 250 * time.Millisecond // how often load is looked at: two in the shortest grace
	heardIn = 50 * time.Millisecond  // a shard that has not reported by then in a turn stands still
	look    = 10 * time.Millisecond  // how often shards that stand still are looked for
	still   = 25 * time.Millisecond  // a task that takes so long stands still: none takes a millisecond, and the module
	// answers 50 ms ahead, so that what it owes then has that long and two looks
	tells = 100 * time.Millisecond // for so long a shard has stood still that is worth a line
)

// Group is the shards of a process.
type Group struct {
	config dispatcher.Config
	turns  atomic.Uint64 // GETs, by which hot items are spread
	fail   func(shard int, by time.Time) int

	places  atomic.Pointer[places]
	members atomic.Pointer[[]*member] // by number, those too that get nothing new any more; nil for those that are gone

	shared sync.Mutex // of pots; taken under shards' locks, and held for no call
	pots   sharding.SharedCredits
	kept   sync.Mutex // of memory, likewise
	memory sharding.ReplayState
	order  uint64 // of the newest event

	mu       sync.Mutex // of what follows
	module   *sharding.Balancer
	together *dispatcher.Shared
	draining bool
	past     *counters.Counters // of shards that are gone
	run      func(func() error) // starts what Run waits for
}

// places is where GETs go. Guards against a table read with the nodes of another moment, which may be fewer.
type places struct {
	table *sharding.Table
	nodes []*dispatcher.Dispatcher // by shard
}

// member is one shard that there is or was.
type member struct {
	*dispatcher.Dispatcher
	counts *counters.Counters
	ctx    context.Context
	cancel context.CancelFunc
	ended  atomic.Bool // it gets nothing new any more
}

// alive is the members that are not gone.
func (g *Group) alive() []*member {
	return slices.DeleteFunc(slices.Clone(*g.members.Load()), func(m *member) bool { return m == nil })
}

// New makes a group of n shards; fail answers what a shard that stands still owes by a moment, and tells how many.
func New(c dispatcher.Config, n int, way sharding.Mode, fail func(shard int, by time.Time) int) *Group {
	g := &Group{config: c, module: sharding.New(n, way), together: dispatcher.NewShared(), fail: fail, past: &counters.Counters{}}
	g.memory.PurgeWindow = c.Settings.PurgeGrace
	g.run = c.Options.Group.Go
	g.members.Store(&[]*member{})
	_, nodes := g.grow(nil, n)
	g.places.Store(&places{g.module.Table(), nodes})
	return g
}

// grow makes members until there are n shards; nothing goes to them yet.
func (g *Group) grow(nodes []*dispatcher.Dispatcher, n int) (fresh []*member, all []*dispatcher.Dispatcher) {
	nodes, members := slices.Clone(nodes), slices.Clone(*g.members.Load())
	for len(nodes) < n {
		c, o := g.config, g.config.Options
		m := &member{counts: &counters.Counters{}}
		m.ctx, m.cancel = context.WithCancel(o.Context)
		c.Options = &upstream.Options{
			Log: o.Log, Counts: m.counts, Room: o.Room, Dialer: o.Dialer, IdleClose: o.IdleClose,
			Streams: o.Streams, Proofs: o.Proofs, Places: o.Places, Dials: o.Dials, Context: m.ctx, Group: o.Group,
		}
		c.Connections = max(1, g.config.Connections/n)
		c.Shard = &dispatcher.Shard{Index: len(members), Shards: n, Peers: &peers{g, len(members)}, Shared: g.together, Known: g.known}
		m.Dispatcher = dispatcher.New(c)
		nodes, members, fresh = append(nodes, m.Dispatcher), append(members, m), append(fresh, m)
	}
	g.members.Store(&members)
	return fresh, nodes
}

// known is the list and the purges, for a shard that has to learn them.
func (g *Group) known() (all []changelog.Event) {
	g.kept.Lock()
	defer g.kept.Unlock()
	hosts, purges := g.memory.Snapshot(g.config.Clock.Now())
	if g.memory.HasList() {
		list := changelog.Fleet{Reset: true}
		for _, h := range hosts {
			list.Hosts = append(list.Hosts, h.(changelog.Host))
		}
		all = append(all, changelog.Event{Fleet: &list})
	}
	for _, p := range purges {
		purge := p.(changelog.Purge)
		all = append(all, changelog.Event{Purge: &purge, Order: g.order})
	}
	return append(all, changelog.Event{Order: g.order})
}

// Run drives the shards until the context ends.
func (g *Group) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	g.mu.Lock()
	g.run = group.Go
	for _, m := range g.alive() {
		group.Go(func() error { return m.Run(m.ctx) })
	}
	g.mu.Unlock()
	group.Go(func() error { return g.balance(ctx) })
	group.Go(func() error { return g.watch(ctx) })
	return group.Wait()
}

// Take hands an event to every shard: it is in line in all of them before any is at work on it, and a shard does what it
// is told before all else and keeps back forwards that it has decided on meanwhile. One that stands still holds up none.
func (g *Group) Take(e changelog.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e = g.remember(e)
	for _, m := range g.alive() {
		m.QueueEvent(e)
	}
	for _, m := range g.alive() {
		g.run(func() error { m.RunQueued(); return nil })
	}
}

// remember keeps what an event tells, and gives it with its number.
func (g *Group) remember(e changelog.Event) changelog.Event {
	g.kept.Lock()
	defer g.kept.Unlock()
	g.order++
	e.Order = g.order
	if e.Fleet != nil {
		if e.Fleet.Reset {
			g.memory.ResetHosts()
		}
		for _, h := range e.Fleet.Hosts {
			if h.State == "DELETED" {
				g.memory.RemoveHost(h.ID)
			} else {
				g.memory.SetHost(h.ID, h)
			}
		}
	}
	if p := e.Purge; p != nil {
		g.memory.AddPurge(g.config.Clock.Now(), p.Object, p.Group, *p)
	}
	return e
}

// Ready tells whether GETs may come: every shard knows the list.
func (g *Group) Ready() bool {
	for _, n := range g.places.Load().nodes {
		if !n.Ready() {
			return false
		}
	}
	return true
}

// Drain makes the group not ready; it goes on with what comes.
func (g *Group) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	for _, m := range g.alive() {
		m.Drain()
	}
}

// LogSlowStarts has the slow starts that go on logged soon, by every shard.
func (g *Group) LogSlowStarts() {
	for _, m := range g.alive() {
		m.LogSlowStarts()
	}
}

// GiveUpAll has every shard answer what it holds, before the process ends.
func (g *Group) GiveUpAll() {
	for _, m := range g.alive() {
		m.GiveUpAll()
	}
}

// Process hands a GET to its shard. Guards against a shard that has ended since it was named: a newer table names another one.
func (g *Group) Process(c call.Call, in call.GET) {
	for !g.offer(g.places.Load(), c, in) {
	}
}

// offer offers a GET to the shard that a table names, and reports whether it has accepted it.
func (g *Group) offer(p *places, c call.Call, in call.GET) (accepted bool) {
	var key uint64
	if p.table.Mode() == sharding.ByConnection {
		key = rendezvous.Mix(c.Origin())
	} else {
		key = sharding.Key(in.Object, in.Part)
	}
	return p.nodes[p.table.Shard(key, g.turns.Add(1))].ProcessAs(c, in, key)
}

// GiveUp hands word that a client no longer waits to the shard that has its GET.
func (g *Group) GiveUp(c call.Call) {
	if m := (*g.members.Load())[c.Marked()]; m != nil {
		m.GiveUp(c)
	}
}

// AnswerNow has the shard that has a GET answer it.
func (g *Group) AnswerNow(c call.Call) {
	if m := (*g.members.Load())[c.Marked()]; m != nil {
		m.AnswerNow(c)
	}
}

// Resize goes on with another number of shards. Those that are new know the list and the purges before any GET comes to
// them; those that are too many get none any more, end what they have, and go.
func (g *Group) Resize(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.places.Load().nodes
	if n < 1 || n == len(old) {
		return
	}
	if n < len(old) {
		kept := slices.Clone(old[:n])
		g.places.Store(&places{g.module.Resize(n), kept})
		for _, m := range g.alive() {
			m.ended.Store(m.ended.Load() || !slices.Contains(kept, m.Dispatcher))
		}
		return
	}
	fresh, nodes := g.grow(old, n)
	for _, m := range fresh {
		for _, e := range g.known() {
			m.QueueEvent(e)
		}
		if g.draining {
			m.Drain()
		}
		g.run(func() error { m.RunQueued(); return m.Run(m.ctx) })
	}
	g.places.Store(&places{g.module.Resize(n), nodes})
}

// clear lets go of shards that are too many and have nothing left.
func (g *Group) clear() {
	g.mu.Lock()
	defer g.mu.Unlock()
	members := slices.Clone(*g.members.Load())
	for i, m := range members {
		if m != nil && m.ended.Load() && m.Close() {
			m.cancel()
			g.past = counters.Sum(g.past, m.counts)
			members[i] = nil
		}
	}
	g.members.Store(&members)
}

// Shards is how many there are.
func (g *Group) Shards() int { return len(g.places.Load().nodes) }

// Counts is the counters of each shard by its number, and of those that are gone together.
func (g *Group) Counts() (by map[int]*counters.Counters, past *counters.Counters) {
	g.mu.Lock()
	defer g.mu.Unlock()
	by = map[int]*counters.Counters{}
	for i, m := range *g.members.Load() {
		if m != nil {
			by[i] = m.counts
		}
	}
	return by, g.past
}

// balance has load looked at, turn by turn.
func (g *Group) balance(ctx context.Context) error {
	each := time.NewTicker(turn)
	defer each.Stop()
	for {
		select {
		case <-each.C:
			g.rebalance()
			g.clear()
		case <-ctx.Done():
			return nil
		}
	}
}

// rebalance takes the reports of a turn; a shard that gives none is not heard of.
func (g *Group) rebalance() {
	nodes := g.places.Load().nodes
	reports, chans := make([]sharding.Report, len(nodes)), make([]chan sharding.Report, len(nodes))
	for i, n := range nodes {
		chans[i] = make(chan sharding.Report, 1)
		n.QueueReport(chans[i])
	}
	until := time.After(heardIn)
	for i := range nodes {
		select {
		case reports[i] = <-chans[i]:
		case <-until:
			closed := make(chan time.Time)
			close(closed)
			until = closed
			select { // it may have reported while another was waited for
			case reports[i] = <-chans[i]:
			default:
			}
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(nodes) != len(g.places.Load().nodes) {
		return // resized meanwhile
	}
	d := g.module.Balance(g.config.Clock.Now(), reports)
	g.places.Store(&places{d.Table, g.places.Load().nodes})
	if d.MovedSlots > 0 {
		g.config.Options.Counts.MovedSlots.Add(int64(d.MovedSlots))
	}
	g.config.Options.Counts.HotItems.Store(int64(d.HotItems))
}

// watch answers what a shard that stands still owes, before its clients have gone.
func (g *Group) watch(ctx context.Context) error {
	each := time.NewTicker(look)
	defer each.Stop()
	told := map[int]bool{}
	for {
		select {
		case <-each.C:
			for i, m := range *g.members.Load() {
				if m != nil {
					g.lookAt(i, m.Dispatcher, told)
				}
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (g *Group) lookAt(i int, n *dispatcher.Dispatcher, told map[int]bool) {
	stalled := n.Stalled()
	if stalled < still {
		if told[i] {
			g.config.Options.Log.Info().Int("shard", i).Msg("shard goes on")
		}
		delete(told, i)
		return
	}
	if !told[i] && stalled >= tells {
		told[i] = true
		g.config.Options.Log.Warn().Int("shard", i).Dur("for", stalled).Msg("shard stands still")
	}
	g.config.Options.Counts.Overdue.Add(int64(g.fail(i, time.Now().Add(dispatcher.AnswerLead()))))
}

// peers is what the shards have in common, as one of them sees it.
type peers struct {
	*Group
	index int
}

var _ routing.ShardPeers = (*peers)(nil)

func (p *peers) AccrueCredit(host uint32, since, first, add, most float64) float64 {
	p.shared.Lock()
	defer p.shared.Unlock()
	return p.pots.Accrue(host, since, first, add, most)
}

func (p *peers) SpendCredit(host uint32, work float64) bool {
	p.shared.Lock()
	defer p.shared.Unlock()
	return p.pots.Spend(host, work)
}

func (p *peers) ClaimProbe(now float64, host uint32) bool {
	p.shared.Lock()
	defer p.shared.Unlock()
	return p.pots.ClaimProbe(now, host, p.index)
}

// Publish passes news on to the other shards; it is called under the lock of one, so it only puts them in line.
func (p *peers) Publish(news routing.PeerUpdate) {
	if !news.Ejected && news.Limit == routing.NoLimit {
		p.shared.Lock()
		p.pots.EndProbe(news.Host)
		p.shared.Unlock()
	}
	for i, m := range *p.members.Load() {
		if i != p.index && m != nil {
			m.QueuePeerUpdate(news)
		}
	}
}
