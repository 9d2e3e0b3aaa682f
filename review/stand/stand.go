// Package stand is what the cases of the review share: a record, the configuration of a small deployment, and dispatchers as
// processes that are started with the commands of the deploy file.
package stand

import (
	"bytes"
	"encoding/json"
	"errors"
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

// The statuses of a script.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// mostRecord is the size of a record in bytes; what is over is left out.
const mostRecord = 512 << 10

// Case is one run of a script.
type Case struct {
	Trouble bool   // whether the disruption is caused
	Dir     string // a temporary folder

	began time.Time
	mu    sync.Mutex
	file  *os.File
	wrote int
	ends  []func()
}

// Run plays a case: the record goes to the folder that is named as the first argument.
func Run(play func(*Case) (broken bool, err error)) {
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	status := c.run(play)
	os.Exit(status)
}

func (c *Case) run(play func(*Case) (bool, error)) int {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "the folder of the record is missing")
		return NotRun
	}
	var err error
	if c.file, err = os.Create(filepath.Join(os.Args[1], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer func() { _ = c.file.Close() }()
	if c.Dir, err = os.MkdirTemp("", "review-"); err != nil {
		c.Say("can't run: %v", err)
		return NotRun
	}
	defer func() { _ = os.RemoveAll(c.Dir) }()
	defer c.end()
	c.Say("disruption: %v", c.Trouble)
	broken, err := play(c)
	switch {
	case err != nil:
		c.Say("can't run: %v", err)
		fmt.Println("the case could not run:", err)
		return NotRun
	case broken:
		c.Say("the rule was BROKEN")
		fmt.Println("the rule was broken")
		return Broken
	}
	c.Say("the rule held")
	fmt.Println("the rule held")
	return Held
}

// Say writes a line to the record, with the seconds since the start.
func (c *Case) Say(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f "+format+"\n", append([]any{time.Since(c.began).Seconds()}, values...)...)
	if c.Dir != "" {
		line = strings.ReplaceAll(line, c.Dir, "DIR")
	}
	if c.wrote += len(line); c.wrote <= mostRecord {
		_, _ = c.file.WriteString(line)
	}
}

// AtEnd has a function called when the case ends, the last one first.
func (c *Case) AtEnd(f func()) { c.ends = append(c.ends, f) }

func (c *Case) end() {
	for i := len(c.ends) - 1; i >= 0; i-- {
		c.ends[i]()
	}
}

// Write writes a file in the temporary folder, at once as a whole, and gives its path.
func (c *Case) Write(name, text string) (string, error) {
	path := filepath.Join(c.Dir, name)
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// Platform is what a dispatcher is told by the platform.
type Platform struct {
	Name, Listen, Changelog string
	Index, Balancers        int
	Classes                 []map[string]any
	Extra, Limits, Rules    map[string]any // in place of the usual ones
	Known                   []json.RawMessage
	Cores                   float64
}

// Class is a class of the settings; times are in microseconds.
func Class(name, effect string, aim, deadline int) map[string]any {
	return map[string]any{
		"name": name, "effect": effect, "dedupScope": "all", "repeatWindow": 5_000_000,
		"aim": aim, "aimStretch": 2, "deadline": deadline, "worth": 1, "lateWorth": 0.2, "streaming": false,
	}
}

// JSON is the configuration as the platform writes it, with the settings of a small deployment in one zone.
func (p Platform) JSON() string {
	n := len(p.Classes)
	no, zero := make([]bool, n), make([]int, n)
	extra := map[string]any{
		"agedWorth": make([]float64, n), "classParts": no, "classWrite": no, "goodFor": zero, "usableAfter": zero, "flowKbPerS": 6300,
		"goneEverywhere": 6_000_000, "purgeSlack": 300_000, "noteLevel": "all", "seatsByZone": []int{p.Balancers, 0}, "zoneHub": []int{1, 1},
		"shieldKind": 1, "sourceKind": 2, "sharesFills": false, "straight": false, "sideways": "location",
		"parentCold": 19_000_000, "parentColdFrom": 0.061, "parentBreaksAt": 2,
	}
	limits := map[string]any{
		"connectTimeout": 400_000, "idleClose": 15_000_000, "maxAttempts": 6, "maxStreams": 100, "mostHeld": 20_000, "mayCancel": true,
		"secondCopies": true, "retryAfter": false, "maxRetryAfter": 1_000_000, "peers": false, "probes": false,
	}
	rules := map[string]any{
		"answerSlack": 8000, "coldFrom": 0.16, "drainGrace": 500_000, "fall": 1_000_000, "rampTime": 15_000_000, "tipMultiple": 3,
	}
	for _, part := range []struct{ to, from map[string]any }{{extra, p.Extra}, {limits, p.Limits}, {rules, p.Rules}} {
		for name, v := range part.from {
			part.to[name] = v
		}
	}
	known := p.Known
	if known == nil {
		known = []json.RawMessage{}
	}
	cores := p.Cores
	if cores == 0 {
		cores = 1
	}
	text, _ := json.Marshal(map[string]any{
		"name": p.Name, "listen": p.Listen, "seed": "8c1f30d27a5be964", "changelog": p.Changelog,
		"limits":           map[string]any{"cores": cores, "memory_mb": 192, "sockets": 1024},
		"flow_bytes_per_s": 6_300_000, "link_bytes_per_s": 25_200_000,
		"known": map[string]any{"seq": len(known), "results": known},
		"settings": map[string]any{
			"balancers": p.Balancers, "index": p.Index, "zone": 0, "zones": []string{"edge-1", "norte"}, "layer": 0,
			"machineTypes": []string{"chica", "parent", "origin"}, "classes": p.Classes, "accounts": []any{}, "membershipMode": "pushed",
			"weights": "silent", "worthBy": "request", "granularity": 2000, "extra": extra, "limits": limits, "rules": rules,
		},
	})
	return string(text)
}

// Dispatcher is a dispatcher's process.
type Dispatcher struct {
	Listen string
	Config string // path of its configuration

	c     *Case
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
	log   output
}

// output is what a process writes.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write keeps what a process writes.
func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

// String is all that it wrote so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// Start starts a dispatcher with the command of the deploy file, and further variables of its environment.
func (c *Case) Start(p Platform, env ...string) (*Dispatcher, error) {
	path, err := c.Write(p.Name+".json", p.JSON())
	if err != nil {
		return nil, err
	}
	run, err := runLine()
	if err != nil {
		return nil, err
	}
	d := &Dispatcher{Listen: p.Listen, Config: path, c: c, name: p.Name, ended: make(chan struct{})}
	d.cmd = exec.Command("/bin/sh", "-c", run)
	d.cmd.Env = append(append(os.Environ(), "PROXY_CONFIG="+path, "PROXY_NAME="+p.Name, "PROXY_LISTEN="+p.Listen, "TMPDIR="+c.Dir), env...)
	d.cmd.Stdout, d.cmd.Stderr = &d.log, &d.log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return nil, err
	}
	c.Say("%s: started as process %d, listens at %s", p.Name, d.cmd.Process.Pid, p.Listen)
	go func() { _ = d.cmd.Wait(); close(d.ended) }()
	c.AtEnd(d.end)
	return d, d.ready()
}

// runLine is the command `run` of the deploy file.
func runLine() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(strings.TrimSpace(value), `"`), nil
		}
	}
	return "", errors.New("the deploy file has no run")
}

