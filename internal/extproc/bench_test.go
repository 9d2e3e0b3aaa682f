package extproc

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"elderwall/internal/standin/proxy"
)

// BenchmarkAddedDelay is what the processor adds to a request: its proxies ask at a rate, whether it keeps up or not, or all
// at once; delays run from when a request was to be sent to its decision. The caches take no time.
func BenchmarkAddedDelay(b *testing.B) {
	for _, rate := range []float64{1000, 5000, 0} {
		name := fmt.Sprintf("%g a second", rate)
		if rate == 0 {
			name = "5,000 at once"
		}
		b.Run(name, func(b *testing.B) {
			r := newRig(b, func(o *Options) { o.Decide = 2 })
			var proxies []*proxy.Proxy
			for range 8 {
				p := r.proxy()
				p.Do(context.Background(), path, proxy.None)
				proxies = append(proxies, p)
			}
			delays, mu := hdrhistogram.New(1, 60_000_000, 3), sync.Mutex{}
			b.ResetTimer()
			for range b.N {
				var all sync.WaitGroup
				start, n := time.Now(), 5000
				for i := range n {
					at := start
					if rate > 0 {
						at = start.Add(time.Duration(float64(i) / rate * float64(time.Second)))
					}
					time.Sleep(time.Until(at))
					all.Go(func() {
						begun := time.Now()
						o := proxies[i%len(proxies)].Do(context.Background(), fmt.Sprintf("/clips/object-%d/0", i%1000), proxy.None)
						mu.Lock()
						_ = delays.RecordValue((begun.Sub(at) + o.Decided).Microseconds())
						mu.Unlock()
					})
				}
				all.Wait()
			}
			for name, q := range map[string]float64{"p50-ms": 50, "p99-ms": 99, "p99.9-ms": 99.9} {
				b.ReportMetric(float64(delays.ValueAtQuantile(q))/1e3, name)
			}
		})
	}
}

// BenchmarkOpenCalls is the memory of a call that is open, of the processor and the stand-in proxy together.
func BenchmarkOpenCalls(b *testing.B) {
	const n = 2000
	for range b.N {
		r := newRig(b, func(o *Options) { o.Decide = 2 })
		p := r.proxy()
		p.Do(context.Background(), path, proxy.None)
		p.Linger = 3 * time.Second
		before := used()
		var all sync.WaitGroup
		for i := range n {
			all.Go(func() { p.Do(context.Background(), fmt.Sprintf("/clips/object-%d/0", i%100), proxy.Silent) })
		}
		time.Sleep(2 * time.Second)
		gets, _ := r.Count()
		b.ReportMetric(float64(used()-before)/float64(max(1, gets)), "B/call")
		b.ReportMetric(float64(gets), "open")
		all.Wait()
	}
}

func used() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
