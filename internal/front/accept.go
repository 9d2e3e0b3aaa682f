package front

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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
	s.stopping.Store(time.Now().UnixNano())
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
	since := s.stopping.Load()
	if since == 0 {
		return true
	}
	at, ok := l.(stoppable)
	if !ok || time.Since(time.Unix(0, since)) > backlogIn || !waiting(at) {
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
	_ = raw.Control(func(descriptor uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}, 0)
		some = n > 0 && err == nil
	})
	return some
}

// lacks tells whether an accept failed for want of something that the end of another connection frees.
func lacks(err error) bool {
	return slices.ContainsFunc([]error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM},
		func(e error) bool { return errors.Is(err, e) })
}

// makeRoom ends a connection after an accept that failed for want of descriptors: one that waits for its client to close, else the one that is
// needed least is closed. Guards against idle clients that hold all descriptors: new ones would be kept out for as long as they stay. The accept is
// tried again after a wait, so that each failure ends one at most.
func (s *Server) makeRoom(err error) {
	if !lacks(err) || s.cutShort() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.giveWay() {
		s.Counts.GaveWay.Add(1)
	}
}
