package admission

import (
	"math"
	"slices"
	"strings"
)

// KeyState is where a key stands in its life.
type KeyState int

// The states. Announced and active keys differ by when they begin: an announced one is known, so that its first
// tokens find it, and counts from its begin on. A retiring key keeps what it signed before it retired.
const (
	Announced KeyState = iota
	Active
	Retiring
	Revoked
)

// Key is one that signs tokens. Its material stands elsewhere.
type Key struct {
	ID        string
	Algorithm string // the only one by which it signs
	Print     string // of its material
	State     KeyState
	From      float64  // Unix s; 0 for always, but an announced key with none counts not yet
	Until     float64  // Unix s; 0 for no end
	RetiredAt float64  // Unix s; a retiring key signed nothing after it, 0 where that is not known
	Issuer    string   // that its tokens must name, "" for any
	Tenants   []string // for which it may speak; none means all
}

// open tells whether the key counts at a time.
func (k *Key) open(wall, skew float64) bool {
	if k.State == Announced && k.From == 0 {
		return false
	}
	return wall >= k.From-skew && (k.Until == 0 || wall <= k.Until+skew)
}

// signs tells whether a key may have signed a token made at iat, 0 where that is not told.
func (k *Key) signs(iat, skew float64) bool {
	return k.State != Retiring || k.RetiredAt == 0 || iat != 0 && iat <= k.RetiredAt+skew
}

// Claims is what a token says (RFC 7519, section 4.1). Moments are Unix seconds, 0 where they are not told.
type Claims struct {
	Issuer, Subject, ID, Tenant string
	Audience                    []string
	IssuedAt, NotBefore, Expiry float64
}

// The claims that Settings.Require may name.
var required = map[string]func(Claims) bool{
	"exp": func(c Claims) bool { return c.Expiry > 0 },
	"nbf": func(c Claims) bool { return c.NotBefore > 0 },
	"iat": func(c Claims) bool { return c.IssuedAt > 0 },
	"iss": func(c Claims) bool { return c.Issuer != "" },
	"sub": func(c Claims) bool { return c.Subject != "" },
	"jti": func(c Claims) bool { return c.ID != "" },
}

// Requirable tells whether a claim can be required.
func Requirable(claim string) bool { return required[claim] != nil }

// Revocations names what no longer counts, whatever its own time.
type Revocations struct {
	Tokens       []string // by jti
	Subjects     []string
	Certificates []Serial
}

// Serial names a certificate: the sum of its issuer's name, and its number in hex.
type Serial struct{ Issuer, Number string }

type revoked struct {
	tokens, subjects map[string]bool
	certificates     map[Serial]bool
}

func newRevoked(r Revocations) revoked {
	return revoked{set(r.Tokens), set(r.Subjects), set(r.Certificates)}
}

func set[T comparable](all []T) map[T]bool {
	s := make(map[T]bool, len(all))
	for _, v := range all {
		s[v] = true
	}
	return s
}

// judge names the caller of a token whose signature is right.
func (m *Module) judge(wall float64, v *verdict) (Caller, Refusal) {
	if v.gen != m.gen {
		v.gen, v.tenant, v.fault = m.gen, nil, Passed
		m.resolve(v)
	}
	skew, c := m.s.Skew, &v.claims
	switch {
	case v.fault != Passed:
		return Caller{}, v.fault
	case !v.key.open(wall, skew):
		return Caller{}, BadToken
	case wall > v.end+skew || wall < math.Max(c.NotBefore, c.IssuedAt)-skew:
		return Caller{}, Ended
	}
	return Caller{v.tenant, c.Subject}, Passed
}

// resolve judges a token by all that only settings change.
func (m *Module) resolve(v *verdict) {
	k, c := m.keys[v.key.ID], &v.claims
	if k == nil || k.Print != v.key.Print || k.State == Revoked || !k.signs(c.IssuedAt, m.s.Skew) || !m.fitting(k, c) {
		v.fault = BadToken
		return
	}
	v.key, v.end = k, math.Inf(1)
	if c.Expiry > 0 {
		v.end = c.Expiry
	}
	if m.s.MostLife > 0 && c.IssuedAt > 0 {
		v.end = math.Min(v.end, c.IssuedAt+m.s.MostLife)
	}
	if m.revoked.tokens[c.ID] || m.revoked.subjects[c.Subject] {
		v.fault = BadToken
	} else if v.tenant = m.tenants[c.Tenant]; v.tenant == nil {
		v.fault = Nobody
	}
}

// fitting tells whether a token says what settings and its key ask for.
func (m *Module) fitting(k *Key, c *Claims) bool {
	for _, name := range m.s.Require {
		if !required[name](*c) {
			return false
		}
	}
	return (m.s.Audience == "" || slices.Contains(c.Audience, m.s.Audience)) &&
		(k.Issuer == "" || c.Issuer == k.Issuer) && (len(k.Tenants) == 0 || slices.Contains(k.Tenants, c.Tenant)) &&
		(m.s.MostLife == 0 || c.IssuedAt > 0)
}

// Certificate is a client's, verified in the handshake.
type Certificate struct {
	Serial
	Names       []string // "uri:…", "dns:…" and "cn:…", in the order in which they count
	From, Until float64  // Unix s
	Authorities []string // prints of the authorities of the chains that it was verified by
}

// Name maps a certificate's name to a tenant. One that ends in "*" fits all that begin alike; "dns:*." fits one
// label more.
type Name struct{ Name, Tenant string }

type names struct {
	exact map[string]string
	wild  []Name
}

func newNames(all []Name) names {
	n := names{exact: map[string]string{}}
	for _, told := range all {
		switch _, there := n.exact[told.Name]; {
		case strings.Contains(told.Name, "*"):
			n.wild = append(n.wild, told)
		case !there:
			n.exact[told.Name] = told.Tenant
		}
	}
	return n
}

func (n names) find(name string) (tenant string, ok bool) {
	if tenant, ok = n.exact[name]; ok {
		return tenant, true
	}
	for _, w := range n.wild {
		if start, end, _ := strings.Cut(w.Name, "*"); strings.HasPrefix(name, start) &&
			len(name) > len(start)+len(end) && strings.HasSuffix(name, end) &&
			(end == "" || !strings.Contains(name[len(start):len(name)-len(end)], ".")) {
			return w.Tenant, true
		}
	}
	return "", false
}

// byCertificate names the caller of a connection by its certificate, which is judged anew by each GET.
func (m *Module) byCertificate(wall float64, c *Conn) (Caller, Refusal) {
	cert := c.Certificate
	if wall > cert.Until+m.s.Skew || wall < cert.From-m.s.Skew || m.revoked.certificates[cert.Serial] ||
		!slices.ContainsFunc(cert.Authorities, func(fingerprint string) bool { return m.trusted[fingerprint] }) {
		return Caller{}, BadCertificate
	}
	if c.gen != m.gen {
		c.gen, c.named, c.as = m.gen, nil, ""
		for _, name := range cert.Names {
			if tenant, ok := m.names.find(name); ok {
				c.named, c.as = m.tenants[tenant], name
				break
			}
		}
	}
	if c.named == nil || m.revoked.subjects[c.as] {
		return Caller{}, Nobody
	}
	return Caller{c.named, c.as}, Passed
}
