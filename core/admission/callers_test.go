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

const noon = 1764590400.0 // Unix seconds

var clientAddr = netip.MustParseAddr("10.1.2.3")

// testSettings returns settings with one key and two tenants that may request everything.
func testSettings(change ...func(*Settings)) Settings {
	s := Defaults()
	s.Keys = []Key{{ID: "k1", Algorithm: "EdDSA", Fingerprint: "p1", State: Active}}
	s.Roles = map[string][]Rule{"all": {{}}}
	s.Tenants = []Tenant{{Name: "a", Roles: []string{"all"}}, {Name: "b", Roles: []string{"all"}}}
	for _, c := range change {
		if c != nil {
			c(&s)
		}
	}
	return s
}

// newTestController returns a controller with testSettings.
func newTestController(t testing.TB, change ...func(*Settings)) *Controller {
	return need.Of(New(0, noon, testSettings(change...)))(t)
}

// tokenHash returns a hash that differs for each n.
func tokenHash(n int) (s TokenHash) { copy(s[:], fmt.Sprint(n)); return s }

// testClaims returns the claims of a caller of tenant a, valid for an hour after noon.
func testClaims(change ...func(*Claims)) Claims {
	c := Claims{Subject: "till-4", Tenant: "a", ID: "j1", IssuedAt: noon - 10, Expiry: noon + 3600}
	for _, f := range change {
		if f != nil {
			f(&c)
		}
	}
	return c
}

// verify passes a token with these claims to AcceptVerified, as signed by key k1, and returns its caller.
func verify(m *Controller, wall float64, c Claims) (Caller, Rejection) {
	return m.AcceptVerified(wall, &Conn{Remote: clientAddr}, tokenHash(1), "k1", "p1", c)
}

// TestTokenValidity guards against tokens that are accepted outside their validity, or with claims or keys that do not
// fit. Each token is evaluated when it is verified and again from the cache.
func TestTokenValidity(t *testing.T) {
	key := func(change func(*Key)) func(*Settings) { return func(s *Settings) { change(&s.Keys[0]) } }
	for _, tt := range []struct {
		name string
		s    func(*Settings)
		c    func(*Claims)
		wall float64 // seconds after noon
		want Rejection
	}{
		{"a valid token", nil, nil, 0, Admitted},
		{"of a tenant that does not exist", nil, func(c *Claims) { c.Tenant = "z" }, 0, UnknownCaller},
		{"expired 29 s ago", nil, nil, 3629, Admitted},
		{"expired 31 s ago", nil, nil, 3631, Expired},
		{"valid in 29 s", nil, func(c *Claims) { c.NotBefore = noon + 29 }, 0, Admitted},
		{"valid in 31 s", nil, func(c *Claims) { c.NotBefore = noon + 31 }, 0, Expired},
		{"issued 31 s in the future", nil, func(c *Claims) { c.IssuedAt = noon + 31 }, 0, Expired},
		{"no expiry where one is required", nil, func(c *Claims) { c.Expiry = 0 }, 0, BadToken},
		{"no expiry where none is required", func(s *Settings) { s.RequiredClaims = nil }, func(c *Claims) { c.Expiry = 0 }, 1e6, Admitted},
		{"no subject", nil, func(c *Claims) { c.Subject = "" }, 0, BadToken},
		{"for another audience", func(s *Settings) { s.Audience = "us" }, func(c *Claims) { c.Audience = []string{"them"} }, 0, BadToken},
		{"for us among others", func(s *Settings) { s.Audience = "us" }, func(c *Claims) { c.Audience = []string{"them", "us"} }, 0, Admitted},
		{"past the maximum lifetime", func(s *Settings) { s.MaxTokenLifetime = 60 }, nil, 90, Expired},
		{"no issue time where the lifetime is limited", func(s *Settings) { s.MaxTokenLifetime = 60 }, func(c *Claims) { c.IssuedAt = 0 }, 0, BadToken},
		{"revoked by ID", func(s *Settings) { s.Revoked.Tokens = []string{"j1"} }, nil, 0, BadToken},
		{"revoked by subject", func(s *Settings) { s.Revoked.Subjects = []string{"till-4"} }, nil, 0, BadToken},
		{"a key for other tenants", key(func(k *Key) { k.Tenants = []string{"b"} }), nil, 0, BadToken},
		{"a key of another issuer", key(func(k *Key) { k.Issuer = "them" }), nil, 0, BadToken},
		{"an announced key", key(func(k *Key) { k.State = Announced }), nil, 0, BadToken},
		{"an announced key whose begin has passed", key(func(k *Key) { k.State, k.From = Announced, noon }), nil, 0, Admitted},
		{"a key that begins in 29 s", key(func(k *Key) { k.From = noon + 29 }), nil, 0, Admitted},
		{"a key that begins in 31 s", key(func(k *Key) { k.From = noon + 31 }), nil, 0, BadToken},
		{"a key that ended 29 s ago", key(func(k *Key) { k.Until = noon - 29 }), nil, 0, Admitted},
		{"a key that ended 31 s ago", key(func(k *Key) { k.Until = noon - 31 }), nil, 0, BadToken},
		{"signed before its key retired", key(func(k *Key) { k.State, k.RetiredAt = Retiring, noon-5 }), nil, 0, Admitted},
		{"signed 31 s after its key retired", key(func(k *Key) { k.State, k.RetiredAt = Retiring, noon-41 }), nil, 0, BadToken},
		{"no issue time, by a retiring key", key(func(k *Key) { k.State, k.RetiredAt = Retiring, noon }), func(c *Claims) { c.IssuedAt = 0 }, 0, BadToken},
		{"a revoked key", key(func(k *Key) { k.State = Revoked }), nil, 0, BadToken},
	} {
		m := newTestController(t, tt.s)
		_, r := verify(m, noon+tt.wall, testClaims(tt.c))
		assert.Equal(t, tt.want, r, tt.name)
		_, r, known := m.CallerByToken(noon+tt.wall, tokenHash(1))
		assert.True(t, known && r == tt.want, "%s, from the cache: %v", tt.name, r)
	}
}

