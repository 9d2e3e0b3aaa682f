package routing

// Outcome tells how an attempt ended.
type Outcome int

// These are the outcomes of an attempt. Rejected to Withdrawn prove that the attempt was never executed.
const (
	Succeeded      Outcome = iota
	HostFailed             // the host answered with an error
	TimedOut               // the host did not answer in time
	ConnectionLost         // the connection broke after the request had been sent completely
	Canceled               // by the router
	Rejected               // by the host, or because this process lacks resources
	Unreachable            // no connection could be made, or it broke before the request had been sent completely
	ArrivedLate            // the host dropped the request without executing it because too little time was left
	NotCached              // the host or the source has no copy and did not fill
	Withdrawn              // an endpoint update ruled it out before any byte was sent; it says nothing about a host
	UnusableCopy           // the host answered, but the client must not get its copy; that is no failure of the host
)

// Note tells what a result reveals about a cache hit or a fill.
type Note int

// These are the notes. SourceRejected and all later values describe a fill that failed.
const (
	NoNote Note = iota
	CacheHit
	Filled         // from a parent
	FilledByOrigin // from the origin, either directly or through a parent
	FillCoalesced  // the answer was shared with another request's fill
	StaleHit
	SourceRejected
	SourceFailed
	SourceNotCached
	FillsExhausted // the cache has no capacity for another fill
	OriginFailed
)

// Phase is the state of a host according to the endpoint list.
type Phase int

// These are the phases of a host.
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
	OnlineSince      float64 // seconds on the router's clock; when the host last started
	OnlineSinceKnown bool
}

// ListKind tells what an endpoint list contains.
type ListKind int

// These are the kinds of endpoint lists.
const (
	ListChanges  ListKind = iota // only the entries that have changed
	ListComplete                 // all entries
	ListCached                   // all entries as they were at an earlier time
	ListFailed                   // no entries, because polling the list failed
)

// Request is one request as a client sends it.
type Request struct {
	ID          uint32
	Service     int // index into Settings.Services
	Object      string
	Group, Part int
	Deadline    float64 // seconds on the router's clock; when the client stops waiting
	SizeKB      float64 // 0 if it is unknown
	// ConnectionsUnknown is set if nothing will be known about the connections that its attempts go out over.
	ConnectionsUnknown bool

	keyMissing bool // set by WithoutKey
}

// WithoutKey returns the request with the fact that it bears no key by which hosts could recognize its repeat. Requests of which
// that is not said bear one if their delivery service promises it, as those of the simulated platform do.
func (in Request) WithoutKey() Request {
	in.keyMissing = true
	return in
}

// Attempt tells a host what to do with a request.
type Attempt struct {
	RequestID     uint32
	Host, Source  uint32  // Source is where a miss is filled from; it equals Host if the host must not fill
	CachePriority int     // 0 means that the copy is not cached
	MaxAge        float64 // seconds; maximum age of a copy, or 0 for the limit of the delivery service
	Coalesce      bool    // whether a fill may be shared with other requests
	Revalidate    bool
	CachedOnly    bool // the source may only return what it has cached
	// SendBy is the time, in seconds on the router's clock, by which the first byte of the attempt must be
	// sent. After it, hosts may no longer recognize a repeat, the request has been given up, or a host in slow start
	// may get others in its place.
	SendBy float64
}

// AttemptResult describes how one attempt ended.
type AttemptResult struct {
	RequestID uint32
	Attempt   int // number of the attempt for its request, counted from 0 in the order of Actions.Forward
	Outcome   Outcome
	Elapsed   float64 // seconds since the attempt was sent
	// FillWait is the part of Elapsed, in seconds, during which the fill waited for the first byte from its
	// source or for the source to fail. It is 0 if it is unknown.
	FillWait float64
	SizeKB   float64 // size of the received body; 0 if it is unknown
	Final    bool    // the client has received its answer
	Note     Note
	// IngressLoad is the number of transfers into the host's zone divided by the number that fits at full
	// rate, as the host reported it. It is 0 if nothing was reported.
	IngressLoad float64
	// ConnectedAt is when the connection that the host's answer came over was established, in seconds on the
	// router's clock. It is 0 if that is unknown, or if the host did not answer.
	ConnectedAt float64
}

// Actions carries out the decisions of a router. The router calls its methods from within its own methods, so
// they must not call the router.
type Actions interface {
	// Forward sends an attempt. The number of an attempt is the count of earlier attempts for the same
	// request.
	Forward(a Attempt)
	// Cancel ends an attempt. The router still expects its result.
	Cancel(requestID uint32, attempt int)
	// Shed answers a request as rejected without any effect. The client may retry after retryAfter seconds;
	// with 0 no time is given.
	Shed(requestID uint32, retryAfter float64)
	// Fail answers a request as failed. The request may have had an effect.
	Fail(requestID uint32)
	// Schedule asks for a call of HandleTimer after delay seconds.
	Schedule(delay float64, cookie string)
	// OpenConnection has a connection to a host established, and reports whether one is on its way or up already. HandleConnectionUp
	// or HandleConnectionFailed tells how it ends. It is called only after ExpectConnectionTimes.
	OpenConnection(host uint32) (underWay bool)
	// PollEndpoints requests the endpoint list.
	PollEndpoints()
	// HostEjected and HostRecovered report changes of a host's health, for the log.
	HostEjected(host uint32)
	HostRecovered(host uint32)
	// ReportSlowStart reports how the slow start of a host goes, for the log.
	ReportSlowStart(r SlowStartReport)
}
