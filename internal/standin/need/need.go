// Package need takes what tests can't go on without.
package need

import (
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"elderwall/internal/standin"
)

// Of gives the first result of a call, and ends the test where the call failed: need.Of(os.ReadFile(name))(t).
func Of[T any](v T, err error) func(testing.TB) T {
	return func(t testing.TB) T {
		t.Helper()
		require.NoError(t, err)
		return v
	}
}

// Pieces feeds bytes in pieces of a size to a reader with a space of its own, and gives what it reads until its first error.
func Pieces[T any](b []byte, size int, space func() []byte, fed func(int), next func() (T, bool, error)) (got []T, err error) {
	for len(b) > 0 {
		n := copy(space(), b[:min(size, len(b))])
		fed(n)
		b = b[n:]
		for {
			one, ok, err := next()
			if err != nil {
				return got, err
			}
			if !ok {
				break
			}
			got = append(got, one)
		}
	}
	return got, nil
}

// Bench is a part of a benchmark that does one thing over and over.
func Bench(b *testing.B, name string, do func(i int)) {
	b.Run(name, func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			do(i)
		}
	})
}

// Heap is the bytes in use, by the heap and by stacks.
func Heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// Soon waits until something holds, for so long as no sound program takes.
func Soon(t testing.TB, holds func() bool, why ...any) {
	t.Helper()
	require.Eventually(t, holds, 5*time.Second, time.Millisecond, why...)
}

// Listener is a listener on loopback, closed with the test.
func Listener(t testing.TB) net.Listener {
	t.Helper()
	l := Of(net.Listen("tcp", "127.0.0.1:0"))(t)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// Host is a stand-in host, closed with the test.
func Host(t testing.TB, answer func(standin.Ask) string) *standin.Host {
	t.Helper()
	h := Of(standin.Listen("127.0.0.1:0", answer))(t)
	t.Cleanup(h.Close)
	return h
}

// Client is a connection to a dispatcher, closed with the test.
func Client(t testing.TB, address string) *standin.Client {
	t.Helper()
	c := Of(standin.Dial(address))(t)
	t.Cleanup(func() { _ = c.Conn.Close() })
	return c
}

// Clients is so many.
func Clients(t testing.TB, address string, n int) (all []*standin.Client) {
	for range n {
		all = append(all, Client(t, address))
	}
	return all
}

// Sent sends a GET of the usual fields with changes, and gives its number.
func Sent(t testing.TB, c *standin.Client, changes ...string) int32 {
	t.Helper()
	return Of(c.Process(standin.Fields(changes...), ""))(t)
}

// Asked sends one and gives its answer.
func Asked(t testing.TB, c *standin.Client, changes ...string) standin.Reply {
	t.Helper()
	Sent(t, c, changes...)
	return Of(c.Read())(t)
}

// Ready says whether a dispatcher takes GETs by now.
func Ready(address string) bool {
	c, err := standin.Dial(address)
	if err != nil {
		return false
	}
	defer func() { _ = c.Conn.Close() }()
	good, err := c.Probe()
	return good && err == nil
}
