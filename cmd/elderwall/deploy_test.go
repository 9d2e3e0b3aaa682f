package main

import (
	"context"
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin/need"
)

// The line run must stay in the one process that it starts, linked dynamically against the C library: with an operator's
// file or an argument the program would become another. The rest is left to the bench.
func TestTheDeployFileStartsOneProcessOfTheCLibrary(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	line := func(key string) string {
		m := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"$`).FindSubmatch(text)
		require.Len(t, m, 2, key)
		return string(m[1])
	}
	assert.Equal(t, "exec bin/elderwall", line("run"))
	assert.Contains(t, line("build"), "CGO_ENABLED=1")
	assert.Contains(t, line("build"), "-ldflags=-linkmode=external")

	path := filepath.Join(t.TempDir(), "elderwall")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, ".")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	out, err := build.CombinedOutput()
	require.NoError(t, err, "%s", out)
	program := need.Of(elf.Open(path))(t)
	t.Cleanup(func() { assert.NoError(t, program.Close()) })
	assert.Contains(t, need.Of(program.ImportedLibraries())(t), "libc.so.6")

	// Nothing stands beside it here that it could become; it ends by itself for want of a configuration.
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	run := exec.CommandContext(ctx, path)
	run.Env = []string{"PROXY_CONFIG=" + path + ".json"}
	said, err := run.CombinedOutput()
	assert.Error(t, err)
	assert.Equal(t, 1, run.ProcessState.ExitCode())
	assert.Contains(t, string(said), path+".json", "it read its configuration itself")
	said, err = exec.CommandContext(ctx, path, "check", "f").CombinedOutput()
	assert.Error(t, err)
	assert.Contains(t, string(said), "go build -o "+path+"-operator ./cmd/elderwall-operator", "which program is missing, and how it is built")
}
