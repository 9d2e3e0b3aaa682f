package variant_test

import (
	"testing"

	"elderwall/core/cluster/variant"
	"elderwall/internal/goldentest"
)

func goldenFact() variant.Fact {
	return variant.Fact{
		Object: variant.Object{Service: 1, Group: 2, Object: 0x7f3a9c21e0b4d655, Part: 3}, Class: 1, Proof: 4,
		Generation: variant.Generation{Purge: 5, Version: 6}, Split: true, Splits: 7, Stands: 2, Witness: "one/8",
	}
}

func TestGoldenFacts(t *testing.T) {
	var tr goldentest.Transcript
	plain, beating, joined := goldenFact(), goldenFact(), goldenFact()
	beating.Beat = variant.Beat{Giver: 9, Number: 10}
	joined.Split, joined.Object.Group = false, -1
	latest, later := goldenFact(), goldenFact()
	latest.Generation.Purge, later.Generation.Purge = 1<<46-1, 1<<46
	for _, f := range []variant.Fact{plain, beating, joined, latest, later, {}} {
		raw := variant.EncodeFact(&f)
		tr.Values("key", variant.FactKey(&f))
		tr.Bytes("value", raw)
		read, err := variant.DecodeFact(raw)
		tr.Values("as read", read)
		tr.Rejected(err)
	}
	sound := variant.EncodeFact(&beating)
	for cut := range sound {
		_, err := variant.DecodeFact(sound[:cut])
		tr.Values("cut", cut)
		tr.Rejected(err)
	}
	for at := range sound {
		changed := append([]byte{}, sound...)
		changed[at] = 0xff
		read, err := variant.DecodeFact(changed)
		tr.Values("changed at", at, read)
		tr.Rejected(err)
	}
	k := variant.Kind()
	tr.Values("kind", k.ID, k.Name, k.MaxRecords, k.MaxBytes, k.MaxRecordBytes, k.Sync)
	tr.Check(t, "facts.golden")
}
