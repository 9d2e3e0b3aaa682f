// Package lease decides who holds what only one dispatcher may hold at a time. The State is what the replicated log keeps:
// duties, holders, tokens and who else stands; it knows no clock. The Granter is the leader's part: it counts leases on its
// own clock, and proposes their end. The Holder is each dispatcher's part, with the guard that every act asks. All of them are
// pure: internal/cluster drives them, with the log of go.etcd.io/raft; tests play them on one clock.
//
// Invariants, held by tests: a token rises with each grant and never comes twice; a duty has one holder at most by the state;
// a holder counts its lease from before it asked, and the granter from after that, so that by the holder's own clock it
// is over before another's begins, as long as clocks drift by no more than Drift; whatever takes acts and refuses tokens lower
// than it has seen never sees two holders' acts out of order, whatever clocks do.
package lease

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math"
	"slices"
)

// Bounds and figures.
const (
	MostDuties     = 2000
	MostCandidates = 400    // of one duty
	MostStanding   = 100000 // of all duties together: what a snapshot takes is bounded by it
	LongestName    = 100    // bytes of a duty's, a dispatcher's or a zone's

	Drift     = 0.01 // share by which a clock may run fast or slow: a hundred times what a quartz does
	LeastTime = 0.2  // s; a lease under it is eaten up by what a message and a sync may take
	MostTime  = 600.0

	loadBound  = 1.25    // of the even share, beyond which a dispatcher gets no more duties as long as others stand
	levelBound = 1.5     // of the even share, beyond which duties are handed over: well above the other, so that one that comes back moves little
	levelPart  = 20      // of all duties that are handed over at a time, to level them
	setBack    = 3       // failures that count
	Jump       = 1 << 32 // tokens that a recovery leaves out: more than any lost log could have given
	forgives   = 10.0    // leases, held in a row, that a holder's failures are forgiven after
	absent     = 10.0    // leases without a word, after which one stands no more
)

// Candidate is a dispatcher that stands for a duty. Its boot tells it from an earlier process of its name.
type Candidate struct {
	Name     string `json:"Name"`
	Boot     uint64 `json:"Boot"`
	Zone     string `json:"Zone"`
	Priority int    `json:"Priority"`
	Failures int    `json:"Failures"` // leases that it let run out, lately
}

// Duty is one that just one dispatcher holds.
type Duty struct {
	Name    string      `json:"Name"`
	Length  float64     `json:"Length"` // s; of a lease
	Zone    string      `json:"Zone"`   // wished for its holder
	Holder  Candidate   `json:"Holder"`
	Token   uint64      `json:"Token"` // of its holder; 0 while nobody holds it
	Last    uint64      `json:"Last"`  // the last token that was given
	To      string      `json:"To"`    // who is to hold it next, once the holder has given it back
	Mark    uint64      `json:"Mark"`  // the last number that a holder marked
	Told    uint64      `json:"Told"`  // the last one that is known to be done
	Waiting []Candidate `json:"Waiting"`
}

// Held tells whether somebody holds it.
func (d *Duty) Held() bool { return d.Token != 0 }

// Act is what a command does.
type Act uint8

// The acts.
const (
	Declare  Act = 1 + iota // a duty with its length and the zone wished for
	Drop                    // a duty that nobody holds
	Stand                   // a dispatcher for duties
	Withdraw                // a dispatcher from a duty
	GiveBack                // a duty by its holder
	HandOver                // a duty to another, once its holder has given it back
	Expire                  // a lease that has run out by the granter's clock
	Prove                   // a holder's failures are forgiven
	Gone                    // a process stands for nothing any more
	Skip                    // tokens are left out: after a recovery
	Sit                     // a voter's disk, by its id (Token), with its name and era
	Mark                    // a holder's count of what it is about to do under a duty: each number once
	Told                    // and that it was done
)

// Command is one entry of the log. All may come twice: the second does nothing.
type Command struct {
	Act      Act      `cbor:"Act"`
	Duty     string   `cbor:"Duty"`
	Duties   []string `cbor:"Duties"` // of Stand
	Length   float64  `cbor:"Length"`
	Zone     string   `cbor:"Zone"` // of Declare: the wish; of Stand: where the dispatcher is
	Name     string   `cbor:"Name"`
	Boot     uint64   `cbor:"Boot"`
	Priority int      `cbor:"Priority"`
	Token    uint64   `cbor:"Token"`
	Era      uint32   `cbor:"Era"`
	Number   uint64   `cbor:"Number"`
}

