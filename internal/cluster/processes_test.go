package cluster

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/contract"
	"elderwall/internal/standin/need"
	"elderwall/internal/standin/processes"
)

func TestMain(m *testing.M) {
	if os.Getenv(actorEnv) != "" {
		actor()
	}
	contract.Child(stores...)
	flag.Parse()
	_ = flag.Set("test.parallel", "24") // processes wait for each other most of the time
	code := m.Run()
	processes.Clean()
	os.Exit(code)
}

const (
	pace  = 0.2              // s between probes, of the processes here
	soon  = 40 * time.Second // for what takes some seconds on a machine that does nothing else
	after = 100              // probes: what was to come by then has come

	askedTime = 2 * time.Second // for an answer of one process
)

// members is a rig of processes that know each other.
type memberRig struct {
	*processes.Rig
	keys map[int]string // key files of some; all others have the first
	more map[int]string // lines for the fleet section of some
	last func() string  // a line for that of all
	ids  atomic.Int64
}

// start starts so many processes; the first three are those that all know to begin with.
func start(t *testing.T, n int, change ...func(*memberRig)) *memberRig {
	t.Parallel()
	m := &memberRig{keys: map[int]string{-1: NewKey()}, more: map[int]string{}}
	m.Rig = processes.New(t, processes.Options{N: n, Seed: 1, Binary: processes.Build(t, "../..", ""), Operator: m.operator})
	for _, c := range change {
		c(m)
	}
	m.Start()
	m.whole()
	return m
}

func (m *memberRig) operator(p *processes.Process) string {
	keys := m.keys[-1]
	if k, ok := m.keys[p.Index]; ok {
		keys = k
	}
	require.NoError(m, os.WriteFile(filepath.Join(p.Dir, "fleet.key"), []byte(keys), 0o600))
	var peers []string
	for _, o := range m.Processes[:min(3, len(m.Processes))] {
		peers = append(peers, o.Fleet)
	}
	quoted, _ := json.Marshal(peers)
	reach, _ := json.Marshal(p.Reach)
	last := ""
	if m.last != nil {
		last = m.last()
	}
	return fmt.Sprintf(`{fleet: {listen: %q, key: "fleet.key", remember: "fleet.json", zone: "z%d", pace: "%gs", peers: %s, reach: %s, %s%s}}`, p.Fleet, p.Index%2, pace, quoted, reach, m.more[p.Index], last)
}

// sight is what one process says of the fleet, in words of this test's own.
type sight struct {
	Standing, Level string
	View            struct {
		Seen, Of, Differs int
		Doubt             bool
	}
	Self    struct{ Name, Address string }
	Members []seenMember
	Counts  map[string]int64
}

type seenMember struct{ Name, Address, State string }

// asked asks a process by the key that it has; what is asked goes past the relays.
func (m *memberRig) asked(i int, what string) (Told, error) {
	keys := m.keys[-1]
	if k, ok := m.keys[i]; ok {
		keys = k
	}
	ctx, cancel := context.WithTimeout(context.Background(), askedTime)
	defer cancel()
	return Ask(ctx, m.Processes[i].Fleet, need.Of(ParseKeys(keys))(m), what, 0)
}

// again kills some and starts them.
func (m *memberRig) again(who ...int) { m.kill(who...); m.startAgain(who...) }

// see is what a process says of the fleet.
func (m *memberRig) see(i int) (s sight, err error) {
	told, err := m.asked(i, AskMembers)
	if err != nil {
		return s, err
	}
	raw, err := json.Marshal(told)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(raw, &s)
}

// sees waits until a condition holds of what each of some processes says.
func (m *memberRig) sees(most time.Duration, what string, holds func(sight) bool, who ...int) {
	m.Helper()
	m.Until(most, what, func() error {
		for _, i := range who {
			if s, err := m.see(i); err != nil || !holds(s) {
				return fmt.Errorf("n%d: %s, %d of %d: %w", i, s.Level, s.View.Seen, s.View.Of, err)
			}
		}
		return nil
	})
}

