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

func testSettings(witnesses int, evidenceTTL float64, p *Presumption) Settings {
	return Settings{Services: []Service{
		{Classes: []string{"tv", "phone", "car"}, Proof: ProofByTag, Witnesses: witnesses, Idempotent: true, Presumption: p, EvidenceTTL: evidenceTTL},
		{},
	}, MaxObjects: 64, Seed: 1, Self: "one"}
}

func newModule(t testing.TB, s Settings) *Module {
	m, err := New(s)
	require.NoError(t, err)
	return m
}

func answer(object uint64, c int, host uint32, contentHash, purge, version uint64) Answer {
	return Answer{Object: Object{ID: object}, Class: c, Host: host, ContentHash: contentHash, Generation: Generation{purge, version}, KnownEvent: purge}
}

// countKeys counts the classes by which 1,000 GETs of a class are requested within one second.
func countKeys(m *Module, now float64, o Object, c int) (n [MaxClasses]int) {
	for i := range 1000 {
		n[m.Key(now+float64(i)/1000, o, c).Class]++
	}
	return n
}

// TestStampsBoundTheAgeOfFacts checks that a peer's fact about an answer that names no version joins classes only
// while stamps bound the answer's age, without comparing clocks.
func TestStampsBoundTheAgeOfFacts(t *testing.T) {
	for name, x := range map[string]struct {
		stamp Stamp
		until float64 // 0: the classes are never joined
	}{
		"issued after the own request":    {Stamp{1, 6}, 30}, // EvidenceTTL counts from when the request was sent, not from its answer
		"equal to the own stamp":          {Stamp{1, 5}, 0},
		"higher, but from another issuer": {Stamp{2, 9}, 0},
		"none":                            {Stamp{}, 0},
	} {
		m := newModule(t, testSettings(1, 20, nil))
		m.RecordStamp(10, 14, Stamp{1, 5})
		m.RecordAnswer(14, answer(7, 0, 1, 5, 0, 0))
		f := Fact{Object: Object{ID: 7}, Class: 1, Witness: "two/2", ContentHash: 5, Stamp: x.stamp}
		f, err := DecodeFact(EncodeFact(&f))
		require.NoError(t, err)
		m.Learn(15, []Fact{f})
		for _, now := range []float64{15, 29.8, 30.2} {
			assert.Equal(t, now < x.until, m.MayServe(now, 1, Key{}, new(answer(7, 0, 1, 5, 0, 0))), "%s at %v", name, now)
		}
	}
	for sentAt, stamp := range map[float64]Stamp{0: {}, 1.5: {}, 5: {1, 1}, 11: {1, 1}, 12: {1, 9}} { // the second stamp is known only at 12
		m := newModule(t, testSettings(1, 20, nil))
		m.RecordStamp(1, 2, Stamp{1, 1})
		m.RecordStamp(10, 12, Stamp{1, 9})
		a := answer(7, 0, 1, 5, 0, 0)
		a.SentAt = sentAt
		m.RecordAnswer(13, a)
		all := m.Facts(9)
		require.Len(t, all, 1)
		assert.Equal(t, stamp, all[0].Stamp, "sent at %v", sentAt)
	}
}

// TestAlternatePlacementsFindMissingWitnesses covers keys that live at a single host. GETs by an alternate
// placement must find another witness, unless no class could be joined or all alternates led to known hosts.
func TestAlternatePlacementsFindMissingWitnesses(t *testing.T) {
	m := newModule(t, testSettings(2, 0, nil))
	o := Object{ID: 7}
	count := func(c int) (n int) {
		for i := range 1000 {
			if k := m.Key(2+float64(i)/1000, o, c); k.Alternate > 0 {
				assert.Equal(t, c, k.Class)
				n++
			}
		}
		return n
	}
	m.RecordAnswer(1, answer(7, 0, 1, 5, 0, 1))
	m.RecordAnswer(1, answer(7, 1, 2, 6, 0, 1))
	assert.Zero(t, count(0)+count(1)+count(2), "no class could be joined")
	m.RecordAnswer(1, answer(7, 2, 3, 5, 0, 1))
	assert.InDelta(t, 1000*alternateShare, count(0), 60)
	assert.Zero(t, count(1))
	for alternate := 1; alternate <= maxAlternate; alternate++ { // every alternate leads to the same host
		assert.Equal(t, alternate, m.missingWitnessAlternate(&m.settings.Services[0], m.classesOf(m.find(o)), 0, m.tick(2)))
		a := answer(7, 0, 1, 5, 0, 1)
		a.Alternate = alternate
		m.RecordAnswer(2, a)
	}
	assert.Zero(t, count(0), "all alternates are exhausted")
	m.RecordAnswer(3, answer(7, 2, 9, 5, 0, 1))
	assert.Zero(t, count(2), "the class has enough witnesses")
	assert.NotEqual(t, PlacementKey(7, 0, 1), CacheKey(7, 1))
	assert.Equal(t, CacheKey(7, 2), PlacementKey(7, 2, 0))
}

