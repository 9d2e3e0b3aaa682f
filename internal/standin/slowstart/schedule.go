package slowstart

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"elderwall/internal/standin"
)

// The times of a drawn run.
const (
	firstFault      = 5 * time.Second
	faultsLast      = 13 * time.Second // from the first one on
	afterFaults     = 5 * time.Second
	killAfter       = clientBudget + 700*time.Millisecond // the earliest at which the platform kills what got SIGTERM
	leastRestarts   = 2
	leastFaults     = 4
	mostFaults      = 9
	mostStopped     = time.Second
	mostSilent      = 8 * time.Second
	mostDown        = 3 * time.Second
	mostNotice      = 2 * time.Second
	mostLate        = 1200 * time.Millisecond
	mostReloads     = 3
	signalsApart    = 150 * time.Millisecond
	parents         = 2
	mostDispatchers = 6
	mostShards      = 4
	mostHeld        = 2 * time.Second
	mostKills       = 3
	unlike          = 0.25 // by how much hosts of one kind differ from its usual size
	leastSlots      = 2
	mostFavored     = 0.7
	quickWork       = 50 * time.Millisecond
	slowWork        = 200 * time.Millisecond // few requests fit a window then
)

// Fault is something that happens in a run.
type Fault struct {
	At   time.Duration
	Name string
	run  func(f *Fleet)
}

// Plan is a whole run, drawn from a seed.
type Plan struct {
	Options
	Clients int
	Faults  []Fault
	Lasts   time.Duration // at the least; 0 for the time in which faults are drawn and a while after it
}

// String is the plan in a line.
func (p Plan) String() string {
	var all []string
	for _, f := range p.Faults {
		all = append(all, fmt.Sprintf("%.1f %s", f.At.Seconds(), f.Name))
	}
	return fmt.Sprintf("%d dispatchers of %d shards, the first has %.2f of the clients besides, weights %s, %d clients, hosts shrink by up to %.2f, costs %+v, rule %+v: %s",
		p.Dispatchers, max(1, p.Shards), p.Favored, p.Weights, p.Clients, p.Shrinks, p.Hosts[0].Costs, p.Rule, strings.Join(all, "; "))
}

