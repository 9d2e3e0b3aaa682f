package routing

// maxRejections is the number of rejections above which a request is given up, as all hosts seem to be full.
const maxRejections = 1

// observeHost learns from a result how fast and how healthy its host is.
func (r *Router) observeHost(q *request, a *attempt) verdict {
	if a.result.Outcome == ConnectionLost {
		r.restarts.observeLoss(a.host)
	} else {
		r.restarts.observeAnswer(a.host, a.result.ConnectedAt)
	}
	switch a.result.Outcome {
	case Succeeded:
		r.observeSuccess(q, a)
	case HostFailed, ConnectionLost, Unreachable, TimedOut:
		r.observeFailure(q, a)
	case Rejected, NotCached, UnusableCopy:
		sourceMissed := a.result.Outcome == NotCached && a.hasFillSource()
		if !a.result.Note.blamesSource() && !sourceMissed {
			q.avoid(a.host)
		}
		q.rejections++
		if q.rejections > maxRejections && !q.finished && q.outstanding == 0 {
			return r.requests.giveUp(q)
		}
	}
	return proceed
}

func (r *Router) observeSuccess(q *request, a *attempt) {
	h := a.host
	r.budget.Earn()
	h.returned.add(r.now, q.Service)
	r.slowStart.countReturned(h, a.work)
	r.serving.learn(a)
	r.costs.learnResponse(q, a)
	q.object.cachedAt, q.object.cachedUntil = h, r.now+windowSpan
	if a.result.Note == CacheHit || r.NoteDetail == NoNotes && !a.isFill {
		r.limits.observe(a, a.result.Elapsed > a.objective, a.limits.acquired[:2])
	}
	r.outliers.observeSuccess(h)
	for _, accused := range q.failedHosts {
		r.outliers.observeFault(accused, faultWeight)
	}
}

func (r *Router) observeFailure(q *request, a *attempt) {
	h, outcome := a.host, a.result.Outcome
	idempotent := q.idempotency == Idempotent
	switch {
	case a.result.Note.blamesSource() || outcome == TimedOut && !h.health.silentSince(a.sentAt):
	// Some requests fail at every host, so only an answer from another host proves the fault.
	case outcome == HostFailed && idempotent:
		q.failedHosts = append(q.failedHosts, h)
	// Connections also break at healthy hosts, so this counts less than an unreachable host.
	case outcome == HostFailed || outcome == ConnectionLost:
		r.outliers.observeFault(h, faultWeight)
	default:
		r.outliers.observeUnreachable(h)
	}
	retrySameHost := outcome == ConnectionLost && idempotent && q.attemptsAt(h) <= 1
	if !retrySameHost {
		q.avoid(h)
	}
}
