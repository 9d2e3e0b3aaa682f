package cluster

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/cluster/channel"
	"elderwall/core/cluster/replication"
	"elderwall/internal/standin/processes"
)

// What the table in docs/members.md promises a writer, heard by writers at real processes: in a majority, in a minority of two, and of one that is
// alone. A no comes within the time that was named and what was written stays; what wants a majority where none is seen is refused, and leaves nothing.
func TestWhatWritersHear(t *testing.T) {
	m := remember(t, 5, "")
	cuts := []processes.Fault{{What: processes.Cut, A: []int{3, 4}, B: []int{0, 1, 2}}, {What: processes.Cut, A: []int{3}, B: []int{4}}}
	n, kept := 0, 0
	expect := func(i int, sure replication.WriteConcern, met, refused bool) {
		t.Helper()
		n++
		start := time.Now()
		told, err := m.ask(i, AskWrite, sure, replication.Record{Kind: testKind, Key: key(n), Value: []byte("v")})
		assert.Less(t, time.Since(start), time.Duration((sure.Timeout+2)*float64(time.Second)))
		if assert.Equal(t, refused, err != nil, "n%d, %+v: %v", i, sure, err); err == nil {
			assert.Equal(t, met, told.Ended[0].Met, "n%d, %+v", i, sure)
			kept++
		}
		assert.Equal(t, map[bool]string{false: "v"}[refused], m.reads(i, n), "n%d, %+v", i, sure)
	}
	m.Begin(cuts[0])
	m.until("the small part knows", []int{3, 4}, "minority", []int{3, 4})
	m.until("the large one does", []int{0, 1, 2}, "majority", []int{0, 1, 2})
	for _, sure := range []replication.WriteConcern{here, two, three, majority} {
		expect(0, sure, true, false)
	}
	expect(3, majority, false, true)
	expect(3, here, true, false)
	expect(3, two, true, false)
	expect(3, three, false, false)
	m.Begin(cuts[1])
	m.sees(soon, "one is alone", func(s sight) bool { return s.Level == "alone" }, 3)
	expect(3, majority, false, true)
	expect(3, here, true, false)
	expect(3, two, false, false)
	for _, f := range cuts {
		m.End(f)
	}
	require.Equal(t, 9, kept)
	m.same(kept, 0, 1, 2, 3, 4)
}

// Entries as long as they may be, of a writer that has seen as many others as it may, under keys of any bytes: a question of a writer and a frame of a
// reader bear what there is.
func TestEntriesAsLongAsTheyMayBe(t *testing.T) {
	c := newChannelRig(t, 3, 3)
	k, err := ParseKeys(c.keys[-1])
	require.NoError(t, err)
	var first []channel.Entry
	after := map[string]uint64{}
	for i := range channel.MaxAfterBytes / (channel.MaxNameBytes + 10) {
		name := fmt.Sprintf("%0*d", channel.MaxNameBytes, i)
		after[name] = 1
		first = append(first, channel.Entry{Channel: "all_causal", Writer: name, Number: 1, Clock: 1, Body: []byte(name)})
	}
	c.Until(soon, "many have written", func() error {
		all, err := AskEntries(context.Background(), c.Processes[0].Fleet, k, first)
		for i := range all {
			err = errors.Join(err, all[i].Err())
		}
		return err
	})
	all := make([]string, 164)
	for i := range all {
		if all[i] = fmt.Sprint(i); i >= 100 {
			all[i] += strings.Repeat(" ", channel.MaxBodyBytes-3)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), soon)
	defer cancel()
	require.NoError(t, c.at(0).After("all_causal", "w", after)(ctx, "\xff\x00", all...))
	s := c.see("all_causal", 2)
	c.Until(soon, "all come", func() error { return processes.When(s.count() < len(first)+len(all), fmt.Errorf("%d", s.count())) })
	assert.NoError(t, check("causal", s, &sent{writer: "w", bodies: all}))
}
