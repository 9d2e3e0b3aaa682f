// Package coalescing decides which GETs for the same part of the same object share one forward while they wait. It is pure.
//
// What holds:
//   - a GET leads, follows or is alone, and has one end;
//   - what is done for a flight goes on for as long as anybody needs it, and is stopped with the last who does;
//   - who comes after a purge never follows what was begun before it;
//   - one that fails is gone on with by one of those that wait, never by all at once.
package coalescing

import (
	"math"

	"elderwall/core/timerwheel"
)

const (
	mostFollowers = 1024    // of one flight; their answers are written in one go. Who comes then begins the next
	mostInAll     = 1 << 14 // followers of all flights
	mostLeads     = 3       // GETs that go on in the lead one after the other; the object is at fault by then, not its hosts
	lastMoment    = 0.050   // s; a follower is answered so long before its viewer timeout, as core/routing does
	nearEnd       = 0.075   // s; a leader that is shed so long before its viewer timeout has run out of its own time: core/routing answers 50 ms ahead, and a tick may pass
	lastShare     = 0.25    // share of its time, for one that has little
	learn         = 0.1     // share; weight of one flight in what they usually take
)

// Key is what must be the same for GETs to share a forward.
type Key struct {
	Service, Part, Group int
	Object               string
}

// Role is what a GET does.
type Role int

// The roles.
const (
	Alone   Role = iota // goes by itself, and nobody follows it
	Leads               // goes, and others may follow
	Follows             // waits
)

// How a leader's GET ended.
type How int

// The ways in which it can.
const (
	Served How = iota
	Shed       // for want of room: it would be no other for those that wait
	Failed
	TimeOver // its own, not that of those that wait
)

// Waiter is a GET of a flight.
type Waiter[W any] struct {
	W      W
	until  float64
	flight *Flight[W] // nil once it has its end
	leads  bool
	last   timerwheel.Timer[*Waiter[W]]
}

// Flight is one forward, or several one after the other, with all that wait for it.
type Flight[W any] struct {
	key    Key
	lead   *Waiter[W]
	gone   bool // whether the leader's client has left
	others []*Waiter[W]
	begun  float64
	leads  int
}

// Table is all flights.
type Table[W any] struct {
	flights   map[Key]*Flight[W] // that may be followed
	followers int
	usual     float64 // s; that a flight takes
	due       timerwheel.Wheel[*Waiter[W]]
}

// New is empty.
func New[W any]() *Table[W] { return &Table[W]{flights: map[Key]*Flight[W]{}} }

// Enter takes a GET that leaves at a time. The waiter is nil for one that is alone.
func (t *Table[W]) Enter(now float64, key Key, until float64, w W) (*Waiter[W], Role) {
	f := t.flights[key]
	if f == nil || len(f.others) >= mostFollowers { // a full one goes on, and the next one takes who comes
		f = &Flight[W]{key: key, begun: now, leads: 1}
		f.lead = &Waiter[W]{W: w, until: until, flight: f, leads: true}
		t.flights[key] = f
		return f.lead, Leads
	}
	last := until - math.Min(lastMoment, lastShare*(until-now))
	if t.followers >= mostInAll || last < f.begun+t.usual || last <= now {
		return nil, Alone
	}
	one := &Waiter[W]{W: w, until: until, flight: f}
	f.others = append(f.others, one)
	t.followers++
	t.due.Put(&one.last, last, one)
	return one, Follows
}

// Needed tells whether others wait for what a leader does.
func (w *Waiter[W]) Needed() bool {
	return w != nil && w.flight != nil && w.leads && len(w.flight.others) > 0
}

// Follows tells whether it waits for another.
func (w *Waiter[W]) Follows() bool { return w != nil && w.flight != nil && !w.leads }

// Leave takes word that a GET's client has left. It gives the leader whose work nobody needs any more; ok false for none.
func (t *Table[W]) Leave(w *Waiter[W]) (stop W, ok bool) {
	f := w.flight
	if f == nil {
		return stop, false
	}
	if w.leads {
		f.gone = true
	} else {
		t.drop(w)
	}
	if !f.gone || len(f.others) > 0 {
		return stop, false
	}
	t.close(f)
	f.lead.flight = nil
	return f.lead.W, true
}

// drop takes a follower out.
func (t *Table[W]) drop(w *Waiter[W]) {
	f := w.flight
	for i, o := range f.others {
		if o == w {
			f.others = append(f.others[:i], f.others[i+1:]...)
			t.followers--
			break
		}
	}
	t.due.Remove(&w.last)
	w.flight = nil
}

// close lets nobody follow a flight any more.
func (t *Table[W]) close(f *Flight[W]) {
	if t.flights[f.key] == f {
		delete(t.flights, f.key)
	}
}

// Ended takes the end of a leader's GET: those that have their answer by it, in the order in which they came, and the one
// that goes on in the lead, if any. Of those that are answered none is in a flight any more.
func (t *Table[W]) Ended(now float64, w *Waiter[W], how How) (answered []W, next *Waiter[W]) {
	f := w.flight
	if f == nil || !w.leads {
		return nil, nil
	}
	w.flight = nil
	if how == Shed && now >= w.until-nearEnd {
		how = TimeOver
	}
	if how == Served {
		t.usual += (now - f.begun - t.usual) * learn
	}
	if how == Failed || how == TimeOver {
		if next = t.promote(now, f); next != nil {
			return nil, next
		}
	}
	t.close(f)
	for _, o := range f.others {
		answered = append(answered, o.W)
		t.due.Remove(&o.last)
		o.flight = nil
	}
	t.followers -= len(f.others)
	f.others = nil
	return answered, nil
}

// promote gives the lead to the follower with the longest rest, if that is worth it.
func (t *Table[W]) promote(now float64, f *Flight[W]) *Waiter[W] {
	var longest *Waiter[W]
	for _, o := range f.others {
		if longest == nil || o.until > longest.until {
			longest = o
		}
	}
	if longest == nil || f.leads >= mostLeads || longest.until-now <= math.Max(lastMoment, t.usual) {
		return nil
	}
	t.drop(longest)
	longest.flight, longest.leads = f, true
	f.lead, f.gone, f.begun = longest, false, now
	f.leads++
	return longest
}

// TimedOut is a follower whose time is over.
type TimedOut[W any] struct {
	Over  W    // the follower
	Stop  W    // the leader whose work nobody needs any more by that
	Stops bool // false where there is no such leader
}

// Pass takes out the next follower whose time, in seconds as now, is over; false for none.
func (t *Table[W]) Pass(now float64) (TimedOut[W], bool) {
	w, ok := t.due.Pop(now)
	if !ok {
		return TimedOut[W]{}, false
	}
	stop, stops := t.Leave(w)
	return TimedOut[W]{Over: w.W, Stop: stop, Stops: stops}, true
}

// Purged lets nobody follow what was begun before a purge of an object, or of a whole group where object is empty.
func (t *Table[W]) Purged(object string, group int) {
	for key := range t.flights {
		if key.Object == object || object == "" && key.Group == group {
			delete(t.flights, key)
		}
	}
}

// Followers is how many wait.
func (t *Table[W]) Followers() int { return t.followers }
