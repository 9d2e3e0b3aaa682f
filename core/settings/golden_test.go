package settings_test

import (
	"os"
	"path/filepath"
	"testing"

	"elderwall/core/settings"
	"elderwall/internal/goldentest"
)

// The decoded form of valid and malformed settings objects, and the errors, must match the golden file.
func TestGoldenSettings(t *testing.T) {
	inputs, err := filepath.Glob("testdata/*.json")
	if err != nil || len(inputs) == 0 {
		t.Fatal("no inputs: ", err)
	}
	var tr goldentest.Transcript
	for _, input := range inputs {
		raw, err := os.ReadFile(input)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := settings.Decode(raw)
		tr.Values(filepath.Base(input), decoded)
		tr.Rejected(err)
	}
	for _, text := range []string{
		`{}`, `null`, `[]`, ``, `{"index":"0"}`, `{"index":1.5}`, `{"classes":[{}]}`, `{"unknown":{"key":1}}`, `{"extra":{"goodFor":[1]}}`,
		`{"INDEX":3,"Extra":{"ShieldKind":0}}`, `{"extra":{"shieldKind":null,"sourceKind":-2}}`, `{"extra":{"noteLevel":"hit"}}`,
		`{"extra":{"noteLevel":"silent"}}`, `{"extra":{"noteLevel":"other"}}`, `{"weights":"nominal"}`, `{"weights":"other"}`,
		`{"membershipMode":"other"}`, `{"limits":{"maxRetryAfter":5}}`, `{"limits":{"retryAfter":true}}`,
		`{"limits":{"retryAfter":true,"maxRetryAfter":-1}}`, `{"classes":[{"effect":"unsafe","dedupScope":"zone"},{"effect":"x","dedupScope":"x"}]}`,
	} {
		decoded, err := settings.Decode([]byte(text))
		tr.Values(text, decoded)
		tr.Rejected(err)
	}
	tr.Check(t, "settings.golden")
}
