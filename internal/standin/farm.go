package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/maypok86/otter/v2"
)

// FarmOptions is a farm of cache hosts that answer fast enough to load many cores.
type FarmOptions struct {
	Caches  int
	Parents int
	Bytes   int           // of each answer
	Holds   int           // objects that each cache keeps; the least worth keeping go
	Fill    time.Duration // that a miss takes
	Serve   time.Duration // that a hit takes; 0 answers at once
}

// FarmCounts is what a farm was asked.
type FarmCounts struct {
	Requests int64 `json:"Requests"`
	Hits     int64 `json:"Hits"`
	Fills    int64 `json:"Fills"`
	Stops    int64 `json:"Stops"`
	Items    int64 `json:"Items"`
	Copies   int64 `json:"Copies"`
}

// Farm is caches, parents and an origin with a change log.
type Farm struct {
	FarmOptions
	Changes *ChangeLog

	hosts  []*farmHost
	counts struct{ requests, hits, fills, stops atomic.Int64 }
	body   []byte
	all    sync.WaitGroup
}

type farmHost struct {
	farm     *Farm
	listener net.Listener
	held     *otter.Cache[string, struct{}]
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// StartFarm starts one on loopback, with its list in its change log.
func StartFarm(o FarmOptions) (*Farm, error) {
	f := &Farm{FarmOptions: o, body: bytes.Repeat([]byte("x"), o.Bytes)}
	var err error
	if f.Changes, err = ListenChangeLog("127.0.0.1:0"); err != nil {
		return nil, err
	}
	var entries []string
	for i := range o.Caches + o.Parents + 1 {
		h := &farmHost{farm: f, conns: map[net.Conn]bool{}}
		if h.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, fmt.Errorf("stand-in: %w", err)
		}
		kind := "origin"
		switch {
		case i < o.Caches:
			kind = "std"
			h.held = must(otter.New(&otter.Options[string, struct{}]{MaximumSize: max(1, o.Holds)}))
		case i < o.Caches+o.Parents:
			kind = "parent"
		}
		f.hosts = append(f.hosts, h)
		entries = append(entries, fmt.Sprintf("s-%d %s %s SERVING", i+1, h.listener.Addr(), kind))
		f.all.Go(h.accept)
	}
	f.Changes.Push(List(1, true, entries...))
	return f, nil
}

// Close ends it.
func (f *Farm) Close() {
	f.Changes.Close()
	for _, h := range f.hosts {
		_ = h.listener.Close()
		h.mu.Lock()
		for c := range h.conns {
			_ = c.Close()
		}
		h.mu.Unlock()
	}
	f.all.Wait()
}

// Counts is what it was asked so far, and how many copies of how many items its caches hold.
func (f *Farm) Counts() (c FarmCounts) {
	c = FarmCounts{Requests: f.counts.requests.Load(), Hits: f.counts.hits.Load(), Fills: f.counts.fills.Load(), Stops: f.counts.stops.Load()}
	items := map[string]bool{}
	for _, h := range f.hosts[:f.Caches] {
		for name := range h.held.Keys() {
			items[name] = true
			c.Copies++
		}
	}
	c.Items = int64(len(items))
	return c
}

// Text is the counts as JSON.
func (c FarmCounts) Text() string {
	raw, _ := json.Marshal(c)
	return string(raw)
}

func (h *farmHost) accept() {
	for {
		c, err := h.listener.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		h.conns[c] = true
		h.mu.Unlock()
		h.farm.all.Go(func() {
			h.serve(c)
			_ = c.Close()
			h.mu.Lock()
			delete(h.conns, c)
			h.mu.Unlock()
		})
	}
}

// farmConn writes answers, those that are ready together with one call.
type farmConn struct {
	mu  sync.Mutex
	out *bufio.Writer
}

func (c *farmConn) write(b []byte, flush bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.out.Write(b)
	if flush {
		_ = c.out.Flush()
	}
}

func (h *farmHost) serve(c net.Conn) {
	in, out := bufio.NewReaderSize(c, 64<<10), &farmConn{out: bufio.NewWriterSize(c, 64<<10)}
	var answer []byte
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		words := bytes.Fields(line)
		switch string(words[0]) {
		case "HELO":
			out.write(append(append([]byte{}, words[1]...), " PONG\r\n"...), true)
			continue
		case "STOP":
			h.farm.counts.stops.Add(1)
			continue
		}
		id, fields := string(words[1]), words[2]
		name, up := string(fieldOf(fields, "path="))+"/"+string(fieldOf(fields, "blk=")), fieldOf(fields, "up=")
		size, _ := strconv.Atoi(string(words[3]))
		if _, err := io.CopyN(io.Discard, in, int64(size+2)); err != nil {
			return
		}
		word, detail, wait := h.look(name, len(up) > 0)
		if wait == 0 {
			answer = h.farm.append(answer[:0], id, word, detail)
			out.write(answer, in.Buffered() == 0)
			continue
		}
		time.AfterFunc(wait, func() { out.write(h.farm.append(nil, id, word, detail), true) })
	}
}

func fieldOf(fields []byte, name string) []byte {
	i := bytes.Index(fields, []byte(name))
	if i < 0 || i > 0 && fields[i-1] != ',' {
		return nil
	}
	value, _, _ := bytes.Cut(fields[i+len(name):], []byte(","))
	return value
}

// look tells what a host answers, and after how long.
func (h *farmHost) look(name string, fill bool) (word, detail string, wait time.Duration) {
	f := h.farm
	f.counts.requests.Add(1)
	if h.held == nil {
		return "HIT", "mem", f.Serve
	}
	if _, held := h.held.GetIfPresent(name); held {
		f.counts.hits.Add(1)
		return "HIT", "mem", f.Serve
	}
	if !fill {
		return "NONE", "", 0
	}
	f.counts.fills.Add(1)
	h.held.Set(name, struct{}{})
	return "HIT", "parent", f.Fill
}

func (f *Farm) append(b []byte, id, word, detail string) []byte {
	b = append(append(append(b, id...), ' '), word...)
	if word == "NONE" {
		return append(b, " - 0\r\n\r\n"...)
	}
	b = append(append(append(b, " rev=4be0c1927d55a6f3,since=1764576000123,detail="...), detail...), ' ')
	b = append(strconv.AppendInt(b, int64(len(f.body)), 10), "\r\n"...)
	return append(append(b, f.body...), "\r\n"...)
}
