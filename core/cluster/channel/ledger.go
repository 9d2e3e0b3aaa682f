package channel

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Bounds and figures.
const (
	MostChannels = 64
	MostNames    = 2 * MostChannels // with those that ended: so nothing of them comes back
	LongestName  = 100              // bytes of a channel's or a writer's
	LongestKey   = 256              // bytes
	MostBody     = 16 << 10         // bytes of an entry
	MostAfter    = 14_000           // bytes of what an entry comes after, 10 more for each writer: with the body under what replica carries
	MostEntries  = 100_000          // kept of a channel
	MostBytes    = 64 << 20         // kept of a channel
	MostSeconds  = 7 * 86400        // s kept
	MostWait     = 60.0             // s that order may hold a reader back
	MostWriters  = 256              // of a channel, but for Total: a position names each
	MostGone     = 512              // names of a channel that were let go and are remembered
	AllGone      = 2048             // of all channels together: 260 KiB with the longest names
	MostForget   = 64               // names of a command
	MostSilence  = 30 * 86400.0
	MostTakers   = 4096      // writers of a channel of Total that the ledger remembers
	MostPending  = 256       // entries of a channel put in order and not yet spread: what the voters' log bears
	PendingBytes = 256 << 10 // of those
	AllTakers    = 4096      // writers of all channels of Total together: 470 KiB with the longest names
	AllPending   = 384 << 10 // bytes of all channels' together: the voters' log sends all of its state at once, in 2 MiB with all that is in it
	MostReaders  = 2000      // of a dispatcher
	MostFlight   = 4096      // entries of a dispatcher on their way to be kept
	MostToken    = 48 << 10  // bytes of a position's token
	MostTake     = 1024      // notes at once
	takeBytes    = 64 << 10  // bytes of those and their positions, but for one that is longer: a reader that takes none keeps a frame of them

	Duty        = "channel:" // and the channel's name: who holds it puts Total in order, its token is the epoch
	Copies      = 2          // that have an entry before it is acknowledged
	Within      = 2.0        // s by which a writer hears how sure its entry is
	opensEach   = 100.0      // readers a second that are let in, so that those of a killed dispatcher don't come as a herd
	opensBurst  = 50.0
	batch       = 64       // entries of a command
	batchBytes  = 64 << 10 // bytes of a command's bodies, but for one entry that is longer
	againAfter  = 1.0      // s after which a command that nothing came of is proposed again
	mostTrims   = 256      // tombstones handed out at once
	mostWaiting = 10_000   // readers that the spread of waits reckons with
	attempts    = 1 << 20  // to spread an entry under one epoch
	leastKept   = 64       // entries that stay for readers in step, where less is declared
	leastTime   = 1.0      // s, the same
	forgetEach  = 1.0      // s between looks at whose name may go
	endKept     = 10.0     // s for which what a withdrawn channel kept stays, so that readers are given it
	endMost     = 60.0     // s after which a withdrawn channel of Total has ended, whether or not its last place came
)

// Check tells all that is wrong with a declaration: what contradicts itself and what nobody could keep.
func (d *Declaration) Check() error {
	var all []error
	bad := func(is bool, f string, a ...any) {
		if is {
			all = append(all, fmt.Errorf("channel %.20q: "+f, append([]any{d.Name}, a...)...))
		}
	}
	none := d.Entries == 0 || d.Bytes == 0 || d.Seconds == 0
	bad(d.Name == "" || len(d.Name) > LongestName, "a name has 1 to %d bytes", LongestName)
	bad(d.Order < Latest || d.Order > Total, "no such order")
	bad(d.Entries < 0 || d.Entries > MostEntries, "from 0 to %d entries are kept", MostEntries)
	bad(d.Bytes < 0 || d.Bytes > MostBytes, "from 0 to %d bytes are kept", MostBytes)
	bad(!(d.Seconds >= 0 && d.Seconds <= MostSeconds), "from 0 to %d s are kept", MostSeconds)
	bad(!(d.Wait >= 0 && d.Wait <= MostWait), "the wait is from 0 to %g s", MostWait)
	bad(!d.Told && none, "no gaps, but nothing is kept: what one missed could not be given")
	bad(!d.Told && d.Order == Latest, "no gaps, but the order latest passes entries over")
	bad(!d.Told && !d.Slow, "no gaps, but a slow reader is told one: it has to be cut off")
	bad(!d.Repeats && none, "no repeats, but nothing is kept: there is no window to know them by")
	bad(d.Order == Latest && none, "the newest of each key, but nothing is kept")
	bad(d.Order == Causal && none, "causal order, but nothing is kept: what came before an entry could not be given")
	bad(d.Order > Latest && d.Wait == 0, "order %s, but no wait: each entry that comes out of turn would break off", d.Order)
	bad(d.Seconds > 0 && d.Wait > d.Seconds, "entries are held back for longer than they are kept")
	bad(!(d.Forget >= 0 && d.Forget <= MostSilence), "a writer's name goes after up to %g s", MostSilence)
	bad(d.Forget > 0 && d.Order >= Causal, "order %s, but names of writers go: in causal order an entry may come after any, total order forgets by itself", min(d.Order, Total))
	bad(d.Bytes > 0 && d.Bytes < MostBody, "less is kept than one entry may have (%d bytes)", MostBody)
	return errors.Join(all...)
}

