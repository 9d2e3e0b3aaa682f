package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// sizeClass is a kind of object of one class: its part of the GETs, and the sending time of one.
type sizeClass struct{ share, work float64 }

// sizes are such that the largest tenth takes six times the mean of the class and half of its work.
var sizeClasses = []sizeClass{{0.7, 0.03}, {0.2, 0.2}, {0.1, 1}}

const meanSendingTime = 0.161 // s

// sizeRun has processes ask hosts of four places each, that take GETs in their order; a GET keeps its place to its end.
type sizeRun struct {
	random       *rand.Rand
	note         Note
	abortLarge   bool // put in: hosts end what takes three times the mean
	recorders    []*recorder
	routers      []*Router
	attempts     map[uint32]int
	classOf      map[uint32]int // of each GET
	firstCounted uint32         // that is counted
	freeAt       map[uint32][]float64
	inFlight     map[string]bool
	due          map[int][]AttemptResult
	requested    [3]float64
	answered     [3]float64
}

const sizeStep = 0.01

// runSizes gives the share of the GETs of each kind that is answered, under a load that is a multiple of what the hosts bear.
func runSizes(processes int, load float64, note Note, hurry bool, seed uint64) (shares [3]float64, all float64) {
	const hosts, places, from, to = 6, 4, 10, 40
	c := &sizeRun{
		random: rand.New(rand.NewPCG(seed, 2)), firstCounted: math.MaxUint32, note: note, abortLarge: hurry, attempts: map[uint32]int{}, classOf: map[uint32]int{}, freeAt: map[uint32][]float64{},
		inFlight: map[string]bool{}, due: map[int][]AttemptResult{},
	}
	var entries []Endpoint
	for i := range hosts {
		entries = append(entries, endpoint(uint32(100+i), 0, Ready))
		c.freeAt[uint32(100+i)] = make([]float64, places)
	}
	entries = append(entries, endpoint(parentA, 1, Ready), endpoint(parentB, 1, Ready), endpoint(origin, 2, Ready))
	for i := range processes {
		s := testSettings()
		s.Index, s.Dispatchers, s.DispatchersByZone, s.Seed = i, processes, []int{processes}, seed*1000+uint64(i)
		c.recorders = append(c.recorders, &recorder{})
		c.routers = append(c.routers, New(s, 0, c.recorders[i]))
		c.routers[i].UpdateEndpoints(0, ListCached, entries)
	}
	id := uint32(0)
	for step := 0; float64(step)*sizeStep < to+5; step++ {
		now := float64(step) * sizeStep
		for i, r := range c.routers {
			runTimer(r, now)
			c.flush(i, now)
		}
		for _, result := range c.due[step] {
			i := int(result.RequestID) % processes
			if name := fmt.Sprint(result.RequestID, "/", result.Attempt); c.inFlight[name] {
				delete(c.inFlight, name)
				if result.Outcome == Succeeded && result.RequestID >= c.firstCounted {
					c.answered[c.classOf[result.RequestID]]++
				}
				c.routers[i].HandleResult(now, result)
				c.routers[i].RunRetries(now)
				c.flush(i, now)
			}
		}
		delete(c.due, step)
		if now >= to {
			continue
		}
		for range poisson(c.random, load*hosts*places/meanSendingTime*sizeStep) {
			id++
			object := c.random.IntN(2000)
			kind := slices.IndexFunc(sizeClasses, func(s sizeClass) bool { object -= int(s.share * 2000); return object < 0 })
			if c.classOf[id] = kind; now >= from {
				c.requested[kind]++
				c.firstCounted = min(c.firstCounted, id)
			}
			i := int(id) % processes
			submit(c.routers[i], now, id, fmt.Sprint(kind, object))
			c.flush(i, now)
		}
	}
	for k := range shares {
		shares[k] = c.answered[k] / c.requested[k]
		all += c.answered[k] / (c.requested[0] + c.requested[1] + c.requested[2])
	}
	return shares, all
}

// flush has hosts take what a process sends, and end what it cancels.
func (c *sizeRun) flush(i int, now float64) {
	rec := c.recorders[i]
	for len(rec.attempts)+len(rec.cancelled) > 0 {
		forwards, cancelled := rec.attempts, rec.cancelled
		rec.attempts, rec.cancelled = nil, nil
		for _, a := range forwards {
			number := c.attempts[a.RequestID]
			c.attempts[a.RequestID]++
			work, outcome := sizeClasses[c.classOf[a.RequestID]].work, Succeeded
			if c.abortLarge && work > 3*meanSendingTime {
				work, outcome = 3*meanSendingTime, TimedOut
			}
			places := c.freeAt[a.Host]
			place := slices.Index(places, slices.Min(places))
			places[place] = max(places[place], now) + work
			took := places[place] - now
			c.inFlight[fmt.Sprint(a.RequestID, "/", number)] = true
			at := int((now+took)/sizeStep) + 1
			c.due[at] = append(c.due[at], AttemptResult{RequestID: a.RequestID, Attempt: number, Outcome: outcome, Note: c.note, Elapsed: took, SizeKB: work * 1000, Final: outcome == Succeeded})
		}
		for _, name := range cancelled {
			if c.inFlight[name] {
				delete(c.inFlight, name)
				var result AttemptResult
				_, _ = fmt.Sscanf(name, "%d/%d", &result.RequestID, &result.Attempt)
				result.Outcome, result.Elapsed = Canceled, 1
				c.routers[i].HandleResult(now, result)
				c.routers[i].RunRetries(now)
			}
		}
	}
}

// The largest tenth of a class's requests and the next fifth are answered as often as the class but for a third on a quiet day, and for
// half under a load that has limits shed.
func TestLargeObjectsGetTheirShare(t *testing.T) {
	for _, processes := range []int{3, 30, 300} {
		for load, least := range map[float64]float64{0.5: 2.0 / 3, 1.3: 0.5, 2.5: 0.5} {
			for _, note := range []Note{CacheHit, Filled} {
				name := fmt.Sprintf("%d processes, load %.1f, note %d", processes, load, note)
				shares, all := runSizes(processes, load, note, false, 1)
				t.Logf("%s: answered %.3f, by size %.3f", name, all, shares)
				assert.GreaterOrEqual(t, shares[2], least*all, "%s: the largest tenth", name)
				assert.GreaterOrEqual(t, shares[1], least*all, "%s: the next fifth", name)
			}
		}
	}
}

// The checker finds hosts that end what takes three times the mean.
func TestLargeObjectsThatAreEndedEarlyAreFound(t *testing.T) {
	shares, all := runSizes(3, 0.5, CacheHit, true, 1)
	assert.Less(t, shares[2], 2.0/3*all)
}
