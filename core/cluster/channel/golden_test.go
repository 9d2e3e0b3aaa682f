package channel

import (
	"encoding/base64"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/goldentest"
)

// The encoding of entries is stored on disk and sent between dispatchers, so it must not change.
func TestGoldenEntries(t *testing.T) {
	var full Entry
	goldentest.Fill(&full)
	full.After = map[string]uint64{"b": 2, "a": 1}
	withoutOffset := full
	withoutOffset.Offset, withoutOffset.Epoch = 0, 0
	declarationChange := full
	declarationChange.Writer, declarationChange.After = "", nil
	var tr goldentest.Transcript
	for _, e := range []Entry{full, withoutOffset, declarationChange, {Channel: "c", Writer: "w", Number: 1, Body: []byte{}}, {}} {
		raw := encodeEntry(&e)
		tr.Bytes("key", []byte(e.key()))
		tr.Bytes("value", raw)
		read, err := decodeEntry(raw)
		tr.Values("as read", read)
		tr.Rejected(err)
		tr.Rejected(checkEntry(e.key(), raw))
	}
	encoded := encodeEntry(&full)
	for cut := range encoded {
		read, err := decodeEntry(encoded[:cut])
		tr.Values("cut", cut, read)
		tr.Rejected(err)
	}
	tr.Bytes("number", encodeNumber(3, 1<<40))
	key, err := parseKey(full.key())
	tr.Values("key, as read", key.channel, key.writer, key.number, key.epoch)
	tr.Rejected(err)
	tr.Check(t, "entries.golden")
}

// Clients keep position tokens across upgrades, so their encoding must not change. The kinds of records must not change either.
func TestGoldenPositionTokens(t *testing.T) {
	var full Position
	goldentest.Fill(&full)
	full.Seen = map[string]uint64{"b": 2, "a": 1}
	var tr goldentest.Transcript
	for _, p := range []Position{full, {Channel: "c", Generation: 1}, {}} {
		token := p.Token()
		tr.Values("token", token)
		read, err := ParseToken(token)
		require.NoError(t, err)
		assert.Equal(t, p, read)
		tr.Values("as read", read)
	}
	for _, token := range []string{"", "AAAA", full.Token() + "=", full.Token()[1:], base64.RawURLEncoding.EncodeToString(make([]byte, 8))} {
		_, err := ParseToken(token)
		tr.Values("token", token)
		tr.Rejected(err)
	}
	for _, k := range Kinds() {
		tr.Values("kind", k.ID, k.Name, k.MaxRecords, k.MaxBytes, k.MaxRecordBytes, k.Sync)
	}
	tr.Check(t, "tokens.golden")
}
