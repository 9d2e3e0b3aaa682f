// Package emulator plays dispatchers with clients, links, caches, parents and an origin on one clock and one seed, with no
// socket: the same scenario always comes out the same. Dispatchers are core/routing's own modules; what surrounds them is a
// model, each part by itself, so that figures from here are simulated. It is pure: no I/O, no clock, no goroutine.
package emulator

import (
	"errors"
	"fmt"

	"elderwall/core/routing/retrybudget"
)

// Kinds of trouble that a scenario can have.
const (
	Vanish  = "vanish"  // hosts say nothing any more, and the list does not tell
	Slow    = "slow"    // hosts take Factor times as long
	Restart = "restart" // hosts come back at once with nothing in their caches, as the list tells
	Replace = "replace" // hosts drain and go, others come, one after the other
	Hot     = "hot"     // one object has a share of all GETs
	Scan    = "scan"    // objects that are asked for once, in a rate of their own
	Err     = "err"     // hosts do the work and answer with an error
	Purge   = "purge"   // the most asked for objects are purged, one after the other
	Burst   = "burst"   // clients ask Factor times as often
	Kill    = "kill"    // dispatchers end with all they hold, and start again after For, knowing nothing
)

// Kinds is all of them.
var Kinds = []string{Vanish, Slow, Restart, Replace, Hot, Scan, Err, Purge, Burst, Kill}

// Trouble is something that happens in a scenario.
type Trouble struct {
	Kind    string
	At, For float64 // s; For 0 is to the end
	Share   float64 // of the hosts, of the dispatchers for Kill, or of GETs for Hot
	Cells   int     // so many whole cells instead of a share of the hosts
	Factor  float64 // of Slow and Burst
	Rate    float64 // a second, of Scan and Purge
	Cold    bool    // hosts that vanished come back with empty caches, as the list tells
}

// Scenario is all that a run is made of. Times are in seconds.
type Scenario struct {
	Seed          uint64
	Seconds, Warm float64 // Warm is before what counts
	Dispatchers   int
	Caches        int
	Cells         int // racks among which caches are divided
	Parents       int
	Slots         int     // transfers that a cache serves at a time
	Serve         float64 // a transfer takes this long in the mean
	Queue         int     // GETs that wait at a host; more are not taken
	Holds         int     // objects that a cache keeps
	ParentSlots   int
	ParentHolds   int
	OriginSlots   int
	OriginServe   float64
	Link          float64 // one way, in the mean
	Connect       float64 // after which a connection to a silent host is given up
	IdleClose     float64 // after which an unused connection is not there any more
	News          float64 // the list reaches a dispatcher within this time
	Rate          float64 // GETs a second, of all clients
	Objects       int
	Zipf          float64 // exponent by which objects are asked for; 0 for evenly
	Objective     float64
	ViewerTimeout float64
	Again         int // times that a client comes again when it was shed, or its GET failed or came too late
	Retries       retrybudget.Settings
	MaxForwards   int
	Shards        int // modules of a dispatcher, divided by object; their cold budgets are divided
	Zones         int // locations among which dispatchers and caches are divided
	Troubles      []Trouble

	// Bytes. Without KB transfers take Serve, and nothing of what follows counts.
	KB, Spread float64 // of an object in the mean, and the spread of its logarithm
	Pace       float64 // KB a second of one transfer that no link bounds
	CacheKB    float64 // a second, of the link out of a cache; 0 carries any number, here and below
	ParentKB   float64
	OriginKB   float64
	WayInKB    float64 // of the link into a location, which all fills share
	Tells      bool    // answers tell their bytes
}

// Default is a small calm fleet.
func Default() Scenario {
	return Scenario{
		Seed: 1, Seconds: 20, Warm: 5, Dispatchers: 2, Caches: 20, Cells: 4, Parents: 2, Slots: 8, Serve: 0.02,
		Queue: 64, Holds: 5000, ParentSlots: 200, ParentHolds: 200_000, OriginSlots: 400, OriginServe: 0.05, Link: 0.002,
		Connect: 0.3, IdleClose: 15, News: 0.2, Rate: 500, Objects: 10_000, Zipf: 1.1, Objective: 0.3, ViewerTimeout: 2,
		Again: 1, MaxForwards: 6, Shards: 1, Zones: 1, Pace: 1000, Tells: true,
	}
}

// What a scenario may be at most, so that a run ends and has room.
const (
	mostSeconds  = 3600.0
	mostHosts    = 100_000
	mostObjects  = 1 << 24
	mostGETs     = 100_000_000
	mostTroubles = 100
)

// Check tells all that is wrong with a scenario.
func (s *Scenario) Check() error {
	var all []error
	need := func(ok bool, format string, v ...any) {
		if !ok {
			all = append(all, fmt.Errorf(format, v...))
		}
	}
	need(s.Seconds > 0 && s.Warm >= 0 && s.Seconds+s.Warm <= mostSeconds, "seconds and warm: up to %g s together", mostSeconds)
	need(s.Caches > 0 && s.Caches <= mostHosts, "caches: 1 to %d", mostHosts)
	need(s.Cells > 0 && s.Cells <= s.Caches, "cells: 1 to the caches")
	need(s.Parents >= 0 && s.Parents <= mostHosts, "parents: 0 to %d", mostHosts)
	need(s.Dispatchers > 0 && s.Dispatchers <= 1000 && s.Shards > 0 && s.Shards <= 256, "dispatchers: 1 to 1000, shards: 1 to 256")
	need(s.Slots > 0 && s.ParentSlots > 0 && s.OriginSlots > 0, "slots of hosts: at least one")
	need(s.Holds > 0 && s.ParentHolds > 0, "holds: at least one object")
	need(s.Serve > 0 && s.OriginServe > 0 && s.Link >= 0 && s.Connect > 0, "serve, origin_serve, connect: above 0")
	need(s.Rate > 0 && s.Rate*(s.Seconds+s.Warm) <= mostGETs, "rate: above 0, and up to %d GETs in a run", mostGETs)
	need(s.Objects > 0 && s.Objects <= mostObjects, "objects: 1 to %d", mostObjects)
	need(s.Zipf == 0 || s.Zipf > 1, "zipf: 0 or above 1")
	need(s.Objective > 0 && s.ViewerTimeout > s.Objective, "viewer_timeout: above the objective")
	need(s.Zones > 0 && s.Zones <= min(s.Caches, s.Dispatchers), "zones: 1 to the caches and the dispatchers")
	need(s.KB == 0 || s.Pace > 0, "pace: above 0")
	need(s.MaxForwards > 0, "max_forwards: at least one")
	need(len(s.Troubles) <= mostTroubles, "troubles: at most %d", mostTroubles)
	for i, t := range s.Troubles {
		need(t.Share >= 0 && t.Share <= 1 && t.Cells >= 0 && t.Cells <= s.Cells, "troubles[%d]: share up to 1, cells up to all", i)
		need(t.Kind != Slow && t.Kind != Burst || t.Factor > 0, "troubles[%d]: %s needs a factor", i, t.Kind)
		need(t.Kind != Kill || t.For > 0 && s.Shards == 1, "troubles[%d]: kill needs a time, and no shards", i)
		need(t.Kind != Scan && t.Kind != Purge || t.Rate > 0 && t.Rate*(s.Seconds+s.Warm) <= mostGETs, "troubles[%d]: %s needs a rate", i, t.Kind)
	}
	return errors.Join(all...)
}
