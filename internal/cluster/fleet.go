// Package cluster drives what dispatchers decide together (core/cluster) over sockets: datagrams, streams for what is longer,
// seals and timers. It decides nothing. Under the lock of a GET only budgets are asked (Bounded, Spend), whose own lock is held for no I/O.
package cluster

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"elderwall/core/cluster/lease"
	"elderwall/core/cluster/membership"
	"elderwall/core/cluster/quota"
)

const (
	longestDatagram = 1400     // bytes, sealed: whole on every usual path
	longestStream   = 2 << 20  // bytes; 2,000 records with their names and addresses are a quarter of it, the largest log's state a half
	frameAhead      = 64 << 10 // bytes that are made room for before any has come
	streamsIn       = 16       // at a time
	streamsOut      = 16
	streamTime      = 5 * time.Second
	bytesOut        = 1 << 20 // a second, of datagrams and streams together; what is over is dropped, as a network may
	bytesBurst      = longestStream
	ticksEach       = 8 // an interval
	loadEach        = 5 * time.Second
	rememberEach    = 200 * time.Millisecond // a write and a sync; what is remembered lags by no more
	watchers        = 16                     // that wait for changes at a time
)

// Settings is what a fleet's member is told.
type Settings struct {
	Listen   string
	Address  string // that it tells, where others reach it; "" for Listen
	Peers    []string
	Name     string
	Zone     string
	Reach    map[string]string // at which address one that a member tells is reached from here
	Pace     float64           // s between probes
	Wire     uint8
	Key      string // path of the key file, "" for none
	Remember string // file in which the last agreed fleet is kept over a restart, "" for none
	Keys     *Keys
	Duties   *Duties   // nil where it stands for none and does not vote
	Budgets  *Budgets  // nil where nothing is divided
	Memory   *Memory   // nil where nothing is remembered together
	Channels *Channels // nil where no channels are kept; they need duties and a memory
}

// Check tells what can't go together.
func (s *Settings) Check() error {
	listen, err := netip.ParseAddrPort(s.Listen)
	if err != nil {
		return fmt.Errorf("listen: %q is no address with a port", s.Listen)
	}
	if s.Key == "" && !listen.Addr().IsLoopback() {
		return errors.New("key: is needed where others than this machine can come")
	}
	if listen.Addr().IsUnspecified() && s.Address == "" {
		return errors.New("address: is needed where listen is any address")
	}
	return nil
}

// Counts are the sums since the start.
type Counts struct {
	In, Out, BytesIn, BytesOut         atomic.Int64 // datagrams and streams
	StreamsIn, StreamsOut, StreamsHeld atomic.Int64 // and those for which there was no place
	Unsealed, Replayed, Unusable       atomic.Int64 // dropped: by no key of ours; that came before; no message
	OverRate, TooLong, Failed          atomic.Int64 // not sent
	Asked                              atomic.Int64 // by the command line
}

// Log writes the counters as one line.
func (c *Counts) Log(log zerolog.Logger) {
	e := log.Info()
	for name, n := range c.each() {
		e = e.Int64(name, n)
	}
	e.Msg("fleet counters")
}

func (c *Counts) each() map[string]int64 {
	return map[string]int64{
		"In": c.In.Load(), "Out": c.Out.Load(), "BytesIn": c.BytesIn.Load(), "BytesOut": c.BytesOut.Load(),
		"StreamsIn": c.StreamsIn.Load(), "StreamsOut": c.StreamsOut.Load(), "StreamsHeld": c.StreamsHeld.Load(),
		"Unsealed": c.Unsealed.Load(), "Replayed": c.Replayed.Load(), "Unusable": c.Unusable.Load(), "OverRate": c.OverRate.Load(),
		"TooLong": c.TooLong.Load(), "Failed": c.Failed.Load(), "Asked": c.Asked.Load(),
	}
}

// Fleet is one member at work.
type Fleet struct {
	Settings
	Log      zerolog.Logger
	Counts   Counts
	GETs     func() (gets, shed int64) // since the start; nil where none are told
	Counters func() map[string]int64   // nil where none are told

	datagrams  *net.UDPConn
	streams    net.Listener
	start      time.Time
	boot       uint64
	number     atomic.Uint64
	limit      *rate.Limiter
	out        *semaphore.Weighted
	group      *errgroup.Group
	ctx        context.Context
	remembered time.Time // of the loop that ticks
	last       struct {
		at         time.Time
		gets, shed int64
	}

	takes     map[byte]func(boot uint64, text []byte) // by kind of what is sealed
	answers   map[string]func(q ask) Told             // by what is asked
	voter     *voter                                  // nil where this one does not vote
	holding   holding
	spending  spending
	dividing  dividing
	memory    *memory    // nil where nothing is remembered together
	following *following // nil where no channels are kept

	mu         sync.Mutex
	machine    *membership.Machine
	numbers    *numbers
	reach      map[string]string
	generation uint32
	changed    chan struct{} // closed with the next change
	changes    uint64
	kept       membership.AgreedFleet // as the file has it
	watching   int
}

