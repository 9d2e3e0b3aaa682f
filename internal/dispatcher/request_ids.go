package dispatcher

import (
	"hash/maphash"
	"slices"
	"sync"

	"elderwall/core/routing"
)

// requestIDs is the ids of requests that are open, and of those that must not run again.
type requestIDs struct {
	mu   sync.Mutex // guards what follows
	open map[string]bool
	past routing.EffectHistory
}

// newRequestIDs returns ids of which none is booked, one of so many parts of those of a process.
func newRequestIDs(parts int) *requestIDs {
	return &requestIDs{open: map[string]bool{}, past: routing.NewEffectHistory(parts)}
}

// claim books an id; false if it is open, or if its request must not run again.
func (i *requestIDs) claim(id string) (ok, repeats bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if repeats = i.past.Forbids(id); repeats || i.open[id] {
		return false, repeats
	}
	i.open[id] = true
	return true, false
}

// release lets an id go whose request has not run.
func (i *requestIDs) release(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.open, id)
}

// releaseRun lets an id go whose request may have run.
func (i *requestIDs) releaseRun(id string, idempotency routing.Idempotency) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.past.Record(id, idempotency)
	delete(i.open, id)
}

// ids returns where an id is booked: with all shards of the process, or with this dispatcher alone.
func (d *Dispatcher) ids(id string) *requestIDs {
	if d.Shard == nil {
		return d.ownIDs
	}
	t := d.Shard.Shared
	return t.ids[maphash.String(t.seed, id)%idStripes]
}

// claimID books an id; false if it is open in any shard, or if its request must not run again.
func (d *Dispatcher) claimID(id string) bool {
	ok, repeats := d.ids(id).claim(id)
	if repeats {
		d.Options.Counts.Repeated.Add(1)
	}
	return ok
}

// releaseID lets the id of a request go that is over.
func (d *Dispatcher) releaseID(q *request) {
	id := q.hostRequest.ID
	if !slices.ContainsFunc(q.attempts, mayHaveRun) {
		d.ids(id).release(id)
		return
	}
	d.ids(id).releaseRun(id, d.idempotency(q))
}
