package contract

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"testing"
	"time"
)

// Transport carries messages one way, from the end that sends to the end that receives.
type Transport interface {
	// Send takes a message, or drops it with an error; what is lost later is lost whole. It never waits for the receiver for good.
	Send(message []byte) error
	// Receive gives the next message that came; an error once it is closed, or when the context ends.
	Receive(ctx context.Context) ([]byte, error)
	Close() error
}

// Wire says what comes of each piece that goes over a wire: a datagram, or all of a stream.
type Wire func(piece []byte) [][]byte

// Transports is a kind of transport, as its test makes it.
type Transports struct {
	Name string
	// Pair makes two ends with a wire between them; nil for one that does nothing. What it opens ends with the test.
	Pair    func(t testing.TB, w Wire) (from, to Transport)
	Longest int // bytes of a message
	Over    int // bytes that are more than what surrounds a message leaves room for; 0 for one more
	Flood   int // messages that are sent to one that takes none; 0 for 2,000
	// Exceptions, each with its reason; "" for none.
	Unordered string // why messages may overtake each other
	Bare      string // why what the wire repeats or spoils is not found
}

const sendsAgain = 25 // a message that may be lost is sent so often until it comes

// text is the nth message: its number, and what follows from it.
func text(n uint64, length int) []byte {
	b := make([]byte, max(8, length))
	chance := rand.New(rand.NewPCG(n, uint64(len(b))))
	for i := 8; i < len(b); i++ {
		b[i] = byte(chance.Uint32())
	}
	binary.BigEndian.PutUint64(b, n)
	return b
}

// number tells which one a message is.
func number(b []byte) (uint64, bool) {
	if len(b) < 8 {
		return 0, false
	}
	n := binary.BigEndian.Uint64(b)
	return n, bytes.Equal(b, text(n, len(b)))
}

func get(t Transport, most time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), most)
	defer cancel()
	return t.Receive(ctx)
}

// Hold runs the suite.
func (k Transports) Hold(t testing.TB) {
	t.Helper()
	for _, part := range []func(testing.TB){k.carries, k.bound, k.stream, k.press, k.gone, k.frees, k.again, k.spoils} {
		if part(t); t.Failed() {
			return
		}
	}
}

// carry sends one until it comes.
func (k *Transports) carry(t testing.TB, from, to Transport, n uint64, length int) {
	t.Helper()
	sent := text(n, length)
	var last error
	for range sendsAgain {
		if !in(t, 2*within, "a message is sent", func() { last = from.Send(bytes.Clone(sent)) }) {
			t.FailNow()
		}
		if last != nil {
			time.Sleep(within / sendsAgain)
			continue
		}
		for {
			b, err := get(to, within/4)
			if last = err; err != nil {
				break
			}
			got, ok := number(b)
			if !ok {
				t.Fatalf("message %d of %d bytes: no whole one came, but %d bytes", n, length, len(b))
			}
			if got == n {
				return
			}
		}
	}
	t.Fatalf("message %d of %d bytes does not come: %v", n, length, last)
}

// carries: messages of all lengths come whole, and are neither the sender's nor the receiver's memory.
func (k *Transports) carries(t testing.TB) {
	from, to := k.Pair(t, nil)
	for i, length := range []int{8, 100, 1000, k.Longest / 2, k.Longest} {
		k.carry(t, from, to, uint64(i+1), min(length, k.Longest))
	}
	one := text(9, 64)
	if err := from.Send(one); err != nil {
		t.Fatal(err)
	}
	clear(one)
	a, err := get(to, within)
	if err != nil {
		t.Fatal(err)
	}
	if n, ok := number(a); ok && n != 9 {
		t.Fatalf("message %d came twice", n)
	}
	k.carry(t, from, to, 10, 64)
	if n, ok := number(a); !ok || n != 9 {
		t.Fatal("what was sent or received is changed by who sent it, or by the next")
	}
}

// bound: what is too long is refused, and nothing of it comes.
func (k *Transports) bound(t testing.TB) {
	from, to := k.Pair(t, nil)
	over := k.Longest + max(1, k.Over)
	if err := from.Send(text(1, over)); err == nil {
		t.Fatalf("%d bytes are taken, and the bound is %d", over, k.Longest)
	}
	if b, err := get(to, brief); err == nil {
		t.Fatalf("of a message that is too long %d bytes come", len(b))
	}
	k.carry(t, from, to, 2, 100)
}

