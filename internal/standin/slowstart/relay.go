package slowstart

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	relayBuffer = 32 << 10 // bytes
	holdLook    = 5 * time.Millisecond
)

// Relay stands between a dispatcher and its change log.
type Relay struct {
	Address string

	to       string
	listener net.Listener
	all      sync.WaitGroup

	mu     sync.Mutex // guards what follows
	held   bool
	delay  time.Duration
	closed bool
	conns  map[net.Conn]bool
}

// NewRelay starts a relay to an address.
func NewRelay(to string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{Address: l.Addr().String(), to: to, listener: l, conns: map[net.Conn]bool{}}
	r.all.Go(r.accept)
	return r, nil
}

// Hold has it carry nothing while it lasts: its connections stay open and silent.
func (r *Relay) Hold(held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held = held
}

// Delay has it carry all of the change log's bytes so much later.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Reset closes its connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Close ends it.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.Reset()
	r.all.Wait()
}

func (r *Relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = in.Close()
			continue
		}
		r.keep(in, out)
		r.all.Go(func() { r.carry(in, out, false) })
		r.all.Go(func() { r.carry(out, in, true) })
	}
}

func (r *Relay) keep(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
	}
}

// carry carries what one end says to the other one.
func (r *Relay) carry(from, to net.Conn, events bool) {
	defer func() {
		_, _ = from.Close(), to.Close()
		r.mu.Lock()
		delete(r.conns, from)
		r.mu.Unlock()
	}()
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		if err != nil || !r.pass(events) {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// pass waits until bytes may pass; false once the relay has ended.
func (r *Relay) pass(events bool) bool {
	from := time.Now()
	for {
		r.mu.Lock()
		held, delay, closed := r.held, r.delay, r.closed
		r.mu.Unlock()
		if closed {
			return false
		}
		if !held && (!events || time.Since(from) >= delay) {
			return true
		}
		time.Sleep(holdLook)
	}
}
