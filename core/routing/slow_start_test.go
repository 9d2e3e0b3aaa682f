package routing

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
)

// What many processes that know nothing of one another send, together, to a host in slow start does not overload it.
func TestAWarmingHostBearsWhatAllSend(t *testing.T) {
	for _, scenario := range []slowStartScenario{
		{name: "weights known", warmingCaches: 1, weightsKnown: true},
		{name: "weights unknown", warmingCaches: 1},
		{name: "a quiet stretch and a burst", warmingCaches: 1, weightsKnown: true, load: quietThenBurst},
		{name: "restarts in a burst", warmingCaches: 1, weightsKnown: true, load: burst, restarts: true},
		{name: "half of the caches, and a burst", warmingCaches: 4, load: burst},
		{name: "a silent cache, retries", warmingCaches: 1, weightsKnown: true, silentCache: true},
		{name: "parents", warmingParents: 2, weightsKnown: true, load: burst},
		{name: "parents, weights unknown", warmingParents: 2, load: burst},
		{name: "no history", warmingCaches: hostCount, noHistory: true},
		{
			name:          "a quiet stretch, then all others drain under a burst",
			warmingCaches: 1, weightsKnown: true, load: twoBursts, drainAfter: 6,
		},
	} {
		for _, scenario.processes = range []int{3, 30, 300} {
			t.Run(fmt.Sprint(scenario.name, ", ", scenario.processes), func(t *testing.T) {
				scenario.initialRequests = 30
				overloaded, worst := runSlowStart(scenario, 1).overloads()
				assert.Zero(t, overloaded, "hosts overloaded")
				assert.Less(t, worst, 0.9, "share of what the rule allows, in the worst window")
			})
		}
	}
}

// The rule holds however few or many processes there are, and whatever a host sustains at first: one request in a window or a
// thousand. Processes restart in the middle, traffic is uneven, and some are configured with a wrong number of processes.
func TestTheRuleBindsForFewAndMany(t *testing.T) {
	scenarios := []slowStartScenario{
		{name: "burst", warmingCaches: 1, weightsKnown: true, load: burst},
		{name: "burst, weights unknown", warmingCaches: 1, load: burst},
		{name: "restarts", warmingCaches: 1, weightsKnown: true, load: burst, restarts: true},
		{name: "configured with twice as many", warmingCaches: 1, weightsKnown: true, load: burst, countError: 2},
		{name: "configured with half as many, weights unknown", warmingCaches: 1, load: burst, countError: 0.5},
		{name: "a quiet stretch, and all others drain", warmingCaches: 1, weightsKnown: true, load: twoBursts, drainAfter: 6},
	}
	for _, scenario := range scenarios {
		for _, scenario.processes = range []int{1, 2, 3, 30, 300, 900} {
			for _, scenario.initialRequests = range []float64{1, 5, 30, 200, 1000} {
				takesLong := scenario.processes > 300 || scenario.initialRequests > 30 // minutes, all of them together
				if takesLong && os.Getenv("ELDERWALL_COLD") == "" {
					continue
				}
				testNeverOverloads(t, scenario)
			}
		}
	}
}

// testNeverOverloads runs a scenario in parallel with others.
func testNeverOverloads(t *testing.T, scenario slowStartScenario) {
	name := fmt.Sprint(scenario.name, ", ", scenario.processes, " processes, N ", scenario.initialRequests)
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		overloaded, worst := runSlowStart(scenario, 1).overloads()
		assert.Zero(t, overloaded, "hosts overloaded")
		t.Logf("%.2f of what the rule allows, in the worst window", worst)
	})
}

