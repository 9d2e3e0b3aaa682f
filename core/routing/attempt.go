package routing

// attempt is one request sent to a host.
//
// It is in one of three states: outstanding (neither returned nor abandoned), abandoned (the request no
// longer waits for its result, but it still counts as in flight), or returned (its result is known and it is
// no longer counted anywhere).
type attempt struct {
	number       int
	host, source *host   // the source equals the host if nothing is filled
	sentAt       float64 // seconds
	work         float64 // seconds; the amount that it counts for in a concurrency limit
	objective    float64 // seconds; its latency objective
	concurrent   int     // number of attempts in flight at the host when this one was sent
	cachedOnly   bool    // the source was asked to return only what it has cached
	isFill       bool    // it counts as a fill, as far as the router can tell
	limits       attemptLimits

	overdueTimer   timer // fires when the silence of the host becomes suspicious
	objectiveTimer timer // fires when the attempt has missed its latency objective

	result         AttemptResult
	returned       bool
	abandoned      bool
	mayHaveRun     bool
	sourceRejected bool // it was rejected because of its source
}

// attemptLimits holds the concurrency limits that an attempt counts in, and those that its end is counted
// against. The arrays back the slices so that most attempts allocate nothing.
type attemptLimits struct {
	acquired      []*concurrencyLimit // limits that count the attempt as in flight; the limit of its host is the first
	fill          []*concurrencyLimit // limits that judge it as a fill: that of its source, then that on all fills
	chargedIfLate []*concurrencyLimit // limits that it counts against if it is late
	judgedBy      *concurrencyLimit   // first of the limits that counted its end; nil until then
	acquiredStore [5]*concurrencyLimit
	fillStore     [2]*concurrencyLimit
}

// hasFillSource reports whether a source other than the host itself was named.
func (a *attempt) hasFillSource() bool { return a.source != a.host }

// reachedHost reports whether the attempt reached its host and ended there, whatever its result. Guards
// against failed or broken connections being mistaken for congestion when results carry no notes about fills.
func (a *attempt) reachedHost() bool {
	switch a.result.Outcome {
	case Withdrawn, Unreachable, ConnectionLost, ArrivedLate:
		return false
	}
	return true
}

// hostAnswered reports whether the outcome shows that the host itself responded.
func (o Outcome) hostAnswered() bool {
	switch o {
	case Canceled, ArrivedLate, TimedOut, Withdrawn:
		return false
	}
	return true
}

// costsNothing reports whether an attempt with this outcome used no resources of its host.
func (o Outcome) costsNothing() bool {
	switch o {
	case Rejected, NotCached, ArrivedLate, Withdrawn:
		return true
	}
	return false
}

// MayHaveRun reports whether an attempt with this outcome may have been executed, as far as the outcome tells.
func (o Outcome) MayHaveRun() bool { return o < Rejected || o > Withdrawn }

// blamesSource reports whether the note attributes a failure to the source of a fill rather than to the host
// that reported it.
func (n Note) blamesSource() bool {
	switch n {
	case SourceRejected, SourceFailed, SourceNotCached, OriginFailed:
		return true
	}
	return false
}

// filledFromSource reports whether the note says that the answer was filled from a source.
func (n Note) filledFromSource() bool { return n == Filled || n == FilledByOrigin }
