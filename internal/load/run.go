package load

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"elderwall/internal/standin"
	"elderwall/internal/table"
)

const (
	comesUpIn = 10 * time.Second
	endsIn    = 20 * time.Second // a dispatcher that has not ended by then after SIGTERM is killed
	tick      = 100.0            // a second; of the CPU times in /proc
)

// Result is one case of one subject, all rounds together.
type Result struct {
	Subject string  `json:"Subject"`
	Case    string  `json:"Case"`
	Rate    float64 `json:"Rate"` // GETs a second that were to be sent, 0 for a closed loop
	Seconds float64 `json:"Seconds"`
	Tally
	PerSecond float64            `json:"PerSecond"` // served
	P50       float64            `json:"P50"`       // ms
	P99       float64            `json:"P99"`       // ms
	P999      float64            `json:"P999"`      // ms
	Max       float64            `json:"Max"`       // ms
	CPU       float64            `json:"CPU"`       // µs of the dispatcher for each GET answered
	Resident  int                `json:"Resident"`  // kB at the end, the most of all rounds
	Farm      standin.FarmCounts `json:"Farm"`
}

// Runner runs a plan.
type Runner struct {
	Plan   *Plan
	Farm   []string // the command that starts a farm: it prints its change log's address, and its counts for each line read
	Report func(text string)

	results map[[2]string]*Result
	order   [][2]string
}

// Run runs it; what is measured by then is there whatever goes wrong.
func (r *Runner) Run() ([]*Result, error) {
	r.results = map[[2]string]*Result{}
	var failed error
	for round := range r.Plan.Rounds {
		for _, s := range r.Plan.Subjects {
			if err := r.subject(s, round); err != nil {
				failed = errors.Join(failed, fmt.Errorf("%s, round %d: %w", s.Name, round+1, err))
			}
		}
	}
	var all []*Result
	for _, key := range r.order {
		all = append(all, r.results[key].finish())
	}
	return all, failed
}

func (r *Result) finish() *Result {
	ms := func(q float64) float64 { return float64(r.Delays.ValueAtQuantile(q)) / 1e3 }
	r.P50, r.P99, r.P999, r.Max = ms(50), ms(99), ms(99.9), float64(r.Delays.Max())/1e3
	r.PerSecond = float64(r.Served) / r.Seconds
	if n := r.Served + r.Refused + r.Failed; n > 0 {
		r.CPU /= float64(n)
	}
	return r
}

// farm is a farm in its own process.
type farm struct {
	command *exec.Cmd
	in      io.WriteCloser
	out     *bufio.Reader
	changes string
}

func (r *Runner) farm() (*farm, error) {
	o := r.Plan.Farm
	words := append(slices.Clone(r.Farm[1:]), fmt.Sprint("--caches=", o.Caches), fmt.Sprint("--parents=", o.Parents), fmt.Sprint("--bytes=", o.Bytes),
		fmt.Sprint("--holds=", o.Holds), fmt.Sprint("--fill=", o.Fill), fmt.Sprint("--serve=", o.Serve))
	f := &farm{command: exec.Command(r.Farm[0], words...)}
	f.command.Stderr = os.Stderr
	var err error
	if f.in, err = f.command.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := f.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	f.out = bufio.NewReader(out)
	if err := f.command.Start(); err != nil {
		return nil, err
	}
	line, err := f.out.ReadString('\n')
	f.changes = strings.TrimSpace(line)
	return f, err
}

// counts asks what it was asked so far.
func (f *farm) counts() (c standin.FarmCounts, err error) {
	if _, err = fmt.Fprintln(f.in, "counts"); err != nil {
		return c, err
	}
	line, err := f.out.ReadString('\n')
	if err != nil {
		return c, err
	}
	return c, json.Unmarshal([]byte(line), &c)
}

func (f *farm) end() {
	_ = f.in.Close()
	_ = f.command.Wait()
}

// subject runs all cases with one dispatcher, between a farm of its own.
func (r *Runner) subject(s Subject, round int) error {
	f, err := r.farm()
	if err != nil {
		return fmt.Errorf("farm: %w", err)
	}
	defer f.end()
	dir, err := os.MkdirTemp("", "load")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	l, err := net.Listen("tcp", "127.0.0.1:0") // an address that is free
	if err != nil {
		return err
	}
	address := l.Addr().String()
	_ = l.Close()
	config := filepath.Join(dir, "config.json")
	text := standin.Platform(address, f.changes, "", 20000, standin.Limits{Cores: s.Cores, MemoryMB: s.MemoryMB, Sockets: s.Sockets})
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(s.Program, s.Args...)
	c.Env = append(os.Environ(), "PROXY_CONFIG="+config, "ELDERWALL_OPERATOR="+s.Operator)
	c.Stderr = log
	if err := c.Start(); err != nil {
		return err
	}
	defer end(c)
	if err := waitFor(address); err != nil {
		raw, _ := os.ReadFile(log.Name())
		return fmt.Errorf("%w: %s", err, raw)
	}
	for _, one := range r.Plan.Cases {
		if err := r.oneCase(s, one, address, c.Process.Pid, f, uint64(round)); err != nil {
			return fmt.Errorf("%s: %w", one.Name, err)
		}
	}
	return nil
}

