package admission

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"elderwall/internal/standin/need"
)

const noon = 1764590400.0 // Unix s

var here = netip.MustParseAddr("10.1.2.3")

// settings are those of two tenants that may have everything, and of one key.
func settings(change ...func(*Settings)) Settings {
	s := Defaults()
	s.Keys = []Key{{ID: "k1", Algorithm: "EdDSA", Print: "p1", State: Active}}
	s.Roles = map[string][]Rule{"all": {{}}}
	s.Tenants = []Tenant{{Name: "a", Roles: []string{"all"}}, {Name: "b", Roles: []string{"all"}}}
	for _, c := range change {
		if c != nil {
			c(&s)
		}
	}
	return s
}

func module(t testing.TB, change ...func(*Settings)) *Module {
	return need.Of(New(0, noon, settings(change...)))(t)
}

func sum(n int) (s Sum) { copy(s[:], fmt.Sprint(n)); return s }

// claims are those of a caller of tenant a, for an hour.
func claims(change ...func(*Claims)) Claims {
	c := Claims{Subject: "till-4", Tenant: "a", ID: "j1", IssuedAt: noon - 10, Expiry: noon + 3600}
	for _, f := range change {
		if f != nil {
			f(&c)
		}
	}
	return c
}

// verify has a token of those claims by key k1 taken as rightly signed.
func verify(m *Module, wall float64, c Claims) (Caller, Refusal) {
	return m.Verified(wall, &Conn{Remote: here}, sum(1), "k1", "p1", c)
}

func TestTokensAndClocks(t *testing.T) {
	key := func(change func(*Key)) func(*Settings) { return func(s *Settings) { change(&s.Keys[0]) } }
	for _, tt := range []struct {
		name string
		s    func(*Settings)
		c    func(*Claims)
		wall float64 // s from noon
		want Refusal
	}{
		{"a good one", nil, nil, 0, Passed},
		{"of a tenant that there is not", nil, func(c *Claims) { c.Tenant = "z" }, 0, Nobody},
		{"ended 29 s ago", nil, nil, 3629, Passed},
		{"ended 31 s ago", nil, nil, 3631, Ended},
		{"begins in 29 s", nil, func(c *Claims) { c.NotBefore = noon + 29 }, 0, Passed},
		{"begins in 31 s", nil, func(c *Claims) { c.NotBefore = noon + 31 }, 0, Ended},
		{"issued 31 s ahead", nil, func(c *Claims) { c.IssuedAt = noon + 31 }, 0, Ended},
		{"no end where one is required", nil, func(c *Claims) { c.Expiry = 0 }, 0, BadToken},
		{"no end where none is required", func(s *Settings) { s.Require = nil }, func(c *Claims) { c.Expiry = 0 }, 1e6, Passed},
		{"no subject", nil, func(c *Claims) { c.Subject = "" }, 0, BadToken},
		{"for another audience", func(s *Settings) { s.Audience = "us" }, func(c *Claims) { c.Audience = []string{"them"} }, 0, BadToken},
		{"for us among others", func(s *Settings) { s.Audience = "us" }, func(c *Claims) { c.Audience = []string{"them", "us"} }, 0, Passed},
		{"lives longer than it may", func(s *Settings) { s.MostLife = 60 }, nil, 90, Ended},
		{"issued nowhen where life is bounded", func(s *Settings) { s.MostLife = 60 }, func(c *Claims) { c.IssuedAt = 0 }, 0, BadToken},
		{"revoked by id", func(s *Settings) { s.Revoked.Tokens = []string{"j1"} }, nil, 0, BadToken},
		{"revoked by subject", func(s *Settings) { s.Revoked.Subjects = []string{"till-4"} }, nil, 0, BadToken},
		{"a key for other tenants", key(func(k *Key) { k.Tenants = []string{"b"} }), nil, 0, BadToken},
		{"a key of another issuer", key(func(k *Key) { k.Issuer = "them" }), nil, 0, BadToken},
		{"an announced key", key(func(k *Key) { k.State = Announced }), nil, 0, BadToken},
		{"an announced key whose begin came", key(func(k *Key) { k.State, k.From = Announced, noon }), nil, 0, Passed},
		{"a key that begins in 29 s", key(func(k *Key) { k.From = noon + 29 }), nil, 0, Passed},
		{"a key that begins in 31 s", key(func(k *Key) { k.From = noon + 31 }), nil, 0, BadToken},
		{"a key that ended 29 s ago", key(func(k *Key) { k.Until = noon - 29 }), nil, 0, Passed},
		{"a key that ended 31 s ago", key(func(k *Key) { k.Until = noon - 31 }), nil, 0, BadToken},
		{"signed before its key retired", key(func(k *Key) { k.State, k.RetiredAt = Retiring, noon-5 }), nil, 0, Passed},
		{"signed 31 s after its key retired", key(func(k *Key) { k.State, k.RetiredAt = Retiring, noon-41 }), nil, 0, BadToken},
		{"signed nowhen, by a key that retired", key(func(k *Key) { k.State, k.RetiredAt = Retiring, noon }), func(c *Claims) { c.IssuedAt = 0 }, 0, BadToken},
		{"a revoked key", key(func(k *Key) { k.State = Revoked }), nil, 0, BadToken},
	} {
		m := module(t, tt.s)
		_, r := verify(m, noon+tt.wall, claims(tt.c))
		assert.Equal(t, tt.want, r, tt.name)
		_, r, known := m.ByToken(noon+tt.wall, sum(1))
		assert.True(t, known && r == tt.want, "%s, from the table: %v", tt.name, r)
	}
}

