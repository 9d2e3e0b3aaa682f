package channel

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/core/cluster/replication"
	"elderwall/internal/standin/need"
)

// A declaration that contradicts itself would fail only when readers are served, so Check has to report each fault and nothing else.
func TestDeclarationCheckReportsEveryFault(t *testing.T) {
	ok := newDeclaration(Total, false)
	for name, tt := range map[string]struct {
		change func(d *Declaration)
		faults []string // every fault is reported, and no other
	}{
		"none":                {func(d *Declaration) {}, nil},
		"nothing retained":    {func(d *Declaration) { d.RetainedEntries = 0 }, []string{"gaps are not allowed, but nothing", "repeats are not allowed, but nothing"}},
		"latest without gaps": {func(d *Declaration) { d.Order = Latest }, []string{"latest skips entries"}},
		"causal, no window": {func(d *Declaration) {
			d.Order, d.RetainedSeconds, d.AllowGaps, d.AllowRepeats, d.OrderWait = Causal, 0, true, true, 1
		}, []string{"the entries before an entry could not be given"}},
		"no wait":               {func(d *Declaration) { d.Order, d.OrderWait = BySender, 0 }, []string{"but the wait is 0"}},
		"slow reader gets gaps": {func(d *Declaration) { d.DisconnectSlow = false }, []string{"cut off"}},
		"waits for longer":      {func(d *Declaration) { d.RetainedSeconds, d.OrderWait = 1, 2 }, []string{"longer than the retention time"}},
		"all at once":           {func(d *Declaration) { *d = Declaration{Order: 9, RetainedEntries: -1, OrderWait: -1} }, []string{"name has", "no such order", "retained entries has", "the wait for order has", "cut off"}},
	} {
		t.Run(name, func(t *testing.T) {
			d := ok
			tt.change(&d)
			err := d.Check()
			if len(tt.faults) == 0 {
				require.NoError(t, err)
				return
			}
			require.Error(t, err)
			for _, f := range tt.faults {
				assert.Contains(t, err.Error(), f)
			}
			if len(tt.faults) < 4 {
				assert.Len(t, strings.Split(err.Error(), "\n"), len(tt.faults), err)
			}
			assert.Error(t, NewLedger().Apply(&Command{Declare: &d}))
		})
	}
}

// Declaring a withdrawn channel in total order again could lose acknowledged entries, so every new command is refused. Commands from logs that were
// written before the rule existed must still give the same state.
func TestTotalOrderNameNotReusedAfterWithdrawal(t *testing.T) {
	for _, tt := range []struct {
		name    string
		order   Order
		noReuse bool
		refused bool
	}{
		{"total, new command", Total, true, true}, {"total, older log", Total, false, false}, {"another order, new command", BySender, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := NewLedger()
			declare := func(generation uint64, end bool) error {
				d := newDeclaration(tt.order, false)
				d.Generation, d.Withdrawn = generation, end
				return l.Apply(&Command{Declare: &d, NoReuse: tt.noReuse})
			}
			require.NoError(t, declare(1, false))
			require.NoError(t, declare(2, true))
			if err := declare(3, false); tt.refused {
				require.ErrorIs(t, err, ErrNameReuse)
				assert.True(t, l.Declarations()[0].Withdrawn, "the channel stays withdrawn")
			} else {
				require.NoError(t, err)
			}
		})
	}
}

// testEntry returns an entry with a body of size bytes.
func testEntry(w string, n uint64, size int) Entry {
	return Entry{Channel: channelName, Writer: w, Number: n, Key: "k", Body: make([]byte, size)}
}

