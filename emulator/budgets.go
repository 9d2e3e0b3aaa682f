package emulator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"elderwall/core/cluster/quota"
	"elderwall/core/timerwheel"
)

// Ways in which a whole may be divided, side by side.
const (
	Divided  = "divided"      // the program's
	Equal    = "equal parts"  // by the number of dispatchers, for good
	Separate = "each its own" // every dispatcher by itself, with a limit that is the whole by half of the dispatchers: as today
	Ideal    = "ideal"        // knows all at once
)

// BudgetTrouble happens to a fleet that shares a budget; times are in seconds.
type BudgetTrouble struct {
	Kind    string // Cut, Stall, Die, Divider, Whole, Surge
	At, For float64
	Share   float64 // of the dispatchers; of Whole: times what it was
}

// More kinds of trouble.
const (
	NoDivider = "divider" // the divider is gone for so long, and another takes its place
	Whole     = "whole"   // the whole changes
	Surge     = "surge"   // so many dispatchers have ten times the GETs
	Moving    = "moving"  // all GETs come to that share of the dispatchers
)

// BudgetScenario is dispatchers that fill from one host under one budget. Times are in seconds.
type BudgetScenario struct {
	Seed        uint64
	Way         string
	Kind        quota.Kind
	Dispatchers int
	Zones       int
	Whole       float64 // under way; GETs/s
	Burst       float64
	Demand      float64 // times the whole
	Skew        float64 // of the dispatchers' parts in the demand: 0 for even
	Takes       float64 // s of a GET at the host
	Delay       float64 // s of a message in the mean
	Loss        float64
	Span, Warm  float64
	Tail        float64
	Restarts    float64 // share of the dispatchers that is killed and started a minute
	Troubles    []BudgetTrouble
	Watch       func(BudgetSight) // each BudgetWatch seconds
}

// BudgetWatch is how often a sight is taken.
const BudgetWatch = 0.05

// BudgetSight is the fleet at a moment: what each dispatcher may use by its own reckoning, and what is at the host.
type BudgetSight struct {
	At     float64
	Limits []int64
	InUse  int
	Whole  float64 // in force for longer than any share may last
}

// BudgetDefault is a calm fleet.
func BudgetDefault() BudgetScenario {
	return BudgetScenario{
		Seed: 1, Way: Divided, Kind: quota.InFlight, Dispatchers: 300, Zones: 3, Whole: 3000, Demand: 1.5, Skew: 1, Takes: 0.5, Delay: 0.01,
		Span: 120, Warm: 30, Tail: 5,
	}
}

// BudgetResult is what came of it. All of it is simulated.
type BudgetResult struct {
	Given    float64   `json:"Given"`    // of the whole that all together may use by their own reckoning, in the mean
	Used     float64   `json:"Used"`     // of what demand would have used of the whole, in the mean
	Worst    float64   `json:"Worst"`    // of ten seconds
	Fair     float64   `json:"Fair"`     // Jain's index over what dispatchers got of what they asked for
	Most     float64   `json:"Most"`     // at the host at a time, or a second, by the whole
	Follow   float64   `json:"Follow"`   // s from the last trouble until 0.9 of the whole is used, below 0 never
	Bytes    float64   `json:"Bytes"`    // a second, all dispatchers together, questions and answers
	Entries  float64   `json:"Entries"`  // of the log, a second
	Turned   float64   `json:"Turned"`   // share of the GETs that were turned away
	Course   []float64 `json:"Course"`   // used, second by second
	Events   []float64 `json:"Events"`   // when each GET began at the host, of a rate
	Overfull int       `json:"Overfull"` // commands that the ledger refused
}

type budgetDispatcher struct {
	holder *quota.Holder
	boot   uint64
	clock  float64 // runs so fast
	part   float64 // of the demand
	down   float64 // until then
	stall  float64
	cut    float64
	asked  float64
	got    float64
	inUse  int
	own    float64 // bucket of its own, with the ways that divide nothing
	ownAt  float64
}

type budgetWorld struct {
	BudgetScenario
	chance  *rand.Rand
	now     float64
	acts    timerwheel.Wheel[func()]
	all     []*budgetDispatcher
	ledger  *quota.Ledger // the log
	token   uint64
	divider *quota.Allocator
	gone    float64 // no divider until then
	result  *BudgetResult
	inUse   int
	whole   float64
	generation,
	entries, bytes uint64
	wants, uses [][2]float64 // by second: GET-seconds, or GETs
	shrunk      float64
	before      float64 // the whole until what was given of it has surely ended
	given       float64 // sums of limits, by the whole, at all sights
	sights      float64
	idle        float64 // bucket of the ideal
	idleAt      float64
}

