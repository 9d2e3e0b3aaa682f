package routing

import (
	"cmp"
	"math"
	"slices"

	"elderwall/core/routing/congestion"
	"elderwall/core/routing/grouphealth"
	"elderwall/core/routing/rendezvous"
)

// host is a listed endpoint with what is learned of it.
type host struct {
	Endpoint
	inFlight      int // attempts that were sent to it and are not back
	fillsInFlight int // attempts that name it as their source and are not back
	serving       servingTime
	health        health
	sourceHealth  sourceHealth
	warmUp        warmUp
	link          congestion.Link
	returned      windowedSum // s; sending time that it returned, or that was filled from it
	limit         concurrencyLimit
	generation    int // the last version of the list that had it as a cache
}

// busy reports whether any attempt is in flight at the host or fills from it.
func (h *host) busy() bool { return h.inFlight+h.fillsInFlight > 0 }

// endpointTable keeps the listed hosts, and which of them may be used: the caches of the own zone, all
// parents, a ready origin. A removed host is forgotten once nothing is in flight there.
type endpointTable struct {
	*environment
	groups      *grouphealth.Tracker
	byID        map[uint32]*host
	sorted      []*host // all of byID by id, but for added
	added       []*host // those that are not in sorted yet
	caches      []*host // of the own zone, by id
	parents     []*host // all that are listed, by id
	origin      *host   // nil where none is ready
	readyCaches int
	generation  int // of the list of caches

	cacheOrder, parentOrder rendezvous.Index[*host] // the orders that all routers share
}

// update takes in a complete list or changes to it.
func (t *endpointTable) update(kind ListKind, entries []Endpoint) {
	if kind != ListChanges {
		for _, h := range t.byID {
			h.Phase = Removed
		}
	}
	for _, e := range entries {
		t.put(e)
	}
	t.classify()
}

// put takes in one entry of a list.
func (t *endpointTable) put(e Endpoint) {
	h := t.byID[e.ID]
	if h == nil {
		h = t.add(e.ID)
	}
	h.Phase = e.Phase
	if e.Phase == Removed {
		return
	}
	onlineSince := h.OnlineSince
	h.Endpoint = e
	if !e.OnlineSinceKnown || e.OnlineSince <= onlineSince {
		h.OnlineSince = onlineSince
		return
	}
	h.restarted()
}

func (t *endpointTable) add(id uint32) *host {
	h := &host{
		Endpoint: Endpoint{ID: id, OnlineSince: math.Inf(-1)},
		limit:    concurrencyLimit{kind: HostLimit, host: id, max: math.Inf(1)},
	}
	h.health.lastHeard = t.now
	t.byID[id] = h
	t.added = append(t.added, h)
	return h
}

// restarted forgets what was learned of a host before it started anew, with cold caches.
func (h *host) restarted() {
	h.warmUp = warmUp{active: true}
	h.health.reset()
	h.serving.makespan = 0
}

// classify finds which of the listed hosts may be used.
func (t *endpointTable) classify() {
	before := t.caches
	t.caches, t.parents, t.origin, t.readyCaches = nil, nil, nil, 0
	for _, h := range t.listed() {
		switch {
		case h.Kind == t.OriginKind && h.Phase == Ready:
			t.origin = h
		case h.Kind == t.ParentKind:
			t.parents = append(t.parents, h)
		case h.Kind != t.OriginKind && h.Zone == t.Zone:
			t.caches = append(t.caches, h)
			if h.Phase == Ready {
				t.readyCaches++
			}
		}
	}
	t.parentOrder.Set(hostIDs(t.parents), t.parents)
	t.reorderCaches(before)
}

// listed returns the hosts that the list has not removed, by id, and forgets removed ones once nothing is in
// flight there.
func (t *endpointTable) listed() []*host {
	if len(t.added) > 0 {
		byID := func(a, b *host) int { return cmp.Compare(a.ID, b.ID) }
		slices.SortFunc(t.added, byID)
		t.sorted, t.added = mergeSorted(t.sorted, t.added, byID), nil
	}
	hosts := make([]*host, 0, len(t.sorted))
	t.sorted = slices.DeleteFunc(t.sorted, func(h *host) bool {
		if h.Phase != Removed {
			hosts = append(hosts, h)
			return false
		}
		if h.busy() {
			return false
		}
		delete(t.byID, h.ID)
		return true
	})
	return hosts
}

// reorderCaches takes the caches into their shared order and into their groups. With many hosts, only those
// that were added, were removed or changed their group cost anything.
func (t *endpointTable) reorderCaches(before []*host) {
	t.generation++
	added := t.regroup()
	removed := t.dropGone(before, len(added))
	if len(added)+len(removed) > len(t.caches)/4 {
		t.cacheOrder.Set(hostIDs(t.caches), t.caches)
		return
	}
	for _, h := range removed {
		t.cacheOrder.Remove(h.ID)
	}
	for _, h := range added {
		t.cacheOrder.Add(h.ID, h)
	}
}

// regroup has all caches in the groups of this generation, and returns those that the last one did not have.
func (t *endpointTable) regroup() (added []*host) {
	grouped := len(t.caches) >= grouphealth.MinHosts
	for _, h := range t.caches {
		if h.generation == 0 || h.generation != t.generation-1 {
			added = append(added, h)
		}
		h.generation = t.generation
		if grouped || h.health.group != nil {
			t.setGroup(h, grouped)
		}
	}
	return added
}

// dropGone takes those out of their groups that were caches before and are not any more, and returns them.
func (t *endpointTable) dropGone(before []*host, added int) (removed []*host) {
	if added == 0 && len(before) == len(t.caches) {
		return nil
	}
	for _, h := range before {
		if h.generation != t.generation {
			removed = append(removed, h)
			t.setGroup(h, false)
		}
	}
	return removed
}

// setGroup has a cache in the group where it belongs now, if hosts are grouped at all.
func (t *endpointTable) setGroup(h *host, grouped bool) {
	group := grouphealth.Group{Kind: h.Kind, Zone: h.Zone, Cell: h.Cell}
	if grouped && h.health.group.In(group) {
		return
	}
	t.groups.Remove(h.health.group)
	h.health.group = nil
	if grouped {
		h.health.group = t.groups.Add(group)
	}
}

// bandwidthKB is the KB per second that the host's link is known to carry; 0 where that is not known.
func (t *endpointTable) bandwidthKB(h *host) float64 {
	if !t.WeightsKnown {
		return 0
	}
	return t.TransferRateKB * h.Weight
}

func hostIDs(hosts []*host) (ids []uint32) {
	for _, h := range hosts {
		ids = append(ids, h.ID)
	}
	return ids
}

// mergeSorted merges two sorted lists.
func mergeSorted[T any](a, b []T, compare func(x, y T) int) []T {
	merged := make([]T, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		from := &a
		if compare(b[0], a[0]) < 0 {
			from = &b
		}
		merged, *from = append(merged, (*from)[0]), (*from)[1:]
	}
	merged = append(merged, a...)
	return append(merged, b...)
}
