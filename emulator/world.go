package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"

	"elderwall/core/routing"
	"elderwall/core/routing/rendezvous"
	"elderwall/core/timerwheel"
)

const (
	drainGrace = 0.5 // s; rule 3: nothing new goes to a draining host later than this after its dispatcher was told
	purgeGrace = 0.3 // s; rule 5: no older copy is returned later than this after its dispatcher was told
	coldFrom   = 0.2 // share of its load that a cold cache bears
	ramp       = 10  // s; until it bears all
	tip        = 2.0 // times that by which it is pushed over
	fall       = 1.0 // s; over which load on it is summed
	oldCopies  = 60  // s; after which no copy older than a purge is left
)

// world is one run.
type world struct {
	Scenario
	now         float64
	events      timerwheel.Wheel[func()]
	chance      *rand.Rand
	zipf        *rand.Zipf
	hosts       []*host // caches, then parents, then the origin
	byID        map[uint32]*host
	origin      *host
	dispatchers []*dispatcher
	items       []*object // by rank
	waysIn      []*pipe   // by zone
	rate        float64   // GETs a second now
	hot         *object
	hotShare    float64
	scanned     uint64
	out         *Result
}

// object is one that clients ask for.
type object struct {
	name   string
	kb     float64
	purged float64 // when the origin had a new one last
	told   map[*dispatcher]float64
}

// Run plays a scenario.
func Run(s Scenario) (*Result, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	w := &world{Scenario: s, chance: rand.New(rand.NewPCG(s.Seed, 1)), byID: map[uint32]*host{}, out: newResult(s), rate: s.Rate}
	for i := range s.Objects {
		w.items = append(w.items, w.object(rendezvous.Mix(uint64(i)+s.Seed<<32)))
	}
	if s.Zipf > 0 {
		w.zipf = rand.NewZipf(w.chance, s.Zipf, 1, uint64(s.Objects-1))
	}
	w.build()
	for i := range s.Dispatchers {
		together := &group{}
		for k := range s.Shards {
			w.dispatchers = append(w.dispatchers, newDispatcher(w, i*s.Shards+k, together))
		}
	}
	for i := range s.Troubles {
		t := s.Troubles[i]
		w.at(t.At+s.Warm, func() { w.trouble(t) })
	}
	w.arrive()
	end := s.Warm + s.Seconds
	for act, ok := w.events.PopAt(end + s.ViewerTimeout + 1); ok; act, ok = w.events.PopAt(end + s.ViewerTimeout + 1) {
		w.now = act.At
		act.Item()
	}
	w.finish()
	return w.out, nil
}

// at has something done at a moment.
func (w *world) at(when float64, what func()) *timerwheel.Timer[func()] {
	return w.events.Add(max(when, w.now), what)
}

// link is how long a message takes one way now.
func (w *world) link() float64 { return w.Link * (0.5 + w.chance.Float64()) }

func (w *world) build() {
	for range w.Zones {
		w.waysIn = append(w.waysIn, &pipe{kb: w.WayInKB})
	}
	for i := range w.Caches {
		w.add(&host{
			kind: 0, zone: i * w.Zones / w.Caches, cell: i * w.Cells / w.Caches, slots: w.Slots, serve: w.Serve,
			holds: w.Holds, out: &pipe{kb: w.CacheKB},
		})
	}
	for range w.Parents {
		w.add(&host{kind: 1, slots: w.ParentSlots, serve: w.Serve, holds: w.ParentHolds, out: &pipe{kb: w.ParentKB}})
	}
	w.origin = w.add(&host{kind: 2, slots: w.OriginSlots, serve: w.OriginServe, out: &pipe{kb: w.OriginKB}})
}

// object is a new one, of a size that is drawn where sizes count.
func (w *world) object(name uint64) *object {
	o := &object{name: fmt.Sprintf("%016x", name), purged: -1}
	if w.KB > 0 {
		o.kb = w.KB * math.Exp(w.Spread*w.chance.NormFloat64()-w.Spread*w.Spread/2)
	}
	return o
}

// add puts a host into the world, under an id that spreads.
func (w *world) add(h *host) *host {
	h.world, h.since = w, -1
	h.id = uint32(rendezvous.Mix(uint64(len(w.hosts))+w.Seed<<32) >> 33)
	for w.byID[h.id] != nil {
		h.id++
	}
	h.empty()
	w.byID[h.id] = h
	w.hosts = append(w.hosts, h)
	return h
}

// caches is the caches that are listed, in the order in which they came.
func (w *world) caches() (all []*host) {
	for _, h := range w.hosts {
		if h.kind == 0 && h.phase == routing.Ready {
			all = append(all, h)
		}
	}
	return all
}

// tell has the dispatchers hear of hosts, each in its time.
func (w *world) tell(hosts ...*host) {
	entries := make([]routing.Endpoint, len(hosts))
	for i, h := range hosts {
		entries[i] = h.entry()
	}
	for _, d := range w.dispatchers {
		w.at(w.now+w.News*w.chance.Float64(), func() { d.list(routing.ListChanges, entries, hosts) })
	}
}

