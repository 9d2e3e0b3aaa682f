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

// positions is 0 to n-1.
func positions(n int) []int {
	places := make([]int, n)
	for i := range places {
		places[i] = i
	}
	return places
}

// sortedOrder is the order as it is written: all hosts hashed and sorted.
func sortedOrder(ids []uint32, hash uint64) []int {
	places := positions(len(ids))
	sort.Slice(places, func(i, j int) bool {
		return Mix(hash^Mix(uint64(ids[places[i]]))) > Mix(hash^Mix(uint64(ids[places[j]])))
	})
	return places
}

// manyHosts is so many hosts.
func manyHosts(n int) []uint32 {
	ids := make([]uint32, n)
	for i := range ids {
		ids[i] = uint32(i) * 7919
	}
	return ids
}

// hashOf is that of an object.
func hashOf(i int) uint64 { return uint64(i) * 0x9e3779b97f4a7c15 }

// setHosts gives each host its place as a value.
func setHosts(x *Index[int], ids []uint32) {
	x.Set(ids, positions(len(ids)))
}

func walk(x *Index[int], hash uint64, first **Prefix, most int) []int {
	return walkFrom(x, hash, first, 0, most)
}

func walkFrom(x *Index[int], hash uint64, first **Prefix, from, most int) (places []int) {
	x.Walk(hash, first, from, func(place int) bool { places = append(places, place); return len(places) < most })
	return places
}

// TestTheIndexGivesWhatAPlainSortGives after any changes of the hosts, with what is kept and without, and however far it is walked.
func TestTheIndexGivesWhatAPlainSortGives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x Index[int]
		first, hashes := map[uint64]**Prefix{}, rapid.SliceOfN(rapid.Uint64(), 1, 5).Draw(t, "hashes")
		for range 5 {
			ids := rapid.SliceOfNDistinct(rapid.Uint32Range(0, 200), 0, 60, rapid.ID[uint32]).Draw(t, "ids")
			setHosts(&x, ids)
			for _, hash := range hashes {
				if first[hash] == nil {
					first[hash] = new(*Prefix)
				}
				most, want := rapid.IntRange(1, 70).Draw(t, "most"), sortedOrder(ids, hash)
				want = want[:min(len(want), most)]
				for _, keep := range []**Prefix{first[hash], first[hash], nil} {
					got := walk(&x, hash, keep, most)
					require.True(t, slices.Equal(got, want), "%d hosts, %d asked for: %v, a sort gives %v", len(ids), most, got, want)
				}
			}
		}
	})
}

// TestPrefixesCatchUp with hosts that come and go a few at a time, as it does with many.
func TestPrefixesCatchUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x Index[int]
		var ids []uint32
		next := uint32(0)
		for range rapid.IntRange(20, 900).Draw(t, "hosts") {
			next++
			ids = append(ids, next*7919)
		}
		setHosts(&x, ids)
		first := make([]*Prefix, 3)
		for range 12 {
			for range rapid.IntRange(0, 6).Draw(t, "go") {
				if len(ids) > 1 {
					i := rapid.IntRange(0, len(ids)-1).Draw(t, "which")
					if rapid.Bool().Draw(t, "first of an order") {
						i = walk(&x, 0x9e3779b97f4a7c15, nil, 1)[0] % len(ids)
					}
					ids = slices.Delete(ids, i, i+1)
				}
			}
			for range rapid.IntRange(0, 6).Draw(t, "come") {
				next++
				ids = slices.Insert(ids, rapid.IntRange(0, len(ids)).Draw(t, "where"), next*7919)
			}
			setHosts(&x, ids)
			for k := range first {
				if rapid.IntRange(0, 2).Draw(t, "asked for") == 0 {
					continue // it lags by several lists
				}
				hash, most := uint64(k+1)*0x9e3779b97f4a7c15, rapid.SampledFrom([]int{1, 2, 5, 6, 7, 9, 40, 130, 900}).Draw(t, "most")
				want, from := sortedOrder(ids, hash), rapid.SampledFrom([]int{0, 0, 3, 6, 200}).Draw(t, "from")
				for _, from := range []int{from, 0} {
					want := want[min(len(want), from):]
					want = want[:min(len(want), most)]
					got := walkFrom(&x, hash, &first[k], from, most)
					require.True(t, slices.Equal(got, want), "%d hosts, from %d: %v, a sort gives %v", len(ids), from, got, want)
				}
			}
		}
	})
}

// BenchmarkAfterAChange is a walk for an object that is known, after 1% of hosts have been replaced, and the taking in of such a list.
func BenchmarkAfterAChange(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		var x Index[int]
		ids := manyHosts(n)
		setHosts(&x, ids)
		changed, firsts, places := slices.Clone(ids), make([]*Prefix, 4096), make([]int, n)
		for i := range n / 100 {
			changed[i*100] = uint32(n+i) * 7919
		}
		for i := range firsts {
			walk(&x, hashOf(i), &firsts[i], 1)
		}
		x.Set(changed, places)
		need.Bench(b, fmt.Sprint(n, "/caught up"), func(i int) {
			f := *firsts[i&4095]
			f.slots = slices.Clone(f.slots)
			x.catchUp(hashOf(i&4095), &f.prefix, PrefixLength)
		})
		need.Bench(b, fmt.Sprint(n, "/list"), func(i int) { x.Set([][]uint32{ids, changed}[i%2], places) })
	}
}

func TestOneHostLessMovesOnlyItsOwnObjects(t *testing.T) {
	ids := manyHosts(1000)
	var all, less Index[int]
	setHosts(&all, ids)
	setHosts(&less, slices.Delete(slices.Clone(ids), 990, 1000)) // two lists that differ by 1%
	chance, moved, owned, count := rand.New(rand.NewPCG(1, 2)), 0, 0, make([]int, len(ids))
	const objects = 50000
	for range objects {
		hash := chance.Uint64()
		a, b := walk(&all, hash, nil, 1)[0], walk(&less, hash, nil, 1)[0]
		count[a]++
		if a >= 990 {
			owned++
		} else if a != b {
			moved++
		}
	}
	assert.Zero(t, moved, "the least possible: only what the missing ones had")
	assert.InDelta(t, 0.01, float64(owned)/objects, 0.003)
	assert.Less(t, slices.Max(count), 100, "of 50 that are even")
}

func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		var x Index[int]
		ids, firsts := manyHosts(n), make([]*Prefix, 4096)
		setHosts(&x, ids)
		for name, do := range map[string]func(i int){
			"known":       func(i int) { walk(&x, hashOf(i&4095), &firsts[i&4095], 1) },
			"new":         func(i int) { var f *Prefix; walk(&x, hashOf(i), &f, 1) },
			"100 of them": func(i int) { walk(&x, hashOf(i&31), &firsts[i&4095], 100) },
			"sort":        func(i int) { sortedOrder(ids, hashOf(i)) },
		} {
			need.Bench(b, fmt.Sprintf("%d/%s", n, name), do)
		}
	}
}
