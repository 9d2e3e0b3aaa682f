package processes

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"elderwall/internal/standin"
)

const (
	mostProcesses = 120
	longest       = 4 * time.Minute // a process that a test forgot is ended then
	endsIn        = 15 * time.Second
	mostLines     = 20000 // of a process's log that are kept
)

// Options are what a rig is made of.
type Options struct {
	N      int
	Binary string // of elderwall-operator
	Seed   uint64
	Direct bool // no relays: nothing can be put between
	// Operator is the operator's file of one process.
	Operator func(p *Process) string
	Answer   func(a standin.Ask) string // of the stand-in host; nil has all copies
	Env      []string                   // more of each process's environment; {dir} is its folder
}

// Rig is several processes.
type Rig struct {
	testing.TB
	Options
	Dir       string
	Processes []*Process
	Host      *standin.Host
	Changes   *standin.ChangeLog
	origin    *standin.Host

	number int64
	links  links
	relays []*relay
	all    sync.WaitGroup
	closed atomic.Bool
}

// Process is one of them, with a folder of its own.
type Process struct {
	Rig   *Rig
	Index int
	Name  string
	Dir   string
	HTTP  string            // where clients come
	Fleet string            // where the others do
	Reach map[string]string // at which of the relays it reaches another
	Told  string            // its own change log, where it has one

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	lines   []Line
	dropped int
}

// Line is one that a process logged, as it came.
type Line struct {
	At     time.Time
	Fields map[string]any
}

var (
	rigs  atomic.Int64
	built struct {
		sync.Mutex
		paths map[string]string
	}
)

// Build builds the program with tags, once for all tests of a package; root is the module's folder as seen from there.
func Build(t testing.TB, root, tags string) string {
	built.Lock()
	defer built.Unlock()
	if path := built.paths[tags]; path != "" {
		return path
	}
	dir, err := os.MkdirTemp("", "elderwall-rig-")
	if err != nil {
		t.Fatal(err)
	}
	if built.paths == nil {
		built.paths = map[string]string{}
	}
	path := filepath.Join(dir, "elderwall-operator")
	built.paths[tags] = path
	if out, err := exec.Command("go", "build", "-C", root, "-tags", tags, "-o", path, "./cmd/elderwall-operator").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return path
}

// Clean takes away what Build made.
func Clean() {
	for _, path := range built.paths {
		_ = os.RemoveAll(filepath.Dir(path))
	}
}

// New makes a rig whose processes are not started yet.
func New(t testing.TB, o Options) *Rig {
	t.Helper()
	if o.N < 1 || o.N > mostProcesses {
		t.Fatalf("%d processes", o.N)
	}
	r := &Rig{TB: t, Options: o, Dir: t.TempDir(), number: rigs.Add(1), links: links{all: map[[2]int]Link{}}}
	var err error
	if r.Host, err = standin.Listen("127.0.0.1:0", func(a standin.Ask) string {
		if r.Answer != nil {
			return r.Answer(a)
		}
		if a.Stop {
			return ""
		}
		return standin.Hit(a.ID, "bytes")
	}); err != nil {
		t.Fatal(err)
	}
	if r.Changes, err = standin.ListenChangeLog("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	r.Changes.Push(standin.List(1, true, "s-1 "+r.Host.Address+" std SERVING", "s-2 127.0.0.1:1 origin SERVING"))
	t.Cleanup(r.close)
	for i := range o.N {
		p := &Process{
			Rig: r, Index: i, Name: fmt.Sprintf("n%d", i), Dir: filepath.Join(r.Dir, fmt.Sprint(i)), HTTP: standin.Free(),
			Fleet: standin.Free(), Reach: map[string]string{},
		}
		r.Processes = append(r.Processes, p)
	}
	for i := range r.Processes {
		for j := range r.Processes {
			if i == j || o.Direct {
				continue
			}
			e, err := newRelay(r, i, j)
			if err != nil {
				t.Fatal(err)
			}
			r.relays = append(r.relays, e)
			r.Processes[i].Reach[r.Processes[j].Fleet] = e.address()
		}
	}
	return r
}

// ListenOrigin has an origin listen, before processes are started: without it nothing does.
func (r *Rig) ListenOrigin(answer func(a standin.Ask) string) {
	var err error
	if r.origin, err = standin.Listen("127.0.0.1:0", answer); err != nil {
		r.Fatal(err)
	}
	r.Changes.Push(standin.List(2, true, "s-1 "+r.Host.Address+" std SERVING", "s-2 "+r.origin.Address+" origin SERVING"))
}

// Start starts all.
func (r *Rig) Start() {
	for _, p := range r.Processes {
		p.Start()
	}
}

func (r *Rig) close() {
	var all sync.WaitGroup
	for _, p := range r.Processes {
		all.Go(func() {
			p.Signal(syscall.SIGCONT)
			p.Kill()
		})
	}
	all.Wait()
	r.closed.Store(true)
	for _, e := range r.relays {
		e.close()
	}
	r.Host.Close()
	if r.origin != nil {
		r.origin.Close()
	}
	r.Changes.Close()
	r.all.Wait()
	if r.Failed() {
		for _, p := range r.Processes {
			raw, _ := os.ReadFile(p.log())
			r.Logf("%s (%s):\n%s", p.Name, p.Fleet, tail(raw, 6000))
		}
	}
}

func tail(b []byte, most int) []byte { return b[max(0, len(b)-most):] }

func (p *Process) log() string { return filepath.Join(p.Rig.Dir, fmt.Sprint(p.Index, ".log")) }

// Write writes its files anew: the platform's configuration and the operator's file.
func (p *Process) Write() {
	r := p.Rig
	check := func(err error) {
		if err != nil {
			r.Fatal(err)
		}
	}
	check(os.MkdirAll(p.Dir, 0o700))
	told := r.Changes.Address
	if p.Told != "" {
		told = p.Told
	}
	platform := standin.Platform(p.HTTP, told, "", 1000, standin.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024})
	check(os.WriteFile(filepath.Join(p.Dir, "config.json"), []byte(platform), 0o600))
	check(os.WriteFile(filepath.Join(p.Dir, "operator.jsonnet"), []byte(r.Operator(p)), 0o600))
}

