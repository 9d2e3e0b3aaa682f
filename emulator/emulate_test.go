package emulator

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/cluster/quota"
	"elderwall/core/routing/retrybudget"
)

func run(t *testing.T, change func(*Scenario)) *Result {
	s := Default()
	s.Seconds, s.Warm = 6, 6
	change(&s)
	r, err := Run(s)
	require.NoError(t, err)
	assert.Empty(t, r.Broken)
	t.Log(r.Total.Word())
	return r
}

func TestTheSameSeedGivesTheSame(t *testing.T) {
	play := func(seed uint64) *Result {
		return run(t, func(s *Scenario) {
			s.Seed, s.Troubles = seed, []Trouble{{Kind: Vanish, At: 1, For: 2, Share: 0.2, Cold: true}, {Kind: Purge, At: 2, Rate: 5}}
		})
	}
	a, b, c := play(1), play(1), play(2)
	assert.Equal(t, a, b)
	assert.NotEqual(t, a.Total, c.Total)
}

func TestACalmFleet(t *testing.T) {
	r := run(t, func(*Scenario) {})
	assert.Greater(t, r.Total.Share(), 0.99)
	assert.InDelta(t, 3000, r.Total.GETs, 300)
	assert.Zero(t, r.Total.Lost+r.Total.Wasted)
	assert.Greater(t, r.Copies[0].Mean, r.Copies[3].Mean, "what is asked for most has the most copies")
}

// Each trouble is brought about, and each does what it says to those that have it.
func TestTroubles(t *testing.T) {
	many := func(s *Scenario) { s.Caches, s.Cells, s.Rate, s.Holds = 200, 10, 1000, 1000 }
	tests := []struct {
		name   string
		change func(*Scenario)
		share  float64
		seen   func(r *Result) bool
	}{
		{
			"silent for good", func(s *Scenario) { many(s); s.Troubles = []Trouble{{Kind: Vanish, At: 1, Cells: 3}} }, 0.96,
			func(r *Result) bool { return r.Total.Lost > 50 && r.Total.Lost < 700 },
		},
		{"silent, and back cold", func(s *Scenario) {
			many(s)
			s.Troubles = []Trouble{{Kind: Vanish, At: 1, For: 2, Cells: 3, Cold: true}}
		}, 0.96, func(r *Result) bool { return r.ColdMost > 0 }},
		{
			"a fifth by chance", func(s *Scenario) { many(s); s.Troubles = []Trouble{{Kind: Vanish, At: 1, Share: 0.2}} }, 0.94,
			func(r *Result) bool { return r.Total.Lost > 30 },
		},
		{
			"all but a few replaced", func(s *Scenario) { many(s); s.Troubles = []Trouble{{Kind: Replace, At: 0, For: 5, Share: 0.97}} }, 0.85,
			func(r *Result) bool { return r.Total.Fills > 1000 },
		},
		{
			"all at once cold", func(s *Scenario) { s.Troubles = []Trouble{{Kind: Restart, At: 1, Share: 1}} }, 0.5,
			func(r *Result) bool { return r.ColdMost > 0.001 },
		},
		{
			"slow ones", func(s *Scenario) { s.Troubles = []Trouble{{Kind: Slow, At: 1, For: 3, Share: 0.2, Factor: 20}} }, 0.8,
			func(r *Result) bool { return r.Total.P99 > 100 },
		},
		{"an object that is cold, then most of all, then cold", func(s *Scenario) {
			s.Rate, s.Troubles = 1000, []Trouble{{Kind: Hot, At: 1, For: 3, Share: 0.6}}
		}, 0.98, func(r *Result) bool { return r.Total.Hits > 4000 }},
		{
			"a scan", func(s *Scenario) { s.Troubles = []Trouble{{Kind: Scan, At: 0, Rate: 300}} }, 0.9,
			func(r *Result) bool { return r.Total.Fills > 1500 && r.Copies[0].Mean >= 1 },
		},
		{
			"a burst", func(s *Scenario) { s.Troubles = []Trouble{{Kind: Burst, At: 1, For: 3, Factor: 2}} }, 0.98,
			func(r *Result) bool { return r.Total.GETs > 4000 },
		},
		{"dispatchers killed", func(s *Scenario) {
			s.Dispatchers, s.Troubles = 20, []Trouble{{Kind: Purge, At: 0, Rate: 20}, {Kind: Kill, At: 2, For: 1, Share: 0.7}}
		}, 0.9, func(r *Result) bool {
			return r.Total.Died > 3 && r.Total.Again >= r.Total.Died && r.Total.Connects > 300
		}},
		{
			"purges", func(s *Scenario) { s.Troubles = []Trouble{{Kind: Purge, At: 0, Rate: 20}} }, 0.97,
			func(r *Result) bool { return r.Total.Fills > 100 },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := run(t, tt.change)
			assert.Greater(t, r.Total.Share(), tt.share)
			assert.True(t, tt.seen(r), "%s; cold most %.3f, copies %v", r.Total.Word(), r.ColdMost, r.Copies)
			assert.LessOrEqual(t, r.ColdMost, 1.0)
		})
	}
}

