package changelog

import (
	"math"

	"elderwall/internal/clock"
)

// toldIn is by when a change counts as told: what comes on a stream that was up to date is no older than that.
const toldIn = 7.0 // s; the protocol's

// Witness puts the Unix stamps of events on this process's own clock, by what the process itself has seen: an event is no younger than its arrival,
// and on a stream that was followed no older than what was heard before it allows. It keeps what it made of each host's stamp, so that a host that is
// listed again has not started again. It is used by one goroutine at a time.
type Witness struct {
	Clock clock.Clock

	starts map[string]start // by the id of a host; nil before the first list, whose hosts may have started long ago
}

type start struct {
	stamp int64
	at    float64
}

// Take gives an event with its stamps put on the clock. UpToDate is until when all that the change log knew had been heard before; the zero Instant
// where that is not known, as for the events of the start.
func (w *Witness) Take(e Event, upToDate clock.Instant) Event {
	latest, earliest := w.Clock.Now(), math.Inf(-1)
	if !upToDate.IsZero() {
		earliest = w.Clock.At(upToDate) - toldIn
	}
	if e.Purge != nil {
		p := *e.Purge
		p.At, p.Witnessed = w.Clock.Witnessed(p.Time, earliest, latest), true
		e.Purge = &p
	}
	if e.Fleet != nil {
		list := w.fleet(*e.Fleet, earliest, latest)
		e.Fleet = &list
	}
	return e
}

func (w *Witness) fleet(list Fleet, earliest, latest float64) Fleet {
	before := w.starts
	if before == nil {
		earliest = math.Inf(-1)
	}
	if list.Reset || before == nil {
		w.starts = map[string]start{}
	}
	hosts := make([]Host, len(list.Hosts))
	for i, h := range list.Hosts {
		hosts[i] = h
		if h.StartedAtMs == 0 || h.State == "DELETED" {
			delete(w.starts, h.ID)
			continue
		}
		known, ok := before[h.ID]
		if !ok || known.stamp != h.StartedAtMs {
			known = start{h.StartedAtMs, w.Clock.Witnessed(h.StartedAtMs, earliest, latest)}
		}
		w.starts[h.ID] = known
		hosts[i].StartedAt, hosts[i].Witnessed = known.at, true
	}
	list.Hosts = hosts
	return list
}
