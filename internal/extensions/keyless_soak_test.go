package extensions

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/admission"
	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
	rigs "elderwall/internal/standin/rig"
	"elderwall/internal/token"
)

const (
	keyedSeeds    = 4                       // that are played without ELDERWALL_KEYED_SEEDS
	keyedRun      = 4 * time.Second         // that clients send for
	keyedDeadline = time.Second             // of a GET
	keyedWindow   = 5 * time.Second         // within which hosts know a repeat
	keyedKill     = 1700 * time.Millisecond // from SIGTERM to SIGKILL, the earliest for this deadline
	keyedTries    = 5                       // that a client makes for one order
)

// orders is what ran at all hosts. They recognize repeats together, by key.
type orders struct {
	mu     sync.Mutex
	chance *rand.Rand
	plan   keyedPlan
	ran    map[string]int       // by order
	known  map[string]time.Time // keys, and when something ran by them first
	keys   map[string]int       // requests with a key by order
}

// keyedPlan is what is drawn from a seed.
type keyedPlan struct {
	Seed                             uint64
	Processes, Shards, Hosts, Client int
	Scope                            string
	Lost, Faulty, Shed, Late, Silent float64       // shares of requests
	Term, Reload                     time.Duration // when the first process gets SIGTERM, and all a series of SIGHUP
}

func drawKeyed(seed uint64) keyedPlan {
	chance := rand.New(rand.NewPCG(seed, 88))
	p := keyedPlan{
		Seed: seed, Processes: 2 + chance.IntN(2), Shards: 1 + chance.IntN(2), Hosts: 3 + chance.IntN(4), Client: 6 + chance.IntN(8),
		Scope: []string{"all", "zone", "cell"}[chance.IntN(3)],
		Lost:  0.3 * chance.Float64(), Faulty: 0.1 * chance.Float64(), Shed: 0.2 * chance.Float64(), Late: 0.05 * chance.Float64(), Silent: 0.02 * chance.Float64(),
		Term: time.Duration(500+chance.IntN(1500)) * time.Millisecond, Reload: time.Duration(chance.IntN(2000)) * time.Millisecond,
	}
	if chance.IntN(4) == 0 { // a crowd
		p.Client *= 8
	}
	return p
}

