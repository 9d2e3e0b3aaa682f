// Package node is the adapter between the decision module and sockets: it turns what was read straight into
// calls on the module, and the module's answers into messages on connections. It decides nothing.
package node

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"elderwall/control"
	"elderwall/internal/changelog"
	"elderwall/internal/clock"
	"elderwall/internal/counters"
	"elderwall/internal/due"
	"elderwall/internal/front"
	"elderwall/internal/lines"
	"elderwall/internal/thrift"
	"elderwall/internal/upstream"
	"elderwall/settings"
)

const (
	sweepEach = 1.0 // s; how often connections are looked over for idle ones
)

// Node runs one dispatcher on sockets.
type Node struct {
	settings settings.Settings
	log      zerolog.Logger
	counts   *counters.Counters
	clock    clock.Clock
	ctx      context.Context
	group    *errgroup.Group
	options  *upstream.Options
	timer    *time.Timer

	mu       sync.Mutex
	module   *control.Dispatcher
	gets     map[uint32]*get
	byCall   map[*front.Call]*get
	lastID   uint32
	hosts    map[uint32]*host
	byName   map[string]uint32
	ended    []control.Answer // to be told to the module once it returns
	expiries due.Queue[*forward]
	listed   bool // the list of hosts is known
	draining bool
}

type host struct {
	*upstream.Host
	name, address string
}

type get struct {
	id       uint32
	call     *front.Call
	request  lines.Request // as far as all its forwards share it
	until    float64       // the viewer timeout
	forwards []*forward
	out      int
	over     bool // answered, or given up by the client
}

type forward struct {
	upstream.Forward
	get    *get
	number int
	at     float64
	back   bool
	expiry *due.Entry[*forward]
}

// New makes a node and its module. Its connections to hosts live in the group, until the context ends.
func New(ctx context.Context, group *errgroup.Group, s settings.Settings, c clock.Clock, o *upstream.Options) *Node {
	n := &Node{settings: s, log: o.Log, counts: o.Counts, clock: c, ctx: ctx, group: group, options: o,
		timer: time.NewTimer(time.Hour), gets: map[uint32]*get{}, byCall: map[*front.Call]*get{},
		hosts: map[uint32]*host{}, byName: map[string]uint32{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.module = control.New(s.Settings, n.clock.Now(), wire{n})
	return n
}

// Run drives the timer until the context ends.
func (n *Node) Run() error {
	swept := n.clock.Now()
	for {
		select {
		case <-n.timer.C:
		case <-n.ctx.Done():
			return nil
		}
		n.call(func(now float64) {
			for f, ok := n.expiries.Pop(now); ok; f, ok = n.expiries.Pop(now) {
				f.Stop()
				n.back(f, control.Answer{Outcome: control.Expired})
			}
			n.module.Timer(now)
		})
		if now := n.clock.Now(); now-swept >= sweepEach {
			swept = now
			n.sweep()
		}
	}
}

func (n *Node) sweep() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.hosts {
		h.Sweep(time.Now())
	}
}

// call makes one call on the module under the lock, tells it what ended by the way, and lets it settle.
func (n *Node) call(what func(now float64)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock.Now()
	what(now)
	for settled := false; !settled || len(n.ended) > 0; settled = true {
		ended := n.ended
		n.ended = nil
		for _, a := range ended {
			n.module.Answer(now, a)
		}
		n.module.Settle(now)
	}
}

// Ready tells whether GETs may come.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listed && !n.draining
}

// Drain makes the node not ready; it goes on with what comes.
func (n *Node) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
}

// Take takes an event of the change log.
func (n *Node) Take(e changelog.Event) {
	n.call(func(now float64) {
		if e.Fleet != nil {
			n.fleet(now, *e.Fleet)
		}
		if p := e.Purge; p != nil {
			n.counts.Purges.Add(1)
			n.module.Purged(now, p.Object, p.Group, now-n.clock.AtUnixMs(p.Time))
		}
	})
}

