// Package slowstart is a rig for the rule on hosts in slow start: stand-in hosts of a given capacity that count what
// reaches them, a change log behind a relay with faults, dispatchers as real processes, and clients that load them.
// The count shares no code with the dispatcher: it goes by the settings and the host's own capacity alone. All of it
// is on loopback and bounded, and it ends only what it started.
package slowstart

import (
	"math"
	"sync"
	"time"
)

// Rule is what the settings say of hosts in slow start.
type Rule struct {
	Initial  float64       // share of its capacity that a host has at its start
	Ramp     time.Duration // after which it has all of it
	Multiple float64       // of its present capacity that it bears over a window
	Window   time.Duration
}

// share returns the share of its capacity that a host has at an age.
func (r Rule) share(age time.Duration) float64 {
	return r.Initial + (1-r.Initial)*math.Min(1, age.Seconds()/r.Ramp.Seconds())
}

const (
	fewRequests    = 30      // below so many requests in a window the margin for chance is larger
	blamedShare    = 2.0 / 3 // of the requests that come from dispatchers that had been told
	smallMargin    = 3.0     // times the root of the requests, below fewRequests
	usualMargin    = 2.0     // the same from fewRequests on
	smallAllowance = 3.0
	usualAllowance = 2.0
)

// limit returns the most requests of mean work that may reach a host in a window, n being what it sustains in one.
func limit(n float64) float64 {
	if n < fewRequests {
		return n + smallMargin*math.Sqrt(n) + smallAllowance
	}
	return n + usualMargin*math.Sqrt(n) + usualAllowance
}

// Window is what reached a host in one window.
type Window struct {
	Host       string
	Age        time.Duration // of the host at its end
	Requests   float64       // each counts by the work of its class, in requests of mean work
	Told       float64       // of Requests, those that came once the start was in the change log
	Sustained  float64       // requests that the host sustains in a window by the settings
	OfTheLimit float64       // share of the most that may reach it
}

// broken reports whether the rule is broken by it.
func (w Window) broken() bool {
	return w.OfTheLimit > 1 && w.blamed()
}

// blamed reports whether dispatchers that had been told are to blame for it.
func (w Window) blamed() bool { return w.Told > w.Requests*blamedShare }

// Ledger counts what reaches one start of a host. All methods are safe for concurrent use.
type Ledger struct {
	rule     Rule
	host     string
	capacity float64 // requests of mean work a second, once the ramp is over
	started  time.Time

	mu     sync.Mutex // guards what follows
	told   time.Time  // zero until the start is in the change log
	recent []arrival  // of the last window
	worst  Window     // the one with the highest share of the limit, of those that dispatchers are to blame for
	fell   *Window    // the first one that broke the rule
	total  int
}

type arrival struct {
	at       time.Time
	requests float64 // of mean work
	told     bool
}

// Tell books that the start is in the change log.
func (l *Ledger) Tell() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.told.IsZero() {
		l.told = time.Now()
	}
}

// arrive books that a request has reached the host, which counts as so many of mean work.
func (l *Ledger) arrive(now time.Time, requests float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	age := now.Sub(l.started)
	if age >= l.rule.Ramp+l.rule.Window { // a window that began in the ramp counts to its end
		return
	}
	l.recent = append(l.recent, arrival{now, requests, !l.told.IsZero()})
	for now.Sub(l.recent[0].at) >= l.rule.Window {
		l.recent = l.recent[1:]
	}
	w := Window{Host: l.host, Age: age}
	for _, a := range l.recent {
		w.Requests += a.requests
		if a.told {
			w.Told += a.requests
		}
	}
	w.Sustained = l.rule.share(age) * l.rule.Multiple * l.capacity * l.rule.Window.Seconds()
	w.OfTheLimit = w.Requests / limit(w.Sustained)
	if l.fell == nil && w.broken() {
		l.fell = &w
	}
	if w.blamed() && w.OfTheLimit > l.worst.OfTheLimit {
		l.worst = w
	}
}

// Worst returns the window with the highest share of the limit.
func (l *Ledger) Worst() Window {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.worst
}

// Fell returns the window at which the host would have fallen, nil for none.
func (l *Ledger) Fell() *Window {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fell
}

// Total returns how many requests have reached the host since its start.
func (l *Ledger) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}
