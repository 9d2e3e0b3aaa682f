package routing

import "elderwall/core/routing/retrybudget"

// Idempotency tells what a repeat of a request may do.
type Idempotency int

// The kinds of idempotency. The zero value is the strictest.
const (
	NonIdempotent    Idempotency = iota // must never be executed twice
	IdempotencyKeyed                    // carries a key by which a group of hosts drops repeats
	Idempotent                          // may be executed again
)

// DedupScope is the group of hosts that drops the repeats of a keyed request.
type DedupScope int

// The scopes. The zero value is the narrowest.
const (
	SameCell DedupScope = iota
	SameZone
	AllHosts
)

// NoteDetail tells how much results say about fills.
type NoteDetail int

// The levels of detail.
const (
	NoNotes   NoteDetail = iota
	HitNotes             // whether it was a hit
	FillNotes            // and why a fill failed
)

// DeliveryService is a kind of traffic with its own terms. Times are in seconds.
type DeliveryService struct {
	Objective      float64 // the latency objective
	Stretch        float64 // its growth by a request's own sending time
	ViewerTimeout  float64 // the longest that a client waits
	PriorityWeight float64
	Idempotency    Idempotency
	DedupScope     DedupScope
	DedupWindow    float64 // how long repeats of a keyed request are recognized
	TTL            float64 // the fresh time of a copy, 0 for no limit
}

// Settings is the configuration of a router. Times are in seconds. It has over twenty fields as it has one for each setting
// that the platform gives and routing goes by.
type Settings struct {
	Index, Dispatchers int // this router's number, and how many there are
	Seed               uint64
	Zone               int
	DispatchersByZone  []int
	Services           []DeliveryService

	ParentKind, OriginKind int     // kinds of endpoints
	TransferRateKB         float64 // KB per second of one transfer at full pace
	WeightsKnown           bool    // weights count the transfers that a host's link carries

	BypassCaches  bool // parents may be asked where no cache can be used
	CoalesceFills bool
	NoteDetail    NoteDetail
	PollEndpoints bool // the endpoint list must be polled

	MaxAttempts   int
	CanCancel     bool
	Hedging       bool    // a further attempt may be out beside another
	MaxRetryAfter float64 // the longest Retry-After of a rejected request, 0 for none

	// Slow start: a host may be sent an initial share of its warm rate, growing to all of it over the ramp,
	// times the overload multiple, in each overload window.
	SlowStartInitial, SlowStartRamp, OverloadMultiple, OverloadWindow   float64
	ParentSlowStartInitial, ParentSlowStartRamp, ParentOverloadMultiple float64

	PurgeGrace float64 // after this long no copy older than a purge is left

	Retries retrybudget.Settings // bounds retries of failed attempts; the zero value does not

	Shards int        // of this router's process, each with its part of the requests; 0 for one
	Peers  ShardPeers // what they have in common, nil for one alone
}