// Command is one entry of the ledger: a declaration, or what the holder of a channel's duty puts in order. It may come twice.
type Command struct {
	Declare *Declaration `cbor:"1,keyasint,omitempty"` // its Generation is one above the one that it was written against
	Channel string       `cbor:"2,keyasint,omitempty"`
	Epoch   uint64       `cbor:"3,keyasint,omitempty"` // token of the duty
	Entries []Entry      `cbor:"4,keyasint,omitempty"` // put in order as they stand; those known by writer and number are passed over
	Spread  uint64       `cbor:"5,keyasint,omitempty"` // a majority has the records up to this place
	Forget  []Gone       `cbor:"6,keyasint,omitempty"` // writers whose names go; of no channel of Total
	Life    uint64       `cbor:"7,keyasint,omitempty"` // the declaration's Since as it was then
	// NoReuse refuses a declaration under the name of a withdrawn channel of total order. All ways in set it; without it stand the commands of logs
	// that were written before, which must give the same state when they are read again.
	NoReuse bool `cbor:"8,keyasint,omitempty"`
}

// Taken is how far a writer's numbers were taken, and the place of the last.
type Taken struct {
	Number uint64 `cbor:"1,keyasint" json:"Number"`
	Place  uint64 `cbor:"2,keyasint" json:"Place"`
}

// Line is what the ledger has of a channel of total order. Who gets one does not change it.
type Line struct {
	Channel string           `cbor:"1,keyasint" json:"Channel"`
	Epoch   uint64           `cbor:"2,keyasint" json:"Epoch"`   // highest seen
	Since   uint64           `cbor:"3,keyasint" json:"Since"`   // its first place
	Next    uint64           `cbor:"4,keyasint" json:"Next"`    // place
	Spread  uint64           `cbor:"5,keyasint" json:"Spread"`  // up to here the bodies were let go
	Pending []Entry          `cbor:"6,keyasint" json:"Pending"` // in order, not yet known to be spread
	Writers map[string]Taken `cbor:"7,keyasint" json:"Writers"`
}

// Ledger is the agreed part of channels: kept by the voters' log. What is in it a majority has.
type Ledger struct {
	declared map[string]Declaration
	lines    map[string]*Line
	silent   map[string]*Silent
	gone     uint64 // names that were ever let go
}

// NewLedger is empty.
func NewLedger() *Ledger {
	return &Ledger{declared: map[string]Declaration{}, lines: map[string]*Line{}, silent: map[string]*Silent{}}
}

// Silent is who was let go after one of them, by channel, and how many that are in all.
func (l *Ledger) Silent(after uint64) (all []Silent, gone uint64) {
	for _, name := range slices.Sorted(maps.Keys(l.silent)) {
		s := *l.silent[name]
		k, _ := slices.BinarySearchFunc(s.Gone, after+1, func(g Gone, at uint64) int { return cmp.Compare(g.At, at) })
		if s.Gone = slices.Clone(s.Gone[k:]); len(s.Gone) > 0 || s.Rolled > after {
			all = append(all, s)
		}
	}
	return all, l.gone
}

// letGo books names that go. The oldest are remembered no more, those of the channel with most of them first.
func (l *Ledger) letGo(name string, all []Gone) {
	s := l.silent[name]
	if s == nil {
		s = &Silent{Channel: name}
		l.silent[name] = s
	}
	for _, g := range all {
		if k := slices.IndexFunc(s.Gone, func(o Gone) bool { return o.Writer == g.Writer }); k >= 0 {
			if s.Gone[k].Number >= g.Number { // it came twice
				continue
			}
			s.Gone = slices.Delete(s.Gone, k, k+1)
		}
		l.gone++
		g.At = l.gone
		s.Gone = append(s.Gone, g)
	}
	sum := 0
	for _, o := range l.silent {
		o.roll(len(o.Gone) - MostGone)
		sum += len(o.Gone)
	}
	for ; sum > AllGone; sum-- {
		most := s
		for _, n := range slices.Sorted(maps.Keys(l.silent)) {
			if o := l.silent[n]; len(o.Gone) > len(most.Gone) {
				most = o
			}
		}
		most.roll(1)
	}
}

