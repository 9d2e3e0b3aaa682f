package slowstart

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// The times and shares of what a late plan adds to a plan.
const (
	lateStream     = 82              // of random numbers, so that the plan beneath stays as it is drawn without
	earliestLoss   = 0.5             // share of the ramp at which the others are lost, at the earliest
	latestLoss     = 1.05            // and at the latest: just after its end
	mostAlone      = 4 * time.Second // for which the hosts in slow start are alone
	afterTheRamp   = 3 * time.Second
	mostMoves      = 5
	mostMixes      = 4
	mostShrunk     = 0.65 // share of its capacity that a host may lose at a start
	costStream     = 83   // of random numbers, likewise, for what requests cost
	leastCost      = 0.5  // of the mean of their class, that requests cost on average
	mostCost       = 1.2
	mostSpread     = 1.0
	evenCosts      = 3 // a plan in so many has requests that all cost the mean of their class
	steadyHosts    = 4 // a plan in so many has hosts that keep their capacity
	wholeLocations = 3 // a plan in so many has all caches restart together
)

// DrawLate draws a plan that goes on to the end of the ramps and past it: besides what Draw draws, hosts come back with another
// capacity, requests cost less or more than the mean of their class, traffic moves from one dispatcher to another, the mix of classes changes, all caches of the location restart together,
// and late in the ramp the hosts in slow start are left alone with a crowd.
func DrawLate(seed uint64, binary string) Plan {
	p := Draw(seed, binary)
	d := lateDrawer{drawer{rand.New(rand.NewPCG(seed, lateStream)), p, len(p.Hosts) - parents}}
	if d.IntN(steadyHosts) > 0 {
		p.Shrinks = mostShrunk * d.Float64()
	}
	d.costs(rand.New(rand.NewPCG(seed, costStream)))
	started := firstFault + d.time(faultsLast/4)
	cold := d.coldHosts()
	p.Faults = append(p.Faults, d.restart(started, cold, 0), d.alone(started, cold))
	for range d.IntN(mostMoves) {
		p.Faults = append(p.Faults, d.move())
	}
	for range d.IntN(mostMixes) {
		p.Faults = append(p.Faults, d.mix())
	}
	p.Lasts = started + p.Rule.Ramp + mostDown + mostAlone + afterTheRamp
	slices.SortFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

// lateDrawer draws what happens late in a ramp.
type lateDrawer struct{ drawer }

// costs draws what requests cost at the caches.
func (d lateDrawer) costs(chance *rand.Rand) {
	if chance.IntN(evenCosts) == 0 {
		return
	}
	costs := Costs{Mean: leastCost + (mostCost-leastCost)*chance.Float64(), Spread: mostSpread * chance.Float64(), Shared: chance.IntN(2) == 0}
	for i := range d.plan.Hosts[:d.caches] {
		d.plan.Hosts[i].Costs = costs
	}
}

// coldHosts draws the caches that restart together: half of them at the most, or all.
func (d lateDrawer) coldHosts() (ids []string) {
	n := 1 + d.IntN(max(1, d.caches/2))
	if d.IntN(wholeLocations) == 0 {
		n = d.caches
	}
	for _, i := range d.Perm(d.caches)[:n] {
		ids = append(ids, d.plan.Hosts[i].ID)
	}
	return ids
}

// alone has most caches be lost late in the ramp of some, and a crowd come.
func (d lateDrawer) alone(started time.Duration, cold []string) Fault {
	share := earliestLoss + (latestLoss-earliestLoss)*d.Float64()
	at := started + time.Duration(share*float64(d.plan.Rule.Ramp))
	lasts := time.Second + d.time(mostAlone-time.Second)
	left := cold[:1+d.IntN(max(1, len(cold)/2))]
	var lost []string
	for _, h := range d.plan.Hosts[:d.caches] {
		if !slices.Contains(left, h.ID) {
			lost = append(lost, h.ID)
		}
	}
	usual := d.plan.Clients
	return Fault{at, fmt.Sprintf("%v alone with a crowd for %.1f s", left, lasts.Seconds()), func(f *Fleet) {
		f.Load(mostClients, 0)
		f.Kill(lost...)
		time.Sleep(lasts)
		f.RestartAll(0, 0, lost...)
		f.Load(usual, 0)
	}}
}

// move has a share of the clients ask one dispatcher.
func (d lateDrawer) move() Fault {
	at, to, share := d.time(firstFault+d.plan.Rule.Ramp+faultsLast/4), d.IntN(d.plan.Dispatchers), d.Float64()
	return Fault{at, fmt.Sprintf("%.2f of the clients ask n%d", share, to), func(f *Fleet) { f.Direct(to, share) }}
}

// mix changes the mix of classes.
func (d lateDrawer) mix() Fault {
	at, first := d.time(firstFault+d.plan.Rule.Ramp+faultsLast/4), d.Float64()
	return Fault{at, fmt.Sprintf("%.2f of the requests are of class %s", first, classes[0].name), func(f *Fleet) { f.Mix(first) }}
}