// member is what is said of one; of one that is not known it is unknown.
func (s *sight) member(name string) seenMember {
	if at := slices.IndexFunc(s.Members, func(o seenMember) bool { return o.Name == name }); at >= 0 {
		return s.Members[at]
	}
	return seenMember{State: "unknown"}
}

func (s *sight) of(name string) string { return s.member(name).State }

// think tells what is wrong with what some processes say: each must be at a level, and hold just others to be in.
func (m *memberRig) think(who []int, level string, in []int) error {
	var wrong []string
	for _, i := range who {
		s, err := m.see(i)
		if err != nil {
			wrong = append(wrong, fmt.Sprintf("n%d: %v", i, err))
			continue
		}
		if s.Level != level || s.View.Doubt || level == "whole" && s.View.Of != len(in) {
			wrong = append(wrong, fmt.Sprintf("n%d: %s (%d of %d), doubt %v", i, s.Level, s.View.Seen, s.View.Of, s.View.Doubt))
		}
		for j, p := range m.Processes {
			is := s.of(p.Name)
			if wants := slices.Contains(in, j); j != i && wants != (is == "alive") {
				wrong = append(wrong, fmt.Sprintf("n%d holds n%d to be %s", i, j, is))
			}
		}
	}
	return processes.When(len(wrong) > 0, errors.New(strings.Join(wrong, "; ")))
}

// until waits until some processes think so.
func (m *memberRig) until(what string, who []int, level string, in []int) {
	m.Helper()
	m.Until(soon, what, func() error { return m.think(who, level, in) })
}

// all is all processes but some.
func (m *memberRig) all(but ...int) (all []int) {
	for i := range m.Processes {
		if !slices.Contains(but, i) {
			all = append(all, i)
		}
	}
	return all
}

func (m *memberRig) whole() { m.Helper(); m.until("all know all", m.all(), "whole", m.all()) }

// serve checks that processes answer GETs, whatever they think of each other.
func (m *memberRig) serve(who ...int) {
	m.Helper()
	for _, i := range who {
		kind := need.Of(m.Processes[i].GET(int(m.ids.Add(1))))(m)
		assert.Equal(m, "served", kind)
	}
}

// told waits until a process has logged something of another.
func (m *memberRig) told(i int, message, of string) {
	m.Helper()
	m.Until(soon, fmt.Sprintf("n%d tells %q of %s", i, message, of), func() error {
		for _, l := range m.Processes[i].Said("fleet: " + message) {
			if of == "" || l.Fields["member"] == of {
				return nil
			}
		}
		return errors.New("not yet")
	})
}

// calm checks over some time that nobody is held to have failed.
func (m *memberRig) calm(probes float64, of ...int) {
	m.Helper()
	for end := time.Now().Add(time.Duration(probes * pace * float64(time.Second))); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, i := range of {
			s := need.Of(m.see(i))(m)
			for _, j := range of {
				if is := s.of(m.Processes[j].Name); i != j && is == "failed" {
					m.Fatalf("n%d holds n%d to have failed", i, j)
				}
			}
		}
	}
}

func TestOneIsKilledAndComesBack(t *testing.T) {
	m := start(t, 5)
	m.Processes[4].Kill()
	m.until("its end is known", m.all(4), "majority", m.all(4))
	m.serve(m.all(4)...)
	m.Processes[4].Start()
	m.whole()
	m.Processes[3].Kill() // and comes back before it is condemned
	m.Processes[3].Start()
	m.whole()
	for i := range 3 {
		assert.Empty(t, slices.DeleteFunc(m.Processes[i].Said("fleet: failed"), func(l processes.Line) bool { return l.Fields["member"] != "n3" }))
	}
}

