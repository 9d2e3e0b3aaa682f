// Package sharding divides the GETs of one process among several modules (shards), each with a lock and state of
// its own, and holds the state that they share. It does no I/O, reads no clock and has no lock or goroutine:
// callers on several goroutines must lock.
//
// Invariants:
//   - An item (an object's part) belongs to one shard, which counts all of its GETs. If the item is so hot that it is
//     spread, it belongs to the shards named for it, each of which counts an even part.
//   - An item that has moved stays for slotHoldTime seconds, and items move only while one shard has clearly more load
//     than the mean, so that load does not flap.
//   - A shard that does not respond gets no new GETs.
//   - The slow-start credit of a cold host (rule 4) is what a single module could spend. All shards spend it from one
//     bucket (SharedCredits), and only one probe of an ejected host is outstanding at a time.
package sharding

import (
	"cmp"
	"math"
	"slices"

	"elderwall/core/routing/rendezvous"
)

const (
	// Slots is the number of slots into which items are hashed; a slot, about a thousandth of the load, is the
	// least that moves.
	Slots = 1024

	maxHotItems         = 32   // spread items at most, the hottest first; fewer than two items per shard can exceed hotThreshold, so more would take over 16 shards
	hotThreshold        = 0.5  // share of a shard's even load above which an item is spread
	coolThreshold       = 0.25 // share below which the item returns to one shard; it is half of hotThreshold, so that items do not flap
	hotItemShare        = 0.25 // share of a shard's even load that a spread item should put on each of its shards
	overloadThreshold   = 1.3  // multiple of the mean load above which a shard gives slots away
	reliefTarget        = 1.1  // multiple of the mean load to which it is brought down
	minOverloadedRounds = 3    // consecutive rounds with an overloaded shard before slots move; a single one may be a burst
	maxMovedSlots       = 64   // slots moved per round at most; the new shard counts the items of a moved slot from zero, so only a few slots may move at a time
	slotHoldTime        = 5.0  // seconds; half of the count table's window, which a moved item needs to be known again
	loadSmoothing       = 0.3  // weight of a round in a slot's moving average; about the last six rounds count
	minRequestRate      = 200  // per second; with fewer GETs there is no load to divide

	// StallThreshold is how long a GET may wait in a shard's queue, in seconds, before it counts as stalled.
	StallThreshold = 0.02
	// MinRemaining is the remaining time, in seconds, below which a stalled GET is not begun any more. With less
	// than that the module keeps only a quarter back for the answer instead of 50 ms, and a shard that stalled
	// once may stall again.
	MinRemaining = 0.2
)

// Mode is how GETs are divided.
type Mode int

// The modes.
const (
	ByItem       Mode = iota // all GETs of an item go to one shard
	ByConnection             // all GETs of a connection go to one shard, and each shard is a dispatcher of its own
)

// Table says which shard a GET belongs to. It is not changed once it is published.
type Table struct {
	mode  Mode
	slots [Slots]uint16
	hot   map[uint64][]uint16
}

// Key returns the hash of an item, or of a connection, for Table.Shard.
func Key(name string, part int) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return rendezvous.Mix(h ^ uint64(part)*0x9e3779b97f4a7c15)
}

// Shard returns the shard of a key. sequence distributes the GETs of a hot item round robin.
func (t *Table) Shard(key uint64, sequence uint64) int {
	if len(t.hot) > 0 {
		if shards := t.hot[key]; shards != nil {
			return int(shards[sequence%uint64(len(shards))])
		}
	}
	return int(t.slots[key%Slots])
}

// Mode returns how the table divides GETs.
func (t *Table) Mode() Mode { return t.mode }

// Report is what a shard counted in one balancing round.
type Report struct {
	Responded    bool          // the shard responded in this round
	SlotRequests [Slots]uint32 // GETs per slot
	TopItems     []ItemCount   // the items with the most GETs
}

// Total returns the number of GETs in a report.
func (r *Report) Total() (n float64) {
	for _, c := range r.SlotRequests {
		n += float64(c)
	}
	return n
}

