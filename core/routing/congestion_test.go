package routing

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

const clip, pace = 3.0, 0.1 // KB, and s a KB at the usual pace

// sparseRouter is one dispatcher of 300: it sees few GETs, whose answers tell their bytes.
type sparseRouter struct {
	*Router
	r    *recorder
	now  float64
	id   uint32
	slow func(f Attempt) float64           // times as slow as usual that a forward is; nil for once
	end  func(f Attempt, a *AttemptResult) // what else is to be said of it; nil for nothing
}

func newSparseRouter() *sparseRouter {
	d, r := newCluster(func(s *Settings) { s.DispatchersByZone, s.Dispatchers = []int{10}, 300 })
	c := &sparseRouter{Router: d, r: r}
	c.play("known", 20, false)
	c.play("known", 20, true)
	return c
}

// play plays GETs to their ends, half a second after each other, and gives how many were shed.
func (c *sparseRouter) play(name string, gets int, hits bool) int {
	shed := len(c.r.shed)
	for i := range gets {
		c.get(fmt.Sprint(name, i), hits)
	}
	return len(c.r.shed) - shed
}

// get plays one GET, and gives its last forward. With hits its cache holds the object.
func (c *sparseRouter) get(object string, hits bool) Attempt {
	c.now, c.id = c.now+0.5, c.id+1
	sent, first := len(c.r.forwards), len(c.r.forwards)
	c.HandleRequest(c.now, Request{ID: c.id, Object: object, Deadline: c.now + 5})
	for c.RunRetries(c.now); sent < len(c.r.forwards); sent++ {
		f := c.r.forwards[sent]
		a := AttemptResult{RequestID: f.RequestID, Attempt: sent - first, Outcome: Succeeded, Final: true, SizeKB: clip, Note: CacheHit, Elapsed: clip * pace}
		if c.slow != nil {
			a.Elapsed *= c.slow(f)
		}
		switch {
		case !hits && f.Source == f.Host:
			a = AttemptResult{RequestID: f.RequestID, Attempt: sent - first, Outcome: NotCached}
		case !hits:
			a.Note = Filled
		}
		if c.end != nil {
			c.end(f, &a)
		}
		c.HandleResult(c.now+a.Elapsed, a)
		c.RunRetries(c.now + a.Elapsed)
		c.HandleTimer(c.now + a.Elapsed)
	}
	return c.r.last()
}

// Guards against a way in that 300 dispatchers keep full of fills that all come late, each within its least limit.
func TestFewMissesFillWhileTheIngressIsCongested(t *testing.T) {
	c := newSparseRouter()
	c.slow = func(f Attempt) float64 { return map[bool]float64{true: 8, false: 1}[f.Source != f.Host] }
	c.play("late", 12, false)
	most := c.limits.fills.max
	assert.Greater(t, c.play("new", 20, false), 8, "most misses are shed at once")
	assert.LessOrEqual(t, c.limits.fills.max, most)
	assert.Greater(t, c.limits.origin.max, 1e9, "the origin is not to blame")
	c.slow = nil
	c.play("then", 40, false)
	assert.Zero(t, c.play("after", 20, false), "and it opens again by itself")
}

// Guards against a host or a parent whose link is full of what others ask of it: a dispatcher of 300 hears of it once in
// seconds, and never has so much out there that a limit of its own could fall. What is known fades, or it stays empty.
func TestACongestedHostIsAvoided(t *testing.T) {
	for name, tt := range map[string]struct {
		hits bool
		of   func(f Attempt) uint32
	}{
		"a cache":  {true, func(f Attempt) uint32 { return f.Host }},
		"a parent": {false, func(f Attempt) uint32 { return f.Source }},
	} {
		t.Run(name, func(t *testing.T) {
			c := newSparseRouter()
			busy := tt.of(c.get("object", tt.hits))
			c.slow = func(f Attempt) float64 { return map[bool]float64{true: 9, false: 1}[tt.of(f) == busy] }
			c.get("object", tt.hits)
			c.get("object", tt.hits)
			other := tt.of(c.get("object", tt.hits))
			assert.NotEqual(t, busy, other)
			assert.NotEqual(t, uint32(origin), other)
			assert.Zero(t, c.play("other", 10, tt.hits), "nothing is shed for it")
			c.slow = nil
			c.now += 60
			assert.Equal(t, busy, tt.of(c.get("object", tt.hits)))
		})
	}
}

