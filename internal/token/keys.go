package token

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/rsa"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/go-jose/go-jose/v4"

	"elderwall/core/admission"
)

const (
	leastRSA    = 2048 // bits; RFC 7518, section 3.3
	newRSA      = 3072 // bits; good for as long as RSA is
	secretBytes = 32   // RFC 7518, section 3.2: no shorter than the hash
	mostKeys    = 1024 // in a set; a rotation a day for years, and no more to look through
	longestSet  = 4 << 20
)

// Key is one key of a set (RFC 7517) with what its file says of its life.
type Key struct {
	admission.Key
	material any
}

// life is the members that a key has here besides those of RFC 7517.
type life struct {
	State   string   `json:"state"`
	From    string   `json:"from,omitempty"`
	Until   string   `json:"until,omitempty"`
	Retired string   `json:"retired,omitempty"`
	Issuer  string   `json:"iss,omitempty"`
	Tenants []string `json:"tenants,omitempty"`
}

var states = map[string]admission.KeyState{
	"announced": admission.Announced, "active": admission.Active,
	"retiring": admission.Retiring, "revoked": admission.Revoked,
}

// StateName is a state's word in a key file.
func StateName(s admission.KeyState) string {
	for name, state := range states {
		if state == s {
			return name
		}
	}
	return ""
}

// ReadSet reads a JWK Set; every fault of it is told at once, by the place and id of the key. A set that may not hold
// private keys refuses them: who checks tokens has no use for them.
func ReadSet(raw []byte, private bool) ([]*Key, error) {
	if len(raw) > longestSet {
		return nil, fmt.Errorf("key set of %d bytes, at most %d", len(raw), longestSet)
	}
	var set struct {
		Keys *[]json.RawMessage `json:"Keys"`
	}
	if err := json.Unmarshal(raw, &set); err != nil {
		return nil, fmt.Errorf("key set: %w", err)
	}
	if set.Keys == nil {
		return nil, errors.New(`key set: no "keys"`)
	}
	if len(*set.Keys) > mostKeys {
		return nil, fmt.Errorf("key set of %d keys, at most %d", len(*set.Keys), mostKeys)
	}
	var keys []*Key
	var all []error
	ids := map[string]bool{}
	for i, one := range *set.Keys {
		k, err := readKey(one, private)
		if err == nil && ids[k.ID] {
			err = errors.New("its id is there twice")
		}
		if err != nil {
			all = append(all, fmt.Errorf("key %d, %q: %w", i, k.ID, err))
			continue
		}
		ids[k.ID] = true
		keys = append(keys, k)
	}
	return keys, errors.Join(all...)
}

func readKey(raw []byte, private bool) (*Key, error) {
	var l life
	var jwk jose.JSONWebKey
	k := &Key{}
	if err := json.Unmarshal(raw, &jwk); err != nil {
		return k, err
	}
	k.ID = jwk.KeyID
	if err := json.Unmarshal(raw, &l); err != nil {
		return k, err
	}
	state, ok := states[l.State]
	if !ok {
		return k, fmt.Errorf("state %q, not announced, active, retiring or revoked", l.State)
	}
	k.Key = admission.Key{ID: jwk.KeyID, Algorithm: jwk.Algorithm, State: state, Issuer: l.Issuer, Tenants: l.Tenants}
	for _, at := range []struct {
		name, text string
		to         *float64
	}{{"from", l.From, &k.From}, {"until", l.Until, &k.Until}, {"retired", l.Retired, &k.RetiredAt}} {
		if at.text == "" {
			continue
		}
		t, err := time.Parse(time.RFC3339, at.text)
		if err != nil {
			return k, fmt.Errorf("%s: %w", at.name, err)
		}
		*at.to = float64(t.UnixMilli()) / 1e3
	}
	k.material = jwk.Key
	return k, k.check(&jwk, private)
}

// check tells whether a key can be used as it says.
func (k *Key) check(jwk *jose.JSONWebKey, private bool) error {
	_, shared := k.material.([]byte)
	switch {
	case k.ID == "" || len(k.ID) > longestID:
		return fmt.Errorf("an id of %d bytes", len(k.ID))
	case !shared && !jwk.Valid():
		return errors.New("the key is not valid")
	case jwk.Use != "" && jwk.Use != "sig":
		return fmt.Errorf("its use is %q, not sig", jwk.Use)
	case !private && !shared && !jwk.IsPublic():
		return errors.New("it is private; a set that checks tokens has public keys")
	}
	if err := k.fits(); err != nil {
		return err
	}
	sum, err := thumbprint(jwk)
	k.Fingerprint = hex.EncodeToString(sum)
	return err
}

