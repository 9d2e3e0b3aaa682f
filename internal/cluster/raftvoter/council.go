// Package raftvoter is a voter of the replicated log: the log of go.etcd.io/raft with the state, the granter and the seats of
// core/cluster/lease on top. It has no socket, clock or goroutine of its own: messages, time and a disk come from outside, so that
// the same code runs in processes and in simulations. Nothing that it sends goes out before the disk has what it stands on.
package raftvoter

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"elderwall/core/cluster/channel"
	"elderwall/core/cluster/lease"
	"elderwall/core/cluster/quota"
)

// Figures.
const (
	TickEach      = 0.05 // s of raft's ticks
	heartbeat     = 2    // ticks
	election      = 10   // ticks: half a second to a second without a leader's word, many times what a message or a sync takes
	mostTicks     = 3    // made up for at once: after a stall others' messages come first
	snapshotEach  = 2000 // entries
	keepEntries   = 500  // behind a snapshot, for those that lag a little
	mostOfOne     = 8    // of one dispatcher
	mostTurns     = 2048 // that wait for an answer
	turnTime      = 3.0  // s after which nobody waits for it any more
	changeEach    = 1.0  // s between looks at who votes
	mostBytes     = 64 << 10
	mostInflight  = 64
	mostUnapplied = 1 << 20 // bytes of proposals
)

// Disk keeps a voter's log and votes. What Save has returned for is there after a crash.
type Disk interface {
	Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error
	Compact(snapshot *pb.Snapshot, before uint64) error
}

// Kept is what a disk has at a start.
type Kept struct {
	ID       uint64 // of the disk
	Era      uint32
	Council  uint64 // which log: 0 for none yet
	Recovery uint32 // how often it was recovered
	Hard     *pb.HardState
	Snapshot *pb.Snapshot
	Entries  []*pb.Entry
}

// Turn is a question of a dispatcher with where its answer goes.
type Turn struct {
	lease.RenewalRequest
	To any
}

// Answered is a turn's answer.
type Answered struct {
	To     any
	ID     uint64
	OK     bool // else another voter is to be asked: Leader, if known
	Leader uint64
	Leases []lease.Lease
}

// Done is a proposal that is in the log.
type Done struct {
	Number  uint64
	Changed bool
	Why     error // of a command of channels that was refused
}

// Out is what is to be done.
type Out struct {
	Send   []*pb.Message
	Answer []Answered
	Done   []Done
	Events []string
}

// Machine is one voter.
type Machine struct {
	id       uint64
	disk     Disk
	node     *raft.RawNode
	storage  *raft.MemoryStorage
	conf     *pb.ConfState
	state    *lease.State
	ledger   *quota.Ledger
	channels *channel.Ledger
	granter  *lease.Granter
	applied  uint64
	saved    uint64 // index of the last snapshot
	now      float64
	ticked   float64
	leads    bool
	term     uint64
	leader   uint64
	number   uint64
	turns    []*turn
	reads    map[uint64]float64
	out      Out
	changed  float64
	broken   error
	reseated bool // who votes has changed since the last snapshot

	Willing func() []lease.WillingVoter // who would vote
}

// turn is one that waits: for its commands to be in the log, then for a majority to confirm that this one leads.
type turn struct {
	Turn
	came     float64
	proposal uint64 // 0 for none
	read     uint64 // 0 before it is asked
}

// entry is what an entry of the log holds.
type entry struct {
	By       uint64           `cbor:"1,keyasint"`
	Number   uint64           `cbor:"2,keyasint"`
	Commands []lease.Command  `cbor:"3,keyasint"`
	Ledger   *quota.Command   `cbor:"4,keyasint,omitempty"`
	Channels *channel.Command `cbor:"5,keyasint,omitempty"`
}

// kept is what a snapshot holds.
type kept struct {
	lease.Packed
	Ledger   quota.SavedLedger      `cbor:"Ledger"`
	Channels channel.LedgerSnapshot `cbor:"Channels"` // a voter of an earlier version knows none, and keeps none
}

