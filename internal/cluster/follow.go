package cluster

import (
	"context"
	"errors"
	mrand "math/rand/v2"
	"slices"
	"sync"
	"time"

	"elderwall/core/cluster/channel"
	"elderwall/core/cluster/membership"
	"elderwall/core/cluster/replication"
)

const (
	channelTick   = 20 * time.Millisecond
	channelTidy   = 100 * time.Millisecond // between ticks of the machine
	declaredEach  = 2 * time.Second        // between looks at what is declared; each waits a part of it more, as chance has it
	leaderFirst   = 6 * time.Second        // after a start what is declared is asked of who leads; then of any voter: it may be a minority
	channelLease  = 2.0                    // s; of the duty to put a channel in order: none is put while it runs out after a kill
	mostPublish   = 256                    // questions of writers that wait at a time
	holderKnown   = time.Second            // for so long a channel's holder is not looked for again
	longestDuty   = 100                    // bytes, channels.Duty and a channel's name
	mostProposing = 64                     // commands on their way into the log at a time
)

// Channels is what a dispatcher is told of the fleet's channels; nil where none are kept.
type Channels struct {
	Declared []channel.Declaration // by the operator's file; a higher generation than the one in force is put into the log
}

// writing is what waits for an entry's acknowledgement.
type writing struct {
	channel, writer string
	number          uint64
}

// following is the channels' machine at work.
type following struct {
	fleet   *Fleet
	wake    chan struct{}
	stale   chan struct{} // declarations have to be looked at
	outs    chan replication.Outcome
	publish chan struct{} // places for writers that wait

	mu       sync.Mutex
	machine  *channel.Machine
	waits    map[writing][]chan channel.Ack
	declared bool // what is declared was read
	decides  bool
	orders   map[string]channel.Declaration
	holders  map[string]holderAt
	tells    []telling

	entries, acknowledged int64 // since the start

	// Of the goroutine alone.
	puts      map[replication.Dot]uint64
	held      map[string]uint64 // epochs by channel, as told to the machine
	marked    map[string]uint64 // generations of total order whose place was asked for, by channel
	proposing map[string]bool
	ended     chan proposed
	pumps     []*pump
	mismatch  map[string]bool // declarations of the file that were told not to stand
}

type holderAt struct {
	address string
	at      time.Time
}

// proposed is how a command ended.
type proposed struct {
	channel string
	epoch   uint64
	began   bool // it only takes the log over
	forgot  bool // names go
	saved   *channel.LedgerSnapshot
	err     error
}

func newFollowing(f *Fleet) *following {
	w := &following{
		fleet: f, wake: make(chan struct{}, 1), stale: make(chan struct{}, 1), outs: make(chan replication.Outcome, mostOutcome),
		publish: make(chan struct{}, mostPublish), machine: channel.New(f.Name, f.boot), waits: map[writing][]chan channel.Ack{},
		orders: map[string]channel.Declaration{}, holders: map[string]holderAt{}, puts: map[replication.Dot]uint64{}, held: map[string]uint64{}, marked: map[string]uint64{},
		proposing: map[string]bool{}, ended: make(chan proposed, 2*mostProposing), mismatch: map[string]bool{},
	}
	for range pumps {
		w.pumps = append(w.pumps, newPump(w))
	}
	f.memory.subscribe(channel.EntryKind, w.learn)
	f.memory.subscribe(channel.WriterKind, w.learn)
	return w
}

// learn takes what came to stand in the memory.
func (w *following) learn(all []replication.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.fleet.dutyNow()
	for _, r := range all {
		w.machine.Learn(now, r)
	}
	poke(w.wake)
}

// relearn takes all that stands: a memory was opened.
func (w *following) relearn() {
	for _, kind := range []uint8{channel.WriterKind, channel.EntryKind} {
		var all []replication.Record
		w.fleet.memory.each(kind, func(r replication.Record) bool {
			all = append(all, r)
			return true
		})
		w.learn(all)
	}
}

// look tells the machine who is there.
func (w *following) look(to replication.Fleet) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.decides = to.HasQuorum; !to.HasQuorum {
		clear(w.holders)
	}
	w.machine.SetFleet(to)
	poke(w.wake)
}

