// Package quota divides totals that the fleet may use among its dispatchers. The Ledger is kept in the replicated log:
// it has the totals and each dispatcher's allocations. The Allocator runs at the dispatcher that holds the duty
// "divide"; it decides who gets how much, and grants only what the ledger has allocated. The Holder runs at each
// dispatcher and decides whether a unit may be used. All of them are pure: internal/cluster drives them, and the
// emulator and the tests run them on one clock.
//
// The tests check this invariant: what all dispatchers together may use, each by its own state and clock, is never
// more than the total. An allocation is lowered in the ledger only once its holder has confirmed a lower limit or its
// lease has surely ended. The holder counts its lease from before it sent the request, the allocator from after that,
// and work in flight under a grant has the tail to end.
package quota

import (
	"fmt"
	"maps"
	"slices"
)

// Limits and times.
const (
	MaxBudgets      = 64
	MaxParticipants = 600
	MaxNameLength   = 100 // bytes; of a budget's, a dispatcher's or a zone's name, or of an address
	MaxTotal        = int64(1) << 50

	Drift              = 0.01        // share by which a clock may run fast or slow
	Lease              = 6.0         // seconds; a grant is valid this long without a new response
	FloorLease         = 24 * 3600.0 // seconds; a floor is valid this long without a new response
	Duty               = "divide"    // name of the duty; its holder runs the allocator
	RateUnits          = int64(1000) // units of a rate for one use per second: a rate is given in thousandths per second
	minRequestInterval = 0.25        // seconds between a dispatcher's requests
	requestInterval    = Lease / 4   // seconds; three requests in a row may be lost within a lease
	maxTail            = 30.0        // seconds; upper limit of the tail
)

// Uses that a budget can be set for. A tenant's GETs use UseTenant followed by the tenant's name.
const (
	UseOrigin  = "origin"  // forwards that may need the origin
	UseRetries = "retries" // forwards that retry failed ones
	UseTenant  = "tenant:"
	UseHost    = "host:" // followed by a cache host: forwards to it or with it as their source
	MaxHosts   = 8       // cache hosts that may have a budget; few, because each routing decision looks at all of them
)

// Kind is what a budget limits.
type Kind uint8

// The kinds of budgets.
const (
	InFlight Kind = 1 + iota // units in use at one time
	Rate                     // thousandths per second, with a burst
	Amount                   // units per window, each used once
)

// Budget is a total with its limits, as the operator sets it.
type Budget struct {
	Name    string  `json:"Name"`
	Kind    Kind    `json:"Kind"`
	Total   int64   `json:"Whole"`
	Burst   int64   `json:"Burst"`   // of a rate: units at once by all dispatchers together, plus one for each dispatcher
	Window  float64 `json:"Window"`  // seconds; of an amount
	Floor   int64   `json:"Floor"`   // units that each dispatcher may use even without contact to the allocator; 0 for none
	Ceiling int64   `json:"Ceiling"` // most units that one dispatcher may have; 0 for no limit
}

// Check returns an error if the budget is invalid.
func (b *Budget) Check() error {
	switch {
	case b.Name == "" || len(b.Name) > MaxNameLength:
		return fmt.Errorf("budget %.20q: the name must have 1 to %d bytes", b.Name, MaxNameLength)
	case b.Kind < InFlight || b.Kind > Amount:
		return fmt.Errorf("budget %q: unknown kind", b.Name)
	case min(b.Total, b.Burst, b.Floor, b.Ceiling) < 0 || max(b.Total, b.Burst, b.Floor, b.Ceiling) > MaxTotal:
		return fmt.Errorf("budget %q: numbers must be from 0 to %d", b.Name, MaxTotal)
	case b.Kind == Amount && !(b.Window >= 1 && b.Window <= 31*24*3600):
		return fmt.Errorf("budget %q: a window of %g s is not between 1 s and 31 days", b.Name, b.Window)
	case b.Kind == Amount && b.Floor > 0:
		return fmt.Errorf("budget %q: an amount has no floor, because a dispatcher without contact would use it again in each window", b.Name)
	case b.Ceiling > 0 && b.Ceiling < b.Floor:
		return fmt.Errorf("budget %q: the ceiling is under the floor", b.Name)
	}
	return nil
}

// Participant is one run of a dispatcher that the ledger knows. Its floors stay reserved until it is forgotten.
type Participant struct {
	ID      uint32 `json:"ID"`
	Name    string `json:"Name"`
	BootID  uint64 `json:"Boot"`
	Zone    string `json:"Zone"`
	Address string `json:"Address"`
}