var (
	encoding = must(cbor.EncOptions{}.EncMode())
	decoding = must( // keys and names are bytes of any kind: one that is written and can't be read would end the log at every voter, for good
		cbor.DecOptions{MaxArrayElements: 1 << 16, UTF8: cbor.UTF8DecodeInvalid}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Found is the first snapshot of a new log with one voter; state is what it begins with.
func Found(id uint64, state *lease.State, ledger *quota.Ledger, streams *channel.Ledger, term, index uint64) (*pb.HardState, *pb.Snapshot, error) {
	data, err := encoding.Marshal(kept{lease.Pack(state.Save()), ledger.Save(), streams.Save()})
	if err != nil {
		return nil, nil, fmt.Errorf("state: %w", err)
	}
	snapshot := &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{ConfState: &pb.ConfState{Voters: []uint64{id}}, Index: &index, Term: &term}}
	return &pb.HardState{Term: &term, Vote: proto.Uint64(0), Commit: &index}, snapshot, nil
}

// New makes a voter of what its disk has. One whose disk has no log is none until the leader takes it in.
func New(kept Kept, disk Disk, now float64, logger raft.Logger) (*Machine, error) {
	m := &Machine{
		id: kept.ID, disk: disk, storage: raft.NewMemoryStorage(), state: lease.NewState(), ledger: quota.NewLedger(), channels: channel.NewLedger(), now: now, ticked: now,
		number: uint64(kept.Era) << 32, reads: map[uint64]float64{}, conf: &pb.ConfState{},
	}
	if kept.Snapshot != nil && !raft.IsEmptySnap(kept.Snapshot) {
		if err := m.storage.ApplySnapshot(kept.Snapshot); err != nil {
			return nil, fmt.Errorf("snapshot: %w", err)
		}
		if err := m.restore(kept.Snapshot); err != nil {
			return nil, err
		}
	}
	if kept.Hard != nil {
		if err := m.storage.SetHardState(kept.Hard); err != nil {
			return nil, fmt.Errorf("votes: %w", err)
		}
	}
	if err := m.storage.Append(kept.Entries); err != nil {
		return nil, fmt.Errorf("log: %w", err)
	}
	m.granter = lease.NewGranter(m.state)
	node, err := raft.NewRawNode(&raft.Config{
		ID: kept.ID, ElectionTick: election, HeartbeatTick: heartbeat, Storage: m.storage, Applied: m.applied,
		MaxSizePerMsg: mostBytes, MaxInflightMsgs: mostInflight, MaxUncommittedEntriesSize: mostUnapplied, CheckQuorum: true, PreVote: true,
		ReadOnlyOption: raft.ReadOnlySafe, Logger: logger, DisableProposalForwarding: true, StepDownOnRemoval: true,
	})
	if err != nil {
		return nil, fmt.Errorf("voter: %w", err)
	}
	m.node = node
	return m, nil
}

func (m *Machine) restore(s *pb.Snapshot) error {
	var packed kept
	if len(s.Data) > 0 {
		if err := decoding.Unmarshal(s.Data, &packed); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
	}
	saved, err := lease.Unpack(packed.Packed)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	m.state, m.ledger, m.channels = lease.Restore(saved), quota.Restore(packed.Ledger), channel.Restore(packed.Channels)
	m.applied, m.saved, m.conf = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	return nil
}

// State is what the log comes to here.
func (m *Machine) State() *lease.State { return m.state }

// Ledger is what is divided, as the log has it here.
func (m *Machine) Ledger() *quota.Ledger { return m.ledger }

// Channels is what is declared and put in order, as the log has it here.
func (m *Machine) Channels() *channel.Ledger { return m.channels }

// Applied is the index of the last entry that the state has.
func (m *Machine) Applied() uint64 { return m.applied }

// Granter counts leases, where this one leads.
func (m *Machine) Granter() *lease.Granter { return m.granter }

// Leads tells whether this one thinks that it leads; Leader who does, 0 for nobody known.
func (m *Machine) Leads() bool { return m.leads }

// Leader is who leads, 0 for nobody known.
func (m *Machine) Leader() uint64 { return m.leader }

// Broken tells why this one takes part no more; nil while it does.
func (m *Machine) Broken() error { return m.broken }

// Status is how a voter stands.
type Status struct {
	ID       uint64            `json:"ID"`
	Leader   uint64            `json:"Leader"`
	Term     uint64            `json:"Term"`
	Commit   uint64            `json:"Commit"`
	Applied  uint64            `json:"Applied"`
	Voters   []uint64          `json:"Voters"`
	Learners []uint64          `json:"Learners"`
	Match    map[uint64]uint64 `json:"Match"` // of a leader: what each has of the log
	Broken   string            `json:"Broken"`
}

// Status tells how it stands.
func (m *Machine) Status() Status {
	basic := m.node.BasicStatus()
	s := Status{
		ID: m.id, Leader: m.leader, Term: basic.GetTerm(), Commit: basic.GetCommit(), Applied: m.applied, Voters: m.conf.GetVoters(),
		Learners: m.conf.GetLearners(), Match: map[uint64]uint64{},
	}
	if m.broken != nil {
		s.Broken = m.broken.Error()
	}
	if m.leads {
		for id, p := range m.node.Status().Progress {
			s.Match[id] = p.Match
		}
	}
	return s
}

// guarded runs a part of raft, which panics where a log that must be there is not: this disk is no voter's any more.
func (m *Machine) guarded(do func() error) {
	if m.broken != nil {
		return
	}
	defer func() {
		if what := recover(); what != nil {
			m.fail(fmt.Errorf("log: %v", what))
		}
	}()
	if err := do(); err != nil {
		m.fail(err)
	}
}

// fail ends this one's part: what it sent stands, and nothing more is sent.
func (m *Machine) fail(err error) {
	m.broken, m.leads, m.leader = err, false, 0
	m.granter.SetLeading(m.now, false)
	m.out.Send, m.out.Answer = nil, nil
	for _, t := range m.turns {
		m.out.Answer = append(m.out.Answer, Answered{To: t.To, ID: t.ID})
	}
	m.turns = nil
	m.out.Events = append(m.out.Events, "broken: "+err.Error())
}

// Step takes another voter's message.
func (m *Machine) Step(in *pb.Message, now float64) {
	m.now = now
	m.guarded(func() error {
		if in.GetTo() != m.id {
			return nil
		}
		if err := m.node.Step(in); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
			return fmt.Errorf("message: %w", err)
		}
		return m.ready()
	})
}

