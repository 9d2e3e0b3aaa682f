package upstream_test

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"elderwall/internal/standin/need"
)

// peer is the host's end of one connection, which does only what its test says.
type peer struct {
	testing.TB
	net.Conn
	in *bufio.Reader
}

// accepted is the next connection to a listener; it ends with the test.
func accepted(t testing.TB, l net.Listener) *peer {
	t.Helper()
	require.NoError(t, l.(*net.TCPListener).SetDeadline(time.Now().Add(5*time.Second)))
	c := need.Of(l.Accept())(t)
	t.Cleanup(func() { _ = c.Close() })
	return &peer{t, c, bufio.NewReader(c)}
}

// line is the next line, without its end and past the body of a request.
func (p *peer) line() string {
	p.Helper()
	require.NoError(p, p.SetReadDeadline(time.Now().Add(5*time.Second)))
	line := strings.TrimSuffix(need.Of(p.in.ReadString('\n'))(p), "\r\n")
	if words := strings.Fields(line); words[0] == "REQ" {
		need.Of(p.in.Discard(need.Of(strconv.Atoi(words[3]))(p) + 2))(p)
	}
	return line
}

// request waits for the next line, which must be a request of that id.
func (p *peer) request(id string) {
	p.Helper()
	require.Equal(p, []string{"REQ", id}, strings.Fields(p.line())[:2])
}

// write writes text.
func (p *peer) write(text string) {
	p.Helper()
	need.Of(io.WriteString(p, text))(p)
}

// reset ends the connection by RST.
func (p *peer) reset() {
	p.Helper()
	require.NoError(p, p.Conn.(*net.TCPConn).SetLinger(0))
	require.NoError(p, p.Close())
}
