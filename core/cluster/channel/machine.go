package channel

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"elderwall/core/cluster/replication"
)

// Errors of Write and Open, and of commands. A call that returns one leaves nothing behind.
var (
	ErrUnknownChannel    = errors.New("no such channel")
	ErrNumberSkipped     = errors.New("a number before it is missing here")
	ErrMissingDependency = errors.New("what it comes after is not known here yet")
	ErrFull              = errors.New("too much is on its way")
	ErrNoMajority        = errors.New("no majority is seen: nothing is put in order")
	ErrOrderNotPromised  = errors.New("a higher order than is declared")
	ErrTooManyWriters    = errors.New("the channel has too many writers")
	ErrWithdrawn         = errors.New("the channel was withdrawn")
	// ErrNameReuse refuses to declare a withdrawn channel in total order again. That could lose acknowledged entries (docs/channels.md, "Left alone").
	ErrNameReuse = errors.New("a withdrawn channel in total order can't be declared again under its name: declare another name")
	// ErrWriterForgotten means that the writer's name may be forgotten, so whether its last entries were kept is no longer known. The client may
	// continue under a new name with the channel's clock.
	ErrWriterForgotten = errors.New("the writer was silent for too long, its name is forgotten: take another")
)

// RetryLaterError tells a refused reader after how many seconds to try again. It spreads the readers of a killed dispatcher over time.
type RetryLaterError struct{ Seconds float64 }

func (l *RetryLaterError) Error() string {
	return fmt.Sprintf("too many readers at once: retry in %.1f s", l.Seconds)
}

// WriteState is the result of a Write.
type WriteState uint8

// The states of a write.
const (
	WriteInFlight     WriteState = 1 + iota // the entry is being replicated or sequenced; an Ack follows
	WriteAcknowledged                       // the entry was acknowledged before and is not written again
	WriteNotSequencer                       // the caller has to pass the entry to the channel's sequencer
)

// Ack reports to a writer whether an entry is durable. The acks of one writer come in the order of its numbers; an entry that is not Met may be sent
// again.
type Ack struct {
	Channel, Writer string
	Number          uint64
	Met             bool // the entry's write concern was met
	Copies          int  // dispatchers known to have the entry, where known
	Err             error
}

// Put is a record to be written by replication. The caller reports the result of one with an ID by PutCompleted.
type Put struct {
	ID      uint64 // 0 if no result is expected
	Record  replication.Record
	Concern replication.WriteConcern
}

// Ready is the work that the caller has to carry out.
type Ready struct {
	Puts     []Put
	Commands []Command // to be proposed to the voters' log
	Acks     []Ack
	Updated  []string // channels whose readers should call Take
	Relearn  bool     // the caller has to pass all records of channels to Learn again
}

// OpenRequest describes a reader that wants to open a channel.
type OpenRequest struct {
	Channel string `cbor:"Channel"`
	Token   string `cbor:"Token"` // position to continue from; "" for all retained entries
	Order   Order  `cbor:"Order"` // 0 for the declared order
	FromNow bool   `cbor:"Now"`   // without a token: only entries from now on
}

// logItem is one item of a channel's log at this dispatcher: an entry, a gap, or a change of the declaration.
type logItem struct {
	entry             *Entry
	writer            string // of a gap
	from, to          uint64 // of a gap: first and last number; to is also set for a declaration change in total order
	generation        uint64
	late              bool    // a newer entry of its key is before it in the log
	declarationChange bool    // the item is a change of the declaration
	end               bool    // the item is the channel's end
	replicated        bool    // another dispatcher has the entry, or its writer got an acknowledgement
	appendedAt        float64 // seconds
	size              int     // bytes
	token             string  // of the position after the item
}

// heldEntry is an entry that is not in the log yet.
type heldEntry struct {
	entry      *Entry
	heldAt     float64 // seconds
	replicated bool    // as in logItem
}

// inFlightWrite is a writer's entry that is being replicated.
type inFlightWrite struct {
	number, id uint64 // the writer's number and the ID of the Put
	done       bool
	outcome    replication.Outcome
	err        error
}

// epochRange is an epoch of the sequencer and its first offset.
type epochRange struct{ epoch, start uint64 }