// TestClockStepsBack guards against two failures: a clock set back by less than the skew makes expired tokens valid
// again, or a clock that was far ahead and is corrected locks everyone out.
func TestClockStepsBack(t *testing.T) {
	m := newTestController(t)
	_, r := verify(m, noon+3631, testClaims())
	require.Equal(t, Expired, r)
	_, r, _ = m.CallerByToken(noon+3601, tokenHash(1))
	assert.Equal(t, Expired, r, "30 s back: the time used stands still")
	_, r, _ = m.CallerByToken(noon+100, tokenHash(1))
	assert.Equal(t, Admitted, r, "an hour back: the correction is followed")
}

// TestRevocationAppliesToCachedTokens guards against tokens that stay valid after a reload revokes them, because they
// are in the cache or bound to an open connection.
func TestRevocationAppliesToCachedTokens(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"its key":                 func(s *Settings) { s.Keys[0].State = Revoked },
		"its key is missing":      func(s *Settings) { s.Keys[0].ID = "k2" },
		"its ID":                  func(s *Settings) { s.Revoked.Tokens = []string{"j1"} },
		"its subject":             func(s *Settings) { s.Revoked.Subjects = []string{"till-4"} },
		"another key with its ID": func(s *Settings) { s.Keys[0].Fingerprint = "p2" },
	} {
		m, conn := newTestController(t), &Conn{Remote: clientAddr}
		_, r := m.AcceptVerified(noon, conn, tokenHash(1), "k1", "p1", testClaims())
		require.Equal(t, Admitted, r)
		require.True(t, m.BindToken(conn, tokenHash(1)))
		require.NoError(t, m.Reload(0, noon, testSettings(change)))
		_, r, known := m.CallerByToken(noon, tokenHash(1))
		assert.True(t, !known || r == BadToken, name)
		_, r = m.CallerByConn(noon, conn)
		assert.Equal(t, BadToken, r, "%s, on the connection it is bound to", name)
		_, r = m.AcceptVerified(noon, conn, tokenHash(1), "k1", "p1", testClaims())
		assert.Equal(t, BadToken, r, "%s, verified again", name)
	}
}

// TestCertificates guards against certificates that identify a wrong tenant or are accepted outside their validity,
// and against connections that stay open with such a certificate.
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
		want   Rejection
	}{
		{"by its first matching name", nil, 0, "a", Admitted},
		{"by a wildcard", func(s *Settings) { s.NameMappings = []NameMapping{{"uri:spiffe://x/till/*", "b"}} }, 0, "b", Admitted},
		{"by no matching name", func(s *Settings) { s.NameMappings = []NameMapping{{"uri:spiffe://x/till", "b"}, {"cn:t*x", "b"}} }, 0, "", UnknownCaller},
		{"29 s past its end", nil, 129, "a", Admitted},
		{"31 s past its end", nil, 131, "", BadCertificate},
		{"31 s before its begin", nil, -131, "", BadCertificate},
		{"revoked", func(s *Settings) { s.Revoked.Certificates = []Serial{{"i", "7f"}} }, 0, "", BadCertificate},
		{"another certificate of its issuer is revoked", func(s *Settings) { s.Revoked.Certificates = []Serial{{"i", "80"}} }, 0, "a", Admitted},
		{"its authority is not trusted", func(s *Settings) { s.Authorities = []string{"other"} }, 0, "", BadCertificate},
		{"its name is revoked", func(s *Settings) { s.Revoked.Subjects = []string{"uri:spiffe://x/till/4"} }, 0, "", UnknownCaller},
	} {
		named := func(s *Settings) {
			s.NameMappings, s.Authorities = []NameMapping{{"cn:till", "b"}, {"uri:spiffe://x/till/4", "a"}}, []string{"root"}
		}
		m, conn := newTestController(t, named), &Conn{Remote: clientAddr, Certificate: &cert}
		if tt.change != nil { // the connection was open before the change
			require.Equal(t, KeepOpen, m.ConnState(0, noon, conn))
			require.NoError(t, m.Reload(0, noon, testSettings(named, tt.change)))
		}
		c, r := m.CallerByConn(noon+tt.wall, conn)
		assert.Equal(t, []any{tt.tenant, tt.want}, []any{c.Tenant(), r}, tt.name)
		states := map[bool][]ConnState{false: {KeepOpen, KeepOpen}, true: {Draining, CloseNow}}[r == BadCertificate]
		assert.Equal(t, states, []ConnState{m.ConnState(0, noon+tt.wall, conn), m.ConnState(1000, noon+tt.wall, conn)}, tt.name)
	}
}