// A sequencer that lost its duty may still propose, and commands may arrive twice. Neither must assign offsets. Pending entries that are not bounded
// would make the log's snapshot too large to send.
func TestLedgerRefusesStaleCommandsAndBoundsPending(t *testing.T) {
	l := NewLedger()
	d := newDeclaration(Total, false)
	require.NoError(t, l.Apply(&Command{Declare: &d}))
	require.ErrorContains(t, l.Apply(&Command{Declare: &d}), "written against generation 0")
	other := d
	other.Generation, other.Order = 2, Causal
	require.ErrorContains(t, l.Apply(&Command{Declare: &other}), "new name")
	c := Command{Channel: channelName, Epoch: 5, Entries: []Entry{testEntry("a", 1, 1), testEntry("a", 3, 1), testEntry("b", 1, 1)}}
	require.NoError(t, l.Apply(&c))
	require.NoError(t, l.Apply(&c), "a command may arrive twice")
	n := l.Sequence(channelName)
	require.Len(t, n.Pending, 2, "an entry that skips a number is not accepted, nor is a repeated one")
	assert.EqualValues(t, 2, n.Pending[1].Offset)
	err := l.Apply(&Command{Channel: channelName, Epoch: 4, ReplicatedThrough: 9})
	require.ErrorContains(t, err, "epoch 4 is older than 5, which was seen")
	require.ErrorContains(t, err, "replicated up to offset 9")
	d.Generation = 2
	require.NoError(t, l.Apply(&Command{Declare: &d}))
	assert.Equal(t, Entry{Channel: channelName, Number: 2, Epoch: 5, EpochStart: 1, Offset: 3, Generation: 2}, l.Sequence(channelName).Pending[2], "the change has an offset")
	require.NoError(t, l.Apply(&Command{Channel: channelName, Epoch: 6, ReplicatedThrough: 3}))
	assert.EqualValues(t, 4, l.Sequence(channelName).EpochStart)
	for k := range uint64(100) {
		require.NoError(t, l.Apply(&Command{Channel: channelName, Epoch: 6, Entries: []Entry{testEntry("c", k+1, MaxBodyBytes)}}))
	}
	assert.Equal(t, Restore(l.Save()), l)
	assert.Less(t, len(l.Sequence(channelName).Pending)*MaxBodyBytes, MaxPendingBytes, "the bytes of a channel's pending entries are bounded")
	all := 0
	for c := range MaxChannels - 1 { // all channels together are bounded too: the log's snapshot has to fit into one stream
		d.Name, d.Generation = fmt.Sprint("c", c), 1
		require.NoError(t, l.Apply(&Command{Declare: &d}))
		for k := range uint64(20) {
			e := testEntry("c", k+1, MaxBodyBytes)
			e.Channel = d.Name
			require.NoError(t, l.Apply(&Command{Channel: d.Name, Epoch: 6, Entries: []Entry{e}}))
		}
		all += len(l.Sequence(d.Name).Pending) * MaxBodyBytes
	}
	assert.LessOrEqual(t, all, MaxPendingBytesTotal, "the pending bytes of all channels are bounded")
	assert.Positive(t, all)
}

// newMachine returns a machine with one declared channel and no other dispatchers.
func newMachine(d Declaration) *Machine {
	m := New("n0", 1)
	m.SetDeclarations(0, []Declaration{d})
	return m
}

// learnEntry gives a machine an entry as if another dispatcher had replicated it.
func learnEntry(m *Machine, now float64, e Entry) {
	m.Learn(now, replication.Record{Kind: EntryKind, Key: e.key(), Value: encodeEntry(&e), Dot: replication.Dot{Writer: "other"}})
}

// describe formats notifications in short: entries as writer and number, gaps with their range, other events by a word.
func describe(notes []Notification) string {
	var b strings.Builder
	for _, n := range notes {
		switch n.Kind {
		case EventEntry:
			fmt.Fprint(&b, n.Entry.Writer, n.Entry.Number, " ")
		case EventGap:
			fmt.Fprint(&b, "gap", n.Writer, n.From, "-", n.To, " ")
		default:
			b.WriteString([]string{"", "", "", "reset ", "behind ", "cut ", "changed "}[n.Kind])
		}
	}
	return strings.TrimSpace(b.String())
}

