package extproc

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"elderwall/internal/standin/proxy"
)

// callsEnv is how many calls the test of accounts plays; the long run is no part of CI.
const callsEnv = "ELDERWALL_TEST_CALLS"

// Proxies of which one call in twenty never tells how it went: what the module has out at hosts is what the caches have, but
// for those within their hold, and falls to nothing.
func TestAccountsWithLostEnds(t *testing.T) {
	n := 4000
	if text := os.Getenv(callsEnv); text != "" {
		n, _ = strconv.Atoi(text)
	}
	r := newRig(t, func(o *Options) { o.Calls.Hold, o.Decide = 0.1, 2 })
	var held atomic.Int64 // forwards that caches are at
	r.answer = func(string, map[string]string) proxy.Answer {
		held.Add(1)
		time.Sleep(time.Millisecond)
		held.Add(-1)
		return proxy.Answer{Status: 200, Headers: map[string]string{"x-elderwall-note": "hit"}}
	}
	var all sync.WaitGroup
	var next, lost atomic.Int64
	for range 32 {
		p := r.proxy()
		t.Cleanup(p.Close)
		p.Linger = time.Millisecond
		all.Go(func() {
			for i := next.Add(1); i <= int64(n); i = next.Add(1) {
				fault := proxy.None
				if i%20 == 0 {
					fault = proxy.GoneAfterTold
					lost.Add(1)
				}
				p.Do(context.Background(), fmt.Sprintf("/clips/object-%d/0", i%500), fault)
			}
		})
	}
	most, done := int64(0), make(chan bool)
	go func() { all.Wait(); close(done) }()
	for looking := true; looking; {
		select {
		case <-done:
			looking = false
		case <-time.After(5 * time.Millisecond):
			gets, _ := r.Count()
			most = max(most, int64(gets)-held.Load())
		}
	}
	r.quiet()
	c := r.Counts
	t.Logf("%d calls, %d lost; at most %d open beyond what caches had", n, lost.Load(), most)
	assert.Equal(t, c.GETs.Load(), r.sum())
	assert.Equal(t, lost.Load(), c.ProxyHeld.Load(), "those alone were given up")
	assert.Equal(t, int64(n)-lost.Load(), c.Returned.Load())
	assert.Equal(t, c.Forwards.Load(), c.Hit.Load()+c.Stopped.Load()+c.NoPlace.Load(), "nothing is out at any host")
	assert.Less(t, most, int64(n)/4)
}