// A clock that is set back by less than the skew must not bring ended tokens back; one that was far ahead and is put
// right must not lock everyone out.
func TestAClockThatStepsBack(t *testing.T) {
	m := module(t)
	_, r := verify(m, noon+3631, claims())
	require.Equal(t, Ended, r)
	_, r, _ = m.ByToken(noon+3601, sum(1))
	assert.Equal(t, Ended, r, "back by 30 s: time stands still")
	_, r, _ = m.ByToken(noon+100, sum(1))
	assert.Equal(t, Passed, r, "back by an hour: the clock was wrong before")
}

func TestRevocationReachesWhatIsKnownAlready(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"its key":               func(s *Settings) { s.Keys[0].State = Revoked },
		"its key is gone":       func(s *Settings) { s.Keys[0].ID = "k2" },
		"its id":                func(s *Settings) { s.Revoked.Tokens = []string{"j1"} },
		"its subject":           func(s *Settings) { s.Revoked.Subjects = []string{"till-4"} },
		"another key of its id": func(s *Settings) { s.Keys[0].Print = "p2" },
	} {
		m, conn := module(t), &Conn{Remote: here}
		_, r := m.Verified(noon, conn, sum(1), "k1", "p1", claims())
		require.Equal(t, Passed, r)
		require.True(t, m.Give(conn, sum(1)))
		require.NoError(t, m.Reload(0, noon, settings(change)))
		_, r, known := m.ByToken(noon, sum(1))
		assert.True(t, !known || r == BadToken, name)
		_, r = m.ByConn(noon, conn)
		assert.Equal(t, BadToken, r, "%s, on its connection", name)
		_, r = m.Verified(noon, conn, sum(1), "k1", "p1", claims())
		assert.Equal(t, BadToken, r, "%s, checked just before", name)
	}
}

