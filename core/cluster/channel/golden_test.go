package channel

import (
	"encoding/base64"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/goldentest"
)

func TestGoldenEntries(t *testing.T) {
	var full Entry
	goldentest.Fill(&full)
	full.After = map[string]uint64{"b": 2, "a": 1}
	unplaced := full
	unplaced.Place, unplaced.Epoch = 0, 0
	declared := full
	declared.Writer, declared.After = "", nil
	var tr goldentest.Transcript
	for _, e := range []Entry{full, unplaced, declared, {Channel: "c", Writer: "w", Number: 1, Body: []byte{}}, {}} {
		raw := packEntry(&e)
		tr.Bytes("key", []byte(e.key()))
		tr.Bytes("value", raw)
		read, err := unpackEntry(raw)
		tr.Values("as read", read)
		tr.Rejected(err)
		tr.Rejected(checkEntry(e.key(), raw))
	}
	sound := packEntry(&full)
	for cut := range sound {
		read, err := unpackEntry(sound[:cut])
		tr.Values("cut", cut, read)
		tr.Rejected(err)
	}
	tr.Bytes("number", number(3, 1<<40))
	key, err := readKey(full.key())
	tr.Values("key, as read", key.channel, key.writer, key.number, key.epoch)
	tr.Rejected(err)
	tr.Check(t, "entries.golden")
}

func TestGoldenTokensOfPositions(t *testing.T) {
	var full Position
	goldentest.Fill(&full)
	full.Seen = map[string]uint64{"b": 2, "a": 1}
	var tr goldentest.Transcript
	for _, p := range []Position{full, {Channel: "c", Generation: 1}, {}} {
		token := p.Token()
		tr.Values("token", token)
		read, err := ReadToken(token)
		require.NoError(t, err)
		assert.Equal(t, p, read)
		tr.Values("as read", read)
	}
	for _, token := range []string{"", "AAAA", full.Token() + "=", full.Token()[1:], base64.RawURLEncoding.EncodeToString(make([]byte, 8))} {
		_, err := ReadToken(token)
		tr.Values("token", token)
		tr.Rejected(err)
	}
	for _, k := range Kinds() {
		tr.Values("kind", k.ID, k.Name, k.MaxRecords, k.MaxBytes, k.MaxRecordBytes, k.Sync)
	}
	tr.Check(t, "tokens.golden")
}
