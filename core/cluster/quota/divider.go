package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

const (
	reserve   = 0.03 // of a whole, for those that come
	headroom  = 1.05 // times what was needed lately
	forgets   = 5.0  // s; in which a need that is over falls to a third
	least     = 0.05 // of a part: smaller changes are not worth an entry
	foothold  = 0.2  // of what nobody needs of an amount is spread over all; the rest stays free
	mostWaits = 2 * MostHolders
	turnsEach = 5 * Lease // s; after which the next have what whole numbers leave over
	mostSets  = 1500      // of a command, before the last budget's
	tombs     = 4 * MostHolders
)

// Divider is the part of whoever holds the duty. One command is on its way to the log at a time; questions that come
// meanwhile wait for the next.
type Divider struct {
	ledger     *Ledger
	token      uint64
	since      float64
	tail       float64
	generation uint64
	settings   []Budget
	seen       map[uint32]*seen
	fresh      map[process]Question // of processes that have no seat yet
	strange    []Answered           // to processes that have to say first that they have heard of this divider
	waits      map[uint32]Question  // to be answered
	batch      map[uint32]Question  // that the command on its way is for
	targets    map[string]map[uint32]int64
	proposed   *Command
	turned     map[string]float64 // when its window began
	dead       map[process]bool   // processes that another took the place of
}

type process struct {
	name string
	boot uint64
}

// seen is what is known of a seat.
type seen struct {
	heard float64
	last  Question
	need  map[string]float64 // smoothed
	at    float64
}

// Answered is an answer with the process that it goes to.
type Answered struct {
	Answer
	Name    string
	Boot    uint64
	Address string
}

// NewDivider goes by a ledger, which has to be as of after the token's grant, and counts all anew from now. The tail is how long
// what is under way may take to end, in seconds.
func NewDivider(l *Ledger, token uint64, now, tail float64, generation uint64, settings []Budget) *Divider {
	d := &Divider{
		ledger: l, token: token, since: now, tail: min(tail, mostTail), seen: map[uint32]*seen{}, fresh: map[process]Question{},
		waits: map[uint32]Question{}, turned: map[string]float64{}, dead: map[process]bool{},
	}
	d.Settings(generation, settings)
	return d
}

// Settings takes the operator's file as it is here. It counts where its generation is above the ledger's.
func (d *Divider) Settings(generation uint64, all []Budget) {
	d.generation, d.settings = generation, all
}

// Ledger is what is divided, as far as it is in the log.
func (d *Divider) Ledger() *Ledger { return d.ledger }

// Ask takes a dispatcher's question.
func (d *Divider) Ask(now float64, q Question) {
	at := process{q.Name, q.Boot}
	if d.dead[at] || len(q.Asks) > MostBudgets || q.Name == "" {
		return
	}
	id := d.ledger.Seat(q.Name, q.Boot)
	if id == 0 {
		// Guards against a question that comes late, of a process that has ended: it would be enrolled, and the one in its place forgotten.
		if q.Token != d.token {
			if len(d.strange) < mostWaits {
				d.strange = append(d.strange, Answered{Answer: Answer{ID: q.ID, Token: d.token}, Name: q.Name, Boot: q.Boot, Address: q.Address})
			}
			return
		}
		if was, ok := d.fresh[at]; (!ok || q.ID > was.ID) && (ok || len(d.fresh) < mostWaits) {
			d.fresh[at] = q
		}
		return
	}
	s := d.seen[id]
	if s == nil {
		s = &seen{need: map[string]float64{}}
		d.seen[id] = s
	}
	if q.ID <= s.last.ID {
		return
	}
	decay := math.Exp(-(now - s.at) / forgets)
	for _, a := range q.Asks {
		most := float64(0)
		if o := d.ledger.Accounts[a.Budget]; o != nil {
			most = float64(o.Whole)
		}
		s.need[a.Budget] = math.Min(most, math.Max(float64(max(0, a.Need)), s.need[a.Budget]*decay))
	}
	s.heard, s.at, s.last = now, now, q
	d.waits[id] = q
}