// channel is the state of one channel at this dispatcher. Maps that are keyed by substream (see Entry.substream) have a writer's name as the key. In
// total order the only substream is "", and its numbers are offsets.
type channel struct {
	declaration       Declaration
	declared          bool // the declaration has arrived
	items             []logItem
	firstIndex        uint64                          // index of items[0], counting all items that were ever in the log
	logged            map[string]uint64               // by substream, the number up to which entries were appended to the log
	lastClock         map[string]uint64               // by substream, the clock of the substream's last entry in the log
	evicted           map[string]uint64               // by substream, the number up to which entries are no longer retained here
	evictedElsewhere  map[string]uint64               // by substream, the number up to which other dispatchers no longer retain entries
	held              map[string]map[uint64]heldEntry // entries not in the log yet, by substream and number
	oldestHeldAt      float64                         // when the oldest held entry arrived, 0 if none is held
	newestByKey       map[string]*Entry
	bytes             int                         // size of all items
	highestStamp      uint64                      // highest stamp seen in the channel
	logGeneration     uint64                      // generation of the declaration at the end of the log
	logEpoch          uint64                      // in total order, the sequencer's epoch at the end of the log
	startToken        string                      // token of the position before the first item
	epochs            []epochRange                // known epochs, sorted
	sequencedNumbers  map[string]uint64           // in total order, the highest number seen of each writer
	inFlight          map[string][]*inFlightWrite // by writer, in the order in which they were sent
	tombstonedThrough map[string]uint64           // by substream, the number up to which tombstones were received
	pendingTombstones map[string]float64          // keys that need a tombstone, with the time at which to write it again
	pendingEvictions  map[string]bool             // substreams for which a record of WriterKind with the number in evicted is to be written
	// Forgotten writers.
	forgotten        map[string]ForgottenWriter // those still listed, by name
	forgottenThrough uint64                     // highest Sequence of a forgotten writer that is known here
	evictedThrough   uint64                     // forgotten writers with a Sequence up to this one are no longer listed
	evictedClock     uint64                     // highest clock of those
	forgottenLoaded  bool                       // the writers forgotten before this dispatcher started are known
	lastActive       map[string]float64         // when each writer's last entry or gap was appended
	expiryCheckedAt  float64                    // last check for writers to forget
	// Withdrawal.
	incarnation     uint64  // the declaration's WithdrawnGeneration
	endedGeneration uint64  // generation of the withdrawal that took effect here, 0 for none
	endedAt         float64 // when it took effect
	withdrawnAt     float64 // when the current declaration arrived, used if it is a withdrawal
	updated         bool    // readers should call Take
	// At the sequencer only.
	sequencerEpoch     uint64          // fencing token of the duty, 0 if this dispatcher does not hold it
	sequence           *Sequence       // the ledger's state, nil until it has been read
	queue              []Entry         // entries to be proposed
	proposedAt         float64         // when the last command was proposed, 0 if none is outstanding
	replicationAttempt uint64          // counts the writes of entries in this epoch, part of their stamps
	offsetsReplicated  map[uint64]bool // offsets written for replication; true once a majority has the record
}

// reader is an open reader of a channel.
type reader struct {
	channel          *channel
	order            Order             // order that the reader asked for
	cursor           uint64            // index of the next log item to take
	seen             map[string]uint64 // by substream, the highest number seen; nil once the reader is at the end of the log and the items' own tokens apply
	position         Position          // position from the token; in total order, updated as the reader advances
	newestSeen       map[string]*Entry // by key, the newest entry that the reader had seen when it opened
	started          bool              // cursor is set
	openedAtIndex    uint64            // without a token, the end index at opening: a missing beginning of a substream before it is not reported as a gap
	forgottenThrough uint64            // for the position's token
	incarnation      uint64            // of the channel at opening
	generation       uint64            // of the declaration that the reader knows, 0 for none
	openedAt         float64
}

// pendingPut is the entry of a Put whose result is awaited. Entries in total order have an offset, others a writer and a number.
type pendingPut struct {
	channel, writer string
	number          uint64
	offset          uint64
}

