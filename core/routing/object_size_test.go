package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// sizeClass is a class of objects of one size.
type sizeClass struct {
	share float64 // of the requests
	work  float64 // s; sending time of one
}

// sizeClasses are such that the largest tenth takes six times the mean and makes up half of the work.
var sizeClasses = [...]sizeClass{{0.7, 0.03}, {0.2, 0.2}, {0.1, 1}}

const (
	meanSendingTime = 0.161 // s; over sizeClasses
	sizeStep        = 0.01  // s
	sizeHosts       = 6
	slotsPerHost    = 4
	sizeObjects     = 2000
	countFrom       = 10 // s; requests before it are not counted
	submitUntil     = 40 // s
	sizeRunEnd      = submitUntil + 5
)

// sizeScenario is a load of objects of several sizes.
type sizeScenario struct {
	processes  int
	load       float64 // multiple of the capacity of all hosts
	note       Note
	abortLarge bool // an injected fault: hosts abort what takes more than three times the mean
	seed       uint64
}

// sizeRun has processes send to hosts of a few slots each, which serve requests in order; a request
// occupies its slot to the end.
type sizeRun struct {
	sizeScenario
	random       *rand.Rand
	recorders    []*recorder
	routers      []*Router
	attempts     map[uint32]int // sent so far, by request
	classOf      map[uint32]int // index into sizeClasses, by request
	lastID       uint32
	firstCounted uint32               // the first request that is counted
	freeAt       map[uint32][]float64 // s; when each slot of a host is free
	inFlight     map[string]bool      // by attemptKey
	due          map[int][]AttemptResult
	requested    [len(sizeClasses)]float64 // by class
	answered     [len(sizeClasses)]float64 // by class
}

func newSizeRun(scenario sizeScenario) *sizeRun {
	run := &sizeRun{
		sizeScenario: scenario,
		random:       rand.New(rand.NewPCG(scenario.seed, 2)),
		attempts:     map[uint32]int{},
		classOf:      map[uint32]int{},
		firstCounted: math.MaxUint32,
		freeAt:       map[uint32][]float64{},
		inFlight:     map[string]bool{},
		due:          map[int][]AttemptResult{},
	}
	var endpoints []Endpoint
	for i := range sizeHosts {
		id := uint32(100 + i)
		endpoints = append(endpoints, endpoint(id, 0, Ready))
		run.freeAt[id] = make([]float64, slotsPerHost)
	}
	endpoints = append(endpoints, endpoint(parentA, 1, Ready), endpoint(parentB, 1, Ready), endpoint(origin, 2, Ready))
	for i := range run.processes {
		run.startProcess(i, endpoints)
	}
	return run
}

func (run *sizeRun) startProcess(i int, endpoints []Endpoint) {
	settings := testSettings()
	settings.Index, settings.Dispatchers = i, run.processes
	settings.DispatchersByZone = []int{run.processes}
	settings.Seed = run.seed*1000 + uint64(i)
	rec := &recorder{}
	r := New(settings, 0, rec)
	r.UpdateEndpoints(0, ListCached, endpoints)
	run.recorders, run.routers = append(run.recorders, rec), append(run.routers, r)
}

// runSizes returns the share of the requests of each class that is answered, and that of all requests.
func runSizes(scenario sizeScenario) (shares [len(sizeClasses)]float64, all float64) {
	run := newSizeRun(scenario)
	for step := 0; float64(step)*sizeStep < sizeRunEnd; step++ {
		now := float64(step) * sizeStep
		run.runTimers(now)
		run.returnResults(step, now)
		if now < submitUntil {
			run.submitRequests(now)
		}
	}
	for class := range shares {
		shares[class] = run.answered[class] / run.requested[class]
		all += run.answered[class] / (run.requested[0] + run.requested[1] + run.requested[2])
	}
	return shares, all
}

func (run *sizeRun) runTimers(now float64) {
	for i, r := range run.routers {
		runTimer(r, now)
		run.flush(i, now)
	}
}

// returnResults returns the results that are due in a step, but for those of attempts that were cancelled.
func (run *sizeRun) returnResults(step int, now float64) {
	for _, result := range run.due[step] {
		key := attemptKey(result.RequestID, result.Attempt)
		if !run.inFlight[key] {
			continue
		}
		delete(run.inFlight, key)
		if result.Outcome == Succeeded && result.RequestID >= run.firstCounted {
			run.answered[run.classOf[result.RequestID]]++
		}
		process := int(result.RequestID) % run.processes
		run.handleResult(process, now, result)
		run.flush(process, now)
	}
	delete(run.due, step)
}

