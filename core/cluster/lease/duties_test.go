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

func with(duties int, names ...string) *State {
	s := NewState()
	var all []string
	for i := range duties {
		all = append(all, fmt.Sprint("d", i))
		s.Apply(Command{Act: Declare, Duty: all[i], Length: 3})
	}
	for _, n := range names {
		s.Apply(Command{Act: Stand, Duties: all, Name: n, Boot: 1, Zone: "z" + n[len(n)-1:]})
	}
	return s
}

// grants are commands, and who has duty d0 after them by which token.
var grants = map[string]struct {
	commands []Command
	holder   string
	token    uint64
}{
	"nobody stands":           {nil, "", 0},
	"the only one":            {[]Command{{Act: Stand, Duties: []string{"d0"}, Name: "a", Boot: 1}}, "a", 1},
	"the first, who keeps it": {[]Command{{Act: Stand, Duties: []string{"d0"}, Name: "a", Boot: 1}, {Act: Stand, Duties: []string{"d0"}, Name: "b", Boot: 1, Priority: 9}}, "a", 1},
	"by priority": {[]Command{
		{Act: Stand, Duties: []string{"d0"}, Name: "a", Boot: 1},
		{Act: Stand, Duties: []string{"d0"}, Name: "b", Boot: 1},
		{Act: Stand, Duties: []string{"d0"}, Name: "c", Boot: 1, Priority: 1},
		{Act: GiveBack, Duty: "d0", Token: 1},
	}, "c", 2},
	"by the zone wished for": {[]Command{
		{Act: Declare, Duty: "d0", Length: 3, Zone: "east"},
		{Act: Stand, Duties: []string{"d0"}, Name: "a", Boot: 1},
		{Act: Stand, Duties: []string{"d0"}, Name: "b", Boot: 1, Zone: "west"},
		{Act: Stand, Duties: []string{"d0"}, Name: "c", Boot: 1, Zone: "east"},
		{Act: GiveBack, Duty: "d0", Token: 1},
	}, "c", 2},
	"who is named": {[]Command{
		{Act: Stand, Duties: []string{"d0"}, Name: "a", Boot: 1},
		{Act: Stand, Duties: []string{"d0"}, Name: "b", Boot: 1},
		{Act: Stand, Duties: []string{"d0"}, Name: "c", Boot: 1, Priority: 1},
		{Act: HandOver, Duty: "d0", Token: 1, Name: "b"},
		{Act: GiveBack, Duty: "d0", Token: 1},
	}, "b", 2},
	"another than who let it run out": {[]Command{
		{Act: Stand, Duties: []string{"d0"}, Name: "a", Boot: 1, Priority: 9},
		{Act: Stand, Duties: []string{"d0"}, Name: "b", Boot: 1},
		{Act: Expire, Duty: "d0", Token: 1},
	}, "b", 2},
	"who let it run out, where there is no other": {[]Command{{Act: Stand, Duties: []string{"d0"}, Name: "a", Boot: 1}, {Act: Expire, Duty: "d0", Token: 1}}, "a", 2},
	"no one by an old token": {[]Command{
		{Act: Stand, Duties: []string{"d0"}, Name: "a", Boot: 1},
		{Act: GiveBack, Duty: "d0", Token: 1},
		{Act: Stand, Duties: []string{"d0"}, Name: "b", Boot: 1},
		{Act: Expire, Duty: "d0", Token: 1},
		{Act: GiveBack, Duty: "d0", Token: 1},
	}, "b", 2},
	"not one that is gone": {[]Command{
		{Act: Stand, Duties: []string{"d0"}, Name: "a", Boot: 1},
		{Act: Stand, Duties: []string{"d0"}, Name: "b", Boot: 1},
		{Act: Gone, Name: "b", Boot: 1},
		{Act: GiveBack, Duty: "d0", Token: 1},
	}, "", 0},
	"after a recovery, far above": {[]Command{{Act: Skip}, {Act: Stand, Duties: []string{"d0"}, Name: "a", Boot: 1}}, "a", Jump + 1},
}

