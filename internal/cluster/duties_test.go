package cluster

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/cluster/lease"
	"elderwall/internal/chart"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/processes"
)

const (
	actorEnv  = "ELDERWALL_TEST_ACTOR"  // this test program is a command that acts, at the address
	deafEnv   = "ELDERWALL_TEST_DEAF"   // and ignores TERM
	familyEnv = "ELDERWALL_TEST_FAMILY" // what it does besides, see family
	leaseTime = 1 * time.Second
	job       = "job"
)

// actor acts under a duty for as long as it runs, without asking anybody: whatever takes its acts looks at the token.
func actor() {
	if os.Getenv(deafEnv) != "" {
		signal.Ignore(syscall.SIGTERM)
	}
	family()
	for {
		if c, err := net.Dial("tcp", os.Getenv(actorEnv)); err == nil {
			for err == nil {
				_, err = fmt.Fprintf(c, "%s %s %d\n", os.Getenv("ELDERWALL_DUTY"), os.Getenv("ELDERWALL_TOKEN"), os.Getpid())
				time.Sleep(10 * time.Millisecond)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// taker takes acts and refuses lower tokens than it has seen. What it keeps is for its checker alone.
type taker struct {
	listener net.Listener
	mu       sync.Mutex
	highest  map[string]uint64
	since    map[string]time.Time // when a duty's highest token was first seen
	acts     []taken
	refused  int
	crossed  time.Duration // the longest after that in which a lower one acted
}

type taken struct {
	at    time.Time
	duty  string
	token uint64
	pid   int
}

func newTaker(t *testing.T) *taker {
	l := need.Of(net.Listen("tcp", "127.0.0.1:0"))(t)
	k := &taker{listener: l, highest: map[string]uint64{}, since: map[string]time.Time{}}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k
}

func (k *taker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	for in := bufio.NewScanner(c); in.Scan(); {
		a := taken{at: time.Now()}
		if _, err := fmt.Sscan(in.Text(), &a.duty, &a.token, &a.pid); err != nil {
			return
		}
		k.mu.Lock()
		if a.token < k.highest[a.duty] {
			k.refused++
			k.crossed = max(k.crossed, a.at.Sub(k.since[a.duty]))
		} else {
			if a.token > k.highest[a.duty] {
				k.since[a.duty] = a.at
			}
			k.highest[a.duty] = a.token
			k.acts = append(k.acts, a)
		}
		k.mu.Unlock()
	}
}

// last is the last act that was taken.
func (k *taker) last() (a taken) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.acts) > 0 {
		a = k.acts[len(k.acts)-1]
	}
	return a
}

// check looks over all acts: tokens never fall, and none is of two.
func (k *taker) check(t *testing.T) {
	k.mu.Lock()
	defer k.mu.Unlock()
	by, highest := map[string]int{}, map[string]uint64{}
	for _, a := range k.acts {
		assert.GreaterOrEqual(t, a.token, highest[a.duty])
		highest[a.duty] = a.token
		key := fmt.Sprint(a.duty, " ", a.token)
		if pid, ok := by[key]; ok && pid != a.pid {
			t.Errorf("token %s of %d and %d", key, pid, a.pid)
		}
		by[key] = a.pid
	}
}

// dutyRig is dispatchers of which some vote, and holds of a duty.
type dutyRig struct {
	*memberRig
	taker *taker
	lease time.Duration // of the job; 0 for leaseTime
}

// duty starts so many dispatchers, of which the first ones vote, and begins the log.
func duty(t *testing.T, n, vote int, change ...func(*memberRig)) *dutyRig {
	d := &dutyRig{taker: newTaker(t)}
	d.memberRig = start(t, n, append([]func(*memberRig){func(m *memberRig) {
		for i := range n {
			m.more[i] = fmt.Sprintf(`duties: {voter: %v, folder: "duties", stands: {report: "1s"}, report: "1s"}`, i < vote)
		}
	}}, change...)...)
	require.NoError(t, os.WriteFile(filepath.Join(d.Dir, "fleet.key"), []byte(d.keys[-1]), 0o600))
	d.Until(soon, "the log begins", func() error {
		out, err := d.run(0, "voters", "found")
		return processes.When(err != nil && !strings.Contains(out, "already"), fmt.Errorf("%w: %s", err, out))
	})
	d.vote(vote)
	return d
}

// vote waits until so many vote.
func (d *dutyRig) vote(n int) {
	d.Helper()
	d.hears(fmt.Sprint(n, " vote"), func(s heard) error {
		return processes.When(len(s.Council.Voters) != n, fmt.Errorf("%d", len(s.Council.Voters)))
	})
}

// run runs a command of the program's command line against a dispatcher.
func (d *dutyRig) run(at int, words ...string) (string, error) {
	key := filepath.Join(d.Dir, "fleet.key")
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	words = append([]string{"fleet"}, append(words, "--at", d.Processes[at].Fleet, "--key", key)...)
	out, err := exec.CommandContext(ctx, d.Binary, words...).CombinedOutput()
	return string(out), err
}

// does runs one that has to do.
func (d *dutyRig) does(at int, words ...string) {
	d.Helper()
	out, err := d.run(at, words...)
	require.NoError(d, err, out)
}

type heardDuty struct {
	Name              string
	Token, Mark, Told uint64
	Holder            struct{ Name string }
	Waiting           []struct {
		Name     string
		Failures int
	}
}

// heard is what the command line says of duties and voters, in this test's own words.
type heard struct {
	Duties  []heardDuty
	Rest    map[string]float64
	Council struct {
		Leader, Term     uint64
		Voters, Learners []uint64
	}
	Seats []struct {
		ID   uint64
		Name string
	}
}

// of is what is said of a duty; the one of no token is nobody's.
func (s *heard) of(name string) (o heardDuty) {
	for _, o := range s.Duties {
		if o.Name == name {
			return o
		}
	}
	return o
}

// council asks the first of the processes that answers.
func (d *dutyRig) council() (s heard, err error) {
	for i, p := range d.Processes {
		if !p.Runs() {
			continue
		}
		out, e := d.run(i, "duties", "--json")
		if e == nil {
			s = heard{}
			return s, json.Unmarshal([]byte(out), &s)
		}
		err = fmt.Errorf("n%d: %w: %s", i, e, out)
	}
	return s, err
}

// hears waits until a condition holds of what the first that answers says.
func (d *dutyRig) hears(what string, holds func(s heard) error) {
	d.Helper()
	d.Until(soon, what, func() error {
		s, err := d.council()
		if err != nil {
			return err
		}
		return holds(s)
	})
}

// says waits until a process has said something more than so often.
func (d *dutyRig) says(what string, at int, message string, than int) {
	d.Helper()
	d.Until(soon, what, func() error { return processes.When(len(d.Processes[at].Said(message)) <= than, errors.New("not yet")) })
}

// signal, kill and startAgain do so to several.
func (m *memberRig) signal(s syscall.Signal, who ...int) {
	for _, i := range who {
		m.Processes[i].Signal(s)
	}
}

func (m *memberRig) kill(who ...int) {
	for _, i := range who {
		m.Processes[i].Kill()
	}
}

func (m *memberRig) startAgain(who ...int) {
	for _, i := range who {
		m.Processes[i].Start()
	}
}

// endOf ends the process of a name.
func (d *dutyRig) endOf(name string) {
	d.Processes[slices.IndexFunc(d.Processes, func(p *processes.Process) bool { return p.Name == name })].End()
}

// leader is the process that leads.
func (d *dutyRig) leader() int {
	d.Helper()
	leader := -1
	d.hears("somebody leads", func(s heard) error {
		for _, seat := range s.Seats {
			if seat.ID == s.Council.Leader {
				_, err := fmt.Sscanf(seat.Name, "n%d", &leader)
				return err
			}
		}
		return errors.New("nobody")
	})
	return leader
}

// holding is one `fleet hold`.
type hold struct {
	rig   *dutyRig
	name  string
	cmd   *exec.Cmd
	out   bytes.Buffer
	ended chan struct{}
}

// hold starts one that stands at a dispatcher.
func (d *dutyRig) hold(at int, env ...string) *hold { return d.holdOf(job, at, env...) }

func (d *dutyRig) holdOf(job string, at int, env ...string) *hold {
	key, h := filepath.Join(d.Dir, "fleet.key"), &hold{rig: d, name: fmt.Sprintf("hold-%016x", rand.Uint64()), ended: make(chan struct{})}
	h.cmd = exec.Command(d.Binary, "fleet", "hold", job, "--at", d.Processes[at].Fleet, "--key", key, "--lease", cmp.Or(d.lease, leaseTime).String(), "--name", h.name, "--", os.Args[0])
	h.cmd.Env = append(append(os.Environ(), actorEnv+"="+d.taker.listener.Addr().String()), env...)
	h.cmd.Stderr, h.cmd.Stdout = &h.out, io.Discard
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(d, h.cmd.Start())
	go func() {
		if _ = h.cmd.Wait(); h.out.Len() > 0 {
			d.Logf("hold of %s: %v: %s", job, h.cmd.ProcessState, h.out.String())
		}
		close(h.ended)
	}()
	d.Cleanup(func() { _ = h.cmd.Process.Signal(syscall.SIGCONT); _ = h.cmd.Process.Kill(); <-h.ended })
	return h
}

// acts waits until acts are taken with a token above one, and gives it.
func (d *dutyRig) acts(above uint64) taken {
	d.Helper()
	var a taken
	d.Until(soon, fmt.Sprint("acts above ", above), func() error {
		a = d.taker.last()
		return processes.When(a.token <= above || time.Since(a.at) > leaseTime/2, fmt.Errorf("%+v", a))
	})
	return a
}

// still waits until no act comes for some time.
func (d *dutyRig) still() {
	d.Helper()
	d.Until(soon, "no acts come", func() error {
		since := time.Since(d.taker.last().at)
		return processes.When(since < 2*leaseTime, fmt.Errorf("%v ago", since))
	})
}

func TestAHolderIsStoppedAndKilledAndEnds(t *testing.T) {
	d := duty(t, 3, 3)
	one, first, two := d.hold(0), d.acts(0), d.hold(1)
	guard := one.guard()
	_ = syscall.Kill(guard, syscall.SIGSTOP)
	t.Cleanup(func() { _ = syscall.Kill(guard, syscall.SIGCONT) })
	_ = one.cmd.Process.Signal(syscall.SIGSTOP) // its command goes on, as its guard is stopped too, and the token speaks against it
	second := d.acts(first.token)
	d.Until(soon, "acts of the stopped one's command are refused", func() error {
		d.taker.mu.Lock()
		defer d.taker.mu.Unlock()
		return processes.When(d.taker.refused == 0, errors.New("none"))
	})
	_ = one.cmd.Process.Signal(syscall.SIGCONT)
	_ = syscall.Kill(guard, syscall.SIGCONT)
	<-one.ended
	assert.Equal(t, lostStatus, one.cmd.ProcessState.ExitCode(), "it finds its time gone, and ends its command")
	three := d.holdOf(job, 2)
	_ = two.cmd.Process.Kill()
	third := d.acts(second.token)
	d.hold(0)
	d.hears("another stands", func(s heard) error { return processes.When(len(s.of(job).Waiting) == 0, errors.New("nobody")) })
	_ = three.cmd.Process.Signal(syscall.SIGTERM)
	<-three.ended
	s := need.Of(d.council())(t)
	if o := s.of(job); o.Name != "" {
		assert.Greater(t, o.Token, third.token, "given back before it ends, not waited for")
	}
	d.acts(third.token)
	d.taker.check(t)
}

const lostStatus = 75

func TestACommandThatIgnoresTERM(t *testing.T) {
	d := duty(t, 3, 3)
	one, first := d.hold(2, deafEnv+"=1"), d.acts(0)
	d.signal(syscall.SIGSTOP, 0, 1, 2) // nobody can renew it any more
	<-one.ended
	assert.Less(t, time.Since(d.taker.last().at), 2*leaseTime)
	assert.Less(t, d.taker.last().at.Sub(first.at), 3*leaseTime, "ended before its lease was over")
	d.signal(syscall.SIGCONT, 0, 1, 2)
	d.hold(1)
	d.acts(first.token)
	d.taker.check(t)
}

func TestTheLeaderFails(t *testing.T) {
	for name, what := range map[string]string{"killed": processes.Kill, "stopped": processes.Stop, "cut off": processes.Cut, "not heard by the others": processes.CutOff} {
		t.Run(name, func(t *testing.T) {
			d := duty(t, 5, 5)
			l := d.leader()
			d.hold((l + 1) % 5)
			d.hold((l + 2) % 5)
			first, fault := d.acts(0), processes.Fault{What: what, A: []int{l}}
			d.Begin(fault)
			time.Sleep(3 * leaseTime)
			d.acts(first.token - 1) // by whoever has it now
			d.serve(d.all(l)...)
			d.End(fault)
			d.vote(5)
			d.acts(first.token - 1)
			d.taker.check(t)
		})
	}
}

// The holder's dispatcher can't reach the voters: it stops by its own clock before another begins. Where just the way to the leader is cut,
// it keeps the duty, by way of other voters.
func TestTheHolderIsCutOff(t *testing.T) {
	d := duty(t, 6, 5)
	l := d.leader()
	other, stands := (l+1)%5, (l+2)%5
	last := uint64(0)
	for _, tt := range []struct {
		name  string
		fault processes.Fault
		keeps bool
	}{
		{"alone", processes.Fault{What: processes.Cut, A: []int{5}}, false},
		{"with a minority of the voters", processes.Fault{What: processes.Cut, A: []int{other, 5}}, false},
		{"what it sends is lost", processes.Fault{What: processes.CutOff, A: []int{5}, B: d.all(5)}, false},
		{"what it is sent is lost", processes.Fault{What: processes.CutOff, A: d.all(5), B: []int{5}}, false},
		{"from the leader alone", processes.Fault{What: processes.Cut, A: []int{l}, B: []int{5}}, true},
		{"with the leader", processes.Fault{What: processes.Cut, A: []int{l, 5}}, false},
	} {
		for trial, kept := 0, false; !kept; trial++ {
			require.Less(t, trial, 3, "%s: a machine that is busy may stand still for a lease, but not each time", tt.name)
			one, first, two := d.hold(5), d.acts(last), d.hold(stands)
			d.Begin(tt.fault)
			if kept = !tt.keeps; tt.keeps {
				time.Sleep(4 * leaseTime)
				kept = first.token == d.acts(last).token
				_ = one.cmd.Process.Signal(syscall.SIGTERM)
			} else {
				d.acts(first.token)
				d.serve(5)
			}
			<-one.ended
			last = d.acts(first.token).token
			d.End(tt.fault)
			_ = two.cmd.Process.Signal(syscall.SIGTERM)
			<-two.ended
			assert.Zero(t, d.taker.refused, tt.name)
			d.until("they see each other again", d.all(), "whole", d.all())
		}
	}
	d.taker.check(t)
}

// A disk that is full takes its voter out, the leader's too; with room again it votes.
func TestAFullDisk(t *testing.T) {
	d := duty(t, 4, 3)
	d.hold(3)
	d.hold(3)
	first, l := d.acts(0), d.leader()
	d.Processes[l].Full(true)
	d.Until(soon, "another leads", func() error { now := d.leader(); return processes.When(now == l, errors.New("the same")) })
	d.acts(first.token - 1)
	d.serve(l)
	d.Processes[l].Full(false)
	votes := len(d.Processes[l].Said("duties: votes"))
	d.says("it votes again", l, "duties: votes", votes)
	d.Processes[(l+1)%3].Kill()
	time.Sleep(2 * leaseTime)
	d.hold(3)
	d.acts(first.token - 1) // by two of three, of which it is one
	d.taker.check(t)
}

// faulty has the rig's programs take faults that no signal brings about.
func faulty(env ...string) func(*memberRig) {
	return func(m *memberRig) { m.Binary, m.Env = processes.Build(m, "../..", "faults"), env }
}

// Syncs take 5 s: at the leader another leads; at all, nothing is granted out of order; and all goes on after.
func TestSyncsTakeSeconds(t *testing.T) {
	d := duty(t, 4, 3, faulty("ELDERWALL_FAULT_SYNC={dir}/sync"))
	slow := func(who ...int) {
		for i, p := range d.Processes {
			if at := filepath.Join(p.Dir, "sync"); slices.Contains(who, i) {
				require.NoError(t, os.WriteFile(at, []byte("5"), 0o600))
			} else {
				_ = os.Remove(at)
			}
		}
	}
	one, first := d.hold(3), d.acts(0)
	slow(d.leader())
	two := d.hold(3)
	_ = one.cmd.Process.Kill() // its end has to be in the log
	second := d.acts(first.token)
	slow(0, 1, 2)
	_ = two.cmd.Process.Kill()
	d.hold(3)
	time.Sleep(6 * time.Second)
	d.serve(d.all()...)
	slow()
	d.acts(second.token)
	d.taker.check(t)
}

// Clocks run off by twice what is stated, and by far more. The first breaks nothing here, as commands are ended well before their lease
// is over; the second has acts come late, which the token catches.
func TestClocksRunOff(t *testing.T) {
	for _, tt := range []struct {
		name          string
		holder, voter float64
		late          bool
	}{{"twice the share", 1 - 2*lease.MaxClockDrift, 1 + 2*lease.MaxClockDrift, false}, {"far off", 0.4, 1, true}} {
		t.Run(tt.name, func(t *testing.T) {
			d := duty(t, 4, 3, faulty(fmt.Sprint("ELDERWALL_FAULT_CLOCK=", tt.voter)))
			one, first := d.hold(3, deafEnv+"=1", fmt.Sprint("ELDERWALL_FAULT_CLOCK=", tt.holder)), d.acts(0)
			d.hold(0)
			cut := processes.Fault{What: processes.Cut, A: []int{3}}
			d.Begin(cut)
			d.acts(first.token)
			<-one.ended
			d.End(cut)
			assert.Equal(t, tt.late, d.taker.refused > 0, "%d acts came late", d.taker.refused)
			d.taker.check(t)
		})
	}
}

// One that comes and goes, with a higher priority than all: it moves nothing while another holds the duty, and stands back when that one ends.
func TestACandidateFlaps(t *testing.T) {
	d := duty(t, 4, 3, func(m *memberRig) { m.more[3] = strings.Replace(m.more[3], "duties: {", "duties: {priority: 10, ", 1) })
	report := func() (token uint64, holder string, failures int) {
		d.hears("the report is held", func(s heard) error {
			o := s.of(Report)
			token, holder = o.Token, o.Holder.Name
			for _, w := range o.Waiting {
				if w.Name == "n3" {
					failures = w.Failures
				}
			}
			return processes.When(token == 0, errors.New("not held"))
		})
		return
	}
	if _, holder, _ := report(); holder != "n3" {
		d.does(0, "hand", Report, "n3")
	}
	d.Until(soon, "it has it", func() error { _, holder, _ := report(); return processes.When(holder != "n3", errors.New(holder)) })
	was := uint64(0)
	for range 4 { // it lets its lease run out once; then another has it
		d.Processes[3].Kill()
		d.Until(soon, "another has it", func() error { _, holder, _ := report(); return processes.When(holder == "n3", errors.New(holder)) })
		d.Processes[3].Start()
		d.Until(soon, "it stands", func() error { _, _, failures := report(); return processes.When(failures == 0, errors.New("not yet")) })
		token, _, _ := report()
		if was != 0 {
			assert.Equal(t, was, token, "nothing moved")
		}
		was = token
	}
	_, holder, _ := report()
	d.endOf(holder)
	d.Until(soon, "another has it", func() error { _, now, _ := report(); return processes.When(now == holder, errors.New(now)) })
	_, now, _ := report()
	assert.NotEqual(t, "n3", now, "who let it run out stands behind those that did not")
}

// load has duties taken and given back as fast as it goes, by so many at once, until stop; it gives all tokens.
func (d *dutyRig) load(at, many int, stop <-chan struct{}) (tokens []uint64) {
	keys := need.Of(ParseKeys(d.keys[-1]))(d)
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range many {
		all.Go(func() {
			name := fmt.Sprint("load-", i)
			for boot := uint64(1); ; boot++ {
				h := lease.NewHolder(name, boot, "", 0)
				h.Register(name, 5, BootTime())
				for gave := false; !gave || !h.AllReleased(); {
					select {
					case <-stop:
						return
					default:
					}
					turn, ask, _ := h.Tick(BootTime())
					if !ask {
						time.Sleep(time.Millisecond)
						continue
					}
					ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
					t, err := AskTake(ctx, d.Processes[at].Fleet, keys, turn)
					cancel()
					if err != nil {
						continue
					}
					h.HandleAnswer(BootTime(), t.Number, t.Leases)
					if token, ok := h.HeldToken(name, BootTime()); ok {
						mu.Lock()
						tokens = append(tokens, token)
						mu.Unlock()
						h.Leave(BootTime())
						gave = true
					}
				}
			}
		})
	}
	all.Wait()
	return tokens
}

// A voter comes with an empty disk while duties are given and given back all the time: it is taken in, and no token comes twice.
func TestAVoterIsReplacedUnderLoad(t *testing.T) {
	d := duty(t, 4, 3)
	before, stop, loaded := need.Of(d.council())(t), make(chan struct{}), make(chan []uint64)
	go func() { loaded <- d.load(3, 8, stop) }()
	l := d.leader()
	d.Play(processes.Schedule{{What: processes.Wipe, A: []int{l}, For: 1}})
	d.hears("another disk has its place", func(s heard) error {
		return processes.When(len(s.Council.Voters) != 3 || slices.Equal(s.Council.Voters, before.Council.Voters), fmt.Errorf("%v", s.Council.Voters))
	})
	d.Processes[(l+1)%3].Kill() // the new one is needed now
	d.hold(3)
	d.acts(0)
	close(stop)
	tokens := <-loaded
	slices.Sort(tokens)
	assert.Len(t, slices.Compact(slices.Clone(tokens)), len(tokens), "no token twice")
	assert.Greater(t, len(tokens), 50)
}

// Grants a second, for figures: not in CI.
func TestGrantsASecond(t *testing.T) {
	if os.Getenv("ELDERWALL_HANDS") == "" {
		t.Skip("ELDERWALL_HANDS says that figures are taken")
	}
	for _, vote := range []int{3, 5} {
		for _, many := range []int{1, 8, 64} {
			t.Run(fmt.Sprint(vote, " voters, ", many), func(t *testing.T) {
				d, stop := duty(t, vote+1, vote), make(chan struct{})
				time.AfterFunc(5*time.Second, func() { close(stop) })
				t.Logf("%d voters, %d at once: %.0f grants a second", vote, many, float64(len(d.load(vote, many, stop)))/5)
			})
		}
	}
}

// Many duties over many dispatchers, a tenth of which is started anew at a time: all are held, spread evenly, and just theirs move.
// ELDERWALL_MANY_DUTIES says how many of both, and has every tenth started anew.
func TestManyDuties(t *testing.T) {
	n, many, rounds := 10, 100, 2
	if _, err := fmt.Sscanf(os.Getenv("ELDERWALL_MANY_DUTIES"), "%d,%d", &many, &n); err == nil {
		rounds = 10
	}
	d := duty(t, n, 3, func(m *memberRig) {
		var stands strings.Builder
		for i := range many {
			fmt.Fprintf(&stands, `"d%d": "3s", `, i)
		}
		for i := range n {
			m.more[i] = strings.Replace(m.more[i], `report: "1s"}`, stands.String()+"}", 1)
		}
	})
	holders := func() map[string]string {
		by := map[string]string{}
		d.Until(2*soon, "all are held", func() error {
			s, err := d.council()
			if err != nil {
				return err
			}
			clear(by)
			for _, o := range s.Duties {
				if o.Token != 0 {
					by[o.Name] = o.Holder.Name
				}
			}
			return processes.When(len(by) != many, fmt.Errorf("%d", len(by)))
		})
		return by
	}
	even := float64(many) / float64(n)
	spread := func() (by map[string]string, most int) {
		d.Until(2*soon, "they are spread", func() error {
			by = holders()
			load := map[string]int{}
			most = 0
			for _, holder := range by {
				load[holder]++
				most = max(most, load[holder])
			}
			return processes.When(float64(most) > math.Ceil(1.5*even), fmt.Errorf("%d at one", most))
		})
		return by, most
	}
	settle := time.Now()
	holders()
	held := time.Since(settle).Seconds()
	was, most := spread()
	t.Logf("%d duties are held after %.1f s, and spread after %.1f s, %d at one at most", many, held, time.Since(settle).Seconds(), most)
	before, cpu, at := d.sums(), d.cpu(), time.Now()
	time.Sleep(3 * time.Second)
	bytes, spent, took := float64(d.sums()-before), d.cpu(), time.Since(at).Seconds()
	for i := range spent {
		spent[i] = (spent[i] - cpu[i]) / took
	}
	t.Logf("all of them: %.1f kB/s; processor, of a core: %.3f at most, %.3f in all", bytes/1e3/took, slices.Max(spent), sum(spent))
	for round := range rounds {
		tenth := map[string]bool{}
		var all sync.WaitGroup
		for i := round; i < n; i += 10 {
			tenth[d.Processes[i].Name] = true
			all.Go(func() { d.Processes[i].End(); d.Processes[i].Start() })
		}
		all.Wait()
		began := time.Now()
		holders()
		held := time.Since(began).Seconds()
		now, most := spread()
		moved, others := 0, 0
		for name, holder := range now {
			if holder != was[name] {
				moved++
				if !tenth[was[name]] {
					others++
				}
			}
		}
		t.Logf("a tenth started anew: %d moved, %d of them from others, held after %.1f s, at most %d at one of %.1f on average", moved, others, held, most, even)
		assert.LessOrEqual(t, float64(others), float64(many)/20, "just theirs move, and few of what was on its way")
		was = now
		d.until("they are back", d.all(), "whole", d.all())
	}
}

func sum(all []float64) (s float64) {
	for _, x := range all {
		s += x
	}
	return s
}

// sums is the bytes that all have sent.
func (m *memberRig) sums() (bytes int64) {
	for i := range m.Processes {
		if s, err := m.see(i); err == nil {
			bytes += s.Counts["bytes_out"]
		}
	}
	return bytes
}

// cpu is the processor time of each, in seconds.
func (m *memberRig) cpu() (all []float64) {
	for _, p := range m.Processes {
		all = append(all, p.CPU())
	}
	return all
}

// Two of five voters are gone: all goes on. Three: nothing is granted or renewed, and who holds stops by itself. Back: it goes on.
func TestVotersGoAndComeBack(t *testing.T) {
	d := duty(t, 6, 5)
	d.hold(5)
	d.hold(5)
	first := d.acts(0)
	d.kill(0, 1)
	time.Sleep(2 * leaseTime)
	d.acts(first.token - 1)
	d.Processes[2].Kill()
	d.still()
	d.serve(3, 4, 5)
	stood := d.taker.last()
	d.startAgain(0, 1, 2)
	d.vote(5)
	d.hold(5)
	d.acts(stood.token)
	d.taker.check(t)
}

func TestAllAreKilledAndStartWithTheirDisks(t *testing.T) {
	d := duty(t, 3, 3)
	d.hold(0)
	first := d.acts(0)
	d.kill(d.all()...)
	d.still()
	d.Start()
	d.vote(3)
	d.hold(1)
	d.acts(first.token)
	d.taker.check(t)
}

func copyFile(t testing.TB, from, to string) {
	t.Helper()
	require.NoError(t, os.WriteFile(to, need.Of(os.ReadFile(from))(t), 0o600))
}

// A voter comes back with an empty disk, with an old copy of it, or with a torn one: it never votes as if it remembered.
func TestAVotersDisk(t *testing.T) {
	for name, spoil := range map[string]func(t *testing.T, log, copied string){
		"empty":       func(t *testing.T, log, _ string) { require.NoError(t, os.Remove(log)) },
		"an old copy": func(t *testing.T, log, copied string) { copyFile(t, copied, log) },
		"torn": func(t *testing.T, log, _ string) {
			raw := need.Of(os.ReadFile(log))(t)
			clear(raw[2*os.Getpagesize():]) // all but what tells where the rest stands
			require.NoError(t, os.WriteFile(log, raw, 0o600))
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := duty(t, 3, 3)
			log, copied := filepath.Join(d.Processes[2].Dir, "duties", logFile), filepath.Join(d.Dir, "copy.db")
			d.Processes[2].Kill()
			copyFile(t, log, copied)
			for range 3 { // later eras of the disk, that the log has heard of
				d.Processes[2].Start()
				d.says("it votes", 2, "duties: votes", 0)
				time.Sleep(2 * time.Second)
				d.Processes[2].Kill()
			}
			before := need.Of(d.council())(t)
			spoil(t, log, copied)
			d.Processes[2].Start()
			if name == "torn" {
				d.says("it is told", 2, "duties: the voter's disk can't be used", 0)
				d.serve(2)
				d.Processes[2].Kill()
				require.NoError(t, os.Remove(log)) // what the runbook says
				d.Processes[2].Start()
			}
			d.hears("another disk has its place", func(s heard) error {
				v := s.Council
				fresh := slices.DeleteFunc(slices.Clone(v.Voters), func(id uint64) bool { return slices.Contains(before.Council.Voters, id) })
				return processes.When(len(v.Voters) != 3 || len(v.Learners) > 0 || len(fresh) != 1, fmt.Errorf("%v %v, of which %v are new", v.Voters, v.Learners, fresh))
			})
			d.hold(2)
			d.acts(0)
			d.taker.check(t)
		})
	}
}

// Two of three voters are lost for good: the third begins a new log, tokens go on far above, and an old one that comes back votes no more.
func TestTheMajorityIsLost(t *testing.T) {
	d := duty(t, 4, 3)
	d.hold(3)
	first := d.acts(0)
	d.kill(0, 1)
	d.still()
	out, err := d.run(2, "recover")
	assert.Error(t, err, "it wants to be sure: %s", out)
	d.does(2, "recover", "--sure")
	d.hold(3)
	second := d.acts(first.token)
	assert.Greater(t, second.token, uint64(1)<<32)
	d.startAgain(0, 1)
	d.vote(3)
	d.acts(second.token - 1)
	d.taker.check(t)
}

// One report a turn, by whoever has the duty: no number twice, and members that are gone are named.
func TestReports(t *testing.T) {
	d := duty(t, 4, 3)
	type line struct {
		number  uint64
		by      int
		missing string
	}
	reports := func() (all []line) {
		for i, p := range d.Processes {
			for _, l := range p.Said("fleet report") {
				n, _ := l.Fields["number"].(float64)
				all = append(all, line{uint64(n), i, fmt.Sprint(l.Fields["missingNames"])})
			}
		}
		return all
	}
	wait := func(n int) []line {
		d.Helper()
		d.Until(soon, "reports", func() error { got := len(reports()); return processes.When(got < n, fmt.Errorf("%d", got)) })
		return reports()
	}
	all := wait(3)
	holder := all[len(all)-1].by
	d.Processes[holder].Kill()
	all = wait(len(all) + 3)
	seen, by, named := map[uint64]int{}, map[int]bool{}, false
	for _, l := range all {
		seen[l.number]++
		by[l.by] = true
		named = named || strings.Contains(l.missing, d.Processes[holder].Name)
	}
	for number, times := range seen {
		assert.Equal(t, 1, times, "report %d", number)
	}
	assert.GreaterOrEqual(t, len(by), 2, "another went on")
	assert.True(t, named, "who is missing is told as missing")
}

// A duty is handed over to a named one, and SIGTERM gives back what a dispatcher has.
func TestHandedOverAndGivenBack(t *testing.T) {
	d := duty(t, 4, 3)
	holder := func() string { s, _ := d.council(); return s.of(Report).Holder.Name }
	d.Until(soon, "somebody reports", func() error { return processes.When(holder() == "", errors.New("nobody")) })
	was := holder()
	to := map[bool]string{true: "n1", false: "n3"}[was == "n3"]
	d.does(0, "hand", Report, to)
	d.Until(soon, "it is handed over", func() error { h := holder(); return processes.When(h != to, errors.New(h)) })
	d.endOf(to)
	d.Until(soon, "another has it", func() error { h := holder(); return processes.When(h == to || h == "", errors.New(h)) })
}

// Schedules of faults that are drawn from seeds, with three that stand: no act out of the order of tokens, and once all is well the duty is held.
func TestDutiesThroughDrawnFaults(t *testing.T) {
	play := func(t *testing.T, s processes.Schedule) {
		d := duty(t, 5, 5)
		d.hold(0)
		d.acts(0)
		stop := make(chan struct{})
		var all sync.WaitGroup
		all.Go(func() { // who stands comes and goes
			chance := rand.New(rand.NewPCG(1, 1))
			for {
				h := d.hold(chance.IntN(5))
				select {
				case <-h.ended:
				case <-time.After(time.Duration(chance.Int64N(int64(4 * leaseTime)))):
					_ = h.cmd.Process.Kill()
				case <-stop:
					return
				}
			}
		})
		d.Play(s)
		close(stop)
		all.Wait()
		d.vote(5)
		d.hold(1)
		d.acts(d.taker.last().token - 1) // by it, or by one that holds it still
		d.taker.check(t)
	}
	drawn(t, 100, play)
}

// drawn plays the schedule that is given, or some that are drawn from seeds; one that fails is told so that it can be played again.
func drawn(t *testing.T, from int, play func(t *testing.T, s processes.Schedule)) {
	drawnOf(t, from, 5, 15, play)
}

func drawnOf(t *testing.T, from, n int, seconds float64, play func(t *testing.T, s processes.Schedule)) {
	if *schedule != "" {
		s := need.Of(processes.Parse(*schedule))(t)
		play(t, s)
		return
	}
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := processes.Draw(uint64(from+seed), n, 6, seconds)
			t.Cleanup(func() {
				if t.Failed() {
					t.Logf("play it again: go test ./internal/cluster -run '%s' -schedule '%s'", strings.Split(t.Name(), "/")[0], s)
				}
			})
			play(t, s)
		})
	}
}

