package emulator

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"elderwall/core/cluster/membership"
	"elderwall/core/timerwheel"
)

// Protocols by which an emulated fleet may know itself.
const (
	OwnDoubt   = "own doubt"  // the program's
	PlainSWIM  = "plain SWIM" // the same without own doubt
	Heartbeats = "heartbeats" // each to all, every interval; failed after so many that did not come
)

// Kinds of trouble that a fleet of members can have.
const (
	Cut    = "cut"     // Share of the members apart from the rest
	CutIn  = "cut in"  // Share of the members hear nobody
	CutOut = "cut out" // Share of the members are heard by nobody
	Stall  = "stall"   // Share of the members stand still
	Die    = "die"     // Share of the members end, and start again after For, where that is over 0, knowing nothing
	Leave  = "leave"   // Share of the members leave
	Lossy  = "lossy"   // Share of the members lose half of what they send and hear
)

// MemberTrouble happens to a fleet of members; times are in intervals.
type MemberTrouble struct {
	Kind   string  `json:"Kind"`
	At     float64 `json:"At"`
	For    float64 `json:"For"`
	Share  float64 `json:"Share"`
	Number int     `json:"Number"` // of members, in place of a share
}

// MembersScenario is a fleet of members alone, with no GETs. Times are in intervals of a probe.
type MembersScenario struct {
	Seed      uint64          `json:"Seed"`
	Protocol  string          `json:"Protocol"`
	Members   int             `json:"Members"`
	Zones     int             `json:"Zones"`
	Peers     int             `json:"Peers"` // that each is told to begin with
	Span      float64         `json:"Span"`
	Warm      float64         `json:"Warm"`   // before what counts
	Loss      float64         `json:"Loss"`   // share of datagrams
	Delay     float64         `json:"Delay"`  // of a datagram in the mean, in intervals
	Stalls    float64         `json:"Stalls"` // one in so many members stands still at any time, now and then; 0 for none
	StallFor  float64         `json:"StallFor"`
	Troubles  []MemberTrouble `json:"Troubles"`
	TickEach  float64         `json:"TickEach"`
	WatchEach float64         `json:"WatchEach"`
}

// MembersDefault is a calm fleet.
func MembersDefault() MembersScenario {
	return MembersScenario{
		Seed: 1, Protocol: OwnDoubt, Members: 30, Zones: 3, Peers: 3, Span: 120, Warm: 30, Delay: 0.002,
		StallFor: 8, TickEach: 0.2, WatchEach: 0.5,
	}
}

// MembersResult is what came of it. All of it is simulated; times are in intervals.
type MembersResult struct {
	Members   int            `json:"Members"`
	Wrong     int            `json:"Wrong"`     // members that were thought to have failed while they had not, each once a time by each
	WrongBy   int            `json:"WrongBy"`   // members that were thought so by anybody
	WrongHour float64        `json:"WrongHour"` // WrongBy by 3,600 intervals
	First     []float64      `json:"First"`
	Half      []float64      `json:"Half"` // from the end of a member until half and 99 in 100 knew
	Known99   []float64      `json:"Known99"`
	Heal      float64        `json:"Heal"`      // from the end of the last trouble until all knew all again; below 0 never
	Datagrams float64        `json:"Datagrams"` // by a member and an interval
	Bytes     float64        `json:"Bytes"`     // by a member and an interval, without what surrounds a message
	Streams   float64        `json:"Streams"`
	Levels    map[string]int `json:"Levels"`  // of the members at the end
	Lasting   []string       `json:"Lasting"` // of the last watch: who is held to be out and is not, or the other way
	Views     []string       `json:"Views"`   // by what was said of views, with time
}

// fleetWorld is one run.
type fleetWorld struct {
	MembersScenario
	now     float64
	events  timerwheel.Wheel[func()]
	chance  *rand.Rand
	all     []*emulated
	byAddr  map[string]*emulated
	out     *MembersResult
	sent    int
	bytes   int
	streams int
	last    float64 // when the last trouble ended
	deaths  map[string]*death
	sides   int // that cuts have made
}

