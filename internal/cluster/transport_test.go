package cluster

import (
	"bufio"
	"context"
	"encoding/base64"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"elderwall/core/cluster/channel"
	"elderwall/internal/contract"
	"elderwall/internal/standin/need"
)

const (
	anyKind = byte(200) // of what is sealed; no kind of the product
	anyAsk  = "contract"
)

// All that carries messages between members.
var transports = []contract.Transports{
	{Name: "datagrams, and streams for what is longer", Pair: pairOf(anyKind, false), Longest: longestStream - sealLength, Unordered: eachAlone},
	{Name: "streams", Pair: pairOf(anyKind, true), Longest: longestStream - sealLength, Unordered: eachAlone},
	{Name: "council's", Pair: pairOf(sealedRaft, false), Longest: longestStream - sealLength - raftHead - 32, Over: 64, Unordered: eachAlone},
	{Name: "questions", Pair: questions, Longest: longestAsk*3/4 - 256, Over: 1 << 10, Flood: 500},
	{Name: "a reader's notes", Pair: notes, Longest: channel.MaxBodyBytes},
}

const eachAlone = "each is a datagram or a stream of its own; the machines number what needs an order"

func TestTransports(t *testing.T) {
	for _, k := range transports {
		t.Run(k.Name, func(t *testing.T) { t.Parallel(); k.Hold(t) })
	}
}

// end is one member's end: what it sends goes to the other, what comes to it waits, so much at most.
type end struct {
	*Fleet
	to           string
	kind         byte
	stream, asks bool
	came         chan []byte
	stop         context.CancelFunc
	ended        chan struct{}
}

func newEnd(t testing.TB, kind byte, stream bool) *end {
	f := need.Of(Open(Settings{Listen: "127.0.0.1:0", Name: "n", Pace: 1}, 1, zerolog.Nop()))(t)
	f.limit.SetLimit(64 * bytesOut) // its bound is tried by what is too long at once
	e := &end{Fleet: f, kind: kind, stream: stream, came: make(chan []byte, voterQueue), ended: make(chan struct{})}
	take := func(text []byte) bool {
		select {
		case e.came <- text:
			return true
		default:
			return false
		}
	}
	f.takes[kind] = func(_ uint64, text []byte) { take(text) }
	if kind == sealedRaft {
		f.takes[kind] = func(_ uint64, text []byte) {
			m := &pb.Message{}
			if len(text) > raftHead && proto.Unmarshal(text[raftHead:], m) == nil && len(m.GetEntries()) == 1 {
				take(m.GetEntries()[0].GetData())
			}
		}
	}
	f.answers[anyAsk] = func(q ask) Told {
		text, err := base64.StdEncoding.DecodeString(q.Duty)
		if err != nil || !take(text) {
			return Told{Error: "not taken"}
		}
		return Told{}
	}
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	serves := make(chan struct{})
	go func() { defer close(e.ended); close(serves); _ = f.Serve(ctx) }()
	<-serves
	require.Eventually(t, func() bool { _, err := Ask(ctx, f.Address, f.Keys, AskMembers, 0); return err == nil }, time.Second, time.Millisecond)
	t.Cleanup(func() { _ = e.Close() })
	return e
}