// Decision is the result of a balancing round.
type Decision struct {
	Table      *Table
	MovedSlots int // slots moved in this round
	HotItems   int // items that are spread now
}

// Balancer divides the load of one process among its shards. It is not safe for concurrent use.
type Balancer struct {
	table            *Table
	shards           int
	responding       []bool    // shards that get new GETs
	slotLoads        []float64 // GETs per second of each slot
	heldUntil        []float64 // time until which each slot may not move
	home             []uint16  // shard that owns each slot, also while it does not respond
	overloadedRounds int       // consecutive rounds with an overloaded shard
	lastBalance      float64   // time of the last round
	assigned         bool      // false until the slots are assigned for the first time
}

// New returns a balancer for n shards.
func New(n int, mode Mode) *Balancer {
	m := &Balancer{table: &Table{mode: mode}, slotLoads: make([]float64, Slots), heldUntil: make([]float64, Slots), home: make([]uint16, Slots)}
	m.Resize(n)
	return m
}

// Table returns the table in force.
func (m *Balancer) Table() *Table { return m.table }

// Shards returns the number of shards.
func (m *Balancer) Shards() int { return m.shards }

// Resize changes the number of shards and moves as few slots as possible: those of removed shards, and an even
// share for new ones.
func (m *Balancer) Resize(n int) *Table {
	t := m.copyTable()
	m.shards, m.responding = n, make([]bool, n)
	for i := range m.responding {
		m.responding[i] = true
	}
	has := make([]int, n)
	var free []int
	even := (Slots + n - 1) / n
	for slot := range t.slots {
		s := int(m.home[slot])
		if s >= n || !m.assigned && s == 0 && has[0] >= even || has[s] >= even {
			free = append(free, slot)
			continue
		}
		has[s]++
		t.slots[slot] = m.home[slot]
	}
	for _, slot := range free {
		least := 0
		for s := range has {
			if has[s] < has[least] {
				least = s
			}
		}
		has[least]++
		t.slots[slot], m.home[slot] = uint16(least), uint16(least)
	}
	t.hot, m.overloadedRounds, m.assigned = nil, 0, true
	m.table = t
	return t
}

// copyTable returns a copy of the table that can be changed.
func (m *Balancer) copyTable() *Table {
	t := &Table{mode: m.table.mode, slots: m.table.slots, hot: m.table.hot}
	return t
}

// Balance processes the shards' reports since the last round and returns how load is divided from now on. now is
// in seconds.
func (m *Balancer) Balance(now float64, reports []Report) Decision {
	elapsed := now - m.lastBalance
	m.lastBalance = now
	if elapsed <= 0 || len(reports) != m.shards {
		return Decision{Table: m.table, HotItems: len(m.table.hot)}
	}
	t := m.copyTable()
	m.updateLoads(elapsed, reports)
	m.reassignStalled(t, reports)
	d := Decision{Table: t}
	if m.shards > 1 {
		if t.mode == ByItem {
			t.hot = m.findHotItems(elapsed, reports)
		}
		d.MovedSlots = m.moveSlots(now, t)
	}
	d.HotItems = len(t.hot)
	m.table = t
	return d
}

func (m *Balancer) updateLoads(elapsed float64, reports []Report) {
	for slot := range m.slotLoads {
		sum := 0.0
		for i := range reports {
			sum += float64(reports[i].SlotRequests[slot])
		}
		m.slotLoads[slot] += (sum/elapsed - m.slotLoads[slot]) * loadSmoothing
	}
}

// reassignStalled lends the slots of shards that did not respond to the others, and gives them back once their
// shards respond. Guards against a shard whose lock is held or whose goroutine does not run: it keeps the GETs
// that it has, but no new ones wait for it.
func (m *Balancer) reassignStalled(t *Table, reports []Report) {
	var responding []int
	for i := range reports {
		if reports[i].Responded {
			responding = append(responding, i)
		}
	}
	if len(responding) == 0 { // if no shard responds, the cause is not a single shard
		return
	}
	for i := range reports {
		m.responding[i] = reports[i].Responded
	}
	for slot, home := range m.home {
		if m.responding[home] {
			t.slots[slot] = home
			continue
		}
		if s := t.slots[slot]; !m.responding[s] {
			t.slots[slot] = uint16(responding[slot%len(responding)])
		}
	}
}

