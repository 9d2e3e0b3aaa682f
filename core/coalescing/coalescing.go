// Package coalescing decides which GETs for the same part of the same object share one forward. It does no I/O
// and reads no clock.
//
// Invariants:
//   - A GET is a leader, a follower or alone, and it ends exactly once.
//   - The work of a flight continues as long as any of its GETs needs it, and is stopped when the last one
//     leaves.
//   - A GET that arrives after a purge never follows a flight that was started before it.
//   - If a leader fails, one of its followers continues, never all of them at once.
package coalescing

import (
	"math"

	"elderwall/core/timerwheel"
)

const (
	// maxFollowersPerFlight limits the answers that are written in one go. Later GETs start the next flight.
	maxFollowersPerFlight = 1024
	maxFollowers          = 1 << 14 // limit on the followers of all flights together
	// maxLeaders is the number of GETs that may lead a flight one after another. If all of them fail, the
	// object is at fault and not its hosts.
	maxLeaders = 3
	// answerMargin is the time in seconds by which a follower is answered before its viewer timeout, as in
	// core/routing.
	answerMargin = 0.050
	// shedMargin is in seconds. A leader that is shed within this time before its viewer timeout has exhausted
	// its own time rather than a resource: core/routing answers 50 ms before the timeout, and a tick may pass.
	shedMargin = 0.075
	// maxMarginShare limits answerMargin to a share of the time that a GET has left when it joins. The limit
	// matters for GETs with little time left.
	maxMarginShare = 0.25
	durationWeight = 0.1 // weight of one flight in the moving average of durations
)

// Key identifies what must be equal for GETs to share a forward.
type Key struct {
	Service, Part, Group int
	Object               string
}

// Role is the role of a GET.
type Role int

// These are the roles.
const (
	Alone    Role = iota // is forwarded by itself and has no followers
	Leader               // is forwarded and may have followers
	Follower             // waits for the leader's answer
)

// Outcome tells how the GET of a leader ended.
type Outcome int

// These are the outcomes.
const (
	Served Outcome = iota
	Shed           // rejected for lack of resources, which the followers would lack as well
	Failed
	DeadlineExceeded // the leader's own time ran out, but not that of the followers
)

// Waiter is a GET in a flight. Value is what the caller passed to Join.
type Waiter[W any] struct {
	Value    W
	deadline float64    // seconds; when the client stops waiting
	flight   *Flight[W] // nil once the GET has ended
	isLeader bool
	timer    timerwheel.Timer[*Waiter[W]] // of a follower; fires when it must be answered
}

// Flight is one forward, or several consecutive ones, with all GETs that wait for the answer.
type Flight[W any] struct {
	key         Key
	leader      *Waiter[W]
	leaderLeft  bool // whether the leader's client has left
	followers   []*Waiter[W]
	startedAt   float64 // seconds; start of the current leader's forward
	leaderCount int     // number of leaders so far
}

// Table holds all flights. It is not safe for concurrent use. Times are in seconds on the caller's monotonic
// clock.
type Table[W any] struct {
	flights       map[Key]*Flight[W] // flights that GETs may still join
	followerCount int
	usualDuration float64                      // seconds; moving average of the durations of flights
	timeouts      timerwheel.Wheel[*Waiter[W]] // of the followers
}

// New returns an empty table.
func New[W any]() *Table[W] { return &Table[W]{flights: map[Key]*Flight[W]{}} }

// Join adds a GET whose client stops waiting at deadline, in seconds, and returns its role. The waiter is nil if the GET
// is alone.
func (t *Table[W]) Join(now float64, key Key, deadline float64, w W) (*Waiter[W], Role) {
	f := t.flights[key]
	if f == nil || len(f.followers) >= maxFollowersPerFlight { // a full flight continues beside the new one
		f = &Flight[W]{key: key, startedAt: now, leaderCount: 1}
		f.leader = &Waiter[W]{Value: w, deadline: deadline, flight: f, isLeader: true}
		t.flights[key] = f
		return f.leader, Leader
	}
	expiresAt := deadline - math.Min(answerMargin, maxMarginShare*(deadline-now))
	if t.followerCount >= maxFollowers || expiresAt < f.startedAt+t.usualDuration || expiresAt <= now {
		return nil, Alone
	}
	follower := &Waiter[W]{Value: w, deadline: deadline, flight: f}
	f.followers = append(f.followers, follower)
	t.followerCount++
	t.timeouts.Put(&follower.timer, expiresAt, follower)
	return follower, Follower
}

