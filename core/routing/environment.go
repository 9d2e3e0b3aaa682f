package routing

import (
	"encoding/binary"
	"hash/fnv"
	"math"

	"elderwall/core/routing/rendezvous"
)

// environment is shared by all components of a router: its settings, its actions, the time of the current
// call, and its source of random numbers.
type environment struct {
	Settings
	actions Actions
	now     float64 // seconds; time of the call that is being handled
	draws   uint64  // random numbers drawn so far
}

// uniform draws a random number from [0, 1) that also depends on the host.
func (e *environment) uniform(h *host) float64 {
	e.draws++
	sum := fnv.New64a()
	_ = binary.Write(sum, binary.LittleEndian, []uint64{e.Seed, uint64(e.Index), uint64(h.ID), e.draws})
	return float64(rendezvous.Mix(sum.Sum64())>>11) / (1 << 53)
}

// uniformInt draws a random integer from 0 to n-1.
func (e *environment) uniformInt(n int) int {
	e.draws++
	return int(rendezvous.Mix(e.Seed^rendezvous.Mix(uint64(e.Index)<<32+e.draws)) % uint64(n))
}

// senders returns the number of routers that send to a zone, multiplied by the number of shards of each.
func (e *environment) senders(zone int) float64 {
	shards := math.Max(1, float64(e.Shards))
	if zone < len(e.DispatchersByZone) && e.DispatchersByZone[zone] > 0 {
		return float64(e.DispatchersByZone[zone]) * shards
	}
	return math.Max(1, float64(e.Dispatchers)) * shards
}

// publish passes an update to the other shards of the process, if there are any.
func (e *environment) publish(u PeerUpdate) {
	if e.Peers != nil {
		e.Peers.Publish(u)
	}
}
