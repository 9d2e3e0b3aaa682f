package cluster

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"elderwall/internal/standin/need"
)

// breakDisk has writes to an open file fail with ENOSPC, and its syncs with EINVAL, until it is mended.
func breakDisk(t *testing.T, f *file) (mend func()) {
	fd := int(f.under.Fd())
	saved := need.Of(unix.Dup(fd))(t)
	full := need.Of(os.OpenFile("/dev/full", os.O_RDWR, 0))(t)
	require.NoError(t, unix.Dup3(int(full.Fd()), fd, 0))
	require.NoError(t, full.Close())
	return func() {
		require.NoError(t, unix.Dup3(saved, fd, 0))
		require.NoError(t, unix.Close(saved))
	}
}

func inode(t *testing.T, path string) uint64 {
	var s unix.Stat_t
	require.NoError(t, unix.Stat(path, &s))
	return s.Ino
}

// After a write or sync that failed, the pages of a file are not trusted: it is written anew before anything more is acknowledged, and has all that was
// acknowledged before, by the same opening and by a later one.
func TestAFileIsWrittenAnewAfterItsDiskFailed(t *testing.T) {
	value := func(s string) map[string][]byte { return map[string][]byte{s: []byte(s)} }
	for name, later := range map[string]bool{"by the same opening": false, "by a later one": true} {
		t.Run("records, "+name, func(t *testing.T) {
			folder := t.TempDir()
			path := filepath.Join(folder, recordsFile)
			r := need.Of(openRecords(folder))(t)
			require.NoError(t, r.Save(value("before"), true))
			before := inode(t, path)
			mend := breakDisk(t, r.file)
			require.Error(t, r.Save(value("meanwhile"), true))
			mend()
			if later {
				require.NoError(t, r.db.Close())
				r = need.Of(openRecords(folder))(t)
			}
			require.NoError(t, r.Save(value("after"), true))
			assert.NotEqual(t, before, inode(t, path), "written anew")
			require.NoError(t, r.Close())
			r = need.Of(openRecords(folder))(t)
			all := need.Of(r.Load())(t)
			assert.Equal(t, []string{"before", "after"}, []string{string(all["before"]), string(all["after"])})
			require.NoError(t, r.Close())
			_, is := doubted.Load(path)
			assert.False(t, is, "it is trusted again")
		})
	}
	t.Run("voter's log", func(t *testing.T) {
		folder := t.TempDir()
		d := need.Of(openDisk(folder))(t)
		hard := &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(2), Commit: proto.Uint64(0)}
		require.NoError(t, d.Save(hard, nil, nil))
		before := inode(t, d.path)
		mend := breakDisk(t, d.file)
		require.Error(t, d.Save(&pb.HardState{Term: proto.Uint64(2), Vote: proto.Uint64(3), Commit: proto.Uint64(0)}, nil, nil))
		mend()
		d.close()
		d = need.Of(openDisk(folder))(t) // as the voter does
		assert.NotEqual(t, before, inode(t, d.path), "written anew")
		assert.GreaterOrEqual(t, d.kept.Hard.GetTerm(), uint64(1))
		d.close()
	})
}
