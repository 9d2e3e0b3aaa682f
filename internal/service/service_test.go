package service

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
)

// TestMain checks that neither goroutines nor sockets are left.
func TestMain(m *testing.M) {
	before := sockets()
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) {
		if after := sockets(); after > before {
			fmt.Println("sockets left open:", after-before)
			code = 1
		}
		os.Exit(code)
	}))
}

func sockets() (n int) {
	links, _ := filepath.Glob("/proc/self/fd/*")
	for _, l := range links {
		if to, err := os.Readlink(l); err == nil && strings.HasPrefix(to, "socket:") {
			n++
		}
	}
	return n
}

// dispatcher is one that runs for a test, between stand-ins of its own.
type dispatcher struct {
	t       *testing.T
	log     *standin.ChangeLog
	config  *Config
	reread  func() (*Config, error) // on SIGHUP
	signals chan os.Signal
	ended   chan error
	out     bytes.Buffer // what it logged; to be read once it has ended
}

// start runs a dispatcher that knows hosts; it is ended by SIGTERM with the test at the latest.
func start(t *testing.T, held int, hosts ...string) *dispatcher {
	log := need.Of(standin.ListenChangeLog("127.0.0.1:0"))(t)
	t.Cleanup(log.Close)
	d := &dispatcher{t: t, log: log}
	d.config = need.Of(read(t, standin.Config(standin.Free(), log.Address, "", held)))(t)
	log.Push(standin.List(1, true, hosts...))
	d.run()
	t.Cleanup(d.end)
	return d
}

func read(t *testing.T, text string) (*Config, error) {
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return ReadConfig(func(name string) string { return map[string]string{"PROXY_CONFIG": file}[name] })
}

// run runs it until it takes GETs.
func (d *dispatcher) run() {
	d.signals, d.ended = make(chan os.Signal, 4), make(chan error, 1)
	log := zerolog.New(zerolog.SyncWriter(&d.out))
	go func() { d.ended <- Run(d.config, nil, log, d.signals, func() (*Config, error) { return d.reread() }) }()
	require.Eventually(d.t, d.ready, 10*time.Second, time.Millisecond)
}

// end sends SIGTERM and waits for the end, once.
func (d *dispatcher) end() {
	if d.ended == nil {
		return
	}
	d.signals <- syscall.SIGTERM
	assert.NoError(d.t, <-d.ended)
	d.ended = nil
}

func (d *dispatcher) dial() *standin.Client { return need.Client(d.t, d.config.Listen) }
func (d *dispatcher) ready() bool           { return need.Ready(d.config.Listen) }

// get asks one GET on a connection of its own.
func (d *dispatcher) get(changes ...string) standin.Reply {
	c := d.dial()
	defer func() { _ = c.Conn.Close() }()
	need.Of(c.Process(standin.Fields(changes...), "body"))(d.t)
	return need.Of(c.Read())(d.t)
}

// host starts a stand-in host that keeps what it was asked, and answers.
func host(t *testing.T, answer func(standin.Ask) string) (*standin.Host, chan standin.Ask) {
	asked := make(chan standin.Ask, 1000)
	h := need.Of(standin.Listen("127.0.0.1:0", func(a standin.Ask) string { text := answer(a); asked <- a; return text }))(t)
	t.Cleanup(h.Close)
	return h, asked
}

func hit(a standin.Ask) string {
	if a.Stop {
		return ""
	}
	return standin.Hit(a.ID, "bytes of "+a.Fields["path"])
}

func word(w, detail string) func(standin.Ask) string {
	return func(a standin.Ask) string { return standin.Answer(a.ID, w, "detail="+detail, "") }
}

const object, rid = "7f3a9c21e0b4d655", "9b1f03aa5c7e2d41"