// Open listens, and makes a member that knows nobody yet.
func Open(s Settings, generation uint32, log zerolog.Logger) (*Fleet, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	if s.Keys == nil {
		s.Keys = OpenKeys()
	}
	f := &Fleet{
		Settings: s, Log: log, start: time.Now(), limit: rate.NewLimiter(bytesOut, bytesBurst), out: semaphore.NewWeighted(streamsOut),
		numbers: newNumbers(), reach: s.Reach, changed: make(chan struct{}), generation: generation,
	}
	var drawn [16]byte
	_, _ = rand.Read(drawn[:])
	f.boot = binary.BigEndian.Uint64(drawn[:8]) | 1
	streams, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	at := streams.Addr().(*net.TCPAddr)
	datagrams, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port})
	if err != nil {
		_ = streams.Close()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	f.streams, f.datagrams = streams, datagrams
	if f.Address == "" {
		f.Address = at.String()
	}
	var remembered membership.AgreedFleet
	if s.Remember != "" {
		if remembered, err = recall(s.Remember); err != nil { // it is worth no more than a start that knows nobody
			log.Warn().Err(err).Msg("fleet: what was remembered can't be used")
		}
	}
	f.kept = remembered
	f.machine = membership.New(membership.Settings{
		Name: s.Name, Address: f.Address, Zone: s.Zone, Peers: s.Peers, BootID: f.boot,
		Seed: binary.BigEndian.Uint64(drawn[8:]), WireVersion: s.Wire, SettingsGeneration: generation, Interval: s.Pace, Remembered: remembered,
	}, 0)
	f.holding.holder = lease.NewHolder(s.Name, f.boot, s.Zone, 0)
	if s.Budgets != nil {
		f.beginSpending()
	}
	if s.Memory != nil {
		f.memory = newMemory(f)
	}
	if s.Channels != nil && s.Memory != nil && s.Duties != nil {
		f.following = newFollowing(f)
	}
	if s.Duties != nil {
		f.holding.holder = lease.NewHolder(s.Name, f.boot, s.Zone, s.Duties.Priority)
		if s.Budgets != nil {
			f.holding.holder.Register(quota.Duty, divideLease, f.dutyNow())
		}
		for _, name := range slices.Sorted(maps.Keys(s.Duties.Stands)) {
			f.holding.holder.Register(name, s.Duties.Stands[name], f.dutyNow())
		}
		if s.Duties.Voter {
			f.voter = newVoter(f, s.Duties.Folder)
		}
	}
	f.takes, f.answers = f.takers(), f.answerers()
	return f, nil
}

// now is the time since the start, on this process's own clock. Guards against clocks that are set: it is a monotonic one.
func (f *Fleet) now() float64 { return time.Since(f.start).Seconds() }

// Serve serves until the context ends. It leaves the fleet before that, unless it is killed.
func (f *Fleet) Serve(ctx context.Context) error {
	f.group, f.ctx = errgroup.WithContext(ctx)
	f.Log.Info().Str("listen", f.Listen).Str("address", f.Address).Str("zone", f.Zone).Uint64("boot", f.boot).Msg("fleet: listens")
	f.group.Go(f.readDatagrams)
	f.group.Go(f.accept)
	f.group.Go(f.tick)
	if f.voter != nil {
		f.group.Go(func() error { return f.voter.run(f.ctx) })
	}
	if f.Duties != nil {
		f.group.Go(func() error { return f.hold(f.ctx) })
		if f.Duties.Stands[Report] > 0 {
			f.group.Go(func() error { return f.report(f.ctx) })
		}
	}
	if f.spending.holder != nil {
		f.group.Go(func() error { return f.spend(f.ctx) })
		f.group.Go(func() error { return f.divide(f.ctx) })
	}
	if f.memory != nil {
		f.group.Go(func() error { return f.memory.run(f.ctx) })
	}
	if f.following != nil {
		f.group.Go(func() error { return f.following.run(f.ctx) })
	}
	f.group.Go(func() error {
		<-f.ctx.Done()
		f.leave()
		return errors.Join(f.datagrams.Close(), f.streams.Close())
	})
	err := f.group.Wait()
	f.Counts.Log(f.Log)
	return err
}

