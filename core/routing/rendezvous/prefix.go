package rendezvous

import "slices"

// PrefixLength is the number of hosts in the prefix kept with each object. A few are enough, because objects
// have few copies and few hosts are unusable.
const PrefixLength = 6

const (
	// longPrefixCount is the number of cached long prefixes. They are for the hottest objects, which have many
	// copies.
	longPrefixCount    = 256
	longPrefixStart    = 32      // initial number of hosts of a long prefix
	maxLongPrefixHosts = 1 << 18 // limit on the hosts of all long prefixes together: 1 MB
	longPrefixGrowth   = 4       // factor by which a long prefix grows

	// hostsPerChange is the cost of applying one change to a prefix, in hosts that could be scanned instead. A
	// prefix that has missed more than one change for each hostsPerChange hosts is computed anew, because
	// scanning all hosts is then as cheap.
	hostsPerChange = 8
)

// Prefix holds the first hosts of an object's order. It belongs to one index and one hash.
type Prefix struct {
	prefix
	slotStorage [PrefixLength]int32
}

// prefix holds the first slots of an order as of a version of the index.
type prefix struct {
	version uint64
	slots   []int32
}

// longPrefixes caches long prefixes by hash.
type longPrefixes struct {
	entries       [longPrefixCount]longPrefix
	totalCapacity int // number of hosts that all entries have space for
}

// longPrefix holds the first hosts of the order of one object, which is identified by its hash.
type longPrefix struct {
	hash uint64
	prefix
}

// reserve accounts for the space that p needs to grow to the given number of hosts. If all prefixes together
// would exceed the limit, it evicts all entries.
func (c *longPrefixes) reserve(p *longPrefix, hosts int) {
	c.totalCapacity += max(0, hosts-cap(p.slots))
	if c.totalCapacity > maxLongPrefixHosts {
		c.entries = [longPrefixCount]longPrefix{}
		c.totalCapacity = hosts
	}
}

// catchUp applies the hosts added and removed since the version of p, which may hold at most maxHosts
// hosts. p remains the beginning of the order but may become shorter. It returns false if p must be computed
// anew.
func (x *Index[V]) catchUp(hash uint64, p *prefix, maxHosts int) bool {
	version := x.version()
	if p.version == version || len(p.slots) == 0 {
		return len(p.slots) > 0
	}
	if p.version < x.changesDropped {
		return false
	}
	if (version-p.version)*hostsPerChange*uint64(max(1, maxHosts/PrefixLength)) > uint64(x.hostCount) {
		return false
	}
	changes := x.changes[p.version-x.changesDropped:]
	// Removals come first, because a slot may have been reused by another host, which would be in the wrong
	// position.
	for _, c := range changes {
		if !c.added {
			p.remove(c.slot)
		}
	}
	for _, c := range changes {
		if c.added && x.used[c.slot] && !slices.Contains(p.slots, c.slot) {
			p.insert(hash, c.slot, x.keys, maxHosts)
		}
	}
	p.version = version
	return len(p.slots) > 0
}

// remove removes a slot, if it is present.
func (p *prefix) remove(slot int32) {
	if i := slices.Index(p.slots, slot); i >= 0 {
		p.slots = slices.Delete(p.slots, i, i+1)
	}
}

// insert inserts a slot at its position in the order. A slot that ranks behind the last one of the prefix is
// left out, because others that are not in the prefix may rank before it. The prefix stays within maxHosts.
func (p *prefix) insert(hash uint64, slot int32, keys []uint64, maxHosts int) {
	score := Mix(hash ^ keys[slot])
	for i, other := range p.slots {
		if score > Mix(hash^keys[other]) {
			if len(p.slots) >= maxHosts {
				p.slots = p.slots[:maxHosts-1]
			}
			p.slots = slices.Insert(p.slots, min(i, len(p.slots)), slot)
			return
		}
	}
}

// find computes the prefix of an object. It scans all hosts once and does little work for those that are not
// in the prefix.
func (x *Index[V]) find(hash uint64, p *Prefix) {
	var best [PrefixLength]scored
	n := 0
	for slot, key := range x.keys {
		score := Mix(hash ^ key)
		if n == PrefixLength && score <= best[n-1].score || !x.used[slot] {
			continue
		}
		position := min(n, PrefixLength-1)
		n = min(n+1, PrefixLength)
		for ; position > 0 && best[position-1].score < score; position-- {
			best[position] = best[position-1]
		}
		best[position] = scored{score, int32(slot)}
	}
	p.version, p.slots = x.version(), p.slotStorage[:n]
	for i := range n {
		p.slots[i] = best[i].slot
	}
}
