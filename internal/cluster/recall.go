package cluster

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"path/filepath"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"

	"elderwall/core/cluster/channel"
	"elderwall/core/cluster/membership"
	"elderwall/core/cluster/purgefloor"
	"elderwall/core/cluster/replication"
	"elderwall/core/cluster/variant"
)

// Defaults of the fleet's memory.
const (
	DefaultHorizon = 3600.0         // s
	DefaultRate    = int64(1 << 20) // bytes a second of a catch-up
)

const (
	memoryTick  = 20 * time.Millisecond
	lookEach    = 500 * time.Millisecond // between looks at who is there, besides at each change
	mostOutcome = 1 << 14                // writers that wait at a time
	mostScan    = 4096                   // records looked at while the memory is held: under a millisecond
)

// Memory is what a dispatcher is told of what the fleet remembers together.
type Memory struct {
	Folder  string  // "" for none: what is known ends with the process, and comes from the others
	Horizon float64 // s; who was away for longer takes a whole snapshot
	Rate    int64   // bytes a second that a catch-up may send
}

var errNoDisk = errors.New("the memory's disk can't be used now")

// memory is the replica's machine at work. One goroutine takes what it has ready, saves it and sends it; what comes while a save is under
// way goes into the next one.
type memory struct {
	fleet *Fleet
	limit *rate.Limiter // of what goes out, beside that of the rest
	wake  chan struct{}

	mu      sync.Mutex
	machine *replication.Machine // nil while the disk can't be used
	kinds   []replication.Kind
	waits   map[replication.Dot]chan replication.Outcome
	follow  map[uint8][]func([]replication.Record)
	names   map[uint64]string // members by boot
	problem string
	purges  purges
	shares  shares

	// Of the goroutine alone.
	disk     *store    // nil where nothing is kept
	tried    time.Time // to save what is owed
	unkept   error     // why some is owed
	at       map[string]string
	looked   time.Time
	fleetNow view // as the machine was told last
	opened   time.Time
	stale    chan struct{} // somebody came or went
}

func newMemory(f *Fleet) *memory {
	out := rate.Limit(bytesOut + f.Memory.Rate)
	m := &memory{
		fleet: f, limit: rate.NewLimiter(out, bytesBurst), wake: make(chan struct{}, 1), stale: make(chan struct{}, 1),
		kinds: append([]replication.Kind{purgefloor.Kind(), variant.Kind()}, faultKinds...), waits: map[replication.Dot]chan replication.Outcome{},
		follow: map[uint8][]func([]replication.Record){}, names: map[uint64]string{},
	}
	for _, k := range channel.Kinds() {
		k.MaxRecordBytes = min(k.MaxRecordBytes, replication.MaxRecordBytes)
		m.kinds = append(m.kinds, k)
	}
	m.purges.begin(m)
	m.shares.begin(m)
	return m
}

// Kinds adds kinds of records, before the fleet is served.
func (f *Fleet) Kinds(all ...replication.Kind) { f.memory.kinds = append(f.memory.kinds, all...) }

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// write has a record written, as sure as wanted: the channel tells once how it ended. An error leaves nothing behind.
func (m *memory) write(kind uint8, key string, value []byte, dead bool, sure replication.WriteConcern) (<-chan replication.Outcome, error) {
	done := make(chan replication.Outcome, 1)
	if _, err := m.writeTo(done, kind, key, value, dead, sure); err != nil {
		return nil, err
	}
	return done, nil
}

// writeTo does the same for who hears of many writes: its channel has to take as many outcomes as may be on their way.
func (m *memory) writeTo(done chan replication.Outcome, kind uint8, key string, value []byte, dead bool, sure replication.WriteConcern) (dot replication.Dot, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.machine == nil {
		return dot, errNoDisk
	}
	if len(m.waits) >= mostOutcome {
		return dot, errBusy
	}
	if dot, err = m.machine.Write(m.fleet.dutyNow(), kind, key, value, dead, sure); err != nil {
		return dot, err
	}
	m.waits[dot] = done
	poke(m.wake)
	return dot, nil
}

// subscribe has a function called with each change of a kind, one call after the other; it may not wait.
func (m *memory) subscribe(kind uint8, f func([]replication.Record)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.follow[kind] = append(m.follow[kind], f)
}

// get gives what stands for a key.
func (m *memory) get(kind uint8, key string) (replication.Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.machine == nil {
		return replication.Record{}, false
	}
	return m.machine.Get(kind, key)
}