// TestConnectionClosesBeforeWindowEnds guards against a connection that is still open when the window after its
// certificate's end is over.
func TestConnectionClosesBeforeWindowEnds(t *testing.T) {
	m, conn := newTestController(t), &Conn{Certificate: &Certificate{Until: noon - 100}}
	for i, now := range []float64{50, 51.4, 51.6} {
		assert.Equal(t, []ConnState{Draining, Draining, CloseNow}[i], m.ConnState(now, noon, conn), now)
	}
}

// TestSignatureChecksAreBounded guards against floods of forged tokens that use up all signature checks, so that
// connections which have proven a caller get none.
func TestSignatureChecksAreBounded(t *testing.T) {
	m := newTestController(t, func(s *Settings) { s.Limits.ChecksPerSecond, s.Limits.ChecksPerConn, s.Limits.CheckBurst = 100, 10, 5 })
	assert.Equal(t, BadToken, m.AllowCheck(0, noon, &Conn{}, "k9", "EdDSA"), "an unknown key costs no check")
	assert.Equal(t, BadToken, m.AllowCheck(0, noon, &Conn{}, "k1", "HS256"), "nor does a wrong algorithm")
	count := func(conns []*Conn, tries int) int {
		i := 0
		return countAdmitted(func() Rejection { i++; return m.AllowCheck(0, noon, conns[i%len(conns)], "k1", "EdDSA") }, tries)
	}
	fresh := make([]*Conn, 100)
	for i := range fresh {
		fresh[i] = &Conn{}
	}
	assert.Equal(t, 5, count([]*Conn{{}}, 100), "from one connection")
	assert.Equal(t, 45, count(fresh, 1000), "from any number of connections that have proven no caller")
	known := &Conn{}
	_, r := m.AcceptVerified(noon, known, tokenHash(1), "k1", "p1", testClaims())
	require.Equal(t, Admitted, r)
	assert.Equal(t, 5, count([]*Conn{known}, 100), "a connection that has proven a caller still gets checks")
	assert.Equal(t, TooManyChecks, m.AllowCheck(0, noon, &Conn{}, "k1", "EdDSA"))
	assert.Equal(t, Admitted, m.AllowCheck(1, noon, known, "k1", "EdDSA"), "a second later")
}

// TestDistinctTokensDoNotEvictReusedTokens guards against a flood of valid tokens, each used once, that evicts the
// tokens which callers use again.
func TestDistinctTokensDoNotEvictReusedTokens(t *testing.T) {
	m := newTestController(t, func(s *Settings) { s.Limits.Tokens = 100 })
	conn := &Conn{}
	for i := range 50 { // tokens that are used again
		m.AcceptVerified(noon, conn, tokenHash(i), "k1", "p1", testClaims())
		_, _, known := m.CallerByToken(noon, tokenHash(i))
		require.True(t, known)
	}
	for i := range 10000 {
		m.AcceptVerified(noon, conn, tokenHash(1000+i), "k1", "p1", testClaims())
	}
	assert.LessOrEqual(t, len(m.tokens.byHash), 100)
	assert.Equal(t, len(m.tokens.byHash), m.tokens.once.Len()+m.tokens.reused.Len())
	for i := range 50 {
		_, _, known := m.CallerByToken(noon, tokenHash(i))
		assert.True(t, known, i)
	}
}