// run is the channels' goroutine.
func (w *following) run(ctx context.Context) error {
	for _, p := range w.pumps {
		w.fleet.group.Go(func() error { return p.run(ctx) })
	}
	w.fleet.group.Go(func() error { return w.declare(ctx) })
	each := time.NewTicker(channelTick)
	defer each.Stop()
	var tidied time.Time
	for {
		select {
		case <-w.wake:
		case <-each.C:
		case o := <-w.outs:
			w.written(o)
		case p := <-w.ended:
			w.agreed(p)
		case <-ctx.Done():
			return nil
		}
		for more := true; more; {
			select {
			case o := <-w.outs:
				w.written(o)
			case p := <-w.ended:
				w.agreed(p)
			default:
				more = false
			}
		}
		w.hold(ctx)
		w.mu.Lock()
		if now := time.Now(); now.Sub(tidied) > channelTidy {
			tidied = now
			w.machine.Tick(w.fleet.dutyNow())
			w.tellDue(now)
		}
		w.machine.Propose(w.fleet.dutyNow())
		out := w.machine.Ready()
		w.ack(out.Acks)
		w.mu.Unlock()
		if out.Relearn {
			w.relearn()
		}
		w.put(out.Puts)
		for _, c := range out.Commands {
			if len(c.Forget) > 0 {
				w.letGo(ctx, c)
				continue
			}
			w.propose(ctx, c, false)
		}
		if len(out.Updated) > 0 {
			for _, p := range w.pumps {
				p.news(out.Updated)
			}
		}
	}
}

// ack tells the writers that wait. Called under the lock.
func (w *following) ack(all []channel.Ack) {
	for _, a := range all {
		key := writing{a.Channel, a.Writer, a.Number}
		for _, to := range w.waits[key] {
			to <- a
		}
		delete(w.waits, key)
	}
}

func (w *following) written(o replication.Outcome) {
	id, ok := w.puts[o.Dot]
	if !ok {
		return
	}
	delete(w.puts, o.Dot)
	w.mu.Lock()
	w.machine.PutCompleted(w.fleet.dutyNow(), id, o, nil)
	w.mu.Unlock()
}

// put writes records; how those with an ID end is told to the machine.
func (w *following) put(all []channel.Put) {
	for _, p := range all {
		dot, err := w.fleet.memory.writeTo(w.outs, p.Record.Kind, p.Record.Key, p.Record.Value, p.Record.Deleted, p.Concern)
		switch {
		case p.ID == 0:
		case err != nil:
			w.mu.Lock()
			w.machine.PutCompleted(w.fleet.dutyNow(), p.ID, replication.Outcome{}, err)
			w.mu.Unlock()
			poke(w.wake)
		default:
			w.puts[dot] = p.ID
		}
	}
}

// hold tells the machine which channels it puts in order. Guards against commands of earlier epochs that are on their way: one of this epoch goes
// into the log first, and what stands is read as of it.
func (w *following) hold(ctx context.Context) {
	w.mu.Lock()
	orders := w.orders
	w.mu.Unlock()
	for name, d := range orders {
		if d.Order != channel.Total {
			continue
		}
		token, ok := w.fleet.Guard(channel.DutyPrefix + name)
		if !ok {
			token = 0
		}
		if token != 0 && token == w.held[name] && d.Generation > w.marked[name] { // the declaration has a place of its own
			w.propose(ctx, channel.Command{Channel: name, Epoch: token}, true)
		}
		if w.marked[name] = d.Generation; token != w.held[name] {
			w.held[name] = token
			w.mu.Lock()
			w.machine.SetSequencerEpoch(w.fleet.dutyNow(), name, token)
			w.mu.Unlock()
			w.fleet.Log.Info().Str("channel", name).Uint64("epoch", token).Bool("holds", token != 0).Msg("channels: order")
			if token != 0 {
				w.propose(ctx, channel.Command{Channel: name, Epoch: token}, true)
			}
		}
	}
}

