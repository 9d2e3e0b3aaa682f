package sharding

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"elderwall/core/routing"
	"elderwall/core/routing/rendezvous"
	"elderwall/core/timerwheel"
	"elderwall/internal/standin/need"
)

// traffic is GETs a second by key.
type traffic map[uint64]float64

// reports is what n shards see of traffic in a turn by a table; those in still say nothing.
func reports(t *Table, n int, of traffic, seconds float64, still ...int) []Report {
	all, tallies, turn := make([]Report, n), make([]Tally, n), uint64(0)
	for key, rate := range of {
		for range int(rate * seconds) {
			turn++
			s := t.Of(key, turn)
			all[s].Slots[key%Slots]++
			tallies[s].Add(key)
		}
	}
	for i := range all {
		all[i].Heard, all[i].Items = true, tallies[i].Take()
		if slices.Contains(still, i) {
			all[i] = Report{}
		}
	}
	return all
}

func loads(r []Report) (all []float64, most, mean float64) {
	for i := range r {
		all = append(all, r[i].Total())
		mean += r[i].Total() / float64(len(r))
	}
	return all, slices.Max(all), mean
}

func evenly(n int, rate float64) traffic {
	of := traffic{}
	for i := range n {
		of[Key(fmt.Sprint(i), 0)] = rate
	}
	return of
}

// settleFor plays turns until nothing changes, and gives the last reports.
func settleFor(m *Module, of traffic, from float64, turns int, still ...int) (r []Report, moved int) {
	for i := range turns {
		r = reports(m.Table(), m.Shards(), of, 0.25, still...)
		moved += m.Turn(from+0.25*float64(i+1), r).Moved
	}
	return reports(m.Table(), m.Shards(), of, 0.25), moved
}

func TestABusyShardIsRelievedAndLoadDoesNotFlap(t *testing.T) {
	m, of := New(4, ByItem), evenly(3000, 4)
	times := func(factor float64, shard int) {
		for key := range of {
			if m.Table().Of(key, 0) == shard {
				of[key] *= factor
			}
		}
	}
	times(5, 0)
	r, moved := settleFor(m, of, 0, 40)
	_, most, mean := loads(r)
	assert.Less(t, most, 1.3*mean)
	assert.Positive(t, moved)
	_, moved = settleFor(m, of, 10, 200)
	assert.Zero(t, moved, "it stays")
	times(2, 1)
	_, moved = settleFor(m, of, 60, 1)
	assert.Zero(t, moved, "a burst of one turn moves nothing")
}

func TestAnItemThatIsHotIsSpreadAndComesBack(t *testing.T) {
	for _, share := range []float64{0.1, 0.2, 0.6, 0.95} {
		m, of, hot := New(8, ByItem), evenly(1000, 400*(1-share)), Key("hot", 0)
		of[hot] = 400000 * share
		r, _ := settleFor(m, of, 0, 15)
		all, most, mean := loads(r)
		over := m.Table().hot[hot]
		assert.Less(t, most, 1.6*mean, "%v: %v", share, all)
		assert.Equal(t, math.Min(8, math.Ceil(share*8/hotPart)), float64(len(over)), "%v", share)
		of[hot] = 400
		settleFor(m, of, 10, 4)
		assert.Empty(t, m.Table().hot, "%v: it is one shard's again", share)
	}
	m, of, key := New(8, ByItem), evenly(1000, 8), Key("near", 0)
	for i := range 40 { // about what makes it hot, back and forth
		of[key] = []float64{700, 400}[i%2] // of 1000 that are one shard's
		m.Turn(float64(i+1), reports(m.Table(), 8, of, 1))
		assert.Contains(t, m.Table().hot, key, "it does not flap")
	}
}

func TestAShardThatIsNotHeardOfGetsNothingNew(t *testing.T) {
	m, of := New(4, ByItem), evenly(1000, 8)
	before := m.Table()
	settleFor(m, of, 0, 1, 2)
	for key := range of {
		assert.NotEqual(t, 2, m.Table().Of(key, 1))
		if before.Of(key, 1) != 2 {
			assert.Equal(t, before.Of(key, 1), m.Table().Of(key, 1), "the others keep theirs")
		}
	}
	for i, still := range [][]int{nil, {0, 1, 2, 3}} { // it has its own again, and if none is heard of nothing changes
		settleFor(m, of, float64(i+1), 1, still...)
		for key := range of {
			assert.Equal(t, before.Of(key, 1), m.Table().Of(key, 1), "%v", still)
		}
	}
}

