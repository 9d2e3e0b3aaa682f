package cluster

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"elderwall/core/cluster/channel"
	"elderwall/core/cluster/lease"
	"elderwall/core/cluster/membership"
	"elderwall/core/cluster/quota"
	"elderwall/internal/cluster/raftvoter"
)

const (
	voterTick  = 10 * time.Millisecond
	voterQueue = 1024             // messages and questions that wait for it; what is over is dropped, as a network may
	eraEach    = 15 * time.Second // a disk's era rises so often: a copy that is put back is older than it by then
	admitEach  = 300 * time.Millisecond
	showEach   = 100 * time.Millisecond
	openEach   = 3 * time.Second // between trials of a disk that could not be written
	inTime     = 3 * time.Second // a proposal that is not in the log by then may be lost
	raftHead   = 12              // council and recovery before a message
)

// Duties is what a dispatcher is told of duties; nil where it stands for none and votes on none.
type Duties struct {
	Voter    bool
	Folder   string
	Stands   map[string]float64 // duties, with the length of a lease (s) where they are new
	Priority int
	Report   float64 // s between reports, where it stands for that duty; 0 for the default
}

// voter is a council's machine at work, in one goroutine.
type voter struct {
	fleet    *Fleet
	folder   string
	disk     *disk
	machine  *raftvoter.Machine // nil before it takes part
	admitted bool               // others have said that the disk is no old copy
	asked    time.Time
	bumped   time.Time
	opened   time.Time // when the disk was last opened anew
	shown    time.Time
	in       chan func()
	waits    map[uint64]chan raftvoter.Done // proposals, by number
	known    atomic.Pointer[known]
}

// known is what others may read of a voter at any time.
type known struct {
	Status  raftvoter.Status
	Vote    membership.Vote
	Leader  uint64
	Admit   bool
	Applied uint64 // the index of the last entry that State has
	State   lease.Saved
	Rest    map[string]float64
	Problem string
}

func newVoter(f *Fleet, folder string) *voter {
	v := &voter{fleet: f, folder: folder, in: make(chan func(), voterQueue), waits: map[uint64]chan raftvoter.Done{}}
	v.known.Store(&known{})
	return v
}

// quietRaft keeps the library's many lines out of the log; what matters is told as events.
var quietRaft = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// open opens the disk, and makes a machine of it.
func (v *voter) open() error {
	d, err := openDisk(v.folder)
	if err != nil {
		return err
	}
	v.disk, v.admitted = d, d.kept.Council == 0
	return v.begin()
}

func (v *voter) begin() error {
	m, err := raftvoter.New(v.disk.kept, v.disk, v.fleet.dutyNow(), quietRaft)
	if err != nil {
		return fmt.Errorf("voter: %w", err)
	}
	m.Willing = v.willing
	v.machine = m
	v.tell()
	return nil
}

// run is the voter's goroutine.
func (v *voter) run(ctx context.Context) error {
	if err := v.open(); err != nil {
		v.fleet.Log.Error().Err(err).Str("means", "this dispatcher does not vote; put the folder aside to have it begin anew").Msg("duties: the voter's disk can't be used")
		v.known.Store(&known{Problem: err.Error()})
		return nil
	}
	defer func() { v.disk.close() }()
	each := time.NewTicker(voterTick)
	defer each.Stop()
	v.bumped = time.Now()
	for {
		select {
		case do := <-v.in:
			do()
		case <-each.C:
			v.tick(ctx)
		case <-ctx.Done():
			return nil
		}
		v.flush()
	}
}

// do has the goroutine do something; false where too much waits for it already.
func (v *voter) do(what func()) bool {
	select {
	case v.in <- what:
		return true
	default:
		return false
	}
}

func (v *voter) tick(ctx context.Context) {
	if v.machine == nil || v.machine.Broken() != nil {
		if time.Since(v.opened) > openEach {
			v.reopen()
		}
		return
	}
	if time.Since(v.bumped) > eraEach && v.admitted {
		v.bumped = time.Now()
		if err := v.disk.bump(); err != nil {
			v.fleet.Log.Warn().Err(err).Msg("duties: the voter's disk")
		}
		v.tell()
	}
	if v.overtaken() {
		return
	}
	if !v.admitted {
		v.admit(ctx)
		return
	}
	v.machine.Tick(v.fleet.dutyNow())
}