// Allocation is what one participant may have of a budget.
type Allocation struct {
	Reserved int64 `cbor:"Out"`   // units reserved for it
	Floor    int64 `cbor:"Floor"` // of these, units that it may use without contact to the allocator
	Used     int64 `cbor:"Used"`  // of an amount: all units that it has reported as used
}

// Account is a budget with its allocations, by participant.
type Account struct {
	Budget
	Allocations  map[uint32]Allocation
	Spent        int64 // units of an amount that were used in this window
	WindowNumber uint64
	Removed      bool // no longer in the settings; the account is deleted with its last allocation
}

// Sum returns the units that are reserved or spent.
func (a *Account) Sum() int64 {
	s := a.Spent
	for _, p := range a.Allocations {
		s += p.Reserved
	}
	return s
}

// Ledger is the state that the log keeps. It is not safe for concurrent use.
type Ledger struct {
	Token           uint64 // fencing token of the allocator that wrote last
	Seq             uint64 // number of its last command
	Generation      uint64 // of the budgets in force
	NextID          uint32 // id of the next participant
	GrantsSuspended bool   // set after the log may have lost grants: nothing is granted until these have surely ended
	Participants    map[uint32]Participant
	Accounts        map[string]*Account
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{NextID: 1, Participants: map[uint32]Participant{}, Accounts: map[string]*Account{}}
}

// AllocationUpdate changes one allocation to absolute values, so that it may be applied twice.
type AllocationUpdate struct {
	Budget string `cbor:"Budget"`
	ID     uint32 `cbor:"ID"`
	Allocation
}

// Command is one log entry. It has the fencing token of the allocator that wrote it; an entry with an older token than
// the ledger's has no effect.
type Command struct {
	Token        uint64             `cbor:"Token"`
	Seq          uint64             `cbor:"Seq"`        // rises with each command of a fencing token; a command that arrives after a later one has no effect
	Generation   uint64             `cbor:"Generation"` // of Budgets
	Budgets      []Budget           `cbor:"Declare"`    // all budgets; used if Generation is above the ledger's
	Join         []Participant      `cbor:"Enrol"`      // new participants; the ledger assigns their ids
	Forget       []uint32           `cbor:"Forget"`     // ids of participants that are removed
	Updates      []AllocationUpdate `cbor:"Sets"`
	ResumeGrants bool               `cbor:"Unhold"` // clears Ledger.GrantsSuspended
	NextWindows  []string           `cbor:"Turns"`  // names of the amounts whose next window begins
}

// Apply applies a command as a whole or not at all, and reports whether it did.
func (l *Ledger) Apply(c *Command) bool {
	if !l.isValid(c) {
		return false
	}
	l.Token, l.Seq = c.Token, c.Seq
	l.GrantsSuspended = l.GrantsSuspended && !c.ResumeGrants
	if c.Generation > l.Generation {
		l.setBudgets(c)
	}
	for _, s := range c.Updates {
		a := l.Accounts[s.Budget]
		a.Spent += max(0, s.Used-a.Allocations[s.ID].Used)
		if a.Allocations[s.ID] = s.Allocation; s.Allocation == (Allocation{}) {
			delete(a.Allocations, s.ID)
		}
	}
	for _, id := range c.Forget {
		l.forget(id)
	}
	l.join(c.Join)
	for _, name := range c.NextWindows {
		if a := l.Accounts[name]; a != nil && a.Kind == Amount {
			a.Spent = 0
			a.WindowNumber++
		}
	}
	maps.DeleteFunc(l.Accounts, func(_ string, a *Account) bool { return a.Removed && len(a.Allocations) == 0 })
	return true
}

// isValid reports whether a command may be applied: it must be newer than the last one, within all limits, and
// allocate no more than the totals.
func (l *Ledger) isValid(c *Command) bool {
	if c.Token < l.Token || c.Token == l.Token && c.Seq <= l.Seq || len(c.Budgets) > MaxBudgets || len(l.Participants)+len(c.Join) > MaxParticipants {
		return false
	}
	for i := range c.Budgets {
		if c.Budgets[i].Check() != nil {
			return false
		}
	}
	// Guards against an allocator that allocates more than there is, whatever its own state: no command may raise a
	// sum above its total.
	sums := map[string]int64{}
	for _, s := range c.Updates {
		a := l.Accounts[s.Budget]
		if _, ok := l.Participants[s.ID]; a == nil || !ok || s.Reserved < s.Floor || s.Floor < 0 {
			return false
		}
		current := a.Allocations[s.ID]
		sums[s.Budget] += s.Reserved - current.Reserved + max(0, s.Used-current.Used)
	}
	for name, more := range sums {
		if a := l.Accounts[name]; more > 0 && a.Sum()+more > a.Total {
			return false
		}
	}
	return true
}