// The worst window over a whole ramp, over many seeds: how far it is from an overload. Many seeds take minutes and are run by
// hand (docs/fleets.md has the figures).
func TestTheWorstWindowOfARamp(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("ELDERWALL_COLD_SEEDS"))
	for _, size := range []struct {
		processes       int
		initialRequests float64
	}{{1, 30}, {3, 30}, {30, 30}, {300, 5}, {300, 30}, {3, 1000}} {
		t.Run(fmt.Sprint(size.processes, " processes, N ", size.initialRequests), func(t *testing.T) {
			t.Parallel()
			var worst []float64
			for seed := range uint64(max(1, seeds)) {
				_, share := runSlowStart(slowStartScenario{
					processes: size.processes, initialRequests: size.initialRequests, warmingCaches: 1,
					weightsKnown: true, load: twoBursts, drainAfter: 6, restarts: true,
				}, seed+1).overloads()
				worst = append(worst, share)
			}
			mean, spread := meanAndDeviation(worst)
			chance := chanceOfOverload(mean, spread)
			t.Logf("%d runs: mean %.3f, spread %.3f, largest %.3f of what the rule allows; chance of an overload %.1e",
				len(worst), mean, spread, slices.Max(worst), chance)
			// Few processes save up credit and draw nothing: what each may send in a window is bounded by its share.
			assert.Less(t, slices.Max(worst), (1+savedShare)*slowStartShare)
			if seeds > 10 && size.processes >= 30 {
				assert.Less(t, chance, 1e-4, "chance of an overload")
			}
		})
	}
}

// meanAndDeviation is the mean and the standard deviation of values.
func meanAndDeviation(values []float64) (mean, deviation float64) {
	for _, x := range values {
		mean += x / float64(len(values))
	}
	variance := 0.0
	for _, x := range values {
		variance += (x - mean) * (x - mean) / float64(len(values))
	}
	return mean, math.Sqrt(variance)
}

// chanceOfOverload is the chance that the worst window of a run is over 1. The largest of many windows has a longer tail than a
// normal distribution: that of an extreme value (Gumbel) with the same mean and deviation.
func chanceOfOverload(mean, deviation float64) float64 {
	scale := math.Max(1e-9, deviation*math.Sqrt(6)/math.Pi)
	return 1 - math.Exp(-math.Exp(-(1-(mean-0.5772*scale))/scale))
}

// The check finds an injected fault: each process sends at least one request in a window.
func TestOneRequestByEachProcessIsTooMuch(t *testing.T) {
	for processes, initialRequests := range map[int]float64{30: 5, 300: 30} {
		scenario := slowStartScenario{
			processes: processes, initialRequests: initialRequests, warmingCaches: 1, weightsKnown: true,
			load: func(float64) float64 { return 4 }, drainAfter: 1,
		}
		overloaded, worst := runSlowStart(scenario, 1).overloads()
		assert.Zero(t, overloaded, "%d processes, %.2f of what the rule allows", processes, worst)
		scenario.sendAtLeastOne = true
		overloaded, worst = runSlowStart(scenario, 1).overloads()
		assert.Equal(t, 1, overloaded, "%d processes, %.2f of what the rule allows", processes, worst)
	}
}

// Under a burst that has each process see requests all the time, what all send has the configured mean, and a deviation of its
// square root at most.
func TestTheSumOfWhatAllSend(t *testing.T) {
	for _, processes := range []int{3, 30, 300} {
		var sent, sustainable []float64
		for seed := range uint64(4) {
			run := runSlowStart(slowStartScenario{
				processes: processes, initialRequests: 30, warmingCaches: 1, weightsKnown: true,
				load: twoBursts, drainAfter: 6,
			}, seed+1)
			for from := warmingStart + 6.0; from < warmingEnd; from++ {
				sent = append(sent, run.sentWithin(run.hosts[0].ID, from, from+1))
				sustainable = append(sustainable, run.sustainable(from+0.5, 0))
			}
		}
		mean, variance := 0.0, 0.0
		for i := range sent {
			mean += sent[i] / sustainable[i] / float64(len(sent))
		}
		for i := range sent {
			off := sent[i] - mean*sustainable[i]
			variance += off * off / sustainable[i] / float64(len(sent))
		}
		deviation := math.Sqrt(variance)
		t.Logf("%d processes: mean %.3f of what the host sustains, deviation %.2f of its root", processes, mean, deviation)
		assert.InDelta(t, 0.65, mean, 0.15, "%d processes: mean", processes)
		assert.Less(t, deviation, 1.0, "%d processes: deviation", processes)
	}
}

