package emulator

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"elderwall/core/cluster/channel"
	"elderwall/core/cluster/replication"
	"elderwall/core/timerwheel"
)

// ChannelsScenario is a fleet of channels' machines, each over a replica's, with writers and readers that come back. Times are in seconds.
// The voters' log and the duty are modelled: a command stands after two messages and a sync, at who sees a majority; another holder follows after Lease.
type ChannelsScenario struct {
	Seed     uint64
	Order    channel.Order
	Members  int
	Zones    int
	Readers  int
	Writers  int
	Rate     float64 // entries a second, all writers together
	Moves    float64 // s after which a reader goes to another member, in the mean; 0 for never
	Delay    float64
	Sync     float64
	Loss     float64
	Knows    float64
	Notice   float64 // s until a client sees that its member has gone
	Patience float64 // s until a writer sends again, elsewhere
	Lease    float64
	Wait     float64 // the declaration's
	Warm     float64
	Span     float64
	Settle   float64
	Troubles []MemberTrouble // Cut and Die, after Warm
}

// ChannelsDefault is a calm fleet.
func ChannelsDefault() ChannelsScenario {
	return ChannelsScenario{
		Seed: 1, Order: channel.BySender, Members: 30, Zones: 3, Readers: 100, Writers: 10, Rate: 20, Delay: 0.002, Sync: 0.005, Knows: 5, Notice: 0.5,
		Patience: 1, Lease: 3, Wait: 5, Warm: 5, Span: 30, Settle: 40,
	}
}

// ChannelsResult is what came of it. Times are in seconds, from when a writer had an entry to write until a reader was shown it.
type ChannelsResult struct {
	Entries  int            `json:"Entries"`
	Acked    int            `json:"Acked"`
	Shown    int            `json:"Shown"`
	Late     []float64      `json:"Late"`   // sorted, of all that was shown
	Course   [][]float64    `json:"Course"` // by second of writing: the same, sorted
	Unseen   int            `json:"Unseen"` // acknowledged entries that a reader had not been shown at the end, each by each
	Wrong    []string       `json:"Wrong"`  // what the checker found
	Broken   int            `json:"Broken"` // how often
	Resets   int            `json:"Resets"`
	Behinds  int            `json:"Behinds"`
	Told     int            `json:"Told"`    // gaps
	Waited   int            `json:"Waited"`  // readers that were told to come later
	Back     float64        `json:"Back"`    // s until all readers of those that ended were back
	Overdue  int            `json:"Overdue"` // shown late by the law, as after a cut
	Refusals map[string]int `json:"Refusals"`
}

type channelMember struct {
	index      int
	name, zone string
	up         bool
	side       int
	life       int
	replica    *replication.Machine
	channels   *channel.Machine
	disk       *memoryDisk
	ids        map[replication.Dot]uint64
	readers    map[int]*channelReader
}

type channelReader struct {
	index int
	at    *channelMember
	life  int
	id    uint64
	open  bool
	token string
	// What it was shown since it began anew, by itself.
	last   map[string]uint64
	place  uint64
	epoch  uint64
	seen   map[string]bool
	lost   float64 // since when it is without a member; below 0 never
	newest map[string]uint64
}

type channelWriter struct {
	name  string
	at    *channelMember
	queue []*channel.Entry // to be written, the first of them is on its way
	next  uint64
	sent  int
	after *channelReader
	clock uint64
}

type channelsWorld struct {
	ChannelsScenario
	now     float64
	acts    timerwheel.Wheel[func()]
	chance  *rand.Rand
	all     []*channelMember
	byName  map[string]*channelMember
	readers []*channelReader
	writers map[string]*channelWriter
	names   []string
	ledger  *channel.Ledger
	holder  *channelMember
	token   uint64
	electing,
	ended bool
	wrote  map[string]float64 // by writer and number: when it was there to be written
	after  map[string]map[string]uint64
	acked  map[string]bool
	places map[[2]uint64]string // what readers were shown in a place
	out    *ChannelsResult
}

const channelName = "news"

