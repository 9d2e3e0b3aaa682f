package sketch

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// A bounded map must behave like a plain list that drops what was put first, and its queue must not grow with
// entries that were taken.
func TestBoundedMapDropsOldestEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 8
		bounded, order, values := NewBoundedMap(capacity), []uint64{}, map[uint64]float64{}
		forget := func(hash uint64) {
			order = slices.DeleteFunc(order, func(h uint64) bool { return h == hash })
			delete(values, hash)
		}
		for i := range rapid.IntRange(0, 400).Draw(t, "steps") {
			hash := rapid.Uint64Range(0, 15).Draw(t, "hash")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				want, known := values[hash]
				got, ok := bounded.Take(hash)
				assert.Equal(t, known, ok)
				assert.Equal(t, want, got)
				forget(hash)
			case 1:
				bounded.Trim(capacity - 2)
				for len(order) > capacity-2 {
					forget(order[0])
				}
			default:
				forget(hash)
				order, values[hash] = append(order, hash), float64(i)
				if bounded.Put(hash, float64(i)); len(order) > capacity {
					forget(order[0])
				}
			}
			assert.Equal(t, len(order), bounded.Len())
			assert.LessOrEqual(t, len(bounded.putOrder), 2*capacity+queueSlack+1, "taken entries do not pile up")
		}
	})
}
