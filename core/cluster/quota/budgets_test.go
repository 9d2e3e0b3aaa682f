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

const testTail = 2.0

// world is a log, a divider and two holders, with messages that come when the events say so. It checks with sums of its own.
type world struct {
	kind       Kind
	whole      int64
	now        float64
	log        *Ledger
	token, seq uint64
	divider    *Divider
	holders    []*Holder
	clocks     []float64
	boots      []uint64
	questions  []Question
	answers    []Answered
	old        []Answered // delivered or dropped ones may come again
	mutant     string
	turn       uint64
	ended      int64
}

// The events. Every order of some of them is tried.
var events = map[string]func(w *world){
	"ask 0":         func(w *world) { w.ask(0) },
	"ask 1":         func(w *world) { w.ask(1) },
	"hear":          func(w *world) { w.hear() },
	"step":          func(w *world) { w.step(true) },
	"step, lost":    func(w *world) { w.step(false) },
	"answer":        func(w *world) { w.answer() },
	"answer, lost":  func(w *world) { w.drop() },
	"answer again":  func(w *world) { w.again() },
	"some time":     func(w *world) { w.pass(Lease / 3) },
	"a lease":       func(w *world) { w.pass(Lease * 1.1) },
	"another":       func(w *world) { w.another(false) },
	"another, late": func(w *world) { w.another(true) },
	"restart 0":     func(w *world) { w.restart(0) },
	"use":           func(w *world) { w.use() },
}

func newWorld(kind Kind, mutant string) *world {
	w := &world{kind: kind, whole: 4, log: NewLedger(), mutant: mutant, clocks: []float64{1 + Drift*0.9, 1 - Drift*0.9}, boots: []uint64{0, 0}, holders: make([]*Holder, 2)}
	if kind == Rate {
		w.whole *= Thousand
	}
	w.restart(0)
	w.restart(1)
	w.another(false)
	w.calms(8) // both have shares
	return w
}

func (w *world) settings() []Budget {
	return []Budget{{Name: "b", Kind: w.kind, Whole: w.whole, Burst: 2, Window: 60}}
}

func (w *world) at(i int) float64 { return w.now * w.clocks[i] }

func (w *world) restart(i int) {
	if was := w.holders[i]; was != nil {
		w.ended += was.shares["b"].used
	}
	w.boots[i]++
	w.holders[i] = NewHolder(fmt.Sprint(i), w.boots[i], "z", fmt.Sprint("a", i))
	w.holders[i].Use("b", w.kind, w.at(i))
}

func (w *world) ask(i int) {
	w.holders[i].due = 0
	if q, ok := w.holders[i].Tick(w.at(i)); ok {
		w.questions = append(w.questions, q)
	}
}

func (w *world) hear() {
	if len(w.questions) > 0 {
		w.divider.Ask(w.now, w.questions[0])
		w.questions = w.questions[1:]
		if w.mutant == "ends at once" {
			w.divider.since -= 2 * Lease
			for _, s := range w.divider.seen {
				s.heard = min(s.heard, w.now-Lease)
			}
		}
	}
}

func (w *world) step(known bool) {
	c, all := w.divider.Step(w.now)
	w.answers = append(w.answers, all...)
	if c == nil {
		return
	}
	ok := w.log.Apply(c)
	if !known || !ok { // the answer of the log was lost: the ledger is read again, under the same token
		w.begin()
		return
	}
	w.answers = append(w.answers, w.divider.Applied(w.now, ok)...)
}

func (w *world) answer() {
	if len(w.answers) == 0 {
		return
	}
	a := w.answers[0]
	w.answers = w.answers[1:]
	w.deliver(a)
}

func (w *world) deliver(a Answered) {
	w.old = append(w.old, a)
	i := 0
	_, _ = fmt.Sscan(a.Name, &i)
	h := w.holders[i]
	if h.boot != a.Boot {
		return
	}
	if w.mutant == "any answer counts" && len(a.Gives) > 0 {
		h.id, h.answers = a.ID, a.ID-1
	}
	took := h.Answer(w.at(i), a.Answer)
	if took && w.mutant == "counted from the answer" {
		h.until = w.at(i) + Lease*(1-Drift)
	}
	if took && w.mutant == "an amount outlasts its lease" {
		h.until += 100 * Lease
	}
}

func (w *world) drop() {
	if len(w.answers) > 0 {
		w.old = append(w.old, w.answers[0])
		w.answers = w.answers[1:]
	}
}

func (w *world) again() {
	if len(w.old) > 0 {
		w.deliver(w.old[len(w.old)/2])
	}
}

