package token

import (
	"crypto/x509"
	"encoding/base64"
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/admission"
	"elderwall/internal/standin/need"
)

var said = admission.Claims{
	Issuer: "us", Subject: "till-4", ID: "j1", Tenant: "counter", Audience: []string{"elderwall"},
	IssuedAt: 1764590400, NotBefore: 1764590400, Expiry: 1764594000,
}

func newKey(t testing.TB, algorithm string) *Key { k := need.Of(NewKey("k1", algorithm))(t); return k }

// public is the key after it went through a file.
func public(t testing.TB, k *Key) *Key {
	raw := need.Of(WriteSet([]*Key{k.Public()}))(t)
	keys := need.Of(ReadSet(raw, false))(t)
	require.Equal(t, k.Fingerprint, keys[0].Fingerprint)
	return keys[0]
}

func sign(t testing.TB, k *Key) string { text := need.Of(k.Sign(said))(t); return text }

// head gives a token another header and leaves the rest.
func head(text, header string) string {
	_, rest, _ := strings.Cut(text, ".")
	return base64.RawURLEncoding.EncodeToString([]byte(header)) + "." + rest
}

func verify(text string, k *Key) (admission.Claims, error) {
	p, err := Parse(text)
	if err != nil {
		return admission.Claims{}, err
	}
	return p.Verify(k)
}

func TestSignedAndVerified(t *testing.T) {
	for _, algorithm := range []string{"EdDSA", "ES256", "RS256", "HS256"} {
		k := newKey(t, algorithm)
		text := sign(t, k)
		assert.Equal(t, said, need.Of(verify(text, public(t, k)))(t), algorithm)
		_, err := verify(text, newKey(t, algorithm).Public())
		assert.ErrorIs(t, err, ErrSignature, "%s, by another key", algorithm)
		for i := range text { // any one letter changed
			if i%7 != 0 || text[i] == '.' {
				continue
			}
			other := byte('A')
			if text[i] == 'A' {
				other = 'E'
			}
			_, err := verify(text[:i]+string(other)+text[i+1:], public(t, k))
			assert.Error(t, err, "%s, letter %d", algorithm, i)
		}
	}
}

func TestForgedTokens(t *testing.T) {
	ed, rs := newKey(t, "EdDSA"), newKey(t, "RS256")
	good := sign(t, ed)
	der := need.Of(x509.MarshalPKIXPublicKey(rs.Public().material))(t)
	confused := need.Of((&Key{Key: admission.Key{ID: "k1", Algorithm: "HS256"}, material: der}).Sign(said))(t)
	jwk := need.Of(json.Marshal(map[string]any{"alg": "EdDSA", "kid": "k1", "jwk": map[string]string{"kty": "OKP"}}))(t)
	for _, tt := range []struct {
		name, text string
		key        *Key
		want       error
	}{
		{"HS256 made with a public RSA key", confused, rs.Public(), ErrSignature},
		{"no algorithm", head(good, `{"alg":"none","kid":"k1"}`), ed, ErrForm},
		{"an algorithm that is not in use", head(good, `{"alg":"HS512","kid":"k1"}`), ed, ErrForm},
		{"another algorithm than the key's", head(good, `{"alg":"ES256","kid":"k1"}`), ed, ErrSignature},
		{"a key of its own", head(good, string(jwk)), ed, ErrForm},
		{"an address of its key", head(good, `{"alg":"EdDSA","kid":"k1","jku":"http://x/"}`), ed, ErrForm},
		{"a certificate of its own", head(good, `{"alg":"EdDSA","kid":"k1","x5c":[]}`), ed, ErrForm},
		{"an extension that is critical", head(good, `{"alg":"EdDSA","kid":"k1","crit":["exp"],"exp":1}`), ed, ErrForm},
		{"a header told twice", head(good, `{"alg":"EdDSA","alg":"none","kid":"k1"}`), ed, ErrForm},
		{"no key id", head(good, `{"alg":"EdDSA"}`), ed, ErrNoKeyID},
		{"a long key id", head(good, `{"alg":"EdDSA","kid":"`+strings.Repeat("k", 129)+`"}`), ed, ErrForm},
		{"no signature", good[:strings.LastIndex(good, ".")+1], ed, ErrSignature},
		{"two parts", good[:strings.LastIndex(good, ".")], ed, ErrForm},
		{"four parts", good + ".x", ed, ErrForm},
		{"a megabyte", good + strings.Repeat("A", 1<<20), ed, ErrForm},
		{"nothing", "", ed, ErrForm},
	} {
		_, err := verify(tt.text, tt.key)
		assert.ErrorIs(t, err, tt.want, tt.name)
	}
	long := said
	long.Subject = strings.Repeat("x", 300)
	text := need.Of(ed.Sign(long))(t)
	_, err := verify(text, ed.Public())
	assert.ErrorIs(t, err, ErrForm, "a long subject")
}

