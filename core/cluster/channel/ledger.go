package channel

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Limits and settings of channels.
const (
	MaxChannels             = 64
	MaxChannelNames         = 2 * MaxChannels // includes the names of withdrawn channels, which are remembered so that none of their entries comes back
	MaxNameBytes            = 100             // bytes of a channel's or a writer's name
	MaxKeyBytes             = 256             // bytes of an entry's key
	MaxBodyBytes            = 16 << 10        // bytes of an entry's body
	MaxAfterBytes           = 14_000          // bytes of an entry's After, counting 10 more for each writer: with the body this stays below what replication carries
	MaxRetainedEntries      = 100_000         // entries of a channel
	MaxRetainedBytes        = 64 << 20        // bytes of a channel
	MaxRetainedSeconds      = 7 * 86400       // seconds
	MaxOrderWait            = 60.0            // seconds
	MaxWriters              = 256             // writers of a channel, except in total order: a position names each of them
	MaxForgotten            = 512             // forgotten writers that the ledger keeps for one channel; beyond it, the ones forgotten first are dropped (see ForgottenWriters)
	MaxForgottenTotal       = 2048            // forgotten writers that the ledger keeps for all channels together: 260 KiB with the longest names
	MaxForgetBatch          = 64              // names in one command
	MaxWriterExpiry         = 30 * 86400.0    // seconds
	MaxSequenceWriters      = 4096            // writers of a channel in total order that the ledger remembers
	MaxPending              = 256             // entries of a channel that have an offset and are not yet replicated: the voters' log has to hold them
	MaxPendingBytes         = 256 << 10       // bytes of a channel's pending entries
	MaxSequenceWritersTotal = 4096            // writers of all channels in total order that the ledger remembers: 470 KiB with the longest names
	MaxPendingBytesTotal    = 384 << 10       // bytes of all channels' pending entries: the voters' log sends its whole state in one message of at most 2 MiB
	MaxReaders              = 2000            // readers at one dispatcher
	MaxInFlight             = 4096            // entries of one dispatcher that are being replicated
	MaxTokenBytes           = 48 << 10        // bytes of a position's token
	MaxTake                 = 1024            // notifications of one Take
	maxTakeBytes            = 64 << 10        // bytes of entries and positions of one Take, exceeded by at most one entry: this bounds the frame that is kept for a reader that takes nothing

	DutyPrefix           = "channel:" // followed by the channel's name: the duty whose holder sequences a channel in total order; its fencing token is the epoch
	AckCopies            = 2          // dispatchers that have an entry before it is acknowledged
	AckTimeout           = 2.0        // seconds within which a writer learns whether its entry is replicated
	openRate             = 100.0      // readers admitted per second, so that the readers of a killed dispatcher do not all reconnect at once
	openBurst            = 50.0       // readers admitted at once after a quiet time
	batchEntries         = 64         // entries in one command
	batchBytes           = 64 << 10   // bytes of entries in one command, exceeded only by a single larger entry
	reproposeAfter       = 1.0        // seconds after which a command without effect is proposed again
	maxTombstonesPerTick = 256        // tombstones written in one Tick
	maxRecentRefusals    = 10_000     // refused readers that the retry delay accounts for
	stampsPerEpoch       = 1 << 20    // stamps that each epoch of the sequencer has for writing its entries
	minRetainedEntries   = 64         // entries retained for readers that keep up, even where fewer are declared
	minRetainedSeconds   = 1.0        // seconds retained for readers that keep up, even where less is declared
	expiryCheckInterval  = 1.0        // seconds between checks for writers to forget
	withdrawnRetention   = 10.0       // seconds for which a withdrawn channel keeps its entries, so that readers still get them
	maxWithdrawalDelay   = 60.0       // seconds after which a withdrawn channel in total order ends even if its last offset has not arrived
)