func TestWhatAClientGets(t *testing.T) {
	reset := func(a standin.Ask) string { _ = a.Conn.Close(); return "" }
	served := standin.Reply{Seq: 1, Method: "process", Kind: "served", Body: "bytes of " + object, Fields: map[string]string{}, Good: true}
	same := served
	same.Body, same.Fields = "", map[string]string{"ok304": "1"}
	refused := standin.Reply{Seq: 1, Method: "process", Kind: "refused", Fields: map[string]string{}}
	failed := standin.Reply{Seq: 1, Method: "process", Kind: "failed", Fields: map[string]string{}}
	for _, tt := range []struct {
		name    string
		first   func(standin.Ask) string // one of two caches, the other one hits
		both    bool                     // or both are like the first
		changes []string
		want    standin.Reply
	}{
		{"a hit", hit, true, nil, served},
		{"the bytes although it holds a copy", hit, true, []string{"got", "4be0c1927d55a6f3"}, served},
		{"that its copy is the one", word("VALID", "mem,rev=4be0c1927d55a6f3"), true, []string{"got", "4be0c1927d55a6f3"}, same},
		{"the bytes, where one calls a copy current that it has not", word("VALID", "mem,rev=4be0c1927d55a6f3"), false, nil, served},
		{"the bytes, where one names another copy", word("VALID", "mem,rev=77"), false, []string{"got", "4be0c1927d55a6f3"}, served},
		{"the bytes, where one names none", word("VALID", "mem"), false, []string{"got", "4be0c1927d55a6f3"}, served},
		{"a refusal, where all name another copy", word("VALID", "mem,rev=77"), true, []string{"got", "4be0c1927d55a6f3"}, refused},
		{"a hit from the other, where one breaks off", reset, false, nil, served},
		{"a hit from the other, where one faults", word("FAULT", "crowded"), false, nil, served},
		{"a hit from the other, where one is full", word("SHED", "crowded"), false, nil, served},
		{"a refusal, where all break off", reset, true, nil, refused},
		{"a refusal, where all fault", word("FAULT", "crowded"), true, nil, refused},
		{"a refusal, where all lack it", word("NONE", "absent"), true, nil, refused},
		{"a refusal, where all find it over", word("LATE", "mem"), true, nil, refused},
		{"a refusal in its time, where all are silent", func(standin.Ask) string { return "" }, true, []string{"budget", "200"}, refused},
		{"a failure, for an unknown delivery service", hit, true, []string{"method", "else"}, failed},
		{"a failure, for a malformed id", hit, true, []string{"rid", "9b1f03aa5c7e2d4,"}, failed},
		{"a failure, for a malformed object", hit, true, []string{"obj", "7f3a"}, failed},
		{"a failure, for no object", hit, true, []string{"obj", ""}, failed},
		{"a failure, for a budget of nothing", hit, true, []string{"budget", "0"}, failed},
		{"a failure, for a part that is no number", hit, true, []string{"nth", "one"}, failed},
		{"a failure, for a group below none", hit, true, []string{"batch", "-1"}, failed},
		{"a failure, for a group above the last", hit, true, []string{"batch", "256"}, failed},
		{"a failure, for a number in another form", hit, true, []string{"nth", "+3"}, failed},
		{"a failure, for a budget above the viewer timeout", hit, true, []string{"budget", "60001"}, failed},
		{"a failure, for a malformed tag", hit, true, []string{"got", "a,b=c"}, failed}} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a, asked := host(t, tt.first)
			b, askedToo := host(t, map[bool]func(standin.Ask) string{true: tt.first, false: hit}[tt.both])
			d := start(t, 1000, "s-1 "+a.Address+" std SERVING", "s-2 "+b.Address+" std SERVING", "s-3 127.0.0.1:1 origin SERVING")
			assert.Equal(t, tt.want, d.get(tt.changes...))
			d.end()
			a.Close()
			b.Close()
			close(asked)
			close(askedToo)
			for _, askedOf := range []chan standin.Ask{asked, askedToo} {
				for q := range askedOf {
					if q.Stop {
						continue
					}
					assert.Equal(t, []string{rid, "segment", object, "3", "s-3", "1", "body"},
						[]string{q.ID, q.Fields["queue"], q.Fields["path"], q.Fields["blk"], q.Fields["up"], q.Fields["store"], q.Body})
				}
			}
		})
	}
}

// Nothing is remembered of what was current: each claim has a host behind it that named the copy for this very GET, also after
// a purge and after a restart.
func TestACopyIsCalledCurrentByAHostEachTime(t *testing.T) {
	const tag = "4be0c1927d55a6f3"
	a, asked := host(t, func(a standin.Ask) string {
		return standin.Answer(a.ID, "VALID", "detail=mem,rev="+a.Fields["inm"], "")
	})
	d := start(t, 1000, "s-1 "+a.Address+" std SERVING", "s-2 127.0.0.1:1 origin SERVING")
	for _, before := range []func(){
		func() {}, func() {},
		func() { d.log.Push(`{"seq":2,"invalidate":{"object":"` + object + `","time":1764576000123}}`) },
		func() { d.end(); d.run() }} {
		before()
		assert.Equal(t, map[string]string{"ok304": "1"}, d.get("got", tag).Fields)
		require.Len(t, asked, 1, "one host was asked")
		assert.Equal(t, tag, (<-asked).Fields["inm"])
	}
}

