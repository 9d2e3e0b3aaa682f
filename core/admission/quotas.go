package admission

import (
	"container/list"
	"math"
)

// bucket is a token bucket in GETs; a rate of 0 means that it has no limit.
type bucket struct {
	rate, burst      float64 // GETs per second, GETs
	tokens, filledAt float64 // GETs, seconds
}

// setLimit sets rate and burst. Saved tokens stay; a bucket that had no limit starts full.
func (b *bucket) setLimit(now, rate, burst float64) {
	fresh := b.rate == 0
	if !fresh {
		b.fill(now)
	}
	b.rate, b.burst, b.filledAt = rate, max(burst, oneGET), now
	if b.tokens = min(b.tokens, b.burst); fresh {
		b.tokens = b.burst
	}
}

func (b *bucket) fill(now float64) {
	b.tokens = min(b.burst, b.tokens+b.rate*max(0, now-b.filledAt))
	b.filledAt = now
}

func (b *bucket) has(now, n float64) bool {
	b.fill(now)
	return b.tokens >= n
}

// take takes out one GET.
func (b *bucket) take() { b.tokens -= oneGET }

// refund returns n GETs to the bucket.
func (b *bucket) refund(now, n float64) {
	if b.rate > 0 {
		b.fill(now)
		b.tokens = min(b.burst, b.tokens+n)
	}
}

// wait returns the seconds until one GET is available.
func (b *bucket) wait() float64 { return math.Max(0, (oneGET-b.tokens)/b.rate) }

// rateCounter counts events in the current window and the one before.
type rateCounter struct {
	windowStart       float64 // start of the current window, in seconds
	current, previous float64
}

// advance moves to the window that contains now.
func (p *rateCounter) advance(now float64) {
	elapsed := now - p.windowStart
	if elapsed < rateWindow {
		return
	}
	p.previous, p.current = p.current, 0
	if elapsed >= 2*rateWindow {
		p.previous = 0
	}
	p.windowStart = now - math.Mod(elapsed, rateWindow)
}

// rate returns the events per second over about one window.
func (p *rateCounter) rate(now float64) float64 {
	p.advance(now)
	return (p.previous*(1-(now-p.windowStart)/rateWindow) + p.current) / rateWindow
}

// account is the usage of one tenant or one caller.
type account struct {
	quota        Quota
	bucket       bucket // of its own quota; no rate means no limit
	inFlight     int
	requests     rateCounter // of a tenant: GETs that arrived; of a caller: GETs that were admitted
	activeWindow float64     // of a caller: start of the tenant's window in which it was last active
}

// set replaces the quota; usage stays.
func (a *account) set(now float64, s Quota) {
	if s.Weight == 0 {
		s.Weight = 1
	}
	if a.quota = s; s.Rate == 0 {
		a.bucket = bucket{}
		return
	}
	a.bucket.setLimit(now, s.Rate, s.Burst)
}

// exhausted reports whether the account's own quota is used up and, if its rate is, how many seconds to wait. For a
// tenant's account, caller is who sends the GET: what is left may be reserved for other callers if this one has had
// its part.
func (a *account) exhausted(now float64, active float64, caller *account) (wait float64, used bool) {
	if limit := float64(a.quota.MaxInFlight); limit > 0 {
		withheld := 0.0
		if caller != nil && float64(caller.inFlight) >= limit/active {
			withheld = math.Floor(reservedShare * limit * (1 - 1/active))
		}
		if float64(a.inFlight)+withheld >= limit {
			return 0, true
		}
	}
	if a.quota.Rate > 0 && !a.bucket.has(now, oneGET+a.bucket.withheld(now, active, caller)) {
		return math.Min(maxQuotaWait, a.bucket.wait()), true
	}
	return 0, false
}

// withheld returns how many of a tenant's tokens are withheld from a caller that has had more than an equal part.
// Guards against one caller that takes a tenant's whole quota: a caller that had less finds the reserve, which refills
// at the full rate, and what others leave unused goes to whoever asks.
func (b *bucket) withheld(now, active float64, caller *account) float64 {
	if caller == nil || active < 2 || caller.requests.rate(now) <= b.rate/active {
		return 0
	}
	return math.Min(b.burst-oneGET, reservedShare*b.burst)
}

// charge counts a GET that was admitted.
func (a *account) charge() {
	a.inFlight++
	if a.quota.Rate > 0 {
		a.bucket.take()
	}
}

// fairLevel limits how many GETs per second and unit of weight each tenant may have under pressure. It falls by the
// share of admitted GETs that were shed downstream, and a little more, and grows while none is: slowly near the last
// cut, fast elsewhere. So it settles just below the sustainable rate: tenants that ask for less than their part are never
// limited, and what they leave goes to the others. It stores nothing per tenant and costs the same whatever their
// number. Guards against a tenant that floods: without the level all are shed alike, and whoever asks most gets most.
// If sheds have another cause than load, it limits the tenants with the highest rates in vain, down to minLevel.
type fairLevel struct {
	limit              float64 // GETs per second and unit of weight; infinite while disabled
	lastCut            float64 // level just after the last cut, before cutTarget
	movedAt            float64 // time of the last change; sheds of GETs admitted earlier are not counted
	admitted, shed     float64 // GETs since then, and those of them that were shed downstream
	peak, previousPeak float64 // highest tenant's rate by weight, since then and in the interval before
}

