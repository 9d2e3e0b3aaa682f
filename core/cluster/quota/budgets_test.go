package quota

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// testTail is the allocator's tail in seconds.
const testTail = 2.0

// simulation runs a log, an allocator and two holders whose messages are delivered as the events say. Its checker
// computes its own sums from the state of the holders.
type simulation struct {
	kind       Kind
	total      int64
	now        float64
	log        *Ledger
	token, seq uint64
	allocator  *Allocator
	holders    []*Holder
	clocks     []float64 // rates of the holders' clocks, by holder
	bootIDs    []uint64
	requests   []Request
	// In flight, in the order in which they were sent.
	responses    []AddressedResponse
	oldResponses []AddressedResponse // delivered or dropped; may be delivered again
	fault        string              // injected fault, "" for none
	windowNumber uint64
	usedByEnded  int64 // units of an amount used by holders that were restarted
}

// events are the events of a schedule by name. Schedules are drawn from the sorted names, so that renaming one changes
// what is drawn.
var events = map[string]func(sim *simulation){
	"ask 0":         func(sim *simulation) { sim.sendRequest(0) },
	"ask 1":         func(sim *simulation) { sim.sendRequest(1) },
	"hear":          func(sim *simulation) { sim.deliverRequest() },
	"step":          func(sim *simulation) { sim.stepAllocator(true) },
	"step, lost":    func(sim *simulation) { sim.stepAllocator(false) },
	"answer":        func(sim *simulation) { sim.deliverNextResponse() },
	"answer, lost":  func(sim *simulation) { sim.dropResponse() },
	"answer again":  func(sim *simulation) { sim.redeliverResponse() },
	"some time":     func(sim *simulation) { sim.advance(Lease / 3) },
	"a lease":       func(sim *simulation) { sim.advance(Lease * 1.1) },
	"another":       func(sim *simulation) { sim.replaceAllocator(false) },
	"another, late": func(sim *simulation) { sim.replaceAllocator(true) },
	"restart 0":     func(sim *simulation) { sim.restart(0) },
	"use":           func(sim *simulation) { sim.useAll() },
}

// newSimulation returns a simulation in which both holders have grants.
func newSimulation(kind Kind, fault string) *simulation {
	sim := &simulation{kind: kind, total: 4, log: NewLedger(), fault: fault, clocks: []float64{1 + Drift*0.9, 1 - Drift*0.9}, bootIDs: []uint64{0, 0}, holders: make([]*Holder, 2)}
	if kind == Rate {
		sim.total *= RateUnits
	}
	sim.restart(0)
	sim.restart(1)
	sim.replaceAllocator(false)
	sim.runRounds(8) // until both holders have grants
	return sim
}

func (sim *simulation) budgets() []Budget {
	return []Budget{{Name: "b", Kind: sim.kind, Total: sim.total, Burst: 2, Window: 60}}
}

// localTime returns the time by a holder's clock.
func (sim *simulation) localTime(i int) float64 { return sim.now * sim.clocks[i] }

func (sim *simulation) restart(i int) {
	if previous := sim.holders[i]; previous != nil {
		sim.usedByEnded += previous.budgets["b"].used
	}
	sim.bootIDs[i]++
	sim.holders[i] = NewHolder(fmt.Sprint(i), sim.bootIDs[i], "z", fmt.Sprint("a", i))
	sim.holders[i].AddBudget("b", sim.kind, sim.localTime(i))
}

func (sim *simulation) sendRequest(i int) {
	sim.holders[i].nextRequest = 0
	if q, ok := sim.holders[i].Tick(sim.localTime(i)); ok {
		sim.requests = append(sim.requests, q)
	}
}

func (sim *simulation) deliverRequest() {
	if len(sim.requests) > 0 {
		sim.allocator.HandleRequest(sim.now, sim.requests[0])
		sim.requests = sim.requests[1:]
		if sim.fault == "lease ends at once" {
			sim.allocator.startedAt -= 2 * Lease
			for _, s := range sim.allocator.states {
				s.lastContact = min(s.lastContact, sim.now-Lease)
			}
		}
	}
}

func (sim *simulation) stepAllocator(acknowledged bool) {
	c, all := sim.allocator.Step(sim.now)
	sim.responses = append(sim.responses, all...)
	if c == nil {
		return
	}
	ok := sim.log.Apply(c)
	if !acknowledged || !ok { // the acknowledgement was lost or the command rejected: an allocator with the same fencing token reads the ledger again
		sim.startAllocator()
		return
	}
	sim.responses = append(sim.responses, sim.allocator.Applied(sim.now, ok)...)
}

