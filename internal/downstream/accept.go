package downstream

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"elderwall/internal/clock"
	"elderwall/internal/syserr"
)

// A drain accepts what the kernel holds for no longer than that: enough for a full backlog, and short beside what a drain waits for in any case. Who
// connects in numbers meanwhile does not hold it up.
const backlogIn = 500 * time.Millisecond

// stoppable is a listener whose accept can be woken, and whose socket can be asked whether connections wait.
type stoppable interface {
	net.Listener
	syscall.Conn
	SetDeadline(time.Time) error
}

// listens books the listener that is served.
func (s *Server) listens(l net.Listener) (accepted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener, s.accepted = l, make(chan struct{})
	return s.accepted
}

// StopAccepting accepts the connections that the kernel holds already and closes the listener, and returns when that is done. Guards against an accept
// loop that is behind: the kernel resets what is not accepted by the close, with the calls on it.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	l, accepted := s.listener, s.accepted
	s.mu.Unlock()
	if l == nil {
		return
	}
	s.stopping.Store(int64(clock.InstantNow()))
	if at, ok := l.(stoppable); !ok || at.SetDeadline(time.Now()) != nil {
		_ = l.Close()
	}
	select {
	case <-accepted:
	case <-time.After(backlogIn):
		_ = l.Close()
	}
}

// accepts tells whether more is to be accepted. Once the server stops, that is for as long as the kernel holds connections; then the listener is closed
// with no wait between.
func (s *Server) accepts(l net.Listener) bool {
	since := clock.Instant(s.stopping.Load())
	if since.IsZero() {
		return true
	}
	at, ok := l.(stoppable)
	if !ok || since.Since() > backlogIn || !waiting(at) {
		_ = l.Close()
		return false
	}
	_ = at.SetDeadline(time.Now().Add(acceptAgain)) // the connection that waits may be gone when it is accepted
	return true
}

// waiting tells whether the kernel holds connections that are not accepted yet.
func waiting(l syscall.Conn) (some bool) {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(descriptor uintptr) { some = polled(descriptor, unix.POLLIN) != 0 })
	return some
}

// makeRoom ends a connection after an accept that failed for want of descriptors or memory: one that waits for its client to close, else the one that
// is needed least is closed. Guards against idle clients that hold all descriptors: new ones would be kept out for as long as they stay. Each failure
// ends one at most. Where none can be ended now, the next one that has nothing open any more gives way: an answer may just be being written.
func (s *Server) makeRoom(err error) {
	if !syserr.Lacking(err) || s.cutShort() {
		return
	}
	s.lacksRoom.Store(true)
	s.lookForRoom()
}

// lookForRoom has a connection give way if one is still wanted to.
func (s *Server) lookForRoom() {
	if !s.lacksRoom.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lacksRoom.Load() && s.giveWay() {
		s.lacksRoom.Store(false)
		s.Counts.GaveWay.Add(1)
	}
}
