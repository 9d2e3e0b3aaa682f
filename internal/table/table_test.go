package table_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/table"
)

func TestColumnsAreAligned(t *testing.T) {
	for name, tt := range map[string]struct {
		flags uint
		end   string // of each row: cells are aligned to the right only where a tab ends them
		want  string
	}{
		"left":  {0, "", "name    n\nlonger  10\n"},
		"right": {table.AlignRight, "\t", "    name   n\n  longer  10\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			w := table.New(&out, 2, tt.flags)
			w.Println("name\tn" + tt.end)
			w.Printf("%s\t%d%s\n", "longer", 10, tt.end)
			require.NoError(t, w.Flush())
			assert.Equal(t, tt.want, out.String())
		})
	}
}

var errFull = errors.New("the output is full")

// failing is an output whose first write fails, and which counts the writes.
type failing struct{ writes int }

func (f *failing) Write(b []byte) (int, error) {
	f.writes++
	if f.writes == 1 {
		return 0, errFull
	}
	return len(b), nil
}

func TestTheFirstErrorIsKept(t *testing.T) {
	out := &failing{}
	w := table.New(out, 1, 0)
	w.Println("a row of one cell is written at once")
	w.Println("another")
	w.Printf("%s\n", "one more")
	require.ErrorIs(t, w.Flush(), errFull)
	assert.Equal(t, 1, out.writes, "nothing is written after an error")
	assert.ErrorIs(t, w.Flush(), errFull)
}