func (s *Silent) roll(n int) {
	for ; n > 0; n-- {
		s.Rolled, s.Clock = s.Gone[0].At, max(s.Clock, s.Gone[0].Clock)
		s.Gone = slices.Delete(s.Gone, 0, 1)
	}
}

// Declarations are those that stand, by name.
func (l *Ledger) Declarations() []Declaration {
	var all []Declaration
	for _, n := range slices.Sorted(maps.Keys(l.declared)) {
		all = append(all, l.declared[n])
	}
	return all
}

// Line is a copy of what stands for a channel of total order, nil if it is none.
func (l *Ledger) Line(name string) *Line {
	n := l.lines[name]
	if n == nil {
		return nil
	}
	return n.clone()
}

func (n *Line) clone() *Line {
	c := *n
	c.Pending, c.Writers = slices.Clone(n.Pending), maps.Clone(n.Writers)
	return &c
}

// Check tells all that is wrong with a command from outside, as the ledger stands.
func (l *Ledger) Check(c *Command) error {
	var all []error
	if c.Declare != nil {
		all = append(all, c.Declare.Check())
		was, ok := l.declared[c.Declare.Name]
		if c.Declare.End && (!ok || was.End) {
			all = append(all, fmt.Errorf("channel %.20q: there is none to be ended", c.Declare.Name))
		}
		if c.NoReuse && ok && was.End && was.Order == Total && !c.Declare.End {
			all = append(all, fmt.Errorf("channel %.20q: %w", c.Declare.Name, ErrReuse))
		}
		if c.Declare.Generation != was.Generation+1 {
			all = append(all, fmt.Errorf("channel %.20q: written against generation %d, it has %d", c.Declare.Name, int64(c.Declare.Generation)-1, was.Generation))
		}
		if ok && (was.Order == Total) != (c.Declare.Order == Total) {
			all = append(all, fmt.Errorf("channel %.20q: places and vectors can't be compared: a change to or from total order needs a new name", was.Name))
		}
		stand := 0
		for _, d := range l.declared {
			stand += map[bool]int{false: 1}[d.End]
		}
		if !c.Declare.End && (!ok || was.End) && stand >= MostChannels {
			all = append(all, fmt.Errorf("there are %d channels already", MostChannels))
		}
		if !ok && len(l.declared) >= MostNames {
			all = append(all, fmt.Errorf("there were %d channels: the name of one that ended may be taken, in its next generation", MostNames))
		}
		if n := l.lines[c.Declare.Name]; n != nil && len(n.Pending) >= MostPending {
			all = append(all, fmt.Errorf("channel %.20q: too much waits to be spread", c.Declare.Name))
		}
		if c.Channel != "" {
			all = append(all, errors.New("one command declares and puts in order"))
		}
		return errors.Join(all...)
	}
	if len(c.Forget) > 0 {
		d, ok := l.declared[c.Channel]
		if !ok || d.End || d.Forget == 0 || d.Since != c.Life || len(c.Entries) > 0 || c.Spread > 0 {
			all = append(all, fmt.Errorf("channel %.20q: no names go in it", c.Channel))
		}
		if len(c.Forget) > MostForget {
			all = append(all, fmt.Errorf("%d names at once", len(c.Forget)))
		}
		for _, g := range c.Forget {
			if g.Writer == "" || len(g.Writer) > LongestName || g.Number == 0 {
				all = append(all, fmt.Errorf("channel %.20q: no name of a writer: %.20q", c.Channel, g.Writer))
			}
		}
		return errors.Join(all...)
	}
	n := l.lines[c.Channel]
	if n == nil {
		return fmt.Errorf("channel %.20q: no channel of total order", c.Channel)
	}
	if c.Epoch == 0 || c.Epoch < n.Epoch {
		all = append(all, fmt.Errorf("channel %q: epoch %d, %d was seen", c.Channel, c.Epoch, n.Epoch))
	}
	if d := l.declared[c.Channel]; len(c.Entries) > 0 && (d.End || d.Since != c.Life) {
		all = append(all, fmt.Errorf("channel %q: %w", c.Channel, ErrEnded))
	}
	if c.Spread >= n.Next {
		all = append(all, fmt.Errorf("channel %q: spread up to %d, the next place is %d", c.Channel, c.Spread, n.Next))
	}
	if len(c.Entries) > MostPending {
		all = append(all, fmt.Errorf("channel %q: %d entries at once", c.Channel, len(c.Entries)))
	}
	for i := range c.Entries {
		if err := c.Entries[i].check(); err != nil || c.Entries[i].Channel != c.Channel {
			all = append(all, errors.Join(err, fmt.Errorf("entry %d is not taken", i)))
		}
	}
	return errors.Join(all...)
}

