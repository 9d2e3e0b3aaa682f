package routing

import (
	"elderwall/core/routing/congestion"
	"elderwall/core/routing/grouphealth"
	"elderwall/core/routing/retrybudget"
)

const (
	tickInterval = 0.010 // seconds between ticks of the periodic timer; shorter than any latency objective in use
	// averageIntervalPerHost is the time in seconds, per host, between two updates of the averages over all
	// hosts. An update takes 70 ns per host, so updates use less than 1% of a core.
	averageIntervalPerHost = 1e-5
	pollBackoff            = 1.0    // seconds between a failed poll of the endpoint list and the next one
	tickCookie             = "tick" // identifies the periodic timer in Actions.Schedule
	newObjectPriority      = 1      // cache priority of an object that was not requested before
	knownObjectPriority    = 2      // cache priority of an object that was requested before
)

// verdict tells how a step has left a request.
type verdict int

const (
	proceed verdict = iota // the next step handles it
	pending                // it waits for an attempt or for its retry
	ended                  // it is finished, or this result needs no further step
)

// Router makes the decisions for one dispatcher process or shard. It composes the components, each of which
// keeps its own state. It is not safe for concurrent use.
type Router struct {
	*environment
	timers      timers
	requests    requestTable
	endpoints   endpointTable
	demand      demandTracker
	costs       costModel
	serving     servingTimes
	limits      limiter
	outliers    outlierDetector
	slowStart   slowStart
	restarts    restartDetector
	connections connectionTracker
	retries     retryQueue
	budget      retrybudget.Budget
	purges      purgeLog
	congestion  congestion.Tracker
	groups      grouphealth.Tracker
	averagedAt  float64 // seconds; when the averages over all hosts were last updated
}

// New returns a router that knows only its settings. now is in seconds, on the clock that all later calls
// use.
func New(s Settings, now float64, actions Actions) *Router {
	env := &environment{Settings: s, actions: actions, now: now}
	r := &Router{environment: env}
	r.requests = requestTable{environment: env, timers: &r.timers, byID: map[uint32]*request{}}
	r.endpoints = endpointTable{environment: env, groups: &r.groups, slowStart: &r.slowStart, byID: map[uint32]*host{}}
	r.demand = demandTracker{objects: newObjectTable(s.Services)}
	r.costs = costModel{environment: env, congestion: &r.congestion}
	for _, d := range s.Services {
		r.costs.services = append(r.costs.services, &service{DeliveryService: d})
	}
	r.serving = servingTimes{environment: env, endpoints: &r.endpoints, costs: &r.costs}
	r.limits = newLimiter(env, &r.costs, &r.congestion)
	r.outliers = outlierDetector{env, &r.slowStart, &r.restarts}
	r.slowStart = slowStart{environment: env, costs: &r.costs}
	r.restarts = restartDetector{environment: env, slowStart: &r.slowStart}
	r.connections = connectionTracker{environment: env, timers: &r.timers, restarts: &r.restarts, outliers: &r.outliers}
	r.budget = retrybudget.New(s.Retries, now)
	r.purges = purgeLog{environment: env, timers: &r.timers, purgedAt: map[string]float64{}}
	if s.PollEndpoints {
		actions.PollEndpoints()
	}
	actions.Schedule(tickInterval, tickCookie)
	return r
}

// UpdateEndpoints applies an endpoint list or changes to it.
func (r *Router) UpdateEndpoints(now float64, kind ListKind, entries []Endpoint) {
	r.now = now
	if kind == ListFailed { // only a router that polls the list receives this
		poll := func(r *Router, _ *request, _ *attempt) { r.actions.PollEndpoints() }
		r.timers.Add(now+pollBackoff, timerEvent{handle: poll})
		return
	}
	r.endpoints.update(kind, entries)
	r.limits.initialize(len(r.endpoints.caches))
}

// HandleRequest accepts a client's request. The request is answered through Actions exactly once, immediately
// or later.
func (r *Router) HandleRequest(now float64, in Request) {
	r.now = now
	q := r.requests.open(in, r.costs.services[in.Service])
	r.groups.CountRequest(now)
	r.demand.count(now, q)
	r.costs.learnRequest(q)
	r.route(q)
}

// HandleResult processes the end of an attempt. It returns false if no such attempt is outstanding.
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

// HandleStreaming is called when the answer of an attempt has started to stream to the client. The request is
// then finished, as the client receives its answer from this attempt.
func (r *Router) HandleStreaming(now float64, id uint32, number int) {
	r.now = now
	if q, a := r.requests.attempt(id, number); a != nil {
		r.requests.finish(q)
		a.abandoned = true
	}
}

// HandleClientGone is called when a client has disconnected. Its request is then finished.
func (r *Router) HandleClientGone(now float64, id uint32) {
	r.now = now
	if q := r.requests.byID[id]; q != nil && !q.finished {
		r.requests.cancelAttempts(q)
		r.requests.finish(q)
	}
}

// ExpectConnectionTimes tells the router, before its first request, that results tell when the connections of answers
// were established (AttemptResult.ConnectedAt), that HandleConnectionUp, HandleConnectionFailed and HandleConnected are
// called, and that Actions.OpenConnection connects.
func (r *Router) ExpectConnectionTimes() { r.restarts.connectionsKnown = true }