// Exhaustive check on a small scope: four entries arrive in every possible sequence, with some of them missing, under every declared order. Readers
// must see the declared order, and every entry that arrived must be shown or reported as a gap.
func TestOrderHoldsForEveryArrivalOrder(t *testing.T) {
	all := []Entry{testEntry("a", 1, 0), testEntry("a", 2, 0), testEntry("b", 1, 0), testEntry("b", 2, 0)}
	all[2].After = map[string]uint64{"a": 1}
	all[3].After = map[string]uint64{"a": 2}
	var permute func(p, rest []int, f func([]int))
	permute = func(p, rest []int, f func([]int)) {
		if f(p); len(rest) == 0 {
			return
		}
		for k := range rest {
			permute(append(p[:len(p):len(p)], rest[k]), append(append([]int{}, rest[:k]...), rest[k+1:]...), f)
		}
	}
	for _, o := range []Order{Latest, ByKey, BySender, Causal, Total} {
		for _, allowGaps := range []bool{true, o == Latest} {
			permute(nil, []int{0, 1, 2, 3}, func(p []int) {
				m, arrived, seen := newMachine(newDeclaration(o, allowGaps)), map[string]bool{}, map[string]uint64{}
				id := need.Of(m.Open(0, OpenRequest{Channel: channelName}))(t)
				var notes []Notification
				for k, x := range p {
					e := all[x]
					if arrived[entryID(e.Writer, e.Number)] = true; o == Total {
						e.Offset, e.Epoch, e.EpochStart = uint64(x+1), 3, 1
					}
					learnEntry(m, float64(k)/10, e)
					notes = append(notes, m.Take(float64(k)/10, id, 9)...)
				}
				m.Tick(5)
				notes = append(notes, m.Take(5, id, 9)...)
				offset := uint64(0)
				for _, n := range notes {
					switch e := n.Entry; n.Kind {
					case EventGap:
						require.True(t, allowGaps)
						seen[n.Writer] = max(seen[n.Writer], n.To)
						offset = max(offset, n.To)
					case EventBehind:
						require.Less(t, len(p), 4)
					case EventEntry:
						if o > Latest && o < Total {
							require.Equal(t, seen[e.Writer]+1, e.Number, "%v %v", o, p)
						} else if o == Total {
							require.Equal(t, offset+1, e.Offset, "%v", p)
						}
						for w, k := range all[map[string]int{"a": -1, "b": 1}[e.Writer]+int(e.Number)].After {
							require.True(t, o != Causal || seen[w] >= k, "%v", p)
						}
						seen[e.Writer], offset = e.Number, e.Offset
						delete(arrived, entryID(e.Writer, e.Number))
					}
				}
				if allowGaps && o > Latest || len(p) == 4 && o > Latest {
					require.Empty(t, arrived, "%v gaps allowed %v %v: every entry that arrived is shown or reported as a gap", o, allowGaps, p)
				}
			})
		}
	}
}

