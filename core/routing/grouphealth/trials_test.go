package grouphealth

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestTrialsAreRationed(t *testing.T) {
	tracker, members := newRacks(10)
	spendTrials := func() (n int) {
		for members[0].ProbeAllowed() {
			members[0].SpendProbe()
			n++
		}
		return n
	}
	tracker.CountRequest(1)
	spendTrials()
	for i := range 1000 {
		tracker.CountRequest(1 + float64(i)*1e-6)
		members[0].ProbeAllowed()
	}
	assert.Equal(t, int(maxSavedTrials), spendTrials(), "no more than that are saved up")
	tracker.CountRequest(1e6)
	assert.Equal(t, int(maxSavedTrials), spendTrials(), "no more by a jump of time")
	tracker.CountRequest(5)
	assert.Zero(t, spendTrials(), "time that goes back allows none")
	loseAll(6, members[:minLostHosts])
	assert.True(t, members[10].Suspected())
	members[10].ObserveSuccess(7)
	assert.Equal(t, int(trialsPerAnswer), spendTrials(), "a trial that is answered allows more")
	members[10].ObserveSuccess(7.1)
	assert.Zero(t, spendTrials(), "it allows them once")
}
