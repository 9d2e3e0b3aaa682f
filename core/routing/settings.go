package routing

import "elderwall/core/routing/retrybudget"

// Idempotency tells what happens if a request is executed more than once.
type Idempotency int

// These are the kinds of idempotency. The zero value is the strictest.
const (
	NonIdempotent    Idempotency = iota // the request must never be executed twice
	IdempotencyKeyed                    // the request carries a key by which a group of hosts drops repeats
	Idempotent                          // the request may be executed again
)

// DedupScope is the group of hosts that drops repeats of a keyed request.
type DedupScope int

// These are the scopes. The zero value is the narrowest.
const (
	SameCell DedupScope = iota
	SameZone
	AllHosts
)

// NoteDetail tells how much results report about fills.
type NoteDetail int

// These are the levels of detail.
const (
	NoNotes   NoteDetail = iota // results carry no notes
	HitNotes                    // results report cache hits
	FillNotes                   // results also report fills and why they failed
)

// DeliveryService is a class of traffic with its own objectives. Times are in seconds.
type DeliveryService struct {
	Objective      float64 // the latency objective
	Stretch        float64 // increase of the objective per second of a request's own sending time
	ViewerTimeout  float64 // maximum time that a client waits
	PriorityWeight float64
	Idempotency    Idempotency
	DedupScope     DedupScope
	DedupWindow    float64 // how long repeats of a keyed request are recognized
	TTL            float64 // how long a copy stays fresh; 0 for no limit
}

// NeedsKey reports whether the service promises that each of its requests bears a key by which hosts recognize its repeat.
func (s *DeliveryService) NeedsKey() bool { return s.Idempotency == IdempotencyKeyed }

// IdempotencyOf returns what happens if a request of the service is executed more than once. One that lacks the key that the
// service promises must never be executed twice, as nobody can recognize its repeat.
func (s *DeliveryService) IdempotencyOf(in Request) Idempotency {
	if s.NeedsKey() && in.keyMissing {
		return NonIdempotent
	}
	return s.Idempotency
}

// Settings is the configuration of a router. Times are in seconds. It has more than twenty fields because it
// has one for each setting of the platform that affects routing.
type Settings struct {
	Index, Dispatchers int // number of this router, and number of all routers
	Seed               uint64
	Zone               int
	DispatchersByZone  []int
	Services           []DeliveryService

	ParentKind, OriginKind int     // values of Endpoint.Kind for parents and origins
	TransferRateKB         float64 // KB per second of one transfer at full rate
	WeightsKnown           bool    // endpoint weights give the number of full-rate transfers a host's link carries

	BypassCaches  bool // requests may go to parents if no cache can be used
	CoalesceFills bool
	NoteDetail    NoteDetail
	PollEndpoints bool // the router must poll the endpoint list

	MaxAttempts   int
	CanCancel     bool
	Hedging       bool    // a further attempt may be sent while another is outstanding
	MaxRetryAfter float64 // maximum Retry-After of a rejected request; 0 for none

	// Slow start limits the load on a host that has just started. The allowed share of the warm rate grows
	// from the initial share to 1 over the ramp. In each overload window a host may be sent that share of the
	// warm rate times the overload multiple.
	SlowStartInitial, SlowStartRamp, OverloadMultiple, OverloadWindow   float64
	ParentSlowStartInitial, ParentSlowStartRamp, ParentOverloadMultiple float64

	PurgeGrace float64 // time after which no copy older than a purge exists any more

	Retries retrybudget.Settings // budget for retries of failed attempts; the zero value sets no limit

	Shards int        // number of shards of this process, each with its part of the requests; 0 means one
	Peers  ShardPeers // state that the shards share; nil if there is only one shard
}
