package channel

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"elderwall/core/cluster/replication"
)

// Errors of a write and of opening. None leaves anything behind.
var (
	ErrChannel = errors.New("no such channel")
	ErrSkips   = errors.New("a number before it is missing here")
	ErrAfter   = errors.New("what it comes after is not known here yet")
	ErrFull    = errors.New("too much is on its way")
	ErrCut     = errors.New("no majority is seen: nothing is put in order")
	ErrMore    = errors.New("a higher order than is declared")
	ErrWriters = errors.New("the channel has too many writers")
	ErrEnded   = errors.New("the channel was withdrawn")
	// ErrReuse refuses a declaration that could lose acknowledged entries (docs/channels.md, "Left alone").
	ErrReuse = errors.New("a channel of total order that was withdrawn is not declared again under its name: declare another name")
	// ErrForgotten tells that a name was let go: whether what it wrote last was kept is not known any more. A new name may go on, with the channel's clock.
	ErrForgotten = errors.New("the writer was silent for too long, its name is forgotten: take another")
)

// Later refuses a reader for so many seconds: those of a killed dispatcher come one after the other.
type Later struct{ Seconds float64 }

func (l *Later) Error() string { return fmt.Sprintf("too many readers at once: in %.1f s", l.Seconds) }

// State is what became of a write.
type State uint8

// The states.
const (
	OnWay     State = 1 + iota // an Ack follows
	Known                      // acknowledged before: nothing is written twice
	Elsewhere                  // the holder of the channel's duty has to be handed the entry
)

// Ack tells a writer, in its numbers' order, how sure an entry is. One that is not Met may be sent again.
type Ack struct {
	Channel, Writer string
	Number          uint64
	Met             bool
	Copies          int
	Err             error
}

// Put is a record for replica; what becomes of one with an ID is told by Written.
type Put struct {
	ID     uint64
	Record replication.Record
	Sure   replication.WriteConcern
}

// Ready is what is to be done.
type Ready struct {
	Puts     []Put
	Commands []Command // for the voters' log
	Acks     []Ack
	News     []string // channels whose readers have something to take
	Relearn  bool     // all records of channels have to be learned anew
}

// Ask is what a reader wants.
type Ask struct {
	Channel string `cbor:"Channel"`
	Token   string `cbor:"Token"` // "" for all that is kept
	Order   Order  `cbor:"Order"` // 0 for what is declared
	Now     bool   `cbor:"Now"`   // with no token: only what comes from now on
}

// item is one place of a channel's log at this dispatcher: an entry, a gap, or a change of the declaration.
type item struct {
	e          *Entry
	writer     string // of a gap
	from, to   uint64
	generation uint64
	late       bool
	mark       bool // a change of the declaration
	over       bool // the channel's end
	sure       bool // another has it, or a writer was told that it is kept
	at         float64
	size       int
	pos        string
}

type held struct {
	e    *Entry
	at   float64
	sure bool
}

type flight struct {
	number, id uint64
	done       bool
	outcome    replication.Outcome
	err        error
}

type epoch struct{ epoch, since uint64 }

type channel struct {
	d      Declaration
	known  bool
	items  []item
	first  uint64                     // offset of the first
	vec    map[string]uint64          // up to here each writer's numbers are in the log
	clock  map[string]uint64          // of each writer's last
	base   map[string]uint64          // up to here they fell out of it
	floor  map[string]uint64          // up to here others let them go
	held   map[string]map[uint64]held // not in turn yet
	oldest float64                    // since when one is held, 0 for none
	newest map[string]*Entry
	bytes  int
	stamp  uint64
	turned uint64 // generation of the log's end
	epoch  uint64 // the same of Total
	basis  string // token of the log's beginning
	epochs []epoch
	taken  map[string]uint64 // of Total: writers' numbers that were seen
	flight map[string][]*flight
	dead   map[string]uint64  // up to here tombstones came
	loose  map[string]float64 // keys that fell out and have no tombstone yet; when to write it again
	marks  map[string]bool    // writers whose mark is to be written
	// Of writers that were let go: by name, those remembered.
	gone        map[string]Gone
	silent      uint64 // of all that were let go, up to this one they are known here
	rolled      uint64 // and up to this one not remembered
	rolledClock uint64
	heard       bool               // what was let go before this dispatcher began is known
	idle        map[string]float64 // since when each writer is silent
	looked      float64
	// Of a channel that was withdrawn.
	life    uint64 // the declaration's Since
	ended   uint64 // generation of the end that has come here, 0 for none
	endedAt float64
	ending  float64 // since when the end is declared
	news    bool
	// At the holder of the duty.
	holds    uint64
	line     *Line
	queue    []Entry
	proposed float64
	again    uint64
	spread   map[uint64]bool // places on their way; whether they are spread
}