// ended tells that what a seat was given has surely ended: by its own clock, which counts from before it asked, and what was under way.
func (d *Divider) ended(now float64, id uint32) bool {
	return now > d.heard(id)+Lease*(1+Drift)+d.tail
}

func (d *Divider) heard(id uint32) float64 {
	if s := d.seen[id]; s != nil {
		return math.Max(d.since, s.heard)
	}
	return d.since
}

// Heard is when a seat last asked, and what about one budget; false where this divider has not heard of it.
func (d *Divider) Heard(id uint32, budget string) (at float64, a Ask, ok bool) {
	s := d.seen[id]
	if s == nil {
		return 0, a, false
	}
	if i := slices.IndexFunc(s.last.Asks, func(o Ask) bool { return o.Budget == budget }); i >= 0 {
		a = s.last.Asks[i]
	}
	return s.heard, a, true
}

// Step gives the next command for the log and, where nothing has to be in it first, the answers.
func (d *Divider) Step(now float64) (c *Command, all []Answered) {
	all, d.strange = d.strange, nil
	if d.proposed != nil {
		return nil, all
	}
	c = &Command{Token: d.token, Seq: d.ledger.Seq + 1}
	if d.generation > d.ledger.Generation {
		c.Generation, c.Declare = d.generation, d.settings
		d.proposed, d.batch = c, map[uint32]Question{}
		return c, all
	}
	if d.ledger.Hold && now > d.since+Lease*(1+Drift)+d.tail {
		c.Unhold = true
		d.proposed, d.batch = c, map[uint32]Question{}
		return c, all
	}
	d.seats(now, c)
	d.batch, d.waits = d.waits, map[uint32]Question{}
	d.targets = map[string]map[uint32]int64{}
	for _, name := range slices.Sorted(maps.Keys(d.ledger.Accounts)) {
		if a := d.ledger.Accounts[name]; len(c.Sets) < mostSets {
			d.divide(now, a, c)
		} else { // the rest comes with the next questions
			d.targets[name] = d.target(now, a)
		}
	}
	if len(c.Enrol)+len(c.Forget)+len(c.Sets)+len(c.Turns) > 0 {
		d.proposed = c
		return c, all
	}
	return nil, append(all, d.answers()...)
}

// Applied takes word of the command that was on its way; a false one means that the log has another's, and this one is over.
func (d *Divider) Applied(now float64, ok bool) (all []Answered) {
	c := d.proposed
	if d.proposed = nil; c == nil || !ok || !d.ledger.Apply(c) {
		d.batch = nil
		return nil
	}
	for _, id := range c.Forget {
		delete(d.seen, id)
		delete(d.waits, id)
		delete(d.batch, id)
	}
	for at, q := range d.fresh {
		if d.ledger.Seat(at.name, at.boot) != 0 {
			delete(d.fresh, at)
			d.Ask(now, q)
		}
	}
	return d.answers()
}

// seats enrols who is new, and forgets who has surely gone: who says so, whose address another process has, who was silent for too long
// for any floor.
func (d *Divider) seats(now float64, c *Command) {
	at := map[string]bool{}
	for p, q := range d.fresh {
		if q.Leaves {
			delete(d.fresh, p)
			continue
		}
		if len(d.ledger.Seats)+len(c.Enrol) < MostHolders {
			c.Enrol = append(c.Enrol, Seat{Name: q.Name, Boot: q.Boot, Zone: q.Zone, Address: q.Address})
			at[q.Address] = q.Address != ""
		}
	}
	slices.SortFunc(c.Enrol, func(a, b Seat) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Boot, b.Boot)) })
	for _, id := range slices.Sorted(maps.Keys(d.ledger.Seats)) {
		seat, gone := d.ledger.Seats[id], now > d.heard(id)+Standing*(1+Drift)+d.tail
		if s := d.seen[id]; s != nil && s.last.Leaves {
			busy := slices.ContainsFunc(s.last.Asks, func(a Ask) bool { return a.Keep > 0 })
			gone = gone || !busy || d.ended(now, id)
		}
		if at[seat.Address] { // a port has one process: the one before has ended, and what was under way there with it
			gone = true
			if len(d.dead) >= tombs {
				clear(d.dead)
			}
			d.dead[process{seat.Name, seat.Boot}] = true
		}
		if gone {
			c.Forget = append(c.Forget, id)
			delete(d.waits, id)
		}
	}
}

