// Package dispatcher is the adapter between the decision module and sockets: it turns what was read straight into
// calls on the module, and the module's answers into messages on connections. It decides nothing.
package dispatcher

import (
	"context"
	"elderwall/core/admission"
	"elderwall/core/coalescing"
	"elderwall/core/endpoints"
	"elderwall/core/routing"
	"elderwall/core/settings"
	"elderwall/core/timerwheel"
	"elderwall/internal/call"
	"elderwall/internal/changelog"
	"elderwall/internal/clock"
	"elderwall/internal/hostproto"
	"elderwall/internal/upstream"
	"errors"
	"fmt"
	"math"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const sweepEach = 1.0 // s; how often connections are looked over for idle ones, which hosts keep for many

// Config is what a node is made of.
type Config struct {
	Settings    settings.Settings
	Clock       clock.Clock
	Options     *upstream.Options
	Connections int // to all hosts; shared evenly among those that are listed

	Joins []bool // by delivery service, whether GETs for the same part share a forward; nil for none

	Gate  Gate   // the stage that asks who is calling; nil where nobody does
	Shard *Shard // of several in one process; nil for one alone

	Variants Variants // the stage that names the variant that is looked for; nil where none are declared

	Bounders func() Bounder // of the fleet's budget at the origin, one for each module; nil where there is none
}

// Bounder tells how many forwards a module may have under way at hosts whose budgets the fleet shares out, while it acts and when it has.
type Bounder interface {
	// Hosts is the names of hosts, and "" for the origin, itself or behind others; none of them goes again.
	Hosts() []string
	// Bound takes how many are under way, and how many looks have found the bound reached so far.
	Bound(host string, held, refused int, acts bool) (most int)
}

// Gate is the stage before the module that asks who is calling.
type Gate interface {
	// Admit says whether a GET is passed on, and for how many seconds its client is to stay away if not.
	Admit(in call.GET, service int) (t admission.Ticket, r admission.Refusal, wait float64)
	// End settles a GET that was passed on: whether a host may have worked on it, and whether it was shed.
	End(t admission.Ticket, ran, shed bool)
}

// Node runs one dispatcher on sockets.
type Node struct {
	Config
	timer *time.Timer

	mu       sync.Mutex
	module   *routing.Router
	origins  Bounder // nil where there is none
	gets     map[uint32]*get
	byCall   map[call.Call]*get
	byID     map[string]*get // by the id of the request
	lastID   uint32
	hosts    map[uint32]*host
	ended    []routing.AttemptResult // to be told to the module once it returns
	expiries timerwheel.Wheel[*get]
	swept    float64
	many     bool        // the list at hand changes more hosts than are told one by one
	listed   atomic.Bool // the list of hosts is known
	draining atomic.Bool
	joint    *coalescing.Table[*get] // nil where none share a forward
	leads    []*get                  // that go on in the lead, to be told to the module once it returns
	heard    uint64                  // the number of the newest event that the module knows
	line     line                    // of what is to be done, where there are several shards
}

type get struct {
	id       uint32
	call     call.Call
	ticket   admission.Ticket  // of a GET that the gate passed
	request  hostproto.Request // as far as all its forwards share it
	from     float64           // when it came
	until    float64           // the viewer timeout
	expiry   *timerwheel.Timer[*get]
	forwards []*forward
	out      int
	over     bool                     // answered, or given up by the client
	closed   atomic.Bool              // the same, for those who don't hold the node's lock
	asks     routing.Request          // what the module is told, for one that may go on in the lead
	waiter   *coalescing.Waiter[*get] // nil for one that is alone
	variant  Variant                  // that it is sent for, where variants are declared
}

type forward struct {
	upstream.Forward
	get    *get
	to     *host // that it goes to
	from   *host // that a miss is filled from; the same for none
	number int
	at     float64
	back   bool
	router call.Router // whose proxy sends it; nil where it goes out here

	evidence Evidence // of its answer, where variants are declared
}

// stop ends the wait for it.
func (f *forward) stop() {
	if f.router != nil {
		f.router.Withdraw(f.number)
		return
	}
	f.Stop()
}

// New makes a node and its module.
func New(c Config) *Node {
	n := &Node{
		Config: c, timer: time.NewTimer(time.Hour), gets: map[uint32]*get{},
		byCall: map[call.Call]*get{}, byID: map[string]*get{}, hosts: map[uint32]*host{},
	}
	if n.Bounders != nil {
		n.origins = n.Bounders()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.module = routing.New(n.settings(), n.Clock.Now(), wire{n})
	n.joint = n.newJoint()
	return n
}

// settings is what the module is told; it shares with the other shards, if there are any.
func (n *Node) settings() routing.Settings {
	s := n.Settings.Settings
	if n.Shard != nil {
		s.Shards, s.Peers = n.Shard.Shards, n.Shard.Peers
	}
	return s
}

// Run drives the timer until the context ends.
func (n *Node) Run(ctx context.Context) error {
	for {
		select {
		case <-n.timer.C:
			n.guarded(n.tick)
		case <-ctx.Done():
			return nil
		}
	}
}

// tick ends what is overdue, lets the module look at its own due times, and now and then closes idle connections.
func (n *Node) tick(now float64) {
	for g, ok := n.expiries.Pop(now); ok; g, ok = n.expiries.Pop(now) {
		n.expire(g)
	}
	n.module.HandleTimer(now)
	n.passJoint(now)
	if now-n.swept >= sweepEach {
		n.swept = now
		n.sweep()
	}
}

// expire ends all of a GET at its viewer timeout. The module has answered it before, unless it broke.
func (n *Node) expire(g *get) {
	for _, f := range g.forwards {
		if !f.back {
			f.stop()
			n.Options.Counts.Expired.Add(1)
			n.back(f, routing.AttemptResult{Outcome: routing.TimedOut})
		}
	}
	if !g.over {
		wire{n}.Fail(g.id)
	}
}

// guarded calls the module for no connection that a panic could stop at.
func (n *Node) guarded(what func(now float64)) {
	if n.Shard != nil {
		n.put(what)
		return
	}
	defer func() {
		if broken := recover(); broken != nil {
			n.Options.Log.Error().Str("panic", fmt.Sprint(broken)).Bytes("stack", debug.Stack()).Msg("module broke")
		}
	}()
	n.call(what)
}

// call makes one call on the module, under the lock; one shard of several puts it in line instead of waiting.
func (n *Node) call(what func(now float64)) {
	if n.Shard != nil {
		n.put(what)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.step(what)
}

// step makes one call on the module, tells it what ended by the way, and lets it settle.
func (n *Node) step(what func(now float64)) {
	n.bound(true)
	defer n.bound(false)
	now := n.Clock.Now()
	what(now)
	n.module.RunRetries(now)
	for len(n.ended)+len(n.leads) > 0 {
		n.lead(now)
		ended := n.ended
		n.ended = nil
		n.hearNotices(now)
		for _, a := range ended {
			n.module.HandleResult(now, a)
		}
		n.module.RunRetries(now)
	}
}

// bound has the module know, for as long as it acts, how much of the fleet's budgets at hosts it may use, and tells what it does. Guards
// against a process that was stopped: it acts by no bound that it was told before.
func (n *Node) bound(acts bool) {
	if n.origins == nil {
		return
	}
	for _, name := range n.origins.Hosts() {
		id := uint32(0)
		if name != "" {
			if id = n.hostID(name); n.hosts[id] == nil {
				continue
			}
		}
		held, refused := n.module.QuotaUsage(id)
		n.module.SetQuota(id, n.origins.Bound(name, held, refused, acts))
	}
}

// Ready tells whether GETs may come.
func (n *Node) Ready() bool { return n.listed.Load() && !n.draining.Load() }

// Drain makes the node not ready; it goes on with what comes.
func (n *Node) Drain() { n.draining.Store(true) }

// GiveUpAll has the module answer everything that is held, before the process ends.
func (n *Node) GiveUpAll() {
	n.guarded(func(now float64) { n.module.FinishAll(now) })
}

// Take takes an event of the change log; a long list in steps, between which GETs go on.
func (n *Node) Take(e changelog.Event) {
	if e.Fleet == nil || len(e.Fleet.Hosts) <= endpoints.MostTaken || n.Shard != nil || !n.listed.Load() {
		n.guarded(func(now float64) { n.notice(now, e) })
		return
	}
	var changes []changelog.Host
	n.guarded(func(float64) {
		n.Options.Counts.Lists.Add(1)
		changes = n.changes(*e.Fleet)
	})
	e.Fleet = nil
	for _, step := range endpoints.Steps(changes, func(h changelog.Host) bool { return h.State != "SERVING" }, endpoints.MostTaken) {
		n.guarded(func(now float64) { n.fleet(now, changelog.Fleet{Hosts: step}) })
	}
	n.guarded(func(now float64) { n.notice(now, e) })
}

func (n *Node) notice(now float64, e changelog.Event) {
	if e.Fleet != nil {
		n.Options.Counts.Lists.Add(1)
		n.fleet(now, *e.Fleet)
	}
	if p := e.Purge; p != nil {
		if p.Learned {
			n.Options.Counts.PurgesLearned.Add(1)
		} else {
			n.Options.Counts.Purges.Add(1)
		}
		n.purged(now, p.Object, p.Group, n.purgedAt(now, p))
	}
	if n.Variants != nil {
		n.noticeVariants(now, e)
	}
}

// purgedAt is when a purge was, on the node's clock.
func (n *Node) purgedAt(now float64, p *changelog.Purge) float64 {
	if p.Witnessed {
		return p.At
	}
	return n.Clock.Witnessed(p.Time, math.Inf(-1), now)
}

// purged tells of a purge, at a moment on the node's clock, of an object by one of its names, or of a group.
func (n *Node) purged(now float64, object string, group int, at float64) {
	n.module.HandlePurge(now, object, group, now-at)
	if n.joint != nil {
		n.joint.Purged(object, group)
	}
	n.recall(func(f *forward) bool {
		asks := f.get.asks
		return asks.Object == object || object == "" && asks.Group == group
	})
}

// recall takes back forwards of which nothing has gone out, where news forbids them; the module decides anew. Guards against one that
// waits for its connection, or for its proxy to come again, for longer than the grace.
func (n *Node) recall(forbidden func(f *forward) bool) {
	for _, g := range n.gets {
		for _, f := range g.forwards {
			if !f.back && forbidden(f) && f.takeBack() {
				n.Options.Counts.Recalled.Add(1)
				n.back(f, routing.AttemptResult{Outcome: routing.Withdrawn})
			}
		}
	}
}

// takeBack takes it back; false if something of it has gone out.
func (f *forward) takeBack() bool {
	if f.router != nil {
		return f.router.Withdraw(f.number)
	}
	return f.TakeBack()
}

// GiveUp takes word that a client no longer waits.
func (n *Node) GiveUp(c call.Call) {
	n.call(func(now float64) {
		if g := n.byCall[c]; g != nil {
			n.Options.Counts.GivenUp.Add(1)
			n.leave(now, g)
		}
	})
}

// written tells whether a host may have got a forward whole.
func written(f *forward) bool { return f.router != nil || f.Written() }

// unsent counts a GET that is given up after half its time with no forward written whole, which is charged for.
func (n *Node) unsent(g *get) {
	if 2*n.Clock.Now() > g.from+g.until && !slices.ContainsFunc(g.forwards, written) {
		n.Options.Counts.Unsent.Add(1)
	}
}

// close ends a GET at the client's side, and settles it with the gate.
func (n *Node) close(g *get, shed bool) {
	g.over = true
	g.closed.Store(true)
	delete(n.byCall, g.call)
	if n.Gate != nil {
		n.Gate.End(g.ticket, slices.ContainsFunc(g.forwards, written), shed)
	}
	n.forget(g)
}

// forget lets a GET go once it is over and its last forward is back. Guards against one that is let go twice, by its last forward and again
// by whoever ended it: shards would count one GET too few as held, and free an id that may be another's by then.
func (n *Node) forget(g *get) {
	if !g.over || g.waiter.Needed() || n.gets[g.id] != g {
		return
	}
	if g.out > 0 {
		n.withdraw(g)
		return
	}
	delete(n.gets, g.id)
	delete(n.byID, g.request.ID)
	n.leftShard(g)
	n.expiries.Remove(g.expiry)
	n.Options.Room.Give(len(g.request.Body))
}

// back books the end of a forward, of which the module is told as soon as it is not at work.
func (n *Node) back(f *forward, a routing.AttemptResult) {
	f.back = true
	f.get.out--
	a.RequestID, a.Attempt, a.Elapsed = f.get.id, f.number, n.Clock.Now()-f.at
	a.Final = f.get.over && !f.get.waiter.Needed() || a.Outcome == routing.Succeeded
	n.ended = append(n.ended, a)
	n.forget(f.get)
}

// done takes the end of a forward from its connection.
func (n *Node) done(f *forward, r upstream.Result) {
	n.call(func(now float64) {
		body := r.Answer.Body
		defer func() { n.Options.Room.Give(len(body)) }()
		if f.back {
			return
		}
		size := float64(len(body)) / 1e3
		outcome, counter := n.outcome(r, f.get.request.Tag)
		counter.Add(1)
		if outcome == routing.Withdrawn && n.gone(now, f) {
			return
		}
		if outcome == routing.Succeeded && n.Variants != nil {
			outcome = n.landedVariant(f, f.Proofs, body)
		} else if outcome == routing.Succeeded {
			n.landed(f, body)
		}
		if g := f.get; outcome == routing.Succeeded && !g.over {
			n.Options.Counts.Returned.Add(1)
			same := r.Answer.Word == hostproto.Valid
			if same {
				n.Options.Counts.Unchanged.Add(1)
			}
			g.call.Serve(body, same)
			body = nil // with the room that it holds
			n.close(g, false)
		}
		n.back(f, routing.AttemptResult{Outcome: outcome, Note: r.Answer.Note, FillWait: r.Answer.Waited, SizeKB: size})
	})
}

// outcome names how a forward ended, never better than what is proven, and its counter. That the client's copy, by its
// tag, is current counts only where the host names that very copy: guards against VALID for a GET that came with none,
// which would have its client, and all that share the forward, go on with a copy that nobody vouched for.
func (n *Node) outcome(r upstream.Result, tag string) (routing.Outcome, *atomic.Int64) {
	c := n.Options.Counts
	switch r.Stage {
	case upstream.NotConnected, upstream.NotWritten:
		if errors.Is(r.Err, upstream.ErrOvertaken) {
			return routing.Withdrawn, &c.Recalled
		}
		if errors.Is(r.Err, upstream.ErrOwn) { // the host had no part in it
			return routing.Rejected, &c.NoPlace
		}
		return routing.Unreachable, &c.Unreached
	case upstream.PartlyWritten: // a request that is not whole can't run
		return routing.Unreachable, &c.PartlyWritten
	case upstream.WrittenWhole:
		return routing.ConnectionLost, &c.Unanswered
	case upstream.AnswerBegun:
		return routing.ConnectionLost, &c.AnswerCut
	}
	switch r.Answer.Word {
	case hostproto.Hit:
		return routing.Succeeded, &c.Hit
	case hostproto.Valid:
		if tag == "" || r.Answer.Tag != tag {
			return routing.HostFailed, &c.Unnamed
		}
		return routing.Succeeded, &c.Valid
	case hostproto.None:
		return routing.NotCached, &c.None
	case hostproto.Shed:
		return routing.Rejected, &c.Full
	case hostproto.Late:
		return routing.ArrivedLate, &c.Late
	}
	return routing.HostFailed, &c.Fault
}
