package scenario_test

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"elderwall/internal/goldentest"
	"elderwall/internal/scenario"
)

func TestGoldenScenarios(t *testing.T) {
	paths, err := filepath.Glob("../../examples/fleets/*.jsonnet")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	var tr goldentest.Transcript
	for _, path := range paths {
		s, err := scenario.Read(path)
		require.NoError(t, err, path)
		tr.Values(path, s)
	}
	s, err := scenario.Decode("empty.jsonnet", `{}`)
	tr.Values("defaults", s)
	tr.Rejected(err)
	tr.Check(t, "scenarios.golden")
}