func TestCertificates(t *testing.T) {
	cert := Certificate{
		Serial: Serial{"i", "7f"}, Names: []string{"uri:spiffe://x/till/4", "cn:till"}, From: noon - 100,
		Until: noon + 100, Authorities: []string{"root"},
	}
	for _, tt := range []struct {
		name   string
		change func(*Settings)
		wall   float64
		tenant string
		want   Refusal
	}{
		{"by its first name that fits", nil, 0, "a", Passed},
		{"by a wildcard", func(s *Settings) { s.Names = []Name{{"uri:spiffe://x/till/*", "b"}} }, 0, "b", Passed},
		{"by no name", func(s *Settings) { s.Names = []Name{{"uri:spiffe://x/till", "b"}, {"cn:t*x", "b"}} }, 0, "", Nobody},
		{"past its end by 29 s", nil, 129, "a", Passed},
		{"past its end", nil, 131, "", BadCertificate},
		{"before its begin", nil, -131, "", BadCertificate},
		{"revoked", func(s *Settings) { s.Revoked.Certificates = []Serial{{"i", "7f"}} }, 0, "", BadCertificate},
		{"another of its issuer revoked", func(s *Settings) { s.Revoked.Certificates = []Serial{{"i", "80"}} }, 0, "a", Passed},
		{"its authority not trusted", func(s *Settings) { s.Authorities = []string{"other"} }, 0, "", BadCertificate},
		{"its name revoked", func(s *Settings) { s.Revoked.Subjects = []string{"uri:spiffe://x/till/4"} }, 0, "", Nobody},
	} {
		named := func(s *Settings) {
			s.Names, s.Authorities = []Name{{"cn:till", "b"}, {"uri:spiffe://x/till/4", "a"}}, []string{"root"}
		}
		m, conn := module(t, named), &Conn{Remote: here, Certificate: &cert}
		if tt.change != nil { // on a connection that is open
			require.Equal(t, Stays, m.Standing(0, noon, conn))
			require.NoError(t, m.Reload(0, noon, settings(named, tt.change)))
		}
		c, r := m.ByConn(noon+tt.wall, conn)
		assert.Equal(t, []any{tt.tenant, tt.want}, []any{c.Tenant(), r}, tt.name)
		standing := map[bool][]Standing{false: {Stays, Stays}, true: {Leaving, Left}}[r == BadCertificate]
		assert.Equal(t, standing, []Standing{m.Standing(0, noon+tt.wall, conn), m.Standing(1000, noon+tt.wall, conn)}, tt.name)
	}
}

func TestAConnectionHasLeftBeforeTheWindowIsOver(t *testing.T) {
	m, conn := module(t), &Conn{Certificate: &Certificate{Until: noon - 100}}
	for i, now := range []float64{50, 51.4, 51.6} {
		assert.Equal(t, []Standing{Leaving, Leaving, Left}[i], m.Standing(now, noon, conn), now)
	}
}

func TestSignatureChecksAreBounded(t *testing.T) {
	m := module(t, func(s *Settings) { s.Limits.Checks, s.Limits.ChecksByConn, s.Limits.CheckBurst = 100, 10, 5 })
	assert.Equal(t, BadToken, m.MayCheck(0, noon, &Conn{}, "k9", "EdDSA"), "a key that is not there costs nothing")
	assert.Equal(t, BadToken, m.MayCheck(0, noon, &Conn{}, "k1", "HS256"), "nor does another algorithm than the key's")
	count := func(conns []*Conn, tries int) int {
		i := 0
		return passed(func() Refusal { i++; return m.MayCheck(0, noon, conns[i%len(conns)], "k1", "EdDSA") }, tries)
	}
	fresh := make([]*Conn, 100)
	for i := range fresh {
		fresh[i] = &Conn{}
	}
	assert.Equal(t, 5, count([]*Conn{{}}, 100), "of one connection")
	assert.Equal(t, 45, count(fresh, 1000), "of any number that have proven nobody")
	known := &Conn{}
	_, r := m.Verified(noon, known, sum(1), "k1", "p1", claims())
	require.Equal(t, Passed, r)
	assert.Equal(t, 5, count([]*Conn{known}, 100), "one that has is still heard")
	assert.Equal(t, ChecksUsed, m.MayCheck(0, noon, &Conn{}, "k1", "EdDSA"))
	assert.Equal(t, Passed, m.MayCheck(1, noon, known, "k1", "EdDSA"), "a second later")
}

