// Package token reads, checks and makes the tokens that name callers: JSON Web Tokens (RFC 7519) in the compact
// form of JSON Web Signatures (RFC 7515). It tells what is written and whether the signature is right; what follows
// from that, callers decides.
package token

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/go-jose/go-jose/v4/jwt"

	"elderwall/core/admission"
)

// Longest is the longest token that is parsed, in bytes: ours are under one KB, and HTTP fronts carry no more in a header.
const Longest = 8 << 10

const (
	longestID   = 128 // bytes; of a key id: a table's key, and a log's word
	longestName = 256 // bytes; of a subject, an issuer and the like
)

// algorithms are those that a key may be bound to.
var algorithms = []jose.SignatureAlgorithm{jose.EdDSA, jose.ES256, jose.RS256, jose.HS256}

// Why a token is rejected.
var (
	ErrForm      = errors.New("not a token") // its form, or a header that must not be
	ErrNoKeyID   = errors.New(`the token has no key id (the header "kid"), and needs one: it tells which key of the set to check it by`)
	ErrSignature = errors.New("signature is not right") // by the key that it names
)

// Token is one whose form is right and whose signature has yet to be checked.
type Token struct {
	KeyID, Algorithm string
	signed           *jose.JSONWebSignature
}

// refused are the header parameters (RFC 7515, section 4.1) by which a token would bring or name its own key, and
// those that change how it is to be understood: none is known here.
var refused = []string{"jwk", "jku", "x5c", "x5u", "crit", "b64", "zip", "enc"}

// Parse reads a token's form. Guards against tokens that choose how they are checked: the algorithm is told here
// only so that it can be held against the key's own.
func Parse(text string) (*Token, error) {
	if len(text) > Longest || strings.Count(text, ".") != 2 {
		return nil, ErrForm
	}
	head, _, _ := strings.Cut(text, ".")
	raw, err := base64.RawURLEncoding.Strict().DecodeString(head)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrForm, err)
	}
	var parameters map[string]json.RawMessage
	if err := json.Unmarshal(raw, &parameters); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrForm, err)
	}
	for _, name := range refused {
		if _, there := parameters[name]; there {
			return nil, fmt.Errorf("%w: header %q", ErrForm, name)
		}
	}
	signed, err := jose.ParseSignedCompact(text, algorithms)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrForm, err)
	}
	h := signed.Signatures[0].Protected
	if h.KeyID == "" {
		return nil, ErrNoKeyID
	}
	if len(h.KeyID) > longestID {
		return nil, fmt.Errorf("%w: key id of %d bytes, at most %d", ErrForm, len(h.KeyID), longestID)
	}
	return &Token{KeyID: h.KeyID, Algorithm: h.Algorithm, signed: signed}, nil
}

// claims is what a token says, as its JSON names it.
type claims struct {
	jwt.Claims
	Tenant string `json:"tenant"`
}

// Verify checks the signature by a key, whose own algorithm the token must name, and gives what the token says.
func (t *Token) Verify(k *Key) (admission.Claims, error) {
	if t.Algorithm != k.Algorithm { // or HS256 by the bytes of a public RSA key would pass
		return admission.Claims{}, ErrSignature
	}
	payload, err := t.signed.Verify(k.material)
	if err != nil {
		return admission.Claims{}, ErrSignature
	}
	return decode(payload)
}

// Unverified is what a token says, by whomever: for people to look at.
func (t *Token) Unverified() (admission.Claims, error) {
	return decode(t.signed.UnsafePayloadWithoutVerification())
}

func decode(payload []byte) (admission.Claims, error) {
	var c claims
	if err := json.Unmarshal(payload, &c); err != nil {
		return admission.Claims{}, fmt.Errorf("%w: %w", ErrForm, err)
	}
	for _, name := range append([]string{c.Issuer, c.Subject, c.ID, c.Tenant}, c.Audience...) {
		if len(name) > longestName {
			return admission.Claims{}, fmt.Errorf("%w: a claim of %d bytes", ErrForm, len(name))
		}
	}
	return admission.Claims{
		Issuer: c.Issuer, Subject: c.Subject, ID: c.ID, Tenant: c.Tenant, Audience: c.Audience,
		IssuedAt: unix(c.IssuedAt), NotBefore: unix(c.NotBefore), Expiry: unix(c.Expiry),
	}, nil
}

func unix(d *jwt.NumericDate) float64 {
	if d == nil {
		return 0
	}
	return float64(*d)
}

// Sign makes a token that says these things, by a private key or a shared secret.
func (k *Key) Sign(c admission.Claims) (string, error) {
	signer, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.SignatureAlgorithm(k.Algorithm), Key: k.material},
		(&jose.SignerOptions{}).WithType("JWT").WithHeader("kid", k.ID))
	if err != nil {
		return "", fmt.Errorf("sign: %w", err)
	}
	date := func(s float64) *jwt.NumericDate {
		if s == 0 {
			return nil
		}
		return jwt.NewNumericDate(time.Unix(int64(s), 0))
	}
	said := struct {
		jwt.Claims
		Tenant string `json:"tenant,omitempty"`
	}{jwt.Claims{
		Issuer: c.Issuer, Subject: c.Subject, Audience: c.Audience, ID: c.ID, Expiry: date(c.Expiry),
		NotBefore: date(c.NotBefore), IssuedAt: date(c.IssuedAt),
	}, c.Tenant}
	text, err := jwt.Signed(signer).Claims(said).Serialize()
	if err != nil {
		return "", fmt.Errorf("sign: %w", err)
	}
	return text, nil
}
