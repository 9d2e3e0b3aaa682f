package replication

// Message goes between two members. Each part may be absent. It is to be shorter than MostMessage where Stream is not set, than MostStream where it is.
type Message struct {
	Deltas []Delta   `cbor:"1,keyasint,omitempty"`
	Acks   []Entry   `cbor:"2,keyasint,omitempty"` // of the receiver's own writes: what the sender has on its disk
	Lacks  []uint8   `cbor:"3,keyasint,omitempty"` // kinds of which the sender dropped some, being full or not knowing them: its word says nothing of those
	Ask    *Ask      `cbor:"4,keyasint,omitempty"`
	Pull   *Pull     `cbor:"5,keyasint,omitempty"`
	Give   *Give     `cbor:"6,keyasint,omitempty"`
	Aside  []Carried `cbor:"7,keyasint,omitempty"` // found to be two under one dot

	Strange []uint8 `cbor:"8,keyasint,omitempty"`  // of Lacks, those that the sender's program doesn't know
	Holds   []uint8 `cbor:"9,keyasint,omitempty"`  // of Strange, those of which its disk has some all the same: it knew them once
	Fell    []Dot   `cbor:"10,keyasint,omitempty"` // writes of the receiver over which a deletion stands at the sender: its word doesn't count for them
}

// Carried is a record on its way or on the disk.
type Carried struct {
	Record Record `cbor:"1,keyasint"`
	Aside  bool   `cbor:"2,keyasint,omitempty"` // another content came under its dot: used by nobody
	Hole   bool   `cbor:"3,keyasint,omitempty"` // of a delta: the sender dropped what was of this kind, and only who drops it as well can go on over it
}

// Delta is an interval: the keys of a writer's numbers From+1, From+2 and so on, each with what stands for it now, which may be another's write.
// So whoever takes it has, for every dot that its vector then covers, that or a higher record.
type Delta struct {
	Writer  string    `cbor:"1,keyasint"`
	Era     uint64    `cbor:"2,keyasint"`
	From    uint64    `cbor:"3,keyasint"`
	Index   []uint32  `cbor:"4,keyasint"` // of Records, by number: a key that was written often goes once
	Records []Carried `cbor:"5,keyasint"`
	Ack     bool      `cbor:"6,keyasint,omitempty"` // the writer waits to hear who has it
}

// Ask tells what the sender has, and asks for what it lacks. A question bears sums of the vector: as large for 3 writers as for 3,000. Where they
// are equal to the receiver's, it answers with Sum and Live alone; else it sends its entries of the buckets that differ, and those of the first
// come back, each with what the other lacks.
type Ask struct {
	Vector Vector `cbor:"1,keyasint,omitempty"` // entries of the buckets Shown
	Live   uint64 `cbor:"2,keyasint,omitempty"` // sum of what stands: with equal vectors it is to be equal
	Answer bool   `cbor:"3,keyasint,omitempty"` // it answers one: no other is sent back
	Below  bool   `cbor:"4,keyasint,omitempty"` // deltas do not reach the receiver any more: it is to pull
	Sum    uint64 `cbor:"5,keyasint,omitempty"` // of the whole vector
	Salt   uint64 `cbor:"6,keyasint,omitempty"`
	Digest []byte `cbor:"7,keyasint,omitempty"` // of a question: a byte a bucket of writers, salted
	Shown  []byte `cbor:"8,keyasint,omitempty"` // buckets, rising
	Unkept bool   `cbor:"9,keyasint,omitempty"` // some of Vector is not on the sender's disk: it acknowledges nothing
}

// Range is a part of the space of hashes of keys: all that begin with the upper Depth times four bits of Prefix.
type Range struct {
	Depth  uint8  `cbor:"1,keyasint"`
	Prefix uint64 `cbor:"2,keyasint"`
}

// Pull asks for a step of a catch-up. Its sender keeps all state of it; who answers keeps none.
type Pull struct {
	ID     uint64   `cbor:"1,keyasint"`
	Vector bool     `cbor:"2,keyasint,omitempty"`
	Sums   []Range  `cbor:"3,keyasint,omitempty"` // whose children's sums are wanted
	Lists  []Range  `cbor:"4,keyasint,omitempty"` // whose records are to be listed
	Keys   []uint64 `cbor:"5,keyasint,omitempty"` // hashes of keys whose records are wanted
	Whole  bool     `cbor:"6,keyasint,omitempty"` // a piece of all, from After on
	After  uint64   `cbor:"7,keyasint,omitempty"`
	Kinds  []uint8  `cbor:"8,keyasint,omitempty"` // that are asked about
}