// sentWithin counts the attempts that a host was sent after one time, up to another.
func (run *slowStartRun) sentWithin(host uint32, from, to float64) (sent float64) {
	for _, at := range run.sends[host] {
		if at > from && at <= to {
			sent++
		}
	}
	return sent
}

// Where no overload window is configured, a host in slow start is sent something all the same, however many routers there are.
func TestAWarmingHostWithNoOverloadWindowIsNotShutOut(t *testing.T) {
	r, rec := newCluster(func(s *Settings) {
		s.OverloadWindow, s.DispatchersByZone, s.WeightsKnown = 0, []int{300}, true
	})
	r.now = 1
	h := r.endpoints.caches[0]
	h.warmUp.active, h.OnlineSince, h.Weight = true, 1, 3000
	sent := 0
	for now := 1.0; now < 1+r.SlowStartRamp-1; now += 0.05 {
		r.now = now
		if r.available(h, 0.1) {
			h.warmUp.credit -= 0.1
			sent++
		}
	}
	assert.Positive(t, sent, "requests that the host may be sent")
	assert.Empty(t, rec.attempts)
}

func TestHostsInSlowStartGetTheirShare(t *testing.T) {
	for _, tt := range []struct {
		name         string
		kind         int
		id           uint32
		weightsKnown bool
		onlineSince  float64
		routers      int // that are notified of the start together
		least, most  int // requests of 0.1 s that all send in two windows; the rule allows a tenth more
	}{
		{"cache of known weight", 0, cacheA, true, 20, 1, 10, 40},
		{"cache of known weight, many routers", 0, cacheA, true, 20, 40, 10, 40},
		{"cache of unknown weight", 0, cacheA, false, 20, 1, 1, 4},
		{"cache of unknown weight, many routers", 0, cacheA, false, 20, 40, 40, 140},
		{"parent", 1, parentA, true, 20, 1, 5, 20},
		{"parent, many routers", 1, parentA, true, 20, 40, 5, 20},
		{"cache whose slow start is over", 0, cacheA, true, 5, 1, 30, 200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			started := endpoint(tt.id, tt.kind, Ready)
			started.Weight, started.OnlineSince, started.OnlineSinceKnown = 4, tt.onlineSince, true
			sent := 0
			for index := range tt.routers {
				r, rec := newCluster(func(s *Settings) {
					s.WeightsKnown, s.Index, s.Dispatchers = tt.weightsKnown, index, tt.routers
					s.DispatchersByZone = []int{max(1, tt.routers*(1-tt.kind))}
				})
				// The rate of warm hosts is learned first.
				traffic{from: 0, to: 20, interval: 0.1, respond: alwaysHit}.run(r, rec)
				r.UpdateEndpoints(20, ListChanges, []Endpoint{started})
				sent += sentToStartedHost(r, rec, tt.id)
			}
			assert.LessOrEqual(t, sent, tt.most)
			assert.GreaterOrEqual(t, sent, tt.least)
		})
	}
}

// sentToStartedHost submits a hundred requests a second over two seconds and counts the attempts that a host is sent.
func sentToStartedHost(r *Router, rec *recorder, host uint32) (sent int) {
	before := len(rec.attempts)
	for i := range uint32(200) {
		submit(r, 20+float64(i)/100, 1000+i, fmt.Sprint("o", i))
	}
	for _, a := range rec.attempts[before:] {
		if a.Host == host || a.Source == host {
			sent++
		}
	}
	return sent
}
