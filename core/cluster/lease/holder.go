package lease

import (
	"slices"
)

// Holder is a dispatcher's part: which duties it stands for, which it holds, and until when by its own clock.
type Holder struct {
	name     string
	boot     uint64
	zone     string
	priority int
	wants    []string
	lengths  []float64 // s; of the leases of those
	held     map[string]*lease
	backs    []Lease
	id       uint64
	asked    []asking // the last questions: an answer to any may come, late ones where disks are slow
	answered uint64   // the latest question that was answered
	refused  uint64   // the latest whose answer was that another leads
	due      float64
	leaving  bool
}

// asking is a question with when it was asked, and how much of backs was in it.
type asking struct {
	id    uint64
	at    float64
	backs []Lease
}

type lease struct {
	Lease
	until  float64
	ending bool // it is to be given back: no further act
}

const (
	turnsEach = 3.0  // a lease: two may be lost
	idleTurn  = 1.0  // s between turns that hold nothing
	refusedIn = 0.05 // of a turn's time, before another is asked when the one that was asked does not lead
	answerIn  = 0.5  // of a turn's time; then it is asked anew, of another
	leastTurn = 0.02
	mostAsked = 8 // questions whose answers may still come
)

// NewHolder stands for nothing.
func NewHolder(name string, boot uint64, zone string, priority int) *Holder {
	// Guards against answers to an earlier process at the same address: its questions had other numbers.
	first := boot * 0x9e3779b97f4a7c15 >> 1
	return &Holder{name: name, boot: boot, zone: zone, priority: priority, held: map[string]*lease{}, id: first, answered: first}
}

// Want stands for a duty from now on; one that is new gets leases of a length.
func (h *Holder) Want(duty string, length, now float64) {
	if !slices.Contains(h.wants, duty) {
		h.wants, h.lengths = append(h.wants, duty), append(h.lengths, length)
		h.due = now
	}
}

// Leave gives all back, and stands for nothing any more.
func (h *Holder) Leave(now float64) {
	h.leaving, h.wants, h.lengths = true, nil, nil
	for _, l := range h.held {
		h.giveBack(l)
	}
	h.due = now
}

// GiveBack gives a duty up after its last act.
func (h *Holder) GiveBack(duty string, now float64) {
	if l := h.held[duty]; l != nil {
		h.giveBack(l)
		h.due = now
	}
}

func (h *Holder) giveBack(l *lease) {
	h.backs = append(h.backs, l.Lease)
	delete(h.held, l.Duty)
}

// Act asks whether an act may be done under a duty now, and with which token. It is to be asked right before each act: whoever
// was stopped since it last was asked finds its time gone.
func (h *Holder) Act(duty string, now float64) (token uint64, ok bool) {
	l := h.held[duty]
	if l == nil || now >= l.until || l.ending {
		return 0, false
	}
	return l.Token, true
}

// Until is when a lease ends by the own clock, 0 where there is none.
func (h *Holder) Until(duty string) float64 {
	if l := h.held[duty]; l != nil {
		return l.until
	}
	return 0
}

// Handing tells which duties are wanted by others: each is to be given back after its last act.
func (h *Holder) Handing() (all []string) {
	for name, l := range h.held {
		if l.Hand {
			all = append(all, name)
		}
	}
	slices.Sort(all)
	return all
}

// Held lists what is held now.
func (h *Holder) Held(now float64) (all []Lease) {
	for _, l := range h.held {
		if now < l.until {
			all = append(all, l.Lease)
		}
	}
	slices.SortFunc(all, func(a, b Lease) int { return compare(a.Duty, b.Duty) })
	return all
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// each is the time between turns, s: several a lease, of those that are held or could be given any moment.
func (h *Holder) each() float64 {
	shortest := idleTurn * turnsEach
	for _, l := range h.lengths {
		shortest = min(shortest, l)
	}
	for _, l := range h.held {
		shortest = min(shortest, l.Length)
	}
	return max(leastTurn, shortest/turnsEach)
}

// Tick gives the next turn, when it is time for one; fresh tells that the last one was answered, else another voter is to be asked.
func (h *Holder) Tick(now float64) (t Turn, ask, fresh bool) {
	for name, l := range h.held {
		if now >= l.until {
			delete(h.held, name)
		}
	}
	waits := max(h.answered, h.refused) < h.id
	if waits && now-h.asked[len(h.asked)-1].at > answerIn*h.each() {
		h.due = min(h.due, now)
	} else {
		fresh = true
	}
	if now < h.due || len(h.wants) == 0 && len(h.backs) == 0 {
		return t, false, fresh
	}
	h.id++
	h.due = now + h.each()
	h.asked = append(h.asked, asking{h.id, now, slices.Clone(h.backs)})
	if len(h.asked) > mostAsked {
		h.asked = h.asked[1:]
	}
	return Turn{
		ID: h.id, Name: h.name, Boot: h.boot, Zone: h.zone, Priority: h.priority, Stands: slices.Clone(h.wants), Lengths: slices.Clone(h.lengths),
		Backs: slices.Clone(h.backs),
	}, true, fresh
}

// Refused takes word that whoever was asked does not lead: the one that does is asked soon. Guards against leases lost as whoever stands asks
// one voter after another and waits at each.
func (h *Holder) Refused(now float64, id uint64) {
	if i := slices.IndexFunc(h.asked, func(a asking) bool { return a.id == id }); i >= 0 && id > max(h.answered, h.refused) {
		h.refused = id
		h.due = min(h.due, max(now, h.asked[i].at+refusedIn*h.each()))
	}
}

// Answer takes what a turn came to. The leases count from when it was asked, not from now. Answers to turns before one that
// is answered are passed over: what they say may have changed.
func (h *Holder) Answer(_ float64, id uint64, all []Lease) {
	i := slices.IndexFunc(h.asked, func(a asking) bool { return a.id == id })
	if i < 0 || id <= h.answered {
		return
	}
	asked := h.asked[i]
	h.answered, h.asked = id, h.asked[i+1:]
	h.backs = slices.DeleteFunc(h.backs, func(b Lease) bool { return slices.Contains(asked.backs, b) })
	if h.leaving {
		return
	}
	all = slices.DeleteFunc(slices.Clone(all), func(l Lease) bool { // given up since it was asked
		return slices.ContainsFunc(h.backs, func(b Lease) bool { return b.Duty == l.Duty && b.Token == l.Token })
	})
	for _, l := range all {
		if !slices.Contains(h.wants, l.Duty) {
			continue
		}
		o := h.held[l.Duty]
		if o == nil || o.Token != l.Token {
			o = &lease{}
			h.held[l.Duty] = o
		}
		o.Lease, o.until = l, max(o.until, asked.at+l.Length*(1-Drift))
	}
	for name := range h.held {
		if !slices.ContainsFunc(all, func(l Lease) bool { return l.Duty == name && l.Token == h.held[name].Token }) {
			delete(h.held, name) // another has it, or its end is near
		}
	}
	h.due = min(h.due, asked.at+h.each()) // a lease may be shorter than what was waited for
}

// Settled tells that nothing is held and nothing waits to be given back.
func (h *Holder) Settled() bool { return len(h.held) == 0 && len(h.backs) == 0 }

// Fence is kept by whatever takes acts: it refuses tokens that are lower than one it has seen.
type Fence struct{ highest map[string]uint64 }

// Take tells whether an act counts.
func (f *Fence) Take(duty string, token uint64) bool {
	if f.highest == nil {
		f.highest = map[string]uint64{}
	}
	if token == 0 || token < f.highest[duty] {
		return false
	}
	f.highest[duty] = token
	return true
}
