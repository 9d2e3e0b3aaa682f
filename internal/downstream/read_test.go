package downstream

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"elderwall/core/admission"
	"elderwall/internal/thrift"
)

// A token that names a caller is a secret between the two: no host may get it.
func TestATokenThatNamesACallerIsNoIdempotencyKey(t *testing.T) {
	m := thrift.Call{Token: []byte("secret")}
	asked, unasked := read(m, &admission.Conn{}), read(m, nil)
	assert.Equal(t, []string{"secret", ""}, []string{asked.Token, asked.IdempotencyKey})
	assert.Equal(t, []string{"", "secret"}, []string{unasked.Token, unasked.IdempotencyKey})
}