func TestAFloodOfTokensThatAllDifferDisplacesOnlyItsOwn(t *testing.T) {
	m := module(t, func(s *Settings) { s.Limits.Verdicts = 100 })
	conn := &Conn{}
	for i := range 50 { // those that come back
		m.Verified(noon, conn, sum(i), "k1", "p1", claims())
		_, _, known := m.ByToken(noon, sum(i))
		require.True(t, known)
	}
	for i := range 10000 {
		m.Verified(noon, conn, sum(1000+i), "k1", "p1", claims())
	}
	assert.LessOrEqual(t, len(m.verdicts.by), 100)
	assert.Equal(t, len(m.verdicts.by), m.verdicts.once.Len()+m.verdicts.again.Len())
	for i := range 50 {
		_, _, known := m.ByToken(noon, sum(i))
		assert.True(t, known, i)
	}
}

func TestWhatSettingsAreRefused(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"a key id used twice":       func(s *Settings) { s.Keys = append(s.Keys, s.Keys[0]) },
		"no keys":                   func(s *Settings) { s.Keys = nil },
		"a key that never counts":   func(s *Settings) { s.Keys[0].From, s.Keys[0].Until = 2, 1 },
		"a tenant twice":            func(s *Settings) { s.Tenants = append(s.Tenants, s.Tenants[0]) },
		"a role that there is not":  func(s *Settings) { s.Tenants[0].Roles = []string{"none"} },
		"a name of no tenant":       func(s *Settings) { s.Names = []Name{{"cn:x", "none"}} },
		"nobody's tenant there not": func(s *Settings) { s.Anonymous = "none" },
		"a table of no size":        func(s *Settings) { s.Limits.Verdicts = 0 },
	} {
		m := module(t)
		assert.Error(t, m.Reload(0, noon, settings(change)), name)
		_, r := verify(m, noon, claims())
		assert.Equal(t, Passed, r, "%s: the old ones stay in force", name)
	}
	assert.NoError(t, module(t).Reload(0, noon, settings(func(s *Settings) { s.Keys, s.NoKeys = nil, true })), "no keys, said outright")
}

// ask has a tenant's caller ask once.
func ask(m *Module, now float64, tenant, name string) (Ticket, Refusal) {
	t, r, _ := m.Admit(now, Caller{m.tenants[tenant], name}, here, GET{})
	return t, r
}

func TestShares(t *testing.T) {
	rate := func(s Share) func(*Settings) { return func(set *Settings) { set.Tenants[0].Share = s } }
	caller := func(s Share) func(*Settings) { return func(set *Settings) { set.Tenants[0].Caller = s } }
	for _, tt := range []struct {
		name  string
		share func(*Settings)
		asks  func(m *Module) int
		want  int
	}{
		{"a burst at once", rate(Share{Rate: 10, Burst: 4}), func(m *Module) int { return asks(m, 0, 100, true) }, 4},
		{"its rate over ten seconds", rate(Share{Rate: 10, Burst: 4}), func(m *Module) int { return asks(m, 10, 1000, true) }, 103},
		{"what never ran is not charged", rate(Share{Rate: 10, Burst: 4}), func(m *Module) int { return asks(m, 0, 100, false) }, 100},
		{"so many under way", rate(Share{Most: 7}), func(m *Module) int {
			return passed(func() Refusal { _, r := ask(m, 0, "a", "x"); return r }, 100)
		}, 7},
		{"of one caller", caller(Share{Rate: 1, Burst: 3}), func(m *Module) int { return asks(m, 0, 100, true) }, 3},
		{"another caller has its own", caller(Share{Rate: 1, Burst: 3}), func(m *Module) int {
			n := 0
			for i := range 10 {
				n += passed(func() Refusal { _, r := ask(m, 0, "a", fmt.Sprint(i)); return r }, 5)
			}
			return n
		}, 30},
	} {
		m := module(t, tt.share)
		assert.Equal(t, tt.want, tt.asks(m), tt.name)
		assert.Equal(t, 50, passed(func() Refusal { _, r := ask(m, 0, "b", "x"); return r }, 50), "%s: the other tenant", tt.name)
	}
}

