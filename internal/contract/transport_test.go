package contract

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

const pipeLongest = 64 << 10

// transportFaults, with what finds each.
var transportFaults = map[string]string{
	"splits what is long":                 "no whole one came",
	"joins two messages":                  "not sent so",
	"cuts what is too long":               "are taken, and the bound is",
	"takes nothing so long as it may be":  "does not come",
	"reorders":                            "came after",
	"delivers twice":                      "came twice",
	"loses one in ten in silence":         "came: ",
	"waits for ever for room":             "messages to one that takes none",
	"stays broken after a flood":          "does not come",
	"waits for ever for one that is gone": "messages to one that is gone",
	"does not free who waits":             "who waits for a message is freed",
	"gives messages when it is closed":    "one that is closed gives",
	"takes messages when it is closed":    "one that is closed takes",
	"believes what comes again":           "came again",
	"believes what the wire spoilt":       "the wire",
	"keeps the sender's memory":           "changed by who sent it",
	"has one buffer for all":              "changed by who sent it",
}

// pipe is both ends in one, in memory; it may have one fault.
type pipe struct {
	fault  string
	wire   Wire
	mu     sync.Mutex
	sent   uint64
	seen   map[uint64]bool
	came   chan []byte
	held   []byte
	buffer []byte
	full   bool
	closed chan struct{} // at the receiver
	once   *sync.Once
	ended  chan struct{} // at the sender
	end    *sync.Once
}

type pipeFrom struct{ *pipe }

type pipeTo struct{ *pipe }

func pipes(fault string) Transports {
	return Transports{Name: fault, Longest: pipeLongest, Pair: func(_ testing.TB, w Wire) (Transport, Transport) {
		if w == nil {
			w = func(piece []byte) [][]byte { return [][]byte{piece} }
		}
		p := &pipe{
			fault: fault, wire: w, seen: map[uint64]bool{}, came: make(chan []byte, 256), buffer: make([]byte, pipeLongest),
			closed: make(chan struct{}), ended: make(chan struct{}), once: &sync.Once{}, end: &sync.Once{},
		}
		return pipeFrom{p}, pipeTo{p}
	}}
}

func (p pipeFrom) Send(message []byte) error {
	if len(message) > pipeLongest || p.fault == "takes nothing so long as it may be" && len(message) == pipeLongest {
		if p.fault != "cuts what is too long" {
			return errors.New("too long")
		}
		message = message[:pipeLongest]
	}
	select {
	case <-p.ended:
		if p.fault == "takes messages when it is closed" {
			return nil
		}
		return errors.New("closed")
	default:
	}
	select {
	case <-p.closed:
		if p.fault == "waits for ever for one that is gone" {
			select {}
		}
		return errors.New("gone")
	default:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent++
	switch {
	case p.fault == "loses one in ten in silence" && p.sent%10 == 9:
		return nil
	case p.fault == "reorders" && p.sent%10 == 3:
		p.held = bytes.Clone(message)
		return nil
	case p.fault == "joins two messages" && p.sent%50 == 20:
		message = append(bytes.Clone(message), message...)
	case p.fault == "splits what is long" && len(message) > 4000:
		return errors.Join(p.put(message[:4000]), p.put(message[4000:]))
	case p.fault == "delivers twice":
		defer func() { _ = p.put(message) }()
	case p.fault == "keeps the sender's memory":
		p.came <- message
		return nil
	}
	err := p.put(message)
	if held := p.held; held != nil && p.sent%10 == 4 {
		p.held = nil
		err = errors.Join(err, p.put(held))
	}
	return err
}

func (p *pipe) put(message []byte) (err error) {
	b := binary.BigEndian.AppendUint64(nil, p.sent)
	if p.fault == "delivers twice" || p.fault == "reorders" {
		b = binary.BigEndian.AppendUint64(nil, uint64(len(p.seen)+1))
	}
	if p.fault == "splits what is long" {
		p.sent++
	}
	b = append(append(b, message...), sumText(append(b, message...))...)
	for _, piece := range p.wire(b) {
		err = p.take(piece)
	}
	return err
}

func (p *pipe) take(piece []byte) error {
	n := len(piece) - 16
	if n < 8 || sumText(piece[:n]) != string(piece[n:]) && p.fault != "believes what the wire spoilt" {
		return nil
	}
	number := binary.BigEndian.Uint64(piece)
	if p.seen[number] && p.fault != "believes what comes again" {
		return nil
	}
	p.seen[number] = true
	if p.full {
		return errors.New("full")
	}
	if p.fault == "waits for ever for room" {
		p.came <- piece[8:n]
		return nil
	}
	select {
	case p.came <- piece[8:n]:
		return nil
	default:
		p.full = p.fault == "stays broken after a flood"
		return errors.New("full")
	}
}

func (p pipeFrom) Receive(context.Context) ([]byte, error) { return nil, errors.New("it sends") }

func (p pipeFrom) Close() error { p.end.Do(func() { close(p.ended) }); return nil }

func (p pipeTo) Send([]byte) error { return errors.New("it receives") }

func (p pipeTo) Receive(ctx context.Context) ([]byte, error) {
	closed := p.closed
	select {
	case <-closed:
		if p.fault == "gives messages when it is closed" {
			return text(1, 8), nil
		}
		return nil, errors.New("closed")
	default:
	}
	if p.fault == "does not free who waits" {
		closed = nil
	}
	select {
	case b := <-p.came:
		if p.fault == "has one buffer for all" {
			return p.buffer[:copy(p.buffer, b)], nil
		}
		return b, nil
	case <-closed:
		return nil, errors.New("closed")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p pipeTo) Close() error { p.once.Do(func() { close(p.closed) }); return nil }

func TestTransportsWithFaultsAreRefused(t *testing.T) {
	t.Run("none", func(t *testing.T) { pipes("").Hold(t) })
	for fault, finds := range transportFaults {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			words := Refused(t, pipes(fault).Hold)
			if assert.NotEmpty(t, words, "it passes") {
				assert.Contains(t, words[0], finds)
			}
		})
	}
}
