package routing

// ShardPeers is what the shards of one process have in common, so that together they stay within what one
// would do. It answers at once.
type ShardPeers interface {
	// AccrueCredit adds what a shard's own rate has earned to the credit that all may use at a host in slow
	// start, up to most, and returns the credit; initial is what there is at the start. since distinguishes
	// one start of the host from another.
	AccrueCredit(host uint32, since, initial, earned, most float64) float64
	// SpendCredit takes work out of it; false if another shard was faster.
	SpendCredit(host uint32, work float64) bool
	// ClaimProbe reports whether an ejected host may be tried now: by one shard at a time.
	ClaimProbe(now float64, host uint32) bool
	// Publish passes on what this shard has found out, for HandlePeerUpdate of the others.
	Publish(u PeerUpdate)
}

// PeerUpdate is what one shard publishes to the others: that a host was ejected or has recovered, or that a
// limit was cut.
type PeerUpdate struct {
	Host uint32
	// that was cut, of the host or of all; NoLimit where the update is about the host's health
	Limit     LimitKind
	LateShare float64 // by which it was cut
	Ejected   bool    // false: it has recovered
	Until     float64 // s; end of the ejection
	Backoff   float64 // s; its length before jitter
}

// LimitKind names one of the limits on what is in flight.
type LimitKind int

// The kinds of limits.
const (
	NoLimit LimitKind = iota
	HostLimit
	CacheLimit
	FillLimit
	OriginLimit
)

// HandlePeerUpdate takes over what another shard of the process has found out. Guards against each shard
// finding out by requests of its own.
func (r *Router) HandlePeerUpdate(now float64, u PeerUpdate) {
	r.now = now
	h := r.endpoints.byID[u.Host]
	if u.Limit == NoLimit {
		if h != nil {
			r.outliers.apply(h, u)
		}
		return
	}
	limit := r.limits.byKind(u.Limit)
	if u.Limit == HostLimit && h != nil {
		limit = &h.limit
	}
	if limit != nil && limit.roundPeak > 0 { // one that nothing was under does not tell how far to cut
		r.limits.cut(limit, u.LateShare)
	}
}