// findHotItems returns the shards of each item that one shard should not serve alone.
func (m *Balancer) findHotItems(elapsed float64, reports []Report) map[uint64][]uint16 {
	counts, total := map[uint64]float64{}, 0.0
	for i := range reports {
		total += reports[i].Total()
		for _, c := range reports[i].TopItems {
			counts[c.Key] += float64(c.Requests)
		}
	}
	even := total / float64(m.shards)
	if total/elapsed < minRequestRate {
		return nil
	}
	var keys []uint64
	for key, n := range counts {
		if threshold := map[bool]float64{true: coolThreshold, false: hotThreshold}[m.table.hot[key] != nil]; n > threshold*even {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	hot := map[uint64][]uint16{}
	for _, key := range keys[:min(len(keys), maxHotItems)] {
		hot[key] = m.hotItemShards(key, int(math.Ceil(counts[key]/(hotItemShare*even))))
	}
	return hot
}

// hotItemShards returns n shards for a hot item, beginning with its own, in an order that stays the same when n
// changes.
func (m *Balancer) hotItemShards(key uint64, n int) (shards []uint16) {
	first := int(m.home[key%Slots])
	for i := range m.shards {
		if s := (first + i) % m.shards; m.responding[s] && len(shards) < n {
			shards = append(shards, uint16(s))
		}
	}
	return shards
}

// moveSlots moves slots from the busiest shards to the idlest ones. The shards of spread items are chosen by
// findHotItems instead.
func (m *Balancer) moveSlots(now float64, t *Table) (moved int) {
	load, slots, total, responding := make([]float64, m.shards), make([][]int, m.shards), 0.0, 0.0
	for slot, s := range t.slots {
		load[s] += m.slotLoads[slot]
		total += m.slotLoads[slot]
		slots[s] = append(slots[s], slot)
	}
	for _, responds := range m.responding {
		if responds {
			responding++
		}
	}
	mean := total / math.Max(1, responding)
	if total < minRequestRate || slices.Max(load) <= overloadThreshold*mean {
		m.overloadedRounds = 0
		return 0
	}
	if m.overloadedRounds++; m.overloadedRounds < minOverloadedRounds {
		return 0
	}
	for moved < maxMovedSlots {
		from, to := m.extremes(load)
		if from < 0 || to < 0 || load[from] <= reliefTarget*mean {
			break
		}
		slot := m.pickSlot(now, slots[from], math.Min(load[from]-mean, mean-load[to]))
		if slot < 0 {
			break
		}
		slots[from] = slices.DeleteFunc(slots[from], func(s int) bool { return s == slot })
		slots[to] = append(slots[to], slot)
		load[from] -= m.slotLoads[slot]
		load[to] += m.slotLoads[slot]
		t.slots[slot], m.home[slot] = uint16(to), uint16(to)
		m.heldUntil[slot] = now + slotHoldTime
		moved++
	}
	return moved
}

// extremes returns the busiest and the idlest responding shard, or -1 if none responds.
func (m *Balancer) extremes(load []float64) (from, to int) {
	from, to = -1, -1
	for s, l := range load {
		if !m.responding[s] {
			continue
		}
		if from < 0 || l > load[from] {
			from = s
		}
		if to < 0 || l < load[to] {
			to = s
		}
	}
	return from, to
}

// pickSlot returns the busiest slot that may move and whose load is at most limit, or -1 if there is none.
func (m *Balancer) pickSlot(now float64, slots []int, limit float64) int {
	best := -1
	for _, slot := range slots {
		if l := m.slotLoads[slot]; l > 0 && l <= limit && now >= m.heldUntil[slot] && (best < 0 || l > m.slotLoads[best]) {
			best = slot
		}
	}
	return best
}
