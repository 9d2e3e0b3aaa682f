package variant

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"unsafe"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/contract"
)

func settings(witnesses int, fresh float64, p *Presumed) Settings {
	return Settings{Services: []Service{
		{Classes: []string{"tv", "phone", "car"}, Proof: ByTag, Witnesses: witnesses, Repeats: true, Presume: p, Fresh: fresh},
		{},
	}, Objects: 64, Seed: 1, Self: "one"}
}

func module(t testing.TB, s Settings) *Module {
	m, err := New(s)
	require.NoError(t, err)
	return m
}

func answer(object uint64, c int, host uint32, proof, purge, version uint64) Answer {
	return Answer{Object: Object{Object: object}, Class: c, Host: host, Proof: proof, Generation: Generation{purge, version}, Known: purge}
}

// keyed counts by which class GETs of a class went in a second.
func keyed(m *Module, now float64, o Object, c int) (n [MaxClasses]int) {
	for i := range 1000 {
		n[m.Key(now+float64(i)/1000, o, c).Class]++
	}
	return n
}

// A peer's fact of an answer that names no version joins for as long as the answer's age can be bounded without another's clock.
func TestBeats(t *testing.T) {
	for name, x := range map[string]struct {
		beat Beat
		upTo float64 // 0: it never joins
	}{
		"told after my question":         {Beat{1, 6}, 30}, // Fresh after the question went out, not after it was answered
		"the one that I was told":        {Beat{1, 5}, 0},
		"another giver's, though higher": {Beat{2, 9}, 0},
		"none":                           {Beat{}, 0},
	} {
		m := module(t, settings(1, 20, nil))
		m.Beat(10, 14, Beat{1, 5})
		m.Answered(14, answer(7, 0, 1, 5, 0, 0))
		f := Fact{Object: Object{Object: 7}, Class: 1, Witness: "two/2", Proof: 5, Beat: x.beat}
		f, err := DecodeFact(EncodeFact(&f))
		require.NoError(t, err)
		m.Learn(15, []Fact{f})
		for _, now := range []float64{15, 29.8, 30.2} {
			assert.Equal(t, now < x.upTo, m.Fits(now, 1, Key{}, new(answer(7, 0, 1, 5, 0, 0))), "%s at %v", name, now)
		}
	}
	for began, beat := range map[float64]Beat{0: {}, 1.5: {}, 5: {1, 1}, 11: {1, 1}, 12: {1, 9}} { // heard only then
		m := module(t, settings(1, 20, nil))
		m.Beat(1, 2, Beat{1, 1})
		m.Beat(10, 12, Beat{1, 9})
		a := answer(7, 0, 1, 5, 0, 0)
		a.Sent = began
		m.Answered(13, a)
		all := m.Facts(9)
		require.Len(t, all, 1)
		assert.Equal(t, beat, all[0].Beat, "began at %v", began)
	}
}

// Where a key lives at one host, another place in the order of hosts bears its class out, unless nothing could join it.
func TestBeside(t *testing.T) {
	m := module(t, settings(2, 0, nil))
	o := Object{Object: 7}
	count := func(c int) (n int) {
		for i := range 1000 {
			if k := m.Key(2+float64(i)/1000, o, c); k.Beside > 0 {
				assert.Equal(t, c, k.Class)
				n++
			}
		}
		return n
	}
	m.Answered(1, answer(7, 0, 1, 5, 0, 1))
	m.Answered(1, answer(7, 1, 2, 6, 0, 1))
	assert.Zero(t, count(0)+count(1)+count(2), "nothing that could join")
	m.Answered(1, answer(7, 2, 3, 5, 0, 1))
	assert.InDelta(t, 1000*besides, count(0), 60)
	assert.Zero(t, count(1))
	for beside := 1; beside <= maxBeside; beside++ { // hosts that are one
		assert.Equal(t, beside, m.beside(&m.s.Services[0], m.of(m.find(o)), 0, m.tick(2)))
		a := answer(7, 0, 1, 5, 0, 1)
		a.Beside = beside
		m.Answered(2, a)
	}
	assert.Zero(t, count(0), "no other host is to be had")
	m.Answered(3, answer(7, 2, 9, 5, 0, 1))
	assert.Zero(t, count(2), "it has all that are asked for")
	assert.NotEqual(t, PlaceOf(7, 0, 1), KeyOf(7, 1))
	assert.Equal(t, KeyOf(7, 2), PlaceOf(7, 2, 0))
}

