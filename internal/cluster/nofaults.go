//go:build !faults

package cluster

import "elderwall/core/cluster/replication"

var faultKinds []replication.Kind

func driven(t float64) float64 { return t }

func awaitSync() {}

func stopHere() {}
