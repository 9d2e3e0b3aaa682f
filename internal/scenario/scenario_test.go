package scenario

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestFaults(t *testing.T) {
	for text, want := range map[string]string{
		"{ zones: 5, caches: 4, cells: 1 }": "zones: 1 to the caches",
		"{ kb: 2, pace: 0 }":                "pace: above 0",
		"{ way_in_kb: -1 }":                 "way_in_kb",
		"{ tells: 1 }":                      "tells",
		"{ troubles: [{ kind: 'burst' }] }": "burst needs a factor",

		"{ shards: 2, troubles: [{ kind: 'kill', 'for': '1s' }] }": "kill needs a time, and no shards",
	} {
		_, err := Decode("fleet.jsonnet", text)
		assert.ErrorContains(t, err, want, text)
	}
}