// division is how one budget is divided anew.
type division struct {
	account *Account
	targets map[uint32]int64 // what each seat is to have
	floor   int64            // what each is to keep without word
	sets    map[uint32]Part  // parts that change, by seat
	hungry  []uint32         // seats that are to have more than that
	free    int64            // what nobody has
}

// divide finds who is to have how much of one budget, and what of that has to be in the ledger first.
func (d *Divider) divide(now float64, a *Account, c *Command) {
	if a.Kind == Amount {
		d.turn(now, a, c)
	}
	v := division{account: a, targets: d.target(now, a), floor: d.floor(a), sets: map[uint32]Part{}}
	d.targets[a.Name] = v.targets
	for _, id := range slices.Sorted(maps.Keys(d.ledger.Seats)) {
		if !slices.Contains(c.Forget, id) {
			d.reclaim(now, id, &v)
		}
	}
	if !d.ledger.Hold {
		v.release()
	}
	v.raiseFloors()
	d.feed(a, v.hungry, v.targets, v.sets, v.free)
	for _, id := range slices.Sorted(maps.Keys(v.sets)) {
		was, to := a.Parts[id], v.sets[id]
		change := to.Out - was.Out
		small := change > 0 && float64(change) < least*float64(was.Out)
		if to.Floor == was.Floor && (small || change == 0 && to.Used == was.Used) {
			continue
		}
		c.Sets = append(c.Sets, Set{Budget: a.Name, ID: id, Part: to})
	}
}

// turn begins an amount's next window when its time has come.
func (d *Divider) turn(now float64, a *Account, c *Command) {
	if _, ok := d.turned[a.Name]; !ok {
		d.turned[a.Name] = d.since
	}
	if now-d.turned[a.Name] >= a.Window*(1+Drift) {
		d.turned[a.Name] = now
		c.Turns = append(c.Turns, a.Name)
	}
}

// reclaim finds what one seat keeps of its part before anything is given.
func (d *Divider) reclaim(now float64, id uint32, v *division) {
	was := v.account.Parts[id]
	q, asks := d.batch[id]
	i := slices.IndexFunc(q.Asks, func(o Ask) bool { return o.Budget == v.account.Name })
	switch {
	case asks && i >= 0:
		to := v.keeps(was, q.Asks[i], v.targets[id])
		if v.targets[id] > to.Out {
			v.hungry = append(v.hungry, id)
		}
		v.sets[id] = to
	case asks && was.Out > 0, d.ended(now, id) && was.Out > was.Floor:
		to := Part{Out: was.Floor, Floor: was.Floor}
		if asks { // and not about this: it uses nothing of it any more
			to = Part{}
		}
		if v.account.Kind == Amount { // guards against units that were used and never told: all that was out counts as spent
			to = Part{Used: was.Used + was.Out}
		}
		v.sets[id] = to
	}
}

// keeps is what a seat that asks keeps of its part.
func (v *division) keeps(was Part, ask Ask, target int64) Part {
	a, to := v.account, was
	if a.Kind == Amount {
		spent := min(was.Out, max(0, ask.Used-was.Used))                         // moves from what is out to what is spent: the sum stays
		to.Used, to.Out = ask.Used, was.Out-spent                                // less than it was where all was counted as spent: it has let go of that, and counts on
		if kept := max(0, ask.Keep-ask.Used); kept < to.Out && target < to.Out { // it binds itself to less than it had
			to.Out = max(kept, target)
		}
	} else {
		to.Floor = min(was.Out, max(min(ask.Floor, was.Floor), v.floor))
		to.Out = min(was.Out, max(ask.Keep, target, to.Floor))
	}
	if was.Out > to.Out && float64(was.Out-to.Out) < math.Max(1, least*float64(was.Out)) && a.Sum() <= a.Whole {
		if to.Out = was.Out; a.Kind == Amount { // not worth an entry
			to = was
		}
	}
	return to
}