// TestInvalidSettingsAreRejected guards against invalid settings that replace the ones in force.
func TestInvalidSettingsAreRejected(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"a key ID used twice":                     func(s *Settings) { s.Keys = append(s.Keys, s.Keys[0]) },
		"no keys":                                 func(s *Settings) { s.Keys = nil },
		"a key that is never valid":               func(s *Settings) { s.Keys[0].From, s.Keys[0].Until = 2, 1 },
		"a tenant name used twice":                func(s *Settings) { s.Tenants = append(s.Tenants, s.Tenants[0]) },
		"a role that does not exist":              func(s *Settings) { s.Tenants[0].Roles = []string{"none"} },
		"a name mapped to no tenant":              func(s *Settings) { s.NameMappings = []NameMapping{{"cn:x", "none"}} },
		"an anonymous tenant that does not exist": func(s *Settings) { s.AnonymousTenant = "none" },
		"a table of size 0":                       func(s *Settings) { s.Limits.Tokens = 0 },
	} {
		m := newTestController(t)
		assert.Error(t, m.Reload(0, noon, testSettings(change)), name)
		_, r := verify(m, noon, testClaims())
		assert.Equal(t, Admitted, r, "%s: the old settings stay in force", name)
	}
	assert.NoError(t, newTestController(t).Reload(0, noon, testSettings(func(s *Settings) { s.Keys, s.AllowNoKeys = nil, true })), "no keys, as intended")
}

// admitOnce lets a tenant's caller send one GET.
func admitOnce(m *Controller, now float64, tenant, name string) (Ticket, Rejection) {
	t, r, _ := m.Admit(now, Caller{m.tenants[tenant], name}, clientAddr, GET{})
	return t, r
}

// TestQuotas guards against quotas that admit more or less than configured, and against one tenant's usage that counts
// against another.
func TestQuotas(t *testing.T) {
	rate := func(s Quota) func(*Settings) { return func(set *Settings) { set.Tenants[0].Quota = s } }
	caller := func(s Quota) func(*Settings) { return func(set *Settings) { set.Tenants[0].CallerQuota = s } }
	for _, tt := range []struct {
		name  string
		quota func(*Settings)
		send  func(m *Controller) int
		want  int
	}{
		{"a burst at once", rate(Quota{Rate: 10, Burst: 4}), func(m *Controller) int { return admitMany(m, 0, 100, true) }, 4},
		{"the rate over ten seconds", rate(Quota{Rate: 10, Burst: 4}), func(m *Controller) int { return admitMany(m, 10, 1000, true) }, 103},
		{"GETs that never ran are not charged", rate(Quota{Rate: 10, Burst: 4}), func(m *Controller) int { return admitMany(m, 0, 100, false) }, 100},
		{"GETs in flight", rate(Quota{MaxInFlight: 7}), func(m *Controller) int {
			return countAdmitted(func() Rejection { _, r := admitOnce(m, 0, "a", "x"); return r }, 100)
		}, 7},
		{"one caller's quota", caller(Quota{Rate: 1, Burst: 3}), func(m *Controller) int { return admitMany(m, 0, 100, true) }, 3},
		{"each caller has its own quota", caller(Quota{Rate: 1, Burst: 3}), func(m *Controller) int {
			n := 0
			for i := range 10 {
				n += countAdmitted(func() Rejection { _, r := admitOnce(m, 0, "a", fmt.Sprint(i)); return r }, 5)
			}
			return n
		}, 30},
	} {
		m := newTestController(t, tt.quota)
		assert.Equal(t, tt.want, tt.send(m), tt.name)
		assert.Equal(t, 50, countAdmitted(func() Rejection { _, r := admitOnce(m, 0, "b", "x"); return r }, 50), "%s: the other tenant", tt.name)
	}
}

// admitMany sends n GETs of tenant a, spread over span seconds from 0 on, and settles each at once. It returns the
// number admitted.
func admitMany(m *Controller, span float64, n int, ran bool) (through int) {
	for i := range n {
		now := span * float64(i) / float64(n)
		through += admitAndEnd(m, now, "a", "x", ran)
	}
	return through
}

// admitAndEnd sends one GET of a caller and settles it at once. It returns 1 if the GET was admitted.
func admitAndEnd(m *Controller, now float64, tenant, name string, ran bool) int {
	ticket, r := admitOnce(m, now, tenant, name)
	if r != Admitted {
		return 0
	}
	m.End(now, ticket, ran, !ran)
	return 1
}

// countAdmitted calls ask n times and counts the GETs admitted.
func countAdmitted(ask func() Rejection, n int) (through int) {
	for range n {
		if ask() == Admitted {
			through++
		}
	}
	return through
}

