// Package sharding decides how the GETs of one process are divided among several modules, each with a lock and state of
// its own, and what those must have in common. It is pure: no I/O, clock, lock or goroutine; whoever calls it from
// several goroutines locks.
//
// What holds at any time:
//   - an item (an object's part) belongs to one shard, which counts all of its GETs, unless it is so hot that it is
//     spread, and then to the shards named for it, each of which counts an even part;
//   - an item that has moved stays for settle seconds, and moves only while one shard has clearly more to do than the
//     mean: load does not flap;
//   - a shard that is not heard of gets nothing new;
//   - what rule 4 allows one module to send to a cold host is spent from one pot by all (Pots), and one trial of a host
//     that was left is out at a time.
package sharding

import (
	"cmp"
	"math"
	"slices"

	"elderwall/core/routing/rendezvous"
)

const (
	// Slots is the number of parts into which items are hashed; the least that moves is a thousandth of the load.
	Slots = 1024

	mostHot   = 32   // items that are spread at most; by hotFrom there can't be more that matter
	hotFrom   = 0.5  // share of a shard's even load from which on an item is spread
	hotUntil  = 0.25 // share under which it is one shard's again: half, so that it does not flap
	hotPart   = 0.25 // share of a shard's even load that each shard of a spread item is to have of it
	busyFrom  = 1.3  // multiple of the mean load from which on a shard gives slots away
	busyUntil = 1.1  // multiple of it that it is brought down to
	busyTurns = 3    // turns in a row that it must have been so busy: one may be a burst
	mostMoves = 64   // slots in a turn; moved items are counted anew, so that few are at a time
	settle    = 5.0  // s; half of the count table's window, which a moved item needs to be known again
	learn     = 0.3  // share; weight of a turn in a slot's load: the last six count
	fewGETs   = 200  // a second; below that there is no load to divide

	// Waits is how long, in seconds, a GET may wait in a shard's line before it counts as one that stood still.
	Waits = 0.02
	// TooLittle is the time in seconds under which such a GET is not begun any more: of less than that the module keeps
	// only a quarter back for the answer, not its 50 ms, and a shard that stood still may do so again.
	TooLittle = 0.2
)

// Way is how GETs are divided.
type Way int

// The ways.
const (
	ByItem       Way = iota // an item's GETs go to one shard
	ByConnection            // a connection's GETs go to one shard, each a dispatcher of its own
)

// Table tells which shard a GET belongs to. It never changes once it is given out.
type Table struct {
	way   Way
	slots [Slots]uint16
	hot   map[uint64][]uint16
}

// Key is the hash of an item, or of a connection, that Of takes.
func Key(name string, part int) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return rendezvous.Mix(h ^ uint64(part)*0x9e3779b97f4a7c15)
}

// Of is the shard of a key; turn spreads the GETs of one that is hot, in turn.
func (t *Table) Of(key uint64, turn uint64) int {
	if len(t.hot) > 0 {
		if over := t.hot[key]; over != nil {
			return int(over[turn%uint64(len(over))])
		}
	}
	return int(t.slots[key%Slots])
}

// Way is how it divides.
func (t *Table) Way() Way { return t.way }

// Report is what a shard saw in one turn.
type Report struct {
	Heard bool          // it has answered in this turn
	Slots [Slots]uint32 // GETs by slot
	Items []Count       // the items asked for most
}

// Total is the GETs of a report.
func (r *Report) Total() (n float64) {
	for _, c := range r.Slots {
		n += float64(c)
	}
	return n
}

// Decision is what a turn changed.
type Decision struct {
	Table *Table
	Moved int // slots
	Hot   int // items spread now
}

// Module divides the load of one process.
type Module struct {
	table   *Table
	n       int
	open    []bool    // shards that get anything
	loads   []float64 // GETs a second, by slot
	stays   []float64 // until when a slot stays
	home    []uint16  // where a slot belongs while its shard is not heard of
	busy    int       // turns in a row
	last    float64
	started bool
}

// New divides among n shards.
func New(n int, way Way) *Module {
	m := &Module{table: &Table{way: way}, loads: make([]float64, Slots), stays: make([]float64, Slots), home: make([]uint16, Slots)}
	m.Resize(n)
	return m
}

// Table is the one in force.
func (m *Module) Table() *Table { return m.table }

// Shards is how many there are.
func (m *Module) Shards() int { return m.n }