// A dispatcher that is several keeps the rules, and the copies that one would make.
func TestShards(t *testing.T) {
	one := run(t, func(s *Scenario) { s.Dispatchers = 1 })
	four := run(t, func(s *Scenario) { s.Dispatchers, s.Shards = 1, 4 })
	assert.InDelta(t, one.Total.Share(), four.Total.Share(), 0.01)
	assert.InDelta(t, float64(one.Total.Fills), float64(four.Total.Fills), 0.2*float64(one.Total.Fills))
}

// What would break a rule is found.
func TestBrokenRulesAreFound(t *testing.T) {
	w := &world{Scenario: Default(), out: newResult(Default()), now: 5}
	h := &host{world: w, kind: 0, slots: 1, serve: 0.5, since: 4.9}
	w.chance, w.byID = rand.New(rand.NewPCG(1, 1)), map[uint32]*host{}
	w.build()
	d := newDispatcher(w, 0, &group{})
	d.told[h] = 4
	f := &forward{get: &get{d: d, object: &object{purged: 4.5, told: map[*dispatcher]float64{d: 4.6}}}, at: 4.8, host: h}
	w.checkDrain(h, f)
	for range 3 {
		w.cold(h)
	}
	d.returned(f, 0, 4.4)
	d.expire(&get{d: d})
	assert.Equal(t, map[string]int{
		"new work went to a draining host after the grace": 1, "a cold cache was pushed over": 2,
		"an older copy was returned after the purge grace": 1, "a GET had no answer in time": 1,
	}, w.out.Broken)
}

func TestScenariosThatCannotBe(t *testing.T) {
	for name, change := range map[string]func(*Scenario){
		"no caches":           func(s *Scenario) { s.Caches = 0 },
		"more cells":          func(s *Scenario) { s.Cells = s.Caches + 1 },
		"no end":              func(s *Scenario) { s.Seconds = 1e9 },
		"too many GETs":       func(s *Scenario) { s.Rate = 1e9 },
		"no exponent":         func(s *Scenario) { s.Zipf = 0.5 },
		"a share above one":   func(s *Scenario) { s.Troubles = []Trouble{{Kind: Hot, Share: 2}} },
		"slow by no factor":   func(s *Scenario) { s.Troubles = []Trouble{{Kind: Slow}} },
		"a scan with no rate": func(s *Scenario) { s.Troubles = []Trouble{{Kind: Scan}} },
	} {
		s := Default()
		change(&s)
		_, err := Run(s)
		assert.Error(t, err, name)
	}
}

// Load stays, a trigger passes: most caches answer with errors for a while, and clients come again. With a bound on further
// forwards it is over with the trigger; without, what is tried again keeps the rest busy for seconds more.
func TestFailuresThatAreTriedAgain(t *testing.T) {
	after := func(r retrybudget.Settings) (share float64) {
		got := run(t, func(s *Scenario) {
			s.Dispatchers, s.Slots, s.Holds, s.Rate, s.Objects, s.Again, s.ViewerTimeout = 4, 4, 4000, 3600, 4000, 4, 1
			s.Warm, s.Seconds, s.Retries, s.Troubles = 6, 8, r, []Trouble{{Kind: Err, At: 1, For: 3, Cells: 3}}
		})
		for _, second := range got.Seconds[10:12] {
			share += second.Share() / 2
		}
		return share
	}
	without, with := after(retrybudget.Settings{}), after(retrybudget.Settings{Share: 0.1, Floor: 5})
	t.Logf("in time in the two seconds after: %.3f without, %.3f with", without, with)
	assert.Greater(t, with, 0.9)
	assert.Greater(t, with, without+0.1)
}

// Transfers share links as they come and go: what goes at once takes as long as all of it, and nothing is lost or made.
func TestTransfersShareLinks(t *testing.T) {
	tests := []struct {
		name   string
		shared float64   // KB a second of the link that all share; each has one of 4 of its own, at a pace of 8
		kb     []float64 // begun together
		halted int       // after a second
		ends   []float64 // s; 0 for what was halted
	}{
		{"alone", 100, []float64{8}, -1, []float64{2}},
		{"wide", 0, []float64{8, 4}, -1, []float64{2, 1}},
		{"narrow", 4, []float64{4, 4}, -1, []float64{2, 2}},
		{"a short one first", 4, []float64{2, 6}, -1, []float64{1, 2}},
		{"one is halted", 4, []float64{6, 6}, 0, []float64{0, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := &world{Scenario: Default()}
			w.Pace = 8
			shared, ends, flows := &pipe{kb: tt.shared}, make([]float64, len(tt.kb)), make([]*flow, len(tt.kb))
			for i, kb := range tt.kb {
				flows[i] = w.carry(kb, func() { ends[i] = w.now }, shared, &pipe{kb: 4})
			}
			if tt.halted >= 0 {
				w.at(1, func() { flows[tt.halted].halt() })
			}
			for act, ok := w.events.PopAt(100); ok; act, ok = w.events.PopAt(100) {
				w.now = act.At
				act.Item()
			}
			assert.InDeltaSlice(t, tt.ends, ends, 0.02)
			assert.Empty(t, shared.flows)
		})
	}
}

