package channels

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"

	"elderwall/internal/contract"
)

// The laws are orders over what may be written and over what may not, and rubbish is refused.
func TestLaws(t *testing.T) {
	for _, k := range Kinds() {
		t.Run(k.Name, func(t *testing.T) {
			contract.Kind[[]byte]{
				Draw: func(c *rand.Rand) []byte {
					if c.IntN(8) == 0 {
						return [][]byte{nil, {}, {255}, {255, 255, 255}}[c.IntN(4)]
					}
					return binary.AppendUvarint(binary.AppendUvarint(nil, c.Uint64N(300)), c.Uint64N(3))
				},
				Compare: k.Law,
			}.Hold(t)
		})
	}
}