func TestResizingMovesNoMoreThanItMust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New(rapid.IntRange(1, 16).Draw(t, "first"), ByItem)
		for range 4 {
			before, was, n := m.Table(), m.Shards(), rapid.IntRange(1, 16).Draw(t, "shards")
			m.Resize(n)
			count, moved := make([]int, n), 0
			for slot, s := range m.Table().slots {
				count[s]++
				if before.slots[slot] != s {
					moved++
				}
			}
			most, least := slices.Max(count), slices.Min(count)
			require.False(t, most-least > Slots/n+1 || least == 0, "%d shards have %v", n, count)
			must := Slots - Slots*min(n, was)/max(n, was) + 17
			require.False(t, moved > must, "from %d to %d: %d slots moved, at most %d must", was, n, moved, must)
		}
	})
}

func TestTheTallyFindsWhatIsAskedForMost(t *testing.T) {
	chance := rand.New(rand.NewPCG(1, 2))
	zipf := rand.NewZipf(chance, 1.1, 1, 1<<20)
	var tally Tally
	exact := map[uint64]uint32{}
	const n = 200000
	for range n {
		key := zipf.Uint64()
		exact[key]++
		tally.Add(key)
	}
	found := map[uint64]uint32{}
	assert.LessOrEqual(t, len(tally.by), watched)
	for _, c := range tally.Take() {
		found[c.Key] = c.N
	}
	for key, asked := range exact {
		if asked > n/shown {
			assert.Equal(t, asked, found[key], "%d", key)
		}
	}
	assert.LessOrEqual(t, len(found), shown)
	assert.Empty(t, tally.Take())
}

func TestPotsAreOnePotForAll(t *testing.T) {
	var p Pots
	assert.InDelta(t, 0.5, p.Add(7, 10, 0.5, 0, 2), 1e-9)
	assert.InDelta(t, 1.0, p.Add(7, 10, 0.5, 0.5, 2), 1e-9, "what it begins with is there once")
	assert.InDelta(t, 2.0, p.Add(7, 10, 0.5, 5, 2), 1e-9)
	assert.Equal(t, []bool{true, true, false, false}, []bool{p.Spend(7, 1), p.Spend(7, 1), p.Spend(7, 1), p.Spend(7, 1)})
	assert.InDelta(t, 0.25, p.Add(7, 20, 0.25, 0, 2), 1e-9, "another start, another pot")
	assert.False(t, p.Spend(8, 1))
	assert.Equal(t, []bool{true, false, true, true}, []bool{p.Trial(0, 7, 1), p.Trial(1, 7, 2), p.Trial(1, 7, 1), p.Trial(4, 7, 2)},
		"one at a time, and who asks no more loses it")
	p.Done(7)
	assert.True(t, p.Trial(4, 7, 1))
	for host := range uint32(3 * mostPots) {
		p.Add(host, 0, 0, 0, 1)
		p.Trial(0, host, 0)
	}
	assert.LessOrEqual(t, len(p.cold), mostPots)
	assert.LessOrEqual(t, len(p.trials), mostPots)
}

func TestMemoryIsWhatCounts(t *testing.T) {
	m := Memory{Keep: 6}
	assert.False(t, m.Listed())
	m.Reset()
	m.Host("b", 2)
	m.Host("a", 1)
	m.Host("c", 3)
	m.Gone("c")
	m.Purge(0, "x", 0, "old")
	m.Purge(5, "", 17, "group")
	m.Purge(6, "y", 0, "first")
	m.Purge(7, "y", 0, "last")
	hosts, purges := m.All(7)
	assert.Equal(t, []any{1, 2}, hosts)
	assert.Equal(t, []any{"group", "last"}, purges)
	for i := range 2 * mostPurges {
		m.Purge(100+float64(i)/1000, fmt.Sprint(i), 0, i)
	}
	assert.LessOrEqual(t, len(m.purges), mostPurges)
	m.Reset()
	hosts, _ = m.All(7)
	require.Empty(t, hosts)
}

