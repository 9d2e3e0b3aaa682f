package syserr_test

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"

	"elderwall/internal/syserr"
)

// What each error of a system call proves, as accept(2), connect(2), socket(2), write(2) and fsync(2) have it; wrapped as the net package does.
func TestWhatAnErrorTells(t *testing.T) {
	const local, never, may, permanent = syserr.Local, syserr.RemoteNeverRan, syserr.RemoteMayHaveRun, syserr.Permanent
	for _, tt := range []struct {
		code       syscall.Errno
		connecting syserr.Class
		open       syserr.Class
		ofPeer     bool // an accept goes on at once
		lacking    bool
		passing    bool // a file may be well again by itself
	}{
		{syscall.EMFILE, local, local, false, true, true},
		{syscall.ENFILE, local, local, false, true, true},
		{syscall.ENOBUFS, local, local, false, true, true},
		{syscall.ENOMEM, local, local, false, true, true},
		{syscall.EADDRNOTAVAIL, local, may, false, false, true},
		{syscall.EADDRINUSE, local, may, false, false, true},
		{syscall.EAGAIN, local, may, true, false, true},
		{syscall.EINTR, local, may, true, false, true},
		{syscall.ENETUNREACH, local, may, true, false, true},
		{syscall.ENETDOWN, local, may, true, false, true},
		{syscall.ENONET, local, may, true, false, true},
		{syscall.EPERM, local, may, true, false, false},
		{syscall.EACCES, permanent, may, false, false, false},
		{syscall.ECONNREFUSED, never, may, false, false, true},
		{syscall.EHOSTUNREACH, never, may, true, false, true},
		{syscall.EHOSTDOWN, never, may, true, false, true},
		{syscall.ETIMEDOUT, never, may, true, false, true},
		{syscall.ECONNRESET, never, may, true, false, true},
		{syscall.ECONNABORTED, never, may, true, false, true},
		{syscall.EPROTO, never, may, true, false, true},
		{syscall.EPIPE, never, may, false, false, true},
		{syscall.EAFNOSUPPORT, permanent, may, false, false, false},
		{syscall.EINVAL, permanent, may, false, false, false},
		{syscall.ENOSPC, never, may, false, false, true},
		{syscall.EIO, never, may, false, false, true},
		{syscall.EROFS, permanent, may, false, false, false},
		{syscall.ENOENT, permanent, may, false, false, false},
	} {
		err := fmt.Errorf("wrapped: %w", &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", tt.code)})
		got := []any{syserr.Connecting(err), syserr.Open(err), syserr.OfPeer(err), syserr.Lacking(err), syserr.Passing(err)}
		assert.Equal(t, []any{tt.connecting, tt.open, tt.ofPeer, tt.lacking, tt.passing}, got, "%v", tt.code)
	}
	other := errors.New("a time that passed")
	assert.Equal(t, []any{never, may, false, false, false}, []any{syserr.Connecting(other), syserr.Open(other), syserr.OfPeer(other), syserr.Lacking(other), syserr.Passing(other)})
}
