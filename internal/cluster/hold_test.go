package cluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin/processes"
)

const (
	actorLife = time.Minute            // an actor that its test has left behind ends by itself then
	crossing  = 100 * time.Millisecond // acts that are read later than they were sent may cross by so much
)

// family has an actor start a child, and that another one, by the generations that are left in its environment. The last one
// ignores TERM; with "ends" the first one ends by itself and leaves the others behind.
func family() {
	text := os.Getenv(familyEnv)
	generations, _ := strconv.Atoi(strings.TrimPrefix(text, "ends "))
	if text == "" {
		return
	}
	time.AfterFunc(actorLife, func() { os.Exit(1) })
	if generations == 0 {
		signal.Ignore(syscall.SIGTERM)
		return
	}
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), fmt.Sprint(familyEnv, "=", generations-1))
	if err := child.Start(); err != nil {
		os.Exit(1)
	}
	if strings.HasPrefix(text, "ends ") {
		time.Sleep(leaseTime / 2)
		os.Exit(0)
	}
}

// guard is the process that kills a hold's command when that can't.
func (h *hold) guard() (pid int) {
	h.rig.Helper()
	h.rig.Until(soon, "it has a guard", func() error {
		stats, _ := filepath.Glob("/proc/[0-9]*/stat")
		for _, path := range stats {
			text, _ := os.ReadFile(path)
			command, _ := os.ReadFile(filepath.Join(filepath.Dir(path), "cmdline"))
			after := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
			if len(after) > 1 && after[1] == strconv.Itoa(h.cmd.Process.Pid) && strings.Contains(string(command), "guard") {
				_, err := fmt.Sscan(string(text), &pid)
				return err
			}
		}
		return errors.New("none")
	})
	return pid
}

// actors is the processes that acted under a token.
func (k *taker) actors(token uint64) map[int]bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := map[int]bool{}
	for _, a := range k.acts {
		if a.token == token {
			all[a.pid] = true
		}
	}
	return all
}

// isActor reports whether a process that acted runs still.
func isActor(pid int) bool {
	name, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", pid))
	return err == nil && name == os.Args[0]
}

// endActors ends the processes that acted, as far as a fault has left any.
func (d *dutyRig) endActors() {
	d.taker.mu.Lock()
	defer d.taker.mu.Unlock()
	for _, a := range d.taker.acts {
		if isActor(a.pid) {
			_ = syscall.Kill(a.pid, syscall.SIGKILL)
		}
	}
}

// holderFault is what becomes of a holder, and whom it concerns besides.
type holderFault struct {
	name, family string
	actors       int
	fault        func(h, other *hold)
	over         func(h, other *hold) // nil where nothing is to be ended
}

// holderFaults is all that may become of a holder of the rig.
func (d *dutyRig) holderFaults() []holderFault {
	signals := func(s syscall.Signal) func(h, other *hold) {
		return func(h, _ *hold) { assert.NoError(d, h.cmd.Process.Signal(s)) }
	}
	voters := []int{0, 1, 2}
	return []holderFault{
		{"SIGTERM", "2", 3, signals(syscall.SIGTERM), nil},
		{"SIGINT", "2", 3, signals(syscall.SIGINT), nil},
		{"SIGKILL", "2", 3, signals(syscall.SIGKILL), nil},
		{"SIGSTOP", "2", 3, signals(syscall.SIGSTOP), signals(syscall.SIGCONT)},
		{"its guard is killed, and it ends", "2", 3, func(h, _ *hold) {
			require.NoError(d, syscall.Kill(h.guard(), syscall.SIGKILL))
			time.Sleep(leaseTime)
			signals(syscall.SIGKILL)(h, nil)
		}, nil},
		{"the quorum is lost", "2", 3, func(h, _ *hold) {
			d.signal(syscall.SIGSTOP, voters...)
			<-h.ended
			d.signal(syscall.SIGCONT, voters...)
		}, nil},
		{"its lease is taken over", "2", 3, func(_, two *hold) { d.does(0, "hand", job, two.name) }, nil},
		{"its command's own process ends by itself, and it is told to end", "ends 2", 2, func(h, _ *hold) {
			time.Sleep(2 * leaseTime)
			signals(syscall.SIGTERM)(h, nil)
		}, nil},
	}
}

// Guards against two holders that act in one moment, as processes that a command has started go on when the command's own process,
// or its `fleet hold`, has ended or can't act: a child, and a grandchild that ignores TERM.
func TestNoTwoActUnderADutyWhateverBecomesOfItsHolder(t *testing.T) {
	d := duty(t, 3, 3)
	t.Cleanup(d.endActors)
	for _, tt := range d.holderFaults() {
		last := d.taker.last().token
		one := d.hold(0, familyEnv+"="+tt.family)
		first := d.acts(last)
		d.Until(soon, tt.name+": all that act do", func() error {
			return processes.When(len(d.taker.actors(first.token)) < tt.actors, fmt.Errorf("%v", d.taker.actors(first.token)))
		})
		two := d.hold(1, familyEnv+"=2")
		d.hears(tt.name+": another stands", func(s heard) error {
			for _, waiting := range s.of(job).Waiting {
				if waiting.Name == two.name {
					return nil
				}
			}
			return errors.New("not yet")
		})
		tt.fault(one, two)
		d.acts(first.token)
		if tt.over != nil {
			tt.over(one, two)
		}
		<-one.ended
		time.Sleep(leaseTime / 2)
		for pid := range d.taker.actors(first.token) {
			assert.False(t, isActor(pid), "%s: process %d of the first command runs", tt.name, pid)
		}
		d.taker.mu.Lock()
		crossed, refused := d.taker.crossed, d.taker.refused
		d.taker.mu.Unlock()
		assert.Less(t, crossed, crossing, "%s: %d acts of the first after the second had begun", tt.name, refused)
		_ = two.cmd.Process.Signal(syscall.SIGTERM)
		<-two.ended
	}
}