// TestClassesJoinAndSplit follows an object through a join with its warm-up, a change of one class and a purge. It
// guards against classes that stay joined after their contents differ.
func TestClassesJoinAndSplit(t *testing.T) {
	m := newModule(t, testSettings(2, 0, nil))
	o := Object{ID: 7}
	for host := range uint32(2) {
		m.RecordAnswer(1, answer(7, 1, host, 5, 0, 1))
		assert.Equal(t, 1000, countKeys(m, 2, o, 2)[2], "too few witnesses")
		m.RecordAnswer(1, answer(7, 2, host, 5, 0, 1))
	}
	half := countKeys(m, 1+shortWarmUp/2, o, 2)
	assert.Greater(t, half[1], 350, "only a share goes by the new key during the warm-up")
	assert.Less(t, half[1], 550)
	assert.Greater(t, countKeys(m, 2+warmUp, o, 2)[1], 850)
	assert.Less(t, countKeys(m, 2+warmUp, o, 2)[1], 1000, "checks remain")
	m.SetDispatchers(100)
	assert.Greater(t, countKeys(m, 2+warmUp, o, 2)[1], 990, "100 dispatchers share the checks")
	m.SetDispatchers(1)
	for host := range uint32(2) {
		m.RecordAnswer(40, answer(7, 0, host, 5, 0, 1))
	}
	assert.Greater(t, countKeys(m, 80, o, 0)[1], 850, "the canonical class stays, although another was declared before it")
	assert.True(t, m.MayServe(80, 2, Key{Class: 1}, new(answer(7, 1, 9, 5, 0, 1))))
	assert.False(t, m.MayServe(80, 2, Key{Class: 1}, new(answer(7, 1, 9, 5, 0, 2))), "nothing is known about class 2 in that version")
	m.RecordAnswer(81, answer(7, 1, 3, 6, 0, 1))
	assert.Equal(t, 1000, countKeys(m, 110, o, 1)[1], "the class is split off at once")
	assert.Greater(t, countKeys(m, 110, o, 2)[0], 800, "the others stay joined; the class declared first is canonical")
	m.RecordPurge(0, 7, -1, 3, 3)
	assert.Equal(t, 1000, countKeys(m, 112, o, 2)[2], "evidence from before the purge is void")
	m.RecordAnswer(113, answer(7, 2, 1, 5, 2, 1))
	m.RecordAnswer(113, answer(7, 0, 1, 5, 2, 1))
	assert.Equal(t, 1000, countKeys(m, 140, o, 2)[2], "answers from before the purge are no evidence")
}

