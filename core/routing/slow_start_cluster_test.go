package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	meanWork     = 0.1  // s; mean sending time of a request
	warmingStart = 12.0 // s; when hosts start their slow start, and all processes are notified of it
	warmingEnd   = 22.0 // s; when their slow start is over
	stepSpan     = 0.005
	hostCount    = 8
	baseLoad     = 0.5 // share of the capacity of all caches that is requested under normal load
)

// slowStartScenario is a cluster of processes that know nothing of one another, and hosts in slow start.
type slowStartScenario struct {
	name            string
	processes       int
	initialRequests float64               // requests of mean work that a host sustains in a window at first
	weightsKnown    bool                  // the processes know the weights of hosts
	warmingCaches   int                   // caches in slow start
	warmingParents  int                   // parents in slow start
	load            func(float64) float64 // multiple of the normal load at a time; nil for 1
	restarts        bool                  // a tenth of the processes restarts each half second from warmingStart on
	silentCache     bool                  // a warm cache never responds from 3 s after warmingStart on
	drainAfter      float64               // s after warmingStart when all caches but those in slow start drain; 0 for never
	noHistory       bool                  // processes have had no response from warm hosts before warmingStart
	sendAtLeastOne  bool                  // an injected fault: each process sends at least one request in each window
	countError      float64               // multiple of the number of processes that each is configured with; 0 for 1
}

// configuredProcesses is the number of processes that each is configured with.
func (s slowStartScenario) configuredProcesses() int {
	if s.countError == 0 {
		return s.processes
	}
	return max(1, int(float64(s.processes)*s.countError))
}

// slowStartEvent is the result of an attempt of a process that may have restarted since.
type slowStartEvent struct {
	process     int
	result      AttemptResult
	incarnation int
}

// simulatedProcess is one process with its router.
type simulatedProcess struct {
	*Router
	rec         *recorder
	incarnation int
	attempts    map[uint32]int     // sent so far, by request
	lastSent    map[uint32]float64 // s; when it last sent to a host in slow start, for sendAtLeastOne
	share       float64            // of the requests, relative to those of other processes
}

// slowStartRun runs a slowStartScenario on a seed and records when each host in slow start was sent an attempt.
type slowStartRun struct {
	slowStartScenario
	random    *rand.Rand
	processes []simulatedProcess
	shareSum  float64
	due       map[int][]slowStartEvent
	hosts     []Endpoint
	sends     map[uint32][]float64 // s; by host
	seed      uint64
	lastID    uint32
}

func newSlowStartRun(scenario slowStartScenario, seed uint64) *slowStartRun {
	run := &slowStartRun{
		slowStartScenario: scenario,
		random:            rand.New(rand.NewPCG(seed, 1)),
		processes:         make([]simulatedProcess, scenario.processes),
		due:               map[int][]slowStartEvent{},
		sends:             map[uint32][]float64{},
		seed:              seed,
	}
	for i := range hostCount {
		run.hosts = append(run.hosts, endpoint(uint32(100+i), 0, Ready))
	}
	run.hosts = append(run.hosts, endpoint(parentA, 1, Ready), endpoint(parentB, 1, Ready), endpoint(origin, 2, Ready))
	for i := range run.hosts {
		run.hosts[i].Weight = run.weight()
	}
	for i := range run.processes { // from nearly none to several times the mean
		run.processes[i].share = math.Exp(1.2 * run.random.NormFloat64())
		run.shareSum += run.processes[i].share
	}
	for i := range run.processes {
		run.start(i, 0)
	}
	return run
}

func runSlowStart(scenario slowStartScenario, seed uint64) *slowStartRun {
	run := newSlowStartRun(scenario, seed)
	for step := 0; float64(step)*stepSpan < warmingEnd; step++ {
		now := float64(step) * stepSpan
		run.updateEndpoints(step, now)
		load := run.loadAt(now)
		for i := range run.processes {
			if run.restarts && run.processes[i].incarnation == 0 && now >= run.restartAt(i) {
				run.processes[i].incarnation = 1
				run.start(i, now)
			}
			run.runTimer(i, step, now)
			run.submitRequests(i, now, load)
		}
		run.returnResults(step, now)
	}
	return run
}

// weight is the capacity of a cache, in seconds of sending time per second.
func (run *slowStartRun) weight() float64 { return run.initialRequests * meanWork / (0.2 * 2 * 1) }

