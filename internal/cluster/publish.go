package cluster

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"elderwall/core/cluster/channel"
)

const mostWrites = 256 // entries of a question

var errMany = fmt.Errorf("%w: more than %d at once", channel.ErrInvalidEntry, mostWrites)

// ErrUnsure tells that nothing is known yet of what became of an entry: it is to be sent again.
var ErrUnsure = errors.New("not known to be kept: send it again")

// reasons are errors by the words that they have on the wire.
var reasons = map[string]error{
	"channel": channel.ErrUnknownChannel, "skips": channel.ErrNumberSkipped, "after": channel.ErrMissingDependency, "full": channel.ErrFull, "cut": channel.ErrNoMajority,
	"more": channel.ErrOrderNotPromised, "writers": channel.ErrTooManyWriters, "token": channel.ErrInvalidToken, "ended": channel.ErrWithdrawn, "forgotten": channel.ErrWriterForgotten, "entry": channel.ErrInvalidEntry, "unsure": ErrUnsure,
}

func reasonOf(err error) string {
	for word, is := range reasons {
		if errors.Is(err, is) {
			return word
		}
	}
	return "unsure"
}

// Refusal is why a dispatcher refused; errors.Is knows the errors of channels.
type Refusal struct {
	Reason string
	Text   string
	Later  float64 // s after which to come again; 0 where it won't help here
}

func (r *Refusal) Error() string { return r.Text }

// Unwrap gives the error of channels that it is.
func (r *Refusal) Unwrap() error { return reasons[r.Reason] }

func refuse(err error) Told {
	t := Told{Reason: reasonOf(err), Error: err.Error()}
	if later := (*channel.RetryLaterError)(nil); errors.As(err, &later) {
		t.Later, t.Reason = later.Seconds, "full"
	}
	return t
}

// Written is what became of an entry.
type Written struct {
	Met    bool   `cbor:"1,keyasint" json:"Met"`
	Copies int    `cbor:"2,keyasint,omitempty" json:"Copies"` // that have it, where it was counted
	Reason string `cbor:"3,keyasint,omitempty" json:"Reason"`
	Text   string `cbor:"4,keyasint,omitempty" json:"Text"`
}

// Err is why it was refused; nil where it is acknowledged.
func (w *Written) Err() error {
	if w.Met {
		return nil
	}
	return &Refusal{Reason: w.Reason, Text: w.Text}
}

func notMet(err error) Written { return Written{Reason: reasonOf(err), Text: err.Error()} }

// answerPublish takes entries of a writer in, and waits until they are acknowledged or refused, for so long at most as a writer is promised.
func (w *following) answerPublish(ctx context.Context, q ask) (t Told) {
	if len(q.Entries) > mostWrites {
		return refuse(errMany)
	}
	select {
	case w.publish <- struct{}{}:
		defer func() { <-w.publish }()
	default:
		return refuse(channel.ErrFull)
	}
	end := time.NewTimer(time.Duration((channel.AckTimeout + 0.5) * float64(time.Second)))
	defer end.Stop()
	t.Written = make([]Written, len(q.Entries))
	waits, elsewhere := make([]chan channel.Ack, len(q.Entries)), -1
	w.mu.Lock()
	if q.Duty != "" {
		_, t.Number = w.machine.Newest(q.Duty, "")
	}
	for i, e := range q.Entries {
		state, err := w.machine.Write(w.fleet.dutyNow(), e)
		switch {
		case err != nil:
			t.Written[i] = notMet(err)
			if errors.Is(err, channel.ErrUnknownChannel) {
				poke(w.stale)
			}
		case state == channel.WriteAcknowledged:
			t.Written[i].Met = true
		case state == channel.WriteNotSequencer:
			elsewhere = i
		default:
			waits[i] = make(chan channel.Ack, 1)
			key := writing{e.Channel, e.Writer, e.Number}
			w.waits[key] = append(w.waits[key], waits[i])
		}
		if elsewhere >= 0 {
			break
		}
	}
	decides := w.decides
	w.mu.Unlock()
	poke(w.wake)
	if elsewhere >= 0 {
		w.hand(ctx, q, t.Written[elsewhere:], elsewhere, decides)
	}
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.entries += int64(len(t.Written))
		for i := range t.Written {
			if t.Written[i].Met {
				w.acknowledged++
			}
		}
	}()
	for i, wait := range waits {
		if wait == nil {
			continue
		}
		select {
		case a := <-wait:
			switch {
			case a.Met:
				t.Written[i] = Written{Met: true, Copies: a.Copies}
			case a.Err != nil:
				t.Written[i] = notMet(a.Err)
			default:
				t.Written[i] = notMet(fmt.Errorf("%w: %d have it", ErrUnsure, a.Copies))
			}
		case <-end.C:
			end.Reset(0)
			t.Written[i] = notMet(ErrUnsure)
			w.forget(q.Entries[i], wait)
		}
	}
	return t
}

