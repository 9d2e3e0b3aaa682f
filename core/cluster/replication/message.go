package replication

// Message is what one member sends to another. Each part may be absent. An encoded message is shorter than MaxMessageBytes, or shorter than
// MaxStreamBytes if Envelope.Stream is set.
type Message struct {
	Deltas          []Delta            `cbor:"1,keyasint,omitempty"`
	Acks            []VectorEntry      `cbor:"2,keyasint,omitempty"` // the receiver's own writes that the sender has persisted
	IncompleteKinds []uint8            `cbor:"3,keyasint,omitempty"` // kinds of which the sender dropped records because it was full or does not know the kind; its vector and acks do not cover these kinds
	VectorExchange  *VectorExchange    `cbor:"4,keyasint,omitempty"`
	PullRequest     *PullRequest       `cbor:"5,keyasint,omitempty"`
	PullResponse    *PullResponse      `cbor:"6,keyasint,omitempty"`
	Conflicting     []ReplicatedRecord `cbor:"7,keyasint,omitempty"` // records of which two contents were found under one dot

	UnknownKinds       []uint8 `cbor:"8,keyasint,omitempty"`  // those of IncompleteKinds that the sender's program does not know
	StoredUnknownKinds []uint8 `cbor:"9,keyasint,omitempty"`  // those of UnknownKinds of which the sender's disk still has records, from a program that knew them
	OverriddenWrites   []Dot   `cbor:"10,keyasint,omitempty"` // writes of the receiver over which a tombstone wins at the sender, so that its acks do not count for them
}

// ReplicatedRecord is a record as it is sent and persisted.
type ReplicatedRecord struct {
	Record      Record `cbor:"1,keyasint"`
	Conflicting bool   `cbor:"2,keyasint,omitempty"` // another content was received under the same dot; nobody uses the record
	Omitted     bool   `cbor:"3,keyasint,omitempty"` // used in deltas only: the sender dropped a record of this kind, and only a receiver that also drops the kind can apply the delta past it
}

// Delta is an interval of a writer's numbers From+1, From+2 and so on. Each number names a key and carries the current record of that key, which
// may be a write of another writer. So a member that applied a delta has, for every dot that its vector covers, that record or a higher one.
type Delta struct {
	Writer       string             `cbor:"1,keyasint"`
	WriterEpoch  uint64             `cbor:"2,keyasint"`
	From         uint64             `cbor:"3,keyasint"`
	Index        []uint32           `cbor:"4,keyasint"` // position in Records of each number, so that a key written several times is sent once
	Records      []ReplicatedRecord `cbor:"5,keyasint"`
	AckRequested bool               `cbor:"6,keyasint,omitempty"` // the writer waits for acks of these writes
}

// VectorExchange reports what the sender has and asks for what it lacks. A request carries a digest of the vector, which has the same size for 3
// writers as for 3,000. If the vectors are equal, the receiver responds with VectorSum and ContentSum only. Otherwise it sends its entries of the
// buckets that differ, and the first member responds with its own entries of them. Each of the two adds deltas of what the other lacks.
type VectorExchange struct {
	Vector      Vector `cbor:"1,keyasint,omitempty"` // entries of the writers in Buckets
	ContentSum  uint64 `cbor:"2,keyasint,omitempty"` // sum over the current records; equal vectors should give equal sums
	IsResponse  bool   `cbor:"3,keyasint,omitempty"` // no further response is expected
	PullNeeded  bool   `cbor:"4,keyasint,omitempty"` // the sender's log no longer reaches back far enough for deltas, so the receiver has to pull
	VectorSum   uint64 `cbor:"5,keyasint,omitempty"` // of the sender's whole vector
	Salt        uint64 `cbor:"6,keyasint,omitempty"`
	Digest      []byte `cbor:"7,keyasint,omitempty"` // in a request only: one salted byte for each bucket of writers
	Buckets     []byte `cbor:"8,keyasint,omitempty"` // buckets that Vector covers, in ascending order
	Unpersisted bool   `cbor:"9,keyasint,omitempty"` // part of the vector is not on the sender's disk, so it acknowledges nothing
}

// Range is a part of the key hash space: all hashes whose upper 4*Depth bits equal Prefix.
type Range struct {
	Depth  uint8  `cbor:"1,keyasint"`
	Prefix uint64 `cbor:"2,keyasint"`
}

// PullRequest asks for one step of a catch-up. The requester keeps all the state of the catch-up, and the source keeps none.
type PullRequest struct {
	ID         uint64   `cbor:"1,keyasint"`
	WantVector bool     `cbor:"2,keyasint,omitempty"`
	SumRanges  []Range  `cbor:"3,keyasint,omitempty"` // ranges for whose children the sums are wanted
	ListRanges []Range  `cbor:"4,keyasint,omitempty"` // ranges whose records are to be listed
	KeyHashes  []uint64 `cbor:"5,keyasint,omitempty"` // key hashes of the records that are wanted
	Snapshot   bool     `cbor:"6,keyasint,omitempty"` // a piece of the whole snapshot is wanted, from FromHash on
	FromHash   uint64   `cbor:"7,keyasint,omitempty"`
	Kinds      []uint8  `cbor:"8,keyasint,omitempty"` // kinds that the request covers
}

