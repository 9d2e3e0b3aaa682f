package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// processStep is one thing that a router sees of a host at a time in seconds.
type processStep struct {
	at  float64
	see func(r *Router, h *host)
}

func answerOver(connectedAt float64) func(*Router, *host) {
	return func(r *Router, h *host) { r.restarts.observeAnswer(h, connectedAt) }
}

func loss(r *Router, h *host) { r.restarts.observeLoss(h) }

func idleLoss(r *Router, h *host) { r.HandleConnectionLost(r.now, h.ID) }

func connectionUp(r *Router, h *host) { r.HandleConnectionUp(r.now, h.ID) }

func connectionsClosed(r *Router, h *host) { r.HandleConnected(r.now, h.ID, false) }

func heardAt(at float64) func(*Router, *host) {
	return func(r *Router, _ *host) { r.HandleListHeard(r.now, at) }
}

// askedAt has the list's source be first asked at a time, and answer at another one.
func askedAt(at, answeredAt float64) func(*Router, *host) {
	return func(r *Router, _ *host) {
		r.HandleListAsked(r.now, at)
		r.HandleListHeard(r.now, at) // nothing was said since
		r.HandleListHeard(r.now, answeredAt)
	}
}

// heardEachSecond hears the list's source each second, from one time to another one.
func heardEachSecond(first, last float64) func(*Router, *host) {
	return func(r *Router, _ *host) {
		for at := first; at <= last; at++ {
			r.HandleListHeard(r.now, at)
		}
	}
}

func toldStart(at float64) func(*Router, *host) {
	return func(r *Router, h *host) {
		e := h.Endpoint
		e.OnlineSince, e.OnlineSinceKnown = at, true
		r.UpdateEndpoints(r.now, ListChanges, []Endpoint{e})
	}
}

func goneAndBack(r *Router, h *host) {
	e := h.Endpoint
	e.Phase = Removed
	r.UpdateEndpoints(r.now, ListChanges, []Endpoint{e})
	e.Phase = Ready
	r.UpdateEndpoints(r.now, ListChanges, []Endpoint{e})
}

// never is the time at which a host that counts as warm started.
const never = -1.0

// restartCase is what a router sees of a host, and what it makes of that.
type restartCase struct {
	name      string
	id        uint32
	startedAt float64 // from which its slow start is counted; never for none
	steps     []processStep
}

// Guards against a host that may have restarted getting requests like a warm one, because no list has told of that yet,
// and against a host being taken for cold although a connection proves that its process is the same.
func TestHostMayHaveRestarted(t *testing.T) {
	checkRestarts(t, []restartCase{
		{"nothing lost", cacheA, never, []processStep{{10, answerOver(1)}, {11, answerOver(10.5)}}},
		{"lost", cacheA, 11, []processStep{{10, answerOver(1)}, {11, loss}}},
		{"lost again and again", cacheA, 13, []processStep{{10, answerOver(1)}, {11, loss}, {12, loss}, {13, loss}}},
		{"answers over a new connection", cacheA, 12, []processStep{{10, answerOver(1)}, {11, loss}, {12.5, answerOver(12)}, {13, answerOver(12.8)}}},
		{"answers over an older connection", cacheA, never, []processStep{{10, answerOver(1)}, {11, loss}, {12, answerOver(2)}}},
		{"over a new one, then over an older one", cacheA, never, []processStep{{10, answerOver(1)}, {11, loss}, {12.5, answerOver(12)}, {13, answerOver(1)}}},
		{"over one that is older than the loss, but not proven", cacheA, 11, []processStep{{10, answerOver(1)}, {11, loss}, {12, answerOver(10.5)}}},
		{"lost twice, the second time for nothing", cacheA, 12, []processStep{{10, answerOver(1)}, {11, loss}, {13, answerOver(12)}, {14, loss}, {15, answerOver(12)}}},
		{"never heard of, and lost", cacheB, 11, []processStep{{11, loss}}},
		{"lost before anything answered, then answers", cacheB, 2, []processStep{{1, loss}, {2.5, answerOver(2)}}},
		{"told of an earlier start", cacheA, 12, []processStep{{10, answerOver(1)}, {11, loss}, {12.5, answerOver(12)}, {13, toldStart(11.8)}}},
		{"told of a later start", cacheA, 12.5, []processStep{{10, answerOver(1)}, {11, loss}, {13, toldStart(12.5)}}},
		{"a told start stays when the doubt ends", cacheA, 9, []processStep{{9.5, toldStart(9)}, {10, answerOver(9.2)}, {11, loss}, {12, answerOver(9.3)}}},
		{"off the list and on it again", cacheA, 11, []processStep{{10, answerOver(1)}, {11, loss}, {12, goneAndBack}}},
		{"connections are not known", cacheA, never, []processStep{{10, answerOver(0)}, {11, loss}}},
		{"a parent while the list is heard", parentA, never, []processStep{{10, heardAt(10)}, {11, loss}}},
		{"a parent while the list is silent", parentA, 11, []processStep{{10, heardAt(2)}, {11, loss}}},
	})
}

