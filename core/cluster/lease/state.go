// Package lease assigns duties, each of which only one dispatcher may perform at a time, by leases with fencing tokens.
//
// State is the replicated state machine: duties, their holders, tokens and waiting candidates. It uses no clock. Granter
// runs at the leader of the log: it times the leases on its own clock and proposes their expiry. Holder runs at each
// dispatcher and must be consulted before each action under a duty. None of them does I/O or is safe for concurrent use:
// internal/cluster drives them with the log of go.etcd.io/raft, and tests drive them on a simulated clock.
//
// The tests check these invariants. Tokens rise with each grant and are never reused. In the state a duty has at most
// one holder. A holder times its lease from before it sent the request, and the granter from after that, so the holder's
// lease is over before the next one begins as long as no clock drifts by more than MaxClockDrift. A receiver of actions
// that rejects tokens below the highest that it has seen (see Fence) never accepts the actions of two holders out of
// order, whatever the clocks do.
package lease

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
)

// Limits and parameters.
const (
	MaxDuties        = 2000
	MaxCandidates    = 400    // of one duty
	MaxRegistrations = 100000 // of all duties together; bounds the size of a snapshot
	MaxNameBytes     = 100    // of the name of a duty, a dispatcher or a zone

	MaxClockDrift  = 0.01  // relative error of a clock, 100 times that of a quartz oscillator
	MinLeaseLength = 0.2   // seconds; the delay of a message and a disk sync could use up a shorter lease
	MaxLeaseLength = 600.0 // seconds

	// A dispatcher that holds more than grantLoadFactor times the even share gets no more duties while other candidates
	// wait.
	grantLoadFactor = 1.25
	// Duties are transferred away from a dispatcher that holds more than rebalanceLoadFactor times the even share. This
	// is well above grantLoadFactor, so that a returning dispatcher causes few transfers.
	rebalanceLoadFactor = 1.5
	rebalanceDivisor    = 20      // at most 1 + held/rebalanceDivisor duties are transferred at a time
	maxFailures         = 3       // upper limit of Candidate.Failures
	RecoveryTokenSkip   = 1 << 32 // tokens skipped by a recovery: more than any lost log could have granted
	forgiveAfterLeases  = 10.0    // lease lengths of uninterrupted holding after which a holder's failures are forgiven
	absentAfterLeases   = 10.0    // lease lengths without contact after which a candidate is removed
)

// Candidate is a dispatcher that is registered for a duty. BootID distinguishes it from an earlier process of the same
// name.
type Candidate struct {
	Name     string `json:"Name"`
	BootID   uint64 `json:"Boot"`
	Zone     string `json:"Zone"`
	Priority int    `json:"Priority"`
	Failures int    `json:"Failures"` // leases that recently expired while it held them, at most maxFailures
}

// Duty is a task that only one dispatcher performs at a time.
type Duty struct {
	Name          string      `json:"Name"`
	LeaseLength   float64     `json:"Length"` // seconds
	PreferredZone string      `json:"Zone"`   // of the holder; empty for no preference
	Holder        Candidate   `json:"Holder"`
	Token         uint64      `json:"Token"` // fencing token of the holder, 0 while the duty has none
	LastToken     uint64      `json:"Last"`  // the last token that was granted
	TransferTo    string      `json:"To"`    // name of the next holder once the current one has released the duty; empty for none
	Started       uint64      `json:"Mark"`  // number of the latest action that a holder has announced in the log before performing it; numbers start at 1
	Completed     uint64      `json:"Told"`  // highest number of an announced action that is known to be done
	Waiting       []Candidate `json:"Waiting"`
}

// Held reports whether the duty has a holder.
func (d *Duty) Held() bool { return d.Token != 0 }

// CommandKind is the operation of a Command.
type CommandKind uint8

