// Package standin plays the parties that a dispatcher talks to, small and by the protocol page alone: cache
// hosts, the change log and a client. Tests and the examples use it; the dispatcher does not.
package standin

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Ask is one request as a cache host gets it, or one STOP.
type Ask struct {
	ID     string
	Stop   bool
	Fields map[string]string
	Body   string
	Conn   net.Conn
}

// Host is a cache host, a parent or the origin.
type Host struct {
	Address string

	listener net.Listener
	handle   func(Ask) string
	mu       sync.Mutex // guards conns and closed
	conns    map[net.Conn]bool
	closed   bool
	all      sync.WaitGroup
}

// Listen starts a host that writes what handle gives for each request; nothing where that is empty. Requests
// are handled side by side, STOPs before what follows them.
func Listen(address string, handle func(Ask) string) (*Host, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	return Serve(l, handle), nil
}

// Serve is Listen with a listener of the caller's, which ends with the host.
func Serve(l net.Listener, handle func(Ask) string) *Host {
	h := &Host{Address: l.Addr().String(), listener: l, handle: handle, conns: map[net.Conn]bool{}}
	h.all.Go(h.accept)
	return h
}

// Close ends the host with all its connections and waits for them.
func (h *Host) Close() {
	_ = h.listener.Close()
	h.mu.Lock()
	h.closed = true // one that is accepted just now is closed there
	h.mu.Unlock()
	h.Reset()
	h.all.Wait()
}

// Reset closes the connections alone, and tells how many there were.
func (h *Host) Reset() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for c := range h.conns {
		_ = c.Close()
	}
	return len(h.conns)
}

func (h *Host) accept() {
	for {
		c, err := h.listener.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		closed := h.closed
		h.conns[c] = !closed
		h.mu.Unlock()
		if closed {
			_ = c.Close()
			return
		}
		h.all.Go(func() {
			h.serve(c)
			h.mu.Lock()
			delete(h.conns, c)
			h.mu.Unlock()
		})
	}
}

func (h *Host) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	var writing sync.Mutex
	answer := func(text string) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = io.WriteString(c, text)
	}
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		ask := Ask{Conn: c, Stop: words[0] == "STOP", ID: words[1], Fields: map[string]string{}}
		switch words[0] {
		case "HELO":
			answer(ask.ID + " PONG\r\n")
		case "STOP":
			answer(h.handle(ask))
		case "REQ":
			for _, pair := range strings.Split(words[2], ",") {
				name, value, _ := strings.Cut(pair, "=")
				ask.Fields[name] = value
			}
			size, _ := strconv.Atoi(words[3])
			body := make([]byte, size+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			ask.Body = string(body[:size])
			h.all.Go(func() { answer(h.handle(ask)) })
		}
	}
}

// Answer is the text of an answer.
func Answer(id, word, fields, body string) string {
	return fmt.Sprintf("%s %s %s %d\r\n%s\r\n", id, word, fields, len(body), body)
}

// Hit is the text of an answer with bytes from the host's own memory.
func Hit(id, body string) string {
	return Answer(id, "HIT", "rev=4be0c1927d55a6f3,since=1764576000123,detail=mem", body)
}

// Hits is what a host does that has all copies, each of those bytes.
func Hits(body string) func(Ask) string {
	return func(a Ask) string {
		if a.Stop {
			return ""
		}
		return Hit(a.ID, body)
	}
}

// ChangeLog is a change log; net/http makes it a peer of other making than the parser that it tries.
type ChangeLog struct {
	Address string

	server  *http.Server
	mu      sync.Mutex
	events  []string
	changed chan struct{}
	asked   []int64 // the last event that each request named
}

// ListenChangeLog starts a change log that has no events.
func ListenChangeLog(address string) (*ChangeLog, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	c := &ChangeLog{Address: l.Addr().String(), changed: make(chan struct{})}
	c.server = &http.Server{Handler: http.HandlerFunc(c.serve)}
	go func() { _ = c.server.Serve(l) }()
	return c, nil
}

// Close ends the change log with all its connections.
func (c *ChangeLog) Close() { _ = c.server.Close() }

// Push adds an event as text, which becomes the next number; the text stands for itself, sound or not.
func (c *ChangeLog) Push(data string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, data)
	close(c.changed)
	c.changed = make(chan struct{})
}

// Asked lists the last event that each request has named.
func (c *ChangeLog) Asked() []int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]int64(nil), c.asked...)
}

func (c *ChangeLog) serve(w http.ResponseWriter, r *http.Request) {
	last, err := strconv.ParseInt(r.Header.Get("Last-Event-ID"), 10, 64)
	if err != nil || r.URL.Path != "/changes" {
		http.Error(w, "no such thing", http.StatusNotFound)
		return
	}
	c.mu.Lock()
	c.asked = append(c.asked, last)
	c.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	for {
		c.mu.Lock()
		events, changed := c.events, c.changed
		c.mu.Unlock()
		for ; int(last) < len(events); last++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", last+1, events[last])
		}
		_, _ = fmt.Fprint(w, ": here\n\n")
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-time.After(time.Second):
		case <-r.Context().Done():
			return
		}
	}
}

