package lease

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// stateWith returns a state with some duties, named d0, d1 and so on, for which the named dispatchers are registered.
func stateWith(duties int, names ...string) *State {
	s := NewState()
	var all []string
	for i := range duties {
		all = append(all, fmt.Sprint("d", i))
		s.Apply(Command{Kind: Declare, Duty: all[i], LeaseLength: 3})
	}
	for _, n := range names {
		s.Apply(Command{Kind: Register, Duties: all, Name: n, BootID: 1, Zone: "z" + n[len(n)-1:]})
	}
	return s
}

// grants lists command sequences, with the holder of duty d0 and its token after each sequence.
var grants = map[string]struct {
	commands []Command
	holder   string
	token    uint64
}{
	"no candidate":                       {nil, "", 0},
	"the only candidate":                 {[]Command{{Kind: Register, Duties: []string{"d0"}, Name: "a", BootID: 1}}, "a", 1},
	"the first candidate keeps the duty": {[]Command{{Kind: Register, Duties: []string{"d0"}, Name: "a", BootID: 1}, {Kind: Register, Duties: []string{"d0"}, Name: "b", BootID: 1, Priority: 9}}, "a", 1},
	"the highest priority": {[]Command{
		{Kind: Register, Duties: []string{"d0"}, Name: "a", BootID: 1},
		{Kind: Register, Duties: []string{"d0"}, Name: "b", BootID: 1},
		{Kind: Register, Duties: []string{"d0"}, Name: "c", BootID: 1, Priority: 1},
		{Kind: Release, Duty: "d0", Token: 1},
	}, "c", 2},
	"the preferred zone": {[]Command{
		{Kind: Declare, Duty: "d0", LeaseLength: 3, Zone: "east"},
		{Kind: Register, Duties: []string{"d0"}, Name: "a", BootID: 1},
		{Kind: Register, Duties: []string{"d0"}, Name: "b", BootID: 1, Zone: "west"},
		{Kind: Register, Duties: []string{"d0"}, Name: "c", BootID: 1, Zone: "east"},
		{Kind: Release, Duty: "d0", Token: 1},
	}, "c", 2},
	"the target of a transfer": {[]Command{
		{Kind: Register, Duties: []string{"d0"}, Name: "a", BootID: 1},
		{Kind: Register, Duties: []string{"d0"}, Name: "b", BootID: 1},
		{Kind: Register, Duties: []string{"d0"}, Name: "c", BootID: 1, Priority: 1},
		{Kind: Transfer, Duty: "d0", Token: 1, Name: "b"},
		{Kind: Release, Duty: "d0", Token: 1},
	}, "b", 2},
	"another candidate than the one whose lease expired": {[]Command{
		{Kind: Register, Duties: []string{"d0"}, Name: "a", BootID: 1, Priority: 9},
		{Kind: Register, Duties: []string{"d0"}, Name: "b", BootID: 1},
		{Kind: Expire, Duty: "d0", Token: 1},
	}, "b", 2},
	"the candidate whose lease expired if there is no other": {[]Command{{Kind: Register, Duties: []string{"d0"}, Name: "a", BootID: 1}, {Kind: Expire, Duty: "d0", Token: 1}}, "a", 2},
	"commands with an old token are ignored": {[]Command{
		{Kind: Register, Duties: []string{"d0"}, Name: "a", BootID: 1},
		{Kind: Release, Duty: "d0", Token: 1},
		{Kind: Register, Duties: []string{"d0"}, Name: "b", BootID: 1},
		{Kind: Expire, Duty: "d0", Token: 1},
		{Kind: Release, Duty: "d0", Token: 1},
	}, "b", 2},
	"an unregistered candidate gets nothing": {[]Command{
		{Kind: Register, Duties: []string{"d0"}, Name: "a", BootID: 1},
		{Kind: Register, Duties: []string{"d0"}, Name: "b", BootID: 1},
		{Kind: Unregister, Name: "b", BootID: 1},
		{Kind: Release, Duty: "d0", Token: 1},
	}, "", 0},
	"tokens are skipped after a recovery": {[]Command{{Kind: SkipTokens}, {Kind: Register, Duties: []string{"d0"}, Name: "a", BootID: 1}}, "a", RecoveryTokenSkip + 1},
}

// Guards against a duty that goes to the wrong candidate or gets a wrong token, and against a snapshot that loses part of
// the state.
func TestGrantSelectsCandidate(t *testing.T) {
	for name, tt := range grants {
		t.Run(name, func(t *testing.T) {
			s := stateWith(1)
			for _, c := range tt.commands {
				s.Apply(c)
			}
			d := s.Get("d0")
			assert.Equal(t, tt.holder, d.Holder.Name)
			assert.Equal(t, tt.token, d.Token)
			all, err := Unpack(Pack(s.Save()))
			require.NoError(t, err)
			assert.Equal(t, s.Save(), Restore(all).Save(), "a snapshot holds the whole state")
		})
	}
}