// Guards against the same where the list may have told of a restart that has not been heard.
func TestHostMayHaveRestartedUnheard(t *testing.T) {
	checkRestarts(t, []restartCase{
		{"the list falls silent, a new connection", cacheA, 14, []processStep{{10, answerOver(1)}, {15, heardAt(11)}, {15, answerOver(14)}}},
		{"the list falls silent, the same connection", cacheA, never, []processStep{{10, answerOver(1)}, {15, heardAt(11)}, {15, answerOver(1)}}},
		{"the list is heard, a new connection", cacheA, never, []processStep{{10, answerOver(1)}, {15, heardAt(14.5)}, {15, answerOver(14)}}},
		{"the list falls silent, a first connection", cacheB, 14, []processStep{{15, heardAt(11)}, {15, answerOver(14)}}},
		{"the list is heard, a first connection", cacheB, never, []processStep{{15, heardAt(14.5)}, {15, answerOver(14)}}},
		{"the list may be late, a new connection", cacheA, never, []processStep{{10, heardAt(10)}, {10, answerOver(1)}, {15.5, heardEachSecond(12, 15)}, {16, answerOver(15.9)}}},
		{"the list may be late, a first connection", cacheB, 15.9, []processStep{{10, heardAt(10)}, {15.5, heardEachSecond(12, 15)}, {16, answerOver(15.9)}}},
		{"the list may be late, a first connection is up", cacheB, 15.9, []processStep{{10, heardAt(10)}, {15.5, heardEachSecond(12, 15)}, {15.9, connectionUp}}},
		{"the list is heard, a first connection is up", cacheB, never, []processStep{{15, heardAt(14.5)}, {15, connectionUp}}},
		{"the list may be late, a connection after none", cacheA, 15.9, []processStep{{1, connectionUp}, {10, heardAt(10)}, {10, answerOver(1)}, {15.5, heardEachSecond(12, 15)}, {15.6, connectionsClosed}, {15.9, connectionUp}}},
		{"the list's first answer is late, a first connection", cacheB, 10.2, []processStep{{10, askedAt(9, 10)}, {10.2, connectionUp}}},
		{"the list's first answer is in time, a first connection", cacheB, never, []processStep{{10, askedAt(9.6, 10)}, {10.2, connectionUp}}},
		{"the list was silent long ago", cacheB, never, []processStep{{10, heardAt(10)}, {73, heardEachSecond(12, 73)}, {73, answerOver(72.9)}}},
		{"the list would have told", cacheB, never, []processStep{{10, heardAt(10)}, {12, heardAt(12)}, {12.2, answerOver(12.1)}, {18, heardEachSecond(13, 18)}}},
		{"the list may not have told", cacheB, 12.1, []processStep{{10, heardAt(10)}, {12, heardAt(12)}, {12.2, answerOver(12.1)}, {17, heardEachSecond(13, 17)}}},
		{"the list is late, and the host is lost", cacheB, 13, []processStep{{10, heardAt(10)}, {12, heardAt(12)}, {12.2, answerOver(12.1)}, {13, loss}, {20, heardEachSecond(13, 20)}}},
		{"the list is silent, then an older connection", cacheA, never, []processStep{{10, heardAt(10)}, {12, answerOver(1)}, {12.3, answerOver(12.1)}, {13, answerOver(1)}}},
		{"ends its idle connection", cacheA, 11, []processStep{{10, heardAt(10)}, {10, answerOver(1)}, {11, idleLoss}, {14, heardEachSecond(11, 14)}}},
		{"ends it, and the list would have told", cacheA, never, []processStep{{10, heardAt(10)}, {10, answerOver(1)}, {11, idleLoss}, {12.2, answerOver(12)}, {13.6, heardEachSecond(10.6, 13.6)}}},
		{"ends it, and the list may not have told", cacheA, 12, []processStep{{10, heardAt(10)}, {10, answerOver(1)}, {11, idleLoss}, {12.2, answerOver(12)}, {13.4, heardEachSecond(10.4, 13.4)}}},
		{"ends it while it is doubted", cacheA, 14, []processStep{{10, heardAt(10)}, {10, answerOver(1)}, {11, loss}, {12.5, answerOver(12)}, {14, idleLoss}, {20, heardEachSecond(11, 20)}}},
		{"ends it, is told to have started before, and answers", cacheA, 12, []processStep{{10, heardAt(10)}, {10, answerOver(1)}, {11, idleLoss}, {11.5, toldStart(11.2)}, {12.2, answerOver(12)}}},
	})
}

func checkRestarts(t *testing.T, cases []restartCase) {
	t.Helper()
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			r, _ := newCluster(func(s *Settings) { s.WeightsKnown = true })
			if tt.name != "connections are not known" {
				r.ExpectConnectionTimes()
			}
			for _, step := range tt.steps {
				r.now = step.at
				step.see(r, r.endpoints.byID[tt.id])
			}
			h := r.endpoints.byID[tt.id]
			assert.Equal(t, tt.startedAt != never, h.warmUp.active, "in slow start")
			if h.warmUp.active {
				assert.InDelta(t, tt.startedAt, h.startedAt(), 1e-9)
			}
		})
	}
}

// Guards against a restart within a slow start that earns credit for the time before it, and against a restart that is
// told late and brings new credit with it.
func TestRestartWithinSlowStartBringsNoCredit(t *testing.T) {
	r, _ := newCluster(func(s *Settings) { s.WeightsKnown = true })
	r.ExpectConnectionTimes()
	h := r.endpoints.byID[cacheA]
	r.now = 10
	r.restarts.observeAnswer(h, 1)
	r.restarts.observeLoss(h)
	for r.now = 10; r.slowStart.permits(h, 0.01); {
		h.warmUp.credit -= 0.01
	}
	r.now = 18
	toldStart(17.9)(r, h)
	assert.False(t, r.slowStart.permits(h, 0.01), "a told start")
	r.now = 18.5
	r.restarts.observeLoss(h)
	sent := 0
	for ; r.slowStart.permits(h, 0.01); sent++ {
		h.warmUp.credit -= 0.01
	}
	assert.LessOrEqual(t, float64(sent)*0.01, 0.6*0.2*2*slowStartBudgetShare, "what 0.6 s allow at the start")
}
