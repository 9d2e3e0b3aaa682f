package sharding

import (
	"fmt"
	"maps"
	"slices"
)

// maxPurges is the number of kept purges from which on each new one first drops the expired ones. A purge expires
// after PurgeWindow, some seconds, and a flood of purges consists of purges of single objects.
const maxPurges = 1 << 16

// ReplayState is what a new or restarted shard has to be sent: the hosts on the list and the purges that still
// count. It is not safe for concurrent use.
type ReplayState struct {
	PurgeWindow float64 // seconds for which a purge counts

	hosts   map[string]any
	purges  map[string]purgeRecord
	hasList bool
}

type purgeRecord struct {
	notice     any
	receivedAt float64
}

// ResetHosts starts a new complete list of hosts.
func (m *ReplayState) ResetHosts() { m.hosts, m.hasList = map[string]any{}, true }

// HasList reports whether there has ever been a complete list.
func (m *ReplayState) HasList() bool { return m.hasList }

// SetHost adds or replaces an entry of the list.
func (m *ReplayState) SetHost(id string, entry any) {
	if m.hosts == nil {
		m.hosts = map[string]any{}
	}
	m.hosts[id] = entry
}

// RemoveHost removes a host from the list.
func (m *ReplayState) RemoveHost(id string) { delete(m.hosts, id) }

// AddPurge adds the purge of an object, or of a group if the object is empty. now is in seconds.
func (m *ReplayState) AddPurge(now float64, object string, group int, notice any) {
	if m.purges == nil {
		m.purges = map[string]purgeRecord{}
	}
	if len(m.purges) >= maxPurges {
		m.dropExpired(now)
	}
	name := object
	if name == "" {
		name = fmt.Sprint(" ", group)
	}
	m.purges[name] = purgeRecord{notice, now}
}

// dropExpired drops the purges that no longer count.
func (m *ReplayState) dropExpired(now float64) {
	maps.DeleteFunc(m.purges, func(_ string, p purgeRecord) bool { return now-p.receivedAt > m.PurgeWindow })
}

// Snapshot returns the entries of the hosts and of the purges that still count, each sorted by name.
func (m *ReplayState) Snapshot(now float64) (hosts, purges []any) {
	for _, id := range slices.Sorted(maps.Keys(m.hosts)) {
		hosts = append(hosts, m.hosts[id])
	}
	m.dropExpired(now)
	for _, name := range slices.Sorted(maps.Keys(m.purges)) {
		purges = append(purges, m.purges[name].notice)
	}
	return hosts, purges
}