func TestKeySets(t *testing.T) {
	ed, hs := newKey(t, "EdDSA"), newKey(t, "HS256")
	hs.ID, hs.State, hs.From, hs.Tenants = "k2", admission.Retiring, 1764590400.5, []string{"counter"}
	whole := need.Of(WriteSet([]*Key{ed.Public(), hs}))(t)
	keys := need.Of(ReadSet(whole, false))(t)
	assert.Equal(t, hs.Key, keys[1].Key, "all that is told of a key comes back")
	assert.Equal(t, []bool{false, true}, []bool{keys[0].Secret(), keys[1].Secret()})
	private := need.Of(WriteSet([]*Key{ed}))(t)
	with := func(before, after string) string {
		require.Contains(t, string(whole), before)
		return strings.Replace(string(whole), before, after, 1)
	}
	for name, text := range map[string]string{
		"half of it":                       string(whole[:len(whole)/2]),
		"no keys":                          `{}`,
		"an id twice":                      with(`"kid": "k2"`, `"kid": "k1"`),
		"no id":                            with(`"kid": "k2"`, `"kid": ""`),
		"a state that there is not":        with(`"retiring"`, `"resting"`),
		"no state":                         with(`"state": "retiring"`, `"other": 1`),
		"a time in another form":           with("2025-12-01T12:00:00.5Z", "yesterday"),
		"an algorithm of another key":      with(`"alg": "EdDSA"`, `"alg": "RS256"`),
		"no algorithm":                     with(`"alg": "EdDSA"`, `"alg": ""`),
		"a key for encryption":             with(`"use": "sig"`, `"use": "enc"`),
		"a private key where none must be": string(private),
		"a short secret":                   `{"keys":[{"kty":"oct","k":"c2hvcnQ","kid":"k3","alg":"HS256","state":"active"}]}`,
		"a kind that is not known":         `{"keys":[{"kty":"EC","crv":"P-521","kid":"k3","alg":"ES256","state":"active"}]}`,
		"too many":                         `{"keys":[` + strings.Repeat(`{},`, 1024) + `{}]}`,
		"too long":                         strings.Repeat(" ", 5<<20),
	} {
		_, err := ReadSet([]byte(text), false)
		assert.Error(t, err, name)
	}
	_, err := ReadSet([]byte(strings.ReplaceAll(string(whole), `"state"`, `"s"`)), false)
	assert.Equal(t, 2, strings.Count(err.Error(), "not announced, active"), "every fault is told")
}

func FuzzParse(f *testing.F) {
	k := need.Of(NewKey("k1", "EdDSA"))(f)
	f.Add(sign(f, k))
	f.Add(head(sign(f, k), `{"alg":"EdDSA","kid":"k1","crit":[]}`))
	f.Fuzz(func(t *testing.T, text string) {
		p, err := Parse(text)
		if err != nil {
			assert.Nil(t, p)
			return
		}
		assert.True(t, p.KeyID != "" && len(p.KeyID) <= longestID && len(text) <= Longest)
		_, err = p.Verify(newKey(t, "EdDSA")) // of which no text can know
		assert.Error(t, err)
	})
}

func FuzzReadSet(f *testing.F) {
	k := need.Of(NewKey("k1", "HS256"))(f)
	raw := need.Of(WriteSet([]*Key{k}))(f)
	f.Add(raw)
	f.Fuzz(func(t *testing.T, raw []byte) {
		keys, err := ReadSet(raw, true)
		if err != nil {
			return
		}
		again := need.Of(WriteSet(keys))(t)
		twice := need.Of(ReadSet(again, true))(t)
		for i, k := range keys {
			assert.Equal(t, k.Fingerprint, twice[i].Fingerprint)
		}
	})
}

func BenchmarkVerify(b *testing.B) {
	for _, algorithm := range []string{"EdDSA", "ES256", "RS256", "HS256"} {
		k := newKey(b, algorithm)
		text, open := sign(b, k), k.Public()
		need.Bench(b, algorithm, func(int) { need.Of(verify(text, open))(b) })
	}
}