type reader struct {
	c       *channel
	wish    Order
	cursor  uint64
	seen    map[string]uint64 // nil once the log's own positions hold
	place   Position
	had     map[string]*Entry // by key the newest that it had seen when it came
	started bool
	fresh   uint64 // with no token: what its writers wrote before is no gap up to this offset
	gone    uint64 // of its position
	life    uint64
	gen     uint64
	opened  float64
}

type wait struct {
	channel, writer string
	number          uint64
	place           uint64
}

// Machine is a dispatcher's part of channels.
type Machine struct {
	name     string
	rng      *rand.Rand
	channels map[string]*channel
	readers  map[uint64]*reader
	next     uint64
	others   []string
	alone    bool // the last agreed fleet has no other; not so until it is told
	trims    bool
	decides  bool
	waits    map[uint64]wait
	flights  int
	ready    Ready
	room     float64 // for readers that open
	roomAt   float64
	refused  float64 // of late
	spoilt   int
	gone     uint64 // names let go that are known here
}

// New makes the machine of a dispatcher.
func New(name string, seed uint64) *Machine {
	return &Machine{
		name: name, rng: rand.New(rand.NewPCG(seed, 47)), channels: map[string]*channel{}, readers: map[uint64]*reader{}, next: 1,
		waits: map[uint64]wait{}, trims: true, room: opensBurst,
	}
}

// Spoilt is how many records made no sense.
func (m *Machine) Spoilt() int { return m.spoilt }

// Fleet tells who else is there and whether a majority is seen. The first by name writes the tombstones: of two in a cut both may.
func (m *Machine) Fleet(f replication.Fleet) {
	m.others, m.trims, m.decides, m.alone = nil, true, f.HasQuorum, f.AgreedSize <= 1
	for _, o := range f.Others {
		if o.Alive {
			m.others = append(m.others, o.Name)
			m.trims = m.trims && m.name < o.Name
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.channels)) {
		if !f.HasQuorum {
			m.unqueue(m.channels[name])
		}
	}
}

func (m *Machine) channel(name string) *channel {
	c := m.channels[name]
	if c == nil && len(m.channels) < 2*MostChannels {
		c = &channel{
			first: 1, vec: map[string]uint64{}, clock: map[string]uint64{}, base: map[string]uint64{}, floor: map[string]uint64{}, held: map[string]map[uint64]held{},
			newest: map[string]*Entry{}, taken: map[string]uint64{}, flight: map[string][]*flight{}, loose: map[string]float64{}, marks: map[string]bool{},
			spread: map[uint64]bool{}, dead: map[string]uint64{}, gone: map[string]Gone{}, idle: map[string]float64{},
		}
		m.channels[name] = c
	}
	return c
}

// Declare takes the agreed declarations in. But for Total the change is an entry of its own in the log, before all that was taken under it.
func (m *Machine) Declare(now float64, all []Declaration) {
	for _, d := range all {
		c := m.channel(d.Name)
		if c == nil || d.Check() != nil || c.known && d.Generation <= c.d.Generation {
			continue
		}
		was := c.known
		if c.d, c.known = d, true; d.End || d.Since != c.life {
			m.unqueue(c)
		}
		if d.Since != c.life { // it ended, and was declared anew: what came before it was known here is looked through again
			m.clear(c, d.Since)
			if d.Place > 0 {
				c.vec[""] = max(c.vec[""], d.Place-1)
				c.base[""] = max(c.base[""], d.Place-1)
			}
			c.turned, c.ended, c.ending, m.ready.Relearn = d.Generation, 0, 0, true
			c.basis = c.token()
		}
		if d.Order != Total {
			if c.turned = d.Generation; was && !d.End {
				c.append(item{generation: d.Generation, at: now, mark: true})
			}
		}
		if !was {
			c.basis = c.token()
		}
		m.advance(now, c)
		if c.ending = now; d.End && (d.Order != Total || !was) {
			if m.finish(now, c); !was { // it may go at the others already: a part of it is not shown
				m.clear(c, c.life)
			}
		}
	}
}

