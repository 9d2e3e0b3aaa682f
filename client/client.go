// Package client follows channels of a fleet of dispatchers, and writes into them. It goes from dispatcher to dispatcher by itself: a reader keeps
// its position, so that nothing comes twice and nothing is passed over untold; a writer keeps its numbers, so that nothing is written twice and
// nothing that was acknowledged is lost. Whoever has the fleet's key may do both.
package client

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"elderwall/core/cluster/channel"
	"elderwall/internal/cluster"
)

// Waits of a reader or writer that has lost its dispatcher; each is spread by chance, so that those of one that was killed don't come as a herd.
const (
	firstWait = 0.5  // s at most, before the first trial elsewhere
	mostWait  = 5.0  // s at most, after several
	forgotten = 5.0  // s for which a writer asks others before it takes it that its name is forgotten: one of them may lag
	unknown   = 15.0 // s for which a channel may be unknown where it is asked for: it may have been declared a moment ago
)

// Fleet is where dispatchers are, and the key that opens their streams.
type Fleet struct {
	addresses []string
	keys      *cluster.Keys
}

// Open takes addresses of dispatchers, and the path of the fleet's key file; "" where it has none. Errors: no address, a bad key file.
func Open(addresses []string, keyFile string) (*Fleet, error) {
	if keyFile == "" {
		return OpenKey(addresses, "")
	}
	if _, err := cluster.ReadKeys(keyFile); err != nil { // its mode, too
		return nil, err
	}
	text, err := os.ReadFile(keyFile)
	if err != nil {
		return nil, fmt.Errorf("key file: %w", err)
	}
	return OpenKey(addresses, string(text))
}

// OpenKey does the same with the key itself.
func OpenKey(addresses []string, key string) (*Fleet, error) {
	if len(addresses) == 0 {
		return nil, errors.New("client: no address")
	}
	f := &Fleet{addresses: append([]string{}, addresses...), keys: cluster.OpenKeys()}
	rand.Shuffle(len(f.addresses), func(i, j int) { f.addresses[i], f.addresses[j] = f.addresses[j], f.addresses[i] })
	if key != "" {
		var err error
		if f.keys, err = cluster.ParseKeys(key); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// Note is what a reader is told: an entry, or what became of the order, as channel.EventKind has it.
type Note = channel.Notification

// First has all that begins from now on try an address first, such as the nearest; else chance says which.
func (f *Fleet) First(address string) {
	f.addresses = append([]string{address}, slices.DeleteFunc(f.addresses, func(a string) bool { return a == address })...)
}

// next is another dispatcher than the one that was lost: by chance, so that not all go to the same.
func (f *Fleet) next(at int) int {
	if n := len(f.addresses); n > 1 {
		return (at + 1 + rand.IntN(n-1)) % n
	}
	return 0
}

// Follow has a function called with each note of a channel, one after the other, until the context ends, the function fails, or the channel or
// the order is refused. A position goes on where an earlier Follow ended; "" begins with all that is kept. Each note has the position after it: kept
// with what came of the note, it lets a later Follow, anywhere, go on from there. After Reset and Cut, which are told, it begins anew with all that is
// kept. It gives the last position. A channel that is withdrawn is told as Ended, with what it kept before that; then it ends with channel.ErrWithdrawn. The
// position then goes on with the first entry of a channel that is declared anew under the name.
func (f *Fleet) Follow(ctx context.Context, name string, order channel.Order, position string, take func(Note) error) (string, error) {
	at, tries, since := 0, 0, time.Now()
	for ctx.Err() == nil {
		s, err := cluster.AskNotes(ctx, f.addresses[at], f.keys, channel.OpenRequest{Channel: name, Token: position, Order: order})
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = s.Close() })
			var some bool
			var failed error
			position, some, failed = f.drain(s, position, take)
			stop()
			_ = s.Close()
			if failed != nil {
				return position, failed
			}
			if some {
				tries, since = 0, time.Now()
			}
		}
		wait := rand.Float64() * min(mostWait, firstWait*float64(uint64(1)<<min(tries, 6)))
		var no *cluster.Refusal
		switch {
		case errors.Is(err, channel.ErrOrderNotPromised), errors.Is(err, channel.ErrInvalidToken), errors.Is(err, channel.ErrUnknownChannel) && time.Since(since).Seconds() > unknown:
			return position, err
		case errors.As(err, &no) && no.Later > 0:
			wait = no.Later
		}
		tries++
		at = f.next(at)
		sleep(ctx, wait)
	}
	return position, ctx.Err()
}

// drain hands on what a stream tells until it ends; failed is an error of the function's.
func (f *Fleet) drain(s *cluster.Followed, position string, take func(Note) error) (_ string, some bool, failed error) {
	for {
		notes, err := s.Next()
		if err != nil {
			return position, some, nil
		}
		for _, n := range notes {
			if n.Kind == channel.EventBehind { // nothing has come of it: another dispatcher goes on
				return position, some, nil
			}
			if err := take(n); err != nil {
				return position, some, err
			}
			if some = true; n.Position != "" {
				position = n.Position
			}
			switch n.Kind {
			case channel.EventEnded:
				return position, some, channel.ErrWithdrawn
			case channel.EventReset, channel.EventCutOff:
				return "", some, nil
			}
		}
	}
}

func sleep(ctx context.Context, seconds float64) {
	select {
	case <-time.After(time.Duration(seconds * float64(time.Second))):
	case <-ctx.Done():
	}
}