func end(c *exec.Cmd) {
	_ = c.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(endsIn, func() { _ = c.Process.Kill() })
	_ = c.Wait()
	kill.Stop()
}

func waitFor(address string) error {
	for began := time.Now(); time.Since(began) < comesUpIn; time.Sleep(5 * time.Millisecond) {
		c, err := standin.Dial(address)
		if err != nil {
			continue
		}
		good, err := c.Probe()
		_ = c.Conn.Close()
		if good && err == nil {
			return nil
		}
	}
	return errors.New("the dispatcher does not come up")
}

// oneCase runs one case once and adds it to its result.
func (r *Runner) oneCase(s Subject, c Case, address string, pid int, f *farm, round uint64) error {
	key := [2]string{s.Name, c.Name}
	result := r.results[key]
	if result == nil {
		result = &Result{Subject: s.Name, Case: c.Name, Tally: *newTally()}
		r.results[key] = result
		r.order = append(r.order, key)
	}
	rate := c.Rate
	if c.Peak != "" {
		peak := r.results[[2]string{s.Name, c.Peak}]
		rate = c.OfPeak * float64(peak.Served) / peak.Seconds
	}
	before, err := f.counts()
	if err != nil {
		return err
	}
	cpu, _ := usage(pid)
	began := time.Now()
	tally, err := Play(address, c, PlayOptions{
		Token: s.Token, Rate: rate, Seed: r.Plan.Seed + round, Warm: r.Plan.Warm, Seconds: r.Plan.Seconds,
	})
	if err != nil {
		return err
	}
	took := time.Since(began).Seconds()
	after, resident := usage(pid)
	result.CPU += (after - cpu) * 1e6 * (r.Plan.Seconds / took)
	result.Resident = max(result.Resident, resident)
	result.add(tally)
	result.Rate, result.Seconds = rate, result.Seconds+r.Plan.Seconds
	now, err := f.counts()
	if err != nil {
		return err
	}
	result.Farm.Requests += now.Requests - before.Requests
	result.Farm.Hits += now.Hits - before.Hits
	result.Farm.Fills += now.Fills - before.Fills
	result.Farm.Stops += now.Stops - before.Stops
	result.Farm.Items, result.Farm.Copies = now.Items, now.Copies
	if r.Report != nil {
		r.Report(fmt.Sprintf("%s, %s: %d served, %d refused, %d failed", s.Name, c.Name, tally.Served, tally.Refused, tally.Failed))
	}
	return nil
}

// PlayOptions are what a case is played with.
type PlayOptions struct {
	Token   string  // of all GETs; none where empty
	Rate    float64 // GETs a second over all connections; as many as are answered where 0
	Seed    uint64
	Warm    float64 // s before anything counts
	Seconds float64 // s that count
}

// Play plays one case against an address.
func Play(address string, c Case, o PlayOptions) (*Tally, error) {
	counts := time.Now().Add(duration(o.Warm))
	during := window{counts: counts, ends: counts.Add(duration(o.Seconds))}
	var clients []*client
	for i := range c.Connections {
		one, err := dial(address, c, o, i, during)
		if err != nil {
			for _, open := range clients {
				_ = open.net.Close()
			}
			return nil, err
		}
		clients = append(clients, one)
	}
	all, tallies := sync.WaitGroup{}, make([]*Tally, len(clients))
	for i, one := range clients {
		part := o.Rate * (1 - c.Skew) / float64(len(clients))
		if i == 0 {
			part += o.Rate * c.Skew
		}
		all.Go(func() { tallies[i] = one.run(part) })
	}
	all.Wait()
	sum := newTally()
	for _, t := range tallies {
		sum.add(t)
	}
	return sum, nil
}

// usage is the CPU seconds that a process has used, and its resident kB.
func usage(pid int) (cpu float64, resident int) {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(raw), ") ")
	if words := strings.Fields(rest); len(words) > 12 {
		user, _ := strconv.ParseFloat(words[11], 64)
		system, _ := strconv.ParseFloat(words[12], 64)
		cpu = (user + system) / tick
	}
	raw, _ = os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(raw), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			resident, _ = strconv.Atoi(strings.Fields(text)[0])
		}
	}
	return cpu, resident
}

// Table writes results as a table.
func Table(to io.Writer, all []*Result) error {
	w := table.New(to, 2, table.AlignRight)
	w.Println("case\tsubject\tGETs/s\trate\t50% ms\t99%\t99.9%\tmax\tCPU µs\tkB\trefused\tfailed\tleft\tlost\thits\tfills\tcopies\t")
	for _, r := range all {
		hits := 0.0
		if r.Farm.Requests > 0 {
			hits = float64(r.Farm.Hits) / float64(r.Farm.Requests)
		}
		copies := 0.0
		if r.Farm.Items > 0 {
			copies = float64(r.Farm.Copies) / float64(r.Farm.Items)
		}
		w.Printf("%s\t%s\t%.0f\t%.0f\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%.3f\t%d\t%.2f\t\n", r.Case, r.Subject, r.PerSecond, r.Rate,
			r.P50, r.P99, r.P999, r.Max, r.CPU, r.Resident, r.Refused, r.Failed, r.Left, r.Unanswered+r.Broken, hits, r.Farm.Fills, copies)
	}
	return w.Flush()
}