// Wipe empties its folder.
func (p *Process) Wipe() { _ = os.RemoveAll(p.Dir) }

// Start starts it, if it does not run. It is not waited for.
func (p *Process) Start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil || p.Rig.closed.Load() {
		return
	}
	p.Write()
	log, err := os.OpenFile(p.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.Rig.Error(err)
		return
	}
	cmd := exec.Command(p.Rig.Binary, "serve")
	cmd.Dir = p.Dir
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+filepath.Join(p.Dir, "config.json"), "PROXY_NAME="+p.Name,
		"ELDERWALL_OPERATOR="+filepath.Join(p.Dir, "operator.jsonnet"))
	for _, e := range p.Rig.Env {
		cmd.Env = append(cmd.Env, strings.ReplaceAll(e, "{dir}", p.Dir))
	}
	cmd.Stderr = &lines{p: p, file: log}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.Rig.Error(err)
		return
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	forgot := time.AfterFunc(longest, func() { _ = cmd.Process.Kill() })
	p.Rig.all.Go(func() {
		_ = cmd.Wait()
		forgot.Stop()
		_ = log.Close()
		p.mu.Lock()
		p.cmd = nil
		p.mu.Unlock()
		close(ended)
	})
}

// Runs tells whether it runs.
func (p *Process) Runs() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// Signal sends it a signal, if it runs.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Full has each write to a file fail that would be beyond its bounds, as on a disk that is full; or no more.
func (p *Process) Full(full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if full {
		limit.Cur = 0
	}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		p.Rig.Error(err)
	}
}

// CPU is the processor time that it has had, in seconds.
func (p *Process) CPU() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[11], 64) // utime and stime, in hundredths
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / 100
}

// Kill ends it at once, and waits.
func (p *Process) Kill() { p.end(syscall.SIGKILL) }

// End has it drain, and waits.
func (p *Process) End() { p.end(syscall.SIGTERM) }

func (p *Process) end(s syscall.Signal) {
	p.mu.Lock()
	ended, runs := p.ended, p.cmd != nil
	p.mu.Unlock()
	if !runs {
		return
	}
	p.Signal(s)
	select {
	case <-ended:
	case <-time.After(endsIn):
		p.Rig.Errorf("%s has not ended", p.Name)
		p.Signal(syscall.SIGKILL)
		<-ended
	}
}

// Said gives the lines that it logged with a message.
func (p *Process) Said(message string) (said []Line) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.lines {
		if l.Fields["message"] == message {
			said = append(said, l)
		}
	}
	return said
}

// GET asks it one GET on a connection of its own, and gives the kind of the answer.
func (p *Process) GET(id int) (kind string, err error) {
	c, err := standin.Dial(p.HTTP)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Conn.Close() }()
	_ = c.Conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Process(standin.Fields("rid", fmt.Sprintf("%016x", id), "budget", "4000"), ""); err != nil {
		return "", err
	}
	answer, err := c.Read()
	return answer.Kind, err
}

// When gives what is wrong where it is, for the conditions of Until.
func When(wrong bool, err error) error {
	if wrong {
		return err
	}
	return nil
}

// Until waits for a condition, and fails the test where it does not come in time.
func (r *Rig) Until(most time.Duration, what string, holds func() error) {
	r.Helper()
	var last error
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
		if last = holds(); last == nil {
			return
		}
	}
	r.Fatalf("%s, not within %v: %v", what, most, last)
}

// lines keeps what a process logs, line by line, beside the file.
type lines struct {
	p    *Process
	file *os.File
	part []byte
}

func (l *lines) Write(b []byte) (int, error) {
	_, _ = l.file.Write(b)
	l.part = append(l.part, b...)
	for {
		i := bytes.IndexByte(l.part, '\n')
		if i < 0 {
			return len(b), nil
		}
		line := Line{At: time.Now()}
		if json.NewDecoder(strings.NewReader(string(l.part[:i]))).Decode(&line.Fields) == nil {
			l.p.mu.Lock()
			if len(l.p.lines) < mostLines {
				l.p.lines = append(l.p.lines, line)
			} else {
				l.p.dropped++
			}
			l.p.mu.Unlock()
		}
		l.part = l.part[i+1:]
	}
}