// The command kinds.
const (
	Declare         CommandKind = 1 + iota // creates a duty, or changes its lease length and preferred zone
	Drop                                   // deletes a duty that has no holder
	Register                               // registers a dispatcher as a candidate for several duties
	Withdraw                               // removes a dispatcher's candidacy for one duty
	Release                                // ends a lease at the request of its holder
	Transfer                               // names the dispatcher that gets the duty once its holder has released it
	Expire                                 // ends a lease that has run out by the granter's clock
	ForgiveFailures                        // resets the holder's failure count
	Unregister                             // removes a process from the candidates of all duties
	SkipTokens                             // skips RecoveryTokenSkip tokens after a recovery of the log
	RegisterVoter                          // records a voter's disk ID (in Token), its name and its DiskEpoch
	Started                                // a holder announces the action Number under a duty before performing it; each number is accepted once
	Completed                              // the announced action Number is done
)

// Command is one entry of the log. Applying a command a second time has no effect, except for SkipTokens.
type Command struct {
	Kind        CommandKind `cbor:"Act"`
	Duty        string      `cbor:"Duty"`
	Duties      []string    `cbor:"Duties"` // used only by Register
	LeaseLength float64     `cbor:"Length"` // seconds
	Zone        string      `cbor:"Zone"`   // for Declare, the preferred zone of the holder; for Register, the zone of the dispatcher
	Name        string      `cbor:"Name"`
	BootID      uint64      `cbor:"Boot"`
	Priority    int         `cbor:"Priority"`
	Token       uint64      `cbor:"Token"`  // fencing token of the lease; for RegisterVoter, the ID of the disk
	DiskEpoch   uint32      `cbor:"Era"`    // see Voter.DiskEpoch; used only by RegisterVoter
	Number      uint64      `cbor:"Number"` // of the announced action, for Started and Completed
}

// Check returns an error if the command exceeds a limit. It is meant for commands from outside the process.
func (c *Command) Check() error {
	for _, n := range append([]string{c.Duty, c.Zone, c.Name}, c.Duties...) {
		if len(n) > MaxNameBytes {
			return fmt.Errorf("name %.20q... has %d bytes, the limit is %d", n, len(n), MaxNameBytes)
		}
	}
	if c.Kind == Declare && (c.Duty == "" || !(c.LeaseLength >= MinLeaseLength && c.LeaseLength <= MaxLeaseLength)) {
		return fmt.Errorf("duty %q: lease length %g s is outside the range %g to %g s", c.Duty, c.LeaseLength, MinLeaseLength, MaxLeaseLength)
	}
	if len(c.Duties) > MaxDuties {
		return fmt.Errorf("command lists %d duties, the limit is %d", len(c.Duties), MaxDuties)
	}
	return nil
}

// State is the replicated state machine. Applying the same commands in the same order gives the same State at every
// voter.
type State struct {
	NextToken uint64 // token of the next grant
	duties    map[string]*Duty
	loads     map[string]int // number of duties held, by dispatcher name
	voters    map[uint64]Voter
}

// NewState returns an empty state.
func NewState() *State {
	return &State{NextToken: 1, duties: map[string]*Duty{}, loads: map[string]int{}, voters: map[uint64]Voter{}}
}

// Saved is the content of a snapshot of a State.
type Saved struct {
	NextToken uint64  `cbor:"Next"`
	Duties    []Duty  `cbor:"Duties"`
	Voters    []Voter `cbor:"Seats"`
}

// Save returns a copy of the whole state; it shares no memory with s.
func (s *State) Save() Saved {
	all := Saved{NextToken: s.NextToken, Voters: s.Voters()}
	for _, name := range slices.Sorted(maps.Keys(s.duties)) {
		d := *s.duties[name]
		d.Waiting = append([]Candidate(nil), d.Waiting...)
		all.Duties = append(all.Duties, d)
	}
	return all
}

// Restore builds a State from a saved copy.
func Restore(from Saved) *State {
	s := NewState()
	s.NextToken = max(1, from.NextToken)
	for _, d := range from.Duties {
		d.Waiting = slices.Clone(d.Waiting)
		s.duties[d.Name] = &d
		if d.Held() {
			s.loads[d.Holder.Name]++
		}
		s.NextToken = max(s.NextToken, d.LastToken+1)
	}
	for _, v := range from.Voters {
		s.voters[v.ID] = v
	}
	return s
}