// simulateLoad sends GETs of two tenants at the given rates (GETs per second) to a service with a capacity in GETs per
// second. Like core/routing, the service sheds the rest and reports that with a delay. It returns the numbers of GETs
// served and sent after the first quarter, by tenant.
func simulateLoad(m *Controller, capacity, seconds float64, rates map[string]float64, callersOf map[string]int) (served, asked map[string]float64) {
	const step = 0.002
	served, asked = map[string]float64{}, map[string]float64{}
	rng, fractions, tokens := rand.New(rand.NewPCG(1, 2)), map[string]float64{}, 0.0
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
		tokens = math.Min(capacity*0.02, tokens+capacity*step)
		for _, name := range arrivals(rng, names, fractions, rates, step) {
			late := now > seconds/4 // the level settles in the first quarter
			if late {
				asked[name]++
			}
			ticket, r := admitOnce(m, now, name, fmt.Sprint(rng.IntN(max(1, callersOf[name]))))
			if r != Admitted {
				continue
			}
			shed := tokens < 1
			if !shed {
				tokens--
				if late {
					served[name]++
				}
			}
			ends = append(ends, end{now + 0.05, ticket, shed})
		}
	}
	return served, asked
}

// arrivals returns the tenants of the GETs of one step in random order. The map fractions keeps each tenant's part of
// a GET that is left over.
func arrivals(rng *rand.Rand, names []string, fractions, rates map[string]float64, step float64) (all []string) {
	for _, name := range names {
		for fractions[name] += rates[name] * step; fractions[name] >= 1; fractions[name]-- {
			all = append(all, name)
		}
	}
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

// TestFloodingTenantDoesNotStarveOthers guards against a tenant that sends far more than its part under pressure and
// takes the others' part, and against capacity left unused.
func TestFloodingTenantDoesNotStarveOthers(t *testing.T) {
	for _, tt := range []struct {
		name                  string
		weightOfA             float64
		a, b                  float64 // GETs per second, of a capacity of 1000
		minServedA, maxUnused float64 // least share of a's GETs that are served; largest share of the capacity left unused
	}{
		{"20 times its part beside a tenant at half of its part", 1, 250, 10000, 0.98, 0.05},
		{"the same, with three times the weight", 3, 375, 5000, 0.98, 0.05},
		{"both send more than the capacity", 1, 3000, 9000, 0.15, 0.05}, // half of 1000, less the swing of the level
		{"a single tenant gets everything", 1, 0, 5000, 0, 0.05},
		{"nobody floods", 1, 300, 500, 1, 1},
	} {
		m := newTestController(t, func(s *Settings) { s.Tenants[0].Quota.Weight = tt.weightOfA })
		served, asked := simulateLoad(m, 1000, 20, map[string]float64{"a": tt.a, "b": tt.b}, nil)
		if tt.a > 0 {
			assert.GreaterOrEqual(t, served["a"]/asked["a"], tt.minServedA, tt.name)
		}
		used := (served["a"] + served["b"]) / (1000 * 15)
		assert.GreaterOrEqual(t, used, 1-tt.maxUnused, tt.name)
		t.Logf("%s: a gets %.3f of what it sends, b %.3f; %.3f of the capacity used", tt.name, served["a"]/math.Max(1, asked["a"]), served["b"]/asked["b"], used)
	}
}

// TestFairLevelIsOffWithoutPressure guards against a fair level that limits tenants while nothing is shed, or that
// stays on after the pressure has ended.
func TestFairLevelIsOffWithoutPressure(t *testing.T) {
	m := newTestController(t)
	served, asked := simulateLoad(m, 1e9, 5, map[string]float64{"a": 100, "b": 50000}, nil)
	assert.Equal(t, asked, served)
	assert.True(t, math.IsInf(m.FairLevel(), 1))
	m = newTestController(t)
	simulateLoad(m, 100, 5, map[string]float64{"a": 100, "b": 5000}, nil)
	assert.False(t, math.IsInf(m.FairLevel(), 1))
	for now := 5.0; now < 60; now += 0.1 {
		admitAndEnd(m, now, "a", "x", true)
	}
	assert.True(t, math.IsInf(m.FairLevel(), 1), "the level is disabled once it limits nobody")
}

// TestFloodingCallerDoesNotStarveItsTenant guards against one caller that sends far more than its part and takes its
// tenant's whole quota from the other callers.
func TestFloodingCallerDoesNotStarveItsTenant(t *testing.T) {
	m, quiet, flood := newTestController(t, func(s *Settings) { s.Tenants[0].Quota = Quota{Rate: 100, Burst: 20} }), 0, 0
	for i := range 20000 { // a thousand per second
		now := float64(i) / 1000
		flood += admitAndEnd(m, now, "a", "floods", true)
		if i%50 == 0 { // twenty per second, where an equal part is fifty
			quiet += admitAndEnd(m, now, "a", "quiet", true)
		}
	}
	assert.GreaterOrEqual(t, quiet, 380, "of 400")
	assert.GreaterOrEqual(t, quiet+flood, 1800, "of 2000")
}

// TestManyTenantsShareRightsAndTableStaysBounded guards against memory that grows with callers beyond the limit, or
// with one index of rights for each tenant.
func TestManyTenantsShareRightsAndTableStaysBounded(t *testing.T) {
	m := newTestController(t, func(s *Settings) {
		s.Limits.Callers = 100
		for i := range 10000 {
			s.Tenants = append(s.Tenants, Tenant{Name: fmt.Sprint("t", i), Roles: []string{"all"}, Quota: Quota{Rate: 1, Burst: 1}})
		}
	})
	for i := range 10000 {
		require.Equal(t, 1, admitAndEnd(m, float64(i)/1000, fmt.Sprint("t", i), "x", true))
	}
	assert.Equal(t, 100, m.callers.order.Len())
	assert.Len(t, m.callers.byKey, 100)
	assert.Same(t, m.tenants["t1"].rights, m.tenants["t2"].rights, "one index for all tenants with the same roles")
}

// requireAdmit sends a GET of a caller of tenant a and requires this result.
func requireAdmit(t *testing.T, m *Controller, name string, want Rejection, why ...any) Ticket {
	ticket, r := admitOnce(m, 0, "a", name)
	require.Equal(t, want, r, why...)
	return ticket
}

// TestCallerWithInFlightGETsIsNotEvicted guards against a caller that escapes its in-flight limit because its account
// was evicted while its GETs were in flight.
func TestCallerWithInFlightGETsIsNotEvicted(t *testing.T) {
	m := newTestController(t, func(s *Settings) { s.Limits.Callers = 4; s.Tenants[0].CallerQuota.MaxInFlight = 1 })
	for i := range 4 {
		requireAdmit(t, m, fmt.Sprint(i), Admitted)
	}
	ticket := requireAdmit(t, m, "more", Admitted, "the table is full: the account is temporary")
	m.End(0, ticket, true, false)
	requireAdmit(t, m, "0", QuotaExceeded)
	assert.Equal(t, 4, m.callers.order.Len())
}

// TestReloadKeepsUsageAndInFlight guards against a reload that resets usage or loses GETs in flight.
func TestReloadKeepsUsageAndInFlight(t *testing.T) {
	bounded := func(s *Settings) { s.Tenants[0].Quota = Quota{Rate: 1, Burst: 5, MaxInFlight: 2} }
	m := newTestController(t, bounded)
	first := requireAdmit(t, m, "x", Admitted)
	require.NoError(t, m.Reload(0, noon, testSettings(bounded, func(s *Settings) { s.Tenants[0].Quota.Burst = 3 })))
	requireAdmit(t, m, "x", Admitted)
	requireAdmit(t, m, "x", QuotaExceeded, "two are in flight")
	m.End(0, first, true, false)
	requireAdmit(t, m, "x", Admitted)
	require.NoError(t, m.Reload(0, noon, testSettings(func(s *Settings) { s.Tenants = s.Tenants[1:] })))
	m.End(0, first, true, false) // its tenant no longer exists
	requireAdmit(t, m, "x", UnknownCaller)
}

// keyHistory is the state of a key according to the test's own model.
type keyHistory struct {
	state         KeyState
	from, retired float64
}

// TestKeyStatesDecideTokens announces, activates, retires and revokes keys in random order while time passes, with
// reloads in between, and sends tokens of every age. Guards against tokens of a revoked key that are accepted, and
// tokens of an active key that are rejected.
func TestKeyStatesDecideTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configured, reloaded := map[string]keyHistory{}, map[string]keyHistory{}
		current := func() Settings {
			return testSettings(func(s *Settings) {
				s.Keys, s.AllowNoKeys, s.RequiredClaims = nil, true, nil
				for _, id := range slices.Sorted(maps.Keys(configured)) {
					l := configured[id]
					s.Keys = append(s.Keys, Key{ID: id, Algorithm: "EdDSA", Fingerprint: id, State: l.state, From: l.from, RetiredAt: l.retired})
				}
			})
		}
		m, err := New(0, noon, current())
		require.NoError(t, err)
		wall, issued := noon, map[string][]float64{}
		key := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("k", rapid.IntRange(1, 3).Draw(t, "key")) })
		t.Repeat(map[string]func(*rapid.T){
			"time":     func(t *rapid.T) { wall += rapid.Float64Range(0, 100).Draw(t, "s") },
			"announce": func(t *rapid.T) { announceKey(configured, key.Draw(t, "id")) },
			"activate": func(t *rapid.T) { setKeyState(configured, key.Draw(t, "id"), Active, wall) },
			"retire":   func(t *rapid.T) { setKeyState(configured, key.Draw(t, "id"), Retiring, wall) },
			"revoke":   func(t *rapid.T) { setKeyState(configured, key.Draw(t, "id"), Revoked, wall) },
			"reload": func(t *rapid.T) {
				require.NoError(t, m.Reload(0, wall, current()))
				reloaded = maps.Clone(configured)
			},
			"ask": func(t *rapid.T) {
				id := key.Draw(t, "id")
				if l, ok := configured[id]; ok && l.state == Active {
					issued[id] = append(issued[id], wall) // only active keys sign
				}
				for i, iat := range issued[id] {
					c := testClaims(func(c *Claims) { c.IssuedAt, c.Expiry, c.ID = iat, 0, fmt.Sprint(i) })
					token := TokenHash{id[1], byte(i), byte(i >> 8)}
					_, r, known := m.CallerByToken(wall, token)
					if !known {
						_, r = m.AcceptVerified(wall, &Conn{}, token, id, id, c)
					}
					want := expectedResult(reloaded, id, iat)
					if want != nil && (r == Admitted) != *want {
						t.Fatalf("key %s %+v, issued %v s ago: %v", id, reloaded[id], wall-iat, r)
					}
				}
			},
		})
	})
}