// asks has tenant a ask so often over a span from 0 on, and settles each GET at once.
func asks(m *Module, span float64, n int, ran bool) (through int) {
	for i := range n {
		now := span * float64(i) / float64(n)
		through += once(m, now, "a", "x", ran)
	}
	return through
}

// once has a caller ask, and settles its GET at once; 1 if it was passed.
func once(m *Module, now float64, tenant, name string, ran bool) int {
	ticket, r := ask(m, now, tenant, name)
	if r != Passed {
		return 0
	}
	m.End(now, ticket, ran, !ran)
	return 1
}

func passed(ask func() Refusal, n int) (through int) {
	for range n {
		if ask() == Passed {
			through++
		}
	}
	return through
}

// crowd is tenants that ask at rates of a service that bears so many GETs a second and sheds the rest, as core/routing would, with a delay.
func crowd(m *Module, capacity, seconds float64, rates map[string]float64, callersOf map[string]int) (served, asked map[string]float64) {
	const step = 0.002
	served, asked = map[string]float64{}, map[string]float64{}
	chance, owed, room := rand.New(rand.NewPCG(1, 2)), map[string]float64{}, 0.0
	type end struct {
		at     float64
		ticket Ticket
		shed   bool
	}
	var ends []end
	names := []string{"a", "b"}
	for now := 0.0; now < seconds; now += step {
		for len(ends) > 0 && ends[0].at <= now {
			m.End(now, ends[0].ticket, !ends[0].shed, ends[0].shed)
			ends = ends[1:]
		}
		room = math.Min(capacity*0.02, room+capacity*step)
		for _, name := range arrivals(chance, names, owed, rates, step) {
			late := now > seconds/4 // the first quarter is for the level to settle
			if late {
				asked[name]++
			}
			ticket, r := ask(m, now, name, fmt.Sprint(chance.IntN(max(1, callersOf[name]))))
			if r != Passed {
				continue
			}
			shed := room < 1
			if !shed {
				room--
				if late {
					served[name]++
				}
			}
			ends = append(ends, end{now + 0.05, ticket, shed})
		}
	}
	return served, asked
}

