// Package quota divides a whole that the fleet may use among its dispatchers. The Ledger is what the replicated log keeps:
// wholes and what each dispatcher may have of them. The Divider, at whoever holds the duty divide, decides who gets how much, and
// answers only what the ledger has. The Holder is each dispatcher's part: what passes asks it. All of them are pure:
// internal/cluster drives them, emulator and tests play them on one clock.
//
// The invariant, held by tests: what all dispatchers together may use by their own reckoning is never more than the whole. A part
// is lowered in the ledger only once its holder has said that it binds itself to less, or once it has surely ended: the holder counts
// from before it asked, the divider from after that, and what is under way under it has the tail to end.
package quota

import (
	"fmt"
	"maps"
	"slices"
)

// Bounds and figures.
const (
	MostBudgets = 64
	MostHolders = 600
	LongestName = 100 // bytes of a budget's, a dispatcher's or a zone's
	MostWhole   = int64(1) << 50

	Drift    = 0.01        // share by which a clock may run fast or slow
	Lease    = 6.0         // s; a share counts so long without word
	Standing = 24 * 3600.0 // s; a floor counts so long without word
	Duty     = "divide"    // who holds it divides
	Thousand = int64(1000) // units of a rate: thousandths a second
	leastAsk = 0.25        // s between a dispatcher's questions
	askEach  = Lease / 4   // s; three may be lost
	mostTail = 30.0        // s; what is under way under a share ends by then
)

// What uses budgets; a tenant's GETs by UseTenant and its name.
const (
	UseOrigin  = "origin"  // forwards that may need the origin
	UseRetries = "retries" // forwards after failed ones
	UseTenant  = "tenant:"
	UseHost    = "host:" // forwards at it, or with it as their source
	MostHosts  = 8       // that are bounded so: each act of a module looks at all of them
)

// Kind is what a budget counts.
type Kind uint8

// The kinds.
const (
	UnderWay Kind = 1 + iota // at one time
	Rate                     // thousandths a second, with a burst
	Amount                   // by window; used once
)

// Budget is a whole, as an operator sets it.
type Budget struct {
	Name    string  `json:"Name"`
	Kind    Kind    `json:"Kind"`
	Whole   int64   `json:"Whole"`
	Burst   int64   `json:"Burst"`   // of a rate: so many at once, of all together, and one more of each dispatcher
	Window  float64 `json:"Window"`  // s; of an amount
	Floor   int64   `json:"Floor"`   // the standing part of each dispatcher, also cut off; 0 for none
	Ceiling int64   `json:"Ceiling"` // the most that one may have; 0 for any
}

// Check tells what is wrong with a budget.
func (b *Budget) Check() error {
	switch {
	case b.Name == "" || len(b.Name) > LongestName:
		return fmt.Errorf("budget %.20q: a name has 1 to %d bytes", b.Name, LongestName)
	case b.Kind < UnderWay || b.Kind > Amount:
		return fmt.Errorf("budget %q: no such kind", b.Name)
	case min(b.Whole, b.Burst, b.Floor, b.Ceiling) < 0 || max(b.Whole, b.Burst, b.Floor, b.Ceiling) > MostWhole:
		return fmt.Errorf("budget %q: figures are from 0 to %d", b.Name, MostWhole)
	case b.Kind == Amount && !(b.Window >= 1 && b.Window <= 31*24*3600):
		return fmt.Errorf("budget %q: a window of %g s", b.Name, b.Window)
	case b.Kind == Amount && b.Floor > 0:
		return fmt.Errorf("budget %q: an amount has no floor: one that is cut off would use it in each window", b.Name)
	case b.Ceiling > 0 && b.Ceiling < b.Floor:
		return fmt.Errorf("budget %q: the ceiling is under the floor", b.Name)
	}
	return nil
}

// Seat is a dispatcher that the ledger knows: one process of a name. Its floors are reserved until it is forgotten.
type Seat struct {
	ID      uint32 `json:"ID"`
	Name    string `json:"Name"`
	Boot    uint64 `json:"Boot"`
	Zone    string `json:"Zone"`
	Address string `json:"Address"`
}

