// Package channel keeps streams of notices in the order that their declaration names, at every dispatcher and over reconnections of
// writers and readers. It stands on replica (entries are records that spread) and, for total order, on a duty's token and the voters' log. It is
// pure: entries, readers and time come in, what is to be written and shown goes out.
package channel

// Order is how entries of a channel are put in order.
type Order uint8

// The orders, from the least to the most that a reader may ask for. Each holds what the one before does, but for Causal and Sender over Key.
const (
	Latest   Order = 1 + iota // the newest of each key, others may be passed over
	ByKey                     // those of one key in the order of their writers' numbers, one writer after the other by the law
	BySender                  // those of one writer in its order
	Causal                    // none before what its writer had seen or written
	Total                     // one order for all
)

func (o Order) String() string {
	return [...]string{"", "latest", "key", "sender", "causal", "total"}[min(o, Total)]
}

// Declaration is what a channel promises, in one generation. It is agreed: readers see it change at one entry.
type Declaration struct {
	Name       string  `cbor:"1,keyasint" json:"Name"`
	Generation uint64  `cbor:"2,keyasint" json:"Generation"`
	Order      Order   `cbor:"3,keyasint" json:"Order"`
	Told       bool    `cbor:"4,keyasint,omitempty" json:"Told"`    // gaps are told; else there are none
	Repeats    bool    `cbor:"5,keyasint,omitempty" json:"Repeats"` // repeats are allowed; else none within what is kept
	Entries    int     `cbor:"6,keyasint" json:"Entries"`           // kept
	Bytes      int     `cbor:"7,keyasint" json:"Bytes"`
	Seconds    float64 `cbor:"8,keyasint" json:"Seconds"`           // kept for
	Wait       float64 `cbor:"9,keyasint" json:"Wait"`              // s that a reader is held back for order before it is told
	Slow       bool    `cbor:"10,keyasint,omitempty" json:"Slow"`   // a slow reader is cut off; else it is told a gap
	Forget     float64 `cbor:"11,keyasint,omitempty" json:"Forget"` // s of silence after which a writer's name goes, once nothing of it is kept; 0 for never
	End        bool    `cbor:"12,keyasint,omitempty" json:"End"`    // the channel is withdrawn: readers are told, writers refused, all that is kept goes
	Since      uint64  `cbor:"13,keyasint,omitempty" json:"Since"`  // generation of the last end, 0 for none; given by the ledger. What was taken under it is void
	Place      uint64  `cbor:"14,keyasint,omitempty" json:"Place"`  // of Total: the first place after that end; given by the ledger
}

// Gone is a writer whose name was let go, as agreed: nothing of it up to its number is kept, nor named in a position.
type Gone struct {
	Writer string `cbor:"1,keyasint" json:"Writer"`
	Number uint64 `cbor:"2,keyasint" json:"Number"` // its last
	Clock  uint64 `cbor:"3,keyasint,omitempty" json:"Clock"`
	At     uint64 `cbor:"4,keyasint,omitempty" json:"At"` // which of all that were let go it is, from 1; given by the ledger
}

// Silent is who was let go in a channel: the last of them are remembered by name, and come back as if they had stayed.
type Silent struct {
	Channel string `cbor:"1,keyasint" json:"Channel"`
	Gone    []Gone `cbor:"2,keyasint,omitempty" json:"Gone"`   // in their order
	Rolled  uint64 `cbor:"3,keyasint,omitempty" json:"Rolled"` // those up to this one are remembered no more
	Clock   uint64 `cbor:"4,keyasint,omitempty" json:"Clock"`  // the highest of those: what is no newer may be theirs
}

// Entry is one notice.
type Entry struct {
	Channel string `cbor:"1,keyasint" json:"Channel"`
	Key     string `cbor:"2,keyasint,omitempty" json:"Key"`
	Writer  string `cbor:"3,keyasint" json:"Writer"` // a client of the fleet, not a dispatcher
	Number  uint64 `cbor:"4,keyasint" json:"Number"` // the writer's own, from 1
	// After is what the writer had seen or written when it wrote: by writer its highest number; of Causal.
	After map[string]uint64 `cbor:"5,keyasint,omitempty" json:"After"`
	// Epoch and Place are given by who puts total order; 0 otherwise.
	Epoch uint64 `cbor:"6,keyasint,omitempty" json:"Epoch"`
	Place uint64 `cbor:"7,keyasint,omitempty" json:"Place"`
	Body  []byte `cbor:"8,keyasint,omitempty" json:"Body"`
	// Clock says which of two is newer, of several writers': above those that the writer had seen in the channel, never falling; 0 if it keeps none.
	// It is the writer's, so that it is the same wherever the entry is sent again.
	Clock uint64 `cbor:"12,keyasint,omitempty" json:"Clock"`
	// Life is the declaration's Since: a name that was withdrawn and declared anew has nothing in common with what it was. Given by who takes the entry in.
	Life uint64 `cbor:"13,keyasint,omitempty" json:"Life"`
	// The rest is given by who takes the entry in, too.
	Generation uint64 `cbor:"9,keyasint,omitempty" json:"Generation"` // of the declaration that it was taken under
	Since      uint64 `cbor:"10,keyasint,omitempty" json:"Since"`     // of Total: the first place of its epoch; what an older epoch has from there on is void
	Stamp      uint64 `cbor:"11,keyasint,omitempty" json:"Stamp"`     // above all that its taker knew in the channel: an entry that is written again stands over itself
}

// Position is how far a reader has come; a token of it is good at every dispatcher.
type Position struct {
	Channel    string            `cbor:"1,keyasint"`
	Generation uint64            `cbor:"2,keyasint"`
	Epoch      uint64            `cbor:"3,keyasint,omitempty"`
	Place      uint64            `cbor:"4,keyasint,omitempty"` // of Total
	Seen       map[string]uint64 `cbor:"5,keyasint,omitempty"` // by writer, else
	Gone       uint64            `cbor:"6,keyasint,omitempty"` // writers let go up to this one are seen to their last number, but for those in Seen
	Ended      uint64            `cbor:"7,keyasint,omitempty"` // generation of the end that was told: all that follows is of a channel declared anew
}

// Word is what a reader is told.
type Word uint8

// The words.
const (
	Shown  Word = 1 + iota // an entry
	Gap                    // entries were passed over; a declaration with gaps told
	Reset                  // the position is of an epoch that is lost: begin anew
	Behind                 // this dispatcher has not come so far within the wait: go to another
	Cut                    // too slow, or away for longer than is kept, where no gap may be: begin anew
	Turned                 // the declaration has changed here
	Ended                  // the channel is withdrawn: nothing follows
)

// Note is what goes to a reader.
type Note struct {
	Word       Word
	Entry      *Entry
	Position   string // token after it
	From, To   uint64 // of a gap, where they can be told
	Writer     string // of a gap
	Where      []string
	Generation uint64
	Late       bool // of an entry: by the law a newer one of its key was shown before it, as after a cut
}

// Kinds of records that channels need of replication.
const (
	EntryKind  = 3 // key: channel, writer, number and life, or channel, place and epoch; value: the entry
	WriterKind = 4 // key: channel, writer and life; value: its highest number that fell out of what is kept. Of a tombstone: up to there it is let go
)