func (c *channel) position() Position {
	p := Position{Channel: c.d.Name, Generation: c.turned, Gone: c.silent}
	if c.d.Order == Total {
		p.Epoch, p.Place = c.epoch, c.vec[""]
	} else {
		p.Seen = c.vec
	}
	return p
}

func (c *channel) token() string {
	p := c.position()
	return p.Token()
}

func (c *channel) append(i item) {
	i.pos = c.token()
	c.items = append(c.items, i)
	c.bytes += i.size
	c.news = true
}

func (c *channel) end() uint64 { return c.first + uint64(len(c.items)) }

// Learn takes a record in that replica has got, from others or from oneself.
func (m *Machine) Learn(now float64, r replication.Record) {
	key, err := readKey(r.Key)
	writer, number, ep := key.writer, key.number, key.epoch
	var c *channel
	if err == nil {
		c = m.channel(key.channel)
	}
	switch {
	case c == nil:
		m.spoilt++
		return
	case writer != "" && m.void(c, r, ep):
		if r.Deleted {
			delete(c.loose, r.Key)
		}
		return
	case r.Kind == WriterKind && r.Deleted:
		delete(c.loose, r.Key)
		return
	case r.Kind == WriterKind:
		if !m.learnWriter(now, c, r, writer) {
			return
		}
	case r.Kind == EntryKind && (r.Deleted || len(r.Value) == 0):
		delete(c.loose, r.Key)
		if writer != "" && c.forgot(writer, number) {
			return
		}
		c.wake(now, writer, number)
		c.unhold(writer, number)
		c.dead[writer] = max(c.dead[writer], number)
		c.raise(writer, number, ep)
	case r.Kind == EntryKind:
		e, err := unpackEntry(r.Value)
		if err != nil || e.key() != r.Key {
			m.spoilt++
			return
		}
		c.insert(now, e, r.Dot.Writer != m.name)
	}
	m.advance(now, c)
}

// learnWriter takes the record of how far a writer's messages were let go; false if it changes nothing.
func (m *Machine) learnWriter(now float64, c *channel, r replication.Record, writer string) bool {
	v := reading{b: r.Value}
	ep, number := v.number(), v.number()
	if v.bad {
		m.spoilt++
		return false
	}
	if c.forgot(writer, number) {
		c.loose[r.Key] = max(c.loose[r.Key], 0)
		return false
	}
	c.wake(now, writer, number)
	c.raise(writer, number, ep)
	return true
}

// raise: others have let all up to a number go.
func (c *channel) raise(writer string, number, ep uint64) {
	if writer == "" && !c.valid(ep, number) {
		return
	}
	if number > c.floor[writer] && number > c.vec[writer] {
		c.floor[writer] = number
	}
	if number >= c.base[writer] {
		delete(c.marks, writer)
	}
}

// valid is false for a place of an epoch that a later one has taken back.
func (c *channel) valid(ep, place uint64) bool {
	for _, o := range c.epochs {
		if o.epoch > ep && place >= o.since || o.epoch == ep && place > 0 && place < o.since {
			return false
		}
	}
	return true
}

func (c *channel) epochAt(place uint64) uint64 {
	ep := uint64(0)
	for _, o := range c.epochs {
		if o.since <= place {
			ep = max(ep, o.epoch)
		}
	}
	return ep
}

