package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

const (
	objectKB     = 3.0
	secondsPerKB = 0.1 // seconds per KB; the usual transfer time
)

// usualTransferTime is how long the transfer of an object usually takes, in seconds.
const usualTransferTime = objectKB * secondsPerKB

// sparseRouter is one of 300 routers. It sees few requests, and their results report the size of the answer.
type sparseRouter struct {
	*Router
	rec      *recorder
	now      float64
	id       uint32
	slowdown func(a Attempt) float64                // multiple of the usual time that an attempt takes; nil means 1
	adjust   func(a Attempt, result *AttemptResult) // changes the result of an attempt; nil for no change
}

func newSparseRouter() *sparseRouter {
	r, rec := newCluster(func(s *Settings) { s.DispatchersByZone, s.Dispatchers = []int{10}, 300 })
	sparse := &sparseRouter{Router: r, rec: rec}
	sparse.run("known", 20, false)
	sparse.run("known", 20, true)
	return sparse
}

// run runs requests one after another, half a second apart, and returns how many were shed. With hits, their
// caches have the objects.
func (s *sparseRouter) run(name string, requests int, hits bool) int {
	shed := len(s.rec.shed)
	for i := range requests {
		s.request(fmt.Sprint(name, i), hits)
	}
	return len(s.rec.shed) - shed
}

// request runs one request until it is finished, and returns its last attempt. With hits, its cache has the
// object.
func (s *sparseRouter) request(object string, hits bool) Attempt {
	s.now, s.id = s.now+0.5, s.id+1
	first := len(s.rec.attempts)
	s.HandleRequest(s.now, Request{ID: s.id, Object: object, Deadline: s.now + 5})
	s.RunRetries(s.now)
	for next := first; next < len(s.rec.attempts); next++ {
		result := s.result(s.rec.attempts[next], next-first, hits)
		s.HandleResult(s.now+result.Elapsed, result)
		s.RunRetries(s.now + result.Elapsed)
		s.HandleTimer(s.now + result.Elapsed)
	}
	return s.rec.last()
}

// result returns how an attempt ends.
func (s *sparseRouter) result(a Attempt, number int, hits bool) AttemptResult {
	result := AttemptResult{
		RequestID: a.RequestID, Attempt: number, Outcome: Succeeded, Note: CacheHit,
		Elapsed: usualTransferTime, SizeKB: objectKB, Final: true,
	}
	if s.slowdown != nil {
		result.Elapsed *= s.slowdown(a)
	}
	switch {
	case !hits && a.Source == a.Host:
		result = AttemptResult{RequestID: a.RequestID, Attempt: number, Outcome: NotCached}
	case !hits:
		result.Note = Filled
	}
	if s.adjust != nil {
		s.adjust(a, &result)
	}
	return result
}

// Guards against 300 routers that keep the ingress congested with fills that are all late, although each
// router stays within the minimum of its own limit.
func TestMissesAreShedWhileIngressIsCongested(t *testing.T) {
	sparse := newSparseRouter()
	sparse.slowdown = func(a Attempt) float64 {
		if a.Source != a.Host {
			return 8
		}
		return 1
	}
	sparse.run("late", 12, false)
	fillLimit := sparse.limits.fills.max
	assert.Greater(t, sparse.run("new", 20, false), 8, "most misses are shed at once")
	assert.LessOrEqual(t, sparse.limits.fills.max, fillLimit, "the fill limit does not grow")
	assert.Greater(t, sparse.limits.origin.max, 1e9, "the origin limit is not cut")
	sparse.slowdown = nil
	sparse.run("then", 40, false)
	assert.Zero(t, sparse.run("after", 20, false), "the fill limit recovers by itself")
}

// Guards against sending more requests to a cache or a parent whose link other routers congest. One router of
// 300 only has a result from it every few seconds, and never has enough in flight there to cut a limit of its
// own. What was learned must also fade, because the host would otherwise stay unused.
func TestCongestedHostIsAvoided(t *testing.T) {
	for name, tt := range map[string]struct {
		hits   bool
		hostOf func(a Attempt) uint32 // returns the host that may be congested
	}{
		"a cache":  {true, func(a Attempt) uint32 { return a.Host }},
		"a parent": {false, func(a Attempt) uint32 { return a.Source }},
	} {
		t.Run(name, func(t *testing.T) {
			sparse := newSparseRouter()
			congested := tt.hostOf(sparse.request("object", tt.hits))
			sparse.slowdown = func(a Attempt) float64 {
				if tt.hostOf(a) == congested {
					return 9
				}
				return 1
			}
			sparse.request("object", tt.hits)
			sparse.request("object", tt.hits)
			other := tt.hostOf(sparse.request("object", tt.hits))
			assert.NotEqual(t, congested, other)
			assert.NotEqual(t, uint32(origin), other)
			assert.Zero(t, sparse.run("other", 10, tt.hits), "no request is shed because of it")
			sparse.slowdown = nil
			sparse.now += 60
			assert.Equal(t, congested, tt.hostOf(sparse.request("object", tt.hits)), "the host is used again")
		})
	}
}

