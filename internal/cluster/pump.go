package cluster

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"elderwall/core/cluster/channel"
)

const (
	pumps     = 4                // goroutines that hand notes to readers; a reader has none of its own
	beatEach  = 2 * time.Second  // a reader hears something at least so often: so it knows of a dispatcher that is gone
	stuckMost = 10 * time.Second // a reader that takes nothing for so long is let go
	pumpTick  = 50 * time.Millisecond
	pumpLook  = 250 * time.Millisecond // between looks at all readers: for those who wait for what doesn't come
	takeNotes = 64                     // notes of a frame
	takeTurns = 16                     // frames of a reader before the next one's turn
)

// follower is a reader's stream: the answer to its question goes on for as long as it listens.
type follower struct {
	id      uint64
	channel string
	conn    net.Conn
	raw     syscall.RawConn
	nonce   []byte
	seq     uint64
	out     []byte    // of a frame, not taken yet
	stuck   time.Time // since when
	sent    time.Time
	last    bool // nothing follows
}

// pump hands notes to some of the readers.
type pump struct {
	of   *following
	wake chan struct{}

	mu      sync.Mutex
	fresh   []*follower
	changed map[string]bool
	readers map[*follower]bool // of the goroutine alone
	sheets  map[string]sheet   // by channel, of the pass: of the goroutine alone
}

// sheet is notes as they were encoded for a reader: those in step with it get the same, each sealed for itself.
type sheet struct {
	notes []channel.Notification
	text  []byte
	last  bool // nothing follows
}

func (s *sheet) of(notes []channel.Notification) bool {
	return s.text != nil && slices.EqualFunc(s.notes, notes, func(a, b channel.Notification) bool {
		return a.Entry == b.Entry && a.Position == b.Position && a.Kind == b.Kind && a.Writer == b.Writer && a.From == b.From && a.To == b.To &&
			a.Generation == b.Generation && a.Late == b.Late && slices.Equal(a.Dispatchers, b.Dispatchers)
	})
}

func newPump(w *following) *pump {
	return &pump{of: w, wake: make(chan struct{}, 1), changed: map[string]bool{}, readers: map[*follower]bool{}, sheets: map[string]sheet{}}
}

func (p *pump) add(r *follower) {
	p.mu.Lock()
	p.fresh = append(p.fresh, r)
	p.mu.Unlock()
	poke(p.wake)
}

func (p *pump) news(names []string) {
	p.mu.Lock()
	for _, n := range names {
		p.changed[n] = true
	}
	p.mu.Unlock()
	poke(p.wake)
}

func (p *pump) run(ctx context.Context) error {
	each := time.NewTicker(pumpTick)
	defer each.Stop()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, r := range p.fresh {
			_ = r.conn.Close()
		}
		for r := range p.readers {
			_ = r.conn.Close()
		}
	}()
	var looked time.Time
	for {
		select {
		case <-p.wake:
		case <-each.C:
		case <-ctx.Done():
			return nil
		}
		now := time.Now()
		all := now.Sub(looked) > pumpLook
		if all {
			looked = now
		}
		p.mu.Lock()
		changed, fresh := p.changed, p.fresh
		p.changed, p.fresh = map[string]bool{}, nil
		p.mu.Unlock()
		for _, r := range fresh {
			p.readers[r] = true
			changed[r.channel] = true
		}
		for r := range p.readers {
			if (all || len(r.out) > 0 || changed[r.channel]) && !p.serve(r, now) {
				_ = r.conn.Close()
				delete(p.readers, r)
				p.of.mu.Lock()
				p.of.machine.Close(r.id)
				p.of.mu.Unlock()
			}
		}
		clear(p.sheets)
	}
}

// serve hands a reader what it takes now, and waits for nothing; false where it is to be let go.
func (p *pump) serve(r *follower, now time.Time) bool {
	for range takeTurns {
		if !r.flush(now) {
			return false
		}
		if len(r.out) > 0 {
			return now.Sub(r.stuck) < stuckMost
		}
		if r.last {
			return false
		}
		p.of.mu.Lock()
		notes := p.of.machine.Take(p.of.fleet.dutyNow(), r.id, takeNotes)
		p.of.mu.Unlock()
		if len(notes) == 0 && now.Sub(r.sent) < beatEach {
			return true
		}
		s := p.sheets[r.channel]
		if !s.of(notes) {
			s = p.of.fleet.sheet(notes)
			p.sheets[r.channel] = s
		}
		r.frame(p.of.fleet, &s)
		r.sent = now
	}
	poke(p.wake) // others first
	p.mu.Lock()
	p.changed[r.channel] = true
	p.mu.Unlock()
	return true
}

// wireNote is a note on the wire.
type wireNote struct {
	Kind        channel.EventKind `cbor:"1,keyasint"`
	Entry       *channel.Entry    `cbor:"2,keyasint,omitempty"`
	Position    string            `cbor:"3,keyasint,omitempty"`
	From        uint64            `cbor:"4,keyasint,omitempty"`
	To          uint64            `cbor:"5,keyasint,omitempty"`
	Writer      string            `cbor:"6,keyasint,omitempty"`
	Dispatchers []string          `cbor:"7,keyasint,omitempty"`
	Generation  uint64            `cbor:"8,keyasint,omitempty"`
	Late        bool              `cbor:"9,keyasint,omitempty"`
}

const mostWhere = 8 // dispatchers that a reader is told to go to

// sheet encodes notes; what can't be is the last that a reader hears of.
func (f *Fleet) sheet(notes []channel.Notification) (s sheet) {
	s.notes = notes
	wire := make([]wireNote, len(notes))
	for i, n := range notes {
		var where []string
		for _, name := range n.Dispatchers[:min(len(n.Dispatchers), mostWhere)] {
			if at := f.addressOf(name); at != "" {
				where = append(where, at)
			}
		}
		n.Dispatchers = where
		wire[i] = wireNote(n)
		switch n.Kind {
		case channel.EventReset, channel.EventBehind, channel.EventCutOff, channel.EventEnded:
			s.last = true
		}
	}
	text, err := encoding.Marshal(wire)
	if s.text = text; err != nil {
		s.last, s.text = true, nil
	}
	return s
}

// frame seals notes as the next frame of a reader.
func (r *follower) frame(f *Fleet, s *sheet) {
	r.last = s.last
	if s.text == nil {
		return
	}
	r.seq++
	sealed := f.Keys.seal(sealedNotes, f.boot, f.number.Add(1), s.text, boundTo(r.nonce, r.seq))
	r.out = append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(sealed)), uint32(len(sealed))), sealed...)
	f.Counts.StreamsOut.Add(1)
	f.Counts.BytesOut.Add(int64(len(r.out)))
}

// boundTo is what a frame is bound to: none can be left out, repeated or put into another's stream.
func boundTo(nonce []byte, seq uint64) []byte {
	return binary.BigEndian.AppendUint64(append([]byte{}, nonce...), seq)
}

// flush writes what the socket takes at once.
func (r *follower) flush(now time.Time) bool {
	if len(r.out) == 0 {
		return true
	}
	n, gone := 0, error(nil)
	err := r.raw.Write(func(fd uintptr) bool {
		n, gone = unix.Write(int(fd), r.out)
		return true
	})
	again := errors.Is(gone, unix.EAGAIN) || errors.Is(gone, unix.EINTR)
	if err != nil || gone != nil && !again {
		return false
	}
	if n = max(n, 0); n == len(r.out) {
		r.out, r.stuck = nil, time.Time{}
		return true
	}
	if r.out = r.out[n:]; n > 0 || r.stuck.IsZero() {
		r.stuck = now
	}
	return true
}