// Unreachable takes word that a message did not go out.
func (m *Machine) Unreachable(to uint64, snapshot bool, now float64) {
	m.now = now
	m.guarded(func() error {
		m.node.ReportUnreachable(to)
		if snapshot {
			m.node.ReportSnapshot(to, raft.SnapshotFailure)
		}
		return m.ready()
	})
}

// Sent takes word that a snapshot went out whole.
func (m *Machine) Sent(to uint64, now float64) {
	m.now = now
	m.guarded(func() error {
		m.node.ReportSnapshot(to, raft.SnapshotFinish)
		return m.ready()
	})
}

// Tick takes the time.
func (m *Machine) Tick(now float64) {
	m.now = now
	m.guarded(func() error {
		for n := 0; m.ticked+TickEach <= now; n++ {
			if m.ticked += TickEach; n < mostTicks {
				m.node.Tick()
			}
		}
		if err := m.ready(); err != nil {
			return err
		}
		if m.leads {
			if commands := m.granter.Tick(now); len(commands) > 0 {
				m.propose(commands, nil, nil)
			}
			m.changeSeats()
		}
		m.read()
		m.drop()
		return m.ready()
	})
}

// Propose puts commands into the log, where this one leads; Done tells the number once they are in.
func (m *Machine) Propose(commands []lease.Command, ledger *quota.Command, streams *channel.Command, now float64) (number uint64, ok bool) {
	m.now = now
	m.guarded(func() error {
		if m.leads {
			number = m.propose(commands, ledger, streams)
		}
		return m.ready()
	})
	return number, number != 0
}

func (m *Machine) propose(commands []lease.Command, ledger *quota.Command, streams *channel.Command) uint64 {
	data, err := encoding.Marshal(entry{m.id, m.number + 1, commands, ledger, streams})
	if err != nil || m.node.Propose(data) != nil { // it comes again with the next turn or tick
		return 0
	}
	m.number++
	return m.number
}

// Turn takes a dispatcher's question.
func (m *Machine) Turn(t Turn, now float64) {
	m.now = now
	m.guarded(func() error {
		if !m.leads || len(m.turns) >= mostTurns {
			m.out.Answer = append(m.out.Answer, Answered{To: t.To, ID: t.ID, Leader: m.leader})
			return nil
		}
		w := &turn{Turn: t, came: now}
		var under uint64 // the same commands, of a turn before that waits for them
		n := 0
		for _, o := range m.turns {
			if o.Name == t.Name && o.BootID == t.BootID {
				if n++; o.proposal != 0 && slices.Equal(o.Duties, t.Duties) && slices.Equal(o.Released, t.Released) {
					under = o.proposal
				}
			}
		}
		if n >= mostOfOne {
			m.out.Answer = append(m.out.Answer, Answered{To: t.To, ID: t.ID, Leader: m.leader})
			return nil
		}
		if under != 0 {
			w.proposal = under
		} else if commands := m.granter.Commands(&t.RenewalRequest); len(commands) > 0 {
			if w.proposal = m.propose(commands, nil, nil); w.proposal == 0 {
				m.out.Answer = append(m.out.Answer, Answered{To: t.To, ID: t.ID})
				return nil
			}
		}
		m.turns = append(m.turns, w)
		return m.ready()
	})
	if m.broken != nil {
		m.out.Answer = append(m.out.Answer, Answered{To: t.To, ID: t.ID})
	}
}

