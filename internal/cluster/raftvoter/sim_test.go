package raftvoter

import (
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"elderwall/core/cluster/channel"
	"elderwall/core/cluster/lease"
	"elderwall/core/cluster/quota"
	"elderwall/internal/standin/need"
)

// sim is a council, dispatchers that stand for duties, and what takes their acts, on one clock: a schedule of faults is drawn
// from a seed. The library draws its own election times, so that a seed repeats the faults and not the whole run.
type sim struct {
	now     float64
	chance  *rand.Rand
	voters  []*voter
	players []*player
	events  []later
	parts   []int // of voters, then players
	lossy   float64
	fault   string // put in on purpose
	taken   []act
	fence   lease.Fence
	wrong   []string
	handed  []float64 // s for which a duty had no holder that could act
	vacant  map[string]float64
	well    bool // nothing goes wrong any more
	drift   float64
	history []porcupine.Operation
}

type later struct {
	at float64
	do func()
}

type act struct {
	at     float64
	duty   string
	token  uint64
	player int
}

// voter is a machine with its disk, which keeps what was synced.
type voter struct {
	*Machine
	sim     *sim
	index   int
	kept    Kept
	up      bool
	stalled float64
	inbox   []func()
	clock   clock
	copy    Kept // of the disk, from early on
	led     bool
	full    bool     // the disk takes nothing more
	lost    []func() // undoes what a disk that lies has not written
}

type clock struct{ rate, offset float64 }

func (c clock) at(now float64) float64 { return c.offset + now*c.rate }

// player is a dispatcher that stands.
type player struct {
	*lease.Holder
	sim     *sim
	index   int
	boot    uint64
	stalled float64
	inbox   []func()
	clock   clock
	ask     int // the voter that is asked
	asked   map[uint64]float64
	loose   map[string]float64 // until when a guard that is at fault lets acts through
	tokens  map[string]uint64
	pending []act // begun before a stall, done after it
}

var quietLog = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

const (
	voters    = 5
	players   = 6
	step      = 0.01
	leaseTime = 1.0
)

var dutyNames = []string{"a", "b", "c"}

func newSim(seed uint64, fault string) *sim {
	s := &sim{chance: rand.New(rand.NewPCG(seed, 7)), fault: fault, vacant: map[string]float64{}, drift: lease.MaxClockDrift, parts: make([]int, voters+players)}
	if fault == "clocks drift by far more than stated" {
		s.drift = 0.4
	}
	var ids []uint64
	for i := range voters {
		ids = append(ids, uint64(i+1))
	}
	for i := range voters {
		v := &voter{sim: s, index: i, clock: s.clock()}
		hard, snapshot, err := Found(1, lease.NewState(), quota.NewLedger(), channel.NewLedger(), 1, 1)
		if err != nil {
			panic(err)
		}
		snapshot.Metadata.ConfState.Voters = ids
		v.kept = Kept{ID: uint64(i + 1), Hard: hard, Snapshot: snapshot, Council: 1}
		s.voters = append(s.voters, v)
		v.start()
	}
	for i := range players {
		p := &player{sim: s, index: i, clock: s.clock()}
		s.players = append(s.players, p)
		p.start()
	}
	return s
}

func (s *sim) clock() clock {
	return clock{1 + s.drift*(2*s.chance.Float64()-1)*0.98, s.chance.Float64() * 1e4}
}

func (v *voter) start() {
	v.kept.Era++
	if v.copy.ID == 0 && v.sim.now > 4 {
		v.copy = v.kept
		v.copy.Entries = slices.Clone(v.kept.Entries)
	}
	kept := v.kept
	kept.Entries = slices.Clone(kept.Entries)
	m, err := New(kept, v, v.clock.at(v.sim.now), quietLog)
	if err != nil {
		panic(err)
	}
	v.Machine, v.up, v.full, v.lost = m, true, false, nil
}

// spoil has a leader end leases that it must not end.
func (v *voter) spoil() {
	now, leads := v.clock.at(v.sim.now), v.Leads()
	early := v.sim.fault == "a new leader counts nothing anew" && leads && !v.led
	v.led = leads
	for _, d := range dutyNames {
		duty := v.State().Get(d)
		if duty == nil || !duty.Held() || !leads {
			continue
		}
		if early || v.sim.fault == "a lease is ended early" && v.Granter().Remaining(now, d) < 0.5*leaseTime {
			v.Propose([]lease.Command{{Kind: lease.Expire, Duty: d, Token: duty.Token}}, nil, nil, now)
		}
	}
}