// hand hands entries of total order to the holder of the channel's duty.
func (w *following) hand(ctx context.Context, q ask, to []Written, from int, decides bool) {
	fail := func(err error) {
		for i := range to {
			to[i] = notMet(err)
		}
	}
	if !decides {
		fail(channel.ErrNoMajority)
		return
	}
	at := w.holderOf(ctx, q.Entries[from].Channel)
	if at == "" || at == w.fleet.Address || q.Hops > 0 {
		fail(fmt.Errorf("%w: nobody puts the channel in order now", ErrUnsure))
		return
	}
	t, err := w.fleet.askOther(ctx, at, ask{What: AskPublish, Entries: q.Entries[from:], Hops: q.Hops + 1})
	if err != nil || len(t.Written) != len(to) {
		w.mu.Lock()
		delete(w.holders, q.Entries[from].Channel)
		w.mu.Unlock()
		fail(fmt.Errorf("%w: who puts the channel in order does not answer", ErrUnsure))
		return
	}
	copy(to, t.Written)
}

func (w *following) forget(e channel.Entry, wait chan channel.Ack) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := writing{e.Channel, e.Writer, e.Number}
	all := w.waits[key]
	for i := range all {
		if all[i] == wait {
			all = append(all[:i:i], all[i+1:]...)
			break
		}
	}
	if w.waits[key] = all; len(all) == 0 {
		delete(w.waits, key)
	}
}

// answerDeclare has a declaration put into the log.
func (w *following) answerDeclare(ctx context.Context, q ask) Told {
	if q.Declare == nil {
		return Told{Error: "no declaration"}
	}
	if q.Declare.Order == channel.Total && len(channel.DutyPrefix)+len(q.Declare.Name) > longestDuty {
		return Told{Error: fmt.Sprintf("channel %.20q: with total order a name has at most %d bytes", q.Declare.Name, longestDuty-len(channel.DutyPrefix))}
	}
	q.Declare.WithdrawnGeneration = 0 // the log gives it
	if err := w.fleet.agree(ctx, channel.Command{Declare: q.Declare, NoReuse: true}); err != nil {
		return Told{Error: err.Error()}
	}
	poke(w.stale)
	return Told{Changed: true}
}

// count adds what there is to count: readers now, entries of writers since the start, those that were acknowledged, and names let go.
func (w *following) count(to map[string]int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	to["Readers"], to["SpoiltEntries"] = int64(w.machine.Readers()), int64(w.machine.InvalidRecords())
	to["Entries"], to["Acknowledged"], to["WritersGone"] = w.entries, w.acknowledged, int64(w.machine.ForgottenCount())
}

var nextPump atomic.Uint64

