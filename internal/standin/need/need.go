// Package need takes what tests can't go on without.
package need

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Of gives the first result of a call, and ends the test where the call failed: need.Of(os.ReadFile(name))(t).
func Of[T any](v T, err error) func(testing.TB) T {
	return func(t testing.TB) T {
		t.Helper()
		require.NoError(t, err)
		return v
	}
}
