package replication

import (
	"math/rand/v2"
	"testing"

	"elderwall/internal/contract"
)

// Whatever a Law leaves open, of two records of a key one stands, the same everywhere.
func TestOneRecordStands(t *testing.T) {
	m := &Machine{}
	for _, k := range kinds() {
		s := &shelf{Kind: k}
		contract.Kind[Record]{
			Name: k.Name,
			Draw: func(c *rand.Rand) Record {
				return Record{
					Value: []byte([]string{"", "a", "b", "12345678", "12345678a"}[c.IntN(5)]), Dead: c.IntN(4) == 0,
					Dot: Dot{[]string{"n0", "n1"}[c.IntN(2)], c.Uint64N(2), c.Uint64N(2)},
				}
			},
			Compare: func(a, b Record) int { return m.order(s, &a, &b) },
			Same: func(a, b Record) bool {
				return string(a.Value) == string(b.Value) && a.Dead == b.Dead && a.Dot == b.Dot
			},
		}.Hold(t)
	}
}