// A source that rejects fills shows nothing about other sources, so the limit on all fills is not cut. The
// body of an error does not count as the size of the object.
func TestSourceRejectionsAndErrorsKeepFillLimitAndMeanSize(t *testing.T) {
	for name, fail := range map[string]func(result *AttemptResult){
		"rejections": func(result *AttemptResult) {
			result.Outcome, result.Note, result.SizeKB = Rejected, SourceRejected, 0
		},
		"errors": func(result *AttemptResult) {
			result.Outcome, result.Note, result.SizeKB = HostFailed, Filled, 200
		},
	} {
		t.Run(name, func(t *testing.T) {
			sparse := newSparseRouter()
			fillLimit, sizeKB := sparse.limits.fills.max, sparse.costs.services[0].sizeKB.mean
			sparse.adjust = func(_ Attempt, result *AttemptResult) {
				result.Final = false
				fail(result)
			}
			sparse.run(name, 30, false)
			if name == "rejections" {
				assert.GreaterOrEqual(t, sparse.limits.fills.max, fillLimit, "the fill limit is not cut")
			}
			assert.Equal(t, sizeKB, sparse.costs.services[0].sizeKB.mean, "the mean size is unchanged")
		})
	}
}

// Each fill that shows a congested ingress cuts the fill limit at once, and each fill in time raises it.
// Guards against a limit that adapts only at the end of its round: a round takes far more fills than this
// router sees, and would end only after a burst is over.
func TestFillLimitAdaptsToSingleFills(t *testing.T) {
	sparse := newSparseRouter()
	sparse.limits.fills.max, sparse.limits.fills.roundWork = 20, 20
	sparse.slowdown = func(Attempt) float64 { return 8 }
	sparse.run("late", 6, false)
	assert.Less(t, sparse.limits.fills.max, 4.0, "cut by late fills")
	sparse.slowdown = nil
	sparse.now += 30
	for i := range 3 {
		before := sparse.limits.fills.max
		sparse.limits.fills.roundSaturated = true // as if it had rejected requests
		sparse.run(fmt.Sprint("then", i), 1, false)
		assert.Greater(t, sparse.limits.fills.max, before, "grown by a fill in time")
	}
}

// If results carry no notes about fills, an attempt that never reached its host, or was late only because of
// its size, shows nothing about the ingress. Guards against such results cutting the fill limit in quiet
// times, so that it is too low for a burst or for hosts in slow start.
func TestFillLimitIgnoresResultsUnrelatedToFills(t *testing.T) {
	for name, tt := range map[string]struct {
		adjust func(a Attempt, result *AttemptResult) // changes the result of an attempt; nil for no change
		cut    bool
	}{
		"connections that are not established": {adjust: failEveryFourth(Unreachable, 0.4)},
		"connections that are lost":            {adjust: failEveryFourth(ConnectionLost, 0.1)},
		"large objects":                        {adjust: enlargeLastObject},
		"fills that are slow":                  {adjust: slowDownFills, cut: true},
	} {
		t.Run(name, func(t *testing.T) {
			r, rec := newCluster(func(s *Settings) { s.NoteDetail, s.Services[0].Stretch = NoNotes, 2 })
			sparse := &sparseRouter{Router: r, rec: rec}
			sparse.adjust = func(a Attempt, result *AttemptResult) {
				result.Note = NoNote
				tt.adjust(a, result)
			}
			sparse.runRepeated(6)
			assert.Equal(t, tt.cut, r.limits.fills.fastGrowthCeiling > 0, "the fill limit was cut")
		})
	}
}

// runRepeated runs rounds of three requests for each of four objects, half a minute apart. The router can't
// tell whether the first of the three is a fill.
func (s *sparseRouter) runRepeated(rounds int) {
	for range rounds {
		for i := range 4 {
			for range 3 {
				s.request(fmt.Sprint("o", i), true)
			}
		}
		s.now += 30
	}
}

// failEveryFourth returns an adjustment that fails the first attempt of every fourth request.
func failEveryFourth(outcome Outcome, elapsed float64) func(a Attempt, result *AttemptResult) {
	return func(a Attempt, result *AttemptResult) {
		if a.RequestID%4 == 0 && result.Attempt == 0 {
			*result = AttemptResult{RequestID: a.RequestID, Outcome: outcome, Elapsed: elapsed}
		}
	}
}

// enlargeLastObject makes the last of the four objects of runRepeated a large one. Its transfers are fast in
// the first rounds, while its size is still unknown.
func enlargeLastObject(a Attempt, result *AttemptResult) {
	if (a.RequestID-1)%12 > 8 {
		result.SizeKB, result.Elapsed = 8*objectKB, 8*usualTransferTime
		if a.RequestID <= 24 {
			result.Elapsed *= 0.3
		}
	}
}

// slowDownFills makes fills take eight times as long.
func slowDownFills(a Attempt, result *AttemptResult) {
	if a.Source != a.Host {
		result.Elapsed *= 8
	}
}
