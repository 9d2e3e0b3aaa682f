package emulator

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"elderwall/core/routing"
)

// host is a cache, a parent or the origin: so many transfers at a time, a line of those that wait, and what it holds.
type host struct {
	world      *world
	id         uint32
	kind, cell int
	zone       int
	out        *pipe
	slots      int
	serve      float64
	holds      int
	phase      routing.Phase // Removed is 0; add makes it Ready
	since      float64       // when it came with nothing, below 0 for before all
	down       bool          // says nothing
	refuses    bool          // its process has ended
	errs       bool          // it answers with errors, when the work is done
	factor     float64       // it takes so many times as long, 0 for once

	busy    int
	waiting []*work
	held    *simplelru.LRU[*object, float64] // when each copy left the origin
	filling map[*object][]func(fetched float64, note routing.Note)
	lives   int // how often it lost all it was at: what was begun before does not come back
	arrived []float64
}

// work is a transfer, and what is done once it is over.
type work struct {
	stopped *bool
	take    func()
}

// empty lets go of all that it holds.
func (h *host) empty() {
	h.phase = routing.Ready
	if h.holds > 0 {
		h.held, _ = simplelru.NewLRU[*object, float64](h.holds, nil)
	}
}

// drop ends all that it is at.
func (h *host) drop() {
	h.lives++
	h.busy, h.waiting, h.filling = 0, nil, nil
	for h.out != nil && len(h.out.flows) > 0 {
		h.out.flows[0].halt()
	}
}

func (h *host) entry() routing.Endpoint {
	e := routing.Endpoint{ID: h.id, Zone: h.zone, Kind: h.kind, Cell: h.cell, Phase: h.phase, Weight: float64(h.slots)}
	if h.since >= 0 {
		e.OnlineSince, e.OnlineSinceKnown = h.since, true
	}
	return e
}

// send does a transfer when its turn comes; false if too many wait.
func (h *host) send(stopped *bool, done func()) bool {
	if h.busy >= h.slots && len(h.waiting) >= h.world.Queue {
		return false
	}
	h.waiting = append(h.waiting, &work{stopped, done})
	h.next()
	return true
}

// next begins transfers while there are places; those given up meanwhile are passed over.
func (h *host) next() {
	for h.busy < h.slots && len(h.waiting) > 0 {
		one := h.waiting[0]
		h.waiting = h.waiting[1:]
		if *one.stopped {
			continue
		}
		h.busy++
		takes, life := h.serve*(0.5+h.world.chance.Float64()), h.lives
		if h.factor > 0 {
			takes *= h.factor
		}
		h.world.at(h.world.now+takes, func() {
			if life != h.lives {
				return
			}
			h.busy--
			one.take()
			h.next()
		})
	}
}

// holdsFresh gives when the copy that it holds left the origin, if it is young enough.
func (h *host) holdsFresh(o *object, maxAge float64) (fetched float64, ok bool) {
	if h.held == nil {
		return h.world.now, true // the origin
	}
	fetched, ok = h.held.Get(o)
	return fetched, ok && (maxAge == 0 || h.world.now-fetched <= maxAge)
}

// get is a forward that arrived at a cache, or at a parent instead of one.
func (h *host) get(f *forward) {
	w := h.world
	if h.down || h.refuses {
		return // its dispatcher finds out
	}
	f.arrived = true
	w.checkDrain(h, f)
	w.cold(h)
	o := f.get.object
	if fetched, ok := h.holdsFresh(o, f.out.MaxAge); ok {
		h.transfer(f, fetched, routing.CacheHit)
		return
	}
	if f.source == h {
		if h.kind == 0 {
			f.answer(routing.NotCached, routing.NoNote, 0)
			return
		}
		h.fill(f, w.origin)
		return
	}
	h.fill(f, f.source)
}

// transfer sends a copy to the dispatcher.
func (h *host) transfer(f *forward, fetched float64, note routing.Note) {
	outcome := routing.Succeeded
	if h.errs {
		outcome = routing.HostFailed
	}
	end := func() { f.answer(outcome, note, fetched) }
	switch {
	case h.world.KB > 0 && (note == routing.Filled || note == routing.FilledByOrigin || note == routing.FillCoalesced):
		end() // it was passed on while it came
	case h.world.KB > 0 && len(h.out.flows) < h.slots+h.world.Queue:
		f.flow = h.world.carry(f.get.object.kb, end, h.out)
	case h.world.KB > 0 || !h.send(&f.stopped, end):
		f.answer(routing.Rejected, routing.NoNote, 0)
	}
}

// fill gets a copy from a source; GETs for one that is on its way wait for it where they may.
func (h *host) fill(f *forward, source *host) {
	w, o, life := h.world, f.get.object, h.lives
	then := func(fetched float64, note routing.Note) {
		switch {
		case life != h.lives:
		case note == routing.Filled || note == routing.FilledByOrigin || note == routing.FillCoalesced:
			h.transfer(f, fetched, note)
		default:
			f.answer(routing.NotCached, note, 0)
		}
	}
	if waiters, on := h.filling[o]; on && f.out.Coalesce {
		h.filling[o] = append(waiters, func(fetched float64, note routing.Note) {
			if note == routing.Filled || note == routing.FilledByOrigin {
				note = routing.FillCoalesced
			}
			then(fetched, note)
		})
		return
	}
	if h.filling == nil {
		h.filling = map[*object][]func(float64, routing.Note){}
	}
	h.filling[o] = append(h.filling[o], then)
	w.out.tally(w).Fills++
	w.at(w.now+w.link(), func() {
		source.source(f, h, func(fetched float64, note routing.Note) {
			w.at(w.now+w.link(), func() {
				if life != h.lives {
					return
				}
				if note == routing.Filled || note == routing.FilledByOrigin {
					h.keep(o, fetched)
				}
				waiters := h.filling[o]
				delete(h.filling, o)
				for _, one := range waiters {
					one(fetched, note)
				}
			})
		})
	})
}

func (h *host) keep(o *object, fetched float64) {
	if h.held != nil {
		h.held.Add(o, fetched)
	}
}

// source gives a copy to a cache: what it holds, or what the origin has where it may ask for it.
func (h *host) source(f *forward, to *host, done func(fetched float64, note routing.Note)) {
	w, o, life := h.world, f.get.object, h.lives
	if h.down || h.refuses {
		return
	}
	w.checkDrain(h, f)
	w.cold(h)
	send := func(fetched float64, note routing.Note) {
		switch {
		case life != h.lives:
		case w.KB > 0 && f.stopped && len(f.host.filling[o]) < 2: // its client has left, and nobody else waits
			delete(f.host.filling, o)
		case w.KB > 0 && len(h.out.flows) < h.slots+w.Queue:
			f.begins(to, []*pipe{h.out, w.waysIn[to.zone], to.out}, func() { done(fetched, note) })
		case w.KB > 0 || !h.send(new(bool), func() { done(fetched, note) }):
			done(0, routing.SourceRejected)
		}
	}
	if fetched, ok := h.holdsFresh(o, f.out.MaxAge); ok {
		note := routing.Filled
		if h.kind == 2 {
			note = routing.FilledByOrigin
		}
		send(fetched, note)
		return
	}
	if f.out.CachedOnly {
		done(0, routing.SourceNotCached)
		return
	}
	w.at(w.now+w.link(), func() {
		w.origin.source(f, h, func(fetched float64, note routing.Note) {
			w.at(w.now+w.link(), func() {
				if note != routing.FilledByOrigin {
					done(0, routing.OriginFailed)
					return
				}
				h.keep(o, fetched)
				send(fetched, note)
			})
		})
	})
}