// loadAt is the multiple of the normal load at a time.
func (run *slowStartRun) loadAt(now float64) float64 {
	load := 1.0
	if run.load != nil {
		load = run.load(now)
	}
	if !run.weightsKnown { // no warm host returns more than its capacity, and that is all that is known of hosts
		load = math.Min(load, 1/baseLoad)
	}
	if run.noHistory && now < warmingStart {
		load = 0
	}
	return load
}

// start starts or restarts a process.
func (run *slowStartRun) start(i int, now float64) {
	p := &run.processes[i]
	settings := testSettings()
	settings.Index, settings.Dispatchers = i, run.configuredProcesses()
	settings.DispatchersByZone = []int{run.configuredProcesses()}
	settings.Seed = run.seed*1e6 + uint64(i) + uint64(p.incarnation)*1e4
	settings.WeightsKnown = run.weightsKnown
	settings.Services[0].Objective = 1
	p.rec = &recorder{}
	p.Router = New(settings, 0, p.rec)
	p.attempts, p.lastSent = map[uint32]int{}, map[uint32]float64{}
	p.UpdateEndpoints(now-run.startedAt(i), ListCached, run.endpointsFor(i))
}

// startedAt is when a process started; its clock starts then.
func (run *slowStartRun) startedAt(i int) float64 {
	if run.processes[i].incarnation == 0 {
		return 0
	}
	return run.restartAt(i)
}

func (run *slowStartRun) restartAt(i int) float64 { return warmingStart + 0.5*float64(1+i%10) }

// endpointsFor is the endpoint list on the clock of a process.
func (run *slowStartRun) endpointsFor(i int) []Endpoint {
	hosts := slices.Clone(run.hosts)
	for j := range hosts {
		hosts[j].OnlineSince -= run.startedAt(i)
	}
	return hosts
}

// updateEndpoints notifies all processes of the hosts that drain, or start their slow start, in a step.
func (run *slowStartRun) updateEndpoints(step int, now float64) {
	if run.drainAfter > 0 && step == int((warmingStart+run.drainAfter)/stepSpan) {
		for i := run.warmingCaches; i < hostCount; i++ {
			run.hosts[i].Phase = Draining
		}
		for i, p := range run.processes {
			p.UpdateEndpoints(now-run.startedAt(i), ListChanges, run.endpointsFor(i))
		}
	}
	if step != int(warmingStart/stepSpan) {
		return
	}
	var changed []Endpoint
	for i := range run.hosts {
		if h := &run.hosts[i]; run.startsWarming(i) {
			h.OnlineSince, h.OnlineSinceKnown = now, true
			changed = append(changed, *h)
		}
	}
	for _, p := range run.processes {
		p.UpdateEndpoints(now, ListChanges, changed)
	}
}

// startsWarming reports whether a host starts its slow start at warmingStart.
func (run *slowStartRun) startsWarming(i int) bool {
	switch run.hosts[i].Kind {
	case 0:
		return i < run.warmingCaches
	case 1:
		return i-hostCount < run.warmingParents
	}
	return false
}

// runTimer runs the timer of a process in one step of ten.
func (run *slowStartRun) runTimer(i, step int, now float64) {
	if (step+i)%10 == 0 {
		runTimer(run.processes[i].Router, now-run.startedAt(i))
		run.flush(i, now)
	}
}

// submitRequests submits the requests that come to a process in a step.
func (run *slowStartRun) submitRequests(i int, now, load float64) {
	p := &run.processes[i]
	rate := baseLoad * run.weight() / meanWork * hostCount // requests per second of the cluster under normal load
	for range poisson(run.random, rate*load*stepSpan*p.share/run.shareSum) {
		run.lastID++
		markedWarm := run.injectFault(i, now)
		submit(p.Router, now-run.startedAt(i), run.lastID, fmt.Sprint("o", run.random.IntN(3000)))
		run.flush(i, now)
		for _, h := range markedWarm {
			h.warmUp.active = true
		}
	}
}

// returnResults returns the results that are due in a step to processes that have not restarted since.
func (run *slowStartRun) returnResults(step int, now float64) {
	for _, event := range run.due[step] {
		p := &run.processes[event.process]
		if event.incarnation != p.incarnation {
			continue
		}
		ownNow := now - run.startedAt(event.process)
		p.HandleResult(ownNow, event.result)
		p.RunRetries(ownNow)
		run.flush(event.process, now)
	}
	delete(run.due, step)
}

