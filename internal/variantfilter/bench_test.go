package variantfilter_test

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	pure "elderwall/core/cluster/variant"
	"elderwall/core/routing"
	"elderwall/internal/dispatcher"
	"elderwall/internal/hostproto"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/variantfilter"
)

// known is a stage that knows two classes of objects as one, and a GET of one of them on its whole way through it: a key, a field, the
// evidence of its answer, and whether that fits.
func known(t testing.TB, n int) (stage *variantfilter.Stage, get func(in *routing.Request, i int) bool) {
	one := pure.Service{Classes: classes, Proof: pure.ProofByTag, Witnesses: 1, Idempotent: true, EvidenceTTL: math.Inf(1)}
	of := pure.Settings{Services: []pure.Service{one}, MaxObjects: 2 * max(n, 1<<11), Seed: 7, Self: "d1"}
	stage, err := variantfilter.New(variantfilter.Settings{Module: of, Fields: []string{"dev"}})
	require.NoError(t, err)
	var names []string
	get = func(in *routing.Request, i int) bool {
		in.Object = names[int(uint64(i)*0x9e3779b97f4a7c15>>32)%n]
		now := 100 + float64(i)*1e-6
		v, _, _ := stage.Key(now, in, classes[i%2])
		_, _ = stage.Field(0, v.Asked)
		return stage.Answered(now, in, v, dispatcher.Evidence{Asked: v.Asked, Host: 3, Proof: stage.Proof(0, hostproto.Proofs{Tag: 9}, nil)})
	}
	for i := range n {
		names = append(names, fmt.Sprintf("%016x", uint64(i+1)*0xd6e8feb86659fd93))
		in := routing.Request{Object: names[i]}
		for class := range int16(2) {
			v, _, _ := stage.Key(1, &in, classes[class])
			stage.Answered(1, &in, v, dispatcher.Evidence{Asked: class, Host: 3, Proof: 9})
		}
	}
	return stage, get
}

// The stage is in parts here: a GET allocates nothing, and what one stage tells another learns.
func TestStageInParts(t *testing.T) {
	stage, get := known(t, 100)
	in, i := new(routing.Request), 0
	assert.Zero(t, testing.AllocsPerRun(10_000, func() {
		i++
		assert.True(t, get(in, i), "same bytes")
	}))
	other, _ := known(t, 1)
	all := append(stage.Facts(50), stage.Facts(1000)...)
	require.Len(t, all, 200)
	other.Learn(2, all)
	assert.Len(t, other.Notices(), 1+99, "one object both knew")
	one := pure.Service{Classes: classes, Proof: pure.ProofByTag, Witnesses: 1, Idempotent: true, EvidenceTTL: 20}
	timed := need.Of(variantfilter.New(variantfilter.Settings{Module: pure.Settings{Services: []pure.Service{one}, MaxObjects: 1 << 12, Self: "d2"}, Fields: []string{"dev"}}))(t)
	timed.Beat(2, 3, pure.Stamp{Issuer: 1, Number: 5})
	aged := slices.Clone(all)
	for n := range aged {
		aged[n].Stamp = pure.Stamp{Issuer: 1, Number: 6}
	}
	timed.Learn(4, aged)
	assert.Len(t, timed.Notices(), 100, "a beat is for all parts")
	stage.Purged(9, 1, "", 0)
	for n := range all {
		assert.True(t, other.Keep(&all[n], true))
		assert.False(t, stage.Keep(&all[n], true), "a purge of the group is for all parts")
	}
}

// BenchmarkStage is what the stage adds to a GET, of one object after the other by chance, from one shard and from eight at once.
func BenchmarkStage(b *testing.B) {
	for _, objects := range []int{1, 1 << 10, 1 << 16, 1_000_000} {
		_, get := known(b, objects)
		for _, shards := range []int{1, 8} {
			b.Run(fmt.Sprint(objects, " objects, ", shards, " shards"), func(b *testing.B) {
				b.ReportAllocs()
				var group errgroup.Group
				for shard := range shards {
					group.Go(func() error {
						in := new(routing.Request)
						for i := range b.N / shards {
							if !get(in, i*shards+shard) {
								return errors.New("same bytes")
							}
						}
						return nil
					})
				}
				require.NoError(b, group.Wait())
			})
		}
	}
}

// BenchmarkGET is one GET after the other through a front, a node and a host over loopback: of a device that is not declared, and of one that goes by another class.
func BenchmarkGET(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprint("on ", on), func(b *testing.B) {
			w := newWay(b, pure.ProofByTag, false)
			w.joined()
			device := "fridge" // goes as it came
			if on {
				device = "phone"
			}
			c := w.send(objects[0], device)
			_, err := c.Read()
			require.NoError(b, err)
			fields := standin.Fields("obj", objects[0], "nth", "0", "device", device)
			b.ReportAllocs()
			for b.Loop() {
				fields["rid"] = fmt.Sprintf("%016x", w.ids.Add(1))
				_, err := c.Process(fields, "")
				require.NoError(b, err)
				if r, err := c.Read(); err != nil || r.Kind != "served" {
					b.Fatal(r, err)
				}
			}
		})
	}
}