func (sim *simulation) deliverNextResponse() {
	if len(sim.responses) == 0 {
		return
	}
	a := sim.responses[0]
	sim.responses = sim.responses[1:]
	sim.deliver(a)
}

func (sim *simulation) deliver(a AddressedResponse) {
	sim.oldResponses = append(sim.oldResponses, a)
	i := 0
	_, _ = fmt.Sscan(a.Name, &i)
	h := sim.holders[i]
	if h.bootID != a.BootID {
		return
	}
	if sim.fault == "any response is accepted" && len(a.Grants) > 0 {
		h.lastRequestID, h.answeredID = a.ID, a.ID-1
	}
	accepted := h.HandleResponse(sim.localTime(i), a.Response)
	if accepted && sim.fault == "lease counted from the response" {
		h.leaseEnd = sim.localTime(i) + Lease*(1-Drift)
	}
	if accepted && sim.fault == "amount outlives its lease" {
		h.leaseEnd += 100 * Lease
	}
}

func (sim *simulation) dropResponse() {
	if len(sim.responses) > 0 {
		sim.oldResponses = append(sim.oldResponses, sim.responses[0])
		sim.responses = sim.responses[1:]
	}
}

func (sim *simulation) redeliverResponse() {
	if len(sim.oldResponses) > 0 {
		sim.deliver(sim.oldResponses[len(sim.oldResponses)/2])
	}
}

func (sim *simulation) advance(seconds float64) { sim.now += seconds }

// replaceAllocator starts another allocator with a higher fencing token. If lateCommand is set, the last command of the
// previous allocator reaches the log after that.
func (sim *simulation) replaceAllocator(lateCommand bool) {
	var pending *Command
	if sim.allocator != nil && lateCommand {
		pending, _ = sim.allocator.Step(sim.now)
	}
	sim.token++
	sim.seq = 0
	sim.startAllocator()
	if pending != nil {
		sim.log.Apply(pending)
	}
}

// startAllocator starts an allocator from the ledger with the current fencing token.
func (sim *simulation) startAllocator() {
	sim.seq += 1 << 16
	sim.log.Apply(&Command{Token: sim.token, Seq: sim.seq})
	since := sim.now
	if sim.fault == "new allocator does not restart leases" {
		since -= 2 * Lease
	}
	sim.allocator = NewAllocator(Restore(sim.log.Save()), sim.token, since, testTail, 1, sim.budgets())
}

// useAll uses everything that the holders may use of an amount.
func (sim *simulation) useAll() {
	for i, h := range sim.holders {
		for sim.kind == Amount && h.Take(sim.localTime(i), "b", 1) {
		}
	}
}

// runRound sends a request from each holder and delivers all messages.
func (sim *simulation) runRound() {
	sim.advance(0.5)
	for i, h := range sim.holders {
		h.Take(sim.localTime(i), "b", 100) // more than the total, so that every holder has need
		sim.sendRequest(i)
	}
	for len(sim.requests) > 0 {
		sim.deliverRequest()
	}
	for range 3 {
		sim.stepAllocator(true)
	}
	for len(sim.responses) > 0 {
		sim.deliverNextResponse()
	}
}

func (sim *simulation) runRounds(n int) {
	for range n {
		sim.runRound()
	}
}

// check returns an error if the holders may use more than the total. It sums what each holder may use by its own
// clock, without the ledger's figures.
func (sim *simulation) check() error {
	sum, used := int64(0), sim.usedByEnded
	for i, h := range sim.holders {
		s := h.budgets["b"]
		used += s.used
		if sim.kind == Amount {
			sum += max(0, h.Limit(sim.localTime(i), "b")-s.used)
			continue
		}
		sum += max(h.Limit(sim.localTime(i), "b"), s.inUse)
	}
	if a := sim.log.Accounts["b"]; a != nil && a.WindowNumber != sim.windowNumber { // a new window started
		sim.windowNumber, sim.usedByEnded, used = a.WindowNumber, sim.usedByEnded-used, 0
	}
	if sum+used > sim.total {
		return fmt.Errorf("%d units may be used and %d were used, of a total of %d", sum, used, sim.total)
	}
	return nil
}