func TestWhoGetsADuty(t *testing.T) {
	for name, tt := range grants {
		t.Run(name, func(t *testing.T) {
			s := with(1)
			for _, c := range tt.commands {
				s.Apply(c)
			}
			d := s.Get("d0")
			assert.Equal(t, tt.holder, d.Holder.Name)
			assert.Equal(t, tt.token, d.Token)
			all, err := Unpack(Pack(s.Save()))
			require.NoError(t, err)
			assert.Equal(t, s.Save(), Restore(all).Save(), "a snapshot is all of it")
		})
	}
}

// Many duties over some dispatchers: nobody has more than a quarter over his share, and when one goes hardly any others move.
func TestDutiesAreSpreadAndHardlyMove(t *testing.T) {
	s := with(300, "n1", "n2", "n3", "n4", "n5", "n6")
	give := func(all map[string]Duty) { // all are given back once, so that all who stand now count
		for name, d := range all {
			s.Apply(Command{Act: GiveBack, Duty: name, Token: d.Token})
			s.Apply(Command{Act: Stand, Duties: []string{name}, Name: d.Holder.Name, Boot: 1})
		}
	}
	held := func() map[string]Duty {
		all := map[string]Duty{}
		for _, n := range s.Names() {
			all[n] = *s.Get(n)
		}
		return all
	}
	give(held())
	for name, n := range s.loads {
		assert.LessOrEqual(t, n, 300*5/(6*4)+2, name)
	}
	before := held()
	for name, d := range before {
		if d.Holder.Name == "n3" {
			s.Apply(Command{Act: Expire, Duty: name, Token: d.Token})
		}
	}
	moved := 0
	for name, d := range held() {
		if was := before[name].Holder.Name; was != "n3" && was != d.Holder.Name {
			moved++
		}
	}
	assert.Zero(t, moved, "those of the others stay")
	assert.Len(t, s.loads, 5)
}

// Whatever is applied in whatever order: tokens rise, none comes twice, also over snapshots, and tables are bounded.
func TestTokensRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, seen, last := NewState(), map[uint64]string{}, uint64(0)
		for range rapid.IntRange(1, 120).Draw(t, "commands") {
			c := Command{
				Act: Act(rapid.IntRange(0, 12).Draw(t, "act")), Duty: rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "duty"),
				Name: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name"), Boot: rapid.Uint64Range(1, 3).Draw(t, "boot"),
				Length: rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "length"), Token: rapid.Uint64Range(0, last+1).Draw(t, "token"),
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
				who := fmt.Sprint(name, d.Holder.Name, d.Holder.Boot)
				if was, ok := seen[d.Token]; ok {
					require.Equal(t, was, who, "one token, one grant")
					continue
				}
				require.Greater(t, d.Token, uint64(0))
				require.Less(t, d.Token, s.Next)
				seen[d.Token], last = who, max(last, d.Token)
			}
			loads, held := loadsAndHeld(s)
			require.Equal(t, held, loads)
		}
	})
}

