package downstream

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"elderwall/core/admission"
	"elderwall/internal/standin/need"
	"elderwall/internal/thrift"
	"elderwall/internal/token"
)

// A token that names a caller is a secret between the two: no host may get it.
func TestATokenThatNamesACallerIsNoIdempotencyKey(t *testing.T) {
	m := thrift.Call{Token: []byte("secret")}
	asked, unasked := read(m, &admission.Conn{}), read(m, nil)
	assert.Equal(t, []string{"secret", ""}, []string{asked.Token, asked.IdempotencyKey})
	assert.Equal(t, []string{"", "secret"}, []string{unasked.Token, unasked.IdempotencyKey})
	assert.Equal(t, []bool{true, false}, []bool{asked.TokenFitsKey(), unasked.TokenFitsKey()})
}

// Guards against a signed token that is short enough to be taken for a key, and would be told to hosts.
func TestNoSignedTokenHasTheFormOfAKey(t *testing.T) {
	for _, algorithm := range []string{"EdDSA", "ES256", "RS256", "HS256"} {
		shortest := need.Of(need.Of(token.NewKey("k", algorithm))(t).Sign(admission.Claims{}))(t)
		assert.Greater(t, len(shortest), longestKey, algorithm)
		asked := read(thrift.Call{Token: []byte(shortest)}, &admission.Conn{})
		assert.Equal(t, []any{shortest, false}, []any{asked.Token, asked.TokenFitsKey()}, algorithm)
	}
}
