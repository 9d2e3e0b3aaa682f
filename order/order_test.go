package order

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// plain is the order as it is written: all hosts hashed and sorted.
func plain(ids []uint32, hash uint64) []int {
	places := make([]int, len(ids))
	for i := range places {
		places[i] = i
	}
	sort.Slice(places, func(i, j int) bool {
		return Mix(hash^Mix(uint64(ids[places[i]]))) > Mix(hash^Mix(uint64(ids[places[j]])))
	})
	return places
}

func walk(x *Index, hash uint64, first **First, most int) (places []int) {
	x.Walk(hash, first, func(place int) bool {
		places = append(places, place)
		return len(places) < most
	})
	return places
}

// TestTheIndexGivesWhatAPlainSortGives after any changes of the hosts, with what is kept and without, and however far it
// is walked.
func TestTheIndexGivesWhatAPlainSortGives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x Index
		first := map[uint64]**First{}
		hashes := rapid.SliceOfN(rapid.Uint64(), 1, 5).Draw(t, "hashes")
		for range 5 {
			ids := rapid.SliceOfNDistinct(rapid.Uint32Range(0, 200), 0, 60, rapid.ID[uint32]).Draw(t, "ids")
			x.Set(ids)
			for _, hash := range hashes {
				if first[hash] == nil {
					first[hash] = new(*First)
				}
				most := rapid.IntRange(1, 70).Draw(t, "most")
				want := plain(ids, hash)
				want = want[:min(len(want), most)]
				for _, keep := range []**First{first[hash], first[hash], nil} {
					if got := walk(&x, hash, keep, most); !slices.Equal(got, want) {
						t.Fatalf("%d hosts, %d asked for: %v, a sort gives %v", len(ids), most, got, want)
					}
				}
			}
		}
	})
}

func TestAHostLessMovesItsOwnObjectsAlone(t *testing.T) {
	ids := make([]uint32, 1000)
	for i := range ids {
		ids[i] = uint32(i) * 7919
	}
	var all, less Index
	all.Set(ids)
	less.Set(slices.Delete(slices.Clone(ids), 990, 1000)) // two lists that differ by 1%
	chance, moved, owned := rand.New(rand.NewPCG(1, 2)), 0, 0
	count := make([]int, len(ids))
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
		ids := make([]uint32, n)
		for i := range ids {
			ids[i] = uint32(i) * 7919
		}
		var x Index
		x.Set(ids)
		firsts := make([]*First, 4096)
		for _, way := range []struct {
			name string
			do   func(i int)
		}{
			{"known", func(i int) { walk1(&x, uint64(i&4095)*0x9e3779b97f4a7c15, &firsts[i&4095]) }},
			{"new", func(i int) { var f *First; walk1(&x, uint64(i)*0x9e3779b97f4a7c15, &f) }},
			{"sort", func(i int) { plain(ids, uint64(i)*0x9e3779b97f4a7c15) }},
		} {
			b.Run(fmt.Sprintf("%d/%s", n, way.name), func(b *testing.B) {
				b.ReportAllocs()
				for i := range b.N {
					way.do(i)
				}
			})
		}
	}
}

func walk1(x *Index, hash uint64, first **First) {
	x.Walk(hash, first, func(int) bool { return false })
}