// arrivals are the tenants of the GETs of one step, in any order; owed is what is left of a GET by tenant.
func arrivals(chance *rand.Rand, names []string, owed, rates map[string]float64, step float64) (all []string) {
	for _, name := range names {
		for owed[name] += rates[name] * step; owed[name] >= 1; owed[name]-- {
			all = append(all, name)
		}
	}
	chance.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

func TestOneThatFloodsTakesNothingFromTheOther(t *testing.T) {
	for _, tt := range []struct {
		name         string
		weightOfA    float64
		a, b         float64 // asked for, of 1000 that can be borne
		leastA, most float64 // share of what a asks that it gets; share of all that is left unused
	}{
		{"20 times its share beside one at half of its own", 1, 250, 10000, 0.98, 0.05},
		{"the same, with three times the weight", 3, 375, 5000, 0.98, 0.05},
		{"both ask for more than there is", 1, 3000, 9000, 0.15, 0.05}, // half of 1000, less what the level swings
		{"one alone has it all", 1, 0, 5000, 0, 0.05},
		{"nobody floods", 1, 300, 500, 1, 1},
	} {
		m := module(t, func(s *Settings) { s.Tenants[0].Share.Weight = tt.weightOfA })
		served, asked := crowd(m, 1000, 20, map[string]float64{"a": tt.a, "b": tt.b}, nil)
		if tt.a > 0 {
			assert.GreaterOrEqual(t, served["a"]/asked["a"], tt.leastA, tt.name)
		}
		used := (served["a"] + served["b"]) / (1000 * 15)
		assert.GreaterOrEqual(t, used, 1-tt.most, tt.name)
		t.Logf("%s: a %.3f of what it asks, b %.3f; %.3f of all used", tt.name, served["a"]/math.Max(1, asked["a"]), served["b"]/asked["b"], used)
	}
}

func TestWithoutPressureNobodyIsHeld(t *testing.T) {
	m := module(t)
	served, asked := crowd(m, 1e9, 5, map[string]float64{"a": 100, "b": 50000}, nil)
	assert.Equal(t, asked, served)
	assert.True(t, math.IsInf(m.Level(), 1))
	m = module(t)
	crowd(m, 100, 5, map[string]float64{"a": 100, "b": 5000}, nil)
	assert.False(t, math.IsInf(m.Level(), 1))
	for now := 5.0; now < 60; now += 0.1 {
		once(m, now, "a", "x", true)
	}
	assert.True(t, math.IsInf(m.Level(), 1), "the level is put off once it holds nobody")
}

func TestWithinATenantOneCallerThatFloodsTakesNothingFromTheOthers(t *testing.T) {
	m, quiet, flood := module(t, func(s *Settings) { s.Tenants[0].Share = Share{Rate: 100, Burst: 20} }), 0, 0
	for i := range 20000 { // a thousand a second
		now := float64(i) / 1000
		flood += once(m, now, "a", "floods", true)
		if i%50 == 0 { // twenty a second, of the fifty that are its part
			quiet += once(m, now, "a", "quiet", true)
		}
	}
	assert.GreaterOrEqual(t, quiet, 380, "of 400")
	assert.GreaterOrEqual(t, quiet+flood, 1800, "of 2000")
}

func TestTenThousandTenantsThatEachComeOnce(t *testing.T) {
	m := module(t, func(s *Settings) {
		s.Limits.Callers = 100
		for i := range 10000 {
			s.Tenants = append(s.Tenants, Tenant{Name: fmt.Sprint("t", i), Roles: []string{"all"}, Share: Share{Rate: 1, Burst: 1}})
		}
	})
	for i := range 10000 {
		require.Equal(t, 1, once(m, float64(i)/1000, fmt.Sprint("t", i), "x", true))
	}
	assert.Equal(t, 100, m.callers.order.Len())
	assert.Len(t, m.callers.by, 100)
	assert.Same(t, m.tenants["t1"].rights, m.tenants["t2"].rights, "one index for all with the same roles")
}

// asked has a caller of tenant a ask, which must come to that.
func asked(t *testing.T, m *Module, name string, want Refusal, why ...any) Ticket {
	ticket, r := ask(m, 0, "a", name)
	require.Equal(t, want, r, why...)
	return ticket
}

func TestACallerWithGETsUnderWayKeepsItsPlace(t *testing.T) {
	m := module(t, func(s *Settings) { s.Limits.Callers = 4; s.Tenants[0].Caller.Most = 1 })
	for i := range 4 {
		asked(t, m, fmt.Sprint(i), Passed)
	}
	ticket := asked(t, m, "more", Passed, "no place is free: an account that is forgotten with its GET")
	m.End(0, ticket, true, false)
	asked(t, m, "0", ShareUsed)
	assert.Equal(t, 4, m.callers.order.Len())
}

func TestAReloadKeepsWhatIsUsedAndUnderWay(t *testing.T) {
	bounded := func(s *Settings) { s.Tenants[0].Share = Share{Rate: 1, Burst: 5, Most: 2} }
	m := module(t, bounded)
	first := asked(t, m, "x", Passed)
	require.NoError(t, m.Reload(0, noon, settings(bounded, func(s *Settings) { s.Tenants[0].Share.Burst = 3 })))
	asked(t, m, "x", Passed)
	asked(t, m, "x", ShareUsed, "two are under way")
	m.End(0, first, true, false)
	asked(t, m, "x", Passed)
	require.NoError(t, m.Reload(0, noon, settings(func(s *Settings) { s.Tenants = s.Tenants[1:] })))
	m.End(0, first, true, false) // of a tenant that is gone
	asked(t, m, "x", Nobody)
}

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
		require.NoError(t, err)
		wall, issued := noon, map[string][]float64{}
		key := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("k", rapid.IntRange(1, 3).Draw(t, "key")) })
		t.Repeat(map[string]func(*rapid.T){
			"time":     func(t *rapid.T) { wall += rapid.Float64Range(0, 100).Draw(t, "s") },
			"announce": func(t *rapid.T) { announce(written, key.Draw(t, "id")) },
			"activate": func(t *rapid.T) { move(written, key.Draw(t, "id"), Active, wall) },
			"retire":   func(t *rapid.T) { move(written, key.Draw(t, "id"), Retiring, wall) },
			"revoke":   func(t *rapid.T) { move(written, key.Draw(t, "id"), Revoked, wall) },
			"reload": func(t *rapid.T) {
				require.NoError(t, m.Reload(0, wall, current()))
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
					want := expected(told, id, iat)
					if want != nil && (r == Passed) != *want {
						t.Fatalf("key %s %+v, issued %v s ago: %v", id, told[id], wall-iat, r)
					}
				}
			},
		})
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
func expected(told map[string]life, id string, iat float64) *bool {
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
			return Share{
				Rate: rapid.SampledFrom([]float64{0, 0.5, 20}).Draw(t, "rate"), Burst: float64(rapid.IntRange(1, 9).Draw(t, "burst")),
				Most: rapid.IntRange(0, 5).Draw(t, "most"), Weight: rapid.SampledFrom([]float64{0, 1, 7}).Draw(t, "weight"),
			}
		})
		s := settings(func(s *Settings) {
			s.Limits.Callers = rapid.IntRange(1, 3).Draw(t, "callers")
			for i := range s.Tenants {
				s.Tenants[i].Share, s.Tenants[i].Caller = share.Draw(t, "share"), share.Draw(t, "caller")
			}
		})
		m, err := New(0, noon, s)
		require.NoError(t, err)
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
					require.False(t, a.out != len(open[told.Name]) || told.Share.Most > 0 && a.out > told.Share.Most, "tenant %s: %d under way, of which %d were let on and not ended; at most %d", told.Name, a.out, len(open[told.Name]), told.Share.Most)
					r := told.Share.Rate
					require.False(t, r > 0 && charged[told.Name] > told.Share.Burst+r*now+1e-6, "tenant %s: charged %v in %v s", told.Name, charged[told.Name], now)
				}
				require.False(t, m.callers.order.Len() != len(m.callers.by) || len(m.callers.by) > s.Limits.Callers || m.fair.most < leastLevel || math.IsNaN(m.fair.most), "%d callers of %d, level %v", len(m.callers.by), s.Limits.Callers, m.fair.most)
			},
		})
	})
}

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
		{"a network denied of all", []Rule{all, inside(none)}, GET{}, "10.9.9.9", false},
	} {
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
		network := rapid.SampledFrom([]netip.Prefix{
			netip.MustParsePrefix("10.0.0.0/8"), netip.MustParsePrefix("10.1.0.0/16"),
			netip.MustParsePrefix("fd00::/8"),
		})
		rule := rapid.Custom(func(t *rapid.T) Rule {
			return Rule{
				Deny: rapid.Bool().Draw(t, "deny"), Services: rapid.SliceOfN(rapid.IntRange(0, 2), 0, 2).Draw(t, "services"),
				Groups: rapid.SliceOfN(rapid.IntRange(63, 65), 0, 2).Draw(t, "groups"), Networks: rapid.SliceOfN(network, 0, 2).Draw(t, "networks"),
				Objects: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Prefix {
					return Prefix{object.Draw(t, "bits"), 16}.cut(rapid.SampledFrom([]int{0, 1, 2, 15, 16}).Draw(t, "digits"))
				}), 0, 3).Draw(t, "objects"),
			}
		})
		rules := rapid.SliceOfN(rule, 0, 12).Draw(t, "rules")
		g := GET{rapid.IntRange(0, 2).Draw(t, "service"), object.Draw(t, "object"), rapid.IntRange(63, 65).Draw(t, "group")}
		from := netip.MustParseAddr(rapid.SampledFrom([]string{"10.1.2.3", "10.2.2.3", "fd00::1", "9.9.9.9"}).Draw(t, "from"))
		got, want := newRights(rules).allow(g, from), scan(rules, g, from)
		require.Equal(t, want, got, "the index says %v, a scan %v", got, want)
	})
}

