package routing

import (
	"fmt"
	"testing"
)

// BenchmarkRequest is what a GET costs that is a hit, of 5,000 objects, at sizes of the fleet.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			rec := &recorder{}
			r, hosts := New(testSettings(), 0, rec), []Endpoint{endpoint(1<<30, 1, Ready), endpoint(1<<30+1, 2, Ready)}
			for i := range n {
				hosts = append(hosts, endpoint(uint32(i+1)*7919, 0, Ready))
			}
			r.UpdateEndpoints(0, ListComplete, hosts)
			objects := make([]string, 5000)
			for i := range objects {
				objects[i] = fmt.Sprintf("%016x", i*7919)
			}
			one := func(i int) {
				now := float64(i) * 1e-4
				if i%100 == 0 {
					r.HandleTimer(now)
				}
				submit(r, now, uint32(i+1), objects[i%len(objects)])
				respond(r, now, uint32(i+1), 0, Succeeded, CacheHit)
				rec.attempts = rec.attempts[:0]
			}
			first := min(10000, 2_000_000/n) // objects are known then, for the smaller fleets all of them twice
			for i := range first {
				one(i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				one(first + i)
			}
		})
	}
}

// BenchmarkUpdateEndpoints is what a list costs: a whole one of so many hosts, and a step of 64 changes to it.
func BenchmarkUpdateEndpoints(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		hosts := []Endpoint{endpoint(1<<30, 1, Ready), endpoint(1<<30+1, 2, Ready)}
		for i := range n {
			e := endpoint(uint32(i+1)*7919, 0, Ready)
			e.Cell = i / 20
			hosts = append(hosts, e)
		}
		b.Run(fmt.Sprint(n, "/whole"), func(b *testing.B) {
			r := New(testSettings(), 0, &recorder{})
			for i := range b.N {
				r.UpdateEndpoints(float64(i), ListComplete, hosts)
			}
		})
		b.Run(fmt.Sprint(n, "/step"), func(b *testing.B) {
			r := New(testSettings(), 0, &recorder{})
			r.UpdateEndpoints(0, ListComplete, hosts)
			for i := range b.N {
				step := make([]Endpoint, 64)
				for k := range step {
					step[k] = hosts[2+(i*64+k)%n]
					step[k].Phase = Phase(1 + (i*64/n)%2)
				}
				r.UpdateEndpoints(float64(i), ListChanges, step)
			}
		})
		b.Run(fmt.Sprint(n, "/step that replaces"), func(b *testing.B) {
			r := New(testSettings(), 0, &recorder{})
			r.UpdateEndpoints(0, ListComplete, hosts)
			for i := range b.N {
				step := make([]Endpoint, 64)
				for k := range step { // half of them go, half come, and the other way round the next time
					step[k] = endpoint(1<<29+uint32(k), 0, Ready)
					if (k%2 == 0) == (i%2 == 0) {
						step[k].Phase = Removed
					}
				}
				r.UpdateEndpoints(float64(i), ListChanges, step)
			}
		})
	}
}