// propose has a command put into the log. One that can't be now comes again from the machine.
func (w *following) propose(ctx context.Context, c channel.Command, begins bool) {
	if !begins && (w.proposing[c.Channel] || len(w.proposing) >= mostProposing) {
		return
	}
	if token, ok := w.fleet.Guard(channel.DutyPrefix + c.Channel); !ok || token != c.Epoch {
		if begins {
			w.unhold(c.Channel)
		}
		return
	}
	if !begins {
		w.proposing[c.Channel] = true
	}
	w.fleet.group.Go(func() error {
		p := proposed{channel: c.Channel, epoch: c.Epoch, began: begins}
		w.mu.Lock()
		gone := w.machine.ForgottenCount()
		w.mu.Unlock()
		t, err := w.fleet.ask(ctx, ask{What: AskCommand, Channels: &c, Whole: true, Number: gone})
		if len(c.Entries) > 0 {
			stopHere()
		}
		if p.saved, p.err = t.Channels, err; err == nil && t.Refused != "" {
			w.fleet.Log.Warn().Str("channel", c.Channel).Str("why", t.Refused).Msg("channels: the log refused a command")
		}
		select {
		case w.ended <- p:
		case <-ctx.Done():
		}
		return nil
	})
}

// letGo has names go, as agreed. One that can't now comes again from the machine.
func (w *following) letGo(ctx context.Context, c channel.Command) {
	if w.proposing[c.Channel] || len(w.proposing) >= mostProposing {
		return
	}
	w.proposing[c.Channel] = true
	w.fleet.group.Go(func() error {
		if err := w.fleet.agree(ctx, c); err != nil {
			w.fleet.Log.Warn().Err(err).Str("channel", c.Channel).Msg("channels: names do not go")
		}
		poke(w.stale)
		select {
		case w.ended <- proposed{channel: c.Channel, forgot: true}:
		case <-ctx.Done():
		}
		return nil
	})
}

// agreed takes what the log has after a command.
func (w *following) agreed(p proposed) {
	if !p.began {
		delete(w.proposing, p.channel)
	}
	if p.forgot {
		return
	}
	if p.err != nil || p.saved == nil {
		w.fleet.Log.Warn().Err(p.err).Str("channel", p.channel).Msg("channels: not put in order")
		if p.began && w.held[p.channel] == p.epoch {
			w.unhold(p.channel)
		}
		return
	}
	w.take(p.saved)
}

// unhold has a channel begun anew, if its duty is still held: guards against one that is held and was never begun.
func (w *following) unhold(channel string) {
	delete(w.held, channel)
	w.mu.Lock()
	w.machine.SetSequencerEpoch(w.fleet.dutyNow(), channel, 0)
	w.mu.Unlock()
}

// take takes the agreed part in.
func (w *following) take(s *channel.LedgerSnapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.fleet.dutyNow()
	w.machine.SetDeclarations(now, s.Declared)
	w.machine.SetForgottenWriters(now, s.ForgottenWriters, s.ForgottenCount)
	for i := range s.Sequences {
		w.machine.SetSequence(now, &s.Sequences[i])
	}
	orders := map[string]channel.Declaration{}
	for _, d := range s.Declared {
		if w.orders[d.Name].Generation > d.Generation {
			d = w.orders[d.Name]
		}
		orders[d.Name] = d
		if w.orders[d.Name].Generation < d.Generation {
			w.fleet.Log.Info().Str("channel", d.Name).Uint64("generation", d.Generation).Stringer("order", d.Order).Bool("ended", d.Withdrawn).Msg("channels: declared")
		}
		if _, ok := w.orders[d.Name]; !ok && d.Order == channel.Total && w.fleet.voter != nil { // who votes has the log at hand
			w.fleet.holding.mu.Lock()
			w.fleet.holding.holder.Register(channel.DutyPrefix+d.Name, channelLease, now)
			w.fleet.holding.mu.Unlock()
		}
	}
	for name, d := range w.orders {
		if _, ok := orders[name]; !ok {
			orders[name] = d
		}
	}
	w.orders, w.declared = orders, true
	poke(w.wake)
}

