package cluster

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"elderwall/core/cluster/quota"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/processes"
)

const (
	fillTime = 100 * time.Millisecond // of a stand-in's fill from the origin
	tail     = "5s"
)

// origin counts fills that are under way, as the cache hosts that do them see it.
type origin struct {
	mu               sync.Mutex
	now, most, fills int
	whole            int // that all may have; from a time on
	over             int // fills that found more
	worst            int
}

func (o *origin) answer(a standin.Ask) string {
	if a.Stop {
		return ""
	}
	if a.Fields["up"] == "" {
		return standin.Answer(a.ID, "NONE", "-", "")
	}
	return o.fill(a)
}

func (o *origin) fill(a standin.Ask) string {
	if a.Stop {
		return ""
	}
	o.mu.Lock()
	o.now++
	o.fills++
	o.most = max(o.most, o.now)
	if o.now > o.whole {
		o.over++
		o.worst = max(o.worst, o.now)
	}
	o.mu.Unlock()
	time.Sleep(fillTime)
	o.mu.Lock()
	o.now--
	o.mu.Unlock()
	return standin.Answer(a.ID, "HIT", "rev=4be0c1927d55a6f3,since=1764576000123,detail=origin", "bytes")
}

// budgetRig is dispatchers of which three vote, with budgets.
type budgetRig struct {
	*dutyRig
	origin    origin
	wholes    string // as the operator's file has them
	number    int    // of the generation
	loads     []atomic.Int64
	got, shed atomic.Int64
}

func budget(t *testing.T, n, whole int, wholes string, answer ...func(*budgetRig) func(standin.Ask) string) *budgetRig {
	b := &budgetRig{origin: origin{whole: whole}, wholes: wholes, number: 1, loads: make([]atomic.Int64, n)}
	b.dutyRig = duty(t, n, 3, func(m *memberRig) {
		m.Answer = b.origin.answer
		for _, a := range answer {
			m.Answer = a(b)
		}
		m.ListenOrigin(b.origin.fill)
		m.last = func() string {
			return fmt.Sprintf(`, budgets: {generation: %d, tail: %q, wholes: %s}`, b.number, tail, b.wholes)
		}
	})
	b.enrolled(b.all()...)
	return b
}

// enrolled waits until dispatchers have shares.
func (b *budgetRig) enrolled(who ...int) {
	b.Helper()
	b.Until(soon, "all have shares", func() error {
		for _, i := range who {
			all := b.Processes[i].Said("budgets: shares")
			if len(all) == 0 || all[len(all)-1].Fields["enrolled"] != true {
				return fmt.Errorf("n%d has none", i)
			}
		}
		return nil
	})
}

// change puts other wholes in force at all, by a signal.
func (b *budgetRig) change(wholes string) {
	b.wholes = wholes
	b.number++
	for _, p := range b.Processes {
		p.Write()
		p.Signal(syscall.SIGHUP)
	}
}

// load has so many clients at each dispatcher ask for objects that no cache has, until its end.
func (b *budgetRig) load(each int) (end func()) {
	stop, all := make(chan struct{}), new(sync.WaitGroup)
	for i, p := range b.Processes {
		b.loads[i].Store(int64(each))
		for k := range 3 * each {
			all.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					if int64(k) >= b.loads[i].Load() || !p.Runs() {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					kind, err := p.GET(int(b.ids.Add(1)) + 1<<40)
					switch {
					case err == nil && kind == "served":
						b.got.Add(1)
					default:
						b.shed.Add(1)
						time.Sleep(20 * time.Millisecond)
					}
				}
			})
		}
	}
	return func() { close(stop); all.Wait() }
}

// loaded has other so many at some.
func (b *budgetRig) loaded(each int64, who ...int) {
	for _, i := range who {
		b.loads[i].Store(each)
	}
}

// smaller has a smaller whole in force, and waits until it holds and what was under way has ended: it is the bound from then on.
func (b *budgetRig) smaller(whole int, wholes string) {
	b.Helper()
	b.change(wholes)
	b.Until(soon, "the smaller whole holds", func() error {
		told := b.books(b.divider())
		return processes.When(told.Total != int64(whole) || told.Out > int64(whole) || told.Gone, fmt.Errorf("%+v", told))
	})
	time.Sleep(time.Second)
	b.origin.mu.Lock()
	defer b.origin.mu.Unlock()
	b.origin.whole = whole
}

// within checks that never more was under way than the whole.
func (b *budgetRig) within(what string) {
	b.Helper()
	b.origin.mu.Lock()
	defer b.origin.mu.Unlock()
	assert.Zero(b, b.origin.over, "%s: up to %d", what, b.origin.worst)
}

