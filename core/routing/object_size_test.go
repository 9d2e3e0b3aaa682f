package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// sizeClass is a class of objects of the same size.
type sizeClass struct {
	share float64 // share of the requests
	work  float64 // seconds; sending time of one object
}

// sizeClasses are chosen so that the largest tenth of the requests takes six times the mean sending time, and
// makes up more than half of the work.
var sizeClasses = [...]sizeClass{{0.7, 0.03}, {0.2, 0.2}, {0.1, 1}}

const (
	meanSendingTime = 0.161 // seconds; mean over sizeClasses
	sizeStepSpan    = 0.01  // seconds
	sizeHostCount   = 6
	slotsPerHost    = 4
	sizeObjectCount = 2000
	countedFrom     = 10              // seconds; earlier requests are not counted
	submitUntil     = 40              // seconds
	sizeRunEnd      = submitUntil + 5 // seconds
)

// sizeScenario is a load with objects of several sizes.
type sizeScenario struct {
	processes  int
	load       float64 // multiple of the capacity of all hosts
	note       Note
	abortLarge bool // injected fault: hosts abort attempts that take more than three times the mean
	seed       uint64
}

// sizeRun simulates processes that send to hosts with a few slots each. A host serves requests in order, and
// a request occupies its slot until it ends.
type sizeRun struct {
	sizeScenario
	random       *rand.Rand
	recorders    []*recorder
	routers      []*Router
	attempts     map[uint32]int // number sent so far, by request ID
	classOf      map[uint32]int // index into sizeClasses, by request ID
	lastID       uint32
	firstCounted uint32                    // ID of the first request that is counted
	freeAt       map[uint32][]float64      // seconds; when each slot of a host becomes free
	inFlight     map[string]bool           // by attemptKey
	resultsDue   map[int][]AttemptResult   // by number of the step
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
		resultsDue:   map[int][]AttemptResult{},
	}
	var endpoints []Endpoint
	for i := range sizeHostCount {
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

// runSizes returns the share of the requests that were answered, for each class and for all requests
// together.
func runSizes(scenario sizeScenario) (shares [len(sizeClasses)]float64, all float64) {
	run := newSizeRun(scenario)
	for step := 0; float64(step)*sizeStepSpan < sizeRunEnd; step++ {
		now := float64(step) * sizeStepSpan
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

// returnResults returns the results that are due in a step, except those of canceled attempts.
func (run *sizeRun) returnResults(step int, now float64) {
	for _, result := range run.resultsDue[step] {
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
	delete(run.resultsDue, step)
}

// submitRequests submits the requests of one step.
func (run *sizeRun) submitRequests(now float64) {
	for range poisson(run.random, run.load*sizeHostCount*slotsPerHost/meanSendingTime*sizeStepSpan) {
		run.lastID++
		id := run.lastID
		class, object := run.drawObject()
		run.classOf[id] = class
		if now >= countedFrom {
			run.requested[class]++
			run.firstCounted = min(run.firstCounted, id)
		}
		process := int(id) % run.processes
		submit(run.routers[process], now, id, fmt.Sprint(class, object))
		run.flush(process, now)
	}
}

// drawObject draws an object: its class, and its number within that class, which is negative.
func (run *sizeRun) drawObject() (class, object int) {
	object = run.random.IntN(sizeObjectCount)
	class = slices.IndexFunc(sizeClasses[:], func(c sizeClass) bool {
		object -= int(c.share * sizeObjectCount)
		return object < 0
	})
	return class, object
}

// flush has hosts serve the attempts that a process sends, and abort those that it cancels.
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

// serve assigns an attempt to the slot of its host that becomes free first.
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
	step := int((now+elapsed)/sizeStepSpan) + 1
	run.resultsDue[step] = append(run.resultsDue[step], AttemptResult{
		RequestID: a.RequestID, Attempt: number, Outcome: outcome, Note: run.note,
		Elapsed: elapsed, SizeKB: work * 1000, Final: outcome == Succeeded,
	})
}

// cancel returns a canceled result for an attempt in flight.
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

// attemptKey identifies an attempt in the same format as recorder.Cancel.
func attemptKey(requestID uint32, attempt int) string { return fmt.Sprint(requestID, "/", attempt) }

// Guards against limits that reject mostly large objects. The answered shares of the largest tenth of the
// requests and of the next fifth must reach two thirds of the overall share under low load, and half of it
// under a load at which limits reject requests.
func TestLargeObjectsAreAnsweredAtFairShare(t *testing.T) {
	for _, processes := range []int{3, 30, 300} {
		for load, minRatio := range map[float64]float64{0.5: 2.0 / 3, 1.3: 0.5, 2.5: 0.5} {
			for _, note := range []Note{CacheHit, Filled} {
				name := fmt.Sprintf("%d processes, load %.1f, note %d", processes, load, note)
				shares, all := runSizes(sizeScenario{processes: processes, load: load, note: note, seed: 1})
				t.Logf("%s: answered %.3f, by size %.3f", name, all, shares)
				assert.GreaterOrEqual(t, shares[2], minRatio*all, "%s: share answered of the largest tenth", name)
				assert.GreaterOrEqual(t, shares[1], minRatio*all, "%s: share answered of the next fifth", name)
			}
		}
	}
}

// The check of the previous test detects hosts that abort attempts taking more than three times the mean.
func TestFairShareCheckDetectsAbortedLargeObjects(t *testing.T) {
	shares, all := runSizes(sizeScenario{processes: 3, load: 0.5, note: CacheHit, abortLarge: true, seed: 1})
	assert.Less(t, shares[2], 2.0/3*all, "the injected fault lowers the share of the largest tenth")
}