// announceKey adds a key to the model if it is new.
func announceKey(all map[string]keyHistory, id string) {
	if _, ok := all[id]; !ok {
		all[id] = keyHistory{state: Announced}
	}
}

// setKeyState moves a key of the model to a later state; it never goes back.
func setKeyState(all map[string]keyHistory, id string, to KeyState, wall float64) {
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

// expectedResult returns whether a token without expiry must be accepted, or nil within the skew, where both results
// are right.
func expectedResult(reloaded map[string]keyHistory, id string, iat float64) *bool {
	l, ok := reloaded[id]
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

// TestQuotaAccountingInvariants lets two tenants' callers send and end GETs, with reloads, in random order. Guards
// against usage that exceeds a limit, and against GETs in flight that are not counted exactly once.
func TestQuotaAccountingInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota := rapid.Custom(func(t *rapid.T) Quota {
			return Quota{
				Rate: rapid.SampledFrom([]float64{0, 0.5, 20}).Draw(t, "rate"), Burst: float64(rapid.IntRange(1, 9).Draw(t, "burst")),
				MaxInFlight: rapid.IntRange(0, 5).Draw(t, "most"), Weight: rapid.SampledFrom([]float64{0, 1, 7}).Draw(t, "weight"),
			}
		})
		s := testSettings(func(s *Settings) {
			s.Limits.Callers = rapid.IntRange(1, 3).Draw(t, "callers")
			for i := range s.Tenants {
				s.Tenants[i].Quota, s.Tenants[i].CallerQuota = quota.Draw(t, "share"), quota.Draw(t, "caller")
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
				if ticket, r := admitOnce(m, now, name, fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "caller"))); r == Admitted {
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
				for _, configured := range s.Tenants {
					a := &m.tenants[configured.Name].account
					require.False(t, a.inFlight != len(open[configured.Name]) || configured.Quota.MaxInFlight > 0 && a.inFlight > configured.Quota.MaxInFlight, "tenant %s: %d in flight by its account, %d by the test; at most %d", configured.Name, a.inFlight, len(open[configured.Name]), configured.Quota.MaxInFlight)
					r := configured.Quota.Rate
					require.False(t, r > 0 && charged[configured.Name] > configured.Quota.Burst+r*now+1e-6, "tenant %s: %v GETs charged in %v s", configured.Name, charged[configured.Name], now)
				}
				require.False(t, m.callers.order.Len() != len(m.callers.byKey) || len(m.callers.byKey) > s.Limits.Callers || m.fair.limit < minLevel || math.IsNaN(m.fair.limit), "%d callers of %d, level %v", len(m.callers.byKey), s.Limits.Callers, m.fair.limit)
			},
		})
	})
}

