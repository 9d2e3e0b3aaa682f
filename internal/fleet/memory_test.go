package fleet

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/fleet/replica"
)

// What a machine wants saved comes back as one upon the other; a spoilt file is put aside and told.
func TestAMemoryIsSavedAndOpened(t *testing.T) {
	folder := t.TempDir()
	s, saved, err := openStore(folder)
	require.NoError(t, err)
	assert.Equal(t, &replica.Saved{}, saved)
	record := func(key, value string, number uint64) replica.Carried {
		return replica.Carried{Record: replica.Record{Kind: 3, Key: key, Value: []byte(value), Dot: replica.Dot{Writer: "n0", Era: 1, Number: number}}}
	}
	require.NoError(t, s.save(&replica.Save{Era: 4, Sync: true, Records: []replica.Carried{record("a", "one", 1), record("\x80\xff", "none", 2), record("c", "", 3)},
		Vector: []replica.Entry{{Writer: "n0", Era: 1, Number: 3}, {Writer: "n0", Era: 2, Number: 1}}}))
	require.NoError(t, s.save(&replica.Save{Records: []replica.Carried{record("a", "two", 4)}, Drops: []replica.Name{{Kind: 3, Key: "c"}},
		Vector: []replica.Entry{{Writer: "n0", Era: 2, Number: 2, Floor: true}}, Folded: []replica.Entry{{Writer: "n0", Era: 1}}}))
	_, _, err = openStore(folder)
	assert.Error(t, err, "another has it")
	require.NoError(t, s.close())
	s, saved, err = openStore(folder)
	require.NoError(t, err)
	assert.Less(t, saved.Away, 60.0)
	assert.Equal(t, &replica.Saved{Era: 4, Away: saved.Away, Vector: replica.Vector{{Writer: "n0", Era: 2, Number: 2, Floor: true}},
		Records: []replica.Carried{record("a", "two", 4), record("\x80\xff", "none", 2)}}, saved)
	require.NoError(t, s.close())
	path := filepath.Join(folder, recordsFile)
	require.NoError(t, os.Truncate(path, 9000))
	s, saved, err = openStore(folder)
	require.NoError(t, err)
	assert.ErrorIs(t, s.spoilt, errTorn)
	assert.Equal(t, &replica.Saved{}, saved)
	require.NoError(t, s.close())
	there, err := filepath.Glob(path + ".old-*")
	require.NoError(t, err)
	assert.Len(t, there, 1)
}
