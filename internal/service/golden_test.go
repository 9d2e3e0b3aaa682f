package service_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"elderwall/internal/goldentest"
	"elderwall/internal/service"
	"elderwall/internal/standin"
)

func TestGoldenConfiguration(t *testing.T) {
	example, err := os.ReadFile("../../examples/config.json")
	require.NoError(t, err)
	platform := standin.Platform("127.0.0.1:1", "127.0.0.1:2", standin.List(1, true, "s-1 127.0.0.1:3 cache SERVING"), 7,
		standin.Limits{Cores: 2, MemoryMB: 64, Sockets: 4096})
	var tr goldentest.Transcript
	for _, c := range []struct{ name, text, listen, dispatcher string }{
		{"example", string(example), "", ""},
		{"example, with its environment", string(example), "127.0.0.9:9", "other"},
		{"platform", platform, "", ""},
		{"no seed", strings.Replace(platform, `"seed"`, `"other"`, 1), "", ""},
		{"no settings", strings.Replace(platform, `"settings"`, `"other"`, 1), "", ""},
		{"no limits", strings.Replace(platform, `"limits":{"cores"`, `"other":{"cores"`, 1), "", ""},
		{"no address", strings.Replace(platform, `"listen"`, `"other"`, 1), "", ""},
		{"keys in other cases", strings.Replace(platform, `"changelog"`, `"ChangeLog"`, 1), "", ""},
		{"nothing", `{}`, "", ""},
		{"no JSON", `{`, "", ""},
	} {
		path := filepath.Join(t.TempDir(), "config.json")
		require.NoError(t, os.WriteFile(path, []byte(c.text), 0o600))
		environment := map[string]string{"PROXY_CONFIG": path, "PROXY_LISTEN": c.listen, "PROXY_NAME": c.dispatcher}
		config, err := service.ReadConfig(func(name string) string { return environment[name] })
		tr.Values(c.name, config)
		if err == nil {
			tr.Values("services and which may be repeated", config.Services(), config.Repeats())
		}
		tr.Rejected(err)
	}
	tr.Check(t, "config.golden")
}