// Resize divides among another number of shards, moving no more slots than it must: those of shards that are gone, and
// an even part for those that are new.
func (m *Module) Resize(n int) *Table {
	t := m.next()
	m.n, m.open = n, make([]bool, n)
	for i := range m.open {
		m.open[i] = true
	}
	has := make([]int, n)
	var free []int
	even := (Slots + n - 1) / n
	for slot := range t.slots {
		s := int(m.home[slot])
		if s >= n || !m.started && s == 0 && has[0] >= even || has[s] >= even {
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
	t.hot, m.busy, m.started = nil, 0, true
	m.table = t
	return t
}

// next is a copy of the table to change.
func (m *Module) next() *Table {
	t := &Table{way: m.table.way, slots: m.table.slots, hot: m.table.hot}
	return t
}

// Turn takes what the shards saw since the last one and says how load is divided from now on.
func (m *Module) Turn(now float64, reports []Report) Decision {
	gone := now - m.last
	m.last = now
	if gone <= 0 || len(reports) != m.n {
		return Decision{Table: m.table, Hot: len(m.table.hot)}
	}
	t := m.next()
	m.learn(gone, reports)
	m.stalled(t, reports)
	d := Decision{Table: t}
	if m.n > 1 {
		if t.way == ByItem {
			t.hot = m.spread(gone, reports)
		}
		d.Moved = m.relieve(now, t)
	}
	d.Hot = len(t.hot)
	m.table = t
	return d
}

func (m *Module) learn(gone float64, reports []Report) {
	for slot := range m.loads {
		sum := 0.0
		for i := range reports {
			sum += float64(reports[i].Slots[slot])
		}
		m.loads[slot] += (sum/gone - m.loads[slot]) * learn
	}
}

// stalled lends the slots of shards that were not heard of to the others, and gives them back. Guards against a shard
// whose lock is held, or whose goroutine does not run: what it has is its own, but nothing new waits for it.
func (m *Module) stalled(t *Table, reports []Report) {
	var open []int
	for i := range reports {
		if reports[i].Heard {
			open = append(open, i)
		}
	}
	if len(open) == 0 { // whatever it is, it is not one shard
		return
	}
	for i := range reports {
		m.open[i] = reports[i].Heard
	}
	for slot, home := range m.home {
		if m.open[home] {
			t.slots[slot] = home
			continue
		}
		if s := t.slots[slot]; !m.open[s] {
			t.slots[slot] = uint16(open[slot%len(open)])
		}
	}
}

// spread names the shards of each item that one shard should not have alone.
func (m *Module) spread(gone float64, reports []Report) map[uint64][]uint16 {
	counts, total := map[uint64]float64{}, 0.0
	for i := range reports {
		total += reports[i].Total()
		for _, c := range reports[i].Items {
			counts[c.Key] += float64(c.N)
		}
	}
	even := total / float64(m.n)
	if total/gone < fewGETs {
		return nil
	}
	var keys []uint64
	for key, n := range counts {
		if from := map[bool]float64{true: hotUntil, false: hotFrom}[m.table.hot[key] != nil]; n > from*even {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	hot := map[uint64][]uint16{}
	for _, key := range keys[:min(len(keys), mostHot)] {
		hot[key] = m.over(key, int(math.Ceil(counts[key]/(hotPart*even))))
	}
	return hot
}

// over is so many shards for a hot item, from its own on, in an order that a change of their number keeps.
func (m *Module) over(key uint64, n int) (all []uint16) {
	first := int(m.home[key%Slots])
	for i := range m.n {
		if s := (first + i) % m.n; m.open[s] && len(all) < n {
			all = append(all, uint16(s))
		}
	}
	return all
}

// relieve moves slots from the busiest shards to the idlest ones. What spread items add is even, and left out.
func (m *Module) relieve(now float64, t *Table) (moved int) {
	load, slots, total, open := make([]float64, m.n), make([][]int, m.n), 0.0, 0.0
	for slot, s := range t.slots {
		load[s] += m.loads[slot]
		total += m.loads[slot]
		slots[s] = append(slots[s], slot)
	}
	for _, is := range m.open {
		if is {
			open++
		}
	}
	mean := total / math.Max(1, open)
	if total < fewGETs || slices.Max(load) <= busyFrom*mean {
		m.busy = 0
		return 0
	}
	if m.busy++; m.busy < busyTurns {
		return 0
	}
	for moved < mostMoves {
		from, to := m.extremes(load)
		if from < 0 || to < 0 || load[from] <= busyUntil*mean {
			break
		}
		slot := m.fits(now, slots[from], math.Min(load[from]-mean, mean-load[to]))
		if slot < 0 {
			break
		}
		slots[from] = slices.DeleteFunc(slots[from], func(s int) bool { return s == slot })
		slots[to] = append(slots[to], slot)
		load[from] -= m.loads[slot]
		load[to] += m.loads[slot]
		t.slots[slot], m.home[slot] = uint16(to), uint16(to)
		m.stays[slot] = now + settle
		moved++
	}
	return moved
}

// extremes is the busiest and the idlest open shard.
func (m *Module) extremes(load []float64) (from, to int) {
	from, to = -1, -1
	for s, l := range load {
		if !m.open[s] {
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

// fits is the busiest slot that may move and is no more than what is to move, -1 if there is none.
func (m *Module) fits(now float64, slots []int, most float64) int {
	best := -1
	for _, slot := range slots {
		if l := m.loads[slot]; l > 0 && l <= most && now >= m.stays[slot] && (best < 0 || l > m.loads[best]) {
			best = slot
		}
	}
	return best
}
