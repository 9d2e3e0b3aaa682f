package callers

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// life is a key's as those see it who wrote it down, against which the module is held.
type life struct {
	state         KeyState
	from, retired float64
}

// TestNoLifeOfKeysLetsARevokedOnePassOrRefusesAnActiveOne has keys announced, activated, retired and revoked in any
// order and with any clock, reloads after some of it, and asks by tokens of every age.
func TestNoLifeOfKeysLetsARevokedOnePassOrRefusesAnActiveOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		written, told := map[string]life{}, map[string]life{}
		current := func() Settings {
			return settings(func(s *Settings) {
				s.Keys, s.NoKeys, s.Require = nil, true, nil
				for _, id := range slices.Sorted(maps.Keys(written)) {
					l := written[id]
					s.Keys = append(s.Keys, Key{ID: id, Algorithm: "EdDSA", Print: id, State: l.state, From: l.from, RetiredAt: l.retired})
				}
			})
		}
		m, err := New(0, noon, current())
		if err != nil {
			t.Fatal(err)
		}
		wall, issued := noon, map[string][]float64{}
		key := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("k", rapid.IntRange(1, 3).Draw(t, "key")) })
		t.Repeat(map[string]func(*rapid.T){
			"time":     func(t *rapid.T) { wall += rapid.Float64Range(0, 100).Draw(t, "s") },
			"announce": func(t *rapid.T) { announce(written, key.Draw(t, "id")) },
			"activate": func(t *rapid.T) { move(written, key.Draw(t, "id"), Active, wall) },
			"retire":   func(t *rapid.T) { move(written, key.Draw(t, "id"), Retiring, wall) },
			"revoke":   func(t *rapid.T) { move(written, key.Draw(t, "id"), Revoked, wall) },
			"reload": func(t *rapid.T) {
				if err := m.Reload(0, wall, current()); err != nil {
					t.Fatal(err)
				}
				told = maps.Clone(written)
			},
			"ask": func(t *rapid.T) {
				id := key.Draw(t, "id")
				if l, ok := written[id]; ok && l.state == Active {
					issued[id] = append(issued[id], wall) // only active keys sign
				}
				for i, iat := range issued[id] {
					c := claims(func(c *Claims) { c.IssuedAt, c.Expiry, c.ID = iat, 0, fmt.Sprint(i) })
					token := Sum{id[1], byte(i), byte(i >> 8)}
					_, r, known := m.ByToken(wall, token)
					if !known {
						_, r = m.Verified(wall, &Conn{}, token, id, id, c)
					}
					want := expected(told, id, iat, wall)
					if want != nil && (r == Passed) != *want {
						t.Fatalf("key %s %+v, issued %v s ago: %v", id, told[id], wall-iat, r)
					}
				}
			}})
	})
}

func announce(all map[string]life, id string) {
	if _, ok := all[id]; !ok {
		all[id] = life{state: Announced}
	}
}

func move(all map[string]life, id string, to KeyState, wall float64) {
	l, ok := all[id]
	if !ok || l.state >= to {
		return
	}
	switch l.state = to; to {
	case Active:
		l.from = wall
	case Retiring:
		l.retired = wall
	}
	all[id] = l
}

// expected is whether a token without an end must pass; nil within the skew, where either will do.
func expected(told map[string]life, id string, iat, wall float64) *bool {
	l, ok := told[id]
	yes, no := true, false
	switch {
	case !ok || l.state == Revoked || l.state == Announced:
		return &no
	case l.state == Retiring && iat > l.retired+30:
		return &no
	case l.state == Retiring && iat > l.retired:
		return nil
	}
	return &yes
}

// TestSharesAddUp has two tenants' callers ask, end and be reloaded in any order: no bound is passed, and what is
// under way is what was let on and has not ended.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Custom(func(t *rapid.T) Share {
			return Share{Rate: rapid.SampledFrom([]float64{0, 0.5, 20}).Draw(t, "rate"), Burst: float64(rapid.IntRange(1, 9).Draw(t, "burst")),
				Most: rapid.IntRange(0, 5).Draw(t, "most"), Weight: rapid.SampledFrom([]float64{0, 1, 7}).Draw(t, "weight")}
		})
		s := settings(func(s *Settings) {
			s.Limits.Callers = rapid.IntRange(1, 3).Draw(t, "callers")
			for i := range s.Tenants {
				s.Tenants[i].Share, s.Tenants[i].Caller = share.Draw(t, "share"), share.Draw(t, "caller")
			}
		})
		m, err := New(0, noon, s)
		if err != nil {
			t.Fatal(err)
		}
		now, open, charged := 0.0, map[string][]Ticket{}, map[string]float64{}
		tenant := rapid.SampledFrom([]string{"a", "b"})
		t.Repeat(map[string]func(*rapid.T){
			"time":   func(t *rapid.T) { now += rapid.Float64Range(0, 0.7).Draw(t, "s") },
			"reload": func(*rapid.T) { _ = m.Reload(now, noon, s) },
			"ask": func(t *rapid.T) {
				name := tenant.Draw(t, "tenant")
				if ticket, r := ask(m, now, name, fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "caller"))); r == Passed {
					open[name] = append(open[name], ticket)
					charged[name]++
				}
			},
			"end": func(t *rapid.T) {
				name, ran := tenant.Draw(t, "tenant"), rapid.Bool().Draw(t, "ran")
				if len(open[name]) > 0 {
					m.End(now, open[name][0], ran, !ran)
					if open[name] = open[name][1:]; !ran {
						charged[name]--
					}
				}
			},
			"": func(t *rapid.T) {
				for _, told := range s.Tenants {
					a := &m.tenants[told.Name].account
					if a.out != len(open[told.Name]) || told.Share.Most > 0 && a.out > told.Share.Most {
						t.Fatalf("tenant %s: %d under way, of which %d were let on and not ended; at most %d", told.Name, a.out, len(open[told.Name]), told.Share.Most)
					}
					if r := told.Share.Rate; r > 0 && charged[told.Name] > told.Share.Burst+r*now+1e-6 {
						t.Fatalf("tenant %s: charged %v in %v s", told.Name, charged[told.Name], now)
					}
				}
				if m.callers.order.Len() != len(m.callers.by) || len(m.callers.by) > s.Limits.Callers || m.fair.most < leastLevel || math.IsNaN(m.fair.most) {
					t.Fatalf("%d callers of %d, level %v", len(m.callers.by), s.Limits.Callers, m.fair.most)
				}
			}})
	})
}