// TestRights guards against rules that are applied in a wrong order of precedence or with a condition left out.
func TestRights(t *testing.T) {
	const objectID = 0x7f3a9c21e0b4d655
	all, none := Rule{}, Rule{Deny: true}
	under := func(digits int, r Rule) Rule { r.Objects = []Prefix{Prefix{objectID, 16}.cut(digits)}; return r }
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
		{"a denial comes before an allowance of the same object", []Rule{all, none}, GET{}, "10.1.1.1", false},
		{"one object allowed among denied ones", []Rule{none, under(16, all)}, GET{Object: objectID}, "10.1.1.1", true},
		{"another object stays denied", []Rule{none, under(16, all)}, GET{Object: objectID + 1}, "10.1.1.1", false},
		{"a longer prefix comes before a shorter one", []Rule{under(4, none), under(8, all)}, GET{Object: objectID}, "10.1.1.1", true},
		{"beside the longer prefix", []Rule{under(4, none), under(8, all)}, GET{Object: objectID ^ 1<<32}, "10.1.1.1", false},
		{"a longer prefix whose conditions do not match is ignored", []Rule{under(4, none), under(8, service(3, all))}, GET{Object: objectID, Service: 2}, "10.1.1.1", false},
		{"a delivery service", []Rule{service(3, all)}, GET{Service: 3}, "10.1.1.1", true},
		{"the last delivery service", []Rule{service(63, all)}, GET{Service: 63}, "10.1.1.1", true},
		{"a group", []Rule{group(255, all)}, GET{Group: 255}, "10.1.1.1", true},
		{"another group", []Rule{group(255, all)}, GET{Group: 191}, "10.1.1.1", false},
		{"a network", []Rule{inside(all)}, GET{}, "10.9.9.9", true},
		{"outside the network", []Rule{inside(all)}, GET{}, "11.9.9.9", false},
		{"a network, then any", []Rule{inside(all), all}, GET{}, "11.9.9.9", true},
		{"any, then a network", []Rule{all, inside(all)}, GET{}, "11.9.9.9", true},
		{"a network denied, all others allowed", []Rule{all, inside(none)}, GET{}, "10.9.9.9", false},
	} {
		assert.Equal(t, tt.want, newRights(tt.rules).allow(tt.get, netip.MustParseAddr(tt.from)), tt.name)
	}
}