// Draw draws a plan.
func Draw(seed uint64, binary string) Plan {
	r := rand.New(rand.NewPCG(seed, 77))
	between := func(low, high float64) float64 { return low + (high-low)*r.Float64() }
	o := Options{
		Binary: binary, Seed: seed, Dispatchers: 1 + r.IntN(mostDispatchers), Objects: 400,
		Weights: []string{"silent", "silent", "nominal"}[r.IntN(3)], Connects: between(0.3, 2),
		Rule: Rule{
			Initial: between(0.1, 0.3), Ramp: time.Duration(between(8, 15) * float64(time.Second)),
			Multiple: between(2, 4), Window: time.Duration(between(0.4, 2) * float64(time.Second)),
		},
		ParentRule: Rule{Initial: 0.08, Ramp: 15 * time.Second, Multiple: 2},
	}
	o.ParentRule.Window = o.Rule.Window
	if r.IntN(2) == 0 {
		o.Favored = mostFavored * r.Float64()
	}
	work := []time.Duration{quickWork, quickWork, slowWork}[r.IntN(3)]
	for _, kind := range []struct {
		name     string
		n, slots int
	}{{"large", 2 + r.IntN(3), 6 + r.IntN(8)}, {"small", 3 + r.IntN(3), 2 + r.IntN(4)}} {
		for i := range kind.n {
			slots := max(leastSlots, int(math.Round(float64(kind.slots)*between(1-unlike, 1+unlike))))
			o.Hosts = append(o.Hosts, HostOptions{ID: fmt.Sprint(kind.name, "-", i), Kind: kind.name, Slots: slots, Work: work, Fills: 0.2})
		}
	}
	caches := len(o.Hosts)
	for i := range parents {
		o.Hosts = append(o.Hosts, HostOptions{ID: fmt.Sprint("parent-", i), Kind: "parent", Slots: 30, Work: quickWork})
	}
	p := Plan{Options: o, Clients: 60 + r.IntN(180)}
	d := drawer{Rand: r, plan: p, caches: caches}
	for range leastRestarts { // they come first, so that what else happens meets the ramps
		p.Faults = append(p.Faults, d.restart(firstFault+d.time(faultsLast/3), d.some(), 0))
	}
	p.Faults = append(p.Faults, d.burst(firstFault+faultsLast/4+d.time(faultsLast/2), nil, 0))
	for range leastFaults + r.IntN(mostFaults-leastFaults+1) {
		p.Faults = append(p.Faults, d.fault())
	}
	if r.IntN(4) == 0 {
		p.Shards = 2 + r.IntN(mostShards-1)
	}
	slices.SortFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

// drawer draws faults.
type drawer struct {
	*rand.Rand
	plan   Plan
	caches int
}

func (d drawer) time(most time.Duration) time.Duration { return time.Duration(d.Int64N(int64(most))) }

// some draws hosts: caches, or now and then a parent.
func (d drawer) some() (ids []string) {
	if d.IntN(5) == 0 {
		return []string{d.plan.Hosts[d.caches+d.IntN(parents)].ID}
	}
	for _, i := range d.Perm(d.caches)[:1+d.IntN(max(1, d.caches/2))] {
		ids = append(ids, d.plan.Hosts[i].ID)
	}
	return ids
}

func (d drawer) fault() Fault {
	at := firstFault + d.time(faultsLast)
	ids, dispatcher := d.some(), d.IntN(d.plan.Dispatchers)
	kinds := []func(at time.Duration, ids []string, dispatcher int) Fault{
		d.restart, d.restart, d.restart, d.silence, d.silence, d.reload, d.listed, d.drain, d.remove, d.killDispatcher, d.stopDispatcher, d.endDispatcher, d.burst, d.reset,
		d.hold, d.hold, d.killInSeries, d.returnElsewhere, d.returnRenamed,
	}
	return kinds[d.IntN(len(kinds))](at, ids, dispatcher)
}

// restart kills hosts, and starts them with cold caches.
func (d drawer) restart(at time.Duration, ids []string, _ int) Fault {
	down, notice, late := 50*time.Millisecond+d.time(mostDown), time.Duration(0), time.Duration(0)
	if d.IntN(2) == 0 {
		notice = d.time(mostNotice)
	}
	if d.IntN(4) == 0 {
		late = 300*time.Millisecond + d.time(mostLate)
	}
	name := fmt.Sprintf("restart %v after %.2f s, late %.2f s, told after %.2f s", ids, down.Seconds(), late.Seconds(), notice.Seconds())
	return Fault{at, name, func(f *Fleet) {
		f.Kill(ids...)
		time.Sleep(down)
		f.RestartAll(late, notice, ids...)
	}}
}

// returnElsewhere has caches start again under their ids at other addresses.
func (d drawer) returnElsewhere(at time.Duration, ids []string, _ int) Fault {
	down := 50*time.Millisecond + d.time(mostDown)
	return Fault{at, fmt.Sprintf("restart %v after %.2f s at other addresses", ids, down.Seconds()), func(f *Fleet) {
		f.Kill(ids...)
		time.Sleep(down)
		for _, id := range ids {
			f.Hosts[id].Move(standin.Free())
		}
		f.RestartAll(0, 0, ids...)
	}}
}

// returnRenamed has a cache start again at its address under another id, which the list tells late.
func (d drawer) returnRenamed(at time.Duration, _ []string, _ int) Fault {
	id, down, notice := d.plan.Hosts[d.IntN(d.caches)].ID, 50*time.Millisecond+d.time(mostDown), d.time(mostNotice)
	return Fault{at, fmt.Sprintf("restart %s after %.2f s under another id, told after %.2f s", id, down.Seconds(), notice.Seconds()), func(f *Fleet) {
		f.Kill(id)
		time.Sleep(down)
		old := f.Hosts[id].Rename()
		f.RestartAll(0, notice, id)
		time.Sleep(notice)
		f.Forget(old)
	}}
}

// hold keeps what is sent to hosts on its way for a while.
func (d drawer) hold(at time.Duration, ids []string, _ int) Fault {
	lasts := 100*time.Millisecond + d.time(mostHeld)
	return Fault{at, fmt.Sprintf("hold what is sent to %v for %.2f s", ids, lasts.Seconds()), func(f *Fleet) {
		for _, id := range ids {
			f.Hosts[id].Hold(lasts)
		}
	}}
}

// silence has change logs say nothing, or everything late.
func (d drawer) silence(at time.Duration, _ []string, dispatcher int) Fault {
	lasts, all, delayed := time.Second+d.time(mostSilent), d.IntN(2) == 0, d.IntN(4) == 0
	return Fault{at, fmt.Sprintf("change log silent for %.1f s, all %v, delayed %v", lasts.Seconds(), all, delayed), func(f *Fleet) {
		for i, one := range f.Dispatchers {
			if !all && i != dispatcher {
				continue
			}
			relay := one.relay()
			if delayed {
				relay.Delay(lasts / 4)
				time.AfterFunc(lasts, func() { relay.Delay(0) })
				continue
			}
			relay.Hold(true)
			time.AfterFunc(lasts, func() { relay.Hold(false) })
		}
	}}
}

// reload moves the change log, some times in a row.
func (d drawer) reload(at time.Duration, _ []string, dispatcher int) Fault {
	times := 1 + d.IntN(mostReloads)
	return Fault{at, fmt.Sprint("change log moves ", times, " times"), func(f *Fleet) {
		for range times {
			f.Dispatchers[dispatcher].MoveChangeLog()
			time.Sleep(signalsApart)
		}
	}}
}

func (d drawer) listed(at time.Duration, _ []string, _ int) Fault {
	return Fault{at, "whole list again", func(f *Fleet) { f.ToldAgain() }}
}

func (d drawer) drain(at time.Duration, ids []string, _ int) Fault {
	lasts := time.Second + d.time(mostDown)
	return Fault{at, fmt.Sprintf("drain %v for %.1f s", ids, lasts.Seconds()), func(f *Fleet) {
		f.Told("DRAINING", ids...)
		time.Sleep(lasts)
		f.Told("SERVING", ids...)
	}}
}

// remove takes hosts off the list that go on, and puts them on it again.
func (d drawer) remove(at time.Duration, ids []string, _ int) Fault {
	lasts := d.time(mostDown)
	return Fault{at, fmt.Sprintf("remove %v for %.1f s", ids, lasts.Seconds()), func(f *Fleet) {
		f.Told("DELETED", ids...)
		time.Sleep(lasts)
		f.Told("SERVING", ids...)
	}}
}

func (d drawer) killDispatcher(at time.Duration, _ []string, dispatcher int) Fault {
	down := d.time(time.Second)
	return Fault{at, fmt.Sprint("kill n", dispatcher), func(f *Fleet) {
		f.Dispatchers[dispatcher].Replace(syscall.SIGKILL, 0, down)
	}}
}

// killInSeries kills a dispatcher again as soon as it is ready.
func (d drawer) killInSeries(at time.Duration, _ []string, dispatcher int) Fault {
	times := 2 + d.IntN(mostKills-1)
	return Fault{at, fmt.Sprint("kill n", dispatcher, " ", times, " times"), func(f *Fleet) {
		for range times {
			f.Dispatchers[dispatcher].Replace(syscall.SIGKILL, 0, 0)
			time.Sleep(signalsApart)
		}
	}}
}

func (d drawer) endDispatcher(at time.Duration, _ []string, dispatcher int) Fault {
	return Fault{at, fmt.Sprint("end n", dispatcher), func(f *Fleet) {
		f.Dispatchers[dispatcher].Replace(syscall.SIGTERM, killAfter, 0)
	}}
}

func (d drawer) stopDispatcher(at time.Duration, _ []string, dispatcher int) Fault {
	lasts := 50*time.Millisecond + d.time(mostStopped)
	return Fault{at, fmt.Sprintf("stop n%d for %.2f s", dispatcher, lasts.Seconds()), func(f *Fleet) {
		f.Dispatchers[dispatcher].Signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		f.Dispatchers[dispatcher].Signal(syscall.SIGCONT)
	}}
}

func (d drawer) burst(at time.Duration, _ []string, _ int) Fault {
	lasts, usual := time.Second+d.time(mostDown), d.plan.Clients
	return Fault{at, fmt.Sprintf("crowd for %.1f s", lasts.Seconds()), func(f *Fleet) {
		f.Load(mostClients, 0)
		time.Sleep(lasts)
		f.Load(usual, 0)
	}}
}

func (d drawer) reset(at time.Duration, ids []string, _ int) Fault {
	return Fault{at, fmt.Sprint("reset connections of ", ids), func(f *Fleet) {
		for _, id := range ids {
			f.Hosts[id].Reset()
		}
	}}
}

// Play plays the plan to its end.
func (p Plan) Play(f *Fleet) {
	f.Load(p.Clients, 0)
	began := time.Now()
	done := make(chan struct{}, len(p.Faults))
	for _, fault := range p.Faults {
		time.AfterFunc(time.Until(began.Add(fault.At)), func() {
			defer func() { done <- struct{}{} }() // also where the fault fails, which ends its goroutine
			fault.run(f)
		})
	}
	for range p.Faults {
		<-done
	}
	time.Sleep(time.Until(began.Add(max(p.Lasts, firstFault+faultsLast+afterFaults))))
}
