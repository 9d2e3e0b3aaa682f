package routing

import (
	"fmt"
	"testing"
)

// BenchmarkRequest measures a request that is a cache hit for one of 5,000 objects, in clusters of several
// sizes.
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
			// Before the measurement the router is sent requests, from which it learns the objects. With up to
			// 200 hosts these request each object twice; in larger clusters there are fewer.
			first := min(10000, 2_000_000/hosts)
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

// benchmarkHosts returns a parent, the origin and the given number of caches.
func benchmarkHosts(caches int) []Endpoint {
	hosts := []Endpoint{endpoint(1<<30, 1, Ready), endpoint(1<<30+1, 2, Ready)}
	for i := range caches {
		hosts = append(hosts, endpoint(uint32(i+1)*7919, 0, Ready))
	}
	return hosts
}

// benchmarkHostsInRacks returns the same hosts as benchmarkHosts, with the caches in racks of twenty.
func benchmarkHostsInRacks(caches int) []Endpoint {
	hosts := benchmarkHosts(caches)
	for i := range caches {
		hosts[2+i].Cell = i / 20
	}
	return hosts
}

const benchmarkChanges = 64 // number of changes in one list

// BenchmarkUpdateEndpoints measures the processing of a complete endpoint list, and of a list with 64
// changes.
func BenchmarkUpdateEndpoints(b *testing.B) {
	for _, caches := range []int{100, 1000, 10000} {
		hosts := benchmarkHostsInRacks(caches)
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

// benchmarkPhaseChanges makes caches drain and become ready again.
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

// benchmarkReplacements alternates between two lists: in each, half of the changed caches are removed and the
// other half are added.
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
