package load

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"elderwall/internal/clock"
	"elderwall/internal/thrift"
)

const (
	longestDelay = 60_000_000 // µs; a client waits no longer
	digits       = 3          // significant, of a delay
	settleMost   = 500 * time.Millisecond
)

func duration(s float64) time.Duration { return clock.Duration(s) }

// Tally is what became of the GETs of a case, as its clients saw it.
type Tally struct {
	Served     int64 `json:"Served"`
	Refused    int64 `json:"Refused"`
	Failed     int64 `json:"Failed"`
	Left       int64 `json:"Left"`
	Unanswered int64 `json:"Unanswered"`
	Broken     int64 `json:"Broken"`

	Delays *hdrhistogram.Histogram `json:"-"` // µs, of those served
}

func newTally() *Tally { return &Tally{Delays: hdrhistogram.New(1, longestDelay, digits)} }

func (t *Tally) add(o *Tally) {
	t.Served += o.Served
	t.Refused += o.Refused
	t.Failed += o.Failed
	t.Left += o.Left
	t.Unanswered += o.Unanswered
	t.Broken += o.Broken
	t.Delays.Merge(o.Delays)
}

// shot is one GET under way.
type shot struct {
	at     time.Time // when it was to be sent
	object uint64
	part   int
	again  int // times that it may come again
}

// window is the time that a case takes up.
type window struct {
	counts time.Time // from when on it counts
	ends   time.Time
}

// client is one connection.
type client struct {
	Case
	token  string
	number int
	net    net.Conn
	chance *rand.Rand
	zipf   *rand.Zipf
	window
	tally   *Tally
	pending sync.WaitGroup // timers

	mu    sync.Mutex
	open  map[int32]shot
	seq   int32
	ids   uint64
	out   []byte
	space chan struct{} // a place has become free
	over  bool
}

func dial(address string, c Case, o PlayOptions, number int, during window) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	cl := &client{
		Case: c, token: o.Token, number: number, net: conn, window: during, tally: newTally(),
		chance: rand.New(rand.NewPCG(o.Seed, uint64(number))), open: map[int32]shot{}, space: make(chan struct{}, 1),
	}
	if c.Zipf > 0 {
		cl.zipf = rand.NewZipf(cl.chance, c.Zipf, 1, uint64(c.Objects-1))
	}
	return cl, nil
}

// pick is the next GET's object and part.
func (c *client) pick(at time.Time) shot {
	s := shot{at: at, again: c.Again}
	switch {
	case c.Hot > 0 && c.chance.Float64() < c.Hot:
	case c.zipf != nil:
		s.object = c.zipf.Uint64()
	default:
		s.object = c.chance.Uint64N(uint64(c.Objects))
	}
	if c.Parts > 1 {
		s.part = c.chance.IntN(c.Parts)
	}
	return s
}

// add puts a GET into what is to be written; called under the lock.
func (c *client) add(s shot) {
	c.seq++
	c.ids++
	id := uint64(c.number)<<40 | c.ids
	fields := []string{
		"method", c.Service, "rid", fmt.Sprintf("%016x", id), "budget", strconv.Itoa(int(c.Budget * 1e3)),
		"obj", fmt.Sprintf("%016x", s.object*0x9e3779b97f4a7c15), "nth", strconv.Itoa(s.part), "batch", strconv.Itoa(int(s.object & 255)),
	}
	if c.token != "" {
		fields = append(fields, "token", c.token)
	}
	c.out = thrift.AppendProcess(c.out, c.seq, fields, make([]byte, c.Body))
	c.open[c.seq] = s
	if c.GiveUp > 0 && c.chance.Float64() < c.GiveUp {
		seq := c.seq
		c.pending.Add(1)
		time.AfterFunc(duration(c.Patience), func() { defer c.pending.Done(); c.leave(seq) })
	}
}

// leave gives a GET up, if it is under way.
func (c *client) leave(seq int32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.open[seq]
	if !ok || c.over {
		return
	}
	delete(c.open, seq)
	c.out = thrift.AppendGiveUp(c.out, seq)
	if s.at.After(c.counts) {
		c.tally.Left++
	}
	c.comeAgain(s)
	c.flush()
	c.freed()
}

