package sharding

import "math"

const (
	probeTimeout = 3.0     // seconds; a shard that has claimed a host's probe and does not claim it again within this time loses it
	maxHosts     = 1 << 12 // more than a host list has
)

// SharedCredits limits what all shards together may send to hosts that are starting slowly or were ejected to what
// a single module would send. It is not safe for concurrent use.
type SharedCredits struct {
	buckets map[uint32]*bucket
	probes  map[uint32]probe
}

type bucket struct {
	credit      float64 // seconds of sending time
	limit       float64
	onlineSince float64 // start of the host; a later start begins a new bucket
}

type probe struct {
	shard     int
	expiresAt float64
}

// Accrue adds credit that one shard's slow-start rate allows to the bucket of a host that came online at
// onlineSince, up to limit, and returns the bucket's credit. A new bucket begins with initial. Credits are in
// seconds of sending time.
func (p *SharedCredits) Accrue(host uint32, onlineSince, initial, add, limit float64) (credit float64) {
	if p.buckets == nil {
		p.buckets = map[uint32]*bucket{}
	}
	b := p.buckets[host]
	if b == nil || b.onlineSince < onlineSince {
		if len(p.buckets) >= maxHosts {
			clear(p.buckets) // these hosts have long finished their slow start
		}
		b = &bucket{credit: initial, onlineSince: onlineSince}
		p.buckets[host] = b
	}
	if onlineSince < b.onlineSince { // that shard does not know of the later start yet, whose rate is lower
		return b.credit
	}
	b.limit = limit
	b.credit = math.Min(b.credit+add, math.Max(limit, b.credit))
	return b.credit
}

// Spend takes the cost of a GET from a host's bucket. It returns false, and takes nothing, if the credit does not
// suffice.
func (p *SharedCredits) Spend(host uint32, work float64) bool {
	b := p.buckets[host]
	if b == nil || b.credit < work {
		return false
	}
	b.credit -= work
	return true
}

// ClaimProbe reports whether a shard may probe an ejected host. Only one shard does at a time, until the probe
// ends or the shard no longer claims it. now is in seconds.
func (p *SharedCredits) ClaimProbe(now float64, host uint32, shard int) bool {
	if p.probes == nil {
		p.probes = map[uint32]probe{}
	}
	current, claimed := p.probes[host]
	if claimed && current.shard != shard && now < current.expiresAt {
		return false
	}
	if !claimed && len(p.probes) >= maxHosts {
		clear(p.probes)
	}
	p.probes[host] = probe{shard, now + probeTimeout}
	return true
}

// EndProbe ends the probe of a host that has recovered.
func (p *SharedCredits) EndProbe(host uint32) { delete(p.probes, host) }
