package control

import (
	"fmt"
	"testing"
)

// BenchmarkGET is what a GET costs that is a hit, of 5,000 objects, at sizes of the fleet.
func BenchmarkGET(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := &recorder{}
			d := New(settings(), 0, r)
			hosts := []HostEntry{entry(1<<30, 1, Ready), entry(1<<30+1, 2, Ready)}
			for i := range n {
				hosts = append(hosts, entry(uint32(i+1)*7919, 0, Ready))
			}
			d.Hosts(0, Complete, hosts)
			objects := make([]string, 5000)
			for i := range objects {
				objects[i] = fmt.Sprintf("%016x", i*7919)
			}
			one := func(i int) {
				now := float64(i) * 1e-4
				if i%100 == 0 {
					d.Timer(now)
				}
				ask(d, now, uint32(i+1), objects[i%len(objects)])
				answer(d, now, uint32(i+1), 0, Returned, Hit)
				r.forwards = r.forwards[:0]
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