// Part is what one dispatcher may have of a budget.
type Part struct {
	Out   int64 `cbor:"Out"`   // reserved for it
	Floor int64 `cbor:"Floor"` // of that, also without word
	Used  int64 `cbor:"Used"`  // of an amount: all that it said it has used
}

// Account is a budget with its parts.
type Account struct {
	Budget
	Parts map[uint32]Part
	Spent int64  // of an amount, in this window
	Turn  uint64 // number of the window
	Gone  bool   // no longer in the settings: it ends with its last part
}

// Sum is what is reserved or spent.
func (a *Account) Sum() int64 {
	s := a.Spent
	for _, p := range a.Parts {
		s += p.Out
	}
	return s
}

// Ledger is what the log keeps.
type Ledger struct {
	Token      uint64 // of the divider that wrote last
	Seq        uint64 // of its last command
	Generation uint64 // of the settings in force
	NextID     uint32
	Hold       bool // grants may be out that the log has lost: nothing is given before they have surely ended
	Seats      map[uint32]Seat
	Accounts   map[string]*Account
}

// NewLedger is empty.
func NewLedger() *Ledger {
	return &Ledger{NextID: 1, Seats: map[uint32]Seat{}, Accounts: map[string]*Account{}}
}

// Set is a change of one part: to absolute values, so that it may come twice.
type Set struct {
	Budget string `cbor:"Budget"`
	ID     uint32 `cbor:"ID"`
	Part
}

// Command is one entry of the ledger. What a divider writes bears its token; one with an older token does nothing.
type Command struct {
	Token      uint64   `cbor:"Token"`
	Seq        uint64   `cbor:"Seq"` // of the token's commands, rising: one that comes late, behind a later one, does nothing
	Generation uint64   `cbor:"Generation"`
	Declare    []Budget `cbor:"Declare"` // all that there are, where Generation is above the ledger's
	Enrol      []Seat   `cbor:"Enrol"`   // their ids are given here
	Forget     []uint32 `cbor:"Forget"`
	Sets       []Set    `cbor:"Sets"`
	Unhold     bool     `cbor:"Unhold"`
	Turns      []string `cbor:"Turns"` // budgets whose next window begins
}

// Apply does a command, whole or not at all; false where it was not done.
func (l *Ledger) Apply(c *Command) bool {
	if !l.fits(c) {
		return false
	}
	l.Token, l.Seq = c.Token, c.Seq
	l.Hold = l.Hold && !c.Unhold
	if c.Generation > l.Generation {
		l.declare(c)
	}
	for _, s := range c.Sets {
		a := l.Accounts[s.Budget]
		a.Spent += max(0, s.Used-a.Parts[s.ID].Used)
		if a.Parts[s.ID] = s.Part; s.Part == (Part{}) {
			delete(a.Parts, s.ID)
		}
	}
	for _, id := range c.Forget {
		l.forget(id)
	}
	l.enrol(c.Enrol)
	for _, name := range c.Turns {
		if a := l.Accounts[name]; a != nil && a.Kind == Amount {
			a.Spent = 0
			a.Turn++
		}
	}
	maps.DeleteFunc(l.Accounts, func(_ string, a *Account) bool { return a.Gone && len(a.Parts) == 0 })
	return true
}

// fits tells whether a command may be done: it is newer than the last one, within all bounds, and gives no more than there is.
func (l *Ledger) fits(c *Command) bool {
	if c.Token < l.Token || c.Token == l.Token && c.Seq <= l.Seq || len(c.Declare) > MostBudgets || len(l.Seats)+len(c.Enrol) > MostHolders {
		return false
	}
	for i := range c.Declare {
		if c.Declare[i].Check() != nil {
			return false
		}
	}
	// Guards against a divider that gives more than there is, whatever it believes: no entry raises a sum beyond the whole.
	sums := map[string]int64{}
	for _, s := range c.Sets {
		a := l.Accounts[s.Budget]
		if _, ok := l.Seats[s.ID]; a == nil || !ok || s.Out < s.Floor || s.Floor < 0 {
			return false
		}
		was := a.Parts[s.ID]
		sums[s.Budget] += s.Out - was.Out + max(0, s.Used-was.Used)
	}
	for name, more := range sums {
		if a := l.Accounts[name]; more > 0 && a.Sum()+more > a.Whole {
			return false
		}
	}
	return true
}

