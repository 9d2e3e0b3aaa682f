package service

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// The key by which hosts tell a repeat goes on as it came, with each attempt, and a request whose key no field can carry fails at once.
func TestAnIdempotencyKeyIsPassedOn(t *testing.T) {
	longest := strings.Repeat("k", 64)
	for _, tt := range []struct{ name, key, kind string }{
		{"none", "", "served"},
		{"a short one", "k", "served"},
		{"the longest", longest, "served"},
		{"one that is too long", longest + "k", "failed"},
		{"one with a comma", "a,up=s-9", "failed"},
		{"one with a line end", "a\r\nSTOP b", "failed"},
		{"one with a byte that is no text", "a\xff", "failed"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			_, asked, s1 := host(t, 1, hit)
			d := start(t, 1000, s1)
			assert.Equal(t, tt.kind, d.get("token", tt.key).Kind)
			if tt.kind == "served" {
				assert.Equal(t, tt.key, (<-asked).Fields["uniq"])
			}
			assert.Equal(t, "served", d.get("rid", "9b1f03aa5c7e2d42").Kind)
			_, sent := (<-asked).Fields["uniq"]
			assert.False(t, sent, "a request that came with none goes on with none")
		})
	}
}