// play runs a schedule, checking after each event. Then it runs rounds without faults and checks that the holders get
// nearly the whole total again.
func (sim *simulation) play(names []string) error {
	for _, n := range names {
		events[n](sim)
		if err := sim.check(); err != nil {
			return fmt.Errorf("%w after events %v", err, names)
		}
	}
	if sim.kind == Amount { // units reserved by a restarted process count as spent and do not return
		return nil
	}
	for range 60 {
		sim.runRound()
		if err := sim.check(); err != nil {
			return fmt.Errorf("%w in rounds without faults after events %v", err, names)
		}
	}
	sum := int64(0)
	for i, h := range sim.holders {
		sum += h.Limit(sim.localTime(i), "b")
	}
	if sum < sim.total*9/10 {
		return fmt.Errorf("only %d of %d units may be used in the end after events %v", sum, sim.total, names)
	}
	return nil
}

func eventNames() []string {
	var all []string
	for n := range events {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

// TestLimitsHoldUnderEveryEventOrder tries every sequence of a few events. Guards against holders that together use
// more than the total, and against units that are lost for good, after any order of lost, late and repeated messages.
// The environment variable ELDERWALL_DEPTH sets the length of the sequences.
func TestLimitsHoldUnderEveryEventOrder(t *testing.T) {
	depth := 3
	_, _ = fmt.Sscan(os.Getenv("ELDERWALL_DEPTH"), &depth)
	all := eventNames()
	for _, kind := range []Kind{InFlight, Amount} {
		n := 0
		var walk func(schedule []string)
		walk = func(schedule []string) {
			if len(schedule) == depth {
				n++
				if err := newSimulation(kind, "").play(schedule); err != nil {
					t.Fatalf("kind %d: %v", kind, err)
				}
				return
			}
			for _, e := range all {
				walk(append(slices.Clone(schedule), e))
			}
		}
		walk(nil)
		t.Logf("kind %d: %d event orders", kind, n)
	}
}

// runRandomSchedules plays random schedules of 40 events and returns the number of the first that fails with its
// error, or 0 if none does.
func runRandomSchedules(kind Kind, fault string, limit int) (found int, err error) {
	all := eventNames()
	for seed := range limit {
		rng, schedule := rand.New(rand.NewPCG(uint64(seed), 7)), make([]string, 40)
		for i := range schedule {
			schedule[i] = all[rng.IntN(len(all))]
		}
		if err := newSimulation(kind, fault).play(schedule); err != nil {
			return seed + 1, err
		}
	}
	return 0, nil
}

// TestLimitsHoldUnderRandomSchedules guards against the same failures in longer schedules than every order can be
// tried for.
func TestLimitsHoldUnderRandomSchedules(t *testing.T) {
	for _, kind := range []Kind{InFlight, Rate, Amount} {
		found, err := runRandomSchedules(kind, "", 2000)
		require.NoError(t, err, "kind %d, schedule %d", kind, found)
	}
}

// TestCheckerDetectsInjectedFaults injects faults and requires that the checker finds each. Guards against a checker
// that passes whatever happens.
func TestCheckerDetectsInjectedFaults(t *testing.T) {
	for _, tt := range []struct {
		fault    string
		kind     Kind
		schedule []string // schedule that triggers the fault where random ones take too long; nil for random ones
	}{
		{"lease counted from the response", InFlight, []string{"ask 0", "hear", "step", "a lease", "answer", "some time", "ask 1", "hear", "step", "answer"}},
		{"any response is accepted", InFlight, nil},
		{"lease ends at once", InFlight, nil},
		{"new allocator does not restart leases", InFlight, nil},
		{"amount outlives its lease", Amount, append(slices.Repeat([]string{"a lease"}, 10),
			slices.Repeat([]string{"ask 1", "hear", "step", "step", "answer", "use"}, 6)...)},
	} {
		if tt.schedule != nil {
			require.NoError(t, newSimulation(tt.kind, "").play(tt.schedule))
			assert.Error(t, newSimulation(tt.kind, tt.fault).play(tt.schedule), tt.fault)
			continue
		}
		found, err := runRandomSchedules(tt.kind, tt.fault, 2000)
		assert.Positive(t, found, tt.fault)
		t.Logf("%s: found by schedule %d: %.150v", tt.fault, found, err)
	}
}

// TestLedgerApply guards against commands that are stale, invalid or above a total and still change the ledger.
func TestLedgerApply(t *testing.T) {
	b := Budget{Name: "b", Kind: InFlight, Total: 10}
	newLedger := func() *Ledger {
		l := NewLedger()
		require.True(t, l.Apply(&Command{Token: 5, Seq: 1, Generation: 1, Budgets: []Budget{b}, Join: []Participant{{Name: "x", BootID: 1}, {Name: "y", BootID: 1}}}))
		require.True(t, l.Apply(&Command{Token: 5, Seq: 2, Updates: []AllocationUpdate{{"b", 1, Allocation{Reserved: 6, Floor: 2}}, {"b", 2, Allocation{Reserved: 4}}}}))
		return l
	}
	for name, tt := range map[string]struct {
		c    Command
		ok   bool
		sums int64
	}{
		"an older token":              {Command{Token: 4, Seq: 9}, false, 10},
		"a late command":              {Command{Token: 5, Seq: 2, Forget: []uint32{1}}, false, 10},
		"over the total":              {Command{Token: 5, Seq: 3, Updates: []AllocationUpdate{{"b", 1, Allocation{Reserved: 7}}}}, false, 10},
		"moved":                       {Command{Token: 5, Seq: 3, Updates: []AllocationUpdate{{"b", 1, Allocation{Reserved: 7}}, {"b", 2, Allocation{Reserved: 3}}}}, true, 10},
		"a floor over the allocation": {Command{Token: 5, Seq: 3, Updates: []AllocationUpdate{{"b", 1, Allocation{Reserved: 1, Floor: 2}}}}, false, 10},
		"an unknown participant":      {Command{Token: 5, Seq: 3, Updates: []AllocationUpdate{{"b", 9, Allocation{}}}}, false, 10},
		"forgotten":                   {Command{Token: 6, Seq: 1, Forget: []uint32{1}}, true, 4},
		"a smaller total":             {Command{Token: 5, Seq: 3, Generation: 2, Budgets: []Budget{{Name: "b", Kind: InFlight, Total: 3}}}, true, 10},
		"an older generation":         {Command{Token: 5, Seq: 3, Generation: 1, Budgets: []Budget{{Name: "b", Kind: InFlight, Total: 3}}}, true, 10},
		"bad settings":                {Command{Token: 5, Seq: 3, Generation: 2, Budgets: []Budget{{Name: "", Kind: InFlight}}}, false, 10},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			assert.Equal(t, tt.ok, l.Apply(&tt.c))
			assert.Equal(t, tt.sums, l.Accounts["b"].Sum())
			assert.Equal(t, l.Save(), Restore(l.Save()).Save())
		})
	}
	l := newLedger()
	l.Apply(&Command{Token: 5, Seq: 3, Generation: 2, Budgets: []Budget{{Name: "b", Kind: InFlight, Total: 3}}})
	assert.False(t, l.Apply(&Command{Token: 5, Seq: 4, Updates: []AllocationUpdate{{"b", 2, Allocation{Reserved: 5}}}}), "nothing more is allocated while the total is below the sum")
	assert.True(t, l.Apply(&Command{Token: 5, Seq: 4, Updates: []AllocationUpdate{{"b", 1, Allocation{Reserved: 1}}}}))
}