// comeAgain has a client whose GET came to nothing ask once more, at once.
func (c *client) comeAgain(s shot) {
	if s.again > 0 && time.Now().Before(c.ends) && len(c.open) < mostOpen {
		s.again--
		s.at = time.Now()
		c.add(s)
	}
}

func (c *client) freed() {
	select {
	case c.space <- struct{}{}:
	default:
	}
}

// flush writes what there is; called under the lock.
func (c *client) flush() {
	if len(c.out) > 0 {
		_, _ = c.net.Write(c.out)
		c.out = c.out[:0]
	}
}

// run plays the client to its end: at a rate of its own, 0 for a closed loop.
func (c *client) run(rate float64) *Tally {
	read := make(chan error, 1)
	go func() { read <- c.read(rate == 0) }()
	if rate > 0 {
		c.pace(rate)
	} else {
		c.mu.Lock()
		for range c.UnderWay {
			c.add(c.pick(time.Now()))
		}
		c.flush()
		c.mu.Unlock()
		time.Sleep(time.Until(c.ends))
	}
	c.settle()
	c.mu.Lock()
	c.over = true
	c.tally.Unanswered += int64(len(c.open))
	c.mu.Unlock()
	_ = c.net.Close()
	if err := <-read; err != nil {
		c.tally.Broken++
	}
	c.pending.Wait()
	return c.tally
}

// settle waits for what is under way, for as long as it may take.
func (c *client) settle() {
	for until := time.Now().Add(duration(c.Budget) + settleMost); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		c.mu.Lock()
		left := len(c.open)
		c.mu.Unlock()
		if left == 0 {
			return
		}
	}
}

// pace sends at a rate, by chance as many clients do; what finds no place is late from when it was to be sent.
func (c *client) pace(rate float64) {
	for due := time.Now(); ; {
		c.mu.Lock() // which the reader draws under as well
		pause := c.chance.ExpFloat64() / rate
		c.mu.Unlock()
		due = due.Add(duration(pause))
		if due.After(c.ends) {
			return
		}
		if wait := time.Until(due); wait > 0 {
			time.Sleep(wait)
		}
		c.mu.Lock()
		for len(c.open) >= mostOpen {
			c.mu.Unlock()
			select {
			case <-c.space:
			case <-time.After(time.Until(c.ends)):
				return
			}
			c.mu.Lock()
		}
		c.add(c.pick(due))
		c.flush()
		c.mu.Unlock()
	}
}

// read takes answers until the connection ends; in a closed loop each makes room for the next GET.
func (c *client) read(closed bool) error {
	var frames thrift.Frames
	for {
		n, err := c.net.Read(frames.Space())
		if err != nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.over {
				return nil
			}
			c.over = true
			return err
		}
		frames.Fed(n)
		c.mu.Lock()
		now := time.Now()
		for {
			frame, ok, err := frames.Next()
			if err != nil {
				c.mu.Unlock()
				return err
			}
			if !ok {
				break
			}
			if err := c.take(frame, now, closed); err != nil {
				c.mu.Unlock()
				return err
			}
		}
		c.flush()
		c.mu.Unlock()
		c.freed()
	}
}

// take books one answer; called under the lock.
func (c *client) take(frame []byte, now time.Time, closed bool) error {
	got, err := thrift.ParseReply(frame)
	if err != nil {
		return err
	}
	s, ok := c.open[got.Seq]
	if !ok {
		return nil // given up meanwhile
	}
	delete(c.open, got.Seq)
	if s.at.After(c.counts) && s.at.Before(c.ends) {
		c.book(got, now.Sub(s.at))
	}
	if got.Ending == thrift.EndRefused {
		c.comeAgain(s)
	}
	if closed && now.Before(c.ends) && len(c.open) < c.UnderWay {
		c.add(c.pick(now))
	}
	return nil
}

func (c *client) book(got thrift.Got, delay time.Duration) {
	switch got.Ending {
	case thrift.EndServed:
		c.tally.Served++
		_ = c.tally.Delays.RecordValue(min(longestDelay, max(1, delay.Microseconds())))
	case thrift.EndRefused:
		c.tally.Refused++
	default:
		c.tally.Failed++
	}
}
