package variants_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"elderwall/control"
	pure "elderwall/fleet/variants"
	"elderwall/internal/lines"
	"elderwall/internal/node"
	"elderwall/internal/standin"
	"elderwall/internal/variants"
)

// BenchmarkStage is what the stage adds to a GET: a key, a field, the evidence of its answer, and whether that fits. Off, a nil stage.
func BenchmarkStage(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprint("on ", on), func(b *testing.B) {
			one := pure.Service{Classes: classes, Proof: pure.ByTag, Witnesses: 1, Repeats: true, Fresh: math.Inf(1)}
			made, err := variants.New(variants.Settings{Module: pure.Settings{Services: []pure.Service{one}, Objects: 1000, Seed: 7, Self: "d1"}, Fields: []string{"dev"}})
			require.NoError(b, err)
			var stage node.Variants
			if on {
				stage = made
			}
			in := control.GET{Object: objects[0]}
			proofs := lines.Proofs{Tag: 9}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if stage == nil {
					continue
				}
				now := 1 + float64(i)*1e-6
				v, _, _ := stage.Key(now, &in, classes[i%2])
				_, _ = stage.Field(0, v.Asked)
				e := node.Evidence{Asked: v.Asked, Host: uint32(i & 7), Proof: stage.Proof(0, proofs, nil)}
				if !stage.Answered(now, &in, v, e) {
					b.Fatal("same bytes")
				}
			}
		})
	}
}

// BenchmarkGET is one GET after the other through a front, a node and a host over loopback: of a device that is not declared, and of one that goes by another class.
func BenchmarkGET(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprint("on ", on), func(b *testing.B) {
			w := newWay(b, pure.ByTag, false)
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
