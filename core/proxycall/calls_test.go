package proxycall

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// beginAssigned opens a GET and assigns a forward to its proxy.
func beginAssigned(t *Table) *Call {
	c := t.Begin(1, 10)
	t.AssignForward(1, c, 0, c.Deadline)
	return c
}

// Only a response that the client may get must end the GET. After an error, or a copy from before a purge, the
// GET must wait for another forward, and a response that is reported twice must count once.
func TestResponseOutcomes(t *testing.T) {
	for name, tt := range map[string]struct {
		response   Response
		maxAge     float64
		cachedOnly bool
		want       Outcome
		phase      Phase
	}{
		"a copy":                              {Response{Status: 200, Age: -1}, 0, false, Returned, Ended},
		"the client's own copy":               {Response{Status: 304, Age: -1}, 0, false, Returned, Ended},
		"a client error":                      {Response{Status: 403, Age: -1}, 0, false, Returned, Ended},
		"an error":                            {Response{Status: 502, Age: -1}, 0, false, HostError, Held},
		"full":                                {Response{Status: 503, Full: true, Age: -1}, 0, false, HostFull, Held},
		"not cached":                          {Response{Status: 404, Age: -1}, 0, true, NotCached, Held},
		"not found at the origin":             {Response{Status: 404, Age: -1}, 0, false, Returned, Ended},
		"a copy from before a purge":          {Response{Status: 200, Age: 5}, 2, false, StaleCopy, Held},
		"a copy from after a purge":           {Response{Status: 200, Age: 1}, 2, false, Returned, Ended},
		"a copy of unknown age after a purge": {Response{Status: 200, Age: -1}, 2, false, StaleCopy, Held},
		"an error with an age":                {Response{Status: 500, Age: 9}, 2, false, HostError, Held},
	} {
		table := New(Settings{}, [32]byte{7})
		c := beginAssigned(table)
		assert.Equal(t, tt.want, table.HandleResponse(1.1, c, tt.response, tt.maxAge, tt.cachedOnly), name)
		assert.Equal(t, tt.phase, c.Phase, name)
		assert.Equal(t, Unknown, table.HandleResponse(1.1, c, tt.response, tt.maxAge, tt.cachedOnly), "%s, reported twice", name)
	}
}

// The end of a stream must not count as the failure of a forward, which may still be executed. Only the next
// call of the same proxy with the right ID, or the end of the hold, resolves it.
func TestResumeReportsForwardOutcome(t *testing.T) {
	table := New(Settings{HoldTime: 1}, [32]byte{7})
	c := beginAssigned(table)
	_, outcome := table.Resume(1.1, 1, c.ID, false)
	assert.Equal(t, Unknown, outcome)
	assert.Equal(t, ForwardAssigned, c.Phase, "its stream is still open")
	assert.Equal(t, Unknown, table.StreamEnded(1.2, c), "the end of a stream shows nothing")
	for proxy, id := range map[uint64]ID{2: c.ID, 1: c.ID + 1} {
		other, _ := table.Resume(1.3, proxy, id, false)
		assert.Nil(t, other, "the ID is another proxy's or unknown")
	}
	resumed, outcome := table.Resume(1.4, 1, c.ID, false)
	assert.Same(t, c, resumed)
	assert.Equal(t, Abandoned, outcome, "the forward may have been executed")
	table.AssignForward(1.4, c, 1, c.Deadline)
	table.StreamEnded(1.5, c)
	_, outcome = table.Resume(1.6, 1, c.ID, true)
	assert.Equal(t, NotSent, outcome)
	table.AssignForward(1.7, c, 2, c.Deadline)
	assert.InDelta(t, 1.95, c.SendBy, 1e-9)
	table.HandleResponse(2, c, Response{Status: 500}, 0, false)
	_, outcome = table.Resume(2.1, 1, c.ID, false)
	assert.Equal(t, Unknown, outcome, "its outcome was already reported")
	table.AssignForward(2.1, c, 3, c.Deadline)
	table.StreamEnded(2.2, c)
	_, ok := table.NextExpired(3.1)
	assert.False(t, ok)
	expired, ok := table.NextExpired(3.3)
	assert.True(t, ok)
	assert.Same(t, c, expired)
	assert.Zero(t, table.Len())
	resumed, _ = table.Resume(3.4, 1, c.ID, false)
	assert.Nil(t, resumed)
}

// Guards against a further call that begins what must not be executed twice, and one that is refused although its GET may be
// repeated.
func TestContinue(t *testing.T) {
	const proxy, other, deadline = 1, 2, 10.0
	assigned := func(*Table, *Call) {}
	held := func(t *Table, c *Call) { t.StreamEnded(1.1, c) }
	deciding := func(t *Table, c *Call) { held(t, c); t.Resume(1.1, proxy, c.ID, false) }
	ended := func(t *Table, c *Call) { t.End(c) }
	for name, tt := range map[string]struct {
		to         func(*Table, *Call)
		by         uint64
		at         float64
		repeatable Continuation
		once       Continuation // of one that must not be executed twice
	}{
		"held":                    {held, proxy, 1.2, Continued, Continued},
		"its stream is open":      {assigned, proxy, 1.2, BegunAnew, StreamOpen},
		"another call has it":     {deciding, proxy, 1.2, BegunAnew, NotContinued},
		"it has ended":            {ended, proxy, 1.2, BegunAnew, NotContinued},
		"held for another proxy":  {held, other, 1.2, BegunAnew, NotContinued},
		"open for another proxy":  {assigned, other, 1.2, BegunAnew, NotContinued},
		"held until its deadline": {held, proxy, deadline, BegunAnew, NotContinued},
		"open until its deadline": {assigned, proxy, deadline, BegunAnew, NotContinued},
	} {
		for repeatable, want := range map[bool]Continuation{true: tt.repeatable, false: tt.once} {
			table := New(Settings{HoldTime: 20}, [32]byte{7})
			c := beginAssigned(table)
			tt.to(table, c)
			got, _, how := table.Continue(tt.at, tt.by, c.ID, false, repeatable)
			assert.Equal(t, want, how, "%s, repeatable: %v", name, repeatable)
			assert.Equal(t, want == Continued, got == c, name)
		}
	}
}

