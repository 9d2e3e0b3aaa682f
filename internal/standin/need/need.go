// Package need takes what tests can't go on without.
package need

import (
	"testing"

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

// Client is a connection to a dispatcher, closed with the test.
func Client(t testing.TB, address string) *standin.Client {
	t.Helper()
	c := Of(standin.Dial(address))(t)
	t.Cleanup(func() { _ = c.Conn.Close() })
	return c
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
