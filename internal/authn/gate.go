// Package authn is the stage that asks who is calling: it has tokens' signatures checked and calls on the module
// core/admission under a lock of its own. It decides nothing.
package authn

import (
	"crypto/sha256"
	"crypto/tls"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"elderwall/core/admission"
	"elderwall/core/cluster/quota"
	"elderwall/internal/call"
	"elderwall/internal/certs"
	"elderwall/internal/clock"
	"elderwall/internal/counters"
	"elderwall/internal/token"
)

// Fleet is what all dispatchers together let a tenant have.
type Fleet interface {
	// Spend takes one of each budget that a use has, if all have one.
	Spend(use string) (of []string, ok bool)
	// Spent ends what was taken.
	Spent(of []string)
}

const backFleet = 0.5 // s; by then more of a budget may have come here

// Gate asks who is calling.
type Gate struct {
	Clock  clock.Clock
	Wall   func() float64 // Unix seconds; nil is the system's clock
	Log    zerolog.Logger
	Counts *counters.Counters
	Fleet  Fleet // nil where tenants have no budgets of the whole fleet

	mu     sync.Mutex
	module *admission.Controller
	keys   map[string]*token.Key
	level  bool // a fair level holds
}

func (g *Gate) wall() float64 {
	if g.Wall != nil {
		return g.Wall()
	}
	return float64(time.Now().UnixMicro()) / 1e6
}

// Take puts settings and keys in force together; with an error the old ones stay.
func (g *Gate) Take(s admission.Settings, keys map[string]*token.Key) (err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.module == nil {
		g.module, err = admission.New(g.Clock.Now(), g.wall(), s)
	} else {
		err = g.module.Reload(g.Clock.Now(), g.wall(), s)
	}
	if err == nil {
		g.keys = keys
	}
	return err
}

// Connected takes a connection whose handshake is done.
func (g *Gate) Connected(remote netip.Addr, socket net.Conn) *admission.Conn {
	c := &admission.Conn{Remote: remote}
	if over, ok := socket.(*tls.Conn); ok {
		c.Certificate = certs.Facts(over.ConnectionState())
	}
	return c
}

// Identify takes a token for all GETs of a connection that bring none.
func (g *Gate) Identify(c *admission.Conn, text string) (reason string) {
	if _, refusal := g.byToken(c, text); refusal != admission.Admitted {
		return refusal.String()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.module.BindToken(c, sha256.Sum256([]byte(text))) {
		return admission.TooManyChecks.String()
	}
	return ""
}

// Standing tells whether a connection may stay.
func (g *Gate) Standing(c *admission.Conn) admission.ConnState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.module.ConnState(g.Clock.Now(), g.wall(), c)
}

// Admit says whether a GET is passed on, and with what End is to be called if so.
func (g *Gate) Admit(in call.GET, service int) (t admission.Ticket, r admission.Rejection, wait float64) {
	object, err := strconv.ParseUint(in.Object, 16, 64)
	if err != nil || in.Conn == nil {
		return t, admission.UnknownCaller, 0
	}
	var c admission.Caller
	if in.Token != "" {
		c, r = g.byToken(in.Conn, in.Token)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if in.Token == "" {
		c, r = g.module.CallerByConn(g.wall(), in.Conn)
	}
	if r == admission.Admitted {
		t, r, wait = g.module.Admit(g.Clock.Now(), c, in.Conn.Remote, admission.GET{Service: service, Object: object, Group: in.Group})
	}
	if r == admission.Admitted && g.Fleet != nil {
		var ok bool
		if t.Budgets, ok = g.Fleet.Spend(quota.UseTenant + c.Tenant()); !ok {
			g.module.End(g.Clock.Now(), t, false, false)
			t, r, wait = admission.Ticket{}, admission.FleetQuotaExceeded, backFleet
		}
	}
	g.count(r)
	return t, r, wait
}

// byToken names the caller of a token; its signature is checked unless that was done before.
func (g *Gate) byToken(conn *admission.Conn, text string) (admission.Caller, admission.Rejection) {
	if len(text) > token.Longest { // not even its sum is worth making
		return admission.Caller{}, admission.BadToken
	}
	sum := admission.TokenHash(sha256.Sum256([]byte(text)))
	g.mu.Lock()
	c, r, known := g.module.CallerByToken(g.wall(), sum)
	g.mu.Unlock()
	if known {
		return c, r
	}
	t, err := token.Parse(text)
	if err != nil {
		return admission.Caller{}, admission.BadToken
	}
	g.mu.Lock()
	r, k := g.module.AllowCheck(g.Clock.Now(), g.wall(), conn, t.KeyID, t.Algorithm), g.keys[t.KeyID]
	g.mu.Unlock()
	if r != admission.Admitted {
		return admission.Caller{}, r
	}
	g.Counts.SignatureChecks.Add(1)
	claims, err := t.Verify(k)
	if err != nil {
		return admission.Caller{}, admission.BadToken
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.module.AcceptVerified(g.wall(), conn, sum, k.ID, k.Fingerprint, claims)
}

// End settles a GET that was passed on.
func (g *Gate) End(t admission.Ticket, ran, shed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.module.End(g.Clock.Now(), t, ran, shed)
	if len(t.Budgets) > 0 {
		g.Fleet.Spent(t.Budgets)
	}
	g.tell()
}

// count books why a GET ended here.
func (g *Gate) count(r admission.Rejection) {
	switch r {
	case admission.Admitted:
	case admission.Denied:
		g.Counts.Denied.Add(1)
	case admission.QuotaExceeded:
		g.Counts.OverShare.Add(1)
	case admission.OverFairRate:
		g.Counts.OverLevel.Add(1)
	case admission.FleetQuotaExceeded:
		g.Counts.OverFleet.Add(1)
	case admission.TooManyChecks:
		g.Counts.Unchecked.Add(1)
	default:
		g.Counts.NotNamed.Add(1)
	}
	g.tell()
}

// tell logs when the fair level begins to hold, and when it is put off.
func (g *Gate) tell() {
	if level := g.module.FairLevel(); level < 1e300 != g.level {
		g.level = !g.level
		if g.level {
			g.Log.Info().Float64("level", level).Msg("under pressure, tenants are held to a fair level")
		} else {
			g.Log.Info().Msg("no tenant is held to a fair level any more")
		}
	}
}