// Guards against a grant that overloads a dispatcher or moves more duties than needed: no dispatcher may hold more than
// 25% above the even share (with 2 duties of tolerance), and when one dispatcher fails, the duties of the others must
// stay where they are.
func TestGrantsSpreadDutiesAndLeaveOthersInPlace(t *testing.T) {
	s := stateWith(300, "n1", "n2", "n3", "n4", "n5", "n6")
	releaseAll := func(all map[string]Duty) { // release each duty once, so that all registered dispatchers take part in the next grant
		for name, d := range all {
			s.Apply(Command{Kind: Release, Duty: name, Token: d.Token})
			s.Apply(Command{Kind: Register, Duties: []string{name}, Name: d.Holder.Name, BootID: 1})
		}
	}
	held := func() map[string]Duty {
		all := map[string]Duty{}
		for _, n := range s.Names() {
			all[n] = *s.Get(n)
		}
		return all
	}
	releaseAll(held())
	for name, n := range s.loads {
		assert.LessOrEqual(t, n, 300*5/(6*4)+2, name)
	}
	before := held()
	for name, d := range before {
		if d.Holder.Name == "n3" {
			s.Apply(Command{Kind: Expire, Duty: name, Token: d.Token})
		}
	}
	moved := 0
	for name, d := range held() {
		if was := before[name].Holder.Name; was != "n3" && was != d.Holder.Name {
			moved++
		}
	}
	assert.Zero(t, moved, "duties of the other dispatchers stay")
	assert.Len(t, s.loads, 5)
}

// Random command sequences, interrupted by snapshots, must never grant a lower or a used token: a receiver that checks
// tokens could otherwise accept the actions of a former holder.
func TestTokensRiseAndAreNeverReused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, seen, last := NewState(), map[uint64]string{}, uint64(0)
		for range rapid.IntRange(1, 120).Draw(t, "commands") {
			c := Command{
				Kind: CommandKind(rapid.IntRange(0, 12).Draw(t, "kind")), Duty: rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "duty"),
				Name: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name"), BootID: rapid.Uint64Range(1, 3).Draw(t, "boot"),
				LeaseLength: rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "length"), Token: rapid.Uint64Range(0, last+1).Draw(t, "token"),
			}
			c.Duties = []string{c.Duty, "b"}
			s.Apply(c)
			if rapid.IntRange(0, 9).Draw(t, "restored") == 0 {
				s = Restore(s.Save())
			}
			for name, d := range maps.All(s.duties) {
				if !d.Held() {
					continue
				}
				who := fmt.Sprint(name, d.Holder.Name, d.Holder.BootID)
				if was, ok := seen[d.Token]; ok {
					require.Equal(t, was, who, "each token belongs to one grant")
					continue
				}
				require.Greater(t, d.Token, uint64(0))
				require.Less(t, d.Token, s.NextToken)
				seen[d.Token], last = who, max(last, d.Token)
			}
			loads, held := totalLoadAndHeldDuties(s)
			require.Equal(t, held, loads)
		}
	})
}

// totalLoadAndHeldDuties returns the sum of the loads of all dispatchers and the number of held duties; the two must be
// equal.
func totalLoadAndHeldDuties(s *State) (loads, held int) {
	for _, n := range s.loads {
		loads += n
	}
	for _, d := range s.duties {
		if d.Held() {
			held++
		}
	}
	return loads, held
}

// Commands from outside must not make the state grow without bound, and commands beyond the limits must be rejected.
func TestStateSizeIsBounded(t *testing.T) {
	s := NewState()
	for i := range 3 * MaxDuties {
		s.Apply(Command{Kind: Declare, Duty: fmt.Sprint("d", i), LeaseLength: 1})
	}
	assert.Len(t, s.duties, MaxDuties)
	for i := range 2 * MaxCandidates {
		s.Apply(Command{Kind: Register, Duties: []string{"d0"}, Name: fmt.Sprint("n", i), BootID: 1})
		s.Apply(Command{Kind: RegisterVoter, Token: uint64(i + 1), Name: fmt.Sprint("n", i), DiskEpoch: 1})
	}
	assert.Len(t, s.Get("d0").Waiting, MaxCandidates)
	assert.Len(t, s.voters, 4*MaxVoters)
	long := strings.Repeat("x", MaxNameBytes+1)
	for _, c := range []Command{{Kind: Declare, Duty: long, LeaseLength: 1}, {Kind: Declare, Duty: "x", LeaseLength: 0.01}, {Kind: Register, Duties: []string{"d1"}, Name: long}} {
		assert.Error(t, c.Check())
		assert.Empty(t, s.Apply(c))
	}
}