// each goes through what stands of a kind, in the order of keys, until f says no. Nothing else is done with the memory meanwhile.
func (m *memory) each(kind uint8, f func(replication.Record) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.machine != nil {
		m.machine.Each(kind, "", f)
	}
}

// scan goes through a part of what stands of a kind, from a place on, and gives the next one; 0 at the end. So the memory is held for a short time.
func (m *memory) scan(kind uint8, from uint64, f func(replication.Record)) (next uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.machine == nil {
		return 0
	}
	return m.machine.Scan(kind, from, mostScan, f)
}

// status tells how it stands; nil while the disk can't be used.
func (m *memory) status() (s *ToldMemory) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s = &ToldMemory{Problem: m.problem}
	if m.machine != nil {
		s.Status = m.machine.Status()
	}
	return s
}

// ToldMemory is how the memory stands.
type ToldMemory struct {
	replication.Status
	Problem string `json:"Problem,omitempty"`
}

// run is the memory's goroutine.
func (m *memory) run(ctx context.Context) error {
	m.open()
	defer func() {
		if m.disk != nil {
			_ = m.disk.close()
		}
	}()
	each := time.NewTicker(memoryTick)
	defer each.Stop()
	for {
		select {
		case <-m.wake:
		case <-m.stale:
			m.looked = time.Time{}
		case <-each.C:
		case <-ctx.Done():
			m.flush() // what was written in the last moment is kept
			return nil
		}
		if m.machine == nil {
			if time.Since(m.opened) > openEach {
				m.open()
			}
			continue
		}
		m.look()
		m.flush()
		m.purges.tick()
		m.shares.tick()
	}
}

// open makes a machine of what the disk has. A file that is torn is put aside: all of it is with the others, but for what none of them had.
func (m *memory) open() {
	m.opened = time.Now()
	machine, disk, err := m.begin()
	if errors.Is(err, errTorn) {
		m.torn(err)
		if err = setAside(filepath.Join(m.fleet.Memory.Folder, recordsFile)); err == nil {
			machine, disk, err = m.begin()
		}
	}
	if err != nil {
		m.fail(err)
		return
	}
	m.disk, m.looked = disk, time.Time{}
	status := machine.Status()
	m.mu.Lock()
	m.machine = machine
	m.mu.Unlock()
	m.kept(m.keep(machine.Ready().Save)) // its era is kept before it writes
	m.purges.opened()
	if m.fleet.following != nil {
		m.fleet.following.relearn()
	}
	m.look() // before it is asked to write
	m.fleet.Log.Info().Uint64("era", status.WriterEpoch).Int("writers", status.Writers).Bool("kept", disk != nil).Msg("memory: remembers")
}

func (m *memory) settings(seed uint64) replication.Settings {
	f := m.fleet
	return replication.Settings{Name: f.Name, Zone: f.Zone, Seed: seed, Horizon: f.Memory.Horizon, CatchUpRate: float64(f.Memory.Rate), Kinds: m.kinds}
}

func (m *memory) torn(err error) {
	m.fleet.Log.Error().Err(err).Str("means", "it is put aside, and what it had is taken from the others").Msg("memory: the disk is torn")
}

func (m *memory) begin() (machine *replication.Machine, disk *store, err error) {
	var drawn [8]byte
	_, _ = rand.Read(drawn[:])
	settings := m.settings(binary.BigEndian.Uint64(drawn[:]))
	if m.fleet.Memory.Folder == "" {
		machine, err = replication.New(settings, nil, m.fleet.dutyNow())
		return machine, nil, err
	}
	kept, saved, err := openStore(m.fleet.Memory.Folder)
	if err != nil {
		return nil, nil, err
	}
	if kept.spoilt != nil {
		m.torn(kept.spoilt)
	}
	if machine, err = replication.New(settings, saved, m.fleet.dutyNow()); err != nil { // what this version's kinds don't allow
		return nil, nil, errors.Join(errTorn, err, kept.close())
	}
	return machine, kept, nil
}

// fail lets the machine go: what it had beyond the disk is with the others or was acknowledged to nobody. It begins anew with what the disk has.
func (m *memory) fail(err error) {
	if m.disk != nil {
		_ = m.disk.close()
		m.disk, m.unkept = nil, nil
	}
	m.opened = time.Now()
	m.mu.Lock()
	first := m.problem == ""
	m.machine, m.problem = nil, err.Error()
	waits := m.waits
	m.waits = map[replication.Dot]chan replication.Outcome{}
	m.mu.Unlock()
	for dot, done := range waits {
		done <- replication.Outcome{Dot: dot}
	}
	if first {
		m.fleet.Log.Error().Err(err).Str("means", "nothing is written or learned here until it can be used").Msg("memory: the disk can't be used")
	}
}