// Save keeps what is synced; a disk that is at fault loses some of it in a crash.
func (v *voter) Save(hard *pb.HardState, entries []*pb.Entry, snapshot *pb.Snapshot) error {
	if v.full {
		return errors.New("no space left")
	}
	was := v.kept
	was.Entries = slices.Clone(was.Entries)
	if hard != nil {
		v.kept.Hard = proto.Clone(hard).(*pb.HardState)
	}
	if snapshot != nil && !raft.IsEmptySnap(snapshot) {
		v.kept.Snapshot, v.kept.Entries = snapshot, nil
	}
	if len(entries) > 0 {
		first := entries[0].GetIndex()
		v.kept.Entries = slices.DeleteFunc(v.kept.Entries, func(e *pb.Entry) bool { return e.GetIndex() >= first })
		for _, e := range entries {
			v.kept.Entries = append(v.kept.Entries, proto.Clone(e).(*pb.Entry))
		}
	}
	switch v.sim.fault {
	case "votes are not synced":
		if hard != nil {
			v.lost = append(v.lost, func() {
				v.kept.Hard = &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
			})
		}
	case "the log is not synced":
		if len(entries) > 0 {
			v.lost = append(v.lost, func() { v.kept = was })
		}
	}
	return nil
}

func (v *voter) Compact(snapshot *pb.Snapshot, before uint64) error {
	v.kept.Snapshot = snapshot
	v.kept.Entries = slices.DeleteFunc(v.kept.Entries, func(e *pb.Entry) bool { return e.GetIndex() <= before })
	return nil
}

func (v *voter) crash() {
	v.up, v.inbox = false, nil
	if len(v.lost) > 0 {
		id, era := v.kept.ID, v.kept.Era
		v.lost[0]()
		v.kept.ID, v.kept.Era = id, era
	}
	if v.sim.fault == "an old copy of a disk votes on" && v.copy.ID != 0 {
		v.kept = v.copy
		v.kept.Entries = slices.Clone(v.copy.Entries)
	}
	if v.sim.fault == "a disk is lost and the voter votes on" {
		hard, snapshot, _ := Found(1, lease.NewState(), quota.NewLedger(), channel.NewLedger(), 1, 1)
		snapshot.Metadata.ConfState.Voters = []uint64{1, 2, 3, 4, 5}
		v.kept = Kept{ID: v.kept.ID, Era: v.kept.Era, Hard: hard, Snapshot: snapshot}
	}
}

func (p *player) start() {
	p.boot++
	p.Holder = lease.NewHolder(fmt.Sprint("n", p.index), p.boot, fmt.Sprint("z", p.index%2), 0)
	p.asked, p.loose, p.tokens, p.inbox, p.pending = map[uint64]float64{}, map[string]float64{}, map[string]uint64{}, nil, nil
	for _, d := range dutyNames {
		p.Register(d, 1, p.clock.at(p.sim.now))
	}
}

// pass carries something to another, unless it is lost: it comes when that one does not stand still.
func (s *sim) pass(from, to int, stalled func() float64, inbox *[]func(), do func()) {
	if s.parts[from] != s.parts[to] || s.chance.Float64() < s.lossy {
		return
	}
	s.after(0.001+s.chance.ExpFloat64()*0.004, func() {
		if s.parts[from] != s.parts[to] {
			return
		}
		if stalled() > s.now {
			*inbox = append(*inbox, do)
			return
		}
		do()
	})
}

func (s *sim) after(wait float64, do func()) { s.events = append(s.events, later{s.now + wait, do}) }