// RunChannels plays one.
func RunChannels(s ChannelsScenario) (*ChannelsResult, error) {
	if s.Members < 1 || s.Zones < 1 || s.Readers < 1 || s.Writers < 1 || s.Rate <= 0 || s.Span <= 0 {
		return nil, fmt.Errorf("channels: %d members, %d readers, %d writers: out of range", s.Members, s.Readers, s.Writers)
	}
	w := &channelsWorld{
		ChannelsScenario: s, chance: rand.New(rand.NewPCG(s.Seed, 50)), byName: map[string]*channelMember{}, writers: map[string]*channelWriter{},
		ledger: channel.NewLedger(), wrote: map[string]float64{}, after: map[string]map[string]uint64{}, acked: map[string]bool{}, places: map[[2]uint64]string{},
		out: &ChannelsResult{Refusals: map[string]int{}, Course: make([][]float64, int(s.Warm+s.Span)+1)},
	}
	d := channel.Declaration{
		Name: channelName, Generation: 1, Order: s.Order, RetainedEntries: 50_000, RetainedBytes: 32 << 20, RetainedSeconds: 3600, OrderWait: s.Wait, DisconnectSlow: true,
		AllowGaps: s.Order == channel.Latest,
	}
	if err := w.ledger.Apply(&channel.Command{Declare: &d}); err != nil {
		return nil, fmt.Errorf("channels: %w", err)
	}
	for i := range s.Members {
		m := &channelMember{
			index: i, name: fmt.Sprintf("n%04d", i), zone: fmt.Sprint("z", i%s.Zones),
			disk: &memoryDisk{vector: map[[2]any]replication.VectorEntry{}, records: map[replication.RecordKey]replication.ReplicatedRecord{}},
		}
		w.all, w.byName[m.name] = append(w.all, m), m
	}
	for _, m := range w.all {
		w.start(m)
	}
	for _, m := range w.all {
		w.act(w.chance.Float64()*0.1, func() { w.tick(m) })
	}
	w.know()
	for i := range s.Readers {
		r := &channelReader{index: i, lost: -1}
		r.anew()
		w.readers = append(w.readers, r)
		w.act(w.chance.Float64(), func() { w.open(r) })
		w.moves(r)
	}
	for i := range s.Writers {
		x := &channelWriter{name: fmt.Sprint("w", i), at: w.all[w.chance.IntN(s.Members)], after: w.readers[i%s.Readers], next: 1}
		w.writers[x.name] = x
		w.names = append(w.names, x.name)
		w.act(s.Warm*w.chance.Float64(), func() { w.more(x) })
	}
	for _, t := range s.Troubles {
		n := t.Number
		if n == 0 {
			n = int(t.Share*float64(s.Members) + 0.5)
		}
		hit := w.chance.Perm(s.Members)[:min(n, s.Members)]
		w.act(s.Warm+t.At, func() { w.trouble(t, hit) })
	}
	w.act(s.Warm+s.Span, func() { w.ended = true })
	end := s.Warm + s.Span + s.Settle
	for e, ok := w.acts.PopAt(end); ok; e, ok = w.acts.PopAt(end) {
		w.now = e.At
		e.Item()
	}
	w.finish()
	return w.out, nil
}

func (w *channelsWorld) act(in float64, do func()) { w.acts.Add(w.now+in, do) }
func (w *channelsWorld) delay() float64            { return w.Delay * w.chance.ExpFloat64() }

func (w *channelsWorld) wrong(format string, args ...any) {
	if w.out.Broken++; len(w.out.Wrong) < 20 {
		w.out.Wrong = append(w.out.Wrong, fmt.Sprintf("%.3f s: ", w.now)+fmt.Sprintf(format, args...))
	}
}

func (w *channelsWorld) start(m *channelMember) {
	m.life++
	m.up, m.ids, m.readers = true, map[replication.Dot]uint64{}, map[int]*channelReader{}
	var saved *replication.SavedState
	if m.disk.era > 0 {
		saved = m.disk.saved(w.now)
	}
	var err error
	if m.replica, err = replication.New(replication.Settings{Name: m.name, Zone: m.zone, Kinds: channel.Kinds(), Seed: w.Seed + uint64(m.index)<<20 + uint64(m.life)<<40}, saved, w.now); err != nil {
		w.wrong("%s does not start: %v", m.name, err)
		m.up = false
		return
	}
	m.channels = channel.New(m.name, w.Seed+uint64(m.index)<<20+uint64(m.life)<<40)
	for _, k := range channel.Kinds() {
		m.replica.Each(k.ID, "", func(r replication.Record) bool { m.channels.Learn(w.now, r); return true })
	}
	m.channels.SetDeclarations(w.now, w.ledger.Declarations())
	w.tell(m)
}

func (w *channelsWorld) majority(m *channelMember) bool {
	n := 0
	for _, o := range w.all {
		if o.up && o.side == m.side {
			n++
		}
	}
	return m.up && 2*n > len(w.all)
}

