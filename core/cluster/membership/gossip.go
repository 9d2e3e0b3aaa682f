package membership

import (
	"cmp"
	"math"
	"slices"
)

// rumour is news with how often it was passed on.
type rumour struct {
	Member
	sends int
}

const (
	mostNews   = 1 << 10 // records that are passed on at a time; what is crowded out comes with the next exchange
	longWord   = 255     // bytes of a name, an address, a zone
	contacts   = 8       // addresses that one who is ousted still knows
	mostSelves = 3       // former selves at the own address: more of them are a twin behind the same address
)

// send puts a message out.
func (m *Machine) send(to string, out Message) {
	m.put(Envelope{To: to, Message: out})
}

func (m *Machine) put(e Envelope) {
	e.From, e.Digest, e.Sees = m.self, m.view.Digest, m.view.sees()
	e.From.Counted = m.counted
	m.out = append(m.out, e)
}

// ping sends one, with what is thought of its receiver first: who is suspected learns it with the question.
func (m *Machine) ping(p *peer, seq uint32) {
	m.send(p.Address, Message{Kind: Ping, Seq: seq, Target: Member{Name: p.Name, Boot: p.Boot}, News: m.pack(p)})
}

// spread passes a record on, in place of older ones of its name.
func (m *Machine) spread(r Member) {
	r.Counted = false
	for _, n := range m.news {
		if n.Name == r.Name {
			n.Member, n.sends = r, 0
			return
		}
	}
	if len(m.news) >= mostNews {
		most := slices.MaxFunc(m.news, func(a, b *rumour) int { return cmp.Compare(a.sends, b.sends) })
		*most = rumour{Member: r}
		return
	}
	m.news = append(m.news, &rumour{Member: r})
}

// pack takes news for a datagram: for its receiver what is thought of it, then what was passed on least.
func (m *Machine) pack(to *peer) (all []Member) {
	left := NewsBytes
	if to != nil && to.State != Alive {
		all, left = append(all, to.Member), left-to.Bytes()
	}
	most := int(spread*math.Ceil(math.Log10(float64(m.In()+2)))) + 1
	slices.SortStableFunc(m.news, func(a, b *rumour) int { return cmp.Compare(a.sends, b.sends) })
	for _, n := range m.news {
		if left < 60 {
			break
		}
		if b := n.Bytes(); b <= left && (to == nil || n.Name != to.Name || to.State == Alive) {
			all, left = append(all, n.Member), left-b
			n.sends++
		}
	}
	m.news = slices.DeleteFunc(m.news, func(n *rumour) bool { return n.sends >= most })
	return all
}

// learn takes a record of a member: from news, from itself, or from a table.
func (m *Machine) learn(r Member, table bool) {
	if !r.valid() {
		return
	}
	if r.Name == m.self.Name {
		m.aboutSelf(r)
		return
	}
	r.Counted = false
	p := m.byName[r.Name]
	if p == nil {
		m.add(r)
		return
	}
	same := r.Incarnation == p.Incarnation && r.Boot == p.Boot
	if same && r.State == Failed && p.State.In() && (table || m.now-p.heard < m.span(quiet)) && !m.s.Plain {
		r.State = Suspect // a table may be of those who were cut off; and who was just heard may refute it
	}
	if same && r.Version > p.Version {
		m.renew(p, &r)
	}
	if same && r.State == Suspect {
		m.suspect(p, r.By)
		return
	}
	if !r.beats(&p.Member) {
		if !same && r.State.In() && p.State.In() { // who tells it does not know what is known here
			m.spread(p.Member)
		}
		return
	}
	m.replace(p, r)
}

// valid tells whether a record from outside can be of a member.
func (r *Member) valid() bool {
	named := r.Name != "" && r.Address != ""
	return named && len(r.Name) <= longWord && len(r.Address) <= longWord && len(r.Zone) <= longWord && r.State <= Left
}

// renew takes what a later version of a member's record says of it.
func (m *Machine) renew(p *peer, r *Member) {
	p.Version, p.Wire, p.Load = r.Version, r.Wire, r.Load
	if p.Generation != r.Generation || p.Vote != r.Vote {
		p.Generation, p.Vote = r.Generation, r.Vote
		m.spread(p.Member)
	}
}

