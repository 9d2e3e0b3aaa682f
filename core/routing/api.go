package routing

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt. Those from Rejected on prove that it was never executed.
const (
	Succeeded      Outcome = iota
	HostFailed             // the host answered with an error
	TimedOut               // the host gave no answer in time
	ConnectionLost         // the connection broke with the request complete
	Canceled               // by the router
	Rejected               // by the host, or for want of our own resources
	Unreachable            // no connection, or one that broke before the request was complete
	ArrivedLate            // the host dropped it unheard, as too little time was left
	NotCached              // the host or the source has no copy, and did not fill
	Withdrawn              // before anything of it was sent, as an update forbade it: it tells nothing of a host
)

// Note says what a result tells of a hit or a fill.
type Note int

// The notes. Those from SourceRejected on tell of a fill that failed.
const (
	NoNote Note = iota
	CacheHit
	Filled         // from a parent
	FilledByOrigin // from the origin, itself or behind a parent
	FillCoalesced  // with another request's fill
	StaleHit
	SourceRejected
	SourceFailed
	SourceNotCached
	FillsExhausted // the cache has no capacity for a fill
	OriginFailed
)

// Phase is what the endpoint list says of a host.
type Phase int

// The phases of a host.
const (
	Removed Phase = iota
	Ready
	Draining
)

// Endpoint is one entry of an endpoint list.
type Endpoint struct {
	ID               uint32
	Zone, Kind, Cell int
	Phase            Phase
	Weight           float64
	OnlineSince      float64 // s; on the router's clock
	OnlineSinceKnown bool
}

// ListKind tells what an endpoint list is.
type ListKind int

// The kinds of lists.
const (
	ListChanges  ListKind = iota // entries that have changed
	ListComplete                 // all entries
	ListCached                   // all entries, as of an earlier moment
	ListFailed                   // a poll that failed
)

// Request is one request as a client sends it.
type Request struct {
	ID          uint32
	Service     int // index into Settings.Services
	Object      string
	Group, Part int
	Deadline    float64 // s; when the client leaves, on the router's clock
	SizeKB      float64 // 0 where it is not known
}

// Attempt is what a host is asked to do with a request.
type Attempt struct {
	RequestID     uint32
	Host, Source  uint32  // the source of a fill; the host itself where it is not to fill
	CachePriority int     // 0: the copy is not cached
	MaxAge        float64 // s; 0: what the delivery service allows
	Coalesce      bool    // a fill may be shared with other requests
	Revalidate    bool
	CachedOnly    bool // the source gives only what it has cached
	// s; when its first byte must be out, on the router's clock: while hosts recognize a repeat, and the
	// request is not given up
	SendBy float64
}

// AttemptResult is how one attempt ended.
type AttemptResult struct {
	RequestID uint32
	Attempt   int // its number, from 0 in the order of Actions.Forward
	Outcome   Outcome
	Elapsed   float64 // s; since it was sent
	// s; of it the fill waited for its source's first byte, or until that failed; 0 where it is not known
	FillWait float64
	SizeKB   float64 // of the bytes that came; 0 where it is not known
	Final    bool    // the client has its answer
	Note     Note
	// as reported: transfers into the host's zone over those that fit at full pace, 0 for none
	IngressLoad float64
}

// Actions carries a router's decisions out. Its methods are called from within the router's own, and must not
// call back.
type Actions interface {
	// Forward sends an attempt. The number of an attempt is the count of those before it for the same
	// request.
	Forward(a Attempt)
	// Cancel ends an attempt; its result is still expected.
	Cancel(requestID uint32, attempt int)
	// Shed answers a request as rejected with no effect; the client may come back after some seconds, 0 for
	// none.
	Shed(requestID uint32, retryAfter float64)
	// Fail answers a request as failed: it may have had an effect.
	Fail(requestID uint32)
	// Schedule asks for HandleTimer after some seconds.
	Schedule(delay float64, cookie string)
	// PollEndpoints asks for the endpoint list.
	PollEndpoints()
	// HostEjected and HostRecovered tell of a change in a host's health, for the log.
	HostEjected(host uint32)
	HostRecovered(host uint32)
}
