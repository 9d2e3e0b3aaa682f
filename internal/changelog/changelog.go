// Package changelog follows the change log: the numbered changes to the list of hosts, and purges.
package changelog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"elderwall/internal/clock"
	"elderwall/internal/sse"
)

const (
	path      = "/changes"
	connectIn = time.Second             // what is told counts as told some seconds later, so tries are short
	silence   = 2500 * time.Millisecond // a comment comes each second: two missed, and some delay
	wholeIn   = 5 * time.Second         // that a reply's head, or an event, may be under way: then there is time for another connection before it counts as told
	patience  = 1.5                     // times as long is waited after a connection that took too long: a log that is slow under load is heard in the end
	retryMin  = 50 * time.Millisecond   // wait before the first new connection, give or take a half
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

	StartedAt float64 `json:"-"` // the same in seconds on the process's clock, where it is witnessed
	Witnessed bool    `json:"-"`
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

	At        float64 `json:"-"` // its time in seconds on the process's clock, where it is witnessed
	Witnessed bool    `json:"-"`
	Learned   bool    `json:"-"` // told by another dispatcher, not by the change log
}

// Event is one numbered change.
type Event struct {
	Seq   int64  `json:"seq"`
	Fleet *Fleet `json:"fleet"`
	Purge *Purge `json:"invalidate"`
	Order uint64 `json:"-"` // local number, rising with each event that shards are handed, whoever told it
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
	Heard   *atomic.Int64 // is given the clock.Instant at which a stream last said something, nothing before that; nil for nobody
	Witness *Witness      // puts the stamps of events on the process's clock before they are taken; nil leaves them as they are

	last    int64
	again   int64 // the event that was asked for once more; 0 for none
	silent  bool  // no connection works
	patient bool  // the last connection took too long

	heard    clock.Instant // when a stream last said something; the start before that
	upToDate clock.Instant // the same as of the read before the last one
}

// Follow takes new events behind what is known until the context ends. Connections that end are made anew, at
// once where the change log has moved.
func (f *Follower) Follow(ctx context.Context, known Known) error {
	f.last, f.heard = known.Seq, clock.InstantNow()
	wait := retryMin
	for {
		before, from := f.last, time.Now()
		err := f.untilMoved(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if f.last != before || errors.Is(err, errMoved) || !f.silent && time.Since(from) > retryMax {
			wait = retryMin
		}
		if !f.silent {
			f.Log.Warn().Err(err).Int64("seq", f.last).Msg("change log lost")
		}
		f.silent = true
		select {
		case <-time.After(spread(wait, rand.Float64())):
			wait = min(2*wait, retryMax)
		case address := <-f.Moves:
			f.move(address)
			wait = retryMin
		case <-ctx.Done():
		}
	}
}

// spread is a wait with a share of it left to chance, so that dispatchers do not come back at once; none is longer than retryMax.
func spread(wait time.Duration, chance float64) time.Duration {
	return min(wait*3/2, retryMax) - time.Duration(chance*float64(min(wait, retryMax/2)))
}

// move goes on with another change log, which knows nothing of what the last one failed at.
func (f *Follower) move(address string) { f.Address, f.again, f.patient = address, 0, false }

// hear books that a stream has said something.
func (f *Follower) hear() {
	f.heard = clock.InstantNow()
	if f.Heard != nil {
		f.Heard.Store(int64(f.heard))
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
		<-ended //nolint:errcheck // it was stopped, whatever it says
		f.move(address)
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
	return f.read(ctx, socket)
}

// read takes the events of a reply. A change log that says nothing is left, and so is one that begins something and does not
// end it. Guards against a stream that trickles: what stands behind an event that never ends would never be heard.
func (f *Follower) read(ctx context.Context, socket net.Conn) error {
	times := 1.0
	if f.patient {
		times = patience
	}
	var r sse.Reader
	buf := make([]byte, readSize)
	begun := time.Now() // when what is under way began
	for !r.Over() {
		rests, quiet, whole := !r.UnderWay(), silence, longer(wholeIn, times)
		if !r.InStream() {
			quiet = longer(silence, times)
		}
		_ = socket.SetReadDeadline(earlier(time.Now().Add(quiet), begun.Add(whole)))
		n, err := socket.Read(buf)
		if err != nil {
			late := errors.Is(err, os.ErrDeadlineExceeded) && (!r.InStream() || time.Since(begun) >= whole)
			f.patient = late && !f.patient
			return fmt.Errorf("read: %w", err)
		}
		if err := r.Feed(buf[:n]); err != nil {
			return err
		}
		if rests {
			begun = time.Now()
		}
		if r.InStream() {
			f.works()
			f.upToDate = f.heard
			f.hear()
		}
		for e, ok := r.Next(); ok; e, ok = r.Next() {
			begun, times = time.Now(), 1
			if ctx.Err() != nil { // what is read of a change log that was left is not taken any more
				return errMoved
			}
			if err := f.take(e); err != nil {
				return err
			}
		}
	}
	return errEnd
}

func longer(d time.Duration, times float64) time.Duration { return time.Duration(times * float64(d)) }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// works books that a connection works, once the reply's head is whole.
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
	errBroke = errors.New("an event could not be taken")
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
	if e.Seq > f.last+1 {
		if f.askAgain(f.last + 1) {
			return fmt.Errorf("%w: %d after %d", errGap, e.Seq, f.last)
		}
		f.Log.Error().Int64("after", f.last).Int64("seq", e.Seq).Msg("change log has a gap")
	}
	if err := f.hand(e); err != nil && f.askAgain(e.Seq) {
		return err
	}
	f.last = e.Seq
	return nil
}

// askAgain tells whether an event is to be asked for once more: unless it has been. Numbers start at 1, so that the first event,
// the whole list, is asked for again as well.
func (f *Follower) askAgain(seq int64) bool {
	if f.again == seq {
		return false
	}
	f.again = seq
	return true
}

// hand has an event taken. Guards against a taker that panics: the process would end by an event.
func (f *Follower) hand(e Event) (err error) {
	defer func() {
		if broken := recover(); broken != nil {
			f.Log.Error().Int64("seq", e.Seq).Str("panic", fmt.Sprint(broken)).Bytes("stack", debug.Stack()).Msg("event not taken")
			err = fmt.Errorf("%w: %d", errBroke, e.Seq)
		}
	}()
	if f.Witness != nil {
		e = f.Witness.Take(e, f.upToDate)
	}
	f.Take(e)
	return nil
}
