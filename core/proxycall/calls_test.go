package proxycall

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func named(t *Table) *Call { c := t.Begin(1, 10); t.Name(1, c, 0, c.Until); return c }

func TestWhatAReplyProves(t *testing.T) {
	for name, tt := range map[string]struct {
		reply    Reply
		oldest   float64
		heldOnly bool
		want     Proof
		phase    Phase
	}{
		"a copy":                          {Reply{Status: 200, Age: -1}, 0, false, Returned, Over},
		"the client's own copy":           {Reply{Status: 304, Age: -1}, 0, false, Returned, Over},
		"a client's fault":                {Reply{Status: 403, Age: -1}, 0, false, Returned, Over},
		"an error":                        {Reply{Status: 502, Age: -1}, 0, false, HostError, Held},
		"full":                            {Reply{Status: 503, Full: true, Age: -1}, 0, false, Full, Held},
		"nothing held":                    {Reply{Status: 404, Age: -1}, 0, true, Lacks, Held},
		"not there at all":                {Reply{Status: 404, Age: -1}, 0, false, Returned, Over},
		"a copy from before a purge":      {Reply{Status: 200, Age: 5}, 2, false, TooOld, Held},
		"a copy from after a purge":       {Reply{Status: 200, Age: 1}, 2, false, Returned, Over},
		"a copy that may be from before":  {Reply{Status: 200, Age: -1}, 2, false, TooOld, Held},
		"an error of whatever age it was": {Reply{Status: 500, Age: 9}, 2, false, HostError, Held},
	} {
		table := New(Settings{}, [32]byte{7})
		c := named(table)
		assert.Equal(t, tt.want, table.Replied(1.1, c, tt.reply, tt.oldest, tt.heldOnly), name)
		assert.Equal(t, tt.phase, c.Phase, name)
		assert.Equal(t, Nothing, table.Replied(1.1, c, tt.reply, tt.oldest, tt.heldOnly), "%s, told twice", name)
	}
}

func TestFurtherCalls(t *testing.T) {
	table := New(Settings{Hold: 1}, [32]byte{7})
	c := named(table)
	_, proof := table.Again(1.1, 1, c.ID, false)
	assert.Equal(t, Nothing, proof)
	assert.Equal(t, Named, c.Phase, "its stream is open still")
	assert.Equal(t, Nothing, table.Ended(1.2, c), "a stream that ends proves nothing")
	for proxy, id := range map[uint64]ID{2: c.ID, 1: c.ID + 1} {
		other, _ := table.Again(1.3, proxy, id, false)
		assert.Nil(t, other, "another proxy's, or nobody's")
	}
	again, proof := table.Again(1.4, 1, c.ID, false)
	assert.Same(t, c, again)
	assert.Equal(t, Dropped, proof, "it may have run")
	table.Name(1.4, c, 1, c.Until)
	table.Ended(1.5, c)
	_, proof = table.Again(1.6, 1, c.ID, true)
	assert.Equal(t, Unreached, proof)
	table.Name(1.7, c, 2, c.Until)
	assert.InDelta(t, 1.95, c.SendBy, 1e-9)
	table.Replied(2, c, Reply{Status: 500}, 0, false)
	_, proof = table.Again(2.1, 1, c.ID, false)
	assert.Equal(t, Nothing, proof, "its end was told before")
	table.Name(2.1, c, 3, c.Until)
	table.Ended(2.2, c)
	_, ok := table.Pass(3.1)
	assert.False(t, ok)
	gone, ok := table.Pass(3.3)
	assert.True(t, ok)
	assert.Same(t, c, gone)
	assert.Zero(t, table.Len())
	again, _ = table.Again(3.4, 1, c.ID, false)
	assert.Nil(t, again)
}

func TestBounds(t *testing.T) {
	table := New(Settings{Open: 10, Share: 0.5}, [32]byte{7})
	var got [4]int                 // by proxy
	for proxy := range uint64(4) { // the first two have their share, then there are no more
		for range 7 {
			if table.Begin(proxy, 10) != nil {
				got[proxy]++
			}
		}
	}
	assert.Equal(t, [4]int{5, 5}, got)
}

