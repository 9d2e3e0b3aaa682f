package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// groupScan is the time between two looks at all processes for those of a group of which ended ones alone may be left.
const groupScan = 200 * time.Millisecond

// processGroup is a command that runs in a process group of its own, with all that it starts and that does not leave the group.
type processGroup struct {
	id      int        // of the group, which is that of the command's own process
	ended   chan error // how that process ended
	leader  bool       // its end has not been taken yet
	scanned time.Time  // when all processes were last looked at
}

// startGroup starts a command with more of an environment. The kernel kills its own process when this one ends.
func startGroup(command []string, env ...string) (*processGroup, error) {
	run := exec.Command(command[0], command[1:]...)
	run.Stdin, run.Stdout, run.Stderr = os.Stdin, os.Stdout, os.Stderr
	run.Env = append(os.Environ(), env...)
	run.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := run.Start(); err != nil {
		return nil, fmt.Errorf("hold: %w", err)
	}
	g := &processGroup{id: run.Process.Pid, ended: make(chan error, 1), leader: true}
	go func() { g.ended <- run.Wait() }() // ends with the command's own process
	return g, nil
}

// signal sends a signal to all processes of the group.
func (g *processGroup) signal(s syscall.Signal) { signalGroup(g.id, s) }

// empty reports whether all processes of the group have ended, and the end of the command's own process was taken.
func (g *processGroup) empty() bool {
	if g.leader {
		return false
	}
	if !groupExists(g.id) {
		return true
	}
	if time.Since(g.scanned) < groupScan {
		return false
	}
	g.scanned = time.Now()
	return onlyZombies(g.id)
}

// signalGroup sends a signal to all processes of a group. Numbers below 2 stand for no single group.
func signalGroup(id int, s syscall.Signal) {
	if id > 1 {
		_ = syscall.Kill(-id, s)
	}
}

// groupExists reports whether there is a process in a group, which may have ended without having been reaped.
func groupExists(id int) bool { return !errors.Is(syscall.Kill(-id, 0), syscall.ESRCH) }

// onlyZombies reports whether all processes of a group have ended and only wait to be reaped. Guards against waiting without
// end where process 1 reaps no orphans, as in many containers.
func onlyZombies(id int) bool {
	stats, _ := filepath.Glob("/proc/[0-9]*/stat")
	seen := false
	for _, path := range stats {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // it has ended meanwhile
		}
		state, group := parseStat(text)
		if group != id {
			continue
		}
		if seen = true; state != "Z" && state != "X" {
			return false
		}
	}
	return seen
}

// parseStat returns the state and the process group of a process from its /proc/PID/stat (proc_pid_stat(5)), or a group of 0 if
// the text can't be parsed.
func parseStat(text []byte) (state string, group int) {
	var parent int
	_, fields, _ := bytes.Cut(text[max(0, bytes.LastIndexByte(text, ')')):], []byte(" "))
	if _, err := fmt.Sscan(string(fields), &state, &parent, &group); err != nil {
		return "", 0
	}
	return state, group
}