// insert takes an entry in; those that come again change nothing but how sure and how new it is.
func (c *channel) insert(now float64, e *Entry, foreign bool) {
	w, n := e.lane()
	if c.known && (w == "") != (c.d.Order == Total) {
		return
	}
	c.stamp = max(c.stamp, e.Stamp)
	if w != "" {
		if c.forgot(w, n) {
			c.loose[e.key()] = max(c.loose[e.key()], 0)
			return
		}
		c.wake(now, w, n)
	} else if c.known && (c.life > 0 && e.Generation <= c.life || c.ended > 0) {
		if e.Generation <= max(c.life, c.ended) { // else it is learned anew once its declaration is known
			c.loose[e.key()] = 0
		}
		return
	}
	if w == "" {
		if !c.enter(e.Epoch, e.Since) || !c.valid(e.Epoch, n) {
			return
		}
		if len(c.taken) > 2*MostTakers {
			clear(c.taken)
		}
		c.taken[e.Writer] = max(c.taken[e.Writer], e.Number)
	}
	if n <= c.vec[w] {
		i := c.find(w, n)
		if i == nil {
			return
		}
		if i.sure = i.sure || foreign; i.e == nil && c.d.Order == Latest {
			// It was told as a gap, but may be the newest of its key.
			c.newer(e)
			c.append(item{e: e, generation: c.turned, sure: foreign, at: now, size: e.size(), late: c.newest[e.Key] != e})
		}
		return
	}
	if c.held[w] == nil {
		c.held[w] = map[uint64]held{}
	}
	if h, ok := c.held[w][n]; ok {
		h.sure = h.sure || foreign
		c.held[w][n] = h
		return
	}
	c.held[w][n] = held{e, now, foreign}
}

// find is what stands in the log for a number; an entry before a gap. Rare: a look through what is kept.
func (c *channel) find(w string, n uint64) *item {
	var gap *item
	for k := len(c.items) - 1; k >= 0; k-- {
		i := &c.items[k]
		if i.e != nil {
			if x, y := i.e.lane(); x == w && y == n {
				return i
			}
		} else if !i.mark && i.to > 0 && i.writer == w && i.from <= n && n <= i.to {
			gap = i
		}
	}
	return gap
}

// enter makes an epoch known. What older ones have from its first place on is lost: the voters' log was.
func (c *channel) enter(ep, since uint64) bool {
	if since == 0 {
		return false
	}
	for _, o := range c.epochs {
		if o.epoch == ep {
			return o.since == since
		}
	}
	c.epochs = append(c.epochs, epoch{ep, since})
	slices.SortFunc(c.epochs, func(a, b epoch) int { return int(int64(a.epoch) - int64(b.epoch)) })
	if len(c.epochs) > 64 { // the oldest says nothing more about what is kept, or little
		c.epochs = c.epochs[1:]
	}
	for n, h := range c.held[""] {
		if !c.valid(h.e.Epoch, n) {
			c.loose[h.e.key()] = 0
			delete(c.held[""], n)
		}
	}
	if !c.valid(c.epoch, c.vec[""]) {
		c.truncate(since)
	}
	return true
}

func (c *channel) truncate(since uint64) {
	keep := len(c.items)
	for keep > 0 && (c.items[keep-1].e != nil && c.items[keep-1].e.Place >= since || c.items[keep-1].to >= since) {
		keep--
		if c.bytes -= c.items[keep].size; c.items[keep].e != nil {
			c.loose[c.items[keep].e.key()] = 0
		}
	}
	clear(c.items[keep:])
	c.items = c.items[:keep]
	c.vec[""], c.epoch = since-1, c.epochAt(since-1)
	c.base[""] = min(c.base[""], since-1)
	c.floor[""] = min(c.floor[""], since-1)
	c.dead[""] = min(c.dead[""], since-1)
	c.news = true
	clear(c.taken)
	clear(c.newest)
	for _, i := range c.items {
		if i.e != nil {
			c.taken[i.e.Writer] = max(c.taken[i.e.Writer], i.e.Number)
			c.newer(i.e)
		}
	}
	if keep == 0 {
		c.basis = c.token()
	}
}

// law settles which of two entries of a key is newer: by place, or by clock, number and writer.
func law(a, b *Entry) int {
	return cmp.Or(cmp.Compare(a.Place, b.Place), cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Number, b.Number), cmp.Compare(a.Writer, b.Writer))
}

// newer takes an entry as the newest of its key if it is that.
func (c *channel) newer(e *Entry) bool {
	if o := c.newest[e.Key]; o != nil && law(e, o) < 0 {
		return false
	}
	c.newest[e.Key] = e
	return true
}