// step does one of what a proxy or time can do to a call, and gives what that proved of a forward.
func step(t *rapid.T, table *Table, now float64, c *Call) Proof {
	switch rapid.IntRange(0, 5).Draw(t, "what") {
	case 0:
		if c.Phase == Deciding {
			table.Name(now, c, c.Forwards, c.Until)
		}
	case 1:
		status := rapid.SampledFrom([]int{200, 404, 500}).Draw(t, "status")
		return table.Replied(now, c, Reply{Status: status, Age: -1}, 0, false)
	case 2:
		return table.Ended(now, c)
	case 3:
		_, p := table.Again(now, rapid.Uint64Range(1, 3).Draw(t, "by"), c.ID, rapid.Bool().Draw(t, "unsent"))
		return p
	case 4:
		for gone, ok := table.Pass(now); ok; gone, ok = table.Pass(now) {
			require.Equal(t, Over, gone.Phase, "passed, and not over")
		}
	case 5:
		table.End(c)
	}
	return Nothing
}

// openByProxy is the sum of all proxies' open calls.
func openByProxy(table *Table) (sum int) {
	for _, n := range table.by {
		sum += n
	}
	return sum
}

// Whatever proxies do in whatever order: ids differ, the books add up, nothing is told twice, and all ends once the holds are over.
func TestWhatHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := New(Settings{Open: 20, Share: 0.6, Hold: 1}, [32]byte{rapid.Byte().Draw(t, "seed")}), 1.0
		var open []*Call
		seen, told := map[ID]bool{}, map[*Call]int{}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{0, 0, 0.01, 0.5, 2}).Draw(t, "passes")
			if len(open) == 0 || rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				if c := table.Begin(rapid.Uint64Range(1, 3).Draw(t, "proxy"), now+5); c != nil {
					require.False(t, seen[c.ID], "an id is given twice")
					seen[c.ID] = true
					open = append(open, c)
				}
				continue
			}
			c := open[rapid.IntRange(0, len(open)-1).Draw(t, "which")]
			if p := step(t, table, now, c); p != Nothing && p != Left {
				told[c]++
				require.False(t, told[c] > c.Forwards, "%d ends of %d forwards", told[c], c.Forwards)
			}
			by := openByProxy(table)
			require.False(t, by != table.Len() || table.Len() > 20, "%d by proxy, %d in all", by, table.Len())
		}
		for _, c := range open {
			table.Ended(now, c)
		}
		for _, ok := table.Pass(now + 10); ok; _, ok = table.Pass(now + 10) {
		}
		require.False(t, table.Len() != 0 || len(table.by) != 0, "%d are left", table.Len())
	})
}

func TestLine(t *testing.T) {
	l := Line[string]{Most: 5}
	for _, w := range []struct {
		further bool
		by      float64
		item    string
	}{{true, 9, "further"}, {false, 2, "too late"}, {false, 9, "old"}, {false, 9, "new"}, {true, 9, "further 2"}} {
		assert.True(t, l.Put(w.further, w.by, w.item))
	}
	assert.False(t, l.Put(false, 9, "one too many"))
	var got []string
	for s, ok := l.Next(3); ok; s, ok = l.Next(3) {
		got = append(got, s)
	}
	assert.Equal(t, []string{"old", "new", "further", "further 2"}, got)
	assert.Zero(t, l.Len())
}

func BenchmarkCall(b *testing.B) {
	table := New(Settings{}, [32]byte{7})
	b.ReportAllocs()
	for i := range b.N {
		now := float64(i) * 1e-4
		c := table.Begin(uint64(i&1), now+2)
		table.Name(now, c, 0, c.Until)
		table.Replied(now+0.01, c, Reply{Status: 200, Age: -1}, 0, false)
	}
}