// TestDispatchersAgreeOnCanonicalClass checks that dispatchers that chose different canonical classes converge on
// the one declared first.
func TestDispatchersAgreeOnCanonicalClass(t *testing.T) {
	a, b := newModule(t, testSettings(1, 0, nil)), newModule(t, testSettings(1, 0, nil))
	for n := range 2 {
		a.RecordAnswer(1, answer(7, 2-n, 1, 5, 0, 1))
		b.RecordAnswer(1, answer(7, 1-n, 1, 5, 0, 1))
	}
	b.Learn(2, a.Facts(9))
	a.Learn(2, b.Facts(9))
	for _, m := range []*Module{a, b} {
		assert.Equal(t, 1000, countKeys(m, 60, Object{ID: 7}, 0)[0])
		assert.Greater(t, countKeys(m, 60, Object{ID: 7}, 2)[0], 850)
	}
	c := newModule(t, testSettings(1, 0, nil))
	c.RecordAnswer(1, answer(7, 2, 1, 5, 0, 1))
	c.RecordAnswer(1, answer(7, 1, 1, 5, 0, 1))
	assert.Greater(t, countKeys(c, 60, Object{ID: 7}, 2)[1], 850)
	c.RecordAnswer(61, answer(7, 0, 1, 5, 0, 1))
	assert.Greater(t, countKeys(c, 100, Object{ID: 7}, 2)[1], 850, "without a peer the canonical class stays")
	for _, f := range b.Facts(9) {
		t.Fatal("fact sent twice", f)
	}
	c.Learn(101, []Fact{{Object: Object{ID: 7}, Class: 0, Witness: "x/1", ContentHash: 5, Generation: Generation{0, 1}, Canonical: 1}})
	half := countKeys(c, 101+warmUp/2, Object{ID: 7}, 2)
	assert.Greater(t, half[0], 300, "only a share goes by the new key during the warm-up")
	assert.Greater(t, half[1], 300)
}

// TestEvictedObjectsKeepTheirPurges guards against wrong bytes after an eviction: a new entry must not use the
// evicted object's evidence, and answers older than a purge must not count although the object was evicted.
func TestEvictedObjectsKeepTheirPurges(t *testing.T) {
	s := testSettings(1, 0, nil)
	s.MaxObjects = 1
	m := newModule(t, s)
	both := func(object, purge uint64) {
		for c := range 2 {
			m.RecordAnswer(1, answer(object, c, 1, 5, purge, 1))
		}
	}
	mayServe := func(object, purge uint64) bool {
		return m.MayServe(60, 1, Key{}, new(answer(object, 0, 1, 5, purge, 1)))
	}
	m.RecordPurge(0, 0, -1, 1, 1)
	both(7, 1)
	require.True(t, mayServe(7, 1))
	require.Equal(t, 1, m.ObjectCount())
	m.RecordAnswer(2, answer(8, 0, 1, 5, 1, 1))
	assert.Equal(t, 1000, countKeys(m, 60, Object{ID: 7}, 1)[1], "an evicted object goes by its own keys")
	assert.Equal(t, 1000, countKeys(m, 60, Object{ID: 8}, 1)[1], "wrong bytes from the evidence of the evicted object")
	assert.False(t, mayServe(8, 1), "wrong bytes from the evidence of the evicted object")
	m.RecordPurge(0, 9, -1, 4, 4) // the object is not in the table
	both(9, 3)
	assert.False(t, mayServe(9, 3), "wrong bytes from answers older than a purge of an evicted object")
	both(9, 4)
	assert.True(t, mayServe(9, 4))
	for purge, of := range map[uint64]func(purge uint64){
		5: func(p uint64) { m.RecordPurge(0, 0, 0, p, p) }, 6: func(p uint64) { m.RecordPurge(0, 0, -1, p, p) }, 7: func(p uint64) { m.RecordPurge(-1, 0, -1, p, p) },
	} {
		of(purge)
		assert.False(t, mayServe(9, 4), "purge %d must void the evidence (5: group, 6: service, 7: everything)", purge)
	}
	two := newModule(t, testSettings(2, 0, nil))
	for host := range uint32(2) {
		two.RecordAnswer(1, answer(7, 1, host, 5, 0, 1))
	}
	lie := answer(7, 0, 9, 5, 0, 1)
	two.RecordAnswer(1, lie)
	assert.False(t, two.MayServe(2, 1, Key{}, &lie), "wrong bytes from a host that reports a wrong tag")
}