const budgetName = "origin"

func (w *budgetWorld) after(s float64, do func()) { w.acts.Add(w.now+s, do) }

func (w *budgetWorld) units(x float64) int64 {
	if w.Kind == quota.Rate {
		return int64(x * float64(quota.RateUnits))
	}
	return int64(x)
}

func (w *budgetWorld) settings() []quota.Budget {
	return []quota.Budget{{Name: budgetName, Kind: w.Kind, Total: w.units(w.whole), Burst: int64(w.Burst)}}
}

// RunBudgets plays one.
func RunBudgets(s BudgetScenario) (*BudgetResult, error) {
	if s.Dispatchers < 1 || s.Dispatchers > quota.MaxParticipants || s.Span <= 0 || s.Kind == quota.Amount {
		return nil, fmt.Errorf("budgets: %d dispatchers over %g s of kind %d", s.Dispatchers, s.Span, s.Kind)
	}
	w := &budgetWorld{
		BudgetScenario: s, chance: rand.New(rand.NewPCG(s.Seed, 41)), ledger: quota.NewLedger(), result: &BudgetResult{Follow: -1}, whole: s.Whole,
		before: s.Whole, generation: 1,
	}
	sum := 0.0
	for i := range s.Dispatchers {
		d := &budgetDispatcher{part: math.Exp(s.Skew * w.chance.NormFloat64()), clock: 1 + quota.Drift*(2*w.chance.Float64()-1)*0.9}
		sum += d.part
		w.all = append(w.all, d)
		w.start(i)
	}
	for i, d := range w.all {
		d.part /= sum
		w.after(w.chance.Float64()*0.05, func() { w.tick(i) })
		w.arrive(i)
	}
	w.elect(0)
	w.after(0.1, w.step)
	end := s.Warm + s.Span
	w.wants, w.uses = make([][2]float64, int(end)+2), make([][2]float64, int(end)+2)
	for _, t := range s.Troubles {
		w.after(s.Warm+t.At, func() { w.trouble(t) })
	}
	if s.Restarts > 0 {
		w.after(s.Warm, w.restart)
	}
	w.after(0, w.watch)
	for e, ok := w.acts.PopAt(end); ok; e, ok = w.acts.PopAt(end) {
		w.now = e.At
		e.Item()
	}
	w.sum(end)
	return w.result, nil
}

// start starts a dispatcher's process.
func (w *budgetWorld) start(i int) {
	d := w.all[i]
	d.boot++
	d.inUse, d.ownAt = 0, w.now
	d.holder = quota.NewHolder(fmt.Sprint("n", i), d.boot, fmt.Sprint("z", i%max(1, w.Zones)), fmt.Sprint("a", i))
	d.holder.AddBudget(budgetName, w.Kind, w.now*d.clock)
}

func (w *budgetWorld) elect(after float64) {
	w.divider = nil
	w.gone = w.now + after
	w.after(after, func() {
		if w.now < w.gone {
			return
		}
		w.token++
		w.ledger.Apply(&quota.Command{Token: w.token, Seq: 1}) // what an earlier one has on its way comes too late from here on
		w.divider = quota.NewAllocator(quota.Restore(w.ledger.Save()), w.token, w.now, w.Tail, w.generation, w.settings())
	})
}

func (w *budgetWorld) send(bytes int, do func()) {
	w.bytes += uint64(bytes)
	if w.chance.Float64() < w.Loss {
		return
	}
	w.after(w.chance.ExpFloat64()*w.Delay, do)
	if w.Loss > 0 && w.chance.Float64() < 0.05 { // some twice, and late
		w.after(w.chance.ExpFloat64()*3, do)
	}
}

// tick lets a dispatcher ask.
func (w *budgetWorld) tick(i int) {
	d := w.all[i]
	w.after(0.05, func() { w.tick(i) })
	if w.Way != Divided || w.now < d.down || w.now < d.stall {
		return
	}
	if q, ask := d.holder.Tick(w.now * d.clock); ask && w.now >= d.cut {
		w.send(60+12*len(q.Demands), func() {
			if w.divider != nil {
				w.divider.HandleRequest(w.now, q)
			}
		})
	}
}

