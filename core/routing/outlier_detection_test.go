package routing

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// An origin that fails behind its parents is ejected, and the parents are not. While it is ejected, one
// request at a time probes it, and all others only get cached copies.
func TestFailingOriginBehindParentsIsEjected(t *testing.T) {
	r, rec := newCluster(nil)
	for i := range uint32(4) { // the parents respond, but the origin behind them fails quickly
		submit(r, 1, i, fmt.Sprint("o", i))
		for number := 0; len(rec.shed) <= int(i) && number < 6; number++ {
			respond(r, 1.01, i, number, HostFailed, OriginFailed)
		}
	}
	require.True(t, r.endpoints.origin.health.ejected)
	for _, parent := range r.endpoints.parents {
		assert.False(t, parent.health.ejected)
	}
	submit(r, 1.2, 10, "p")
	assert.True(t, rec.last().CachedOnly, "parents serve only cached copies while the origin is ejected")
	for i := range uint32(3) {
		submit(r, 10+float64(i), 20+i, fmt.Sprint("q", i))
		assert.False(t, rec.last().CachedOnly, "one request is a probe")
		submit(r, 10+float64(i), 30+i, fmt.Sprint("r", i))
		assert.True(t, rec.last().CachedOnly, "there is only one probe at a time")
		respond(r, 10.1+float64(i), 20+i, 0, Succeeded, FilledByOrigin)
	}
	assert.False(t, r.endpoints.origin.health.ejected)
}

func cacheReturnsErrors(_ uint32, a Attempt) (Outcome, Note) {
	if a.Host == cacheA {
		return HostFailed, NoNote
	}
	return Succeeded, CacheHit
}

func cacheNeverResponds(_ uint32, a Attempt) (Outcome, Note) {
	if a.Host == cacheA {
		return noResponse, CacheHit
	}
	return Succeeded, CacheHit
}

func parentFails(_ uint32, a Attempt) (Outcome, Note) {
	if a.Source == parentA {
		return HostFailed, SourceFailed
	}
	return Succeeded, Filled
}

// parentNeverResponds makes every fourth request a hit. Fills from parentA get no response.
func parentNeverResponds(position uint32, a Attempt) (Outcome, Note) {
	switch {
	case position%4 == 0:
		return Succeeded, CacheHit
	case a.Source == parentA:
		return noResponse, Filled
	}
	return Succeeded, Filled
}

// A host that fails or never responds is ejected without ejecting others, shedding requests, or cutting the
// fill limit. It is used again after it has recovered.
func TestHostsAreEjectedAndRecover(t *testing.T) {
	for _, tt := range []struct {
		name string
		fail hostBehavior
		host uint32
	}{
		{"a cache that returns errors", cacheReturnsErrors, cacheA},
		{"a cache that never responds", cacheNeverResponds, cacheA},
		{"a parent that fails", parentFails, parentA},
		{"a parent that never responds, while hits and fills from the other succeed", parentNeverResponds, parentA},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, rec := newCluster(nil)
			traffic{from: 1, to: 6, interval: 0.05, respond: tt.fail}.run(r, rec)
			require.Equal(t, []string{ejectedEvent(tt.host)}, rec.events[:1])
			assert.True(t, r.endpoints.byID[tt.host].health.ejected)
			assert.Empty(t, rec.shed)
			assert.True(t, r.limits.fills.hasCapacity(1), "the fill limit is not cut")
			for _, h := range append(r.endpoints.caches, r.endpoints.parents...) {
				assert.Equal(t, h.ID == tt.host, slices.Contains(rec.events, ejectedEvent(h.ID)), "host %d ejected", h.ID)
			}
			alwaysFill := func(uint32, Attempt) (Outcome, Note) { return Succeeded, Filled }
			traffic{from: 6, to: 30, interval: 0.1, firstID: 1000, respond: alwaysFill}.run(r, rec)
			assert.Contains(t, rec.events, recoveredEvent(tt.host))
		})
	}
}