// flush takes the attempts that a process sends, and schedules their results.
func (run *slowStartRun) flush(i int, now float64) {
	rec := run.processes[i].rec
	for ; len(rec.attempts) > 0; rec.attempts = rec.attempts[1:] {
		run.serve(i, rec.attempts[0], now)
	}
	rec.cancelled, rec.shed, rec.failed, rec.events = nil, nil, nil, nil
}

// serve records an attempt and schedules its result.
func (run *slowStartRun) serve(i int, a Attempt, now float64) {
	p := &run.processes[i]
	number := p.attempts[a.RequestID]
	p.attempts[a.RequestID]++
	note, host := CacheHit, a.Host
	if run.warmingParents > 0 {
		note, host = Filled, a.Source
	}
	if now >= warmingStart {
		run.sends[host] = append(run.sends[host], now)
		p.lastSent[host] = now
	}
	elapsed := meanWork * (0.5 + run.random.Float64())
	if run.silentCache && a.Host == run.hosts[hostCount-1].ID && now > warmingStart+3 {
		return
	}
	step := int((now + elapsed) / stepSpan)
	run.due[step] = append(run.due[step], slowStartEvent{
		process:     i,
		incarnation: p.incarnation,
		result: AttemptResult{
			RequestID: a.RequestID, Attempt: number, Outcome: Succeeded, Note: note, Elapsed: elapsed, Final: true,
		},
	})
}

// injectFault has a process that sent nothing to a host in slow start for a window take that host for warm. It returns the
// hosts that were marked so.
func (run *slowStartRun) injectFault(i int, now float64) (markedWarm []*host) {
	if !run.sendAtLeastOne || now < warmingStart {
		return nil
	}
	p := &run.processes[i]
	for _, e := range run.hosts[:run.warmingCaches] {
		if h := p.endpoints.byID[e.ID]; h.warmUp.active && now >= p.lastSent[e.ID]+1 {
			h.warmUp.active = false
			markedWarm = append(markedWarm, h)
		}
	}
	return markedWarm
}

// poisson draws from a Poisson distribution.
func poisson(random *rand.Rand, mean float64) (n int) {
	for p := random.Float64(); p > math.Exp(-mean); n++ {
		p *= random.Float64()
	}
	return n
}

// sustainable is how many requests of mean work a host in slow start sustains in a window, by the settings.
func (run *slowStartRun) sustainable(at float64, kind int) float64 {
	initial, ramp := 0.2, 10.0
	if kind == 1 {
		initial, ramp = 0.1, 20.0
	}
	return (initial + (1-initial)*math.Min(1, (at-warmingStart)/ramp)) * 2 * run.weight() / meanWork
}

// overloads returns how many hosts in slow start were sent more in a sliding window than the rule allows, by the settings
// alone, and the largest share of what it allows that any was sent.
func (run *slowStartRun) overloads() (overloaded int, worst float64) {
	for _, h := range run.hosts {
		if h.OnlineSince != warmingStart {
			continue
		}
		share := run.worstWindow(h)
		if worst = math.Max(worst, share); share > 1 {
			overloaded++
		}
	}
	return overloaded, worst
}

// worstWindow is the largest share of what the rule allows that a host was sent in a window.
func (run *slowStartRun) worstWindow(h Endpoint) (worst float64) {
	sends, first := run.sends[h.ID], 0
	for last, at := range sends {
		for sends[first] <= at-1 {
			first++
		}
		n := run.sustainable(at, h.Kind)
		worst = math.Max(worst, float64(last-first+1)/(n+2*math.Sqrt(n)+2))
	}
	return worst
}

// quietThenBurst is four seconds of hardly any load after warmingStart, and a burst after them.
func quietThenBurst(now float64) float64 {
	switch {
	case now < warmingStart:
		return 1
	case now < warmingStart+4:
		return 0.02
	}
	return 4
}

// burst is a burst of two seconds, one second after warmingStart.
func burst(now float64) float64 {
	if now > warmingStart+1 && now < warmingStart+3 {
		return 4
	}
	return 1
}

// twoBursts has all processes see requests for hosts in slow start before a quiet stretch.
func twoBursts(now float64) float64 {
	switch {
	case now < warmingStart+2:
		return 4
	case now < warmingStart+6:
		return 0.02
	}
	return 4
}
