package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// What a cold host bears in these tests, as the settings tell it.
const (
	warmingWork  = 0.1  // s; mean sending time of a GET
	warmingStart = 12.0 // s; when the cold hosts start, and all processes are told so
	warmingEnd   = 22.0 // s; when they are warm
	stepSpan     = 0.005
	hostCount    = 8
	quietLoad    = 0.5 // share of a host's capacity that it is asked for on a quiet day
)

// slowStartDay is a fleet of processes that know nothing of one another, before hosts that start cold.
type slowStartDay struct {
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
func (c slowStartDay) toldOf() int {
	if c.misled == 0 {
		return c.processes
	}
	return max(1, int(float64(c.processes)*c.misled))
}

// slowStartEvent is what falls due in a slowStartDay.
type slowStartEvent struct {
	process int
	answer  AttemptResult
	life    int
}

// slowStartRun plays a slowStartDay on a seed and gives when each cold host was sent a GET.
type slowStartRun struct {
	slowStartDay
	random    *rand.Rand
	processes []*Router
	wires     []*recorder
	lives     []int
	numbers   []map[uint32]int
	since     []map[uint32]float64 // of the fault that is put in
	due       map[int][]slowStartEvent
	hosts     []Endpoint
	sends     map[uint32][]float64
	seed      uint64
	id        uint32
}

// weight is the capacity of a cache in seconds of sending time a second.
func (c *slowStartRun) weight() float64 { return c.atFirst * warmingWork / (0.2 * 2 * 1) }

func (c *slowStartRun) start(i int, now float64) {
	s := settings()
	s.Index, s.Dispatchers, s.DispatchersByZone, s.Seed, s.WeightsKnown = i, c.toldOf(), []int{c.toldOf()}, c.seed*1e6+uint64(i)+uint64(c.lives[i])*1e4, c.told
	s.Services[0].Objective = 1
	c.wires[i] = &recorder{}
	c.processes[i] = New(s, 0, c.wires[i])
	c.numbers[i], c.since[i] = map[uint32]int{}, map[uint32]float64{}
	c.processes[i].UpdateEndpoints(now-c.birth(i, now), ListCached, c.seen(i, now))
}

// birth is when a process started; its clock starts there.
func (c *slowStartRun) birth(i int, now float64) float64 {
	if c.lives[i] == 0 {
		return 0
	}
	return c.restart(i)
}

func (c *slowStartRun) restart(i int) float64 { return warmingStart + 0.5*float64(1+i%10) }

// seen is the list on the clock of a process.
func (c *slowStartRun) seen(i int, now float64) []Endpoint {
	hosts := slices.Clone(c.hosts)
	for j := range hosts {
		hosts[j].OnlineSince -= c.birth(i, now)
	}
	return hosts
}

func playSlowStart(day slowStartDay, seed uint64) *slowStartRun {
	c := &slowStartRun{
		slowStartDay: day, random: rand.New(rand.NewPCG(seed, 1)), seed: seed, due: map[int][]slowStartEvent{}, sends: map[uint32][]float64{},
		processes: make([]*Router, day.processes), wires: make([]*recorder, day.processes), lives: make([]int, day.processes),
		numbers: make([]map[uint32]int, day.processes), since: make([]map[uint32]float64, day.processes),
	}
	for i := range hostCount {
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
	rate := quietLoad * c.weight() / warmingWork * hostCount // GETs a second of the fleet
	for step := 0; float64(step)*stepSpan < warmingEnd; step++ {
		now := float64(step) * stepSpan
		c.list(step, now)
		load := 1.0
		if c.load != nil {
			load = c.load(now)
		}
		if !c.told { // no warm host returns more than it bears, and that is all that is known of them
			load = math.Min(load, 1/quietLoad)
		}
		if c.unheard && now < warmingStart {
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
				tickAt(d, own)
				c.drain(i, now)
			}
			for range poisson(c.random, rate*load*stepSpan*share[i]/sum) {
				c.id++
				warm := c.fault(i, now)
				ask(d, own, c.id, fmt.Sprint("o", c.random.IntN(3000)))
				c.drain(i, now)
				for _, h := range warm {
					h.warmUp.active = true
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
func (c *slowStartRun) list(step int, now float64) {
	var changed []Endpoint
	if c.leaves > 0 && step == int((warmingStart+c.leaves)/stepSpan) {
		for i := c.cold; i < hostCount; i++ {
			c.hosts[i].Phase = Draining
		}
		for i, d := range c.processes {
			d.UpdateEndpoints(now-c.birth(i, now), ListChanges, c.seen(i, now))
		}
	}
	if step != int(warmingStart/stepSpan) {
		return
	}
	for i := range c.hosts {
		if h := &c.hosts[i]; h.Kind == 0 && i < c.cold || h.Kind == 1 && i-hostCount < c.parents {
			h.OnlineSince, h.OnlineSinceKnown = now, true
			changed = append(changed, *h)
		}
	}
	for _, d := range c.processes {
		d.UpdateEndpoints(now, ListChanges, changed)
	}
}

// drain takes what a process sends out, and has it answered after its work.
func (c *slowStartRun) drain(i int, now float64) {
	r := c.wires[i]
	for ; len(r.forwards) > 0; r.forwards = r.forwards[1:] {
		f := r.forwards[0]
		number := c.numbers[i][f.RequestID]
		c.numbers[i][f.RequestID]++
		note, id := CacheHit, f.Host
		if c.parents > 0 {
			note, id = Filled, f.Source
		}
		if now >= warmingStart {
			c.sends[id] = append(c.sends[id], now)
			c.since[i][id] = now
		}
		took := warmingWork * (0.5 + c.random.Float64())
		if c.silent && f.Host == c.hosts[hostCount-1].ID && now > warmingStart+3 {
			continue
		}
		at := int((now + took) / stepSpan)
		c.due[at] = append(c.due[at], slowStartEvent{i, AttemptResult{RequestID: f.RequestID, Attempt: number, Outcome: Succeeded, Note: note, Elapsed: took, Final: true}, c.lives[i]})
	}
	r.cancelled, r.shed, r.errored, r.calls = nil, nil, nil, nil
}

// fault has one that is put in: a process that sent a cold host nothing in a window takes it for warm.
func (c *slowStartRun) fault(i int, now float64) (warm []*host) {
	if !c.roundUp || now < warmingStart {
		return nil
	}
	for _, e := range c.hosts[:c.cold] {
		if h := c.processes[i].endpoints.byID[e.ID]; h.warmUp.active && now >= c.since[i][e.ID]+1 {
			h.warmUp.active = false
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
func (c *slowStartRun) bears(at float64, kind int) float64 {
	from, ramp := 0.2, 10.0
	if kind == 1 {
		from, ramp = 0.1, 20.0
	}
	return (from + (1-from)*math.Min(1, (at-warmingStart)/ramp)) * 2 * c.weight() / warmingWork
}

// falls is the cold hosts that were sent more in a sliding window than the rule bears, by the settings alone, and the largest part
// of that which any was sent.
func (c *slowStartRun) falls() (falls int, most float64) {
	for _, h := range c.hosts {
		if h.OnlineSince != warmingStart {
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
	case now < warmingStart:
		return 1
	case now < warmingStart+4:
		return 0.02
	}
	return 4
}

func burst(now float64) float64 {
	if now > warmingStart+1 && now < warmingStart+3 {
		return 4
	}
	return 1
}

// burstTwice has all processes look at the cold host before a quiet stretch.
func burstTwice(now float64) float64 {
	switch {
	case now < warmingStart+2:
		return 4
	case now < warmingStart+6:
		return 0.02
	}
	return 4
}