// Close has the member give its duties back and leave: others are to ask it nothing more.
func (f *Fleet) Close() {
	if f.spending.holder != nil && f.ctx != nil {
		f.giveUp()
	}
	if f.Duties != nil {
		f.release()
	}
	if f.voter == nil { // a voter votes to its end, and leaves then
		f.leave()
	}
}

// Quiet tells that nothing of a client's is open here.
func (f *Fleet) Quiet() bool { return true }

func (f *Fleet) leave() {
	f.step(func(m *membership.Machine, now float64) { m.Leave(now) })
}

// Take puts other keys and ways to reach members in force, and tells the settings' generation.
func (f *Fleet) Take(s Settings, generation uint32) {
	if s.Keys != nil {
		f.Keys.Take(s.Keys)
	}
	f.mu.Lock()
	f.reach, f.generation = s.Reach, generation
	f.mu.Unlock()
	if f.spending.holder != nil && s.Budgets != nil {
		f.takeBudgets(s.Budgets)
	}
}

// step has the machine act, and does what comes of it.
func (f *Fleet) step(do func(m *membership.Machine, now float64)) {
	f.mu.Lock()
	do(f.machine, f.now())
	send, tell := f.machine.Ready()
	if len(tell) > 0 {
		f.changes++
		close(f.changed)
		f.changed = make(chan struct{})
	}
	reach := f.reach
	f.mu.Unlock()
	if len(tell) > 0 && f.memory != nil {
		poke(f.memory.stale)
	}
	for i := range tell {
		f.tell(&tell[i])
	}
	for i := range send {
		f.send(&send[i], reach)
	}
}

// tell logs a change.
func (f *Fleet) tell(e *membership.Event) {
	line := f.Log.Info()
	switch e.Kind {
	case "ousted":
		f.Log.Error().Str("member", e.Name).Str("holder", e.By).Str("means", "another process has this name; this one is no member, and serves on alone").
			Msg("fleet: ousted")
		return
	case "failed", "minority", "alone", "doubt", "deaf", "differs":
		line = f.Log.Warn()
	}
	if line = line.Str("member", e.Name); e.By != "" {
		line = line.Str("by", e.By)
	}
	if e.AgreedSize > 0 {
		line = line.Int("seen", e.Seen).Int("of", e.AgreedSize)
	}
	line.Msg("fleet: " + e.Kind)
}

// send puts a message out: as a datagram, less news where it would be too long, or on a stream of its own.
func (f *Fleet) send(e *membership.Envelope, reach map[string]string) {
	to := e.To
	if at, ok := reach[to]; ok {
		to = at
	}
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		f.Counts.Failed.Add(1)
		return
	}
	text, err := encode(&e.Message, f.Wire)
	for err == nil && !e.Stream && len(text)+sealLength > longestDatagram && len(e.Updates) > 0 {
		e.Updates = e.Updates[:len(e.Updates)-1]
		text, err = encode(&e.Message, f.Wire)
	}
	if err != nil || !e.Stream && len(text)+sealLength > longestDatagram {
		f.Counts.TooLong.Add(1)
		return
	}
	f.put(to, address, sealedMessage, text, e.Stream, nil)
}

// sendSealed sends what is not members' to one of them, as a datagram where it fits; done, where there is one, is told how that ended.
func (f *Fleet) sendSealed(to string, kind byte, text []byte, stream bool, done func(error)) {
	f.mu.Lock()
	if at, ok := f.reach[to]; ok {
		to = at
	}
	f.mu.Unlock()
	address, err := netip.ParseAddrPort(to)
	if err != nil {
		f.Counts.Failed.Add(1)
		return
	}
	f.put(to, address, kind, text, stream || len(text)+sealLength > longestDatagram, done)
}

var (
	errHeld    = errors.New("over a bound")
	errTooLong = fmt.Errorf("longer than %d bytes", longestStream-sealLength)
)