// step has the divider work; its command is in the log a moment later.
func (w *budgetWorld) step() {
	w.after(0.1, w.step)
	d := w.divider
	if d == nil {
		return
	}
	c, all := d.Step(w.now)
	w.answer(all)
	if c == nil {
		return
	}
	w.entries++
	w.after(0.01+w.chance.ExpFloat64()*w.Delay, func() {
		ok := w.ledger.Apply(c)
		if !ok && c.Token == w.token {
			w.result.Overfull++
		}
		w.after(w.chance.ExpFloat64()*w.Delay, func() { w.answer(d.Applied(w.now, ok)) })
	})
}

func (w *budgetWorld) answer(all []quota.AddressedResponse) {
	for _, a := range all {
		i := 0
		_, _ = fmt.Sscanf(a.Name, "n%d", &i)
		w.send(40+14*len(a.Grants), func() {
			d := w.all[i]
			if w.now >= d.down && w.now >= d.cut && d.boot == a.BootID {
				if w.now < d.stall {
					w.after(d.stall-w.now, func() { w.took(d, a) })
					return
				}
				w.took(d, a)
			}
		})
	}
}

func (w *budgetWorld) took(d *budgetDispatcher, a quota.AddressedResponse) {
	if d.boot == a.BootID && w.now >= d.down {
		d.holder.HandleResponse(w.now*d.clock, a.Response)
	}
}

// arrive has a dispatcher's next GET come.
func (w *budgetWorld) arrive(i int) {
	d := w.all[i]
	rate := w.Demand * w.Whole * d.part
	if w.Kind == quota.InFlight {
		rate /= w.Takes
	}
	w.after(w.chance.ExpFloat64()/max(rate, 1e-3), func() { w.arrive(i); w.get(i) })
}

// get is one GET at a dispatcher, that is up and on time.
func (w *budgetWorld) get(i int) {
	d := w.all[i]
	if w.now < d.down || w.now < d.stall {
		return
	}
	cost := 1.0
	if w.Kind == quota.InFlight {
		cost = w.Takes
	}
	second := min(int(w.now), len(w.wants)-1)
	w.wants[second][0] += cost
	if w.now > w.Warm {
		d.asked++
	}
	if !w.pass(d) {
		return
	}
	if w.now > w.Warm {
		d.got++
	}
	w.uses[second][0] += cost
	if w.Kind == quota.Rate {
		w.result.Events = append(w.result.Events, w.now)
		return
	}
	w.inUse++
	d.inUse++
	boot := d.boot
	w.after(min(w.Tail*0.9, w.Takes*w.chance.ExpFloat64()), func() { w.done(d, boot) })
}

func (w *budgetWorld) done(d *budgetDispatcher, boot uint64) {
	if d.boot != boot || w.now < d.down { // it ended with its process
		return
	}
	w.inUse--
	d.inUse--
	d.holder.Done(w.now*d.clock, budgetName, 1)
}

// pass tells whether a dispatcher lets a GET on.
func (w *budgetWorld) pass(d *budgetDispatcher) bool {
	switch w.Way {
	case Divided:
		n := int64(1)
		return d.holder.Take(w.now*d.clock, budgetName, n)
	case Ideal:
		if w.Kind == quota.InFlight {
			return float64(w.inUse) < w.whole
		}
		w.idle = min(max(1, w.Burst), w.idle+w.whole*(w.now-w.idleAt))
		w.idleAt = w.now
		if w.idle < 1 {
			return false
		}
		w.idle--
		return true
	}
	part := w.whole / float64(w.Dispatchers)
	if w.Way == Separate {
		part *= 2
	}
	if w.Kind == quota.InFlight {
		return float64(d.inUse) < math.Floor(part)
	}
	d.own = min(max(1, w.Burst/float64(w.Dispatchers)), d.own+part*(w.now-d.ownAt))
	d.ownAt = w.now
	if d.own < 1 {
		return false
	}
	d.own--
	return true
}

// kill ends a dispatcher's process, with what it has under way.
func (w *budgetWorld) kill(i int, away float64) {
	d := w.all[i]
	if w.now < d.down {
		return
	}
	w.inUse -= d.inUse
	d.down = w.now + away
	d.inUse = 0
	w.after(away, func() { w.start(i) })
}