func (w *world) pass(s float64) { w.now += s }

// another divider takes over; what the last one has on its way to the log comes before that, or late.
func (w *world) another(late bool) {
	var flying *Command
	if w.divider != nil && late {
		flying, _ = w.divider.Step(w.now)
	}
	w.token++
	w.seq = 0
	w.begin()
	if flying != nil {
		w.log.Apply(flying)
	}
}

func (w *world) begin() {
	w.seq += 1 << 16
	w.log.Apply(&Command{Token: w.token, Seq: w.seq})
	since := w.now
	if w.mutant == "a new divider counts nothing anew" {
		since -= 2 * Lease
	}
	w.divider = NewDivider(Restore(w.log.Save()), w.token, since, testTail, 1, w.settings())
}

// use uses all that there is of an amount.
func (w *world) use() {
	for i, h := range w.holders {
		for w.kind == Amount && h.Take(w.at(i), "b", 1) {
		}
	}
}

// calm is a round in which all comes.
func (w *world) calm() {
	w.pass(0.5)
	for i, h := range w.holders {
		h.Take(w.at(i), "b", 100) // more than there is: it needs
		w.ask(i)
	}
	for len(w.questions) > 0 {
		w.hear()
	}
	for range 3 {
		w.step(true)
	}
	for len(w.answers) > 0 {
		w.answer()
	}
}

func (w *world) calms(n int) {
	for range n {
		w.calm()
	}
}

// check tells what is wrong: by sums of what each may use by its own clock, not by the ledger's.
func (w *world) check() error {
	sum, used := int64(0), w.ended
	for i, h := range w.holders {
		s := h.shares["b"]
		used += s.used
		if w.kind == Amount {
			sum += max(0, h.Limit(w.at(i), "b")-s.used)
			continue
		}
		sum += max(h.Limit(w.at(i), "b"), s.inUse)
	}
	if a := w.log.Accounts["b"]; a != nil && a.Turn != w.turn { // a new window
		w.turn, w.ended, used = a.Turn, w.ended-used, 0
	}
	if sum+used > w.whole {
		return fmt.Errorf("%d may be used and %d were, of %d", sum, used, w.whole)
	}
	return nil
}

// play plays a schedule, then lets all be well: nothing is lost for good.
func (w *world) play(names []string) error {
	for _, n := range names {
		events[n](w)
		if err := w.check(); err != nil {
			return fmt.Errorf("%w, after %v", err, names)
		}
	}
	if w.kind == Amount { // what ended with a process is spent
		return nil
	}
	for range 60 {
		w.calm()
		if err := w.check(); err != nil {
			return fmt.Errorf("%w, calm after %v", err, names)
		}
	}
	sum := int64(0)
	for i, h := range w.holders {
		sum += h.Limit(w.at(i), "b")
	}
	if sum < w.whole*9/10 {
		return fmt.Errorf("%d of %d may be used for good after %v", sum, w.whole, names)
	}
	return nil
}

