package routing

import (
	"fmt"
	"testing"
)

// BenchmarkRequest measures a request that is a hit, for one of 5,000 objects, at several sizes of the cluster.
func BenchmarkRequest(b *testing.B) {
	objects := make([]string, 5000)
	for i := range objects {
		objects[i] = fmt.Sprintf("%016x", i*7919)
	}
	for _, hosts := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			rec := &recorder{}
			r := New(testSettings(), 0, rec)
			r.UpdateEndpoints(0, ListComplete, benchmarkHosts(hosts))
			request := func(i int) {
				now := float64(i) * 1e-4
				if i%100 == 0 {
					r.HandleTimer(now)
				}
				submit(r, now, uint32(i+1), objects[i%len(objects)])
				respond(r, now, uint32(i+1), 0, Succeeded, CacheHit)
				rec.attempts = rec.attempts[:0]
			}
			first := min(10000, 2_000_000/hosts) // objects are known then, for the smaller clusters all of them twice
			for i := range first {
				request(i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				request(first + i)
			}
		})
	}
}

// benchmarkHosts is a parent, the origin and so many caches.
func benchmarkHosts(caches int) []Endpoint {
	hosts := []Endpoint{endpoint(1<<30, 1, Ready), endpoint(1<<30+1, 2, Ready)}
	for i := range caches {
		hosts = append(hosts, endpoint(uint32(i+1)*7919, 0, Ready))
	}
	return hosts
}

// benchmarkRacks is benchmarkHosts with the caches in racks of twenty.
func benchmarkRacks(caches int) []Endpoint {
	hosts := benchmarkHosts(caches)
	for i := range caches {
		hosts[2+i].Cell = i / 20
	}
	return hosts
}

const benchmarkChanges = 64 // in one list

// BenchmarkUpdateEndpoints measures an endpoint list: a complete one, and 64 changes to it.
func BenchmarkUpdateEndpoints(b *testing.B) {
	for _, caches := range []int{100, 1000, 10000} {
		hosts := benchmarkRacks(caches)
		b.Run(fmt.Sprint(caches, "/complete"), func(b *testing.B) { benchmarkCompleteList(b, hosts) })
		b.Run(fmt.Sprint(caches, "/phase changes"), func(b *testing.B) { benchmarkPhaseChanges(b, hosts) })
		b.Run(fmt.Sprint(caches, "/replacements"), func(b *testing.B) { benchmarkReplacements(b, hosts) })
	}
}

func benchmarkCompleteList(b *testing.B, hosts []Endpoint) {
	r := New(testSettings(), 0, &recorder{})
	for i := range b.N {
		r.UpdateEndpoints(float64(i), ListComplete, hosts)
	}
}

// benchmarkPhaseChanges has caches drain and become ready again.
func benchmarkPhaseChanges(b *testing.B, hosts []Endpoint) {
	caches := hosts[2:]
	r := New(testSettings(), 0, &recorder{})
	r.UpdateEndpoints(0, ListComplete, hosts)
	for i := range b.N {
		changes := make([]Endpoint, benchmarkChanges)
		for k := range changes {
			changes[k] = caches[(i*benchmarkChanges+k)%len(caches)]
			changes[k].Phase = Phase(1 + (i*benchmarkChanges/len(caches))%2)
		}
		r.UpdateEndpoints(float64(i), ListChanges, changes)
	}
}

// benchmarkReplacements has half of the caches that change removed and half added, and the other way round the next time.
func benchmarkReplacements(b *testing.B, hosts []Endpoint) {
	r := New(testSettings(), 0, &recorder{})
	r.UpdateEndpoints(0, ListComplete, hosts)
	for i := range b.N {
		changes := make([]Endpoint, benchmarkChanges)
		for k := range changes {
			changes[k] = endpoint(1<<29+uint32(k), 0, Ready)
			if (k%2 == 0) == (i%2 == 0) {
				changes[k].Phase = Removed
			}
		}
		r.UpdateEndpoints(float64(i), ListChanges, changes)
	}
}
