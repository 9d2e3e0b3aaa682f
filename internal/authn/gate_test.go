package authn

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/admission"
	"elderwall/internal/call"
	"elderwall/internal/clock"
	"elderwall/internal/counters"
	"elderwall/internal/standin/need"
	"elderwall/internal/token"
)

const noon = 1764590400.0 // Unix s

// newGate is one with a tenant that may have everything, whose wall clock is the test's.
func newGate(t testing.TB, wall *float64, keys ...*token.Key) *Gate {
	g := &Gate{Clock: clock.New(), Wall: func() float64 { return *wall }, Log: zerolog.Nop(), Counts: &counters.Counters{}}
	take(t, g, keys...)
	return g
}

func take(t testing.TB, g *Gate, keys ...*token.Key) {
	s := admission.Defaults()
	s.Limits.ChecksPerSecond, s.Limits.ChecksPerConn, s.Limits.CheckBurst = 100, 20, 10
	s.Tenants = []admission.Tenant{{Name: "a", Rules: []admission.Rule{{}}}}
	by := map[string]*token.Key{}
	for _, k := range keys {
		s.Keys = append(s.Keys, k.Key)
		by[k.ID] = k.Public()
	}
	require.NoError(t, g.Take(s, by))
}

func key(t testing.TB, id, algorithm string) *token.Key {
	k := need.Of(token.NewKey(id, algorithm))(t)
	k.State = admission.Active
	return k
}

func sign(t testing.TB, k *token.Key, subject string) string {
	return need.Of(k.Sign(admission.Claims{Subject: subject, Tenant: "a", IssuedAt: noon, Expiry: noon + 60}))(t)
}

func ask(g *Gate, c *admission.Conn, text string) admission.Rejection {
	t, r, _ := g.Admit(call.GET{Object: "7f3a9c21e0b4d655", Token: text, Conn: c}, 0)
	if r == admission.Admitted {
		g.End(t, true, false)
	}
	return r
}

func TestFloodsOfTokens(t *testing.T) {
	wall, k, rsa := noon, key(t, "k1", "EdDSA"), key(t, "k2", "RS256")
	good := sign(t, k, "till")
	forged := strings.Replace(good, good[len(good)-20:], "AAAAAAAAAAAAAAAAAAAA", 1)
	for _, tt := range []struct {
		name   string
		text   func(i int) string
		checks int64 // at most, in the second that the flood lasts at most
	}{
		{"new key ids", func(i int) string { return sign(t, key(t, fmt.Sprint("x", i), "EdDSA"), "till") }, 0},
		{"long ones", func(int) string { return strings.Repeat("A.", 1<<19) }, 0},
		{"bad signatures", func(int) string { return forged }, 11},
		{"valid ones that all differ", func(i int) string { return sign(t, k, fmt.Sprint(i)) }, 11},
	} {
		g, flooding, other := newGate(t, &wall, k, rsa), &admission.Conn{}, &admission.Conn{}
		require.Equal(t, admission.Admitted, ask(g, other, good), tt.name)
		before, began := g.Counts.SignatureChecks.Load(), time.Now()
		for i := range 300 {
			ask(g, flooding, tt.text(i))
		}
		most := tt.checks + int64(20*time.Since(began).Seconds())
		assert.LessOrEqual(t, g.Counts.SignatureChecks.Load()-before, most, tt.name)
		assert.Equal(t, admission.Admitted, ask(g, other, good), "%s: the other caller goes on", tt.name)
		assert.Equal(t, admission.Admitted, ask(g, other, sign(t, k, "new")), "%s: with another token too", tt.name)
	}
}

// A token that ends while its GET is under way keeps its GET: it is judged when it comes.
func TestATokenThatEndsWhileItsGETIsUnderWay(t *testing.T) {
	wall, k := noon, key(t, "k1", "EdDSA")
	g, conn := newGate(t, &wall, k), &admission.Conn{}
	in := call.GET{Object: "7f3a9c21e0b4d655", Token: sign(t, k, "till"), Conn: conn}
	ticket, r, _ := g.Admit(in, 0)
	require.Equal(t, admission.Admitted, r)
	wall += 60 + 31
	_, r, _ = g.Admit(in, 0)
	assert.Equal(t, admission.Expired, r, "a new one is refused")
	take(t, g, key(t, "k9", "EdDSA")) // and its key goes too
	g.End(ticket, true, false)
	assert.Equal(t, "token", g.Identify(conn, in.Token))
}

func TestAKeyThatChangesWhileASignatureIsChecked(t *testing.T) {
	wall, k := noon, key(t, "k1", "EdDSA")
	g, conn := newGate(t, &wall, k), &admission.Conn{}
	text := sign(t, k, "till")
	require.Equal(t, admission.Admitted, ask(g, conn, text))
	other := key(t, "k1", "EdDSA") // of the same id
	take(t, g, other)
	assert.Equal(t, admission.BadToken, ask(g, conn, text), "what the old key signed counts no more")
	assert.Equal(t, admission.Admitted, ask(g, conn, sign(t, other, "till")))
}

func BenchmarkAdmit(b *testing.B) {
	wall, k := noon, key(b, "k1", "EdDSA")
	g, conn, text := newGate(b, &wall, k), &admission.Conn{}, sign(b, k, "till")
	need.Bench(b, "known", func(int) { ask(g, conn, text) })
}

// shares is a fleet's budget with so many places.
type shares struct{ left, out int }

func (s *shares) Spend(use string) ([]string, bool) {
	if use != "tenant:a" {
		return nil, true
	}
	if s.left == 0 {
		return nil, false
	}
	s.left--
	s.out++
	return []string{"a"}, true
}

func (s *shares) Spent(of []string) { s.left += len(of); s.out -= len(of) }

// What the fleet lets a tenant have is asked last, and given back with the GET; what it turns away is charged nowhere.
func TestTheFleetsBudgetOfATenant(t *testing.T) {
	wall, k := noon, key(t, "k1", "EdDSA")
	g, conn, left := newGate(t, &wall, k), &admission.Conn{}, &shares{left: 1}
	g.Fleet = left
	get := call.GET{Object: "7f3a9c21e0b4d655", Token: sign(t, k, "till"), Conn: conn}
	first, r, _ := g.Admit(get, 0)
	require.Equal(t, admission.Admitted, r)
	for range 3 {
		_, r, wait := g.Admit(get, 0)
		assert.Equal(t, admission.FleetQuotaExceeded, r)
		assert.True(t, r.Shed())
		assert.Equal(t, "fleet", r.String())
		assert.Positive(t, wait)
	}
	assert.EqualValues(t, 3, g.Counts.OverFleet.Load())
	g.End(first, true, false)
	assert.Equal(t, shares{left: 1}, *left)
	assert.Equal(t, admission.Admitted, ask(g, conn, get.Token))
	assert.Equal(t, shares{left: 1}, *left)
}
