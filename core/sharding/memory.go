package sharding

import (
	"fmt"
	"maps"
	"slices"
)

const mostPurges = 1 << 16 // that are remembered; they end after some seconds, and a flood of them is one of objects

// Memory is what a shard has to be told that is new, or that begins anew: the hosts on the list and the purges that
// still count.
type Memory struct {
	Keep float64 // s; for which a purge counts

	hosts  map[string]any
	purges map[string]purge
	listed bool
}

type purge struct {
	what any
	at   float64
}

// Reset begins a whole list.
func (m *Memory) Reset() { m.hosts, m.listed = map[string]any{}, true }

// Listed tells whether there ever was a whole list.
func (m *Memory) Listed() bool { return m.listed }

// Host takes an entry of the list.
func (m *Memory) Host(id string, what any) {
	if m.hosts == nil {
		m.hosts = map[string]any{}
	}
	m.hosts[id] = what
}

// Gone takes a host off the list.
func (m *Memory) Gone(id string) { delete(m.hosts, id) }

// Purge takes a purge of an object, or of a group where the object is empty.
func (m *Memory) Purge(now float64, object string, group int, what any) {
	if m.purges == nil {
		m.purges = map[string]purge{}
	}
	if len(m.purges) >= mostPurges {
		m.forget(now)
	}
	name := object
	if name == "" {
		name = fmt.Sprint(" ", group)
	}
	m.purges[name] = purge{what, now}
}

// forget drops the purges that count no more.
func (m *Memory) forget(now float64) {
	maps.DeleteFunc(m.purges, func(_ string, p purge) bool { return now-p.at > m.Keep })
}

// All is the hosts and the purges, the same for the same memory.
func (m *Memory) All(now float64) (hosts, purges []any) {
	for _, id := range slices.Sorted(maps.Keys(m.hosts)) {
		hosts = append(hosts, m.hosts[id])
	}
	m.forget(now)
	for _, name := range slices.Sorted(maps.Keys(m.purges)) {
		purges = append(purges, m.purges[name].what)
	}
	return hosts, purges
}
