package grouphealth

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Probes must stay within the budget whatever the number of requests and however time moves, because each
// probe that is lost costs a request's time.
func TestProbesStayWithinBudget(t *testing.T) {
	tracker, members := newRacks(10)
	spendProbes := func() (n int) {
		for members[0].ProbeAllowed() {
			members[0].SpendProbe()
			n++
		}
		return n
	}
	tracker.CountRequest(1)
	spendProbes()
	for i := range 1000 {
		tracker.CountRequest(1 + float64(i)*1e-6)
		members[0].ProbeAllowed()
	}
	assert.Equal(t, int(maxSavedProbes), spendProbes(), "no more than that are saved up")
	tracker.CountRequest(1e6)
	assert.Equal(t, int(maxSavedProbes), spendProbes(), "a jump of time saves up no more")
	tracker.CountRequest(5)
	assert.Zero(t, spendProbes(), "time that goes back allows no probe")
	loseAll(6, members[:minLostHosts])
	assert.True(t, members[10].Suspected())
	members[10].ObserveSuccess(7)
	assert.Equal(t, int(probesPerSuccess), spendProbes(), "a successful probe allows more")
	members[10].ObserveSuccess(7.1)
	assert.Zero(t, spendProbes(), "a host that is no longer suspected allows none")
}
