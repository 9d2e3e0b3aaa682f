package purgefloor_test

import (
	"strings"
	"testing"

	"elderwall/core/cluster/purgefloor"
	"elderwall/internal/goldentest"
)

// The encoding of floors and the records that are rejected must stay as in the golden file.
func TestGoldenFloors(t *testing.T) {
	var tr goldentest.Transcript
	for _, f := range []purgefloor.Floor{
		{Object: "7f3a9c21e0b4d655", Time: 1764576000123},
		{Group: 17, Time: 5},
		{Group: -1, Time: 5},
		{Object: "g17", Group: 3, Time: 5},
		{Object: "o", Time: 1<<46 - 1},
		{Object: "o", Time: 1 << 46},
		{Object: "o"},
		{Object: "o", Time: -1},
		{Object: strings.Repeat("x", 256), Time: 1},
		{Object: strings.Repeat("x", 257), Time: 1},
	} {
		key, value, ok := purgefloor.EncodeRecord(f)
		tr.Values("floor", f, ok)
		tr.Bytes("key", []byte(key))
		tr.Bytes("value", value)
		read, err := purgefloor.ParseRecord(key, value)
		tr.Values("as read", read)
		tr.Rejected(err)
	}
	sound := []byte{0, 0, 0, 0, 0, 0, 0, 5}
	for _, r := range []struct {
		key   string
		value []byte
	}{
		{"", sound},
		{"o", sound},
		{"g", sound},
		{"g017", sound},
		{"gx", sound},
		{"x1", sound},
		{"oo", nil},
		{"oo", sound[:7]},
		{"oo", make([]byte, 8)},
		{"oo", []byte{0, 0, 64, 0, 0, 0, 0, 0}},
	} {
		read, err := purgefloor.ParseRecord(r.key, r.value)
		tr.Values("record", r.key, r.value, read)
		tr.Rejected(err)
	}
	k := purgefloor.Kind()
	tr.Values("kind", k.ID, k.Name, k.MaxRecords, k.MaxBytes, k.MaxRecordBytes, k.Sync)
	tr.Check(t, "floors.golden")
}
