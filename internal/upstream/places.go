package upstream

import (
	"math"
	"sync"
	"time"

	"elderwall/core/endpoints"
	"elderwall/internal/clock"
)

// Dials bounds the connections that are begun in a time.
type Dials struct {
	mu    sync.Mutex
	pace  endpoints.ConnectionLimiter
	start time.Time
}

// NewDials has a whole burst.
func NewDials() *Dials { return &Dials{start: time.Now()} }

func (d *Dials) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pace.Allow(time.Since(d.start).Seconds())
}

// Places bounds the connections to all hosts together. Where all are taken, the one that was idle for longest gives way
// to a host that has none free: a host's claim on a place is by use. Guards against more hosts than places, which would
// pass the limit on descriptors and have dials fail that no host is to blame for.
type Places struct {
	most int64

	mu    sync.Mutex
	conns map[*conn]struct{} // that hold a place
}

// NewPlaces is so many places.
func NewPlaces(most int) *Places {
	return &Places{most: int64(max(1, most)), conns: map[*conn]struct{}{}}
}

// take gives a new connection a place; false if all are taken by connections that something is out on. The one that
// gives way must be ended by the caller, once it holds no lock.
func (p *Places) take(c *conn) (givesWay *conn, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if int64(len(p.conns)) >= p.most {
		if givesWay = p.longestIdle(); givesWay == nil {
			return nil, false
		}
		delete(p.conns, givesWay)
	}
	p.conns[c] = struct{}{}
	return givesWay, true
}

// longestIdle takes the connection that was idle for longest out of use; nil if none is idle.
func (p *Places) longestIdle() *conn {
	for {
		var longest *conn
		since := int64(0)
		for c := range p.conns {
			if at := c.idle.Load(); at != busy && at != endedIdle && (longest == nil || at < since) {
				longest, since = c, at
			}
		}
		if longest == nil || longest.idle.CompareAndSwap(since, endedIdle) {
			return longest
		}
	}
}

// givePlace gives back what place the connection has.
func (c *conn) givePlace() {
	if c.host.Places != nil {
		c.host.Places.give(c)
	}
}

// give gives a place back.
func (p *Places) give(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// Taken is how many are.
func (p *Places) Taken() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// What a connection's idle time tells besides the clock.Instant since when it is idle.
const (
	busy      = 0             // something is out on it
	endedIdle = math.MinInt64 // it has given way, and is used no more
)

// claim takes an idle connection into use; false if it has given way.
func (c *conn) claim() bool {
	at := c.idle.Load()
	return at == busy || at != endedIdle && c.idle.CompareAndSwap(at, busy)
}

// rest books that nothing is out on a connection; called under its host's lock.
func (c *conn) rest() {
	if len(c.open) == 0 && !c.closed {
		c.idle.CompareAndSwap(busy, int64(clock.InstantOf(c.used)))
	}
}