func (w *budgetWorld) restart() {
	w.after(60/(w.Restarts*float64(w.Dispatchers)), w.restart)
	w.kill(w.chance.IntN(w.Dispatchers), 1+w.chance.Float64())
}

func (w *budgetWorld) trouble(t BudgetTrouble) {
	n := max(1, int(t.Share*float64(w.Dispatchers)))
	some := w.chance.Perm(w.Dispatchers)[:min(n, w.Dispatchers)]
	switch t.Kind {
	case Cut:
		for _, i := range some {
			w.all[i].cut = w.now + t.For
		}
	case Stall:
		for _, i := range some {
			w.all[i].stall = w.now + t.For
		}
	case Die:
		for _, i := range some {
			w.kill(i, t.For)
		}
	case NoDivider:
		w.elect(t.For)
	case Whole:
		w.before, w.shrunk = max(w.before, w.whole), w.now
		w.whole *= t.Share
		w.generation++
		if w.divider != nil {
			w.divider.SetBudgets(w.generation, w.settings())
		}
	case Surge, Moving:
		sum, times := 0.0, map[int]bool{}
		for _, i := range some {
			times[i] = true
		}
		for i, d := range w.all {
			if times[i] {
				d.part *= 10
			} else if t.Kind == Moving {
				d.part = 1e-6
			}
			sum += d.part
		}
		for _, d := range w.all {
			d.part /= sum
		}
	}
}

// watch takes sights.
func (w *budgetWorld) watch() {
	w.after(BudgetWatch, w.watch)
	if w.before > w.whole && w.now > w.shrunk+(quota.Lease+w.Tail)*(1+quota.Drift)+3*quota.Lease {
		w.before = w.whole
	}
	sight := BudgetSight{At: w.now, InUse: w.inUse, Whole: max(w.whole, w.before)}
	for _, d := range w.all {
		if w.now >= d.down {
			sight.Limits = append(sight.Limits, d.holder.Limit(w.now*d.clock, budgetName))
		}
	}
	if w.Kind == quota.InFlight && w.now > w.Warm {
		w.result.Most = max(w.result.Most, float64(w.inUse)/max(1, sight.Whole))
	}
	if w.now > w.Warm {
		for _, l := range sight.Limits {
			w.given += float64(l) / float64(max(1, w.units(w.whole)))
		}
		w.sights++
	}
	if w.Watch != nil {
		w.Watch(sight)
	}
}

// sum works the result out.
func (w *budgetWorld) sum(end float64) {
	r := w.result
	from, whole := int(w.Warm), w.Whole
	var used, could, ten, tenCould float64
	r.Worst = 1
	last := 0.0
	for _, t := range w.Troubles {
		last = max(last, t.At)
	}
	for s := from; s < int(end); s++ {
		for _, t := range w.Troubles {
			if t.Kind == Whole && float64(s) >= w.Warm+t.At {
				whole = w.Whole * t.Share
			}
		}
		want := min(w.wants[s][0], whole)
		used, could = used+w.uses[s][0], could+want
		ten, tenCould = ten+w.uses[s][0], tenCould+want
		if (s-from)%10 == 9 && tenCould > 0 {
			r.Worst = min(r.Worst, ten/tenCould)
			ten, tenCould = 0, 0
		}
		r.Course = append(r.Course, w.uses[s][0]/max(1, w.Whole))
		if float64(s) >= w.Warm+last && r.Follow < 0 && w.uses[s][0] >= 0.9*want {
			r.Follow = float64(s) - w.Warm - last
		}
	}
	r.Given = w.given / max(1, w.sights)
	r.Used = used / max(1, could)
	var got, squares, n, asked, all float64
	for _, d := range w.all {
		asked, all = asked+d.asked, all+d.got
		if d.asked > 0 {
			x := d.got / d.asked
			got, squares, n = got+x, squares+x*x, n+1
		}
	}
	if squares > 0 {
		r.Fair = got * got / (n * squares)
	}
	r.Turned = 1 - all/max(1, asked)
	r.Bytes, r.Entries = float64(w.bytes)/end, float64(w.entries)/end
	if w.Kind == quota.Rate {
		slices.SortFunc(r.Events, cmp.Compare[float64])
		first := 0
		for i, at := range r.Events { // the fullest second
			for at-r.Events[first] > 1 {
				first++
			}
			if at > w.Warm {
				r.Most = max(r.Most, float64(i-first+1)/max(1, max(w.Whole, w.whole)+w.Burst))
			}
		}
	}
}