// Guards against a set of voters that loses its quorum through changes: learners come first, one change is made at a
// time, a voter is replaced if its disk was lost, and none is removed only because it is away.
func TestNextVoterChange(t *testing.T) {
	willing := func(ids ...int) (all []WillingVoter) {
		for _, id := range ids {
			all = append(all, WillingVoter{Voter{ID: uint64(id), Name: fmt.Sprint("n", id%10), DiskEpoch: 1}, true})
		}
		return all
	}
	for name, tt := range map[string]struct {
		voters, learners []uint64
		willing          []WillingVoter
		lagging          bool
		want             VoterChange
	}{
		"a second dispatcher is willing":                     {[]uint64{1}, nil, willing(1, 2), false, VoterChange{AddLearner, 2, "n2"}},
		"the learner has not caught up":                      {[]uint64{1}, []uint64{2}, willing(1, 2), true, VoterChange{}},
		"the learner has caught up":                          {[]uint64{1}, []uint64{2}, willing(1, 2), false, VoterChange{Promote, 2, "n2"}},
		"the limit of voters is reached":                     {[]uint64{1, 2, 3, 4, 5}, nil, willing(1, 2, 3, 4, 5, 6), false, VoterChange{}},
		"a voter is away":                                    {[]uint64{1, 2, 3}, nil, willing(1, 2), false, VoterChange{}},
		"a voter came back with another disk":                {[]uint64{1, 2, 3, 4, 5}, nil, willing(1, 2, 3, 4, 15), false, VoterChange{AddLearner, 15, "n5"}},
		"the replacement votes, so the lost disk is removed": {[]uint64{1, 2, 3, 4, 5, 15}, nil, willing(1, 2, 3, 4, 15), false, VoterChange{Remove, 5, "n5"}},
		"a learner came back with another disk":              {[]uint64{1, 2}, []uint64{3}, willing(1, 2, 13), false, VoterChange{Remove, 3, "n3"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			for id := range 6 {
				s.Apply(Command{Kind: RegisterVoter, Token: uint64(id + 1), Name: fmt.Sprint("n", id+1), DiskEpoch: 1})
			}
			assert.Equal(t, tt.want, s.NextVoterChange(tt.voters, tt.learners, tt.willing, func(uint64) bool { return !tt.lagging }))
		})
	}
}

// If the granter's lease ended first, a second dispatcher could become holder while the first still acts. The test uses
// random message delays and clocks that drift by up to MaxClockDrift.
func TestHolderLeaseEndsBeforeGranterLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.Float64Range(MinLeaseLength, 30).Draw(t, "length")
		granterRate, holderRate := 1+rapid.Float64Range(-MaxClockDrift, MaxClockDrift).Draw(t, "granter"), 1+rapid.Float64Range(-MaxClockDrift, MaxClockDrift).Draw(t, "holder")
		delay, answerDelay, s := rapid.Float64Range(0, 2).Draw(t, "delay"), rapid.Float64Range(0, 2).Draw(t, "answer delay"), stateWith(0)
		s.Apply(Command{Kind: Declare, Duty: "d", LeaseLength: length})
		g := NewGranter(s)
		g.SetLeading(0, true)
		h := NewHolder("a", 1, "", 0)
		h.Register("d", 1, 100)
		request, send, _ := h.Tick(100)
		require.True(t, send)
		for _, c := range g.Commands(&request) {
			for _, n := range s.Apply(c) {
				g.DutyChanged(delay*granterRate, n)
			}
		}
		h.HandleAnswer(100+(delay+answerDelay)*holderRate, request.ID, g.Renew(delay*granterRate, &request))
		expiredAt := 0.0 // real time at which the granter proposes the expiry
		for now := 0.0; expiredAt == 0; now += length / 500 {
			for _, c := range g.Tick(now * granterRate) {
				if c.Kind == Expire {
					expiredAt = now
				}
			}
		}
		_, ok := h.HeldToken("d", 100+expiredAt*holderRate)
		assert.False(t, ok, "granter ended the lease at %g", expiredAt)
	})
}

