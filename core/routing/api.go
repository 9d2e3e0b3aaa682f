package routing

import "elderwall/core/routing/retrybudget"

// Idempotency tells what a repeat of a GET may do.
type Idempotency int

// The kinds of effect. The zero value is the strictest.
const (
	NonIdempotent    Idempotency = iota // must never run twice
	IdempotencyKeyed                    // carries a mark by which a group of hosts drops repeats
	Idempotent                          // may run again
)

// DedupScope is the group of hosts that drops the repeats of a tokened GET.
type DedupScope int

// The scopes. The zero value is the narrowest.
const (
	SameCell DedupScope = iota
	SameZone
	AllHosts
)

// NoteDetail tells how much the answers say about fills.
type NoteDetail int

// The levels of detail.
const (
	NoNotes   NoteDetail = iota // nothing
	HitNotes                    // whether it was a hit
	FillNotes                   // and why a fill failed
)

// Phase is what the list of hosts says of one.
type Phase int

// The phases of a host.
const (
	Removed Phase = iota
	Ready
	Draining
)

// Outcome is how a forward ended.
type Outcome int

// The outcomes of a forward. Those from NotTaken on prove that it never ran.
const (
	Succeeded Outcome = iota
	HostFailed
	TimedOut
	ConnectionLost
	Canceled
	Rejected
	Unreachable
	ArrivedLate
	NotCached
	Withdrawn // before anything of it went out, as news forbade it: it says nothing of a host
)

// Note says what an answer tells of a hit or a fill.
type Note int

// The notes.
const (
	NoNote Note = iota
	CacheHit
	Filled
	FilledByOrigin
	FillCoalesced
	StaleHit
	SourceRejected
	SourceFailed
	SourceNotCached
	FillsExhausted
	OriginFailed
)

// DeliveryService is a kind of traffic with its own terms. Times are in seconds.
type DeliveryService struct {
	Objective, Stretch float64 // the latency objective, and its growth by a GET's own sending time
	ViewerTimeout      float64
	PriorityWeight     float64
	Idempotency        Idempotency
	DedupScope         DedupScope
	DedupWindow        float64 // how long repeats of a tokened GET are known
	TTL                float64 // the fresh time of a copy, 0 for no limit
}

// Settings is what a dispatcher is told at its start. Times are in seconds.
type Settings struct {
	Index, Dispatchers int
	Seed               uint64
	Zone               int
	DispatchersByZone  []int // dispatchers by zone
	Services           []DeliveryService

	ParentKind, OriginKind int
	TransferRateKB         float64 // KB a second of one transfer at full pace
	WeightsKnown           bool    // weights count the transfers that a host's link carries

	BypassCaches, CoalesceFills bool
	NoteDetail                  NoteDetail
	PollEndpoints               bool // the list of hosts must be asked for

	MaxAttempts   int
	CanCancel     bool
	Hedging       bool
	MaxRetryAfter float64 // longest stay away that a shed reply may name, 0 for none

	SlowStartInitial, SlowStartRamp, OverloadMultiple, OverloadWindow   float64
	ParentSlowStartInitial, ParentSlowStartRamp, ParentOverloadMultiple float64
	PurgeGrace                                                          float64 // after this long no copy older than a purge is left

	Retries retrybudget.Settings // bounds forwards after failed ones; the zero value does not

	Shards int        // that this dispatcher's process has, each with its part of the GETs; 0 for one
	Peers  ShardPeers // what they have in common, nil for one alone
}

// ShardPeers is what the shards of one process have in common, so that together they stay within what one would do. It
// answers at once.
type ShardPeers interface {
	// Credit puts what a shard's own pace allows into what all may send to a host that started at a time, up to most,
	// and gives what there is; first is what there is at the start.
	AccrueCredit(host uint32, since, first, add, most float64) float64
	// Spend takes a GET out of it; false tells that another shard was faster.
	SpendCredit(host uint32, work float64) bool
	// Trial tells whether a host that was left may be tried now: by one shard at a time.
	ClaimProbe(now float64, host uint32) bool
	// Tell passes on what this shard has found out, for Told of the others.
	Publish(n PeerUpdate)
}

// PeerUpdate is what one shard tells the others: that a host was left, or is trusted again, or that a limit fell.
type PeerUpdate struct {
	Host           uint32
	Limit          LimitKind // that fell, of the host or of all
	LateShare      float64
	Ejected        bool
	Until, Backoff float64 // until when it is left, and how long the stay was
}

// LimitKind names one of the limits on what is under way.
type LimitKind int

// The limits. NoLimit is the zero value.
const (
	NoLimit LimitKind = iota
	HostLimit
	CacheLimit
	FillLimit
	OriginLimit
)

// Endpoint is one host of a list.
type Endpoint struct {
	ID               uint32
	Zone, Kind, Cell int
	Phase            Phase
	Weight           float64
	OnlineSince      float64 // on the dispatcher's clock
	OnlineSinceKnown bool
}

// ListKind tells what a list of hosts is.
type ListKind int

// The forms of a list.
const (
	ListChanges ListKind = iota
	ListComplete
	ListCached
	ListFailed
)

// Request is one GET as a client sends it.
type Request struct {
	ID          uint32
	Service     int
	Object      string
	Group, Part int
	Deadline    float64 // when the client leaves, on the dispatcher's clock
	SizeKB      float64 // 0 where it is not told
}

// AttemptResult is how one forward ended.
type AttemptResult struct {
	RequestID   uint32
	Attempt     int
	Outcome     Outcome
	Elapsed     float64
	FillWait    float64 // s; of it the fill waited for its source's first byte, or until that failed; 0 where it is not told
	SizeKB      float64 // of the bytes that came; 0 where it is not told
	Final       bool    // the GET is finished
	Note        Note
	IngressLoad float64 // reported: transfers on the way into the host's zone over those that fit at full pace, 0 for none
}

// Attempt is what a host is asked to do with a GET.
type Attempt struct {
	RequestID            uint32
	Host, Source         uint32
	CachePriority        int     // 0: the copy is not kept
	MaxAge               float64 // 0: what the delivery service allows
	Coalesce, Revalidate bool
	CachedOnly           bool    // the source gives only what it holds
	SendBy               float64 // when its first byte must be out, on the dispatcher's clock: while hosts know a repeat, and the GET is not given up
}

// Actions carries a dispatcher's answers out.
type Actions interface {
	Forward(f Attempt)
	Cancel(get uint32, forward int)
	Shed(get uint32, comeBack float64)
	Fail(get uint32)
	Schedule(delay float64, cookie string)
	PollEndpoints()
	Log(text string)
}
