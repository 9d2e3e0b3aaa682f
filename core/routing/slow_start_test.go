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

// What many processes that know nothing of one another send a cold host, together, it bears.
func TestAWarmingHostBearsWhatAllSend(t *testing.T) {
	for _, day := range []slowStartScenario{
		{name: "weights told", warmingCaches: 1, weightsKnown: true},
		{name: "weights not told", warmingCaches: 1},
		{name: "a quiet stretch and a burst", warmingCaches: 1, weightsKnown: true, load: quietThenBurst},
		{name: "restarts in a burst", warmingCaches: 1, weightsKnown: true, load: burst, restarts: true},
		{name: "half of the caches, and a burst", warmingCaches: 4, load: burst},
		{name: "a silent cache, retries", warmingCaches: 1, weightsKnown: true, silentCache: true},
		{name: "parents", warmingParents: 2, weightsKnown: true, load: burst},
		{name: "parents, weights not told", warmingParents: 2, load: burst},
		{name: "nothing heard before", warmingCaches: hostCount, noHistory: true},
		{name: "a quiet stretch, then all others drain under a burst", warmingCaches: 1, weightsKnown: true, load: twoBursts, drainAfter: 6},
	} {
		for _, day.processes = range []int{3, 30, 300} {
			t.Run(fmt.Sprint(day.name, ", ", day.processes), func(t *testing.T) {
				day.initialRequests = 30
				falls, most := runSlowStart(day, 1).overloads()
				assert.Zero(t, falls)
				assert.Less(t, most, 0.9)
			})
		}
	}
}

// The rule binds however few or many processes there are, and whatever a cold host bears: one GET in a window or a thousand. Processes restart in the
// middle, traffic is uneven, and some are told another number of processes than there are.
func TestTheRuleBindsForFewAndMany(t *testing.T) {
	days := []slowStartScenario{
		{name: "burst", warmingCaches: 1, weightsKnown: true, load: burst},
		{name: "burst, weights not told", warmingCaches: 1, load: burst},
		{name: "restarts", warmingCaches: 1, weightsKnown: true, load: burst, restarts: true},
		{name: "told of twice as many", warmingCaches: 1, weightsKnown: true, load: burst, countError: 2},
		{name: "told of half as many, weights not told", warmingCaches: 1, load: burst, countError: 0.5},
		{name: "a quiet stretch, and all others drain", warmingCaches: 1, weightsKnown: true, load: twoBursts, drainAfter: 6},
	}
	for _, day := range days {
		for _, day.processes = range []int{1, 2, 3, 30, 300, 900} {
			for _, day.initialRequests = range []float64{1, 5, 30, 200, 1000} {
				if (day.processes > 300 || day.initialRequests > 30) && os.Getenv("ELDERWALL_COLD") == "" { // which take minutes, together
					continue
				}
				day := day // the plays run side by side
				t.Run(fmt.Sprint(day.name, ", ", day.processes, " processes, N ", day.initialRequests), func(t *testing.T) {
					t.Parallel()
					falls, most := runSlowStart(day, 1).overloads()
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
				_, most := runSlowStart(slowStartScenario{processes: size.processes, initialRequests: size.atFirst, warmingCaches: 1, weightsKnown: true, load: twoBursts, drainAfter: 6, restarts: true}, seed+1).overloads()
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
			// Few processes save up and draw nothing: what each may send in a window is bounded, (1+savedShare)*slowStartShare of its share.
			assert.Less(t, slices.Max(worst), (1+savedShare)*slowStartShare)
			if seeds > 10 && size.processes >= 30 {
				assert.Less(t, chance, 1e-4)
			}
		})
	}
}

// The checker finds a fault that is put in: each process may send at least one GET in a window.
func TestOneRequestByEachProcessIsTooMuch(t *testing.T) {
	for processes, bears := range map[int]float64{30: 5, 300: 30} {
		day := slowStartScenario{processes: processes, initialRequests: bears, warmingCaches: 1, weightsKnown: true, load: func(float64) float64 { return 4 }, drainAfter: 1}
		falls, most := runSlowStart(day, 1).overloads()
		assert.Zero(t, falls, "%d processes, %.2f of what it bears", processes, most)
		day.sendAtLeastOne = true
		falls, most = runSlowStart(day, 1).overloads()
		assert.Equal(t, 1, falls, "%d processes, %.2f of what it bears", processes, most)
	}
}

// Under a burst that has each process look all the time, what all send has the mean that is told, and its root as spread at most.
func TestTheSumOfWhatAllSend(t *testing.T) {
	for _, processes := range []int{3, 30, 300} {
		var got, bears []float64
		for seed := range uint64(4) {
			c := runSlowStart(slowStartScenario{processes: processes, initialRequests: 30, warmingCaches: 1, weightsKnown: true, load: twoBursts, drainAfter: 6}, seed+1)
			for from := warmingStart + 6.0; from < warmingEnd; from++ {
				sent := 0.0
				for _, at := range c.sends[c.hosts[0].ID] {
					if at > from && at <= from+1 {
						sent++
					}
				}
				got, bears = append(got, sent), append(bears, c.sustainable(from+0.5, 0))
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
func TestAWarmingHostWithNoOverloadWindowIsNotShutOut(t *testing.T) {
	r, rec := newCluster(func(s *Settings) { s.OverloadWindow, s.DispatchersByZone, s.WeightsKnown = 0, []int{300}, true })
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
	assert.Positive(t, sent)
	assert.Empty(t, rec.attempts)
}

func TestHostsInSlowStartGetTheirShare(t *testing.T) {
	for _, tt := range []struct {
		name       string
		kind       int
		id         uint32
		told       bool
		since      float64
		alike      int // dispatchers that are told of the start together
		least, max int // GETs of 0.1 s that all send in two windows; the rule bears a tenth more
	}{
		{"cold cache of told weight", 0, cacheA, true, 20, 1, 10, 40},
		{"cold cache of told weight, many dispatchers", 0, cacheA, true, 20, 40, 10, 40},
		{"cold cache of unknown weight", 0, cacheA, false, 20, 1, 1, 4},
		{"cold cache of unknown weight, many dispatchers", 0, cacheA, false, 20, 40, 40, 140},
		{"cold parent", 1, parentA, true, 20, 1, 5, 20},
		{"cold parent, many dispatchers", 1, parentA, true, 20, 40, 5, 20},
		{"cache that is warm by now", 0, cacheA, true, 5, 1, 30, 200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			sent := 0
			for index := range tt.alike {
				r, rec := newCluster(func(s *Settings) {
					s.WeightsKnown, s.Index, s.Dispatchers = tt.told, index, tt.alike
					s.DispatchersByZone = []int{max(1, tt.alike*(1-tt.kind))}
				})
				traffic{from: 0, to: 20, interval: 0.1, respond: alwaysHit}.run(r, rec) // the warm rate: ten requests a second over three caches
				cold := endpoint(tt.id, tt.kind, Ready)
				cold.Weight, cold.OnlineSince, cold.OnlineSinceKnown = 4, tt.since, true
				r.UpdateEndpoints(20, ListChanges, []Endpoint{cold})
				before := len(rec.attempts)
				for i := range uint32(200) {
					submit(r, 20+float64(i)/100, 1000+i, fmt.Sprint("o", i))
				}
				for _, a := range rec.attempts[before:] {
					if a.Host == tt.id || a.Source == tt.id {
						sent++
					}
				}
			}
			assert.LessOrEqual(t, sent, tt.max)
			assert.GreaterOrEqual(t, sent, tt.least)
		})
	}
}
