package routing

// maxRememberedRequests is the number of requests whose IDs the histories of a process remember together: some 100 bytes
// each.
const maxRememberedRequests = 1 << 14

// EffectHistory remembers the IDs of requests that may have been executed and must not be executed again, so that one
// that comes again is rejected rather than sent to a host. It forgets the oldest ones above a fixed number. It is not
// safe for concurrent use.
type EffectHistory struct {
	capacity int
	known    map[string]bool
	oldest   []string // IDs in the order in which they were recorded, as a ring once it is full
	next     int      // index in oldest of the ID that is forgotten next
}

// NewEffectHistory returns an empty history, one of a number of parts that a process divides its history into.
func NewEffectHistory(parts int) EffectHistory {
	return EffectHistory{capacity: max(1, maxRememberedRequests/max(1, parts)), known: map[string]bool{}}
}

// Record remembers the ID of a request that may have been executed, unless executing it again is harmless.
func (e *EffectHistory) Record(id string, idempotency Idempotency) {
	if idempotency == Idempotent || e.known[id] {
		return
	}
	e.known[id] = true
	if len(e.oldest) < e.capacity {
		e.oldest = append(e.oldest, id)
		return
	}
	delete(e.known, e.oldest[e.next])
	e.oldest[e.next] = id
	e.next = (e.next + 1) % e.capacity
}

// Forbids reports whether a request with an ID must not be sent to a host, as one with that ID may have been executed.
func (e *EffectHistory) Forbids(id string) bool { return e.known[id] }
