package admission

import (
	"container/list"
	"math"
)

// bucket lets so much through a second, and saves up to its burst.
type bucket struct {
	rate, burst float64
	left, at    float64
}

// limit sets rate and burst; what was saved stays, and a bucket that had no limit is full.
func (b *bucket) limit(now, rate, burst float64) {
	fresh := b.rate == 0
	if !fresh {
		b.fill(now)
	}
	b.rate, b.burst, b.at = rate, max(burst, oneGET), now
	if b.left = min(b.left, b.burst); fresh {
		b.left = b.burst
	}
}

func (b *bucket) fill(now float64) {
	b.left = min(b.burst, b.left+b.rate*max(0, now-b.at))
	b.at = now
}

func (b *bucket) has(now, n float64) bool {
	b.fill(now)
	return b.left >= n
}

// take takes one GET out.
func (b *bucket) take() { b.left -= oneGET }

func (b *bucket) give(now, n float64) {
	if b.rate > 0 {
		b.fill(now)
		b.left = min(b.burst, b.left+n)
	}
}

// wait is the time in seconds after which one GET is there.
func (b *bucket) wait() float64 { return math.Max(0, (oneGET-b.left)/b.rate) }

// paced counts what passes, over the span that now counts and the one before.
type paced struct {
	span      float64 // start of the span
	now, last float64
}

// turn moves on to the span of a moment.
func (p *paced) turn(now float64) {
	gone := now - p.span
	if gone < rateSpan {
		return
	}
	p.last, p.now = p.now, 0
	if gone >= 2*rateSpan {
		p.last = 0
	}
	p.span = now - math.Mod(gone, rateSpan)
}

// rate is how many a second.
func (p *paced) rate(now float64) float64 {
	p.turn(now)
	return (p.last*(1-(now-p.span)/rateSpan) + p.now) / rateSpan
}

// account is what one tenant or one caller has used.
type account struct {
	share  Share
	rate   bucket // of its own share; no rate is no bound
	out    int
	pace   paced   // of a tenant, what it asks for; of a caller, what it was let have
	active float64 // of a caller: the span of its tenant in which it last asked
}

func (a *account) set(now float64, s Share) {
	if s.Weight == 0 {
		s.Weight = 1
	}
	if a.share = s; s.Rate == 0 {
		a.rate = bucket{}
		return
	}
	a.rate.limit(now, s.Rate, s.Burst)
}

// used tells whether the account's own share is used up, for how many seconds, and where the caller asks who has had
// its part already, whether what is left is kept for others.
func (a *account) used(now float64, active float64, by *account) (wait float64, used bool) {
	if most := float64(a.share.Most); most > 0 {
		kept := 0.0
		if by != nil && float64(by.out) >= most/active {
			kept = math.Floor(reserve * most * (1 - 1/active))
		}
		if float64(a.out)+kept >= most {
			return 0, true
		}
	}
	if a.share.Rate > 0 && !a.rate.has(now, oneGET+a.rate.kept(now, active, by)) {
		return math.Min(backSoon, a.rate.wait()), true
	}
	return 0, false
}

// kept is what of a tenant's bucket is kept from a caller that has had an even part of it. Guards against one caller
// that takes all of a tenant's share: whoever has had less than its part finds the reserve, which fills again at the
// full rate, and what the others leave goes to who asks for it.
func (b *bucket) kept(now, active float64, by *account) float64 {
	if by == nil || active < 2 || by.pace.rate(now) <= b.rate/active {
		return 0
	}
	return math.Min(b.burst-oneGET, reserve*b.burst)
}

func (a *account) charge() {
	a.out++
	if a.share.Rate > 0 {
		a.rate.take()
	}
}

// level is how many GETs a second, by weight, each of several accounts may have under pressure. It falls by the
// share of GETs that were shed behind it, and a little more, and grows while none is: fast where it is far from where
// it last fell, slowly near it. So it settles just under what can be borne: those that ask for less than their part
// are never held, and what they leave goes to the others. It knows no account and costs the same whatever their
// number. Guards against one that floods: without it all are shed alike, and who asks most gets most. Where sheds have
// another cause than load it holds the greatest askers for nothing, down to leastLevel.
type level struct {
	most          float64 // GETs/s by weight
	known         float64 // where it last fell
	moved         float64 // when it last moved; sheds of what was let on before that tell nothing of it
	asked, shed   float64 // let on since, and of these turned away behind it
	highest, last float64 // rate by weight asked since, and in the turn before
}