// loadsAndHeld is the sum of all holders' loads, and the number of duties that are held.
func loadsAndHeld(s *State) (loads, held int) {
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

// Nobody can make the state grow without bound.
func TestBounds(t *testing.T) {
	s := NewState()
	for i := range 3 * MostDuties {
		s.Apply(Command{Act: Declare, Duty: fmt.Sprint("d", i), Length: 1})
	}
	assert.Len(t, s.duties, MostDuties)
	for i := range 2 * MostCandidates {
		s.Apply(Command{Act: Stand, Duties: []string{"d0"}, Name: fmt.Sprint("n", i), Boot: 1})
		s.Apply(Command{Act: Sit, Token: uint64(i + 1), Name: fmt.Sprint("n", i), Era: 1})
	}
	assert.Len(t, s.Get("d0").Waiting, MostCandidates)
	assert.Len(t, s.seats, 4*MostSeats)
	long := strings.Repeat("x", LongestName+1)
	for _, c := range []Command{{Act: Declare, Duty: long, Length: 1}, {Act: Declare, Duty: "x", Length: 0.01}, {Act: Stand, Duties: []string{"d1"}, Name: long}} {
		assert.Error(t, c.Check())
		assert.Empty(t, s.Apply(c))
	}
}

// Who votes: learners first, one at a time, a lost disk replaced, nobody taken out for being away.
func TestWhoVotes(t *testing.T) {
	willing := func(ids ...int) (all []Willing) {
		for _, id := range ids {
			all = append(all, Willing{Seat{ID: uint64(id), Name: fmt.Sprint("n", id%10), Era: 1}, true})
		}
		return all
	}
	for name, tt := range map[string]struct {
		voters, learners []uint64
		willing          []Willing
		behind           bool
		want             Change
	}{
		"one comes":                        {[]uint64{1}, nil, willing(1, 2), false, Change{AddLearner, 2, "n2"}},
		"it lags":                          {[]uint64{1}, []uint64{2}, willing(1, 2), true, Change{}},
		"it has caught up":                 {[]uint64{1}, []uint64{2}, willing(1, 2), false, Change{Promote, 2, "n2"}},
		"enough vote":                      {[]uint64{1, 2, 3, 4, 5}, nil, willing(1, 2, 3, 4, 5, 6), false, Change{}},
		"one is away":                      {[]uint64{1, 2, 3}, nil, willing(1, 2), false, Change{}},
		"one came with another disk":       {[]uint64{1, 2, 3, 4, 5}, nil, willing(1, 2, 3, 4, 15), false, Change{AddLearner, 15, "n5"}},
		"and votes: the lost disk goes":    {[]uint64{1, 2, 3, 4, 5, 15}, nil, willing(1, 2, 3, 4, 15), false, Change{Remove, 5, "n5"}},
		"a learner came with another disk": {[]uint64{1, 2}, []uint64{3}, willing(1, 2, 13), false, Change{Remove, 3, "n3"}},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewState()
			for id := range 6 {
				s.Apply(Command{Act: Sit, Token: uint64(id + 1), Name: fmt.Sprint("n", id+1), Era: 1})
			}
			assert.Equal(t, tt.want, s.NextChange(tt.voters, tt.learners, tt.willing, func(uint64) bool { return !tt.behind }))
		})
	}
}

// The holder's lease is over before the granter's, from whichever moment either counts, with clocks that drift.
func TestALeaseEndsAtItsHolderFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := rapid.Float64Range(LeastTime, 30).Draw(t, "length")
		fast, slow := 1+rapid.Float64Range(-Drift, Drift).Draw(t, "granter"), 1+rapid.Float64Range(-Drift, Drift).Draw(t, "holder")
		way, back, s := rapid.Float64Range(0, 2).Draw(t, "way"), rapid.Float64Range(0, 2).Draw(t, "back"), with(0)
		s.Apply(Command{Act: Declare, Duty: "d", Length: length})
		g := NewGranter(s)
		g.Lead(0, true)
		h := NewHolder("a", 1, "", 0)
		h.Want("d", 1, 100)
		turn, ask, _ := h.Tick(100)
		require.True(t, ask)
		for _, c := range g.Commands(&turn) {
			for _, n := range s.Apply(c) {
				g.Applied(way*fast, n)
			}
		}
		h.Answer(100+(way+back)*slow, turn.ID, g.Confirm(way*fast, &turn))
		ends := 0.0 // by true time, when the granter ends it
		for now := 0.0; ends == 0; now += length / 500 {
			for _, c := range g.Tick(now * fast) {
				if c.Act == Expire {
					ends = now
				}
			}
		}
		_, ok := h.Act("d", 100+ends*slow)
		assert.False(t, ok, "ended at %g", ends)
	})
}

