package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

const (
	meanRequestWork     = 0.1   // seconds; mean sending time of a request
	slowStartBegin      = 12.0  // seconds; when hosts begin their slow start and all processes are notified of it
	slowStartRunEnd     = 22.0  // seconds; end of the run, when the slow start is over
	slowStartStepSpan   = 0.005 // seconds
	slowStartCacheCount = 8
	normalLoadShare     = 0.5 // share of the capacity of all caches that is requested under normal load
)

// slowStartScenario is a cluster of processes that do not communicate with one another, with hosts in slow
// start.
type slowStartScenario struct {
	name             string
	processes        int
	initialRequests  float64               // requests of mean work that a host sustains in a window at first
	weightsKnown     bool                  // the processes know the weights of hosts
	slowStartCaches  int                   // number of caches in slow start
	slowStartParents int                   // number of parents in slow start
	load             func(float64) float64 // multiple of the normal load at a time; nil means 1
	restarts         bool                  // every half second from slowStartBegin on, a tenth of the processes restarts
	silentCache      bool                  // from 3 s after slowStartBegin on, a warm cache never responds
	drainAfter       float64               // seconds after slowStartBegin when all other caches drain; 0 for never
	noHistory        bool                  // the processes have had no response from warm hosts before slowStartBegin
	sendAtLeastOne   bool                  // injected fault: each process sends at least one request in each window
	// size returns the kind of a cache and its capacity as a multiple of the usual one. If it is set, caches serve
	// no more than their capacity.
	size               func(cache int) (kind int, multiple float64)
	processCountFactor float64 // configured number of processes as a multiple of the real one; 0 means 1
}

// configuredProcesses returns the number of processes that each process is configured with.
func (s slowStartScenario) configuredProcesses() int {
	if s.processCountFactor == 0 {
		return s.processes
	}
	return max(1, int(float64(s.processes)*s.processCountFactor))
}

// slowStartResult is the result of an attempt of a process that may have restarted since it was sent.
type slowStartResult struct {
	process     int
	result      AttemptResult
	incarnation int
}

// simulatedProcess is one process with its router.
type simulatedProcess struct {
	*Router
	rec         *recorder
	incarnation int
	attempts    map[uint32]int     // number sent so far, by request ID
	lastSent    map[uint32]float64 // seconds; time of the last attempt sent to a host in slow start, for sendAtLeastOne
	share       float64            // share of the requests, relative to other processes
}

// slowStartRun runs a slowStartScenario with a seed, and records the times at which each host in slow start
// was sent an attempt.
type slowStartRun struct {
	slowStartScenario
	random     *rand.Rand
	processes  []simulatedProcess
	shareSum   float64
	resultsDue map[int][]slowStartResult // by number of the step
	hosts      []Endpoint
	sends      map[uint32][]float64 // seconds; by host ID
	backlogs   map[uint32]*backlog  // by host ID
	seed       uint64
	lastID     uint32
}