// declare looks at what is declared now and then, and has what the file says put into the log.
func (w *following) declare(ctx context.Context) error {
	began := time.Now()
	for ctx.Err() == nil {
		var s channel.LedgerSnapshot
		var err error
		if first := time.Since(began) < leaderFirst; first && !w.known() { // a voter that was away would tell what was withdrawn meanwhile
			c, cancel := context.WithTimeout(ctx, declaredEach/2)
			s, err = w.fleet.agreed(c, "")
			cancel()
		} else {
			s, err = w.fleet.declaredNow(ctx)
		}
		wait := declaredEach + time.Duration(mrand.Int64N(int64(declaredEach/2)))
		if err == nil {
			w.take(&s)
			w.propagate(ctx, s.Declared)
		} else {
			wait = declaredEach / 4
		}
		select {
		case <-w.stale:
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	return nil
}

// known: what is declared was read.
func (w *following) known() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.declared
}

// propagate puts declarations of the file into the log, each against the generation before it.
func (w *following) propagate(ctx context.Context, now []channel.Declaration) {
	for _, d := range slices.Concat(builtIn, w.fleet.Channels.Declared) {
		i := slices.IndexFunc(now, func(o channel.Declaration) bool { return o.Name == d.Name })
		stands := channel.Declaration{}
		if i >= 0 {
			stands = now[i]
		}
		d.WithdrawnGeneration, d.FirstOffset = stands.WithdrawnGeneration, stands.FirstOffset // the log's
		switch {
		case d.Generation == stands.Generation+1 && w.fleet.voter != nil:
			if err := w.fleet.agree(ctx, channel.Command{Declare: &d, NoReuse: true}); err == nil {
				poke(w.stale)
			} else if stands.Withdrawn && !d.Withdrawn && d.Order == channel.Total && !w.mismatch[d.Name] {
				w.mismatch[d.Name] = true
				w.fleet.Log.Warn().Err(err).Str("channel", d.Name).Msg("channels: declaration")
			}
		case (d.Generation > stands.Generation+1 || d.Generation == stands.Generation && d != stands) && !w.mismatch[d.Name]:
			w.mismatch[d.Name] = true
			w.fleet.Log.Warn().Str("channel", d.Name).Uint64("stands", stands.Generation).Uint64("file", d.Generation).
				Str("means", "the file's declaration is not in force: its generation has to be one above the one that stands").Msg("channels: declaration")
		}
	}
}

// declaredNow is what is declared, as a voter has it.
func (f *Fleet) declaredNow(ctx context.Context) (s channel.LedgerSnapshot, err error) {
	f.following.mu.Lock()
	q := ask{What: askDeclared, Number: f.following.machine.ForgottenCount()}
	f.following.mu.Unlock()
	if f.voter != nil {
		t := f.answerDuties(ctx, q)
		if t.Error == "" && t.Channels != nil {
			return *t.Channels, nil
		}
	}
	all := f.aliveVoters()
	mrand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	err = errNoLeader
	for _, a := range all[:min(2, len(all))] {
		if a == f.Address {
			continue
		}
		var t Told
		if t, err = f.askOther(ctx, a, q); err == nil && t.Channels != nil {
			return *t.Channels, nil
		}
	}
	return s, errors.Join(errors.New("no voter tells what is declared"), err)
}

// holderOf is where the holder of a channel's duty is, as far as a voter knows.
func (w *following) holderOf(ctx context.Context, name string) string {
	w.mu.Lock()
	h := w.holders[name]
	w.mu.Unlock()
	if h.address != "" && time.Since(h.at) < holderKnown {
		return h.address
	}
	f := w.fleet
	all := f.aliveVoters()
	mrand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, a := range all[:min(2, len(all))] {
		q := ask{What: askWhere, Duty: channel.DutyPrefix + name}
		var t Told
		var err error
		if a == f.Address {
			t = f.answerDuties(ctx, q)
		} else {
			c, cancel := context.WithTimeout(ctx, turnAsk)
			t, err = f.askOther(c, a, q)
			cancel()
		}
		if err == nil && t.Leads != "" {
			w.mu.Lock()
			w.holders[name] = holderAt{t.Leads, time.Now()}
			w.mu.Unlock()
			return t.Leads
		}
	}
	return ""
}

// lowly tells how many voters that are there come before this one by name: who tells a notice first of all.
func (f *Fleet) rank() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machine.Members() {
		if m.Vote.ClusterID != 0 && m.State == membership.Alive && m.Name < f.Name {
			n++
		}
	}
	return n
}