func TestOneIsStoppedAndWakes(t *testing.T) {
	for _, stop := range []time.Duration{2 * time.Second, 10 * time.Second, 60 * time.Second} {
		t.Run(stop.String(), func(t *testing.T) {
			m := start(t, 5)
			m.Processes[2].Signal(syscall.SIGSTOP)
			time.Sleep(stop)
			if stop >= 10*time.Second {
				m.until("it is held to have failed", m.all(2), "majority", m.all(2))
			}
			m.Processes[2].Signal(syscall.SIGCONT)
			m.whole()
			m.serve(m.all()...)
			for _, l := range m.Processes[2].Said("fleet: failed") {
				t.Errorf("who was stopped itself holds %v to have failed", l.Fields["member"])
			}
		})
	}
}

// A hears B, B does not hear A, and both are reached by the others: nobody is condemned, and the cut is told.
func TestALinkIsCutOneWay(t *testing.T) {
	m := start(t, 5)
	cut := processes.Fault{What: processes.CutOff, A: []int{0}, B: []int{2}}
	m.Begin(cut)
	m.told(0, "deaf", "n2")
	m.calm(20, m.all()...)
	m.serve(m.all()...)
	m.End(cut)
	m.told(0, "clear", "n2")
	m.whole()
}

func TestOneHearsAndIsNotHeardOrTheOtherWay(t *testing.T) {
	for name, f := range map[string]processes.Fault{
		"it is not heard": {What: processes.CutOff, A: []int{4}},
		"it hears nobody": {What: processes.CutOff, A: []int{0, 1, 2, 3}, B: []int{4}},
	} {
		t.Run(name, func(t *testing.T) {
			m := start(t, 5)
			m.Begin(f)
			m.until("it is held to have failed", m.all(4), "majority", m.all(4))
			m.sees(soon, "it doubts itself first", func(s sight) bool { return s.View.Doubt }, 4)
			m.serve(m.all()...)
			m.End(f)
			m.whole()
		})
	}
}

func TestTheFleetIsCutAndHeals(t *testing.T) {
	for name, tt := range map[string]struct {
		n      int
		parts  [][]int
		levels []string
		again  int // started anew while it is cut
	}{
		"in two":              {7, [][]int{{0, 1, 2, 3}, {4, 5, 6}}, []string{"majority", "minority"}, 5},
		"in halves":           {6, [][]int{{0, 1, 2}, {3, 4, 5}}, []string{"minority", "minority"}, -1},
		"in three":            {7, [][]int{{0, 1, 2}, {3, 4}, {5, 6}}, []string{"minority", "minority", "minority"}, -1},
		"one from all others": {5, [][]int{{0, 1, 2, 3}, {4}}, []string{"majority", "alone"}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			m := start(t, tt.n)
			for _, part := range tt.parts {
				m.Begin(processes.Fault{What: processes.Cut, A: part})
			}
			for i, part := range tt.parts {
				m.sees(2*soon, "each part knows itself", func(s sight) bool { return s.Level == tt.levels[i] }, part...)
			}
			m.serve(m.all()...)
			if tt.again >= 0 { // it remembers the fleet, and takes itself for no other
				m.Processes[tt.again].Kill()
				m.Processes[tt.again].Start()
				m.sees(soon, "it is in the minority again", func(s sight) bool { return s.View.Of == tt.n && 2*s.View.Seen <= tt.n }, tt.again)
			}
			for _, part := range tt.parts {
				m.End(processes.Fault{What: processes.Cut, A: part})
			}
			m.whole()
		})
	}
}

func TestBadLinks(t *testing.T) {
	for name, faults := range map[string][]processes.Fault{
		"three in ten are lost":          {{What: processes.Lose, Amount: 0.3}},
		"doubled, late and out of order": {{What: processes.Double, Amount: 0.5}, {What: processes.Reorder, Amount: 0.05}},
		"one bad link condemns nobody":   {{What: processes.Lose, A: []int{0}, B: []int{1}, Amount: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			m := start(t, 5)
			for _, f := range faults {
				if f.A == nil {
					f.A, f.B = m.all(), m.all()
				}
				m.Begin(f)
			}
			m.calm(40, m.all()...)
			m.serve(m.all()...)
		})
	}
}

