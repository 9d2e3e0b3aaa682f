package goldentest

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
)

type named int

func (named) String() string { return "a name" }

type sample struct {
	hidden int
	First  named
	Second *sample
	Third  map[string][]byte
	Fourth []netip.Addr
	Fifth  any
	Sixth  float64
}

func TestDumpGoesByPlaceAndNotByName(t *testing.T) {
	value := sample{
		hidden: 9, First: 7, Third: map[string][]byte{"b": {1}, "a": []byte("x")},
		Fourth: []netip.Addr{netip.MustParseAddr("10.0.0.1")}, Sixth: 0.1,
	}
	assert.Equal(t, `.0. = 7
.1. = nil
.2. = map of 2
.2.[. = "a"]. = "x"
.2.[. = "b"]. = "\x01"
.3. = list of 1
.3.[0]. = "10.0.0.1"
.4. = nil
.5. = 0.1
`, Dump(value))
	value.First, value.Sixth = 8, 0.2
	assert.NotEqual(t, Dump(sample{First: 7}), Dump(value))
}

func TestTheFirstDifferenceIsNamed(t *testing.T) {
	assert.Equal(t, "line 2:\nwant b\ngot  c", firstDifference("a\nb", "a\nc"))
	assert.Equal(t, "line 2:\nwant (end of file)\ngot  b", firstDifference("a", "a\nb"))
}

func TestFillGivesEachFieldAValueOfItsOwn(t *testing.T) {
	var value struct {
		A, B  uint8
		C     []string
		D     map[string]float64
		E     *struct{ F bool }
		Again *sample
	}
	Fill(&value)
	assert.Equal(t, []uint8{1, 2}, []uint8{value.A, value.B})
	assert.Equal(t, []string{"s3", "s4"}, value.C)
	assert.Equal(t, map[string]float64{"s5": 6.5}, value.D)
	assert.True(t, value.E.F)
	assert.NotNil(t, value.Again.Second, "it ends by its depth")
}