func TestJoinsStandsAndSplits(t *testing.T) {
	m := module(t, settings(2, 0, nil))
	o := Object{Object: 7}
	for host := range uint32(2) {
		m.Answered(1, answer(7, 1, host, 5, 0, 1))
		assert.Equal(t, 1000, keyed(m, 2, o, 2)[2], "too few witnesses")
		m.Answered(1, answer(7, 2, host, 5, 0, 1))
	}
	half := keyed(m, 1+warmLittle/2, o, 2)
	assert.Greater(t, half[1], 350, "warmed by a share")
	assert.Less(t, half[1], 550)
	assert.Greater(t, keyed(m, 2+warm, o, 2)[1], 850)
	assert.Less(t, keyed(m, 2+warm, o, 2)[1], 1000, "checks remain")
	m.Peers(100)
	assert.Greater(t, keyed(m, 2+warm, o, 2)[1], 990, "a hundred share them")
	m.Peers(1)
	for host := range uint32(2) {
		m.Answered(40, answer(7, 0, host, 5, 0, 1))
	}
	assert.Greater(t, keyed(m, 80, o, 0)[1], 850, "who stands goes on, though another was declared before it")
	assert.True(t, m.Fits(80, 2, Key{Class: 1}, new(answer(7, 1, 9, 5, 0, 1))))
	assert.False(t, m.Fits(80, 2, Key{Class: 1}, new(answer(7, 1, 9, 5, 0, 2))), "nothing known of class 2 in that version")
	m.Answered(81, answer(7, 1, 3, 6, 0, 1))
	assert.Equal(t, 1000, keyed(m, 110, o, 1)[1], "split off at once")
	assert.Greater(t, keyed(m, 110, o, 2)[0], 800, "the others stay one, by the first declared")
	m.Purged(0, 7, -1, 3, 3)
	assert.Equal(t, 1000, keyed(m, 112, o, 2)[2], "evidence of before the purge is void")
	m.Answered(113, answer(7, 2, 1, 5, 2, 1))
	m.Answered(113, answer(7, 0, 1, 5, 2, 1))
	assert.Equal(t, 1000, keyed(m, 140, o, 2)[2], "late answers are no evidence")
}

// Dispatchers that took different classes to stand settle on the first declared.
func TestSettlesOnOne(t *testing.T) {
	a, b := module(t, settings(1, 0, nil)), module(t, settings(1, 0, nil))
	for n := range 2 {
		a.Answered(1, answer(7, 2-n, 1, 5, 0, 1))
		b.Answered(1, answer(7, 1-n, 1, 5, 0, 1))
	}
	b.Learn(2, a.Facts(9))
	a.Learn(2, b.Facts(9))
	for _, m := range []*Module{a, b} {
		assert.Equal(t, 1000, keyed(m, 60, Object{Object: 7}, 0)[0])
		assert.Greater(t, keyed(m, 60, Object{Object: 7}, 2)[0], 850)
	}
	c := module(t, settings(1, 0, nil))
	c.Answered(1, answer(7, 2, 1, 5, 0, 1))
	c.Answered(1, answer(7, 1, 1, 5, 0, 1))
	assert.Greater(t, keyed(c, 60, Object{Object: 7}, 2)[1], 850)
	c.Answered(61, answer(7, 0, 1, 5, 0, 1))
	assert.Greater(t, keyed(c, 100, Object{Object: 7}, 2)[1], 850, "alone it changes nothing")
	for _, f := range b.Facts(9) {
		t.Fatal("told twice", f)
	}
	c.Learn(101, []Fact{{Object: Object{Object: 7}, Class: 0, Witness: "x/1", Proof: 5, Generation: Generation{0, 1}, Stands: 1}})
	half := keyed(c, 101+warm/2, Object{Object: 7}, 2)
	assert.Greater(t, half[0], 300, "warmed by a share")
	assert.Greater(t, half[1], 300)
}

