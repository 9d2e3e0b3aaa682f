package routing

import "elderwall/core/routing/retrybudget"

// Effect tells what a repeat of a GET may do.
type Effect int

// The kinds of effect. The zero value is the strictest.
const (
	NonIdempotent Effect = iota // must never run twice
	Tokened                     // carries a mark by which a group of hosts drops repeats
	Idempotent                  // may run again
)

// Scope is the group of hosts that drops the repeats of a tokened GET.
type Scope int

// The scopes. The zero value is the narrowest.
const (
	SameCell Scope = iota
	SameZone
	AllHosts
)

// Detail tells how much the answers say about fills.
type Detail int

// The levels of detail.
const (
	Silent  Detail = iota // nothing
	HitOnly               // whether it was a hit
	Full                  // and why a fill failed
)

// Phase is what the list of hosts says of one.
type Phase int

// The phases of a host.
const (
	Gone Phase = iota
	Ready
	Draining
)

// Outcome is how a forward ended.
type Outcome int

// The outcomes of a forward. Those from NotTaken on prove that it never ran.
const (
	Returned Outcome = iota
	HostError
	Expired
	Dropped
	Revoked
	NotTaken
	Unreached
	Unused
	Empty
	Recalled // before anything of it went out, as news forbade it: it says nothing of a host
)

// Note says what an answer tells of a hit or a fill.
type Note int

// The notes.
const (
	NoNote Note = iota
	Hit
	Filled
	FilledByOrigin
	Joined
	Aged
	SourceRefused
	SourceFailed
	SourceLacks
	NoFillPlace
	OriginFailed
)

// DeliveryService is a kind of traffic with its own terms. Times are in seconds.
type DeliveryService struct {
	Objective, Stretch float64 // the latency objective, and its growth by a GET's own sending time
	ViewerTimeout      float64
	Revenue            float64
	Effect             Effect
	Scope              Scope
	RepeatWindow       float64 // how long repeats of a tokened GET are known
	FreshFor           float64 // the fresh time of a copy, 0 for no limit
}

// Settings is what a dispatcher is told at its start. Times are in seconds.
type Settings struct {
	Index, Dispatchers int
	Seed               uint64
	Zone               int
	Seats              []int // dispatchers by zone
	Services           []DeliveryService

	ParentKind, OriginKind int
	FlowKB                 float64 // KB a second of one transfer at full pace
	WeightsTold            bool    // weights count the transfers that a host's link carries

	Straight, Joins bool
	Detail          Detail
	OnRequest       bool // the list of hosts must be asked for

	MaxForwards   int
	MayCancel     bool
	SecondCopies  bool
	MaxRetryAfter float64 // longest stay away that a shed reply may name, 0 for none

	ColdFrom, RampTime, TipMultiple, Fall float64
	ParentColdFrom, ParentRamp, ParentTip float64
	OldCopies                             float64 // after this long no copy older than a purge is left

	Retries retrybudget.Settings // bounds forwards after failed ones; the zero value does not

	Shards int   // that this dispatcher's process has, each with its part of the GETs; 0 for one
	Peers  Peers // what they have in common, nil for one alone
}

// Peers is what the shards of one process have in common, so that together they stay within what one would do. It
// answers at once.
type Peers interface {
	// Credit puts what a shard's own pace allows into what all may send to a host that started at a time, up to most,
	// and gives what there is; first is what there is at the start.
	Credit(host uint32, since, first, add, most float64) float64
	// Spend takes a GET out of it; false tells that another shard was faster.
	Spend(host uint32, work float64) bool
	// Trial tells whether a host that was left may be tried now: by one shard at a time.
	Trial(now float64, host uint32) bool
	// Tell passes on what this shard has found out, for Told of the others.
	Tell(n News)
}

// News is what one shard tells the others: that a host was left, or is trusted again, or that a limit fell.
type News struct {
	Host        uint32
	Limit       Limit // that fell, of the host or of all
	Late        float64
	Left        bool
	Until, Wait float64 // until when it is left, and how long the stay was
}

// Limit names one of the limits on what is under way.
type Limit int

// The limits. NoLimit is the zero value.
const (
	NoLimit Limit = iota
	HostLimit
	AllLimit
	FillLimit
	OriginLimit
)

// HostEntry is one host of a list.
type HostEntry struct {
	ID                uint32
	Zone, Kind, Cell  int
	Phase             Phase
	Weight            float64
	OnlineSince       float64 // on the dispatcher's clock
	OnlineSinceIsTold bool
}

// ListForm tells what a list of hosts is.
type ListForm int

// The forms of a list.
const (
	Changes ListForm = iota
	Complete
	Cached
	FailedCall
)

// GET is one GET as a client sends it.
type GET struct {
	ID            uint32
	Service       int
	Object        string
	Group, Part   int
	ViewerTimeout float64 // when the client leaves, on the dispatcher's clock
	SizeKB        float64 // 0 where it is not told
}

// Answer is how one forward ended.
type Answer struct {
	GET      uint32
	Forward  int
	Outcome  Outcome
	Elapsed  float64
	Waited   float64 // s; of it the fill waited for its source's first byte, or until that failed; 0 where it is not told
	SizeKB   float64 // of the bytes that came; 0 where it is not told
	Last     bool    // the GET is finished
	Note     Note
	Crowding float64 // reported: transfers on the way into the host's zone over those that fit at full pace, 0 for none
}

// Forward is what a host is asked to do with a GET.
type Forward struct {
	GET          uint32
	Host, Source uint32
	Rank         int     // 0: the copy is not kept
	MaxAge       float64 // 0: what the delivery service allows
	Join, Renew  bool
	HeldOnly     bool    // the source gives only what it holds
	Before       float64 // when its first byte must be out, on the dispatcher's clock: while hosts know a repeat, and the GET is not given up
}

// Wire carries a dispatcher's answers out.
type Wire interface {
	Forward(f Forward)
	Cancel(get uint32, forward int)
	Shed(get uint32, comeBack float64)
	Error(get uint32)
	Schedule(delay float64, cookie string)
	Subscribe()
	Log(text string)
}
