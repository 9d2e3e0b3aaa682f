package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Parameters of the division.
const (
	newcomerReserve   = 0.03                // share of a total that is withheld from existing participants for new ones
	headroom          = 1.05                // multiple of the recent need that a participant's target is set to
	needDecayTime     = 5.0                 // seconds; a need that has ended decays to about a third (1/e) in this time
	minChange         = 0.05                // share of an allocation; smaller changes are not worth a log entry
	idleSpread        = 0.2                 // share of an amount's unneeded units that is spread over all participants; the rest stays free
	maxWaiting        = 2 * MaxParticipants // requests and responses; bounds each of the tables of processes that are not participants
	remainderRotation = 5 * Lease           // seconds after which other participants get the units that integer division leaves over
	maxUpdates        = 1500                // allocation updates in a command; once reached, no further budget is reallocated in it
	maxReplaced       = 4 * MaxParticipants // processes; bounds the table of replaced ones
)

// Allocator divides the budgets at the dispatcher that holds the duty. One command is on its way to the log at a time;
// requests that arrive meanwhile wait for the next command. It is not safe for concurrent use.
type Allocator struct {
	ledger              *Ledger
	token               uint64
	startedAt           float64 // time from which an unseen participant's lease is counted
	tail                float64 // seconds that work under a grant may take to end after the lease
	generation          uint64
	budgets             []Budget
	states              map[uint32]*participantState
	newcomers           map[process]Request         // latest requests of processes that are not participants yet
	staleTokenResponses []AddressedResponse         // to processes that must repeat their request with this allocator's fencing token
	waiting             map[uint32]Request          // requests to be answered, by participant
	batch               map[uint32]Request          // requests that the proposed command covers, by participant
	targets             map[string]map[uint32]int64 // by budget and participant
	proposed            *Command                    // on its way to the log; nil for none
	windowStart         map[string]float64          // time at which each amount's window began, by budget
	replaced            map[process]bool            // processes whose address another process has taken over
}

// process identifies one run of a dispatcher.
type process struct {
	name   string
	bootID uint64
}

// participantState is what the allocator knows of a participant from its requests.
type participantState struct {
	lastContact float64
	lastRequest Request
	need        map[string]float64 // recent need by budget; falls exponentially from a peak
	needAt      float64            // time at which need was last updated
}

// AddressedResponse is a response together with the process that receives it.
type AddressedResponse struct {
	Response
	Name    string
	BootID  uint64
	Address string
}

// NewAllocator returns an allocator that starts from ledger l, which must be read after the lease with this fencing
// token was granted. All leases of participants are counted anew from now. The tail is how many seconds work under a
// grant may take to end after the grant's lease; it is limited to maxTail.
func NewAllocator(l *Ledger, token uint64, now, tail float64, generation uint64, budgets []Budget) *Allocator {
	al := &Allocator{
		ledger: l, token: token, startedAt: now, tail: min(tail, maxTail), states: map[uint32]*participantState{}, newcomers: map[process]Request{},
		waiting: map[uint32]Request{}, windowStart: map[string]float64{}, replaced: map[process]bool{},
	}
	al.SetBudgets(generation, budgets)
	return al
}

// SetBudgets sets the operator's budgets as known here. They take effect if their generation is above the ledger's.
func (al *Allocator) SetBudgets(generation uint64, budgets []Budget) {
	al.generation, al.budgets = generation, budgets
}

// Ledger returns the ledger with all commands that are known to be in the log.
func (al *Allocator) Ledger() *Ledger { return al.ledger }

// HandleRequest records a dispatcher's request; Step or Applied returns the response.
func (al *Allocator) HandleRequest(now float64, req Request) {
	sender := process{req.Name, req.BootID}
	if al.replaced[sender] || len(req.Demands) > MaxBudgets || req.Name == "" {
		return
	}
	id := al.ledger.ParticipantID(req.Name, req.BootID)
	if id == 0 {
		// Guards against a late request from a process that has ended: it would join, and its successor at the same
		// address would be forgotten.
		if req.Token != al.token {
			if len(al.staleTokenResponses) < maxWaiting {
				al.staleTokenResponses = append(al.staleTokenResponses, AddressedResponse{Response: Response{ID: req.ID, Token: al.token}, Name: req.Name, BootID: req.BootID, Address: req.Address})
			}
			return
		}
		if pending, ok := al.newcomers[sender]; (!ok || req.ID > pending.ID) && (ok || len(al.newcomers) < maxWaiting) {
			al.newcomers[sender] = req
		}
		return
	}
	state := al.states[id]
	if state == nil {
		state = &participantState{need: map[string]float64{}}
		al.states[id] = state
	}
	if req.ID <= state.lastRequest.ID {
		return
	}
	decay := math.Exp(-(now - state.needAt) / needDecayTime)
	for _, demand := range req.Demands {
		total := float64(0)
		if account := al.ledger.Accounts[demand.Budget]; account != nil {
			total = float64(account.Total)
		}
		state.need[demand.Budget] = math.Min(total, math.Max(float64(max(0, demand.Need)), state.need[demand.Budget]*decay))
	}
	state.lastContact, state.needAt, state.lastRequest = now, now, req
	al.waiting[id] = req
}

