package rendezvous

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"elderwall/internal/standin/need"
)

// positions returns the numbers 0 to n-1.
func positions(n int) []int {
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	return order
}

// sortedOrder returns the order by its definition: all hosts are hashed and sorted.
func sortedOrder(ids []uint32, hash uint64) []int {
	order := positions(len(ids))
	sort.Slice(order, func(i, j int) bool {
		return Mix(hash^Mix(uint64(ids[order[i]]))) > Mix(hash^Mix(uint64(ids[order[j]])))
	})
	return order
}

// manyHosts returns the IDs of n hosts.
func manyHosts(n int) []uint32 {
	ids := make([]uint32, n)
	for i := range ids {
		ids[i] = uint32(i) * 7919
	}
	return ids
}

// hashOf returns the hash of an object, given its number.
func hashOf(i int) uint64 { return uint64(i) * 0x9e3779b97f4a7c15 }

// setHosts sets the hosts of an index, with the position of each as its value.
func setHosts(x *Index[int], ids []uint32) { x.Set(ids, positions(len(ids))) }

// walk returns the first hosts of the order for an object, at most limit.
func walk(x *Index[int], hash uint64, cached **Prefix, limit int) []int {
	return walkFrom(x, hash, cached, 0, limit)
}

// walkFrom returns hosts of the order for an object, beginning at position from, at most limit.
func walkFrom(x *Index[int], hash uint64, cached **Prefix, from, limit int) (order []int) {
	x.Walk(hash, cached, from, func(position int) bool {
		order = append(order, position)
		return len(order) < limit
	})
	return order
}

// The order must equal that of a plain sort after any changes of the hosts, with and without a cached prefix,
// and however far it is walked.
func TestIndexMatchesPlainSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x Index[int]
		prefixes, hashes := map[uint64]**Prefix{}, rapid.SliceOfN(rapid.Uint64(), 1, 5).Draw(t, "hashes")
		for range 5 {
			ids := rapid.SliceOfNDistinct(rapid.Uint32Range(0, 200), 0, 60, rapid.ID[uint32]).Draw(t, "ids")
			setHosts(&x, ids)
			for _, hash := range hashes {
				if prefixes[hash] == nil {
					prefixes[hash] = new(*Prefix)
				}
				limit, want := rapid.IntRange(1, 70).Draw(t, "most"), sortedOrder(ids, hash)
				want = want[:min(len(want), limit)]
				for _, cached := range []**Prefix{prefixes[hash], prefixes[hash], nil} {
					got := walk(&x, hash, cached, limit)
					require.True(t, slices.Equal(got, want), "%d hosts, %d walked: %v, a sort gives %v", len(ids), limit, got, want)
				}
			}
		}
	})
}

// changingHosts is an index of which a few hosts are added and removed at a time.
type changingHosts struct {
	*rapid.T
	index  Index[int]
	ids    []uint32
	lastID uint32
}

func newChangingHosts(t *rapid.T) *changingHosts {
	c := &changingHosts{T: t}
	for range rapid.IntRange(20, 900).Draw(t, "hosts") {
		c.ids = append(c.ids, c.newID())
	}
	setHosts(&c.index, c.ids)
	return c
}

func (c *changingHosts) newID() uint32 {
	c.lastID++
	return c.lastID * 7919
}

// change removes some hosts and adds others.
func (c *changingHosts) change() {
	for range rapid.IntRange(0, 6).Draw(c.T, "removed") {
		if len(c.ids) > 1 {
			i := c.drawHost()
			c.ids = slices.Delete(c.ids, i, i+1)
		}
	}
	for range rapid.IntRange(0, 6).Draw(c.T, "added") {
		id := c.newID()
		c.ids = slices.Insert(c.ids, rapid.IntRange(0, len(c.ids)).Draw(c.T, "where"), id)
	}
	setHosts(&c.index, c.ids)
}

// drawHost draws the position of any host, or of one that is the first of an order.
func (c *changingHosts) drawHost() int {
	i := rapid.IntRange(0, len(c.ids)-1).Draw(c.T, "which")
	if rapid.Bool().Draw(c.T, "first of an order") {
		i = walk(&c.index, hashOf(1), nil, 1)[0] % len(c.ids)
	}
	return i
}

