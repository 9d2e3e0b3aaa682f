package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

const largeKind = 3 // a kind of caches besides those of kind 0

// smallThenLarge makes a number of small caches, and all others several times as large.
func smallThenLarge(small int, kind int) func(cache int) (int, float64) {
	return func(cache int) (int, float64) {
		if cache < small {
			return 0, 0.6
		}
		return kind, 2
	}
}

// Guards against a small host in slow start being taken for as large as the mean of the hosts that are warm, where
// weights are unknown and these are saturated.
func TestSmallHostIsNotTakenForALargeOne(t *testing.T) {
	for _, scenario := range []slowStartScenario{
		{name: "another kind, all of its own in slow start", slowStartCaches: 2, size: smallThenLarge(2, largeKind)},
		{name: "another kind, one of its own warm", slowStartCaches: 2, size: smallThenLarge(3, largeKind)},
		{name: "the same kind", slowStartCaches: 2, size: smallThenLarge(2, 0)},
		{name: "processes restart", slowStartCaches: 2, size: smallThenLarge(2, largeKind), restarts: true},
	} {
		scenario.load = func(float64) float64 { return 3 }
		for _, scenario.processes = range []int{1, 3, 30} {
			for _, scenario.initialRequests = range []float64{5, 30} {
				t.Run(fmt.Sprint(scenario.name, ", ", scenario.processes, ", N ", scenario.initialRequests), func(t *testing.T) {
					overloaded, worst := runSlowStart(scenario, 1).overloads()
					t.Logf("%.2f of what the rule allows, in the worst window", worst)
					assert.Zero(t, overloaded, "hosts overloaded")
				})
			}
		}
	}
}