// What a holder does in the worst order: an answer that is late, a duty that others want, leaving.
func TestHolder(t *testing.T) {
	h := NewHolder("a", 1, "z", 0)
	h.Want("d", 1, 0)
	one, ask, _ := h.Tick(0)
	require.True(t, ask)
	_, ask, fresh := h.Tick(0.1)
	assert.False(t, ask)
	assert.True(t, fresh)
	two, ask, fresh := h.Tick(0.6)
	require.True(t, ask)
	assert.False(t, fresh, "another voter is to be asked")
	h.Answer(0.8, two.ID, []Lease{{"d", 1, 3, false}, {"x", 2, 3, false}})
	h.Answer(0.9, one.ID, nil)
	token, ok := h.Act("d", 0.8)
	assert.Equal(t, []any{uint64(1), true}, []any{token, ok})
	_, ok = h.Act("x", 0.8)
	assert.False(t, ok, "it does not stand for it")
	assert.InDelta(t, 0.6+3*(1-Drift), h.Until("d"), 1e-9, "from when it asked")
	_, ok = h.Act("d", 3.58)
	assert.False(t, ok)
	three, ask, _ := h.Tick(1.7)
	require.True(t, ask)
	h.Answer(1.8, three.ID, []Lease{{"d", 1, 3, true}})
	assert.Equal(t, []string{"d"}, h.Handing())
	h.GiveBack("d", 1.9)
	_, ok = h.Act("d", 1.9)
	assert.False(t, ok, "it is given up before it is told")
	four, ask, _ := h.Tick(1.9)
	require.True(t, ask)
	assert.Equal(t, []Lease{{"d", 1, 3, true}}, four.Backs)
	h.Leave(2)
	assert.False(t, h.Settled())
	five, ask, _ := h.Tick(2)
	require.True(t, ask)
	assert.Empty(t, five.Stands)
	h.Answer(2.1, five.ID, nil)
	assert.True(t, h.Settled())
}

// A process that was started anew gets an answer that was meant for the one before it.
func TestAnAnswerToAnEarlierProcess(t *testing.T) {
	one, two := NewHolder("a", 1, "", 0), NewHolder("a", 2, "", 0)
	for _, h := range []*Holder{one, two} {
		h.Want("d", 3, 0)
	}
	old, _, _ := one.Tick(0)
	_, ask, _ := two.Tick(0)
	require.True(t, ask)
	two.Answer(0.1, old.ID, []Lease{{"d", 1, 3, false}})
	_, ok := two.Act("d", 0.1)
	assert.False(t, ok)
}

func TestFence(t *testing.T) {
	var f Fence
	for _, step := range []struct {
		token uint64
		takes bool
	}{{0, false}, {3, true}, {3, true}, {2, false}, {5, true}, {3, false}} {
		assert.Equal(t, step.takes, f.Take("d", step.token), step.token)
	}
	assert.True(t, f.Take("e", 1))
}

// A fleet that starts gives all to whoever asked first; they are handed over until nobody has far more than the even share, and then nothing moves.
func TestLevel(t *testing.T) {
	s := NewState()
	for i := range 100 {
		s.Apply(Command{Act: Declare, Duty: fmt.Sprint("d", i), Length: 3})
	}
	for i := range 10 {
		s.Apply(Command{Act: Stand, Duties: s.Names(), Name: fmt.Sprint("n", i), Boot: 1})
	}
	require.Equal(t, 100, s.loads["n0"])
	moved := 0
	for round := range 100 {
		var back []Command
		all := s.Level()
		for _, c := range append(all, s.Level()...) { // again while they are on their way
			s.Apply(c)
		}
		for _, name := range s.Names() {
			if d := s.Get(name); d.To != "" {
				back = append(back, Command{Act: GiveBack, Duty: name, Token: d.Token})
			}
		}
		for i, c := range back {
			was := s.Get(c.Duty).Holder
			if (round+i)%3 > 0 { // others come later
				moved++
				s.Apply(c)
				s.Apply(Command{Act: Stand, Duties: []string{c.Duty}, Name: was.Name, Boot: 1})
			}
		}
	}
	for name, n := range s.loads {
		assert.LessOrEqual(t, n, 15, name)
	}
	assert.Empty(t, s.Level())
	assert.Less(t, moved, 100, "each moves once")
}
