package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
)

// What a cold host bears in these tests, as the settings tell it.
const (
	coldWork     = 0.1  // s; mean sending time of a GET
	coldTold     = 12.0 // s; when the cold hosts start, and all processes are told so
	coldEnd      = 22.0 // s; when they are warm
	coldStep     = 0.005
	coldHosts    = 8
	coldCapacity = 0.5 // share of a host's capacity that it is asked for on a quiet day
)

// coldDay is a fleet of processes that know nothing of one another, before hosts that start cold.
type coldDay struct {
	name      string
	processes int
	atFirst   float64               // GETs of mean work that a cold host bears in a window right after its start
	told      bool                  // weights are
	cold      int                   // caches that start cold
	parents   int                   // parents that do
	load      func(float64) float64 // multiple of the quiet day's GETs at a time; nil for 1
	restarts  bool                  // a tenth of the processes restarts each half second from the start of the cold hosts on
	silent    bool                  // a warm cache falls silent 3 s after that
	leaves    float64               // s after that, all caches but the cold ones drain; 0 for never
	unheard   bool                  // processes have had no answer from warm hosts before
	roundUp   bool                  // put in: each process sends at least one GET in each window
	misled    float64               // multiple of the processes that each is told there are; 0 for 1
}

// toldOf is how many processes each is told there are.
func (c coldDay) toldOf() int {
	if c.misled == 0 {
		return c.processes
	}
	return max(1, int(float64(c.processes)*c.misled))
}

// coldEvent is what falls due in a coldDay.
type coldEvent struct {
	process int
	answer  AttemptResult
	life    int
}

// coldRun plays a coldDay on a seed and gives when each cold host was sent a GET.
type coldRun struct {
	coldDay
	random    *rand.Rand
	processes []*Router
	wires     []*recorder
	lives     []int
	numbers   []map[uint32]int
	since     []map[uint32]float64 // of the fault that is put in
	due       map[int][]coldEvent
	hosts     []Endpoint
	sends     map[uint32][]float64
	seed      uint64
	id        uint32
}

// weight is the capacity of a cache in seconds of sending time a second.
func (c *coldRun) weight() float64 { return c.atFirst * coldWork / (0.2 * 2 * 1) }

func (c *coldRun) start(i int, now float64) {
	s := settings()
	s.Index, s.Dispatchers, s.DispatchersByZone, s.Seed, s.WeightsKnown = i, c.toldOf(), []int{c.toldOf()}, c.seed*1e6+uint64(i)+uint64(c.lives[i])*1e4, c.told
	s.Services[0].Objective = 1
	c.wires[i] = &recorder{}
	c.processes[i] = New(s, 0, c.wires[i])
	c.numbers[i], c.since[i] = map[uint32]int{}, map[uint32]float64{}
	c.processes[i].UpdateEndpoints(now-c.birth(i, now), ListCached, c.seen(i, now))
}

// birth is when a process started; its clock starts there.
func (c *coldRun) birth(i int, now float64) float64 {
	if c.lives[i] == 0 {
		return 0
	}
	return c.restart(i)
}

func (c *coldRun) restart(i int) float64 { return coldTold + 0.5*float64(1+i%10) }

// seen is the list on the clock of a process.
func (c *coldRun) seen(i int, now float64) []Endpoint {
	hosts := slices.Clone(c.hosts)
	for j := range hosts {
		hosts[j].OnlineSince -= c.birth(i, now)
	}
	return hosts
}

