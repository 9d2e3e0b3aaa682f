package callers

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestRights(t *testing.T) {
	const seat = 0x7f3a9c21e0b4d655
	all, none := Rule{}, Rule{Deny: true}
	under := func(digits int, r Rule) Rule { r.Objects = []Prefix{Prefix{seat, 16}.cut(digits)}; return r }
	inside := func(r Rule) Rule { r.Networks = []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}; return r }
	service := func(n int, r Rule) Rule { r.Services = []int{n}; return r }
	group := func(n int, r Rule) Rule { r.Groups = []int{n}; return r }
	for _, tt := range []struct {
		name  string
		rules []Rule
		get   GET
		from  string
		want  bool
	}{
		{"no rule", nil, GET{}, "10.1.1.1", false},
		{"all", []Rule{all}, GET{}, "10.1.1.1", true},
		{"a denial before an allowance of the same", []Rule{all, none}, GET{}, "10.1.1.1", false},
		{"one object of what is denied", []Rule{none, under(16, all)}, GET{Object: seat}, "10.1.1.1", true},
		{"another object", []Rule{none, under(16, all)}, GET{Object: seat + 1}, "10.1.1.1", false},
		{"a longer prefix before a shorter", []Rule{under(4, none), under(8, all)}, GET{Object: seat}, "10.1.1.1", true},
		{"beside the longer prefix", []Rule{under(4, none), under(8, all)}, GET{Object: seat ^ 1<<32}, "10.1.1.1", false},
		{"a longer prefix that does not fit takes no part", []Rule{under(4, none), under(8, service(3, all))}, GET{Object: seat, Service: 2}, "10.1.1.1", false},
		{"a delivery service", []Rule{service(3, all)}, GET{Service: 3}, "10.1.1.1", true},
		{"the last of them", []Rule{service(63, all)}, GET{Service: 63}, "10.1.1.1", true},
		{"a group", []Rule{group(255, all)}, GET{Group: 255}, "10.1.1.1", true},
		{"another group", []Rule{group(255, all)}, GET{Group: 191}, "10.1.1.1", false},
		{"a network", []Rule{inside(all)}, GET{}, "10.9.9.9", true},
		{"outside it", []Rule{inside(all)}, GET{}, "11.9.9.9", false},
		{"a network, and any", []Rule{inside(all), all}, GET{}, "11.9.9.9", true},
		{"any, and a network", []Rule{all, inside(all)}, GET{}, "11.9.9.9", true},
		{"a network denied of all", []Rule{all, inside(none)}, GET{}, "10.9.9.9", false}} {
		assert.Equal(t, tt.want, newRights(tt.rules).allow(tt.get, netip.MustParseAddr(tt.from)), tt.name)
	}
}

// scan is the order of rules as it is written, rule by rule.
func scan(rules []Rule, g GET, from netip.Addr) bool {
	best, allowed := -1, false
	for _, r := range rules {
		if len(r.Services) > 0 && !slices.Contains(r.Services, g.Service) || len(r.Groups) > 0 && !slices.Contains(r.Groups, g.Group) ||
			len(r.Networks) > 0 && !slices.ContainsFunc(r.Networks, func(n netip.Prefix) bool { return n.Contains(from) }) {
			continue
		}
		objects := r.Objects
		if len(objects) == 0 {
			objects = []Prefix{{}}
		}
		for _, p := range objects {
			if (Prefix{Bits: g.Object}).cut(p.Digits).Bits != p.Bits {
				continue
			}
			if p.Digits > best || p.Digits == best && r.Deny {
				best, allowed = p.Digits, !r.Deny
			}
		}
	}
	return allowed
}