// answer is a host's to a request: some it rejects, the others run, and the answer to some of these is lost.
func (o *orders) answer(a standin.Ask) string {
	if a.Stop {
		return ""
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	at := o.chance.Float64()
	below := func(share float64) bool { at -= share; return at < 0 }
	switch {
	case below(o.plan.Shed):
		return standin.Answer(a.ID, "SHED", "detail=crowded", "")
	case below(o.plan.Late):
		return standin.Answer(a.ID, "LATE", "detail=behind", "")
	}
	order, key := a.Fields["path"], a.Fields["uniq"]
	if since, repeated := o.known[key]; key == "" || !repeated || time.Since(since) > keyedWindow {
		o.ran[order]++
		o.known[key] = time.Now()
	}
	if key != "" {
		o.keys[order]++
	}
	switch {
	case below(o.plan.Lost):
		_ = a.Conn.Close()
		return ""
	case below(o.plan.Faulty):
		return standin.Answer(a.ID, "FAULT", "detail=crowded", "")
	case below(o.plan.Silent):
		return ""
	}
	return standin.Hit(a.ID, "ordered")
}

// keyedFleet is processes of the program that ask who is calling, before hosts.
type keyedFleet struct {
	testing.TB
	keyedPlan
	orders    orders
	binary    string
	dir       string
	addresses []string
	running   []*exec.Cmd
	logs      []*rigs.Log
	signed    string
}

func newKeyedFleet(t testing.TB, binary string, plan keyedPlan) *keyedFleet {
	f := &keyedFleet{TB: t, keyedPlan: plan, binary: binary, dir: t.TempDir()}
	f.orders = orders{
		plan: plan, chance: rand.New(rand.NewPCG(plan.Seed, 89)), ran: map[string]int{}, known: map[string]time.Time{}, keys: map[string]int{},
	}
	changes := need.Of(standin.ListenChangeLog("127.0.0.1:0"))(t)
	t.Cleanup(changes.Close)
	list := []string{"s-0 127.0.0.1:1 origin SERVING"}
	for i := range plan.Hosts {
		list = append(list, fmt.Sprintf("s-%d %s std SERVING", 1+i, need.Host(t, f.orders.answer).Address))
	}
	changes.Push(standin.List(1, true, list...))
	key := need.Of(token.NewKey("k1", "EdDSA"))(t)
	key.State = admission.Active
	now := float64(time.Now().Unix())
	f.signed = need.Of(key.Sign(admission.Claims{Subject: "x", Tenant: "counter", IssuedAt: now, Expiry: now + 600}))(t)
	f.write("keys.json", string(need.Of(token.WriteSet([]*token.Key{key.Public()}))(t)))
	f.write("operator.jsonnet", fmt.Sprintf("{ cores: { count: 2, shards: %d }, callers: { tokens: { keys: 'keys.json' }, tenants: { counter: { rules: [{ allow: {} }] } } } }", plan.Shards))
	keyed := strings.NewReplacer(`"effect":"safe","dedupScope":"all"`, fmt.Sprintf(`"effect":"keyed","dedupScope":%q,"repeatWindow":%d`, plan.Scope, keyedWindow.Microseconds()),
		`"deadline":59999500`, fmt.Sprintf(`"deadline":%d`, keyedDeadline.Microseconds()))
	for i := range plan.Processes {
		f.addresses = append(f.addresses, standin.Free())
		f.write(fmt.Sprintf("n%d.json", i), keyed.Replace(standin.Config(f.addresses[i], changes.Address, "", 1000)))
		f.running, f.logs = append(f.running, nil), append(f.logs, &rigs.Log{})
		f.start(i)
	}
	return f
}

func (f *keyedFleet) write(name, text string) {
	require.NoError(f, os.WriteFile(filepath.Join(f.dir, name), []byte(text), 0o600))
}

// start starts a process, which ends with the test at the latest.
func (f *keyedFleet) start(i int) {
	p := exec.Command(f.binary)
	p.Env = append(os.Environ(), "PROXY_CONFIG="+filepath.Join(f.dir, fmt.Sprintf("n%d.json", i)), "ELDERWALL_OPERATOR="+filepath.Join(f.dir, "operator.jsonnet"))
	p.Stderr, p.SysProcAttr = f.logs[i], &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(f, p.Start())
	f.running[i] = p
	f.Cleanup(func() { _ = p.Process.Kill(); _ = p.Wait() })
	need.Soon(f, func() bool { return need.Ready(f.addresses[i]) })
}

// restart ends the first process, kills it as early as the platform may, and starts it anew.
func (f *keyedFleet) restart() {
	p := f.running[0]
	_ = p.Process.Signal(syscall.SIGTERM)
	time.Sleep(keyedKill)
	_ = p.Process.Kill()
	_ = p.Wait()
	f.start(0)
}

// reload sends all processes a series of signals to read their files again.
func (f *keyedFleet) reload() {
	for range 3 {
		for _, p := range f.running {
			_ = p.Process.Signal(syscall.SIGHUP)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// soakClient sends orders one after the other, each to a process that is drawn, over connections that it keeps.
type soakClient struct {
	*keyedFleet
	number     int
	identifies bool // it names itself for its connections, else in each GET
	keys       bool // its orders have keys
	chance     *rand.Rand
	open       map[int]*standin.Client
}

// dial connects to a process, where that is not done yet.
func (c *soakClient) dial(process int) (*standin.Client, error) {
	if c.open[process] != nil {
		return c.open[process], nil
	}
	client, err := standin.Dial(c.addresses[process])
	if err != nil {
		return nil, err
	}
	if c.identifies {
		if _, err := client.Identify(c.signed); err != nil {
			_ = client.Conn.Close()
			return nil, err
		}
	}
	c.open[process] = client
	return client, nil
}

func (c *soakClient) drop(process int) {
	if c.open[process] != nil {
		_ = c.open[process].Conn.Close()
		delete(c.open, process)
	}
}

// Ends of one try of an order.
const (
	trySent    = "sent"   // its connection ended, or no answer came
	tryUnsent  = "unsent" // there was no connection to send it over
	tryRefused = "refused"
)

// try sends an order once, and tells how that ended.
func (c *soakClient) try(order, text string) string {
	process := c.chance.IntN(c.Processes)
	client, err := c.dial(process)
	if err != nil {
		c.drop(process)
		return tryUnsent
	}
	_ = client.Conn.SetDeadline(time.Now().Add(2 * keyedDeadline))
	_, err = client.Process(standin.Fields(rigs.Fresh("obj", order, "nth", "0", "budget", fmt.Sprint(keyedDeadline.Milliseconds()), "token", text)...), "")
	var reply standin.Reply
	if err == nil {
		reply, err = client.Read()
	}
	if err != nil {
		c.drop(process)
		return trySent
	}
	return reply.Kind
}

// order sends an order until it is answered, and again only where a repeat is told to be harmless or hosts know it by its key.
func (c *soakClient) order(n int) string {
	order, text, began := fmt.Sprintf("%08x%08x", 1+c.number, n), "", time.Now()
	switch {
	case c.keys:
		text = "order-" + order
	case !c.identifies:
		text = c.signed
	}
	for range keyedTries {
		end := c.try(order, text)
		again := end == tryRefused || end == tryUnsent || c.keys && c.Scope == "all" && end != "served"
		if !again || c.keys && time.Since(began) > keyedWindow-2*keyedDeadline {
			return end
		}
		time.Sleep(time.Duration(c.chance.IntN(30)) * time.Millisecond)
	}
	return tryRefused
}

// run sends orders for a time, and counts how they ended.
func (c *soakClient) run(until time.Time) map[string]int {
	ends := map[string]int{}
	for n := 0; time.Now().Before(until); n++ {
		ends[c.order(n)]++
		time.Sleep(10 * time.Millisecond)
	}
	for process := range c.Processes {
		c.drop(process)
	}
	return ends
}

// play has clients of all kinds send while processes and hosts fail, and gives how orders without keys and with keys ended.
func (f *keyedFleet) play() (ends [2]map[string]int) {
	var all, faults sync.WaitGroup
	var mu sync.Mutex
	ends = [2]map[string]int{{}, {}}
	until := time.Now().Add(keyedRun)
	faults.Go(func() { time.Sleep(f.Reload); f.reload(); time.Sleep(max(0, f.Term-f.Reload)); f.restart() })
	for i := range f.Client {
		kind := i % 3
		c := &soakClient{f, i, kind > 0, kind == 2, rand.New(rand.NewPCG(f.Seed, uint64(100+i))), map[int]*standin.Client{}}
		all.Go(func() {
			got := c.run(until)
			mu.Lock()
			defer mu.Unlock()
			for end, n := range got {
				ends[map[bool]int{true: 1}[c.keys]][end] += n
			}
		})
	}
	all.Wait()
	faults.Wait()
	return ends
}

// Guards against GETs of a keyed class running twice by the work of several processes together, without keys and with them: hosts
// lose answers, fail, reject and hang, a process is ended, killed and started anew, and clients repeat what they were told to be
// harmless, at any process. ELDERWALL_KEYED_SEEDS and ELDERWALL_SOAK_FIRST play other seeds.
func TestNoOrderRunsTwiceUnderDrawnFaults(t *testing.T) {
	number := func(name string, otherwise int) int {
		if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
			return n
		}
		return otherwise
	}
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/", "elderwall/cmd/elderwall", "elderwall/cmd/elderwall-operator").CombinedOutput()
	require.NoError(t, err, "%s", out)
	first := number("ELDERWALL_SOAK_FIRST", 1)
	for seed := first; seed < first+number("ELDERWALL_KEYED_SEEDS", keyedSeeds); seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newKeyedFleet(t, filepath.Join(dir, "elderwall"), drawKeyed(uint64(seed)))
			ends := f.play()
			f.orders.mu.Lock()
			defer f.orders.mu.Unlock()
			t.Logf("%+v: without keys %v, with keys %v, %d ran", f.keyedPlan, ends[0], ends[1], len(f.orders.ran))
			for order, n := range f.orders.ran {
				assert.Equal(t, 1, n, "order %s, with keys at %d requests", order, f.orders.keys[order])
			}
			for i, log := range f.logs {
				assert.NotContains(t, log.String(), "request without an idempotency key is sent again", "process %d", i)
			}
			assert.Positive(t, ends[0]["served"])
			assert.Positive(t, ends[1]["served"])
		})
	}
}