func TestGiveUpStopsTheForward(t *testing.T) {
	a, asked := host(t, func(standin.Ask) string { return "" })
	d := start(t, 1000, "s-1 "+a.Address+" std SERVING", "s-2 127.0.0.1:1 origin SERVING")
	c := d.dial()
	seq, err := c.Process(standin.Fields(), "")
	require.NoError(t, err)
	<-asked
	require.NoError(t, c.GiveUp(seq))
	assert.Equal(t, standin.Ask{ID: rid, Stop: true}, func() standin.Ask { a := <-asked; return standin.Ask{ID: a.ID, Stop: a.Stop} }())
	good, err := c.Probe() // and no answer to the GET before it
	require.NoError(t, err)
	assert.True(t, good)
}

func TestHoldsNoMoreThanItMay(t *testing.T) {
	a, asked := host(t, func(standin.Ask) string { return "" })
	d := start(t, 1, "s-1 "+a.Address+" std SERVING", "s-2 127.0.0.1:1 origin SERVING")
	c := d.dial()
	for _, id := range []string{rid, rid, "9b1f03aa5c7e2d42"} {
		need.Of(c.Process(standin.Fields("rid", id), ""))(t)
	}
	<-asked
	r := need.Of(c.Read())(t)
	assert.Equal(t, []any{int32(2), "failed"}, []any{r.Seq, r.Kind}, "an id that is open")
	r = need.Of(c.Read())(t)
	assert.Equal(t, []any{int32(3), "refused"}, []any{r.Seq, r.Kind})
	_ = c.Conn.Close()
}

func TestChangesOfTheList(t *testing.T) {
	a, askedA := host(t, hit)
	b, askedB := host(t, hit)
	d := start(t, 1000, "s-1 "+a.Address+" std SERVING", "s-2 127.0.0.1:1 origin SERVING")
	served := func(from chan standin.Ask) standin.Ask { require.Equal(t, "served", d.get().Kind); return <-from }
	until := func(done func() bool) { // the change has come
		for !done() {
			d.get()
		}
	}
	old := served(askedA)
	d.log.Push(standin.List(2, false, "s-1 "+a.Address+" std DRAINING", "s-3 "+b.Address+" std SERVING",
		"s-8 127.0.0.1:1 unknown SERVING", "s-9 127.0.0.1:1 std SLEEPING", "s,9 127.0.0.1:1 std SERVING")) // three are passed over
	until(func() bool { return len(askedB) > 0 })
	for len(askedA) > 0 {
		<-askedA
	}
	served(askedB)
	assert.Empty(t, askedA, "a host that drains gets nothing new")
	d.log.Push(standin.List(3, false, "s-1 "+a.Address+" std DELETED", "s-3 "+b.Address+" std DELETED", "s-4 "+a.Address+" std SERVING"))
	until(func() bool { return len(askedA) > 0 })
	assert.NotSame(t, old.Conn, served(askedA).Conn, "an address that passes on is connected to anew")
	d.log.Push(fmt.Sprintf(`{"seq":4,"invalidate":{"object":%q,"time":%d}}`, object, time.Now().UnixMilli()))
	until(func() bool { return (<-askedA).Fields["cap"] != "" })
	d.log.Push(standin.List(5, true, "s-2 127.0.0.1:1 origin SERVING"))
	for d.get().Kind != "refused" { // no cache is left in the whole list
	}
}

func TestEndsWhenAllIsAnswered(t *testing.T) {
	release := make(chan bool)
	a, asked := host(t, func(a standin.Ask) string { <-release; return hit(a) })
	d := start(t, 1000, "s-1 "+a.Address+" std SERVING", "s-2 127.0.0.1:1 origin SERVING")
	c := d.dial()
	_, err := c.Process(standin.Fields(), "")
	require.NoError(t, err)
	d.signals <- syscall.SIGUSR1
	d.signals <- syscall.SIGTERM
	for d.ready() {
	}
	_, err = c.Process(standin.Fields("rid", "9b1f03aa5c7e2d42"), "") // while it drains
	require.NoError(t, err)
	close(release)
	for range 2 {
		assert.Equal(t, "served", need.Of(c.Read())(t).Kind)
	}
	require.NoError(t, <-d.ended)
	assert.Len(t, asked, 2)
	assert.Equal(t, 2, strings.Count(d.out.String(), `"message":"counters"`), "on request and at the end")
	assert.Contains(t, d.out.String(), `"GETs":2,`)
	d.run() // from nothing, under the same address
	assert.Equal(t, "served", d.get().Kind)
}