// A source that turns fills away tells of itself, and an error of nothing: no limit on all fills falls, and the bytes of an error are no size.
func TestRejectionsAndErrorsTellOfNothingElse(t *testing.T) {
	for name, end := range map[string]func(f Attempt, a *AttemptResult){
		"refused": func(_ Attempt, a *AttemptResult) { a.Outcome, a.Note, a.SizeKB = Rejected, SourceRejected, 0 },
		"errors":  func(_ Attempt, a *AttemptResult) { a.Outcome, a.Note, a.SizeKB = HostFailed, Filled, 200 },
	} {
		t.Run(name, func(t *testing.T) {
			c := newSparseRouter()
			most, kb := c.limits.fills.max, c.costs.services[0].sizeKB.mean
			c.end = func(f Attempt, a *AttemptResult) { a.Final = false; end(f, a) }
			c.play(name, 30, false)
			if name == "refused" {
				assert.GreaterOrEqual(t, c.limits.fills.max, most)
			}
			assert.Equal(t, kb, c.costs.services[0].sizeKB.mean)
		})
	}
}

// Guards against turns that end only when a burst is over: the limit on fills falls with the fills that tell of a crowded
// way in, and grows with each that comes in time, though a turn's worth is far more than this dispatcher sees of it.
func TestTheFillLimitMovesBySingleFills(t *testing.T) {
	c := newSparseRouter()
	c.limits.fills.max, c.limits.fills.roundWork = 20, 20
	c.slow = func(Attempt) float64 { return 8 }
	c.play("late", 6, false)
	assert.Less(t, c.limits.fills.max, 4.0)
	c.slow = nil
	c.now += 30
	for i := range 3 {
		before := c.limits.fills.max
		c.limits.fills.roundFull = true // it turns GETs away
		c.play(fmt.Sprint("then", i), 1, false)
		assert.Greater(t, c.limits.fills.max, before)
	}
}

// Where no note tells by whom a fill was turned away, a source is left that several caches are refused by while another gives; caches that are
// full refuse whatever the source, and no source is left for that.
func TestASourceThatAloneIsRejectedIsEjected(t *testing.T) {
	for name, tt := range map[string]struct {
		refused func(f Attempt) bool
		most    int // fills from parent A in 4 s that are refused
		left    bool
	}{
		"one source":        {func(f Attempt) bool { return f.Source == parentA }, 10, true},
		"whatever it is":    {func(f Attempt) bool { return f.Source != f.Host }, math.MaxInt, false},
		"one cache":         {func(f Attempt) bool { return f.Host == cacheA }, math.MaxInt, false},
		"now and then only": {func(f Attempt) bool { return f.Source == parentA && f.RequestID%8 == 0 }, math.MaxInt, false},
	} {
		d, r := newCluster(func(s *Settings) { s.NoteDetail = NoNotes })
		n := 0
		play(d, r, 1, 5, 0.02, 1, func(_ uint32, f Attempt) (Outcome, Note) {
			if !tt.refused(f) {
				return Succeeded, NoNote
			}
			if f.Source == parentA {
				n++
			}
			return Rejected, NoNote
		})
		assert.LessOrEqual(t, n, tt.most, name)
		left := slices.ContainsFunc(r.calls, func(text string) bool { return strings.HasSuffix(text, "ejected") })
		assert.Equal(t, tt.left, left, name)
	}
}

// Where no note tells of fills, what never came to its host, or came late for its size alone, says nothing of the way in. Guards against a
// limit on fills that such ends close in calm, so that a burst, or hosts that start cold, find it shut.
func TestTheFillLimitStandsWhereNothingTellsOfFills(t *testing.T) {
	for name, tt := range map[string]struct {
		end  func(f Attempt, a *AttemptResult)
		cuts bool
	}{
		"connections that do not come up": {end: func(f Attempt, a *AttemptResult) {
			if f.RequestID%4 == 0 && a.Attempt == 0 {
				*a = AttemptResult{RequestID: f.RequestID, Outcome: Unreachable, Elapsed: 0.4}
			}
		}},
		"connections that break": {end: func(f Attempt, a *AttemptResult) {
			if f.RequestID%4 == 0 && a.Attempt == 0 {
				*a = AttemptResult{RequestID: f.RequestID, Outcome: ConnectionLost, Elapsed: 0.1}
			}
		}},
		"large objects": {end: func(f Attempt, a *AttemptResult) {
			if (f.RequestID-1)%12 > 8 { // of the last object; quick at first, when no size is known
				a.SizeKB, a.Elapsed = 8*clip, 8*clip*pace*map[bool]float64{true: 0.3, false: 1}[f.RequestID <= 24]
			}
		}},
		"fills that are slow": {cuts: true, end: func(f Attempt, a *AttemptResult) {
			if f.Source != f.Host {
				a.Elapsed *= 8
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			d, r := newCluster(func(s *Settings) { s.NoteDetail, s.Services[0].Stretch = NoNotes, 2 })
			c := &sparseRouter{Router: d, r: r}
			c.end = func(f Attempt, a *AttemptResult) {
				a.Note = NoNote
				tt.end(f, a)
			}
			for range 6 { // of three GETs each the first may be a fill, as far as the dispatcher knows
				for i := range 4 {
					for range 3 {
						c.get(fmt.Sprint("o", i), true)
					}
				}
				c.now += 30
			}
			assert.Equal(t, tt.cuts, d.limits.fills.borne > 0, "that it was cut")
		})
	}
}
