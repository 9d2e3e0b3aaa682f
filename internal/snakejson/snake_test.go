package snakejson

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/cluster/membership"
)

func TestOneStyle(t *testing.T) {
	type inner struct{ ID, BytesIn int }
	text, err := JSON(struct {
		inner
		State   membership.State
		Link    membership.Link
		GETs    float64
		Gone    string           `json:",omitempty"`
		Secret  int              `json:"-"`
		Counts  map[string]int64 `snake:"names"`
		Rest    map[string]float64
		Members []*inner
		None    *inner
		hidden  int
	}{inner{1, 2}, membership.Suspect, membership.LinkOneWay, 0.5, "", 1, map[string]int64{"BytesIn": 1, "GETs": 2, "In": 3}, map[string]float64{"My Duty": 1}, []*inner{{3, 4}}, nil, 1})
	require.NoError(t, err)
	assert.Equal(t, `{"state":"suspect","link":"deaf","gets":0.5,"counts":{"bytes_in":1,"gets":2,"in":3},"rest":{"My Duty":1},`+
		`"members":[{"id":3,"bytes_in":4}],"none":null}`, string(text))
	for name, want := range map[string]string{"NextID": "next_id", "HTTPPort": "http_port", "bytes_in": "bytes_in", "NotTold": "not_told", "P99": "p99"} {
		assert.Equal(t, want, Key(name))
	}
}

func TestTagNamesField(t *testing.T) {
	type Within struct {
		Renamed int `json:"GETsOut"`
	}
	text, err := JSON(struct {
		Within
		Other string         `json:"ID"`
		Left  int            `json:"HTTPPort,omitempty"`
		Some  int            `json:"P99,omitempty"`
		Names map[string]int `json:"Counts" snake:"names"`
	}{Within{1}, "a", 0, 2, map[string]int{"BytesIn": 3}})
	require.NoError(t, err)
	assert.Equal(t, `{"gets_out":1,"id":"a","p99":2,"counts":{"bytes_in":3}}`, string(text))
}