func (c *channel) lanes() []string {
	if len(c.held) == 0 && len(c.floor) == 0 {
		return nil
	}
	all := slices.Collect(maps.Keys(c.held))
	for w := range c.floor {
		if c.held[w] == nil {
			all = append(all, w)
		}
	}
	slices.Sort(all)
	return all
}

func lowest(of map[uint64]held) uint64 {
	low := uint64(0)
	for n := range of {
		if low == 0 || n < low {
			low = n
		}
	}
	return low
}

// free: nothing that an entry comes after is missing, but for its own writer's.
func (c *channel) free(e *Entry) bool {
	if e.Generation > c.d.Generation {
		return false
	}
	if c.d.Order == Causal {
		for w, n := range e.After {
			if w != e.Writer && c.vec[w] < n {
				return false
			}
		}
	}
	return true
}

// advance puts into the log what is in turn, and tells gaps where the wait for order is over.
func (m *Machine) advance(now float64, c *channel) {
	if !c.known || c.ended > 0 {
		return
	}
	for again := true; again; {
		again = false
		for _, w := range c.lanes() {
			for c.step(now, w, m.alone) {
				again = true
			}
		}
		if !again && c.d.Told {
			again = c.overdue(now)
		}
	}
	c.oldest = 0
	for _, of := range c.held {
		for _, h := range of {
			if c.oldest == 0 || h.at < c.oldest {
				c.oldest = h.at
			}
		}
	}
	c.trim(now)
}

// step puts the next of a lane into the log; but for Total only what another has, too, where there are others. Else with one disk that is lost
// a reader had seen what nobody has, or what is acknowledged came after it: both would wait for ever.
func (c *channel) step(now float64, w string, alone bool) bool {
	n := c.vec[w] + 1
	h, ok := c.held[w][n]
	if !ok {
		f := c.floor[w]
		if f < n {
			delete(c.floor, w)
			return false
		}
		if low := lowest(c.held[w]); low > 0 {
			f = min(f, low-1)
		}
		c.gap(now, w, f)
		return true
	}
	if !c.free(h.e) || c.ended > 0 || w != "" && !h.sure && !alone {
		return false
	}
	if delete(c.held[w], n); len(c.held[w]) == 0 {
		delete(c.held, w)
	}
	c.vec[w] = n
	c.clock[w], c.idle[w] = h.e.Clock, now
	i := item{e: h.e, sure: h.sure, at: now, size: h.e.size(), late: !c.newer(h.e)}
	if w == "" {
		c.epoch, c.turned = max(c.epoch, h.e.Epoch), max(c.turned, h.e.Generation)
		if h.e.Writer == "" {
			i.e, i.to, i.late, i.mark, i.over = nil, n, false, true, c.d.End && h.e.Number == c.d.Generation
		}
	}
	i.generation = c.turned
	if c.append(i); i.over {
		c.ended, c.endedAt = c.d.Generation, now
	}
	return true
}

func (c *channel) gap(now float64, w string, to uint64) {
	from := c.vec[w] + 1
	c.idle[w] = now
	if c.vec[w] = to; w == "" {
		c.epoch = max(c.epoch, c.epochAt(to))
	}
	c.append(item{writer: w, from: from, to: to, generation: c.turned, at: now, size: 32})
}

// overdue passes over what is missing for longer than the wait; true if anything moved.
func (c *channel) overdue(now float64) bool {
	for _, w := range c.lanes() {
		late, low := false, lowest(c.held[w])
		for _, h := range c.held[w] {
			late = late || now-h.at >= c.d.Wait
		}
		if !late {
			continue
		}
		if low > c.vec[w]+1 {
			c.gap(now, w, low-1)
			return true
		}
		e := c.held[w][low].e
		for _, v := range slices.Sorted(maps.Keys(e.After)) {
			to := e.After[v]
			if v == w || c.vec[v] >= to || e.Generation > c.d.Generation {
				continue
			}
			if first := lowest(c.held[v]); first > 0 {
				to = min(to, first-1)
			}
			if to > c.vec[v] {
				c.gap(now, v, to)
				return true
			}
		}
	}
	return false
}