// A holder must not act under a lease after an answer that came out of order, after releasing the duty for another
// dispatcher, or after leaving.
func TestHolderHandlesLateAnswersAndRelease(t *testing.T) {
	h := NewHolder("a", 1, "z", 0)
	h.Register("d", 1, 0)
	one, send, _ := h.Tick(0)
	require.True(t, send)
	_, send, onTime := h.Tick(0.1)
	assert.False(t, send)
	assert.True(t, onTime)
	two, send, onTime := h.Tick(0.6)
	require.True(t, send)
	assert.False(t, onTime, "the next request must go to another voter")
	h.HandleAnswer(0.8, two.ID, []Lease{{"d", 1, 3, false}, {"x", 2, 3, false}})
	h.HandleAnswer(0.9, one.ID, nil)
	token, ok := h.HeldToken("d", 0.8)
	assert.Equal(t, []any{uint64(1), true}, []any{token, ok})
	_, ok = h.HeldToken("x", 0.8)
	assert.False(t, ok, "the dispatcher is not registered for the duty")
	assert.InDelta(t, 0.6+3*(1-MaxClockDrift), h.ExpiresAt("d"), 1e-9, "timed from when the request was sent")
	_, ok = h.HeldToken("d", 3.58)
	assert.False(t, ok)
	three, send, _ := h.Tick(1.7)
	require.True(t, send)
	h.HandleAnswer(1.8, three.ID, []Lease{{"d", 1, 3, true}})
	assert.Equal(t, []string{"d"}, h.TransfersRequested())
	h.Release("d", 1.9)
	_, ok = h.HeldToken("d", 1.9)
	assert.False(t, ok, "no action is allowed after the release")
	four, send, _ := h.Tick(1.9)
	require.True(t, send)
	assert.Equal(t, []Lease{{"d", 1, 3, true}}, four.Released)
	h.Leave(2)
	assert.False(t, h.AllReleased())
	five, send, _ := h.Tick(2)
	require.True(t, send)
	assert.Empty(t, five.Duties)
	h.HandleAnswer(2.1, five.ID, nil)
	assert.True(t, h.AllReleased())
}

// A restarted process receives an answer to a request of its predecessor. Accepting it would give it a lease that was
// granted to the predecessor.
func TestHolderIgnoresAnswerToEarlierProcess(t *testing.T) {
	one, two := NewHolder("a", 1, "", 0), NewHolder("a", 2, "", 0)
	for _, h := range []*Holder{one, two} {
		h.Register("d", 3, 0)
	}
	old, _, _ := one.Tick(0)
	_, send, _ := two.Tick(0)
	require.True(t, send)
	two.HandleAnswer(0.1, old.ID, []Lease{{"d", 1, 3, false}})
	_, ok := two.HeldToken("d", 0.1)
	assert.False(t, ok)
}

// A receiver must reject an action of a former holder after it has seen a token of the successor.
func TestFenceRejectsLowerTokens(t *testing.T) {
	var f Fence
	for _, step := range []struct {
		token    uint64
		accepted bool
	}{{0, false}, {3, true}, {3, true}, {2, false}, {5, true}, {3, false}} {
		assert.Equal(t, step.accepted, f.Accept("d", step.token), step.token)
	}
	assert.True(t, f.Accept("e", 1))
}

// In a starting fleet the first dispatcher gets all duties. Rebalance must transfer them until no dispatcher holds far
// more than the even share, without moving a duty twice, and then stop.
func TestRebalanceEvensLoadWithFewTransfers(t *testing.T) {
	s := NewState()
	for i := range 100 {
		s.Apply(Command{Kind: Declare, Duty: fmt.Sprint("d", i), LeaseLength: 3})
	}
	for i := range 10 {
		s.Apply(Command{Kind: Register, Duties: s.Names(), Name: fmt.Sprint("n", i), BootID: 1})
	}
	require.Equal(t, 100, s.loads["n0"])
	moved := 0
	for round := range 100 {
		var releases []Command
		all := s.Rebalance()
		for _, c := range append(all, s.Rebalance()...) { // called again while the first transfers are in progress
			s.Apply(c)
		}
		for _, name := range s.Names() {
			if d := s.Get(name); d.TransferTo != "" {
				releases = append(releases, Command{Kind: Release, Duty: name, Token: d.Token})
			}
		}
		for i, c := range releases {
			was := s.Get(c.Duty).Holder
			if (round+i)%3 > 0 { // the remaining duties are released in later rounds
				moved++
				s.Apply(c)
				s.Apply(Command{Kind: Register, Duties: []string{c.Duty}, Name: was.Name, BootID: 1})
			}
		}
	}
	for name, n := range s.loads {
		assert.LessOrEqual(t, n, 15, name)
	}
	assert.Empty(t, s.Rebalance())
	assert.Less(t, moved, 100, "no duty moves twice")
}