// Packed is a Saved that lists each candidate only once. With it, 1,000 duties with 60 candidates each take 0.3 MB
// instead of 4 MB.
type Packed struct {
	Saved
	Candidates []Candidate `cbor:"Who"`     // the distinct candidates, with Failures set to 0
	Waiting    [][]uint32  `cbor:"Waiting"` // by duty: index into Candidates shifted left by 2, with Failures in the two lowest bits
}

// Pack packs a saved state. It modifies s, which must not be used afterwards.
func Pack(s Saved) Packed {
	p := Packed{Saved: s, Waiting: make([][]uint32, len(s.Duties))}
	index := map[Candidate]int{}
	for i := range s.Duties {
		for _, c := range s.Duties[i].Waiting {
			failures := c.Failures
			c.Failures = 0
			at, ok := index[c]
			if !ok {
				at = len(p.Candidates)
				index[c], p.Candidates = at, append(p.Candidates, c)
			}
			p.Waiting[i] = append(p.Waiting[i], uint32(at<<2|min(failures, maxFailures)))
		}
		p.Duties[i].Waiting = nil
	}
	return p
}

// Unpack reverses Pack. It returns an error if the lengths or indexes in p are inconsistent.
func Unpack(p Packed) (Saved, error) {
	s := p.Saved
	if len(p.Waiting) != len(s.Duties) {
		return s, fmt.Errorf("%d duties, but candidate lists for %d", len(s.Duties), len(p.Waiting))
	}
	for i := range s.Duties {
		for _, w := range p.Waiting[i] {
			if int(w>>2) >= len(p.Candidates) {
				return s, fmt.Errorf("candidate index %d is outside the list of %d", w>>2, len(p.Candidates))
			}
			c := p.Candidates[w>>2]
			c.Failures = int(w & 3)
			s.Duties[i].Waiting = append(s.Duties[i].Waiting, c)
		}
	}
	return s, nil
}

// Get returns the duty of that name, or nil if there is none.
func (s *State) Get(name string) *Duty { return s.duties[name] }

// Names returns the names of all duties, sorted.
func (s *State) Names() []string { return slices.Sorted(maps.Keys(s.duties)) }

// Apply applies a command and returns the names of the duties that it changed. It is deterministic; an invalid command
// changes nothing.
func (s *State) Apply(c Command) (changed []string) {
	if c.Check() != nil {
		return nil
	}
	switch c.Kind {
	case Register:
		return s.register(c)
	case Unregister:
		return s.unregister(c)
	case SkipTokens:
		s.NextToken += RecoveryTokenSkip
		return nil
	case RegisterVoter:
		s.registerVoter(c)
		return nil
	}
	d := s.duties[c.Duty]
	if d == nil && c.Kind == Declare && len(s.duties) < MaxDuties {
		d = &Duty{Name: c.Duty}
		s.duties[c.Duty] = d
	}
	if d == nil || !s.applyToDuty(d, c) {
		return nil
	}
	return []string{d.Name}
}

// register adds a dispatcher to the candidates of several duties and returns the names of the duties that changed.
func (s *State) register(c Command) (changed []string) {
	remaining := MaxRegistrations
	for _, d := range s.duties {
		remaining -= len(d.Waiting)
	}
	for _, name := range c.Duties {
		if d := s.duties[name]; d != nil && remaining > 0 && d.register(c) {
			s.grant(d)
			changed = append(changed, name)
			remaining--
		}
	}
	return changed
}

// unregister removes a dispatcher from the candidates of all duties and returns the names of the duties that changed.
func (s *State) unregister(c Command) (changed []string) {
	for _, name := range s.Names() {
		d := s.duties[name]
		n := len(d.Waiting)
		d.Waiting = slices.DeleteFunc(d.Waiting, func(o Candidate) bool { return o.Name == c.Name && (c.BootID == 0 || o.BootID == c.BootID) })
		if len(d.Waiting) != n {
			changed = append(changed, name)
		}
	}
	return changed
}