func BenchmarkOf(b *testing.B) {
	m := New(8, ByItem)
	t := m.next()
	t.hot = map[uint64][]uint16{1: {1, 2}}
	for name, t := range map[string]*Table{"none-hot": m.Table(), "some-hot": t} {
		need.Bench(b, name, func(i int) { t.Of(Key("7f3a9c21e0b4d655", i&7), uint64(i)) })
	}
}

func BenchmarkTally(b *testing.B) {
	zipf, keys := rand.NewZipf(rand.New(rand.NewPCG(1, 2)), 1.1, 1, 1<<20), make([]uint64, 1<<16)
	for i := range keys {
		keys[i] = rendezvous.Mix(zipf.Uint64())
	}
	var t Tally
	need.Bench(b, "zipf", func(i int) {
		if t.Add(keys[i&(1<<16-1)]); i%5000 == 4999 { // a turn
			t.Take()
		}
	})
}

const (
	schedules   = 1500 // each with a seed of its own
	lasts       = 4.0  // s
	perSecond   = 150.0
	weight      = 4.0 // transfers at once that a host carries, s/s
	sending     = 0.04
	watchEvery  = 0.01
	stillAfter  = 0.025
	answerAhead = 0.05
)

var rules = routing.Settings{
	ParentKind: 1, OriginKind: 2, CanCancel: true, MaxAttempts: 6, PurgeGrace: 3, WeightsKnown: true, CoalesceFills: true,
	SlowStartInitial: 0.2, SlowStartRamp: 9, OverloadMultiple: 2, OverloadWindow: 1, ParentSlowStartInitial: 0.2, ParentSlowStartRamp: 9, ParentOverloadMultiple: 2, DispatchersByZone: []int{1}, Dispatchers: 1,
	TransferRateKB: 100, Services: []routing.DeliveryService{{Objective: 0.5, ViewerTimeout: 1, PriorityWeight: 1, Idempotency: routing.Idempotent}},
}

// world is a process of shards on a clock of its own; whatever breaks a rule is a fault.
type world struct {
	now            float64
	due            timerwheel.Wheel[func()]
	chance         *rand.Rand
	m              *Module
	pots           Pots
	all            []*shard // that there ever were
	active         []*shard
	memory         Memory
	hosts          map[uint32]*simHost
	purged         map[string]float64
	gets           []*simGET
	faults         []string
	midway         func() // to happen in the middle of a decision
	stalls, behind int
}

type simHost struct {
	routing.Endpoint
	told float64 // when it drained, or was gone; 0 for neither
	sent []sent  // while it was cold
	down bool
}

type sent struct{ at, work float64 }

type simGET struct {
	object          string
	until, answered float64
	answers         int
	shard           *shard
}

// shard is one as internal/dispatcher runs it: a line that notices go to the head of.
type shard struct {
	*world
	number      int
	d           *routing.Router
	line        []func()
	waits       []float64 // when each was put there
	notices     []func()
	found       []routing.PeerUpdate
	told, heard int
	running     bool
	still       float64 // until when it stands still
	stood       float64 // since when
	gets        map[uint32]*simGET
	ended       []routing.AttemptResult
	last        uint32
	tally       Tally
	slots       [Slots]uint32
	forwards    map[[2]int]func() // cancels, by GET and number
}

func (w *world) after(delay float64, do func()) { w.due.Add(w.now+delay, do) }

func (w *world) fault(format string, v ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, v...))
}

func (w *world) add() *shard {
	s := &shard{world: w, number: len(w.all), gets: map[uint32]*simGET{}, forwards: map[[2]int]func(){}}
	settings := rules
	settings.Shards, settings.Peers, settings.Seed = 8, s, uint64(s.number)
	s.d = routing.New(settings, w.now, s)
	for _, notice := range w.known() {
		s.notices = append(s.notices, func() { notice(s) })
		s.told++
	}
	w.all = append(w.all, s)
	return s
}