// TestSharedFloorsAndObjectParts covers objects that share a purge floor, as all do in a module of one object. The
// same time then means different purges, so facts about them are neither sent nor learned. The parts of an object
// share its purges and nothing else.
func TestSharedFloorsAndObjectParts(t *testing.T) {
	s := testSettings(1, 0, nil)
	s.MaxObjects = 1
	m := newModule(t, s)
	fact := []Fact{{Object: Object{ID: 7}, Class: 1, Witness: "x/1", ContentHash: 5, Generation: Generation{9, 1}}}
	for o := uint64(7); o < 40; o++ {
		m.RecordPurge(0, o, -1, o, o)
	}
	a := answer(7, 0, 1, 5, m.PurgeFloor(Object{ID: 7}), 1)
	m.RecordAnswer(1, a)
	assert.Empty(t, m.Facts(9), "peers cannot know which object this purge was for")
	a.Generation.Purge, a.KnownEvent = 50, 40
	m.Learn(2, fact)
	m.RecordPurge(0, 7, -1, 50, 50)
	m.RecordAnswer(3, a)
	assert.Empty(t, m.Facts(9), "the sending shard had not received the purge")
	a.KnownEvent = 50
	m.RecordAnswer(4, a)
	require.Len(t, m.Facts(9), 1)
	assert.True(t, m.IsUsefulFact(&Fact{Object: a.Object, ContentHash: 5, Generation: a.Generation}, true))
	assert.False(t, m.IsUsefulFact(&fact[0], false), "a fact from before a purge is not useful")
	parts := newModule(t, testSettings(1, 0, nil))
	for c := range 2 {
		a := answer(7, c, 1, 5, 0, 1)
		a.Object.Part = 40
		parts.RecordAnswer(1, a)
		assert.False(t, parts.MayServe(2, 1-c, Key{}, new(answer(7, c, 1, 5, 0, 1))))
		assert.Equal(t, c == 1, parts.MayServe(2, 1-c, Key{}, &a))
	}
	parts.RecordPurge(0, 7, -1, 9, 9)
	assert.Zero(t, countKeys(parts, 60, Object{ID: 7, Part: 40}, 1)[0], "a purge covers all parts")
}

// TestFlappingClassIsHeldApartLonger checks that each further split doubles the hold, that peers learn of splits,
// and that a split wins over older agreeing facts.
func TestFlappingClassIsHeldApartLonger(t *testing.T) {
	m := newModule(t, testSettings(1, 1000, nil))
	now, before := 1.0, 0.0
	for n := range uint64(5) {
		m.RecordAnswer(now, answer(7, 0, 1, 5, 0, 0))
		start := now
		for ; !m.MayServe(now, 1, Key{}, new(answer(7, 0, 1, 5, 0, 0))); now++ {
			m.RecordAnswer(now, answer(7, 1, 1, 5, 0, 0))
			require.Less(t, now, 3000.0)
		}
		if n > 1 {
			assert.InDelta(t, 2*before, now-start, 3)
		}
		before = now - start
		m.RecordAnswer(now, answer(7, 1, 1, 5, 0, 0))
		m.RecordAnswer(now, answer(7, 1, 1, 100+n, 0, 0))
		assert.False(t, m.MayServe(now, 1, Key{}, new(answer(7, 0, 1, 5, 0, 0))))
	}
	assert.NotEmpty(t, m.Notices())
	sender, receiver := newModule(t, testSettings(1, 0, nil)), newModule(t, testSettings(1, 0, nil))
	for c := range 2 {
		sender.RecordAnswer(1, answer(7, c, 1, 5, 0, 1))
	}
	agreements := sender.Facts(9)
	require.Len(t, agreements, 2)
	receiver.Learn(2, agreements)
	assert.True(t, receiver.MayServe(2, 1, Key{}, new(answer(7, 0, 1, 5, 0, 1))))
	sender.RecordAnswer(3, answer(7, 1, 2, 6, 0, 1))
	receiver.Learn(4, sender.Facts(9))
	receiver.Learn(4000, agreements)
	assert.False(t, receiver.MayServe(4001, 1, Key{}, new(answer(7, 0, 1, 5, 0, 1))), "a split wins over older agreeing facts")
}

