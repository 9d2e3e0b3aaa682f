package extproc

import (
	"sync"
	"sync/atomic"
	"time"

	"elderwall/core/proxycall"
	"elderwall/internal/call"
	"elderwall/internal/memquota"
)

const lookAgain = time.Millisecond // at a route that news has overtaken: a shard that does not stand still hears it in less

// ask is one GET of a proxy, over as many streams as it takes.
//
// Its front may answer it by itself until a forward begins that must not run twice (Commit, or a route that a stream takes); from then on only the
// router knows what the client may be told.
type ask struct {
	row    *proxycall.Call
	get    call.GET
	as     call.Call // as the handler knows it
	origin uint64

	entered   atomic.Int32   // how far it has come to the handler
	abandoned atomic.Bool    // no answer of the router is waited for any more
	room      *memquota.Room // that the bytes of its answer hold
	mark      atomic.Int32

	wake chan struct{}

	mu     sync.Mutex   // guards what follows
	routes []call.Route // that no stream has taken yet
	final  *final
	route  *call.Route // the one that is with the proxy
	once   bool        // a forward of a GET that must not run twice has begun
}

// How far an ask has come to the handler.
const (
	queued  int32 = iota
	handing       // Process is called
	skipped       // its time was over before its turn came
	handed        // Process has returned
)

// final is the one answer that is not a route.
type final struct {
	status int
	wait   int64 // ms; after which the client may come again, 0 for none
	reason string
	body   []byte
}

// HTTP statuses of final answers (RFC 9110, section 15).
const (
	statusOK        = 200
	statusSame      = 304
	statusBad       = 400
	statusForbidden = 403
	statusTooLong   = 431
	statusShed      = 503
	statusFailed    = 504
)

func (a *ask) end(f final) {
	a.mu.Lock()
	if a.final == nil {
		a.final, a.routes = &f, nil
	} else {
		a.room.Give(len(f.body))
	}
	a.mu.Unlock()
	a.signal()
}

// Commit is call.Committer: the dispatcher is about to send a forward.
func (a *ask) Commit(repeatable bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.abandoned.Load() {
		return false
	}
	a.once = a.once || !repeatable
	return true
}

// withdraw ends a GET whose front answers by itself: no forward of it has begun or will begin, or running it again does no harm. It is false for any
// other, and for one that has its answer. Guards against a promise of no effect for a GET that runs, or is about to.
func (a *ask) withdraw() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.once || a.final != nil {
		return false
	}
	a.abandoned.Store(true)
	return true
}

// ranOnce tells whether a forward of a GET that must not run twice has begun.
func (a *ask) ranOnce() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.once
}

// drop takes an answer that no stream will take, now or later. Guards against bytes that hold their room for good, until there is none left
// for any answer.
func (a *ask) drop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.final != nil {
		a.room.Give(len(a.final.body))
	}
	a.final = &final{status: statusFailed}
}

func (a *ask) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Serve answers with the bytes that the dispatcher fetched itself.
func (a *ask) Serve(body []byte, same bool) {
	a.end(final{status: map[bool]int{false: statusOK, true: statusSame}[same], body: body})
}

// Refuse answers that coming again is harmless.
func (a *ask) Refuse(wait int64) { a.end(final{status: statusShed, wait: wait}) }

// Fail answers that it failed; a reason is one that the caller may know.
func (a *ask) Fail(reason string) {
	a.end(final{status: map[bool]int{false: statusForbidden, true: statusFailed}[reason == ""], reason: reason})
}

// Open tells whether an answer is owed still.
func (a *ask) Open() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.final == nil && !a.abandoned.Load()
}

// Mark keeps the handler's number.
func (a *ask) Mark(number int, _ time.Time) { a.mark.Store(int32(number)) }

// Marked gives it back.
func (a *ask) Marked() int { return int(a.mark.Load()) }

// Origin is the number of its proxy.
func (a *ask) Origin() uint64 { return a.origin }

// routed is an ask whose forwards the proxy sends.
type routed struct{ *ask }

var (
	_ call.Committer = (*ask)(nil)
	_ call.Router    = routed{}
)

// Route keeps a route until a stream of the GET takes it.
func (r routed) Route(route call.Route) {
	r.mu.Lock()
	if r.final == nil {
		r.routes = append(r.routes, route)
	}
	r.mu.Unlock()
	r.signal()
}

// Withdraw takes back a route that no stream has taken, and tells whether there was one.
func (r routed) Withdraw(number int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.routes[:0]
	for _, route := range r.routes {
		if route.Number != number {
			kept = append(kept, route)
		}
	}
	back := len(kept) < len(r.routes)
	r.routes = kept
	return back
}

// next takes what there is to say: a route, unless news has overtaken it, or the final answer.
func (a *ask) next() (route *call.Route, f *final) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.final != nil {
		return nil, a.final
	}
	if len(a.routes) > 0 && !overtaken(a.routes[0]) {
		r := a.routes[0]
		a.routes = a.routes[1:]
		a.route = &r
		a.once = a.once || !r.Repeatable
		return &r, nil
	}
	return nil, nil
}

func overtaken(r call.Route) bool { return r.Overtaken != nil && r.Overtaken() }

// wait is next, once there is something, or by a time at the latest.
func (a *ask) wait(until time.Time) (route *call.Route, f *final, ok bool) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		if route, f = a.next(); route != nil || f != nil {
			return route, f, true
		}
		var look <-chan time.Time
		if waits, _ := a.more(); waits { // for news to be heard, by which it may stand
			look = time.After(lookAgain)
		}
		select {
		case <-a.wake:
		case <-look:
		case <-timer.C:
			return nil, nil, false
		}
	}
}

// answer waits for the final answer, by a time at the latest; nil if there is none by then.
func (a *ask) answer(by time.Time) *final {
	_, f := a.await(by, func(_ bool, f *final) bool { return f != nil })
	return f
}

// settled waits until the router has dealt with the end of a forward, by a time at the latest: there is a route for a further call, or the final answer.
func (a *ask) settled(by time.Time) (waits bool, f *final) {
	return a.await(by, func(waits bool, f *final) bool { return waits || f != nil })
}

// await is more, once that is enough, or by a time at the latest.
func (a *ask) await(by time.Time, enough func(waits bool, f *final) bool) (waits bool, f *final) {
	timer := time.NewTimer(time.Until(by))
	defer timer.Stop()
	for {
		if waits, f = a.more(); enough(waits, f) {
			return waits, f
		}
		select {
		case <-a.wake:
		case <-timer.C:
			return a.more()
		}
	}
}

// more tells whether a route waits for a further call of the proxy.
func (a *ask) more() (waits bool, f *final) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.routes) > 0, a.final
}

// current is the route that is with the proxy.
func (a *ask) current() *call.Route {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.route
}
