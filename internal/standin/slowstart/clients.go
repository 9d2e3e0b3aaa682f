package slowstart

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"elderwall/internal/standin"
)

const (
	mostClients   = 400
	refusedPause  = 20 * time.Millisecond
	inactivePause = 10 * time.Millisecond
	clientBudget  = 2500 * time.Millisecond
	answeredIn    = clientBudget + time.Second
	mixParts      = 1000 // in which shares of classes are kept
)

// direction is which dispatcher a share of the clients ask.
type direction struct {
	to    *Dispatcher
	share float64
}

// clients ask one request at a time each, at a dispatcher of their own.
type clients struct {
	fleet                   *Fleet
	active, pause           atomic.Int64
	first                   atomic.Int64              // share of the first class, in mixParts
	directed                atomic.Pointer[direction] // nil: each asks its own
	served, refused, failed atomic.Int64
	ids                     atomic.Uint64
	stop                    chan struct{}
	all                     sync.WaitGroup
}

func newClients(f *Fleet) *clients {
	c := &clients{fleet: f, stop: make(chan struct{})}
	c.first.Store(mixParts / int64(len(classes)))
	for i := range mostClients {
		c.all.Go(func() { c.run(int64(i)) })
	}
	return c
}

func (c *clients) end() {
	close(c.stop)
	c.all.Wait()
}

func (c *clients) run(number int64) {
	chance := rand.New(rand.NewPCG(c.fleet.Seed, uint64(number)))
	own := c.fleet.Dispatchers[int(number)%len(c.fleet.Dispatchers)]
	if chance.Float64() < c.fleet.Favored {
		own = c.fleet.Dispatchers[0]
	}
	place, asked := chance.Float64(), own
	var conn *standin.Client
	for {
		wait := time.Duration(c.pause.Load())
		if number < c.active.Load() {
			if dispatcher := c.askedBy(place, own); dispatcher != asked {
				asked = dispatcher
				if conn != nil {
					_ = conn.Conn.Close()
					conn = nil
				}
			}
			kind := c.ask(&conn, asked, chance)
			if kind != "served" {
				wait += refusedPause
			}
		} else {
			wait = inactivePause
		}
		select {
		case <-c.stop:
			if conn != nil {
				_ = conn.Conn.Close()
			}
			return
		case <-time.After(wait):
		}
	}
}

// askedBy returns the dispatcher that a client asks, by its place among all and the one that it asks otherwise.
func (c *clients) askedBy(place float64, own *Dispatcher) *Dispatcher {
	if d := c.directed.Load(); d != nil && place < d.share {
		return d.to
	}
	return own
}

// class draws the class of a request.
func (c *clients) class(chance *rand.Rand) string {
	if chance.Int64N(mixParts) < c.first.Load() {
		return classes[0].name
	}
	return classes[1].name
}

// ask asks one request, and connects where there is no connection.
func (c *clients) ask(conn **standin.Client, d *Dispatcher, chance *rand.Rand) string {
	if *conn == nil {
		fresh, err := standin.Dial(d.Listen)
		if err != nil {
			return "unreached"
		}
		*conn = fresh
	}
	_ = (*conn).Conn.SetDeadline(time.Now().Add(answeredIn))
	_, err := (*conn).Process(standin.Fields("rid", fmt.Sprintf("%016x", c.ids.Add(1)), "budget", fmt.Sprint(clientBudget.Milliseconds()),
		"obj", fmt.Sprintf("%016x", 1+chance.IntN(c.fleet.Objects)),
		"method", c.class(chance)), "")
	var got standin.Reply
	if err == nil {
		got, err = (*conn).Read()
	}
	if err != nil {
		_ = (*conn).Conn.Close()
		*conn = nil
		c.failed.Add(1)
		return "broken"
	}
	switch got.Kind {
	case "served":
		c.served.Add(1)
	case "refused":
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
	return got.Kind
}
