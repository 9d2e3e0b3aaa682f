package processes

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"elderwall/internal/contract"
	"elderwall/internal/standin/need"
)

const bare = "a relay repeats and loses what it is told to; seals are the ends' own"

// The rig's relays carry what the real ones do: datagrams whole, and streams in order.
func TestRelays(t *testing.T) {
	for _, k := range []contract.Transports{
		{Name: "datagrams", Pair: relayed("udp"), Longest: longestDatagram, Bare: bare},
		{Name: "streams", Pair: relayed("tcp"), Longest: 1 << 20, Bare: bare},
	} {
		t.Run(k.Name, func(t *testing.T) { k.Hold(t) })
	}
}

const (
	longestDatagram = 1400
	writeTime       = time.Second // a stream that takes nothing for so long is given up
)

// relayed gives an end that sends by way of a relay of a rig without processes, and the one where a process would listen.
func relayed(network string) func(t testing.TB, _ contract.Wire) (contract.Transport, contract.Transport) {
	return func(t testing.TB, _ contract.Wire) (contract.Transport, contract.Transport) {
		r, framed := New(t, Options{N: 2, Seed: 1}), network == "tcp"
		to, longest := r.Processes[1].Fleet, map[bool]int{true: 1 << 20, false: longestDatagram}[framed]
		in, out := &wireEnd{framed: framed}, &wireEnd{framed: framed, longest: longest}
		var l *net.TCPListener
		if framed {
			l = need.Of(net.Listen("tcp", to))(t).(*net.TCPListener)
		} else {
			in.in = need.Of(net.ListenUDP("udp", need.Of(net.ResolveUDPAddr("udp", to))(t)))(t)
		}
		out.out = need.Of(net.Dial(network, r.Processes[0].Reach[to]))(t)
		if framed {
			require.NoError(t, l.SetDeadline(time.Now().Add(streamTime)))
			in.in = need.Of(l.Accept())(t)
			require.NoError(t, l.Close())
		}
		t.Cleanup(func() { _, _ = in.Close(), out.Close() })
		return out, in
	}
}

// wireEnd is an end of a socket.
type wireEnd struct {
	in, out net.Conn
	framed  bool
	longest int
	broken  bool
	once    sync.Once
}

func (e *wireEnd) Send(b []byte) error {
	if len(b) > e.longest || e.broken {
		return errors.New("too long, or broken")
	}
	if e.framed {
		b = append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)
		_ = e.out.SetWriteDeadline(time.Now().Add(writeTime))
	}
	_, err := e.out.Write(b)
	e.broken = err != nil && e.framed
	return err
}

func (e *wireEnd) Receive(ctx context.Context) ([]byte, error) {
	_ = e.in.SetReadDeadline(time.Time{})
	defer context.AfterFunc(ctx, func() { _ = e.in.SetReadDeadline(time.Unix(1, 0)) })()
	if !e.framed {
		b := make([]byte, 64<<10)
		n, err := e.in.Read(b)
		return b[:n], err
	}
	var size [4]byte
	if _, err := io.ReadFull(e.in, size[:]); err != nil {
		return nil, err
	}
	b := make([]byte, binary.BigEndian.Uint32(size[:]))
	_, err := io.ReadFull(e.in, b)
	return b, err
}

func (e *wireEnd) Close() error {
	var err error
	e.once.Do(func() {
		for _, c := range []net.Conn{e.in, e.out} {
			if c != nil {
				err = errors.Join(err, c.Close())
			}
		}
	})
	return err
}