func (e *end) Send(text []byte) error {
	if e.asks {
		_, err := askAt(e.ctx, e.to, e.Keys, ask{What: anyAsk, Duty: base64.StdEncoding.EncodeToString(text)})
		return err
	}
	if e.kind == sealedRaft {
		m, err := proto.Marshal(&pb.Message{Entries: []*pb.Entry{{Data: text}}})
		if err != nil {
			return err
		}
		text = append(make([]byte, raftHead), m...)
	}
	failed := make(chan error, 1)
	e.sendSealed(e.to, e.kind, text, e.stream, func(err error) { failed <- err })
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

func (e *end) Receive(ctx context.Context) ([]byte, error) {
	select {
	case <-e.ended:
		return nil, net.ErrClosed
	default:
	}
	select {
	case text := <-e.came:
		return text, nil
	case <-e.ended:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (e *end) Close() error { e.stop(); <-e.ended; return nil }

func pairOf(kind byte, stream bool) func(t testing.TB, w contract.Wire) (from, to contract.Transport) {
	return func(t testing.TB, w contract.Wire) (contract.Transport, contract.Transport) {
		from, to := newEnd(t, kind, stream), newEnd(t, kind, stream)
		if from.to = to.Address; w != nil {
			from.to = wire(t, to.Address, w)
		}
		return from, to
	}
}

func questions(t testing.TB, w contract.Wire) (contract.Transport, contract.Transport) {
	from, to := pairOf(anyKind, true)(t, w)
	from.(*end).asks = true
	return from, to
}

// notes are those of a channel, by the program's own machine, pump and stream. One that takes none is told a gap.
func notes(t testing.TB, w contract.Wire) (contract.Transport, contract.Transport) {
	f := need.Of(Open(Settings{Listen: "127.0.0.1:0", Name: "n", Pace: 1, Duties: &Duties{}, Memory: &Memory{Horizon: DefaultHorizon, Rate: DefaultRate}, Channels: &Channels{}}, 1, zerolog.Nop()))(t)
	ctx, stop := context.WithCancel(context.Background())
	from := &noteTeller{end{Fleet: f, stop: stop, ended: make(chan struct{})}, 0}
	serves := make(chan struct{})
	go func() { defer close(from.ended); close(serves); _ = f.Serve(ctx) }()
	<-serves
	t.Cleanup(func() { _ = from.Close() })
	need.Soon(t, func() bool { return f.memory.status().Writable }, "the memory takes writes")
	f.following.take(&channel.LedgerSnapshot{Declared: []channel.Declaration{{Name: "c", Generation: 1, Order: channel.BySender, AllowGaps: true, RetainedEntries: 100, RetainedBytes: 4 << 20, RetainedSeconds: 600, OrderWait: 1}}})
	at := f.Address
	if w != nil {
		l := need.Of(net.Listen("tcp", "127.0.0.1:0"))(t)
		at = l.Addr().String()
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			c, err := l.Accept()
			if err == nil {
				carryNotes(c, need.Of(net.Dial("tcp", f.Address))(t), w)
			}
		}()
	}
	s := need.Of(AskNotes(ctx, at, f.Keys, channel.OpenRequest{Channel: "c"}))(t)
	to := &noteSeer{s, make(chan []byte), make(chan struct{}), make(chan struct{}), &sync.Once{}}
	go to.read()
	t.Cleanup(func() { _ = to.Close() })
	return from, to
}

type noteTeller struct {
	end
	number uint64
}

func (n *noteTeller) Send(text []byte) error {
	if n.ctx.Err() != nil {
		return net.ErrClosed
	}
	w := n.following
	w.mu.Lock()
	defer w.mu.Unlock()
	_, err := w.machine.Write(n.dutyNow(), channel.Entry{Channel: "c", Writer: "w", Number: n.number + 1, Body: text})
	if err == nil {
		n.number++
		poke(w.wake)
	}
	return err
}

type noteSeer struct {
	*Followed
	came          chan []byte
	ended, closed chan struct{}
	once          *sync.Once
}

func (n *noteSeer) read() {
	defer close(n.ended)
	for {
		all, err := n.Next()
		if err != nil {
			return
		}
		for _, o := range all {
			if o.Entry == nil {
				continue
			}
			select {
			case n.came <- o.Entry.Body:
			case <-n.closed:
				return
			}
		}
	}
}

func (n *noteSeer) Receive(ctx context.Context) ([]byte, error) {
	select {
	case b := <-n.came:
		return b, nil
	case <-n.ended:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *noteSeer) Send([]byte) error { return net.ErrClosed }

func (n *noteSeer) Close() error {
	n.once.Do(func() { close(n.closed); _ = n.Followed.Close() })
	<-n.ended
	return nil
}

// wire carries datagrams and streams to an address, and does to each what it is told.
func wire(t testing.TB, to string, w contract.Wire) string {
	l := need.Of(net.Listen("tcp", "127.0.0.1:0"))(t)
	u := need.Of(net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(l.Addr().String()))))(t)
	t.Cleanup(func() { _, _ = l.Close(), u.Close() })
	go func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := u.Read(buf)
			if err != nil {
				return
			}
			for _, piece := range w(slices.Clone(buf[:n])) {
				_, _ = u.WriteToUDPAddrPort(piece, netip.MustParseAddrPort(to))
			}
		}
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.SetDeadline(time.Now().Add(streamTime))
			carryStream(c, to, w)
		}
	}()
	return l.Addr().String()
}

// carryStream carries a message, or a question: that is repeated as it was, to a connection with another nonce.
func carryStream(c net.Conn, to string, w contract.Wire) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	begin, err := in.Peek(4)
	if err != nil {
		return
	}
	out, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	if begin[0]|begin[1]|begin[2]|begin[3] != askBegins {
		all, _ := io.ReadAll(in)
		for i, piece := range w(all) {
			if i > 0 {
				if out, err = net.Dial("tcp", to); err != nil {
					return
				}
			}
			_, _ = out.Write(piece)
			_ = out.Close()
		}
		return
	}
	_, _ = in.Discard(4)
	_, _ = out.Write(make([]byte, 4))
	nonce, err := readFrame(out, nonceLength)
	if err != nil {
		return
	}
	_ = writeFrame(c, nonce)
	sealed, err := readFrame(in, longestAsk)
	if err != nil {
		return
	}
	for i, piece := range w(sealed) {
		if i > 0 {
			if out, err = net.Dial("tcp", to); err != nil {
				return
			}
			_, _ = out.Write(make([]byte, 4))
			if _, err = readFrame(out, nonceLength); err != nil {
				return
			}
		}
		_ = out.SetDeadline(time.Now().Add(streamTime))
		_ = writeFrame(out, piece)
		if answer, err := readFrame(out, longestStream); err == nil && i == 0 {
			_ = writeFrame(c, answer)
		}
		_ = out.Close()
	}
}

// carryNotes carries a question as it is, and does what it is told to each frame that follows the answer.
func carryNotes(c, out net.Conn, w contract.Wire) {
	go func() { _, _ = io.Copy(out, c); _ = out.Close() }()
	defer func() { _ = c.Close() }()
	for n := 0; ; n++ {
		size, most := nonceLength, longestStream
		if n > 0 {
			size = most
		}
		sealed, err := readFrame(out, size)
		if err != nil {
			return
		}
		pieces := [][]byte{sealed}
		if n > 1 {
			pieces = w(sealed)
		}
		for _, piece := range pieces {
			_ = writeFrame(c, piece)
		}
	}
}
