package standin

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
)

var addresses atomic.Int64

// Free is an address that nobody listens at: of a loopback host of its own, so that no other test, in this process or
// another, takes its port before a dispatcher does.
func Free() string {
	n := addresses.Add(1)
	l := must(net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, n/250%250, 1+n%250)))
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

const settingsText = `{"balancers":1,"zones":["z"],"machineTypes":["std","parent","origin"],"zone":0,"unheardOf":[1],
"classes":[{"name":"segment","aim":5000000,"deadline":59999500,"effect":"safe","dedupScope":"all","worth":1}],
"extra":{"shieldKind":1,"sourceKind":2,"noteLevel":"all","seatsByZone":[1],"goneEverywhere":60000000,"sharesFills":true},
"limits":{"maxAttempts":6,"mayCancel":true,"secondCopies":true,"connectTimeout":5000000,"idleClose":60000000,
"maxStreams":10,"mostHeld":%d},"rules":{"coldFrom":0.2,"rampTime":9000000,"tipMultiple":2,"fall":1000000}}`

// Config is a platform's configuration for a dispatcher, with events known at its start and so many GETs held.
func Config(listen, changelog, events string, held int) string {
	return Platform(listen, changelog, events, held, Limits{Cores: 1, MemoryMB: 192, Sockets: 1024})
}

// Limits are those that a platform sets for a dispatcher.
type Limits struct {
	Cores    int
	MemoryMB int
	Sockets  int // descriptors
}

// Platform is Config with limits of its own.
func Platform(listen, changelog, events string, held int, limits Limits) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"seed":"8c1f30d27a5be964","limits":{"cores":%d,"memory_mb":%d,"sockets":%d},
"changelog":%q,"flow_bytes_per_s":1,"link_bytes_per_s":1,"known":{"seq":0,"results":[%s]},"settings":%s}`,
		listen, limits.Cores, limits.MemoryMB, limits.Sockets, changelog, events, fmt.Sprintf(settingsText, held))
}

// List is an event with a list of hosts, each given as "id address kind state".
func List(seq int, reset bool, hosts ...string) string {
	var all []string
	for _, h := range hosts {
		w := strings.Fields(h)
		all = append(all, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":"z","machineType":%q,"lifecycle":%q,"weight":1}`,
			w[0], w[1], w[2], w[3]))
	}
	return fmt.Sprintf(`{"seq":%d,"fleet":{"generation":%d,"reset":%v,"instances":[%s]}}`, seq, seq, reset, strings.Join(all, ","))
}