// used waits until so much of the whole is under way at some time from now on.
func (b *budgetRig) used(least int) {
	b.Helper()
	b.origin.mu.Lock()
	b.origin.most = 0
	b.origin.mu.Unlock()
	b.Until(soon, fmt.Sprint(least, " are under way"), func() error {
		b.origin.mu.Lock()
		defer b.origin.mu.Unlock()
		return processes.When(b.origin.most < least, fmt.Errorf("%d", b.origin.most))
	})
}

// divider is who divides.
func (b *budgetRig) divider() int {
	b.Helper()
	who := -1
	b.Until(soon, "somebody divides", func() error {
		s, err := b.council()
		for _, d := range s.Duties {
			if d.Name == "divide" && d.Token != 0 {
				_, err := fmt.Sscanf(d.Holder.Name, "n%d", &who)
				return err
			}
		}
		return fmt.Errorf("nobody: %w", err)
	})
	return who
}

// books asks who divides for its books, and checks that they balance.
func (b *budgetRig) books(at int) ToldBudget {
	b.Helper()
	var told ToldBudget
	b.Until(soon, "the books are told", func() error {
		t, err := b.asked(at, AskBudgets)
		if err == nil && len(t.Budgets) == 0 {
			err = errors.New("none")
		}
		if err == nil {
			told = t.Budgets[0]
		}
		return err
	})
	sum := int64(0)
	for _, p := range told.Parts {
		sum += p.Out
	}
	assert.Equal(b, sum, told.Out)
	return told
}

// Fills at the origin, through what may happen to the divider and to holders: never more under way than the whole, and all of it used again.
func TestABudgetAtTheOrigin(t *testing.T) {
	b := budget(t, 5, 8, `{fills: {of: "origin", most: 8}}`)
	end := b.load(4)
	b.used(7)
	for name, trouble := range map[string]func(){
		"the divider is killed": func() { d := b.divider(); b.Processes[d].Kill(); time.Sleep(time.Second); b.Processes[d].Start() },
		"the divider is stopped and wakes": func() {
			b.Play(processes.Schedule{{What: processes.Stop, A: []int{b.divider()}, For: 14}})
		},
		"the divider is cut off": func() {
			b.Play(processes.Schedule{{What: processes.Cut, A: []int{b.divider()}, For: 5}})
		},
		"all clients move to one": func() {
			b.loaded(0, b.all()...)
			b.loaded(12, 4)
			b.used(6)
			b.loaded(4, b.all()...)
		},
		"a cut in parts": func() {
			b.Play(processes.Schedule{{What: processes.Cut, A: []int{0, 3}, B: []int{1, 2, 4}, For: 12}})
		},
		"messages are lost, doubled and late": func() {
			var bad processes.Schedule
			for _, what := range []string{processes.Lose, processes.Double, processes.Reorder} {
				bad = append(bad, processes.Fault{What: what, A: b.all(), B: b.all(), Amount: 0.4, For: 8})
			}
			b.Play(bad)
		},
	} {
		trouble()
		b.used(7)
		b.within(name)
	}
	b.smaller(2, `{fills: {of: "origin", most: 2}}`)
	b.used(2)
	b.smaller(0, `{fills: {of: "origin", most: 0}}`)
	b.origin.mu.Lock()
	fills := b.origin.fills
	b.origin.mu.Unlock()
	time.Sleep(time.Second)
	end()
	assert.Equal(t, fills, b.origin.fills, "a whole of 0")
	b.within("a whole of 0")
	assert.Positive(t, b.shed.Load(), "what is over is turned away")
}

// Three that stay and six that come and go all the time, ended by TERM and by KILL, with floors that are more than the whole: never over it, and
// all of it used once they stay.
func TestBudgetsWhileDispatchersComeAndGo(t *testing.T) {
	b := budget(t, 9, 6, `{fills: {of: "origin", most: 6, floor: 2}}`)
	end := b.load(2)
	b.used(5)
	chance := rand.New(rand.NewPCG(1, 9))
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		p := b.Processes[3+chance.IntN(6)]
		switch {
		case !p.Runs():
			p.Start()
		case chance.IntN(2) == 0:
			p.Kill()
		default:
			go p.End()
		}
	}
	for _, p := range b.Processes {
		b.Until(soon, "it runs", func() error { p.Start(); return processes.When(!p.Runs(), errors.New("not yet")) })
	}
	b.used(5)
	b.smaller(1, `{fills: {of: "origin", most: 1, floor: 2}}`)
	b.used(1)
	end()
	b.within("at the end")
}

