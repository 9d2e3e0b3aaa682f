package cluster

import (
	"context"
	"errors"
	"fmt"
	mrand "math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"elderwall/core/cluster/channel"
	"elderwall/core/cluster/lease"
	"elderwall/internal/cluster/raftvoter"
)

const (
	dutyTick    = 10 * time.Millisecond
	turnTime    = 2 * time.Second        // a question over a stream
	mostWaiting = 4000                   // of all duties, in an answer
	turnAsk     = 500 * time.Millisecond // of another member, where a lease may wait for it
)

// BootTime is the clock by which leases are counted, in seconds: it goes on while the machine sleeps, and is never set.
func BootTime() float64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return driven(time.Since(processStart).Seconds())
	}
	return driven(float64(t.Sec) + float64(t.Nsec)/1e9)
}

var processStart = time.Now()

func (f *Fleet) dutyNow() float64 { return BootTime() }

// turnMessage is a dispatcher's question with where its answer goes.
type turnMessage struct {
	Turn lease.RenewalRequest `cbor:"1,keyasint"`
	From string               `cbor:"2,keyasint"`
}

// answerMessage is its answer.
type answerMessage struct {
	ID     uint64        `cbor:"1,keyasint"`
	OK     bool          `cbor:"2,keyasint"`
	Leader string        `cbor:"3,keyasint"`
	Leases []lease.Lease `cbor:"4,keyasint"`
}

// holding is a dispatcher's part in duties.
type holding struct {
	mu     sync.Mutex
	holder *lease.Holder
	ask    string            // the voter that is asked
	leads  string            // who answered as the leader last
	told   map[string]uint64 // tokens of what is held, as logged
}

// Guard asks whether an act may be done under a duty now, and with which token. It is to be asked right before each act.
func (f *Fleet) Guard(duty string) (token uint64, ok bool) {
	f.holding.mu.Lock()
	defer f.holding.mu.Unlock()
	return f.holding.holder.HeldToken(duty, f.dutyNow())
}

// hold is the loop of a dispatcher that stands for duties.
func (f *Fleet) hold(ctx context.Context) error {
	each := time.NewTicker(dutyTick)
	defer each.Stop()
	for {
		select {
		case <-each.C:
			f.holdTick()
		case <-ctx.Done():
			return nil
		}
	}
}

func (f *Fleet) holdTick() {
	h := &f.holding
	h.mu.Lock()
	turn, ask, fresh := h.holder.Tick(f.dutyNow())
	f.tellHeld()
	if !fresh {
		h.ask = ""
	}
	to := h.ask
	h.mu.Unlock()
	if !ask {
		return
	}
	if to == "" {
		if all := f.aliveVoters(); len(all) > 0 {
			to = all[mrand.IntN(len(all))]
		}
	}
	if to == "" {
		return
	}
	raw, err := encoding.Marshal(turnMessage{turn, f.Address})
	if err != nil {
		return
	}
	f.sendSealed(to, sealedTurn, raw, false, nil)
}

// takeTurn takes a dispatcher's question, where this one votes.
func (f *Fleet) takeTurn(text []byte) {
	var in turnMessage
	if err := decoding.Unmarshal(text, &in); err != nil || f.voter == nil || len(in.Turn.Duties) > lease.MaxDuties {
		f.Counts.Unusable.Add(1)
		return
	}
	f.turn(in.Turn, func(a answerMessage) {
		raw, err := encoding.Marshal(a)
		if err == nil {
			f.sendSealed(in.From, sealedAnswer, raw, false, nil)
		}
	})
}

// turn hands a question to the voter here, which answers once.
func (f *Fleet) turn(t lease.RenewalRequest, answer func(answerMessage)) {
	done := func(a raftvoter.Answered) {
		out := answerMessage{ID: a.ID, OK: a.OK, Leases: a.Leases}
		if a.Leader != 0 {
			out.Leader = f.voters()[a.Leader]
		}
		answer(out)
	}
	if !f.voter.do(func() {
		if f.voter.machine == nil || !f.voter.admitted {
			done(raftvoter.Answered{ID: t.ID})
			return
		}
		f.voter.machine.Turn(raftvoter.Turn{RenewalRequest: t, To: done}, f.dutyNow())
	}) {
		done(raftvoter.Answered{ID: t.ID})
	}
}

