package extproc

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/memquota"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/proxy"
	rigs "elderwall/internal/standin/rig"
)

// The bytes of an answer give back their room whichever comes first, they or the end of whoever asked.
func TestAnAnswerThatNobodyTakesGivesItsRoomBack(t *testing.T) {
	for name, play := range map[string]func(a *ask, serve func()){
		"the answer comes, and is dropped": func(a *ask, serve func()) { serve(); a.drop() },
		"the answer comes behind the end":  func(a *ask, serve func()) { a.drop(); serve() },
		"a second answer comes":            func(a *ask, serve func()) { a.Refuse(0); serve() },
	} {
		r := memquota.New(1000)
		a := &ask{room: r, wake: make(chan struct{}, 1)}
		play(a, func() { r.Take(400); a.Serve(make([]byte, 400), false) })
		assert.EqualValues(t, 1000, r.Left(), name)
		assert.False(t, a.Open(), name)
	}
}

// A proxy hangs up while its dispatcher fetches the bytes itself, and they come after that: the rig checks that all room is given back.
func TestAProxyHangsUpBeforeTheBytesCome(t *testing.T) {
	hosts := rigs.NewHosts(t, 1)
	wait := hosts.Hold()
	r := newRig(t, func(o *Options) { o.Rules.Routing, o.Decide = false, 5 }, hosts.Entries[0].Address)
	p := r.proxy()
	ctx, cancel := context.WithCancel(t.Context())
	s := need.Of(p.Client().Process(ctx))(t)
	require.NoError(t, s.Send(proxy.Ask(":path", path, ":method", "GET")))
	need.Soon(t, func() bool { n, _ := hosts.Count(); return n == 1 })
	cancel()
	_, err := s.Recv()
	require.Error(t, err)
	time.Sleep(20 * time.Millisecond) // for the processor to hear of it; whichever comes first, the room must be given back
	close(wait)
	r.quiet()
	r.end()
}
