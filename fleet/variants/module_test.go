package variants

import (
	"fmt"
	"math"
	"testing"
	"unsafe"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func settings(witnesses int, fresh float64, p *Presumed) Settings {
	return Settings{Services: []Service{{Classes: []string{"tv", "phone", "car"}, Proof: ByTag, Witnesses: witnesses, Repeats: true, Presume: p, Fresh: fresh},
		{}}, Objects: 64, Seed: 1, Self: "one"}
}

func module(t testing.TB, s Settings) *Module {
	m, err := New(s)
	require.NoError(t, err)
	return m
}

func answer(object uint64, c int, host uint32, proof, purge, version uint64) Answer {
	return Answer{Object: Object{Object: object}, Class: c, Host: host, Proof: proof, Generation: Generation{purge, version}}
}

// keyed counts by which class GETs of a class went in a second.
func keyed(m *Module, now float64, o Object, c int) (n [MaxClasses]int) {
	for i := range 1000 {
		n[m.Key(now+float64(i)/1000, o, c).Class]++
	}
	return n
}

func TestJoinsStandsAndSplits(t *testing.T) {
	m := module(t, settings(2, 0, nil))
	o := Object{Object: 7}
	for host := range uint32(2) {
		m.Answered(1, answer(7, 1, host, 5, 0, 1))
		assert.Equal(t, 1000, keyed(m, 2, o, 2)[2], "too few witnesses")
		m.Answered(1, answer(7, 2, host, 5, 0, 1))
	}
	half := keyed(m, 1+warm/2, o, 2)
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
	m.Purged(111, 0, 7, -1, 3)
	assert.Equal(t, 1000, keyed(m, 112, o, 2)[2], "evidence of before the purge is void")
	m.Answered(113, answer(7, 2, 1, 5, 2, 1))
	m.Answered(113, answer(7, 0, 1, 5, 2, 1))
	assert.Equal(t, 1000, keyed(m, 140, o, 2)[2], "late answers are no evidence")
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

func BenchmarkKey(b *testing.B) {
	for _, objects := range []int{1 << 10, 1 << 16} {
		b.Run(fmt.Sprint(objects), func(b *testing.B) {
			m := module(b, Settings{Services: settings(1, 0, nil).Services, Objects: 1 << 16, Seed: 1, Self: "one"})
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
				m.Key(t, Object{Object: mix(uint64(i & (objects - 1)))}, i%3)
			}
			b.ReportMetric(float64(int(unsafe.Sizeof(entry{}))+m.stride*int(unsafe.Sizeof(class{}))+8+8*floorsEach), "B/object")
		})
	}
}