type death struct {
	at    float64
	known map[string]bool
	first float64
	half  float64
	most  float64
}

// emulated is one member with what surrounds it.
type emulated struct {
	index         int
	name, address string
	zone          string
	boots         uint64
	machine       *membership.Machine
	side          int // of a cut
	deaf, mute    bool
	lossy         bool
	stalled       bool
	inbox         []membership.Message // while it stands still
	gone          bool
	leaving       bool
	wrong         map[string]bool
	woke          float64 // when it last went on after it stood still
	ticking       bool
	beats         map[string]float64 // of heartbeats
	beatsFrom     float64
	failedByBeat  map[string]bool
}

// RunMembers plays a fleet of members.
func RunMembers(s MembersScenario) (*MembersResult, error) {
	if s.Members < 1 || s.Members > membership.MaxMembers || s.Zones < 1 || s.TickEach <= 0 || s.Loss < 0 || s.Loss >= 1 {
		return nil, fmt.Errorf("members: %d of them in %d zones, loss %g: out of range", s.Members, s.Zones, s.Loss)
	}
	w := &fleetWorld{
		MembersScenario: s, chance: rand.New(rand.NewPCG(s.Seed, 2)), byAddr: map[string]*emulated{},
		out: &MembersResult{Members: s.Members, Heal: -1, Levels: map[string]int{}}, deaths: map[string]*death{},
	}
	for i := range s.Members {
		e := &emulated{
			index: i, name: fmt.Sprintf("n%04d", i), address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250),
			zone: fmt.Sprint("z", i%s.Zones), wrong: map[string]bool{},
		}
		w.all = append(w.all, e)
		w.byAddr[e.address] = e
		w.start(e)
	}
	for _, t := range s.Troubles {
		w.events.Add(s.Warm+t.At, func() { w.trouble(t) })
		w.last = math.Max(w.last, s.Warm+t.At+t.For)
	}
	if s.Stalls > 0 {
		w.stallNow()
	}
	w.events.Add(s.Warm, func() { w.sent, w.bytes, w.streams = 0, 0, 0 })
	w.watch()
	for e, ok := w.events.PopAt(s.Warm + s.Span); ok; e, ok = w.events.PopAt(s.Warm + s.Span) {
		w.now = e.At
		e.Item()
	}
	w.finish()
	return w.out, nil
}

func (w *fleetWorld) at(in float64, do func()) { w.events.Add(w.now+in, do) }

// start starts a member, or starts it anew.
func (w *fleetWorld) start(e *emulated) {
	e.boots++
	e.gone, e.stalled, e.inbox, e.leaving = false, false, nil, false
	if w.Protocol == Heartbeats {
		e.beats, e.failedByBeat, e.beatsFrom = map[string]float64{}, map[string]bool{}, w.now
	} else {
		var peers []string
		for i := range w.Peers {
			peers = append(peers, w.all[min(i*len(w.all)/max(1, w.Peers), len(w.all)-1)].address)
		}
		e.machine = membership.New(membership.Settings{
			Name: e.name, Address: e.address, Zone: e.zone, Peers: peers, Interval: 1,
			BootID: e.boots<<16 + uint64(w.chance.IntN(1<<15))<<20 + uint64(e.index), Seed: w.Seed, PlainSWIM: w.Protocol == PlainSWIM,
		}, w.now)
	}
	if !e.ticking {
		e.ticking = true
		w.at(w.chance.Float64()*w.TickEach, func() { w.tick(e) })
	}
}

func (w *fleetWorld) tick(e *emulated) {
	if !e.gone {
		if !e.stalled {
			w.step(e, func(m *membership.Machine) { m.Tick(w.now) })
		}
	}
	each := w.TickEach
	if w.Protocol == Heartbeats {
		each = 1
	}
	w.at(each, func() { w.tick(e) })
}

