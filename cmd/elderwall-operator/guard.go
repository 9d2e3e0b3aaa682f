package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"time"

	"elderwall/internal/cluster"
)

const (
	guardWrites = 100 * time.Millisecond // a guard that has not taken a line by then is replaced
	guardKills  = 10 * time.Second       // for so long a guard tries to kill a group whose holder has gone
)

// guardCommand is the program of a guard: a process that outlives the one that holds a duty, and kills the process group of that
// one's command when it has ended, was killed, or was stopped until its lease was nearly over.
type guardCommand struct{}

// Run reads orders until its input ends, and then kills the group that the last one named.
func (c *guardCommand) Run() error {
	signal.Ignore(syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) // it ends with the process that holds the duty
	orders := make(chan guardOrder)
	go readOrders(os.Stdin, orders) // ends with the input
	ticker := time.NewTicker(holdTick)
	defer ticker.Stop()
	var order guardOrder
	for {
		select {
		case next, open := <-orders:
			if !open {
				return order.killUntilEmpty()
			}
			order = next
		case <-ticker.C:
			if order.group != 0 && cluster.BootTime() >= order.until {
				signalGroup(order.group, syscall.SIGKILL)
			}
		}
	}
}

// guardOrder is what a guard is told.
type guardOrder struct {
	group int     // the process group, 0 while there is none
	until float64 // s of the boot clock; when the group is killed unless a later order comes
}

// readOrders reads an order a line until the input ends.
func readOrders(in io.Reader, to chan<- guardOrder) {
	defer close(to)
	for lines := bufio.NewScanner(in); lines.Scan(); {
		var order guardOrder
		if _, err := fmt.Sscan(lines.Text(), &order.group, &order.until); err != nil {
			return
		}
		to <- order
	}
}

// killUntilEmpty kills the group until it is empty.
func (o guardOrder) killUntilEmpty() error {
	for end := time.Now().Add(guardKills); time.Now().Before(end); time.Sleep(holdTick) {
		if o.group == 0 || !groupExists(o.group) || onlyZombies(o.group) {
			return nil
		}
		signalGroup(o.group, syscall.SIGKILL)
	}
	return fmt.Errorf("guard: processes of group %d can't be killed", o.group)
}

// guard is a guard process, as the process that holds the duty knows it.
type guard struct {
	process *os.Process
	input   *os.File
	told    guardOrder
}

// startGuard starts a guard in a session of its own, which no signal to a group or from a terminal reaches.
func startGuard() (*guard, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, fmt.Errorf("guard: %w", err)
	}
	run := exec.Command("/proc/self/exe", "fleet", "guard")
	run.Stdin, run.Stderr = reader, os.Stderr
	run.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	err = run.Start()
	_ = reader.Close()
	if err != nil {
		_ = writer.Close()
		return nil, fmt.Errorf("guard: %w", err)
	}
	go func() { _ = run.Wait() }() // ends with the guard
	return &guard{process: run.Process, input: writer}, nil
}

// tell tells a guard what has changed. An error says that it does not hear.
func (g *guard) tell(order guardOrder) error {
	if order == g.told {
		return nil
	}
	if err := g.input.SetWriteDeadline(time.Now().Add(guardWrites)); err != nil {
		return fmt.Errorf("guard: %w", err)
	}
	if _, err := fmt.Fprintln(g.input, order.group, order.until); err != nil {
		return fmt.Errorf("guard: %w", err)
	}
	g.told = order
	return nil
}

// kill ends a guard that does not hear, before it can act on what it was told last.
func (g *guard) kill() {
	_ = g.process.Kill()
	_ = g.input.Close()
}
