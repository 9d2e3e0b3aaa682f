package slowstart

import (
	"fmt"
	"math"
	"math/rand/v2"
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

	"github.com/stretchr/testify/require"

	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
)

const (
	readyIn = 10 * time.Second
	endsIn  = 8 * time.Second
	origin  = "origin-1"
)

// Options is what a fleet is made of.
type Options struct {
	Binary      string // of elderwall; that of elderwall-operator stands beside it
	Dispatchers int
	Shards      int // of each dispatcher; below 2 it is one module
	Hosts       []HostOptions
	Rule        Rule // of caches; it is also put into the settings
	ParentRule  Rule
	Weights     string  // what the list tells of capacities: "nominal" or "silent"
	Connects    float64 // seconds in which a connection to a host comes up, or counts as refused
	Objects     int     // that clients ask for
	Favored     float64 // share of the clients that all ask the first dispatcher; the others ask all of them alike
	Shrinks     float64 // share of its capacity that a host may lose at a start, drawn anew each time
	Seed        uint64
}

// Fleet is dispatchers as real processes between clients, hosts and change logs.
type Fleet struct {
	testing.TB
	Options
	Hosts       map[string]*Host
	Dispatchers []*Dispatcher

	dir     string
	origin  string             // its address, where nobody listens
	events  *standin.ChangeLog // where all events stand
	clients *clients

	mu       sync.Mutex // guards what follows
	sequence int
	chance   *rand.Rand
	stamps   map[string]int64 // Unix ms of the latest start that was told, by host
}

// Dispatcher is one real process. It has a relay of its own to the change log.
type Dispatcher struct {
	fleet   *Fleet
	Name    string
	Listen  string
	Changes *Relay
	Log     *os.File

	index     int
	config    string
	starts    atomic.Int64
	replacing atomic.Bool
	mu        sync.Mutex // guards what follows, and Changes
	cmd       *exec.Cmd
	ended     chan struct{}
}

// Build builds the dispatcher's programs, and returns where elderwall stands.
func Build(t testing.TB, dir string) string {
	out, err := exec.Command("go", "build", "-o", dir+"/", "elderwall/cmd/elderwall", "elderwall/cmd/elderwall-operator").CombinedOutput()
	require.NoError(t, err, "%s", out)
	return filepath.Join(dir, "elderwall")
}

// command is what starts a dispatcher.
func (o Options) command() *exec.Cmd {
	if o.Shards < 2 {
		return exec.Command(o.Binary)
	}
	return exec.Command(o.Binary+"-operator", "serve", "--cores", strconv.Itoa(o.Shards))
}

// New starts hosts, change log and dispatchers; all of it ends with the test.
func New(t testing.TB, o Options) *Fleet {
	f := &Fleet{TB: t, Options: o, dir: t.TempDir(), origin: standin.Free(), Hosts: map[string]*Host{}, stamps: map[string]int64{}}
	f.chance = rand.New(rand.NewPCG(o.Seed, 0))
	f.events = need.Of(standin.ListenChangeLog("127.0.0.1:0"))(t)
	t.Cleanup(f.events.Close)
	var entries []string
	for _, ho := range o.Hosts {
		h := &Host{HostOptions: ho, address: standin.Free(), usualSlots: ho.Slots}
		h.Rule = o.Rule
		if ho.Kind == "parent" {
			h.Rule = o.ParentRule
		}
		h.filled = f.filled
		require.NoError(t, h.start(nil, 0))
		t.Cleanup(h.Kill)
		f.Hosts[ho.ID] = h
		entries = append(entries, f.entry(h, "SERVING", 0))
	}
	entries = append(entries, f.originEntry())
	f.push(true, entries...)
	for i := range o.Dispatchers {
		f.Dispatchers = append(f.Dispatchers, f.dispatcher(i))
	}
	f.clients = newClients(f)
	t.Cleanup(f.clients.end)
	return f
}

const entryText = `{"instanceId":%q,"hostPort":%q,"zone":"z","machineType":%q,"lifecycle":%q,"weight":%d,"startedAtMs":%d}`

func (f *Fleet) entry(h *Host, state string, startedAtMs int64) string {
	weight := 1
	if f.Weights == "nominal" {
		weight = h.weight()
	}
	id, address := h.listed()
	return fmt.Sprintf(entryText, id, address, h.Kind, state, weight, startedAtMs)
}

func (f *Fleet) originEntry() string {
	return fmt.Sprintf(entryText, origin, f.origin, "origin", "SERVING", 1, 0)
}

func (f *Fleet) push(reset bool, entries ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	f.events.Push(fmt.Sprintf(`{"seq":%d,"fleet":{"generation":%d,"reset":%v,"instances":[%s]}}`,
		f.sequence, f.sequence, reset, strings.Join(entries, ",")))
}

