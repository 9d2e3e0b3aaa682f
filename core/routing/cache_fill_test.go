package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestSourceFaults(t *testing.T) {
	for note, next := range map[Note]bool{SourceRejected: true, SourceFailed: true, FillsExhausted: false} {
		d, r := newCluster(nil)
		ask(d, 1, 7, "a")
		answer(d, 1.1, 7, 0, Rejected, note)
		require.Len(t, r.forwards, 2)
		assert.Equal(t, next, r.forwards[0].Source != r.forwards[1].Source, "a source at fault is passed over")
		assert.Equal(t, next, r.forwards[0].Host == r.forwards[1].Host, "a cache at fault is passed over")
	}
}

func TestTheFirstFillLimitIsAShareOfTheZone(t *testing.T) {
	for _, alike := range []int{1, 12} {
		d, r := newCluster(func(s *Settings) { s.DispatchersByZone = []int{alike} })
		for i := range uint32(200) { // nothing has come back yet
			ask(d, 1, i, fmt.Sprint("o", i))
		}
		assert.Positive(t, d.limits.fills.count)
		assert.LessOrEqual(t, d.limits.fills.count, 200/alike)
		assert.Len(t, r.forwards, 200, "the rest looks")
	}
}

func TestAtALimitAMissIsShedAtOnce(t *testing.T) {
	for _, held := range []bool{false, true} { // a look at the cache, or at what the parent holds
		d, r := newCluster(nil)
		l := map[bool]*concurrencyLimit{false: &d.limits.fills, true: &d.limits.origin}[held]
		l.max, l.count = 0.1, 1
		ask(d, 1, 7, "a")
		require.Equal(t, []bool{held, held}, []bool{r.last().Host != r.last().Source, r.last().CachedOnly})
		answer(d, 1.01, 7, 0, NotCached, map[bool]Note{true: SourceNotCached}[held])
		assert.Equal(t, []uint32{7}, r.shed)
	}
}
