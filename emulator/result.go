package emulator

import (
	"fmt"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Tally is what came of the GETs of some time.
type Tally struct {
	GETs     int     `json:"GETs"`  // first ones
	Again    int     `json:"Again"` // those of clients that came again
	Returned int     `json:"Returned"`
	InTime   int     `json:"InTime"` // InTime of Returned
	Shed     int     `json:"Shed"`
	Errored  int     `json:"Errored"`
	Hits     int     `json:"Hits"`
	Fills    int     `json:"Fills"`
	Forwards int     `json:"Forwards"`
	Wasted   int     `json:"Wasted"`   // Wasted came back with no copy
	Lost     int     `json:"Lost"`     // of Forwards, to hosts that say nothing
	Connects int     `json:"Connects"` // of Forwards, those that began a connection
	Died     int     `json:"Died"`     // GETs that were open at a dispatcher that was killed
	P50      float64 `json:"P50"`      // ms; filled at the end
	P99      float64 `json:"P99"`      // ms; filled at the end
	delays   *hdrhistogram.Histogram
}

// Result is what came of a run. All of it is simulated.
type Result struct {
	Total   Tally          `json:"Total"`   // of what counts
	Seconds []Tally        `json:"Seconds"` // by second from the start, the warm ones too
	Copies  []Copies       `json:"Copies"`
	Broken  map[string]int `json:"Broken"` // rules that were broken, and how often; empty is none
	// ColdMost is the most load on a cold cache in a second, as a share of what pushes it over.
	ColdMost float64 `json:"ColdMost"`
	Pushed   int     `json:"Pushed"` // caches that were pushed over
	// Connections is how many are up to a cache in the mean, and to the one with most, when the last GET has come.
	Connections     float64 `json:"Connections"`
	MostConnections int     `json:"MostConnections"`
}

// Copies is how many caches hold an object in the mean, by rank of how often it is asked for.
type Copies struct {
	From int     `json:"From"`
	To   int     `json:"To"`
	Mean float64 `json:"Mean"`
}

const (
	fewestUs, mostUs, digits = 1, 60_000_000, 2 // of delays: to a minute, within 1%
)

func newTally() Tally { return Tally{delays: hdrhistogram.New(fewestUs, mostUs, digits)} }

func newResult(s Scenario) *Result {
	r := &Result{Total: newTally(), Broken: map[string]int{}}
	for range int(s.Warm+s.Seconds+s.ViewerTimeout) + 3 {
		r.Seconds = append(r.Seconds, newTally())
	}
	return r
}

// tally is that of the second.
func (r *Result) tally(w *world) *Tally { return &r.Seconds[min(int(w.now), len(r.Seconds)-1)] }

func (r *Result) took(w *world, seconds float64) {
	_ = r.tally(w).delays.RecordValue(min(max(fewestUs, int64(seconds*1e6)), mostUs))
}

// checkDrain finds work that came to a host later than its dispatcher's grace allows.
func (w *world) checkDrain(h *host, f *forward) {
	if told := f.get.d.told[h]; told > 0 && f.at > told+drainGrace {
		w.out.Broken["new work went to a draining host after the grace"]++
	}
}

// cold sums the load on a cold cache, in transfers of the last second, against what pushes it over.
func (w *world) cold(h *host) {
	age := w.now - h.since
	if h.since < 0 || age > ramp || h.kind != 0 {
		return
	}
	h.arrived = append(h.arrived, w.now)
	for h.arrived[0] < w.now-fall {
		h.arrived = h.arrived[1:]
	}
	bears := max(1, float64(h.slots)/h.serve*fall*(coldFrom+(1-coldFrom)*age/ramp)*tip)
	load := float64(len(h.arrived)) / bears
	w.out.ColdMost = max(w.out.ColdMost, load)
	if load > 1 && !h.down {
		w.out.Pushed++
		w.out.Broken["a cold cache was pushed over"]++
	}
}

// finish closes the books.
func (w *world) finish() {
	r := w.out
	for i := range r.Seconds {
		t := &r.Seconds[i]
		if float64(i) >= w.Warm && float64(i) < w.Warm+w.Seconds {
			r.Total.add(t)
		}
		t.close()
	}
	r.Total.close()
	for _, d := range w.dispatchers {
		for _, g := range d.gets {
			if g.answers == 0 && g.from+w.ViewerTimeout < w.now {
				r.Broken["a GET had no answer in time"]++
			}
		}
	}
	r.connections(w)
	copies := map[*object]int{}
	for _, h := range w.caches() {
		if !h.down {
			for _, o := range h.held.Keys() {
				copies[o]++
			}
		}
	}
	for from := 1; from <= len(w.items) && from <= 10_000; from *= 10 {
		to, held := min(from*10-1, len(w.items)), 0
		for _, o := range w.items[from-1 : to] {
			held += copies[o]
		}
		r.Copies = append(r.Copies, Copies{from, to, float64(held) / float64(to-from+1)})
	}
}

func (t *Tally) add(o *Tally) {
	t.GETs += o.GETs
	t.Again += o.Again
	t.Returned += o.Returned
	t.InTime += o.InTime
	t.Shed += o.Shed
	t.Errored += o.Errored
	t.Hits += o.Hits
	t.Fills += o.Fills
	t.Forwards += o.Forwards
	t.Wasted += o.Wasted
	t.Lost += o.Lost
	t.Connects += o.Connects
	t.Died += o.Died
	t.delays.Merge(o.delays)
}

func (t *Tally) close() {
	t.P50, t.P99 = float64(t.delays.ValueAtQuantile(50))/1e3, float64(t.delays.ValueAtQuantile(99))/1e3
	t.delays = nil
}

// Share is the part of the revenue that came in time.
func (t *Tally) Share() float64 { return float64(t.InTime) / float64(max(1, t.GETs)) }

// Word is one line on a tally.
func (t *Tally) Word() string {
	return fmt.Sprintf("%d GETs, %.4f in time, %d shed, %d errored, %d forwards, %d wasted, %d lost, %d fills, %.1f and %.1f ms",
		t.GETs, t.Share(), t.Shed, t.Errored, t.Forwards, t.Wasted, t.Lost, t.Fills, t.P50, t.P99)
}

// connections counts what is up: each dispatcher's to a host, until it is unused for long.
func (r *Result) connections(w *world) {
	up, all := map[*host]int{}, 0
	for _, d := range w.dispatchers {
		for h, used := range d.used {
			if h.kind == 0 && w.Warm+w.Seconds-used < w.IdleClose {
				up[h]++
				all++
			}
		}
	}
	r.Connections = float64(all) / float64(len(w.caches()))
	for _, n := range up {
		r.MostConnections = max(r.MostConnections, n)
	}
}