// update changes the level once an interval with enough GETs has passed.
func (l *fairLevel) update(now float64) {
	elapsed := now - l.movedAt
	if elapsed < levelInterval || l.admitted < minSample && elapsed < maxLevelInterval {
		return
	}
	shedShare, highest := math.Min(1, l.shed/math.Max(1, l.admitted)), math.Max(l.peak, l.previousPeak)
	switch {
	case shedShare > pressureThreshold && highest > 0:
		l.lastCut = math.Min(l.limit, highest) * (1 - math.Min(maxCut, shedShare))
		l.limit = math.Max(minLevel, l.lastCut*cutTarget)
	case !math.IsInf(l.limit, 1):
		l.grow(math.Min(maxGrowthSteps, math.Floor(elapsed/levelInterval)), highest)
	}
	l.movedAt, l.admitted, l.shed, l.previousPeak, l.peak = now, 0, 0, l.peak, 0
}

// grow raises the level by some steps and disables it once it limits nobody.
func (l *fairLevel) grow(steps, highest float64) {
	for ; steps > 0; steps-- {
		if l.limit > l.lastCut/nearFactor && l.limit < l.lastCut*nearFactor {
			l.limit *= nearGrowth
		} else {
			l.limit *= growth
		}
	}
	if l.limit > disableFactor*highest {
		l.limit = math.Inf(1)
	}
}

// recordShed counts a shed GET that was admitted at that time.
func (l *fairLevel) recordShed(admittedAt float64) {
	if admittedAt >= l.movedAt {
		l.shed++
	}
}

// overLimit counts a tenant's GET and reports whether the level rejects it.
func (l *fairLevel) overLimit(now float64, t *tenant, active float64, caller *account) bool {
	l.update(now)
	t.requests.advance(now)
	t.requests.current++
	l.peak = math.Max(l.peak, t.requests.rate(now)/t.quota.Weight)
	if math.IsInf(l.limit, 1) {
		t.fairBucket.rate = 0
		return false
	}
	rate, fresh := l.limit*t.quota.Weight, t.fairBucket.rate == 0
	t.fairBucket.setLimit(now, rate, math.Max(minFairBurst, rate*fairBurst))
	if fresh { // a level that starts must not admit a burst of every tenant at once
		t.fairBucket.tokens = oneGET
	}
	return !t.fairBucket.has(now, oneGET+t.fairBucket.withheld(now, active, caller))
}

// tenant is a configured tenant with its usage.
type tenant struct {
	Tenant
	account
	rights        *rights
	fairBucket    bucket      // of the fair level
	activeCallers rateCounter // callers that sent a GET, by window
}

// recordActive counts the caller as active and returns the number of active callers.
func (t *tenant) recordActive(now float64, c *account) float64 {
	if t.activeCallers.advance(now); c.activeWindow != t.activeCallers.windowStart {
		c.activeWindow = t.activeCallers.windowStart
		t.activeCallers.current++
	}
	return math.Max(1, math.Max(t.activeCallers.current, t.activeCallers.previous))
}

// applyQuotas checks a GET against the caller's quota, the tenant's quota and the fair level. It charges all of them,
// and only if all admit it.
func (m *Controller) applyQuotas(now float64, t Ticket) (Rejection, float64) {
	ten, c := t.tenant, t.caller
	active := ten.recordActive(now, c)
	overFair := m.fair.overLimit(now, ten, active, c)
	if wait, used := c.exhausted(now, 1, nil); used {
		return QuotaExceeded, wait
	}
	if wait, used := ten.exhausted(now, active, c); used {
		return QuotaExceeded, wait
	}
	if overFair {
		return OverFairRate, fairWait
	}
	if m.fair.admitted++; ten.fairBucket.rate > 0 {
		ten.fairBucket.take()
	}
	c.requests.advance(now)
	c.requests.current++
	c.charge()
	ten.charge()
	return Admitted, 0
}

// callerTable holds the accounts of callers. When it is full, the least recently used caller without GETs in flight is
// evicted.
type callerTable struct {
	limit int
	byKey map[callerKey]*list.Element
	order list.List // of *callerEntry, the most recently used in front
}

type callerKey struct{ tenant, name string }

type callerEntry struct {
	key callerKey
	account
}

// resize sets the limit and evicts callers above it where possible.
func (t *callerTable) resize(limit int) {
	if t.limit = limit; t.byKey == nil {
		t.byKey = map[callerKey]*list.Element{}
	}
	for t.order.Len() > limit && t.evict() {
	}
}

// account returns a caller's account. If the table is full of callers with GETs in flight, it returns a temporary one
// that only the ticket refers to.
func (t *callerTable) account(now float64, c Caller) *account {
	key := callerKey{c.tenant.Name, c.name}
	if element := t.byKey[key]; element != nil {
		t.order.MoveToFront(element)
		a := &element.Value.(*callerEntry).account
		if a.quota != c.tenant.CallerQuota {
			a.set(now, c.tenant.CallerQuota)
		}
		return a
	}
	e := &callerEntry{key: key}
	e.set(now, c.tenant.CallerQuota)
	if t.order.Len() < t.limit || t.evict() {
		t.byKey[key] = t.order.PushFront(e)
	}
	return &e.account
}

// evict removes the least recently used caller that has nothing in flight. It returns false after maxEvictTries
// callers.
func (t *callerTable) evict() bool {
	for range maxEvictTries {
		element := t.order.Back()
		if element == nil {
			return false
		}
		if e := element.Value.(*callerEntry); e.inFlight == 0 {
			t.order.Remove(element)
			delete(t.byKey, e.key)
			return true
		}
		t.order.MoveToFront(element)
	}
	return false
}