// PullResponse is the response to a PullRequest.
type PullResponse struct {
	ID          uint64             `cbor:"1,keyasint"`
	Vector      Vector             `cbor:"2,keyasint,omitempty"`
	Sums        []RangeSums        `cbor:"3,keyasint,omitempty"`
	Lists       []RangeListing     `cbor:"4,keyasint,omitempty"`
	Records     []ReplicatedRecord `cbor:"5,keyasint,omitempty"`
	KeyHashes   []uint64           `cbor:"6,keyasint,omitempty"` // those of PullRequest.KeyHashes that Records answers; the rest has to be requested again
	Snapshot    bool               `cbor:"7,keyasint,omitempty"`
	NextHash    uint64             `cbor:"8,keyasint,omitempty"`  // Records holds every record from FromHash up to this hash, exclusive
	Done        bool               `cbor:"9,keyasint,omitempty"`  // the piece reaches to the end of the hash space
	Unpersisted bool               `cbor:"10,keyasint,omitempty"` // as in VectorExchange
	Kinds       []uint8            `cbor:"11,keyasint,omitempty"` // sent with Vector: the kinds that the sender knows
	BootID      uint64             `cbor:"12,keyasint,omitempty"` // random number drawn at the sender's start; a restarted source counts as another source
}

// RangeSums holds the content sum and the number of records of each of the sixteen children of a range.
type RangeSums struct {
	Range  Range    `cbor:"1,keyasint"`
	Sums   []uint64 `cbor:"2,keyasint"`
	Counts []uint32 `cbor:"3,keyasint"`
}

// RangeListing lists all records of a range by key hash and content sum.
type RangeListing struct {
	Range       Range    `cbor:"1,keyasint"`
	KeyHashes   []uint64 `cbor:"2,keyasint"`
	ContentSums []uint64 `cbor:"3,keyasint"`
}

// Envelope is a message to be sent. The network may lose, duplicate or delay it.
type Envelope struct {
	To      string // name of the member
	Stream  bool   // the message may exceed MaxMessageBytes and has to go over a stream
	Message Message
}

// VectorEntry states that all numbers of a writer's epoch up to Number are here, each as its own record or as a higher one of the same key.
type VectorEntry struct {
	Writer          string `cbor:"1,keyasint" json:"writer"`
	WriterEpoch     uint64 `cbor:"2,keyasint" json:"era"`
	Number          uint64 `cbor:"3,keyasint" json:"number"`
	EarlierComplete bool   `cbor:"4,keyasint,omitempty" json:"floor"` // all writes of the writer's earlier epochs are covered too
}

// Vector lists what a member has of each writer, in ascending order of writer and epoch.
type Vector []VectorEntry

// RecordKey identifies a record by its kind and key.
type RecordKey struct {
	Kind uint8
	Key  string
}

// Save is what has to be persisted atomically, before anything else of the same Ready is sent or reported.
type Save struct {
	WriterEpoch      uint64
	Records          []ReplicatedRecord // each replaces the stored record of the same kind and key
	Removed          []RecordKey
	Vector           []VectorEntry // changed entries; each replaces the stored entry of the same writer and epoch
	RemovedEntries   []VectorEntry // entries to delete; only Writer and WriterEpoch are set
	IncompleteKinds  []uint8       // replaces the stored list: kinds that the vector does not cover
	SinceLastContact float64       // seconds since the last contact with the fleet; replaces the stored value
	Sync             bool
}

// SavedState is what a disk held: the result of all saves applied in order.
type SavedState struct {
	WriterEpoch      uint64
	Vector           Vector
	Records          []ReplicatedRecord
	IncompleteKinds  []uint8
	SinceLastContact float64 // seconds since the last contact with the fleet, +Inf if unknown; if longer than Settings.Horizon, a whole snapshot is pulled
}

// Event is something that an operator should know of.
type Event struct {
	At     float64 // seconds, as the machine's now
	Type   string  // "aside", "twin", "catching up", "caught up", "full" or "strange"
	Kind   uint8
	Key    string
	Member string
	Dot    Dot
}

// Ready is what the driver has to do now: persist Save first, then handle the rest in any order.
type Ready struct {
	Save     *Save
	Send     []Envelope
	Changed  []Record // new current records; a record that disappeared is given as Deleted
	Outcomes []Outcome
	Events   []Event
}

// KindStatus holds the counts of one kind.
type KindStatus struct {
	Kind        string `json:"kind"`
	Records     int    `json:"records"`
	Bytes       int    `json:"bytes"`
	Tombstones  int    `json:"tombstones"`
	Conflicting int    `json:"aside"`
	Refused     int    `json:"refused"` // records of other members that were refused because the kind was full
	Incomplete  bool   `json:"lacks"`   // records were dropped and have not been pulled since
}

// Status is a summary of a machine's state.
type Status struct {
	Kinds        []KindStatus `json:"kinds"`
	CatchingUp   bool         `json:"catching_up"` // known records may only be used to restrict what this dispatcher does
	Writable     bool         `json:"writes"`      // all earlier writes of this dispatcher are known, so Write may succeed
	WriterEpoch  uint64       `json:"era"`
	Writers      int          `json:"writers"`
	Entries      int          `json:"entries"` // of the version vector
	LoggedWrites int          `json:"log"`     // numbers that are kept for deltas
	Behind       int          `json:"behind"`  // writes that the last received vector covers and this member lacks
	Pending      int          `json:"pending"` // writes whose outcome has not been reported yet
	PulledBytes  uint64       `json:"pulled_bytes"`
	Pulls        uint64       `json:"pulls"`
	Snapshots    uint64       `json:"whole_snapshots"`
	DigestWalks  uint64       `json:"digest_walks"`
	BadMessages  uint64       `json:"bad_messages"`
	UnknownKinds []int        `json:"strange_kinds"` // kinds that other members write and this program does not know
}
