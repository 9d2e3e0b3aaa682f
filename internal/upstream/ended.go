package upstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// endLook looks whether the peer of a connection has ended it, though its reader has not come to that yet: what is written then is lost,
// and counted as what may have run. One system call, on the writer's goroutine; it takes no bytes and doesn't wait for the reader.
type endLook struct {
	raw  syscall.RawConn
	poll func(descriptor uintptr)
	on   [1]unix.PollFd
}

// ended tells whether a half-close or a reset of the peer has come; where it can't be told, it has not.
func (l *endLook) ended(socket net.Conn) bool {
	if l.raw == nil {
		has, ok := socket.(syscall.Conn)
		if !ok {
			return false
		}
		raw, err := has.SyscallConn()
		if err != nil {
			return false
		}
		l.raw, l.poll = raw, l.ask // made once, so that no look allocates
	}
	l.on[0].Revents = 0
	_ = l.raw.Control(l.poll) // fails where the connection is closed here, as the write will
	return l.on[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

func (l *endLook) ask(descriptor uintptr) {
	l.on[0] = unix.PollFd{Fd: int32(descriptor), Events: unix.POLLRDHUP}
	for {
		_, err := unix.Poll(l.on[:], 0)
		if err == nil {
			return
		}
		if err != unix.EINTR { // a signal has interrupted the look, which would pass for a connection that stands
			l.on[0].Revents = 0
			return
		}
	}
}