// Guards against ejections because of requests that fail at every host, that clients abandon, or whose
// connection breaks occasionally.
func TestNonFaultsDoNotEjectHosts(t *testing.T) {
	for _, tt := range []struct {
		name   string
		finish func(r *Router, rec *recorder, now float64, id uint32)
	}{
		{"requests that fail at every host", func(r *Router, rec *recorder, now float64, id uint32) {
			for number := 0; len(rec.shed) < int(id); number++ {
				respond(r, now, id, number, HostFailed, NoNote)
			}
		}},
		{"requests that clients abandon at once", func(r *Router, _ *recorder, now float64, id uint32) {
			r.HandleClientGone(now, id)
			r.HandleResult(now, AttemptResult{RequestID: id, Outcome: Canceled, Elapsed: 0.001, Final: true})
		}},
		{"a connection that is lost now and then", func(r *Router, rec *recorder, now float64, id uint32) {
			if host := rec.last().Host; id%6 == 0 {
				respond(r, now, id, 0, ConnectionLost, NoNote)
				assert.Equal(t, host, rec.last().Host, "the request is retried at the same host")
			}
			respond(r, now, id, len(r.requests.byID[id].attempts)-1, Succeeded, CacheHit)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, rec := newCluster(nil)
			fillLimit := r.limits.fills.max
			for id := uint32(1); id <= 60; id++ {
				now := 1 + float64(id)/100
				submit(r, now, id, fmt.Sprint("o", id))
				tt.finish(r, rec, now, id)
			}
			assert.Empty(t, rec.events, "no host is ejected")
			assert.GreaterOrEqual(t, r.limits.fills.max, fillLimit, "the fill limit is not cut")
			assert.Empty(t, r.requests.byID)
		})
	}
}

// A single overdue attempt may be for a large object, so it does not eject its host. Two or more do.
func TestSingleOverdueAttemptDoesNotEject(t *testing.T) {
	for attempts, ejected := range map[int]bool{1: false, 2: true, 4: true} {
		for _, detail := range []NoteDetail{NoNotes, FillNotes} {
			r, rec := newCluster(func(s *Settings) { s.NoteDetail = detail })
			for i := range attempts {
				submit(r, 1+float64(i)/10, uint32(i), "a")
			}
			runTimers(r, 1, 5.9)
			assert.Equal(t, ejected, len(rec.events) > 0,
				"ejected after %d overdue attempts, note detail %d", attempts, detail)
		}
	}
}

// If no note tells who rejected a fill, a source is ejected if several caches report rejected fills from it
// while another source serves. Caches without capacity reject fills from any source, so no source is ejected
// for that.
func TestSourceIsEjectedOnlyIfItsFillsAloneAreRejected(t *testing.T) {
	for name, tt := range map[string]struct {
		rejected      func(a Attempt) bool
		maxRejections int // maximum number of rejected fills from parent A within 4 s
		ejected       bool
	}{
		"one source":        {func(a Attempt) bool { return a.Source == parentA }, 10, true},
		"every source":      {func(a Attempt) bool { return a.Source != a.Host }, math.MaxInt, false},
		"one cache":         {func(a Attempt) bool { return a.Host == cacheA }, math.MaxInt, false},
		"now and then only": {func(a Attempt) bool { return a.Source == parentA && a.RequestID%8 == 0 }, math.MaxInt, false},
	} {
		r, rec := newCluster(func(s *Settings) { s.NoteDetail = NoNotes })
		rejections := 0
		reject := func(_ uint32, a Attempt) (Outcome, Note) {
			if !tt.rejected(a) {
				return Succeeded, NoNote
			}
			if a.Source == parentA {
				rejections++
			}
			return Rejected, NoNote
		}
		traffic{from: 1, to: 5, interval: 0.02, firstID: 1, respond: reject}.run(r, rec)
		assert.LessOrEqual(t, rejections, tt.maxRejections, name)
		isEjection := func(event string) bool { return strings.HasSuffix(event, "ejected") }
		ejected := slices.ContainsFunc(rec.events, isEjection)
		assert.Equal(t, tt.ejected, ejected, "%s: a host is ejected", name)
	}
}