// BenchmarkRights is what a GET costs by the index, and what a rule takes there, against a scan.
func BenchmarkRights(b *testing.B) {
	for _, of := range [][2]int{{10, 6}, {1000, 6}, {100000, 6}, {100000, 16}} { // rules, lengths of their prefixes
		n, most := of[0], of[1]
		chance, rules, gets := rand.New(rand.NewPCG(1, uint64(n))), make([]Rule, n), make([]GET, 1024)
		for i := range rules {
			p := Prefix{chance.Uint64(), 16}.cut(16 - chance.IntN(most))
			rules[i] = Rule{Objects: []Prefix{p}, Deny: chance.IntN(4) == 0, Services: []int{chance.IntN(3)}}
		}
		for i := range gets {
			gets[i] = GET{Service: chance.IntN(3), Object: rules[chance.IntN(n)].Objects[0].Bits | chance.Uint64()>>48}
		}
		before, index := need.Heap(), newRights(rules)
		size := (need.Heap() - before) / float64(n)
		scanned := func(g GET, from netip.Addr) bool { return scan(rules, g, from) }
		b.Logf("%d rules, %d lengths: %.0f B each", n, most, size)
		for name, allow := range map[string]func(GET, netip.Addr) bool{"prefixes": index.allow, "scan": scanned} {
			need.Bench(b, fmt.Sprintf("%d-rules-%d-lengths/%s", n, most, name), func(i int) { allow(gets[i&1023], here) })
		}
	}
}

