package replication

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
)

// Settings configures a machine.
type Settings struct {
	Name, Zone  string  // of this dispatcher
	Seed        uint64  // seed of the random numbers; drawn anew at each start
	Interval    float64 // seconds between rounds; 0 means the default
	Horizon     float64 // seconds after which a member that was away pulls a whole snapshot and tombstones are forgotten; 0 means the default
	CatchUpRate float64 // bytes per second for pulling, and as many for serving the pulls of others; 0 means the default
	Kinds       []Kind
}

// Limits and defaults. Times without a unit are in intervals.
const (
	MaxMessageBytes = 60_000  // limit in bytes of an encoded message sent as a datagram, below the maximum size of a datagram
	MaxStreamBytes  = 1 << 20 // limit in bytes of an encoded message sent over a stream
	MaxRecordBytes  = 32_000  // limit in bytes of a key and its value, so that a record fits into a message

	defaultInterval = 1.0
	defaultHorizon  = 3600.0    // seconds
	defaultRate     = 4_000_000 // bytes per second; less than one percent of a 10 Gbit/s link, which would be 12 MB

	messageBudget                            = 40_000  // estimated bytes of a message; the margin keeps the encoded message below MaxMessageBytes
	streamBudget                             = 400_000 // estimated bytes of a message over a stream, below MaxStreamBytes for the same reason
	fanout                                   = 3       // members that each receiver of a new write forwards it to; epidemic spreading reaches 94% of the members, the rest learn it by exchanges
	maxFanout                                = 8       // fanout limit of a writer that wants more copies
	crossZoneEvery                           = 4       // one exchange of this many goes to another zone, where messages cost most
	maxLoggedWrites                          = 32_768  // numbers kept in the logs for deltas, in 256 KB of pointers
	maxWriters                               = 4_096   // writers in the version vector
	bucketCount                              = 256     // buckets of writers by the upper byte of the name's hash; a fleet of 1,000 has 4 writers in each
	maxPastVectors                           = 4       // vectors of earlier requests kept to understand the responses; 100 KB each with 1,000 writers
	maxEpochs                                = 32      // epochs kept for a writer; older ones are removed even if some members lack them
	keptEpochs                               = 2       // latest epochs of a writer that are never removed; writes still under way span a restart or two at most
	maxPending                               = 4_096   // writes whose outcome has not been reported yet
	maxEvents                                = 256     // events that wait for Ready
	maxOverridden                            = 64      // overridden writes of one writer that are listed in each message to it, in less than 2 KB
	contactSaveShare                         = 0.1     // share of Settings.Horizon after which the time of the last contact is saved even if nothing else has to be
	blockedTimeout                           = 10.0    // wait for another member to supply a record that the sender dropped; then everything is pulled from that sender
	maxFresh                                 = 4_096   // delta intervals that wait to be forwarded; members get the rest by exchanges
	maxMessageItems                          = 100_000 // items in a received message
	maxNameBytes                             = 255     // bytes of a writer's name
	stallThreshold                           = 4.0     // time between two ticks after which the process counts as stalled, having received nothing meanwhile
	mismatchPullInterval                     = 30.0    // minimum time between pulls that start because equal vectors have unequal content sums
	repeatedMismatchPullInterval             = 5.0     // the same once the sums were unequal twice in a row
	localFillNumerator, localFillDenominator = 7, 8    // share of a kind's limits that local writes may fill; the rest is for writes that others have acknowledged
)

// errBadMessage marks a message that Step rejects, or an invalid record.
var errBadMessage = errors.New("bad message")

// epochKey identifies one epoch of a writer.
type epochKey struct {
	writer string
	epoch  uint64
}

// writeLog is the log of a writer's epoch. It holds the entries of the keys that numbers base+1, base+2 and so on wrote.
type writeLog struct {
	base    uint64
	entries []*entry
}

// trackedTombstone is a tombstone that waits to be forgotten.
type trackedTombstone struct {
	entry *entry
	dot   Dot
	seen  float64 // seconds; when it became the current record
}

