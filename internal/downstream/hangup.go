package downstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// awaitHangup waits until the peer has shut its side, or the socket is closed here, and takes nothing off the kernel. False tells at once that the
// socket can't be asked.
func awaitHangup(socket net.Conn) bool {
	raw, ok := rawOf(socket)
	if !ok {
		return false
	}
	_ = raw.Read(hasHungUp) // fails where the socket is closed here
	return true
}

// hungUp tells whether the peer has shut its side or broken the connection; where it can't be told, it has not.
func hungUp(socket net.Conn) (is bool) {
	if raw, ok := rawOf(socket); ok {
		_ = raw.Control(func(descriptor uintptr) { is = hasHungUp(descriptor) })
	}
	return is
}

// unread tells whether the kernel holds bytes, or an end, that were not read; where it can't be told, it holds none.
func unread(socket net.Conn) (some bool) {
	if raw, ok := rawOf(socket); ok {
		_ = raw.Control(func(descriptor uintptr) { some = polled(descriptor, unix.POLLIN)&unix.POLLIN != 0 })
	}
	return some
}

func rawOf(socket net.Conn) (syscall.RawConn, bool) {
	has, ok := socket.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := has.SyscallConn()
	return raw, err == nil
}

func hasHungUp(descriptor uintptr) bool {
	const ends = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	return polled(descriptor, unix.POLLRDHUP)&ends != 0
}

// polled is what of some events holds for a descriptor now. Guards against a signal that interrupts the look, which would pass for none of them.
func polled(descriptor uintptr, events int16) int16 {
	on := []unix.PollFd{{Fd: int32(descriptor), Events: events}}
	for {
		_, err := unix.Poll(on, 0)
		if err == nil {
			return on[0].Revents
		}
		if err != unix.EINTR {
			return 0
		}
	}
}
