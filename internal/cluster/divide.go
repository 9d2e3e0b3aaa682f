package cluster

import (
	"context"
	"errors"
	"fmt"
	"math"
	mrand "math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"elderwall/core/cluster/quota"
)

const (
	divideLease = 3.0 // s; of the duty to divide: a share outlasts two changes of the divider
	divideEach  = 50 * time.Millisecond
	spendEach   = 10 * time.Millisecond
	whereEach   = 300 * time.Millisecond // between looks for the divider
	mostSilence = 2                      // questions with no answer, after which it is looked for
)

// Budgets is what a dispatcher is told of budgets.
type Budgets struct {
	Generation uint64 // the highest in the fleet is in force
	All        []quota.Budget
	Uses       map[string][]string // budgets by what uses them, those under way first
	Tail       float64             // s; what is under way ends by then
}

// spending is a dispatcher's part in budgets. Its lock is held for a moment alone: GETs take it.
type spending struct {
	mu     sync.Mutex
	holder *quota.Holder // nil where nothing is divided
	kinds  map[string]quota.Kind
	uses   map[string][]string
	bounds map[string][]string // budgets by host, "" for the origin
	hosts  []string            // that were bounded since the start
	at     string              // where the divider is
	looked time.Time
	silent int // questions since the last answer
	held   bool
}

// dividing is the part of whoever divides.
type dividing struct {
	mu      sync.Mutex
	divider *quota.Allocator
	token   uint64
	seq     uint64
	full    map[string]bool // budgets whose whole was found to be exceeded: told once
}

// spendMessage is a question on the wire.
type spendMessage struct {
	Question quota.Request `cbor:"1,keyasint"`
}

// giveMessage is its answer.
type giveMessage struct {
	Boot   uint64         `cbor:"1,keyasint"`
	Answer quota.Response `cbor:"2,keyasint"`
}

func (f *Fleet) beginSpending() {
	f.spending.holder = quota.NewHolder(f.Name, f.boot, f.Zone, f.Address)
	f.takeBudgets(f.Budgets)
}

// takeBudgets puts other wholes in force: who divides goes by the highest generation.
func (f *Fleet) takeBudgets(b *Budgets) {
	s := &f.spending
	s.mu.Lock()
	s.kinds, s.uses = map[string]quota.Kind{}, b.Uses
	s.bounds = map[string][]string{}
	for _, host := range b.Hosts() { // one that is bounded no more has to be told so: it stays in the list
		if s.bounds[host] = b.Uses[quota.UseHost+host]; host == "" {
			s.bounds[host] = b.Uses[quota.UseOrigin]
		}
		if !slices.Contains(s.hosts, host) {
			s.hosts = append(slices.Clone(s.hosts), host)
		}
	}
	s.holder.RetainBudgets(func(name string) bool {
		return slices.ContainsFunc(b.All, func(o quota.Budget) bool { return o.Name == name })
	}, f.dutyNow())
	for _, o := range b.All {
		s.kinds[o.Name] = o.Kind
		s.holder.AddBudget(o.Name, o.Kind, f.dutyNow())
	}
	s.mu.Unlock()
	d := &f.dividing
	d.mu.Lock()
	defer d.mu.Unlock()
	f.Budgets = b
	if d.divider != nil {
		d.divider.SetBudgets(b.Generation, b.All)
	}
}

// Spend takes one of each budget that a use has, if all have one; a use with none passes. What it gives goes to Spent.
func (f *Fleet) Spend(use string) (of []string, ok bool) {
	s := &f.spending
	s.mu.Lock()
	defer s.mu.Unlock()
	all, now := s.uses[use], f.dutyNow()
	for i, name := range all {
		if !s.holder.Take(now, name, 1) {
			for _, taken := range all[:i] { // those under way come first, and a rate's last
				s.holder.Done(now, taken, 1)
			}
			return nil, false
		}
	}
	return all, true
}

// Spent ends what was under way.
func (f *Fleet) Spent(of []string) {
	s := &f.spending
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range of {
		s.holder.Done(f.dutyNow(), name, 1)
	}
}

