package upstream_test

import (
	"testing"

	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/rig"
	"elderwall/internal/upstream"
)

// BenchmarkForward is one forward after the other on one connection, with a stand-in host in the same process.
func BenchmarkForward(b *testing.B) {
	for name, once := range map[string]bool{"may run twice": false, "once": true} {
		o, stop := rig.Life(b)
		o.PerHost.Store(1)
		h := upstream.New(need.Host(b, standin.Hits("bytes")).Address, o, 0)
		need.Bench(b, name, func(int) {
			f, done := forward("a", "")
			f.Once = once
			if h.Send(f) != nil {
				b.Fatal("no place")
			}
			end(h, done)
		})
		stop()
	}
}