// stream: many come whole, none twice, and in order.
func (k *Transports) stream(t testing.TB) {
	from, to := k.Pair(t, nil)
	chance := rand.New(rand.NewPCG(1, 1))
	const many, at = 96, 8
	last, seen := uint64(0), map[uint64]bool{}
	for n := uint64(1); n <= many; n++ {
		if err := from.Send(text(n, chance.IntN(min(1200, k.Longest)))); err != nil {
			t.Fatalf("message %d of %d: %v", n, many, err)
		}
		if n%at != 0 {
			continue
		}
		for range at { // so few at a time that none is over a bound
			b, err := get(to, within)
			if err != nil {
				t.Fatalf("%d of %d came: %v", len(seen), n, err)
			}
			got, ok := number(b)
			if !ok || got > n {
				t.Fatal("a message came that was not sent so")
			}
			if seen[got] {
				t.Fatalf("message %d came twice", got)
			}
			if got < last && k.Unordered == "" {
				t.Fatalf("message %d came after %d", got, last)
			}
			seen[got], last = true, got
		}
	}
}

// press: one that takes nothing holds nobody up; what comes then is whole, and later ones come.
func (k *Transports) press(t testing.TB) {
	from, to := k.Pair(t, nil)
	flood := k.Flood
	if flood == 0 {
		flood = 2000
	}
	if !in(t, 4*within, "messages to one that takes none", func() {
		for n := range flood {
			_ = from.Send(text(uint64(n+1), 600))
		}
	}) {
		t.FailNow()
	}
	seen := map[uint64]bool{}
	for {
		b, err := get(to, 2*brief)
		if err != nil {
			break
		}
		n, ok := number(b)
		if !ok || seen[n] || n > uint64(flood) {
			t.Fatal("what came of too many is not whole, or came twice")
		}
		seen[n] = true
	}
	k.carry(t, from, to, uint64(flood+1), 100)
}

// gone: a peer that has ended holds nobody up.
func (k *Transports) gone(t testing.TB) {
	from, to := k.Pair(t, nil)
	k.carry(t, from, to, 1, 100)
	in(t, within, "the peer is closed", func() { _ = to.Close() })
	in(t, 4*within, "messages to one that is gone", func() {
		for n := range uint64(20) {
			_ = from.Send(text(n+2, 100))
		}
	})
	in(t, within, "the sender is closed", func() { _ = from.Close() })
}

// frees: closing frees who waits, and nothing is sent or received after it.
func (k *Transports) frees(t testing.TB) {
	from, to := k.Pair(t, nil)
	if _, err := get(to, brief); err == nil {
		t.Fatal("a message came that nobody sent")
	}
	waits := make(chan error, 1)
	go func() {
		_, err := to.Receive(context.Background())
		waits <- err
	}()
	time.Sleep(brief / 3)
	in(t, within, "the receiver is closed", func() { _ = to.Close() })
	in(t, within, "who waits for a message is freed", func() {
		if <-waits == nil {
			t.Error("a message came that nobody sent")
		}
	})
	in(t, within, "another waits at one that is closed", func() {
		if _, err := to.Receive(context.Background()); err == nil {
			t.Error("one that is closed gives messages")
		}
	})
	in(t, within, "closing", func() { _ = errors.Join(from.Close(), from.Close()) })
	in(t, within, "a message is sent", func() {
		if from.Send(text(1, 10)) == nil {
			t.Error("one that is closed takes messages")
		}
	})
}

// again: what the wire repeats is taken once.
func (k *Transports) again(t testing.TB) {
	if k.Bare != "" {
		return
	}
	from, to := k.Pair(t, func(piece []byte) [][]byte { return [][]byte{piece, piece, piece} })
	seen := map[uint64]bool{}
	for n := uint64(1); n <= 12; n++ {
		_ = from.Send(text(n, 200))
	}
	for {
		b, err := get(to, 3*brief)
		if err != nil {
			break
		}
		n, ok := number(b)
		if !ok || seen[n] {
			t.Fatalf("message %d came again", n)
		}
		seen[n] = true
	}
	if len(seen) == 0 {
		t.Fatal("nothing comes over a wire that repeats")
	}
}

// spoils: what the wire changed, or cut short, is never taken.
func (k *Transports) spoils(t testing.TB) {
	if k.Bare != "" {
		return
	}
	chance, count := rand.New(rand.NewPCG(2, 2)), 0
	from, to := k.Pair(t, func(piece []byte) [][]byte {
		flipped := bytes.Clone(piece)
		flipped[chance.IntN(len(piece))] ^= 1 << chance.IntN(8)
		if count++; count%2 == 0 {
			return [][]byte{flipped}
		}
		return [][]byte{piece[:chance.IntN(len(piece))]}
	})
	for n := uint64(1); n <= 24; n++ {
		in(t, 2*within, "a message is sent", func() { _ = from.Send(text(n, 200)) })
	}
	for {
		b, err := get(to, 3*brief)
		if err != nil {
			return
		}
		if _, ok := number(b); !ok {
			t.Fatal("a message came that the wire spoilt")
		}
		t.Fatal("a message came of a piece that was spoilt")
	}
}
