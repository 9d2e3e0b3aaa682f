package service

import (
	"time"

	"github.com/rs/zerolog"
)

const (
	stillComing  = 700 * time.Millisecond // after SIGTERM; the platform's: clients still come for so long, and SIGKILL comes that much after the longest viewer timeout
	longestWait  = 3 * time.Second        // of a viewer timeout, in the time until SIGKILL: the platform waits for no longer one
	flushIn      = 400 * time.Millisecond // before SIGKILL, in which what was given up last is answered and written
	closingIn    = 200 * time.Millisecond // before SIGKILL, in which connections are closed in order: 150 ms at most for clients that do not close theirs
	refusingFor  = 50 * time.Millisecond  // at least, so that what was given up is written before connections are closed
	lookForQuiet = 10 * time.Millisecond  // how often a drain looks whether all is answered
)

// shutdownPlan is when after SIGTERM the steps of a shutdown come.
type shutdownPlan struct {
	refuseAt time.Duration // what comes from then on is refused, and no connection is accepted
	giveUpAt time.Duration // what is open is answered, whatever its host does
	endAt    time.Duration // connections are closed, whether or not clients go on sending
}

// planShutdown plans backwards from SIGKILL, which comes as early as the longest viewer timeout and stillComing after SIGTERM. Guards against requests
// that wait for silent hosts until the process is killed, and against clients that never pause, on whose quiet the end would wait.
func planShutdown(longest time.Duration) shutdownPlan {
	killed := min(longest, longestWait) + stillComing
	end := killed - closingIn
	refuse := min(stillComing, end-refusingFor)
	return shutdownPlan{refuseAt: refuse, giveUpAt: max(refuse, killed-flushIn), endAt: end}
}

// quieting is what a drain needs of the server.
type quieting interface {
	Close()
	Quiet() bool
}

// drain goes on for as long as clients may still come, and then until all is answered and read, or until connections must be closed. Deaf has no more
// connections accepted; it may take as long as what the kernel holds is worth, and is waited for no longer than the rest.
func drain(log zerolog.Logger, unready func(), s quieting, deaf func(), plan shutdownPlan) {
	end := time.Now().Add(plan.endAt)
	log.Info().Msg("draining")
	unready()
	time.Sleep(plan.refuseAt)
	accepted := make(chan struct{})
	go func() { defer close(accepted); deaf() }()
	select {
	case <-accepted:
	case <-time.After(time.Until(end)):
	}
	s.Close()
	for !s.Quiet() && time.Now().Before(end) {
		time.Sleep(lookForQuiet)
	}
	log.Info().Bool("quiet", s.Quiet()).Msg("drained")
}