// HandleConnectionUp is called when a connection to a host has been established and no other one is up, before anything
// is sent over it.
func (r *Router) HandleConnectionUp(now float64, host uint32) {
	r.now = now
	if h := r.endpoints.byID[host]; h != nil {
		r.connections.observeUp(h)
	}
}

// HandleConnectionFailed is called when a connection that Actions.OpenConnection asked for could not be established while no
// attempt waited for it. ownFault is set if the host had no part in that.
func (r *Router) HandleConnectionFailed(now float64, host uint32, ownFault bool) {
	r.now = now
	if h := r.endpoints.byID[host]; h != nil {
		r.connections.observeFailed(h, ownFault)
	}
}

// HandleConnected is called from time to time with whether a connection to a host is up.
func (r *Router) HandleConnected(now float64, host uint32, connected bool) {
	r.now = now
	h := r.endpoints.byID[host]
	switch {
	case h == nil || h.connection.up == connected:
	case connected:
		r.connections.observeUp(h)
	default:
		r.connections.observeDown(h)
	}
}

// HandleConnectionLost is called when a host has ended the last connection to it while nothing was in flight there. The
// losses of attempts are told by their results.
func (r *Router) HandleConnectionLost(now float64, host uint32) {
	r.now = now
	if h := r.endpoints.byID[host]; h != nil {
		r.connections.observeDown(h)
		r.restarts.observeIdleLoss(h)
	}
}

// TakeConnectionWaits returns how many requests have begun to wait for the first connection to a host since the last call.
func (r *Router) TakeConnectionWaits() (requests int) {
	requests, r.connections.waits = r.connections.waits, 0
	return requests
}

// ReportSlowStarts reports all slow starts that go on, for an operator who asks.
func (r *Router) ReportSlowStarts(now float64) {
	r.now = now
	for _, hosts := range [][]*host{r.endpoints.caches, r.endpoints.parents} {
		for _, h := range hosts {
			if r.slowStart.inProgress(h) {
				r.slowStart.report(h, SlowStartInProgress)
			}
		}
	}
}

// HandleListAsked records when the source of the endpoint list was first asked, in seconds, before it has said anything.
func (r *Router) HandleListAsked(now, askedAt float64) {
	r.now = now
	r.restarts.list.ask(askedAt)
}

// HandleListHeard records when the source of the endpoint list last said something, in seconds. A router that is
// never told takes the source for one that is always heard. It returns the pause of the source in seconds that has ended with
// that if the list is taken to be late for it, and 0 otherwise.
func (r *Router) HandleListHeard(now, heardAt float64) (pause float64) {
	r.now = now
	return r.restarts.hearList(heardAt)
}

// HandlePurge records a purge of an object, or of a whole group if object is empty. The purge was issued age
// seconds ago.
func (r *Router) HandlePurge(now float64, object string, group int, age float64) {
	r.now = now
	r.purges.record(object, group, age)
}

// HandleTimer handles a tick of the periodic timer and schedules the next one.
func (r *Router) HandleTimer(now float64) {
	r.now = now
	r.actions.Schedule(tickInterval, tickCookie)
	for event, due := r.timers.Pop(now); due; event, due = r.timers.Pop(now) {
		event.handle(r, event.request, event.attempt)
	}
	r.updateAverages()
}

// updateAverages updates the averages over all hosts from time to time, so that no request has to visit all
// hosts.
func (r *Router) updateAverages() {
	hosts := float64(len(r.endpoints.caches) + len(r.endpoints.parents))
	if r.now < r.averagedAt+hosts*averageIntervalPerHost {
		return
	}
	r.averagedAt = r.now
	r.serving.updateAverage()
	r.slowStart.warmRates.update(r.now, r.costs.works(), r.costs.measured(), r.endpoints.caches, r.endpoints.parents)
}

// RunRetries sends the requests that wait for a retry. It must be called after all other calls of one moment.
func (r *Router) RunRetries(now float64) {
	r.now = now
	for _, q := range r.retries.take() {
		q.queued = false
		if !q.finished {
			r.route(q)
		}
	}
}

// GiveUp answers a request whose front can't wait for it any longer, as its deadline would: as rejected if it is
// safe to repeat, otherwise as failed. It returns false if the request is unknown or finished.
func (r *Router) GiveUp(now float64, id uint32) bool {
	r.now = now
	q := r.requests.byID[id]
	if q == nil || q.finished {
		return false
	}
	r.requests.giveUp(q)
	return true
}

// FinishAll answers all open requests in the order of their IDs, which is the order of arrival. It is called
// by a process that is about to exit and could not deliver later answers.
func (r *Router) FinishAll(now float64) {
	r.now = now
	r.requests.giveUpAll()
}

// MaxAge returns the maximum age, in seconds, of a copy that a request may be answered with after the purges
// known so far. It is 0 if no purge limits the age or the request is unknown.
func (r *Router) MaxAge(now float64, id uint32) float64 {
	r.now = now
	if q := r.requests.byID[id]; q != nil {
		return r.purges.maxAge(q)
	}
	return 0
}