func newSlowStartRun(scenario slowStartScenario, seed uint64) *slowStartRun {
	run := &slowStartRun{
		slowStartScenario: scenario,
		random:            rand.New(rand.NewPCG(seed, 1)),
		processes:         make([]simulatedProcess, scenario.processes),
		resultsDue:        map[int][]slowStartResult{},
		sends:             map[uint32][]float64{},
		backlogs:          map[uint32]*backlog{},
		seed:              seed,
	}
	for i := range slowStartCacheCount {
		run.hosts = append(run.hosts, endpoint(uint32(100+i), 0, Ready))
	}
	run.hosts = append(run.hosts, endpoint(parentA, 1, Ready), endpoint(parentB, 1, Ready), endpoint(origin, 2, Ready))
	for i := range run.hosts {
		run.hosts[i].Weight = run.weight()
		if scenario.size != nil && i < slowStartCacheCount {
			kind, multiple := scenario.size(i)
			run.hosts[i].Kind, run.hosts[i].Weight = kind, multiple*run.weight()
			run.backlogs[run.hosts[i].ID] = &backlog{secondsPerRequest: meanRequestWork / run.hosts[i].Weight}
		}
	}
	for i := range run.processes { // shares range from nearly none to several times the mean
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
	for step := 0; float64(step)*slowStartStepSpan < slowStartRunEnd; step++ {
		now := float64(step) * slowStartStepSpan
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

// weight returns the capacity of a cache, in seconds of sending time per second.
func (run *slowStartRun) weight() float64 {
	return run.initialRequests * meanRequestWork / (0.2 * 2 * 1)
}

// loadAt returns the multiple of the normal load at a time.
func (run *slowStartRun) loadAt(now float64) float64 {
	load := 1.0
	if run.load != nil {
		load = run.load(now)
	}
	// No warm host returns more than its capacity, and without weights this is all that is known about hosts.
	if !run.weightsKnown && run.size == nil {
		load = math.Min(load, 1/normalLoadShare)
	}
	if run.noHistory && now < slowStartBegin {
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

// startedAt returns the time at which a process started, which is the zero of its own clock.
func (run *slowStartRun) startedAt(i int) float64 {
	if run.processes[i].incarnation == 0 {
		return 0
	}
	return run.restartAt(i)
}

func (run *slowStartRun) restartAt(i int) float64 { return slowStartBegin + 0.5*float64(1+i%10) }

// endpointsFor returns the endpoint list with times on the clock of a process.
func (run *slowStartRun) endpointsFor(i int) []Endpoint {
	hosts := slices.Clone(run.hosts)
	for j := range hosts {
		hosts[j].OnlineSince -= run.startedAt(i)
	}
	return hosts
}

// updateEndpoints notifies all processes of the hosts that begin to drain, or begin their slow start, in a
// step.
func (run *slowStartRun) updateEndpoints(step int, now float64) {
	if run.drainAfter > 0 && step == int((slowStartBegin+run.drainAfter)/slowStartStepSpan) {
		for i := run.slowStartCaches; i < slowStartCacheCount; i++ {
			run.hosts[i].Phase = Draining
		}
		for i, p := range run.processes {
			p.UpdateEndpoints(now-run.startedAt(i), ListChanges, run.endpointsFor(i))
		}
	}
	if step != int(slowStartBegin/slowStartStepSpan) {
		return
	}
	var changed []Endpoint
	for i := range run.hosts {
		if h := &run.hosts[i]; run.startsSlowStart(i) {
			h.OnlineSince, h.OnlineSinceKnown = now, true
			changed = append(changed, *h)
		}
	}
	for _, p := range run.processes {
		p.UpdateEndpoints(now, ListChanges, changed)
	}
}

// startsSlowStart reports whether a host begins its slow start at slowStartBegin.
func (run *slowStartRun) startsSlowStart(i int) bool {
	if i < slowStartCacheCount {
		return i < run.slowStartCaches
	}
	return run.hosts[i].Kind == 1 && i-slowStartCacheCount < run.slowStartParents
}

// runTimer triggers the timer of a process in every tenth step.
func (run *slowStartRun) runTimer(i, step int, now float64) {
	if (step+i)%10 == 0 {
		runTimer(run.processes[i].Router, now-run.startedAt(i))
		run.flush(i, now)
	}
}

// submitRequests submits the requests that arrive at a process in a step.
func (run *slowStartRun) submitRequests(i int, now, load float64) {
	p := &run.processes[i]
	// rate is the number of requests per second in the cluster under normal load.
	rate := normalLoadShare * run.weight() / meanRequestWork * slowStartCacheCount
	for range poisson(run.random, rate*load*slowStartStepSpan*p.share/run.shareSum) {
		run.lastID++
		markedWarm := run.injectFault(i, now)
		submit(p.Router, now-run.startedAt(i), run.lastID, fmt.Sprint("o", run.random.IntN(3000)))
		run.flush(i, now)
		for _, h := range markedWarm {
			h.warmUp.active = true
		}
	}
}

// returnResults returns the results that are due in a step, to processes that have not restarted since.
func (run *slowStartRun) returnResults(step int, now float64) {
	for _, event := range run.resultsDue[step] {
		p := &run.processes[event.process]
		if event.incarnation != p.incarnation {
			continue
		}
		ownNow := now - run.startedAt(event.process)
		p.HandleResult(ownNow, event.result)
		p.RunRetries(ownNow)
		run.flush(event.process, now)
	}
	delete(run.resultsDue, step)
}

// flush serves the attempts that a process has sent, and discards its other decisions.
func (run *slowStartRun) flush(i int, now float64) {
	rec := run.processes[i].rec
	for ; len(rec.attempts) > 0; rec.attempts = rec.attempts[1:] {
		run.serve(i, rec.attempts[0], now)
	}
	rec.cancelled, rec.shed, rec.failed, rec.events, rec.slowStarts = nil, nil, nil, nil, nil
}

// serve records an attempt and schedules its result.
func (run *slowStartRun) serve(i int, a Attempt, now float64) {
	p := &run.processes[i]
	number := p.attempts[a.RequestID]
	p.attempts[a.RequestID]++
	note, host := CacheHit, a.Host
	if run.slowStartParents > 0 {
		note, host = Filled, a.Source
	}
	if now >= slowStartBegin {
		run.sends[host] = append(run.sends[host], now)
		p.lastSent[host] = now
	}
	elapsed := meanRequestWork * (0.5 + run.random.Float64())
	if run.silentCache && a.Host == run.hosts[slowStartCacheCount-1].ID && now > slowStartBegin+3 {
		return
	}
	if b := run.backlogs[a.Host]; b != nil {
		elapsed = math.Max(elapsed, b.serve(now))
	}
	step := int((now + elapsed) / slowStartStepSpan)
	run.resultsDue[step] = append(run.resultsDue[step], slowStartResult{
		process:     i,
		incarnation: p.incarnation,
		result: AttemptResult{
			RequestID: a.RequestID, Attempt: number, Outcome: Succeeded, Note: note, Elapsed: elapsed, Final: true,
		},
	})
}

// backlog is the work that waits at a cache of limited capacity.
type backlog struct {
	secondsPerRequest float64
	until             float64 // seconds; when all that was sent is served
}

// serve adds a request and returns the time in seconds after which it is served.
func (b *backlog) serve(now float64) float64 {
	b.until = math.Max(b.until, now) + b.secondsPerRequest
	return b.until - now
}

// injectFault makes a process treat a host in slow start as warm if it has sent nothing to the host for a
// window. It returns the hosts that were marked as warm.
func (run *slowStartRun) injectFault(i int, now float64) (markedWarm []*host) {
	if !run.sendAtLeastOne || now < slowStartBegin {
		return nil
	}
	p := &run.processes[i]
	for _, e := range run.hosts[:run.slowStartCaches] {
		if h := p.endpoints.byID[e.ID]; h.warmUp.active && now >= p.lastSent[e.ID]+1 {
			h.warmUp.active = false
			markedWarm = append(markedWarm, h)
		}
	}
	return markedWarm
}

// poisson draws a number from a Poisson distribution.
func poisson(random *rand.Rand, mean float64) (n int) {
	for p := random.Float64(); p > math.Exp(-mean); n++ {
		p *= random.Float64()
	}
	return n
}

// sustainable returns the number of requests of mean work that a host in slow start sustains in a window,
// according to the settings.
func (run *slowStartRun) sustainable(at float64, h Endpoint) float64 {
	initial, ramp := 0.2, 10.0
	if h.Kind == 1 {
		initial, ramp = 0.1, 20.0
	}
	return (initial + (1-initial)*math.Min(1, (at-slowStartBegin)/ramp)) * 2 * h.Weight / meanRequestWork
}

// overloads returns how many hosts in slow start were sent more in a sliding window than the overload rule
// allows, and the highest share of the allowed number that any of them was sent. Only the settings enter into
// it, nothing that routers have learned.
func (run *slowStartRun) overloads() (overloaded int, worst float64) {
	for _, h := range run.hosts {
		if h.OnlineSince != slowStartBegin {
			continue
		}
		share := run.worstWindow(h)
		if worst = math.Max(worst, share); share > 1 {
			overloaded++
		}
	}
	return overloaded, worst
}

// worstWindow returns the highest share of what the overload rule allows that a host was sent in any window.
// The rule allows n + 2*sqrt(n) + 2 requests for a host that sustains n.
func (run *slowStartRun) worstWindow(h Endpoint) (worst float64) {
	sends, first := run.sends[h.ID], 0
	for last, at := range sends {
		for sends[first] <= at-1 {
			first++
		}
		n := run.sustainable(at, h)
		worst = math.Max(worst, float64(last-first+1)/(n+2*math.Sqrt(n)+2))
	}
	return worst
}

// quietThenBurst has hardly any load for four seconds after slowStartBegin, and then a burst.
func quietThenBurst(now float64) float64 {
	switch {
	case now < slowStartBegin:
		return 1
	case now < slowStartBegin+4:
		return 0.02
	}
	return 4
}

// burst has a burst of two seconds, beginning one second after slowStartBegin.
func burst(now float64) float64 {
	if now > slowStartBegin+1 && now < slowStartBegin+3 {
		return 4
	}
	return 1
}

// burstQuietBurst lets all processes see requests for hosts in slow start before a quiet period and a second
// burst.
func burstQuietBurst(now float64) float64 {
	switch {
	case now < slowStartBegin+2:
		return 4
	case now < slowStartBegin+6:
		return 0.02
	}
	return 4
}