func (f *Fleet) put(to string, address netip.AddrPort, kind byte, text []byte, stream bool, done func(error)) {
	if done == nil {
		done = func(error) {}
	}
	if len(text)+sealLength > longestStream {
		f.Counts.TooLong.Add(1)
		done(errTooLong)
		return
	}
	sealed := f.Keys.seal(kind, f.boot, f.number.Add(1), text, nil)
	limit := f.limit
	if kind == sealedMemory { // with its own share: a catch-up takes nothing from who tells who is there
		limit = f.memory.limit
	}
	if !limit.AllowN(time.Now(), len(sealed)) {
		f.Counts.OverRate.Add(1)
		done(errHeld)
		return
	}
	if !stream {
		if _, err := f.datagrams.WriteToUDPAddrPort(sealed, address); err != nil {
			f.Counts.Failed.Add(1)
			done(err)
			return
		}
		f.Counts.Out.Add(1)
		f.Counts.BytesOut.Add(int64(len(sealed)))
		return
	}
	if f.ctx == nil || f.ctx.Err() != nil {
		f.Counts.Failed.Add(1)
		done(net.ErrClosed)
		return
	}
	if !f.out.TryAcquire(1) {
		f.Counts.StreamsHeld.Add(1)
		done(errHeld)
		return
	}
	f.group.Go(func() error {
		defer f.out.Release(1)
		err := f.stream(to, sealed)
		done(err)
		if err != nil {
			f.Counts.Failed.Add(1)
			return nil
		}
		f.Counts.StreamsOut.Add(1)
		f.Counts.BytesOut.Add(int64(len(sealed)))
		return nil
	})
}