func names() []string {
	var all []string
	for n := range events {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

// Every order of a few events. ELDERWALL_DEPTH says of how many.
func TestEveryOrder(t *testing.T) {
	depth := 3
	_, _ = fmt.Sscan(os.Getenv("ELDERWALL_DEPTH"), &depth)
	all := names()
	for _, kind := range []Kind{UnderWay, Amount} {
		n := 0
		var walk func(so []string)
		walk = func(so []string) {
			if len(so) == depth {
				n++
				if err := newWorld(kind, "").play(so); err != nil {
					t.Fatalf("kind %d: %v", kind, err)
				}
				return
			}
			for _, e := range all {
				walk(append(slices.Clone(so), e))
			}
		}
		walk(nil)
		t.Logf("kind %d: %d orders", kind, n)
	}
}

// tries plays schedules of many events by chance, and gives the first that finds something.
func tries(kind Kind, mutant string, most int) (found int, err error) {
	all := names()
	for seed := range most {
		chance, so := rand.New(rand.NewPCG(uint64(seed), 7)), make([]string, 40)
		for i := range so {
			so[i] = all[chance.IntN(len(all))]
		}
		if err := newWorld(kind, mutant).play(so); err != nil {
			return seed + 1, err
		}
	}
	return 0, nil
}

func TestByChance(t *testing.T) {
	for _, kind := range []Kind{UnderWay, Rate, Amount} {
		found, err := tries(kind, "", 2000)
		require.NoError(t, err, "kind %d, schedule %d", kind, found)
	}
}

// Faults put in on purpose: the checker finds each.
func TestFaultsAreFound(t *testing.T) {
	for _, tt := range []struct {
		mutant string
		kind   Kind
		so     []string // a schedule made for it, where chance takes too long
	}{
		{"counted from the answer", UnderWay, []string{"ask 0", "hear", "step", "a lease", "answer", "some time", "ask 1", "hear", "step", "answer"}},
		{"any answer counts", UnderWay, nil},
		{"ends at once", UnderWay, nil},
		{"a new divider counts nothing anew", UnderWay, nil},
		{"an amount outlasts its lease", Amount, append(slices.Repeat([]string{"a lease"}, 10),
			slices.Repeat([]string{"ask 1", "hear", "step", "step", "answer", "use"}, 6)...)},
	} {
		if tt.so != nil {
			require.NoError(t, newWorld(tt.kind, "").play(tt.so))
			assert.Error(t, newWorld(tt.kind, tt.mutant).play(tt.so), tt.mutant)
			continue
		}
		found, err := tries(tt.kind, tt.mutant, 2000)
		assert.Positive(t, found, tt.mutant)
		t.Logf("%s: found by schedule %d: %.150v", tt.mutant, found, err)
	}
}

func TestApply(t *testing.T) {
	b := Budget{Name: "b", Kind: UnderWay, Whole: 10}
	begin := func() *Ledger {
		l := NewLedger()
		require.True(t, l.Apply(&Command{Token: 5, Seq: 1, Generation: 1, Declare: []Budget{b}, Enrol: []Seat{{Name: "x", Boot: 1}, {Name: "y", Boot: 1}}}))
		require.True(t, l.Apply(&Command{Token: 5, Seq: 2, Sets: []Set{{"b", 1, Part{Out: 6, Floor: 2}}, {"b", 2, Part{Out: 4}}}}))
		return l
	}
	for name, tt := range map[string]struct {
		c    Command
		ok   bool
		sums int64
	}{
		"an older token":          {Command{Token: 4, Seq: 9}, false, 10},
		"a command that was late": {Command{Token: 5, Seq: 2, Forget: []uint32{1}}, false, 10},
		"over the whole":          {Command{Token: 5, Seq: 3, Sets: []Set{{"b", 1, Part{Out: 7}}}}, false, 10},
		"moved":                   {Command{Token: 5, Seq: 3, Sets: []Set{{"b", 1, Part{Out: 7}}, {"b", 2, Part{Out: 3}}}}, true, 10},
		"a floor over the part":   {Command{Token: 5, Seq: 3, Sets: []Set{{"b", 1, Part{Out: 1, Floor: 2}}}}, false, 10},
		"of one that is unknown":  {Command{Token: 5, Seq: 3, Sets: []Set{{"b", 9, Part{}}}}, false, 10},
		"forgotten":               {Command{Token: 6, Seq: 1, Forget: []uint32{1}}, true, 4},
		"a smaller whole":         {Command{Token: 5, Seq: 3, Generation: 2, Declare: []Budget{{Name: "b", Kind: UnderWay, Whole: 3}}}, true, 10},
		"an older generation":     {Command{Token: 5, Seq: 3, Generation: 1, Declare: []Budget{{Name: "b", Kind: UnderWay, Whole: 3}}}, true, 10},
		"bad settings":            {Command{Token: 5, Seq: 3, Generation: 2, Declare: []Budget{{Name: "", Kind: UnderWay}}}, false, 10},
	} {
		t.Run(name, func(t *testing.T) {
			l := begin()
			assert.Equal(t, tt.ok, l.Apply(&tt.c))
			assert.Equal(t, tt.sums, l.Accounts["b"].Sum())
			assert.Equal(t, l.Save(), Restore(l.Save()).Save())
		})
	}
	l := begin()
	l.Apply(&Command{Token: 5, Seq: 3, Generation: 2, Declare: []Budget{{Name: "b", Kind: UnderWay, Whole: 3}}})
	assert.False(t, l.Apply(&Command{Token: 5, Seq: 4, Sets: []Set{{"b", 2, Part{Out: 5}}}}), "nothing more is given of a whole that is under its sum")
	assert.True(t, l.Apply(&Command{Token: 5, Seq: 4, Sets: []Set{{"b", 1, Part{Out: 1}}}}))
}

func TestFill(t *testing.T) {
	for _, tt := range []struct {
		whole               float64
		wants, weights, got []float64
	}{
		{10, []float64{1, 20, 20}, nil, []float64{1, 4.5, 4.5}},
		{10, []float64{20, 20}, []float64{3, 1}, []float64{7.5, 2.5}},
		{10, []float64{1, 2}, nil, []float64{1, 2}},
		{0, []float64{1, 2}, nil, []float64{0, 0}},
		{10, nil, nil, []float64{}},
	} {
		assert.InDeltaSlice(t, tt.got, fill(tt.whole, tt.wants, tt.weights), 1e-9)
	}
}

// Steps back without word, by the own clock: the share, then the floor, then nothing.
func TestWithoutWord(t *testing.T) {
	h := NewHolder("x", 1, "", "")
	h.Use("b", UnderWay, 0)
	q, ok := h.Tick(0)
	require.True(t, ok)
	assert.False(t, h.Take(0, "b", 1), "nothing before the first answer")
	require.True(t, h.Answer(0.1, Answer{ID: q.ID, Token: 3, Gives: []Give{{Budget: "b", Kind: UnderWay, Size: 5, Floor: 2}}}))
	for at, want := range map[float64]int64{0.1: 5, Lease * 0.98: 5, Lease: 2, Standing * 0.98: 2, Standing: 0} {
		assert.Equal(t, want, h.Limit(at, "b"), at)
	}
	assert.False(t, h.Answer(0.2, Answer{ID: q.ID, Token: 3}), "twice")
	q, _ = h.Tick(2)
	assert.False(t, h.Answer(2.1, Answer{ID: q.ID, Token: 2}), "of an older divider")
}

// Budgets that are used no more go from the questions, once nothing is under way: there is room for others.
func TestOnly(t *testing.T) {
	w := newWorld(UnderWay, "")
	h := w.holders[0]
	h.Take(w.at(0), "b", 1)
	for i := range 2 * MostBudgets {
		h.Only(func(string) bool { return false }, w.at(0))
		if i == 0 {
			w.calm()
			require.Contains(t, h.shares, "b", "something is under way")
			h.Done(w.at(0), "b", 1)
		}
		w.calm()
		name := fmt.Sprint("x", i)
		h.Use(name, UnderWay, w.at(0))
		require.Contains(t, h.shares, name)
		require.Less(t, len(h.shares), 4)
	}
}

// One that was asked before its budget went lets go of it all the same, whichever answer comes first.
func TestWhatIsUsedNoMoreIsFree(t *testing.T) {
	w := newWorld(UnderWay, "")
	require.Positive(t, w.log.Accounts["b"].Sum())
	w.ask(0)
	w.holders[0].Only(func(string) bool { return false }, w.at(0)) // after the question, before its answer
	w.holders[0].Use("other", UnderWay, w.at(0))
	w.calms(4)
	assert.Zero(t, w.log.Accounts["b"].Parts[w.log.Seat("0", w.boots[0])].Out)
}

// Floors fall with the whole, at those that ask: their sum fits it.
func TestFloorsFall(t *testing.T) {
	w := newWorld(UnderWay, "")
	floors := func() (sum int64) {
		for _, h := range w.holders {
			sum += h.shares["b"].Floor
		}
		return sum
	}
	w.divider.Settings(2, []Budget{{Name: "b", Kind: UnderWay, Whole: 4, Floor: 2}})
	w.calms(8)
	assert.EqualValues(t, 4, floors())
	w.whole = 1
	w.divider.Settings(3, []Budget{{Name: "b", Kind: UnderWay, Whole: 1, Floor: 2}})
	w.calms(8)
	assert.Zero(t, floors())
	assert.NoError(t, w.check())
	assert.LessOrEqual(t, w.log.Accounts["b"].Sum(), int64(1))
}

// After a recovery nothing is given until what the lost log may have given has ended, and then all of it.
func TestARecoveredLogHoldsBack(t *testing.T) {
	w := newWorld(UnderWay, "")
	before := w.log.Accounts["b"].Sum()
	w.divider.Settings(2, []Budget{{Name: "b", Kind: UnderWay, Whole: 40}})
	w.whole = 40
	w.log.Hold = true
	w.token++
	w.log.Apply(&Command{Token: w.token, Seq: 1})
	w.divider = NewDivider(Restore(w.log.Save()), w.token, w.now, testTail, 2, []Budget{{Name: "b", Kind: UnderWay, Whole: 40}})
	for began := w.now; w.now < began+Lease+testTail-1; {
		w.calm()
		assert.LessOrEqual(t, w.log.Accounts["b"].Sum(), before)
	}
	w.calms(20)
	assert.Greater(t, w.log.Accounts["b"].Sum(), int64(30))
	assert.False(t, w.log.Hold)
}
