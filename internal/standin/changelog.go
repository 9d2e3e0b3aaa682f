package standin

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

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