func (w *channelsWorld) tell(m *channelMember) {
	f := replication.Fleet{AgreedSize: len(w.all), HasQuorum: w.majority(m)}
	f.AcceptsRestrictions = f.HasQuorum
	for _, o := range w.all {
		if o != m {
			f.Others = append(f.Others, replication.Member{Name: o.name, Zone: o.zone, Alive: o.up && o.side == m.side, InAgreedFleet: true})
		}
	}
	m.replica.SetFleet(f, w.now)
	m.channels.SetFleet(f)
	w.step(m)
}

func (w *channelsWorld) know() {
	for _, m := range w.all {
		if m.up {
			w.tell(m)
		}
	}
	w.elect()
}

// elect gives the duty to somebody who sees a majority, if its holder doesn't any more.
func (w *channelsWorld) elect() {
	if w.holder != nil && w.majority(w.holder) || w.electing {
		return
	}
	after := 0.0
	if w.holder != nil {
		after, w.electing = w.Lease, true
	}
	w.act(after, func() {
		w.electing = false
		for _, m := range w.all {
			if w.majority(m) {
				if w.holder != nil && w.holder.up {
					w.holder.channels.SetSequencerEpoch(w.now, channelName, 0)
				}
				w.token++
				w.holder = m
				m.channels.SetSequencerEpoch(w.now, channelName, w.token)
				if l := w.ledger.Sequence(channelName); l != nil {
					m.channels.SetSequence(w.now, l)
				}
				w.step(m)
				return
			}
		}
	})
}

func (w *channelsWorld) tick(m *channelMember) {
	w.act(0.1, func() { w.tick(m) })
	if !m.up {
		return
	}
	m.replica.Tick(w.now)
	m.channels.Tick(w.now)
	w.step(m)
	for _, i := range slices.Sorted(maps.Keys(m.readers)) {
		w.take(m.readers[i])
	}
}

// step takes from both machines until neither has more.
func (w *channelsWorld) step(m *channelMember) {
	news := false
	for range 100 {
		c := m.channels.Ready()
		news = news || len(c.Updated) > 0
		for _, p := range c.Puts {
			dot, err := m.replica.Write(w.now, p.Record.Kind, p.Record.Key, p.Record.Value, p.Record.Deleted, p.Concern)
			if err != nil && p.ID > 0 {
				m.channels.PutCompleted(w.now, p.ID, replication.Outcome{}, err)
			} else if p.ID > 0 {
				m.ids[dot] = p.ID
			}
		}
		for _, command := range c.Commands {
			life := m.life
			w.act(w.Sync+w.delay()+w.delay(), func() {
				if !w.majority(m) || m.life != life || w.ledger.Apply(&command) != nil {
					return
				}
				if h := w.holder; h != nil && h.up {
					h.channels.SetSequence(w.now, w.ledger.Sequence(channelName))
					w.step(h)
				}
			})
		}
		for _, a := range c.Acks {
			w.act(w.delay(), func() { w.ack(a) })
		}
		r := m.replica.Ready()
		if r.Save != nil {
			m.disk.save(w.now, r.Save)
		}
		for _, x := range r.Changed {
			m.channels.Learn(w.now, x)
		}
		for i := range r.Send {
			w.send(m, &r.Send[i])
		}
		for _, o := range r.Outcomes {
			if id, ok := m.ids[o.Dot]; ok {
				delete(m.ids, o.Dot)
				m.channels.PutCompleted(w.now, id, o, nil)
			}
		}
		if len(c.Puts)+len(c.Commands)+len(c.Acks)+len(r.Changed)+len(r.Send)+len(r.Outcomes) == 0 {
			break
		}
	}
	if news {
		for _, i := range slices.Sorted(maps.Keys(m.readers)) {
			w.take(m.readers[i])
		}
	}
}

func (w *channelsWorld) send(from *channelMember, e *replication.Envelope) {
	to := w.byName[e.To]
	if to == nil || !e.Stream && w.chance.Float64() < w.Loss {
		return
	}
	w.act(w.delay(), func() {
		if from.side != to.side || !to.up {
			return
		}
		if err := to.replica.Step(from.name, &e.Message, w.now); err != nil {
			w.out.Refusals[err.Error()]++
		}
		w.step(to)
	})
}

func (r *channelReader) anew() {
	r.token, r.last, r.seen, r.newest, r.place, r.epoch = "", map[string]uint64{}, map[string]bool{}, map[string]uint64{}, 0, 0
}