func TestMaxMinFair(t *testing.T) {
	for _, tt := range []struct {
		total               float64
		wants, weights, got []float64
	}{
		{10, []float64{1, 20, 20}, nil, []float64{1, 4.5, 4.5}},
		{10, []float64{20, 20}, []float64{3, 1}, []float64{7.5, 2.5}},
		{10, []float64{1, 2}, nil, []float64{1, 2}},
		{0, []float64{1, 2}, nil, []float64{0, 0}},
		{10, nil, nil, []float64{}},
	} {
		assert.InDeltaSlice(t, tt.got, maxMinFair(tt.total, tt.wants, tt.weights), 1e-9)
	}
}

// TestHolderLowersLimitWithoutResponses checks that a holder without responses falls back by its own clock from its
// grant to its floor and then to nothing. Guards against a dispatcher without contact that uses units which the
// allocator has granted to others.
func TestHolderLowersLimitWithoutResponses(t *testing.T) {
	h := NewHolder("x", 1, "", "")
	h.AddBudget("b", InFlight, 0)
	q, ok := h.Tick(0)
	require.True(t, ok)
	assert.False(t, h.Take(0, "b", 1), "nothing before the first response")
	require.True(t, h.HandleResponse(0.1, Response{ID: q.ID, Token: 3, Grants: []Grant{{Budget: "b", Kind: InFlight, Size: 5, Floor: 2}}}))
	for at, want := range map[float64]int64{0.1: 5, Lease * 0.98: 5, Lease: 2, FloorLease * 0.98: 2, FloorLease: 0} {
		assert.Equal(t, want, h.Limit(at, "b"), at)
	}
	assert.False(t, h.HandleResponse(0.2, Response{ID: q.ID, Token: 3}), "twice")
	q, _ = h.Tick(2)
	assert.False(t, h.HandleResponse(2.1, Response{ID: q.ID, Token: 2}), "from an older allocator")
}