// leaseEnded reports whether everything that a participant was granted has surely ended. The participant counts its lease
// from before it sent the request, the allocator from after that; the drift of both clocks and the tail are added.
func (al *Allocator) leaseEnded(now float64, id uint32) bool {
	return now > al.lastContact(id)+Lease*(1+Drift)+al.tail
}

// lastContact returns when a participant last sent a request, or the allocator's start if that is later.
func (al *Allocator) lastContact(id uint32) float64 {
	if s := al.states[id]; s != nil {
		return math.Max(al.startedAt, s.lastContact)
	}
	return al.startedAt
}

// LastRequest returns when a participant last sent a request and its demand for one budget. It returns false if this
// allocator has had no request from the participant.
func (al *Allocator) LastRequest(id uint32, budget string) (at float64, demand Demand, ok bool) {
	s := al.states[id]
	if s == nil {
		return 0, demand, false
	}
	if i := slices.IndexFunc(s.lastRequest.Demands, func(o Demand) bool { return o.Budget == budget }); i >= 0 {
		demand = s.lastRequest.Demands[i]
	}
	return s.lastContact, demand, true
}

// Step returns the next command for the log, or nil if there is none or one is on its way. It also returns the
// responses that need no command in the log first.
func (al *Allocator) Step(now float64) (c *Command, all []AddressedResponse) {
	all, al.staleTokenResponses = al.staleTokenResponses, nil
	if al.proposed != nil {
		return nil, all
	}
	c = &Command{Token: al.token, Seq: al.ledger.Seq + 1}
	if al.generation > al.ledger.Generation {
		c.Generation, c.Budgets = al.generation, al.budgets
		al.proposed, al.batch = c, map[uint32]Request{}
		return c, all
	}
	if al.ledger.GrantsSuspended && now > al.startedAt+Lease*(1+Drift)+al.tail {
		c.ResumeGrants = true
		al.proposed, al.batch = c, map[uint32]Request{}
		return c, all
	}
	al.updateParticipants(now, c)
	al.batch, al.waiting = al.waiting, map[uint32]Request{}
	al.targets = map[string]map[uint32]int64{}
	for _, name := range slices.Sorted(maps.Keys(al.ledger.Accounts)) {
		if a := al.ledger.Accounts[name]; len(c.Updates) < maxUpdates {
			al.reallocate(now, a, c)
		} else { // the next requests cover the remaining budgets
			al.targets[name] = al.computeTargets(now, a)
		}
	}
	if len(c.Join)+len(c.Forget)+len(c.Updates)+len(c.NextWindows) > 0 {
		al.proposed = c
		return c, all
	}
	return nil, append(all, al.responses()...)
}

// Applied reports the outcome of the proposed command and returns the responses that waited for it. If ok is false,
// the log holds another command in its place, and the proposed one is dropped.
func (al *Allocator) Applied(now float64, ok bool) (all []AddressedResponse) {
	c := al.proposed
	if al.proposed = nil; c == nil || !ok || !al.ledger.Apply(c) {
		al.batch = nil
		return nil
	}
	for _, id := range c.Forget {
		delete(al.states, id)
		delete(al.waiting, id)
		delete(al.batch, id)
	}
	for sender, req := range al.newcomers {
		if al.ledger.ParticipantID(sender.name, sender.bootID) != 0 {
			delete(al.newcomers, sender)
			al.HandleRequest(now, req)
		}
	}
	return al.responses()
}