func TestReadsItsConfigurationAgain(t *testing.T) {
	a, askedA := host(t, hit)
	b, askedB := host(t, hit)
	d := start(t, 1000, "s-1 "+a.Address+" std SERVING", "s-2 127.0.0.1:1 origin SERVING")
	moved := need.Of(standin.ListenChangeLog("127.0.0.1:0"))(t)
	t.Cleanup(moved.Close)
	moved.Push(standin.List(1, true, "s-1 127.0.0.1:1 std SERVING")) // the numbers go on: this one is known
	moved.Push(standin.List(2, false, "s-1 "+a.Address+" std DELETED", "s-3 "+b.Address+" std SERVING"))
	c := d.dial()
	usual := func(id string) {
		need.Of(c.Process(standin.Fields("rid", id), ""))(t)
		require.Equal(t, "served", need.Of(c.Read())(t).Kind)
	}
	usual(rid)
	<-askedA
	texts, reread := []string{"{", standin.Config("127.0.0.1:1", moved.Address, "", 999)}, make(chan bool, 2)
	d.reread = func() (*Config, error) {
		text := texts[0]
		texts = texts[1:]
		defer func() { reread <- true }()
		return read(t, text)
	}
	d.signals <- syscall.SIGHUP
	<-reread
	usual(rid)
	assert.Len(t, askedA, 1, "with an unusable one the old one serves on")
	d.signals <- syscall.SIGHUP
	for i := 0; len(askedB) == 0; i++ {
		usual(fmt.Sprintf("%016x", i))
		for len(askedA) > 0 { // which holds only so many
			<-askedA
		}
	}
	assert.Equal(t, int64(1), moved.Asked()[0])
	d.end()
	assert.Contains(t, d.out.String(), `"needsRestart":["listen","settings"]`)
	assert.Equal(t, 1, strings.Count(d.out.String(), "the old one stays"))
}

// neverQuiet is a server with a client that does not read.
type neverQuiet struct{ closed bool }

func (s *neverQuiet) Close()      { s.closed = true }
func (s *neverQuiet) Quiet() bool { return false }

func TestADrainEndsAlthoughAClientDoesNotRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s, told := &neverQuiet{}, false
	drain(zerolog.Nop(), func() { told = true }, s, func() { _ = l.Close() }, 0)
	assert.True(t, told && s.closed)
	_, err = l.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
	assert.Equal(t, 59999500*time.Microsecond, need.Of(read(t, standin.Config("127.0.0.1:0", "127.0.0.1:1", "", 10)))(t).longest())
}

func TestWhatNothingCanStartWith(t *testing.T) {
	whole := standin.Config("127.0.0.1:0", "127.0.0.1:1", "", 10)
	for name, text := range map[string]string{
		"no JSON":             "{",
		"no seed":             strings.Replace(whole, "8c1f30d27a5be964", "", 1),
		"no address":          strings.Replace(whole, `"127.0.0.1:0"`, `""`, 1),
		"no change log":       strings.Replace(whole, `"127.0.0.1:1"`, `""`, 1),
		"a name to listen at": strings.Replace(whole, `"127.0.0.1:0"`, `"localhost:0"`, 1),
		"no memory":           strings.Replace(whole, `"memory_mb":192`, `"memory_mb":0`, 1),
		"too few sockets":     strings.Replace(whole, `"sockets":1024`, `"sockets":9`, 1),
		"no settings":         strings.Replace(whole, `"settings":{`, `"settings":7,"other":{`, 1),
		"no delivery service": strings.Replace(whole, `"classes":[`, `"classes":[],"others":[`, 1),
		"no streams":          strings.Replace(whole, `"maxStreams":10`, `"maxStreams":0`, 1)} {
		_, err := read(t, text)
		assert.Error(t, err, name)
	}
	_, err := ReadConfig(func(string) string { return "" })
	assert.Error(t, err, "no file")
	c := need.Of(read(t, whole))(t)
	c.Listen = "127.0.0.1:99999"
	assert.Error(t, Run(c, nil, zerolog.Nop(), nil, nil), "an address that can't be listened at")
}
