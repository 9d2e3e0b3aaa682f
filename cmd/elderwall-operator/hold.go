package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"elderwall/core/cluster/lease"
	"elderwall/internal/cluster"
)

// holdCommand runs a command under a duty.
type holdCommand struct {
	asked
	Duty     string        `arg:"" help:"The duty."`
	Command  []string      `arg:"" help:"The command, behind --." passthrough:""`
	Lease    time.Duration `default:"3s" help:"The length of a lease, where the duty is new."`
	Name     string        `help:"Under which it stands; drawn without." placeholder:"NAME"`
	Zone     string        `help:"The zone that it stands in." placeholder:"ZONE"`
	Priority int           `help:"Higher ones hold it before others."`
}

const (
	holdTick = 10 * time.Millisecond
	holdAsks = 6   // questions that are under way
	termAt   = 0.4 // of a lease that is left: the command is asked to end
	killAt   = 0.1 // of a lease that is left: it is ended
	lostCode = 75  // the command was ended as the duty was lost: try again (EX_TEMPFAIL)
)

// exitStatus is a command's own status, passed on.
type exitStatus int

func (e exitStatus) Error() string { return fmt.Sprintf("ended with status %d", int(e)) }

// Run waits for the duty, runs the command while it has it, and gives it back once all of its process group has ended. Guards against
// a command that goes on without the duty: it is asked to end, and then ended, before the lease is over by this process's own clock, and by
// its guard where this process can't.
func (c *holdCommand) Run() error {
	keys, err := c.keys()
	if err != nil {
		return err
	}
	command := c.Command
	if len(command) > 0 && command[0] == "--" {
		command = command[1:]
	}
	if len(command) == 0 {
		return errors.New("no command")
	}
	if c.Name == "" {
		c.Name = fmt.Sprintf("hold-%016x", rand.Uint64())
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	h := &holding{
		options: c, keys: keys, command: command, answers: make(chan cluster.Told, holdAsks),
		holder: lease.NewHolder(c.Name, rand.Uint64()|1, c.Zone, c.Priority),
	}
	h.holder.Register(c.Duty, c.Lease.Seconds(), cluster.BootTime())
	if err := h.untilOver(signals); err != nil {
		return err
	}
	return h.outcome()
}

// holding is a command that runs, or is to run, under a duty. All of it belongs to one goroutine.
type holding struct {
	options *holdCommand
	keys    *cluster.Keys
	command []string
	holder  *lease.Holder
	answers chan cluster.Told
	asking  int // questions that are under way

	group    *processGroup // nil while the command doesn't run
	guard    *guard        // nil before the command was first started
	token    uint64        // under which it was started; 0 before
	until    float64       // s of the boot clock; the end of the latest lease
	asked    bool          // to end
	overdue  float64       // s of the boot clock; when what the command's own process has left behind is killed, 0 for never
	giveUpAt float64       // s of the boot clock; when what can't be killed is waited for no more, 0 for never
	lost     bool          // it was ended, or asked to end, as the duty was lost
	leaving  bool          // a signal has come
	finished bool          // all of the command has ended
	status   error         // with which its own process has ended
}

// errStillRuns tells that processes of the command can't be killed.
var errStillRuns = errors.New("hold: processes of the command can't be killed; the duty is left to run out by its lease")

// untilOver runs the command until all of it has ended and the duty is given back; its error is that of starting it, or of
// ending it.
func (h *holding) untilOver(signals <-chan os.Signal) error {
	ticker := time.NewTicker(holdTick)
	defer ticker.Stop()
	defer h.endGuard()
	for {
		select {
		case <-ticker.C:
		case t := <-h.answers:
			if h.asking--; t.Error == "" {
				h.holder.HandleAnswer(cluster.BootTime(), t.Number, t.Leases)
			}
		case err := <-h.ended():
			h.handleLeaderEnded(cluster.BootTime(), err)
		case s := <-signals:
			h.leave(s)
		}
		now := cluster.BootTime()
		h.ask(now)
		if !h.finished && (!h.leaving || h.group != nil) {
			if err := h.act(now); err != nil {
				h.abort()
				return err
			}
			continue
		}
		if h.holder.AllReleased() || h.token == 0 || now > h.until { // where nobody answers it runs out by itself
			return nil
		}
	}
}

// ended is how the command's own process ends; nil while none runs.
func (h *holding) ended() <-chan error {
	if h.group == nil {
		return nil
	}
	return h.group.ended
}

// handleLeaderEnded takes the end of the command's own process. Others of its group may go on: the duty is held for them.
func (h *holding) handleLeaderEnded(now float64, status error) {
	h.status = status
	h.group.leader = false
	if token, ok := h.holder.HeldToken(h.options.Duty, now); !ok || token != h.token {
		h.lost = true // the guard has ended it while this process was stopped
	}
	if h.asked {
		h.overdue = now + h.patience()
	}
}

// patience is for how many seconds what the command's own process has left behind may go on once it was asked to end: one lease.
func (h *holding) patience() float64 { return h.options.Lease.Seconds() }

// leave passes a signal on to the command; where none runs the duty is given back at once.
func (h *holding) leave(s os.Signal) {
	h.leaving = true
	if h.group == nil {
		h.holder.Leave(cluster.BootTime())
		return
	}
	number, ok := s.(syscall.Signal)
	if !ok {
		number = syscall.SIGTERM
	}
	h.askToEnd(cluster.BootTime(), number)
}

// askToEnd sends all processes of the command a signal.
func (h *holding) askToEnd(now float64, s syscall.Signal) {
	h.asked = true
	h.group.signal(s)
	if !h.group.leader && h.overdue == 0 {
		h.overdue = now + h.patience()
	}
}

// ask sends the next question of the holder, if it is time for one.
func (h *holding) ask(now float64) {
	turn, due, _ := h.holder.Tick(now)
	if !due || h.asking >= holdAsks {
		return
	}
	h.asking++
	go func() {
		t, err := cluster.AskTake(context.Background(), h.options.At, h.keys, turn)
		if err != nil {
			t.Error = err.Error()
		}
		h.answers <- t
	}()
}

// act starts the command once the duty is held, ends it before the lease is over, and gives the duty back once all of it has
// ended.
func (h *holding) act(now float64) error {
	token, ok := h.holder.HeldToken(h.options.Duty, now)
	h.until = max(h.until, h.holder.ExpiresAt(h.options.Duty))
	ends, length := h.holder.ExpiresAt(h.options.Duty), h.options.Lease.Seconds()
	left, until := ends-now, ends-killAt*length
	if h.group == nil {
		if !ok || left <= termAt*length {
			return nil
		}
		return h.start(token, until)
	}
	if h.group.empty() {
		h.finish(now)
		return nil
	}
	held := ok && token == h.token
	switch {
	case !held || now > until:
		h.lost = true
		h.kill(now)
	case h.overdue > 0 && now >= h.overdue:
		h.kill(now)
	case !h.asked && (left < termAt*length || slices.Contains(h.holder.TransfersRequested(), h.options.Duty)):
		h.lost = true
		h.askToEnd(now, syscall.SIGTERM)
	}
	if h.giveUpAt > 0 && now >= h.giveUpAt {
		return errStillRuns
	}
	if held {
		return h.tellGuard(guardOrder{h.group.id, until})
	}
	return nil
}

// kill kills all processes of the command. Those that can't be killed are waited for, for one lease.
func (h *holding) kill(now float64) {
	h.group.signal(syscall.SIGKILL)
	if h.giveUpAt == 0 {
		h.giveUpAt = now + h.options.Lease.Seconds()
	}
}

// finish gives the duty back: all processes of the command have ended.
func (h *holding) finish(now float64) {
	h.finished, h.group = true, nil
	h.holder.Leave(now)
	h.endGuard()
}

// abort kills the command, as it can't be watched any more, or can't be ended. The duty is left to run out.
func (h *holding) abort() {
	if h.group != nil {
		h.group.signal(syscall.SIGKILL)
	}
}

// start starts the command under a token. Its guard is there before, and kills it at a time in seconds of the boot clock.
func (h *holding) start(token uint64, until float64) (err error) {
	if h.guard, err = startGuard(); err != nil {
		return err
	}
	h.token = token
	if h.group, err = startGroup(h.command, fmt.Sprint("ELDERWALL_TOKEN=", token), "ELDERWALL_DUTY="+h.options.Duty); err != nil {
		return err
	}
	return h.tellGuard(guardOrder{h.group.id, until})
}

// tellGuard tells the guard until when the command may run. One that does not hear is replaced: it was killed, or stopped for so long
// that the pipe to it is full.
func (h *holding) tellGuard(order guardOrder) error {
	if h.guard.tell(order) == nil {
		return nil
	}
	h.guard.kill()
	next, err := startGuard()
	if err == nil {
		h.guard = next
		err = next.tell(order)
	}
	return err
}

// endGuard has the guard end; one whose group is not empty kills that first.
func (h *holding) endGuard() {
	if h.guard == nil {
		return
	}
	if h.group == nil {
		_ = h.guard.tell(guardOrder{})
	}
	_ = h.guard.input.Close()
	h.guard = nil
}

// outcome is the command's status as an error, or nil.
func (h *holding) outcome() error {
	var exit *exec.ExitError
	switch {
	case h.lost:
		return exitStatus(lostCode)
	case errors.As(h.status, &exit):
		return exitStatus(max(1, exit.ExitCode()))
	}
	return h.status
}