// BenchmarkAdmit is what a GET costs that is passed on and settled, its token known.
func BenchmarkAdmit(b *testing.B) {
	m := module(b, func(s *Settings) { s.Tenants[0].Share = Share{Rate: 1e9, Burst: 1e9, Most: 1e6} })
	verify(m, noon, claims())
	need.Bench(b, "known", func(i int) {
		c, _, _ := m.ByToken(noon, sum(1))
		t, _, _ := m.Admit(float64(i)*1e-5, c, here, GET{})
		m.End(float64(i)*1e-5, t, true, false)
	})
}

// BenchmarkTenants is what a tenant takes, and what a GET costs among so many that each ask in turn.
func BenchmarkTenants(b *testing.B) {
	for _, n := range []int{10, 100000} {
		names, before := make([]string, n), need.Heap()
		m := module(b, func(s *Settings) {
			s.Tenants = nil
			for i := range names {
				names[i] = fmt.Sprint("tenant-", i)
				s.Tenants = append(s.Tenants, Tenant{Name: names[i], Roles: []string{"all"}, Share: Share{Rate: 1e6, Burst: 1e6}})
			}
		})
		taken := (need.Heap() - before) / float64(n)
		b.Logf("%d tenants: %.0f B each", n, taken)
		need.Bench(b, fmt.Sprint(n), func(i int) { once(m, float64(i)*1e-5, names[i%n], "x", true) })
	}
}
