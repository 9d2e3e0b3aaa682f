//go:build !faults

package fleet

import "elderwall/fleet/replica"

var faultKinds []replica.Kind

func driven(t float64) float64 { return t }

func awaitSync() {}

func stopHere() {}
