// Package changelog follows the change log: the numbered changes to the list of hosts, and purges.
package changelog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"elderwall/internal/sse"
)

const (
	path      = "/changes"
	connectIn = time.Second             // what is told counts as told some seconds later, so tries are short
	silence   = 2500 * time.Millisecond // a comment comes each second: two missed, and some delay
	retryMin  = 50 * time.Millisecond   // wait before the first new connection
	retryMax  = time.Second             // and the longest, well within the time in which changes count as told
	readSize  = 16 << 10                // bytes; a list of some dozens of hosts
)

// Host is one entry of the list of hosts.
type Host struct {
	ID          string  `json:"instanceId"`
	Address     string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Kind        string  `json:"machineType"`
	Cell        int     `json:"cell"`
	State       string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"` // 0 for long ago
}

// Fleet is a list of hosts, whole when Reset is set.
type Fleet struct {
	Generation int64  `json:"generation"`
	Reset      bool   `json:"reset"`
	Hosts      []Host `json:"instances"`
}

// Purge names an object, or a group of them, and the Unix millisecond of its purge.
type Purge struct {
	Object string `json:"object"`
	Group  int    `json:"bucket"`
	Time   int64  `json:"time"`

	Learned bool `json:"-"` // told by another dispatcher, not by the change log
}

// Event is one numbered change.
type Event struct {
	Seq   int64  `json:"seq"`
	Fleet *Fleet `json:"fleet"`
	Purge *Purge `json:"invalidate"`
}

// Known are the events up to a start.
type Known struct {
	Seq    int64   `json:"seq"`
	Events []Event `json:"results"`
}

// Follower reads the change log from the last event seen on.
type Follower struct {
	Address string
	Moves   <-chan string // new addresses of the change log; nil for none
	Log     zerolog.Logger
	Take    func(Event)

	last   int64
	gap    int64 // the event after which one was missing, and was asked for again
	silent bool  // no connection works
}

// Follow takes new events behind what is known until the context ends. Connections that end are made anew, at
// once where the change log has moved.
func (f *Follower) Follow(ctx context.Context, known Known) error {
	f.last = known.Seq
	wait := retryMin
	for {
		before := f.last
		err := f.untilMoved(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if !f.silent || f.last != before || errors.Is(err, errMoved) {
			wait = retryMin
		}
		if !f.silent {
			f.Log.Warn().Err(err).Int64("seq", f.last).Msg("change log lost")
		}
		f.silent = true
		select {
		case <-time.After(wait/2 + rand.N(wait)): // spread, so that dispatchers do not come back at once
			wait = min(2*wait, retryMax)
		case f.Address = <-f.Moves:
			wait = retryMin
		case <-ctx.Done():
		}
	}
}

// untilMoved follows one connection to its end, or until the change log has moved.
func (f *Follower) untilMoved(ctx context.Context) error {
	within, stop := context.WithCancel(ctx)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- f.connect(within) }()
	select {
	case err := <-ended:
		return err
	case address := <-f.Moves:
		stop()
		<-ended
		f.Address = address
		return errMoved
	}
}

// connect follows one connection to its end.
func (f *Follower) connect(ctx context.Context) error {
	dialer := net.Dialer{Timeout: connectIn}
	socket, err := dialer.DialContext(ctx, "tcp", f.Address)
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer func() { _ = socket.Close() }()
	defer context.AfterFunc(ctx, func() { _ = socket.Close() })()
	if _, err := socket.Write(sse.AppendRequest(nil, f.Address, path, f.last)); err != nil {
		return fmt.Errorf("ask: %w", err)
	}
	var r sse.Reader
	buf := make([]byte, readSize)
	for !r.Over() {
		_ = socket.SetReadDeadline(time.Now().Add(silence))
		n, err := socket.Read(buf)
		if err != nil {
			return fmt.Errorf("read: %w", err)
		}
		if err := r.Feed(buf[:n]); err != nil {
			return err
		}
		f.works()
		for e, ok := r.Next(); ok; e, ok = r.Next() {
			if err := f.take(e); err != nil {
				return err
			}
		}
	}
	return errEnd
}

func (f *Follower) works() {
	if f.silent {
		f.Log.Info().Int64("seq", f.last).Msg("change log followed again")
	}
	f.silent = false
}

var (
	errEnd   = errors.New("the reply has ended")
	errMoved = errors.New("the change log has moved")
	errGap   = errors.New("an event is missing")
)

// take passes an event on, once. One that can't be read is passed over; where one is missing it is asked for
// again, and done without if it is still missing then.
func (f *Follower) take(told sse.Event) error {
	var e Event
	broken := json.Unmarshal(told.Data, &e)
	if broken != nil {
		f.Log.Warn().Err(broken).Str("id", told.ID).Msg("change log event passed over")
		e = Event{}
	}
	if e.Seq == 0 {
		e.Seq, _ = strconv.ParseInt(told.ID, 10, 64)
	}
	if e.Seq <= f.last {
		return nil
	}
	if e.Seq > f.last+1 && f.gap != f.last {
		f.gap = f.last
		return fmt.Errorf("%w: %d after %d", errGap, e.Seq, f.last)
	}
	if e.Seq > f.last+1 {
		f.Log.Error().Int64("after", f.last).Int64("seq", e.Seq).Msg("change log has a gap")
	}
	f.last = e.Seq
	f.Take(e)
	return nil
}