func TestForgotten(t *testing.T) {
	s := settings(1, 0, nil)
	s.Objects = 1
	m := module(t, s)
	both := func(object, purge uint64) {
		for c := range 2 {
			m.Answered(1, answer(object, c, 1, 5, purge, 1))
		}
	}
	fits := func(object, purge uint64) bool { return m.Fits(60, 1, Key{}, new(answer(object, 0, 1, 5, purge, 1))) }
	m.Purged(0, 0, -1, 1, 1)
	both(7, 1)
	require.True(t, fits(7, 1))
	require.Equal(t, 1, m.Objects())
	m.Answered(2, answer(8, 0, 1, 5, 1, 1))
	assert.Equal(t, 1000, keyed(m, 60, Object{Object: 7}, 1)[1], "forgotten: own keys")
	assert.Equal(t, 1000, keyed(m, 60, Object{Object: 8}, 1)[1], "wrong bytes by what is kept of the one before")
	assert.False(t, fits(8, 1), "wrong bytes by what is kept of the one before")
	m.Purged(0, 9, -1, 4, 4) // not in the table
	both(9, 3)
	assert.False(t, fits(9, 3), "wrong bytes by answers of before a purge of a forgotten object")
	both(9, 4)
	assert.True(t, fits(9, 4))
	for purge, of := range map[uint64]func(purge uint64){
		5: func(p uint64) { m.Purged(0, 0, 0, p, p) }, 6: func(p uint64) { m.Purged(0, 0, -1, p, p) }, 7: func(p uint64) { m.Purged(-1, 0, -1, p, p) },
	} {
		of(purge)
		assert.False(t, fits(9, 4), "purge %d: of a group, service, all", purge)
	}
	two := module(t, settings(2, 0, nil))
	for host := range uint32(2) {
		two.Answered(1, answer(7, 1, host, 5, 0, 1))
	}
	liar := answer(7, 0, 9, 5, 0, 1)
	two.Answered(1, liar)
	assert.False(t, two.Fits(2, 1, Key{}, &liar), "wrong bytes by one that lies about a tag")
}

// Objects that share a floor, as all do in a module of one object, mean different purges by one time: none of them is told of or learned.
// Parts share the purges of their object, and nothing else.
func TestFloorsAndParts(t *testing.T) {
	s := settings(1, 0, nil)
	s.Objects = 1
	m := module(t, s)
	fact := []Fact{{Object: Object{Object: 7}, Class: 1, Witness: "x/1", Proof: 5, Generation: Generation{9, 1}}}
	for o := uint64(7); o < 40; o++ {
		m.Purged(0, o, -1, o, o)
	}
	a := answer(7, 0, 1, 5, m.Told(Object{Object: 7}), 1)
	m.Answered(1, a)
	assert.Empty(t, m.Facts(9), "no peer can tell what this purge was of")
	a.Generation.Purge, a.Known = 50, 40
	m.Learn(2, fact)
	m.Purged(0, 7, -1, 50, 50)
	m.Answered(3, a)
	assert.Empty(t, m.Facts(9), "sent by a shard that had not heard")
	a.Known = 50
	m.Answered(4, a)
	require.Len(t, m.Facts(9), 1)
	assert.True(t, m.Keeps(&Fact{Object: a.Object, Proof: 5, Generation: a.Generation}, true))
	assert.False(t, m.Keeps(&fact[0], false), "of before a purge")
	parts := module(t, settings(1, 0, nil))
	for c := range 2 {
		a := answer(7, c, 1, 5, 0, 1)
		a.Object.Part = 40
		parts.Answered(1, a)
		assert.False(t, parts.Fits(2, 1-c, Key{}, new(answer(7, c, 1, 5, 0, 1))))
		assert.Equal(t, c == 1, parts.Fits(2, 1-c, Key{}, &a))
	}
	parts.Purged(0, 7, -1, 9, 9)
	assert.Zero(t, keyed(parts, 60, Object{Object: 7, Part: 40}, 1)[0], "one purge for all parts")
}

// A class that flaps is held apart for longer and longer; peers learn of it, and a split wins over what joins.
func TestFlaps(t *testing.T) {
	m := module(t, settings(1, 1000, nil))
	now, before := 1.0, 0.0
	for n := range uint64(5) {
		m.Answered(now, answer(7, 0, 1, 5, 0, 0))
		began := now
		for ; !m.Fits(now, 1, Key{}, new(answer(7, 0, 1, 5, 0, 0))); now++ {
			m.Answered(now, answer(7, 1, 1, 5, 0, 0))
			require.Less(t, now, 3000.0)
		}
		if n > 1 {
			assert.InDelta(t, 2*before, now-began, 3)
		}
		before = now - began
		m.Answered(now, answer(7, 1, 1, 5, 0, 0))
		m.Answered(now, answer(7, 1, 1, 100+n, 0, 0))
		assert.False(t, m.Fits(now, 1, Key{}, new(answer(7, 0, 1, 5, 0, 0))))
	}
	assert.NotEmpty(t, m.Notices())
	here, there := module(t, settings(1, 0, nil)), module(t, settings(1, 0, nil))
	for c := range 2 {
		here.Answered(1, answer(7, c, 1, 5, 0, 1))
	}
	agreeing := here.Facts(9)
	require.Len(t, agreeing, 2)
	there.Learn(2, agreeing)
	assert.True(t, there.Fits(2, 1, Key{}, new(answer(7, 0, 1, 5, 0, 1))))
	here.Answered(3, answer(7, 1, 2, 6, 0, 1))
	there.Learn(4, here.Facts(9))
	there.Learn(4000, agreeing)
	assert.False(t, there.Fits(4001, 1, Key{}, new(answer(7, 0, 1, 5, 0, 1))), "a split wins over a join")
}

