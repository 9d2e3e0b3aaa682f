// Package channel implements ordered streams of notices between clients of the fleet. Each channel delivers its entries in the order that its
// declaration promises, at every dispatcher and across reconnections of writers and readers. Entries are records of package replication. Total
// order also needs a sequencer, which is the dispatcher that holds the channel's duty, and the voters' log. The package does no I/O and reads no
// clock: callers pass in records, requests and the time, and carry out what Machine.Ready returns.
package channel

// Order is the delivery order that a channel promises to its readers.
type Order uint8

// The orders from the weakest to the strongest; a reader may ask for the declared order or a weaker one. Each order also gives the guarantees of
// the orders before it, except that BySender and Causal do not include ByKey.
const (
	Latest   Order = 1 + iota // the newest entry of each key; older entries may be skipped
	ByKey                     // entries of one key in the order of each writer's numbers; the merge order ranks entries of different writers
	BySender                  // entries of one writer in the order in which it wrote them
	Causal                    // an entry follows everything that its writer had seen or written before it
	Total                     // one order for all readers
)

func (o Order) String() string {
	return [...]string{"", "latest", "key", "sender", "causal", "total"}[min(o, Total)]
}

// Declaration is what a channel promises in one generation. The voters agree on it, and every reader sees a change of it at the same entry.
type Declaration struct {
	Name                string  `cbor:"1,keyasint" json:"Name"`
	Generation          uint64  `cbor:"2,keyasint" json:"Generation"`
	Order               Order   `cbor:"3,keyasint" json:"Order"`
	AllowGaps           bool    `cbor:"4,keyasint,omitempty" json:"Told"`    // readers may miss entries and are notified of each gap; false promises that there are no gaps
	AllowRepeats        bool    `cbor:"5,keyasint,omitempty" json:"Repeats"` // readers may be given an entry twice; false promises no repeats within the retained entries
	RetainedEntries     int     `cbor:"6,keyasint" json:"Entries"`           // how many entries are retained
	RetainedBytes       int     `cbor:"7,keyasint" json:"Bytes"`             // how many bytes of entries are retained
	RetainedSeconds     float64 `cbor:"8,keyasint" json:"Seconds"`           // seconds for which an entry is retained
	OrderWait           float64 `cbor:"9,keyasint" json:"Wait"`              // seconds for which a reader waits for missing entries before it is notified
	DisconnectSlow      bool    `cbor:"10,keyasint,omitempty" json:"Slow"`   // a reader that falls behind is cut off; otherwise it is notified of a gap
	WriterExpiry        float64 `cbor:"11,keyasint,omitempty" json:"Forget"` // seconds of silence after which a writer's name is forgotten, once none of its entries is retained; 0 for never
	Withdrawn           bool    `cbor:"12,keyasint,omitempty" json:"End"`    // the channel is withdrawn: readers are notified, writes are refused, and all retained entries are deleted
	WithdrawnGeneration uint64  `cbor:"13,keyasint,omitempty" json:"Since"`  // generation of the last withdrawal, 0 if there was none; set by the ledger. Entries accepted in that or an earlier generation are void
	FirstOffset         uint64  `cbor:"14,keyasint,omitempty" json:"Place"`  // in total order, the first offset after the last withdrawal; set by the ledger
}

// ForgottenWriter is a writer whose name the voters agreed to forget. No entry of it up to Number is retained, and positions do not name it.
type ForgottenWriter struct {
	Writer   string `cbor:"1,keyasint" json:"Writer"`
	Number   uint64 `cbor:"2,keyasint" json:"Number"`          // number of the writer's last entry
	Clock    uint64 `cbor:"3,keyasint,omitempty" json:"Clock"` // clock of the writer's last entry
	Sequence uint64 `cbor:"4,keyasint,omitempty" json:"At"`    // counts the forgotten writers of all channels from 1; set by the ledger
}

// ForgottenWriters lists the forgotten writers of a channel. Only the most recent ones are in the list; a writer in the list can write again as if
// it had never been forgotten.
type ForgottenWriters struct {
	Channel        string            `cbor:"1,keyasint" json:"Channel"`
	Writers        []ForgottenWriter `cbor:"2,keyasint,omitempty" json:"Gone"`   // sorted by Sequence
	EvictedThrough uint64            `cbor:"3,keyasint,omitempty" json:"Rolled"` // forgotten writers with a Sequence up to this one are no longer listed
	EvictedClock   uint64            `cbor:"4,keyasint,omitempty" json:"Clock"`  // highest clock of the writers no longer listed: an entry whose clock is not higher may be from one of them
}