// join assigns ids to processes that are not participants yet.
func (l *Ledger) join(joining []Participant) {
	for _, s := range joining {
		if len(s.Name) > MaxNameLength || len(s.Zone) > MaxNameLength || len(s.Address) > MaxNameLength || l.ParticipantID(s.Name, s.BootID) != 0 {
			continue
		}
		s.ID = l.NextID
		l.NextID++
		l.Participants[s.ID] = s
	}
}

// setBudgets replaces the budgets. A new total may be below the sum of its allocations; nothing more is allocated
// until the sum has fallen below it.
func (l *Ledger) setBudgets(c *Command) {
	l.Generation = c.Generation
	for _, a := range l.Accounts {
		a.Removed = true
	}
	for _, b := range c.Budgets {
		a := l.Accounts[b.Name]
		if a == nil || a.Kind != b.Kind {
			if a != nil && len(a.Allocations) > 0 { // a budget of another kind replaces it once its allocations have ended
				continue
			}
			a = &Account{Allocations: map[uint32]Allocation{}}
			l.Accounts[b.Name] = a
		}
		a.Budget, a.Removed = b, false
	}
}

// forget removes a participant. What was reserved for it of an amount counts as spent.
func (l *Ledger) forget(id uint32) {
	for _, a := range l.Accounts {
		if a.Kind == Amount {
			a.Spent += a.Allocations[id].Reserved
		}
		delete(a.Allocations, id)
	}
	delete(l.Participants, id)
}

// ParticipantID returns the id of a process, or 0 if it is not a participant.
func (l *Ledger) ParticipantID(name string, bootID uint64) uint32 {
	for id, s := range l.Participants {
		if s.Name == name && s.BootID == bootID {
			return id
		}
	}
	return 0
}

// SavedLedger is a ledger as stored in a snapshot.
type SavedLedger struct {
	Token           uint64         `json:"Token"`
	Seq             uint64         `json:"Seq"`
	Generation      uint64         `json:"Generation"`
	NextID          uint32         `json:"NextID"`
	GrantsSuspended bool           `json:"Hold"`
	Participants    []Participant  `json:"Seats"`
	Accounts        []SavedAccount `json:"Accounts"`
}

// SavedAccount is an account as stored in a snapshot. Allocations holds four numbers for each: the participant's id,
// Reserved, Floor and Used.
type SavedAccount struct {
	Budget
	Spent        int64   `json:"Spent"`
	WindowNumber uint64  `json:"Turn"`
	Removed      bool    `json:"Gone"`
	Allocations  []int64 `json:"Parts"`
}

// Save returns the state of the ledger for a snapshot. It shares no memory with the ledger.
func (l *Ledger) Save() SavedLedger {
	s := SavedLedger{Token: l.Token, Seq: l.Seq, Generation: l.Generation, NextID: l.NextID, GrantsSuspended: l.GrantsSuspended}
	for _, id := range slices.Sorted(maps.Keys(l.Participants)) {
		s.Participants = append(s.Participants, l.Participants[id])
	}
	for _, name := range slices.Sorted(maps.Keys(l.Accounts)) {
		a := l.Accounts[name]
		o := SavedAccount{Budget: a.Budget, Spent: a.Spent, WindowNumber: a.WindowNumber, Removed: a.Removed}
		for _, id := range slices.Sorted(maps.Keys(a.Allocations)) {
			p := a.Allocations[id]
			o.Allocations = append(o.Allocations, int64(id), p.Reserved, p.Floor, p.Used)
		}
		s.Accounts = append(s.Accounts, o)
	}
	return s
}

// Restore returns a ledger with a saved state.
func Restore(s SavedLedger) *Ledger {
	l := NewLedger()
	l.Token, l.Seq, l.Generation, l.NextID = s.Token, s.Seq, s.Generation, max(1, s.NextID)
	l.GrantsSuspended = s.GrantsSuspended
	for _, participant := range s.Participants {
		l.Participants[participant.ID] = participant
	}
	for _, o := range s.Accounts {
		a := &Account{Budget: o.Budget, Spent: o.Spent, WindowNumber: o.WindowNumber, Removed: o.Removed, Allocations: map[uint32]Allocation{}}
		for p := range slices.Chunk(o.Allocations, 4) {
			if len(p) == 4 {
				a.Allocations[uint32(p[0])] = Allocation{Reserved: p[1], Floor: p[2], Used: p[3]}
			}
		}
		l.Accounts[o.Name] = a
	}
	return l
}
