package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/client"
	"elderwall/core/cluster/channel"
	"elderwall/core/cluster/lease"
	"elderwall/core/cluster/membership"
	"elderwall/core/cluster/quota"
	"elderwall/core/cluster/replication"
	"elderwall/emulator"
	"elderwall/internal/cluster"
	"elderwall/internal/goldentest"
	"elderwall/internal/load"
	"elderwall/internal/snakejson"
	"elderwall/internal/standin/need"
	"elderwall/internal/token"
)

// goldenPrinted compares a value of a type with every field set, as the commands write it with --json.
func goldenPrinted[T any](t *testing.T, name string) {
	var full T
	goldentest.Fill(&full)
	goldentest.Check(t, "printed/"+name+".json", need.Of(snakejson.Indent(full))(t))
}

func TestGoldenPrintedValues(t *testing.T) {
	goldenPrinted[cluster.Told](t, "fleet")
	goldenPrinted[[]emulated](t, "emulate")
	goldenPrinted[[]fleetPlayed](t, "fleet-emulate")
	goldenPrinted[[]budgetPlayed](t, "emulate-budgets")
	goldenPrinted[emulator.MemoryResult](t, "emulate-memory")
	goldenPrinted[emulator.CopiesResult](t, "emulate-memory-copies")
	goldenPrinted[emulator.VariantsResult](t, "emulate-memory-variants")
	goldenPrinted[emulator.ChannelsResult](t, "emulate-memory-channels")
	goldenPrinted[[]*load.Result](t, "load")
}

func TestGoldenLinesOfChannels(t *testing.T) {
	var line followLine
	var state client.State
	goldentest.Fill(&line)
	goldentest.Fill(&state)
	var tr goldentest.Transcript
	tr.Bytes("line", need.Of(json.Marshal(line))(t))
	tr.Bytes("line without a field set", need.Of(json.Marshal(followLine{}))(t))
	tr.Bytes("state of a writer", need.Of(json.Marshal(state))(t))
	tr.Values("words", words, orderWords)
	tr.Check(t, "channels.golden")
}

func TestGoldenListOfMembers(t *testing.T) {
	var full cluster.Told
	goldentest.Fill(&full)
	var out bytes.Buffer
	require.NoError(t, list(&out, full))
	require.NoError(t, list(&out, cluster.Told{}))
	goldentest.Check(t, "members.txt", out.Bytes())
}

// madeKeys makes a set of keys in several states, and a token of one of them.
func madeKeys(t *testing.T) (set, signed []byte) {
	dir := t.TempDir()
	path := filepath.Join(dir, "keys.json")
	for _, words := range []string{
		"keys new k1 --tenants a,b --issuer us --set SET --private DIR/k1.jwk", "keys new k2 --algorithm ES256 --set SET --private DIR/k2.jwk",
		"keys new k3 --set SET --private DIR/k3.jwk", "keys new k4 --set SET --private DIR/k4.jwk",
		"keys activate k1 --at 2027-01-01T00:00:00Z --until 2028-01-01T00:00:00Z --set SET", "keys retire k3 --at 2027-02-01T00:00:00Z --set SET",
		"keys revoke k4 --set SET",
	} {
		words = strings.NewReplacer("SET", path, "DIR", dir).Replace(words)
		need.Of(command(t, strings.Fields(words)...))(t)
	}
	sign := []string{"token", "sign", "--private", filepath.Join(dir, "k1.jwk"), "--tenant", "a", "--subject", "x", "--audience", "us"}
	signed = []byte(strings.TrimSpace(need.Of(command(t, sign...))(t)))
	return need.Of(os.ReadFile(path))(t), signed
}

// The set and the token were made once: what is printed of them, and how the set is written again, stay the same.
func TestGoldenKeysAndTokens(t *testing.T) {
	var signed []byte
	goldentest.Store(t, "keys/set.json", func() (set []byte) { set, signed = madeKeys(t); return set })
	goldentest.Store(t, "keys/token.txt", func() []byte {
		require.NotEmpty(t, signed, "the set and the token are made together: remove both")
		return signed
	})
	stored := need.Of(os.ReadFile("testdata/keys/set.json"))(t)
	text := string(need.Of(os.ReadFile("testdata/keys/token.txt"))(t))
	listed := need.Of(command(t, "keys", "list", "--set", "testdata/keys/set.json"))(t)
	goldentest.Check(t, "keys/list.txt", []byte(listed))
	shown := need.Of(command(t, "token", "show", text))(t)
	checked := need.Of(command(t, "token", "show", "--set", "testdata/keys/set.json", text))(t)
	goldentest.Check(t, "keys/show.txt", []byte(shown+"\n"+checked))
	keys := need.Of(token.ReadSet(stored, false))(t)
	assert.Equal(t, string(stored), string(need.Of(token.WriteSet(keys))(t)))
	var tr goldentest.Transcript
	tr.Values("keys as read", keys)
	tr.Check(t, "keys/read.golden")
}

func TestGoldenCheckOfFiles(t *testing.T) {
	t.Setenv("PROXY_CONFIG", "../../examples/config.json")
	root := need.Of(filepath.Abs("../.."))(t)
	var tr goldentest.Transcript
	for _, path := range []string{"../../deploy/operator.example.jsonnet", "../../examples/variants.jsonnet"} {
		out, err := command(t, "check", path)
		tr.Bytes("check "+path, []byte(strings.ReplaceAll(out, root, "ROOT")))
		tr.Rejected(err)
	}
	tr.Check(t, "check.golden")
}

// printedStates is the words of states from 0 on; a list of small numbers alone would be printed as bytes.
func printedStates[T ~uint8](count int) (all []any) {
	for i := range count {
		all = append(all, T(i))
	}
	return all
}

// Words that states are printed by, where there is one beyond the last of each too.
func TestGoldenPrintedStates(t *testing.T) {
	goldentest.Check(t, "printed/states.json", need.Of(snakejson.Indent([]any{
		printedStates[membership.State](5), printedStates[membership.Level](5), printedStates[membership.Link](4),
		printedStates[membership.Standing](3), printedStates[channel.Order](7), printedStates[replication.Level](4),
		printedStates[quota.Kind](4), printedStates[lease.CommandKind](3), printedStates[channel.EventKind](3),
		[]membership.State{membership.Alive, membership.Left},
	}))(t))
}
