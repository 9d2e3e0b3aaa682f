package main

import (
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin/need"
)

func TestStateAndGroupOfAProcess(t *testing.T) {
	for text, want := range map[string]struct {
		state string
		group int
	}{
		"12 (sh) S 1 7 7 0":            {"S", 7},
		"12 (a b) c) Z 1 7 7 0":        {"Z", 7},
		"12 (x) Z 1":                   {"", 0},
		"":                             {"", 0},
		"12 (sh) S one seven 7 0 -1 4": {"", 0},
	} {
		state, group := parseStat([]byte(text))
		assert.Equal(t, want.state, state, text)
		assert.Equal(t, want.group, group, text)
	}
}

// Guards against a group that counts as running for ever, as its last process has ended and nobody reaps it.
func TestAGroupOfEndedProcessesIsEmpty(t *testing.T) {
	run := exec.Command("sleep", "60")
	run.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	require.NoError(t, run.Start())
	id := run.Process.Pid
	assert.True(t, groupExists(id))
	assert.False(t, onlyZombies(id))
	signalGroup(id, syscall.SIGKILL)
	need.Soon(t, func() bool { return onlyZombies(id) })
	assert.True(t, groupExists(id), "it is not reaped")
	group := &processGroup{id: id}
	assert.True(t, group.empty())
	assert.Error(t, run.Wait())
	assert.False(t, groupExists(id))
	assert.False(t, onlyZombies(id), "none is seen, and none was seen to have ended")
}

// Guards against a guard that outlives its input, or acts on a group of none.
func TestAGuardKillsWhatItWasToldLast(t *testing.T) {
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	orders := make(chan guardOrder, 4)
	go readOrders(reader, orders)
	g := &guard{input: writer}
	require.NoError(t, g.tell(guardOrder{group: 7, until: 1.5}))
	require.NoError(t, g.tell(guardOrder{group: 7, until: 1.5}), "nothing new")
	require.NoError(t, g.tell(guardOrder{}))
	require.NoError(t, writer.Close())
	var got []guardOrder
	for order := range orders {
		got = append(got, order)
	}
	assert.Equal(t, []guardOrder{{7, 1.5}, {}}, got)
	began := time.Now()
	assert.NoError(t, guardOrder{}.killUntilEmpty())
	assert.Less(t, time.Since(began), guardKills)
}