// Check tells what is wrong with a command from outside.
func (c *Command) Check() error {
	for _, n := range append([]string{c.Duty, c.Zone, c.Name}, c.Duties...) {
		if len(n) > LongestName {
			return fmt.Errorf("%.20q...: %d bytes, at most %d", n, len(n), LongestName)
		}
	}
	if c.Act == Declare && (c.Duty == "" || !(c.Length >= LeastTime && c.Length <= MostTime)) {
		return fmt.Errorf("duty %q: a lease of %g s is not from %g to %g", c.Duty, c.Length, LeastTime, MostTime)
	}
	if len(c.Duties) > MostDuties {
		return fmt.Errorf("%d duties, at most %d", len(c.Duties), MostDuties)
	}
	return nil
}

// State is what the log comes to.
type State struct {
	Next   uint64 // token
	duties map[string]*Duty
	loads  map[string]int // duties held by each dispatcher
	seats  map[uint64]Seat
}

// NewState is empty.
func NewState() *State {
	return &State{Next: 1, duties: map[string]*Duty{}, loads: map[string]int{}, seats: map[uint64]Seat{}}
}

// Saved is a state as a snapshot keeps it.
type Saved struct {
	Next   uint64 `cbor:"Next"`
	Duties []Duty `cbor:"Duties"`
	Seats  []Seat `cbor:"Seats"`
}

// Save gives the whole state; nothing of it is shared with it.
func (s *State) Save() Saved {
	all := Saved{Next: s.Next, Seats: s.Seats()}
	for _, name := range slices.Sorted(maps.Keys(s.duties)) {
		d := *s.duties[name]
		d.Waiting = append([]Candidate(nil), d.Waiting...)
		all.Duties = append(all.Duties, d)
	}
	return all
}

// Restore makes a state of what was saved.
func Restore(from Saved) *State {
	s := NewState()
	s.Next = max(1, from.Next)
	for _, d := range from.Duties {
		d.Waiting = slices.Clone(d.Waiting)
		s.duties[d.Name] = &d
		if d.Held() {
			s.loads[d.Holder.Name]++
		}
		s.Next = max(s.Next, d.Last+1)
	}
	for _, seat := range from.Seats {
		s.seats[seat.ID] = seat
	}
	return s
}

// Packed is what was saved with each candidate's name once: a thousand duties for which sixty dispatchers stand take 0.3 MB and not four.
type Packed struct {
	Saved
	Who     []Candidate `cbor:"Who"`     // without failures
	Waiting [][]uint32  `cbor:"Waiting"` // by duty: the index into Who, and failures in the two lowest bits
}

// Pack packs what was saved; it takes it over.
func Pack(s Saved) Packed {
	p := Packed{Saved: s, Waiting: make([][]uint32, len(s.Duties))}
	index := map[Candidate]int{}
	for i := range s.Duties {
		for _, c := range s.Duties[i].Waiting {
			failures := c.Failures
			c.Failures = 0
			at, ok := index[c]
			if !ok {
				at = len(p.Who)
				index[c], p.Who = at, append(p.Who, c)
			}
			p.Waiting[i] = append(p.Waiting[i], uint32(at<<2|min(failures, setBack)))
		}
		p.Duties[i].Waiting = nil
	}
	return p
}

// Unpack is the other way.
func Unpack(p Packed) (Saved, error) {
	s := p.Saved
	if len(p.Waiting) != len(s.Duties) {
		return s, fmt.Errorf("%d duties, and who waits for %d", len(s.Duties), len(p.Waiting))
	}
	for i := range s.Duties {
		for _, w := range p.Waiting[i] {
			if int(w>>2) >= len(p.Who) {
				return s, fmt.Errorf("candidate %d of %d", w>>2, len(p.Who))
			}
			c := p.Who[w>>2]
			c.Failures = int(w & 3)
			s.Duties[i].Waiting = append(s.Duties[i].Waiting, c)
		}
	}
	return s, nil
}

// Get gives a duty; nil where there is none.
func (s *State) Get(name string) *Duty { return s.duties[name] }