// takeAnswer takes the answer to a question of ours.
func (f *Fleet) takeAnswer(text []byte) {
	var in answerMessage
	if err := decoding.Unmarshal(text, &in); err != nil {
		f.Counts.Unusable.Add(1)
		return
	}
	h := &f.holding
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ask = in.Leader
	if !in.OK {
		h.holder.HandleRefusal(f.dutyNow(), in.ID)
		return
	}
	h.holder.HandleAnswer(f.dutyNow(), in.ID, in.Leases)
	f.tellHeld()
	for _, name := range h.holder.TransfersRequested() { // nothing here acts for longer than a moment: what others want is given back at once
		h.holder.Release(name, f.dutyNow())
	}
	f.tellHeld()
}

// tellHeld logs what is held now and was not before, or the other way.
func (f *Fleet) tellHeld() {
	h := &f.holding
	now := map[string]uint64{}
	for _, l := range h.holder.Held(f.dutyNow()) {
		now[l.Duty] = l.Token
	}
	for name, token := range h.told {
		if now[name] != token {
			f.Log.Info().Str("duty", name).Uint64("token", token).Msg("duties: holds no more")
		}
	}
	for name, token := range now {
		if h.told[name] != token {
			f.Log.Info().Str("duty", name).Uint64("token", token).Msg("duties: holds")
		}
	}
	h.told = now
}

// release gives all duties back, and waits a moment for that to be known.
func (f *Fleet) release() {
	h := &f.holding
	h.mu.Lock()
	h.holder.Leave(f.dutyNow())
	h.mu.Unlock()
	for end := time.Now().Add(turnTime / 4); time.Now().Before(end); time.Sleep(dutyTick) {
		f.holdTick()
		h.mu.Lock()
		settled := h.holder.AllReleased()
		h.mu.Unlock()
		if settled {
			return
		}
	}
}

// leaderAddress is where the leader is, as far as is known here.
func (f *Fleet) leaderAddress() string {
	if f.voter != nil {
		if k := f.voter.known.Load(); k.Leader != 0 {
			return f.voters()[k.Leader]
		}
	}
	f.holding.mu.Lock()
	defer f.holding.mu.Unlock()
	return f.holding.ask
}

// askLeader has the leader answer a question, wherever it is.
func (f *Fleet) askLeader(ctx context.Context, q ask) (t Told, err error) {
	q.Hops++
	tried := map[string]bool{f.Address: true}
	f.holding.mu.Lock()
	last := f.holding.leads
	f.holding.mu.Unlock()
	within := turnTime
	if q.What == AskTurn {
		within = turnAsk
	}
	for _, a := range append([]string{last, f.leaderAddress()}, f.aliveVoters()...) {
		if a == "" || tried[a] || q.Hops > 2 {
			continue
		}
		tried[a] = true
		c, cancel := context.WithTimeout(ctx, within)
		t, err = f.askOther(c, a, q)
		cancel()
		if err == nil {
			f.holding.mu.Lock()
			f.holding.leads = t.Leads
			f.holding.mu.Unlock()
			return t, nil
		}
	}
	return t, errors.Join(errors.New("no voter that leads could be asked"), err)
}

// addressOf is where a member is, "" for one that is not known.
func (f *Fleet) addressOf(name string) string {
	if name == f.Name {
		return f.Address
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machine.Members() {
		if m.Name == name {
			return m.Address
		}
	}
	return ""
}

// askOther asks another member, at the address at which it is reached from here.
func (f *Fleet) askOther(ctx context.Context, address string, q ask) (Told, error) {
	f.mu.Lock()
	if at, ok := f.reach[address]; ok {
		address = at
	}
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, turnTime)
	defer cancel()
	return askAt(ctx, address, f.Keys, q)
}

// toTell has some of those who wait for each duty, and how many more there are: a thousand duties of sixty dispatchers fit an answer.
func toTell(all []lease.Duty) (some []ToldDuty) {
	for _, d := range all {
		t := ToldDuty{Duty: d}
		if most := max(1, mostWaiting/len(all)); len(d.Waiting) > most {
			t.Waiting, t.More = d.Waiting[:most], len(d.Waiting)-most
		}
		some = append(some, t)
	}
	return some
}

