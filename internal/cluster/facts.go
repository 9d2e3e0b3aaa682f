package cluster

import (
	"encoding/json"
	"fmt"
	"time"

	"elderwall/core/cluster/replication"
	"elderwall/core/cluster/variant"
)

const (
	shareEach  = 100 * time.Millisecond // between looks for facts to tell and to learn
	mostShared = 200                    // facts that are told a look: 2,000 a second
	mostUnread = 1 << 14                // facts that wait until they may be learned; beyond it all are gone through anew
	sweepEach  = 30 * time.Second       // between looks for facts that are of no use
	mostSwept  = 500                    // of them at a time
)

// Variants is what knows which device classes get the same bytes.
type Variants interface {
	// Facts takes what the others are to be told, the oldest first.
	Facts(most int) []variant.Fact
	// Learn takes what others told.
	Learn(now float64, facts []variant.Fact)
	// Keep tells whether a fact is still of use; own for one that was told here.
	Keep(f *variant.Fact, own bool) bool
	// Peers tells how many dispatchers share their facts, this one too.
	Peers(n int)
	// Notices takes the joins and splits since it was last asked.
	Notices() []variant.Notice
}

// shares has facts of variants remembered by all, and learns those of others. All but the queue is of the memory's goroutine alone.
type shares struct {
	memory  *memory
	of      Variants // nil where none are declared
	now     func() float64
	notices func([]variant.Notice)

	peers  int // that are there, with this one
	unread []variant.Fact
	all    bool // all that is remembered is to be learned
	looked time.Time
	swept  time.Time
}

func (s *shares) begin(m *memory) {
	s.memory, s.all, s.swept = m, true, time.Now()
	m.follow[variant.KindID] = append(m.follow[variant.KindID], s.changed)
}

// TakeVariants has what is known of variants told to the others and learned from them, before the fleet is served; now is the variants' time.
func (f *Fleet) TakeVariants(of Variants, now func() float64) {
	f.memory.shares.of, f.memory.shares.now = of, now
	if f.following != nil {
		f.memory.shares.notices = f.tellVariants
	}
}

// joined is a join or split as the channel of variants tells it; service and classes are numbered as in the settings.
type joined struct {
	Service  int    `json:"service"`
	Object   string `json:"object"`
	Part     int    `json:"part"`
	Class    int    `json:"class"`
	Standing int    `json:"standing"` // the class itself where it was split off
	Split    bool   `json:"split"`
}

// tellVariants has joins and splits told in their channel, by object, part and class.
func (f *Fleet) tellVariants(all []variant.Notice) {
	for _, n := range all {
		o := n.Object
		of := joined{o.Service, fmt.Sprintf("%016x", o.ID), o.Part, n.Class, n.Canonical, n.Split}
		body, err := json.Marshal(of)
		if err != nil {
			continue
		}
		f.Tell(VariantsChannel, fmt.Sprintf("%d/%s/%d/%d", of.Service, of.Object, of.Part, of.Class), body)
	}
}

// Notices has a function take the joins and splits that happen here, before the fleet is served. It may not wait.
func (f *Fleet) Notices(take func([]variant.Notice)) { f.memory.shares.notices = take }

// changed takes facts that came to stand; they are learned at the next look.
func (s *shares) changed(all []replication.Record) {
	if s.of == nil {
		return
	}
	for _, r := range all {
		if r.Deleted || r.Dot.Writer == s.memory.fleet.Name {
			continue
		}
		if f, err := variant.DecodeFact(r.Value); err == nil {
			s.unread = append(s.unread, f)
		}
	}
	if len(s.unread) > mostUnread {
		s.unread, s.all = nil, true
	}
}

// tick tells and learns. Guards against facts of before a purge that is remembered and not taken yet: floors go first, after a start as after a cut.
func (s *shares) tick() {
	m := s.memory
	if s.of == nil || time.Since(s.looked) < shareEach {
		return
	}
	s.looked = time.Now()
	if s.notices != nil {
		if all := s.of.Notices(); len(all) > 0 {
			s.notices(all)
		}
	}
	m.mu.Lock()
	ready := m.machine != nil && m.purges.may && !m.purges.all
	writes := false
	if m.machine != nil {
		status := m.machine.Status()
		ready, writes = ready && !status.CatchingUp, status.Writable
	}
	m.mu.Unlock()
	if !ready {
		s.unread, s.all = nil, true
	} else {
		s.learn()
	}
	s.of.Peers(s.peers)
	if !writes {
		return
	}
	for _, f := range s.of.Facts(mostShared) {
		// One that finds no room, or stands already, is not told: the others keep their own keys the longer.
		_, _ = m.write(variant.KindID, variant.FactKey(&f), variant.EncodeFact(&f), false, replication.WriteConcern{})
	}
	if time.Since(s.swept) >= sweepEach {
		s.swept = time.Now()
		s.sweep()
	}
}

func (s *shares) learn() {
	if s.all {
		s.all, s.unread = false, nil
		s.memory.each(variant.KindID, func(r replication.Record) bool {
			if f, err := variant.DecodeFact(r.Value); err == nil && !r.Deleted {
				s.unread = append(s.unread, f)
			}
			return true
		})
	}
	if len(s.unread) > 0 {
		s.of.Learn(s.now(), s.unread)
		s.unread = nil
	}
}

// sweep deletes facts that are of no use.
func (s *shares) sweep() {
	var old []replication.Record
	s.memory.each(variant.KindID, func(r replication.Record) bool {
		f, err := variant.DecodeFact(r.Value)
		if err == nil && !r.Deleted && !s.of.Keep(&f, r.Dot.Writer == s.memory.fleet.Name) {
			old = append(old, r)
		}
		return len(old) < mostSwept
	})
	for _, r := range old {
		_, _ = s.memory.write(variant.KindID, r.Key, r.Value, true, replication.WriteConcern{}) // it comes again at the next look
	}
}
