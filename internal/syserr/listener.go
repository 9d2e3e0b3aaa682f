package syserr

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	acceptAgain = 50 * time.Millisecond // after an accept that failed for want of something that takes time to free
	failsAtOnce = 64                    // accepts in a row that may fail for their own connections with no wait
)

// Listener accepts on after errors that accept(2) names as passing. Guards against servers that end with the first accept that fails: grpc's goes on
// after some of those errors alone.
type Listener struct{ net.Listener }

// Accept gives the next connection; an error means that the listener is closed, or that a deadline of its own has passed.
func (l Listener) Accept() (net.Conn, error) {
	for failed := 0; ; {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if failed++; OfPeer(err) && failed < failsAtOnce {
			continue
		}
		time.Sleep(acceptAgain)
	}
}
