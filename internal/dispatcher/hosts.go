package dispatcher

import (
	"elderwall/core/endpoints"
	"elderwall/core/routing"
	"elderwall/internal/changelog"
	"elderwall/internal/clock"
	"elderwall/internal/upstream"
	"fmt"
	"hash/fnv"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
)

type host struct {
	*upstream.Host
	name, address string
	phase         routing.Phase
	told          changelog.Host // as the list had it last
}

const mostLines = 32 // log lines for one list; where it changes more hosts, one line sums them up

var phases = map[string]routing.Phase{
	"SERVING": routing.Ready, "DRAINING": routing.Draining, "DELETED": routing.Removed,
}

// fleet takes a list of hosts or changes to it.
func (n *Node) fleet(now float64, list changelog.Fleet) {
	form, named := routing.ListChanges, map[uint32]bool{}
	if list.Reset {
		form = routing.ListComplete
	}
	n.many = len(list.Hosts) > mostLines
	var entries []routing.Endpoint
	for _, told := range list.Hosts {
		e, err := n.entry(told, len(list.Hosts))
		if err != nil {
			n.Options.Log.Warn().Err(err).Str("host", told.ID).Msg("entry of the list of hosts passed over")
			continue
		}
		entries = append(entries, e)
		named[e.ID] = true
	}
	n.module.UpdateEndpoints(now, form, entries)
	if n.many {
		n.Options.Log.Info().Int("hosts", len(entries)).Bool("whole", list.Reset).Msg("list of hosts taken in")
	}
	for id, h := range n.hosts {
		if list.Reset && !named[id] {
			n.phase(h, id, routing.Removed)
		}
	}
	if list.Reset {
		n.listed.Store(true)
	}
	n.share()
	n.recall(func(f *forward) bool { return f.to.phase != routing.Ready || f.from.phase != routing.Ready })
}

// changes is what a list says that is not known yet, with the hosts that are gone by it. Of a host that it names twice
// the last word counts: the order of the list is lost when it is taken in by steps.
func (n *Node) changes(list changelog.Fleet) (all []changelog.Host) {
	last := make(map[string]int, len(list.Hosts))
	for i, told := range list.Hosts {
		last[told.ID] = i
	}
	for i, told := range list.Hosts {
		if h := n.hosts[n.hostID(told.ID)]; last[told.ID] == i && (h == nil || h.told != told || h.phase == routing.Removed) {
			all = append(all, told)
		}
	}
	for _, h := range n.hosts {
		if _, named := last[h.name]; list.Reset && !named && h.phase != routing.Removed {
			all = append(all, changelog.Host{ID: h.name, State: "DELETED"})
		}
	}
	return all
}

// entry is a host as the module knows it, with connections of its own; it was listed together with others.
func (n *Node) entry(told changelog.Host, together int) (routing.Endpoint, error) {
	phase, known := phases[told.State]
	e := routing.Endpoint{
		ID: n.hostID(told.ID), Zone: slices.Index(n.Settings.Zones, told.Zone),
		Kind: slices.Index(n.Settings.Kinds, told.Kind), Cell: told.Cell, Phase: phase, Weight: told.Weight,
	}
	if !known || told.ID == "" || strings.ContainsAny(told.ID, " ,=\r\n") { // which a request could not carry
		return e, fmt.Errorf("state %q, id %q", told.State, told.ID)
	}
	h := n.hosts[e.ID]
	if phase == routing.Removed {
		if h != nil {
			n.phase(h, e.ID, phase)
		}
		return e, nil
	}
	if _, err := netip.ParseAddrPort(told.Address); err != nil || e.Zone < 0 || e.Kind < 0 {
		return e, fmt.Errorf("zone %q, kind %q, address %q", told.Zone, told.Kind, told.Address)
	}
	if told.StartedAtMs != 0 {
		e.OnlineSince, e.OnlineSinceKnown = n.startedAt(told), true
	}
	if h == nil || h.phase == routing.Removed || h.address != told.Address {
		if h != nil {
			h.phase = routing.Removed // what was to go to this address does not
			h.Leave()
		}
		wait := clock.Duration(endpoints.First(n.Settings.Seed, e.ID, together))
		h = &host{Host: upstream.New(told.Address, n.Options, wait), name: told.ID, address: told.Address}
		n.hosts[e.ID] = h
	}
	h.told = told
	n.phase(h, e.ID, phase)
	return e, nil
}

// startedAt is when a host started, on the node's clock.
func (n *Node) startedAt(told changelog.Host) float64 {
	if told.Witnessed {
		return told.StartedAt
	}
	return n.Clock.Witnessed(told.StartedAtMs, math.Inf(-1), n.Clock.Now())
}

// phase books what the list says of a host, with a log line where that is new.
func (n *Node) phase(h *host, id uint32, phase routing.Phase) {
	if phase == h.phase {
		return
	}
	h.phase = phase
	defer func() {
		if phase == routing.Removed {
			h.Leave()
		}
	}()
	if n.many {
		return
	}
	word := map[routing.Phase]string{routing.Ready: "ready", routing.Draining: "draining", routing.Removed: "gone"}[phase]
	n.Options.Log.Info().Str("host", h.name).Uint32("id", id).Str("address", h.address).Msg("host is " + word)
}

// hostID is the module's id of a host: the same at every dispatcher, as the module orders hosts by it.
func (n *Node) hostID(name string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(name))
	id := sum.Sum32()
	for n.hosts[id] != nil && n.hosts[id].name != name {
		id++
	}
	return id
}

// share gives each host an even part of the connections.
func (n *Node) share() { n.Options.PerHost.Store(int64(max(1, n.Connections/max(1, len(n.hosts))))) }

// sweep closes idle connections, and forgets hosts that are gone and have none left.
func (n *Node) sweep() {
	for id, h := range n.hosts {
		if h.phase != routing.Removed {
			h.Sweep(time.Now())
		} else if h.Leave() {
			delete(n.hosts, id)
			n.share()
		}
	}
}
