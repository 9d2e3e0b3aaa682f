package client

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"elderwall/core/cluster/channel"
	"elderwall/internal/cluster"
)

const (
	mostBatch  = 128       // entries of a question
	batchBytes = 128 << 10 // of all of them: a question has twice that
)

// Message is what is to be written.
type Message struct {
	Key  string
	Body []byte
}

// State is what a writer has to keep over its own restarts: before a message is sent, and once it is acknowledged.
type State struct {
	Writer  string            `json:"writer"`
	Last    uint64            `json:"last"`  // number, of those that are acknowledged
	Clock   uint64            `json:"clock"` // of the last
	Pending []channel.Entry   `json:"pending,omitempty"`
	After   map[string]uint64 `json:"after,omitempty"`
}

// Publisher writes into one channel, one call after the other. Only one may write under a name at a time.
type Publisher struct {
	fleet   *Fleet
	channel string
	mu      sync.Mutex
	at      int
	seen    sync.Mutex
	state   State
	save    func(State) error
	clocked bool // its clock is above what stood when it began
}

// Publisher makes one; a state is what an earlier one left, or its name alone. Save, where it isn't nil, is called with the state that has to be
// kept: before anything is sent that isn't in it, and after acknowledgements. Without one a writer that ends has to take another name.
func (f *Fleet) Publisher(channel string, from State, save func(State) error) *Publisher {
	if save == nil {
		save = func(State) error { return nil }
	}
	if from.After = maps.Clone(from.After); from.After == nil {
		from.After = map[string]uint64{}
	}
	return &Publisher{fleet: f, channel: channel, state: from, save: save}
}

// Saw has what is written from now on come after an entry, in causal order, and be newer than it.
func (p *Publisher) Saw(n Note) {
	if n.Entry == nil {
		return
	}
	p.seen.Lock()
	defer p.seen.Unlock()
	p.state.Clock = max(p.state.Clock, n.Entry.Clock)
	if n.Entry.Offset == 0 {
		p.state.After[n.Entry.Writer] = max(p.state.After[n.Entry.Writer], n.Entry.Number)
	}
}

// Publish writes messages, and returns once all are acknowledged: at least as many dispatchers as channel.AckCopies have each, in total order the
// voters' majority. What failed for another dispatcher's sake is sent to the next, under the same numbers, until the context ends; then it is pending
// and goes out first with the next call. Errors: the context's, and channel.ErrInvalidEntry for what no dispatcher would take, channel.ErrWithdrawn where
// the channel is withdrawn, and channel.ErrWriterForgotten where the writer was silent for too long: whether what is pending was ever taken isn't known then.
func (p *Publisher) Publish(ctx context.Context, all ...Message) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.learnClock(ctx); err != nil {
		return err
	}
	if err := p.queue(all); err != nil {
		return err
	}
	if err := p.save(p.State()); err != nil {
		return err
	}
	lost := time.Time{} // since when it hears that its name is forgotten
	for tries := 0; len(p.state.Pending) > 0; {
		if err := ctx.Err(); err != nil {
			return err
		}
		n, err := p.send(ctx)
		if n > 0 {
			tries, lost = 0, time.Time{}
			if err := p.save(p.State()); err != nil {
				return err
			}
			continue
		}
		switch {
		case errors.Is(err, channel.ErrInvalidEntry), errors.Is(err, channel.ErrWithdrawn):
			return err
		case !errors.Is(err, channel.ErrWriterForgotten):
			lost = time.Time{}
		case lost.IsZero():
			lost = time.Now()
		case time.Since(lost).Seconds() > forgotten && tries > len(p.fleet.addresses):
			return err
		}
		wait := rand.Float64() * min(mostWait, firstWait*float64(uint64(1)<<min(tries, 3)))
		if no := (*cluster.Refusal)(nil); errors.As(err, &no) && no.Later > 0 {
			wait = no.Later
		}
		tries++
		p.at = p.fleet.next(p.at)
		sleep(ctx, wait)
	}
	return nil
}

// learnClock has the writer's clock be no older than the channel's, before its first message. Guards against a new writer whose messages would
// pass for older than all that stands.
func (p *Publisher) learnClock(ctx context.Context) error {
	for !p.clocked {
		clock, err := cluster.AskClock(ctx, p.fleet.addresses[p.at], p.fleet.keys, p.channel)
		if err == nil {
			p.seen.Lock()
			p.state.Clock, p.clocked = max(p.state.Clock, clock), true
			p.seen.Unlock()
			return nil
		}
		p.at = p.fleet.next(p.at)
		if sleep(ctx, rand.Float64()*firstWait); ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// queue adds messages to what is pending: all of them, or none where one is too long.
func (p *Publisher) queue(all []Message) error {
	p.seen.Lock()
	defer p.seen.Unlock()
	s := &p.state
	number := s.Last + uint64(len(s.Pending))
	for _, m := range all {
		if len(m.Body) > channel.MaxBodyBytes || len(m.Key) > channel.MaxKeyBytes {
			return fmt.Errorf("%w: at most %d bytes of key and %d of body", channel.ErrInvalidEntry, channel.MaxKeyBytes, channel.MaxBodyBytes)
		}
	}
	for _, m := range all {
		number++
		s.Clock++
		s.Pending = append(s.Pending, channel.Entry{
			Channel: p.channel, Key: m.Key, Writer: s.Writer, Number: number, Clock: s.Clock,
			After: maps.Clone(s.After), Body: m.Body,
		})
	}
	return nil
}

// send sends what is pending, and tells how much of it was acknowledged.
func (p *Publisher) send(ctx context.Context) (n int, err error) {
	size, batch := 0, p.state.Pending
	for i := range batch {
		if size += batch[i].Size(); i >= mostBatch || i > 0 && size > batchBytes {
			batch = batch[:i]
			break
		}
	}
	told, err := cluster.AskEntries(ctx, p.fleet.addresses[p.at], p.fleet.keys, batch)
	if err != nil {
		return 0, err
	}
	for n < len(told) && told[n].Met {
		n++
	}
	if n < len(told) {
		err = told[n].Err()
	}
	p.seen.Lock()
	p.state.Last += uint64(n)
	p.state.Pending = append([]channel.Entry(nil), p.state.Pending[n:]...)
	p.seen.Unlock()
	return n, err
}

// State is what has to be kept for a later Publisher.
func (p *Publisher) State() State {
	p.seen.Lock()
	defer p.seen.Unlock()
	s := p.state
	s.After, s.Pending = maps.Clone(s.After), append([]channel.Entry(nil), s.Pending...)
	return s
}

// End has a channel withdrawn: in the next generation of its declaration.
func (f *Fleet) End(ctx context.Context, name string) (generation uint64, err error) {
	for _, at := range f.addresses {
		var all []channel.Declaration
		if all, err = cluster.AskDeclarations(ctx, at, f.keys); err != nil {
			continue
		}
		for _, d := range all {
			if d.Name == name && !d.Withdrawn {
				d.Withdrawn = true
				d.Generation++
				return d.Generation, f.Declare(ctx, d)
			}
		}
		err = channel.ErrUnknownChannel
	}
	return 0, err
}

// Declare has a declaration put into the fleet's log; its generation is one above the one that stands. The error names all that is wrong with it.
func (f *Fleet) Declare(ctx context.Context, d channel.Declaration) (err error) {
	for _, at := range f.addresses {
		if err = cluster.AskDeclaration(ctx, at, f.keys, d); err == nil {
			return nil
		}
	}
	return err
}