// read asks a majority whether this one leads, once for all turns that have come to that.
func (m *Machine) read() {
	waits := false
	for _, t := range m.turns {
		waits = waits || t.proposal == 0 && t.read == 0
	}
	if !waits || !m.leads {
		return
	}
	m.number++
	for _, t := range m.turns {
		if t.proposal == 0 && t.read == 0 {
			t.read = m.number
		}
	}
	m.node.ReadIndex(binary.BigEndian.AppendUint64(nil, m.number))
}

// drop lets turns go that nobody waits for any more.
func (m *Machine) drop() {
	m.turns = slices.DeleteFunc(m.turns, func(t *turn) bool { return m.now-t.came > turnTime })
}

// Ready takes what is to be done.
func (m *Machine) Ready() Out {
	out := m.out
	m.out = Out{}
	return out
}

// ready does what raft has ready: first the disk, then what stands on it.
func (m *Machine) ready() error {
	for m.node.HasReady() {
		rd := m.node.Ready()
		if rd.HardState != nil || len(rd.Entries) > 0 || rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
			if err := m.disk.Save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
				return fmt.Errorf("disk: %w", err)
			}
		}
		if rd.Snapshot != nil && !raft.IsEmptySnap(rd.Snapshot) {
			if err := m.storage.ApplySnapshot(rd.Snapshot); err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
			if err := m.restore(rd.Snapshot); err != nil {
				return err
			}
			m.granter.Restored(m.now, m.state)
		}
		if rd.HardState != nil {
			if err := m.storage.SetHardState(rd.HardState); err != nil {
				return fmt.Errorf("votes: %w", err)
			}
		}
		if err := m.storage.Append(rd.Entries); err != nil {
			return fmt.Errorf("log: %w", err)
		}
		m.lead(rd.SoftState)
		m.out.Send = append(m.out.Send, rd.Messages...)
		for _, e := range rd.CommittedEntries {
			if err := m.apply(e); err != nil {
				return err
			}
		}
		for _, rs := range rd.ReadStates {
			if len(rs.RequestCtx) == 8 {
				m.reads[binary.BigEndian.Uint64(rs.RequestCtx)] = float64(rs.Index)
			}
		}
		m.node.Advance(rd)
		m.confirm()
	}
	return m.compact()
}

// lead takes in who leads. A new term is a new leadership, also of the same one: it may have been another's in between.
func (m *Machine) lead(s *raft.SoftState) {
	term := m.node.BasicStatus().GetTerm()
	if s != nil {
		if m.leader != s.Lead {
			m.out.Events = append(m.out.Events, "leader")
		}
		m.leader = s.Lead
	}
	leads := m.node.BasicStatus().RaftState == raft.StateLeader
	if m.leads && (!leads || term != m.term) {
		m.granter.SetLeading(m.now, false)
		for _, t := range m.turns {
			m.out.Answer = append(m.out.Answer, Answered{To: t.To, ID: t.ID, Leader: m.leader})
		}
		m.turns = nil
		clear(m.reads)
	}
	m.leads, m.term = leads, term
	m.granter.SetLeading(m.now, leads)
}

// apply does one entry.
func (m *Machine) apply(e *pb.Entry) error {
	m.applied = e.GetIndex()
	switch e.GetType() {
	case pb.EntryType_EntryConfChangeV2:
		var change pb.ConfChangeV2
		if err := proto.Unmarshal(e.Data, &change); err != nil {
			return fmt.Errorf("change of voters: %w", err)
		}
		m.conf, m.reseated = m.node.ApplyConfChange(&change), true
		m.out.Events = append(m.out.Events, "voters")
		return nil
	case pb.EntryType_EntryConfChange:
		var change pb.ConfChange
		if err := proto.Unmarshal(e.Data, &change); err != nil {
			return fmt.Errorf("change of voters: %w", err)
		}
		m.conf, m.reseated = m.node.ApplyConfChange(&change), true
		m.out.Events = append(m.out.Events, "voters")
		return nil
	}
	if len(e.Data) == 0 {
		return nil
	}
	var in entry
	if err := decoding.Unmarshal(e.Data, &in); err != nil {
		return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
	}
	changed, why := false, error(nil)
	for _, c := range in.Commands {
		for _, name := range m.state.Apply(c) {
			changed = true
			m.granter.DutyChanged(m.now, name)
		}
	}
	if in.Ledger != nil {
		changed = m.ledger.Apply(in.Ledger)
	}
	if in.Channels != nil {
		why = m.channels.Apply(in.Channels)
		changed = why == nil
	}
	if in.By == m.id {
		m.out.Done = append(m.out.Done, Done{in.Number, changed, why})
		for _, t := range m.turns {
			if t.proposal == in.Number {
				t.proposal = 0
			}
		}
	}
	return nil
}