// Guards against 300 dispatchers, none of which sees much, that together keep the ways into their locations full after a
// burst: by the bytes of answers each finds out. Without them it is the program as it was.
func TestABurstDoesNotOutlastItselfAtManyDispatchers(t *testing.T) {
	play := func(tells bool) *Result {
		return run(t, func(s *Scenario) {
			s.Dispatchers, s.Zones, s.Caches, s.Cells, s.Parents, s.Holds = 150, 20, 100, 20, 6, 1000
			s.Rate, s.Objects, s.Objective, s.ViewerTimeout, s.Again = 1500, 20_000, 0.6, 3, 3
			s.KB, s.Spread, s.Pace, s.CacheKB, s.ParentKB, s.OriginKB, s.WayInKB, s.Tells = 2, 0.6, 8, 60, 200, 1000, 40, tells
			s.Warm, s.Seconds, s.Troubles = 15, 15, []Trouble{{Kind: Burst, At: 3, For: 5, Factor: 1.5}}
		})
	}
	with, without := play(true), play(false)
	assert.Greater(t, with.Total.Share(), without.Total.Share()+0.03)
	assert.Less(t, with.Total.Shed, without.Total.Shed)
}

// What happens to a fleet of members, and what all of them think once it is over. Figures are simulated.
func TestMembersThroughTroubles(t *testing.T) {
	const forever = 1e6
	tests := map[string]struct {
		members  int
		troubles []MemberTrouble
		loss     float64
		levels   map[string]int // at the end
		heals    float64        // intervals by which all know all again after the last trouble; 0 where it lasts
		wrong    bool           // members that are there may be thought to have failed meanwhile
	}{
		"calm":                          {members: 9, levels: map[string]int{"whole": 9}, heals: 25},
		"alone":                         {members: 1, levels: map[string]int{"alone": 1}, heals: 1},
		"one dies":                      {members: 9, troubles: []MemberTrouble{{Kind: Die, At: 5, Number: 1}}, levels: map[string]int{"majority": 8}, heals: 25},
		"one leaves":                    {members: 9, troubles: []MemberTrouble{{Kind: Leave, At: 5, Number: 1}}, levels: map[string]int{"whole": 8}, heals: 8},
		"one dies and is back at once":  {members: 9, troubles: []MemberTrouble{{Kind: Die, At: 5, For: 2, Number: 1}}, levels: map[string]int{"whole": 9}, heals: 20},
		"one dies and is back later":    {members: 9, troubles: []MemberTrouble{{Kind: Die, At: 5, For: 50, Number: 1}}, levels: map[string]int{"whole": 9}, heals: 20},
		"one stands still for a while":  {members: 9, troubles: []MemberTrouble{{Kind: Stall, At: 5, For: 10, Number: 1}}, levels: map[string]int{"whole": 9}, heals: 20},
		"one stands still for long":     {members: 9, troubles: []MemberTrouble{{Kind: Stall, At: 5, For: 60, Number: 1}}, levels: map[string]int{"whole": 9}, heals: 20},
		"one hears nobody":              {members: 9, troubles: []MemberTrouble{{Kind: CutIn, At: 5, For: 60, Number: 1}}, levels: map[string]int{"whole": 9}, heals: 40},
		"one is heard by nobody":        {members: 9, troubles: []MemberTrouble{{Kind: CutOut, At: 5, For: 60, Number: 1}}, levels: map[string]int{"whole": 9}, heals: 40},
		"a bad link":                    {members: 9, troubles: []MemberTrouble{{Kind: Lossy, At: 5, For: 100, Number: 1}}, levels: map[string]int{"whole": 9}, heals: 40},
		"cut in two":                    {members: 9, troubles: []MemberTrouble{{Kind: Cut, At: 5, For: forever, Number: 4}}, levels: map[string]int{"majority": 5, "minority": 4}},
		"cut in halves":                 {members: 8, troubles: []MemberTrouble{{Kind: Cut, At: 5, For: forever, Number: 4}}, levels: map[string]int{"minority": 8}},
		"cut in two and healed":         {members: 9, troubles: []MemberTrouble{{Kind: Cut, At: 5, For: 60, Number: 4}}, levels: map[string]int{"whole": 9}, heals: 40},
		"cut in three and healed":       {members: 30, troubles: []MemberTrouble{{Kind: Cut, At: 5, For: 60, Number: 10}, {Kind: Cut, At: 5, For: 60, Number: 10}}, levels: map[string]int{"whole": 30}, heals: 60},
		"restarted while cut":           {members: 9, troubles: []MemberTrouble{{Kind: Cut, At: 5, For: 60, Number: 4}, {Kind: Die, At: 20, For: 5, Number: 2}}, levels: map[string]int{"whole": 9}, heals: 60},
		"all die and come back":         {members: 9, troubles: []MemberTrouble{{Kind: Die, At: 5, For: 5, Share: 1}}, levels: map[string]int{"whole": 9}, heals: 30},
		"most die and come back, lossy": {members: 30, loss: 0.2, troubles: []MemberTrouble{{Kind: Die, At: 5, For: 10, Share: 0.7}}, wrong: true},
		"a third of datagrams lost":     {members: 9, loss: 0.3, wrong: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				s := MembersDefault()
				s.Seed, s.Members, s.Troubles, s.Loss, s.Span = seed, tt.members, tt.troubles, tt.loss, 250
				r, err := RunMembers(s)
				require.NoError(t, err)
				if tt.levels != nil { // with many lost, by chance one hears nobody for a moment
					assert.Equal(t, tt.levels, r.Levels, "seed %d: %v", seed, r.Views)
				}
				if tt.heals > 0 {
					assert.GreaterOrEqual(t, r.Heal, 0.0, "seed %d: %v", seed, r.Lasting)
					assert.LessOrEqual(t, r.Heal, tt.heals, "seed %d", seed)
				}
				if !tt.wrong {
					assert.LessOrEqual(t, r.WrongBy, map[bool]int{true: 0, false: tt.members}[len(tt.troubles) == 0], "seed %d", seed)
				}
			}
		})
	}
}