// spendUnits takes so many units of one budget, for a command of the operator's.
func (f *Fleet) spendUnits(name string, n int64) error {
	s := &f.spending
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.holder == nil || s.kinds[name] == 0:
		return fmt.Errorf("no budget %q", name)
	case s.kinds[name] == quota.InFlight:
		return fmt.Errorf("budget %q counts what is under way: nothing says when that ends", name)
	case !s.holder.Take(f.dutyNow(), name, n):
		return errSpent
	}
	return nil
}

var errSpent = errors.New("the budget is used up here")

// Bounded is one module's part in the budgets at hosts.
type Bounded struct {
	fleet *Fleet
	by    map[string]*reserved
}

type reserved struct {
	names         []string // of the budgets
	refused, held int      // as last told
	reserved      int      // that it may have under way while it acts, held while it does not
}

// Hosts is the names of the hosts whose totals are divided (dispatcher.QuotaSource).
func (b *Bounded) Hosts() []string {
	b.fleet.spending.mu.Lock()
	defer b.fleet.spending.mu.Unlock()
	return b.fleet.spending.hosts
}

// Bound is the quota of a host (dispatcher.QuotaSource, Exchange). What a module may use while it acts is reserved for it: of several in one process none takes what another does.
func (b *Bounded) Bound(host string, held, refused int, acts bool) (most int) {
	s := &b.fleet.spending
	s.mu.Lock()
	defer s.mu.Unlock()
	r := b.by[host]
	if r == nil {
		r = &reserved{}
		b.by[host] = r
	}
	most, now := math.MaxInt, b.fleet.dutyNow()
	names := s.bounds[host]
	if !slices.Equal(names, r.names) { // others bound it now: what is under way moves to them
		for _, name := range r.names {
			s.holder.Reserve(now, name, int64(r.reserved), 0, 0, 0)
		}
		r.names, r.reserved = names, 0
	}
	for _, name := range names {
		s.holder.RecordRejected(name, int64(refused-r.refused))
		s.holder.Reserve(now, name, int64(r.reserved), int64(held), int64(held), int64(max(0, held-r.held)))
		if acts {
			most = min(most, held+int(max(0, s.holder.Limit(now, name)-s.holder.InUse(name))))
		}
	}
	r.refused, r.held, r.reserved = refused, held, held
	if acts && most < math.MaxInt {
		for _, name := range names {
			s.holder.Reserve(now, name, int64(held), int64(most), int64(held), 0)
		}
		r.reserved = most
	}
	return most
}

// Bounds is a part in the budgets at hosts, for one module.
func (f *Fleet) Bounds() *Bounded { return &Bounded{fleet: f, by: map[string]*reserved{}} }