// turn moves the level once a turn has passed that tells something.
func (l *level) turn(now float64) {
	gone := now - l.moved
	if gone < turn || l.asked < tells && gone < longTurn {
		return
	}
	share, high := math.Min(1, l.shed/math.Max(1, l.asked)), math.Max(l.highest, l.last)
	switch {
	case share > pressed && high > 0:
		l.known = math.Min(l.most, high) * (1 - math.Min(cutMost, share))
		l.most = math.Max(leastLevel, l.known*under)
	case !math.IsInf(l.most, 1):
		l.grow(math.Min(mostTurns, math.Floor(gone/turn)), high)
	}
	l.moved, l.asked, l.shed, l.last, l.highest = now, 0, 0, l.highest, 0
}

// grow raises the level after so many turns, and puts it off once it holds nobody.
func (l *level) grow(turns, high float64) {
	for ; turns > 0; turns-- {
		if l.most > l.known/farOff && l.most < l.known*farOff {
			l.most *= nearGrowth
		} else {
			l.most *= growth
		}
	}
	if l.most > offAbove*high {
		l.most = math.Inf(1)
	}
}

// turnedAway books that a GET let on at a time was turned away.
func (l *level) turnedAway(at float64) {
	if at >= l.moved {
		l.shed++
	}
}

// holds tells whether the level holds a tenant that asks now.
func (l *level) holds(now float64, t *tenant, active float64, by *account) bool {
	l.turn(now)
	t.pace.turn(now)
	t.pace.now++
	l.highest = math.Max(l.highest, t.pace.rate(now)/t.share.Weight)
	if math.IsInf(l.most, 1) {
		t.fair.rate = 0
		return false
	}
	rate, fresh := l.most*t.share.Weight, t.fair.rate == 0
	t.fair.limit(now, rate, math.Max(fairGETs, rate*fairBurst))
	if fresh { // a level that begins must not let a burst of all at once through
		t.fair.left = oneGET
	}
	return !t.fair.has(now, oneGET+t.fair.kept(now, active, by))
}

// tenant is one with what it has used.
type tenant struct {
	Tenant
	account
	rights *rights
	fair   bucket // of the level that holds under pressure
	asking paced  // its callers that ask, by span
}

// ask books that a caller asks, and gives how many do.
func (t *tenant) ask(now float64, c *account) float64 {
	if t.asking.turn(now); c.active != t.asking.span {
		c.active = t.asking.span
		t.asking.now++
	}
	return math.Max(1, math.Max(t.asking.now, t.asking.last))
}

// share passes a GET by the caller's share, then by the tenant's and the level, and charges all only if all let it on.
func (m *Module) share(now float64, t Ticket) (Refusal, float64) {
	ten, c := t.tenant, t.caller
	active := ten.ask(now, c)
	held := m.fair.holds(now, ten, active, c)
	if wait, used := c.used(now, 1, nil); used {
		return ShareUsed, wait
	}
	if wait, used := ten.used(now, active, c); used {
		return ShareUsed, wait
	}
	if held {
		return Pressed, backFair
	}
	if m.fair.asked++; ten.fair.rate > 0 {
		ten.fair.take()
	}
	c.pace.turn(now)
	c.pace.now++
	c.charge()
	ten.charge()
	return Passed, 0
}

// table is the accounts of callers, the least lately used of which gives way.
type table struct {
	most  int
	by    map[callerKey]*list.Element
	order list.List // of *entry
}

type callerKey struct{ tenant, name string }

type entry struct {
	key callerKey
	account
}

func (t *table) resize(most int) {
	if t.most = most; t.by == nil {
		t.by = map[callerKey]*list.Element{}
	}
	for t.order.Len() > most && t.drop() {
	}
}

// account is a caller's, or, where all places are busy, one that is forgotten with its GET.
func (t *table) account(now float64, c Caller) *account {
	key := callerKey{c.tenant.Name, c.name}
	if at := t.by[key]; at != nil {
		t.order.MoveToFront(at)
		a := &at.Value.(*entry).account
		if a.share != c.tenant.Caller {
			a.set(now, c.tenant.Caller)
		}
		return a
	}
	e := &entry{key: key}
	e.set(now, c.tenant.Caller)
	if t.order.Len() < t.most || t.drop() {
		t.by[key] = t.order.PushFront(e)
	}
	return &e.account
}

// drop takes out the least lately used caller that has nothing under way.
func (t *table) drop() bool {
	for range busyTries {
		at := t.order.Back()
		if at == nil {
			return false
		}
		if e := at.Value.(*entry); e.out == 0 {
			t.order.Remove(at)
			delete(t.by, e.key)
			return true
		}
		t.order.MoveToFront(at)
	}
	return false
}
