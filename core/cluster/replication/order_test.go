package replication

import (
	"math/rand/v2"
	"testing"

	"elderwall/internal/contract"
)

// Of two records of a key the same one must win at every member, also where the merge order of the kind leaves a tie.
func TestCompareRecordsIsTotalOrder(t *testing.T) {
	m := &Machine{}
	for _, k := range testKinds() {
		s := &kindStore{Kind: k}
		contract.Kind[Record]{
			Name: k.Name,
			Draw: func(c *rand.Rand) Record {
				return Record{
					Value: []byte([]string{"", "a", "b", "12345678", "12345678a"}[c.IntN(5)]), Deleted: c.IntN(4) == 0,
					Dot: Dot{[]string{"n0", "n1"}[c.IntN(2)], c.Uint64N(2), c.Uint64N(2)},
				}
			},
			Compare: func(a, b Record) int { return m.compareRecords(s, &a, &b) },
			Same: func(a, b Record) bool {
				return string(a.Value) == string(b.Value) && a.Deleted == b.Deleted && a.Dot == b.Dot
			},
		}.Hold(t)
	}
}
