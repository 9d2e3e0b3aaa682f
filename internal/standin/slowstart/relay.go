package slowstart

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	relayBuffer  = 32 << 10 // bytes
	mostUnderWay = 1 << 10  // reads
	holdLook     = 5 * time.Millisecond
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

// chunk is bytes on their way.
type chunk struct {
	bytes []byte
	from  time.Time // when they came
}

// carry carries what one end says to the other one.
func (r *Relay) carry(from, to net.Conn, events bool) {
	underWay := make(chan chunk, mostUnderWay)
	r.all.Go(func() { r.deliver(to, underWay, events) })
	defer func() {
		close(underWay)
		_ = from.Close()
		r.mu.Lock()
		delete(r.conns, from)
		r.mu.Unlock()
	}()
	for {
		buf := make([]byte, relayBuffer)
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		underWay <- chunk{buf[:n], time.Now()}
	}
}

// deliver writes what is on its way once it may pass, and then ends the connection.
func (r *Relay) deliver(to net.Conn, underWay <-chan chunk, events bool) {
	defer func() { _ = to.Close() }()
	for c := range underWay {
		if !r.pass(c.from, events) {
			_ = to.Close()
		}
		_, _ = to.Write(c.bytes) // what can't be written is dropped: the other way ends with it
	}
}

// pass waits until bytes that came at a moment may pass; false once the relay has ended.
func (r *Relay) pass(from time.Time, events bool) bool {
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