// replace puts a record that beats the known one in its place.
func (m *Machine) replace(p *peer, r Member) {
	accused := r.State == Suspect
	if accused {
		r.State = Alive
	}
	was := p.Member
	p.Member = r
	if was.State != r.State || was.Boot != r.Boot || was.Address != r.Address {
		p.missed, p.link, p.silent = 0, Clear, false
	}
	if p.accuser = nil; was.State != r.State || was.Boot != r.Boot {
		m.changed(p, r.By)
	} else {
		m.spread(r)
	}
	if accused {
		m.suspect(p, r.By)
	}
}

// changed books that a state is new, tells it and passes it on.
func (m *Machine) changed(p *peer, by string) {
	p.since, p.By = m.now, by
	m.touched()
	if p.State == Left {
		p.counted = false // that was agreed upon
	}
	m.spread(p.Member)
	m.event(Event{Name: p.Name, What: p.State.String(), By: by, Zone: p.Zone})
}

// add takes in a record of a new name. Those that failed or left make room where the table is full.
func (m *Machine) add(r Member) {
	if len(m.list) >= Most-1 {
		var oldest *peer
		for _, p := range m.list {
			if !p.State.In() && !p.counted && (oldest == nil || p.since < oldest.since) {
				oldest = p
			}
		}
		if oldest == nil {
			return
		}
		m.remove(oldest)
	}
	accused := r.State == Suspect
	if accused {
		r.State = Alive
	}
	p := &peer{Member: r, since: m.now, heard: math.Inf(-1)}
	m.byName[r.Name] = p
	m.list = append(m.list, p)
	m.touched()
	m.spread(r)
	if r.State.In() {
		m.event(Event{Name: r.Name, What: "joined", Zone: r.Zone})
	}
	if accused {
		m.suspect(p, r.By)
	}
}

func (m *Machine) remove(p *peer) {
	delete(m.byName, p.Name)
	m.list = slices.DeleteFunc(m.list, func(o *peer) bool { return o == p })
	m.touched()
}

// aboutSelf takes what others think of this member, or of another process with its name.
func (m *Machine) aboutSelf(r Member) {
	if m.standing != Belongs {
		return
	}
	if r.Boot == m.self.Boot {
		if r.State != Alive && r.Incarnation >= m.self.Incarnation {
			m.self.Incarnation = r.Incarnation + 1
			m.health = min(health, m.health+1)
			m.spread(m.self)
		}
		return
	}
	gone := !r.State.In()
	if former := gone || r.Address == m.self.Address; former && r.Incarnation >= m.self.Incarnation&^(epoch-1) {
		if m.selves++; gone || m.selves <= mostSelves {
			m.self.Incarnation = (r.Incarnation/epoch + 1) * epoch
			m.spread(m.self)
			return
		}
	}
	switch {
	case r.beats(&m.self):
		m.oust(r)
	case !gone:
		m.spread(m.self)
		m.send(r.Address, Message{Kind: Ping, Target: r, News: []Member{m.self}})
	}
}

// oust ends this process's part in the fleet: another one has its name. It serves on by itself, and asks now and then
// whether the name is free.
func (m *Machine) oust(by Member) {
	if m.standing != Belongs {
		return
	}
	m.standing = Ousted
	m.event(Event{Name: m.self.Name, What: "ousted", By: by.Address, Zone: by.Zone})
	m.known = []string{by.Address}
	for _, p := range m.some(contacts, func(p *peer) bool { return p.State.In() }) {
		m.known = append(m.known, p.Address)
	}
	m.list, m.news, m.round, m.probe, m.asked, m.joined, m.counted = nil, nil, nil, nil, nil, false, true
	m.reference = reference{fleet: m.self.Boot}
	clear(m.byName)
	m.due.join = m.now + m.span(joinEach)
	m.touched()
	m.look()
}

// join asks to be taken in, until somebody answered, and while nobody is known.
func (m *Machine) join() {
	ousted := m.standing == Ousted
	if m.now < m.due.join || !ousted && m.joined && m.In() > 0 {
		return
	}
	m.due.join = m.now + m.span(joinEach) + m.jitter(joinEach)
	to := slices.DeleteFunc(slices.Concat(m.s.Peers, m.known), func(a string) bool { return a == m.self.Address })
	if len(to) > 0 {
		m.peerAt++
		m.ask(to[(m.peerAt+int(m.s.Boot%64))%len(to)])
	}
}

// ask asks one to be taken in; its answer names the question.
func (m *Machine) ask(to string) {
	m.seq++
	m.joinSeq = m.seq
	m.put(Envelope{To: to, Stream: true, Message: Message{Kind: Join, Seq: m.seq, Fleet: m.reference.fleet, Of: uint32(m.view.Of)}})
}

