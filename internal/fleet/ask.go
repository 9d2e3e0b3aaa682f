package fleet

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"elderwall/fleet/members"
)

// What can be asked of a member over its fleet address.
const (
	AskMembers = "members" // what it thinks of all
	AskWatch   = "watch"   // the same, once something has changed since a number
	AskLeave   = "leave"   // have it leave the fleet, and serve on alone
)

const (
	nonceLength = 16
	longestAsk  = 4 << 10
	watchMost   = 4 * time.Second // a watch is answered by then, changed or not: within a stream's time
	askBegins   = 0               // a length that no message has: an ask follows
)

// ask is a question on the wire.
type ask struct {
	What  string `cbor:"1,keyasint"`
	After uint64 `cbor:"2,keyasint,omitempty"`
}

// Told is what a member answers.
type Told struct {
	Error    string           `cbor:"1,keyasint,omitempty" json:",omitempty"`
	Number   uint64           `cbor:"2,keyasint" json:"-"` // of the last change
	Now      float64          `cbor:"3,keyasint"`          // s since its start
	Self     members.Member   `cbor:"4,keyasint"`
	Standing string           `cbor:"5,keyasint"`
	Level    string           `cbor:"6,keyasint"`
	View     members.View     `cbor:"7,keyasint"`
	Members  []members.Known  `cbor:"8,keyasint"`
	Counts   map[string]int64 `cbor:"9,keyasint"`
}

// serveStream takes one stream: a message, or a question with a nonce of ours, so that no question counts twice.
func (f *Fleet) serveStream(c net.Conn) {
	in := bufio.NewReader(c)
	if begin, err := in.Peek(4); err != nil || begin[0]|begin[1]|begin[2]|begin[3] != askBegins {
		if sealed, err := readFrame(in, longestStream); err == nil {
			f.take(sealed)
		}
		return
	}
	_, _ = in.Discard(4)
	nonce := make([]byte, nonceLength)
	_, _ = rand.Read(nonce)
	if err := writeFrame(c, nonce); err != nil {
		return
	}
	sealed, err := readFrame(in, longestAsk)
	if err != nil {
		return
	}
	_, _, text, err := f.Keys.open(sealedAsk, sealed, nonce)
	if err != nil {
		f.Counts.Unsealed.Add(1)
		return
	}
	var q ask
	if err := decoding.Unmarshal(text, &q); err != nil {
		f.Counts.Unusable.Add(1)
		return
	}
	f.Counts.Asked.Add(1)
	answer, err := encoding.Marshal(f.answer(q))
	if err != nil {
		return
	}
	_ = writeFrame(c, f.Keys.seal(sealedTold, f.boot, f.number.Add(1), answer, nonce))
}

// answer answers a question.
func (f *Fleet) answer(q ask) Told {
	switch q.What {
	case AskMembers:
	case AskWatch:
		f.await(q.After)
	case AskLeave:
		f.leave()
	default:
		return Told{Error: fmt.Sprintf("no such question: %.32q", q.What)}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t := Told{Number: f.changes, Now: f.now(), Self: f.machine.Self(), Standing: f.machine.Standing().String(), View: f.machine.View(),
		Members: f.machine.Members(), Counts: f.Counts.each()}
	t.Level = t.View.Level.String()
	return t
}

// await waits until something changes, for so long at most.
func (f *Fleet) await(after uint64) {
	f.mu.Lock()
	changed, wait := f.changed, f.changes == after && f.watching < watchers
	if !wait {
		f.mu.Unlock()
		return
	}
	f.watching++
	f.mu.Unlock()
	select {
	case <-changed:
	case <-time.After(watchMost):
	case <-f.ctx.Done():
	}
	f.mu.Lock()
	f.watching--
	f.mu.Unlock()
}

// Ask asks the member at an address. After is the number of the last change that is known, for a watch.
func Ask(ctx context.Context, at string, k *Keys, what string, after uint64) (t Told, err error) {
	ctx, cancel := context.WithTimeout(ctx, streamTime)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", at)
	if err != nil {
		return t, fmt.Errorf("ask: %w", err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(streamTime))
	if _, err := c.Write(make([]byte, 4)); err != nil {
		return t, fmt.Errorf("ask: %w", err)
	}
	nonce, err := readFrame(c, nonceLength)
	if err != nil {
		return t, fmt.Errorf("ask: %w", err)
	}
	text, err := encoding.Marshal(ask{what, after})
	if err != nil {
		return t, fmt.Errorf("ask: %w", err)
	}
	if err := writeFrame(c, k.seal(sealedAsk, 1, 1, text, nonce)); err != nil {
		return t, err
	}
	sealed, err := readFrame(c, longestStream)
	if errors.Is(err, io.EOF) {
		return t, errors.New("ask: no answer; is it the fleet's key?")
	}
	if err != nil {
		return t, err
	}
	_, _, text, err = k.open(sealedTold, sealed, nonce)
	if err == nil {
		err = told.Unmarshal(text, &t)
	}
	if err != nil {
		return t, fmt.Errorf("ask: %w", err)
	}
	if t.Error != "" {
		return t, errors.New(t.Error)
	}
	return t, nil
}

var told = must(cbor.DecOptions{MaxArrayElements: members.Most}.DecMode())