// Told has the change log say that hosts are in a state, with the stamps of their latest starts.
func (f *Fleet) Told(state string, ids ...string) {
	var entries []string
	for _, id := range ids {
		entries = append(entries, f.latest(id, state))
	}
	f.push(false, entries...)
}

// latest is the entry of a host in a state, with the stamp of its latest start, which counts as told from now on.
func (f *Fleet) latest(id, state string) string {
	f.mu.Lock()
	stamp := f.stamps[id]
	f.mu.Unlock()
	h := f.Hosts[id]
	if ledger := h.latest(); ledger != nil && ledger.started.UnixMilli() == stamp {
		ledger.Tell()
	}
	return f.entry(h, state, stamp)
}

// ToldAgain has the change log give the whole list anew, with all hosts as they are.
func (f *Fleet) ToldAgain() {
	entries := []string{f.originEntry()}
	for _, ho := range f.Options.Hosts {
		entries = append(entries, f.latest(ho.ID, "SERVING"))
	}
	f.push(true, entries...)
}

// Restart starts a host that was killed, with connections that come up after late, and has the change log tell of it
// after notice.
func (f *Fleet) Restart(id string, late, notice time.Duration) *Ledger {
	h := f.Hosts[id]
	if f.Shrinks > 0 {
		f.mu.Lock()
		lost := f.Shrinks * f.chance.Float64()
		f.mu.Unlock()
		h.Resize(max(1, int(math.Round(float64(h.usualSlots)*(1-lost)))))
	}
	ledger, err := h.Restart(late)
	require.NoError(f, err)
	f.mu.Lock()
	f.stamps[id] = ledger.started.UnixMilli()
	f.mu.Unlock()
	if notice == 0 {
		f.Told("SERVING", id)
	} else {
		time.AfterFunc(notice, func() { f.Told("SERVING", id) })
	}
	return ledger
}

// Kill kills hosts.
func (f *Fleet) Kill(ids ...string) {
	for _, id := range ids {
		f.Hosts[id].Kill()
	}
}

// RestartAll is Restart for some hosts. One that something else has started meanwhile is killed before.
func (f *Fleet) RestartAll(late, notice time.Duration, ids ...string) {
	for _, id := range ids {
		f.restartOne(id, late, notice)
	}
}

// restartOne is RestartAll for one host.
func (f *Fleet) restartOne(id string, late, notice time.Duration) {
	h := f.Hosts[id]
	h.restarting.Lock()
	defer h.restarting.Unlock()
	h.Kill()
	f.Restart(id, late, notice)
}

// Forget has the change log say that an id that a host had is gone.
func (f *Fleet) Forget(id string) {
	f.push(false, fmt.Sprintf(entryText, id, f.origin, "small", "DELETED", 1, 0))
}

// filled books a fill at the parent that it came from.
func (f *Fleet) filled(source string, requests float64) {
	if h := f.Hosts[source]; h != nil {
		h.asked.Add(1)
		if ledger := h.latest(); ledger != nil {
			ledger.arrive(time.Now(), requests)
		}
	}
}

// Fallen returns the windows at which hosts would have fallen, and the highest share of a limit in any window.
func (f *Fleet) Fallen() (fallen []Window, worst Window) {
	for _, h := range f.Hosts {
		for _, l := range h.Ledgers() {
			if w := l.Fell(); w != nil {
				fallen = append(fallen, *w)
			}
			if w := l.Worst(); w.OfTheLimit > worst.OfTheLimit {
				worst = w
			}
		}
	}
	return fallen, worst
}

// Load sets how many clients ask at each moment, and the pause of each between two requests.
func (f *Fleet) Load(clients int, pause time.Duration) {
	f.clients.active.Store(int64(clients))
	f.clients.pause.Store(int64(pause))
}

// Direct has a share of the clients ask one dispatcher from now on; the others ask the one that they asked from the beginning.
func (f *Fleet) Direct(dispatcher int, share float64) {
	f.clients.directed.Store(&direction{to: f.Dispatchers[dispatcher], share: share})
}

// Mix sets the share of the requests that are of the first class; the others are of the second one.
func (f *Fleet) Mix(first float64) { f.clients.first.Store(int64(first * mixParts)) }

// Answers returns how many requests were served, and how many refused or failed.
func (f *Fleet) Answers() (served, refused, failed int64) {
	return f.clients.served.Load(), f.clients.refused.Load(), f.clients.failed.Load()
}