// Chance troubles: what all may use by their own reckoning is never over the whole, and what is at the host neither.
func TestBudgetsThroughTrouble(t *testing.T) {
	for seed := range uint64(150) {
		chance, s := rand.New(rand.NewPCG(seed, 5)), BudgetDefault()
		s.Seed, s.Dispatchers, s.Span, s.Warm, s.Loss, s.Restarts = seed, 3+chance.IntN(10), 60, 5, 0.2*chance.Float64(), chance.Float64()*20
		s.Kind = quota.Kind(1 + seed%2)
		s.Whole, s.Burst = float64([]int{0, 1, 3, 20, 200}[chance.IntN(5)]), float64(chance.IntN(20))
		s.Demand = 0.5 + 2*chance.Float64()
		kinds := []string{Cut, Stall, Die, NoDivider, NoDivider, Whole, Surge, Moving}
		for range 5 {
			s.Troubles = append(s.Troubles, BudgetTrouble{Kind: kinds[chance.IntN(len(kinds))], At: chance.Float64() * 40, For: chance.ExpFloat64() * 8, Share: chance.Float64()})
		}
		s.Watch = func(at BudgetSight) {
			sum := int64(0)
			for _, l := range at.Limits {
				sum += l
			}
			whole := int64(at.Whole)
			if s.Kind == quota.Rate {
				whole = int64(at.Whole * 1000)
			}
			if sum > whole {
				t.Fatalf("seed %d at %.2f s: %d may be used of %d\n%+v", seed, at.At, sum, whole, s)
			}
			if s.Kind == quota.InFlight && int64(at.InUse) > whole {
				t.Fatalf("seed %d at %.2f s: %d are in use of %d\n%+v", seed, at.At, at.InUse, whole, s)
			}
		}
		r, err := RunBudgets(s)
		require.NoError(t, err)
		assert.Zero(t, r.Overfull, "seed %d", seed)
		if s.Kind == quota.Rate {
			within(t, seed, r.Events, s)
		}
	}
}

// within looks over every window that begins at an event: what came in it is no more than its length lets through, and the burst.
func within(t *testing.T, seed uint64, events []float64, s BudgetScenario) {
	t.Helper()
	most, whole := s.Whole, s.Whole
	for _, o := range s.Troubles {
		if o.Kind == Whole {
			whole *= o.Share
			most = max(most, whole)
		}
	}
	for _, span := range []float64{0.1, 1, 10, 60} {
		first := 0
		for i, at := range events {
			for at-events[first] > span {
				first++
			}
			if n := float64(i - first + 1); n > s.Burst+float64(s.Dispatchers)+most*span*(1+2*quota.Drift)+1 {
				t.Fatalf("seed %d: %g events in %g s before %.2f, of %g and %g a second", seed, n, span, at, s.Burst, most)
			}
		}
	}
}