// thumbprint is that of RFC 7638, which the library has for all kinds but shared secrets.
func thumbprint(jwk *jose.JSONWebKey) ([]byte, error) {
	if secret, shared := jwk.Key.([]byte); shared {
		sum := sha256.Sum256([]byte(`{"k":"` + base64.RawURLEncoding.EncodeToString(secret) + `","kty":"oct"}`))
		return sum[:], nil
	}
	sum, err := jwk.Thumbprint(crypto.SHA256)
	if err != nil {
		return nil, fmt.Errorf("thumbprint: %w", err)
	}
	return sum, nil
}

// fits tells whether a key's algorithm is one that its material is for, and strong enough.
func (k *Key) fits() error {
	wrong := fmt.Errorf("algorithm %q, which is not one for this kind of key", k.Algorithm)
	want := func(a jose.SignatureAlgorithm) error {
		if k.Algorithm != string(a) {
			return wrong
		}
		return nil
	}
	switch m := k.material.(type) {
	case ed25519.PublicKey, ed25519.PrivateKey:
		return want(jose.EdDSA)
	case *ecdsa.PublicKey:
		return errors.Join(want(jose.ES256), curve(m))
	case *ecdsa.PrivateKey:
		return errors.Join(want(jose.ES256), curve(&m.PublicKey))
	case *rsa.PublicKey:
		return errors.Join(want(jose.RS256), long(m.N.BitLen(), leastRSA))
	case *rsa.PrivateKey:
		return errors.Join(want(jose.RS256), long(m.N.BitLen(), leastRSA))
	case []byte:
		return errors.Join(want(jose.HS256), long(8*len(m), 8*secretBytes))
	}
	return wrong
}

func curve(k *ecdsa.PublicKey) error {
	if k.Curve != elliptic.P256() {
		return errors.New("its curve is not P-256")
	}
	return nil
}

func long(bits, least int) error {
	if bits < least {
		return fmt.Errorf("it has %d bits, at least %d are needed", bits, least)
	}
	return nil
}

// Secret tells whether a key's set must be kept from others: who checks by a shared secret can sign by it.
func (k *Key) Secret() bool {
	_, shared := k.material.([]byte)
	jwk := jose.JSONWebKey{Key: k.material}
	return shared || !jwk.IsPublic()
}

// NewKey makes a key for an algorithm, announced.
func NewKey(id, algorithm string) (k *Key, err error) {
	k = &Key{Key: admission.Key{ID: id, Algorithm: algorithm}}
	switch jose.SignatureAlgorithm(algorithm) {
	case jose.EdDSA:
		_, k.material, err = ed25519.GenerateKey(rand.Reader)
	case jose.ES256:
		k.material, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	case jose.RS256:
		k.material, err = rsa.GenerateKey(rand.Reader, newRSA)
	case jose.HS256:
		secret := make([]byte, secretBytes)
		_, err = rand.Read(secret)
		k.material = secret
	default:
		return nil, fmt.Errorf("algorithm %q, not one of %v", algorithm, algorithms)
	}
	if err != nil {
		return nil, fmt.Errorf("new key: %w", err)
	}
	return k, k.check(&jose.JSONWebKey{Key: k.material, KeyID: id}, true)
}

// Public is the key as those have it who check tokens: a shared secret is the same on both sides.
func (k *Key) Public() *Key {
	public := *k
	if _, shared := k.material.([]byte); !shared {
		jwk := jose.JSONWebKey{Key: k.material}
		public.material = jwk.Public().Key
	}
	return &public
}

// WriteSet is keys as a JWK Set.
func WriteSet(keys []*Key) ([]byte, error) {
	set := struct {
		Keys []map[string]any `json:"keys"`
	}{[]map[string]any{}}
	for _, k := range keys {
		raw, err := jose.JSONWebKey{Key: k.material, KeyID: k.ID, Algorithm: k.Algorithm, Use: "sig"}.MarshalJSON()
		if err != nil {
			return nil, fmt.Errorf("key %q: %w", k.ID, err)
		}
		one := map[string]any{}
		if err := json.Unmarshal(raw, &one); err != nil {
			return nil, fmt.Errorf("key %q: %w", k.ID, err)
		}
		l := life{
			State: StateName(k.State), From: moment(k.From), Until: moment(k.Until), Retired: moment(k.RetiredAt),
			Issuer: k.Issuer, Tenants: k.Tenants,
		}
		raw, _ = json.Marshal(l)
		_ = json.Unmarshal(raw, &one)
		set.Keys = append(set.Keys, one)
	}
	raw, err := json.MarshalIndent(set, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("key set: %w", err)
	}
	return append(raw, '\n'), nil
}

func moment(unix float64) string {
	if unix == 0 {
		return ""
	}
	return time.UnixMilli(int64(unix * 1e3)).UTC().Format(time.RFC3339Nano)
}

// Find is the key of an id, nil if there is none.
func Find(keys []*Key, id string) *Key {
	if i := slices.IndexFunc(keys, func(k *Key) bool { return k.ID == id }); i >= 0 {
		return keys[i]
	}
	return nil
}
