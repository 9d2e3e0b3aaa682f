package load_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"elderwall/internal/goldentest"
	"elderwall/internal/load"
)

func TestGoldenPlans(t *testing.T) {
	var tr goldentest.Transcript
	for _, path := range []string{"../../examples/cores.jsonnet", "../../examples/division.jsonnet"} {
		plan, err := load.Read(path)
		require.NoError(t, err, path)
		require.NotEmpty(t, plan.Text)
		plan.Text = "" // that of the file
		tr.Values(path, plan)
	}
	tr.Check(t, "plans.golden")
}

func TestGoldenTable(t *testing.T) {
	var all []*load.Result
	goldentest.Fill(&all)
	var out bytes.Buffer
	require.NoError(t, load.Table(&out, all))
	goldentest.Check(t, "table.txt", out.Bytes())
}