// tell publishes what others may read.
func (v *voter) tell() {
	v.shown = time.Now()
	k := &v.disk.kept
	era := k.Era
	if !v.admitted { // guards against a leader that books the new era before this one has asked about it: it would pass for an old copy
		era--
	}
	s := &known{
		Status: v.machine.Status(), Vote: membership.Vote{ID: k.ID, ClusterID: k.Council, DiskEpoch: era, Recoveries: k.Recovery}, Leader: v.machine.Leader(),
		Admit: v.admitted, Applied: v.machine.Applied(),
	}
	if was := v.known.Load(); was.Applied == s.Applied && was.Vote.ID == k.ID { // nothing has changed since
		s.State = was.State
	} else {
		s.State = v.machine.State().Save()
	}
	if err := v.machine.Broken(); err != nil {
		s.Problem = err.Error()
	}
	if v.machine.Leads() {
		s.Rest = map[string]float64{}
		for _, d := range s.State.Duties {
			s.Rest[d.Name] = v.machine.Granter().Remaining(v.fleet.dutyNow(), d.Name)
		}
	}
	v.known.Store(s)
}

// admit asks the other voters whether they know a later era of this disk. Guards against a copy that was put back: it has forgotten votes and
// entries that others count on. A majority has to have answered.
func (v *voter) admit(ctx context.Context) {
	if time.Since(v.asked) < admitEach {
		return
	}
	v.asked = time.Now()
	conf := v.machine.Status()
	me := v.disk.kept
	others := v.fleet.voters()
	answered, knows := 1, false
	for _, id := range conf.Voters {
		address := others[id]
		if id == me.ID || address == "" {
			continue
		}
		t, err := v.fleet.askOther(ctx, address, ask{What: askEra, Number: me.ID})
		if err != nil {
			continue
		}
		answered++
		knows = knows || t.Number >= uint64(me.Era)
	}
	switch {
	case knows:
		v.renew("the disk is an old copy: others know a later one")
	case 2*answered > len(conf.Voters):
		v.admitted = true
		v.fleet.Log.Info().Uint64("voter", me.ID).Uint32("era", me.Era).Msg("duties: votes")
		v.tell()
	}
}

// overtaken finds a log that was recovered since: this one's counts no more. It is looked for before this voter is admitted, too: once the others have
// put their old disks aside, none is left that could answer for it.
func (v *voter) overtaken() bool {
	me := v.disk.kept
	if me.Council == 0 {
		return false
	}
	for _, o := range v.fleet.votes() {
		if o.ClusterID != 0 && o.ClusterID != me.Council && o.Recoveries > me.Recovery {
			v.renew("the log was recovered elsewhere")
			return true
		}
	}
	return false
}

// reopen takes part again with what the disk has, as a start would. Guards against a voter that is out for good when its disk was full for a while.
func (v *voter) reopen() {
	v.opened = time.Now()
	v.disk.close()
	d, err := openDisk(v.folder)
	if err != nil {
		v.known.Store(&known{Problem: err.Error()})
		return
	}
	v.disk, v.admitted, v.bumped = d, d.kept.Council == 0, time.Now()
	if err := v.begin(); err != nil {
		v.machine = nil
		v.known.Store(&known{Problem: err.Error()})
	}
}

// renew puts the disk aside, and begins with an empty one, as another seat.
func (v *voter) renew(why string) {
	v.fleet.Log.Error().Str("why", why).Uint64("voter", v.disk.kept.ID).Msg("duties: the voter's disk is put aside")
	err := v.disk.aside()
	if err == nil {
		err = v.open()
	}
	if err != nil {
		v.fleet.Log.Error().Err(err).Msg("duties: the voter's disk can't be used")
		v.machine, v.admitted = nil, false
		v.known.Store(&known{Problem: err.Error()})
		return
	}
	v.admitted = true
}