// freshInterval is an interval of new writes that waits to be forwarded.
type freshInterval struct {
	epochKey
	from         uint64 // the numbers above this one are new
	ackRequested bool
	sender       string // empty for a local write or for several senders
}

// pendingWrite is a local write whose outcome has not been reported yet.
type pendingWrite struct {
	dot        Dot
	kind       uint8
	concern    WriteConcern
	deadline   float64         // seconds
	ackedBy    map[string]bool // members that persisted the write
	key        string
	overridden bool // another member holds a tombstone that wins over the write
}

// Machine keeps the records of one dispatcher. It is not safe for concurrent use.
type Machine struct {
	settings      Settings
	now           float64
	lastTick      float64
	rng           *rand.Rand
	kinds         [256]*kindStore
	kindIDs       []uint8
	vec           *vector
	pastVectors   []*vector // vectors of the latest requests, which responses refer to
	internedNames map[string]string
	fleet         Fleet
	members       map[string]Member

	epoch         uint64
	wroteInEpoch  bool              // this dispatcher wrote in its current epoch
	heardVector   bool              // some member's vector was received since the start
	lastContact   float64           // seconds; time of the last contact with the fleet
	reportedOwn   map[uint64]uint64 // by epoch: the highest own number that another member reported to have
	reportedOwnAt float64           // seconds; when reportedOwn was last updated

	logs         map[epochKey]*writeLog
	logOrder     []*writeLog                // logs in the order in which their numbers arrived
	fresh        []freshInterval            // to be forwarded by the next Ready
	acksDue      map[string]map[uint64]bool // by writer: the epochs to be acknowledged
	acksDueOrder []string
	tombstones   []trackedTombstone

	pending  []*pendingWrite
	outbox   []Envelope
	events   []Event
	outcomes []Outcome

	dirty          []*entry
	newConflicts   []*entry
	changedEpochs  []epochKey // vector entries to be saved
	removedEntries []VectorEntry
	headerDirty    bool // the epoch or the time of the last contact has to be saved

	roundMembers    []string        // members still to exchange vectors with in this round
	exchanges       int             // exchanges started so far
	nextRound       float64         // seconds
	stableCandidate *vector         // vector that all members of the last agreed fleet have to confirm
	confirmed       map[string]bool // members that have persisted stableCandidate
	keepEpochs      map[string]bool // writers of which a member has more of an old epoch than stableCandidate, so that their epochs are kept
	stable          *vector         // the latest vector that all members of the last agreed fleet confirmed

	// State by kind, including kinds that this program does not know. incomplete marks kinds of which records were dropped, so that the vector does
	// not cover them, and dropCounts counts the drops. unknown marks kinds that this program does not know, and storedUnknown those of them of
	// which the disk has records.
	incomplete, unknown, storedUnknown [256]bool
	incompleteIDs                      []uint8 // the kinds marked in incomplete
	incompleteDirty                    bool
	dropCounts                         [256]int
	omittedEntries                     [256]*entry           // placeholders for dropped records in the logs
	blockedSince                       map[epochKey]float64  // since when deltas of a writer's epoch end at an omitted record, in seconds
	kindReports                        map[string]kindReport // by member, from its last message
	overridden                         map[string][]Dot      // by writer: its latest writes over which a tombstone wins here
	overriddenAt                       float64               // seconds; when overridden last changed
	candidateIncomplete                [256]bool             // kinds that are incomplete here or at a member that confirmed stableCandidate
	stableIncomplete                   [256]bool

	pull            *pull
	beyondHorizon   bool    // the last contact is longer ago than Settings.Horizon, so a whole snapshot is needed
	bootID          uint64  // random number drawn at the start
	savedContact    float64 // seconds; the time of the last contact as it was last saved, which may be before this start
	lastPullStart   float64 // seconds
	lastPullUseless bool    // the last pull did not raise any entry of the vector
	mismatches      int     // how many times in a row equal vectors had unequal content sums
	contested       uint64  // counts new writes of keys that already had a record; entry.contestedAt keeps the value, so that a pull sees which keys were written since it began
	behind          int     // as in Status
	pullTokens      float64 // bytes that may be pulled now
	serveTokens     float64 // bytes that may be served to others now
	serveRefilledAt float64 // seconds; when serveTokens was last refilled
	pullRefilledAt  float64 // seconds; when pullTokens was last refilled
	stat            struct{ pulled, pulls, snapshots, walks, badMessages uint64 }
	scratch         []byte
	delayedSave     *Save // used by fault.ackEarly
	unpersisted     bool  // a Save failed and is still owed

	fault struct{ vectorBeforeRecords, forgetEarly, noMergeOrder, ackEarly, dropAll, acceptSuperseded, ackUnpersisted, uncoverDeleted, hideDrops, clearEarly, ignoreBootID, loseIncomplete, countOverridden, saveZeroContact bool } // faults that tests inject
}