func playCold(day coldDay, seed uint64) *coldRun {
	c := &coldRun{
		coldDay: day, random: rand.New(rand.NewPCG(seed, 1)), seed: seed, due: map[int][]coldEvent{}, sends: map[uint32][]float64{},
		processes: make([]*Router, day.processes), wires: make([]*recorder, day.processes), lives: make([]int, day.processes),
		numbers: make([]map[uint32]int, day.processes), since: make([]map[uint32]float64, day.processes),
	}
	for i := range coldHosts {
		c.hosts = append(c.hosts, entry(uint32(100+i), 0, Ready))
	}
	c.hosts = append(c.hosts, entry(parentA, 1, Ready), entry(parentB, 1, Ready), entry(origin, 2, Ready))
	for i := range c.hosts {
		c.hosts[i].Weight = c.weight()
	}
	share, sum := make([]float64, day.processes), 0.0
	for i := range share { // from nearly none to several times the mean
		share[i] = math.Exp(1.2 * c.random.NormFloat64())
		sum += share[i]
	}
	for i := range c.processes {
		c.start(i, 0)
	}
	rate := coldCapacity * c.weight() / coldWork * coldHosts // GETs a second of the fleet
	for step := 0; float64(step)*coldStep < coldEnd; step++ {
		now := float64(step) * coldStep
		c.list(step, now)
		load := 1.0
		if c.load != nil {
			load = c.load(now)
		}
		if !c.told { // no warm host returns more than it bears, and that is all that is known of them
			load = math.Min(load, 1/coldCapacity)
		}
		if c.unheard && now < coldTold {
			load = 0
		}
		for i, d := range c.processes {
			if c.restarts && c.lives[i] == 0 && now >= c.restart(i) {
				c.lives[i] = 1
				c.start(i, now)
				d = c.processes[i]
			}
			own := now - c.birth(i, now)
			if (step+i)%10 == 0 {
				turn(d, own)
				c.drain(i, now)
			}
			for range poisson(c.random, rate*load*coldStep*share[i]/sum) {
				c.id++
				warm := c.fault(i, now)
				ask(d, own, c.id, fmt.Sprint("o", c.random.IntN(3000)))
				c.drain(i, now)
				for _, h := range warm {
					h.cold = true
				}
			}
		}
		for _, e := range c.due[step] {
			if d := c.processes[e.process]; e.life == c.lives[e.process] {
				d.HandleResult(now-c.birth(e.process, now), e.answer)
				d.RunRetries(now - c.birth(e.process, now))
				c.drain(e.process, now)
			}
		}
		delete(c.due, step)
	}
	return c
}

// list tells all processes of the cold hosts at their start.
func (c *coldRun) list(step int, now float64) {
	var changed []Endpoint
	if c.leaves > 0 && step == int((coldTold+c.leaves)/coldStep) {
		for i := c.cold; i < coldHosts; i++ {
			c.hosts[i].Phase = Draining
		}
		for i, d := range c.processes {
			d.UpdateEndpoints(now-c.birth(i, now), ListChanges, c.seen(i, now))
		}
	}
	if step != int(coldTold/coldStep) {
		return
	}
	for i := range c.hosts {
		if h := &c.hosts[i]; h.Kind == 0 && i < c.cold || h.Kind == 1 && i-coldHosts < c.parents {
			h.OnlineSince, h.OnlineSinceKnown = now, true
			changed = append(changed, *h)
		}
	}
	for _, d := range c.processes {
		d.UpdateEndpoints(now, ListChanges, changed)
	}
}

// drain takes what a process sends out, and has it answered after its work.
func (c *coldRun) drain(i int, now float64) {
	r := c.wires[i]
	for ; len(r.forwards) > 0; r.forwards = r.forwards[1:] {
		f := r.forwards[0]
		number := c.numbers[i][f.RequestID]
		c.numbers[i][f.RequestID]++
		note, id := CacheHit, f.Host
		if c.parents > 0 {
			note, id = Filled, f.Source
		}
		if now >= coldTold {
			c.sends[id] = append(c.sends[id], now)
			c.since[i][id] = now
		}
		took := coldWork * (0.5 + c.random.Float64())
		if c.silent && f.Host == c.hosts[coldHosts-1].ID && now > coldTold+3 {
			continue
		}
		at := int((now + took) / coldStep)
		c.due[at] = append(c.due[at], coldEvent{i, AttemptResult{RequestID: f.RequestID, Attempt: number, Outcome: Succeeded, Note: note, Elapsed: took, Final: true}, c.lives[i]})
	}
	r.cancelled, r.shed, r.errored, r.calls = nil, nil, nil, nil
}

// fault has one that is put in: a process that sent a cold host nothing in a window takes it for warm.
func (c *coldRun) fault(i int, now float64) (warm []*host) {
	if !c.roundUp || now < coldTold {
		return nil
	}
	for _, e := range c.hosts[:c.cold] {
		if h := c.processes[i].hosts[e.ID]; h.cold && now >= c.since[i][e.ID]+1 {
			h.cold = false
			warm = append(warm, h)
		}
	}
	return warm
}

func poisson(r *rand.Rand, mean float64) (n int) {
	for p := r.Float64(); p > math.Exp(-mean); n++ {
		p *= r.Float64()
	}
	return n
}

