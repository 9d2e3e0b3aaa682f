package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// What a cold host bears in these tests, as the settings tell it.
const (
	meanWork     = 0.1  // s; mean sending time of a GET
	warmingStart = 12.0 // s; when the cold hosts start, and all processes are told so
	warmingEnd   = 22.0 // s; when they are warm
	stepSpan     = 0.005
	hostCount    = 8
	baseLoad     = 0.5 // share of a host's capacity that it is asked for on a quiet day
)

// slowStartScenario is a fleet of processes that know nothing of one another, before hosts that start cold.
type slowStartScenario struct {
	name            string
	processes       int
	initialRequests float64               // GETs of mean work that a cold host bears in a window right after its start
	weightsKnown    bool                  // weights are
	warmingCaches   int                   // caches that start cold
	warmingParents  int                   // parents that do
	load            func(float64) float64 // multiple of the quiet day's GETs at a time; nil for 1
	restarts        bool                  // a tenth of the processes restarts each half second from the start of the cold hosts on
	silentCache     bool                  // a warm cache falls silent 3 s after that
	drainAfter      float64               // s after that, all caches but the cold ones drain; 0 for never
	noHistory       bool                  // processes have had no answer from warm hosts before
	sendAtLeastOne  bool                  // put in: each process sends at least one GET in each window
	countError      float64               // multiple of the processes that each is told there are; 0 for 1
}

// announcedProcesses is how many processes each is told there are.
func (c slowStartScenario) announcedProcesses() int {
	if c.countError == 0 {
		return c.processes
	}
	return max(1, int(float64(c.processes)*c.countError))
}

// slowStartEvent is what falls due in a slowStartDay.
type slowStartEvent struct {
	process     int
	result      AttemptResult
	incarnation int
}

// slowStartRun plays a slowStartDay on a seed and gives when each cold host was sent a GET.
type slowStartRun struct {
	slowStartScenario
	random       *rand.Rand
	processes    []*Router
	recorders    []*recorder
	incarnations []int
	attempts     []map[uint32]int
	lastSent     []map[uint32]float64 // of the fault that is put in
	due          map[int][]slowStartEvent
	hosts        []Endpoint
	sends        map[uint32][]float64
	seed         uint64
	id           uint32
}

// weight is the capacity of a cache in seconds of sending time a second.
func (c *slowStartRun) weight() float64 { return c.initialRequests * meanWork / (0.2 * 2 * 1) }

func (c *slowStartRun) start(i int, now float64) {
	s := testSettings()
	s.Index, s.Dispatchers, s.DispatchersByZone, s.Seed, s.WeightsKnown = i, c.announcedProcesses(), []int{c.announcedProcesses()}, c.seed*1e6+uint64(i)+uint64(c.incarnations[i])*1e4, c.weightsKnown
	s.Services[0].Objective = 1
	c.recorders[i] = &recorder{}
	c.processes[i] = New(s, 0, c.recorders[i])
	c.attempts[i], c.lastSent[i] = map[uint32]int{}, map[uint32]float64{}
	c.processes[i].UpdateEndpoints(now-c.startedAt(i, now), ListCached, c.endpointsFor(i, now))
}

// startedAt is when a process started; its clock starts there.
func (c *slowStartRun) startedAt(i int, now float64) float64 {
	if c.incarnations[i] == 0 {
		return 0
	}
	return c.restartAt(i)
}

func (c *slowStartRun) restartAt(i int) float64 { return warmingStart + 0.5*float64(1+i%10) }

// endpointsFor is the list on the clock of a process.
func (c *slowStartRun) endpointsFor(i int, now float64) []Endpoint {
	hosts := slices.Clone(c.hosts)
	for j := range hosts {
		hosts[j].OnlineSince -= c.startedAt(i, now)
	}
	return hosts
}