// takeIn answers one that asks to be taken in. A name is its holder's as long as that is not known to be gone.
func (m *Machine) takeIn(in Message) {
	if m.standing != Belongs || len(in.From.Name) > longWord || len(in.From.Address) > longWord {
		return
	}
	m.listen()
	holder, held := m.self, in.From.Name == m.self.Name
	if p := m.byName[in.From.Name]; p != nil && p.State.In() {
		holder, held = p.Member, p.Boot != in.From.Boot && p.Address != in.From.Address
		if held { // should it be gone, that is to be known soon
			m.round = slices.Insert(m.round, 0, p)
		}
	}
	if !m.tables.take(m.now, tablesAtOne) {
		return // it comes again
	}
	if held {
		m.put(Envelope{To: in.From.Address, Stream: true, Message: Message{Kind: Refused, Seq: in.Seq, Target: holder}})
		return
	}
	if p := m.byName[in.From.Name]; p == nil || in.From.beats(&p.Member) {
		m.learn(in.From, false)
	}
	m.joined = true
	// One that is of a fleet already tells of that: guards against one that started while cut off, is met by those who went on,
	// and would count itself and them as another fleet.
	m.sendTable(in.From.Address, in.Seq, in.Fleet != m.reference.fleet && in.Of > 1)
	m.look()
}

// sendTable sends all that is known; to one that asks, with the number of its question.
func (m *Machine) sendTable(to string, seq uint32, wants bool) {
	all := make([]Member, 0, len(m.list))
	for _, p := range m.list {
		r := p.Member
		r.Counted = p.counted
		all = append(all, r)
	}
	m.put(Envelope{To: to, Stream: true, Message: Message{
		Kind: Table, Seq: seq, News: all, Wants: wants, Fleet: m.reference.fleet,
		Reference: m.reference.generation, Of: uint32(m.view.Of),
	}})
}

// takeTable takes all that another knows.
func (m *Machine) takeTable(in Message) {
	if !m.joined && in.Seq != m.joinSeq {
		return
	}
	m.listen()
	if m.standing == Ousted { // the name is free, and the table tells who had it
		m.standing = Belongs
		m.event(Event{Name: m.self.Name, What: "joined", By: in.From.Name, Zone: m.self.Zone})
	}
	m.joined = true
	m.learn(in.From, false)
	if p := m.byName[in.From.Name]; p != nil && p.Boot == in.From.Boot {
		p.heard = m.now
		m.silence(p, false)
	}
	for _, r := range in.News {
		m.learn(r, true)
	}
	if m.standing != Belongs {
		return
	}
	m.merge(in)
	if in.Wants && m.tables.take(m.now, tablesAtOne) {
		m.sendTable(in.From.Address, 0, false)
	}
	m.spread(m.self)
	m.look()
}

// exchange keeps tables together, and tries those that failed and peers that are not known: cuts heal.
func (m *Machine) exchange() {
	if m.now >= m.due.sync {
		m.due.sync = m.now + (m.span(syncEach)/2+m.jitter(syncEach))*math.Max(1, float64(m.In())/syncFew)
		for _, p := range m.some(1, func(p *peer) bool { return p.State == Alive }) {
			m.sendTable(p.Address, 0, true)
		}
	}
	if m.now < m.due.heal {
		return
	}
	m.due.heal = m.now + m.span(healEach)/2 + m.jitter(healEach)
	failed := m.some(1, func(p *peer) bool { return p.State == Failed })
	var unknown []string
	for _, a := range m.s.Peers {
		if a != m.self.Address && !slices.ContainsFunc(m.list, func(p *peer) bool { return p.Address == a && p.State.In() }) {
			unknown = append(unknown, a)
		}
	}
	switch {
	case len(failed) > 0 && (len(unknown) == 0 || m.chance.IntN(2) == 0):
		m.ping(failed[0], 0)
	case len(unknown) > 0 && m.In() > 0:
		m.ask(unknown[m.chance.IntN(len(unknown))])
	}
}

// forget lets members go that failed or left long ago. Those of the last agreed fleet only a majority may let go.
func (m *Machine) forget() {
	for i := 0; i < len(m.list); i++ {
		p := m.list[i]
		if !p.State.In() && m.now-p.since > m.span(keep) && (!p.counted || m.May(Forget)) {
			if p.counted {
				m.reference.generation++
			}
			m.remove(p)
			i--
		}
	}
}
