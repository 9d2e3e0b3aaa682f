//go:build faults

package cluster

import (
	"bytes"
	"os"
	"strconv"
	"syscall"
	"time"

	"elderwall/core/cluster/replication"
)

// Faults that no signal and no relay brings about, in a program that is built with the tag "faults" for tests alone: a clock that runs fast or
// slow, a disk whose syncs wait while a file says for how long, and a stop between two steps.
var (
	faultStop     = os.Getenv("ELDERWALL_FAULT_STOP")
	faultClock, _ = strconv.ParseFloat(os.Getenv("ELDERWALL_FAULT_CLOCK"), 64)
	faultSync     = os.Getenv("ELDERWALL_FAULT_SYNC")
)

// faultKinds has a kind for tests whose acknowledged records are synced: the higher bytes stand.
var faultKinds = []replication.Kind{{ID: 250, Name: "test", MaxRecords: 50_000, MaxBytes: 32 << 20, MaxRecordBytes: 4096, Sync: true, MergeOrder: bytes.Compare}}

func init() {
	if os.Getenv("ELDERWALL_FAULT_OLDER") != "" { // a version that doesn't know it
		faultKinds = nil
	}
}

func driven(t float64) float64 {
	if faultClock > 0 {
		return t * faultClock
	}
	return t
}

// stopHere stops the process, as SIGSTOP does, where a file is there; it goes with it, so that this happens once.
func stopHere() {
	if faultStop != "" && os.Remove(faultStop) == nil {
		_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
		time.Sleep(100 * time.Millisecond) // the signal may come to another thread first
	}
}

func awaitSync() {
	if text, err := os.ReadFile(faultSync); err == nil {
		if s, err := strconv.ParseFloat(string(text), 64); err == nil {
			time.Sleep(time.Duration(s * float64(time.Second)))
		}
	}
}
