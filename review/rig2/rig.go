// Package rig2 has what the cases 6 to 10 of the review share: processes of the project, started by the commands of the deploy file, a record of what was
// seen, and the platform's configuration. What they judge stands in each case.
package rig2

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"elderwall/internal/standin"
)

// The ends of a case, as its script passes them on.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	Unable = 2 // the case could not run
)

const longest = 110 * time.Second // a case that takes longer could not run

// Case is one run of a case.
type Case struct {
	Dir     string // a folder of its own, which goes at the end
	Trouble bool   // with the disruption

	mu      sync.Mutex
	record  *os.File
	started time.Time
	all     []*Process
	last    []func()
}

// AtEnd has a function called once all processes were ended.
func (c *Case) AtEnd(do func()) { c.last = append(c.last, do) }

// unable ends a case that could not run.
type unable struct{ why string }

// Run runs a case whose folder is the first argument, and ends the process with what came of it.
func Run(play func(c *Case) (broken bool)) {
	os.Exit(run(play))
}

func run(play func(c *Case) (broken bool)) (status int) {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "which folder?")
		return Unable
	}
	var err error
	if c.record, err = os.Create(filepath.Join(os.Args[1], "record.txt")); err == nil {
		c.Dir, err = os.MkdirTemp("", "elderwall-review-")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return Unable
	}
	defer func() {
		what := recover()
		c.end()
		if why, ok := what.(unable); ok {
			c.Say("the case could not run: %s", why.why)
			status = Unable
		} else if what != nil {
			panic(what)
		}
		_ = c.record.Close()
	}()
	time.AfterFunc(longest, func() {
		c.Say("the case took too long")
		c.end()
		os.Exit(Unable)
	})
	c.Say("with the disruption: %v", c.Trouble)
	if play(c) {
		c.Say("the rule was BROKEN")
		return Broken
	}
	c.Say("the rule held")
	return Held
}

// Since is the time since the case began.
func (c *Case) Since() time.Duration { return time.Since(c.started) }

// Say writes a line into the record, with the seconds since the case began.
func (c *Case) Say(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", c.Since().Seconds(), fmt.Sprintf(format, args...))
	_, _ = c.record.WriteString(line)
	fmt.Print(line)
}

// Need ends the case where it can't go on.
func (c *Case) Need(err error) {
	if err != nil {
		panic(unable{err.Error()})
	}
}

// Until waits for a condition; where it does not come the case could not run.
func (c *Case) Until(most time.Duration, what string, holds func() bool) {
	if !c.Wait(most, holds) {
		panic(unable{what + ": not in time"})
	}
}

// Wait waits for a condition, for so long at most.
func (c *Case) Wait(most time.Duration, holds func() bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// File writes a file into the case's folder, and gives its path.
func (c *Case) File(name, text string) string {
	path := filepath.Join(c.Dir, name)
	c.Need(os.MkdirAll(filepath.Dir(path), 0o700))
	c.Need(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Process is one that the case has started.
type Process struct {
	Name  string
	Ended chan struct{}
	cmd   *exec.Cmd
	log   string
	line  string
	env   []string
}

// Again starts the same command line once more.
func (c *Case) Again(p *Process) *Process { return c.Start(p.Name, p.line, p.env...) }

// Start starts a command line by the shell, as the deploy file's `run` is.
func (c *Case) Start(name, line string, env ...string) *Process {
	p := &Process{Name: name, line: line, env: env, Ended: make(chan struct{}), cmd: exec.Command("/bin/sh", "-c", line), log: filepath.Join(c.Dir, name+".log")}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.Need(err)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	c.Need(p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.Ended)
	}()
	c.mu.Lock()
	c.all = append(c.all, p)
	c.mu.Unlock()
	return p
}

// Signal sends a signal to the process alone.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Status is with what it ended, below 0 while it has not or where it was killed.
func (p *Process) Status() int {
	select {
	case <-p.Ended:
		return p.cmd.ProcessState.ExitCode()
	default:
		return -1
	}
}

// Log is what it wrote so far.
func (p *Process) Log() string {
	raw, _ := os.ReadFile(p.log)
	return string(raw)
}

// Said tells whether its log has a text.
func (p *Process) Said(text string) bool { return strings.Contains(p.Log(), text) }

// end ends all processes that the case started, and their folder.
func (c *Case) end() {
	c.mu.Lock()
	all := c.all
	c.mu.Unlock()
	for _, p := range all {
		_ = syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
		<-p.Ended
	}
	for _, do := range c.last {
		do()
	}
	_ = os.RemoveAll(c.Dir)
}

// Free is a loopback address that nobody listens at, of a host that no other process takes its ports from.
func (c *Case) Free() string { return standin.Free() }

// Output runs a command line to its end, and gives what it printed.
func (c *Case) Output(line string) (string, error) {
	out, err := exec.Command("/bin/sh", "-c", line).CombinedOutput()
	return string(out), err
}

// Object is a JSON object.
type Object = map[string]any

// Platform is a platform's configuration with settings; it is written beside the others' under a name, whose path it gives.
func (c *Case) Platform(name, listen, changelog string, cores float64, settings Object) string {
	raw, err := json.MarshalIndent(Object{
		"name": name, "listen": listen, "seed": "8c1f30d27a5be964", "changelog": changelog,
		"limits":           Object{"cores": cores, "memory_mb": 192, "sockets": 1024},
		"flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
		"known": Object{"seq": 0, "results": []any{}}, "settings": settings,
	}, "", " ")
	c.Need(err)
	return c.File(name+".json", string(raw))
}

// Entry is one of a list of hosts.
type Entry struct {
	ID, Address, Kind, State string
}

// Fleet is an event of the change log with hosts; whole where it has all of them.
func Fleet(seq int, whole bool, hosts ...Entry) string {
	var all []any
	for _, h := range hosts {
		all = append(all, Object{
			"instanceId": h.ID, "hostPort": h.Address, "zone": "z", "machineType": h.Kind, "cell": 0, "lifecycle": h.State, "weight": 1, "startedAtMs": 0,
		})
	}
	raw, _ := json.Marshal(Object{"seq": seq, "fleet": Object{"generation": seq, "reset": whole, "instances": all}})
	return string(raw)
}

// Ready tells whether a dispatcher takes GETs.
func Ready(address string) bool {
	client, err := standin.Dial(address)
	if err != nil {
		return false
	}
	defer func() { _ = client.Conn.Close() }()
	_ = client.Conn.SetDeadline(time.Now().Add(time.Second))
	good, err := client.Probe()
	return good && err == nil
}

// End asks the process to end, and waits for that.
func (p *Process) End() {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.Ended:
	case <-time.After(10 * time.Second):
		p.Signal(syscall.SIGKILL)
		<-p.Ended
	}
}