var phases = map[string]control.Phase{
	"SERVING": control.Ready, "DRAINING": control.Draining, "DELETED": control.Gone,
}

// fleet takes a list of hosts or changes to it.
func (n *Node) fleet(now float64, fleet changelog.Fleet) {
	n.counts.Lists.Add(1)
	form := control.Changes
	if fleet.Reset {
		form = control.Complete
	}
	var entries []control.HostEntry
	for _, h := range fleet.Hosts {
		e, err := n.entry(h)
		if err != nil {
			n.log.Warn().Err(err).Str("host", h.ID).Msg("list entry passed over")
			continue
		}
		entries = append(entries, e)
	}
	n.listed = n.listed || fleet.Reset
	n.module.Hosts(now, form, entries)
	for id, h := range n.hosts {
		listed := slices.ContainsFunc(entries, func(e control.HostEntry) bool { return e.ID == id && e.Phase != control.Gone })
		if !listed && (fleet.Reset || slices.ContainsFunc(entries, func(e control.HostEntry) bool { return e.ID == id })) {
			h.Leave()
		}
	}
}

// entry is a host as the module knows it, with connections of its own.
func (n *Node) entry(h changelog.Host) (control.HostEntry, error) {
	phase, known := phases[h.State]
	e := control.HostEntry{ID: n.hostID(h.ID), Zone: slices.Index(n.settings.Zones, h.Zone),
		Kind: slices.Index(n.settings.Kinds, h.Kind), Cell: h.Cell, Phase: phase, Weight: h.Weight}
	if !known || h.ID == "" {
		return e, fmt.Errorf("state %q", h.State)
	}
	if phase == control.Gone {
		return e, nil
	}
	if e.Zone < 0 || e.Kind < 0 || h.Address == "" {
		return e, fmt.Errorf("zone %q, kind %q, address %q", h.Zone, h.Kind, h.Address)
	}
	if h.StartedAtMs != 0 {
		e.OnlineSince, e.OnlineSinceIsTold = n.clock.AtUnixMs(h.StartedAtMs), true
	}
	if old := n.hosts[e.ID]; old == nil || old.address != h.Address {
		if old != nil {
			old.Leave()
		}
		n.hosts[e.ID] = &host{upstream.New(n.ctx, n.group, h.Address, n.options), h.ID, h.Address}
	}
	return e, nil
}

// hostID is the module's id of a host: the same at every dispatcher, as the module orders hosts by it.
func (n *Node) hostID(name string) uint32 {
	if id, known := n.byName[name]; known {
		return id
	}
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(name))
	id := sum.Sum32()
	for n.taken(id) {
		id++
	}
	n.byName[name] = id
	return id
}

func (n *Node) taken(id uint32) bool {
	for _, other := range n.byName {
		if other == id {
			return true
		}
	}
	return false
}

// Process takes a call of a client.
func (n *Node) Process(c *front.Call, m thrift.Call) {
	n.counts.GETs.Add(1)
	in, request, err := n.read(m)
	if err != nil {
		n.counts.Malformed.Add(1)
		n.log.Warn().Err(err).Msg("GET can't be used")
		c.Fail()
		return
	}
	n.call(func(now float64) {
		if len(n.gets) >= n.settings.MostHeld {
			c.Refuse(0)
			return
		}
		for n.lastID++; n.gets[n.lastID] != nil; n.lastID++ {
		}
		in.ID, in.ViewerTimeout = n.lastID, in.ViewerTimeout+now
		g := &get{id: in.ID, call: c, request: request, until: in.ViewerTimeout}
		n.gets[g.id], n.byCall[c] = g, g
		n.module.GET(now, in)
	})
}

var errField = errors.New("unusable field")