// How long it takes to hand a duty on, for figures: not in CI. ELDERWALL_HANDS says how often each, of ten duties at a time.
func TestHandingOn(t *testing.T) {
	rounds, each := 0, 10
	if _, err := fmt.Sscan(os.Getenv("ELDERWALL_HANDS"), &rounds); err != nil {
		t.Skip("ELDERWALL_HANDS says how often")
	}
	ways := []string{"killed", "stopped", "cut off", "SIGTERM"}
	leases := []time.Duration{500 * time.Millisecond, 3 * time.Second, 10 * time.Second}
	var mu sync.Mutex
	took := map[string][]float64{} // by way, part and lease
	t.Run("all", func(t *testing.T) {
		for _, lease := range leases {
			for _, way := range ways {
				t.Run(fmt.Sprint(lease, " ", way), func(t *testing.T) {
					d := duty(t, 6, 5)
					d.lease = lease
					cut := processes.Fault{What: processes.Cut, A: []int{5}}
					name := func(i int) string { return fmt.Sprint("job-", i) }
					var rest map[string]float64
					stand := func(waiting int) {
						d.Until(soon, "all are held, and others stand", func() error {
							s, err := d.council()
							n := 0
							for _, o := range s.Duties {
								if strings.HasPrefix(o.Name, "job-") && o.Token != 0 && len(o.Waiting) >= waiting {
									n++
								}
							}
							rest = s.Rest
							return processes.When(n < each, fmt.Errorf("%d, %w", n, err))
						})
					}
					tokens := map[string]uint64{}
					next := func() (first map[string]time.Time) {
						d.Until(soon, "all are handed on", func() error {
							first = map[string]time.Time{}
							d.taker.mu.Lock()
							defer d.taker.mu.Unlock()
							for _, a := range slices.Backward(d.taker.acts) {
								if a.token > tokens[a.duty] {
									first[a.duty] = a.at
								}
							}
							return processes.When(len(first) < each, fmt.Errorf("%d", len(first)))
						})
						d.taker.mu.Lock()
						defer d.taker.mu.Unlock()
						maps.Copy(tokens, d.taker.highest)
						return first
					}
					holds := map[int]*hold{}
					for i := range each {
						holds[i] = d.holdOf(name(i), 5)
					}
					next()
					for range rounds {
						then := map[int]*hold{}
						for i := range each {
							then[i] = d.holdOf(name(i), i%5)
						}
						stand(1)
						at := time.Now()
						if way == "cut off" {
							d.Begin(cut)
						} else {
							s := map[string]syscall.Signal{"killed": syscall.SIGKILL, "stopped": syscall.SIGSTOP, "SIGTERM": syscall.SIGTERM}[way]
							for _, h := range holds { // a command ends with what was killed
								_ = h.cmd.Process.Signal(s)
							}
						}
						first := next()
						mu.Lock()
						for duty, began := range first {
							key := fmt.Sprint(way, " ", lease)
							took[key] = append(took[key], began.Sub(at).Seconds())
							took["least "+key] = append(took["least "+key], rest[duty])
						}
						mu.Unlock()
						d.End(cut)
						for _, h := range holds {
							_ = h.cmd.Process.Signal(syscall.SIGCONT)
							if way == "stopped" || way == "killed" {
								_ = h.cmd.Process.Kill()
							}
							<-h.ended
						}
						for i := range each {
							holds[i] = d.holdOf(name(i), 5)
						}
						stand(1)
						for _, h := range then {
							_ = h.cmd.Process.Signal(syscall.SIGTERM)
							<-h.ended
						}
						next()
					}
					d.taker.check(t)
				})
			}
		}
	})
	at := func(l []float64, share float64) float64 { return l[min(len(l)-1, int(share*float64(len(l))))] }
	var lines []chart.Series
	for _, way := range ways {
		half, most := chart.Series{Name: way + ", half"}, chart.Series{Name: way + ", 99%"}
		for _, lease := range leases {
			if len(took[fmt.Sprint(way, " ", lease)]) == 0 {
				continue
			}
			key := fmt.Sprint(way, " ", lease)
			l, least := took[key], took["least "+key]
			slices.Sort(l)
			slices.Sort(least)
			t.Logf("| %v | %s | %d | %.2f | %.2f | %.2f | %.2f |", lease, way, len(l), at(l, 0.5), at(l, 0.99), at(least, 0.5), at(least, 0.99))
			half.X, half.Y = append(half.X, lease.Seconds()), append(half.Y, at(l, 0.5))
			most.X, most.Y = append(most.X, lease.Seconds()), append(most.Y, at(l, 0.99))
		}
		if len(half.X) > 0 {
			lines = append(lines, half, most)
		}
	}
	if to := os.Getenv("ELDERWALL_CHART"); to != "" {
		require.NoError(t, chart.Lines(to, "Time until another acts under a duty", chart.Axis{Name: "lease, s", Log: true}, chart.Axis{Name: "s", Log: true}, lines))
	}
}