// trim lets go what is beyond the window. Each does so for itself; the first by name writes it down, so that it goes everywhere.
func (c *channel) trim(now float64) {
	k := 0
	for ; k < len(c.items); k++ {
		i := &c.items[k]
		if len(c.items)-k <= max(c.d.Entries, leastKept) && c.bytes <= max(c.d.Bytes, leastKept*MostBody) && now-i.at <= max(c.d.Seconds, leastTime) {
			break
		}
		c.bytes -= i.size
		w, n := i.writer, i.to
		if i.e != nil {
			w, n = i.e.lane()
			if n > c.dead[w] {
				c.loose[i.e.key()] = 0
			}
			if c.newest[i.e.Key] == i.e {
				delete(c.newest, i.e.Key)
			}
		}
		if n > c.base[w] {
			c.base[w], c.marks[w] = n, true
		}
		c.basis = i.pos
	}
	if k > 0 {
		clear(c.items[:k])
		c.items = c.items[k:]
		c.first += uint64(k)
	}
}

// Tick is called a few times a second.
func (m *Machine) Tick(now float64) {
	for _, name := range slices.Sorted(maps.Keys(m.channels)) {
		c := m.channels[name]
		if len(c.held) > 0 || len(c.floor) > 0 {
			m.advance(now, c)
			c.news = true // readers may have to be told
		}
		c.trim(now)
		if now-c.looked >= forgetEach {
			c.looked = now
			m.drop(name, c)
			m.tires(now, name, c)
		}
		if m.trims {
			m.tombs(now, name, c)
		}
		if c.known && c.d.End && c.ended == 0 && now-c.ending >= endMost {
			m.finish(now, c)
		}
		if c.ended > 0 && len(c.items) > 0 && now-c.endedAt >= endKept {
			m.clear(c, c.life)
		}
		if c.known && c.d.Order != Total {
			m.again(c)
		}
		m.order(now, name, c)
	}
	m.refused *= 0.9
}

func (m *Machine) tombs(now float64, name string, c *channel) {
	for _, w := range slices.Sorted(maps.Keys(c.marks)) {
		ep := uint64(0)
		if w == "" && c.d.Order == Total {
			ep = c.epochAt(c.base[w])
		}
		v, life := number(ep, c.base[w]), c.life
		if w == "" {
			life = 0
		}
		m.ready.Puts = append(m.ready.Puts, Put{Record: replication.Record{Kind: WriterKind, Key: makeKey(name, w, 0, life), Value: v}})
	}
	clear(c.marks)
	if len(c.loose) == 0 {
		return
	}
	n := 0
	for _, k := range slices.Sorted(maps.Keys(c.loose)) {
		if c.loose[k] > now {
			continue
		}
		if n++; n > mostTrims {
			break
		}
		c.loose[k] = now + 10*Within
		r := replication.Record{Kind: EntryKind, Key: k, Deleted: true}
		if key, err := readKey(k); err == nil && key.number == 0 {
			g, ok := c.gone[key.writer]
			if r.Kind, r.Value = WriterKind, number(0, math.MaxUint64); key.epoch == c.life && c.ended == 0 {
				if r.Value = number(0, g.Number); !ok || c.vec[key.writer] > 0 { // it came back
					delete(c.loose, k)
					continue
				}
			}
		}
		m.ready.Puts = append(m.ready.Puts, Put{Record: r})
	}
}

// again writes the first of each lane anew that no other is known to have and nobody sends: its copies fell short, or a start forgot them.
func (m *Machine) again(c *channel) {
	for _, w := range c.lanes() {
		n := c.vec[w] + 1
		if h, ok := c.held[w][n]; ok && !h.sure && !c.flies(w, n) && m.flights < MostFlight {
			m.send(c, *h.e)
		}
	}
}

// Ready is what is to be done since the last call.
func (m *Machine) Ready() Ready {
	for _, name := range slices.Sorted(maps.Keys(m.channels)) {
		if c := m.channels[name]; c.news {
			c.news = false
			m.ready.News = append(m.ready.News, name)
		}
	}
	r := m.ready
	m.ready = Ready{}
	return r
}