// ready waits until it has answered a probe.
func (d *Dispatcher) ready() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.Over() {
			return fmt.Errorf("%s has ended: %s", d.name, d.log.String())
		}
		client, err := standin.Dial(d.Listen)
		if err != nil {
			continue
		}
		_ = client.Conn.SetDeadline(time.Now().Add(time.Second))
		good, err := client.Probe()
		_ = client.Conn.Close()
		if good && err == nil {
			d.c.Say("%s: ready", d.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready: %s", d.name, d.log.String())
}

// Signal sends it a signal.
func (d *Dispatcher) Signal(s syscall.Signal) {
	d.c.Say("%s: %v", d.name, s)
	_ = d.cmd.Process.Signal(s)
}

// Over tells whether the process has ended.
func (d *Dispatcher) Over() bool {
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// end ends the process, and keeps the last lines of its log.
func (d *Dispatcher) end() {
	if !d.Over() {
		_ = d.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-d.ended:
		case <-time.After(5 * time.Second):
			_ = d.cmd.Process.Kill()
			<-d.ended
		}
	}
	lines := strings.Split(strings.TrimSpace(d.log.String()), "\n")
	for _, line := range lines[max(0, len(lines)-30):] {
		d.c.Say("%s: log: %.600s", d.name, line)
	}
}

// Entry is an entry of the list of hosts.
func Entry(id, address, kind, state string, startedAtMs int64) string {
	zone := "edge-1"
	if kind != "chica" {
		zone = "norte"
	}
	text, _ := json.Marshal(map[string]any{
		"instanceId": id, "hostPort": address, "zone": zone, "machineType": kind, "cell": 0, "lifecycle": state, "weight": 1,
		"startedAtMs": startedAtMs,
	})
	return string(text)
}

// List is an event of the change log with entries.
func List(seq int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"fleet":{"generation":%d,"reset":%v,"instances":[%s]}}`, seq, seq, whole, strings.Join(entries, ","))
}

// Purge is an event of the change log that purges an object.
func Purge(seq int, object string) string {
	return fmt.Sprintf(`{"seq":%d,"invalidate":{"object":%q,"time":%d}}`, seq, object, Stamp(time.Now()))
}

// epoch is where the stamps of the protocol begin.
var epoch = time.Date(1970, time.January, 1, 0, 0, 0, 0, time.UTC)

// Stamp is a time as the protocol writes it: the Unix millisecond.
func Stamp(t time.Time) int64 { return t.Sub(epoch).Milliseconds() }