// Apply does a command, or refuses it whole with all its faults. Of entries it takes what it can: Line tells which.
func (l *Ledger) Apply(c *Command) error {
	if err := l.Check(c); err != nil {
		return err
	}
	if len(c.Forget) > 0 {
		l.letGo(c.Channel, c.Forget)
		return nil
	}
	if c.Declare != nil {
		d, was := *c.Declare, l.declared[c.Declare.Name]
		if d.Since, d.Place = was.Since, was.Place; was.End {
			if d.Since = was.Generation; d.Order == Total {
				d.Place = l.lines[d.Name].Next
			}
		}
		if d.End {
			delete(l.silent, d.Name)
		}
		l.declared[d.Name] = d
		if d.Order != Total {
			return nil
		}
		n := l.lines[d.Name]
		if n == nil {
			n = &Line{Channel: d.Name, Since: 1, Next: 1, Writers: map[string]Taken{}}
			l.lines[d.Name] = n
		}
		if d.End || was.End { // who writes again begins anew
			clear(n.Writers)
		}
		if d.Generation > 1 { // all readers see the change at this place
			n.put(Entry{Channel: d.Name, Number: d.Generation}, d.Generation)
		}
		return nil
	}
	n, d := l.lines[c.Channel], l.declared[c.Channel]
	if c.Epoch > n.Epoch {
		n.Epoch, n.Since = c.Epoch, n.Next
	}
	n.Spread = max(n.Spread, c.Spread)
	n.Pending = slices.DeleteFunc(n.Pending, func(e Entry) bool { return e.Place <= n.Spread })
	size, all, takers := n.pending(), 0, 0
	for _, o := range l.lines {
		all, takers = all+o.pending(), takers+len(o.Writers)
	}
	for _, e := range c.Entries {
		was, ok := n.Writers[e.Writer]
		held := len(n.Writers)
		if e.Number != was.Number+1 {
			continue // known, or one before it is missing: its writer sends it again
		}
		if size, all = size+e.size(), all+e.size(); len(n.Pending) >= MostPending || size > PendingBytes || all > AllPending {
			break // its writer hears nothing of it, and sends it again
		}
		if !ok && (len(n.Writers) >= MostTakers || takers >= AllTakers) && !n.forget(uint64(d.Entries)) {
			continue
		}
		takers -= held
		n.Writers[e.Writer] = Taken{e.Number, n.Next}
		takers += len(n.Writers)
		n.put(e, d.Generation)
	}
	return nil
}

// pending is how many bytes wait to be spread.
func (n *Line) pending() (size int) {
	for i := range n.Pending {
		size += n.Pending[i].size()
	}
	return size
}

func (n *Line) put(e Entry, generation uint64) {
	e.Epoch, e.Since, e.Place, e.Generation, e.Stamp, e.After = n.Epoch, n.Since, n.Next, generation, 0, nil
	n.Next++
	n.Pending = append(n.Pending, e)
}

// forget lets go of the writer that was silent for longest, if none of its entries is within what is kept: so no repeat comes into the window.
func (n *Line) forget(kept uint64) bool {
	if len(n.Writers) == 0 {
		return false
	}
	name := ""
	for w, t := range n.Writers {
		if o := n.Writers[name]; name == "" || t.Place < o.Place {
			name = w
		}
	}
	if n.Writers[name].Place+kept >= n.Next {
		return false
	}
	delete(n.Writers, name)
	return true
}

// Saved is a ledger as a snapshot keeps it.
type Saved struct {
	Declared []Declaration `cbor:"1,keyasint" json:"Declared"`
	Lines    []Line        `cbor:"2,keyasint" json:"Lines"`
	Silent   []Silent      `cbor:"3,keyasint,omitempty" json:"Silent"`
	Gone     uint64        `cbor:"4,keyasint,omitempty" json:"Gone"` // names that were ever let go
}

// Save gives all of it; nothing that changes is shared with it.
func (l *Ledger) Save() Saved {
	s := Saved{Declared: l.Declarations()}
	s.Silent, s.Gone = l.Silent(0)
	for _, n := range slices.Sorted(maps.Keys(l.lines)) {
		s.Lines = append(s.Lines, *l.lines[n].clone())
	}
	return s
}

// Restore makes a ledger of what was saved.
func Restore(s Saved) *Ledger {
	l := NewLedger()
	for _, d := range s.Declared {
		l.declared[d.Name] = d
	}
	l.gone = s.Gone
	for _, o := range s.Silent {
		o.Gone = slices.Clone(o.Gone)
		l.silent[o.Channel] = &o
	}
	for i := range s.Lines {
		n := s.Lines[i].clone()
		if n.Writers == nil {
			n.Writers = map[string]Taken{}
		}
		l.lines[n.Channel] = n
	}
	return l
}
