// Package syserr is the one table that tells what a failed system call of a socket or file proves: whether this machine is to blame or the other side,
// whether the request can have run, and whether another try makes sense. Sources: accept(2), connect(2), socket(2), tcp(7), write(2).
package syserr

import (
	"errors"
	"io/fs"
	"os"
	"syscall"
)

// Class is what an error tells.
type Class int

// The classes. The zero value promises nothing.
const (
	// RemoteMayHaveRun: the other side, or the way there, broke an open connection; what was written whole may have run.
	RemoteMayHaveRun Class = iota
	// RemoteNeverRan: the other side could not be reached; nothing ran.
	RemoteNeverRan
	// Local: this machine lacked something for a moment; nothing ran, and no host is to blame.
	Local
	// Permanent: another try fails as well until somebody mends it.
	Permanent
)

var classes = map[syscall.Errno]Class{
	syscall.EMFILE: Local, syscall.ENFILE: Local, syscall.ENOBUFS: Local, syscall.ENOMEM: Local,
	syscall.EADDRNOTAVAIL: Local, syscall.EADDRINUSE: Local, syscall.EAGAIN: Local, syscall.EINTR: Local,
	syscall.ENETUNREACH: Local, syscall.ENETDOWN: Local, syscall.ENONET: Local, syscall.EPERM: Local,

	syscall.ECONNREFUSED: RemoteNeverRan, syscall.EHOSTUNREACH: RemoteNeverRan, syscall.EHOSTDOWN: RemoteNeverRan,
	syscall.ETIMEDOUT: RemoteNeverRan, syscall.ECONNRESET: RemoteNeverRan, syscall.ECONNABORTED: RemoteNeverRan,
	syscall.EPROTO: RemoteNeverRan, syscall.ENOPROTOOPT: RemoteNeverRan, syscall.EOPNOTSUPP: RemoteNeverRan,

	syscall.EACCES: Permanent, syscall.EAFNOSUPPORT: Permanent, syscall.EPROTONOSUPPORT: Permanent,
	syscall.EINVAL: Permanent, syscall.EBADF: Permanent, syscall.ENOTSOCK: Permanent, syscall.EROFS: Permanent,
	syscall.ENOENT: Permanent, syscall.ENOTDIR: Permanent, syscall.EISDIR: Permanent,
}

// Connecting is what an error of socket or connect tells.
func Connecting(err error) Class {
	if code, ok := errno(err); ok {
		if class, known := classes[code]; known {
			return class
		}
	}
	return RemoteNeverRan // a time that passed, or an end from within
}

// Open is what an error of an open connection tells: only what this machine lacked is known not to be the other side's doing.
func Open(err error) Class {
	if code, ok := errno(err); ok && lacking[code] {
		return Local
	}
	return RemoteMayHaveRun
}

// lacking is what another descriptor's or connection's end may free.
var lacking = map[syscall.Errno]bool{syscall.EMFILE: true, syscall.ENFILE: true, syscall.ENOBUFS: true, syscall.ENOMEM: true}

// Lacking tells whether a call failed for want of descriptors, buffers or memory.
func Lacking(err error) bool {
	code, ok := errno(err)
	return ok && lacking[code]
}

// ofPeer is what accept reports of the one connection that it would have given, which is gone (accept(2), "Error handling").
var ofPeer = map[syscall.Errno]bool{
	syscall.ECONNABORTED: true, syscall.EPROTO: true, syscall.ENETDOWN: true, syscall.ENOPROTOOPT: true,
	syscall.EHOSTDOWN: true, syscall.ENONET: true, syscall.EHOSTUNREACH: true, syscall.EOPNOTSUPP: true, syscall.ENETUNREACH: true,
	syscall.ETIMEDOUT: true, syscall.ECONNRESET: true, syscall.EPERM: true, syscall.EINTR: true, syscall.EAGAIN: true,
}

// OfPeer tells whether an accept failed for one connection alone: the next may be accepted at once.
func OfPeer(err error) bool {
	code, ok := errno(err)
	return ok && ofPeer[code]
}

// Passing tells whether a file that can't be read, written or synced now may be soon, with nothing being done: the disk is full, or a transfer failed.
func Passing(err error) bool {
	if errors.Is(err, fs.ErrNotExist) || errors.Is(err, fs.ErrPermission) || errors.Is(err, os.ErrInvalid) {
		return false
	}
	code, ok := errno(err)
	return ok && classes[code] != Permanent
}

func errno(err error) (code syscall.Errno, ok bool) {
	ok = errors.As(err, &code)
	return code, ok
}
