package fleet

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

	"elderwall/internal/standin/processes"
)

const (
	actorEnv  = "ELDERWALL_TEST_ACTOR" // this test program is a command that acts, at the address
	deafEnv   = "ELDERWALL_TEST_DEAF"  // and ignores TERM
	leaseTime = 1 * time.Second
	job       = "job"
)

// actor acts under a duty for as long as it runs, without asking anybody: whatever takes its acts looks at the token.
func actor() {
	if os.Getenv(deafEnv) != "" {
		signal.Ignore(syscall.SIGTERM)
	}
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
	acts     []taken
	refused  int
}

type taken struct {
	at    time.Time
	duty  string
	token uint64
	pid   int
}

func newTaker(t *testing.T) *taker {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	k := &taker{listener: l, highest: map[string]uint64{}}
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
		} else {
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
func duty(t *testing.T, n, vote int) *dutyRig {
	d := &dutyRig{taker: newTaker(t)}
	d.memberRig = start(t, n, func(m *memberRig) {
		for i := range n {
			m.more[i] = fmt.Sprintf(`duties: {voter: %v, folder: "duties", stands: {report: "1s"}, report: "1s"}`, i < vote)
		}
	})
	d.Until(soon, "the log begins", func() error {
		out, err := d.run(0, "voters", "found")
		if err != nil && !strings.Contains(out, "already") {
			return fmt.Errorf("%w: %s", err, out)
		}
		return nil
	})
	d.vote(vote)
	return d
}

// vote waits until so many vote.
func (d *dutyRig) vote(n int) {
	d.Helper()
	d.Until(soon, fmt.Sprint(n, " vote"), func() error {
		s, err := d.council()
		if err == nil && len(s.Council.Voters) != n {
			err = fmt.Errorf("%d", len(s.Council.Voters))
		}
		return err
	})
}

// run runs a command of the program's command line against a dispatcher.
func (d *dutyRig) run(at int, words ...string) (string, error) {
	key := filepath.Join(d.Dir, "fleet.key")
	_ = os.WriteFile(key, []byte(d.keys[-1]), 0o600)
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	words = append([]string{"fleet"}, append(words, "--at", d.Processes[at].Fleet, "--key", key)...)
	out, err := exec.CommandContext(ctx, d.Binary, words...).CombinedOutput()
	return string(out), err
}

// heard is what the command line says of duties and voters, in this test's own words.
type heard struct {
	Duties []struct {
		Name              string
		Token, Mark, Told uint64
		Holder            struct{ Name string }
	}
	Council struct {
		Leader   uint64
		Term     uint64
		Voters   []uint64
		Learners []uint64
	}
	Seats []struct {
		ID   uint64
		Name string
	}
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

// leader is the process that leads.
func (d *dutyRig) leader() int {
	d.Helper()
	leader := -1
	d.Until(soon, "somebody leads", func() error {
		s, err := d.council()
		if err != nil {
			return err
		}
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
	cmd   *exec.Cmd
	out   bytes.Buffer
	ended chan struct{}
}

// hold starts one that stands at a dispatcher.
func (d *dutyRig) hold(at int, env ...string) *hold {
	key := filepath.Join(d.Dir, "fleet.key")
	h := &hold{rig: d, ended: make(chan struct{})}
	h.cmd = exec.Command(d.Binary, "fleet", "hold", job, "--at", d.Processes[at].Fleet, "--key", key, "--lease", cmp.Or(d.lease, leaseTime).String(), "--", os.Args[0])
	h.cmd.Env = append(append(os.Environ(), actorEnv+"="+d.taker.listener.Addr().String()), env...)
	h.cmd.Stderr, h.cmd.Stdout = io.Discard, io.Discard
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(d, h.cmd.Start())
	go func() { _ = h.cmd.Wait(); close(h.ended) }()
	d.Cleanup(func() {
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.ended
	})
	return h
}

// acts waits until acts are taken with a token above one, and gives it.
func (d *dutyRig) acts(above uint64) taken {
	d.Helper()
	var a taken
	d.Until(soon, fmt.Sprint("acts above ", above), func() error {
		if a = d.taker.last(); a.token <= above || time.Since(a.at) > leaseTime/2 {
			return fmt.Errorf("%+v", a)
		}
		return nil
	})
	return a
}

// still waits until no act comes for some time.
func (d *dutyRig) still() {
	d.Helper()
	d.Until(soon, "no acts come", func() error {
		if since := time.Since(d.taker.last().at); since < 2*leaseTime {
			return fmt.Errorf("%v ago", since)
		}
		return nil
	})
}

func TestAHolderIsStoppedAndKilledAndEnds(t *testing.T) {
	d := duty(t, 3, 3)
	one := d.hold(0)
	first := d.acts(0)
	two := d.hold(1)
	_ = one.cmd.Process.Signal(syscall.SIGSTOP) // its command goes on, and the token speaks against it
	second := d.acts(first.token)
	_ = one.cmd.Process.Signal(syscall.SIGCONT)
	<-one.ended
	assert.Equal(t, lostStatus, one.cmd.ProcessState.ExitCode(), "it finds its time gone, and ends its command")
	three := d.hold(2)
	_ = two.cmd.Process.Kill()
	third := d.acts(second.token)
	_ = three.cmd.Process.Signal(syscall.SIGTERM)
	<-three.ended
	four := d.hold(0)
	at := time.Now()
	d.acts(third.token)
	assert.Less(t, time.Since(at), 8*leaseTime, "given back, not waited for")
	_ = four
	d.taker.check(t)
	assert.Positive(t, d.taker.refused, "acts of the stopped one's command came late")
}

const lostStatus = 75

func TestACommandThatIgnoresTERM(t *testing.T) {
	d := duty(t, 3, 3)
	one := d.hold(2, deafEnv+"=1")
	first := d.acts(0)
	for i := range 3 { // nobody can renew it any more
		d.Processes[i].Signal(syscall.SIGSTOP)
	}
	<-one.ended
	assert.Less(t, time.Since(d.taker.last().at), 2*leaseTime)
	assert.Less(t, d.taker.last().at.Sub(first.at), 3*leaseTime, "ended before its lease was over")
	for i := range 3 {
		d.Processes[i].Signal(syscall.SIGCONT)
	}
	d.hold(1)
	d.acts(first.token)
	d.taker.check(t)
}

func TestTheLeaderFails(t *testing.T) {
	for name, fail := range map[string]func(d *dutyRig, leader int) (mend func()){
		"killed": func(d *dutyRig, l int) func() { d.Processes[l].Kill(); return d.Processes[l].Start },
		"stopped": func(d *dutyRig, l int) func() {
			d.Processes[l].Signal(syscall.SIGSTOP)
			return func() { d.Processes[l].Signal(syscall.SIGCONT) }
		},
		"cut off": func(d *dutyRig, l int) func() {
			f := processes.Fault{What: processes.Cut, A: []int{l}}
			d.Begin(f)
			return func() { d.End(f) }
		},
		"not heard by the others": func(d *dutyRig, l int) func() {
			f := processes.Fault{What: processes.CutOff, A: []int{l}, B: d.all(l)}
			d.Begin(f)
			return func() { d.End(f) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := duty(t, 5, 5)
			l := d.leader()
			holds := []*hold{d.hold((l + 1) % 5), d.hold((l + 2) % 5)}
			first := d.acts(0)
			mend := fail(d, l)
			time.Sleep(3 * leaseTime)
			d.acts(first.token - 1) // by whoever has it now
			d.serve(d.all(l)...)
			mend()
			d.vote(5)
			d.acts(first.token - 1)
			d.taker.check(t)
			_ = holds
		})
	}
}

// Two of five voters are gone: all goes on. Three: nothing is granted or renewed, and who holds stops by itself. Back: it goes on.
func TestVotersGoAndComeBack(t *testing.T) {
	d := duty(t, 6, 5)
	one, two := d.hold(5), d.hold(5)
	first := d.acts(0)
	d.Processes[0].Kill()
	d.Processes[1].Kill()
	time.Sleep(2 * leaseTime)
	d.acts(first.token - 1)
	d.Processes[2].Kill()
	d.still()
	d.serve(3, 4, 5)
	stood := d.taker.last()
	for i := range 3 {
		d.Processes[i].Start()
	}
	d.vote(5)
	d.hold(5)
	d.acts(stood.token)
	d.taker.check(t)
	_, _ = one, two
}

func TestAllAreKilledAndStartWithTheirDisks(t *testing.T) {
	d := duty(t, 3, 3)
	d.hold(0)
	first := d.acts(0)
	for _, p := range d.Processes {
		p.Kill()
	}
	d.still()
	d.Start()
	d.vote(3)
	d.hold(1)
	d.acts(first.token)
	d.taker.check(t)
}

// A voter comes back with an empty disk, with an old copy of it, or with a torn one: it never votes as if it remembered.
func TestAVotersDisk(t *testing.T) {
	for name, spoil := range map[string]func(t *testing.T, log, copied string){
		"empty": func(t *testing.T, log, _ string) { require.NoError(t, os.Remove(log)) },
		"an old copy": func(t *testing.T, log, copied string) {
			raw, err := os.ReadFile(copied)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(log, raw, 0o600))
		},
		"torn": func(t *testing.T, log, _ string) {
			raw, err := os.ReadFile(log)
			require.NoError(t, err)
			clear(raw[2*os.Getpagesize():]) // all but what tells where the rest stands
			require.NoError(t, os.WriteFile(log, raw, 0o600))
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := duty(t, 3, 3)
			log := filepath.Join(d.Processes[2].Dir, "duties", logFile)
			copied := filepath.Join(d.Dir, "copy.db")
			d.Processes[2].Kill()
			raw, err := os.ReadFile(log)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(copied, raw, 0o600))
			for range 3 { // later eras of the disk, that the log has heard of
				d.Processes[2].Start()
				d.Until(soon, "it votes", func() error {
					if len(d.Processes[2].Said("duties: votes")) == 0 {
						return errors.New("not yet")
					}
					return nil
				})
				time.Sleep(2 * time.Second)
				d.Processes[2].Kill()
			}
			before, err := d.council()
			require.NoError(t, err)
			spoil(t, log, copied)
			d.Processes[2].Start()
			if name == "torn" {
				d.Until(soon, "it is told", func() error {
					if len(d.Processes[2].Said("duties: the voter's disk can't be used")) == 0 {
						return errors.New("not yet")
					}
					return nil
				})
				d.serve(2)
				d.Processes[2].Kill()
				require.NoError(t, os.Remove(log)) // what the runbook says
				d.Processes[2].Start()
			}
			d.Until(soon, "another disk has its place", func() error {
				s, err := d.council()
				if err != nil {
					return err
				}
				if len(s.Council.Voters) != 3 || len(s.Council.Learners) > 0 {
					return fmt.Errorf("%v %v", s.Council.Voters, s.Council.Learners)
				}
				same := 0
				for _, id := range s.Council.Voters {
					for _, was := range before.Council.Voters {
						if id == was {
							same++
						}
					}
				}
				if same != 2 {
					return fmt.Errorf("%d are as before", same)
				}
				return nil
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
	d.Processes[0].Kill()
	d.Processes[1].Kill()
	d.still()
	out, err := d.run(2, "recover")
	assert.Error(t, err, "it wants to be sure: %s", out)
	out, err = d.run(2, "recover", "--sure")
	require.NoError(t, err, out)
	d.hold(3)
	second := d.acts(first.token)
	assert.Greater(t, second.token, uint64(1)<<32)
	d.Processes[0].Start()
	d.Processes[1].Start()
	d.vote(3)
	d.acts(second.token - 1)
	d.taker.check(t)
}

// One report a turn, by whoever has the duty: no number twice, and members that are gone are named.
func TestReports(t *testing.T) {
	d := duty(t, 4, 3)
	type line struct {
		number uint64
		token  uint64
		by     int
	}
	reports := func() (all []line) {
		for i, p := range d.Processes {
			for _, l := range p.Said("fleet report") {
				n, _ := l.Fields["number"].(float64)
				token, _ := l.Fields["token"].(float64)
				all = append(all, line{uint64(n), uint64(token), i})
			}
		}
		return all
	}
	wait := func(n int) []line {
		d.Helper()
		d.Until(soon, "reports", func() error {
			if got := len(reports()); got < n {
				return fmt.Errorf("%d", got)
			}
			return nil
		})
		return reports()
	}
	all := wait(3)
	holder := all[len(all)-1].by
	d.Processes[holder].Kill()
	all = wait(len(all) + 3)
	seen, by := map[uint64]int{}, map[int]bool{}
	for _, l := range all {
		seen[l.number]++
		by[l.by] = true
	}
	for number, times := range seen {
		assert.Equal(t, 1, times, "report %d", number)
	}
	assert.GreaterOrEqual(t, len(by), 2, "another went on")
	named := false
	for _, p := range d.Processes {
		for _, l := range p.Said("fleet report") {
			named = named || strings.Contains(fmt.Sprint(l.Fields["missingNames"]), d.Processes[holder].Name)
		}
	}
	assert.True(t, named, "who is missing is told as missing")
}

// A duty is handed over to a named one, and SIGTERM gives back what a dispatcher has.
func TestHandedOverAndGivenBack(t *testing.T) {
	d := duty(t, 4, 3)
	holder := func() string {
		s, err := d.council()
		if err != nil {
			return ""
		}
		for _, o := range s.Duties {
			if o.Name == Report {
				return o.Holder.Name
			}
		}
		return ""
	}
	d.Until(soon, "somebody reports", func() error {
		if holder() == "" {
			return errors.New("nobody")
		}
		return nil
	})
	was := holder()
	to := map[bool]string{true: "n1", false: "n3"}[was == "n3"]
	out, err := d.run(0, "hand", Report, to)
	require.NoError(t, err, out)
	d.Until(soon, "it is handed over", func() error {
		if h := holder(); h != to {
			return errors.New(h)
		}
		return nil
	})
	for _, p := range d.Processes {
		if p.Name == to {
			p.End()
		}
	}
	d.Until(soon, "another has it", func() error {
		if h := holder(); h == to || h == "" {
			return errors.New(h)
		}
		return nil
	})
}

// Schedules of faults that are drawn from seeds, with three that stand: no act out of the order of tokens, and once all is well the duty is held.
func TestDutiesThroughDrawnFaults(t *testing.T) {
	play := func(t *testing.T, s processes.Schedule) {
		d := duty(t, 5, 5)
		t.Cleanup(func() {
			if t.Failed() {
				t.Logf("play it again: go test ./internal/fleet -run TestDutiesThroughDrawnFaults -schedule '%s'", s)
			}
		})
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
	if *schedule != "" {
		s, err := processes.Parse(*schedule)
		require.NoError(t, err)
		play(t, s)
		return
	}
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { play(t, processes.Draw(uint64(100+seed), 5, 6, 15)) })
	}
}

// How long it takes to hand a duty on, for figures: not in CI. ELDERWALL_HANDS says how often each.
func TestHandingOn(t *testing.T) {
	n := 0
	if _, err := fmt.Sscan(os.Getenv("ELDERWALL_HANDS"), &n); err != nil {
		t.Skip("ELDERWALL_HANDS says how often")
	}
	for _, lease := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 10 * time.Second} {
		for name, end := range map[string]func(h *hold){
			"killed":  func(h *hold) { _ = syscall.Kill(-h.pid(), syscall.SIGKILL); _ = h.cmd.Process.Kill() },
			"stopped": func(h *hold) { _ = h.cmd.Process.Signal(syscall.SIGSTOP) },
			"SIGTERM": func(h *hold) { _ = h.cmd.Process.Signal(syscall.SIGTERM) },
		} {
			t.Run(fmt.Sprint(lease, " ", name), func(t *testing.T) {
				d := duty(t, 3, 3)
				d.lease = lease
				holds := map[int]*hold{0: d.hold(0)}
				last := d.acts(0)
				var gaps []float64
				for i := 1; i <= n; i++ {
					holds[i] = d.hold(i % 3)
					time.Sleep(lease/2 + time.Second)
					at := time.Now()
					end(holds[i-1])
					next := d.acts(last.token)
					d.taker.mu.Lock()
					for _, a := range d.taker.acts {
						if a.token == next.token {
							gaps = append(gaps, a.at.Sub(at).Seconds())
							break
						}
					}
					d.taker.mu.Unlock()
					last = next
				}
				slices.Sort(gaps)
				t.Logf("handed on after %.2f s (half), %.2f s (most) of %d", gaps[len(gaps)/2], gaps[len(gaps)-1], len(gaps))
				d.taker.check(t)
			})
		}
	}
}

// pid is the process that acts, by what was taken last.
func (h *hold) pid() int { return h.rig.taker.last().pid }
