package main

import (
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin/need"
)

// command runs one and gives what it prints.
func command(t *testing.T, words ...string) (string, error) {
	var c commands
	parser, err := kong.New(&c, kong.Exit(func(int) { t.Error("ended") }))
	require.NoError(t, err)
	parsed, err := parser.Parse(words)
	if err != nil {
		return "", err
	}
	was := os.Stdout
	r, w, err := os.Pipe()
	require.NoError(t, err)
	os.Stdout = w
	err = parsed.Run()
	os.Stdout = was
	require.NoError(t, w.Close())
	out, _ := io.ReadAll(r)
	return string(out), err
}

func TestTheLifeOfKeysAndTokens(t *testing.T) {
	dir := t.TempDir()
	set, private := filepath.Join(dir, "keys.json"), filepath.Join(dir, "k1.jwk")
	var token string
	for _, s := range []struct {
		name, words string
		want, err   string // in what is printed
	}{
		{"no set yet", "keys list --set " + set, "", "no such file"},
		{"a new one", "keys new k1 --set " + set + " --private " + private + " --tenants a,b", "", ""},
		{"it is announced", "keys list --set " + set, "announced", ""},
		{"an id twice", "keys new k1 --set " + set + " --private " + private + "2", "", "there already"},
		{"a file twice", "keys new k2 --set " + set + " --private " + private, "", "there already"},
		{"an unknown algorithm", "keys new k2 --algorithm none --set " + set + " --private x", "", "must be one of"},
		{"retired before it was active", "keys retire k1 --set " + set, "", ""},
		{"back to active", "keys activate k1 --set " + set, "", "never goes back"},
		{"a second", "keys new k2 --algorithm HS256 --set " + set + " --private " + private + "2", "", ""},
		{"active from a moment on", "keys activate k2 --at 2027-01-01T00:00:00Z --set " + set, "", ""},
		{"with its tenants and its moment", "keys list --set " + set, "2027-01-01T00:00:00Z", ""},
		{"a token", "token sign --private " + private + " --tenant a --subject x --audience us", ".", ""},
		{"what it says", "token show --set " + set + " TOKEN", "tenant a, subject x", ""},
		{"its signature", "token show --set " + set + " TOKEN", "signature is right; the key is retiring", ""},
		{"with no key id", "token show eyJhbGciOiJFZERTQSJ9.e30.AAAA", "", "has no key id"},
		{"tampered", "token show --set " + set + " TOKENx", "", "not right"},
		{"by a public key", "token sign --private " + set + " --tenant a --subject x", "", "not just one private key"},
		{"revoked from a moment on, which is not told", "keys revoke k1 --at 2027-01-01T00:00:00Z --set " + set, "", "unknown flag --at"},
		{"revoked", "keys revoke k1 --set " + set, "", ""},
		{"for good", "keys activate k1 --set " + set, "", "never goes back"},
		{"one that there is not", "keys revoke k9 --set " + set, "", `no key "k9"`},
		{"announced from elsewhere, private", "keys announce " + private + " --set " + set, "", "it is private"},
	} {
		out, err := command(t, strings.Fields(strings.ReplaceAll(s.words, "TOKEN", token))...)
		if s.err != "" {
			assert.ErrorContains(t, err, s.err, s.name)
			continue
		}
		require.NoError(t, err, s.name)
		assert.Contains(t, out, s.want, s.name)
		if s.name == "a token" {
			token = strings.TrimSpace(out)
		}
	}
	assert.Empty(t, need.Of(filepath.Glob(filepath.Join(dir, ".new-*")))(t), "nothing half-written is left")
	assert.EqualValues(t, 0o600, need.Of(os.Stat(set))(t).Mode().Perm())
}

func TestCheckTellsEveryFault(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "o.jsonnet")
	t.Setenv("PROXY_CONFIG", "../../examples/config.json")
	require.NoError(t, os.WriteFile(file, []byte(`{callers: {tokens: {no_keys: true}, tenants: {a: {rules: [{allow: {services: ["page"]}}]}}}}`), 0o600))
	out, err := command(t, "check", file)
	require.NoError(t, err)
	assert.Contains(t, out, "callers: 0 keys, 1 tenants")
	require.NoError(t, os.WriteFile(file, []byte(`{callers: {skew: 3, tenants: {a: {rules: [{allow: {services: ["pages"]}}]}}}, tsl: {}}`), 0o600))
	out, err = command(t, "check", file)
	assert.Error(t, err)
	assert.Equal(t, 3, strings.Count(out, "\n"), out)
}

// Guards against an operator who is not told that GETs of a class whose repeats hosts know by a key come without one.
func TestCheckTellsOfGETsWithoutTheirKeys(t *testing.T) {
	dir := t.TempDir()
	file, config := filepath.Join(dir, "o.jsonnet"), filepath.Join(dir, "config.json")
	platform := string(need.Of(os.ReadFile("../../examples/config.json"))(t))
	keyed := strings.Replace(platform, `"name": "page", "aim": 250000, "aimStretch": 2, "deadline": 2500000, "effect": "safe"`,
		`"name": "page", "aim": 250000, "aimStretch": 2, "deadline": 2500000, "effect": "keyed"`, 1)
	require.NotEqual(t, platform, keyed)
	const callers = "callers: {tokens: {no_keys: true}, tenants: {a: {rules: [{allow: {}}]}}},"
	proxies := func(service string) string {
		return `proxies: {listen: "127.0.0.1:9002", paths: [{match: "/(?P<object>.*)", service: "` + service + `", budget: "1s"}]},`
	}
	const ofCallers, ofProxies = "callers: a GET bears an idempotency key only", "proxies: a GET of a proxy bears no idempotency key"
	for _, tt := range []struct {
		name, platform, file string
		want                 []string
	}{
		{"callers and proxies", keyed, callers + proxies("page"), []string{ofCallers, ofProxies}},
		{"proxies for another class", keyed, proxies("segment"), nil},
		{"neither", keyed, "", nil},
		{"no class that needs keys", platform, callers + proxies("page"), nil},
	} {
		t.Setenv("PROXY_CONFIG", config)
		require.NoError(t, os.WriteFile(config, []byte(tt.platform), 0o600))
		require.NoError(t, os.WriteFile(file, []byte("{"+tt.file+"}"), 0o600))
		out, err := command(t, "check", file)
		require.NoError(t, err, out)
		for _, sentence := range []string{ofCallers, ofProxies} {
			assert.Equal(t, slices.Contains(tt.want, sentence), strings.Contains(out, sentence), tt.name)
		}
		assert.Equal(t, len(tt.want), strings.Count(out, "(delivery services: page)"), tt.name)
	}
}