// TestFactMergeOrder checks that the merge order is a total order and ranks facts by generation, split, split
// count and canonical class.
func TestFactMergeOrder(t *testing.T) {
	contract.Kind[[]byte]{
		Draw: func(rng *rand.Rand) []byte {
			if rng.IntN(16) == 0 {
				return [][]byte{nil, {1}, []byte("spoilt")}[rng.IntN(3)]
			}
			f := Fact{
				Object: Object{ID: 7, Part: 2, Group: 3}, Class: rng.IntN(2), Witness: fmt.Sprintf("d/%x", rng.IntN(2)), ContentHash: 1 + rng.Uint64N(2),
				Generation: Generation{rng.Uint64N(2), rng.Uint64N(2)}, Split: rng.IntN(2) == 0, SplitCount: rng.Uint32N(2), Canonical: uint8(rng.IntN(3)),
			}
			g, err := DecodeFact(EncodeFact(&f))
			require.NoError(t, err)
			require.Equal(t, f, g)
			return EncodeFact(&f)
		},
		Compare: FactMergeOrder,
		Same:    bytes.Equal,
	}.Hold(t)
	rank := func(g Generation, split bool, splitCount uint32, canonical uint8) []byte {
		return EncodeFact(&Fact{Witness: "d/1", ContentHash: 1, Generation: g, Split: split, SplitCount: splitCount, Canonical: canonical})
	}
	order := [][]byte{
		{9},
		rank(Generation{1, 1}, true, 9, 1), rank(Generation{2, 1}, false, 9, 0), rank(Generation{2, 1}, false, 9, 2), rank(Generation{2, 1}, false, 9, 1),
		rank(Generation{2, 1}, true, 1, 0), rank(Generation{2, 1}, true, 2, 0),
	}
	for n := range len(order) - 1 {
		assert.Negative(t, FactMergeOrder(order[n], order[n+1]), n)
	}
}

func FuzzDecodeFact(f *testing.F) {
	f.Add(EncodeFact(&Fact{Witness: "a/1", ContentHash: 1}))
	f.Fuzz(func(t *testing.T, b []byte) {
		if x, err := DecodeFact(b); err == nil {
			m := newModule(t, testSettings(1, 0, &Presumption{1, 1}))
			m.Learn(1, []Fact{x})
			assert.NotEmpty(t, FactKey(&x))
		}
	})
}

// TestNewNamesAllSettingsProblems checks that New reports every problem at once, and that a service without
// classes keeps the GETs' own keys.
func TestNewNamesAllSettingsProblems(t *testing.T) {
	_, err := New(Settings{Services: []Service{{Classes: []string{"a", "a"}, EvidenceTTL: math.NaN(), Presumption: &Presumption{}}}})
	for _, s := range []string{"named twice", "no proof", "0 witnesses", "fresh", "presumes after 0", "0 objects", "name"} {
		assert.ErrorContains(t, err, s)
	}
	m := newModule(t, Settings{Services: []Service{{}}})
	m.RecordAnswer(1, answer(1, 0, 1, 1, 1, 1))
	assert.Equal(t, Key{Class: -1, Own: true}, m.Key(1, Object{Service: 5}, -1))
	assert.Equal(t, uint64(9), CacheKey(9, 0))
}

func BenchmarkAnswered(b *testing.B) {
	m := newModule(b, testSettings(1, 0, nil))
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		m.RecordAnswer(float64(i)/1000, answer(uint64(i&7), i%3, 1, 5, 0, 1))
	}
}

func BenchmarkKey(b *testing.B) {
	for _, objects := range []int{1 << 10, 1 << 16, 1 << 20} {
		b.Run(fmt.Sprint(objects), func(b *testing.B) {
			m := newModule(b, Settings{Services: testSettings(1, 0, nil).Services, MaxObjects: 2 * objects, Seed: 1, Self: "one"})
			for o := range objects {
				for c := range 3 {
					m.RecordAnswer(1, answer(mix(uint64(o)), c, 1, 5, 0, 1))
				}
			}
			b.ReportAllocs()
			i, t := 0, 100.0
			for b.Loop() {
				i++
				t += 0.001
				m.Key(t, Object{ID: mix(mix(uint64(i)) & uint64(objects-1))}, i%3)
			}
			b.ReportMetric(float64(int(unsafe.Sizeof(entry{}))+m.stride*(int(unsafe.Sizeof(class{}))+m.extraWitnesses*int(unsafe.Sizeof(witness{})))+2+24*floorsPerObject), "B/object")
		})
	}
}