// TestUnusedBudgetsAreDropped checks that budgets which are no longer used disappear from the requests once nothing of
// them is in flight. Guards against a holder that fills up to MaxBudgets and has no room for others.
func TestUnusedBudgetsAreDropped(t *testing.T) {
	sim := newSimulation(InFlight, "")
	h := sim.holders[0]
	h.Take(sim.localTime(0), "b", 1)
	for i := range 2 * MaxBudgets {
		h.RetainBudgets(func(string) bool { return false }, sim.localTime(0))
		if i == 0 {
			sim.runRound()
			require.Contains(t, h.budgets, "b", "a unit is in flight")
			h.Done(sim.localTime(0), "b", 1)
		}
		sim.runRound()
		name := fmt.Sprint("x", i)
		h.AddBudget(name, InFlight, sim.localTime(0))
		require.Contains(t, h.budgets, name)
		require.Less(t, len(h.budgets), 4)
	}
}

// TestBudgetDroppedAfterRequestIsReleased guards against an allocation that is never returned: the budget is dropped
// between a request and its response, so that response must not let the holder forget what the ledger has reserved for
// it.
func TestBudgetDroppedAfterRequestIsReleased(t *testing.T) {
	sim := newSimulation(InFlight, "")
	require.Positive(t, sim.log.Accounts["b"].Sum())
	sim.sendRequest(0)
	sim.holders[0].RetainBudgets(func(string) bool { return false }, sim.localTime(0)) // after the request, before its response
	sim.holders[0].AddBudget("other", InFlight, sim.localTime(0))
	sim.runRounds(4)
	assert.Zero(t, sim.log.Accounts["b"].Allocations[sim.log.ParticipantID("0", sim.bootIDs[0])].Reserved)
}

// TestFloorsFallWithTotal checks that floors fall when the total falls, once their holders have sent requests. Guards
// against floors whose sum exceeds the total.
func TestFloorsFallWithTotal(t *testing.T) {
	sim := newSimulation(InFlight, "")
	floors := func() (sum int64) {
		for _, h := range sim.holders {
			sum += h.budgets["b"].Floor
		}
		return sum
	}
	sim.allocator.SetBudgets(2, []Budget{{Name: "b", Kind: InFlight, Total: 4, Floor: 2}})
	sim.runRounds(8)
	assert.EqualValues(t, 4, floors())
	sim.total = 1
	sim.allocator.SetBudgets(3, []Budget{{Name: "b", Kind: InFlight, Total: 1, Floor: 2}})
	sim.runRounds(8)
	assert.Zero(t, floors())
	assert.NoError(t, sim.check())
	assert.LessOrEqual(t, sim.log.Accounts["b"].Sum(), int64(1))
}

// TestRecoveredLogSuspendsGrants checks that after a recovery nothing is granted until the grants that the lost log
// may have held have ended, and that everything is granted after that. Guards against granting units twice.
func TestRecoveredLogSuspendsGrants(t *testing.T) {
	sim := newSimulation(InFlight, "")
	before := sim.log.Accounts["b"].Sum()
	sim.allocator.SetBudgets(2, []Budget{{Name: "b", Kind: InFlight, Total: 40}})
	sim.total = 40
	sim.log.GrantsSuspended = true
	sim.token++
	sim.log.Apply(&Command{Token: sim.token, Seq: 1})
	sim.allocator = NewAllocator(Restore(sim.log.Save()), sim.token, sim.now, testTail, 2, []Budget{{Name: "b", Kind: InFlight, Total: 40}})
	for start := sim.now; sim.now < start+Lease+testTail-1; {
		sim.runRound()
		assert.LessOrEqual(t, sim.log.Accounts["b"].Sum(), before)
	}
	sim.runRounds(20)
	assert.Greater(t, sim.log.Accounts["b"].Sum(), int64(30))
	assert.False(t, sim.log.GrantsSuspended)
}
