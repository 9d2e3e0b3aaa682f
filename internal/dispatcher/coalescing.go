package dispatcher

import (
	"elderwall/core/coalescing"
	"elderwall/internal/call"
)

// newCoalescer is an empty table, nil where no requests share an attempt.
func (d *Dispatcher) newCoalescer() *coalescing.Table[*request] {
	if d.Coalesce == nil {
		return nil
	}
	return coalescing.New[*request]()
}

// joinLeader reports whether a request waits for what another is at. Those that hold a copy, carry a body,
// are sent by a proxy, or must not be executed twice are alone.
func (d *Dispatcher) joinLeader(now float64, q *request) bool {
	s := q.routed.Service
	if d.coalescer == nil || s >= len(d.Coalesce) || !d.Coalesce[s] || !d.repeatable(q) ||
		q.hostRequest.Tag != "" || len(q.hostRequest.Body) > 0 {
		return false
	}
	if _, routed := q.call.(call.Router); routed {
		return false
	}
	key := coalescing.Key{Service: s, Part: q.routed.Part, Group: q.routed.Group, Object: q.routed.Object}
	// else the first class, whose name is the object's, would get what is sent for who names none
	if q.variant.Declared {
		key.Service = ^s
	}
	w, role := d.coalescer.Join(now, key, q.deadline, q)
	if q.waiter = w; role == coalescing.Follower {
		d.Options.Counts.Joined.Add(1)
		return true
	}
	return false
}

// startLeaders hands the module those that go on in the lead.
func (d *Dispatcher) startLeaders(now float64) {
	leads := d.newLeaders
	d.newLeaders = nil
	for _, q := range leads {
		if !q.finished || q.waiter.HasFollowers() {
			d.router.HandleRequest(now, q.routed)
		}
	}
}

// shareAnswer hands the bytes that a leader got to those that wait for them; one that there is no room for
// goes by itself.
func (d *Dispatcher) shareAnswer(of *attempt, body []byte) {
	q := of.request
	if q.waiter == nil {
		return
	}
	now := d.Clock.Now()
	answered, _ := d.coalescer.FinishLeader(now, q.waiter, coalescing.Served)
	for _, o := range answered {
		if o.finished || d.Variants != nil && d.redirectFollower(now, o, of) {
			continue
		}
		if !d.Options.Room.Take(len(body)) {
			o.waiter = nil
			d.newLeaders = append(d.newLeaders, o)
			continue
		}
		d.Options.Counts.Returned.Add(1)
		o.call.Serve(body, false)
		d.finish(o, false)
	}
	d.forget(q)
}

// endFollowers takes the end of a leader that got nothing: those that wait have the same, or one of them goes
// on.
func (d *Dispatcher) endFollowers(q *request, how coalescing.Outcome, answer func(*request)) {
	if q.waiter == nil || d.coalescer == nil {
		return
	}
	if q.waiter.Follows() { // by its own time
		if stop, stops := d.coalescer.Leave(q.waiter); stops {
			d.router.HandleClientGone(d.Clock.Now(), stop.id)
			d.forget(stop)
		}
		return
	}
	now := d.Clock.Now()
	answered, next := d.coalescer.FinishLeader(now, q.waiter, how)
	for _, o := range answered {
		answer(o)
	}
	if next != nil {
		d.Options.Counts.TookLead.Add(1)
		d.newLeaders = append(d.newLeaders, next.Value) // the module is at work on the one that ended
	}
	d.forget(q)
}

// handleClientGone handles that a client no longer waits: its work stops, unless others need it.
func (d *Dispatcher) handleClientGone(now float64, q *request) {
	if q.waiter == nil || d.coalescer == nil {
		d.finish(q, false)
		d.router.HandleClientGone(now, q.id)
		return
	}
	follows := q.waiter.Follows()
	stop, stops := d.coalescer.Leave(q.waiter)
	d.finish(q, false)
	if stops {
		d.router.HandleClientGone(now, stop.id)
		d.forget(stop)
	} else if !follows && !q.waiter.HasFollowers() {
		d.router.HandleClientGone(now, q.id)
	}
}

// expireFollowers answers those that have waited for as long as they can.
func (d *Dispatcher) expireFollowers(now float64) {
	if d.coalescer == nil {
		return
	}
	for late, ok := d.coalescer.NextTimedOut(now); ok; late, ok = d.coalescer.NextTimedOut(now) {
		d.shedRequest(late.Follower, 0)
		if late.StopLeader {
			d.router.HandleClientGone(now, late.Leader.id)
			d.forget(late.Leader)
		}
	}
}
