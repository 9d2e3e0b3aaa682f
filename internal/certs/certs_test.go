package certs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin"
)

func TestFilesThatAreNotWholeAreRefused(t *testing.T) {
	a, other := standin.NewAuthority("ours"), standin.NewAuthority("other")
	chain, key := a.Issue("server", "", time.Now().Add(time.Hour))
	crl, roots := a.Revoke(), append(a.PEM(), other.PEM()...)
	list := [][]byte{crl}
	half := func(raw []byte) []byte { return raw[:len(raw)*3/4] }
	for _, tt := range []struct {
		name              string
		chain, key, roots []byte
		lists             [][]byte
		want              string // "" for none
	}{
		{"whole", chain, key, roots, list, ""},
		{"no authorities and no list", chain, key, nil, nil, ""},
		{"half a chain", half(chain), key, roots, list, "certificate"},
		{"half a key", chain, half(key), roots, list, "certificate and key"},
		{"half of the last authority", chain, key, half(roots), list, "authorities: no whole PEM block"},
		{"half a list", chain, key, roots, [][]byte{half(crl)}, "revocations 0"},
		{"a list of none of the authorities", chain, key, other.PEM(), list, "signed by none"},
		{"a key of another certificate", chain, func() []byte { _, k := a.Issue("x", "", time.Now().Add(time.Hour)); return k }(), roots, list, "certificate and key"},
		{"an empty file", nil, key, roots, list, "certificate"},
	} {
		var m Material
		err := m.Read(tt.chain, tt.key, tt.roots, tt.lists)
		if tt.want == "" {
			require.NoError(t, err, tt.name)
			assert.Len(t, m.Revoked, len(tt.lists), tt.name)
			continue
		}
		assert.ErrorContains(t, err, tt.want, tt.name)
	}
}

func FuzzRead(f *testing.F) {
	a := standin.NewAuthority("ours")
	chain, key := a.Issue("server", "", time.Now().Add(time.Hour))
	f.Add(chain, a.PEM(), a.Revoke())
	f.Fuzz(func(t *testing.T, chain, roots, list []byte) {
		var m Material
		if err := m.Read(chain, key, roots, [][]byte{list}); err == nil {
			assert.NotEmpty(t, m.Certificate.Certificate)
		}
	})
}