// Machine runs the channels of one dispatcher. It is a state machine without I/O: the caller passes in records, requests and the time and carries
// out Ready. It is not safe for concurrent use. In all methods now is in seconds on the caller's monotonic clock.
type Machine struct {
	name             string
	rng              *rand.Rand
	channels         map[string]*channel
	readers          map[uint64]*reader
	nextID           uint64
	liveOthers       []string
	alone            bool // the last agreed fleet has no other dispatcher; false until the fleet is known
	writesTombstones bool // this dispatcher is the first by name of those alive
	hasQuorum        bool // this dispatcher sees a majority
	pendingPuts      map[uint64]pendingPut
	inFlight         int // writes of all channels that are being replicated
	ready            Ready
	openTokens       float64 // token bucket for readers that open
	openTokensAt     float64 // when openTokens was last refilled
	recentRefusals   float64 // refused readers, decaying with each Tick
	invalidRecords   int
	forgottenCount   uint64 // writers of all channels known to be forgotten
}

// New returns the machine of a dispatcher. The seed drives the random retry delays of refused readers.
func New(name string, seed uint64) *Machine {
	return &Machine{
		name: name, rng: rand.New(rand.NewPCG(seed, 47)), channels: map[string]*channel{}, readers: map[uint64]*reader{}, nextID: 1,
		pendingPuts: map[uint64]pendingPut{}, writesTombstones: true, openTokens: openBurst,
	}
}

// InvalidRecords returns how many records were dropped because they could not be decoded or belong to no possible channel.
func (m *Machine) InvalidRecords() int { return m.invalidRecords }

// SetFleet sets which other dispatchers are alive and whether a majority is seen. The first by name writes the tombstones; in a network partition one
// dispatcher on each side may do so.
func (m *Machine) SetFleet(f replication.Fleet) {
	m.liveOthers, m.writesTombstones, m.hasQuorum, m.alone = nil, true, f.HasQuorum, f.AgreedSize <= 1
	for _, o := range f.Others {
		if o.Alive {
			m.liveOthers = append(m.liveOthers, o.Name)
			m.writesTombstones = m.writesTombstones && m.name < o.Name
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.channels)) {
		if !f.HasQuorum {
			m.refuseQueued(m.channels[name])
		}
	}
}

// channelFor returns the state of a channel and creates it if needed. It returns nil if there are too many channels.
func (m *Machine) channelFor(name string) *channel {
	c := m.channels[name]
	if c == nil && len(m.channels) < 2*MaxChannels {
		c = &channel{
			firstIndex: 1, logged: map[string]uint64{}, lastClock: map[string]uint64{}, evicted: map[string]uint64{}, evictedElsewhere: map[string]uint64{}, held: map[string]map[uint64]heldEntry{},
			newestByKey: map[string]*Entry{}, sequencedNumbers: map[string]uint64{}, inFlight: map[string][]*inFlightWrite{}, pendingTombstones: map[string]float64{}, pendingEvictions: map[string]bool{},
			offsetsReplicated: map[uint64]bool{}, tombstonedThrough: map[string]uint64{}, forgotten: map[string]ForgottenWriter{}, lastActive: map[string]float64{},
		}
		m.channels[name] = c
	}
	return c
}

// SetDeclarations applies the declarations that the voters agreed on. A changed declaration becomes an item of the log, before all entries that were
// accepted under it. In total order that item comes with the ledger's sequence instead.
func (m *Machine) SetDeclarations(now float64, all []Declaration) {
	for _, d := range all {
		c := m.channelFor(d.Name)
		if c == nil || d.Check() != nil || c.declared && d.Generation <= c.declaration.Generation {
			continue
		}
		was := c.declared
		if c.declaration, c.declared = d, true; d.Withdrawn || d.WithdrawnGeneration != c.incarnation {
			m.refuseQueued(c)
		}
		// The channel was declared again after a withdrawal. Records of the new channel that arrived before this declaration were ignored, so Relearn asks
		// the caller to pass all records to Learn again.
		if d.WithdrawnGeneration != c.incarnation {
			m.discardEntries(c, d.WithdrawnGeneration)
			if d.FirstOffset > 0 {
				c.logged[""] = max(c.logged[""], d.FirstOffset-1)
				c.evicted[""] = max(c.evicted[""], d.FirstOffset-1)
			}
			c.logGeneration, c.endedGeneration, c.withdrawnAt, m.ready.Relearn = d.Generation, 0, 0, true
			c.startToken = c.token()
		}
		if d.Order != Total {
			if c.logGeneration = d.Generation; was && !d.Withdrawn {
				c.append(logItem{generation: d.Generation, appendedAt: now, declarationChange: true})
			}
		}
		if !was {
			c.startToken = c.token()
		}
		m.advance(now, c)
		if c.withdrawnAt = now; d.Withdrawn && (d.Order != Total || !was) {
			if m.endChannel(now, c); !was { // other dispatchers may be deleting its entries already, so none are delivered rather than only some
				m.discardEntries(c, c.incarnation)
			}
		}
	}
}