// begin takes a reader's stream over; an answer where it can't.
func (w *following) begin(q ask, c net.Conn, nonce []byte) (*follower, Told) {
	if q.Follow == nil {
		return nil, Told{Error: "which channel?"}
	}
	conn, ok := c.(syscall.Conn)
	if !ok {
		return nil, refuse(channel.ErrFull)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, refuse(channel.ErrFull)
	}
	w.mu.Lock()
	id, err := w.machine.Open(w.fleet.dutyNow(), *q.Follow)
	if errors.Is(err, channel.ErrUnknownChannel) {
		poke(w.stale)
		if !w.declared {
			err = &channel.RetryLaterError{Seconds: 0.5}
		}
	}
	w.mu.Unlock()
	if err != nil {
		return nil, refuse(err)
	}
	return &follower{id: id, channel: q.Follow.Channel, conn: c, raw: raw, nonce: nonce, sent: time.Now()}, Told{}
}

// keep hands a reader over to whoever serves it.
func (w *following) keep(r *follower) { w.pumps[nextPump.Add(1)%pumps].add(r) }

// AskDeclaration has a declaration put into the log, by any dispatcher.
func AskDeclaration(ctx context.Context, at string, k *Keys, d channel.Declaration) error {
	_, err := askAt(ctx, at, k, ask{What: AskDeclare, Declare: &d})
	return err
}

// AskDeclarations gives what is declared, as a dispatcher knows it.
func AskDeclarations(ctx context.Context, at string, k *Keys) ([]channel.Declaration, error) {
	t, err := askAt(ctx, at, k, ask{What: AskChannels})
	if err != nil || t.Channels == nil {
		return nil, err
	}
	return t.Channels.Declared, nil
}

// AskEntries has entries of a writer taken in. The error is that of the question; what became of each entry is told in their order.
func AskEntries(ctx context.Context, at string, k *Keys, all []channel.Entry) ([]Written, error) {
	t, err := askAt(ctx, at, k, ask{What: AskPublish, Entries: all})
	if err == nil && len(t.Written) != len(all) {
		err = errMessage
	}
	return t.Written, err
}

// AskClock is the highest clock of a channel's entries, as a dispatcher knows it: who writes with a higher one is newer.
func AskClock(ctx context.Context, at string, k *Keys, channel string) (uint64, error) {
	t, err := askAt(ctx, at, k, ask{What: AskPublish, Duty: channel})
	return t.Number, err
}

// Followed is a stream of notes.
type Followed struct {
	conn  net.Conn
	in    *bufio.Reader
	keys  *Keys
	nonce []byte
	seq   uint64
}

// silent is how long a stream may be silent before its dispatcher is thought to be gone.
const silent = 3*beatEach + time.Second

// AskNotes follows a channel at a dispatcher. Errors: *Refusal, and those of the network.
func AskNotes(ctx context.Context, at string, k *Keys, what channel.OpenRequest) (*Followed, error) {
	c, t, err := converse(ctx, at, k, ask{What: AskFollow, Follow: &what})
	if err != nil {
		return nil, err
	}
	if t.Error != "" {
		_ = c.conn.Close()
		return nil, errOf(&t)
	}
	return &Followed{conn: c.conn, in: bufio.NewReader(c.conn), keys: k, nonce: c.nonce}, nil
}

// Next gives the next notes; none where all is quiet.
func (r *Followed) Next() (all []channel.Notification, err error) {
	_ = r.conn.SetReadDeadline(time.Now().Add(silent))
	sealed, err := readFrame(r.in, longestStream)
	if err != nil {
		return nil, err
	}
	r.seq++
	opened, err := r.keys.open(sealedNotes, sealed, boundTo(r.nonce, r.seq))
	var in []wireNote
	if err == nil {
		err = told.Unmarshal(opened.text, &in)
	}
	if err != nil {
		return nil, fmt.Errorf("follow: %w", err)
	}
	all = make([]channel.Notification, len(in))
	for i, n := range in {
		all[i] = channel.Notification(n)
	}
	return all, nil
}

// Close ends it; a Next that waits fails.
func (r *Followed) Close() error { return r.conn.Close() }