// HasFollowers reports whether w is a leader for which others wait. w may be nil.
func (w *Waiter[W]) HasFollowers() bool {
	return w != nil && w.flight != nil && w.isLeader && len(w.flight.followers) > 0
}

// Follows reports whether w waits for a leader. w may be nil.
func (w *Waiter[W]) Follows() bool { return w != nil && w.flight != nil && !w.isLeader }

// Leave records that the client of a GET has left. If nobody needs the flight's work any more, it returns the
// leader, whose work must be stopped, and true.
func (t *Table[W]) Leave(w *Waiter[W]) (leader W, ok bool) {
	f := w.flight
	if f == nil {
		return leader, false
	}
	if w.isLeader {
		f.leaderLeft = true
	} else {
		t.removeFollower(w)
	}
	if !f.leaderLeft || len(f.followers) > 0 {
		return leader, false
	}
	t.close(f)
	f.leader.flight = nil
	return f.leader.Value, true
}

// removeFollower removes a follower from its flight.
func (t *Table[W]) removeFollower(w *Waiter[W]) {
	f := w.flight
	for i, o := range f.followers {
		if o == w {
			f.followers = append(f.followers[:i], f.followers[i+1:]...)
			t.followerCount--
			break
		}
	}
	t.timeouts.Remove(&w.timer)
	w.flight = nil
}

// close prevents further GETs from joining a flight.
func (t *Table[W]) close(f *Flight[W]) {
	if t.flights[f.key] == f {
		delete(t.flights, f.key)
	}
}

// FinishLeader records the end of a leader's GET. It returns the followers that this answers, in the order in
// which they joined, or the follower that becomes the next leader. Followers that are answered leave the
// flight.
func (t *Table[W]) FinishLeader(now float64, w *Waiter[W], outcome Outcome) (answered []W, next *Waiter[W]) {
	f := w.flight
	if f == nil || !w.isLeader {
		return nil, nil
	}
	w.flight = nil
	if outcome == Shed && now >= w.deadline-shedMargin {
		outcome = DeadlineExceeded
	}
	if outcome == Served {
		t.usualDuration += (now - f.startedAt - t.usualDuration) * durationWeight
	}
	if outcome == Failed || outcome == DeadlineExceeded {
		if next = t.promote(now, f); next != nil {
			return nil, next
		}
	}
	t.close(f)
	for _, o := range f.followers {
		answered = append(answered, o.Value)
		t.timeouts.Remove(&o.timer)
		o.flight = nil
	}
	t.followerCount -= len(f.followers)
	f.followers = nil
	return answered, nil
}

// promote makes the follower with the most remaining time the leader. It returns nil if there is no follower,
// the flight has had maxLeaders leaders, or the remaining time is too short.
func (t *Table[W]) promote(now float64, f *Flight[W]) *Waiter[W] {
	var latest *Waiter[W]
	for _, o := range f.followers {
		if latest == nil || o.deadline > latest.deadline {
			latest = o
		}
	}
	if latest == nil || f.leaderCount >= maxLeaders || latest.deadline-now <= math.Max(answerMargin, t.usualDuration) {
		return nil
	}
	t.removeFollower(latest)
	latest.flight, latest.isLeader = f, true
	f.leader, f.leaderLeft, f.startedAt = latest, false, now
	f.leaderCount++
	return latest
}

// TimedOut describes a follower that must be answered because its time has run out.
type TimedOut[W any] struct {
	Follower   W
	Leader     W    // the leader to be stopped; valid only if StopLeader is set
	StopLeader bool // whether nobody needs the leader's work any more
}

// NextTimedOut removes the next follower whose time has run out at now, in seconds, and returns false if there
// is none.
func (t *Table[W]) NextTimedOut(now float64) (TimedOut[W], bool) {
	w, ok := t.timeouts.Pop(now)
	if !ok {
		return TimedOut[W]{}, false
	}
	leader, stopLeader := t.Leave(w)
	return TimedOut[W]{Follower: w.Value, Leader: leader, StopLeader: stopLeader}, true
}

// Purge prevents GETs from joining flights that were started before a purge of an object, or of a whole group
// if object is empty.
func (t *Table[W]) Purge(object string, group int) {
	for key := range t.flights {
		if key.Object == object || object == "" && key.Group == group {
			delete(t.flights, key)
		}
	}
}

// Followers returns the number of followers in all flights.
func (t *Table[W]) Followers() int { return t.followerCount }