// position returns the position at the end of the log.
func (c *channel) position() Position {
	p := Position{Channel: c.declaration.Name, Generation: c.logGeneration, ForgottenThrough: c.forgottenThrough}
	if c.declaration.Order == Total {
		p.Epoch, p.Offset = c.logEpoch, c.logged[""]
	} else {
		p.Seen = c.logged
	}
	return p
}

// token returns the token of the position at the end of the log.
func (c *channel) token() string {
	p := c.position()
	return p.Token()
}

// append adds an item to the log. The numbers in logged already include it.
func (c *channel) append(i logItem) {
	i.token = c.token()
	c.items = append(c.items, i)
	c.bytes += i.size
	c.updated = true
}

// endIndex returns the index after the last item of the log.
func (c *channel) endIndex() uint64 { return c.firstIndex + uint64(len(c.items)) }

// Learn applies a record that replication has stored, whether another dispatcher or this one wrote it.
func (m *Machine) Learn(now float64, r replication.Record) {
	key, err := parseKey(r.Key)
	writer, number, ep := key.writer, key.number, key.epoch
	var c *channel
	if err == nil {
		c = m.channelFor(key.channel)
	}
	switch {
	case c == nil:
		m.invalidRecords++
		return
	case writer != "" && m.discardStale(c, r, ep):
		if r.Deleted {
			delete(c.pendingTombstones, r.Key)
		}
		return
	case r.Kind == WriterKind && r.Deleted:
		delete(c.pendingTombstones, r.Key)
		return
	case r.Kind == WriterKind:
		if !m.learnEviction(now, c, r, writer) {
			return
		}
	case r.Kind == EntryKind && (r.Deleted || len(r.Value) == 0):
		delete(c.pendingTombstones, r.Key)
		if writer != "" && c.isForgotten(writer, number) {
			return
		}
		c.reviveWriter(now, writer, number)
		c.discardUnreplicated(writer, number)
		c.tombstonedThrough[writer] = max(c.tombstonedThrough[writer], number)
		c.raiseEvictedElsewhere(writer, number, ep)
	case r.Kind == EntryKind:
		e, err := decodeEntry(r.Value)
		if err != nil || e.key() != r.Key {
			m.invalidRecords++
			return
		}
		c.insert(now, e, r.Dot.Writer != m.name)
	}
	m.advance(now, c)
}

// learnEviction applies a record of WriterKind, which holds the number up to which a writer's entries are no longer retained. It returns false if it
// changes nothing.
func (m *Machine) learnEviction(now float64, c *channel, r replication.Record, writer string) bool {
	v := decoder{rest: r.Value}
	ep, number := v.number(), v.number()
	if v.failed {
		m.invalidRecords++
		return false
	}
	if c.isForgotten(writer, number) {
		c.pendingTombstones[r.Key] = max(c.pendingTombstones[r.Key], 0)
		return false
	}
	c.reviveWriter(now, writer, number)
	c.raiseEvictedElsewhere(writer, number, ep)
	return true
}

// raiseEvictedElsewhere notes that other dispatchers no longer retain a substream's entries up to a number.
func (c *channel) raiseEvictedElsewhere(writer string, number, epoch uint64) {
	if writer == "" && !c.offsetValid(epoch, number) {
		return
	}
	if number > c.evictedElsewhere[writer] && number > c.logged[writer] {
		c.evictedElsewhere[writer] = number
	}
	if number >= c.evicted[writer] {
		delete(c.pendingEvictions, writer)
	}
}