// applyToDuty applies a command to one duty. It returns false if the command does not fit the duty's state.
func (s *State) applyToDuty(d *Duty, c Command) bool {
	running := d.Held() && d.Token == c.Token
	switch c.Kind {
	case Drop:
		if d.Held() {
			return false
		}
		delete(s.duties, c.Duty)
		return true
	case Started:
		// Guards against an action that two holders announce, or one holder announces twice: the later command finds
		// that the number has already been used.
		if !running || c.Number != d.Started+1 {
			return false
		}
		d.Started = c.Number
		return true
	case Completed:
		if c.Number > d.Started || c.Number <= d.Completed {
			return false
		}
		d.Completed = c.Number
		return true
	case Declare:
		// A new length applies to the next lease; for a running lease the granter uses the longer of the two.
		d.LeaseLength, d.PreferredZone = c.LeaseLength, c.Zone
	case Withdraw:
		d.Waiting = slices.DeleteFunc(d.Waiting, func(o Candidate) bool { return o.Name == c.Name })
	case Release, Expire:
		if !running {
			return false
		}
		s.endLease(d, c.Kind == Expire)
	case Transfer:
		if d.Token != c.Token || c.Name == d.Holder.Name && d.Held() {
			return false
		}
		d.TransferTo = c.Name
	case ForgiveFailures:
		if !running {
			return false
		}
		d.Holder.Failures = 0
	default:
		return false
	}
	s.grant(d)
	return true
}

// register adds a dispatcher to the duty's candidates. It returns true if that changed the duty.
func (d *Duty) register(c Command) bool {
	candidate := Candidate{Name: c.Name, BootID: c.BootID, Zone: c.Zone, Priority: c.Priority}
	if c.Name == "" || d.Held() && d.Holder.Name == c.Name && d.Holder.BootID == c.BootID {
		return false
	}
	for i, o := range d.Waiting {
		if o.Name == c.Name {
			candidate.Failures = o.Failures
			d.Waiting[i] = candidate
			return o != candidate
		}
	}
	if len(d.Waiting) >= MaxCandidates {
		return false
	}
	if d.Held() && d.Holder.Name == c.Name { // an earlier process of the same name still holds the duty
		candidate.Failures = d.Holder.Failures
	}
	d.Waiting = append(d.Waiting, candidate)
	return true
}

// endLease ends the lease of a duty's holder. If the lease expired, the former holder becomes a candidate again, ranked
// behind those with fewer failures. If the holder released the duty, it must register again.
func (s *State) endLease(d *Duty, failed bool) {
	former := d.Holder
	if s.loads[former.Name]--; s.loads[former.Name] <= 0 {
		delete(s.loads, former.Name)
	}
	d.Token, d.Holder = 0, Candidate{}
	if failed {
		for i := range d.Waiting {
			if d.Waiting[i].Name == former.Name { // a later process of the same name
				d.Waiting[i].Failures = min(maxFailures, former.Failures+1)
				return
			}
		}
		former.Failures = min(maxFailures, former.Failures+1)
		if len(d.Waiting) < MaxCandidates {
			d.Waiting = append(d.Waiting, former)
		}
	}
}

// grant gives a duty without a holder to its best candidate, with a token above all earlier ones.
func (s *State) grant(d *Duty) {
	if d.Held() || len(d.Waiting) == 0 {
		return
	}
	best := s.bestCandidate(d)
	d.Holder, d.Token, d.LastToken, d.TransferTo = d.Waiting[best], s.NextToken, s.NextToken, ""
	d.Waiting = slices.Delete(d.Waiting, best, best+1)
	s.NextToken++
	s.loads[d.Holder.Name]++
}

