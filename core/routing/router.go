package routing

import (
	"elderwall/core/routing/congestion"
	"elderwall/core/routing/grouphealth"
	"elderwall/core/routing/retrybudget"
)

const (
	tickInterval = 0.010 // s; the periodic timer, finer than any latency objective in use
	// s by host between surveys of all hosts: each takes 70 ns a host, so under 1% of a core
	surveyPerHost = 1e-5
	pollBackoff   = 1.0    // s; after a poll of the endpoint list that failed
	tickCookie    = "tick" // names the periodic timer for Actions.Schedule
	cacheOnce     = 1      // cache priority of an object that was not requested before
	cacheAgain    = 2      // and of one that was
)

// verdict is what a step does with a request.
type verdict int

const (
	proceed verdict = iota // the next step has it
	pending                // it is out at a host, or waits for its retry
	ended                  // it is finished
)

// Router decides for one instance. It composes the concerns; the state of each is its own.
type Router struct {
	*environment
	timers     timers
	requests   requestTable
	endpoints  endpointTable
	demand     demandTracker
	costs      costModel
	serving    servingTimes
	limits     limiter
	outliers   outlierDetector
	slowStart  slowStart
	retries    retryQueue
	budget     retrybudget.Budget
	purges     purgeLog
	congestion congestion.Tracker
	groups     grouphealth.Tracker
	surveyedAt float64 // s; when all hosts were looked over
}

// New returns a router that knows its settings alone. now is in seconds, on the clock of all later calls.
func New(s Settings, now float64, actions Actions) *Router {
	env := &environment{Settings: s, actions: actions, now: now}
	r := &Router{environment: env}
	r.requests = requestTable{environment: env, timers: &r.timers, byID: map[uint32]*request{}}
	r.endpoints = endpointTable{environment: env, groups: &r.groups, byID: map[uint32]*host{}}
	r.demand = demandTracker{objects: newObjectTable(s.Services)}
	r.costs = costModel{environment: env, congestion: &r.congestion}
	for _, d := range s.Services {
		r.costs.services = append(r.costs.services, &service{DeliveryService: d})
	}
	r.serving = servingTimes{environment: env, endpoints: &r.endpoints, costs: &r.costs}
	r.limits = newLimiter(env, &r.costs, &r.congestion)
	r.outliers = outlierDetector{env}
	r.slowStart = slowStart{environment: env}
	r.budget = retrybudget.New(s.Retries, now)
	r.purges = purgeLog{environment: env, timers: &r.timers, purged: map[string]float64{}}
	if s.PollEndpoints {
		actions.PollEndpoints()
	}
	actions.Schedule(tickInterval, tickCookie)
	return r
}

// UpdateEndpoints takes in a list of endpoints or changes to it.
func (r *Router) UpdateEndpoints(now float64, kind ListKind, entries []Endpoint) {
	r.now = now
	if kind == ListFailed { // only a router that polls gets one
		poll := func(r *Router, _ *request, _ *attempt) { r.actions.PollEndpoints() }
		r.timers.Add(now+pollBackoff, timerEvent{handle: poll})
		return
	}
	r.endpoints.update(kind, entries)
	r.limits.initialize(len(r.endpoints.caches))
}

// HandleRequest takes in a client's request; it is answered through Actions, now or later, exactly once.
func (r *Router) HandleRequest(now float64, in Request) {
	r.now = now
	q := r.requests.open(in, r.costs.services[in.Service])
	r.groups.CountRequest(now)
	r.demand.count(now, q)
	r.costs.learnRequest(q)
	r.route(q)
}

// HandleResult takes in the end of an attempt; false means that no such attempt is out.
func (r *Router) HandleResult(now float64, result AttemptResult) bool {
	r.now = now
	q, a := r.requests.attempt(result.RequestID, result.Attempt)
	if a == nil || a.returned {
		return false
	}
	a.result, a.returned = result, true
	r.handleReturned(q, a)
	return true
}