// scanRules evaluates rights rule by rule, as a reference for the index.
func scanRules(rules []Rule, g GET, from netip.Addr) bool {
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

// TestRightsIndexMatchesScan compares the index of rights with a scan of random rules. Guards against an index that
// decides differently from the documented order of precedence.
func TestRightsIndexMatchesScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		object := rapid.Custom(func(t *rapid.T) uint64 { // few values, so that prefixes overlap
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
		got, want := newRights(rules).allow(g, from), scanRules(rules, g, from)
		require.Equal(t, want, got, "the index returned %v, the scan %v", got, want)
	})
}

// BenchmarkRights measures the cost of a GET with the index and with a scan, and the memory that each rule takes in
// the index.
func BenchmarkRights(b *testing.B) {
	for _, shape := range [][2]int{{10, 6}, {1000, 6}, {100000, 6}, {100000, 16}} { // number of rules, number of prefix lengths
		n, lengths := shape[0], shape[1]
		rng, rules, gets := rand.New(rand.NewPCG(1, uint64(n))), make([]Rule, n), make([]GET, 1024)
		for i := range rules {
			p := Prefix{rng.Uint64(), 16}.cut(16 - rng.IntN(lengths))
			rules[i] = Rule{Objects: []Prefix{p}, Deny: rng.IntN(4) == 0, Services: []int{rng.IntN(3)}}
		}
		for i := range gets {
			gets[i] = GET{Service: rng.IntN(3), Object: rules[rng.IntN(n)].Objects[0].Bits | rng.Uint64()>>48}
		}
		before, index := need.Heap(), newRights(rules)
		size := (need.Heap() - before) / float64(n)
		scanned := func(g GET, from netip.Addr) bool { return scanRules(rules, g, from) }
		b.Logf("%d rules, %d lengths: %.0f B for each rule", n, lengths, size)
		for name, allow := range map[string]func(GET, netip.Addr) bool{"prefixes": index.allow, "scan": scanned} {
			need.Bench(b, fmt.Sprintf("%d-rules-%d-lengths/%s", n, lengths, name), func(i int) { allow(gets[i&1023], clientAddr) })
		}
	}
}

// BenchmarkAdmit measures the cost of a GET with a cached token that is admitted and settled.
func BenchmarkAdmit(b *testing.B) {
	m := newTestController(b, func(s *Settings) { s.Tenants[0].Quota = Quota{Rate: 1e9, Burst: 1e9, MaxInFlight: 1e6} })
	verify(m, noon, testClaims())
	need.Bench(b, "known", func(i int) {
		c, _, _ := m.CallerByToken(noon, tokenHash(1))
		t, _, _ := m.Admit(float64(i)*1e-5, c, clientAddr, GET{})
		m.End(float64(i)*1e-5, t, true, false)
	})
}

// BenchmarkTenants measures the memory that each tenant takes, and the cost of a GET when all tenants send in turn.
func BenchmarkTenants(b *testing.B) {
	for _, n := range []int{10, 100000} {
		names, before := make([]string, n), need.Heap()
		m := newTestController(b, func(s *Settings) {
			s.Tenants = nil
			for i := range names {
				names[i] = fmt.Sprint("tenant-", i)
				s.Tenants = append(s.Tenants, Tenant{Name: names[i], Roles: []string{"all"}, Quota: Quota{Rate: 1e6, Burst: 1e6}})
			}
		})
		taken := (need.Heap() - before) / float64(n)
		b.Logf("%d tenants: %.0f B for each tenant", n, taken)
		need.Bench(b, fmt.Sprint(n), func(i int) { admitAndEnd(m, float64(i)*1e-5, names[i%n], "x", true) })
	}
}