// bestCandidate returns the index of the candidate that gets the duty. A dispatcher named in TransferTo comes first.
// Otherwise candidates are ranked by failures, priority, preferred zone, and whether their load is below the limit. Ties
// go to the highest rendezvous weight, so that few duties move when dispatchers join or leave.
func (s *State) bestCandidate(d *Duty) int {
	if i := slices.IndexFunc(d.Waiting, func(c Candidate) bool { return c.Name == d.TransferTo }); i >= 0 {
		return i
	}
	totalHeld, names := 1, map[string]bool{}
	for _, n := range s.loads {
		totalHeld += n
	}
	for name := range s.loads {
		names[name] = true
	}
	for _, c := range d.Waiting {
		names[c.Name] = true
	}
	loadLimit := int(math.Ceil(grantLoadFactor * float64(totalHeld) / float64(len(names))))
	best := 0
	for i := 1; i < len(d.Waiting); i++ {
		if s.ranksBefore(d, d.Waiting[i], d.Waiting[best], loadLimit) {
			best = i
		}
	}
	return best
}

// ranksBefore reports whether candidate a ranks before candidate b. A candidate with loadLimit duties or more is
// overloaded.
func (s *State) ranksBefore(d *Duty, a, b Candidate, loadLimit int) bool {
	zoneMismatch := func(c Candidate) int {
		if d.PreferredZone == "" || c.Zone == d.PreferredZone {
			return 0
		}
		return 1
	}
	overloaded := func(c Candidate) int {
		if s.loads[c.Name] < loadLimit {
			return 0
		}
		return 1
	}
	order := cmp.Or(cmp.Compare(a.Failures, b.Failures), cmp.Compare(b.Priority, a.Priority), cmp.Compare(zoneMismatch(a), zoneMismatch(b)),
		cmp.Compare(overloaded(a), overloaded(b)), cmp.Compare(rendezvousWeight(b.Name, d.Name), rendezvousWeight(a.Name, d.Name)), cmp.Compare(a.Name, b.Name))
	return order < 0
}

// Rebalance returns commands that transfer duties from dispatchers with far more than the even share to dispatchers with
// less than the even share. It moves only a few duties at a time, so that a late starter gets its share without
// oscillation. It is needed because a starting fleet grants all duties to whichever dispatcher registers first.
func (s *State) Rebalance() (commands []Command) {
	held, names := 0, map[string]bool{}
	for name, n := range s.loads {
		held, names[name] = held+n, true
	}
	loads := maps.Clone(s.loads)
	for _, d := range s.duties {
		for _, c := range d.Waiting {
			names[c.Name] = true
		}
		if d.Held() && d.TransferTo != "" { // a transfer is already in progress
			loads[d.Holder.Name]--
			loads[d.TransferTo]++
		}
	}
	if len(names) < 2 {
		return nil
	}
	evenShare := float64(held) / float64(len(names))
	maxTransfers := 1 + held/rebalanceDivisor
	for _, name := range s.Names() {
		d := s.duties[name]
		if len(commands) >= maxTransfers {
			return commands
		}
		if !d.Held() || d.TransferTo != "" || float64(loads[d.Holder.Name]) <= math.Ceil(rebalanceLoadFactor*evenShare) {
			continue
		}
		if to := d.transferTarget(loads, evenShare); to >= 0 {
			loads[d.Holder.Name]--
			loads[d.Waiting[to].Name]++
			commands = append(commands, Command{Kind: Transfer, Duty: name, Token: d.Token, Name: d.Waiting[to].Name})
		}
	}
	return commands
}

// transferTarget returns the index of the candidate with the least load below the even share that may take over a held
// duty, or -1 if there is none.
func (d *Duty) transferTarget(loads map[string]int, evenShare float64) int {
	to := -1
	for i, c := range d.Waiting {
		if c.Failures != 0 || c.Priority < d.Holder.Priority {
			continue
		}
		if d.PreferredZone != "" && c.Zone != d.PreferredZone && d.Holder.Zone == d.PreferredZone {
			continue
		}
		if float64(loads[c.Name]) < evenShare && (to < 0 || loads[c.Name] < loads[d.Waiting[to].Name]) {
			to = i
		}
	}
	return to
}

// rendezvousWeight returns the pseudorandom weight of a dispatcher for a duty; it is the same at every voter.
func rendezvousWeight(name, duty string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(duty))
	x := h.Sum64() // FNV mixes its last bytes poorly, so the sum is mixed further
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
