package admission

import (
	"math"
	"slices"
	"strings"
)

// KeyState is the state of a signing key.
type KeyState int

// The states in their order. An announced key is known but not valid before its From time, so that the first tokens it
// signs are accepted everywhere. Tokens that a retiring key signed before it retired stay valid.
const (
	Announced KeyState = iota
	Active
	Retiring
	Revoked
)

// Key describes a key that signs tokens. Its material is kept elsewhere.
type Key struct {
	ID          string
	Algorithm   string // the only algorithm that it signs with
	Fingerprint string // of its material
	State       KeyState
	From        float64  // Unix seconds; 0 for always, but an announced key with 0 is not valid yet
	Until       float64  // Unix seconds; 0 for no end
	RetiredAt   float64  // Unix seconds; a retiring key signed nothing later; 0 if unknown
	Issuer      string   // that its tokens must name, "" for any
	Tenants     []string // tenants whose tokens it may sign; empty for all
}

// validAt reports whether the key is valid at a time.
func (k *Key) validAt(wall, skew float64) bool {
	if k.State == Announced && k.From == 0 {
		return false
	}
	return wall >= k.From-skew && (k.Until == 0 || wall <= k.Until+skew)
}

// mayHaveSigned reports whether the key may have signed a token that was issued at iat; 0 if that is unknown.
func (k *Key) mayHaveSigned(iat, skew float64) bool {
	return k.State != Retiring || k.RetiredAt == 0 || iat != 0 && iat <= k.RetiredAt+skew
}

// Claims are the claims of a token (RFC 7519, section 4.1). Times are Unix seconds, 0 if absent.
type Claims struct {
	Issuer, Subject, ID, Tenant string
	Audience                    []string
	IssuedAt, NotBefore, Expiry float64
}

// claimPresent has, for each claim that Settings.RequiredClaims may name, a function that reports whether a token has
// it.
var claimPresent = map[string]func(Claims) bool{
	"exp": func(c Claims) bool { return c.Expiry > 0 },
	"nbf": func(c Claims) bool { return c.NotBefore > 0 },
	"iat": func(c Claims) bool { return c.IssuedAt > 0 },
	"iss": func(c Claims) bool { return c.Issuer != "" },
	"sub": func(c Claims) bool { return c.Subject != "" },
	"jti": func(c Claims) bool { return c.ID != "" },
}

// CanRequire reports whether Settings.RequiredClaims may name a claim.
func CanRequire(claim string) bool { return claimPresent[claim] != nil }

// Revocations lists what is revoked, whatever its own validity.
type Revocations struct {
	Tokens       []string // by jti
	Subjects     []string
	Certificates []Serial
}

// Serial identifies a certificate by the hash of its issuer's name and its serial number in hex.
type Serial struct{ Issuer, Number string }

type revocationIndex struct {
	tokens, subjects map[string]bool
	certificates     map[Serial]bool
}

func newRevocationIndex(r Revocations) revocationIndex {
	return revocationIndex{setOf(r.Tokens), setOf(r.Subjects), setOf(r.Certificates)}
}

func setOf[T comparable](all []T) map[T]bool {
	s := make(map[T]bool, len(all))
	for _, v := range all {
		s[v] = true
	}
	return s
}

// evaluate returns the caller of a token whose signature is right, or the reason why it is rejected.
func (m *Controller) evaluate(wall float64, v *verifiedToken) (Caller, Rejection) {
	if v.generation != m.generation {
		v.generation, v.tenant, v.rejection = m.generation, nil, Admitted
		m.resolve(v)
	}
	skew, c := m.settings.Skew, &v.claims
	switch {
	case v.rejection != Admitted:
		return Caller{}, v.rejection
	case !v.key.validAt(wall, skew):
		return Caller{}, BadToken
	case wall > v.expiry+skew || wall < math.Max(c.NotBefore, c.IssuedAt)-skew:
		return Caller{}, Expired
	}
	return Caller{v.tenant, c.Subject}, Admitted
}