// bears is the GETs of mean work that a cold host bears in a window, by the settings.
func (c *coldRun) bears(at float64, kind int) float64 {
	from, ramp := 0.2, 10.0
	if kind == 1 {
		from, ramp = 0.1, 20.0
	}
	return (from + (1-from)*math.Min(1, (at-coldTold)/ramp)) * 2 * c.weight() / coldWork
}

// falls is the cold hosts that were sent more in a sliding window than the rule bears, by the settings alone, and the largest part
// of that which any was sent.
func (c *coldRun) falls() (falls int, most float64) {
	for _, h := range c.hosts {
		if h.OnlineSince != coldTold {
			continue
		}
		first, fell := 0, 0
		for j, at := range c.sends[h.ID] {
			for c.sends[h.ID][first] <= at-1 {
				first++
			}
			n := c.bears(at, h.Kind)
			part := float64(j-first+1) / (n + 2*math.Sqrt(n) + 2)
			if most = math.Max(most, part); part > 1 {
				fell = 1
			}
		}
		falls += fell
	}
	return falls, most
}

func quietThenBurst(now float64) float64 {
	switch {
	case now < coldTold:
		return 1
	case now < coldTold+4:
		return 0.02
	}
	return 4
}

func burst(now float64) float64 {
	if now > coldTold+1 && now < coldTold+3 {
		return 4
	}
	return 1
}

// burstTwice has all processes look at the cold host before a quiet stretch.
func burstTwice(now float64) float64 {
	switch {
	case now < coldTold+2:
		return 4
	case now < coldTold+6:
		return 0.02
	}
	return 4
}

// What many processes that know nothing of one another send a cold host, together, it bears.
func TestAColdHostBearsWhatAllSend(t *testing.T) {
	for _, day := range []coldDay{
		{name: "weights told", cold: 1, told: true},
		{name: "weights not told", cold: 1},
		{name: "a quiet stretch and a burst", cold: 1, told: true, load: quietThenBurst},
		{name: "restarts in a burst", cold: 1, told: true, load: burst, restarts: true},
		{name: "half of the caches, and a burst", cold: 4, load: burst},
		{name: "a silent cache, retries", cold: 1, told: true, silent: true},
		{name: "parents", parents: 2, told: true, load: burst},
		{name: "parents, weights not told", parents: 2, load: burst},
		{name: "nothing heard before", cold: coldHosts, unheard: true},
		{name: "a quiet stretch, then all others drain under a burst", cold: 1, told: true, load: burstTwice, leaves: 6},
	} {
		for _, day.processes = range []int{3, 30, 300} {
			t.Run(fmt.Sprint(day.name, ", ", day.processes), func(t *testing.T) {
				day.atFirst = 30
				falls, most := playCold(day, 1).falls()
				assert.Zero(t, falls)
				assert.Less(t, most, 0.9)
			})
		}
	}
}

// The rule binds however few or many processes there are, and whatever a cold host bears: one GET in a window or a thousand. Processes restart in the
// middle, traffic is uneven, and some are told another number of processes than there are.
func TestTheRuleBindsForFewAndMany(t *testing.T) {
	days := []coldDay{
		{name: "burst", cold: 1, told: true, load: burst},
		{name: "burst, weights not told", cold: 1, load: burst},
		{name: "restarts", cold: 1, told: true, load: burst, restarts: true},
		{name: "told of twice as many", cold: 1, told: true, load: burst, misled: 2},
		{name: "told of half as many, weights not told", cold: 1, load: burst, misled: 0.5},
		{name: "a quiet stretch, and all others drain", cold: 1, told: true, load: burstTwice, leaves: 6},
	}
	for _, day := range days {
		for _, day.processes = range []int{1, 2, 3, 30, 300, 900} {
			for _, day.atFirst = range []float64{1, 5, 30, 200, 1000} {
				if (day.processes > 300 || day.atFirst > 30) && os.Getenv("ELDERWALL_COLD") == "" { // which take minutes, together
					continue
				}
				day := day // the plays run side by side
				t.Run(fmt.Sprint(day.name, ", ", day.processes, " processes, N ", day.atFirst), func(t *testing.T) {
					t.Parallel()
					falls, most := playCold(day, 1).falls()
					assert.Zero(t, falls)
					t.Logf("%.2f of what it bears", most)
				})
			}
		}
	}
}