// updateParticipants adds new participants to the command and removes those that have surely ended. A participant is
// removed if it leaves and uses nothing any more, if another process has taken over its address, or if it has sent no
// request for longer than its floors last.
func (al *Allocator) updateParticipants(now float64, c *Command) {
	joinedAddresses := map[string]bool{}
	for p, req := range al.newcomers {
		if req.Leaving {
			delete(al.newcomers, p)
			continue
		}
		if len(al.ledger.Participants)+len(c.Join) < MaxParticipants {
			c.Join = append(c.Join, Participant{Name: req.Name, BootID: req.BootID, Zone: req.Zone, Address: req.Address})
			joinedAddresses[req.Address] = req.Address != ""
		}
	}
	slices.SortFunc(c.Join, func(a, b Participant) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.BootID, b.BootID))
	})
	for _, id := range slices.Sorted(maps.Keys(al.ledger.Participants)) {
		participant, forget := al.ledger.Participants[id], now > al.lastContact(id)+FloorLease*(1+Drift)+al.tail
		if s := al.states[id]; s != nil && s.lastRequest.Leaving {
			busy := slices.ContainsFunc(s.lastRequest.Demands, func(a Demand) bool { return a.CurrentLimit > 0 })
			forget = forget || !busy || al.leaseEnded(now, id)
		}
		if joinedAddresses[participant.Address] { // an address has one process: the previous one has ended, together with everything in flight at it
			forget = true
			if len(al.replaced) >= maxReplaced {
				clear(al.replaced)
			}
			al.replaced[process{participant.Name, participant.BootID}] = true
		}
		if forget {
			c.Forget = append(c.Forget, id)
			delete(al.waiting, id)
		}
	}
}

// reallocation is the state of dividing one budget anew.
type reallocation struct {
	account     *Account
	targets     map[uint32]int64      // what each participant should have
	floor       int64                 // what each participant keeps without contact to the allocator
	updates     map[uint32]Allocation // new allocations, by participant
	belowTarget []uint32              // participants whose allocation is below their target
	free        int64                 // units that are allocated to nobody
}

// reallocate divides one budget anew and adds the changed allocations to the command.
func (al *Allocator) reallocate(now float64, a *Account, c *Command) {
	if a.Kind == Amount {
		al.startWindow(now, a, c)
	}
	v := reallocation{account: a, targets: al.computeTargets(now, a), floor: al.sharedFloor(a), updates: map[uint32]Allocation{}}
	al.targets[a.Name] = v.targets
	for _, id := range slices.Sorted(maps.Keys(al.ledger.Participants)) {
		if !slices.Contains(c.Forget, id) {
			al.reclaim(now, id, &v)
		}
	}
	if !al.ledger.GrantsSuspended {
		v.computeFree()
	}
	v.raiseFloors()
	al.distributeFree(a, v.belowTarget, v.targets, v.updates, v.free)
	for _, id := range slices.Sorted(maps.Keys(v.updates)) {
		current, next := a.Allocations[id], v.updates[id]
		change := next.Reserved - current.Reserved
		small := change > 0 && float64(change) < minChange*float64(current.Reserved)
		if next.Floor == current.Floor && (small || change == 0 && next.Used == current.Used) {
			continue
		}
		c.Updates = append(c.Updates, AllocationUpdate{Budget: a.Name, ID: id, Allocation: next})
	}
}

// startWindow starts the next window of an amount when the current one has passed.
func (al *Allocator) startWindow(now float64, a *Account, c *Command) {
	if _, ok := al.windowStart[a.Name]; !ok {
		al.windowStart[a.Name] = al.startedAt
	}
	if now-al.windowStart[a.Name] >= a.Window*(1+Drift) {
		al.windowStart[a.Name] = now
		c.NextWindows = append(c.NextWindows, a.Name)
	}
}

// reclaim determines what one participant keeps of its allocation before anything new is granted.
func (al *Allocator) reclaim(now float64, id uint32, v *reallocation) {
	current := v.account.Allocations[id]
	req, requested := al.batch[id]
	i := slices.IndexFunc(req.Demands, func(o Demand) bool { return o.Budget == v.account.Name })
	switch {
	case requested && i >= 0:
		next := v.retained(current, req.Demands[i], v.targets[id])
		if v.targets[id] > next.Reserved {
			v.belowTarget = append(v.belowTarget, id)
		}
		v.updates[id] = next
	case requested && current.Reserved > 0, al.leaseEnded(now, id) && current.Reserved > current.Floor:
		next := Allocation{Reserved: current.Floor, Floor: current.Floor}
		if requested { // the request lacks this budget: the participant no longer uses it
			next = Allocation{}
		}
		if v.account.Kind == Amount { // guards against units that were used but not reported: all reserved units count as used
			next = Allocation{Used: current.Used + current.Reserved}
		}
		v.updates[id] = next
	}
}