// drain sends what a voter has ready.
func (s *sim) drain(v *voter) {
	out := v.Ready()
	for _, m := range out.Send {
		to := s.voters[m.GetTo()-1]
		m = proto.Clone(m).(*pb.Message)
		s.pass(v.index, to.index, func() float64 { return to.stalled }, &to.inbox, func() {
			if to.up {
				to.Step(m, to.clock.at(s.now))
				s.drain(to)
			}
		})
		if m.GetType() == pb.MessageType_MsgSnap {
			v.Sent(m.GetTo(), v.clock.at(s.now))
		}
	}
	for _, a := range out.Answer {
		p := a.To.(*player)
		boot := p.boot
		s.pass(v.index, voters+p.index, func() float64 { return p.stalled }, &p.inbox, func() {
			if p.boot == boot {
				p.answered(a)
			}
		})
	}
	if v.Broken() != nil && s.fault == "" && !v.full {
		s.wrong = append(s.wrong, fmt.Sprintf("%.2f: voter %d: %v", s.now, v.index, v.Broken()))
	}
}

func (p *player) answered(a Answered) {
	if !a.OK {
		if a.Leader != 0 {
			p.ask = int(a.Leader - 1)
		} else {
			p.ask = p.sim.chance.IntN(voters)
		}
		return
	}
	now := p.clock.at(p.sim.now)
	p.HandleAnswer(now, a.ID, a.Leases)
	for _, l := range a.Leases {
		if _, own := p.asked[a.ID]; !own { // of the process that was there before
			break
		}
		p.sim.history = append(p.sim.history, porcupine.Operation{
			ClientId: p.index, Input: l.Duty, Output: grant{l.Token, p.index, p.boot},
			Call: int64(1e6 * p.asked[a.ID]), Return: int64(1e6 * p.sim.now),
		})
	}
	for _, l := range a.Leases {
		p.tokens[l.Duty] = l.Token
		switch p.sim.fault {
		case "a lease is counted from the answer":
			p.loose[l.Duty] = now + l.Length*1.01
		case "the guard is asked once":
			p.loose[l.Duty] = now + 1e9
		}
	}
	for d := range p.tokens {
		if !slices.ContainsFunc(a.Leases, func(l lease.Lease) bool { return l.Duty == d }) {
			delete(p.loose, d)
		}
	}
	for _, d := range p.TransfersRequested() {
		p.Release(d, now)
	}
}

// guard asks whether an act may be done.
func (p *player) guard(duty string) (uint64, bool) {
	now := p.clock.at(p.sim.now)
	if until, ok := p.loose[duty]; ok && now < until {
		return p.tokens[duty], true
	}
	return p.HeldToken(duty, now)
}

// play lets time pass to a moment.
func (s *sim) play(until float64) {
	for s.now < until {
		s.now += step
		events := s.events
		s.events = nil
		slices.SortStableFunc(events, func(a, b later) int { return int(1e9 * (a.at - b.at)) })
		for _, e := range events {
			if e.at <= s.now {
				e.do()
			} else {
				s.events = append(s.events, e)
			}
		}
		for _, v := range s.voters {
			if v.up && v.stalled <= s.now {
				inbox := v.inbox
				v.inbox = nil
				for _, do := range inbox {
					do()
				}
				v.Tick(v.clock.at(s.now))
				v.spoil()
				s.drain(v)
			}
		}
		for _, p := range s.players {
			if p.stalled <= s.now {
				p.play()
			}
		}
		s.check()
	}
}

func (p *player) play() {
	s := p.sim
	inbox := p.inbox
	p.inbox = nil
	for _, do := range inbox {
		do()
	}
	for _, a := range p.pending { // asked before it stood still: the token alone speaks now
		s.take(a)
	}
	p.pending = nil
	now := p.clock.at(s.now)
	turn, ask, fresh := p.Tick(now)
	if !fresh {
		p.ask = s.chance.IntN(voters)
	}
	if ask {
		p.asked[turn.ID] = s.now
		v := s.voters[p.ask]
		s.pass(voters+p.index, v.index, func() float64 { return v.stalled }, &v.inbox, func() {
			if !v.up {
				return
			}
			if s.fault == "no majority is asked" && v.Leads() {
				if commands := v.Granter().Commands(&turn); len(commands) > 0 {
					v.Propose(commands, nil, nil, v.clock.at(s.now))
				}
				v.out.Answer = append(v.out.Answer, Answered{To: p, ID: turn.ID, OK: true, Leases: v.Granter().Renew(v.clock.at(s.now), &turn)})
			} else {
				v.Turn(Turn{turn, p}, v.clock.at(s.now))
			}
			s.drain(v)
		})
	}
	for _, d := range dutyNames {
		if token, ok := p.guard(d); ok {
			a := act{s.now, d, token, p.index}
			if !s.well && s.chance.IntN(50) == 0 { // it stands still in the midst of it
				p.pending = append(p.pending, a)
				p.stalled = s.now + s.chance.Float64()*3
				continue
			}
			s.take(a)
		}
	}
}