// resolve evaluates the part of a token that depends on settings alone, not on time.
func (m *Controller) resolve(v *verifiedToken) {
	k, c := m.keys[v.key.ID], &v.claims
	if k == nil || k.Fingerprint != v.key.Fingerprint || k.State == Revoked || !k.mayHaveSigned(c.IssuedAt, m.settings.Skew) || !m.claimsFit(k, c) {
		v.rejection = BadToken
		return
	}
	v.key, v.expiry = k, math.Inf(1)
	if c.Expiry > 0 {
		v.expiry = c.Expiry
	}
	if m.settings.MaxTokenLifetime > 0 && c.IssuedAt > 0 {
		v.expiry = math.Min(v.expiry, c.IssuedAt+m.settings.MaxTokenLifetime)
	}
	if m.revoked.tokens[c.ID] || m.revoked.subjects[c.Subject] {
		v.rejection = BadToken
	} else if v.tenant = m.tenants[c.Tenant]; v.tenant == nil {
		v.rejection = UnknownCaller
	}
}

// claimsFit reports whether a token has the claims that the settings and its key demand.
func (m *Controller) claimsFit(k *Key, c *Claims) bool {
	for _, name := range m.settings.RequiredClaims {
		if !claimPresent[name](*c) {
			return false
		}
	}
	return (m.settings.Audience == "" || slices.Contains(c.Audience, m.settings.Audience)) &&
		(k.Issuer == "" || c.Issuer == k.Issuer) && (len(k.Tenants) == 0 || slices.Contains(k.Tenants, c.Tenant)) &&
		(m.settings.MaxTokenLifetime == 0 || c.IssuedAt > 0)
}

// Certificate is a client certificate that was verified in the handshake.
type Certificate struct {
	Serial
	Names       []string // "uri:…", "dns:…" and "cn:…", in order of precedence
	From, Until float64  // Unix seconds
	Authorities []string // fingerprints of the authorities of the chains that verified it
}

// NameMapping maps a certificate's name to a tenant. A name that ends in "*" matches all names with that prefix;
// "dns:*." followed by a domain matches exactly one more label.
type NameMapping struct{ Name, Tenant string }

type nameIndex struct {
	exact     map[string]string
	wildcards []NameMapping
}

func newNameIndex(all []NameMapping) nameIndex {
	n := nameIndex{exact: map[string]string{}}
	for _, mapping := range all {
		switch _, exists := n.exact[mapping.Name]; {
		case strings.Contains(mapping.Name, "*"):
			n.wildcards = append(n.wildcards, mapping)
		case !exists:
			n.exact[mapping.Name] = mapping.Tenant
		}
	}
	return n
}

func (n nameIndex) find(name string) (tenant string, ok bool) {
	if tenant, ok = n.exact[name]; ok {
		return tenant, true
	}
	for _, w := range n.wildcards {
		if start, end, _ := strings.Cut(w.Name, "*"); strings.HasPrefix(name, start) &&
			len(name) > len(start)+len(end) && strings.HasSuffix(name, end) &&
			(end == "" || !strings.Contains(name[len(start):len(name)-len(end)], ".")) {
			return w.Tenant, true
		}
	}
	return "", false
}

// callerByCertificate identifies the caller by the connection's certificate, which is evaluated for each GET.
func (m *Controller) callerByCertificate(wall float64, c *Conn) (Caller, Rejection) {
	cert := c.Certificate
	if wall > cert.Until+m.settings.Skew || wall < cert.From-m.settings.Skew || m.revoked.certificates[cert.Serial] ||
		!slices.ContainsFunc(cert.Authorities, func(fingerprint string) bool { return m.trustedAuthorities[fingerprint] }) {
		return Caller{}, BadCertificate
	}
	if c.generation != m.generation {
		c.generation, c.certTenant, c.certName = m.generation, nil, ""
		for _, name := range cert.Names {
			if tenant, ok := m.names.find(name); ok {
				c.certTenant, c.certName = m.tenants[tenant], name
				break
			}
		}
	}
	if c.certTenant == nil || m.revoked.subjects[c.certName] {
		return Caller{}, UnknownCaller
	}
	return Caller{c.certTenant, c.certName}, Admitted
}
