package service

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"elderwall/internal/standin"
	"elderwall/internal/standin/need"
)

// limitEnv makes this test program a dispatcher with a limit on descriptors, which the test's own process can't have.
const limitEnv = "ELDERWALL_TEST_DESCRIPTORS"

func init() {
	limit := os.Getenv(limitEnv)
	if limit == "" {
		return
	}
	n, err := strconv.ParseUint(limit, 10, 64)
	if err == nil {
		err = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: n, Max: n})
	}
	if err == nil {
		err = Serve(nil)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// TestAThousandHosts is a dispatcher with far fewer descriptors than hosts: no dial fails, no host is blamed, and every GET has its one answer.
func TestAThousandHosts(t *testing.T) {
	farm := need.Of(standin.StartFarm(standin.FarmOptions{Caches: 1000, Parents: 2, Bytes: 100, Holds: 1000}))(t)
	t.Cleanup(farm.Close)
	for _, descriptors := range []int{256, 1024} {
		t.Run(fmt.Sprint(descriptors), func(t *testing.T) {
			listen, file := standin.Free(), filepath.Join(t.TempDir(), "config.json")
			text := standin.Platform(listen, farm.Changes.Address, "", 20000, 1, 64, descriptors)
			require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
			child := exec.Command(os.Args[0])
			child.Env = append(os.Environ(), "PROXY_CONFIG="+file, fmt.Sprint(limitEnv, "=", descriptors))
			var log bytes.Buffer
			child.Stderr = &log
			require.NoError(t, child.Start())
			t.Cleanup(func() { _ = child.Process.Kill() })
			require.Eventually(t, func() bool { return need.Ready(listen) }, 10*time.Second, 10*time.Millisecond)
			words := ask(t, listen, 8, 8, 1500*time.Millisecond)
			require.NoError(t, child.Process.Signal(syscall.SIGTERM))
			require.NoError(t, child.Wait())
			counts := countersOf(t, log.String())
			t.Log(words, counts)
			assert.Greater(t, words["served"], 500)
			assert.Zero(t, counts["Unreached"]+counts["PartlyWritten"]+counts["Unanswered"])
			assert.Equal(t, counts["GETs"], counts["Returned"]+counts["Shed"]+counts["Errored"])
			assert.Less(t, words["refused"]+words["failed"], words["served"]/10, "connections begun are bounded")
			assert.NotContains(t, log.String(), "left: it fails")
			assert.Less(t, strings.Count(log.String(), "\n"), 40, "a list of many hosts is one line")
		})
	}
}

// ask sends GETs over some connections, so many at a time on each, for some time, and counts the answers by their word.
func ask(t *testing.T, address string, connections, under int, span time.Duration) map[string]int {
	var mu sync.Mutex
	words := map[string]int{}
	var all sync.WaitGroup
	until := time.Now().Add(span)
	for k := range connections {
		c := need.Of(standin.Dial(address))(t)
		all.Go(func() {
			defer func() { _ = c.Conn.Close() }()
			send := func(i int) bool {
				id := k<<32 | i
				_, err := c.Process(standin.Fields("rid", fmt.Sprintf("%016x", id), "obj", fmt.Sprintf("%016x", id*7919), "nth", "0"), "")
				return assert.NoError(t, err)
			}
			i := 0
			for ; i < under; i++ {
				if !send(i) {
					return
				}
			}
			for open := under; open > 0; {
				r, err := c.Read()
				if !assert.NoError(t, err) {
					return
				}
				mu.Lock()
				words[r.Kind]++
				mu.Unlock()
				if open--; time.Now().Before(until) && send(i) {
					i++
					open++
				}
			}
		})
	}
	all.Wait()
	return words
}

// countersOf is the last line of counters of a log.
func countersOf(t *testing.T, log string) map[string]float64 {
	counts := map[string]float64{}
	for line := range strings.Lines(log) {
		var one map[string]any
		if json.Unmarshal([]byte(line), &one) != nil || one["message"] != "counters" {
			continue
		}
		for name, v := range one {
			if n, ok := v.(float64); ok {
				counts[name] = n
			}
		}
	}
	require.NotEmpty(t, counts)
	return counts
}