func TestALinkFlaps(t *testing.T) {
	m := start(t, 5)
	for range 8 {
		m.Play(processes.Schedule{{What: processes.Cut, A: []int{1}, For: 3 * pace}})
		time.Sleep(time.Duration(3 * pace * float64(time.Second)))
	}
	m.whole()
}

// Those that go by SIGTERM have left; nobody is held to have failed.
func TestARollingRestart(t *testing.T) {
	m := start(t, 6)
	for i := range m.Processes {
		m.Processes[i].End()
		m.until("it has left", m.all(i), "whole", m.all(i))
		m.Processes[i].Start()
		m.whole()
	}
	for i, p := range m.Processes {
		assert.Empty(t, p.Said("fleet: failed"), "n%d", i)
	}
}

func TestAllAreKilledAndStartAtOnceWithHalfOfThePeers(t *testing.T) {
	m := start(t, 6)
	m.Until(soon, "all are remembered", func() error {
		for _, p := range m.Processes {
			raw, err := os.ReadFile(filepath.Join(p.Dir, "fleet.json"))
			if n := strings.Count(string(raw), `"Name"`); err != nil || n != 5 {
				return fmt.Errorf("%s: %d, %w", p.Name, n, err)
			}
		}
		return nil
	})
	m.kill(m.all()...)
	for _, i := range m.all(0, 1) { // of the three that all are told
		m.Processes[i].Start()
	}
	m.until("those that came know each other, and who is missing", m.all(0, 1), "majority", m.all(0, 1))
	m.serve(m.all(0, 1)...)
	m.Processes[0].Start()
	m.Processes[1].Wipe() // and knows nothing
	m.Processes[1].Start()
	m.whole()
}

// Two processes have one name. Just one of them is a member, the other says so and serves on; it takes the name over once the holder is gone.
func TestATwin(t *testing.T) {
	m := start(t, 5)
	holder, twin := m.Processes[3], m.Processes[4]
	twin.Kill()
	m.until("room is made", m.all(4), "majority", m.all(4))
	twin.Name = holder.Name
	twin.Start()
	m.told(4, "ousted", holder.Name)
	s := need.Of(m.see(4))(t)
	assert.Equal(t, []string{"ousted", "alone"}, []string{s.Standing, s.Level})
	m.serve(m.all()...)
	for _, i := range m.all(3, 4) {
		s := need.Of(m.see(i))(t)
		assert.Equal(t, seenMember{holder.Name, holder.Fleet, "alive"}, s.member(holder.Name))
	}
	holder.Kill()
	m.Until(soon, "the twin has the name", func() error {
		for _, i := range m.all(3, 4) {
			s, err := m.see(i)
			if err != nil {
				return err
			}
			if o := s.member(holder.Name); o.State != "alive" || o.Address != twin.Fleet {
				return fmt.Errorf("n%d: %s at %s", i, o.State, o.Address)
			}
		}
		s, err := m.see(4)
		return cmp.Or(err, processes.When(s.Standing != "member", errors.New(s.Standing)))
	})
}

func TestAnOlderWire(t *testing.T) {
	m := start(t, 5, func(m *memberRig) { m.more[1], m.more[3] = "wire: 1", "wire: 1" })
	m.Processes[4].Kill()
	m.until("its end is known", m.all(4), "majority", m.all(4))
	m.Processes[4].Start()
	m.whole()
}

// The key is changed one process at a time, in three rounds: the new one opens everywhere, then it seals, then it is alone.
func TestTheKeyIsChanged(t *testing.T) {
	m := start(t, 5)
	old, fresh := m.keys[-1], NewKey()
	for _, keys := range []string{old + "\n" + fresh, fresh + "\n" + old, fresh} {
		for i, p := range m.Processes {
			m.keys[i] = keys
			p.Write()
			read := len(p.Said("configuration read again"))
			p.Signal(syscall.SIGHUP)
			m.Until(soon, "the key is read", func() error {
				return processes.When(len(p.Said("configuration read again")) == read, errors.New("not yet"))
			})
		}
		m.calm(10, m.all()...)
	}
	m.whole()
	m.keys[0] = old
	_, err := m.see(0)
	assert.Error(t, err, "the old key opens nothing any more")
}

