package quota

import (
	"maps"
	"math"
	"slices"
)

// Question is what a dispatcher says of itself and wants, of all budgets at once.
type Question struct {
	ID      uint64 `cbor:"ID"` // later ones are higher
	Name    string `cbor:"Name"`
	Boot    uint64 `cbor:"Boot"`
	Zone    string `cbor:"Zone"`
	Address string `cbor:"Address"`
	Token   uint64 `cbor:"Token"`  // of the last divider that answered it
	Leaves  bool   `cbor:"Leaves"` // it uses nothing any more, and gives all up, floors too
	Asks    []Ask  `cbor:"Asks"`
}

// Ask is a question's part about one budget.
type Ask struct {
	Budget string `cbor:"Budget"`
	Keep   int64  `cbor:"Keep"`  // it binds itself to that until it is answered
	Floor  int64  `cbor:"Floor"` // that it counts on without word
	Used   int64  `cbor:"Used"`  // of an amount: all so far
	Need   int64  `cbor:"Need"`  // that it would use
}

// Answer is what a dispatcher may have.
type Answer struct {
	ID    uint64 `cbor:"ID"`
	Token uint64 `cbor:"Token"` // the divider's
	Gives []Give `cbor:"Gives"`
}

// Give is an answer's part about one budget.
type Give struct {
	Budget string `cbor:"Budget"`
	Kind   Kind   `cbor:"Kind"`
	Size   int64  `cbor:"Size"` // of an amount: all that it may have used
	Floor  int64  `cbor:"Floor"`
	Burst  int64  `cbor:"Burst"`
}

// Holder is a dispatcher's part.
type Holder struct {
	name    string
	boot    uint64
	zone    string
	address string
	shares  map[string]*share
	id      uint64
	asked   float64 // when the last question was
	answers uint64  // the last question that was answered
	token   uint64
	until   float64 // shares count until then
	stands  float64 // floors do
	due     float64
	leaving bool
	tries   int // questions with no answer since
}

type share struct {
	Give
	inUse   int64
	spare   int64   // of that, reserved and not begun
	area    float64 // in use by seconds, since the last question
	areaAt  float64
	used    int64
	level   float64 // of a rate's bucket
	at      float64 // when it was last filled
	took    float64 // since the last question
	refused float64
	rate    float64 // taken and refused a second, lately
	counted float64 // since when
	gone    bool    // used here no more
	told    int64   // Need of the last question
}

// NewHolder holds nothing, of any budget that it is asked about.
func NewHolder(name string, boot uint64, zone, address string) *Holder {
	return &Holder{name: name, boot: boot, zone: zone, address: address, shares: map[string]*share{}, id: boot * 0x9e3779b97f4a7c15 >> 1}
}

// Use says that a budget is used here.
func (h *Holder) Use(budget string, kind Kind, now float64) {
	if h.shares[budget] == nil && len(h.shares) < MostBudgets {
		h.shares[budget] = &share{Give: Give{Budget: budget, Kind: kind}, at: now, counted: now, areaAt: now}
		h.due = now
	}
}

// Only says which budgets are used here from now on: others go once nothing is under way of them and that was told.
func (h *Holder) Only(used func(budget string) bool, now float64) {
	for name, s := range h.shares {
		if s.gone = !used(name); s.gone {
			s.Size, s.Floor, h.due = min(s.Size, s.used), 0, now
			if s.Kind != Amount {
				s.Size = 0
			}
		}
	}
}

// limit is what may be used now: the share while it counts, then the floor, then nothing.
func (h *Holder) limit(now float64, s *share) int64 {
	switch {
	case h.leaving:
		return 0
	case now < h.until:
		return s.Size
	case s.Kind == Amount:
		return s.used // what was not used counts as spent at the divider
	case now < h.stands:
		return min(s.Floor, s.Size)
	}
	return 0
}

// Limit is what may be used of a budget now.
func (h *Holder) Limit(now float64, budget string) int64 {
	if s := h.shares[budget]; s != nil {
		return h.limit(now, s)
	}
	return 0
}

// InUse is what of a budget is under way.
func (h *Holder) InUse(budget string) int64 {
	if s := h.shares[budget]; s != nil {
		return s.inUse
	}
	return 0
}

// burst is what the bucket of a rate holds at most now.
func (h *Holder) burst(now float64, s *share) float64 {
	if limit := h.limit(now, s); s.Size > 0 {
		return float64(s.Burst) * float64(min(limit, s.Size)) / float64(s.Size)
	}
	return 0
}

// Take takes so many units of a budget, if they are there; what is under way is given back by Done. It is asked right before each act:
// whoever was stopped finds its share over.
func (h *Holder) Take(now float64, budget string, n int64) bool {
	s := h.shares[budget]
	if s == nil || n < 0 {
		return false
	}
	limit, ok := h.limit(now, s), false
	switch s.Kind {
	case UnderWay:
		if ok = s.inUse+n <= limit; ok {
			s.use(now, n)
		}
	case Rate:
		h.fill(now, s)
		if ok = s.level >= float64(n); ok {
			s.level -= float64(n)
		}
	case Amount:
		if ok = s.used+n <= limit; ok {
			s.used += n
		}
	}
	if ok {
		s.took += float64(n)
	} else {
		s.refused += float64(n)
		if h.starved(s) && h.answers == h.id {
			h.due = math.Min(h.due, h.asked+leastAsk)
		}
	}
	return ok
}