// take is whatever takes acts: it refuses tokens that are lower than it has seen.
func (s *sim) take(a act) {
	if s.fault == "tokens are not looked at" || s.fence.Accept(a.duty, a.token) {
		a.at = s.now
		s.taken = append(s.taken, a)
	}
}

// check holds the moment against what must be: no two may act by their own reckoning, and some time after all is well each
// duty is held. It knows nothing of logs or leases.
func (s *sim) check() {
	for _, d := range dutyNames {
		var who []string
		for _, p := range s.players {
			if _, ok := p.guard(d); ok && p.stalled <= s.now {
				who = append(who, fmt.Sprint(p.index, " with ", p.tokens[d]))
			}
		}
		if len(who) > 1 {
			s.wrong = append(s.wrong, fmt.Sprintf("%.2f: %s is held by %v", s.now, d, who))
		}
		if len(who) > 0 {
			if since, ok := s.vacant[d]; ok && since < s.now-step {
				s.handed = append(s.handed, s.now-since)
			}
			s.vacant[d] = s.now
		}
	}
}

// grant is what a turn said: a holder with its token.
type grant struct {
	token  uint64
	player int
	boot   uint64
}

// holders is what turns may say of a duty, one after the other in some order between their questions and their answers: a token's holder is one,
// and once a higher one was told no lower one is.
var holders = porcupine.Model{
	Partition: func(all []porcupine.Operation) (by [][]porcupine.Operation) {
		at := map[any]int{}
		for _, o := range all {
			if _, ok := at[o.Input]; !ok {
				at[o.Input] = len(by)
				by = append(by, nil)
			}
			by[at[o.Input]] = append(by[at[o.Input]], o)
		}
		return by
	},
	Init: func() any { return grant{} },
	Step: func(state, _, output any) (bool, any) {
		is, told := state.(grant), output.(grant)
		return told == is || told.token > is.token, told
	},
	Equal: func(a, b any) bool { return a == b },
}

// ordered checks what was taken: never a lower token after a higher, never one token from two.
func (s *sim) ordered() (wrong []string) {
	highest, by := map[string]uint64{}, map[string]int{}
	for _, a := range s.taken {
		if a.token < highest[a.duty] {
			wrong = append(wrong, fmt.Sprintf("%.2f: %s: token %d after %d", a.at, a.duty, a.token, highest[a.duty]))
		}
		highest[a.duty] = max(highest[a.duty], a.token)
		key := fmt.Sprint(a.duty, a.token)
		if o, ok := by[key]; ok && o != a.player {
			wrong = append(wrong, fmt.Sprintf("%.2f: %s: token %d of %d and %d", a.at, a.duty, a.token, o, a.player))
		}
		by[key] = a.player
	}
	return wrong
}

// elections has leaders go and come back within moments, and parts change while votes are cast.
func (s *sim) elections() {
	for _, v := range s.voters {
		if v.up && (v.Leads() || s.chance.IntN(2) == 0) {
			v.crash()
			s.after(0.02+s.chance.Float64()*0.1, v.start)
		}
	}
	for i := range s.parts[:voters] {
		s.parts[i] = s.chance.IntN(2)
	}
	s.after(1+s.chance.Float64(), func() { clear(s.parts) })
}