// One is stopped for longer than its share with fills under way, and wakes: it acts by no share that it had.
func TestAHolderWakesAfterItsShare(t *testing.T) {
	b := budget(t, 4, 6, `{fills: {of: "origin", most: 6}}`)
	end := b.load(4)
	b.used(5)
	b.loaded(0, 0, 1, 2)
	b.loaded(12, 3)
	b.used(5) // it has nearly all
	b.Processes[3].Signal(syscall.SIGSTOP)
	b.loaded(8, 0, 1, 2)
	b.Until(soon, "the others have it", func() error {
		b.origin.mu.Lock()
		defer b.origin.mu.Unlock()
		return processes.When(b.origin.now < 5, fmt.Errorf("%d", b.origin.now))
	})
	time.Sleep(time.Second)
	b.Processes[3].Signal(syscall.SIGCONT)
	time.Sleep(3 * time.Second)
	end()
	b.within("at the end")
}

// BenchmarkSpend is what a GET pays where budgets are on: one tenant's, and the bound at the origin around each act of the module.
func BenchmarkSpend(b *testing.B) {
	f := &Fleet{Settings: Settings{Name: "x", Budgets: &Budgets{
		All:  []quota.Budget{{Name: "t", Kind: quota.InFlight, Total: 9}, {Name: "o", Kind: quota.InFlight, Total: 9}},
		Uses: map[string][]string{"tenant:a": {"t"}, quota.UseOrigin: {"o"}},
	}}}
	f.beginSpending()
	s := &f.spending
	q, _ := s.holder.Tick(f.dutyNow())
	s.holder.HandleResponse(f.dutyNow(), quota.Response{ID: q.ID, Token: 1, Grants: []quota.Grant{{Budget: "t", Kind: quota.InFlight, Size: 9}, {Budget: "o", Kind: quota.InFlight, Size: 9}}})
	b.Run("tenant", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			of, ok := f.Spend("tenant:a")
			if !ok {
				b.Fatal("spent")
			}
			f.Spent(of)
		}
	})
	b.Run("origin", func(b *testing.B) {
		b.ReportAllocs()
		for o := f.Bounds(); b.Loop(); {
			o.Bound("", 1, 0, true)
			o.Bound("", 1, 0, false)
		}
	})
}

// A budget at one host: all that is under way there, hits too.
func TestABudgetAtAHost(t *testing.T) {
	b := budget(t, 4, 5, `{one: {of: "host:s-1", most: 5}}`, func(b *budgetRig) func(standin.Ask) string {
		return b.origin.fill // whatever is asked
	})
	end := b.load(4)
	b.used(5)
	b.Processes[b.divider()].Kill()
	time.Sleep(14 * time.Second)
	b.used(4)
	b.smaller(1, `{other: {of: "host:s-1", most: 1}}`) // another budget at the same host: the old one ends first
	b.used(1)
	end()
	b.within("at the end")
}

// Units by the hour that are spent at all dispatchers at once, while the divider and others end: none is spent twice.
func TestAnAmountIsSpentOnce(t *testing.T) {
	const whole, units = 3000, 7
	b := budget(t, 5, 0, fmt.Sprintf(`{bytes: {amount: %d, window: "1h"}}`, whole))
	keys := need.Of(ParseKeys(b.keys[-1]))(t)
	var spent, refused atomic.Int64
	stop := make(chan struct{})
	var all sync.WaitGroup
	for _, p := range b.Processes {
		all.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				err := AskUnits(ctx, p.Fleet, keys, "bytes", units)
				cancel()
				switch {
				case err == nil:
					spent.Add(units)
				case p.Runs():
					refused.Add(1)
				}
			}
		})
	}
	until := func(n int64) {
		b.Until(soon, fmt.Sprint(n, " are spent"), func() error { got := spent.Load(); return processes.When(got < n, fmt.Errorf("%d", got)) })
	}
	until(whole / 4)
	d := b.divider()
	b.Processes[d].Kill() // what it had itself is lost for this hour
	until(whole / 2)
	b.Processes[d].Start()
	b.Until(2*soon, "all is given out", func() error {
		told := b.books((d + 1) % 5)
		return processes.When(told.Total-told.Spent-told.Out > units*5 || told.Out > units*10, fmt.Errorf("%d spent, %d out", told.Spent, told.Out))
	})
	close(stop)
	all.Wait()
	assert.LessOrEqual(t, spent.Load(), int64(whole))
	assert.Greater(t, spent.Load(), int64(whole*7/10), "the price of one that was killed is its share")
	assert.Positive(t, refused.Load())
}

// Schedules of faults that are drawn from seeds: never more under way than the whole, and all of it used once all is well.
func TestBudgetsThroughDrawnFaults(t *testing.T) {
	play := func(t *testing.T, s processes.Schedule) {
		b := budget(t, 5, 6, `{fills: {of: "origin", most: 6}}`)
		end := b.load(3)
		b.used(5)
		b.Play(s)
		b.used(5)
		end()
		b.within("at the end")
		b.books(0)
	}
	drawn(t, 200, play)
}