// starved tells that far more is wanted than was told.
func (h *Holder) starved(s *share) bool { return s.refused > 0.1*s.took }

// fill fills a rate's bucket. A share that came late begins empty: guards against a burst that its last holder has had already.
func (h *Holder) fill(now float64, s *share) {
	gone := math.Max(0, now-s.at)
	rate := float64(h.limit(now, s)) / float64(Thousand)
	if s.at < h.until && now > h.until { // part of the time is past its end
		rate = 0
	}
	s.at = now
	s.level = math.Min(h.burst(now, s), s.level+gone*rate)
}

// Refused books what was turned away elsewhere by a bound that this gave.
func (h *Holder) Refused(budget string, n int64) {
	if s := h.shares[budget]; s != nil && n > 0 {
		if s.refused += float64(n); h.starved(s) && h.answers == h.id {
			h.due = math.Min(h.due, h.asked+leastAsk)
		}
	}
}

// Reserve books what may be under way elsewhere by a bound that this gave, in place of what was reserved before; held is what is, begun how
// much of it was since the last time.
func (h *Holder) Reserve(now float64, budget string, was, is, held, begun int64) {
	if s := h.shares[budget]; s != nil && s.Kind == UnderWay {
		s.use(now, is-was)
		s.took += float64(begun)
		s.spare = is - held
	}
}

// Done ends what was under way.
func (h *Holder) Done(now float64, budget string, n int64) {
	if s := h.shares[budget]; s != nil && s.Kind == UnderWay {
		s.use(now, -n)
	}
}

// use books what begins and ends.
func (s *share) use(now float64, n int64) {
	s.area += float64(s.inUse-s.spare) * math.Max(0, now-s.areaAt)
	s.areaAt = now
	s.inUse = max(0, s.inUse+n)
}

// Leave gives all up.
func (h *Holder) Leave(now float64) { h.leaving, h.due = true, now }

// Settled tells that word of all that was given up has come.
func (h *Holder) Settled() bool { return h.leaving && h.answers == h.id }

// keep is what a share binds itself to until it is answered; what is under way counts until it ends.
func (h *Holder) keep(now float64, s *share) int64 {
	k := h.limit(now, s)
	if s.Kind == UnderWay {
		k = max(k, s.inUse)
	}
	return k
}

// need is what would be used, by what was and by what was turned away.
func (s *share) need(now float64) int64 {
	span := math.Max(leastAsk, now-s.counted)
	rate := (s.took + s.refused) / span
	if s.rate = rate; s.Kind == Rate {
		return int64(math.Ceil(rate * float64(Thousand)))
	}
	if s.Kind == Amount {
		return int64(math.Ceil(rate * 2 * Lease))
	}
	s.use(now, 0)
	n := s.area / span // by the mean: a peak would hold far more than is used at those that have little
	if s.refused > 0 {
		n = math.Max(n*(s.took+s.refused)/math.Max(1, s.took), 1)
	}
	return int64(math.Ceil(n))
}

// Tick gives the next question, when it is time for one.
func (h *Holder) Tick(now float64) (q Question, ask bool) {
	if now < h.due || len(h.shares) == 0 {
		return q, false
	}
	if h.answers != h.id {
		h.tries++
	}
	h.id++
	h.asked = now
	h.due = now + math.Min(askEach, leastAsk*math.Pow(2, float64(min(h.tries, 3)))) // an answer puts it off
	q = Question{ID: h.id, Name: h.name, Boot: h.boot, Zone: h.zone, Address: h.address, Token: h.token, Leaves: h.leaving}
	for _, name := range slices.Sorted(maps.Keys(h.shares)) {
		s := h.shares[name]
		if s.Kind == Rate {
			h.fill(now, s)
		}
		s.told = s.need(now)
		// What it binds itself to is in force from now on: an answer to an earlier question raises nothing.
		s.Size = h.limit(now, s)
		q.Asks = append(q.Asks, Ask{Budget: name, Keep: h.keep(now, s), Floor: min(s.Floor, s.Size), Used: s.used, Need: s.told})
		s.area, s.took, s.refused, s.counted = 0, 0, 0, now
	}
	return q, true
}

// Answer takes what a question came to. Only the last question's counts, and none of an older divider: what it says is as of when it was
// asked, and later questions have bound this one to less.
func (h *Holder) Answer(now float64, a Answer) bool {
	if a.ID != h.id || a.ID == h.answers || a.Token < h.token {
		return false
	}
	h.answers, h.token, h.tries = a.ID, a.Token, 0
	h.until, h.stands = h.asked+Lease*(1-Drift), h.asked+Standing*(1-Drift)
	each, less := askEach, len(a.Gives) == 0 // not enrolled yet
	for name, s := range h.shares {
		i := slices.IndexFunc(a.Gives, func(g Give) bool { return g.Budget == name && g.Kind == s.Kind })
		g := Give{Budget: name, Kind: s.Kind}
		if i >= 0 {
			g = a.Gives[i]
		}
		if s.gone {
			if s.inUse == 0 {
				delete(h.shares, name)
			}
			continue
		}
		if s.Kind == Rate {
			h.fill(now, s)
		}
		less = less || g.Size < s.Size && s.Kind != Amount
		s.Give = g
		if s.Kind == Rate {
			s.level = math.Min(s.level, h.burst(now, s))
		}
	}
	if less { // who waits for it is given it once this one has said that it is bound to less
		each = leastAsk
	}
	h.due = math.Max(now, h.asked+each)
	return true
}