// release works out what is free once all that is reclaimed is back.
func (v *division) release() {
	a := v.account
	v.free = a.Whole - a.Sum()
	for id, to := range v.sets {
		v.free += a.Parts[id].Out - to.Out - max(0, to.Used-a.Parts[id].Used)
	}
}

// raiseFloors gives the hungry their floors first: who has nothing may take of the reserve.
func (v *division) raiseFloors() {
	a := v.account
	for _, id := range v.hungry {
		to := v.sets[id]
		if more := min(v.free, v.floor-to.Out); more > 0 && a.Kind != Amount {
			to.Out += more
			v.free -= more
		}
		to.Floor = max(to.Floor, min(v.floor, to.Out))
		if a.Kind == Amount {
			to.Floor = 0
		}
		v.sets[id] = to
	}
}

// floor is what each seat is to keep without word: all of them together have to fit.
func (d *Divider) floor(a *Account) int64 {
	if n := int64(len(d.ledger.Seats)); n > 0 {
		return min(a.Floor, a.Whole/n)
	}
	return a.Floor
}

// feed gives what is free to those who are to have more, evenly by what they lack.
func (d *Divider) feed(a *Account, hungry []uint32, targets map[uint32]int64, sets map[uint32]Part, free int64) {
	kept := int64(reserve * float64(a.Whole))
	if a.Kind == Amount { // who comes has more of the next window
		kept = 0
	}
	lacks := make([]float64, len(hungry))
	for i, id := range hungry {
		if lacks[i] = float64(targets[id] - sets[id].Out); sets[id].Out == 0 {
			kept = 0
		}
	}
	parts := fill(float64(max(0, free-kept)), lacks, nil)
	for i, id := range hungry {
		to := sets[id]
		more := max(0, min(int64(parts[i]), free))
		if more <= 0 && free > 0 && to.Out == 0 && targets[id] > 0 { // too little for all: one each, as far as it goes
			more = 1
		}
		to.Out += more
		free -= more
		sets[id] = to
	}
}

// target is what each is to have: by need, zones first and then in each; what nobody needs is spread over all.
func (d *Divider) target(now float64, a *Account) map[uint32]int64 {
	targets := map[uint32]int64{}
	byZone, n := d.asking(now, a)
	if n == 0 || a.Gone {
		return targets
	}
	whole := float64(a.Whole) - math.Floor(float64(a.Whole)*reserve)
	if a.Kind == Amount {
		whole = math.Max(0, float64(a.Whole-a.Spent))
	}
	need := func(id uint32) float64 {
		want := d.seen[id].need[a.Name] * headroom
		if a.Ceiling > 0 {
			want = math.Min(want, float64(a.Ceiling))
		}
		return math.Max(want, math.Min(float64(a.Floor), whole/float64(n)))
	}
	zones := slices.Sorted(maps.Keys(byZone))
	wants, weights := make([]float64, len(zones)), make([]float64, len(zones))
	for i, z := range zones {
		for _, id := range byZone[z] {
			wants[i] += need(id)
		}
		weights[i] = float64(len(byZone[z]))
	}
	left := whole
	for i, part := range fill(whole, wants, weights) {
		ids := byZone[zones[i]]
		in := make([]float64, len(ids))
		for k, id := range ids {
			in[k] = need(id)
		}
		for k, own := range fill(part, in, nil) {
			targets[ids[k]] = int64(own + 1e-6)
			left -= own
		}
	}
	if a.Kind == Amount {
		left *= foothold
	}
	spread(a, byZone, targets, left, need)
	if a.Kind != Amount {
		d.round(now, a, targets, int64(whole), need)
	}
	return targets
}

