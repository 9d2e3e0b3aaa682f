package variant_test

import (
	"testing"

	"elderwall/core/cluster/variant"
	"elderwall/internal/goldentest"
)

func goldenFact() variant.Fact {
	return variant.Fact{
		Object: variant.Object{Service: 1, Group: 2, ID: 0x7f3a9c21e0b4d655, Part: 3}, Class: 1, ContentHash: 4,
		Generation: variant.Generation{Purge: 5, Version: 6}, Split: true, SplitCount: 7, Canonical: 2, Witness: "one/8",
	}
}

// TestGoldenFacts guards the stored format of facts against accidental changes, including how damaged records are
// rejected.
func TestGoldenFacts(t *testing.T) {
	var tr goldentest.Transcript
	plain, stamped, joined := goldenFact(), goldenFact(), goldenFact()
	stamped.Stamp = variant.Stamp{Issuer: 9, Number: 10}
	joined.Split, joined.Object.Group = false, -1
	latest, tooLate := goldenFact(), goldenFact()
	latest.Generation.Purge, tooLate.Generation.Purge = 1<<46-1, 1<<46
	for _, f := range []variant.Fact{plain, stamped, joined, latest, tooLate, {}} {
		raw := variant.EncodeFact(&f)
		tr.Values("key", variant.FactKey(&f))
		tr.Bytes("value", raw)
		read, err := variant.DecodeFact(raw)
		tr.Values("as read", read)
		tr.Rejected(err)
	}
	encoded := variant.EncodeFact(&stamped)
	for cut := range encoded {
		_, err := variant.DecodeFact(encoded[:cut])
		tr.Values("cut", cut)
		tr.Rejected(err)
	}
	for at := range encoded {
		changed := append([]byte{}, encoded...)
		changed[at] = 0xff
		read, err := variant.DecodeFact(changed)
		tr.Values("changed at", at, read)
		tr.Rejected(err)
	}
	k := variant.Kind()
	tr.Values("kind", k.ID, k.Name, k.MaxRecords, k.MaxBytes, k.MaxRecordBytes, k.Sync)
	tr.Check(t, "facts.golden")
}