// offsetValid reports whether an offset of an epoch still exists. It does not if a later epoch starts at or before the offset, or if the offset is
// before the epoch's own start.
func (c *channel) offsetValid(epoch, offset uint64) bool {
	for _, o := range c.epochs {
		if o.epoch > epoch && offset >= o.start || o.epoch == epoch && offset > 0 && offset < o.start {
			return false
		}
	}
	return true
}

// epochAt returns the highest known epoch that starts at or before an offset.
func (c *channel) epochAt(offset uint64) uint64 {
	ep := uint64(0)
	for _, o := range c.epochs {
		if o.start <= offset {
			ep = max(ep, o.epoch)
		}
	}
	return ep
}

// insert accepts an entry from a record. An entry that is already known changes only whether it counts as replicated and the highest stamp. foreign
// means that another dispatcher wrote the record.
func (c *channel) insert(now float64, e *Entry, foreign bool) {
	w, n := e.substream()
	if c.declared && (w == "") != (c.declaration.Order == Total) {
		return
	}
	c.highestStamp = max(c.highestStamp, e.Stamp)
	if w != "" {
		if c.isForgotten(w, n) {
			c.pendingTombstones[e.key()] = max(c.pendingTombstones[e.key()], 0)
			return
		}
		c.reviveWriter(now, w, n)
	} else if c.declared && (c.incarnation > 0 && e.Generation <= c.incarnation || c.endedGeneration > 0) {
		if e.Generation <= max(c.incarnation, c.endedGeneration) { // an entry of a later generation is passed to Learn again once its declaration is known
			c.pendingTombstones[e.key()] = 0
		}
		return
	}
	if w == "" {
		if !c.addEpoch(e.Epoch, e.EpochStart) || !c.offsetValid(e.Epoch, n) {
			return
		}
		if len(c.sequencedNumbers) > 2*MaxSequenceWriters {
			clear(c.sequencedNumbers)
		}
		c.sequencedNumbers[e.Writer] = max(c.sequencedNumbers[e.Writer], e.Number)
	}
	if n <= c.logged[w] {
		i := c.findItem(w, n)
		if i == nil {
			return
		}
		if i.replicated = i.replicated || foreign; i.entry == nil && c.declaration.Order == Latest {
			// The entry was reported as a gap, but it may be the newest of its key.
			c.updateNewest(e)
			c.append(logItem{entry: e, generation: c.logGeneration, replicated: foreign, appendedAt: now, size: e.size(), late: c.newestByKey[e.Key] != e})
		}
		return
	}
	if c.held[w] == nil {
		c.held[w] = map[uint64]heldEntry{}
	}
	if h, ok := c.held[w][n]; ok {
		h.replicated = h.replicated || foreign
		c.held[w][n] = h
		return
	}
	c.held[w][n] = heldEntry{e, now, foreign}
}

// findItem returns the log item that covers a number, preferring an entry over a gap, or nil. It scans the log and is called rarely.
func (c *channel) findItem(w string, n uint64) *logItem {
	var gap *logItem
	for k := len(c.items) - 1; k >= 0; k-- {
		i := &c.items[k]
		if i.entry != nil {
			if x, y := i.entry.substream(); x == w && y == n {
				return i
			}
		} else if !i.declarationChange && i.to > 0 && i.writer == w && i.from <= n && n <= i.to {
			gap = i
		}
	}
	return gap
}

// addEpoch records an epoch with its first offset. Entries of older epochs from that offset on are void, because the voters' log was lost. It returns
// false if the start is 0 or differs from the start that is already known.
func (c *channel) addEpoch(epoch, start uint64) bool {
	if start == 0 {
		return false
	}
	for _, o := range c.epochs {
		if o.epoch == epoch {
			return o.start == start
		}
	}
	c.epochs = append(c.epochs, epochRange{epoch, start})
	slices.SortFunc(c.epochs, func(a, b epochRange) int { return int(int64(a.epoch) - int64(b.epoch)) })
	if len(c.epochs) > 64 { // the oldest epoch says little or nothing about the retained entries any more
		c.epochs = c.epochs[1:]
	}
	for n, h := range c.held[""] {
		if !c.offsetValid(h.entry.Epoch, n) {
			c.pendingTombstones[h.entry.key()] = 0
			delete(c.held[""], n)
		}
	}
	if !c.offsetValid(c.logEpoch, c.logged[""]) {
		c.truncate(start)
	}
	return true
}