// asking gives the seats that ask about a budget, by zone, and how many they are.
func (d *Divider) asking(now float64, a *Account) (byZone map[string][]uint32, n int) {
	byZone = map[string][]uint32{}
	for _, id := range slices.Sorted(maps.Keys(d.ledger.Seats)) {
		s := d.seen[id]
		if s == nil || s.last.Leaves || d.ended(now, id) || !slices.ContainsFunc(s.last.Asks, func(o Ask) bool { return o.Budget == a.Name }) {
			continue
		}
		zone := d.ledger.Seats[id].Zone
		byZone[zone] = append(byZone[zone], id)
		n++
	}
	return byZone, n
}

// spread adds what nobody needs to all targets, by how much what comes by chance varies.
func spread(a *Account, byZone map[string][]uint32, targets map[uint32]int64, left float64, need func(uint32) float64) {
	roots := 0.0
	for id := range targets {
		roots += math.Sqrt(1 + need(id))
	}
	for _, ids := range byZone {
		for _, id := range ids {
			t := targets[id] + int64(math.Max(0, left*math.Sqrt(1+need(id))/roots))
			if a.Ceiling > 0 {
				t = min(t, a.Ceiling)
			}
			targets[id] = t
		}
	}
}

// round gives out what whole numbers leave over, one each to those who lack most, others in turn: of a whole that is smaller than their number
// none is left out for good.
func (d *Divider) round(now float64, a *Account, targets map[uint32]int64, whole int64, need func(uint32) float64) {
	var lack []uint32
	for _, id := range slices.Sorted(maps.Keys(targets)) {
		if whole -= targets[id]; need(id) > float64(targets[id]) && (a.Ceiling == 0 || targets[id] < a.Ceiling) {
			lack = append(lack, id)
		}
	}
	for i := range lack {
		if int64(i) >= whole {
			return
		}
		targets[lack[(i+int(now/turnsEach))%len(lack)]]++
	}
}

// fill is weighted max-min fairness: nobody has more than it wants, and nobody can have more without taking from one who has less by weight.
func fill(whole float64, wants, weights []float64) []float64 {
	got := make([]float64, len(wants))
	weight := func(i int) float64 {
		if weights == nil {
			return 1
		}
		return weights[i]
	}
	order := make([]int, len(wants))
	sum := 0.0
	for i := range order {
		order[i] = i
		sum += weight(i)
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(wants[a]/weight(a), wants[b]/weight(b)), cmp.Compare(a, b))
	})
	for _, i := range order {
		got[i] = math.Min(wants[i], math.Max(0, whole)*weight(i)/sum)
		whole -= got[i]
		sum -= weight(i)
	}
	return got
}

// answers gives what the ledger has for those that asked.
func (d *Divider) answers() (all []Answered) {
	for _, id := range slices.Sorted(maps.Keys(d.batch)) {
		q := d.batch[id]
		to := Answered{Answer: Answer{ID: q.ID, Token: d.token}, Name: q.Name, Boot: q.Boot, Address: q.Address}
		for _, ask := range q.Asks {
			a := d.ledger.Accounts[ask.Budget]
			if a == nil {
				continue
			}
			p := a.Parts[id]
			// Not the ledger's floor, which goes by what the holder counts on: that would never fall.
			floor := min(p.Floor, d.floor(a))
			g := Give{Budget: a.Name, Kind: a.Kind, Size: min(p.Out, max(d.targets[a.Name][id], floor)), Floor: floor}
			switch a.Kind {
			case Amount: // counted by the holder's own figure: what it used and the ledger does not know yet is of what is out
				g.Size, g.Floor = ask.Used+max(0, min(p.Out-max(0, ask.Used-p.Used), d.targets[a.Name][id])), 0
			case Rate:
				if a.Whole > 0 && g.Size > 0 { // and one each, without which nothing could be taken at all
					g.Burst = 1 + int64(float64(a.Burst)*float64(g.Size)/float64(a.Whole))
				}
			}
			to.Gives = append(to.Gives, g)
		}
		all = append(all, to)
	}
	d.batch = nil
	return all
}