// known is the list and the purges, for a shard that is new.
func (w *world) known() (all []func(*shard)) {
	hosts, purges := w.memory.All(w.now)
	entries := []routing.Endpoint{}
	for _, h := range hosts {
		entries = append(entries, h.(routing.Endpoint))
	}
	all = append(all, func(s *shard) { s.d.UpdateEndpoints(w.now, routing.ListComplete, entries) })
	for _, p := range purges {
		name, at := p.(string), w.purged[p.(string)]
		all = append(all, func(s *shard) { s.d.HandlePurge(w.now, name, 0, w.now-at) })
	}
	return all
}

// tell puts a notice in line in every shard, and has those that can act on it.
func (w *world) tell(notice func(*shard)) {
	for _, s := range w.all {
		s.notices = append(s.notices, func() { notice(s) })
		s.told++
	}
	for _, s := range w.all {
		s.serve()
	}
}

func (s *shard) put(task func()) {
	s.line, s.waits = append(s.line, task), append(s.waits, s.now)
	s.serve()
}

func (s *shard) serve() {
	if s.running || s.now < s.still {
		return
	}
	s.running = true
	for len(s.line)+len(s.notices) > 0 && s.now >= s.still {
		s.hear()
		if len(s.found) > 0 {
			for _, n := range s.found {
				s.d.HandlePeerUpdate(s.now, n)
			}
			s.found = nil
		}
		if len(s.line) == 0 {
			break
		}
		task := s.line[0]
		s.line, s.waits = s.line[1:], s.waits[1:]
		task()
		s.d.RunRetries(s.now)
		for len(s.ended) > 0 {
			ended := s.ended
			s.ended = nil
			s.hear()
			for _, a := range ended {
				s.d.HandleResult(s.now, a)
			}
			s.d.RunRetries(s.now)
		}
	}
	s.running = false
}

func (s *shard) hear() {
	for s.told != s.heard {
		notices := s.notices
		s.notices = nil
		for _, notice := range notices {
			notice()
			s.d.RunRetries(s.now)
			s.heard++
		}
	}
}

// Forward checks what goes out against the rules, and has the host answer.
func (s *shard) Forward(f routing.Attempt) {
	if s.midway != nil {
		now := s.midway
		s.midway = nil
		now()
	}
	number := 0
	for s.forwards[[2]int{int(f.RequestID), number}] != nil {
		number++
	}
	key, over := [2]int{int(f.RequestID), number}, false
	back := func(a routing.AttemptResult) {
		if over {
			return
		}
		over, a.RequestID, a.Attempt = true, f.RequestID, number
		s.ended = append(s.ended, a)
	}
	s.forwards[key] = func() { back(routing.AttemptResult{Outcome: routing.Canceled}) }
	if s.told != s.heard {
		s.behind++
		back(routing.AttemptResult{Outcome: routing.Rejected})
		return
	}
	h, g := s.hosts[f.Host], s.gets[f.RequestID]
	if h.told > 0 {
		s.fault("%.3f: shard %d sends to host %d, which drains since %.3f", s.now, s.number, f.Host, h.told)
	}
	if at, purged := s.purged[g.object]; purged && s.now-at < rules.PurgeGrace && (f.MaxAge == 0 || f.MaxAge > s.now-at+2e-6) {
		s.fault("%.3f: shard %d asks for a copy of any age, purged at %.3f", s.now, s.number, at)
	}
	if h.OnlineSinceKnown && s.now-h.OnlineSince < rules.SlowStartRamp {
		h.sent = append(h.sent, sent{s.now, sending})
		s.tipped(h)
	}
	from, serve := s.now, 0.01+0.05*s.chance.Float64()
	s.after(serve, func() {
		s.put(func() {
			a := routing.AttemptResult{Outcome: routing.Succeeded, Note: routing.CacheHit, Elapsed: s.now - from}
			if h.down || s.chance.IntN(40) == 0 {
				a.Outcome, a.Note = routing.HostFailed, routing.NoNote
			}
			if a.Outcome == routing.Succeeded && !over {
				s.answer(g)
			}
			back(a)
		})
	})
}

