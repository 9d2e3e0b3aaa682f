// Package standin plays the parties that a dispatcher talks to, small and by the protocol page alone: cache
// hosts, the change log and a client. Tests and the examples use it; the dispatcher does not.
package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
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
	mu       sync.Mutex
	conns    map[net.Conn]bool
	all      sync.WaitGroup
}

// Listen starts a host that writes what handle gives for each request; nothing where that is empty. Requests
// are handled side by side, STOPs before what follows them.
func Listen(address string, handle func(Ask) string) (*Host, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	h := &Host{Address: l.Addr().String(), listener: l, handle: handle, conns: map[net.Conn]bool{}}
	h.all.Go(h.accept)
	return h, nil
}

// Close ends the host with all its connections and waits for them.
func (h *Host) Close() {
	_ = h.listener.Close()
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
		h.conns[c] = true
		h.mu.Unlock()
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
