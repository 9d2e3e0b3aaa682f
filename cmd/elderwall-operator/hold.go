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

// Run waits for the duty, runs the command while it has it, and gives it back. Guards against a command that goes on without it: it is asked
// to end, and then ended, before the lease is over by this process's own clock.
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
		options: c, keys: keys, command: command, answers: make(chan cluster.Told, holdAsks), ended: make(chan error, 1),
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
	ended   chan error // how the command ended
	asking  int        // questions that are under way

	run      *exec.Cmd // nil while it doesn't run
	token    uint64    // under which it was started; 0 before
	until    float64   // s of the boot clock; the end of the latest lease
	asked    bool      // to end
	lost     bool      // it was ended, or asked to end, as the duty was lost
	leaving  bool      // a signal has come
	finished bool      // it has ended by itself or not
	status   error     // with which it has ended
}

// untilOver runs the command until it has ended and the duty is given back; its error is that of starting it.
func (h *holding) untilOver(signals <-chan os.Signal) error {
	ticker := time.NewTicker(holdTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case t := <-h.answers:
			if h.asking--; t.Error == "" {
				h.holder.HandleAnswer(cluster.BootTime(), t.Number, t.Leases)
			}
		case err := <-h.ended:
			h.status, h.finished, h.run = err, true, nil
			h.holder.Leave(cluster.BootTime())
		case s := <-signals:
			h.leave(s)
		}
		now := cluster.BootTime()
		h.ask(now)
		if !h.finished && (!h.leaving || h.run != nil) {
			if err := h.act(now); err != nil {
				return err
			}
			continue
		}
		if h.holder.AllReleased() || h.token == 0 || now > h.until { // where nobody answers it runs out by itself
			return nil
		}
	}
}

// leave passes a signal on to the command; where none runs the duty is given back at once.
func (h *holding) leave(s os.Signal) {
	h.leaving = true
	if h.run == nil {
		h.holder.Leave(cluster.BootTime())
		return
	}
	_ = h.run.Process.Signal(s)
	h.asked = true
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

// act starts the command once the duty is held, and ends it before the lease is over.
func (h *holding) act(now float64) error {
	token, ok := h.holder.HeldToken(h.options.Duty, now)
	h.until = max(h.until, h.holder.ExpiresAt(h.options.Duty))
	left := h.holder.ExpiresAt(h.options.Duty) - now
	length := h.options.Lease.Seconds()
	switch {
	case h.run == nil && ok && left > termAt*length:
		return h.start(token)
	case h.run != nil && (!ok || token != h.token || left < killAt*length):
		h.lost = true
		_ = syscall.Kill(-h.run.Process.Pid, syscall.SIGKILL)
	case h.run != nil && !h.asked && (left < termAt*length || slices.Contains(h.holder.TransfersRequested(), h.options.Duty)):
		h.asked, h.lost = true, true
		_ = syscall.Kill(-h.run.Process.Pid, syscall.SIGTERM)
	}
	return nil
}

// start starts the command, in a process group of its own.
func (h *holding) start(token uint64) error {
	h.token = token
	h.run = exec.Command(h.command[0], h.command[1:]...)
	h.run.Stdin, h.run.Stdout, h.run.Stderr = os.Stdin, os.Stdout, os.Stderr
	h.run.Env = append(os.Environ(), fmt.Sprint("ELDERWALL_TOKEN=", token), "ELDERWALL_DUTY="+h.options.Duty)
	h.run.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := h.run.Start(); err != nil {
		return fmt.Errorf("hold: %w", err)
	}
	go func(r *exec.Cmd) { h.ended <- r.Wait() }(h.run)
	return nil
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
