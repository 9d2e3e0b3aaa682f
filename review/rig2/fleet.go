package rig2

import (
	"fmt"
	"strings"
	"time"

	"elderwall/internal/standin"
)

// Settings is one zone with one idempotent delivery service, as small installations have it.
func Settings(classes ...Object) Object {
	if len(classes) == 0 {
		classes = []Object{{"name": "segment", "aim": 500000, "aimStretch": 1.5, "deadline": 5000000, "effect": "safe", "dedupScope": "all", "repeatWindow": 5000000, "worth": 1}}
	}
	return Object{
		"balancers": 1, "index": 0, "zone": 0, "zones": []string{"z"}, "machineTypes": []string{"cache", "parent", "origin"}, "classes": classes,
		"extra": Object{
			"shieldKind": 1, "sourceKind": 2, "noteLevel": "all", "seatsByZone": []int{1}, "flowKbPerS": 300, "goodFor": make([]int, len(classes)), "sharesFills": true,
			"straight": false, "goneEverywhere": 6000000, "parentColdFrom": 0.1, "parentCold": 15000000, "parentBreaksAt": 2, "purgeSlack": 300000,
		},
		"limits": Object{
			"maxAttempts": 6, "mayCancel": true, "secondCopies": true, "retryAfter": true, "maxRetryAfter": 1000000, "connectTimeout": 400000, "idleClose": 15000000,
			"maxStreams": 100, "mostHeld": 20000,
		},
		"membershipMode": "pushed", "weights": "silent",
		"rules": Object{"coldFrom": 0.2, "rampTime": 10000000, "tipMultiple": 2, "fall": 1000000, "drainGrace": 500000},
	}
}

// Seat is a dispatcher of a fleet.
type Seat struct {
	*Process
	Address string // where others, and operators, reach it
}

// Seats starts dispatchers that know each other, with voters' duties, and founds their log. Extra is more of the `fleet` section, by the number of the
// dispatcher; {dir} is its own folder.
func (c *Case) Seats(n int, extra string) (all []*Seat, key string) {
	changes, err := standin.ListenChangeLog("127.0.0.1:0")
	c.Need(err)
	host, err := standin.Listen("127.0.0.1:0", standin.Hits("bytes"))
	c.Need(err)
	changes.Push(Fleet(1, true, Entry{ID: "s-1", Address: host.Address, Kind: "cache", State: "SERVING"}))
	text, err := c.Output("bin/elderwall fleet key")
	c.Need(err)
	key = c.File("fleet.key", text)
	var peers []string
	for range n {
		all = append(all, &Seat{Address: c.Free()})
		peers = append(peers, fmt.Sprintf("%q", all[len(all)-1].Address))
	}
	for i, s := range all {
		name := fmt.Sprint("n", i)
		dir := c.Dir + "/" + name
		file := c.File(name+"/operator.jsonnet", fmt.Sprintf("{ fleet: { listen: %q, peers: [%s], key: %q, zone: %q, pace: '200ms', %s } }\n",
			s.Address, strings.Join(peers, ", "), key, "z"+fmt.Sprint(i), strings.ReplaceAll(extra, "{dir}", dir)))
		config := c.Platform(name, c.Free(), changes.Address, 1, Settings())
		s.Process = c.Start(name, "exec bin/elderwall", "PROXY_CONFIG="+config, "ELDERWALL_OPERATOR="+file)
	}
	c.Until(20*time.Second, "the dispatchers know each other", func() bool {
		out, err := c.Output("bin/elderwall fleet members --at " + all[0].Address + " --key " + key)
		return err == nil && strings.Contains(out, fmt.Sprintf("sees %d of %d", n, n))
	})
	_, err = c.Output("bin/elderwall fleet voters found --at " + all[0].Address + " --key " + key)
	c.Need(err)
	c.Until(30*time.Second, "all of them vote", func() bool {
		out, err := c.Output("bin/elderwall fleet voters --at " + all[0].Address + " --key " + key)
		return err == nil && strings.Count(out, "votes")+strings.Count(out, "leads") >= n
	})
	c.Say("%d dispatchers vote", n)
	return all, key
}