// retained returns what a participant that sent a demand keeps of its allocation.
func (v *reallocation) retained(current Allocation, demand Demand, target int64) Allocation {
	a, next := v.account, current
	if a.Kind == Amount {
		// Units spent move from reserved to used; the sum stays.
		spent := min(current.Reserved, max(0, demand.Used-current.Used))
		// The reported number is below the ledger's if the ledger counted reserved units as used after the lease had ended.
		// The participant has given those units up and continues its own count.
		next.Used, next.Reserved = demand.Used, current.Reserved-spent
		if kept := max(0, demand.CurrentLimit-demand.Used); kept < next.Reserved && target < next.Reserved { // it has lowered its own limit
			next.Reserved = max(kept, target)
		}
	} else {
		next.Floor = min(current.Reserved, max(min(demand.Floor, current.Floor), v.floor))
		next.Reserved = min(current.Reserved, max(demand.CurrentLimit, target, next.Floor))
	}
	if current.Reserved > next.Reserved && float64(current.Reserved-next.Reserved) < math.Max(1, minChange*float64(current.Reserved)) && a.Sum() <= a.Total {
		if next.Reserved = current.Reserved; a.Kind == Amount { // the change is not worth a log entry
			next = current
		}
	}
	return next
}

// computeFree sets the number of units that are free once everything reclaimed is returned.
func (v *reallocation) computeFree() {
	a := v.account
	v.free = a.Total - a.Sum()
	for id, next := range v.updates {
		v.free += a.Allocations[id].Reserved - next.Reserved - max(0, next.Used-a.Allocations[id].Used)
	}
}

// raiseFloors first brings participants below their target up to their floors. A participant that has nothing may take
// from the reserve for new ones.
func (v *reallocation) raiseFloors() {
	a := v.account
	for _, id := range v.belowTarget {
		next := v.updates[id]
		if more := min(v.free, v.floor-next.Reserved); more > 0 && a.Kind != Amount {
			next.Reserved += more
			v.free -= more
		}
		next.Floor = max(next.Floor, min(v.floor, next.Reserved))
		if a.Kind == Amount {
			next.Floor = 0
		}
		v.updates[id] = next
	}
}

// sharedFloor returns what each participant keeps without contact to the allocator. The floors of all participants
// must fit within the total.
func (al *Allocator) sharedFloor(a *Account) int64 {
	if n := int64(len(al.ledger.Participants)); n > 0 {
		return min(a.Floor, a.Total/n)
	}
	return a.Floor
}

// distributeFree divides the free units among the participants below their targets by max-min fairness on what they
// lack.
func (al *Allocator) distributeFree(a *Account, belowTarget []uint32, targets map[uint32]int64, updates map[uint32]Allocation, free int64) {
	withheld := int64(newcomerReserve * float64(a.Total))
	if a.Kind == Amount { // a new participant gets more in the next window
		withheld = 0
	}
	shortfalls := make([]float64, len(belowTarget))
	for i, id := range belowTarget {
		if shortfalls[i] = float64(targets[id] - updates[id].Reserved); updates[id].Reserved == 0 {
			withheld = 0
		}
	}
	portions := maxMinFair(float64(max(0, free-withheld)), shortfalls, nil)
	for i, id := range belowTarget {
		next := updates[id]
		more := max(0, min(int64(portions[i]), free))
		if more <= 0 && free > 0 && next.Reserved == 0 && targets[id] > 0 { // not enough for all: one unit each, until none is left
			more = 1
		}
		next.Reserved += more
		free -= more
		updates[id] = next
	}
}

// computeTargets returns what each participant should have. The total is divided by need, first among zones and then
// within each zone; what nobody needs is spread over all.
func (al *Allocator) computeTargets(now float64, a *Account) map[uint32]int64 {
	targets := map[uint32]int64{}
	byZone, n := al.demandingByZone(now, a)
	if n == 0 || a.Removed {
		return targets
	}
	total := float64(a.Total) - math.Floor(float64(a.Total)*newcomerReserve)
	if a.Kind == Amount {
		total = math.Max(0, float64(a.Total-a.Spent))
	}
	need := func(id uint32) float64 {
		want := al.states[id].need[a.Name] * headroom
		if a.Ceiling > 0 {
			want = math.Min(want, float64(a.Ceiling))
		}
		return math.Max(want, math.Min(float64(a.Floor), total/float64(n)))
	}
	zones := slices.Sorted(maps.Keys(byZone))
	wants, weights := make([]float64, len(zones)), make([]float64, len(zones))
	for i, z := range zones {
		for _, id := range byZone[z] {
			wants[i] += need(id)
		}
		weights[i] = float64(len(byZone[z]))
	}
	left := total
	for i, portion := range maxMinFair(total, wants, weights) {
		ids := byZone[zones[i]]
		needs := make([]float64, len(ids))
		for k, id := range ids {
			needs[k] = need(id)
		}
		for k, amount := range maxMinFair(portion, needs, nil) {
			targets[ids[k]] = int64(amount + 1e-6)
			left -= amount
		}
	}
	if a.Kind == Amount {
		left *= idleSpread
	}
	spreadSurplus(a, byZone, targets, left, need)
	if a.Kind != Amount {
		al.distributeRemainder(now, a, targets, int64(total), need)
	}
	return targets
}