// Give answers a Pull.
type Give struct {
	ID      uint64    `cbor:"1,keyasint"`
	Vector  Vector    `cbor:"2,keyasint,omitempty"`
	Sums    []Sums    `cbor:"3,keyasint,omitempty"`
	Lists   []List    `cbor:"4,keyasint,omitempty"`
	Records []Carried `cbor:"5,keyasint,omitempty"`
	Keys    []uint64  `cbor:"6,keyasint,omitempty"` // of Pull.Keys, those that Records answers; the rest is to be asked again
	Whole   bool      `cbor:"7,keyasint,omitempty"`
	Next    uint64    `cbor:"8,keyasint,omitempty"`  // the piece holds all from After up to before it
	Done    bool      `cbor:"9,keyasint,omitempty"`  // or to the end
	Unkept  bool      `cbor:"10,keyasint,omitempty"` // as an Ask's
	Kinds   []uint8   `cbor:"11,keyasint,omitempty"` // with Vector: those that the sender knows
	Life    uint64    `cbor:"12,keyasint,omitempty"` // drawn at the sender's start: of two lives of one name, each is a source of its own
}

// Sums are those of the sixteen children of a range, with how many records each has.
type Sums struct {
	Range Range    `cbor:"1,keyasint"`
	Sums  []uint64 `cbor:"2,keyasint"`
	Count []uint32 `cbor:"3,keyasint"`
}

// List names all records of a range, by the hash of the key and the sum of the content.
type List struct {
	Range Range    `cbor:"1,keyasint"`
	Keys  []uint64 `cbor:"2,keyasint"`
	Sums  []uint64 `cbor:"3,keyasint"`
}

// Envelope is a message on its way out. It may be lost, come twice or late.
type Envelope struct {
	To      string // member's name
	Stream  bool   // longer than MostMessage
	Message Message
}

// Entry says that of a writer's era all up to a number is here, or what stands higher.
type Entry struct {
	Writer string `cbor:"1,keyasint" json:"writer"`
	Era    uint64 `cbor:"2,keyasint" json:"era"`
	Number uint64 `cbor:"3,keyasint" json:"number"`
	Floor  bool   `cbor:"4,keyasint,omitempty" json:"floor"` // so is all of its earlier eras
}

// Vector is what one has of each writer, by writer and era, rising.
type Vector []Entry

// Name names what stands for a key.
type Name struct {
	Kind uint8
	Key  string
}

// Save is what is to be put on the disk in one piece, before anything else of its Ready is sent or told.
type Save struct {
	Era     uint64
	Records []Carried // each replaces that of its name
	Drops   []Name
	Vector  []Entry // that changed: each replaces that of its writer and era
	Folded  []Entry // to be taken off, by writer and era
	Lacks   []uint8 // in place of those before: kinds of which Vector says nothing
	Away    float64 // s since the fleet was heard last; in place of the one before
	Sync    bool
}

// Saved is what a disk held: all saves, one upon the other.
type Saved struct {
	Era     uint64
	Vector  Vector
	Records []Carried
	Lacks   []uint8
	Away    float64 // s since the fleet was heard last; over the horizon a whole snapshot is taken, as where it isn't known: +Inf then
}

// Event is worth telling.
type Event struct {
	At   float64
	What string // "aside", "twin", "catching up", "caught up", "full", "refused", "era"
	Kind uint8
	Key  string
	Who  string
	Dot  Dot
}

// Ready is what is to be done now: Save first, then the rest in any order.
type Ready struct {
	Save     *Save
	Send     []Envelope
	Changed  []Record // what came to stand; a fallen or forgotten one is Dead
	Outcomes []Outcome
	Events   []Event
}

// KindStatus counts a kind.
type KindStatus struct {
	Kind    string `json:"kind"`
	Records int    `json:"records"`
	Bytes   int    `json:"bytes"`
	Dead    int    `json:"tombstones"`
	Aside   int    `json:"aside"`
	Refused int    `json:"refused"` // from others, being full
	Lacks   bool   `json:"lacks"`   // some were dropped, and not brought in since
}

// Status is a machine's state in figures.
type Status struct {
	Kinds      []KindStatus `json:"kinds"`
	CatchingUp bool         `json:"catching_up"` // what is known may narrow, and nothing else
	Writes     bool         `json:"writes"`      // own former writes are known
	Era        uint64       `json:"era"`
	Writers    int          `json:"writers"`
	Entries    int          `json:"entries"` // of the vector
	Log        int          `json:"log"`     // deltas kept
	Behind     int          `json:"behind"`  // writes that another was heard to have, and are not here
	Pending    int          `json:"pending"` // writes whose outcome is open
	Pulled     uint64       `json:"pulled_bytes"`
	Pulls      uint64       `json:"pulls"`
	Wholes     uint64       `json:"whole_snapshots"`
	Walks      uint64       `json:"digest_walks"`
	Bad        uint64       `json:"bad_messages"`
	Strange    []int        `json:"strange_kinds"` // that others write and this program doesn't know
}