func (f *Fleet) stream(to string, sealed []byte) error {
	ctx, cancel := context.WithTimeout(f.ctx, streamTime)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", to)
	if err != nil {
		return fmt.Errorf("stream: %w", err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(streamTime))
	return writeFrame(c, sealed)
}

// writeFrame writes a length and what has it.
func writeFrame(w io.Writer, b []byte) error {
	if _, err := w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// readFrame reads one; memory grows with what comes, not with what its length says.
func readFrame(r io.Reader, most int) ([]byte, error) {
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	n := int64(binary.BigEndian.Uint32(size[:]))
	if n > int64(most) {
		return nil, fmt.Errorf("%d bytes, at most %d", n, most)
	}
	b := bytes.NewBuffer(make([]byte, 0, min(n, frameAhead)+bytes.MinRead)) // not all that is announced: it may never come
	if _, err := b.ReadFrom(io.LimitReader(r, n)); err != nil || int64(b.Len()) < n {
		return nil, fmt.Errorf("read: %w", cmp.Or(err, io.ErrUnexpectedEOF))
	}
	return b.Bytes(), nil
}

// readDatagrams takes datagrams until the socket is closed.
func (f *Fleet) readDatagrams() error {
	buf := make([]byte, longestDatagram+1)
	for {
		n, _, err := f.datagrams.ReadFromUDPAddrPort(buf)
		if err != nil {
			if f.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			continue // what a peer that is gone has its machine say of our own datagrams
		}
		f.take(buf[:n])
	}
}

// take takes a sealed message. Whoever has no key gets nothing, not even an answer that something is here.
func (f *Fleet) take(sealed []byte) {
	if len(sealed) == 0 {
		return
	}
	kind := sealed[0]
	opened, err := f.Keys.open(kind, sealed, nil)
	if err != nil || kind == sealedAsk || kind == sealedTold {
		f.Counts.Unsealed.Add(1)
		return
	}
	f.Counts.In.Add(1)
	f.Counts.BytesIn.Add(int64(len(sealed)))
	f.mu.Lock()
	first := f.numbers.first(opened.boot, opened.number)
	f.mu.Unlock()
	if !first {
		f.Counts.Replayed.Add(1)
		return
	}
	if take := f.takes[kind]; take != nil {
		take(opened.boot, opened.text)
	} else {
		f.Counts.Unusable.Add(1)
	}
}

// takers says who takes messages of each kind.
func (f *Fleet) takers() map[byte]func(boot uint64, text []byte) {
	by := func(take func([]byte)) func(uint64, []byte) { return func(_ uint64, text []byte) { take(text) } }
	takes := map[byte]func(uint64, []byte){
		sealedMessage: f.takeMessage, sealedTurn: by(f.takeTurn), sealedAnswer: by(f.takeAnswer),
		sealedSpend: by(f.takeQuestion), sealedGive: by(f.takeGive),
	}
	if f.voter != nil {
		takes[sealedRaft] = by(f.voter.take)
	}
	if f.memory != nil {
		takes[sealedMemory] = f.memory.take
	}
	return takes
}

func (f *Fleet) takeMessage(boot uint64, text []byte) {
	m, err := decode(text)
	if err != nil || m.From.BootID != boot {
		f.Counts.Unusable.Add(1)
		return
	}
	f.step(func(machine *membership.Machine, now float64) { machine.Step(m, now) })
}

// accept takes streams until the listener is closed, so many at a time.
func (f *Fleet) accept() error {
	places := semaphore.NewWeighted(streamsIn)
	for {
		c, err := f.streams.Accept()
		if err != nil {
			if f.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			f.Log.Warn().Err(err).Msg("fleet: accept failed")
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if !places.TryAcquire(1) {
			f.Counts.StreamsHeld.Add(1)
			_ = c.Close()
			continue
		}
		f.group.Go(func() error {
			place := sync.OnceFunc(func() { places.Release(1) })
			defer place()
			kept := false
			defer func() {
				if !kept {
					_ = c.Close()
				}
			}()
			defer context.AfterFunc(f.ctx, func() { _ = c.Close() })()
			_ = c.SetDeadline(time.Now().Add(streamTime))
			f.Counts.StreamsIn.Add(1)
			kept = f.serveStream(c, place)
			return nil
		})
	}
}

// tick drives the machine's time, and tells it the load.
func (f *Fleet) tick() error {
	pace := f.Pace
	if pace <= 0 {
		pace = membership.DefaultInterval
	}
	each := time.NewTicker(time.Duration(pace * float64(time.Second) / ticksEach))
	defer each.Stop()
	for {
		select {
		case <-each.C:
			load, told := f.load()
			f.step(func(m *membership.Machine, now float64) {
				vote := f.vote()
				if self := m.Self(); told || f.generation != self.SettingsGeneration || vote != self.Vote {
					if !told {
						load = self.Load
					}
					m.UpdateSelf(load, f.generation, vote)
				}
				m.Tick(now)
			})
			f.remember()
		case <-f.ctx.Done():
			return nil
		}
	}
}

// remember writes the last agreed fleet to its file, when it has changed: now and then, as it only has to be near.
func (f *Fleet) remember() {
	if f.Remember == "" || time.Since(f.remembered) < rememberEach {
		return
	}
	f.remembered = time.Now()
	f.mu.Lock()
	agreed := f.machine.AgreedFleet()
	f.mu.Unlock()
	if agreed.FleetID == f.kept.FleetID && agreed.Generation == f.kept.Generation && agreed.IncludesSelf == f.kept.IncludesSelf && slices.Equal(agreed.Others, f.kept.Others) {
		return
	}
	if err := keep(f.Remember, agreed); err != nil {
		f.Log.Warn().Err(err).Msg("fleet: can't be remembered")
		return
	}
	f.kept = agreed
}

// remembered is the file: with a sum, as a name that was spoilt looks like another.
type remembered struct {
	membership.AgreedFleet
	Sum string `json:"Sum,omitempty"` // of the rest; files of older versions have none
}

func sumUp(a membership.AgreedFleet) (string, error) {
	raw, err := json.Marshal(a)
	return fmt.Sprintf("%016x", xxhash.Sum64(raw)), err
}

// recall reads what was remembered; none is no error.
func recall(path string) (a membership.AgreedFleet, err error) {
	raw, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return a, nil
	}
	var in remembered
	if err == nil {
		err = json.Unmarshal(raw, &in)
	}
	if err == nil && in.Sum != "" {
		var sum string
		if sum, err = sumUp(in.AgreedFleet); err == nil && sum != in.Sum {
			err = errTorn
		}
	}
	if err != nil {
		return membership.AgreedFleet{}, fmt.Errorf("%s: %w", path, err)
	}
	return in.AgreedFleet, nil
}

// keep writes it beside the file, and then in its place: who reads it sees one or the other.
func keep(path string, a membership.AgreedFleet) error {
	sum, err := sumUp(a)
	raw, err2 := json.Marshal(remembered{a, sum})
	if err = errors.Join(err, err2); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	t, err := os.CreateTemp(filepath.Dir(path), ".fleet-*")
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer func() { _ = os.Remove(t.Name()) }()
	_, err = t.Write(raw)
	if err = errors.Join(err, t.Sync(), t.Close()); err == nil {
		err = os.Rename(t.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// vote is what is told of this one as a voter.
func (f *Fleet) vote() membership.Vote {
	if f.voter == nil {
		return membership.Vote{}
	}
	return f.voter.known.Load().Vote
}

// load is what there is to tell of the work of the last seconds, if it is time to.
func (f *Fleet) load() (l membership.Load, told bool) {
	now := time.Now()
	since := now.Sub(f.last.at)
	if f.GETs == nil || since < loadEach {
		return l, false
	}
	gets, shed := f.GETs()
	if !f.last.at.IsZero() {
		n := gets - f.last.gets
		l.GETs = uint16(min(65535, float64(n)/since.Seconds()))
		if n > 0 {
			l.Shed = uint8(min(255, 255*(shed-f.last.shed)/n))
		}
	}
	f.last.at, f.last.gets, f.last.shed = now, gets, shed
	return l, true
}
