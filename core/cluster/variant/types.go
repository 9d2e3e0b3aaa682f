// Package variant chooses the cache key by which a GET of a device class is requested: the key of its own class,
// or that of another class whose answers have the same bytes. The choice rests on evidence, which is answers of
// one generation of an object that had the same content hash. The package does no I/O and reads no clock: callers
// pass in GETs, answers, purges and the facts of other dispatchers with their times, and receive keys and facts.
//
// Invariant, tested by checkers that know the content of every variant: without a presumption, no client receives
// bytes that differ from its own class's content in the current generation, as far as equal content hashes prove
// equal content.
package variant

// ProofKind is the part of an answer whose equality proves that two contents are the same.
type ProofKind uint8

// The kinds of proof.
const (
	ProofByTag    ProofKind = 1 + iota // a content tag that the operator declares strong
	ProofByDigest                      // the Repr-Digest field (RFC 9530)
	ProofByBody                        // a digest of the body as it passed through this dispatcher
)

// Service is the declaration of one delivery service. With the zero value, every GET keeps the key of its own
// class.
type Service struct {
	Classes     []string     // device classes; the first is preferred as the canonical class of others; empty: keys are left unchanged
	Proof       ProofKind    // what proves that contents are the same
	Witnesses   int          // independent hosts that must confirm a class's content before it is joined, at least 1
	Idempotent  bool         // the service's GETs may be repeated; GETs of other services are never rewritten
	Presumption *Presumption // nil if nothing is presumed
	// EvidenceTTL is how long an answer that names no version counts as evidence, in seconds. Clocks are never
	// compared: a peer's fact joins classes only if stamps bound its age, and otherwise can only split them. At 0
	// such answers are no evidence. With +Inf, contents are known to change with purges only.
	EvidenceTTL float64
}

// Presumption says when classes are presumed to have the same content for new objects of a group.
type Presumption struct {
	MinObjects    int     // objects that must have shown the two classes equal, with none that showed them different
	MinCheckShare float64 // least share of GETs that still go by their own class as a check, above 0 and at most 1
}

// Settings are the settings of one dispatcher. A service's number is its index in Services.
type Settings struct {
	Services   []Service
	MaxObjects int // entries in the table
	Partitions int // modules that divide the objects between them; the limits of waiting facts and notices are divided by it; 0 means 1
	Seed       uint64
	Self       string // name of this dispatcher, which is part of its witnesses' names
}

// Object names an object or one part of it. Each part has evidence of its own, but a purge covers all parts.
type Object struct {
	Service int
	ID      uint64
	Part    int
	Group   int
}

// Generation distinguishes the states of an object by the newest purge that covers it and by the version that the
// origin names. A higher purge means a later state.
type Generation struct {
	Purge   uint64 // time of the purge in the change log (Unix ms), equal at all dispatchers; 0 for none
	Version uint64 // version of the object as a whole, which rises with each change of any variant; 0 if the origin names none
}

// Key is the decision about how a GET is requested.
type Key struct {
	Class     int    // index of the class that is requested; the GET's own class if nothing is known
	Own       bool   // Class is the GET's own class
	Check     bool   // sent by its own class to check a join or a presumption
	Presumed  bool   // the decision rests on a presumption
	Alternate int    // number of the alternate placement, which leads to another host and so to a further witness; 0 for the class's own placement
	Purge     uint64 // the object's PurgeFloor at the decision; set for declared classes only
}

// Answer describes an answer to a forward.
type Answer struct {
	Object      Object
	Class       int        // class that the host was asked for
	Alternate   int        // number of the alternate placement by which the forward was sent
	Host        uint32     // number of the host, equal at all dispatchers; the witness
	ContentHash uint64     // hash of the tag, digest or body; 0 for none
	Generation  Generation // its Purge is the object's PurgeFloor when the forward began
	KnownEvent  uint64     // number of the newest event that the sender had received when the forward began
	SentAt      float64    // when the forward began, in seconds; 0 if unknown, and then the answer gets no stamp
}

// Fact is a statement that dispatchers exchange: the content of one class of an object in one generation, as seen
// by one witness. FactMergeOrder decides between facts of one key. Whether two classes are the same follows from
// the facts of both.
type Fact struct {
	Object      Object
	Class       int
	Witness     string // dispatcher and host
	ContentHash uint64
	Generation  Generation
	Split       bool   // the class had a content that contradicts what was known of it
	SplitCount  uint32 // how often the class was split off; a class that flaps is held apart for longer
	Stamp       Stamp  // stamp known when the forward began, set for answers that name no version; readers derive an upper bound of the answer's age from it
	Canonical   uint8  // 1 + the sender's canonical class for this class, 0 for none; dispatchers converge on the class declared first
}

// Notice reports that a class was joined to its canonical class or split off from it.
type Notice struct {
	Object     Object
	Class      int
	Canonical  int // the class itself after a split
	Split      bool
	Generation Generation
}