// tipped tells whether a cold host got more within the time of its fall than would push it over, and one GET.
func (s *shard) tipped(h *simHost) {
	sum := 0.0
	for _, one := range h.sent {
		if one.at > s.now-rules.OverloadWindow {
			sum += one.work
		}
	}
	age := s.now - h.OnlineSince
	can := weight * (rules.SlowStartInitial + (1-rules.SlowStartInitial)*age/rules.SlowStartRamp) * rules.OverloadMultiple * rules.OverloadWindow
	if sum > can+sending {
		s.fault("%.3f: host %d, cold since %.3f, got %.3f s in %v s, it bears %.3f", s.now, h.ID, h.OnlineSince, sum, rules.OverloadWindow, can)
	}
}

func (s *shard) Cancel(get uint32, number int) {
	if cancel := s.forwards[[2]int{int(get), number}]; cancel != nil {
		cancel()
	}
}
func (s *shard) Shed(get uint32, _ float64) { s.answer(s.gets[get]) }
func (s *shard) Fail(get uint32)            { s.answer(s.gets[get]) }
func (s *shard) Schedule(delay float64, _ string) {
	s.after(delay, func() { s.put(func() { s.d.HandleTimer(s.now) }) })
}
func (s *shard) PollEndpoints()       {}
func (s *shard) HostEjected(uint32)   {}
func (s *shard) HostRecovered(uint32) {}

func (s *shard) AccrueCredit(host uint32, since, first, add, most float64) float64 {
	return s.pots.Add(host, since, first, add, most)
}
func (s *shard) SpendCredit(host uint32, work float64) bool { return s.pots.Spend(host, work) }
func (s *shard) ClaimProbe(now float64, host uint32) bool   { return s.pots.Trial(now, host, s.number) }

func (s *shard) Publish(n routing.PeerUpdate) {
	if !n.Ejected && n.Limit == routing.NoLimit {
		s.pots.Done(n.Host)
	}
	for _, o := range s.all {
		if o != s {
			o.found = append(o.found, n)
		}
	}
}

// answer books the one answer of a GET; what comes after one in the shard's place is dropped at the front.
func (w *world) answer(g *simGET) {
	if g.answers++; g.answers == 1 {
		g.answered = w.now
	}
}

func (w *world) arrive() {
	object := fmt.Sprint("o", w.chance.IntN(30))
	if w.chance.IntN(3) == 0 {
		object = "hot"
	}
	key, g := Key(object, 0), &simGET{object: object, until: w.now + 1}
	s := w.active[w.m.Table().Of(key, w.chance.Uint64())]
	g.shard = s
	w.gets = append(w.gets, g)
	s.put(func() {
		s.slots[key%Slots]++
		s.tally.Add(key)
		if waited, left := s.now-g.until+1, g.until-s.now; waited > Waits && left < TooLittle {
			s.answer(g)
			return
		}
		s.last++
		id := s.last
		s.gets[id] = g
		s.d.HandleRequest(s.now, routing.Request{ID: id, Object: object, Deadline: g.until, SizeKB: sending * rules.TransferRateKB})
	})
	w.after(w.chance.ExpFloat64()/perSecond, w.arrive)
}

// watch answers in place of shards that stand still.
func (w *world) watch() {
	for _, g := range w.gets {
		s := g.shard
		since := s.stood
		if len(s.waits) > 0 {
			since = min(since, s.waits[0])
		}
		if g.answers == 0 && s.now < s.still && s.now-since > stillAfter && g.until <= w.now+answerAhead {
			w.answer(g)
		}
	}
	w.after(watchEvery, w.watch)
}

func (w *world) turn() {
	var r []Report
	for _, s := range w.active {
		one := Report{}
		if w.now >= s.still {
			one = Report{Heard: true, Slots: s.slots, Items: s.tally.Take()}
			s.slots = [Slots]uint32{}
		}
		r = append(r, one)
	}
	w.m.Turn(w.now, r)
	w.after(0.25, w.turn)
}