// Check reports every fault of a declaration: promises that contradict each other and promises that cannot be kept.
func (d *Declaration) Check() error {
	var all []error
	faultIf := func(is bool, f string, a ...any) {
		if is {
			all = append(all, fmt.Errorf("channel %.20q: "+f, append([]any{d.Name}, a...)...))
		}
	}
	nothingRetained := d.RetainedEntries == 0 || d.RetainedBytes == 0 || d.RetainedSeconds == 0
	faultIf(d.Name == "" || len(d.Name) > MaxNameBytes, "the name has to have 1 to %d bytes", MaxNameBytes)
	faultIf(d.Order < Latest || d.Order > Total, "no such order")
	faultIf(d.RetainedEntries < 0 || d.RetainedEntries > MaxRetainedEntries, "the number of retained entries has to be from 0 to %d", MaxRetainedEntries)
	faultIf(d.RetainedBytes < 0 || d.RetainedBytes > MaxRetainedBytes, "the retained bytes have to be from 0 to %d", MaxRetainedBytes)
	faultIf(!(d.RetainedSeconds >= 0 && d.RetainedSeconds <= MaxRetainedSeconds), "the retention time has to be from 0 to %d s", MaxRetainedSeconds)
	faultIf(!(d.OrderWait >= 0 && d.OrderWait <= MaxOrderWait), "the wait for order has to be from 0 to %g s", MaxOrderWait)
	faultIf(!d.AllowGaps && nothingRetained, "gaps are not allowed, but nothing is retained: an entry that a reader missed could not be given to it")
	faultIf(!d.AllowGaps && d.Order == Latest, "gaps are not allowed, but the order latest skips entries")
	faultIf(!d.AllowGaps && !d.DisconnectSlow, "gaps are not allowed, but a slow reader would get one: it has to be cut off")
	faultIf(!d.AllowRepeats && nothingRetained, "repeats are not allowed, but nothing is retained: there is no window in which to detect them")
	faultIf(d.Order == Latest && nothingRetained, "the order is latest, but nothing is retained: the newest entry of a key could not be given")
	faultIf(d.Order == Causal && nothingRetained, "the order is causal, but nothing is retained: the entries before an entry could not be given")
	faultIf(d.Order > Latest && d.OrderWait == 0, "the order is %s, but the wait is 0: each entry that arrives out of order would end the stream", d.Order)
	faultIf(d.RetainedSeconds > 0 && d.OrderWait > d.RetainedSeconds, "the wait for order is longer than the retention time")
	faultIf(!(d.WriterExpiry >= 0 && d.WriterExpiry <= MaxWriterExpiry), "the time after which a writer is forgotten has to be from 0 to %g s", MaxWriterExpiry)
	faultIf(d.WriterExpiry > 0 && d.Order >= Causal, "the order is %s, but writers are to be forgotten: in causal order an entry may depend on any writer, and total order forgets writers by itself", min(d.Order, Total))
	faultIf(d.RetainedBytes > 0 && d.RetainedBytes < MaxBodyBytes, "the retained bytes are fewer than the body of one entry may have (%d bytes)", MaxBodyBytes)
	return errors.Join(all...)
}

// Command is one change of the ledger: a declaration, writers to forget, or entries and progress from a channel's sequencer. Applying a command
// twice has the same effect as applying it once.
type Command struct {
	Declare           *Declaration      `cbor:"1,keyasint,omitempty"` // its Generation is one above that of the declaration that it replaces
	Channel           string            `cbor:"2,keyasint,omitempty"`
	Epoch             uint64            `cbor:"3,keyasint,omitempty"` // fencing token of the sequencer's duty
	Entries           []Entry           `cbor:"4,keyasint,omitempty"` // entries to be given offsets in this order; those already known by writer and number are skipped
	ReplicatedThrough uint64            `cbor:"5,keyasint,omitempty"` // a majority has the records up to this offset
	Forget            []ForgottenWriter `cbor:"6,keyasint,omitempty"` // writers to forget; not for channels in total order
	Incarnation       uint64            `cbor:"7,keyasint,omitempty"` // the declaration's WithdrawnGeneration when the command was proposed
	// NoReuse refuses a declaration under the name of a withdrawn channel in total order. Every new command sets it. Commands in logs that were
	// written before the field existed lack it and must give the same state when they are replayed.
	NoReuse bool `cbor:"8,keyasint,omitempty"`
}

// WriterProgress is the number of a writer's last sequenced entry and its offset.
type WriterProgress struct {
	Number uint64 `cbor:"1,keyasint" json:"Number"`
	Offset uint64 `cbor:"2,keyasint" json:"Place"`
}

// Sequence is the ledger's state of a channel in total order. Receivers must not modify it.
type Sequence struct {
	Channel           string                    `cbor:"1,keyasint" json:"Channel"`
	Epoch             uint64                    `cbor:"2,keyasint" json:"Epoch"`   // highest epoch of a sequencer seen
	EpochStart        uint64                    `cbor:"3,keyasint" json:"Since"`   // first offset of that epoch
	NextOffset        uint64                    `cbor:"4,keyasint" json:"Next"`    // offset of the next entry
	ReplicatedThrough uint64                    `cbor:"5,keyasint" json:"Spread"`  // up to this offset the entries are replicated and no longer in Pending
	Pending           []Entry                   `cbor:"6,keyasint" json:"Pending"` // entries with offsets that are not yet known to be replicated
	Writers           map[string]WriterProgress `cbor:"7,keyasint" json:"Writers"`
}