// Hosts is the hosts that are bounded, in order; "" is the origin, itself or behind others.
func (b *Budgets) Hosts() (all []string) {
	for use := range b.Uses {
		if name, ok := strings.CutPrefix(use, quota.UseHost); ok || use == quota.UseOrigin {
			if !ok {
				name = ""
			}
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

// spend asks the divider for shares, until the context ends.
func (f *Fleet) spend(ctx context.Context) error {
	each := time.NewTicker(spendEach)
	defer each.Stop()
	for {
		select {
		case <-each.C:
			f.spendTick(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (f *Fleet) spendTick(ctx context.Context) {
	s := &f.spending
	s.mu.Lock()
	q, ask := s.holder.Tick(f.dutyNow())
	to := s.at
	if ask {
		s.silent++
	}
	look := (to == "" || s.silent > mostSilence) && time.Since(s.looked) > whereEach
	if look {
		s.looked = time.Now()
	}
	s.mu.Unlock()
	if look {
		f.group.Go(func() error { f.findDivider(ctx); return nil })
	}
	if !ask || to == "" {
		return
	}
	if raw, err := encoding.Marshal(spendMessage{q}); err == nil {
		f.sendSealed(to, sealedSpend, raw, false, nil)
	}
}

// findDivider asks a voter after another where the divider is.
func (f *Fleet) findDivider(ctx context.Context) {
	all := f.aliveVoters()
	mrand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, a := range all[:min(2, len(all))] {
		var t Told
		var err error
		q := ask{What: askWhere, Duty: quota.Duty}
		if a == f.Address {
			t = f.answerDuties(ctx, q)
		} else {
			c, cancel := context.WithTimeout(ctx, turnAsk)
			t, err = f.askOther(c, a, q)
			cancel()
		}
		if err == nil && t.Leads != "" {
			f.spending.mu.Lock()
			f.spending.at = t.Leads
			f.spending.mu.Unlock()
			return
		}
	}
}

// takeQuestion takes a dispatcher's question, where this one divides.
func (f *Fleet) takeQuestion(text []byte) {
	var in spendMessage
	if err := decoding.Unmarshal(text, &in); err != nil || len(in.Question.Demands) > quota.MaxBudgets || len(in.Question.Name) > quota.MaxNameLength {
		f.Counts.Unusable.Add(1)
		return
	}
	d := &f.dividing
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.divider != nil {
		d.divider.HandleRequest(f.dutyNow(), in.Question)
	}
}

// takeGive takes the answer to a question of ours.
func (f *Fleet) takeGive(text []byte) {
	var in giveMessage
	if err := decoding.Unmarshal(text, &in); err != nil {
		f.Counts.Unusable.Add(1)
		return
	}
	s := &f.spending
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder == nil || in.Boot != f.boot || !s.holder.HandleResponse(f.dutyNow(), in.Answer) {
		return
	}
	s.silent = 0
	if got := len(in.Answer.Grants) > 0; got != s.held {
		s.held = got
		f.Log.Info().Bool("enrolled", got).Uint64("token", in.Answer.Token).Msg("budgets: shares")
	}
}

// giveUp gives all shares back, and waits a moment for that to be known.
func (f *Fleet) giveUp() {
	s := &f.spending
	s.mu.Lock()
	s.holder.Leave(f.dutyNow())
	s.mu.Unlock()
	for end := time.Now().Add(turnTime / 4); time.Now().Before(end); time.Sleep(spendEach) {
		f.spendTick(f.ctx)
		s.mu.Lock()
		settled := s.holder.LeaveAcknowledged()
		s.mu.Unlock()
		if settled {
			return
		}
	}
}

// divide divides while this dispatcher has the duty.
func (f *Fleet) divide(ctx context.Context) error {
	each := time.NewTicker(divideEach)
	defer each.Stop()
	d := &f.dividing
	for {
		select {
		case <-each.C:
		case <-ctx.Done():
			return nil
		}
		token, ok := f.Guard(quota.Duty)
		if !ok || token != d.token {
			d.mu.Lock()
			d.divider = nil
			d.mu.Unlock()
			if d.token = token; !ok {
				d.token = 0
				continue
			}
			d.seq = 0
		}
		if d.divider == nil {
			if err := f.beginDividing(ctx, token); err != nil {
				f.Log.Warn().Err(err).Msg("budgets: can't begin to divide")
				time.Sleep(whereEach)
			}
			continue
		}
		f.divideOnce(ctx, token)
	}
}

// beginDividing puts a command of this token into the log, and goes by the ledger as of it. Guards against what an earlier divider, or
// this one before it lost an answer, has on its way: it comes too late from then on.
func (f *Fleet) beginDividing(ctx context.Context, token uint64) error {
	d := &f.dividing
	d.seq += 1 << 16
	t, err := f.ask(ctx, ask{What: AskCommand, Ledger: &quota.Command{Token: token, Seq: d.seq}, Whole: true})
	if err != nil {
		return err
	}
	if !t.Changed || t.Ledger == nil {
		return errors.New("the log has a later divider's")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.divider = quota.NewAllocator(quota.Restore(*t.Ledger), token, f.dutyNow(), f.Budgets.Tail, f.Budgets.Generation, f.Budgets.All)
	f.Log.Info().Uint64("token", token).Int("seats", len(t.Ledger.Participants)).Uint64("generation", t.Ledger.Generation).Msg("budgets: divides")
	return nil
}

func (f *Fleet) divideOnce(ctx context.Context, token uint64) {
	d := &f.dividing
	d.mu.Lock()
	c, answers := d.divider.Step(f.dutyNow())
	d.mu.Unlock()
	f.give(answers, token)
	if c == nil {
		return
	}
	d.seq = c.Seq
	t, err := f.ask(ctx, ask{What: AskCommand, Ledger: c})
	d.mu.Lock()
	if err != nil || !t.Changed { // it may be in the log or not: the ledger has to be read anew
		d.divider = nil
		d.mu.Unlock()
		f.Log.Warn().AnErr("why", err).Msg("budgets: a change was not taken; the ledger is read again")
		return
	}
	answers = d.divider.Applied(f.dutyNow(), true)
	f.tellFull()
	d.mu.Unlock()
	f.give(answers, token)
}

// give sends answers, as long as this one has the duty right now.
func (f *Fleet) give(all []quota.AddressedResponse, token uint64) {
	for _, a := range all {
		if now, ok := f.Guard(quota.Duty); !ok || now != token {
			return
		}
		if raw, err := encoding.Marshal(giveMessage{a.BootID, a.Response}); err == nil {
			f.sendSealed(a.Address, sealedGive, raw, false, nil)
		}
	}
}

// tellFull logs when a whole that was made smaller is in force, and when one is not yet.
func (f *Fleet) tellFull() {
	d := &f.dividing
	if d.full == nil {
		d.full = map[string]bool{}
	}
	for name, a := range d.divider.Ledger().Accounts {
		if over := a.Sum() > a.Total; over != d.full[name] {
			d.full[name] = over
			f.Log.Info().Str("budget", name).Int64("whole", a.Total).Int64("out", a.Sum()).Bool("holds", !over).Msg("budgets: a smaller whole")
		}
	}
}

// ToldBudget is how a whole is divided.
type ToldBudget struct {
	quota.Budget
	Generation uint64     `json:"Generation"`
	Out        int64      `json:"Out"`
	Spent      int64      `json:"Spent"`
	Gone       bool       `json:"Gone,omitempty"`
	Parts      []ToldPart `json:"Parts"`
}

// ToldPart is one dispatcher's.
type ToldPart struct {
	Name  string  `json:"Name"`
	Zone  string  `json:"Zone"`
	Out   int64   `json:"Out"`
	Floor int64   `json:"Floor"`
	Keep  int64   `json:"Keep"` // as it last said
	Need  int64   `json:"Need"` // as it last said
	Age   float64 `json:"Age"`  // s since then; below 0 where it was not heard by this divider
}

// tellBudgets answers how the wholes are divided: who divides knows.
func (f *Fleet) tellBudgets(ctx context.Context, q ask) (t Told) {
	d := &f.dividing
	d.mu.Lock()
	if d.divider != nil {
		defer d.mu.Unlock()
		t.Leads = f.Address
		now, l := f.dutyNow(), d.divider.Ledger()
		for _, o := range l.Save().Accounts {
			b := ToldBudget{Budget: o.Budget, Generation: l.Generation, Spent: o.Spent, Gone: o.Removed}
			for p := range slices.Chunk(o.Allocations, 4) {
				id := uint32(p[0])
				heard, asked, ok := d.divider.LastRequest(id, o.Name)
				part := ToldPart{Name: l.Participants[id].Name, Zone: l.Participants[id].Zone, Out: p[1], Floor: p[2], Keep: asked.CurrentLimit, Need: asked.Need, Age: now - heard}
				if !ok {
					part.Age = -1
				}
				b.Out += part.Out
				b.Parts = append(b.Parts, part)
			}
			t.Budgets = append(t.Budgets, b)
		}
		return t
	}
	d.mu.Unlock()
	f.spending.mu.Lock()
	at := f.spending.at
	f.spending.mu.Unlock()
	if q.Hops > 1 || at == "" || at == f.Address {
		return Told{Error: "nobody divides now"}
	}
	q.Hops++
	t, err := f.askOther(ctx, at, q)
	if err != nil {
		return Told{Error: err.Error()}
	}
	return t
}