// answerDuties answers the questions about duties.
func (f *Fleet) answerDuties(ctx context.Context, q ask) (t Told) {
	fail := func(err error) Told { return Told{Error: err.Error()} }
	if f.voter == nil {
		if q.What == askEra || q.What == askWhere || q.What == askDeclared {
			return fail(errors.New("this dispatcher does not vote"))
		}
		t, err := f.askLeader(ctx, q)
		if err != nil {
			return fail(err)
		}
		return t
	}
	k := f.voter.known.Load()
	switch q.What {
	case askEra:
		for _, s := range k.State.Voters {
			if s.ID == q.Number {
				t.Number = uint64(s.DiskEpoch)
			}
		}
		return t
	case askWhere:
		for _, d := range k.State.Duties {
			if d.Name == q.Duty && d.Held() {
				t.Leads = f.addressOf(d.Holder.Name)
			}
		}
		return t
	case askDeclared:
		return f.tellDeclared("", q.Number)
	case AskFound, AskRecover:
		if err := f.voter.within(map[string]func() error{AskFound: f.voter.found, AskRecover: f.voter.recover}[q.What]); err != nil {
			return fail(err)
		}
		return t
	}
	if leads := k.Leader != 0 && k.Leader == k.Vote.ID; !leads {
		t, err := f.askLeader(ctx, q)
		if err != nil {
			return fail(err)
		}
		return t
	}
	t.Leads = f.Address
	switch q.What {
	case AskDuties:
		t.Duties, t.Rest, t.Council = toTell(k.State.Duties), k.Rest, &k.Status
		t.Seats = k.State.Voters
	case AskTurn:
		if q.Turn == nil {
			return fail(errMessage)
		}
		answered := make(chan answerMessage, 1)
		f.turn(*q.Turn, func(a answerMessage) {
			select {
			case answered <- a:
			default:
			}
		})
		select {
		case a := <-answered:
			if !a.OK {
				return fail(errNoLeader)
			}
			t.Number, t.Leases = a.ID, a.Leases
		case <-time.After(turnTime):
			return fail(errors.New("no majority of the voters has answered"))
		}
	case AskCommand:
		changed, err := f.voter.propose(ctx, q.Commands, q.Ledger, q.Channels)
		var why refused
		if errors.As(err, &why) {
			t.Refused = why.Error()
			return t
		}
		if err != nil {
			return fail(err)
		}
		t.Changed = changed
		if q.Channels != nil && q.Whole { // as of that command or later
			t.Channels = f.tellDeclared(q.Channels.Channel, q.Number).Channels
		}
		if q.Ledger != nil && len(q.Commands) == 0 && q.Whole { // as of that command or later
			if err := f.voter.within(func() error {
				saved := f.voter.machine.Ledger().Save()
				t.Ledger = &saved
				return nil
			}); err != nil {
				return fail(err)
			}
		}
	case AskChannels:
		if t = f.tellDeclared(q.Duty, q.Number); t.Error == "" {
			t.Leads = f.Address
		}
	case AskSeat:
		if err := f.voter.within(func() error { return f.voter.machine.Change(q.Seat, f.dutyNow()) }); err != nil {
			return fail(err)
		}
	default:
		return fail(fmt.Errorf("no such question: %.32q", q.What))
	}
	return t
}

// tellDeclared tells what is declared, which writers were let go after a number, and the line of a channel, as this voter has it.
func (f *Fleet) tellDeclared(name string, after uint64) (t Told) {
	if err := f.voter.within(func() error {
		t.Channels = &channel.LedgerSnapshot{Declared: f.voter.machine.Channels().Declarations()}
		t.Channels.ForgottenWriters, t.Channels.ForgottenCount = f.voter.machine.Channels().ForgottenWriters(after)
		if l := f.voter.machine.Channels().Sequence(name); l != nil {
			t.Channels.Sequences = []channel.Sequence{*l}
		}
		return nil
	}); err != nil {
		return Told{Error: err.Error()}
	}
	return t
}