// open has a reader go to a member by chance.
func (w *channelsWorld) open(r *channelReader) {
	m := w.all[w.chance.IntN(len(w.all))]
	if !m.up {
		w.act(w.Notice*w.chance.Float64(), func() { w.open(r) })
		return
	}
	id, err := m.channels.Open(w.now, channel.OpenRequest{Channel: channelName, Token: r.token})
	if err != nil {
		after := w.Notice
		if l, ok := err.(*channel.RetryLaterError); ok { //nolint:errorlint // it is never wrapped
			after = l.Seconds
			w.out.Waited++
		} else {
			w.out.Refusals[err.Error()]++
		}
		w.act(after, func() { w.open(r) })
		return
	}
	if r.lost >= 0 {
		w.out.Back, r.lost = max(w.out.Back, w.now-r.lost), -1
	}
	r.at, r.id, r.open, r.life = m, id, true, m.life
	m.readers[r.index] = r
	w.take(r)
}

func (w *channelsWorld) leave(r *channelReader) {
	if r.open {
		delete(r.at.readers, r.index)
		r.open = false
	}
}

func (w *channelsWorld) moves(r *channelReader) {
	if w.Moves > 0 {
		w.act(w.Moves*w.chance.ExpFloat64(), func() {
			if r.open && r.at.up && r.life == r.at.life {
				r.at.channels.Close(r.id)
				w.leave(r)
				w.act(w.delay(), func() { w.open(r) })
			}
			w.moves(r)
		})
	}
}

// take has a reader take what is there for it.
func (w *channelsWorld) take(r *channelReader) {
	for r.open && r.at.up && r.life == r.at.life {
		notes := r.at.channels.Take(w.now, r.id, 100)
		if len(notes) == 0 {
			return
		}
		for _, n := range notes {
			if n.Position != "" {
				r.token = n.Position
			}
			switch n.Kind {
			case channel.EventEntry:
				w.shown(r, n)
			case channel.EventGap:
				w.out.Told++
				if w.Order != channel.Latest {
					w.wrong("reader %d is told a gap of %s, and none are declared", r.index, n.Writer)
				}
			case channel.EventReset, channel.EventCutOff:
				w.out.Resets++
				w.leave(r)
				r.anew()
				w.act(w.Notice, func() { w.open(r) })
			case channel.EventBehind:
				w.out.Behinds++
				w.leave(r)
				w.act(w.delay(), func() { w.open(r) })
			}
		}
	}
}

func entryName(writer string, number uint64) string { return fmt.Sprint(writer, "/", number) }

// shown is the checker: it keeps what readers were shown and asks no machine.
func (w *channelsWorld) shown(r *channelReader, n channel.Notification) {
	e := n.Entry
	name := entryName(e.Writer, e.Number)
	at, ok := w.wrote[name]
	switch {
	case !ok:
		w.wrong("reader %d is shown %s, which nobody wrote", r.index, name)
		return
	case r.seen[name]:
		w.wrong("reader %d is shown %s twice", r.index, name)
	case e.Number <= r.last[e.Writer]:
		w.wrong("reader %d is shown %s after %d", r.index, name, r.last[e.Writer])
	case w.Order != channel.Latest && e.Number != r.last[e.Writer]+1:
		w.wrong("reader %d is shown %s, %d was the last before it", r.index, name, r.last[e.Writer])
	}
	switch w.Order {
	case channel.Causal:
		for o, k := range w.after[name] {
			if r.last[o] < k && o != e.Writer {
				w.wrong("reader %d is shown %s before %s, which its writer had seen", r.index, name, entryName(o, k))
			}
		}
	case channel.Total:
		if e.Offset <= r.place {
			w.wrong("reader %d is shown place %d after %d", r.index, e.Offset, r.place)
		}
		if was := w.places[[2]uint64{e.Offset}]; was != "" && was != name {
			w.wrong("reader %d is shown %s in place %d, others were shown %s", r.index, name, e.Offset, was)
		}
		w.places[[2]uint64{e.Offset}], r.place = name, e.Offset
	case channel.Latest:
		if e.Clock < r.newest[e.Key] && !n.Late {
			w.wrong("reader %d is shown %s, older than what it was shown of %s", r.index, name, e.Key)
		}
		r.newest[e.Key] = max(r.newest[e.Key], e.Clock)
	}
	if n.Late {
		w.out.Overdue++
	}
	r.seen[name], r.last[e.Writer] = true, max(r.last[e.Writer], e.Number)
	if at >= w.Warm {
		w.out.Shown++
		w.out.Late = append(w.out.Late, w.now-at)
		w.out.Course[int(at)] = append(w.out.Course[int(at)], w.now-at)
	}
}

