package callers

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
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
		c(&s)
	}
	return s
}

func module(t testing.TB, change ...func(*Settings)) *Module {
	m, err := New(0, noon, settings(change...))
	require.NoError(t, err)
	return m
}

func sum(n int) (s Sum) { copy(s[:], fmt.Sprint(n)); return s }

// claims are those of a caller of tenant a, for an hour.
func claims(change ...func(*Claims)) Claims {
	c := Claims{Subject: "till-4", Tenant: "a", ID: "j1", IssuedAt: noon - 10, Expiry: noon + 3600}
	for _, f := range change {
		f(&c)
	}
	return c
}

// verify has a token of those claims by key k1 taken as rightly signed.
func verify(m *Module, wall float64, c Claims) (Caller, Refusal) {
	return m.Verified(wall, &Conn{Remote: here}, sum(1), "k1", "p1", c)
}

func TestTokensAndClocks(t *testing.T) {
	for _, tt := range []struct {
		name string
		key  func(*Key)
		s    func(*Settings)
		c    func(*Claims)
		wall float64 // s from noon
		want Refusal
	}{
		{"a good one", nil, nil, nil, 0, Passed},
		{"of a tenant that there is not", nil, nil, func(c *Claims) { c.Tenant = "z" }, 0, Nobody},
		{"ended 29 s ago", nil, nil, nil, 3629, Passed},
		{"ended 31 s ago", nil, nil, nil, 3631, Ended},
		{"begins in 29 s", nil, nil, func(c *Claims) { c.NotBefore = noon + 29 }, 0, Passed},
		{"begins in 31 s", nil, nil, func(c *Claims) { c.NotBefore = noon + 31 }, 0, Ended},
		{"issued 31 s ahead", nil, nil, func(c *Claims) { c.IssuedAt = noon + 31 }, 0, Ended},
		{"no end where one is required", nil, nil, func(c *Claims) { c.Expiry = 0 }, 0, BadToken},
		{"no end where none is required", nil, func(s *Settings) { s.Require = nil }, func(c *Claims) { c.Expiry = 0 }, 1e6, Passed},
		{"no subject", nil, nil, func(c *Claims) { c.Subject = "" }, 0, BadToken},
		{"for another audience", nil, func(s *Settings) { s.Audience = "us" }, func(c *Claims) { c.Audience = []string{"them"} }, 0, BadToken},
		{"for us among others", nil, func(s *Settings) { s.Audience = "us" }, func(c *Claims) { c.Audience = []string{"them", "us"} }, 0, Passed},
		{"lives longer than it may", nil, func(s *Settings) { s.MostLife = 60 }, nil, 90, Ended},
		{"issued nowhen where life is bounded", nil, func(s *Settings) { s.MostLife = 60 }, func(c *Claims) { c.IssuedAt = 0 }, 0, BadToken},
		{"revoked by id", nil, func(s *Settings) { s.Revoked.Tokens = []string{"j1"} }, nil, 0, BadToken},
		{"revoked by subject", nil, func(s *Settings) { s.Revoked.Subjects = []string{"till-4"} }, nil, 0, BadToken},
		{"a key for other tenants", func(k *Key) { k.Tenants = []string{"b"} }, nil, nil, 0, BadToken},
		{"a key of another issuer", func(k *Key) { k.Issuer = "them" }, nil, nil, 0, BadToken},
		{"an announced key", func(k *Key) { k.State = Announced }, nil, nil, 0, BadToken},
		{"an announced key whose begin came", func(k *Key) { k.State, k.From = Announced, noon }, nil, nil, 0, Passed},
		{"a key that begins in 29 s", func(k *Key) { k.From = noon + 29 }, nil, nil, 0, Passed},
		{"a key that begins in 31 s", func(k *Key) { k.From = noon + 31 }, nil, nil, 0, BadToken},
		{"a key that ended 29 s ago", func(k *Key) { k.Until = noon - 29 }, nil, nil, 0, Passed},
		{"a key that ended 31 s ago", func(k *Key) { k.Until = noon - 31 }, nil, nil, 0, BadToken},
		{"signed before its key retired", func(k *Key) { k.State, k.RetiredAt = Retiring, noon-5 }, nil, nil, 0, Passed},
		{"signed 31 s after its key retired", func(k *Key) { k.State, k.RetiredAt = Retiring, noon-41 }, nil, nil, 0, BadToken},
		{"signed nowhen, by a key that retired", func(k *Key) { k.State, k.RetiredAt = Retiring, noon }, nil, func(c *Claims) { c.IssuedAt = 0 }, 0, BadToken},
		{"a revoked key", func(k *Key) { k.State = Revoked }, nil, nil, 0, BadToken}} {
		m := module(t, func(s *Settings) {
			if tt.key != nil {
				tt.key(&s.Keys[0])
			}
			if tt.s != nil {
				tt.s(s)
			}
		})
		c := claims()
		if tt.c != nil {
			tt.c(&c)
		}
		_, r := verify(m, noon+tt.wall, c)
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
		"another key of its id": func(s *Settings) { s.Keys[0].Print = "p2" }} {
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
	cert := Certificate{Serial: Serial{"i", "7f"}, Names: []string{"uri:spiffe://x/till/4", "cn:till"}, From: noon - 100,
		Until: noon + 100, Authorities: []string{"root"}}
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
		{"its name revoked", func(s *Settings) { s.Revoked.Subjects = []string{"uri:spiffe://x/till/4"} }, 0, "", Nobody}} {
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
	m := module(t)
	conn := &Conn{Certificate: &Certificate{Until: noon - 100}}
	assert.Equal(t, Leaving, m.Standing(50, noon, conn))
	assert.Equal(t, Leaving, m.Standing(51.4, noon, conn))
	assert.Equal(t, Left, m.Standing(51.6, noon, conn))
}

func TestSignatureChecksAreBounded(t *testing.T) {
	m := module(t, func(s *Settings) { s.Limits.Checks, s.Limits.ChecksByConn, s.Limits.CheckBurst = 100, 10, 5 })
	assert.Equal(t, BadToken, m.MayCheck(0, noon, &Conn{}, "k9", "EdDSA"), "a key that is not there costs nothing")
	assert.Equal(t, BadToken, m.MayCheck(0, noon, &Conn{}, "k1", "HS256"), "nor does another algorithm than the key's")
	count := func(conns []*Conn, tries int) (checked int) {
		for i := range tries {
			if m.MayCheck(0, noon, conns[i%len(conns)], "k1", "EdDSA") == Passed {
				checked++
			}
		}
		return checked
	}
	fresh := func() (all []*Conn) {
		for range 100 {
			all = append(all, &Conn{})
		}
		return all
	}
	assert.Equal(t, 5, count([]*Conn{{}}, 100), "of one connection")
	assert.Equal(t, 45, count(fresh(), 1000), "of any number that have proven nobody")
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
		"a table of no size":        func(s *Settings) { s.Limits.Verdicts = 0 }} {
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
		{"a burst at once", rate(Share{Rate: 10, Burst: 4}), func(m *Module) int { return asks(m, 0, 0, 100, true) }, 4},
		{"its rate over ten seconds", rate(Share{Rate: 10, Burst: 4}), func(m *Module) int { return asks(m, 0, 10, 1000, true) }, 103},
		{"what never ran is not charged", rate(Share{Rate: 10, Burst: 4}), func(m *Module) int { return asks(m, 0, 0, 100, false) }, 100},
		{"so many under way", rate(Share{Most: 7}), func(m *Module) int {
			return passed(func() Refusal { _, r := ask(m, 0, "a", "x"); return r }, 100)
		}, 7},
		{"of one caller", caller(Share{Rate: 1, Burst: 3}), func(m *Module) int { return asks(m, 0, 0, 100, true) }, 3},
		{"another caller has its own", caller(Share{Rate: 1, Burst: 3}), func(m *Module) int {
			n := 0
			for i := range 10 {
				n += passed(func() Refusal { _, r := ask(m, 0, "a", fmt.Sprint(i)); return r }, 5)
			}
			return n
		}, 30}} {
		m := module(t, tt.share)
		assert.Equal(t, tt.want, tt.asks(m), tt.name)
		assert.Equal(t, 50, passed(func() Refusal { _, r := ask(m, 0, "b", "x"); return r }, 50), "%s: the other tenant", tt.name)
	}
}