// One proxy must not use more than its share of the open GETs, and all proxies together no more than the
// limit.
func TestOpenCallLimits(t *testing.T) {
	table := New(Settings{MaxOpen: 10, MaxProxyShare: 0.5}, [32]byte{7})
	var got [4]int                 // by proxy
	for proxy := range uint64(4) { // the first two proxies use up their shares, which leaves none for the others
		for range 7 {
			if table.Begin(proxy, 10) != nil {
				got[proxy]++
			}
		}
	}
	assert.Equal(t, [4]int{5, 5}, got)
}

// randomStep performs one random action of a proxy or of time on a call, and returns the outcome that it
// reports.
func randomStep(t *rapid.T, table *Table, now float64, c *Call) Outcome {
	switch rapid.IntRange(0, 5).Draw(t, "what") {
	case 0:
		if c.Phase == Deciding {
			table.AssignForward(now, c, c.ForwardCount, c.Deadline)
		}
	case 1:
		status := rapid.SampledFrom([]int{200, 404, 500}).Draw(t, "status")
		return table.HandleResponse(now, c, Response{Status: status, Age: -1}, 0, false)
	case 2:
		return table.StreamEnded(now, c)
	case 3:
		_, p := table.Resume(now, rapid.Uint64Range(1, 3).Draw(t, "by"), c.ID, rapid.Bool().Draw(t, "unsent"))
		return p
	case 4:
		for expired, ok := table.NextExpired(now); ok; expired, ok = table.NextExpired(now) {
			require.Equal(t, Ended, expired.Phase, "the hold has expired, but the GET has not ended")
		}
	case 5:
		table.End(c)
	}
	return Unknown
}

// sumOpenByProxy returns the sum of the open calls of all proxies.
func sumOpenByProxy(table *Table) (sum int) {
	for _, n := range table.openByProxy {
		sum += n
	}
	return sum
}

// The invariants must hold for any sequence of actions of proxies: IDs differ, the counts by proxy add up, no
// outcome is reported twice, and all GETs end once their holds have expired.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := New(Settings{MaxOpen: 20, MaxProxyShare: 0.6, HoldTime: 1}, [32]byte{rapid.Byte().Draw(t, "seed")}), 1.0
		var open []*Call
		seen, reported := map[ID]bool{}, map[*Call]int{}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{0, 0, 0.01, 0.5, 2}).Draw(t, "passes")
			if len(open) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				if c := table.Begin(rapid.Uint64Range(1, 3).Draw(t, "proxy"), now+5); c != nil {
					require.False(t, seen[c.ID], "an ID is used twice")
					seen[c.ID] = true
					open = append(open, c)
				}
				continue
			}
			c := open[rapid.IntRange(0, len(open)-1).Draw(t, "which")]
			if p := randomStep(t, table, now, c); p != Unknown && p != ClientLeft {
				reported[c]++
				require.False(t, reported[c] > c.ForwardCount, "%d outcomes of %d forwards", reported[c], c.ForwardCount)
			}
			sum := sumOpenByProxy(table)
			require.False(t, sum != table.Len() || table.Len() > 20, "%d open by proxy, %d in total", sum, table.Len())
		}
		for _, c := range open {
			table.StreamEnded(now, c)
		}
		for _, ok := table.NextExpired(now + 10); ok; _, ok = table.NextExpired(now + 10) {
		}
		require.False(t, table.Len() != 0 || len(table.openByProxy) != 0, "%d GETs are still open", table.Len())
	})
}

// First forwards must come before further ones, and GETs whose deadline has passed must be skipped.
func TestQueueOrder(t *testing.T) {
	queue := Queue[string]{Capacity: 5}
	for _, w := range []struct {
		further  bool
		deadline float64
		item     string
	}{{true, 9, "further"}, {false, 2, "too late"}, {false, 9, "old"}, {false, 9, "new"}, {true, 9, "further 2"}} {
		assert.True(t, queue.Put(w.further, w.deadline, w.item))
	}
	assert.False(t, queue.Put(false, 9, "one too many"))
	var got []string
	for s, ok := queue.Next(3); ok; s, ok = queue.Next(3) {
		got = append(got, s)
	}
	assert.Equal(t, []string{"old", "new", "further", "further 2"}, got)
	assert.Zero(t, queue.Len())
}

// BenchmarkCall measures a GET with one forward, from its begin to its response.
func BenchmarkCall(b *testing.B) {
	table := New(Settings{}, [32]byte{7})
	b.ReportAllocs()
	for i := range b.N {
		now := float64(i) * 1e-4
		c := table.Begin(uint64(i&1), now+2)
		table.AssignForward(now, c, 0, c.Deadline)
		table.HandleResponse(now+0.01, c, Response{Status: 200, Age: -1}, 0, false)
	}
}
