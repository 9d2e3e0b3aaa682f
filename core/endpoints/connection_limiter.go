// Package endpoints decides how a driver applies endpoint lists and opens connections. A long list is applied
// in batches. The rate of new connections to all hosts together is limited, and the first connections to hosts
// that were listed at the same time are spread pseudo-randomly by a seed. The package does no I/O and reads no
// clock.
package endpoints

import (
	"math"

	"elderwall/core/routing/rendezvous"
)

const (
	// connectionRate is in connections per second. Each one takes about 60 µs here and a handshake at the
	// host, so this rate uses about half a core.
	connectionRate = 8000.0
	// connectionBurst is the number of connections that may be saved up. More at a time would fill the accept
	// queues of hosts.
	connectionBurst = 500.0
	// maxFirstConnectionDelay limits the delay of first connections, in seconds. A GET that can't wait for its
	// host uses another one.
	maxFirstConnectionDelay = 2.0
)

// ConnectionLimiter is a token bucket that limits new connections. The zero value has a whole burst available.
// It is not safe for concurrent use.
type ConnectionLimiter struct {
	used      float64 // connections of the burst that are used up
	updatedAt float64 // seconds
}

// Allow takes one connection out of the bucket. It returns false if none is available. now is in seconds; time
// that stands still or goes back adds nothing.
func (l *ConnectionLimiter) Allow(now float64) bool {
	l.used = math.Max(0, l.used-connectionRate*math.Max(0, now-l.updatedAt))
	l.updatedAt = now
	if l.used+1 > connectionBurst {
		return false
	}
	l.used++
	return true
}

// FirstConnectionDelay returns how many seconds to wait before the first connection to a host that was listed
// together with others. It is 0 if all of them fit into a burst. listed is the number of hosts in the list.
func FirstConnectionDelay(seed uint64, host uint32, listed int) float64 {
	window := math.Min(maxFirstConnectionDelay, (float64(listed)-connectionBurst)/connectionRate)
	if window <= 0 {
		return 0
	}
	return window * float64(rendezvous.Mix(seed^rendezvous.Mix(uint64(host)))>>11) / (1 << 53)
}
