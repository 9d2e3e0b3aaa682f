package routing

// attempt is one forward of a request to a host.
//
// States: out (neither returned nor abandoned), abandoned (its result is not waited for any more, it still
// counts as in flight), returned (its result is known and it counts nowhere).
type attempt struct {
	number       int
	host, source *host   // the source is the host itself where nothing is filled
	sentAt       float64 // s
	work         float64 // s; what it counts in a concurrency limit
	objective    float64 // s; its latency objective
	concurrent   int     // attempts in flight at the host when it was sent
	cachedOnly   bool    // the source was to give only what it has cached
	isFill       bool    // it counts as a fill, as far as is known
	limits       attemptLimits

	overdue       timer // when its host's silence becomes suspicious
	objectiveOver timer // when it has missed its latency objective

	result         AttemptResult
	returned       bool
	abandoned      bool
	mayHaveRun     bool
	sourceRejected bool // it was rejected, and its source is at fault for that
}

// attemptLimits are the concurrency limits that an attempt counts in, and those that its end is judged by.
type attemptLimits struct {
	counted      []*concurrencyLimit // it counts in these, its host's first
	fill         []*concurrencyLimit // they judge it as a fill: its source's, and that of all fills
	late         []*concurrencyLimit // its lateness counts against these
	judgedBy     *concurrencyLimit   // the first of those that have counted its end; nil before
	countedStore [5]*concurrencyLimit
	fillStore    [2]*concurrencyLimit
}

// filled reports whether a source other than the host itself was named.
func (a *attempt) filled() bool { return a.source != a.host }

// reachedHost reports whether the attempt came to its host and ended there, whatever the result. Guards
// against connections that do not come up, or break, passing for congestion where no note tells of fills.
func (a *attempt) reachedHost() bool {
	switch a.result.Outcome {
	case Withdrawn, Unreachable, ConnectionLost, ArrivedLate:
		return false
	}
	return true
}

// hostAnswered reports whether the host itself has given a sign of life.
func (o Outcome) hostAnswered() bool {
	switch o {
	case Canceled, ArrivedLate, TimedOut, Withdrawn:
		return false
	}
	return true
}

// costsNothing reports whether an attempt with this outcome has cost its host nothing.
func (o Outcome) costsNothing() bool {
	switch o {
	case Rejected, NotCached, ArrivedLate, Withdrawn:
		return true
	}
	return false
}

// mayHaveRun reports whether the attempt may have been executed.
func (o Outcome) mayHaveRun() bool { return o < Rejected }

// blamesSource reports whether a note lays a failure on the source of a fill, not on the host that tells of
// it.
func (n Note) blamesSource() bool {
	switch n {
	case SourceRejected, SourceFailed, SourceNotCached, OriginFailed:
		return true
	}
	return false
}

// filledFromSource reports whether a note says that the answer was filled from a source.
func (n Note) filledFromSource() bool { return n == Filled || n == FilledByOrigin }