// checkWalks compares walks that use a cached prefix with a plain sort.
func (c *changingHosts) checkWalks(hash uint64, cached **Prefix) {
	limit := rapid.SampledFrom([]int{1, 2, 5, 6, 7, 9, 40, 130, 900}).Draw(c.T, "most")
	order := sortedOrder(c.ids, hash)
	start := rapid.SampledFrom([]int{0, 0, 3, 6, 200}).Draw(c.T, "from")
	for _, from := range []int{start, 0} {
		want := order[min(len(order), from):]
		want = want[:min(len(want), limit)]
		got := walkFrom(&c.index, hash, cached, from, limit)
		require.True(c.T, slices.Equal(got, want), "%d hosts, from %d: %v, a sort gives %v", len(c.ids), from, got, want)
	}
}

// Cached prefixes must stay correct while the list of hosts changes a little at a time, also when a prefix
// missed several changes.
func TestPrefixesCatchUpWithChangedHosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := newChangingHosts(t)
		cached := make([]*Prefix, 3)
		for range 12 {
			hosts.change()
			for i := range cached {
				if rapid.IntRange(0, 2).Draw(t, "walked") == 0 {
					continue // the prefix lags by several lists
				}
				hosts.checkWalks(hashOf(i+1), &cached[i])
			}
		}
	})
}

// BenchmarkCatchUpAfterChange measures updating a cached prefix after 1% of the hosts were replaced, and the
// update of the index by such a list.
func BenchmarkCatchUpAfterChange(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		var x Index[int]
		ids := manyHosts(n)
		setHosts(&x, ids)
		changed, prefixes, values := slices.Clone(ids), make([]*Prefix, 4096), make([]int, n)
		for i := range n / 100 {
			changed[i*100] = uint32(n+i) * 7919
		}
		for i := range prefixes {
			walk(&x, hashOf(i), &prefixes[i], 1)
		}
		x.Set(changed, values)
		need.Bench(b, fmt.Sprint(n, "/caught up"), func(i int) {
			stale := *prefixes[i&4095]
			stale.slots = slices.Clone(stale.slots)
			x.catchUp(hashOf(i&4095), &stale.prefix, PrefixLength)
		})
		need.Bench(b, fmt.Sprint(n, "/list"), func(i int) { x.Set([][]uint32{ids, changed}[i%2], values) })
	}
}

// Two lists that differ in 1% of their hosts must give the same first host for all other objects, and objects
// must be spread evenly over the hosts.
func TestRemovedHostsMoveOnlyTheirOwnObjects(t *testing.T) {
	ids := manyHosts(1000)
	var all, reduced Index[int]
	setHosts(&all, ids)
	setHosts(&reduced, slices.Delete(slices.Clone(ids), 990, 1000)) // two lists that differ by 1%
	random, moved, owned := rand.New(rand.NewPCG(1, 2)), 0, 0
	objectsAt := make([]int, len(ids))
	const objects = 50000
	for range objects {
		hash := random.Uint64()
		before, after := walk(&all, hash, nil, 1)[0], walk(&reduced, hash, nil, 1)[0]
		objectsAt[before]++
		if before >= 990 {
			owned++
		} else if before != after {
			moved++
		}
	}
	assert.Zero(t, moved, "only objects of removed hosts may move")
	assert.InDelta(t, 0.01, float64(owned)/objects, 0.003)
	assert.Less(t, slices.Max(objectsAt), 100, "objects of one host, 50 if all were equal")
}

// BenchmarkWalk measures walks for known objects and new ones, and a plain sort.
func BenchmarkWalk(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		var x Index[int]
		ids, prefixes := manyHosts(n), make([]*Prefix, 4096)
		setHosts(&x, ids)
		for name, do := range map[string]func(i int){
			"known":       func(i int) { walk(&x, hashOf(i&4095), &prefixes[i&4095], 1) },
			"new":         func(i int) { var f *Prefix; walk(&x, hashOf(i), &f, 1) },
			"100 of them": func(i int) { walk(&x, hashOf(i&31), &prefixes[i&4095], 100) },
			"sort":        func(i int) { sortedOrder(ids, hashOf(i)) },
		} {
			need.Bench(b, fmt.Sprintf("%d/%s", n, name), do)
		}
	}
}