// New creates a machine from what its disk held; saved is nil for an empty disk. now is in seconds. It returns an error if the settings are invalid
// or if a saved record violates them.
func New(s Settings, saved *SavedState, now float64) (*Machine, error) {
	s.Interval, s.Horizon, s.CatchUpRate = cmp.Or(s.Interval, defaultInterval), cmp.Or(s.Horizon, defaultHorizon), cmp.Or(s.CatchUpRate, defaultRate)
	if s.Name == "" || len(s.Name) > maxNameBytes {
		return nil, fmt.Errorf("replication: the dispatcher name must have 1 to %d bytes", maxNameBytes)
	}
	m := &Machine{
		settings: s, now: now, lastTick: now, lastContact: now, rng: rand.New(rand.NewPCG(s.Seed, 0x7265706c)), vec: newVector(),
		internedNames: map[string]string{}, members: map[string]Member{}, reportedOwn: map[uint64]uint64{}, logs: map[epochKey]*writeLog{},
		acksDue: map[string]map[uint64]bool{}, blockedSince: map[epochKey]float64{}, kindReports: map[string]kindReport{}, overridden: map[string][]Dot{}, epoch: 1, headerDirty: true, nextRound: now, pullRefilledAt: now, lastPullStart: now - 1e9,
	}
	m.pullTokens, m.serveTokens, m.serveRefilledAt, m.bootID = s.CatchUpRate, s.CatchUpRate, now, m.rng.Uint64()|1
	for _, k := range s.Kinds {
		if k.ID == 0 || m.kinds[k.ID] != nil || k.MaxRecords <= 0 || k.MaxBytes <= 0 || k.MaxRecordBytes <= 0 || k.MaxRecordBytes > MaxRecordBytes {
			return nil, fmt.Errorf("replication: kind %d %q needs a unique ID above 0, limits above 0 and a maximum record size of at most %d bytes", k.ID, k.Name, MaxRecordBytes)
		}
		m.kinds[k.ID] = &kindStore{Kind: k, byKey: map[string]*entry{}, tree: newHashTree()}
		m.kindIDs = append(m.kindIDs, k.ID)
	}
	slices.Sort(m.kindIDs)
	if saved == nil || saved.WriterEpoch == 0 { // there is no disk, or it is empty
		// Guards against reusing the epochs of a lost disk, whose last writes only some members may know.
		m.epoch = 1 + uint64(m.rng.Uint32()>>1)
		return m, nil
	}
	m.epoch, m.vec, m.beyondHorizon = saved.WriterEpoch+1, vectorFrom(saved.Vector), saved.SinceLastContact > s.Horizon
	m.lastContact = now - saved.SinceLastContact
	for _, id := range saved.IncompleteKinds {
		if m.setIncomplete(id, true); m.kinds[id] == nil {
			m.unknown[id] = true
		}
	}
	m.incompleteDirty = false
	for _, c := range saved.Records {
		if id := c.Record.Kind; m.kinds[id] == nil { // the kind belongs to a later version; its records stay on the disk for that
			m.noteDropped(id)
			m.storedUnknown[id] = true
			continue
		}
		if err := m.checkRecord(&c, false); err != nil {
			return nil, fmt.Errorf("replication: saved record: %w", err)
		}
		m.merge(c)
	}
	for _, e := range m.dirty {
		e.dirty = false
	}
	m.dirty, m.newConflicts = nil, nil
	if w := m.vec.writers[s.Name]; w != nil {
		for _, k := range w.marks {
			m.epoch = max(m.epoch, k.epoch+1)
		}
	}
	return m, nil
}