// truncate removes the log's entries from an offset on, in total order, after their epoch was superseded.
func (c *channel) truncate(start uint64) {
	keep := len(c.items)
	for keep > 0 && (c.items[keep-1].entry != nil && c.items[keep-1].entry.Offset >= start || c.items[keep-1].to >= start) {
		keep--
		if c.bytes -= c.items[keep].size; c.items[keep].entry != nil {
			c.pendingTombstones[c.items[keep].entry.key()] = 0
		}
	}
	clear(c.items[keep:])
	c.items = c.items[:keep]
	c.logged[""], c.logEpoch = start-1, c.epochAt(start-1)
	c.evicted[""] = min(c.evicted[""], start-1)
	c.evictedElsewhere[""] = min(c.evictedElsewhere[""], start-1)
	c.tombstonedThrough[""] = min(c.tombstonedThrough[""], start-1)
	c.updated = true
	clear(c.sequencedNumbers)
	clear(c.newestByKey)
	for _, i := range c.items {
		if i.entry != nil {
			c.sequencedNumbers[i.entry.Writer] = max(c.sequencedNumbers[i.entry.Writer], i.entry.Number)
			c.updateNewest(i.entry)
		}
	}
	if keep == 0 {
		c.startToken = c.token()
	}
}

// mergeOrder compares two entries of a key; the greater one is newer. It compares the offsets, then the clocks, numbers and writers.
func mergeOrder(a, b *Entry) int {
	return cmp.Or(cmp.Compare(a.Offset, b.Offset), cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Number, b.Number), cmp.Compare(a.Writer, b.Writer))
}

// updateNewest records an entry as the newest of its key unless a newer one is known, and reports whether it did.
func (c *channel) updateNewest(e *Entry) bool {
	if o := c.newestByKey[e.Key]; o != nil && mergeOrder(e, o) < 0 {
		return false
	}
	c.newestByKey[e.Key] = e
	return true
}

// pendingSubstreams returns the sorted substreams that have held entries or entries evicted elsewhere.
func (c *channel) pendingSubstreams() []string {
	if len(c.held) == 0 && len(c.evictedElsewhere) == 0 {
		return nil
	}
	all := slices.Collect(maps.Keys(c.held))
	for w := range c.evictedElsewhere {
		if c.held[w] == nil {
			all = append(all, w)
		}
	}
	slices.Sort(all)
	return all
}

// lowestNumber returns the lowest number of the held entries, or 0 if there are none.
func lowestNumber(of map[uint64]heldEntry) uint64 {
	low := uint64(0)
	for n := range of {
		if low == 0 || n < low {
			low = n
		}
	}
	return low
}

// dependenciesMet reports whether the entry's declaration is known here and, in causal order, whether the log has all entries of other writers that it
// depends on.
func (c *channel) dependenciesMet(e *Entry) bool {
	if e.Generation > c.declaration.Generation {
		return false
	}
	if c.declaration.Order == Causal {
		for w, n := range e.After {
			if w != e.Writer && c.logged[w] < n {
				return false
			}
		}
	}
	return true
}

// advance appends to the log every held entry that is next in order. Where gaps are allowed and OrderWait has passed, it appends gaps for missing
// entries.
func (m *Machine) advance(now float64, c *channel) {
	if !c.declared || c.endedGeneration > 0 {
		return
	}
	for again := true; again; {
		again = false
		for _, w := range c.pendingSubstreams() {
			for c.advanceSubstream(now, w, m.alone) {
				again = true
			}
		}
		if !again && c.declaration.AllowGaps {
			again = c.skipOverdue(now)
		}
	}
	c.oldestHeldAt = 0
	for _, of := range c.held {
		for _, h := range of {
			if c.oldestHeldAt == 0 || h.heldAt < c.oldestHeldAt {
				c.oldestHeldAt = h.heldAt
			}
		}
	}
	c.trim(now)
}

