package operator

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/cluster/channel"
)

func TestChannels(t *testing.T) {
	file := func(in, beside string) string {
		return `{fleet: {listen: '127.0.0.1:5100', ` + beside + `channels: {` + in + `}}}`
	}
	needs := `duties: {voter: true, folder: 'd'}, memory: {}, `
	c, err := decode("/etc/f", file(`a: {order: 'total', generation: 2, entries: 100, bytes: '1MiB', time: '10m', wait: '1s'}, b: {order: 'latest'}`, needs), services)
	require.NoError(t, err)
	assert.Equal(t, []channel.Declaration{
		{Name: "a", Generation: 2, Order: channel.Total, DisconnectSlow: true, RetainedEntries: 100, RetainedBytes: 1 << 20, RetainedSeconds: 600, OrderWait: 1},
		{Name: "b", Generation: 1, Order: channel.Latest, AllowGaps: true, RetainedEntries: 10_000, RetainedBytes: 8 << 20, RetainedSeconds: 3600, OrderWait: 2, WriterExpiry: 86400},
	}, c.Fleet.Channels.Declared)
	c, err = decode("/etc/f", file(``, needs), services)
	require.NoError(t, err)
	assert.Empty(t, c.Fleet.Channels.Declared)
	for in, want := range map[string][]string{
		`a: {}`:                       {"no such order"},
		`a: {order: 'sideways'}`:      {"sideways"},
		`a: {order: 'key', time: 60}`: {"fleet.channels.a.time"},
		`a: {order: 'key', depth: 3}`: {"fleet.channels.a.depth"},
		`a: {order: 'total', entries: 0, gaps: 'never', time: '0s'}`: {"could not be given", "no window"},
	} {
		_, err := decode("f", file(in, needs), services)
		for _, w := range want {
			assert.ErrorContains(t, err, w, in)
		}
	}
	_, err = decode("f", file(``, `memory: {}, `), services)
	assert.ErrorContains(t, err, "needs duties and memory")
}
