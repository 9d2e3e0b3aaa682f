// Package variant decides by which key a GET of a device class is looked for: its own class's, or that of the class whose answers have
// the same bytes. It stands on evidence: answers of one generation of an object that bore the same proof. It is pure: GETs, answers, purges
// and facts of other dispatchers come in with their time, keys and facts go out.
//
// The invariant, claimed by checkers that know the truth of each variant: without presume no client ever gets bytes of a class that are
// not its own class's in the generation at hand, as far as the proof is one.
package variant

// Proof is what sameness is proven by.
type Proof uint8

// The proofs.
const (
	ByTag    Proof = 1 + iota // a content tag that the operator declares strong
	ByDigest                  // Repr-Digest (RFC 9530)
	ByBody                    // a digest of the body that passed here
)

// Service declares one delivery service. The zero value rewrites nothing.
type Service struct {
	Classes   []string  // device classes, the first of them preferred to stand for others; none: keys as they come
	Proof     Proof     // what proves sameness
	Witnesses int       // independent hosts that must have borne out sameness, 1 at least
	Repeats   bool      // GETs may be repeated (idempotent): others are never rewritten
	Presume   *Presumed // nil where nothing is presumed
	// Fresh is for how long an answer that names no version is evidence (s). No clock is compared: a peer's fact joins only where beats bound
	// its age, and else may split alone. 0: such answers are none. +Inf: contents change with purges only.
	Fresh float64
}

// Presumed is where sameness is presumed for new objects of a group.
type Presumed struct {
	Objects int     // that bore it out, with none against, before it is presumed
	Checks  float64 // least share of GETs that are sent by their own class all the same, over 0
}

// Settings are those of all delivery services, by their number.
type Settings struct {
	Services []Service
	Objects  int // in the table at most
	Parts    int // modules that share the objects between them, and what may wait to be told; 0 for one
	Seed     uint64
	Self     string // the dispatcher's name: facts are by witness
}

// Object names one, or a part of one: each part is evidence by itself, and purges are of the whole.
type Object struct {
	Service int
	Object  uint64
	Part    int
	Group   int
}

// Generation tells answers of one state of an object from others: the newest purge that counts for it, and the version that an origin names.
// A higher purge is a later state.
type Generation struct {
	Purge   uint64 // time of the purge as the change log has it (Unix ms), the same at all dispatchers; 0 for none
	Version uint64 // of the object and not of the variant alone, rising with each change of any of them; 0 where the origin names none
}

// Key is what a GET is looked for by.
type Key struct {
	Class   int    // index of the class that stands; the GET's own where nothing is known
	Own     bool   // it is the GET's own class
	Checks  bool   // sent by its own class to check what is presumed
	Presume bool   // it rests on what is presumed
	Beside  int    // place in the order of hosts by which it is sent, 0 for the class's own: another host then bears the class out
	Told    uint64 // Told as it is now, of declared classes
}

// Answer is what is known of an answer to a forward.
type Answer struct {
	Object     Object
	Class      int        // that was asked of the host
	Beside     int        // place in the order of hosts by which it was sent
	Host       uint32     // witness, by the same number at all dispatchers
	Proof      uint64     // hash of the tag, digest or body; 0 for none
	Generation Generation // purge: Told as it was when the forward began
	Known      uint64     // order of the newest event that whoever sent it had heard by then
	Sent       float64    // when the forward began; 0 where that is not known: then it bears no beat
}

// Fact is what dispatchers tell each other: one class's content of an object in a generation, by one witness.
// Facts of one key are ordered by FactLaw; sameness of two classes is worked out from the facts of both.
type Fact struct {
	Object     Object
	Class      int
	Witness    string // dispatcher and host
	Proof      uint64
	Generation Generation
	Split      bool   // contrary: this class had another content than the one that stood for it
	Splits     uint32 // how often: a flapping object is held apart for longer
	Beat       Beat   // that was known when the forward began, of answers that name no version: readers tell by it how old it is at most
	Stands     uint8  // 1 and the class that stands for it at the teller, 0 for none: dispatchers settle on the first declared
}

// Notice tells that a class was joined to the one that stands for it, or split off it.
type Notice struct {
	Object     Object
	Class      int
	Standing   int // the class's own where it was split off
	Split      bool
	Generation Generation
}
