package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// sized is a kind of object of one class: its part of the GETs, and the sending time of one.
type sized struct{ part, work float64 }

// sizes are such that the largest tenth takes six times the mean of the class and half of its work.
var sizes = []sized{{0.7, 0.03}, {0.2, 0.2}, {0.1, 1}}

const sizesMean = 0.161 // s

// sizeRun has processes ask hosts of four places each, that take GETs in their order; a GET keeps its place to its end.
type sizeRun struct {
	random  *rand.Rand
	note    Note
	hurry   bool // put in: hosts end what takes three times the mean
	wires   []*recorder
	d       []*Router
	numbers map[uint32]int
	kind    map[uint32]int // of each GET
	first   uint32         // that is counted
	free    map[uint32][]float64
	out     map[string]bool
	due     map[int][]AttemptResult
	asked   [3]float64
	given   [3]float64
}

const sizeStep = 0.01

// playSizes gives the share of the GETs of each kind that is answered, under a load that is a multiple of what the hosts bear.
func playSizes(processes int, load float64, note Note, hurry bool, seed uint64) (shares [3]float64, all float64) {
	const hosts, places, from, to = 6, 4, 10, 40
	c := &sizeRun{
		random: rand.New(rand.NewPCG(seed, 2)), first: math.MaxUint32, note: note, hurry: hurry, numbers: map[uint32]int{}, kind: map[uint32]int{}, free: map[uint32][]float64{},
		out: map[string]bool{}, due: map[int][]AttemptResult{},
	}
	var entries []Endpoint
	for i := range hosts {
		entries = append(entries, entry(uint32(100+i), 0, Ready))
		c.free[uint32(100+i)] = make([]float64, places)
	}
	entries = append(entries, entry(parentA, 1, Ready), entry(parentB, 1, Ready), entry(origin, 2, Ready))
	for i := range processes {
		s := settings()
		s.Index, s.Dispatchers, s.DispatchersByZone, s.Seed = i, processes, []int{processes}, seed*1000+uint64(i)
		c.wires = append(c.wires, &recorder{})
		c.d = append(c.d, New(s, 0, c.wires[i]))
		c.d[i].UpdateEndpoints(0, ListCached, entries)
	}
	id := uint32(0)
	for step := 0; float64(step)*sizeStep < to+5; step++ {
		now := float64(step) * sizeStep
		for i, d := range c.d {
			tickAt(d, now)
			c.drain(i, now)
		}
		for _, a := range c.due[step] {
			i := int(a.RequestID) % processes
			if name := fmt.Sprint(a.RequestID, "/", a.Attempt); c.out[name] {
				delete(c.out, name)
				if a.Outcome == Succeeded && a.RequestID >= c.first {
					c.given[c.kind[a.RequestID]]++
				}
				c.d[i].HandleResult(now, a)
				c.d[i].RunRetries(now)
				c.drain(i, now)
			}
		}
		delete(c.due, step)
		if now >= to {
			continue
		}
		for range poisson(c.random, load*hosts*places/sizesMean*sizeStep) {
			id++
			object := c.random.IntN(2000)
			kind := slices.IndexFunc(sizes, func(s sized) bool { object -= int(s.part * 2000); return object < 0 })
			if c.kind[id] = kind; now >= from {
				c.asked[kind]++
				c.first = min(c.first, id)
			}
			i := int(id) % processes
			ask(c.d[i], now, id, fmt.Sprint(kind, object))
			c.drain(i, now)
		}
	}
	for k := range shares {
		shares[k] = c.given[k] / c.asked[k]
		all += c.given[k] / (c.asked[0] + c.asked[1] + c.asked[2])
	}
	return shares, all
}

// drain has hosts take what a process sends, and end what it cancels.
func (c *sizeRun) drain(i int, now float64) {
	r := c.wires[i]
	for len(r.forwards)+len(r.cancelled) > 0 {
		forwards, cancelled := r.forwards, r.cancelled
		r.forwards, r.cancelled = nil, nil
		for _, f := range forwards {
			number := c.numbers[f.RequestID]
			c.numbers[f.RequestID]++
			work, outcome := sizes[c.kind[f.RequestID]].work, Succeeded
			if c.hurry && work > 3*sizesMean {
				work, outcome = 3*sizesMean, TimedOut
			}
			places := c.free[f.Host]
			place := slices.Index(places, slices.Min(places))
			places[place] = max(places[place], now) + work
			took := places[place] - now
			c.out[fmt.Sprint(f.RequestID, "/", number)] = true
			at := int((now+took)/sizeStep) + 1
			c.due[at] = append(c.due[at], AttemptResult{RequestID: f.RequestID, Attempt: number, Outcome: outcome, Note: c.note, Elapsed: took, SizeKB: work * 1000, Final: outcome == Succeeded})
		}
		for _, name := range cancelled {
			if c.out[name] {
				delete(c.out, name)
				var a AttemptResult
				_, _ = fmt.Sscanf(name, "%d/%d", &a.RequestID, &a.Attempt)
				a.Outcome, a.Elapsed = Canceled, 1
				c.d[i].HandleResult(now, a)
				c.d[i].RunRetries(now)
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
				shares, all := playSizes(processes, load, note, false, 1)
				t.Logf("%s: answered %.3f, by size %.3f", name, all, shares)
				assert.GreaterOrEqual(t, shares[2], least*all, "%s: the largest tenth", name)
				assert.GreaterOrEqual(t, shares[1], least*all, "%s: the next fifth", name)
			}
		}
	}
}

// The checker finds hosts that end what takes three times the mean.
func TestLargeObjectsThatAreEndedEarlyAreFound(t *testing.T) {
	shares, all := playSizes(3, 0.5, CacheHit, true, 1)
	assert.Less(t, shares[2], 2.0/3*all)
}
