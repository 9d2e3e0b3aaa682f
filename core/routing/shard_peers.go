package routing

// ShardPeers is the state that the shards of one process share, so that together they stay within the limits
// of a single router. Its methods must return without blocking.
type ShardPeers interface {
	// AccrueCredit adds credit that a shard has earned to the shared credit for a host in slow start, up to
	// maxCredit, and returns the shared credit. All amounts are seconds of work. initial is the credit at the
	// start of the slow start. since is the start time of the host, and distinguishes one start from another.
	AccrueCredit(host uint32, since, initial, earned, maxCredit float64) float64
	// SpendCredit takes work, in seconds, from the shared credit. It returns false if other shards have left
	// too little.
	SpendCredit(host uint32, work float64) bool
	// ClaimProbe reports whether this shard may probe an ejected host now. Only one shard at a time may do
	// so.
	ClaimProbe(now float64, host uint32) bool
	// Publish passes an update to the other shards, which handle it with HandlePeerUpdate.
	Publish(u PeerUpdate)
}

// PeerUpdate is what one shard publishes to the others: that a host was ejected or has recovered, or that a
// limit was cut.
type PeerUpdate struct {
	Host uint32
	// Limit is the limit that was cut, either of the host or of all hosts. It is NoLimit if the update is
	// about the health of the host.
	Limit     LimitKind
	LateShare float64 // share of late work for which the limit was cut
	Ejected   bool    // false if the host has recovered
	Until     float64 // seconds; end of the ejection
	Backoff   float64 // seconds; duration of the ejection before jitter
}

// LimitKind identifies one of the limits on work in flight.
type LimitKind int

// These are the kinds of limits.
const (
	NoLimit LimitKind = iota
	HostLimit
	CacheLimit
	FillLimit
	OriginLimit
)

// HandlePeerUpdate applies what another shard of the process has published. Guards against each shard having
// to find it out with requests of its own.
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
	if limit != nil && limit.roundPeak > 0 { // without work in this round, the limit gives no reference for a cut
		r.limits.cut(limit, u.LateShare)
	}
}