// advanceSubstream appends the next entry or gap of a substream to the log and reports whether it did. Except in total order, an entry must be known to
// be at another dispatcher too, if there are others. Otherwise the loss of one disk could leave a reader's position, or an acknowledged later entry,
// waiting forever for an entry that nobody has.
func (c *channel) advanceSubstream(now float64, w string, alone bool) bool {
	n := c.logged[w] + 1
	h, ok := c.held[w][n]
	if !ok {
		f := c.evictedElsewhere[w]
		if f < n {
			delete(c.evictedElsewhere, w)
			return false
		}
		if low := lowestNumber(c.held[w]); low > 0 {
			f = min(f, low-1)
		}
		c.appendGap(now, w, f)
		return true
	}
	if !c.dependenciesMet(h.entry) || c.endedGeneration > 0 || w != "" && !h.replicated && !alone {
		return false
	}
	if delete(c.held[w], n); len(c.held[w]) == 0 {
		delete(c.held, w)
	}
	c.logged[w] = n
	c.lastClock[w], c.lastActive[w] = h.entry.Clock, now
	i := logItem{entry: h.entry, replicated: h.replicated, appendedAt: now, size: h.entry.size(), late: !c.updateNewest(h.entry)}
	if w == "" {
		c.logEpoch, c.logGeneration = max(c.logEpoch, h.entry.Epoch), max(c.logGeneration, h.entry.Generation)
		if h.entry.Writer == "" {
			i.entry, i.to, i.late, i.declarationChange, i.end = nil, n, false, true, c.declaration.Withdrawn && h.entry.Number == c.declaration.Generation
		}
	}
	i.generation = c.logGeneration
	if c.append(i); i.end {
		c.endedGeneration, c.endedAt = c.declaration.Generation, now
	}
	return true
}

// appendGap appends a gap to the log that spans a substream's numbers from the next one up to to.
func (c *channel) appendGap(now float64, w string, to uint64) {
	from := c.logged[w] + 1
	c.lastActive[w] = now
	if c.logged[w] = to; w == "" {
		c.logEpoch = max(c.logEpoch, c.epochAt(to))
	}
	c.append(logItem{writer: w, from: from, to: to, generation: c.logGeneration, appendedAt: now, size: 32})
}

// skipOverdue appends a gap for entries that others have waited on for OrderWait seconds, and reports whether it appended one.
func (c *channel) skipOverdue(now float64) bool {
	for _, w := range c.pendingSubstreams() {
		overdue, low := false, lowestNumber(c.held[w])
		for _, h := range c.held[w] {
			overdue = overdue || now-h.heldAt >= c.declaration.OrderWait
		}
		if !overdue {
			continue
		}
		if low > c.logged[w]+1 {
			c.appendGap(now, w, low-1)
			return true
		}
		e := c.held[w][low].entry
		for _, v := range slices.Sorted(maps.Keys(e.After)) {
			to := e.After[v]
			if v == w || c.logged[v] >= to || e.Generation > c.declaration.Generation {
				continue
			}
			if first := lowestNumber(c.held[v]); first > 0 {
				to = min(to, first-1)
			}
			if to > c.logged[v] {
				c.appendGap(now, v, to)
				return true
			}
		}
	}
	return false
}

// trim removes items beyond the declared retention from the log. Each dispatcher does so by itself; the first by name writes tombstones, so that the
// entries are deleted everywhere.
func (c *channel) trim(now float64) {
	k := 0
	for ; k < len(c.items); k++ {
		i := &c.items[k]
		if len(c.items)-k <= max(c.declaration.RetainedEntries, minRetainedEntries) && c.bytes <= max(c.declaration.RetainedBytes, minRetainedEntries*MaxBodyBytes) && now-i.appendedAt <= max(c.declaration.RetainedSeconds, minRetainedSeconds) {
			break
		}
		c.bytes -= i.size
		w, n := i.writer, i.to
		if i.entry != nil {
			w, n = i.entry.substream()
			if n > c.tombstonedThrough[w] {
				c.pendingTombstones[i.entry.key()] = 0
			}
			if c.newestByKey[i.entry.Key] == i.entry {
				delete(c.newestByKey, i.entry.Key)
			}
		}
		if n > c.evicted[w] {
			c.evicted[w], c.pendingEvictions[w] = n, true
		}
		c.startToken = i.token
	}
	if k > 0 {
		clear(c.items[:k])
		c.items = c.items[k:]
		c.firstIndex += uint64(k)
	}
}