// HandleStreaming takes word that the answer of an attempt has started: the request is finished, and the
// client has its answer from this attempt.
func (r *Router) HandleStreaming(now float64, id uint32, number int) {
	r.now = now
	if q, a := r.requests.attempt(id, number); a != nil {
		r.requests.finish(q)
		a.abandoned = true
	}
}

// HandleClientGone takes word that a client has gone; its request is finished.
func (r *Router) HandleClientGone(now float64, id uint32) {
	r.now = now
	if q := r.requests.byID[id]; q != nil && !q.finished {
		r.requests.cancelAttempts(q)
		r.requests.finish(q)
	}
}

// HandlePurge takes in a purge of an object, or of a whole group where object is empty, that is age seconds
// old.
func (r *Router) HandlePurge(now float64, object string, group int, age float64) {
	r.now = now
	r.purges.record(object, group, age)
}

// HandleTimer takes in the periodic timer, and asks for the next one.
func (r *Router) HandleTimer(now float64) {
	r.now = now
	r.actions.Schedule(tickInterval, tickCookie)
	for event, due := r.timers.Pop(now); due; event, due = r.timers.Pop(now) {
		event.handle(r, event.request, event.attempt)
	}
	r.survey()
}

// survey takes what all hosts have in common, now and then, so that no request looks over all of them.
func (r *Router) survey() {
	hosts := float64(len(r.endpoints.caches) + len(r.endpoints.parents))
	if r.now < r.surveyedAt+hosts*surveyPerHost {
		return
	}
	r.surveyedAt = r.now
	r.serving.survey()
	r.slowStart.survey(r.endpoints.caches, r.endpoints.parents)
}

// RunRetries sends on the requests that wait for a retry. It is called after all calls of one moment.
func (r *Router) RunRetries(now float64) {
	r.now = now
	for _, q := range r.retries.take() {
		q.queued = false
		if !q.finished {
			r.route(q)
		}
	}
}

// FinishAll answers all open requests in the order in which they came, for a process that is about to end,
// after which no answer could be passed on.
func (r *Router) FinishAll(now float64) {
	r.now = now
	r.requests.giveUpAll()
}

// MaxAge is the age in seconds of the oldest copy that will do for a request after the purges known by now; 0
// for any.
func (r *Router) MaxAge(now float64, id uint32) float64 {
	r.now = now
	if q := r.requests.byID[id]; q != nil {
		return r.purges.maxAge(q)
	}
	return 0
}

// SetQuota bounds how many attempts this router may have in flight at a host, itself or as a source; with 0
// for the host, how many that may need the origin. The cluster divides these quotas among its routers.
func (r *Router) SetQuota(host uint32, quota int) {
	if l := r.quotaLimit(host); l != nil {
		l.quota, l.hasQuota = quota, true
	}
}

// QuotaUsage is how many of these attempts are in flight, and how many requests have found the quota used up.
func (r *Router) QuotaUsage(host uint32) (inFlight, rejections int) {
	if l := r.quotaLimit(host); l != nil {
		return l.count, l.quotaRejections
	}
	return 0, 0
}

// quotaLimit is the limit that a quota is for; nil for a host that is not known.
func (r *Router) quotaLimit(host uint32) *concurrencyLimit {
	if host == 0 {
		return &r.limits.origin
	}
	if h := r.endpoints.byID[host]; h != nil {
		return &h.limit
	}
	return nil
}

// route runs a request through the steps until one keeps or ends it.
func (r *Router) route(q *request) {
	for _, step := range [...]func(*Router, *request) verdict{
		(*Router).admit, (*Router).selectCache, (*Router).selectSource, (*Router).send,
	} {
		if step(r, q) != proceed {
			return
		}
	}
}

// handleReturned runs the result of an attempt through the steps in reverse until one keeps or ends the
// request.
func (r *Router) handleReturned(q *request, a *attempt) {
	for _, step := range [...]func(*Router, *request, *attempt) verdict{
		(*Router).release, (*Router).observeFill, (*Router).observeHost, (*Router).conclude,
	} {
		if step(r, q, a) != proceed {
			return
		}
	}
}