// step has a member act, and sends what comes of it.
func (w *fleetWorld) step(e *emulated, do func(*membership.Machine)) {
	if w.Protocol == Heartbeats {
		w.beat(e)
		return
	}
	do(e.machine)
	send, tell := e.machine.Ready()
	for _, s := range send {
		w.send(e, s)
	}
	for _, t := range tell {
		if t.Name == e.name && len(w.out.Views) < 1000 && t.Kind != "joined" {
			w.out.Views = append(w.out.Views, fmt.Sprintf("%.1f %s %s %d/%d", w.now, e.name, t.Kind, t.Seen, t.AgreedSize))
		}
	}
}

// reaches tells whether what one sends comes to another.
func (w *fleetWorld) reaches(from, to *emulated) bool {
	return from.side == to.side && !from.mute && !to.deaf && !to.gone
}

func (w *fleetWorld) send(from *emulated, m membership.Envelope) {
	size := 60
	for i := range m.Updates {
		size += m.Updates[i].ApproxBytes()
	}
	w.bytes += size
	if w.sent++; m.Stream {
		w.streams++
	}
	to := w.byAddr[m.To]
	loss := w.Loss
	if from.lossy || to != nil && to.lossy {
		loss = math.Max(loss, 0.5)
	}
	if to == nil || !m.Stream && w.chance.Float64() < loss {
		return
	}
	w.at(w.Delay*w.chance.ExpFloat64(), func() {
		if !w.reaches(from, to) || m.Stream && !w.reaches(to, from) { // a stream needs both ways
			return
		}
		if to.stalled {
			if len(to.inbox) < 100 {
				to.inbox = append(to.inbox, m.Message)
			}
			return
		}
		if w.Protocol == Heartbeats {
			to.beats[m.From.Name] = w.now
			return
		}
		w.step(to, func(x *membership.Machine) { x.Step(m.Message, w.now) })
	})
}

// beat is all that the plainest protocol does.
func (w *fleetWorld) beat(e *emulated) {
	for _, o := range w.all {
		if o != e {
			w.send(e, membership.Envelope{To: o.address, Message: membership.Message{From: membership.Member{Name: e.name}}})
			last := math.Max(e.beats[o.name], e.beatsFrom)
			e.failedByBeat[o.name] = w.now-last > beatsLost
		}
	}
}

const refuted = 40.0 // intervals after which one that stood still, and rightly was thought to have failed, has told all that it goes on

const beatsLost = 5.0 // intervals without one: the same time as SWIM's shortest suspicion at some ten members

// thinks tells whether a member holds another to be there.
func (w *fleetWorld) thinks(e, o *emulated) bool {
	if w.Protocol == Heartbeats {
		return !e.failedByBeat[o.name]
	}
	return e.machine.IsPresent(o.name)
}

func (w *fleetWorld) trouble(t MemberTrouble) {
	n := t.Number
	if n == 0 {
		n = int(math.Round(t.Share * float64(len(w.all))))
	}
	order := w.chance.Perm(len(w.all))
	var hit []*emulated
	for _, i := range order[:min(n, len(order))] {
		hit = append(hit, w.all[i])
	}
	each := func(do func(*emulated)) {
		for _, e := range hit {
			do(e)
		}
	}
	var begin, end func(*emulated)
	switch t.Kind {
	case Cut:
		w.sides++
		side := w.sides
		begin, end = func(e *emulated) { e.side = side }, func(e *emulated) { e.side = 0 }
	case CutIn:
		begin, end = func(e *emulated) { e.deaf = true }, func(e *emulated) { e.deaf = false }
	case CutOut:
		begin, end = func(e *emulated) { e.mute = true }, func(e *emulated) { e.mute = false }
	case Lossy:
		begin, end = func(e *emulated) { e.lossy = true }, func(e *emulated) { e.lossy = false }
	case Stall:
		begin, end = func(e *emulated) { e.stalled = true }, w.wake
	case Leave:
		begin = func(e *emulated) {
			w.step(e, func(m *membership.Machine) { m.Leave(w.now) })
			e.gone, e.leaving = true, true
		}
	case Die:
		begin = func(e *emulated) {
			e.gone = true
			w.deaths[e.name] = &death{at: w.now, known: map[string]bool{}}
		}
		if t.For > 0 {
			end = func(e *emulated) { delete(w.deaths, e.name); w.start(e) }
		}
	}
	each(begin)
	if end != nil && t.For > 0 {
		w.at(t.For, func() { each(end) })
	}
}