// Whoever has no key and sends all it can disturbs nobody, and what was sealed is taken once.
func TestAStrangerFloods(t *testing.T) {
	m := start(t, 5)
	c := need.Of(net.Dial("udp", m.Processes[0].Fleet))(t)
	defer func() { _ = c.Close() }()
	noise := make([]byte, 600)
	for end, n := time.Now().Add(3*time.Second), 0; time.Now().Before(end) && n < 200_000; n++ {
		_, _ = rand.Read(noise[:40])
		noise[0] = sealedMessage
		_, _ = c.Write(noise)
		if n%200 == 0 {
			time.Sleep(time.Millisecond)
		}
		if n%1000 == 0 { // and streams that say nothing, or too much
			if s, err := net.Dial("tcp", m.Processes[0].Fleet); err == nil {
				_, _ = s.Write(noise[n/1000%2:])
				defer func() { _ = s.Close() }()
			}
		}
	}
	m.serve(0)
	m.Until(soon, "it sees all as before", func() error { return m.think(m.all(0), "whole", m.all()) })
	m.sees(soon, "and can be asked", func(s sight) bool { return s.Counts["unsealed"] >= 1000 }, 0)
	m.whole()
}

var (
	schedule = flag.String("schedule", "", "a schedule of faults to play again, as a failed test printed it")
	seeds    = flag.Int("seeds", 2, "schedules to draw")
)

// Schedules of faults that are drawn from seeds: once all is over, all know all.
func TestDrawnFaults(t *testing.T) {
	play := func(t *testing.T, s processes.Schedule) { m := start(t, 6); m.Play(s); m.whole(); m.serve(m.all()...) }
	drawnOf(t, 0, 6, 20, play)
}

// As many processes as ELDERWALL_MANY says, for figures: not in CI. One is killed at a time.
func TestMany(t *testing.T) {
	n := 0
	if _, err := fmt.Sscan(os.Getenv("ELDERWALL_MANY"), &n); err != nil {
		t.Skip("ELDERWALL_MANY says how many")
	}
	m := &memberRig{keys: map[int]string{-1: NewKey()}, more: map[int]string{}}
	m.Rig = processes.New(t, processes.Options{N: n, Seed: 1, Direct: true, Binary: processes.Build(t, "../..", ""), Operator: m.operator})
	began := time.Now()
	m.Start()
	m.Until(2*time.Minute, "all know all", func() error { return m.think(m.all(), "whole", m.all()) })
	t.Logf("%d processes know each other after %.1f s", n, time.Since(began).Seconds())
	sums := func() (datagrams, bytes int64) {
		for i := range n {
			if s, err := m.see(i); err == nil {
				datagrams, bytes = datagrams+s.Counts["out"], bytes+s.Counts["bytes_out"]
			}
		}
		return
	}
	d0, b0 := sums()
	at := time.Now()
	time.Sleep(20 * time.Second)
	d1, b1 := sums()
	by := float64(n) * time.Since(at).Seconds() / pace
	t.Logf("by a process and an interval: %.2f datagrams, %.0f bytes", float64(d1-d0)/by, float64(b1-b0)/by)
	for k := range 5 {
		victim := n - 1 - k
		m.Processes[victim].Kill()
		killed := time.Now()
		var known []float64
		m.Until(time.Minute, "its end is known", func() error {
			known = nil
			for _, p := range m.Processes[:n-5] {
				for _, l := range p.Said("fleet: failed") {
					if l.Fields["member"] == m.Processes[victim].Name {
						known = append(known, l.At.Sub(killed).Seconds()/pace)
						break
					}
				}
			}
			return processes.When(len(known) < n-5, fmt.Errorf("%d know", len(known)))
		})
		slices.Sort(known)
		t.Logf("killed: first knows after %.1f intervals, half %.1f, 99%% %.1f, all %.1f", known[0], known[len(known)/2], known[len(known)*99/100], known[len(known)-1])
	}
}