// submitRequests submits the requests of one step.
func (run *sizeRun) submitRequests(now float64) {
	for range poisson(run.random, run.load*sizeHosts*slotsPerHost/meanSendingTime*sizeStep) {
		run.lastID++
		id := run.lastID
		class, object := run.drawObject()
		run.classOf[id] = class
		if now >= countFrom {
			run.requested[class]++
			run.firstCounted = min(run.firstCounted, id)
		}
		process := int(id) % run.processes
		submit(run.routers[process], now, id, fmt.Sprint(class, object))
		run.flush(process, now)
	}
}

// drawObject draws an object: its class, and its number there, which is below 0.
func (run *sizeRun) drawObject() (class, object int) {
	object = run.random.IntN(sizeObjects)
	class = slices.IndexFunc(sizeClasses[:], func(c sizeClass) bool {
		object -= int(c.share * sizeObjects)
		return object < 0
	})
	return class, object
}

// flush has hosts take what a process sends, and abort what it cancels.
func (run *sizeRun) flush(process int, now float64) {
	rec := run.recorders[process]
	for len(rec.attempts)+len(rec.cancelled) > 0 {
		attempts, cancelled := rec.attempts, rec.cancelled
		rec.attempts, rec.cancelled = nil, nil
		for _, a := range attempts {
			run.serve(a, now)
		}
		for _, key := range cancelled {
			run.cancel(process, key, now)
		}
	}
}

// serve puts an attempt into the slot of its host that is free first.
func (run *sizeRun) serve(a Attempt, now float64) {
	number := run.attempts[a.RequestID]
	run.attempts[a.RequestID]++
	work, outcome := sizeClasses[run.classOf[a.RequestID]].work, Succeeded
	if run.abortLarge && work > 3*meanSendingTime {
		work, outcome = 3*meanSendingTime, TimedOut
	}
	slots := run.freeAt[a.Host]
	slot := slices.Index(slots, slices.Min(slots))
	slots[slot] = max(slots[slot], now) + work
	elapsed := slots[slot] - now
	run.inFlight[attemptKey(a.RequestID, number)] = true
	step := int((now+elapsed)/sizeStep) + 1
	run.due[step] = append(run.due[step], AttemptResult{
		RequestID: a.RequestID, Attempt: number, Outcome: outcome, Note: run.note,
		Elapsed: elapsed, SizeKB: work * 1000, Final: outcome == Succeeded,
	})
}

// cancel returns the result of an attempt in flight as canceled.
func (run *sizeRun) cancel(process int, key string, now float64) {
	if !run.inFlight[key] {
		return
	}
	delete(run.inFlight, key)
	result := AttemptResult{Outcome: Canceled, Elapsed: 1}
	_, _ = fmt.Sscanf(key, "%d/%d", &result.RequestID, &result.Attempt)
	run.handleResult(process, now, result)
}

func (run *sizeRun) handleResult(process int, now float64, result AttemptResult) {
	run.routers[process].HandleResult(now, result)
	run.routers[process].RunRetries(now)
}

// attemptKey names an attempt as recorder.Cancel does.
func attemptKey(requestID uint32, attempt int) string { return fmt.Sprint(requestID, "/", attempt) }

// Of the largest tenth of the requests, and of the next fifth, the share that is answered is at least two thirds of that of all
// requests at low load, and half of it under a load at which limits shed.
func TestLargeObjectsGetTheirShare(t *testing.T) {
	for _, processes := range []int{3, 30, 300} {
		for load, least := range map[float64]float64{0.5: 2.0 / 3, 1.3: 0.5, 2.5: 0.5} {
			for _, note := range []Note{CacheHit, Filled} {
				name := fmt.Sprintf("%d processes, load %.1f, note %d", processes, load, note)
				shares, all := runSizes(sizeScenario{processes: processes, load: load, note: note, seed: 1})
				t.Logf("%s: answered %.3f, by size %.3f", name, all, shares)
				assert.GreaterOrEqual(t, shares[2], least*all, "%s: share answered of the largest tenth", name)
				assert.GreaterOrEqual(t, shares[1], least*all, "%s: share answered of the next fifth", name)
			}
		}
	}
}

// The check finds hosts that abort what takes more than three times the mean.
func TestLargeObjectsThatAreEndedEarlyAreFound(t *testing.T) {
	shares, all := runSizes(sizeScenario{processes: 3, load: 0.5, note: CacheHit, abortLarge: true, seed: 1})
	assert.Less(t, shares[2], 2.0/3*all, "the injected fault lowers the share of the largest tenth")
}
