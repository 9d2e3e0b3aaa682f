package hosts

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestStepsHaveAllAndWhatStopsFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := rapid.SliceOfN(rapid.IntRange(0, 1000), 0, 300).Draw(t, "list")
		most := rapid.IntRange(1, 70).Draw(t, "most")
		odd := func(i int) bool { return i%2 == 1 }
		var all []int
		parts := Steps(list, odd, most)
		for _, part := range parts {
			assert.LessOrEqual(t, len(part), most)
			all = append(all, part...)
		}
		first := slices.IndexFunc(all, func(i int) bool { return !odd(i) })
		if first >= 0 {
			assert.False(t, slices.ContainsFunc(all[first:], odd), "what stops comes first")
		}
		assert.ElementsMatch(t, list, all)
	})
}
