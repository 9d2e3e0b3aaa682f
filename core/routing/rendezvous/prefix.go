package rendezvous

import "slices"

// PrefixLength is the number of hosts of an order that are kept with an object: copies are few, and so are
// hosts that can't be used.
const PrefixLength = 6

const (
	// longer prefixes that are kept: those of the hottest objects, which have many copies
	longPrefixCount = 256
	longPrefixStart = 32      // hosts of such a one at first
	longPrefixTotal = 1 << 18 // hosts of all of them together: 1 MB
	growthOfLonger  = 4       // multiple of its hosts that a longer one grows to

	// hostsPerChange is the number of hosts for each change above which a prefix catches up with the changes:
	// it is found anew where it lags so far behind that a look at all hosts is as cheap.
	hostsPerChange = 8
)

// Prefix is the beginning of an object's order.
type Prefix struct {
	prefix
	store [PrefixLength]int32
}

// prefix is the beginning of an order, as of a version of the index.
type prefix struct {
	version uint64
	slots   []int32
}

// longPrefixes caches longer prefixes by hash.
type longPrefixes struct {
	entries [longPrefixCount]longPrefix
	hosts   int // hosts that all entries have space for
}

type longPrefix struct {
	hash uint64
	prefix
}

// reserve counts the space for a prefix to grow to so many hosts; where all together would grow too large,
// the others go.
func (c *longPrefixes) reserve(p *longPrefix, hosts int) {
	c.hosts += max(0, hosts-cap(p.slots))
	if c.hosts > longPrefixTotal {
		c.entries = [longPrefixCount]longPrefix{}
		c.hosts = hosts
	}
}

// catchUp lets a prefix of at most most hosts catch up with the hosts that were added and removed since its
// version: it stays the beginning of the order, though it may become shorter. False tells that it must be
// found anew.
func (x *Index[V]) catchUp(hash uint64, p *prefix, most int) bool {
	version := x.version()
	if p.version == version || len(p.slots) == 0 {
		return len(p.slots) > 0
	}
	if p.version < x.changesDropped {
		return false
	}
	if (version-p.version)*hostsPerChange*uint64(max(1, most/PrefixLength)) > uint64(x.hosts) {
		return false
	}
	changes := x.changes[p.version-x.changesDropped:]
	// first, as a slot may have another host now, which would stand in the wrong place
	for _, c := range changes {
		if !c.added {
			p.remove(c.slot)
		}
	}
	for _, c := range changes {
		if c.added && x.used[c.slot] && !slices.Contains(p.slots, c.slot) {
			p.insert(hash, c.slot, x.keys, most)
		}
	}
	p.version = version
	return len(p.slots) > 0
}

// remove takes a host out.
func (p *prefix) remove(slot int32) {
	if i := slices.Index(p.slots, slot); i >= 0 {
		p.slots = slices.Delete(p.slots, i, i+1)
	}
}

// insert puts a host where it belongs; one behind the last host of the prefix is not known to be the next.
func (p *prefix) insert(hash uint64, slot int32, keys []uint64, most int) {
	score := Mix(hash ^ keys[slot])
	for i, other := range p.slots {
		if score > Mix(hash^keys[other]) {
			if len(p.slots) >= most {
				p.slots = p.slots[:most-1]
			}
			p.slots = slices.Insert(p.slots, min(i, len(p.slots)), slot)
			return
		}
	}
}

// find finds an object's prefix: one look at each host, and hardly more for those that are not in it.
func (x *Index[V]) find(hash uint64, p *Prefix) {
	var best [PrefixLength]scored
	n := 0
	for slot, key := range x.keys {
		score := Mix(hash ^ key)
		if n == PrefixLength && score <= best[n-1].score || !x.used[slot] {
			continue
		}
		place := min(n, PrefixLength-1)
		n = min(n+1, PrefixLength)
		for ; place > 0 && best[place-1].score < score; place-- {
			best[place] = best[place-1]
		}
		best[place] = scored{score, int32(slot)}
	}
	p.version, p.slots = x.version(), p.store[:n]
	for i := range n {
		p.slots[i] = best[i].slot
	}
}