func runSlowStart(day slowStartScenario, seed uint64) *slowStartRun {
	c := &slowStartRun{
		slowStartScenario: day, random: rand.New(rand.NewPCG(seed, 1)), seed: seed, due: map[int][]slowStartEvent{}, sends: map[uint32][]float64{},
		processes: make([]*Router, day.processes), recorders: make([]*recorder, day.processes), incarnations: make([]int, day.processes),
		attempts: make([]map[uint32]int, day.processes), lastSent: make([]map[uint32]float64, day.processes),
	}
	for i := range hostCount {
		c.hosts = append(c.hosts, endpoint(uint32(100+i), 0, Ready))
	}
	c.hosts = append(c.hosts, endpoint(parentA, 1, Ready), endpoint(parentB, 1, Ready), endpoint(origin, 2, Ready))
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
	rate := baseLoad * c.weight() / meanWork * hostCount // GETs a second of the fleet
	for step := 0; float64(step)*stepSpan < warmingEnd; step++ {
		now := float64(step) * stepSpan
		c.updateEndpoints(step, now)
		load := 1.0
		if c.load != nil {
			load = c.load(now)
		}
		if !c.weightsKnown { // no warm host returns more than it bears, and that is all that is known of them
			load = math.Min(load, 1/baseLoad)
		}
		if c.noHistory && now < warmingStart {
			load = 0
		}
		for i, r := range c.processes {
			if c.restarts && c.incarnations[i] == 0 && now >= c.restartAt(i) {
				c.incarnations[i] = 1
				c.start(i, now)
				r = c.processes[i]
			}
			own := now - c.startedAt(i, now)
			if (step+i)%10 == 0 {
				runTimer(r, own)
				c.flush(i, now)
			}
			for range poisson(c.random, rate*load*stepSpan*share[i]/sum) {
				c.id++
				warm := c.injectFault(i, now)
				submit(r, own, c.id, fmt.Sprint("o", c.random.IntN(3000)))
				c.flush(i, now)
				for _, h := range warm {
					h.warmUp.active = true
				}
			}
		}
		for _, e := range c.due[step] {
			if r := c.processes[e.process]; e.incarnation == c.incarnations[e.process] {
				r.HandleResult(now-c.startedAt(e.process, now), e.result)
				r.RunRetries(now - c.startedAt(e.process, now))
				c.flush(e.process, now)
			}
		}
		delete(c.due, step)
	}
	return c
}

// updateEndpoints tells all processes of the cold hosts at their start.
func (c *slowStartRun) updateEndpoints(step int, now float64) {
	var changed []Endpoint
	if c.drainAfter > 0 && step == int((warmingStart+c.drainAfter)/stepSpan) {
		for i := c.warmingCaches; i < hostCount; i++ {
			c.hosts[i].Phase = Draining
		}
		for i, r := range c.processes {
			r.UpdateEndpoints(now-c.startedAt(i, now), ListChanges, c.endpointsFor(i, now))
		}
	}
	if step != int(warmingStart/stepSpan) {
		return
	}
	for i := range c.hosts {
		if h := &c.hosts[i]; h.Kind == 0 && i < c.warmingCaches || h.Kind == 1 && i-hostCount < c.warmingParents {
			h.OnlineSince, h.OnlineSinceKnown = now, true
			changed = append(changed, *h)
		}
	}
	for _, r := range c.processes {
		r.UpdateEndpoints(now, ListChanges, changed)
	}
}

// flush takes what a process sends out, and has it answered after its work.
func (c *slowStartRun) flush(i int, now float64) {
	rec := c.recorders[i]
	for ; len(rec.attempts) > 0; rec.attempts = rec.attempts[1:] {
		a := rec.attempts[0]
		number := c.attempts[i][a.RequestID]
		c.attempts[i][a.RequestID]++
		note, id := CacheHit, a.Host
		if c.warmingParents > 0 {
			note, id = Filled, a.Source
		}
		if now >= warmingStart {
			c.sends[id] = append(c.sends[id], now)
			c.lastSent[i][id] = now
		}
		took := meanWork * (0.5 + c.random.Float64())
		if c.silentCache && a.Host == c.hosts[hostCount-1].ID && now > warmingStart+3 {
			continue
		}
		at := int((now + took) / stepSpan)
		c.due[at] = append(c.due[at], slowStartEvent{i, AttemptResult{RequestID: a.RequestID, Attempt: number, Outcome: Succeeded, Note: note, Elapsed: took, Final: true}, c.incarnations[i]})
	}
	rec.cancelled, rec.shed, rec.failed, rec.events = nil, nil, nil, nil
}

// injectFault has one that is put in: a process that sent a cold host nothing in a window takes it for warm.
func (c *slowStartRun) injectFault(i int, now float64) (warm []*host) {
	if !c.sendAtLeastOne || now < warmingStart {
		return nil
	}
	for _, e := range c.hosts[:c.warmingCaches] {
		if h := c.processes[i].endpoints.byID[e.ID]; h.warmUp.active && now >= c.lastSent[i][e.ID]+1 {
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

// sustainable is the GETs of mean work that a cold host bears in a window, by the settings.
func (c *slowStartRun) sustainable(at float64, kind int) float64 {
	from, ramp := 0.2, 10.0
	if kind == 1 {
		from, ramp = 0.1, 20.0
	}
	return (from + (1-from)*math.Min(1, (at-warmingStart)/ramp)) * 2 * c.weight() / meanWork
}

// overloads is the cold hosts that were sent more in a sliding window than the rule bears, by the settings alone, and the largest part
// of that which any was sent.
func (c *slowStartRun) overloads() (falls int, most float64) {
	for _, h := range c.hosts {
		if h.OnlineSince != warmingStart {
			continue
		}
		first, fell := 0, 0
		for j, at := range c.sends[h.ID] {
			for c.sends[h.ID][first] <= at-1 {
				first++
			}
			n := c.sustainable(at, h.Kind)
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

// twoBursts has all processes look at the cold host before a quiet stretch.
func twoBursts(now float64) float64 {
	switch {
	case now < warmingStart+2:
		return 4
	case now < warmingStart+6:
		return 0.02
	}
	return 4
}