// asks has tenant a ask so often over a span, and settles each GET at once.
func asks(m *Module, from, span float64, n int, ran bool) (through int) {
	for i := range n {
		now := from + span*float64(i)/float64(n)
		if ticket, r := ask(m, now, "a", "x"); r == Passed {
			through++
			m.End(now, ticket, ran, !ran)
		}
	}
	return through
}

func passed(ask func() Refusal, n int) (through int) {
	for range n {
		if ask() == Passed {
			through++
		}
	}
	return through
}

// crowd is tenants that ask at rates of a service that bears so many GETs a second and sheds the rest, as control would, with a delay.
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
		var now10 []string
		for _, name := range names {
			for owed[name] += rates[name] * step; owed[name] >= 1; owed[name]-- {
				now10 = append(now10, name)
			}
		}
		chance.Shuffle(len(now10), func(i, j int) { now10[i], now10[j] = now10[j], now10[i] })
		for _, name := range now10 {
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
		{"nobody floods", 1, 300, 500, 1, 1}} {
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
		ticket, _ := ask(m, now, "a", "x")
		m.End(now, ticket, true, false)
	}
	assert.True(t, math.IsInf(m.Level(), 1), "the level is put off once it holds nobody")
}

func TestWithinATenantOneCallerThatFloodsTakesNothingFromTheOthers(t *testing.T) {
	m, quiet, flood := module(t, func(s *Settings) { s.Tenants[0].Share = Share{Rate: 100, Burst: 20} }), 0, 0
	for i := range 20000 { // a thousand a second
		now := float64(i) / 1000
		if ticket, r := ask(m, now, "a", "floods"); r == Passed {
			m.End(now, ticket, true, false)
			flood++
		}
		if i%50 == 0 { // twenty a second, of the fifty that are its part
			if ticket, r := ask(m, now, "a", "quiet"); r == Passed {
				m.End(now, ticket, true, false)
				quiet++
			}
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
		ticket, r := ask(m, float64(i)/1000, fmt.Sprint("t", i), "x")
		require.Equal(t, Passed, r)
		m.End(float64(i)/1000, ticket, true, false)
	}
	assert.Equal(t, 100, m.callers.order.Len())
	assert.Len(t, m.callers.by, 100)
	assert.Same(t, m.tenants["t1"].rights, m.tenants["t2"].rights, "one index for all with the same roles")
}

func TestACallerWithGETsUnderWayKeepsItsPlace(t *testing.T) {
	m := module(t, func(s *Settings) { s.Limits.Callers = 4; s.Tenants[0].Caller.Most = 1 })
	for i := range 4 {
		_, r := ask(m, 0, "a", fmt.Sprint(i))
		require.Equal(t, Passed, r)
	}
	ticket, r := ask(m, 0, "a", "more") // no place is free: an account that is forgotten with its GET
	require.Equal(t, Passed, r)
	m.End(0, ticket, true, false)
	_, r = ask(m, 0, "a", "0")
	assert.Equal(t, ShareUsed, r)
	assert.Equal(t, 4, m.callers.order.Len())
}

func TestAReloadKeepsWhatIsUsedAndUnderWay(t *testing.T) {
	bounded := func(s *Settings) { s.Tenants[0].Share = Share{Rate: 1, Burst: 5, Most: 2} }
	m := module(t, bounded)
	first, r := ask(m, 0, "a", "x")
	require.Equal(t, Passed, r)
	require.NoError(t, m.Reload(0, noon, settings(bounded, func(s *Settings) { s.Tenants[0].Share.Burst = 3 })))
	_, r = ask(m, 0, "a", "x")
	require.Equal(t, Passed, r)
	_, r = ask(m, 0, "a", "x")
	assert.Equal(t, ShareUsed, r, "two are under way")
	m.End(0, first, true, false)
	_, r = ask(m, 0, "a", "x")
	assert.Equal(t, Passed, r)
	require.NoError(t, m.Reload(0, noon, settings(func(s *Settings) { s.Tenants = s.Tenants[1:] })))
	m.End(0, first, true, false) // of a tenant that is gone
	_, r, _ = m.Admit(0, Caller{m.tenants["a"], "x"}, here, GET{})
	assert.Equal(t, Nobody, r)
}