// send sends the request to its host, and counts the attempt there.
func (r *Router) send(q *request) verdict {
	h, source, work := q.host, q.source, r.costs.work(q)
	if !r.slowStart.claim(h, work) || source != h && !r.slowStart.claim(source, work) {
		return r.retries.enqueue(q)
	}
	r.outliers.countTrial(h)
	r.outliers.countTrial(source)
	sendBy := min(q.repeatableUntil()-tickInterval, q.giveUpAt) // a host would drop unheard what has less time
	a := r.newAttempt(q, work)
	r.countIn(a)
	r.watchObjective(q, a)
	q.outstanding++
	r.bookAtHost(q, a)
	r.watchOverdue(q, a)
	r.actions.Forward(Attempt{
		RequestID: q.ID, Host: h.ID, Source: source.ID,
		CachePriority: cachePriority(q.object), MaxAge: r.purges.maxAge(q),
		Coalesce: r.CoalesceFills, Revalidate: q.service.TTL > 0, CachedOnly: a.cachedOnly,
		SendBy: sendBy,
	})
	return pending
}

func cachePriority(o *object) int {
	if o.requestedBefore {
		return cacheAgain
	}
	return cacheOnce
}

// newAttempt returns the attempt that is about to be sent.
func (r *Router) newAttempt(q *request, work float64) *attempt {
	h := q.host
	a := q.newAttempt()
	a.host, a.source = h, q.source
	a.sentAt, a.work, a.objective = r.now, work, r.costs.objective(q)
	a.concurrent = h.inFlight
	a.cachedOnly = q.cachedOnly
	probablyHit := q.object.cachedBy(h, r.now) && !q.cacheMissed
	a.isFill = a.filled() && !probablyHit
	return a
}

// countIn counts an attempt into the limits that it falls under, and chooses those that its lateness counts
// against.
func (r *Router) countIn(a *attempt) {
	l := &a.limits
	l.counted = append(l.countedStore[:0], &a.host.limit, &r.limits.caches)
	l.fill = append(l.fillStore[:0], &a.source.limit, &r.limits.fills)
	l.late = l.counted[:2]
	if a.filled() {
		l.counted = append(l.counted, &a.source.limit)
		a.source.fillsInFlight++
		a.source.warmUp.credit -= a.work
	}
	if a.isFill {
		l.counted = append(l.counted, &r.limits.fills)
		l.late = l.fill
	}
	notesTellOfOrigin := a.isFill && r.NoteDetail == FillNotes && !a.cachedOnly
	if notesTellOfOrigin || r.limits.mayNeedOrigin(a, r.endpoints.origin) {
		l.counted = append(l.counted, &r.limits.origin)
		l.late = l.counted[len(l.counted)-1:]
	}
	for _, limit := range l.counted {
		limit.acquire(a.work)
	}
}

// bookAtHost counts an attempt at its host.
func (r *Router) bookAtHost(q *request, a *attempt) {
	h := a.host
	if h.inFlight == 0 {
		h.health.heard(r.now)
	}
	r.serving.book(q, h)
	h.inFlight++
	h.warmUp.credit -= a.work
}

// release takes an attempt that has returned off what its host, its source and the limits count.
func (r *Router) release(q *request, a *attempt) verdict {
	r.timers.Remove(&a.overdue)
	r.timers.Remove(&a.objectiveOver)
	outcome := a.result.Outcome
	a.mayHaveRun = outcome.mayHaveRun()
	q.outstanding--
	a.host.inFlight--
	for _, limit := range a.limits.counted {
		limit.release(a.work)
	}
	if outcome.hostAnswered() {
		a.host.health.heard(r.now)
	}
	if a.filled() {
		a.source.fillsInFlight--
	}
	r.requests.forget(q)
	return proceed
}

// conclude finishes a request that was answered, and retries one that was not.
func (r *Router) conclude(q *request, a *attempt) verdict {
	if a.result.Final || a.result.Outcome == Succeeded {
		r.requests.cancelAttempts(q)
		return r.requests.finish(q)
	}
	if q.finished || q.outstanding > 0 {
		return ended
	}
	return r.retries.enqueue(q)
}
