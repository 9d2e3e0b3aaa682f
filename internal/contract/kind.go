package contract

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
)

// Kind is a law of merging, over values that its test draws.
type Kind[V any] struct {
	Name string
	// Draw draws a value that may be written; it should often draw such as are near to each other.
	Draw func(chance *rand.Rand) V
	// Compare orders two values: the higher one stands.
	Compare func(a, b V) int
	// Merge gives what stands of two; nil for the higher one.
	Merge func(a, b V) V
	// Same tells whether two are one; nil where Compare does.
	Same func(a, b V) bool
	// Bytes and Check are for what comes from outside; nil where nothing does. Check must take all that is drawn.
	Bytes func(v V) []byte
	Check func(b []byte) error
}

const (
	drawnValues = 24 // all triples of them are tried
	garbage     = 3000
)

// Hold runs the suite.
func (k Kind[V]) Hold(t testing.TB) {
	t.Helper()
	defer func() {
		if what := recover(); what != nil {
			t.Errorf("panic: %v", what)
		}
	}()
	chance := rand.New(rand.NewPCG(1, 1))
	all := make([]V, drawnValues)
	for i := range all {
		all[i] = k.Draw(chance)
	}
	merge, same := k.Merge, k.Same
	if merge == nil {
		merge = func(a, b V) V {
			if k.Compare(a, b) < 0 {
				return b
			}
			return a
		}
	}
	if same == nil {
		same = func(a, b V) bool { return k.Compare(a, b) == 0 }
	}
	fail := func(law string, of ...V) { t.Fatalf("not %s: %s", law, fmt.Sprintf("%v", of)) }
	sign := func(a, b V) int { return cmp.Compare(k.Compare(a, b), 0) }
	steady := func(a, b V) bool {
		first, second := sign(a, b), sign(a, b)
		return first == second
	}
	for _, a := range all {
		switch {
		case k.Compare(a, a) != 0:
			fail("equal to itself", a)
		case !same(merge(a, a), a):
			fail("idempotent", a)
		}
		for _, b := range all {
			ab := merge(a, b)
			switch {
			case sign(a, b) != -sign(b, a):
				fail("an order", a, b)
			case !steady(a, b):
				fail("the same each time", a, b)
			case !same(ab, merge(b, a)):
				fail("commutative", a, b)
			case !same(merge(ab, b), ab), !same(merge(ab, a), ab):
				fail("idempotent", a, b)
			case k.Compare(ab, a) < 0, k.Compare(ab, b) < 0:
				fail("at least each of the two", a, b)
			}
			for _, c := range all {
				switch {
				case sign(a, b) <= 0 && sign(b, c) <= 0 && sign(a, c) > 0:
					fail("transitive", a, b, c)
				case !same(merge(ab, c), merge(a, merge(b, c))):
					fail("associative", a, b, c)
				}
			}
		}
	}
	if k.Check != nil {
		k.checks(t, all, chance)
	}
}

// checks: what is drawn is taken, and rubbish is an error or a value, never a panic; some of it is an error.
func (k *Kind[V]) checks(t testing.TB, all []V, chance *rand.Rand) {
	for _, v := range all {
		if err := k.Check(k.Bytes(v)); err != nil {
			t.Fatalf("what may be written is refused: %v", err)
		}
	}
	refused := 0
	for i := range garbage {
		b := make([]byte, chance.IntN(80))
		for j := range b {
			b[j] = byte(chance.Uint32())
		}
		if i%2 == 0 { // nearly right
			b = append([]byte(nil), k.Bytes(all[i%len(all)])...)
			if len(b) > 0 {
				b[chance.IntN(len(b))] ^= 1 << chance.IntN(8)
				b = b[:len(b)-chance.IntN(2)*chance.IntN(len(b))]
			}
		}
		if k.Check(b) != nil {
			refused++
		}
	}
	if refused == 0 {
		t.Fatal("nothing is refused")
	}
}