// confirm answers the turns for which a majority has said that this one leads, once all is applied that was in the log then.
func (m *Machine) confirm() {
	if !m.leads || len(m.reads) == 0 {
		return
	}
	m.turns = slices.DeleteFunc(m.turns, func(t *turn) bool {
		index, ok := m.reads[t.read]
		if !ok || t.read == 0 || float64(m.applied) < index {
			return false
		}
		m.out.Answer = append(m.out.Answer, Answered{To: t.To, ID: t.ID, OK: true, Leader: m.id, Leases: m.granter.Renew(t.came, &t.RenewalRequest)})
		return true
	})
	for read, index := range m.reads {
		if float64(m.applied) >= index && !slices.ContainsFunc(m.turns, func(t *turn) bool { return t.read == read }) {
			delete(m.reads, read)
		}
	}
}

// compact keeps the log short. Who voted is told anew in a snapshot at each change: one that is taken in and gets a snapshot passes it over
// where it is not named in it.
func (m *Machine) compact() error {
	if m.applied < m.saved+snapshotEach && (!m.reseated || m.applied <= m.saved) {
		return nil
	}
	m.reseated = false
	data, err := encoding.Marshal(kept{lease.Pack(m.state.Save()), m.ledger.Save(), m.channels.Save()})
	if err != nil {
		return fmt.Errorf("state: %w", err)
	}
	snapshot, err := m.storage.CreateSnapshot(m.applied, m.conf, data)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	before := uint64(0)
	if m.applied > keepEntries {
		before = m.applied - keepEntries
	}
	if err := m.disk.Compact(snapshot, before); err != nil {
		return fmt.Errorf("disk: %w", err)
	}
	m.saved = m.applied
	if first, err := m.storage.FirstIndex(); err != nil || before < first {
		return err
	}
	if err := m.storage.Compact(before); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return fmt.Errorf("log: %w", err)
	}
	return nil
}

// changeSeats looks now and then whether somebody else is to vote.
func (m *Machine) changeSeats() {
	if m.Willing == nil || m.now-m.changed < changeEach {
		return
	}
	m.changed = m.now
	willing := m.Willing()
	var sit []lease.Command
	for _, w := range willing {
		if seat, ok := m.state.Voter(w.ID); w.ID != 0 && w.Alive && (ok && w.DiskEpoch > seat.DiskEpoch || !ok) {
			sit = append(sit, lease.Command{Kind: lease.RegisterVoter, Token: w.ID, Name: w.Name, DiskEpoch: w.DiskEpoch})
		}
	}
	if len(sit) > 0 {
		m.propose(sit, nil, nil)
	}
	progress := m.node.Status().Progress
	c := m.state.NextVoterChange(m.conf.GetVoters(), m.conf.GetLearners(), willing, func(id uint64) bool {
		p, ok := progress[id]
		return ok && p.Match > 0 && p.State == tracker.StateReplicate && p.Match+keepEntries/10 >= m.applied && p.RecentActive
	})
	m.change(c)
}

// change proposes one change of who votes.
func (m *Machine) change(c lease.VoterChange) {
	kind, ok := map[lease.VoterChangeKind]pb.ConfChangeType{
		lease.AddLearner: pb.ConfChangeType_ConfChangeAddLearnerNode,
		lease.Promote:    pb.ConfChangeType_ConfChangeAddNode, lease.Remove: pb.ConfChangeType_ConfChangeRemoveNode,
	}[c.Kind]
	if !ok {
		return
	}
	_ = m.node.ProposeConfChange(&pb.ConfChange{Type: &kind, NodeId: &c.ID}) // one at a time: what is dropped comes again
}

// Change has an operator change who votes.
func (m *Machine) Change(c lease.VoterChange, now float64) error {
	err := errors.New("this voter does not lead")
	m.now = now
	m.guarded(func() error {
		if m.leads {
			m.change(c)
			err = nil
		}
		return m.ready()
	})
	return err
}
