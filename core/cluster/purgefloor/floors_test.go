package purgefloor

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/contract"
)

// Floors must survive encoding and parsing, their merge order must be a valid one, and invalid floors, keys and values must be rejected.
func TestFloorRecords(t *testing.T) {
	for _, f := range []Floor{{"7f3a", 0, 1764576000123}, {"", 17, 5}, {"", -1, 5}, {"g17", 0, 5}} {
		key, value, ok := EncodeRecord(f)
		require.True(t, ok)
		require.NoError(t, ValidateRecord(key, value))
		got, err := ParseRecord(key, value)
		require.NoError(t, err)
		assert.Equal(t, f, got)
	}
	contract.Kind[[]byte]{
		Draw: func(c *rand.Rand) []byte {
			_, value, _ := EncodeRecord(Floor{Group: 1, Time: int64(1 + c.Uint64N(3)<<c.IntN(20))})
			return value
		},
		Compare: MergeOrder, Bytes: func(v []byte) []byte { return v }, Check: func(b []byte) error { return ValidateRecord("g1", b) },
	}.Hold(t)
	for _, f := range []Floor{{"a", 0, 0}, {"a", 0, -5}, {"a", 0, maxTime}, {strings.Repeat("a", 257), 0, 5}} {
		_, _, ok := EncodeRecord(f)
		assert.False(t, ok, f)
	}
	good := []byte{0, 0, 0, 0, 0, 0, 0, 5}
	for _, key := range []string{"", "o", "x1", "g", "g1x", "g01", "o" + strings.Repeat("a", 257)} {
		assert.Error(t, ValidateRecord(key, good), key)
	}
	for _, value := range [][]byte{nil, make([]byte, 8), make([]byte, 7), {255, 0, 0, 0, 0, 0, 0, 0}} {
		assert.Error(t, ValidateRecord("oa", value))
	}
}