// willing is who would vote in this log.
func (v *voter) willing() (all []lease.WillingVoter) {
	me := v.disk.kept
	all = append(all, lease.WillingVoter{Voter: lease.Voter{ID: me.ID, Name: v.fleet.Name, DiskEpoch: me.Era}, Alive: true})
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	for _, m := range v.fleet.machine.Members() {
		if o := m.Vote; o.ID != 0 && (o.ClusterID == me.Council || o.ClusterID == 0) {
			all = append(all, lease.WillingVoter{Voter: lease.Voter{ID: o.ID, Name: m.Name, DiskEpoch: o.DiskEpoch}, Alive: m.State == membership.Alive})
		}
	}
	slices.SortFunc(all, func(a, b lease.WillingVoter) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// flush does what the machine has ready.
func (v *voter) flush() {
	if v.machine == nil {
		return
	}
	out := v.machine.Ready()
	for _, m := range out.Send {
		v.send(m)
	}
	for _, d := range out.Done {
		if wait := v.waits[d.Number]; wait != nil {
			wait <- d
			delete(v.waits, d.Number)
		}
	}
	for _, a := range out.Answer {
		a.To.(func(raftvoter.Answered))(a)
	}
	for _, e := range out.Events {
		s := v.machine.Status()
		line := v.fleet.Log.Info()
		if v.machine.Broken() != nil {
			line = v.fleet.Log.Error()
		}
		line.Uint64("leader", s.Leader).Uint64("term", s.Term).Int("voters", len(s.Voters)).Msg("duties: " + e)
	}
	if err := v.machine.Broken(); err != nil && v.admitted && isOld(err) {
		v.renew(err.Error())
	}
	if len(out.Events) > 0 || len(out.Done) > 0 || time.Since(v.shown) > showEach {
		v.tell()
	}
}

// isOld tells whether the library found that this log lacks what it had acknowledged.
func isOld(err error) bool { return strings.Contains(err.Error(), "out of range") }

// send sends a message to another voter.
func (v *voter) send(m *pb.Message) {
	to := m.GetTo()
	address := v.fleet.voters()[to]
	raw, err := proto.Marshal(m)
	if err != nil || address == "" {
		v.machine.Unreachable(to, m.GetType() == pb.MessageType_MsgSnap, v.fleet.dutyNow())
		return
	}
	head := binary.BigEndian.AppendUint64(nil, v.disk.kept.Council)
	head = binary.BigEndian.AppendUint32(head, v.disk.kept.Recovery)
	snapshot := m.GetType() == pb.MessageType_MsgSnap
	v.fleet.sendSealed(address, sealedRaft, append(head, raw...), snapshot, func(err error) {
		if err != nil || snapshot {
			v.do(func() {
				switch {
				case v.machine == nil:
				case err != nil:
					v.machine.Unreachable(to, snapshot, v.fleet.dutyNow())
				default:
					v.machine.Sent(to, v.fleet.dutyNow())
				}
			})
		}
	})
}

// take takes another voter's message. One that has no log yet takes that of whoever calls it.
func (v *voter) take(text []byte) {
	if len(text) < raftHead {
		return
	}
	from, recovery := binary.BigEndian.Uint64(text), binary.BigEndian.Uint32(text[8:])
	m := &pb.Message{}
	if err := proto.Unmarshal(text[raftHead:], m); err != nil {
		v.fleet.Counts.Unusable.Add(1)
		return
	}
	v.do(func() {
		k := &v.disk.kept
		if v.machine == nil || !v.admitted || m.GetTo() != k.ID {
			return
		}
		if k.Council == 0 && from != 0 {
			k.Council, k.Recovery = from, recovery
			if err := v.disk.tell(); err != nil {
				v.fleet.Log.Warn().Err(err).Msg("duties: the voter's disk")
				k.Council, k.Recovery = 0, 0
				return
			}
		}
		if from == k.Council {
			v.machine.Step(m, v.fleet.dutyNow())
		}
	})
}

// propose puts commands into the log, and tells whether they changed anything.
func (v *voter) propose(ctx context.Context, commands []lease.Command, ledger *quota.Command, streams *channel.Command) (changed bool, err error) {
	for i := range commands {
		if err := commands[i].Check(); err != nil {
			return false, err
		}
	}
	wait, failed := make(chan raftvoter.Done, 1), make(chan error, 1)
	if !v.do(func() {
		if v.machine == nil {
			failed <- errNoLeader
			return
		}
		number, ok := v.machine.Propose(commands, ledger, streams, v.fleet.dutyNow())
		if !ok {
			failed <- errNoLeader
			return
		}
		v.waits[number] = wait
	}) {
		return false, errBusy
	}
	// Guards against proposals of a leadership that was lost, which never come: nobody waits for them for good.
	defer v.do(func() { maps.DeleteFunc(v.waits, func(_ uint64, c chan raftvoter.Done) bool { return c == wait }) })
	select {
	case done := <-wait:
		if done.Why != nil {
			return false, refused{done.Why}
		}
		return done.Changed, nil
	case err = <-failed:
		return false, err
	case <-time.After(inTime):
		return false, errors.New("not in the log in time; it may yet come")
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// refused is why a command that is in the log did nothing: all voters say the same, so that no other is asked.
type refused struct{ error }

var (
	errNoLeader = errors.New("this voter does not lead")
	errBusy     = errors.New("too much waits for this voter")
)

// within has the goroutine do something, and waits for a moment for how that went.
func (v *voter) within(what func() error) error {
	done := make(chan error, 1)
	if v.known.Load().Problem != "" {
		return errors.New("this voter takes no part: " + v.known.Load().Problem)
	}
	if !v.do(func() {
		if v.machine == nil {
			done <- errNoLeader
			return
		}
		done <- what()
	}) {
		return errBusy
	}
	select {
	case err := <-done:
		return err
	case <-time.After(turnTime):
		return errBusy
	}
}

// found begins a log with this one as its only voter; the others follow by themselves.
func (v *voter) found() error { return v.anew(0, nil) }

// recover begins a new log with what this voter has of the old one, whose majority is lost for good.
func (v *voter) recover() error {
	return v.anew(v.disk.kept.Recovery+1, func(s *lease.State) { s.Apply(lease.Command{Kind: lease.SkipTokens}) })
}

func (v *voter) anew(recovery uint32, change func(*lease.State)) error {
	if v.machine == nil {
		return errors.New("this dispatcher does not vote")
	}
	if change == nil {
		for _, o := range v.fleet.votes() {
			if o.ClusterID != 0 {
				return errors.New("there is a log already; it takes voters in by itself")
			}
		}
		if v.disk.kept.Council != 0 {
			return errors.New("there is a log already")
		}
	}
	state := lease.Restore(v.machine.State().Save())
	ledger, streams := quota.Restore(v.machine.Ledger().Save()), channel.Restore(v.machine.Channels().Save())
	status := v.machine.Status()
	if change != nil {
		change(state)
		ledger.GrantsSuspended = true // what the lost voters alone knew may be out
		if err := v.disk.aside(); err != nil {
			return err
		}
		d, err := openDisk(v.folder)
		if err != nil {
			return err
		}
		v.disk = d
	}
	var drawn [8]byte
	_, _ = rand.Read(drawn[:])
	k := &v.disk.kept
	k.Council, k.Recovery = binary.BigEndian.Uint64(drawn[:])|1, recovery
	hard, snapshot, err := raftvoter.Found(k.ID, state, ledger, streams, status.Term+1, status.Commit+1)
	if err == nil {
		err = errors.Join(v.disk.Save(hard, nil, snapshot), v.disk.tell())
	}
	if err != nil {
		return err
	}
	k.Hard, k.Snapshot, k.Entries = hard, snapshot, nil
	v.admitted = true
	v.fleet.Log.Warn().Uint64("council", k.Council).Uint32("recovery", recovery).Msg("duties: a log begins")
	return v.begin()
}

// voters is the addresses of those who vote, by their disks' ids.
func (f *Fleet) voters() map[uint64]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[uint64]string{}
	for _, m := range f.machine.Members() {
		if m.Vote.ID != 0 && m.State != membership.Left {
			all[m.Vote.ID] = m.Address
		}
	}
	if f.voter != nil {
		if id := f.voter.known.Load().Vote.ID; id != 0 {
			all[id] = f.Address
		}
	}
	return all
}

// votes is what the others tell of their votes.
func (f *Fleet) votes() (all []membership.Vote) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machine.Members() {
		if m.Vote.ID != 0 && m.State.Present() {
			all = append(all, m.Vote)
		}
	}
	return all
}

// alive is the addresses of voters that are thought to be there, in the order of their ids.
func (f *Fleet) aliveVoters() (all []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	by := map[uint64]string{}
	for _, m := range f.machine.Members() {
		if m.Vote.ClusterID != 0 && m.State.Present() {
			by[m.Vote.ID] = m.Address
		}
	}
	if f.voter != nil {
		if k := f.voter.known.Load(); k.Vote.ClusterID != 0 {
			by[k.Vote.ID] = f.Address
		}
	}
	for _, id := range slices.Sorted(maps.Keys(by)) {
		all = append(all, by[id])
	}
	return all
}