// enrol gives seats to processes that have none.
func (l *Ledger) enrol(all []Seat) {
	for _, s := range all {
		if len(s.Name) > LongestName || len(s.Zone) > LongestName || len(s.Address) > LongestName || l.Seat(s.Name, s.Boot) != 0 {
			continue
		}
		s.ID = l.NextID
		l.NextID++
		l.Seats[s.ID] = s
	}
}

// declare takes settings in. A whole may be under its sum then: nothing more is given of it until that holds.
func (l *Ledger) declare(c *Command) {
	l.Generation = c.Generation
	for _, a := range l.Accounts {
		a.Gone = true
	}
	for _, b := range c.Declare {
		a := l.Accounts[b.Name]
		if a == nil || a.Kind != b.Kind {
			if a != nil && len(a.Parts) > 0 { // another kind takes its place once the old one's parts are over
				continue
			}
			a = &Account{Parts: map[uint32]Part{}}
			l.Accounts[b.Name] = a
		}
		a.Budget, a.Gone = b, false
	}
}

// forget takes a dispatcher's parts back; what it had of an amount counts as spent.
func (l *Ledger) forget(id uint32) {
	for _, a := range l.Accounts {
		if a.Kind == Amount {
			a.Spent += a.Parts[id].Out
		}
		delete(a.Parts, id)
	}
	delete(l.Seats, id)
}

// Seat is the id of a process, 0 where it is not known.
func (l *Ledger) Seat(name string, boot uint64) uint32 {
	for id, s := range l.Seats {
		if s.Name == name && s.Boot == boot {
			return id
		}
	}
	return 0
}

// Saved is a ledger as a snapshot keeps it.
type Saved struct {
	Token      uint64         `json:"Token"`
	Seq        uint64         `json:"Seq"`
	Generation uint64         `json:"Generation"`
	NextID     uint32         `json:"NextID"`
	Hold       bool           `json:"Hold"`
	Seats      []Seat         `json:"Seats"`
	Accounts   []SavedAccount `json:"Accounts"`
}

// SavedAccount is one of its accounts; Parts are four numbers each: id, out, floor, used.
type SavedAccount struct {
	Budget
	Spent int64   `json:"Spent"`
	Turn  uint64  `json:"Turn"`
	Gone  bool    `json:"Gone"`
	Parts []int64 `json:"Parts"`
}

// Save gives all of it; nothing is shared with it.
func (l *Ledger) Save() Saved {
	s := Saved{Token: l.Token, Seq: l.Seq, Generation: l.Generation, NextID: l.NextID, Hold: l.Hold}
	for _, id := range slices.Sorted(maps.Keys(l.Seats)) {
		s.Seats = append(s.Seats, l.Seats[id])
	}
	for _, name := range slices.Sorted(maps.Keys(l.Accounts)) {
		a := l.Accounts[name]
		o := SavedAccount{Budget: a.Budget, Spent: a.Spent, Turn: a.Turn, Gone: a.Gone}
		for _, id := range slices.Sorted(maps.Keys(a.Parts)) {
			p := a.Parts[id]
			o.Parts = append(o.Parts, int64(id), p.Out, p.Floor, p.Used)
		}
		s.Accounts = append(s.Accounts, o)
	}
	return s
}

// Restore makes a ledger of what was saved.
func Restore(s Saved) *Ledger {
	l := NewLedger()
	l.Token, l.Seq, l.Generation, l.NextID = s.Token, s.Seq, s.Generation, max(1, s.NextID)
	l.Hold = s.Hold
	for _, seat := range s.Seats {
		l.Seats[seat.ID] = seat
	}
	for _, o := range s.Accounts {
		a := &Account{Budget: o.Budget, Spent: o.Spent, Turn: o.Turn, Gone: o.Gone, Parts: map[uint32]Part{}}
		for p := range slices.Chunk(o.Parts, 4) {
			if len(p) == 4 {
				a.Parts[uint32(p[0])] = Part{Out: p[1], Floor: p[2], Used: p[3]}
			}
		}
		l.Accounts[o.Name] = a
	}
	return l
}