// The worst window over a whole ramp, over many seeds: how far it is from a fall. Run by hand, as it takes minutes (docs/fleets.md has its figures).
func TestTheWorstWindowOfARamp(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("ELDERWALL_COLD_SEEDS"))
	for _, size := range []struct {
		processes int
		atFirst   float64
	}{{1, 30}, {3, 30}, {30, 30}, {300, 5}, {300, 30}, {3, 1000}} {
		t.Run(fmt.Sprint(size.processes, " processes, N ", size.atFirst), func(t *testing.T) {
			t.Parallel()
			var worst []float64
			for seed := range uint64(max(1, seeds)) {
				_, most := playCold(coldDay{processes: size.processes, atFirst: size.atFirst, cold: 1, told: true, load: burstTwice, leaves: 6, restarts: true}, seed+1).falls()
				worst = append(worst, most)
			}
			mean, spread := 0.0, 0.0
			for _, x := range worst {
				mean += x / float64(len(worst))
			}
			for _, x := range worst {
				spread += (x - mean) * (x - mean) / float64(len(worst))
			}
			spread = math.Sqrt(spread)
			// The largest of many windows has a longer tail than a normal one: that of an extreme value with the same mean and spread (Gumbel).
			scale := math.Max(1e-9, spread*math.Sqrt(6)/math.Pi)
			chance := 1 - math.Exp(-math.Exp(-(1-(mean-0.5772*scale))/scale))
			t.Logf("%d plays: mean %.3f, spread %.3f, largest %.3f of what the rule bears; chance of a fall %.1e", len(worst), mean, spread, slices.Max(worst), chance)
			// Few processes save up and draw nothing: what each may send in a window is bounded, (1+saved) * coldPart of its share.
			assert.Less(t, slices.Max(worst), (1+saved)*coldPart)
			if seeds > 10 && size.processes >= 30 {
				assert.Less(t, chance, 1e-4)
			}
		})
	}
}

// The checker finds a fault that is put in: each process may send at least one GET in a window.
func TestOneGETByEachProcessIsTooMuch(t *testing.T) {
	for processes, bears := range map[int]float64{30: 5, 300: 30} {
		day := coldDay{processes: processes, atFirst: bears, cold: 1, told: true, load: func(float64) float64 { return 4 }, leaves: 1}
		falls, most := playCold(day, 1).falls()
		assert.Zero(t, falls, "%d processes, %.2f of what it bears", processes, most)
		day.roundUp = true
		falls, most = playCold(day, 1).falls()
		assert.Equal(t, 1, falls, "%d processes, %.2f of what it bears", processes, most)
	}
}

// Under a burst that has each process look all the time, what all send has the mean that is told, and its root as spread at most.
func TestTheSumOfWhatAllSend(t *testing.T) {
	for _, processes := range []int{3, 30, 300} {
		var got, bears []float64
		for seed := range uint64(4) {
			c := playCold(coldDay{processes: processes, atFirst: 30, cold: 1, told: true, load: burstTwice, leaves: 6}, seed+1)
			for from := coldTold + 6.0; from < coldEnd; from++ {
				sent := 0.0
				for _, at := range c.sends[c.hosts[0].ID] {
					if at > from && at <= from+1 {
						sent++
					}
				}
				got, bears = append(got, sent), append(bears, c.bears(from+0.5, 0))
			}
		}
		mean, spread := 0.0, 0.0
		for i := range got {
			mean += got[i] / bears[i] / float64(len(got))
		}
		for i := range got {
			spread += (got[i] - mean*bears[i]) * (got[i] - mean*bears[i]) / bears[i] / float64(len(got))
		}
		t.Logf("%d processes: mean %.3f of what it bears, spread %.2f of its root", processes, mean, math.Sqrt(spread))
		assert.InDelta(t, 0.65, mean, 0.15, "%d processes", processes)
		assert.Less(t, math.Sqrt(spread), 1.0, "%d processes", processes)
	}
}

// Where the settings name no time in which a cold host falls, it is sent something all the same, by however many.
func TestAColdHostWithNoTimeToFallInIsNotShutOut(t *testing.T) {
	d, r := fleet(func(s *Settings) { s.OverloadWindow, s.DispatchersByZone, s.WeightsKnown = 0, []int{300}, true })
	d.now = 1
	h := d.caches[0]
	h.cold, h.OnlineSince, h.Weight = true, 1, 3000
	sent := 0
	for now := 1.0; now < 1+d.SlowStartRamp-1; now += 0.05 {
		d.now = now
		if d.open(h, 0.1) {
			h.credit -= 0.1
			sent++
		}
	}
	assert.Positive(t, sent)
	assert.Empty(t, r.forwards)
}