// Ledger is the part of the channels' state that the voters agree on. It is the state machine of the voters' log, so a majority has whatever is in
// it. It is not safe for concurrent use.
type Ledger struct {
	declared       map[string]Declaration
	sequences      map[string]*Sequence
	forgotten      map[string]*ForgottenWriters
	forgottenCount uint64 // writers ever forgotten, in all channels
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{declared: map[string]Declaration{}, sequences: map[string]*Sequence{}, forgotten: map[string]*ForgottenWriters{}}
}

// ForgottenWriters returns, by channel, the forgotten writers with a Sequence above after, and the number of writers ever forgotten.
func (l *Ledger) ForgottenWriters(after uint64) (all []ForgottenWriters, count uint64) {
	for _, name := range slices.Sorted(maps.Keys(l.forgotten)) {
		s := *l.forgotten[name]
		k, _ := slices.BinarySearchFunc(s.Writers, after+1, func(g ForgottenWriter, at uint64) int { return cmp.Compare(g.Sequence, at) })
		if s.Writers = slices.Clone(s.Writers[k:]); len(s.Writers) > 0 || s.EvictedThrough > after {
			all = append(all, s)
		}
	}
	return all, l.forgottenCount
}

// forgetWriters records writers as forgotten. Above the limits it drops the oldest ones from the lists, first from the channel that lists most.
func (l *Ledger) forgetWriters(name string, all []ForgottenWriter) {
	s := l.forgotten[name]
	if s == nil {
		s = &ForgottenWriters{Channel: name}
		l.forgotten[name] = s
	}
	for _, g := range all {
		if k := slices.IndexFunc(s.Writers, func(o ForgottenWriter) bool { return o.Writer == g.Writer }); k >= 0 {
			if s.Writers[k].Number >= g.Number { // the command was applied before
				continue
			}
			s.Writers = slices.Delete(s.Writers, k, k+1)
		}
		l.forgottenCount++
		g.Sequence = l.forgottenCount
		s.Writers = append(s.Writers, g)
	}
	sum := 0
	for _, o := range l.forgotten {
		o.evictOldest(len(o.Writers) - MaxForgotten)
		sum += len(o.Writers)
	}
	for ; sum > MaxForgottenTotal; sum-- {
		largest := s
		for _, n := range slices.Sorted(maps.Keys(l.forgotten)) {
			if o := l.forgotten[n]; len(o.Writers) > len(largest.Writers) {
				largest = o
			}
		}
		largest.evictOldest(1)
	}
}

// evictOldest drops the n oldest writers from the list.
func (s *ForgottenWriters) evictOldest(n int) {
	for ; n > 0; n-- {
		s.EvictedThrough, s.EvictedClock = s.Writers[0].Sequence, max(s.EvictedClock, s.Writers[0].Clock)
		s.Writers = slices.Delete(s.Writers, 0, 1)
	}
}

// Declarations returns the current declarations sorted by name, withdrawn channels included.
func (l *Ledger) Declarations() []Declaration {
	var all []Declaration
	for _, n := range slices.Sorted(maps.Keys(l.declared)) {
		all = append(all, l.declared[n])
	}
	return all
}

// Sequence returns a copy of the state of a channel in total order, or nil if there is no such channel.
func (l *Ledger) Sequence(name string) *Sequence {
	n := l.sequences[name]
	if n == nil {
		return nil
	}
	return n.clone()
}

func (n *Sequence) clone() *Sequence {
	c := *n
	c.Pending, c.Writers = slices.Clone(n.Pending), maps.Clone(n.Writers)
	return &c
}