// view is what a write as sure as a majority goes by.
type view struct {
	of               int
	decides, narrows bool
}

// look tells the machine who is there: at each change, and now and then for what is told of nobody. Guards against a majority of a fleet that
// has grown since: how large it is is looked at each time.
func (m *memory) look() {
	f := m.fleet
	f.mu.Lock()
	now := view{f.machine.View().AgreedSize, f.machine.May(membership.DecideByMajority), f.machine.May(membership.AcceptRestrictions)}
	if now == m.fleetNow && time.Since(m.looked) < lookEach {
		f.mu.Unlock()
		return
	}
	known := f.machine.Members()
	f.mu.Unlock()
	m.looked, m.fleetNow = time.Now(), now
	to := replication.Fleet{AgreedSize: now.of, HasQuorum: now.decides, AcceptsRestrictions: now.narrows}
	m.at = map[string]string{}
	m.shares.peers = 1
	names := map[uint64]string{}
	for _, o := range known {
		if o.State == membership.Left && !o.InLocalAgreedFleet {
			continue
		}
		to.Others = append(to.Others, replication.Member{Name: o.Name, Zone: o.Zone, Alive: o.State.Present(), InAgreedFleet: o.InLocalAgreedFleet})
		m.at[o.Name], names[o.BootID] = o.Address, o.Name
		if o.State.Present() {
			m.shares.peers++
		}
	}
	m.mu.Lock()
	m.names = names
	m.machine.SetFleet(to, f.dutyNow())
	m.mu.Unlock()
	m.purges.narrows(to.AcceptsRestrictions)
	if m.fleet.following != nil {
		m.fleet.following.look(to)
	}
}

// flush does what the machine has ready: first the disk, then what stands on it.
func (m *memory) flush() {
	if m.machine == nil {
		return
	}
	m.mu.Lock()
	m.machine.Tick(m.fleet.dutyNow())
	out := m.machine.Ready()
	m.mu.Unlock()
	err := m.keep(out.Save)
	if errors.Is(err, errOwed) {
		m.fail(err)
		return
	}
	was := m.problem == ""
	m.kept(err)
	if err != nil && was {
		out.Send = nil // it tells what is not kept
		for i := range out.Outcomes {
			out.Outcomes[i] = replication.Outcome{Dot: out.Outcomes[i].Dot}
		}
	}
	for i := range out.Send {
		m.send(&out.Send[i])
	}
	m.mu.Lock()
	type told struct {
		done chan replication.Outcome
		replication.Outcome
	}
	var ended []told
	for _, o := range out.Outcomes {
		if done := m.waits[o.Dot]; done != nil {
			ended = append(ended, told{done, o})
			delete(m.waits, o.Dot)
		}
	}
	m.mu.Unlock()
	for _, o := range ended {
		o.done <- o.Outcome
	}
	m.tell(out.Changed)
	for _, e := range out.Events {
		line := m.fleet.Log.Info()
		switch e.Type {
		case "aside", "twin", "full", "refused", "strange":
			line = m.fleet.Log.Warn()
		}
		if e.Member != "" {
			line = line.Str("who", e.Member)
		}
		if e.Kind > 0 {
			line = line.Uint8("kind", e.Kind)
		}
		if e.Key != "" {
			line = line.Str("key", e.Key)
		}
		if e.Type == "strange" {
			line = line.Str("means", "others write a kind of records that this version doesn't know: none of them is kept here, and all of them are learned once it knows them")
		}
		line.Msg("memory: " + e.Type)
	}
}

// keep saves, if there is anything to. While that fails it is tried now and then; what came meanwhile is owed.
func (m *memory) keep(s *replication.Save) error {
	if m.disk == nil {
		return nil
	}
	if s != nil {
		if err := m.disk.owe(s); err != nil {
			return err
		}
	}
	if m.unkept != nil && time.Since(m.tried) < openEach {
		return m.unkept
	}
	m.tried = time.Now()
	m.unkept = m.disk.pay()
	return m.unkept
}

