package emulator

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"elderwall/core/cluster/membership"
	"elderwall/internal/contract"
)

// The emulator's links carry what the real ones do: whole, each once, and never holding up who sends.
func TestLinks(t *testing.T) {
	contract.Transports{
		Name: "emulator's", Longest: 1 << 16, Over: 1, Pair: linked, Unordered: "each message is late by chance, as a datagram",
		Bare: "messages are values: there is nothing to spoil, and nothing repeats them",
	}.Hold(t)
}

// link is an end of an emulated member; both share a world, whose time passes while one waits.
type link struct {
	mu       *sync.Mutex
	w        *fleetWorld
	of, peer *emulated
	longest  int
}

func linked(testing.TB, contract.Wire) (contract.Transport, contract.Transport) {
	w := &fleetWorld{MembersScenario: MembersDefault(), chance: rand.New(rand.NewPCG(1, 2)), byAddr: map[string]*emulated{}, out: &MembersResult{}}
	a, b := &emulated{address: "a"}, &emulated{address: "b", stalled: true} // what comes to one that stands still waits in its inbox
	w.byAddr["a"], w.byAddr["b"] = a, b
	mu := &sync.Mutex{}
	return &link{mu, w, a, b, 1 << 16}, &link{mu, w, b, a, 1 << 16}
}

func (l *link) Send(b []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(b) > l.longest || l.of.gone {
		return errors.New("too long, or closed")
	}
	l.w.send(l.of, membership.Envelope{To: l.peer.address, Message: membership.Message{From: membership.Member{Name: string(b)}}})
	return nil
}

func (l *link) Receive(ctx context.Context) ([]byte, error) {
	for ctx.Err() == nil {
		l.mu.Lock()
		if l.of.gone {
			l.mu.Unlock()
			return nil, errors.New("closed")
		}
		for len(l.of.inbox) == 0 {
			e, ok := l.w.events.PopAt(l.w.now + 1)
			if !ok {
				break
			}
			l.w.now = e.At
			e.Item()
		}
		if len(l.of.inbox) > 0 {
			m := l.of.inbox[0]
			l.of.inbox = l.of.inbox[1:]
			l.mu.Unlock()
			return []byte(m.From.Name), nil
		}
		l.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
	return nil, ctx.Err()
}

func (l *link) Close() error { l.mu.Lock(); defer l.mu.Unlock(); l.of.gone = true; return nil }
