package upstream_test

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"elderwall/internal/goldentest"
	"elderwall/internal/hostproto"
	"elderwall/internal/standin/need"
	"elderwall/internal/upstream"
)

// goldenLines sends forwards to a listener, one after the other, and gives the bytes of each as it came.
type goldenLines struct {
	t          *testing.T
	host       *upstream.Host
	listener   net.Listener
	connection *bufio.Reader
}

func (g *goldenLines) send(request hostproto.Request, until time.Time) (*upstream.Forward, []byte) {
	f := &upstream.Forward{Request: request, Until: until, Done: func(upstream.Result) {}}
	require.NoError(g.t, g.host.Send(f))
	if g.connection == nil {
		c := need.Of(g.listener.Accept())(g.t)
		g.t.Cleanup(func() { _ = c.Close() })
		require.NoError(g.t, c.SetReadDeadline(time.Now().Add(time.Minute)))
		g.connection = bufio.NewReader(c)
	}
	line := need.Of(g.connection.ReadBytes('\n'))(g.t)
	body := make([]byte, len(request.Body)+len(hostproto.LineEnd))
	need.Of(io.ReadFull(g.connection, body))(g.t)
	return f, append(line, body...)
}

func TestGoldenLinesAsWritten(t *testing.T) {
	o := options(t)
	o.PerHost.Store(1)
	listener := need.Listener(t)
	g := &goldenLines{t: t, host: upstream.New(listener.Addr().String(), o, 0), listener: listener}
	bare := hostproto.Request{ID: "9b1f", Service: "segment", Object: "7f3a", Part: "3", Budget: 1500}
	full := hostproto.Request{
		ID: "9b20", Service: "page", Object: "7f3b", Part: "0", Budget: 60000, Source: "s-0", Rank: 2, MaxAge: 900, Join: true,
		HeldOnly: true, Renew: true, Tag: "4be0", Body: []byte("two\r\nlines"), IdempotencyKey: "k1", Variant: "dev=tv",
	}
	var tr goldentest.Transcript
	first, line := g.send(bare, time.Time{})
	tr.Bytes("bare", line)
	second, line := g.send(full, time.Now().Add(time.Hour))
	tr.Bytes("full, with more time than its budget", line)
	bare.ID = "9b21"
	_, line = g.send(bare, time.Now().Add(time.Minute))
	tr.Bytes("with a minute", line)
	for _, f := range []*upstream.Forward{first, second} {
		f.Stop()
		stop := need.Of(g.connection.ReadBytes('\n'))(t)
		hello := need.Of(g.connection.ReadBytes('\n'))(t)
		tr.Bytes("cancellation", append(stop, hello...))
	}
	tr.Check(t, "lines.golden")
}