// kept takes whether all is on the disk. While it is not, what others tell is learned and used, but nothing is acknowledged, nor written here.
func (m *memory) kept(err error) {
	m.mu.Lock()
	was := m.problem
	if m.problem = ""; err != nil {
		m.problem = err.Error()
	}
	m.machine.SetUnpersisted(err != nil)
	m.mu.Unlock()
	switch {
	case err != nil && was == "":
		m.fleet.Log.Error().Err(err).Str("means", "what others tell is used, but nothing is written or acknowledged until it can be used").Msg("memory: the disk can't be used")
	case err == nil && was != "":
		m.fleet.Log.Info().Msg("memory: the disk is used again")
	}
}

// tell hands changes to those who follow a kind.
func (m *memory) tell(changed []replication.Record) {
	if len(changed) == 0 {
		return
	}
	by := map[uint8][]replication.Record{}
	for _, r := range changed {
		by[r.Kind] = append(by[r.Kind], r)
	}
	for kind, all := range by {
		m.mu.Lock()
		follow := m.follow[kind]
		m.mu.Unlock()
		for _, f := range follow {
			f(all)
		}
	}
}

var memoryDecoding = must(cbor.DecOptions{MaxArrayElements: 1 << 18, MaxMapPairs: 64, MaxNestedLevels: 12, UTF8: cbor.UTF8DecodeInvalid}.DecMode())

func (m *memory) send(e *replication.Envelope) {
	to := m.at[e.To]
	text, err := encoding.Marshal(&e.Message)
	if err != nil || to == "" {
		m.fleet.Counts.Failed.Add(1)
		return
	}
	if len(text)+sealLength > longestStream {
		m.fleet.Counts.TooLong.Add(1)
		return
	}
	m.fleet.sendSealed(to, sealedMemory, text, e.Stream, nil)
}

// take takes another's message. Who it is goes by the boot that it is sealed with, and by nothing that it says of itself.
func (m *memory) take(boot uint64, text []byte) {
	var in replication.Message
	if err := memoryDecoding.Unmarshal(text, &in); err != nil {
		m.fleet.Counts.Unusable.Add(1)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	from := m.names[boot]
	if m.machine == nil || from == "" { // it comes again once members knows it
		return
	}
	if err := m.machine.Step(from, &in, m.fleet.dutyNow()); err != nil {
		m.fleet.Counts.Unusable.Add(1)
	}
	poke(m.wake)
}

// answerMemory answers questions about records.
func (f *Fleet) answerMemory(q ask) (t Told) {
	m := f.memory
	if m == nil || len(q.Records) == 0 {
		return Told{Error: "no memory, or no records"}
	}
	if q.What == AskRead {
		for _, r := range q.Records {
			if r.Key != "" {
				if stands, ok := m.get(r.Kind, r.Key); ok {
					t.Records = append(t.Records, stands)
				}
				continue
			}
			sum := uint64(0)
			m.each(r.Kind, func(o replication.Record) bool {
				if !o.Deleted {
					t.Number++
					sum ^= sumOf(o.Key, o.Value)
				}
				return true
			})
			t.Records = append(t.Records, replication.Record{Kind: r.Kind, Value: binary.BigEndian.AppendUint64(nil, sum)})
		}
		return t
	}
	var waits []<-chan replication.Outcome
	for _, r := range q.Records {
		done, err := m.write(r.Kind, r.Key, r.Value, r.Deleted, q.Sure)
		if err != nil {
			t.Error = err.Error() // those before it are written all the same
			break
		}
		waits = append(waits, done)
	}
	end := time.NewTimer(streamTime - time.Second)
	defer end.Stop()
	for _, done := range waits {
		select {
		case o := <-done:
			t.Ended = append(t.Ended, o)
		case <-end.C:
			return Told{Error: "no word in time of how the writes ended"}
		}
	}
	return t
}

// agree has a command of channels put into the log, by whoever leads; the error tells why it was refused.
func (f *Fleet) agree(ctx context.Context, c channel.Command) error {
	t, err := f.ask(ctx, ask{What: AskCommand, Channels: &c})
	if err == nil && t.Refused != "" {
		err = errorOf(t.Refused)
	}
	return err
}

// agreed gives what is declared, and the line of a channel of total order, as whoever leads has it.
func (f *Fleet) agreed(ctx context.Context, name string) (channel.LedgerSnapshot, error) {
	t, err := f.ask(ctx, ask{What: AskChannels, Duty: name})
	if err != nil || t.Channels == nil {
		return channel.LedgerSnapshot{}, errors.Join(err, errNoLeader)
	}
	return *t.Channels, nil
}
