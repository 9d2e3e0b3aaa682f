package routing

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestAFailingOriginIsEjectedBehindItsParents(t *testing.T) {
	d, r := newCluster(nil)
	for i := range uint32(4) { // parents speak, the origin behind them fails fast
		ask(d, 1, i, fmt.Sprint("o", i))
		for f := 0; len(r.shed) <= int(i) && f < 6; f++ {
			answer(d, 1.01, i, f, HostFailed, OriginFailed)
		}
	}
	require.True(t, d.endpoints.origin.health.ejected)
	for _, parent := range d.endpoints.parents {
		assert.False(t, parent.health.ejected)
	}
	ask(d, 1.2, 10, "p")
	assert.True(t, r.last().CachedOnly, "parents give what they hold")
	for i := range uint32(3) {
		ask(d, 10+float64(i), 20+i, fmt.Sprint("q", i))
		assert.False(t, r.last().CachedOnly, "a trial")
		ask(d, 10+float64(i), 30+i, fmt.Sprint("r", i))
		assert.True(t, r.last().CachedOnly, "one at a time")
		answer(d, 10.1+float64(i), 20+i, 0, Succeeded, FilledByOrigin)
	}
	assert.False(t, d.endpoints.origin.health.ejected)
}

func TestHostsAreEjectedAndRecover(t *testing.T) {
	for _, tt := range []struct {
		name string
		fail func(uint32, Attempt) (Outcome, Note)
		host uint32
	}{
		{"a cache that errs", func(_ uint32, f Attempt) (Outcome, Note) {
			return map[bool]Outcome{true: HostFailed}[f.Host == cacheA], map[bool]Note{false: CacheHit}[f.Host == cacheA]
		}, cacheA},
		{"a cache that answers nothing", func(_ uint32, f Attempt) (Outcome, Note) {
			return map[bool]Outcome{true: noAnswer}[f.Host == cacheA], CacheHit
		}, cacheA},
		{"a parent that fails", func(_ uint32, f Attempt) (Outcome, Note) {
			bad := f.Source == parentA
			return map[bool]Outcome{true: HostFailed}[bad], map[bool]Note{true: SourceFailed, false: Filled}[bad]
		}, parentA},
		{"a parent that answers nothing, while hits and the other's fills come back", func(i uint32, f Attempt) (Outcome, Note) {
			return map[bool]Outcome{true: noAnswer}[i%4 > 0 && f.Source == parentA], map[bool]Note{true: CacheHit, false: Filled}[i%4 == 0]
		}, parentA},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, r := newCluster(nil)
			play(d, r, 1, 6, 0.05, 0, tt.fail)
			require.Equal(t, []string{ejected(tt.host)}, r.calls[:1])
			assert.True(t, d.endpoints.byID[tt.host].health.ejected)
			assert.Empty(t, r.shed)
			assert.True(t, d.limits.fills.hasCapacity(1), "the way in stays open")
			for _, o := range append(d.endpoints.caches, d.endpoints.parents...) {
				assert.Equal(t, o.ID == tt.host, slices.Contains(r.calls, ejected(o.ID)), "host %d", o.ID)
			}
			play(d, r, 6, 30, 0.1, 1000, func(uint32, Attempt) (Outcome, Note) { return Succeeded, Filled })
			assert.Contains(t, r.calls, recovered(tt.host))
		})
	}
}

func TestWhatIsNoFault(t *testing.T) {
	for _, tt := range []struct {
		name string
		one  func(d *Router, r *recorder, now float64, id uint32)
	}{
		{"GETs that no host can use", func(d *Router, r *recorder, now float64, id uint32) {
			for number := 0; len(r.shed) < int(id); number++ {
				answer(d, now, id, number, HostFailed, NoNote)
			}
		}},
		{"GETs taken back at once by their clients", func(d *Router, _ *recorder, now float64, id uint32) {
			d.HandleClientGone(now, id)
			d.HandleResult(now, AttemptResult{RequestID: id, Outcome: Canceled, Elapsed: 0.001, Final: true})
		}},
		{"a connection that breaks now and then", func(d *Router, r *recorder, now float64, id uint32) {
			if host := r.last().Host; id%6 == 0 {
				answer(d, now, id, 0, ConnectionLost, NoNote)
				assert.Equal(t, host, r.last().Host, "the GET goes there once more")
			}
			answer(d, now, id, len(d.requests.byID[id].attempts)-1, Succeeded, CacheHit)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, r := newCluster(nil)
			most := d.limits.fills.max
			for id := uint32(1); id <= 60; id++ {
				now := 1 + float64(id)/100
				ask(d, now, id, fmt.Sprint("o", id))
				tt.one(d, r, now, id)
			}
			assert.Empty(t, r.calls, "no host is left")
			assert.GreaterOrEqual(t, d.limits.fills.max, most, "the way in stays open")
			assert.Empty(t, d.requests.byID)
		})
	}
}

func TestASingleOverdueAttemptIsNoSilence(t *testing.T) {
	for forwards, left := range map[int]bool{1: false, 2: true, 4: true} {
		for _, detail := range []NoteDetail{NoNotes, FillNotes} {
			d, r := newCluster(func(s *Settings) { s.NoteDetail = detail })
			for i := range forwards {
				ask(d, 1+float64(i)/10, uint32(i), "a")
			}
			tickTo(d, 1, 5.9)
			assert.Equal(t, left, len(r.calls) > 0, "%d forwards, detail %d", forwards, detail)
		}
	}
}
