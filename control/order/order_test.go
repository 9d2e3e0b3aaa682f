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

// set gives each host its place as a value.
func set(x *Index[int], ids []uint32) {
	places := make([]int, len(ids))
	for i := range places {
		places[i] = i
	}
	x.Set(ids, places)
}

func walk(x *Index[int], hash uint64, first **First, most int) (places []int) {
	x.Walk(hash, first, 0, func(place int) bool { places = append(places, place); return len(places) < most })
	return places
}

// TestTheIndexGivesWhatAPlainSortGives after any changes of the hosts, with what is kept and without, and however far it is walked.
func TestTheIndexGivesWhatAPlainSortGives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x Index[int]
		first, hashes := map[uint64]**First{}, rapid.SliceOfN(rapid.Uint64(), 1, 5).Draw(t, "hashes")
		for range 5 {
			ids := rapid.SliceOfNDistinct(rapid.Uint32Range(0, 200), 0, 60, rapid.ID[uint32]).Draw(t, "ids")
			set(&x, ids)
			for _, hash := range hashes {
				if first[hash] == nil {
					first[hash] = new(*First)
				}
				most, want := rapid.IntRange(1, 70).Draw(t, "most"), plain(ids, hash)
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

// TestWhatIsKeptCatchesUp with hosts that come and go a few at a time, as it does with many.
func TestWhatIsKeptCatchesUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x Index[int]
		var ids []uint32
		next := uint32(0)
		for range rapid.IntRange(20, 900).Draw(t, "hosts") {
			next++
			ids = append(ids, next*7919)
		}
		set(&x, ids)
		first := make([]*First, 3)
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
			set(&x, ids)
			for k := range first {
				if rapid.IntRange(0, 2).Draw(t, "asked for") == 0 {
					continue // it lags by several lists
				}
				hash, most := uint64(k+1)*0x9e3779b97f4a7c15, rapid.SampledFrom([]int{1, 2, 5, 6, 7, 9, 40, 130, 900}).Draw(t, "most")
				want, from := plain(ids, hash), rapid.SampledFrom([]int{0, 0, 3, 6, 200}).Draw(t, "from")
				var got []int
				x.Walk(hash, &first[k], from, func(place int) bool { got = append(got, place); return len(got) < most })
				if want := want[min(len(want), from):]; !slices.Equal(got, want[:min(len(want), most)]) {
					t.Fatalf("%d hosts, from %d: %v, a sort gives %v", len(ids), from, got, want[:min(len(want), most)])
				}
				if got := walk(&x, hash, &first[k], most); !slices.Equal(got, want[:min(len(want), most)]) {
					t.Fatalf("%d hosts: %v, a sort gives %v", len(ids), got, want[:min(len(want), most)])
				}
			}
		}
	})
}

// BenchmarkAfterAChange is a walk for an object that is known, after 1% of hosts have been replaced.
func BenchmarkAfterAChange(b *testing.B) {
	for _, n := range []int{1000, 10000} {
		for _, way := range []string{"caught up", "found anew", "list"} {
			b.Run(fmt.Sprint(n, "/", way), func(b *testing.B) {
				ids := make([]uint32, n)
				for i := range ids {
					ids[i] = uint32(i) * 7919
				}
				var x Index[int]
				set(&x, ids)
				changed := slices.Clone(ids)
				for i := range n / 100 {
					changed[i*100] = uint32(n+i) * 7919
				}
				places, firsts, first := make([]int, n), make([]*First, 4096), make([]First, 4096)
				for i := range firsts {
					walk1(&x, uint64(i)*0x9e3779b97f4a7c15, &firsts[i])
					first[i] = *firsts[i]
					first[i].places = slices.Clone(first[i].places)
				}
				x.Set(changed, places)
				b.ResetTimer()
				for i := range b.N {
					f := first[i&4095]
					switch way {
					case "caught up":
						x.follow(uint64(i&4095)*0x9e3779b97f4a7c15, &f.list, Kept)
					case "found anew":
						x.find(uint64(i&4095)*0x9e3779b97f4a7c15, &f)
					case "list":
						if i%2 == 0 {
							x.Set(ids, places)
						} else {
							x.Set(changed, places)
						}
					}
				}
			})
		}
	}
}

func TestAHostLessMovesItsOwnObjectsAlone(t *testing.T) {
	ids := make([]uint32, 1000)
	for i := range ids {
		ids[i] = uint32(i) * 7919
	}
	var all, less Index[int]
	set(&all, ids)
	set(&less, slices.Delete(slices.Clone(ids), 990, 1000)) // two lists that differ by 1%
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
		ids := make([]uint32, n)
		for i := range ids {
			ids[i] = uint32(i) * 7919
		}
		var x Index[int]
		set(&x, ids)
		firsts := make([]*First, 4096)
		for _, way := range []struct {
			name string
			do   func(i int)
		}{
			{"known", func(i int) { walk1(&x, uint64(i&4095)*0x9e3779b97f4a7c15, &firsts[i&4095]) }},
			{"new", func(i int) { var f *First; walk1(&x, uint64(i)*0x9e3779b97f4a7c15, &f) }},
			{"100 of them", func(i int) { walk(&x, uint64(i&31)*0x9e3779b97f4a7c15, &firsts[i&4095], 100) }},
			{"sort", func(i int) { plain(ids, uint64(i)*0x9e3779b97f4a7c15) }}} {
			b.Run(fmt.Sprintf("%d/%s", n, way.name), func(b *testing.B) {
				b.ReportAllocs()
				for i := range b.N {
					way.do(i)
				}
			})
		}
	}
}

func walk1(x *Index[int], hash uint64, first **First) {
	x.Walk(hash, first, 0, func(int) bool { return false })
}