// Tick does the periodic work. The caller calls it a few times per second.
func (m *Machine) Tick(now float64) {
	for _, name := range slices.Sorted(maps.Keys(m.channels)) {
		c := m.channels[name]
		if len(c.held) > 0 || len(c.evictedElsewhere) > 0 {
			m.advance(now, c)
			c.updated = true // readers may have to be notified that they are behind
		}
		c.trim(now)
		if now-c.expiryCheckedAt >= expiryCheckInterval {
			c.expiryCheckedAt = now
			m.dropForgotten(name, c)
			m.proposeExpired(now, name, c)
		}
		if m.writesTombstones {
			m.writeTombstones(now, name, c)
		}
		if c.declared && c.declaration.Withdrawn && c.endedGeneration == 0 && now-c.withdrawnAt >= maxWithdrawalDelay {
			m.endChannel(now, c)
		}
		if c.endedGeneration > 0 && len(c.items) > 0 && now-c.endedAt >= withdrawnRetention {
			m.discardEntries(c, c.incarnation)
		}
		if c.declared && c.declaration.Order != Total {
			m.resendHeld(c)
		}
		m.propose(now, name, c)
	}
	m.recentRefusals *= 0.9
}

// writeTombstones writes a record of WriterKind for each substream in pendingEvictions, which tells other dispatchers the number up to which this one
// no longer retains entries. It also writes at most maxTombstonesPerTick of the tombstones that are due.
func (m *Machine) writeTombstones(now float64, name string, c *channel) {
	for _, w := range slices.Sorted(maps.Keys(c.pendingEvictions)) {
		ep := uint64(0)
		if w == "" && c.declaration.Order == Total {
			ep = c.epochAt(c.evicted[w])
		}
		v, incarnation := encodeNumber(ep, c.evicted[w]), c.incarnation
		if w == "" {
			incarnation = 0
		}
		m.ready.Puts = append(m.ready.Puts, Put{Record: replication.Record{Kind: WriterKind, Key: makeKey(name, w, 0, incarnation), Value: v}})
	}
	clear(c.pendingEvictions)
	if len(c.pendingTombstones) == 0 {
		return
	}
	n := 0
	for _, k := range slices.Sorted(maps.Keys(c.pendingTombstones)) {
		if c.pendingTombstones[k] > now {
			continue
		}
		if n++; n > maxTombstonesPerTick {
			break
		}
		c.pendingTombstones[k] = now + 10*AckTimeout
		r := replication.Record{Kind: EntryKind, Key: k, Deleted: true}
		if key, err := parseKey(k); err == nil && key.number == 0 {
			g, ok := c.forgotten[key.writer]
			if r.Kind, r.Value = WriterKind, encodeNumber(0, math.MaxUint64); key.epoch == c.incarnation && c.endedGeneration == 0 {
				if r.Value = encodeNumber(0, g.Number); !ok || c.logged[key.writer] > 0 { // the writer came back
					delete(c.pendingTombstones, k)
					continue
				}
			}
		}
		m.ready.Puts = append(m.ready.Puts, Put{Record: r})
	}
}

// resendHeld writes the next entry of each substream again if no other dispatcher is known to have it and it is not in flight. Such an entry did not
// reach enough copies, or this dispatcher restarted and no longer knows of them.
func (m *Machine) resendHeld(c *channel) {
	for _, w := range c.pendingSubstreams() {
		n := c.logged[w] + 1
		if h, ok := c.held[w][n]; ok && !h.replicated && !c.isInFlight(w, n) && m.inFlight < MaxInFlight {
			m.send(c, *h.entry)
		}
	}
}

// Ready returns the work that has accumulated since the last call.
func (m *Machine) Ready() Ready {
	for _, name := range slices.Sorted(maps.Keys(m.channels)) {
		if c := m.channels[name]; c.updated {
			c.updated = false
			m.ready.Updated = append(m.ready.Updated, name)
		}
	}
	r := m.ready
	m.ready = Ready{}
	return r
}