// A reader may open at a dispatcher that is ahead of its position, behind it, or in another epoch. It must continue exactly there or be notified why
// it can't, and a damaged token must be refused.
func TestOpenAtPosition(t *testing.T) {
	filled := func(d Declaration, n uint64) *Machine {
		m := newMachine(d)
		m.SetFleet(replication.Fleet{HasQuorum: true, Others: []replication.Member{{Name: "n7", Alive: true}}})
		for k := range n {
			e := testEntry("a", k+1, 0)
			if d.Order == Total {
				e.Epoch, e.EpochStart, e.Offset = 3, 1, k+1
			}
			learnEntry(m, 0, e)
		}
		return m
	}
	seen := func(n uint64) Position {
		return Position{Channel: channelName, Generation: 1, Seen: map[string]uint64{"a": n}}
	}
	at := func(ep, n uint64) Position {
		return Position{Channel: channelName, Generation: 1, Epoch: ep, Offset: n}
	}
	for name, tt := range map[string]struct {
		d           Declaration
		p           Position
		first, last string
	}{
		"in the window":                      {newDeclaration(BySender, false), seen(97), "a98 a99 a100", ""},
		"ahead":                              {newDeclaration(BySender, false), seen(101), "", "behind"},
		"ahead of an offset":                 {newDeclaration(Total, false), at(3, 101), "", "behind"},
		"of a later generation":              {newDeclaration(BySender, false), Position{Channel: channelName, Generation: 2}, "", "behind"},
		"of a later epoch":                   {newDeclaration(Total, false), at(4, 101), "", "behind"},
		"of an epoch that is unknown here":   {newDeclaration(Total, false), at(4, 50), "", "behind"},
		"of a lost epoch":                    {newDeclaration(Total, false), at(2, 50), "reset", ""},
		"behind, gaps allowed":               {withFewRetained(newDeclaration(BySender, true)), seen(10), "gap0-0 a37 a38", ""},
		"behind, gaps not allowed":           {withFewRetained(newDeclaration(Causal, false)), seen(10), "cut", ""},
		"behind an offset, gaps not allowed": {withFewRetained(newDeclaration(Total, false)), at(3, 10), "cut", ""},
		"at the start of the window":         {withFewRetained(newDeclaration(Total, false)), at(3, 36), "37 38 39", ""},
	} {
		t.Run(name, func(t *testing.T) {
			m := filled(tt.d, 100)
			id := need.Of(m.Open(1, OpenRequest{Channel: channelName, Token: tt.p.Token()}))(t)
			assert.Equal(t, strings.TrimSpace(tt.first), strings.TrimSpace(strings.ReplaceAll(describe(m.Take(1.5, id, 3)), map[bool]string{true: "a", false: "~"}[tt.d.Order == Total], "")))
			notes := m.Take(3.1, id, 1)
			if tt.last != "" {
				require.Equal(t, tt.last, describe(notes))
				assert.Equal(t, []string{"n7"}, notes[0].Dispatchers)
			}
		})
	}
	p := seen(3)
	valid := p.Token()
	for k := range valid {
		b := []byte(valid)
		b[k] ^= 1
		_, err := ParseToken(string(b))
		require.ErrorIs(t, err, ErrInvalidToken, "a changed byte is detected")
	}
	m := filled(newDeclaration(ByKey, true), 1)
	_, err := m.Open(1, OpenRequest{Channel: channelName, Order: Causal})
	require.ErrorIs(t, err, ErrOrderNotPromised)
	require.ErrorContains(t, err, "promises key")
	need.Of(m.Open(1, OpenRequest{Channel: channelName, Order: Latest}))(t)
}

// After a dispatcher is killed, all its readers reconnect elsewhere at once; they have to be admitted at a limited rate. A slow reader must not make the
// log keep more than declared: it is notified of a gap or cut off, and evicted entries are deleted everywhere.
func TestOpenIsRateLimitedAndSlowReadersAreSkippedOrCutOff(t *testing.T) {
	for _, d := range []Declaration{withFewRetained(newDeclaration(BySender, true)), withFewRetained(newDeclaration(BySender, false))} {
		m := newMachine(d)
		slow := need.Of(m.Open(0, OpenRequest{Channel: channelName}))(t)
		admitted, retryAt := 0, make([]float64, 1000)
		mostAtOnce := 0
		for now := 1.0; admitted < 1000; now += 0.1 {
			require.Less(t, now, 60.0)
			before := admitted
			m.Tick(now)
			for k := range retryAt {
				if retryAt[k] < 0 || retryAt[k] > now {
					continue
				}
				_, err := m.Open(now, OpenRequest{Channel: channelName})
				if later := (*RetryLaterError)(nil); errors.As(err, &later) {
					retryAt[k] = now + later.Seconds
					continue
				}
				require.NoError(t, err)
				retryAt[k] = -1
				admitted++
			}
			mostAtOnce = max(mostAtOnce, admitted-before)
		}
		assert.LessOrEqual(t, mostAtOnce, 51)
		for k := range uint64(100) {
			learnEntry(m, 70, testEntry("a", k+1, 0))
		}
		assert.Len(t, m.channels[channelName].items, 64)
		assert.Equal(t, map[bool]string{true: "gap0-0 a37", false: "cut"}[d.AllowGaps], describe(m.Take(70, slow, 2)))
		m.Tick(71)
		tombstones := 0
		for _, p := range m.Ready().Puts {
			if p.Record.Deleted {
				tombstones++
				m.Learn(71, p.Record)
			}
		}
		assert.Equal(t, 36, tombstones, "evicted entries are deleted everywhere")
		learnEntry(m, 72, testEntry("a", 5, 0))
		assert.Len(t, m.channels[channelName].items, 64, "a deleted entry does not come back")
	}
}