// Client is a client of a dispatcher, on one connection.
type Client struct {
	Conn net.Conn
	seq  int32
}

// Reply is what a dispatcher answered: Kind is served, refused, failed, or exception.
type Reply struct {
	Seq    int32
	Method string
	Kind   string
	Body   string
	Fields map[string]string
	Good   bool
}

// Dial connects a client.
func Dial(address string) (*Client, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	return &Client{Conn: c}, nil
}

// Fields are those of a GET as clients send them, with changes; a change to "" leaves the field out.
func Fields(changes ...string) map[string]string {
	fields := map[string]string{
		"method": "segment", "rid": "9b1f03aa5c7e2d41", "budget": "60000",
		"obj": "7f3a9c21e0b4d655", "nth": "3", "batch": "17",
	}
	for i := 0; i+1 < len(changes); i += 2 {
		if fields[changes[i]] = changes[i+1]; changes[i+1] == "" {
			delete(fields, changes[i])
		}
	}
	return fields
}

// Call is the frame of a call, whose arguments are given as they go on the wire.
func Call(method string, kind byte, seq int32, arguments []byte) []byte {
	b := append([]byte{0, 0, 0, 0, 0x80, 1, 0, kind}, text(method)...)
	b = append(binary.BigEndian.AppendUint32(b, uint32(seq)), arguments...)
	b = append(b, 0)
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	return b
}

// ProcessArguments are those of a GET.
func ProcessArguments(fields map[string]string, body string) []byte {
	var names []string
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	b := binary.BigEndian.AppendUint32([]byte{13, 0, 1, 11, 11}, uint32(len(names)))
	for _, name := range names {
		b = append(append(b, text(name)...), text(fields[name])...)
	}
	return append(append(b, 11, 0, 2), text(body)...)
}

// GiveUpArguments are those of giving up a call.
func GiveUpArguments(seq int32) []byte {
	return binary.BigEndian.AppendUint32([]byte{8, 0, 1}, uint32(seq))
}

func text(s string) []byte { return append(binary.BigEndian.AppendUint32(nil, uint32(len(s))), s...) }

// Process sends a GET and returns its number.
func (c *Client) Process(fields map[string]string, body string) (int32, error) {
	c.seq++
	return c.seq, c.write(Call("process", 1, c.seq, ProcessArguments(fields, body)))
}

// GiveUp sends that a call is given up.
func (c *Client) GiveUp(seq int32) error { return c.write(Call("giveUp", 4, 0, GiveUpArguments(seq))) }

// Probe asks whether the dispatcher takes GETs.
func (c *Client) Probe() (bool, error) {
	c.seq++
	if err := c.write(Call("probe", 1, c.seq, []byte{2, 0, 1, 0})); err != nil {
		return false, err
	}
	r, err := c.Read()
	return r.Good, err
}

func (c *Client) write(frame []byte) error {
	if _, err := c.Conn.Write(frame); err != nil {
		return fmt.Errorf("stand-in: %w", err)
	}
	return nil
}

// Read reads one reply.
func (c *Client) Read() (Reply, error) {
	var size [4]byte
	if _, err := io.ReadFull(c.Conn, size[:]); err != nil {
		return Reply{}, fmt.Errorf("stand-in: %w", err)
	}
	frame := make([]byte, binary.BigEndian.Uint32(size[:]))
	if _, err := io.ReadFull(c.Conn, frame); err != nil {
		return Reply{}, fmt.Errorf("stand-in: %w", err)
	}
	return parse(frame), nil
}

// parse reads a reply of the forms that the page gives; others make it panic, which is what a test wants.
func parse(frame []byte) Reply {
	at := 4
	number := func() int { at += 4; return int(int32(binary.BigEndian.Uint32(frame[at-4:]))) }
	word := func() string { n := number(); at += n; return string(frame[at-n : at]) }
	r := Reply{Method: word(), Seq: int32(number()), Fields: map[string]string{}}
	fields := func() {
		at += 2 // the types of names and values
		for n := number(); n > 0; n-- {
			name := word()
			r.Fields[name] = word()
		}
	}
	if frame[3] == 3 {
		r.Kind = "exception"
		return r
	}
	r.Kind = []string{"served", "refused", "failed"}[frame[at+2]]
	for at += 3; frame[at] != 0; {
		kind := frame[at]
		at += 3
		switch kind {
		case 11:
			r.Body = word()
		case 13:
			fields()
		case 2:
			r.Good = frame[at] == 1
			at++
		}
	}
	if at != len(frame)-2 || frame[at+1] != 0 {
		panic("bytes behind the reply")
	}
	return r
}