// read makes a GET of a message; its viewer timeout still counts from when the message came.
func (n *Node) read(m thrift.Call) (control.GET, lines.Request, error) {
	q := lines.Request{ID: string(m.ID), Service: string(m.Service), Object: string(m.Object), Part: string(m.Part),
		Tag: string(m.Tag), Body: slices.Clone(m.Body)}
	in := control.GET{Service: slices.Index(n.settings.Services, q.Service), Object: q.Object}
	var err error
	number := func(name string, text []byte) (v int) {
		if v, err = strconv.Atoi(string(text)); err != nil || v < 0 {
			err = fmt.Errorf("%w: %s %.32q", errField, name, text)
		}
		return v
	}
	if in.Part = number("nth", m.Part); err != nil {
		return in, q, err
	}
	if in.Group = number("batch", m.Group); err != nil {
		return in, q, err
	}
	budget := number("budget", m.Budget)
	switch {
	case err != nil:
		return in, q, err
	case budget == 0:
		return in, q, fmt.Errorf("%w: budget 0", errField)
	case in.Service < 0:
		return in, q, fmt.Errorf("%w: method %.32q", errField, q.Service)
	case !hex(q.ID) || !hex(q.Object) || q.Tag != "" && !hex(q.Tag):
		return in, q, fmt.Errorf("%w: rid %.32q, obj %.32q, got %.32q", errField, q.ID, q.Object, q.Tag)
	}
	in.ViewerTimeout = float64(budget) / 1e3
	return in, q, nil
}

// hex tells whether an id has the form that ids have.
func hex(s string) bool {
	if len(s) != 16 {
		return false
	}
	for _, c := range []byte(s) {
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'f') {
			return false
		}
	}
	return true
}

// GiveUp takes word that a client no longer waits.
func (n *Node) GiveUp(c *front.Call) {
	n.call(func(now float64) {
		g := n.byCall[c]
		if g == nil {
			return
		}
		n.counts.GivenUp.Add(1)
		n.close(g)
		n.module.Left(now, g.id)
	})
}

// close ends a GET at the client's side; it is forgotten when its last forward is back.
func (n *Node) close(g *get) {
	if g.over {
		return
	}
	g.over = true
	delete(n.byCall, g.call)
	n.forget(g)
}

func (n *Node) forget(g *get) {
	if g.over && g.out == 0 {
		delete(n.gets, g.id)
	}
}

// back books the end of a forward, of which the module is told when it is not at work.
func (n *Node) back(f *forward, a control.Answer) {
	if f.back {
		return
	}
	f.back = true
	f.get.out--
	n.expiries.Remove(f.expiry)
	a.GET, a.Forward, a.Elapsed = f.get.id, f.number, n.clock.Now()-f.at
	a.Last = f.get.over || a.Outcome == control.Returned
	n.ended = append(n.ended, a)
	n.forget(f.get)
}

var outcomes = map[lines.Word]control.Outcome{
	lines.Hit: control.Returned, lines.Valid: control.Returned, lines.None: control.Empty, lines.Shed: control.NotTaken,
	lines.Fault: control.HostError, lines.Late: control.Unused,
}

// broken tells what the stage at which a forward broke off proves.
var broken = map[upstream.Stage]control.Outcome{
	upstream.NotConnected: control.Unreached, upstream.NotWritten: control.Unreached,
	upstream.PartlyWritten: control.Unreached, // a request that is not whole can't run
	upstream.WrittenWhole:  control.Dropped, upstream.AnswerBegun: control.Dropped,
}

// done takes the end of a forward from its connection.
func (n *Node) done(f *forward, r upstream.Result) {
	n.call(func(now float64) {
		if f.back {
			return
		}
		if r.Stage != upstream.Answered {
			n.log.Debug().Err(r.Err).Msg("forward broke off")
			n.back(f, control.Answer{Outcome: broken[r.Stage]})
			return
		}
		outcome, g := outcomes[r.Answer.Word], f.get
		if outcome == control.Returned && !g.over {
			n.counts.Returned.Add(1)
			g.call.Serve(r.Answer.Body, r.Answer.Word == lines.Valid)
			n.close(g)
		}
		n.back(f, control.Answer{Outcome: outcome, Note: r.Answer.Note})
	})
}