// Entry is one notice of a channel.
type Entry struct {
	Channel string `cbor:"1,keyasint" json:"Channel"`
	Key     string `cbor:"2,keyasint,omitempty" json:"Key"`
	Writer  string `cbor:"3,keyasint" json:"Writer"` // a client of the fleet, not a dispatcher
	Number  uint64 `cbor:"4,keyasint" json:"Number"` // counts the writer's entries from 1
	// After holds, for each writer, the highest number that this entry's writer had seen or written before it. It is used only in causal order.
	After map[string]uint64 `cbor:"5,keyasint,omitempty" json:"After"`
	// Epoch and Offset are set by the sequencer of a channel in total order and are 0 otherwise.
	Epoch  uint64 `cbor:"6,keyasint,omitempty" json:"Epoch"`
	Offset uint64 `cbor:"7,keyasint,omitempty" json:"Place"`
	Body   []byte `cbor:"8,keyasint,omitempty" json:"Body"`
	// Clock decides which of several writers' entries is newer. A writer sets it above every clock that it has seen in the channel and never
	// lowers it, or leaves it 0 if it keeps no clock. The writer sets it, so that it stays the same when the entry is sent again elsewhere.
	Clock uint64 `cbor:"12,keyasint,omitempty" json:"Clock"`
	// Incarnation is the declaration's WithdrawnGeneration. It separates the entries of a channel from those of an earlier channel that was
	// withdrawn under the same name. The dispatcher that accepts the entry sets it.
	Incarnation uint64 `cbor:"13,keyasint,omitempty" json:"Life"`
	// The dispatcher that accepts the entry or, in total order, the sequencer also sets the remaining fields.
	Generation uint64 `cbor:"9,keyasint,omitempty" json:"Generation"` // generation of the declaration under which the entry was accepted
	EpochStart uint64 `cbor:"10,keyasint,omitempty" json:"Since"`     // in total order, the first offset of the entry's epoch; entries of older epochs from this offset on are void
	Stamp      uint64 `cbor:"11,keyasint,omitempty" json:"Stamp"`     // above every stamp that the writing dispatcher knew in the channel, so that a rewritten entry wins over its earlier record
}

// Position says how far a reader has come in a channel. Its token can be used at every dispatcher.
type Position struct {
	Channel          string            `cbor:"1,keyasint"`
	Generation       uint64            `cbor:"2,keyasint"`
	Epoch            uint64            `cbor:"3,keyasint,omitempty"` // in total order, the sequencer's epoch of the entry at Offset
	Offset           uint64            `cbor:"4,keyasint,omitempty"` // in total order, the last offset that the reader has seen
	Seen             map[string]uint64 `cbor:"5,keyasint,omitempty"` // in the other orders, the highest number seen of each writer
	ForgottenThrough uint64            `cbor:"6,keyasint,omitempty"` // every forgotten writer up to this Sequence that Seen does not name was seen to its last number
	EndedGeneration  uint64            `cbor:"7,keyasint,omitempty"` // generation of the withdrawal that the reader was notified of; later entries belong to a new channel of the same name
}

// EventKind is the kind of event that a Notification reports to a reader.
type EventKind uint8

// The kinds of events.
const (
	EventEntry              EventKind = 1 + iota // an entry
	EventGap                                     // entries were skipped; only for declarations that allow gaps
	EventReset                                   // the position is in an epoch that was lost: the reader has to start over
	EventBehind                                  // this dispatcher did not reach the reader's position, or what it waits for did not come, within OrderWait: the reader should go to another dispatcher
	EventCutOff                                  // the reader was too slow or away for longer than entries are retained: it has to start over
	EventDeclarationChanged                      // the declaration changes at this point
	EventEnded                                   // the channel was withdrawn: nothing follows
)

// Notification is one event that a reader is given.
type Notification struct {
	Kind        EventKind
	Entry       *Entry
	Position    string   // token of the position after this event
	From, To    uint64   // the numbers or offsets that a gap spans; 0 where they are not known
	Writer      string   // the writer whose entries a gap skips
	Dispatchers []string // other live dispatchers, for EventBehind
	Generation  uint64
	Late        bool // a newer entry of the same key by the merge order was delivered before this one, for example after a network partition
}

// Kinds of replication records that channels use.
const (
	EntryKind  = 3 // key: channel, writer, number and incarnation, or channel, offset and epoch; value: the entry
	WriterKind = 4 // key: channel, writer and incarnation; value: the highest number of the writer that is no longer retained; in a tombstone, the number up to which the writer is forgotten
)
