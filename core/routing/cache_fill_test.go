package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A retry avoids the source of a fill if the result blames the source, and otherwise the cache.
func TestRetryAvoidsFaultySource(t *testing.T) {
	for note, sourceFault := range map[Note]bool{SourceRejected: true, SourceFailed: true, FillsExhausted: false} {
		r, rec := newCluster(nil)
		submit(r, 1, 7, "a")
		respond(r, 1.1, 7, 0, Rejected, note)
		require.Len(t, rec.attempts, 2)
		assert.Equal(t, sourceFault, rec.attempts[0].Source != rec.attempts[1].Source, "a retry avoids a faulty source")
		assert.Equal(t, sourceFault, rec.attempts[0].Host == rec.attempts[1].Host, "a retry avoids a faulty cache")
	}
}

// The initial fill limit applies to the whole zone. Guards against many routers that each start with all of
// it and together overload the sources.
func TestInitialFillLimitIsDividedAmongRouters(t *testing.T) {
	for _, routers := range []int{1, 12} {
		r, rec := newCluster(func(s *Settings) { s.DispatchersByZone = []int{routers} })
		for i := range uint32(200) { // no result has returned yet
			submit(r, 1, i, fmt.Sprint("o", i))
		}
		assert.Positive(t, r.limits.fills.count)
		assert.LessOrEqual(t, r.limits.fills.count, 200/routers)
		assert.Len(t, rec.attempts, 200, "requests beyond the fill limit are sent as lookups, not shed")
	}
}

// At a limit, a request only looks up the object. If the lookup finds no copy, the request is shed
// immediately rather than filled beyond the limit.
func TestMissIsShedWhenLimitIsReached(t *testing.T) {
	for _, cachedOnly := range []bool{false, true} { // a lookup in the cache, or one at the parent
		r, rec := newCluster(nil)
		limit := map[bool]*concurrencyLimit{false: &r.limits.fills, true: &r.limits.origin}[cachedOnly]
		limit.max, limit.count = 0.1, 1
		submit(r, 1, 7, "a")
		require.Equal(t, []bool{cachedOnly, cachedOnly}, []bool{rec.last().Host != rec.last().Source, rec.last().CachedOnly})
		respond(r, 1.01, 7, 0, NotCached, map[bool]Note{true: SourceNotCached}[cachedOnly])
		assert.Equal(t, []uint32{7}, rec.shed)
	}
}