// Names lists the duties.
func (s *State) Names() []string { return slices.Sorted(maps.Keys(s.duties)) }

// Apply does a command, and names the duties that it changed. It is the same at every voter.
func (s *State) Apply(c Command) (changed []string) {
	if c.Check() != nil {
		return nil
	}
	switch c.Act {
	case Stand:
		return s.stand(c)
	case Gone:
		return s.gone(c)
	case Skip:
		s.Next += Jump
		return nil
	case Sit:
		s.sit(c)
		return nil
	}
	d := s.duties[c.Duty]
	if d == nil && c.Act == Declare && len(s.duties) < MostDuties {
		d = &Duty{Name: c.Duty}
		s.duties[c.Duty] = d
	}
	if d == nil || !s.change(d, c) {
		return nil
	}
	return []string{d.Name}
}

// stand has a dispatcher wait for several duties, and names those that this changed.
func (s *State) stand(c Command) (changed []string) {
	room := MostStanding
	for _, d := range s.duties {
		room -= len(d.Waiting)
	}
	for _, name := range c.Duties {
		if d := s.duties[name]; d != nil && room > 0 && d.stand(c) {
			s.grant(d)
			changed = append(changed, name)
			room--
		}
	}
	return changed
}

// gone takes a dispatcher that left out of all duties' lines, and names those that this changed.
func (s *State) gone(c Command) (changed []string) {
	for _, name := range s.Names() {
		d := s.duties[name]
		n := len(d.Waiting)
		d.Waiting = slices.DeleteFunc(d.Waiting, func(o Candidate) bool { return o.Name == c.Name && (c.Boot == 0 || o.Boot == c.Boot) })
		if len(d.Waiting) != n {
			changed = append(changed, name)
		}
	}
	return changed
}

