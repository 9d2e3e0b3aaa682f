// Package processes is a rig of real processes of the program, between stand-in hosts and clients, with relays between each
// ordered pair of them on which faults are put. All of it is on loopback, bounded, and ends with its test; it ends only what
// it started.
package processes

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	mostHeld    = 4096 // datagrams that a relay holds back at a time
	mostStreams = 32   // through a relay at a time
	streamTime  = 20 * time.Second
)

// Link is what a relay does to what goes one way between two processes. The zero value does nothing.
type Link struct {
	Cut     bool
	Loss    float64       // share of datagrams; streams bear it, as the kernel sends again
	Double  float64       // share of datagrams that come twice
	Delay   time.Duration // of each
	Reorder time.Duration // more of some, by chance up to this
	Rate    int           // bytes a second of a stream; 0 for any
}

// relay carries what one process sends another.
type relay struct {
	rig      *Rig
	from, to int
	udp      *net.UDPConn
	tcp      net.Listener
	held     atomic.Int64
	chance   *rand.Rand // of the one goroutine that reads datagrams
}

// links is what all relays do, by from and to.
type links struct {
	mu  sync.Mutex
	all map[[2]int]Link
}

func (l *links) get(from, to int) Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all[[2]int{from, to}]
}

func (l *links) set(from, to int, change func(*Link)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := l.all[[2]int{from, to}]
	change(&at)
	l.all[[2]int{from, to}] = at
}

func newRelay(r *Rig, from, to int) (*relay, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 100+r.number%100, 1+from, 1+to)
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	at := l.Addr().(*net.TCPAddr)
	u, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port})
	if err != nil {
		_ = l.Close()
		return nil, fmt.Errorf("relay: %w", err)
	}
	e := &relay{rig: r, from: from, to: to, udp: u, tcp: l, chance: rand.New(rand.NewPCG(r.Seed, uint64(from<<16+to)))}
	r.all.Go(e.datagrams)
	r.all.Go(e.streams)
	return e, nil
}

func (e *relay) address() string { return e.tcp.Addr().String() }

func (e *relay) close() {
	_ = e.udp.Close()
	_ = e.tcp.Close()
}

func (e *relay) datagrams() {
	to, err := net.ResolveUDPAddr("udp", e.rig.Processes[e.to].Fleet)
	if err != nil {
		return
	}
	buf := make([]byte, 64<<10)
	for {
		n, _, err := e.udp.ReadFromUDP(buf)
		if err != nil {
			if e.rig.closed.Load() {
				return
			}
			continue
		}
		l := e.rig.links.get(e.from, e.to)
		if l.Cut || e.chance.Float64() < l.Loss {
			continue
		}
		times := 1
		if e.chance.Float64() < l.Double {
			times = 2
		}
		for range times {
			wait := l.Delay
			if l.Reorder > 0 {
				wait += time.Duration(e.chance.Int64N(int64(l.Reorder)))
			}
			if wait == 0 {
				_, _ = e.udp.WriteToUDP(buf[:n], to)
				continue
			}
			if e.held.Load() >= mostHeld {
				continue
			}
			e.held.Add(1)
			b := append([]byte(nil), buf[:n]...)
			time.AfterFunc(wait, func() {
				defer e.held.Add(-1)
				_, _ = e.udp.WriteToUDP(b, to)
			})
		}
	}
}

// streams carries connections; one that is cut either way carries nothing more, as its acknowledgements are lost.
func (e *relay) streams() {
	places := make(chan struct{}, mostStreams)
	for {
		in, err := e.tcp.Accept()
		if err != nil {
			return
		}
		select {
		case places <- struct{}{}:
		default:
			_ = in.Close()
			continue
		}
		e.rig.all.Go(func() {
			defer func() { <-places }()
			defer func() { _ = in.Close() }()
			out, err := net.DialTimeout("tcp", e.rig.Processes[e.to].Fleet, time.Second)
			if err != nil {
				return
			}
			defer func() { _ = out.Close() }()
			end := time.Now().Add(streamTime)
			_, _ = in.SetDeadline(end), out.SetDeadline(end)
			var both sync.WaitGroup
			both.Go(func() { e.carry(in, out, e.from, e.to) })
			both.Go(func() { e.carry(out, in, e.to, e.from) })
			both.Wait()
		})
	}
}

func (e *relay) carry(from, to net.Conn, a, b int) {
	defer func() {
		if c, ok := to.(*net.TCPConn); ok {
			_ = c.CloseWrite()
		}
	}()
	buf := make([]byte, 16<<10)
	for !e.rig.closed.Load() {
		n, err := from.Read(buf)
		l := e.rig.links.get(a, b)
		if l.Cut || e.rig.links.get(b, a).Cut {
			_, _ = from.Close(), to.Close()
			return
		}
		wait := l.Delay
		if l.Rate > 0 {
			wait += time.Duration(float64(n) / float64(l.Rate) * float64(time.Second))
		}
		time.Sleep(wait)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