func TestTheIndexSaysWhatAScanSays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		object := rapid.Custom(func(t *rapid.T) uint64 { // few, so that prefixes meet
			return uint64(rapid.IntRange(0, 3).Draw(t, "first"))<<60 | uint64(rapid.IntRange(0, 3).Draw(t, "second"))<<56 |
				uint64(rapid.IntRange(0, 2).Draw(t, "last"))
		})
		network := rapid.SampledFrom([]netip.Prefix{netip.MustParsePrefix("10.0.0.0/8"), netip.MustParsePrefix("10.1.0.0/16"),
			netip.MustParsePrefix("fd00::/8")})
		rule := rapid.Custom(func(t *rapid.T) Rule {
			return Rule{Deny: rapid.Bool().Draw(t, "deny"), Services: rapid.SliceOfN(rapid.IntRange(0, 2), 0, 2).Draw(t, "services"),
				Groups: rapid.SliceOfN(rapid.IntRange(63, 65), 0, 2).Draw(t, "groups"), Networks: rapid.SliceOfN(network, 0, 2).Draw(t, "networks"),
				Objects: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Prefix {
					return Prefix{object.Draw(t, "bits"), 16}.cut(rapid.SampledFrom([]int{0, 1, 2, 15, 16}).Draw(t, "digits"))
				}), 0, 3).Draw(t, "objects")}
		})
		rules := rapid.SliceOfN(rule, 0, 12).Draw(t, "rules")
		g := GET{rapid.IntRange(0, 2).Draw(t, "service"), object.Draw(t, "object"), rapid.IntRange(63, 65).Draw(t, "group")}
		from := netip.MustParseAddr(rapid.SampledFrom([]string{"10.1.2.3", "10.2.2.3", "fd00::1", "9.9.9.9"}).Draw(t, "from"))
		if got, want := newRights(rules).allow(g, from), scan(rules, g, from); got != want {
			t.Fatalf("the index says %v, a scan %v", got, want)
		}
	})
}

// BenchmarkRights is what a GET costs by the index, and what a rule takes there, against a scan.
func BenchmarkRights(b *testing.B) {
	for _, n := range []int{10, 1000, 100000} {
		chance, rules, gets := rand.New(rand.NewPCG(1, uint64(n))), make([]Rule, n), make([]GET, 1024)
		for i := range rules {
			p := Prefix{chance.Uint64(), 16}.cut(16 - chance.IntN(16))
			rules[i] = Rule{Objects: []Prefix{p}, Deny: chance.IntN(4) == 0, Services: []int{chance.IntN(3)}}
		}
		for i := range gets {
			gets[i] = GET{Service: chance.IntN(3), Object: rules[chance.IntN(n)].Objects[0].Bits | chance.Uint64()>>48}
		}
		before, index := heap(), newRights(rules)
		size := (heap() - before) / float64(n)
		scanned := func(g GET, from netip.Addr) bool { return scan(rules, g, from) }
		for name, allow := range map[string]func(GET, netip.Addr) bool{"prefixes": index.allow, "scan": scanned} {
			b.Run(fmt.Sprintf("%d-rules/%s", n, name), func(b *testing.B) {
				b.ReportMetric(size, "B/rule")
				for i := range b.N {
					allow(gets[i&1023], here)
				}
			})
		}
	}
}

// heap is the bytes in use.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkAdmit is what a GET costs that is passed on and settled, its token known.
func BenchmarkAdmit(b *testing.B) {
	m := module(b, func(s *Settings) { s.Tenants[0].Share = Share{Rate: 1e9, Burst: 1e9, Most: 1e6} })
	verify(m, noon, claims())
	b.ReportAllocs()
	for i := range b.N {
		now := float64(i) * 1e-5
		c, _, _ := m.ByToken(noon, sum(1))
		t, r, _ := m.Admit(now, c, here, GET{})
		if r != Passed {
			b.Fatal(r)
		}
		m.End(now, t, true, false)
	}
}

// BenchmarkTenants is what a tenant takes, and what a GET costs among so many that each ask in turn.
func BenchmarkTenants(b *testing.B) {
	for _, n := range []int{10, 100000} {
		names, before := make([]string, n), heap()
		m := module(b, func(s *Settings) {
			s.Tenants = nil
			for i := range names {
				names[i] = fmt.Sprint("tenant-", i)
				s.Tenants = append(s.Tenants, Tenant{Name: names[i], Roles: []string{"all"}, Share: Share{Rate: 1e6, Burst: 1e6}})
			}
		})
		taken := (heap() - before) / float64(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(taken, "B/tenant")
			for i := range b.N {
				t, _, _ := m.Admit(float64(i)*1e-5, Caller{m.tenants[names[i%n]], "x"}, here, GET{})
				m.End(float64(i)*1e-5, t, true, false)
			}
		})
	}
}