// trouble is a notice, a stall or another number of shards, at chance moments and in the middle of decisions.
func (w *world) trouble() {
	w.after(w.chance.ExpFloat64()*0.15, w.trouble)
	host := w.hosts[uint32(1+w.chance.IntN(len(w.hosts)))]
	happen := func() {
		switch w.chance.IntN(6) {
		case 0:
			name := fmt.Sprint("o", w.chance.IntN(30))
			w.purged[name] = w.now
			w.memory.Purge(w.now, name, 0, name)
			at := w.now
			w.tell(func(s *shard) { s.d.HandlePurge(s.now, name, 0, s.now-at) })
		case 1, 2: // it drains or comes back cold
			if host.told == 0 {
				host.told, host.Phase = w.now, routing.Draining
			} else {
				host.told, host.Phase, host.sent = 0, routing.Ready, nil
				host.OnlineSince, host.OnlineSinceKnown = w.now, true
			}
			e := host.Endpoint
			w.memory.Host(fmt.Sprint(e.ID), e)
			w.tell(func(s *shard) { s.d.UpdateEndpoints(s.now, routing.ListChanges, []routing.Endpoint{e}) })
		case 3:
			host.down = !host.down
		default:
			s := w.active[w.chance.IntN(len(w.active))]
			if w.now >= s.still { // else it stands still already, and goes on to
				s.stood = w.now
			}
			s.still = max(s.still, w.now+w.chance.Float64()*1.2)
			w.stalls++
			w.after(s.still-w.now, s.serve)
		}
	}
	if w.chance.IntN(2) == 0 {
		w.midway = happen
	} else {
		happen()
	}
}

func (w *world) resize() {
	n := 1 + w.chance.IntN(8)
	w.m.Resize(n)
	for len(w.active) < n {
		w.active = append(w.active, w.add())
	}
	w.active = w.active[:n:n]
	w.after(0.5+w.chance.Float64(), w.resize)
}

func simulate(seed uint64) *world {
	w := &world{chance: rand.New(rand.NewPCG(seed, 1)), hosts: map[uint32]*simHost{}, purged: map[string]float64{}, memory: Memory{Keep: rules.PurgeGrace}}
	w.memory.Reset()
	for id := range uint32(4) {
		e := routing.Endpoint{ID: id + 1, Phase: routing.Ready, Weight: weight}
		w.hosts[e.ID] = &simHost{Endpoint: e}
		w.memory.Host(fmt.Sprint(e.ID), e)
	}
	w.m = New(1+w.chance.IntN(8), ByItem)
	for range w.m.Shards() {
		w.active = append(w.active, w.add())
	}
	for _, s := range w.active {
		s.serve()
	}
	w.after(0, w.arrive)
	w.after(0.01, w.watch)
	w.after(0.25, w.turn)
	w.after(0.3, w.trouble)
	w.after(w.chance.Float64()*2, w.resize)
	for e, ok := w.due.PopAt(lasts); ok; e, ok = w.due.PopAt(lasts) {
		w.now = e.At
		e.Item()
	}
	for i, g := range w.gets {
		if g.until < lasts && (g.answers == 0 || g.answered > g.until) {
			w.fault("GET %d of shard %d: %d answers, the first %.3f s after its client left", i, g.shard.number, g.answers, g.answered-g.until)
		}
	}
	return w
}

// TestShardsKeepTheRules plays schedules of notices, stalls, moves and resizes, each by its seed: nothing goes to a host that drains, nothing is
// answered from before a purge, no cold host gets more from all shards than it bears, and each GET has its answer in time.
func TestShardsKeepTheRules(t *testing.T) {
	t.Parallel()
	gets, stalls, behind, answered := 0, 0, 0, 0
	for seed := range uint64(schedules) {
		w := simulate(seed)
		gets, stalls, behind = gets+len(w.gets), stalls+w.stalls, behind+w.behind
		for _, g := range w.gets {
			answered += min(1, g.answers)
		}
		if !assert.Empty(t, w.faults[:min(3, len(w.faults))], "seed %d", seed) {
			return
		}
	}
	t.Logf("%d GETs, %d answered, %d stalls, %d forwards kept back", gets, answered, stalls, behind)
	assert.Positive(t, min(stalls, behind), "the schedules have what they are for")
	a, b := simulate(7), simulate(7)
	assert.Equal(t, len(a.gets), len(b.gets), "the same seed plays the same")
	assert.Equal(t, a.behind, b.behind)
}