// more has a writer get one more entry to write.
func (w *channelsWorld) more(x *channelWriter) {
	if w.ended {
		return
	}
	w.act(w.chance.ExpFloat64()*float64(w.Writers)/w.Rate, func() { w.more(x) })
	x.clock++
	for _, c := range x.after.newest {
		x.clock = max(x.clock, c+1)
	}
	e := &channel.Entry{Channel: channelName, Writer: x.name, Number: x.next, Key: fmt.Sprint("k", w.chance.IntN(20)), Body: make([]byte, 100), Clock: x.clock}
	if w.Order == channel.Causal {
		e.After = maps.Clone(x.after.last)
	}
	name := entryName(x.name, x.next)
	w.wrote[name], w.after[name] = w.now, e.After
	x.next++
	if w.now >= w.Warm {
		w.out.Entries++
	}
	if x.queue = append(x.queue, e); len(x.queue) == 1 {
		w.write(x)
	}
}

// write sends a writer's first entry to its member, and again to another one while nobody acknowledges it.
func (w *channelsWorld) write(x *channelWriter) {
	if len(x.queue) == 0 {
		return
	}
	x.sent++
	turn, e := x.sent, *x.queue[0]
	m := x.at
	w.act(w.delay(), func() {
		if !m.up {
			return
		}
		state, err := m.channels.Write(w.now, e)
		switch {
		case err != nil:
			w.out.Refusals[err.Error()]++
			w.act(w.Patience/20, func() { // what it waits for may come in a moment
				if x.sent == turn && len(x.queue) > 0 && x.queue[0].Number == e.Number {
					w.write(x)
				}
			})
		case state == channel.WriteNotSequencer:
			w.act(w.delay(), func() {
				if h := w.holder; h != nil && h.up && h.side == m.side {
					if state, err := h.channels.Write(w.now, e); err == nil && state == channel.WriteAcknowledged {
						w.ack(channel.Ack{Writer: e.Writer, Number: e.Number, Met: true})
					} else if err != nil {
						w.out.Refusals[err.Error()]++
					}
					w.step(h)
				}
			})
		case state == channel.WriteAcknowledged:
			w.ack(channel.Ack{Writer: e.Writer, Number: e.Number, Met: true})
		}
		w.step(m)
	})
	w.act(w.Patience, func() {
		if x.sent == turn && len(x.queue) > 0 && x.queue[0].Number == e.Number {
			x.at = w.all[w.chance.IntN(len(w.all))]
			w.write(x)
		}
	})
}

// ack is what a writer hears.
func (w *channelsWorld) ack(a channel.Ack) {
	x := w.writers[a.Writer]
	if a.Err != nil {
		w.out.Refusals[a.Err.Error()]++
	}
	if !a.Met || x == nil {
		return
	}
	if name := entryName(a.Writer, a.Number); !w.acked[name] {
		w.acked[name] = true
		w.out.Acked++
	}
	if len(x.queue) > 0 && x.queue[0].Number == a.Number {
		x.queue = x.queue[1:]
		w.write(x)
	}
}

func (w *channelsWorld) trouble(t MemberTrouble, hit []int) {
	for _, i := range hit {
		m := w.all[i]
		switch t.Kind {
		case Cut:
			m.side = 1
			w.act(t.For, func() { m.side = 0 })
		case Die:
			m.up = false
			for _, r := range m.readers {
				r.open, r.lost = false, w.now
			}
			for _, i := range slices.Sorted(maps.Keys(m.readers)) {
				r := m.readers[i]
				w.act(w.Notice*w.chance.Float64(), func() { w.open(r) })
			}
			if t.For > 0 {
				w.act(t.For, func() { w.start(m) })
			}
		}
	}
	w.act(w.Knows, w.know)
	if t.For > 0 {
		w.act(t.For+w.Knows, w.know)
	}
}

func (w *channelsWorld) finish() {
	slices.Sort(w.out.Late)
	for _, l := range w.out.Course {
		slices.Sort(l)
	}
	if w.Order == channel.Latest {
		return
	}
	for name := range w.acked {
		for _, r := range w.readers {
			if !r.seen[name] {
				w.out.Unseen++
			}
		}
	}
}