// Check reports every fault of a command from outside against the current state of the ledger.
func (l *Ledger) Check(c *Command) error {
	var all []error
	if c.Declare != nil {
		all = append(all, c.Declare.Check())
		was, ok := l.declared[c.Declare.Name]
		if c.Declare.Withdrawn && (!ok || was.Withdrawn) {
			all = append(all, fmt.Errorf("channel %.20q: there is no such channel to withdraw", c.Declare.Name))
		}
		if c.NoReuse && ok && was.Withdrawn && was.Order == Total && !c.Declare.Withdrawn {
			all = append(all, fmt.Errorf("channel %.20q: %w", c.Declare.Name, ErrNameReuse))
		}
		if c.Declare.Generation != was.Generation+1 {
			all = append(all, fmt.Errorf("channel %.20q: written against generation %d, the current one is %d", c.Declare.Name, int64(c.Declare.Generation)-1, was.Generation))
		}
		if ok && (was.Order == Total) != (c.Declare.Order == Total) {
			all = append(all, fmt.Errorf("channel %.20q: offsets and version vectors can't be compared: a change to or from total order needs a new name", was.Name))
		}
		active := 0
		for _, d := range l.declared {
			active += map[bool]int{false: 1}[d.Withdrawn]
		}
		if !c.Declare.Withdrawn && (!ok || was.Withdrawn) && active >= MaxChannels {
			all = append(all, fmt.Errorf("there are %d channels already", MaxChannels))
		}
		if !ok && len(l.declared) >= MaxChannelNames {
			all = append(all, fmt.Errorf("there are %d channel names already: declare the name of a withdrawn channel in its next generation", MaxChannelNames))
		}
		if n := l.sequences[c.Declare.Name]; n != nil && len(n.Pending) >= MaxPending {
			all = append(all, fmt.Errorf("channel %.20q: too many entries are not yet replicated", c.Declare.Name))
		}
		if c.Channel != "" {
			all = append(all, errors.New("one command has both a declaration and a channel's commands"))
		}
		return errors.Join(all...)
	}
	if len(c.Forget) > 0 {
		d, ok := l.declared[c.Channel]
		if !ok || d.Withdrawn || d.WriterExpiry == 0 || d.WithdrawnGeneration != c.Incarnation || len(c.Entries) > 0 || c.ReplicatedThrough > 0 {
			all = append(all, fmt.Errorf("channel %.20q: its writers can't be forgotten by this command", c.Channel))
		}
		if len(c.Forget) > MaxForgetBatch {
			all = append(all, fmt.Errorf("%d writers to forget in one command", len(c.Forget)))
		}
		for _, g := range c.Forget {
			if g.Writer == "" || len(g.Writer) > MaxNameBytes || g.Number == 0 {
				all = append(all, fmt.Errorf("channel %.20q: invalid writer name or number: %.20q", c.Channel, g.Writer))
			}
		}
		return errors.Join(all...)
	}
	n := l.sequences[c.Channel]
	if n == nil {
		return fmt.Errorf("channel %.20q: not a channel in total order", c.Channel)
	}
	if c.Epoch == 0 || c.Epoch < n.Epoch {
		all = append(all, fmt.Errorf("channel %q: epoch %d is older than %d, which was seen", c.Channel, c.Epoch, n.Epoch))
	}
	if d := l.declared[c.Channel]; len(c.Entries) > 0 && (d.Withdrawn || d.WithdrawnGeneration != c.Incarnation) {
		all = append(all, fmt.Errorf("channel %q: %w", c.Channel, ErrWithdrawn))
	}
	if c.ReplicatedThrough >= n.NextOffset {
		all = append(all, fmt.Errorf("channel %q: replicated up to offset %d, but the next offset is %d", c.Channel, c.ReplicatedThrough, n.NextOffset))
	}
	if len(c.Entries) > MaxPending {
		all = append(all, fmt.Errorf("channel %q: %d entries in one command", c.Channel, len(c.Entries)))
	}
	for i := range c.Entries {
		if err := c.Entries[i].check(); err != nil || c.Entries[i].Channel != c.Channel {
			all = append(all, errors.Join(err, fmt.Errorf("entry %d is not valid in this command", i)))
		}
	}
	return errors.Join(all...)
}