func TestFactLaw(t *testing.T) {
	contract.Kind[[]byte]{
		Draw: func(rng *rand.Rand) []byte {
			if rng.IntN(16) == 0 {
				return [][]byte{nil, {1}, []byte("spoilt")}[rng.IntN(3)]
			}
			f := Fact{
				Object: Object{Object: 7, Part: 2, Group: 3}, Class: rng.IntN(2), Witness: fmt.Sprintf("d/%x", rng.IntN(2)), Proof: 1 + rng.Uint64N(2),
				Generation: Generation{rng.Uint64N(2), rng.Uint64N(2)}, Split: rng.IntN(2) == 0, Splits: rng.Uint32N(2), Stands: uint8(rng.IntN(3)),
			}
			g, err := DecodeFact(EncodeFact(&f))
			require.NoError(t, err)
			require.Equal(t, f, g)
			return EncodeFact(&f)
		},
		Compare: FactLaw,
		Same:    bytes.Equal,
	}.Hold(t)
	rank := func(g Generation, split bool, splits uint32, stands uint8) []byte {
		return EncodeFact(&Fact{Witness: "d/1", Proof: 1, Generation: g, Split: split, Splits: splits, Stands: stands})
	}
	order := [][]byte{
		{9},
		rank(Generation{1, 1}, true, 9, 1), rank(Generation{2, 1}, false, 9, 0), rank(Generation{2, 1}, false, 9, 2), rank(Generation{2, 1}, false, 9, 1),
		rank(Generation{2, 1}, true, 1, 0), rank(Generation{2, 1}, true, 2, 0),
	}
	for n := range len(order) - 1 {
		assert.Negative(t, FactLaw(order[n], order[n+1]), n)
	}
}

func FuzzDecodeFact(f *testing.F) {
	f.Add(EncodeFact(&Fact{Witness: "a/1", Proof: 1}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if x, err := DecodeFact(b); err == nil {
			m := module(t, settings(1, 0, &Presumed{1, 1}))
			m.Learn(1, []Fact{x})
			assert.NotEmpty(t, FactKey(&x))
		}
	})
}

func TestSettings(t *testing.T) {
	_, err := New(Settings{Services: []Service{{Classes: []string{"a", "a"}, Fresh: math.NaN(), Presume: &Presumed{}}}})
	for _, s := range []string{"named twice", "no proof", "0 witnesses", "fresh", "presumes after 0", "0 objects", "name"} {
		assert.ErrorContains(t, err, s)
	}
	m := module(t, Settings{Services: []Service{{}}})
	m.Answered(1, answer(1, 0, 1, 1, 1, 1))
	assert.Equal(t, Key{Class: -1, Own: true}, m.Key(1, Object{Service: 5}, -1))
	assert.Equal(t, uint64(9), KeyOf(9, 0))
}

func BenchmarkAnswered(b *testing.B) {
	m := module(b, settings(1, 0, nil))
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		m.Answered(float64(i)/1000, answer(uint64(i&7), i%3, 1, 5, 0, 1))
	}
}

func BenchmarkKey(b *testing.B) {
	for _, objects := range []int{1 << 10, 1 << 16, 1 << 20} {
		b.Run(fmt.Sprint(objects), func(b *testing.B) {
			m := module(b, Settings{Services: settings(1, 0, nil).Services, Objects: 2 * objects, Seed: 1, Self: "one"})
			for o := range objects {
				for c := range 3 {
					m.Answered(1, answer(mix(uint64(o)), c, 1, 5, 0, 1))
				}
			}
			b.ReportAllocs()
			i, t := 0, 100.0
			for b.Loop() {
				i++
				t += 0.001
				m.Key(t, Object{Object: mix(mix(uint64(i)) & uint64(objects-1))}, i%3)
			}
			b.ReportMetric(float64(int(unsafe.Sizeof(entry{}))+m.stride*(int(unsafe.Sizeof(class{}))+m.each*int(unsafe.Sizeof(bearer{})))+2+24*floorsEach), "B/object")
		})
	}
}
