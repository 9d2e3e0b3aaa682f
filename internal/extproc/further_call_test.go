package extproc

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/routing"
	"elderwall/internal/dispatcher"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/proxy"
	rigs "elderwall/internal/standin/rig"
)

// Guards against a GET that must not run twice and does, as its proxy comes again with its id before the end of the stream
// before is known, after the GET has ended, or with an id of no GET.
func TestAFurtherCallNeverBeginsWhatMustNotRunTwice(t *testing.T) {
	const (
		never    = 0                      // the stream before stays open
		crossing = 50 * time.Millisecond  // it ends so long after the further call was sent
		decide   = 300 * time.Millisecond // a further call waits for that for so long
	)
	for name, tt := range map[string]struct {
		effect   routing.Idempotency
		ends     time.Duration // of the stream before, after the further call
		id       string        // of the further call, "" for the one that the proxy was given
		unsent   string        // "1": the proxy could not send the forward
		status   int           // of the answer to the further call, 0 for a route
		gets     int64
		forwards int64
		refused  bool // the further call continues no GET
	}{
		"the stream before ends after it":                {routing.NonIdempotent, crossing, "", "", statusFailed, 1, 1, false},
		"it ends after it, and nothing was sent":         {routing.NonIdempotent, crossing, "", "1", 0, 1, 2, false},
		"the stream before stays open":                   {routing.NonIdempotent, never, "", "", statusFailed, 1, 1, true},
		"an id of no GET":                                {routing.NonIdempotent, never, "00000000000000ff", "", statusFailed, 1, 1, true},
		"an id of no GET, and nothing was sent":          {routing.NonIdempotent, never, "00000000000000ff", "1", statusFailed, 1, 1, true},
		"known to hosts by a key, an id of no GET":       {routing.IdempotencyKeyed, never, "00000000000000ff", "", statusFailed, 1, 1, true},
		"may run again, an id of no GET":                 {routing.Idempotent, never, "00000000000000ff", "", 0, 2, 2, false},
		"may run again, the stream before ends after it": {routing.Idempotent, crossing, "", "", 0, 2, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			var log rigs.Log
			logged := func(c *dispatcher.Config) { c.Options.Log = zerolog.New(&log) }
			r := newRigWith(t, func(o *Options) { o.Decide, o.Calls.HoldTime = decide.Seconds(), 5 }, serves(tt.effect, logged))
			p := r.proxy()
			first, m := r.told(p, ":path", path)
			id := proxy.Set(m.GetRequestHeaders().GetResponse().GetHeaderMutation())["x-elderwall-get"]
			require.NotEmpty(t, id)
			if tt.id != "" {
				id = tt.id
			}
			second := r.stream(p)
			require.NoError(t, second.Send(proxy.Ask(":path", path, "x-elderwall-get", id, "x-elderwall-unsent", tt.unsent)))
			if tt.ends != never {
				time.Sleep(tt.ends)
				require.NoError(t, first.CloseSend())
			}
			got := need.Of(second.Recv())(t)
			assert.Equal(t, tt.status, int(got.GetImmediateResponse().GetStatus().GetCode()))
			assert.Equal(t, []int64{tt.gets, tt.forwards}, []int64{r.Counts.GETs.Load(), r.Counts.Forwards.Load()}, "GETs and forwards")
			if tt.refused {
				assert.EqualValues(t, 1, r.Counts.ProxyUnknown.Load())
				assert.Contains(t, log.String(), `"get":"`+id+`"`)
			}
		})
	}
}

// Guards against a GET that must not run twice and does, as its proxy comes again after it has had its answer.
func TestAFurtherCallForAGETThatHasItsAnswer(t *testing.T) {
	r := newRigWith(t, nil, serves(routing.NonIdempotent))
	p := r.proxy()
	first, m := r.told(p, ":path", path)
	id := proxy.Set(m.GetRequestHeaders().GetResponse().GetHeaderMutation())["x-elderwall-get"]
	require.NoError(t, first.Send(proxy.Response(200)))
	need.Of(first.Recv())(t)
	_, again := r.told(p, ":path", path, "x-elderwall-get", id)
	assert.EqualValues(t, statusFailed, again.GetImmediateResponse().GetStatus().GetCode())
	assert.EqualValues(t, 1, r.Counts.GETs.Load())
}
