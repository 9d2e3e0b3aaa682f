package emulator

import (
	"os"
	"strconv"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/cluster/replication"
)

// schedules is how many are played: few in CI, thousands once.
func schedules(few int) int {
	if n, err := strconv.Atoi(os.Getenv("ELDERWALL_SCHEDULES")); err == nil {
		return n
	}
	return few
}

func sized(m *replication.Message) int {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	return len(b)
}

// What happens to a fleet's memory: all agree in the end, and nothing that was acknowledged is lost unless all who had it lost their disks.
func TestMemoryThroughTroubles(t *testing.T) {
	tests := map[string]struct {
		members  int
		troubles []MemberTrouble
		loss     float64
		heals    float64 // s
		loses    bool    // disks are lost on purpose while writes go on
	}{
		"calm":                {members: 5, heals: 110},
		"two, one of them":    {members: 2, loss: 0.3, heals: 110},
		"many are lost":       {members: 9, loss: 0.3, heals: 110},
		"cut":                 {members: 9, troubles: []MemberTrouble{{Kind: Cut, At: 2, For: 20, Number: 4}}, heals: 110},
		"cut, one way":        {members: 9, troubles: []MemberTrouble{{Kind: CutIn, At: 2, For: 20, Number: 3}}, heals: 110},
		"ends, with its disk": {members: 5, troubles: []MemberTrouble{{Kind: Die, At: 2, For: 9, Number: 2}}, heals: 110, loses: true},
		"ends, with none":     {members: 5, troubles: []MemberTrouble{{Kind: Emptied, At: 2, For: 9, Number: 1}}, heals: 110, loses: true},
		"an older disk":       {members: 5, troubles: []MemberTrouble{{Kind: Older, At: 9, For: 3, Number: 1}}, heals: 110, loses: true},
		"all end":             {members: 3, troubles: []MemberTrouble{{Kind: Die, At: 5, For: 2, Share: 1}}, heals: 110},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(schedules(2)) {
				s := MemoryDefault()
				s.Seed, s.Members, s.Troubles, s.Loss, s.Records, s.Span, s.Settle, s.Dead, s.Size = seed, tt.members, tt.troubles, tt.loss, 60, 25, 120, 0.2, sized
				r, err := RunMemory(s)
				require.NoError(t, err)
				require.GreaterOrEqual(t, r.Agree, 0.0, "seed %d: %v", seed, r.Faults)
				assert.LessOrEqual(t, r.Agree, tt.heals, "seed %d", seed)
				assert.Greater(t, r.Met, 50)
				assert.Zero(t, r.Aside)
				if !tt.loses {
					assert.Zero(t, r.Lost, "seed %d", seed)
					assert.Empty(t, r.Faults, "seed %d", seed)
				}
			}
		})
	}
}

// What a member sends at the same writes hardly grows with the fleet: vectors are told by what rose lately.
func TestMemorysBytesDoNotGrowWithTheFleet(t *testing.T) {
	bytes := func(n int) float64 {
		s := MemoryDefault()
		s.Members, s.Writes, s.Records, s.Warm, s.Span, s.Size = n, 2, 200, 12, 20, sized
		r, err := RunMemory(s)
		require.NoError(t, err)
		require.GreaterOrEqual(t, r.Agree, 0.0)
		return r.Bytes
	}
	assert.Less(t, bytes(120), 1.6*bytes(30))
}

// What a cut kept apart meets as soon as it is known to have ended, however many there are.
func TestMemoryHealsAsFastInALargeFleet(t *testing.T) {
	s := MemoryDefault()
	s.Members, s.Records, s.Span, s.Size, s.Troubles = 100, 200, 15, func(*replication.Message) int { return 0 }, []MemberTrouble{{Kind: Cut, At: 3, For: 12, Number: 50}}
	r, err := RunMemory(s)
	require.NoError(t, err)
	require.GreaterOrEqual(t, r.Agree, 0.0)
	assert.Less(t, r.Agree, s.Knows+4)
}

// The checker finds what machines that forget, or don't agree, do.
func TestMemorysCheckerSeesFaults(t *testing.T) {
	m := &memoryMember{holds: make([]uint64, 2)}
	m.hold(0, 7)
	one := m.fold
	m.hold(1, 7)
	assert.NotEqual(t, one, m.fold, "the same at another key is something else")
	m.hold(1, 0)
	assert.Equal(t, one, m.fold)
	low, high := replication.Record{Value: []byte("00000001a")}, replication.Record{Value: []byte("00000001a"), Deleted: true}
	assert.True(t, higher(&high, &low))
	assert.False(t, higher(&low, &high))
}
