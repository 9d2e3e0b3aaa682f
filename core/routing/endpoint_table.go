package routing

import (
	"cmp"
	"math"
	"slices"

	"elderwall/core/routing/congestion"
	"elderwall/core/routing/grouphealth"
	"elderwall/core/routing/rendezvous"
)

// host is a listed endpoint with what the router has learned about it.
type host struct {
	Endpoint
	inFlight      int // attempts sent to it that have not returned
	fillsInFlight int // attempts that name it as their source and have not returned
	serving       servingTime
	health        health
	sourceHealth  sourceHealth
	warmUp        warmUp
	process       processContinuity
	connection    firstConnection
	link          congestion.Link // congestion of its link
	returned      requestCounts   // requests that it answered or that were filled from it
	listedSince   float64         // seconds; when it was first listed
	peakRate      float64         // seconds of work per second; the most it has returned to this router while warm
	limit         concurrencyLimit
	generation    int // last version of the cache list that contained it
}

// busy reports whether any attempt is in flight at the host, or any fill from it.
func (h *host) busy() bool { return h.inFlight+h.fillsInFlight > 0 }

// endpointTable holds the listed hosts and determines which of them may be used: the caches of the router's
// own zone, all parents, and a ready origin. A removed host is forgotten once nothing is in flight there and its slow start, if any, is over.
type endpointTable struct {
	*environment
	groups      *grouphealth.Tracker
	slowStart   *slowStart
	byID        map[uint32]*host
	sorted      []*host // the hosts of byID in order of ID, except those in added
	added       []*host // hosts that are not in sorted yet
	caches      []*host // caches of the router's own zone, in order of ID
	parents     []*host // all listed parents, in order of ID
	origin      *host   // nil if none is ready
	readyCaches int
	generation  int // version of the list of caches

	cacheOrder, parentOrder rendezvous.Index[*host] // rendezvous orders, which are the same in all routers
}

// update applies a complete list, or changes to the list.
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

// put applies one entry of a list.
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
	h.resetAfterRestart()
	t.slowStart.begin(h, ToldStart)
}

func (t *endpointTable) add(id uint32) *host {
	h := &host{
		Endpoint: Endpoint{ID: id, OnlineSince: math.Inf(-1)},
		limit:    concurrencyLimit{kind: HostLimit, host: id, max: math.Inf(1)},
	}
	h.health.lastContact, h.listedSince = t.now, t.now
	t.slowStart.warmRates.recall(h)
	t.byID[id] = h
	t.added = append(t.added, h)
	return h
}

// resetAfterRestart discards what was learned about a host before it restarted. Its cache is cold now.
func (h *host) resetAfterRestart() {
	h.health.reset()
	h.serving.makespan = 0
}

// classify determines which of the listed hosts may be used, and as what.
func (t *endpointTable) classify() {
	previous := t.caches
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
	t.updateCacheOrder(previous)
}

// listed returns the hosts that the list has not removed, in order of ID. It forgets removed hosts that have
// nothing in flight.
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
		if h.busy() || t.slowStart.inProgress(h) {
			return false
		}
		t.slowStart.warmRates.remember(h)
		delete(t.byID, h.ID)
		return true
	})
	return hosts
}

// updateCacheOrder updates the rendezvous order of caches and the group of each cache. With many hosts, only
// those that were added, removed, or moved to another group cause work beyond one pass over the list.
func (t *endpointTable) updateCacheOrder(previous []*host) {
	t.generation++
	added := t.regroup()
	removed := t.ungroupRemoved(previous, len(added))
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

// regroup assigns each cache to its group and to the current generation. It returns the caches that were not
// in the previous generation.
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

// ungroupRemoved takes the caches that are no longer listed out of their groups and returns them.
func (t *endpointTable) ungroupRemoved(previous []*host, addedCount int) (removed []*host) {
	if addedCount == 0 && len(previous) == len(t.caches) {
		return nil
	}
	for _, h := range previous {
		if h.generation != t.generation {
			removed = append(removed, h)
			t.setGroup(h, false)
		}
	}
	return removed
}

// setGroup assigns a cache to the group of its kind, zone and cell, or to no group if hosts are not grouped.
func (t *endpointTable) setGroup(h *host, grouped bool) {
	group := grouphealth.Group{Kind: h.Kind, Zone: h.Zone, Cell: h.Cell}
	if grouped && h.health.group.BelongsTo(group) {
		return
	}
	t.groups.Remove(h.health.group)
	h.health.group = nil
	if grouped {
		h.health.group = t.groups.Add(group)
	}
}

// bandwidthKB returns the known bandwidth of the host's link in KB per second, or 0 if it is unknown.
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

// mergeSorted merges two sorted slices into a new sorted slice.
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
