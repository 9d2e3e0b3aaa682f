package routing

// maxRejections is the number of rejections after which a request finds all hosts full.
const maxRejections = 1

// observeHost learns from a result how fast and how healthy its host is.
func (r *Router) observeHost(q *request, a *attempt) verdict {
	switch a.result.Outcome {
	case Succeeded:
		r.observeSuccess(q, a)
	case HostFailed, ConnectionLost, Unreachable, TimedOut:
		r.observeFailure(q, a)
	case Rejected, NotCached:
		sourceMissed := a.result.Outcome == NotCached && a.filled()
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
	h.returned.add(r.now, a.work)
	r.serving.learn(a)
	r.costs.learnResponse(q, a)
	q.object.cachedAt, q.object.cachedUntil = h, r.now+windowSpan
	if a.result.Note == CacheHit || r.NoteDetail == NoNotes && !a.isFill {
		r.limits.observe(a, a.result.Elapsed > a.objective, a.limits.counted[:2])
	}
	r.outliers.observeSuccess(h)
	for _, accused := range q.accused {
		r.outliers.observeFault(accused, faultWeight)
	}
}

func (r *Router) observeFailure(q *request, a *attempt) {
	h, outcome := a.host, a.result.Outcome
	idempotent := q.service.Idempotency == Idempotent
	switch {
	case a.result.Note.blamesSource() || outcome == TimedOut && !h.health.silentSince(a.sentAt):
	case outcome == HostFailed && idempotent: // no host can use some requests: others tell
		q.accused = append(q.accused, h)
	case outcome == HostFailed || outcome == ConnectionLost: // connections break at healthy hosts too
		r.outliers.observeFault(h, faultWeight)
	default:
		r.outliers.observeUnreachable(h)
	}
	mayStillHold := outcome == ConnectionLost && idempotent && q.attemptsAt(h) <= 1
	if !mayStillHold {
		q.avoid(h)
	}
}