// change does a command on one duty; false where it does not fit the duty's state.
func (s *State) change(d *Duty, c Command) bool {
	running := d.Held() && d.Token == c.Token
	switch c.Act {
	case Drop:
		if d.Held() {
			return false
		}
		delete(s.duties, c.Duty)
		return true
	case Mark: // guards against a number that two holders tell, or one tells twice: whose command is later finds it marked
		if !running || c.Number != d.Mark+1 {
			return false
		}
		d.Mark = c.Number
		return true
	case Told:
		if c.Number > d.Mark || c.Number <= d.Told {
			return false
		}
		d.Told = c.Number
		return true
	case Declare:
		d.Length, d.Zone = c.Length, c.Zone // of the next lease: a running one keeps the longer at the granter
	case Withdraw:
		d.Waiting = slices.DeleteFunc(d.Waiting, func(o Candidate) bool { return o.Name == c.Name })
	case GiveBack, Expire:
		if !running {
			return false
		}
		s.end(d, c.Act == Expire)
	case HandOver:
		if d.Token != c.Token || c.Name == d.Holder.Name && d.Held() {
			return false
		}
		d.To = c.Name
	case Prove:
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

// stand has a dispatcher wait for a duty; true where that changed something.
func (d *Duty) stand(c Command) bool {
	is := Candidate{Name: c.Name, Boot: c.Boot, Zone: c.Zone, Priority: c.Priority}
	if c.Name == "" || d.Held() && d.Holder.Name == c.Name && d.Holder.Boot == c.Boot {
		return false
	}
	for i, o := range d.Waiting {
		if o.Name == c.Name {
			is.Failures = o.Failures
			d.Waiting[i] = is
			return o != is
		}
	}
	if len(d.Waiting) >= MostCandidates {
		return false
	}
	if d.Held() && d.Holder.Name == c.Name { // an earlier process of the name holds it still
		is.Failures = d.Holder.Failures
	}
	d.Waiting = append(d.Waiting, is)
	return true
}

// end takes a duty from its holder. One that let it run out stands behind those that did not, and has to stand anew.
func (s *State) end(d *Duty, failed bool) {
	was := d.Holder
	if s.loads[was.Name]--; s.loads[was.Name] <= 0 {
		delete(s.loads, was.Name)
	}
	d.Token, d.Holder = 0, Candidate{}
	if failed {
		for i := range d.Waiting {
			if d.Waiting[i].Name == was.Name { // a later process of its name
				d.Waiting[i].Failures = min(setBack, was.Failures+1)
				return
			}
		}
		was.Failures = min(setBack, was.Failures+1)
		if len(d.Waiting) < MostCandidates {
			d.Waiting = append(d.Waiting, was)
		}
	}
}

// grant gives a duty that nobody holds to the best of those that wait for it, with a token that is higher than any before.
func (s *State) grant(d *Duty) {
	if d.Held() || len(d.Waiting) == 0 {
		return
	}
	best := s.best(d)
	d.Holder, d.Token, d.Last, d.To = d.Waiting[best], s.Next, s.Next, ""
	d.Waiting = slices.Delete(d.Waiting, best, best+1)
	s.Next++
	s.loads[d.Holder.Name]++
}

// best is whom a duty goes to: who was named; else by failures, priority and zone; of equals who is not laden beyond his share;
// of these by highest random weight, so that few duties move when dispatchers come and go.
func (s *State) best(d *Duty) int {
	if i := slices.IndexFunc(d.Waiting, func(c Candidate) bool { return c.Name == d.To }); i >= 0 {
		return i
	}
	held, names := 1, map[string]bool{}
	for _, n := range s.loads {
		held += n
	}
	for name := range s.loads {
		names[name] = true
	}
	for _, c := range d.Waiting {
		names[c.Name] = true
	}
	bound := int(math.Ceil(loadBound * float64(held) / float64(len(names))))
	best := 0
	for i := 1; i < len(d.Waiting); i++ {
		if s.before(d, d.Waiting[i], d.Waiting[best], bound) {
			best = i
		}
	}
	return best
}

func (s *State) before(d *Duty, a, b Candidate, bound int) bool {
	wished := func(c Candidate) int {
		if d.Zone == "" || c.Zone == d.Zone {
			return 0
		}
		return 1
	}
	laden := func(c Candidate) int {
		if s.loads[c.Name] < bound {
			return 0
		}
		return 1
	}
	order := cmp.Or(cmp.Compare(a.Failures, b.Failures), cmp.Compare(b.Priority, a.Priority), cmp.Compare(wished(a), wished(b)),
		cmp.Compare(laden(a), laden(b)), cmp.Compare(weight(b.Name, d.Name), weight(a.Name, d.Name)), cmp.Compare(a.Name, b.Name))
	return order < 0
}

// Level hands some duties over, from who has far more than the even share to who has less than the even share: a few at a time, so that one who
// came late gets its part and nothing swings. A fleet that starts gives all to whoever asked first.
func (s *State) Level() (all []Command) {
	held, names := 0, map[string]bool{}
	for name, n := range s.loads {
		held, names[name] = held+n, true
	}
	loads := maps.Clone(s.loads)
	for _, d := range s.duties {
		for _, c := range d.Waiting {
			names[c.Name] = true
		}
		if d.Held() && d.To != "" { // on its way already
			loads[d.Holder.Name]--
			loads[d.To]++
		}
	}
	if len(names) < 2 {
		return nil
	}
	even := float64(held) / float64(len(names))
	most := 1 + held/levelPart
	for _, name := range s.Names() {
		d := s.duties[name]
		if len(all) >= most {
			return all
		}
		if !d.Held() || d.To != "" || float64(loads[d.Holder.Name]) <= math.Ceil(levelBound*even) {
			continue
		}
		if to := d.lighter(loads, even); to >= 0 {
			loads[d.Holder.Name]--
			loads[d.Waiting[to].Name]++
			all = append(all, Command{Act: HandOver, Duty: name, Token: d.Token, Name: d.Waiting[to].Name})
		}
	}
	return all
}

// lighter is the place of the candidate with the least load, under the even one, to whom a held duty may be handed over; -1 for none.
func (d *Duty) lighter(loads map[string]int, even float64) int {
	to := -1
	for i, c := range d.Waiting {
		if c.Failures != 0 || c.Priority < d.Holder.Priority {
			continue
		}
		if d.Zone != "" && c.Zone != d.Zone && d.Holder.Zone == d.Zone {
			continue
		}
		if float64(loads[c.Name]) < even && (to < 0 || loads[c.Name] < loads[d.Waiting[to].Name]) {
			to = i
		}
	}
	return to
}

// weight is a dispatcher's random weight for a duty: the same at every voter.
func weight(name, duty string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(duty))
	x := h.Sum64() // FNV mixes its last bytes little
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
