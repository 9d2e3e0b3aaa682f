package dispatcher

import (
	"errors"
	"fmt"
	"hash/maphash"
	"runtime/debug"
	"sync/atomic"
	"time"

	"elderwall/core/admission"
	"elderwall/core/routing"
	"elderwall/core/sharding"
	"elderwall/core/timerwheel"
	"elderwall/internal/call"
	"elderwall/internal/changelog"
)

const (
	idStripes = 64 // locks for the open ids: two cores hardly ever contend for one
	// maxQueuedTasks is the length of a queue at which its shard counts as stalled, and requests are shed.
	maxQueuedTasks = 4096
	// answerLead is how long ahead of its end a request is answered in place of a stalled shard.
	answerLead = 2 * stallCheckInterval

	stallCheckInterval = 25 * time.Millisecond // the longest between two checks for stalled shards
)

// Shard is what makes a dispatcher one of several in a process.
type Shard struct {
	Index, Shards int
	Peers         routing.ShardPeers
	Shared        *Shared
	// Known is the complete endpoint list and the purges that still count, for a new router.
	Known func() []changelog.Event
}

// Shared is what all shards of a process have in common: the ids and the number of open requests.
type Shared struct {
	Open atomic.Int64
	seed maphash.Seed
	ids  [idStripes]*requestIDs
}

// NewShared returns an empty one.
func NewShared() *Shared {
	t := &Shared{seed: maphash.MakeSeed()}
	for i := range t.ids {
		t.ids[i] = newRequestIDs(idStripes)
	}
	return t
}

// recovering keeps a panic within this shard: its requests are answered, and it goes on with a new router.
func (d *Dispatcher) recovering(now float64, call func()) {
	defer func() {
		if broken := recover(); broken != nil {
			d.Options.Log.Error().Int("shard", d.Shard.Index).Str("panic", fmt.Sprint(broken)).Bytes("stack", debug.Stack()).Msg("module broke")
			d.rebuild(now)
		}
	}()
	call()
}

// rebuild ends the requests of a router that broke, and makes a new one that knows the endpoint list and
// purges.
func (d *Dispatcher) rebuild(now float64) {
	d.Options.Counts.Rebuilt.Add(1)
	for _, q := range d.requests {
		q.waiter = nil
		for _, a := range q.attempts {
			if !a.returned {
				a.cancel()
				a.returned, a.ran = true, !a.unsent
			}
		}
		q.outstanding = 0
		if !q.finished {
			d.Options.Counts.Errored.Add(1)
			q.call.Fail("")
			d.finish(q, false)
		} else {
			d.forget(q)
		}
	}
	d.pendingResults, d.expiries, d.coalescer = nil, timerwheel.Wheel[*request]{}, d.newCoalescer()
	d.router = d.newRouter(now)
	for _, e := range d.Shard.Known() {
		d.handleEvent(now, e)
	}
	for id, h := range d.hosts {
		d.router.HandleConnected(now, id, h.Connected())
	}
}

// AnswerLead is how long ahead of a request's end it is answered in place of a shard that is stalled.
func AnswerLead() time.Duration { return answerLead }

// enqueueRequest puts a request in the queue, or sheds it where the queue is too long. It returns false where the shard has
// been closed, which does nothing with the request.
func (d *Dispatcher) enqueueRequest(c call.Call, in call.GET, g routing.Request, ticket admission.Ticket, key uint64) (accepted bool) {
	c.Mark(d.Shard.Index, time.Now().Add(time.Duration(in.Budget*float64(time.Second))))
	from := d.Clock.Now()
	err := d.tryEnqueue(func(now float64) {
		d.queue.slots[key%sharding.Slots]++
		d.queue.tally.Add(key)
		if g.Deadline -= now - from; now-from > sharding.StallThreshold && g.Deadline < sharding.MinRemaining {
			d.Options.Counts.Shed.Add(1) // unless it has been answered in the shard's place
			d.endAdmission(ticket, true)
			c.Refuse(0)
			return
		}
		d.accept(now, c, in, g, ticket)
	})
	if err == nil {
		return true
	}
	if errors.Is(err, errQueueClosed) {
		d.endAdmission(ticket, false)
		return false
	}
	d.endAdmission(ticket, true)
	d.Options.Counts.Shed.Add(1)
	c.Refuse(0)
	return true
}

func (d *Dispatcher) endAdmission(ticket admission.Ticket, shed bool) {
	if d.Admission != nil {
		d.Admission.End(ticket, false, shed)
	}
}

// reserve reports whether another request, with a body of so many bytes, may be held; in shards, by all of
// them together.
func (d *Dispatcher) reserve(body int) bool {
	if d.Shard == nil {
		return len(d.requests) < d.Settings.MaxHeldRequests && d.Options.Room.Take(body)
	}
	if d.Shard.Shared.Open.Add(1) <= int64(d.Settings.MaxHeldRequests) && d.Options.Room.Take(body) {
		return true
	}
	d.Shard.Shared.Open.Add(-1)
	return false
}

// releaseShared gives back what a request has of what all shards share.
func (d *Dispatcher) releaseShared() {
	if d.Shard != nil {
		d.Shard.Shared.Open.Add(-1)
	}
}