// SetFleet sets the members that this machine exchanges messages with. Step rejects messages of all others. now is in seconds.
func (m *Machine) SetFleet(f Fleet, now float64) {
	m.now = max(m.now, now)
	m.fleet = f
	maps.DeleteFunc(m.kindReports, func(n string, _ kindReport) bool { _, ok := m.members[n]; return !ok })
	m.fleet.Others = slices.DeleteFunc(slices.Clone(f.Others), func(o Member) bool { return o.Name == m.settings.Name })
	slices.SortFunc(m.fleet.Others, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	previous, returned := m.members, false
	m.members = make(map[string]Member, len(f.Others))
	for _, o := range m.fleet.Others {
		m.members[o.Name] = o
		returned = returned || o.Alive && !previous[o.Name].Alive
	}
	if returned { // start a new round, so that two halves of a healed partition exchange vectors at once and not after a round within the own half
		m.roundMembers = nil
	}
	if !m.heardVector {
		m.nextRound = m.now
	}
}

// awaitingFirstContact reports whether other members may know writes that are missing here because none has sent its vector yet. It also covers the
// time before any member is known: a dispatcher that restarted from an old copy of its disk would then take itself for the whole fleet and give new
// writes the numbers of earlier ones. A dispatcher without other members proceeds only if its fleet has a quorum.
func (m *Machine) awaitingFirstContact() bool {
	return !m.heardVector && (len(m.fleet.Others) > 0 || !m.fleet.HasQuorum)
}

// canWrite reports whether all earlier writes of this dispatcher are known.
func (m *Machine) canWrite() bool {
	if m.awaitingFirstContact() {
		return false
	}
	for epoch, n := range m.reportedOwn {
		if m.vec.numberAt(m.settings.Name, epoch) < n {
			return false
		}
	}
	return true
}

// catchingUp reports whether the records here may be far behind the fleet.
func (m *Machine) catchingUp() bool {
	return m.pull != nil && m.pull.snapshot || m.awaitingFirstContact() || m.beyondHorizon
}

// Write writes a value for a key, or a tombstone if deleted is set. Ready returns the outcome, which is valid once the Save of the same Ready is
// persisted. now is in seconds. A write that is rejected returns one of the Err values of this package or the error of Kind.Check.
func (m *Machine) Write(now float64, kind uint8, key string, value []byte, deleted bool, concern WriteConcern) (Dot, error) {
	m.now = max(m.now, now)
	s := m.kinds[kind]
	switch {
	case s == nil:
		return Dot{}, ErrUnknownKind
	case key == "" || len(key)+len(value) > s.MaxRecordBytes:
		return Dot{}, ErrTooLong
	case m.unpersisted:
		return Dot{}, ErrUnpersisted
	case !m.canWrite():
		return Dot{}, ErrCatchingUp
	case concern.Level == LevelMajority && !m.fleet.HasQuorum:
		return Dot{}, ErrNoQuorum
	}
	if s.Check != nil && !deleted {
		if err := s.Check(key, value); err != nil {
			return Dot{}, err
		}
	}
	r := Record{Kind: kind, Key: key, Value: slices.Clone(value), Deleted: deleted, Dot: Dot{m.settings.Name, m.epoch, m.vec.numberAt(m.settings.Name, m.epoch) + 1}}
	e, more := s.byKey[key], size(&r)
	if e != nil {
		if m.compareRecords(s, &r, &e.record) <= 0 {
			return Dot{}, ErrSuperseded
		}
		more -= size(&e.record)
	}
	if e == nil && (len(s.byKey)+1)*localFillDenominator > s.MaxRecords*localFillNumerator || more > 0 && (s.bytes+more)*localFillDenominator > s.MaxBytes*localFillNumerator || len(m.pending) >= maxPending {
		return Dot{}, ErrFull
	}
	e = m.merge(ReplicatedRecord{Record: r})
	m.wroteInEpoch = true
	m.advance(epochKey{m.settings.Name, m.epoch}, r.Dot.Number-1, []*entry{e})
	m.queueFresh(freshInterval{epochKey{m.settings.Name, m.epoch}, r.Dot.Number - 1, concern.Level != LevelLocal, ""})
	p := &pendingWrite{dot: r.Dot, kind: kind, key: key, concern: concern, deadline: m.now + max(concern.Timeout, 0), ackedBy: map[string]bool{}}
	m.pending = append(m.pending, p)
	m.settlePending(false)
	return r.Dot, nil
}

// advance records that the writer's numbers from from+1 on are here, one for each entry, and appends them to the log.
func (m *Machine) advance(k epochKey, from uint64, entries []*entry) {
	k.writer = m.intern(k.writer)
	if !m.vec.raise(k.writer, k.epoch, from+uint64(len(entries))) {
		return
	}
	delete(m.blockedSince, k)
	m.changedEpochs = append(m.changedEpochs, k)
	t := m.logs[k]
	if t == nil || t.base+uint64(len(t.entries)) != from {
		if t == nil {
			t = &writeLog{}
			m.logs[k] = t
		}
		t.base, t.entries = from, nil
	}
	for _, e := range entries {
		t.entries = append(t.entries, e)
		m.logOrder = append(m.logOrder, t)
	}
	for len(m.logOrder) > maxLoggedWrites {
		if o := m.logOrder[0]; len(o.entries) > 0 {
			o.entries, o.base = o.entries[1:], o.base+1
		}
		m.logOrder = m.logOrder[1:]
	}
	if w := m.vec.writers[k.writer]; len(w.marks) > maxEpochs {
		m.removeOldEpochs(k.writer, w, len(w.marks)-maxEpochs)
	}
}

// removeOldEpochs removes the n oldest epochs of a writer from the vector and raises the floor above them.
func (m *Machine) removeOldEpochs(name string, w *writerState, n int) {
	for _, o := range w.marks[:n] {
		m.removedEntries = append(m.removedEntries, VectorEntry{Writer: name, WriterEpoch: o.epoch})
		delete(m.logs, epochKey{name, o.epoch})
	}
	m.vec.update(w, func() {
		w.marks = slices.Clone(w.marks[n:])
		w.floor = w.marks[0].epoch
	})
	m.changedEpochs = append(m.changedEpochs, epochKey{name, w.floor})
}

// queueFresh queues an interval of new writes to be forwarded.
func (m *Machine) queueFresh(n freshInterval) {
	for i := range m.fresh {
		if f := &m.fresh[i]; f.epochKey == n.epochKey {
			f.from, f.ackRequested = min(f.from, n.from), f.ackRequested || n.ackRequested
			if f.sender != n.sender {
				f.sender = ""
			}
			return
		}
	}
	if len(m.fresh) < maxFresh {
		m.fresh = append(m.fresh, n)
	}
}

// buildDelta returns what the log has of a writer's epoch above number from, as far as it fits into room bytes, and its estimated size in bytes.
// belowLog reports that the log does not reach back to that number.
func (m *Machine) buildDelta(k epochKey, from uint64, budget int) (d *Delta, bytes int, belowLog bool) {
	t := m.logs[k]
	if t == nil || from < t.base {
		return nil, 0, true
	}
	if from >= t.base+uint64(len(t.entries)) {
		return nil, 0, from < m.vec.numberAt(k.writer, k.epoch)
	}
	d = &Delta{Writer: k.writer, WriterEpoch: k.epoch, From: from}
	positions, bytes := map[*entry]uint32{}, len(k.writer)+40
	for _, e := range t.entries[from-t.base:] {
		if e == nil || e.removed {
			if len(d.Index) == 0 {
				return nil, 0, true
			}
			break
		}
		i, ok := positions[e]
		if !ok {
			n := messageSize(&e.record)
			if bytes+n > budget && len(d.Index) > 0 {
				break
			}
			bytes += n
			i = uint32(len(d.Records))
			positions[e] = i
			d.Records = append(d.Records, ReplicatedRecord{e.record, e.conflicting, e.omitted})
		} else if bytes+4 > budget {
			break
		}
		bytes += 4
		d.Index = append(d.Index, i)
	}
	return d, bytes, false
}

// messageSize estimates the bytes that a record takes in a message.
func messageSize(r *Record) int { return len(r.Key) + len(r.Value) + len(r.Dot.Writer) + 48 }

// Get returns the current record of a key. It returns false if there is none, or if it is a tombstone or a conflicting record.
func (m *Machine) Get(kind uint8, key string) (Record, bool) {
	if s := m.kinds[kind]; s != nil {
		if e := s.byKey[key]; e != nil && !e.record.Deleted && !e.conflicting {
			return e.record, true
		}
	}
	return Record{}, false
}

// Each calls f for the current records whose keys have a prefix, in the order of the keys, until f returns false. It visits and sorts the whole kind.
func (m *Machine) Each(kind uint8, prefix string, f func(Record) bool) {
	s := m.kinds[kind]
	if s == nil {
		return
	}
	var keys []string
	for k, e := range s.byKey {
		if !e.record.Deleted && !e.conflicting && strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	for _, k := range keys {
		if e := s.byKey[k]; e != nil && !f(e.record) {
			return
		}
	}
}

// Status returns a summary of the machine's state.
func (m *Machine) Status() Status {
	s := Status{
		CatchingUp: m.catchingUp(), Writable: m.canWrite(), WriterEpoch: m.epoch, Writers: len(m.vec.writers), Behind: m.behind, Pending: len(m.pending), LoggedWrites: len(m.logOrder),
		PulledBytes: m.stat.pulled, Pulls: m.stat.pulls, Snapshots: m.stat.snapshots, DigestWalks: m.stat.walks, BadMessages: m.stat.badMessages,
	}
	for _, w := range m.vec.writers {
		s.Entries += len(w.marks)
	}
	for _, id := range m.kindIDs {
		k := m.kinds[id]
		s.Kinds = append(s.Kinds, KindStatus{k.Name, len(k.byKey), k.bytes, k.tombstones, k.conflicting, k.refused, m.incomplete[id]})
	}
	for id, is := range m.unknown {
		if is {
			s.UnknownKinds = append(s.UnknownKinds, id)
		}
	}
	return s
}

func (m *Machine) addEvent(e Event) {
	if e.At = m.now; len(m.events) < maxEvents {
		m.events = append(m.events, e)
	}
}

// kindReport is what a member reports about its kinds in each message.
type kindReport struct{ incomplete, unknown, stored []uint8 }

func (m *Machine) send(to string, msg Message, bytes int) {
	msg.IncompleteKinds, msg.OverriddenWrites = m.incompleteIDs, m.overridden[to]
	for _, id := range m.incompleteIDs {
		if m.unknown[id] {
			msg.UnknownKinds = append(msg.UnknownKinds, id)
		}
		if m.storedUnknown[id] {
			msg.StoredUnknownKinds = append(msg.StoredUnknownKinds, id)
		}
	}
	if m.unpersisted { // nothing may be acknowledged
		if msg.Acks = nil; msg.VectorExchange != nil {
			msg.VectorExchange.Unpersisted = true
		}
		if msg.PullResponse != nil {
			msg.PullResponse.Unpersisted = true
		}
	}
	m.outbox = append(m.outbox, Envelope{To: to, Stream: bytes > messageBudget, Message: msg})
}
