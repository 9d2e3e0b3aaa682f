// Package endpoints decides what drivers ask of lists and connections. A list is taken in by steps (steps.go). A connection may be begun: so many a second to all hosts together, and the first
// ones to hosts that were listed together spread by chance from the seed. It is pure.
package endpoints

import (
	"math"

	"elderwall/core/routing/rendezvous"
)

const (
	rate   = 8000.0 // connections begun a second: each takes some 60 µs here and a handshake there, so half a core
	burst  = 500.0  // that may be saved up: more at a time fill the lines in which hosts take them
	longer = 2.0    // s; over which the first ones are spread at most: a GET that can't wait goes elsewhere
)

// Pace is how many connections may be begun now. The zero Pace has a whole burst.
type Pace struct {
	spent float64 // of the burst
	at    float64
}

// Begin takes a connection out of what may be begun; false if there is none. Time that goes back or stands still adds
// nothing.
func (p *Pace) Begin(now float64) bool {
	p.spent = math.Max(0, p.spent-rate*math.Max(0, now-p.at))
	p.at = now
	if p.spent+1 > burst {
		return false
	}
	p.spent++
	return true
}

// First is how many seconds a host that was listed with others waits for its first connection: none where all of them
// fit into a burst.
func First(seed uint64, host uint32, together int) float64 {
	window := math.Min(longer, (float64(together)-burst)/rate)
	if window <= 0 {
		return 0
	}
	return window * float64(rendezvous.Mix(seed^rendezvous.Mix(uint64(host)))>>11) / (1 << 53)
}
