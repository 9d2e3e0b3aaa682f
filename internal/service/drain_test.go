package service

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"elderwall/control"
	"elderwall/internal/standin/need"
)

// A host that is silent for longer than the platform waits with SIGKILL leaves no request unanswered: what is open just before that is
// refused, and the process ends by itself.
func TestWhatIsOpenIsAnsweredBeforeTheKill(t *testing.T) {
	t.Parallel()
	_, asked, s1 := host(t, 1, silent)
	d := start(t, 1000, s1)
	resting, waiting := d.Dial(), d.Dial()
	before := need.Sent(t, waiting)
	<-asked
	told := time.Now()
	d.Signals <- syscall.SIGTERM
	for d.Ready() {
	}
	during := need.Sent(t, waiting, "rid", "9b1f03aa5c7e2d42")
	for _, seq := range []int32{before, during} {
		answer := need.Of(waiting.Read())(t)
		assert.Equal(t, []any{seq, "refused"}, []any{answer.Seq, answer.Kind})
	}
	d.Over()
	killed := longestWait + stillComing
	assert.Greater(t, time.Since(told), killed-2*flushIn, "they had their time")
	assert.Less(t, time.Since(told), killed)
	_ = resting.Conn.Close()
}

// What is open is given up after clients have stopped coming, however short their time is, and before the platform ends the process.
func TestWhenADrainGivesUp(t *testing.T) {
	for longest, want := range map[float64]time.Duration{
		0.06: stillComing, 0.4: stillComing, 1: stillComing + time.Second - flushIn, 3: stillComing + longestWait - flushIn, 60: stillComing + longestWait - flushIn} {
		c := &Config{}
		c.settings.Settings.Services = []control.DeliveryService{{ViewerTimeout: longest}}
		assert.Equal(t, want, c.endsIn(), longest)
	}
}