// SetQuota limits how many attempts this router may have in flight at a host, either sent to it or with it as
// the source. With host 0 it limits the attempts that may need the origin. The cluster divides these quotas
// among its routers.
func (r *Router) SetQuota(host uint32, quota int) {
	if l := r.quotaLimit(host); l != nil {
		l.quota, l.hasQuota = quota, true
	}
}

// QuotaUsage returns how many of the attempts that a quota applies to are in flight, and how often a check
// has found the quota used up.
func (r *Router) QuotaUsage(host uint32) (inFlight, rejections int) {
	if l := r.quotaLimit(host); l != nil {
		return l.count, l.quotaRejections
	}
	return 0, 0
}

// quotaLimit returns the limit that a quota applies to, or nil for an unknown host.
func (r *Router) quotaLimit(host uint32) *concurrencyLimit {
	if host == 0 {
		return &r.limits.origin
	}
	if h := r.endpoints.byID[host]; h != nil {
		return &h.limit
	}
	return nil
}

// route runs a request through the steps until one of them returns a verdict other than proceed.
func (r *Router) route(q *request) {
	for _, step := range [...]func(*Router, *request) verdict{
		(*Router).admit, (*Router).selectCache, (*Router).selectSource, (*Router).send,
	} {
		if step(r, q) != proceed {
			return
		}
	}
}

// handleReturned runs the result of an attempt through the steps in reverse order until one of them returns a
// verdict other than proceed.
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
	r.outliers.countProbe(h)
	r.outliers.countProbe(source)
	sendBy := min(q.repeatableUntil()-tickInterval, q.giveUpAt) // a host would drop a request that has less time left
	sendBy = min(sendBy, r.slowStart.sendBy(h), r.slowStart.sendBy(source))
	q.admitted = false
	r.timers.Remove(&q.wait)
	a := r.newAttempt(q, work)
	r.acquireLimits(a)
	r.scheduleObjectiveCheck(q, a)
	q.outstanding++
	r.countAtHost(q, a)
	r.scheduleOverdueCheck(q, a)
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
		return knownObjectPriority
	}
	return newObjectPriority
}

// newAttempt creates the attempt that is about to be sent.
func (r *Router) newAttempt(q *request, work float64) *attempt {
	h := q.host
	a := q.newAttempt()
	a.host, a.source = h, q.source
	a.sentAt, a.work, a.objective = r.now, work, r.costs.objective(q)
	a.concurrent = h.inFlight
	a.cachedOnly = q.cachedOnly
	probablyHit := q.object.cachedBy(h, r.now) && !q.cacheMissed
	a.isFill = a.hasFillSource() && !probablyHit
	return a
}

// acquireLimits counts an attempt in the limits that apply to it, and selects the limits that it counts
// against if it is late.
func (r *Router) acquireLimits(a *attempt) {
	l := &a.limits
	l.acquired = append(l.acquiredStore[:0], &a.host.limit, &r.limits.caches)
	l.fill = append(l.fillStore[:0], &a.source.limit, &r.limits.fills)
	l.chargedIfLate = l.acquired[:2]
	if a.hasFillSource() {
		l.acquired = append(l.acquired, &a.source.limit)
		a.source.fillsInFlight++
		a.source.warmUp.credit -= a.work
		r.slowStart.countAttempt(a.source)
	}
	if a.isFill {
		l.acquired = append(l.acquired, &r.limits.fills)
		l.chargedIfLate = l.fill
	}
	notesReportOrigin := a.isFill && r.NoteDetail == FillNotes && !a.cachedOnly
	if notesReportOrigin || r.limits.mayNeedOrigin(a, r.endpoints.origin) {
		l.acquired = append(l.acquired, &r.limits.origin)
		l.chargedIfLate = l.acquired[len(l.acquired)-1:]
	}
	for _, limit := range l.acquired {
		limit.acquire(a.work)
	}
}

// countAtHost counts an attempt at its host.
func (r *Router) countAtHost(q *request, a *attempt) {
	h := a.host
	if h.inFlight == 0 {
		h.health.recordContact(r.now)
	}
	r.serving.addToMakespan(q, h)
	h.inFlight++
	r.connections.countSent(h)
	h.warmUp.credit -= a.work
	r.slowStart.countAttempt(h)
}

// release removes a returned attempt from the counts of its host, of its source and of the limits.
func (r *Router) release(q *request, a *attempt) verdict {
	r.timers.Remove(&a.overdueTimer)
	r.timers.Remove(&a.objectiveTimer)
	outcome := a.result.Outcome
	a.mayHaveRun = outcome.MayHaveRun()
	q.outstanding--
	a.host.inFlight--
	r.connections.countReturned(a.host)
	for _, limit := range a.limits.acquired {
		limit.release(a.work)
	}
	if outcome.hostAnswered() {
		a.host.health.recordContact(r.now)
	}
	if a.hasFillSource() {
		a.source.fillsInFlight--
	}
	r.requests.forget(q)
	return proceed
}

// conclude finishes a request that has been answered, and retries one that has not.
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
