// Command 6 shows whether tokened GETs run twice where the dispatcher asks who is calling.
package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"elderwall/internal/standin"
	"elderwall/review/rig2"
)

const (
	caches  = 8
	orders  = 80
	between = 50 * time.Millisecond
	lost    = 10 // the host resets the connection under each so many-th request, after it has run it
)

// group is cache hosts that drop repeats together: what has run under a mark does not run again.
type group struct {
	trouble bool

	mu       sync.Mutex
	requests int
	marked   int                 // requests that bore a mark
	ran      map[string]int      // how often a GET ran, by its id
	known    map[string]bool     // marks under which something has run
	reset    map[string]bool     // GETs under which a connection was reset
	at       map[string][]string // hosts that a GET ran at
}

func newGroup(trouble bool) *group {
	return &group{trouble: trouble, ran: map[string]int{}, known: map[string]bool{}, reset: map[string]bool{}, at: map[string][]string{}}
}

// take is a request at one of the hosts; true where the connection is reset in place of an answer.
func (g *group) take(host string, a standin.Ask) (cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.requests++
	mark := a.Fields["uniq"]
	if mark != "" {
		g.marked++
	}
	if mark != "" && g.known[mark] { // a repeat: it is dropped, and its answer given again
		return false
	}
	g.known[mark] = true
	g.ran[a.ID]++
	g.at[a.ID] = append(g.at[a.ID], host)
	if g.trouble && len(g.ran)%lost == 0 && !g.reset[a.ID] {
		g.reset[a.ID] = true
		return true
	}
	return false
}

func (g *group) host(name string) func(a standin.Ask) string {
	return func(a standin.Ask) string {
		if a.Stop {
			return ""
		}
		if g.take(name, a) {
			if c, ok := a.Conn.(*net.TCPConn); ok {
				_ = c.SetLinger(0)
			}
			_ = a.Conn.Close()
			return ""
		}
		time.Sleep(5 * time.Millisecond)
		return standin.Hit(a.ID, "ordered")
	}
}

// load sends orders one after the other, each with the token that a client sends, and tells how they ended.
func load(c *rig2.Case, address string, first int, token func(n int) string) map[string]int {
	client, err := standin.Dial(address)
	c.Need(err)
	defer func() { _ = client.Conn.Close() }()
	ends := map[string]int{}
	for n := range orders {
		object := fmt.Sprintf("%016x", 0x7f3a9c2100000000+n)
		_, err := client.Process(standin.Fields("method", "order", "rid", fmt.Sprintf("%016x", first+n), "budget", "4000", "obj", object, "nth", "0", "batch", "17", "token", token(n)), "")
		c.Need(err)
		r, err := client.Read()
		c.Need(err)
		ends[strings.TrimSpace(r.Kind+" "+r.Fields["reason"])]++
		time.Sleep(between)
	}
	return ends
}

// identified sends orders with a mark each from a client that has named itself for its whole connection, and tells how they ended.
func identified(c *rig2.Case, address, signed string) map[string]int {
	client, err := standin.Dial(address)
	c.Need(err)
	defer func() { _ = client.Conn.Close() }()
	text := append(binary.BigEndian.AppendUint32([]byte{11, 0, 1}, uint32(len(signed))), signed...)
	_, err = client.Conn.Write(standin.Call("identify", 1, 1000, text))
	c.Need(err)
	_, err = client.Read()
	c.Need(err)
	ends := map[string]int{}
	for n := range 3 {
		_, err := client.Process(standin.Fields("method", "order", "rid", fmt.Sprintf("%016x", 0xfff000+n), "budget", "4000", "obj", "7f3a9c2100000000", "nth", "0", "batch", "17",
			"token", fmt.Sprintf("mark-%d", n)), "")
		c.Need(err)
		r, err := client.Read()
		c.Need(err)
		ends[strings.TrimSpace(r.Kind+" "+r.Fields["reason"])]++
	}
	return ends
}

// serve plays one dispatcher with its hosts, and tells how many GETs ran more than once.
func serve(c *rig2.Case, name string, trouble bool, token func(n int) string, env ...string) (twice int) {
	g := newGroup(trouble)
	changes, err := standin.ListenChangeLog("127.0.0.1:0")
	c.Need(err)
	defer changes.Close()
	var entries []rig2.Entry
	for i := range caches {
		id := fmt.Sprint("s-", i)
		h, err := standin.Listen("127.0.0.1:0", g.host(id))
		c.Need(err)
		defer h.Close()
		entries = append(entries, rig2.Entry{ID: id, Address: h.Address, Kind: "cache", State: "SERVING"})
	}
	changes.Push(rig2.Fleet(1, true, entries...))
	address := c.Free()
	class := rig2.Object{"name": "order", "aim": 500000, "aimStretch": 2, "deadline": 5000000, "effect": "keyed", "dedupScope": "all", "repeatWindow": 2500000, "worth": 2}
	settings := rig2.Settings(class)
	settings["limits"] = rig2.Object{
		"maxAttempts": 2, "mayCancel": false, "secondCopies": false, "retryAfter": true, "maxRetryAfter": 1000000, "connectTimeout": 700000, "idleClose": 15000000,
		"maxStreams": 100, "mostHeld": 20000,
	}
	d := c.Start(name, "exec bin/elderwall", append(env, "PROXY_CONFIG="+c.Platform(name, address, changes.Address, 1, settings))...)
	c.Until(20*time.Second, "the dispatcher is ready", func() bool { return rig2.Ready(address) })
	ends := load(c, address, 0x10000*(1+len(name)), token)
	if len(env) > 0 {
		c.Say("%s: GETs that bring their mark from a client that has named itself by `identify` ended %v", name, identified(c, address, token(0)))
	}
	d.End()
	g.mu.Lock()
	defer g.mu.Unlock()
	c.Say("%s: %d GETs ended %v; hosts got %d requests, %d of them with the client's mark; %d connections reset under a request", name, orders, ends, g.requests, g.marked, len(g.reset))
	for id, n := range g.ran {
		if n > 1 {
			twice++
			c.Say("%s: GET %s RAN %d TIMES, at %s", name, id, n, strings.Join(g.at[id], " and "))
		}
	}
	c.Say("%s: %d GETs ran more than once", name, twice)
	return twice
}

func play(c *rig2.Case) bool {
	set, private := c.Dir+"/keys.json", c.Dir+"/k1.jwk"
	for _, line := range []string{"keys new k1 --set " + set + " --private " + private, "keys activate k1 --set " + set} {
		out, err := c.Output("bin/elderwall " + line)
		if err != nil {
			c.Say("%s", out)
		}
		c.Need(err)
	}
	signed, err := c.Output("bin/elderwall token sign --private " + private + " --tenant counter --subject till-4")
	c.Need(err)
	signed = strings.TrimSpace(signed)
	file := c.File("operator.jsonnet", fmt.Sprintf("{ callers: { tokens: { keys: %q }, tenants: { counter: { rules: [{ allow: {} }] } } } }\n", set))
	mark := func(n int) string { return fmt.Sprintf("mark-%d", n) }
	before := serve(c, "nobody-asks", c.Trouble, mark)
	twice := serve(c, "who-is-calling", c.Trouble, func(int) string { return signed }, "ELDERWALL_OPERATOR="+file)
	if before > 0 {
		c.Say("also where nobody asks who is calling")
	}
	return twice > 0
}

func main() { rig2.Run(play) }