// Apply executes a command, or refuses all of it and returns every fault that Check finds. Of the command's entries it accepts those that it can;
// Sequence shows which.
func (l *Ledger) Apply(c *Command) error {
	if err := l.Check(c); err != nil {
		return err
	}
	if len(c.Forget) > 0 {
		l.forgetWriters(c.Channel, c.Forget)
		return nil
	}
	if c.Declare != nil {
		d, was := *c.Declare, l.declared[c.Declare.Name]
		if d.WithdrawnGeneration, d.FirstOffset = was.WithdrawnGeneration, was.FirstOffset; was.Withdrawn {
			if d.WithdrawnGeneration = was.Generation; d.Order == Total {
				d.FirstOffset = l.sequences[d.Name].NextOffset
			}
		}
		if d.Withdrawn {
			delete(l.forgotten, d.Name)
		}
		l.declared[d.Name] = d
		if d.Order != Total {
			return nil
		}
		n := l.sequences[d.Name]
		if n == nil {
			n = &Sequence{Channel: d.Name, EpochStart: 1, NextOffset: 1, Writers: map[string]WriterProgress{}}
			l.sequences[d.Name] = n
		}
		if d.Withdrawn || was.Withdrawn { // writers start again from number 1
			clear(n.Writers)
		}
		if d.Generation > 1 { // all readers see the change at this offset
			n.appendPending(Entry{Channel: d.Name, Number: d.Generation}, d.Generation)
		}
		return nil
	}
	n, d := l.sequences[c.Channel], l.declared[c.Channel]
	if c.Epoch > n.Epoch {
		n.Epoch, n.EpochStart = c.Epoch, n.NextOffset
	}
	n.ReplicatedThrough = max(n.ReplicatedThrough, c.ReplicatedThrough)
	n.Pending = slices.DeleteFunc(n.Pending, func(e Entry) bool { return e.Offset <= n.ReplicatedThrough })
	size, totalBytes, writers := n.pendingBytes(), 0, 0
	for _, o := range l.sequences {
		totalBytes, writers = totalBytes+o.pendingBytes(), writers+len(o.Writers)
	}
	for _, e := range c.Entries {
		was, ok := n.Writers[e.Writer]
		before := len(n.Writers)
		if e.Number != was.Number+1 {
			continue // the entry is known already, or one before it is missing and the writer sends it again
		}
		if size, totalBytes = size+e.size(), totalBytes+e.size(); len(n.Pending) >= MaxPending || size > MaxPendingBytes || totalBytes > MaxPendingBytesTotal {
			break // the writer gets no acknowledgement and sends it again
		}
		if !ok && (len(n.Writers) >= MaxSequenceWriters || writers >= MaxSequenceWritersTotal) && !n.evictOldestWriter(uint64(d.RetainedEntries)) {
			continue
		}
		writers -= before
		n.Writers[e.Writer] = WriterProgress{e.Number, n.NextOffset}
		writers += len(n.Writers)
		n.appendPending(e, d.Generation)
	}
	return nil
}

// pendingBytes returns the bytes of the entries that are not yet replicated.
func (n *Sequence) pendingBytes() (size int) {
	for i := range n.Pending {
		size += n.Pending[i].size()
	}
	return size
}

// appendPending gives an entry the next offset and adds it to the pending entries.
func (n *Sequence) appendPending(e Entry, generation uint64) {
	e.Epoch, e.EpochStart, e.Offset, e.Generation, e.Stamp, e.After = n.Epoch, n.EpochStart, n.NextOffset, generation, 0, nil
	n.NextOffset++
	n.Pending = append(n.Pending, e)
}

// evictOldestWriter removes the writer with the oldest last entry, unless that entry is still retained: otherwise a repeated entry could be accepted
// within the retained entries. It reports whether it removed a writer.
func (n *Sequence) evictOldestWriter(retained uint64) bool {
	if len(n.Writers) == 0 {
		return false
	}
	name := ""
	for w, t := range n.Writers {
		if o := n.Writers[name]; name == "" || t.Offset < o.Offset {
			name = w
		}
	}
	if n.Writers[name].Offset+retained >= n.NextOffset {
		return false
	}
	delete(n.Writers, name)
	return true
}

// LedgerSnapshot is the state of a ledger as the snapshots of the voters' log store it.
type LedgerSnapshot struct {
	Declared         []Declaration      `cbor:"1,keyasint" json:"Declared"`
	Sequences        []Sequence         `cbor:"2,keyasint" json:"Lines"`
	ForgottenWriters []ForgottenWriters `cbor:"3,keyasint,omitempty" json:"Silent"`
	ForgottenCount   uint64             `cbor:"4,keyasint,omitempty" json:"Gone"` // writers ever forgotten, in all channels
}

// Save returns the ledger's state. The snapshot shares no data that later changes.
func (l *Ledger) Save() LedgerSnapshot {
	s := LedgerSnapshot{Declared: l.Declarations()}
	s.ForgottenWriters, s.ForgottenCount = l.ForgottenWriters(0)
	for _, n := range slices.Sorted(maps.Keys(l.sequences)) {
		s.Sequences = append(s.Sequences, *l.sequences[n].clone())
	}
	return s
}

// Restore returns a ledger with the state of a snapshot.
func Restore(s LedgerSnapshot) *Ledger {
	l := NewLedger()
	for _, d := range s.Declared {
		l.declared[d.Name] = d
	}
	l.forgottenCount = s.ForgottenCount
	for _, o := range s.ForgottenWriters {
		o.Writers = slices.Clone(o.Writers)
		l.forgotten[o.Channel] = &o
	}
	for i := range s.Sequences {
		n := s.Sequences[i].clone()
		if n.Writers == nil {
			n.Writers = map[string]WriterProgress{}
		}
		l.sequences[n.Channel] = n
	}
	return l
}