const settingsText = `{"balancers":%[1]d,"index":%[12]d,"zones":["z"],"machineTypes":["small","parent","origin","large"],"zone":0,"weights":%[2]q,
"classes":[%[11]s],
"extra":{"shieldKind":1,"sourceKind":2,"noteLevel":"all","seatsByZone":[%[1]d],"goneEverywhere":60000000,"sharesFills":true,
"parentColdFrom":%[8]g,"parentCold":%[9]d,"parentBreaksAt":%[10]g},
"limits":{"maxAttempts":6,"mayCancel":true,"secondCopies":true,"connectTimeout":%[3]d,"idleClose":15000000,"maxStreams":100,"mostHeld":4000},
"rules":{"coldFrom":%[4]g,"rampTime":%[5]d,"tipMultiple":%[6]g,"fall":%[7]d}}`

const configText = `{"name":%q,"listen":%q,"seed":"8c1f%04x%04x%04x","limits":{"cores":1,"memory_mb":192,"sockets":1024},
"changelog":%q,"flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":{"seq":0,"results":[]},"settings":%s}`

func (f *Fleet) dispatcher(i int) *Dispatcher {
	d := &Dispatcher{fleet: f, index: i, Name: fmt.Sprint("n", i), Listen: standin.Free()}
	d.Changes = need.Of(NewRelay(f.events.Address))(f.TB)
	f.Cleanup(d.Changes.Close)
	d.config = filepath.Join(f.dir, d.Name+".json")
	d.Log = need.Of(os.Create(filepath.Join(f.dir, d.Name+".log")))(f.TB)
	f.Cleanup(func() { _ = d.Log.Close() })
	d.Start()
	f.Cleanup(d.Kill)
	return d
}

func classesText() string {
	var all []string
	for _, c := range classes {
		all = append(all, fmt.Sprintf(`{"name":%q,"aim":%d,"deadline":%d,"effect":"safe","dedupScope":"all","worth":1}`,
			c.name, c.aim.Microseconds(), clientBudget.Microseconds()))
	}
	return strings.Join(all, ",")
}

func (d *Dispatcher) writeConfig() {
	o := d.fleet.Options
	settings := fmt.Sprintf(settingsText, o.Dispatchers, o.Weights, int64(o.Connects*1e6),
		o.Rule.Initial, o.Rule.Ramp.Microseconds(), o.Rule.Multiple, o.Rule.Window.Microseconds(),
		o.ParentRule.Initial, o.ParentRule.Ramp.Microseconds(), o.ParentRule.Multiple, classesText(), d.index)
	text := fmt.Sprintf(configText, d.Name, d.Listen, uint16(o.Seed), uint16(d.index), uint16(d.starts.Load()), d.relay().Address, settings)
	require.NoError(d.fleet, os.WriteFile(d.config, []byte(text), 0o600))
}

// Start starts the process with a seed of its own, and waits until it is ready.
func (d *Dispatcher) Start() {
	d.starts.Add(1)
	d.writeConfig()
	cmd := d.fleet.command()
	cmd.Env, cmd.Stderr = append(os.Environ(), "PROXY_CONFIG="+d.config), d.Log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(d.fleet, cmd.Start())
	ended := make(chan struct{})
	go func() { _ = cmd.Wait(); close(ended) }()
	d.mu.Lock()
	d.cmd, d.ended = cmd, ended
	d.mu.Unlock()
	require.Eventually(d.fleet, func() bool { return need.Ready(d.Listen) }, readyIn, 10*time.Millisecond, "%s is ready", d.Name)
}

// Signal sends it a signal.
func (d *Dispatcher) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(s)
}

// Kill kills it and waits for its end.
func (d *Dispatcher) Kill() {
	d.Signal(syscall.SIGKILL)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(endsIn):
	}
}

// Replace sends a signal that ends it, kills it after a while if it has not ended, and starts it again. One that is being
// replaced already is left alone.
func (d *Dispatcher) Replace(s syscall.Signal, kill, down time.Duration) {
	if !d.replacing.CompareAndSwap(false, true) {
		return
	}
	defer d.replacing.Store(false)
	d.Signal(s)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(kill):
		d.Kill()
	}
	time.Sleep(down)
	d.Start()
}

// relay is the one that it follows the change log through now.
func (d *Dispatcher) relay() *Relay {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Changes
}

// MoveChangeLog has it follow the change log at another address, which SIGHUP tells.
func (d *Dispatcher) MoveChangeLog() {
	fresh := need.Of(NewRelay(d.fleet.events.Address))(d.fleet.TB)
	d.fleet.Cleanup(fresh.Close)
	d.mu.Lock()
	old := d.Changes
	d.Changes = fresh
	d.mu.Unlock()
	d.writeConfig()
	d.Signal(syscall.SIGHUP)
	old.Close()
}

// Lines returns what it has logged so far that contains a text.
func (d *Dispatcher) Lines(text string) (all []string) {
	raw, _ := os.ReadFile(d.Log.Name())
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, text) {
			all = append(all, strings.TrimSpace(line))
		}
	}
	return all
}
