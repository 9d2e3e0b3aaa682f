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

func TestDeclarationsThatCannotBeKept(t *testing.T) {
	ok := declared(Total, false)
	for name, tt := range map[string]struct {
		change func(d *Declaration)
		faults []string // all are named, none besides
	}{
		"none":                 {func(d *Declaration) {}, nil},
		"nothing kept":         {func(d *Declaration) { d.Entries = 0 }, []string{"no gaps, but nothing", "no repeats, but nothing"}},
		"latest without gaps":  {func(d *Declaration) { d.Order = Latest }, []string{"passes entries over"}},
		"causal, no window":    {func(d *Declaration) { d.Order, d.Seconds, d.Told, d.Repeats, d.Wait = Causal, 0, true, true, 1 }, []string{"what came before"}},
		"no wait":              {func(d *Declaration) { d.Order, d.Wait = BySender, 0 }, []string{"but no wait"}},
		"a slow one told gaps": {func(d *Declaration) { d.Slow = false }, []string{"cut off"}},
		"waits for longer":     {func(d *Declaration) { d.Seconds, d.Wait = 1, 2 }, []string{"than they are kept"}},
		"all at once":          {func(d *Declaration) { *d = Declaration{Order: 9, Entries: -1, Wait: -1} }, []string{"name has", "no such order", "entries are kept", "the wait is", "cut off"}},
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

// The name of a withdrawn channel of total order is refused to all ways in; commands of logs that were written before give what they gave.
func TestAWithdrawnTotalOrderIsNotDeclaredAgain(t *testing.T) {
	for _, tt := range []struct {
		name    string
		order   Order
		noReuse bool
		refused bool
	}{
		{"total, by a way in", Total, true, true}, {"total, of an older log", Total, false, false}, {"another order, by a way in", BySender, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := NewLedger()
			declare := func(generation uint64, end bool) error {
				d := declared(tt.order, false)
				d.Generation, d.End = generation, end
				return l.Apply(&Command{Declare: &d, NoReuse: tt.noReuse})
			}
			require.NoError(t, declare(1, false))
			require.NoError(t, declare(2, true))
			if err := declare(3, false); tt.refused {
				require.ErrorIs(t, err, ErrReuse)
				assert.True(t, l.Declarations()[0].End, "it stays withdrawn")
			} else {
				require.NoError(t, err)
			}
		})
	}
}

func entry(w string, n uint64, size int) Entry {
	return Entry{Channel: channelName, Writer: w, Number: n, Key: "k", Body: make([]byte, size)}
}

func TestLedger(t *testing.T) {
	l := NewLedger()
	d := declared(Total, false)
	require.NoError(t, l.Apply(&Command{Declare: &d}))
	require.ErrorContains(t, l.Apply(&Command{Declare: &d}), "written against generation 0")
	other := d
	other.Generation, other.Order = 2, Causal
	require.ErrorContains(t, l.Apply(&Command{Declare: &other}), "new name")
	c := Command{Channel: channelName, Epoch: 5, Entries: []Entry{entry("a", 1, 1), entry("a", 3, 1), entry("b", 1, 1)}}
	require.NoError(t, l.Apply(&c))
	require.NoError(t, l.Apply(&c), "it may come twice")
	n := l.Line(channelName)
	require.Len(t, n.Pending, 2, "a number that skips is not taken, one that repeats neither")
	assert.EqualValues(t, 2, n.Pending[1].Place)
	err := l.Apply(&Command{Channel: channelName, Epoch: 4, Spread: 9})
	require.ErrorContains(t, err, "epoch 4, 5 was seen")
	require.ErrorContains(t, err, "spread up to 9")
	d.Generation = 2
	require.NoError(t, l.Apply(&Command{Declare: &d}))
	assert.Equal(t, Entry{Channel: channelName, Number: 2, Epoch: 5, Since: 1, Place: 3, Generation: 2}, l.Line(channelName).Pending[2], "the change has a place")
	require.NoError(t, l.Apply(&Command{Channel: channelName, Epoch: 6, Spread: 3}))
	assert.EqualValues(t, 4, l.Line(channelName).Since)
	for k := range uint64(100) {
		require.NoError(t, l.Apply(&Command{Channel: channelName, Epoch: 6, Entries: []Entry{entry("c", k+1, MostBody)}}))
	}
	assert.Equal(t, Restore(l.Save()), l)
	assert.Less(t, len(l.Line(channelName).Pending)*MostBody, PendingBytes, "more waits for the records to spread")
	all := 0
	for c := range MostChannels - 1 { // all channels together: the log's snapshot has to fit into one stream
		d.Name, d.Generation = fmt.Sprint("c", c), 1
		require.NoError(t, l.Apply(&Command{Declare: &d}))
		for k := range uint64(20) {
			e := entry("c", k+1, MostBody)
			e.Channel = d.Name
			require.NoError(t, l.Apply(&Command{Channel: d.Name, Epoch: 6, Entries: []Entry{e}}))
		}
		all += len(l.Line(d.Name).Pending) * MostBody
	}
	assert.LessOrEqual(t, all, AllPending, "more waits")
	assert.Positive(t, all)
}

// one is a machine with a channel and nobody else.
func one(d Declaration) *Machine {
	m := New("n0", 1)
	m.Declare(0, []Declaration{d})
	return m
}

// learn gives a machine an entry as if it came by replication.
func learn(m *Machine, now float64, e Entry) {
	m.Learn(now, replication.Record{Kind: EntryKind, Key: e.key(), Value: packEntry(&e), Dot: replication.Dot{Writer: "other"}})
}

func words(notes []Note) string {
	var b strings.Builder
	for _, n := range notes {
		switch n.Word {
		case Shown:
			fmt.Fprint(&b, n.Entry.Writer, n.Entry.Number, " ")
		case Gap:
			fmt.Fprint(&b, "gap", n.Writer, n.From, "-", n.To, " ")
		default:
			b.WriteString([]string{"", "", "", "reset ", "behind ", "cut ", "turned "}[n.Word])
		}
	}
	return strings.TrimSpace(b.String())
}

// Small scope: every order in which four entries may come, in every declared order, with and without one of them.
func TestSmallScope(t *testing.T) {
	all := []Entry{entry("a", 1, 0), entry("a", 2, 0), entry("b", 1, 0), entry("b", 2, 0)}
	all[2].After = map[string]uint64{"a": 1}
	all[3].After = map[string]uint64{"a": 2}
	var perms func(p, rest []int, f func([]int))
	perms = func(p, rest []int, f func([]int)) {
		if f(p); len(rest) == 0 {
			return
		}
		for k := range rest {
			perms(append(p[:len(p):len(p)], rest[k]), append(append([]int{}, rest[:k]...), rest[k+1:]...), f)
		}
	}
	for _, o := range []Order{Latest, ByKey, BySender, Causal, Total} {
		for _, told := range []bool{true, o == Latest} {
			perms(nil, []int{0, 1, 2, 3}, func(p []int) {
				m, came, seen := one(declared(o, told)), map[string]bool{}, map[string]uint64{}
				id := need.Of(m.Open(0, Ask{Channel: channelName}))(t)
				var notes []Note
				for k, x := range p {
					e := all[x]
					if came[ref(e.Writer, e.Number)] = true; o == Total {
						e.Place, e.Epoch, e.Since = uint64(x+1), 3, 1
					}
					learn(m, float64(k)/10, e)
					notes = append(notes, m.Take(float64(k)/10, id, 9)...)
				}
				m.Tick(5)
				notes = append(notes, m.Take(5, id, 9)...)
				place := uint64(0)
				for _, n := range notes {
					switch e := n.Entry; n.Word {
					case Gap:
						require.True(t, told)
						seen[n.Writer] = max(seen[n.Writer], n.To)
						place = max(place, n.To)
					case Behind:
						require.Less(t, len(p), 4)
					case Shown:
						if o > Latest && o < Total {
							require.Equal(t, seen[e.Writer]+1, e.Number, "%v %v", o, p)
						} else if o == Total {
							require.Equal(t, place+1, e.Place, "%v", p)
						}
						for w, k := range all[map[string]int{"a": -1, "b": 1}[e.Writer]+int(e.Number)].After {
							require.True(t, o != Causal || seen[w] >= k, "%v", p)
						}
						seen[e.Writer], place = e.Number, e.Place
						delete(came, ref(e.Writer, e.Number))
					}
				}
				if told && o > Latest || len(p) == 4 && o > Latest {
					require.Empty(t, came, "%v told %v %v: all that came is shown, or a gap is told", o, told, p)
				}
			})
		}
	}
}

func TestPositions(t *testing.T) {
	full := func(d Declaration, n uint64) *Machine {
		m := one(d)
		m.Fleet(replication.Fleet{HasQuorum: true, Others: []replication.Member{{Name: "n7", Alive: true}}})
		for k := range n {
			e := entry("a", k+1, 0)
			if d.Order == Total {
				e.Epoch, e.Since, e.Place = 3, 1, k+1
			}
			learn(m, 0, e)
		}
		return m
	}
	seen := func(n uint64) Position {
		return Position{Channel: channelName, Generation: 1, Seen: map[string]uint64{"a": n}}
	}
	at := func(ep, n uint64) Position { return Position{Channel: channelName, Generation: 1, Epoch: ep, Place: n} }
	for name, tt := range map[string]struct {
		d           Declaration
		p           Position
		first, last string
	}{
		"in the window":            {declared(BySender, false), seen(97), "a98 a99 a100", ""},
		"ahead":                    {declared(BySender, false), seen(101), "", "behind"},
		"ahead of a place":         {declared(Total, false), at(3, 101), "", "behind"},
		"of a later generation":    {declared(BySender, false), Position{Channel: channelName, Generation: 2}, "", "behind"},
		"of an epoch to come":      {declared(Total, false), at(4, 101), "", "behind"},
		"of an epoch unknown here": {declared(Total, false), at(4, 50), "", "behind"},
		"of a lost epoch":          {declared(Total, false), at(2, 50), "reset", ""},
		"behind, told":             {few(declared(BySender, true)), seen(10), "gap0-0 a37 a38", ""},
		"behind, never":            {few(declared(Causal, false)), seen(10), "cut", ""},
		"behind a place, never":    {few(declared(Total, false)), at(3, 10), "cut", ""},
		"where the window begins ": {few(declared(Total, false)), at(3, 36), "37 38 39", ""},
	} {
		t.Run(name, func(t *testing.T) {
			m := full(tt.d, 100)
			id := need.Of(m.Open(1, Ask{Channel: channelName, Token: tt.p.Token()}))(t)
			assert.Equal(t, strings.TrimSpace(tt.first), strings.TrimSpace(strings.ReplaceAll(words(m.Take(1.5, id, 3)), map[bool]string{true: "a", false: "~"}[tt.d.Order == Total], "")))
			notes := m.Take(3.1, id, 1)
			if tt.last != "" {
				require.Equal(t, tt.last, words(notes))
				assert.Equal(t, []string{"n7"}, notes[0].Where)
			}
		})
	}
	p := seen(3)
	good := p.Token()
	for k := range good {
		b := []byte(good)
		b[k] ^= 1
		_, err := ReadToken(string(b))
		require.ErrorIs(t, err, ErrToken, "any letter spoilt")
	}
	m := full(declared(ByKey, true), 1)
	_, err := m.Open(1, Ask{Channel: channelName, Order: Causal})
	require.ErrorIs(t, err, ErrMore)
	require.ErrorContains(t, err, "promises key")
	need.Of(m.Open(1, Ask{Channel: channelName, Order: Latest}))(t)
}

// Readers of a killed dispatcher come in one after the other, and a slow one costs nobody anything.
func TestManyAndSlowReaders(t *testing.T) {
	for _, d := range []Declaration{few(declared(BySender, true)), few(declared(BySender, false))} {
		m := one(d)
		slow := need.Of(m.Open(0, Ask{Channel: channelName}))(t)
		in, due := 0, make([]float64, 1000)
		most := 0
		for now := 1.0; in < 1000; now += 0.1 {
			require.Less(t, now, 60.0)
			at := in
			m.Tick(now)
			for k := range due {
				if due[k] < 0 || due[k] > now {
					continue
				}
				_, err := m.Open(now, Ask{Channel: channelName})
				if later := (*Later)(nil); errors.As(err, &later) {
					due[k] = now + later.Seconds
					continue
				}
				require.NoError(t, err)
				due[k] = -1
				in++
			}
			most = max(most, in-at)
		}
		assert.LessOrEqual(t, most, 51)
		for k := range uint64(100) {
			learn(m, 70, entry("a", k+1, 0))
		}
		assert.Len(t, m.channels[channelName].items, 64)
		assert.Equal(t, map[bool]string{true: "gap0-0 a37", false: "cut"}[d.Told], words(m.Take(70, slow, 2)))
		m.Tick(71)
		tombs := 0
		for _, p := range m.Ready().Puts {
			if p.Record.Deleted {
				tombs++
				m.Learn(71, p.Record)
			}
		}
		assert.Equal(t, 36, tombs, "what fell out is let go everywhere")
		learn(m, 72, entry("a", 5, 0))
		assert.Len(t, m.channels[channelName].items, 64, "and doesn't come back")
	}
}

// What one alone has is not shown, nor known after a start, until another has it: it is written anew, by its writer or without.
func TestShownOnceKept(t *testing.T) {
	for _, o := range []Order{Latest, ByKey, BySender, Causal} {
		var disk replication.Record
		for start, resends := range []bool{true, true, false} {
			m := one(declared(o, o == Latest))
			id := need.Of(m.Open(0, Ask{Channel: channelName}))(t)
			if start > 0 {
				m.Learn(0, disk) // before it is told who else there is
			}
			m.Fleet(replication.Fleet{AgreedSize: 2})
			if resends {
				state := need.Of(m.Write(0, entry("a", 1, 0)))(t)
				require.Equal(t, OnWay, state, "no other is known to have it")
			}
			m.Tick(1)
			puts := m.Ready().Puts
			require.Len(t, puts, 1)
			require.True(t, start == 0 || entryLaw(puts[0].Record.Value, disk.Value) > 0, "it stands over itself")
			disk = puts[0].Record
			disk.Dot = replication.Dot{Writer: "n0", WriterEpoch: uint64(start), Number: 1}
			m.Learn(1, disk)
			assert.Empty(t, m.Take(1, id, 9))
			m.Written(2, puts[0].ID, replication.Outcome{Met: start == 2, Copies: 1}, nil)
			assert.Equal(t, map[bool]string{true: "a1"}[start == 2], words(m.Take(2, id, 9)))
		}
		m := one(declared(o, o == Latest))
		m.Fleet(replication.Fleet{AgreedSize: 2})
		disk.Dot.Writer = "n1"
		m.Learn(0, disk)
		state := need.Of(m.Write(0, entry("a", 1, 0)))(t)
		assert.Equal(t, Known, state, "who wrote it has it, too")
	}
}

// A change takes effect at one entry: what is taken under it waits for it.
func TestTurned(t *testing.T) {
	m := one(declared(BySender, false))
	id := need.Of(m.Open(0, Ask{Channel: channelName}))(t)
	for k, g := range []uint64{1, 2} {
		e := entry("a", uint64(k+1), 0)
		e.Generation = g
		learn(m, 0, e)
	}
	assert.Equal(t, "a1", words(m.Take(0, id, 9)))
	d := declared(Causal, true)
	d.Generation = 2
	m.Declare(1, []Declaration{d})
	assert.Equal(t, "turned a2", words(m.Take(1, id, 9)))
}

func BenchmarkThousandReaders(b *testing.B) {
	for _, o := range []Order{BySender, Causal, Total} {
		b.Run(o.String(), func(b *testing.B) {
			d := declared(o, true)
			d.Entries = 1000
			m := one(d)
			var ids []uint64
			for k := range 1000 {
				id := need.Of(m.Open(float64(k), Ask{Channel: channelName}))(b)
				ids = append(ids, id)
			}
			b.ReportAllocs()
			n := uint64(0)
			for b.Loop() {
				n++
				e := entry(fmt.Sprint("w", n%10), (n-1)/10+1, 200)
				if n%10 == 0 {
					e.Number = n / 10
				}
				if o == Total {
					e.Epoch, e.Since, e.Place = 3, 1, n
				}
				learn(m, 2000, e)
				for _, id := range ids {
					if len(m.Take(2000, id, 8)) != 1 {
						b.Fatal("not shown")
					}
				}
			}
		})
	}
}
