package emulator

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/cluster/channel"
)

// Readers that move through kills and cuts are shown what is declared, and all of it.
func TestChannelsKeepTheirOrder(t *testing.T) {
	for name, troubles := range map[string][]MemberTrouble{
		"calm":         nil,
		"two end":      {{Kind: Die, At: 5, For: 8, Number: 2}},
		"cut":          {{Kind: Cut, At: 5, For: 8, Number: 2}},
		"cut, and end": {{Kind: Cut, At: 3, For: 8, Number: 2}, {Kind: Die, At: 6, For: 3, Number: 2}},
	} {
		for order := channel.Latest; order <= channel.Total; order++ {
			t.Run(name+", "+order.String(), func(t *testing.T) {
				for seed := range uint64(schedules(1)) {
					s := ChannelsDefault()
					s.Seed, s.Order, s.Members, s.Readers, s.Writers, s.Moves, s.Loss, s.Span, s.Troubles = seed, order, 5, 10, 4, 3, 0.05, 15, troubles
					r, err := RunChannels(s)
					require.NoError(t, err)
					assert.Zero(t, r.Broken, "seed %d: %v", seed, r.Wrong)
					assert.Zero(t, r.Unseen, "seed %d", seed)
					assert.Greater(t, r.Acked, 200)
				}
			})
		}
	}
}

// The checker finds what no declaration allows.
func TestChannelsCheckerSeesFaults(t *testing.T) {
	for name, tt := range map[string]struct {
		order channel.Order
		shown []channel.Entry
	}{
		"twice":                 {channel.BySender, []channel.Entry{{Writer: "a", Number: 1}, {Writer: "a", Number: 1}}},
		"passed over":           {channel.ByKey, []channel.Entry{{Writer: "a", Number: 1}, {Writer: "a", Number: 3}}},
		"never written":         {channel.Latest, []channel.Entry{{Writer: "c", Number: 1}}},
		"before what came":      {channel.Causal, []channel.Entry{{Writer: "b", Number: 1}}},
		"place falls":           {channel.Total, []channel.Entry{{Writer: "a", Number: 1, Offset: 2}, {Writer: "b", Number: 1, Offset: 1}}},
		"two in one place":      {channel.Total, []channel.Entry{{Writer: "a", Number: 1, Offset: 7}}},
		"older one of the same": {channel.Latest, []channel.Entry{{Writer: "a", Number: 1, Key: "k", Clock: 5}, {Writer: "b", Number: 1, Key: "k", Clock: 4}}},
	} {
		w := &channelsWorld{
			ChannelsScenario: ChannelsScenario{Order: tt.order, Warm: 1}, out: &ChannelsResult{}, wrote: map[string]float64{"a/1": 0, "a/2": 0, "a/3": 0, "b/1": 0},
			after: map[string]map[string]uint64{"b/1": {"a": 1}}, places: map[[2]uint64]string{{7}: "b/1"},
		}
		r := &channelReader{}
		r.anew()
		for i := range tt.shown {
			w.shown(r, channel.Notification{Entry: &tt.shown[i]})
		}
		assert.Equal(t, 1, w.out.Broken, name)
	}
}