// arrive has the next GET come.
func (w *world) arrive() {
	if w.now > w.Warm+w.Seconds {
		return
	}
	w.at(w.now+w.chance.ExpFloat64()/w.rate, func() {
		w.ask(w.pick(), 0)
		w.arrive()
	})
}

// pick is the object that a client asks for.
func (w *world) pick() *object {
	switch {
	case w.hot != nil && w.chance.Float64() < w.hotShare:
		return w.hot
	case w.zipf != nil:
		return w.items[w.zipf.Uint64()]
	}
	return w.items[w.chance.IntN(len(w.items))]
}

// ask sends a GET to a dispatcher, and to the shard of it that has the object.
func (w *world) ask(o *object, again int) {
	d := w.chance.IntN(w.Dispatchers) * w.Shards
	if w.Shards > 1 {
		sum := uint64(0)
		for _, b := range []byte(o.name) {
			sum = rendezvous.Mix(sum ^ uint64(b))
		}
		d += int(sum % uint64(w.Shards))
	}
	for i := range w.Dispatchers { // a client whose dispatcher has died finds another
		if one := w.dispatchers[(d+i*w.Shards)%len(w.dispatchers)]; !one.dead {
			one.take(o, again)
			return
		}
	}
}

// trouble begins one.
func (w *world) trouble(t Trouble) {
	hosts := w.struck(t)
	switch t.Kind {
	case Vanish:
		for _, h := range hosts {
			h.down = true
			h.drop()
		}
		w.after(t, func() { w.back(hosts, t.Cold) })
	case Slow:
		for _, h := range hosts {
			h.factor = t.Factor
		}
		w.after(t, func() {
			for _, h := range hosts {
				h.factor = 0
			}
		})
	case Err:
		for _, h := range hosts {
			h.errs = true
		}
		w.after(t, func() {
			for _, h := range hosts {
				h.errs = false
			}
		})
	case Restart:
		w.back(hosts, true)
	case Replace:
		for i, h := range hosts {
			w.at(w.now+t.For*float64(i)/float64(len(hosts)), func() { w.replace(h) })
		}
	case Hot:
		w.hot, w.hotShare = w.items[len(w.items)-1], t.Share
		w.after(t, func() { w.hot = nil })
	case Scan:
		w.repeat(t, func() {
			w.scanned++
			w.ask(w.object(rendezvous.Mix(w.scanned|1<<63)), 0)
		})
	case Burst:
		w.rate = w.Rate * t.Factor
		w.after(t, func() { w.rate = w.Rate })
	case Kill:
		for _, d := range w.dispatchers {
			if w.chance.Float64() < t.Share {
				d.kill()
				w.after(t, d.begin)
			}
		}
	case Purge:
		next := 0
		w.repeat(t, func() { w.purge(w.items[next%len(w.items)]); next++ })
	}
}

func (w *world) after(t Trouble, what func()) {
	if t.For > 0 {
		w.at(w.now+t.For, what)
	}
}

// repeat does something in the rate of a trouble for as long as it lasts.
func (w *world) repeat(t Trouble, what func()) {
	until := w.now + t.For
	if t.For == 0 {
		until = w.Warm + w.Seconds
	}
	var next func()
	next = func() {
		if w.now < until {
			what()
			w.at(w.now+w.chance.ExpFloat64()/t.Rate, next)
		}
	}
	next()
}

// struck is the caches that a trouble is about: whole cells, or a share of all by chance.
func (w *world) struck(t Trouble) (all []*host) {
	for _, h := range w.caches() {
		if t.Cells > 0 && h.cell < t.Cells || t.Cells == 0 && w.chance.Float64() < t.Share {
			all = append(all, h)
		}
	}
	return all
}

// back has hosts that were away answer again.
func (w *world) back(hosts []*host, cold bool) {
	for _, h := range hosts {
		if h.down = false; cold {
			h.drop()
			h.empty()
			h.since = w.now
		}
	}
	if cold {
		w.tell(hosts...)
	}
}

// replace drains a host, has another come in its cell, and lets the first go after the grace.
func (w *world) replace(h *host) {
	h.phase = routing.Draining
	fresh := w.add(&host{kind: 0, zone: h.zone, cell: h.cell, slots: w.Slots, serve: w.Serve, holds: w.Holds, out: &pipe{kb: w.CacheKB}})
	fresh.since = w.now
	w.tell(h, fresh)
	w.at(w.now+w.News+drainGrace+1, func() {
		h.phase, h.refuses = routing.Removed, true
		h.drop()
		w.tell(h)
	})
}

// purge has the origin hold a new one, and the dispatchers hear of it.
func (w *world) purge(o *object) {
	at := w.now
	o.purged = at
	for _, d := range w.dispatchers {
		w.at(w.now+w.News*w.chance.Float64(), func() {
			if o.told == nil {
				o.told = map[*dispatcher]float64{}
			}
			o.told[d] = w.now
			if d.dead {
				return
			}
			d.step(func(now float64) { d.module.HandlePurge(now, o.name, 0, now-at) })
		})
	}
}