// demandingByZone returns the participants that demand a budget, grouped by zone, and their number n.
func (al *Allocator) demandingByZone(now float64, a *Account) (byZone map[string][]uint32, n int) {
	byZone = map[string][]uint32{}
	for _, id := range slices.Sorted(maps.Keys(al.ledger.Participants)) {
		s := al.states[id]
		if s == nil || s.lastRequest.Leaving || al.leaseEnded(now, id) || !slices.ContainsFunc(s.lastRequest.Demands, func(o Demand) bool { return o.Budget == a.Name }) {
			continue
		}
		zone := al.ledger.Participants[id].Zone
		byZone[zone] = append(byZone[zone], id)
		n++
	}
	return byZone, n
}

// spreadSurplus adds units that nobody needs to all targets, in proportion to the square root of each need: random
// arrivals vary by about that much.
func spreadSurplus(a *Account, byZone map[string][]uint32, targets map[uint32]int64, surplus float64, need func(uint32) float64) {
	roots := 0.0
	for id := range targets {
		roots += math.Sqrt(1 + need(id))
	}
	for _, ids := range byZone {
		for _, id := range ids {
			t := targets[id] + int64(math.Max(0, surplus*math.Sqrt(1+need(id))/roots))
			if a.Ceiling > 0 {
				t = min(t, a.Ceiling)
			}
			targets[id] = t
		}
	}
}

// distributeRemainder gives the units that integer division leaves over, one each, to participants whose need exceeds
// their target. The one that comes first rotates, so none is left out for good when the total is smaller than the
// number of participants.
func (al *Allocator) distributeRemainder(now float64, a *Account, targets map[uint32]int64, remainder int64, need func(uint32) float64) {
	var short []uint32
	for _, id := range slices.Sorted(maps.Keys(targets)) {
		if remainder -= targets[id]; need(id) > float64(targets[id]) && (a.Ceiling == 0 || targets[id] < a.Ceiling) {
			short = append(short, id)
		}
	}
	for i := range short {
		if int64(i) >= remainder {
			return
		}
		targets[short[(i+int(now/remainderRotation))%len(short)]]++
	}
}

// maxMinFair returns a weighted max-min fair division of the total: nobody gets more than it wants, and nobody could
// get more without taking from one that has less by weight. Nil weights count as 1 each.
func maxMinFair(total float64, wants, weights []float64) []float64 {
	shares := make([]float64, len(wants))
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
		shares[i] = math.Min(wants[i], math.Max(0, total)*weight(i)/sum)
		total -= shares[i]
		sum -= weight(i)
	}
	return shares
}

// responses returns what the ledger grants to the senders of the current batch.
func (al *Allocator) responses() (all []AddressedResponse) {
	for _, id := range slices.Sorted(maps.Keys(al.batch)) {
		req := al.batch[id]
		resp := AddressedResponse{Response: Response{ID: req.ID, Token: al.token}, Name: req.Name, BootID: req.BootID, Address: req.Address}
		for _, demand := range req.Demands {
			a := al.ledger.Accounts[demand.Budget]
			if a == nil {
				continue
			}
			allocation := a.Allocations[id]
			// The ledger's floor alone would never fall, because it follows the floor that the holder reports.
			floor := min(allocation.Floor, al.sharedFloor(a))
			grant := Grant{Budget: a.Name, Kind: a.Kind, Size: min(allocation.Reserved, max(al.targets[a.Name][id], floor)), Floor: floor}
			switch a.Kind {
			case Amount: // sized by the holder's own count: what it used beyond the ledger's count is taken from the reserved units
				grant.Size, grant.Floor = demand.Used+max(0, min(allocation.Reserved-max(0, demand.Used-allocation.Used), al.targets[a.Name][id])), 0
			case Rate:
				if a.Total > 0 && grant.Size > 0 { // plus one for each participant, without which it could take nothing at all
					grant.Burst = 1 + int64(float64(a.Burst)*float64(grant.Size)/float64(a.Total))
				}
			}
			resp.Grants = append(resp.Grants, grant)
		}
		all = append(all, resp)
	}
	al.batch = nil
	return all
}
