package dispatcher

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"elderwall/core/endpoints"
	"elderwall/core/routing"
	"elderwall/internal/changelog"
	"elderwall/internal/clock"
	"elderwall/internal/upstream"
)

type host struct {
	*upstream.Host
	name, address string
	phase         routing.Phase
	listed        changelog.Host // as the list had it last
}

const maxHostLogLines = 32 // log lines for one list; where it changes more hosts, one line sums them up

var phases = map[string]routing.Phase{
	"SERVING": routing.Ready, "DRAINING": routing.Draining, "DELETED": routing.Removed,
}

// updateEndpoints takes an endpoint list or changes to it.
func (d *Dispatcher) updateEndpoints(now float64, list changelog.Fleet) {
	form, named := routing.ListChanges, map[uint32]bool{}
	if list.Reset {
		form = routing.ListComplete
	}
	d.bulkUpdate = len(list.Hosts) > maxHostLogLines
	var entries []routing.Endpoint
	for _, told := range list.Hosts {
		e, err := d.endpoint(told, len(list.Hosts))
		if err != nil {
			d.Options.Log.Warn().Err(err).Str("host", told.ID).Msg("entry of the list of hosts passed over")
			continue
		}
		entries = append(entries, e)
		named[e.ID] = true
	}
	d.hearList(now) // what tells of the list has been said before
	d.router.UpdateEndpoints(now, form, entries)
	if d.bulkUpdate {
		d.Options.Log.Info().Int("hosts", len(entries)).Bool("whole", list.Reset).Msg("list of hosts taken in")
	}
	for id, h := range d.hosts {
		if list.Reset && !named[id] {
			d.setPhase(h, id, routing.Removed)
		}
	}
	if list.Reset {
		d.endpointsKnown.Store(true)
	}
	d.divideConnections()
	d.withdrawUnsent(func(a *attempt) bool { return a.host.phase != routing.Ready || a.source.phase != routing.Ready })
}

// changedHosts is what a list says that is not known yet, with the hosts that are gone by it. Of a host that
// it names twice the last word counts: the order of the list is lost when it is taken in by steps.
func (d *Dispatcher) changedHosts(list changelog.Fleet) (all []changelog.Host) {
	last := make(map[string]int, len(list.Hosts))
	for i, told := range list.Hosts {
		last[told.ID] = i
	}
	for i, told := range list.Hosts {
		if h := d.hosts[d.hostID(told.ID)]; last[told.ID] == i && (h == nil || h.listed != told || h.phase == routing.Removed) {
			all = append(all, told)
		}
	}
	for _, h := range d.hosts {
		if _, named := last[h.name]; list.Reset && !named && h.phase != routing.Removed {
			all = append(all, changelog.Host{ID: h.name, State: "DELETED"})
		}
	}
	return all
}

// endpoint is a host as the module knows it, with connections of its own; it was listed together with others.
func (d *Dispatcher) endpoint(told changelog.Host, together int) (routing.Endpoint, error) {
	phase, known := phases[told.State]
	e := routing.Endpoint{
		ID: d.hostID(told.ID), Zone: slices.Index(d.Settings.Zones, told.Zone),
		Kind: slices.Index(d.Settings.Kinds, told.Kind), Cell: told.Cell, Phase: phase, Weight: told.Weight,
	}
	if !known || told.ID == "" || strings.ContainsAny(told.ID, " ,=\r\n") { // which a request could not carry
		return e, fmt.Errorf("state %q, id %q", told.State, told.ID)
	}
	h := d.hosts[e.ID]
	if phase == routing.Removed {
		if h != nil {
			d.setPhase(h, e.ID, phase)
		}
		return e, nil
	}
	if _, err := netip.ParseAddrPort(told.Address); err != nil || e.Zone < 0 || e.Kind < 0 {
		return e, fmt.Errorf("zone %q, kind %q, address %q", told.Zone, told.Kind, told.Address)
	}
	if told.StartedAtMs != 0 {
		e.OnlineSince, e.OnlineSinceKnown = d.startedAt(told), true
	}
	if h == nil || h.phase == routing.Removed || h.address != told.Address {
		if h != nil {
			h.phase = routing.Removed // what was to go to this address does not
			h.Leave()
			d.router.HandleConnected(d.Clock.Now(), e.ID, false)
		}
		wait := clock.Duration(endpoints.FirstConnectionDelay(d.Settings.Seed, e.ID, together))
		h = &host{Host: upstream.New(told.Address, d.Options, wait), name: told.ID, address: told.Address}
		h.Lost = func() { d.callRecovering(func(now float64) { d.router.HandleConnectionLost(now, e.ID) }) }
		h.Up = func() { d.callRecovering(func(now float64) { d.router.HandleConnectionUp(now, e.ID) }) }
		h.Failed = func(err error) {
			ownFault := errors.Is(err, upstream.ErrOwn)
			d.callRecovering(func(now float64) { d.router.HandleConnectionFailed(now, e.ID, ownFault) })
		}
		d.hosts[e.ID] = h
	}
	h.listed = told
	d.setPhase(h, e.ID, phase)
	return e, nil
}

// startedAt is when a host started, on the dispatcher's clock.
func (d *Dispatcher) startedAt(told changelog.Host) float64 {
	if told.Witnessed {
		return told.StartedAt
	}
	return d.Clock.Witnessed(told.StartedAtMs, math.Inf(-1), d.Clock.Now())
}

// setPhase books what the list says of a host, with a log line where that is new.
func (d *Dispatcher) setPhase(h *host, id uint32, phase routing.Phase) {
	if phase == h.phase {
		return
	}
	h.phase = phase
	defer func() {
		if phase == routing.Removed {
			h.Leave()
		}
	}()
	if d.bulkUpdate {
		return
	}
	word := map[routing.Phase]string{routing.Ready: "ready", routing.Draining: "draining", routing.Removed: "gone"}[phase]
	d.Options.Log.Info().Str("host", h.name).Uint32("id", id).Str("address", h.address).Msg("host is " + word)
}

// hostID is the module's id of a host: the same at every dispatcher, as the module orders hosts by it.
func (d *Dispatcher) hostID(name string) uint32 {
	sum := fnv.New32a()
	_, _ = sum.Write([]byte(name))
	id := sum.Sum32()
	for d.hosts[id] != nil && d.hosts[id].name != name {
		id++
	}
	return id
}

// divideConnections gives each host an even part of the connections.
func (d *Dispatcher) divideConnections() {
	d.Options.PerHost.Store(int64(max(1, d.Connections/max(1, len(d.hosts)))))
}

// sweep closes idle connections, and forgets hosts that are gone and have none left.
func (d *Dispatcher) sweep(now float64) {
	for id, h := range d.hosts {
		if h.phase != routing.Removed {
			h.Sweep(time.Now())
			d.router.HandleConnected(now, id, h.Connected())
		} else if h.Leave() {
			delete(d.hosts, id)
			d.divideConnections()
		}
	}
}