// An entry that only one dispatcher has may be lost with its disk. It must not be shown or acknowledged, also after a restart, until another dispatcher
// has it; the dispatcher writes it again whether or not its writer sends it again.
func TestEntryShownOnlyOnceReplicated(t *testing.T) {
	for _, o := range []Order{Latest, ByKey, BySender, Causal} {
		var disk replication.Record
		for start, resends := range []bool{true, true, false} {
			m := newMachine(newDeclaration(o, o == Latest))
			id := need.Of(m.Open(0, OpenRequest{Channel: channelName}))(t)
			if start > 0 {
				m.Learn(0, disk) // before the fleet is known
			}
			m.SetFleet(replication.Fleet{AgreedSize: 2})
			if resends {
				state := need.Of(m.Write(0, testEntry("a", 1, 0)))(t)
				require.Equal(t, WriteInFlight, state, "no other dispatcher is known to have it")
			}
			m.Tick(1)
			puts := m.Ready().Puts
			require.Len(t, puts, 1)
			require.True(t, start == 0 || entryMergeOrder(puts[0].Record.Value, disk.Value) > 0, "the new record wins over the earlier one")
			disk = puts[0].Record
			disk.Dot = replication.Dot{Writer: "n0", WriterEpoch: uint64(start), Number: 1}
			m.Learn(1, disk)
			assert.Empty(t, m.Take(1, id, 9))
			m.PutCompleted(2, puts[0].ID, replication.Outcome{Met: start == 2, Copies: 1}, nil)
			assert.Equal(t, map[bool]string{true: "a1"}[start == 2], describe(m.Take(2, id, 9)))
		}
		m := newMachine(newDeclaration(o, o == Latest))
		m.SetFleet(replication.Fleet{AgreedSize: 2})
		disk.Dot.Writer = "n1"
		m.Learn(0, disk)
		state := need.Of(m.Write(0, testEntry("a", 1, 0)))(t)
		assert.Equal(t, WriteAcknowledged, state, "the dispatcher that wrote the record has it, too")
	}
}

// A change of the declaration must take effect at the same entry for all readers. An entry accepted under the new declaration that arrives before it has
// to wait for it.
func TestEntryWaitsForItsDeclaration(t *testing.T) {
	m := newMachine(newDeclaration(BySender, false))
	id := need.Of(m.Open(0, OpenRequest{Channel: channelName}))(t)
	for k, g := range []uint64{1, 2} {
		e := testEntry("a", uint64(k+1), 0)
		e.Generation = g
		learnEntry(m, 0, e)
	}
	assert.Equal(t, "a1", describe(m.Take(0, id, 9)))
	d := newDeclaration(Causal, true)
	d.Generation = 2
	m.SetDeclarations(1, []Declaration{d})
	assert.Equal(t, "changed a2", describe(m.Take(1, id, 9)))
}

// BenchmarkThousandReaders measures the delivery of one entry to 1000 readers that keep up.
func BenchmarkThousandReaders(b *testing.B) {
	for _, o := range []Order{BySender, Causal, Total} {
		b.Run(o.String(), func(b *testing.B) {
			d := newDeclaration(o, true)
			d.RetainedEntries = 1000
			m := newMachine(d)
			var ids []uint64
			for k := range 1000 {
				id := need.Of(m.Open(float64(k), OpenRequest{Channel: channelName}))(b)
				ids = append(ids, id)
			}
			b.ReportAllocs()
			n := uint64(0)
			for b.Loop() {
				n++
				e := testEntry(fmt.Sprint("w", n%10), (n-1)/10+1, 200)
				if n%10 == 0 {
					e.Number = n / 10
				}
				if o == Total {
					e.Epoch, e.EpochStart, e.Offset = 3, 1, n
				}
				learnEntry(m, 2000, e)
				for _, id := range ids {
					if len(m.Take(2000, id, 8)) != 1 {
						b.Fatal("not shown")
					}
				}
			}
		})
	}
}
