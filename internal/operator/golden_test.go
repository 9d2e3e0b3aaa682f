package operator_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"elderwall/internal/goldentest"
	"elderwall/internal/operator"
)

func TestGoldenFiles(t *testing.T) {
	var tr goldentest.Transcript
	for _, path := range []string{
		"../../deploy/operator.example.jsonnet", "../../examples/variants.jsonnet", "../../examples/connections-4.jsonnet",
		"../../examples/connections-8.jsonnet", "testdata/full.jsonnet", "testdata/defaults.jsonnet",
	} {
		config, err := operator.Load(path, []string{"segment", "page"})
		require.NoError(t, err, path)
		config.Generation = 0 // a hash of the text, which may get other comments
		tr.Values(path, config)
	}
	for _, path := range []string{"../../deploy/operator.example.jsonnet", "testdata/full.jsonnet"} {
		config, err := operator.Load(path, nil)
		require.NoError(t, err, path)
		config.Generation = 0
		tr.Values(path+", services not known", config)
	}
	config, err := operator.Load("testdata/empty.jsonnet", nil)
	require.NoError(t, err)
	tr.Values("empty, with the hash of its text", config)
	tr.Check(t, "files.golden")
}

func TestGoldenDeclarations(t *testing.T) {
	declared, err := operator.ReadDeclarations("testdata/declarations.jsonnet")
	require.NoError(t, err)
	var tr goldentest.Transcript
	tr.Values("declarations", declared)
	tr.Check(t, "declarations.golden")
}