// trouble draws what goes wrong now.
func (s *sim) trouble() {
	if s.fault != "" && s.chance.IntN(3) > 0 && slices.Contains([]string{
		"votes are not synced", "a new leader counts nothing anew", "an old copy of a disk votes on", "no majority is asked",
		"the log is not synced",
	}, s.fault) {
		s.elections()
		return
	}
	some := func() float64 { return 0.1 + s.chance.ExpFloat64()*0.8 }
	switch s.chance.IntN(10) {
	case 0, 1: // a cut
		for i := range s.parts {
			s.parts[i] = s.chance.IntN(2 + s.chance.IntN(2))
		}
		s.after(some()*1.5, func() { clear(s.parts) })
	case 2: // one alone
		s.parts[s.chance.IntN(len(s.parts))] = 9
		s.after(some()*1.5, func() { clear(s.parts) })
	case 3, 4:
		v := s.voters[s.chance.IntN(voters)]
		if v.up {
			v.crash()
			s.after(some(), func() { v.start() })
		}
	case 5:
		s.voters[s.chance.IntN(voters)].stalled = s.now + some()
	case 6:
		p := s.players[s.chance.IntN(players)]
		p.stalled = s.now + 2*some()
	case 7:
		p := s.players[s.chance.IntN(players)]
		p.pending, p.stalled = nil, s.now+some()
		s.after(some(), p.start)
	case 9: // a disk is full: its voter is out until it starts anew
		v := s.voters[s.chance.IntN(voters)]
		if v.up && !v.full {
			v.full = true
			s.after(some(), func() {
				if v.full && v.up {
					v.crash()
					v.start()
				}
			})
		}
	case 8:
		s.lossy = s.chance.Float64() * 0.4
		s.after(some(), func() { s.lossy = 0 })
	}
}

// run plays a schedule, and tells what was wrong.
func run(seed uint64, fault string) *sim {
	s, leaderSoon := newSim(seed, fault), 3.0
	s.play(leaderSoon)
	for _, v := range s.voters {
		if v.Leads() {
			var all []lease.Command
			for _, d := range dutyNames {
				all = append(all, lease.Command{Kind: lease.Declare, Duty: d, LeaseLength: leaseTime})
			}
			v.Propose(all, nil, nil, v.clock.at(s.now))
			s.drain(v)
		}
	}
	for s.now < 18 {
		s.play(s.now + s.chance.ExpFloat64()*0.6)
		s.trouble()
	}
	// all is well from now on
	s.play(s.now + 6)
	clear(s.parts)
	s.lossy, s.well = 0, true
	for _, p := range s.players {
		p.stalled = 0
	}
	for _, v := range s.voters {
		v.stalled = 0
		if v.full && v.up {
			v.crash()
		}
		if !v.up {
			v.start()
		}
	}
	s.play(s.now + 8)
	for _, d := range dutyNames {
		if s.now-s.vacant[d] > 6 {
			s.wrong = append(s.wrong, fmt.Sprintf("%s has had no holder for %.1f s", d, s.now-s.vacant[d]))
		}
	}
	s.wrong = append(s.wrong, s.ordered()...)
	if got := porcupine.CheckOperationsTimeout(holders, s.history, time.Minute); got != porcupine.Ok {
		s.wrong = append(s.wrong, fmt.Sprintf("what turns said of holders is in no order: %v", got))
	}
	return s
}

func schedules(t *testing.T, fewest int) int {
	n := fewest
	if more := os.Getenv("ELDERWALL_SCHEDULES"); more != "" {
		need.Of(fmt.Sscan(more, &n))(t)
	}
	return n
}

// Schedules of faults by seed: one holder at most by the holders' own reckoning, no act out of the order of tokens, and every
// duty held some time after all is well.
func TestSchedules(t *testing.T) {
	n := schedules(t, 48)
	const at = 8
	for part := range at {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < n; seed += at {
				s := run(uint64(seed), "")
				if len(s.wrong) > 0 {
					t.Fatalf("seed %d: %v", seed, s.wrong[:min(5, len(s.wrong))])
				}
				assert.NotEmpty(t, s.taken)
			}
		})
	}
}

// The checkers see what is put in on purpose.
func TestTheCheckersFindFaults(t *testing.T) {
	for _, fault := range []string{
		"votes are not synced", "the log is not synced", "a disk is lost and the voter votes on", "a lease is counted from the answer",
		"the guard is asked once", "a new leader counts nothing anew", "a lease is ended early", "an old copy of a disk votes on", "tokens are not looked at", "clocks drift by far more than stated",
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			most := 300
			for seed := range most {
				if s := run(uint64(seed), fault); len(s.wrong) > 0 {
					t.Logf("found by schedule %d: %s", seed+1, s.wrong[0])
					if fault == "clocks drift by far more than stated" {
						assert.Empty(t, s.ordered(), "the tokens catch it")
					}
					return
				}
			}
			t.Error(errors.New("not found"))
		})
	}
}
