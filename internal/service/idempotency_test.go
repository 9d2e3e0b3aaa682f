package service

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"

	"elderwall/internal/standin"
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

// Guards against a GET of a keyed class not being sent again, or being sent again with another key, where its client gave one
// and the first host has lost its answer.
func TestAKeyedGETIsSentAgainWithItsKey(t *testing.T) {
	for _, scope := range []string{"all", "zone"} {
		requests := make(chan standin.Ask, 2)
		var lost atomic.Bool
		losesFirst := func(a standin.Ask) string {
			requests <- a
			if lost.CompareAndSwap(false, true) {
				_ = a.Conn.Close()
				return ""
			}
			return standin.Hit(a.ID, "bytes")
		}
		_, _, s1 := host(t, 1, losesFirst)
		_, _, s3 := host(t, 3, losesFirst)
		d := startWith(t, keyed(scope), 1000, s1, s3)
		got := d.get("token", "order-7")
		assert.Equal(t, []string{"served", "bytes"}, []string{got.Kind, got.Body})
		first, second := <-requests, <-requests
		assert.Equal(t, []string{"order-7", "order-7"}, []string{first.Fields["uniq"], second.Fields["uniq"]})
		assert.Equal(t, first.ID, second.ID)
	}
}

// keyed has the delivery service of a configuration be one whose repeats a group of hosts recognizes by a key.
func keyed(scope string) func(platform string) string {
	return func(platform string) string {
		return strings.Replace(platform, `"effect":"safe","dedupScope":"all"`, fmt.Sprintf(`"effect":"keyed","dedupScope":%q,"repeatWindow":30000000`, scope), 1)
	}
}