// wake lets a member go on that stood still, with what has piled up for it.
func (w *fleetWorld) wake(e *emulated) {
	if !e.stalled {
		return
	}
	e.stalled, e.woke = false, w.now
	inbox := e.inbox
	e.inbox = nil
	for _, m := range inbox {
		if w.Protocol == Heartbeats {
			e.beats[m.From.Name] = w.now
			continue
		}
		w.step(e, func(x *membership.Machine) { x.Step(m, w.now) })
	}
}

// stallNow has members stand still now and then, one in so many at a time.
func (w *fleetWorld) stallNow() {
	n := float64(len(w.all)) / w.Stalls
	w.at(w.StallFor/math.Max(n, 0.01)*w.chance.ExpFloat64(), func() {
		e := w.all[w.chance.IntN(len(w.all))]
		if !e.gone && !e.stalled && w.now > w.Warm {
			e.stalled = true
			w.at(w.StallFor*(0.5+w.chance.Float64()), func() { w.wake(e) })
		}
		w.stallNow()
	})
}

// watch looks over what all hold of all.
func (w *fleetWorld) watch() {
	w.at(w.WatchEach, func() {
		w.look()
		w.watch()
	})
}

func (w *fleetWorld) look() {
	whole := true
	w.out.Lasting = w.out.Lasting[:0]
	for _, e := range w.all {
		if e.gone {
			continue
		}
		for _, o := range w.all {
			if o == e {
				continue
			}
			thinks := w.thinks(e, o)
			if thinks == o.gone {
				whole = false
				if len(w.out.Lasting) < 20 {
					w.out.Lasting = append(w.out.Lasting, fmt.Sprintf("%s holds %s in: %v", e.name, o.name, thinks))
				}
			}
			if w.now < w.Warm {
				continue
			}
			if d := w.deaths[o.name]; d != nil && !thinks && !d.known[e.name] {
				d.known[e.name] = true
				passed := w.now - d.at
				if len(d.known) == 1 {
					d.first = passed
				}
				alive := 0
				for _, x := range w.all {
					if !x.gone {
						alive++
					}
				}
				if 2*len(d.known) >= alive && d.half == 0 {
					d.half = passed
				}
				if float64(len(d.known)) >= 0.99*float64(alive) && d.most == 0 {
					d.most = passed
				}
			}
			if wrong := !thinks && !o.gone && !o.stalled && w.reaches(e, o) && w.reaches(o, e) && w.now > w.last+beatsLost && w.now > o.woke+refuted; wrong != e.wrong[o.name] {
				if e.wrong[o.name] = wrong; wrong {
					w.out.Wrong++
					if !slices.ContainsFunc(w.all, func(x *emulated) bool { return x != e && x.wrong[o.name] }) {
						w.out.WrongBy++
					}
				}
			}
		}
	}
	switch {
	case !whole || w.now < w.last:
		w.out.Heal = -1
	case w.out.Heal < 0:
		w.out.Heal = w.now - w.last
	}
}

func (w *fleetWorld) finish() {
	by := float64(len(w.all)) * w.Span
	w.out.Datagrams, w.out.Bytes, w.out.Streams = float64(w.sent)/by, float64(w.bytes)/by, float64(w.streams)/by
	w.out.WrongHour = float64(w.out.WrongBy) * 3600 / w.Span
	for _, e := range w.all {
		if d := w.deaths[e.name]; d != nil {
			w.out.First, w.out.Half, w.out.Known99 = append(w.out.First, d.first), append(w.out.Half, d.half), append(w.out.Known99, d.most)
		}
		if e.machine != nil && !e.gone {
			v := e.machine.View()
			w.out.Levels[v.Level.String()]++
		}
	}
	for _, l := range [][]float64{w.out.First, w.out.Half, w.out.Known99} {
		slices.SortFunc(l, cmp.Compare[float64])
	}
}
